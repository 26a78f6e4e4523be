#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "instance_limits.h"

/* How long news of compliance are told to whoever is probed. */
#define NEWS_PERIOD_US (1500 * COLT_US_PER_MS)
/* Time between two tellings of everything; new instances are told at once. */
#define WHOLE_PERIOD_US (30 * COLT_US_PER_S)
/* How long everything is told then. */
#define WHOLE_LENGTH_US (600 * COLT_US_PER_MS)

static size_t fill_compliance_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX]);
static void take_compliance_ (void *client,
                              uint32_t instance,
                              int64_t asked_us,
                              const uint8_t *body,
                              size_t size);
static size_t fill_process_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX]);
static void take_process_ (void *client,
                           uint32_t instance,
                           int64_t asked_us,
                           const uint8_t *body,
                           size_t size);

void
colt_limits_set_topics (struct ColtInstanceLimits *limits)
{
  colt_membership_link_set_topic (limits->instance->link,
                                  COLT_PIGGYBACK_COMPLIANCE, fill_compliance_,
                                  take_compliance_, limits);
  colt_membership_link_set_topic (limits->instance->link,
                                  COLT_PIGGYBACK_PROCESS, fill_process_,
                                  take_process_, limits);
}

void
colt_limits_step_spread (struct ColtInstanceLimits *limits, int64_t now_us)
{
  if (now_us >= limits->tell_us)
    {
      limits->tell_us = now_us + NEWS_PERIOD_US;
      limits->told_version = limits->tell_version;
      limits->tell_version
          = colt_entitlements_compliance_version (limits->fold);
    }
  if (now_us >= limits->tell_all_us + WHOLE_LENGTH_US)
    limits->tell_all_us = now_us + WHOLE_PERIOD_US;
}

void
colt_instance_limits_tell_all (struct ColtInstanceLimits *limits)
{
  limits->tell_all_us = colt_clock_monotonic_us ();
}

/* What does not fit into one telling is told by the next ones. */
static size_t
fill_compliance_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX])
{
  struct ColtInstanceLimits *limits = client;
  bool whole = colt_clock_monotonic_us () >= limits->tell_all_us;
  struct ColtComplianceVector *vector = colt_entitlements_list_compliance (
      limits->fold, whole ? 0 : limits->told_version);
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
                     + limits->tell_turn++
                           % (vector->entry_count - part.entry_count + 1);
    }
  colt_compliance_vector_destroy (vector);
  return size;
}

static void
take_compliance_ (void *client,
                  uint32_t instance,
                  int64_t asked_us,
                  const uint8_t *body,
                  size_t size)
{
  struct ColtInstanceLimits *limits = client;
  struct ColtError error;
  struct ColtComplianceVector *vector
      = colt_compliance_vector_unpack (body, size, &error);
  size_t i;

  (void)instance;
  (void)asked_us;
  if (vector == NULL)
    return;
  for (i = 0; i < vector->entry_count; i++)
    colt_entitlements_merge_compliance (limits->fold, &vector->entries[i]);
  colt_compliance_vector_destroy (vector);
}

/* The process behind an instance number, for the leads of its zone. */
static size_t
fill_process_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX])
{
  struct ColtInstanceLimits *limits = client;
  uint64_t process = GUINT64_TO_BE (
      colt_limits_process_of (limits, limits->instance->number));

  memcpy (body, &process, sizeof process);
  return sizeof process;
}

static void
take_process_ (void *client,
               uint32_t instance,
               int64_t asked_us,
               const uint8_t *body,
               size_t size)
{
  struct ColtInstanceLimits *limits = client;
  uint64_t process;
  uint64_t known = colt_limits_process_of (limits, instance);

  (void)asked_us;
  if (size != sizeof process)
    return;
  memcpy (&process, body, sizeof process);
  process = GUINT64_FROM_BE (process);
  if ((process & 0xffff) != instance || process <= known)
    return;
  g_hash_table_replace (limits->processes, GUINT_TO_POINTER (instance),
                        g_memdup2 (&process, sizeof process));
}
