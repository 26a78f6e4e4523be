/**
 * \file
 * \brief HTTP with JSON bodies for the stand-ins, and its faults.
 *
 * A request reaches the handler as a call, which is answered exactly once, at
 * once or later. The path "/control" goes to the control handler and is spared
 * by all faults.
 */
#ifndef COLT_STANDIN_HTTP_H
#define COLT_STANDIN_HTTP_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** One listening address with its connections. */
struct ColtStandinHttp;

/** One request that waits for its answer. */
struct ColtStandinCall;

/** Faults, switched at run time. */
struct ColtStandinFaults
{
  bool down;             /**< every call is answered with status 503 */
  bool silent;           /**< calls are read and never answered */
  int64_t delay_ms;      /**< added before each answer */
  int64_t lose_permille; /**< answers lost after the call took effect */
};

/** Takes a call. */
typedef void (*ColtStandinHandler) (void *client, struct ColtStandinCall *call);

/** Creates a server that listens nowhere yet. */
struct ColtStandinHttp *colt_standin_http_create (struct event_base *base,
                                                  ColtStandinHandler handler,
                                                  void *client);

/** Destroys a server, its connections and its calls; NULL is allowed. */
void colt_standin_http_destroy (struct ColtStandinHttp *http);

/** Sets the taker of calls of "/control". */
void colt_standin_http_set_control (struct ColtStandinHttp *http,
                                    ColtStandinHandler handler,
                                    void *client);

/** Turns away connections beyond \a count with status 503. */
void colt_standin_http_set_connection_max (struct ColtStandinHttp *http,
                                           uint32_t count);

/**
 * Listens at ADDRESS:PORT.
 *
 * \return false with COLT_ERROR_SYSTEM if it can't be bound
 */
bool colt_standin_http_listen (struct ColtStandinHttp *http,
                               const char *address,
                               struct ColtError *error);

/** Returns the port listened at, 0 if none. */
uint16_t colt_standin_http_port (const struct ColtStandinHttp *http);

/** Stops listening and closes all connections. */
void colt_standin_http_close (struct ColtStandinHttp *http);

/** Makes all connections that are open now silent for good. */
void colt_standin_http_silence (struct ColtStandinHttp *http);

/** Returns the faults, to be read and changed. */
struct ColtStandinFaults *
colt_standin_http_faults (struct ColtStandinHttp *http);

/**
 * Switches the faults that an object names: "down", "silent", "slow_ms" or
 * "answer_delay_ms", "lose_answers_permille", "silence_connections".
 */
void colt_standin_http_switch (struct ColtStandinHttp *http,
                               const json_t *object);

/** Returns the number of connections that have sent a request. */
uint32_t colt_standin_http_connections (const struct ColtStandinHttp *http);

/** Returns whether a call is of this method ("GET", "POST") and path. */
bool colt_standin_call_is (const struct ColtStandinCall *call,
                           const char *method,
                           const char *path);

/** Returns the rest of the path behind \a prefix, or NULL. */
const char *colt_standin_call_path_after (const struct ColtStandinCall *call,
                                          const char *prefix);

/** Returns a number of the query, or \a fallback. */
int64_t colt_standin_call_number (const struct ColtStandinCall *call,
                                  const char *key,
                                  int64_t fallback);

/** Returns whether the query has a key. */
bool colt_standin_call_has (const struct ColtStandinCall *call,
                            const char *key);

/** Returns the body, owned by the call; NULL if it is no JSON object. */
const json_t *colt_standin_call_body (const struct ColtStandinCall *call);

/** Answers a call, which is gone after this; takes over \a body. */
void colt_standin_call_reply (struct ColtStandinCall *call,
                              int status,
                              json_t *body);

/** Answers a call with {"error":REASON}. */
void colt_standin_call_refuse (struct ColtStandinCall *call,
                               int status,
                               const char *reason);

#endif
