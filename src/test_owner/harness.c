#include "harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coltsfootstile/clock.h"

#define INCARNATION 500u
#define LEADER_INCARNATION 70u
#define CREDIT_OWNER 77u
#define CALL_TIMEOUT_MS 20000u
#define TEST_TIMEOUT_US (60 * COLT_US_PER_S)

/* Chooses a loopback address with a free port. */
static void
choose_free_address_ (char *text, size_t size)
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

static void
count_all_leases_lost_ (void *client)
{
  struct ColtOwnerFixture *fixture = client;

  fixture->all_leases_lost_count++;
}

static struct ColtBackendDriver *
get_driver_ (void *client, const char *address)
{
  struct ColtOwnerFixture *fixture = client;

  (void)address;
  return &fixture->server->driver;
}

static void
ignore_report_ (void *context, const struct ColtCreditReport *report)
{
  (void)context;
  (void)report;
}

static void
record_event_ (struct ColtFakeHome *home, const ColtTaskEvent *event)
{
  struct ColtReceivedEvent received = { 0 };

  g_assert_true (colt_ref_read (event->ref, &received.ref));
  received.kind = (enum ColtTaskEventKind)event->kind;
  received.refusal = (enum ColtPlacementRefusal)event->refusal;
  if (event->report != NULL)
    {
      struct ColtTaskReport report;

      g_assert_true (colt_report_read (event->report, &report));
      received.state = report.state;
      received.has_result = report.result != NULL;
    }
  g_array_append_val (home->events, received);
}

static void
receive_events_ (void *client,
                 const struct ColtWireOrigin *origin,
                 const uint8_t *body,
                 size_t size)
{
  struct ColtFakeHome *home = client;
  ColtEventsWord *message = colt_events_word__unpack (NULL, size, body);
  size_t i;

  g_assert_nonnull (message);
  if (home->ignores_events)
    home->ignored_count++;
  else
    {
      for (i = 0; i < message->n_events; i++)
        record_event_ (home, message->events[i]);
      colt_wire_reply (home->wire, origin, NULL, 0);
    }
  colt_events_word__free_unpacked (message, NULL);
}

static void
create_home_ (struct ColtOwnerFixture *fixture,
              struct ColtFakeHome *home,
              uint32_t instance,
              const char *owner_address)
{
  char address[32];

  choose_free_address_ (address, sizeof address);
  home->events = g_array_new (FALSE, FALSE, sizeof (struct ColtReceivedEvent));
  home->wire = colt_wire_create (fixture->base, instance, 1);
  colt_wire_set_handler (home->wire, COLT_WIRE_PLACE_EVENTS, receive_events_,
                         home);
  g_assert_true (colt_wire_listen (home->wire, address, NULL));
  colt_wire_set_peer (home->wire, OWNER_INSTANCE, owner_address);
  colt_wire_set_peer (fixture->wire, instance, address);
}

void
colt_owner_set_up (struct ColtOwnerFixture *fixture, gconstpointer data)
{
  const struct ColtListServer listed
      = { SERVER_ID, 1, 1, "127.0.0.1:1", COLT_LIST_LIVE };
  const uint32_t member = OWNER_INSTANCE;
  struct ColtOwnerParts parts = { 0 };
  char address[32];

  (void)data;
  choose_free_address_ (address, sizeof address);
  fixture->deadline_us = colt_clock_monotonic_us () + TEST_TIMEOUT_US;
  fixture->base = event_base_new ();
  fixture->wire = colt_wire_create (fixture->base, OWNER_INSTANCE, 1);
  fixture->counters = colt_counters_create ();
  fixture->server = colt_fake_server_create (fixture->base, SERVER_ID);
  fixture->credits
      = colt_credit_holder_create (CREDIT_OWNER, 0, ignore_report_, fixture);
  parts.base = fixture->base;
  parts.wire = fixture->wire;
  parts.counters = fixture->counters;
  parts.instance = OWNER_INSTANCE;
  parts.incarnation = INCARNATION;
  parts.zone = 1;
  parts.factory = get_driver_;
  parts.factory_client = fixture;
  parts.all_leases_lost = count_all_leases_lost_;
  parts.all_leases_lost_client = fixture;
  fixture->owner = colt_owner_create (&parts);
  colt_owner_set_credits (fixture->owner, fixture->credits);
  g_assert_true (colt_wire_listen (fixture->wire, address, NULL));
  create_home_ (fixture, &fixture->home, HOME_INSTANCE, address);
  create_home_ (fixture, &fixture->other_home, OTHER_HOME_INSTANCE, address);
  colt_owner_set_members (fixture->owner, &member, 1);
  colt_owner_set_servers (fixture->owner, &listed, 1);
  RUN_UNTIL (fixture,
             colt_owner_server_info (fixture).state == COLT_LEASE_HELD);
  colt_owner_open_sessions (fixture);
  colt_owner_grant_credits (fixture, 100);
}

