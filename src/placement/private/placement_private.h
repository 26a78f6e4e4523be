/**
 * \file
 * \brief What the files of the placement share.
 */
#ifndef COLTSFOOTSTILE_PLACEMENT_PRIVATE_H
#define COLTSFOOTSTILE_PLACEMENT_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/placement.h"
#include "fit_tree.h"

/** Groups of servers without accelerators, by how much they have free. */
#define COLT_GROUP_PLAIN_COUNT 8u
/** Groups of servers with accelerators, by how many of these are free. */
#define COLT_GROUP_ACCELERATED_COUNT 9u
/** All groups: the plain ones come first. */
#define COLT_GROUP_COUNT (COLT_GROUP_PLAIN_COUNT + COLT_GROUP_ACCELERATED_COUNT)
/** Servers that a search draws from a large group to compare them. */
#define COLT_CANDIDATES_MAX 12u
/** Servers of a group that is looked at as a whole. */
#define COLT_WHOLE_GROUP_MAX 48u
/** Gains of servers that are remembered. */
#define COLT_GAINS_MAX 64u
/** Head start in the queue that a step of priority is worth. */
#define COLT_PRIORITY_STEP_US (5 * COLT_US_PER_S)

/** Servers by whether they have accelerators. */
enum ColtServerClass
{
  COLT_SERVERS_PLAIN,
  COLT_SERVERS_ACCELERATED,
  COLT_SERVER_CLASS_COUNT /**< number of classes, not a class */
};

/** Kinds of work from this priority on go before the rest, as long as they
 * alone stay within their team's share. */
#define COLT_PRIORITY_HIGH 5

/** Work that goes first, and the rest. */
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
  bool high; /**< of a kind with a high priority */
  bool held; /**< not handed out: its gang waits for more room */
  struct ColtPlacementTeam *team;
  struct ColtResources declared;
  struct ColtResources expected;
  uint64_t digest; /**< number of the server's digest at the choice */
  int64_t end_us;  /**< expected, COLT_TIME_NEVER if unknown */
  struct ColtPlacementServer *on; /**< NULL once the server is forgotten */
  struct ColtPlacedTask *previous;
  struct ColtPlacedTask *next; /**< on the same server */
};

/** Speed of a server for a kind of work. */
struct ColtSpeed
{
  double log_speed; /**< mean logarithm, 0 for normal speed */
  unsigned seen;
};

/** A backend server. */
struct ColtPlacementServer
{
  struct ColtServerDigest digest; /**< its free amounts are kept current */
  uint64_t digests;               /**< how many have come */
  struct ColtResources usable;    /**< free for ordinary work */
  bool closed;                    /**< takes nothing until its next digest */
  unsigned held_tasks;            /**< of a gang that waits for more room */
  struct ColtResources held;      /**< by these; its owner doesn't know */
  struct ColtFitTree *group;      /**< NULL: takes no work */
  uint32_t positions[COLT_TREE_USE_COUNT];
  struct ColtSpeed speeds[COLT_WORK_KIND_COUNT];
  struct ColtPlacedTask *placed;
  struct ColtReservation *reservation;
};

/** What is learned of a team's work of a kind. */
struct ColtLearnedWork
{
  double log_run_ms;   /**< mean logarithm, over all servers */
  double log_ratio;    /**< mean logarithm of real to declared run time */
  double deviation;    /**< mean absolute, as part of the run time */
  double cores_ratio;  /**< used to declared */
  double memory_ratio; /**< used to declared */
  unsigned seen;
  unsigned declared_seen;
  double interval_us; /**< between starts while work waits */
  unsigned intervals;
  int64_t last_start_us;
  uint32_t waiting;
};

/** Names a task; struct ColtWaiting and struct ColtPlacedTask begin with it. */
struct ColtTaskKey
{
  struct ColtId request;
  uint32_t index;
};

/** Waiting tasks of a team that are alike in kind and size. */
struct ColtLane
{
  struct ColtPlacementTeam *team;
  enum ColtWorkKind kind;
  enum ColtLevel level;
  uint32_t size_class;
  GSequence *tasks;         /**< of struct ColtWaiting, by arrival */
  uint64_t blocked;         /**< generation at which its head found no server */
  struct ColtWaiting *head; /**< the task that goes first */
  bool high;                /**< of a kind with a high priority */
  int64_t key;              /**< of its head, as colt_lane_key() has it */
  struct ColtBucket *bucket;
  GSequenceIter *order;    /**< in its bucket, NULL while deferred */
  GSequenceIter *deferred; /**< NULL unless deferred */
  int64_t retry_us;        /**< until when it is deferred */
  bool large;              /**< its head may have a server kept */
  bool claims;             /**< its gang keeps room: it goes first */
  bool moving;
};

