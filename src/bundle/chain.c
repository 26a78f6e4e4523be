#include "chain_internal.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "coltsfootstile/guard.h"

const char *const colt_chain_status_string[]
    = { "accepted",  "duplicate", "conflict", "old",     "orphan", "unsigned",
        "malformed", "mismatch",  "refused",  "adopted", "gap",    "ignored" };

static bool check_position_ (struct ColtChain *chain,
                             struct ColtLogPosition position,
                             struct ColtChainVerdict *verdict);
static void apply_bundle_ (struct ColtChain *chain,
                           struct ColtLogPosition position,
                           const uint8_t *body,
                           size_t size,
                           struct ColtChainVerdict *verdict);
static void check_link_ (const struct ColtChain *chain,
                         const struct ColtBundleLink *link,
                         struct ColtChainVerdict *verdict);
static void check_first_link_ (const struct ColtChain *chain,
                               const struct ColtBundleLink *link,
                               struct ColtChainVerdict *verdict);
static void reject_other_parent_ (const struct ColtChain *chain,
                                  const struct ColtBundleLink *link,
                                  struct ColtChainVerdict *verdict);
static int find_version_ (const struct ColtChain *chain,
                          const struct ColtHash *hash);
static const struct ColtChainVersion *
get_version_ (const struct ColtChain *chain, guint index);
static void set_conflict_ (const struct ColtChain *chain,
                           guint index,
                           struct ColtChainVerdict *verdict);
static struct ColtBundle *build_bundle_ (const struct ColtChain *chain,
                                         const struct ColtBundleLink *link,
                                         const Colt__BundleRecord *record,
                                         struct ColtChainVerdict *verdict);
static void activate_bundle_ (struct ColtChain *chain,
                              struct ColtBundle *bundle,
                              struct ColtBundleLink *link,
                              struct ColtLogPosition position);
static void apply_key_ (struct ColtChain *chain,
                        uint32_t kind,
                        const uint8_t *body,
                        size_t size,
                        bool relayed,
                        struct ColtChainVerdict *verdict);
static void apply_snapshot_record_ (struct ColtChain *chain,
                                    uint64_t offset,
                                    const uint8_t *body,
                                    size_t size,
                                    struct ColtChainVerdict *verdict);
static bool is_operator_ (const void *client,
                          const struct ColtOperatorKey *key);
static void set_verdict_ (struct ColtChainVerdict *verdict,
                          enum ColtChainStatus status,
                          const char *reason);
static void clear_link_ (gpointer link);

struct ColtChain *
colt_chain_create (const struct ColtOperatorKey *operators, size_t count)
{
  struct ColtChain *chain = g_new0 (struct ColtChain, 1);

  assert (count >= 1 && count <= COLT_BUNDLE_OPERATORS_MAX);
  chain->bootstrap = g_array_new (FALSE, TRUE, sizeof (struct ColtOperatorKey));
  g_array_append_vals (chain->bootstrap, operators, count);
  chain->keyring = colt_keyring_create ();
  chain->path = colt_path_create ();
  chain->history = g_array_new (FALSE, TRUE, sizeof (struct ColtChainVersion));
  chain->snapshot_offset = UINT64_MAX;
  return chain;
}

void
colt_chain_destroy (struct ColtChain *chain)
{
  if (chain == NULL)
    return;
  colt_chain_clear_state (chain);
  colt_chain_clear_pending (chain);
  colt_chain_clear_changes (chain, 0);
  colt_keyring_destroy (chain->keyring);
  colt_path_unref (chain->path);
  g_array_unref (chain->history);
  g_array_unref (chain->bootstrap);
  g_clear_pointer (&chain->extra, g_bytes_unref);
  g_free (chain);
}

void
colt_chain_apply_record (struct ColtChain *chain,
                         struct ColtLogPosition position,
                         uint32_t kind,
                         const uint8_t *body,
                         size_t size,
                         struct ColtChainVerdict *verdict)
{
  memset (verdict, 0, sizeof *verdict);
  if (!chain->needs_snapshot)
    colt_chain_clear_pending (chain);
  if (!check_position_ (chain, position, verdict))
    return;
  if (kind == COLT_RECORD_SNAPSHOT)
    apply_snapshot_record_ (chain, position.offset, body, size, verdict);
  else if (chain->needs_snapshot)
    {
      colt_chain_add_pending (chain, position, kind, body, size);
      set_verdict_ (verdict, COLT_CHAIN_IGNORED,
                    "the record is buffered until a snapshot is read");
    }
  else
    colt_chain_dispatch_record (chain, position, kind, body, size, verdict);
}

