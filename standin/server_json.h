/**
 * \file
 * \brief JSON of the HTTP interface and the records of a backend server.
 *
 * Functions that return JSON return new references.
 */
#ifndef COLT_STANDIN_SERVER_JSON_H
#define COLT_STANDIN_SERVER_JSON_H

#include <jansson.h>

#include "server_state.h"

/** Encodes resources as an object with an amount for each resource. */
json_t *colt_standin_encode_resources (const struct ColtResources *resources);

/**
 * Decodes resources. Amounts are clamped to 0 ... 10^12; missing amounts are
 * 0, missing slots 1.
 */
void colt_standin_decode_resources (const json_t *object,
                                    struct ColtResources *resources);

/**
 * Decodes a duration in milliseconds, clamped to 0 ... one day.
 *
 * \return the duration in microseconds, 0 if the key is missing
 */
int64_t colt_standin_decode_us (const json_t *object, const char *key);

/** Adds "task" and "attempt" to an object. */
void colt_standin_encode_ref (json_t *object, const struct ColtTaskRef *ref);

/** Decodes "task" and "attempt"; returns false if one is missing or invalid. */
bool colt_standin_decode_ref (const json_t *object, struct ColtTaskRef *ref);

/**
 * Decodes the start of a task.
 *
 * \param payload  on success, set to the payload to which \a start points, to
 *                 be freed with g_free()
 * \return         false if a member is missing or out of range
 */
bool colt_standin_decode_start (const json_t *object,
                                struct ColtTaskStart *start,
                                uint8_t **payload);

/**
 * Encodes the state of a task at \a now_us.
 *
 * \param result  whether to include the result of a finished task
 */
json_t *colt_standin_encode_task (const struct ColtStandinTask *task,
                                  int64_t now_us,
                                  bool result);

/**
 * Encodes a notice as a record for the history check; \a task and \a reason may
 * be NULL.
 */
json_t *colt_standin_encode_notice (const struct ColtStandinServer *server,
                                    enum ColtStandinNotice notice,
                                    const struct ColtStandinTask *task,
                                    const char *reason);

/**
 * Decodes a server of the configuration file; `usage_lag_us` of \a spec is left
 * unchanged.
 *
 * \param address  set to the listening address, owned by \a object
 * \return         false if a member is missing or out of range
 */
bool colt_standin_decode_spec (const json_t *object,
                               struct ColtStandinServerSpec *spec,
                               const char **address);

#endif
