/**
 * \file
 * \brief Parts of a leader: its peers, the zone's servers, and sessions.
 *
 * A peer is an instance that may own servers. A session covers one shard on
 * one server. The leader is active in a shard while it has sessions on a
 * majority of the zone's servers; each of them is a vote.
 *
 * Times are microseconds of the leader's own clock. Messages are ordered by
 * round numbers, which only grow.
 */
#ifndef COLTSFOOTSTILE_SHARD_LEADER_H
#define COLTSFOOTSTILE_SHARD_LEADER_H

#include <glib.h>

#include "coltsfootstile/shard.h"

/** Number of confirm messages to a peer, the newest ones, to which answers are
 * accepted. */
#define COLT_LEADER_CONFIRMS_MAX 4u

/** A confirm message that has been sent. */
struct ColtLeaderConfirm
{
  uint64_t round; /**< 0: answered */
  int64_t sent;
};

/** State of one instance as reported to the leader. */
struct ColtLeaderPeer
{
  uint32_t instance;
  bool is_member;
  bool claims_valid;    /**< claims are those of version */
  uint64_t incarnation; /**< 0: no answer received */
  uint64_t version;
  int64_t stamp;
  GHashTable *claims; /**< servers that the peer reports as its own, by number,
                       * of struct ColtShardServer */
  uint64_t granted[COLT_SHARD_COUNT]; /**< epochs promised to this leader */
  uint64_t shards_to_open;            /**< bit N: gets an open for shard N */
  uint64_t granted_shards;          /**< bit N: shard N granted in its epoch */
  uint32_t votes[COLT_SHARD_COUNT]; /**< sessions that count for a majority */

  uint64_t open_round; /**< round of the unanswered open message, 0: none */
  int64_t open_sent;
  uint32_t open_failures; /**< consecutive open messages without an answer */
  struct ColtLeaderConfirm confirms[COLT_LEADER_CONFIRMS_MAX];
  uint32_t next_slot;     /**< next index in confirms */
  uint64_t confirm_round; /**< round of the newest confirm, 0: answered */
  int64_t confirm_sent;
  int64_t next_confirm;
  bool needs_view; /**< the next confirm message includes the view */

  int64_t last_answered_sent;  /**< when the newest answered message was sent */
  int64_t last_confirmed_sent; /**< when the newest confirm message that the
                                * peer confirmed was sent */
  uint64_t confirmed_round;    /**< round of that confirm message */
};

/** A backend server of the zone. */
struct ColtZoneServer
{
  uint32_t server;
  bool is_listed;
  bool was_claimed;
  uint32_t claimant; /**< instance with the highest claimed epoch, 0: none */
  uint64_t epoch;
  int64_t unclaimed_since; /**< COLT_TIME_NEVER: claimed */
};

/** Status of a shard's session on a server. */
enum ColtSessionStatus
{
  COLT_SESSION_NONE,       /**< no session */
  COLT_SESSION_GRANTED,    /**< open, not yet checked */
  COLT_SESSION_JOINED,     /**< open and checked: work may be sent */
  COLT_SESSION_WRITTEN_OFF /**< no session, and no task can run there */
};

/** Session of a shard on a server. */
struct ColtServerSession
{
  enum ColtSessionStatus status;
  uint32_t owner;
  uint64_t server_epoch;
  bool was_joined;    /**< the tasks on the server have been reported */
  uint64_t min_round; /**< first round whose confirmation checks the session */
};

/** A shard. */
struct ColtLeaderShard
{
  uint32_t shard;
  enum ColtShardState state;
  uint64_t epoch;          /**< 0 while following */
  int64_t member_deadline; /**< while opening: until when members that own no
                            * server are waited for */
  uint64_t highest_epoch;  /**< highest epoch seen, own ones included */
  uint32_t designated;     /**< instance that is designated to lead */
  uint64_t check_round;    /**< while checking: first round whose confirmation
                            * checks the sessions */
  int64_t majority_since;  /**< COLT_TIME_NEVER: no majority of servers */
  int64_t majority_until;  /**< expiry of the majority */
  int64_t next_try;        /**< earliest start of a reconciliation */
  uint32_t refusals;       /**< consecutive refused epochs */
  size_t missing;          /**< servers without a session, not written off */
  size_t skippable; /**< missing servers that a partial reconciliation omits */
  size_t pending;   /**< while active: sessions that are not yet checked */
  GHashTable *sessions; /**< by server, of struct ColtServerSession */
};

