/* State of an instance; shared by the scheduler's source files. */
#ifndef COLT_SCHEDULER_STATE_H
#define COLT_SCHEDULER_STATE_H

#include "config_copy.h"
#include "config_fetch.h"
#include "config_lag.h"
#include "isolation.h"
#include "members.h"
#include "scheduler_private.h"
#include "speed_probe.h"
#include "waiting_counts.h"

/* Where the count of a queue's waiting jobs comes from. */
enum ColtCountSource
{
  COUNTS_UNKNOWN,   /* nowhere: no leader is known to have counted recently */
  COUNTS_OWN_CELL,  /* the own cell, which has all jobs */
  COUNTS_OF_LEADER, /* the leader's replies to heartbeats */
  COUNT_SOURCE_COUNT
};

struct ColtScheduler
{
  struct event_base *base;
  const struct ColtPorts *ports;
  struct ColtSchedulerSettings settings;
  uint32_t instance; /* IP address of settings.internal */
  struct ColtWire *wire;
  struct ColtWatch *config_watch;
  struct ColtElection *election;
  struct ColtLeader *leader; /* NULL while another instance leads */
  struct ColtFleet *fleet;   /* the configuration in force; NULL: none */
  struct ColtConfigCopy *config_copy; /* of the configuration in force */
  struct ColtConfigLag config_lag;
  struct ColtConfigFetch *config_fetch;
  uint32_t config_source; /* instance that has a newer version; 0: unknown */
  bool fetch_failing;     /* the last fetch of a configuration failed */
  struct ColtEvacuations *evacuations;
  struct ColtMembers *members;
  struct ColtAdviserChannel *adviser;
  struct event *heartbeat_timer;
  struct ColtSpeedProbe speed_probe;
  struct event *stop_timer;
  struct ColtMetrics *metrics;
  struct ColtWaitingCounts *waiting_counts; /* from the leader */
  enum ColtCountSource count_source;        /* of the last count */
  GPtrArray *requests;                      /* of struct ColtRequest */
  int64_t answered_us;       /* when a request was last answered */
  int64_t elected_us;        /* when this instance became leader */
  uint64_t last_term;        /* latest term that this instance has seen */
  int64_t last_term_us;      /* when last_term began */
  int64_t previous_led_us;   /* how long the previous leader led */
  bool confirmed_by_members; /* its leadership, and not by the log */
  uint64_t led_term;         /* last term in which this instance led */
  uint64_t stamp_term;       /* term of the leader that sent stamp_us */
  uint64_t stamp_us;         /* latest stamp of that leader */
  struct ColtIsolation isolation;
  bool stopping;
  int64_t stopping_us;
};

/* Handles a caller's request; client is the ColtScheduler. */
void colt_scheduler_handle_request (void *client,
                                    const struct ColtCallerRequest *caller,
                                    struct ColtCallerHandle *handle);
/* Applies a record of the operator's topic if it concerns the evacuation of a
 * zone; returns whether it does. */
bool colt_scheduler_apply_evacuation (struct ColtScheduler *scheduler,
                                      const struct ColtLogRecord *record);
/* Ends evacuations that a full read of the operator's topic doesn't list;
 * client is the ColtScheduler. */
void colt_scheduler_finish_evacuations (void *client);
/* Passes the evacuations in force to a new leader. */
void colt_scheduler_evacuate_leader (struct ColtScheduler *scheduler);
/* Answers all open requests: their effect is uncertain. */
void colt_scheduler_end_requests (struct ColtScheduler *scheduler);
/* Returns whether a request has no answer yet. */
bool colt_scheduler_has_open_requests (const struct ColtScheduler *scheduler);
/* Frees all requests; no call to a leader may end any more. */
void colt_scheduler_free_requests (struct ColtScheduler *scheduler);
/* Accepts calls that other instances forward or send for advice. */
void colt_scheduler_accept_remote_calls (struct ColtScheduler *scheduler);
/* Sends a call for advice through the instance that has been idle for longest,
 * as one instance processes its calls in turn; client is the ColtScheduler.
 * Returns false if none is free. */
bool colt_scheduler_send_advice_call (void *client,
                                      uint64_t number,
                                      const ColtAdviceCall *call);
/* ---- scheduler_config.c: the configuration in force ---- */
/* Handles a record of the operator's topic: applies a configuration if its
 * version is later than the one in force; client is the ColtScheduler. */
void colt_scheduler_handle_config_record (void *client,
                                          const struct ColtLogRecord *record);
/* Returns the version of the configuration in force; 0: there is none. */
int64_t colt_scheduler_config_version (const struct ColtScheduler *scheduler);
/* Returns whether a newer configuration than the one in force exists, or may
 * exist unnoticed. */
bool colt_scheduler_is_config_outdated (const struct ColtScheduler *scheduler);
/* Records a version that exists, and an instance that has it (0: unknown), as
 * another instance reports. Fetches it if the log hasn't brought it for a
 * while.
 */
void colt_scheduler_note_config (struct ColtScheduler *scheduler,
                                 int64_t version,
                                 uint32_t instance);
/* Returns an instance from which one whose configuration has the given version
 * may fetch a newer one; 0 if there is none. */
uint32_t colt_scheduler_refer_config (struct ColtScheduler *scheduler,
                                      uint32_t requester,
                                      int64_t version);
/* As the leader, reports the own version to instances that send no heartbeats.
 */
void colt_scheduler_send_config_notices (struct ColtScheduler *scheduler);
/* Passes on the configuration to instances that fetch it, and prepares to fetch
 * one. */
void colt_scheduler_accept_config_calls (struct ColtScheduler *scheduler);
/* Decides anew whether the configuration is late; logs and counts a change. */
void colt_scheduler_check_config (struct ColtScheduler *scheduler);
void colt_scheduler_set_config_metrics (const struct ColtScheduler *scheduler);
/* Returns the configuration's state as a member of a JSON object, to be freed
 * with g_free(). */
char *colt_scheduler_describe_config (const struct ColtScheduler *scheduler);

/* ---- readiness.c ---- */
void colt_scheduler_init_readiness (struct ColtScheduler *scheduler);
/* Decides anew whether the instance is isolated, and logs a change. */
void colt_scheduler_check_isolation (struct ColtScheduler *scheduler);
/* Returns whether this instance leads and either reaches the log or is in
 * contact with at least half of the instances. */
bool colt_scheduler_is_connected_leader (const struct ColtScheduler *scheduler,
                                         int64_t now_us);
/* Returns whether callers may be sent to this instance; client is the
 * ColtScheduler. */
bool colt_scheduler_is_ready (void *client);
/* Returns readiness and its inputs as members of a JSON object, to be freed
 * with g_free(). */
char *colt_scheduler_describe_readiness (const struct ColtScheduler *scheduler);

/* Makes an instance a peer of the wire, at its address and the port that all
 * instances use. */
void colt_scheduler_set_peer (struct ColtScheduler *scheduler,
                              uint32_t instance);
/* Starts a timer; an event with EV_PERSIST fires repeatedly. */
void colt_scheduler_add_timer (struct event *timer, uint32_t after_ms);

#endif
