/* State of a lead; shared by the files that make one up. */
#ifndef COLT_LEAD_PRIVATE_H
#define COLT_LEAD_PRIVATE_H

#include "lag.h"
#include "scheduler_private.h"

enum ColtLeadPhase
{
  PHASE_FENCING, /* earlier leads' appends are shut out */
  PHASE_LOADING,
  PHASE_SERVING
};

struct ColtLead
{
  const struct ColtPorts *ports;
  const struct ColtSchedulerSettings *settings;
  struct ColtLeadClient client;
  struct event_base *base;
  uint64_t term;
  enum ColtLeadPhase phase;
  int64_t created_us;
  struct ColtCell *cell;
  struct ColtCommit *commit;
  struct ColtWatch *servers;
  struct ColtLogChannel *channel; /* for loading */
  struct event *timer;
  struct ColtLag lag; /* of the timer */
  struct event *place;
  struct event *retry;
  GHashTable *links;  /* id -> struct ColtServerLink */
  GHashTable *seen;   /* ids listed since the servers were read anew */
  GPtrArray *calls;   /* of struct ColtLeadCall */
  GPtrArray *states;  /* of struct ColtStateCall */
  GPtrArray *loading; /* records of progress, until all jobs are loaded */
  char *after;
  int64_t confirmed_until_us;
  bool closing;
  uint64_t loaded;
  int64_t config_version;
};

/* Takes a record of the log over into the cell. */
void colt_lead_load_record (struct ColtLead *lead,
                            const char *key,
                            const uint8_t *value,
                            size_t size);
/* Shuts out earlier leads and loads their records; then colt_lead_serve(). */
void colt_lead_fence (struct ColtLead *lead);
void colt_lead_retry (evutil_socket_t fd, short what, void *arg);
void colt_lead_serve (struct ColtLead *lead);
/* Gives back, or gives up, calls that have waited for too long. */
void colt_lead_give_up_calls (struct ColtLead *lead, int64_t now_us);
/* Answers callers who wait for a job's end as far as it has come. */
void colt_lead_answer_states (struct ColtLead *lead, int64_t now_us);
/* The same with all of them, at the lead's end. */
void colt_lead_end_calls (struct ColtLead *lead);

#endif
