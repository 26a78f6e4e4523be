/**
 * \file
 * \brief Types and functions shared by the files of the placement.
 */
#ifndef COLTSFOOTSTILE_PLACEMENT_PRIVATE_H
#define COLTSFOOTSTILE_PLACEMENT_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/placement.h"
#include "fit_tree.h"

/** Number of groups of servers without accelerators, which are grouped by the
 * usable fraction of their scarcest resource. */
#define COLT_GROUP_PLAIN_COUNT 8u
/** Number of groups of servers with accelerators, which are grouped by the
 * number of usable accelerators. */
#define COLT_GROUP_ACCELERATED_COUNT 9u
/** Number of all groups; the plain ones come first. */
#define COLT_GROUP_COUNT (COLT_GROUP_PLAIN_COUNT + COLT_GROUP_ACCELERATED_COUNT)
/** Servers that a search samples from a large group to compare them. */
#define COLT_CANDIDATES_MAX 12u
/** Largest group, in servers, that a search examines completely. */
#define COLT_WHOLE_GROUP_MAX 48u
/** Size of the ring of recorded gains, the free amounts of servers that gained
 * room. */
#define COLT_GAINS_MAX 64u
/** Head start in the queue for each step of priority, in microseconds. */
#define COLT_PRIORITY_STEP_US (5 * COLT_US_PER_S)

/** Servers by whether they have accelerators. */
enum ColtServerClass
{
  COLT_SERVERS_PLAIN,
  COLT_SERVERS_ACCELERATED,
  COLT_SERVER_CLASS_COUNT /**< number of classes, not a class */
};

/** Lowest priority of high-priority kinds of work. Such work of a team precedes
 * other work of its level, also of other teams, as long as it alone stays
 * within the team's share. */
#define COLT_PRIORITY_HIGH 5

/** Levels of the queue; urgent work always precedes ordinary work. */
enum ColtLevel
{
  COLT_LEVEL_URGENT,
  COLT_LEVEL_ORDINARY,
  COLT_LEVEL_COUNT /**< number of levels, not a level */
};

struct ColtPlacementTeam;
struct ColtReservation;
struct ColtPlacementServer;

/** A task that was placed here and has not ended. */
struct ColtPlacedTask
{
  struct ColtId request;
  uint32_t index;
  uint32_t server;
  uint32_t rack;
  enum ColtWorkKind kind;
  bool high_priority; /**< its kind has a high priority */
  bool held; /**< its gang is still incomplete, so its choice isn't issued */
  struct ColtPlacementTeam *team;
  struct ColtResources declared; /**< demand of the task as submitted */
  struct ColtResources expected; /**< demand estimated from earlier tasks */
  uint64_t digest_count; /**< digests received of its server when the task was
                            placed, last held or last released */
  int64_t end_us;        /**< expected, COLT_TIME_NEVER if unknown */
  struct ColtPlacementServer *host; /**< NULL once the server is removed */
  struct ColtPlacedTask *previous;
  struct ColtPlacedTask *next; /**< on the same server */
};

/** Speed of a server for a kind of work. */
struct ColtSpeed
{
  double log_speed; /**< mean logarithm, 0 for normal speed */
  unsigned samples;
};

/** A backend server. */
struct ColtPlacementServer
{
  struct ColtServerDigest digest; /**< its free amounts are kept current */
  uint64_t digest_count;          /**< digests received */
  int64_t digest_us;              /**< when the last one was received */
  struct ColtResources usable;    /**< free for ordinary work */
  bool closed;                    /**< accepts no work until its next digest */
  unsigned held_tasks;            /**< placed members of an incomplete gang */
  struct ColtResources held; /**< demand of these tasks, of which the server's
                                owner has no record */
  struct ColtFitTree *group; /**< NULL if it accepts no work or is reserved */
  uint32_t positions[COLT_TREE_USE_COUNT]; /**< in its trees */
  struct ColtSpeed speeds[COLT_WORK_KIND_COUNT];
  struct ColtPlacedTask *placed;       /**< first of its placed tasks */
  struct ColtReservation *reservation; /**< NULL if it isn't reserved */
};

