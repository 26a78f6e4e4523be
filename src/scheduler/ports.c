#include "coltsfootstile/ports.h"

const char *const colt_topic_string[]
    = { "operator", "servers", "lead", "jobs" };
const char *const colt_log_outcome_string[]
    = { "done",     "not done", "unknown", "conflict", "fenced",
        "sequence", "expired",  "full",    "invalid" };
const char *const colt_answer_kind_string[]
    = { "accepted", "state",        "cancelled", "count",
        "invalid",  "unauthorized", "no queue",  "no job",
        "limited",  "not taken",    "uncertain" };
