#include <string.h>

#include "coltsfootstile/suspicion.h"
#include "leader_private.h"
#include "order_window.h"

/* Period of checks for due work. */
#define TICK_MS 25
/* Shortest time between two placement passes. */
#define PLACE_PAUSE_MS 8
/* The pause is at least this many times as long as the last pass took, so that
 * placement leaves most of the processor to answers and renewals. */
#define PLACE_PAUSE_FACTOR 2
#define PLACE_PAUSE_MAX_MS 100
/* Time to gather planned starts for a batch. */
#define PLAN_LINGER_MS 2
/* An unanswered stop is resent after this time. */
#define STOP_RETRY_US (800 * COLT_US_PER_MS)
/* Added to twice the longest lease of a server to bound the time in which a
 * start has a result: queueing, timeouts and failed renewals. */
#define RUN_WAIT_US (10 * COLT_US_PER_S)
/* Most servers named in one call for advice. */
#define ADVICE_SERVERS_MAX 30
/* Most servers named in a call for advice on a gang whose first call found too
 * few; the platform accepts no more. */
#define GANG_ADVICE_SERVERS_MAX 100
#define MODULE "lead"

static void send_start_ (void *client, const struct ColtStartOrder *order);
static void
send_stop_ (void *client, const char *server, const char *task, uint32_t run);
static bool request_advice_ (void *client,
                             uint64_t number,
                             const char *step,
                             const char *const *servers,
                             size_t count);
static void log_decision_ (void *client,
                           const char *job,
                           const char *what,
                           const char *detail);
static void log_fault_ (void *client,
                        const char *job,
                        const char *what,
                        const char *detail);
static void log_event_ (const struct ColtLeader *leader,
                        enum ColtLogLevel level,
                        const char *job,
                        const char *what,
                        const char *detail);
static void measure_forecast_ (void *client, int64_t error_us);
static void tick_ (evutil_socket_t fd, short what, void *arg);
static void log_load_ (struct ColtLeader *leader, int64_t now_us);
static void run_placement_ (evutil_socket_t fd, short what, void *arg);
static void handle_committed_ (void *client);
static void handle_log_fenced_ (void *client);
static void free_link_ (gpointer data);

static const struct ColtCellOps cell_ops
    = { send_start_,   send_stop_, request_advice_,
        log_decision_, log_fault_, measure_forecast_ };

struct ColtLeader *
colt_leader_create (struct event_base *base,
                    const struct ColtPorts *ports,
                    const struct ColtSchedulerSettings *settings,
                    uint64_t term,
                    const struct ColtLeaderClient *client,
                    struct ColtMetrics *metrics)
{
  const struct timeval period = { 0, TICK_MS * 1000 };
  struct ColtLeader *leader = g_new0 (struct ColtLeader, 1);
  struct ColtCellLimits limits = { 0 };
  struct ColtCommitClient commit_client
      = { handle_committed_, handle_log_fenced_, leader };

  limits.status_us = (int64_t)settings->status_s * COLT_US_PER_S;
  limits.stop_retry_us = STOP_RETRY_US;
  limits.advice_servers_max = ADVICE_SERVERS_MAX;
  limits.gang_advice_servers_max = GANG_ADVICE_SERVERS_MAX;
  limits.record_bytes_max = ports->record_bytes_max;
  limits.run_wait_us
      = 2 * (int64_t)settings->lease_max_ms * COLT_US_PER_MS + RUN_WAIT_US;
  limits.half_life_us = (int64_t)settings->half_life_s * COLT_US_PER_S;
  limits.wait_max_us = (int64_t)settings->wait_max_ms * COLT_US_PER_MS;
  limits.forecasts = settings->forecasts;
  limits.created_us = colt_clock_monotonic_us ();
  leader->base = base;
  leader->ports = ports;
  leader->metrics = metrics;
  leader->settings = settings;
  leader->client = *client;
  leader->term = term;
  leader->created_us = colt_clock_monotonic_us ();
  leader->place_pause_us = PLACE_PAUSE_MS * COLT_US_PER_MS;
  leader->cell = colt_cell_create (&cell_ops, leader, &limits, (uint32_t)term);
  leader->commit = colt_commit_create (base, ports, leader->cell, term,
                                       &commit_client, metrics, &leader->meter);
  leader->load_channel = ports->log_open (ports->adapter);
  leader->window = colt_order_window_create ();
  leader->suspicion = colt_suspicion_create ();
  leader->links
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_link_);
  leader->link_clients = g_ptr_array_new_with_free_func (g_free);
  leader->listed_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  leader->calls = g_ptr_array_new ();
  leader->state_calls = g_ptr_array_new_with_free_func (g_free);
  leader->progress_records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  leader->timer = event_new (base, -1, EV_PERSIST, tick_, leader);
  leader->place_timer = event_new (base, -1, 0, run_placement_, leader);
  leader->retry_timer = event_new (base, -1, 0, colt_leader_retry, leader);
  event_add (leader->timer, &period);
  colt_lag_init (&leader->lag, TICK_MS * COLT_US_PER_MS);
  colt_leader_fence_log (leader);
  return leader;
}

