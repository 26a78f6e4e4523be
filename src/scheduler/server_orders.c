#include <string.h>

#include "coltsfootstile/guard.h"
#include "server_link_private.h"

/* Time after which the answer to an order counts as lost; answers usually take
 * milliseconds. */
#define ORDER_TIMEOUT_MS 250
/* Timeout of a start's first transmission; it is resent once. */
#define FIRST_START_TIMEOUT_MS 120
/* Bytes of a start order besides its payload, checkpoint and ticket. */
#define START_HEADERS_BYTES 500

static void withdraw_starts_ (struct ColtServerLink *link, bool unsent_only);
static void withdraw_ended_starts_ (struct ColtServerLink *link);
static void withdraw_start_ (struct ColtServerLink *link,
                             struct ColtServerOrder *order);
static struct ColtServerOrder *take_next_order_ (struct ColtServerLink *link,
                                                 int64_t now_us);
static void send_start_ (struct ColtServerLink *link,
                         struct ColtServerOrder *order,
                         int64_t now_us);
static void resume_orders_ (void *client);
static void release_window_ (struct ColtServerLink *link,
                             const struct ColtServerOrder *order,
                             bool answered);
static uint32_t start_timeout_ms_ (const struct ColtServerLink *link,
                                   const struct ColtServerOrder *order);
static bool is_resend_blocked_ (const struct ColtServerLink *link);
static bool may_send_again_ (const struct ColtServerOrder *order,
                             enum ColtStartResult result);
static void handle_order_answer_ (void *client,
                                  const struct ColtServerAnswer *answer);
static void close_start_lease_ (struct ColtServerLink *link,
                                const struct ColtServerOrder *order,
                                enum ColtStartResult result);
static enum ColtStartResult resolve_retry_result_ (enum ColtStartResult result);
static void handle_report_answer_ (void *client,
                                   const struct ColtServerAnswer *answer);
static void free_order_ (struct ColtServerOrder *order);

void
colt_link_init_orders (struct ColtServerLink *link)
{
  g_queue_init (&link->queue);
  link->waiter.resume = resume_orders_;
  link->waiter.client = link;
}

void
colt_link_leave_window (struct ColtServerLink *link)
{
  if (link->settings.window == NULL)
    return;
  colt_order_window_leave (link->settings.window, &link->waiter);
  if (link->open_order != NULL && link->open_order->start)
    release_window_ (link, link->open_order, false);
}

void
colt_link_free_orders (struct ColtServerLink *link)
{
  struct ColtServerOrder *order;

  if (link->open_order != NULL)
    free_order_ (link->open_order);
  while ((order = g_queue_pop_head (&link->queue)) != NULL)
    {
      colt_link_count_backlog (link, order, false);
      free_order_ (order);
    }
}

void
colt_link_drop_starts (struct ColtServerLink *link)
{
  if (colt_guard_on (COLT_GUARD_LOST_ORDERS))
    colt_link_withdraw_starts (link);
  if (link->open_order != NULL)
    link->open_order->lost = true;
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
  order->bytes = START_HEADERS_BYTES + strlen (start->payload)
                 + strlen (start->checkpoint)
                 + (start->ticket != NULL ? strlen (start->ticket) : 0);
  colt_link_count_backlog (link, order, true);
  g_queue_push_tail (&link->queue, order);
  colt_link_send_next_order (link);
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
  colt_link_send_next_order (link);
}

void
colt_link_send_next_order (struct ColtServerLink *link)
{
  struct ColtServerOrder *order;
  int64_t now_us = colt_clock_monotonic_us ();

  withdraw_ended_starts_ (link);
  if (link->open_order != NULL)
    return;
  order = take_next_order_ (link, now_us);
  if (order == NULL)
    return;
  link->open_order = order;
  order->sent_us = now_us;
  order->number = ++link->call_count;
  order->incarnation_ms = link->incarnation_ms;
  colt_link_count_backlog (link, order, false);
  if (!order->start)
    {
      link->ports->server_stop (link->order_channel, order->task, order->run,
                                link->settings.token, ORDER_TIMEOUT_MS,
                                handle_order_answer_, link);
      return;
    }
  send_start_ (link, order, now_us);
}