/** Lanes of all teams with tasks of like size. */
struct ColtBucket
{
  enum ColtLevel level;
  uint32_t size_class;
  GSequence *lanes; /**< of struct ColtLane, by the shares of their teams */
  uint64_t blocked; /**< generation at which no lane of it was open */
  int64_t retry_us; /**< when a large head is tried nevertheless */
};

/** Tasks that wait to be placed together. */
struct ColtGang
{
  struct ColtId request;
  GPtrArray *members; /**< of struct ColtWaiting */
  uint32_t tasks;     /**< of the whole request */
  int64_t since_us;   /**< when its first task was added */
  uint32_t held;      /**< members that have a server, from the first */
  int64_t hold_until_us;
};

/** A task that waits. */
struct ColtWaiting
{
  struct ColtPlacementTask task;
  struct ColtLane *lane;
  GSequenceIter *place;  /**< NULL for members of a gang but one */
  struct ColtGang *gang; /**< NULL if it goes alone */
  int64_t added_us;
};

/** A team. */
struct ColtPlacementTeam
{
  char name[COLT_NAME_SIZE];
  uint32_t number;
  int64_t weight;
  struct ColtResources own;
  struct ColtResources others;
  GHashTable *reports;       /**< instance -> struct ColtUsageReport */
  struct ColtResources high; /**< part of own that has a high priority */
  double share;              /**< dominant share by weight */
  double debt;               /**< what it is owed of its share, within bounds */
  double order;              /**< share less debt: the lowest goes first */
  bool high_first; /**< its work of high priority goes before others' */
  GPtrArray *lanes;
  uint32_t waiting[COLT_LEVEL_COUNT];
  int64_t parked_until_us;
  int64_t backoff_us;
  int64_t reserve_after_us; /**< keeps no servers before */
  int64_t reserve_pause_us; /**< doubles with each attempt in vain */
  struct ColtLearnedWork work[COLT_WORK_KIND_COUNT];
};

/** A server that is kept for a task that found no room. */
struct ColtReservation
{
  struct ColtId request;
  struct ColtPlacementTeam *team;
  struct ColtPlacementServer *server;
  int64_t ready_us; /**< expected; other work must end before */
  int64_t until_us;
};

/** How a kind of work is treated. */
struct ColtWorkRule
{
  enum ColtWorkPolicy policy;
  int64_t priority;
};

/** A task that was given up. */
struct ColtShedTask
{
  struct ColtPlacementTask task;
  enum ColtPlacementStatus status;
};

struct ColtPlacement
{
  GRand *random;
  uint64_t generation; /**< grows when a server may have more free */
  struct ColtWorkRule rules[COLT_WORK_KIND_COUNT];

  GHashTable *servers; /**< id -> struct ColtPlacementServer */
  struct ColtFitTree *groups[COLT_GROUP_COUNT];
  struct ColtFitTree *reserve;
  struct ColtFitTree *capacities[COLT_SERVER_CLASS_COUNT];
  int64_t grown_us;           /**< when the last new server came */
  struct ColtResources total; /**< capacity of all servers */
  bool shares_stale;          /**< the total or a weight has changed */
  int64_t balanced_us;        /**< last colt_teams_balance() */
  double full_share;          /**< of weight 1, if active teams share all */
  struct ColtGang *holder;    /**< gang that keeps room, or NULL */

  GHashTable *teams; /**< name -> struct ColtPlacementTeam */
  uint32_t next_team;
  GHashTable *weights; /**< name -> int64_t, of the bundle */

  GPtrArray *buckets;  /**< of struct ColtBucket */
  GSequence *deferred; /**< of struct ColtLane, by time */
  /** What servers had free that gained, by generation. */
  struct ColtResources gains[COLT_GAINS_MAX];

  GHashTable *waiting; /**< task -> struct ColtWaiting */
  GHashTable *gangs;   /**< request -> struct ColtGang */
  GHashTable *placed;  /**< task -> struct ColtPlacedTask */
  GHashTable *spread;  /**< team and rack or server -> count */
  GPtrArray *reservations;
  int64_t reserve_after_us; /**< no further reservation before */
  GQueue choices; /**< of struct ColtPlacementChoice, to be handed out */
  GQueue shed;    /**< of struct ColtShedTask */
  int64_t wake_us;
  unsigned searches; /**< left in this step */
};

/* servers.c: servers and their indexes */
struct ColtPlacementServer *
colt_servers_find (const struct ColtPlacement *placement, uint32_t server);
/** Puts a server where its amounts belong; \a more tells of new room. */
void colt_servers_index (struct ColtPlacement *placement,
                         struct ColtPlacementServer *server,
                         bool more);