/** Statistics of a team's work of one kind. */
struct ColtLearnedWork
{
  double log_run_ms;   /**< mean logarithm of the run time on all servers */
  double log_ratio;    /**< mean logarithm of real to declared run time */
  double deviation;    /**< mean absolute deviation from the expected run time,
                            as a fraction of it */
  double cores_ratio;  /**< mean of used to declared */
  double memory_ratio; /**< mean of used to declared */
  unsigned samples;    /**< number of finished tasks */
  unsigned declared_samples; /**< samples with a declared run time */
  double interval_us;        /**< mean time between starts of waiting work */
  unsigned interval_samples;
  int64_t last_start_us;
  uint32_t waiting; /**< number of waiting tasks */
};

/** Identifies a task. struct ColtWaitingTask and struct ColtPlacedTask begin
 * with the same members, so they serve as their own keys in hash tables. */
struct ColtTaskKey
{
  struct ColtId request;
  uint32_t index;
};

/** Waiting tasks of a team that are alike in kind, level and size. */
struct ColtLane
{
  struct ColtPlacementTeam *team;
  enum ColtWorkKind kind;
  enum ColtLevel level;
  uint32_t size_class;
  GSequence *tasks;             /**< of struct ColtWaitingTask, by arrival */
  uint64_t blocked_generation;  /**< generation up to which no server has room
                                     for its head, 0 if the head is to be tried
                                     in any case */
  struct ColtWaitingTask *head; /**< the task that goes first */
  bool high_priority;           /**< its kind has a high priority */
  int64_t order_key; /**< of its head, from colt_lane_compute_key() */
  struct ColtBucket *bucket;
  GSequenceIter *order_iter;    /**< in its bucket, NULL while deferred */
  GSequenceIter *deferred_iter; /**< NULL unless deferred */
  int64_t retry_us; /**< end of its deferral, or when a large head is retried */
  bool large;       /**< its head qualifies for a reservation */
  bool holds_room;  /**< its gang holds room, so the lane goes first */
  bool reinsert;    /**< set while colt_buckets_set_order() moves it */
};

/** Lanes of all teams with tasks of the same level and size class. */
struct ColtBucket
{
  enum ColtLevel level;
  uint32_t size_class;
  GSequence *lanes; /**< of struct ColtLane, in the order of trying them */
  uint64_t blocked_generation; /**< generation at which no lane was open */
  int64_t retry_us; /**< when a blocked lane with a large head is retried */
};

/** Waiting tasks of a request that are placed together. */
struct ColtGang
{
  struct ColtId request;
  GPtrArray *members;    /**< of struct ColtWaitingTask */
  uint32_t tasks;        /**< number of tasks of the request */
  int64_t created_us;    /**< when its first task was added */
  uint32_t held_members; /**< number of members, from the first, that hold room
                            on a server */
  int64_t hold_expires_us;
};

/** A task that waits. */
struct ColtWaitingTask
{
  struct ColtPlacementTask task;
  struct ColtLane *lane;
  GSequenceIter *lane_iter; /**< NULL for all members of a gang but one */
  struct ColtGang *gang;    /**< NULL if the task is placed alone */
  int64_t added_us;
};