static void
send_start_ (struct ColtServerLink *link,
             struct ColtServerOrder *order,
             int64_t now_us)
{
  const struct ColtStartOrder what = { .server = link->id,
                                       .task = order->task,
                                       .run = order->run,
                                       .payload = order->payload,
                                       .checkpoint = order->checkpoint,
                                       .ticket = order->ticket };
  const struct ColtServerStart start
      = { .order = &what,
          .connection = link->order_connection,
          .token = link->settings.token,
          .until_ms = colt_link_lease_end_ms (link, now_us),
          .timeout_ms = start_timeout_ms_ (link, order) };

  order->bound = start.connection != 0;
  link->order_until_ms = MAX (link->order_until_ms, start.until_ms);
  link->ports->server_start (link->order_channel, &start, handle_order_answer_,
                             link);
}

void
colt_link_withdraw_starts (struct ColtServerLink *link)
{
  withdraw_starts_ (link, false);
}

void
colt_link_withdraw_unsent_starts (struct ColtServerLink *link)
{
  if (colt_link_has_waiting_start (link))
    withdraw_starts_ (link, true);
}

bool
colt_link_has_waiting_start (const struct ColtServerLink *link)
{
  GList *i;

  for (i = link->queue.head; i != NULL; i = i->next)
    if (((const struct ColtServerOrder *)i->data)->start)
      return true;
  return false;
}

int64_t
colt_link_start_patience_us (const struct ColtServerLink *link)
{
  const struct ColtServerOrder first = { 0 };

  return (int64_t)start_timeout_ms_ (link, &first) * COLT_US_PER_MS;
}

/* Results may add orders to the queue, of which only stops are possible. */
static void
withdraw_starts_ (struct ColtServerLink *link, bool unsent_only)
{
  GQueue waiting = link->queue;
  struct ColtServerOrder *order;

  g_queue_init (&link->queue);
  while ((order = g_queue_pop_head (&waiting)) != NULL)
    if (order->start && !(unsent_only && order->resent))
      withdraw_start_ (link, order);
    else
      g_queue_push_tail (&link->queue, order);
}

/* Withdraws starts whose runs have ended or are being stopped. The server may
 * have forgotten a stop that it answered, or an end that it listed, by a
 * restart while the start waited. */
static void
withdraw_ended_starts_ (struct ColtServerLink *link)
{
  struct ColtServerOrder *first;

  while (link->open_order == NULL
         && (first = g_queue_peek_head (&link->queue)) != NULL && first->start
         && colt_guard_on (COLT_GUARD_LOST_ORDERS)
         && !link->client.may_start (link->client.client, link->id, first->task,
                                     first->run))
    {
      g_queue_pop_head (&link->queue);
      withdraw_start_ (link, first);
    }
}

/* Reports the result of a start that isn't sent, or not sent again. */
static void
withdraw_start_ (struct ColtServerLink *link, struct ColtServerOrder *order)
{
  colt_link_count_backlog (link, order, false);
  if (order->resent)
    close_start_lease_ (link, order, COLT_START_UNKNOWN);
  link->client.handle_start_result (
      link->client.client, link, order->task, order->run,
      order->resent ? COLT_START_UNKNOWN : COLT_START_NOT_SENT,
      link->call_count + 1);
  free_order_ (order);
}

/* Takes the next order from the queue. Stops precede a start for which the
 * window has no room, or that waits for an answer of a silent or suspected
 * server, or on a new connection. */
static struct ColtServerOrder *
take_next_order_ (struct ColtServerLink *link, int64_t now_us)
{
  struct ColtServerOrder *first = g_queue_peek_head (&link->queue);
  bool silent = colt_link_is_silent (link, now_us);
  bool bound = colt_link_is_bound (link, link->order_connection);
  GList *i;

  if (first == NULL)
    return NULL;
  if (!first->start
      || (!silent && bound && !link->suspect.suspected
          && (link->settings.window == NULL
              || colt_order_window_acquire (link->settings.window, first->bytes,
                                            &link->waiter))))
    return g_queue_pop_head (&link->queue);
  if (silent && !link->renewing && now_us >= link->next_renewal_us)
    colt_link_renew_leases (link, 1, now_us);
  if (!silent && (!bound || link->suspect.suspected) && link->query_count == 0)
    colt_link_query_report (link);
  if (silent || !bound)
    colt_suspicion_start_wait (&link->suspect, now_us);
  for (i = link->queue.head; i != NULL; i = i->next)
    {
      struct ColtServerOrder *order = i->data;

      if (order->start)
        continue;
      g_queue_delete_link (&link->queue, i);
      return order;
    }
  return NULL;
}

