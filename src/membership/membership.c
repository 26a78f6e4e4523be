#include "coltsfootstile/membership.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "coltsfootstile/id.h"

struct ColtMemberEntry
{
  struct ColtMember member;
  unsigned failures;  /* probes that failed in a row */
  int64_t changed_us; /* when the state last changed */
  bool probing;       /* a probe is under way */
  uint64_t probed;    /* number of the last probe, 0 before the first */
  bool listed;        /* the address is the list's */
};

struct ColtMembership
{
  GArray *entries; /* of struct ColtMemberEntry, ascending by instance */
  uint32_t self;
  uint32_t self_zone;
  const struct ColtMembershipCalls *calls;
  void *client;
  int64_t next_round_us;
  int64_t stepped_us;   /* when the last step was */
  uint32_t remote_turn; /* next remote member to tell of */
  unsigned round;
  bool urgent;     /* other zones are asked more often */
  uint64_t probes; /* made so far */
  int64_t heard_us[COLT_ZONE_MAX + 1];
};

static struct ColtMemberEntry *
find_entry_ (const struct ColtMembership *membership, uint32_t instance);
static struct ColtMemberEntry *add_entry_ (struct ColtMembership *membership,
                                           const struct ColtMember *member,
                                           int64_t now_us);
static void merge_one_ (struct ColtMembership *membership,
                        const struct ColtMember *told,
                        int64_t now_us);
static void refute_ (struct ColtMembership *membership,
                     const struct ColtMember *told);
static void set_state_ (struct ColtMembership *membership,
                        struct ColtMemberEntry *entry,
                        enum ColtMemberState state,
                        int64_t now_us);
static void forgive_ (struct ColtMembership *membership, int64_t now_us);
static void judge_ (struct ColtMembership *membership, int64_t now_us);
static void probe_ring_ (struct ColtMembership *membership);
static void probe_zone_ (struct ColtMembership *membership, uint32_t zone);
static void probe_ (struct ColtMembership *membership,
                    struct ColtMemberEntry *entry);
static bool wants_probe_ (const struct ColtMembership *membership,
                          const struct ColtMemberEntry *entry,
                          uint32_t zone);
static bool overrides_ (const struct ColtMember *told,
                        const struct ColtMember *known);

const char *const colt_member_state_string[]
    = { "alive", "suspect", "leaving", "dead" };

struct ColtMembership *
colt_membership_create (const struct ColtMember *self)
{
  struct ColtMembership *membership = g_new0 (struct ColtMembership, 1);
  unsigned zone;

  assert (self->zone >= 1 && self->zone <= COLT_ZONE_MAX);
  membership->entries
      = g_array_new (FALSE, TRUE, sizeof (struct ColtMemberEntry));
  membership->self = self->instance;
  membership->self_zone = self->zone;
  membership->next_round_us = INT64_MIN;
  for (zone = 0; zone <= COLT_ZONE_MAX; zone++)
    membership->heard_us[zone] = -1;
  add_entry_ (membership, self, 0);
  return membership;
}

void
colt_membership_destroy (struct ColtMembership *membership)
{
  if (membership == NULL)
    return;
  g_array_unref (membership->entries);
  g_free (membership);
}

void
colt_membership_set_client (struct ColtMembership *membership,
                            const struct ColtMembershipCalls *calls,
                            void *client)
{
  membership->calls = calls;
  membership->client = client;
}

void
colt_membership_add (struct ColtMembership *membership,
                     uint32_t instance,
                     uint32_t zone,
                     const char *address,
                     int64_t now_us)
{
  struct ColtMember member = { instance, zone, 0, COLT_MEMBER_ALIVE, "" };
  struct ColtMemberEntry *entry = find_entry_ (membership, instance);

  if (instance == membership->self || zone < 1 || zone > COLT_ZONE_MAX)
    return;
  g_strlcpy (member.address, address, sizeof member.address);
  if (entry == NULL)
    {
      entry = add_entry_ (membership, &member, now_us);
      entry->listed = true;
      membership->calls->changed (membership->client, &entry->member);
      return;
    }
  entry->listed = true;
  if (strcmp (entry->member.address, address) == 0)
    return;
  g_strlcpy (entry->member.address, address, sizeof entry->member.address);
  membership->calls->changed (membership->client, &entry->member);
}

