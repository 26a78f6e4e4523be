/**
 * \file
 * \brief An entry instance: all of its components on one event loop.
 *
 * The gate serves callers, the home leads shards of requests, and the owner
 * holds the leases of backend servers. The sources of this folder connect them
 * with the membership, the log service, the instance list, the bundle in force
 * and the limits of teams.
 */
#ifndef COLTSFOOTSTILE_INSTANCE_H
#define COLTSFOOTSTILE_INSTANCE_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "coltsfootstile/bundle_chain.h"
#include "coltsfootstile/counters.h"
#include "coltsfootstile/freshness.h"
#include "coltsfootstile/gate.h"
#include "coltsfootstile/home.h"
#include "coltsfootstile/instance_list.h"
#include "coltsfootstile/log_service.h"
#include "coltsfootstile/membership_link.h"
#include "coltsfootstile/owner.h"
#include "coltsfootstile/settings.h"
#include "coltsfootstile/wire.h"

struct ColtInstanceBundles;
struct ColtInstanceJobs;
struct ColtInstanceLimits;

/** State of an instance. */
enum ColtInstanceState
{
  COLT_INSTANCE_STARTING, /**< waits for a bundle to be in force */
  COLT_INSTANCE_READY,    /**< serves requests */
  COLT_INSTANCE_STOPPING  /**< hands over; accepts nothing new */
};

/** Names of enum ColtInstanceState, indexed by it. */
extern const char *const colt_instance_state_string[];

/** An instance; it owns all parts but the event loop and the settings. */
struct ColtInstance
{
  struct event_base *base;
  const struct ColtSettings *settings;
  uint32_t number;
  uint32_t zone;
  uint64_t incarnation; /**< start time in ms since 1970 */
  struct ColtCounters *counters;
  struct ColtWire *wire;
  struct ColtMembership *membership;
  struct ColtMembershipLink *link;
  struct ColtListPoller *list;
  struct ColtLogClient *log;
  struct ColtInstanceBundles *bundles;
  struct ColtInstanceJobs *jobs;
  struct ColtInstanceLimits *limits;
  struct ColtOwner *owner;
  struct ColtHome *home;
  struct ColtGate *gate;
  struct event *timer;
  int64_t last_tick_us; /**< when the timer last ran; 0: never */
  uint32_t stalls;      /**< index of the counter of late ticks */
  bool stopping;
  bool handover_begun; /**< the home and the owner are stopping */
  int64_t stop_us;     /**< when the planned stop began */
};

/* instance.c */

/**
 * Creates an instance and starts it.
 *
 * \param base      event loop, which must outlive the instance
 * \param settings  checked settings, which must outlive the instance
 * \param error     set on failure
 * \return          the instance, to be destroyed with colt_instance_destroy();
 *                  NULL with an error if an address can't be bound or an
 *                  operator's key is malformed
 */
struct ColtInstance *colt_instance_create (struct event_base *base,
                                           const struct ColtSettings *settings,
                                           struct ColtError *error);
/** Destroys an instance; NULL is allowed. */
void colt_instance_destroy (struct ColtInstance *instance);
/**
 * Begins a planned stop: leadership and leases are handed over, then the event
 * loop ends, after the setting grace_ms at the latest.
 */
void colt_instance_stop (struct ColtInstance *instance);
/** Returns the state of an instance. */
enum ColtInstanceState
colt_instance_state (const struct ColtInstance *instance);

/* instance_members.c */

/** Callback of the list poller: adds the live instances of a new list to the
 * membership and passes its servers on. */
void colt_instance_handle_list (void *client,
                                const struct ColtInstanceList *list);
/** Callback of the membership: logs a member's new state, passes the eligible
 * members on and announces the compliance if the member is alive. */
void colt_instance_on_member_changed (void *client,
                                      const struct ColtMember *member);
/** Adds the peers of the settings to the membership. */
void colt_instance_add_peers (struct ColtInstance *instance);
/** Callback of the gate: returns the instance that rendezvous hashing chooses
 * as leader of a shard in a zone; 0 if the zone has no eligible member. */
uint32_t
colt_instance_find_leader (void *client, uint32_t zone, uint32_t shard);
/** Returns the eligible member of a zone that rendezvous hashing chooses for a
 * key; 0 if there is none. */
uint32_t colt_instance_choose_member (const struct ColtInstance *instance,
                                      uint32_t zone,
                                      uint64_t key);
/** Passes the backend servers of the instance list to the owner and the home.
 * Does nothing until there is a list and colt_instance_limits_is_ready(). */
void colt_instance_update_servers (struct ColtInstance *instance);
/** Passes the eligible members to the owner, the home and the log client. */
void colt_instance_update_members (struct ColtInstance *instance);

/* instance_bundles.c */

/**
 * Creates the state of bundles, keys and freshness.
 *
 * \return NULL with COLT_ERROR_INVALID if the settings have no operator's key,
 *         too many of them or a malformed one
 */
struct ColtInstanceBundles *
colt_instance_bundles_create (struct ColtInstance *instance,
                              struct ColtError *error);
