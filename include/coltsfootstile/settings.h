/**
 * \file
 * \brief Settings in INI, checked as a whole.
 *
 * The owner of a set of settings describes them in a table. Reading a file
 * reports every problem at once, each with file, line, section, key and reason.
 */
#ifndef COLTSFOOTSTILE_SETTINGS_H
#define COLTSFOOTSTILE_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** How the value of a setting is read. */
enum ColtSettingKind
{
  COLT_SETTING_STRING,  /**< kept as it is */
  COLT_SETTING_INTEGER, /**< a whole number in minimum..maximum */
  COLT_SETTING_BOOLEAN, /**< true, false, yes, no, on or off */
  COLT_SETTING_ADDRESS  /**< ADDRESS:PORT, the address an IP number */
};

/** Describes one setting. */
struct ColtSettingSpec
{
  const char *section;
  const char *key;
  enum ColtSettingKind kind;
  const char *fallback; /**< value when it is left out; NULL: it is required */
  int64_t minimum;      /**< of an integer */
  int64_t maximum;      /**< of an integer */
  bool repeated;        /**< may stand more than once */
  const char *help;     /**< one line, with the unit */
};

/** Settings that have been read. */
struct ColtSettings;

/** Creates settings for a table of \a count descriptions, which must stay. */
struct ColtSettings *colt_settings_create (const struct ColtSettingSpec *specs,
                                           size_t count);

/** Destroys settings; NULL is allowed. */
void colt_settings_destroy (struct ColtSettings *settings);

/**
 * Reads a file and checks it.
 *
 * \return false with COLT_ERROR_INVALID if there is a problem; all of them are
 *         then found with colt_settings_problem()
 */
bool colt_settings_read (struct ColtSettings *settings,
                         const char *path,
                         struct ColtError *error);

/** Does the same for text in memory; \a name stands for the file's name. */
bool colt_settings_read_text (struct ColtSettings *settings,
                              const char *name,
                              const char *text,
                              struct ColtError *error);

/** Returns the number of problems found. */
size_t colt_settings_problem_count (const struct ColtSettings *settings);

/** Returns problem \a index as one line. */
const char *colt_settings_problem (const struct ColtSettings *settings,
                                   size_t index);

/** Returns a string or address setting. */
const char *colt_settings_string (const struct ColtSettings *settings,
                                  const char *section,
                                  const char *key);

/** Returns an integer setting. */
int64_t colt_settings_integer (const struct ColtSettings *settings,
                               const char *section,
                               const char *key);

/** Returns a boolean setting. */
bool colt_settings_boolean (const struct ColtSettings *settings,
                            const char *section,
                            const char *key);

/** Returns how often a repeated setting stands. */
size_t colt_settings_count (const struct ColtSettings *settings,
                            const char *section,
                            const char *key);

/** Returns value \a index of a repeated setting. */
const char *colt_settings_item (const struct ColtSettings *settings,
                                const char *section,
                                const char *key,
                                size_t index);

#endif
