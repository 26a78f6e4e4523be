#include <string.h>

#include "scheduler_private.h"

/* How long a look waits for an end; renewals are at most this far apart. */
#define LOOK_WAIT_MS 1000
/* A look counts as lost this long after it should have been answered. */
#define LOOK_SLACK_MS 600
/* Time between the answer of a look and the next one, in which further ends
 * gather: for a server that runs what is tight, and for others. */
#define LOOK_PAUSE_US (25 * COLT_US_PER_MS)
#define LAX_LOOK_PAUSE_US (150 * COLT_US_PER_MS)
/* Time between looks at a server that can't be reached. */
#define DARK_PAUSE_US (300 * COLT_US_PER_MS)
#define DARK_PAUSE_MAX_US (1200 * COLT_US_PER_MS)
/* Looks that fail in a row before a server gets no more work. */
#define FAILURES_TO_DARK 2
/* An order is answered within milliseconds, or its answer is lost. */
#define ORDER_TIMEOUT_MS 250
/* The same for a start that is sent again if it isn't answered. */
#define FIRST_START_TIMEOUT_MS 120
/* A server's clock may run this much slower than ours. */
#define CLOCK_SLOWEST 0.98
/* Beyond a lease's computed end, for what the computation leaves out. */
#define LEASE_SLACK_US (150 * COLT_US_PER_MS)
#define MODULE "server_link"

struct ColtServerOrder
{
  bool start;
  char *task;
  uint32_t run;
  char *payload;
  char *checkpoint;
  char *ticket;
  bool again; /* sent a second time */
};

struct ColtServerLink
{
  const struct ColtPorts *ports;
  struct ColtServerLinkBounds bounds;
  struct ColtServerLinkClient client;
  char *id;
  char *address;
  struct ColtServerChannel *looks;
  struct ColtServerChannel *orders;
  GQueue queue;                 /* of struct ColtServerOrder */
  struct ColtServerOrder *open; /* the order on its way */
  bool closing;
  bool listed;
  bool looking;
  bool reported;
  uint32_t failures;
  uint64_t asked; /* looks sent so far */
  uint64_t aside_asked;
  uint64_t look_asked; /* number of the look that is open */
  int64_t next_look_us;
  int64_t born_ms;
  uint64_t taken_note;      /* durable ends */
  uint64_t taken_note_sent; /* as the server knows */
  uint64_t taken_note_open; /* in the look on its way */
  bool has_clock;
  int64_t clock_ms;
  int64_t clock_us;
  /* Latest ends of the leases that were sent: with calls that have ended, with
   * the look and with the order on its way; 0: none. */
  int64_t until_ms;
  int64_t look_until_ms;
  int64_t order_until_ms;
};

static void look_ (struct ColtServerLink *link, size_t runs, int64_t now_us);
static void take_look_ (void *client, const struct ColtServerAnswer *answer);
static void take_lists_ (struct ColtServerLink *link,
                         const struct ColtServerAnswer *answer);
static void look_failed_ (struct ColtServerLink *link,
                          const struct ColtServerAnswer *answer);
static void take_incarnation_ (struct ColtServerLink *link, int64_t born_ms);
static void forget_life_ (struct ColtServerLink *link);
static void take_clock_ (struct ColtServerLink *link,
                         const struct ColtServerAnswer *answer);
static int64_t renewed_until_ms_ (const struct ColtServerLink *link,
                                  int64_t now_us);
static int64_t latest_until_ms_ (const struct ColtServerLink *link);
static int64_t lapse_us_ (const struct ColtServerLink *link);
static void send_next_ (struct ColtServerLink *link);
static void take_order_ (void *client, const struct ColtServerAnswer *answer);
static enum ColtStartResult result_of_both_ (enum ColtStartResult again);
static void look_aside_ (struct ColtServerLink *link);
static void take_look_aside_ (void *client,
                              const struct ColtServerAnswer *answer);
static void free_order_ (struct ColtServerOrder *order);

struct ColtServerLink *
colt_server_link_create (const struct ColtPorts *ports,
                         const struct ColtServerLinkBounds *bounds,
                         const char *id,
                         const char *address,
                         const struct ColtServerLinkClient *client)
{
  struct ColtServerLink *link = g_new0 (struct ColtServerLink, 1);

  link->ports = ports;
  link->bounds = *bounds;
  link->client = *client;
  link->id = g_strdup (id);
  link->address = g_strdup (address);
  link->looks = ports->server_open (ports->adapter, address, id);
  link->orders = ports->server_open (ports->adapter, address, id);
  g_queue_init (&link->queue);
  return link;
}

