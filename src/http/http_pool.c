#include <event2/buffer.h>
#include <sys/resource.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "http_private.h"

#define MODULE "http"
#define TICK_MS 100
/* A process that is stopped or held up can't see what its clients send, so that
 * a tick counts at most as long as this. */
#define TICK_MAX_US (3 * TICK_MS * COLT_US_PER_MS)
/* A client that took no output for this time isn't taking its answer. */
#define STALL_US (1 * COLT_US_PER_S)
/* A client has this time to send a request before its connection is closed to
 * make room. Connections and first requests arrive together, but a listener
 * that closes connections for new ones accepts many at once before it reads. */
#define FIRST_REQUEST_US (2 * TICK_MS * COLT_US_PER_MS)
/* At most one log line per reason in this time. */
#define LOG_INTERVAL_US (10 * COLT_US_PER_S)
/* Descriptors of a process whose limit is unknown or none. */
#define DESCRIPTORS_MAX 65536u
/* Part of the descriptors that connections may use; the others are for servers,
 * instances and the log. */
#define DESCRIPTOR_PART 2
/* Parts of the memory that open connections may use; what is left is for large
 * requests and answers. */
#define CONNECTION_MEMORY_PARTS 3
#define MEMORY_PARTS 4
/* Part of the pool's connections that a listener with a bound may have. */
#define LISTENER_PART 4
#define HEADER_BYTES 32768u
#define BODY_BYTES 524288u
#define REQUEST_MS 15000u
#define UNREAD_MS 15000u
#define IDLE_MS 30000u
#define MEMORY_KB 32768u
#define SOCKET_BYTES 4096u
/* The kernel uses twice the bytes of SO_RCVBUF and of SO_SNDBUF. */
#define SOCKET_BUFFERS 4
/* Bytes of a request of usual length, with those of its fields. */
#define REQUEST_BYTES 4096u
#define KB 1024u

/* What a connection is chosen for. */
enum ColtChoice
{
  CHOICE_IDLE,
  CHOICE_UNSENT,
  CHOICE_INCOMPLETE,
  CHOICE_COUNT
};

struct ColtEnd
{
  const char *text;
  const char *counter;
  const char *help;
  bool discard; /* unsent bytes are of no use to the client */
};

static bool is_over_ (const struct ColtHttpPool *pool);
static uint32_t or_default_ (uint32_t value, uint32_t fallback);
static uint32_t get_default_connections_ (void);
static uint32_t get_affordable_connections_ (const struct ColtHttpPool *pool);
static void on_timer_ (evutil_socket_t fd, short what, void *client);
static void on_enforcement_ (evutil_socket_t fd, short what, void *client);
static void resume_ (struct ColtHttpListener *listener);
static void sweep_ (struct ColtHttpListener *listener, int64_t now_us);
static enum ColtHttpEnd find_end_ (const struct ColtHttpConnection *connection,
                                   int64_t now_us);
static gboolean reap_ (gpointer key, gpointer value, gpointer client);
static gboolean may_end_ (gpointer key, gpointer value, gpointer client);
static struct ColtHttpConnection *
choose_for_room_ (const struct ColtHttpListener *listener);
static struct ColtHttpConnection *
choose_ (const struct ColtHttpListener *listener,
         enum ColtChoice choice,
         int64_t now_us);
static int64_t rate_ (const struct ColtHttpConnection *connection,
                      enum ColtChoice choice,
                      int64_t now_us);
static struct ColtHttpConnection *
choose_for_memory_ (const struct ColtHttpPool *pool, int64_t now_us);
static size_t get_unsent_ (const struct ColtHttpConnection *connection);
static void end_ (struct ColtHttpConnection *connection, enum ColtHttpEnd end);
static void log_end_ (struct ColtHttpPool *pool,
                      const char *listener,
                      enum ColtHttpEnd end);

/* Indexed by enum ColtHttpEnd. */
static const struct ColtEnd ends[] = {
  { "unread answer", "http_closed_unread_total",
    "Connections closed as their client didn't read its answer.", true },
  { "incomplete request", "http_closed_incomplete_total",
    "Connections closed as their request stayed incomplete.", false },
  { "idle", "http_closed_idle_total", "Connections closed as they were idle.",
    false },
  { "connections", "http_evicted_connections_total",
    "Connections closed at the bound on open connections.", true },
  { "memory", "http_evicted_memory_total",
    "Connections closed at the bound on memory.", true },
  { "requests sent ahead", "http_closed_ahead_total",
    "Connections closed after an answer as further requests had been sent "
    "ahead to a crowded listener.",
    false },
  { "refused", "http_refused_total",
    "Connections refused at the bound on open connections.", false }
};

