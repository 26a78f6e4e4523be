/* Limits the bytes of start orders that are open at the same time, over all
 * servers, to what is answered in time: on a narrow link, or while the process
 * is busy, a burst would otherwise time out as a whole and be sent again. */
#ifndef COLT_SCHEDULER_ORDER_WINDOW_H
#define COLT_SCHEDULER_ORDER_WINDOW_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ColtOrderWindow;

/* A sender whose order didn't fit; waiters are resumed in their order. */
struct ColtOrderWaiter
{
  void (*resume) (void *client);
  void *client;
  bool waiting; /* initially false */
  GList link;   /* initially { 0 } */
};

struct ColtOrderWindow *colt_order_window_create (void);
void colt_order_window_destroy (struct ColtOrderWindow *window);
/* Resumes no waiter from now on: the links that wait are about to be freed. */
void colt_order_window_close (struct ColtOrderWindow *window);
/* Returns true if an order of this size may be sent now; pass the same size to
 * colt_order_window_release() when it ends. If it returns false, resume() is
 * called once there may be room. */
bool colt_order_window_acquire (struct ColtOrderWindow *window,
                                size_t bytes,
                                struct ColtOrderWaiter *waiter);
/* Removes a waiter, for instance because its server is gone. */
void colt_order_window_leave (struct ColtOrderWindow *window,
                              struct ColtOrderWaiter *waiter);
/* Ends an order that was sent took_us ago. */
void colt_order_window_release (struct ColtOrderWindow *window,
                                size_t bytes,
                                int64_t took_us,
                                bool answered,
                                int64_t now_us);
/* Returns how long the answer to an order may take before it counts as lost, in
 * milliseconds, at least at_least_ms. */
uint32_t colt_order_window_timeout_ms (const struct ColtOrderWindow *window,
                                       uint32_t at_least_ms);
/* Counts orders that were queued, or left the queue, towards the backlog. */
void colt_order_window_queue (struct ColtOrderWindow *window, int64_t bytes);
/* Returns how many further orders of the mean size could be sent about within
 * the time in which the next ones are planned: the backlog then stays below a
 * window. */
uint32_t colt_order_window_budget (const struct ColtOrderWindow *window);
/* Returns how many orders have ended without an answer. */
uint64_t colt_order_window_lost (const struct ColtOrderWindow *window);
/* Returns the limit in bytes. */
size_t colt_order_window_limit (const struct ColtOrderWindow *window);

#endif
