#include <string.h>

#include "cell_private.h"
#include "cell_progress.h"
#include "cell_zones.h"
#include "coltsfootstile/guard.h"

/* Pause of a server after it rejected a start for lack of room; its next report
 * arrives meanwhile. */
#define NO_ROOM_PAUSE_US (500 * COLT_US_PER_MS)
/* Pause of a server after it rejected a start as unhealthy. */
#define BUSY_PAUSE_US (1000 * COLT_US_PER_MS)
/* Pause of a step after a server rejected its ticket. */
#define TICKET_PAUSE_US (10 * COLT_US_PER_MS)

/* Character that marks a label as the name of a rack; other labels name a kind
 * of server. */
#define RACK_MARK '-'

static void set_labels_ (struct ColtCellServer *server,
                         const char *const *labels);
static bool update_incarnation_ (struct ColtCellServer *server,
                                 int64_t incarnation_ms);
static bool is_same_run_ (const struct ColtCellTask *task,
                          const struct ColtCellServer *server,
                          uint32_t run);
static void apply_finished_ (struct ColtCell *cell,
                             struct ColtCellServer *server,
                             const struct ColtFinishedEntry *entry,
                             int64_t now_us);
static void apply_running_ (struct ColtCell *cell,
                            struct ColtCellServer *server,
                            const struct ColtRunningEntry *entry,
                            uint64_t number,
                            uint64_t call_number,
                            int64_t now_us);
static struct ColtCellRun *adopt_run_ (struct ColtCell *cell,
                                       struct ColtCellServer *server,
                                       struct ColtCellTask *task,
                                       uint32_t number,
                                       int64_t now_us);
static bool is_reflected_ (const struct ColtCellRun *run, uint64_t call_number);
static bool is_lost_ (const struct ColtCellRun *run,
                      const struct ColtServerLoss *loss);
static void end_unlisted_runs_ (struct ColtCell *cell,
                                struct ColtCellServer *server,
                                uint64_t number,
                                const struct ColtServerReport *report,
                                int64_t now_us);
static bool was_on_earlier_incarnation_ (const struct ColtCellRun *run);
static void log_lapsed_ (struct ColtCell *cell,
                         const struct ColtCellServer *server,
                         const struct ColtServerReport *report,
                         guint lapsed);
static void expire_ticket_ (struct ColtCellStep *step,
                            struct ColtCellServer *server);

struct ColtCellServer *
colt_cell_find_server (const struct ColtCell *cell, const char *id)
{
  return g_hash_table_lookup (cell->servers, id);
}

struct ColtCellServer *
colt_cell_get_server (struct ColtCell *cell, const char *id)
{
  struct ColtCellServer *server = colt_cell_find_server (cell, id);

  if (server != NULL)
    return server;
  server = g_new0 (struct ColtCellServer, 1);
  server->id = g_strdup (id);
  server->runs = g_ptr_array_new ();
  g_hash_table_insert (cell->servers, server->id, server);
  colt_cell_assign_kind (cell, server);
  return server;
}

struct ColtCellPool *
colt_cell_get_pool (struct ColtCell *cell, const char *service)
{
  struct ColtCellPool *pool = g_hash_table_lookup (cell->pools, service);

  if (pool == NULL)
    {
      pool = g_new0 (struct ColtCellPool, 1);
      pool->name = g_strdup (service);
      pool->servers = g_ptr_array_new ();
      g_hash_table_insert (cell->pools, pool->name, pool);
    }
  return pool;
}

void
colt_cell_free_server (gpointer data)
{
  struct ColtCellServer *server = data;

  g_ptr_array_unref (server->runs);
  g_strfreev (server->labels);
  g_free (server->rack);
  g_free (server->zone);
  g_free (server->address);
  g_free (server->id);
  g_free (server);
}

