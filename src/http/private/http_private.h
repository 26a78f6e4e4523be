/* Declarations shared by the source files of the HTTP listeners. */
#ifndef COLT_HTTP_PRIVATE_H
#define COLT_HTTP_PRIVATE_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "coltsfootstile/http_listener.h"

/* Bytes that a connection takes in the process: the connection of evhttp, its
 * buffers, a short request and an answer. */
#define COLT_HTTP_CONNECTION_BYTES 10240u

/* Why a connection is closed. */
enum ColtHttpEnd
{
  COLT_HTTP_END_UNREAD,
  COLT_HTTP_END_INCOMPLETE,
  COLT_HTTP_END_IDLE,
  COLT_HTTP_END_CONNECTIONS, /* the bound on connections was reached */
  COLT_HTTP_END_MEMORY,      /* the bound on memory was reached */
  COLT_HTTP_END_AHEAD,   /* requests were sent ahead to a crowded listener */
  COLT_HTTP_END_REFUSED, /* the bound was reached and none could be closed */
  COLT_HTTP_END_COUNT
};

/* How far a connection is read before evhttp takes something from its input
 * buffer. */
enum ColtHttpInput
{
  COLT_HTTP_INPUT_SHORT,   /* a request line or header of usual length */
  COLT_HTTP_INPUT_HEADERS, /* the longest headers */
  COLT_HTTP_INPUT_BODY     /* the longest body, which evhttp takes at once */
};

struct ColtHttpPool
{
  struct event_base *base;
  struct ColtHttpLimits limits;
  uint32_t connection_bytes; /* that a connection may take, its socket's buffers
                                included, besides a long request or answer */
  struct ColtCounters *counters;
  GPtrArray *listeners;
  struct event *timer;
  struct event *enforcement; /* activated when a bound is exceeded */
  int64_t now_us;            /* time that the loop has run, as of the last tick;
                                starts at 1 */
  int64_t clock_us;          /* monotonic time of the last tick */
  uint64_t held;             /* bytes of connections, requests and answers */
  uint32_t open;             /* connections */
  bool waiting;              /* some connection waits for memory */
  uint32_t connection_gauge;
  uint32_t byte_gauge;
  uint32_t pauses;                    /* counter */
  uint32_t ends[COLT_HTTP_END_COUNT]; /* counters */
  /* Since the last log line of a reason, and the time of that line. */
  uint64_t unlogged[COLT_HTTP_END_COUNT];
  int64_t logged_us[COLT_HTTP_END_COUNT];
};

struct ColtHttpListener
{
  struct ColtHttpPool *pool;
  struct ColtHttpListenerSettings settings;
  struct evhttp *http;
  struct evhttp_bound_socket *socket; /* owned by http */
  bool paused;                        /* accepts nothing until there is room */
  /* Connections closed to make room since the last tick. Their descriptors stay
   * open until the event loop has run. */
  guint replaced;
  GHashTable *connections; /* struct ColtHttpConnection by its bufferevent */
};

/* An accepted connection. The bufferevent is referenced, since evhttp doesn't
 * tell when it frees one. */
struct ColtHttpConnection
{
  struct ColtHttpListener *listener;
  struct bufferevent *bufferevent;
  int64_t request_us; /* first byte of an incomplete request; 0: none */
  int64_t taken_us;   /* the client last took output, or output began */
  int64_t idle_us;    /* the last answer was sent, or the connection opened */
  int64_t opened_us;
  uint64_t held;   /* its own bytes and those of its request and answer */
  uint64_t parsed; /* bytes of the request that left the input buffer */
  uint32_t fields; /* lines of the request, each of which may be a field */
  enum ColtHttpInput input;
  bool handled;   /* its request is complete and has no answer yet */
  bool answering; /* unsent output is the answer of its request */
  bool last;      /* evhttp frees it once its answer is sent */
  bool waiting;   /* for memory; its input isn't parsed */
  bool closing;   /* evhttp has been told to free it */
  bool refused;   /* is to be closed as soon as evhttp has it */
};

/* http_pool.c */

/* Adds a listener; the first one starts the pool's timer, since a loop with a
 * timer doesn't end by itself. */
void colt_http_pool_add (struct ColtHttpPool *pool,
                         struct ColtHttpListener *listener);
/* Returns the highest number of connections of a listener. */
uint32_t colt_http_pool_quota (const struct ColtHttpListener *listener);
/* Returns whether a new connection has to wait: the listener is at its bound,
 * and none can be closed yet. If all are at work, a new one is refused at once
 * instead. */
bool colt_http_pool_is_full (const struct ColtHttpListener *listener);
/* Makes room for a connection; returns false if none could be closed. */
bool colt_http_pool_make_room (struct ColtHttpListener *listener);
/* Counts a connection that is closed for a reason, and logs it at times. */
void colt_http_pool_count_end (struct ColtHttpListener *listener,
                               enum ColtHttpEnd end);
/* Returns whether the request of a connection has to wait for memory. One of
 * usual length never does, so that probes are answered at the bound too. */
bool colt_http_pool_must_wait (const struct ColtHttpConnection *connection);
/* Changes the bytes held for a connection. */
void colt_http_pool_hold (struct ColtHttpConnection *connection, int64_t bytes);

/* http_listener.c */

/* Frees the connection's entry if evhttp has freed the connection; returns
 * whether it has. The entry stays in the listener's table. */
bool colt_http_connection_reap (struct ColtHttpConnection *connection);
/* Parses the input that a connection holds back for want of memory. */
void colt_http_connection_resume (struct ColtHttpConnection *connection);
/* Closes a connection outside evhttp's callbacks for it. */
void colt_http_connection_close (struct ColtHttpConnection *connection,
                                 bool discard);

/* Stops accepting connections while too many wait to be freed or none can be
 * closed for a new one, and accepts them again once there is room. */
void colt_http_listener_pace (struct ColtHttpListener *listener);

#endif
