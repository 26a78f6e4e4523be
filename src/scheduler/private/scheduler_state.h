/* State of an instance; shared by the files that make up a scheduler. */
#ifndef COLT_SCHEDULER_STATE_H
#define COLT_SCHEDULER_STATE_H

#include "members.h"
#include "scheduler_private.h"

struct ColtScheduler
{
  struct event_base *base;
  const struct ColtPorts *ports;
  struct ColtSchedulerSettings settings;
  uint32_t instance; /* the internal address as a number */
  struct ColtWire *wire;
  struct ColtWatch *config;
  struct ColtElection *election;
  struct ColtLead *lead; /* while this instance leads */
  struct ColtFleet *fleet;
  struct ColtMembers *members;
  struct ColtAdviserChannel *adviser;
  struct event *beat;
  struct event *stop;
  struct ColtMetrics *metrics;
  GHashTable *counts;  /* queue -> waiting jobs, as the lead told */
  GPtrArray *requests; /* of struct ColtRequest */
  uint32_t lead_instance;
  int64_t elected_us;
  uint64_t seen_term; /* the last that was seen or led */
  int64_t changed_us; /* when it began */
  int64_t before_us;  /* how long the lead before this one led */
  bool stopping;
  int64_t stopping_us;
};

/* Takes a caller's request; colt_scheduler_end_requests() ends all. */
void colt_scheduler_handle (void *client,
                            const struct ColtCallerRequest *caller,
                            struct ColtCallerHandle *handle);
void colt_scheduler_end_requests (struct ColtScheduler *scheduler);
void colt_scheduler_add_timer (struct event *timer, uint32_t after_ms);

#endif
