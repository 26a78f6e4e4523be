/**
 * \file
 * \brief Errors that are passed down the call chain.
 *
 * A function that can fail because of the world outside takes a pointer to a
 * struct ColtError as its last parameter. The pointer may be NULL when the
 * caller has no use for the reason. Mistakes of the caller itself are
 * asserted, never reported here.
 */
#ifndef COLTSFOOTSTILE_ERROR_H
#define COLTSFOOTSTILE_ERROR_H

#include <stdbool.h>
#include <stddef.h>

/** Size in bytes of the peer's name in an error, with the final zero. */
#define COLT_ERROR_PEER_SIZE 64
/** Size in bytes of an error's message, with the final zero. */
#define COLT_ERROR_MESSAGE_SIZE 256

/** What kind of failure an error reports. */
enum ColtErrorCode
{
  COLT_ERROR_NONE,        /**< no error is set */
  COLT_ERROR_INVALID,     /**< input that does not parse or is out of range */
  COLT_ERROR_REFUSED,     /**< the other side answered and said no */
  COLT_ERROR_UNREACHABLE, /**< nothing was sent: the peer can't be reached */
  COLT_ERROR_TIMEOUT,     /**< sent, but no answer came in time */
  COLT_ERROR_TRUNCATED,   /**< an answer ended before it was whole */
  COLT_ERROR_CONFLICT,    /**< another writer's change was there first */
  COLT_ERROR_FENCED,      /**< a lower epoch than the one promised */
  COLT_ERROR_EXHAUSTED,   /**< a bound on memory, length or count is reached */
  COLT_ERROR_SYSTEM       /**< the operating system refused a call */
};

/** The step of the work during which an error arose. */
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

/** An error: what failed, at which step, with which peer, and why. */
struct ColtError
{
  enum ColtErrorCode code;
  enum ColtStep step;
  char peer[COLT_ERROR_PEER_SIZE];       /**< "" when no peer is involved */
  char message[COLT_ERROR_MESSAGE_SIZE]; /**< one line of plain English */
};

/** Names of enum ColtErrorCode, indexed by it. */
extern const char *const colt_error_code_string[];
/** Names of enum ColtStep, indexed by it. */
extern const char *const colt_step_string[];

/**
 * Sets an error.
 *
 * \param error   where to put it; may be NULL
 * \param code    the kind of failure, not COLT_ERROR_NONE
 * \param step    the step of the work
 * \param peer    the peer's name or address; NULL when there is none
 * \param format  a printf format for the message, followed by its values
 * \return        false, so that a caller can return the result
 */
bool colt_error_set (struct ColtError *error,
                     enum ColtErrorCode code,
                     enum ColtStep step,
                     const char *peer,
                     const char *format,
                     ...) __attribute__ ((format (printf, 5, 6)));

/** Clears an error; \a error may be NULL. */
void colt_error_clear (struct ColtError *error);

/**
 * Writes an error as one line, "step: peer: message (code)".
 *
 * \param error   the error
 * \param buffer  where to write
 * \param size    size of \a buffer in bytes, at least 1
 * \return        \a buffer
 */
const char *
colt_error_format (const struct ColtError *error, char *buffer, size_t size);

#endif
