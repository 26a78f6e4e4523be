/**
 * \file
 * \brief Records of one concurrent run: what callers, backend servers and the
 * log have seen.
 *
 * All times are microseconds of one monotonic clock. Texts are held once and
 * named by small numbers; 0 names the empty text.
 */
#ifndef COLT_HISTORY_H
#define COLT_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/task.h"

/** Where a record was read. */
struct ColtHistorySource
{
  uint32_t file; /**< text */
  uint32_t line; /**< from 1 */
};

/** How a request ended for its caller. */
enum ColtHistoryOutcome
{
  COLT_HISTORY_DONE,
  COLT_HISTORY_FAILED,
  COLT_HISTORY_NOT_RUN,
  COLT_HISTORY_UNKNOWN,
  COLT_HISTORY_CANCELLED,
  COLT_HISTORY_ACCEPTED,  /**< still open when the caller stopped */
  COLT_HISTORY_NO_ANSWER, /**< nothing came */
  COLT_HISTORY_NOT_SENT,  /**< the caller's own bound */
  COLT_HISTORY_MALFORMED, /**< an answer that can't be read */
  COLT_HISTORY_NONE,      /**< an answer without an outcome */
  COLT_HISTORY_OUTCOME_COUNT
};

/** Names of enum ColtHistoryOutcome in records, indexed by it. */
extern const char *const colt_history_outcome_string[];

/** The answer of one task, as its caller saw it. */
struct ColtHistoryAnswer
{
  bool present;
  uint64_t checksum; /**< XXH3 of the result */
};

/** A caller's record of one request. */
struct ColtHistoryCall
{
  uint32_t class;   /**< text: class of the load */
  uint32_t team;    /**< text; 0 if none */
  uint32_t request; /**< text; 0 if the caller never learned its id */
  uint32_t payload; /**< text */
  uint32_t entry;   /**< text: address of the last entry instance asked */
  enum ColtWorkKind kind;
  bool idempotent;
  bool urgent;
  bool wait; /**< the answer came with the work's end */
  uint32_t tasks;
  uint32_t calls;      /**< of the last step: submission or follow-up */
  int64_t deadline_ms; /**< 0: the bundle's */
  int64_t sent_us;
  int64_t accepted_us; /**< 0: never */
  int64_t answered_us; /**< when the caller had its answer or gave up */
  enum ColtHistoryOutcome outcome;
  uint32_t reason;    /**< text: code of a refusal */
  guint first_answer; /**< in the answers of the history */
  guint answer_count;
  struct ColtHistorySource source;
};

/** What a backend server or the log has recorded. */
enum ColtHistoryEventKind
{
  COLT_HISTORY_START,
  COLT_HISTORY_RESIZE,
  COLT_HISTORY_END,
  COLT_HISTORY_OVER,    /**< the server's own word of an excess */
  COLT_HISTORY_DOWN,    /**< the server was killed */
  COLT_HISTORY_LEAVING, /**< the server leaves or stays */
  COLT_HISTORY_APPEND,  /**< a record on the log */
  COLT_HISTORY_EVENT_KIND_COUNT
};

/** Names of enum ColtHistoryEventKind in records, indexed by it. */
extern const char *const colt_history_event_string[];

/** A record of a backend server or of the log. */
struct ColtHistoryEvent
{
  int64_t t_us;
  enum ColtHistoryEventKind kind;
  uint32_t server;
  bool leaving;
  uint32_t request; /**< text */
  uint32_t index;   /**< of the task within its request */
  uint32_t attempt;
  uint32_t team; /**< text */
  enum ColtWorkKind work;
  enum ColtTaskState state;   /**< of an end */
  struct ColtResources limit; /**< slots are 1 */
  struct ColtHistorySource source;
};

/** A backend server of the run. */
struct ColtHistoryServer
{
  uint32_t id;
  uint32_t zone;
  struct ColtResources capacity;
};

/** No limit. */
#define COLT_HISTORY_UNLIMITED INT64_MAX

/** Upper limits of a team from a time on. */
struct ColtHistoryLimit
{
  uint32_t team; /**< text */
  int64_t t_us;  /**< 0 for those of the run's begin */
  int64_t tasks;
  int64_t cores_milli;
  int64_t accelerators;
};

/** A team of the run. */
struct ColtHistoryTeam
{
  uint32_t name; /**< text */
  double weight;
};

/** A key that was withdrawn. */
struct ColtHistoryKey
{
  uint32_t team;  /**< text */
  uint32_t class; /**< text; 0: every class of the team showed this key */
  int64_t t_us;
};

/** A time during which something held of a server or a zone. */
struct ColtHistoryPeriod
{
  uint32_t number; /**< server or zone */
  int64_t from_us;
  int64_t to_us;
};

/** A roll of a bundle version. */
struct ColtHistoryRoll
{
  int64_t t_us;
  int64_t in_force_us; /**< latest of all zones, 0 if none told */
};

/** What the run was told to be. */
struct ColtHistoryRun
{
  int64_t start_us;        /**< 0: not given */
  int64_t end_us;          /**< 0: not given */
  int64_t measure_from_us; /**< 0: not given */
  int64_t measure_to_us;   /**< 0: not given */
  int64_t patience_us;     /**< longest wait without a reason */
  GArray *servers;         /**< of struct ColtHistoryServer, by id */
  GArray *teams;           /**< of struct ColtHistoryTeam */
  GArray *limits;          /**< of struct ColtHistoryLimit */
  GArray *keys;            /**< of struct ColtHistoryKey */
  GArray *leaving;         /**< of struct ColtHistoryPeriod, servers */
  GArray *killed;          /**< of struct ColtHistoryPeriod, servers */
  GArray *cuts;            /**< of struct ColtHistoryPeriod, zones */
  GArray *rolls;           /**< of struct ColtHistoryRoll */
};

/** The records of a run. */
struct ColtHistory
{
  struct ColtHistoryRun run;
  GArray *calls;   /**< of struct ColtHistoryCall */
  GArray *answers; /**< of struct ColtHistoryAnswer */
  GArray *events;  /**< of struct ColtHistoryEvent */
  GPtrArray *texts;
  GStringChunk *chunk;
  GHashTable *numbers; /**< text -> its number */
};

/** Creates a history without records. */
struct ColtHistory *colt_history_create (void);

/** Destroys a history; NULL is allowed. */
void colt_history_destroy (struct ColtHistory *history);

/** Returns the number of a text, which is added if it is new. */
uint32_t colt_history_intern (struct ColtHistory *history, const char *text);

/** Returns the text of a number. */
const char *colt_history_text (const struct ColtHistory *history,
                               uint32_t number);

/** Finds a server of the run; NULL if there is none. */
const struct ColtHistoryServer *
colt_history_find_server (const struct ColtHistory *history, uint32_t id);

#endif
