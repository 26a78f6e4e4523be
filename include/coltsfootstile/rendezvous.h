/**
 * \file
 * \brief Rendezvous hashing: choosing a member without communication.
 *
 * Instances with the same list of members choose the same member for a key. A
 * member that joins or leaves changes the choice only for the keys that it
 * gains or loses.
 */
#ifndef COLTSFOOTSTILE_RENDEZVOUS_H
#define COLTSFOOTSTILE_RENDEZVOUS_H

#include <stddef.h>
#include <stdint.h>

/** Kinds of keys. Equal numbers of different kinds are different keys. */
enum ColtRendezvousKind
{
  COLT_RENDEZVOUS_SERVER = 1, /**< owner of a backend server */
  COLT_RENDEZVOUS_SHARD = 2,  /**< leader of a shard */
  COLT_RENDEZVOUS_ZONE = 3    /**< instance that acts for its zone */
};

/** Returns the key of a kind and a number. */
uint64_t colt_rendezvous_key (enum ColtRendezvousKind kind, uint32_t number);

/**
 * Chooses the member with the highest hash.
 *
 * \param members  instance numbers, in any order, each above 0
 * \param count    number of members
 * \return         a member, or 0 if \a count is 0
 */
uint32_t
colt_rendezvous_choose (uint64_t key, const uint32_t *members, size_t count);

#endif