/** A team. */
struct ColtPlacementTeam
{
  char name[COLT_NAME_SIZE];
  uint32_t number; /**< from 1, in the order of creation */
  int64_t weight;
  struct ColtResources own_usage;   /**< of tasks that were placed here */
  struct ColtResources other_usage; /**< reported by other instances */
  GHashTable *reports;              /**< instance -> struct ColtUsageReport */
  struct ColtResources high_usage;  /**< high-priority part of own_usage */
  double share;                     /**< dominant share divided by weight */
  double deficit; /**< share that the team lacked lately, within bounds */
  double order;   /**< share less deficit; the lowest goes first */
  bool high_priority_first; /**< its high-priority work precedes other work */
  GPtrArray *lanes;
  uint32_t waiting[COLT_LEVEL_COUNT]; /**< number of waiting tasks */
  int64_t backoff_until_us;           /**< its tasks aren't tried before */
  int64_t backoff_us;
  int64_t reserve_after_us; /**< time from which it may reserve servers */
  int64_t reserve_pause_us; /**< doubles each time that reserved or held room
                                 expires unused; 0 once a task is placed */
  struct ColtLearnedWork work[COLT_WORK_KIND_COUNT];
};

/** A server reserved for a task that found no room. */
struct ColtReservation
{
  struct ColtId request;
  struct ColtPlacementTeam *team;
  struct ColtPlacementServer *server;
  int64_t ready_us; /**< when the room is expected to be enough; backfilled
                         work must end before */
  int64_t expires_us;
};

/** Policy and priority of a kind of work. */
struct ColtWorkRule
{
  enum ColtWorkPolicy policy;
  int64_t priority;
};

/** A task that was shed. */
struct ColtShedTask
{
  struct ColtPlacementTask task;
  enum ColtPlacementStatus status; /**< reason */
};

struct ColtPlacement
{
  GRand *random;
  uint64_t generation; /**< grows when a server may have gained room */
  struct ColtWorkRule rules[COLT_WORK_KIND_COUNT];

  GHashTable *servers; /**< number -> struct ColtPlacementServer */
  /** Servers that accept work and aren't reserved. */
  struct ColtFitTree *groups[COLT_GROUP_COUNT];
  struct ColtFitTree *reserve; /**< servers with a reserve for urgent work */
  /** All servers. */
  struct ColtFitTree *capacities[COLT_SERVER_CLASS_COUNT];
  int64_t last_change_us;      /**< when a server was last added or removed */
  struct ColtResources total;  /**< capacity of all servers */
  bool shares_stale;           /**< the total or a weight has changed */
  int64_t deficits_updated_us; /**< last update of the teams' deficits */
  double fair_share; /**< share of each active team if all capacity is divided
                        by weight */
  struct ColtGang *holding_gang; /**< gang that holds room, or NULL */

  GHashTable *teams;         /**< name -> struct ColtPlacementTeam */
  uint32_t last_team_number; /**< 0 before the first team */
  GHashTable *weights;       /**< name -> int64_t, from the bundle */

  GPtrArray *buckets;  /**< of struct ColtBucket */
  GSequence *deferred; /**< of struct ColtLane, by retry time */
  /** Free amounts of servers that gained room, as a ring by generation. */
  struct ColtResources gains[COLT_GAINS_MAX];

  GHashTable *waiting; /**< task -> struct ColtWaitingTask */
  GHashTable *gangs;   /**< request -> struct ColtGang */
  GHashTable *placed;  /**< task -> struct ColtPlacedTask */
  GHashTable *spread;  /**< team and rack or server -> count of services */
  GPtrArray *reservations;
  int64_t reserve_after_us; /**< time from which a server may be reserved */
  GQueue choices;  /**< of struct ColtPlacementChoice, not yet returned */
  GQueue shed;     /**< of struct ColtShedTask, not yet returned */
  int64_t wake_us; /**< see colt_placement_wake_us() */
  unsigned searches_left; /**< before the current decision stops */
};

/* servers.c: servers and their trees */
struct ColtPlacementServer *
colt_servers_find (const struct ColtPlacement *placement, uint32_t server);
/** Moves a server to the trees that match its amounts. \a gained records that
 * it may have room for blocked tasks. */
void colt_servers_index (struct ColtPlacement *placement,
                         struct ColtPlacementServer *server,
                         bool gained);
