/**
 * \file
 * \brief Helpers of the bundle tests: operators, bundles and records.
 */
#ifndef TEST_BUNDLE_H
#define TEST_BUNDLE_H

#include <glib.h>

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/bundle_chain.h"
#include "coltsfootstile/bundle_sign.h"

/** The sections of a valid bundle after [bundle]. They declare the teams
 * "quotes" and "renders" and two zones. */
extern const char bundle_body[];

/** Derives an operator's key pair from a seed. */
struct ColtOperatorPair make_operator (uint8_t seed);

/**
 * Returns the unsigned text of a bundle, to be freed with g_free().
 *
 * \param parent     hash of the parent version; NULL: none
 * \param operators  operators that may sign the next version
 * \param count      number of operators
 * \param body       text of the sections after [bundle]
 */
char *make_bundle_text (int64_t version,
                        const struct ColtHash *parent,
                        const struct ColtOperatorPair *operators,
                        size_t count,
                        const char *body);

/**
 * Returns a bundle with #bundle_body and a further team "extra", to be freed
 * with colt_bundle_destroy().
 *
 * \param parent     preceding version; NULL creates version 1
 * \param operators  operators that may sign the next version
 * \param count      number of operators
 * \param limit      task limit of the team "extra"; distinguishes versions that
 *                   are otherwise equal
 */
struct ColtBundle *make_next_bundle (const struct ColtBundle *parent,
                                     const struct ColtOperatorPair *operators,
                                     size_t count,
                                     int limit);

/**
 * Signs a bundle, applies it as the record at an offset and advances the chain
 * to the next offset.
 *
 * \param delta_parent  version to encode a delta to; NULL encodes the whole
 *                      bundle
 * \param verdict       set to the outcome
 * \return the status of the outcome
 */
enum ColtChainStatus apply_bundle (struct ColtChain *chain,
                                   uint64_t offset,
                                   const struct ColtBundle *bundle,
                                   const struct ColtBundle *delta_parent,
                                   const struct ColtOperatorPair *signer,
                                   struct ColtChainVerdict *verdict);

/**
 * Applies a record at an offset and advances the chain to the next offset.
 *
 * \param body  body of the record; the function frees it with free()
 * \param size  size of \a body in bytes
 * \return the status of the outcome
 */
enum ColtChainStatus apply_record (struct ColtChain *chain,
                                   uint64_t offset,
                                   enum ColtRecordKind kind,
                                   uint8_t *body,
                                   size_t size);

/** \name Registration of the tests with GLib */
/**@{*/
void add_parse_tests (void);
void add_chain_tests (void);
void add_snapshot_tests (void);
void add_keyring_tests (void);
void add_freshness_tests (void);
void add_peers_tests (void);
/**@}*/

#endif
