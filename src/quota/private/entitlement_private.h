/* Insides of struct ColtEntitlements, shared by the files of the fold. */
#ifndef COLT_ENTITLEMENT_PRIVATE_H
#define COLT_ENTITLEMENT_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/entitlement.h"

#define ZONE_SLOTS (COLT_ZONE_MAX + 1)

/* Holds from its start up to the next step's. */
struct ColtEntitlementStep
{
  uint64_t start;
  int64_t value;
};

/* Entitlement in one dimension; the first step also holds before its start. */
struct ColtEntitlementHistory
{
  int64_t current;
  struct ColtEntitlementStep *steps;
  uint16_t count;
  uint16_t capacity;
};

struct ColtEntitlementTeam
{
  char name[COLT_NAME_SIZE];
  uint32_t shard;
  bool listed; /* in the bundle in force */
  bool known;  /* was listed at an earlier offset */
  uint64_t changed;
  struct ColtQuotaAmount limit;
  struct ColtEntitlementHistory *zones[ZONE_SLOTS]; /* COLT_QUOTA_COUNT each */
};

struct ColtEntitlementZone
{
  bool present;
  int64_t weight;
  uint64_t removed; /* offset of the removal, 0: never there or settled */
};

struct ColtEntitlements
{
  GTree *teams;        /* name -> struct ColtEntitlementTeam, owned */
  GHashTable *records; /* struct ColtId -> struct ColtEntitlementRecord */
  struct ColtEntitlementZone zones[ZONE_SLOTS];
  uint32_t zone_list[ZONE_SLOTS]; /* the present ones, ascending */
  size_t zone_count;
  uint64_t position; /* the log was read up to here */
  uint64_t changed;  /* the last change of any entitlement */
  uint64_t shard_changed[COLT_SHARD_COUNT]; /* the same by shard of teams */
  uint64_t complied[ZONE_SLOTS][COLT_SHARD_COUNT];
  uint64_t learned[ZONE_SLOTS][COLT_SHARD_COUNT]; /* versions */
  GHashTable *exceptions[ZONE_SLOTS]; /* name -> ColtComplianceException */
  uint64_t version;
};

/* Offsets from first to last. */
struct ColtEntitlementSpan
{
  uint64_t first;
  uint64_t last;
};

/* The offsets that zones may still stand at for a team. */
struct ColtEntitlementWindow
{
  struct ColtEntitlementSpan spans[ZONE_SLOTS + 1];
  size_t count;
};

/* A transfer record that was applied. */
struct ColtEntitlementRecord
{
  struct ColtId id;
  uint64_t base;
};

/* Drops the steps that end at or below the lowest offset. */
void colt_entitlement_trim_ (struct ColtEntitlementHistory *history,
                             uint64_t lowest);
/* Adds the value from an offset on. */
void colt_entitlement_push_ (struct ColtEntitlementHistory *history,
                             uint64_t offset,
                             int64_t value);
/* The least value over the offsets that count. */
int64_t colt_entitlement_least_ (const struct ColtEntitlementHistory *history,
                                 const struct ColtEntitlementWindow *window);

struct ColtEntitlementTeam *
colt_entitlement_team_ (const struct ColtEntitlements *entitlements,
                        const char *name);
struct ColtEntitlementTeam *
colt_entitlement_add_team_ (struct ColtEntitlements *entitlements,
                            const char *name);
/* Grows whenever the compliance of some zone for the shard does. */
uint64_t colt_entitlement_version_ (const struct ColtEntitlements *entitlements,
                                    uint32_t shard);
void colt_entitlement_list_zones_ (struct ColtEntitlements *entitlements);
void colt_entitlement_remember_ (struct ColtEntitlements *entitlements,
                                 const struct ColtId *id,
                                 uint64_t base);

/* Finds the offsets that any zone may still stand at for the team. */
void colt_entitlement_window_ (const struct ColtEntitlements *entitlements,
                               const struct ColtEntitlementTeam *team,
                               struct ColtEntitlementWindow *window);

/* The lowest offset that any zone may still stand at for the team. */
uint64_t colt_entitlement_lowest_ (const struct ColtEntitlements *entitlements,
                                   const struct ColtEntitlementTeam *team);

#endif
