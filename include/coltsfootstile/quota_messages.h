/**
 * \file
 * \brief Messages about limits: credits, compliance, demand and transfers.
 *
 * The structs own what they point at; each is freed by its own function. The
 * packed form is that of src/quota/quota.proto. Unpacking is strict: a message
 * out of any bound stated here is refused as a whole.
 */
#ifndef COLTSFOOTSTILE_QUOTA_MESSAGES_H
#define COLTSFOOTSTILE_QUOTA_MESSAGES_H

#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"
#include "coltsfootstile/quota.h"
#include "coltsfootstile/task.h"

/** Most items of one message. */
#define COLT_QUOTA_ITEMS_MAX 8192u

/** One part of a transfer record. */
struct ColtQuotaMove
{
  char team[COLT_NAME_SIZE];
  uint32_t from; /**< zone */
  uint32_t to;   /**< zone */
  struct ColtQuotaAmount amount;
};

/** Body of a COLT_RECORD_TRANSFER record. */
struct ColtQuotaTransfer
{
  struct ColtId id; /**< makes the record idempotent; the record's own id */
  uint64_t base;    /**< offset up to which the planner had read the log */
  struct ColtQuotaMove *moves;
  size_t move_count;
};

/**
 * A team for which a zone complies with a lower offset than with others: with
 * one from \a offset to \a highest.
 */
struct ColtComplianceException
{
  char team[COLT_NAME_SIZE];
  uint64_t offset;  /**< complies at least with this one */
  uint64_t highest; /**< was never said to comply with a higher one */
};

/** What a zone complies with, for the teams of one shard. */
struct ColtCompliance
{
  uint32_t zone;
  uint32_t shard;  /**< below COLT_SHARD_COUNT */
  uint64_t offset; /**< also computes no credits below it any more */
  struct ColtComplianceException *exceptions;
  size_t exception_count;
};

/** What is known of the compliance of all zones, or the news of it. */
struct ColtComplianceVector
{
  struct ColtCompliance *entries;
  size_t entry_count;
};

/** A backend server at one of its epochs. */
struct ColtServerEpoch
{
  uint32_t server;
  uint64_t epoch;
};

/** What an owner reports of a team. */
struct ColtCreditState
{
  char team[COLT_NAME_SIZE];
  uint64_t sequence;              /**< of the newest grant taken, 0: none */
  struct ColtQuotaAmount ceiling; /**< credits held, used and spare */
  struct ColtQuotaAmount running; /**< on servers held */
  struct ColtQuotaAmount lost;    /**< on servers lost, not counted elsewhere */
  struct ColtQuotaAmount unit;    /**< what the next waiting task needs */
  int64_t waiting;                /**< tasks that wait for credits */
};

/** From an owner to the lead of a shard. */
struct ColtCreditReport
{
  uint64_t owner; /**< names the owner's process, never used again */
  uint32_t shard;
  uint64_t epoch;    /**< shard epoch of the session */
  uint64_t sequence; /**< grows with each report of the owner */
  uint64_t promise;  /**< takes no credits computed below this offset */
  bool full;         /**< answers a recount: every team is listed */
  struct ColtCreditState *states;
  size_t state_count;
  struct ColtServerEpoch *held; /**< servers whose tasks are counted here */
  size_t held_count;
  struct ColtServerEpoch *lost; /**< servers lost whose tasks still count */
  size_t lost_count;
};

/** A ceiling for one team. */
struct ColtCreditItem
{
  char team[COLT_NAME_SIZE];
  uint64_t sequence; /**< grows with each change of the lead */
  uint64_t seen;     /**< report that the lead knew of the team */
  struct ColtQuotaAmount ceiling;
};

/** From the lead of a shard to an owner. */
struct ColtCreditGrant
{
  uint64_t owner; /**< whom it is for */
  uint32_t shard;
  uint64_t epoch;
  bool recount;     /**< opens the session; wants a full report */
  uint64_t offset;  /**< fold's offset where the items were computed */
  uint64_t promise; /**< wanted: no credits computed below it any more */
  uint64_t *acks;   /**< reports that were taken in */
  size_t ack_count;
  struct ColtCreditItem *items;
  size_t item_count;
  struct ColtServerEpoch *settled; /**< counted by their new owner now */
  size_t settled_count;
};

/** What a zone has running and waiting of a team. */
struct ColtDemand
{
  char team[COLT_NAME_SIZE];
  struct ColtQuotaAmount running;
  struct ColtQuotaAmount unit; /**< what the next waiting task needs */
  int64_t waiting;             /**< tasks */
};

/** Digest of a zone's demand: every team that has any. */
struct ColtDemandDigest
{
  uint32_t zone;
  uint64_t sequence; /**< grows; an older digest is ignored */
  struct ColtDemand *demands;
  size_t demand_count;
};

/** \name Life cycle; NULL is allowed in the destroy functions */
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
 * Each returns bytes to be freed with free() and sets \a size.
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
 * Each returns NULL with COLT_ERROR_INVALID if the bytes are malformed.
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
