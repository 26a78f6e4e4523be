#include <string.h>

#include "credit_leader_private.h"

/* Least time between two rebalancings of a team, in us. */
#define REBALANCE_PERIOD_US 1000000
/* Spare tasks up to which an owner with tasks of the team is topped up. */
#define TOP_UP_TASKS (COLT_CREDIT_RESERVE_TASKS / 2)

static const struct ColtQuotaAmount no_limit
    = { { COLT_QUOTA_UNLIMITED, COLT_QUOTA_UNLIMITED, COLT_QUOTA_UNLIMITED } };

struct ColtDivision
{
  struct ColtCreditTeam *team;
  size_t count;
  const struct ColtQuotaAmount *usable;
  struct ColtQuotaNeed *needs;
  struct ColtQuotaAmount *targets;
};

static struct ColtCreditEntry *entry_at_ (const struct ColtCreditTeam *team,
                                          size_t index);
static void serve_waiting_ (struct ColtDivision *division);
static void set_need_ (const struct ColtCreditEntry *entry,
                       struct ColtQuotaNeed *need);
static void rebalance_ (struct ColtDivision *division);
static void keep_spare_ (struct ColtDivision *division);
static void top_up_ (struct ColtDivision *division);
static int64_t top_up_count_ (const struct ColtCreditEntry *entry,
                              const struct ColtQuotaAmount *target);
static void set_unlimited_ (struct ColtDivision *division);
static void lower_ceilings_ (struct ColtDivision *division, uint64_t *sequence);
static void raise_ceilings_ (struct ColtDivision *division, uint64_t *sequence);
static void raise_ceiling_ (struct ColtDivision *division,
                            size_t index,
                            struct ColtQuotaAmount *room,
                            uint64_t *sequence);
static void limit_raise_ (const struct ColtCreditEntry *entry,
                          const struct ColtQuotaAmount *counted,
                          const struct ColtQuotaAmount *room,
                          struct ColtQuotaAmount *ceiling);

void
colt_credit_entry_get_counted_ (const struct ColtCreditEntry *entry,
                                struct ColtQuotaAmount *counted)
{
  *counted = entry->peak;
  colt_quota_raise (counted, &entry->running);
  colt_quota_add (counted, &entry->lost);
}

void
colt_credit_team_get_counted_ (const struct ColtCreditTeam *team,
                               struct ColtQuotaAmount *counted)
{
  size_t i;

  memset (counted, 0, sizeof *counted);
  for (i = 0; i < team->entries->len; i++)
    {
      struct ColtQuotaAmount one;

      colt_credit_entry_get_counted_ (entry_at_ (team, i), &one);
      colt_quota_add (counted, &one);
    }
}

void
colt_credit_team_divide_ (struct ColtCreditTeam *team,
                          const struct ColtQuotaAmount *usable,
                          int64_t now_us,
                          uint64_t *sequence)
{
  struct ColtDivision division = { team, team->entries->len, usable };
  struct ColtQuotaAmount counted;

  if (division.count == 0)
    return;
  colt_credit_team_get_counted_ (team, &counted);
  team->over_usable = !colt_quota_is_within (&counted, usable);
  team->dirty = false;
  division.needs = g_new0 (struct ColtQuotaNeed, division.count);
  division.targets = g_new0 (struct ColtQuotaAmount, division.count);
  if (!team->balanced || now_us - team->balanced_us >= REBALANCE_PERIOD_US)
    {
      rebalance_ (&division);
      team->balanced = true;
      team->balanced_us = now_us;
    }
  serve_waiting_ (&division);
  set_unlimited_ (&division);
  lower_ceilings_ (&division, sequence);
  raise_ceilings_ (&division, sequence);
  g_free (division.needs);
  g_free (division.targets);
}

void
colt_credit_entry_set_ceiling_ (struct ColtCreditEntry *entry,
                                const struct ColtQuotaAmount *ceiling,
                                uint64_t *sequence)
{
  entry->ceiling = *ceiling;
  colt_quota_raise (&entry->peak, ceiling);
  entry->first_sequence = ++*sequence;
  entry->sequence = entry->first_sequence;
  entry->unsent = true;
}

bool
colt_credit_team_is_current_ (const struct ColtCreditTeam *team, int64_t now_us)
{
  return !team->dirty && team->balanced
         && now_us - team->balanced_us < REBALANCE_PERIOD_US;
}

