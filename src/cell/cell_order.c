#include "cell_usage.h"

/* What the place of a step among the open steps depends on. */
struct ColtStepKey
{
  struct ColtCellStep *step;
  uint64_t major;   /* rank, priority and whether its job hasn't begun */
  int64_t place_us; /* arrival of its job, and the handicap */
  uint64_t order;   /* of its job */
  uint32_t number;
  /* Its queue, if that places newer jobs before older ones; otherwise NULL. */
  const struct ColtCellQueue *newest_first;
};

static struct ColtStepKey get_key_ (struct ColtCellStep *step);
static int64_t get_place_us_ (const struct ColtCellJob *job);
static int compare_keys_ (gconstpointer a, gconstpointer b);

void
colt_cell_sort_steps (struct ColtCell *cell)
{
  guint count = cell->open_steps->len;
  GArray *keys
      = g_array_sized_new (FALSE, FALSE, sizeof (struct ColtStepKey), count);
  guint i;

  colt_cell_set_handicaps (cell);
  for (i = 0; i < count; i++)
    {
      const struct ColtStepKey key
          = get_key_ (g_ptr_array_index (cell->open_steps, i));

      g_array_append_val (keys, key);
    }
  g_array_sort (keys, compare_keys_);
  for (i = 0; i < count; i++)
    cell->open_steps->pdata[i]
        = g_array_index (keys, struct ColtStepKey, i).step;
  g_array_unref (keys);
}

static struct ColtStepKey
get_key_ (struct ColtCellStep *step)
{
  const struct ColtCellJob *job = step->job;
  const struct ColtQueueConfig *config = job->queue->config;
  uint32_t priority = config != NULL ? config->priority : UINT32_MAX;
  const struct ColtStepKey key
      = { step,
          ((uint64_t)step->rank << 33) | ((uint64_t)priority << 1)
              | (job->begun ? 0 : 1),
          get_place_us_ (job),
          job->order,
          step->number,
          !job->begun && job->queue->was_late ? job->queue : NULL };

  return key;
}

/* The arrival of an inherited job is known by the time of day alone, which may
 * jump: it goes before later jobs, without a handicap. A queue that misses
 * objectives keeps its own order. */
static int64_t
get_place_us_ (const struct ColtCellJob *job)
{
  const struct ColtCellUse *use = job->organisation->use;

  if (use == NULL || job->inherited)
    return 0;
  if (!job->begun && job->queue->was_late)
    return job->accepted_us;
  return job->accepted_us + use->handicap_us;
}

/* Sorts by rank and priority; jobs that have begun come first, then older jobs,
 * where a handicap for past use makes a job younger.
 * While a queue misses objectives its newest jobs come first, as they have the
 * best chance to meet theirs. */
static int
compare_keys_ (gconstpointer a, gconstpointer b)
{
  const struct ColtStepKey *left = a;
  const struct ColtStepKey *right = b;
  int order = left->order < right->order ? -1 : 1;

  if (left->major != right->major)
    return left->major < right->major ? -1 : 1;
  if (left->order == right->order)
    return left->number < right->number ? -1 : 1;
  if (left->newest_first != NULL && left->newest_first == right->newest_first)
    return -order;
  if (left->place_us != right->place_us)
    return left->place_us < right->place_us ? -1 : 1;
  return order;
}
