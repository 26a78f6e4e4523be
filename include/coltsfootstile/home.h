/**
 * \file
 * \brief The instance's duty as home of requests: lead of their shards.
 *
 * Joins the lead's side of the shards, the table of requests and the
 * placement on the event loop. Gates hand requests in, owners are asked to
 * start their tasks, and the gates that wait are told how they ended.
 */
#ifndef COLTSFOOTSTILE_HOME_H
#define COLTSFOOTSTILE_HOME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/counters.h"
#include "coltsfootstile/owner.h"
#include "coltsfootstile/placement.h"
#include "coltsfootstile/request.h"
#include "coltsfootstile/shard.h"
#include "coltsfootstile/wire.h"

struct event_base;

/** What a home needs from the rest of the instance. */
struct ColtHomeParts
{
  struct event_base *base;
  struct ColtWire *wire;
  struct ColtCounters *counters;
  struct ColtOwner *owner;
  uint32_t instance;
  uint64_t incarnation;
  uint32_t zone;
  uint64_t seed; /**< of the random numbers that choices use */
};

/** What a home asks of the rest of the instance. */
struct ColtHomeClient
{
  /** A team's shard is led here now, or no longer. */
  void (*team_shard) (void *client, uint32_t shard, uint64_t epoch, bool led);
  /** An owner has answered for a server in a recount of a shard. */
  void (*seated) (void *client,
                  uint32_t shard,
                  uint32_t server,
                  uint32_t owner,
                  uint64_t server_epoch);
  /** Nobody reaches a server, and nothing can run there any more. */
  void (*written_off) (void *client, uint32_t server);
  /** Makes a request durable; \a done is called once, with whether it is on
   * the log, certainly not on it, or uncertain. */
  void (*store) (void *client,
                 const struct ColtId *id,
                 const struct ColtRequestSpec *spec,
                 void (*done) (void *done_client, bool stored, bool certain),
                 void *done_client);
  /** A durable request has ended. */
  void (*stored_end) (void *client,
                      const struct ColtId *id,
                      enum ColtOutcome outcome);
  /** Returns whether a durable request is known to have ended, and how. */
  bool (*stored_outcome) (void *client,
                          const struct ColtId *id,
                          enum ColtOutcome *outcome);
  /** Calls \a take for each durable request of a shard that has not ended. */
  void (*load) (void *client,
                uint32_t shard,
                void (*take) (void *take_client,
                              const struct ColtId *id,
                              const struct ColtRequestSpec *spec),
                void *take_client);
};

/** The home. */
struct ColtHome;

/** Creates a home that leads nothing; the parts must outlive it. */
struct ColtHome *colt_home_create (const struct ColtHomeParts *parts,
                                   const struct ColtHomeClient *calls,
                                   void *client);

/** Destroys a home; NULL is allowed. */
void colt_home_destroy (struct ColtHome *home);

/** Takes the zone's members that may lead. */
void colt_home_set_members (struct ColtHome *home,
                            const uint32_t *members,
                            size_t count);

/** Takes the zone's backend servers. */
void colt_home_set_servers (struct ColtHome *home,
                            const uint32_t *servers,
                            size_t count);

/** Returns how many backend servers the zone has. */
size_t colt_home_server_count (const struct ColtHome *home);

/** Takes the bundle in force. */
void colt_home_set_bundle (struct ColtHome *home,
                           const struct ColtBundle *bundle);

/**
 * Offers a durable request that was read in the log. It is taken up if its
 * shard is led here, it isn't known yet, and every server of the zone is
 * accounted for; otherwise it has to be offered again.
 */
void colt_home_offer (struct ColtHome *home,
                      const struct ColtId *id,
                      const struct ColtRequestSpec *spec);

/** Resigns from all shards and takes no more requests. */
void colt_home_stop (struct ColtHome *home);

/** Returns whether every answer has been told. */
bool colt_home_stopped (const struct ColtHome *home);

/** Returns the requests, for the state dump. */
const struct ColtRequests *colt_home_requests (const struct ColtHome *home);

/** Returns the lead's side of the shards, for the state dump. */
const struct ColtShardLead *colt_home_shards (const struct ColtHome *home);

/** Returns the placement, for the state dump. */
const struct ColtPlacement *colt_home_placement (const struct ColtHome *home);

#endif
