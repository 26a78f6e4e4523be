#include "members.h"

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/guard.h"
#include "roster.h"
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
/* An instance without a heartbeat for this long counts as gone. */
#define SILENT_MAX_US (30 * COLT_US_PER_S)
/* Instances with at least this part of the strength of the strongest one that
 * could pass on the configuration are asked in turn. */
#define SOURCE_STRENGTH_PART 0.25
/* Concurrent calls for advice through one member. */
#define ADVICE_CALLS_MAX 1

struct ColtMember
{
  uint32_t instance;
  int64_t heartbeat_us; /* when the last heartbeat arrived */
  uint32_t log_age_ms;  /* time since it reached the log, at that heartbeat */
  double strength;
  int64_t expected_us;    /* when it was last listed without a heartbeat */
  bool leaving;           /* it won't claim leadership any more */
  int64_t leaving_us;     /* when it first said so */
  int64_t followed_us;    /* latest time at which it followed this leader */
  int64_t config_version; /* of its configuration in force; 0: none */
  int64_t referred_us;    /* when it was last chosen to pass on its own */
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
static struct ColtMember *get_member_ (struct ColtMembers *members,
                                       uint32_t instance);
static bool
has_config_ (const struct ColtMember *member, int64_t version, int64_t now_us);
static int64_t contact_us_ (const struct ColtMember *member);
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
  struct ColtMember *member = get_member_ (members, beat->instance);

  if (beat->leaving && !member->leaving)
    member->leaving_us = now_us;
  member->heartbeat_us = now_us;
  member->log_age_ms = beat->log_age_ms;
  member->strength = beat->strength;
  member->leaving = beat->leaving;
  member->config_version = beat->config_version;
  member->followed_us = MAX (member->followed_us, beat->followed_us);
}

void
colt_members_expect (struct ColtMembers *members,
                     uint32_t instance,
                     int64_t now_us)
{
  struct ColtMember *member = get_member_ (members, instance);

  member->expected_us = now_us;
  member->leaving = false;
}

void
colt_members_list_followers (const struct ColtMembers *members,
                             int64_t now_us,
                             GArray *instances)
{
  guint i;

  for (i = 1; i < members->members->len; i++)
    {
      const struct ColtMember *member
          = &g_array_index (members->members, struct ColtMember, i);

      if (!member->leaving
          && contact_us_ (member) + COLT_CONTACT_MAX_US >= now_us)
        colt_roster_add (instances, member->instance);
    }
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

bool
colt_members_in_contact (const struct ColtMembers *members,
                         int64_t log_confirmed_us,
                         int64_t now_us)
{
  uint32_t known = 1;
  uint32_t live = 1;
  guint i;

  for (i = 1; i < members->members->len; i++)
    {
      const struct ColtMember *member
          = &g_array_index (members->members, struct ColtMember, i);

      if (member->leaving
          || contact_us_ (member) + COLT_CONTACT_MAX_US < log_confirmed_us)
        continue;
      known++;
      live += now_us - member->heartbeat_us <= HEARTBEAT_TIMEOUT_US;
    }
  return 2 * live >= known;
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
colt_members_list_silent (const struct ColtMembers *members,
                          int64_t now_us,
                          GArray *instances)
{
  guint i;

  for (i = 1; i < members->members->len; i++)
    {
      const struct ColtMember *member
          = &g_array_index (members->members, struct ColtMember, i);

      if (!member->leaving
          && now_us - member->heartbeat_us > HEARTBEAT_TIMEOUT_US
          && now_us - MAX (member->heartbeat_us, member->expected_us)
                 <= SILENT_MAX_US)
        g_array_append_val (instances, member->instance);
    }
}

uint32_t
colt_members_refer_config (struct ColtMembers *members,
                           int64_t version,
                           uint32_t requester,
                           int64_t now_us)
{
  struct ColtMember *best = NULL;
  double strongest = 0;
  guint i;

  for (i = 0; i < members->members->len; i++)
    {
      const struct ColtMember *member
          = &g_array_index (members->members, struct ColtMember, i);

      if (has_config_ (member, version, now_us))
        strongest = MAX (strongest, member->strength);
    }
  for (i = 0; i < members->members->len; i++)
    {
      struct ColtMember *member
          = &g_array_index (members->members, struct ColtMember, i);

      if (member->instance != requester && has_config_ (member, version, now_us)
          && member->strength >= SOURCE_STRENGTH_PART * strongest
          && (best == NULL || member->referred_us < best->referred_us))
        best = member;
    }
  if (best == NULL)
    return 0;
  best->referred_us = now_us;
  return best->instance;
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

static struct ColtMember *
get_member_ (struct ColtMembers *members, uint32_t instance)
{
  struct ColtMember *member = find_member_ (members, instance);
  struct ColtMember added = { 0 };

  if (member != NULL)
    return member;
  added.instance = instance;
  g_array_append_val (members->members, added);
  return find_member_ (members, instance);
}

static bool
has_config_ (const struct ColtMember *member, int64_t version, int64_t now_us)
{
  return member->config_version >= version && !member->leaving
         && now_us - member->heartbeat_us <= HEARTBEAT_TIMEOUT_US;
}

static int64_t
contact_us_ (const struct ColtMember *member)
{
  return colt_guard_on (COLT_GUARD_LISTED)
             ? MAX (member->heartbeat_us, member->expected_us)
             : member->heartbeat_us;
}

/* Returns whether an instance may be elected without waiting for the leases
 * that the leader renews without the log: it had contact with the leader within
 * COLT_CONTACT_MAX_US, or the newest record of the leader in the log lists it.
 * That record is at least as new as the last confirmation, and lists none whose
 * contact was older or that was leaving. Another process may start at the
 * address of one that leaves. */
static bool
may_rely_on_contact_ (const struct ColtMember *member, int64_t log_confirmed_us)
{
  if (member->leaving
      && (log_confirmed_us > member->leaving_us
          || !colt_guard_on (COLT_GUARD_LISTED)))
    return false;
  return contact_us_ (member) + COLT_CONTACT_MAX_US + CONTACT_SLACK_US
         >= log_confirmed_us;
}
