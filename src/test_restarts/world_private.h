/* State of a world; shared by its source files. */
#ifndef COLT_TEST_RESTARTS_WORLD_PRIVATE_H
#define COLT_TEST_RESTARTS_WORLD_PRIVATE_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/clock.h"
#include "scheduler_private.h"
#include "world.h"

/* Events of a server that are printed with a failure. */
#define COLT_WORLD_HISTORY 40

struct ColtWorld;

typedef void (*ColtWorldEventHandler) (struct ColtWorld *world, void *arg);

/* A run that a server executes or has executed. */
struct ColtWorldRun
{
  const char *task;
  uint32_t run;
  struct ColtWorldLife *life;
  int64_t begun_us;
  int64_t ended_us; /* 0: it is running */
  const char *how;  /* it ended */
  bool stopping;
};

/* A life of a server: its process, from a start to the next crash. */
struct ColtWorldLife
{
  struct ColtWorldServer *server;
  uint32_t number; /* of the life, from 1 */
  const char *id;
  int64_t incarnation_ms;
  int64_t begun_us;
  bool ended;
  int64_t clock_base_ms; /* of its clock, at begun_us */
  double clock_rate;
  uint64_t token;       /* highest one seen */
  int64_t lease_end_ms; /* on its clock; 0: none */
  GPtrArray *runs;      /* of struct ColtWorldRun, running */
  GHashTable *rejected; /* task -> highest run that was stopped or has ended */
  GArray *ends;         /* of struct ColtFinishedEntry, not acknowledged */
  uint64_t last_end;    /* number of the last end */
  uint64_t listed_end;  /* of the last end that an answer has listed */
  uint64_t lapsed_end;  /* of the last end before the lease expired */
  GPtrArray *held;      /* of struct ColtWorldCall, renewals that wait */
};

/* A machine, on which lives of a server follow one another. */
struct ColtWorldServer
{
  struct ColtWorld *world;
  const char *address;
  const char *first_id;
  const char *id;
  struct ColtWorldLife *life;   /* NULL: it is down */
  struct ColtWorldLife *former; /* the life before; NULL: none */
  uint32_t lives;
  bool silent;                       /* while it is down, packets vanish */
  int64_t requests_cut_us;           /* until when packets to it are lost */
  int64_t answers_cut_us;            /* until when packets from it are lost */
  int64_t wall_step_ms;              /* error of its wall clock */
  char *history[COLT_WORLD_HISTORY]; /* a ring */
  uint32_t events;                   /* added to history so far */
};

/* A call on a channel to a server. */
struct ColtWorldCall
{
  struct ColtServerChannel *channel;
  enum
  {
    CALL_START,
    CALL_STOP,
    CALL_RENEW
  } kind;
  uint32_t number;
  const char *task;
  uint32_t run;
  uint64_t connection;              /* on which alone it is sent; 0: any */
  const struct ColtWorldLife *life; /* at the other end of its connection */
  uint64_t token;
  int64_t until_ms;
  uint64_t acked_through;
  uint32_t wait_ms;
  uint32_t timeout_ms;
  ColtServerCallDone done;
  void *client;
  bool finished;
  bool answering; /* the answer is on its way */
  enum ColtStartResult timeout_result;
  struct ColtServerAnswer answer;
  GArray *running; /* of the answer */
  GArray *ended;   /* of the answer */
};

struct ColtWorldTask
{
  GPtrArray *running; /* of struct ColtWorldRun */
  bool done;          /* a run has ended so */
  int64_t acked_us;   /* when that end was acknowledged; 0: not yet */
  const struct ColtWorldLife *acked_life; /* where it ended */
  uint32_t acked_run;
};

struct ColtWorldJob
{
  const char *id;
  uint32_t steps;
  bool accepted;
};

