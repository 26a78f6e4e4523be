/* Answers of an instance that shuts down. */
#include <glib.h>
#include <unistd.h>

#include "fake_ports.h"
#include "jobs.h"
#include "scheduler_private.h"
#include "tests.h"

/* Range of the ports that the instance may listen on. */
#define PORT_MIN 20000
#define PORT_COUNT 10000
/* Time that the event loop needs at least to send an answer. */
#define SEND_US (40 * COLT_US_PER_MS)
/* Time after which the instance ends once no request is open. */
#define SERVING_MS 2600
/* Part of the grace time in which open requests are answered. */
#define MARGIN_MS 700

struct ColtStopFixture
{
  struct ColtFakePorts *fake;
  uint32_t answers;
  int64_t answered_us; /* last answer */
};

/* The fixture of the running test, as handles of callers carry no client. */
static struct ColtStopFixture *current;

static void
record_answer (struct ColtCallerHandle *handle,
               const struct ColtCallerAnswer *answer)
{
  (void)handle;
  (void)answer;
  current->answers++;
  current->answered_us = colt_clock_monotonic_us ();
}

static void
send_request (evutil_socket_t fd, short what, void *arg)
{
  const struct ColtStopFixture *fixture = arg;
  struct ColtCallerRequest request = { 0 };

  (void)fd;
  (void)what;
  request.kind = COLT_CALLER_STATE;
  request.host = "";
  request.path = "/0000000000000001";
  request.key = "";
  request.body = "";
  fixture->fake->handlers.handle (fixture->fake->handlers.client, &request,
                                  NULL);
}

/* Stops an instance and sends it one request after some
 * time. Returns the time from its last answer to the end of the loop. */
static int64_t
stop_with_request (uint32_t grace_ms, uint32_t request_ms)
{
  char *internal = g_strdup_printf ("127.0.0.1:%d",
                                    PORT_MIN + (int)getpid () % PORT_COUNT);
  const struct ColtSchedulerSettings settings
      = { "name", "zone", internal, 1, 1000, 60, grace_ms };
  struct ColtStopFixture fixture = { .fake = colt_fake_ports_create () };
  struct ColtPorts *ports = &fixture.fake->ports;
  const struct timeval when
      = { request_ms / 1000, (suseconds_t)(request_ms % 1000) * 1000 };
  struct ColtError error = { 0 };
  struct ColtScheduler *scheduler;
  struct event *timer;
  int64_t ended_us;

  current = &fixture;
  ports->answer = record_answer;
  colt_fake_ports_put (fixture.fake, COLT_TOPIC_OPERATOR, "config", "fleet");
  scheduler
      = colt_scheduler_create (fixture.fake->base, ports, &settings, &error);
  g_assert_nonnull (scheduler);
  colt_fake_ports_run (fixture.fake, 300);
  timer = event_new (fixture.fake->base, -1, 0, send_request, &fixture);
  event_add (timer, &when);
  colt_scheduler_stop (scheduler);
  event_base_dispatch (fixture.fake->base);
  ended_us = colt_clock_monotonic_us ();
  g_assert_cmpuint (fixture.answers, ==, 1);
  event_free (timer);
  colt_scheduler_destroy (scheduler);
  colt_fake_ports_destroy (fixture.fake);
  g_free (internal);
  return ended_us - fixture.answered_us;
}

/* Guards against a request that ends without an answer: an answer that is still
 * to be sent when the process ends is lost, also that of a request which is
 * open until the grace time runs out. */
static void
test_answers_before_end (void)
{
  g_assert_cmpint (
      stop_with_request (SERVING_MS + 200 + MARGIN_MS, SERVING_MS - 50), >=,
      SEND_US);
  g_assert_cmpint (stop_with_request (6000, SERVING_MS - 360), >=, SEND_US);
}

/* Guards against a read of the election after it was freed: a request that
 * waits for a leader is answered when the instance is destroyed. */
