#include "cell_backfill.h"

/* Servers named in an advice call in addition to those for the waiting tasks,
 * since only some servers may run a step. */
#define NAMED_SERVERS_MIN 8
/* Servers named for each waiting task. */
#define NAMED_SERVERS_PER_TASK 4
/* What the score of a cold server is lowered by; more than any other term. */
#define COLD_PENALTY 100.0
/* Slowness beyond this doesn't lower a server's score further. */
#define SLOWNESS_COUNTED_MAX 2

/* A usable server of a pool, with what its score for an advice call depends on
 * besides the step. */
struct ColtCandidate
{
  struct ColtCellServer *server;
  struct ColtResources left; /* room that isn't used */
  double fullness;
  double slowness;
  double cold; /* what its score is lowered by */
};

/* A candidate that a step may name. */
struct ColtNamed
{
  guint position; /* in the pool's candidates */
  double score;
};

static void list_candidates_ (struct ColtCellPool *pool, int64_t now_us);
static void describe_ (struct ColtCandidate *candidate,
                       struct ColtCellServer *server,
                       int64_t now_us);
static guint count_named_ (const struct ColtCell *cell,
                           const struct ColtCellStep *step);
static void offer_known_ (const struct ColtCellStep *step,
                          const struct ColtCellPool *pool,
                          GArray *named,
                          guint count);
static void offer_unknown_ (const struct ColtCellStep *step,
                            const struct ColtCellPool *pool,
                            GArray *named,
                            guint count);
static double score_ (const struct ColtCellStep *step,
                      const struct ColtCandidate *candidate,
                      bool known);
static bool fits_ (const struct ColtCellStep *step,
                   const struct ColtCandidate *candidate);
static bool is_better_ (const struct ColtNamed *a, const struct ColtNamed *b);
static bool
is_wanted_ (const GArray *named, guint count, const struct ColtNamed *offer);
static void insert_ (GArray *named, guint count, const struct ColtNamed *offer);

/* Names the best usable servers of a pool that may hold a task of a step and
 * aren't known to be unsuitable for it: first those that are known to be
 * suitable, as even full ones soon have room again for tasks that end. For
 * lasting tasks, and if that didn't let the step start, first those with room.
 * Among equal ones the first of the pool wins. */
void
colt_cell_name_candidates (const struct ColtCell *cell,
                           const struct ColtCellStep *step,
                           struct ColtCellPool *pool,
                           GPtrArray *servers)
{
  guint count = count_named_ (cell, step);
  GArray *named
      = g_array_sized_new (FALSE, FALSE, sizeof (struct ColtNamed), count + 1);
  guint i;

  if (pool->candidates == NULL)
    list_candidates_ (pool, cell->now_us);
  offer_known_ (step, pool, named, count);
  offer_unknown_ (step, pool, named, count);
  for (i = 0; i < named->len; i++)
    {
      guint position = g_array_index (named, struct ColtNamed, i).position;

      g_ptr_array_add (servers, g_array_index (pool->candidates,
                                               struct ColtCandidate, position)
                                    .server);
    }
  g_array_unref (named);
}

/* Returns whether a task of the step fits a server that runs nothing else. */
bool
colt_cell_may_hold (const struct ColtCellStep *step,
                    const struct ColtCellServer *server)
{
  return colt_resources_fit (&step->demand, &server->room);
}

/* Has to be called before the use of any server changes. */
void
colt_cell_forget_candidates (struct ColtCell *cell)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cell->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    g_clear_pointer (&((struct ColtCellPool *)value)->candidates,
                     g_array_unref);
}

static void
list_candidates_ (struct ColtCellPool *pool, int64_t now_us)
{
  guint count = 0;
  guint i;

  pool->candidates = g_array_new (FALSE, FALSE, sizeof (struct ColtCandidate));
  g_array_set_size (pool->candidates, pool->servers->len);
  for (i = 0; i < pool->servers->len; i++)
    {
      struct ColtCellServer *server = g_ptr_array_index (pool->servers, i);

      if (!colt_cell_is_usable (server, now_us))
        continue;
      server->position = count++;
      describe_ (&g_array_index (pool->candidates, struct ColtCandidate,
                                 server->position),
                 server, now_us);
    }
  g_array_set_size (pool->candidates, count);
}

