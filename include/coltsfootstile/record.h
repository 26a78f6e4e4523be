/**
 * \file
 * \brief Kinds of records that the system keeps in the platform's log.
 */
#ifndef COLTSFOOTSTILE_RECORD_H
#define COLTSFOOTSTILE_RECORD_H

/** Kind of a record, which determines the format of its body. The values are
 * part of the stored format. */
enum ColtRecordKind
{
  COLT_RECORD_BUNDLE = 1,   /**< a signed bundle, or a delta to its parent */
  COLT_RECORD_KEY_GIVE = 2, /**< a signed grant of a caller's key to a team */
  COLT_RECORD_KEY_WITHDRAW = 3, /**< a signed withdrawal of a caller's key */
  COLT_RECORD_SNAPSHOT = 4,     /**< a new copy of the state in force */
  COLT_RECORD_TRANSFER = 5,     /**< moves of entitlements between two zones */
  COLT_RECORD_JOB = 6,          /**< a durable request, called a job */
  COLT_RECORD_JOB_END = 7       /**< the outcome of a job */
};

#endif
