/* Internal interfaces of the scheduler's modules. */
#ifndef COLT_SCHEDULER_PRIVATE_H
#define COLT_SCHEDULER_PRIVATE_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "coltsfootstile/ports.h"
#include "coltsfootstile/scheduler.h"
#include "coltsfootstile/wire.h"
#include "metrics.h"

/* Time without a renewal after which another instance claims the next term if
 * the leader's process seems to have ended. */
#define COLT_SUSPECT_TIMEOUT_US (600 * COLT_US_PER_MS)

/* How long a leader may be confirmed by instances after the log has last
 * confirmed it: the longest outage of the log in which leases are renewed. */
#define COLT_EXTENSION_MAX_US (20 * COLT_US_PER_S)
/* How long an instance relies on a heartbeat that reached the leader: the
 * leader isn't confirmed without it, so that a claim needs no longer wait for
 * the leader's leases. */
#define COLT_CONTACT_MAX_US (8 * COLT_US_PER_S)

/* Kinds of messages between instances. */
enum
{
  MESSAGE_HEARTBEAT = COLT_WIRE_SHARD_FIRST + 50,
  MESSAGE_CALLER,
  MESSAGE_ADVICE,
  MESSAGE_CONFIG,
  MESSAGE_CONFIG_NOTICE
};

/* Returns the number of the instance at IP:PORT: its IPv4 address in host byte
 * order, or 1 if the address contains none. */
uint32_t colt_scheduler_instance_number (const char *address);
/* Returns the answer to a request for which an answer is proposed. A rejection
 * says that the job never runs; after an attempt that a leader may have
 * accepted nothing can say so, whatever the newest configuration allows. */
enum ColtAnswerKind colt_scheduler_final_answer (enum ColtCallerKind kind,
                                                 enum ColtAnswerKind answer,
                                                 bool maybe_applied);
/* Returns how long a leader that was named by the one before it leads before it
 * may yield because it is slow, given how long the one before it led. */
int64_t colt_scheduler_yield_after_us (int64_t previous_led_us);

/* ---- watch.c: follows a topic of the log ---- */

struct ColtWatch;

/* Why the last read of a watch failed. */
enum ColtWatchTrouble
{
  COLT_WATCH_TROUBLE_NONE, /* it was answered, or none has ended yet */
  COLT_WATCH_UNREACHABLE,  /* there was no connection */
  COLT_WATCH_REJECTED,     /* the log answered that it wasn't done */
  COLT_WATCH_NO_ANSWER,    /* nothing of an answer arrived in time */
  COLT_WATCH_INCOMPLETE    /* a part of the answer arrived in time */
};

/* Names of enum ColtWatchTrouble, indexed by it. */
extern const char *const colt_watch_trouble_string[];

struct ColtWatchClient
{
  /* Handles a record, the newest of its key. Records with an unreadable key
   * are left out. */
  void (*handle_record) (void *client, const struct ColtLogRecord *record);
  /* The newest records of all keys have been read. Keys without a record in
   * that read don't exist. NULL is allowed. */
  void (*handle_synced) (void *client);
  void *client;
};

struct ColtWatchTimes
{
  uint32_t wait_ms;  /* longest wait of a read for a record; an unresponsive
                        connection is noticed soon after it */
  uint32_t pause_ms; /* between an answer with records and the next read */
  /* After a read that failed or was late, the newest records of all keys are
   * read instead if the topic has at least this many unread ones; 0: never. */
  uint32_t skip_records;
};

struct ColtWatch *colt_watch_create (struct event_base *base,
                                     const struct ColtPorts *ports,
                                     enum ColtTopic topic,
                                     const struct ColtWatchTimes *times,
                                     const struct ColtWatchClient *client);
void colt_watch_destroy (struct ColtWatch *watch);
/* Returns the offset up to which the topic has been read. */
int64_t colt_watch_end (const struct ColtWatch *watch);
/* Returns false until the newest records of all keys have been read, and again
 * while they are reread because records have expired. */
bool colt_watch_is_synced (const struct ColtWatch *watch);
/* Returns whether a record that is being handled hasn't been handled before, in
 * an earlier read of all keys. */
bool colt_watch_is_new (const struct ColtWatch *watch,
                        const struct ColtLogRecord *record);
/* Returns when the log last answered; 0: never. */
int64_t colt_watch_reached_us (const struct ColtWatch *watch);
/* Returns when the log answered for the first time since the last failure; 0 if
 * it never answered, COLT_TIME_NEVER if the last call failed. */
int64_t colt_watch_healthy_since_us (const struct ColtWatch *watch);
/* Returns when the read was sent that last reached the end of the topic: all
 * records that were acknowledged before it have been handled. 0: never, or the
 * topic is being reread for the first time. */
