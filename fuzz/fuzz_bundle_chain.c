/* Fuzzes chains of bundles against an oracle. Operators append concurrently,
 * records are duplicated, and readers progress independently, restart, fall
 * behind the log's retention and synchronise from each other. The oracle keeps
 * the expected state at every offset; each reader that needs no snapshot must
 * agree with it. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/bundle_chain.h"

#define OPERATORS 3
#define READERS 3
#define KEYS 4
#define RECORDS_MAX 64u
#define STEPS_MAX 96u
#define NONE (-1)
/* The team that every bundle declares; team N is declared by bundle N alone. */
#define TEAM_BASE 1000

/* A generated bundle, which may never come into force. */
struct ColtFuzzBundle
{
  struct ColtBundle *bundle;
  int parent;         /* NONE: none */
  unsigned operators; /* bit N: operator N may sign a child */
  int declared_key;   /* NONE: none */
};

/* Expected state after all records before an offset. */
struct ColtFuzzState
{
  int in_force; /* bundle; NONE: none */
  bool withdrawn[KEYS];
  int assigned_team[KEYS]; /* team by key records; NONE: none */
};

struct ColtFuzzRecord
{
  uint32_t kind;
  uint8_t *body;
  size_t size;
  int bundle;
  int signer;
  bool valid; /* signature is valid; base, if any, is the parent */
  int key;
  int team;
};

struct ColtFuzzSim
{
  const uint8_t *data;
  size_t size;
  uint64_t random;
  struct ColtOperatorPair operators[OPERATORS];
  struct ColtHash keys[KEYS];
  struct ColtFuzzBundle bundles[RECORDS_MAX];
  int bundle_count;
  struct ColtFuzzRecord records[RECORDS_MAX];
  struct ColtFuzzState states[RECORDS_MAX + 1]; /* [N]: before offset N */
  unsigned record_count;
  unsigned first_offset; /* oldest offset kept */
  struct ColtChain *readers[READERS];
  int64_t versions[READERS];
};

static const char body_text[]
    = "[organisation o]\ntitle = O\n"
      "[work interactive]\npolicy = fastest\npriority = 7\nmax_attempts = 3\n"
      "[work service]\npolicy = spread\npriority = 5\nmax_attempts = 5\n"
      "[work batch]\npolicy = pack\npriority = 1\nmax_attempts = 3\n"
      "[work gang]\npolicy = pack\npriority = 2\nmax_attempts = 2\n"
      "[zone 1]\nregion = r\n"
      "[team base]\norganisation = o\nweight = 1\nlimit_tasks = 1\n";

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Returns a number below the bound, from the next byte of the input or, after
 * its end, from a generator that the input has seeded. */
static unsigned
draw_ (struct ColtFuzzSim *sim, unsigned bound)
{
  if (bound == 0)
    return 0;
  if (sim->size > 0)
    {
      sim->size--;
      sim->random = sim->random * 31 + *sim->data;
      return *sim->data++ % bound;
    }
  sim->random = sim->random * UINT64_C (6364136223846793005)
                + UINT64_C (1442695040888963407);
  return (unsigned)(sim->random >> 33) % bound;
}

static void
format_team_name_ (int team, char name[COLT_NAME_SIZE])
{
  if (team == TEAM_BASE)
    g_strlcpy (name, "base", COLT_NAME_SIZE);
  else
    g_snprintf (name, COLT_NAME_SIZE, "t%d", team);
}

static bool
is_operator_ (const struct ColtFuzzSim *sim, int bundle, int signer)
{
  return bundle != NONE && (sim->bundles[bundle].operators >> signer & 1) != 0;
}

/* Returns the team of a key, NONE if it has none. */
static int
find_key_team_ (const struct ColtFuzzSim *sim,
                const struct ColtFuzzState *state,
                int key)
{
  if (state->in_force != NONE
      && sim->bundles[state->in_force].declared_key == key)
    return TEAM_BASE;
  return state->assigned_team[key];
}

static bool
team_exists_ (const struct ColtFuzzState *state, int team)
{
  return state->in_force != NONE
         && (team == TEAM_BASE || team == state->in_force);
}

static void
fold_bundle_ (const struct ColtFuzzSim *sim,
              const struct ColtFuzzRecord *record,
              struct ColtFuzzState *state)
{
  const struct ColtFuzzBundle *bundle = &sim->bundles[record->bundle];

  if (!record->valid || bundle->parent != state->in_force)
    return;
  if (state->in_force == NONE
          ? record->signer == 0
          : is_operator_ (sim, state->in_force, record->signer))
    state->in_force = record->bundle;
}

