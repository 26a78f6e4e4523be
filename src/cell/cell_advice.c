#include <string.h>

#include "cell_private.h"

/* A ticket that is about to end isn't used: an order may take this long. */
#define TICKET_MARGIN_US (150 * COLT_US_PER_MS)
/* Pause after a call for advice that let nothing start; doubled each time. */
#define ADVICE_PAUSE_US (100 * COLT_US_PER_MS)
#define ADVICE_PAUSES_DOUBLED_MAX 4
/* Servers asked about besides those that the waiting tasks need, since only
 * some of them may run a step. */
#define ASKED_MINIMUM 8
/* Servers asked about for each waiting task. */
#define ASKED_PER_TASK 4
/* Steps that last hold at most this part of the advisers, as their calls are
 * long and come again whenever room moves. */
#define LASTING_PART 4
/* A queue whose calls take this long holds at most half of the advisers. */
#define LONG_CALL_MS 300.0

struct ColtChoice
{
  struct ColtCellServer *server;
  double score;
};

static bool is_known_ (const struct ColtCellStep *step,
                       const struct ColtCellServer *server,
                       bool *good);
static enum ColtCellHold ask_unless_paused_ (struct ColtCell *cell,
                                             struct ColtCellStep *step,
                                             int64_t now_us);
static void take_servers_ (struct ColtCell *cell,
                           struct ColtCellStep *step,
                           const char *const *asked,
                           size_t asked_count);
static void take_tickets_ (struct ColtCell *cell,
                           struct ColtCellStep *step,
                           const ColtAdviceReply *reply,
                           int64_t now_us);
static void back_off_ (struct ColtCellStep *step, int64_t now_us);
static uint32_t count_queues_ (const struct ColtCell *cell);
static bool ask_ (struct ColtCell *cell, struct ColtCellStep *step);
static void name_wanted_ (const struct ColtCellStep *step, GPtrArray *names);
static void name_choices_ (const struct ColtCell *cell,
                           const struct ColtCellStep *step,
                           const struct ColtCellPool *pool,
                           GPtrArray *names);
static uint32_t most_ (const struct ColtCell *cell,
                       const struct ColtCellStep *step);
static GArray *list_choices_ (const struct ColtCellStep *step,
                              const struct ColtCellPool *pool,
                              int64_t now_us);
static int compare_choices_ (gconstpointer a, gconstpointer b);

void
colt_cell_set_advisers (struct ColtCell *cell, uint32_t count)
{
  cell->advisers = count;
}

const struct ColtCellAdvice *
colt_cell_find_ticket (const struct ColtCellStep *step,
                       const struct ColtCellServer *server,
                       int64_t now_us)
{
  const struct ColtCellAdvice *advice
      = g_hash_table_lookup (step->advice, server);

  if (advice == NULL || !advice->good || advice->born_ms != server->born_ms
      || advice->valid_until_us < now_us + TICKET_MARGIN_US)
    return NULL;
  return advice;
}

/* Which servers may run a step never changes in one life of a server; so a
 * call pays only if a server has room that is known to be good, or isn't
 * known. */
enum ColtCellHold
colt_cell_want_advice (struct ColtCell *cell,
                       struct ColtCellStep *step,
                       const struct ColtCellPool *pool,
                       int64_t now_us)
{
  guint i;

  if (!step->job->queue->config->advised)
    return HOLD_NO_ROOM;
  if (step->advice_pending)
    return HOLD_ADVICE;
  for (i = 0; i < pool->servers->len; i++)
    {
      const struct ColtCellServer *server
          = g_ptr_array_index (pool->servers, i);

      if (colt_cell_is_usable (server, now_us) && colt_cell_fits (step, server)
          && colt_cell_allows (step, server)
          && !colt_cell_is_known_bad (step, server)
          && colt_cell_find_ticket (step, server, now_us) == NULL)
        return ask_unless_paused_ (cell, step, now_us);
    }
  return HOLD_NO_ROOM;
}

/* A gang starts when all its servers have room and tickets at once: it asks for
 * tickets on servers that have the room, which is kept meanwhile. */
enum ColtCellHold
colt_cell_want_tickets (struct ColtCell *cell,
                        struct ColtCellStep *step,
                        struct ColtCellServer *const *servers)
{
  uint32_t i;

  if (step->advice_pending)
    return HOLD_ADVICE;
  g_clear_pointer (&step->wanted, g_ptr_array_unref);
  step->wanted = g_ptr_array_new ();
  for (i = 0; i < step->spec->count; i++)
    g_ptr_array_add (step->wanted, servers[i]);
  g_ptr_array_add (cell->askers, step);
  return HOLD_NO_ADVISER;
}

/* Until it knows of enough servers that may run it, a gang asks about others,
 * whether these have room now or not. */
