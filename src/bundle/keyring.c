#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "bundle.pb-c.h"
#include "bundle_record.h"
#include "keyring_internal.h"

#define SECRET_PREFIX "colt-"

const char *const colt_key_state_string[] = { "live", "unknown", "withdrawn" };

/* A grant or withdrawal that was accepted. */
struct ColtKeyEntry
{
  struct ColtHash hash; /* key in its table */
  char name[COLT_NAME_SIZE];
  char team[COLT_NAME_SIZE];
  bool relayed; /* a withdrawal that has not been read in the log yet */
  GBytes *body; /* grant: body of its record; withdrawal: the hash */
};

struct ColtKeyring
{
  const struct ColtBundle *bundle;
  GHashTable *declared;  /* hash -> struct ColtBundleKey of bundle */
  GHashTable *given;     /* hash -> struct ColtKeyEntry */
  GHashTable *withdrawn; /* hash -> struct ColtKeyEntry */
  guint relayed_count;   /* number of relayed withdrawals in withdrawn */
};

static void count_live_ (void *client,
                         const struct ColtHash *hash,
                         const char *name,
                         const char *team,
                         enum ColtKeyState state);
static GHashTable *create_entries_ (void);
static void free_entry_ (gpointer data);
static struct ColtKeyEntry *decode_record_ (const uint8_t *body,
                                            size_t size,
                                            struct ColtSignature *signature);
static bool read_names_ (struct ColtKeyEntry *entry,
                         const Colt__KeyRecord *record);
static bool verify_signature_ (const struct ColtKeyEntry *entry,
                               enum ColtSignPurpose purpose,
                               const struct ColtSignature *signature,
                               ColtOperatorCheck check,
                               const void *client,
                               struct ColtError *error);
static GByteArray *build_message_ (const char *name,
                                   const char *team,
                                   const struct ColtHash *hash);
static bool is_withdrawn_ (const struct ColtKeyring *keyring,
                           const struct ColtHash *hash,
                           bool relayed);
static void add_withdrawn_ (struct ColtKeyring *keyring,
                            struct ColtKeyEntry *entry,
                            bool relayed);
static enum ColtChainStatus check_grant_ (const struct ColtKeyring *keyring,
                                          const struct ColtKeyEntry *entry,
                                          struct ColtError *error);
static const char *find_team_ (const struct ColtKeyring *keyring,
                               const struct ColtHash *hash);
static void collect_bodies_ (GHashTable *entries, GPtrArray *bodies);
static gint compare_entries_ (gconstpointer a, gconstpointer b);
static uint8_t *encode_record_ (const char *name,
                                const char *team,
                                const struct ColtHash *hash,
                                const struct ColtSignature *signature,
                                size_t *size);

struct ColtKeyring *
colt_keyring_create (void)
{
  struct ColtKeyring *keyring = g_new0 (struct ColtKeyring, 1);

  keyring->declared
      = g_hash_table_new (colt_hash_table_hash, colt_hash_table_equal);
  keyring->given = create_entries_ ();
  keyring->withdrawn = create_entries_ ();
  return keyring;
}

void
colt_keyring_destroy (struct ColtKeyring *keyring)
{
  if (keyring == NULL)
    return;
  g_hash_table_unref (keyring->declared);
  g_hash_table_unref (keyring->given);
  g_hash_table_unref (keyring->withdrawn);
  g_free (keyring);
}

void
colt_keyring_set_bundle (struct ColtKeyring *keyring,
                         const struct ColtBundle *bundle)
{
  uint32_t i;

  keyring->bundle = bundle;
  g_hash_table_remove_all (keyring->declared);
  for (i = 0; i < colt_bundle_key_count (bundle); i++)
    {
      struct ColtBundleKey *key
          = (struct ColtBundleKey *)colt_bundle_key (bundle, i);

      g_hash_table_insert (keyring->declared, &key->hash, key);
    }
}

