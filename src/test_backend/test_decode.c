#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "backend_json.h"
#include "bodies.h"

struct ColtDecodeFixture
{
  struct ColtBackendDecoder *decoder;
  struct ColtTaskRef ref;
  struct ColtError error;
};

static void
set_up (struct ColtDecodeFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->decoder = colt_backend_decoder_create ("10.0.0.1:7");
  g_assert_true (colt_task_parse (ID "-3", &fixture->ref, NULL));
  fixture->ref.attempt = 2;
}

static void
tear_down (struct ColtDecodeFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_backend_decoder_destroy (fixture->decoder);
}

static bool
decode_inventory (struct ColtDecodeFixture *fixture,
                  const char *text,
                  struct ColtBackendInventory *out)
{
  return colt_backend_decode_inventory (fixture->decoder, text, strlen (text),
                                        out, &fixture->error);
}

static void
test_inventory (struct ColtDecodeFixture *fixture, gconstpointer data)
{
  struct ColtBackendInventory out;

  (void)data;
  g_assert_true (decode_inventory (
      fixture, INVENTORY (RUNNING "," FINISHED, "[5,8],[63,1]"), &out));
  g_assert_cmpstr (out.token, ==, "7");
  g_assert_cmpuint (out.task_count, ==, 2);
  g_assert_null (out.tasks[0].result);
  g_assert_cmpint (out.tasks[0].kind, ==, COLT_WORK_BATCH);
  g_assert_cmpint (out.tasks[0].limit.amount[COLT_RESOURCE_MEMORY], ==, 64);
  g_assert_true (colt_task_equal (&out.tasks[1].ref, &fixture->ref));
  g_assert_cmpmem (out.tasks[1].result, out.tasks[1].result_size, "ab", 2);
  g_assert_cmpuint (out.epoch_count, ==, 2);
  g_assert_cmpuint (out.epochs[1].shard, ==, 63);
}

static void
test_bad_inventories (struct ColtDecodeFixture *fixture, gconstpointer data)
{
  static const char *const bad[] = {
    "",
    "[]",
    "{\"token\":7,\"tasks\":[]}",
    "{\"token\":\"7\",\"tasks\":[],\"shard_epochs\":[]}",
    "{\"token\":0,\"tasks\":[],\"shard_epochs\":[]}",
    INVENTORY ("1", ""),
    INVENTORY ("{}", ""),
    INVENTORY ("{" TASK_FIELDS ("kind", "dead") "}", ""),
    INVENTORY ("{" TASK_FIELDS ("sort", "running") "}", ""),
    INVENTORY ("{" TASK_FIELDS ("kind", "finished") "}", ""),
    INVENTORY ("{" TASK_FIELDS ("kind", "finished") ",\"exit\":0,"
                                                    "\"result\":\"YWI=\","
                                                    "\"result_size\":3}",
               ""),
    INVENTORY ("{" TASK_FIELDS ("kind", "finished") ",\"exit\":0,"
                                                    "\"result\":\"YW!=\","
                                                    "\"result_size\":2}",
               ""),
    INVENTORY ("", "5"),
    INVENTORY ("", "[5]"),
    INVENTORY ("", "[64,1]"),
    INVENTORY ("", "[-1,1]"),
    INVENTORY ("", "[1,2.5]"),
  };
  struct ColtBackendInventory out;
  gsize i;

  (void)data;
  for (i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      colt_error_clear (&fixture->error);
      g_assert_false (decode_inventory (fixture, bad[i], &out));
      g_assert_cmpint (fixture->error.step, ==, COLT_STEP_DECODE);
      g_assert_cmpint (fixture->error.code, ==, COLT_ERROR_INVALID);
      g_assert_cmpstr (fixture->error.peer, ==, "10.0.0.1:7");
    }
}

static bool
decode_events (struct ColtDecodeFixture *fixture,
               const char *text,
               guint64 after,
               struct ColtBackendEvents *out)
{
  return colt_backend_decode_events (fixture->decoder, text, strlen (text),
                                     after, out, &fixture->error);
}

static void
test_events (struct ColtDecodeFixture *fixture, gconstpointer data)
{
  struct ColtBackendEvents out;

  (void)data;
  g_assert_true (
      decode_events (fixture, EVENTS (EVENT ("8") "," EVENT ("9")), 7, &out));
  g_assert_cmpuint (out.count, ==, 2);
  g_assert_cmpuint (out.next, ==, 9);
  g_assert_true (out.leaving);
  g_assert_cmpint (out.events[1].kind, ==, COLT_BACKEND_EVENT_USAGE);
  g_assert_false (decode_events (fixture, EVENTS (EVENT ("8")), 8, &out));
  g_assert_false (
      decode_events (fixture, EVENTS (EVENT ("9") "," EVENT ("8")), 7, &out));
  g_assert_false (decode_events (fixture, EVENTS (EVENT ("10")), 7, &out));
  g_assert_false (decode_events (fixture, EVENTS ("{}"), 7, &out));
}

