/**
 * \file
 * \brief An HTTP server that answers requests as scripted.
 */
#ifndef COLT_TEST_FAKE_HTTP_H
#define COLT_TEST_FAKE_HTTP_H

#include <event2/event.h>
#include <glib.h>

/** Reaction of the server to a request. */
enum ColtFakeAction
{
  COLT_FAKE_ANSWER,    /**< sends a complete answer */
  COLT_FAKE_TRUNCATE,  /**< sends one byte less than announced, and closes */
  COLT_FAKE_UNBOUNDED, /**< sends an answer without its length, and closes */
  COLT_FAKE_CLOSE,     /**< closes without an answer */
  COLT_FAKE_NO_ANSWER, /**< sends nothing and keeps the connection open */
  COLT_FAKE_STALL      /**< sends one byte less than announced, and keeps the
                            connection open */
};

/** An HTTP server for tests. */
struct ColtFakeHttp;

/** Creates a server on a free port of 127.0.0.1. */
struct ColtFakeHttp *colt_fake_http_create (struct event_base *base);
/** Closes all connections and frees a server. */
void colt_fake_http_destroy (struct ColtFakeHttp *fake);
/** Returns the server's address as IP:PORT. */
const char *colt_fake_http_address (const struct ColtFakeHttp *fake);
/** Limits how fast connections that are accepted from now on transfer data, in
 * bytes per second in each direction; to be called once. */
void colt_fake_http_limit_rate (struct ColtFakeHttp *fake, guint bytes_per_s);
/**
 * Adds the reaction to one request to the script. Requests beyond the end of
 * the script get no answer.
 *
 * \param status  HTTP status of the answer
 * \param body    body of the answer, which is copied; may be NULL
 */
void colt_fake_http_add_step (struct ColtFakeHttp *fake,
                              enum ColtFakeAction action,
                              int status,
                              const char *body);
/** Returns request \a index, counted from 0, with headers and body; NULL if it
 * was not received. */
const char *colt_fake_http_request (const struct ColtFakeHttp *fake,
                                    guint index);
/** Returns the number of connections accepted so far. */
guint colt_fake_http_connections (const struct ColtFakeHttp *fake);

#endif
