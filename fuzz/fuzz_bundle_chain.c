/* Operators race, records are doubled, readers read at their own pace, start
   anew, fall behind retention and learn from each other. An oracle that knows
   what each record is meant to be says what is in force at every offset; every
   reader that claims to be whole must say the same. */
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
#define TEAM_BASE                                                              \
  1000 /* a team of every bundle; others are one bundle's own                  \
        */

/* A bundle that was written, whether or not it ever wins. */
struct ColtFuzzBundle
{
  struct ColtBundle *bundle;
  int parent;         /* NONE: none */
  unsigned operators; /* bit N: operator N may sign the next */
  int declared_key;   /* NONE: none */
};

/* What holds behind an offset. */
struct ColtFuzzState
{
  int in_force; /* NONE: nothing */
  bool withdrawn[KEYS];
  int given[KEYS]; /* team, NONE: not given */
};

struct ColtFuzzRecord
{
  uint32_t kind;
  uint8_t *body;
  size_t size;
  int bundle;
  int signer;
  bool good; /* signature and content are right */
  int key;
  int team;
};

struct ColtFuzzWorld
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
  unsigned first; /* oldest offset kept */
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

/* Takes the next byte of the input, and numbers that follow from it when it
   has ended. */
static unsigned
draw_ (struct ColtFuzzWorld *world, unsigned bound)
{
  if (bound == 0)
    return 0;
  if (world->size > 0)
    {
      world->size--;
      world->random = world->random * 31 + *world->data;
      return *world->data++ % bound;
    }
  world->random = world->random * UINT64_C (6364136223846793005)
                  + UINT64_C (1442695040888963407);
  return (unsigned)(world->random >> 33) % bound;
}

static void
name_team_ (int team, char name[COLT_NAME_SIZE])
{
  if (team == TEAM_BASE)
    g_strlcpy (name, "base", COLT_NAME_SIZE);
  else
    g_snprintf (name, COLT_NAME_SIZE, "t%d", team);
}

static bool
is_operator_ (const struct ColtFuzzWorld *world, int bundle, int signer)
{
  return bundle != NONE
         && (world->bundles[bundle].operators >> signer & 1) != 0;
}

/* The team that a key stands for, NONE if it stands for none. */
static int
find_team_ (const struct ColtFuzzWorld *world,
            const struct ColtFuzzState *state,
            int key)
{
  if (state->in_force != NONE
      && world->bundles[state->in_force].declared_key == key)
    return TEAM_BASE;
  return state->given[key];
}

static bool
team_exists_ (const struct ColtFuzzState *state, int team)
{
  return state->in_force != NONE
         && (team == TEAM_BASE || team == state->in_force);
}

static void
fold_bundle_ (const struct ColtFuzzWorld *world,
              const struct ColtFuzzRecord *record,
              struct ColtFuzzState *state)
{
  const struct ColtFuzzBundle *bundle = &world->bundles[record->bundle];

  if (!record->good || bundle->parent != state->in_force)
    return;
  if (state->in_force == NONE
          ? record->signer == 0
          : is_operator_ (world, state->in_force, record->signer))
    state->in_force = record->bundle;
}

static void
fold_record_ (const struct ColtFuzzWorld *world,
              const struct ColtFuzzRecord *record,
              struct ColtFuzzState *state)
{
  int key = record->key;

  if (record->kind == COLT_RECORD_BUNDLE)
    fold_bundle_ (world, record, state);
  else if (record->kind == COLT_RECORD_KEY_WITHDRAW)
    state->withdrawn[key]
        |= is_operator_ (world, state->in_force, record->signer);
  else if (record->kind == COLT_RECORD_KEY_GIVE && !state->withdrawn[key]
           && is_operator_ (world, state->in_force, record->signer)
           && find_team_ (world, state, key) == NONE
           && team_exists_ (state, record->team))
    state->given[key] = record->team;
}

static void
append_ (struct ColtFuzzWorld *world, const struct ColtFuzzRecord *record)
{
  struct ColtFuzzState state = world->states[world->record_count];

  world->records[world->record_count++] = *record;
  fold_record_ (world, record, &state);
  world->states[world->record_count] = state;
}

static void
write_bundle_ (struct ColtFuzzWorld *world)
{
  struct ColtFuzzBundle *entry = &world->bundles[world->bundle_count];
  const struct ColtBundle *parent = NULL;
  GString *text = g_string_new ("[bundle]\n");
  char hex[COLT_HASH_TEXT_SIZE];
  int i;

  entry->parent = (int)draw_ (world, world->bundle_count + 1) - 1;
  if (draw_ (world, 2) == 0)
    entry->parent = world->states[world->record_count].in_force;
  entry->operators = 1 + draw_ (world, (1 << OPERATORS) - 1);
  entry->declared_key = (int)draw_ (world, KEYS + 1) - 1;
  if (entry->parent != NONE)
    parent = world->bundles[entry->parent].bundle;
  g_string_append_printf (
      text, "version = %d\nparent = %s\n",
      parent != NULL ? (int)colt_bundle_version (parent) + 1 : 1,
      parent != NULL ? colt_hash_format (colt_bundle_hash (parent), hex)
                     : "none");
  for (i = 0; i < OPERATORS; i++)
    if ((entry->operators >> i & 1) != 0)
      g_string_append_printf (
          text, "operator = %s\n",
          colt_operator_key_format (&world->operators[i].key, hex));
  g_string_append_printf (text,
                          "%s[team t%d]\norganisation = o\nweight = 1\n"
                          "limit_tasks = 5\n",
                          body_text, world->bundle_count);
  if (entry->declared_key != NONE)
    g_string_append_printf (
        text, "[key d]\nteam = base\nhash = %s\n",
        colt_hash_format (&world->keys[entry->declared_key], hex));
  entry->bundle = colt_bundle_parse (text->str, NULL, NULL);
  g_assert_nonnull (entry->bundle);
  g_string_free (text, TRUE);
  world->bundle_count++;
}

