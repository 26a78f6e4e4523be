/**
 * \file
 * \brief Declarations shared by the files of the gate.
 */
#ifndef COLTSFOOTSTILE_GATE_PRIVATE_H
#define COLTSFOOTSTILE_GATE_PRIVATE_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "coltsfootstile/gate.h"
#include "coltsfootstile/request_messages.h"

/** A caller whose HTTP request has no reply yet. */
struct ColtGateCaller
{
  struct evhttp_request *request; /**< NULL once the connection is closed */
  bool waits;                     /**< for the outcome, not just acceptance */
};

/** A request that this gate has not answered yet. */
struct ColtPendingRequest
{
  struct ColtGate *gate;
  struct ColtId id;
  struct ColtRequestSpec spec; /**< the payload is owned by this request */
  GPtrArray *callers;          /**< of struct ColtGateCaller */
  bool waits;     /**< some caller waits for the outcome, not just acceptance */
  bool fresh;     /**< the id was minted here and is used for the first time */
  bool accepted;  /**< a home has the request */
  bool in_flight; /**< a submit call is open */
  bool reply_lost;     /**< a submit call ended without a reply; a home may have
                            the request */
  bool forwarded;      /**< a home has or may have received the request */
  int64_t resubmit_us; /**< monotonic time of the next submit call */
  int64_t expiry_us;   /**< monotonic time at which callers get an answer even
                            if no home has sent one */
};

/** Handles of the gate's counters. */
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
  struct ColtHttpPool *pool;
  struct ColtHttpListener *listener;
  GHashTable *pending;      /**< struct ColtPendingRequest by its id */
  GHashTable *connections;  /**< struct ColtGateConnection by its
                                 evhttp_connection */
  GHashTable *minted;       /**< set of the struct ColtId that were minted here
                                 and not used yet; owned by minted_order */
  GQueue minted_order;      /**< of struct ColtId, oldest first, used ones
                                 included */
  GHashTable *open_submits; /**< set of the open submit calls */
  struct event *timer;
  int64_t next_attach_us; /**< monotonic time of the next attach calls */
  bool stopping;
  struct ColtGateCounters counters;
};

/** A caller's request, decoded from its headers and JSON body. */
struct ColtGateRequest
{
  struct ColtRequestSpec spec; /**< owns the payload */
  struct ColtId id;
  bool has_id; /**< the caller sent a Request-Id header */
  bool fresh;  /**< the id was minted here and is used for the first time */
  bool waits;  /**< the caller waits for the outcome, not just acceptance */
  int64_t deadline_ms;           /**< 0 if the caller sets none */
  char key[COLT_SECRET_MAX + 1]; /**< empty if the caller sends none */
  char idempotency_key[COLT_SECRET_MAX + 1]; /**< empty if the caller sends
                                                  none */
};

/* gate_http.c: dispatch by path */

/** Handles an HTTP request; evhttp callback, \a arg is the gate. */
void colt_gate_route (struct evhttp_request *http, void *arg);

/* gate_connections.c: callers' connections */

/** Returns whether a request's connection is within the connection limit;
 * otherwise sends a refusal, after which the connection is closed. */
bool colt_gate_admit_connection (struct ColtGate *gate,
                                 struct evhttp_request *http);

/** Sets the function that is called, at most once, if the caller closes the
 * connection of a request before the reply. */
void colt_gate_set_close_handler (struct ColtGate *gate,
                                  struct evhttp_request *http,
                                  void (*on_close) (void *client),
                                  void *client);

/** Removes the callback of colt_gate_set_close_handler(); must be called
 * before the reply is sent. */
void colt_gate_clear_close_handler (struct ColtGate *gate,
                                    struct evhttp_request *http);

/* gate_parse.c: decoding of HTTP requests */

/**
 * Decodes the headers and the JSON body of a task submission.
 *
 * \param request  zeroed by the caller, who frees spec.payload in any case
 * \return false with COLT_ERROR_INVALID if the request is malformed
 */
