/**
 * \file
 * \brief The parts of the tests of shards.
 */
#ifndef COLTSFOOTSTILE_TEST_SHARD_H
#define COLTSFOOTSTILE_TEST_SHARD_H

/** Adds the tests of owners. */
void colt_add_owner_tests (void);
/** Adds the tests of messages. */
void colt_add_message_tests (void);

#endif
