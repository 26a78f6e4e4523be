/**
 * \file
 * \brief The platform's log service: driver, writer, reader and client.
 *
 * The log is a sequence of appends with consecutive offsets; each append
 * carries a batch of records. A driver implements the service's protocol. The
 * writer and the reader hold the logic; they do no I/O and get the monotonic
 * time in microseconds as an argument. The client connects writer, reader and
 * driver on an event loop.
 */
#ifndef COLTSFOOTSTILE_LOG_SERVICE_H
#define COLTSFOOTSTILE_LOG_SERVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"

struct event_base;

/** Appends per second that the whole fleet may make. */
#define COLT_LOG_FLEET_APPENDS_PER_S 200u
/** Largest body of an append in bytes. */
#define COLT_LOG_BATCH_MAX (1024u * 1024)
/** Largest body of one record in bytes. */
#define COLT_LOG_RECORD_MAX (COLT_LOG_BATCH_MAX - 1024u)
/** Most records in one append. */
#define COLT_LOG_BATCH_RECORDS_MAX 2048u
/** Most records queued in one writer. */
#define COLT_LOG_QUEUE_RECORDS_MAX 8192u
/** Most bytes of record bodies queued in one writer. */
#define COLT_LOG_QUEUE_BYTES_MAX (8u * 1024 * 1024)
/** Number of record ids that a reader keeps to skip duplicates. */
#define COLT_LOG_SEEN_MAX 65536u
/** Most appends that one read returns. */
#define COLT_LOG_READ_MAX 256u
/** How long a read at the head waits for an append, in milliseconds. */
#define COLT_LOG_READ_WAIT_MS 500u

/** How an append ended. */
enum ColtLogResult
{
  COLT_LOG_APPENDED,  /**< written, at a known offset */
  COLT_LOG_THROTTLED, /**< over the append rate: certainly not written */
  COLT_LOG_REFUSED,   /**< rejected or not sent: certainly not written */
  COLT_LOG_UNKNOWN    /**< no complete answer: may have been written */
};

/** Names of enum ColtLogResult, indexed by it. */
extern const char *const colt_log_result_string[];

/** One append as it is read back. */
struct ColtLogEntry
{
  uint64_t offset;
  const uint8_t *body; /**< encoded batch of records; not owned */
  size_t size;         /**< size of \a body in bytes */
};

/** The answer to a read. */
struct ColtLogPage
{
  uint64_t first; /**< oldest offset that the log still has */
  uint64_t head;  /**< offset of the next append to be written */
  const struct ColtLogEntry *entries;
  size_t count; /**< number of \a entries */
};

/**
 * Receives the result of an append.
 *
 * \param client  user data given with the append
 * \param result  how the append ended
 * \param offset  offset of the append if it was written
 * \param error   NULL if the append was written
 */
typedef void (*ColtLogAppendDone) (void *client,
                                   enum ColtLogResult result,
                                   uint64_t offset,
                                   const struct ColtError *error);

/**
 * Receives the result of a read.
 *
 * \param client  user data given with the read
 * \param page    valid until the function returns; NULL on failure
 * \param error   the failure; NULL on success
 */
typedef void (*ColtLogReadDone) (void *client,
                                 const struct ColtLogPage *page,
                                 const struct ColtError *error);

/**
 * A protocol of the log service. The callback of an append or a read runs
 * exactly once, after append() or read() has returned. cancel(),
 * cancel_append() and destroy() run the callbacks of the calls that they end
 * before they return.
 */
struct ColtLogDriver
{
  /** Appends a body; at most one append may be open. */
  void (*append) (struct ColtLogDriver *driver,
                  const uint8_t *body,
                  size_t size,
                  ColtLogAppendDone done,
                  void *client);
  /** Reads at most \a max appends starting at offset \a from; at the head,
   * waits up to \a wait_ms for an append. At most one read may be open. */
  void (*read) (struct ColtLogDriver *driver,
                uint64_t from,
                uint32_t max,
                uint32_t wait_ms,
                ColtLogReadDone done,
                void *client);
  /** Ends open calls and closes the connections. */
  void (*cancel) (struct ColtLogDriver *driver);
  /** Ends an open append and closes its connection. */
  void (*cancel_append) (struct ColtLogDriver *driver);
  /** Frees the driver. */
  void (*destroy) (struct ColtLogDriver *driver);
};

/**
 * Creates a driver for HTTP with JSON bodies.
 *
 * \param base     event loop, which must outlive the driver
 * \param address  server, as IP:PORT
 * \return the driver, to be freed with its destroy()
 */