bool colt_gate_parse_request (struct evhttp_request *http,
                              struct ColtGateRequest *request,
                              struct ColtError *error);

/* gate_admit.c: checks of keys, queues and limits */

/**
 * Checks a request against the bundle and the gate's limits, and fills in its
 * team, attempts, deadline and id.
 *
 * \param reason  set to the reason of a refusal, otherwise COLT_REASON_NONE
 * \return false if the request is refused
 */
bool colt_gate_admit_request (struct ColtGate *gate,
                              struct ColtGateRequest *request,
                              enum ColtReason *reason);

/* gate_mint.c: request ids */

/** Returns a new id with the gate's zone as its home zone. */
struct ColtId colt_gate_mint_id (struct ColtGate *gate);

/** Records an id that was minted for a caller's later use. */
void colt_gate_add_minted_id (struct ColtGate *gate, const struct ColtId *id);

/** Returns whether an id was minted here and is used for the first time; any
 * further call for this id returns false. */
bool colt_gate_consume_minted_id (struct ColtGate *gate,
                                  const struct ColtId *id);

/* gate_pending.c: requests without an answer */

/**
 * Submits an admitted request to its home. If a request with this id is
 * pending already, the caller waits for that one: for its acceptance only if
 * all its callers do. A different request with the same id is refused with
 * COLT_REASON_MISMATCH.
 *
 * \param request  spec.payload is taken over and set to NULL if the request is
 *                 new
 */
void colt_gate_add_pending (struct ColtGate *gate,
                            struct ColtGateRequest *request,
                            struct evhttp_request *http);

/** Answers pending requests that have expired and makes the submit and attach
 * calls that are due. */
void colt_gate_process_due (struct ColtGate *gate, int64_t now_us);

/** Registers the gate's handlers of wire messages. */
void colt_gate_set_wire_handlers (struct ColtGate *gate);

/** Sends an outcome to all callers of a request and frees the request; \a
 * answer is NULL if no home has sent one. */
void colt_gate_answer_pending (struct ColtPendingRequest *pending,
                               enum ColtOutcome outcome,
                               enum ColtReason reason,
                               const ColtAnswerWord *answer);

/** Detaches the open submit calls from a gate that is being destroyed: the wire
 * ends them later. */
void colt_gate_detach_calls (struct ColtGate *gate);

/** Frees a struct ColtPendingRequest. */
void colt_pending_request_free (gpointer data);

/* gate_status.c: status and cancellation of a request by its id */

/** Fetches the status of a request from its home and sends it to the caller;
 * first cancels the request if \a cancels is true. */
void colt_gate_reply_status (struct ColtGate *gate,
                             struct evhttp_request *http,
                             const struct ColtId *id,
                             bool cancels);

/* gate_reply.c: JSON replies */

/** Sends an HTTP status code and a JSON body; takes over the reference to the
 * body. */
void colt_gate_reply_json (struct evhttp_request *http, int code, json_t *body);

/** Sends an outcome; \a answer adds the state of each task and may be NULL. */
void colt_gate_reply_outcome (struct ColtGate *gate,
                              struct evhttp_request *http,
                              const struct ColtId *id,
                              enum ColtOutcome outcome,
                              enum ColtReason reason,
                              const ColtAnswerWord *answer);

/**
 * Refuses a request that this gate doesn't forward, or reports that the status
 * of a request can't be fetched.
 *
 * \param id            may be NULL
 * \param may_have_run  the id may belong to a request that has run: the outcome
 *                      is COLT_OUTCOME_UNKNOWN instead of COLT_OUTCOME_NOT_RUN
 */
void colt_gate_reply_refusal (struct evhttp_request *http,
                              const struct ColtId *id,
                              bool may_have_run,
                              enum ColtReason reason);

/** Sends an HTTP status code and an error with the outcome "not_run"; if
 * \a detail is NULL, the text of \a reason is sent. */
void colt_gate_reply_error (struct evhttp_request *http,
                            int code,
                            enum ColtReason reason,
                            const char *detail);

#endif