struct ColtWorld
{
  const struct ColtWorldPlan *plan;
  struct ColtWorldResult *result;
  GRand *rand;
  struct event_base *base;
  struct ColtPorts ports;
  GSequence *events;
  uint64_t event_count;
  GPtrArray *servers;  /* of struct ColtWorldServer */
  GPtrArray *lives;    /* of struct ColtWorldLife */
  GPtrArray *channels; /* of struct ColtServerChannel */
  GPtrArray *calls;    /* of struct ColtWorldCall */
  GPtrArray *memory;   /* freed with the world */
  GStringChunk *strings;
  GHashTable *tasks;                   /* name -> struct ColtWorldTask */
  GPtrArray *jobs;                     /* of struct ColtWorldJob */
  GArray *topics[COLT_TOPIC_JOBS + 1]; /* of struct ColtWorldRecord */
  GPtrArray *log_calls;                /* of struct ColtWorldLogCall */
  uint64_t epoch;                      /* of the log's producer */
  uint64_t sequence;
  struct ColtSchedulerSettings settings;
  struct ColtMetrics *metrics;
  struct ColtLeader *leader; /* NULL: there is none */
  uint64_t term;
  int64_t zone_cut_us; /* when a third of the servers is cut off; 0: never */
  bool queue_dropped;
  bool faults; /* are injected */
  bool closing;
};

/* ---- world.c ---- */
void colt_world_at (struct ColtWorld *world,
                    int64_t when_us,
                    ColtWorldEventHandler handle,
                    void *arg);
void *colt_world_alloc (struct ColtWorld *world, size_t size);
bool colt_world_draw (struct ColtWorld *world, double probability);
/* Draws a time from least_ms to most_ms, in microseconds. */
int64_t
colt_world_draw_us (struct ColtWorld *world, double least_ms, double most_ms);
/* Draws the time to the next event of a rate, in microseconds. */
int64_t colt_world_draw_pause_us (struct ColtWorld *world, double rate);

/* ---- world_truth.c: what the servers see ---- */
/* Adds an event to a server's history. */
void colt_world_note (struct ColtWorldServer *server, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
/* Records that a rule is broken. Returns whether that is the first time, which
 * is printed. */
bool colt_world_break (struct ColtWorld *world,
                       enum ColtWorldRule rule,
                       const char *format,
                       ...) G_GNUC_PRINTF (3, 4);
void colt_world_check_start (struct ColtWorld *world, struct ColtWorldRun *run);
void colt_world_check_end (struct ColtWorld *world, struct ColtWorldRun *run);
/* An end was acknowledged. Those of expired leases don't count as done: the
 * leader may have started their tasks again. */
void colt_world_check_acked (const struct ColtWorldLife *life,
                             const struct ColtFinishedEntry *end);
void colt_world_free_truth (struct ColtWorld *world);

/* ---- world_log.c ---- */
void colt_world_init_log (struct ColtWorld *world);
void colt_world_free_log (struct ColtWorld *world);
/* Writes the entry of a life to the log. */
void colt_world_put_entry (struct ColtWorld *world,
                           const struct ColtWorldLife *life);
void colt_world_delete_entry (struct ColtWorld *world, const char *id);

/* ---- world_channels.c ---- */
void colt_world_init_channels (struct ColtWorld *world);
void colt_world_free_channels (struct ColtWorld *world);
/* Returns the id of the server that a call is meant for. */
const char *colt_world_call_id (const struct ColtWorldCall *call);
/* Sends the answer to a call that a life has executed. */
void colt_world_answer (struct ColtWorldServer *server,
                        struct ColtWorldCall *call,
                        enum ColtStartResult result);
/* Resets the connections to a server that has crashed. */
void colt_world_reset_channels (struct ColtWorldServer *server);

/* ---- world_servers.c ---- */
void colt_world_init_servers (struct ColtWorld *world);
void colt_world_free_servers (struct ColtWorld *world);
int64_t colt_world_clock_ms (const struct ColtWorldLife *life);
/* Executes a call on the life of a server that is up. */
void colt_world_execute (struct ColtWorldServer *server,
                         struct ColtWorldCall *call);
/* Adds the report of a life to the answer of a renewal. */
void colt_world_report (struct ColtWorldLife *life, struct ColtWorldCall *call);
void colt_world_crash (struct ColtWorldServer *server, bool silent);
void colt_world_boot (struct ColtWorldServer *server, const char *id);

/* ---- world_faults.c ---- */
void colt_world_init_faults (struct ColtWorld *world);

/* ---- world_leader.c ---- */
void colt_world_init_leader (struct ColtWorld *world);
void colt_world_free_leader (struct ColtWorld *world);
/* Ends the leader, if there is one; another follows within seconds. */
void colt_world_end_leader (struct ColtWorld *world, void *arg);
/* Returns how many accepted jobs haven't ended. */
uint32_t colt_world_count_open_jobs (struct ColtWorld *world);

#endif
