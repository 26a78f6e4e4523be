/**
 * \file
 * \brief JSON of the backend server's interface and of its records.
 */
#ifndef COLT_STANDIN_SERVER_JSON_H
#define COLT_STANDIN_SERVER_JSON_H

#include <jansson.h>

#include "server_state.h"

/** Encodes resources. */
json_t *colt_standin_encode_resources (const struct ColtResources *resources);

/** Decodes resources; what is left out is 0, but for one slot. */
void colt_standin_decode_resources (const json_t *object,
                                    struct ColtResources *resources);

/** Decodes a duration in milliseconds, 0 to a day; returns microseconds. */
int64_t colt_standin_decode_us (const json_t *object, const char *key);

/** Encodes the name of an attempt into an object. */
void colt_standin_encode_ref (json_t *object, const struct ColtTaskRef *ref);

/** Decodes the name of an attempt; returns false if there is none. */
bool colt_standin_decode_ref (const json_t *object, struct ColtTaskRef *ref);

/**
 * Decodes a start.
 *
 * \param payload  set to the payload that the start refers to, to be freed
 *                 with g_free()
 * \return         false if a part is missing or out of range
 */
bool colt_standin_decode_start (const json_t *object,
                                struct ColtTaskStart *start,
                                uint8_t **payload);

/**
 * Encodes a task as of \a now_us.
 *
 * \param result  whether to add the result of a task that finished
 */
json_t *colt_standin_encode_task (const struct ColtStandinTask *task,
                                  int64_t now_us,
                                  bool result);

/** Encodes a record for the checker. */
json_t *colt_standin_encode_notice (const struct ColtStandinServer *server,
                                    enum ColtStandinNotice notice,
                                    const struct ColtStandinTask *task,
                                    const char *reason);

/** Decodes a server of the file; returns false if a part is missing. */
bool colt_standin_decode_spec (const json_t *object,
                               struct ColtStandinServerSpec *spec,
                               const char **address);

#endif
