/**
 * \file
 * \brief The adapter between the scheduler's ports and the platform.
 *
 * It translates and decides nothing: names and forms of the platform's
 * protocols are known here only.
 */
#ifndef COLTSFOOTSTILE_ADAPTER_H
#define COLTSFOOTSTILE_ADAPTER_H

#include "coltsfootstile/ports.h"

struct event_base;

/** Where the adapter listens, and whom it calls; all are IP:PORT. */
struct ColtAdapterSettings
{
  const char *callers;   /**< listens for callers */
  const char *readiness; /**< listens for the balancer's probes */
  const char *state;     /**< listens for operators: metrics */
  const char *log;       /**< the platform's log service */
  const char *adviser;   /**< "" when there is none */
};

/** An adapter. */
struct ColtAdapter;

/** Creates an adapter and fills in the ports, which it must outlive. */
struct ColtAdapter *
colt_adapter_create (struct event_base *base,
                     const struct ColtAdapterSettings *settings,
                     struct ColtPorts *ports);

/** Destroys an adapter whose channels are closed; NULL is allowed. */
void colt_adapter_destroy (struct ColtAdapter *adapter);

#endif
