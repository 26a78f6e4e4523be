/* How the progress of jobs is packed into records; private to the files of this
 * package. */
#ifndef COLT_CELL_PROGRESS_H
#define COLT_CELL_PROGRESS_H

#include "cell_private.h"

/* Returns whether a checkpoint fits the records of its job; a task whose
 * checkpoint doesn't starts from an earlier one. */
bool colt_cell_can_store_checkpoint (const struct ColtCell *cell,
                                     const char *checkpoint);
/* Sets how a new job's progress is split over records. */
void colt_cell_split_progress (const struct ColtCell *cell,
                               struct ColtCellJob *job);
/* Returns a part of a job's progress, as it is recorded, and its size in bytes.
 * Only entries of tasks that have changed are packed anew. NULL: the part
 * hasn't changed since it was last packed; the first one is always returned. */
uint8_t *colt_cell_pack_progress (const struct ColtCell *cell,
                                  struct ColtCellJob *job,
                                  uint32_t part,
                                  size_t *size);
/* Packs the parts of a wide job that was loaded, so that only those that change
 * from then on are recorded again. */
void colt_cell_keep_progress (const struct ColtCell *cell,
                              struct ColtCellJob *job);
/* Notes that something has changed that is recorded of a task. */
void colt_cell_mark_entry (const struct ColtCellTask *task);
void colt_cell_free_entries (struct ColtCellJob *job);

#endif