enum ColtServerClass colt_servers_class (const struct ColtResources *capacity);
/** Returns whether an empty server of a class holds a demand. */
bool colt_servers_hold (const struct ColtPlacement *placement,
                        enum ColtServerClass of,
                        const struct ColtResources *demand);
bool colt_servers_take_work (const struct ColtPlacementServer *server);
void colt_servers_free (struct ColtPlacement *placement,
                        struct ColtPlacementServer *server);
struct ColtResources
colt_servers_kept (const struct ColtPlacementServer *server);

/* search.c: the best server for a task */
struct ColtSearch
{
  struct ColtPlacement *placement;
  const struct ColtPlacementTeam *team;
  const struct ColtPlacementTask *task;
  struct ColtResources demand; /**< expected, at least the declared one */
  double run_ms;               /**< expected at normal speed, 0 if unknown */
  int64_t now_us;
};
struct ColtPlacementServer *colt_search_server (struct ColtSearch *search);
/** Returns the class of servers that the task should go to. */
enum ColtServerClass colt_search_class (const struct ColtSearch *search);

/* policies.c: ways to compare servers */
struct ColtPolicy
{
  /** Cost of a server; the lowest is chosen. */
  double (*cost) (const struct ColtSearch *search,
                  const struct ColtPlacementServer *server);
  bool emptiest_first; /**< order of groups without accelerators */
  bool across_groups;  /**< compares servers of several groups */
};
extern const struct ColtPolicy colt_policies[COLT_POLICY_COUNT];

/* learning.c: run times, sizes and speeds */
double colt_learned_run_ms (const struct ColtPlacementTeam *team,
                            const struct ColtPlacementTask *task);
/** A run time that the task may well stay below. */
double colt_learned_short_run_ms (const struct ColtPlacementTeam *team,
                                  const struct ColtPlacementTask *task);
struct ColtResources colt_learned_demand (const struct ColtPlacementTeam *team,
                                          const struct ColtPlacementTask *task);
double colt_learned_speed (const struct ColtPlacementServer *server,
                           enum ColtWorkKind kind);
void colt_learn (struct ColtPlacementTeam *team,
                 struct ColtPlacementServer *server,
                 const struct ColtPlacementTask *task,
                 const struct ColtTaskReport *report);
/** Learns how fast waiting work of a kind is started. */
void colt_learn_start (struct ColtPlacementTeam *team,
                       enum ColtWorkKind kind,
                       int64_t now_us);

/* teams.c: shares */
struct ColtPlacementTeam *colt_teams_get (struct ColtPlacement *placement,
                                          const char *name);
struct ColtPlacementTeam *
colt_teams_find (const struct ColtPlacement *placement, const char *name);
void colt_teams_reorder (struct ColtPlacement *placement,
                         struct ColtPlacementTeam *team);
void colt_teams_reorder_all (struct ColtPlacement *placement);
/** From time to time: settles what teams are owed. */
void colt_teams_balance (struct ColtPlacement *placement, int64_t now_us);
bool colt_teams_is_high (const struct ColtPlacement *placement,
                         enum ColtWorkKind kind);
void colt_teams_park (struct ColtPlacement *placement,
                      struct ColtPlacementTeam *team,
                      int64_t now_us);
/** A team kept servers in vain; it keeps none for a while. */
void colt_teams_pause (struct ColtPlacementTeam *team, int64_t now_us);
void colt_teams_free (gpointer data);

/* buckets.c: the order in which lanes are tried */
void colt_buckets_add (struct ColtPlacement *placement, struct ColtLane *lane);
void colt_buckets_remove (struct ColtLane *lane);
/** Sets a team's place in the order. */
void colt_buckets_set_order (struct ColtPlacementTeam *team,
                             double order,
                             bool high_first);
/** Sets whether a lane goes first because its gang keeps room. */
void colt_buckets_set_claims (struct ColtPlacement *placement,
                              struct ColtLane *lane,
                              bool claims);
void colt_buckets_defer (struct ColtPlacement *placement,
                         struct ColtLane *lane,
                         int64_t until_us);
void colt_buckets_resume (struct ColtPlacement *placement, int64_t now_us);
/** A server has more free than before. */
void colt_buckets_gain (struct ColtPlacement *placement,
                        const struct ColtResources *free);
/** Returns the lane to be tried next, or NULL if all are blocked. */
struct ColtLane *colt_buckets_choose (struct ColtPlacement *placement,
                                      int64_t now_us);
void colt_buckets_free (gpointer data);

/* placed.c: tasks that were placed here */
void colt_placed_add (struct ColtPlacement *placement,
                      const struct ColtSearch *search,
                      struct ColtPlacementServer *server);