int64_t colt_watch_current_us (const struct ColtWatch *watch);
enum ColtWatchTrouble colt_watch_trouble (const struct ColtWatch *watch);
/* Reads immediately unless a read is open. */
void colt_watch_read_now (struct ColtWatch *watch);

/* ---- evacuations.c: availability zones that the operator evacuates ---- */

struct ColtEvacuations;

/* A record of a zone. */
struct ColtEvacuationRecord
{
  const char *zone;
  bool evacuated; /* false: the request was deleted */
  bool full_read; /* it is read in a full read of the topic */
  int64_t offset; /* of the record */
};

/* Receives a zone, and when its evacuation was first read; it may not change
 * the set. */
typedef void (*ColtEvacuationHandler) (void *client,
                                       const char *zone,
                                       int64_t since_us);

struct ColtEvacuations *colt_evacuations_create (void);
void colt_evacuations_destroy (struct ColtEvacuations *evacuations);
/* Applies a record of a zone; returns whether that changed the set. */
bool colt_evacuations_apply (struct ColtEvacuations *evacuations,
                             const struct ColtEvacuationRecord *record,
                             int64_t now_us);
/* Ends a full read of the topic: passes the zones that it didn't list to handle
 * and removes them. Until then they stay in force. */
void colt_evacuations_finish_read (struct ColtEvacuations *evacuations,
                                   ColtEvacuationHandler handle,
                                   void *client);
/* Passes each zone to handle. */
void colt_evacuations_list (const struct ColtEvacuations *evacuations,
                            ColtEvacuationHandler handle,
                            void *client);

/* ---- election.c: elects the leader ---- */

struct ColtElection;

struct ColtElectionClient
{
  /* This instance has become the leader. */
  void (*handle_elected) (void *client, uint64_t term);
  /* This instance is no longer the leader. */
  void (*handle_deposed) (void *client);
  /* The log has a record of another term, or of a leader that has left. */
  void (*handle_leader_change) (void *client);
  /* Adds the numbers of the instances on whose word this leader relies while
   * the log doesn't answer, in ascending order. */
  void (*list_followers) (void *client, GArray *instances);
  void *client;
};

struct ColtElection *
colt_election_create (struct event_base *base,
                      const struct ColtPorts *ports,
                      const struct ColtSchedulerSettings *settings,
                      const struct ColtElectionClient *client);
void colt_election_destroy (struct ColtElection *election);
/* Gives up leadership and stops taking part in elections. The instance with the
 * number successor claims the next term immediately, others after a delay. If
 * it is 0, stronger instances claim first. */
void colt_election_leave (struct ColtElection *election, uint32_t successor);
/* Gives up leadership as colt_election_leave() does, but keeps taking part in
 * elections; returns false unless this instance is the leader. */
bool colt_election_yield (struct ColtElection *election, uint32_t successor);
/* Records that a later term exists: this instance stops leading. */
void colt_election_set_fenced (struct ColtElection *election);
/* Sets whether the leader's process seems to have ended, which shortens the
 * timeout for a claim. */
void colt_election_set_suspect (struct ColtElection *election, bool suspect);
bool colt_election_is_suspect (const struct ColtElection *election);
/* Returns whether the log rejected the last renewal. */
bool colt_election_renewal_rejected (const struct ColtElection *election);
bool colt_election_is_leader (const struct ColtElection *election);
/* Returns whether this instance leads and doesn't give up leadership. */
bool colt_election_is_renewing (const struct ColtElection *election);
/* Returns whether this instance last claimed as the successor that a leaving
 * leader named. */
bool colt_election_was_named (const struct ColtElection *election);
/* Records that a heartbeat, sent at sent_us, has reached the leader of a term.
 */
void colt_election_set_contact (struct ColtElection *election,
                                uint64_t term,
                                int64_t sent_us);
/* Returns the numbers (uint32_t) of the instances that this leader's claims
 * have listed: they may claim the next term without a longer wait. */
const GArray *
colt_election_claimed_followers (const struct ColtElection *election);
/* Returns how much longer instances may confirm leaders before this one. */
int64_t colt_election_extension_us (const struct ColtElection *election);
/* Returns the highest term that this instance has seen. */
uint64_t colt_election_term (const struct ColtElection *election);
/* Returns ADDRESS:PORT of the leader; NULL if there is none. */
const char *colt_election_leader (const struct ColtElection *election);
/* Returns when the last successful renewal was sent; 0: never. */
int64_t colt_election_confirmed_us (const struct ColtElection *election);
/* Returns when the log last answered; 0: never. */
int64_t colt_election_reached_us (const struct ColtElection *election);

