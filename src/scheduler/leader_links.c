#include <string.h>

#include "coltsfootstile/guard.h"
#include "leader_private.h"

/* Pause and longest wait of reads of the servers' entries, since entries change
 * about every second and draining must be noticed within two seconds. */
#define SERVERS_PAUSE_MS 300
#define SERVERS_WAIT_MS 1000
#define MODULE "lead"

/* Ends of runs in one report that aren't durable yet. */
struct ColtPendingEnds
{
  struct ColtLeader *leader;
  char *server;
  int64_t incarnation_ms;
  uint64_t number; /* of the last end */
};

static void handle_server_record_ (void *client,
                                   const struct ColtLogRecord *record);
static void unlist_missing_servers_ (void *client);
static void update_server_ (void *client, const struct ColtServerEntry *entry);
static struct ColtServerLink *open_link_ (struct ColtLeader *leader,
                                          const struct ColtServerEntry *entry);
static bool may_replace_link_ (const struct ColtLeader *leader,
                               const struct ColtServerLink *link,
                               const struct ColtServerEntry *entry);
static void unlist_server_ (struct ColtLeader *leader, const char *id);
static struct ColtLeader *get_leader_ (void *client);
static void handle_report_ (void *client,
                            struct ColtServerLink *link,
                            const struct ColtServerReport *report);
static void ack_durable_ends_ (void *client, bool durable);
static void handle_start_result_ (void *client,
                                  struct ColtServerLink *link,
                                  const char *task,
                                  uint32_t run,
                                  enum ColtStartResult result,
                                  uint64_t next_call);
static void handle_stop_result_ (void *client,
                                 struct ColtServerLink *link,
                                 const char *task,
                                 uint32_t run,
                                 bool answered,
                                 uint64_t next_call);
static void handle_unreachable_ (void *client, struct ColtServerLink *link);
static void handle_runs_lost_ (void *client,
                               struct ColtServerLink *link,
                               const struct ColtServerLoss *loss);
static void handle_server_fenced_ (void *client, struct ColtServerLink *link);
static int64_t renewable_until_us_ (void *client);
static size_t count_runs_ (void *client, const char *server);
static bool has_tight_runs_ (void *client, const char *server);
static bool
may_start_ (void *client, const char *server, const char *task, uint32_t run);

void
colt_leader_watch_servers (struct ColtLeader *leader)
{
  const struct ColtWatchClient watch_client
      = { handle_server_record_, unlist_missing_servers_, leader };
  const struct ColtWatchTimes times = { SERVERS_WAIT_MS, SERVERS_PAUSE_MS };

  leader->server_watch = colt_watch_create (
      leader->base, leader->ports, COLT_TOPIC_SERVERS, &times, &watch_client);
}

static void
handle_server_record_ (void *client, const struct ColtLogRecord *record)
{
  struct ColtLeader *leader = client;
  struct ColtError error;

  if (record->value == NULL)
    {
      unlist_server_ (leader, record->key);
      return;
    }
  if (!leader->ports->decode_server (leader->ports->adapter, record,
                                     update_server_, leader, &error))
    {
      if (colt_watch_is_new (leader->server_watch, record))
        colt_log (COLT_LOG_WARNING, MODULE, NULL,
                  "the entry of server %s is malformed; unlisting it: %s",
                  record->key, error.message);
      unlist_server_ (leader, record->key);
    }
}

/* Unlists the servers without an entry in a full read of the topic. */
static void
unlist_missing_servers_ (void *client)
{
  struct ColtLeader *leader = client;
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&i, leader->links);
  while (g_hash_table_iter_next (&i, &key, &value))
    if (!g_hash_table_contains (leader->listed_ids, key))
      {
        colt_cell_unlist_server (leader->cell, key);
        colt_server_link_set_listed (value, false);
      }
  g_hash_table_remove_all (leader->listed_ids);
}

