/**
 * \file
 * \brief What owners report of a shard until its requests have taken it in.
 */
#ifndef COLTSFOOTSTILE_SHARD_INTAKE_H
#define COLTSFOOTSTILE_SHARD_INTAKE_H

#include <glib.h>

#include "coltsfootstile/shard.h"

/** Reports of one shard; the three arrays run side by side. */
struct ColtShardIntake
{
  GArray *reports;       /**< of struct ColtTaskReport, without results */
  GArray *servers;       /**< of uint32_t */
  GArray *server_epochs; /**< of uint64_t */
};

/** Makes an intake empty and ready. */
void colt_shard_intake_init (struct ColtShardIntake *intake);

/** Frees what an intake holds. */
void colt_shard_intake_clear (struct ColtShardIntake *intake);

/** Forgets every report. */
void colt_shard_intake_empty (struct ColtShardIntake *intake);

/** Takes a server's report in place of any earlier one. */
void colt_shard_intake_replace (struct ColtShardIntake *intake,
                                const struct ColtShardReport *report);

/**
 * Takes one server's reports out; those of others stay.
 *
 * \return array of struct ColtTaskReport, to be freed with g_array_unref()
 */
GArray *colt_shard_intake_steal (struct ColtShardIntake *intake,
                                 uint32_t server);

#endif
