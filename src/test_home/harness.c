#include "harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coltsfootstile/clock.h"

#define INCARNATION 500u
#define HANG_LIMIT_US (60 * COLT_US_PER_S)

static const char result_text[] = "done";

/* Finds a loopback address with a port that nothing listens on. */
static void
pick_free_address_ (char *text, size_t size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, sizeof address), ==,
                   0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  close (fd);
  g_snprintf (text, size, "127.0.0.1:%u", ntohs (address.sin_port));
}

static bool
server_valid_ (void *client, uint32_t server, uint64_t epoch, int64_t now)
{
  (void)client;
  (void)now;
  return server == SERVER_ID && epoch == SERVER_EPOCH;
}

static void
collect_reports_ (void *client,
                  uint32_t shard,
                  uint32_t server,
                  struct ColtShardReports *reports)
{
  (void)client;
  (void)shard;
  (void)server;
  (void)reports;
}

static void
on_promised_ (void *client, uint32_t shard, uint64_t epoch)
{
  (void)client;
  (void)shard;
  (void)epoch;
}

static const struct ColtShardOwnerClient shard_client
    = { server_valid_, collect_reports_, on_promised_ };

static void
on_open_ (void *client,
          const struct ColtWireOrigin *origin,
          const uint8_t *body,
          size_t size)
{
  struct ColtHomeFixture *fixture = client;
  struct ColtShardOpened opened;
  struct ColtShardOpen open;
  uint8_t *answer;

  g_assert_true (colt_shard_open_unpack (body, size, &open, NULL));
  colt_shard_owner_handle_open (fixture->shard_owner, &open, &opened,
                                colt_clock_monotonic_us ());
  answer = colt_shard_opened_pack (&opened, &size);
  colt_wire_reply (fixture->owner_wire, origin, answer, size);
  free (answer);
  colt_shard_opened_clear (&opened);
  colt_shard_open_clear (&open);
}

void
colt_home_open_elsewhere (struct ColtHomeFixture *fixture, uint32_t shard)
{
  const uint64_t epoch
      = colt_requests_shard_epoch (colt_home_requests (fixture->home), shard);
  const struct ColtShardEpoch next = { shard, epoch + 1 };
  const struct ColtShardOpen open
      = { OWNER_INSTANCE, INCARNATION, 1, &next, 1 };
  struct ColtShardOpened opened;

  colt_shard_owner_handle_open (fixture->shard_owner, &open, &opened,
                                colt_clock_monotonic_us ());
  g_assert_cmpuint (opened.epoch_count, ==, 1);
  g_assert_cmpuint (opened.epochs[0].epoch, ==, epoch + 1);
  colt_shard_opened_clear (&opened);
}

static void
on_confirm_ (void *client,
             const struct ColtWireOrigin *origin,
             const uint8_t *body,
             size_t size)
{
  struct ColtHomeFixture *fixture = client;
  struct ColtShardConfirmed confirmed;
  struct ColtShardConfirm confirm;
  uint8_t *answer;

  g_assert_true (colt_shard_confirm_unpack (body, size, &confirm, NULL));
  colt_shard_owner_handle_confirm (fixture->shard_owner, &confirm, &confirmed,
                                   colt_clock_monotonic_us ());
  answer = colt_shard_confirmed_pack (&confirmed, &size);
  colt_wire_reply (fixture->owner_wire, origin, answer, size);
  free (answer);
  colt_shard_confirmed_clear (&confirmed);
  colt_shard_confirm_clear (&confirm);
}

static void
fill_report_ (const struct ColtReceivedStart *start,
              bool with_result,
              struct ColtTaskReport *report)
{
  memset (report, 0, sizeof *report);
  report->ref = start->ref;
  report->shard = colt_id_shard (&start->ref.request);
  report->shard_epoch = start->shard_epoch;
  report->state = COLT_TASK_FINISHED;
  if (!with_result)
    return;
  report->result = (const uint8_t *)result_text;
  report->result_size = strlen (result_text);
}