/* Every bundle has a section of its own, so that a delta to another one than
   its parent never fits. */
static void
append_bundle_ (struct ColtFuzzWorld *world)
{
  struct ColtFuzzRecord record = { .kind = COLT_RECORD_BUNDLE, .good = true };
  struct ColtSignature signature;
  int base = NONE;

  if (world->bundle_count == 0 || draw_ (world, 4) != 0)
    write_bundle_ (world);
  record.bundle = world->bundle_count - 1 - (int)draw_ (world, 2);
  if (record.bundle < 0)
    record.bundle = 0;
  record.signer = (int)draw_ (world, OPERATORS);
  if (draw_ (world, 2) == 0)
    base = world->bundles[record.bundle].parent;
  else if (draw_ (world, 4) == 0)
    base = (int)draw_ (world, world->bundle_count);
  if (base != NONE && base != world->bundles[record.bundle].parent)
    record.good = false;
  colt_bundle_sign (world->bundles[record.bundle].bundle,
                    &world->operators[record.signer], &signature);
  if (draw_ (world, 8) == 1)
    {
      signature.bytes[draw_ (world, COLT_SIGNATURE_SIZE)] ^= 1;
      record.good = false;
    }
  record.body = colt_bundle_encode (
      world->bundles[record.bundle].bundle, &signature,
      base != NONE ? world->bundles[base].bundle : NULL, &record.size);
  append_ (world, &record);
}

static void
append_key_ (struct ColtFuzzWorld *world)
{
  struct ColtFuzzRecord record = { .good = true };
  char team[COLT_NAME_SIZE];

  record.key = (int)draw_ (world, KEYS);
  record.signer = (int)draw_ (world, OPERATORS);
  record.team = TEAM_BASE;
  if (draw_ (world, 2) == 0)
    record.team = (int)draw_ (world, world->bundle_count + 1);
  if (draw_ (world, 3) == 0)
    {
      record.kind = COLT_RECORD_KEY_WITHDRAW;
      record.body = colt_key_withdraw_encode (&world->keys[record.key],
                                              &world->operators[record.signer],
                                              &record.size);
    }
  else
    {
      name_team_ (record.team, team);
      record.kind = COLT_RECORD_KEY_GIVE;
      record.body = colt_key_give_encode ("k", team, &world->keys[record.key],
                                          &world->operators[record.signer],
                                          &record.size);
    }
  append_ (world, &record);
}

static void
append_again_ (struct ColtFuzzWorld *world)
{
  struct ColtFuzzRecord record;

  if (world->record_count == 0)
    return;
  record = world->records[draw_ (world, world->record_count)];
  record.body = g_memdup2 (record.body, record.size);
  append_ (world, &record);
}

static void
append_snapshot_ (struct ColtFuzzWorld *world)
{
  struct ColtFuzzRecord record = { .kind = COLT_RECORD_SNAPSHOT };
  const struct ColtChain *reader = world->readers[draw_ (world, READERS)];

  if (colt_chain_needs_snapshot (reader))
    return;
  record.body = colt_chain_encode_snapshot (reader, NULL, 0, &record.size);
  if (record.body != NULL)
    append_ (world, &record);
}

