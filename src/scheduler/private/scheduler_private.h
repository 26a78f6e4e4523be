/* Parts of an instance; shared by the files of this package only. */
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

/* Kinds of messages between instances. */
enum
{
  MESSAGE_BEAT = COLT_WIRE_SHARD_FIRST + 50,
  MESSAGE_CALLER,
  MESSAGE_ADVICE
};

/* The number that stands for IP:PORT among instances. */
uint32_t colt_scheduler_instance_of (const char *address);

/* ---- watch.c: follows a topic of the log ---- */

struct ColtWatch;

struct ColtWatchClient
{
  /* Takes a record, newest of its key. */
  void (*record) (void *client, const struct ColtLogRecord *record);
  /* All keys were read from the start: what wasn't seen doesn't exist. */
  void (*synced) (void *client);
  void *client;
};

struct ColtWatchTimes
{
  uint32_t wait_ms;  /* longest wait of a read; a connection that has gone
                        silent is noticed soon after it */
  uint32_t pause_ms; /* between an answer with records and the next read */
};

struct ColtWatch *colt_watch_create (struct event_base *base,
                                     const struct ColtPorts *ports,
                                     enum ColtTopic topic,
                                     const struct ColtWatchTimes *times,
                                     const struct ColtWatchClient *client);
void colt_watch_destroy (struct ColtWatch *watch);
/* Where the topic ended, as far as it was read. */
int64_t colt_watch_end (const struct ColtWatch *watch);
/* When the log last answered; 0: never. */
int64_t colt_watch_reached_us (const struct ColtWatch *watch);
/* Since when every call was answered; COLT_TIME_NEVER if the last failed. */
int64_t colt_watch_steady_us (const struct ColtWatch *watch);
/* Reads at once. */
void colt_watch_hurry (struct ColtWatch *watch);

/* ---- election.c: who leads ---- */

struct ColtElection;

struct ColtElectionClient
{
  /* This instance leads from now on. */
  void (*elected) (void *client, uint64_t term);
  /* It doesn't any more. */
  void (*deposed) (void *client);
  /* Another lead is known. */
  void (*changed) (void *client);
  void *client;
};

struct ColtElection *
colt_election_create (struct event_base *base,
                      const struct ColtPorts *ports,
                      const struct ColtSchedulerSettings *settings,
                      const struct ColtElectionClient *client);
void colt_election_destroy (struct ColtElection *election);
/* Gives up the lead, or stops taking part. The instance named as successor
 * claims the lead at once, others after a while; 0: the stronger claim first.
 */
void colt_election_leave (struct ColtElection *election, uint32_t successor);
/* Gives up the lead in the same way, to take part again later; false if it is
 * given up already. */
bool colt_election_yield (struct ColtElection *election, uint32_t successor);
/* A later term was seen somewhere. */
void colt_election_fenced (struct ColtElection *election);
/* Whether the lead's process seems to have ended; a claim comes sooner then. */
void colt_election_suspect (struct ColtElection *election, bool suspect);
bool colt_election_is_suspect (const struct ColtElection *election);
/* Whether the log turned away the last renewal. */
bool colt_election_is_refused (const struct ColtElection *election);
bool colt_election_leads (const struct ColtElection *election);
uint64_t colt_election_term (const struct ColtElection *election);
/* ADDRESS:PORT of the lead; NULL when there is none. */
const char *colt_election_lead (const struct ColtElection *election);
/* When the renewal that last succeeded was sent; 0: never. */
int64_t colt_election_confirmed_us (const struct ColtElection *election);
int64_t colt_election_reached_us (const struct ColtElection *election);

/* ---- commit.c: makes a cell's changes durable ---- */

struct ColtCommit;

typedef void (*ColtCommitDone) (void *client, bool durable);

struct ColtCommitClient
{
  void (*committed) (void *client);
  void (*fenced) (void *client);
  void *client;
};

struct ColtCommit *colt_commit_create (struct event_base *base,
                                       const struct ColtPorts *ports,
                                       struct ColtCell *cell,
                                       uint64_t term,
                                       const struct ColtCommitClient *client,
                                       struct ColtMetrics *metrics);
