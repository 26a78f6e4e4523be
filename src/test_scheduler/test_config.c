/* How a configuration reaches an instance, and how it is passed on. */
#include <stdlib.h>
#include <string.h>

#include "config_copy.h"
#include "config_fetch.h"
#include "instances_fixture.h"
#include "tests.h"

/* Group of the second instance's channels to the log. */
#define SECOND_GROUP 1u
/* Longest wait for what takes a second or two on an idle machine. */
#define WAIT_MAX_MS 15000
/* Seeds of random faults, and what each plays. */
#define RANDOM_SEEDS 2
#define RANDOM_SEEDS_THOROUGH 50
#define RANDOM_STEPS 10
/* Bytes of a configuration that is passed on in several parts, as it can't be
 * compressed much. */
#define LARGE_BYTES (300 * 1024)

/* Returns the number of a member of an instance's /state; it has to be there.
 */
static int64_t
get_state (const struct ColtInstancesFixture *fixture,
           int i,
           const char *member)
{
  char *text
      = fixture->handlers[i].describe (fixture->handlers[i].client, "/state");
  const char *at = strstr (text, member);
  int64_t value;

  g_assert_nonnull (at);
  value = g_ascii_strtoll (at + strlen (member), NULL, 10);
  free (text);
  return value;
}

static int64_t
get_version (const struct ColtInstancesFixture *fixture, int i)
{
  return get_state (fixture, i, "\"config\":{\"version\":");
}

static int64_t
get_newest (const struct ColtInstancesFixture *fixture, int i)
{
  return get_state (fixture, i, "\"newest\":");
}

static void
wait_for_version (struct ColtInstancesFixture *fixture, int i, int64_t version)
{
  uint32_t ms;

  for (ms = 0; ms < WAIT_MAX_MS && get_version (fixture, i) != version;
       ms += 20)
    colt_fake_ports_run (fixture->fake, 20);
  g_assert_cmpint (get_version (fixture, i), ==, version);
}

/* Publishes a version in a record of many bytes. */
static void
publish (struct ColtInstancesFixture *fixture, int version, guint size)
{
  GString *value = g_string_new (NULL);
  GRand *rand = g_rand_new_with_seed ((guint32)version);

  g_string_printf (value, "%d ", version);
  while (value->len < size)
    g_string_append_c (value, (char)g_rand_int_range (rand, '0', 'z'));
  colt_fake_ports_put (fixture->fake, COLT_TOPIC_OPERATOR, "config",
                       value->str);
  g_rand_free (rand);
  g_string_free (value, TRUE);
}

/* Both instances run, and have the first configuration. */
static void
start_both (struct ColtInstancesFixture *fixture)
{
  colt_instances_set_up (fixture);
  fixture->fake->group = SECOND_GROUP;
  colt_instances_start (fixture, 1);
  fixture->fake->group = 0;
  wait_for_version (fixture, 0, 1);
  wait_for_version (fixture, 1, 1);
  colt_fake_ports_run (fixture->fake, 600);
}

/* Guards against a configuration that is never in force on an instance that the
 * log turns away, although others have it. */
static void
test_rejected_instance (void)
{
  struct ColtInstancesFixture fixture = { 0 };

  start_both (&fixture);
  fixture.fake->rejected_groups = 1u << SECOND_GROUP;
  publish (&fixture, 2, 0);
  wait_for_version (&fixture, 1, 2);
  publish (&fixture, 3, LARGE_BYTES);
  wait_for_version (&fixture, 1, 3);
  g_assert_cmpint (get_state (&fixture, 1, "\"behind_ms\":"), ==, 0);
  colt_instances_tear_down (&fixture);
}

/* The same if it is the leader that the log turns away: it fetches from the
 * instance whose heartbeat names the version. */
static void
test_rejected_leader (void)
{
  struct ColtInstancesFixture fixture = { 0 };

  start_both (&fixture);
  fixture.fake->rejected_groups = 1u;
  publish (&fixture, 2, LARGE_BYTES);
  wait_for_version (&fixture, 0, 2);
  colt_instances_tear_down (&fixture);
}

/* Guards against a final answer by an outdated configuration: while an instance
 * knows that there is a newer one, a queue that it doesn't know may be in it,
 * and the caller is asked to come back. */