void
colt_home_send_event (struct ColtHomeFixture *fixture,
                      const struct ColtReceivedStart *start,
                      enum ColtTaskEventKind kind)
{
  ColtEventsWord batch = COLT_EVENTS_WORD__INIT;
  ColtTaskEvent event = COLT_TASK_EVENT__INIT;
  ColtTaskEvent *events = &event;
  struct ColtReportBuffer reported;
  struct ColtTaskReport report;
  struct ColtRefBuffer ref;
  uint8_t *body;
  size_t size;

  fill_report_ (start, !fixture->omits_results, &report);
  colt_ref_fill (&ref, &start->ref);
  colt_report_fill (&reported, &report);
  event.ref = &ref.msg;
  event.kind = kind;
  event.server = SERVER_ID;
  event.shard_epoch = start->shard_epoch;
  event.refusal = COLT_REFUSAL_FENCED;
  if (kind == COLT_TASK_EVENT_ENDED)
    event.report = &reported.msg;
  batch.events = &events;
  batch.n_events = 1;
  body = colt_message_pack (&batch.base, &size);
  colt_wire_send (fixture->owner_wire, HOME_INSTANCE, COLT_WIRE_PLACE_EVENTS,
                  body, size);
  free (body);
}

static void
reply_to_place_ (struct ColtHomeFixture *fixture,
                 const struct ColtWireOrigin *origin,
                 const ColtPlaceWord *place)
{
  ColtPlaceReply reply = COLT_PLACE_REPLY__INIT;
  ColtPlaceResult *results = g_new0 (ColtPlaceResult, place->n_starts);
  ColtPlaceResult **list = g_new0 (ColtPlaceResult *, place->n_starts);
  uint8_t *body;
  size_t size;
  size_t i;

  for (i = 0; i < place->n_starts; i++)
    {
      colt_place_result__init (&results[i]);
      results[i].ref = place->starts[i]->ref;
      results[i].accepted = fixture->mode != COLT_OWNER_REFUSES;
      results[i].refusal = fixture->refusal;
      list[i] = &results[i];
    }
  reply.results = list;
  reply.n_results = place->n_starts;
  body = colt_message_pack (&reply.base, &size);
  colt_wire_reply (fixture->owner_wire, origin, body, size);
  free (body);
  g_free (list);
  g_free (results);
}

static void
on_place_ (void *client,
           const struct ColtWireOrigin *origin,
           const uint8_t *body,
           size_t size)
{
  struct ColtHomeFixture *fixture = client;
  ColtPlaceWord *place = colt_place_word__unpack (NULL, size, body);
  size_t i;

  g_assert_nonnull (place);
  for (i = 0; i < place->n_starts; i++)
    {
      struct ColtReceivedStart start;

      g_assert_true (colt_ref_read (place->starts[i]->ref, &start.ref));
      start.shard_epoch = place->starts[i]->shard_epoch;
      g_assert_cmpuint (place->starts[i]->server, ==, SERVER_ID);
      g_assert_cmpuint (place->starts[i]->server_epoch, ==, SERVER_EPOCH);
      g_array_append_val (fixture->starts, start);
      if (fixture->mode == COLT_OWNER_ENDS_FIRST)
        {
          colt_home_send_event (fixture, &start, COLT_TASK_EVENT_STARTED);
          colt_home_send_event (fixture, &start, COLT_TASK_EVENT_ENDED);
        }
    }
  if (fixture->mode != COLT_OWNER_SENDS_NO_REPLY)
    reply_to_place_ (fixture, origin, place);
  colt_place_word__free_unpacked (place, NULL);
}

static const struct ColtReceivedStart *
find_start_ (const struct ColtHomeFixture *fixture,
             const struct ColtTaskRef *ref)
{
  guint i;

  for (i = 0; i < fixture->starts->len; i++)
    if (colt_task_equal (&colt_home_get_start (fixture, i)->ref, ref))
      return colt_home_get_start (fixture, i);
  return NULL;
}