void
colt_cell_set_server (struct ColtCell *cell,
                      const struct ColtServerEntry *entry,
                      int64_t now_us)
{
  struct ColtCellServer *server = colt_cell_get_server (cell, entry->id);
  struct ColtCellPool *pool = colt_cell_get_pool (cell, entry->service);

  /* Runs may already be on the incarnation that the entry shows, as entries
   * lag. Its first report lists them; the others end then. */
  if (update_incarnation_ (server, entry->incarnation_ms))
    {
      server->reported = false;
      if (!colt_guard_on (COLT_GUARD_RESTART_REPORT))
        colt_cell_end_server_runs (cell, entry->id, now_us);
    }
  if (server->pool != pool)
    {
      if (server->pool != NULL)
        g_ptr_array_remove_fast (server->pool->servers, server);
      server->pool = pool;
      g_ptr_array_add (pool->servers, server);
    }
  g_free (server->address);
  server->address = g_strdup (entry->address);
  g_free (server->zone);
  server->zone = g_strdup (entry->zone);
  server->evacuated = colt_cell_is_zone_evacuated (cell, entry->zone);
  colt_cold_ramp_update (&server->cold, entry->cold_ms,
                         entry->incarnation_ms != server->entry_incarnation_ms,
                         now_us);
  server->entry_incarnation_ms = entry->incarnation_ms;
  server->room = entry->room;
  server->ready = entry->ready;
  if (!entry->ready)
    server->draining_incarnation_ms = entry->incarnation_ms;
  server->listed = true;
  set_labels_ (server, entry->labels);
  colt_cell_assign_kind (cell, server);
}

void
colt_cell_unlist_server (struct ColtCell *cell, const char *id)
{
  struct ColtCellServer *server = colt_cell_find_server (cell, id);

  if (server != NULL)
    server->listed = false;
}

bool
colt_cell_apply_report (struct ColtCell *cell,
                        const char *id,
                        const struct ColtServerReport *report,
                        int64_t now_us)
{
  struct ColtCellServer *server = colt_cell_find_server (cell, id);
  uint64_t number = ++cell->reports;
  size_t i;

  if (server == NULL)
    return false;
  if (colt_guard_on (COLT_GUARD_RESTART_REPORT))
    update_incarnation_ (server, report->incarnation_ms);
  server->foreign_runs = 0;
  for (i = 0; i < report->finished_count; i++)
    apply_finished_ (cell, server, &report->finished[i], now_us);
  for (i = 0; i < report->running_count; i++)
    apply_running_ (cell, server, &report->running[i], number,
                    report->call_number, now_us);
  end_unlisted_runs_ (cell, server, number, report, now_us);
  server->unreachable = false;
  server->reported = true;
  server->replaced = false;
  server->may_have_more = report->may_have_more;
  if (server->awaited && !report->may_have_more)
    {
      server->awaited = false;
      colt_cell_check_settled (cell, now_us);
    }
  return true;
}

void
colt_cell_apply_start_result (struct ColtCell *cell,
                              const char *server_id,
                              const char *task_name,
                              uint32_t number,
                              enum ColtStartResult result,
                              uint64_t next_call,
                              int64_t now_us)
{
  struct ColtCellServer *server = colt_cell_find_server (cell, server_id);
  struct ColtCellTask *task = colt_cell_find_task (cell, task_name);

  if (result != COLT_START_TAKEN)
    cell->stats.refused_starts++;
  if (server != NULL && server->evacuated && result == COLT_START_NOT_SENT)
    cell->stats.withdrawn_starts++;
  if (server == NULL || task == NULL || !is_same_run_ (task, server, number))
    return;
  switch (result)
    {
    case COLT_START_TAKEN:
      cell->stats.started++;
      task->current->start_resolved = true;
      task->current->reflected_from = next_call;
      /* A report may have listed the run already. */
      if (task->current->state == RUN_STOPPING)
        return;
      task->current->started_us = now_us;
      task->current->answered = true;
      return;
    case COLT_START_NO_ROOM:
      server->avoid_until_us
          = MAX (server->avoid_until_us, now_us + NO_ROOM_PAUSE_US);
      break;
    case COLT_START_BAD_TICKET:
      expire_ticket_ (task->step, server);
      task->step->not_before_us = now_us + TICKET_PAUSE_US;
      break;
    case COLT_START_BUSY:
      server->avoid_until_us
          = MAX (server->avoid_until_us, now_us + BUSY_PAUSE_US);
      break;
    case COLT_START_NOT_SENT:
    case COLT_START_INVALID:
    case COLT_START_STALE:
    case COLT_START_LATE:
    case COLT_START_FENCED:
      break;
    case COLT_START_GONE:
      colt_cell_lose_run (cell, task->current, true, now_us);
      return;
    case COLT_START_UNKNOWN:
      /* The order usually took effect; the report of next_call shows it. */
      task->current->start_resolved = true;
      task->current->start_unknown = true;
      task->current->reflected_from = next_call;
      return;
    }
  colt_cell_end_run (cell, task->current, COLT_RUN_STOPPED, NULL, now_us);
}

