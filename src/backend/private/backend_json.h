/**
 * \file
 * \brief JSON bodies of a backend server's calls.
 */
#ifndef COLT_BACKEND_JSON_H
#define COLT_BACKEND_JSON_H

#include "coltsfootstile/backend.h"
#include "coltsfootstile/json.h"

/** Where a decoded answer keeps its memory. */
struct ColtBackendDecoder;

/** Creates a decoder for answers of \a peer. */
struct ColtBackendDecoder *colt_backend_decoder_create (const char *peer);

/** Frees a decoder and what was decoded with it; NULL is allowed. */
void colt_backend_decoder_destroy (struct ColtBackendDecoder *decoder);

/* Each decodes one whole body, and returns false with COLT_ERROR_INVALID and
 * the step DECODE if it is not what it should be. */

/** Decodes the answer to a describe. */
bool colt_backend_decode_description (struct ColtBackendDecoder *decoder,
                                      const char *text,
                                      size_t size,
                                      struct ColtBackendDescription *out,
                                      struct ColtError *error);

/** Decodes the answer to an acquire, renew or release. */
bool colt_backend_decode_lease (struct ColtBackendDecoder *decoder,
                                const char *text,
                                size_t size,
                                struct ColtBackendLease *out,
                                struct ColtError *error);

/** Decodes an inventory. */
bool colt_backend_decode_inventory (struct ColtBackendDecoder *decoder,
                                    const char *text,
                                    size_t size,
                                    struct ColtBackendInventory *out,
                                    struct ColtError *error);

/** Decodes the answer to a change whose starts were \a refs, in order. */
bool colt_backend_decode_changed (struct ColtBackendDecoder *decoder,
                                  const char *text,
                                  size_t size,
                                  const struct ColtTaskRef *refs,
                                  size_t ref_count,
                                  struct ColtBackendChanged *out,
                                  struct ColtError *error);

/** Decodes the answer to a wait for events behind \a after. */
bool colt_backend_decode_events (struct ColtBackendDecoder *decoder,
                                 const char *text,
                                 size_t size,
                                 uint64_t after,
                                 struct ColtBackendEvents *out,
                                 struct ColtError *error);

/** Decodes the answer to a fetch of \a ref. */
bool colt_backend_decode_task (struct ColtBackendDecoder *decoder,
                               const char *text,
                               size_t size,
                               const struct ColtTaskRef *ref,
                               struct ColtTaskReport *out,
                               struct ColtError *error);

/** Decodes the body of a refusal by a fence. */
bool colt_backend_decode_fence (struct ColtBackendDecoder *decoder,
                                const char *text,
                                size_t size,
                                struct ColtBackendFence *out,
                                struct ColtError *error);

/* Each returns a text to be freed with free(). */

/** Encodes an acquire (\a token NULL), renew or release. */
char *colt_backend_encode_lease (uint32_t owner,
                                 uint64_t epoch,
                                 const char *token,
                                 int64_t lease_ms,
                                 bool release);

/** Encodes a change. */
char *colt_backend_encode_change (const struct ColtBackendChange *change);

#endif
