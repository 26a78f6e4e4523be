#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "chain_internal.h"
#include "coltsfootstile/clock.h"

static uint8_t *encode_envelope_ (const Colt__BundleSnapshot *message,
                                  size_t *size);
static Colt__BundleSnapshot *decode_envelope_ (const uint8_t *body,
                                               size_t size);
static bool read_path_ (const struct ColtChain *chain,
                        const Colt__BundleSnapshot *message,
                        GArray *path);
static bool is_signer_trusted_ (const struct ColtChain *chain,
                                const GArray *path,
                                const struct ColtBundleLink *link);
static bool check_path_end_ (const struct ColtChain *chain,
                             const GArray *path,
                             const struct ColtBundleLink *link);
static bool read_history_ (const Colt__BundleSnapshot *message,
                           const struct ColtBundleLink *link,
                           GArray *history);
static struct ColtKeyring *read_keys_ (const Colt__BundleSnapshot *message,
                                       const GArray *path);
static bool path_has_operator_ (const void *client,
                                const struct ColtOperatorKey *key);
static bool check_progress_ (const struct ColtChain *chain,
                             const Colt__BundleSnapshot *message,
                             const struct ColtBundleLink *link,
                             struct ColtChainVerdict *verdict);
static void verify_and_adopt_ (struct ColtChain *chain,
                               const Colt__BundleSnapshot *message,
                               struct ColtChainVerdict *verdict);
static void install_snapshot_ (struct ColtChain *chain,
                               const Colt__BundleSnapshot *message,
                               struct ColtBundle *bundle,
                               struct ColtBundleLink *link,
                               struct ColtKeyring *keyring);
static void set_malformed_ (struct ColtChainVerdict *verdict,
                            const char *reason);
static size_t borrow_bodies_ (const GPtrArray *bodies,
                              ProtobufCBinaryData **data);
static uint64_t compute_weight_ (uint32_t instance, uint64_t round);

uint8_t *
colt_chain_encode_snapshot (const struct ColtChain *chain,
                            const uint8_t *extra,
                            size_t extra_size,
                            size_t *size)
{
  Colt__BundleSnapshot message = COLT__BUNDLE_SNAPSHOT__INIT;
  GPtrArray *given = g_ptr_array_new ();
  GPtrArray *withdrawn = g_ptr_array_new ();
  Colt__BundlePast *past = g_new0 (Colt__BundlePast, chain->history->len + 1);
  Colt__BundlePast **past_list
      = g_new0 (Colt__BundlePast *, chain->history->len + 1);
  Colt__BundleLink *links = g_new0 (Colt__BundleLink, chain->path->len + 1);
  Colt__BundleLink **link_list
      = g_new0 (Colt__BundleLink *, chain->path->len + 1);
  uint8_t *body = NULL;
  guint i;

  for (i = 0; i < chain->path->len; i++)
    {
      colt_link_write (&g_array_index (chain->path, struct ColtBundleLink, i),
                       &links[i]);
      link_list[i] = &links[i];
    }
  for (i = 0; i < chain->history->len; i++)
    {
      struct ColtChainVersion *entry
          = &g_array_index (chain->history, struct ColtChainVersion, i);

      colt__bundle_past__init (&past[i]);
      past[i].version = entry->version;
      past[i].hash.data = entry->hash.bytes;
      past[i].hash.len = COLT_HASH_SIZE;
      past_list[i] = &past[i];
    }
  if (chain->bundle != NULL)
    {
      colt_link_write (&chain->link, &links[chain->path->len]);
      colt_keyring_collect_entries (chain->keyring, given, withdrawn);
      message.next_offset = chain->next_offset;
      message.n_path = chain->path->len;
      message.path = link_list;
      message.link = &links[chain->path->len];
      message.body = (char *)colt_bundle_body (chain->bundle);
      message.bundle_offset = chain->bundle_position.offset;
      message.bundle_index = chain->bundle_position.index;
      message.n_history = chain->history->len;
      message.history = past_list;
      message.n_given = borrow_bodies_ (given, &message.given);
      message.n_withdrawn = borrow_bodies_ (withdrawn, &message.withdrawn);
      message.extra.data = (uint8_t *)extra;
      message.extra.len = extra_size;
      body = encode_envelope_ (&message, size);
      g_free (message.given);
      g_free (message.withdrawn);
    }
  g_ptr_array_unref (given);
  g_ptr_array_unref (withdrawn);
  g_free (past);
  g_free (past_list);
  g_free (links);
  g_free (link_list);
  return body;
}

