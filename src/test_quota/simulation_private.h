/* Internals of struct ColtQuotaSim. */
#ifndef COLT_TEST_QUOTA_SIMULATION_PRIVATE_H
#define COLT_TEST_QUOTA_SIMULATION_PRIVATE_H

#include "simulation.h"

/* A bundle or a transfer record. */
struct ColtQuotaSimRecord
{
  bool bundle;
  unsigned zone_mask; /* of a bundle; bit N: zone N is in it */
  struct ColtQuotaAmount limits[SIM_TEAMS];
  struct ColtQuotaTransfer transfer;
  struct ColtQuotaMove move; /* the transfer's only move */
};

struct ColtQuotaSimInstance
{
  bool alive;
  bool paused;    /* skipped by sim_settle() */
  uint64_t owner; /* id of the process, never reused */
  struct ColtEntitlements *fold;
  struct ColtCreditHolder *holder;
  uint64_t owned_epoch[SIM_SERVERS]; /* last one as its owner, 0: none */
  bool unmarked_loss[SIM_SERVERS];   /* lost, but not yet marked so */
};

/* A killed owner, which leaders may still count. */
struct ColtQuotaSimKilledOwner
{
  uint64_t owner;
  uint64_t owned_epoch[SIM_SERVERS];
};

struct ColtQuotaSimTask
{
  int team;
  struct ColtQuotaAmount amount;
};

struct ColtQuotaSimServer
{
  int owner; /* instance, -1: none */
  uint64_t epoch;
  GArray *tasks; /* of struct ColtQuotaSimTask */
};

struct ColtQuotaSimLeader
{
  struct ColtCreditLeader *leader; /* NULL: the slot is free */
  uint64_t epoch;
  int instance;
};

struct ColtQuotaSimZone
{
  bool isolated;
  uint64_t epoch; /* shard epoch of the next leader */
  struct ColtQuotaSimInstance instances[SIM_INSTANCES];
  struct ColtQuotaSimServer servers[SIM_SERVERS];
  struct ColtQuotaSimLeader leaders[SIM_LEADERS];
  GArray *killed_owners;        /* of struct ColtQuotaSimKilledOwner */
  uint64_t complied[SIM_TEAMS]; /* highest offset recorded for the zone */
};

struct ColtQuotaSimMessage
{
  int zone;
  bool grant;        /* grant to an owner, otherwise report to a leader */
  uint64_t receiver; /* owner of a grant, epoch of a report */
  uint8_t *bytes;
  size_t size;
};

struct ColtQuotaSim
{
  char teams[SIM_TEAMS][COLT_NAME_SIZE];
  struct ColtQuotaSimZone zones[SIM_ZONES];
  struct ColtQuotaSimRecord records[SIM_RECORDS_MAX];
  int record_count;
  bool log_up;
  GArray *messages; /* in flight, of struct ColtQuotaSimMessage */
  GArray *delayed;  /* copies of messages, of struct ColtQuotaSimMessage */
  uint64_t last_owner;
  int64_t now_us;
  int sending_zone; /* zone whose leader or holder is being processed */
  struct ColtEntitlements *reference; /* fold of the whole log */
};

/* Callbacks of holders and leaders, with the simulation as context. */
void sim_send_report_ (void *context, const struct ColtCreditReport *report);
void sim_send_grant_ (void *context, const struct ColtCreditGrant *grant);

void sim_free_message_ (gpointer message);

/* Raises each zone's complied offsets to the highest that an instance has
 * recorded. They outlive the instances. */
void sim_update_complied_ (struct ColtQuotaSim *sim);

/* Aborts if the team's running tasks exceed sim_get_bound(). */
void sim_check_limit_ (struct ColtQuotaSim *sim, int team);

#endif
