#include <errno.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "bundle_internal.h"

/* Maximum version, limit_cores_milli and deadline_ms. */
#define LIMIT_MAX INT64_C (1000000000)

const char *const colt_work_policy_string[]
    = { "pack", "spread", "balance", "fastest" };

const struct ColtSectionSpec colt_bundle_sections[] = {
  { "bundle", sizeof (struct ColtBundleHeader), false, 1 },
  { "organisation", sizeof (struct ColtBundleOrganisation), true,
    COLT_BUNDLE_ORGANISATIONS_MAX },
  { "team", sizeof (struct ColtBundleTeam), true, COLT_BUNDLE_TEAMS_MAX },
  { "key", sizeof (struct ColtBundleKey), true, COLT_BUNDLE_KEYS_MAX },
  { "queue", sizeof (struct ColtBundleQueue), true, COLT_BUNDLE_QUEUES_MAX },
  { "work", sizeof (struct ColtBundleWork), true, COLT_WORK_KIND_COUNT },
  { "zone", sizeof (struct ColtBundleZone), true, COLT_BUNDLE_ZONES_MAX },
  { "signature", sizeof (struct ColtSignatureSection), false, 1 },
};

#define OFFSET(type, name) offsetof (struct type, name)

const struct ColtField colt_bundle_fields[] = {
  { COLT_SECTION_BUNDLE, "version", COLT_FIELD_INTEGER,
    OFFSET (ColtBundleHeader, version), NULL, 1, LIMIT_MAX },
  { COLT_SECTION_BUNDLE, "parent", COLT_FIELD_PARENT,
    OFFSET (ColtBundleHeader, parent), NULL, 0, 0 },
  { COLT_SECTION_BUNDLE, "operator", COLT_FIELD_OPERATORS,
    OFFSET (ColtBundleHeader, operators), NULL, 0, 0 },

  { COLT_SECTION_ORGANISATION, "title", COLT_FIELD_TITLE,
    OFFSET (ColtBundleOrganisation, title), NULL, 0, 0 },

  { COLT_SECTION_TEAM, "organisation", COLT_FIELD_ORGANISATION,
    OFFSET (ColtBundleTeam, organisation), NULL, 0, 0 },
  { COLT_SECTION_TEAM, "weight", COLT_FIELD_INTEGER,
    OFFSET (ColtBundleTeam, weight), NULL, 1, 1000000 },
  { COLT_SECTION_TEAM, "limit_tasks", COLT_FIELD_INTEGER,
    OFFSET (ColtBundleTeam, limit_tasks), NULL, 0, 1000000 },
  { COLT_SECTION_TEAM, "limit_cores_milli", COLT_FIELD_LIMIT,
    OFFSET (ColtBundleTeam, limit_cores_milli), "none", 0, LIMIT_MAX },
  { COLT_SECTION_TEAM, "limit_accelerators", COLT_FIELD_LIMIT,
    OFFSET (ColtBundleTeam, limit_accelerators), "none", 0, 1000000 },
  { COLT_SECTION_TEAM, "retries_per_minute", COLT_FIELD_INTEGER,
    OFFSET (ColtBundleTeam, retries_per_minute), "60", 0, 1000000 },

  { COLT_SECTION_KEY, "team", COLT_FIELD_TEAM, OFFSET (ColtBundleKey, team),
    NULL, 0, 0 },
  { COLT_SECTION_KEY, "hash", COLT_FIELD_HASH, OFFSET (ColtBundleKey, hash),
    NULL, 0, 0 },

  { COLT_SECTION_QUEUE, "team", COLT_FIELD_TEAM, OFFSET (ColtBundleQueue, team),
    NULL, 0, 0 },
  { COLT_SECTION_QUEUE, "open", COLT_FIELD_BOOLEAN,
    OFFSET (ColtBundleQueue, open), NULL, 0, 0 },
  { COLT_SECTION_QUEUE, "max_waiting", COLT_FIELD_INTEGER,
    OFFSET (ColtBundleQueue, max_waiting), NULL, 0, 1000000 },

  { COLT_SECTION_WORK, "policy", COLT_FIELD_POLICY,
    OFFSET (ColtBundleWork, policy), NULL, 0, 0 },
  { COLT_SECTION_WORK, "deadline_ms", COLT_FIELD_INTEGER,
    OFFSET (ColtBundleWork, deadline_ms), "0", 0, LIMIT_MAX },
  { COLT_SECTION_WORK, "priority", COLT_FIELD_INTEGER,
    OFFSET (ColtBundleWork, priority), NULL, 0, 9 },
  { COLT_SECTION_WORK, "max_attempts", COLT_FIELD_INTEGER,
    OFFSET (ColtBundleWork, max_attempts), NULL, 1, 10 },
  { COLT_SECTION_WORK, "checkpoint", COLT_FIELD_BOOLEAN,
    OFFSET (ColtBundleWork, checkpoint), "no", 0, 0 },

  { COLT_SECTION_ZONE, "region", COLT_FIELD_NAME,
    OFFSET (ColtBundleZone, region), NULL, 0, 0 },

  { COLT_SECTION_SIGNATURE, "operator", COLT_FIELD_HASH,
    OFFSET (ColtSignatureSection, signature.operator_key), NULL, 0, 0 },
  { COLT_SECTION_SIGNATURE, "signature", COLT_FIELD_SIGNATURE,
    OFFSET (ColtSignatureSection, signature.bytes), NULL, 0, 0 },
};