static void
reply_to_query_ (struct ColtHomeFixture *fixture,
                 const struct ColtWireOrigin *origin,
                 const uint8_t *body,
                 size_t size)
{
  ColtQueryWord *query = colt_query_word__unpack (NULL, size, body);
  struct ColtReportBuffer *reported
      = g_new0 (struct ColtReportBuffer, query->n_items);
  ColtQueryResult *results = g_new0 (ColtQueryResult, query->n_items);
  ColtQueryResult **list = g_new0 (ColtQueryResult *, query->n_items);
  ColtQueryReply reply = COLT_QUERY_REPLY__INIT;
  struct ColtTaskReport report;
  struct ColtTaskRef ref;
  uint8_t *answer;
  size_t i;

  for (i = 0; i < query->n_items; i++)
    {
      g_assert_true (colt_ref_read (query->items[i]->ref, &ref));
      g_assert_nonnull (find_start_ (fixture, &ref));
      fill_report_ (find_start_ (fixture, &ref), query->want_results, &report);
      colt_report_fill (&reported[i], &report);
      colt_query_result__init (&results[i]);
      results[i].ref = query->items[i]->ref;
      results[i].stage = fixture->query_stage;
      if (fixture->query_stage == COLT_QUERY_ENDED)
        results[i].report = &reported[i].msg;
      list[i] = &results[i];
    }
  reply.results = list;
  reply.n_results = query->n_items;
  answer = colt_message_pack (&reply.base, &size);
  colt_wire_reply (fixture->owner_wire, origin, answer, size);
  free (answer);
  g_free (reported);
  g_free (results);
  g_free (list);
  colt_query_word__free_unpacked (query, NULL);
}

static void
on_query_ (void *client,
           const struct ColtWireOrigin *origin,
           const uint8_t *body,
           size_t size)
{
  struct ColtHomeFixture *fixture = client;

  fixture->queries++;
  if (!fixture->holds_queries)
    {
      reply_to_query_ (fixture, origin, body, size);
      return;
    }
  g_free (fixture->held_query);
  fixture->held_query = g_memdup2 (body, size);
  fixture->held_query_size = size;
  fixture->held_origin = *origin;
}

void
colt_home_reply_to_held_query (struct ColtHomeFixture *fixture)
{
  reply_to_query_ (fixture, &fixture->held_origin, fixture->held_query,
                   fixture->held_query_size);
}

static void
on_stop_ (void *client,
          const struct ColtWireOrigin *origin,
          const uint8_t *body,
          size_t size)
{
  struct ColtHomeFixture *fixture = client;

  (void)origin;
  (void)body;
  (void)size;
  fixture->stops++;
}

static void
on_answer_ (void *client,
            const struct ColtWireOrigin *origin,
            const uint8_t *body,
            size_t size)
{
  struct ColtHomeFixture *fixture = client;
  ColtAnswerWord *answer = colt_answer_word__unpack (NULL, size, body);

  g_assert_nonnull (answer);
  fixture->answers++;
  fixture->outcome = (enum ColtOutcome)answer->outcome;
  fixture->reason = (enum ColtReason)answer->reason;
  g_byte_array_set_size (fixture->result, 0);
  if (answer->n_tasks > 0)
    g_byte_array_append (fixture->result, answer->tasks[0]->result.data,
                         (guint)answer->tasks[0]->result.len);
  colt_wire_reply (fixture->gate_wire, origin, NULL, 0);
  colt_answer_word__free_unpacked (answer, NULL);
}

static void
leadership_changed_ (void *client, uint32_t shard, uint64_t epoch, bool led)
{
  (void)client;
  (void)shard;
  (void)epoch;
  (void)led;
}

static void
server_reported_ (void *client,
                  uint32_t shard,
                  uint32_t server,
                  uint32_t owner,
                  uint64_t server_epoch)
{
  (void)client;
  (void)shard;
  (void)server;
  (void)owner;
  (void)server_epoch;
}

static void
server_written_off_ (void *client, uint32_t server)
{
  (void)client;
  (void)server;
}

static void
store_request_ (void *client,
                const struct ColtId *id,
                const struct ColtRequestSpec *spec,
                void (*done) (void *done_client, bool stored, bool certain),
                void *done_client)
{
  struct ColtHomeFixture *fixture = client;

  (void)id;
  g_assert_true (spec->durable);
  fixture->store_done = done;
  fixture->store_done_client = done_client;
}

static void
record_outcome_ (void *client,
                 const struct ColtId *id,
                 enum ColtOutcome outcome)
{
  struct ColtHomeFixture *fixture = client;

