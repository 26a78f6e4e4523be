#include "order_window.h"

#include <math.h>

#include "coltsfootstile/clock.h"

/* Limits of the window and its initial size. */
#define WINDOW_MIN_BYTES ((double)(8 * 1024))
#define WINDOW_MAX_BYTES ((double)(4 * 1024 * 1024))
#define WINDOW_START_BYTES ((double)(32 * 1024))
/* Assumed size of an order before the first one. */
#define ORDER_BYTES 1000.0
/* Growth of the window for each window of orders that were answered in time. */
#define GROWTH_BYTES 4096.0
/* Factors by which the window shrinks after a late answer, and after none. */
#define LATE_FACTOR 0.85
#define LOST_FACTOR 0.5
/* Part of an answer's time, beyond the shortest one, that may be spent in
 * queues: half of the shortest timeout of an order. */
#define QUEUEING_MAX_US (60 * COLT_US_PER_MS)
/* Queueing at which the initial doubling of the window ends. */
#define DOUBLING_QUEUEING_US (15 * COLT_US_PER_MS)
/* Weight of a new answer in the smoothed time of answers and in the mean size
 * of orders. */
#define TIME_WEIGHT 0.1
/* An answer counts as lost after this many times the smoothed time. */
#define TIMEOUT_FACTOR 4
#define TIMEOUT_MAX_MS 1000
/* Orders are counted by the period in which they were sent. An order has ended
 * before its period is reused. */
#define PERIOD_US (25 * COLT_US_PER_MS)
#define PERIODS 64
/* Lost orders, sent within three periods, that reduce the window if they
 * outnumber the answered ones: fewer may be due to single servers that are
 * gone. */
#define LOST_MIN 4

/* Orders that were sent in a period and have ended. */
struct ColtOrderPeriod
{
  int64_t number; /* time divided by the length of a period */
  uint32_t answered;
  uint32_t lost;
};

struct ColtOrderWindow
{
  double limit;
  size_t open;
  int64_t backlog;   /* bytes of orders that are queued and not yet sent */
  double mean_bytes; /* of an order */
  bool doubling;     /* initially */
  struct ColtOrderPeriod periods[PERIODS];
  uint64_t lost; /* orders without an answer */
  int64_t shortest_us;
  double smoothed_us;
  int64_t shrunk_us; /* when the window was last reduced */
  GQueue waiters;    /* of struct ColtOrderWaiter */
  bool resuming;
};

static struct ColtOrderPeriod *find_period_ (struct ColtOrderWindow *window,
                                             int64_t number);
static bool are_most_lost_ (struct ColtOrderWindow *window, int64_t sent_us);
static void grow_ (struct ColtOrderWindow *window, size_t bytes);
static void shrink_ (struct ColtOrderWindow *window,
                     double factor,
                     int64_t took_us,
                     int64_t now_us);
static void resume_waiters_ (struct ColtOrderWindow *window);

struct ColtOrderWindow *
colt_order_window_create (void)
{
  struct ColtOrderWindow *window = g_new0 (struct ColtOrderWindow, 1);

  window->limit = WINDOW_START_BYTES;
  window->doubling = true;
  window->mean_bytes = ORDER_BYTES;
  window->shortest_us = INT64_MAX / 2;
  g_queue_init (&window->waiters);
  return window;
}

void
colt_order_window_destroy (struct ColtOrderWindow *window)
{
  g_free (window);
}

void
colt_order_window_close (struct ColtOrderWindow *window)
{
  window->resuming = true;
}

bool
colt_order_window_acquire (struct ColtOrderWindow *window,
                           size_t bytes,
                           struct ColtOrderWaiter *waiter)
{
  if (window->open == 0 || (double)(window->open + bytes) <= window->limit)
    {
      window->open += bytes;
      return true;
    }
  if (!waiter->waiting)
    {
      waiter->waiting = true;
      waiter->link.data = waiter;
      g_queue_push_tail_link (&window->waiters, &waiter->link);
    }
  return false;
}

void
colt_order_window_leave (struct ColtOrderWindow *window,
                         struct ColtOrderWaiter *waiter)
{
  if (!waiter->waiting)
    return;
  waiter->waiting = false;
  g_queue_unlink (&window->waiters, &waiter->link);
}

