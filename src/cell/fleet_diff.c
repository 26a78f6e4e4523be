#include <stddef.h>
#include <string.h>

#include "coltsfootstile/fleet_check.h"

enum ColtMemberType
{
  MEMBER_U32,
  MEMBER_I64,
  MEMBER_REAL,
  MEMBER_FLAG,
  MEMBER_TEXT
};

/* A member of a configuration's structs that is compared. */
struct ColtMember
{
  const char *name; /* NULL ends a table */
  enum ColtMemberType type;
  size_t offset; /* in the struct */
};

static void free_change_ (gpointer data);
static void diff_list_ (GPtrArray *changes,
                        const char *what,
                        const GPtrArray *old,
                        const GPtrArray *new,
                        const struct ColtMember *members);
static GHashTable *index_names_ (const GPtrArray *list);
static void diff_members_ (GPtrArray *changes,
                           const char *subject,
                           const void *old,
                           const void *new,
                           const struct ColtMember *members);
static void diff_keys_ (GPtrArray *changes,
                        const struct ColtFleet *old,
                        const struct ColtFleet *new);
static GPtrArray *list_keys_ (const struct ColtFleet *fleet);
static char *format_ (const void *object, const struct ColtMember *member);
static struct ColtFleetChange *add_ (GPtrArray *changes,
                                     enum ColtFleetChangeKind kind,
                                     const char *what,
                                     const char *name);

const char *const colt_fleet_change_string[]
    = { "added", "removed", "changed" };

#define QUEUE(type, member)                                                    \
  {                                                                            \
#member, type, offsetof(struct ColtQueueConfig, member)                    \
  }
#define SERVICE(type, member)                                                  \
  {                                                                            \
#member, type, offsetof(struct ColtServiceConfig, member)                  \
  }
#define ORGANISATION(type, member)                                             \
  {                                                                            \
#member, type, offsetof(struct ColtOrganisation, member)                   \
  }
#define MAXIMUM(name, resource)                                                \
  {                                                                            \
    name, MEMBER_I64,                                                          \
        offsetof (struct ColtOrganisation, maximum)                            \
            + offsetof (struct ColtResources, amount)                          \
            + (resource) * sizeof (int64_t)                                    \
  }
#define LIMIT(type, member)                                                    \
  {                                                                            \
#member, type, offsetof(struct ColtFleet, member)                          \
  }

/* Every struct of a list begins with its name. */
static const struct ColtMember queue_members[]
    = { QUEUE (MEMBER_TEXT, host),
        QUEUE (MEMBER_TEXT, prefix),
        QUEUE (MEMBER_TEXT, service),
        QUEUE (MEMBER_TEXT, kind),
        QUEUE (MEMBER_U32, priority),
        QUEUE (MEMBER_U32, max_attempts),
        QUEUE (MEMBER_REAL, stretch),
        QUEUE (MEMBER_U32, target_ms),
        QUEUE (MEMBER_U32, timeout_ms),
        QUEUE (MEMBER_FLAG, open),
        QUEUE (MEMBER_FLAG, advised),
        QUEUE (MEMBER_REAL, advice_ms),
        QUEUE (MEMBER_REAL, advice_per_server_ms),
        QUEUE (MEMBER_U32, ticket_ms),
        { NULL, MEMBER_FLAG, 0 } };
static const struct ColtMember service_members[]
    = { SERVICE (MEMBER_FLAG, checks_room),
        SERVICE (MEMBER_FLAG, standby),
        { NULL, MEMBER_FLAG, 0 } };
static const struct ColtMember organisation_members[]
    = { ORGANISATION (MEMBER_REAL, weight),
        ORGANISATION (MEMBER_U32, priority),
        MAXIMUM ("maximum_cores_milli", COLT_RESOURCE_CORES),
        MAXIMUM ("maximum_memory_mb", COLT_RESOURCE_MEMORY),
        MAXIMUM ("maximum_accelerators", COLT_RESOURCE_ACCELERATORS),
        { NULL, MEMBER_FLAG, 0 } };
static const struct ColtMember limit_members[]
    = { LIMIT (MEMBER_U32, max_body),
        LIMIT (MEMBER_U32, max_header),
        LIMIT (MEMBER_U32, header_timeout_ms),
        LIMIT (MEMBER_U32, idle_timeout_ms),
        { NULL, MEMBER_FLAG, 0 } };

G_STATIC_ASSERT (offsetof (struct ColtQueueConfig, name) == 0);
G_STATIC_ASSERT (offsetof (struct ColtServiceConfig, name) == 0);
G_STATIC_ASSERT (offsetof (struct ColtOrganisation, name) == 0);

GPtrArray *
colt_fleet_diff (const struct ColtFleet *old, const struct ColtFleet *new)
{
  GPtrArray *changes = g_ptr_array_new_with_free_func (free_change_);

  diff_list_ (changes, "queue", old->queues, new->queues, queue_members);
  diff_list_ (changes, "service", old->services, new->services,
              service_members);
  diff_list_ (changes, "organisation", old->organisations, new->organisations,
              organisation_members);
  diff_keys_ (changes, old, new);
  diff_members_ (changes, "limits", old, new, limit_members);
  return changes;
}

static void
free_change_ (gpointer data)
{
  struct ColtFleetChange *change = data;

  g_free (change->subject);
  g_free (change->old);
  g_free (change->new);
  g_free (change);
}

