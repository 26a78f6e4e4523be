/**
 * \file
 * \brief Settings of the daemon outside cell mode.
 */
#ifndef COLTSFOOTSTILE_DAEMON_SETTINGS_H
#define COLTSFOOTSTILE_DAEMON_SETTINGS_H

#include "coltsfootstile/membership.h"
#include "coltsfootstile/settings.h"

/** All settings with their bounds. */
extern const struct ColtSettingSpec colt_daemon_settings[];
/** Number of entries of colt_daemon_settings. */
extern const size_t colt_daemon_setting_count;

/** Another instance that is listed in the settings. */
struct ColtPeerSetting
{
  uint32_t number;                        /**< 1 to 65535 */
  uint32_t zone;                          /**< 1 to COLT_ZONE_MAX */
  char address[COLT_MEMBER_ADDRESS_SIZE]; /**< ADDRESS:PORT */
};

/**
 * Parses "NUMBER ZONE ADDRESS:PORT" with an IPv4 address.
 *
 * \param error  set on failure; may be NULL
 * \return       false with COLT_ERROR_INVALID if the text has another form or
 *               a value is out of range; \a peer is then undefined
 */
bool colt_daemon_parse_peer (const char *text,
                             struct ColtPeerSetting *peer,
                             struct ColtError *error);

#endif
