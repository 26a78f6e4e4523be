/* Requests at their home against a plain model of what really ran: attempts
 * are refused, start, end and are lost, news of them come late, twice or
 * never, servers change owners or vanish, and leads change. */
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
  ATTEMPT_SENT,    /* on its way */
  ATTEMPT_NEVER,   /* never ran and never will */
  ATTEMPT_RUNNING, /* on its server */
  ATTEMPT_ENDED,   /* its server knows the end */
  ATTEMPT_LOST     /* it ran, and nobody knows its end */
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
  bool used;     /* its id was submitted */
  unsigned ends; /* told by the lead that is in force */
};

struct ColtWorld
{
  struct ColtRequests *requests;
  struct ColtModelRequest ids[IDS];
  struct ColtModelAttempt attempts[ATTEMPTS_MAX];
  size_t attempt_count;
  uint64_t server_epochs[SERVERS + 1];
  uint32_t memories_s[SERVERS + 1]; /* servers remember all since */
  uint64_t shard_epoch;
  bool ready[IDS][TASKS_MAX];
  unsigned retries;
  int64_t now_us;
};

struct ColtInput
{
  const uint8_t *data;
  size_t size;
};

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static uint8_t
take_ (struct ColtInput *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->data++;
}

static uint32_t
wall_s_ (const struct ColtWorld *world)
{
  return WALL_S + (uint32_t)(world->now_us / COLT_US_PER_S);
}

static struct ColtModelRequest *
find_ (struct ColtWorld *world, const struct ColtId *id)
{
  int i;

  for (i = 0; i < IDS; i++)
    if (colt_id_equal (&world->ids[i].id, id))
      return &world->ids[i];
  abort ();
}

static bool
ever_ran_ (const struct ColtWorld *world, const struct ColtId *id)
{
  size_t i;

  for (i = 0; i < world->attempt_count; i++)
    if (colt_id_equal (&world->attempts[i].ref.request, id)
        && world->attempts[i].ran)
      return true;
  return false;
}

static void
on_ready_ (void *client, const struct ColtRequest *request, uint32_t index)
{
  struct ColtWorld *world = client;
  size_t at = find_ (world, &request->id) - world->ids;

  g_assert_true (index < request->spec.tasks && !world->ready[at][index]);
  world->ready[at][index] = true;
}

static void
on_unready_ (void *client, const struct ColtRequest *request, uint32_t index)
{
  struct ColtWorld *world = client;

  world->ready[find_ (world, &request->id) - world->ids][index] = false;
}

static void
on_stop_ (void *client, const struct ColtRequest *request, uint32_t index)
{
  (void)client;
  g_assert_true (request->tasks[index].attempt > 0);
}

/* What a caller is told must be so. */
static void
on_ended_ (void *client, const struct ColtRequest *request)
{
  struct ColtWorld *world = client;
  struct ColtModelRequest *model = find_ (world, &request->id);
  size_t i;

  g_assert_true (model->ends++ == 0);
  g_assert_true (request->outcome != COLT_OUTCOME_PENDING);
  if (request->outcome == COLT_OUTCOME_NOT_RUN)
    {
      g_assert_true (!ever_ran_ (world, &request->id));
      for (i = 0; i < world->attempt_count; i++)
        g_assert_true (
            !colt_id_equal (&world->attempts[i].ref.request, &request->id)
            || world->attempts[i].state == ATTEMPT_NEVER);
    }
  if (request->outcome == COLT_OUTCOME_DONE)
    g_assert_true (ever_ran_ (world, &request->id));
}

static bool
take_retry_ (void *client, const char *team, int64_t now_us)
{
  struct ColtWorld *world = client;

  g_assert_true (strcmp (team, "team") == 0 && now_us == world->now_us);
  return world->retries > 0 && world->retries-- > 0;
}

static uint32_t
random_ (void *client)
{
  return (uint32_t)((struct ColtWorld *)client)->attempt_count * 7919u;
}

static const struct ColtRequestCalls calls
    = { on_ready_, on_unready_, on_stop_, on_ended_, take_retry_, random_ };

static struct ColtTaskReport
report_ (const struct ColtModelAttempt *attempt)
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
submit_ (struct ColtWorld *world, uint8_t which)
{
  struct ColtModelRequest *model = &world->ids[which % IDS];
  const struct ColtRequest *known
      = colt_requests_find (world->requests, &model->id);
  enum ColtSubmitStatus status;
  enum ColtReason reason;

  if (known == NULL || known->recovered)
    model->ends = 0;
  status = colt_requests_submit (world->requests, &model->id, &model->spec,
                                 !model->used, 1, wall_s_ (world),
                                 world->now_us, &reason);
  model->used = true;
  g_assert_true (status != COLT_SUBMIT_NOT_RUN
                 || !ever_ran_ (world, &model->id));
}