struct ColtLogDriver *colt_log_http_create (struct event_base *base,
                                            const char *address);

/** Returns a random number, used for jitter. */
typedef uint32_t (*ColtLogRandom) (void *client);

/** How the writing of a record ended. */
enum ColtLogWriteResult
{
  COLT_LOG_WRITE_DONE,     /**< on the log, at a known offset */
  COLT_LOG_WRITE_NOT_DONE, /**< abandoned, and certainly never on the log */
  COLT_LOG_WRITE_UNCERTAIN /**< abandoned, and may be on the log */
};

/** Names of enum ColtLogWriteResult, indexed by it. */
extern const char *const colt_log_write_result_string[];

/**
 * Receives the result of writing one record.
 *
 * \param client  user data given with the record
 * \param result  how the writing ended
 * \param offset  offset of the record's append for COLT_LOG_WRITE_DONE, else 0
 */
typedef void (*ColtLogWriteDone) (void *client,
                                  enum ColtLogWriteResult result,
                                  uint64_t offset);

/** Whether a record was accepted for writing. */
enum ColtLogAddStatus
{
  COLT_LOG_ADD_QUEUED,
  COLT_LOG_ADD_FULL,      /**< too many records or bytes are queued */
  COLT_LOG_ADD_TOO_LARGE, /**< the body exceeds COLT_LOG_RECORD_MAX */
  COLT_LOG_ADD_PENDING    /**< a record with this id is queued already; the
                               new one is dropped and its callback never runs */
};

/** Names of enum ColtLogAddStatus, indexed by it. */
extern const char *const colt_log_add_status_string[];

/** A record, to be written or as it was read. */
struct ColtLogItem
{
  uint32_t kind; /**< enum ColtRecordKind */
  struct ColtId id;
  const uint8_t *body; /**< not owned */
  size_t size;         /**< size of \a body in bytes */
  uint64_t offset;     /**< offset of the append; ignored when writing */
  uint32_t index;      /**< index within the append; ignored when writing */
  uint32_t writer;     /**< instance that made the append, 0: an operator;
                            ignored when writing */
};

/** Counters of a writer. */
struct ColtLogWriterStats
{
  uint32_t queued;     /**< records that wait or are part of an append whose
                            result is open or unknown */
  size_t queued_bytes; /**< bytes in the bodies of the queued records */
  int64_t interval_us; /**< minimum time between two appends */
  int64_t next_us;     /**< earliest time of the next append */
  bool in_flight;      /**< an append is open */
  uint32_t uncertain;  /**< records whose append ended without an answer */
  uint64_t appends;    /**< appends written */
  uint64_t records;    /**< records written */
  uint64_t throttled;  /**< appends over the rate */
  uint64_t refused;    /**< appends rejected or not sent */
  uint64_t unknown;    /**< appends without an answer */
  uint64_t read_back;  /**< records that a reader read before an answer came */
  uint64_t abandoned;  /**< records past their deadline, or ended by
                            colt_log_writer_abandon() */
};

/**
 * Collects records into appends. The records of one writer may reach the log
 * in another order than they were added; a caller that needs an order adds the
 * second record after the first has ended. A writer must not be destroyed from
 * within a callback that it runs.
 */
struct ColtLogWriter;

/**
 * Creates a writer.
 *
 * \param instance  number of this instance
 * \param random    source of jitter
 * \param client    user data for \a random
 * \return the writer, to be freed with colt_log_writer_destroy()
 */
struct ColtLogWriter *
colt_log_writer_create (uint32_t instance, ColtLogRandom random, void *client);

/** Frees a writer without running the callbacks of its records; NULL is
 * allowed. */
void colt_log_writer_destroy (struct ColtLogWriter *writer);

/** Sets how many instances share the fleet's append rate, at least 1. */
void colt_log_writer_set_instances (struct ColtLogWriter *writer,
                                    uint32_t count);

/**
 * Queues a record for writing.
 *
 * \param item         the record; its body is copied
 * \param deadline_us  monotonic time at which the record is abandoned;
 *                     COLT_TIME_NEVER for no deadline
 * \param done         called exactly once if the record is queued, after this
 *                     function has returned; may be NULL
 * \param client       user data for \a done
 */
enum ColtLogAddStatus colt_log_writer_add (struct ColtLogWriter *writer,
                                           const struct ColtLogItem *item,
                                           int64_t deadline_us,
                                           ColtLogWriteDone done,
                                           void *client);

/** Abandons all records and runs their callbacks. */
void colt_log_writer_abandon (struct ColtLogWriter *writer);

