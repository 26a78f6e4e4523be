/* Queues, and what they are configured to. The jobs of a queue that is no
 * longer configured continue, also under later leaders, which restore its
 * configuration from the jobs' records. */
#include <stdlib.h>
#include <string.h>

#include "cell_private.h"

static void set_config_ (struct ColtCellQueue *queue,
                         struct ColtFleet *fleet,
                         const struct ColtQueueConfig *config);

struct ColtCellQueue *
colt_cell_get_queue (struct ColtCell *cell, const char *name)
{
  struct ColtCellQueue *queue = g_hash_table_lookup (cell->queues, name);

  if (queue == NULL)
    {
      queue = g_new0 (struct ColtCellQueue, 1);
      queue->name = g_strdup (name);
      g_hash_table_insert (cell->queues, queue->name, queue);
    }
  return queue;
}

void
colt_cell_free_queue (gpointer data)
{
  struct ColtCellQueue *queue = data;

  colt_fleet_unref (queue->fleet);
  g_free (queue->name);
  g_free (queue);
}

void
colt_cell_update_queues (struct ColtCell *cell, struct ColtFleet *fleet)
{
  GHashTableIter i;
  gpointer value;
  guint q;

  g_hash_table_iter_init (&i, cell->queues);
  while (g_hash_table_iter_next (&i, NULL, &value))
    ((struct ColtCellQueue *)value)->listed = false;
  for (q = 0; q < fleet->queues->len; q++)
    {
      const struct ColtQueueConfig *config
          = g_ptr_array_index (fleet->queues, q);
      struct ColtCellQueue *queue = colt_cell_get_queue (cell, config->name);

      set_config_ (queue, fleet, config);
      queue->listed = true;
      queue->restored_version = 0;
    }
}

void
colt_cell_add_terms (const struct ColtCell *cell,
                     const struct ColtCellQueue *queue,
                     ColtJobSpec *spec)
{
  const struct ColtQueueConfig *config = queue->config;
  ColtQueueTerms *terms = malloc (sizeof *terms);

  g_assert (terms != NULL);
  colt_queue_terms__init (terms);
  terms->config_version = cell->fleet->version;
  terms->service = strdup (config->service);
  terms->priority = config->priority;
  terms->max_attempts = config->max_attempts;
  terms->stretch = config->stretch;
  terms->target_ms = config->target_ms;
  terms->advised = config->advised;
  terms->advice_ms = config->advice_ms;
  terms->advice_per_server_ms = config->advice_per_server_ms;
  terms->ticket_ms = config->ticket_ms;
  if (spec->queue_terms != NULL)
    colt_queue_terms__free_unpacked (spec->queue_terms, NULL);
  spec->queue_terms = terms;
}

void
colt_cell_restore_terms (struct ColtCellQueue *queue,
                         const ColtQueueTerms *terms)
{
  struct ColtFleet *fleet;
  struct ColtQueueConfig *config;

  if (terms == NULL || queue->listed
      || (queue->config != NULL
          && terms->config_version <= queue->restored_version)
      || (queue->config != NULL && queue->restored_version == 0))
    return;
  fleet = colt_fleet_create ();
  config = colt_fleet_add_queue (fleet);
  config->name = g_strdup (queue->name);
  config->host = g_strdup ("");
  config->prefix = g_strdup ("");
  config->service = g_strdup (terms->service);
  config->priority = terms->priority;
  config->max_attempts = terms->max_attempts;
  config->stretch = terms->stretch;
  config->target_ms = terms->target_ms;
  config->advised = terms->advised;
  config->advice_ms = terms->advice_ms;
  config->advice_per_server_ms = terms->advice_per_server_ms;
  config->ticket_ms = terms->ticket_ms;
  set_config_ (queue, fleet, config);
  queue->restored_version = terms->config_version;
  colt_fleet_unref (fleet);
}

static void
set_config_ (struct ColtCellQueue *queue,
             struct ColtFleet *fleet,
             const struct ColtQueueConfig *config)
{
  colt_fleet_ref (fleet);
  colt_fleet_unref (queue->fleet);
  queue->fleet = fleet;
  queue->config = config;
}
