/* Fuzzes requests at their home against a model of the attempts that ran.
 * Attempts are refused, start, end and get lost; reports on them arrive late,
 * twice or never; servers change owners or disappear; and leaders change. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/request.h"

enum
{
  IDS = 12,
  TASKS_MAX = 3,
  SERVERS = 3,
  ATTEMPTS_MAX = 512,
  WALL_S = 100000,
  FULL_RETRIES = 1000
};

enum ColtAttemptState
{
  ATTEMPT_SENT,    /* not yet received by its server */
  ATTEMPT_NOT_RUN, /* did not run and never will */
  ATTEMPT_RUNNING, /* on its server */
  ATTEMPT_ENDED,   /* its server has a record of the end */
  ATTEMPT_LOST     /* ran; no server has a record of it */
};

struct ColtModelAttempt
{
  struct ColtTaskRef ref;
  uint64_t shard_epoch;
  uint32_t server;
  enum ColtAttemptState state;
  enum ColtTaskState end;
  bool ran;
};

struct ColtModelRequest
{
  struct ColtId id;
  struct ColtRequestSpec spec;
  bool used;          /* its id has been submitted */
  unsigned end_count; /* reported under the current leader */
};

struct ColtRequestSim
{
  struct ColtRequests *requests;
  struct ColtModelRequest ids[IDS];
  struct ColtModelAttempt attempts[ATTEMPTS_MAX];
  size_t attempt_count;
  uint64_t server_epochs[SERVERS + 1];
  uint32_t records_since_s[SERVERS + 1]; /* wall time from which on a server
                                          * has all records */
  uint64_t shard_epoch;
  bool ready[IDS][TASKS_MAX]; /* the task's next attempt may begin */
  unsigned retries;           /* retries that consume_retry_() still allows */
  int64_t now_us;
};

struct ColtInput
{
  const uint8_t *data;
  size_t size;
};

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static uint8_t
draw_byte_ (struct ColtInput *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->data++;
}

static uint32_t
wall_s_ (const struct ColtRequestSim *sim)
{
  return WALL_S + (uint32_t)(sim->now_us / COLT_US_PER_S);
}

static struct ColtModelRequest *
find_model_ (struct ColtRequestSim *sim, const struct ColtId *id)
{
  int i;

  for (i = 0; i < IDS; i++)
    if (colt_id_equal (&sim->ids[i].id, id))
      return &sim->ids[i];
  abort ();
}

static bool
ever_ran_ (const struct ColtRequestSim *sim, const struct ColtId *id)
{
  size_t i;

  for (i = 0; i < sim->attempt_count; i++)
    if (colt_id_equal (&sim->attempts[i].ref.request, id)
        && sim->attempts[i].ran)
      return true;
  return false;
}

static void
on_ready_ (void *client, const struct ColtRequest *request, uint32_t index)
{
  struct ColtRequestSim *sim = client;
  size_t at = find_model_ (sim, &request->id) - sim->ids;

  g_assert_true (index < request->spec.tasks && !sim->ready[at][index]);
  sim->ready[at][index] = true;
}

static void
on_unready_ (void *client, const struct ColtRequest *request, uint32_t index)
{
  struct ColtRequestSim *sim = client;

  sim->ready[find_model_ (sim, &request->id) - sim->ids][index] = false;
}

static void
on_stop_ (void *client, const struct ColtRequest *request, uint32_t index)
{
  (void)client;
  g_assert_true (request->tasks[index].attempt > 0);
}

/* Checks an outcome reported to callers against the model. */
static void
on_ended_ (void *client, const struct ColtRequest *request)
{
  struct ColtRequestSim *sim = client;
  struct ColtModelRequest *model = find_model_ (sim, &request->id);
  size_t i;

  g_assert_true (model->end_count++ == 0);
  g_assert_true (request->outcome != COLT_OUTCOME_PENDING);
  if (request->outcome == COLT_OUTCOME_NOT_RUN)
    {
      g_assert_true (!ever_ran_ (sim, &request->id));
      for (i = 0; i < sim->attempt_count; i++)
        g_assert_true (
            !colt_id_equal (&sim->attempts[i].ref.request, &request->id)
            || sim->attempts[i].state == ATTEMPT_NOT_RUN);
    }
  if (request->outcome == COLT_OUTCOME_DONE)
    g_assert_true (ever_ran_ (sim, &request->id));
}

