/**
 * \file
 * \brief What the files of the home share.
 */
#ifndef COLTSFOOTSTILE_HOME_PRIVATE_H
#define COLTSFOOTSTILE_HOME_PRIVATE_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/home.h"
#include "coltsfootstile/request_messages.h"
#include "shard_intake.h"

struct ColtHomeCounters
{
  uint32_t submitted;
  uint32_t refused;
  uint32_t placed;
  uint32_t bounced;
  uint32_t answered;
  uint32_t shards_won;
  uint32_t shards_lost;
  uint32_t queries;
  uint32_t wait_ms;
  uint32_t starts;
};

struct ColtHome
{
  struct ColtHomeParts parts;
  const struct ColtHomeClient *calls;
  void *client;
  struct ColtShardLead *lead;
  struct ColtRequests *requests;
  struct ColtPlacement *placement;
  struct ColtShardIntake intakes[COLT_SHARD_COUNT];
  bool history_known[COLT_SHARD_COUNT]; /**< what servers remember is known */
  GHashTable *memories; /**< server -> wall-clock second, all known since */
  uint32_t *servers;    /**< of the zone */
  size_t server_count;
  struct event *timer;
  struct event *lead_timer;
  struct event *dispatch;
  bool stopping;
  unsigned open_answers;
  GQueue local_calls; /**< messages of this instance to itself */
  int64_t reconcile_us;
  unsigned reconcile_round;
  GArray *rejected;        /**< of struct ColtRejected */
  GQueue unproved;         /**< of struct ColtUnproved */
  GQueue unproved_replies; /**< of struct ColtUnprovedReply */
  uint32_t *members;       /**< of the zone that may lead */
  size_t member_count;
  GHashTable *team_usage;    /**< team -> struct ColtTeamUsage */
  GHashTable *queue_waiting; /**< queue -> requests that wait here */
  GHashTable *queue_bounds;  /**< queue -> requests that may wait in the zone */
  int64_t usage_us;
  GHashTable *budgets;      /**< team -> struct ColtRetryBudget */
  GHashTable *budget_rates; /**< team -> retries a minute */
  GRand *random;
  struct ColtHomeCounters counters;
};

/* home_shards.c: the shards' messages, both sides */
void colt_home_set_shard_handlers (struct ColtHome *home);
extern const struct ColtShardLeadClient colt_home_shard_client;
void colt_home_arm_lead (struct ColtHome *home);
/** Drops the messages of this instance to itself. */
void colt_home_drop_local_calls (struct ColtHome *home);
/** Settles what is remembered of shards that have become active. */
void colt_home_learn_histories (struct ColtHome *home);

/* home_submit.c: what gates ask */
void colt_home_set_submit_handlers (struct ColtHome *home);
/** Refuses what was proved meanwhile to be refused by the only lead. */
void colt_home_reply_unproved (struct ColtHome *home, int64_t now_us);

/* home_place.c: what owners are asked, and what they tell */
void colt_home_set_place_handlers (struct ColtHome *home);
extern const struct ColtRequestCalls colt_home_request_calls;
void colt_home_dispatch_soon (struct ColtHome *home);
void colt_home_dispatch (struct ColtHome *home);

void colt_home_fill_task (const struct ColtRequest *request,
                          uint32_t index,
                          struct ColtPlacementTask *task);

/* home_refuse.c: tasks that the placement doesn't take or gives up */
struct ColtRejected
{
  struct ColtId request;
  uint32_t index;
  enum ColtPlacementStatus status;
  int64_t due_us; /**< when it is looked at */
};
/** Notes a task that the placement did not take; nothing is ended yet. */
void colt_home_reject (struct ColtHome *home,
                       const struct ColtId *request,
                       uint32_t index,
                       enum ColtPlacementStatus status);
/** Refuses what was rejected or given up. */
void colt_home_refuse_rejected (struct ColtHome *home, int64_t now_us);

/* home_query.c: attempts whose state is in doubt */
void colt_home_reconcile (struct ColtHome *home, int64_t now_us);
void colt_home_fetch_results (struct ColtHome *home,
                              const struct ColtRequest *request);

/* home_answer.c: what gates are told */
void colt_home_answer (struct ColtHome *home,
                       const struct ColtRequest *request);
/** Returns whether a request is done and some result has to be fetched. */
bool colt_home_lacks_results (const struct ColtRequest *request);
void colt_home_answer_unproved (struct ColtHome *home, int64_t now_us);
bool colt_home_proves (struct ColtHome *home,
                       const struct ColtId *id,
                       int64_t now_us);

/* home_usage.c: what runs and waits here */
void colt_home_count_usage (struct ColtHome *home, int64_t now_us);
/** Takes what another home of the zone runs of a team. */
void colt_home_take_usage (struct ColtHome *home,
                           uint32_t instance,
                           const ColtDigestTeam *word,
                           int64_t now_us);
/** Returns whether this home's part of a queue's bound is reached. */
bool colt_home_queue_full (struct ColtHome *home, const char *queue);
void colt_home_note_waiting (struct ColtHome *home, const char *queue);
void colt_home_set_queue_bounds (struct ColtHome *home,
                                 const struct ColtBundle *bundle);

/* home_budget.c: retries of teams */
bool colt_home_take_retry (void *client, const char *team, int64_t now_us);
void colt_home_set_budgets (struct ColtHome *home,
                            const struct ColtBundle *bundle);

#endif