/**
 * Abandons records past their deadline and builds the next append, if one is
 * due. The append stays open until colt_log_writer_end_append().
 *
 * \param size  set to the size of the append in bytes
 * \return the body to append, valid until the next call; NULL if no append is
 *         due
 */
const uint8_t *colt_log_writer_process (struct ColtLogWriter *writer,
                                        int64_t now_us,
                                        size_t *size);

/** Returns when colt_log_writer_process() and colt_log_writer_is_stuck() should
 * be called next; COLT_TIME_NEVER if there is nothing to do. */
int64_t colt_log_writer_wake_us (const struct ColtLogWriter *writer);

/**
 * Ends the append that colt_log_writer_process() built. The records of an
 * append that was certainly not written are queued again; those of one that
 * ended without an answer are kept until they are confirmed or queued again.
 *
 * \param result  how the append ended
 * \param offset  offset of the append for COLT_LOG_APPENDED
 */
void colt_log_writer_end_append (struct ColtLogWriter *writer,
                                 int64_t now_us,
                                 enum ColtLogResult result,
                                 uint64_t offset);

/** Returns whether the open append should be cancelled: all of its records have
 * been read back, but its answer is overdue. */
bool colt_log_writer_is_stuck (const struct ColtLogWriter *writer,
                               int64_t now_us);

/** Ends a record as written because a reader has read it. Ids that aren't
 * queued are ignored. */
void colt_log_writer_confirm_record (struct ColtLogWriter *writer,
                                     int64_t now_us,
                                     const struct ColtId *id,
                                     uint64_t offset);

/**
 * Queues records again whose append ended without an answer at or before
 * \a fresh_us and which have not been read back.
 *
 * \param fresh_us  as returned by colt_log_reader_fresh_us()
 */
void colt_log_writer_requeue_missing (struct ColtLogWriter *writer,
                                      int64_t fresh_us);

/** Copies the counters. */
void colt_log_writer_get_stats (const struct ColtLogWriter *writer,
                                struct ColtLogWriterStats *stats);

/** Callbacks of a reader. Each gets the user data given to
 * colt_log_reader_create(). */
struct ColtLogReaderHandler
{
  /** Receives a record; its body is valid until the function returns. */
  void (*record) (void *client, const struct ColtLogItem *item);
  /** Receives a record whose id was read before. May be NULL. */
  void (*duplicate) (void *client, const struct ColtLogItem *item);
  /** Reports that retention has removed appends before they were read: offsets
   * from \a expected up to, but not including, \a first are lost. May be NULL.
   */
  void (*gap) (void *client, uint64_t expected, uint64_t first);
  /** Reports an append that can't be decoded and is skipped. May be NULL. */
  void (*skipped) (void *client,
                   uint64_t offset,
                   const struct ColtError *error);
};

/** Arguments of a read to be sent. */
struct ColtLogReadCall
{
  uint64_t from;    /**< first offset to read */
  uint32_t max;     /**< most appends to return */
  uint32_t wait_ms; /**< how long to wait for an append at the head */
};

/** Counters of a reader. */
struct ColtLogReaderStats
{
  uint64_t next;       /**< offset that is read next */
  uint64_t head;       /**< head of the log as of the last successful read */
  int64_t fresh_us;    /**< see colt_log_reader_fresh_us() */
  uint64_t records;    /**< records passed to the handler */
  uint64_t duplicates; /**< records skipped because of their id */
  uint64_t skipped;    /**< appends that could not be decoded */
  uint64_t gaps;       /**< times that retention removed unread appends */
  uint64_t failures;   /**< failed reads */
  bool failing;        /**< the last read failed */
};

/** Reads the log in order and skips duplicate records. */
struct ColtLogReader;

/**
 * Creates a reader.
 *
 * \param from           offset to start from
 * \param handler        must outlive the reader
 * \param client         user data for \a handler
 * \param random         source of jitter for retries
 * \param random_client  user data for \a random
 * \return the reader, to be freed with colt_log_reader_destroy()
 */
struct ColtLogReader *
colt_log_reader_create (uint64_t from,
                        const struct ColtLogReaderHandler *handler,
                        void *client,
                        ColtLogRandom random,
                        void *random_client);

/** Frees a reader; NULL is allowed. */
void colt_log_reader_destroy (struct ColtLogReader *reader);

/**
 * Starts the next read, if one is due.
 *
 * \param call  set to the arguments of the read
 * \return false if a read is open or none is due yet, see
 *         colt_log_reader_wake_us()
 */
bool colt_log_reader_begin_read (struct ColtLogReader *reader,
                                 int64_t now_us,
                                 struct ColtLogReadCall *call);

