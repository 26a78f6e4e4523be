#include "gate_fixture.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coltsfootstile/bundle_chain.h"
#include "coltsfootstile/bundle_sign.h"

enum
{
  GATE = 1,
  HOME = 2,
  ZONE = 1,
  LOOP_TIMEOUT_S = 20
};

static const char body_format[]
    = "[bundle]\nversion = 1\nparent = none\noperator = %s\n"
      "[organisation hire]\ntitle = Hire\n"
      "[team quotes]\norganisation = hire\nweight = 1\nlimit_tasks = 4\n"
      "limit_cores_milli = 8000\n"
      "[team renders]\norganisation = hire\nweight = 1\nlimit_tasks = 9\n"
      "[key web]\nteam = quotes\nhash = %s\n"
      "[key other]\nteam = renders\nhash = %s\n"
      "[queue keyed]\nteam = quotes\nopen = no\nmax_waiting = 5\n"
      "[queue public]\nteam = quotes\nopen = yes\nmax_waiting = 5\n"
      "[work interactive]\npolicy = fastest\ndeadline_ms = 2000\n"
      "priority = 7\nmax_attempts = 3\n"
      "[work service]\npolicy = spread\npriority = 5\nmax_attempts = 5\n"
      "[work batch]\npolicy = pack\npriority = 1\nmax_attempts = 3\n"
      "[work gang]\npolicy = pack\npriority = 2\nmax_attempts = 2\n"
      "[zone 1]\nregion = perth\n";

struct ColtCaller
{
  struct ColtGateFixture *fixture;
  GString *text;
  bool closed;
};

static const struct ColtBundle *
get_bundle (void *client)
{
  const struct ColtGateFixture *fixture = client;

  return fixture->has_bundle ? colt_chain_bundle (fixture->chain) : NULL;
}

static const struct ColtKeyring *
get_keyring (void *client)
{
  const struct ColtGateFixture *fixture = client;

  return colt_chain_keyring (fixture->chain);
}

static bool
keys_are_fresh (void *client)
{
  return ((const struct ColtGateFixture *)client)->keys_fresh;
}

static uint32_t
find_leader (void *client, uint32_t zone, uint32_t shard)
{
  g_assert_cmpuint (zone, ==, ZONE);
  g_assert_cmpuint (shard, <, COLT_SHARD_COUNT);
  return ((const struct ColtGateFixture *)client)->leader;
}

static bool
fits_any_server (void *client, const struct ColtResources *demand)
{
  (void)demand;
  return ((const struct ColtGateFixture *)client)->fits_any;
}

static bool
serve (void *client, struct evhttp_request *request, const char *path)
{
  (void)client;
  (void)request;
  (void)path;
  return false;
}

static const struct ColtGateClient gate_calls
    = { get_bundle,  get_keyring,     keys_are_fresh,
        find_leader, fits_any_server, serve };

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

static void
send_answer (struct ColtGateFixture *fixture,
             const ProtobufCBinaryData *id,
             enum ColtOutcome outcome)
{
  ColtAnswerWord answer = COLT_ANSWER_WORD__INIT;
  uint8_t *packed;
  size_t size;

  answer.id = *id;
  answer.outcome = outcome;
  answer.waited_ms = -1;
  packed = colt_message_pack (&answer.base, &size);
  colt_wire_call (fixture->home, GATE, COLT_WIRE_REQUEST_ANSWER, packed, size,
                  1000, ignore_reply, NULL);
  free (packed);
}

static void
on_submit (void *client,
           const struct ColtWireOrigin *origin,
           const uint8_t *body,
           size_t size)
{
  struct ColtGateFixture *fixture = client;
  ColtSubmitWord *submit = colt_submit_word__unpack (NULL, size, body);
  ColtSubmitReply reply = COLT_SUBMIT_REPLY__INIT;
  uint8_t *packed;

  g_assert_nonnull (submit);
  fixture->submit_count++;
  if (fixture->stop_on_call)
    event_base_loopbreak (fixture->base);
  fixture->last_fresh = submit->fresh;
  fixture->last_tasks = submit->spec->tasks;
  if (fixture->unresponsive)
    {
      colt_submit_word__free_unpacked (submit, NULL);
      return;
    }
  reply.status = fixture->submit_status;
  reply.reason = fixture->submit_reason;
  packed = colt_message_pack (&reply.base, &size);
  colt_wire_reply (fixture->home, origin, packed, size);
  free (packed);
  if (fixture->outcome != COLT_OUTCOME_PENDING)
    send_answer (fixture, &submit->id, fixture->outcome);
  colt_submit_word__free_unpacked (submit, NULL);
}

