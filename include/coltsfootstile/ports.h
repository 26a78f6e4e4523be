/**
 * \file
 * \brief What the scheduler needs of the platform it runs on.
 *
 * An adapter fills in a table of functions; the scheduler knows nothing of
 * the protocols behind it. Each call ends exactly once through its callback,
 * never before the call has returned; what a callback is given is valid during
 * the callback only. A channel is one connection: its calls are made one
 * after another.
 */
#ifndef COLTSFOOTSTILE_PORTS_H
#define COLTSFOOTSTILE_PORTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/cell.h"
#include "coltsfootstile/error.h"
#include "coltsfootstile/fleet.h"

/** Topics of keyed records; the newest record of each key is kept for good. */
enum ColtTopic
{
  COLT_TOPIC_OPERATOR, /**< what operators publish; read only */
  COLT_TOPIC_SERVERS,  /**< what backend servers say of themselves; read only */
  COLT_TOPIC_LEAD,     /**< who leads */
  COLT_TOPIC_JOBS      /**< jobs and their progress */
};

/** Names of enum ColtTopic, indexed by it. */
extern const char *const colt_topic_string[];

/** How a call to the log ended. */
enum ColtLogOutcome
{
  COLT_LOG_DONE,
  COLT_LOG_NOT_DONE, /**< certainly without effect; it may be tried again */
  COLT_LOG_UNKNOWN,  /**< no answer: an append may take effect, also later */
  COLT_LOG_CONFLICT, /**< the partition doesn't end where it should */
  COLT_LOG_FENCED,   /**< a producer with a later epoch has written */
  COLT_LOG_SEQUENCE, /**< another sequence number is expected */
  COLT_LOG_EXPIRED,  /**< the records asked for are gone */
  COLT_LOG_FULL,     /**< nothing more can be stored */
  COLT_LOG_INVALID   /**< the call or its answer makes no sense */
};

/** Names of enum ColtLogOutcome, indexed by it. */
extern const char *const colt_log_outcome_string[];

/** A record of a keyed topic. */
struct ColtLogRecord
{
  const char *key;
  const uint8_t *value; /**< NULL: the key was dropped */
  size_t size;
  int64_t offset;
};

/** An append of several records, all or nothing. */
struct ColtLogAppend
{
  enum ColtTopic topic;
  const struct ColtLogRecord *records;
  size_t count; /**< 0 with a producer: only sets the epoch */
  bool conditional;
  int64_t at;           /**< where the topic must end, if conditional */
  const char *producer; /**< NULL: none */
  uint64_t epoch;
  uint64_t sequence;
  uint32_t timeout_ms;
};

/** How a call to the log ended, with what it brought. */
struct ColtLogAnswer
{
  enum ColtLogOutcome outcome;
  int64_t sent_us; /**< monotonic time before sending */
  int64_t offset;  /**< of the first record appended */
  int64_t end;     /**< where the topic ends */
  bool more;       /**< further keys follow the last one */
  const struct ColtLogRecord *records;
  size_t count;
  struct ColtError error;
};

/** Takes the end of a call to the log. */
typedef void (*ColtLogCallDone) (void *client,
                                 const struct ColtLogAnswer *answer);

/** How a call to a backend server ended. */
struct ColtServerAnswer
{
  enum ColtStartResult result;
  bool has_clock;
  int64_t clock_ms;    /**< of the server's own clock, when it answered */
  int64_t sent_us;     /**< monotonic time before sending */
  int64_t received_us; /**< monotonic time of the answer */
  int64_t born_ms;     /**< 0: not told */
  struct ColtServerReport report; /**< of a look; empty otherwise */
  struct ColtError error;
};

/** Takes the end of a call to a backend server. */
typedef void (*ColtServerCallDone) (void *client,
                                    const struct ColtServerAnswer *answer);

/** A look at what a server runs, which also renews all its leases. */
struct ColtServerLook
{
  uint64_t token;
  uint64_t taken_note; /**< ends up to this number may be forgotten */
  int64_t until_ms;    /**< of the server's clock; 0: nothing is renewed */
  uint32_t wait_ms;    /**< how long it may wait for an end */
  uint32_t timeout_ms;
};

/** What a caller asks for. */
enum ColtCallerKind
{
  COLT_CALLER_SUBMIT,
  COLT_CALLER_STATE,
  COLT_CALLER_CANCEL
};

/** A request of a caller. */
struct ColtCallerRequest
{
  enum ColtCallerKind kind;
  const char *host;
  const char *path; /**< without its query */
  const char *key;  /**< NULL: none was shown */
  const char *body;
  size_t size;
  uint32_t patience_ms; /**< how long the caller waits; 0: not told */
};