enum ColtServerClass
colt_servers_classify (const struct ColtResources *capacity);
/** Returns whether a demand fits into an empty server of a class. */
bool colt_servers_has_capacity (const struct ColtPlacement *placement,
                                enum ColtServerClass server_class,
                                const struct ColtResources *demand);
bool colt_servers_accepts_work (const struct ColtPlacementServer *server);
void colt_servers_free (struct ColtPlacement *placement,
                        struct ColtPlacementServer *server);
/** Returns the amounts that only urgent work and short high-priority work may
 * use on a server. */
struct ColtResources
colt_servers_get_reserve (const struct ColtPlacementServer *server);

/* search.c: search for the best server for a task */
/** A search and the estimates that it uses. */
struct ColtSearch
{
  struct ColtPlacement *placement;
  const struct ColtPlacementTeam *team;
  const struct ColtPlacementTask *task;
  struct ColtResources demand; /**< expected, at least the declared one */
  double run_ms;               /**< expected at normal speed, 0 if unknown */
  int64_t added_us;            /**< when the task began to wait */
  int64_t now_us;
};
/** Returns the best server that has room for the task, or NULL. */
struct ColtPlacementServer *colt_search_server (struct ColtSearch *search);
/** Returns the class of servers that the task should go to. */
enum ColtServerClass colt_search_choose_class (const struct ColtSearch *search);

/* policies.c: costs by which servers are compared */
/** How a search compares servers. */
struct ColtPolicy
{
  /** Cost of a server; the lowest is chosen. */
  double (*cost) (const struct ColtSearch *search,
                  const struct ColtPlacementServer *server);
  bool emptiest_first; /**< tries the emptiest plain groups first */
  bool across_groups;  /**< compares servers of several plain groups */
};
extern const struct ColtPolicy colt_policies[COLT_POLICY_COUNT];

/* learning.c: estimates of run times, demands and speeds */
/** Returns the expected run time at normal speed, 0 if unknown. */
double colt_estimate_run_ms (const struct ColtPlacementTeam *team,
                             const struct ColtPlacementTask *task);
/** Returns a low estimate of the run time: the expected one reduced by its mean
 * deviation. */
double colt_estimate_min_run_ms (const struct ColtPlacementTeam *team,
                                 const struct ColtPlacementTask *task);
/** Returns the declared demand; cores and memory are raised to what earlier
 * tasks used. */
struct ColtResources
colt_estimate_demand (const struct ColtPlacementTeam *team,
                      const struct ColtPlacementTask *task);
/** Returns the speed of a server for a kind of work, in thousandths. */
double colt_estimate_speed (const struct ColtPlacementServer *server,
                            enum ColtWorkKind kind);
/** Updates the statistics with the report on an ended task; \a server may be
 * NULL. */
void colt_learn_from_report (struct ColtPlacementTeam *team,
                             struct ColtPlacementServer *server,
                             const struct ColtPlacementTask *task,
                             const struct ColtTaskReport *report);
/** Updates the mean interval between starts of waiting work of a kind. */
void colt_learn_start_interval (struct ColtPlacementTeam *team,
                                enum ColtWorkKind kind,
                                int64_t now_us);

/* teams.c: shares of teams */
/** Returns a team, which is created if it is new. */
struct ColtPlacementTeam *colt_teams_get (struct ColtPlacement *placement,
                                          const char *name);
/** Returns a team, or NULL if it is unknown. */
struct ColtPlacementTeam *
colt_teams_find (const struct ColtPlacement *placement, const char *name);
/** Recomputes the share of a team and its place in the order. */
void colt_teams_reorder (struct ColtPlacement *placement,
                         struct ColtPlacementTeam *team);
void colt_teams_reorder_all (struct ColtPlacement *placement);
/** Updates the deficits of all teams if the update interval has passed. */
void colt_teams_update_deficits (struct ColtPlacement *placement,
                                 int64_t now_us);
bool colt_teams_is_high_priority (const struct ColtPlacement *placement,
                                  enum ColtWorkKind kind);
