/**
 * \file
 * \brief JSON bodies of the calls to a backend server and of its answers.
 */
#ifndef COLT_BACKEND_JSON_H
#define COLT_BACKEND_JSON_H

#include "coltsfootstile/backend.h"
#include "coltsfootstile/json.h"

/** Owner of the memory that decoded answers point into. */
struct ColtBackendDecoder;

/** Creates a decoder; \a peer is the server's address in errors. */
struct ColtBackendDecoder *colt_backend_decoder_create (const char *peer);

/** Frees a decoder and the answers decoded with it; NULL is allowed. */
void colt_backend_decoder_destroy (struct ColtBackendDecoder *decoder);

/* Each function decodes one whole body of \a size bytes, and returns false with
 * COLT_ERROR_INVALID and COLT_STEP_DECODE if the body is malformed. */

/** Decodes the answer to describe(). */
bool colt_backend_decode_description (struct ColtBackendDecoder *decoder,
                                      const char *text,
                                      size_t size,
                                      struct ColtBackendDescription *out,
                                      struct ColtError *error);

/** Decodes the answer to acquire(), renew() or release(). */
bool colt_backend_decode_lease (struct ColtBackendDecoder *decoder,
                                const char *text,
                                size_t size,
                                struct ColtBackendLease *out,
                                struct ColtError *error);

/** Decodes the answer to inventory(). */
bool colt_backend_decode_inventory (struct ColtBackendDecoder *decoder,
                                    const char *text,
                                    size_t size,
                                    struct ColtBackendInventory *out,
                                    struct ColtError *error);

/** Decodes the answer to a change() that started \a refs, in this order. */
bool colt_backend_decode_change_answer (struct ColtBackendDecoder *decoder,
                                        const char *text,
                                        size_t size,
                                        const struct ColtTaskRef *refs,
                                        size_t ref_count,
                                        struct ColtBackendChangeAnswer *out,
                                        struct ColtError *error);

/** Decodes the answer to events(); all sequence numbers must be above
 * \a after. */
bool colt_backend_decode_events (struct ColtBackendDecoder *decoder,
                                 const char *text,
                                 size_t size,
                                 uint64_t after,
                                 struct ColtBackendEvents *out,
                                 struct ColtError *error);

/** Decodes the answer to a fetch() of \a ref. */
bool colt_backend_decode_task (struct ColtBackendDecoder *decoder,
                               const char *text,
                               size_t size,
                               const struct ColtTaskRef *ref,
                               struct ColtTaskReport *out,
                               struct ColtError *error);

/** Decodes the answer to a call that was fenced. */
bool colt_backend_decode_fence (struct ColtBackendDecoder *decoder,
                                const char *text,
                                size_t size,
                                struct ColtBackendFence *out,
                                struct ColtError *error);

/* Each function returns a JSON text to be freed with free(). */

/** Encodes acquire() (\a token is NULL), renew() or release() (\a release is
 * true). */
char *colt_backend_encode_lease (uint32_t owner,
                                 uint64_t epoch,
                                 const char *token,
                                 int64_t lease_ms,
                                 bool release);

/** Encodes change(). */
char *colt_backend_encode_change (const struct ColtBackendChange *change);

#endif
