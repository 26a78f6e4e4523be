/* Fuzzes data received from peers: frames on a socket and bodies of messages.
 * A body that unpacks must pack, and unpack and pack again to the same bytes;
 * nothing may be read past its end, which the sanitizer checks. */
#include <event2/event.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coltsfootstile/quota_messages.h"
#include "coltsfootstile/request_messages.h"
#include "coltsfootstile/shard_messages.h"
#include "connection.h"
#include "frame.pb-c.h"

enum
{
  NOW_US = 1000000
};

/* Frames received on a connection. */
struct ColtFrameSink
{
  struct ColtConnection *connection;
  bool hello_received;
  bool closed;
  size_t bytes;
  uint8_t sum;
};

/* Unpacks a body and packs it again; returns NULL if it is malformed. */
typedef uint8_t *(*ColtRepack) (const uint8_t *data,
                                size_t size,
                                size_t *packed_size);

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static bool
on_hello_ (void *client, uint32_t instance, uint64_t incarnation)
{
  struct ColtFrameSink *sink = client;

  (void)incarnation;
  g_assert_false (sink->hello_received);
  sink->hello_received = true;
  return instance != 0;
}

static void
on_frame_ (void *client, const struct ColtFrameView *frame)
{
  struct ColtFrameSink *sink = client;
  size_t i;

  g_assert_true (sink->hello_received && !sink->closed);
  g_assert_cmpuint (frame->size, <=, COLT_WIRE_BODY_MAX);
  for (i = 0; i < frame->size; i++)
    sink->sum ^= frame->body[i];
  sink->bytes += frame->size;
}

static void
on_closed_ (void *client, bool bad_frame)
{
  struct ColtFrameSink *sink = client;

  (void)bad_frame;
  g_assert_false (sink->closed);
  sink->closed = true;
  colt_connection_destroy (sink->connection);
}

static const struct ColtConnectionClient connection_client
    = { on_hello_, on_frame_, on_closed_ };

/* Sends the data in two parts, so that frames are split at any byte. */
static void
feed_connection_ (const uint8_t *data, size_t size)
{
  struct event_base *base = event_base_new ();
  struct ColtFrameSink sink = { 0 };
  struct ColtWireStats stats = { 0 };
  size_t first = size > 0 ? data[size - 1] % (size + 1) : 0;
  int sockets[2];

  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM, 0, sockets), ==, 0);
  evutil_make_socket_nonblocking (sockets[0]);
  sink.connection
      = colt_connection_accept (base, sockets[0], &connection_client, &sink);
  colt_connection_set_stats (sink.connection, &stats);
  g_assert_cmpint (write (sockets[1], data, first), ==, (ssize_t)first);
  event_base_loop (base, EVLOOP_NONBLOCK);
  if (!sink.closed)
    g_assert_cmpint (
        send (sockets[1], data + first, size - first, MSG_NOSIGNAL), ==,
        (ssize_t)(size - first));
  close (sockets[1]);
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_loop (base, EVLOOP_NONBLOCK);
  g_assert_cmpuint (sink.bytes, <=, size);
  if (!sink.closed)
    colt_connection_destroy (sink.connection);
  event_base_free (base);
}

#define SHARD_REPACK(name, type)                                               \
  static uint8_t *repack_##name##_ (const uint8_t *data, size_t size,          \
                                    size_t *packed_size)                       \
  {                                                                            \
    struct type message;                                                       \
    struct ColtError error;                                                    \
    uint8_t *packed;                                                           \
                                                                               \
    if (!colt_shard_##name##_unpack (data, size, &message, &error))            \
      return NULL;                                                             \
    packed = colt_shard_##name##_pack (&message, packed_size);                 \
    colt_shard_##name##_clear (&message);                                      \
    return packed;                                                             \
  }

SHARD_REPACK (open, ColtShardOpen)
SHARD_REPACK (opened, ColtShardOpened)
SHARD_REPACK (confirm, ColtShardConfirm)
SHARD_REPACK (confirmed, ColtShardConfirmed)

#define QUOTA_REPACK(name, type)                                               \
  static uint8_t *repack_##name##_ (const uint8_t *data, size_t size,          \
                                    size_t *packed_size)                       \
  {                                                                            \
    struct ColtError error;                                                    \
    struct type *message = colt_##name##_unpack (data, size, &error);          \
    uint8_t *packed;                                                           \
                                                                               \
    if (message == NULL)                                                       \
      return NULL;                                                             \
    packed = colt_##name##_pack (message, packed_size);                        \
    colt_##name##_destroy (message);                                           \
    return packed;                                                             \
  }