/** Returns when the next read is due; COLT_TIME_NEVER while one is open. */
int64_t colt_log_reader_wake_us (const struct ColtLogReader *reader);

/**
 * Ends the open read and passes its records to the handler, in order.
 *
 * \param page   NULL if the read failed
 * \param error  set if the page is invalid; may be NULL
 * \return false with COLT_ERROR_INVALID if the page contradicts the call; the
 *         read then counts as failed
 */
bool colt_log_reader_end_read (struct ColtLogReader *reader,
                               int64_t now_us,
                               const struct ColtLogPage *page,
                               struct ColtError *error);

/**
 * Makes the reader treat a record id as already read. A reader that starts
 * from a snapshot skips in this way the records that the snapshot contains.
 */
void colt_log_reader_mark_seen (struct ColtLogReader *reader,
                                const struct ColtId *id);

/**
 * Returns a time such that every append made before it is known to have been
 * read; INT64_MIN if there is none. It is the time at which the last read that
 * reached the head was sent, so it covers no append that may be unread.
 */
int64_t colt_log_reader_fresh_us (const struct ColtLogReader *reader);

/** Returns the offset that is read next. */
uint64_t colt_log_reader_offset (const struct ColtLogReader *reader);

/** Copies the counters. */
void colt_log_reader_get_stats (const struct ColtLogReader *reader,
                                struct ColtLogReaderStats *stats);

/** A writer, a reader and a driver on an event loop. */
struct ColtLogClient;

/**
 * Creates a client.
 *
 * \param base      event loop, which must outlive the client
 * \param driver    owned by the client from now on
 * \param instance  number of this instance
 * \param from      offset to read from
 * \param handler   must outlive the client
 * \param client    user data for \a handler
 * \return the client, to be freed with colt_log_client_destroy()
 */
struct ColtLogClient *
colt_log_client_create (struct event_base *base,
                        struct ColtLogDriver *driver,
                        uint32_t instance,
                        uint64_t from,
                        const struct ColtLogReaderHandler *handler,
                        void *client);

/** Abandons the client's records, runs their callbacks and frees the client and
 * its driver. NULL is allowed. */
void colt_log_client_destroy (struct ColtLogClient *log);

/** Starts reading and writing. */
void colt_log_client_start (struct ColtLogClient *log);

/** Sets a function that is called after each read, when
 * colt_log_client_fresh_us() and colt_log_client_offset() may have changed; may
 * be NULL. */
void colt_log_client_set_progress (struct ColtLogClient *log,
                                   void (*progress) (void *client),
                                   void *client);

/** Sets how many instances share the fleet's append rate, at least 1. */
void colt_log_client_set_instances (struct ColtLogClient *log, uint32_t count);

/** Queues a record for writing, see colt_log_writer_add(). */
enum ColtLogAddStatus colt_log_client_add (struct ColtLogClient *log,
                                           const struct ColtLogItem *item,
                                           int64_t deadline_us,
                                           ColtLogWriteDone done,
                                           void *client);

/** Makes the reader skip a record id, see colt_log_reader_mark_seen(). */
void colt_log_client_mark_seen (struct ColtLogClient *log,
                                const struct ColtId *id);

/** Returns a time such that every append made before it was read, see
 * colt_log_reader_fresh_us(). */
int64_t colt_log_client_fresh_us (const struct ColtLogClient *log);

/** Returns the offset that is read next. */
uint64_t colt_log_client_offset (const struct ColtLogClient *log);

/** Copies the counters; \a writer and \a reader may be NULL. */
void colt_log_client_get_stats (const struct ColtLogClient *log,
                                struct ColtLogWriterStats *writer,
                                struct ColtLogReaderStats *reader);

/**
 * Encodes records as the body of one append, for programs that append without
 * a writer.
 *
 * \param writer  number of the instance that appends, 0: an operator
 * \param size    set to the size of the body in bytes
 * \return the body, to be freed with free()
 */
uint8_t *colt_log_batch_encode (uint32_t writer,
                                const struct ColtLogItem *items,
                                size_t count,
                                size_t *size);

/**
 * Decodes the body of an append.
 *
 * \param offset  offset of the append
 * \param visit   called for each record, in order; not called if the body is
 *                invalid
 * \param client  user data for \a visit
 * \return false with COLT_ERROR_INVALID if the body can't be decoded
 */
bool colt_log_batch_decode (uint64_t offset,
                            const uint8_t *body,
                            size_t size,
                            void (*visit) (void *client,
                                           const struct ColtLogItem *item),
                            void *client,
                            struct ColtError *error);

#endif
