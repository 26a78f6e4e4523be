/**
 * \file
 * \brief Messages about limits: credits, compliance, demand and transfers.
 *
 * credits.h describes how credits are distributed, entitlement.h what
 * compliance is.
 *
 * The structs own the arrays that they point at; each struct has a function to
 * destroy it. The packed form is defined by src/quota/quota.proto. Unpacking
 * rejects a message as a whole if any value is out of the range stated here.
 */
#ifndef COLTSFOOTSTILE_QUOTA_MESSAGES_H
#define COLTSFOOTSTILE_QUOTA_MESSAGES_H

#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"
#include "coltsfootstile/quota.h"
#include "coltsfootstile/task.h"

/** Highest number of entries in each array of a message. */
#define COLT_QUOTA_ITEMS_MAX 8192u

/** An amount that a transfer record moves from one zone to another. */
struct ColtQuotaMove
{
  char team[COLT_NAME_SIZE];
  uint32_t from;                 /**< zone, 1 to COLT_ZONE_MAX */
  uint32_t to;                   /**< zone, 1 to COLT_ZONE_MAX */
  struct ColtQuotaAmount amount; /**< finite */
};

/** Body of a COLT_RECORD_TRANSFER record. */
struct ColtQuotaTransfer
{
  struct ColtId id; /**< id of the record, by which repetitions are skipped */
  uint64_t base;    /**< offset up to which the planner had read the log */
  struct ColtQuotaMove *moves;
  size_t move_count;
};

/**
 * A team for which a zone complies with a lower offset than for the shard's
 * other teams. That offset is at least \a offset and at most \a highest.
 */
struct ColtComplianceException
{
  char team[COLT_NAME_SIZE];
  uint64_t offset;  /**< the zone certainly complies with this offset */
  uint64_t highest; /**< no higher offset was ever stated for the team; at
                     * least \a offset, at most that of the shard */
};

/** Offsets that a zone complies with, for the teams of one shard. */
struct ColtCompliance
{
  uint32_t zone;   /**< 1 to COLT_ZONE_MAX */
  uint32_t shard;  /**< below COLT_SHARD_COUNT */
  uint64_t offset; /**< offset that the zone complies with, for all teams of
                    * the shard but the exceptions: it computes no credits at
                    * lower offsets */
  struct ColtComplianceException *exceptions;
  size_t exception_count;
};

/** Compliance of all zones and shards, or the entries that have changed. */
struct ColtComplianceVector
{
  struct ColtCompliance *entries;
  size_t entry_count;
};

/** A backend server at one of its lease epochs. */
struct ColtServerEpoch
{
  uint32_t server;
  uint64_t epoch;
};

/** An owner's state of one team. */
struct ColtCreditState
{
  char team[COLT_NAME_SIZE];
  uint64_t sequence;              /**< of the newest ceiling applied, 0: none */
  struct ColtQuotaAmount ceiling; /**< all credits, used and spare */
  struct ColtQuotaAmount running; /**< on servers that the owner owns; finite */
  struct ColtQuotaAmount lost;    /**< on lost servers, while no new owner is
                                   * known to count them; finite */
  struct ColtQuotaAmount unit; /**< demand of the next waiting task; finite */
  int64_t waiting; /**< tasks that wait for credits, 0 to COLT_QUOTA_MAX */
};

/** Report of an owner to the leader of a shard. */
struct ColtCreditReport
{
  uint64_t owner;    /**< id of the owner's process, never reused; not 0 */
  uint32_t shard;    /**< below COLT_SHARD_COUNT */
  uint64_t epoch;    /**< shard epoch of the session */
  uint64_t sequence; /**< grows with each report of the owner */
  uint64_t promise;  /**< the owner applies no credits computed below this
                      * offset */
  bool full;         /**< answers a reconciliation: lists every team */
  struct ColtCreditState *states; /**< of teams of the shard */
  size_t state_count;
  struct ColtServerEpoch *held; /**< servers whose tasks the states count */
  size_t held_count;
  struct ColtServerEpoch *lost; /**< lost servers whose tasks still count */
  size_t lost_count;
};

/** An owner's ceiling for one team. */
struct ColtCreditItem
{
  char team[COLT_NAME_SIZE];
  uint64_t sequence; /**< above 0; grows with each change and repetition */
  uint64_t report_sequence; /**< of the newest report that it considers */
  struct ColtQuotaAmount ceiling;
};

