#include "coltsfootstile/request_messages.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"

static ColtAnswerTaskWord *
make_task_answer_ (const struct ColtRequestTask *task, uint32_t index);
static bool read_name_ (const char *text, char name[COLT_NAME_SIZE]);

void
colt_ref_fill (struct ColtRefBuffer *buffer, const struct ColtTaskRef *ref)
{
  colt_ref_word__init (&buffer->msg);
  memcpy (buffer->request, ref->request.bytes, COLT_ID_SIZE);
  buffer->msg.request.data = buffer->request;
  buffer->msg.request.len = COLT_ID_SIZE;
  buffer->msg.index = ref->index;
  buffer->msg.attempt = ref->attempt;
}

bool
colt_ref_read (const ColtRefWord *msg, struct ColtTaskRef *ref)
{
  if (msg == NULL || !colt_id_read (&msg->request, &ref->request))
    return false;
  if (msg->index >= COLT_TASKS_PER_REQUEST_MAX || msg->attempt == 0)
    return false;
  ref->index = msg->index;
  ref->attempt = msg->attempt;
  return true;
}

ProtobufCBinaryData
colt_id_fill (const struct ColtId *id)
{
  ProtobufCBinaryData data = { COLT_ID_SIZE, (uint8_t *)id->bytes };

  return data;
}

bool
colt_id_read (const ProtobufCBinaryData *data, struct ColtId *id)
{
  if (data->len != COLT_ID_SIZE)
    return false;
  memcpy (id->bytes, data->data, COLT_ID_SIZE);
  if (colt_id_zone (id) < 1 || colt_id_zone (id) > COLT_ZONE_MAX)
    return false;
  return colt_id_kind (id) == COLT_ID_MINTED
         || colt_id_kind (id) == COLT_ID_HASHED;
}

void
colt_resources_fill (struct ColtResourcesBuffer *buffer,
                     const struct ColtResources *resources)
{
  colt_resources_word__init (&buffer->msg);
  memcpy (buffer->amounts, resources->amount, sizeof buffer->amounts);
  buffer->msg.amounts = buffer->amounts;
  buffer->msg.n_amounts = COLT_RESOURCE_COUNT;
}

bool
colt_resources_read (const ColtResourcesWord *msg,
                     struct ColtResources *resources)
{
  int i;

  if (msg == NULL || msg->n_amounts != COLT_RESOURCE_COUNT)
    return false;
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    {
      if (msg->amounts[i] < 0)
        return false;
      resources->amount[i] = msg->amounts[i];
    }
  return true;
}

void
colt_report_fill (struct ColtReportBuffer *buffer,
                  const struct ColtTaskReport *report)
{
  colt_report_word__init (&buffer->msg);
  colt_ref_fill (&buffer->ref, &report->ref);
  colt_resources_fill (&buffer->limit, &report->limit);
  colt_resources_fill (&buffer->usage, &report->usage);
  memcpy (buffer->team, report->team, sizeof buffer->team);
  buffer->msg.ref = &buffer->ref.msg;
  buffer->msg.shard = report->shard;
  buffer->msg.shard_epoch = report->shard_epoch;
  buffer->msg.team = buffer->team;
  buffer->msg.kind = report->kind;
  buffer->msg.state = report->state;
  buffer->msg.limit = &buffer->limit.msg;
  buffer->msg.usage = &buffer->usage.msg;
  buffer->msg.run_ms = report->run_ms;
  buffer->msg.exit_status = report->exit_status;
  buffer->msg.result.data = (uint8_t *)report->result;
  buffer->msg.result.len = report->result != NULL ? report->result_size : 0;
  buffer->msg.result_known = report->result != NULL;
}

bool
colt_report_read (const ColtReportWord *msg, struct ColtTaskReport *report)
{
  static const uint8_t empty[1];

  if (msg == NULL || !colt_ref_read (msg->ref, &report->ref))
    return false;
  if (!colt_resources_read (msg->limit, &report->limit)
      || !colt_resources_read (msg->usage, &report->usage))
    return false;
  if (!read_name_ (msg->team, report->team))
    return false;
  if (msg->shard >= COLT_SHARD_COUNT || msg->kind >= COLT_WORK_KIND_COUNT
      || msg->state > COLT_TASK_STOPPED)
    return false;
  report->shard = msg->shard;
  report->shard_epoch = msg->shard_epoch;
  report->kind = (enum ColtWorkKind)msg->kind;
  report->state = (enum ColtTaskState)msg->state;
  report->run_ms = msg->run_ms;
  report->exit_status = msg->exit_status;
  report->result = msg->result.data;
  report->result_size = msg->result.len;
  if (msg->result_known && report->result == NULL)
    report->result = empty;
  return true;
}

