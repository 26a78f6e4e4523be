/**
 * \file
 * \brief Bundles: the operators' declaration of teams, keys, limits and work.
 *
 * A bundle is INI text that is parsed as a whole. If every line is valid, the
 * result is an immutable struct ColtBundle; otherwise all problems are reported
 * with their line numbers and there is no result. The canonical text has its
 * sections and keys in a fixed order; its hash identifies the version.
 *
 * Entities of one type are indexed from 0 in the order of their names (zones by
 * number, work by kind). An index is valid for one bundle only and must be less
 * than the number of entities. Returned pointers are valid as long as the
 * bundle.
 */
#ifndef COLTSFOOTSTILE_BUNDLE_H
#define COLTSFOOTSTILE_BUNDLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"
#include "coltsfootstile/task.h"

/** Maximum number of teams in a bundle. */
#define COLT_BUNDLE_TEAMS_MAX 512u
/** Maximum number of organisations in a bundle. */
#define COLT_BUNDLE_ORGANISATIONS_MAX 256u
/** Maximum number of callers' keys in a bundle. */
#define COLT_BUNDLE_KEYS_MAX 2048u
/** Maximum number of queues in a bundle. */
#define COLT_BUNDLE_QUEUES_MAX 2048u
/** Maximum number of availability zones in a bundle. */
#define COLT_BUNDLE_ZONES_MAX COLT_ZONE_MAX
/** Maximum number of operator keys in a bundle. */
#define COLT_BUNDLE_OPERATORS_MAX 16u
/** Maximum size of a bundle's text in bytes: a snapshot, which contains it,
 * must fit into a log record. */
#define COLT_BUNDLE_TEXT_MAX (384u * 1024)
/** Size of an organisation's title in bytes, including the terminating NUL. */
#define COLT_BUNDLE_TITLE_SIZE 96

/** Size of a hash (BLAKE2b-256) in bytes. */
#define COLT_HASH_SIZE 32
/** Size in bytes of a hash's hexadecimal text with the terminating NUL. */
#define COLT_HASH_TEXT_SIZE 65
/** Size of an Ed25519 public key in bytes. */
#define COLT_OPERATOR_KEY_SIZE 32
/** Size of an Ed25519 secret key in bytes. */
#define COLT_OPERATOR_SECRET_SIZE 64
/** Size of an Ed25519 signature in bytes. */
#define COLT_SIGNATURE_SIZE 64

/** Value of a limit that the bundle leaves unset. */
#define COLT_BUNDLE_NO_LIMIT INT64_C (-1)
/** Index that refers to no entity. */
#define COLT_BUNDLE_NO_INDEX UINT32_MAX

/** A BLAKE2b-256 hash; all zero bytes mean "none". */
struct ColtHash
{
  uint8_t bytes[COLT_HASH_SIZE];
};

/** An operator's Ed25519 public key. */
struct ColtOperatorKey
{
  uint8_t bytes[COLT_OPERATOR_KEY_SIZE];
};

/** An Ed25519 signature with the public key of the signer. */
struct ColtSignature
{
  struct ColtOperatorKey operator_key;
  uint8_t bytes[COLT_SIGNATURE_SIZE];
};

/** Policy by which backend servers are chosen for a kind of work. */
enum ColtWorkPolicy
{
  COLT_POLICY_PACK,    /**< fills servers, leaving room for large tasks */
  COLT_POLICY_SPREAD,  /**< spreads tasks over the racks in turn */
  COLT_POLICY_BALANCE, /**< chooses the least loaded server */
  COLT_POLICY_FASTEST, /**< chooses the server with the earliest expected end */
  COLT_POLICY_COUNT    /**< number of policies, not a policy */
};

/** Names of enum ColtWorkPolicy, indexed by it. */
extern const char *const colt_work_policy_string[];

/** Reference to another entity of the same bundle. */
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
  /** Relative share of a full fleet, 1 to 1000000. */
  int64_t weight;
  /** Maximum number of tasks over the whole fleet, 0 to 1000000. */
  int64_t limit_tasks;
  /** Maximum over the whole fleet in thousandths of a core, 0 to 1000000000, or
   * COLT_BUNDLE_NO_LIMIT. */
  int64_t limit_cores_milli;
  /** Maximum number of accelerators over the whole fleet, 0 to 1000000, or
   * COLT_BUNDLE_NO_LIMIT. */
  int64_t limit_accelerators;
  /** Retry budget of the team, 0 to 1000000. */
  int64_t retries_per_minute;
};

/** A caller's key, identified by the hash of its secret. */
struct ColtBundleKey
{
  char name[COLT_NAME_SIZE];
  struct ColtBundleRef team;
  struct ColtHash hash; /**< of the secret */
};

/** A queue. */
struct ColtBundleQueue
{
  char name[COLT_NAME_SIZE];
  struct ColtBundleRef team; /**< team whose keys give access; work without a
                                key is counted for it too */
  bool open;                 /**< accepts work without a key */
  /** Maximum number of waiting requests in a zone, 0 to 1000000. */
  int64_t max_waiting;
};

/** Treatment of a kind of work. */
struct ColtBundleWork
{
  char name[COLT_NAME_SIZE]; /**< as in colt_work_kind_string */
  enum ColtWorkPolicy policy;
  int64_t deadline_ms;  /**< default if the caller sets none; 0: no deadline */
  int64_t priority;     /**< 0 to 9, higher is started first */
  int64_t max_attempts; /**< for idempotent work, 1 to 10 */
  bool checkpoint;      /**< a task is checkpointed when it is stopped */
};