/* A start for a suspected server waits for the server, not for the window. */
void
colt_link_count_backlog (struct ColtServerLink *link,
                         struct ColtServerOrder *order,
                         bool queued)
{
  bool counts = queued && !link->suspect.suspected;

  if (!order->start || link->settings.window == NULL
      || order->counted == counts)
    return;
  order->counted = counts;
  colt_order_window_queue (link->settings.window, counts
                                                      ? (int64_t)order->bytes
                                                      : -(int64_t)order->bytes);
}

static void
resume_orders_ (void *client)
{
  colt_link_send_next_order (client);
}

static void
release_window_ (struct ColtServerLink *link,
                 const struct ColtServerOrder *order,
                 bool answered)
{
  int64_t now_us = colt_clock_monotonic_us ();

  colt_order_window_release (link->settings.window, order->bytes,
                             now_us - order->sent_us, answered, now_us);
}

static uint32_t
start_timeout_ms_ (const struct ColtServerLink *link,
                   const struct ColtServerOrder *order)
{
  uint32_t at_least_ms
      = order->resent ? ORDER_TIMEOUT_MS : FIRST_START_TIMEOUT_MS;

  return link->settings.window != NULL
             ? colt_order_window_timeout_ms (link->settings.window, at_least_ms)
             : at_least_ms;
}

/* Returns whether a start that is sent again would wait until the leases have
 * expired, like those that were withdrawn when the server became unreachable.
 */
static bool
is_resend_blocked_ (const struct ColtServerLink *link)
{
  return colt_link_is_unreachable (link)
         && colt_link_is_silent (link, colt_clock_monotonic_us ());
}

/* Returns whether a start may be sent again: once if it had no answer, and once
 * if its connection had ended, as one that is idle does at times. */
static bool
may_send_again_ (const struct ColtServerOrder *order,
                 enum ColtStartResult result)
{
  return (result == COLT_START_UNKNOWN && !order->resent)
         || (result == COLT_START_NOT_SENT && order->bound && !order->rebound);
}

static void
handle_order_answer_ (void *client, const struct ColtServerAnswer *answer)
{
  struct ColtServerLink *link = client;
  struct ColtServerOrder *order = link->open_order;
  enum ColtStartResult result = answer->result;
  bool is_known;

  if (link->closing)
    return;
  link->open_order = NULL;
  if (answer->connection == 0)
    link->order_connection = 0;
  if (colt_link_is_answer (answer))
    colt_link_note_answer (link);
  /* The clock of another server isn't one of an incarnation of this one. */
  is_known = result == COLT_START_GONE || colt_link_check_clock (link, answer);
  if (order->start && link->settings.window != NULL)
    release_window_ (link, order, result != COLT_START_UNKNOWN);
  if (order->start && !order->lost && !is_resend_blocked_ (link)
      && may_send_again_ (order, result))
    {
      order->rebound |= result == COLT_START_NOT_SENT;
      order->resent |= result == COLT_START_UNKNOWN;
      if (!order->resent)
        link->order_until_ms = 0;
      colt_link_count_backlog (link, order, true);
      g_queue_push_head (&link->queue, order);
      if (result == COLT_START_UNKNOWN)
        colt_link_note_loss (link, answer->received_us);
      colt_link_send_next_order (link);
      return;
    }
  if (answer->result == COLT_START_GONE
      && !colt_link_lose_replaced_server (link, order->start ? "start" : "stop",
                                          answer, order->number))
    is_known = false;
  if (order->resent)
    result = result == COLT_START_GONE && !is_known
                 ? COLT_START_UNKNOWN
                 : resolve_retry_result_ (result);
  if (answer->result == COLT_START_FENCED)
    link->client.handle_fenced (link->client.client, link);
  if (order->start)
    {
      close_start_lease_ (link, order, result);
      if (result != COLT_START_TAKEN)
        colt_log (COLT_LOG_INFO, MODULE, NULL,
                  "starting task %s run %u on server %s failed: %s %s",
                  order->task, order->run, link->id,
                  colt_start_result_string[result], answer->error.message);
      link->client.handle_start_result (link->client.client, link, order->task,
                                        order->run, result,
                                        link->call_count + 1);
    }
  else
    link->client.handle_stop_result (
        link->client.client, link, order->task, order->run,
        is_known && answer->result != COLT_START_UNKNOWN
            && answer->result != COLT_START_NOT_SENT
            && answer->result != COLT_START_BUSY,
        link->call_count + 1);
  if (answer->result == COLT_START_UNKNOWN)
    colt_link_note_loss (link, answer->received_us);
  if (!is_known || (order->start && result == COLT_START_UNKNOWN))
    link->query_owed = !colt_link_query_report (link);
  free_order_ (order);
  colt_link_send_next_order (link);
}

