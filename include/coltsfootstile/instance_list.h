/**
 * \file
 * \brief The platform's list of entry instances and backend servers.
 *
 * The list lags. What it says is a suggestion: safety never rests on it.
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
/** Default time between two fetches of the list, in milliseconds. */
#define COLT_LIST_INTERVAL_MS 1000u

/** Whether an instance or a backend server is to be used. */
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
  uint32_t id; /**< at least 1 */
  uint32_t zone;
  char address[COLT_ADDRESS_SIZE]; /**< as seen from the asking zone */
  enum ColtListState state;
};

/** A backend server. */
struct ColtListServer
{
  uint32_t id; /**< at least 1 */
  uint32_t zone;
  uint32_t rack;
  char address[COLT_ADDRESS_SIZE]; /**< as seen from the asking zone */
  enum ColtListState state;
};

/** A list as it was fetched, each part in the order of ids. */
struct ColtInstanceList
{
  uint64_t version;
  const struct ColtListEntry *entries;
  size_t entry_count;
  const struct ColtListServer *servers;
  size_t server_count;
};

/** Takes the end of a fetch; \a list is NULL on failure, \a error otherwise.
 * The list is valid during the call only. */
typedef void (*ColtListDone) (void *client,
                              const struct ColtInstanceList *list,
                              const struct ColtError *error);

/**
 * One way to fetch the list. A fetch ends exactly once, and never before the
 * function returns, except that cancel and destroy end what is open.
 */
struct ColtListDriver
{
  /** Fetches the list for a zone; one fetch may be open at a time. */
  void (*fetch) (struct ColtListDriver *driver,
                 uint32_t zone,
                 ColtListDone done,
                 void *client);
  /** Ends an open fetch and closes the connection. */
  void (*cancel) (struct ColtListDriver *driver);
  /** Frees the driver. */
  void (*destroy) (struct ColtListDriver *driver);
};

/**
 * Creates the driver that speaks HTTP with JSON bodies.
 *
 * \param base     the loop, which must outlive the driver
 * \param address  IP:PORT
 */
struct ColtListDriver *colt_list_http_create (struct event_base *base,
                                              const char *address);

/** Fetches the list again and again, and keeps the last good one. */
struct ColtListPoller;

/** Takes a list that differs from the one before; it stays valid until the
 * next call. */
typedef void (*ColtListChanged) (void *client,
                                 const struct ColtInstanceList *list);

/**
 * Creates a poller.
 *
 * \param base         the loop, which must outlive the poller
 * \param driver       is destroyed with the poller
 * \param zone         this instance's zone
 * \param interval_ms  time between two fetches, at least 1
 */
struct ColtListPoller *colt_list_poller_create (struct event_base *base,
                                                struct ColtListDriver *driver,
                                                uint32_t zone,
                                                uint32_t interval_ms,
                                                ColtListChanged changed,
                                                void *client);

/** Frees a poller; NULL is allowed. */
void colt_list_poller_destroy (struct ColtListPoller *poller);

/** Starts to poll. */
void colt_list_poller_start (struct ColtListPoller *poller);

/** Returns the last good list, NULL if there was none yet. */
const struct ColtInstanceList *
colt_list_poller_get (const struct ColtListPoller *poller);

/** Numbers of a poller. */
struct ColtListPollerStats
{
  uint64_t fetches;     /**< that succeeded */
  uint64_t failures;    /**< that failed */
  uint32_t failed_last; /**< failures since the last good list */
  int64_t good_us;      /**< monotonic time of the last good list, INT64_MIN */
  struct ColtError error; /**< of the last failure */
};

/** Reads the numbers. */
void colt_list_poller_get_stats (const struct ColtListPoller *poller,
                                 struct ColtListPollerStats *stats);

#endif
