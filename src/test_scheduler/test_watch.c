#include "fake_ports.h"
#include "scheduler_private.h"
#include "tests.h"

struct ColtSeen
{
  GString *keys;
  uint32_t synced;
};

static void
take_record (void *client, const struct ColtLogRecord *record)
{
  struct ColtSeen *seen = client;

  g_string_append (seen->keys, record->key);
}

static void
take_synced (void *client)
{
  struct ColtSeen *seen = client;

  seen->synced++;
}

/* Records that are gone are made up for by the newest of each key. */
static void
test_watch_expired (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { .keys = g_string_new (NULL) };
  const struct ColtWatchClient client = { take_record, take_synced, &seen };
  const struct ColtWatchTimes times = { 50, 0 };
  struct ColtWatch *watch;

  colt_fake_ports_put (fake, COLT_TOPIC_OPERATOR, "a", "1");
  watch = colt_watch_create (fake->base, &fake->ports, COLT_TOPIC_OPERATOR,
                             &times, &client);
  colt_fake_ports_run (fake, 50);
  g_assert_cmpstr (seen.keys->str, ==, "a");
  g_assert_cmpuint (seen.synced, ==, 1);
  colt_fake_ports_put (fake, COLT_TOPIC_OPERATOR, "b", "2");
  colt_fake_ports_run (fake, 50);
  g_assert_cmpstr (seen.keys->str, ==, "ab");
  fake->first[COLT_TOPIC_OPERATOR] = 5;
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (seen.synced, >=, 2);
  g_assert_cmpint (colt_watch_end (watch), ==, 2);
  colt_watch_destroy (watch);
  g_string_free (seen.keys, TRUE);
  colt_fake_ports_destroy (fake);
}

void
colt_test_watch_add (void)
{
  g_test_add_func ("/scheduler/watch/expired", test_watch_expired);
}
