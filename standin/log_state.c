#include "log_state.h"

#include <assert.h>
#include <glib.h>

#include "coltsfootstile/clock.h"

/* Number of dropped records at which they are removed from the array. */
#define TRIM_STEP 1024

struct ColtStandinLogRecord
{
  int64_t written_us;
  char *body;
};

struct ColtStandinLog
{
  struct ColtStandinLogLimits limits;
  GArray *records;  /* of struct ColtStandinLogRecord */
  guint dropped;    /* records at the start of the array that were dropped */
  int64_t first;    /* offset of the oldest record kept */
  int64_t window_s; /* second in which appends are counted */
  int64_t window_count; /* appends in window_s */
};

static struct ColtStandinLogRecord *
get_record_ (const struct ColtStandinLog *log, guint index);
static void drop_oldest_ (struct ColtStandinLog *log);

struct ColtStandinLog *
colt_standin_log_create (const struct ColtStandinLogLimits *limits)
{
  struct ColtStandinLog *log = g_new0 (struct ColtStandinLog, 1);

  log->limits = *limits;
  log->window_s = -1;
  log->records
      = g_array_new (FALSE, FALSE, sizeof (struct ColtStandinLogRecord));
  return log;
}

void
colt_standin_log_destroy (struct ColtStandinLog *log)
{
  guint i;

  if (log == NULL)
    return;
  for (i = log->dropped; i < log->records->len; i++)
    g_free (get_record_ (log, i)->body);
  g_array_unref (log->records);
  g_free (log);
}

bool
colt_standin_log_append (struct ColtStandinLog *log,
                         int64_t now_us,
                         const char *body,
                         int64_t *offset)
{
  struct ColtStandinLogRecord record = { now_us, NULL };

  if (now_us / COLT_US_PER_S != log->window_s)
    {
      log->window_s = now_us / COLT_US_PER_S;
      log->window_count = 0;
    }
  if (log->window_count >= log->limits.appends_per_s)
    return false;
  log->window_count++;
  record.body = g_strdup (body);
  *offset = colt_standin_log_head (log);
  g_array_append_val (log->records, record);
  colt_standin_log_expire (log, now_us);
  return true;
}

void
colt_standin_log_expire (struct ColtStandinLog *log, int64_t now_us)
{
  while (log->dropped < log->records->len)
    {
      int64_t kept = log->records->len - log->dropped;
      int64_t age_us = now_us - get_record_ (log, log->dropped)->written_us;

      if (kept <= log->limits.retain_records && age_us < log->limits.retain_us)
        break;
      drop_oldest_ (log);
    }
  if (log->dropped < TRIM_STEP)
    return;
  g_array_remove_range (log->records, 0, log->dropped);
  log->dropped = 0;
}

int64_t
colt_standin_log_first (const struct ColtStandinLog *log)
{
  return log->first;
}

int64_t
colt_standin_log_head (const struct ColtStandinLog *log)
{
  return log->first + log->records->len - log->dropped;
}

const char *
colt_standin_log_body (const struct ColtStandinLog *log, int64_t offset)
{
  assert (offset >= log->first && offset < colt_standin_log_head (log));
  return get_record_ (log, log->dropped + (guint)(offset - log->first))->body;
}

static struct ColtStandinLogRecord *
get_record_ (const struct ColtStandinLog *log, guint index)
{
  return &g_array_index (log->records, struct ColtStandinLogRecord, index);
}

static void
drop_oldest_ (struct ColtStandinLog *log)
{
  g_free (get_record_ (log, log->dropped)->body);
  log->dropped++;
  log->first++;
}
