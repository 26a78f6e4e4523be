#include "calls.h"

#include <glib.h>

struct ColtLeaseCalls
{
  GArray *open; /* of struct ColtLeaseCall */
  uint64_t last_number;
};

static const struct ColtLeaseCall *
get_call_ (const struct ColtLeaseCalls *calls, guint index);

struct ColtLeaseCalls *
colt_lease_calls_create (void)
{
  struct ColtLeaseCalls *calls = g_new0 (struct ColtLeaseCalls, 1);

  calls->open = g_array_new (FALSE, TRUE, sizeof (struct ColtLeaseCall));
  return calls;
}

void
colt_lease_calls_destroy (struct ColtLeaseCalls *calls)
{
  g_array_unref (calls->open);
  g_free (calls);
}

uint64_t
colt_lease_calls_add (struct ColtLeaseCalls *calls, struct ColtLeaseCall *call)
{
  call->number = ++calls->last_number;
  g_array_append_val (calls->open, *call);
  return call->number;
}

bool
colt_lease_calls_remove (struct ColtLeaseCalls *calls,
                         uint64_t number,
                         struct ColtLeaseCall *call)
{
  guint i;

  for (i = 0; i < calls->open->len; i++)
    if (get_call_ (calls, i)->number == number)
      {
        *call = *get_call_ (calls, i);
        g_array_remove_index_fast (calls->open, i);
        return true;
      }
  return false;
}

size_t
colt_lease_calls_count (const struct ColtLeaseCalls *calls,
                        enum ColtLeaseCallKind kind)
{
  size_t count = 0;
  guint i;

  for (i = 0; i < calls->open->len; i++)
    if (get_call_ (calls, i)->kind == kind)
      count++;
  return count;
}

size_t
colt_lease_calls_count_changes (const struct ColtLeaseCalls *calls)
{
  size_t count = 0;
  guint i;

  for (i = 0; i < calls->open->len; i++)
    {
      const struct ColtLeaseCall *call = get_call_ (calls, i);

      if (call->kind == COLT_LEASE_CALL_CLIENT && call->echoes_token)
        count++;
    }
  return count;
}

void
colt_lease_calls_clear (struct ColtLeaseCalls *calls)
{
  g_array_set_size (calls->open, 0);
}

static const struct ColtLeaseCall *
get_call_ (const struct ColtLeaseCalls *calls, guint index)
{
  return &g_array_index (calls->open, struct ColtLeaseCall, index);
}