void
colt_chain_dispatch_record (struct ColtChain *chain,
                            struct ColtLogPosition position,
                            uint32_t kind,
                            const uint8_t *body,
                            size_t size,
                            struct ColtChainVerdict *verdict)
{
  if (kind == COLT_RECORD_BUNDLE)
    apply_bundle_ (chain, position, body, size, verdict);
  else if (kind == COLT_RECORD_KEY_GIVE || kind == COLT_RECORD_KEY_WITHDRAW)
    apply_key_ (chain, kind, body, size, false, verdict);
  else
    set_verdict_ (verdict, COLT_CHAIN_IGNORED,
                  "the record belongs to another fold");
  if (verdict->status == COLT_CHAIN_ACCEPTED)
    colt_chain_add_change (chain, position, kind, body, size);
}

void
colt_chain_advance (struct ColtChain *chain, uint64_t next_offset)
{
  if (next_offset > chain->next_offset)
    chain->next_offset = next_offset;
}

bool
colt_chain_set_first_offset (struct ColtChain *chain, uint64_t first)
{
  if (chain->snapshot_offset < first)
    chain->snapshot_offset = UINT64_MAX;
  if (first > chain->next_offset)
    {
      colt_chain_clear_pending (chain);
      chain->needs_snapshot = true;
      chain->readable_from = first;
      chain->next_offset = first;
    }
  return !chain->needs_snapshot;
}

uint64_t
colt_chain_next_offset (const struct ColtChain *chain)
{
  return chain->next_offset;
}

bool
colt_chain_needs_snapshot (const struct ColtChain *chain)
{
  return chain->needs_snapshot;
}

const struct ColtBundle *
colt_chain_bundle (const struct ColtChain *chain)
{
  return chain->bundle;
}

struct ColtLogPosition
colt_chain_bundle_position (const struct ColtChain *chain)
{
  return chain->bundle_position;
}

const struct ColtKeyring *
colt_chain_keyring (const struct ColtChain *chain)
{
  return chain->keyring;
}

uint64_t
colt_chain_generation (const struct ColtChain *chain)
{
  return chain->generation;
}

uint64_t
colt_chain_snapshot_offset (const struct ColtChain *chain)
{
  return chain->snapshot_offset;
}

void
colt_chain_apply_relayed (struct ColtChain *chain,
                          const uint8_t *body,
                          size_t size,
                          struct ColtChainVerdict *verdict)
{
  memset (verdict, 0, sizeof *verdict);
  apply_key_ (chain, COLT_RECORD_KEY_WITHDRAW, body, size, true, verdict);
}

void
colt_chain_clear_state (struct ColtChain *chain)
{
  colt_bundle_destroy (chain->bundle);
  chain->bundle = NULL;
  colt_link_clear (&chain->link);
  g_array_set_size (chain->path, 0);
  g_array_set_size (chain->history, 0);
}

GArray *
colt_path_create (void)
{
  GArray *path = g_array_new (FALSE, TRUE, sizeof (struct ColtBundleLink));

  g_array_set_clear_func (path, clear_link_);
  return path;
}

void
colt_path_unref (GArray *path)
{
  g_array_unref (path);
}

bool
colt_operators_equal (const GArray *a, const GArray *b)
{
  return a->len == b->len
         && memcmp (a->data, b->data, a->len * sizeof (struct ColtOperatorKey))
                == 0;
}

static bool
check_position_ (struct ColtChain *chain,
                 struct ColtLogPosition position,
                 struct ColtChainVerdict *verdict)
{
  if (position.offset < chain->next_offset
      || (chain->has_last && position.offset == chain->last_position.offset
          && position.index <= chain->last_position.index))
    {
      set_verdict_ (verdict, COLT_CHAIN_DUPLICATE,
                    "the position was read before");
      return false;
    }
  chain->next_offset = position.offset;
  chain->last_position = position;
  chain->has_last = true;
  return true;
}

