/**
 * \file
 * \brief Kinds of records that the system keeps in the platform's log.
 */
#ifndef COLTSFOOTSTILE_RECORD_H
#define COLTSFOOTSTILE_RECORD_H

/** What a record of the log says. */
enum ColtRecordKind
{
  COLT_RECORD_BUNDLE = 1,   /**< a signed bundle, or a delta to its parent */
  COLT_RECORD_KEY_GIVE = 2, /**< a signed grant of a key to a team */
  COLT_RECORD_KEY_WITHDRAW = 3, /**< a signed withdrawal of a key */
  COLT_RECORD_SNAPSHOT = 4,     /**< the state in force, appended anew */
  COLT_RECORD_TRANSFER = 5,     /**< entitlement moves between two zones */
  COLT_RECORD_JOB = 6,          /**< work accepted for later */
  COLT_RECORD_JOB_END = 7       /**< such work has ended */
};

#endif
