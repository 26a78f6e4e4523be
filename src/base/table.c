#include "coltsfootstile/table.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define CHUNK_ENTRIES 256u

struct ColtTableSlot
{
  uint32_t generation; /* number of entries that have used the slot */
  uint32_t next_free;  /* index of the next free slot, or UINT32_MAX */
  gboolean used;
};

struct ColtTable
{
  size_t entry_size;
  GArray *slots;       /* of struct ColtTableSlot */
  GPtrArray *chunks;   /* of CHUNK_ENTRIES entries each, which never move */
  uint32_t first_free; /* head of the list of free slots, or UINT32_MAX */
  size_t count;
};

static struct ColtTableSlot *slot_at_ (const struct ColtTable *table,
                                       uint32_t index);
static void *entry_at_ (const struct ColtTable *table, uint32_t index);
static uint32_t allocate_slot_ (struct ColtTable *table);
static uint64_t make_handle_ (const struct ColtTable *table, uint32_t index);

struct ColtTable *
colt_table_create (size_t entry_size)
{
  struct ColtTable *table = g_new0 (struct ColtTable, 1);

  assert (entry_size > 0);
  table->entry_size = entry_size;
  table->slots = g_array_new (FALSE, TRUE, sizeof (struct ColtTableSlot));
  table->chunks = g_ptr_array_new_with_free_func (g_free);
  table->first_free = UINT32_MAX;
  return table;
}

void
colt_table_destroy (struct ColtTable *table)
{
  if (table == NULL)
    return;
  g_array_unref (table->slots);
  g_ptr_array_unref (table->chunks);
  g_free (table);
}

uint64_t
colt_table_add (struct ColtTable *table)
{
  uint32_t index = allocate_slot_ (table);
  struct ColtTableSlot *slot = slot_at_ (table, index);

  slot->used = TRUE;
  slot->generation++;
  table->count++;
  memset (entry_at_ (table, index), 0, table->entry_size);
  return make_handle_ (table, index);
}

void *
colt_table_get (const struct ColtTable *table, uint64_t handle)
{
  uint32_t index = (uint32_t)handle;
  const struct ColtTableSlot *slot;

  if (handle == COLT_HANDLE_NONE || index >= table->slots->len)
    return NULL;
  slot = slot_at_ (table, index);
  if (!slot->used || slot->generation != (uint32_t)(handle >> 32))
    return NULL;
  return entry_at_ (table, index);
}

void
colt_table_remove (struct ColtTable *table, uint64_t handle)
{
  struct ColtTableSlot *slot;

  if (colt_table_get (table, handle) == NULL)
    return;
  slot = slot_at_ (table, (uint32_t)handle);
  slot->used = FALSE;
  slot->next_free = table->first_free;
  table->first_free = (uint32_t)handle;
  table->count--;
}

size_t
colt_table_count (const struct ColtTable *table)
{
  return table->count;
}

uint64_t
colt_table_next (const struct ColtTable *table, uint64_t handle)
{
  uint32_t index = handle == COLT_HANDLE_NONE ? 0 : (uint32_t)handle + 1;

  for (; index < table->slots->len; index++)
    if (slot_at_ (table, index)->used)
      return make_handle_ (table, index);
  return COLT_HANDLE_NONE;
}

static struct ColtTableSlot *
slot_at_ (const struct ColtTable *table, uint32_t index)
{
  return &g_array_index (table->slots, struct ColtTableSlot, index);
}

static void *
entry_at_ (const struct ColtTable *table, uint32_t index)
{
  char *chunk = g_ptr_array_index (table->chunks, index / CHUNK_ENTRIES);

  return chunk + (index % CHUNK_ENTRIES) * table->entry_size;
}

static uint32_t
allocate_slot_ (struct ColtTable *table)
{
  struct ColtTableSlot fresh = { 0, 0, FALSE };
  uint32_t index = table->first_free;

  if (index != UINT32_MAX)
    {
      table->first_free = slot_at_ (table, index)->next_free;
      return index;
    }
  index = table->slots->len;
  g_array_append_val (table->slots, fresh);
  if (index % CHUNK_ENTRIES == 0)
    g_ptr_array_add (table->chunks,
                     g_malloc0 (CHUNK_ENTRIES * table->entry_size));
  return index;
}

static uint64_t
make_handle_ (const struct ColtTable *table, uint32_t index)
{
  return (uint64_t)slot_at_ (table, index)->generation << 32 | index;
}
