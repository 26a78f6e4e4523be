#include <glib.h>

#include "coltsfootstile/clock.h"
#include "order_window.h"
#include "tests.h"

#define ORDER_BYTES 1500
#define ORDERS_MAX 1000
/* Time that a server takes to answer. */
#define SERVER_US (3 * COLT_US_PER_MS)
/* A start without an answer for this long would be sent again. */
#define TIMEOUT_US (120 * COLT_US_PER_MS)

/* A link that sends one order after the other, in virtual time. */
struct ColtNarrowLink
{
  struct ColtOrderWindow *window;
  double bytes_per_us;
  int64_t now_us;
  int64_t free_us; /* when the last order will have been sent */
  int64_t sent_us[ORDERS_MAX];
  int64_t due_us[ORDERS_MAX]; /* when it is answered; 0: not sent */
  struct ColtOrderWaiter waiters[ORDERS_MAX];
  uint32_t answered;
  uint32_t late; /* answered after TIMEOUT_US */
};

struct ColtSender
{
  struct ColtNarrowLink *link;
  uint32_t index;
};

static void
send_order (void *client)
{
  struct ColtSender *sender = client;
  struct ColtNarrowLink *link = sender->link;
  uint32_t i = sender->index;

  if (!colt_order_window_acquire (link->window, ORDER_BYTES, &link->waiters[i]))
    return;
  link->sent_us[i] = link->now_us;
  link->free_us = MAX (link->free_us, link->now_us)
                  + (int64_t)(ORDER_BYTES / link->bytes_per_us);
  link->due_us[i] = link->free_us + SERVER_US;
}

/* Sends all orders at the same time and returns the time until all have been
 * answered. */
static int64_t
run_burst (struct ColtNarrowLink *link, uint32_t count)
{
  struct ColtSender *senders = g_new0 (struct ColtSender, count);
  uint32_t done = 0;
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      senders[i].link = link;
      senders[i].index = i;
      link->waiters[i].resume = send_order;
      link->waiters[i].client = &senders[i];
      link->due_us[i] = 0;
    }
  for (i = 0; i < count; i++)
    send_order (&senders[i]);
  for (link->now_us += COLT_US_PER_MS; done < count;
       link->now_us += COLT_US_PER_MS)
    for (i = 0; i < count; i++)
      {
        int64_t took_us = link->now_us - link->sent_us[i];

        if (link->due_us[i] == 0 || link->due_us[i] > link->now_us)
          continue;
        link->due_us[i] = 0;
        done++;
        link->late += took_us > TIMEOUT_US;
        colt_order_window_release (link->window, ORDER_BYTES, took_us, true,
                                   link->now_us);
      }
  g_free (senders);
  return link->now_us;
}

static struct ColtNarrowLink *
create_link (double mbit_per_s)
{
  struct ColtNarrowLink *link = g_new0 (struct ColtNarrowLink, 1);

  link->window = colt_order_window_create ();
  link->bytes_per_us = mbit_per_s / 8;
  return link;
}

static void
destroy_link (struct ColtNarrowLink *link)
{
  colt_order_window_destroy (link->window);
  g_free (link);
}

/* Pattern: a wide step starts at once from an instance with a link of 2 Mbit/s.
 * Its orders don't time out together, and the link stays busy. */
static void
test_burst_on_narrow_link (void)
{
  struct ColtNarrowLink *link = create_link (2);
  int64_t took_us = run_burst (link, 400);

  /* The window is larger than the link's queue only until the first answers. */
  g_assert_cmpuint (link->late, <, 40);
  g_assert_cmpint (took_us, <, 400 * ORDER_BYTES * 8 / 2 * 11 / 10);
  link->late = 0;
  run_burst (link, 400);
  g_assert_cmpuint (link->late, ==, 0);
  destroy_link (link);
}

/* Pattern: thousands of starts a second on a fast link: the window opens and
 * doesn't delay them. */
static void
test_burst_on_fast_link (void)
{
  struct ColtNarrowLink *link = create_link (200);

  run_burst (link, ORDERS_MAX);
  link->now_us = 0;
  link->free_us = 0;
  g_assert_cmpint (run_burst (link, ORDERS_MAX), <,
                   ORDERS_MAX * ORDER_BYTES * 8 / 200 * 3 / 2);
  g_assert_cmpuint (link->late, ==, 0);
  destroy_link (link);
}

/* A few lost orders, to servers that are gone, don't reduce the window. More of
 * them halve it once for all that were open together, and it never closes. */
