/* Ports whose log is kept in memory and fails as told. */
#ifndef COLT_TEST_FAKE_PORTS_H
#define COLT_TEST_FAKE_PORTS_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/ports.h"

/* What becomes of the next appends. */
enum ColtFakeFault
{
  FAULT_NONE,
  FAULT_REFUSED,  /* certainly without effect */
  FAULT_LOST,     /* takes effect, the answer is lost */
  FAULT_VANISHED, /* has no effect, the answer is lost */
  FAULT_DOWN,     /* reads are refused as well */
  FAULT_SILENT,   /* appends as lost; reads aren't answered in time */
  FAULT_OLD_READS /* reads that don't wait are answered late, as of their call
                   */
};

struct ColtFakePorts
{
  struct ColtPorts ports;
  struct event_base *base;
  GArray *topics[COLT_TOPIC_JOBS + 1]; /* of struct ColtFakeRecord */
  int64_t first[COLT_TOPIC_JOBS + 1];  /* first kept offset */
  uint64_t epoch;
  uint64_t sequence;
  enum ColtFakeFault fault;
  uint32_t appends;
  uint32_t probes; /* reads that don't wait */
  /* How calls to servers end, and what they carried. */
  struct ColtServerAnswer server_answer;
  struct ColtServerRenewal last_look;
  uint32_t looks;
  uint32_t look_ms; /* that an answer to a look takes; 0: the usual */
  uint32_t starts;
  /* How the starts end, in their order; after them as the other calls. */
  const enum ColtStartResult *start_results;
  uint32_t start_result_count;
  GHashTable *calls;     /* that wait for their answer */
  GHashTable *log_calls; /* those of them that go to the log */
};

struct ColtFakeRecord
{
  char *key;
  GBytes *value; /* NULL: dropped */
};

struct ColtFakePorts *colt_fake_ports_create (void);
void colt_fake_ports_destroy (struct ColtFakePorts *fake);
/* Runs the loop for a while of real time. */
void colt_fake_ports_run (struct ColtFakePorts *fake, uint32_t ms);
void colt_fake_ports_put (struct ColtFakePorts *fake,
                          enum ColtTopic topic,
                          const char *key,
                          const char *value);

#endif
