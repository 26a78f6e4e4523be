/**
 * \file
 * \brief What the parts of the zone model share.
 */
#ifndef COLTSFOOTSTILE_ZONE_INTERNAL_H
#define COLTSFOOTSTILE_ZONE_INTERNAL_H

#include <glib.h>
#include <inttypes.h>

#include "coltsfootstile/clock.h"
#include "zone_model.h"
#include "zone_server.h"

#define MS(n) ((n)*COLT_US_PER_MS)

enum ColtZoneEventKind
{
  EVENT_TO_SERVER,
  EVENT_FROM_SERVER,
  EVENT_CALL_TIMEOUT,
  EVENT_PEER,
  EVENT_RESTART,
  EVENT_SEE_ALL
};

enum ColtZonePeerKind
{
  PEER_OPEN,
  PEER_OPENED,
  PEER_CONFIRM,
  PEER_CONFIRMED,
  PEER_START
};

struct ColtZoneEvent
{
  int64_t at;
  uint64_t order;
  enum ColtZoneEventKind kind;
  uint32_t instance;    /* that it is for, or that called a server */
  uint64_t incarnation; /* that it is for, 0: whichever runs */
  uint32_t from;
  enum ColtZonePeerKind peer_kind;
  uint8_t *body;
  size_t size;
  struct ColtZoneCall call;
  struct ColtZoneAnswer answer;
  struct ColtTaskStart start;
  uint32_t server;
  uint64_t server_epoch;
};

struct ColtZoneLeaseRef
{
  struct ColtZoneInstance *instance;
  uint32_t server;
};

struct ColtZoneInstance
{
  struct ColtZone *zone;
  uint32_t number;
  bool is_alive;
  bool is_stopping;
  bool is_blind;
  uint64_t incarnation;
  int64_t changed_at; /* when it started or died */
  int64_t paused_until;
  int64_t cut_until;
  int64_t offset;
  int64_t ppm;
  int64_t next_start;
  int64_t next_task_renew;
  bool lists_last; /* whether its list has the last server yet */
  struct ColtServerLease *leases[COLT_ZONE_SERVERS + 1];
  struct ColtZoneLeaseRef refs[COLT_ZONE_SERVERS + 1];
  GHashTable *known[COLT_ZONE_SERVERS + 1]; /* task -> shard + 1 */
  struct ColtShardOwner *owner;
  struct ColtShardLeader *lead;
  GHashTable *reports[COLT_SHARD_COUNT][COLT_ZONE_SERVERS + 1]; /* of tasks */
  GHashTable *sent[COLT_SHARD_COUNT]; /* tasks started in this epoch */
};

struct ColtZoneLeader
{
  uint32_t instance;
  uint64_t epoch;
};

struct ColtZone
{
  struct ColtZonePlan plan;
  GRand *random;
  int64_t now;
  int64_t next_tick;
  uint64_t last_order;
  uint64_t last_incarnation;
  uint32_t last_task;
  uint32_t rotating_shard;
  int64_t starts;
  int64_t recounts;
  int64_t confirm_bytes;
  GPtrArray *events; /* of struct ColtZoneEvent */
  struct ColtZoneInstance instances[COLT_ZONE_INSTANCES + 1];
  struct ColtZoneServerModel *servers[COLT_ZONE_SERVERS + 1];
  struct ColtZoneLeader latest[COLT_SHARD_COUNT]; /* recount completed last */
};

/* zone_model.c */

/** Returns what an instance's clock shows. */
int64_t colt_zone_local (const struct ColtZoneInstance *instance, int64_t now);
/** Returns the earliest time at which an instance's clock shows \a local. */
int64_t colt_zone_real (const struct ColtZoneInstance *instance, int64_t local);
/** Returns true so many times in a thousand. */
bool colt_zone_draw (struct ColtZone *zone, int permille);
/** Ends the process: a promise is broken. */
void colt_zone_broken (const struct ColtZone *zone, const char *what);
/** Sends a message, which may be lost, doubled or late. */
void colt_zone_post (struct ColtZone *zone, const struct ColtZoneEvent *event);
/** Lets an event come after a delay. */
void colt_zone_schedule (struct ColtZone *zone,
                         const struct ColtZoneEvent *event,
                         int64_t delay);

/* zone_instance.c */

/** Starts an instance with nothing kept. */
void colt_zone_boot (struct ColtZoneInstance *instance);
/** Ends an instance. */
void colt_zone_halt (struct ColtZoneInstance *instance);
/** Returns when an instance has something to do. */
int64_t colt_zone_wake_time (const struct ColtZoneInstance *instance);
/** Lets an instance do what is due. */
void colt_zone_process (struct ColtZoneInstance *instance);
/** Gives an instance the answer of a server. */
void colt_zone_take_answer (struct ColtZoneInstance *instance,
                            const struct ColtZoneEvent *event);
/** Gives an instance the message of another. */
void colt_zone_take_message (struct ColtZoneInstance *instance,
                             const struct ColtZoneEvent *event);

/* zone_oracle.c */

/** Checks what must hold at any moment. */
void colt_zone_check (struct ColtZone *zone);
/** Returns whether a lead is the newest, or a session of it is open anywhere.
 * One that is neither has been replaced and will find out; what it believes
 * until then does no harm. */
bool colt_zone_is_backed (struct ColtZoneInstance *instance, uint32_t shard);
/** Checks that a lead knows all that runs for a shard on a server. */
void colt_zone_check_reported (struct ColtZoneInstance *instance,
                               uint32_t shard,
                               uint32_t server,
                               const char *what);
/** Checks a start that a server has taken: one that another lead sent must
 * have been in the report that the last lead got. */
void colt_zone_check_landing (struct ColtZone *zone,
                              const struct ColtZoneTask *task);

#endif
