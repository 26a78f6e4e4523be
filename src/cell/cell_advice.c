#include <string.h>

#include "cell_backfill.h"

/* Remaining validity that a ticket needs: a start order may take this long to
 * arrive. */
#define TICKET_MARGIN_US (150 * COLT_US_PER_MS)
/* Pause of a step after an advice call; doubled with each call until one leads
 * to a start. */
#define ADVICE_PAUSE_US (100 * COLT_US_PER_MS)
/* Servers that are searched for one without advice before those with room are
 * listed. */
#define SERVERS_SEARCHED_FIRST 64
/* A lasting step gets an adviser only while its queue uses less than one in
 * this many of them, as calls of lasting steps are long and are repeated
 * whenever room changes. */
#define LASTING_DIVISOR 4
/* A queue whose calls take at least this long uses at most half of the
 * advisers. */
#define LONG_CALL_MS 300.0

static bool needs_advice_ (const struct ColtCellStep *step,
                           const GPtrArray *servers,
                           guint count,
                           int64_t now_us,
                           bool *has_room);
static enum ColtCellBlock queue_advice_call_ (struct ColtCell *cell,
                                              struct ColtCellStep *step,
                                              int64_t now_us);
static void mark_unsuitable_ (const struct ColtCellCall *call);
static void store_tickets_ (struct ColtCell *cell,
                            struct ColtCellStep *step,
                            const ColtAdviceReply *reply,
                            int64_t now_us);
static void pause_advice_ (struct ColtCellStep *step, int64_t now_us);
static uint32_t count_calling_queues_ (const struct ColtCell *cell);
static bool send_advice_call_ (struct ColtCell *cell,
                               struct ColtCellStep *step);
static bool send_call_ (struct ColtCell *cell, struct ColtCellCall *call);
static void add_ticket_servers_ (const struct ColtCellStep *step,
                                 GPtrArray *servers);
static uint32_t get_call_limit_ (const struct ColtCell *cell,
                                 const struct ColtCellStep *step);

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

  return advice != NULL && colt_cell_is_suitable (advice, server, now_us)
             ? advice
             : NULL;
}

/* Returns whether the server may run the step; unless now_us is INT64_MIN, also
 * whether it has a ticket that remains valid long enough. */
bool
colt_cell_is_suitable (const struct ColtCellAdvice *advice,
                       const struct ColtCellServer *server,
                       int64_t now_us)
{
  return advice->suitable && advice->incarnation_ms == server->incarnation_ms
         && (now_us == INT64_MIN
             || advice->valid_until_us >= now_us + TICKET_MARGIN_US);
}

/* Returns false if all tickets of the step have expired. */
bool
colt_cell_may_have_ticket (const struct ColtCellStep *step, int64_t now_us)
{
  return step->tickets_until_us >= now_us + TICKET_MARGIN_US;
}

/* Whether a server may run a step stays the same within an incarnation of the
 * server. An advice call is therefore only of use if a server with room is
 * known to be suitable and lacks a ticket, or has no advice yet. */
enum ColtCellBlock
colt_cell_request_advice (struct ColtCell *cell,
                          struct ColtCellStep *step,
                          struct ColtCellPool *pool,
                          int64_t now_us)
{
  const GPtrArray *with_room;
  bool has_room = false;
  guint count;

  if (!step->job->queue->config->advised)
    return BLOCK_NO_ROOM;
  if (step->call != NULL)
    return BLOCK_ADVICE;
  if (now_us < step->next_advice_us)
    return BLOCK_ADVICE;
  if (pool->is_full && colt_resources_fit (&pool->unmet, &step->demand))
    return BLOCK_NO_ROOM;
  /* Unless the fleet is full, one of the first servers mostly suffices. */
  count = MIN (pool->servers->len, SERVERS_SEARCHED_FIRST);
  if (!colt_cell_count_searched (pool, count)
      && needs_advice_ (step, pool->servers, count, now_us, &has_room))
    return queue_advice_call_ (cell, step, now_us);
  with_room = colt_cell_list_with_room (pool, step, now_us);
  if (needs_advice_ (step, with_room, with_room->len, now_us, &has_room))
    return queue_advice_call_ (cell, step, now_us);
  if (!has_room)
    {
      pool->is_full = true;
      pool->unmet = step->demand;
    }
  return BLOCK_NO_ROOM;
}

