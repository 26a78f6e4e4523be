#include <math.h>

#include "cell_private.h"

/* Weight of a new duration in a queue's moving average, which covers about the
 * last 50. */
#define DURATION_WEIGHT 0.02
/* Weight of a new duration in a server's slowness, which covers about the last
 * 10. */
#define SLOWNESS_WEIGHT 0.1
/* Weight of a new duration in the slowness of a kind of servers, which covers
 * about the last 50. */
#define KIND_WEIGHT 0.02
/* The n-th sample has at least this weight divided by n, so that the first
 * samples count more. */
#define INITIAL_WEIGHT 0.5
/* Size in bytes of a buffer for a kind's name: its room and label. */
#define KIND_SIZE 128
/* Servers that an advice call names, as assumed for objectives. */
#define ADVISED_SERVERS 30
/* A job that ends later than this many times its objective is of no use. */
#define LATE_FACTOR 3
/* Part of the estimated remaining time that counts when a job's lateness is
 * determined, since the estimate may be too high. */
#define REMAINING_FACTOR 0.7
/* Burst that an organisation may submit beyond its rate, in seconds of the
 * rate. */
#define BURST_S 2.0
/* Part of the time that a step may wait without missing its objective, after
 * which it is pressed: not held back by reservations for gangs. */
#define PRESSED_PART 0.75
/* Below this stretch a job has little time beyond its longest chain. */
#define TIGHT_STRETCH 3.0

static int64_t longest_chain_us_ (const struct ColtCellStep *step);
static void update_slowness_ (struct ColtCellStep *step);
static void correct_slowness_ (double *log_slowness,
                               uint32_t *samples,
                               double weight_min,
                               double error);
static double log_slowness_ (const struct ColtCellServer *server);

void
colt_cell_add_duration (const struct ColtCellRun *run, int64_t now_us)
{
  struct ColtCellStep *step = run->task->step;
  struct ColtCellQueue *queue = step->job->queue;
  double duration_us = (double)(now_us - run->started_us);

  /* A server is slow for a while after its start, whatever it runs. */
  if (run->started_us == 0 || run->resumed || run->cold || duration_us <= 0)
    return;
  if (queue->task_us <= 0)
    queue->task_us = duration_us;
  queue->task_us += DURATION_WEIGHT * (duration_us - queue->task_us);
  run->task->duration_us = now_us - run->started_us;
}

void
colt_cell_update_slowness (struct ColtCellStep *step)
{
  if (!step->spec->gang)
    update_slowness_ (step);
}

/* Returns how long tasks take on the server, relative to all servers. */
double
colt_cell_slowness (struct ColtCellServer *server)
{
  double log_slowness = log_slowness_ (server);

  if (server->slowness <= 0 || server->slowness_log != log_slowness)
    {
      server->slowness_log = log_slowness;
      server->slowness = exp (log_slowness);
    }
  return server->slowness;
}

/* Raises a server's slowness to at least a measured ratio of its durations to
 * those of other servers, given as a logarithm. */
void
colt_cell_raise_slowness (struct ColtCellServer *server, double log_slowness)
{
  server->log_slowness
      = MAX (server->log_slowness, MIN (log_slowness, log (SLOWNESS_MAX))
                                       - server->kind->log_slowness);
}

void
colt_cell_assign_kind (struct ColtCell *cell, struct ColtCellServer *server)
{
  const int64_t *room = server->room.amount;
  char name[KIND_SIZE];

  g_snprintf (name, sizeof name, "%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT "/%s",
              room[COLT_RESOURCE_CORES], room[COLT_RESOURCE_ACCELERATORS],
              server->labels != NULL && server->labels[0] != NULL
                  ? server->labels[0]
                  : "");
  server->kind = g_hash_table_lookup (cell->kinds, name);
  if (server->kind != NULL)
    return;
  server->kind = g_new0 (struct ColtServerKind, 1);
  g_hash_table_insert (cell->kinds, g_strdup (name), server->kind);
}

/* Returns the objective of a job, counted from its arrival: its longest chain
 * of steps on a healthy server with one advice call for each step, times the
 * queue's stretch, plus the queue's target. Returns 0 if the queue isn't
 * configured. */
int64_t
colt_cell_objective_us (const struct ColtCellJob *job)
{
  const struct ColtQueueConfig *config = job->queue->config;

  if (config == NULL)
    return 0;
  return (int64_t)(config->stretch * (double)colt_cell_chain_us (job))
         + (int64_t)config->target_ms * COLT_US_PER_MS;
}

int64_t
colt_cell_chain_us (const struct ColtCellJob *job)
{
  const struct ColtQueueConfig *config = job->queue->config;
  double advice_us = config->advised
                         ? (config->advice_ms
                            + ADVISED_SERVERS * config->advice_per_server_ms)
                               * COLT_US_PER_MS
                         : 0;
  int64_t longest_us = 0;
  uint32_t depth = 0;
  size_t i;

  for (i = 0; i < job->spec->n_steps; i++)
    {
      if (job->steps[i].depth == 0)
        longest_us = MAX (longest_us, longest_chain_us_ (&job->steps[i]));
      depth = MAX (depth, job->steps[i].depth + 1);
    }
  return longest_us + (int64_t)advice_us * depth;
}

/* Returns the mean duration of a task of the queue, or the caller's estimate
 * while the queue has no durations. */