struct ColtHttpLimits
colt_http_limits_read (const struct ColtSettings *settings)
{
  struct ColtHttpLimits limits;
  const struct
  {
    const char *key;
    uint32_t *value;
  } keys[] = { { "header_bytes", &limits.header_bytes },
               { "body_bytes", &limits.body_bytes },
               { "request_ms", &limits.request_ms },
               { "unread_ms", &limits.unread_ms },
               { "idle_ms", &limits.idle_ms },
               { "connections", &limits.connections },
               { "memory_kb", &limits.memory_kb },
               { "socket_bytes", &limits.socket_bytes } };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (keys); i++)
    *keys[i].value
        = (uint32_t)colt_settings_integer (settings, "limits", keys[i].key);
  return limits;
}

struct ColtHttpPool *
colt_http_pool_create (struct event_base *base,
                       const struct ColtHttpLimits *limits,
                       struct ColtCounters *counters)
{
  static const struct ColtHttpLimits none;
  const struct ColtHttpLimits *given = limits != NULL ? limits : &none;
  struct ColtHttpPool *pool = g_new0 (struct ColtHttpPool, 1);
  size_t i;

  pool->base = base;
  pool->counters = counters;
  pool->listeners = g_ptr_array_new ();
  pool->clock_us = colt_clock_monotonic_us ();
  pool->now_us = 1;
  pool->limits.header_bytes = or_default_ (given->header_bytes, HEADER_BYTES);
  pool->limits.body_bytes = or_default_ (given->body_bytes, BODY_BYTES);
  pool->limits.request_ms = or_default_ (given->request_ms, REQUEST_MS);
  pool->limits.unread_ms = or_default_ (given->unread_ms, UNREAD_MS);
  pool->limits.idle_ms = or_default_ (given->idle_ms, IDLE_MS);
  pool->limits.memory_kb = or_default_ (given->memory_kb, MEMORY_KB);
  pool->limits.socket_bytes = or_default_ (given->socket_bytes, SOCKET_BYTES);
  pool->connection_bytes
      = COLT_HTTP_CONNECTION_BYTES + SOCKET_BUFFERS * pool->limits.socket_bytes;
  pool->limits.connections
      = MIN (or_default_ (given->connections, get_default_connections_ ()),
             get_affordable_connections_ (pool));
  pool->connection_gauge
      = colt_counters_register (counters, COLT_COUNTER_GAUGE,
                                "http_connections", "Open HTTP connections.");
  pool->byte_gauge = colt_counters_register (
      counters, COLT_COUNTER_GAUGE, "http_held_bytes",
      "Bytes held for connections, their requests and answers.");
  pool->pauses = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "http_accept_pauses_total",
      "Times that a listener stopped accepting connections for want of room.");
  for (i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      pool->ends[i] = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                              ends[i].counter, ends[i].help);
      pool->logged_us[i] = -LOG_INTERVAL_US;
    }
  pool->timer = event_new (base, -1, EV_PERSIST, on_timer_, pool);
  pool->enforcement = event_new (base, -1, 0, on_enforcement_, pool);
  return pool;
}

void
colt_http_pool_destroy (struct ColtHttpPool *pool)
{
  if (pool == NULL)
    return;
  event_free (pool->timer);
  event_free (pool->enforcement);
  g_ptr_array_unref (pool->listeners);
  g_free (pool);
}

void
colt_http_pool_add (struct ColtHttpPool *pool,
                    struct ColtHttpListener *listener)
{
  const struct timeval tick = { 0, TICK_MS * COLT_US_PER_MS };

  g_ptr_array_add (pool->listeners, listener);
  event_add (pool->timer, &tick);
}

