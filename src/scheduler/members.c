#include "members.h"

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/guard.h"
#include "scheduler_private.h"

/* A member counts as live this long after a heartbeat: two may be lost. */
#define HEARTBEAT_TIMEOUT_US (1300 * COLT_US_PER_MS)
/* Added to the time for which an instance relies on its contact with the
 * leader, for clocks of different rates. */
#define CONTACT_SLACK_US (500 * COLT_US_PER_MS)
/* A member that reached the log this recently isn't cut off from it: reads
 * wait up to 1500 ms for a record. */
#define LOG_AGE_MAX_MS 2500
/* A member gets no call for advice this long after a failed one. */
#define ADVISER_PAUSE_US (1000 * COLT_US_PER_MS)
/* Concurrent calls for advice through one member. */
#define ADVICE_CALLS_MAX 1

struct ColtMember
{
  uint32_t instance;
  int64_t heartbeat_us; /* when the last heartbeat arrived */
  uint32_t log_age_ms;  /* time since it reached the log, at that heartbeat */
  double strength;
  bool leaving;        /* it won't claim leadership any more */
  int64_t followed_us; /* latest time at which it followed this leader */
  uint32_t open_advice_calls;
  int64_t paused_until_us;
  int64_t last_advice_us;
};

struct ColtMembers
{
  GArray *members; /* of struct ColtMember; the first is the own instance */
};

static struct ColtMember *find_member_ (const struct ColtMembers *members,
                                        uint32_t instance);
static bool may_rely_on_contact_ (const struct ColtMember *member,
                                  int64_t log_confirmed_us);

struct ColtMembers *
colt_members_create (void)
{
  struct ColtMembers *members = g_new0 (struct ColtMembers, 1);
  struct ColtMember self = { 0 };

  members->members = g_array_new (FALSE, TRUE, sizeof (struct ColtMember));
  self.instance = COLT_MEMBERS_SELF;
  g_array_append_val (members->members, self);
  return members;
}

void
colt_members_destroy (struct ColtMembers *members)
{
  if (members == NULL)
    return;
  g_array_unref (members->members);
  g_free (members);
}

void
colt_members_update (struct ColtMembers *members,
                     const struct ColtMemberBeat *beat,
                     int64_t now_us)
{
  struct ColtMember *member = find_member_ (members, beat->instance);
  struct ColtMember added = { 0 };

  if (member == NULL)
    {
      added.instance = beat->instance;
      g_array_append_val (members->members, added);
      member = find_member_ (members, beat->instance);
    }
  member->heartbeat_us = now_us;
  member->log_age_ms = beat->log_age_ms;
  member->strength = beat->strength;
  member->leaving = beat->leaving;
  member->followed_us = MAX (member->followed_us, beat->followed_us);
}

double
colt_members_find_strongest (const struct ColtMembers *members,
                             int64_t now_us,
                             uint32_t *instance)
{
  double strongest = 0;
  guint i;

  *instance = 0;
  for (i = 1; i < members->members->len; i++)
    {
      const struct ColtMember *member
          = &g_array_index (members->members, struct ColtMember, i);

      if (now_us - member->heartbeat_us <= HEARTBEAT_TIMEOUT_US
          && member->log_age_ms < LOG_AGE_MAX_MS
          && member->strength > strongest)
        {
          strongest = member->strength;
          *instance = member->instance;
        }
    }
  return strongest;
}

int64_t
colt_members_followed_us (const struct ColtMembers *members,
                          int64_t log_confirmed_us,
                          int64_t now_us)
{
  int64_t followed_us = MIN (now_us, log_confirmed_us + COLT_EXTENSION_MAX_US);
  guint i;

  for (i = 1; i < members->members->len; i++)
    {
      const struct ColtMember *member
          = &g_array_index (members->members, struct ColtMember, i);

      if (may_rely_on_contact_ (member, log_confirmed_us)
          && colt_guard_on (COLT_GUARD_FOLLOWERS))
        followed_us = MIN (followed_us, member->followed_us);
    }
  return MAX (followed_us, log_confirmed_us);
}

uint32_t
colt_members_acquire_adviser (struct ColtMembers *members, int64_t now_us)
{
  struct ColtMember *best = NULL;
  guint i;

  for (i = 0; i < members->members->len; i++)
    {
      struct ColtMember *member
          = &g_array_index (members->members, struct ColtMember, i);

      if ((i > 0 && now_us - member->heartbeat_us > HEARTBEAT_TIMEOUT_US)
          || member->open_advice_calls >= ADVICE_CALLS_MAX
          || now_us < member->paused_until_us)
        continue;
      if (best == NULL || member->last_advice_us < best->last_advice_us)
        best = member;
    }
  if (best == NULL)
    return 0;
  best->open_advice_calls++;
  best->last_advice_us = now_us;
  return best->instance;
}

uint32_t
colt_members_count_advisers (const struct ColtMembers *members, int64_t now_us)
{
  uint32_t count = 0;
  guint i;

  for (i = 0; i < members->members->len; i++)
    {
      const struct ColtMember *member
          = &g_array_index (members->members, struct ColtMember, i);

      if (i == 0 || now_us - member->heartbeat_us <= HEARTBEAT_TIMEOUT_US)
        count += ADVICE_CALLS_MAX;
    }
  return count;
}

void
colt_members_release_adviser (struct ColtMembers *members,
                              uint32_t instance,
                              int64_t now_us,
                              bool answered)
{
  struct ColtMember *member = find_member_ (members, instance);

  if (member == NULL)
    return;
  if (member->open_advice_calls > 0)
    member->open_advice_calls--;
  if (!answered)
    member->paused_until_us = now_us + ADVISER_PAUSE_US;
}

void
colt_members_reset_advisers (struct ColtMembers *members)
{
  guint i;

  for (i = 0; i < members->members->len; i++)
    g_array_index (members->members, struct ColtMember, i).paused_until_us = 0;
}

static struct ColtMember *
find_member_ (const struct ColtMembers *members, uint32_t instance)
{
  guint i;

  for (i = 0; i < members->members->len; i++)
    if (g_array_index (members->members, struct ColtMember, i).instance
        == instance)
      return &g_array_index (members->members, struct ColtMember, i);
  return NULL;
}

/* Returns whether this instance may be elected while it relies on its contact
 * with the leader. Once that contact is older than COLT_CONTACT_MAX_US, the
 * instance waits COLT_EXTENSION_MAX_US longer instead; an earlier claim would
 * have made the log reject the leader's renewals since. */
static bool
may_rely_on_contact_ (const struct ColtMember *member, int64_t log_confirmed_us)
{
  return !member->leaving
         && member->heartbeat_us + COLT_CONTACT_MAX_US + CONTACT_SLACK_US
                >= log_confirmed_us;
}
