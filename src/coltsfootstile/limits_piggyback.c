#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "instance_limits.h"

/* Send period: each change of the compliance is on all probes of at least one
 * whole period. */
#define SEND_PERIOD_US (1500 * COLT_US_PER_MS)
/* Time from the end of a full send to the next. Probes carry the whole
 * compliance during a full send; one also begins immediately when a member
 * comes alive. */
#define FULL_SEND_INTERVAL_US (30 * COLT_US_PER_S)
/* Length of a full send. */
#define FULL_SEND_DURATION_US (600 * COLT_US_PER_MS)
/* Time for which each probe relays a process id that was just learned. */
#define RELAY_TIME_US (3 * COLT_US_PER_S)
/* Rounds of probes in which every other process id is relayed once. */
#define RELAY_ROUNDS 8

static size_t fill_compliance_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX]);
static void merge_compliance_ (void *client,
                               uint32_t instance,
                               int64_t requested_us,
                               const uint8_t *body,
                               size_t size);
static size_t fill_process_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX]);
static void record_process_ (void *client,
                             uint32_t instance,
                             int64_t requested_us,
                             const uint8_t *body,
                             size_t size);
static size_t fill_peer_processes_ (void *client,
                                    uint8_t body[COLT_PIGGYBACK_MAX]);
static bool should_relay_ (const struct ColtInstanceLimits *limits,
                           const struct ColtLimitsProcess *process,
                           int64_t now_us);
static void record_peer_processes_ (void *client,
                                    uint32_t instance,
                                    int64_t requested_us,
                                    const uint8_t *body,
                                    size_t size);
static void record_id_ (struct ColtInstanceLimits *limits, uint64_t process);

void
colt_limits_set_piggyback_topics (struct ColtInstanceLimits *limits)
{
  colt_membership_link_set_topic (limits->instance->link,
                                  COLT_PIGGYBACK_COMPLIANCE, fill_compliance_,
                                  merge_compliance_, limits);
  colt_membership_link_set_topic (limits->instance->link,
                                  COLT_PIGGYBACK_PROCESS, fill_process_,
                                  record_process_, limits);
  colt_membership_link_set_topic (
      limits->instance->link, COLT_PIGGYBACK_PEER_PROCESSES,
      fill_peer_processes_, record_peer_processes_, limits);
}

void
colt_limits_step_piggyback (struct ColtInstanceLimits *limits, int64_t now_us)
{
  if (now_us >= limits->period_end_us)
    {
      limits->period_end_us = now_us + SEND_PERIOD_US;
      limits->sent_version = limits->period_version;
      limits->period_version
          = colt_entitlements_compliance_version (limits->fold);
    }
  if (now_us >= limits->full_send_us + FULL_SEND_DURATION_US)
    limits->full_send_us = now_us + FULL_SEND_INTERVAL_US;
}

void
colt_instance_limits_announce_compliance (struct ColtInstanceLimits *limits)
{
  limits->full_send_us = colt_clock_monotonic_us ();
}

/* If the compliance exceeds one body, sends a part that fits; further probes
 * carry other parts. */
static size_t
fill_compliance_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX])
{
  struct ColtInstanceLimits *limits = client;
  bool full = colt_clock_monotonic_us () >= limits->full_send_us;
  struct ColtComplianceVector *vector = colt_entitlements_list_compliance (
      limits->fold, full ? 0 : limits->sent_version);
  struct ColtComplianceVector part = *vector;
  size_t size = 0;

  while (part.entry_count > 0)
    {
      uint8_t *packed = colt_compliance_vector_pack (&part, &size);

      if (size <= COLT_PIGGYBACK_MAX)
        {
          memcpy (body, packed, size);
          free (packed);
          break;
        }
      free (packed);
      size = 0;
      part.entry_count /= 2;
      part.entries = vector->entries
                     + limits->part_turn++
                           % (vector->entry_count - part.entry_count + 1);
    }
  colt_compliance_vector_destroy (vector);
  return size;
}

