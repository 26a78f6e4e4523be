/**
 * \file
 * \brief Choice of backend servers for waiting tasks.
 *
 * An instance has one placement. It holds the waiting tasks of the shards that
 * the instance leads, and the newest digest of each backend server of the zone.
 * Digests are sent by the owner of a server, the instance that has the lease on
 * it; the owner may also refuse a task that was placed on the server. The
 * placement performs no I/O and doesn't coordinate with other instances.
 * Between two digests of a server, it subtracts its own choices from the free
 * amounts.
 *
 * All times are in microseconds of the caller's monotonic clock.
 */
#ifndef COLTSFOOTSTILE_PLACEMENT_H
#define COLTSFOOTSTILE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/resources.h"
#include "coltsfootstile/task.h"

/** Speed at which a server runs work in its declared run time. All speeds are
 * in thousandths of it. */
#define COLT_SPEED_NORMAL 1000

/** Time in microseconds after the last server was added or removed from which
 * on a task that fits no known server is rejected. Until then, larger servers
 * may still be added, or return after a restart. */
#define COLT_PLACEMENT_SETTLED_US INT64_C (5000000)
/** Maximum number of waiting tasks of a placement. */
#define COLT_PLACEMENT_WAITING_MAX 65536u

/** State of a backend server as reported by its owner. */
struct ColtServerDigest
{
  uint32_t server; /**< number of the server */
  uint64_t epoch;  /**< of the owner's lease on the server */
  uint32_t owner;  /**< instance number */
  uint32_t rack;   /**< number of its rack */
  struct ColtResources capacity;
  struct ColtResources free;   /**< not taken by tasks */
  bool leaving;                /**< accepts no new work */
  uint32_t probation_permille; /**< part of the usual work that the server may
                                    get: 0 for none, 1000 if it is healthy */
  uint32_t speed_permille;     /**< learned by the owner; COLT_SPEED_NORMAL
                                    until known */
};

/** A task that waits for a server. */
struct ColtPlacementTask
{
  struct ColtId request;
  uint32_t index; /**< of the task in its request, from 0 */
  uint32_t tasks; /**< number of tasks of the request */
  char team[COLT_NAME_SIZE];
  enum ColtWorkKind kind;
  struct ColtResources demand; /**< declared */
  bool urgent;                 /**< precedes all work that is not urgent */
  int64_t arrived_us;  /**< when the request arrived; older work goes first */
  int64_t deadline_us; /**< COLT_TIME_NEVER for none */
  int64_t run_ms;      /**< declared run time, 0 if not declared */
  uint32_t avoided_server; /**< server of the last failed attempt, 0 for none */
};

/** Result of adding a task, or reason for shedding it. */
enum ColtPlacementStatus
{
  COLT_PLACEMENT_QUEUED,     /**< the task waits */
  COLT_PLACEMENT_NEVER_FITS, /**< larger than every known server, or a gang
                                  larger than all of them together */
  COLT_PLACEMENT_TOO_LATE,   /**< expected to miss its deadline */
  COLT_PLACEMENT_FULL        /**< the queue is full */
};

/** Names of enum ColtPlacementStatus, indexed by it. */
extern const char *const colt_placement_status_string[];

/** Choice of a server for a task. */
struct ColtPlacementChoice
{
  struct ColtId request;
  uint32_t index;
  uint32_t server;
};

/** Reasons for which an owner refuses a task. */
enum ColtPlacementRefusal
{
  COLT_REFUSAL_NO_ROOM,   /**< the server has too little free */
  COLT_REFUSAL_NO_CREDIT, /**< the team has reached its limit at the
                                owner for now */
  COLT_REFUSAL_LEAVING,   /**< the server accepts no new work */
  COLT_REFUSAL_FENCED     /**< the owner or the epoch has changed */
};

/** Names of enum ColtPlacementRefusal, indexed by it. */
extern const char *const colt_placement_refusal_string[];

/** Waiting tasks, known servers and statistics of an instance. */
struct ColtPlacement;

/**
 * Creates a placement without servers and tasks.
 *
 * \param seed  seed of the random numbers that choices use
 * \return the placement, to be destroyed with colt_placement_destroy()
 */
struct ColtPlacement *colt_placement_create (uint64_t seed);

/** Destroys a placement; NULL is allowed. */
void colt_placement_destroy (struct ColtPlacement *placement);

/**
 * Copies the weights of teams and the policies and priorities of work from a
 * bundle. The bundle isn't used after the call.
 */
void colt_placement_set_bundle (struct ColtPlacement *placement,
                                const struct ColtBundle *bundle);

/**
 * Sets the state of a server from a digest of its owner. Adds the server if it
 * is unknown. Ignores a digest of a lower epoch than the last one, of a former
 * owner, for 10 s; after that the server may have restarted with lower epochs.
 */
