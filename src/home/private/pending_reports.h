/**
 * \file
 * \brief Task reports of owners for a shard that is not led here yet.
 *
 * During a shard's reconciliation the reports are collected here. Once the
 * shard is active, they are handed to the table of requests. Reports of a
 * server that joins late are collected in the same way.
 */
#ifndef COLTSFOOTSTILE_PENDING_REPORTS_H
#define COLTSFOOTSTILE_PENDING_REPORTS_H

#include <glib.h>

#include "coltsfootstile/shard.h"

/** Reports of one shard; element i of each array belongs to report i. */
struct ColtPendingReports
{
  GArray *reports;       /**< of struct ColtTaskReport, without results */
  GArray *servers;       /**< of uint32_t */
  GArray *server_epochs; /**< of uint64_t */
};

/** Creates the arrays, empty. */
void colt_pending_reports_init (struct ColtPendingReports *pending);

/** Frees the arrays. */
void colt_pending_reports_clear (struct ColtPendingReports *pending);

/** Drops every report. */
void colt_pending_reports_reset (struct ColtPendingReports *pending);

/** Replaces the reports of the server that \a report names. */
void colt_pending_reports_replace (struct ColtPendingReports *pending,
                                   const struct ColtShardReport *report);

/**
 * Removes and returns the reports of one server.
 *
 * \return array of struct ColtTaskReport, to be freed with g_array_unref()
 */
GArray *colt_pending_reports_steal (struct ColtPendingReports *pending,
                                    uint32_t server);

#endif