static void
merge_compliance_ (void *client,
                   uint32_t instance,
                   int64_t requested_us,
                   const uint8_t *body,
                   size_t size)
{
  struct ColtInstanceLimits *limits = client;
  struct ColtError error;
  struct ColtComplianceVector *vector
      = colt_compliance_vector_unpack (body, size, &error);
  size_t i;

  (void)instance;
  (void)requested_us;
  if (vector == NULL)
    return;
  for (i = 0; i < vector->entry_count; i++)
    colt_entitlements_merge_compliance (limits->fold, &vector->entries[i]);
  colt_compliance_vector_destroy (vector);
}

/* Leaders of the zone identify owners by their process ids. */
static size_t
fill_process_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX])
{
  struct ColtInstanceLimits *limits = client;
  uint64_t process = GUINT64_TO_BE (
      colt_limits_get_process (limits, limits->instance->number));

  memcpy (body, &process, sizeof process);
  return sizeof process;
}

static void
record_process_ (void *client,
                 uint32_t instance,
                 int64_t requested_us,
                 const uint8_t *body,
                 size_t size)
{
  uint64_t process;

  (void)requested_us;
  if (size != sizeof process)
    return;
  memcpy (&process, body, sizeof process);
  process = GUINT64_FROM_BE (process);
  if (colt_limits_get_instance (process) == instance)
    record_id_ (client, process);
}

/* An instance probes only some members of its zone, but leaders need the ids of
 * all owners. */
static size_t
fill_peer_processes_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX])
{
  struct ColtInstanceLimits *limits = client;
  int64_t now_us = colt_clock_monotonic_us ();
  GHashTableIter iter;
  gpointer value;
  size_t size = 0;

  g_hash_table_iter_init (&iter, limits->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLimitsProcess *process = value;
      uint64_t id = GUINT64_TO_BE (process->id);

      if (!should_relay_ (limits, process, now_us)
          || size + sizeof id > COLT_PIGGYBACK_MAX)
        continue;
      memcpy (body + size, &id, sizeof id);
      size += sizeof id;
    }
  return size;
}

static bool
should_relay_ (const struct ColtInstanceLimits *limits,
               const struct ColtLimitsProcess *process,
               int64_t now_us)
{
  uint32_t instance = colt_limits_get_instance (process->id);
  const struct ColtMember *member
      = colt_membership_find (limits->instance->membership, instance);

  if (member == NULL || member->zone != limits->instance->zone
      || member->state == COLT_MEMBER_DEAD)
    return false;
  return now_us < process->learned_us + RELAY_TIME_US
         || (now_us / COLT_PROBE_INTERVAL_US + instance) % RELAY_ROUNDS == 0;
}

static void
record_peer_processes_ (void *client,
                        uint32_t instance,
                        int64_t requested_us,
                        const uint8_t *body,
                        size_t size)
{
  struct ColtInstanceLimits *limits = client;
  size_t i;

  (void)instance;
  (void)requested_us;
  for (i = 0; i + sizeof (uint64_t) <= size; i += sizeof (uint64_t))
    {
      uint64_t process;

      memcpy (&process, body + i, sizeof process);
      process = GUINT64_FROM_BE (process);
      if (colt_limits_get_instance (process) != limits->instance->number)
        record_id_ (limits, process);
    }
}

/* Ids of later processes of an instance are larger. */
static void
record_id_ (struct ColtInstanceLimits *limits, uint64_t process)
{
  const struct ColtLimitsProcess learned
      = { process, colt_clock_monotonic_us () };
  uint32_t instance = colt_limits_get_instance (process);

  if (process <= colt_limits_get_process (limits, instance))
    return;
  g_hash_table_replace (limits->processes, GUINT_TO_POINTER (instance),
                        g_memdup2 (&learned, sizeof learned));
}