struct ColtShardLeader
{
  uint32_t instance;
  uint64_t incarnation;
  struct ColtShardTimes times;
  const struct ColtShardLeaderClient *callbacks;
  void *client;
  bool is_stopped;
  uint64_t last_round;
  GHashTable *peers;    /**< by instance, of struct ColtLeaderPeer */
  GHashTable *servers;  /**< by number, of struct ColtZoneServer */
  size_t server_count;  /**< listed or claimed servers: base of majorities */
  bool is_dirty;        /**< sessions must be refreshed */
  int64_t next_refresh; /**< when sessions are refreshed at the latest */
  struct ColtLeaderShard shards[COLT_SHARD_COUNT];
};

/* leader_peer.c */

/** Returns a peer, which is created if there is none. */
struct ColtLeaderPeer *colt_leader_get_peer (struct ColtShardLeader *leader,
                                             uint32_t instance);
/** Returns a peer or NULL. */
struct ColtLeaderPeer *
colt_leader_find_peer (const struct ColtShardLeader *leader, uint32_t instance);
/** Frees a peer. */
void colt_leader_peer_free (gpointer peer);
/** Returns when a peer's newest answer expires. */
int64_t colt_leader_peer_expiry (const struct ColtShardLeader *leader,
                                 const struct ColtLeaderPeer *peer);
/** Replaces the claims of a peer; returns false for an outdated answer. */
bool colt_leader_peer_set_claims (struct ColtLeaderPeer *peer,
                                  uint64_t incarnation,
                                  uint64_t version,
                                  int64_t stamp,
                                  const struct ColtShardServer *servers,
                                  size_t count);
/** Closes the confirm message of an answered round and all earlier ones, and
 * sets \a sent to when it was sent. Returns false if the message isn't open. */
bool colt_leader_close_confirm (struct ColtLeaderPeer *peer,
                                uint64_t round,
                                int64_t *sent);
/** Invalidates the claims of peers whose answers have expired, and removes
 * peers without valid claims that aren't members. */
void colt_leader_expire_peers (struct ColtShardLeader *leader, int64_t now);
/** Updates which peer claims each server, and the number of servers. */
void colt_leader_update_claimants (struct ColtShardLeader *leader, int64_t now);
/** Updates which shards each peer has granted and for which it gets an open
 * message. */
void colt_leader_select_opens (struct ColtShardLeader *leader);
/** Returns a server, which is created if there is none. */
struct ColtZoneServer *colt_leader_get_server (struct ColtShardLeader *leader,
                                               uint32_t server,
                                               int64_t now);
/** Sends the open messages that are due. */
void colt_leader_send_opens (struct ColtShardLeader *leader, int64_t now);
/** Sends the confirm messages that are due. One is due immediately for a peer
 * that has neither confirmed nor been sent round \a urgent_round or a later
 * one. */
void colt_leader_send_confirms (struct ColtShardLeader *leader,
                                uint64_t urgent_round,
                                int64_t now);
/** Returns when a message to a peer is due. */
int64_t colt_leader_peer_wake_time (const struct ColtShardLeader *leader,
                                    const struct ColtLeaderPeer *peer);

/* leader_grants.c */

/** Records the sessions that an answer grants, and passes its reports to the
 * client. */
void colt_leader_apply_grants (struct ColtShardLeader *leader,
                               struct ColtLeaderPeer *peer,
                               const struct ColtShardOpened *opened);

/* leader_sessions.c */

/** Returns a session, which is created if there is none. */
struct ColtServerSession *
colt_leader_get_session (struct ColtLeaderShard *shard, uint32_t server);
/** Returns a session or NULL. */
const struct ColtServerSession *
colt_leader_find_session (const struct ColtLeaderShard *shard, uint32_t server);
/** Removes sessions that their owners have closed, and counts the others. */
void colt_leader_refresh_sessions (struct ColtShardLeader *leader,
                                   struct ColtLeaderShard *shard);
/** Updates whether the shard has a majority of servers, and until when; returns
 * whether it has gained or lost the majority. */
bool colt_leader_update_majority (struct ColtShardLeader *leader,
                                  struct ColtLeaderShard *shard,
                                  int64_t now);
/** Writes off unreachable servers, and counts those that are missing. */
void colt_leader_write_off_servers (struct ColtShardLeader *leader,
                                    struct ColtLeaderShard *shard,
                                    int64_t now);
/** Returns the number of servers that have not joined in this epoch and are not
 * written off. */
size_t colt_leader_count_unknown (const struct ColtLeaderShard *shard);
/** Returns whether all peers with sessions have confirmed the check round. */
bool colt_leader_is_checked (const struct ColtShardLeader *leader,
                             const struct ColtLeaderShard *shard);
/** Marks all granted sessions as joined. */
void colt_leader_join_sessions (struct ColtLeaderShard *shard);
/** Marks granted sessions of an active shard as joined if they are checked;
 * returns the latest round that a session still needs, 0 if there is none. */
uint64_t colt_leader_join_late_sessions (struct ColtShardLeader *leader,
                                         struct ColtLeaderShard *shard);

#endif
