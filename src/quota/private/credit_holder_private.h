/* Internals of the credit holder, shared by its source files. */
#ifndef COLT_CREDIT_HOLDER_PRIVATE_H
#define COLT_CREDIT_HOLDER_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/credits.h"

/* The amount that a team's tasks use on one server, as far as this owner counts
 * them. On a lost server they count until the leader reports it as settled. */
struct ColtHolderUsage
{
  uint32_t server;
  bool lost;      /* the server is lost to another owner */
  uint64_t epoch; /* server epoch of this owner's lease, if lost */
  struct ColtQuotaAmount amount;
};

struct ColtHolderTeam
{
  char name[COLT_NAME_SIZE];
  uint32_t shard;
  GArray *usages;                 /* of struct ColtHolderUsage */
  struct ColtQuotaAmount running; /* on owned servers */
  struct ColtQuotaAmount lost;    /* on lost servers */
  struct ColtQuotaAmount ceiling; /* the most that may run on owned servers */
  /* Amounts on lost servers that grants may still include; subtracted from
   * each new ceiling. */
  struct ColtQuotaAmount lost_credits;
  uint64_t lost_credits_report; /* sequence of the first report after the loss,
                                 * 0: none yet */
  struct ColtQuotaAmount unit;  /* demand of the next waiting task, or of the
                                 * last task if none waits */
  int64_t waiting;              /* tasks that wait for credits */
  uint64_t sequence;            /* of the newest ceiling applied */
  bool dirty;           /* has changes that the leader has not acknowledged */
  bool running_changed; /* running differs by a quarter or more from the
                         * last report */
  uint64_t sent_report; /* sequence of the report with the newest state,
                         * 0: none */
  int64_t reported_waiting;
  int64_t reported_running; /* tasks */
};

struct ColtHolderServer
{
  uint32_t server;
  uint64_t epoch;
  uint64_t added_after;    /* sequence of the newest report when it was added */
  uint64_t pending_shards; /* bit N: the leader of shard N has not acknowledged
                            * the server */
};

/* Session with the leader of a shard. */
struct ColtHolderSession
{
  uint64_t epoch;             /* of the shard */
  uint64_t promise;           /* lowest offset of grants that are applied */
  uint64_t promise_acked;     /* promise that the leader has acknowledged */
  uint64_t promise_requested; /* highest promise that the leader requested */
  uint64_t sequence_floor;    /* highest sequence of a removed team */
  bool open;
  bool ended;    /* only a higher epoch opens the session again */
  bool full_due; /* the leader waits for a full report */
  bool unacked;  /* the last report was sent and is not acknowledged yet */
  uint64_t sent_sequence;
  uint64_t sent_promise;
  int64_t sent_us;
};

struct ColtCreditHolder
{
  uint64_t owner;
  ColtCreditReportFunc send;
  void *context;
  struct ColtHolderSession sessions[COLT_SHARD_COUNT];
  GHashTable *teams;   /* name -> struct ColtHolderTeam, owned */
  GHashTable *servers; /* number -> struct ColtHolderServer, owned */
  uint64_t sequence;   /* of the newest report */
};

/* Marks the team's state as changed; a report that includes it is due
 * immediately. */
void colt_holder_mark_dirty_ (struct ColtHolderTeam *team);

/* Handles the acknowledgement of a report; only that of the session's last
 * report has an effect. */
void colt_holder_handle_ack_ (struct ColtCreditHolder *holder,
                              uint32_t shard,
                              uint64_t sequence);

/* Sends the reports that are due. */
void colt_holder_send_reports_ (struct ColtCreditHolder *holder,
                                int64_t now_us);

#endif
