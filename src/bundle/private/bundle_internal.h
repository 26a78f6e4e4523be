/**
 * \file
 * \brief What the files of the bundle slice share.
 */
#ifndef BUNDLE_INTERNAL_H
#define BUNDLE_INTERNAL_H

#include <glib.h>

#include "coltsfootstile/bundle.h"

/** Types of sections, in the order of the canonical text. */
enum ColtSectionType
{
  COLT_SECTION_BUNDLE,
  COLT_SECTION_ORGANISATION,
  COLT_SECTION_TEAM,
  COLT_SECTION_KEY,
  COLT_SECTION_QUEUE,
  COLT_SECTION_WORK,
  COLT_SECTION_ZONE,
  COLT_SECTION_SIGNATURE,
  COLT_SECTION_COUNT
};

/** How the value of a key is read. */
enum ColtFieldKind
{
  COLT_FIELD_INTEGER,      /**< int64_t in minimum..maximum */
  COLT_FIELD_LIMIT,        /**< the same, or "none" */
  COLT_FIELD_BOOLEAN,      /**< bool, yes or no */
  COLT_FIELD_NAME,         /**< char[COLT_NAME_SIZE] */
  COLT_FIELD_TITLE,        /**< char[COLT_BUNDLE_TITLE_SIZE] */
  COLT_FIELD_ORGANISATION, /**< struct ColtBundleRef */
  COLT_FIELD_TEAM,         /**< struct ColtBundleRef */
  COLT_FIELD_POLICY,       /**< enum ColtWorkPolicy */
  COLT_FIELD_HASH,         /**< struct ColtHash */
  COLT_FIELD_PARENT,       /**< struct ColtHash, or "none" */
  COLT_FIELD_OPERATORS,    /**< GArray of struct ColtOperatorKey, repeated */
  COLT_FIELD_SIGNATURE     /**< COLT_SIGNATURE_SIZE bytes */
};

/** A key of a section. */
struct ColtField
{
  enum ColtSectionType section;
  const char *key;
  enum ColtFieldKind kind;
  size_t offset;        /**< of the value in the section's struct */
  const char *fallback; /**< NULL: required */
  int64_t minimum;
  int64_t maximum;
};

/** A type of section. */
struct ColtSectionSpec
{
  const char *word;
  size_t size; /**< of its struct; the name comes first in it */
  bool named;  /**< [word NAME] instead of [word] */
  uint32_t count_max;
};

/** The [bundle] section. */
struct ColtBundleHeader
{
  char name[COLT_NAME_SIZE]; /**< "" */
  int64_t version;
  struct ColtHash parent;
  GArray *operators; /**< of struct ColtOperatorKey, sorted */
};

/** The [signature] section. */
struct ColtBundleSeal
{
  char name[COLT_NAME_SIZE]; /**< "" */
  struct ColtSignature signature;
};

struct ColtBundle
{
  struct ColtBundleHeader header;
  GArray *entities[COLT_SECTION_COUNT]; /**< of those with a name */
  bool has_signature;
  struct ColtSignature signature;
  char *header_text;
  char *text;
  struct ColtHash body_hash;
  struct ColtHash hash;
};

extern const struct ColtField colt_bundle_fields[];
extern const size_t colt_bundle_field_count;
extern const struct ColtSectionSpec colt_bundle_sections[];

/** Reads a value into \a entity; returns the reason why not, or NULL. */
char *colt_field_read (const struct ColtField *field,
                       const char *value,
                       void *entity);

/** Appends "key = value" lines of a field. */
void colt_field_write (const struct ColtField *field,
                       const void *entity,
                       GString *text);

/** Appends a section with all its fields. */
void colt_section_write (enum ColtSectionType type,
                         const void *entity,
                         GString *text);

/** Fills the texts and hashes of a bundle whose entities are there. */
void colt_bundle_finish (struct ColtBundle *bundle);

/** Hash that names a bundle. */
struct ColtHash colt_bundle_hash_parts (const char *header,
                                        const struct ColtHash *body_hash);

/** Returns the text behind the header. */
const char *colt_bundle_body (const struct ColtBundle *bundle);

/**
 * Reads the canonical text of a [bundle] section alone.
 *
 * \return false if it is wrong or not canonical; \a header then needs no
 * clean-up
 */
bool colt_bundle_header_parse (const char *text,
                               struct ColtBundleHeader *header);

/** Frees what a header owns. */
void colt_bundle_header_clear (struct ColtBundleHeader *header);

/** Returns whether a key is among operators. */
bool colt_operators_have (const GArray *operators,
                          const struct ColtOperatorKey *key);

/** Sorts operator keys. */
void colt_operators_sort (GArray *operators);

/** Adds a problem. */
void colt_problems_add (struct ColtProblems *problems,
                        int line,
                        const char *format,
                        ...) __attribute__ ((format (printf, 3, 4)));

/** Sorts problems by line, keeping the order within a line. */
void colt_problems_sort (struct ColtProblems *problems);

/** For a GHashTable whose keys point at struct ColtHash. */
guint colt_hash_table_hash (gconstpointer hash);
/** For a GHashTable whose keys point at struct ColtHash. */
gboolean colt_hash_table_equal (gconstpointer a, gconstpointer b);

#endif
