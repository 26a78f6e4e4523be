#include <stdlib.h>
#include <string.h>

#include "bundle_internal.h"
#include "coltsfootstile/ini.h"

/* inih truncates longer section names silently. */
#define SECTION_NAME_MAX 48u

struct ColtEntity
{
  enum ColtSectionType type;
  int line;
  uint64_t seen_fields; /* bit N: colt_bundle_fields[N] was read */
  int ref_line;         /* line of its reference to another section */
  void *data;
};

struct ColtBuilder
{
  struct ColtProblems *problems;
  GPtrArray *entities; /* of struct ColtEntity */
  GHashTable *by_name; /* heading without brackets -> struct ColtEntity */
  char *section;       /* heading of the section being read, NULL before
                          the first */
  struct ColtEntity *current; /* of section; NULL: the section is skipped */
};

static void on_line_ (void *client,
                      const char *section,
                      const char *key,
                      const char *value,
                      int line);
static void
begin_section_ (struct ColtBuilder *builder, const char *section, int line);
static int find_section_type_ (const char *section, const char **name);
static char *check_name_ (enum ColtSectionType type, const char *name);
static void add_entity_ (struct ColtBuilder *builder,
                         enum ColtSectionType type,
                         const char *section,
                         const char *name,
                         int line);
static void free_entity_ (gpointer data);
static int find_field_ (enum ColtSectionType type, const char *key);
static void set_defaults_ (struct ColtBuilder *builder);
static void set_entity_defaults_ (struct ColtBuilder *builder,
                                  struct ColtEntity *entity);
static struct ColtBundle *build_bundle_ (struct ColtBuilder *builder);
static void add_to_bundle_ (struct ColtBundle *bundle,
                            struct ColtEntity *entity);
static gint compare_entities_ (gconstpointer a, gconstpointer b);
static void check_bundle_ (struct ColtBuilder *builder,
                           struct ColtBundle *bundle);
static void check_header_ (struct ColtBuilder *builder,
                           const struct ColtBundle *bundle);
static void check_counts_ (struct ColtBuilder *builder,
                           const struct ColtBundle *bundle);
static void check_work_sections_ (struct ColtBuilder *builder);
static void resolve_refs_ (struct ColtBuilder *builder,
                           struct ColtBundle *bundle);
static void resolve_ref_ (struct ColtBuilder *builder,
                          const struct ColtBundle *bundle,
                          enum ColtSectionType target,
                          struct ColtEntity *entity,
                          struct ColtBundleRef *ref);
static int compare_names_ (const void *a, const void *b);
static void check_key_hashes_ (struct ColtBuilder *builder);
static void builder_init_ (struct ColtBuilder *builder,
                           struct ColtProblems *problems);
static void builder_clear_ (struct ColtBuilder *builder);
static const struct ColtEntity *
find_header_entity_ (struct ColtBuilder *builder);
static struct ColtBundle *parse_text_ (const char *text,
                                       struct ColtProblems *problems);

struct ColtBundle *
colt_bundle_parse (const char *text,
                   struct ColtProblems *problems,
                   struct ColtError *error)
{
  struct ColtProblems *list = colt_problems_create ();
  struct ColtBundle *bundle = parse_text_ (text, list);
  size_t i;

  colt_problems_sort (list);
  if (colt_problems_count (list) > 0)
    {
      const struct ColtProblem *first = colt_problems_get (list, 0);

      colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_CHECK, NULL,
                      "line %d: %s", first->line, first->reason);
      colt_bundle_destroy (bundle);
      bundle = NULL;
    }
  for (i = 0; problems != NULL && i < colt_problems_count (list); i++)
    {
      const struct ColtProblem *problem = colt_problems_get (list, i);

      colt_problems_add (problems, problem->line, "%s", problem->reason);
    }
  colt_problems_destroy (list);
  return bundle;
}

