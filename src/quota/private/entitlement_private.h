/* Internals of the entitlement fold, shared by its source files. */
#ifndef COLT_ENTITLEMENT_PRIVATE_H
#define COLT_ENTITLEMENT_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/entitlement.h"

/* Size of arrays that are indexed by zone; zones count from 1. */
#define ZONE_SLOTS (COLT_ZONE_MAX + 1)

/* A value that holds from offset start up to the start of the next step. */
struct ColtEntitlementStep
{
  uint64_t start;
  int64_t value;
};

/* Entitlement of a zone in one dimension, by offset; the first step also holds
 * before its start. */
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
  bool listed;      /* in the bundle in force */
  bool has_history; /* was listed at an earlier offset */
  uint64_t changed; /* offset of the last change */
  struct ColtQuotaAmount limit;
  struct ColtEntitlementHistory *zones[ZONE_SLOTS]; /* COLT_QUOTA_COUNT each */
};

struct ColtEntitlementZone
{
  bool present;
  int64_t weight;
  uint64_t removed; /* offset of the removal, 0: never removed */
};

struct ColtEntitlements
{
  GTree *teams;        /* name -> struct ColtEntitlementTeam, owned */
  GHashTable *records; /* id -> struct ColtEntitlementRecord, owned */
  struct ColtEntitlementZone zones[ZONE_SLOTS];
  uint32_t zone_list[ZONE_SLOTS]; /* the present zones, ascending */
  size_t zone_count;
  uint64_t position; /* offset up to which the log was read */
  uint64_t changed;  /* offset of the last change of the zones or of any team */
  uint64_t shard_changed[COLT_SHARD_COUNT]; /* offset of the last change of the
                                             * zones or of a shard's team */
  /* Offsets that the zones comply with for the teams without an exception. */
  uint64_t complied[ZONE_SLOTS][COLT_SHARD_COUNT];
  /* Value of version when the compliance of a zone and shard last changed. */
  uint64_t compliance_versions[ZONE_SLOTS][COLT_SHARD_COUNT];
  GHashTable *exceptions[ZONE_SLOTS]; /* name -> struct
                                       * ColtComplianceException, owned */
  uint64_t version;                   /* number of compliance changes */
};

/* The offsets from first to last, inclusive. */
struct ColtEntitlementSpan
{
  uint64_t first;
  uint64_t last;
};

/* The offsets at which some zone may still compute credits of a team. */
struct ColtEntitlementWindow
{
  struct ColtEntitlementSpan spans[ZONE_SLOTS + 1];
  size_t count;
};

/* An applied transfer record, kept to reject repetitions. */
struct ColtEntitlementRecord
{
  struct ColtId id;
  uint64_t base;
};

/* Drops the steps that end at or below the lowest offset. */
void colt_entitlement_trim_history_ (struct ColtEntitlementHistory *history,
                                     uint64_t lowest);
/* Adds a value that holds from an offset on. */
void colt_entitlement_push_step_ (struct ColtEntitlementHistory *history,
                                  uint64_t offset,
                                  int64_t value);
/* Returns the least of the current value and the values in the window. */
int64_t
colt_entitlement_find_least_ (const struct ColtEntitlementHistory *history,
                              const struct ColtEntitlementWindow *window);

/* Returns the team, NULL if there is none. */
struct ColtEntitlementTeam *
colt_entitlement_find_team_ (const struct ColtEntitlements *entitlements,
                             const char *name);
/* Returns the team, which is created if there is none. */
struct ColtEntitlementTeam *
colt_entitlement_add_team_ (struct ColtEntitlements *entitlements,
                            const char *name);
/* Returns a number that grows with each change of any zone's compliance for
 * the shard. */
uint64_t
colt_entitlement_shard_version_ (const struct ColtEntitlements *entitlements,
                                 uint32_t shard);
/* Fills zone_list with the present zones. */
void colt_entitlement_update_zone_list_ (struct ColtEntitlements *entitlements);
/* Records a transfer record as applied. */
void colt_entitlement_add_record_ (struct ColtEntitlements *entitlements,
                                   const struct ColtId *id,
                                   uint64_t base);

/* Gets the offsets at which any zone may still compute credits of the team. */
void colt_entitlement_get_window_ (const struct ColtEntitlements *entitlements,
                                   const struct ColtEntitlementTeam *team,
                                   struct ColtEntitlementWindow *window);

/* Returns the lowest offset at which any zone may still compute credits of the
 * team. */
uint64_t
colt_entitlement_lowest_offset_ (const struct ColtEntitlements *entitlements,
                                 const struct ColtEntitlementTeam *team);

#endif