void
colt_server_link_destroy (struct ColtServerLink *link)
{
  struct ColtServerOrder *order;

  if (link == NULL)
    return;
  link->closing = true;
  link->ports->server_close (link->looks);
  link->ports->server_close (link->orders);
  if (link->open != NULL)
    free_order_ (link->open);
  while ((order = g_queue_pop_head (&link->queue)) != NULL)
    free_order_ (order);
  g_free (link->id);
  g_free (link->address);
  g_free (link);
}

const char *
colt_server_link_id (const struct ColtServerLink *link)
{
  return link->id;
}

const char *
colt_server_link_address (const struct ColtServerLink *link)
{
  return link->address;
}

int64_t
colt_server_link_born_ms (const struct ColtServerLink *link)
{
  return link->born_ms;
}

void
colt_server_link_set_listed (struct ColtServerLink *link, bool listed)
{
  link->listed = listed;
}

void
colt_server_link_start (struct ColtServerLink *link,
                        const struct ColtStartOrder *start)
{
  struct ColtServerOrder *order = g_new0 (struct ColtServerOrder, 1);

  order->start = true;
  order->task = g_strdup (start->task);
  order->run = start->run;
  order->payload = g_strdup (start->payload);
  order->checkpoint = g_strdup (start->checkpoint);
  order->ticket = g_strdup (start->ticket);
  g_queue_push_tail (&link->queue, order);
  send_next_ (link);
}

void
colt_server_link_stop (struct ColtServerLink *link,
                       const char *task,
                       uint32_t run)
{
  struct ColtServerOrder *order = g_new0 (struct ColtServerOrder, 1);

  order->task = g_strdup (task);
  order->run = run;
  g_queue_push_tail (&link->queue, order);
  send_next_ (link);
}

void
colt_server_link_take_note (struct ColtServerLink *link,
                            int64_t born_ms,
                            uint64_t number)
{
  if (born_ms == link->born_ms && number > link->taken_note)
    link->taken_note = number;
}

void
colt_server_link_tick (struct ColtServerLink *link, int64_t now_us)
{
  size_t runs = link->client.runs_on (link->client.client, link->id);

  if (latest_until_ms_ (link) > 0 && now_us > lapse_us_ (link))
    {
      link->until_ms = 0;
      link->look_until_ms = 0;
      link->order_until_ms = 0;
      if (runs > 0)
        {
          link->reported = false;
          colt_log (COLT_LOG_WARNING, MODULE, NULL,
                    "leases on %s have ended: %zu runs", link->id, runs);
          link->client.emptied (link->client.client, link);
          runs = 0;
        }
    }
  if (link->looking || now_us < link->next_look_us)
    return;
  if (runs > 0 || link->taken_note > link->taken_note_sent
      || (!link->reported && link->listed))
    look_ (link, runs, now_us);
}

static void
look_ (struct ColtServerLink *link, size_t runs, int64_t now_us)
{
  struct ColtServerLook look = { 0 };

  look.token = link->bounds.token;
  look.taken_note = link->taken_note;
  if (runs > 0 && link->failures < FAILURES_TO_DARK)
    look.until_ms = renewed_until_ms_ (link, now_us);
  link->look_until_ms = look.until_ms;
  look.wait_ms
      = runs > 0 && link->reported && link->failures == 0 ? LOOK_WAIT_MS : 0;
  look.timeout_ms = look.wait_ms + LOOK_SLACK_MS;
  link->taken_note_open = link->taken_note;
  link->asked++;
  link->look_asked = link->asked;
  link->looking = true;
  link->ports->server_look (link->looks, &look, take_look_, link);
}