/** Makes a team back off after an owner refused one of its tasks for lack of
 * credit. */
void colt_teams_back_off (struct ColtPlacement *placement,
                          struct ColtPlacementTeam *team,
                          int64_t now_us);
/** Pauses new reservations of a team because room that was reserved or held for
 * it has expired unused. */
void colt_teams_pause_reservations (struct ColtPlacementTeam *team,
                                    int64_t now_us);
void colt_teams_free (gpointer data);

/* buckets.c: order in which lanes are tried */
void colt_buckets_add (struct ColtPlacement *placement, struct ColtLane *lane);
void colt_buckets_remove (struct ColtLane *lane);
/** Sets a team's place in the order and moves its lanes. */
void colt_buckets_set_order (struct ColtPlacementTeam *team,
                             double order,
                             bool high_priority_first);
/** Sets whether a lane goes first because its gang holds room. */
void colt_buckets_set_holds_room (struct ColtPlacement *placement,
                                  struct ColtLane *lane,
                                  bool holds_room);
/** Takes a lane out of the order until a time. */
void colt_buckets_defer (struct ColtPlacement *placement,
                         struct ColtLane *lane,
                         int64_t until_us);
/** Returns lanes whose deferral has ended to the order. */
void colt_buckets_resume_deferred (struct ColtPlacement *placement,
                                   int64_t now_us);
/** Records that a server has more free than before. */
void colt_buckets_record_gain (struct ColtPlacement *placement,
                               const struct ColtResources *free);
/** Returns the lane to try next, or NULL if all are blocked. */
struct ColtLane *colt_buckets_choose_lane (struct ColtPlacement *placement,
                                           int64_t now_us);
void colt_buckets_free (gpointer data);

/* placed.c: tasks that were placed here */
/** Records the task of a search as placed on a server. */
void colt_placed_add (struct ColtPlacement *placement,
                      const struct ColtSearch *search,
                      struct ColtPlacementServer *server);
struct ColtPlacedTask *colt_placed_find (const struct ColtPlacement *placement,
                                         const struct ColtId *request,
                                         uint32_t index);
/** Removes a task and frees its room unless \a keep_room is set. */
void colt_placed_remove (struct ColtPlacement *placement,
                         struct ColtPlacedTask *placed,
                         bool keep_room);
/** Sets whether a placed task is held for an incomplete gang. */
void colt_placed_set_held (struct ColtPlacedTask *placed, bool held);
/** Sets the host of all tasks that were placed on a server to NULL. */
void colt_placed_detach_server (struct ColtPlacementServer *server);
/** Returns the number of services of a team on a rack. */
unsigned colt_placed_count_on_rack (const struct ColtPlacement *placement,
                                    const struct ColtPlacementTeam *team,
                                    uint32_t rack);
/** Returns the number of services of a team on a server. */
unsigned colt_placed_count_on_server (const struct ColtPlacement *placement,
                                      const struct ColtPlacementTeam *team,
                                      uint32_t server);
guint colt_task_key_hash (gconstpointer key);
gboolean colt_task_key_equal (gconstpointer a, gconstpointer b);

/* queue.c: waiting tasks */
struct ColtWaitingTask *colt_queue_find (const struct ColtPlacement *placement,
                                         const struct ColtId *request,
                                         uint32_t index);
void colt_queue_add (struct ColtPlacement *placement,
                     const struct ColtPlacementTask *task,
                     int64_t now_us);
void colt_queue_remove (struct ColtPlacement *placement,
                        struct ColtWaitingTask *waiting);
struct ColtWaitingTask *colt_lane_get_head (const struct ColtLane *lane);
/** Returns the arrival time of the head of a lane less the head start that its
 * priority gives. The lowest key goes first. */
int64_t colt_lane_compute_key (const struct ColtPlacement *placement,
                               const struct ColtLane *lane);
void colt_lane_free (gpointer data);

