#include "waiting_counts.h"

#include <glib.h>

struct ColtWaitingCounts
{
  GHashTable *queues; /* name -> waiting jobs */
  int64_t counted_us; /* 0: no leader has sent counts */
};

struct ColtWaitingCounts *
colt_waiting_counts_create (void)
{
  struct ColtWaitingCounts *counts = g_new0 (struct ColtWaitingCounts, 1);

  counts->queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return counts;
}

void
colt_waiting_counts_destroy (struct ColtWaitingCounts *counts)
{
  if (counts == NULL)
    return;
  g_hash_table_unref (counts->queues);
  g_free (counts);
}

void
colt_waiting_counts_replace (struct ColtWaitingCounts *counts,
                             ColtQueueCount *const *entries,
                             size_t entry_count,
                             int64_t counted_us)
{
  size_t i;

  if (counted_us < counts->counted_us)
    return;
  g_hash_table_remove_all (counts->queues);
  for (i = 0; i < entry_count; i++)
    g_hash_table_insert (counts->queues, g_strdup (entries[i]->queue),
                         GSIZE_TO_POINTER ((gsize)entries[i]->waiting));
  counts->counted_us = counted_us;
}

int64_t
colt_waiting_counts_age_us (const struct ColtWaitingCounts *counts,
                            int64_t now_us)
{
  return counts->counted_us != 0 ? now_us - counts->counted_us
                                 : COLT_TIME_NEVER;
}

uint64_t
colt_waiting_counts_get (const struct ColtWaitingCounts *counts,
                         const char *queue)
{
  return GPOINTER_TO_SIZE (g_hash_table_lookup (counts->queues, queue));
}