uint32_t
colt_http_pool_quota (const struct ColtHttpListener *listener)
{
  const struct ColtHttpPool *pool = listener->pool;
  uint32_t bound = MAX (pool->limits.connections / LISTENER_PART, 1);
  uint32_t rest = pool->limits.connections;
  size_t i;

  if (listener->settings.connections > 0)
    return MIN (listener->settings.connections, bound);
  for (i = 0; i < pool->listeners->len; i++)
    {
      const struct ColtHttpListener *other = pool->listeners->pdata[i];

      rest -= MIN (rest, MIN (other->settings.connections, bound));
    }
  return MAX (rest, 1);
}

bool
colt_http_pool_is_full (const struct ColtHttpListener *listener)
{
  return g_hash_table_size (listener->connections)
             >= colt_http_pool_quota (listener)
         && choose_for_room_ (listener) == NULL
         && g_hash_table_find (listener->connections, may_end_, NULL) != NULL;
}

bool
colt_http_pool_make_room (struct ColtHttpListener *listener)
{
  uint32_t quota = colt_http_pool_quota (listener);
  struct ColtHttpConnection *chosen;

  if (g_hash_table_size (listener->connections) < quota)
    return true;
  g_hash_table_foreach_remove (listener->connections, reap_, NULL);
  if (g_hash_table_size (listener->connections) >= quota
      && (chosen = choose_for_room_ (listener)) != NULL)
    {
      end_ (chosen, COLT_HTTP_END_CONNECTIONS);
      listener->replaced++;
    }
  return g_hash_table_size (listener->connections) < quota;
}

void
colt_http_pool_count_end (struct ColtHttpListener *listener,
                          enum ColtHttpEnd end)
{
  struct ColtHttpPool *pool = listener->pool;

  colt_counters_increment (pool->counters, pool->ends[end], 1);
  pool->unlogged[end]++;
  log_end_ (pool, listener->settings.name, end);
}

bool
colt_http_pool_must_wait (const struct ColtHttpConnection *connection)
{
  const struct ColtHttpPool *pool = connection->listener->pool;

  return is_over_ (pool)
         && connection->held > pool->connection_bytes + REQUEST_BYTES;
}

void
colt_http_pool_hold (struct ColtHttpConnection *connection, int64_t bytes)
{
  struct ColtHttpPool *pool = connection->listener->pool;

  connection->held += (uint64_t)bytes;
  pool->held += (uint64_t)bytes;
  if (bytes > 0 && is_over_ (pool))
    event_active (pool->enforcement, 0, 0);
}

/* Returns whether more bytes are held than allowed. */
static bool
is_over_ (const struct ColtHttpPool *pool)
{
  return pool->held > (uint64_t)pool->limits.memory_kb * KB;
}

static uint32_t
or_default_ (uint32_t value, uint32_t fallback)
{
  return value > 0 ? value : fallback;
}

static uint32_t
get_default_connections_ (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0
      || limit.rlim_cur > DESCRIPTORS_MAX)
    limit.rlim_cur = DESCRIPTORS_MAX;
  return (uint32_t)limit.rlim_cur / DESCRIPTOR_PART;
}

/* Returns how many connections fit into the memory that they may use. */
static uint32_t
get_affordable_connections_ (const struct ColtHttpPool *pool)
{
  uint64_t bytes = (uint64_t)pool->limits.memory_kb * KB / MEMORY_PARTS
                   * CONNECTION_MEMORY_PARTS;

  return MAX ((uint32_t)(bytes / pool->connection_bytes), 1);
}

static void
on_timer_ (evutil_socket_t fd, short what, void *client)
{
  struct ColtHttpPool *pool = client;
  int64_t clock_us = colt_clock_monotonic_us ();
  size_t i;

  (void)fd;
  (void)what;
  pool->now_us += MIN (clock_us - pool->clock_us, TICK_MAX_US);
  pool->clock_us = clock_us;
  for (i = 0; i < pool->listeners->len; i++)
    {
      struct ColtHttpListener *listener = pool->listeners->pdata[i];

      listener->replaced = 0;
      sweep_ (listener, pool->now_us);
    }
  if (pool->waiting)
    event_active (pool->enforcement, 0, 0);
  for (i = 0; i < COLT_HTTP_END_COUNT; i++)
    log_end_ (pool, "", (enum ColtHttpEnd)i);
  colt_counters_set (pool->counters, pool->connection_gauge, pool->open);
  colt_counters_set (pool->counters, pool->byte_gauge, (int64_t)pool->held);
}

