/**
 * \file
 * \brief HTTP calls over one connection, one after another.
 *
 * The result of a call separates two failures: the call was certainly not
 * sent, or it was sent and its answer was lost. A call is never sent twice. A
 * failed call closes the connection; the next call opens a new one. Only the
 * process at the other end of a connection can receive what is sent on it: a
 * call that is meant for the process that gave an answer is bound to the
 * answer's connection. The process must ignore SIGPIPE.
 */
#ifndef COLTSFOOTSTILE_HTTP_CLIENT_H
#define COLTSFOOTSTILE_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

struct event_base;

/** How a call ended. */
enum ColtHttpResult
{
  COLT_HTTP_ANSWERED, /**< the complete answer was received, with any status */
  COLT_HTTP_NOT_SENT, /**< the server has certainly not received the call */
  COLT_HTTP_UNKNOWN   /**< no complete answer was received; the server may have
                           received the call */
};

/** Names of enum ColtHttpResult, indexed by it. */
extern const char *const colt_http_result_string[];

/** Size in bytes of the buffer for a Retry-After header, with the final zero.
 */
#define COLT_HTTP_RETRY_AFTER_SIZE 16

/** Method of a call. */
enum ColtHttpMethod
{
  COLT_HTTP_GET,
  COLT_HTTP_POST,
  COLT_HTTP_DELETE
};

/** A header of a call. */
struct ColtHttpHeader
{
  const char *name;
  const char *value; /**< NULL: the header is omitted */
};

/** A call. colt_http_client_send() copies all of its data. */
struct ColtHttpRequest
{
  enum ColtHttpMethod method;
  const char *path;                     /**< with the query */
  const struct ColtHttpHeader *headers; /**< besides Host and Content-Type */
  size_t header_count;
  const char *body;    /**< JSON text or bytes; NULL: no body */
  size_t body_size;    /**< size in bytes of a binary body; 0: \a body is JSON
                            text with a final zero */
  uint32_t timeout_ms; /**< time until the call fails, at least 1; the wait
                            for earlier calls isn't counted */
  uint32_t stall_ms;   /**< 0: timeout_ms bounds the whole call. Otherwise the
                            call fails if nothing of the answer has arrived
                            timeout_ms after bytes of the request were last
                            written, or nothing further for stall_ms: an answer
                            that keeps arriving has the time that the link needs
                            for its size */
  uint64_t connection; /**< number of the connection, as in an answer, on which
                            alone the call may be sent; once that has ended the
                            call ends with COLT_HTTP_NOT_SENT and
                            COLT_ERROR_UNREACHABLE. 0: any */
};

/** Result of a call. */
struct ColtHttpAnswer
{
  enum ColtHttpResult result;
  int status;          /**< HTTP status; 0 unless COLT_HTTP_ANSWERED */
  int64_t sent_us;     /**< monotonic time before sending */
  uint64_t connection; /**< number of the connection, from 1, on which the call
                            was sent; 0 if it ends with the call */
  const char *body;    /**< with a final zero; NULL unless COLT_HTTP_ANSWERED */
  size_t size;         /**< size of \a body in bytes, without the final zero */
  size_t received;     /**< bytes of the answer that arrived, with its headers,
                            also of an answer that wasn't completed */
  char retry_after[COLT_HTTP_RETRY_AFTER_SIZE]; /**< value of the header, cut
                                                     to the buffer; "" if the
                                                     answer has none */
  struct ColtError error; /**< set unless COLT_HTTP_ANSWERED */
};

/**
 * Receives the result of a call. May destroy the client that made the call.
 *
 * \param client  user data given with the call
 * \param answer  valid until the function returns
 */
typedef void (*ColtHttpDone) (void *client,
                              const struct ColtHttpAnswer *answer);

/** A client with at most one open connection. */
struct ColtHttpClient;

/**
 * Creates an event loop for many clients. It collects the changes of what is
 * awaited on a socket, of which evhttp makes several for each call, and passes
 * the last one to the kernel. No socket of the loop may be duplicated.
 *
 * \return the loop, to be freed with event_base_free()
 */
struct event_base *colt_http_create_base (void);

/**
 * Creates a client. The connection is opened by the first call.
 *
 * \param base        event loop, which must outlive the client
 * \param address     server, as IP:PORT (see coltsfootstile/address.h); with
 *                    any other text, each call ends with COLT_HTTP_NOT_SENT and
 *                    COLT_ERROR_INVALID
 * \param answer_max  largest body of an answer in bytes
 * \param queue_max   most calls that may wait while one is open; a call beyond
 *                    ends with COLT_HTTP_NOT_SENT and COLT_ERROR_EXHAUSTED
 * \return the client, to be freed with colt_http_client_destroy()
 */
struct ColtHttpClient *colt_http_client_create (struct event_base *base,
                                                const char *address,
                                                size_t answer_max,
                                                uint32_t queue_max);

/** Cancels all calls, as colt_http_client_cancel() does, and frees a client;
 * NULL is allowed. */
void colt_http_client_destroy (struct ColtHttpClient *http);

/**
 * Sends a GET, or a POST with a JSON body, without further headers.
 *
 * \param path        path with the query
 * \param body        JSON text of a POST, which is copied; NULL for a GET
 * \param timeout_ms  time until the call fails, at least 1; waiting for earlier
 *                    calls isn't counted
 * \param done        called exactly once, after this function has returned
 * \param client      user data for \a done
 */
void colt_http_client_call (struct ColtHttpClient *http,
                            const char *path,
                            const char *body,
                            uint32_t timeout_ms,
                            ColtHttpDone done,
                            void *client);

/**
 * Sends a call with any method, headers and body.
 *
 * \param request  the call, which is copied
 * \param done     called exactly once, after this function has returned
 * \param client   user data for \a done
 */
void colt_http_client_send (struct ColtHttpClient *http,
                            const struct ColtHttpRequest *request,
                            ColtHttpDone done,
                            void *client);

/** Ends all calls, open and waiting, and closes the connection. Calls of which
 * nothing was sent end with COLT_HTTP_NOT_SENT. The callbacks run before this
 * function returns. */
void colt_http_client_cancel (struct ColtHttpClient *http);

/** Returns the number of open and waiting calls. */
uint32_t colt_http_client_pending (const struct ColtHttpClient *http);

/** Returns the number of connections opened since the client was created. */
uint64_t colt_http_client_connections (const struct ColtHttpClient *http);

#endif
