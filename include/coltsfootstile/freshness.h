/**
 * \file
 * \brief Whether an instance knows of every withdrawal up to a moment ago.
 *
 * Keyed work is taken only while it does. Being fresh as of a time T means:
 * every record appended before T has been read. An up-to-date read of the log
 * proves it for the time at which the read was sent. A peer's word proves it
 * for the peer's own time, and for us if we have read as far as the peer had.
 * When all zones hear each other and none can reach the log, nobody can have
 * published, and what was known then still holds.
 */
#ifndef COLTSFOOTSTILE_FRESHNESS_H
#define COLTSFOOTSTILE_FRESHNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How old knowledge of withdrawals may be for keyed work, in ms. */
#define COLT_FRESHNESS_BOUND_MS 2000

/** What a peer has said. */
struct ColtFreshnessWord
{
  uint32_t instance;
  uint32_t zone;
  int64_t asked_us;     /**< when the question was sent, by our clock */
  int64_t age_us;       /**< how old its knowledge was when it answered;
                             COLT_TIME_NEVER if it never had any */
  uint64_t next_offset; /**< it has read everything before this */
  bool log_unreachable; /**< neither it nor anybody it hears has had an
                             up-to-date read within the bound */
  uint32_t zones_heard; /**< bit N: it hears zone N, its own included */
};

/** What the decision rests on. */
struct ColtFreshnessInput
{
  int64_t now_us;
  uint32_t self_zone;
  int64_t read_us;      /**< when the last up-to-date read was sent;
                             COLT_TIME_NEVER or INT64_MIN if there was none */
  uint64_t next_offset; /**< colt_chain_next_offset(): everything before it
                             has been read */
  bool read_failing;    /**< the last read of the log failed or timed out */
  bool has_bundle;      /**< a bundle is in force here, and the fold waits for
                             no snapshot */
  uint32_t zones;       /**< bit N: zone N is in the bundle */
  const struct ColtFreshnessWord *words; /**< the newest of each peer */
  size_t word_count;
};

/** The decision and its reason. */
enum ColtFreshness
{
  COLT_FRESH_READ,         /**< fresh: own read */
  COLT_FRESH_PEER,         /**< fresh: by a peer's word */
  COLT_FRESH_NO_PUBLISHER, /**< fresh: no zone can reach the log */
  COLT_STALE_NO_BUNDLE,    /**< stale: there is no bundle yet */
  COLT_STALE_BEHIND,       /**< stale: a peer has read further */
  COLT_STALE_LOG_SLOW,     /**< stale: the log answers, but too late */
  COLT_STALE_ZONE_SILENT,  /**< stale: a zone is not heard */
  COLT_STALE_ZONE_PARTED,  /**< stale: a zone does not hear all others */
  COLT_STALE_ZONE_READING, /**< stale: another zone may reach the log */
  COLT_FRESHNESS_COUNT     /**< number of values, not a value */
};

/** Names of enum ColtFreshness, indexed by it. */
extern const char *const colt_freshness_string[];

/** Returns whether keyed work may be taken. */
bool colt_freshness_is_fresh (enum ColtFreshness freshness);

/**
 * Decides.
 *
 * \param as_of_us  set to the latest time up to which every record is known,
 *                  COLT_TIME_NEVER if there is none; may be NULL. Its age is
 *                  what this instance says to its peers.
 */
enum ColtFreshness
colt_freshness_decide (const struct ColtFreshnessInput *input,
                       int64_t *as_of_us);

/** Returns the bits of the zones that were heard within the bound, ours
 * included: what this instance says to its peers. */
uint32_t colt_freshness_zones_heard (const struct ColtFreshnessInput *input);

/** Returns what this instance says to its peers of the log. */
bool colt_freshness_log_unreachable (const struct ColtFreshnessInput *input);

#endif