static void
fold_record_ (const struct ColtFuzzSim *sim,
              const struct ColtFuzzRecord *record,
              struct ColtFuzzState *state)
{
  int key = record->key;

  if (record->kind == COLT_RECORD_BUNDLE)
    fold_bundle_ (sim, record, state);
  else if (record->kind == COLT_RECORD_KEY_WITHDRAW)
    state->withdrawn[key]
        |= is_operator_ (sim, state->in_force, record->signer);
  else if (record->kind == COLT_RECORD_KEY_GIVE && !state->withdrawn[key]
           && is_operator_ (sim, state->in_force, record->signer)
           && find_key_team_ (sim, state, key) == NONE
           && team_exists_ (state, record->team))
    state->assigned_team[key] = record->team;
}

static void
append_record_ (struct ColtFuzzSim *sim, const struct ColtFuzzRecord *record)
{
  struct ColtFuzzState state = sim->states[sim->record_count];

  sim->records[sim->record_count++] = *record;
  fold_record_ (sim, record, &state);
  sim->states[sim->record_count] = state;
}

static void
generate_bundle_ (struct ColtFuzzSim *sim)
{
  struct ColtFuzzBundle *entry = &sim->bundles[sim->bundle_count];
  const struct ColtBundle *parent = NULL;
  GString *text = g_string_new ("[bundle]\n");
  char hex[COLT_HASH_TEXT_SIZE];
  int i;

  entry->parent = (int)draw_ (sim, sim->bundle_count + 1) - 1;
  if (draw_ (sim, 2) == 0)
    entry->parent = sim->states[sim->record_count].in_force;
  entry->operators = 1 + draw_ (sim, (1 << OPERATORS) - 1);
  entry->declared_key = (int)draw_ (sim, KEYS + 1) - 1;
  if (entry->parent != NONE)
    parent = sim->bundles[entry->parent].bundle;
  g_string_append_printf (
      text, "version = %d\nparent = %s\n",
      parent != NULL ? (int)colt_bundle_version (parent) + 1 : 1,
      parent != NULL ? colt_hash_format (colt_bundle_hash (parent), hex)
                     : "none");
  for (i = 0; i < OPERATORS; i++)
    if ((entry->operators >> i & 1) != 0)
      g_string_append_printf (
          text, "operator = %s\n",
          colt_operator_key_format (&sim->operators[i].key, hex));
  g_string_append_printf (text,
                          "%s[team t%d]\norganisation = o\nweight = 1\n"
                          "limit_tasks = 5\n",
                          body_text, sim->bundle_count);
  if (entry->declared_key != NONE)
    g_string_append_printf (
        text, "[key d]\nteam = base\nhash = %s\n",
        colt_hash_format (&sim->keys[entry->declared_key], hex));
  entry->bundle = colt_bundle_parse (text->str, NULL, NULL);
  g_assert_nonnull (entry->bundle);
  g_string_free (text, TRUE);
  sim->bundle_count++;
}

/* Each bundle declares a team of its own, so a delta against a bundle other
 * than its parent can never be applied. */
static void
append_bundle_ (struct ColtFuzzSim *sim)
{
  struct ColtFuzzRecord record = { .kind = COLT_RECORD_BUNDLE, .valid = true };
  struct ColtSignature signature;
  int base = NONE;

  if (sim->bundle_count == 0 || draw_ (sim, 4) != 0)
    generate_bundle_ (sim);
  record.bundle = sim->bundle_count - 1 - (int)draw_ (sim, 2);
  if (record.bundle < 0)
    record.bundle = 0;
  record.signer = (int)draw_ (sim, OPERATORS);
  if (draw_ (sim, 2) == 0)
    base = sim->bundles[record.bundle].parent;
  else if (draw_ (sim, 4) == 0)
    base = (int)draw_ (sim, sim->bundle_count);
  if (base != NONE && base != sim->bundles[record.bundle].parent)
    record.valid = false;
  colt_bundle_sign (sim->bundles[record.bundle].bundle,
                    &sim->operators[record.signer], &signature);
  if (draw_ (sim, 8) == 1)
    {
      signature.bytes[draw_ (sim, COLT_SIGNATURE_SIZE)] ^= 1;
      record.valid = false;
    }
  record.body = colt_bundle_encode (
      sim->bundles[record.bundle].bundle, &signature,
      base != NONE ? sim->bundles[base].bundle : NULL, &record.size);
  append_record_ (sim, &record);
}