bool
colt_bundle_header_parse (const char *text, struct ColtBundleHeader *header)
{
  struct ColtProblems *problems = colt_problems_create ();
  struct ColtBuilder builder;
  const struct ColtEntity *entity;
  GString *canonical = g_string_new (NULL);
  bool valid;
  int line;

  builder_init_ (&builder, problems);
  valid = colt_ini_parse (text, on_line_, &builder, &line, NULL)
          && colt_problems_count (problems) == 0 && builder.entities->len == 1;
  entity = find_header_entity_ (&builder);
  if (valid && entity != NULL)
    {
      *header = *(struct ColtBundleHeader *)entity->data;
      colt_operators_sort (header->operators);
      colt_section_write (COLT_SECTION_BUNDLE, header, canonical);
      g_array_ref (header->operators);
    }
  valid = valid && strcmp (canonical->str, text) == 0 && header->version > 0
          && header->operators->len > 0;
  if (!valid && canonical->len > 0)
    colt_bundle_header_clear (header);
  g_string_free (canonical, TRUE);
  builder_clear_ (&builder);
  colt_problems_destroy (problems);
  return valid;
}

static struct ColtBundle *
parse_text_ (const char *text, struct ColtProblems *problems)
{
  struct ColtBuilder builder;
  struct ColtBundle *bundle = NULL;
  struct ColtError error;
  int line;

  if (strlen (text) > COLT_BUNDLE_TEXT_MAX)
    {
      colt_problems_add (problems, 0, "the text is longer than %u bytes",
                         COLT_BUNDLE_TEXT_MAX);
      return NULL;
    }
  builder_init_ (&builder, problems);
  if (!colt_ini_parse (text, on_line_, &builder, &line, &error))
    colt_problems_add (problems, line, "%s", error.message);
  set_defaults_ (&builder);
  bundle = build_bundle_ (&builder);
  check_bundle_ (&builder, bundle);
  if (colt_problems_count (problems) == 0)
    colt_bundle_finish (bundle);
  builder_clear_ (&builder);
  return bundle;
}

static void
builder_init_ (struct ColtBuilder *builder, struct ColtProblems *problems)
{
  builder->problems = problems;
  builder->entities = g_ptr_array_new_with_free_func (free_entity_);
  builder->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  builder->section = NULL;
  builder->current = NULL;
}

static void
builder_clear_ (struct ColtBuilder *builder)
{
  g_hash_table_unref (builder->by_name);
  g_ptr_array_unref (builder->entities);
  g_free (builder->section);
}

static void
on_line_ (void *client,
          const char *section,
          const char *key,
          const char *value,
          int line)
{
  struct ColtBuilder *builder = client;
  struct ColtEntity *entity;
  const struct ColtField *field;
  char *reason = NULL;
  int index;

  if (builder->section == NULL || strcmp (builder->section, section) != 0)
    begin_section_ (builder, section, line);
  entity = builder->current;
  if (entity == NULL)
    return;
  index = find_field_ (entity->type, key);
  if (index < 0)
    {
      colt_problems_add (builder->problems, line, "[%s] has no key \"%s\"",
                         section, key);
      return;
    }
  field = &colt_bundle_fields[index];
  if ((entity->seen_fields >> index & 1) != 0
      && field->kind != COLT_FIELD_OPERATORS)
    reason = g_strdup ("is set twice");
  else
    reason = colt_field_read (field, value, entity->data);
  entity->seen_fields |= UINT64_C (1) << index;
  if (field->kind == COLT_FIELD_ORGANISATION || field->kind == COLT_FIELD_TEAM)
    entity->ref_line = line;
  if (reason != NULL)
    colt_problems_add (builder->problems, line, "[%s] %s: %s", section, key,
                       reason);
  g_free (reason);
}

