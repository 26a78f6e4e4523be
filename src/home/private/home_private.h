/**
 * \file
 * \brief Declarations shared by the files of the home.
 */
#ifndef COLTSFOOTSTILE_HOME_PRIVATE_H
#define COLTSFOOTSTILE_HOME_PRIVATE_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/home.h"
#include "coltsfootstile/request_messages.h"
#include "pending_reports.h"

/** Handles of the home's counters. */
struct ColtHomeCounters
{
  uint32_t accepted;
  uint32_t refused;
  uint32_t starts_sent;
  uint32_t starts_refused;
  uint32_t answered;
  uint32_t shards_won;
  uint32_t shards_lost;
  uint32_t queries;
  uint32_t wait_ms;
  uint32_t requests_started;
};

struct ColtHome
{
  struct ColtHomeParts parts;
  const struct ColtHomeClient *calls;
  void *client;
  struct ColtShardLeader *shard_leader;
  struct ColtRequests *requests;
  struct ColtPlacement *placement;
  struct ColtPendingReports pending_reports[COLT_SHARD_COUNT];
  /** Whether the request table has the second since which the reports of a
   * shard are complete. */
  bool history_known[COLT_SHARD_COUNT];
  /** Server -> wall-clock second since which its record of tasks is
   * complete. */
  GHashTable *server_known_since;
  uint32_t *servers; /**< backend servers of the zone */
  size_t server_count;
  struct event *timer; /**< for periodic work */
  struct event *leader_timer;
  struct event *dispatch_timer;
  bool stopping;
  unsigned open_answers;   /**< answers to gates still being delivered */
  GQueue local_calls;      /**< of struct ColtLocalShardCall */
  int64_t next_query_us;   /**< when attempts are next queried */
  unsigned query_round;    /**< number of query rounds so far */
  GArray *rejected;        /**< of struct ColtRejected */
  GQueue unproved_answers; /**< of struct ColtUnprovedAnswer */
  GQueue unproved_replies; /**< of struct ColtUnprovedReply */
  uint32_t *members;       /**< instances of the zone that may lead */
  size_t member_count;
  GHashTable *team_usage;    /**< team -> struct ColtTeamUsage */
  GHashTable *queue_waiting; /**< queue -> requests waiting here */
  GHashTable *queue_bounds;  /**< queue -> most that may wait in the zone */
  int64_t next_usage_us;     /**< when the usage is next updated */
  GHashTable *retry_budgets; /**< team -> struct ColtRetryBudget */
  GHashTable *retry_rates;   /**< team -> retries per minute */
  GRand *random;
  struct ColtHomeCounters counters;
};

/* home_shards.c: messages between shard leaders and owners */
void colt_home_set_shard_handlers (struct ColtHome *home);
extern const struct ColtShardLeaderClient colt_home_shard_client;
/** Sets the timer to the time at which the shard leader is next due. */
void colt_home_arm_leader_timer (struct ColtHome *home);
/** Drops pending messages of this instance to itself. */
void colt_home_drop_local_calls (struct ColtHome *home);
/** For active shards, sets the second since which their reports are complete
 * and loads their durable requests. Does nothing until that second is known
 * for every server of the zone. */
void colt_home_complete_histories (struct ColtHome *home);

/* home_submit.c: messages from gates */
void colt_home_set_submit_handlers (struct ColtHome *home);
/** Sends the refusals of submissions for which there is proof by now that no
 * other leader was active. Others get COLT_SUBMIT_NOT_LEADER after a timeout,
 * so that the gate submits again. */
void colt_home_send_proved_replies (struct ColtHome *home, int64_t now_us);

/* home_place.c: starts sent to owners, and events from owners */
void colt_home_set_place_handlers (struct ColtHome *home);
extern const struct ColtRequestCalls colt_home_request_calls;
/** Schedules a dispatch in the next iteration of the event loop. */
void colt_home_schedule_dispatch (struct ColtHome *home);
/** Places waiting tasks and sends the starts to owners. */
void colt_home_dispatch (struct ColtHome *home);

/** Fills in the placement's description of a task. */
void colt_home_fill_task (const struct ColtRequest *request,
                          uint32_t index,
                          struct ColtPlacementTask *task);

/* home_refuse.c: tasks that the placement rejected or abandoned */
/** A rejected or abandoned task whose request was not refused yet. */
struct ColtRejected
{
  struct ColtId request;
  uint32_t index;
  enum ColtPlacementStatus status;
  int64_t retry_us; /**< time from which it is processed again */
};
/** Records a rejected task for colt_home_process_rejected(); its request is
 * not ended yet. */
void colt_home_add_rejected (struct ColtHome *home,
                             const struct ColtId *request,
                             uint32_t index,
                             enum ColtPlacementStatus status);
/** Refuses requests whose tasks the placement rejected or abandoned; a task
 * whose request can't be refused any more is added to the placement again. */
void colt_home_process_rejected (struct ColtHome *home, int64_t now_us);

/* home_query.c: queries to owners about the state of attempts */
/** Queries attempts whose state is in doubt and repeats the stops of cancelled
 * requests. Does nothing until an interval has passed since the last round. */
void colt_home_query_attempts (struct ColtHome *home, int64_t now_us);
/** Queries the results that a request lacks. Its answer is sent once they have
 * arrived. */
void colt_home_fetch_results (struct ColtHome *home,
                              const struct ColtRequest *request);

/* home_answer.c: answers to gates */
/** Sends a request's answer to the gates that wait for it. Results that are
 * missing are fetched first, and "not run" is held back until it is proved
 * that no other leader was active. */
void colt_home_send_answer (struct ColtHome *home,
                            const struct ColtRequest *request);
/** Returns whether a request is done and the result of a task is missing. */
bool colt_home_lacks_results (const struct ColtRequest *request);
/** Sends the "not run" answers for which there is proof by now. */
void colt_home_send_proved_answers (struct ColtHome *home, int64_t now_us);
/** Returns whether this instance is certainly the only leader of the shard of
 * an id at \a now_us. */
bool colt_home_is_sole_leader (struct ColtHome *home,
                               const struct ColtId *id,
                               int64_t now_us);

/* home_usage.c: usage of teams and lengths of queues */
/** Counts running resources of teams and waiting requests of queues, and sends
 * the usage of teams to the other members. Does nothing until an interval has
 * passed since the last update. */
void colt_home_update_usage (struct ColtHome *home, int64_t now_us);
/** Stores the usage of a team that another home of the zone has reported. */
void colt_home_set_remote_usage (struct ColtHome *home,
                                 uint32_t instance,
                                 const ColtDigestTeam *team,
                                 int64_t now_us);
/** Returns whether this home's part of a queue's bound is reached; its part is
 * the share of shards that it leads. */
bool colt_home_is_queue_full (struct ColtHome *home, const char *queue);
/** Counts one more waiting request until the next update of the usage. */
void colt_home_count_waiting (struct ColtHome *home, const char *queue);
void colt_home_set_queue_bounds (struct ColtHome *home,
                                 const struct ColtBundle *bundle);

/* home_budget.c: retry budgets of teams */
/** Takes one retry from a team's budget; returns false if it is spent. */
bool colt_home_consume_retry (void *client, const char *team, int64_t now_us);
void colt_home_set_retry_rates (struct ColtHome *home,
                                const struct ColtBundle *bundle);

#endif