void
colt_membership_step (struct ColtMembership *membership, int64_t now_us)
{
  uint32_t zone;
  unsigned i;

  if (membership->stepped_us > 0
      && now_us - membership->stepped_us >= COLT_MEMBER_STALL_US)
    forgive_ (membership, now_us);
  membership->stepped_us = now_us;
  judge_ (membership, now_us);
  if (now_us < membership->next_round_us)
    return;
  membership->next_round_us = now_us + COLT_PROBE_INTERVAL_US;
  membership->round++;
  probe_ring_ (membership);
  if (!membership->urgent && membership->round % COLT_PROBE_REMOTE_ROUNDS != 0)
    return;
  for (zone = 1; zone <= COLT_ZONE_MAX; zone++)
    if (zone != membership->self_zone)
      for (i = 0; i < (membership->urgent ? COLT_PROBE_URGENT_PEERS : 1); i++)
        probe_zone_ (membership, zone);
}

void
colt_membership_set_urgent (struct ColtMembership *membership, bool urgent)
{
  membership->urgent = urgent;
}

void
colt_membership_probe_answered (struct ColtMembership *membership,
                                uint32_t instance,
                                int64_t now_us)
{
  struct ColtMemberEntry *entry = find_entry_ (membership, instance);

  if (entry == NULL)
    return;
  entry->probing = false;
  entry->failures = 0;
  membership->heard_us[entry->member.zone] = now_us;
  if (entry->member.state == COLT_MEMBER_SUSPECT
      || entry->member.state == COLT_MEMBER_DEAD)
    set_state_ (membership, entry, COLT_MEMBER_ALIVE, now_us);
}

void
colt_membership_probe_failed (struct ColtMembership *membership,
                              uint32_t instance,
                              int64_t now_us)
{
  struct ColtMemberEntry *entry = find_entry_ (membership, instance);

  if (entry == NULL)
    return;
  entry->probing = false;
  entry->failures++;
  if (entry->failures < COLT_PROBE_FAILURES)
    return;
  if (entry->member.state == COLT_MEMBER_ALIVE)
    set_state_ (membership, entry, COLT_MEMBER_SUSPECT, now_us);
  else if (entry->member.state == COLT_MEMBER_LEAVING)
    set_state_ (membership, entry, COLT_MEMBER_DEAD, now_us);
}

void
colt_membership_merge (struct ColtMembership *membership,
                       const struct ColtMember *members,
                       size_t count,
                       int64_t now_us)
{
  size_t i;

  for (i = 0; i < count; i++)
    if (members[i].zone >= 1 && members[i].zone <= COLT_ZONE_MAX
        && members[i].instance > 0)
      merge_one_ (membership, &members[i], now_us);
}

size_t
colt_membership_digest (struct ColtMembership *membership,
                        struct ColtMember members[COLT_DIGEST_MAX])
{
  guint total = membership->entries->len;
  size_t remote = 0;
  size_t count = 0;
  guint i;

  assert (total > 0);
  for (i = 0; i < total && count < COLT_DIGEST_MAX - COLT_DIGEST_REMOTE_MAX;
       i++)
    {
      const struct ColtMemberEntry *entry
          = &g_array_index (membership->entries, struct ColtMemberEntry, i);

      if (entry->member.zone == membership->self_zone)
        members[count++] = entry->member;
    }
  for (i = 0; i < total && remote < COLT_DIGEST_REMOTE_MAX; i++)
    {
      guint at = (membership->remote_turn + i) % total;
      const struct ColtMemberEntry *entry
          = &g_array_index (membership->entries, struct ColtMemberEntry, at);

      if (entry->member.zone == membership->self_zone)
        continue;
      members[count++] = entry->member;
      remote++;
    }
  membership->remote_turn = (membership->remote_turn + i) % total;
  return count;
}

