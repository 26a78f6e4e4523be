/**
 * \file
 * \brief Strict reading of JSON answers.
 *
 * A member that is missing, of the wrong type or out of range is an error with
 * COLT_ERROR_INVALID, the step DECODE, the peer and the member's name.
 */
#ifndef COLTSFOOTSTILE_JSON_H
#define COLTSFOOTSTILE_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** Who sent a text, and where to report what is wrong with it. */
struct ColtJsonContext
{
  const char *peer;        /**< NULL when there is none */
  struct ColtError *error; /**< may be NULL */
};

/** Parses a text whose outermost value is an object; returns NULL on error. */
json_t *colt_json_parse (const struct ColtJsonContext *context,
                         const char *text,
                         size_t size);

/** Reads a whole number within a range. */
bool colt_json_get_integer (const struct ColtJsonContext *context,
                            const json_t *object,
                            const char *name,
                            int64_t minimum,
                            int64_t maximum,
                            int64_t *value);

/** Reads a number that fits into 32 bits. */
bool colt_json_get_u32 (const struct ColtJsonContext *context,
                        const json_t *object,
                        const char *name,
                        uint32_t minimum,
                        uint32_t *value);

/** Reads a number from 0 to INT64_MAX. */
bool colt_json_get_u64 (const struct ColtJsonContext *context,
                        const json_t *object,
                        const char *name,
                        uint64_t *value);

/** Reads a string, which belongs to the object. */
bool colt_json_get_string (const struct ColtJsonContext *context,
                           const json_t *object,
                           const char *name,
                           const char **value);

/** Copies a string of less than \a size bytes. */
bool colt_json_copy_string (const struct ColtJsonContext *context,
                            const json_t *object,
                            const char *name,
                            char *buffer,
                            size_t size);

/** Finds the index of a string in a table of \a count names. */
bool colt_json_get_name (const struct ColtJsonContext *context,
                         const json_t *object,
                         const char *name,
                         const char *const *names,
                         int count,
                         int *index);

/** Reads an array, which belongs to the object. */
bool colt_json_get_array (const struct ColtJsonContext *context,
                          const json_t *object,
                          const char *name,
                          const json_t **value);

/** Reads an object, which belongs to the outer one. */
bool colt_json_get_object (const struct ColtJsonContext *context,
                           const json_t *object,
                           const char *name,
                           const json_t **value);

/** Decodes a base64 string into new memory, to be freed with free(). */
bool colt_json_get_bytes (const struct ColtJsonContext *context,
                          const json_t *object,
                          const char *name,
                          uint8_t **bytes,
                          size_t *size);

/** Makes a base64 string. */
json_t *colt_json_bytes (const uint8_t *bytes, size_t size);

#endif
