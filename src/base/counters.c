#include "coltsfootstile/counters.h"

#include <assert.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define METRIC_PREFIX "coltsfootstile_"

struct ColtCounter
{
  char *name;
  char *help;
  enum ColtCounterKind kind;
  int64_t value;
};

struct ColtCounters
{
  GArray *items; /* of struct ColtCounter */
};

static struct ColtCounter *get_counter_ (const struct ColtCounters *counters,
                                         uint32_t handle);
static void free_counter_ (gpointer data);
static void format_counter_ (void *client,
                             const char *name,
                             const char *help,
                             enum ColtCounterKind kind,
                             int64_t value);

struct ColtCounters *
colt_counters_create (void)
{
  struct ColtCounters *counters = g_new0 (struct ColtCounters, 1);

  counters->items = g_array_new (FALSE, TRUE, sizeof (struct ColtCounter));
  g_array_set_clear_func (counters->items, free_counter_);
  return counters;
}

void
colt_counters_destroy (struct ColtCounters *counters)
{
  if (counters == NULL)
    return;
  g_array_unref (counters->items);
  g_free (counters);
}

uint32_t
colt_counters_register (struct ColtCounters *counters,
                        enum ColtCounterKind kind,
                        const char *name,
                        const char *help)
{
  struct ColtCounter item = { g_strdup (name), g_strdup (help), kind, 0 };

  g_array_append_val (counters->items, item);
  return counters->items->len - 1;
}

void
colt_counters_increment (struct ColtCounters *counters,
                         uint32_t handle,
                         int64_t amount)
{
  get_counter_ (counters, handle)->value += amount;
}

void
colt_counters_set (struct ColtCounters *counters,
                   uint32_t handle,
                   int64_t value)
{
  get_counter_ (counters, handle)->value = value;
}

int64_t
colt_counters_get (const struct ColtCounters *counters, uint32_t handle)
{
  return get_counter_ (counters, handle)->value;
}

void
colt_counters_visit (const struct ColtCounters *counters,
                     void (*visit) (void *client,
                                    const char *name,
                                    const char *help,
                                    enum ColtCounterKind kind,
                                    int64_t value),
                     void *client)
{
  uint32_t i;

  for (i = 0; i < counters->items->len; i++)
    {
      const struct ColtCounter *item = get_counter_ (counters, i);

      visit (client, item->name, item->help, item->kind, item->value);
    }
}

char *
colt_counters_format (const struct ColtCounters *counters)
{
  GString *text = g_string_new (NULL);

  colt_counters_visit (counters, format_counter_, text);
  return g_string_free (text, FALSE);
}

static struct ColtCounter *
get_counter_ (const struct ColtCounters *counters, uint32_t handle)
{
  assert (handle < counters->items->len);
  return &g_array_index (counters->items, struct ColtCounter, handle);
}

static void
free_counter_ (gpointer data)
{
  struct ColtCounter *item = data;

  g_free (item->name);
  g_free (item->help);
}

static void
format_counter_ (void *client,
                 const char *name,
                 const char *help,
                 enum ColtCounterKind kind,
                 int64_t value)
{
  g_string_append_printf (
      client,
      "# HELP " METRIC_PREFIX "%s %s\n"
      "# TYPE " METRIC_PREFIX "%s %s\n" METRIC_PREFIX "%s %" PRId64 "\n",
      name, help, name, kind == COLT_COUNTER_TOTAL ? "counter" : "gauge", name,
      value);
}
