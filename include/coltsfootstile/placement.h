/**
 * \file
 * \brief Which waiting task goes to which backend server next.
 *
 * A home instance keeps one placement. It knows the zone's backend servers by
 * digests that their owners send, and the tasks that wait here. It decides
 * alone and without I/O; the owner of the chosen server has the last word.
 * Between two digests of a server the placement counts its own decisions
 * against what the server had free.
 */
#ifndef COLTSFOOTSTILE_PLACEMENT_H
#define COLTSFOOTSTILE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/resources.h"
#include "coltsfootstile/task.h"

/** Speed of a server that runs work in the declared time, in thousandths. */
#define COLT_SPEED_NORMAL 1000

/** How long the set of servers must not have grown before a task counts as
 * larger than all, in microseconds. */
#define COLT_PLACEMENT_SETTLED_US INT64_C (5000000)
/** Tasks that may wait in one placement. */
#define COLT_PLACEMENT_WAITING_MAX 65536u

/** What an owner tells of a backend server. */
struct ColtServerDigest
{
  uint32_t server;
  uint64_t epoch; /**< of the owner's lease */
  uint32_t owner; /**< instance number */
  uint32_t rack;
  struct ColtResources capacity;
  struct ColtResources free;   /**< not reserved */
  bool leaving;                /**< takes no new work */
  uint32_t probation_permille; /**< part of the usual work it may be given,
                                    1000 when it is healthy */
  uint32_t speed_permille;     /**< learned; COLT_SPEED_NORMAL until known */
};

/** A task that waits for a server. */
struct ColtPlacementTask
{
  struct ColtId request;
  uint32_t index;
  uint32_t tasks; /**< of the whole request; a gang's go together */
  char team[COLT_NAME_SIZE];
  enum ColtWorkKind kind;
  struct ColtResources demand;
  bool urgent;
  int64_t arrived_us;  /**< of the request, for ageing */
  int64_t deadline_us; /**< COLT_TIME_NEVER for none */
  int64_t run_ms;      /**< declared, 0 if not declared */
  uint32_t avoid;      /**< server of the last failed attempt, 0 for none */
};

/** Whether a task was taken. */
enum ColtPlacementStatus
{
  COLT_PLACEMENT_QUEUED,
  COLT_PLACEMENT_NEVER_FITS, /**< larger than every known server */
  COLT_PLACEMENT_TOO_LATE,   /**< the deadline can't be kept */
  COLT_PLACEMENT_FULL        /**< too much waits already */
};

/** Names of enum ColtPlacementStatus, indexed by it. */
extern const char *const colt_placement_status_string[];

/** A decision: the task goes to the server. */
struct ColtPlacementChoice
{
  struct ColtId request;
  uint32_t index;
  uint32_t server;
};

/** Why the owner turned a task away. */
enum ColtPlacementRefusal
{
  COLT_REFUSAL_NO_ROOM,   /**< the server has less free than was thought */
  COLT_REFUSAL_NO_CREDIT, /**< the team's limit is reached here for now */
  COLT_REFUSAL_LEAVING,   /**< the server takes no new work */
  COLT_REFUSAL_FENCED     /**< the owner or the epoch has changed */
};

/** Names of enum ColtPlacementRefusal, indexed by it. */
extern const char *const colt_placement_refusal_string[];

/** A placement. */
struct ColtPlacement;

/**
 * Creates a placement that knows no server and no task.
 *
 * \param seed  of the random numbers that choices use
 */
struct ColtPlacement *colt_placement_create (uint64_t seed);

/** Destroys a placement; NULL is allowed. */
void colt_placement_destroy (struct ColtPlacement *placement);

/** Takes weights, policies and priorities from a bundle. */
void colt_placement_set_bundle (struct ColtPlacement *placement,
                                const struct ColtBundle *bundle);

/** Takes an owner's digest of a server. */
void colt_placement_set_server (struct ColtPlacement *placement,
                                const struct ColtServerDigest *digest,
                                int64_t now_us);

/** Forgets a server. */
void colt_placement_remove_server (struct ColtPlacement *placement,
                                   uint32_t server);

/** Adds a task that waits. */
enum ColtPlacementStatus
colt_placement_add (struct ColtPlacement *placement,
                    const struct ColtPlacementTask *task,
                    int64_t now_us);

/**
 * Removes a task that waits. One that was placed is forgotten: its team no
 * longer counts it, its server's next digest tells of its room.
 */
void colt_placement_remove (struct ColtPlacement *placement,
                            const struct ColtId *request,
                            uint32_t index);

/**
 * Forgets a request with all its tasks, those that were placed included: it
 * has ended, or another instance answers for it now.
 */
void colt_placement_forget (struct ColtPlacement *placement,
                            const struct ColtId *request,
                            uint32_t tasks);

/** Forgets the placed tasks of a shard that another instance leads now. */
void colt_placement_forget_shard (struct ColtPlacement *placement,
                                  uint32_t shard);

/**
 * Takes a task that waited and was given up: its deadline can't be kept any
 * more, no known server is large enough, or it made room in a full queue for a
 * team with less in it. Tasks are given up in colt_placement_add() and
 * colt_placement_next().
 *
 * \param status  why; never COLT_PLACEMENT_QUEUED
 * \return false if there is none
 */
bool colt_placement_take_shed (struct ColtPlacement *placement,
                               struct ColtPlacementTask *task,
                               enum ColtPlacementStatus *status);

/**
 * Makes the next decision. The task no longer waits afterwards.
 *
 * \return false if nothing can be placed now
 */
bool colt_placement_next (struct ColtPlacement *placement,
                          int64_t now_us,
                          struct ColtPlacementChoice *choice);

/** Returns when colt_placement_next() may succeed without new input. */
int64_t colt_placement_wake_us (const struct ColtPlacement *placement);

/** The owner refused a choice; the task is added again by its request. */
void colt_placement_refused (struct ColtPlacement *placement,
                             const struct ColtPlacementTask *task,
                             uint32_t server,
                             enum ColtPlacementRefusal refusal,
                             int64_t now_us);

/** A task that was placed here has ended. */
void colt_placement_ended (struct ColtPlacement *placement,
                           const struct ColtPlacementTask *task,
                           uint32_t server,
                           const struct ColtTaskReport *report,
                           int64_t now_us);

/**
 * Tells how much of a team other instances of the zone have running, for its
 * share of the zone.
 */
void colt_placement_set_team_usage (struct ColtPlacement *placement,
                                    uint32_t instance,
                                    const char *team,
                                    const struct ColtResources *running,
                                    int64_t now_us);

/** Returns how many tasks wait. */
size_t colt_placement_waiting (const struct ColtPlacement *placement);

/** Returns how many tasks of a team wait. */
size_t colt_placement_team_waiting (const struct ColtPlacement *placement,
                                    const char *team);

/** Calls \a visit for each server known, in ascending order. */
void colt_placement_visit_servers (
    const struct ColtPlacement *placement,
    void (*visit) (void *client, const struct ColtServerDigest *digest),
    void *client);

#endif