/** An availability zone. */
struct ColtBundleZone
{
  char name[COLT_NAME_SIZE]; /**< the number in decimal */
  char region[COLT_NAME_SIZE];
  uint32_t number; /**< 1 to COLT_ZONE_MAX */
};

/** A problem in the text of a bundle. */
struct ColtProblem
{
  int line;         /**< from 1; the line of its first key for a section; 0 if
                         the problem concerns no single line */
  char reason[224]; /**< one line of plain English */
};

/** A list of problems in a text. */
struct ColtProblems;

/** Creates an empty list of problems, to be freed with
 * colt_problems_destroy(). */
struct ColtProblems *colt_problems_create (void);

/** Destroys a list of problems; NULL is allowed. */
void colt_problems_destroy (struct ColtProblems *problems);

/** Returns the number of problems. */
size_t colt_problems_count (const struct ColtProblems *problems);

/** Returns the problem at an index below colt_problems_count(). A list that
 * colt_bundle_parse() has filled is ordered by line. */
const struct ColtProblem *
colt_problems_get (const struct ColtProblems *problems, size_t index);

/** A bundle. */
struct ColtBundle;

/**
 * Parses a bundle. A [signature] section is stored, but not verified.
 *
 * \param text      the NUL-terminated text
 * \param problems  receives the problems, at most 1000; may be NULL
 * \param error     set to COLT_ERROR_INVALID and the first problem
 * \return the bundle, to be freed with colt_bundle_destroy(); NULL if the text
 *         is invalid
 */
struct ColtBundle *colt_bundle_parse (const char *text,
                                      struct ColtProblems *problems,
                                      struct ColtError *error);

/** Destroys a bundle; NULL is allowed. */
void colt_bundle_destroy (struct ColtBundle *bundle);

/** Returns the version number, at least 1. */
int64_t colt_bundle_version (const struct ColtBundle *bundle);

/** Returns the hash that identifies the bundle. */
const struct ColtHash *colt_bundle_hash (const struct ColtBundle *bundle);

/** Returns the hash of the preceding version; all zeros for version 1. */
const struct ColtHash *colt_bundle_parent (const struct ColtBundle *bundle);

/** Returns the canonical text without a signature. */
const char *colt_bundle_text (const struct ColtBundle *bundle);

/**
 * Returns the canonical text of the [bundle] section. The hash of a bundle is
 * computed over this text followed by the hash of all other sections.
 */
const char *colt_bundle_header (const struct ColtBundle *bundle);

/** Returns the hash of the canonical text after the [bundle] section. */
const struct ColtHash *colt_bundle_body_hash (const struct ColtBundle *bundle);

/** Returns the signature, which is not verified, or NULL if there is none. */
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
/** Returns the index of a team, or COLT_BUNDLE_NO_INDEX. */
uint32_t colt_bundle_find_team (const struct ColtBundle *bundle,
                                const char *name);

/** Returns the number of callers' keys that the bundle declares. */
uint32_t colt_bundle_key_count (const struct ColtBundle *bundle);
/** Returns a caller's key. */
const struct ColtBundleKey *colt_bundle_key (const struct ColtBundle *bundle,
                                             uint32_t index);
/** Returns the index of a caller's key, or COLT_BUNDLE_NO_INDEX. */
uint32_t colt_bundle_find_key (const struct ColtBundle *bundle,
                               const char *name);

/** Returns the number of queues. */
uint32_t colt_bundle_queue_count (const struct ColtBundle *bundle);
/** Returns a queue. */
const struct ColtBundleQueue *
colt_bundle_queue (const struct ColtBundle *bundle, uint32_t index);
/** Returns the index of a queue, or COLT_BUNDLE_NO_INDEX. */
uint32_t colt_bundle_find_queue (const struct ColtBundle *bundle,
                                 const char *name);

/** Returns the treatment of a kind of work; a bundle declares all kinds. */
const struct ColtBundleWork *colt_bundle_work (const struct ColtBundle *bundle,
                                               enum ColtWorkKind kind);

/** Returns the number of zones, at least 1. */
uint32_t colt_bundle_zone_count (const struct ColtBundle *bundle);
/** Returns a zone. */
const struct ColtBundleZone *colt_bundle_zone (const struct ColtBundle *bundle,
                                               uint32_t index);

/** Returns whether a name consists of 1 to COLT_NAME_SIZE - 1 characters of
 * a-z, 0-9 and "-". */
bool colt_name_is_valid (const char *name);

/** Returns whether two hashes are equal; runs in constant time. */
bool colt_hash_equal (const struct ColtHash *a, const struct ColtHash *b);

/** Returns whether a hash is all zeros, which means "none". */
bool colt_hash_is_none (const struct ColtHash *hash);

/** Writes a hash as 64 hexadecimal digits to \a text and returns \a text. */
const char *colt_hash_format (const struct ColtHash *hash,
                              char text[COLT_HASH_TEXT_SIZE]);

/** Parses a hash of 64 lower-case hexadecimal digits; returns false if \a text
 * is malformed. */
bool colt_hash_parse (const char *text, struct ColtHash *hash);

/** Computes the hash of \a size bytes at \a data. */
struct ColtHash colt_hash_make (const void *data, size_t size);

#endif
