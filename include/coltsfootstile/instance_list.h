/**
 * \file
 * \brief The platform's list of entry instances and backend servers.
 *
 * The list may be out of date. It serves as a hint only: no safety property
 * may depend on it.
 */
#ifndef COLTSFOOTSTILE_INSTANCE_LIST_H
#define COLTSFOOTSTILE_INSTANCE_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

struct event_base;

/** Size in bytes of an address "IP:PORT", with the final zero. */
#define COLT_ADDRESS_SIZE 48
/** Default interval between two fetches of the list, in milliseconds. */
#define COLT_LIST_INTERVAL_MS 1000u

/** Whether an instance or a backend server accepts work. */
enum ColtListState
{
  COLT_LIST_LIVE,
  COLT_LIST_LEAVING /**< gets no new work */
};

/** Names of enum ColtListState, indexed by it. */
extern const char *const colt_list_state_string[];

/** An entry instance. */
struct ColtListEntry
{
  uint32_t id;                     /**< at least 1 */
  uint32_t zone;                   /**< 1 to COLT_ZONE_MAX */
  char address[COLT_ADDRESS_SIZE]; /**< as seen from the requesting zone */
  enum ColtListState state;
};

/** A backend server. */
struct ColtListServer
{
  uint32_t id;   /**< at least 1 */
  uint32_t zone; /**< 1 to COLT_ZONE_MAX */
  uint32_t rack;
  char address[COLT_ADDRESS_SIZE]; /**< as seen from the requesting zone */
  enum ColtListState state;
};

/** A fetched list. Entries and servers are sorted by id; ids are unique. */
struct ColtInstanceList
{
  uint64_t version; /**< assigned by the platform */
  const struct ColtListEntry *entries;
  size_t entry_count;
  const struct ColtListServer *servers;
  size_t server_count;
};

/**
 * Receives the result of a fetch.
 *
 * \param client  user data given with the fetch
 * \param list    the list, valid until the function returns; NULL on failure
 * \param error   the failure; NULL on success
 */
typedef void (*ColtListDone) (void *client,
                              const struct ColtInstanceList *list,
                              const struct ColtError *error);

/**
 * A protocol that fetches the list. The callback of a fetch runs exactly once,
 * after fetch() has returned. cancel() and destroy() run the callback of an
 * open fetch before they return.
 */
struct ColtListDriver
{
  /** Fetches the list as seen from a zone; at most one fetch may be open. */
  void (*fetch) (struct ColtListDriver *driver,
                 uint32_t zone,
                 ColtListDone done,
                 void *client);
  /** Ends an open fetch with an error and closes the connection. */
  void (*cancel) (struct ColtListDriver *driver);
  /** Frees the driver. */
  void (*destroy) (struct ColtListDriver *driver);
};

/**
 * Creates a driver for HTTP with JSON bodies.
 *
 * \param base     event loop, which must outlive the driver
 * \param address  server, as IP:PORT
 * \return the driver, to be freed with its destroy()
 */
struct ColtListDriver *colt_list_http_create (struct event_base *base,
                                              const char *address);

/** Fetches the list periodically and keeps the last valid one. */
struct ColtListPoller;

/**
 * Receives a list whose contents differ from the previous one, and the first
 * list.
 *
 * \param client  user data given to colt_list_poller_create()
 * \param list    valid until the next successful fetch
 */
typedef void (*ColtListChanged) (void *client,
                                 const struct ColtInstanceList *list);

/**
 * Creates a poller. Failed fetches are retried with exponential backoff.
 *
 * \param base         event loop, which must outlive the poller
 * \param driver       owned by the poller from now on
 * \param zone         this instance's zone
 * \param interval_ms  time between two fetches, at least 1
 * \param changed      called when the list changes
 * \param client       user data for \a changed
 * \return the poller, to be freed with colt_list_poller_destroy()
 */
struct ColtListPoller *colt_list_poller_create (struct event_base *base,
                                                struct ColtListDriver *driver,
                                                uint32_t zone,
                                                uint32_t interval_ms,
                                                ColtListChanged changed,
                                                void *client);

/** Frees a poller and its driver; NULL is allowed. */
void colt_list_poller_destroy (struct ColtListPoller *poller);

/** Starts polling; the first fetch is made immediately. */
void colt_list_poller_start (struct ColtListPoller *poller);

/** Returns the last valid list, NULL before the first one. The poller keeps
 * ownership; the list is valid until the next successful fetch. */
const struct ColtInstanceList *
colt_list_poller_get (const struct ColtListPoller *poller);

/** Counters of a poller. */
struct ColtListPollerStats
{
  uint64_t fetches;              /**< successful fetches */
  uint64_t failures;             /**< failed fetches */
  uint32_t consecutive_failures; /**< failures since the last success */
  int64_t last_success_us; /**< monotonic time of the last successful fetch;
                                INT64_MIN before the first */
  struct ColtError error;  /**< of the last failure */
};

/** Copies the counters. */
void colt_list_poller_get_stats (const struct ColtListPoller *poller,
                                 struct ColtListPollerStats *stats);

#endif
