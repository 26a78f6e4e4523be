#include "cell_usage.h"

#include <math.h>
#include <string.h>

/* Shortest time between two records of past use. */
#define RECORD_PERIOD_US (5 * COLT_US_PER_S)
/* The fleet's room and the weights are added up again after this time. */
#define TOTALS_PERIOD_US COLT_US_PER_S
/* Use below this amount of each resource, times seconds, isn't recorded. */
#define AMOUNT_S_MIN 0.001
/* Bytes of an entry's tag and length in its record, and of the record's time.
 */
#define ENTRY_BYTES 6
#define RECORD_BYTES 16
/* Follows the key's first letter in the keys of further records, before the
 * record's number. */
#define PART_MARK '.'
/* Most records that are loaded. */
#define PARTS_MAX 1000
/* Organisations that a log line names. */
#define LOGGED_MAX 5

static bool needs_record_ (const struct ColtCellUsage *usage, int64_t now_us);
static void update_totals_ (struct ColtCell *cell);
static double get_weight_ (const struct ColtCellUsage *usage, double weight);
static struct ColtCellStanding
get_standing_ (const struct ColtCell *cell,
               const struct ColtCellOrganisation *organisation,
               int64_t now_us);
static gint compare_standings_ (gconstpointer a, gconstpointer b);
static void log_handicaps_ (struct ColtCell *cell);
static ColtOrganisationUsage *
create_entry_ (const struct ColtCell *cell,
               const struct ColtCellOrganisation *organisation);
static void add_part_ (struct ColtCellUsage *usage,
                       GArray *records,
                       GPtrArray *entries,
                       uint32_t part,
                       int64_t wall_ms);
static void
add_record_ (GArray *records, uint32_t part, uint8_t *value, size_t size);
static void load_entry_ (struct ColtCell *cell,
                         const ColtOrganisationUsage *entry,
                         int64_t age_us,
                         int64_t now_us);
static void append_label_ (GString *text, const char *name);

struct ColtCellUsage *
colt_cell_create_usage (const struct ColtCellLimits *limits)
{
  struct ColtCellUsage *usage;

  if (limits->half_life_us <= 0)
    return NULL;
  usage = g_new0 (struct ColtCellUsage, 1);
  usage->ledger = colt_usage_ledger_create (limits->half_life_us);
  usage->half_life_us = limits->half_life_us;
  usage->wait_max_us = MAX (limits->wait_max_us, 0);
  usage->waiting = g_ptr_array_new ();
  return usage;
}

void
colt_cell_destroy_usage (struct ColtCellUsage *usage)
{
  if (usage == NULL)
    return;
  colt_usage_ledger_destroy (usage->ledger);
  g_ptr_array_unref (usage->waiting);
  g_free (usage);
}

void
colt_cell_open_account (struct ColtCell *cell,
                        struct ColtCellOrganisation *organisation)
{
  if (cell->usage == NULL)
    return;
  organisation->use = g_new0 (struct ColtCellUse, 1);
  organisation->use->account
      = colt_usage_ledger_add_account (cell->usage->ledger);
}

void
colt_cell_count_use (struct ColtCell *cell,
                     const struct ColtCellRun *run,
                     int64_t now_us)
{
  if (cell->usage == NULL)
    return;
  colt_usage_ledger_start (cell->usage->ledger,
                           run->task->step->job->organisation->use->account,
                           &run->demand, now_us);
  cell->usage->runs++;
}

void
colt_cell_end_use (struct ColtCell *cell,
                   const struct ColtCellRun *run,
                   int64_t now_us)
{
  if (cell->usage == NULL)
    return;
  colt_usage_ledger_end (cell->usage->ledger,
                         run->task->step->job->organisation->use->account,
                         &run->demand, now_us);
  cell->usage->runs--;
  cell->usage->changed = true;
}

void
colt_cell_set_handicaps (struct ColtCell *cell)
{
  struct ColtCellUsage *usage = cell->usage;
  guint i;

  if (usage == NULL)
    return;
  if (usage->totals_us == 0
      || cell->now_us - usage->totals_us >= TOTALS_PERIOD_US)
    update_totals_ (cell);
  usage->pass++;
  usage->least = INFINITY;
  g_ptr_array_set_size (usage->waiting, 0);
  for (i = 0; i < cell->open_steps->len; i++)
    {
      const struct ColtCellStep *step = g_ptr_array_index (cell->open_steps, i);
      struct ColtCellOrganisation *organisation = step->job->organisation;

      if (organisation->use->pass == usage->pass)
        continue;
      organisation->use->pass = usage->pass;
      organisation->use->excess
          = get_standing_ (cell, organisation, cell->now_us).excess;
      usage->least = MIN (usage->least, organisation->use->excess);
      g_ptr_array_add (usage->waiting, organisation);
    }
  for (i = 0; i < usage->waiting->len; i++)
    {
      const struct ColtCellOrganisation *organisation
          = g_ptr_array_index (usage->waiting, i);

      organisation->use->handicap_us = colt_usage_handicap_us (
          organisation->use->excess, usage->least, usage->wait_max_us);
    }
}