static void
take_look_ (void *client, const struct ColtServerAnswer *answer)
{
  struct ColtServerLink *link = client;

  if (link->closing)
    return;
  link->looking = false;
  /* What was never sent has renewed nothing. */
  if (answer->result != COLT_START_NOT_SENT)
    link->until_ms = MAX (link->until_ms, link->look_until_ms);
  link->look_until_ms = 0;
  switch (answer->result)
    {
    case COLT_START_TAKEN:
      take_lists_ (link, answer);
      break;
    case COLT_START_FENCED:
      link->next_look_us = answer->received_us + DARK_PAUSE_US;
      link->client.fenced (link->client.client, link);
      break;
    case COLT_START_GONE:
      forget_life_ (link);
      link->next_look_us = answer->received_us + DARK_PAUSE_MAX_US;
      link->client.emptied (link->client.client, link);
      break;
    default:
      look_failed_ (link, answer);
    }
}

static void
take_lists_ (struct ColtServerLink *link, const struct ColtServerAnswer *answer)
{
  struct ColtServerReport report = answer->report;

  take_incarnation_ (link, answer->born_ms);
  take_clock_ (link, answer);
  link->taken_note_sent = MAX (link->taken_note_sent, link->taken_note_open);
  if (link->failures >= FAILURES_TO_DARK)
    colt_log (COLT_LOG_INFO, MODULE, NULL, "server %s can be reached again",
              link->id);
  link->failures = 0;
  link->reported = true;
  report.asked = link->look_asked;
  link->client.reported (link->client.client, link, &report);
  link->next_look_us = answer->received_us
                       + (link->client.is_tight (link->client.client, link->id)
                              ? LOOK_PAUSE_US
                              : LAX_LOOK_PAUSE_US);
}

static void
look_failed_ (struct ColtServerLink *link,
              const struct ColtServerAnswer *answer)
{
  int64_t pause_us = DARK_PAUSE_US << MIN (link->failures, 2);

  link->failures++;
  link->next_look_us = answer->received_us
                       + (link->failures < FAILURES_TO_DARK
                              ? 0
                              : MIN (pause_us, DARK_PAUSE_MAX_US));
  if (link->failures != FAILURES_TO_DARK)
    return;
  link->reported = false;
  colt_log (COLT_LOG_WARNING, MODULE, NULL, "server %s can't be reached: %s",
            link->id, answer->error.message);
  link->client.dark (link->client.client, link);
}

/* A later start of the same server knows nothing of the earlier one. */
static void
take_incarnation_ (struct ColtServerLink *link, int64_t born_ms)
{
  if (born_ms == 0 || born_ms == link->born_ms)
    return;
  if (link->born_ms != 0)
    {
      colt_log (COLT_LOG_WARNING, MODULE, NULL, "server %s has started anew",
                link->id);
      forget_life_ (link);
      link->client.emptied (link->client.client, link);
    }
  link->born_ms = born_ms;
}

static void
forget_life_ (struct ColtServerLink *link)
{
  link->born_ms = 0;
  link->taken_note = 0;
  link->taken_note_sent = 0;
  link->taken_note_open = 0;
  link->has_clock = false;
  link->until_ms = 0;
  link->look_until_ms = 0;
  link->order_until_ms = 0;
  link->reported = false;
}

static void
take_clock_ (struct ColtServerLink *link, const struct ColtServerAnswer *answer)
{
  if (!answer->has_clock)
    return;
  link->has_clock = true;
  link->clock_ms = answer->clock_ms;
  link->clock_us = answer->received_us;
}

/* Leases end no later than what an instance that doesn't know of a later lead
 * may promise. */
static int64_t
renewed_until_ms_ (const struct ColtServerLink *link, int64_t now_us)
{
  int64_t renewable_us
      = link->client.renewable_until_us (link->client.client) - now_us;
  int64_t lease_ms = MIN (link->bounds.lease_ms, renewable_us / COLT_US_PER_MS);

  if (!link->has_clock || lease_ms <= 0)
    return 0;
  return link->clock_ms
         + (int64_t)((double)(now_us - link->clock_us) * CLOCK_SLOWEST
                     / COLT_US_PER_MS)
         + lease_ms;
}

static int64_t
latest_until_ms_ (const struct ColtServerLink *link)
{
  return MAX (link->until_ms, MAX (link->look_until_ms, link->order_until_ms));
}

/* The server's clock was at least clock_ms at clock_us. */
static int64_t
lapse_us_ (const struct ColtServerLink *link)
{
  return link->clock_us
         + (int64_t)((double)(latest_until_ms_ (link) - link->clock_ms)
                     * COLT_US_PER_MS / CLOCK_SLOWEST)
         + LEASE_SLACK_US;
}

