/**
 * \file
 * \brief One stand-in backend server at its address.
 */
#ifndef COLT_STANDIN_BACKEND_SERVER_H
#define COLT_STANDIN_BACKEND_SERVER_H

#include <event2/event.h>
#include <jansson.h>

#include "coltsfootstile/error.h"
#include "recorder.h"
#include "server_state.h"

/** A server with its connections. */
struct ColtStandinBackend;

/**
 * Creates a server that does not listen yet.
 *
 * \param recorder  takes its records and outlives it
 */
struct ColtStandinBackend *
colt_standin_backend_create (struct event_base *base,
                             const struct ColtStandinServerSpec *spec,
                             const char *address,
                             struct ColtStandinRecorder *recorder);

/** Destroys a server; NULL is allowed. */
void colt_standin_backend_destroy (struct ColtStandinBackend *backend);

/** Returns the server's number. */
uint32_t colt_standin_backend_id (const struct ColtStandinBackend *backend);

/** Listens at its address. */
bool colt_standin_backend_listen (struct ColtStandinBackend *backend,
                                  struct ColtError *error);

/** Returns the port listened at, 0 if none. */
uint16_t colt_standin_backend_port (const struct ColtStandinBackend *backend);

/** Switches the faults that an object names; see docs/STANDINS.md. */
bool colt_standin_backend_switch (struct ColtStandinBackend *backend,
                                  const json_t *change,
                                  struct ColtError *error);

#endif