/* Requests tickets for a gang on servers that have room, one for each task. The
 * gang can only start when all its servers have room and tickets at the same
 * time, so the caller reserves that room meanwhile. */
enum ColtCellBlock
colt_cell_request_gang_tickets (struct ColtCell *cell,
                                struct ColtCellStep *step,
                                struct ColtCellServer *const *servers)
{
  uint32_t i;

  if (step->call != NULL)
    return BLOCK_ADVICE;
  g_clear_pointer (&step->ticket_servers, g_ptr_array_unref);
  step->ticket_servers = g_ptr_array_new ();
  for (i = 0; i < step->spec->count; i++)
    g_ptr_array_add (step->ticket_servers, servers[i]);
  g_ptr_array_add (cell->advice_steps, step);
  return BLOCK_NO_ADVISER;
}

/* Requests advice on servers that have none yet, with or without room, until
 * enough servers are known to be suitable for the gang. */
enum ColtCellBlock
colt_cell_request_gang_advice (struct ColtCell *cell,
                               struct ColtCellStep *step,
                               const struct ColtCellPool *pool,
                               int64_t now_us)
{
  guint i;

  if (step->call != NULL)
    return BLOCK_ADVICE;
  g_clear_pointer (&step->ticket_servers, g_ptr_array_unref);
  for (i = 0; i < pool->servers->len; i++)
    {
      const struct ColtCellServer *server
          = g_ptr_array_index (pool->servers, i);
      bool suitable;

      if (colt_cell_is_usable (server, now_us)
          && colt_cell_meets_constraints (step, server)
          && colt_cell_may_hold (step, server)
          && !colt_cell_find_suitability (step, server, &suitable))
        return queue_advice_call_ (cell, step, now_us);
    }
  return BLOCK_NO_ROOM;
}

/* Returns whether the step has advice on the server, and if so, whether the
 * server may run it. */
bool
colt_cell_find_suitability (const struct ColtCellStep *step,
                            const struct ColtCellServer *server,
                            bool *suitable)
{
  const struct ColtCellAdvice *advice
      = g_hash_table_lookup (step->advice, server);

  if (advice == NULL || advice->incarnation_ms != server->incarnation_ms)
    return false;
  *suitable = advice->suitable;
  return true;
}

bool
colt_cell_is_known_suitable (const struct ColtCellStep *step,
                             const struct ColtCellServer *server)
{
  bool suitable = false;

  return colt_cell_find_suitability (step, server, &suitable) && suitable;
}

bool
colt_cell_is_known_unsuitable (const struct ColtCellStep *step,
                               const struct ColtCellServer *server)
{
  bool suitable = true;

  return colt_cell_find_suitability (step, server, &suitable) && !suitable;
}

/* Gives each queue an equal share of the advisers first; the remaining advisers
 * are assigned in the order of the steps. */
void
colt_cell_send_advice_calls (struct ColtCell *cell, int64_t now_us)
{
  uint32_t queues;
  uint32_t share;
  guint i;

  cell->now_us = now_us;
  if (cell->advice_steps->len == 0)
    return;
  queues = count_calling_queues_ (cell);
  share = cell->advisers / MAX (queues, 1);
  for (i = 0; i < cell->advice_steps->len; i++)
    {
      struct ColtCellStep *step = g_ptr_array_index (cell->advice_steps, i);

      if (step->job->queue->open_calls < MAX (share, 1)
          && !send_advice_call_ (cell, step))
        break;
    }
  for (i = 0; i < cell->advice_steps->len; i++)
    {
      struct ColtCellStep *step = g_ptr_array_index (cell->advice_steps, i);

      if (step->call == NULL && !send_advice_call_ (cell, step))
        break;
    }
  g_ptr_array_set_size (cell->advice_steps, 0);
  colt_cell_forget_candidates (cell);
}