void colt_placement_set_server (struct ColtPlacement *placement,
                                const struct ColtServerDigest *digest,
                                int64_t now_us);

/** Removes a server; does nothing if it is unknown. */
void colt_placement_remove_server (struct ColtPlacement *placement,
                                   uint32_t server,
                                   int64_t now_us);

/**
 * Adds a waiting task. Replaces an earlier task with the same request and
 * index, whether it waits or was placed. If the queue is full, the task may
 * displace one of the team with the longest queue in relation to its weight,
 * which is then shed.
 *
 * \return COLT_PLACEMENT_QUEUED if the task waits; otherwise the reason why it
 *         was rejected
 */
enum ColtPlacementStatus
colt_placement_add (struct ColtPlacement *placement,
                    const struct ColtPlacementTask *task,
                    int64_t now_us);

/**
 * Removes a task; does nothing if it is unknown. A placed task no longer counts
 * for its team. Its room is free again immediately if its choice was not
 * returned yet, otherwise with the next digest of its server.
 */
void colt_placement_remove (struct ColtPlacement *placement,
                            const struct ColtId *request,
                            uint32_t index);

/**
 * Removes all tasks of a request, including placed ones, after the request has
 * ended or another instance has become responsible for it.
 *
 * \param tasks  number of tasks of the request
 */
void colt_placement_remove_request (struct ColtPlacement *placement,
                                    const struct ColtId *request,
                                    uint32_t tasks);

/** Removes the placed tasks of a shard that another instance leads now. Waiting
 * tasks of the shard stay. */
void colt_placement_remove_shard_tasks (struct ColtPlacement *placement,
                                        uint32_t shard);

/**
 * Removes the oldest entry from the list of shed tasks. A waiting task is shed
 * if it is expected to miss its deadline, if no known server is large enough,
 * or if it makes room in a full queue for a task of another team.
 * colt_placement_add() and colt_placement_choose_next() shed tasks.
 *
 * \param task    receives the task
 * \param status  receives the reason, never COLT_PLACEMENT_QUEUED
 * \return false if there is no shed task
 */
bool colt_placement_pop_shed (struct ColtPlacement *placement,
                              struct ColtPlacementTask *task,
                              enum ColtPlacementStatus *status);

/**
 * Chooses a server for the next task. The task no longer waits afterwards. The
 * tasks of a gang are chosen together and returned by successive calls.
 *
 * \param choice  receives the choice
 * \return false if no task can be placed now
 */
bool colt_placement_choose_next (struct ColtPlacement *placement,
                                 int64_t now_us,
                                 struct ColtPlacementChoice *choice);

/**
 * Returns the time at which colt_placement_choose_next() is to be called again
 * if nothing else changes: 0 if a choice is ready, COLT_TIME_NEVER if there is
 * no such time. Valid after a call of colt_placement_choose_next().
 */
int64_t colt_placement_wake_us (const struct ColtPlacement *placement);

/**
 * Reports that the owner refused a choice. The task is removed; the caller adds
 * it again if it is to be tried again. The team backs off after
 * COLT_REFUSAL_NO_CREDIT; the server's free amounts are reduced after
 * COLT_REFUSAL_NO_ROOM; after any other refusal the server gets no work until
 * its next digest.
 */
void colt_placement_report_refusal (struct ColtPlacement *placement,
                                    const struct ColtPlacementTask *task,
                                    uint32_t server,
                                    enum ColtPlacementRefusal refusal,
                                    int64_t now_us);

/**
 * Reports that a task has ended. Its room is free again if it was placed here,
 * and its run time and usage improve the estimates for later tasks.
 */
void colt_placement_report_end (struct ColtPlacement *placement,
                                const struct ColtPlacementTask *task,
                                uint32_t server,
                                const struct ColtTaskReport *report,
                                int64_t now_us);

/**
 * Sets the amounts that another instance of the zone runs of a team; they count
 * for the team's share of the zone. A report that is older than 10 s doesn't
 * count.
 *
 * \param instance  number of the reporting instance
 * \param running   sum of the demands of the running tasks
 */
void colt_placement_set_team_usage (struct ColtPlacement *placement,
                                    uint32_t instance,
                                    const char *team,
                                    const struct ColtResources *running,
                                    int64_t now_us);

/** Returns the number of waiting tasks. */
size_t colt_placement_waiting_count (const struct ColtPlacement *placement);

/** Returns the number of waiting tasks of a team, 0 if it is unknown. */
size_t colt_placement_team_waiting_count (const struct ColtPlacement *placement,
                                          const char *team);

/**
 * Calls \a visit for each known server in ascending order of its number. The
 * digest is valid during the call; its free amounts are those that the
 * placement assumes now.
 */
void colt_placement_visit_servers (
    const struct ColtPlacement *placement,
    void (*visit) (void *client, const struct ColtServerDigest *digest),
    void *client);

#endif