/* gangs.c: tasks that are placed together */
void colt_gangs_add_member (struct ColtPlacement *placement,
                            struct ColtWaitingTask *waiting,
                            int64_t now_us);
/** Removes a member and releases the room that its gang holds. Returns the new
 * first member, or NULL if none is left. */
struct ColtWaitingTask *
colt_gangs_remove_member (struct ColtPlacement *placement,
                          struct ColtWaitingTask *waiting);
/** Returns whether all tasks of the gang were added, or it no longer waits for
 * the others. */
bool colt_gangs_is_ready (struct ColtPlacement *placement,
                          const struct ColtWaitingTask *waiting,
                          int64_t now_us);
/** Returns when the gang stops waiting for tasks that were not added. */
int64_t colt_gangs_gather_end_us (const struct ColtWaitingTask *waiting);
/** Places all members and issues their choices, or issues none; an incomplete
 * gang may hold the room found so far. Returns whether it was placed. */
bool colt_gangs_place (struct ColtPlacement *placement,
                       struct ColtWaitingTask *waiting,
                       int64_t now_us);
/** Releases the room of the holding gang once its hold has expired. */
void colt_gangs_expire (struct ColtPlacement *placement, int64_t now_us);
/** Releases the room that a gang holds; the next attempt to place it starts
 * with its first member. */
void colt_gangs_release (struct ColtPlacement *placement,
                         struct ColtGang *gang);
void colt_gangs_free (gpointer data);

/* reservations.c: servers reserved for tasks that found no room */
/** Reserves a server for the task if the limits permit it now. Returns whether
 * the task is large enough for a reservation. */
bool colt_reservations_make (struct ColtSearch *search);
void colt_reservations_drop (struct ColtPlacement *placement,
                             struct ColtReservation *reservation);
/** Drops the reservations of a request. */
void colt_reservations_drop_request (struct ColtPlacement *placement,
                                     const struct ColtId *request);
void colt_reservations_drop_server (struct ColtPlacement *placement,
                                    struct ColtPlacementServer *server);
/** Drops expired reservations and pauses new ones of their teams. */
void colt_reservations_expire (struct ColtPlacement *placement, int64_t now_us);
/** Returns a reserved server with room for the task, which is expected to end
 * before the reservation needs the room; NULL if there is none. */
struct ColtPlacementServer *
colt_reservations_find_backfill (struct ColtSearch *search);

/* admission.c: rejecting and shedding tasks */
/** Returns COLT_PLACEMENT_QUEUED if a new task may be queued, otherwise the
 * reason why not. May shed a task of another team if the queue is full. */
enum ColtPlacementStatus
colt_admission_check (struct ColtPlacement *placement,
                      const struct ColtPlacementTask *task,
                      int64_t now_us);
bool colt_admission_never_fits (const struct ColtPlacement *placement,
                                const struct ColtPlacementTask *task,
                                int64_t now_us);
/** Returns whether the task would miss its deadline if it started now and ran
 * as briefly as a low estimate. */
bool colt_admission_is_too_late (const struct ColtPlacementTeam *team,
                                 const struct ColtPlacementTask *task,
                                 int64_t now_us);
/** Sheds a waiting task together with the other members of its gang. */
void colt_admission_shed (struct ColtPlacement *placement,
                          struct ColtWaitingTask *waiting,
                          enum ColtPlacementStatus status);

/* decide.c: next choice */
/** Initialises a search with the estimates for a waiting task. */
void colt_decide_init_search (struct ColtSearch *search,
                              struct ColtPlacement *placement,
                              const struct ColtWaitingTask *waiting,
                              int64_t now_us);
/** Queues the choice of a placed task for the caller; the task no longer
 * waits. */
void colt_decide_issue_choice (struct ColtPlacement *placement,
                               struct ColtWaitingTask *waiting,
                               int64_t now_us);
/** Places the next task or gang; returns false if none can be placed now. */
bool colt_decide_next (struct ColtPlacement *placement, int64_t now_us);

#endif
