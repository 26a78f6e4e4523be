/* Past use of organisations in the order of waiting work; private to the files
 * of this package. */
#ifndef COLT_CELL_USAGE_H
#define COLT_CELL_USAGE_H

#include "cell_private.h"
#include "coltsfootstile/usage_ledger.h"

/* First letter of the keys of the records of past use. */
#define USAGE_KEY 'u'

/* An organisation's past use. */
struct ColtCellUse
{
  uint32_t account;    /* in the ledger */
  uint64_t pass;       /* latest pass in which it had an open step */
  double excess;       /* in that pass */
  int64_t handicap_us; /* of its jobs in that pass */
};

/* Past use of all organisations. */
struct ColtCellUsage
{
  struct ColtUsageLedger *ledger;
  int64_t half_life_us;
  int64_t wait_max_us;
  struct ColtResources fleet; /* room of all listed servers */
  double weight_sum;          /* of the configured organisations */
  double weight_mean;         /* counts for one without a weight */
  int64_t totals_us;          /* when these were determined; 0: never */
  uint64_t pass;              /* number of passes */
  GPtrArray *waiting;    /* struct ColtCellOrganisation with open steps in the
                            pass */
  double least;          /* excess of those */
  bool changed;          /* runs started or ended since the latest record */
  uint32_t runs;         /* that are counted now */
  bool due;              /* the next batch includes a record */
  int64_t due_us;        /* when that was decided; 0: never */
  uint32_t stored_parts; /* the log may have records of so many */
  uint32_t recorded;     /* organisations in the latest record */
  int64_t age_ms;        /* of the loaded record by the time of day */
};

/* How an organisation stands. */
struct ColtCellStanding
{
  const struct ColtCellOrganisation *organisation;
  double share;        /* see colt_usage_ledger_share() */
  double part;         /* of the fleet, by its weight */
  double excess;       /* see colt_usage_excess() */
  int64_t handicap_us; /* relative to the organisations of the latest pass */
};

/* Returns NULL if the limits have no half-life: past use doesn't count. */
struct ColtCellUsage *
colt_cell_create_usage (const struct ColtCellLimits *limits);
void colt_cell_destroy_usage (struct ColtCellUsage *usage);
/* Adds a new organisation's account. */
void colt_cell_open_account (struct ColtCell *cell,
                             struct ColtCellOrganisation *organisation);
void colt_cell_count_use (struct ColtCell *cell,
                          const struct ColtCellRun *run,
                          int64_t now_us);
void colt_cell_end_use (struct ColtCell *cell,
                        const struct ColtCellRun *run,
                        int64_t now_us);
/* Sets the handicaps of the organisations that have open steps. */
void colt_cell_set_handicaps (struct ColtCell *cell);
/* Decides whether the next batch includes a record of past use, and logs who
 * has a handicap. */
void colt_cell_tick_usage (struct ColtCell *cell, int64_t now_us);
bool colt_cell_is_usage_due (const struct ColtCell *cell);
void colt_cell_add_usage_records (struct ColtCell *cell,
                                  GArray *records,
                                  int64_t wall_ms);
/* Returns false if the record is malformed. */
bool colt_cell_load_usage (struct ColtCell *cell,
                           const char *key,
                           const uint8_t *value,
                           size_t size,
                           int64_t now_us,
                           int64_t wall_ms);
/* Logs whether past use was loaded. */
void colt_cell_log_loaded_usage (struct ColtCell *cell);
/* Returns struct ColtCellStanding of all organisations, the largest excess
 * first. NULL: past use doesn't count. */
GArray *colt_cell_list_standings (const struct ColtCell *cell);

#endif