static void
send_ (struct ColtWorld *world, uint8_t which, uint8_t where)
{
  struct ColtModelRequest *model = &world->ids[which % IDS];
  struct ColtModelAttempt *attempt = &world->attempts[world->attempt_count];
  uint32_t index = which / IDS % TASKS_MAX;
  uint32_t server = where % SERVERS + 1;
  size_t i;

  if (world->attempt_count == ATTEMPTS_MAX || !world->ready[which % IDS][index])
    return;
  g_assert_true (colt_requests_begin_attempt (
      world->requests, &model->id, index, server, world->server_epochs[server],
      &attempt->ref));
  world->ready[which % IDS][index] = false;
  for (i = 0; i < world->attempt_count; i++)
    {
      const struct ColtModelAttempt *earlier = &world->attempts[i];

      if (!colt_id_equal (&earlier->ref.request, &model->id)
          || earlier->ref.index != index)
        continue;
      g_assert_true (earlier->state != ATTEMPT_RUNNING
                     && earlier->state != ATTEMPT_SENT);
      g_assert_true (model->spec.idempotent || !earlier->ran);
    }
  attempt->server = server;
  attempt->shard_epoch = world->shard_epoch;
  attempt->state = ATTEMPT_SENT;
  attempt->ran = false;
  world->attempt_count++;
}

/* Tells the table how an attempt stands, be it late or once more. */
static void
tell_ (struct ColtWorld *world, const struct ColtModelAttempt *attempt)
{
  struct ColtTaskReport report = report_ (attempt);

  if (attempt->state == ATTEMPT_NEVER)
    colt_requests_handle_refusal (world->requests, &attempt->ref,
                                  attempt->shard_epoch, world->now_us);
  else if (attempt->state == ATTEMPT_RUNNING)
    colt_requests_handle_start (world->requests, &attempt->ref,
                                attempt->shard_epoch, world->now_us);
  else if (attempt->state == ATTEMPT_ENDED)
    colt_requests_handle_end (world->requests, &report, world->now_us);
}

static void
move_on_ (struct ColtWorld *world, uint8_t which, uint8_t how)
{
  struct ColtModelAttempt *attempt;

  if (world->attempt_count == 0)
    return;
  attempt = &world->attempts[world->attempt_count - 1
                             - which % MIN (world->attempt_count, 8)];
  if (attempt->state == ATTEMPT_SENT && (how & 1) != 0)
    attempt->state = ATTEMPT_NEVER;
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
    tell_ (world, attempt);
}

/* What is on its way to a server is refused there from now on. */
static void
fence_ (struct ColtWorld *world, uint32_t server)
{
  size_t i;

  for (i = 0; i < world->attempt_count; i++)
    if (world->attempts[i].state == ATTEMPT_SENT
        && (server == 0 || world->attempts[i].server == server))
      world->attempts[i].state = ATTEMPT_NEVER;
}

/* Lists what a server (0: all but one) knows, for a shard. */
static size_t
list_ (const struct ColtWorld *world,
       uint32_t shard,
       uint32_t server,
       uint32_t without,
       struct ColtTaskReport *reports,
       uint32_t *servers,
       uint64_t *epochs)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < world->attempt_count; i++)
    {
      const struct ColtModelAttempt *attempt = &world->attempts[i];

      if ((server != 0 && attempt->server != server)
          || attempt->server == without
          || colt_id_shard (&attempt->ref.request) != shard
          || (attempt->state != ATTEMPT_RUNNING
              && attempt->state != ATTEMPT_ENDED))
        continue;
      reports[count] = report_ (attempt);
      servers[count] = attempt->server;
      epochs[count] = world->server_epochs[attempt->server];
      count++;
    }
  return count;
}

static void
report_server_ (struct ColtWorld *world, uint32_t server)
{
  static struct ColtTaskReport reports[ATTEMPTS_MAX];
  static uint32_t servers[ATTEMPTS_MAX];
  static uint64_t epochs[ATTEMPTS_MAX];
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_requests_handle_inventory (
        world->requests, shard, server, world->server_epochs[server], reports,
        list_ (world, shard, server, 0, reports, servers, epochs),
        world->now_us);
}

static void
change_owner_ (struct ColtWorld *world, uint8_t which)
{
  uint32_t server = which % SERVERS + 1;

  world->server_epochs[server]++;
  fence_ (world, server);
  report_server_ (world, server);
}

static void
lose_server_ (struct ColtWorld *world, uint8_t which)
{
  uint32_t server = which % SERVERS + 1;
  uint32_t shard;
  size_t i;

  for (i = 0; i < world->attempt_count; i++)
    {
      struct ColtModelAttempt *attempt = &world->attempts[i];

      if (attempt->server != server)
        continue;
      if (attempt->state == ATTEMPT_SENT && (which & 0x80) != 0)
        attempt->ran = true;
      if (attempt->state != ATTEMPT_NEVER)
        attempt->state = attempt->ran ? ATTEMPT_LOST : ATTEMPT_NEVER;
    }
  world->server_epochs[server]++;
  world->memories_s[server] = wall_s_ (world);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_requests_handle_server_loss (world->requests, shard, server,
                                      world->now_us);
}

