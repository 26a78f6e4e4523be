/**
 * \file
 * \brief Declarations that are shared by the files of the bundle package.
 */
#ifndef BUNDLE_INTERNAL_H
#define BUNDLE_INTERNAL_H

#include <glib.h>

#include "coltsfootstile/bundle.h"

/** Types of sections, in their order in the canonical text. */
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

/** Type of a key's value. */
enum ColtFieldKind
{
  COLT_FIELD_INTEGER,      /**< int64_t in minimum..maximum */
  COLT_FIELD_LIMIT,        /**< int64_t in minimum..maximum, or "none" */
  COLT_FIELD_BOOLEAN,      /**< bool, "yes" or "no" */
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

/** Specification of a key of a section. */
struct ColtField
{
  enum ColtSectionType section;
  const char *key;
  enum ColtFieldKind kind;
  size_t offset;        /**< offset of the value in the section's struct */
  const char *fallback; /**< default value; NULL: the key is required */
  int64_t minimum;
  int64_t maximum;
};

/** Specification of a type of section. */
struct ColtSectionSpec
{
  const char *keyword;
  size_t size; /**< size of its struct, whose first member is the name */
  bool named;  /**< [keyword NAME] instead of [keyword] */
  uint32_t count_max;
};

/** The [bundle] section. */
struct ColtBundleHeader
{
  char name[COLT_NAME_SIZE]; /**< always "" */
  int64_t version;
  struct ColtHash parent;
  GArray *operators; /**< of struct ColtOperatorKey, sorted */
};

/** The [signature] section. */
struct ColtSignatureSection
{
  char name[COLT_NAME_SIZE]; /**< always "" */
  struct ColtSignature signature;
};

struct ColtBundle
{
  struct ColtBundleHeader header;
  GArray *entities[COLT_SECTION_COUNT]; /**< of the named sections */
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

/** Parses a value into \a entity. Returns NULL, or the reason for which the
 * value is invalid, to be freed with g_free(). */
char *colt_field_read (const struct ColtField *field,
                       const char *value,
                       void *entity);

/** Appends the "key = value" lines of a field to \a text. */
void colt_field_write (const struct ColtField *field,
                       const void *entity,
                       GString *text);

/** Appends a section with all its fields to \a text. */
void colt_section_write (enum ColtSectionType type,
                         const void *entity,
                         GString *text);

/** Sets the texts and hashes of a bundle from its entities. */
void colt_bundle_finish (struct ColtBundle *bundle);

/** Computes the hash of a bundle from its header and the hash of its body. */
struct ColtHash colt_bundle_hash_parts (const char *header,
                                        const struct ColtHash *body_hash);

/** Returns the canonical text after the [bundle] section. */
const char *colt_bundle_body (const struct ColtBundle *bundle);

/**
 * Parses the canonical text of a single [bundle] section.
 *
 * \return false if the text is invalid or not canonical; \a header then owns
 *         no memory
 */
bool colt_bundle_header_parse (const char *text,
                               struct ColtBundleHeader *header);

/** Frees the memory that a header owns. */
void colt_bundle_header_clear (struct ColtBundleHeader *header);

/** Returns whether a key is in an array of operator keys. */
bool colt_operators_contain (const GArray *operators,
                             const struct ColtOperatorKey *key);

/** Sorts operator keys in their canonical order. */
void colt_operators_sort (GArray *operators);

/** Adds a problem with its line number to a list; has no effect if the list is
 * full. */
void colt_problems_add (struct ColtProblems *problems,
                        int line,
                        const char *format,
                        ...) __attribute__ ((format (printf, 3, 4)));

/** Sorts problems by line; the order within a line is kept. */
void colt_problems_sort (struct ColtProblems *problems);

/** Hash function of a GHashTable whose keys point to struct ColtHash. */
guint colt_hash_table_hash (gconstpointer hash);
/** Equality function of a GHashTable whose keys point to struct ColtHash. */
gboolean colt_hash_table_equal (gconstpointer a, gconstpointer b);

#endif
