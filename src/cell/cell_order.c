#include "cell_private.h"

/* What the place of a step among the open steps depends on. */
struct ColtStepKey
{
  struct ColtCellStep *step;
  uint64_t major; /* rank, priority and whether its job hasn't begun */
  uint64_t order; /* of its job */
  uint32_t number;
  /* Its queue, if that places newer jobs before older ones; otherwise NULL. */
  const struct ColtCellQueue *newest_first;
};

static struct ColtStepKey get_key_ (struct ColtCellStep *step);
static int compare_keys_ (gconstpointer a, gconstpointer b);

void
colt_cell_sort_steps (struct ColtCell *cell)
{
  guint count = cell->open_steps->len;
  GArray *keys
      = g_array_sized_new (FALSE, FALSE, sizeof (struct ColtStepKey), count);
  guint i;

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
          job->order, step->number,
          !job->begun && job->queue->was_late ? job->queue : NULL };

  return key;
}

/* Sorts by rank and priority; jobs that have begun come first, then older jobs.
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
  return order;
}
