/**
 * \file
 * \brief Settings in INI files, with all problems of a file reported together.
 *
 * A program describes its settings in a table of struct ColtSettingSpec. Each
 * problem of a file is reported with file, line, section, key and reason.
 */
#ifndef COLTSFOOTSTILE_SETTINGS_H
#define COLTSFOOTSTILE_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** Type of a setting's value. */
enum ColtSettingKind
{
  COLT_SETTING_STRING,  /**< any text that isn't empty */
  COLT_SETTING_INTEGER, /**< a whole number from minimum to maximum */
  COLT_SETTING_BOOLEAN, /**< true, false, yes, no, on or off */
  COLT_SETTING_ADDRESS  /**< ADDRESS:PORT with an IPv4 address */
};

/** Description of one setting. */
struct ColtSettingSpec
{
  const char *section;
  const char *key;
  enum ColtSettingKind kind;
  const char *fallback; /**< default value; NULL: the setting is required */
  int64_t minimum;      /**< lowest value of an integer */
  int64_t maximum;      /**< highest value of an integer */
  bool repeated;        /**< may occur any number of times */
  const char *help;     /**< one line, with the unit */
};

/** A set of settings with their values. */
struct ColtSettings;

/**
 * Creates settings without values.
 *
 * \param specs  the descriptions; must outlive the settings
 * \param count  number of descriptions
 */
struct ColtSettings *colt_settings_create (const struct ColtSettingSpec *specs,
                                           size_t count);

/** Frees settings; NULL is allowed. */
void colt_settings_destroy (struct ColtSettings *settings);

/**
 * Reads and checks a file.
 *
 * \return false with COLT_ERROR_INVALID and the first problem if there is one;
 *         colt_settings_problem() returns each of them
 */
bool colt_settings_read (struct ColtSettings *settings,
                         const char *path,
                         struct ColtError *error);

/** Reads and checks text in memory like colt_settings_read(); \a name is the
 * file name in problems. */
bool colt_settings_read_text (struct ColtSettings *settings,
                              const char *name,
                              const char *text,
                              struct ColtError *error);

/** Returns the number of problems found. */
size_t colt_settings_problem_count (const struct ColtSettings *settings);

/** Returns problem \a index, from 0, as one line; owned by the settings. */
const char *colt_settings_problem (const struct ColtSettings *settings,
                                   size_t index);

/** Returns the value of a string or address setting; owned by the settings.
 * The setting must have a value. */
const char *colt_settings_string (const struct ColtSettings *settings,
                                  const char *section,
                                  const char *key);

/** Returns the value of an integer setting, which must have one. */
int64_t colt_settings_integer (const struct ColtSettings *settings,
                               const char *section,
                               const char *key);

/** Returns the value of a boolean setting, which must have one. */
bool colt_settings_boolean (const struct ColtSettings *settings,
                            const char *section,
                            const char *key);

/** Returns the number of values of a repeated setting. */
size_t colt_settings_count (const struct ColtSettings *settings,
                            const char *section,
                            const char *key);

/** Returns value \a index, from 0, of a repeated setting; owned by the
 * settings. */
const char *colt_settings_item (const struct ColtSettings *settings,
                                const char *section,
                                const char *key,
                                size_t index);

#endif
