/**
 * \file
 * \brief JSON bodies of the log service.
 */
#ifndef COLT_PLATFORM_LOG_JSON_H
#define COLT_PLATFORM_LOG_JSON_H

#include "coltsfootstile/json.h"
#include "coltsfootstile/log_service.h"

/** A decoded page with the memory that it points into. */
struct ColtLogJsonPage
{
  struct ColtLogPage page;
  struct ColtLogEntry *entries;
};

/** Encodes an append; the text is to be freed with free(). */
char *colt_log_json_encode_append (const uint8_t *body, size_t size);

/** Decodes the answer to an append. */
bool colt_log_json_decode_append (const struct ColtJsonContext *context,
                                  const char *text,
                                  size_t size,
                                  uint64_t *offset);

/** Decodes the answer to a read; returns NULL on error. */
struct ColtLogJsonPage *
colt_log_json_decode_page (const struct ColtJsonContext *context,
                           const char *text,
                           size_t size);

/** Frees a page; NULL is allowed. */
void colt_log_json_free_page (struct ColtLogJsonPage *page);

#endif