static void
test_outdated_answer (void)
{
  struct ColtInstancesFixture fixture = { 0 };
  int version = 1;
  uint32_t ms;

  start_both (&fixture);
  colt_instances_send (&fixture, 1, COLT_CALLER_SUBMIT, "no-queue/1");
  g_assert_cmpint (fixture.answer.kind, ==, COLT_ANSWER_NO_QUEUE);
  fixture.fake->rejected_groups = 1u << SECOND_GROUP;
  /* A process that is paused may find the version known and fetched at once. */
  for (ms = 0; ms < WAIT_MAX_MS
               && get_newest (&fixture, 1) == get_version (&fixture, 1);
       ms += 5)
    {
      if (get_version (&fixture, 1) == version)
        publish (&fixture, ++version, 0);
      colt_fake_ports_run (fixture.fake, 5);
    }
  g_assert_cmpint (get_version (&fixture, 1), <, version);
  colt_instances_send (&fixture, 1, COLT_CALLER_SUBMIT, "no-queue/1");
  g_assert_cmpint (fixture.answer.kind, ==, COLT_ANSWER_NOT_ACCEPTED);
  g_assert_cmpuint (fixture.answer.retry_after_ms, >, 0);
  wait_for_version (&fixture, 1, version);
  colt_instances_send (&fixture, 1, COLT_CALLER_SUBMIT, "no-queue/1");
  g_assert_cmpint (fixture.answer.kind, ==, COLT_ANSWER_NO_QUEUE);
  colt_instances_tear_down (&fixture);
}

/* Versions never decrease, neither by a record of the log nor once the log
 * serves an instance again that has fetched a newer one. */
static void
test_no_downgrade (void)
{
  struct ColtInstancesFixture fixture = { 0 };
  int i;

  start_both (&fixture);
  fixture.fake->rejected_groups = 1u << SECOND_GROUP;
  for (i = 2; i <= 5; i++)
    publish (&fixture, i, 0);
  wait_for_version (&fixture, 1, 5);
  fixture.fake->rejected_groups = 0;
  publish (&fixture, 4, 0);
  for (i = 0; i < 50; i++)
    {
      colt_fake_ports_run (fixture.fake, 20);
      g_assert_cmpint (get_version (&fixture, 0), ==, 5);
      g_assert_cmpint (get_version (&fixture, 1), ==, 5);
    }
  publish (&fixture, 6, 0);
  wait_for_version (&fixture, 1, 6);
  colt_instances_tear_down (&fixture);
}

/* Plays versions, an instance or two that the log turns away, and restarts of
 * the second one, in an order that the seed decides. An instance's version
 * never decreases while its process lives, and once the log serves both again
 * they reach the newest. */
static void
check_random_faults (guint32 seed)
{
  struct ColtInstancesFixture fixture = { 0 };
  GRand *rand = g_rand_new_with_seed (seed);
  int64_t seen[INSTANCES] = { 0 };
  int version = 1;
  int step;
  int i;

  start_both (&fixture);
  for (step = 0; step < RANDOM_STEPS; step++)
    {
      publish (&fixture, ++version,
               g_rand_boolean (rand) ? 0 : (guint)LARGE_BYTES);
      fixture.fake->rejected_groups = (uint32_t)g_rand_int_range (rand, 0, 4);
      if (g_rand_int_range (rand, 0, 4) == 0)
        {
          colt_instances_end (&fixture, 1);
          fixture.fake->group = SECOND_GROUP;
          colt_instances_start (&fixture, 1);
          fixture.fake->group = 0;
          seen[1] = 0;
        }
      colt_fake_ports_run (fixture.fake,
                           (uint32_t)g_rand_int_range (rand, 5, 700));
      for (i = 0; i < INSTANCES; i++)
        {
          g_assert_cmpint (get_version (&fixture, i), >=, seen[i]);
          seen[i] = get_version (&fixture, i);
        }
    }
  fixture.fake->rejected_groups = 0;
  for (i = 0; i < INSTANCES; i++)
    wait_for_version (&fixture, i, version);
  colt_instances_tear_down (&fixture);
  g_rand_free (rand);
}

static void
test_random_faults (void)
{
  guint32 count = g_test_thorough () ? RANDOM_SEEDS_THOROUGH : RANDOM_SEEDS;
  guint32 seed;

  for (seed = 1; seed <= count; seed++)
    {
      g_test_message ("seed %u", seed);
      check_random_faults (seed);
    }
}

