/* Insides of struct ColtCreditHolder, shared by its files. */
#ifndef COLT_CREDIT_HOLDER_PRIVATE_H
#define COLT_CREDIT_HOLDER_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/credits.h"

/* What runs of a team on one server, at one holding of it. */
struct ColtHolderPart
{
  uint32_t server;
  bool lost;      /* the server is lost; its tasks count until settled */
  uint64_t epoch; /* at which it was held when lost */
  struct ColtQuotaAmount amount;
};

struct ColtHolderTeam
{
  char name[COLT_NAME_SIZE];
  uint32_t shard;
  GArray *parts;                  /* of struct ColtHolderPart */
  struct ColtQuotaAmount running; /* on servers held */
  struct ColtQuotaAmount lost;    /* on servers lost */
  struct ColtQuotaAmount ceiling;
  struct ColtQuotaAmount moved; /* credits that went with servers lost, */
  uint64_t moved_report;        /* as told by this report, 0: none yet */
  struct ColtQuotaAmount unit;  /* what the next task, or the last one, needs */
  int64_t waiting;
  uint64_t sequence; /* of the newest grant taken */
  bool urgent;       /* something changed that the lead has to know */
  bool drifted;      /* what runs has changed much since the last report */
  uint64_t sent;     /* report that carried the newest state, 0: none */
  int64_t reported_waiting;
  int64_t reported_running; /* tasks */
};

struct ColtHolderServer
{
  uint32_t server;
  uint64_t epoch;
  uint64_t added;   /* newest report when it was taken */
  uint64_t pending; /* bit set of shards whose leads don't know yet */
};

/* Session with the lead of a shard. */
struct ColtHolderSession
{
  uint64_t epoch;
  uint64_t promise;
  uint64_t promise_known;  /* what the lead is known to know of it */
  uint64_t promise_wanted; /* what the lead has asked for */
  uint64_t floor;          /* highest sequence of a team that was dropped */
  bool open;
  bool ended; /* only a higher epoch opens it again */
  bool full;  /* a full report is wanted */
  bool sent;  /* the last report was not acknowledged yet */
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
  uint64_t sequence;
};

/* Marks a team's state as one that the lead has to know. */
void colt_holder_touch_ (struct ColtHolderTeam *team);

/* Takes in that the lead has a report; one but the last tells nothing. */
void colt_holder_acknowledge_ (struct ColtCreditHolder *holder,
                               uint32_t shard,
                               uint64_t sequence);

/* Sends what is due. */
void colt_holder_report_ (struct ColtCreditHolder *holder, int64_t now_us);

#endif
