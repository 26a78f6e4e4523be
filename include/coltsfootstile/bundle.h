/**
 * \file
 * \brief Bundles: what operators declare of teams, keys, limits and work.
 *
 * A bundle is INI text. It is read as a whole: either every line is right and
 * the result is a struct ColtBundle that never changes, or all problems are
 * reported with their lines and there is no result. The canonical text has
 * its sections and keys in a fixed order; its hash names the version.
 *
 * Entities of one type are numbered from 0 in the order of their names (zones
 * by number, work by kind). The numbers hold for this one bundle only.
 */
#ifndef COLTSFOOTSTILE_BUNDLE_H
#define COLTSFOOTSTILE_BUNDLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"
#include "coltsfootstile/task.h"

/** Most teams in a bundle. */
#define COLT_BUNDLE_TEAMS_MAX 512u
/** Most organisations in a bundle. */
#define COLT_BUNDLE_ORGANISATIONS_MAX 256u
/** Most keys in a bundle. */
#define COLT_BUNDLE_KEYS_MAX 2048u
/** Most queues in a bundle. */
#define COLT_BUNDLE_QUEUES_MAX 2048u
/** Most zones in a bundle. */
#define COLT_BUNDLE_ZONES_MAX COLT_ZONE_MAX
/** Most operator keys in a bundle. */
#define COLT_BUNDLE_OPERATORS_MAX 16u
/** Largest bundle text in bytes; a snapshot must fit into a log record. */
#define COLT_BUNDLE_TEXT_MAX (384u * 1024)
/** Size of an organisation's title in bytes, with the final zero. */
#define COLT_BUNDLE_TITLE_SIZE 96

/** Size of a hash (BLAKE2b-256) in bytes. */
#define COLT_HASH_SIZE 32
/** Size of a hash's hexadecimal text, with the final zero. */
#define COLT_HASH_TEXT_SIZE 65
/** Size of an Ed25519 public key in bytes. */
#define COLT_OPERATOR_KEY_SIZE 32
/** Size of an Ed25519 secret key in bytes. */
#define COLT_OPERATOR_SECRET_SIZE 64
/** Size of an Ed25519 signature in bytes. */
#define COLT_SIGNATURE_SIZE 64

/** A limit that the bundle does not set. */
#define COLT_BUNDLE_NO_LIMIT INT64_C (-1)
/** A number that names no entity. */
#define COLT_BUNDLE_NO_INDEX UINT32_MAX

/** A BLAKE2b-256 hash; all zero bytes stand for "none". */
struct ColtHash
{
  uint8_t bytes[COLT_HASH_SIZE];
};

/** An operator's Ed25519 public key. */
struct ColtOperatorKey
{
  uint8_t bytes[COLT_OPERATOR_KEY_SIZE];
};

/** Who signed, and the signature. */
struct ColtSignature
{
  struct ColtOperatorKey operator_key;
  uint8_t bytes[COLT_SIGNATURE_SIZE];
};

/** How backend servers are chosen for a kind of work. */
enum ColtWorkPolicy
{
  COLT_POLICY_PACK,    /**< fills servers, leaves room for large tasks */
  COLT_POLICY_SPREAD,  /**< one after the other over racks */
  COLT_POLICY_BALANCE, /**< the least loaded server */
  COLT_POLICY_FASTEST, /**< the server with the earliest expected end */
  COLT_POLICY_COUNT    /**< number of policies, not a policy */
};

/** Names of enum ColtWorkPolicy, indexed by it. */
extern const char *const colt_work_policy_string[];

/** Another entity of the same bundle. */
struct ColtBundleRef
{
  char name[COLT_NAME_SIZE];
  uint32_t index;
};

/** An organisation. */
struct ColtBundleOrganisation
{
  char name[COLT_NAME_SIZE];
  char title[COLT_BUNDLE_TITLE_SIZE];
};

/** A team. */
struct ColtBundleTeam
{
  char name[COLT_NAME_SIZE];
  struct ColtBundleRef organisation;
  int64_t weight;             /**< share of a full fleet, 1 to 1000000 */
  int64_t limit_tasks;        /**< upper limit over the whole fleet */
  int64_t limit_cores_milli;  /**< thousandths, or COLT_BUNDLE_NO_LIMIT */
  int64_t limit_accelerators; /**< or COLT_BUNDLE_NO_LIMIT */
  int64_t retries_per_minute; /**< retry budget of the team */
};

/** A caller's key, by the hash of its secret. */
struct ColtBundleKey
{
  char name[COLT_NAME_SIZE];
  struct ColtBundleRef team;
  struct ColtHash hash;
};

/** A queue. */
struct ColtBundleQueue
{
  char name[COLT_NAME_SIZE];
  struct ColtBundleRef team; /**< whose key it needs; open work counts for it */
  bool open;                 /**< takes work without a key */
  int64_t max_waiting;       /**< requests that may wait in a zone */
};

/** How a kind of work is treated. */
struct ColtBundleWork
{
  char name[COLT_NAME_SIZE]; /**< as in colt_work_kind_string */
  enum ColtWorkPolicy policy;
  int64_t deadline_ms;  /**< when the caller gives none; 0: none */
  int64_t priority;     /**< 0 to 9, higher goes first */
  int64_t max_attempts; /**< of idempotent work, 1 to 10 */
  bool checkpoint;      /**< a task is checkpointed when it is stopped */
};

/** An availability zone. */
struct ColtBundleZone
{
  char name[COLT_NAME_SIZE]; /**< its number as text */
  char region[COLT_NAME_SIZE];
  uint32_t number; /**< 1 to COLT_ZONE_MAX */
};