static void
append_key_ (struct ColtFuzzSim *sim)
{
  struct ColtFuzzRecord record = { .valid = true };
  char team[COLT_NAME_SIZE];

  record.key = (int)draw_ (sim, KEYS);
  record.signer = (int)draw_ (sim, OPERATORS);
  record.team = TEAM_BASE;
  if (draw_ (sim, 2) == 0)
    record.team = (int)draw_ (sim, sim->bundle_count + 1);
  if (draw_ (sim, 3) == 0)
    {
      record.kind = COLT_RECORD_KEY_WITHDRAW;
      record.body = colt_key_withdraw_encode (
          &sim->keys[record.key], &sim->operators[record.signer], &record.size);
    }
  else
    {
      format_team_name_ (record.team, team);
      record.kind = COLT_RECORD_KEY_GIVE;
      record.body
          = colt_key_give_encode ("k", team, &sim->keys[record.key],
                                  &sim->operators[record.signer], &record.size);
    }
  append_record_ (sim, &record);
}

static void
append_duplicate_ (struct ColtFuzzSim *sim)
{
  struct ColtFuzzRecord record;

  if (sim->record_count == 0)
    return;
  record = sim->records[draw_ (sim, sim->record_count)];
  record.body = g_memdup2 (record.body, record.size);
  append_record_ (sim, &record);
}

static void
append_snapshot_ (struct ColtFuzzSim *sim)
{
  struct ColtFuzzRecord record = { .kind = COLT_RECORD_SNAPSHOT };
  const struct ColtChain *reader = sim->readers[draw_ (sim, READERS)];

  if (colt_chain_needs_snapshot (reader))
    return;
  record.body = colt_chain_encode_snapshot (reader, NULL, 0, &record.size);
  if (record.body != NULL)
    append_record_ (sim, &record);
}

static void
read_records_ (struct ColtFuzzSim *sim, struct ColtChain *reader)
{
  unsigned steps = 1 + draw_ (sim, 16);
  unsigned rewind = draw_ (sim, 3);
  unsigned offset;

  colt_chain_set_first_offset (reader, sim->first_offset);
  offset = (unsigned)colt_chain_next_offset (reader);
  if (offset >= sim->first_offset + rewind)
    offset -= rewind;
  for (; steps > 0 && offset < sim->record_count; steps--)
    {
      const struct ColtFuzzRecord *record = &sim->records[offset];
      struct ColtLogPosition position = { offset, 0 };
      struct ColtChainVerdict verdict;

      colt_chain_apply_record (reader, position, record->kind, record->body,
                               record->size, &verdict);
      g_assert_true (record->kind != COLT_RECORD_SNAPSHOT
                     || verdict.status != COLT_CHAIN_MALFORMED);
      colt_chain_advance (reader, ++offset);
    }
}

static void
relay_withdrawal_ (struct ColtFuzzSim *sim, struct ColtChain *reader)
{
  const struct ColtFuzzRecord *record;
  struct ColtChainVerdict verdict;
  unsigned offset;

  if (sim->record_count == 0)
    return;
  offset = draw_ (sim, sim->record_count);
  record = &sim->records[offset];
  if (record->kind == COLT_RECORD_KEY_WITHDRAW
      && sim->states[offset + 1].withdrawn[record->key])
    colt_chain_apply_relayed (reader, record->body, record->size, &verdict);
}

static void
sync_from_peer_ (struct ColtFuzzSim *sim, struct ColtChain *reader)
{
  const struct ColtChain *peer = sim->readers[draw_ (sim, READERS)];
  struct ColtChainVerdict verdict;
  uint8_t *body;
  size_t size;

  if (colt_chain_needs_snapshot (peer))
    return;
  body
      = colt_chain_encode_update (peer, colt_chain_next_offset (reader), &size);
  if (body != NULL && draw_ (sim, 2) == 0)
    {
      colt_chain_apply_update (reader, body, size, &verdict);
      g_assert_true (verdict.status == COLT_CHAIN_ACCEPTED
                     || verdict.status == COLT_CHAIN_GAP);
      free (body);
      return;
    }
  free (body);
  body = colt_chain_encode_snapshot (peer, NULL, 0, &size);
  if (body == NULL)
    return;
  colt_chain_apply_snapshot (reader, body, size, &verdict);
  g_assert_true (verdict.status == COLT_CHAIN_ADOPTED
                 || verdict.status == COLT_CHAIN_OLD
                 || verdict.status == COLT_CHAIN_GAP);
  free (body);
}

