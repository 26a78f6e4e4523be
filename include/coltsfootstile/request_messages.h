/**
 * \file
 * \brief Messages about requests and tasks between entry instances.
 *
 * The generated structs are used as they are; the functions here fill them
 * from the types of the other headers and read them back with every number
 * checked. A word that is filled borrows what it points at.
 */
#ifndef COLTSFOOTSTILE_REQUEST_MESSAGES_H
#define COLTSFOOTSTILE_REQUEST_MESSAGES_H

#include "coltsfootstile/request.h"
#include "coltsfootstile/request.pb-c.h"
#include "coltsfootstile/wire.h"

/** Kinds of messages on the wire. */
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
  COLT_WIRE_PLACE_HINT /**< a server was given up; ColtHintWord */
};

/** What happened to a task at its owner. */
enum ColtTaskEventKind
{
  COLT_TASK_EVENT_STARTED,
  COLT_TASK_EVENT_REFUSED, /**< it never ran and never will */
  COLT_TASK_EVENT_ENDED
};

/** How an attempt stands at its owner. */
enum ColtQueryStage
{
  COLT_QUERY_NOT_OWNER, /**< the server isn't held here at that epoch */
  COLT_QUERY_NEVER,     /**< it never ran and never will */
  COLT_QUERY_STARTING,
  COLT_QUERY_RUNNING,
  COLT_QUERY_ENDED
};

/** A reference with room for what it points at. */
struct ColtRefBuffer
{
  ColtRefWord word;
  uint8_t request[COLT_ID_SIZE];
};

/** Resources with room for what they point at. */
struct ColtResourcesBuffer
{
  ColtResourcesWord word;
  int64_t amounts[COLT_RESOURCE_COUNT];
};

/** A report with room for what it points at. */
struct ColtReportBuffer
{
  ColtReportWord word;
  struct ColtRefBuffer ref;
  struct ColtResourcesBuffer limit;
  struct ColtResourcesBuffer usage;
  char team[COLT_NAME_SIZE];
};

/** A specification with room for what it points at. */
struct ColtSpecBuffer
{
  ColtSpecWord word;
  struct ColtResourcesBuffer demand;
};

/** Fills a reference. */
void colt_ref_fill (struct ColtRefBuffer *buffer,
                    const struct ColtTaskRef *ref);
/** Reads a reference; false if it is none. */
bool colt_ref_read (const ColtRefWord *word, struct ColtTaskRef *ref);

/** Fills an id into a field of bytes that points at \a id. */
ProtobufCBinaryData colt_id_fill (const struct ColtId *id);
/** Reads an id; false if it is none. */
bool colt_id_read (const ProtobufCBinaryData *data, struct ColtId *id);

/** Fills resources. */
void colt_resources_fill (struct ColtResourcesBuffer *buffer,
                          const struct ColtResources *resources);
/** Reads resources; false if an amount is missing or below 0. */
bool colt_resources_read (const ColtResourcesWord *word,
                          struct ColtResources *resources);

/** Fills a report; its result is borrowed. */
void colt_report_fill (struct ColtReportBuffer *buffer,
                       const struct ColtTaskReport *report);
/** Reads a report; its result is borrowed from the word. */
bool colt_report_read (const ColtReportWord *word,
                       struct ColtTaskReport *report);

/** Fills a specification; its texts and payload are borrowed. */
void colt_spec_fill (struct ColtSpecBuffer *buffer,
                     const struct ColtRequestSpec *spec,
                     int64_t now_us);
/** Reads a specification; its payload is borrowed from the word. */
bool colt_spec_read (const ColtSpecWord *word,
                     struct ColtRequestSpec *spec,
                     int64_t now_us);

/**
 * Makes the answer of a request, to be freed with
 * colt_answer_word__free_unpacked (word, NULL).
 */
ColtAnswerWord *colt_answer_make (const struct ColtRequest *request);

/** Packs any message; to be freed with free(). */
uint8_t *colt_message_pack (const ProtobufCMessage *message, size_t *size);

#endif