void
colt_cell_tick_usage (struct ColtCell *cell, int64_t now_us)
{
  struct ColtCellUsage *usage = cell->usage;

  if (usage == NULL || usage->due || !needs_record_ (usage, now_us))
    return;
  usage->due = true;
  usage->due_us = now_us;
  usage->changed = false;
  log_handicaps_ (cell);
}

bool
colt_cell_is_usage_due (const struct ColtCell *cell)
{
  return cell->usage != NULL && cell->usage->due;
}

void
colt_cell_add_usage_records (struct ColtCell *cell,
                             GArray *records,
                             int64_t wall_ms)
{
  struct ColtCellUsage *usage = cell->usage;
  size_t bytes_max = cell->limits.record_bytes_max;
  size_t bytes = RECORD_BYTES;
  GPtrArray *entries;
  GHashTableIter i;
  gpointer value;
  uint32_t part = 0;

  if (!colt_cell_is_usage_due (cell))
    return;
  usage->due = false;
  usage->recorded = 0;
  entries = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&i, cell->organisations);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      ColtOrganisationUsage *entry = create_entry_ (cell, value);
      size_t size;

      if (entry == NULL)
        continue;
      size = colt_organisation_usage__get_packed_size (entry) + ENTRY_BYTES;
      if (bytes_max > 0 && bytes + size > bytes_max)
        {
          add_part_ (usage, records, entries, part++, wall_ms);
          bytes = RECORD_BYTES;
        }
      g_ptr_array_add (entries, entry);
      bytes += size;
    }
  add_part_ (usage, records, entries, part++, wall_ms);
  g_ptr_array_unref (entries);
  /* The records of parts that are no longer needed are removed. */
  for (; part < usage->stored_parts; usage->stored_parts--)
    add_record_ (records, usage->stored_parts - 1, NULL, 0);
}

bool
colt_cell_load_usage (struct ColtCell *cell,
                      const char *key,
                      const uint8_t *value,
                      size_t size,
                      int64_t now_us,
                      int64_t wall_ms)
{
  const char *mark = strchr (key, PART_MARK);
  guint64 part = mark != NULL ? g_ascii_strtoull (mark + 1, NULL, 10) : 0;
  ColtUsageRecord *record;
  int64_t age_ms;
  size_t i;

  if (cell->usage == NULL)
    return true;
  record = colt_usage_record__unpack (NULL, size, value);
  if (record == NULL || part >= PARTS_MAX)
    {
      if (record != NULL)
        colt_usage_record__free_unpacked (record, NULL);
      return false;
    }
  /* The ledger bounds the age further; here it only must not overflow. */
  age_ms = (int64_t)CLAMP ((double)wall_ms - (double)record->wall_ms,
                           (double)-INT32_MAX * COLT_US_PER_MS,
                           (double)INT32_MAX * COLT_US_PER_MS);
  cell->usage->stored_parts
      = MAX (cell->usage->stored_parts, (uint32_t)part + 1);
  cell->usage->age_ms = age_ms;
  for (i = 0; i < record->n_organisations; i++)
    load_entry_ (cell, record->organisations[i], age_ms * COLT_US_PER_MS,
                 now_us);
  colt_usage_record__free_unpacked (record, NULL);
  return true;
}

void
colt_cell_log_loaded_usage (struct ColtCell *cell)
{
  const struct ColtCellUsage *usage = cell->usage;
  char detail[160];

  if (usage == NULL)
    return;
  if (usage->stored_parts == 0)
    {
      cell->ops->log_decision (
          cell->client, NULL, "past use unknown",
          "no record; it counts from now on, until then work is ordered by "
          "arrival");
      return;
    }
  g_snprintf (detail, sizeof detail,
              "%u organisations, age %" G_GINT64_FORMAT
              " ms by the time of day, of which at most a half-life counts",
              usage->recorded, usage->age_ms);
  cell->ops->log_decision (cell->client, NULL, "past use loaded", detail);
}