void
colt_cell_apply_advice (struct ColtCell *cell,
                        uint64_t number,
                        const ColtAdviceReply *reply,
                        int64_t now_us)
{
  const struct ColtCellCall *call
      = g_hash_table_lookup (cell->open_calls, &number);
  struct ColtCellStep *step;

  if (call == NULL)
    return;
  call->queue->open_calls--;
  step = call->step;
  if (step != NULL)
    {
      step->call = NULL;
      pause_advice_ (step, now_us);
    }
  if (step != NULL && reply != NULL && reply->answered)
    {
      mark_unsuitable_ (call);
      store_tickets_ (cell, step, reply, now_us);
    }
  g_hash_table_remove (cell->open_calls, &number);
}

void
colt_cell_abandon_call (struct ColtCellStep *step)
{
  if (step->call != NULL)
    step->call->step = NULL;
  step->call = NULL;
}

void
colt_cell_free_call (gpointer data)
{
  struct ColtCellCall *call = data;

  g_ptr_array_unref (call->servers);
  g_array_unref (call->incarnations);
  g_free (call);
}

/* Returns whether an advice call is of use for one of the first servers of a
 * list. Sets has_room to true if one that was looked at has room. */
static bool
needs_advice_ (const struct ColtCellStep *step,
               const GPtrArray *servers,
               guint count,
               int64_t now_us,
               bool *has_room)
{
  guint i;

  for (i = 0; i < count; i++)
    {
      const struct ColtCellServer *server = g_ptr_array_index (servers, i);
      const struct ColtCellAdvice *advice;

      if (!colt_cell_fits (step, server)
          || !colt_cell_is_usable (server, now_us)
          || !colt_cell_is_warm_enough (step, server, now_us))
        continue;
      *has_room = true;
      if (!colt_cell_meets_constraints (step, server)
          || !colt_cell_may_use (step, server, now_us))
        continue;
      advice = g_hash_table_lookup (step->advice, server);
      if (advice == NULL || advice->incarnation_ms != server->incarnation_ms
          || (advice->suitable
              && !colt_cell_is_suitable (advice, server, now_us)))
        return true;
    }
  return false;
}

static enum ColtCellBlock
queue_advice_call_ (struct ColtCell *cell,
                    struct ColtCellStep *step,
                    int64_t now_us)
{
  if (now_us < step->next_advice_us)
    return BLOCK_ADVICE;
  g_ptr_array_add (cell->advice_steps, step);
  return BLOCK_NO_ADVISER;
}

static void
mark_unsuitable_ (const struct ColtCellCall *call)
{
  const struct ColtCellStep *step = call->step;
  guint i;

  for (i = 0; i < call->servers->len; i++)
    {
      struct ColtCellServer *server = g_ptr_array_index (call->servers, i);
      struct ColtCellAdvice *advice
          = g_hash_table_lookup (step->advice, server);

      if (advice == NULL)
        {
          advice = g_new0 (struct ColtCellAdvice, 1);
          g_hash_table_insert (step->advice, server, advice);
        }
      advice->suitable = false;
      advice->incarnation_ms = g_array_index (call->incarnations, int64_t, i);
    }
}

static void
store_tickets_ (struct ColtCell *cell,
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
      advice->suitable = true;
      g_free (advice->ticket);
      advice->ticket = g_strdup (reply->tickets[i]->ticket);
      advice->valid_until_us
          = now_us + (int64_t)reply->valid_ms * COLT_US_PER_MS;
      step->tickets_until_us
          = MAX (step->tickets_until_us, advice->valid_until_us);
    }
}

/* Doubles the pause between advice calls; a start resets it. */
static void
pause_advice_ (struct ColtCellStep *step, int64_t now_us)
{
  step->next_advice_us = now_us + (ADVICE_PAUSE_US << step->fruitless_calls);
  step->fruitless_calls
      = MIN (step->fruitless_calls + 1, COLT_ADVICE_PAUSES_DOUBLED_MAX);
}

