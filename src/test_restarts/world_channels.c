#include <string.h>

#include "virtual_time.h"
#include "world_private.h"

/* Time that a packet takes. */
#define LATENCY_LEAST_MS 0.3
#define LATENCY_MOST_MS 3.0
/* Time by which a late answer is delivered later than others. */
#define LATE_ANSWER_MS 200
/* Time after which a late call is executed. */
#define LATE_CALL_LEAST_MS 100
#define LATE_CALL_MOST_MS 3000

/* A connection to a server; its calls are sent one after another. */
struct ColtServerChannel
{
  struct ColtWorld *world;
  struct ColtWorldServer *server;
  const char *id;
  const struct ColtWorldLife *life; /* connected to it; NULL: not connected */
  uint64_t connections;             /* so far */
  struct ColtWorldCall *open;
  GQueue waiting; /* of struct ColtWorldCall */
  bool closed;
};

/* A late call, and the only life that may execute it; NULL: any. */
struct ColtWorldLateCall
{
  struct ColtWorldCall *call;
  const struct ColtWorldLife *life;
};

static void send_next (struct ColtServerChannel *channel);

static int64_t
draw_latency_us (struct ColtWorld *world)
{
  return colt_world_draw_us (world, LATENCY_LEAST_MS, LATENCY_MOST_MS);
}

static const char *
describe (const struct ColtWorldCall *call, char *text, size_t size)
{
  if (call->kind == CALL_RENEW)
    g_snprintf (text, size, "renewal %u until %lld wait %u acked %llu",
                call->number, (long long)call->until_ms, call->wait_ms,
                (unsigned long long)call->acked_through);
  else
    g_snprintf (text, size, "%s %u of %s run %u until %lld",
                call->kind == CALL_START ? "start" : "stop", call->number,
                call->task, call->run, (long long)call->until_ms);
  return text;
}

static void
finish_call (struct ColtWorldCall *call, enum ColtStartResult result)
{
  struct ColtServerChannel *channel = call->channel;
  char text[160];

  if (call->finished)
    return;
  call->finished = true;
  channel->open = NULL;
  call->answer.result = result;
  call->answer.received_us = colt_virtual_time_us ();
  colt_world_note (channel->server, "leader: %s ends, %s, clock %lld",
                   describe (call, text, sizeof text),
                   colt_start_result_string[result],
                   (long long)call->answer.clock_ms);
  call->done (call->client, &call->answer);
  if (!channel->closed)
    send_next (channel);
}

/* Ends a call that got no answer. */
static void
fail_call (struct ColtWorldCall *call, enum ColtStartResult result)
{
  if (call->finished)
    return;
  call->channel->life = NULL;
  call->answer.connection = 0;
  call->answer.has_clock = false;
  call->answer.clock_ms = 0;
  call->answer.incarnation_ms = 0;
  memset (&call->answer.report, 0, sizeof call->answer.report);
  finish_call (call, result);
}

static void
handle_timeout (struct ColtWorld *world, void *arg)
{
  struct ColtWorldCall *call = arg;

  (void)world;
  fail_call (call, call->timeout_result);
}

static void
handle_reset (struct ColtWorld *world, void *arg)
{
  (void)world;
  fail_call (arg, COLT_START_UNKNOWN);
}

static void
handle_refused (struct ColtWorld *world, void *arg)
{
  (void)world;
  fail_call (arg, COLT_START_NOT_SENT);
}

static void
handle_answer (struct ColtWorld *world, void *arg)
{
  struct ColtWorldCall *call = arg;

  (void)world;
  if (!call->finished)
    finish_call (call, call->answer.result);
}

static void
handle_arrival (struct ColtWorld *world, void *arg)
{
  struct ColtWorldCall *call = arg;
  struct ColtWorldServer *server = call->channel->server;

  if (server->life != NULL
      && (call->connection == 0 || server->life == call->life))
    colt_world_execute (server, call);
  else if (server->life != NULL || !server->silent)
    handle_reset (world, call);
}

static void
handle_late_arrival (struct ColtWorld *world, void *arg)
{
  struct ColtWorldLateCall *late = arg;
  struct ColtWorldServer *server = late->call->channel->server;

  (void)world;
  if (server->life == NULL
      || (late->life != NULL && server->life != late->life))
    return;
  colt_world_note (server, "a late call arrives");
  colt_world_execute (server, late->call);
}

