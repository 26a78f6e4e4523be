/**
 * \file
 * \brief Model of a backend server in a simulated zone.
 *
 * It holds the true state of one server's lease and tasks. A time \a now is the
 * simulated time in microseconds; the server's own clock drifts from it.
 */
#ifndef COLTSFOOTSTILE_ZONE_SERVER_H
#define COLTSFOOTSTILE_ZONE_SERVER_H

#include <glib.h>

#include "coltsfootstile/backend.h"
#include "coltsfootstile/shard_messages.h"

/** Duration of the lease of a task, in milliseconds. */
#define COLT_ZONE_TASK_LEASE_MS 1000

/** Kind of a call to a server. */
enum ColtZoneCallKind
{
  COLT_ZONE_ACQUIRE,
  COLT_ZONE_RENEW,
  COLT_ZONE_RELEASE,
  COLT_ZONE_INVENTORY,
  COLT_ZONE_START,
  COLT_ZONE_RENEW_TASKS
};

/** A task on a server. */
struct ColtZoneTask
{
  uint32_t number;
  uint32_t shard;
  uint64_t epoch; /**< of the shard, from the leader that sent the start */
  uint32_t server;
  bool is_running;
  int64_t lease_end; /**< end of its lease, in us of the server's clock */
  int64_t finish;    /**< end of its work, in us of the server's clock */
};

/** A call to a server. */
struct ColtZoneCall
{
  enum ColtZoneCallKind kind;
  uint32_t server;
  uint32_t owner;           /**< instance that calls */
  uint64_t number;          /**< number of the call in the caller's lease */
  uint64_t epoch;           /**< epoch of the caller's lease */
  int token;                /**< echoed token, 0: none */
  uint64_t shards;          /**< bit N: renews the tasks of shard N */
  struct ColtZoneTask task; /**< task to be started */
};

/** Answer to a call. */
struct ColtZoneAnswer
{
  bool is_fenced; /**< rejected, since the caller doesn't hold the lease */
  struct ColtBackendFence fence;       /**< set if is_fenced */
  int token;                           /**< new token, from 1 */
  const struct ColtZoneTask *accepted; /**< started task, NULL if none; owned by
                                        * the server */
  GArray *tasks; /**< inventory, of struct ColtZoneTask, to be freed by the
                  * caller; NULL for other calls */
  struct ColtShardEpoch epochs[COLT_SHARD_COUNT]; /**< highest shard epochs in
                                                   * the inventory */
};

/** Model of a server. */
struct ColtZoneServerModel;

/** Creates a server whose clock runs too fast by \a ppm parts per million; to
 * be freed by colt_zone_server_destroy(). */
struct ColtZoneServerModel *colt_zone_server_create (int64_t ppm);
/** Destroys a server. */
void colt_zone_server_destroy (struct ColtZoneServerModel *server);
/** Crashes a server for good, which ends its tasks. */
void colt_zone_server_kill (struct ColtZoneServerModel *server, int64_t now);
/** Makes a server ignore all calls until the simulated time \a until. */
void colt_zone_server_disconnect (struct ColtZoneServerModel *server,
                                  int64_t until);
/** Performs a call; returns false if the server is down or disconnected and
 * gives no answer. */
bool colt_zone_server_call (struct ColtZoneServerModel *server,
                            int64_t now,
                            const struct ColtZoneCall *call,
                            struct ColtZoneAnswer *answer);
/** Returns whether \a owner holds the lease with \a epoch, or the server has
 * crashed, so that no start can reach it. */
bool colt_zone_server_is_held_by (struct ColtZoneServerModel *server,
                                  int64_t now,
                                  uint32_t owner,
                                  uint64_t epoch);
/** Returns whether a task was accepted and has ended. */
bool colt_zone_server_has_ended (struct ColtZoneServerModel *server,
                                 uint32_t task);
/** Counts the running tasks of a shard. */
int colt_zone_server_count_running (struct ColtZoneServerModel *server,
                                    int64_t now,
                                    uint32_t shard);
/** Counts the tasks whose leases ran out. */
int64_t colt_zone_server_count_lapsed_tasks (struct ColtZoneServerModel *server,
                                             int64_t now);
/** Returns whether each running task of a shard is in at least one of two sets
 * of task numbers; a set that is NULL is empty. */
bool colt_zone_server_tasks_are_listed (struct ColtZoneServerModel *server,
                                        int64_t now,
                                        uint32_t shard,
                                        GHashTable *reported,
                                        GHashTable *sent);
/** Returns the task reference that encodes a task number. */
struct ColtTaskRef colt_zone_task_ref (uint32_t number);
/** Returns the task number that a task reference encodes. */
uint32_t colt_zone_task_number (const struct ColtTaskRef *ref);

#endif
