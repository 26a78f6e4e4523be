#include <sodium.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "gate_private.h"

/* Maximum number of minted ids that are kept. An older id is treated as one
 * that may have been used before. */
#define MINTED_MAX 8192u

struct ColtId
colt_gate_mint_id (struct ColtGate *gate)
{
  uint8_t random[10];

  randombytes_buf (random, sizeof random);
  return colt_id_mint (gate->parts.zone,
                       (uint32_t)(colt_clock_wall_us () / COLT_US_PER_S),
                       random);
}

void
colt_gate_add_minted_id (struct ColtGate *gate, const struct ColtId *id)
{
  struct ColtId *copy = g_memdup2 (id, sizeof *id);

  g_hash_table_add (gate->minted, copy);
  g_queue_push_tail (&gate->minted_order, copy);
  while (g_queue_get_length (&gate->minted_order) > MINTED_MAX)
    {
      struct ColtId *oldest = g_queue_pop_head (&gate->minted_order);

      g_hash_table_remove (gate->minted, oldest);
      g_free (oldest);
    }
}

bool
colt_gate_consume_minted_id (struct ColtGate *gate, const struct ColtId *id)
{
  return g_hash_table_remove (gate->minted, id);
}
