/**
 * \file
 * \brief Tree of servers that finds one with enough of every resource.
 *
 * Each inner node holds the maximum of each resource below it, so that a search
 * skips whole subtrees. Adding, removing and updating a server take time
 * logarithmic in the number of servers.
 */
#ifndef COLTSFOOTSTILE_FIT_TREE_H
#define COLTSFOOTSTILE_FIT_TREE_H

#include <stdint.h>

#include "coltsfootstile/resources.h"

/** Position, in the trees of a use, of a server that is in none of them. */
#define COLT_POSITION_NONE UINT32_MAX
/** Most nodes that a bounded search visits. */
#define COLT_FIT_NODES_MAX 256

/** Amounts that a tree indexes. A server is in at most one tree of each use. */
enum ColtTreeUse
{
  COLT_TREE_USABLE,   /**< free for ordinary work */
  COLT_TREE_RESERVE,  /**< free including the reserve for urgent work */
  COLT_TREE_CAPACITY, /**< total amounts of a server */
  COLT_TREE_USE_COUNT /**< number of uses, not a use */
};

struct ColtPlacementServer;

/** Tree of servers, which are not owned. */
struct ColtFitTree;

/** Creates an empty tree. */
struct ColtFitTree *colt_fit_tree_create (enum ColtTreeUse use);

/** Destroys a tree but not its servers; NULL is allowed. */
void colt_fit_tree_destroy (struct ColtFitTree *tree);

/** Adds a server that is in no tree of this use. */
void colt_fit_tree_add (struct ColtFitTree *tree,
                        struct ColtPlacementServer *server,
                        const struct ColtResources *amounts);

/** Removes a server of this tree. */
void colt_fit_tree_remove (struct ColtFitTree *tree,
                           struct ColtPlacementServer *server);

/** Changes the amounts of a server of this tree. */
void colt_fit_tree_update (struct ColtFitTree *tree,
                           const struct ColtPlacementServer *server,
                           const struct ColtResources *amounts);

/** Returns the number of servers in a tree. */
uint32_t colt_fit_tree_count (const struct ColtFitTree *tree);

/**
 * Returns the first server at or after a position whose amounts hold a demand.
 *
 * \param from       position to start from
 * \param nodes_max  most nodes to visit
 * \return NULL if there is none, or none among the visited nodes
 */
struct ColtPlacementServer *
colt_fit_tree_find (const struct ColtFitTree *tree,
                    const struct ColtResources *demand,
                    uint32_t from,
                    int nodes_max);

#endif
