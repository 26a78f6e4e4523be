#include <string.h>

#include "coltsfootstile/clock.h"
#include "owner_private.h"

/* Time after which a start that waits for credits is refused. */
#define CREDIT_TIMEOUT_US (250 * COLT_US_PER_MS)
/* Maximum number of tasks of one team that wait for credits. */
#define CREDIT_WAITERS_MAX 32u

static struct ColtQuotaAmount get_amount_ (const struct ColtOwnerTask *task);
static uint32_t count_waiters_ (const struct ColtOwner *owner,
                                const char *team);
static void report_waiters_ (struct ColtOwner *owner,
                             const char *team,
                             const struct ColtQuotaAmount *unit);

bool
colt_owner_acquire_credits (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount amount = get_amount_ (task);

  if (owner->credits == NULL)
    return false;
  task->holds_credits = colt_credit_holder_acquire (
      owner->credits, colt_owner_tasks_team (owner->tasks, task),
      task->server->id, &amount);
  return task->holds_credits;
}

void
colt_owner_adopt_credits (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount amount = get_amount_ (task);

  if (owner->credits == NULL)
    return;
  colt_credit_holder_adopt (owner->credits,
                            colt_owner_tasks_team (owner->tasks, task),
                            task->server->id, &amount);
  task->holds_credits = true;
}

void
colt_owner_release_credits (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount amount = get_amount_ (task);

  if (task->holds_credits && owner->credits != NULL)
    colt_credit_holder_release (owner->credits,
                                colt_owner_tasks_team (owner->tasks, task),
                                task->server->id, &amount);
  task->holds_credits = false;
}

bool
colt_owner_may_await_credits (const struct ColtOwner *owner, const char *team)
{
  return owner->credits != NULL
         && count_waiters_ (owner, team) < CREDIT_WAITERS_MAX;
}

void
colt_owner_await_credits (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount unit = get_amount_ (task);

  task->awaits_credits = true;
  g_queue_push_tail (&owner->credit_waiters, task);
  report_waiters_ (owner, colt_owner_tasks_team (owner->tasks, task), &unit);
}

void
colt_owner_cancel_credit_wait (struct ColtOwner *owner,
                               struct ColtOwnerTask *task)
{
  const struct ColtQuotaAmount unit = get_amount_ (task);

  if (!task->awaits_credits)
    return;
  task->awaits_credits = false;
  g_queue_remove (&owner->credit_waiters, task);
  if (owner->credits != NULL)
    report_waiters_ (owner, colt_owner_tasks_team (owner->tasks, task), &unit);
}

void
colt_owner_start_credit_waiters (struct ColtOwner *owner)
{
  GList *link = owner->credit_waiters.head;

  while (link != NULL)
    {
      struct ColtOwnerTask *task = link->data;

      link = link->next;
      if (!colt_owner_acquire_credits (owner, task))
        continue;
      colt_owner_cancel_credit_wait (owner, task);
      g_queue_push_tail (&task->server->queue, task);
      colt_owned_server_send_changes (task->server);
    }
}

void
colt_owner_expire_credit_waits (struct ColtOwner *owner, int64_t now_us)
{
  struct ColtOwnerTask *task;

  while ((task = g_queue_peek_head (&owner->credit_waiters)) != NULL
         && now_us - task->accepted_us >= CREDIT_TIMEOUT_US)
    {
      colt_owner_cancel_credit_wait (owner, task);
      colt_owner_refuse_task (owner, task, COLT_REFUSAL_NO_CREDIT);
    }
}

void
colt_owner_refuse_credit_waits (struct ColtOwner *owner,
                                const struct ColtOwnedServer *server)
{
  GList *link = owner->credit_waiters.head;

  while (link != NULL)
    {
      struct ColtOwnerTask *task = link->data;

      link = link->next;
      if (task->server != server)
        continue;
      colt_owner_cancel_credit_wait (owner, task);
      colt_owner_refuse_task (owner, task, COLT_REFUSAL_FENCED);
    }
}

static struct ColtQuotaAmount
get_amount_ (const struct ColtOwnerTask *task)
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

  for (link = owner->credit_waiters.head; link != NULL; link = link->next)
    count
        += strcmp (colt_owner_tasks_team (owner->tasks, link->data), team) == 0;
  return count;
}

/* Reports to the credit holder how many tasks of a team wait. \a unit is what
 * one of them needs. */
static void
report_waiters_ (struct ColtOwner *owner,
                 const char *team,
                 const struct ColtQuotaAmount *unit)
{
  colt_credit_holder_set_waiting (owner->credits, team,
                                  count_waiters_ (owner, team), unit);
  colt_credit_holder_process (owner->credits, colt_clock_monotonic_us ());
}