static void
begin_section_ (struct ColtBuilder *builder, const char *section, int line)
{
  const char *name = "";
  char *reason;
  int type = find_section_type_ (section, &name);

  g_free (builder->section);
  builder->section = g_strdup (section);
  builder->current = NULL;
  if (strlen (section) > SECTION_NAME_MAX)
    reason = g_strdup_printf ("the section name is longer than %u bytes",
                              SECTION_NAME_MAX);
  else if (type < 0)
    reason = g_strdup (section[0] == '\0'
                           ? "a key appears before the first section"
                           : "is not a section of a bundle");
  else if (g_hash_table_contains (builder->by_name, section))
    reason = g_strdup ("the section appears twice");
  else
    reason = check_name_ (type, name);
  if (reason == NULL)
    add_entity_ (builder, type, section, name, line);
  else
    colt_problems_add (builder->problems, line, "[%s]: %s", section, reason);
  g_free (reason);
}

/* Returns the type of a section with the heading "keyword" or "keyword name",
   or -1. */
static int
find_section_type_ (const char *section, const char **name)
{
  int type;

  for (type = 0; type < COLT_SECTION_COUNT; type++)
    {
      const struct ColtSectionSpec *spec = &colt_bundle_sections[type];
      size_t length = strlen (spec->keyword);

      if (strncmp (section, spec->keyword, length) != 0)
        continue;
      *name = section + length;
      if (!spec->named && section[length] == '\0')
        return type;
      if (spec->named && section[length] == ' ')
        {
          *name = section + length + 1;
          return type;
        }
    }
  return -1;
}

static char *
check_name_ (enum ColtSectionType type, const char *name)
{
  enum ColtWorkKind kind;

  if (!colt_bundle_sections[type].named)
    return NULL;
  if (!colt_name_is_valid (name))
    return g_strdup_printf (
        "\"%s\" is not a valid name: use 1 to %d of a-z, 0-9 and \"-\"", name,
        COLT_NAME_SIZE - 1);
  if (type == COLT_SECTION_WORK && !colt_work_kind_parse (name, &kind))
    return g_strdup_printf ("\"%s\" is not a kind of work", name);
  if (type == COLT_SECTION_ZONE
      && (strspn (name, "0123456789") != strlen (name) || name[0] == '0'
          || strlen (name) > 2 || strtoul (name, NULL, 10) > COLT_ZONE_MAX))
    return g_strdup_printf ("zones are numbered from 1 to %u", COLT_ZONE_MAX);
  return NULL;
}

static void
add_entity_ (struct ColtBuilder *builder,
             enum ColtSectionType type,
             const char *section,
             const char *name,
             int line)
{
  struct ColtEntity *entity = g_new0 (struct ColtEntity, 1);

  entity->type = type;
  entity->line = line;
  entity->data = g_malloc0 (colt_bundle_sections[type].size);
  g_strlcpy (entity->data, name, COLT_NAME_SIZE);
  if (type == COLT_SECTION_BUNDLE)
    ((struct ColtBundleHeader *)entity->data)->operators
        = g_array_new (FALSE, TRUE, sizeof (struct ColtOperatorKey));
  if (type == COLT_SECTION_ZONE)
    ((struct ColtBundleZone *)entity->data)->number
        = (uint32_t)strtoul (name, NULL, 10);
  g_ptr_array_add (builder->entities, entity);
  g_hash_table_insert (builder->by_name, g_strdup (section), entity);
  builder->current = entity;
}

static void
free_entity_ (gpointer data)
{
  struct ColtEntity *entity = data;

  if (entity->type == COLT_SECTION_BUNDLE)
    colt_bundle_header_clear (entity->data);
  g_free (entity->data);
  g_free (entity);
}

static int
find_field_ (enum ColtSectionType type, const char *key)
{
  size_t i;

  for (i = 0; i < colt_bundle_field_count; i++)
    if (colt_bundle_fields[i].section == type
        && strcmp (colt_bundle_fields[i].key, key) == 0)
      return (int)i;
  return -1;
}

static void
set_defaults_ (struct ColtBuilder *builder)
{
  guint i;

  for (i = 0; i < builder->entities->len; i++)
    set_entity_defaults_ (builder, g_ptr_array_index (builder->entities, i));
}

