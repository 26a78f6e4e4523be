/**
 * \file
 * \brief Functions that add the parts of the shard tests.
 */
#ifndef COLTSFOOTSTILE_TEST_SHARD_H
#define COLTSFOOTSTILE_TEST_SHARD_H

/** Adds the tests of struct ColtShardOwner. */
void colt_add_owner_tests (void);
/** Adds the tests that pack and unpack messages. */
void colt_add_message_tests (void);

#endif