void
colt_credit_team_drop_unused_ (struct ColtCreditTeam *team)
{
  size_t i;

  for (i = 0; i < team->entries->len; i++)
    {
      const struct ColtCreditEntry *entry = entry_at_ (team, i);

      if (entry->applied_sequence >= entry->first_sequence
          && entry->waiting == 0 && colt_quota_is_zero (&entry->running)
          && colt_quota_is_zero (&entry->lost)
          && colt_quota_is_zero (&entry->peak))
        g_array_remove_index_fast (team->entries, i--);
    }
}

static struct ColtCreditEntry *
entry_at_ (const struct ColtCreditTeam *team, size_t index)
{
  return &g_array_index (team->entries, struct ColtCreditEntry, index);
}

/* Sets targets that serve the waiting tasks. If all are served, owners keep
 * their spare credits as far as possible and are topped up. */
static void
serve_waiting_ (struct ColtDivision *division)
{
  struct ColtCreditTeam *team = division->team;
  int64_t unserved;
  size_t i;

  for (i = 0; i < division->count; i++)
    set_need_ (entry_at_ (team, i), &division->needs[i]);
  unserved = colt_quota_fill (division->usable, division->needs,
                              division->count, team->first, division->targets);
  if (unserved > 0 || team->over_usable)
    return;
  keep_spare_ (division);
  top_up_ (division);
}

/* Sets the need of an owner, which keeps the spare credits that its waiting
 * tasks can use, up to its fair share. */
static void
set_need_ (const struct ColtCreditEntry *entry, struct ColtQuotaNeed *need)
{
  struct ColtQuotaAmount available = entry->ceiling;
  struct ColtQuotaNeed own = { entry->running, entry->unit, entry->waiting };

  colt_quota_raise (&available, &entry->running);
  need->unit = entry->unit;
  need->count = colt_quota_fill (&available, &own, 1, 0, &need->base);
  colt_quota_lower (&need->base, &entry->fair_share);
}

/* Sets the fair shares by a division that disregards present ceilings. While
 * not all tasks can be served, the shares prevent an owner whose tasks follow
 * each other closely from starving the others. */
static void
rebalance_ (struct ColtDivision *division)
{
  struct ColtCreditTeam *team = division->team;
  int64_t unserved;
  size_t i;
  int dimension;

  for (i = 0; i < division->count; i++)
    {
      const struct ColtCreditEntry *entry = entry_at_ (team, i);
      int64_t running = entry->running.amount[COLT_QUOTA_TASKS];
      struct ColtQuotaNeed *need = &division->needs[i];

      memset (need, 0, sizeof *need);
      need->unit = entry->unit;
      need->count = running + entry->waiting;
      for (dimension = 0; running > 0 && dimension < COLT_QUOTA_COUNT;
           dimension++)
        if (entry->waiting == 0)
          need->unit.amount[dimension]
              = entry->running.amount[dimension] / running;
    }
  unserved = colt_quota_fill (division->usable, division->needs,
                              division->count, team->first, division->targets);
  for (i = 0; i < division->count; i++)
    entry_at_ (team, i)->fair_share
        = unserved > 0 ? division->targets[i] : no_limit;
  if (unserved > 0)
    team->first = (team->first + 1) % division->count;
}

/* Raises the targets to the present ceilings if the usable amount allows. */
static void
keep_spare_ (struct ColtDivision *division)
{
  struct ColtQuotaAmount sum = { { 0 } };
  size_t i;

  for (i = 0; i < division->count; i++)
    {
      struct ColtQuotaAmount kept = division->targets[i];

      colt_quota_raise (&kept, &entry_at_ (division->team, i)->ceiling);
      colt_quota_add (&sum, &kept);
    }
  if (!colt_quota_is_within (&sum, division->usable))
    return;
  for (i = 0; i < division->count; i++)
    colt_quota_raise (&division->targets[i],
                      &entry_at_ (division->team, i)->ceiling);
}

/* Gives owners with tasks of the team up to half of the remaining amount as
 * spare credits. */
