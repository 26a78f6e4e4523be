#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "answer.h"
#include "check.h"

/* What an answer should have been. */
enum ColtAnswerFault
{
  ANSWER_GOOD,
  ANSWER_MISSING,
  ANSWER_DIFFERS
};

/* Finds whose answer a wrong one is. */
struct ColtAnswerOwners
{
  GHashTable *tasks; /* checksum -> name of the task; NULL: not built yet */
};

static void check_call_ (const struct ColtHistoryCheck *check,
                         const struct ColtHistoryCall *call,
                         struct ColtAnswerOwners *owners);
static enum ColtAnswerFault check_task_ (const struct ColtHistoryCheck *check,
                                         const struct ColtHistoryCall *call,
                                         guint index);
static void report_ (const struct ColtHistoryCheck *check,
                     const struct ColtHistoryCall *call,
                     const char *what);
static void report_task_ (const struct ColtHistoryCheck *check,
                          const struct ColtHistoryCall *call,
                          guint index,
                          enum ColtAnswerFault fault,
                          struct ColtAnswerOwners *owners);
static uint64_t expected_ (const struct ColtHistoryCheck *check,
                           const struct ColtHistoryCall *call,
                           guint index);
static const char *find_owner_ (const struct ColtHistoryCheck *check,
                                struct ColtAnswerOwners *owners,
                                uint64_t checksum);

void
colt_history_check_answers (const struct ColtHistoryCheck *check)
{
  struct ColtAnswerOwners owners = { NULL };
  guint i;

  for (i = 0; i < check->history->calls->len; i++)
    check_call_ (
        check,
        &g_array_index (check->history->calls, struct ColtHistoryCall, i),
        &owners);
  if (owners.tasks != NULL)
    g_hash_table_unref (owners.tasks);
}

static void
check_call_ (const struct ColtHistoryCheck *check,
             const struct ColtHistoryCall *call,
             struct ColtAnswerOwners *owners)
{
  guint i;

  if (call->outcome == COLT_HISTORY_MALFORMED
      || call->outcome == COLT_HISTORY_NONE)
    report_ (check, call, "got an answer that can't be read");
  if (call->outcome != COLT_HISTORY_DONE)
    return;
  if (call->request == 0)
    {
      report_ (check, call, "got an answer without a request id");
      return;
    }
  if (call->answer_count > call->tasks)
    report_ (check, call, "got answers of more tasks than it has");
  for (i = 0; i < call->tasks; i++)
    {
      enum ColtAnswerFault fault = check_task_ (check, call, i);

      if (fault != ANSWER_GOOD)
        {
          report_task_ (check, call, i, fault, owners);
          return;
        }
    }
}

static enum ColtAnswerFault
check_task_ (const struct ColtHistoryCheck *check,
             const struct ColtHistoryCall *call,
             guint index)
{
  const struct ColtHistoryAnswer *answer;

  if (index >= call->answer_count)
    return ANSWER_MISSING;
  answer = &g_array_index (check->history->answers, struct ColtHistoryAnswer,
                           call->first_answer + index);
  if (!answer->present)
    return ANSWER_MISSING;
  if (answer->checksum != expected_ (check, call, index))
    return ANSWER_DIFFERS;
  return ANSWER_GOOD;
}

static void
report_ (const struct ColtHistoryCheck *check,
         const struct ColtHistoryCall *call,
         const char *what)
{
  colt_history_check_show_call (
      colt_history_verdict_add (check->verdict, COLT_HISTORY_WRONG_ANSWER,
                                call->answered_us, "request %s %s",
                                colt_history_check_name (check, call->request),
                                what),
      call);
}

static void
report_task_ (const struct ColtHistoryCheck *check,
              const struct ColtHistoryCall *call,
              guint index,
              enum ColtAnswerFault fault,
              struct ColtAnswerOwners *owners)
{
  const char *owner = NULL;
  char *what;

  if (fault == ANSWER_DIFFERS)
    owner = find_owner_ (check, owners,
                         g_array_index (check->history->answers,
                                        struct ColtHistoryAnswer,
                                        call->first_answer + index)
                             .checksum);
  if (fault == ANSWER_MISSING)
    what = g_strdup_printf ("was done without the result of task %u", index);
  else if (owner != NULL)
    what = g_strdup_printf ("got the result of %s as that of task %u", owner,
                            index);
  else
    what = g_strdup_printf ("got a result of task %u that is not its own",
                            index);
  report_ (check, call, what);
  g_free (what);
}

static uint64_t
expected_ (const struct ColtHistoryCheck *check,
           const struct ColtHistoryCall *call,
           guint index)
{
  const char *payload = colt_history_text (check->history, call->payload);
  char *task = g_strdup_printf (
      "%s-%u", colt_history_check_name (check, call->request), index);
  uint64_t checksum;
  uint8_t *answer;
  size_t size;

  answer = colt_standin_answer (task, (const uint8_t *)payload,
                                strlen (payload), &size);
  checksum = XXH3_64bits (answer, size);
  free (answer);
  g_free (task);
  return checksum;
}

static const char *
find_owner_ (const struct ColtHistoryCheck *check,
             struct ColtAnswerOwners *owners,
             uint64_t checksum)
{
  const GArray *calls = check->history->calls;
  guint i;
  guint k;

  if (owners->tasks != NULL)
    return g_hash_table_lookup (owners->tasks, &checksum);
  owners->tasks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (i = 0; i < calls->len; i++)
    {
      const struct ColtHistoryCall *call
          = &g_array_index (calls, struct ColtHistoryCall, i);

      for (k = 0; call->request != 0 && k < call->tasks; k++)
        {
          uint64_t *key = g_new (uint64_t, 1);

          *key = expected_ (check, call, k);
          g_hash_table_replace (
              owners->tasks, key,
              g_strdup_printf (
                  "%s-%u", colt_history_check_name (check, call->request), k));
        }
    }
  return g_hash_table_lookup (owners->tasks, &checksum);
}