void
colt_chain_apply_snapshot (struct ColtChain *chain,
                           const uint8_t *body,
                           size_t size,
                           struct ColtChainVerdict *verdict)
{
  memset (verdict, 0, sizeof *verdict);
  colt_chain_adopt_snapshot (chain, body, size, verdict);
}

const uint8_t *
colt_chain_snapshot_extra (const struct ColtChain *chain, size_t *size)
{
  *size = 0;
  return chain->extra != NULL ? g_bytes_get_data (chain->extra, size) : NULL;
}

void
colt_chain_adopt_snapshot (struct ColtChain *chain,
                           const uint8_t *body,
                           size_t size,
                           struct ColtChainVerdict *verdict)
{
  Colt__BundleSnapshot *message = decode_envelope_ (body, size);

  if (message == NULL)
    {
      set_malformed_ (verdict,
                      "the snapshot can't be decoded or its hash is wrong");
      return;
    }
  verify_and_adopt_ (chain, message, verdict);
  colt__bundle_snapshot__free_unpacked (message, NULL);
}

bool
colt_snapshot_is_due (const struct ColtSnapshotState *state)
{
  if (state->last_offset == UINT64_MAX
      || state->last_offset < state->first_offset)
    return true;
  if (state->next_offset > state->last_offset
      && state->next_offset - state->last_offset > COLT_SNAPSHOT_RECORDS)
    return true;
  return state->now_us - state->last_us >= state->retention_us / 3;
}

bool
colt_snapshot_is_own_turn (const struct ColtSnapshotState *state)
{
  uint64_t own = compute_weight_ (state->self, state->last_offset);
  int64_t ahead = 0;
  size_t i;

  if (!colt_snapshot_is_due (state) || state->due_since_us == COLT_TIME_NEVER)
    return false;
  for (i = 0; i < state->live_count; i++)
    {
      uint64_t weight = compute_weight_ (state->live[i], state->last_offset);

      if (weight > own || (weight == own && state->live[i] < state->self))
        ahead++;
    }
  return state->now_us - state->due_since_us
         >= ahead * COLT_SNAPSHOT_STAGGER_MS * COLT_US_PER_MS;
}

static uint8_t *
encode_envelope_ (const Colt__BundleSnapshot *message, size_t *size)
{
  Colt__BundleSnapshotEnvelope envelope = COLT__BUNDLE_SNAPSHOT_ENVELOPE__INIT;
  uint8_t *content = malloc (colt__bundle_snapshot__get_packed_size (message));
  struct ColtHash hash;
  uint8_t *body;

  envelope.content.data = content;
  envelope.content.len = colt__bundle_snapshot__pack (message, content);
  hash = colt_hash_make (content, envelope.content.len);
  envelope.hash.data = hash.bytes;
  envelope.hash.len = COLT_HASH_SIZE;
  body = malloc (colt__bundle_snapshot_envelope__get_packed_size (&envelope));
  *size = colt__bundle_snapshot_envelope__pack (&envelope, body);
  free (content);
  return body;
}

static Colt__BundleSnapshot *
decode_envelope_ (const uint8_t *body, size_t size)
{
  Colt__BundleSnapshotEnvelope *envelope
      = colt__bundle_snapshot_envelope__unpack (NULL, size, body);
  Colt__BundleSnapshot *message = NULL;
  struct ColtHash expected;
  struct ColtHash hash;

  if (envelope == NULL)
    return NULL;
  hash = colt_hash_make (envelope->content.data, envelope->content.len);
  if (colt_bytes_copy (&envelope->hash, expected.bytes, COLT_HASH_SIZE)
      && colt_hash_equal (&expected, &hash))
    message = colt__bundle_snapshot__unpack (NULL, envelope->content.len,
                                             envelope->content.data);
  colt__bundle_snapshot_envelope__free_unpacked (envelope, NULL);
  return message;
}

static void
verify_and_adopt_ (struct ColtChain *chain,
                   const Colt__BundleSnapshot *message,
                   struct ColtChainVerdict *verdict)
{
  struct ColtBundleLink link;
  struct ColtBundle *bundle = NULL;
  struct ColtKeyring *keyring = NULL;
  GArray *path = colt_path_create ();
  GArray *history = g_array_new (FALSE, TRUE, sizeof (struct ColtChainVersion));

