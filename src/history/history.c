#include "history.h"

/* Default of the longest wait for a start or an answer that needs no reason,
 * such as a full fleet. */
#define WAIT_TIMEOUT_US INT64_C (10000000)
#define CHUNK_SIZE 65536

const char *const colt_history_outcome_string[]
    = { "done",     "failed",    "not_run",  "unknown",   "cancelled",
        "accepted", "no_answer", "not_sent", "malformed", "none" };

const char *const colt_history_event_string[]
    = { "start", "resize", "end", "over", "down", "leaving", "append" };

static void create_run_ (struct ColtHistoryRun *run);
static void clear_run_ (struct ColtHistoryRun *run);

struct ColtHistory *
colt_history_create (void)
{
  struct ColtHistory *history = g_new0 (struct ColtHistory, 1);

  create_run_ (&history->run);
  history->calls = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryCall));
  history->answers
      = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryAnswer));
  history->events = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryEvent));
  history->texts = g_ptr_array_new ();
  history->chunk = g_string_chunk_new (CHUNK_SIZE);
  history->text_ids = g_hash_table_new (g_str_hash, g_str_equal);
  colt_history_intern (history, "");
  return history;
}

void
colt_history_destroy (struct ColtHistory *history)
{
  if (history == NULL)
    return;
  clear_run_ (&history->run);
  g_array_unref (history->calls);
  g_array_unref (history->answers);
  g_array_unref (history->events);
  g_ptr_array_unref (history->texts);
  g_hash_table_unref (history->text_ids);
  g_string_chunk_free (history->chunk);
  g_free (history);
}

uint32_t
colt_history_intern (struct ColtHistory *history, const char *text)
{
  gpointer id;
  char *copy;

  if (g_hash_table_lookup_extended (history->text_ids, text, NULL, &id))
    return GPOINTER_TO_UINT (id);
  copy = g_string_chunk_insert (history->chunk, text);
  id = GUINT_TO_POINTER (history->texts->len);
  g_ptr_array_add (history->texts, copy);
  g_hash_table_insert (history->text_ids, copy, id);
  return GPOINTER_TO_UINT (id);
}

const char *
colt_history_text (const struct ColtHistory *history, uint32_t id)
{
  return g_ptr_array_index (history->texts, id);
}

const struct ColtHistoryServer *
colt_history_find_server (const struct ColtHistory *history, uint32_t id)
{
  const GArray *servers = history->run.servers;
  guint low = 0;
  guint high = servers->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const struct ColtHistoryServer *server
          = &g_array_index (servers, struct ColtHistoryServer, middle);

      if (server->id == id)
        return server;
      if (server->id < id)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

static void
create_run_ (struct ColtHistoryRun *run)
{
  run->wait_timeout_us = WAIT_TIMEOUT_US;
  run->servers = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryServer));
  run->teams = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryTeam));
  run->limits = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryLimit));
  run->keys = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryKey));
  run->leaving = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryPeriod));
  run->killed = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryPeriod));
  run->cuts = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryPeriod));
  run->rollouts = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryRollout));
}

static void
clear_run_ (struct ColtHistoryRun *run)
{
  g_array_unref (run->servers);
  g_array_unref (run->teams);
  g_array_unref (run->limits);
  g_array_unref (run->keys);
  g_array_unref (run->leaving);
  g_array_unref (run->killed);
  g_array_unref (run->cuts);
  g_array_unref (run->rollouts);
}