void
colt_cell_apply_stop_result (struct ColtCell *cell,
                             const char *server_id,
                             const char *task_name,
                             uint32_t number,
                             bool answered,
                             uint64_t next_call,
                             int64_t now_us)
{
  struct ColtCellServer *server = colt_cell_find_server (cell, server_id);
  struct ColtCellTask *task = colt_cell_find_task (cell, task_name);

  (void)now_us;
  if (server == NULL || task == NULL || !is_same_run_ (task, server, number)
      || task->current->state != RUN_STOPPING || !answered)
    return;
  task->current->stop_answered = true;
  colt_cell_unlist_stop (cell, task->current);
  task->current->stopped_where_listed
      = task->current->confirmed_us != 0
        && task->current->incarnation_ms == server->incarnation_ms;

  if (!task->current->answered)
    {
      task->current->answered = true;
      task->current->reflected_from = next_call;
    }
}

void
colt_cell_set_unreachable (struct ColtCell *cell, const char *id)
{
  struct ColtCellServer *server = colt_cell_find_server (cell, id);

  if (server == NULL)
    return;
  if (!server->unreachable)
    colt_cell_count_lost_server (cell, server);
  server->unreachable = true;
  server->may_have_more = false;
}

void
colt_cell_set_suspected (struct ColtCell *cell, const char *id, bool suspected)
{
  struct ColtCellServer *server = colt_cell_find_server (cell, id);

  if (server != NULL)
    server->suspected = suspected;
}

void
colt_cell_end_server_runs (struct ColtCell *cell,
                           const char *id,
                           int64_t now_us)
{
  const struct ColtServerLoss loss = { .all = true };

  colt_cell_apply_loss (cell, id, &loss, now_us);
}

void
colt_cell_replace_server (struct ColtCell *cell, const char *id, int64_t now_us)
{
  const struct ColtServerLoss loss = { .ended = true, .all = true };

  colt_cell_apply_loss (cell, id, &loss, now_us);
}

void
colt_cell_apply_loss (struct ColtCell *cell,
                      const char *id,
                      const struct ColtServerLoss *loss,
                      int64_t now_us)
{
  struct ColtCellServer *server = colt_cell_find_server (cell, id);
  guint i;

  if (server == NULL)
    return;
  i = server->runs->len;
  while (i-- > 0)
    if (i < server->runs->len
        && is_lost_ (g_ptr_array_index (server->runs, i), loss))
      colt_cell_lose_run (cell, g_ptr_array_index (server->runs, i),
                          loss->ended, now_us);
  server->reported = false;
  server->replaced = loss->ended;
  server->may_have_more = false;
  server->foreign_runs = 0;
  if (server->awaited)
    {
      server->awaited = false;
      colt_cell_check_settled (cell, now_us);
    }
}

size_t
colt_cell_count_runs (const struct ColtCell *cell, const char *id)
{
  const struct ColtCellServer *server = colt_cell_find_server (cell, id);

  return server != NULL ? colt_cell_count_server_runs (server) : 0;
}

const struct ColtCellServer *
colt_cell_server (const struct ColtCell *cell, const char *id)
{
  return colt_cell_find_server (cell, id);
}

size_t
colt_cell_count_server_runs (const struct ColtCellServer *server)
{
  return server->runs->len + server->foreign_runs;
}

bool
colt_cell_may_have_runs (const struct ColtCell *cell, const char *id)
{
  const struct ColtCellServer *server = colt_cell_find_server (cell, id);

  return server != NULL
         && (server->runs->len + server->foreign_runs > 0
             || (!cell->settled && server->awaited));
}

bool
colt_cell_may_start (const struct ColtCell *cell,
                     const char *server_id,
                     const char *task_name,
                     uint32_t number)
{
  const struct ColtCellServer *server = colt_cell_find_server (cell, server_id);
  const struct ColtCellTask *task = colt_cell_find_task (cell, task_name);

  return server != NULL && task != NULL && is_same_run_ (task, server, number)
         && task->current->state != RUN_STOPPING && !server->evacuated;
}

int64_t
colt_cell_incarnation_ms (const struct ColtCell *cell, const char *id)
{
  const struct ColtCellServer *server = colt_cell_find_server (cell, id);

  return server != NULL ? server->incarnation_ms : 0;
}

/* Marks the orders of earlier leaders as reconciled once each server that may
 * have got one has reported all or lost its leases. After settle_deadline_us,
 * when all those leases must have expired, only servers that still list ends
 * are awaited. */