/* ---- commit.c: makes a cell's changes durable ---- */

struct ColtCommit;
struct ColtLoadMeter;

typedef void (*ColtCommitDone) (void *client, bool durable);

struct ColtCommitClient
{
  /* A batch is durable. */
  void (*handle_committed) (void *client);
  /* The log has rejected a batch for good, as it does once a later leader has
   * written. */
  void (*handle_fenced) (void *client);
  void *client;
};

/* meter: gets the time that batches take; may be NULL. */
struct ColtCommit *colt_commit_create (struct event_base *base,
                                       const struct ColtPorts *ports,
                                       struct ColtCell *cell,
                                       uint64_t term,
                                       const struct ColtCommitClient *client,
                                       struct ColtMetrics *metrics,
                                       struct ColtLoadMeter *meter);
void colt_commit_destroy (struct ColtCommit *commit);
/* Schedules a batch with the cell's changes, to be sent in at most within_ms
 * unless another batch is open. */
void colt_commit_schedule (struct ColtCommit *commit, uint32_t within_ms);
/* Calls back once all present changes are durable; with durable false if the
 * commit is destroyed before that. */
void
colt_commit_wait (struct ColtCommit *commit, ColtCommitDone done, void *client);
/* Returns the time since the open batch was first sent; 0 if there is none. */
int64_t colt_commit_batch_age_us (const struct ColtCommit *commit);

/* ---- server_link.c: renews leases on one backend server and sends it orders
 * to start and stop runs ---- */

struct ColtServerLink;
struct ColtLeader;

struct ColtServerLinkClient
{
  /* Handles the server's report of its running and ended runs. */
  void (*handle_report) (void *client,
                         struct ColtServerLink *link,
                         const struct ColtServerReport *report);
  /* Handles the result of a start. next_call is the number of the next call
   * that requests the server's report: reports of earlier calls may be older
   * than the start. */
  void (*handle_start_result) (void *client,
                               struct ColtServerLink *link,
                               const char *task,
                               uint32_t run,
                               enum ColtStartResult result,
                               uint64_t next_call);
  /* Handles the result of a stop; answered is false if the server gave no
   * definite answer. next_call is the number of the next call that requests the
   * server's report: reports of earlier calls may be older than the stop. */
  void (*handle_stop_result) (void *client,
                              struct ColtServerLink *link,
                              const char *task,
                              uint32_t run,
                              bool answered,
                              uint64_t next_call);
  /* The server can't be reached. */
  void (*handle_unreachable) (void *client, struct ColtServerLink *link);
  /* Runs on the server have ended. */
  void (*handle_runs_lost) (void *client,
                            struct ColtServerLink *link,
                            const struct ColtServerLoss *loss);
  /* The server follows a later leader. */
  void (*handle_fenced) (void *client, struct ColtServerLink *link);
  /* The server has left a call unanswered, and is to get no more starts, or has
   * answered again. */
  void (*handle_suspected) (void *client,
                            struct ColtServerLink *link,
                            bool suspected);
  /* Returns the latest end that a lease may get, on the monotonic clock. */
  int64_t (*renewable_until_us) (void *client);
  /* Returns how many runs the server has or may have. */
  size_t (*count_runs) (void *client, const char *server);
  /* Returns whether the server runs work with little time left to its deadline,
   * so that ends of runs must be reported soon. */
  bool (*has_tight_runs) (void *client, const char *server);
  /* Returns whether a start that has waited may be sent: its run hasn't ended,
   * and isn't being stopped. */
  bool (*may_start) (void *client,
                     const char *server,
                     const char *task,
                     uint32_t run);
  void *client;
};

struct ColtSuspicion;

struct ColtServerLinkSettings
{
  uint64_t token;       /* fencing token: the leader's term */
  int64_t lease_ms;     /* longest duration of a lease */
  int64_t lease_max_ms; /* longest one that a server grants */
  /* When all leases of earlier leaders have certainly ended; 0: there were
   * none. */
  int64_t inherited_until_us;
  /* Shared by all links; NULL: start orders aren't limited. */
  struct ColtOrderWindow *window;
  /* Shared by all links; NULL: servers aren't suspected. */
  struct ColtSuspicion *suspicion;
};

struct ColtServerLink *
colt_server_link_create (const struct ColtPorts *ports,
                         const struct ColtServerLinkSettings *settings,
                         const char *id,
                         const char *address,
                         const struct ColtServerLinkClient *client);
