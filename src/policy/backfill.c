#include "coltsfootstile/backfill.h"

#include <glib.h>
#include <stdlib.h>

#include "coltsfootstile/clock.h"

/* Shortest remaining time of a run that is late. */
#define LATE_US_MIN (100 * COLT_US_PER_MS)
/* Progress from which a run's duration is estimated; it is reported in whole
 * percents, so that less would be too coarse. */
#define PERCENT_MIN 10
/* Expected duration of work that uses a reserved server, relative to the mean:
 * half of all runs take longer than that. */
#define USE_FACTOR 1.25

/* A time from which more tasks of a gang fit on a server. */
struct ColtOffer
{
  int64_t at_us;
  size_t server; /* index */
  uint32_t tasks;
  bool preferred;
};

static void add_offers_ (const struct ColtBackfillGang *gang,
                         const struct ColtBackfillServer *server,
                         size_t index,
                         GArray *offers);
static uint32_t count_fitting_ (const struct ColtBackfillGang *gang,
                                const struct ColtBackfillServer *server,
                                const struct ColtResources *used);
static bool choose_ (const struct ColtBackfillGang *gang,
                     struct ColtBackfillServer *servers,
                     const GArray *offers,
                     int64_t *start_us);
static void set_spare_ (const struct ColtBackfillGang *gang,
                        struct ColtBackfillServer *server,
                        int64_t start_us);
static int compare_ends_ (gconstpointer a, gconstpointer b);
static int compare_offers_ (gconstpointer a, gconstpointer b);

bool
colt_backfill_plan (const struct ColtBackfillGang *gang,
                    struct ColtBackfillServer *servers,
                    size_t count,
                    int64_t *start_us)
{
  GArray *offers = g_array_new (FALSE, FALSE, sizeof (struct ColtOffer));
  bool found;
  size_t i;

  for (i = 0; i < count; i++)
    {
      servers[i].tasks = 0;
      if (servers[i].end_count > 1)
        qsort (servers[i].ends, servers[i].end_count, sizeof *servers[i].ends,
               compare_ends_);
      add_offers_ (gang, &servers[i], i, offers);
    }
  g_array_sort (offers, compare_offers_);
  found = choose_ (gang, servers, offers, start_us);
  for (i = 0; i < count; i++)
    if (!found)
      servers[i].tasks = 0;
    else if (servers[i].tasks > 0)
      set_spare_ (gang, &servers[i], *start_us);
  g_array_unref (offers);
  return found;
}

bool
colt_backfill_may_use (const struct ColtBackfillHold *hold,
                       const struct ColtResources *demand,
                       int64_t end_us)
{
  int r;

  if (end_us <= hold->at_us)
    return true;
  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    if (demand->amount[r] > 0 && demand->amount[r] > hold->spare.amount[r])
      return false;
  return true;
}

void
colt_backfill_use (struct ColtBackfillHold *hold,
                   const struct ColtResources *demand,
                   int64_t end_us)
{
  if (end_us > hold->at_us)
    colt_resources_subtract (&hold->spare, demand);
}

int64_t
colt_backfill_expect_end (int64_t started_us,
                          int64_t expected_us,
                          int64_t percent,
                          int64_t reported_us,
                          int64_t now_us)
{
  int64_t end_us = started_us + expected_us;

  if (percent >= PERCENT_MIN && reported_us > started_us)
    end_us = started_us + (reported_us - started_us) * 100 / percent;
  if (end_us < now_us)
    end_us = now_us + MAX (now_us - end_us, LATE_US_MIN);
  return end_us;
}

int64_t
colt_backfill_expect_use (int64_t expected_us, int64_t now_us)
{
  if (expected_us <= 0)
    return COLT_BACKFILL_NEVER;
  return now_us + (int64_t)(USE_FACTOR * (double)expected_us);
}

/* Offers the tasks that fit on a server now, and those that fit after each
 * expected end. */
static void
add_offers_ (const struct ColtBackfillGang *gang,
             const struct ColtBackfillServer *server,
             size_t index,
             GArray *offers)
{
  struct ColtResources used = server->used;
  struct ColtOffer offer
      = { MAX (gang->now_us, server->ready_us), index,
          count_fitting_ (gang, server, &used), server->preferred };
  uint32_t offered = offer.tasks;
  size_t i;

  if (offer.tasks > 0)
    g_array_append_val (offers, offer);
  for (i = 0; i < server->end_count && offered < gang->count; i++)
    {
      const struct ColtBackfillEnd *end = &server->ends[i];
      uint32_t fitting;

      if (end->at_us > gang->latest_us)
        break;
      colt_resources_subtract (&used, &end->demand);
      fitting = count_fitting_ (gang, server, &used);
      if (fitting <= offered)
        continue;
      offer.at_us = MAX (offer.at_us, end->at_us);
      offer.tasks = fitting - offered;
      offered = fitting;
      g_array_append_val (offers, offer);
    }
}

/* Returns how many tasks of a gang fit on a server beside what is used. */
static uint32_t
count_fitting_ (const struct ColtBackfillGang *gang,
                const struct ColtBackfillServer *server,
                const struct ColtResources *used)
{
  int64_t fitting = MIN (gang->count, server->tasks_max);
  int r;

  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    if (gang->demand.amount[r] > 0)
      fitting = MIN (fitting, (server->room.amount[r] - used->amount[r])
                                  / gang->demand.amount[r]);
  return (uint32_t)MAX (fitting, 0);
}

/* Takes the earliest offers until each task has a server. */
static bool
choose_ (const struct ColtBackfillGang *gang,
         struct ColtBackfillServer *servers,
         const GArray *offers,
         int64_t *start_us)
{
  uint32_t missing = gang->count;
  guint i;

  for (i = 0; i < offers->len && missing > 0; i++)
    {
      const struct ColtOffer *offer
          = &g_array_index (offers, struct ColtOffer, i);
      uint32_t taken = MIN (offer->tasks, missing);

      if (offer->at_us > gang->latest_us)
        return false;
      servers[offer->server].tasks += taken;
      missing -= taken;
      if (missing == 0)
        *start_us = offer->at_us;
    }
  return missing == 0;
}

/* Sets what is free beside the gang's tasks on a server once they start. */
static void
set_spare_ (const struct ColtBackfillGang *gang,
            struct ColtBackfillServer *server,
            int64_t start_us)
{
  size_t i;
  int r;

  server->spare = server->room;
  colt_resources_subtract (&server->spare, &server->used);
  for (i = 0; i < server->end_count && server->ends[i].at_us <= start_us; i++)
    colt_resources_add (&server->spare, &server->ends[i].demand);
  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    server->spare.amount[r] -= server->tasks * gang->demand.amount[r];
}

static int
compare_ends_ (gconstpointer a, gconstpointer b)
{
  const struct ColtBackfillEnd *left = a;
  const struct ColtBackfillEnd *right = b;

  if (left->at_us == right->at_us)
    return 0;
  return left->at_us < right->at_us ? -1 : 1;
}

static int
compare_offers_ (gconstpointer a, gconstpointer b)
{
  const struct ColtOffer *left = a;
  const struct ColtOffer *right = b;

  if (left->at_us != right->at_us)
    return left->at_us < right->at_us ? -1 : 1;
  if (left->preferred != right->preferred)
    return left->preferred ? -1 : 1;
  if (left->server == right->server)
    return 0;
  return left->server < right->server ? -1 : 1;
}