static void
describe_ (struct ColtCandidate *candidate,
           struct ColtCellServer *server,
           int64_t now_us)
{
  int r;

  candidate->server = server;
  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    candidate->left.amount[r] = server->room.amount[r] - server->used.amount[r];
  candidate->fullness
      = (double)server->used.amount[COLT_RESOURCE_CORES]
        / (double)(server->room.amount[COLT_RESOURCE_CORES] + 1);
  candidate->slowness = MIN (colt_cell_slowness (server), SLOWNESS_COUNTED_MAX);
  candidate->cold
      = server->cold.until_us > now_us
            ? COLD_PENALTY
                  * (1 + colt_cold_ramp_coldness (&server->cold, now_us))
            : 0;
}

static guint
count_named_ (const struct ColtCell *cell, const struct ColtCellStep *step)
{
  /* A gang whose first call didn't let it start names more servers. */
  if (step->spec->gang && step->fruitless_calls > 0)
    return cell->limits.gang_advice_servers_max;
  return MIN (NAMED_SERVERS_MIN + NAMED_SERVERS_PER_TASK * step->waiting,
              cell->limits.advice_servers_max);
}

/* Offers the servers that are known to be suitable. */
static void
offer_known_ (const struct ColtCellStep *step,
              const struct ColtCellPool *pool,
              GArray *named,
              guint count)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&i, step->advice);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      const struct ColtCellServer *server = key;
      const struct ColtCandidate *candidate;
      struct ColtNamed offer = { server->position, 0 };

      if (server->pool != pool || offer.position >= pool->candidates->len
          || !colt_cell_is_suitable (value, server, INT64_MIN))
        continue;
      candidate = &g_array_index (pool->candidates, struct ColtCandidate,
                                  offer.position);
      /* Only the positions of candidates are current. */
      if (candidate->server != server)
        continue;
      offer.score = score_ (step, candidate, true);
      if (is_wanted_ (named, count, &offer)
          && colt_cell_meets_constraints (step, server)
          && colt_cell_may_hold (step, server))
        insert_ (named, count, &offer);
    }
}

/* Offers the servers that the step has no advice on. */
static void
offer_unknown_ (const struct ColtCellStep *step,
                const struct ColtCellPool *pool,
                GArray *named,
                guint count)
{
  bool suitable;
  guint i;

  for (i = 0; i < pool->candidates->len; i++)
    {
      const struct ColtCandidate *candidate
          = &g_array_index (pool->candidates, struct ColtCandidate, i);
      const struct ColtNamed offer = { i, score_ (step, candidate, false) };

      if (is_wanted_ (named, count, &offer)
          && colt_cell_meets_constraints (step, candidate->server)
          && colt_cell_may_hold (step, candidate->server)
          && !colt_cell_find_suitability (step, candidate->server, &suitable))
        insert_ (named, count, &offer);
    }
}

static double
score_ (const struct ColtCellStep *step,
        const struct ColtCandidate *candidate,
        bool known)
{
  bool room_first = step->spec->lasting
                    || step->fruitless_calls >= COLT_ADVICE_PAUSES_DOUBLED_MAX;
  double score = candidate->fullness;

  if (fits_ (step, candidate)
      && colt_cell_may_use (step, candidate->server,
                            candidate->server->pool->now_us))
    score += room_first ? 4 : 2;
  if (known)
    score += room_first ? 2 : 4;
  return score - candidate->slowness - candidate->cold;
}

static bool
fits_ (const struct ColtCellStep *step, const struct ColtCandidate *candidate)
{
  int r;

  for (r = 0; r <= COLT_RESOURCE_ACCELERATORS; r++)
    if (step->demand.amount[r] > 0
        && step->demand.amount[r] > candidate->left.amount[r])
      return false;
  return true;
}

static bool
is_better_ (const struct ColtNamed *a, const struct ColtNamed *b)
{
  return a->score > b->score
         || (a->score == b->score && a->position < b->position);
}

static bool
is_wanted_ (const GArray *named, guint count, const struct ColtNamed *offer)
{
  if (named->len < count)
    return true;
  return count > 0
         && is_better_ (offer,
                        &g_array_index (named, struct ColtNamed, count - 1));
}

/* Inserts an offer, best first, and drops the last one beyond the count. */
static void
insert_ (GArray *named, guint count, const struct ColtNamed *offer)
{
  guint i = named->len;

  while (i > 0
         && is_better_ (offer, &g_array_index (named, struct ColtNamed, i - 1)))
    i--;
  g_array_insert_val (named, i, *offer);
  if (named->len > count)
    g_array_set_size (named, count);
}
