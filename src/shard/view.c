#include "view.h"

#include <xxhash.h>

static gint compare_ (gconstpointer a, gconstpointer b);

void
colt_shard_view_sort (GArray *view)
{
  guint kept = 0;
  guint i;

  g_array_sort (view, compare_);
  for (i = 0; i < view->len; i++)
    {
      uint32_t number = g_array_index (view, uint32_t, i);

      if (kept > 0 && g_array_index (view, uint32_t, kept - 1) == number)
        continue;
      g_array_index (view, uint32_t, kept++) = number;
    }
  g_array_set_size (view, kept);
}

uint64_t
colt_shard_view_hash (const GArray *view)
{
  return XXH3_64bits (view->data, view->len * sizeof (uint32_t)) | 1;
}

static gint
compare_ (gconstpointer a, gconstpointer b)
{
  uint32_t first = *(const uint32_t *)a;
  uint32_t second = *(const uint32_t *)b;

  return first < second ? -1 : first > second;
}