void
colt_owner_tear_down (struct ColtOwnerFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_wire_destroy (fixture->home.wire);
  colt_wire_destroy (fixture->other_home.wire);
  colt_wire_destroy (fixture->wire);
  colt_owner_destroy (fixture->owner);
  colt_credit_holder_destroy (fixture->credits);
  colt_fake_server_destroy (fixture->server);
  colt_counters_destroy (fixture->counters);
  event_base_free (fixture->base);
  g_array_unref (fixture->home.events);
  g_array_unref (fixture->other_home.events);
}

void
colt_owner_run_loop_once (struct ColtOwnerFixture *fixture)
{
  g_assert_cmpint (colt_clock_monotonic_us (), <, fixture->deadline_us);
  event_base_loop (fixture->base, EVLOOP_ONCE);
}

void
colt_owner_open_sessions (struct ColtOwnerFixture *fixture)
{
  struct ColtShardOwner *shards = colt_owner_shards (fixture->owner);
  struct ColtShardEpoch epochs[COLT_SHARD_COUNT];
  struct ColtShardOpen open
      = { HOME_INSTANCE, LEADER_INCARNATION, 1, epochs, COLT_SHARD_COUNT };
  const uint32_t view = SERVER_ID;
  struct ColtShardConfirm confirm = { 0 };
  struct ColtShardOpened opened;
  struct ColtShardConfirmed confirmed;
  uint32_t shard;

  fixture->shard_epoch = ++fixture->epoch_counter << 16 | HOME_INSTANCE;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      epochs[shard].shard = shard;
      epochs[shard].epoch = fixture->shard_epoch;
      colt_owner_set_leader (fixture->owner, shard, HOME_INSTANCE);
    }
  colt_shard_owner_handle_open (shards, &open, &opened,
                                colt_clock_monotonic_us ());
  confirm.leader = HOME_INSTANCE;
  confirm.incarnation = LEADER_INCARNATION;
  confirm.owner_incarnation = INCARNATION;
  confirm.version = opened.version;
  confirm.echo = opened.stamp;
  confirm.shards = UINT64_MAX;
  confirm.view = &view;
  confirm.view_count = 1;
  colt_shard_opened_clear (&opened);
  colt_shard_owner_handle_confirm (shards, &confirm, &confirmed,
                                   colt_clock_monotonic_us ());
  colt_shard_confirmed_clear (&confirmed);
}

void
colt_owner_grant_credits (struct ColtOwnerFixture *fixture, int64_t tasks)
{
  struct ColtCreditGrant *grant = colt_credit_grant_create (0, 1, 0);

  grant->owner = CREDIT_OWNER;
  grant->shard = colt_team_shard (TEAM);
  grant->epoch = fixture->shard_epoch;
  grant->recount = true;
  g_strlcpy (grant->items[0].team, TEAM, sizeof grant->items[0].team);
  grant->items[0].sequence = ++fixture->credit_sequence;
  grant->items[0].ceiling.amount[COLT_QUOTA_TASKS] = tasks;
  grant->items[0].ceiling.amount[COLT_QUOTA_CORES] = COLT_QUOTA_UNLIMITED;
  grant->items[0].ceiling.amount[COLT_QUOTA_ACCELERATORS]
      = COLT_QUOTA_UNLIMITED;
  g_assert_true (
      colt_credit_holder_handle_grant (fixture->credits, grant, NULL));
  colt_credit_grant_destroy (grant);
  colt_owner_start_credit_waiters (fixture->owner);
}