static void
check_keys_ (const struct ColtFuzzSim *sim,
             const struct ColtChain *reader,
             const struct ColtFuzzState *state)
{
  const struct ColtFuzzState *last = &sim->states[sim->record_count];
  char name[COLT_NAME_SIZE];
  uint32_t team;
  int key;

  for (key = 0; key < KEYS; key++)
    {
      int key_team = find_key_team_ (sim, state, key);
      enum ColtKeyState found = colt_keyring_check_hash (
          colt_chain_keyring (reader), &sim->keys[key], &team);

      if (state->withdrawn[key])
        g_assert_cmpint (found, ==, COLT_KEY_WITHDRAWN);
      else if (found == COLT_KEY_WITHDRAWN)
        g_assert_true (last->withdrawn[key]);
      else if (key_team == NONE || !team_exists_ (state, key_team))
        g_assert_cmpint (found, ==, COLT_KEY_UNKNOWN);
      else
        {
          g_assert_cmpint (found, ==, COLT_KEY_LIVE);
          format_team_name_ (key_team, name);
          g_assert_cmpstr (
              colt_bundle_team (colt_chain_bundle (reader), team)->name, ==,
              name);
        }
    }
}

static void
check_reader_ (struct ColtFuzzSim *sim, int index)
{
  const struct ColtChain *reader = sim->readers[index];
  const struct ColtBundle *bundle = colt_chain_bundle (reader);
  const struct ColtFuzzState *state;
  int64_t version = bundle != NULL ? colt_bundle_version (bundle) : 0;

  g_assert_cmpint (version, >=, sim->versions[index]);
  sim->versions[index] = version;
  if (colt_chain_needs_snapshot (reader))
    return;
  g_assert_cmpuint (colt_chain_next_offset (reader), <=, sim->record_count);
  state = &sim->states[colt_chain_next_offset (reader)];
  g_assert_true ((bundle == NULL) == (state->in_force == NONE));
  if (bundle == NULL)
    return;
  g_assert_true (colt_hash_equal (
      colt_bundle_hash (bundle),
      colt_bundle_hash (sim->bundles[state->in_force].bundle)));
  check_keys_ (sim, reader, state);
}

static void
restart_reader_ (struct ColtFuzzSim *sim, int index)
{
  colt_chain_destroy (sim->readers[index]);
  sim->readers[index] = colt_chain_create (&sim->operators[0].key, 1);
  sim->versions[index] = 0;
  colt_chain_set_first_offset (sim->readers[index], sim->first_offset);
}

static void
step_ (struct ColtFuzzSim *sim)
{
  unsigned action = draw_ (sim, 12);
  int index = (int)draw_ (sim, READERS);
  struct ColtChain *reader = sim->readers[index];
  bool full = sim->record_count == RECORDS_MAX;

  if (action < 3 && !full)
    append_bundle_ (sim);
  else if (action == 3 && !full)
    append_key_ (sim);
  else if (action == 4 && !full)
    append_duplicate_ (sim);
  else if (action == 5 && !full)
    append_snapshot_ (sim);
  else if (action == 6)
    sim->first_offset += draw_ (sim, sim->record_count - sim->first_offset + 1);
  else if (action == 7)
    restart_reader_ (sim, index);
  else if (action == 8)
    relay_withdrawal_ (sim, reader);
  else if (action == 9)
    sync_from_peer_ (sim, reader);
  else
    read_records_ (sim, reader);
  check_reader_ (sim, index);
}

static void
set_up_ (struct ColtFuzzSim *sim, const uint8_t *data, size_t size)
{
  int i;

  sim->data = data;
  sim->size = size;
  for (i = 0; i < OPERATORS; i++)
    {
      const uint8_t seed[32] = { (uint8_t)(i + 1) };

      colt_operator_pair_make (&sim->operators[i], seed);
    }
  for (i = 0; i < KEYS; i++)
    {
      sim->keys[i] = colt_hash_make (&i, sizeof i);
      sim->states[0].assigned_team[i] = NONE;
    }
  sim->states[0].in_force = NONE;
  for (i = 0; i < READERS; i++)
    sim->readers[i] = colt_chain_create (&sim->operators[0].key, 1);
}

static void
tear_down_ (struct ColtFuzzSim *sim)
{
  unsigned i;

  for (i = 0; i < READERS; i++)
    colt_chain_destroy (sim->readers[i]);
  for (i = 0; i < sim->record_count; i++)
    free (sim->records[i].body);
  for (i = 0; i < (unsigned)sim->bundle_count; i++)
    colt_bundle_destroy (sim->bundles[i].bundle);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct ColtFuzzSim sim;
  unsigned steps;

  memset (&sim, 0, sizeof sim);
  set_up_ (&sim, data, size);
  for (steps = 0; steps < STEPS_MAX; steps++)
    step_ (&sim);
  tear_down_ (&sim);
  return 0;
}
