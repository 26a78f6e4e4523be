/* Test double of the scheduler's ports: the log is kept in memory, and tests
 * set the faults of the log and the answers of the servers. */
#ifndef COLT_TEST_FAKE_PORTS_H
#define COLT_TEST_FAKE_PORTS_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/ports.h"

/* Fault of the log, in effect until another one is set. */
enum ColtFakeFault
{
  FAULT_NONE,
  FAULT_REFUSED,      /* appends fail, certainly without effect */
  FAULT_TOO_LARGE,    /* appends are rejected as malformed */
  FAULT_LOST_ANSWERS, /* appends take effect, their answers are lost */
  FAULT_LOST_APPENDS, /* appends have no effect, their answers are lost */
  FAULT_DOWN,         /* appends and reads fail, certainly without effect */
  FAULT_UNRESPONSIVE, /* appends take effect, no call is answered in time */
  /* Reads without a wait are answered late, with the records that existed at
     their call. */
  FAULT_STALE_READS
};

struct ColtFakePorts
{
  struct ColtPorts ports;
  struct ColtCallerServer handlers; /* once an instance listens for callers */
  struct event_base *base;
  GArray *topics[COLT_TOPIC_JOBS + 1];       /* of struct ColtFakeRecord */
  int64_t first_offset[COLT_TOPIC_JOBS + 1]; /* earlier records have expired */
  uint64_t epoch;    /* of the last append with a producer */
  uint64_t sequence; /* of the last append with a producer */
  enum ColtFakeFault fault;
  /* Topics, a bit each, of which reads of the newest records get no answer
   * until the bit is cleared. */
  uint32_t held_topics;
  uint32_t held_reads;          /* the same for reads from an offset */
  uint32_t group;               /* of the channels that are opened next */
  uint32_t rejected_groups;     /* a bit each, whose calls to the log fail */
  uint32_t appends;             /* calls so far */
  int64_t last_append_us;       /* when the last one was called */
  uint32_t immediate_reads;     /* calls so far of reads without a wait */
  int64_t entry_incarnation_ms; /* of servers' entries */
  /* To each call to a server; answers to starts and stops have no incarnation.
   */
  struct ColtServerAnswer server_answer;
  int64_t server_clock_ms; /* a server's clock minus the local one */
  bool keeps_connections;  /* false: servers close one after each answer */
  struct ColtServerRenewal last_renewal; /* received by a server */
  uint32_t lost_start_connections; /* next starts whose connection has just
                                      ended */
  uint64_t last_start_connection;  /* on which alone a start might be sent */
  uint32_t renewals;               /* received so far */
  uint32_t renewal_answer_ms; /* delay of answers to renewals; 0: default */
  uint32_t start_answer_ms;   /* delay of answers to starts; 0: default */
  uint32_t starts;            /* start orders received so far */
  uint32_t stops;             /* stop orders received so far */
  /* Results of the first start orders, in their order. Later ones get the
   * result of server_answer. */
  const enum ColtStartResult *start_results;
  uint32_t start_result_count;
  GHashTable *calls;          /* open calls; freed on removal */
  GPtrArray *server_channels; /* freed with the fake */
  GHashTable *log_calls; /* open calls to the log, which are in calls too */
};

struct ColtFakeRecord
{
  char *key;
  GBytes *value; /* NULL: the key was deleted */
};

struct ColtFakePorts *colt_fake_ports_create (void);
void colt_fake_ports_destroy (struct ColtFakePorts *fake);
/* Runs the event loop for a period of real time. */
void colt_fake_ports_run (struct ColtFakePorts *fake, uint32_t ms);
/* Ends all connections to servers, as servers do that have ended. */
void colt_fake_ports_end_connections (struct ColtFakePorts *fake);
/* Adds a record with a string as its value to the end of a topic. */
void colt_fake_ports_put (struct ColtFakePorts *fake,
                          enum ColtTopic topic,
                          const char *key,
                          const char *value);

#endif
