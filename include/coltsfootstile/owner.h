/**
 * \file
 * \brief The instance's duty as owner of backend servers.
 *
 * Joins the lease on each server, the owner's side of the shards, the credits
 * of teams and the client of each server on the event loop. Homes ask it to
 * start, stop and look up tasks; it tells them what becomes of these.
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

/** How long an owner remembers a task that ended, in seconds. */
#define COLT_OWNER_MEMORY_S 620
/** Starts that one batch of changes carries at most. */
#define COLT_CHANGE_STARTS_MAX 32u
/** Starts that may wait for one server. */
#define COLT_SERVER_QUEUE_MAX 64u
/** Time between two renewals of a server's tasks, in microseconds. */
#define COLT_TASK_RENEW_US INT64_C (2500000)

/** Where a task stands at its owner. */
enum ColtOwnerTaskState
{
  COLT_OWNER_TASK_QUEUED, /**< accepted, not yet sent to the server */
  COLT_OWNER_TASK_SENT,   /**< a change that starts it is open */
  COLT_OWNER_TASK_UNSURE, /**< that change had no answer */
  COLT_OWNER_TASK_RUNNING,
  COLT_OWNER_TASK_ENDED,
  COLT_OWNER_TASK_NEVER /**< it never ran and never will */
};

/** Names of enum ColtOwnerTaskState, indexed by it. */
extern const char *const colt_owner_task_state_string[];

/** What an owner needs from the rest of the instance. */
struct ColtOwnerParts
{
  struct event_base *base;
  struct ColtWire *wire;
  struct ColtCounters *counters;
  uint32_t instance;
  uint64_t incarnation;
  uint32_t zone;
  /** Makes the client of one backend server. */
  struct ColtBackendDriver *(*factory) (void *client, const char *address);
  void *factory_client;
  /** No lease runs any more: others may have taken everything over, and the
   * credits of this process may count no more. May be NULL. */
  void (*bare) (void *client);
  void *bare_client;
};

/** The owner. */
struct ColtOwner;

/** Creates an owner of no servers; the parts must outlive it. */
struct ColtOwner *colt_owner_create (const struct ColtOwnerParts *parts);

/** Destroys an owner; NULL is allowed. */
void colt_owner_destroy (struct ColtOwner *owner);

/** Sets the credits that starts are charged to; none may start without them. */
void colt_owner_set_credits (struct ColtOwner *owner,
                             struct ColtCreditHolder *credits);

/** Credits have come: starts what waits for them. */
void colt_owner_credits_came (struct ColtOwner *owner);

/** Takes the zone's backend servers from the platform's list. */
void colt_owner_set_servers (struct ColtOwner *owner,
                             const struct ColtListServer *servers,
                             size_t count);

/** Takes the zone's members that may own servers. */
void colt_owner_set_members (struct ColtOwner *owner,
                             const uint32_t *members,
                             size_t count);

/** Returns the owner's side of the shards, for messages of leads. */
struct ColtShardOwner *colt_owner_shards (struct ColtOwner *owner);

/** A lead's open was granted: task events of the shard go to it now. */
void colt_owner_set_lead (struct ColtOwner *owner,
                          uint32_t shard,
                          uint32_t instance);

/** Another instance has given up a server. */
void colt_owner_hint (struct ColtOwner *owner, uint32_t server, uint64_t epoch);

/** Stops to take work and gives every server up, for \a heirs to take. */
void colt_owner_stop (struct ColtOwner *owner,
                      const uint32_t *heirs,
                      size_t heir_count);

/** Returns whether nothing is held and every event has been told. */
bool colt_owner_stopped (const struct ColtOwner *owner);

/** A server, for the state dump. */
struct ColtOwnedServerInfo
{
  uint32_t server;
  const char *address;
  uint32_t rack;
  enum ColtLeaseState state;
  uint64_t epoch;
  int64_t lease_end_us;
  uint32_t holder;
  struct ColtResources capacity;
  struct ColtResources free;
  bool leaving;
  uint32_t running;
  uint32_t queued;
  uint32_t probation_permille;
  uint32_t speed_permille;
  uint64_t failures; /**< tasks that failed in a row */
};

/** Calls \a visit for each server, in ascending order. */
void colt_owner_visit_servers (
    const struct ColtOwner *owner,
    void (*visit) (void *client, const struct ColtOwnedServerInfo *info),
    void *client);

#endif