void
colt_spec_fill (struct ColtSpecBuffer *buffer,
                const struct ColtRequestSpec *spec,
                int64_t now_us)
{
  colt_spec_word__init (&buffer->msg);
  colt_resources_fill (&buffer->demand, &spec->demand);
  buffer->msg.team = (char *)spec->team;
  buffer->msg.queue = (char *)spec->queue;
  buffer->msg.kind = spec->kind;
  buffer->msg.demand = &buffer->demand.msg;
  buffer->msg.tasks = spec->tasks;
  buffer->msg.idempotent = spec->idempotent;
  buffer->msg.urgent = spec->urgent;
  buffer->msg.durable = spec->durable;
  buffer->msg.max_attempts = spec->max_attempts;
  buffer->msg.run_ms = spec->run_ms;
  buffer->msg.deadline_left_ms = -1;
  if (spec->deadline_us != COLT_TIME_NEVER)
    buffer->msg.deadline_left_ms
        = MAX (spec->deadline_us - now_us, 0) / COLT_US_PER_MS;
  buffer->msg.payload.data = (uint8_t *)spec->payload;
  buffer->msg.payload.len = spec->payload_size;
}

bool
colt_spec_read (const ColtSpecWord *msg,
                struct ColtRequestSpec *spec,
                int64_t now_us)
{
  if (msg == NULL || !read_name_ (msg->team, spec->team)
      || !read_name_ (msg->queue, spec->queue)
      || !colt_resources_read (msg->demand, &spec->demand))
    return false;
  if (msg->kind >= COLT_WORK_KIND_COUNT || msg->tasks < 1
      || msg->tasks > COLT_TASKS_PER_REQUEST_MAX || msg->max_attempts < 1
      || msg->payload.len > COLT_PAYLOAD_MAX)
    return false;
  spec->kind = (enum ColtWorkKind)msg->kind;
  spec->tasks = msg->tasks;
  spec->idempotent = msg->idempotent;
  spec->urgent = msg->urgent;
  spec->durable = msg->durable;
  spec->max_attempts = msg->max_attempts;
  spec->run_ms = msg->run_ms;
  spec->deadline_us = COLT_TIME_NEVER;
  if (msg->deadline_left_ms >= 0 && msg->deadline_left_ms < INT64_MAX / 2000)
    spec->deadline_us = now_us + msg->deadline_left_ms * COLT_US_PER_MS;
  spec->payload = msg->payload.data;
  spec->payload_size = msg->payload.len;
  return true;
}

ColtAnswerWord *
colt_answer_make (const struct ColtRequest *request)
{
  ColtAnswerWord *answer = malloc (sizeof *answer);
  uint32_t i;

  colt_answer_word__init (answer);
  answer->id.data = malloc (COLT_ID_SIZE);
  answer->id.len = COLT_ID_SIZE;
  memcpy (answer->id.data, request->id.bytes, COLT_ID_SIZE);
  answer->outcome = request->outcome;
  answer->reason = request->reason;
  answer->waited_ms = -1;
  if (request->started_us >= 0)
    answer->waited_ms
        = (request->started_us - request->arrived_us) / COLT_US_PER_MS;
  answer->team = strdup (request->spec.team);
  answer->n_tasks = request->spec.tasks;
  answer->tasks = malloc (request->spec.tasks * sizeof *answer->tasks);
  for (i = 0; i < request->spec.tasks; i++)
    answer->tasks[i] = make_task_answer_ (&request->tasks[i], i);
  return answer;
}

uint8_t *
colt_message_pack (const ProtobufCMessage *base, size_t *size)
{
  uint8_t *body;

  *size = protobuf_c_message_get_packed_size (base);
  body = malloc (*size + 1);
  protobuf_c_message_pack (base, body);
  return body;
}

static ColtAnswerTaskWord *
make_task_answer_ (const struct ColtRequestTask *task, uint32_t index)
{
  ColtAnswerTaskWord *answer = malloc (sizeof *answer);

  colt_answer_task_word__init (answer);
  answer->index = index;
  answer->state = task->end;
  answer->stage = task->state;
  answer->ended = task->state == COLT_REQUEST_TASK_ENDED;
  answer->uncertain = task->uncertain;
  answer->exit_status = task->exit_status;
  answer->run_ms = task->run_ms;
  answer->attempts = task->runs;
  answer->server = task->server;
  if (task->result_size > 0)
    {
      answer->result.data = malloc (task->result_size);
      answer->result.len = task->result_size;
      memcpy (answer->result.data, task->result, task->result_size);
    }
  return answer;
}

static bool
read_name_ (const char *text, char name[COLT_NAME_SIZE])
{
  if (strlen (text) >= COLT_NAME_SIZE)
    return false;
  g_strlcpy (name, text, COLT_NAME_SIZE);
  return true;
}