enum ColtCellHold
colt_cell_want_servers (struct ColtCell *cell,
                        struct ColtCellStep *step,
                        const struct ColtCellPool *pool,
                        int64_t now_us)
{
  guint i;

  if (step->advice_pending)
    return HOLD_ADVICE;
  g_clear_pointer (&step->wanted, g_ptr_array_unref);
  for (i = 0; i < pool->servers->len; i++)
    {
      const struct ColtCellServer *server
          = g_ptr_array_index (pool->servers, i);
      bool good;

      if (colt_cell_is_usable (server, now_us)
          && colt_cell_allows (step, server)
          && !is_known_ (step, server, &good))
        return ask_unless_paused_ (cell, step, now_us);
    }
  return HOLD_NO_ROOM;
}

bool
colt_cell_is_known_good (const struct ColtCellStep *step,
                         const struct ColtCellServer *server)
{
  bool good = false;

  return is_known_ (step, server, &good) && good;
}

bool
colt_cell_is_known_bad (const struct ColtCellStep *step,
                        const struct ColtCellServer *server)
{
  bool good = true;

  return is_known_ (step, server, &good) && !good;
}

/* Each queue gets its part of the advisers first; what is left over goes by
 * the order of the steps. */
void
colt_cell_ask_advice (struct ColtCell *cell, int64_t now_us)
{
  uint32_t share = cell->advisers / MAX (count_queues_ (cell), 1);
  guint i;

  cell->now_us = now_us;
  for (i = 0; i < cell->askers->len; i++)
    {
      struct ColtCellStep *step = g_ptr_array_index (cell->askers, i);

      if (step->job->queue->asking < MAX (share, 1) && !ask_ (cell, step))
        break;
    }
  for (i = 0; i < cell->askers->len; i++)
    {
      struct ColtCellStep *step = g_ptr_array_index (cell->askers, i);

      if (!step->advice_pending && !ask_ (cell, step))
        break;
    }
  g_ptr_array_set_size (cell->askers, 0);
}

void
colt_cell_advised (struct ColtCell *cell,
                   const char *step_name,
                   const char *const *asked,
                   size_t asked_count,
                   const ColtAdviceReply *reply,
                   int64_t now_us)
{
  struct ColtCellQueue *queue = g_hash_table_lookup (cell->asking, step_name);
  struct ColtCellStep *step = colt_cell_find_step (cell, step_name);

  if (queue != NULL)
    {
      queue->asking--;
      g_hash_table_remove (cell->asking, step_name);
    }
  if (step == NULL || step->advice == NULL)
    return;
  step->advice_pending = false;
  back_off_ (step, now_us);
  if (reply == NULL || !reply->answered)
    return;
  take_servers_ (cell, step, asked, asked_count);
  take_tickets_ (cell, step, reply, now_us);
}

static bool
is_known_ (const struct ColtCellStep *step,
           const struct ColtCellServer *server,
           bool *good)
{
  const struct ColtCellAdvice *advice
      = g_hash_table_lookup (step->advice, server);

  if (advice == NULL || advice->born_ms != server->born_ms)
    return false;
  *good = advice->good;
  return true;
}

static enum ColtCellHold
ask_unless_paused_ (struct ColtCell *cell,
                    struct ColtCellStep *step,
                    int64_t now_us)
{
  if (now_us < step->advice_from_us)
    return HOLD_ADVICE;
  g_ptr_array_add (cell->askers, step);
  return HOLD_NO_ADVISER;
}

static void
take_servers_ (struct ColtCell *cell,
               struct ColtCellStep *step,
               const char *const *asked,
               size_t asked_count)
{
  size_t i;

  for (i = 0; i < asked_count; i++)
    {
      struct ColtCellServer *server = colt_cell_find_server (cell, asked[i]);
      struct ColtCellAdvice *advice;

      if (server == NULL)
        continue;
      advice = g_hash_table_lookup (step->advice, server);
      if (advice == NULL)
        {
          advice = g_new0 (struct ColtCellAdvice, 1);
          g_hash_table_insert (step->advice, server, advice);
        }
      advice->good = false;
      advice->born_ms = server->born_ms;
    }
}

static void
take_tickets_ (struct ColtCell *cell,
               struct ColtCellStep *step,
               const ColtAdviceReply *reply,
               int64_t now_us)
{
  size_t i;

  for (i = 0; i < reply->n_tickets; i++)
    {
      struct ColtCellServer *server
          = colt_cell_find_server (cell, reply->tickets[i]->server);
      struct ColtCellAdvice *advice
          = server != NULL ? g_hash_table_lookup (step->advice, server) : NULL;

      if (advice == NULL)
        continue;
      advice->good = true;
      g_free (advice->ticket);
      advice->ticket = g_strdup (reply->tickets[i]->ticket);
      advice->valid_until_us
          = now_us + (int64_t)reply->valid_ms * COLT_US_PER_MS;
    }
}

/* A start resets the pause. */
static void
back_off_ (struct ColtCellStep *step, int64_t now_us)
{
  step->advice_from_us = now_us + (ADVICE_PAUSE_US << step->advice_calls);
  step->advice_calls = MIN (step->advice_calls + 1, ADVICE_PAUSES_DOUBLED_MAX);
}

