/**
 * \file
 * \brief The daemon's settings.
 */
#ifndef COLTSFOOTSTILE_DAEMON_SETTINGS_H
#define COLTSFOOTSTILE_DAEMON_SETTINGS_H

#include "coltsfootstile/settings.h"

/** Every setting, with its bounds. */
extern const struct ColtSettingSpec colt_daemon_settings[];
/** How many there are. */
extern const size_t colt_daemon_setting_count;

#endif