QUOTA_REPACK (quota_transfer, ColtQuotaTransfer)
QUOTA_REPACK (compliance_vector, ColtComplianceVector)
QUOTA_REPACK (credit_report, ColtCreditReport)
QUOTA_REPACK (credit_grant, ColtCreditGrant)
QUOTA_REPACK (demand_digest, ColtDemandDigest)

static uint8_t *
repack_spec_ (const uint8_t *data, size_t size, size_t *packed_size)
{
  ColtSpecWord *msg = colt_spec_word__unpack (NULL, size, data);
  struct ColtSpecBuffer buffer;
  struct ColtRequestSpec spec;
  uint8_t *packed = NULL;

  if (msg != NULL && colt_spec_read (msg, &spec, NOW_US))
    {
      g_assert_true (spec.tasks >= 1
                     && spec.tasks <= COLT_TASKS_PER_REQUEST_MAX);
      g_assert_cmpuint (spec.payload_size, <=, COLT_PAYLOAD_MAX);
      colt_spec_fill (&buffer, &spec, NOW_US);
      packed = colt_message_pack (&buffer.msg.base, packed_size);
    }
  if (msg != NULL)
    colt_spec_word__free_unpacked (msg, NULL);
  return packed;
}

static uint8_t *
repack_report_ (const uint8_t *data, size_t size, size_t *packed_size)
{
  ColtReportWord *msg = colt_report_word__unpack (NULL, size, data);
  struct ColtReportBuffer buffer;
  struct ColtTaskReport report;
  uint8_t *packed = NULL;

  if (msg != NULL && colt_report_read (msg, &report))
    {
      g_assert_cmpuint (report.shard, <, COLT_SHARD_COUNT);
      colt_report_fill (&buffer, &report);
      packed = colt_message_pack (&buffer.msg.base, packed_size);
    }
  if (msg != NULL)
    colt_report_word__free_unpacked (msg, NULL);
  return packed;
}

static void
fill_report_ (struct ColtTaskReport *report)
{
  const uint8_t random[10] = { 1, 2, 3 };

  memset (report, 0, sizeof *report);
  report->ref.request = colt_id_mint (1, 7, random);
  report->ref.attempt = 1;
  report->shard = colt_id_shard (&report->ref.request);
  report->shard_epoch = 3;
  strcpy (report->team, "team");
}

static uint8_t *
make_opened_ (size_t *size)
{
  const struct ColtShardEpoch epochs[] = { { 1, 9 }, { 2, 8 } };
  const struct ColtShardServer servers[] = { { 4, 2, 6 }, { 5, 3, 2 } };
  const uint32_t known[] = { 6, 7 };
  const struct ColtTeamCount teams[]
      = { { .shard = 1, .server = 4, .team = "team", .tasks = 2 } };
  struct ColtShardTask tasks[2];
  const struct ColtShardOpened opened
      = { 1, 2, 3, 4, 5, epochs, 2, servers, 2, known, 2, tasks, 2, teams, 1 };

  tasks[0].server = 4;
  fill_report_ (&tasks[0].report);
  tasks[1] = tasks[0];
  tasks[1].report.ref.index = 1;
  return colt_shard_opened_pack (&opened, size);
}

static uint8_t *
make_confirmed_ (size_t *size)
{
  const struct ColtShardEpoch epochs[] = { { 1, 9 }, { 2, 8 } };
  const struct ColtShardServer servers[] = { { 4, 2, 6 }, { 5, 3, 2 } };
  const struct ColtShardConfirmed confirmed
      = { 1, 2, 3, 4, 5, false, false, servers, 2, epochs, 2 };

  return colt_shard_confirmed_pack (&confirmed, size);
}

static uint8_t *
make_credit_report_ (size_t *size)
{
  struct ColtCreditReport *report = colt_credit_report_create (1, 1, 1);
  uint8_t *packed;

  report->owner = 1;
  report->epoch = 2;
  report->sequence = 3;
  strcpy (report->states[0].team, "team");
  report->held[0].server = 4;
  report->lost[0].server = 5;
  packed = colt_credit_report_pack (report, size);
  colt_credit_report_destroy (report);
  return packed;
}

static uint8_t *
make_credit_grant_ (size_t *size)
{
  struct ColtCreditGrant *grant = colt_credit_grant_create (1, 1, 1);
  uint8_t *packed;

  grant->owner = 1;
  grant->epoch = 2;
  strcpy (grant->items[0].team, "team");
  grant->settled[0].server = 4;
  packed = colt_credit_grant_pack (grant, size);
  colt_credit_grant_destroy (grant);
  return packed;
}

static uint8_t *
make_spec_ (size_t *size)
{
  const struct ColtRequestSpec spec = { .team = "team",
                                        .queue = "queue",
                                        .tasks = 2,
                                        .max_attempts = 1,
                                        .deadline_us = 2 * NOW_US,
                                        .payload = (const uint8_t *)"work",
                                        .payload_size = 4 };
  struct ColtSpecBuffer buffer;

  colt_spec_fill (&buffer, &spec, NOW_US);
  return colt_message_pack (&buffer.msg.base, size);
}

