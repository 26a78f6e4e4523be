/**
 * \file
 * \brief The platform's log service: driver, writer, reader and client.
 *
 * The driver speaks a protocol. The writer and the reader decide, without I/O
 * and with the time as an argument. The client joins the three on a loop.
 */
#ifndef COLTSFOOTSTILE_LOG_SERVICE_H
#define COLTSFOOTSTILE_LOG_SERVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"

struct event_base;

/** Appends a second that the whole fleet may make. */
#define COLT_LOG_FLEET_APPENDS_PER_S 200u
/** Largest body of an append in bytes. */
#define COLT_LOG_BATCH_MAX (1024u * 1024)
/** Largest body of one record in bytes. */
#define COLT_LOG_RECORD_MAX (COLT_LOG_BATCH_MAX - 1024u)
/** Most records in one append. */
#define COLT_LOG_BATCH_RECORDS_MAX 2048u
/** Records that may wait in one writer. */
#define COLT_LOG_QUEUE_RECORDS_MAX 8192u
/** Bytes of bodies that may wait in one writer. */
#define COLT_LOG_QUEUE_BYTES_MAX (8u * 1024 * 1024)
/** Ids that a reader remembers, so that it skips a record appended twice. */
#define COLT_LOG_SEEN_MAX 65536u
/** Most appends that one read returns. */
#define COLT_LOG_READ_MAX 256u
/** How long a read waits at the head, in milliseconds. */
#define COLT_LOG_READ_WAIT_MS 500u

/** How an append ended. */
enum ColtLogResult
{
  COLT_LOG_APPENDED,  /**< written, at a known offset */
  COLT_LOG_THROTTLED, /**< over the append rate: certainly not written */
  COLT_LOG_REFUSED,   /**< turned away or not sent: certainly not written */
  COLT_LOG_UNKNOWN    /**< no whole answer: may have been written */
};

/** Names of enum ColtLogResult, indexed by it. */
extern const char *const colt_log_result_string[];

/** One append as it is read back. */
struct ColtLogEntry
{
  uint64_t offset;
  const uint8_t *body; /**< not owned */
  size_t size;
};

/** The answer to a read. */
struct ColtLogPage
{
  uint64_t first; /**< oldest offset that is kept */
  uint64_t head;  /**< the next offset to be written */
  const struct ColtLogEntry *entries;
  size_t count;
};

/** Takes the end of an append; \a error is NULL if it was written. */
typedef void (*ColtLogAppendDone) (void *client,
                                   enum ColtLogResult result,
                                   uint64_t offset,
                                   const struct ColtError *error);

/** Takes the end of a read; \a page is NULL on failure, \a error otherwise. */
typedef void (*ColtLogReadDone) (void *client,
                                 const struct ColtLogPage *page,
                                 const struct ColtError *error);

/**
 * One way to speak with the log service. A call ends exactly once, and never
 * before the function returns, except that cancel and destroy end what is open.
 */
