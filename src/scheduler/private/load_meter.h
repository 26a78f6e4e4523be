/* Where a leader spends its time and how late its event loop runs, logged once
 * a second as the event "leader load". It tells a leader that is overloaded
 * from one that waits for servers, for advice or for the log. */
#ifndef COLT_SCHEDULER_LOAD_METER_H
#define COLT_SCHEDULER_LOAD_METER_H

#include <stdint.h>

/* Kinds of work that are timed. The rest of the loop's time goes to the
 * transport: HTTP, JSON, frames, system calls. */
enum ColtLoadPart
{
  LOAD_TICK,      /* periodic checks */
  LOAD_PLACEMENT, /* placement passes */
  LOAD_REPORTS,   /* reports of servers */
  LOAD_ORDERS,    /* results of starts and stops */
  LOAD_RECORDS,   /* batches of records, and the starts that they release */
  LOAD_ADVICE,    /* replies of advisers */
  LOAD_CALLERS,   /* callers' requests */
  LOAD_PART_COUNT
};

/* State of the leader that is logged with the times. */
struct ColtLoadState
{
  uint64_t open_steps;
  uint64_t runs;
  uint64_t planned;         /* starts planned in this term */
  uint64_t started;         /* starts accepted in this term */
  uint64_t lost_orders;     /* start orders without an answer, in this term */
  uint64_t expired_tickets; /* planned runs whose ticket expired, in this term
                             */
  uint64_t advice_calls;    /* calls for advice in this term */
  uint64_t window_bytes;    /* limit of open start orders */
  uint64_t suspected_servers;
};

struct ColtLoadMeter
{
  int64_t since_us; /* start of the period; 0: none */
  int64_t last_tick_us;
  int64_t lag_us;     /* sum of the delays of the periodic timer */
  int64_t lag_max_us; /* largest one */
  uint32_t ticks;
  uint32_t passes;
  uint32_t passes_without_budget; /* that began while no start could be planned
                                   */
  int64_t spent_us[LOAD_PART_COUNT];
  struct ColtLoadState last;
};

/* Adds the time since began_us to a part; returns it. */
int64_t colt_load_meter_add (struct ColtLoadMeter *meter,
                             enum ColtLoadPart part,
                             int64_t began_us);
/* Counts a placement pass. */
void colt_load_meter_count_pass (struct ColtLoadMeter *meter, uint32_t budget);
/* Records that the periodic timer has fired; at the end of a second, logs what
 * the second was spent on and starts the next one. */
void colt_load_meter_tick (struct ColtLoadMeter *meter,
                           int64_t period_us,
                           const struct ColtLoadState *state,
                           int64_t now_us);

#endif
