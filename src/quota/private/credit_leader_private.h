/* Insides of struct ColtCreditLead, shared by its files. */
#ifndef COLT_CREDIT_LEADER_PRIVATE_H
#define COLT_CREDIT_LEADER_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/credits.h"

/* What one owner has of one team. */
struct ColtLeadEntry
{
  uint64_t owner;
  uint64_t version;               /* sequence of the report taken in last */
  uint64_t first;                 /* sequence when the ceiling was set */
  uint64_t sequence;              /* when it was last sent, 0: none */
  uint64_t applied;               /* sequence that the owner has taken */
  int64_t sent_us;                /* when the ceiling was last sent */
  bool due;                       /* the ceiling was not sent yet */
  struct ColtQuotaAmount ceiling; /* the newest */
  struct ColtQuotaAmount peak;    /* the highest that it may still act on */
  struct ColtQuotaAmount running;
  struct ColtQuotaAmount lost; /* runs on servers that the owner lost */
  struct ColtQuotaAmount unit;
  int64_t waiting;
  struct ColtQuotaAmount share; /* fair part while not all can be served */
};

struct ColtLeadTeam
{
  char name[COLT_NAME_SIZE];
  GArray *entries; /* of struct ColtLeadEntry */
  size_t first;    /* whom to serve first */
  bool balanced;
  int64_t balanced_us; /* when it was last divided from nothing */
  bool over;           /* counted above what the zone may use */
  bool dirty;          /* an owner's state changed since the last division */
};

struct ColtLeadOwner
{
  uint64_t id;
  bool counted; /* its full report is in */
  uint64_t promise;
  int64_t asked_us; /* when a recount or promise was last sent */
  bool asked;
  GArray *acks;    /* of uint64_t */
  GArray *settled; /* of struct ColtServerEpoch */
};

struct ColtCreditLead
{
  uint32_t zone;
  uint32_t shard;
  uint64_t epoch;
  struct ColtEntitlements *entitlements;
  ColtCreditGrantFunc send;
  void *context;
  enum ColtCreditLeadState state;
  GPtrArray *owners;   /* of struct ColtLeadOwner, owned */
  GHashTable *teams;   /* name -> struct ColtLeadTeam, owned */
  GHashTable *servers; /* number -> struct ColtServerEpoch, owned */
  uint64_t sequence;
  uint64_t complied;
  size_t exceptions; /* teams left out when compliance was stated last */
  bool busy;         /* something is to be decided or was not answered */
  uint64_t version;  /* compliance that was decided upon */
  uint64_t decided;  /* offset that was decided upon */
  uint64_t before;   /* other leads stated compliance with no higher offset */
};

/* What the owner counts with: the most it may run, or what it runs. */
void colt_lead_entry_counted_ (const struct ColtLeadEntry *entry,
                               struct ColtQuotaAmount *counted);

/* What all owners of the team count with. */
void colt_lead_team_counted_ (const struct ColtLeadTeam *team,
                              struct ColtQuotaAmount *counted);

/* Sets new ceilings; *sequence numbers them. */
void colt_lead_team_divide_ (struct ColtLeadTeam *team,
                             const struct ColtQuotaAmount *usable,
                             int64_t now_us,
                             uint64_t *sequence);

/* Sets the newest ceiling of an entry. */
void colt_lead_entry_set_ (struct ColtLeadEntry *entry,
                           const struct ColtQuotaAmount *ceiling,
                           uint64_t *sequence);

/* Whether nothing has changed by which the team would be divided anew. */
bool colt_lead_team_rests_ (const struct ColtLeadTeam *team, int64_t now_us);

/* Drops entries of a team that hold nothing. */
void colt_lead_team_tidy_ (struct ColtLeadTeam *team);

/* Sends what is due to all owners. */
void colt_lead_send_ (struct ColtCreditLead *lead, int64_t now_us);

#endif