/* Replies without answers, which are sent by calls of their own. */
static void
on_attach (void *client,
           const struct ColtWireOrigin *origin,
           const uint8_t *body,
           size_t size)
{
  struct ColtGateFixture *fixture = client;
  ColtAttachReply reply = COLT_ATTACH_REPLY__INIT;
  ColtAttachWord *attach = colt_attach_word__unpack (NULL, size, body);
  struct ColtId id;
  uint8_t *packed;
  size_t i;

  g_assert_nonnull (attach);
  fixture->attach_count++;
  for (i = 0; i < attach->n_ids; i++)
    {
      g_assert_true (colt_id_read (&attach->ids[i], &id));
      g_hash_table_add (fixture->attached, g_memdup2 (&id, sizeof id));
      if (fixture->attach_outcome != COLT_OUTCOME_PENDING)
        send_answer (fixture, &attach->ids[i], fixture->attach_outcome);
    }
  if (fixture->stop_on_call)
    event_base_loopbreak (fixture->base);
  if (fixture->forgets)
    {
      reply.unknown = attach->ids;
      reply.n_unknown = attach->n_ids;
    }
  if (!fixture->unresponsive)
    {
      packed = colt_message_pack (&reply.base, &size);
      colt_wire_reply (fixture->home, origin, packed, size);
      free (packed);
    }
  colt_attach_word__free_unpacked (attach, NULL);
}

static uint16_t
find_free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, sizeof address), ==,
                   0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  close (fd);
  return ntohs (address.sin_port);
}

static struct ColtChain *
create_chain (void)
{
  const uint8_t seed[32] = { 9 };
  struct ColtHash web = colt_secret_hash (TEST_SECRET);
  struct ColtHash other = colt_secret_hash (TEST_OTHER_SECRET);
  struct ColtLogPosition position = { 0, 0 };
  struct ColtChainVerdict verdict;
  struct ColtOperatorPair pair;
  struct ColtSignature signature;
  struct ColtChain *chain;
  struct ColtBundle *bundle;
  char hex[3][COLT_HASH_TEXT_SIZE];
  uint8_t *body;
  size_t size;
  char *text;

  colt_operator_pair_make (&pair, seed);
  text = g_strdup_printf (
      body_format, colt_operator_key_format (&pair.key, hex[0]),
      colt_hash_format (&web, hex[1]), colt_hash_format (&other, hex[2]));
  bundle = colt_bundle_parse (text, NULL, NULL);
  g_assert_nonnull (bundle);
  chain = colt_chain_create (&pair.key, 1);
  colt_bundle_sign (bundle, &pair, &signature);
  body = colt_bundle_encode (bundle, &signature, NULL, &size);
  colt_chain_apply_record (chain, position, COLT_RECORD_BUNDLE, body, size,
                           &verdict);
  g_assert_cmpint (verdict.status, ==, COLT_CHAIN_ACCEPTED);
  free (body);
  colt_bundle_destroy (bundle);
  g_free (text);
  return chain;
}

void
gate_set_up (struct ColtGateFixture *fixture, gconstpointer data)
{
  struct ColtGateParts parts = { 0 };
  char home[32];
  char gate[32];

  fixture->has_bundle = true;
  fixture->keys_fresh = true;
  fixture->fits_any = true;
  fixture->leader = HOME;
  fixture->submit_status = COLT_SUBMIT_ACCEPTED;
  fixture->outcome = COLT_OUTCOME_DONE;
  fixture->attach_outcome = COLT_OUTCOME_PENDING;
  fixture->attached = g_hash_table_new_full (colt_id_table_hash,
                                             colt_id_table_equal, g_free, NULL);
  fixture->base = event_base_new ();
  fixture->counters = colt_counters_create ();
  fixture->chain = create_chain ();
  fixture->wire = colt_wire_create (fixture->base, GATE, 1);
  fixture->home = colt_wire_create (fixture->base, HOME, 1);
  colt_wire_set_handler (fixture->home, COLT_WIRE_REQUEST_SUBMIT, on_submit,
                         fixture);
  colt_wire_set_handler (fixture->home, COLT_WIRE_REQUEST_ATTACH, on_attach,
                         fixture);
  parts.base = fixture->base;
  parts.wire = fixture->wire;
  parts.counters = fixture->counters;
  parts.instance = GATE;
  parts.zone = ZONE;
  parts.connections_max
      = data != NULL ? GPOINTER_TO_UINT (data) : TEST_CONNECTIONS_MAX;
  fixture->gate = colt_gate_create (&parts, &gate_calls, fixture);
  g_snprintf (home, sizeof home, "127.0.0.1:%u", find_free_port ());
  g_assert_true (colt_wire_listen (fixture->home, home, NULL));
  colt_wire_set_peer (fixture->wire, HOME, home);
  g_snprintf (gate, sizeof gate, "127.0.0.1:%u", find_free_port ());
  g_assert_true (colt_wire_listen (fixture->wire, gate, NULL));
  colt_wire_set_peer (fixture->home, GATE, gate);
  g_snprintf (fixture->address, sizeof fixture->address, "127.0.0.1:%u",
              find_free_port ());
  g_assert_true (colt_gate_listen (fixture->gate, fixture->address, NULL));
}

void
gate_tear_down (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_wire_end_calls (fixture->wire);
  colt_gate_destroy (fixture->gate);
  colt_wire_destroy (fixture->wire);
  colt_wire_destroy (fixture->home);
  colt_chain_destroy (fixture->chain);
  colt_counters_destroy (fixture->counters);
  event_base_free (fixture->base);
  g_hash_table_unref (fixture->attached);
}

