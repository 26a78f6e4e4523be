/** Adds the tests of each file of this program. */
#ifndef COLT_TEST_QUOTA_H
#define COLT_TEST_QUOTA_H

void test_fold_add (void);
void test_transfers_add (void);

#endif