/* Keeps the latest end of a lease that the server may have granted with a
 * start, now that the start has a result. */
static void
close_start_lease_ (struct ColtServerLink *link,
                    const struct ColtServerOrder *order,
                    enum ColtStartResult result)
{
  int64_t latest_us
      = colt_link_unclocked_lease_end_us (link, colt_clock_monotonic_us ());

  if (result != COLT_START_NOT_SENT)
    {
      link->lease_until_ms = MAX (link->lease_until_ms, link->order_until_ms);
      /* The end that was sent was on the clock of another incarnation. */
      if (order->incarnation_ms != link->incarnation_ms)
        link->unclocked_until_us = latest_us;
    }
  if (result == COLT_START_UNKNOWN)
    link->unconfirmed_until_us = latest_us;
  link->order_until_ms = 0;
}

/* Returns the result of a start that was sent twice, given the second answer. A
 * server accepts the start of a run that it already has. Its rejection says
 * nothing about the first, unanswered start: that run may have ended, or the
 * start may still be executed. */
static enum ColtStartResult
resolve_retry_result_ (enum ColtStartResult result)
{
  switch (result)
    {
    case COLT_START_TAKEN:
    case COLT_START_FENCED:
    case COLT_START_GONE:
      return result;
    default:
      return COLT_START_UNKNOWN;
    }
}

/* Queries the server's report, which shows whether a start with an unknown
 * result was executed, and which incarnation is there. The open renewal may
 * wait for another second. No ends are acknowledged, since the server may have
 * been restarted. */
bool
colt_link_query_report (struct ColtServerLink *link)
{
  struct ColtServerRenewal query = { 0 };

  if (link->suspect.suspected
      && !colt_suspicion_take_query (link->settings.suspicion, &link->suspect,
                                     colt_clock_monotonic_us ()))
    return false;
  link->query_owed = false;
  query.token = link->settings.token;
  query.timeout_ms = ORDER_TIMEOUT_MS;
  link->call_count++;
  /* Answers may overtake each other, so that each counts as the oldest. */
  if (link->query_count++ == 0)
    link->query_number = link->call_count;
  link->ports->server_renew (link->order_channel, &query, handle_report_answer_,
                             link);
  return true;
}

static void
handle_report_answer_ (void *client, const struct ColtServerAnswer *answer)
{
  struct ColtServerLink *link = client;

  if (link->closing)
    return;
  link->query_count--;
  if (answer->connection == 0)
    link->order_connection = 0;
  if (colt_link_is_answer (answer))
    colt_link_note_answer (link);
  if (answer->result == COLT_START_GONE)
    colt_link_lose_replaced_server (link, "query", answer, link->query_number);
  if (answer->result != COLT_START_TAKEN
      || !colt_link_apply_report (link, answer, link->query_number,
                                  &link->order_connection))
    return;
  /* Its leases are still not renewed. */
  if (colt_link_is_unreachable (link))
    link->client.handle_unreachable (link->client.client, link);
  colt_link_send_next_order (link);
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
