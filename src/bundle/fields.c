#include <errno.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "bundle_internal.h"

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
  { "signature", sizeof (struct ColtBundleSeal), false, 1 },
};

#define AT(type, member) offsetof (struct type, member)

const struct ColtField colt_bundle_fields[] = {
  { COLT_SECTION_BUNDLE, "version", COLT_FIELD_INTEGER,
    AT (ColtBundleHeader, version), NULL, 1, LIMIT_MAX },
  { COLT_SECTION_BUNDLE, "parent", COLT_FIELD_PARENT,
    AT (ColtBundleHeader, parent), NULL, 0, 0 },
  { COLT_SECTION_BUNDLE, "operator", COLT_FIELD_OPERATORS,
    AT (ColtBundleHeader, operators), NULL, 0, 0 },

  { COLT_SECTION_ORGANISATION, "title", COLT_FIELD_TITLE,
    AT (ColtBundleOrganisation, title), NULL, 0, 0 },

  { COLT_SECTION_TEAM, "organisation", COLT_FIELD_ORGANISATION,
    AT (ColtBundleTeam, organisation), NULL, 0, 0 },
  { COLT_SECTION_TEAM, "weight", COLT_FIELD_INTEGER,
    AT (ColtBundleTeam, weight), NULL, 1, 1000000 },
  { COLT_SECTION_TEAM, "limit_tasks", COLT_FIELD_INTEGER,
    AT (ColtBundleTeam, limit_tasks), NULL, 0, 1000000 },
  { COLT_SECTION_TEAM, "limit_cores_milli", COLT_FIELD_LIMIT,
    AT (ColtBundleTeam, limit_cores_milli), "none", 0, LIMIT_MAX },
  { COLT_SECTION_TEAM, "limit_accelerators", COLT_FIELD_LIMIT,
    AT (ColtBundleTeam, limit_accelerators), "none", 0, 1000000 },
  { COLT_SECTION_TEAM, "retries_per_minute", COLT_FIELD_INTEGER,
    AT (ColtBundleTeam, retries_per_minute), "60", 0, 1000000 },

  { COLT_SECTION_KEY, "team", COLT_FIELD_TEAM, AT (ColtBundleKey, team), NULL,
    0, 0 },
  { COLT_SECTION_KEY, "hash", COLT_FIELD_HASH, AT (ColtBundleKey, hash), NULL,
    0, 0 },

  { COLT_SECTION_QUEUE, "team", COLT_FIELD_TEAM, AT (ColtBundleQueue, team),
    NULL, 0, 0 },
  { COLT_SECTION_QUEUE, "open", COLT_FIELD_BOOLEAN, AT (ColtBundleQueue, open),
    NULL, 0, 0 },
  { COLT_SECTION_QUEUE, "max_waiting", COLT_FIELD_INTEGER,
    AT (ColtBundleQueue, max_waiting), NULL, 0, 1000000 },

  { COLT_SECTION_WORK, "policy", COLT_FIELD_POLICY, AT (ColtBundleWork, policy),
    NULL, 0, 0 },
  { COLT_SECTION_WORK, "deadline_ms", COLT_FIELD_INTEGER,
    AT (ColtBundleWork, deadline_ms), "0", 0, LIMIT_MAX },
  { COLT_SECTION_WORK, "priority", COLT_FIELD_INTEGER,
    AT (ColtBundleWork, priority), NULL, 0, 9 },
  { COLT_SECTION_WORK, "max_attempts", COLT_FIELD_INTEGER,
    AT (ColtBundleWork, max_attempts), NULL, 1, 10 },
  { COLT_SECTION_WORK, "checkpoint", COLT_FIELD_BOOLEAN,
    AT (ColtBundleWork, checkpoint), "no", 0, 0 },

  { COLT_SECTION_ZONE, "region", COLT_FIELD_NAME, AT (ColtBundleZone, region),
    NULL, 0, 0 },

  { COLT_SECTION_SIGNATURE, "operator", COLT_FIELD_HASH,
    AT (ColtBundleSeal, signature.operator_key), NULL, 0, 0 },
  { COLT_SECTION_SIGNATURE, "signature", COLT_FIELD_SIGNATURE,
    AT (ColtBundleSeal, signature.bytes), NULL, 0, 0 },
};