/** Destroys the state; NULL is allowed. */
void colt_instance_bundles_destroy (struct ColtInstanceBundles *bundles);
/** Applies a record of the log to the chain of bundles. */
void colt_instance_bundles_apply_record (struct ColtInstanceBundles *bundles,
                                         const struct ColtLogItem *item);
/** Handles the loss of all records before offset \a first. */
void colt_instance_bundles_handle_gap (struct ColtInstanceBundles *bundles,
                                       uint64_t first);
/** Does the periodic work; called on each tick of the instance's timer. */
void colt_instance_bundles_step (struct ColtInstanceBundles *bundles,
                                 int64_t now_us);
/** Callback of the gate: returns the bundle in force, or NULL. */
const struct ColtBundle *colt_instance_get_bundle (void *client);
/** Callback of the gate: returns the keyring that callers' keys are checked
 * against. */
const struct ColtKeyring *colt_instance_get_keyring (void *client);
/** Callback of the gate: returns whether this instance has every withdrawal of
 * a key that is older than COLT_FRESHNESS_BOUND_MS. */
bool colt_instance_keys_are_fresh (void *client);
/** Returns a state dump, which the caller owns. */
json_t *colt_instance_bundles_dump (const struct ColtInstanceBundles *bundles);

/* instance_jobs.c */

/** Creates the table of durable requests, called jobs, of the own zone. */
struct ColtInstanceJobs *
colt_instance_jobs_create (struct ColtInstance *instance);
/** Destroys the table; NULL is allowed. */
void colt_instance_jobs_destroy (struct ColtInstanceJobs *jobs);
/** Applies a record of the log: a job or the end of a job. */
void colt_instance_jobs_apply_record (struct ColtInstanceJobs *jobs,
                                      const struct ColtLogItem *item);
/** Does the periodic work; called on each tick of the instance's timer. */
void colt_instance_jobs_step (struct ColtInstanceJobs *jobs, int64_t now_us);
/** Returns the number of jobs that have not ended. */
size_t colt_instance_jobs_count (const struct ColtInstanceJobs *jobs);
/** Callbacks of the home; their client is the struct ColtInstance. */
extern const struct ColtHomeClient colt_instance_home_client;

/* instance_limits.c and limits_credits.c */

/** Creates the state of teams' limits. The operators' keys in the settings must
 * be valid. */
struct ColtInstanceLimits *
colt_instance_limits_create (struct ColtInstance *instance);
/** Destroys the state; NULL is allowed. */
void colt_instance_limits_destroy (struct ColtInstanceLimits *limits);
/** Applies a record of the log to the entitlements. */
void colt_instance_limits_apply_record (struct ColtInstanceLimits *limits,
                                        const struct ColtLogItem *item);
/** Handles the loss of all records before offset \a first. */
void colt_instance_limits_handle_gap (struct ColtInstanceLimits *limits,
                                      uint64_t first);
/** Does the periodic work; called on each tick of the instance's timer. */
void colt_instance_limits_step (struct ColtInstanceLimits *limits,
                                int64_t now_us);
/**
 * Callback of the owner when all leases are lost: starts over without credits
 * under a new process id, since leaders may have granted the old credits to
 * other owners.
 */
void colt_instance_limits_reset_credits (void *client);
/** Returns whether credits can be counted; until then, the instance must not
 * own servers. */
bool colt_instance_limits_is_ready (const struct ColtInstanceLimits *limits);
/**
 * Packs the entitlements for a snapshot.
 *
 * \param next_offset  offset up to which they must be known exactly
 * \param size         set to the size in bytes
 * \return             to be freed with free(); NULL if the entitlements are at
 *                     another offset or lack a snapshot
 */
uint8_t *colt_instance_limits_pack (const struct ColtInstanceLimits *limits,
                                    uint64_t next_offset,
                                    size_t *size);
/** Handles the start of leadership of a shard at an epoch or, if \a led is
 * false, its end. */
void colt_instance_limits_set_leadership (struct ColtInstanceLimits *limits,
                                          uint32_t shard,
                                          uint64_t epoch,
                                          bool led);
/** Records that an owner has reported the tasks of a shard on a server. */
void colt_instance_limits_record_owner (struct ColtInstanceLimits *limits,
                                        uint32_t shard,
                                        uint32_t server,
                                        uint32_t owner,
                                        uint64_t server_epoch);
/** Removes a server that was unreachable for so long that nothing can run there
 * any more. */
void colt_instance_limits_remove_server (struct ColtInstanceLimits *limits,
                                         uint32_t server);
/** Sends the compliance of all zones on the next probes, for a peer that is
 * new. */
void
colt_instance_limits_announce_compliance (struct ColtInstanceLimits *limits);
/** Returns a state dump, which the caller owns. */
json_t *colt_instance_limits_dump (const struct ColtInstanceLimits *limits);

/* instance_state.c */

/** Callback of the gate: serves metrics, health and state dumps. Returns false
 * if the path doesn't exist. */
bool colt_instance_serve (void *client,
                          struct evhttp_request *http,
                          const char *path);

#endif
