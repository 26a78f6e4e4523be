/* Internals of the credit leader, shared by its source files. */
#ifndef COLT_CREDIT_LEADER_PRIVATE_H
#define COLT_CREDIT_LEADER_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/credits.h"

/* Credits of one owner for one team. */
struct ColtCreditEntry
{
  uint64_t owner;
  uint64_t report_sequence;  /* of the newest report applied */
  uint64_t first_sequence;   /* with which the ceiling was set */
  uint64_t sequence;         /* with which the ceiling was last sent, 0: none */
  uint64_t applied_sequence; /* of the ceiling that the owner has applied */
  int64_t sent_us;           /* when the ceiling was last sent */
  bool unsent;               /* the ceiling was not sent yet */
  struct ColtQuotaAmount ceiling; /* the newest */
  struct ColtQuotaAmount peak;    /* the highest that the owner may still use */
  struct ColtQuotaAmount running; /* on servers of the owner */
  struct ColtQuotaAmount lost;    /* on servers that the owner has lost */
  struct ColtQuotaAmount unit;    /* demand of the next waiting task */
  int64_t waiting;                /* tasks */
  /* Unlimited while all tasks can be served. */
  struct ColtQuotaAmount fair_share;
};

struct ColtCreditTeam
{
  char name[COLT_NAME_SIZE];
  GArray *entries;     /* of struct ColtCreditEntry */
  size_t first;        /* index of the entry to serve first */
  bool balanced;       /* was rebalanced at least once */
  int64_t balanced_us; /* time of the last rebalancing */
  bool over_usable;    /* counted above what the zone may use */
  bool dirty;          /* an owner's state changed since the last division */
};

struct ColtCreditOwner
{
  uint64_t id;
  bool reconciled;       /* the owner's full report was received */
  uint64_t promise;      /* offset below which it applies no credits */
  int64_t grant_sent_us; /* when the last grant was sent */
  bool grant_sent;       /* a grant was sent */
  GArray *acks;          /* report sequences to acknowledge, of uint64_t */
  GArray *settled;       /* to be reported, of struct ColtServerEpoch */
};

struct ColtCreditLeader
{
  uint32_t zone;
  uint32_t shard;
  uint64_t epoch; /* of the shard */
  struct ColtEntitlements *entitlements;
  ColtCreditGrantFunc send;
  void *context;
  enum ColtCreditLeaderState state;
  GPtrArray *owners;        /* of struct ColtCreditOwner, owned */
  GHashTable *teams;        /* name -> struct ColtCreditTeam, owned */
  GHashTable *servers;      /* number -> struct ColtServerEpoch, owned, with
                             * the highest epoch that an owner reported */
  uint64_t sequence;        /* of the newest ceiling */
  uint64_t complied;        /* offset of the last compliance statement */
  size_t excepted_teams;    /* number of exceptions in that statement */
  bool busy;                /* a decision or an owner's answer is outstanding */
  uint64_t decided_version; /* compliance version at the last processing */
  uint64_t decided_offset;  /* shard's last change at the last processing */
  uint64_t earlier_max;     /* earlier leaders stated no higher compliance */
};

/* Gets the amount counted for an owner of the team: the higher of the peak
 * ceiling and the running tasks, plus the tasks on lost servers. */
void colt_credit_entry_get_counted_ (const struct ColtCreditEntry *entry,
                                     struct ColtQuotaAmount *counted);

/* Gets the sum of the amounts counted for all owners of the team. */
void colt_credit_team_get_counted_ (const struct ColtCreditTeam *team,
                                    struct ColtQuotaAmount *counted);

/* Divides the usable amount among the owners by setting their ceilings; each
 * changed ceiling gets the next *sequence. */
void colt_credit_team_divide_ (struct ColtCreditTeam *team,
                               const struct ColtQuotaAmount *usable,
                               int64_t now_us,
                               uint64_t *sequence);

/* Sets an entry's ceiling, which gets the next *sequence. */
void colt_credit_entry_set_ceiling_ (struct ColtCreditEntry *entry,
                                     const struct ColtQuotaAmount *ceiling,
                                     uint64_t *sequence);

/* Returns whether the last division still holds: no owner's state has changed
 * and rebalancing is not due. */
bool colt_credit_team_is_current_ (const struct ColtCreditTeam *team,
                                   int64_t now_us);

/* Removes the entries without credits and tasks, once their owners have applied
 * the last ceiling. */
void colt_credit_team_drop_unused_ (struct ColtCreditTeam *team);

/* Sends the grants that are due to all owners. */
void colt_credit_leader_send_grants_ (struct ColtCreditLeader *leader,
                                      int64_t now_us);

#endif