struct ColtLogDriver
{
  /** Appends a body; one append may be open at a time. */
  void (*append) (struct ColtLogDriver *driver,
                  const uint8_t *body,
                  size_t size,
                  ColtLogAppendDone done,
                  void *client);
  /** Reads at most \a max appends from offset \a from on, and waits for the
   * first up to \a wait_ms; one read may be open at a time. */
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
 * Creates the driver that speaks HTTP with JSON bodies.
 *
 * \param base     the loop, which must outlive the driver
 * \param address  IP:PORT
 */
struct ColtLogDriver *colt_log_http_create (struct event_base *base,
                                            const char *address);

/** Returns a random number; a caller's source of jitter. */
typedef uint32_t (*ColtLogRandom) (void *client);

/** How the writing of a record ended. */
enum ColtLogWriteResult
{
  COLT_LOG_WRITE_DONE,     /**< on the log, at a known offset */
  COLT_LOG_WRITE_NOT_DONE, /**< given up, and certainly never on the log */
  COLT_LOG_WRITE_UNCERTAIN /**< given up, and may be on the log */
};

/** Names of enum ColtLogWriteResult, indexed by it. */
extern const char *const colt_log_write_result_string[];

/** Takes the end of the writing of one record. */
typedef void (*ColtLogWriteDone) (void *client,
                                  enum ColtLogWriteResult result,
                                  uint64_t offset);

/** Whether a record was taken for writing. */
enum ColtLogAddStatus
{
  COLT_LOG_ADD_QUEUED,
  COLT_LOG_ADD_FULL,      /**< too many records or bytes wait */
  COLT_LOG_ADD_TOO_LARGE, /**< over COLT_LOG_RECORD_MAX */
  COLT_LOG_ADD_PENDING    /**< a record with this id is on its way already;
                               the new one is dropped without a call */
};

/** Names of enum ColtLogAddStatus, indexed by it. */
extern const char *const colt_log_add_status_string[];

/** One record of the system, to be written or as it was read. */
struct ColtLogItem
{
  uint32_t kind; /**< enum ColtRecordKind */
  struct ColtId id;
  const uint8_t *body; /**< not owned */
  size_t size;
  uint64_t offset; /**< of the append; not used for writing */
  uint32_t index;  /**< within the append; not used for writing */
  uint32_t writer; /**< instance that appended it; not used for writing */
};

/** Numbers of a writer. */
struct ColtLogWriterStats
{
  uint32_t queued;     /**< records that wait or are on their way */
  size_t queued_bytes; /**< their bodies */
  int64_t interval_us; /**< least time between two appends */
  int64_t next_us;     /**< time of the next append at the earliest */
  bool in_flight;      /**< an append is open */
  uint32_t uncertain;  /**< records whose append had no answer */
  uint64_t appends;    /**< appends that were written */
  uint64_t records;    /**< records that were written */
  uint64_t throttled;  /**< appends over the rate */
  uint64_t refused;    /**< appends turned away */
  uint64_t unknown;    /**< appends without an answer */
  uint64_t found;      /**< records read back before an answer came */
  uint64_t given_up;   /**< records past their deadline */
};

/**
 * Collects records into appends. Records of one writer may reach the log in
 * another order than they were added in; who needs an order waits for the end
 * of the first. A writer must not be destroyed from within a call it makes.
 */
struct ColtLogWriter;

/**
 * Creates a writer.
 *
 * \param instance  number of this instance
 * \param random    source of jitter
 */
struct ColtLogWriter *
colt_log_writer_create (uint32_t instance, ColtLogRandom random, void *client);

/** Frees a writer without ending its records; NULL is allowed. */
void colt_log_writer_destroy (struct ColtLogWriter *writer);

/** Sets how many instances share the fleet's rate, at least 1. */
void colt_log_writer_set_instances (struct ColtLogWriter *writer,
                                    uint32_t count);

/**
 * Takes a record for writing; the body is copied.
 *
 * \param deadline_us  when it is given up, COLT_TIME_NEVER for never
 * \param done         called exactly once, never before this returns; NULL is
 *                     allowed
 */
enum ColtLogAddStatus colt_log_writer_add (struct ColtLogWriter *writer,
                                           const struct ColtLogItem *item,
                                           int64_t deadline_us,
                                           ColtLogWriteDone done,
                                           void *client);

/** Ends all records as given up. */
void colt_log_writer_abandon (struct ColtLogWriter *writer);

/**
 * Gives up what is past its deadline and makes the next append, if it is time.
 *
 * \param size  set to the size of the append
 * \return the body to append, valid until the next call; NULL if there is none
 */
const uint8_t *colt_log_writer_process (struct ColtLogWriter *writer,
                                        int64_t now_us,
                                        size_t *size);

/** Returns when colt_log_writer_process() should be called next. */
int64_t colt_log_writer_wake_us (const struct ColtLogWriter *writer);

/** Takes the end of the append that colt_log_writer_process() made. */
void colt_log_writer_appended (struct ColtLogWriter *writer,
                               int64_t now_us,
                               enum ColtLogResult result,
                               uint64_t offset);

/**
 * Returns whether the open append has nothing left to say and is to be
 * cancelled: its records have been read back, but no answer comes.
 */
bool colt_log_writer_is_stuck (const struct ColtLogWriter *writer,
                               int64_t now_us);

/** Tells that a reader has seen a record. */
void colt_log_writer_see_record (struct ColtLogWriter *writer,
                                 int64_t now_us,
                                 const struct ColtId *id,
                                 uint64_t offset);

/**
 * Tells how fresh the reader is. Records of an append that ended without an
 * answer before \a fresh_us and that were not seen go out again.
 *
 * \param fresh_us  as from colt_log_reader_fresh_us()
 */
void colt_log_writer_see_fresh (struct ColtLogWriter *writer, int64_t fresh_us);

/** Reads the numbers. */
void colt_log_writer_get_stats (const struct ColtLogWriter *writer,
                                struct ColtLogWriterStats *stats);

/** What a reader calls. The members get the reader's client. */
struct ColtLogReaderHandler
{
  /** Takes a record; the body is valid during the call only. */
  void (*record) (void *client, const struct ColtLogItem *item);
  /** Takes a record whose id was seen before. May be NULL. */
  void (*duplicate) (void *client, const struct ColtLogItem *item);
  /** Retention has overtaken the reader: offsets from \a expected up to, and
   * without, \a first are lost. May be NULL. */
  void (*gap) (void *client, uint64_t expected, uint64_t first);
  /** An append can't be decoded and is skipped. May be NULL. */
  void (*skipped) (void *client,
                   uint64_t offset,
                   const struct ColtError *error);
};

/** A read that is to be sent. */
struct ColtLogReadCall
{
  uint64_t from;
  uint32_t max;
  uint32_t wait_ms;
};

/** Numbers of a reader. */
struct ColtLogReaderStats
{
  uint64_t next;       /**< offset that is read next */
  uint64_t head;       /**< as last heard */
  int64_t fresh_us;    /**< see colt_log_reader_fresh_us() */
  uint64_t records;    /**< records handed on */
  uint64_t duplicates; /**< records skipped by id */
  uint64_t skipped;    /**< appends that could not be decoded */
  uint64_t gaps;       /**< times that retention overtook the reader */
  uint64_t failures;   /**< reads that failed */
  bool failing;        /**< the last read failed */
};

/** Follows the log. */
struct ColtLogReader;

/**
 * Creates a reader.
 *
 * \param from     offset to start from
 * \param handler  must outlive the reader
 * \param random   source of jitter for retries
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
 * Asks for the next read.
 *
 * \return false if one is open or it is not yet time, see
 *         colt_log_reader_wake_us()
 */
bool colt_log_reader_next (struct ColtLogReader *reader,
                           int64_t now_us,
                           struct ColtLogReadCall *call);

/** Returns when colt_log_reader_next() gives a read, COLT_TIME_NEVER while one
 * is open. */
int64_t colt_log_reader_wake_us (const struct ColtLogReader *reader);

/**
 * Takes the end of a read and hands on its records in order.
 *
 * \param page   NULL if it failed
 * \param error  why the page makes no sense
 * \return false with COLT_ERROR_INVALID if the page contradicts the call; it
 *         then counts as failed
 */
bool colt_log_reader_take (struct ColtLogReader *reader,
                           int64_t now_us,
                           const struct ColtLogPage *page,
                           struct ColtError *error);

/**
 * Makes the reader skip an id as if it had seen it. A reader that starts from
 * a snapshot learns in this way which records the snapshot holds already.
 */
void colt_log_reader_remember (struct ColtLogReader *reader,
                               const struct ColtId *id);

/**
 * Returns a time at which everything then on the log is known to have been
 * read, INT64_MIN if never. It is the time at which the last read that reached
 * the head was sent, so it never claims too much.
 */
int64_t colt_log_reader_fresh_us (const struct ColtLogReader *reader);

/** Returns the offset that is read next. */
uint64_t colt_log_reader_offset (const struct ColtLogReader *reader);

/** Reads the numbers. */
void colt_log_reader_get_stats (const struct ColtLogReader *reader,
                                struct ColtLogReaderStats *stats);

/** A writer and a reader on a loop, with a driver. */
struct ColtLogClient;

/**
 * Creates a client.
 *
 * \param base      the loop, which must outlive the client
 * \param driver    is destroyed with the client
 * \param instance  number of this instance
 * \param from      offset to read from
 * \param handler   must outlive the client
 */
struct ColtLogClient *
colt_log_client_create (struct event_base *base,
                        struct ColtLogDriver *driver,
                        uint32_t instance,
                        uint64_t from,
                        const struct ColtLogReaderHandler *handler,
                        void *client);

/** Frees a client; its records end as given up. NULL is allowed. */
void colt_log_client_destroy (struct ColtLogClient *log);

/** Starts to read and write. */
void colt_log_client_start (struct ColtLogClient *log);

/** Sets a function called when freshness or the offset changed; may be NULL. */
void colt_log_client_set_progress (struct ColtLogClient *log,
                                   void (*progress) (void *client),
                                   void *client);

/** Sets how many instances share the fleet's rate, at least 1. */
void colt_log_client_set_instances (struct ColtLogClient *log, uint32_t count);

/** Takes a record for writing, see colt_log_writer_add(). */
enum ColtLogAddStatus colt_log_client_add (struct ColtLogClient *log,
                                           const struct ColtLogItem *item,
                                           int64_t deadline_us,
                                           ColtLogWriteDone done,
                                           void *client);

/** Makes the reader skip an id, see colt_log_reader_remember(). */
void colt_log_client_remember (struct ColtLogClient *log,
                               const struct ColtId *id);

/** Returns the freshness, see colt_log_reader_fresh_us(). */
int64_t colt_log_client_fresh_us (const struct ColtLogClient *log);

/** Returns the offset that is read next. */
uint64_t colt_log_client_offset (const struct ColtLogClient *log);

/** Reads the numbers; either may be NULL. */
void colt_log_client_get_stats (const struct ColtLogClient *log,
                                struct ColtLogWriterStats *writer,
                                struct ColtLogReaderStats *reader);

/**
 * Encodes records as the body of one append, for tools that write by hand.
 *
 * \param size  set to the size
 * \return the body, to be freed with free()
 */
uint8_t *colt_log_batch_encode (uint32_t writer,
                                const struct ColtLogItem *items,
                                size_t count,
                                size_t *size);

/** Calls \a visit for each record of an append's body, in order; returns false
 * with COLT_ERROR_INVALID, and calls nothing, if it can't be decoded. */
bool colt_log_batch_decode (uint64_t offset,
                            const uint8_t *body,
                            size_t size,
                            void (*visit) (void *client,
                                           const struct ColtLogItem *item),
                            void *client,
                            struct ColtError *error);

#endif
