/**
 * \file
 * \brief Collects the reports for the answer to an open message.
 */
#ifndef COLTSFOOTSTILE_SHARD_REPORTS_H
#define COLTSFOOTSTILE_SHARD_REPORTS_H

#include <glib.h>

#include "coltsfootstile/shard.h"

/** Reports collected so far. */
struct ColtShardReports
{
  uint32_t shard;  /**< shard being collected */
  uint32_t server; /**< server being collected, 0: the owner itself */
  GArray *tasks;   /**< of struct ColtShardTask */
  GArray *teams;   /**< of struct ColtTeamCount */
};

/** Initializes an empty collection. */
void colt_shard_reports_init (struct ColtShardReports *reports);

/** Moves the collected reports into an answer. */
void colt_shard_reports_finish (struct ColtShardReports *reports,
                                struct ColtShardOpened *opened);

#endif