static void
set_entity_defaults_ (struct ColtBuilder *builder, struct ColtEntity *entity)
{
  const struct ColtSectionSpec *spec = &colt_bundle_sections[entity->type];
  size_t i;

  for (i = 0; i < colt_bundle_field_count; i++)
    {
      const struct ColtField *field = &colt_bundle_fields[i];

      if (field->section != entity->type || (entity->seen_fields >> i & 1) != 0)
        continue;
      if (field->fallback != NULL)
        g_free (colt_field_read (field, field->fallback, entity->data));
      else
        colt_problems_add (builder->problems, entity->line,
                           "[%s%s%s] %s: is required", spec->keyword,
                           spec->named ? " " : "", (char *)entity->data,
                           field->key);
    }
}

static struct ColtBundle *
build_bundle_ (struct ColtBuilder *builder)
{
  struct ColtBundle *bundle = g_new0 (struct ColtBundle, 1);
  int type;
  guint i;

  bundle->header.operators
      = g_array_new (FALSE, TRUE, sizeof (struct ColtOperatorKey));
  for (type = 0; type < COLT_SECTION_COUNT; type++)
    bundle->entities[type]
        = g_array_new (FALSE, TRUE, colt_bundle_sections[type].size);
  g_ptr_array_sort (builder->entities, compare_entities_);
  for (i = 0; i < builder->entities->len; i++)
    add_to_bundle_ (bundle, g_ptr_array_index (builder->entities, i));
  return bundle;
}

static void
add_to_bundle_ (struct ColtBundle *bundle, struct ColtEntity *entity)
{
  if (entity->type == COLT_SECTION_BUNDLE)
    {
      colt_bundle_header_clear (&bundle->header);
      bundle->header = *(struct ColtBundleHeader *)entity->data;
      g_array_ref (bundle->header.operators);
    }
  else if (entity->type == COLT_SECTION_SIGNATURE)
    {
      bundle->signature
          = ((struct ColtSignatureSection *)entity->data)->signature;
      bundle->has_signature = true;
    }
  else
    g_array_append_vals (bundle->entities[entity->type], entity->data, 1);
}

static gint
compare_entities_ (gconstpointer a, gconstpointer b)
{
  const struct ColtEntity *left = *(struct ColtEntity *const *)a;
  const struct ColtEntity *right = *(struct ColtEntity *const *)b;
  enum ColtWorkKind left_kind;
  enum ColtWorkKind right_kind;

  if (left->type != right->type)
    return (int)left->type - (int)right->type;
  if (left->type == COLT_SECTION_ZONE)
    return (int)((struct ColtBundleZone *)left->data)->number
           - (int)((struct ColtBundleZone *)right->data)->number;
  if (left->type == COLT_SECTION_WORK
      && colt_work_kind_parse (left->data, &left_kind)
      && colt_work_kind_parse (right->data, &right_kind))
    return (int)left_kind - (int)right_kind;
  return strcmp (left->data, right->data);
}

static void
check_bundle_ (struct ColtBuilder *builder, struct ColtBundle *bundle)
{
  check_header_ (builder, bundle);
  check_counts_ (builder, bundle);
  check_work_sections_ (builder);
  resolve_refs_ (builder, bundle);
  check_key_hashes_ (builder);
}

static void
check_header_ (struct ColtBuilder *builder, const struct ColtBundle *bundle)
{
  const struct ColtEntity *entity = find_header_entity_ (builder);
  bool first = bundle->header.version == 1;

  if (entity == NULL)
    {
      colt_problems_add (builder->problems, 0, "there is no [bundle] section");
      return;
    }
  if (bundle->header.version > 0
      && first != colt_hash_is_none (&bundle->header.parent))
    colt_problems_add (
        builder->problems, entity->line,
        first ? "[bundle] parent: must be none in version 1"
              : "[bundle] parent: must not be none after version 1");
}

static void
check_counts_ (struct ColtBuilder *builder, const struct ColtBundle *bundle)
{
  int type;

  if (bundle->entities[COLT_SECTION_ZONE]->len == 0)
    colt_problems_add (builder->problems, 0, "there is no [zone N] section");
  for (type = 0; type < COLT_SECTION_COUNT; type++)
    if (bundle->entities[type]->len > colt_bundle_sections[type].count_max)
      colt_problems_add (builder->problems, 0,
                         "there are more than %u [%s] sections",
                         colt_bundle_sections[type].count_max,
                         colt_bundle_sections[type].keyword);
}

