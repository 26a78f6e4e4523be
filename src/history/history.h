/**
 * \file
 * \brief Records of one run of the scheduler, as written by callers, backend
 * servers and the log.
 *
 * All times are microseconds of one monotonic clock. Strings are interned: a
 * record holds a text id, which colt_history_text() resolves. Text id 0 is the
 * empty string.
 */
#ifndef COLT_HISTORY_H
#define COLT_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/task.h"

/** Position of a record in the input files. */
struct ColtHistorySource
{
  uint32_t file; /**< text id of the path */
  uint32_t line; /**< from 1 */
};

/** Outcome of a request, as recorded by its caller. */
enum ColtHistoryOutcome
{
  COLT_HISTORY_DONE,
  COLT_HISTORY_FAILED,
  COLT_HISTORY_NOT_RUN,
  COLT_HISTORY_UNKNOWN,
  COLT_HISTORY_CANCELLED,
  COLT_HISTORY_ACCEPTED,  /**< still open when the caller stopped */
  COLT_HISTORY_NO_ANSWER, /**< no answer arrived */
  COLT_HISTORY_NOT_SENT,  /**< withheld by the caller's own limit */
  COLT_HISTORY_MALFORMED, /**< the answer can't be parsed */
  COLT_HISTORY_NONE,      /**< the answer has no outcome */
  COLT_HISTORY_OUTCOME_COUNT
};

/** Names of enum ColtHistoryOutcome in records, indexed by it. */
extern const char *const colt_history_outcome_string[];

/** Result of one task, as received by its caller. */
struct ColtHistoryAnswer
{
  bool present;      /**< the answer contained a result of this task */
  uint64_t checksum; /**< XXH3 of the result */
};

/** A caller's record of one request. */
struct ColtHistoryCall
{
  uint32_t class;   /**< text id of the load class */
  uint32_t team;    /**< text id; 0 if none */
  uint32_t request; /**< text id of the request id; 0 if the caller never
                         received it */
  uint32_t payload; /**< text id */
  uint32_t entry;   /**< text id of the address of the entry instance that
                         received the last call */
  enum ColtWorkKind kind;
  bool idempotent;
  bool urgent;
  bool wait; /**< the caller waited for the end of the work */
  uint32_t tasks;
  uint32_t calls;      /**< calls made in the last step, which is either
                            submission or follow-up */
  int64_t deadline_ms; /**< 0 for the deadline of the bundle */
  int64_t sent_us;
  int64_t accepted_us; /**< 0 if never accepted */
  int64_t answered_us; /**< time at which the answer arrived or the caller gave
                            up */
  enum ColtHistoryOutcome outcome;
  uint32_t reason;    /**< text id of the refusal code */
  guint first_answer; /**< index in ColtHistory::answers */
  guint answer_count;
  struct ColtHistorySource source;
};

/** Kinds of records of backend servers and the log. */
enum ColtHistoryEventKind
{
  COLT_HISTORY_START,
  COLT_HISTORY_RESIZE,
  COLT_HISTORY_END,
  COLT_HISTORY_OVER,    /**< the server recorded an excess over its capacity */
  COLT_HISTORY_DOWN,    /**< the server was killed */
  COLT_HISTORY_LEAVING, /**< the server started or stopped leaving */
  COLT_HISTORY_APPEND,  /**< a record was appended to the log */
  COLT_HISTORY_EVENT_KIND_COUNT /**< number of kinds, not a kind */
};

/** Names of enum ColtHistoryEventKind in records, indexed by it. */
extern const char *const colt_history_event_string[];

/** A record of a backend server or of the log. */
struct ColtHistoryEvent
{
  int64_t t_us;
  enum ColtHistoryEventKind kind;
  uint32_t server;  /**< 0 for the log */
  bool leaving;     /**< whether the server is leaving */
  uint32_t request; /**< text id */
  uint32_t index;   /**< of the task within its request */
  uint32_t attempt;
  uint32_t team; /**< text id */
  enum ColtWorkKind work;
  enum ColtTaskState state;   /**< final state, set for COLT_HISTORY_END */
  struct ColtResources limit; /**< resource limit of the task; 1 slot */
  struct ColtHistorySource source;
};