int64_t
colt_cell_step_us (const struct ColtCellStep *step)
{
  const struct ColtCellQueue *queue = step->job->queue;

  if (queue->task_us > 0)
    return (int64_t)queue->task_us;
  return (int64_t)step->spec->estimate_ms * COLT_US_PER_MS;
}

int64_t
colt_cell_slack_us (const struct ColtCellJob *job, bool useful)
{
  int64_t slack_us = colt_cell_objective_us (job) * (useful ? LATE_FACTOR : 1);

  return slack_us
         - (int64_t)(REMAINING_FACTOR * (double)colt_cell_chain_us (job));
}

/* Charges a job to the organisation's share, which is its weight in jobs per
 * second, and returns true if the share is used up. Jobs beyond the share rank
 * after those within the shares of others. */
bool
colt_cell_exceeds_share (struct ColtCellOrganisation *organisation,
                         int64_t now_us)
{
  double rate = organisation->weight;

  if (rate <= 0)
    return false;
  if (organisation->credit_us == 0)
    organisation->credit = rate * BURST_S;
  else
    organisation->credit
        += rate * (double)(now_us - organisation->credit_us) / COLT_US_PER_S;
  organisation->credit_us = now_us;
  organisation->credit = MIN (organisation->credit, rate * BURST_S);
  if (organisation->credit < 1)
    return true;
  organisation->credit -= 1;
  return false;
}

void
colt_cell_refund_share (struct ColtCellOrganisation *organisation)
{
  if (organisation->weight > 0)
    organisation->credit += 1;
}

void
colt_cell_rank_step (struct ColtCellStep *step, int64_t now_us)
{
  struct ColtCellJob *job = step->job;
  int64_t objective_us = colt_cell_objective_us (job);
  int64_t age_us = now_us - job->accepted_us;
  int64_t remaining_us
      = (int64_t)(REMAINING_FACTOR * (double)longest_chain_us_ (step));

  if (step->spec->lasting)
    step->rank = RANK_LASTING;
  else if (age_us + remaining_us > LATE_FACTOR * objective_us)
    step->rank = RANK_WORTHLESS;
  else if (age_us + remaining_us > objective_us)
    step->rank = RANK_LATE;
  else
    step->rank = job->excess ? RANK_EXCESS : RANK_TIMELY;
  if (step->rank == RANK_LATE && job->excess)
    step->rank = RANK_WORTHLESS;
  if (step->rank == RANK_LATE || step->rank == RANK_WORTHLESS)
    job->queue->late = true;
  step->is_pressed
      = step->rank < RANK_LATE
        && age_us
               > (int64_t)(PRESSED_PART
                           * (double)(objective_us - longest_chain_us_ (step)));
}

int64_t
colt_cell_latest_us (const struct ColtCellStep *step)
{
  return step->job->accepted_us
         + LATE_FACTOR * colt_cell_objective_us (step->job)
         - (int64_t)(REMAINING_FACTOR * (double)longest_chain_us_ (step));
}

bool
colt_cell_has_tight_runs (const struct ColtCell *cell, const char *id)
{
  const struct ColtCellServer *server = colt_cell_find_server (cell, id);
  guint i;

  for (i = 0; server != NULL && i < server->runs->len; i++)
    {
      const struct ColtCellRun *run = g_ptr_array_index (server->runs, i);
      const struct ColtCellStep *step = run->task->step;
      const struct ColtQueueConfig *config = step->job->queue->config;

      if (run->state == RUN_STOPPING
          || (!step->spec->lasting && config != NULL
              && config->stretch < TIGHT_STRETCH))
        return true;
    }
  return false;
}

/* Estimates the duration of the longest chain from a step on: each step of it
 * is assumed to take as long as this one. */
static int64_t
longest_chain_us_ (const struct ColtCellStep *step)
{
  return (int64_t)(step->height + 1) * colt_cell_step_us (step);
}

/* Tasks of a step take about the same time on equal servers, so a server is
 * slow if its tasks take longer than the other tasks of the step would take
 * there. Only complete steps are compared, as the tasks that end first would
 * bias the mean. */
static void
update_slowness_ (struct ColtCellStep *step)
{
  uint32_t count = step->spec->count;
  double sum = 0;
  uint32_t known = 0;
  uint32_t i;

  for (i = 0; i < count; i++)
    if (step->tasks[i].duration_us > 0)
      {
        sum += log ((double)step->tasks[i].duration_us)
               - log_slowness_ (step->tasks[i].last_server);
        known++;
      }
  for (i = 0; i < count && known > 1; i++)
    if (step->tasks[i].duration_us > 0)
      {
        struct ColtCellServer *server = step->tasks[i].last_server;
        double error = log ((double)step->tasks[i].duration_us)
                       - log_slowness_ (server) - sum / known;

        correct_slowness_ (&server->log_slowness, &server->samples,
                           SLOWNESS_WEIGHT, error);
        correct_slowness_ (&server->kind->log_slowness, &server->kind->samples,
                           KIND_WEIGHT, error);
      }
}

static void
correct_slowness_ (double *log_slowness,
                   uint32_t *samples,
                   double weight_min,
                   double error)
{
  (*samples)++;
  *log_slowness = CLAMP (
      *log_slowness + MAX (weight_min, INITIAL_WEIGHT / *samples) * error,
      -log (SLOWNESS_MAX), log (SLOWNESS_MAX));
}

static double
log_slowness_ (const struct ColtCellServer *server)
{
  return server->kind->log_slowness + server->log_slowness;
}
