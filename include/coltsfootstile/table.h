/**
 * \file
 * \brief Tables of entries that are identified by handles.
 *
 * A handle consists of an index and a generation, so that the handle of a
 * removed entry doesn't refer to a later entry at the same index.
 */
#ifndef COLTSFOOTSTILE_TABLE_H
#define COLTSFOOTSTILE_TABLE_H

#include <stddef.h>
#include <stdint.h>

/** A table of entries of one size. */
struct ColtTable;

/** The handle 0, which identifies no entry. */
#define COLT_HANDLE_NONE UINT64_C (0)

/**
 * Creates a table.
 *
 * \param entry_size  size of an entry in bytes, at least 1
 */
struct ColtTable *colt_table_create (size_t entry_size);

/** Frees a table with its entries; NULL is allowed. */
void colt_table_destroy (struct ColtTable *table);

/** Adds an entry of zero bytes and returns its handle. */
uint64_t colt_table_add (struct ColtTable *table);

/**
 * Returns the entry of a handle, or NULL if there is none, as after its
 * removal. The pointer stays valid until the entry is removed.
 */
void *colt_table_get (const struct ColtTable *table, uint64_t handle);

/** Removes an entry; a handle without an entry is allowed. */
void colt_table_remove (struct ColtTable *table, uint64_t handle);

/** Returns the number of entries. */
size_t colt_table_count (const struct ColtTable *table);

/**
 * Returns the handle of the entry after \a handle in the order of the indices,
 * or COLT_HANDLE_NONE after the last entry. COLT_HANDLE_NONE as \a handle
 * returns the first entry. Entries may be removed during the iteration.
 */
uint64_t colt_table_next (const struct ColtTable *table, uint64_t handle);

#endif