void
colt_order_window_release (struct ColtOrderWindow *window,
                           size_t bytes,
                           int64_t took_us,
                           bool answered,
                           int64_t now_us)
{
  bool full = (double)(window->open + bytes) > window->limit;
  int64_t sent_us = now_us - took_us;
  struct ColtOrderPeriod *period = find_period_ (window, sent_us / PERIOD_US);

  g_assert (window->open >= bytes);
  window->open -= bytes;
  window->mean_bytes += TIME_WEIGHT * ((double)bytes - window->mean_bytes);
  if (!answered)
    {
      window->lost++;
      period->lost++;
      if (are_most_lost_ (window, sent_us)
          || window->smoothed_us - (double)window->shortest_us
                 > QUEUEING_MAX_US / 2.0)
        shrink_ (window, LOST_FACTOR, took_us, now_us);
    }
  else
    {
      period->answered++;
      window->shortest_us = MIN (window->shortest_us, took_us);
      window->smoothed_us
          += TIME_WEIGHT * ((double)took_us - window->smoothed_us);
      if (took_us > window->shortest_us + DOUBLING_QUEUEING_US)
        window->doubling = false;
      if (took_us > window->shortest_us + QUEUEING_MAX_US)
        shrink_ (window, LATE_FACTOR, took_us, now_us);
      else if (full)
        grow_ (window, bytes);
    }
  resume_waiters_ (window);
}

uint32_t
colt_order_window_timeout_ms (const struct ColtOrderWindow *window,
                              uint32_t at_least_ms)
{
  double ms = TIMEOUT_FACTOR * window->smoothed_us / COLT_US_PER_MS;

  return (uint32_t)CLAMP (ms, at_least_ms, MAX (TIMEOUT_MAX_MS, at_least_ms));
}

void
colt_order_window_queue (struct ColtOrderWindow *window, int64_t bytes)
{
  window->backlog += bytes;
}

uint32_t
colt_order_window_budget (const struct ColtOrderWindow *window)
{
  double bytes
      = 2 * window->limit - (double)window->open - (double)window->backlog;

  return bytes > 0 ? (uint32_t)ceil (bytes / window->mean_bytes) : 0;
}

uint64_t
colt_order_window_lost (const struct ColtOrderWindow *window)
{
  return window->lost;
}

size_t
colt_order_window_limit (const struct ColtOrderWindow *window)
{
  return (size_t)window->limit;
}

static struct ColtOrderPeriod *
find_period_ (struct ColtOrderWindow *window, int64_t number)
{
  struct ColtOrderPeriod *period = &window->periods[number % PERIODS];

  if (period->number != number)
    {
      period->number = number;
      period->answered = 0;
      period->lost = 0;
    }
  return period;
}

/* Returns whether most of the orders that were sent at about the same time are
 * lost. Orders that are sent together time out together, long after the answers
 * to the others, so that their order of ending says nothing. */
static bool
are_most_lost_ (struct ColtOrderWindow *window, int64_t sent_us)
{
  int64_t number = sent_us / PERIOD_US;
  uint32_t answered = 0;
  uint32_t lost = 0;
  int64_t i;

  for (i = MAX (number - 1, 0); i <= number + 1; i++)
    {
      const struct ColtOrderPeriod *period = &window->periods[i % PERIODS];

      if (period->number != i)
        continue;
      answered += period->answered;
      lost += period->lost;
    }
  return lost >= LOST_MIN && lost > answered;
}

static void
grow_ (struct ColtOrderWindow *window, size_t bytes)
{
  window->limit += window->doubling
                       ? (double)bytes
                       : GROWTH_BYTES * (double)bytes / window->limit;
  window->limit = MIN (window->limit, WINDOW_MAX_BYTES);
}

/* Orders that were open together end late together: only the first counts. */
static void
shrink_ (struct ColtOrderWindow *window,
         double factor,
         int64_t took_us,
         int64_t now_us)
{
  window->doubling = false;
  if (now_us - took_us < window->shrunk_us)
    return;
  window->shrunk_us = now_us;
  window->limit = MAX (window->limit * factor, WINDOW_MIN_BYTES);
}

/* A resumed waiter that still finds no room goes to the end of the queue, so
 * each is resumed at most once. */
static void
resume_waiters_ (struct ColtOrderWindow *window)
{
  guint count = window->waiters.length;

  if (window->resuming)
    return;
  window->resuming = true;
  while (count-- > 0 && (double)window->open < window->limit)
    {
      GList *link = g_queue_pop_head_link (&window->waiters);
      struct ColtOrderWaiter *waiter = link != NULL ? link->data : NULL;

      if (waiter == NULL)
        break;
      waiter->waiting = false;
      waiter->resume (waiter->client);
    }
  window->resuming = false;
}
