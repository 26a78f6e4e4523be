/**
 * \file
 * \brief Batches of changes to the tasks of a stand-in backend server.
 */
#ifndef COLT_STANDIN_SERVER_CHANGES_H
#define COLT_STANDIN_SERVER_CHANGES_H

#include <jansson.h>

#include "server_state.h"

/**
 * Makes the changes "stops", "resizes" and "starts" of a batch, in this order.
 *
 * \param token  that the holder of the lease has entered with
 * \return       their results
 */
json_t *colt_standin_apply_changes (struct ColtStandinServer *server,
                                    const json_t *changes,
                                    int64_t token,
                                    int64_t now_us);

#endif
