#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "instance.h"

/* Highest number of requests in a dump. */
#define DUMP_REQUESTS_MAX 1000u

/* A section of the state dump. */
struct ColtDump
{
  const char *name;
  json_t *(*make) (struct ColtInstance *instance);
};

static json_t *dump_instance_ (struct ColtInstance *instance);
static json_t *dump_bundle_ (struct ColtInstance *instance);
static json_t *dump_log_ (struct ColtInstance *instance);
static json_t *dump_list_ (struct ColtInstance *instance);
static json_t *dump_leases_ (struct ColtInstance *instance);
static json_t *dump_shards_ (struct ColtInstance *instance);
static json_t *dump_requests_ (struct ColtInstance *instance);
static json_t *dump_peers_ (struct ColtInstance *instance);
static json_t *dump_servers_ (struct ColtInstance *instance);
static json_t *dump_wire_ (struct ColtInstance *instance);
static json_t *dump_quota_ (struct ColtInstance *instance);
static void add_lease_ (void *client, const struct ColtOwnedServerInfo *info);
static void add_request_ (void *client, const struct ColtRequest *request);
static void add_peer_ (void *client, const struct ColtMember *member);
static void add_server_ (void *client, const struct ColtServerDigest *digest);
static json_t *make_resources_ (const struct ColtResources *resources);
static json_t *dump_all_ (struct ColtInstance *instance);
static void send_json_ (struct evhttp_request *http, int code, json_t *body);
static void send_text_ (struct evhttp_request *http,
                        int code,
                        const char *type,
                        const char *text);

static const struct ColtDump dumps[] = {
  { "instance", dump_instance_ }, { "bundle", dump_bundle_ },
  { "log", dump_log_ },           { "list", dump_list_ },
  { "leases", dump_leases_ },     { "shards", dump_shards_ },
  { "requests", dump_requests_ }, { "peers", dump_peers_ },
  { "servers", dump_servers_ },   { "wire", dump_wire_ },
  { "quota", dump_quota_ },
};

bool
colt_instance_serve (void *client,
                     struct evhttp_request *http,
                     const char *path)
{
  struct ColtInstance *instance = client;
  size_t i;

  if (strcmp (path, "/metrics") == 0)
    {
      char *text = colt_counters_format (instance->counters);

      send_text_ (http, 200, "text/plain; version=0.0.4", text);
      free (text);
      return true;
    }
  if (strcmp (path, "/v1/health") == 0)
    {
      send_json_ (http,
                  colt_instance_state (instance) == COLT_INSTANCE_READY ? 200
                                                                        : 503,
                  dump_instance_ (instance));
      return true;
    }
  if (strcmp (path, "/v1/state") == 0)
    {
      send_json_ (http, 200, dump_all_ (instance));
      return true;
    }
  if (!g_str_has_prefix (path, "/v1/state/"))
    return false;
  path += strlen ("/v1/state/");
  for (i = 0; i < G_N_ELEMENTS (dumps); i++)
    if (strcmp (path, dumps[i].name) == 0)
      {
        send_json_ (http, 200, dumps[i].make (instance));
        return true;
      }
  return false;
}

static json_t *
dump_instance_ (struct ColtInstance *instance)
{
  return json_pack (
      "{s:I,s:I,s:I,s:s,s:I,s:s}", "number", (json_int_t)instance->number,
      "zone", (json_int_t)instance->zone, "incarnation",
      (json_int_t)instance->incarnation, "state",
      colt_instance_state_string[colt_instance_state (instance)],
      "open_callers", (json_int_t)colt_gate_open_count (instance->gate),
      "version", COLT_VERSION);
}

static json_t *
dump_bundle_ (struct ColtInstance *instance)
{
  return colt_instance_bundles_dump (instance->bundles);
}