static void
check_work_sections_ (struct ColtBuilder *builder)
{
  int kind;

  for (kind = 0; kind < COLT_WORK_KIND_COUNT; kind++)
    {
      char *section = g_strdup_printf ("work %s", colt_work_kind_string[kind]);

      if (!g_hash_table_contains (builder->by_name, section))
        colt_problems_add (builder->problems, 0, "there is no [%s] section",
                           section);
      g_free (section);
    }
}

static void
resolve_refs_ (struct ColtBuilder *builder, struct ColtBundle *bundle)
{
  guint next[COLT_SECTION_COUNT] = { 0 };
  guint i;
  size_t f;

  for (i = 0; i < builder->entities->len; i++)
    {
      struct ColtEntity *entity = g_ptr_array_index (builder->entities, i);
      GArray *entities = bundle->entities[entity->type];
      char *data;

      if (next[entity->type] >= entities->len)
        continue;
      data = entities->data
             + next[entity->type]++ * colt_bundle_sections[entity->type].size;
      for (f = 0; f < colt_bundle_field_count; f++)
        {
          const struct ColtField *field = &colt_bundle_fields[f];
          void *ref = data + field->offset;

          if (field->section != entity->type)
            continue;
          if (field->kind == COLT_FIELD_TEAM)
            resolve_ref_ (builder, bundle, COLT_SECTION_TEAM, entity, ref);
          if (field->kind == COLT_FIELD_ORGANISATION)
            resolve_ref_ (builder, bundle, COLT_SECTION_ORGANISATION, entity,
                          ref);
        }
    }
}

static void
resolve_ref_ (struct ColtBuilder *builder,
              const struct ColtBundle *bundle,
              enum ColtSectionType target,
              struct ColtEntity *entity,
              struct ColtBundleRef *ref)
{
  const GArray *entities = bundle->entities[target];
  const char *keyword = colt_bundle_sections[target].keyword;
  size_t size = colt_bundle_sections[target].size;
  const char *found = NULL;

  if (ref->name[0] == '\0')
    return;
  if (entities->len > 0)
    found = bsearch (ref->name, entities->data, entities->len, size,
                     compare_names_);
  if (found != NULL)
    {
      ref->index = (uint32_t)((found - entities->data) / size);
      return;
    }
  colt_problems_add (builder->problems, entity->ref_line,
                     "[%s %s] %s: there is no [%s %s] section",
                     colt_bundle_sections[entity->type].keyword,
                     (char *)entity->data, keyword, keyword, ref->name);
}

/* Compares a name with the first member of a section's struct, which is its
   name. */
static int
compare_names_ (const void *a, const void *b)
{
  return strcmp (a, b);
}

static void
check_key_hashes_ (struct ColtBuilder *builder)
{
  GHashTable *seen
      = g_hash_table_new (colt_hash_table_hash, colt_hash_table_equal);
  guint i;

  for (i = 0; i < builder->entities->len; i++)
    {
      const struct ColtEntity *entity
          = g_ptr_array_index (builder->entities, i);
      struct ColtBundleKey *key = entity->data;
      const struct ColtBundleKey *other;

      if (entity->type != COLT_SECTION_KEY || colt_hash_is_none (&key->hash))
        continue;
      other = g_hash_table_lookup (seen, &key->hash);
      if (other != NULL)
        colt_problems_add (builder->problems, entity->line,
                           "[key %s] hash: is also the hash of [key %s]",
                           key->name, other->name);
      else
        g_hash_table_insert (seen, &key->hash, key);
    }
  g_hash_table_unref (seen);
}

static const struct ColtEntity *
find_header_entity_ (struct ColtBuilder *builder)
{
  return g_hash_table_lookup (builder->by_name, "bundle");
}
