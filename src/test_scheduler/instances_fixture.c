#include "instances_fixture.h"

#include <unistd.h>

#include "jobs.h"

/* Range of the ports that the instances may listen on. */
#define PORT_MIN 32000
#define PORT_COUNT 700
#define LEASE_MS 1000
/* Time in which a single instance becomes the leader. */
#define ELECT_MS 400

/* The fixture of the running test, as handles of callers carry no client. */
static struct ColtInstancesFixture *current;

static void
record_answer (struct ColtCallerHandle *handle,
               const struct ColtCallerAnswer *answer)
{
  (void)handle;
  current->answer = *answer;
  current->answers++;
  current->accepted += answer->kind == COLT_ANSWER_ACCEPTED;
}

void
colt_instances_start (struct ColtInstancesFixture *fixture, int i)
{
  struct ColtSchedulerSettings settings
      = { "name", "zone", NULL, 1, LEASE_MS, 60, 6000 };
  struct ColtError error = { 0 };

  settings.name = i == 0 ? "first" : "second";
  settings.internal = fixture->addresses[i];
  settings.isolation_ms = fixture->isolation_ms;
  fixture->instances[i] = colt_scheduler_create (
      fixture->fake->base, &fixture->fake->ports, &settings, &error);
  g_assert_nonnull (fixture->instances[i]);
  fixture->handlers[i] = fixture->fake->handlers;
}

void
colt_instances_end (struct ColtInstancesFixture *fixture, int i)
{
  colt_scheduler_destroy (fixture->instances[i]);
  fixture->instances[i] = NULL;
}

void
colt_instances_send (struct ColtInstancesFixture *fixture,
                     int i,
                     enum ColtCallerKind kind,
                     const char *path)
{
  struct ColtCallerRequest request = { 0 };

  request.kind = kind;
  request.host = "";
  request.path = path;
  request.key = "";
  request.body = "";
  request.patience_ms = 3000;
  fixture->handlers[i].handle (fixture->handlers[i].client, &request, NULL);
}

void
colt_instances_set_up (struct ColtInstancesFixture *fixture)
{
  int port = PORT_MIN + (int)getpid () % PORT_COUNT;
  int i;

  current = fixture;
  fixture->fake = colt_fake_ports_create ();
  fixture->fake->ports.decode_job = colt_test_decode_job;
  fixture->fake->ports.answer = record_answer;
  for (i = 0; i < INSTANCES; i++)
    fixture->addresses[i] = g_strdup_printf ("127.0.0.%d:%d", i + 1, port);
  colt_fake_ports_put (fixture->fake, COLT_TOPIC_OPERATOR, "config", "fleet");
  colt_instances_start (fixture, 0);
  colt_fake_ports_run (fixture->fake, ELECT_MS);
}

void
colt_instances_tear_down (struct ColtInstancesFixture *fixture)
{
  int i;

  for (i = 0; i < INSTANCES; i++)
    {
      colt_scheduler_destroy (fixture->instances[i]);
      g_free (fixture->addresses[i]);
    }
  colt_fake_ports_destroy (fixture->fake);
}
