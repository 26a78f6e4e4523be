/**
 * \file
 * \brief Interface between the scheduler and the platform that it runs on.
 *
 * An adapter fills in a table of functions, struct ColtPorts, and hides the
 * protocols behind them. Each asynchronous call invokes its callback exactly
 * once, never before the call has returned. Arguments of a callback are valid
 * during the callback only. A channel is one connection; its calls are made
 * one after another.
 */
#ifndef COLTSFOOTSTILE_PORTS_H
#define COLTSFOOTSTILE_PORTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/cell.h"
#include "coltsfootstile/error.h"
#include "coltsfootstile/fleet.h"

/** Topics of keyed records. The log keeps the newest record of each key without
 * a time limit. */
enum ColtTopic
{
  COLT_TOPIC_OPERATOR, /**< configurations and requests of operators; read
                            only */
  COLT_TOPIC_SERVERS,  /**< entries of the backend servers; read only */
  COLT_TOPIC_LEADER,   /**< the leader and its term */
  COLT_TOPIC_JOBS      /**< jobs and their progress */
};

/** Names of enum ColtTopic, indexed by it. */
extern const char *const colt_topic_string[];

/** Outcome of a call to the log. */
enum ColtLogOutcome
{
  COLT_LOG_DONE,
  COLT_LOG_NOT_DONE, /**< certainly without effect; it may be retried */
  COLT_LOG_UNKNOWN,  /**< no answer: an append may still take effect */
  COLT_LOG_CONFLICT, /**< the topic ends at another offset than required */
  COLT_LOG_FENCED,   /**< a producer with a later epoch has written */
  COLT_LOG_SEQUENCE, /**< the log expects another sequence number */
  COLT_LOG_EXPIRED,  /**< the requested records have been deleted */
  COLT_LOG_FULL,     /**< the log has no space for further records */
  COLT_LOG_INVALID   /**< the call or its answer is malformed */
};

/** Names of enum ColtLogOutcome, indexed by it. */
extern const char *const colt_log_outcome_string[];

/** A record of a keyed topic. */
struct ColtLogRecord
{
  const char *key;      /**< "": the key that was read is empty, isn't UTF-8 or
                             has control characters; the record names nothing */
  const uint8_t *value; /**< NULL: the key was deleted */
  size_t size;          /**< of the value, in bytes */
  int64_t offset;       /**< position in the topic; unused in an append */
};

/** An atomic append of several records. */
struct ColtLogAppend
{
  enum ColtTopic topic;
  const struct ColtLogRecord *records;
  size_t count;         /**< of records; 0: only sets the producer's epoch */
  bool conditional;     /**< append only if the topic ends at \a at */
  int64_t at;           /**< required end offset of the topic */
  const char *producer; /**< name for fencing; NULL: none */
  uint64_t epoch;       /**< of the producer; the log rejects lower ones */
  uint64_t sequence;    /**< number of the batch in its epoch, from 1 */
  uint32_t timeout_ms;  /**< until the answer counts as lost */
};

/** Outcome of a call to the log, with its results. */
struct ColtLogAnswer
{
  enum ColtLogOutcome outcome;
  int64_t sent_us;      /**< monotonic time just before the call was sent */
  size_t received;      /**< bytes of the answer that arrived, also if it wasn't
                             completed */
  int64_t offset;       /**< of the first record appended */
  int64_t end;          /**< offset at which the topic ends */
  bool more;            /**< further keys follow the last one */
  const char *last_key; /**< of a page, in the form that log_newest accepts */
  const struct ColtLogRecord *records; /**< read from the topic */
  size_t count;                        /**< of records */
  struct ColtError error;              /**< details of a failure */
};

/** Receives the outcome of a call to the log. */
typedef void (*ColtLogCallDone) (void *client,
                                 const struct ColtLogAnswer *answer);

/** Outcome of a call to a backend server. */
struct ColtServerAnswer
{
  enum ColtStartResult result; /**< of a start, stop or renewal */
  bool has_clock;              /**< the answer contains \a clock_ms */
  int64_t clock_ms;            /**< the server's own clock when it answered */
  int64_t sent_us;        /**< monotonic time just before the call was sent */
  int64_t received_us;    /**< monotonic time at which the answer arrived */
  int64_t incarnation_ms; /**< start of the server's incarnation; 0: unknown */
  uint64_t connection;    /**< number of the channel's connection on which the
                               call was made; 0 if it ends with the call */
  struct ColtServerReport report; /**< result of a renewal; empty otherwise */
  struct ColtError error;         /**< details of a failure */
};

/** Receives the outcome of a call to a backend server. */
typedef void (*ColtServerCallDone) (void *client,
                                    const struct ColtServerAnswer *answer);