void colt_server_link_destroy (struct ColtServerLink *link);
const char *colt_server_link_id (const struct ColtServerLink *link);
const char *colt_server_link_address (const struct ColtServerLink *link);
void colt_server_link_start (struct ColtServerLink *link,
                             const struct ColtStartOrder *order);
void colt_server_link_stop (struct ColtServerLink *link,
                            const char *task,
                            uint32_t run);
/* Records that the ends of runs up to a number are durable, so that this
 * incarnation of the server may forget them. */
void colt_server_link_ack_ends (struct ColtServerLink *link,
                                int64_t incarnation_ms,
                                uint64_t number);
/* Returns the start of the server's incarnation; 0: unknown. */
int64_t colt_server_link_incarnation_ms (const struct ColtServerLink *link);
/* Handles that the server's entry shows a start; a later one than the reports
 * have shown requires a report. */
void colt_server_link_set_entry_start (struct ColtServerLink *link,
                                       int64_t incarnation_ms);
/* Sets whether the server has an entry in the log. A server without one is only
 * called while it may have runs. */
void colt_server_link_set_listed (struct ColtServerLink *link, bool listed);
/* Sets whether the server's zone is evacuated. If it is, starts that wait are
 * withdrawn, and a server that has reported isn't called while it has no runs.
 */
void colt_server_link_set_evacuated (struct ColtServerLink *link,
                                     bool evacuated);
/* Renews leases when they are due and detects expired ones; to be called
 * periodically. */
void colt_server_link_tick (struct ColtServerLink *link, int64_t now_us);

/* ---- leader.c: schedules jobs while this instance is the leader ---- */

struct ColtLeaderClient
{
  /* A later leader has fenced this one. */
  void (*handle_fenced) (void *client);
  /* Sends a call for advice through an available instance; returns false if
   * there is none. The number identifies it among the calls of all terms. */
  bool (*send_advice_call) (void *client,
                            uint64_t number,
                            const ColtAdviceCall *call);
  void *client;
};

typedef void (*ColtLeaderReply) (void *client, const ColtCallerReply *reply);

struct ColtLeader *
colt_leader_create (struct event_base *base,
                    const struct ColtPorts *ports,
                    const struct ColtSchedulerSettings *settings,
                    uint64_t term,
                    const struct ColtLeaderClient *client,
                    struct ColtMetrics *metrics);
void colt_leader_destroy (struct ColtLeader *leader);
void colt_leader_set_fleet (struct ColtLeader *leader, struct ColtFleet *fleet);
/* Sets the watch of the operator's topic, which has to outlive the leader:
 * nothing is placed or started unless it was read to its end recently. Without
 * one the leader starts tasks at any time. */
void colt_leader_set_operator_watch (struct ColtLeader *leader,
                                     const struct ColtWatch *watch);
/* Sets whether an availability zone is evacuated. */
void colt_leader_set_evacuated (struct ColtLeader *leader,
                                const char *zone,
                                bool evacuated);
/* Sets how much longer than this leader's creation instances may confirm
 * leaders before it, whose leases last that much longer. To be called before
 * the event loop runs. */
void colt_leader_set_extension (struct ColtLeader *leader,
                                int64_t extension_us);
/* Sets the time up to which the log has confirmed that the leader is the only
 * one. Leases end at most one lease duration after it, as a later leader waits
 * that long. */
void colt_leader_set_confirmed (struct ColtLeader *leader,
                                int64_t confirmed_us);
/* Sets a later time up to which no later leader was elected, for the end of
 * leases only: one may have accepted jobs since then. */
void colt_leader_extend_leases (struct ColtLeader *leader, int64_t followed_us);
/* Handles a caller's call; sets call->spec to NULL if it takes ownership of it.
 * Calls reply exactly once, at the latest while the leader is destroyed. */
void colt_leader_handle_call (struct ColtLeader *leader,
                              ColtCallerCall *call,
                              ColtLeaderReply reply,
                              void *client);
/* Handles the reply to a call for advice, given by its number; NULL if the call
 * failed. Calls of earlier leaders are ignored. */
void colt_leader_handle_advice (struct ColtLeader *leader,
                                uint64_t number,
                                const ColtAdviceReply *reply);
struct ColtCell *colt_leader_cell (struct ColtLeader *leader);
bool colt_leader_is_serving (const struct ColtLeader *leader);
/* Returns whether the cell has all accepted jobs: they are loaded, and no other
 * leader can have accepted any until shortly before. */
bool colt_leader_knows_jobs (const struct ColtLeader *leader, int64_t now_us);
/* Returns the recent speed of the leader's event loop: greater than 0, at
 * most 1. */
double colt_leader_speed (const struct ColtLeader *leader);

#endif
