#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "coltsfootstile/ini.h"
#include "coltsfootstile/keyring.h"
#include "ctl.h"

#define CHUNK_SIZE 65536
#define FILE_MAX (8 * 1024 * 1024)

struct ColtPairReader
{
  struct ColtOperatorPair *pair;
  bool has_key;
  bool has_secret;
};

static void read_pair_field_ (void *client,
                              const char *section,
                              const char *key,
                              const char *value,
                              int line);

char *
colt_ctl_read_file (const char *path, size_t *size, struct ColtError *error)
{
  return colt_ctl_read_large_file (path, FILE_MAX, size, error);
}

char *
colt_ctl_read_large_file (const char *path,
                          size_t maximum,
                          size_t *size,
                          struct ColtError *error)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "rb");
  GString *text = g_string_new (NULL);
  char *chunk = g_malloc (CHUNK_SIZE);
  size_t count = 0;
  bool good = file != NULL;

  while (good && text->len <= maximum
         && (count = fread (chunk, 1, CHUNK_SIZE, file)) > 0)
    g_string_append_len (text, chunk, (gssize)count);
  if (!good || ferror (file))
    good = colt_error_set (error, COLT_ERROR_SYSTEM, COLT_STEP_READ, path, "%s",
                           g_strerror (errno));
  else if (text->len > maximum)
    good = colt_error_set (error, COLT_ERROR_EXHAUSTED, COLT_STEP_READ, path,
                           "is larger than %zu bytes", maximum);
  if (file != NULL && file != stdin)
    fclose (file);
  g_free (chunk);
  *size = text->len;
  return g_string_free (text, !good);
}

bool
colt_ctl_write_file (const char *path,
                     const char *text,
                     bool secret,
                     struct ColtError *error)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
                 secret ? 0600 : 0644);
  size_t length = strlen (text);
  bool good = fd >= 0 && write (fd, text, length) == (ssize_t)length;

  if (!good)
    colt_error_set (error, COLT_ERROR_SYSTEM, COLT_STEP_NONE, path, "%s",
                    g_strerror (errno));
  if (fd >= 0 && close (fd) != 0 && good)
    good = colt_error_set (error, COLT_ERROR_SYSTEM, COLT_STEP_NONE, path, "%s",
                           g_strerror (errno));
  return good;
}

bool
colt_ctl_read_operator_pair (const char *path,
                             struct ColtOperatorPair *pair,
                             struct ColtError *error)
{
  struct ColtPairReader reader = { pair, false, false };
  struct ColtOperatorPair derived;
  size_t size;
  int line;
  char *text = colt_ctl_read_file (path, &size, error);
  bool good;

  if (text == NULL)
    return false;
  good = colt_ini_parse (text, read_pair_field_, &reader, &line, NULL)
         && reader.has_key && reader.has_secret;
  if (good)
    {
      uint8_t seed[crypto_sign_SEEDBYTES];

      crypto_sign_ed25519_sk_to_seed (seed, pair->secret);
      colt_operator_pair_make (&derived, seed);
      good = memcmp (&derived, pair, sizeof derived) == 0;
      sodium_memzero (seed, sizeof seed);
      sodium_memzero (&derived, sizeof derived);
    }
  if (!good)
    colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_READ, path,
                    "is not a valid operator key file");
  sodium_memzero (text, size);
  g_free (text);
  return good;
}

char *
colt_ctl_read_secret (const char *path, struct ColtError *error)
{
  const char *environment = g_getenv (COLT_CTL_KEY_VARIABLE);
  size_t size;
  char *text;

  colt_error_clear (error);
  if (path == NULL)
    return g_strdup (environment);
  text = colt_ctl_read_file (path, &size, error);
  if (text == NULL)
    return NULL;
  g_strstrip (text);
  if (text[0] != '\0' && strlen (text) <= COLT_SECRET_MAX
      && strcspn (text, "\r\n") == strlen (text))
    return text;
  colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_READ, path,
                  "contains no valid key");
  g_free (text);
  return NULL;
}

struct ColtBundle *
colt_ctl_read_bundle (const char *path, bool json)
{
  struct ColtProblems *problems = colt_problems_create ();
  struct ColtBundle *bundle = NULL;
  struct ColtError error;
  size_t size;
  char *text = colt_ctl_read_file (path, &size, &error);
  json_t *list = json_array ();
  size_t i;

  if (text == NULL)
    colt_ctl_fail (json, COLT_CTL_USAGE, &error);
  else if (memchr (text, '\0', size) != NULL)
    colt_ctl_fail_text (json, COLT_CTL_USAGE, "%s: contains a zero byte", path);
  else
    bundle = colt_bundle_parse (text, problems, NULL);
  for (i = 0; i < colt_problems_count (problems); i++)
    {
      const struct ColtProblem *problem = colt_problems_get (problems, i);

      fprintf (stderr, "%s:%d: %s\n", path, problem->line, problem->reason);
      json_array_append_new (list,
                             json_pack ("{s:i,s:s}", "line", problem->line,
                                        "reason", problem->reason));
    }
  if (json && i > 0)
    colt_ctl_print (true,
                    json_pack ("{s:s,s:O}", "file", path, "problems", list));
  json_decref (list);
  colt_problems_destroy (problems);
  g_free (text);
  return bundle;
}

void
colt_ctl_fill_random (const char *seed, uint8_t bytes[32])
{
  struct ColtHash hash;

  if (seed == NULL)
    {
      randombytes_buf (bytes, 32);
      return;
    }
  hash = colt_hash_make (seed, strlen (seed));
  memcpy (bytes, hash.bytes, 32);
}

static void
read_pair_field_ (void *client,
                  const char *section,
                  const char *key,
                  const char *value,
                  int line)
{
  struct ColtPairReader *reader = client;
  size_t count;

  (void)line;
  if (strcmp (section, "operator") != 0)
    return;
  if (strcmp (key, "key") == 0)
    reader->has_key = colt_operator_key_parse (value, &reader->pair->key);
  if (strcmp (key, "secret") == 0)
    reader->has_secret
        = sodium_hex2bin (reader->pair->secret, COLT_OPERATOR_SECRET_SIZE,
                          value, strlen (value), NULL, &count, NULL)
              == 0
          && count == COLT_OPERATOR_SECRET_SIZE;
}
