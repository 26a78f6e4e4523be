/**
 * \file
 * \brief Rendezvous hashing: choosing a member without asking the others.
 *
 * Whoever knows the same members chooses the same one, and a member that
 * comes or goes changes the choice only for the keys that it gains or loses.
 */
#ifndef COLTSFOOTSTILE_RENDEZVOUS_H
#define COLTSFOOTSTILE_RENDEZVOUS_H

#include <stddef.h>
#include <stdint.h>

/** Kinds of keys, so that equal numbers of unlike things choose unlike. */
enum ColtRendezvousKind
{
  COLT_RENDEZVOUS_SERVER = 1, /**< owner of a backend server */
  COLT_RENDEZVOUS_SHARD = 2,  /**< lead of a shard */
  COLT_RENDEZVOUS_ZONE = 3    /**< what one instance does for its zone */
};

/** Makes a key of a kind and a number. */
uint64_t colt_rendezvous_key (enum ColtRendezvousKind kind, uint32_t number);

/**
 * Chooses the member with the highest hash.
 *
 * \param members  instance numbers, in any order, each above 0
 * \param count    how many
 * \return         a member, or 0 if there is none
 */
uint32_t
colt_rendezvous_choose (uint64_t key, const uint32_t *members, size_t count);

#endif