static void
on_read (struct bufferevent *stream, void *arg)
{
  struct ColtCaller *caller = arg;
  struct evbuffer *input = bufferevent_get_input (stream);
  size_t size = evbuffer_get_length (input);

  g_string_append_len (caller->text, (const char *)evbuffer_pullup (input, -1),
                       (gssize)size);
  evbuffer_drain (input, size);
}

static void
on_event (struct bufferevent *stream, short what, void *arg)
{
  struct ColtCaller *caller = arg;

  (void)stream;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  caller->closed = true;
  event_base_loopbreak (caller->fixture->base);
}

static struct bufferevent *
open_caller (struct ColtGateFixture *fixture,
             struct ColtCaller *caller,
             const char *bytes,
             size_t size)
{
  struct sockaddr_storage address;
  int length = sizeof address;
  struct bufferevent *stream
      = bufferevent_socket_new (fixture->base, -1, BEV_OPT_CLOSE_ON_FREE);

  g_assert_cmpint (evutil_parse_sockaddr_port (
                       fixture->address, (struct sockaddr *)&address, &length),
                   ==, 0);
  bufferevent_setcb (stream, on_read, NULL, on_event, caller);
  bufferevent_enable (stream, EV_READ | EV_WRITE);
  bufferevent_socket_connect (stream, (struct sockaddr *)&address, length);
  bufferevent_write (stream, bytes, size);
  return stream;
}

static void
on_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (arg);
}

/* Runs the event loop until a callback stops it, at most LOOP_TIMEOUT_S. */
static void
run_loop (struct ColtGateFixture *fixture)
{
  const struct timeval timeout = { LOOP_TIMEOUT_S, 0 };
  struct event *timer = evtimer_new (fixture->base, on_timeout, fixture->base);

  event_add (timer, &timeout);
  event_base_dispatch (fixture->base);
  event_free (timer);
}

struct ColtGateReply
gate_exchange (struct ColtGateFixture *fixture, const char *bytes, size_t size)
{
  struct ColtCaller caller = { fixture, g_string_new (""), false };
  struct ColtGateReply reply = { 0 };
  struct bufferevent *stream = open_caller (fixture, &caller, bytes, size);
  const char *body;

  run_loop (fixture);
  g_assert_true (caller.closed);
  bufferevent_free (stream);
  if (g_str_has_prefix (caller.text->str, "HTTP/1.1 "))
    reply.status = atoi (caller.text->str + strlen ("HTTP/1.1 "));
  body = strstr (caller.text->str, "\r\n\r\n");
  if (body != NULL)
    reply.body = json_loads (body + 4, 0, NULL);
  reply.text = g_string_free (caller.text, FALSE);
  return reply;
}

void
gate_wait_for_call (struct ColtGateFixture *fixture)
{
  fixture->stop_on_call = true;
  run_loop (fixture);
  fixture->stop_on_call = false;
}

void
gate_post_and_close (struct ColtGateFixture *fixture,
                     const char *headers,
                     const char *body)
{
  struct ColtCaller caller = { fixture, g_string_new (""), false };
  char *text = g_strdup_printf ("POST /v1/tasks HTTP/1.1\r\nHost: x\r\n"
                                "Content-Length: %zu\r\n%s\r\n%s",
                                strlen (body), headers, body);
  struct bufferevent *stream
      = open_caller (fixture, &caller, text, strlen (text));

  gate_wait_for_call (fixture);
  g_assert_cmpuint (caller.text->len, ==, 0);
  bufferevent_free (stream);
  g_string_free (caller.text, TRUE);
  g_free (text);
}

struct ColtGateReply
gate_post (struct ColtGateFixture *fixture,
           const char *path,
           const char *headers,
           const char *body)
{
  char *text
      = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                         "Content-Length: %zu\r\n%s\r\n%s",
                         path, strlen (body), headers, body);
  struct ColtGateReply reply = gate_exchange (fixture, text, strlen (text));

  g_free (text);
  return reply;
}

struct ColtGateReply
gate_request (struct ColtGateFixture *fixture,
              const char *method,
              const char *path)
{
  char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", method, path);
  struct ColtGateReply reply = gate_exchange (fixture, text, strlen (text));

  g_free (text);
  return reply;
}

void
gate_reply_clear (struct ColtGateReply *reply)
{
  g_free (reply->text);
  json_decref (reply->body);
}

void
gate_assert_reply (struct ColtGateReply reply,
                   int status,
                   const char *outcome,
                   const char *reason)
{
  g_assert_cmpint (reply.status, ==, status);
  g_assert_nonnull (reply.body);
  g_assert_cmpstr (json_string_value (json_object_get (reply.body, "outcome")),
                   ==, outcome);
  g_assert_cmpstr (json_string_value (json_object_get (reply.body, "reason")),
                   ==, reason);
  gate_reply_clear (&reply);
}
