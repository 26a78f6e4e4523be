/**
 * \file
 * \brief The adapter between the scheduler's ports and the platform.
 *
 * The adapter translates calls and answers between struct ColtPorts and the
 * platform's protocols. It makes no decisions, and the names and formats of
 * these protocols are confined to it.
 */
#ifndef COLTSFOOTSTILE_ADAPTER_H
#define COLTSFOOTSTILE_ADAPTER_H

#include "coltsfootstile/http_listener.h"
#include "coltsfootstile/ports.h"

struct event_base;

/** Addresses that the adapter listens on and connects to, each IP:PORT, and
 * bounds on what it accepts. */
struct ColtAdapterSettings
{
  const char *callers;   /**< listens for callers */
  const char *readiness; /**< listens for the load balancer's probes */
  const char *state;     /**< listens for operators, who request pages such as
                              metrics; "": does not listen for them */
  const char *log;       /**< the platform's log service */
  const char *adviser;   /**< the placement adviser; "": there is none */
  struct ColtHttpLimits limits;   /**< bounds of the listeners' clients */
  uint32_t readiness_connections; /**< most open ones; 0: 64 */
  uint32_t state_connections;     /**< most open ones; 0: 32 */
};

/** An adapter; it implements the functions of struct ColtPorts. */
struct ColtAdapter;

/**
 * Creates an adapter and fills in the functions of \a ports. Listening starts
 * with ColtPorts.listen.
 *
 * \param base      event loop, which must outlive the adapter
 * \param settings  addresses, which are copied
 * \param ports     table to fill in; the adapter must outlive its use
 * \return          the adapter, to be freed with colt_adapter_destroy()
 */
struct ColtAdapter *
colt_adapter_create (struct event_base *base,
                     const struct ColtAdapterSettings *settings,
                     struct ColtPorts *ports);

/**
 * Closes the listening sockets and frees an adapter.
 *
 * \param adapter  adapter whose channels are all closed; NULL is allowed
 */
void colt_adapter_destroy (struct ColtAdapter *adapter);

#endif