static void
copy_info_ (void *client, const struct ColtOwnedServerInfo *info)
{
  *(struct ColtOwnedServerInfo *)client = *info;
}

struct ColtOwnedServerInfo
colt_owner_server_info (const struct ColtOwnerFixture *fixture)
{
  struct ColtOwnedServerInfo info = { 0 };

  colt_owner_visit_servers (fixture->owner, copy_info_, &info);
  return info;
}

struct ColtTaskRef
colt_owner_make_ref (uint8_t number)
{
  const uint8_t random[10] = { number };
  struct ColtTaskRef ref = { colt_id_mint (1, 1000, random), 0, 1 };

  return ref;
}

struct ColtResources
colt_owner_small_demand (void)
{
  const struct ColtResources demand = { { 500, 100, 0, 1, 1 } };

  return demand;
}

static void
finish_place_ (void *client,
               enum ColtWireResult result,
               const uint8_t *body,
               size_t size)
{
  struct ColtHomeCall *call = client;
  ColtPlaceReply *reply;

  call->done = true;
  call->result = result;
  if (result != COLT_WIRE_REPLIED)
    return;
  reply = colt_place_reply__unpack (NULL, size, body);
  g_assert_nonnull (reply);
  g_assert_cmpuint (reply->n_results, ==, 1);
  call->accepted = reply->results[0]->accepted;
  call->refusal = (enum ColtPlacementRefusal)reply->results[0]->refusal;
  colt_place_reply__free_unpacked (reply, NULL);
}

static void
send_call_ (struct ColtOwnerFixture *fixture,
            uint32_t kind,
            const ProtobufCMessage *message,
            ColtWireCallDone reply,
            struct ColtHomeCall *call)
{
  size_t size;
  uint8_t *body = colt_message_pack (message, &size);

  colt_wire_call (fixture->home.wire, OWNER_INSTANCE, kind, body, size,
                  CALL_TIMEOUT_MS, reply, call);
  free (body);
  RUN_UNTIL (fixture, call->done);
  g_assert_cmpint (call->result, ==, COLT_WIRE_REPLIED);
}

struct ColtHomeCall
colt_owner_place (struct ColtOwnerFixture *fixture,
                  const struct ColtTaskRef *ref,
                  const struct ColtResources *demand)
{
  struct ColtHomeCall call = { 0 };
  ColtPlaceWord message = COLT_PLACE_WORD__INIT;
  ColtPlaceStart start = COLT_PLACE_START__INIT;
  ColtPlaceStart *starts = &start;
  struct ColtRefBuffer ref_buffer;
  struct ColtResourcesBuffer demand_buffer;

  colt_ref_fill (&ref_buffer, ref);
  colt_resources_fill (&demand_buffer, demand);
  start.ref = &ref_buffer.msg;
  start.shard = colt_id_shard (&ref->request);
  start.shard_epoch = fixture->shard_epoch;
  start.server = SERVER_ID;
  start.server_epoch = colt_owner_server_info (fixture).epoch;
  start.team = (char *)TEAM;
  start.kind = COLT_WORK_BATCH;
  start.demand = &demand_buffer.msg;
  message.starts = &starts;
  message.n_starts = 1;
  send_call_ (fixture, COLT_WIRE_PLACE, &message.base, finish_place_, &call);
  return call;
}

void
colt_owner_place_accepted (struct ColtOwnerFixture *fixture,
                           const struct ColtTaskRef *ref)
{
  const struct ColtResources demand = colt_owner_small_demand ();

  g_assert_true (colt_owner_place (fixture, ref, &demand).accepted);
}

