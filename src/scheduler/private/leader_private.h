/* State of a leader; shared by its source files. */
#ifndef COLT_LEADER_PRIVATE_H
#define COLT_LEADER_PRIVATE_H

#include "lag.h"
#include "load_meter.h"
#include "scheduler_private.h"

enum ColtLeaderPhase
{
  PHASE_FENCING, /* makes the log reject appends of earlier leaders */
  PHASE_LOADING, /* reads jobs from the log */
  PHASE_SERVING
};

/* Changes of which servers are suspected since the last log line. */
struct ColtSuspicionChanges
{
  char *server; /* the first that was suspected; NULL: none */
  uint32_t added;
  uint32_t cleared;
  int64_t logged_us; /* time of the last line; 0: none */
};

struct ColtLeader
{
  const struct ColtPorts *ports;
  const struct ColtSchedulerSettings *settings;
  struct ColtMetrics *metrics;
  struct ColtLeaderClient client;
  struct event_base *base;
  uint64_t term;
  enum ColtLeaderPhase phase;
  int64_t created_us;
  struct ColtCell *cell;
  struct ColtCommit *commit;
  struct ColtWatch *server_watch;
  const struct ColtWatch *operator_watch; /* NULL: none is followed */
  bool starts_held; /* as the operator's topic wasn't read recently */
  struct ColtLogChannel *load_channel; /* for fencing and loading */
  struct event *timer;
  struct ColtLag lag; /* of timer */
  struct ColtLoadMeter meter;
  uint64_t advice_calls; /* made for the cell */
  struct event *place_timer;
  int64_t place_pause_us;          /* before the next pass */
  struct event *retry_timer;       /* for fencing and loading */
  struct ColtOrderWindow *window;  /* of start orders to all servers */
  struct ColtSuspicion *suspicion; /* of all servers */
  struct ColtSuspicionChanges suspicion_changes;
  GHashTable *links;           /* server id -> struct ColtServerLink */
  GPtrArray *link_clients;     /* of struct ColtLinkClient, of all links */
  GHashTable *listed_ids;      /* servers listed by the open full read */
  GPtrArray *calls;            /* of struct ColtLeaderCall */
  GPtrArray *state_calls;      /* of struct ColtStateCall */
  GPtrArray *progress_records; /* held until all jobs are loaded */
  char *load_after;            /* last key of the previous page */
  int64_t extension_us;        /* of the leases of earlier leaders */
  int64_t confirmed_us;        /* when the log last confirmed this one */
  int64_t confirmed_until_us;  /* no lease may end later */
  bool closing;
  uint64_t loaded_count; /* records loaded from the log */
  int64_t config_version;
};

/* What a link passes to its callbacks. */
struct ColtLinkClient
{
  struct ColtLeader *leader;
  const struct ColtCellServer *server;
};

/* Returns the longest duration of a lease. A later leader waits only this long
 * for the leases of an earlier one to end. */
uint32_t colt_leader_lease_ms (const struct ColtLeader *leader);
/* Returns when all leases of earlier leaders have certainly ended. */
int64_t colt_leader_inherited_until_us (const struct ColtLeader *leader);
/* Loads a record of the log into the cell. */
void colt_leader_load_record (struct ColtLeader *leader,
                              const char *key,
                              const uint8_t *value,
                              size_t size);
/* Fences earlier leaders at the log and loads their records; then calls
 * colt_leader_serve(). */
void colt_leader_fence_log (struct ColtLeader *leader);
/* Timer callback: retries fencing or loading. */
void colt_leader_retry (evutil_socket_t fd, short what, void *arg);
/* Holds starts back while the operator's topic may list requests that aren't
 * known. */
void colt_leader_check_operator (struct ColtLeader *leader, int64_t now_us);
/* Applies to a link whether its server's zone is evacuated. */
void colt_leader_update_evacuated (struct ColtLeader *leader,
                                   struct ColtServerLink *link);
/* Follows the list of servers, and keeps a link to each of them. */
void colt_leader_watch_servers (struct ColtLeader *leader);
/* Ends loading and starts to serve calls. */
void colt_leader_serve (struct ColtLeader *leader);
/* Ends calls that have waited too long for a batch: jobs that can be withdrawn
 * are rejected, the result of other calls is uncertain. */
void colt_leader_expire_calls (struct ColtLeader *leader, int64_t now_us);
/* Answers calls for the state of a job that has ended durably, and those that
 * have waited too long for it. */
void colt_leader_answer_state_calls (struct ColtLeader *leader, int64_t now_us);
/* Handles that a server is suspected, or no longer; client is the
 * ColtLinkClient. */
void colt_leader_handle_suspected (void *client,
                                   struct ColtServerLink *link,
                                   bool suspected);
/* Logs changes of which servers are suspected, at most once a second. */
void colt_leader_log_suspicion (struct ColtLeader *leader, int64_t now_us);
/* Schedules a placement pass. */
void colt_leader_schedule_placement (struct ColtLeader *leader);
/* Answers all open calls when the leader is destroyed. */
void colt_leader_end_calls (struct ColtLeader *leader);

#endif