void
colt_membership_leave (struct ColtMembership *membership)
{
  struct ColtMemberEntry *self = find_entry_ (membership, membership->self);

  self->member.incarnation++;
  self->member.state = COLT_MEMBER_LEAVING;
}

const struct ColtMember *
colt_membership_find (const struct ColtMembership *membership,
                      uint32_t instance)
{
  const struct ColtMemberEntry *entry = find_entry_ (membership, instance);

  return entry != NULL ? &entry->member : NULL;
}

void
colt_membership_visit (const struct ColtMembership *membership,
                       void (*visit) (void *client,
                                      const struct ColtMember *member),
                       void *client)
{
  guint i;

  for (i = 0; i < membership->entries->len; i++)
    visit (
        client,
        &g_array_index (membership->entries, struct ColtMemberEntry, i).member);
}

size_t
colt_membership_eligible (const struct ColtMembership *membership,
                          uint32_t zone,
                          uint32_t *instances,
                          size_t max)
{
  size_t count = 0;
  guint i;

  for (i = 0; i < membership->entries->len && count < max; i++)
    {
      const struct ColtMember *member
          = &g_array_index (membership->entries, struct ColtMemberEntry, i)
                 .member;

      if (zone != 0 && member->zone != zone)
        continue;
      if (member->state == COLT_MEMBER_ALIVE
          || member->state == COLT_MEMBER_SUSPECT)
        instances[count++] = member->instance;
    }
  return count;
}

int64_t
colt_membership_zone_heard_us (const struct ColtMembership *membership,
                               uint32_t zone)
{
  assert (zone <= COLT_ZONE_MAX);
  return membership->heard_us[zone];
}