void
colt_cell_check_settled (struct ColtCell *cell, int64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  if (cell->settled)
    return;
  g_hash_table_iter_init (&i, cell->servers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const struct ColtCellServer *server = value;

      if (server->awaited
          && (now_us < cell->settle_deadline_us || server->may_have_more))
        return;
    }
  cell->settled = true;
  g_hash_table_iter_init (&i, cell->organisations);
  while (g_hash_table_iter_next (&i, NULL, &value))
    memset (&((struct ColtCellOrganisation *)value)->unsettled_demand, 0,
            sizeof (struct ColtResources));
  cell->ops->log_decision (cell->client, NULL,
                           "orders of earlier leaders reconciled", "");
}

static void
set_labels_ (struct ColtCellServer *server, const char *const *labels)
{
  size_t i;

  g_strfreev (server->labels);
  server->labels = g_strdupv ((char **)labels);
  g_clear_pointer (&server->rack, g_free);
  for (i = 0; labels != NULL && labels[i] != NULL; i++)
    if (strchr (labels[i], RACK_MARK) != NULL)
      server->rack = g_strdup (labels[i]);
}

/* Returns whether the server has been restarted. */
static bool
update_incarnation_ (struct ColtCellServer *server, int64_t incarnation_ms)
{
  bool restarted
      = server->incarnation_ms != 0 && incarnation_ms > server->incarnation_ms;

  if (incarnation_ms <= server->incarnation_ms)
    return false;
  server->incarnation_ms = incarnation_ms;
  server->log_slowness = 0;
  server->samples = 0;
  if (restarted)
    colt_cell_reset_probation (server);
  return restarted;
}

static bool
is_same_run_ (const struct ColtCellTask *task,
              const struct ColtCellServer *server,
              uint32_t run)
{
  return task->current != NULL && task->current->server == server
         && task->current->run == run;
}

/* Applies the reported end of a run. As a run counts as lost once its leases
 * have expired, the end of one that isn't the current one may be reported:
 * done, it completes its task; failed, it counts if an earlier leader started
 * it and the record of that leader doesn't include it. */
static void
apply_finished_ (struct ColtCell *cell,
                 struct ColtCellServer *server,
                 const struct ColtFinishedEntry *entry,
                 int64_t now_us)
{
  struct ColtCellTask *task = colt_cell_find_task (cell, entry->task);
  struct ColtCellRun *run;

  if (task == NULL || task->done)
    {
      if (task != NULL && is_same_run_ (task, server, entry->run))
        colt_cell_end_run (cell, task->current, entry->how, NULL, now_us);
      return;
    }
  if (is_same_run_ (task, server, entry->run))
    {
      colt_cell_end_run (cell, task->current, entry->how, entry->checkpoint,
                         now_us);
      return;
    }
  if (colt_cell_is_ended (task->step->job))
    return;
  if (entry->how == COLT_RUN_FAILED)
    {
      colt_cell_count_earlier_failure (cell, task, entry->run, now_us);
      return;
    }
  if (task->current != NULL || entry->run <= task->last_run)
    {
      if (entry->how == COLT_RUN_DONE && !task->step->spec->lasting)
        colt_cell_complete_by_earlier_run (cell, task, server, entry->run,
                                           now_us);
      return;
    }
  run = adopt_run_ (cell, server, task, entry->run, now_us);
  colt_cell_end_run (cell, run, entry->how, entry->checkpoint, now_us);
}

static void
apply_running_ (struct ColtCell *cell,
                struct ColtCellServer *server,
                const struct ColtRunningEntry *entry,
                uint64_t number,
                uint64_t call_number,
                int64_t now_us)
{
  struct ColtCellTask *task = colt_cell_find_task (cell, entry->task);
  struct ColtCellRun *run;

  if (task != NULL && task->current == NULL && !task->done
      && entry->run > task->last_run && !colt_cell_is_ended (task->step->job))
    {
      run = adopt_run_ (cell, server, task, entry->run, now_us);
      run->reflected_from = call_number;
    }
  if (task == NULL || !is_same_run_ (task, server, entry->run))
    {
      server->foreign_runs++;
      cell->ops->stop (cell->client, server->id, entry->task, entry->run);
      return;
    }
  run = task->current;
  run->start_resolved = true;
  run->listed_report = number;
  colt_cell_confirm_run (cell, run, entry->percent, now_us);
  if (run->state <= RUN_STARTING)
    run->state = RUN_RUNNING;
  if (run->start_unknown)
    {
      run->start_unknown = false;
      run->answered = true;
      run->started_us = run->ordered_us;
    }
  if (!task->done && entry->checkpoint[0] != '\0'
      && colt_cell_can_store_checkpoint (cell, entry->checkpoint)
      && g_strcmp0 (task->checkpoint, entry->checkpoint) != 0)
    {
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (entry->checkpoint);
      colt_cell_mark_entry (task);
    }
}

