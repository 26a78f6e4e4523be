/**
 * \file
 * \brief A backend server of the zone model: the truth about one server.
 */
#ifndef COLTSFOOTSTILE_ZONE_SERVER_H
#define COLTSFOOTSTILE_ZONE_SERVER_H

#include <glib.h>

#include "coltsfootstile/backend.h"
#include "coltsfootstile/shard_messages.h"

/** Lease of tasks in milliseconds. */
#define COLT_ZONE_TASK_LEASE_MS 1000

/** What is asked of a server. */
enum ColtZoneCallKind
{
  COLT_ZONE_ACQUIRE,
  COLT_ZONE_RENEW,
  COLT_ZONE_RELEASE,
  COLT_ZONE_INVENTORY,
  COLT_ZONE_START,
  COLT_ZONE_RENEW_TASKS
};

/** A task. */
struct ColtZoneTask
{
  uint32_t number;
  uint32_t shard;
  uint64_t epoch;
  uint32_t server;
  bool is_running;
  int64_t lease_end; /**< by the server's clock */
  int64_t finish;    /**< by the server's clock */
};

/** A call. */
struct ColtZoneCall
{
  enum ColtZoneCallKind kind;
  uint32_t server;
  uint32_t owner;
  uint64_t number; /**< of the caller's lease */
  uint64_t epoch;
  int token;       /**< 0: none */
  uint64_t shards; /**< whose tasks are renewed */
  struct ColtZoneTask task;
};

/** An answer. */
struct ColtZoneAnswer
{
  bool is_fenced;
  struct ColtBackendFence fence;
  int token;
  const struct ColtZoneTask *landed; /**< a start that was taken */
  GArray *tasks; /**< of struct ColtZoneTask, of an inventory */
  struct ColtShardEpoch epochs[COLT_SHARD_COUNT];
};

/** A server. */
struct ColtZoneServerModel;

/** Creates a server whose clock runs too fast by \a ppm. */
struct ColtZoneServerModel *colt_zone_server_create (int64_t ppm);
/** Destroys a server. */
void colt_zone_server_destroy (struct ColtZoneServerModel *server);
/** Ends a server for good. */
void colt_zone_server_kill (struct ColtZoneServerModel *server, int64_t now);
/** Lets a server take no call until a time. */
void colt_zone_server_silence (struct ColtZoneServerModel *server,
                               int64_t until);
/** Takes a call; returns false if there is no answer. */
bool colt_zone_server_call (struct ColtZoneServerModel *server,
                            int64_t now,
                            const struct ColtZoneCall *call,
                            struct ColtZoneAnswer *answer);
/** Returns whether the lease is held so, or the server is dead. */
bool colt_zone_server_is_held (struct ColtZoneServerModel *server,
                               int64_t now,
                               uint32_t owner,
                               uint64_t epoch);
/** Returns whether a task was taken and has ended. */
bool colt_zone_server_has_ended (struct ColtZoneServerModel *server,
                                 uint32_t task);
/** Counts running tasks of a shard. */
int colt_zone_server_count_running (struct ColtZoneServerModel *server,
                                    int64_t now,
                                    uint32_t shard);
/** Counts tasks whose leases ran out. */
int64_t colt_zone_server_count_lapsed (struct ColtZoneServerModel *server,
                                       int64_t now);
/** Returns whether all running tasks of a shard are in one of two sets of
 * numbers, which may be NULL. */
bool colt_zone_server_is_covered (struct ColtZoneServerModel *server,
                                  int64_t now,
                                  uint32_t shard,
                                  GHashTable *reported,
                                  GHashTable *sent);
/** Returns the reference of a task number. */
struct ColtTaskRef colt_zone_task_ref (uint32_t number);
/** Returns the number of a task reference. */
uint32_t colt_zone_task_number (const struct ColtTaskRef *ref);

#endif