static bool
consume_retry_ (void *client, const char *team, int64_t now_us)
{
  struct ColtRequestSim *sim = client;

  g_assert_true (strcmp (team, "team") == 0 && now_us == sim->now_us);
  return sim->retries > 0 && sim->retries-- > 0;
}

static uint32_t
draw_number_ (void *client)
{
  return (uint32_t)((struct ColtRequestSim *)client)->attempt_count * 7919u;
}

static const struct ColtRequestCalls calls
    = { on_ready_, on_unready_,    on_stop_,
        on_ended_, consume_retry_, draw_number_ };

static struct ColtTaskReport
make_report_ (const struct ColtModelAttempt *attempt)
{
  struct ColtTaskReport report = { .ref = attempt->ref,
                                   .shard_epoch = attempt->shard_epoch,
                                   .team = "team" };

  report.state
      = attempt->state == ATTEMPT_ENDED ? attempt->end : COLT_TASK_RUNNING;
  if (attempt->state == ATTEMPT_ENDED)
    {
      report.result = (const uint8_t *)"result";
      report.result_size = 6;
    }
  return report;
}

static void
submit_request_ (struct ColtRequestSim *sim, uint8_t which)
{
  struct ColtModelRequest *model = &sim->ids[which % IDS];
  const struct ColtRequest *existing
      = colt_requests_find (sim->requests, &model->id);
  enum ColtSubmitStatus status;
  enum ColtReason reason;

  if (existing == NULL || existing->recovered)
    model->end_count = 0;
  status = colt_requests_submit (sim->requests, &model->id, &model->spec,
                                 !model->used, 1, wall_s_ (sim), sim->now_us,
                                 &reason);
  model->used = true;
  g_assert_true (status != COLT_SUBMIT_NOT_RUN || !ever_ran_ (sim, &model->id));
}

static void
send_attempt_ (struct ColtRequestSim *sim, uint8_t which, uint8_t where)
{
  struct ColtModelRequest *model = &sim->ids[which % IDS];
  struct ColtModelAttempt *attempt = &sim->attempts[sim->attempt_count];
  uint32_t index = which / IDS % TASKS_MAX;
  uint32_t server = where % SERVERS + 1;
  size_t i;

  if (sim->attempt_count == ATTEMPTS_MAX || !sim->ready[which % IDS][index])
    return;
  g_assert_true (
      colt_requests_begin_attempt (sim->requests, &model->id, index, server,
                                   sim->server_epochs[server], &attempt->ref));
  sim->ready[which % IDS][index] = false;
  for (i = 0; i < sim->attempt_count; i++)
    {
      const struct ColtModelAttempt *earlier = &sim->attempts[i];

      if (!colt_id_equal (&earlier->ref.request, &model->id)
          || earlier->ref.index != index)
        continue;
      g_assert_true (earlier->state != ATTEMPT_RUNNING
                     && earlier->state != ATTEMPT_SENT);
      g_assert_true (model->spec.idempotent || !earlier->ran);
    }
  attempt->server = server;
  attempt->shard_epoch = sim->shard_epoch;
  attempt->state = ATTEMPT_SENT;
  attempt->ran = false;
  sim->attempt_count++;
}

/* Reports the state of an attempt to the table, possibly late or repeatedly. */
static void
report_attempt_ (struct ColtRequestSim *sim,
                 const struct ColtModelAttempt *attempt)
{
  struct ColtTaskReport report = make_report_ (attempt);

  if (attempt->state == ATTEMPT_NOT_RUN)
    colt_requests_handle_refusal (sim->requests, &attempt->ref,
                                  attempt->shard_epoch, sim->now_us);
  else if (attempt->state == ATTEMPT_RUNNING)
    colt_requests_handle_start (sim->requests, &attempt->ref,
                                attempt->shard_epoch, sim->now_us);
  else if (attempt->state == ATTEMPT_ENDED)
    colt_requests_handle_end (sim->requests, &report, sim->now_us);
}

static void
advance_attempt_ (struct ColtRequestSim *sim, uint8_t which, uint8_t how)
{
  struct ColtModelAttempt *attempt;

  if (sim->attempt_count == 0)
    return;
  attempt = &sim->attempts[sim->attempt_count - 1
                           - which % MIN (sim->attempt_count, 8)];
  if (attempt->state == ATTEMPT_SENT && (how & 1) != 0)
    attempt->state = ATTEMPT_NOT_RUN;
  else if (attempt->state == ATTEMPT_SENT)
    {
      attempt->state = ATTEMPT_RUNNING;
      attempt->ran = true;
    }
  else if (attempt->state == ATTEMPT_RUNNING)
    {
      attempt->state = ATTEMPT_ENDED;
      attempt->end = COLT_TASK_FINISHED + (how >> 1) % 4;
    }
  if ((how & 0x80) != 0)
    report_attempt_ (sim, attempt);
}