const size_t colt_bundle_field_count = G_N_ELEMENTS (colt_bundle_fields);

static char *read_integer_ (const struct ColtField *field,
                            const char *value,
                            int64_t *member);
static char *
read_boolean_ (const struct ColtField *field, const char *value, bool *member);
static char *read_name_ (const char *value, char *member);
static char *read_title_ (const char *value, char *member);
static char *read_policy_ (const char *value, enum ColtWorkPolicy *member);
static char *read_hash_ (const char *value, struct ColtHash *member);
static char *read_operator_ (const char *value, GArray **member);
static char *read_signature_ (const char *value, uint8_t *member);
static void
write_value_ (const struct ColtField *field, const void *member, GString *text);
static void write_hex_ (const uint8_t *bytes, size_t size, GString *text);

char *
colt_field_read (const struct ColtField *field, const char *value, void *entity)
{
  void *member = (char *)entity + field->offset;

  switch (field->kind)
    {
    case COLT_FIELD_INTEGER:
    case COLT_FIELD_LIMIT:
      return read_integer_ (field, value, member);
    case COLT_FIELD_BOOLEAN:
      return read_boolean_ (field, value, member);
    case COLT_FIELD_NAME:
      return read_name_ (value, member);
    case COLT_FIELD_TITLE:
      return read_title_ (value, member);
    case COLT_FIELD_ORGANISATION:
    case COLT_FIELD_TEAM:
      return read_name_ (value, ((struct ColtBundleRef *)member)->name);
    case COLT_FIELD_POLICY:
      return read_policy_ (value, member);
    case COLT_FIELD_PARENT:
      if (strcmp (value, "none") != 0)
        return read_hash_ (value, member);
      memset (member, 0, COLT_HASH_SIZE);
      return NULL;
    case COLT_FIELD_HASH:
      return read_hash_ (value, member);
    case COLT_FIELD_OPERATORS:
      return read_operator_ (value, member);
    case COLT_FIELD_SIGNATURE:
      return read_signature_ (value, member);
    }
  return NULL;
}

void
colt_field_write (const struct ColtField *field,
                  const void *entity,
                  GString *text)
{
  const void *member = (const char *)entity + field->offset;
  const GArray *operators;
  guint i;

  if (field->kind != COLT_FIELD_OPERATORS)
    {
      g_string_append_printf (text, "%s = ", field->key);
      write_value_ (field, member, text);
      g_string_append_c (text, '\n');
      return;
    }
  operators = *(GArray *const *)member;
  for (i = 0; i < operators->len; i++)
    {
      g_string_append_printf (text, "%s = ", field->key);
      write_hex_ (g_array_index (operators, struct ColtOperatorKey, i).bytes,
                  COLT_OPERATOR_KEY_SIZE, text);
      g_string_append_c (text, '\n');
    }
}

void
colt_section_write (enum ColtSectionType type,
                    const void *entity,
                    GString *text)
{
  const struct ColtSectionSpec *spec = &colt_bundle_sections[type];
  size_t i;

  if (spec->named)
    g_string_append_printf (text, "[%s %s]\n", spec->keyword,
                            (const char *)entity);
  else
    g_string_append_printf (text, "[%s]\n", spec->keyword);
  for (i = 0; i < colt_bundle_field_count; i++)
    if (colt_bundle_fields[i].section == type)
      colt_field_write (&colt_bundle_fields[i], entity, text);
  g_string_append_c (text, '\n');
}

static char *
read_integer_ (const struct ColtField *field,
               const char *value,
               int64_t *member)
{
  char *end;
  long long number;

  if (field->kind == COLT_FIELD_LIMIT && strcmp (value, "none") == 0)
    {
      *member = COLT_BUNDLE_NO_LIMIT;
      return NULL;
    }
  errno = 0;
  number = strtoll (value, &end, 10);
  if (end == value || *end != '\0' || errno != 0)
    return g_strdup_printf ("\"%s\" is not a whole number", value);
  if (number < field->minimum || number > field->maximum)
    return g_strdup_printf ("%lld is not in the range %" PRId64 " to %" PRId64,
                            number, field->minimum, field->maximum);
  *member = number;
  return NULL;
}