/* Closes connections for which there is no room, outside evhttp's callbacks. */
static void
on_enforcement_ (evutil_socket_t fd, short what, void *client)
{
  struct ColtHttpPool *pool = client;
  int64_t now_us = pool->now_us;
  struct ColtHttpConnection *chosen;
  size_t i;

  (void)fd;
  (void)what;
  for (i = 0; i < pool->listeners->len; i++)
    sweep_ (pool->listeners->pdata[i], now_us);
  while (is_over_ (pool)
         && (chosen = choose_for_memory_ (pool, now_us)) != NULL)
    end_ (chosen, COLT_HTTP_END_MEMORY);
  if (!pool->waiting || is_over_ (pool))
    return;
  pool->waiting = false;
  for (i = 0; i < pool->listeners->len; i++)
    resume_ (pool->listeners->pdata[i]);
}

/* Parses the input that was held back while the bound on memory was exceeded.
 */
static void
resume_ (struct ColtHttpListener *listener)
{
  GPtrArray *waiting = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  size_t i;

  g_hash_table_iter_init (&iter, listener->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct ColtHttpConnection *)value)->waiting)
      g_ptr_array_add (waiting, value);
  for (i = 0; i < waiting->len; i++)
    colt_http_connection_resume (waiting->pdata[i]);
  g_ptr_array_unref (waiting);
}

/* Removes the entries of connections that evhttp has freed and closes those
 * whose time is over. */
static void
sweep_ (struct ColtHttpListener *listener, int64_t now_us)
{
  GPtrArray *over = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  size_t i;

  g_hash_table_foreach_remove (listener->connections, reap_, NULL);
  g_hash_table_iter_init (&iter, listener->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (find_end_ (value, now_us) != COLT_HTTP_END_COUNT)
      g_ptr_array_add (over, value);
  for (i = 0; i < over->len; i++)
    end_ (over->pdata[i], find_end_ (over->pdata[i], now_us));
  g_ptr_array_unref (over);
  g_hash_table_foreach_remove (listener->connections, reap_, NULL);
  colt_http_listener_pace (listener);
}

/* Returns COLT_HTTP_END_COUNT if the connection stays open. */
static enum ColtHttpEnd
find_end_ (const struct ColtHttpConnection *connection, int64_t now_us)
{
  const struct ColtHttpLimits *limits = &connection->listener->pool->limits;

  if (connection->refused && !connection->closing)
    return COLT_HTTP_END_REFUSED;
  if (connection->handled || connection->closing)
    return COLT_HTTP_END_COUNT;
  if (get_unsent_ (connection) > 0)
    return now_us - connection->taken_us
                   > (int64_t)limits->unread_ms * COLT_US_PER_MS
               ? COLT_HTTP_END_UNREAD
               : COLT_HTTP_END_COUNT;
  if (connection->request_us > 0)
    return now_us - connection->request_us
                   > (int64_t)limits->request_ms * COLT_US_PER_MS
               ? COLT_HTTP_END_INCOMPLETE
               : COLT_HTTP_END_COUNT;
  return now_us - connection->idle_us
                 > (int64_t)limits->idle_ms * COLT_US_PER_MS
             ? COLT_HTTP_END_IDLE
             : COLT_HTTP_END_COUNT;
}

static gboolean
reap_ (gpointer key, gpointer value, gpointer client)
{
  (void)key;
  (void)client;
  return colt_http_connection_reap (value);
}

/* Returns whether a connection ends soon or can soon be closed. */
static gboolean
may_end_ (gpointer key, gpointer value, gpointer client)
{
  const struct ColtHttpConnection *connection = value;

  (void)key;
  (void)client;
  return !connection->handled;
}

/* Returns the connection to close for a new one, or NULL. */
static struct ColtHttpConnection *
choose_for_room_ (const struct ColtHttpListener *listener)
{
  int64_t now_us = listener->pool->now_us;
  struct ColtHttpConnection *chosen = NULL;
  int choice;

  for (choice = CHOICE_IDLE; choice < CHOICE_COUNT && chosen == NULL; choice++)
    chosen = choose_ (listener, (enum ColtChoice)choice, now_us);
  return chosen;
}

/* Returns the connection with the highest rating above 0, or NULL. */
static struct ColtHttpConnection *
choose_ (const struct ColtHttpListener *listener,
         enum ColtChoice choice,
         int64_t now_us)
{
  struct ColtHttpConnection *chosen = NULL;
  GHashTableIter iter;
  gpointer value;
  int64_t highest = 0;

  g_hash_table_iter_init (&iter, listener->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtHttpConnection *connection = value;
      int64_t rating = rate_ (connection, choice, now_us);

      if (rating > highest && now_us - connection->opened_us > FIRST_REQUEST_US)
        {
          highest = rating;
          chosen = value;
        }
    }
  return chosen;
}

static int64_t
rate_ (const struct ColtHttpConnection *connection,
       enum ColtChoice choice,
       int64_t now_us)
{
  size_t unsent = get_unsent_ (connection);

  if (connection->handled || connection->refused || connection->closing)
    return 0;
  if (choice == CHOICE_UNSENT)
    return now_us - connection->taken_us > STALL_US ? (int64_t)unsent : 0;
  if (unsent > 0)
    return 0;
  if (choice == CHOICE_INCOMPLETE)
    return connection->request_us > 0 ? now_us - connection->request_us + 1 : 0;
  return connection->request_us == 0 ? now_us - connection->idle_us + 1 : 0;
}

/* Idle connections hold little, so that closing them doesn't help. Returns
 * the one that holds most of those with unsent output, else of those with an
 * incomplete request. */
static struct ColtHttpConnection *
choose_for_memory_ (const struct ColtHttpPool *pool, int64_t now_us)
{
  struct ColtHttpConnection *chosen[2] = { NULL, NULL };
  uint64_t highest[2] = { 0, 0 };
  size_t i;

  for (i = 0; i < pool->listeners->len; i++)
    {
      const struct ColtHttpListener *listener = pool->listeners->pdata[i];
      GHashTableIter iter;
      gpointer value;

      g_hash_table_iter_init (&iter, listener->connections);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct ColtHttpConnection *connection = value;
          bool unsent = rate_ (connection, CHOICE_UNSENT, now_us) > 0;
          bool incomplete = rate_ (connection, CHOICE_INCOMPLETE, now_us) > 0;
          size_t kind = unsent ? 0 : 1;

          if ((unsent || incomplete) && connection->held > highest[kind])
            {
              highest[kind] = connection->held;
              chosen[kind] = value;
            }
        }
    }
  return chosen[0] != NULL ? chosen[0] : chosen[1];
}

