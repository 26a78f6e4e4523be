#include "fit_tree.h"

#include <assert.h>
#include <glib.h>

#include "placement_private.h"

#define FIRST_LEAVES 8u

struct ColtFitTree
{
  enum ColtTreeUse use;
  GPtrArray *servers;          /* by position */
  struct ColtResources *nodes; /* root at 1, leaves from `leaves` on */
  uint32_t leaves;
};

struct ColtFitSearch
{
  const struct ColtFitTree *tree;
  const struct ColtResources *demand;
  uint32_t from;
  int nodes_left;
};

static void allocate_ (struct ColtFitTree *tree, uint32_t leaves);
static void grow_ (struct ColtFitTree *tree);
static void set_leaf_ (struct ColtFitTree *tree,
                       uint32_t position,
                       const struct ColtResources *amounts);
static struct ColtPlacementServer *search_ (struct ColtFitSearch *search,
                                            uint32_t node,
                                            uint32_t first,
                                            uint32_t count);

/* Amounts of an unused leaf, into which no demand fits. */
static const struct ColtResources no_amounts = { { -1, -1, -1, -1, -1 } };

struct ColtFitTree *
colt_fit_tree_create (enum ColtTreeUse use)
{
  struct ColtFitTree *tree = g_new0 (struct ColtFitTree, 1);

  tree->use = use;
  tree->servers = g_ptr_array_new ();
  allocate_ (tree, FIRST_LEAVES);
  return tree;
}

void
colt_fit_tree_destroy (struct ColtFitTree *tree)
{
  if (tree == NULL)
    return;
  g_ptr_array_unref (tree->servers);
  g_free (tree->nodes);
  g_free (tree);
}

void
colt_fit_tree_add (struct ColtFitTree *tree,
                   struct ColtPlacementServer *server,
                   const struct ColtResources *amounts)
{
  assert (server->positions[tree->use] == COLT_POSITION_NONE);
  if (tree->servers->len == tree->leaves)
    grow_ (tree);
  server->positions[tree->use] = tree->servers->len;
  g_ptr_array_add (tree->servers, server);
  set_leaf_ (tree, server->positions[tree->use], amounts);
}

void
colt_fit_tree_remove (struct ColtFitTree *tree,
                      struct ColtPlacementServer *server)
{
  uint32_t position = server->positions[tree->use];
  uint32_t last = tree->servers->len - 1;
  struct ColtPlacementServer *moved = g_ptr_array_index (tree->servers, last);

  assert (position < tree->servers->len);
  if (moved != server)
    {
      struct ColtResources amounts = tree->nodes[tree->leaves + last];

      moved->positions[tree->use] = position;
      g_ptr_array_index (tree->servers, position) = moved;
      set_leaf_ (tree, position, &amounts);
    }
  set_leaf_ (tree, last, &no_amounts);
  g_ptr_array_set_size (tree->servers, (int)last);
  server->positions[tree->use] = COLT_POSITION_NONE;
}

void
colt_fit_tree_update (struct ColtFitTree *tree,
                      const struct ColtPlacementServer *server,
                      const struct ColtResources *amounts)
{
  assert (server->positions[tree->use] < tree->servers->len);
  set_leaf_ (tree, server->positions[tree->use], amounts);
}

uint32_t
colt_fit_tree_count (const struct ColtFitTree *tree)
{
  return tree->servers->len;
}

struct ColtPlacementServer *
colt_fit_tree_find (const struct ColtFitTree *tree,
                    const struct ColtResources *demand,
                    uint32_t from,
                    int nodes_max)
{
  struct ColtFitSearch search = { tree, demand, from, nodes_max };

  return search_ (&search, 1, 0, tree->leaves);
}

static void
allocate_ (struct ColtFitTree *tree, uint32_t leaves)
{
  uint32_t i;

  tree->leaves = leaves;
  tree->nodes = g_new (struct ColtResources, (gsize)leaves * 2);
  for (i = 0; i < leaves * 2; i++)
    tree->nodes[i] = no_amounts;
}

static void
grow_ (struct ColtFitTree *tree)
{
  struct ColtResources *old = tree->nodes;
  uint32_t old_leaves = tree->leaves;
  uint32_t i;

  allocate_ (tree, old_leaves * 2);
  for (i = 0; i < old_leaves; i++)
    set_leaf_ (tree, i, &old[old_leaves + i]);
  g_free (old);
}

static void
set_leaf_ (struct ColtFitTree *tree,
           uint32_t position,
           const struct ColtResources *amounts)
{
  uint32_t node = tree->leaves + position;

  tree->nodes[node] = *amounts;
  for (node /= 2; node >= 1; node /= 2)
    {
      tree->nodes[node] = tree->nodes[2 * node];
      colt_resources_raise (&tree->nodes[node], &tree->nodes[2 * node + 1]);
    }
}

static struct ColtPlacementServer *
search_ (struct ColtFitSearch *search,
         uint32_t node,
         uint32_t first,
         uint32_t count)
{
  const struct ColtFitTree *tree = search->tree;
  struct ColtPlacementServer *found;

  if (first + count <= search->from || search->nodes_left <= 0)
    return NULL;
  search->nodes_left--;
  if (!colt_resources_fit (search->demand, &tree->nodes[node]))
    return NULL;
  if (count == 1)
    return g_ptr_array_index (tree->servers, first);
  found = search_ (search, 2 * node, first, count / 2);
  if (found != NULL)
    return found;
  return search_ (search, 2 * node + 1, first + count / 2, count / 2);
}