/** A renewal of all leases on a server; its answer reports the running and
 * ended runs. */
struct ColtServerRenewal
{
  uint64_t token;         /**< fencing token: the leader's term */
  uint64_t acked_through; /**< number of the last durable end; the server may
                          forget ends up to it */
  int64_t until_ms;       /**< new lease end, on the server's clock; 0: leases
                             aren't renewed */
  uint32_t wait_ms;       /**< longest time that the server waits for a run to
                             end before it answers */
  uint32_t timeout_ms;    /**< until the answer counts as lost */
  uint64_t connection;    /**< number of the channel's connection on which alone
                             the call may be sent, so that no process that has
                             started since at the address receives it; ends as
                             COLT_START_NOT_SENT once that connection has
                             ended. 0: any */
};

/** A start order for a server, with a lease. */
struct ColtServerStart
{
  const struct ColtStartOrder *order;
  uint64_t connection; /**< as of a renewal */
  uint64_t token;      /**< fencing token: the leader's term */
  int64_t until_ms;    /**< lease end, on the server's clock */
  uint32_t timeout_ms; /**< until the answer counts as lost */
};

/** Operation that a caller requests. */
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
  const char *path;     /**< without its query */
  const char *key;      /**< API key; NULL: none was given */
  const char *body;     /**< the job of a submission */
  size_t size;          /**< of the body, in bytes */
  uint32_t patience_ms; /**< timeout of the caller; 0: unknown */
};

/** Answer to a caller's request. */
enum ColtAnswerKind
{
  COLT_ANSWER_ACCEPTED,     /**< the job is durable */
  COLT_ANSWER_STATE,        /**< the job's state */
  COLT_ANSWER_CANCELLED,    /**< the cancellation is durable */
  COLT_ANSWER_COUNT,        /**< the number of waiting jobs of the queue */
  COLT_ANSWER_INVALID,      /**< the request is malformed */
  COLT_ANSWER_UNAUTHORIZED, /**< no organisation has that key */
  COLT_ANSWER_NO_QUEUE,     /**< no queue serves that host and path */
  COLT_ANSWER_NO_JOB,       /**< there is no such job */
  COLT_ANSWER_LIMITED,      /**< rejected by a limit and never runs; the caller
                               may retry later */
  COLT_ANSWER_NOT_ACCEPTED, /**< rejected and never runs because the scheduler
                               is unavailable; the caller may retry later */
  COLT_ANSWER_UNCERTAIN /**< the request may or may not have been accepted */
};

/** Names of enum ColtAnswerKind, indexed by it. */
extern const char *const colt_answer_kind_string[];

/** An answer to a caller. */
struct ColtCallerAnswer
{
  enum ColtAnswerKind kind;
  enum ColtJobState state; /**< with COLT_ANSWER_STATE */
  uint64_t waiting;        /**< waiting jobs, with COLT_ANSWER_COUNT */
  uint32_t retry_after_ms; /**< time until a retry; 0: none is advised */
  bool close_connection;   /**< the connection ends once the answer is sent, so
                                that a load balancer chooses anew */
};

/** A connection to the log. */
struct ColtLogChannel;
/** A connection to a backend server. */
struct ColtServerChannel;
/** A connection to the placement adviser. */
struct ColtAdviserChannel;
/** A caller that waits for its answer. */
struct ColtCallerHandle;
struct event_base;

/** Handles a request, which must be answered exactly once through its handle.
 */
typedef void (*ColtCallerHandler) (void *client,
                                   const struct ColtCallerRequest *request,
                                   struct ColtCallerHandle *handle);

/** Handlers of requests by callers, the load balancer and operators. */
struct ColtCallerServer
{
  ColtCallerHandler handle; /**< handles the request of a caller */
  /** Returns whether the load balancer may route new connections to this
   * instance. */
  bool (*is_ready) (void *client);
  /**
   * Formats the page that an operator requests.
   *
   * \return text to be freed with free(); NULL if there is no such path
   */
  char *(*describe) (void *client, const char *path);
  void *client; /**< first argument of the handlers */
};

/** Receives advice; \a reply is NULL if the call failed. */
typedef void (*ColtAdviceDone) (void *client, const ColtAdviceReply *reply);

/** Receives the decoded entry of a server. */
typedef void (*ColtServerEntryHandler) (void *client,
                                        const struct ColtServerEntry *entry);

/** Functions of an adapter. */
struct ColtPorts
{
  void *adapter; /**< first argument of functions that take no channel */
  size_t record_bytes_max; /**< largest value of a record that the log takes, in
                                bytes; 0: no limit */

