#include "coltsfootstile/freshness.h"

#include "coltsfootstile/clock.h"
#include "coltsfootstile/guard.h"

#define BOUND_US (COLT_FRESHNESS_BOUND_MS * COLT_US_PER_MS)

const char *const colt_freshness_string[]
    = { "read",     "peer",        "no_publisher", "no_bundle",   "behind",
        "log_slow", "zone_silent", "zone_parted",  "zone_reading" };

static bool is_recent_ (const struct ColtFreshnessInput *input,
                        int64_t time_us);
static int64_t compute_as_of_ (const struct ColtFreshnessReport *report);
static int64_t find_latest_as_of_ (const struct ColtFreshnessInput *input,
                                   bool *behind);
static enum ColtFreshness check_zones_ (const struct ColtFreshnessInput *input);
static enum ColtFreshness check_zone_ (const struct ColtFreshnessInput *input,
                                       uint32_t zone);
static enum ColtFreshness
check_reports_ (const struct ColtFreshnessInput *input);

bool
colt_freshness_is_fresh (enum ColtFreshness freshness)
{
  return freshness == COLT_FRESH_READ || freshness == COLT_FRESH_PEER
         || freshness == COLT_FRESH_NO_PUBLISHER
         || !colt_guard_on (COLT_GUARD_FRESHNESS);
}

enum ColtFreshness
colt_freshness_decide (const struct ColtFreshnessInput *input,
                       int64_t *as_of_us)
{
  bool behind = false;
  int64_t as_of = find_latest_as_of_ (input, &behind);

  if (as_of_us != NULL)
    *as_of_us = as_of;
  if (!input->has_bundle)
    return COLT_STALE_NO_BUNDLE;
  if (is_recent_ (input, input->read_us))
    return COLT_FRESH_READ;
  if (is_recent_ (input, as_of))
    return COLT_FRESH_PEER;
  if (behind)
    return COLT_STALE_BEHIND;
  if (!input->read_failing)
    return COLT_STALE_LOG_SLOW;
  return check_zones_ (input);
}

uint32_t
colt_freshness_reachable_zones (const struct ColtFreshnessInput *input)
{
  uint32_t reachable = 1u << input->self_zone;
  size_t i;

  for (i = 0; i < input->report_count; i++)
    if (is_recent_ (input, input->reports[i].requested_us))
      reachable |= 1u << input->reports[i].zone;
  return reachable;
}

bool
colt_freshness_is_log_unreachable (const struct ColtFreshnessInput *input)
{
  size_t i;

  if (!input->read_failing || is_recent_ (input, input->read_us))
    return false;
  for (i = 0; i < input->report_count; i++)
    if (is_recent_ (input, compute_as_of_ (&input->reports[i])))
      return false;
  return true;
}

static bool
is_recent_ (const struct ColtFreshnessInput *input, int64_t time_us)
{
  return time_us != COLT_TIME_NEVER && time_us >= input->now_us - BOUND_US;
}

/* Returns the time as of which a report proves freshness. The peer replied
   after the request, so subtracting the age from the time of the request gives
   a lower bound. */
static int64_t
compute_as_of_ (const struct ColtFreshnessReport *report)
{
  if (report->age_us == COLT_TIME_NEVER || report->age_us < 0)
    return COLT_TIME_NEVER;
  return report->requested_us - report->age_us;
}

/* Returns the latest time as of which this instance is proved fresh. Sets
   behind if a peer with a recent proof has read further than this instance. */
static int64_t
find_latest_as_of_ (const struct ColtFreshnessInput *input, bool *behind)
{
  int64_t latest
      = input->read_us == INT64_MIN ? COLT_TIME_NEVER : input->read_us;
  size_t i;

  for (i = 0; i < input->report_count; i++)
    {
      const struct ColtFreshnessReport *report = &input->reports[i];
      int64_t as_of = compute_as_of_ (report);

      if (as_of == COLT_TIME_NEVER)
        continue;
      if (report->next_offset > input->next_offset)
        *behind = *behind || is_recent_ (input, as_of);
      else if (latest == COLT_TIME_NEVER || as_of > latest)
        latest = as_of;
    }
  return latest;
}

/* Fresh only if no record can have been appended: every zone reaches every
   other zone, and none of them reaches the log. */
static enum ColtFreshness
check_zones_ (const struct ColtFreshnessInput *input)
{
  enum ColtFreshness result = check_reports_ (input);
  uint32_t zone;

  for (zone = 1; result == COLT_FRESH_NO_PUBLISHER && zone < 32; zone++)
    if ((input->zones >> zone & 1) != 0 && zone != input->self_zone)
      result = check_zone_ (input, zone);
  return result;
}

static enum ColtFreshness
check_reports_ (const struct ColtFreshnessInput *input)
{
  size_t i;

  for (i = 0; i < input->report_count; i++)
    {
      const struct ColtFreshnessReport *report = &input->reports[i];

      if (!is_recent_ (input, report->requested_us))
        continue;
      if (!report->log_unreachable)
        return COLT_STALE_ZONE_READING;
      if (report->next_offset > input->next_offset)
        return COLT_STALE_BEHIND;
    }
  return COLT_FRESH_NO_PUBLISHER;
}

static enum ColtFreshness
check_zone_ (const struct ColtFreshnessInput *input, uint32_t zone)
{
  bool reachable = false;
  size_t i;

  for (i = 0; i < input->report_count; i++)
    {
      const struct ColtFreshnessReport *report = &input->reports[i];

      if (report->zone != zone || !is_recent_ (input, report->requested_us))
        continue;
      reachable = true;
      if ((report->reachable_zones & input->zones) == input->zones)
        return COLT_FRESH_NO_PUBLISHER;
    }
  return reachable ? COLT_STALE_ZONE_PARTITIONED : COLT_STALE_ZONE_UNRESPONSIVE;
}