/* Returns the number of queues that have pending calls or need some. */
static uint32_t
count_calling_queues_ (const struct ColtCell *cell)
{
  uint32_t count = 0;
  GHashTableIter i;
  gpointer value;
  guint s;

  g_hash_table_iter_init (&i, cell->queues);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      struct ColtCellQueue *queue = value;

      queue->calling = queue->open_calls > 0;
      count += queue->calling ? 1 : 0;
    }
  for (s = 0; s < cell->advice_steps->len; s++)
    {
      const struct ColtCellStep *step
          = g_ptr_array_index (cell->advice_steps, s);
      struct ColtCellQueue *queue = step->job->queue;

      count += queue->calling ? 0 : 1;
      queue->calling = true;
    }
  return count;
}

/* Sends the advice call of a step unless its queue is at its limit. Returns
 * false if no adviser is free. */
static bool
send_advice_call_ (struct ColtCell *cell, struct ColtCellStep *step)
{
  struct ColtCellQueue *queue = step->job->queue;
  struct ColtCellCall *call;
  bool has_adviser;

  if (queue->open_calls >= get_call_limit_ (cell, step))
    return true;
  call = g_new0 (struct ColtCellCall, 1);
  call->number = (uint64_t)cell->generation << 32 | (cell->last_call + 1);
  call->queue = queue;
  call->step = step;
  call->sent_us = cell->now_us;
  call->servers = g_ptr_array_new ();
  call->incarnations = g_array_new (FALSE, FALSE, sizeof (int64_t));
  if (step->ticket_servers != NULL)
    add_ticket_servers_ (step, call->servers);
  else
    colt_cell_name_candidates (cell, step, queue->pool, call->servers);
  /* The list may be empty: later starts of the pass may have used the last
   * room. */
  has_adviser = call->servers->len == 0 || send_call_ (cell, call);
  if (!has_adviser || call->servers->len == 0)
    {
      colt_cell_free_call (call);
      return has_adviser;
    }
  cell->last_call++;
  queue->open_calls++;
  step->call = call;
  g_hash_table_insert (cell->open_calls, &call->number, call);
  return true;
}

static bool
send_call_ (struct ColtCell *cell, struct ColtCellCall *call)
{
  const struct ColtCellStep *step = call->step;
  GPtrArray *names = g_ptr_array_new ();
  char name[TASK_NAME_SIZE];
  bool has_adviser;
  guint i;

  for (i = 0; i < call->servers->len; i++)
    {
      const struct ColtCellServer *server
          = g_ptr_array_index (call->servers, i);

      g_ptr_array_add (names, server->id);
      g_array_append_val (call->incarnations, server->incarnation_ms);
    }
  g_snprintf (name, sizeof name, "%s.%u.%u", step->job->id, step->occurrence,
              step->number);
  has_adviser
      = cell->ops->advise (cell->client, call->number, name,
                           (const char *const *)names->pdata, names->len);
  g_ptr_array_unref (names);
  return has_adviser;
}

static void
add_ticket_servers_ (const struct ColtCellStep *step, GPtrArray *servers)
{
  guint i;

  for (i = 0; i < step->ticket_servers->len; i++)
    {
      struct ColtCellServer *server
          = g_ptr_array_index (step->ticket_servers, i);

      if (!g_ptr_array_find (servers, server, NULL))
        g_ptr_array_add (servers, server);
    }
}

/* Returns how many advice calls a step's queue may have pending. */
static uint32_t
get_call_limit_ (const struct ColtCell *cell, const struct ColtCellStep *step)
{
  uint32_t limit = cell->advisers;

  if (step->spec->lasting)
    limit /= LASTING_DIVISOR;
  else if (step->job->queue->config->advice_ms >= LONG_CALL_MS)
    limit /= 2;
  return MAX (limit, 1);
}