static json_t *
dump_log_ (struct ColtInstance *instance)
{
  struct ColtLogWriterStats writer;
  struct ColtLogReaderStats reader;

  colt_log_client_get_stats (instance->log, &writer, &reader);
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:b,s:I}", "next",
      (json_int_t)reader.next, "head", (json_int_t)reader.head, "records_read",
      (json_int_t)reader.records, "duplicates", (json_int_t)reader.duplicates,
      "read_failures", (json_int_t)reader.failures, "appends",
      (json_int_t)writer.appends, "records_written", (json_int_t)writer.records,
      "queued", (json_int_t)writer.queued, "read_failing", (int)reader.failing,
      "jobs_open", (json_int_t)colt_instance_jobs_count (instance->jobs));
}

static json_t *
dump_list_ (struct ColtInstance *instance)
{
  const struct ColtInstanceList *list = colt_list_poller_get (instance->list);
  struct ColtListPollerStats stats;

  colt_list_poller_get_stats (instance->list, &stats);
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I}", "version",
      (json_int_t)(list != NULL ? list->version : 0), "entries",
      (json_int_t)(list != NULL ? list->entry_count : 0), "servers",
      (json_int_t)(list != NULL ? list->server_count : 0), "fetches",
      (json_int_t)stats.fetches, "failures", (json_int_t)stats.failures);
}

static json_t *
dump_leases_ (struct ColtInstance *instance)
{
  json_t *items = json_array ();

  colt_owner_visit_servers (instance->owner, add_lease_, items);
  return items;
}

static json_t *
dump_shards_ (struct ColtInstance *instance)
{
  const struct ColtShardLeader *leader = colt_home_shards (instance->home);
  json_t *items = json_array ();
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      json_t *item = json_pack (
          "{s:I,s:I,s:s,s:I,s:I,s:I}", "shard", (json_int_t)shard, "choice",
          (json_int_t)colt_shard_leader_designated (leader, shard), "state",
          colt_shard_state_string[colt_shard_leader_state (leader, shard)],
          "epoch", (json_int_t)colt_shard_leader_epoch (leader, shard),
          "missing",
          (json_int_t)colt_shard_leader_count_missing (leader, shard),
          "promised",
          (json_int_t)colt_shard_owner_promised_epoch (
              colt_owner_shards (instance->owner), shard));

      json_array_append_new (items, item);
    }
  return items;
}

static json_t *
dump_requests_ (struct ColtInstance *instance)
{
  const struct ColtRequests *requests = colt_home_requests (instance->home);
  struct ColtRequestStats stats;
  json_t *items = json_array ();

  colt_requests_get_stats (requests, &stats);
  colt_requests_visit (requests, add_request_, items);
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "open", (json_int_t)stats.open,
      "recovered", (json_int_t)stats.recovered, "waiting",
      (json_int_t)stats.waiting, "sent", (json_int_t)stats.sent, "running",
      (json_int_t)stats.running, "kept", (json_int_t)stats.kept,
      "payload_bytes", (json_int_t)stats.payload_bytes, "result_bytes",
      (json_int_t)stats.result_bytes, "items", items);
}

static json_t *
dump_peers_ (struct ColtInstance *instance)
{
  json_t *items = json_array ();

  colt_membership_visit (instance->membership, add_peer_, items);
  return items;
}

static json_t *
dump_servers_ (struct ColtInstance *instance)
{
  json_t *items = json_array ();

  colt_placement_visit_servers (colt_home_placement (instance->home),
                                add_server_, items);
  return items;
}

static json_t *
dump_wire_ (struct ColtInstance *instance)
{
  struct ColtWireStats stats;
  json_t *kinds = json_object ();
  uint32_t kind;

  for (kind = 0; kind < COLT_WIRE_KIND_MAX; kind++)
    {
      uint64_t received = colt_wire_received_count (instance->wire, kind);
      char name[16];

      g_snprintf (name, sizeof name, "%u", kind);
      if (received > 0)
        json_object_set_new (kinds, name, json_integer ((json_int_t)received));
    }
  colt_wire_get_stats (instance->wire, &stats);
  return json_pack ("{s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "received_by_kind",
                    kinds, "bytes_sent", (json_int_t)stats.bytes_sent,
                    "bytes_received", (json_int_t)stats.bytes_received,
                    "frames_sent", (json_int_t)stats.frames_sent,
                    "frames_received", (json_int_t)stats.frames_received,
                    "bad_frames", (json_int_t)stats.bad_frames, "connections",
                    (json_int_t)stats.connections, "open_calls",
                    (json_int_t)stats.open_calls);
}

