/* How long a leader waits for the leases of the one before it. */
#include <glib.h>
#include <string.h>

#include "instances_fixture.h"
#include "scheduler_state.h"
#include "tests.h"

/* Time in which an instance follows the leader. */
#define FOLLOW_MS 700
/* Time in which an instance becomes the leader and renews its leadership. */
#define SUCCEED_MS 2600

/* Returns by how much the leader of a term extends its wait, as recorded. */
static uint32_t
recorded_extension_ms (const struct ColtInstancesFixture *fixture,
                       uint64_t term)
{
  const GArray *topic = fixture->fake->topics[COLT_TOPIC_LEADER];
  const struct ColtFakeRecord *record
      = &g_array_index (topic, struct ColtFakeRecord, topic->len - 1);
  uint32_t extension_ms;
  ColtLeadRecord *leader;
  gsize size;
  const uint8_t *value = g_bytes_get_data (record->value, &size);

  leader = colt_lead_record__unpack (NULL, size, value);
  g_assert_nonnull (leader);
  g_assert_cmpuint (leader->term, ==, term);
  extension_ms = leader->extension_ms;
  colt_lead_record__free_unpacked (leader, NULL);
  return extension_ms;
}

/* Guards against work that waits for over 20 s: all processes end, and one that
 * has just started leads. The former leader relied on its instance, and can't
 * have renewed leases without the log since. */
static void
test_all_processes_end (void)
{
  struct ColtInstancesFixture fixture = { 0 };

  colt_instances_set_up (&fixture);
  colt_instances_start (&fixture, 1);
  colt_fake_ports_run (fixture.fake, FOLLOW_MS);
  colt_instances_end (&fixture, 0);
  colt_instances_end (&fixture, 1);
  colt_instances_start (&fixture, 1);
  colt_fake_ports_run (fixture.fake, SUCCEED_MS);
  g_assert_cmpuint (recorded_extension_ms (&fixture, 2), ==, 0);
  colt_instances_tear_down (&fixture);
}

/* The same for the process of a former leader that was away while the next one
 * led, and had no contact with it. */
static void
test_former_leader_returns (void)
{
  struct ColtInstancesFixture fixture = { 0 };

  colt_instances_set_up (&fixture);
  colt_instances_start (&fixture, 1);
  colt_fake_ports_run (fixture.fake, FOLLOW_MS);
  colt_instances_end (&fixture, 0);
  colt_fake_ports_run (fixture.fake, SUCCEED_MS);
  g_assert_cmpuint (recorded_extension_ms (&fixture, 2), ==, 0);
  colt_instances_end (&fixture, 1);
  colt_instances_start (&fixture, 0);
  colt_fake_ports_run (fixture.fake, SUCCEED_MS);
  g_assert_cmpuint (recorded_extension_ms (&fixture, 3), ==, 0);
  colt_instances_tear_down (&fixture);
}

/* Guards against a process that reads freed memory when it ends while its
 * heartbeat has no answer yet. */
static void
test_open_heartbeat (void)
{
  struct ColtInstancesFixture fixture = { 0 };

  colt_instances_set_up (&fixture);
  colt_instances_start (&fixture, 1);
  colt_fake_ports_run (fixture.fake, FOLLOW_MS);
  event_active (fixture.instances[1]->heartbeat_timer, EV_TIMEOUT, 0);
  event_base_loop (fixture.fake->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  colt_instances_end (&fixture, 1);
  colt_instances_tear_down (&fixture);
}

void
colt_test_succession_add (void)
{
  g_test_add_func ("/scheduler/succession/open-heartbeat", test_open_heartbeat);
  g_test_add_func ("/scheduler/succession/all-processes-end",
                   test_all_processes_end);
  g_test_add_func ("/scheduler/succession/former-leader-returns",
                   test_former_leader_returns);
}