static uint32_t
count_queues_ (const struct ColtCell *cell)
{
  GHashTable *queues = g_hash_table_new (g_direct_hash, g_direct_equal);
  GHashTableIter i;
  gpointer value;
  uint32_t count;
  guint s;

  for (s = 0; s < cell->askers->len; s++)
    {
      const struct ColtCellStep *step = g_ptr_array_index (cell->askers, s);

      g_hash_table_add (queues, step->job->queue);
    }
  g_hash_table_iter_init (&i, cell->asking);
  while (g_hash_table_iter_next (&i, NULL, &value))
    g_hash_table_add (queues, value);
  count = g_hash_table_size (queues);
  g_hash_table_unref (queues);
  return count;
}

/* Returns false if no adviser is free. */
static bool
ask_ (struct ColtCell *cell, struct ColtCellStep *step)
{
  struct ColtCellQueue *queue = step->job->queue;
  struct ColtCellPool *pool
      = g_hash_table_lookup (cell->pools, queue->config->service);
  GPtrArray *names;
  char name[TASK_NAME_SIZE];
  bool is_free;

  if (queue->asking >= most_ (cell, step))
    return true;
  names = g_ptr_array_new ();
  if (step->wanted != NULL)
    name_wanted_ (step, names);
  else
    name_choices_ (cell, step, pool, names);
  g_snprintf (name, sizeof name, "%s.%u.%u", step->job->id, step->occurrence,
              step->number);
  /* Starts later in the pass may have taken the last room. */
  is_free
      = names->len == 0
        || cell->ops->advise (cell->client, name,
                              (const char *const *)names->pdata, names->len);
  step->advice_pending = is_free && names->len > 0;
  if (step->advice_pending)
    {
      queue->asking++;
      g_hash_table_insert (cell->asking, g_strdup (name), queue);
    }
  g_ptr_array_unref (names);
  return is_free;
}

static void
name_wanted_ (const struct ColtCellStep *step, GPtrArray *names)
{
  guint i;

  for (i = 0; i < step->wanted->len; i++)
    {
      struct ColtCellServer *server = g_ptr_array_index (step->wanted, i);

      if (!g_ptr_array_find (names, server->id, NULL))
        g_ptr_array_add (names, server->id);
    }
}

static void
name_choices_ (const struct ColtCell *cell,
               const struct ColtCellStep *step,
               const struct ColtCellPool *pool,
               GPtrArray *names)
{
  GArray *choices = list_choices_ (step, pool, cell->now_us);
  guint count = MIN (ASKED_MINIMUM + ASKED_PER_TASK * step->waiting,
                     cell->limits.servers_asked);
  guint i;

  /* What a first call didn't find is looked for among all. */
  if (step->spec->gang && step->advice_calls > 0)
    count = cell->limits.servers_learned;
  for (i = 0; i < MIN (choices->len, count); i++)
    g_ptr_array_add (names,
                     g_array_index (choices, struct ColtChoice, i).server->id);
  g_array_unref (choices);
}

/* Calls that a step's queue may have open. */
static uint32_t
most_ (const struct ColtCell *cell, const struct ColtCellStep *step)
{
  uint32_t most = cell->advisers;

  if (step->spec->lasting)
    most /= LASTING_PART;
  else if (step->job->queue->config->advice_ms >= LONG_CALL_MS)
    most /= 2;
  return MAX (most, 1);
}

/* Servers that are known to be good come first, then those with room now;
 * those that may never run the step are left out. */
static GArray *
list_choices_ (const struct ColtCellStep *step,
               const struct ColtCellPool *pool,
               int64_t now_us)
{
  GArray *choices = g_array_new (FALSE, FALSE, sizeof (struct ColtChoice));
  guint i;

  for (i = 0; i < pool->servers->len; i++)
    {
      struct ColtChoice choice = { g_ptr_array_index (pool->servers, i), 0 };
      const struct ColtResources *room = &choice.server->room;
      const struct ColtResources *used = &choice.server->used;
      bool good = false;
      bool known = is_known_ (step, choice.server, &good);

      if (!colt_cell_is_usable (choice.server, now_us)
          || !colt_cell_allows (step, choice.server) || (known && !good))
        continue;
      choice.score = (double)used->amount[COLT_RESOURCE_CORES]
                     / (double)(room->amount[COLT_RESOURCE_CORES] + 1);
      if (colt_cell_fits (step, choice.server))
        choice.score += 2;
      if (known)
        choice.score += 4;
      choice.score -= MIN (colt_cell_slowness (choice.server), 2);
      g_array_append_val (choices, choice);
    }
  g_array_sort (choices, compare_choices_);
  return choices;
}

static int
compare_choices_ (gconstpointer a, gconstpointer b)
{
  const struct ColtChoice *left = a;
  const struct ColtChoice *right = b;

  if (left->score == right->score)
    return 0;
  return left->score > right->score ? -1 : 1;
}