static uint8_t *
make_report_ (size_t *size)
{
  struct ColtReportBuffer buffer;
  struct ColtTaskReport report;

  fill_report_ (&report);
  colt_report_fill (&buffer, &report);
  return colt_message_pack (&buffer.msg.base, size);
}

static void
append_frame_ (GByteArray *bytes,
               uint32_t kind,
               const uint8_t *body,
               size_t size)
{
  ColtFrame frame = COLT_FRAME__INIT;
  uint8_t length[4] = { 0 };
  uint8_t *packed;
  size_t packed_size;

  frame.kind = kind;
  frame.body.data = (uint8_t *)body;
  frame.body.len = size;
  packed = colt_message_pack (&frame.base, &packed_size);
  length[3] = (uint8_t)packed_size;
  g_byte_array_append (bytes, length, sizeof length);
  g_byte_array_append (bytes, packed, (guint)packed_size);
  free (packed);
}

static uint8_t *
make_stream_ (size_t *size)
{
  GByteArray *bytes = g_byte_array_new ();
  ColtHello hello = COLT_HELLO__INIT;
  uint8_t *body;
  uint8_t *copy;

  hello.version = 1;
  hello.instance = 2;
  hello.incarnation = 3;
  body = colt_message_pack (&hello.base, size);
  append_frame_ (bytes, COLT_WIRE_HELLO, body, *size);
  free (body);
  append_frame_ (bytes, COLT_WIRE_REQUEST_FIRST, (const uint8_t *)"body", 4);
  append_frame_ (bytes, COLT_WIRE_SHARD_FIRST, NULL, 0);
  *size = bytes->len;
  copy = malloc (bytes->len);
  memcpy (copy, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
  return copy;
}

/* A kind of input with its decoder and, for some, a valid example. */
struct ColtTarget
{
  ColtRepack repack;                       /* NULL: stream of frames */
  uint8_t *(*make_example) (size_t *size); /* NULL: no example */
};

static const struct ColtTarget targets[]
    = { { repack_open_, NULL },
        { repack_opened_, make_opened_ },
        { repack_confirm_, NULL },
        { repack_confirmed_, make_confirmed_ },
        { repack_quota_transfer_, NULL },
        { repack_compliance_vector_, NULL },
        { repack_credit_report_, make_credit_report_ },
        { repack_credit_grant_, make_credit_grant_ },
        { repack_demand_digest_, NULL },
        { repack_spec_, make_spec_ },
        { repack_report_, make_report_ },
        { NULL, make_stream_ } };

/* Checks that a repacked body repacks to the same bytes. */
static void
check_body_ (ColtRepack repack, const uint8_t *data, size_t size)
{
  size_t first_size;
  size_t second_size;
  uint8_t *first = repack (data, size, &first_size);
  uint8_t *second;

  if (first == NULL)
    return;
  second = repack (first, first_size, &second_size);
  g_assert_nonnull (second);
  g_assert_cmpmem (first, first_size, second, second_size);
  free (first);
  free (second);
}

static void
feed_target_ (const struct ColtTarget *target, const uint8_t *data, size_t size)
{
  if (target->repack != NULL)
    check_body_ (target->repack, data, size);
  else
    feed_connection_ (data, size);
}

/* Feeds an edited copy of the example: each pair of input bytes flips bits of
 * one byte, and a first byte of 255 also truncates the copy. */
static void
feed_edited_ (const struct ColtTarget *target, const uint8_t *data, size_t size)
{
  size_t example_size;
  uint8_t *example = target->make_example (&example_size);
  size_t length = example_size;

  for (; size >= 2; data += 2, size -= 2)
    {
      if (data[0] == UINT8_MAX)
        length = data[1] % (example_size + 1);
      example[data[0] % example_size] ^= data[1];
    }
  /* The exact size lets the sanitizer detect reads past the end. */
  example = realloc (example, MAX (length, 1));
  feed_target_ (target, example, length);
  free (example);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const struct ColtTarget *target;
  uint8_t *copy;

  if (size == 0)
    return 0;
  target = &targets[(data[0] & 0x7f) % G_N_ELEMENTS (targets)];
  if (target->make_example != NULL && (data[0] & 0x80) != 0)
    {
      feed_edited_ (target, data + 1, size - 1);
      return 0;
    }
  copy = g_malloc (MAX (size - 1, 1));
  memcpy (copy, data + 1, size - 1);
  feed_target_ (target, copy, size - 1);
  g_free (copy);
  return 0;
}
