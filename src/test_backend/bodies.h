/**
 * \file
 * \brief JSON bodies of a backend server's answers.
 */
#ifndef COLT_TEST_BACKEND_BODIES_H
#define COLT_TEST_BACKEND_BODIES_H

#define ID "01010000000000000000000000000000"
#define RESOURCES                                                              \
  "{\"cores_milli\":500,\"memory_mb\":64,\"accelerators\":0,\"slots\":1,"      \
  "\"connections\":0}"
#define TASK_FIELDS(kind, state)                                               \
  "\"task\":\"" ID "-3\",\"attempt\":2,\"shard\":5,\"shard_epoch\":8,"         \
  "\"team\":\"bookings\",\"" kind "\":\"batch\",\"state\":\"" state            \
  "\",\"limit\":" RESOURCES ",\"usage\":" RESOURCES ",\"run_ms\":40"
#define RUNNING "{" TASK_FIELDS ("kind", "running") "}"
#define FINISHED                                                               \
  "{" TASK_FIELDS ("kind", "finished") ",\"exit\":0,\"result\":\"YWI=\","      \
                                       "\"result_size\":2}"
#define INVENTORY(tasks, epochs)                                               \
  "{\"token\":7,\"tasks\":[" tasks "],\"shard_epochs\":[" epochs "]}"
#define EVENTS(events)                                                         \
  "{\"token\":7,\"next\":9,\"state\":\"leaving\",\"events\":[" events "]}"
#define EVENT(seq)                                                             \
  "{\"seq\":" seq                                                              \
  ",\"kind\":\"usage\"," TASK_FIELDS ("work_kind", "running") "}"
#define CHANGE_ANSWER(results)                                                 \
  "{\"token\":7,\"results\":[" results "],\"stops\":[]}"
#define RESULT(status)                                                         \
  "{\"task\":\"" ID "-3\",\"attempt\":2,\"status\":\"" status                  \
  "\",\"reason\":\"shard_epoch\"}"
#define DESCRIPTION(zone)                                                      \
  "{\"id\":4,\"zone\":" zone ",\"rack\":2,\"capacity\":" RESOURCES             \
  ",\"state\":\"live\",\"epoch\":6,\"owner\":1,\"remaining_ms\":1500}"
#define FENCED                                                                 \
  "{\"error\":\"fenced\",\"epoch\":6,\"owner\":3,\"remaining_ms\":1200}"
#define LEASE "{\"epoch\":6,\"token\":7,\"lease_ms\":2000}"

/** Adds the tests of the JSON decoder and encoder. */
void add_decode_tests (void);

#endif