const size_t colt_bundle_field_count = G_N_ELEMENTS (colt_bundle_fields);

static char *
read_integer_ (const struct ColtField *field, const char *value, int64_t *at);
static char *
read_boolean_ (const struct ColtField *field, const char *value, bool *at);
static char *read_name_ (const char *value, char *at);
static char *read_title_ (const char *value, char *at);
static char *read_policy_ (const char *value, enum ColtWorkPolicy *at);
static char *read_hash_ (const char *value, struct ColtHash *at);
static char *read_operator_ (const char *value, GArray **at);
static char *read_signature_ (const char *value, uint8_t *at);
static void
write_value_ (const struct ColtField *field, const void *at, GString *text);
static void write_hex_ (const uint8_t *bytes, size_t size, GString *text);

char *
colt_field_read (const struct ColtField *field, const char *value, void *entity)
{
  void *at = (char *)entity + field->offset;

  switch (field->kind)
    {
    case COLT_FIELD_INTEGER:
    case COLT_FIELD_LIMIT:
      return read_integer_ (field, value, at);
    case COLT_FIELD_BOOLEAN:
      return read_boolean_ (field, value, at);
    case COLT_FIELD_NAME:
      return read_name_ (value, at);
    case COLT_FIELD_TITLE:
      return read_title_ (value, at);
    case COLT_FIELD_ORGANISATION:
    case COLT_FIELD_TEAM:
      return read_name_ (value, ((struct ColtBundleRef *)at)->name);
    case COLT_FIELD_POLICY:
      return read_policy_ (value, at);
    case COLT_FIELD_PARENT:
      if (strcmp (value, "none") != 0)
        return read_hash_ (value, at);
      memset (at, 0, COLT_HASH_SIZE);
      return NULL;
    case COLT_FIELD_HASH:
      return read_hash_ (value, at);
    case COLT_FIELD_OPERATORS:
      return read_operator_ (value, at);
    case COLT_FIELD_SIGNATURE:
      return read_signature_ (value, at);
    }
  return NULL;
}

void
colt_field_write (const struct ColtField *field,
                  const void *entity,
                  GString *text)
{
  const void *at = (const char *)entity + field->offset;
  const GArray *operators;
  guint i;

  if (field->kind != COLT_FIELD_OPERATORS)
    {
      g_string_append_printf (text, "%s = ", field->key);
      write_value_ (field, at, text);
      g_string_append_c (text, '\n');
      return;
    }
  operators = *(GArray *const *)at;
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
    g_string_append_printf (text, "[%s %s]\n", spec->word,
                            (const char *)entity);
  else
    g_string_append_printf (text, "[%s]\n", spec->word);
  for (i = 0; i < colt_bundle_field_count; i++)
    if (colt_bundle_fields[i].section == type)
      colt_field_write (&colt_bundle_fields[i], entity, text);
  g_string_append_c (text, '\n');
}

static char *
read_integer_ (const struct ColtField *field, const char *value, int64_t *at)
{
  char *end;
  long long number;

  if (field->kind == COLT_FIELD_LIMIT && strcmp (value, "none") == 0)
    {
      *at = COLT_BUNDLE_NO_LIMIT;
      return NULL;
    }
  errno = 0;
  number = strtoll (value, &end, 10);
  if (end == value || *end != '\0' || errno != 0)
    return g_strdup_printf ("\"%s\" is no whole number", value);
  if (number < field->minimum || number > field->maximum)
    return g_strdup_printf ("%lld is not in %" PRId64 " to %" PRId64, number,
                            field->minimum, field->maximum);
  *at = number;
  return NULL;
}

static char *
read_boolean_ (const struct ColtField *field, const char *value, bool *at)
{
  (void)field;
  *at = strcmp (value, "yes") == 0;
  if (*at || strcmp (value, "no") == 0)
    return NULL;
  return g_strdup_printf ("\"%s\" is neither yes nor no", value);
}