static bool
decode_change_answer (struct ColtDecodeFixture *fixture,
                      const char *text,
                      gsize count,
                      struct ColtBackendChangeAnswer *out)
{
  return colt_backend_decode_change_answer (fixture->decoder, text,
                                            strlen (text), &fixture->ref, count,
                                            out, &fixture->error);
}

static void
test_results_match_starts (struct ColtDecodeFixture *fixture,
                           gconstpointer data)
{
  struct ColtBackendChangeAnswer out;

  (void)data;
  g_assert_true (decode_change_answer (
      fixture, CHANGE_ANSWER (RESULT ("refused")), 1, &out));
  g_assert_cmpint (out.results[0].status, ==, COLT_BACKEND_START_REFUSED);
  g_assert_cmpstr (out.results[0].reason, ==, "shard_epoch");
  g_assert_true (decode_change_answer (
      fixture, CHANGE_ANSWER (RESULT ("duplicate")), 1, &out));
  g_assert_false (decode_change_answer (fixture, CHANGE_ANSWER (""), 1, &out));
  g_assert_false (decode_change_answer (
      fixture, CHANGE_ANSWER (RESULT ("started")), 0, &out));
  g_assert_false (
      decode_change_answer (fixture, CHANGE_ANSWER (RESULT ("lost")), 1, &out));
  fixture->ref.attempt = 3;
  g_assert_false (decode_change_answer (
      fixture, CHANGE_ANSWER (RESULT ("started")), 1, &out));
}

static void
test_lease_description_and_fence (struct ColtDecodeFixture *fixture,
                                  gconstpointer data)
{
  struct ColtBackendDescription description;
  struct ColtBackendLease lease;
  struct ColtBackendFence fence;

  (void)data;
  g_assert_true (colt_backend_decode_description (
      fixture->decoder, DESCRIPTION ("2"), strlen (DESCRIPTION ("2")),
      &description, NULL));
  g_assert_cmpuint (description.rack, ==, 2);
  g_assert_cmpint (description.fence.remaining_ms, ==, 1500);
  g_assert_false (colt_backend_decode_description (
      fixture->decoder, DESCRIPTION ("null"), strlen (DESCRIPTION ("null")),
      &description, &fixture->error));
  g_assert_cmpstr (fixture->error.message, ==,
                   "\"zone\" is not a whole number");
  g_assert_true (colt_backend_decode_lease (fixture->decoder, LEASE,
                                            strlen (LEASE), &lease, NULL));
  g_assert_cmpuint (lease.epoch, ==, 6);
  g_assert_false (colt_backend_decode_lease (fixture->decoder, LEASE,
                                             strlen (LEASE) - 1, &lease, NULL));
  g_assert_true (colt_backend_decode_fence (fixture->decoder, FENCED,
                                            strlen (FENCED), &fence, NULL));
  g_assert_cmpuint (fence.owner, ==, 3);
  g_assert_false (colt_backend_decode_fence (fixture->decoder, LEASE,
                                             strlen (LEASE), &fence, NULL));
}

static void
test_encode_change (struct ColtDecodeFixture *fixture, gconstpointer data)
{
  struct ColtTaskStart start = { 0 };
  struct ColtBackendStop stop = { fixture->ref, true };
  struct ColtBackendChange change
      = { 6, "7", &start, 1, &stop, 1, NULL, 0, 10000 };
  char *text;

  (void)data;
  start.ref = fixture->ref;
  start.shard = 5;
  start.shard_epoch = 8;
  start.kind = COLT_WORK_GANG;
  start.lease_ms = 900;
  start.payload = (const uint8_t *)"ab";
  start.payload_size = 2;
  strcpy (start.team, "bookings");
  text = colt_backend_encode_change (&change);
  g_assert_cmpstr (
      text, ==,
      "{\"epoch\":6,\"token\":7,\"starts\":[{\"task\":\"" ID "-3\","
      "\"attempt\":2,\"shard\":5,\"shard_epoch\":8,\"team\":\"bookings\","
      "\"kind\":\"gang\",\"limit\":{\"cores_milli\":0,\"memory_mb\":0,"
      "\"accelerators\":0,\"slots\":0,\"connections\":0},\"lease_ms\":900,"
      "\"payload\":\"YWI=\"}],\"stops\":[{\"task\":\"" ID "-3\",\"attempt\":2,"
      "\"checkpoint\":true}],\"resizes\":[],\"renew_ms\":10000}");
  free (text);
}

#define ADD(path, test)                                                        \
  g_test_add ("/backend/json/" path, struct ColtDecodeFixture, NULL, set_up,   \
              test, tear_down)

void
add_decode_tests (void)
{
  ADD ("inventory", test_inventory);
  ADD ("bad-inventories", test_bad_inventories);
  ADD ("events", test_events);
  ADD ("results", test_results_match_starts);
  ADD ("lease", test_lease_description_and_fence);
  ADD ("change", test_encode_change);
}
