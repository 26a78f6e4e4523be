/**
 * \file
 * \brief Tables whose entries are named by small handles.
 *
 * A handle holds an index and a generation, so that one which outlives its
 * entry finds nothing instead of the entry that took its place.
 */
#ifndef COLTSFOOTSTILE_TABLE_H
#define COLTSFOOTSTILE_TABLE_H

#include <stddef.h>
#include <stdint.h>

/** A table of entries of one size. */
struct ColtTable;

/** Names an entry; 0 names none. */
#define COLT_HANDLE_NONE UINT64_C (0)

/**
 * Creates a table.
 *
 * \param entry_size  size of an entry in bytes, at least 1
 */
struct ColtTable *colt_table_create (size_t entry_size);

/** Destroys a table with its entries; NULL is allowed. */
void colt_table_destroy (struct ColtTable *table);

/** Adds an entry of zero bytes and returns its handle. */
uint64_t colt_table_add (struct ColtTable *table);

/**
 * Returns the entry of a handle, or NULL if it has been removed. The pointer
 * stays valid until the entry is removed.
 */
void *colt_table_get (const struct ColtTable *table, uint64_t handle);

/** Removes an entry; a handle that names none is allowed. */
void colt_table_remove (struct ColtTable *table, uint64_t handle);

/** Returns the number of entries. */
size_t colt_table_count (const struct ColtTable *table);

/**
 * Returns the handle of the entry that follows \a handle in the table's own
 * order, or COLT_HANDLE_NONE behind the last. COLT_HANDLE_NONE gives the
 * first. Entries may be removed on the way.
 */
uint64_t colt_table_next (const struct ColtTable *table, uint64_t handle);

#endif
