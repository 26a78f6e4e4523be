#include "bundle_record.h"

#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/bundle_chain.h"

static GHashTable *split_sections_ (const char *text);
static char *copy_section_name_ (const char *start);
static void write_delta_ (const struct ColtBundle *bundle,
                          const struct ColtBundle *parent,
                          GPtrArray *removed,
                          GString *changed);
static gint compare_strings_ (gconstpointer a, gconstpointer b);
static uint8_t *pack_record_ (const Colt__BundleRecord *record, size_t *size);

int
colt_link_read (struct ColtBundleLink *link,
                const Colt__BundleLink *message,
                struct ColtError *error)
{
  memset (link, 0, sizeof *link);
  if (message == NULL
      || !colt_bytes_copy (&message->body_hash, link->body_hash.bytes,
                           COLT_HASH_SIZE)
      || !colt_bytes_copy (&message->operator_key,
                           link->signature.operator_key.bytes,
                           COLT_OPERATOR_KEY_SIZE)
      || !colt_bytes_copy (&message->signature, link->signature.bytes,
                           COLT_SIGNATURE_SIZE)
      || !colt_bundle_header_parse (message->header, &link->header))
    {
      colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                      "the bundle's header is malformed");
      return COLT_CHAIN_MALFORMED;
    }
  link->hash = colt_bundle_hash_parts (message->header, &link->body_hash);
  if (!colt_sign_verify (&link->signature, COLT_SIGN_BUNDLE, link->hash.bytes,
                         COLT_HASH_SIZE))
    {
      colt_bundle_header_clear (&link->header);
      colt_error_set (error, COLT_ERROR_REFUSED, COLT_STEP_CHECK, NULL,
                      "the bundle's signature is invalid");
      return COLT_CHAIN_UNSIGNED;
    }
  link->header_text = g_strdup (message->header);
  return COLT_CHAIN_ACCEPTED;
}

void
colt_link_clear (struct ColtBundleLink *link)
{
  colt_bundle_header_clear (&link->header);
  g_free (link->header_text);
  link->header_text = NULL;
}

void
colt_link_copy (struct ColtBundleLink *to, const struct ColtBundleLink *from)
{
  *to = *from;
  to->header_text = g_strdup (from->header_text);
  g_array_ref (to->header.operators);
}

void
colt_link_write (const struct ColtBundleLink *link, Colt__BundleLink *message)
{
  colt__bundle_link__init (message);
  message->header = link->header_text;
  message->body_hash.data = (uint8_t *)link->body_hash.bytes;
  message->body_hash.len = COLT_HASH_SIZE;
  message->operator_key.data = (uint8_t *)link->signature.operator_key.bytes;
  message->operator_key.len = COLT_OPERATOR_KEY_SIZE;
  message->signature.data = (uint8_t *)link->signature.bytes;
  message->signature.len = COLT_SIGNATURE_SIZE;
}

struct ColtBundle *
colt_link_build_bundle (const struct ColtBundleLink *link,
                        const char *body,
                        struct ColtError *error)
{
  char *text = g_strconcat (link->header_text, body, NULL);
  struct ColtBundle *bundle = colt_bundle_parse (text, NULL, error);

  g_free (text);
  if (bundle != NULL && !colt_hash_equal (&bundle->hash, &link->hash))
    {
      colt_error_set (
          error, COLT_ERROR_REFUSED, COLT_STEP_CHECK, NULL,
          "the resulting bundle's hash differs from the signed one");
      colt_bundle_destroy (bundle);
      bundle = NULL;
    }
  return bundle;
}

char *
colt_delta_apply (const struct ColtBundle *parent,
                  const Colt__BundleDelta *delta)
{
  GHashTable *sections = split_sections_ (colt_bundle_body (parent));
  GHashTable *changed = split_sections_ (delta->changed);
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  size_t i;

  for (i = 0; i < delta->n_removed; i++)
    g_hash_table_remove (sections, delta->removed[i]);
  g_hash_table_iter_init (&iter, changed);
  while (g_hash_table_iter_next (&iter, &name, &value))
    g_hash_table_remove (sections, name);
  g_hash_table_iter_init (&iter, sections);
  while (g_hash_table_iter_next (&iter, &name, &value))
    g_string_append (text, value);
  g_string_append (text, delta->changed);
  g_hash_table_unref (sections);
  g_hash_table_unref (changed);
  return g_string_free (text, FALSE);
}