void
colt_leader_destroy (struct ColtLeader *leader)
{
  if (leader == NULL)
    return;
  leader->closing = true;
  event_free (leader->timer);
  event_free (leader->place_timer);
  event_free (leader->retry_timer);
  colt_watch_destroy (leader->server_watch);
  leader->ports->log_close (leader->load_channel);
  colt_leader_end_calls (leader);
  colt_commit_destroy (leader->commit);
  g_ptr_array_unref (leader->calls);
  g_ptr_array_unref (leader->state_calls);
  colt_order_window_close (leader->window);
  g_hash_table_unref (leader->links);
  g_ptr_array_unref (leader->link_clients);
  colt_order_window_destroy (leader->window);
  colt_suspicion_destroy (leader->suspicion);
  colt_metrics_set (leader->metrics, METRIC_SUSPECTED_SERVERS, 0);
  g_free (leader->suspicion_changes.server);
  g_hash_table_unref (leader->listed_ids);
  g_ptr_array_unref (leader->progress_records);
  colt_cell_destroy (leader->cell);
  g_free (leader->load_after);
  g_free (leader);
}

void
colt_leader_set_fleet (struct ColtLeader *leader, struct ColtFleet *fleet)
{
  leader->config_version = fleet->version;
  colt_cell_set_fleet (leader->cell, fleet);
  colt_leader_schedule_placement (leader);
}

void
colt_leader_handle_advice (struct ColtLeader *leader,
                           uint64_t number,
                           const ColtAdviceReply *reply)
{
  int64_t began_us = colt_clock_monotonic_us ();

  colt_cell_apply_advice (leader->cell, number, reply, began_us);
  colt_leader_schedule_placement (leader);
  colt_load_meter_add (&leader->meter, LOAD_ADVICE, began_us);
}

struct ColtCell *
colt_leader_cell (struct ColtLeader *leader)
{
  return leader->cell;
}

bool
colt_leader_is_serving (const struct ColtLeader *leader)
{
  return leader->phase == PHASE_SERVING;
}

double
colt_leader_speed (const struct ColtLeader *leader)
{
  return colt_lag_speed (&leader->lag);
}

void
colt_leader_serve (struct ColtLeader *leader)
{
  guint i;

  for (i = 0; i < leader->progress_records->len; i++)
    {
      gsize size;
      const char *key = g_bytes_get_data (
          g_ptr_array_index (leader->progress_records, i), &size);
      size_t key_size = strlen (key) + 1;

      colt_leader_load_record (leader, key, (const uint8_t *)key + key_size,
                               size - key_size);
    }
  g_ptr_array_set_size (leader->progress_records, 0);
  colt_cell_finish_loading (leader->cell,
                            colt_leader_inherited_until_us (leader));
  colt_cell_distrust_forecast (leader->cell, colt_clock_monotonic_us ());
  leader->phase = PHASE_SERVING;
  colt_leader_watch_servers (leader);
  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "serving calls; %llu records were loaded",
            (unsigned long long)leader->loaded_count);
}

static void
send_start_ (void *client, const struct ColtStartOrder *order)
{
  struct ColtLeader *leader = client;
  struct ColtServerLink *link
      = g_hash_table_lookup (leader->links, order->server);

  g_assert (link != NULL);
  colt_log (COLT_LOG_DEBUG, MODULE, NULL,
            "starting task %s run %u on server %s", order->task, order->run,
            order->server);
  colt_server_link_start (link, order);
}

static void
send_stop_ (void *client, const char *server, const char *task, uint32_t run)
{
  struct ColtLeader *leader = client;
  struct ColtServerLink *link = g_hash_table_lookup (leader->links, server);

  if (link == NULL)
    return;
  colt_log (COLT_LOG_DEBUG, MODULE, NULL,
            "stopping task %s run %u on server %s", task, run, server);
  colt_server_link_stop (link, task, run);
}

static bool
request_advice_ (void *client,
                 uint64_t number,
                 const char *step,
                 const char *const *servers,
                 size_t count)
{
  struct ColtLeader *leader = client;
  ColtAdviceCall call = COLT_ADVICE_CALL__INIT;

  call.step = (char *)step;
  call.servers = (char **)servers;
  call.n_servers = count;
  if (!leader->client.send_advice_call (leader->client.client, number, &call))
    return false;
  leader->advice_calls++;
  return true;
}

