/**
 * \file
 * \brief Bundles as bodies of records: complete, or as a delta to the parent.
 */
#ifndef BUNDLE_RECORD_H
#define BUNDLE_RECORD_H

#include "bundle.pb-c.h"
#include "bundle_internal.h"

/** Signed part of a bundle, which is sufficient to place it in the chain. */
struct ColtBundleLink
{
  struct ColtBundleHeader header;
  char *header_text;
  struct ColtHash body_hash;
  struct ColtHash hash;
  struct ColtSignature signature;
};

/**
 * Decodes a link and verifies its signature.
 *
 * \return COLT_CHAIN_ACCEPTED; otherwise COLT_CHAIN_MALFORMED or
 *         COLT_CHAIN_UNSIGNED with \a error set, and the link needs no
 *         colt_link_clear()
 */
int colt_link_read (struct ColtBundleLink *link,
                    const Colt__BundleLink *message,
                    struct ColtError *error);

/** Frees the memory that a link owns. */
void colt_link_clear (struct ColtBundleLink *link);

/** Initialises \a to with a copy of a link. */
void colt_link_copy (struct ColtBundleLink *to,
                     const struct ColtBundleLink *from);

/** Fills a message with pointers to the link's memory. */
void colt_link_write (const struct ColtBundleLink *link,
                      Colt__BundleLink *message);

/**
 * Builds the bundle of a link.
 *
 * \param body  text after the header
 * \return the bundle; NULL with \a error set if the text is invalid or the
 *         bundle's hash differs from that of the link
 */
struct ColtBundle *colt_link_build_bundle (const struct ColtBundleLink *link,
                                           const char *body,
                                           struct ColtError *error);

/** Applies a delta to \a parent. Returns the new text after the header, to be
 * freed with g_free(). */
char *colt_delta_apply (const struct ColtBundle *parent,
                        const Colt__BundleDelta *delta);

/** Copies \a size bytes; returns false if \a bytes has another size. */
bool
colt_bytes_copy (const ProtobufCBinaryData *bytes, uint8_t *to, size_t size);

#endif
