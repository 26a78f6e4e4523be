#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/bundle_sign.h"
#include "coltsfootstile/clock.h"
#include "coltsfootstile/record.h"
#include "instance.h"

/* Retention of the log; a snapshot is due at a third of it. */
#define RETENTION_S 600

static const char bundle_format[]
    = "[bundle]\nversion = 1\nparent = none\noperator = %s\n"
      "[organisation hire]\ntitle = Hire\n"
      "[team quotes]\norganisation = hire\nweight = 1\nlimit_tasks = 4\n"
      "[work interactive]\npolicy = fastest\npriority = 7\nmax_attempts = 3\n"
      "[work service]\npolicy = spread\npriority = 5\nmax_attempts = 5\n"
      "[work batch]\npolicy = pack\npriority = 1\nmax_attempts = 3\n"
      "[work gang]\npolicy = pack\npriority = 2\nmax_attempts = 2\n"
      "[zone 1]\nregion = perth\n";

static const struct ColtSettingSpec specs[] = {
  { "platform", "log_retention_s", COLT_SETTING_INTEGER, "600", 1, 86400, false,
    "seconds" },
  { "trust", "operator", COLT_SETTING_STRING, NULL, 0, 0, true, "key" },
};

/* An instance with the parts that the bundles use, and the calls that they
 * make. */
struct ColtInstanceFixture
{
  struct event_base *base;
  struct ColtSettings *settings;
  struct ColtOperatorPair pair;
  struct ColtInstance instance;
  uint64_t offset; /* of the next record */
};

const char *const colt_log_add_status_string[]
    = { "queued", "full", "too large", "pending" };

/* State of the replaced functions. */
static int64_t now_us;
static uint64_t next_offset;
static enum ColtLogAddStatus add_status;
static unsigned add_count;
static GByteArray *added; /* body of the last record added */

/* The linker option --wrap replaces the clock by the function of this name. */
int64_t get_now_us (void) __asm__("__wrap_colt_clock_monotonic_us");

int64_t
get_now_us (void)
{
  return now_us;
}

enum ColtLogAddStatus
colt_log_client_add (struct ColtLogClient *log,
                     const struct ColtLogItem *item,
                     int64_t deadline_us,
                     ColtLogWriteDone done,
                     void *client)
{
  (void)log;
  (void)deadline_us;
  (void)done;
  (void)client;
  g_assert_cmpuint (item->kind, ==, COLT_RECORD_SNAPSHOT);
  add_count++;
  g_byte_array_set_size (added, 0);
  g_byte_array_append (added, item->body, (guint)item->size);
  return add_status;
}

int64_t
colt_log_client_fresh_us (const struct ColtLogClient *log)
{
  (void)log;
  return now_us;
}

uint64_t
colt_log_client_offset (const struct ColtLogClient *log)
{
  (void)log;
  return next_offset;
}

void
colt_log_client_get_stats (const struct ColtLogClient *log,
                           struct ColtLogWriterStats *writer,
                           struct ColtLogReaderStats *reader)
{
  (void)log;
  (void)writer;
  memset (reader, 0, sizeof *reader);
  reader->fresh_us = now_us;
}

void
colt_home_set_bundle (struct ColtHome *home, const struct ColtBundle *bundle)
{
  (void)home;
  (void)bundle;
}

uint8_t *
colt_instance_limits_pack (const struct ColtInstanceLimits *limits,
                           uint64_t offset,
                           size_t *size)
{
  (void)limits;
  (void)offset;
  *size = 1;
  return calloc (1, 1);
}

static void
ignore_member_change (void *client, const struct ColtMember *member)
{
  (void)client;
  (void)member;
}

static void
apply_record (struct ColtInstanceFixture *fixture,
              uint32_t kind,
              const uint8_t *body,
              size_t size)
{
  struct ColtLogItem item = { 0 };

  item.kind = kind;
  item.body = body;
  item.size = size;
  item.offset = fixture->offset++;
  colt_instance_bundles_apply_record (fixture->instance.bundles, &item);
  next_offset = fixture->offset;
}