static char *
read_boolean_ (const struct ColtField *field, const char *value, bool *member)
{
  (void)field;
  *member = strcmp (value, "yes") == 0;
  if (*member || strcmp (value, "no") == 0)
    return NULL;
  return g_strdup_printf ("\"%s\" is not yes or no", value);
}

static char *
read_name_ (const char *value, char *member)
{
  if (!colt_name_is_valid (value))
    return g_strdup_printf (
        "\"%s\" is not a valid name: use 1 to %d of a-z, 0-9 and \"-\"", value,
        COLT_NAME_SIZE - 1);
  g_strlcpy (member, value, COLT_NAME_SIZE);
  return NULL;
}

static char *
read_title_ (const char *value, char *member)
{
  const char *c;

  if (value[0] == '\0')
    return g_strdup ("is empty");
  if (strlen (value) >= COLT_BUNDLE_TITLE_SIZE)
    return g_strdup_printf ("is longer than %d bytes",
                            COLT_BUNDLE_TITLE_SIZE - 1);
  for (c = value; *c != '\0'; c++)
    if (!g_ascii_isprint (*c) || *c == ';')
      return g_strdup (
          "contains a \";\" or a character that is not printable ASCII");
  g_strlcpy (member, value, COLT_BUNDLE_TITLE_SIZE);
  return NULL;
}

static char *
read_policy_ (const char *value, enum ColtWorkPolicy *member)
{
  int i;

  for (i = 0; i < COLT_POLICY_COUNT; i++)
    if (strcmp (value, colt_work_policy_string[i]) == 0)
      {
        *member = (enum ColtWorkPolicy)i;
        return NULL;
      }
  return g_strdup_printf ("\"%s\" is not pack, spread, balance or fastest",
                          value);
}

static char *
read_hash_ (const char *value, struct ColtHash *member)
{
  if (!colt_hash_parse (value, member))
    return g_strdup ("is not 64 hexadecimal digits 0-9a-f");
  if (colt_hash_is_none (member))
    return g_strdup ("is all zeros");
  return NULL;
}

static char *
read_operator_ (const char *value, GArray **member)
{
  struct ColtOperatorKey key;
  struct ColtHash digits;
  char *reason = read_hash_ (value, &digits);

  if (reason != NULL)
    return reason;
  memcpy (key.bytes, digits.bytes, sizeof key.bytes);
  if (colt_operators_contain (*member, &key))
    return g_strdup ("appears twice");
  if ((*member)->len == COLT_BUNDLE_OPERATORS_MAX)
    return g_strdup_printf ("appears more than %u times",
                            COLT_BUNDLE_OPERATORS_MAX);
  g_array_append_val (*member, key);
  return NULL;
}

static char *
read_signature_ (const char *value, uint8_t *member)
{
  const size_t digits = 2 * (size_t)COLT_SIGNATURE_SIZE;

  if (strlen (value) != digits || strspn (value, "0123456789abcdef") != digits)
    return g_strdup ("is not 128 hexadecimal digits 0-9a-f");
  sodium_hex2bin (member, COLT_SIGNATURE_SIZE, value, digits, NULL, NULL, NULL);
  return NULL;
}

static void
write_value_ (const struct ColtField *field, const void *member, GString *text)
{
  switch (field->kind)
    {
    case COLT_FIELD_INTEGER:
    case COLT_FIELD_LIMIT:
      if (field->kind == COLT_FIELD_LIMIT
          && *(const int64_t *)member == COLT_BUNDLE_NO_LIMIT)
        g_string_append (text, "none");
      else
        g_string_append_printf (text, "%" PRId64, *(const int64_t *)member);
      break;
    case COLT_FIELD_BOOLEAN:
      g_string_append (text, *(const bool *)member ? "yes" : "no");
      break;
    case COLT_FIELD_NAME:
    case COLT_FIELD_TITLE:
      g_string_append (text, member);
      break;
    case COLT_FIELD_ORGANISATION:
    case COLT_FIELD_TEAM:
      g_string_append (text, ((const struct ColtBundleRef *)member)->name);
      break;
    case COLT_FIELD_POLICY:
      g_string_append (
          text, colt_work_policy_string[*(const enum ColtWorkPolicy *)member]);
      break;
    case COLT_FIELD_PARENT:
      if (colt_hash_is_none (member))
        g_string_append (text, "none");
      else
        write_hex_ (member, COLT_HASH_SIZE, text);
      break;
    case COLT_FIELD_HASH:
      write_hex_ (member, COLT_HASH_SIZE, text);
      break;
    case COLT_FIELD_SIGNATURE:
      write_hex_ (member, COLT_SIGNATURE_SIZE, text);
      break;
    case COLT_FIELD_OPERATORS:
      break;
    }
}

static void
write_hex_ (const uint8_t *bytes, size_t size, GString *text)
{
  char hex[2 * COLT_SIGNATURE_SIZE + 1];

  g_string_append (text, sodium_bin2hex (hex, sizeof hex, bytes, size));
}
