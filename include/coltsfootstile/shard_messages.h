/**
 * \file
 * \brief Messages between the lead of shards and the owners of servers.
 *
 * A lead opens sessions by ColtShardOpen, answered by ColtShardOpened, and
 * keeps them by ColtShardConfirm, answered by ColtShardConfirmed. One message
 * covers all shards and servers of its two ends. The structs borrow what they
 * point at; one filled in by an unpack function is freed by its clear function.
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

/** Kinds of messages on the wire. */
enum ColtShardWireKind
{
  COLT_WIRE_SHARD_OPEN = COLT_WIRE_SHARD_FIRST, /**< replied: Opened */
  COLT_WIRE_SHARD_CONFIRM                       /**< replied: Confirmed */
};

/** Most servers in one message. */
#define COLT_SHARD_SERVERS_MAX 16384u
/** Most tasks and most team counts in one message. */
#define COLT_SHARD_REPORTS_MAX 262144u

/** A shard and an epoch. */
struct ColtShardEpoch
{
  uint32_t shard;
  uint64_t epoch;
};

/** A backend server that an owner holds. */
struct ColtShardServer
{
  uint32_t server;
  uint64_t epoch;  /**< of the server's lease */
  uint64_t shards; /**< bit N: a session for shard N is open with the lead */
};

/** A task of a shard on a backend server. */
struct ColtShardTask
{
  uint32_t server;
  struct ColtTaskReport report; /**< a result is not sent along */
};

/** What an owner counts for one team, of a shard that counts the team. */
struct ColtTeamCount
{
  uint32_t shard;
  uint32_t server; /**< 0: what belongs to the owner, not to one server */
  char team[COLT_NAME_SIZE];
  uint32_t tasks; /**< that run, or are being started */
  struct ColtResources running;
  uint32_t credits;           /**< taken and not used */
  struct ColtResources spare; /**< resources of these credits */
  uint64_t offset; /**< takes no credits computed below this offset */
};

/** A lead asks an owner for a promise and for sessions. */
struct ColtShardOpen
{
  uint32_t lead;                       /**< instance number */
  uint64_t incarnation;                /**< of the lead */
  uint64_t round;                      /**< echoed by the answer */
  const struct ColtShardEpoch *epochs; /**< a shard at most once */
  size_t epoch_count;
};

/** An owner's answer; whatever it grants holds for all servers listed. */
struct ColtShardOpened
{
  uint32_t owner;       /**< instance number */
  uint64_t incarnation; /**< of the owner */
  uint64_t round;
  uint64_t version; /**< of the owner's sessions and promises */
  int64_t stamp;    /**< the owner's clock, to be echoed */
  const struct ColtShardEpoch *epochs; /**< promised: higher means refused */
  size_t epoch_count;
  const struct ColtShardServer *servers; /**< all that are held */
  size_t server_count;
  const uint32_t *known; /**< servers that other leads have told of */
  size_t known_count;
  const struct ColtShardTask *tasks; /**< of the granted shards */
  size_t task_count;
  const struct ColtTeamCount *teams; /**< of the granted shards */
  size_t team_count;
};

/** A lead asks whether anything has changed. */
struct ColtShardConfirm
{
  uint32_t lead;
  uint64_t incarnation;
  uint64_t round;
  uint64_t owner_incarnation; /**< of the owner that gave the version */
  uint64_t version;           /**< newest heard */
  int64_t echo;               /**< newest stamp heard, 0: none */
  uint64_t shards;            /**< bit N: most of the zone backs the lead */
  uint64_t view_hash;         /**< of the servers that the lead counts */
  const uint32_t *view;       /**< these servers, if the owner lacks them */
  size_t view_count;
};

/** An owner's answer. */
struct ColtShardConfirmed
{
  uint32_t owner;
  uint64_t incarnation;
  uint64_t round;
  uint64_t version;
  int64_t stamp;
  bool unchanged; /**< as at the version that was asked about */
  bool want_view; /**< nothing is confirmed until the view is sent along */
  const struct ColtShardServer *servers; /**< unless unchanged */
  size_t server_count;
  const struct ColtShardEpoch *epochs; /**< all promises, unless unchanged */
  size_t epoch_count;
};

/* Each pack function returns a buffer to be freed with free() and sets \a size;
 * each unpack function returns false with COLT_ERROR_INVALID for input that
 * does not parse, has a number out of range, or names something twice. */

/** Packs an open. */
uint8_t *colt_shard_open_pack (const struct ColtShardOpen *open, size_t *size);
/** Unpacks an open. */
bool colt_shard_open_unpack (const uint8_t *body,
                             size_t size,
                             struct ColtShardOpen *open,
                             struct ColtError *error);
/** Frees what an unpacked open points at. */
void colt_shard_open_clear (struct ColtShardOpen *open);

/** Packs the answer to an open. */
uint8_t *colt_shard_opened_pack (const struct ColtShardOpened *opened,
                                 size_t *size);
/** Unpacks the answer to an open. */
bool colt_shard_opened_unpack (const uint8_t *body,
                               size_t size,
                               struct ColtShardOpened *opened,
                               struct ColtError *error);
/** Frees what an answer points at, unpacked or filled in by an owner. */
void colt_shard_opened_clear (struct ColtShardOpened *opened);

/** Packs a confirm. */
uint8_t *colt_shard_confirm_pack (const struct ColtShardConfirm *confirm,
                                  size_t *size);
/** Unpacks a confirm. */
bool colt_shard_confirm_unpack (const uint8_t *body,
                                size_t size,
                                struct ColtShardConfirm *confirm,
                                struct ColtError *error);
/** Frees what an unpacked confirm points at. */
void colt_shard_confirm_clear (struct ColtShardConfirm *confirm);

/** Packs the answer to a confirm. */
uint8_t *colt_shard_confirmed_pack (const struct ColtShardConfirmed *confirmed,
                                    size_t *size);
/** Unpacks the answer to a confirm. */
bool colt_shard_confirmed_unpack (const uint8_t *body,
                                  size_t size,
                                  struct ColtShardConfirmed *confirmed,
                                  struct ColtError *error);
/** Frees what an answer points at, unpacked or filled in by an owner. */
void colt_shard_confirmed_clear (struct ColtShardConfirmed *confirmed);

#endif
