/**
 * \file
 * \brief JSON bodies of the log service.
 */
#ifndef COLT_PLATFORM_LOG_JSON_H
#define COLT_PLATFORM_LOG_JSON_H

#include "coltsfootstile/json.h"
#include "coltsfootstile/log_service.h"

/** A decoded page and the entries that it points to. */
struct ColtLogJsonPage
{
  struct ColtLogPage page;
  struct ColtLogEntry *entries;
};

/** Encodes an append as JSON text, to be freed with free(). */
char *colt_log_json_encode_append (const uint8_t *body, size_t size);

/** Decodes the answer to an append into the append's offset. */
bool colt_log_json_decode_append (const struct ColtJsonContext *context,
                                  const char *text,
                                  size_t size,
                                  uint64_t *offset);

/** Decodes the answer to a read; returns NULL on error. The page is to be freed
 * with colt_log_json_free_page(). */
struct ColtLogJsonPage *
colt_log_json_decode_page (const struct ColtJsonContext *context,
                           const char *text,
                           size_t size);

/** Frees a page; NULL is allowed. */
void colt_log_json_free_page (struct ColtLogJsonPage *page);

#endif
