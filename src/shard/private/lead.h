/**
 * \file
 * \brief Parts of a lead: its peers, the zone's servers, and seats.
 *
 * A peer is an instance that may own servers. A seat is what the lead has on
 * one server for one shard. Times are microseconds of the lead's own clock;
 * the order of messages is kept by round numbers, which only grow.
 */
#ifndef COLTSFOOTSTILE_SHARD_LEAD_H
#define COLTSFOOTSTILE_SHARD_LEAD_H

#include <glib.h>

#include "coltsfootstile/shard.h"

/** Confirms to one peer whose answers are still taken. */
#define COLT_LEAD_CONFIRMS_MAX 4u

/** A confirm that has been sent. */
struct ColtLeadConfirm
{
  uint64_t round; /**< 0: answered */
  int64_t sent;
};

/** What the lead knows of one instance. */
struct ColtLeadPeer
{
  uint32_t instance;
  bool is_member;
  bool is_known;        /**< claims are as at version */
  uint64_t incarnation; /**< 0: never heard */
  uint64_t version;
  int64_t stamp;
  GHashTable *claims; /**< by server, of struct ColtShardServer */
  uint64_t granted[COLT_SHARD_COUNT]; /**< epochs that it promised to us */
  uint64_t needed;                    /**< bit N: open shard N there */
  uint64_t granted_bits;              /**< bit N: shard N in its epoch */
  uint32_t backing[COLT_SHARD_COUNT]; /**< seats there that back us */

  uint64_t open_round; /**< that is open, 0: none */
  int64_t open_sent;
  uint32_t open_failures; /**< opens in a row without an answer */
  struct ColtLeadConfirm confirms[COLT_LEAD_CONFIRMS_MAX];
  uint32_t next_slot;     /**< of confirms */
  uint64_t confirm_round; /**< the newest, if it is open; 0: it isn't */
  int64_t confirm_sent;
  int64_t next_confirm;
  bool wants_view;

  int64_t answered;         /**< sending time of the newest answered message */
  int64_t confirmed;        /**< sending time of the newest answered confirm */
  uint64_t confirmed_round; /**< its round */
};

/** A backend server of the zone. */
struct ColtZoneServer
{
  uint32_t server;
  bool is_listed;
  bool was_claimed;
  uint32_t holder; /**< instance, 0: nobody claims it */
  uint64_t epoch;
  int64_t unclaimed; /**< since when nobody does; COLT_TIME_NEVER: claimed */
};

/** What the lead has on a server for a shard. */
enum ColtSeatStatus
{
  COLT_SEAT_OUT,        /**< no session */
  COLT_SEAT_GRANTED,    /**< a session is open, not checked yet */
  COLT_SEAT_JOINED,     /**< work may be sent there */
  COLT_SEAT_WRITTEN_OFF /**< nothing can run there */
};

/** A seat. */
struct ColtSeat
{
  enum ColtSeatStatus status;
  uint32_t owner;
  uint64_t server_epoch;
  bool was_joined; /**< what ran there is known */
  uint64_t since;  /**< a confirm of this round or later is fresh enough */
};

/** A shard. */
struct ColtLedShard
{
  uint32_t shard;
  enum ColtShardState state;
  uint64_t epoch;         /**< 0 while following */
  int64_t waits_until;    /**< for members that hold nothing, while opening */
  uint64_t heard;         /**< highest epoch heard of, our own included */
  uint32_t choice;        /**< instance that should lead it */
  uint64_t check_round;   /**< while checking: as since in a seat */
  int64_t majority_since; /**< COLT_TIME_NEVER: most servers are not with us */
  int64_t backed_until;   /**< while active */
  int64_t next_try;       /**< of a new epoch */
  uint32_t refusals;      /**< in a row */
  size_t out;             /**< servers without a seat, not written off */
  size_t lacking;         /**< those that a partial recount goes without */
  size_t pending;         /**< while active: seats to be checked */
  GHashTable *seats;      /**< by server, of struct ColtSeat */
};

