#include <string.h>

#include "coltsfootstile/clock.h"
#include "owner_private.h"

/* How long a task waits here for credits before its home is told. */
#define CREDIT_PATIENCE_US (250 * COLT_US_PER_MS)
/* Tasks of one team that may wait here at a time. */
#define CREDIT_WAITERS_MAX 32u

static struct ColtQuotaAmount amount_of_ (const struct ColtOwnerTask *task);
static uint32_t count_waiters_ (const struct ColtOwner *owner,
                                const char *team);
static void tell_waiting_ (struct ColtOwner *owner,
                           const char *team,
                           const struct ColtQuotaAmount *unit);

bool
colt_owner_take_credits (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount amount = amount_of_ (task);

  if (owner->credits == NULL)
    return false;
  task->credited = colt_credit_holder_take (
      owner->credits, colt_owner_tasks_team (owner->tasks, task),
      task->server->id, &amount);
  return task->credited;
}

void
colt_owner_adopt_credits (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount amount = amount_of_ (task);

  if (owner->credits == NULL)
    return;
  colt_credit_holder_adopt (owner->credits,
                            colt_owner_tasks_team (owner->tasks, task),
                            task->server->id, &amount);
  task->credited = true;
}

void
colt_owner_give_credits (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount amount = amount_of_ (task);

  if (task->credited && owner->credits != NULL)
    colt_credit_holder_give (owner->credits,
                             colt_owner_tasks_team (owner->tasks, task),
                             task->server->id, &amount);
  task->credited = false;
}

bool
colt_owner_may_want_credit (const struct ColtOwner *owner, const char *team)
{
  return owner->credits != NULL
         && count_waiters_ (owner, team) < CREDIT_WAITERS_MAX;
}

void
colt_owner_want_credit (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount unit = amount_of_ (task);

  task->wants_credit = true;
  g_queue_push_tail (&owner->wants_credit, task);
  tell_waiting_ (owner, colt_owner_tasks_team (owner->tasks, task), &unit);
}

void
colt_owner_unwant_credit (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount unit = amount_of_ (task);

  if (!task->wants_credit)
    return;
  task->wants_credit = false;
  g_queue_remove (&owner->wants_credit, task);
  if (owner->credits != NULL)
    tell_waiting_ (owner, colt_owner_tasks_team (owner->tasks, task), &unit);
}

void
colt_owner_credits_came (struct ColtOwner *owner)
{
  GList *link = owner->wants_credit.head;

  while (link != NULL)
    {
      struct ColtOwnerTask *task = link->data;

      link = link->next;
      if (!colt_owner_take_credits (owner, task))
        continue;
      colt_owner_unwant_credit (owner, task);
      g_queue_push_tail (&task->server->queue, task);
      colt_owned_server_flush (task->server);
    }
}

void
colt_owner_expire_credit (struct ColtOwner *owner, int64_t now_us)
{
  struct ColtOwnerTask *task;

  while ((task = g_queue_peek_head (&owner->wants_credit)) != NULL
         && now_us - task->accepted_us >= CREDIT_PATIENCE_US)
    {
      colt_owner_unwant_credit (owner, task);
      colt_owner_refuse_task (owner, task, COLT_REFUSAL_NO_CREDIT);
    }
}

void
colt_owner_refuse_credit (struct ColtOwner *owner,
                          const struct ColtOwnedServer *server)
{
  GList *link = owner->wants_credit.head;

  while (link != NULL)
    {
      struct ColtOwnerTask *task = link->data;

      link = link->next;
      if (task->server != server)
        continue;
      colt_owner_unwant_credit (owner, task);
      colt_owner_refuse_task (owner, task, COLT_REFUSAL_FENCED);
    }
}

static struct ColtQuotaAmount
amount_of_ (const struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount amount
      = { { 1, task->limit.amount[COLT_RESOURCE_CORES],
            task->limit.amount[COLT_RESOURCE_ACCELERATORS] } };

  return amount;
}

static uint32_t
count_waiters_ (const struct ColtOwner *owner, const char *team)
{
  const GList *link;
  uint32_t count = 0;

  for (link = owner->wants_credit.head; link != NULL; link = link->next)
    count
        += strcmp (colt_owner_tasks_team (owner->tasks, link->data), team) == 0;
  return count;
}

static void
tell_waiting_ (struct ColtOwner *owner,
               const char *team,
               const struct ColtQuotaAmount *unit)
{
  colt_credit_holder_set_waiting (owner->credits, team,
                                  count_waiters_ (owner, team), unit);
  colt_credit_holder_process (owner->credits, colt_clock_monotonic_us ());
}
