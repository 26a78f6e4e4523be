#include "scheduler_private.h"

/* A zone whose evacuation is requested. */
struct ColtEvacuation
{
  int64_t since_us;
  int64_t offset; /* of its newest record */
  bool listed;    /* by the full read that is open */
};

struct ColtEvacuations
{
  GHashTable *zones; /* name -> struct ColtEvacuation */
};

struct ColtEvacuations *
colt_evacuations_create (void)
{
  struct ColtEvacuations *evacuations = g_new0 (struct ColtEvacuations, 1);

  evacuations->zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return evacuations;
}

void
colt_evacuations_destroy (struct ColtEvacuations *evacuations)
{
  if (evacuations == NULL)
    return;
  g_hash_table_unref (evacuations->zones);
  g_free (evacuations);
}

/* The pages of a full read may be newer than the offset at which reading goes
 * on, so that records are read that were replaced since. */
bool
colt_evacuations_apply (struct ColtEvacuations *evacuations,
                        const struct ColtEvacuationRecord *record,
                        int64_t now_us)
{
  struct ColtEvacuation *evacuation
      = g_hash_table_lookup (evacuations->zones, record->zone);
  bool known = evacuation != NULL;

  if (known && !record->full_read && record->offset < evacuation->offset)
    return false;
  if (!record->evacuated)
    return g_hash_table_remove (evacuations->zones, record->zone);
  if (!known)
    {
      evacuation = g_new0 (struct ColtEvacuation, 1);
      evacuation->since_us = now_us;
      g_hash_table_insert (evacuations->zones, g_strdup (record->zone),
                           evacuation);
    }
  evacuation->offset = record->offset;
  evacuation->listed = record->full_read;
  return !known;
}

void
colt_evacuations_finish_read (struct ColtEvacuations *evacuations,
                              ColtEvacuationHandler handle,
                              void *client)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&i, evacuations->zones);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      struct ColtEvacuation *evacuation = value;

      if (evacuation->listed)
        {
          evacuation->listed = false;
          continue;
        }
      handle (client, key, evacuation->since_us);
      g_hash_table_iter_remove (&i);
    }
}

void
colt_evacuations_list (const struct ColtEvacuations *evacuations,
                       ColtEvacuationHandler handle,
                       void *client)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&i, evacuations->zones);
  while (g_hash_table_iter_next (&i, &key, &value))
    handle (client, key, ((const struct ColtEvacuation *)value)->since_us);
}