  (void)id;
  (void)outcome;
  fixture->recorded_outcomes++;
}

static bool
find_outcome_ (void *client, const struct ColtId *id, enum ColtOutcome *outcome)
{
  (void)client;
  (void)id;
  (void)outcome;
  return false;
}

static void
load_requests_ (void *client,
                uint32_t shard,
                void (*add) (void *add_client,
                             const struct ColtId *id,
                             const struct ColtRequestSpec *spec),
                void *add_client)
{
  (void)client;
  (void)shard;
  (void)add;
  (void)add_client;
}

static const struct ColtHomeClient home_client
    = { leadership_changed_, server_reported_, server_written_off_,
        store_request_,      record_outcome_,  find_outcome_,
        load_requests_ };

static struct ColtBackendDriver *
make_no_driver_ (void *client, const char *address)
{
  (void)client;
  (void)address;
  g_assert_not_reached ();
}

static void
create_home_ (struct ColtHomeFixture *fixture)
{
  struct ColtOwnerParts owner_parts = { 0 };
  struct ColtHomeParts parts = { 0 };

  owner_parts.base = fixture->base;
  owner_parts.wire = fixture->wire;
  owner_parts.counters = fixture->counters;
  owner_parts.instance = HOME_INSTANCE;
  owner_parts.incarnation = INCARNATION;
  owner_parts.zone = 1;
  owner_parts.factory = make_no_driver_;
  fixture->local_owner = colt_owner_create (&owner_parts);
  parts.base = fixture->base;
  parts.wire = fixture->wire;
  parts.counters = fixture->counters;
  parts.owner = fixture->local_owner;
  parts.instance = HOME_INSTANCE;
  parts.incarnation = INCARNATION;
  parts.zone = 1;
  parts.seed = 1;
  fixture->home = colt_home_create (&parts, &home_client, fixture);
}

static void
create_owner_ (struct ColtHomeFixture *fixture)
{
  struct ColtShardTimes times;

  colt_shard_times_default (&times);
  fixture->shard_owner = colt_shard_owner_create (
      OWNER_INSTANCE, INCARNATION, &times, &shard_client, fixture);
  colt_shard_owner_add_server (fixture->shard_owner, SERVER_ID, SERVER_EPOCH,
                               NULL, 0, colt_clock_monotonic_us ());
  colt_wire_set_handler (fixture->owner_wire, COLT_WIRE_SHARD_OPEN, on_open_,
                         fixture);
  colt_wire_set_handler (fixture->owner_wire, COLT_WIRE_SHARD_CONFIRM,
                         on_confirm_, fixture);
  colt_wire_set_handler (fixture->owner_wire, COLT_WIRE_PLACE, on_place_,
                         fixture);
  colt_wire_set_handler (fixture->owner_wire, COLT_WIRE_PLACE_QUERY, on_query_,
                         fixture);
  colt_wire_set_handler (fixture->owner_wire, COLT_WIRE_PLACE_STOP, on_stop_,
                         fixture);
  colt_wire_set_handler (fixture->gate_wire, COLT_WIRE_REQUEST_ANSWER,
                         on_answer_, fixture);
}

static void
connect_wires_ (struct ColtHomeFixture *fixture)
{
  struct ColtWire *wires[]
      = { fixture->wire, fixture->owner_wire, fixture->gate_wire };
  char addresses[G_N_ELEMENTS (wires)][32];
  size_t i;
  size_t j;

  for (i = 0; i < G_N_ELEMENTS (wires); i++)
    {
      pick_free_address_ (addresses[i], sizeof addresses[i]);
      g_assert_true (colt_wire_listen (wires[i], addresses[i], NULL));
    }
  for (i = 0; i < G_N_ELEMENTS (wires); i++)
    for (j = 0; j < G_N_ELEMENTS (wires); j++)
      if (i != j)
        colt_wire_set_peer (wires[i], (uint32_t)j + 1, addresses[j]);
}

