#include "coltsfootstile/task.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const colt_work_kind_string[]
    = { "interactive", "service", "batch", "gang" };

const char *const colt_task_state_string[]
    = { "running", "finished", "failed", "lapsed", "stopped" };

static int find_name_ (const char *name, const char *const *names, int count);

const char *
colt_task_format (const struct ColtTaskRef *ref, char text[COLT_TASK_TEXT_SIZE])
{
  char id[COLT_ID_TEXT_SIZE];

  snprintf (text, COLT_TASK_TEXT_SIZE, "%s-%u",
            colt_id_format (&ref->request, id),
            ref->index % COLT_TASKS_PER_REQUEST_MAX);
  return text;
}

bool
colt_task_parse (const char *text,
                 struct ColtTaskRef *ref,
                 struct ColtError *error)
{
  char id[COLT_ID_TEXT_SIZE];
  unsigned long index;
  char *end;

  if (strlen (text) < COLT_ID_TEXT_SIZE || text[COLT_ID_TEXT_SIZE - 1] != '-')
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                           "a task is named REQUEST-INDEX");
  memcpy (id, text, COLT_ID_TEXT_SIZE - 1);
  id[COLT_ID_TEXT_SIZE - 1] = '\0';
  if (!colt_id_parse (id, &ref->request, error))
    return false;
  errno = 0;
  index = strtoul (text + COLT_ID_TEXT_SIZE, &end, 10);
  if (end == text + COLT_ID_TEXT_SIZE || *end != '\0' || errno != 0
      || index >= COLT_TASKS_PER_REQUEST_MAX)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                           "a task's index is a number below %u",
                           COLT_TASKS_PER_REQUEST_MAX);
  ref->index = (uint32_t)index;
  ref->attempt = 0;
  return true;
}

bool
colt_work_kind_parse (const char *name, enum ColtWorkKind *kind)
{
  int found = find_name_ (name, colt_work_kind_string, COLT_WORK_KIND_COUNT);

  if (found < 0)
    return false;
  *kind = (enum ColtWorkKind)found;
  return true;
}

bool
colt_task_state_parse (const char *name, enum ColtTaskState *state)
{
  int found = find_name_ (name, colt_task_state_string, COLT_TASK_STOPPED + 1);

  if (found < 0)
    return false;
  *state = (enum ColtTaskState)found;
  return true;
}

bool
colt_task_equal (const struct ColtTaskRef *a, const struct ColtTaskRef *b)
{
  return colt_id_equal (&a->request, &b->request) && a->index == b->index
         && a->attempt == b->attempt;
}

static int
find_name_ (const char *name, const char *const *names, int count)
{
  int i;

  for (i = 0; i < count; i++)
    if (strcmp (name, names[i]) == 0)
      return i;
  return -1;
}
