#include "jobs.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define QUEUE "queue"

struct ColtFleet *
colt_test_make_fleet (void)
{
  struct ColtFleet *fleet = colt_fleet_create ();
  struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);

  queue->name = g_strdup (QUEUE);
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("service");
  queue->max_attempts = 1;
  return fleet;
}

ColtJobSpec *
colt_test_make_job (const char *id)
{
  ColtJobSpec *spec = malloc (sizeof *spec);

  g_assert_nonnull (spec);
  colt_job_spec__init (spec);
  spec->id = strdup (id);
  spec->organisation = strdup ("organisation");
  spec->queue = strdup (QUEUE);
  spec->payload = strdup ("payload");
  spec->steps = calloc (1, sizeof *spec->steps);
  spec->steps[0] = malloc (sizeof *spec->steps[0]);
  colt_job_step__init (spec->steps[0]);
  spec->steps[0]->count = 1;
  spec->n_steps = 1;
  return spec;
}

ColtJobSpec *
colt_test_decode_job (void *adapter,
                      const char *body,
                      size_t size,
                      struct ColtError *error)
{
  ColtJobSpec *spec = colt_test_make_job ("");

  (void)adapter;
  (void)body;
  (void)size;
  (void)error;
  free (spec->id);
  free (spec->organisation);
  free (spec->queue);
  spec->id = (char *)protobuf_c_empty_string;
  spec->organisation = (char *)protobuf_c_empty_string;
  spec->queue = (char *)protobuf_c_empty_string;
  return spec;
}
