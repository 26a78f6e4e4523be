/**
 * \file
 * \brief The instance list: JSON decoding, copying and comparison.
 */
#ifndef COLT_PLATFORM_LIST_JSON_H
#define COLT_PLATFORM_LIST_JSON_H

#include "coltsfootstile/instance_list.h"
#include "coltsfootstile/json.h"

/** A list and the arrays that it points to. */
struct ColtListStorage
{
  struct ColtInstanceList list;
  struct ColtListEntry *entries;
  struct ColtListServer *servers;
};

/**
 * Decodes a list and sorts it by id.
 *
 * \return the list, to be freed with colt_list_free(); NULL on error, also if
 *         an id appears twice
 */
struct ColtListStorage *
colt_list_json_decode (const struct ColtJsonContext *context,
                       const char *text,
                       size_t size);

/** Copies a list; the copy is to be freed with colt_list_free(). */
struct ColtListStorage *colt_list_copy (const struct ColtInstanceList *list);

/** Frees a list; NULL is allowed. */
void colt_list_free (struct ColtListStorage *storage);

/** Returns whether two lists have the same contents, ignoring versions. */
bool colt_list_equal (const struct ColtInstanceList *a,
                      const struct ColtInstanceList *b);

#endif
