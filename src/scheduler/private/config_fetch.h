/* Fetches the configuration of another instance in parts, one call a part. What
 * has arrived is kept when a call fails, and completed from any instance that
 * has the same version. */
#ifndef COLT_SCHEDULER_CONFIG_FETCH_H
#define COLT_SCHEDULER_CONFIG_FETCH_H

#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/cell.pb-c.h"
#include "coltsfootstile/wire.h"
#include "config_copy.h"

struct ColtConfigFetch;

struct ColtConfigFetchClient
{
  /* A configuration has arrived, of which the client becomes the owner. */
  void (*handle_copy) (void *client,
                       struct ColtConfigCopy *copy,
                       uint32_t instance);
  /* An instance didn't answer a call, or had nothing to pass on. */
  void (*handle_failed) (void *client, uint32_t instance, const char *reason);
  void *client;
};

struct ColtConfigFetch *
colt_config_fetch_create (struct ColtWire *wire,
                          const struct ColtConfigFetchClient *client);
/* To be called after the wire has ended its calls. */
void colt_config_fetch_destroy (struct ColtConfigFetch *fetch);
/* Requests a configuration with a version above a given one from an instance,
 * a peer of the wire, unless a call is open. */
void colt_config_fetch_start (struct ColtConfigFetch *fetch,
                              uint32_t instance,
                              int64_t above);
/* Fills in the reply to a call with a part of a configuration; copy may be
 * NULL. The reply lends data of the copy and of the call. */
void colt_config_fetch_fill_part (struct ColtConfigCopy *copy,
                                  const ColtConfigCall *call,
                                  ColtConfigPart *part);

#endif