static void
apply_bundle (struct ColtInstanceFixture *fixture)
{
  char key[COLT_HASH_TEXT_SIZE];
  char *text = g_strdup_printf (
      bundle_format, colt_operator_key_format (&fixture->pair.key, key));
  struct ColtBundle *bundle = colt_bundle_parse (text, NULL, NULL);
  struct ColtSignature signature;
  uint8_t *body;
  size_t size;

  g_assert_nonnull (bundle);
  colt_bundle_sign (bundle, &fixture->pair, &signature);
  body = colt_bundle_encode (bundle, &signature, NULL, &size);
  apply_record (fixture, COLT_RECORD_BUNDLE, body, size);
  g_assert_nonnull (colt_instance_get_bundle (&fixture->instance));
  free (body);
  colt_bundle_destroy (bundle);
  g_free (text);
}

static void
set_up (struct ColtInstanceFixture *fixture, gconstpointer data)
{
  const uint8_t seed[32] = { 9 };
  struct ColtMember self = { 1, 1, 1, COLT_MEMBER_ALIVE, "127.0.0.1:1" };
  struct ColtInstance *instance = &fixture->instance;
  char key[COLT_HASH_TEXT_SIZE];
  char *text;

  (void)data;
  now_us = COLT_US_PER_S;
  add_count = 0;
  next_offset = 0;
  added = g_byte_array_new ();
  colt_operator_pair_make (&fixture->pair, seed);
  text = g_strdup_printf ("[trust]\noperator = %s\n",
                          colt_operator_key_format (&fixture->pair.key, key));
  fixture->base = event_base_new ();
  fixture->settings = colt_settings_create (specs, G_N_ELEMENTS (specs));
  g_assert_true (
      colt_settings_read_text (fixture->settings, "a.ini", text, NULL));
  g_free (text);
  instance->base = fixture->base;
  instance->settings = fixture->settings;
  instance->number = 1;
  instance->zone = 1;
  instance->wire = colt_wire_create (fixture->base, 1, 1);
  instance->membership = colt_membership_create (&self);
  instance->link = colt_membership_link_create (fixture->base, instance->wire,
                                                instance->membership,
                                                ignore_member_change, NULL);
  instance->bundles = colt_instance_bundles_create (instance, NULL);
  g_assert_nonnull (instance->bundles);
  apply_bundle (fixture);
}

static void
tear_down (struct ColtInstanceFixture *fixture, gconstpointer data)
{
  struct ColtInstance *instance = &fixture->instance;

  (void)data;
  colt_wire_destroy (instance->wire);
  colt_instance_bundles_destroy (instance->bundles);
  colt_membership_link_destroy (instance->link);
  colt_membership_destroy (instance->membership);
  colt_settings_destroy (fixture->settings);
  event_base_free (fixture->base);
  g_byte_array_unref (added);
}

static void
step (struct ColtInstanceFixture *fixture, int64_t span_us)
{
  now_us += span_us;
  colt_instance_bundles_step (fixture->instance.bundles, now_us);
}

/* A snapshot that the log client refuses, because too much is queued, must be
 * appended again soon, not after the time for the next one. */
static void
test_refused_snapshot_is_repeated (struct ColtInstanceFixture *fixture,
                                   gconstpointer data)
{
  (void)data;
  add_status = COLT_LOG_ADD_QUEUED;
  step (fixture, 2 * COLT_US_PER_S);
  g_assert_cmpuint (add_count, ==, 1);
  apply_record (fixture, COLT_RECORD_SNAPSHOT, added->data, added->len);
  step (fixture, 2 * COLT_US_PER_S);
  g_assert_cmpuint (add_count, ==, 1);
  add_status = COLT_LOG_ADD_FULL;
  step (fixture, RETENTION_S / 2 * COLT_US_PER_S);
  g_assert_cmpuint (add_count, ==, 2);
  add_status = COLT_LOG_ADD_QUEUED;
  step (fixture, 2 * COLT_US_PER_S);
  g_assert_cmpuint (add_count, ==, 3);
  step (fixture, 2 * COLT_US_PER_S);
  g_assert_cmpuint (add_count, ==, 3);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_assert_true (colt_sign_init (NULL));
  g_test_add ("/instance/bundles/snapshot", struct ColtInstanceFixture, NULL,
              set_up, test_refused_snapshot_is_repeated, tear_down);
  return g_test_run ();
}
