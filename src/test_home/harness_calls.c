/* Requests of the simulated gate. */
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "harness.h"

#define CALL_TIMEOUT_MS 20000u

static struct ColtId
find_id_ (struct ColtHomeFixture *fixture, uint32_t instance)
{
  const struct ColtShardLeader *shards = colt_home_shards (fixture->home);
  uint32_t wall_s = (uint32_t)(colt_clock_wall_us () / COLT_US_PER_S);
  struct ColtId id;

  do
    {
      const uint8_t random[10] = { ++fixture->next_id };

      id = colt_id_mint (1, wall_s, random);
    }
  while (colt_shard_leader_designated (shards, colt_id_shard (&id))
         != instance);
  return id;
}

struct ColtId
colt_home_make_id (struct ColtHomeFixture *fixture)
{
  return find_id_ (fixture, HOME_INSTANCE);
}

struct ColtId
colt_home_make_foreign_id (struct ColtHomeFixture *fixture)
{
  return find_id_ (fixture, OWNER_INSTANCE);
}

struct ColtRequestSpec
colt_home_make_spec (void)
{
  struct ColtRequestSpec spec = { 0 };
  const struct ColtResources demand = { { 500, 100, 0, 1, 1 } };

  g_strlcpy (spec.team, "team", sizeof spec.team);
  g_strlcpy (spec.queue, "queue", sizeof spec.queue);
  spec.kind = COLT_WORK_INTERACTIVE;
  spec.demand = demand;
  spec.tasks = 1;
  spec.max_attempts = 1;
  spec.deadline_us = COLT_TIME_NEVER;
  return spec;
}

static void
on_submitted_ (void *client,
               enum ColtWireResult result,
               const uint8_t *body,
               size_t size)
{
  struct ColtSubmitReceipt *receipt = client;
  ColtSubmitReply *reply;

  g_assert_cmpint (result, ==, COLT_WIRE_REPLIED);
  reply = colt_submit_reply__unpack (NULL, size, body);
  g_assert_nonnull (reply);
  receipt->done = true;
  receipt->status = (enum ColtSubmitStatus)reply->status;
  receipt->reason = (enum ColtReason)reply->reason;
  colt_submit_reply__free_unpacked (reply, NULL);
}

void
colt_home_send_submit (struct ColtHomeFixture *fixture,
                       const struct ColtId *id,
                       const struct ColtRequestSpec *spec,
                       struct ColtSubmitReceipt *receipt)
{
  ColtSubmitWord submit = COLT_SUBMIT_WORD__INIT;
  struct ColtSpecBuffer buffer;
  uint8_t *body;
  size_t size;

  memset (receipt, 0, sizeof *receipt);
  colt_spec_fill (&buffer, spec, colt_clock_monotonic_us ());
  submit.id = colt_id_fill (id);
  submit.spec = &buffer.msg;
  submit.waits = true;
  submit.fresh = true;
  body = colt_message_pack (&submit.base, &size);
  colt_wire_call (fixture->gate_wire, HOME_INSTANCE, COLT_WIRE_REQUEST_SUBMIT,
                  body, size, CALL_TIMEOUT_MS, on_submitted_, receipt);
  free (body);
}

struct ColtSubmitReceipt
colt_home_submit (struct ColtHomeFixture *fixture,
                  const struct ColtId *id,
                  const struct ColtRequestSpec *spec)
{
  struct ColtSubmitReceipt receipt;

  colt_home_send_submit (fixture, id, spec, &receipt);
  RUN_UNTIL (fixture, receipt.done);
  return receipt;
}

static void
on_cancelled_ (void *client,
               enum ColtWireResult result,
               const uint8_t *body,
               size_t size)
{
  (void)body;
  (void)size;
  g_assert_cmpint (result, ==, COLT_WIRE_REPLIED);
  *(bool *)client = true;
}

void
colt_home_cancel (struct ColtHomeFixture *fixture, const struct ColtId *id)
{
  ColtCancelWord cancel = COLT_CANCEL_WORD__INIT;
  ProtobufCBinaryData ids = colt_id_fill (id);
  bool done = false;
  uint8_t *body;
  size_t size;

  cancel.ids = &ids;
  cancel.n_ids = 1;
  body = colt_message_pack (&cancel.base, &size);
  colt_wire_call (fixture->gate_wire, HOME_INSTANCE, COLT_WIRE_REQUEST_CANCEL,
                  body, size, CALL_TIMEOUT_MS, on_cancelled_, &done);
  free (body);
  RUN_UNTIL (fixture, done);
}
