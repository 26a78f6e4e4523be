/* Conversion between message structs and their packed form. */
#ifndef COLT_MESSAGE_POOL_H
#define COLT_MESSAGE_POOL_H

#include <glib.h>

#include "coltsfootstile/quota_messages.h"
#include "quota.pb-c.h"

/* Allocations that are freed together when a message has been packed. */
struct ColtMessagePool
{
  GPtrArray *chunks;
};

void colt_message_pool_init_ (struct ColtMessagePool *pool);

/* Allocates zeroed memory that the pool owns. */
void *colt_message_pool_alloc_ (struct ColtMessagePool *pool, size_t size);

/* Packs a message and frees the pool; returns the bytes, to be freed with
 * free(). */
uint8_t *colt_message_pool_pack_ (struct ColtMessagePool *pool,
                                  const ProtobufCMessage *message,
                                  size_t *size);

/* Allocates an array of pointers to count messages of entry_size bytes each.
 * Returns NULL if count is 0. */
void **colt_message_pool_alloc_array_ (struct ColtMessagePool *pool,
                                       size_t count,
                                       size_t entry_size);

ColtQuotaAmountMsg *
colt_message_pack_amount_ (struct ColtMessagePool *pool,
                           const struct ColtQuotaAmount *amount);
ColtComplianceVectorMsg *
colt_message_pack_vector_ (struct ColtMessagePool *pool,
                           const struct ColtComplianceVector *vector);

/* Returns false if the amount is missing or out of range. */
bool colt_message_read_amount_ (const ColtQuotaAmountMsg *message,
                                struct ColtQuotaAmount *amount);

/* Returns false if the name is empty or too long. */
bool colt_message_read_name_ (const char *text, char name[COLT_NAME_SIZE]);

/* Returns NULL if a value of the message is out of range. */
struct ColtComplianceVector *
colt_message_read_vector_ (const ColtComplianceVectorMsg *message);

#endif