static void
diff_list_ (GPtrArray *changes,
            const char *what,
            const GPtrArray *old,
            const GPtrArray *new,
            const struct ColtMember *members)
{
  GHashTable *old_names = index_names_ (old);
  GHashTable *new_names = index_names_ (new);
  guint i;

  for (i = 0; i < old->len; i++)
    {
      const char *name = *(char **)g_ptr_array_index (old, i);

      if (!g_hash_table_contains (new_names, name)
          && g_hash_table_lookup (old_names, name)
                 == g_ptr_array_index (old, i))
        add_ (changes, COLT_CHANGE_REMOVED, what, name);
    }
  for (i = 0; i < new->len; i++)
    {
      const void *item = g_ptr_array_index (new, i);
      const char *name = *(char *const *)item;
      const void *former = g_hash_table_lookup (old_names, name);
      char *subject;

      if (g_hash_table_lookup (new_names, name) != item)
        continue;
      if (former == NULL)
        {
          add_ (changes, COLT_CHANGE_ADDED, what, name);
          continue;
        }
      subject = g_strdup_printf ("%s %s", what, name);
      diff_members_ (changes, subject, former, item, members);
      g_free (subject);
    }
  g_hash_table_unref (old_names);
  g_hash_table_unref (new_names);
}

/* Maps each name to the first of the list that has it. */
static GHashTable *
index_names_ (const GPtrArray *list)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  guint i;

  for (i = list->len; i > 0; i--)
    {
      gpointer item = g_ptr_array_index (list, i - 1);

      g_hash_table_replace (names, *(char **)item, item);
    }
  return names;
}

static void
diff_members_ (GPtrArray *changes,
               const char *subject,
               const void *old,
               const void *new,
               const struct ColtMember *members)
{
  for (; members->name != NULL; members++)
    {
      char *before = format_ (old, members);
      char *after = format_ (new, members);

      if (strcmp (before, after) == 0)
        {
          g_free (before);
          g_free (after);
        }
      else
        {
          struct ColtFleetChange *change
              = add_ (changes, COLT_CHANGE_CHANGED, subject, NULL);

          change->member = members->name;
          change->old = before;
          change->new = after;
        }
    }
}

static void
diff_keys_ (GPtrArray *changes,
            const struct ColtFleet *old,
            const struct ColtFleet *new)
{
  GPtrArray *keys = list_keys_ (old);
  char text[COLT_SHORT_KEY_SIZE];
  guint i;

  for (i = 0; i < keys->len; i++)
    {
      const char *key = g_ptr_array_index (keys, i);
      const struct ColtOrganisation *before
          = colt_fleet_find_organisation (old, key);
      const struct ColtOrganisation *after
          = colt_fleet_find_organisation (new, key);
      struct ColtFleetChange *change;

      if (after != NULL && strcmp (before->name, after->name) == 0)
        continue;
      change = add_ (changes,
                     after == NULL ? COLT_CHANGE_REMOVED : COLT_CHANGE_CHANGED,
                     "key", colt_fleet_shorten_key (key, text));
      change->member = "organisation";
      change->old = g_strdup (before->name);
      change->new = after != NULL ? g_strdup (after->name) : NULL;
    }
  g_ptr_array_unref (keys);
  keys = list_keys_ (new);
  for (i = 0; i < keys->len; i++)
    {
      const char *key = g_ptr_array_index (keys, i);
      struct ColtFleetChange *change;

      if (colt_fleet_find_organisation (old, key) != NULL)
        continue;
      change = add_ (changes, COLT_CHANGE_ADDED, "key",
                     colt_fleet_shorten_key (key, text));
      change->member = "organisation";
      change->new = g_strdup (colt_fleet_find_organisation (new, key)->name);
    }
  g_ptr_array_unref (keys);
}

/* Returns each key once, in the order of the configuration. */
static GPtrArray *
list_keys_ (const struct ColtFleet *fleet)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *list = g_ptr_array_new ();
  guint i;
  guint k;

  for (i = 0; i < fleet->organisations->len; i++)
    {
      const struct ColtOrganisation *organisation
          = g_ptr_array_index (fleet->organisations, i);

      for (k = 0; k < organisation->keys->len; k++)
        if (g_hash_table_add (seen, g_ptr_array_index (organisation->keys, k)))
          g_ptr_array_add (list, g_ptr_array_index (organisation->keys, k));
    }
  g_hash_table_unref (seen);
  return list;
}

/* Two values are equal if their texts are. */
static char *
format_ (const void *object, const struct ColtMember *member)
{
  const char *at = (const char *)object + member->offset;
  char number[G_ASCII_DTOSTR_BUF_SIZE];

  switch (member->type)
    {
    case MEMBER_U32:
      return g_strdup_printf ("%u", *(const uint32_t *)at);
    case MEMBER_I64:
      return g_strdup_printf ("%" G_GINT64_FORMAT, *(const int64_t *)at);
    case MEMBER_REAL:
      return g_strdup (g_ascii_formatd (number, sizeof number, "%.15g",
                                        *(const double *)at));
    case MEMBER_FLAG:
      return g_strdup (*(const bool *)at ? "true" : "false");
    case MEMBER_TEXT:
      break;
    }
  return g_strdup (*(char *const *)at != NULL ? *(char *const *)at : "");
}

static struct ColtFleetChange *
add_ (GPtrArray *changes,
      enum ColtFleetChangeKind kind,
      const char *what,
      const char *name)
{
  struct ColtFleetChange *change = g_new0 (struct ColtFleetChange, 1);

  change->kind = kind;
  change->subject
      = name != NULL ? g_strdup_printf ("%s %s", what, name) : g_strdup (what);
  g_ptr_array_add (changes, change);
  return change;
}