/** A line of a bundle that is wrong. */
struct ColtProblem
{
  int line;         /**< from 1, for a section that of its first key; 0 when no
                         single line is at fault */
  char reason[224]; /**< one line of plain English */
};

/** All that is wrong with a text. */
struct ColtProblems;

/** Creates an empty list of problems. */
struct ColtProblems *colt_problems_create (void);

/** Destroys a list of problems; NULL is allowed. */
void colt_problems_destroy (struct ColtProblems *problems);

/** Returns the number of problems. */
size_t colt_problems_count (const struct ColtProblems *problems);

/** Returns problem \a index, in the order of lines. */
const struct ColtProblem *
colt_problems_get (const struct ColtProblems *problems, size_t index);

/** A bundle. */
struct ColtBundle;

/**
 * Reads a bundle. A [signature] section is kept, but not verified.
 *
 * \param text      the text, ended by a zero
 * \param problems  takes every problem; may be NULL
 * \return the bundle, or NULL with COLT_ERROR_INVALID and the first problem
 */
struct ColtBundle *colt_bundle_parse (const char *text,
                                      struct ColtProblems *problems,
                                      struct ColtError *error);

/** Destroys a bundle; NULL is allowed. */
void colt_bundle_destroy (struct ColtBundle *bundle);

/** Returns the version number, at least 1. */
int64_t colt_bundle_version (const struct ColtBundle *bundle);

/** Returns the hash of the bundle, which names it. */
const struct ColtHash *colt_bundle_hash (const struct ColtBundle *bundle);

/** Returns the hash of the version that this one follows; zeros for none. */
const struct ColtHash *colt_bundle_parent (const struct ColtBundle *bundle);

/** Returns the canonical text without a signature. */
const char *colt_bundle_text (const struct ColtBundle *bundle);

/**
 * Returns the canonical text of the [bundle] section alone. The hash of a
 * bundle is the hash of this text and of the hash of all the rest.
 */
const char *colt_bundle_header (const struct ColtBundle *bundle);

/** Returns the hash of the canonical text behind the [bundle] section. */
const struct ColtHash *colt_bundle_body_hash (const struct ColtBundle *bundle);

/** Returns the signature, or NULL if the text had none. */
const struct ColtSignature *
colt_bundle_signature (const struct ColtBundle *bundle);

/** Returns the number of operator keys that may sign the next version. */
size_t colt_bundle_operator_count (const struct ColtBundle *bundle);

/** Returns an operator key. */
const struct ColtOperatorKey *
colt_bundle_operator (const struct ColtBundle *bundle, size_t index);

/** Returns whether a key may sign the next version. */
bool colt_bundle_has_operator (const struct ColtBundle *bundle,
                               const struct ColtOperatorKey *key);

/** Returns the number of organisations. */
uint32_t colt_bundle_organisation_count (const struct ColtBundle *bundle);
/** Returns an organisation. */
const struct ColtBundleOrganisation *
colt_bundle_organisation (const struct ColtBundle *bundle, uint32_t index);

/** Returns the number of teams. */
uint32_t colt_bundle_team_count (const struct ColtBundle *bundle);
/** Returns a team. */
const struct ColtBundleTeam *colt_bundle_team (const struct ColtBundle *bundle,
                                               uint32_t index);
/** Returns the number of a team, or COLT_BUNDLE_NO_INDEX. */
uint32_t colt_bundle_find_team (const struct ColtBundle *bundle,
                                const char *name);

/** Returns the number of keys that the bundle itself gives. */
uint32_t colt_bundle_key_count (const struct ColtBundle *bundle);
/** Returns a key. */
const struct ColtBundleKey *colt_bundle_key (const struct ColtBundle *bundle,
                                             uint32_t index);
/** Returns the number of a key, or COLT_BUNDLE_NO_INDEX. */
uint32_t colt_bundle_find_key (const struct ColtBundle *bundle,
                               const char *name);

/** Returns the number of queues. */
uint32_t colt_bundle_queue_count (const struct ColtBundle *bundle);
/** Returns a queue. */
const struct ColtBundleQueue *
colt_bundle_queue (const struct ColtBundle *bundle, uint32_t index);
/** Returns the number of a queue, or COLT_BUNDLE_NO_INDEX. */
uint32_t colt_bundle_find_queue (const struct ColtBundle *bundle,
                                 const char *name);

/** Returns how a kind of work is treated; every bundle says so for all. */
const struct ColtBundleWork *colt_bundle_work (const struct ColtBundle *bundle,
                                               enum ColtWorkKind kind);

/** Returns the number of zones, at least 1. */
uint32_t colt_bundle_zone_count (const struct ColtBundle *bundle);
/** Returns a zone. */
const struct ColtBundleZone *colt_bundle_zone (const struct ColtBundle *bundle,
                                               uint32_t index);

/** Returns whether a name has 1 to COLT_NAME_SIZE - 1 of a-z, 0-9 and "-". */
bool colt_name_valid (const char *name);

/** Returns whether two hashes are the same, in constant time. */
bool colt_hash_equal (const struct ColtHash *a, const struct ColtHash *b);

/** Returns whether a hash is all zeros, which stands for "none". */
bool colt_hash_is_none (const struct ColtHash *hash);

/** Writes a hash as 64 hexadecimal digits into \a text and returns it. */
const char *colt_hash_format (const struct ColtHash *hash,
                              char text[COLT_HASH_TEXT_SIZE]);

/** Reads 64 lower-case hexadecimal digits; returns false if it is none. */
bool colt_hash_parse (const char *text, struct ColtHash *hash);

/** Hashes \a size bytes at \a data. */
struct ColtHash colt_hash_make (const void *data, size_t size);

#endif