static void
update_server_ (void *client, const struct ColtServerEntry *entry)
{
  struct ColtLeader *leader = client;
  struct ColtServerLink *link = g_hash_table_lookup (leader->links, entry->id);

  if (!colt_watch_is_synced (leader->server_watch))
    g_hash_table_add (leader->listed_ids, g_strdup (entry->id));
  if (link != NULL
      && strcmp (colt_server_link_address (link), entry->address) != 0)
    {
      if (!may_replace_link_ (leader, link, entry))
        {
          colt_log (COLT_LOG_WARNING, MODULE, NULL,
                    "the entry of server %s has another address, %s, but no "
                    "later start; keeping %s while it may have runs",
                    entry->id, entry->address, colt_server_link_address (link));
          return;
        }
      colt_cell_replace_server (leader->cell, entry->id,
                                colt_clock_monotonic_us ());
      g_hash_table_remove (leader->links, entry->id);
      link = NULL;
    }
  colt_cell_set_server (leader->cell, entry, colt_clock_monotonic_us ());
  if (link == NULL)
    link = open_link_ (leader, entry);
  colt_server_link_set_listed (link, true);
  colt_leader_update_evacuated (leader, link);
  colt_server_link_set_entry_start (link, entry->incarnation_ms);
}

static struct ColtServerLink *
open_link_ (struct ColtLeader *leader, const struct ColtServerEntry *entry)
{
  struct ColtLinkClient *link_client = g_new0 (struct ColtLinkClient, 1);
  const struct ColtServerLinkClient client = { handle_report_,
                                               handle_start_result_,
                                               handle_stop_result_,
                                               handle_unreachable_,
                                               handle_runs_lost_,
                                               handle_server_fenced_,
                                               colt_leader_handle_suspected,
                                               renewable_until_us_,
                                               count_runs_,
                                               has_tight_runs_,
                                               may_start_,
                                               link_client };
  const struct ColtServerLinkSettings settings
      = { leader->term,
          colt_leader_lease_ms (leader),
          leader->settings->lease_max_ms,
          colt_leader_inherited_until_us (leader),
          leader->window,
          leader->suspicion };
  struct ColtServerLink *link = colt_server_link_create (
      leader->ports, &settings, entry->id, entry->address, &client);

  link_client->leader = leader;
  link_client->server = colt_cell_server (leader->cell, entry->id);
  colt_cell_set_suspected (leader->cell, entry->id, false);
  g_ptr_array_add (leader->link_clients, link_client);
  g_hash_table_insert (leader->links, (gpointer)colt_server_link_id (link),
                       link);
  return link;
}

/* Only a later start is evidence that nothing runs at the former address. */
static bool
may_replace_link_ (const struct ColtLeader *leader,
                   const struct ColtServerLink *link,
                   const struct ColtServerEntry *entry)
{
  return !colt_guard_on (COLT_GUARD_ADDRESS)
         || entry->incarnation_ms
                > MAX (colt_server_link_incarnation_ms (link),
                       colt_cell_incarnation_ms (leader->cell, entry->id))
         || !colt_cell_may_have_runs (leader->cell, entry->id);
}

static void
unlist_server_ (struct ColtLeader *leader, const char *id)
{
  struct ColtServerLink *link = g_hash_table_lookup (leader->links, id);

  colt_cell_unlist_server (leader->cell, id);
  if (link != NULL)
    colt_server_link_set_listed (link, false);
}

static struct ColtLeader *
get_leader_ (void *client)
{
  const struct ColtLinkClient *link_client = client;

  return link_client->leader;
}

