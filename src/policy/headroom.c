#include "coltsfootstile/headroom.h"

#include <glib.h>

#include "coltsfootstile/clock.h"

/* Resources that placement accounts for. */
#define RESOURCES (COLT_RESOURCE_ACCELERATORS + 1)
/* Arrivals are counted in intervals of this length, over the last 16 s. */
#define INTERVAL_US (250 * COLT_US_PER_MS)
#define INTERVALS 64u
/* Part of its slack for which urgent work may wait for returned room. */
#define URGENT_WAIT 0.5
/* Part of its slack for which other work may be held back. */
#define PATIENT_WAIT 0.5
/* Less is kept free the more other work waits: nothing, once that takes this
 * part of its slack. A sudden change would start all that was held back at the
 * same time. */
#define CROWDED_PART 0.1
/* Largest part of a service that is kept free. */
#define KEPT_MAX 0.25

struct ColtHeadroom
{
  struct ColtResources slot;  /* largest recent demand of an urgent task */
  uint32_t counts[INTERVALS]; /* urgent tasks that became ready, by interval */
  int64_t interval;           /* number of the latest interval */
  int64_t task_us;            /* of the latest urgent tasks */
  int64_t slack_us;           /* of urgent work, the least in that time */
  int64_t urgent_us;          /* latest arrival; 0: never */
  uint32_t runs;              /* of urgent tasks */
  double waiting;  /* slot-seconds of other work that waits, in this pass */
  int64_t wait_us; /* least slack of that work */
};

static void advance_ (struct ColtHeadroom *headroom, int64_t now_us);
static bool has_arrivals_ (const struct ColtHeadroom *headroom, int64_t now_us);
static double part_of_slot_ (const struct ColtHeadroom *headroom,
                             const struct ColtResources *demand);
static uint32_t find_peak_ (const struct ColtHeadroom *headroom,
                            uint32_t length);

struct ColtHeadroom *
colt_headroom_create (void)
{
  return g_new0 (struct ColtHeadroom, 1);
}

void
colt_headroom_destroy (struct ColtHeadroom *headroom)
{
  g_free (headroom);
}

bool
colt_headroom_is_urgent (uint32_t priority, int64_t chain_us, int64_t slack_us)
{
  return priority == 0 && slack_us >= 0 && slack_us <= chain_us;
}

bool
colt_headroom_has_slack (uint32_t priority, int64_t chain_us, int64_t slack_us)
{
  return priority > 0 && slack_us >= 2 * chain_us;
}

bool
colt_headroom_may_wait (const struct ColtHeadroomWait *wait)
{
  return (double)wait->left_us > (1 - PATIENT_WAIT) * (double)wait->slack_us;
}

void
colt_headroom_add_waiting (struct ColtHeadroom *headroom,
                           const struct ColtResources *demand,
                           double task_seconds,
                           int64_t slack_us)
{
  headroom->waiting += part_of_slot_ (headroom, demand) * task_seconds;
  headroom->wait_us
      = headroom->wait_us == 0 ? slack_us : MIN (headroom->wait_us, slack_us);
}

bool
colt_headroom_add_urgent (struct ColtHeadroom *headroom,
                          const struct ColtHeadroomWork *work,
                          int64_t now_us)
{
  const struct ColtResources before = headroom->slot;
  bool changed = false;
  int r;

  if (!has_arrivals_ (headroom, now_us))
    {
      headroom->slot = (struct ColtResources){ { 0 } };
      headroom->slack_us = work->slack_us;
    }
  advance_ (headroom, now_us);
  headroom->urgent_us = now_us;
  headroom->task_us = work->task_us;
  headroom->slack_us = MIN (headroom->slack_us, work->slack_us);
  headroom->counts[headroom->interval % INTERVALS] += work->tasks;
  colt_resources_raise (&headroom->slot, &work->demand);
  for (r = 0; r < RESOURCES; r++)
    changed |= headroom->slot.amount[r] != before.amount[r];
  return changed;
}

void
colt_headroom_add_run (struct ColtHeadroom *headroom)
{
  headroom->runs++;
}

void
colt_headroom_end_run (struct ColtHeadroom *headroom)
{
  g_assert (headroom->runs > 0);
  headroom->runs--;
}

uint32_t
colt_headroom_count_slots (const struct ColtHeadroom *headroom,
                           const struct ColtResources *room,
                           const struct ColtResources *used)
{
  int64_t slots = -1;
  int r;

  for (r = 0; r < RESOURCES; r++)
    {
      int64_t free = MAX (room->amount[r] - used->amount[r], 0);

      if (headroom->slot.amount[r] <= 0)
        continue;
      free /= headroom->slot.amount[r];
      slots = slots < 0 ? free : MIN (slots, free);
    }
  return slots < 0 ? 0 : (uint32_t)MIN (slots, UINT32_MAX);
}

uint32_t
colt_headroom_needed (struct ColtHeadroom *headroom,
                      uint32_t total,
                      int64_t now_us)
{
  int64_t task_us = MAX (headroom->task_us, INTERVAL_US);
  int64_t span_us
      = task_us + (int64_t)(URGENT_WAIT * (double)headroom->slack_us);
  uint32_t length
      = (uint32_t)CLAMP (span_us / INTERVAL_US, 1, (int64_t)INTERVALS);
  double crowded_s;
  double needed;

  if (!has_arrivals_ (headroom, now_us))
    return 0;
  advance_ (headroom, now_us);
  needed = find_peak_ (headroom, length)
               * ((double)task_us / (double)(length * INTERVAL_US))
           - headroom->runs;
  crowded_s = CROWDED_PART * (double)headroom->wait_us / COLT_US_PER_S * total;
  if (headroom->waiting > 0)
    needed *= 1 - MIN (headroom->waiting / MAX (crowded_s, 1), 1);
  headroom->waiting = 0;
  headroom->wait_us = 0;
  return (uint32_t)CLAMP (needed, 0, KEPT_MAX * total);
}

/* Moves on to the interval of the current time; those in between are empty. */
static void
advance_ (struct ColtHeadroom *headroom, int64_t now_us)
{
  int64_t interval = now_us / INTERVAL_US;
  int64_t i;

  for (i = MAX (headroom->interval, interval - (int64_t)INTERVALS) + 1;
       i <= interval; i++)
    headroom->counts[i % INTERVALS] = 0;
  headroom->interval = MAX (headroom->interval, interval);
}

static bool
has_arrivals_ (const struct ColtHeadroom *headroom, int64_t now_us)
{
  return headroom->urgent_us != 0
         && now_us - headroom->urgent_us < INTERVALS * INTERVAL_US;
}

/* Returns the most urgent tasks that became ready in successive intervals. */
static uint32_t
find_peak_ (const struct ColtHeadroom *headroom, uint32_t length)
{
  uint32_t sum = 0;
  uint32_t peak = 0;
  uint32_t i;

  for (i = 1; i <= INTERVALS; i++)
    {
      sum += headroom->counts[(headroom->interval + i) % INTERVALS];
      if (i > length)
        sum -= headroom->counts[(headroom->interval + i - length) % INTERVALS];
      peak = MAX (peak, sum);
    }
  return peak;
}

/* Returns how many slots a demand takes, at least. */
static double
part_of_slot_ (const struct ColtHeadroom *headroom,
               const struct ColtResources *demand)
{
  double part = 0;
  int r;

  for (r = 0; r < RESOURCES; r++)
    if (headroom->slot.amount[r] > 0)
      part = MAX (part,
                  (double)demand->amount[r] / (double)headroom->slot.amount[r]);
  return part;
}
