#include "coltsfootstile/json.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static bool fail_member_ (const struct ColtJsonContext *context,
                          const char *name,
                          const char *reason);

json_t *
colt_json_parse (const struct ColtJsonContext *context,
                 const char *text,
                 size_t size)
{
  json_error_t parse_error;
  json_t *root = json_loadb (text, size, JSON_REJECT_DUPLICATES, &parse_error);

  if (root == NULL)
    {
      colt_error_set (context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                      context->peer, "line %d: %s", parse_error.line,
                      parse_error.text);
      return NULL;
    }
  if (json_is_object (root))
    return root;
  json_decref (root);
  colt_error_set (context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                  context->peer, "the text is not a JSON object");
  return NULL;
}

bool
colt_json_get_integer (const struct ColtJsonContext *context,
                       const json_t *object,
                       const char *name,
                       int64_t minimum,
                       int64_t maximum,
                       int64_t *value)
{
  const json_t *member = json_object_get (object, name);

  if (!json_is_integer (member))
    return fail_member_ (context, name, "is not a whole number");
  *value = json_integer_value (member);
  if (*value < minimum || *value > maximum)
    return fail_member_ (context, name, "is out of range");
  return true;
}

bool
colt_json_get_u32 (const struct ColtJsonContext *context,
                   const json_t *object,
                   const char *name,
                   uint32_t minimum,
                   uint32_t *value)
{
  int64_t number;

  if (!colt_json_get_integer (context, object, name, minimum, UINT32_MAX,
                              &number))
    return false;
  *value = (uint32_t)number;
  return true;
}

bool
colt_json_get_u64 (const struct ColtJsonContext *context,
                   const json_t *object,
                   const char *name,
                   uint64_t *value)
{
  int64_t number;

  if (!colt_json_get_integer (context, object, name, 0, INT64_MAX, &number))
    return false;
  *value = (uint64_t)number;
  return true;
}

bool
colt_json_get_string (const struct ColtJsonContext *context,
                      const json_t *object,
                      const char *name,
                      const char **value)
{
  const json_t *member = json_object_get (object, name);

  if (!json_is_string (member))
    return fail_member_ (context, name, "is not a string");
  *value = json_string_value (member);
  return true;
}

bool
colt_json_copy_string (const struct ColtJsonContext *context,
                       const json_t *object,
                       const char *name,
                       char *buffer,
                       size_t size)
{
  const char *value;
  size_t length;

  if (!colt_json_get_string (context, object, name, &value))
    return false;
  length = strlen (value);
  if (length >= size)
    return fail_member_ (context, name, "is too long");
  memcpy (buffer, value, length + 1);
  return true;
}

bool
colt_json_get_enum (const struct ColtJsonContext *context,
                    const json_t *object,
                    const char *name,
                    const char *const *names,
                    int count,
                    int *index)
{
  const char *value;
  int i;

  if (!colt_json_get_string (context, object, name, &value))
    return false;
  for (i = 0; i < count; i++)
    if (strcmp (value, names[i]) == 0)
      {
        *index = i;
        return true;
      }
  return fail_member_ (context, name, "has an unknown value");
}

bool
colt_json_get_array (const struct ColtJsonContext *context,
                     const json_t *object,
                     const char *name,
                     const json_t **value)
{
  *value = json_object_get (object, name);
  return json_is_array (*value)
         || fail_member_ (context, name, "is not an array");
}

bool
colt_json_get_object (const struct ColtJsonContext *context,
                      const json_t *object,
                      const char *name,
                      const json_t **value)
{
  *value = json_object_get (object, name);
  return json_is_object (*value)
         || fail_member_ (context, name, "is not an object");
}

bool
colt_json_get_bytes (const struct ColtJsonContext *context,
                     const json_t *object,
                     const char *name,
                     uint8_t **bytes,
                     size_t *size)
{
  const char *text;
  size_t length;

  if (!colt_json_get_string (context, object, name, &text))
    return false;
  length = strlen (text);
  *bytes = malloc (length / 4 * 3 + 3);
  if (*bytes != NULL
      && sodium_base642bin (*bytes, length / 4 * 3 + 3, text, length, NULL,
                            size, NULL, sodium_base64_VARIANT_ORIGINAL)
             == 0)
    return true;
  free (*bytes);
  *bytes = NULL;
  return fail_member_ (context, name, "is not valid base64");
}

json_t *
colt_json_encode_bytes (const uint8_t *bytes, size_t size)
{
  size_t length
      = sodium_base64_encoded_len (size, sodium_base64_VARIANT_ORIGINAL);
  char *text = malloc (length);
  json_t *value;

  if (text == NULL)
    abort ();
  sodium_bin2base64 (text, length, bytes, size, sodium_base64_VARIANT_ORIGINAL);
  value = json_string (text);
  free (text);
  return value;
}

static bool
fail_member_ (const struct ColtJsonContext *context,
              const char *name,
              const char *reason)
{
  colt_error_set (context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                  context->peer, "\"%s\" %s", name, reason);
  return false;
}
