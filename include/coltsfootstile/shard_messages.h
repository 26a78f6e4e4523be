/**
 * \file
 * \brief Messages between the leader of shards and the owners of servers.
 *
 * A leader opens sessions by ColtShardOpen, answered by ColtShardOpened, and
 * keeps them open by ColtShardConfirm, answered by ColtShardConfirmed. One
 * message covers all shards of the leader and all servers of the owner. The
 * structs borrow what they point at; a struct that was filled in by an unpack
 * function is freed by its clear function.
 */
#ifndef COLTSFOOTSTILE_SHARD_MESSAGES_H
#define COLTSFOOTSTILE_SHARD_MESSAGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"
#include "coltsfootstile/resources.h"
#include "coltsfootstile/task.h"
#include "coltsfootstile/wire.h"

/** Message kinds on the wire. */
enum ColtShardWireKind
{
  COLT_WIRE_SHARD_OPEN = COLT_WIRE_SHARD_FIRST, /**< answer: ColtShardOpened */
  COLT_WIRE_SHARD_CONFIRM /**< answer: ColtShardConfirmed */
};

/** Maximum number of servers in one message. */
#define COLT_SHARD_SERVERS_MAX 16384u
/** Maximum number of tasks, and of team counts, in one message. */
#define COLT_SHARD_REPORTS_MAX 262144u

/** An epoch of a shard. */
struct ColtShardEpoch
{
  uint32_t shard;
  uint64_t epoch;
};

/** A backend server of an owner. */
struct ColtShardServer
{
  uint32_t server;
  uint64_t epoch;  /**< epoch of the server's lease */
  uint64_t shards; /**< bit N: the leader has a session for shard N */
};

/** A task of a shard on a backend server. */
struct ColtShardTask
{
  uint32_t server;
  struct ColtTaskReport report; /**< without the result */
};

/** Counts of one team's tasks and credits at an owner, reported to the leader
 * of the team's shard. */
struct ColtTeamCount
{
  uint32_t shard;
  uint32_t server; /**< 0: counts that belong to the owner itself */
  char team[COLT_NAME_SIZE];
  uint32_t tasks;               /**< running or being started */
  struct ColtResources running; /**< resources of these tasks */
  uint32_t credits;             /**< received and not used */
  struct ColtResources spare;   /**< resources of these credits */
  uint64_t offset; /**< credits computed below this offset are rejected */
};

/** Request of a leader to promise epochs of shards and to open sessions. */
struct ColtShardOpen
{
  uint32_t leader;                     /**< instance number of the leader */
  uint64_t incarnation;                /**< incarnation of the leader */
  uint64_t round;                      /**< number repeated in the answer */
  const struct ColtShardEpoch *epochs; /**< each shard at most once */
  size_t epoch_count;
};

/** Answer to ColtShardOpen. A shard whose epoch is granted has a session on
 * each server listed. */
struct ColtShardOpened
{
  uint32_t owner;       /**< instance number of the owner */
  uint64_t incarnation; /**< incarnation of the owner */
  uint64_t round;       /**< round of the open message */
  uint64_t version;     /**< version of the owner's sessions and promises */
  int64_t stamp; /**< time of the owner's clock in microseconds, echoed by
                  * confirm messages */
  const struct ColtShardEpoch *epochs; /**< promised epochs; one that is higher
                                        * than requested is a refusal */
  size_t epoch_count;
  const struct ColtShardServer *servers; /**< all servers of the owner */
  size_t server_count;
  const uint32_t *known; /**< servers in the views of leaders */
  size_t known_count;
  const struct ColtShardTask *tasks; /**< of the granted shards */
  size_t task_count;
  const struct ColtTeamCount *teams; /**< of the granted shards */
  size_t team_count;
};

/** Confirmation of sessions by a leader, with a query for changes. */
struct ColtShardConfirm
{
  uint32_t leader;            /**< instance number of the leader */
  uint64_t incarnation;       /**< incarnation of the leader */
  uint64_t round;             /**< number repeated in the answer */
  uint64_t owner_incarnation; /**< incarnation of the owner that sent the
                               * version */
  uint64_t version;           /**< newest version received from the owner */
  int64_t echo;         /**< newest stamp received from the owner, 0: none */
  uint64_t shards;      /**< bit N: a majority of servers confirms shard N */
  uint64_t view_hash;   /**< hash of the leader's view */
  const uint32_t *view; /**< servers in the view, if the owner requested it */
  size_t view_count;
};

/** Answer to ColtShardConfirm. */
struct ColtShardConfirmed
{
  uint32_t owner;       /**< instance number of the owner */
  uint64_t incarnation; /**< incarnation of the owner */
  uint64_t round;       /**< round of the confirm message */
  uint64_t version;     /**< version of the owner's sessions and promises */
  int64_t stamp;  /**< time of the owner's clock in microseconds, to be echoed
                   * by the leader */
  bool unchanged; /**< the version in the confirm message is current */
  bool want_view; /**< nothing is confirmed until the leader sends its view */
  const struct ColtShardServer *servers; /**< all servers, unless unchanged */
  size_t server_count;
  const struct ColtShardEpoch *epochs; /**< all promises, unless unchanged */
  size_t epoch_count;
};

/* Each pack function returns a buffer to be freed with free() and sets \a size
 * to its length in bytes. Each unpack function returns false and sets
 * COLT_ERROR_INVALID for input that does not parse, has a value out of range,
 * contains a shard or a server twice where it may be listed only once, or
 * contradicts itself, as with a task on a server that isn't listed. The struct
 * is then empty. \a error may be NULL. */

/** Packs an open message. */
uint8_t *colt_shard_open_pack (const struct ColtShardOpen *open, size_t *size);
/** Unpacks an open message. */
bool colt_shard_open_unpack (const uint8_t *body,
                             size_t size,
                             struct ColtShardOpen *open,
                             struct ColtError *error);
/** Frees what an unpacked open message points at. */
void colt_shard_open_clear (struct ColtShardOpen *open);

/** Packs the answer to an open message. */
uint8_t *colt_shard_opened_pack (const struct ColtShardOpened *opened,
                                 size_t *size);
/** Unpacks the answer to an open message. */
bool colt_shard_opened_unpack (const uint8_t *body,
                               size_t size,
                               struct ColtShardOpened *opened,
                               struct ColtError *error);
/** Frees what an answer points at; for unpacked answers and for those filled in
 * by colt_shard_owner_handle_open(). */
void colt_shard_opened_clear (struct ColtShardOpened *opened);

/** Packs a confirm message. */
uint8_t *colt_shard_confirm_pack (const struct ColtShardConfirm *confirm,
                                  size_t *size);
/** Unpacks a confirm message. */
bool colt_shard_confirm_unpack (const uint8_t *body,
                                size_t size,
                                struct ColtShardConfirm *confirm,
                                struct ColtError *error);
/** Frees what an unpacked confirm message points at. */
void colt_shard_confirm_clear (struct ColtShardConfirm *confirm);

/** Packs the answer to a confirm message. */
uint8_t *colt_shard_confirmed_pack (const struct ColtShardConfirmed *confirmed,
                                    size_t *size);
/** Unpacks the answer to a confirm message. */
bool colt_shard_confirmed_unpack (const uint8_t *body,
                                  size_t size,
                                  struct ColtShardConfirmed *confirmed,
                                  struct ColtError *error);
/** Frees what an answer points at; for unpacked answers and for those filled in
 * by colt_shard_owner_handle_confirm(). */
void colt_shard_confirmed_clear (struct ColtShardConfirmed *confirmed);

#endif