enum ColtChainStatus
colt_keyring_apply_give (struct ColtKeyring *keyring,
                         const uint8_t *body,
                         size_t size,
                         ColtOperatorCheck check,
                         const void *client,
                         struct ColtError *error)
{
  struct ColtSignature signature;
  struct ColtKeyEntry *entry = decode_record_ (body, size, &signature);
  enum ColtChainStatus status;

  if (entry == NULL || entry->name[0] == '\0')
    {
      if (entry != NULL)
        free_entry_ (entry);
      colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                      "the grant is malformed");
      return COLT_CHAIN_MALFORMED;
    }
  if (!verify_signature_ (entry, COLT_SIGN_KEY_GIVE, &signature, check, client,
                          error))
    status = COLT_CHAIN_UNSIGNED;
  else
    status = check_grant_ (keyring, entry, error);
  if (status == COLT_CHAIN_ACCEPTED)
    g_hash_table_insert (keyring->given, &entry->hash, entry);
  else
    free_entry_ (entry);
  return status;
}

enum ColtChainStatus
colt_keyring_apply_withdraw (struct ColtKeyring *keyring,
                             const uint8_t *body,
                             size_t size,
                             bool relayed,
                             ColtOperatorCheck check,
                             const void *client,
                             struct ColtError *error)
{
  struct ColtSignature signature;
  struct ColtKeyEntry *entry = decode_record_ (body, size, &signature);
  enum ColtChainStatus status = COLT_CHAIN_ACCEPTED;

  if (entry == NULL || entry->name[0] != '\0')
    {
      if (entry != NULL)
        free_entry_ (entry);
      colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                      "the withdrawal is malformed");
      return COLT_CHAIN_MALFORMED;
    }
  if (is_withdrawn_ (keyring, &entry->hash, relayed))
    status = COLT_CHAIN_DUPLICATE;
  else if (!verify_signature_ (entry, COLT_SIGN_KEY_WITHDRAW, &signature, check,
                               client, error))
    status = COLT_CHAIN_UNSIGNED;
  if (status == COLT_CHAIN_ACCEPTED && !relayed)
    g_hash_table_remove (keyring->given, &entry->hash);
  if (status == COLT_CHAIN_ACCEPTED)
    add_withdrawn_ (keyring, entry, relayed);
  else
    free_entry_ (entry);
  return status;
}

bool
colt_keyring_restore_withdrawn (struct ColtKeyring *keyring,
                                const uint8_t *hash,
                                size_t size)
{
  struct ColtKeyEntry *entry;

  if (size != COLT_HASH_SIZE)
    return false;
  entry = g_new0 (struct ColtKeyEntry, 1);
  memcpy (entry->hash.bytes, hash, size);
  entry->body = g_bytes_new (hash, size);
  add_withdrawn_ (keyring, entry, false);
  return true;
}

bool
colt_keyring_restore_given (struct ColtKeyring *keyring,
                            const uint8_t *body,
                            size_t size,
                            ColtOperatorCheck check,
                            const void *client)
{
  struct ColtSignature signature;
  struct ColtKeyEntry *entry = decode_record_ (body, size, &signature);

  if (entry == NULL)
    return false;
  if (entry->name[0] == '\0'
      || g_hash_table_contains (keyring->given, &entry->hash)
      || !verify_signature_ (entry, COLT_SIGN_KEY_GIVE, &signature, check,
                             client, NULL))
    {
      free_entry_ (entry);
      return false;
    }
  g_hash_table_insert (keyring->given, &entry->hash, entry);
  return true;
}

void
colt_keyring_collect_entries (const struct ColtKeyring *keyring,
                              GPtrArray *given,
                              GPtrArray *withdrawn)
{
  collect_bodies_ (keyring->given, given);
  collect_bodies_ (keyring->withdrawn, withdrawn);
}

void
colt_keyring_merge_withdrawn (struct ColtKeyring *keyring,
                              const struct ColtKeyring *other)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, other->withdrawn);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtKeyEntry *copy;

      if (g_hash_table_contains (keyring->withdrawn, value))
        continue;
      copy = g_new (struct ColtKeyEntry, 1);
      *copy = *(struct ColtKeyEntry *)value;
      g_bytes_ref (copy->body);
      add_withdrawn_ (keyring, copy, true);
    }
}