/** A backend server that takes part in the run. */
struct ColtHistoryServer
{
  uint32_t id;
  uint32_t zone;
  struct ColtResources capacity;
};

/** Value of a limit that doesn't exist. */
#define COLT_HISTORY_UNLIMITED INT64_MAX

/** Upper limits of a team, in force from a given time; COLT_HISTORY_UNLIMITED
 * for those that don't exist. */
struct ColtHistoryLimit
{
  uint32_t team; /**< text id */
  int64_t t_us;  /**< 0 for the limits at the start of the run */
  int64_t tasks;
  int64_t cores_milli; /**< thousandths of a core */
  int64_t accelerators;
};

/** A team that takes part in the run. */
struct ColtHistoryTeam
{
  uint32_t name; /**< text id */
  double weight; /**< relative share of a full fleet */
};

/** Withdrawal of a team's key. */
struct ColtHistoryKey
{
  uint32_t team;  /**< text id */
  uint32_t class; /**< text id of the load class that used the key; 0 if all
                       classes of the team did */
  int64_t t_us;   /**< time of the withdrawal */
};

/** Period during which a server or a zone was in some state. */
struct ColtHistoryPeriod
{
  uint32_t id; /**< of the server or zone */
  int64_t from_us;
  int64_t to_us; /**< COLT_TIME_NEVER if still in that state */
};

/** Rollout of a bundle version. */
struct ColtHistoryRollout
{
  int64_t t_us;        /**< time of publication */
  int64_t in_force_us; /**< latest time at which a zone reported the version
                            in force; 0 if none did */
};

/** Description of the run: its fleet, teams and planned faults. */
struct ColtHistoryRun
{
  int64_t start_us;        /**< 0 if not given */
  int64_t end_us;          /**< 0 if not given */
  int64_t measure_from_us; /**< 0 if not given */
  int64_t measure_to_us;   /**< 0 if not given */
  int64_t wait_timeout_us; /**< longest wait for a start or an answer that
                            needs no reason, such as a full fleet */
  GArray *servers;         /**< of struct ColtHistoryServer, by id */
  GArray *teams;           /**< of struct ColtHistoryTeam */
  GArray *limits;          /**< of struct ColtHistoryLimit */
  GArray *keys;            /**< withdrawals, of struct ColtHistoryKey */
  GArray *leaving;         /**< leaving servers, of struct ColtHistoryPeriod */
  GArray *killed;          /**< killed servers, of struct ColtHistoryPeriod */
  GArray *cuts;            /**< zones cut off from the other zones and the
                                platform, of struct ColtHistoryPeriod */
  GArray *rollouts;        /**< of struct ColtHistoryRollout */
};

/** The description and all records of a run. */
struct ColtHistory
{
  struct ColtHistoryRun run;
  GArray *calls;        /**< of struct ColtHistoryCall */
  GArray *answers;      /**< of struct ColtHistoryAnswer */
  GArray *events;       /**< of struct ColtHistoryEvent */
  GPtrArray *texts;     /**< of const char *, by text id */
  GStringChunk *chunk;  /**< storage of the texts */
  GHashTable *text_ids; /**< text -> text id */
};

/** Creates a history without records; free it with colt_history_destroy(). */
struct ColtHistory *colt_history_create (void);

/** Destroys a history; NULL is allowed. */
void colt_history_destroy (struct ColtHistory *history);

/** Returns the text id of \a text, which is copied if it is new. */
uint32_t colt_history_intern (struct ColtHistory *history, const char *text);

/** Returns the text of a text id; it belongs to the history. */
const char *colt_history_text (const struct ColtHistory *history, uint32_t id);

/** Finds a server of the run by its id; returns NULL if there is none. */
const struct ColtHistoryServer *
colt_history_find_server (const struct ColtHistory *history, uint32_t id);

#endif