static void
finish_stop_ (void *client,
              enum ColtWireResult result,
              const uint8_t *body,
              size_t size)
{
  struct ColtHomeCall *call = client;

  (void)body;
  (void)size;
  call->done = true;
  call->result = result;
}

void
colt_owner_request_stop (struct ColtOwnerFixture *fixture,
                         const struct ColtTaskRef *ref)
{
  struct ColtHomeCall call = { 0 };
  ColtStopWord message = COLT_STOP_WORD__INIT;
  ColtStopItem item = COLT_STOP_ITEM__INIT;
  ColtStopItem *items = &item;
  struct ColtRefBuffer ref_buffer;

  colt_ref_fill (&ref_buffer, ref);
  item.ref = &ref_buffer.msg;
  item.server = SERVER_ID;
  message.items = &items;
  message.n_items = 1;
  send_call_ (fixture, COLT_WIRE_PLACE_STOP, &message.base, finish_stop_,
              &call);
}

static void
finish_query_ (void *client,
               enum ColtWireResult result,
               const uint8_t *body,
               size_t size)
{
  struct ColtHomeCall *call = client;
  ColtQueryReply *reply;

  call->done = true;
  call->result = result;
  if (result != COLT_WIRE_REPLIED)
    return;
  reply = colt_query_reply__unpack (NULL, size, body);
  g_assert_nonnull (reply);
  g_assert_cmpuint (reply->n_results, ==, 1);
  call->stage = (enum ColtQueryStage)reply->results[0]->stage;
  call->has_result = reply->results[0]->report != NULL
                     && reply->results[0]->report->result_known;
  colt_query_reply__free_unpacked (reply, NULL);
}

struct ColtHomeCall
colt_owner_query (struct ColtOwnerFixture *fixture,
                  const struct ColtTaskRef *ref,
                  bool fetch_result)
{
  struct ColtHomeCall call = { 0 };
  ColtQueryWord message = COLT_QUERY_WORD__INIT;
  ColtQueryItem item = COLT_QUERY_ITEM__INIT;
  ColtQueryItem *items = &item;
  struct ColtRefBuffer ref_buffer;

  colt_ref_fill (&ref_buffer, ref);
  item.ref = &ref_buffer.msg;
  item.server = SERVER_ID;
  item.server_epoch = colt_owner_server_info (fixture).epoch;
  message.items = &items;
  message.n_items = 1;
  message.want_results = fetch_result;
  send_call_ (fixture, COLT_WIRE_PLACE_QUERY, &message.base, finish_query_,
              &call);
  return call;
}

unsigned
colt_owner_count_events (const struct ColtFakeHome *home,
                         const struct ColtTaskRef *ref,
                         enum ColtTaskEventKind kind)
{
  unsigned count = 0;
  guint i;

  for (i = 0; i < home->events->len; i++)
    {
      const struct ColtReceivedEvent *received
          = &g_array_index (home->events, struct ColtReceivedEvent, i);

      count += received->kind == kind && colt_task_equal (&received->ref, ref);
    }
  return count;
}

const struct ColtReceivedEvent *
colt_owner_last_event (const struct ColtFakeHome *home,
                       const struct ColtTaskRef *ref)
{
  guint i;

  for (i = home->events->len; i > 0; i--)
    {
      const struct ColtReceivedEvent *received
          = &g_array_index (home->events, struct ColtReceivedEvent, i - 1);

      if (colt_task_equal (&received->ref, ref))
        return received;
    }
  return NULL;
}

int
colt_owner_count_starts (const struct ColtOwnerFixture *fixture,
                         const struct ColtTaskRef *ref)
{
  const struct ColtFakeTask *task
      = colt_fake_server_find_task (fixture->server, ref);

  return task == NULL ? 0 : task->start_count;
}

void
colt_owner_add_test (const char *path,
                     void (*test) (struct ColtOwnerFixture *fixture,
                                   gconstpointer data))
{
  g_test_add (path, struct ColtOwnerFixture, NULL, colt_owner_set_up, test,
              colt_owner_tear_down);
}