static char *
read_name_ (const char *value, char *at)
{
  if (!colt_name_valid (value))
    return g_strdup_printf (
        "\"%s\" is no name: 1 to %d of a-z, 0-9 and \"-\" are", value,
        COLT_NAME_SIZE - 1);
  g_strlcpy (at, value, COLT_NAME_SIZE);
  return NULL;
}

static char *
read_title_ (const char *value, char *at)
{
  const char *c;

  if (value[0] == '\0')
    return g_strdup ("is empty");
  if (strlen (value) >= COLT_BUNDLE_TITLE_SIZE)
    return g_strdup_printf ("is longer than %d bytes",
                            COLT_BUNDLE_TITLE_SIZE - 1);
  for (c = value; *c != '\0'; c++)
    if (!g_ascii_isprint (*c) || *c == ';')
      return g_strdup ("has other than printable ASCII characters, or a \";\"");
  g_strlcpy (at, value, COLT_BUNDLE_TITLE_SIZE);
  return NULL;
}

static char *
read_policy_ (const char *value, enum ColtWorkPolicy *at)
{
  int i;

  for (i = 0; i < COLT_POLICY_COUNT; i++)
    if (strcmp (value, colt_work_policy_string[i]) == 0)
      {
        *at = (enum ColtWorkPolicy)i;
        return NULL;
      }
  return g_strdup_printf ("\"%s\" is none of pack, spread, balance and fastest",
                          value);
}

static char *
read_hash_ (const char *value, struct ColtHash *at)
{
  if (!colt_hash_parse (value, at))
    return g_strdup ("is not 64 hexadecimal digits 0-9a-f");
  if (colt_hash_is_none (at))
    return g_strdup ("is all zeros");
  return NULL;
}

static char *
read_operator_ (const char *value, GArray **at)
{
  struct ColtOperatorKey key;
  struct ColtHash digits;
  char *reason = read_hash_ (value, &digits);

  if (reason != NULL)
    return reason;
  memcpy (key.bytes, digits.bytes, sizeof key.bytes);
  if (colt_operators_have (*at, &key))
    return g_strdup ("stands twice");
  if ((*at)->len == COLT_BUNDLE_OPERATORS_MAX)
    return g_strdup_printf ("there are more than %u",
                            COLT_BUNDLE_OPERATORS_MAX);
  g_array_append_val (*at, key);
  return NULL;
}

static char *
read_signature_ (const char *value, uint8_t *at)
{
  const size_t digits = 2 * (size_t)COLT_SIGNATURE_SIZE;

  if (strlen (value) != digits || strspn (value, "0123456789abcdef") != digits)
    return g_strdup ("is not 128 hexadecimal digits 0-9a-f");
  sodium_hex2bin (at, COLT_SIGNATURE_SIZE, value, digits, NULL, NULL, NULL);
  return NULL;
}

static void
write_value_ (const struct ColtField *field, const void *at, GString *text)
{
  switch (field->kind)
    {
    case COLT_FIELD_INTEGER:
    case COLT_FIELD_LIMIT:
      if (field->kind == COLT_FIELD_LIMIT
          && *(const int64_t *)at == COLT_BUNDLE_NO_LIMIT)
        g_string_append (text, "none");
      else
        g_string_append_printf (text, "%" PRId64, *(const int64_t *)at);
      break;
    case COLT_FIELD_BOOLEAN:
      g_string_append (text, *(const bool *)at ? "yes" : "no");
      break;
    case COLT_FIELD_NAME:
    case COLT_FIELD_TITLE:
      g_string_append (text, at);
      break;
    case COLT_FIELD_ORGANISATION:
    case COLT_FIELD_TEAM:
      g_string_append (text, ((const struct ColtBundleRef *)at)->name);
      break;
    case COLT_FIELD_POLICY:
      g_string_append (
          text, colt_work_policy_string[*(const enum ColtWorkPolicy *)at]);
      break;
    case COLT_FIELD_PARENT:
      if (colt_hash_is_none (at))
        g_string_append (text, "none");
      else
        write_hex_ (at, COLT_HASH_SIZE, text);
      break;
    case COLT_FIELD_HASH:
      write_hex_ (at, COLT_HASH_SIZE, text);
      break;
    case COLT_FIELD_SIGNATURE:
      write_hex_ (at, COLT_SIGNATURE_SIZE, text);
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