struct ColtShardLead
{
  uint32_t instance;
  uint64_t incarnation;
  struct ColtShardTimes times;
  const struct ColtShardLeadClient *table;
  void *client;
  bool is_stopped;
  uint64_t last_round;
  GHashTable *peers;    /**< by instance, of struct ColtLeadPeer */
  GHashTable *servers;  /**< by number, of struct ColtZoneServer */
  size_t server_count;  /**< listed or claimed: most of these is a majority */
  bool is_dirty;        /**< seats have to be looked through */
  int64_t next_refresh; /**< when they have to be in any case */
  struct ColtLedShard shards[COLT_SHARD_COUNT];
};

/* lead_peer.c */

/** Returns a peer, which is made if there is none. */
struct ColtLeadPeer *colt_lead_peer (struct ColtShardLead *lead,
                                     uint32_t instance);
/** Returns a peer or NULL. */
struct ColtLeadPeer *colt_lead_find_peer (const struct ColtShardLead *lead,
                                          uint32_t instance);
/** Frees a peer. */
void colt_lead_peer_free (gpointer peer);
/** Returns until when a peer's newest answer counts. */
int64_t colt_lead_peer_expiry (const struct ColtShardLead *lead,
                               const struct ColtLeadPeer *peer);
/** Takes what a peer holds; returns false for an outdated answer. */
bool colt_lead_peer_update (struct ColtLeadPeer *peer,
                            uint64_t incarnation,
                            uint64_t version,
                            int64_t stamp,
                            const struct ColtShardServer *servers,
                            size_t count);
/** Takes a confirm's answer: finds when it was sent, and closes it with all
 * earlier ones. Returns false if it isn't open. */
bool colt_lead_close_confirm (struct ColtLeadPeer *peer,
                              uint64_t round,
                              int64_t *sent);
/** Forgets peers whose answers have expired. */
void colt_lead_expire (struct ColtShardLead *lead, int64_t now);
/** Finds who holds what. */
void colt_lead_index (struct ColtShardLead *lead, int64_t now);
/** Finds what each peer has to be asked for. */
void colt_lead_find_needs (struct ColtShardLead *lead);
/** Returns a server, which is made if there is none. */
struct ColtZoneServer *
colt_lead_server (struct ColtShardLead *lead, uint32_t server, int64_t now);
/** Sends the opens that are due. */
void colt_lead_send_opens (struct ColtShardLead *lead, int64_t now);
/** Sends the confirms that are due; at once where \a urgent or a later round
 * has not been answered. */
void colt_lead_send_confirms (struct ColtShardLead *lead,
                              uint64_t urgent,
                              int64_t now);
/** Returns when a message to a peer is due. */
int64_t colt_lead_peer_wake_time (const struct ColtShardLead *lead,
                                  const struct ColtLeadPeer *peer);

/* lead_grants.c */

/** Takes the grants of an answer, and reports what runs there. */
void colt_lead_take_grants (struct ColtShardLead *lead,
                            struct ColtLeadPeer *peer,
                            const struct ColtShardOpened *opened);

/* lead_seats.c */

/** Returns a seat, which is made if there is none. */
struct ColtSeat *colt_lead_seat (struct ColtLedShard *shard, uint32_t server);
/** Returns a seat or NULL. */
const struct ColtSeat *colt_lead_find_seat (const struct ColtLedShard *shard,
                                            uint32_t server);
/** Closes seats whose sessions are closed, and counts those that are left. */
void colt_lead_refresh_seats (struct ColtShardLead *lead,
                              struct ColtLedShard *shard);
/** Finds whether most servers are with us, and until when; returns whether
 * that has changed. */
bool colt_lead_count_majority (struct ColtShardLead *lead,
                               struct ColtLedShard *shard,
                               int64_t now);
/** Writes servers off, and counts those that are out. */
void colt_lead_write_off (struct ColtShardLead *lead,
                          struct ColtLedShard *shard,
                          int64_t now);
/** Counts servers that have never joined and are not written off. */
size_t colt_lead_count_unknown (const struct ColtLedShard *shard);
/** Returns whether all granted seats have been confirmed since a round. */
bool colt_lead_is_checked (const struct ColtShardLead *lead,
                           const struct ColtLedShard *shard);
/** Makes all granted seats joined. */
void colt_lead_join_all (struct ColtLedShard *shard);
/** Joins late seats that are checked; returns the latest round that a seat
 * still waits for, 0 if none does. */
uint64_t colt_lead_join_late (struct ColtShardLead *lead,
                              struct ColtLedShard *shard);

#endif