void colt_commit_destroy (struct ColtCommit *commit);
/* Flushes what is dirty soon. */
void colt_commit_soon (struct ColtCommit *commit, uint32_t within_ms);
/* Calls back once all that is dirty now is durable; not at all if the commit
 * is destroyed before. */
void
colt_commit_wait (struct ColtCommit *commit, ColtCommitDone done, void *client);
/* Returns how long the batch on its way has been waiting, 0 if none is. */
int64_t colt_commit_age_us (const struct ColtCommit *commit);

/* ---- server_link.c: calls to one backend server ---- */

struct ColtServerLink;
struct ColtLead;

struct ColtServerLinkClient
{
  void (*reported) (void *client,
                    struct ColtServerLink *link,
                    const struct ColtServerReport *report);
  void (*started) (void *client,
                   struct ColtServerLink *link,
                   const char *task,
                   uint32_t run,
                   enum ColtStartResult result,
                   uint64_t asked);
  void (*stopped) (void *client,
                   struct ColtServerLink *link,
                   const char *task,
                   uint32_t run,
                   bool answered,
                   uint64_t asked);
  /* Can't be reached now. */
  void (*dark) (void *client, struct ColtServerLink *link);
  /* Nothing of before runs there any more. */
  void (*emptied) (void *client, struct ColtServerLink *link);
  /* It follows a later lead. */
  void (*fenced) (void *client, struct ColtServerLink *link);
  /* Until when leases may be renewed, on the monotonic clock. */
  int64_t (*renewable_until_us) (void *client);
  size_t (*runs_on) (void *client, const char *server);
  /* Whether it runs something whose end is waited for. */
  bool (*is_tight) (void *client, const char *server);
  void *client;
};

/* What a link's calls and leases are bounded by. */
struct ColtServerLinkBounds
{
  uint64_t token;
  int64_t lease_ms;
};

struct ColtServerLink *
colt_server_link_create (const struct ColtPorts *ports,
                         const struct ColtServerLinkBounds *bounds,
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
/* Ends up to this number of an incarnation are durable. */
void colt_server_link_take_note (struct ColtServerLink *link,
                                 int64_t born_ms,
                                 uint64_t number);
int64_t colt_server_link_born_ms (const struct ColtServerLink *link);
/* The server's entry can be found; a server without one is only looked at
 * while it may run something. */
void colt_server_link_set_listed (struct ColtServerLink *link, bool listed);
/* Looks, and finds leases that have ended, when it is time to; to be called
 * often. */
void colt_server_link_tick (struct ColtServerLink *link, int64_t now_us);

/* ---- lead.c: what the lead does ---- */

struct ColtLeadClient
{
  void (*fenced) (void *client);
  /* Asks advice through any instance; false: none is free. */
  bool (*advise) (void *client, const ColtAdviceCall *call);
  void *client;
};

typedef void (*ColtLeadReply) (void *client, const ColtCallerReply *reply);

struct ColtLead *colt_lead_create (struct event_base *base,
                                   const struct ColtPorts *ports,
                                   const struct ColtSchedulerSettings *settings,
                                   uint64_t term,
                                   const struct ColtLeadClient *client,
                                   struct ColtMetrics *metrics);
void colt_lead_destroy (struct ColtLead *lead);
void colt_lead_set_fleet (struct ColtLead *lead, struct ColtFleet *fleet);
/* Until when it is sure to be the only lead. */
void colt_lead_set_confirmed (struct ColtLead *lead, int64_t until_us);
/* Takes over call->spec. The reply comes exactly once, also while the lead is
 * destroyed. */
void colt_lead_call (struct ColtLead *lead,
                     ColtCallerCall *call,
                     ColtLeadReply reply,
                     void *client);
void colt_lead_take_advice (struct ColtLead *lead,
                            const ColtAdviceCall *call,
                            const ColtAdviceReply *reply);
struct ColtCell *colt_lead_cell (struct ColtLead *lead);
bool colt_lead_is_serving (const struct ColtLead *lead);
/* Part of its speed at which its loop runs, above 0 to 1. */
double colt_lead_speed (const struct ColtLead *lead);

#endif
