/**
 * \file
 * \brief The daemon's settings.
 */
#ifndef COLTSFOOTSTILE_DAEMON_SETTINGS_H
#define COLTSFOOTSTILE_DAEMON_SETTINGS_H

#include "coltsfootstile/membership.h"
#include "coltsfootstile/settings.h"

/** Every setting, with its bounds. */
extern const struct ColtSettingSpec colt_daemon_settings[];
/** How many there are. */
extern const size_t colt_daemon_setting_count;

/** Another instance that the settings name. */
struct ColtPeerSetting
{
  uint32_t number;
  uint32_t zone;
  char address[COLT_MEMBER_ADDRESS_SIZE];
};

/**
 * Reads "NUMBER ZONE ADDRESS:PORT".
 *
 * \return false with COLT_ERROR_INVALID if it is anything else
 */
bool colt_daemon_parse_peer (const char *text,
                             struct ColtPeerSetting *peer,
                             struct ColtError *error);

#endif