static void
send_next_ (struct ColtServerLink *link)
{
  struct ColtServerOrder *order;
  struct ColtStartOrder start = { 0 };
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t until_ms;

  if (link->open != NULL)
    return;
  order = g_queue_pop_head (&link->queue);
  if (order == NULL)
    return;
  link->open = order;
  if (!order->start)
    {
      link->ports->server_stop (link->orders, order->task, order->run,
                                link->bounds.token, ORDER_TIMEOUT_MS,
                                take_order_, link);
      return;
    }
  until_ms = renewed_until_ms_ (link, now_us);
  link->order_until_ms = MAX (link->order_until_ms, until_ms);
  start.server = link->id;
  start.task = order->task;
  start.run = order->run;
  start.payload = order->payload;
  start.checkpoint = order->checkpoint;
  start.ticket = order->ticket;
  link->ports->server_start (link->orders, &start, link->bounds.token, until_ms,
                             order->again ? ORDER_TIMEOUT_MS
                                          : FIRST_START_TIMEOUT_MS,
                             take_order_, link);
}

static void
take_order_ (void *client, const struct ColtServerAnswer *answer)
{
  struct ColtServerLink *link = client;
  struct ColtServerOrder *order = link->open;
  enum ColtStartResult result = answer->result;

  if (link->closing)
    return;
  link->open = NULL;
  take_clock_ (link, answer);
  if (order->start && !order->again && result == COLT_START_UNKNOWN)
    {
      order->again = true;
      g_queue_push_head (&link->queue, order);
      send_next_ (link);
      return;
    }
  if (order->again)
    result = result_of_both_ (result);
  if (answer->result == COLT_START_FENCED)
    link->client.fenced (link->client.client, link);
  if (answer->result == COLT_START_GONE)
    forget_life_ (link);
  if (order->start)
    {
      if (result != COLT_START_NOT_SENT)
        link->until_ms = MAX (link->until_ms, link->order_until_ms);
      link->order_until_ms = 0;
      if (result != COLT_START_TAKEN)
        colt_log (COLT_LOG_INFO, MODULE, NULL,
                  "start of %s run %u on %s: %s %s", order->task, order->run,
                  link->id, colt_start_result_string[result],
                  answer->error.message);
      link->client.started (link->client.client, link, order->task, order->run,
                            result, link->asked + 1);
      if (result == COLT_START_UNKNOWN)
        look_aside_ (link);
    }
  else
    link->client.stopped (link->client.client, link, order->task, order->run,
                          answer->result != COLT_START_UNKNOWN
                              && answer->result != COLT_START_NOT_SENT
                              && answer->result != COLT_START_BUSY,
                          link->asked + 1);
  free_order_ (order);
  send_next_ (link);
}

/* A run that is there already is taken. A refusal says nothing about the start
 * that wasn't answered: it may have ended, or be carried out yet. */
static enum ColtStartResult
result_of_both_ (enum ColtStartResult again)
{
  switch (again)
    {
    case COLT_START_TAKEN:
    case COLT_START_FENCED:
    case COLT_START_GONE:
      return again;
    default:
      return COLT_START_UNKNOWN;
    }
}

/* Whether a start was carried out is known from the lists; the look that is
 * open may wait for a second yet. */
static void
look_aside_ (struct ColtServerLink *link)
{
  struct ColtServerLook look = { 0 };

  look.token = link->bounds.token;
  look.taken_note = link->taken_note;
  look.timeout_ms = ORDER_TIMEOUT_MS;
  link->asked++;
  link->aside_asked = link->asked;
  link->ports->server_look (link->orders, &look, take_look_aside_, link);
}

static void
take_look_aside_ (void *client, const struct ColtServerAnswer *answer)
{
  struct ColtServerLink *link = client;
  struct ColtServerReport report = answer->report;

  if (link->closing || answer->result != COLT_START_TAKEN
      || answer->born_ms != link->born_ms)
    return;
  report.asked = link->aside_asked;
  link->client.reported (link->client.client, link, &report);
}

static void
free_order_ (struct ColtServerOrder *order)
{
  g_free (order->task);
  g_free (order->payload);
  g_free (order->checkpoint);
  g_free (order->ticket);
  g_free (order);
}
