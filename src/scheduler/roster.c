#include "roster.h"

#include <string.h>

#include "coltsfootstile/cell.pb-c.h"

/* Most instances in a record. Others wait longer after a claim. */
#define LISTED_MAX 1024

struct ColtRoster
{
  uint32_t self;
  uint64_t read_term; /* of the newest record; 0: none */
  GArray *read;       /* instances of the newest record */
  uint64_t claimed_term;
  GArray *listed; /* for the latest claim or renewal */
  bool recorded;  /* the log certainly has what was listed last */
};

static guint find_place_ (const GArray *instances, uint32_t instance);
static bool is_at_ (const GArray *instances, guint place, uint32_t instance);

struct ColtRoster *
colt_roster_create (uint32_t self)
{
  struct ColtRoster *roster = g_new0 (struct ColtRoster, 1);

  roster->self = self;
  roster->read = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  roster->listed = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  return roster;
}

void
colt_roster_destroy (struct ColtRoster *roster)
{
  if (roster == NULL)
    return;
  g_array_unref (roster->read);
  g_array_unref (roster->listed);
  g_free (roster);
}

bool
colt_roster_read_record (struct ColtRoster *roster,
                         const uint8_t *value,
                         size_t size)
{
  ColtFollowersRecord *record
      = colt_followers_record__unpack (NULL, size, value);
  size_t i;

  if (record == NULL)
    return false;
  if (record->term >= roster->read_term)
    {
      roster->read_term = record->term;
      g_array_set_size (roster->read, 0);
      for (i = 0; i < record->n_instances; i++)
        colt_roster_add (roster->read, record->instances[i]);
    }
  colt_followers_record__free_unpacked (record, NULL);
  return true;
}

bool
colt_roster_is_recorded (const struct ColtRoster *roster, uint64_t term)
{
  return roster->read_term != 0 && roster->read_term == term;
}

bool
colt_roster_lists_self (const struct ColtRoster *roster, uint64_t term)
{
  return colt_roster_is_recorded (roster, term)
         && is_at_ (roster->read, find_place_ (roster->read, roster->self),
                    roster->self);
}

void
colt_roster_prepare_claim (struct ColtRoster *roster,
                           uint64_t term,
                           uint32_t former_leader)
{
  guint i;

  if (term != roster->claimed_term)
    g_array_set_size (roster->listed, 0);
  roster->claimed_term = term;
  roster->recorded = false;
  if (former_leader != 0 && former_leader != roster->self)
    colt_roster_add (roster->listed, former_leader);
  for (i = 0;
       colt_roster_is_recorded (roster, term - 1) && i < roster->read->len; i++)
    {
      uint32_t instance = g_array_index (roster->read, uint32_t, i);

      if (instance != roster->self)
        colt_roster_add (roster->listed, instance);
    }
}

bool
colt_roster_prepare_renewal (struct ColtRoster *roster, const GArray *instances)
{
  gsize size = instances->len * sizeof (uint32_t);

  if (roster->recorded && roster->listed->len == instances->len
      && (size == 0
          || memcmp (roster->listed->data, instances->data, size) == 0))
    return false;
  g_array_set_size (roster->listed, 0);
  g_array_append_vals (roster->listed, instances->data, instances->len);
  roster->recorded = false;
  return true;
}

const GArray *
colt_roster_listed (const struct ColtRoster *roster)
{
  return roster->listed;
}

uint8_t *
colt_roster_pack (const struct ColtRoster *roster, uint64_t term, size_t *size)
{
  ColtFollowersRecord record = COLT_FOLLOWERS_RECORD__INIT;
  uint8_t *value;

  record.term = term;
  record.instances = (uint32_t *)roster->listed->data;
  record.n_instances = roster->listed->len;
  *size = colt_followers_record__get_packed_size (&record);
  value = g_malloc (*size);
  colt_followers_record__pack (&record, value);
  return value;
}

void
colt_roster_handle_append (struct ColtRoster *roster, bool durable)
{
  roster->recorded = durable;
}

void
colt_roster_add (GArray *instances, uint32_t instance)
{
  guint place = find_place_ (instances, instance);

  if (!is_at_ (instances, place, instance) && instances->len < LISTED_MAX)
    g_array_insert_val (instances, place, instance);
}

static guint
find_place_ (const GArray *instances, uint32_t instance)
{
  guint place = 0;

  while (place < instances->len
         && g_array_index (instances, uint32_t, place) < instance)
    place++;
  return place;
}

static bool
is_at_ (const GArray *instances, guint place, uint32_t instance)
{
  return place < instances->len
         && g_array_index (instances, uint32_t, place) == instance;
}
