#include "coltsfootstile/membership.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "coltsfootstile/id.h"

struct ColtMemberEntry
{
  struct ColtMember member;
  unsigned failures;   /* failed probes in a row */
  int64_t changed_us;  /* when the state last changed */
  bool probing;        /* a probe is open */
  uint64_t last_probe; /* number of the last probe, 0 before the first */
  bool listed;         /* added by colt_membership_add() */
};

struct ColtMembership
{
  GArray *entries; /* of struct ColtMemberEntry, ascending by instance */
  uint32_t self;
  uint32_t self_zone;
  const struct ColtMembershipClient *callbacks;
  void *client;
  int64_t next_round_us;
  int64_t last_step_us; /* 0 before the first */
  uint32_t next_local;  /* index from which a digest lists the zone's members */
  uint32_t next_remote; /* index from which a digest lists remote members */
  unsigned round;
  bool fast_probing;                           /* of the other zones */
  uint64_t probe_count;                        /* probes sent so far */
  int64_t zone_answered_us[COLT_ZONE_MAX + 1]; /* last answer, -1: never */
};

static struct ColtMemberEntry *
find_entry_ (const struct ColtMembership *membership, uint32_t instance);
static struct ColtMemberEntry *add_entry_ (struct ColtMembership *membership,
                                           const struct ColtMember *member,
                                           int64_t now_us);
static size_t list_in_turn_ (const struct ColtMembership *membership,
                             bool local,
                             uint32_t *next,
                             size_t max,
                             struct ColtMember *members);
static void merge_member_ (struct ColtMembership *membership,
                           const struct ColtMember *reported,
                           int64_t now_us);
static void refute_ (struct ColtMembership *membership,
                     const struct ColtMember *reported);
static void set_state_ (struct ColtMembership *membership,
                        struct ColtMemberEntry *entry,
                        enum ColtMemberState state,
                        int64_t now_us);
static void reset_suspicion_ (struct ColtMembership *membership,
                              int64_t now_us);
static void expire_members_ (struct ColtMembership *membership, int64_t now_us);
static void probe_ring_ (struct ColtMembership *membership);
static void probe_zone_ (struct ColtMembership *membership, uint32_t zone);
static void probe_ (struct ColtMembership *membership,
                    struct ColtMemberEntry *entry);
static bool should_probe_ (const struct ColtMembership *membership,
                           const struct ColtMemberEntry *entry,
                           uint32_t zone);
static bool overrides_ (const struct ColtMember *reported,
                        const struct ColtMember *current);

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
    membership->zone_answered_us[zone] = -1;
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
                            const struct ColtMembershipClient *callbacks,
                            void *client)
{
  membership->callbacks = callbacks;
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
      membership->callbacks->member_changed (membership->client,
                                             &entry->member);
      return;
    }
  entry->listed = true;
  if (strcmp (entry->member.address, address) == 0)
    return;
  g_strlcpy (entry->member.address, address, sizeof entry->member.address);
  membership->callbacks->member_changed (membership->client, &entry->member);
}

void
colt_membership_step (struct ColtMembership *membership, int64_t now_us)
{
  uint32_t zone;
  unsigned i;

  if (membership->last_step_us > 0
      && now_us - membership->last_step_us >= COLT_MEMBER_STALL_US)
    reset_suspicion_ (membership, now_us);
  membership->last_step_us = now_us;
  expire_members_ (membership, now_us);
  if (now_us < membership->next_round_us)
    return;
  membership->next_round_us = now_us + COLT_PROBE_INTERVAL_US;
  membership->round++;
  probe_ring_ (membership);
  if (!membership->fast_probing
      && membership->round % COLT_PROBE_REMOTE_ROUNDS != 0)
    return;
  for (zone = 1; zone <= COLT_ZONE_MAX; zone++)
    if (zone != membership->self_zone)
      for (i = 0; i < (membership->fast_probing ? COLT_PROBE_FAST_PEERS : 1);
           i++)
        probe_zone_ (membership, zone);
}

void
colt_membership_set_fast_probing (struct ColtMembership *membership,
                                  bool fast_probing)
{
  membership->fast_probing = fast_probing;
}

void
colt_membership_handle_probe_answer (struct ColtMembership *membership,
                                     uint32_t instance,
                                     int64_t now_us)
{
  struct ColtMemberEntry *entry = find_entry_ (membership, instance);

  if (entry == NULL)
    return;
  entry->probing = false;
  entry->failures = 0;
  membership->zone_answered_us[entry->member.zone] = now_us;
  if (entry->member.state == COLT_MEMBER_SUSPECT
      || entry->member.state == COLT_MEMBER_DEAD)
    set_state_ (membership, entry, COLT_MEMBER_ALIVE, now_us);
}

void
colt_membership_handle_probe_failure (struct ColtMembership *membership,
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
      merge_member_ (membership, &members[i], now_us);
}

size_t
colt_membership_write_digest (struct ColtMembership *membership,
                              struct ColtMember members[COLT_DIGEST_MAX])
{
  size_t count = 0;
  size_t remote;

