/* Leases that a leader renews while the log doesn't answer. */
#include <glib.h>
#include <unistd.h>

#include "fake_ports.h"
#include "jobs.h"
#include "scheduler_private.h"
#include "tests.h"

#define JOB "0000000000000001"
#define TASK JOB ".0.0.0"
/* Range of the ports that the instance may listen on. */
#define PORT_MIN 30000
#define PORT_COUNT 2000
#define LEADER_IP 0x7f000001u
/* Instances that send heartbeats to the leader. */
#define PEERS 4
#define BEAT_MS 50
#define BEAT_TIMEOUT_MS 400
/* Longest lease that the server grants. */
#define LEASE_MS 1000
/* How long the log is down. */
#define OUTAGE_MS 2500
/* Time since a peer reached the log, while it is down. */
#define LOG_AGE_MS 5000
/* Time that the lease end of a renewal may be off. */
#define LEASE_SLACK_MS 100

/* What a peer does in the outage. */
enum ColtPeerState
{
  PEER_FOLLOWS,  /* follows the leader, without the log */
  PEER_CUT_OFF,  /* sends nothing */
  PEER_UNRELATED /* sends heartbeats without the leader's stamp */
};

struct ColtConfirmationFixture;

struct ColtPeer
{
  struct ColtConfirmationFixture *fixture;
  struct ColtWire *wire;
  enum ColtPeerState state;
  uint64_t stamp_us; /* the leader's latest one */
  uint32_t replies;
};

struct ColtConfirmationFixture
{
  struct ColtFakePorts *fake;
  struct ColtPeer peers[PEERS];
  struct event *beat_timer;
  char *address;
  uint32_t answers;
  bool log_down;
};

/* The fixture of the running test, as handles of callers carry no client. */
static struct ColtConfirmationFixture *current;

static void
record_answer (struct ColtCallerHandle *handle,
               const struct ColtCallerAnswer *answer)
{
  (void)handle;
  g_assert_cmpint (answer->kind, ==, COLT_ANSWER_ACCEPTED);
  current->answers++;
}

static void
handle_reply (void *client,
              enum ColtWireResult result,
              const uint8_t *body,
              size_t size)
{
  struct ColtPeer *peer = client;
  ColtBeatReply *reply;

  if (result != COLT_WIRE_REPLIED)
    return;
  reply = colt_beat_reply__unpack (NULL, size, body);
  g_assert_nonnull (reply);
  peer->stamp_us = reply->stamp_us;
  peer->replies++;
  colt_beat_reply__free_unpacked (reply, NULL);
}

static void
send_beats (evutil_socket_t fd, short what, void *arg)
{
  struct ColtConfirmationFixture *fixture = arg;
  int i;

  (void)fd;
  (void)what;
  for (i = 0; i < PEERS; i++)
    {
      struct ColtPeer *peer = &fixture->peers[i];
      ColtBeat beat = COLT_BEAT__INIT;
      uint8_t body[64];

      if (fixture->log_down && peer->state == PEER_CUT_OFF)
        continue;
      beat.term = 1;
      beat.strength_milli = 1;
      beat.log_age_ms = fixture->log_down ? LOG_AGE_MS : 0;
      beat.stamp_us = peer->state == PEER_UNRELATED ? 0 : peer->stamp_us;
      colt_wire_call (peer->wire, LEADER_IP, MESSAGE_HEARTBEAT, body,
                      colt_beat__pack (&beat, body), BEAT_TIMEOUT_MS,
                      handle_reply, peer);
    }
}

static void
open_peers (struct ColtConfirmationFixture *fixture,
            const enum ColtPeerState *states)
{
  const struct timeval period = { 0, BEAT_MS * 1000 };
  int i;

  for (i = 0; i < PEERS; i++)
    {
      struct ColtPeer *peer = &fixture->peers[i];

      peer->state = states[i];
      peer->wire = colt_wire_create (fixture->fake->base,
                                     LEADER_IP + 1 + (uint32_t)i, 1);
      colt_wire_set_peer (peer->wire, LEADER_IP, fixture->address);
    }
  fixture->beat_timer
      = event_new (fixture->fake->base, -1, EV_PERSIST, send_beats, fixture);
  event_add (fixture->beat_timer, &period);
}

