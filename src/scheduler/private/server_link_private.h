/* State of a link to a backend server; shared by server_link.c, which renews
 * leases, and server_orders.c, which sends orders. */
#ifndef COLT_SERVER_LINK_PRIVATE_H
#define COLT_SERVER_LINK_PRIVATE_H

#include "coltsfootstile/suspicion.h"
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
  bool resent;            /* the start has been sent a second time */
  bool bound;             /* the start may only be sent on its connection */
  bool rebound;           /* that connection ended before it was sent */
  size_t bytes;           /* of a start, about */
  bool counted;           /* as backlog of the window */
  int64_t sent_us;        /* when it was last sent */
  uint64_t number;        /* of the call by which it was last sent */
  int64_t incarnation_ms; /* known when it was last sent */
  bool lost;              /* its server has been lost; it isn't sent again */
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
  /* Connections of the channels on which incarnation_ms has reported; 0: none.
   * What is sent on them can't reach another incarnation. */
  uint64_t renewal_connection;
  uint64_t order_connection;
  bool keeps_connections; /* the server doesn't close one after each answer */
  struct ColtSuspect suspect;
  bool closing;
  bool evacuated;          /* its zone is */
  bool listed;             /* the server has an entry in the log */
  bool renewing;           /* a renewal is open */
  bool has_report;         /* the server's report has been received */
  uint32_t failures;       /* of renewals in a row */
  uint64_t call_count;     /* calls sent so far, on both channels */
  uint32_t query_count;    /* open report queries */
  bool query_owed;         /* a start's result needs a query that wasn't due */
  uint64_t query_number;   /* of the first of the open report queries */
  uint64_t renewal_number; /* of the open renewal */
  bool renewal_has_lease;  /* the open renewal was sent with a lease end */
  int64_t renewal_incarnation_ms; /* known when the open renewal was sent */
  int64_t next_renewal_us;
  int64_t heard_us;          /* of its last report; 0: none of incarnation_ms */
  int64_t known_us;          /* when an answer last showed which incarnation is
                                there; earlier calls can't disprove it */
  int64_t incarnation_ms;    /* start of the server's incarnation; 0: unknown */
  uint64_t durable_end;      /* number of the last durable end */
  uint64_t durable_end_sent; /* number that the server has received */
  uint64_t durable_end_open; /* number in the open renewal */
  bool has_clock;
  int64_t clock_ms; /* the clock of incarnation_ms at clock_us */
  int64_t clock_us; /* on the local clock */
  /* Latest lease ends that were sent, on that clock: with finished calls, with
   * the open renewal and with the open order; 0: none. */
  int64_t lease_until_ms;
  int64_t renewal_until_ms;
  int64_t order_until_ms;
  /* Latest end, on the local clock, of leases on clocks that aren't known,
   * which earlier leaders or another incarnation may have granted; 0: ended. */
  int64_t unclocked_until_us;
  /* The same for runs whose start had no answer; 0: none. */
  int64_t unconfirmed_until_us;
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
/* Returns when a lease that is granted now on an unknown clock has certainly
 * ended, on the local clock. */
int64_t colt_link_unclocked_lease_end_us (const struct ColtServerLink *link,
                                          int64_t now_us);
/* Applies a report, the answer to the call of the given number, and sets the
 * connection to that on which its incarnation is; returns false if it may be an
 * earlier incarnation's, and shows nothing. */
bool colt_link_apply_report (struct ColtServerLink *link,
                             const struct ColtServerAnswer *answer,
                             uint64_t number,
                             uint64_t *connection);
/* Returns whether what is meant for the known incarnation may be sent on a
 * connection of the link: a lease, whose end is on its clock, and the number of
 * its last durable end. */
bool colt_link_is_bound (const struct ColtServerLink *link,
                         uint64_t connection);
/* Compares the clock of an answer to an order, which names no incarnation, with
 * the known one. Returns false if another incarnation must have answered. */
bool colt_link_check_clock (struct ColtServerLink *link,
                            const struct ColtServerAnswer *answer);
/* Another server answers a call at the address, so that the process that the
 * link is for has ended and its runs with it. Returns false if that is older
 * than the last answer of this process, and shows nothing. */
bool colt_link_lose_replaced_server (struct ColtServerLink *link,
                                     const char *call,
                                     const struct ColtServerAnswer *answer,
                                     uint64_t number);

/* server_orders.c */
void colt_link_init_orders (struct ColtServerLink *link);
void colt_link_leave_window (struct ColtServerLink *link);
void colt_link_free_orders (struct ColtServerLink *link);
/* Withdraws starts that wait, and prevents that the open one is sent again. */
void colt_link_drop_starts (struct ColtServerLink *link);
/* Withdraws all starts that wait, so that their tasks needn't wait for a server
 * that can't be reached. */
void colt_link_withdraw_starts (struct ColtServerLink *link);
/* Withdraws the starts that wait and were never sent. */
void colt_link_withdraw_unsent_starts (struct ColtServerLink *link);
/* Returns whether a start waits in the queue. */
bool colt_link_has_waiting_start (const struct ColtServerLink *link);
/* Returns how long a start may have no answer. */
int64_t colt_link_start_patience_us (const struct ColtServerLink *link);
/* Counts a start that enters the queue, or leaves it, as backlog. */
void colt_link_count_backlog (struct ColtServerLink *link,
                              struct ColtServerOrder *order,
                              bool queued);
/* Queries the server's report on the channel of orders; returns false if it is
 * suspected and no query is due. */
bool colt_link_query_report (struct ColtServerLink *link);
/* Sends the next order unless one is open. */
void colt_link_send_next_order (struct ColtServerLink *link);

/* server_suspicion.c */
/* Handles that a call had no answer in time: the server is suspected. */
void colt_link_note_loss (struct ColtServerLink *link, int64_t now_us);
/* Returns whether a call had an answer at all. */
bool colt_link_is_answer (const struct ColtServerAnswer *answer);
/* Handles that the server has answered any call. */
void colt_link_note_answer (struct ColtServerLink *link);
/* Finds servers that leave starts waiting, and queries suspected ones; to be
 * called periodically. */
void colt_link_check_suspicion (struct ColtServerLink *link, int64_t now_us);

#endif