static void
top_up_ (struct ColtDivision *division)
{
  struct ColtQuotaAmount total = *division->usable;
  struct ColtQuotaAmount sum = { { 0 } };
  size_t i;
  int dimension;

  for (i = 0; i < division->count; i++)
    colt_quota_add (&sum, &division->targets[i]);
  for (dimension = 0; dimension < COLT_QUOTA_COUNT; dimension++)
    if (total.amount[dimension] != COLT_QUOTA_UNLIMITED
        && total.amount[dimension] > sum.amount[dimension])
      total.amount[dimension]
          -= (total.amount[dimension] - sum.amount[dimension]) / 2;
  for (i = 0; i < division->count; i++)
    {
      const struct ColtCreditEntry *entry = entry_at_ (division->team, i);

      division->needs[i].base = division->targets[i];
      division->needs[i].unit = entry->unit;
      division->needs[i].count = top_up_count_ (entry, &division->targets[i]);
    }
  colt_quota_fill (&total, division->needs, division->count,
                   division->team->first, division->targets);
}

static int64_t
top_up_count_ (const struct ColtCreditEntry *entry,
               const struct ColtQuotaAmount *target)
{
  int64_t spare = target->amount[COLT_QUOTA_TASKS]
                  - entry->running.amount[COLT_QUOTA_TASKS] - entry->waiting;

  if (colt_quota_is_zero (&entry->running) && entry->waiting == 0)
    return 0;
  return spare >= TOP_UP_TASKS ? 0 : TOP_UP_TASKS - spare;
}

static void
set_unlimited_ (struct ColtDivision *division)
{
  size_t i;
  int dimension;

  for (dimension = 0; dimension < COLT_QUOTA_COUNT; dimension++)
    if (division->usable->amount[dimension] == COLT_QUOTA_UNLIMITED)
      for (i = 0; i < division->count; i++)
        division->targets[i].amount[dimension] = COLT_QUOTA_UNLIMITED;
}

static void
lower_ceilings_ (struct ColtDivision *division, uint64_t *sequence)
{
  size_t i;

  for (i = 0; i < division->count; i++)
    {
      struct ColtCreditEntry *entry = entry_at_ (division->team, i);
      struct ColtQuotaAmount ceiling = entry->ceiling;

      colt_quota_lower (&ceiling, &division->targets[i]);
      if (!colt_quota_equal (&ceiling, &entry->ceiling))
        colt_credit_entry_set_ceiling_ (entry, &ceiling, sequence);
    }
}

static void
raise_ceilings_ (struct ColtDivision *division, uint64_t *sequence)
{
  struct ColtQuotaAmount room = *division->usable;
  struct ColtQuotaAmount counted;
  size_t i;

  colt_credit_team_get_counted_ (division->team, &counted);
  if (!colt_quota_is_within (&counted, division->usable))
    return;
  colt_quota_subtract (&room, &counted);
  for (i = 0; i < division->count; i++)
    raise_ceiling_ (division, (division->team->first + i) % division->count,
                    &room, sequence);
}

static void
raise_ceiling_ (struct ColtDivision *division,
                size_t index,
                struct ColtQuotaAmount *room,
                uint64_t *sequence)
{
  struct ColtCreditEntry *entry = entry_at_ (division->team, index);
  struct ColtQuotaAmount ceiling = entry->ceiling;
  struct ColtQuotaAmount counted;
  struct ColtQuotaAmount growth;

  colt_quota_raise (&ceiling, &division->targets[index]);
  colt_credit_entry_get_counted_ (entry, &counted);
  limit_raise_ (entry, &counted, room, &ceiling);
  if (colt_quota_equal (&ceiling, &entry->ceiling))
    return;
  growth = ceiling;
  colt_quota_raise (&growth, &counted);
  colt_quota_subtract (&growth, &counted);
  colt_quota_subtract (room, &growth);
  colt_credit_entry_set_ceiling_ (entry, &ceiling, sequence);
}

/* Limits a raise to the whole tasks that fit into the room. */
static void
limit_raise_ (const struct ColtCreditEntry *entry,
              const struct ColtQuotaAmount *counted,
              const struct ColtQuotaAmount *room,
              struct ColtQuotaAmount *ceiling)
{
  struct ColtQuotaAmount bound = *counted;
  struct ColtQuotaNeed need = { entry->ceiling, entry->unit, 0 };

  colt_quota_add (&bound, room);
  if (colt_quota_is_within (ceiling, &bound))
    return;
  need.count = entry->waiting;
  colt_quota_lower (&bound, ceiling);
  colt_quota_fill (&bound, &need, 1, 0, ceiling);
}
