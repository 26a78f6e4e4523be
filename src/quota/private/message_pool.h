/* Conversions between the messages' structs and their packed form. */
#ifndef COLT_MESSAGE_POOL_H
#define COLT_MESSAGE_POOL_H

#include <glib.h>

#include "coltsfootstile/quota_messages.h"
#include "quota.pb-c.h"

/* Memory that lives until a message is packed. */
struct ColtMessagePool
{
  GPtrArray *chunks;
};

void colt_message_pool_open_ (struct ColtMessagePool *pool);
void *colt_message_pool_add_ (struct ColtMessagePool *pool, size_t size);

/* Packs a message and frees the pool. */
uint8_t *colt_message_pool_pack_ (struct ColtMessagePool *pool,
                                  const ProtobufCMessage *message,
                                  size_t *size);

/* Makes an array of count pointers to messages of entry_size bytes each. */
void **colt_message_pool_array_ (struct ColtMessagePool *pool,
                                 size_t count,
                                 size_t entry_size);

ColtQuotaAmountMsg *colt_message_amount_ (struct ColtMessagePool *pool,
                                          const struct ColtQuotaAmount *amount);
ColtComplianceVectorMsg *
colt_message_vector_ (struct ColtMessagePool *pool,
                      const struct ColtComplianceVector *vector);

/* Each returns false if the part is missing or out of bounds. */
bool colt_message_read_amount_ (const ColtQuotaAmountMsg *message,
                                struct ColtQuotaAmount *amount);
bool colt_message_read_name_ (const char *text, char name[COLT_NAME_SIZE]);

/* Returns NULL if the message is out of bounds. */
struct ColtComplianceVector *
colt_message_read_vector_ (const ColtComplianceVectorMsg *message);

#endif
