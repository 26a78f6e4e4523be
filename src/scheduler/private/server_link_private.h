/* State of a link to a backend server; shared by server_link.c, which renews
 * leases, and server_orders.c, which sends orders. */
#ifndef COLT_SERVER_LINK_PRIVATE_H
#define COLT_SERVER_LINK_PRIVATE_H

#include "order_window.h"
#include "scheduler_private.h"

#define MODULE "server_link"

/* An order to start or stop a run. */
struct ColtServerOrder
{
  bool start; /* false: stop */
  char *task;
  uint32_t run;
  char *payload;
  char *checkpoint;
  char *ticket;
  bool resent;     /* the start has been sent a second time */
  size_t bytes;    /* of a start, about */
  int64_t sent_us; /* when it was last sent */
  bool lost;       /* its run has been reported as lost; it isn't sent again */
};

struct ColtServerLink
{
  const struct ColtPorts *ports;
  struct ColtServerLinkSettings settings;
  struct ColtServerLinkClient client;
  char *id;
  char *address;
  struct ColtServerChannel *renewal_channel;
  struct ColtServerChannel *order_channel;
  GQueue queue;                       /* of struct ColtServerOrder */
  struct ColtOrderWaiter waiter;      /* for room in the window */
  struct ColtServerOrder *open_order; /* the order that waits for an answer */
  bool closing;
  bool listed;             /* the server has an entry in the log */
  bool renewing;           /* a renewal is open */
  bool has_report;         /* the server's report has been received */
  uint32_t failures;       /* of renewals in a row */
  uint64_t call_count;     /* renewals and report queries sent so far */
  uint64_t query_number;   /* of the open report query */
  uint64_t renewal_number; /* of the open renewal */
  int64_t next_renewal_us;
  int64_t heard_us;          /* of its last report; 0: none of incarnation_ms */
  int64_t incarnation_ms;    /* start of the server's incarnation; 0: unknown */
  uint64_t durable_end;      /* number of the last durable end */
  uint64_t durable_end_sent; /* number that the server has received */
  uint64_t durable_end_open; /* number in the open renewal */
  bool has_clock;
  int64_t clock_ms; /* the server's clock at clock_us */
  int64_t clock_us; /* on the local clock */
  /* Latest lease ends that were sent, on the server's clock: with finished
   * calls, with the open renewal and with the open order; 0: none. */
  int64_t lease_until_ms;
  int64_t renewal_until_ms;
  int64_t order_until_ms;
  /* Latest end of leases of earlier leaders, on the local clock; 0: ended. */
  int64_t inherited_until_us;
};

/* server_link.c */
/* Returns whether as many renewals in a row have failed that the server gets no
 * work. */
bool colt_link_is_unreachable (const struct ColtServerLink *link);
bool colt_link_is_silent (const struct ColtServerLink *link, int64_t now_us);
void colt_link_renew_leases (struct ColtServerLink *link,
                             size_t runs,
                             int64_t now_us);
int64_t colt_link_lease_end_ms (const struct ColtServerLink *link,
                                int64_t now_us);
void colt_link_update_clock (struct ColtServerLink *link,
                             const struct ColtServerAnswer *answer);
void colt_link_lose_replaced_server (struct ColtServerLink *link,
                                     const char *call,
                                     int64_t sent_us);

/* server_orders.c */
void colt_link_init_orders (struct ColtServerLink *link);
void colt_link_leave_window (struct ColtServerLink *link);
void colt_link_free_orders (struct ColtServerLink *link);
/* Drops starts that wait, and prevents that the open one is sent again. */
void colt_link_drop_starts (struct ColtServerLink *link);
/* Withdraws all starts that wait, so that their tasks needn't wait for a server
 * that can't be reached. */
void colt_link_withdraw_starts (struct ColtServerLink *link);
/* Sends the next order unless one is open. */
void colt_link_send_next_order (struct ColtServerLink *link);

#endif
