/* Insides of struct ColtWorld, shared by its files. */
#ifndef COLT_TEST_QUOTA_WORLD_PRIVATE_H
#define COLT_TEST_QUOTA_WORLD_PRIVATE_H

#include "simulation.h"

struct ColtWorldRecord
{
  bool bundle;
  unsigned zone_mask;
  struct ColtQuotaAmount limits[WORLD_TEAMS];
  struct ColtQuotaTransfer transfer;
  struct ColtQuotaMove move;
};

struct ColtWorldInstance
{
  bool alive;
  bool paused; /* left out by world_settle() */
  uint64_t owner;
  struct ColtEntitlements *fold;
  struct ColtCreditHolder *holder;
  uint64_t held[WORLD_SERVERS];  /* epoch at which it last held it */
  bool unnoticed[WORLD_SERVERS]; /* has lost it and doesn't know */
};

/* An owner that is gone but may still be counted. */
struct ColtWorldGone
{
  uint64_t owner;
  uint64_t held[WORLD_SERVERS];
};

struct ColtWorldTask
{
  int team;
  struct ColtQuotaAmount amount;
};

struct ColtWorldServer
{
  int owner; /* instance, -1: none */
  uint64_t epoch;
  GArray *tasks; /* of struct ColtWorldTask */
};

struct ColtWorldLead
{
  struct ColtCreditLeader *lead;
  uint64_t epoch;
  int instance;
};

struct ColtWorldZone
{
  bool cut;
  uint64_t epoch;
  struct ColtWorldInstance instances[WORLD_INSTANCES];
  struct ColtWorldServer servers[WORLD_SERVERS];
  struct ColtWorldLead leads[WORLD_LEADS];
  GArray *gone; /* of struct ColtWorldGone */
  uint64_t complied[WORLD_TEAMS];
};

struct ColtWorldMessage
{
  int zone;
  bool grant;
  uint64_t to; /* owner of a grant, epoch of a report */
  uint8_t *bytes;
  size_t size;
};

struct ColtWorld
{
  char teams[WORLD_TEAMS][COLT_NAME_SIZE];
  struct ColtWorldZone zones[WORLD_ZONES];
  struct ColtWorldRecord records[WORLD_RECORDS];
  int record_count;
  bool log_up;
  GArray *messages; /* of struct ColtWorldMessage */
  GArray *kept;     /* the same, delayed for long */
  uint64_t next_owner;
  int64_t now_us;
  int sending_zone;
  struct ColtEntitlements *reference;
};

void world_send_report_ (void *context, const struct ColtCreditReport *report);
void world_send_grant_ (void *context, const struct ColtCreditGrant *grant);
void world_free_message_ (gpointer message);

/* Keeps the highest offset that each zone was ever said to comply with. */
void world_observe_ (struct ColtWorld *world);

/* After a start: what runs is within the limit at the lowest offset. */
void world_check_ (struct ColtWorld *world, int team);

#endif
