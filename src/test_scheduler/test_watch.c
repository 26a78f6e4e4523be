#include "fake_ports.h"
#include "scheduler_private.h"
#include "tests.h"

/* Results of the callbacks of a watch. */
struct ColtWatchEvents
{
  GString *keys; /* of the records, concatenated */
  uint32_t synced;
};

static void
on_record (void *client, const struct ColtLogRecord *record)
{
  struct ColtWatchEvents *events = client;

  g_string_append (events->keys, record->key);
}

static void
on_synced (void *client)
{
  struct ColtWatchEvents *events = client;

  events->synced++;
}

/* If records have expired before the watch reads them, it reads the newest
 * record of each key instead. */
static void
test_watch_expired (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtWatchEvents events = { .keys = g_string_new (NULL) };
  const struct ColtWatchClient client = { on_record, on_synced, &events };
  const struct ColtWatchTimes times = { 50, 0 };
  struct ColtWatch *watch;

  colt_fake_ports_put (fake, COLT_TOPIC_OPERATOR, "a", "1");
  watch = colt_watch_create (fake->base, &fake->ports, COLT_TOPIC_OPERATOR,
                             &times, &client);
  colt_fake_ports_run (fake, 50);
  g_assert_cmpstr (events.keys->str, ==, "a");
  g_assert_cmpuint (events.synced, ==, 1);
  colt_fake_ports_put (fake, COLT_TOPIC_OPERATOR, "b", "2");
  colt_fake_ports_run (fake, 50);
  g_assert_cmpstr (events.keys->str, ==, "ab");
  fake->first_offset[COLT_TOPIC_OPERATOR] = 5;
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (events.synced, >=, 2);
  g_assert_cmpint (colt_watch_end (watch), ==, 2);
  colt_watch_destroy (watch);
  g_string_free (events.keys, TRUE);
  colt_fake_ports_destroy (fake);
}

void
colt_test_watch_add (void)
{
  g_test_add_func ("/scheduler/watch/expired", test_watch_expired);
}