/* Returns whether a call can be sent, after it has been connected to the server
 * if need be. */
static bool
connect_channel (struct ColtServerChannel *channel, struct ColtWorldCall *call)
{
  struct ColtWorld *world = channel->world;
  const struct ColtWorldServer *server = channel->server;
  int64_t now_us = colt_virtual_time_us ();
  bool cut = now_us < server->requests_cut_us;

  if (channel->life != NULL && channel->life != server->life
      && server->life != NULL && !cut)
    {
      channel->life = NULL;
      if (colt_world_draw (world, 0.5))
        {
          colt_world_at (world, now_us + draw_latency_us (world), handle_reset,
                         call);
          return false;
        }
    }
  if (channel->life != NULL
      && (call->connection == 0 || call->connection == channel->connections))
    return true;
  if (call->connection != 0)
    {
      colt_world_at (world, now_us, handle_refused, call);
      return false;
    }
  if (cut || now_us < server->answers_cut_us
      || (server->life == NULL && server->silent))
    {
      if (colt_world_draw (world, 0.5))
        call->timeout_result = COLT_START_NOT_SENT;
      return false;
    }
  if (server->life == NULL)
    {
      colt_world_at (world, now_us + draw_latency_us (world), handle_refused,
                     call);
      return false;
    }
  channel->life = server->life;
  channel->connections++;
  return true;
}

static void
delay_call (struct ColtServerChannel *channel, struct ColtWorldCall *call)
{
  struct ColtWorld *world = channel->world;
  struct ColtWorldLateCall *late = colt_world_alloc (world, sizeof *late);

  late->call = call;
  if (!colt_world_draw (world, world->plan->late_calls_reborn))
    late->life = channel->life;
  colt_world_at (
      world,
      colt_virtual_time_us ()
          + colt_world_draw_us (world, LATE_CALL_LEAST_MS, LATE_CALL_MOST_MS),
      handle_late_arrival, late);
}

static void
send_next (struct ColtServerChannel *channel)
{
  struct ColtWorld *world = channel->world;
  int64_t now_us = colt_virtual_time_us ();
  struct ColtWorldCall *call;

  if (channel->open != NULL)
    return;
  call = g_queue_pop_head (&channel->waiting);
  if (call == NULL)
    return;
  channel->open = call;
  call->answer.sent_us = now_us;
  call->timeout_result = COLT_START_UNKNOWN;
  colt_world_at (world, now_us + call->timeout_ms * COLT_US_PER_MS,
                 handle_timeout, call);
  if (!connect_channel (channel, call))
    return;
  call->life = channel->life;
  call->answer.connection = channel->connections;
  if (now_us < channel->server->requests_cut_us)
    return;
  if (world->faults && colt_world_draw (world, world->plan->late_calls))
    delay_call (channel, call);
  else
    colt_world_at (world, now_us + draw_latency_us (world), handle_arrival,
                   call);
}

static struct ColtWorldCall *
add_call (struct ColtServerChannel *channel,
          ColtServerCallDone done,
          void *client)
{
  struct ColtWorld *world = channel->world;
  struct ColtWorldCall *call = colt_world_alloc (world, sizeof *call);

  call->channel = channel;
  call->done = done;
  call->client = client;
  call->number = world->calls->len;
  g_ptr_array_add (world->calls, call);
  return call;
}

static void
queue_call (struct ColtWorldCall *call)
{
  char text[160];

  colt_world_note (call->channel->server, "leader: %s",
                   describe (call, text, sizeof text));
  g_queue_push_tail (&call->channel->waiting, call);
  send_next (call->channel);
}

static struct ColtServerChannel *
server_open (void *adapter, const char *address, const char *id)
{
  struct ColtWorld *world = adapter;
  struct ColtServerChannel *channel = colt_world_alloc (world, sizeof *channel);
  guint i;

  channel->world = world;
  channel->id = g_string_chunk_insert_const (world->strings, id);
  g_queue_init (&channel->waiting);
  for (i = 0; i < world->servers->len; i++)
    {
      struct ColtWorldServer *server = g_ptr_array_index (world->servers, i);

      if (strcmp (server->address, address) == 0)
        channel->server = server;
    }
  g_assert_nonnull (channel->server);
  g_ptr_array_add (world->channels, channel);
  return channel;
}

