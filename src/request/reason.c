#include "coltsfootstile/reason.h"

const char *const colt_outcome_string[]
    = { "pending", "done", "failed", "not_run", "unknown", "cancelled" };

const char *const colt_reason_string[]
    = { "none",          "bad_request",      "no_key",          "bad_key",
        "stale_keys",    "no_bundle",        "no_queue",        "never_fits",
        "over_limit",    "queue_full",       "overloaded",      "deadline",
        "cancelled",     "log_down",         "needs_minted_id", "expired_id",
        "history_lost",  "home_unreachable", "server_lost",     "task_failed",
        "retries_spent", "mismatch",         "stopping" };

const char *const colt_reason_text[] = {
  "",
  "The request is malformed.",
  "This queue takes work only with a key.",
  "The key is unknown, withdrawn or belongs to another team.",
  "Withdrawn keys can't be known here at the moment.",
  "No bundle is in force here yet.",
  "The bundle has no such queue.",
  "No backend server is large enough.",
  "The request is larger than the team's upper limit.",
  "The queue is full.",
  "This instance is overloaded.",
  "The deadline has passed or can't be kept.",
  "The request was cancelled.",
  "Work for later can't be made durable at the moment.",
  "Work that is not idempotent needs a request id made by the service.",
  "The request id is too old.",
  "Whether the request ran is no longer known.",
  "The request's home zone can't be reached.",
  "The backend server was lost while the request ran.",
  "A task ended with an error.",
  "No attempt is left.",
  "The request id was used for another request.",
  "This instance is shutting down.",
};

bool
colt_reason_is_transient (enum ColtReason reason)
{
  switch (reason)
    {
    case COLT_REASON_STALE_KEYS:
    case COLT_REASON_NO_BUNDLE:
    case COLT_REASON_QUEUE_FULL:
    case COLT_REASON_OVERLOADED:
    case COLT_REASON_LOG_DOWN:
    case COLT_REASON_HOME_UNREACHABLE:
    case COLT_REASON_STOPPING:
      return true;
    default:
      return false;
    }
}