static void
test_lost_orders (void)
{
  struct ColtOrderWindow *window = colt_order_window_create ();
  struct ColtOrderWaiter waiter = { 0 };
  size_t limit = colt_order_window_limit (window);
  int64_t now_us = COLT_US_PER_S;
  int i;

  for (i = 0; i < 8; i++)
    g_assert_true (colt_order_window_acquire (window, 1000, &waiter));
  for (i = 0; i < 3; i++)
    colt_order_window_release (window, 1000, TIMEOUT_US, false, now_us);
  g_assert_cmpuint (colt_order_window_limit (window), ==, limit);
  for (i = 3; i < 8; i++)
    colt_order_window_release (window, 1000, TIMEOUT_US, false, now_us);
  g_assert_cmpuint (colt_order_window_limit (window), ==, limit / 2);
  for (i = 0; i < 400; i++)
    {
      now_us += i % 4 == 0 ? COLT_US_PER_S : 0;
      g_assert_true (colt_order_window_acquire (window, 100000, &waiter));
      colt_order_window_release (window, 100000, TIMEOUT_US, false, now_us);
    }
  g_assert_cmpuint (colt_order_window_limit (window), ==, 8 * 1024);
  colt_order_window_destroy (window);
}

/* Sends orders in rounds and ends a part of them without an answer; after the
 * first round answers take queueing_us longer. Returns the window's size
 * afterwards. */
static size_t
lose_part (uint32_t lost_of_20, int64_t queueing_us)
{
  struct ColtOrderWindow *window = colt_order_window_create ();
  struct ColtOrderWaiter waiter = { 0 };
  int64_t sent_us = COLT_US_PER_S;
  int64_t answer_us = SERVER_US;
  size_t limit;
  uint32_t round;
  uint32_t i;

  for (round = 0; round < 100; round++)
    {
      for (i = 0; i < 20; i++)
        colt_order_window_acquire (window, 400, &waiter);
      for (i = lost_of_20; i < 20; i++)
        colt_order_window_release (window, 400, answer_us, true,
                                   sent_us + answer_us);
      for (i = 0; i < lost_of_20; i++)
        colt_order_window_release (window, 400, TIMEOUT_US, false,
                                   sent_us + TIMEOUT_US);
      sent_us += 2 * TIMEOUT_US;
      answer_us = SERVER_US + queueing_us;
    }
  limit = colt_order_window_limit (window);
  colt_order_window_destroy (window);
  return limit;
}

/* Load: an availability zone with a third of the servers is cut off, or a part
 * of all answers is lost. The lost orders, which were sent together, time out
 * in a row; the window had shrunk to its minimum, so that most passes planned
 * no start, while answers took 4 ms. It still shrinks if most orders are lost,
 * or if some are while answers are slow. */
static void
test_losses_at_some_servers (void)
{
  size_t limit = lose_part (0, 0);

  g_assert_cmpuint (lose_part (1, 0), ==, limit);
  g_assert_cmpuint (lose_part (7, 0), ==, limit);
  g_assert_cmpuint (lose_part (15, 0), ==, 8 * 1024);
  g_assert_cmpuint (lose_part (7, 45 * COLT_US_PER_MS), ==, 8 * 1024);
}

static void
count_resume (void *client)
{
  (*(uint32_t *)client)++;
}

/* Guards against starts that are sent, or withdrawn on freed memory, while a
 * leader is destroyed: a link that is freed gives back its part of the window.
 */
static void
test_closed (void)
{
  struct ColtOrderWindow *window = colt_order_window_create ();
  size_t all = colt_order_window_limit (window);
  uint32_t resumed = 0;
  struct ColtOrderWaiter first = { 0 };
  struct ColtOrderWaiter waiter
      = { .resume = count_resume, .client = &resumed };

  g_assert_true (colt_order_window_acquire (window, all, &first));
  g_assert_false (colt_order_window_acquire (window, ORDER_BYTES, &waiter));
  colt_order_window_close (window);
  colt_order_window_release (window, all, SERVER_US, false, SERVER_US);
  g_assert_cmpuint (resumed, ==, 0);
  colt_order_window_leave (window, &waiter);
  colt_order_window_destroy (window);
}

void
colt_test_window_add (void)
{
  g_test_add_func ("/scheduler/window/closed", test_closed);
  g_test_add_func ("/scheduler/window/burst-on-narrow-link",
                   test_burst_on_narrow_link);
  g_test_add_func ("/scheduler/window/burst-on-fast-link",
                   test_burst_on_fast_link);
  g_test_add_func ("/scheduler/window/lost-orders", test_lost_orders);
  g_test_add_func ("/scheduler/window/losses-at-some-servers",
                   test_losses_at_some_servers);
}
