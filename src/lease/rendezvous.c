#include "coltsfootstile/rendezvous.h"

#include <assert.h>
#include <xxhash.h>

static uint64_t compute_weight_ (uint64_t key, uint32_t member);

uint64_t
colt_rendezvous_key (enum ColtRendezvousKind kind, uint32_t number)
{
  return (uint64_t)kind << 32 | number;
}

uint32_t
colt_rendezvous_choose (uint64_t key, const uint32_t *members, size_t count)
{
  uint32_t best = 0;
  uint64_t best_weight = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      uint64_t weight = compute_weight_ (key, members[i]);

      assert (members[i] > 0);
      if (best == 0 || weight > best_weight
          || (weight == best_weight && members[i] > best))
        {
          best = members[i];
          best_weight = weight;
        }
    }
  return best;
}

static uint64_t
compute_weight_ (uint64_t key, uint32_t member)
{
  uint64_t words[2] = { key, member };

  return XXH3_64bits (words, sizeof words);
}