static void
read_ (struct ColtFuzzWorld *world, struct ColtChain *reader)
{
  unsigned steps = 1 + draw_ (world, 16);
  unsigned back = draw_ (world, 3);
  unsigned offset;

  colt_chain_set_first_offset (reader, world->first);
  offset = (unsigned)colt_chain_next_offset (reader);
  if (offset >= world->first + back)
    offset -= back;
  for (; steps > 0 && offset < world->record_count; steps--)
    {
      const struct ColtFuzzRecord *record = &world->records[offset];
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
relay_ (struct ColtFuzzWorld *world, struct ColtChain *reader)
{
  const struct ColtFuzzRecord *record;
  struct ColtChainVerdict verdict;
  unsigned offset;

  if (world->record_count == 0)
    return;
  offset = draw_ (world, world->record_count);
  record = &world->records[offset];
  if (record->kind == COLT_RECORD_KEY_WITHDRAW
      && world->states[offset + 1].withdrawn[record->key])
    colt_chain_apply_relayed (reader, record->body, record->size, &verdict);
}

static void
learn_from_peer_ (struct ColtFuzzWorld *world, struct ColtChain *reader)
{
  const struct ColtChain *peer = world->readers[draw_ (world, READERS)];
  struct ColtChainVerdict verdict;
  uint8_t *body;
  size_t size;

  if (colt_chain_needs_snapshot (peer))
    return;
  body
      = colt_chain_encode_update (peer, colt_chain_next_offset (reader), &size);
  if (body != NULL && draw_ (world, 2) == 0)
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
check_keys_ (const struct ColtFuzzWorld *world,
             const struct ColtChain *reader,
             const struct ColtFuzzState *state)
{
  const struct ColtFuzzState *last = &world->states[world->record_count];
  char name[COLT_NAME_SIZE];
  uint32_t team;
  int key;

  for (key = 0; key < KEYS; key++)
    {
      int owner = find_team_ (world, state, key);
      enum ColtKeyState found = colt_keyring_check_hash (
          colt_chain_keyring (reader), &world->keys[key], &team);

      if (state->withdrawn[key])
        g_assert_cmpint (found, ==, COLT_KEY_WITHDRAWN);
      else if (found == COLT_KEY_WITHDRAWN)
        g_assert_true (last->withdrawn[key]);
      else if (owner == NONE || !team_exists_ (state, owner))
        g_assert_cmpint (found, ==, COLT_KEY_UNKNOWN);
      else
        {
          g_assert_cmpint (found, ==, COLT_KEY_LIVE);
          name_team_ (owner, name);
          g_assert_cmpstr (
              colt_bundle_team (colt_chain_bundle (reader), team)->name, ==,
              name);
        }
    }
}

static void
check_reader_ (struct ColtFuzzWorld *world, int index)
{
  const struct ColtChain *reader = world->readers[index];
  const struct ColtBundle *bundle = colt_chain_bundle (reader);
  const struct ColtFuzzState *state;
  int64_t version = bundle != NULL ? colt_bundle_version (bundle) : 0;

  g_assert_cmpint (version, >=, world->versions[index]);
  world->versions[index] = version;
  if (colt_chain_needs_snapshot (reader))
    return;
  g_assert_cmpuint (colt_chain_next_offset (reader), <=, world->record_count);
  state = &world->states[colt_chain_next_offset (reader)];
  g_assert_true ((bundle == NULL) == (state->in_force == NONE));
  if (bundle == NULL)
    return;
  g_assert_true (colt_hash_equal (
      colt_bundle_hash (bundle),
      colt_bundle_hash (world->bundles[state->in_force].bundle)));
  check_keys_ (world, reader, state);
}

static void
restart_reader_ (struct ColtFuzzWorld *world, int index)
{
  colt_chain_destroy (world->readers[index]);
  world->readers[index] = colt_chain_create (&world->operators[0].key, 1);
  world->versions[index] = 0;
  colt_chain_set_first_offset (world->readers[index], world->first);
}

static void
step_ (struct ColtFuzzWorld *world)
{
  unsigned action = draw_ (world, 12);
  int index = (int)draw_ (world, READERS);
  struct ColtChain *reader = world->readers[index];
  bool full = world->record_count == RECORDS_MAX;

  if (action < 3 && !full)
    append_bundle_ (world);
  else if (action == 3 && !full)
    append_key_ (world);
  else if (action == 4 && !full)
    append_again_ (world);
  else if (action == 5 && !full)
    append_snapshot_ (world);
  else if (action == 6)
    world->first += draw_ (world, world->record_count - world->first + 1);
  else if (action == 7)
    restart_reader_ (world, index);
  else if (action == 8)
    relay_ (world, reader);
  else if (action == 9)
    learn_from_peer_ (world, reader);
  else
    read_ (world, reader);
  check_reader_ (world, index);
}

static void
set_up_ (struct ColtFuzzWorld *world, const uint8_t *data, size_t size)
{
  int i;

  world->data = data;
  world->size = size;
  for (i = 0; i < OPERATORS; i++)
    {
      const uint8_t seed[32] = { (uint8_t)(i + 1) };

      colt_operator_pair_make (&world->operators[i], seed);
    }
  for (i = 0; i < KEYS; i++)
    {
      world->keys[i] = colt_hash_make (&i, sizeof i);
      world->states[0].given[i] = NONE;
    }
  world->states[0].in_force = NONE;
  for (i = 0; i < READERS; i++)
    world->readers[i] = colt_chain_create (&world->operators[0].key, 1);
}

static void
tear_down_ (struct ColtFuzzWorld *world)
{
  unsigned i;

  for (i = 0; i < READERS; i++)
    colt_chain_destroy (world->readers[i]);
  for (i = 0; i < world->record_count; i++)
    free (world->records[i].body);
  for (i = 0; i < (unsigned)world->bundle_count; i++)
    colt_bundle_destroy (world->bundles[i].bundle);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct ColtFuzzWorld world;
  unsigned steps;

  memset (&world, 0, sizeof world);
  set_up_ (&world, data, size);
  for (steps = 0; steps < STEPS_MAX; steps++)
    step_ (&world);
  tear_down_ (&world);
  return 0;
}