/* Fences a server (0: all): attempts that it has not received are refused. */
static void
fence_server_ (struct ColtRequestSim *sim, uint32_t server)
{
  size_t i;

  for (i = 0; i < sim->attempt_count; i++)
    if (sim->attempts[i].state == ATTEMPT_SENT
        && (server == 0 || sim->attempts[i].server == server))
      sim->attempts[i].state = ATTEMPT_NOT_RUN;
}

/* Lists the records of a shard at a server (0: at all servers), except those at
 * the excluded server. */
static size_t
list_reports_ (const struct ColtRequestSim *sim,
               uint32_t shard,
               uint32_t server,
               uint32_t excluded,
               struct ColtTaskReport *reports,
               uint32_t *servers,
               uint64_t *epochs)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < sim->attempt_count; i++)
    {
      const struct ColtModelAttempt *attempt = &sim->attempts[i];

      if ((server != 0 && attempt->server != server)
          || attempt->server == excluded
          || colt_id_shard (&attempt->ref.request) != shard
          || (attempt->state != ATTEMPT_RUNNING
              && attempt->state != ATTEMPT_ENDED))
        continue;
      reports[count] = make_report_ (attempt);
      servers[count] = attempt->server;
      epochs[count] = sim->server_epochs[attempt->server];
      count++;
    }
  return count;
}

static void
report_server_ (struct ColtRequestSim *sim, uint32_t server)
{
  static struct ColtTaskReport reports[ATTEMPTS_MAX];
  static uint32_t servers[ATTEMPTS_MAX];
  static uint64_t epochs[ATTEMPTS_MAX];
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_requests_handle_inventory (
        sim->requests, shard, server, sim->server_epochs[server], reports,
        list_reports_ (sim, shard, server, 0, reports, servers, epochs),
        sim->now_us);
}

static void
change_owner_ (struct ColtRequestSim *sim, uint8_t which)
{
  uint32_t server = which % SERVERS + 1;

  sim->server_epochs[server]++;
  fence_server_ (sim, server);
  report_server_ (sim, server);
}

static void
lose_server_ (struct ColtRequestSim *sim, uint8_t which)
{
  uint32_t server = which % SERVERS + 1;
  uint32_t shard;
  size_t i;

  for (i = 0; i < sim->attempt_count; i++)
    {
      struct ColtModelAttempt *attempt = &sim->attempts[i];

      if (attempt->server != server)
        continue;
      if (attempt->state == ATTEMPT_SENT && (which & 0x80) != 0)
        attempt->ran = true;
      if (attempt->state != ATTEMPT_NOT_RUN)
        attempt->state = attempt->ran ? ATTEMPT_LOST : ATTEMPT_NOT_RUN;
    }
  sim->server_epochs[server]++;
  sim->records_since_s[server] = wall_s_ (sim);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_requests_handle_server_loss (sim->requests, shard, server,
                                      sim->now_us);
}

/* Changes the leader of each shard. One server may be missing from the
 * reconciliation and join before the first request is submitted. */
static void
change_leaders_ (struct ColtRequestSim *sim, uint8_t how)
{
  static struct ColtTaskReport reports[ATTEMPTS_MAX];
  static uint32_t servers[ATTEMPTS_MAX];
  static uint64_t epochs[ATTEMPTS_MAX];
  uint32_t missing = how % (SERVERS + 1);
  uint32_t since_s = 0;
  uint32_t server;
  uint32_t shard;
  int i;

  fence_server_ (sim, 0);
  sim->shard_epoch++;
  for (i = 0; i < IDS; i++)
    sim->ids[i].end_count = 0;
  for (server = 1; server <= SERVERS; server++)
    since_s = MAX (since_s, sim->records_since_s[server]);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      size_t count
          = list_reports_ (sim, shard, 0, missing, reports, servers, epochs);

      colt_requests_open_shard (sim->requests, shard, sim->shard_epoch, reports,
                                servers, epochs, count, sim->now_us);
    }
  if (missing != 0)
    report_server_ (sim, missing);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_requests_set_known_since (sim->requests, shard, since_s);
}