  verdict->status = colt_link_read (&link, message->link, &verdict->error);
  if (verdict->status != COLT_CHAIN_ACCEPTED)
    {
      colt_path_unref (path);
      g_array_unref (history);
      return;
    }
  verdict->version = link.header.version;
  verdict->hash = link.hash;
  if (!read_path_ (chain, message, path)
      || !check_path_end_ (chain, path, &link))
    {
      verdict->status = COLT_CHAIN_UNSIGNED;
      colt_error_set (
          &verdict->error, COLT_ERROR_REFUSED, COLT_STEP_CHECK, NULL,
          "no path of signatures leads from the settings to the snapshot");
    }
  else if (check_progress_ (chain, message, &link, verdict))
    {
      bundle = colt_link_build_bundle (&link, message->body, &verdict->error);
      keyring = read_keys_ (message, path);
      if (bundle == NULL || keyring == NULL
          || !read_history_ (message, &link, history))
        set_malformed_ (verdict,
                        "the snapshot's bundle, keys or history are invalid");
    }
  if (verdict->status == COLT_CHAIN_ACCEPTED)
    {
      install_snapshot_ (chain, message, bundle, &link, keyring);
      g_array_unref (chain->history);
      colt_path_unref (chain->path);
      chain->history = g_array_ref (history);
      chain->path = g_array_ref (path);
      colt_chain_replay_pending (chain, message->next_offset);
      verdict->status = COLT_CHAIN_ADOPTED;
    }
  else
    {
      colt_bundle_destroy (bundle);
      colt_keyring_destroy (keyring);
      colt_link_clear (&link);
    }
  colt_path_unref (path);
  g_array_unref (history);
}

static bool
read_path_ (const struct ColtChain *chain,
            const Colt__BundleSnapshot *message,
            GArray *path)
{
  size_t i;

  for (i = 0; i < message->n_path; i++)
    {
      struct ColtBundleLink link;

      if (colt_link_read (&link, message->path[i], NULL) != COLT_CHAIN_ACCEPTED)
        return false;
      if (!is_signer_trusted_ (chain, path, &link))
        {
          colt_link_clear (&link);
          return false;
        }
      g_array_append_val (path, link);
    }
  return path->len > 0;
}

/* Returns whether a link may follow the links of a path: the first is signed by
   an operator in the settings, each later one by an operator of the link before
   it. */
static bool
is_signer_trusted_ (const struct ColtChain *chain,
                    const GArray *path,
                    const struct ColtBundleLink *link)
{
  const struct ColtBundleLink *previous;

  if (path->len == 0)
    return link->header.version == 1 && colt_hash_is_none (&link->header.parent)
           && colt_operators_contain (chain->bootstrap,
                                      &link->signature.operator_key);
  previous = &g_array_index (path, struct ColtBundleLink, path->len - 1);
  return link->header.version > previous->header.version
         && colt_operators_contain (previous->header.operators,
                                    &link->signature.operator_key);
}

/* Returns whether a path ends at the link of the bundle, or at an earlier
   version with the same operators, one of whom signed the bundle. */
static bool
check_path_end_ (const struct ColtChain *chain,
                 const GArray *path,
                 const struct ColtBundleLink *link)
{
  const struct ColtBundleLink *last
      = &g_array_index (path, struct ColtBundleLink, path->len - 1);

  if (colt_hash_equal (&last->hash, &link->hash))
    return true;
  return is_signer_trusted_ (chain, path, link)
         && colt_operators_equal (last->header.operators,
                                  link->header.operators);
}

static bool
check_progress_ (const struct ColtChain *chain,
                 const Colt__BundleSnapshot *message,
                 const struct ColtBundleLink *link,
                 struct ColtChainVerdict *verdict)
{
  const char *reason = NULL;