/** What a caller is told. */
enum ColtAnswerKind
{
  COLT_ANSWER_ACCEPTED,
  COLT_ANSWER_STATE,
  COLT_ANSWER_CANCELLED,
  COLT_ANSWER_COUNT,
  COLT_ANSWER_INVALID,      /**< the request makes no sense */
  COLT_ANSWER_UNAUTHORIZED, /**< no organisation has that key */
  COLT_ANSWER_NO_QUEUE,
  COLT_ANSWER_NO_JOB,
  COLT_ANSWER_LIMITED,   /**< not taken, never runs; come back later */
  COLT_ANSWER_NOT_TAKEN, /**< as before, through no fault of the caller */
  COLT_ANSWER_UNCERTAIN  /**< whether it was taken isn't known */
};

/** Names of enum ColtAnswerKind, indexed by it. */
extern const char *const colt_answer_kind_string[];

/** An answer to a caller. */
struct ColtCallerAnswer
{
  enum ColtAnswerKind kind;
  enum ColtJobState state;
  uint64_t waiting;
  uint32_t retry_after_ms; /**< 0: nothing is said */
};

struct ColtLogChannel;
struct ColtServerChannel;
struct ColtAdviserChannel;
struct ColtCallerHandle;
struct event_base;

/** Takes a request; the handle is answered exactly once. */
typedef void (*ColtCallerHandler) (void *client,
                                   const struct ColtCallerRequest *request,
                                   struct ColtCallerHandle *handle);

/** What listening for callers needs. */
struct ColtCallerServer
{
  ColtCallerHandler handle;
  /** Returns whether this instance wants new connections. */
  bool (*is_ready) (void *client);
  /** Returns text for an operator's path, to be freed with free(); NULL if
   * there is no such path. */
  char *(*describe) (void *client, const char *path);
  void *client;
};

/** Takes advice; NULL if there was none. */
typedef void (*ColtAdviceDone) (void *client, const ColtAdviceReply *reply);

/** Takes the entry of a server. */
typedef void (*ColtServerTaker) (void *client,
                                 const struct ColtServerEntry *entry);

/** The functions of an adapter. */
struct ColtPorts
{
  void *adapter;

  struct ColtLogChannel *(*log_open) (void *adapter);
  void (*log_close) (struct ColtLogChannel *channel);
  void (*log_append) (struct ColtLogChannel *channel,
                      const struct ColtLogAppend *append,
                      ColtLogCallDone done,
                      void *client);
  /** Reads from an offset; waits for a record when there is none. */
  void (*log_read) (struct ColtLogChannel *channel,
                    enum ColtTopic topic,
                    int64_t from,
                    uint32_t wait_ms,
                    ColtLogCallDone done,
                    void *client);
  /** Reads the newest record of each key behind \a after (NULL: all). */
  void (*log_newest) (struct ColtLogChannel *channel,
                      enum ColtTopic topic,
                      const char *after,
                      ColtLogCallDone done,
                      void *client);

  /** Decodes a record of COLT_TOPIC_OPERATOR. NULL without an error: it is
   * no configuration. */
  struct ColtFleet *(*decode_fleet) (void *adapter,
                                     const struct ColtLogRecord *record,
                                     struct ColtError *error);
  /** Decodes a record of COLT_TOPIC_SERVERS. */
  bool (*decode_server) (void *adapter,
                         const struct ColtLogRecord *record,
                         ColtServerTaker take,
                         void *client,
                         struct ColtError *error);
  /** Decodes a job's body; id, organisation and queue are left empty. */
  ColtJobSpec *(*decode_job) (void *adapter,
                              const char *body,
                              size_t size,
                              struct ColtError *error);

  struct ColtServerChannel *(*server_open) (void *adapter,
                                            const char *address,
                                            const char *id);
  void (*server_close) (struct ColtServerChannel *channel);
  void (*server_start) (struct ColtServerChannel *channel,
                        const struct ColtStartOrder *order,
                        uint64_t token,
                        int64_t until_ms,
                        uint32_t timeout_ms,
                        ColtServerCallDone done,
                        void *client);
  void (*server_stop) (struct ColtServerChannel *channel,
                       const char *task,
                       uint32_t run,
                       uint64_t token,
                       uint32_t timeout_ms,
                       ColtServerCallDone done,
                       void *client);
  void (*server_look) (struct ColtServerChannel *channel,
                       const struct ColtServerLook *look,
                       ColtServerCallDone done,
                       void *client);

  struct ColtAdviserChannel *(*adviser_open) (void *adapter);
  void (*adviser_close) (struct ColtAdviserChannel *channel);
  void (*advise) (struct ColtAdviserChannel *channel,
                  const char *step,
                  const char *const *servers,
                  size_t count,
                  uint32_t timeout_ms,
                  ColtAdviceDone done,
                  void *client);

  /** Listens for callers, for the balancer's probes and for operators. */
  bool (*listen) (void *adapter,
                  const struct ColtCallerServer *server,
                  struct ColtError *error);
  /** Stops accepting connections; open ones are served on. */
  void (*stop_listening) (void *adapter);
  /** Answers a caller; the handle is gone afterwards. */
  void (*answer) (struct ColtCallerHandle *handle,
                  const struct ColtCallerAnswer *answer);
};

#endif
