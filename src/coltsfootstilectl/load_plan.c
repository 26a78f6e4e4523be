#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/ini.h"
#include "load.h"

#define NUMBER_MAX INT64_C (1000000000)

enum ColtPlanKind
{
  PLAN_NAME,
  PLAN_TEXT,
  PLAN_NUMBER,
  PLAN_BOOLEAN
};

struct ColtPlanField
{
  const char *key;
  enum ColtPlanKind kind;
  size_t offset;
  int64_t minimum;
  int64_t maximum;
};

struct ColtPlanReader
{
  struct ColtLoadPlan *plan;
  const char *path;
  bool good;
};

#define AT(member) offsetof (struct ColtLoadClass, member)

static const struct ColtPlanField fields[] = {
  { "queue", PLAN_NAME, AT (queue), 0, 0 },
  { "team", PLAN_NAME, AT (team), 0, 0 },
  { "kind", PLAN_NAME, AT (kind), 0, 0 },
  { "key_file", PLAN_TEXT, AT (key_file), 0, 0 },
  { "payload", PLAN_TEXT, AT (payload), 0, 0 },
  { "share", PLAN_NUMBER, AT (share), 1, 1000000 },
  { "cores_milli", PLAN_NUMBER, AT (cores_milli), 0, NUMBER_MAX },
  { "memory_mb", PLAN_NUMBER, AT (memory_mb), 0, NUMBER_MAX },
  { "accelerators", PLAN_NUMBER, AT (accelerators), 0, 1000 },
  { "connections", PLAN_NUMBER, AT (connections), 0, 100000 },
  { "tasks", PLAN_NUMBER, AT (tasks), 1, COLT_TASKS_PER_REQUEST_MAX },
  { "run_ms", PLAN_NUMBER, AT (run_ms), 0, NUMBER_MAX },
  { "true_run_ms_min", PLAN_NUMBER, AT (true_run_ms_min), 0, NUMBER_MAX },
  { "true_run_ms_max", PLAN_NUMBER, AT (true_run_ms_max), 0, NUMBER_MAX },
  { "deadline_ms", PLAN_NUMBER, AT (deadline_ms), 0, NUMBER_MAX },
  { "urgent_permille", PLAN_NUMBER, AT (urgent_permille), 0, 1000 },
  { "idempotent", PLAN_BOOLEAN, AT (idempotent), 0, 0 },
  { "wait", PLAN_BOOLEAN, AT (wait), 0, 0 },
};

static void take_line_ (void *client,
                        const char *section,
                        const char *key,
                        const char *value,
                        int line);
static struct ColtLoadClass *find_class_ (struct ColtPlanReader *reader,
                                          const char *section);
static bool read_value_ (const struct ColtPlanField *field,
                         const char *value,
                         struct ColtLoadClass *class);
static bool read_number_ (const struct ColtPlanField *field,
                          const char *value,
                          int64_t *at);
static bool finish_class_ (struct ColtPlanReader *reader,
                           struct ColtLoadClass *class);
static void report_ (struct ColtPlanReader *reader,
                     int line,
                     const char *section,
                     const char *reason);

bool
colt_load_plan_read (struct ColtLoadPlan *plan, const char *path)
{
  struct ColtPlanReader reader = { plan, path, true };
  struct ColtError error;
  size_t size;
  char *text = colt_ctl_read_file (path, &size, &error);
  int line;
  guint i;

  plan->classes = g_array_new (FALSE, TRUE, sizeof (struct ColtLoadClass));
  plan->share_sum = 0;
  if (text == NULL)
    {
      report_ (&reader, 0, "", error.message);
      return false;
    }
  if (!colt_ini_parse (text, take_line_, &reader, &line, &error))
    report_ (&reader, line, "", error.message);
  if (plan->classes->len == 0)
    report_ (&reader, 0, "", "there is no [class NAME] section");
  for (i = 0; reader.good && i < plan->classes->len; i++)
    reader.good = finish_class_ (
        &reader, &g_array_index (plan->classes, struct ColtLoadClass, i));
  g_free (text);
  return reader.good;
}

void
colt_load_plan_clear (struct ColtLoadPlan *plan)
{
  guint i;

  for (i = 0; i < plan->classes->len; i++)
    g_free (
        g_array_index (plan->classes, struct ColtLoadClass, i).authorization);
  g_array_unref (plan->classes);
}