enum ColtKeyState
colt_keyring_check (const struct ColtKeyring *keyring,
                    const char *secret,
                    uint32_t *team)
{
  struct ColtHash hash;

  *team = COLT_BUNDLE_NO_INDEX;
  if (strnlen (secret, COLT_SECRET_MAX + 1) > COLT_SECRET_MAX)
    return COLT_KEY_UNKNOWN;
  hash = colt_secret_hash (secret);
  return colt_keyring_check_hash (keyring, &hash, team);
}

enum ColtKeyState
colt_keyring_check_hash (const struct ColtKeyring *keyring,
                         const struct ColtHash *hash,
                         uint32_t *team)
{
  const char *name;

  *team = COLT_BUNDLE_NO_INDEX;
  if (g_hash_table_contains (keyring->withdrawn, hash))
    return COLT_KEY_WITHDRAWN;
  name = find_team_ (keyring, hash);
  if (name == NULL || keyring->bundle == NULL)
    return COLT_KEY_UNKNOWN;
  *team = colt_bundle_find_team (keyring->bundle, name);
  return *team == COLT_BUNDLE_NO_INDEX ? COLT_KEY_UNKNOWN : COLT_KEY_LIVE;
}

size_t
colt_keyring_withdrawn_count (const struct ColtKeyring *keyring)
{
  return g_hash_table_size (keyring->withdrawn);
}

size_t
colt_keyring_live_count (const struct ColtKeyring *keyring)
{
  size_t count = 0;

  colt_keyring_visit (keyring, count_live_, &count);
  return count;
}

void
colt_keyring_visit (const struct ColtKeyring *keyring,
                    void (*visit) (void *client,
                                   const struct ColtHash *hash,
                                   const char *name,
                                   const char *team,
                                   enum ColtKeyState state),
                    void *client)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t team;

  g_hash_table_iter_init (&iter, keyring->declared);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtBundleKey *key = value;

      visit (client, &key->hash, key->name, key->team.name,
             colt_keyring_check_hash (keyring, &key->hash, &team));
    }
  g_hash_table_iter_init (&iter, keyring->given);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtKeyEntry *entry = value;

      if (!g_hash_table_contains (keyring->declared, &entry->hash))
        visit (client, &entry->hash, entry->name, entry->team,
               colt_keyring_check_hash (keyring, &entry->hash, &team));
    }
  g_hash_table_iter_init (&iter, keyring->withdrawn);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (find_team_ (keyring, value) == NULL)
      visit (client, value, "", "", COLT_KEY_WITHDRAWN);
}

struct ColtHash
colt_secret_hash (const char *secret)
{
  return colt_hash_make (secret, strlen (secret));
}

void
colt_secret_format (const uint8_t random[COLT_SECRET_RANDOM_SIZE],
                    char text[COLT_SECRET_TEXT_SIZE])
{
  memcpy (text, SECRET_PREFIX, sizeof SECRET_PREFIX);
  sodium_bin2hex (text + sizeof SECRET_PREFIX - 1,
                  COLT_SECRET_TEXT_SIZE - sizeof SECRET_PREFIX + 1, random,
                  COLT_SECRET_RANDOM_SIZE);
}

uint8_t *
colt_key_give_encode (const char *name,
                      const char *team,
                      const struct ColtHash *hash,
                      const struct ColtOperatorPair *pair,
                      size_t *size)
{
  GByteArray *message = build_message_ (name, team, hash);
  struct ColtSignature signature;

  colt_sign (pair, COLT_SIGN_KEY_GIVE, message->data, message->len, &signature);
  g_byte_array_unref (message);
  return encode_record_ (name, team, hash, &signature, size);
}

