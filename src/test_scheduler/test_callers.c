#include <glib.h>

#include "scheduler_private.h"
#include "tests.h"

/* A leader accepts a job, its answer is lost, and the key is withdrawn before
 * the next attempt: the caller must not be told that the job was rejected. */
static void
test_rejection_after_lost_answer (void)
{
  static const enum ColtAnswerKind rejections[]
      = { COLT_ANSWER_NOT_ACCEPTED, COLT_ANSWER_LIMITED, COLT_ANSWER_NO_QUEUE,
          COLT_ANSWER_UNAUTHORIZED, COLT_ANSWER_INVALID };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (rejections); i++)
    {
      g_assert_cmpint (
          colt_scheduler_final_answer (COLT_CALLER_SUBMIT, rejections[i], true),
          ==, COLT_ANSWER_UNCERTAIN);
      g_assert_cmpint (colt_scheduler_final_answer (COLT_CALLER_SUBMIT,
                                                    rejections[i], false),
                       ==, rejections[i]);
      g_assert_cmpint (
          colt_scheduler_final_answer (COLT_CALLER_CANCEL, rejections[i], true),
          ==, rejections[i]);
    }
  g_assert_cmpint (colt_scheduler_final_answer (COLT_CALLER_SUBMIT,
                                                COLT_ANSWER_ACCEPTED, true),
                   ==, COLT_ANSWER_ACCEPTED);
}

void
colt_test_callers_add (void)
{
  g_test_add_func ("/scheduler/callers/rejection-after-lost-answer",
                   test_rejection_after_lost_answer);
}
