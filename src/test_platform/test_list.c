#include <event2/event.h>
#include <glib.h>
#include <string.h>

#include "coltsfootstile/instance_list.h"
#include "fake_http.h"
#include "tests.h"

#define ENTRY_AT(id, address, state)                                           \
  "{\"id\":" id ",\"zone\":2,\"address\":\"" address "\",\"state\":\"" state   \
  "\"}"
#define ENTRY(id, state) ENTRY_AT (id, "127.2.0.1:80", state)
#define SERVER                                                                 \
  "{\"id\":4,\"zone\":2,\"rack\":7,\"address\":\"127.2.1.4:81\","              \
  "\"state\":\"live\"}"
#define LIST(entries)                                                          \
  "{\"version\":3,\"entries\":[" entries "],\"servers\":[" SERVER "]}"

struct ColtListReceived
{
  guint changes;
  guint entries;
  enum ColtListState state;
};

static void
on_change (void *client, const struct ColtInstanceList *list)
{
  struct ColtListReceived *received = client;

  received->changes++;
  received->entries = (guint)list->entry_count;
  received->state = list->entries[0].state;
  g_assert_cmpuint (list->server_count, ==, 1);
  g_assert_cmpuint (list->servers[0].rack, ==, 7);
  g_assert_cmpstr (list->servers[0].address, ==, "127.2.1.4:81");
}

static void
run_until_fetched (struct event_base *base,
                   struct ColtListPoller *poller,
                   guint total)
{
  struct ColtListPollerStats stats;

  do
    {
      event_base_loop (base, EVLOOP_ONCE);
      colt_list_poller_get_stats (poller, &stats);
    }
  while (stats.fetches + stats.failures < total);
}

/* Guards against a list that is given up while it arrives, each time: this one
 * takes three seconds. */
static void
test_slow_list (void)
{
  struct event_base *base = event_base_new ();
  struct ColtFakeHttp *fake = colt_fake_http_create (base);
  struct ColtListReceived received = { 0 };
  struct ColtListPoller *poller = colt_list_poller_create (
      base, colt_list_http_create (base, colt_fake_http_address (fake)), 2, 1,
      on_change, &received);
  char *body = g_strdup_printf ("%s%*s", LIST (ENTRY ("1", "live")), 6000, "");

  colt_fake_http_limit_rate (fake, 2000);
  colt_fake_http_add_step (fake, COLT_FAKE_ANSWER, 200, body);
  colt_list_poller_start (poller);
  run_until_fetched (base, poller, 1);
  g_assert_cmpuint (received.changes, ==, 1);
  colt_list_poller_destroy (poller);
  colt_fake_http_destroy (fake);
  event_base_free (base);
  g_free (body);
}

static void
test_poller_keeps_the_last_valid_list (void)
{
  struct event_base *base = event_base_new ();
  struct ColtFakeHttp *fake = colt_fake_http_create (base);
  struct ColtListReceived received = { 0 };
  struct ColtListPoller *poller = colt_list_poller_create (
      base, colt_list_http_create (base, colt_fake_http_address (fake)), 2, 1,
      on_change, &received);
  const char *first = LIST (ENTRY ("9", "live") "," ENTRY ("1", "live"));

  colt_fake_http_add_step (fake, COLT_FAKE_ANSWER, 200, first);
  colt_fake_http_add_step (fake, COLT_FAKE_ANSWER, 200, first);
  colt_fake_http_add_step (fake, COLT_FAKE_ANSWER, 503, "{}");
  colt_fake_http_add_step (fake, COLT_FAKE_TRUNCATE, 200, first);
  colt_fake_http_add_step (fake, COLT_FAKE_ANSWER, 200,
                           LIST (ENTRY ("1", "leaving")));
  colt_list_poller_start (poller);
  run_until_fetched (base, poller, 4);
  g_assert_cmpuint (received.changes, ==, 1);
  g_assert_cmpuint (colt_list_poller_get (poller)->entry_count, ==, 2);
  g_assert_cmpuint (colt_list_poller_get (poller)->entries[0].id, ==, 1);
  run_until_fetched (base, poller, 5);
  g_assert_cmpuint (received.changes, ==, 2);
  g_assert_cmpint (received.state, ==, COLT_LIST_LEAVING);
  g_assert_nonnull (
      strstr (colt_fake_http_request (fake, 0), "GET /v1/instances?zone=2 "));
  colt_list_poller_destroy (poller);
  colt_fake_http_destroy (fake);
  event_base_free (base);
}

static void
on_rejected (void *client,
             const struct ColtInstanceList *list,
             const struct ColtError *error)
{
  guint *count = client;

  g_assert_null (list);
  g_assert_cmpint (error->step, ==, COLT_STEP_DECODE);
  g_assert_cmpstr (error->peer, !=, "");
  (*count)++;
}

static void
test_invalid_lists_are_rejected (void)
{
  static const char *const invalid[] = {
    "{\"version\":3,\"entries\":[]}",
    "{\"version\":\"3\",\"entries\":[],\"servers\":[]}",
    LIST ("{\"id\":1}"),
    LIST (ENTRY ("0", "live")),
    LIST (ENTRY ("1", "gone")),
    LIST (ENTRY ("1", "live") "," ENTRY ("1", "live")),
    LIST (ENTRY_AT ("1", "nowhere:80", "live")),
    LIST (ENTRY_AT ("1", "127.2.0.1", "live")),
    LIST (ENTRY_AT ("1", "127.2.0.1:0", "live")),
    LIST (ENTRY_AT ("1", "127.2.0.1:80x", "live")),
    LIST (ENTRY_AT ("1", "127.2.0.1:+80", "live")),
    LIST (ENTRY_AT ("1", "127.2.0.1:70000", "live")),
    LIST (ENTRY_AT ("1", "::1", "live")),
  };
  struct event_base *base = event_base_new ();
  struct ColtFakeHttp *fake = colt_fake_http_create (base);
  struct ColtListDriver *driver
      = colt_list_http_create (base, colt_fake_http_address (fake));
  guint count = 0;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      colt_fake_http_add_step (fake, COLT_FAKE_ANSWER, 200, invalid[i]);
      driver->fetch (driver, 2, on_rejected, &count);
      while (count == i)
        event_base_loop (base, EVLOOP_ONCE);
    }
  driver->destroy (driver);
  colt_fake_http_destroy (fake);
  event_base_free (base);
}

void
add_list_tests (void)
{
  g_test_add_func ("/platform/list/slow", test_slow_list);
  g_test_add_func ("/platform/list/poller",
                   test_poller_keeps_the_last_valid_list);
  g_test_add_func ("/platform/list/bad", test_invalid_lists_are_rejected);
}
