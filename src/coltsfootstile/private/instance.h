/**
 * \file
 * \brief One entry instance: every duty on one event loop.
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

/** How an instance stands. */
enum ColtInstanceState
{
  COLT_INSTANCE_STARTING, /**< no bundle is in force here yet */
  COLT_INSTANCE_READY,
  COLT_INSTANCE_STOPPING /**< hands over; takes nothing new */
};

/** Names of enum ColtInstanceState, indexed by it. */
extern const char *const colt_instance_state_string[];

/** An instance. */
struct ColtInstance
{
  struct event_base *base;
  const struct ColtSettings *settings;
  uint32_t number;
  uint32_t zone;
  uint64_t incarnation;
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
  int64_t ticked_us; /**< when the timer last ran */
  uint32_t stalls;   /**< counter of late ticks */
  bool stopping;
  bool stopped_duties; /**< homes and owners have been told to stop */
  int64_t stop_us;     /**< when the stop began */
};

/* instance.c */

/**
 * Creates an instance from checked settings, which must outlive it.
 *
 * \return NULL with an error if an address can't be bound or a key is wrong
 */
struct ColtInstance *colt_instance_create (struct event_base *base,
                                           const struct ColtSettings *settings,
                                           struct ColtError *error);
/** Destroys an instance; NULL is allowed. */
void colt_instance_destroy (struct ColtInstance *instance);
/** Begins a planned stop; the loop ends when all is handed over. */
void colt_instance_stop (struct ColtInstance *instance);
enum ColtInstanceState
colt_instance_state (const struct ColtInstance *instance);

/* instance_members.c: members and servers, from membership and the list */
void colt_instance_take_list (void *client,
                              const struct ColtInstanceList *list);
void colt_instance_member_changed (void *client,
                                   const struct ColtMember *member);
void colt_instance_add_peers (struct ColtInstance *instance);
uint32_t colt_instance_lead_of (void *client, uint32_t zone, uint32_t shard);
/** Returns the live member of a zone that a rendezvous key chooses, 0: none. */
uint32_t colt_instance_choose (const struct ColtInstance *instance,
                               uint32_t zone,
                               uint64_t key);
/** Gives the platform's servers to the duties, once they can take them. */
void colt_instance_spread_servers (struct ColtInstance *instance);
/** Tells all duties who is there. */
void colt_instance_spread_members (struct ColtInstance *instance);

/* instance_bundles.c: the bundle in force, keys and freshness */
struct ColtInstanceBundles *
colt_instance_bundles_create (struct ColtInstance *instance,
                              struct ColtError *error);
void colt_instance_bundles_destroy (struct ColtInstanceBundles *bundles);
void colt_instance_bundles_take (struct ColtInstanceBundles *bundles,
                                 const struct ColtLogItem *item);
void colt_instance_bundles_gap (struct ColtInstanceBundles *bundles,
                                uint64_t first);
void colt_instance_bundles_step (struct ColtInstanceBundles *bundles,
                                 int64_t now_us);
const struct ColtBundle *colt_instance_bundle (void *client);
const struct ColtKeyring *colt_instance_keyring (void *client);
bool colt_instance_fresh (void *client);
json_t *colt_instance_bundles_dump (const struct ColtInstanceBundles *bundles);

/* instance_jobs.c: work accepted for later */
struct ColtInstanceJobs *
colt_instance_jobs_create (struct ColtInstance *instance);
void colt_instance_jobs_destroy (struct ColtInstanceJobs *jobs);
void colt_instance_jobs_take (struct ColtInstanceJobs *jobs,
                              const struct ColtLogItem *item);
void colt_instance_jobs_step (struct ColtInstanceJobs *jobs, int64_t now_us);
size_t colt_instance_jobs_count (const struct ColtInstanceJobs *jobs);
extern const struct ColtHomeClient colt_instance_home_client;

/* instance_limits.c: teams' upper limits */
struct ColtInstanceLimits *
colt_instance_limits_create (struct ColtInstance *instance);
void colt_instance_limits_destroy (struct ColtInstanceLimits *limits);
void colt_instance_limits_take (struct ColtInstanceLimits *limits,
                                const struct ColtLogItem *item);
void colt_instance_limits_gap (struct ColtInstanceLimits *limits,
                               uint64_t first);
void colt_instance_limits_step (struct ColtInstanceLimits *limits,
                                int64_t now_us);
/** This instance holds no server any more: its credits are void. */
void colt_instance_limits_bare (void *client);
/** Returns whether this instance may own servers: credits can be counted. */
bool colt_instance_limits_ready (const struct ColtInstanceLimits *limits);
/** Returns the packed fold if it stands at an offset, or NULL. */
uint8_t *colt_instance_limits_pack (const struct ColtInstanceLimits *limits,
                                    uint64_t next_offset,
                                    size_t *size);
void colt_instance_limits_lead (struct ColtInstanceLimits *limits,
                                uint32_t shard,
                                uint64_t epoch,
                                bool led);
void colt_instance_limits_seat (struct ColtInstanceLimits *limits,
                                uint32_t shard,
                                uint32_t server,
                                uint32_t owner,
                                uint64_t server_epoch);
void colt_instance_limits_written_off (struct ColtInstanceLimits *limits,
                                       uint32_t server);
/** Tells peers all that is known of compliance, for one that is new. */
void colt_instance_limits_tell_all (struct ColtInstanceLimits *limits);
json_t *colt_instance_limits_dump (const struct ColtInstanceLimits *limits);

/* instance_state.c: dumps, counters and health over HTTP */
bool colt_instance_serve (void *client,
                          struct evhttp_request *http,
                          const char *path);

#endif
