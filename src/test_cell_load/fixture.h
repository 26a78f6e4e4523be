/* Fixture: a cell with servers and jobs in simulated time. It records the
 * orders of the cell; the tests answer them. */
#ifndef COLT_TEST_CELL_LOAD_FIXTURE_H
#define COLT_TEST_CELL_LOAD_FIXTURE_H

#include <glib.h>

#include "coltsfootstile/cell.h"
#include "coltsfootstile/clock.h"

#define MS COLT_US_PER_MS
/* Longest time from the order of a start to its result. */
#define COLT_FIXTURE_RUN_WAIT_US (3600 * COLT_US_PER_S)

struct ColtLoadFixture
{
  struct ColtCell *cell;
  int64_t now_us;
  GPtrArray *starts;         /* ordered starts as "task@server", oldest first */
  GArray *start_runs;        /* run numbers of the starts, uint32_t */
  GPtrArray *stops;          /* ordered stops as "task@server", oldest first */
  GPtrArray *faults;         /* details of faults that the cell logged */
  guint faults_expected;     /* when the fixture is destroyed */
  GPtrArray *advice_calls;   /* names of steps with a pending advice call */
  GPtrArray *named_servers;  /* ids that the latest advice call named */
  GArray *calls;             /* numbers of all advice calls, uint64_t */
  uint32_t max_advice_calls; /* most pending advice calls */
  uint32_t last_id;          /* of the latest job */
  size_t record_bytes_max;   /* 0: no limit */
  int64_t half_life_us;      /* of past use; 0: it doesn't count */
  int64_t wait_max_us;       /* longest delay for past use */
  uint32_t term;             /* of the leader */
  bool unconfigured;         /* a new leader gets no configuration */
  bool forecasts;            /* jobs are admitted by forecast */
  GHashTable *records;       /* durable ones: key -> GBytes */
};

/* Creates a cell with the queues "tight" and "advised", the organisations
 * "steady" and "hot", and no servers. */
struct ColtLoadFixture *colt_fixture_create (void);
/* Creates the same with admission by forecast, if forecasts is true. */
struct ColtLoadFixture *colt_fixture_create_admitting (bool forecasts);
/* Creates the same with records of record_bytes_max bytes at most. */
struct ColtLoadFixture *colt_fixture_create_limited (size_t record_bytes_max);
/* Creates the same with past use in the order of waiting work. */
struct ColtLoadFixture *colt_fixture_create_fair (size_t record_bytes_max,
                                                  int64_t half_life_us,
                                                  int64_t wait_max_us);
void colt_fixture_destroy (struct ColtLoadFixture *fixture);
/* Makes a job of "steady" in the queue "tight" with one step of count tasks. */
ColtJobSpec *colt_fixture_make_job (struct ColtLoadFixture *fixture,
                                    uint32_t count);
/* Sets what "steady" may use, in thousandths of a core. */
void colt_fixture_set_maximum (struct ColtLoadFixture *fixture, int64_t cores);
/* Adds the queues "single" and "short" of lower priorities, with objectives of
 * 4 times the duration plus 3 s. */
void colt_fixture_add_lower_queues (struct ColtLoadFixture *fixture);
/* Reports that a server has no runs, in reply to the call with a number. */
void colt_fixture_report_idle (struct ColtLoadFixture *fixture,
                               const char *server,
                               uint64_t call_number);
/* Adds an idle server with an accelerator for each whole core; cores are in
 * thousandths, and kind is its label. */
void colt_fixture_add_server_of_kind (struct ColtLoadFixture *fixture,
                                      const char *id,
                                      int64_t cores,
                                      const char *kind);
/* Adds an idle server of kind "a"; cores are in thousandths. */
void colt_fixture_add_server (struct ColtLoadFixture *fixture,
                              const char *id,
                              int64_t cores);
/* Submits a job with one step of count tasks, each of which needs one core. */
void colt_fixture_submit (struct ColtLoadFixture *fixture,
                          const char *queue,
                          const char *organisation,
                          uint32_t count,
                          bool lasting);
/* Submits a job of "steady" with one gang of count tasks, each of which needs
 * one core. */
void colt_fixture_submit_gang (struct ColtLoadFixture *fixture,
                               const char *queue,
                               uint32_t count);
/* Submits the same, to be repeated once, after the time of all tests. */
void colt_fixture_submit_repeated_gang (struct ColtLoadFixture *fixture,
                                        const char *queue,
                                        uint32_t count);
/* Makes all records of the cell durable. */
void colt_fixture_commit (struct ColtLoadFixture *fixture);
/* Replaces the leader: a new cell is loaded from the durable records. It has no
 * servers. */
void colt_fixture_change_leader (struct ColtLoadFixture *fixture);
/* Runs one pass of placement and commits it, so that its starts are ordered. */
void colt_fixture_place (struct ColtLoadFixture *fixture);
/* Reports that a start, given by its index, was accepted by its server. */
void colt_fixture_accept_start (struct ColtLoadFixture *fixture, guint start);
/* Reports the end of the run of a start, given by its index. */
void colt_fixture_report_end (struct ColtLoadFixture *fixture,
                              guint start,
                              uint32_t run,
                              enum ColtRunEnd how);
/* Returns whether any start from an index on is of a task of a job, given by
 * its number; jobs are numbered from 1. */
bool colt_fixture_has_started (const struct ColtLoadFixture *fixture,
                               guint from,
                               uint32_t id);
/* Returns whether a start was sent to a server, given by the end of its id. */
bool colt_fixture_was_sent_to (const struct ColtLoadFixture *fixture,
                               guint start,
                               const char *server);

/* Ends an advice call, given by its index among all calls. reply: NULL if there
 * is none. */
void colt_fixture_answer_advice (struct ColtLoadFixture *fixture,
                                 guint call,
                                 const ColtAdviceReply *reply);
/* Ends an advice call, given by its index among all calls, with tickets for all
 * servers that the latest call named. */
void colt_fixture_grant_servers (struct ColtLoadFixture *fixture, guint call);

/* Register the tests of the other files. */
void colt_load_add_server_tests (void);
void colt_load_add_tick_tests (void);
void colt_load_add_loss_tests (void);
void colt_load_add_choice_tests (void);
void colt_load_add_advice_tests (void);
void colt_load_add_cost_tests (void);
void colt_load_add_failure_tests (void);
void colt_load_add_record_tests (void);
void colt_load_add_end_tests (void);
void colt_load_add_watchdog_tests (void);
void colt_load_add_evacuation_tests (void);
void colt_load_add_usage_tests (void);
void colt_load_add_gang_tests (void);
void colt_load_add_admission_tests (void);

#endif