static struct ColtConfigCopy *
make_copy (int64_t version, size_t size)
{
  char *value = g_malloc (size);
  struct ColtLogRecord record = { "config", (uint8_t *)value, size, 7 };
  GRand *rand = g_rand_new_with_seed ((guint32)version);
  struct ColtConfigCopy *copy;
  size_t i;

  for (i = 0; i < size; i++)
    value[i] = (char)g_rand_int_range (rand, '0', 'z');
  copy = colt_config_copy_create (version, &record);
  g_rand_free (rand);
  g_free (value);
  return copy;
}

/* Only the whole compressed form of a value of the right size is accepted. */
static void
test_copy (void)
{
  struct ColtConfigCopy *copy = make_copy (3, LARGE_BYTES);
  const struct ColtLogRecord *record = colt_config_copy_record (copy);
  uint8_t *value = g_memdup2 (record->value, record->size);
  GBytes *packed = colt_config_copy_pack (copy);
  GBytes *cut
      = g_bytes_new_from_bytes (packed, 0, g_bytes_get_size (packed) - 1);
  struct ColtLogRecord bare = { "config", NULL, 0, 7 };
  struct ColtConfigCopy *other;

  g_assert_null (record->value);
  g_assert_cmpuint (colt_config_copy_size (copy), ==, LARGE_BYTES);
  g_assert_null (colt_config_copy_create_packed (3, &bare, LARGE_BYTES, cut));
  g_assert_null (
      colt_config_copy_create_packed (3, &bare, LARGE_BYTES + 1, packed));
  g_assert_null (
      colt_config_copy_create_packed (3, &bare, LARGE_BYTES - 1, packed));
  other = colt_config_copy_create_packed (3, &bare, LARGE_BYTES, packed);
  record = colt_config_copy_record (other);
  g_assert_cmpmem (record->value, record->size, value, LARGE_BYTES);
  g_assert_cmpint (record->offset, ==, 7);
  colt_config_copy_trim (other);
  g_assert_null (record->value);
  g_assert_true (colt_config_copy_pack (other) == packed
                 || g_bytes_equal (colt_config_copy_pack (other), packed));
  colt_config_copy_destroy (other);
  colt_config_copy_destroy (copy);
  g_bytes_unref (cut);
  g_free (value);
}

/* A call names what has arrived: the reply goes on there for the same version,
 * and begins anew for another one. Nothing is sent to who has the version. */
static void
test_parts (void)
{
  struct ColtConfigCopy *copy = make_copy (3, LARGE_BYTES);
  ColtConfigCall call = COLT_CONFIG_CALL__INIT;
  ColtConfigPart first = COLT_CONFIG_PART__INIT;
  ColtConfigPart next = COLT_CONFIG_PART__INIT;
  ColtConfigPart other = COLT_CONFIG_PART__INIT;
  ColtConfigPart none = COLT_CONFIG_PART__INIT;

  call.above = 2;
  colt_config_fetch_fill_part (copy, &call, &first);
  g_assert_cmpint (first.version, ==, 3);
  g_assert_cmpuint (first.from, ==, 0);
  g_assert_cmpuint (first.data.len, <, first.packed_size);
  call.version = 3;
  call.checksum = first.checksum;
  call.from = first.data.len;
  colt_config_fetch_fill_part (copy, &call, &next);
  g_assert_cmpuint (next.from, ==, first.data.len);
  call.checksum++;
  colt_config_fetch_fill_part (copy, &call, &other);
  g_assert_cmpuint (other.from, ==, 0);
  call.above = 3;
  colt_config_fetch_fill_part (copy, &call, &none);
  g_assert_cmpint (none.version, ==, 0);
  colt_config_fetch_fill_part (NULL, &call, &none);
  g_assert_cmpint (none.version, ==, 0);
  colt_config_copy_destroy (copy);
}

void
colt_test_config_add (void)
{
  g_test_add_func ("/scheduler/config/rejected-instance",
                   test_rejected_instance);
  g_test_add_func ("/scheduler/config/rejected-leader", test_rejected_leader);
  g_test_add_func ("/scheduler/config/outdated-answer", test_outdated_answer);
  g_test_add_func ("/scheduler/config/no-downgrade", test_no_downgrade);
  g_test_add_func ("/scheduler/config/random-faults", test_random_faults);
  g_test_add_func ("/scheduler/config/copy", test_copy);
  g_test_add_func ("/scheduler/config/parts", test_parts);
}