static struct ColtCellRun *
adopt_run_ (struct ColtCell *cell,
            struct ColtCellServer *server,
            struct ColtCellTask *task,
            uint32_t number,
            int64_t now_us)
{
  struct ColtCellRun *run
      = colt_cell_add_run (cell, task, server, number, now_us);
  struct ColtCellOrganisation *organisation = task->step->job->organisation;

  run->state = RUN_RUNNING;
  g_ptr_array_remove (task->step->job->planned, run);
  cell->unrecorded_runs--;
  run->answered = true;
  run->reflected_from = 0;
  run->confirmed_us = now_us;
  if (!cell->settled && task->earlier_server != NULL)
    colt_resources_subtract (&organisation->unsettled_demand, &run->demand);
  task->earlier_server = NULL;
  colt_cell_mark_entry (task);
  return run;
}

/* Ends runs that neither a report nor a later one lists although the start or
 * stop was certainly applied before the report was requested. If the report
 * may lack ends, only runs that an earlier incarnation listed have certainly
 * ended. */
static void
end_unlisted_runs_ (struct ColtCell *cell,
                    struct ColtCellServer *server,
                    uint64_t number,
                    const struct ColtServerReport *report,
                    int64_t now_us)
{
  uint64_t call_number = report->call_number;
  guint i = server->runs->len;
  guint lapsed = 0;

  while (i-- > 0)
    {
      struct ColtCellRun *run;

      if (i >= server->runs->len)
        continue;
      run = g_ptr_array_index (server->runs, i);
      if (report->may_have_more && !was_on_earlier_incarnation_ (run))
        continue;
      if (run->start_unknown && is_reflected_ (run, call_number)
          && run->listed_report < number)
        {
          /* The start may still take effect; a stop prevents that. */
          run->start_unknown = false;
          colt_cell_stop_run (cell, run, now_us);
          continue;
        }
      if (!run->answered || !is_reflected_ (run, call_number)
          || run->listed_report >= number)
        continue;
      if (run->incarnation_ms != 0
          && run->incarnation_ms != server->incarnation_ms)
        colt_cell_lose_run (cell, run, true, now_us);
      else if (run->state == RUN_STOPPING)
        colt_cell_end_run (cell, run, COLT_RUN_STOPPED, NULL, now_us);
      else
        {
          lapsed++;
          colt_cell_end_run (cell, run, COLT_RUN_LAPSED, NULL, now_us);
        }
    }
  if (lapsed > 0)
    log_lapsed_ (cell, server, report, lapsed);
}

/* Returns whether an incarnation before the present one has listed a run. The
 * incarnation that was known when a run was planned isn't evidence: the start
 * may have reached a later one. */
static bool
was_on_earlier_incarnation_ (const struct ColtCellRun *run)
{
  return run->confirmed_us != 0 && run->incarnation_ms != 0
         && run->incarnation_ms != run->server->incarnation_ms;
}

static void
log_lapsed_ (struct ColtCell *cell,
             const struct ColtCellServer *server,
             const struct ColtServerReport *report,
             guint lapsed)
{
  char *detail = g_strdup_printf (
      "server %s: %u runs are in neither list and start again; it lists %zu "
      "running, %zu ended",
      server->id, lapsed, report->running_count, report->finished_count);

  cell->ops->log_decision (cell->client, NULL, "runs lapsed", detail);
  g_free (detail);
}

/* Returns whether the answer to a call is evidence about a run: the call was
 * sent after the start had a result, or the run was listed. What an earlier
 * call shows may be older than the run. */
static bool
is_reflected_ (const struct ColtCellRun *run, uint64_t call_number)
{
  return run->start_resolved && call_number >= run->reflected_from;
}

/* Returns whether a loss of its server counts for a run. A start without an
 * answer may have been executed by an incarnation that isn't known yet, whose
 * leases end later. */
static bool
is_lost_ (const struct ColtCellRun *run, const struct ColtServerLoss *loss)
{
  if (loss->all || run->state == RUN_PLANNED
      || !colt_guard_on (COLT_GUARD_EVIDENCE))
    return true;
  return loss->ended ? is_reflected_ (run, loss->call_number)
                     : run->started_us != 0 || run->confirmed_us != 0;
}

static void
expire_ticket_ (struct ColtCellStep *step, struct ColtCellServer *server)
{
  struct ColtCellAdvice *advice = g_hash_table_lookup (step->advice, server);

  if (advice != NULL)
    advice->valid_until_us = 0;
}
