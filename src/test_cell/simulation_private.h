/* Tables of the world; shared by the files of this program only. */
#ifndef COLT_TEST_CELL_WORLD_PRIVATE_H
#define COLT_TEST_CELL_WORLD_PRIVATE_H

#include "coltsfootstile/clock.h"
#include "simulation.h"

#define STEP_US (10 * COLT_US_PER_MS)
#define LEASE_US (5 * COLT_US_PER_S)
#define MAX_ATTEMPTS 3
#define ROOM 4000
#define LIMIT 9000
#define SERVICE "service"

struct ColtWorldRun
{
  char *task;
  uint32_t run;
  uint32_t cpu;
  int64_t end_us;
  enum ColtRunEnd how;
};

struct ColtWorldEnd
{
  uint64_t number;
  char *task;
  uint32_t run;
  enum ColtRunEnd how;
  bool lapsed; /* the server's leases ended before it was noted */
};

struct ColtWorldServer
{
  char id[16];
  int64_t born_ms;
  bool cut;
  int64_t cut_until_us;
  uint64_t token;
  int64_t until_us;
  uint64_t last_end;
  GPtrArray *runs;
  GPtrArray *ends;
  GHashTable *floor; /* task -> highest run stopped or ended, plus one */
  /* The lead's side. */
  int64_t known_born_ms;
  uint64_t asked;
  uint64_t noted;
  int64_t next_look_us;
  int64_t lapse_us;
  uint32_t failures;
};

enum ColtWorldOrderKind
{
  ORDER_START,
  ORDER_STOP,
  ORDER_ADVICE
};

struct ColtWorldOrder
{
  enum ColtWorldOrderKind kind;
  struct ColtWorldServer *server;
  char *task;
  char *ticket;
  uint32_t run;
  uint64_t token;
  int64_t born_ms; /* an order doesn't outlive the server it was sent to */
  int64_t until_us;
  int64_t due_us;
  int64_t answer_us;
  uint32_t lead;
  bool answered; /* the answer arrives */
  bool done;
  enum ColtStartResult result;
  GPtrArray *names;
};

/* Ends that may be noted once a batch is durable. */
struct ColtWorldNote
{
  struct ColtWorldServer *server;
  int64_t born_ms;
  uint64_t number;
};

struct ColtWorldTaskTruth
{
  uint32_t running;
  uint32_t failures_noted;
  bool done_noted;
};

struct ColtWorld
{
  const struct ColtWorldPlan *plan;
  struct ColtWorldResult *result;
  GRand *rand;
  int64_t now_us;
  uint32_t generation;
  struct ColtCell *cell;
  struct ColtFleet *fleet;
  struct ColtWorldServer *servers;
  GPtrArray *orders;
  GHashTable *log;   /* key -> GBytes */
  GHashTable *truth; /* task -> struct ColtWorldTaskTruth */
  GHashTable *cpu;   /* id -> demand of the job's tasks */
  GArray *batch;
  int64_t batch_due_us;
  GArray *noting;       /* of struct ColtWorldNote, for the next batch */
  GArray *batch_noting; /* for the batch on its way */
  GPtrArray *sent;      /* ids of jobs */
  uint32_t submitted;
};

/* world.c */
bool colt_world_chance (struct ColtWorld *world, double share);
struct ColtWorldTaskTruth *colt_world_truth (struct ColtWorld *world,
                                             const char *task);

/* world_orders.c: what the cell orders, and what becomes of it. */
extern const struct ColtCellOps colt_world_ops;
void colt_world_free_order (gpointer data);
void colt_world_play_orders (struct ColtWorld *world);

/* world_servers.c: the servers, and how the lead looks at them. */
void colt_world_make_servers (struct ColtWorld *world);
void colt_world_free_servers (struct ColtWorld *world);
void colt_world_play_servers (struct ColtWorld *world);
void colt_world_play_looks (struct ColtWorld *world);

#endif