GArray *
colt_cell_list_standings (const struct ColtCell *cell)
{
  GArray *standings;
  GHashTableIter i;
  gpointer value;

  if (cell->usage == NULL)
    return NULL;
  standings = g_array_new (FALSE, FALSE, sizeof (struct ColtCellStanding));
  g_hash_table_iter_init (&i, cell->organisations);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const struct ColtCellStanding standing
          = get_standing_ (cell, value, cell->now_us);

      g_array_append_val (standings, standing);
    }
  g_array_sort (standings, compare_standings_);
  return standings;
}

char *
colt_cell_format_usage (const struct ColtCell *cell)
{
  static const char *const names[]
      = { "cell_past_use_ratio", "cell_past_use_place", "cell_handicap_ms" };
  static const char *const helps[]
      = { "Decayed use of an organisation, as a part of the fleet",
          "Place of an organisation by use for its part; 1: the largest",
          "How much longer an organisation's work waits for its past use" };
  GArray *standings = colt_cell_list_standings (cell);
  GString *text = g_string_new (NULL);
  char *copy;
  guint n;
  guint i;

  for (n = 0; standings != NULL && n < G_N_ELEMENTS (names); n++)
    {
      g_string_append_printf (text,
                              "# HELP coltsfootstile_%s %s\n"
                              "# TYPE coltsfootstile_%s gauge\n",
                              names[n], helps[n], names[n]);
      for (i = 0; i < standings->len; i++)
        {
          const struct ColtCellStanding *standing
              = &g_array_index (standings, struct ColtCellStanding, i);
          const double values[]
              = { standing->share, i + 1,
                  (double)standing->handicap_us / COLT_US_PER_MS };

          g_string_append_printf (text, "coltsfootstile_%s{organisation=\"",
                                  names[n]);
          append_label_ (text, standing->organisation->name);
          g_string_append_printf (text, "\"} %.6g\n", values[n]);
        }
    }
  if (standings != NULL)
    g_array_unref (standings);
  copy = strdup (text->str);
  g_string_free (text, TRUE);
  return copy;
}

/* Sums that only decay are recorded before their age exceeds what counts at
 * load. */
static bool
needs_record_ (const struct ColtCellUsage *usage, int64_t now_us)
{
  int64_t age_us = now_us - usage->due_us;

  if (usage->due_us != 0 && age_us < RECORD_PERIOD_US)
    return false;
  return usage->changed || usage->runs > 0
         || (usage->recorded > 0 && age_us >= usage->half_life_us / 2);
}

static void
update_totals_ (struct ColtCell *cell)
{
  struct ColtCellUsage *usage = cell->usage;
  const GPtrArray *configured = cell->fleet->organisations;
  GHashTableIter iter;
  gpointer value;
  guint weighted = 0;
  guint i;

  usage->totals_us = cell->now_us;
  memset (&usage->fleet, 0, sizeof usage->fleet);
  g_hash_table_iter_init (&iter, cell->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtCellServer *server = value;

      if (server->listed)
        colt_resources_add (&usage->fleet, &server->room);
    }
  usage->weight_sum = 0;
  for (i = 0; i < configured->len; i++)
    {
      const struct ColtOrganisation *config = g_ptr_array_index (configured, i);

      if (config->weight <= 0)
        continue;
      usage->weight_sum += config->weight;
      weighted++;
    }
  usage->weight_mean = weighted > 0 ? usage->weight_sum / weighted : 1;
  usage->weight_sum += usage->weight_mean * (configured->len - weighted);
}

static double
get_weight_ (const struct ColtCellUsage *usage, double weight)
{
  return weight > 0 ? weight : usage->weight_mean;
}

static struct ColtCellStanding
get_standing_ (const struct ColtCell *cell,
               const struct ColtCellOrganisation *organisation,
               int64_t now_us)
{
  const struct ColtCellUsage *usage = cell->usage;
  struct ColtCellStanding standing = { organisation, 0, 0, 0, 0 };

  standing.share = colt_usage_ledger_share (
      usage->ledger, organisation->use->account, &usage->fleet, now_us);
  if (usage->weight_sum > 0)
    standing.part
        = get_weight_ (usage, organisation->weight) / usage->weight_sum;
  standing.excess = colt_usage_excess (standing.share, standing.part);
  if (usage->waiting->len > 0)
    standing.handicap_us = colt_usage_handicap_us (
        standing.excess, usage->least, usage->wait_max_us);
  return standing;
}

/* Sorts by excess, the largest first, then by share and name. */
static gint
compare_standings_ (gconstpointer a, gconstpointer b)
{
  const struct ColtCellStanding *left = a;
  const struct ColtCellStanding *right = b;

  if (left->excess != right->excess)
    return left->excess > right->excess ? -1 : 1;
  if (left->share != right->share)
    return left->share > right->share ? -1 : 1;
  return strcmp (left->organisation->name, right->organisation->name);
}

