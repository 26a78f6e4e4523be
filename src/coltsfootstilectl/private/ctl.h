/**
 * \file
 * \brief Command line, files, output and calls shared by the commands of
 * coltsfootstilectl.
 *
 * The calls run an event loop of their own and return when they have ended, so
 * a command is plain sequential code.
 */
#ifndef CTL_H
#define CTL_H

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/bundle_sign.h"
#include "coltsfootstile/fleet.h"
#include "coltsfootstile/http_client.h"

/** Environment variable with a caller's secret. */
#define COLT_CTL_KEY_VARIABLE "COLT_KEY"
/** Largest accepted body of an answer, in bytes. */
#define COLT_CTL_ANSWER_MAX (16u * 1024 * 1024)
/** Timeout of a call that does not wait for work to end, in milliseconds. */
#define COLT_CTL_CALL_TIMEOUT_MS 5000u

/** Exit codes of the program. */
enum ColtCtlExit
{
  COLT_CTL_OK = 0,
  COLT_CTL_REFUSED = 1,     /**< refused, failed or not run */
  COLT_CTL_USAGE = 2,       /**< invalid command line or input file */
  COLT_CTL_UNKNOWN = 3,     /**< the operation may have taken effect */
  COLT_CTL_UNREACHABLE = 4, /**< no answer, and nothing was changed */
  COLT_CTL_CONFLICT = 5     /**< another operator's change came first */
};

/** A command. A table of commands ends with an entry of NULLs. */
struct ColtCtlCommand
{
  const char *group; /**< "" for a command without a group */
  const char *name;
  const char *summary; /**< one line */
  /** Runs the command; \a argv[0] is the last word of the command. */
  enum ColtCtlExit (*run) (int argc, char **argv);
};

extern const struct ColtCtlCommand colt_ctl_bundle_commands[];
extern const struct ColtCtlCommand colt_ctl_keygen_commands[];
extern const struct ColtCtlCommand colt_ctl_roll_commands[];
extern const struct ColtCtlCommand colt_ctl_key_commands[];
extern const struct ColtCtlCommand colt_ctl_task_commands[];
extern const struct ColtCtlCommand colt_ctl_state_commands[];
extern const struct ColtCtlCommand colt_ctl_load_commands[];
extern const struct ColtCtlCommand colt_ctl_config_commands[];

/** Type of an option's value, and of the variable that receives it. */
enum ColtCtlOptionKind
{
  COLT_CTL_FLAG,     /**< bool */
  COLT_CTL_TEXT,     /**< const char *, points into argv */
  COLT_CTL_ADDRESS,  /**< const char *, IP:PORT */
  COLT_CTL_NUMBER,   /**< int64_t in minimum..maximum */
  COLT_CTL_LIST,     /**< GPtrArray * of const char * */
  COLT_CTL_ADDRESSES /**< GPtrArray * of const char *, each IP:PORT */
};

/** An option, or a positional argument if it has no name. */
struct ColtCtlOption
{
  enum ColtCtlOptionKind kind;
  const char *name;        /**< without the dashes; NULL for an argument */
  const char *placeholder; /**< shown in the help for the value, as "FILE" */
  const char *help;
  bool required;
  void *target; /**< variable that receives the value, see \a kind */
  int64_t minimum;
  int64_t maximum;
};

/** Command line syntax of one command. */
struct ColtCtlSyntax
{
  const char *command; /**< as typed, "coltsfootstilectl bundle check" */
  const char *summary;
  const struct ColtCtlOption *options;
  size_t count; /**< number of \a options */
};

/**
 * Parses a command line and stores its values in the targets of the options.
 * The options --json and --help are added to those of \a syntax.
 *
 * \param json       set to whether --json is given
 * \param exit_code  set to COLT_CTL_OK if the help was printed, to
 *                   COLT_CTL_USAGE if the command line is invalid; meaningless
 *                   if true is returned
 * \return whether the command is to be run; false after printing the help or
 *         the errors
 */
bool colt_ctl_parse (const struct ColtCtlSyntax *syntax,
                     int argc,
                     char **argv,
                     bool *json,
                     enum ColtCtlExit *exit_code);

/**
 * Reads a whole file.
 *
 * \param path   "-" for standard input
 * \param size   set to the size in bytes, without the final zero
 * \param error  set if the file can't be read or is larger than 8 MiB
 * \return the text with a final zero, to be freed with g_free(); NULL on error
 */
char *
colt_ctl_read_file (const char *path, size_t *size, struct ColtError *error);

/**
 * Reads a whole file of at most \a maximum bytes; see colt_ctl_read_file().
 *
 * \param error  COLT_ERROR_EXHAUSTED if it is larger
 */
char *colt_ctl_read_large_file (const char *path,
                                size_t maximum,
                                size_t *size,
                                struct ColtError *error);

/**
 * Creates a file and writes \a text to it. An existing file is an error and
 * stays as it is.
 *
 * \param secret  whether only the file's owner may read it
 * \return false with an error if the file can't be created or written
 */
bool colt_ctl_write_file (const char *path,
                          const char *text,
                          bool secret,
                          struct ColtError *error);

/**
 * Reads an operator's key file.
 *
 * \return false with an error if the file can't be read, is malformed, or its
 *         public key does not belong to its secret key
 */
bool colt_ctl_read_operator_pair (const char *path,
                                  struct ColtOperatorPair *pair,
                                  struct ColtError *error);

