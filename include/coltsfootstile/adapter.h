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

/** Largest configuration that colt_adapter_read_config() reads, in bytes. */
#define COLT_CONFIG_BYTES_MAX (64u * 1024 * 1024)
/** Most entries in it: queues, services, organisations and keys together. */
#define COLT_CONFIG_ENTRIES_MAX 100000u

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

/**
 * Reads a configuration as an operator sends it, more strictly than
 * ColtPorts.decode_fleet: each member that is read must have its type and
 * range, also if scheduling doesn't use it.
 *
 * \param text   JSON of \a size bytes
 * \param error  set on failure, with the place in its message: the line and
 *               column, or the path of the member. It quotes nothing from the
 *               text. COLT_ERROR_EXHAUSTED: the text or its number of entries
 *               is too large; otherwise COLT_ERROR_INVALID
 * \return       to be released with colt_fleet_unref(); NULL with an error
 */
struct ColtFleet *colt_adapter_read_config (const char *text,
                                            size_t size,
                                            struct ColtError *error);

#endif