static void
send_digest_ (struct ColtHomeFixture *fixture)
{
  static const struct ColtResources capacity = { { 4000, 1000, 1, 4, 8 } };
  ColtDigestWord digest = COLT_DIGEST_WORD__INIT;
  ColtDigestServer server = COLT_DIGEST_SERVER__INIT;
  ColtDigestServer *servers = &server;
  struct ColtResourcesBuffer all;
  uint8_t *body;
  size_t size;

  colt_resources_fill (&all, &capacity);
  server.server = SERVER_ID;
  server.epoch = SERVER_EPOCH;
  server.rack = 1;
  server.capacity = &all.msg;
  server.free = &all.msg;
  server.probation_permille = 1000;
  server.speed_permille = COLT_SPEED_NORMAL;
  server.known_since_s = 1;
  digest.servers = &servers;
  digest.n_servers = 1;
  body = colt_message_pack (&digest.base, &size);
  colt_wire_send (fixture->owner_wire, HOME_INSTANCE, COLT_WIRE_PLACE_DIGEST,
                  body, size);
  free (body);
}

/* Repeats the digest, as owners do at an interval. */
static void
on_digest_timer_ (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  send_digest_ (data);
}

static bool
leads_all_shards_ (const struct ColtHomeFixture *fixture)
{
  const struct ColtShardLeader *shards = colt_home_shards (fixture->home);
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    if (colt_shard_leader_designated (shards, shard) == HOME_INSTANCE
        && !colt_shard_leader_is_active (shards, shard,
                                         colt_clock_monotonic_us ()))
      return false;
  return true;
}

void
colt_home_set_up (struct ColtHomeFixture *fixture, gconstpointer data)
{
  const uint32_t members[] = { HOME_INSTANCE, OWNER_INSTANCE };
  const uint32_t server = SERVER_ID;
  const struct timeval digest_interval = { 0, 100000 };

  (void)data;
  fixture->hang_limit_us = colt_clock_monotonic_us () + HANG_LIMIT_US;
  fixture->base = event_base_new ();
  fixture->counters = colt_counters_create ();
  fixture->wire = colt_wire_create (fixture->base, HOME_INSTANCE, 1);
  fixture->owner_wire = colt_wire_create (fixture->base, OWNER_INSTANCE, 1);
  fixture->gate_wire = colt_wire_create (fixture->base, GATE_INSTANCE, 1);
  fixture->starts
      = g_array_new (FALSE, FALSE, sizeof (struct ColtReceivedStart));
  fixture->result = g_byte_array_new ();
  create_home_ (fixture);
  create_owner_ (fixture);
  connect_wires_ (fixture);
  colt_home_set_servers (fixture->home, &server, 1);
  colt_home_set_members (fixture->home, members, G_N_ELEMENTS (members));
  RUN_UNTIL (fixture, leads_all_shards_ (fixture));
  fixture->digest_timer
      = event_new (fixture->base, -1, EV_PERSIST, on_digest_timer_, fixture);
  event_add (fixture->digest_timer, &digest_interval);
  RUN_UNTIL (fixture,
             colt_wire_received_count (fixture->wire, COLT_WIRE_PLACE_DIGEST)
                 > 0);
}

void
colt_home_tear_down (struct ColtHomeFixture *fixture, gconstpointer data)
{
  (void)data;
  event_free (fixture->digest_timer);
  colt_wire_destroy (fixture->wire);
  colt_wire_destroy (fixture->owner_wire);
  colt_wire_destroy (fixture->gate_wire);
  colt_home_destroy (fixture->home);
  colt_owner_destroy (fixture->local_owner);
  colt_shard_owner_destroy (fixture->shard_owner);
  colt_counters_destroy (fixture->counters);
  event_base_free (fixture->base);
  g_array_unref (fixture->starts);
  g_byte_array_unref (fixture->result);
  g_free (fixture->held_query);
}

void
colt_home_run_loop (struct ColtHomeFixture *fixture)
{
  g_assert_cmpint (colt_clock_monotonic_us (), <, fixture->hang_limit_us);
  event_base_loop (fixture->base, EVLOOP_ONCE);
}

const struct ColtReceivedStart *
colt_home_get_start (const struct ColtHomeFixture *fixture, guint index)
{
  g_assert_cmpuint (index, <, fixture->starts->len);
  return &g_array_index (fixture->starts, struct ColtReceivedStart, index);
}
