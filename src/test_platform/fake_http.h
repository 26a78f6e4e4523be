/**
 * \file
 * \brief An HTTP server whose answers are scripted, byte by byte.
 */
#ifndef COLT_TEST_FAKE_HTTP_H
#define COLT_TEST_FAKE_HTTP_H

#include <event2/event.h>
#include <glib.h>

/** What the server does with a request. */
enum ColtFakeAct
{
  COLT_FAKE_ANSWER,    /**< sends a whole answer */
  COLT_FAKE_TRUNCATE,  /**< announces one byte more than it sends, and closes */
  COLT_FAKE_UNBOUNDED, /**< sends no length, and closes */
  COLT_FAKE_CLOSE,     /**< closes without an answer */
  COLT_FAKE_SILENT     /**< never answers on this connection */
};

/** The server. */
struct ColtFakeHttp;

/** Creates a server on a free port of 127.0.0.1. */
struct ColtFakeHttp *colt_fake_http_create (struct event_base *base);
/** Frees it with its connections. */
void colt_fake_http_destroy (struct ColtFakeHttp *fake);
/** Returns its address. */
const char *colt_fake_http_address (const struct ColtFakeHttp *fake);
/** Adds an act to the script; requests beyond it are met with silence. */
void colt_fake_http_push (struct ColtFakeHttp *fake,
                          enum ColtFakeAct act,
                          int status,
                          const char *body);
/** Returns request \a index with head and body, NULL if there is none. */
const char *colt_fake_http_request (const struct ColtFakeHttp *fake,
                                    guint index);
/** Returns the number of connections accepted so far. */
guint colt_fake_http_connections (const struct ColtFakeHttp *fake);

#endif