static void
apply_bundle_ (struct ColtChain *chain,
               struct ColtLogPosition position,
               const uint8_t *body,
               size_t size,
               struct ColtChainVerdict *verdict)
{
  Colt__BundleRecord *record = colt__bundle_record__unpack (NULL, size, body);
  struct ColtBundleLink link;
  struct ColtBundle *bundle = NULL;

  if (record == NULL)
    {
      set_verdict_ (verdict, COLT_CHAIN_MALFORMED,
                    "the record can't be decoded");
      return;
    }
  verdict->status = colt_link_read (&link, record->link, &verdict->error);
  if (verdict->status == COLT_CHAIN_ACCEPTED)
    {
      verdict->version = link.header.version;
      verdict->hash = link.hash;
      check_link_ (chain, &link, verdict);
      if (verdict->status == COLT_CHAIN_ACCEPTED)
        bundle = build_bundle_ (chain, &link, record, verdict);
      if (bundle != NULL)
        activate_bundle_ (chain, bundle, &link, position);
      else
        colt_link_clear (&link);
    }
  colt__bundle_record__free_unpacked (record, NULL);
}

static void
check_link_ (const struct ColtChain *chain,
             const struct ColtBundleLink *link,
             struct ColtChainVerdict *verdict)
{
  if (chain->bundle == NULL)
    check_first_link_ (chain, link, verdict);
  else if (find_version_ (chain, &link->hash) >= 0)
    set_verdict_ (verdict, COLT_CHAIN_DUPLICATE,
                  "the version was accepted before");
  else if (!colt_hash_equal (&link->header.parent, &chain->link.hash)
           && colt_guard_on (COLT_GUARD_BUNDLE_PARENT))
    reject_other_parent_ (chain, link, verdict);
  else if (link->header.version != chain->link.header.version + 1
           && colt_guard_on (COLT_GUARD_BUNDLE_PARENT))
    set_verdict_ (verdict, COLT_CHAIN_MALFORMED,
                  "the version number does not follow that of the parent");
  else if (!colt_operators_contain (chain->link.header.operators,
                                    &link->signature.operator_key))
    set_verdict_ (verdict, COLT_CHAIN_UNSIGNED,
                  "the signer is not an operator of the parent version");
}

static void
check_first_link_ (const struct ColtChain *chain,
                   const struct ColtBundleLink *link,
                   struct ColtChainVerdict *verdict)
{
  if (link->header.version != 1 || !colt_hash_is_none (&link->header.parent))
    set_verdict_ (verdict, COLT_CHAIN_ORPHAN, "no version is in force yet");
  else if (!colt_operators_contain (chain->bootstrap,
                                    &link->signature.operator_key))
    set_verdict_ (verdict, COLT_CHAIN_UNSIGNED,
                  "the signer is not an operator in the settings");
}

/* Sets the verdict on a version whose parent is not the version in force. */
static void
reject_other_parent_ (const struct ColtChain *chain,
                      const struct ColtBundleLink *link,
                      struct ColtChainVerdict *verdict)
{
  int index = find_version_ (chain, &link->header.parent);

  if (index >= 0)
    set_conflict_ (chain, (guint)index + 1, verdict);
  else if (colt_hash_is_none (&link->header.parent)
           && get_version_ (chain, 0)->version == 1)
    set_conflict_ (chain, 0, verdict);
  else if (link->header.version <= chain->link.header.version)
    set_verdict_ (verdict, COLT_CHAIN_OLD, "a later version is in force");
  else
    set_verdict_ (verdict, COLT_CHAIN_ORPHAN,
                  "the parent version has not been read");
}

/* Returns the index of an accepted version in the history, or -1. */
static int
find_version_ (const struct ColtChain *chain, const struct ColtHash *hash)
{
  int i;

  for (i = (int)chain->history->len - 1; i >= 0; i--)
    if (colt_hash_equal (&get_version_ (chain, (guint)i)->hash, hash))
      break;
  return i;
}

static const struct ColtChainVersion *
get_version_ (const struct ColtChain *chain, guint index)
{
  assert (index < chain->history->len);
  return (const struct ColtChainVersion *)chain->history->data + index;
}

static void
set_conflict_ (const struct ColtChain *chain,
               guint index,
               struct ColtChainVerdict *verdict)
{
  const struct ColtChainVersion *winner = get_version_ (chain, index);

