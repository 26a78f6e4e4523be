#include <math.h>

#include "cell_private.h"

/* Part of a new duration in a queue's running mean: about the last fifty. */
#define DURATION_WEIGHT 0.02
/* Part of a new duration in a server's running slowness: about the last ten. */
#define SLOWNESS_WEIGHT 0.1
/* The same for a kind of servers: about the last fifty. */
#define KIND_WEIGHT 0.02
/* The first measurements count more, by this against their number. */
#define FIRST_WEIGHT 0.5
/* Size of a kind's name: its label and room. */
#define KIND_SIZE 128
/* Servers that one call for advice is reckoned with in an objective. */
#define ADVISED_SERVERS 30
/* A job that ends within this many times its objective is late, but served. */
#define LATE_FACTOR 3
/* An estimate of what remains is off; a job isn't given up on for less. */
#define REMAINING_PART 0.7
/* What an organisation may hand in at once beyond its rate: this many seconds
 * of it. */
#define BURST_S 2.0
/* With an objective of this many times its chain of work a job has time. */
#define LAX_STRETCH 3.0

static int64_t chain_us_ (const struct ColtCellJob *job);
static int64_t longest_from_ (const struct ColtCellStep *step);
static int64_t step_us_ (const struct ColtCellStep *step);
static void learn_slowness_ (struct ColtCellStep *step);
static void correct_ (double *log_slowness,
                      uint32_t *measured,
                      double least_weight,
                      double error);
static double log_slowness_ (const struct ColtCellServer *server);

void
colt_cell_note_duration (const struct ColtCellRun *run, int64_t now_us)
{
  struct ColtCellStep *step = run->task->step;
  struct ColtCellQueue *queue = step->job->queue;
  double duration_us = (double)(now_us - run->taken_us);

  if (run->taken_us == 0 || run->resumed || duration_us <= 0)
    return;
  if (queue->task_us <= 0)
    queue->task_us = duration_us;
  queue->task_us += DURATION_WEIGHT * (duration_us - queue->task_us);
  run->task->duration_us = now_us - run->taken_us;
}

void
colt_cell_note_step (struct ColtCellStep *step)
{
  if (!step->spec->gang)
    learn_slowness_ (step);
}

double
colt_cell_slowness (const struct ColtCellServer *server)
{
  return exp (log_slowness_ (server));
}

void
colt_cell_note_slow (struct ColtCellServer *server, double log_slowness)
{
  server->log_slowness
      = MAX (server->log_slowness, MIN (log_slowness, log (SLOWNESS_MAX))
                                       - server->kind->log_slowness);
}

void
colt_cell_set_kind (struct ColtCell *cell, struct ColtCellServer *server)
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
  server->kind = g_new0 (struct ColtCellKind, 1);
  g_hash_table_insert (cell->kinds, g_strdup (name), server->kind);
}

/* The objective of a job from its arrival: its longest chain of work on a
 * sound server, with one call for advice a step. */
int64_t
colt_cell_objective_us (const struct ColtCellJob *job)
{
  const struct ColtQueueConfig *config = job->queue->config;

  if (config == NULL)
    return 0;
  return (int64_t)(config->stretch * (double)chain_us_ (job))
         + (int64_t)config->target_ms * COLT_US_PER_MS;
}

/* An organisation is owed service for as many jobs a second as its weight
 * says; what it hands in beyond that comes after what others are owed. */
bool
colt_cell_is_excess (struct ColtCellOrganisation *organisation, int64_t now_us)
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
colt_cell_rank (struct ColtCellStep *step, int64_t now_us)
{
  struct ColtCellJob *job = step->job;
  int64_t objective_us = colt_cell_objective_us (job);
  int64_t age_us = now_us - job->accepted_us;
  int64_t left_us = (int64_t)(REMAINING_PART * (double)longest_from_ (step));

  if (step->spec->lasting)
    step->rank = RANK_LASTING;
  else if (age_us + left_us > LATE_FACTOR * objective_us)
    step->rank = RANK_WORTHLESS;
  else if (age_us + left_us > objective_us)
    step->rank = RANK_LATE;
  else
    step->rank = job->excess ? RANK_EXCESS : RANK_TIMELY;
  if (step->rank == RANK_LATE && job->excess)
    step->rank = RANK_WORTHLESS;
  if (step->rank == RANK_LATE || step->rank == RANK_WORTHLESS)
    job->queue->behind = true;
}

bool
colt_cell_is_tight (const struct ColtCell *cell, const char *id)
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
              && config->stretch < LAX_STRETCH))
        return true;
    }
  return false;
}

static int64_t
chain_us_ (const struct ColtCellJob *job)
{
  const struct ColtQueueConfig *config = job->queue->config;
  double advice_us
      = config->advised
            ? (config->advice_ms + ADVISED_SERVERS * config->advice_each_ms)
                  * COLT_US_PER_MS
            : 0;
  int64_t longest_us = 0;
  uint32_t depth = 0;
  size_t i;

  for (i = 0; i < job->spec->n_steps; i++)
    {
      if (job->steps[i].depth == 0)
        longest_us = MAX (longest_us, longest_from_ (&job->steps[i]));
      depth = MAX (depth, job->steps[i].depth + 1);
    }
  return longest_us + (int64_t)advice_us * depth;
}

/* Steps have their successors' longest chain beneath them, counted in steps. */
static int64_t
longest_from_ (const struct ColtCellStep *step)
{
  return (int64_t)(step->height + 1) * step_us_ (step);
}

/* Until a queue's tasks are known the caller's estimate has to do. */
static int64_t
step_us_ (const struct ColtCellStep *step)
{
  const struct ColtCellQueue *queue = step->job->queue;

  if (queue->task_us > 0)
    return (int64_t)queue->task_us;
  return (int64_t)step->spec->estimate_ms * COLT_US_PER_MS;
}

/* Tasks of one step take about the same time on equal servers: a server is
 * slow if its tasks take longer than the step's others would there. Only whole
 * steps are compared, as those that end first aren't the mean of all. */
static void
learn_slowness_ (struct ColtCellStep *step)
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

        correct_ (&server->log_slowness, &server->measured, SLOWNESS_WEIGHT,
                  error);
        correct_ (&server->kind->log_slowness, &server->kind->measured,
                  KIND_WEIGHT, error);
      }
}

static void
correct_ (double *log_slowness,
          uint32_t *measured,
          double least_weight,
          double error)
{
  (*measured)++;
  *log_slowness = CLAMP (
      *log_slowness + MAX (least_weight, FIRST_WEIGHT / *measured) * error,
      -log (SLOWNESS_MAX), log (SLOWNESS_MAX));
}

static double
log_slowness_ (const struct ColtCellServer *server)
{
  return server->kind->log_slowness + server->log_slowness;
}
