/**
 * \file
 * \brief HTTP server with JSON bodies and faults for the stand-ins.
 *
 * A request is passed to the handler as a call, which must be answered exactly
 * once, immediately or later. Calls of the path "/control" are passed to the
 * control handler, if there is one, and are not affected by faults.
 */
#ifndef COLT_STANDIN_HTTP_H
#define COLT_STANDIN_HTTP_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** An HTTP server with one listening address and its connections. */
struct ColtStandinHttp;

/** A request that is not answered yet. */
struct ColtStandinCall;

/** Faults, which can be set at run time. */
struct ColtStandinFaults
{
  bool down;             /**< every call is answered with status 503 */
  bool unresponsive;     /**< calls are read, but not handled or answered */
  int64_t delay_ms;      /**< delay of each answer */
  int64_t lose_permille; /**< thousandths of the calls that are handled, but
                          * whose connection is closed instead of an answer */
};

/** Handles a call. */
typedef void (*ColtStandinHandler) (void *client, struct ColtStandinCall *call);

/**
 * Creates a server that does not listen yet.
 *
 * \return the server, to be destroyed with colt_standin_http_destroy()
 */
struct ColtStandinHttp *colt_standin_http_create (struct event_base *base,
                                                  ColtStandinHandler handler,
                                                  void *client);

/** Destroys a server, its connections and its calls; NULL is allowed. */
void colt_standin_http_destroy (struct ColtStandinHttp *http);

/** Sets the handler of calls of "/control". */
void colt_standin_http_set_control (struct ColtStandinHttp *http,
                                    ColtStandinHandler handler,
                                    void *client);

/** Answers requests on connections beyond \a count with status 503. */
void colt_standin_http_set_connection_max (struct ColtStandinHttp *http,
                                           uint32_t count);

/**
 * Starts listening.
 *
 * \param address  IP:PORT; port 0 selects a free port
 * \return         false with COLT_ERROR_INVALID if the address is malformed, or
 *                 with COLT_ERROR_SYSTEM if it can't be bound
 */
bool colt_standin_http_listen (struct ColtStandinHttp *http,
                               const char *address,
                               struct ColtError *error);

/** Returns the listening port, 0 if the server does not listen. */
uint16_t colt_standin_http_port (const struct ColtStandinHttp *http);

/** Stops listening and closes the connections that have sent a request. */
void colt_standin_http_close (struct ColtStandinHttp *http);

/**
 * Answers no pending or further calls on the connections that have sent a
 * request so far. Other connections work.
 */
void colt_standin_http_stop_answering (struct ColtStandinHttp *http);

/** Returns the faults, which may be changed. They are owned by the server. */
struct ColtStandinFaults *
colt_standin_http_faults (struct ColtStandinHttp *http);

/**
 * Sets the faults that a JSON object contains: "down", "silent" (unresponsive),
 * "slow_ms" or "answer_delay_ms" (delay_ms) and "lose_answers_permille". With
 * "silence_connections": true, colt_standin_http_stop_answering() is called.
 * Numbers are clamped to 0 ... 3600000; missing faults stay as they are.
 */
void colt_standin_http_set_faults (struct ColtStandinHttp *http,
                                   const json_t *object);

/** Returns the number of open connections that have sent a request. */
uint32_t colt_standin_http_connections (const struct ColtStandinHttp *http);

/** Returns whether a call has the method ("GET" or "POST") and the path. */
bool colt_standin_call_matches (const struct ColtStandinCall *call,
                                const char *method,
                                const char *path);

/**
 * Returns the part of the path after \a prefix, owned by the call; NULL if the
 * path does not start with it.
 */
const char *colt_standin_call_path_after (const struct ColtStandinCall *call,
                                          const char *prefix);

/** Returns a number of the query, \a fallback if the key is missing. */
int64_t colt_standin_call_number (const struct ColtStandinCall *call,
                                  const char *key,
                                  int64_t fallback);

/** Returns whether the query contains a key. */
bool colt_standin_call_has_key (const struct ColtStandinCall *call,
                                const char *key);

/** Returns the body, owned by the call; NULL unless it is a JSON object. */
const json_t *colt_standin_call_body (const struct ColtStandinCall *call);

/**
 * Answers a call, unless a fault prevents it. The call must not be used
 * afterwards.
 *
 * \param body  JSON value, whose reference is released
 */
void colt_standin_call_reply (struct ColtStandinCall *call,
                              int status,
                              json_t *body);

/** Calls colt_standin_call_reply() with the body {"error":REASON}. */
void colt_standin_call_refuse (struct ColtStandinCall *call,
                               int status,
                               const char *reason);

#endif
