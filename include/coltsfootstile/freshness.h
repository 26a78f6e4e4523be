/**
 * \file
 * \brief The rule that decides whether an instance has read all recent
 * withdrawals of keys.
 *
 * Keyed work, which is submitted with a caller's key, is accepted only while
 * the instance is fresh. An instance is fresh as of a time T if it has read
 * every record that was appended before T. An up-to-date read of the log proves
 * this for the time at which the read was sent. A peer's report proves it for
 * the time of the peer's own proof, provided that this instance has read as far
 * as the peer. If all zones reach each other and none of them reaches the log,
 * no record can have been appended, and the state that was last read is still
 * current.
 */
#ifndef COLTSFOOTSTILE_FRESHNESS_H
#define COLTSFOOTSTILE_FRESHNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum age of a proof of freshness for accepting keyed work, in ms. */
#define COLT_FRESHNESS_BOUND_MS 2000

/** Report of a peer on its own freshness. */
struct ColtFreshnessReport
{
  uint32_t instance;    /**< number of the peer */
  uint32_t zone;        /**< zone of the peer */
  int64_t requested_us; /**< local monotonic time of the report's request */
  int64_t age_us;       /**< age of the peer's proof of freshness when it
                             replied; COLT_TIME_NEVER if it had none */
  uint64_t next_offset; /**< offset that the peer reads next */
  bool log_unreachable; /**< neither the peer nor any instance that it reaches
                             has had an up-to-date read within the bound */
  uint32_t reachable_zones; /**< bit N: the peer reaches zone N; includes its
                             own zone */
};

/** Input of the decision. */
struct ColtFreshnessInput
{
  int64_t now_us; /**< monotonic */
  uint32_t self_zone;
  int64_t read_us;      /**< time at which the last up-to-date read was sent;
                             COLT_TIME_NEVER or INT64_MIN if there was none */
  uint64_t next_offset; /**< colt_chain_next_offset(): everything before it
                             has been read */
  bool read_failing;    /**< the last read of the log failed or timed out */
  bool has_bundle;      /**< a bundle is in force, and the chain needs no
                             snapshot */
  uint32_t zones;       /**< bit N: the bundle declares zone N */
  const struct ColtFreshnessReport *reports; /**< latest report of each peer */
  size_t report_count;
};

/** Decision with its reason. */
enum ColtFreshness
{
  COLT_FRESH_READ,              /**< fresh: proved by an own read */
  COLT_FRESH_PEER,              /**< fresh: proved by a peer's report */
  COLT_FRESH_NO_PUBLISHER,      /**< fresh: no zone can reach the log */
  COLT_STALE_NO_BUNDLE,         /**< stale: no bundle is in force */
  COLT_STALE_BEHIND,            /**< stale: a peer has read further */
  COLT_STALE_LOG_SLOW,          /**< stale: the log replies, but too slowly */
  COLT_STALE_ZONE_UNRESPONSIVE, /**< stale: a zone is unresponsive */
  COLT_STALE_ZONE_PARTITIONED,  /**< stale: a zone doesn't reach all zones */
  COLT_STALE_ZONE_READING,      /**< stale: another zone may reach the log */
  COLT_FRESHNESS_COUNT          /**< number of values, not a value */
};

/** Names of enum ColtFreshness, indexed by it. */
extern const char *const colt_freshness_string[];

/** Returns whether keyed work may be accepted. */
bool colt_freshness_is_fresh (enum ColtFreshness freshness);

/**
 * Decides whether this instance is fresh.
 *
 * \param input     state of this instance and reports of its peers
 * \param as_of_us  set to the latest time before which all appended records
 *                  have been read, or COLT_TIME_NEVER; may be NULL. This
 *                  instance reports the age of that time to its peers.
 */
enum ColtFreshness
colt_freshness_decide (const struct ColtFreshnessInput *input,
                       int64_t *as_of_us);

/** Returns the zones that were reached within the bound, as bits that include
 * the own zone. This instance reports them to its peers. */
uint32_t
colt_freshness_reachable_zones (const struct ColtFreshnessInput *input);

/** Returns whether the last read of the log failed, and neither this instance
 * nor any peer that it reaches has had an up-to-date read within the bound.
 * This instance reports the result to its peers. */
bool colt_freshness_is_log_unreachable (const struct ColtFreshnessInput *input);

#endif