static void
run_step_ (struct ColtRequestSim *sim, struct ColtInput *input)
{
  uint8_t which = 0;
  uint8_t op = draw_byte_ (input);

  if (op % 12 != 11)
    which = draw_byte_ (input);
  switch (op % 12)
    {
    case 0:
    case 1:
      submit_request_ (sim, which);
      break;
    case 2:
    case 3:
      send_attempt_ (sim, which, draw_byte_ (input));
      break;
    case 4:
    case 5:
    case 6:
      advance_attempt_ (sim, which, draw_byte_ (input));
      break;
    case 7:
      if (sim->attempt_count > 0)
        report_attempt_ (sim, &sim->attempts[which % sim->attempt_count]);
      break;
    case 8:
      if ((which & 0x40) != 0)
        colt_requests_cancel (sim->requests, &sim->ids[which % IDS].id,
                              sim->now_us);
      else
        colt_requests_refuse_waiting (sim->requests, &sim->ids[which % IDS].id,
                                      COLT_REASON_OVERLOADED, sim->now_us);
      break;
    case 9:
      if ((which & 0x40) != 0)
        lose_server_ (sim, which);
      else
        change_owner_ (sim, which);
      break;
    case 10:
      sim->now_us += which * (which < 250 ? 10 : 1000) * COLT_US_PER_MS;
      colt_requests_run_timers (sim->requests, sim->now_us);
      break;
    default:
      change_leaders_ (sim, draw_byte_ (input));
    }
}

/* Ends all attempts. Each request must end once, and all counts must return to
 * zero. */
static void
finish_ (struct ColtRequestSim *sim)
{
  struct ColtRequestStats stats;
  size_t round;
  size_t i;

  for (i = 0; i < IDS; i++)
    if (colt_requests_find (sim->requests, &sim->ids[i].id) != NULL)
      submit_request_ (sim, (uint8_t)i);
  for (round = 0; round < 16; round++)
    {
      for (i = 0; i < IDS; i++)
        colt_requests_cancel (sim->requests, &sim->ids[i].id, sim->now_us);
      for (i = 0; i < sim->attempt_count; i++)
        {
          struct ColtModelAttempt *attempt = &sim->attempts[i];

          if (attempt->state == ATTEMPT_SENT)
            attempt->state = ATTEMPT_NOT_RUN;
          if (attempt->state == ATTEMPT_RUNNING)
            {
              attempt->state = ATTEMPT_ENDED;
              attempt->end = COLT_TASK_STOPPED;
            }
          report_attempt_ (sim, attempt);
        }
    }
  colt_requests_get_stats (sim->requests, &stats);
  g_assert_true (stats.open == 0 && stats.recovered == 0 && stats.waiting == 0
                 && stats.sent == 0 && stats.running == 0
                 && stats.payload_bytes == 0);
  sim->now_us += 2 * COLT_REQUEST_RETENTION_S * COLT_US_PER_S;
  colt_requests_run_timers (sim->requests, sim->now_us);
  colt_requests_get_stats (sim->requests, &stats);
  g_assert_true (stats.kept == 0 && stats.result_bytes == 0);
}

static void
set_up_ (struct ColtRequestSim *sim)
{
  uint32_t i;

  sim->requests = colt_requests_create (&calls, sim);
  sim->retries = FULL_RETRIES;
  for (i = 0; i < IDS; i++)
    {
      const uint8_t random[10] = { (uint8_t)i, 3, 5 };
      struct ColtRequestSpec *spec = &sim->ids[i].spec;

      sim->ids[i].id = colt_id_mint (1, WALL_S, random);
      strcpy (spec->team, "team");
      spec->tasks = i % TASKS_MAX + 1;
      spec->idempotent = i >= IDS / 2;
      spec->max_attempts = spec->idempotent ? 3 : 1;
      spec->deadline_us = i % 4 == 3 ? COLT_US_PER_S : COLT_TIME_NEVER;
      spec->payload = (const uint8_t *)"payload";
      spec->payload_size = 7;
    }
  for (i = 1; i <= SERVERS; i++)
    sim->server_epochs[i] = 1;
  change_leaders_ (sim, 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ColtRequestSim *sim = g_new0 (struct ColtRequestSim, 1);
  struct ColtInput input = { data, size };

  set_up_ (sim);
  while (input.size > 0)
    run_step_ (sim, &input);
  finish_ (sim);
  colt_requests_destroy (sim->requests);
  g_free (sim);
  return 0;
}
