/**
 * \file
 * \brief The instance list: JSON form, copy and comparison.
 */
#ifndef COLT_PLATFORM_LIST_JSON_H
#define COLT_PLATFORM_LIST_JSON_H

#include "coltsfootstile/instance_list.h"
#include "coltsfootstile/json.h"

/** A list with the memory that it points into. */
struct ColtListStorage
{
  struct ColtInstanceList list;
  struct ColtListEntry *entries;
  struct ColtListServer *servers;
};

/** Decodes a list and puts it into the order of ids; returns NULL on error,
 * also if an id stands twice. */
struct ColtListStorage *
colt_list_json_decode (const struct ColtJsonContext *context,
                       const char *text,
                       size_t size);

/** Copies a list. */
struct ColtListStorage *colt_list_copy (const struct ColtInstanceList *list);

/** Frees a list; NULL is allowed. */
void colt_list_free (struct ColtListStorage *storage);

/** Returns whether two lists say the same, whatever their versions. */
bool colt_list_equal (const struct ColtInstanceList *a,
                      const struct ColtInstanceList *b);

#endif