static void
submit_job (struct ColtConfirmationFixture *fixture)
{
  static const struct ColtRunningEntry running = { TASK, 1, "", 50 };
  struct ColtServerReport *report = &fixture->fake->server_answer.report;
  struct ColtCallerRequest request = { 0 };
  int i;

  request.kind = COLT_CALLER_SUBMIT;
  request.host = "";
  request.path = "/" JOB;
  request.key = "";
  request.body = "";
  request.patience_ms = 3000;
  fixture->fake->handlers.handle (fixture->fake->handlers.client, &request,
                                  NULL);
  for (i = 0; i < 200 && fixture->fake->starts == 0; i++)
    colt_fake_ports_run (fixture->fake, 5);
  g_assert_cmpuint (fixture->fake->starts, ==, 1);
  g_assert_cmpuint (fixture->answers, ==, 1);
  report->running = &running;
  report->running_count = 1;
}

/* Lets the log fail under a leader of PEERS instances with a run on a server.
 * Returns by how much the latest lease end exceeds that of a lease that began
 * as the log failed, in milliseconds. */
static int64_t
play_outage (const enum ColtPeerState *states)
{
  struct ColtConfirmationFixture fixture
      = { .fake = colt_fake_ports_create () };
  struct ColtSchedulerSettings settings
      = { "name", "zone", NULL, 1, LEASE_MS, 60, 6000 };
  struct ColtError error = { 0 };
  struct ColtScheduler *scheduler;
  int64_t failed_ms;
  int64_t latest_ms = 0;
  int64_t waited_ms;
  int i;

  current = &fixture;
  fixture.fake->ports.decode_job = colt_test_decode_job;
  fixture.fake->ports.answer = record_answer;
  fixture.address = g_strdup_printf ("127.0.0.1:%d",
                                     PORT_MIN + (int)getpid () % PORT_COUNT);
  settings.internal = fixture.address;
  fixture.fake->server_answer.incarnation_ms = 1;
  colt_fake_ports_put (fixture.fake, COLT_TOPIC_OPERATOR, "config", "fleet");
  colt_fake_ports_put (fixture.fake, COLT_TOPIC_SERVERS, "server", "entry");
  scheduler = colt_scheduler_create (fixture.fake->base, &fixture.fake->ports,
                                     &settings, &error);
  g_assert_nonnull (scheduler);
  colt_fake_ports_run (fixture.fake, 400);
  open_peers (&fixture, states);
  submit_job (&fixture);
  colt_fake_ports_run (fixture.fake, 500);
  for (i = 0; i < PEERS; i++)
    g_assert_cmpuint (fixture.peers[i].replies, >, 0);
  g_assert_cmpint (fixture.fake->last_renewal.until_ms, >, 0);
  fixture.fake->fault = FAULT_DOWN;
  fixture.log_down = true;
  failed_ms = colt_clock_monotonic_us () / COLT_US_PER_MS;
  for (waited_ms = 0; waited_ms < OUTAGE_MS; waited_ms += 50)
    {
      colt_fake_ports_run (fixture.fake, 50);
      latest_ms = MAX (latest_ms, fixture.fake->last_renewal.until_ms
                                      - fixture.fake->server_clock_ms);
    }
  event_free (fixture.beat_timer);
  colt_scheduler_destroy (scheduler);
  for (i = 0; i < PEERS; i++)
    colt_wire_destroy (fixture.peers[i].wire);
  colt_fake_ports_destroy (fixture.fake);
  g_free (fixture.address);
  return latest_ms - (failed_ms + LEASE_MS);
}

/* Guards against two leaders at work: three of five instances are cut off with
 * the leader, and one of the others, which reach the log, leads by now. */
static void
test_cut_off_with_most (void)
{
  const enum ColtPeerState states[PEERS]
      = { PEER_FOLLOWS, PEER_FOLLOWS, PEER_CUT_OFF, PEER_CUT_OFF };

  g_assert_cmpint (play_outage (states), <=, LEASE_SLACK_MS);
}

/* Guards against the word of an instance that may follow a later leader. */
static void
test_peer_without_stamp (void)
{
  const enum ColtPeerState states[PEERS]
      = { PEER_FOLLOWS, PEER_FOLLOWS, PEER_FOLLOWS, PEER_UNRELATED };

  g_assert_cmpint (play_outage (states), <=, LEASE_SLACK_MS);
}

/* Work goes on while the log is down for all: no instance can lead. */
static void
test_log_down_for_all (void)
{
  const enum ColtPeerState states[PEERS]
      = { PEER_FOLLOWS, PEER_FOLLOWS, PEER_FOLLOWS, PEER_FOLLOWS };

  g_assert_cmpint (play_outage (states), >, OUTAGE_MS - LEASE_MS);
}

void
colt_test_confirmation_add (void)
{
  g_test_add_func ("/scheduler/confirmation/cut-off-with-most",
                   test_cut_off_with_most);
  g_test_add_func ("/scheduler/confirmation/peer-without-stamp",
                   test_peer_without_stamp);
  g_test_add_func ("/scheduler/confirmation/log-down-for-all",
                   test_log_down_for_all);
}