static json_t *
dump_quota_ (struct ColtInstance *instance)
{
  return colt_instance_limits_dump (instance->limits);
}

static void
add_lease_ (void *client, const struct ColtOwnedServerInfo *info)
{
  int64_t left_us = info->lease_end_us - colt_clock_monotonic_us ();
  json_t *item = json_pack (
      "{s:I,s:s,s:I,s:s,s:I,s:I,s:I,s:o,s:o,s:b,s:I,s:I,s:I,s:I}", "server",
      (json_int_t)info->server, "address", info->address, "rack",
      (json_int_t)info->rack, "state", colt_lease_state_string[info->state],
      "epoch", (json_int_t)info->epoch, "holder", (json_int_t)info->holder,
      "lease_left_ms",
      (json_int_t)(info->lease_end_us > 0 ? left_us / COLT_US_PER_MS : 0),
      "capacity", make_resources_ (&info->capacity), "free",
      make_resources_ (&info->free), "leaving", (int)info->leaving, "running",
      (json_int_t)info->running, "queued", (json_int_t)info->queued,
      "probation_permille", (json_int_t)info->probation_permille, "failures",
      (json_int_t)info->failures);

  json_array_append_new (client, item);
}

static void
add_request_ (void *client, const struct ColtRequest *request)
{
  char text[COLT_ID_TEXT_SIZE];

  if (json_array_size (client) >= DUMP_REQUESTS_MAX
      || request->outcome != COLT_OUTCOME_PENDING)
    return;
  json_array_append_new (
      client, json_pack ("{s:s,s:s,s:s,s:I,s:I,s:b}", "id",
                         colt_id_format (&request->id, text), "team",
                         request->spec.team, "kind",
                         colt_work_kind_string[request->spec.kind], "tasks",
                         (json_int_t)request->spec.tasks, "open_tasks",
                         (json_int_t)request->open_tasks, "recovered",
                         (int)request->recovered));
}

static void
add_peer_ (void *client, const struct ColtMember *member)
{
  json_array_append_new (
      client, json_pack ("{s:I,s:I,s:s,s:s,s:I}", "instance",
                         (json_int_t)member->instance, "zone",
                         (json_int_t)member->zone, "address", member->address,
                         "state", colt_member_state_string[member->state],
                         "incarnation", (json_int_t)member->incarnation));
}

static void
add_server_ (void *client, const struct ColtServerDigest *digest)
{
  json_array_append_new (
      client,
      json_pack ("{s:I,s:I,s:I,s:I,s:o,s:b,s:I,s:I}", "server",
                 (json_int_t)digest->server, "owner", (json_int_t)digest->owner,
                 "epoch", (json_int_t)digest->epoch, "rack",
                 (json_int_t)digest->rack, "free",
                 make_resources_ (&digest->free), "leaving",
                 (int)digest->leaving, "probation_permille",
                 (json_int_t)digest->probation_permille, "speed_permille",
                 (json_int_t)digest->speed_permille));
}

static json_t *
make_resources_ (const struct ColtResources *resources)
{
  json_t *object = json_object ();
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    json_object_set_new (object, colt_resource_string[i],
                         json_integer (resources->amount[i]));
  return object;
}

static json_t *
dump_all_ (struct ColtInstance *instance)
{
  json_t *all = json_object ();
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (dumps); i++)
    json_object_set_new (all, dumps[i].name, dumps[i].make (instance));
  return all;
}

static void
send_json_ (struct evhttp_request *http, int code, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  send_text_ (http, code, "application/json", text);
  free (text);
  json_decref (body);
}

static void
send_text_ (struct evhttp_request *http,
            int code,
            const char *type,
            const char *text)
{
  struct evbuffer *buffer = evbuffer_new ();

  evbuffer_add (buffer, text, strlen (text));
  evhttp_add_header (evhttp_request_get_output_headers (http), "Content-Type",
                     type);
  evhttp_send_reply (http, code, NULL, buffer);
  evbuffer_free (buffer);
}