static void
test_destroy_with_open_request (void)
{
  char *internal = g_strdup_printf ("127.0.0.1:%d",
                                    PORT_MIN + (int)getpid () % PORT_COUNT);
  const struct ColtSchedulerSettings settings
      = { "name", "zone", internal, 1, 1000, 60, SERVING_MS };
  struct ColtStopFixture fixture = { .fake = colt_fake_ports_create () };
  struct ColtError error = { 0 };
  struct ColtScheduler *scheduler;

  current = &fixture;
  fixture.fake->ports.answer = record_answer;
  colt_fake_ports_put (fixture.fake, COLT_TOPIC_OPERATOR, "config", "fleet");
  scheduler = colt_scheduler_create (fixture.fake->base, &fixture.fake->ports,
                                     &settings, &error);
  g_assert_nonnull (scheduler);
  colt_fake_ports_run (fixture.fake, 20);
  send_request (-1, 0, &fixture);
  g_assert_cmpuint (fixture.answers, ==, 0);
  colt_scheduler_destroy (scheduler);
  g_assert_cmpuint (fixture.answers, ==, 1);
  colt_fake_ports_destroy (fixture.fake);
  g_free (internal);
}

/* A channel to the adviser whose only call is answered when it is closed. */
struct ColtAdviserChannel
{
  ColtAdviceDone done;
  void *client;
};

static struct ColtAdviserChannel adviser;

static struct ColtAdviserChannel *
open_adviser (void *adapter)
{
  (void)adapter;
  return &adviser;
}

static void
keep_advice_call (struct ColtAdviserChannel *channel,
                  const char *step,
                  const char *const *servers,
                  size_t count,
                  uint32_t timeout_ms,
                  ColtAdviceDone done,
                  void *client)
{
  (void)step;
  (void)servers;
  (void)count;
  (void)timeout_ms;
  channel->done = done;
  channel->client = client;
}

static void
fail_advice_call (struct ColtAdviserChannel *channel)
{
  if (channel->done != NULL)
    channel->done (channel->client, NULL);
  channel->done = NULL;
}

static void
ignore_reply (void *client,
              enum ColtWireResult result,
              const uint8_t *body,
              size_t size)
{
  (void)client;
  (void)result;
  (void)body;
  (void)size;
}

/* Guards against a reply through the freed wire: closing the channel to the
 * adviser ends a call that another instance waits for. */
static void
test_destroy_with_open_advice_call (void)
{
  char *internal = g_strdup_printf ("127.0.0.1:%d",
                                    PORT_MIN + (int)getpid () % PORT_COUNT);
  const struct ColtSchedulerSettings settings
      = { "name", "zone", internal, 1, 1000, 60, 1000 };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const uint32_t instance = colt_scheduler_instance_number (internal);
  struct ColtError error = { 0 };
  ColtAdviceCall call = COLT_ADVICE_CALL__INIT;
  struct ColtScheduler *scheduler;
  struct ColtWire *wire;
  uint8_t body[64];
  int i;

  adviser.done = NULL;
  fake->ports.adviser_open = open_adviser;
  fake->ports.adviser_close = fail_advice_call;
  fake->ports.advise = keep_advice_call;
  call.step = "step";
  scheduler
      = colt_scheduler_create (fake->base, &fake->ports, &settings, &error);
  g_assert_nonnull (scheduler);
  wire = colt_wire_create (fake->base, instance + 1, 1);
  colt_wire_set_peer (wire, instance, internal);
  colt_wire_call (wire, instance, MESSAGE_ADVICE, body,
                  colt_advice_call__pack (&call, body), 2000, ignore_reply,
                  NULL);
  for (i = 0; i < 200 && adviser.done == NULL; i++)
    colt_fake_ports_run (fake, 10);
  g_assert_nonnull (adviser.done);
  colt_scheduler_destroy (scheduler);
  g_assert_null (adviser.done);
  colt_wire_destroy (wire);
  colt_fake_ports_destroy (fake);
  g_free (internal);
}

void
colt_test_stop_add (void)
{
  g_test_add_func ("/scheduler/stop/destroy-with-open-advice-call",
                   test_destroy_with_open_advice_call);
  g_test_add_func ("/scheduler/stop/destroy-with-open-request",
                   test_destroy_with_open_request);
  g_test_add_func ("/scheduler/stop/answers-before-end",
                   test_answers_before_end);
}
