/* State of a simulation, shared by the files of this program only. */
#ifndef COLT_TEST_CELL_SIMULATION_PRIVATE_H
#define COLT_TEST_CELL_SIMULATION_PRIVATE_H

#include "coltsfootstile/clock.h"
#include "simulation.h"

#define STEP_US (10 * COLT_US_PER_MS)
#define LEASE_US (5 * COLT_US_PER_S)
/* Failures of a task after which its job fails. */
#define MAX_ATTEMPTS 3
/* Capacity of a server: thousandths of a core, and mebibytes of memory. */
#define SERVER_CAPACITY 4000
/* Limit of the organisation in thousandths of a core. */
#define ORGANISATION_CORES 9000
#define SERVICE "service"
/* Zones that servers are spread over. */
#define ZONES 3
#define ZONE_SIZE 16
#define SERVER_ID_FORMAT "server-%u"
#define SERVER_ID_SIZE 16
/* Crashes under a task after which it may be given up. */
#define CRASHES_TO_GIVE_UP 2
/* Starts of a task that crashes servers are limited from this many crashes
 * under it. */
#define CRASHES_TO_LIMIT 3
/* Most starts of such a task from then on. */
#define STARTS_AFTER_CRASHES 2

/* A run on a server. */
struct ColtSimRun
{
  char *task;
  uint32_t run;
  uint32_t cpu; /* thousandths of a core */
  int64_t end_us;
  enum ColtRunEnd how;
  int64_t crash_us;   /* when it crashes its server; 0: never */
  int64_t ordered_us; /* when its start was sent */
  uint32_t room;      /* of the server, as its leader knew it then */
};

/* An ended run that a server lists until the leader acknowledges it. */
struct ColtSimEnd
{
  uint64_t number; /* rises within an incarnation of the server, from 1 */
  char *task;
  uint32_t run;
  enum ColtRunEnd how;
  bool lapsed; /* the server's lease expired before the acknowledgement */
};

/* A backend server. One that returns from a crash under another id leaves this
 * one behind as gone. */
struct ColtSimServer
{
  /* State of the server. */
  char id[SERVER_ID_SIZE];
  uint32_t machine;       /* sets its address, and the steps that it may run */
  int64_t incarnation_ms; /* start of its incarnation */
  int64_t down_until_us;  /* it has crashed and restarts then; 0: it is up */
  struct ColtSimServer *successor; /* the server that answers at its address;
                                      NULL: itself */
  bool partitioned;
  int64_t partition_end_us;
  uint64_t token; /* highest fencing token that it has accepted */
  int64_t lease_end_us;
  uint64_t last_end;    /* number of its latest ended run */
  GPtrArray *runs;      /* of struct ColtSimRun */
  GPtrArray *ends;      /* of struct ColtSimEnd */
  GHashTable *min_runs; /* task -> lowest run number that may still start */
  /* Incarnation in the server's entry, which follows incarnation_ms at
   * entry_due_us. */
  int64_t entry_incarnation_ms;
  int64_t entry_due_us;
  uint32_t room;       /* thousandths of a core */
  int64_t room_end_us; /* when a shrunken room grows again */
  /* Room in the server's entry, which follows room at room_due_us. */
  uint32_t entry_room;
  int64_t room_due_us;
  int64_t listed_from_us;  /* the entry appears then */
  int64_t listed_until_us; /* the entry disappears then */
  /* The leader's record of the server. */
  int64_t
      known_incarnation_ms; /* incarnation at the last renewal; 0: none yet */
  uint64_t renewals;        /* number of the latest renewal */
  uint64_t acked_end;       /* ended runs up to this number are acknowledged */
  int64_t next_renewal_us;
  int64_t expiry_us; /* when all its leases have expired; 0: none is known */
  uint32_t failed_renewals; /* in a row */
  bool known;               /* the leader has seen its entry */
};

enum ColtSimOrderKind
{
  ORDER_START,
  ORDER_STOP,
  ORDER_ADVICE
};

/* A start, a stop or an advice call that a leader has sent. */
struct ColtSimOrder
{
  enum ColtSimOrderKind kind;
  struct ColtSimServer *server; /* NULL for advice */
  char *task;                   /* the step for advice */
  char *ticket;
  uint32_t run;
  uint64_t token;         /* fencing token of the sender: its generation */
  int64_t incarnation_ms; /* incarnation of the server that the order is meant
                             for */
  int64_t lease_end_us;
  int64_t sent_us;
  uint32_t room;     /* of the server, in the newest entry that the sender has
                        seen */
  int64_t due_us;    /* arrival; INT64_MAX: never */
  int64_t answer_us; /* arrival of the answer or timeout; 0: reported */
  uint32_t leader;   /* generation of the sender */
  bool answered;     /* false: the answer is lost */
  bool done;         /* executed, or lost at its arrival */
  bool gone;         /* answered by another server at the address */
  enum ColtStartResult result;
  uint64_t call;           /* number of an advice call */
  GPtrArray *server_names; /* servers that advice is requested for */
};

