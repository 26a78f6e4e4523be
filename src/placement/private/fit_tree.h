/**
 * \file
 * \brief Servers in a tree that finds one with enough of every resource.
 *
 * Each inner node holds the most of each resource below it, so that whole
 * subtrees are passed over. Adding, removing and updating cost the logarithm
 * of the number of servers.
 */
#ifndef COLTSFOOTSTILE_FIT_TREE_H
#define COLTSFOOTSTILE_FIT_TREE_H

#include <stdint.h>

#include "coltsfootstile/resources.h"

/** A server that is in no tree of a use. */
#define COLT_POSITION_NONE UINT32_MAX
/** Nodes that a bounded search looks at. */
#define COLT_FIT_NODES_MAX 256

/** What a tree orders; a server is in at most one tree of each use. */
enum ColtTreeUse
{
  COLT_TREE_USABLE,   /**< what ordinary work may take */
  COLT_TREE_RESERVE,  /**< what urgent work may take besides */
  COLT_TREE_CAPACITY, /**< what a server has when it is empty */
  COLT_TREE_USE_COUNT /**< number of uses, not a use */
};

struct ColtPlacementServer;

/** A tree. */
struct ColtFitTree;

/** Creates an empty tree. */
struct ColtFitTree *colt_fit_tree_create (enum ColtTreeUse use);

/** Destroys a tree, not its servers; NULL is allowed. */
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

/** Returns the number of servers. */
uint32_t colt_fit_tree_count (const struct ColtFitTree *tree);

/**
 * Returns the first server at or after a position that has the demand, or
 * NULL if there is none or \a nodes nodes were looked at in vain.
 */
struct ColtPlacementServer *
colt_fit_tree_find (const struct ColtFitTree *tree,
                    const struct ColtResources *demand,
                    uint32_t from,
                    int nodes);

#endif
