/**
 * \file
 * \brief Messages about requests and tasks between entry instances.
 *
 * The protobuf structs come from request.proto. The colt_*_fill() functions
 * fill them from the types of the other headers, the colt_*_read() functions
 * convert and validate received ones. A filled struct points into its buffer
 * and into the object that it was filled from; both must outlive it and stay in
 * place.
 */
#ifndef COLTSFOOTSTILE_REQUEST_MESSAGES_H
#define COLTSFOOTSTILE_REQUEST_MESSAGES_H

#include "coltsfootstile/request.h"
#include "coltsfootstile/request.pb-c.h"
#include "coltsfootstile/wire.h"

/** Kinds of wire messages about requests and tasks. */
enum ColtRequestWireKind
{
  COLT_WIRE_REQUEST_SUBMIT = COLT_WIRE_REQUEST_FIRST,
  COLT_WIRE_REQUEST_ANSWER,
  COLT_WIRE_REQUEST_ATTACH,
  COLT_WIRE_REQUEST_CANCEL,
  COLT_WIRE_PLACE = COLT_WIRE_PLACEMENT_FIRST,
  COLT_WIRE_PLACE_EVENTS,
  COLT_WIRE_PLACE_STOP,
  COLT_WIRE_PLACE_QUERY,
  COLT_WIRE_PLACE_DIGEST,
  COLT_WIRE_PLACE_HINT /**< a server's lease was released; ColtHintWord */
};

/** Event of an attempt, reported by the owner of its backend server. */
enum ColtTaskEventKind
{
  COLT_TASK_EVENT_STARTED,
  COLT_TASK_EVENT_REFUSED, /**< the attempt never ran and never will */
  COLT_TASK_EVENT_ENDED
};

/** Stage of an attempt, in an owner's reply to a query. */
enum ColtQueryStage
{
  COLT_QUERY_NOT_OWNER, /**< the replying instance doesn't own the server at
                         * the epoch of the query or a later one */
  COLT_QUERY_NOT_RUN,   /**< the attempt never ran and never will */
  COLT_QUERY_STARTING,  /**< accepted, not confirmed to run */
  COLT_QUERY_RUNNING,
  COLT_QUERY_ENDED
};

/** Message of a task reference, and the storage it points to. */
struct ColtRefBuffer
{
  ColtRefWord msg;
  uint8_t request[COLT_ID_SIZE];
};

/** Message of resources, and the storage it points to. */
struct ColtResourcesBuffer
{
  ColtResourcesWord msg;
  int64_t amounts[COLT_RESOURCE_COUNT];
};

/** Message of a task report, and the storage it points to. */
struct ColtReportBuffer
{
  ColtReportWord msg;
  struct ColtRefBuffer ref;
  struct ColtResourcesBuffer limit;
  struct ColtResourcesBuffer usage;
  char team[COLT_NAME_SIZE];
};

/** Message of a request specification, and the storage it points to. */
struct ColtSpecBuffer
{
  ColtSpecWord msg;
  struct ColtResourcesBuffer demand;
};

/** Fills the message of a task reference. */
void colt_ref_fill (struct ColtRefBuffer *buffer,
                    const struct ColtTaskRef *ref);
/** Reads a task reference; returns false if it is missing, its request id is
 * invalid, or its index or attempt is out of range. */
bool colt_ref_read (const ColtRefWord *msg, struct ColtTaskRef *ref);

/** Returns a bytes field that points to \a id. */
ProtobufCBinaryData colt_id_fill (const struct ColtId *id);
/** Reads a request id; returns false if its size, zone or kind is invalid. */
bool colt_id_read (const ProtobufCBinaryData *data, struct ColtId *id);

/** Fills the message of resources. */
void colt_resources_fill (struct ColtResourcesBuffer *buffer,
                          const struct ColtResources *resources);
/** Reads resources; returns false if an amount is missing or below 0. */
bool colt_resources_read (const ColtResourcesWord *msg,
                          struct ColtResources *resources);

/** Fills the message of a task report; it points to the report's result. */
void colt_report_fill (struct ColtReportBuffer *buffer,
                       const struct ColtTaskReport *report);
/** Reads a task report, whose result points into the message; returns false if
 * a field is missing, too long or out of range. */
bool colt_report_read (const ColtReportWord *msg,
                       struct ColtTaskReport *report);

/** Fills the message of a request specification; it points to the texts and
 * payload of \a spec. The deadline is sent as the time left at \a now_us. */
void colt_spec_fill (struct ColtSpecBuffer *buffer,
                     const struct ColtRequestSpec *spec,
                     int64_t now_us);
/** Reads a request specification, whose payload points into the message;
 * returns false if a field is missing, too long or out of range. The deadline
 * is computed from the time left, as if it was sent at \a now_us. */
bool colt_spec_read (const ColtSpecWord *msg,
                     struct ColtRequestSpec *spec,
                     int64_t now_us);

/**
 * Returns a new answer message with the outcome and the tasks of a request;
 * free it with colt_answer_word__free_unpacked(), with NULL as the allocator.
 */
ColtAnswerWord *colt_answer_make (const struct ColtRequest *request);

/**
 * Packs a protobuf message.
 *
 * \param base  the message's base member
 * \param size  set to the size of the packed message in bytes
 * \return a buffer to be freed with free()
 */
uint8_t *colt_message_pack (const ProtobufCMessage *base, size_t *size);

#endif
