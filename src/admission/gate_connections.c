#include "gate_private.h"

/* A caller's connection, recorded at its first request. */
struct ColtGateConnection
{
  struct ColtGate *gate;
  struct evhttp_connection *connection;
  void (*on_close) (void *client); /* NULL while no request is open */
  void *client;
};

static uint32_t get_connection_limit_ (const struct ColtGate *gate);
static struct ColtGateConnection *
find_connection_ (struct ColtGate *gate, struct evhttp_request *http);
static void on_closed_ (struct evhttp_connection *connection, void *arg);

bool
colt_gate_admit_connection (struct ColtGate *gate, struct evhttp_request *http)
{
  struct ColtGateConnection *entry = find_connection_ (gate, http);

  if (entry != NULL)
    return true;
  if (g_hash_table_size (gate->connections) >= get_connection_limit_ (gate))
    {
      colt_http_close_after_answer (http);
      colt_gate_reply_error (http, 503, COLT_REASON_OVERLOADED,
                             "Too many connections are open here.");
      return false;
    }
  entry = g_new0 (struct ColtGateConnection, 1);
  entry->gate = gate;
  entry->connection = evhttp_request_get_connection (http);
  g_hash_table_insert (gate->connections, entry->connection, entry);
  evhttp_connection_set_closecb (entry->connection, on_closed_, entry);
  return true;
}

void
colt_gate_set_close_handler (struct ColtGate *gate,
                             struct evhttp_request *http,
                             void (*on_close) (void *client),
                             void *client)
{
  struct ColtGateConnection *entry = find_connection_ (gate, http);

  if (entry == NULL)
    return;
  entry->on_close = on_close;
  entry->client = client;
}

void
colt_gate_clear_close_handler (struct ColtGate *gate,
                               struct evhttp_request *http)
{
  colt_gate_set_close_handler (gate, http, NULL, NULL);
}

static uint32_t
get_connection_limit_ (const struct ColtGate *gate)
{
  return gate->parts.connections_max != 0 ? gate->parts.connections_max
                                          : COLT_GATE_CONNECTIONS_MAX;
}

static struct ColtGateConnection *
find_connection_ (struct ColtGate *gate, struct evhttp_request *http)
{
  return g_hash_table_lookup (gate->connections,
                              evhttp_request_get_connection (http));
}

static void
on_closed_ (struct evhttp_connection *connection, void *arg)
{
  struct ColtGateConnection *entry = arg;
  void (*on_close) (void *client) = entry->on_close;
  void *client = entry->client;

  evhttp_connection_set_closecb (connection, NULL, NULL);
  g_hash_table_remove (entry->gate->connections, connection);
  g_free (entry);
  if (on_close != NULL)
    on_close (client);
}