static size_t
get_unsent_ (const struct ColtHttpConnection *connection)
{
  return evbuffer_get_length (bufferevent_get_output (connection->bufferevent));
}

/* Closes a connection and removes its entry. */
static void
end_ (struct ColtHttpConnection *connection, enum ColtHttpEnd end)
{
  struct ColtHttpListener *listener = connection->listener;
  struct bufferevent *bufferevent = connection->bufferevent;

  colt_http_pool_count_end (listener, end);
  connection->closing = true;
  colt_http_connection_close (connection, ends[end].discard);
  if (colt_http_connection_reap (connection))
    g_hash_table_remove (listener->connections, bufferevent);
}

/* Logs the connections closed for a reason, unless a line was written lately.
 */
static void
log_end_ (struct ColtHttpPool *pool, const char *listener, enum ColtHttpEnd end)
{
  int64_t now_us = pool->now_us;
  const struct ColtLogField fields[]
      = { { "reason", ends[end].text, 0 },
          { "listener", listener[0] != '\0' ? listener : "any", 0 },
          { "closed", NULL, (int64_t)pool->unlogged[end] },
          { "open", NULL, pool->open },
          { "open_max", NULL, pool->limits.connections },
          { "held_bytes", NULL, (int64_t)pool->held },
          { "held_bytes_max", NULL, (int64_t)pool->limits.memory_kb * KB } };

  if (pool->unlogged[end] == 0
      || now_us - pool->logged_us[end] < LOG_INTERVAL_US)
    return;
  pool->unlogged[end] = 0;
  pool->logged_us[end] = now_us;
  colt_log_event (end == COLT_HTTP_END_IDLE ? COLT_LOG_INFO : COLT_LOG_WARNING,
                  MODULE, "connections closed", NULL, fields,
                  G_N_ELEMENTS (fields));
}