struct ColtPlacedTask *colt_placed_find (const struct ColtPlacement *placement,
                                         const struct ColtId *request,
                                         uint32_t index);
/** Forgets a task; its room is free again unless \a keep_room. */
void colt_placed_remove (struct ColtPlacement *placement,
                         struct ColtPlacedTask *placed,
                         bool keep_room);
/** Marks a task whose gang waits for more room, until it is handed out. */
void colt_placed_set_held (struct ColtPlacedTask *placed, bool held);
void colt_placed_leave_server (struct ColtPlacementServer *server);
/** Tasks of a team on a rack or on a server that are to be spread. */
unsigned colt_spread_on_rack (const struct ColtPlacement *placement,
                              const struct ColtPlacementTeam *team,
                              uint32_t rack);
unsigned colt_spread_on_server (const struct ColtPlacement *placement,
                                const struct ColtPlacementTeam *team,
                                uint32_t server);
guint colt_task_key_hash (gconstpointer key);
gboolean colt_task_key_equal (gconstpointer a, gconstpointer b);

/* queue.c: what waits */
struct ColtWaiting *colt_queue_find (const struct ColtPlacement *placement,
                                     const struct ColtId *request,
                                     uint32_t index);
void colt_queue_add (struct ColtPlacement *placement,
                     const struct ColtPlacementTask *task,
                     int64_t now_us);
void colt_queue_remove (struct ColtPlacement *placement,
                        struct ColtWaiting *waiting);
struct ColtWaiting *colt_lane_head (const struct ColtLane *lane);
int64_t colt_lane_key (const struct ColtPlacement *placement,
                       const struct ColtLane *lane);
void colt_lane_free (gpointer data);

/* gangs.c: tasks that go together */
void colt_gangs_add (struct ColtPlacement *placement,
                     struct ColtWaiting *waiting,
                     int64_t now_us);
/** Returns the member that takes the removed one's place, or NULL. */
struct ColtWaiting *colt_gangs_remove (struct ColtPlacement *placement,
                                       struct ColtWaiting *waiting);
bool colt_gangs_ready (struct ColtPlacement *placement,
                       const struct ColtWaiting *waiting,
                       int64_t now_us);
int64_t colt_gangs_gather_us (const struct ColtWaiting *waiting);
bool colt_gangs_place (struct ColtPlacement *placement,
                       struct ColtWaiting *waiting,
                       int64_t now_us);
/** Lets go what a gang has kept for too long. */
void colt_gangs_expire (struct ColtPlacement *placement, int64_t now_us);
/** Lets go what a gang keeps, before it is tried from the beginning. */
void colt_gangs_release (struct ColtPlacement *placement,
                         struct ColtGang *gang);
void colt_gangs_free (gpointer data);

/* reservations.c: servers kept for what found no room */
/** Keeps a server for a task; returns whether it may have one, now or later. */
bool colt_reservations_make (struct ColtSearch *search);
void colt_reservations_drop (struct ColtPlacement *placement,
                             struct ColtReservation *reservation);
/** Drops what is kept for a request. */
void colt_reservations_drop_request (struct ColtPlacement *placement,
                                     const struct ColtId *request);
void colt_reservations_drop_server (struct ColtPlacement *placement,
                                    struct ColtPlacementServer *server);
void colt_reservations_expire (struct ColtPlacement *placement, int64_t now_us);
/** Finds a kept server that the task leaves before it is needed. */
struct ColtPlacementServer *
colt_reservations_backfill (struct ColtSearch *search);

/* admission.c: what is refused or given up */
enum ColtPlacementStatus
colt_admission_judge (struct ColtPlacement *placement,
                      const struct ColtPlacementTask *task,
                      int64_t now_us);
bool colt_admission_never_fits (const struct ColtPlacement *placement,
                                const struct ColtPlacementTask *task,
                                int64_t now_us);
bool colt_admission_too_late (const struct ColtPlacementTeam *team,
                              const struct ColtPlacementTask *task,
                              int64_t now_us);
void colt_admission_shed (struct ColtPlacement *placement,
                          struct ColtWaiting *waiting,
                          enum ColtPlacementStatus status);

/* decide.c: the next choice */
void colt_decide_prepare (struct ColtSearch *search,
                          struct ColtPlacement *placement,
                          const struct ColtWaiting *waiting,
                          int64_t now_us);
/** Hands out the choice of a task that was placed. */
void colt_decide_hand_out (struct ColtPlacement *placement,
                           struct ColtWaiting *waiting,
                           int64_t now_us);
bool colt_decide (struct ColtPlacement *placement, int64_t now_us);

#endif