/* Acknowledges ended runs of a server up to a number once a batch of records is
 * durable. */
struct ColtSimAck
{
  struct ColtSimServer *server;
  int64_t incarnation_ms; /* incarnation of the server */
  uint64_t number;        /* of the last ended run */
};

/* What the servers have done with a task, as opposed to the cell's records. */
struct ColtSimTaskTruth
{
  uint32_t running; /* runs on all servers */
  uint32_t failures;
  uint32_t failures_acked;
  uint32_t last_started; /* highest run that has started */
  bool done_acked;
  int64_t late_done_acked_us; /* when the end as done of a run whose lease had
                                 expired was acknowledged; 0: never */
  bool deadly;                /* crashes each server that starts it */
  uint32_t crashes;     /* of servers while it ran there, for whatever cause */
  uint32_t late_starts; /* after CRASHES_TO_LIMIT crashes */
};

/* A submitted job. */
struct ColtSimJob
{
  char id[COLT_JOB_ID_LENGTH + 1];
  uint32_t cpu; /* thousandths of a core of each task */
  bool deadly;  /* one of its tasks crashes servers */
  bool cancelled;
  bool early; /* submitted in the first half of the planned steps */
  enum ColtJobState shown; /* the last state that callers got */
};

struct ColtSim
{
  const struct ColtSimPlan *plan;
  struct ColtSimResult *result;
  GRand *rand;
  int64_t now_us;
  int64_t half_time_us; /* the middle of the planned steps */
  uint32_t generation;  /* number of the current leader, from 1 */
  struct ColtCell *cell;
  struct ColtFleet *fleet;
  struct ColtSimServer *servers;
  uint32_t server_count; /* of used elements of servers; rises when a server
                            returns under another id */
  uint32_t server_limit; /* of all elements */
  GPtrArray *orders;     /* of struct ColtSimOrder */
  GHashTable *records;   /* the durable log: key -> GBytes */
  GHashTable *truth;     /* task -> struct ColtSimTaskTruth */
  GHashTable *jobs;      /* job id -> struct ColtSimJob */
  GArray *batch;         /* records that become durable next; NULL: none */
  int64_t batch_durable_us;
  int64_t log_down_until_us;
  bool evacuated[ZONES];
  GArray *acks;        /* of struct ColtSimAck, for the next batch */
  GArray *batch_acks;  /* of struct ColtSimAck, for the current batch */
  GPtrArray *job_list; /* of struct ColtSimJob, owned by jobs */
};

/* simulation.c */

/* Returns true with a probability from 0 to 1. */
bool colt_sim_draw (struct ColtSim *sim, double probability);
/* Returns the truth about a task; adds an entry if there is none. */
struct ColtSimTaskTruth *colt_sim_get_truth (struct ColtSim *sim,
                                             const char *task);

/* simulation_orders.c: sending, executing and answering the cell's orders */

extern const struct ColtCellOps colt_sim_cell_ops;
void colt_sim_free_order (gpointer data);
/* Executes the orders that are due and reports the answers that are due. */
void colt_sim_deliver_orders (struct ColtSim *sim);

/* simulation_servers.c: the servers, and the renewal of their leases */

void colt_sim_make_servers (struct ColtSim *sim);
void colt_sim_free_servers (struct ColtSim *sim);
/* Returns the server that answers at a server's address. */
struct ColtSimServer *colt_sim_get_answerer (struct ColtSimServer *server);
/* Returns whether the zone of a server is evacuated. */
bool colt_sim_is_evacuated (const struct ColtSim *sim,
                            const struct ColtSimServer *server);
/* Returns whether a server answers no calls. */
bool colt_sim_is_silent (const struct ColtSimServer *server);
/* Ends runs that are due, injects partitions and crashes, and restarts crashed
 * servers. */
void colt_sim_advance_servers (struct ColtSim *sim);
/* Renews the leases that are due and reports the servers' runs to the cell. */
void colt_sim_renew_leases (struct ColtSim *sim);

#endif
