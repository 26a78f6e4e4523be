/**
 * \file
 * \brief Errors that functions return to their callers.
 *
 * A function that can fail for an external reason (input, a peer or the
 * operating system) takes a pointer to a struct ColtError as its last
 * parameter. The pointer may be NULL if the caller doesn't need the reason.
 * Programming errors of the caller are asserted and never returned as errors.
 */
#ifndef COLTSFOOTSTILE_ERROR_H
#define COLTSFOOTSTILE_ERROR_H

#include <stdbool.h>
#include <stddef.h>

/** Size in bytes of the peer's name in an error, with the final zero. */
#define COLT_ERROR_PEER_SIZE 64
/** Size in bytes of an error's message, with the final zero. */
#define COLT_ERROR_MESSAGE_SIZE 256

/** Kind of failure that an error reports. */
enum ColtErrorCode
{
  COLT_ERROR_NONE,        /**< no error is set */
  COLT_ERROR_INVALID,     /**< input that does not parse or is out of range */
  COLT_ERROR_REFUSED,     /**< the peer answered with a refusal */
  COLT_ERROR_UNREACHABLE, /**< the peer can't be reached; nothing was sent */
  COLT_ERROR_TIMEOUT,     /**< sent, but no answer arrived in time */
  COLT_ERROR_TRUNCATED,   /**< an answer is incomplete */
  COLT_ERROR_CONFLICT,    /**< another writer changed the data first */
  COLT_ERROR_FENCED,      /**< the epoch, owner or session isn't current */
  COLT_ERROR_EXHAUSTED,   /**< a limit on memory, length or count is reached */
  COLT_ERROR_SYSTEM       /**< a call to the operating system failed */
};

/** Step of the work during which an error occurred. */
enum ColtStep
{
  COLT_STEP_NONE,
  COLT_STEP_SETTINGS,
  COLT_STEP_LISTEN,
  COLT_STEP_CONNECT,
  COLT_STEP_SEND,
  COLT_STEP_RECEIVE,
  COLT_STEP_DECODE,
  COLT_STEP_CHECK,
  COLT_STEP_SIGN,
  COLT_STEP_APPEND,
  COLT_STEP_READ,
  COLT_STEP_LEASE,
  COLT_STEP_INVENTORY,
  COLT_STEP_PLACE,
  COLT_STEP_START,
  COLT_STEP_ANSWER,
  COLT_STEP_COUNT /**< number of steps, not a step */
};

/** An error: the kind of failure, the step, the peer and the reason. */
struct ColtError
{
  enum ColtErrorCode code;
  enum ColtStep step;
  char peer[COLT_ERROR_PEER_SIZE];       /**< "" if no peer is involved */
  char message[COLT_ERROR_MESSAGE_SIZE]; /**< one line of plain English */
};

/** Names of enum ColtErrorCode, indexed by it. */
extern const char *const colt_error_code_string[];
/** Names of enum ColtStep, indexed by it. */
extern const char *const colt_step_string[];

/**
 * Sets an error.
 *
 * \param error   the error to set; may be NULL
 * \param code    the kind of failure, not COLT_ERROR_NONE
 * \param step    the step that failed
 * \param peer    the peer's name or address; NULL if there is none
 * \param format  a printf format for the message, followed by its values
 * \return        always false, so that a caller can return the result
 */
bool colt_error_set (struct ColtError *error,
                     enum ColtErrorCode code,
                     enum ColtStep step,
                     const char *peer,
                     const char *format,
                     ...) __attribute__ ((format (printf, 5, 6)));

/** Resets an error to COLT_ERROR_NONE; \a error may be NULL. */
void colt_error_clear (struct ColtError *error);

/**
 * Writes an error as one line, "step: peer: message (code)", without "peer: "
 * if no peer is involved. The line is cut off if \a buffer is too small.
 *
 * \param error   the error
 * \param buffer  receives the line
 * \param size    size of \a buffer in bytes, at least 1
 * \return        \a buffer
 */
const char *
colt_error_format (const struct ColtError *error, char *buffer, size_t size);

#endif