uint8_t *
colt_bundle_encode (const struct ColtBundle *bundle,
                    const struct ColtSignature *signature,
                    const struct ColtBundle *parent,
                    size_t *size)
{
  Colt__BundleRecord record = COLT__BUNDLE_RECORD__INIT;
  Colt__BundleDelta delta = COLT__BUNDLE_DELTA__INIT;
  Colt__BundleLink message;
  struct ColtBundleLink link = { .header = bundle->header,
                                 .header_text = bundle->header_text,
                                 .body_hash = bundle->body_hash,
                                 .signature = *signature };
  GPtrArray *removed = g_ptr_array_new ();
  GString *changed = g_string_new (NULL);
  uint8_t *body;

  colt_link_write (&link, &message);
  record.link = &message;
  if (parent == NULL)
    {
      record.content_case = COLT__BUNDLE_RECORD__CONTENT_BODY;
      record.body = (char *)colt_bundle_body (bundle);
      body = pack_record_ (&record, size);
    }
  else
    {
      write_delta_ (bundle, parent, removed, changed);
      delta.n_removed = removed->len;
      delta.removed = (char **)removed->pdata;
      delta.changed = changed->str;
      record.content_case = COLT__BUNDLE_RECORD__CONTENT_DELTA;
      record.delta = &delta;
      body = pack_record_ (&record, size);
    }
  g_ptr_array_set_free_func (removed, g_free);
  g_ptr_array_unref (removed);
  g_string_free (changed, TRUE);
  return body;
}

bool
colt_bytes_copy (const ProtobufCBinaryData *bytes, uint8_t *to, size_t size)
{
  if (bytes->len != size)
    return false;
  memcpy (to, bytes->data, size);
  return true;
}

static uint8_t *
pack_record_ (const Colt__BundleRecord *record, size_t *size)
{
  uint8_t *body = malloc (colt__bundle_record__get_packed_size (record));

  *size = colt__bundle_record__pack (record, body);
  return body;
}

static void
write_delta_ (const struct ColtBundle *bundle,
              const struct ColtBundle *parent,
              GPtrArray *removed,
              GString *changed)
{
  GHashTable *old = split_sections_ (colt_bundle_body (parent));
  GHashTable *new = split_sections_ (colt_bundle_body (bundle));
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, old);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (!g_hash_table_contains (new, name))
      g_ptr_array_add (removed, g_strdup (name));
  g_hash_table_iter_init (&iter, new);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (g_strcmp0 (g_hash_table_lookup (old, name), value) != 0)
      g_ptr_array_add (names, name);
  g_ptr_array_sort (removed, compare_strings_);
  g_ptr_array_sort (names, compare_strings_);
  for (i = 0; i < names->len; i++)
    g_string_append (changed,
                     g_hash_table_lookup (new, g_ptr_array_index (names, i)));
  g_ptr_array_unref (names);
  g_hash_table_unref (old);
  g_hash_table_unref (new);
}

/* Returns the sections of a canonical text: heading without brackets -> text
   including the blank line at its end. */
static GHashTable *
split_sections_ (const char *text)
{
  GHashTable *sections
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  while (*text == '[')
    {
      const char *end = strstr (text + 1, "\n[");

      end = end != NULL ? end + 1 : text + strlen (text);
      g_hash_table_replace (sections, copy_section_name_ (text),
                            g_strndup (text, end - text));
      text = end;
    }
  return sections;
}

static char *
copy_section_name_ (const char *start)
{
  return g_strndup (start + 1, strcspn (start + 1, "]\n"));
}

static gint
compare_strings_ (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}
