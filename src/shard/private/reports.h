/**
 * \file
 * \brief Collects the reports of an answer to an open.
 */
#ifndef COLTSFOOTSTILE_SHARD_REPORTS_H
#define COLTSFOOTSTILE_SHARD_REPORTS_H

#include <glib.h>

#include "coltsfootstile/shard.h"

/** What has been collected so far. */
struct ColtShardReports
{
  uint32_t shard;  /**< that is being collected */
  uint32_t server; /**< that is being collected, 0: none */
  GArray *tasks;   /**< of struct ColtShardTask */
  GArray *teams;   /**< of struct ColtTeamCount */
};

/** Makes an empty collection. */
void colt_shard_reports_init (struct ColtShardReports *reports);

/** Moves the collection into an answer. */
void colt_shard_reports_finish (struct ColtShardReports *reports,
                                struct ColtShardOpened *opened);

#endif
