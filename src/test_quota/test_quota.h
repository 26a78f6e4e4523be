/** What the files of this program share. */
#ifndef COLT_TEST_QUOTA_H
#define COLT_TEST_QUOTA_H

#include <stdint.h>

struct ColtWorld;

/** Rounds in which everything that was sent arrives and is answered. */
#define ROUNDS 12

/** Adds the tests of a file. */
void test_credits_add (void);
void test_fold_add (void);
void test_transfers_add (void);

/** Creates a settled world in which the first team may run so many tasks. */
struct ColtWorld *test_create (int64_t tasks);

/** Lets n tasks wait in a zone, and starts what gets credits. */
int test_work (struct ColtWorld *world, int zone, int n);

/** Ends n tasks of a zone. */
void test_end (struct ColtWorld *world, int zone, int n);

/** Lets n tasks wait in each zone. */
int test_work_all (struct ColtWorld *world, int n);

#endif