/* One server may be lacking from the recount and join before anybody asks. */
static void
change_leads_ (struct ColtWorld *world, uint8_t how)
{
  static struct ColtTaskReport reports[ATTEMPTS_MAX];
  static uint32_t servers[ATTEMPTS_MAX];
  static uint64_t epochs[ATTEMPTS_MAX];
  uint32_t lacking = how % (SERVERS + 1);
  uint32_t since_s = 0;
  uint32_t server;
  uint32_t shard;
  int i;

  fence_ (world, 0);
  world->shard_epoch++;
  for (i = 0; i < IDS; i++)
    world->ids[i].ends = 0;
  for (server = 1; server <= SERVERS; server++)
    since_s = MAX (since_s, world->memories_s[server]);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      size_t count = list_ (world, shard, 0, lacking, reports, servers, epochs);

      colt_requests_open_shard (world->requests, shard, world->shard_epoch,
                                reports, servers, epochs, count, world->now_us);
    }
  if (lacking != 0)
    report_server_ (world, lacking);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_requests_set_known_since (world->requests, shard, since_s);
}

static void
run_ (struct ColtWorld *world, struct ColtInput *input)
{
  uint8_t which = 0;
  uint8_t op = take_ (input);

  if (op % 12 != 11)
    which = take_ (input);
  switch (op % 12)
    {
    case 0:
    case 1:
      submit_ (world, which);
      break;
    case 2:
    case 3:
      send_ (world, which, take_ (input));
      break;
    case 4:
    case 5:
    case 6:
      move_on_ (world, which, take_ (input));
      break;
    case 7:
      if (world->attempt_count > 0)
        tell_ (world, &world->attempts[which % world->attempt_count]);
      break;
    case 8:
      if ((which & 0x40) != 0)
        colt_requests_cancel (world->requests, &world->ids[which % IDS].id,
                              world->now_us);
      else
        colt_requests_refuse_waiting (world->requests,
                                      &world->ids[which % IDS].id,
                                      COLT_REASON_OVERLOADED, world->now_us);
      break;
    case 9:
      if ((which & 0x40) != 0)
        lose_server_ (world, which);
      else
        change_owner_ (world, which);
      break;
    case 10:
      world->now_us += which * (which < 250 ? 10 : 1000) * COLT_US_PER_MS;
      colt_requests_step (world->requests, world->now_us);
      break;
    default:
      change_leads_ (world, take_ (input));
    }
}

/* Ends whatever still runs: each request must end once, and all be counted. */
static void
finish_ (struct ColtWorld *world)
{
  struct ColtRequestStats stats;
  size_t round;
  size_t i;

  for (i = 0; i < IDS; i++)
    if (colt_requests_find (world->requests, &world->ids[i].id) != NULL)
      submit_ (world, (uint8_t)i);
  for (round = 0; round < 16; round++)
    {
      for (i = 0; i < IDS; i++)
        colt_requests_cancel (world->requests, &world->ids[i].id,
                              world->now_us);
      for (i = 0; i < world->attempt_count; i++)
        {
          struct ColtModelAttempt *attempt = &world->attempts[i];

          if (attempt->state == ATTEMPT_SENT)
            attempt->state = ATTEMPT_NEVER;
          if (attempt->state == ATTEMPT_RUNNING)
            {
              attempt->state = ATTEMPT_ENDED;
              attempt->end = COLT_TASK_STOPPED;
            }
          tell_ (world, attempt);
        }
    }
  colt_requests_get_stats (world->requests, &stats);
  g_assert_true (stats.open == 0 && stats.recovered == 0 && stats.waiting == 0
                 && stats.sent == 0 && stats.running == 0
                 && stats.payload_bytes == 0);
  world->now_us += 2 * COLT_REQUEST_RETENTION_S * COLT_US_PER_S;
  colt_requests_step (world->requests, world->now_us);
  colt_requests_get_stats (world->requests, &stats);
  g_assert_true (stats.kept == 0 && stats.result_bytes == 0);
}

static void
create_ (struct ColtWorld *world)
{
  uint32_t i;

  world->requests = colt_requests_create (&calls, world);
  world->retries = FULL_RETRIES;
  for (i = 0; i < IDS; i++)
    {
      const uint8_t random[10] = { (uint8_t)i, 3, 5 };
      struct ColtRequestSpec *spec = &world->ids[i].spec;

      world->ids[i].id = colt_id_mint (1, WALL_S, random);
      strcpy (spec->team, "team");
      spec->tasks = i % TASKS_MAX + 1;
      spec->idempotent = i >= IDS / 2;
      spec->max_attempts = spec->idempotent ? 3 : 1;
      spec->deadline_us = i % 4 == 3 ? COLT_US_PER_S : COLT_TIME_NEVER;
      spec->payload = (const uint8_t *)"payload";
      spec->payload_size = 7;
    }
  for (i = 1; i <= SERVERS; i++)
    world->server_epochs[i] = 1;
  change_leads_ (world, 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ColtWorld *world = g_new0 (struct ColtWorld, 1);
  struct ColtInput input = { data, size };

  create_ (world);
  while (input.size > 0)
    run_ (world, &input);
  finish_ (world);
  colt_requests_destroy (world->requests);
  g_free (world);
  return 0;
}