static void
measure_forecast_ (void *client, int64_t error_us)
{
  const struct ColtLeader *leader = client;

  colt_metrics_time (leader->metrics, TIMING_FORECAST_ERROR, error_us);
}

static void
log_decision_ (void *client,
               const char *job,
               const char *what,
               const char *detail)
{
  log_event_ (client, COLT_LOG_INFO, job, what, detail);
}

static void
log_fault_ (void *client, const char *job, const char *what, const char *detail)
{
  log_event_ (client, COLT_LOG_ERROR, job, what, detail);
}

static void
log_event_ (const struct ColtLeader *leader,
            enum ColtLogLevel level,
            const char *job,
            const char *what,
            const char *detail)
{
  const struct ColtLogField fields[]
      = { { "detail", detail, 0 },
          { "term", NULL, (int64_t)leader->term },
          { "config", NULL, leader->config_version } };

  colt_log_event (level, MODULE, what, job, fields, G_N_ELEMENTS (fields));
}

static void
tick_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtLeader *leader = arg;
  int64_t now_us = colt_clock_monotonic_us ();
  GHashTableIter i;
  gpointer value;

  (void)fd;
  (void)what;
  if (leader->phase != PHASE_SERVING)
    return;
  colt_lag_update (&leader->lag, now_us);
  colt_leader_check_operator (leader, now_us);
  g_hash_table_iter_init (&i, leader->links);
  while (g_hash_table_iter_next (&i, NULL, &value))
    colt_server_link_tick (value, now_us);
  colt_cell_tick (leader->cell, now_us, colt_clock_wall_us () / COLT_US_PER_MS);
  if (colt_cell_has_changes (leader->cell))
    colt_commit_schedule (leader->commit, TICK_MS);
  colt_leader_expire_calls (leader, now_us);
  colt_leader_answer_state_calls (leader, now_us);
  colt_leader_schedule_placement (leader);
  colt_load_meter_add (&leader->meter, LOAD_TICK, now_us);
  log_load_ (leader, now_us);
  colt_leader_log_suspicion (leader, now_us);
}

static void
log_load_ (struct ColtLeader *leader, int64_t now_us)
{
  struct ColtLoadState state = { 0 };
  struct ColtCellStats stats;

  colt_cell_get_stats (leader->cell, &stats);
  state.open_steps = stats.open_steps;
  state.runs = stats.runs;
  state.planned = stats.planned;
  state.started = stats.started;
  state.expired_tickets = stats.expired_tickets;
  state.lost_orders = colt_order_window_lost (leader->window);
  state.advice_calls = leader->advice_calls;
  state.suspected_servers = colt_suspicion_count (leader->suspicion);
  state.window_bytes = colt_order_window_limit (leader->window);
  colt_load_meter_tick (&leader->meter, TICK_MS * COLT_US_PER_MS, &state,
                        now_us);
}

static void
run_placement_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtLeader *leader = arg;
  int64_t began_us = colt_clock_monotonic_us ();
  uint32_t budget = colt_order_window_budget (leader->window);
  int64_t took_us;

  (void)fd;
  (void)what;
  if (leader->phase != PHASE_SERVING)
    return;
  colt_leader_check_operator (leader, began_us);
  colt_cell_set_start_budget (leader->cell, budget);
  colt_cell_place_tasks (leader->cell, began_us,
                         colt_clock_wall_us () / COLT_US_PER_MS);
  colt_load_meter_count_pass (&leader->meter, budget);
  took_us = colt_load_meter_add (&leader->meter, LOAD_PLACEMENT, began_us);
  leader->place_pause_us
      = CLAMP (PLACE_PAUSE_FACTOR * took_us, PLACE_PAUSE_MS * COLT_US_PER_MS,
               PLACE_PAUSE_MAX_MS * COLT_US_PER_MS);
  if (colt_cell_has_waiting_starts (leader->cell))
    colt_commit_schedule (leader->commit, PLAN_LINGER_MS);
}

void
colt_leader_schedule_placement (struct ColtLeader *leader)
{
  const struct timeval when = { 0, (suseconds_t)leader->place_pause_us };

  if (event_pending (leader->place_timer, EV_TIMEOUT, NULL))
    return;
  /* Otherwise the pause would begin before the pass, with the turn of the loop.
   */
  event_base_update_cache_time (leader->base);
  event_add (leader->place_timer, &when);
}

static void
handle_committed_ (void *client)
{
  colt_leader_answer_state_calls (client, colt_clock_monotonic_us ());
  colt_leader_schedule_placement (client);
}

static void
handle_log_fenced_ (void *client)
{
  struct ColtLeader *leader = client;

  leader->client.handle_fenced (leader->client.client);
}

static void
free_link_ (gpointer data)
{
  colt_server_link_destroy (data);
}
