/**
 * \file
 * \brief What the commands of coltsfootstilectl share.
 */
#ifndef CTL_H
#define CTL_H

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/bundle_sign.h"
#include "coltsfootstile/http_client.h"

/** Environment variable with a caller's secret. */
#define COLT_CTL_KEY_VARIABLE "COLT_KEY"
/** Largest answer that is read, in bytes. */
#define COLT_CTL_ANSWER_MAX (16u * 1024 * 1024)
/** Time for a call that does not wait for work, in milliseconds. */
#define COLT_CTL_CALL_MS 5000u

/** Exit codes. */
enum ColtCtlExit
{
  COLT_CTL_OK = 0,
  COLT_CTL_REFUSED = 1,     /**< refused, failed or not run */
  COLT_CTL_USAGE = 2,       /**< wrong command line or input file */
  COLT_CTL_UNKNOWN = 3,     /**< it may or may not have taken effect */
  COLT_CTL_UNREACHABLE = 4, /**< nothing was sent */
  COLT_CTL_CONFLICT = 5     /**< another operator's change was first */
};

/** A command. */
struct ColtCtlCommand
{
  const char *group; /**< "" for a command without a group */
  const char *name;
  const char *summary; /**< one line */
  enum ColtCtlExit (*run) (int argc, char **argv);
};

extern const struct ColtCtlCommand colt_ctl_bundle_commands[];
extern const struct ColtCtlCommand colt_ctl_keygen_commands[];
extern const struct ColtCtlCommand colt_ctl_roll_commands[];
extern const struct ColtCtlCommand colt_ctl_key_commands[];
extern const struct ColtCtlCommand colt_ctl_task_commands[];
extern const struct ColtCtlCommand colt_ctl_state_commands[];
extern const struct ColtCtlCommand colt_ctl_load_commands[];

/** How an option is given. */
enum ColtCtlOptionKind
{
  COLT_CTL_FLAG,     /**< bool */
  COLT_CTL_TEXT,     /**< const char *, points into argv */
  COLT_CTL_ADDRESS,  /**< const char *, IP:PORT */
  COLT_CTL_NUMBER,   /**< int64_t in minimum..maximum */
  COLT_CTL_LIST,     /**< GPtrArray * of const char * */
  COLT_CTL_ADDRESSES /**< GPtrArray * of const char *, each IP:PORT */
};

/** An option, or an argument if it has no name. */
struct ColtCtlOption
{
  enum ColtCtlOptionKind kind;
  const char *name;  /**< without the dashes; NULL: an argument */
  const char *value; /**< what the value is, as in "FILE" */
  const char *help;
  bool required;
  void *at;
  int64_t minimum;
  int64_t maximum;
};

/** Options of one command. */
struct ColtCtlSyntax
{
  const char *words; /**< "coltsfootstilectl bundle check" */
  const char *summary;
  const struct ColtCtlOption *options;
  size_t count;
};

/**
 * Reads a command line; --json and --help are added.
 *
 * \param exit_code  set when the command is not to be run: help or a problem
 *                   was printed
 * \return whether the command is to be run
 */
bool colt_ctl_parse (const struct ColtCtlSyntax *syntax,
                     int argc,
                     char **argv,
                     bool *json,
                     enum ColtCtlExit *exit_code);

/** Reads a whole file; the text is freed with g_free(). "-": standard input. */
char *
colt_ctl_read_file (const char *path, size_t *size, struct ColtError *error);

/** Writes a new file. \a secret: it is readable by its owner alone. */
bool colt_ctl_write_file (const char *path,
                          const char *text,
                          bool secret,
                          struct ColtError *error);

/** Reads an operator's pair of keys. */
bool colt_ctl_read_pair (const char *path,
                         struct ColtOperatorPair *pair,
                         struct ColtError *error);

/** Reads a caller's secret from a file, or from COLT_CTL_KEY_VARIABLE if
 * \a path is NULL; freed with g_free(). NULL without an error: there is none.
 */
char *colt_ctl_read_secret (const char *path, struct ColtError *error);

/** Reads a bundle; prints every problem if it is wrong. */
struct ColtBundle *colt_ctl_read_bundle (const char *path, bool json);

/** Prints a result as JSON or as lines, and takes over it. */
void colt_ctl_print (bool json, json_t *result);

/** Reports an error on standard error, and as JSON on standard output. */
enum ColtCtlExit colt_ctl_fail (bool json,
                                enum ColtCtlExit exit_code,
                                const struct ColtError *error);

/** Does the same with a message. */
enum ColtCtlExit colt_ctl_fail_text (bool json,
                                     enum ColtCtlExit exit_code,
                                     const char *format,
                                     ...)
    __attribute__ ((format (printf, 3, 4)));

/** An answer that was waited for. */
struct ColtCtlAnswer
{
  enum ColtHttpResult result;
  int status;
  char *text;   /**< NULL unless answered */
  json_t *json; /**< NULL unless the text is a JSON object */
  char retry_after[COLT_HTTP_RETRY_AFTER_SIZE];
  struct ColtError error;
};

/** Makes a call and waits for its end. */
void colt_ctl_call (const char *address,
                    const struct ColtHttpRequest *request,
                    struct ColtCtlAnswer *answer);

/** Frees what an answer holds. */
void colt_ctl_answer_clear (struct ColtCtlAnswer *answer);

/** Returns the exit code of a call that was not answered. */
enum ColtCtlExit colt_ctl_call_exit (const struct ColtCtlAnswer *answer);

/** How the append of a record ended. */
struct ColtCtlAppend
{
  enum ColtCtlExit exit_code; /**< OK, UNREACHABLE or UNKNOWN */
  uint64_t offset;            /**< when OK */
};

/** Appends one record to the log under a new random id. */
void colt_ctl_append (const char *address,
                      uint32_t kind,
                      const uint8_t *body,
                      size_t size,
                      uint32_t timeout_ms,
                      struct ColtCtlAppend *append);

/** What an entry instance's state says of an operator's change. */
enum ColtCtlEffect
{
  COLT_CTL_PENDING,
  COLT_CTL_IN_FORCE,
  COLT_CTL_LOST,     /**< another version won */
  COLT_CTL_NOT_TAKEN /**< read, and refused */
};

/** What is waited for. */
struct ColtCtlWait
{
  const GPtrArray *entries; /**< addresses */
  uint32_t timeout_ms;
  /** Judges the state of an entry instance. */
  enum ColtCtlEffect (*judge) (void *client, const json_t *state);
  void *client;
};

/**
 * Asks entry instances for GET /v1/state/bundle until all say the same.
 *
 * \param report  gets "zones" ([{"zone","instance","ms"}]) and "waiting"
 *                ([{"entry","reason"}])
 * \return IN_FORCE, LOST or NOT_TAKEN; PENDING when the time is over
 */
enum ColtCtlEffect colt_ctl_wait (const struct ColtCtlWait *wait,
                                  json_t *report);

/** Makes random bytes; \a seed, if not NULL, makes them repeatable. */
void colt_ctl_random (const char *seed, uint8_t bytes[32]);

#endif