uint8_t *
colt_key_withdraw_encode (const struct ColtHash *hash,
                          const struct ColtOperatorPair *pair,
                          size_t *size)
{
  GByteArray *message = build_message_ ("", "", hash);
  struct ColtSignature signature;

  colt_sign (pair, COLT_SIGN_KEY_WITHDRAW, message->data, message->len,
             &signature);
  g_byte_array_unref (message);
  return encode_record_ ("", "", hash, &signature, size);
}

static void
count_live_ (void *client,
             const struct ColtHash *hash,
             const char *name,
             const char *team,
             enum ColtKeyState state)
{
  (void)hash;
  (void)name;
  (void)team;
  *(size_t *)client += state == COLT_KEY_LIVE;
}

static GHashTable *
create_entries_ (void)
{
  return g_hash_table_new_full (colt_hash_table_hash, colt_hash_table_equal,
                                NULL, free_entry_);
}

static void
free_entry_ (gpointer data)
{
  struct ColtKeyEntry *entry = data;

  g_bytes_unref (entry->body);
  g_free (entry);
}

static struct ColtKeyEntry *
decode_record_ (const uint8_t *body,
                size_t size,
                struct ColtSignature *signature)
{
  Colt__KeyRecord *record = colt__key_record__unpack (NULL, size, body);
  struct ColtKeyEntry *entry;
  bool valid;

  if (record == NULL)
    return NULL;
  entry = g_new0 (struct ColtKeyEntry, 1);
  valid = colt_bytes_copy (&record->hash, entry->hash.bytes, COLT_HASH_SIZE)
          && colt_bytes_copy (&record->operator_key,
                              signature->operator_key.bytes,
                              COLT_OPERATOR_KEY_SIZE)
          && colt_bytes_copy (&record->signature, signature->bytes,
                              COLT_SIGNATURE_SIZE)
          && read_names_ (entry, record);
  entry->body = entry->name[0] != '\0'
                    ? g_bytes_new (body, size)
                    : g_bytes_new (entry->hash.bytes, COLT_HASH_SIZE);
  colt__key_record__free_unpacked (record, NULL);
  if (valid)
    return entry;
  free_entry_ (entry);
  return NULL;
}

/* A grant has the names of a key and a team; a withdrawal has neither. */
static bool
read_names_ (struct ColtKeyEntry *entry, const Colt__KeyRecord *record)
{
  if (record->name[0] == '\0' && record->team[0] == '\0')
    return true;
  if (!colt_name_is_valid (record->name) || !colt_name_is_valid (record->team))
    return false;
  g_strlcpy (entry->name, record->name, sizeof entry->name);
  g_strlcpy (entry->team, record->team, sizeof entry->team);
  return true;
}

static bool
verify_signature_ (const struct ColtKeyEntry *entry,
                   enum ColtSignPurpose purpose,
                   const struct ColtSignature *signature,
                   ColtOperatorCheck check,
                   const void *client,
                   struct ColtError *error)
{
  GByteArray *message = build_message_ (entry->name, entry->team, &entry->hash);
  bool valid
      = colt_sign_verify (signature, purpose, message->data, message->len);

  g_byte_array_unref (message);
  if (!valid)
    return colt_error_set (error, COLT_ERROR_REFUSED, COLT_STEP_CHECK, NULL,
                           "the signature is invalid");
  if (!check (client, &signature->operator_key))
    return colt_error_set (
        error, COLT_ERROR_REFUSED, COLT_STEP_CHECK, NULL,
        "the signer is not an operator of the bundle in force");
  return true;
}

static GByteArray *
build_message_ (const char *name, const char *team, const struct ColtHash *hash)
{
  GByteArray *message = g_byte_array_new ();

  g_byte_array_append (message, (const guint8 *)name, strlen (name) + 1);
  g_byte_array_append (message, (const guint8 *)team, strlen (team) + 1);
  g_byte_array_append (message, hash->bytes, COLT_HASH_SIZE);
  return message;
}

/* Relayed withdrawals don't decide on records of the log, so that all instances
   reach the same result. */
static bool
is_withdrawn_ (const struct ColtKeyring *keyring,
               const struct ColtHash *hash,
               bool relayed)
{
  const struct ColtKeyEntry *entry
      = g_hash_table_lookup (keyring->withdrawn, hash);

  return entry != NULL && (relayed || !entry->relayed);
}

