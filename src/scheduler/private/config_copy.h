/* The configuration in force as it was published, to be passed on to other
 * instances in compressed form. */
#ifndef COLT_SCHEDULER_CONFIG_COPY_H
#define COLT_SCHEDULER_CONFIG_COPY_H

#include <glib.h>
#include <stdint.h>

#include "coltsfootstile/ports.h"

/* Largest configuration that is passed on, in bytes as published. */
#define COLT_CONFIG_BYTES_MAX (64u * 1024 * 1024)

struct ColtConfigCopy;

/* Copies a record that contains a configuration. */
struct ColtConfigCopy *
colt_config_copy_create (int64_t version, const struct ColtLogRecord *record);
/* Creates a copy from its compressed form, which is kept; record is without its
 * value, size the size of the value in bytes. Returns NULL if packed isn't the
 * compressed form of a value of that size. */
struct ColtConfigCopy *
colt_config_copy_create_packed (int64_t version,
                                const struct ColtLogRecord *record,
                                size_t size,
                                GBytes *packed);
void colt_config_copy_destroy (struct ColtConfigCopy *copy);
int64_t colt_config_copy_version (const struct ColtConfigCopy *copy);
/* Returns the record; its value is NULL once it has been compressed. */
const struct ColtLogRecord *
colt_config_copy_record (const struct ColtConfigCopy *copy);
/* Returns the size of the record's value in bytes. */
size_t colt_config_copy_size (const struct ColtConfigCopy *copy);
/* Returns the size of the compressed value in bytes; 0 if it hasn't been
 * compressed. */
size_t colt_config_copy_packed_size (const struct ColtConfigCopy *copy);
/* Returns the compressed value, which replaces the value as published; NULL if
 * it is too large to be passed on. */
GBytes *colt_config_copy_pack (struct ColtConfigCopy *copy);
/* Returns a checksum of a compressed value. */
uint64_t colt_config_copy_checksum (GBytes *packed);
/* Drops the value as published of a copy that has its compressed form. */
void colt_config_copy_trim (struct ColtConfigCopy *copy);

#endif