/* Names the organisations of the latest pass with the largest excess, if any of
 * them has a handicap. */
static void
log_handicaps_ (struct ColtCell *cell)
{
  GArray *standings = colt_cell_list_standings (cell);
  GString *text = g_string_new (NULL);
  guint delayed = 0;
  guint i;

  for (i = 0; i < standings->len; i++)
    {
      const struct ColtCellStanding *standing
          = &g_array_index (standings, struct ColtCellStanding, i);
      const struct ColtCellUse *use = standing->organisation->use;

      if (use->pass != cell->usage->pass || standing->handicap_us == 0)
        continue;
      if (delayed++ < LOGGED_MAX)
        g_string_append_printf (
            text,
            "; %.64s place %u, %.3f of the fleet for a part of %.3f, %d ms",
            standing->organisation->name, i + 1, standing->share,
            standing->part, (int)(standing->handicap_us / COLT_US_PER_MS));
    }
  if (delayed > 0)
    {
      char *detail
          = g_strdup_printf ("%u of %u waiting organisations wait "
                             "longer%s",
                             delayed, cell->usage->waiting->len, text->str);

      cell->ops->log_decision (cell->client, NULL, "past use", detail);
      g_free (detail);
    }
  g_string_free (text, TRUE);
  g_array_unref (standings);
}

/* Returns what is recorded of an organisation; NULL: nothing. */
static ColtOrganisationUsage *
create_entry_ (const struct ColtCell *cell,
               const struct ColtCellOrganisation *organisation)
{
  const struct ColtUsage usage = colt_usage_ledger_read (
      cell->usage->ledger, organisation->use->account, cell->usage->due_us);
  ColtOrganisationUsage *entry;
  double most = 0;
  int r;

  for (r = 0; r < COLT_USAGE_RESOURCES; r++)
    most = MAX (most, usage.amount_s[r]);
  if (most < AMOUNT_S_MIN)
    return NULL;
  entry = g_new (ColtOrganisationUsage, 1);
  colt_organisation_usage__init (entry);
  entry->organisation = organisation->name;
  entry->core_s = usage.amount_s[COLT_RESOURCE_CORES];
  entry->memory_s = usage.amount_s[COLT_RESOURCE_MEMORY];
  entry->accelerator_s = usage.amount_s[COLT_RESOURCE_ACCELERATORS];
  return entry;
}

/* Adds a record of entries, and removes these. */
static void
add_part_ (struct ColtCellUsage *usage,
           GArray *records,
           GPtrArray *entries,
           uint32_t part,
           int64_t wall_ms)
{
  ColtUsageRecord record = COLT_USAGE_RECORD__INIT;
  size_t size;
  uint8_t *value;

  record.wall_ms = wall_ms;
  record.n_organisations = entries->len;
  record.organisations = (ColtOrganisationUsage **)entries->pdata;
  usage->recorded += entries->len;
  size = colt_usage_record__get_packed_size (&record);
  value = g_malloc (size + 1);
  colt_usage_record__pack (&record, value);
  add_record_ (records, part, value, size);
  usage->stored_parts = MAX (usage->stored_parts, part + 1);
  g_ptr_array_set_size (entries, 0);
}

static void
add_record_ (GArray *records, uint32_t part, uint8_t *value, size_t size)
{
  struct ColtCellRecord record = { 0 };

  record.key = part == 0
                   ? g_strdup_printf ("%c", USAGE_KEY)
                   : g_strdup_printf ("%c%c%u", USAGE_KEY, PART_MARK, part);
  record.value = value;
  record.size = size;
  g_array_append_val (records, record);
}

static void
load_entry_ (struct ColtCell *cell,
             const ColtOrganisationUsage *entry,
             int64_t age_us,
             int64_t now_us)
{
  const struct ColtUsage usage
      = { { entry->core_s, entry->memory_s, entry->accelerator_s } };

  if (entry->organisation[0] == '\0')
    return;
  colt_usage_ledger_restore (
      cell->usage->ledger,
      colt_cell_get_organisation (cell, entry->organisation)->use->account,
      &usage, age_us, now_us);
  cell->usage->recorded++;
}

/* Appends a label's value with the escapes of the exposition format. */
static void
append_label_ (GString *text, const char *name)
{
  for (; *name != '\0'; name++)
    {
      if (*name == '"' || *name == '\\')
        g_string_append_c (text, '\\');
      if (*name == '\n')
        g_string_append (text, "\\n");
      else
        g_string_append_c (text, *name);
    }
}
