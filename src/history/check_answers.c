#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "answer.h"
#include "check.h"

/* Result of the check of one task's answer. */
enum ColtAnswerFault
{
  ANSWER_GOOD,
  ANSWER_MISSING,
  ANSWER_DIFFERS
};

/* Index of tasks by their expected results, to name the task that a wrong
 * result belongs to. */
struct ColtAnswerLookup
{
  GHashTable *tasks; /* checksum of the result -> name of the task; built on
                        first use */
};

static void check_call_ (const struct ColtHistoryCheck *check,
                         const struct ColtHistoryCall *call,
                         struct ColtAnswerLookup *lookup);
static enum ColtAnswerFault check_task_ (const struct ColtHistoryCheck *check,
                                         const struct ColtHistoryCall *call,
                                         guint index);
static void report_call_ (const struct ColtHistoryCheck *check,
                          const struct ColtHistoryCall *call,
                          const char *finding);
static void report_task_ (const struct ColtHistoryCheck *check,
                          const struct ColtHistoryCall *call,
                          guint index,
                          enum ColtAnswerFault fault,
                          struct ColtAnswerLookup *lookup);
static uint64_t
compute_expected_checksum_ (const struct ColtHistoryCheck *check,
                            const struct ColtHistoryCall *call,
                            guint index);
static const char *find_task_by_result_ (const struct ColtHistoryCheck *check,
                                         struct ColtAnswerLookup *lookup,
                                         uint64_t checksum);

void
colt_history_check_answers (const struct ColtHistoryCheck *check)
{
  struct ColtAnswerLookup lookup = { NULL };
  guint i;

  for (i = 0; i < check->history->calls->len; i++)
    check_call_ (
        check,
        &g_array_index (check->history->calls, struct ColtHistoryCall, i),
        &lookup);
  if (lookup.tasks != NULL)
    g_hash_table_unref (lookup.tasks);
}

static void
check_call_ (const struct ColtHistoryCheck *check,
             const struct ColtHistoryCall *call,
             struct ColtAnswerLookup *lookup)
{
  guint i;

  if (call->outcome == COLT_HISTORY_MALFORMED
      || call->outcome == COLT_HISTORY_NONE)
    report_call_ (check, call, "got an answer that can't be read");
  if (call->outcome != COLT_HISTORY_DONE)
    return;
  if (call->request == 0)
    {
      report_call_ (check, call, "got an answer without a request id");
      return;
    }
  if (call->answer_count > call->tasks)
    report_call_ (check, call, "got answers of more tasks than it has");
  for (i = 0; i < call->tasks; i++)
    {
      enum ColtAnswerFault fault = check_task_ (check, call, i);

      if (fault != ANSWER_GOOD)
        {
          report_task_ (check, call, i, fault, lookup);
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
  if (answer->checksum != compute_expected_checksum_ (check, call, index))
    return ANSWER_DIFFERS;
  return ANSWER_GOOD;
}

static void
report_call_ (const struct ColtHistoryCheck *check,
              const struct ColtHistoryCall *call,
              const char *finding)
{
  colt_history_check_attach_call (
      colt_history_verdict_add (
          check->verdict, COLT_HISTORY_WRONG_ANSWER, call->answered_us,
          "request %s %s", colt_history_check_request_id (check, call->request),
          finding),
      call);
}

static void
report_task_ (const struct ColtHistoryCheck *check,
              const struct ColtHistoryCall *call,
              guint index,
              enum ColtAnswerFault fault,
              struct ColtAnswerLookup *lookup)
{
  const char *other_task = NULL;
  char *finding;

  if (fault == ANSWER_DIFFERS)
    other_task = find_task_by_result_ (
        check, lookup,
        g_array_index (check->history->answers, struct ColtHistoryAnswer,
                       call->first_answer + index)
            .checksum);
  if (fault == ANSWER_MISSING)
    finding = g_strdup_printf ("was done without the result of task %u", index);
  else if (other_task != NULL)
    finding = g_strdup_printf ("got the result of %s as that of task %u",
                               other_task, index);
  else
    finding = g_strdup_printf ("got a result of task %u that is not its own",
                               index);
  report_call_ (check, call, finding);
  g_free (finding);
}

static uint64_t
compute_expected_checksum_ (const struct ColtHistoryCheck *check,
                            const struct ColtHistoryCall *call,
                            guint index)
{
  const char *payload = colt_history_text (check->history, call->payload);
  char *task = g_strdup_printf (
      "%s-%u", colt_history_check_request_id (check, call->request), index);
  uint64_t checksum;
  uint8_t *answer;
  size_t size;

  answer = colt_standin_build_answer (task, (const uint8_t *)payload,
                                      strlen (payload), &size);
  checksum = XXH3_64bits (answer, size);
  free (answer);
  g_free (task);
  return checksum;
}

static const char *
find_task_by_result_ (const struct ColtHistoryCheck *check,
                      struct ColtAnswerLookup *lookup,
                      uint64_t checksum)
{
  const GArray *calls = check->history->calls;
  guint i;
  guint k;

  if (lookup->tasks != NULL)
    return g_hash_table_lookup (lookup->tasks, &checksum);
  lookup->tasks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (i = 0; i < calls->len; i++)
    {
      const struct ColtHistoryCall *call
          = &g_array_index (calls, struct ColtHistoryCall, i);

      for (k = 0; call->request != 0 && k < call->tasks; k++)
        {
          uint64_t *key = g_new (uint64_t, 1);

          *key = compute_expected_checksum_ (check, call, k);
          g_hash_table_replace (
              lookup->tasks, key,
              g_strdup_printf (
                  "%s-%u", colt_history_check_request_id (check, call->request),
                  k));
        }
    }
  return g_hash_table_lookup (lookup->tasks, &checksum);
}
