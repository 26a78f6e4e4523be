/**
 * \file
 * \brief Result of a check: how often each invariant was broken, and by which
 * operations.
 */
#ifndef COLT_HISTORY_VERDICT_H
#define COLT_HISTORY_VERDICT_H

#include "history.h"

/** The invariants that are checked, named after their violations. */
enum ColtHistoryInvariant
{
  COLT_HISTORY_OVERCOMMITTED,  /**< server above its capacity */
  COLT_HISTORY_DOUBLED,        /**< task run concurrently or too often */
  COLT_HISTORY_LOST,           /**< accepted work without start or answer */
  COLT_HISTORY_WRONG_ANSWER,   /**< incomplete, wrong or foreign result */
  COLT_HISTORY_FALSE_NOT_RUN,  /**< "not_run" answer for work that started */
  COLT_HISTORY_OVER_LIMIT,     /**< start above an upper limit of the team */
  COLT_HISTORY_LATE_KEY,       /**< work accepted or started with a withdrawn
                                   key */
  COLT_HISTORY_LATE_LEAVING,   /**< start on a leaving server */
  COLT_HISTORY_CONTRADICTION,  /**< answer that contradicts the records or
                                   another answer */
  COLT_HISTORY_INVARIANT_COUNT /**< number of invariants, not an invariant */
};

/** Names of enum ColtHistoryInvariant, indexed by it. */
extern const char *const colt_history_invariant_string[];

/** Most violations of one invariant that are listed; all are counted. */
#define COLT_HISTORY_LISTED_MAX 20u
/** Most records that a violation refers to. */
#define COLT_HISTORY_SOURCES_MAX 16u

/** A violation of an invariant. */
struct ColtHistoryViolation
{
  enum ColtHistoryInvariant invariant;
  int64_t t_us;     /**< time of the violation; 0 if it has none */
  uint32_t request; /**< text id; 0 if none */
  uint32_t server;  /**< 0 if none */
  uint32_t team;    /**< text id; 0 if none */
  char *finding;    /**< what was found, for people; owned */
  struct ColtHistorySource sources[COLT_HISTORY_SOURCES_MAX];
  guint source_count;
};

/** Result of a check. */
struct ColtHistoryVerdict
{
  uint64_t counts[COLT_HISTORY_INVARIANT_COUNT]; /**< violations */
  GPtrArray *listed;       /**< of struct ColtHistoryViolation, owned */
  uint64_t over_records;   /**< excesses over capacity recorded by the
                                servers */
  uint64_t over_computed;  /**< starts and resizes that exceed the capacity
                                according to the records */
  uint64_t odd_ends;       /**< ends without a matching start */
  uint64_t unseen_resizes; /**< ends with a limit that differs from the last
                                one on record */
};

/** Creates a verdict without violations; free it with
 * colt_history_verdict_destroy(). */
struct ColtHistoryVerdict *colt_history_verdict_create (void);

/** Destroys a verdict; NULL is allowed. */
void colt_history_verdict_destroy (struct ColtHistoryVerdict *verdict);

/** Returns whether no invariant was broken. */
bool colt_history_verdict_is_good (const struct ColtHistoryVerdict *verdict);

/**
 * Counts a violation and lists it if fewer than COLT_HISTORY_LISTED_MAX of its
 * invariant are listed.
 *
 * \param t_us    time of the violation
 * \param format  printf format of the finding
 * \return        the violation, to be completed by the caller and owned by the
 *                verdict; NULL if it is only counted
 */
struct ColtHistoryViolation *
colt_history_verdict_add (struct ColtHistoryVerdict *verdict,
                          enum ColtHistoryInvariant invariant,
                          int64_t t_us,
                          const char *format,
                          ...) __attribute__ ((format (printf, 4, 5)));

/** Adds the position of a record that proves the violation. Does nothing if
 * \a violation is NULL, \a source is empty or the violation has
 * COLT_HISTORY_SOURCES_MAX records. */
void colt_history_violation_add_source (struct ColtHistoryViolation *violation,
                                        struct ColtHistorySource source);

#endif
