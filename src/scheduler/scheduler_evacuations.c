#include "scheduler_state.h"

#define MODULE "scheduler"

static void set_evacuated_ (struct ColtScheduler *scheduler,
                            const char *zone,
                            bool evacuated);
static void end_evacuation_ (void *client, const char *zone, int64_t since_us);
static void evacuate_leader_ (void *client, const char *zone, int64_t since_us);

bool
colt_scheduler_apply_evacuation (struct ColtScheduler *scheduler,
                                 const struct ColtLogRecord *record)
{
  struct ColtEvacuationRecord request = { 0 };
  char *zone;

  if (!scheduler->ports->decode_evacuation (scheduler->ports->adapter, record,
                                            &zone))
    return false;
  if (zone == NULL)
    {
      if (colt_watch_is_new (scheduler->config_watch, record))
        colt_log (COLT_LOG_WARNING, MODULE, NULL,
                  "the key %s of a request to evacuate a zone is malformed; "
                  "ignoring it",
                  record->key);
      return true;
    }
  request.zone = zone;
  request.evacuated = record->value != NULL && record->size > 0;
  request.full_read = !colt_watch_is_synced (scheduler->config_watch);
  request.offset = record->offset;
  if (colt_evacuations_apply (scheduler->evacuations, &request,
                              colt_clock_monotonic_us ()))
    set_evacuated_ (scheduler, zone, request.evacuated);
  g_free (zone);
  return true;
}

void
colt_scheduler_finish_evacuations (void *client)
{
  struct ColtScheduler *scheduler = client;

  colt_evacuations_finish_read (scheduler->evacuations, end_evacuation_,
                                scheduler);
}

void
colt_scheduler_evacuate_leader (struct ColtScheduler *scheduler)
{
  colt_leader_set_operator_watch (scheduler->leader, scheduler->config_watch);
  colt_evacuations_list (scheduler->evacuations, evacuate_leader_, scheduler);
}

static void
set_evacuated_ (struct ColtScheduler *scheduler,
                const char *zone,
                bool evacuated)
{
  const struct ColtLogField fields[]
      = { { "zone", zone, 0 }, { "leads", NULL, scheduler->leader != NULL } };

  colt_log_event (COLT_LOG_INFO, MODULE,
                  evacuated ? "evacuation of a zone was requested"
                            : "request to evacuate a zone was withdrawn",
                  NULL, fields, G_N_ELEMENTS (fields));
  if (scheduler->leader != NULL)
    colt_leader_set_evacuated (scheduler->leader, zone, evacuated);
}

static void
end_evacuation_ (void *client, const char *zone, int64_t since_us)
{
  (void)since_us;
  set_evacuated_ (client, zone, false);
}

static void
evacuate_leader_ (void *client, const char *zone, int64_t since_us)
{
  const struct ColtScheduler *scheduler = client;

  (void)since_us;
  colt_leader_set_evacuated (scheduler->leader, zone, true);
}