static void
add_withdrawn_ (struct ColtKeyring *keyring,
                struct ColtKeyEntry *entry,
                bool relayed)
{
  const struct ColtKeyEntry *old
      = g_hash_table_lookup (keyring->withdrawn, &entry->hash);

  if (old != NULL && old->relayed)
    keyring->relayed_count--;
  entry->relayed = relayed;
  if (relayed)
    keyring->relayed_count++;
  g_hash_table_replace (keyring->withdrawn, &entry->hash, entry);
}

static enum ColtChainStatus
check_grant_ (const struct ColtKeyring *keyring,
              const struct ColtKeyEntry *entry,
              struct ColtError *error)
{
  const char *team = find_team_ (keyring, &entry->hash);
  const char *reason = NULL;

  if (is_withdrawn_ (keyring, &entry->hash, false))
    reason = "the key was withdrawn";
  else if (team != NULL && strcmp (team, entry->team) == 0)
    return COLT_CHAIN_DUPLICATE;
  else if (team != NULL)
    reason = "the key belongs to another team";
  else if (colt_bundle_find_team (keyring->bundle, entry->team)
           == COLT_BUNDLE_NO_INDEX)
    reason = "the bundle in force has no such team";
  else if (g_hash_table_size (keyring->given) >= COLT_KEYRING_GIVEN_MAX)
    reason = "there are too many granted keys";
  else if (g_hash_table_size (keyring->withdrawn) - keyring->relayed_count
           >= COLT_KEYRING_WITHDRAWN_MAX)
    reason = "there are too many withdrawn keys";
  if (reason == NULL)
    return COLT_CHAIN_ACCEPTED;
  colt_error_set (error, COLT_ERROR_REFUSED, COLT_STEP_CHECK, NULL, "%s",
                  reason);
  return COLT_CHAIN_REFUSED;
}

/* Returns the name of the team that owns the key with a hash, or NULL. */
static const char *
find_team_ (const struct ColtKeyring *keyring, const struct ColtHash *hash)
{
  const struct ColtBundleKey *key
      = g_hash_table_lookup (keyring->declared, hash);
  const struct ColtKeyEntry *entry;

  if (key != NULL)
    return key->team.name;
  entry = g_hash_table_lookup (keyring->given, hash);
  return entry != NULL ? entry->team : NULL;
}

static void
collect_bodies_ (GHashTable *entries, GPtrArray *bodies)
{
  GPtrArray *sorted = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((struct ColtKeyEntry *)value)->relayed)
      g_ptr_array_add (sorted, value);
  g_ptr_array_sort (sorted, compare_entries_);
  for (i = 0; i < sorted->len; i++)
    g_ptr_array_add (bodies, ((struct ColtKeyEntry *)sorted->pdata[i])->body);
  g_ptr_array_unref (sorted);
}

static gint
compare_entries_ (gconstpointer a, gconstpointer b)
{
  return memcmp (*(struct ColtKeyEntry *const *)a,
                 *(struct ColtKeyEntry *const *)b, COLT_HASH_SIZE);
}

static uint8_t *
encode_record_ (const char *name,
                const char *team,
                const struct ColtHash *hash,
                const struct ColtSignature *signature,
                size_t *size)
{
  Colt__KeyRecord record = COLT__KEY_RECORD__INIT;
  uint8_t *body;

  record.name = (char *)name;
  record.team = (char *)team;
  record.hash.data = (uint8_t *)hash->bytes;
  record.hash.len = COLT_HASH_SIZE;
  record.operator_key.data = (uint8_t *)signature->operator_key.bytes;
  record.operator_key.len = COLT_OPERATOR_KEY_SIZE;
  record.signature.data = (uint8_t *)signature->bytes;
  record.signature.len = COLT_SIGNATURE_SIZE;
  body = malloc (colt__key_record__get_packed_size (&record));
  *size = colt__key_record__pack (&record, body);
  return body;
}
