/**
 * \file
 * \brief HTTP listeners with bounds on what their clients make the process
 * hold.
 *
 * The listeners of a process share a pool, which bounds open connections and
 * the memory held for them. A connection is closed if its answer stays unread,
 * its request stays incomplete or it is idle; when a bound is reached, idle
 * connections are closed first, then the one with the most unsent output, then
 * the one whose request has been incomplete longest. A connection isn't closed
 * while its request is handled or while its client takes its answer, nor before
 * its client had time to send a request; if none can be closed, new ones wait
 * to be accepted. A client that has sent further requests ahead to a listener
 * with half of its connections open gets one answer, and its connection is
 * closed.
 */
#ifndef COLTSFOOTSTILE_HTTP_LISTENER_H
#define COLTSFOOTSTILE_HTTP_LISTENER_H

#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/counters.h"
#include "coltsfootstile/error.h"
#include "coltsfootstile/settings.h"

struct event_base;
struct evhttp_request;

/** Bounds; 0 stands for the default. */
struct ColtHttpLimits
{
  uint32_t header_bytes; /**< headers of a request */
  uint32_t body_bytes;   /**< body of a request */
  uint32_t request_ms;   /**< from the first byte of a request to its last */
  uint32_t unread_ms;    /**< without the client taking a byte of its answer */
  uint32_t idle_ms;      /**< between an answer and the next request */
  uint32_t connections;  /**< open at all listeners, at most what three
                              quarters of memory_kb allow; default: half of the
                              descriptors that the process may open */
  uint32_t memory_kb;    /**< KiB that connections, their requests and answers
                              may take */
  uint32_t socket_bytes; /**< receive buffer and send buffer of a connection's
                              socket, each; the kernel uses up to twice that */
};

/** Descriptions of the settings of the bounds, for a table of settings; both
 * arguments are texts. */
#define COLT_HTTP_LIMIT_SETTINGS(header_bytes, idle_ms)                        \
  { "limits",                                                                  \
    "header_bytes",                                                            \
    COLT_SETTING_INTEGER,                                                      \
    header_bytes,                                                              \
    1024,                                                                      \
    1048576,                                                                   \
    false,                                                                     \
    "longest headers of a request, in bytes" },                                \
      { "limits",                                                              \
        "body_bytes",                                                          \
        COLT_SETTING_INTEGER,                                                  \
        "524288",                                                              \
        1024,                                                                  \
        16777216,                                                              \
        false,                                                                 \
        "longest body of a request, in bytes" },                               \
      { "limits",                                                              \
        "request_ms",                                                          \
        COLT_SETTING_INTEGER,                                                  \
        "15000",                                                               \
        100,                                                                   \
        600000,                                                                \
        false,                                                                 \
        "until an incomplete request's connection is closed, in "              \
        "milliseconds" },                                                      \
      { "limits",                                                              \
        "unread_ms",                                                           \
        COLT_SETTING_INTEGER,                                                  \
        "15000",                                                               \
        100,                                                                   \
        600000,                                                                \
        false,                                                                 \
        "until the connection of an unread answer is closed, in "              \
        "milliseconds" },                                                      \
      { "limits",                                                              \
        "idle_ms",                                                             \
        COLT_SETTING_INTEGER,                                                  \
        idle_ms,                                                               \
        100,                                                                   \
        3600000,                                                               \
        false,                                                                 \
        "until an idle connection is closed, in milliseconds" },               \
      { "limits",                                                              \
        "connections",                                                         \
        COLT_SETTING_INTEGER,                                                  \
        "0",                                                                   \
        0,                                                                     \
        1000000,                                                               \
        false,                                                                 \
        "most open connections, as far as memory_kb allows; 0: half of the "   \
        "process's descriptors" },                                             \
      { "limits",                                                              \
        "socket_bytes",                                                        \
        COLT_SETTING_INTEGER,                                                  \
        "4096",                                                                \
        2048,                                                                  \
        1048576,                                                               \
        false,                                                                 \
        "receive buffer and send buffer of a connection, each, in bytes" },    \
  {                                                                            \
    "limits", "memory_kb", COLT_SETTING_INTEGER, "32768", 1024, 16777216,      \
        false, "memory for connections, their requests and answers, in KiB"    \
  }

/** Settings of a listener. */
struct ColtHttpListenerSettings
{
  const char *name;     /**< in counters and log lines; outlives the listener */
  uint32_t connections; /**< most open ones, at most a quarter of the pool's; 0:
                             what the other listeners leave */
  /** Handles a request. */
  void (*handle) (struct evhttp_request *request, void *client);
  void *client;
};

/** Bounds that listeners share. */
struct ColtHttpPool;

/** A listener. */
struct ColtHttpListener;

/** Returns the bounds of settings that have COLT_HTTP_LIMIT_SETTINGS. */
struct ColtHttpLimits
colt_http_limits_read (const struct ColtSettings *settings);

/**
 * Creates a pool.
 *
 * \param base      event loop, which must outlive the pool
 * \param limits    copied; NULL: defaults
 * \param counters  gets the pool's counters; must outlive the pool
 */
struct ColtHttpPool *colt_http_pool_create (struct event_base *base,
                                            const struct ColtHttpLimits *limits,
                                            struct ColtCounters *counters);

/** Frees a pool whose listeners are all freed; NULL is allowed. */
void colt_http_pool_destroy (struct ColtHttpPool *pool);

/** Creates a listener, which accepts nothing yet. */
struct ColtHttpListener *
colt_http_listener_create (struct ColtHttpPool *pool,
                           const struct ColtHttpListenerSettings *settings);

/**
 * Starts to accept connections at \a address (IP:PORT).
 *
 * \return false with COLT_ERROR_INVALID if the address is malformed, or with
 *         COLT_ERROR_SYSTEM if it can't be bound
 */
bool colt_http_listener_bind (struct ColtHttpListener *listener,
                              const char *address,
                              struct ColtError *error);

/** Lets the connection of a request end once its answer is sent. */
void colt_http_close_after_answer (struct evhttp_request *request);

/** Closes the listening socket; open connections are still served. */
void colt_http_listener_stop (struct ColtHttpListener *listener);

/** Closes all connections and frees a listener; NULL is allowed. */
void colt_http_listener_destroy (struct ColtHttpListener *listener);

#endif