/* The server may forget ends of runs only once they are durable. */
static void
handle_report_ (void *client,
                struct ColtServerLink *link,
                const struct ColtServerReport *report)
{
  struct ColtLeader *leader = get_leader_ (client);
  int64_t began_us = colt_clock_monotonic_us ();
  struct ColtPendingEnds *ends;

  colt_cell_apply_report (leader->cell, colt_server_link_id (link), report,
                          began_us);
  colt_load_meter_add (&leader->meter, LOAD_REPORTS, began_us);
  colt_leader_schedule_placement (leader);
  if (report->finished_count == 0)
    return;
  ends = g_new0 (struct ColtPendingEnds, 1);
  ends->leader = leader;
  ends->server = g_strdup (colt_server_link_id (link));
  ends->incarnation_ms = colt_server_link_incarnation_ms (link);
  ends->number = report->finished[report->finished_count - 1].number;
  colt_commit_wait (leader->commit, ack_durable_ends_, ends);
}

static void
ack_durable_ends_ (void *client, bool durable)
{
  struct ColtPendingEnds *ends = client;
  struct ColtServerLink *link
      = g_hash_table_lookup (ends->leader->links, ends->server);

  if (durable && link != NULL)
    colt_server_link_ack_ends (link, ends->incarnation_ms, ends->number);
  g_free (ends->server);
  g_free (ends);
}

static void
handle_start_result_ (void *client,
                      struct ColtServerLink *link,
                      const char *task,
                      uint32_t run,
                      enum ColtStartResult result,
                      uint64_t next_call)
{
  struct ColtLeader *leader = get_leader_ (client);
  int64_t began_us = colt_clock_monotonic_us ();

  colt_cell_apply_start_result (leader->cell, colt_server_link_id (link), task,
                                run, result, next_call, began_us);
  colt_load_meter_add (&leader->meter, LOAD_ORDERS, began_us);
  if (result != COLT_START_TAKEN)
    colt_leader_schedule_placement (leader);
}

static void
handle_stop_result_ (void *client,
                     struct ColtServerLink *link,
                     const char *task,
                     uint32_t run,
                     bool answered,
                     uint64_t next_call)
{
  struct ColtLeader *leader = get_leader_ (client);
  int64_t began_us = colt_clock_monotonic_us ();

  colt_cell_apply_stop_result (leader->cell, colt_server_link_id (link), task,
                               run, answered, next_call, began_us);
  colt_load_meter_add (&leader->meter, LOAD_ORDERS, began_us);
}

static void
handle_unreachable_ (void *client, struct ColtServerLink *link)
{
  struct ColtLeader *leader = get_leader_ (client);

  colt_cell_set_unreachable (leader->cell, colt_server_link_id (link));
}

static void
handle_runs_lost_ (void *client,
                   struct ColtServerLink *link,
                   const struct ColtServerLoss *loss)
{
  struct ColtLeader *leader = get_leader_ (client);

  colt_cell_apply_loss (leader->cell, colt_server_link_id (link), loss,
                        colt_clock_monotonic_us ());
  colt_leader_schedule_placement (leader);
}

static void
handle_server_fenced_ (void *client, struct ColtServerLink *link)
{
  struct ColtLeader *leader = get_leader_ (client);

  colt_log (COLT_LOG_WARNING, MODULE, NULL,
            "server %s follows a later leader; giving up leadership",
            colt_server_link_id (link));
  leader->client.handle_fenced (leader->client.client);
}

static int64_t
renewable_until_us_ (void *client)
{
  const struct ColtLeader *leader = get_leader_ (client);

  return leader->confirmed_until_us;
}

static size_t
count_runs_ (void *client, const char *server)
{
  const struct ColtLinkClient *link_client = client;

  (void)server;
  return colt_cell_count_server_runs (link_client->server);
}

static bool
has_tight_runs_ (void *client, const char *server)
{
  const struct ColtLeader *leader = get_leader_ (client);

  return colt_cell_has_tight_runs (leader->cell, server);
}

static bool
may_start_ (void *client, const char *server, const char *task, uint32_t run)
{
  struct ColtLeader *leader = get_leader_ (client);

  colt_leader_check_operator (leader, colt_clock_monotonic_us ());
  return !leader->starts_held
         && colt_cell_may_start (leader->cell, server, task, run);
}