static void
take_line_ (void *client,
            const char *section,
            const char *key,
            const char *value,
            int line)
{
  struct ColtPlanReader *reader = client;
  struct ColtLoadClass *class = find_class_ (reader, section);
  size_t i;

  if (class == NULL)
    {
      report_ (reader, line, section, "is no [class NAME]");
      return;
    }
  for (i = 0; i < G_N_ELEMENTS (fields); i++)
    if (strcmp (fields[i].key, key) == 0)
      break;
  if (i == G_N_ELEMENTS (fields))
    report_ (reader, line, key, "there is no such key");
  else if (!read_value_ (&fields[i], value, class))
    report_ (reader, line, key, "the value is out of range or malformed");
}

static struct ColtLoadClass *
find_class_ (struct ColtPlanReader *reader, const char *section)
{
  GArray *classes = reader->plan->classes;
  struct ColtLoadClass fresh = { .share = 1,
                                 .cores_milli = 1000,
                                 .memory_mb = 256,
                                 .tasks = 1,
                                 .wait = true,
                                 .idempotent = true };
  const char *name = section + strlen ("class ");
  guint i;

  if (strncmp (section, "class ", strlen ("class ")) != 0
      || !colt_name_is_valid (name))
    return NULL;
  for (i = 0; i < classes->len; i++)
    if (strcmp (g_array_index (classes, struct ColtLoadClass, i).name, name)
        == 0)
      return &g_array_index (classes, struct ColtLoadClass, i);
  if (classes->len == COLT_LOAD_CLASSES_MAX)
    return NULL;
  g_strlcpy (fresh.name, name, sizeof fresh.name);
  g_strlcpy (fresh.kind, "interactive", sizeof fresh.kind);
  g_strlcpy (fresh.payload, "run_ms={run_ms};seed={seed}",
             sizeof fresh.payload);
  g_array_append_val (classes, fresh);
  return &g_array_index (classes, struct ColtLoadClass, i);
}

static bool
read_value_ (const struct ColtPlanField *field,
             const char *value,
             struct ColtLoadClass *class)
{
  void *at = (char *)class + field->offset;

  switch (field->kind)
    {
    case PLAN_NAME:
      g_strlcpy (at, value, COLT_NAME_SIZE);
      return colt_name_is_valid (value);
    case PLAN_TEXT:
      g_strlcpy (at, value, COLT_LOAD_PAYLOAD_SIZE);
      return value[0] != '\0' && strlen (value) < COLT_LOAD_PAYLOAD_SIZE;
    case PLAN_NUMBER:
      return read_number_ (field, value, at);
    case PLAN_BOOLEAN:
      *(bool *)at = strcmp (value, "yes") == 0;
      return *(bool *)at || strcmp (value, "no") == 0;
    }
  return false;
}

static bool
read_number_ (const struct ColtPlanField *field, const char *value, int64_t *at)
{
  char *end;

  errno = 0;
  *at = strtoll (value, &end, 10);
  return end != value && *end == '\0' && errno == 0 && *at >= field->minimum
         && *at <= field->maximum;
}

static bool
finish_class_ (struct ColtPlanReader *reader, struct ColtLoadClass *class)
{
  enum ColtWorkKind kind;
  struct ColtError error;
  char *secret;

  if (class->true_run_ms_max < class->true_run_ms_min)
    class->true_run_ms_max = class->true_run_ms_min;
  reader->plan->share_sum += class->share;
  if (class->queue[0] == '\0')
    report_ (reader, 0, class->name, "queue is required");
  if (!colt_work_kind_parse (class->kind, &kind))
    report_ (reader, 0, class->name, "there is no such kind of work");
  if (class->key_file[0] == '\0')
    return reader->good;
  secret = colt_ctl_read_secret (class->key_file, &error);
  if (secret != NULL)
    class->authorization = g_strconcat ("Bearer ", secret, NULL);
  else
    report_ (reader, 0, class->name, error.message);
  g_free (secret);
  return reader->good;
}

static void
report_ (struct ColtPlanReader *reader,
         int line,
         const char *section,
         const char *reason)
{
  fprintf (stderr, "%s:%d: %s: %s\n", reader->path, line, section, reason);
  reader->good = false;
}