  verdict->status = COLT_CHAIN_ACCEPTED;
  if (chain->needs_snapshot && message->next_offset < chain->readable_from)
    {
      verdict->status = COLT_CHAIN_GAP;
      reason = "records that follow the snapshot are lost";
    }
  else if (!chain->needs_snapshot && message->next_offset <= chain->next_offset)
    {
      verdict->status = COLT_CHAIN_OLD;
      reason = "the local state is at least as recent";
    }
  else if (chain->bundle != NULL
           && (link->header.version < chain->link.header.version
               || (link->header.version == chain->link.header.version
                   && !colt_hash_equal (&link->hash, &chain->link.hash))))
    {
      verdict->status = COLT_CHAIN_MISMATCH;
      reason = "the snapshot contradicts the version in force";
    }
  if (reason != NULL)
    colt_error_set (&verdict->error, COLT_ERROR_REFUSED, COLT_STEP_CHECK, NULL,
                    "%s", reason);
  return reason == NULL;
}

static bool
read_history_ (const Colt__BundleSnapshot *message,
               const struct ColtBundleLink *link,
               GArray *history)
{
  const struct ColtChainVersion *last;
  size_t i;

  if (message->n_history == 0 || message->n_history > COLT_CHAIN_HISTORY)
    return false;
  for (i = 0; i < message->n_history; i++)
    {
      struct ColtChainVersion item
          = { .version = message->history[i]->version };

      if (!colt_bytes_copy (&message->history[i]->hash, item.hash.bytes,
                            COLT_HASH_SIZE)
          || item.version
                 != link->header.version
                        - (int64_t)(message->n_history - 1 - i))
        return false;
      g_array_append_val (history, item);
    }
  last = &g_array_index (history, struct ColtChainVersion, history->len - 1);
  return colt_hash_equal (&last->hash, &link->hash);
}

static struct ColtKeyring *
read_keys_ (const Colt__BundleSnapshot *message, const GArray *path)
{
  struct ColtKeyring *keyring = colt_keyring_create ();
  bool valid = message->n_given <= COLT_KEYRING_GIVEN_MAX;
  size_t i;

  for (i = 0; valid && i < message->n_given; i++)
    valid = colt_keyring_restore_given (keyring, message->given[i].data,
                                        message->given[i].len,
                                        path_has_operator_, path);
  for (i = 0; valid && i < message->n_withdrawn; i++)
    valid = colt_keyring_restore_withdrawn (keyring, message->withdrawn[i].data,
                                            message->withdrawn[i].len);
  if (valid)
    return keyring;
  colt_keyring_destroy (keyring);
  return NULL;
}

static bool
path_has_operator_ (const void *client, const struct ColtOperatorKey *key)
{
  const GArray *path = client;
  guint i;

  for (i = 0; i < path->len; i++)
    if (colt_operators_contain (
            g_array_index (path, struct ColtBundleLink, i).header.operators,
            key))
      return true;
  return false;
}

static void
install_snapshot_ (struct ColtChain *chain,
                   const Colt__BundleSnapshot *message,
                   struct ColtBundle *bundle,
                   struct ColtBundleLink *link,
                   struct ColtKeyring *keyring)
{
  colt_keyring_merge_withdrawn (keyring, chain->keyring);
  colt_keyring_set_bundle (keyring, bundle);
  colt_keyring_destroy (chain->keyring);
  chain->keyring = keyring;
  colt_chain_clear_state (chain);
  chain->bundle = bundle;
  chain->link = *link;
  chain->bundle_position.offset = message->bundle_offset;
  chain->bundle_position.index = message->bundle_index;
  if (message->next_offset > chain->next_offset)
    chain->next_offset = message->next_offset;
  chain->needs_snapshot = false;
  colt_chain_clear_changes (chain, message->next_offset);
  g_clear_pointer (&chain->extra, g_bytes_unref);
  chain->extra = g_bytes_new (message->extra.data, message->extra.len);
  chain->generation++;
}

static void
set_malformed_ (struct ColtChainVerdict *verdict, const char *reason)
{
  verdict->status = COLT_CHAIN_MALFORMED;
  colt_error_set (&verdict->error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                  "%s", reason);
}

static size_t
borrow_bodies_ (const GPtrArray *bodies, ProtobufCBinaryData **data)
{
  guint i;

  *data = g_new0 (ProtobufCBinaryData, bodies->len + 1);
  for (i = 0; i < bodies->len; i++)
    {
      gsize size;

      (*data)[i].data
          = (uint8_t *)g_bytes_get_data (g_ptr_array_index (bodies, i), &size);
      (*data)[i].len = size;
    }
  return bodies->len;
}

static uint64_t
compute_weight_ (uint32_t instance, uint64_t round)
{
  return XXH3_64bits_withSeed (&instance, sizeof instance, round);
}
