/**
 * \file
 * \brief Strict decoding of JSON objects.
 *
 * Every function that returns bool returns false, and reports an error with
 * COLT_ERROR_INVALID, COLT_STEP_DECODE, the peer and the member's name, if the
 * member is missing, has the wrong type or is out of range. The value is then
 * undefined.
 */
#ifndef COLTSFOOTSTILE_JSON_H
#define COLTSFOOTSTILE_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** Origin of a JSON text and destination of decoding errors. */
struct ColtJsonContext
{
  const char *peer;        /**< sender, named in errors; may be NULL */
  struct ColtError *error; /**< set on failure; may be NULL */
};

/**
 * Parses a text whose outermost value is an object.
 *
 * \param size  size of \a text in bytes
 * \return the object, to be freed with json_decref(); NULL if the text is
 *         malformed, has a duplicate key or isn't an object
 */
json_t *colt_json_parse (const struct ColtJsonContext *context,
                         const char *text,
                         size_t size);

/** Reads an integer from \a minimum to \a maximum. */
bool colt_json_get_integer (const struct ColtJsonContext *context,
                            const json_t *object,
                            const char *name,
                            int64_t minimum,
                            int64_t maximum,
                            int64_t *value);

/** Reads an integer from \a minimum to UINT32_MAX. */
bool colt_json_get_u32 (const struct ColtJsonContext *context,
                        const json_t *object,
                        const char *name,
                        uint32_t minimum,
                        uint32_t *value);

/** Reads an integer from 0 to INT64_MAX. */
bool colt_json_get_u64 (const struct ColtJsonContext *context,
                        const json_t *object,
                        const char *name,
                        uint64_t *value);

/** Reads a string. \a object keeps ownership of it. */
bool colt_json_get_string (const struct ColtJsonContext *context,
                           const json_t *object,
                           const char *name,
                           const char **value);

/**
 * Copies a string into a buffer.
 *
 * \param size  size of \a buffer in bytes; a string of \a size bytes or more,
 *              without its final zero, is an error
 */
bool colt_json_copy_string (const struct ColtJsonContext *context,
                            const json_t *object,
                            const char *name,
                            char *buffer,
                            size_t size);

/**
 * Reads a string that is one of \a names.
 *
 * \param count  number of names
 * \param index  set to the index of the string in \a names
 */
bool colt_json_get_enum (const struct ColtJsonContext *context,
                         const json_t *object,
                         const char *name,
                         const char *const *names,
                         int count,
                         int *index);

/** Reads an array. \a object keeps ownership of it. */
bool colt_json_get_array (const struct ColtJsonContext *context,
                          const json_t *object,
                          const char *name,
                          const json_t **value);

/** Reads a nested object. \a object keeps ownership of it. */
bool colt_json_get_object (const struct ColtJsonContext *context,
                           const json_t *object,
                           const char *name,
                           const json_t **value);

/**
 * Decodes a base64 string.
 *
 * \param bytes  set to the decoded bytes, to be freed with free()
 * \param size   set to their number
 */
bool colt_json_get_bytes (const struct ColtJsonContext *context,
                          const json_t *object,
                          const char *name,
                          uint8_t **bytes,
                          size_t *size);

/** Encodes bytes as a base64 string; returns a new reference. */
json_t *colt_json_encode_bytes (const uint8_t *bytes, size_t size);

#endif
