/**
 * \file
 * \brief Batches of changes to the tasks of a stand-in backend server.
 */
#ifndef COLT_STANDIN_SERVER_CHANGES_H
#define COLT_STANDIN_SERVER_CHANGES_H

#include <jansson.h>

#include "server_state.h"

/**
 * Applies the "stops", "resizes" and "starts" of a batch, in this order.
 *
 * \param token  token of the call, which colt_standin_server_authorise() has
 *               accepted
 * \return       a new object with the results in "stops", "resizes" and
 *               "results" (of the starts)
 */
json_t *colt_standin_apply_changes (struct ColtStandinServer *server,
                                    const json_t *changes,
                                    int64_t token,
                                    int64_t now_us);

#endif