static struct ColtMemberEntry *
find_entry_ (const struct ColtMembership *membership, uint32_t instance)
{
  guint low = 0;
  guint high = membership->entries->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      struct ColtMemberEntry *entry = &g_array_index (
          membership->entries, struct ColtMemberEntry, middle);

      if (entry->member.instance == instance)
        return entry;
      if (entry->member.instance < instance)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

static struct ColtMemberEntry *
add_entry_ (struct ColtMembership *membership,
            const struct ColtMember *member,
            int64_t now_us)
{
  struct ColtMemberEntry entry = { *member, 0, now_us, false, 0, false };
  guint at = 0;

  while (at < membership->entries->len
         && g_array_index (membership->entries, struct ColtMemberEntry, at)
                    .member.instance
                < member->instance)
    at++;
  g_array_insert_val (membership->entries, at, entry);
  return &g_array_index (membership->entries, struct ColtMemberEntry, at);
}

static void
merge_one_ (struct ColtMembership *membership,
            const struct ColtMember *told,
            int64_t now_us)
{
  struct ColtMemberEntry *entry = find_entry_ (membership, told->instance);

  if (told->instance == membership->self)
    {
      refute_ (membership, told);
      return;
    }
  if (entry == NULL)
    {
      if (told->state == COLT_MEMBER_DEAD)
        return;
      entry = add_entry_ (membership, told, now_us);
      membership->calls->changed (membership->client, &entry->member);
      return;
    }
  if (!overrides_ (told, &entry->member))
    return;
  entry->member.incarnation = told->incarnation;
  if (!entry->listed)
    g_strlcpy (entry->member.address, told->address,
               sizeof entry->member.address);
  if (told->state != COLT_MEMBER_DEAD)
    entry->failures = 0;
  set_state_ (membership, entry, told->state, now_us);
}

/* Others suspect this instance: a higher incarnation proves them wrong. */
static void
refute_ (struct ColtMembership *membership, const struct ColtMember *told)
{
  struct ColtMemberEntry *self = find_entry_ (membership, membership->self);

  if (told->incarnation < self->member.incarnation)
    return;
  if (told->incarnation == self->member.incarnation
      && told->state == self->member.state)
    return;
  self->member.incarnation = told->incarnation + 1;
}

static void
set_state_ (struct ColtMembership *membership,
            struct ColtMemberEntry *entry,
            enum ColtMemberState state,
            int64_t now_us)
{
  if (entry->member.state == state)
    return;
  entry->member.state = state;
  entry->changed_us = now_us;
  membership->calls->changed (membership->client, &entry->member);
}

/* Answers may have come that this instance has not read yet. */
static void
forgive_ (struct ColtMembership *membership, int64_t now_us)
{
  guint i;

  for (i = 0; i < membership->entries->len; i++)
    {
      struct ColtMemberEntry *entry
          = &g_array_index (membership->entries, struct ColtMemberEntry, i);

      entry->failures = 0;
      if (entry->member.state == COLT_MEMBER_SUSPECT)
        entry->changed_us = now_us;
    }
}

/* Suspects that did not refute are dead; the dead are forgotten in time. */
static void
judge_ (struct ColtMembership *membership, int64_t now_us)
{
  guint i = 0;

  while (i < membership->entries->len)
    {
      struct ColtMemberEntry *entry
          = &g_array_index (membership->entries, struct ColtMemberEntry, i);
      int64_t age_us = now_us - entry->changed_us;

      if (entry->member.state == COLT_MEMBER_SUSPECT
          && age_us >= COLT_SUSPICION_US)
        set_state_ (membership, entry, COLT_MEMBER_DEAD, now_us);
      else if (entry->member.state == COLT_MEMBER_DEAD && !entry->listed
               && age_us >= COLT_MEMBER_MEMORY_US)
        {
          g_array_remove_index (membership->entries, i);
          continue;
        }
      i++;
    }
}

/* Probes the members that follow this one on its zone's ring of numbers. */
static void
probe_ring_ (struct ColtMembership *membership)
{
  guint total = membership->entries->len;
  unsigned wanted = COLT_PROBE_ZONE_PEERS;
  guint start = 0;
  guint i;

  while (start < total
         && g_array_index (membership->entries, struct ColtMemberEntry, start)
                    .member.instance
                <= membership->self)
    start++;
  for (i = 0; i < total && wanted > 0; i++)
    {
      struct ColtMemberEntry *entry = &g_array_index (
          membership->entries, struct ColtMemberEntry, (start + i) % total);

      if (!wants_probe_ (membership, entry, membership->self_zone))
        continue;
      if (entry->member.state != COLT_MEMBER_DEAD)
        wanted--;
      probe_ (membership, entry);
    }
}

/*
 * Probes the member of another zone that was not probed for longest, so that
 * a link cut to one member does not hide the zone. Instances begin at unlike
 * places.
 */
static void
probe_zone_ (struct ColtMembership *membership, uint32_t zone)
{
  guint total = membership->entries->len;
  struct ColtMemberEntry *oldest = NULL;
  guint i;

  assert (total > 0);
  for (i = 0; i < total; i++)
    {
      struct ColtMemberEntry *entry
          = &g_array_index (membership->entries, struct ColtMemberEntry,
                            (membership->self + i) % total);

      if (wants_probe_ (membership, entry, zone)
          && (oldest == NULL || entry->probed < oldest->probed))
        oldest = entry;
    }
  if (oldest != NULL)
    probe_ (membership, oldest);
}

static void
probe_ (struct ColtMembership *membership, struct ColtMemberEntry *entry)
{
  entry->probing = true;
  entry->probed = ++membership->probes;
  membership->calls->probe (membership->client, entry->member.instance);
}

/* The dead are probed now and then, in case they come back unseen. */
static bool
wants_probe_ (const struct ColtMembership *membership,
              const struct ColtMemberEntry *entry,
              uint32_t zone)
{
  if (entry->member.zone != zone || entry->member.instance == membership->self)
    return false;
  if (entry->probing)
    return false;
  return entry->member.state != COLT_MEMBER_DEAD
         || (membership->round + entry->member.instance) % 8 == 0;
}

static bool
overrides_ (const struct ColtMember *told, const struct ColtMember *known)
{
  if (told->incarnation != known->incarnation)
    return told->incarnation > known->incarnation;
  return told->state > known->state;
}
