/* Fuzzes the decoders of messages between leaders and owners of shards. A
 * message that unpacks must pack and unpack again with the same counts. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/shard_messages.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void check_open_ (const uint8_t *data, size_t size);
static void check_opened_ (const uint8_t *data, size_t size);
static void check_confirm_ (const uint8_t *data, size_t size);
static void check_confirmed_ (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  check_open_ (data, size);
  check_opened_ (data, size);
  check_confirm_ (data, size);
  check_confirmed_ (data, size);
  return 0;
}

static void
check_open_ (const uint8_t *data, size_t size)
{
  struct ColtShardOpen open;
  struct ColtShardOpen repacked;
  uint8_t *body;
  size_t body_size;

  if (!colt_shard_open_unpack (data, size, &open, NULL))
    return;
  body = colt_shard_open_pack (&open, &body_size);
  if (!colt_shard_open_unpack (body, body_size, &repacked, NULL)
      || repacked.epoch_count != open.epoch_count
      || repacked.incarnation != open.incarnation)
    abort ();
  colt_shard_open_clear (&repacked);
  colt_shard_open_clear (&open);
  free (body);
}

static void
check_opened_ (const uint8_t *data, size_t size)
{
  struct ColtShardOpened opened;
  struct ColtShardOpened repacked;
  uint8_t *body;
  size_t body_size;

  if (!colt_shard_opened_unpack (data, size, &opened, NULL))
    return;
  body = colt_shard_opened_pack (&opened, &body_size);
  if (!colt_shard_opened_unpack (body, body_size, &repacked, NULL)
      || repacked.server_count != opened.server_count
      || repacked.task_count != opened.task_count
      || repacked.team_count != opened.team_count)
    abort ();
  colt_shard_opened_clear (&repacked);
  colt_shard_opened_clear (&opened);
  free (body);
}

static void
check_confirm_ (const uint8_t *data, size_t size)
{
  struct ColtShardConfirm confirm;
  struct ColtShardConfirm repacked;
  uint8_t *body;
  size_t body_size;

  if (!colt_shard_confirm_unpack (data, size, &confirm, NULL))
    return;
  body = colt_shard_confirm_pack (&confirm, &body_size);
  if (!colt_shard_confirm_unpack (body, body_size, &repacked, NULL)
      || repacked.view_count != confirm.view_count
      || repacked.echo != confirm.echo)
    abort ();
  colt_shard_confirm_clear (&repacked);
  colt_shard_confirm_clear (&confirm);
  free (body);
}

static void
check_confirmed_ (const uint8_t *data, size_t size)
{
  struct ColtShardConfirmed confirmed;
  struct ColtShardConfirmed repacked;
  uint8_t *body;
  size_t body_size;

  if (!colt_shard_confirmed_unpack (data, size, &confirmed, NULL))
    return;
  body = colt_shard_confirmed_pack (&confirmed, &body_size);
  if (!colt_shard_confirmed_unpack (body, body_size, &repacked, NULL)
      || repacked.epoch_count != confirmed.epoch_count
      || repacked.version != confirmed.version)
    abort ();
  colt_shard_confirmed_clear (&repacked);
  colt_shard_confirmed_clear (&confirmed);
  free (body);
}