  /** Opens a channel to the log, to be closed with log_close. */
  struct ColtLogChannel *(*log_open) (void *adapter);
  /** Closes a channel; its open calls end as failed. */
  void (*log_close) (struct ColtLogChannel *channel);
  /** Appends records; they are copied. */
  void (*log_append) (struct ColtLogChannel *channel,
                      const struct ColtLogAppend *append,
                      ColtLogCallDone done,
                      void *client);
  /** Reads records from an offset; waits up to \a wait_ms if there is none. */
  void (*log_read) (struct ColtLogChannel *channel,
                    enum ColtTopic topic,
                    int64_t from,
                    uint32_t wait_ms,
                    ColtLogCallDone done,
                    void *client);
  /** Reads a page of the newest records of the keys that follow \a after, the
   * last_key of the page before (NULL: from the first key). */
  void (*log_newest) (struct ColtLogChannel *channel,
                      enum ColtTopic topic,
                      const char *after,
                      ColtLogCallDone done,
                      void *client);
  /** Reads the offset at which a topic ends, without records. */
  void (*log_end) (struct ColtLogChannel *channel,
                   enum ColtTopic topic,
                   ColtLogCallDone done,
                   void *client);

  /**
   * Decodes a record of COLT_TOPIC_OPERATOR.
   *
   * \return a configuration to be released with colt_fleet_unref(); NULL
   *         without an error if the record is no configuration, NULL with an
   *         error if it is malformed
   */
  struct ColtFleet *(*decode_fleet) (void *adapter,
                                     const struct ColtLogRecord *record,
                                     struct ColtError *error);
  /**
   * Decodes a record of COLT_TOPIC_OPERATOR that requests the evacuation of an
   * availability zone. An empty value ends the request, like a deleted key.
   *
   * \param zone  set to the zone's name, to be freed with g_free(); NULL if the
   *              key is malformed
   * \return      false if the record is none; \a zone is set to NULL
   */
  bool (*decode_evacuation) (void *adapter,
                             const struct ColtLogRecord *record,
                             char **zone);
  /**
   * Decodes a record of COLT_TOPIC_SERVERS and passes its entry to \a handler
   * before it returns.
   *
   * \return false with an error if the record is malformed
   */
  bool (*decode_server) (void *adapter,
                         const struct ColtLogRecord *record,
                         ColtServerEntryHandler handler,
                         void *client,
                         struct ColtError *error);
  /**
   * Decodes the body of a submission; id, organisation and queue are left
   * empty.
   *
   * \return a specification to be freed with colt_job_spec__free_unpacked();
   *         NULL with an error if the body is malformed
   */
  ColtJobSpec *(*decode_job) (void *adapter,
                              const char *body,
                              size_t size,
                              struct ColtError *error);

  /** Opens a channel to the server \a id at \a address (IP:PORT), to be closed
   * with server_close. */
  struct ColtServerChannel *(*server_open) (void *adapter,
                                            const char *address,
                                            const char *id);
  /** Closes a channel; its open calls end as failed. */
  void (*server_close) (struct ColtServerChannel *channel);
  /** Orders a start. */
  void (*server_start) (struct ColtServerChannel *channel,
                        const struct ColtServerStart *start,
                        ColtServerCallDone done,
                        void *client);
  /** Orders the stop of a task's run under the fencing token \a token. */
  void (*server_stop) (struct ColtServerChannel *channel,
                       const char *task,
                       uint32_t run,
                       uint64_t token,
                       uint32_t timeout_ms,
                       ColtServerCallDone done,
                       void *client);
  /** Renews the leases on a server and requests a report of its runs. */
  void (*server_renew) (struct ColtServerChannel *channel,
                        const struct ColtServerRenewal *renewal,
                        ColtServerCallDone done,
                        void *client);

  /** Opens a channel to the adviser, to be closed with adviser_close. */
  struct ColtAdviserChannel *(*adviser_open) (void *adapter);
  /** Closes a channel; its open calls end as failed. */
  void (*adviser_close) (struct ColtAdviserChannel *channel);
  /** Requests advice on which of \a servers may run a step. */
  void (*advise) (struct ColtAdviserChannel *channel,
                  const char *step,
                  const char *const *servers,
                  size_t count,
                  uint32_t timeout_ms,
                  ColtAdviceDone done,
                  void *client);

  /**
   * Listens for callers, the load balancer's probes and operators; \a server
   * is copied.
   *
   * \return false with an error if an address can't be listened on
   */
  bool (*listen) (void *adapter,
                  const struct ColtCallerServer *server,
                  struct ColtError *error);
  /** Stops accepting connections; open ones are still served. */
  void (*stop_listening) (void *adapter);
  /** Answers a caller and frees the handle. */
  void (*answer) (struct ColtCallerHandle *handle,
                  const struct ColtCallerAnswer *answer);
};

#endif
