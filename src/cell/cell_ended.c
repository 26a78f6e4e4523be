#include "cell_private.h"

static int compare_ends_ (gconstpointer a, gconstpointer b, gpointer data);
static void drop_specs_ (struct ColtCell *cell);
static void unlist_spec_ (struct ColtCell *cell, struct ColtCellJob *job);
static void drop_job_ (struct ColtCell *cell, struct ColtCellJob *job);

/* Jobs loaded from records are listed in any order. */
void
colt_cell_list_ended (struct ColtCell *cell, struct ColtCellJob *job)
{
  job->ended_place
      = g_sequence_insert_sorted (cell->ended, job, compare_ends_, NULL);
  if (job->spec == NULL)
    return;
  g_queue_push_tail (&cell->ended_specs, job);
  job->spec_link = cell->ended_specs.tail;
}

void
colt_cell_unlist_ended (struct ColtCell *cell, struct ColtCellJob *job)
{
  unlist_spec_ (cell, job);
  if (job->ended_place != NULL)
    g_sequence_remove (job->ended_place);
  job->ended_place = NULL;
}

/* Jobs whose last runs haven't ended stay listed beyond their time. */
void
colt_cell_drop_ended (struct ColtCell *cell, int64_t now_us)
{
  GSequenceIter *i = g_sequence_get_begin_iter (cell->ended);

  /* open_steps may still list steps of jobs that have ended. */
  if (cell->steps_to_close)
    colt_cell_close_steps (cell);
  cell->steps_to_close = false;
  drop_specs_ (cell);
  while (!g_sequence_iter_is_end (i))
    {
      struct ColtCellJob *job = g_sequence_get (i);

      if (now_us - job->ended_us <= cell->limits.status_us)
        return;
      i = g_sequence_iter_next (i);
      if (job->active == 0)
        drop_job_ (cell, job);
    }
}

static int
compare_ends_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ColtCellJob *left = a;
  const struct ColtCellJob *right = b;

  (void)data;
  return left->ended_us < right->ended_us ? -1
                                          : left->ended_us > right->ended_us;
}

static void
drop_specs_ (struct ColtCell *cell)
{
  GList *link = cell->ended_specs.head;

  while (link != NULL)
    {
      struct ColtCellJob *job = link->data;

      link = link->next;
      if (job->active > 0 || job->dirty || job->in_batch)
        continue;
      unlist_spec_ (cell, job);
      colt_cell_drop_spec (job);
    }
}

static void
unlist_spec_ (struct ColtCell *cell, struct ColtCellJob *job)
{
  if (job->spec_link != NULL)
    g_queue_delete_link (&cell->ended_specs, job->spec_link);
  job->spec_link = NULL;
}

static void
drop_job_ (struct ColtCell *cell, struct ColtCellJob *job)
{
  colt_cell_unlist_ended (cell, job);
  job->dropped = true;
  colt_cell_mark_dirty (cell, job);
}
