/**
 * \file
 * \brief Bundles as bodies of records: whole, or as a delta to the parent.
 */
#ifndef BUNDLE_RECORD_H
#define BUNDLE_RECORD_H

#include "bundle.pb-c.h"
#include "bundle_internal.h"

/** What is signed of a bundle: enough to place it in the chain. */
struct ColtBundleLink
{
  struct ColtBundleHeader header;
  char *header_text;
  struct ColtHash body_hash;
  struct ColtHash hash;
  struct ColtSignature signature;
};

/**
 * Reads a link and verifies its signature.
 *
 * \return COLT_CHAIN_ACCEPTED, or COLT_CHAIN_MALFORMED or COLT_CHAIN_UNSIGNED
 *         with the reason; the link then needs no clean-up
 */
int colt_link_read (struct ColtBundleLink *link,
                    const Colt__BundleLink *message,
                    struct ColtError *error);

/** Frees what a link owns. */
void colt_link_clear (struct ColtBundleLink *link);

/** Copies a link. */
void colt_link_copy (struct ColtBundleLink *to,
                     const struct ColtBundleLink *from);

/** Fills a message that borrows the link's memory. */
void colt_link_write (const struct ColtBundleLink *link,
                      Colt__BundleLink *message);

/**
 * Builds the bundle of a link from the text behind the header.
 *
 * \return NULL with the reason if it is wrong or has another hash
 */
struct ColtBundle *colt_link_build (const struct ColtBundleLink *link,
                                    const char *body,
                                    struct ColtError *error);

/** Applies a delta to \a parent; the result is freed with g_free(). */
char *colt_delta_apply (const struct ColtBundle *parent,
                        const Colt__BundleDelta *delta);

/** Copies bytes of a fixed size; returns false if the size is another. */
bool
colt_bytes_read (const ProtobufCBinaryData *bytes, uint8_t *to, size_t size);

#endif