/** Grant of the leader of a shard to an owner. */
struct ColtCreditGrant
{
  uint64_t owner;   /**< id of the receiving owner's process, not 0 */
  uint32_t shard;   /**< below COLT_SHARD_COUNT */
  uint64_t epoch;   /**< shard epoch of the leader */
  bool recount;     /**< opens the session and requests a full report */
  uint64_t offset;  /**< offset of the fold at which the items were computed */
  uint64_t promise; /**< requested ColtCreditReport::promise */
  uint64_t *acks;   /**< sequences of the reports that were applied */
  size_t ack_count;
  struct ColtCreditItem *items; /**< of teams of the shard */
  size_t item_count;
  struct ColtServerEpoch *settled; /**< lost servers that a new owner counts,
                                    * at its epoch */
  size_t settled_count;
};

/** Running and waiting tasks of a team in one zone. */
struct ColtDemand
{
  char team[COLT_NAME_SIZE];
  struct ColtQuotaAmount running; /**< finite */
  struct ColtQuotaAmount unit; /**< demand of the next waiting task; finite */
  int64_t waiting;             /**< tasks, 0 to COLT_QUOTA_MAX */
};

/** Digest of a zone's demand; lists every team that has any. */
struct ColtDemandDigest
{
  uint32_t zone;     /**< 1 to COLT_ZONE_MAX */
  uint64_t sequence; /**< grows; receivers ignore one that isn't higher */
  struct ColtDemand *demands;
  size_t demand_count;
};

/**
 * \name Life cycle
 * Each create function returns a zeroed struct with arrays of the given sizes.
 * NULL is allowed in the destroy functions.
 */
/**@{*/
struct ColtQuotaTransfer *colt_quota_transfer_create (size_t move_count);
void colt_quota_transfer_destroy (struct ColtQuotaTransfer *transfer);
struct ColtComplianceVector *colt_compliance_vector_create (size_t entry_count);
void colt_compliance_vector_destroy (struct ColtComplianceVector *vector);
struct ColtCreditReport *colt_credit_report_create (size_t state_count,
                                                    size_t held_count,
                                                    size_t lost_count);
void colt_credit_report_destroy (struct ColtCreditReport *report);
struct ColtCreditGrant *colt_credit_grant_create (size_t ack_count,
                                                  size_t item_count,
                                                  size_t settled_count);
void colt_credit_grant_destroy (struct ColtCreditGrant *grant);
struct ColtDemandDigest *colt_demand_digest_create (size_t demand_count);
void colt_demand_digest_destroy (struct ColtDemandDigest *digest);
/**@}*/

/**
 * \name Packing
 * Each returns the packed bytes, to be freed with free(), and sets \a size to
 * their number.
 */
/**@{*/
uint8_t *colt_quota_transfer_pack (const struct ColtQuotaTransfer *transfer,
                                   size_t *size);
uint8_t *colt_compliance_vector_pack (const struct ColtComplianceVector *vector,
                                      size_t *size);
uint8_t *colt_credit_report_pack (const struct ColtCreditReport *report,
                                  size_t *size);
uint8_t *colt_credit_grant_pack (const struct ColtCreditGrant *grant,
                                 size_t *size);
uint8_t *colt_demand_digest_pack (const struct ColtDemandDigest *digest,
                                  size_t *size);
/**@}*/

/**
 * \name Unpacking
 * Each returns a new struct, or NULL with COLT_ERROR_INVALID if the bytes are
 * malformed or a value is out of range.
 */
/**@{*/
struct ColtQuotaTransfer *colt_quota_transfer_unpack (const uint8_t *bytes,
                                                      size_t size,
                                                      struct ColtError *error);
struct ColtComplianceVector *
colt_compliance_vector_unpack (const uint8_t *bytes,
                               size_t size,
                               struct ColtError *error);
struct ColtCreditReport *colt_credit_report_unpack (const uint8_t *bytes,
                                                    size_t size,
                                                    struct ColtError *error);
struct ColtCreditGrant *colt_credit_grant_unpack (const uint8_t *bytes,
                                                  size_t size,
                                                  struct ColtError *error);
struct ColtDemandDigest *colt_demand_digest_unpack (const uint8_t *bytes,
                                                    size_t size,
                                                    struct ColtError *error);
/**@}*/

#endif
