#include "daemon_settings.h"

#include "coltsfootstile/id.h"

const struct ColtSettingSpec colt_daemon_settings[] = {
  { "instance", "number", COLT_SETTING_INTEGER, NULL, 1, 65535, false,
    "this instance's number, unlike any other's" },
  { "instance", "zone", COLT_SETTING_INTEGER, NULL, 1, COLT_ZONE_MAX, false,
    "the availability zone's number" },
  { "instance", "wire", COLT_SETTING_ADDRESS, NULL, 0, 0, false,
    "where other instances connect" },
  { "instance", "http", COLT_SETTING_ADDRESS, NULL, 0, 0, false,
    "where callers and operators connect" },
  { "instance", "grace_ms", COLT_SETTING_INTEGER, "8000", 500, 600000, false,
    "longest time for a planned stop, in milliseconds" },
  { "instance", "peer", COLT_SETTING_STRING, NULL, 0, 0, true,
    "another instance: NUMBER ZONE ADDRESS:PORT" },
  { "platform", "log", COLT_SETTING_ADDRESS, NULL, 0, 0, false,
    "the log service" },
  { "platform", "list", COLT_SETTING_ADDRESS, NULL, 0, 0, false,
    "the instance list" },
  { "platform", "list_interval_ms", COLT_SETTING_INTEGER, "1000", 50, 60000,
    false, "time between two looks at the instance list, in milliseconds" },
  { "platform", "log_retention_s", COLT_SETTING_INTEGER, "86400", 10, 31536000,
    false, "how long the log service keeps a record, in seconds" },
  { "platform", "server_timeout_ms", COLT_SETTING_INTEGER, "600", 50, 60000,
    false, "until a call to a backend server counts as lost, in milliseconds" },
  { "trust", "operator", COLT_SETTING_STRING, NULL, 0, 0, true,
    "public key of an operator who may sign the first bundle" },
  { "log", "level", COLT_SETTING_STRING, "info", 0, 0, false,
    "error, warning, info or debug" },
};

const size_t colt_daemon_setting_count
    = sizeof colt_daemon_settings / sizeof colt_daemon_settings[0];