  verdict->status = COLT_CHAIN_CONFLICT;
  verdict->winner_version = winner->version;
  verdict->winner = winner->hash;
  colt_error_set (&verdict->error, COLT_ERROR_CONFLICT, COLT_STEP_CHECK, NULL,
                  "another version %" PRId64 " was accepted first",
                  winner->version);
}

static struct ColtBundle *
build_bundle_ (const struct ColtChain *chain,
               const struct ColtBundleLink *link,
               const Colt__BundleRecord *record,
               struct ColtChainVerdict *verdict)
{
  struct ColtBundle *bundle = NULL;
  char *text;

  if (record->content_case == COLT__BUNDLE_RECORD__CONTENT_BODY)
    bundle = colt_link_build_bundle (link, record->body, &verdict->error);
  else if (record->content_case == COLT__BUNDLE_RECORD__CONTENT_DELTA
           && chain->bundle != NULL)
    {
      text = colt_delta_apply (chain->bundle, record->delta);
      bundle = colt_link_build_bundle (link, text, &verdict->error);
      g_free (text);
    }
  else
    colt_error_set (
        &verdict->error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
        "the record has neither a text nor a delta to a known parent");
  if (bundle == NULL)
    verdict->status = verdict->error.code == COLT_ERROR_REFUSED
                          ? COLT_CHAIN_MISMATCH
                          : COLT_CHAIN_MALFORMED;
  return bundle;
}

static void
activate_bundle_ (struct ColtChain *chain,
                  struct ColtBundle *bundle,
                  struct ColtBundleLink *link,
                  struct ColtLogPosition position)
{
  struct ColtChainVersion version = { link->hash, link->header.version };

  if (chain->bundle == NULL
      || !colt_operators_equal (link->header.operators,
                                chain->link.header.operators))
    {
      struct ColtBundleLink copy;

      colt_link_copy (&copy, link);
      g_array_append_val (chain->path, copy);
    }
  colt_keyring_set_bundle (chain->keyring, bundle);
  colt_bundle_destroy (chain->bundle);
  colt_link_clear (&chain->link);
  chain->bundle = bundle;
  chain->link = *link;
  chain->bundle_position = position;
  g_array_append_val (chain->history, version);
  if (chain->history->len > COLT_CHAIN_HISTORY)
    g_array_remove_index (chain->history, 0);
  chain->generation++;
}

static void
apply_key_ (struct ColtChain *chain,
            uint32_t kind,
            const uint8_t *body,
            size_t size,
            bool relayed,
            struct ColtChainVerdict *verdict)
{
  if (chain->bundle == NULL)
    set_verdict_ (verdict, COLT_CHAIN_ORPHAN, "no version is in force yet");
  else if (kind == COLT_RECORD_KEY_GIVE)
    verdict->status = colt_keyring_apply_give (
        chain->keyring, body, size, is_operator_, chain, &verdict->error);
  else
    verdict->status
        = colt_keyring_apply_withdraw (chain->keyring, body, size, relayed,
                                       is_operator_, chain, &verdict->error);
  if (verdict->status == COLT_CHAIN_ACCEPTED)
    chain->generation++;
}

static void
apply_snapshot_record_ (struct ColtChain *chain,
                        uint64_t offset,
                        const uint8_t *body,
                        size_t size,
                        struct ColtChainVerdict *verdict)
{
  if (chain->needs_snapshot)
    colt_chain_adopt_snapshot (chain, body, size, verdict);
  else
    set_verdict_ (verdict, COLT_CHAIN_IGNORED,
                  "the state is complete; no snapshot is needed");
  if (verdict->status == COLT_CHAIN_IGNORED
      || verdict->status == COLT_CHAIN_ADOPTED)
    chain->snapshot_offset = offset;
}

static bool
is_operator_ (const void *client, const struct ColtOperatorKey *key)
{
  const struct ColtChain *chain = client;

  return colt_operators_contain (chain->link.header.operators, key);
}

static void
set_verdict_ (struct ColtChainVerdict *verdict,
              enum ColtChainStatus status,
              const char *reason)
{
  verdict->status = status;
  colt_error_set (&verdict->error, COLT_ERROR_REFUSED, COLT_STEP_CHECK, NULL,
                  "%s", reason);
}

static void
clear_link_ (gpointer link)
{
  colt_link_clear (link);
}
