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

#define OFFSET(member) offsetof (struct ColtLoadClass, member)

static const struct ColtPlanField fields[] = {
  { "queue", PLAN_NAME, OFFSET (queue), 0, 0 },
  { "team", PLAN_NAME, OFFSET (team), 0, 0 },
  { "kind", PLAN_NAME, OFFSET (kind), 0, 0 },
  { "key_file", PLAN_TEXT, OFFSET (key_file), 0, 0 },
  { "payload", PLAN_TEXT, OFFSET (payload), 0, 0 },
  { "share", PLAN_NUMBER, OFFSET (share), 1, 1000000 },
  { "cores_milli", PLAN_NUMBER, OFFSET (cores_milli), 0, NUMBER_MAX },
  { "memory_mb", PLAN_NUMBER, OFFSET (memory_mb), 0, NUMBER_MAX },
  { "accelerators", PLAN_NUMBER, OFFSET (accelerators), 0, 1000 },
  { "connections", PLAN_NUMBER, OFFSET (connections), 0, 100000 },
  { "tasks", PLAN_NUMBER, OFFSET (tasks), 1, COLT_TASKS_PER_REQUEST_MAX },
  { "run_ms", PLAN_NUMBER, OFFSET (run_ms), 0, NUMBER_MAX },
  { "true_run_ms_min", PLAN_NUMBER, OFFSET (true_run_ms_min), 0, NUMBER_MAX },
  { "true_run_ms_max", PLAN_NUMBER, OFFSET (true_run_ms_max), 0, NUMBER_MAX },
  { "deadline_ms", PLAN_NUMBER, OFFSET (deadline_ms), 0, NUMBER_MAX },
  { "urgent_permille", PLAN_NUMBER, OFFSET (urgent_permille), 0, 1000 },
  { "idempotent", PLAN_BOOLEAN, OFFSET (idempotent), 0, 0 },
  { "wait", PLAN_BOOLEAN, OFFSET (wait), 0, 0 },
};

static void handle_line_ (void *client,
                          const char *section,
                          const char *key,
                          const char *value,
                          int line);
static struct ColtLoadClass *find_or_add_class_ (struct ColtPlanReader *reader,
                                                 const char *section);
static bool parse_value_ (const struct ColtPlanField *field,
                          const char *value,
                          struct ColtLoadClass *class);
static bool parse_number_ (const struct ColtPlanField *field,
                           const char *value,
                           int64_t *destination);
static bool complete_class_ (struct ColtPlanReader *reader,
                             struct ColtLoadClass *class);
static void report_problem_ (struct ColtPlanReader *reader,
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
      report_problem_ (&reader, 0, "", error.message);
      return false;
    }
  if (!colt_ini_parse (text, handle_line_, &reader, &line, &error))
    report_problem_ (&reader, line, "", error.message);
  if (plan->classes->len == 0)
    report_problem_ (&reader, 0, "", "no [class NAME] section in the plan");
  for (i = 0; reader.good && i < plan->classes->len; i++)
    reader.good = complete_class_ (
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
handle_line_ (void *client,
              const char *section,
              const char *key,
              const char *value,
              int line)
{
  struct ColtPlanReader *reader = client;
  struct ColtLoadClass *class = find_or_add_class_ (reader, section);
  size_t i;

  if (class == NULL)
    {
      report_problem_ (reader, line, section, "not a [class NAME] section");
      return;
    }
  for (i = 0; i < G_N_ELEMENTS (fields); i++)
    if (strcmp (fields[i].key, key) == 0)
      break;
  if (i == G_N_ELEMENTS (fields))
    report_problem_ (reader, line, key, "unknown key");
  else if (!parse_value_ (&fields[i], value, class))
    report_problem_ (reader, line, key, "value is malformed or out of range");
}

static struct ColtLoadClass *
find_or_add_class_ (struct ColtPlanReader *reader, const char *section)
{
  GArray *classes = reader->plan->classes;
  struct ColtLoadClass added = { .share = 1,
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
  g_strlcpy (added.name, name, sizeof added.name);
  g_strlcpy (added.kind, "interactive", sizeof added.kind);
  g_strlcpy (added.payload, "run_ms={run_ms};seed={seed}",
             sizeof added.payload);
  g_array_append_val (classes, added);
  return &g_array_index (classes, struct ColtLoadClass, i);
}

static bool
parse_value_ (const struct ColtPlanField *field,
              const char *value,
              struct ColtLoadClass *class)
{
  void *destination = (char *)class + field->offset;

  switch (field->kind)
    {
    case PLAN_NAME:
      g_strlcpy (destination, value, COLT_NAME_SIZE);
      return colt_name_is_valid (value);
    case PLAN_TEXT:
      g_strlcpy (destination, value, COLT_LOAD_PAYLOAD_SIZE);
      return value[0] != '\0' && strlen (value) < COLT_LOAD_PAYLOAD_SIZE;
    case PLAN_NUMBER:
      return parse_number_ (field, value, destination);
    case PLAN_BOOLEAN:
      *(bool *)destination = strcmp (value, "yes") == 0;
      return *(bool *)destination || strcmp (value, "no") == 0;
    }
  return false;
}

static bool
parse_number_ (const struct ColtPlanField *field,
               const char *value,
               int64_t *destination)
{
  char *end;

  errno = 0;
  *destination = strtoll (value, &end, 10);
  return end != value && *end == '\0' && errno == 0
         && *destination >= field->minimum && *destination <= field->maximum;
}

static bool
complete_class_ (struct ColtPlanReader *reader, struct ColtLoadClass *class)
{
  enum ColtWorkKind kind;
  struct ColtError error;
  char *secret;

  if (class->true_run_ms_max < class->true_run_ms_min)
    class->true_run_ms_max = class->true_run_ms_min;
  reader->plan->share_sum += class->share;
  if (class->queue[0] == '\0')
    report_problem_ (reader, 0, class->name, "queue is required");
  if (!colt_work_kind_parse (class->kind, &kind))
    report_problem_ (reader, 0, class->name, "unknown kind of work");
  if (class->key_file[0] == '\0')
    return reader->good;
  secret = colt_ctl_read_secret (class->key_file, &error);
  if (secret != NULL)
    class->authorization = g_strconcat ("Bearer ", secret, NULL);
  else
    report_problem_ (reader, 0, class->name, error.message);
  g_free (secret);
  return reader->good;
}

static void
report_problem_ (struct ColtPlanReader *reader,
                 int line,
                 const char *section,
                 const char *reason)
{
  fprintf (stderr, "%s:%d: %s: %s\n", reader->path, line, section, reason);
  reader->good = false;
}