  members[count++] = find_entry_ (membership, membership->self)->member;
  count += list_in_turn_ (membership, true, &membership->next_local,
                          COLT_DIGEST_MAX - COLT_DIGEST_REMOTE_MAX - count,
                          members + count);
  remote = list_in_turn_ (membership, false, &membership->next_remote,
                          COLT_DIGEST_REMOTE_MAX, members + count);
  return count + remote;
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
colt_membership_list_eligible (const struct ColtMembership *membership,
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
colt_membership_zone_answered_us (const struct ColtMembership *membership,
                                  uint32_t zone)
{
  assert (zone <= COLT_ZONE_MAX);
  return membership->zone_answered_us[zone];
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

/* Writes up to max members of the own zone, without this instance, or of the
 * other zones, and moves the index to the entry after the last one looked at.
 * Returns how many were written. */
static size_t
list_in_turn_ (const struct ColtMembership *membership,
               bool local,
               uint32_t *next,
               size_t max,
               struct ColtMember *members)
{
  guint total = membership->entries->len;
  size_t count = 0;
  guint i;

  assert (total > 0);
  for (i = 0; i < total && count < max; i++)
    {
      const struct ColtMember *member
          = &g_array_index (membership->entries, struct ColtMemberEntry,
                            (*next + i) % total)
                 .member;

      if (member->instance != membership->self
          && (member->zone == membership->self_zone) == local)
        members[count++] = *member;
    }
  *next = (*next + i) % total;
  return count;
}

static void
merge_member_ (struct ColtMembership *membership,
               const struct ColtMember *reported,
               int64_t now_us)
{
  struct ColtMemberEntry *entry = find_entry_ (membership, reported->instance);
  bool moved;

  if (reported->instance == membership->self)
    {
      refute_ (membership, reported);
      return;
    }
  if (entry == NULL)
    {
      if (reported->state == COLT_MEMBER_DEAD)
        return;
      entry = add_entry_ (membership, reported, now_us);
      membership->callbacks->member_changed (membership->client,
                                             &entry->member);
      return;
    }
  if (!overrides_ (reported, &entry->member))
    return;
  entry->member.incarnation = reported->incarnation;
  moved = !entry->listed
          && strcmp (entry->member.address, reported->address) != 0;
  if (moved)
    g_strlcpy (entry->member.address, reported->address,
               sizeof entry->member.address);
  if (reported->state != COLT_MEMBER_DEAD)
    entry->failures = 0;
  if (moved && reported->state == entry->member.state)
    membership->callbacks->member_changed (membership->client, &entry->member);
  set_state_ (membership, entry, reported->state, now_us);
}

/* Overrides a report that contradicts this instance's own state, with a higher
 * incarnation. */
static void
refute_ (struct ColtMembership *membership, const struct ColtMember *reported)
{
  struct ColtMemberEntry *self = find_entry_ (membership, membership->self);

  if (reported->incarnation < self->member.incarnation)
    return;
  if (reported->incarnation == self->member.incarnation
      && reported->state == self->member.state)
    return;
  self->member.incarnation = reported->incarnation + 1;
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
  membership->callbacks->member_changed (membership->client, &entry->member);
}

/*
 * Resets the failures and restarts the suspicion times of all peers after a
 * stall of this instance, since answers may have arrived that it has not read
 * yet.
 */
static void
reset_suspicion_ (struct ColtMembership *membership, int64_t now_us)
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

/* Marks suspects dead that did not refute in time, and removes members that
 * have been dead for COLT_MEMBER_RETENTION_US and are not listed. */
static void
expire_members_ (struct ColtMembership *membership, int64_t now_us)
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
               && age_us >= COLT_MEMBER_RETENTION_US)
        {
          g_array_remove_index (membership->entries, i);
          continue;
        }
      i++;
    }
}

/*
 * Probes the members of this zone that follow this one in the cyclic order of
 * instance numbers. Probes of dead members do not count towards
 * COLT_PROBE_ZONE_PEERS.
 */
static void
probe_ring_ (struct ColtMembership *membership)
{
  guint total = membership->entries->len;
  unsigned remaining = COLT_PROBE_ZONE_PEERS;
  guint start = 0;
  guint i;

  while (start < total
         && g_array_index (membership->entries, struct ColtMemberEntry, start)
                    .member.instance
                <= membership->self)
    start++;
  for (i = 0; i < total && remaining > 0; i++)
    {
      struct ColtMemberEntry *entry = &g_array_index (
          membership->entries, struct ColtMemberEntry, (start + i) % total);

      if (!should_probe_ (membership, entry, membership->self_zone))
        continue;
      if (entry->member.state != COLT_MEMBER_DEAD)
        remaining--;
      probe_ (membership, entry);
    }
}

/*
 * Probes the least recently probed member of another zone, so that a link cut
 * to one member does not hide the zone. Each instance starts its search at a
 * different member.
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

      if (should_probe_ (membership, entry, zone)
          && (oldest == NULL || entry->last_probe < oldest->last_probe))
        oldest = entry;
    }
  if (oldest != NULL)
    probe_ (membership, oldest);
}

static void
probe_ (struct ColtMembership *membership, struct ColtMemberEntry *entry)
{
  entry->probing = true;
  entry->last_probe = ++membership->probe_count;
  membership->callbacks->probe (membership->client, entry->member.instance);
}

/* Dead members are probed every 8th round, since they may be back without
 * having been reported. */
static bool
should_probe_ (const struct ColtMembership *membership,
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
overrides_ (const struct ColtMember *reported, const struct ColtMember *current)
{
  if (reported->incarnation != current->incarnation)
    return reported->incarnation > current->incarnation;
  return reported->state > current->state;
}
