/**
 * \file
 * \brief HTTP calls over one connection, one after another.
 *
 * The client tells apart a call that was certainly not sent from one whose
 * answer was lost. It never sends a call twice. A call that fails closes the
 * connection, so that the next one opens a new one. The process must ignore
 * SIGPIPE.
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
  COLT_HTTP_ANSWERED, /**< the whole answer is there, whatever its status */
  COLT_HTTP_NOT_SENT, /**< the server has certainly not seen the call */
  COLT_HTTP_UNKNOWN   /**< no whole answer: the server may have seen it */
};

/** Names of enum ColtHttpResult, indexed by it. */
extern const char *const colt_http_result_string[];

/** Size in bytes of a Retry-After header that is kept, with the final zero. */
#define COLT_HTTP_RETRY_AFTER_SIZE 16

/** What a call asks for. */
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
  const char *value; /**< NULL: the header is left out */
};

/** A call; everything is copied. */
struct ColtHttpRequest
{
  enum ColtHttpMethod method;
  const char *path;                     /**< with its query */
  const struct ColtHttpHeader *headers; /**< besides Host and Content-Type */
  size_t header_count;
  const char *body;    /**< JSON text, or NULL */
  size_t body_size;    /**< of a body that is bytes instead; 0: it is text */
  uint32_t timeout_ms; /**< from sending until the call counts as lost, at
                            least 1 */
};

/** How a call ended, with its answer. */
struct ColtHttpAnswer
{
  enum ColtHttpResult result;
  int status;       /**< 0 unless COLT_HTTP_ANSWERED */
  int64_t sent_us;  /**< monotonic time before sending */
  const char *body; /**< with a final zero; NULL unless answered */
  size_t size;      /**< without the final zero */
  char retry_after[COLT_HTTP_RETRY_AFTER_SIZE]; /**< "" when there is none */
  struct ColtError error; /**< unless COLT_HTTP_ANSWERED */
};

/** Takes the end of a call; the answer is valid during the call only. The
 * client may be destroyed from within. */
typedef void (*ColtHttpDone) (void *client,
                              const struct ColtHttpAnswer *answer);

/** One connection. */
struct ColtHttpClient;

/**
 * Creates a client.
 *
 * \param base        the loop, which must outlive the client
 * \param address     IP:PORT
 * \param answer_max  largest body of an answer in bytes
 * \param queue_max   calls that may wait for the one that is open
 */
struct ColtHttpClient *colt_http_client_create (struct event_base *base,
                                                const char *address,
                                                size_t answer_max,
                                                uint32_t queue_max);

/** Ends open calls and frees a client; NULL is allowed. */
void colt_http_client_destroy (struct ColtHttpClient *http);

/**
 * Calls the server.
 *
 * \param path        with its query
 * \param body        text of a POST, which is copied; NULL for a GET
 * \param timeout_ms  from sending until the call counts as lost, at least 1
 * \param done        called exactly once, never before this returns
 */
void colt_http_client_call (struct ColtHttpClient *http,
                            const char *path,
                            const char *body,
                            uint32_t timeout_ms,
                            ColtHttpDone done,
                            void *client);

/**
 * Calls the server with a method and headers.
 *
 * \param done  called exactly once, never before this returns
 */
void colt_http_client_send (struct ColtHttpClient *http,
                            const struct ColtHttpRequest *request,
                            ColtHttpDone done,
                            void *client);

/** Ends open calls and closes the connection. */
void colt_http_client_cancel (struct ColtHttpClient *http);

/** Returns the number of calls that are open or wait. */
uint32_t colt_http_client_pending (const struct ColtHttpClient *http);

/** Returns the number of connections opened so far. */
uint64_t colt_http_client_connections (const struct ColtHttpClient *http);

#endif