static void
server_close (struct ColtServerChannel *channel)
{
  struct ColtWorldCall *call;

  channel->closed = true;
  if (channel->open != NULL)
    fail_call (channel->open, COLT_START_UNKNOWN);
  while ((call = g_queue_pop_head (&channel->waiting)) != NULL)
    fail_call (call, COLT_START_NOT_SENT);
}

static void
server_start (struct ColtServerChannel *channel,
              const struct ColtServerStart *start,
              ColtServerCallDone done,
              void *client)
{
  struct ColtWorldCall *call = add_call (channel, done, client);

  call->kind = CALL_START;
  call->task = g_string_chunk_insert_const (channel->world->strings,
                                            start->order->task);
  call->run = start->order->run;
  call->connection = start->connection;
  call->token = start->token;
  call->until_ms = start->until_ms;
  call->timeout_ms = start->timeout_ms;
  queue_call (call);
}

static void
server_stop (struct ColtServerChannel *channel,
             const char *task,
             uint32_t run,
             uint64_t token,
             uint32_t timeout_ms,
             ColtServerCallDone done,
             void *client)
{
  struct ColtWorldCall *call = add_call (channel, done, client);

  call->kind = CALL_STOP;
  call->task = g_string_chunk_insert_const (channel->world->strings, task);
  call->run = run;
  call->token = token;
  call->timeout_ms = timeout_ms;
  queue_call (call);
}

static void
server_renew (struct ColtServerChannel *channel,
              const struct ColtServerRenewal *renewal,
              ColtServerCallDone done,
              void *client)
{
  struct ColtWorldCall *call = add_call (channel, done, client);

  call->kind = CALL_RENEW;
  call->connection = renewal->connection;
  call->token = renewal->token;
  call->until_ms = renewal->until_ms;
  call->acked_through = renewal->acked_through;
  call->wait_ms = renewal->wait_ms;
  call->timeout_ms = renewal->timeout_ms;
  queue_call (call);
}

const char *
colt_world_call_id (const struct ColtWorldCall *call)
{
  return call->channel->id;
}

void
colt_world_answer (struct ColtWorldServer *server,
                   struct ColtWorldCall *call,
                   enum ColtStartResult result)
{
  struct ColtWorld *world = server->world;
  struct ColtWorldLife *life = server->life;
  int64_t now_us = colt_virtual_time_us ();
  int64_t delay_us = draw_latency_us (world);

  if (call->finished || call->answering || now_us < server->answers_cut_us
      || (world->faults && colt_world_draw (world, world->plan->lost_answers)))
    return;
  if (world->faults && colt_world_draw (world, world->plan->late_answers))
    delay_us += colt_world_draw_us (world, 0, LATE_ANSWER_MS);
  call->answering = true;
  call->answer.result = result;
  if (result != COLT_START_GONE)
    {
      call->answer.has_clock = true;
      call->answer.clock_ms = colt_world_clock_ms (life);
    }
  if (call->kind == CALL_RENEW && result == COLT_START_TAKEN)
    {
      call->answer.incarnation_ms = life->incarnation_ms;
      colt_world_report (life, call);
    }
  colt_world_at (world, now_us + delay_us, handle_answer, call);
}

void
colt_world_reset_channels (struct ColtWorldServer *server)
{
  struct ColtWorld *world = server->world;
  guint i;

  for (i = 0; i < world->channels->len; i++)
    {
      struct ColtServerChannel *channel
          = g_ptr_array_index (world->channels, i);

      if (channel->server != server || channel->life == NULL)
        continue;
      channel->life = NULL;
      if (channel->open != NULL
          && (!channel->open->answering || colt_world_draw (world, 0.5)))
        colt_world_at (world, colt_virtual_time_us () + draw_latency_us (world),
                       handle_reset, channel->open);
    }
}

void
colt_world_init_channels (struct ColtWorld *world)
{
  world->ports.server_open = server_open;
  world->ports.server_close = server_close;
  world->ports.server_start = server_start;
  world->ports.server_stop = server_stop;
  world->ports.server_renew = server_renew;
}

void
colt_world_free_channels (struct ColtWorld *world)
{
  guint i;

  for (i = 0; i < world->calls->len; i++)
    {
      struct ColtWorldCall *call = g_ptr_array_index (world->calls, i);

      g_clear_pointer (&call->running, g_array_unref);
      g_clear_pointer (&call->ended, g_array_unref);
    }
}
