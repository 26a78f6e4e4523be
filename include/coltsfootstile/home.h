/**
 * \file
 * \brief The home of requests: the instance that leads their shards.
 *
 * Runs the leader's side of the shards, the table of requests and the
 * placement on the event loop. Gates, which accept requests from callers,
 * submit them to the home; it sends their tasks to the owners of backend
 * servers and the outcome to the gates that wait for it.
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

/** Parts of the instance that a home uses; pointers are borrowed. */
struct ColtHomeParts
{
  struct event_base *base;
  struct ColtWire *wire;
  struct ColtCounters *counters;
  struct ColtOwner *owner; /**< for the servers that this instance owns */
  uint32_t instance;       /**< this instance's number, 1 to 65535 */
  uint64_t incarnation;    /**< grows each time the instance starts */
  uint32_t zone;           /**< number of this instance's zone */
  uint64_t seed; /**< of the random numbers for placement and retry delays */
};

/** Callbacks of a home into the rest of the instance; all are required. */
struct ColtHomeClient
{
  /** This instance leads a shard at an epoch now, or, if \a led is false, no
   * longer does. */
  void (*leadership_changed) (void *client,
                              uint32_t shard,
                              uint64_t epoch,
                              bool led);
  /** An owner has reported what runs on a server for a shard, during the
   * shard's reconciliation or when the server joined late. */
  void (*server_reported) (void *client,
                           uint32_t shard,
                           uint32_t server,
                           uint32_t owner,
                           uint64_t server_epoch);
  /** A server was unreachable for so long that nothing can run there any
   * more. Called for each active shard that writes the server off. */
  void (*server_written_off) (void *client, uint32_t server);
  /** Writes a request to the log. \a done is called once: \a stored is true
   * if the request is on the log; otherwise \a certain says whether it is
   * certainly not on the log. \a spec is valid during the call. */
  void (*store_request) (void *client,
                         const struct ColtId *id,
                         const struct ColtRequestSpec *spec,
                         void (*done) (void *done_client,
                                       bool stored,
                                       bool certain),
                         void *done_client);
  /** Records the outcome of a durable request that has ended. */
  void (*record_outcome) (void *client,
                          const struct ColtId *id,
                          enum ColtOutcome outcome);
  /** Finds the recorded outcome of a durable request; returns false if none
   * is recorded. */
  bool (*find_outcome) (void *client,
                        const struct ColtId *id,
                        enum ColtOutcome *outcome);
  /** Calls \a add for each durable request of a shard that has not ended. */
  void (*load_requests) (void *client,
                         uint32_t shard,
                         void (*add) (void *add_client,
                                      const struct ColtId *id,
                                      const struct ColtRequestSpec *spec),
                         void *add_client);
};

/** A home of requests. */
struct ColtHome;

/**
 * Creates a home that leads no shard.
 *
 * \param parts   copied; what it points to must outlive the home
 * \param calls   must outlive the home
 * \param client  passed to each callback
 * \return the home, to be destroyed with colt_home_destroy()
 */
struct ColtHome *colt_home_create (const struct ColtHomeParts *parts,
                                   const struct ColtHomeClient *calls,
                                   void *client);

/** Destroys a home; NULL is allowed. */
void colt_home_destroy (struct ColtHome *home);

/**
 * Sets the zone's members that may lead shards; ignored after
 * colt_home_stop().
 *
 * \param members  instance numbers; copied
 */
void colt_home_set_members (struct ColtHome *home,
                            const uint32_t *members,
                            size_t count);

/**
 * Sets the zone's backend servers.
 *
 * \param servers  numbers of the servers; copied
 */
void colt_home_set_servers (struct ColtHome *home,
                            const uint32_t *servers,
                            size_t count);

/** Returns the number of backend servers of the zone. */
size_t colt_home_server_count (const struct ColtHome *home);

/** Copies the weights and retry rates of teams, the policies and priorities of
 * work and the bounds of queues from a bundle. The bundle isn't used after the
 * call. */
void colt_home_set_bundle (struct ColtHome *home,
                           const struct ColtBundle *bundle);

/**
 * Restores a durable request that was read from the log. The request is added
 * if this instance leads its shard, doesn't have the request yet (or has it
 * only from the reports of backend servers), and every server of the zone has
 * reported or is written off. Otherwise nothing is done, and the caller must
 * try again later. A request whose deadline has passed, or that may have run
 * unrecorded, is not added: its outcome is recorded with record_outcome().
 */
void colt_home_restore_request (struct ColtHome *home,
                                const struct ColtId *id,
                                const struct ColtRequestSpec *spec);

/** Resigns from all shards and stops accepting requests, for good. */
void colt_home_stop (struct ColtHome *home);

/** Returns whether the home was stopped and no answer to a gate is still
 * being delivered. */
bool colt_home_is_stopped (const struct ColtHome *home);

/** Returns the table of requests; owned by the home. */
const struct ColtRequests *colt_home_requests (const struct ColtHome *home);

/** Returns the leader's side of the shards; owned by the home. */
const struct ColtShardLeader *colt_home_shards (const struct ColtHome *home);

/** Returns the placement; owned by the home. */
const struct ColtPlacement *colt_home_placement (const struct ColtHome *home);

#endif
