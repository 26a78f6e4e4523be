/**
 * \file
 * \brief An instance's role as owner of backend servers.
 *
 * An owner acquires the leases on backend servers of its zone and is the only
 * instance that starts, stops, resizes and renews tasks there. Homes, the
 * instances that lead the shards of tasks, send it requests to start, stop and
 * look up tasks, and it sends them the events of these tasks.
 *
 * The owner connects the lease and the client of each server, the owner's side
 * of the shards and the credits of teams to the event loop. All functions and
 * callbacks run on that loop's thread.
 */
#ifndef COLTSFOOTSTILE_OWNER_H
#define COLTSFOOTSTILE_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/backend.h"
#include "coltsfootstile/counters.h"
#include "coltsfootstile/credits.h"
#include "coltsfootstile/instance_list.h"
#include "coltsfootstile/lease.h"
#include "coltsfootstile/placement.h"
#include "coltsfootstile/shard.h"
#include "coltsfootstile/wire.h"

struct event_base;

/** Time for which an owner keeps the record of an ended task, in seconds. */
#define COLT_OWNER_TASK_RETENTION_S 620
/** Maximum number of starts in one batch of changes. */
#define COLT_CHANGE_STARTS_MAX 32u
/** Maximum number of starts that wait to be sent to one server. */
#define COLT_SERVER_QUEUE_MAX 64u
/** Interval between two renewals of the leases of a server's tasks, in
 * microseconds. */
#define COLT_TASK_RENEW_US INT64_C (2500000)

/** State of a task at its owner. */
enum ColtOwnerTaskState
{
  COLT_OWNER_TASK_QUEUED,      /**< accepted, not yet sent to the server */
  COLT_OWNER_TASK_SENT,        /**< its start was sent and is unanswered */
  COLT_OWNER_TASK_UNCONFIRMED, /**< its start was sent and may have taken
                                * effect; the server is queried */
  COLT_OWNER_TASK_RUNNING,
  COLT_OWNER_TASK_ENDED,
  COLT_OWNER_TASK_NOT_RUN /**< never ran; later copies of its start are
                           * refused */
};

/** Names of enum ColtOwnerTaskState, indexed by it. */
extern const char *const colt_owner_task_state_string[];

/** Parts of the instance that an owner uses. */
struct ColtOwnerParts
{
  struct event_base *base;       /**< event loop */
  struct ColtWire *wire;         /**< connections to other instances */
  struct ColtCounters *counters; /**< registry for the owner's counters */
  uint32_t instance;             /**< this instance's number */
  uint64_t incarnation;          /**< grows each time the instance starts */
  uint32_t zone;                 /**< zone whose servers it may own */
  /** Creates the client of the backend server at an address. The owner destroys
   * the client. */
  struct ColtBackendDriver *(*factory) (void *client, const char *address);
  void *factory_client;
  /** Called when a lease has ended and no other one is valid, unless the owner
   * is stopping. Other instances may own all servers by now, and the credits of
   * this process may be void. May be NULL. */
  void (*all_leases_lost) (void *client);
  void *all_leases_lost_client;
};

/** Owner of backend servers. */
struct ColtOwner;

/**
 * Creates an owner without servers and sets its handlers on the wire.
 *
 * \param parts  copied; the objects that it refers to must outlive the owner
 * \return       the owner, to be freed by colt_owner_destroy()
 */
struct ColtOwner *colt_owner_create (const struct ColtOwnerParts *parts);

/** Destroys an owner; NULL is allowed. */
void colt_owner_destroy (struct ColtOwner *owner);

/**
 * Sets the credits that starts are charged to.
 *
 * \param credits  not owned; with NULL, new starts are refused
 */
void colt_owner_set_credits (struct ColtOwner *owner,
                             struct ColtCreditHolder *credits);

/** Starts the tasks that wait for credits, as far as the credits suffice; to be
 * called after a grant. */
void colt_owner_start_credit_waiters (struct ColtOwner *owner);

/**
 * Updates the backend servers from the platform's list.
 *
 * A server that the list leaves out accepts no new tasks. Each call removes
 * those left out whose lease has ended and that have no open call.
 *
 * \param servers  servers of all zones; those of other zones are skipped
 */
void colt_owner_set_servers (struct ColtOwner *owner,
                             const struct ColtListServer *servers,
                             size_t count);

/**
 * Sets the live instances of the zone that may own servers. They also receive
 * this owner's digests, which report the state of the servers that it holds.
 *
 * \param members  instance numbers; all but the first 128 are ignored
 */
void colt_owner_set_members (struct ColtOwner *owner,
                             const uint32_t *members,
                             size_t count);

/** Returns the owner's side of the shards, which handles messages of leaders;
 * it belongs to the owner. */
struct ColtShardOwner *colt_owner_shards (struct ColtOwner *owner);

/** Sets the leader of a shard, to which events of the shard's tasks are sent;
 * to be called when an open message of this leader is granted. */
void colt_owner_set_leader (struct ColtOwner *owner,
                            uint32_t shard,
                            uint32_t instance);

/** Handles the notice that another instance has released its lease on a server
 * at \a epoch; acquires the server if this instance should own it. */
void colt_owner_handle_hint (struct ColtOwner *owner,
                             uint32_t server,
                             uint64_t epoch);

/**
 * Refuses new starts from now on and releases the lease on every server.
 *
 * \param candidates  instances among which the next owner of each server is
 *                    chosen; it is notified when the lease is released
 */
void colt_owner_stop (struct ColtOwner *owner,
                      const uint32_t *candidates,
                      size_t candidate_count);

/** Returns whether no lease is held and every event has been delivered. */
bool colt_owner_is_stopped (const struct ColtOwner *owner);

/** State of a backend server, for the state dump. */
struct ColtOwnedServerInfo
{
  uint32_t server; /**< number */
  const char *address;
  uint32_t rack;
  enum ColtLeaseState state;
  uint64_t epoch;       /**< of the lease held, or the highest seen if none */
  int64_t lease_end_us; /**< monotonic time, 0: no lease is held */
  uint32_t holder;      /**< instance with the lease, 0: none or unknown */
  struct ColtResources capacity;
  struct ColtResources free;   /**< capacity less the limits of its tasks */
  bool leaving;                /**< accepts no new tasks */
  uint32_t running;            /**< tasks */
  uint32_t queued;             /**< starts that wait to be sent */
  uint32_t probation_permille; /**< share of the usual work that the server
                                * may be given, 1000 if healthy */
  uint32_t speed_permille;     /**< COLT_SPEED_NORMAL at declared speed */
  uint64_t failures;           /**< consecutive failed tasks */
};

/** Calls \a visit for each server, in ascending order of numbers; \a info is
 * valid during the call. */
void colt_owner_visit_servers (
    const struct ColtOwner *owner,
    void (*visit) (void *client, const struct ColtOwnedServerInfo *info),
    void *client);

#endif
