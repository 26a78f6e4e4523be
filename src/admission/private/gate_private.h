/**
 * \file
 * \brief What the files of the gate share.
 */
#ifndef COLTSFOOTSTILE_GATE_PRIVATE_H
#define COLTSFOOTSTILE_GATE_PRIVATE_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "coltsfootstile/gate.h"
#include "coltsfootstile/request_messages.h"

/** A caller that waits on a connection. */
struct ColtGateCaller
{
  struct evhttp_request *request; /**< NULL once the caller has gone */
  struct ColtPending *pending;
};

/** A request that this gate has not answered yet. */
struct ColtPending
{
  struct ColtGate *gate;
  struct ColtId id;
  struct ColtRequestSpec spec; /**< the payload belongs to the request */
  GPtrArray *callers;          /**< of struct ColtGateCaller */
  bool waits;                  /**< the callers want the final answer */
  bool fresh;         /**< the id was minted here and not forwarded before */
  bool accepted;      /**< the home has it */
  bool in_flight;     /**< a submission is open */
  bool doubtful;      /**< a submission ended without an answer */
  bool forwarded;     /**< a submission may have reached a home */
  bool dead;          /**< answered, while a submission is open */
  int64_t next_us;    /**< when to submit again */
  int64_t give_up_us; /**< when the caller is told whatever is known */
};

struct ColtGateCounters
{
  uint32_t requests;
  uint32_t done;
  uint32_t failed;
  uint32_t not_run;
  uint32_t unknown;
  uint32_t bad;
  uint32_t cancelled;
};

struct ColtGate
{
  struct ColtGateParts parts;
  const struct ColtGateClient *calls;
  void *client;
  struct evhttp *http;
  struct evhttp_bound_socket *socket;
  GHashTable *pending;     /**< of struct ColtPending, by id */
  GHashTable *connections; /**< evhttp_connection -> its entry */
  GHashTable *minted;      /**< ids minted here and not yet used -> time */
  GQueue minted_order;     /**< of struct ColtId */
  struct event *timer;
  int64_t attach_us;
  bool stopping;
  struct ColtGateCounters counters;
};

/** A caller's request, as its JSON body and headers say it. */
struct ColtGateRequest
{
  struct ColtRequestSpec spec; /**< the payload is allocated */
  struct ColtId id;
  bool has_id;
  bool fresh;
  bool waits;
  int64_t deadline_ms; /**< 0 if the caller sets none */
  char key[COLT_SECRET_MAX + 1];
  char idempotency_key[COLT_SECRET_MAX + 1];
};

/* gate_http.c: routes */
void colt_gate_route (struct evhttp_request *request, void *arg);

/* gate_connections.c: callers' connections */
/** Returns whether a request's connection is served; refuses it otherwise. */
bool colt_gate_admit_connection (struct ColtGate *gate,
                                 struct evhttp_request *http);
/** Tells \a gone when the caller closes the connection of a request. */
void colt_gate_watch (struct ColtGate *gate,
                      struct evhttp_request *http,
                      void (*gone) (void *client),
                      void *client);
/** Ends that; must come before the answer. */
void colt_gate_unwatch (struct ColtGate *gate, struct evhttp_request *http);

/* gate_parse.c: from HTTP to a request */
bool colt_gate_parse (struct evhttp_request *http,
                      struct ColtGateRequest *request,
                      struct ColtError *error);

/* gate_admit.c: keys, queues and bounds */
/** Completes the specification; sets \a reason and returns false to refuse. */
bool colt_gate_admit (struct ColtGate *gate,
                      struct ColtGateRequest *request,
                      enum ColtReason *reason);

/* gate_mint.c: ids */
struct ColtId colt_gate_mint (struct ColtGate *gate);
void colt_gate_remember_minted (struct ColtGate *gate, const struct ColtId *id);
/** Returns whether an id was minted here and is used for the first time. */
bool colt_gate_use_minted (struct ColtGate *gate, const struct ColtId *id);

/* gate_pending.c: requests on their way */
void colt_gate_add_pending (struct ColtGate *gate,
                            struct ColtGateRequest *request,
                            struct evhttp_request *http);
void colt_gate_step (struct ColtGate *gate, int64_t now_us);
void colt_gate_set_handlers (struct ColtGate *gate);
void colt_gate_settle (struct ColtPending *pending,
                       enum ColtOutcome outcome,
                       enum ColtReason reason,
                       const ColtAnswerWord *answer);
void colt_pending_free (gpointer data);

/* gate_status.c: status and cancellation of a request by id */
void colt_gate_show (struct ColtGate *gate,
                     struct evhttp_request *http,
                     const struct ColtId *id,
                     bool cancels);

/* gate_reply.c: JSON answers */
void colt_gate_reply_json (struct evhttp_request *http, int code, json_t *body);
void colt_gate_reply_outcome (struct ColtGate *gate,
                              struct evhttp_request *http,
                              const struct ColtId *id,
                              enum ColtOutcome outcome,
                              enum ColtReason reason,
                              const ColtAnswerWord *answer);
/** Refuses a request that this gate did not forward. */
void colt_gate_reply_refusal (struct evhttp_request *http,
                              const struct ColtId *id,
                              bool may_have_run,
                              enum ColtReason reason);
void colt_gate_reply_error (struct evhttp_request *http,
                            int code,
                            enum ColtReason reason,
                            const char *detail);

#endif
