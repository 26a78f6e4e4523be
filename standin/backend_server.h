/**
 * \file
 * \brief A stand-in backend server with its HTTP interface.
 */
#ifndef COLT_STANDIN_BACKEND_SERVER_H
#define COLT_STANDIN_BACKEND_SERVER_H

#include <event2/event.h>
#include <jansson.h>

#include "coltsfootstile/error.h"
#include "recorder.h"
#include "server_state.h"

/** A stand-in backend server with its listening address and connections. */
struct ColtStandinBackend;

/**
 * Creates a server that does not listen yet.
 *
 * \param spec      copied
 * \param address   listening address, IP:PORT; copied
 * \param recorder  receives the server's records; must outlive the server
 * \return          the server, to be destroyed with
 *                  colt_standin_backend_destroy()
 */
struct ColtStandinBackend *
colt_standin_backend_create (struct event_base *base,
                             const struct ColtStandinServerSpec *spec,
                             const char *address,
                             struct ColtStandinRecorder *recorder);

/** Closes the connections and destroys the server; NULL is allowed. */
void colt_standin_backend_destroy (struct ColtStandinBackend *backend);

/** Returns the id of the server. */
uint32_t colt_standin_backend_id (const struct ColtStandinBackend *backend);

/**
 * Starts listening at the server's address.
 *
 * \return false with COLT_ERROR_INVALID if the address is malformed, or with
 *         COLT_ERROR_SYSTEM if it can't be bound
 */
bool colt_standin_backend_listen (struct ColtStandinBackend *backend,
                                  struct ColtError *error);

/** Returns the listening port, 0 if the server does not listen. */
uint16_t colt_standin_backend_port (const struct ColtStandinBackend *backend);

/**
 * Sets the faults of a control request:
 * - "speed": speed of the server, if above 0; 1 is the normal speed
 * - "fail_all": whether tasks that are started from now on fail immediately
 * - "leaving": whether the server reports that it is leaving
 * - "silent": true calls colt_standin_http_stop_answering()
 * - "down": true kills the server and closes its connections, false lets it
 *   listen again
 * - the other keys of colt_standin_http_set_faults()
 *
 * \param change  JSON object; keys that are missing leave their fault as it is
 * \return        false with the error of colt_standin_backend_listen() if a
 *                server that was down can't listen again
 */
bool colt_standin_backend_set_faults (struct ColtStandinBackend *backend,
                                      const json_t *change,
                                      struct ColtError *error);

#endif
