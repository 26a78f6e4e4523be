#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "bundle_internal.h"

static const void *get_entity_ (const struct ColtBundle *bundle,
                                enum ColtSectionType type,
                                uint32_t index);
static uint32_t find_entity_ (const struct ColtBundle *bundle,
                              enum ColtSectionType type,
                              const char *name);
static int compare_operators_ (const void *a, const void *b);

void
colt_bundle_destroy (struct ColtBundle *bundle)
{
  int type;

  if (bundle == NULL)
    return;
  colt_bundle_header_clear (&bundle->header);
  for (type = 0; type < COLT_SECTION_COUNT; type++)
    if (bundle->entities[type] != NULL)
      g_array_unref (bundle->entities[type]);
  g_free (bundle->header_text);
  g_free (bundle->text);
  g_free (bundle);
}

void
colt_bundle_finish (struct ColtBundle *bundle)
{
  GString *text = g_string_new (NULL);
  size_t header_size;
  int type;
  guint i;

  colt_operators_sort (bundle->header.operators);
  colt_section_write (COLT_SECTION_BUNDLE, &bundle->header, text);
  header_size = text->len;
  bundle->header_text = g_strdup (text->str);
  for (type = COLT_SECTION_ORGANISATION; type <= COLT_SECTION_ZONE; type++)
    for (i = 0; i < bundle->entities[type]->len; i++)
      colt_section_write (type, get_entity_ (bundle, type, i), text);
  bundle->text = g_string_free (text, FALSE);
  bundle->body_hash = colt_hash_make (bundle->text + header_size,
                                      strlen (bundle->text + header_size));
  bundle->hash
      = colt_bundle_hash_parts (bundle->header_text, &bundle->body_hash);
}

int64_t
colt_bundle_version (const struct ColtBundle *bundle)
{
  return bundle->header.version;
}

const struct ColtHash *
colt_bundle_hash (const struct ColtBundle *bundle)
{
  return &bundle->hash;
}

const struct ColtHash *
colt_bundle_parent (const struct ColtBundle *bundle)
{
  return &bundle->header.parent;
}

const char *
colt_bundle_text (const struct ColtBundle *bundle)
{
  return bundle->text;
}

const char *
colt_bundle_header (const struct ColtBundle *bundle)
{
  return bundle->header_text;
}

const char *
colt_bundle_body (const struct ColtBundle *bundle)
{
  return bundle->text + strlen (bundle->header_text);
}

const struct ColtHash *
colt_bundle_body_hash (const struct ColtBundle *bundle)
{
  return &bundle->body_hash;
}

const struct ColtSignature *
colt_bundle_signature (const struct ColtBundle *bundle)
{
  return bundle->has_signature ? &bundle->signature : NULL;
}

size_t
colt_bundle_operator_count (const struct ColtBundle *bundle)
{
  return bundle->header.operators->len;
}

const struct ColtOperatorKey *
colt_bundle_operator (const struct ColtBundle *bundle, size_t index)
{
  assert (index < bundle->header.operators->len);
  return &g_array_index (bundle->header.operators, struct ColtOperatorKey,
                         index);
}

bool
colt_bundle_has_operator (const struct ColtBundle *bundle,
                          const struct ColtOperatorKey *key)
{
  return colt_operators_contain (bundle->header.operators, key);
}

uint32_t
colt_bundle_organisation_count (const struct ColtBundle *bundle)
{
  return bundle->entities[COLT_SECTION_ORGANISATION]->len;
}

const struct ColtBundleOrganisation *
colt_bundle_organisation (const struct ColtBundle *bundle, uint32_t index)
{
  return get_entity_ (bundle, COLT_SECTION_ORGANISATION, index);
}

uint32_t
colt_bundle_team_count (const struct ColtBundle *bundle)
{
  return bundle->entities[COLT_SECTION_TEAM]->len;
}

const struct ColtBundleTeam *
colt_bundle_team (const struct ColtBundle *bundle, uint32_t index)
{
  return get_entity_ (bundle, COLT_SECTION_TEAM, index);
}

uint32_t
colt_bundle_find_team (const struct ColtBundle *bundle, const char *name)
{
  return find_entity_ (bundle, COLT_SECTION_TEAM, name);
}

uint32_t
colt_bundle_key_count (const struct ColtBundle *bundle)
{
  return bundle->entities[COLT_SECTION_KEY]->len;
}

const struct ColtBundleKey *
colt_bundle_key (const struct ColtBundle *bundle, uint32_t index)
{
  return get_entity_ (bundle, COLT_SECTION_KEY, index);
}

uint32_t
colt_bundle_find_key (const struct ColtBundle *bundle, const char *name)
{
  return find_entity_ (bundle, COLT_SECTION_KEY, name);
}

uint32_t
colt_bundle_queue_count (const struct ColtBundle *bundle)
{
  return bundle->entities[COLT_SECTION_QUEUE]->len;
}

const struct ColtBundleQueue *
colt_bundle_queue (const struct ColtBundle *bundle, uint32_t index)
{
  return get_entity_ (bundle, COLT_SECTION_QUEUE, index);
}

uint32_t
colt_bundle_find_queue (const struct ColtBundle *bundle, const char *name)
{
  return find_entity_ (bundle, COLT_SECTION_QUEUE, name);
}

const struct ColtBundleWork *
colt_bundle_work (const struct ColtBundle *bundle, enum ColtWorkKind kind)
{
  return get_entity_ (bundle, COLT_SECTION_WORK, kind);
}

uint32_t
colt_bundle_zone_count (const struct ColtBundle *bundle)
{
  return bundle->entities[COLT_SECTION_ZONE]->len;
}

const struct ColtBundleZone *
colt_bundle_zone (const struct ColtBundle *bundle, uint32_t index)
{
  return get_entity_ (bundle, COLT_SECTION_ZONE, index);
}

void
colt_bundle_header_clear (struct ColtBundleHeader *header)
{
  if (header->operators != NULL)
    g_array_unref (header->operators);
  header->operators = NULL;
}

bool
colt_operators_contain (const GArray *operators,
                        const struct ColtOperatorKey *key)
{
  guint i;

  for (i = 0; i < operators->len; i++)
    if (compare_operators_ (
            &g_array_index (operators, struct ColtOperatorKey, i), key)
        == 0)
      return true;
  return false;
}

void
colt_operators_sort (GArray *operators)
{
  g_array_sort (operators, compare_operators_);
}

static const void *
get_entity_ (const struct ColtBundle *bundle,
             enum ColtSectionType type,
             uint32_t index)
{
  const GArray *entities = bundle->entities[type];

  assert (index < entities->len);
  return entities->data + index * colt_bundle_sections[type].size;
}

static uint32_t
find_entity_ (const struct ColtBundle *bundle,
              enum ColtSectionType type,
              const char *name)
{
  uint32_t low = 0;
  uint32_t high = bundle->entities[type]->len;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      int order = strcmp (name, get_entity_ (bundle, type, middle));

      if (order == 0)
        return middle;
      if (order < 0)
        high = middle;
      else
        low = middle + 1;
    }
  return COLT_BUNDLE_NO_INDEX;
}

static int
compare_operators_ (const void *a, const void *b)
{
  return memcmp (a, b, COLT_OPERATOR_KEY_SIZE);
}