/**
 * Reads a caller's secret.
 *
 * \param path   the file; NULL for the variable COLT_CTL_KEY_VARIABLE
 * \param error  cleared, then set if the file can't be read or contains no key
 * \return the secret, to be freed with g_free(); NULL on error, and without an
 *         error if \a path is NULL and the variable is not set
 */
char *colt_ctl_read_secret (const char *path, struct ColtError *error);

/**
 * Reads a bundle, and prints every problem if it is invalid.
 *
 * \param json  whether problems are printed as JSON too
 * \return to be freed with colt_bundle_destroy(); NULL if it is invalid
 */
struct ColtBundle *colt_ctl_read_bundle (const char *path, bool json);

/**
 * Prints a result on standard output, as one line of JSON or as indented text.
 *
 * \param result  a JSON object; its reference is consumed
 */
void colt_ctl_print (bool json, json_t *result);

/**
 * Prints an error on standard error, and with \a json also as JSON on standard
 * output.
 *
 * \return \a exit_code
 */
enum ColtCtlExit colt_ctl_fail (bool json,
                                enum ColtCtlExit exit_code,
                                const struct ColtError *error);

/**
 * Prints a formatted error message on standard error, and with \a json also as
 * JSON on standard output.
 *
 * \return \a exit_code
 */
enum ColtCtlExit colt_ctl_fail_text (bool json,
                                     enum ColtCtlExit exit_code,
                                     const char *format,
                                     ...)
    __attribute__ ((format (printf, 3, 4)));

/** The end of an HTTP call. */
struct ColtCtlAnswer
{
  enum ColtHttpResult result;
  int status;   /**< HTTP status; 0 unless answered */
  char *text;   /**< body; NULL unless answered */
  json_t *json; /**< parsed body; NULL unless it is a JSON object */
  char retry_after[COLT_HTTP_RETRY_AFTER_SIZE]; /**< "" if there is none */
  struct ColtError error;                       /**< set unless answered */
};

/**
 * Makes an HTTP call and waits until it has ended.
 *
 * \param address  IP:PORT
 * \param answer   overwritten; to be cleared with colt_ctl_answer_clear()
 */
void colt_ctl_call (const char *address,
                    const struct ColtHttpRequest *request,
                    struct ColtCtlAnswer *answer);

/** Frees the text and the JSON of an answer and sets them to NULL. */
void colt_ctl_answer_clear (struct ColtCtlAnswer *answer);

/** Returns the exit code for a call that was not answered. */
enum ColtCtlExit colt_ctl_call_exit (const struct ColtCtlAnswer *answer);

/** Result of appending a record. */
struct ColtCtlAppend
{
  enum ColtCtlExit exit_code; /**< OK, UNREACHABLE or UNKNOWN */
  uint64_t offset;            /**< of the record in the log, if OK */
};

/**
 * Appends one record with a new random id to the log, and waits for the result.
 *
 * \param address     IP:PORT of the log service
 * \param kind        enum ColtRecordKind
 * \param body        encoded record of \a size bytes
 * \param timeout_ms  timeout of the append in milliseconds
 */
void colt_ctl_append (const char *address,
                      uint32_t kind,
                      const uint8_t *body,
                      size_t size,
                      uint32_t timeout_ms,
                      struct ColtCtlAppend *append);

/** Effect of an operator's change, as the state of an entry instance shows. */
enum ColtCtlEffect
{
  COLT_CTL_EFFECT_PENDING,  /**< the state shows no effect yet */
  COLT_CTL_EFFECT_IN_FORCE, /**< the change is in force */
  COLT_CTL_EFFECT_CONFLICT, /**< another version won */
  COLT_CTL_EFFECT_REFUSED   /**< the record was read and refused */
};

/** Parameters of colt_ctl_wait(). */
struct ColtCtlWait
{
  const GPtrArray *entries; /**< addresses of entry instances, IP:PORT */
  uint32_t timeout_ms;
  /** Returns the effect that the state of an entry instance shows. */
  enum ColtCtlEffect (*evaluate) (void *client, const json_t *state);
  void *client; /**< passed to \a evaluate */
};

/**
 * Polls GET /v1/state/bundle of all entry instances until each shows an effect
 * other than COLT_CTL_EFFECT_PENDING, or the timeout expires.
 *
 * \param report  JSON object that gets "zones" ([{"zone","instance","ms"}]),
 *                with the milliseconds until the instance showed an effect, and
 *                "waiting" ([{"entry","reason"}]), with the pending instances
 * \return COLT_CTL_EFFECT_IN_FORCE if all instances show it;
 *         COLT_CTL_EFFECT_CONFLICT or COLT_CTL_EFFECT_REFUSED if one shows it;
 *         otherwise COLT_CTL_EFFECT_PENDING
 */
enum ColtCtlEffect colt_ctl_wait (const struct ColtCtlWait *wait,
                                  json_t *report);

/**
 * Reads the configuration that is in force from the platform's log.
 *
 * \param address  IP:PORT of the log
 * \param error    set if the log can't be read, or contains no configuration or
 *                 one that cells can't read
 * \return to be released with colt_fleet_unref(); NULL on error
 */
struct ColtFleet *colt_ctl_read_config_in_force (const char *address,
                                                 struct ColtError *error);

/** Fills \a bytes with random bytes, or with the hash of \a seed if it is not
 * NULL, so that the bytes are repeatable. */
void colt_ctl_fill_random (const char *seed, uint8_t bytes[32]);

#endif
