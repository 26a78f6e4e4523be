/**
 * \file
 * \brief Bundles, operators and records for the tests of the bundle slice.
 */
#ifndef TEST_BUNDLE_H
#define TEST_BUNDLE_H

#include <glib.h>

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/bundle_chain.h"
#include "coltsfootstile/bundle_sign.h"

/** The sections behind [bundle]: teams quotes and renders, two zones. */
extern const char test_body[];

/** Returns the pair of an operator made from a seed. */
struct ColtOperatorPair test_operator (uint8_t seed);

/** Returns the text of a version signed by nobody; freed with g_free(). */
char *test_text (int64_t version,
                 const struct ColtHash *parent,
                 const struct ColtOperatorPair *operators,
                 size_t count,
                 const char *body);

/** Returns the version that follows \a parent (NULL: the first), with a limit
 * of \a limit tasks for one team, which tells versions apart. */
struct ColtBundle *test_next (const struct ColtBundle *parent,
                              const struct ColtOperatorPair *operators,
                              size_t count,
                              int limit);

/** Takes a signed bundle at an offset and returns the status. */
enum ColtChainStatus test_take (struct ColtChain *chain,
                                uint64_t offset,
                                const struct ColtBundle *bundle,
                                const struct ColtBundle *delta_parent,
                                const struct ColtOperatorPair *signer,
                                struct ColtChainVerdict *verdict);

/** Takes a record at an offset, frees its body and returns the status. */
enum ColtChainStatus test_take_body (struct ColtChain *chain,
                                     uint64_t offset,
                                     enum ColtRecordKind kind,
                                     uint8_t *body,
                                     size_t size);

void test_add_parse (void);
void test_add_chain (void);
void test_add_snapshot (void);
void test_add_keyring (void);
void test_add_freshness (void);
void test_add_peers (void);

#endif
