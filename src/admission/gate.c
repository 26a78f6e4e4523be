#include "coltsfootstile/gate.h"

#include "coltsfootstile/clock.h"
#include "gate_private.h"

/* Interval of the timer that handles due requests. */
#define TICK_US (20 * COLT_US_PER_MS)

static void add_counters_ (struct ColtGate *gate);
static void on_timer_ (evutil_socket_t fd, short what, void *arg);

struct ColtGate *
colt_gate_create (const struct ColtGateParts *parts,
                  const struct ColtGateClient *calls,
                  void *client)
{
  struct ColtGate *gate = g_new0 (struct ColtGate, 1);
  const struct timeval tick = { 0, TICK_US };
  const struct ColtHttpListenerSettings listener
      = { .name = "http", .handle = colt_gate_route, .client = gate };
  struct ColtHttpLimits limits = { .header_bytes = COLT_GATE_HEADERS_MAX,
                                   .body_bytes = COLT_GATE_BODY_MAX,
                                   .idle_ms = COLT_GATE_IDLE_S * 1000 };

  if (parts->limits != NULL)
    limits = *parts->limits;
  gate->parts = *parts;
  gate->calls = calls;
  gate->client = client;
  gate->pending = g_hash_table_new_full (
      colt_id_table_hash, colt_id_table_equal, NULL, colt_pending_request_free);
  gate->minted = g_hash_table_new (colt_id_table_hash, colt_id_table_equal);
  gate->open_submits = g_hash_table_new (g_direct_hash, g_direct_equal);
  gate->connections = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_queue_init (&gate->minted_order);
  gate->pool = colt_http_pool_create (parts->base, &limits, parts->counters);
  gate->listener = colt_http_listener_create (gate->pool, &listener);
  add_counters_ (gate);
  colt_gate_set_wire_handlers (gate);
  gate->timer = event_new (parts->base, -1, EV_PERSIST, on_timer_, gate);
  event_add (gate->timer, &tick);
  return gate;
}

void
colt_gate_destroy (struct ColtGate *gate)
{
  if (gate == NULL)
    return;
  colt_gate_abandon (gate);
  colt_gate_detach_calls (gate);
  event_free (gate->timer);
  colt_http_listener_destroy (gate->listener);
  colt_http_pool_destroy (gate->pool);
  g_hash_table_unref (gate->connections);
  g_hash_table_unref (gate->pending);
  g_hash_table_unref (gate->open_submits);
  g_hash_table_unref (gate->minted);
  g_queue_clear_full (&gate->minted_order, g_free);
  g_free (gate);
}

bool
colt_gate_listen (struct ColtGate *gate,
                  const char *address,
                  struct ColtError *error)
{
  return colt_http_listener_bind (gate->listener, address, error);
}

void
colt_gate_stop (struct ColtGate *gate)
{
  gate->stopping = true;
  colt_http_listener_stop (gate->listener);
}

size_t
colt_gate_open_count (const struct ColtGate *gate)
{
  return g_hash_table_size (gate->pending);
}

void
colt_gate_abandon (struct ColtGate *gate)
{
  GHashTableIter iter;
  gpointer value;

  for (;;)
    {
      g_hash_table_iter_init (&iter, gate->pending);
      if (!g_hash_table_iter_next (&iter, NULL, &value))
        return;
      colt_gate_answer_pending (value, COLT_OUTCOME_UNKNOWN,
                                COLT_REASON_STOPPING, NULL);
    }
}

static void
add_counters_ (struct ColtGate *gate)
{
  struct ColtCounters *counters = gate->parts.counters;
  struct ColtGateCounters *handles = &gate->counters;

  handles->requests = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "gate_requests_total",
      "Requests that callers handed in.");
  handles->bad
      = colt_counters_register (counters, COLT_COUNTER_TOTAL, "gate_bad_total",
                                "Requests that were malformed.");
  handles->done
      = colt_counters_register (counters, COLT_COUNTER_TOTAL, "gate_done_total",
                                "Requests answered as done or accepted.");
  handles->failed = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                            "gate_failed_total",
                                            "Requests answered as failed.");
  handles->not_run = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                             "gate_not_run_total",
                                             "Requests answered as not run.");
  handles->unknown = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                             "gate_unknown_total",
                                             "Requests answered as unknown.");
  handles->cancelled = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "gate_cancelled_total",
      "Requests answered as cancelled.");
}

static void
on_timer_ (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  colt_gate_process_due (arg, colt_clock_monotonic_us ());
}
