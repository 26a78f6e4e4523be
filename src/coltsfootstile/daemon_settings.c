#include "daemon_settings.h"

#include <inttypes.h>
#include <stdio.h>

#include "coltsfootstile/address.h"
#include "coltsfootstile/http_listener.h"
#include "coltsfootstile/id.h"

/* Highest number of an instance. */
#define NUMBER_MAX 65535

const struct ColtSettingSpec colt_daemon_settings[] = {
  { "instance", "number", COLT_SETTING_INTEGER, NULL, 1, NUMBER_MAX, false,
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
  COLT_HTTP_LIMIT_SETTINGS ("8192", "60000"),
};

const size_t colt_daemon_setting_count
    = sizeof colt_daemon_settings / sizeof colt_daemon_settings[0];

bool
colt_daemon_parse_peer (const char *text,
                        struct ColtPeerSetting *peer,
                        struct ColtError *error)
{
  struct ColtAddress address;
  char rest;

  if (sscanf (text, "%" SCNu32 " %" SCNu32 " %31s %c", &peer->number,
              &peer->zone, peer->address, &rest)
      != 3)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, NULL,
                           "\"%s\" is not NUMBER ZONE ADDRESS:PORT", text);
  if (peer->number < 1 || peer->number > NUMBER_MAX || peer->zone < 1
      || peer->zone > COLT_ZONE_MAX)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, NULL,
                           "\"%s\" has a number or a zone out of range", text);
  if (colt_address_parse (peer->address, &address) != COLT_ADDRESS_VALID)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, NULL,
                           "\"%s\" has no ADDRESS:PORT", text);
  return true;
}
