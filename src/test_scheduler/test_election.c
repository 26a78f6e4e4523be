#include <string.h>

#include "fake_ports.h"
#include "scheduler_private.h"
#include "tests.h"

/* Real time in which a single instance becomes the leader. */
#define ELECT_MS 400
/* Real time in which an instance that joins reads the log. */
#define JOIN_MS 100
/* Number of the instance at 127.0.0.0. */
#define LOOPBACK (127u << 24)

/* An instance that takes part in the election, and the results of its
 * callbacks. */
struct ColtParticipant
{
  struct ColtSchedulerSettings settings;
  uint32_t elected; /* how often */
  uint32_t deposed; /* how often */
  uint64_t term;
  struct ColtElection *election;
  int64_t confirmed_us; /* at the last election */
  struct ColtFakePorts *fake;
  int64_t appended_us; /* last append before the last election */
  uint32_t follower;   /* an instance on whose word it relies; 0: none */
};

static void
on_elected (void *client, uint64_t term)
{
  struct ColtParticipant *participant = client;

  participant->elected++;
  participant->term = term;
  participant->confirmed_us
      = colt_election_confirmed_us (participant->election);
  participant->appended_us = participant->fake->last_append_us;
}

static void
on_deposed (void *client)
{
  struct ColtParticipant *participant = client;

  participant->deposed++;
}

static void
on_leader_change (void *client)
{
  (void)client;
}

static void
on_list_followers (void *client, GArray *instances)
{
  const struct ColtParticipant *participant = client;

  if (participant->follower != 0)
    g_array_append_val (instances, participant->follower);
}

static void
join_election (struct ColtFakePorts *fake, struct ColtParticipant *participant)
{
  const struct ColtElectionClient client
      = { on_elected, on_deposed, on_leader_change, on_list_followers,
          participant };

  participant->fake = fake;
  participant->election = colt_election_create (
      fake->base, &fake->ports, &participant->settings, &client);
}

/* Lets the first participant become the leader before the others join. */
static struct ColtFakePorts *
start_with_leader (struct ColtParticipant *participants, size_t count)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  size_t i;

  join_election (fake, &participants[0]);
  colt_fake_ports_run (fake, ELECT_MS);
  g_assert_cmpuint (participants[0].elected, ==, 1);
  for (i = 1; i < count; i++)
    join_election (fake, &participants[i]);
  colt_fake_ports_run (fake, JOIN_MS);
  return fake;
}

static void
destroy_election (struct ColtFakePorts *fake,
                  struct ColtParticipant *participants,
                  size_t count)
{
  size_t i;

  for (i = 0; i < count; i++)
    colt_election_destroy (participants[i].election);
  colt_fake_ports_destroy (fake);
}

/* Adds a record of a leader at 127.0.0.9:1. The packed record must contain no
 * zero byte, because it is added as a string. */
static void
put_leader (struct ColtFakePorts *fake,
            const char *name,
            uint64_t term,
            uint64_t incarnation)
{
  ColtLeadRecord leader = COLT_LEAD_RECORD__INIT;
  char value[64] = { 0 };

  leader.instance = (char *)name;
  leader.address = "127.0.0.9:1";
  leader.term = term;
  leader.incarnation = incarnation;
  colt_lead_record__pack (&leader, (uint8_t *)value);
  colt_fake_ports_put (fake, COLT_TOPIC_LEADER, "lead", value);
}

/* Returns the value of the newest record of a key. */
static const uint8_t *
newest_value (const struct ColtFakePorts *fake, const char *key, gsize *size)
{
  const GArray *topic = fake->topics[COLT_TOPIC_LEADER];
  guint i = topic->len;

  while (i-- > 0)
    {
      const struct ColtFakeRecord *record
          = &g_array_index (topic, struct ColtFakeRecord, i);

      if (strcmp (record->key, key) == 0)
        return g_bytes_get_data (record->value, size);
    }
  return NULL;
}

/* Returns the newest record of a leader; to be freed by the caller. */
static ColtLeadRecord *
newest_leader (const struct ColtFakePorts *fake)
{
  gsize size = 0;
  const uint8_t *value = newest_value (fake, "lead", &size);

  return colt_lead_record__unpack (NULL, size, value);
}

static void
test_stronger_leads (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtParticipant participants[]
      = { { { .name = "weak", .internal = "127.0.0.1:1", .strength = 0.05 } },
          { { .name = "strong", .internal = "127.0.0.2:1", .strength = 1 } } };
  struct ColtParticipant *weak = &participants[0];
  struct ColtParticipant *strong = &participants[1];

  join_election (fake, weak);
  join_election (fake, strong);
  colt_fake_ports_run (fake, 900);
  g_assert_cmpuint (strong->elected, ==, 1);
  g_assert_cmpuint (weak->elected, ==, 0);
  g_assert_cmpuint (strong->term, ==, 1);
  g_assert_cmpstr (colt_election_leader (weak->election), ==, "127.0.0.2:1");
  colt_election_leave (strong->election, 0);
  colt_fake_ports_run (fake, 1200);
  g_assert_cmpuint (strong->deposed, ==, 1);
  g_assert_cmpuint (weak->elected, ==, 1);
  g_assert_cmpuint (weak->term, ==, 2);
  destroy_election (fake, participants, G_N_ELEMENTS (participants));
}

/* Instances that suspect a leader, because their connections to it break as it
 * leaves, still let stronger instances claim first. */
static void
test_leave_suspected (void)
{
  struct ColtParticipant participants[] = {
    { { .name = "leaving", .internal = "127.0.0.1:1", .strength = 1 } },
    { { .name = "weak", .internal = "127.0.0.2:1", .strength = 0.05 } },
    { { .name = "strong", .internal = "127.0.0.3:1", .strength = 0.2 } }
  };
  struct ColtFakePorts *fake = start_with_leader (participants, 3);

  colt_election_set_suspect (participants[1].election, true);
  colt_election_set_suspect (participants[2].election, true);
  colt_election_leave (participants[0].election, 0);
  colt_fake_ports_run (fake, 900);
  g_assert_cmpuint (participants[1].elected, ==, 0);
  g_assert_cmpuint (participants[2].elected, ==, 1);
  destroy_election (fake, participants, G_N_ELEMENTS (participants));
}

/* An instance reads the log again before it claims a term. It drops the claim
 * if another instance has claimed the term in the meantime, even if the late
 * answer to this read lacks that record. */
static void
test_stale_read (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtParticipant participant
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  int i;

  put_leader (fake, "other", 3, 1);
  join_election (fake, &participant);
  fake->fault = FAULT_STALE_READS;
  for (i = 0; i < 200 && fake->immediate_reads == 0; i++)
    colt_fake_ports_run (fake, 20);
  g_assert_cmpuint (fake->immediate_reads, ==, 1);
  put_leader (fake, "third", 4, 1);
  colt_fake_ports_run (fake, 600);
  g_assert_cmpuint (participant.elected, ==, 0);
  g_assert_cmpuint (colt_election_term (participant.election), ==, 4);
  destroy_election (fake, &participant, 1);
}

/* Stronger instances claim before weaker ones also if the leader is suspected
 * only when the shorter timeout for a suspected leader has already passed. */
static void
test_late_suspicion (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtParticipant participants[] = {
    { { .name = "weak", .internal = "127.0.0.2:1", .strength = 0.05 } },
    { { .name = "strong", .internal = "127.0.0.3:1", .strength = 0.2 } }
  };

  put_leader (fake, "other", 3, 1);
  join_election (fake, &participants[0]);
  join_election (fake, &participants[1]);
  colt_fake_ports_run (fake, 1200);
  colt_election_set_suspect (participants[0].election, true);
  colt_election_set_suspect (participants[1].election, true);
  colt_fake_ports_run (fake, 500);
  g_assert_cmpuint (participants[0].elected, ==, 0);
  g_assert_cmpuint (participants[1].elected, ==, 1);
  destroy_election (fake, participants, G_N_ELEMENTS (participants));
}

/* Processes of two instances that start at the same time have equal
 * incarnations; the claim of one must still depose the other. */
static void
test_equal_incarnations (void)
{
  struct ColtParticipant participant
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  struct ColtFakePorts *fake = start_with_leader (&participant, 1);
  ColtLeadRecord *leader = newest_leader (fake);

  g_assert_nonnull (leader);
  put_leader (fake, "other", 2, leader->incarnation);
  colt_fake_ports_run (fake, 200);
  g_assert_cmpuint (participant.deposed, ==, 1);
  colt_lead_record__free_unpacked (leader, NULL);
  destroy_election (fake, &participant, 1);
}

/* The successor that a leader names as it leaves claims immediately. If the
 * successor is absent, others claim after a short delay. */
static void
test_successor (void)
{
  const uint32_t two = (127u << 24) + 2;
  const uint32_t absent = (127u << 24) + 9;
  int i;

  for (i = 0; i < 2; i++)
    {
      struct ColtParticipant participants[] = {
        { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } },
        { { .name = "two", .internal = "127.0.0.2:1", .strength = 0.05 } },
        { { .name = "three", .internal = "127.0.0.3:1", .strength = 0.5 } }
      };
      struct ColtFakePorts *fake = start_with_leader (participants, 3);

      colt_election_leave (participants[0].election, i == 0 ? two : absent);
      /* The weak instance would wait longer than this if it weren't named. */
      colt_fake_ports_run (fake, 400);
      g_assert_cmpuint (participants[1].elected, ==, i == 0 ? 1 : 0);
      g_assert_cmpuint (participants[2].elected, ==, 0);
      colt_fake_ports_run (fake, 1000);
      g_assert_cmpuint (participants[2].elected, ==, i == 0 ? 0 : 1);
      destroy_election (fake, participants, G_N_ELEMENTS (participants));
    }
}

/* A leader that fails to record that it leaves retries, so that its successor
 * reads the record and claims. */
static void
test_leave_retried (void)
{
  struct ColtParticipant participants[]
      = { { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } },
          { { .name = "two", .internal = "127.0.0.2:1", .strength = 0.05 } } };
  struct ColtFakePorts *fake = start_with_leader (participants, 2);

  fake->fault = FAULT_REFUSED;
  colt_election_leave (participants[0].election, (127u << 24) + 2);
  colt_fake_ports_run (fake, 150);
  g_assert_cmpuint (participants[0].deposed, ==, 0);
  fake->fault = FAULT_NONE;
  colt_fake_ports_run (fake, 200);
  g_assert_cmpuint (participants[0].deposed, ==, 1);
  g_assert_cmpuint (participants[1].elected, ==, 1);
  destroy_election (fake, participants, G_N_ELEMENTS (participants));
}

/* A leader that yields lets an instance of equal strength claim the next term.
 */
static void
test_yield (void)
{
  struct ColtParticipant participants[]
      = { { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } },
          { { .name = "two", .internal = "127.0.0.2:1", .strength = 1 } } };
  struct ColtFakePorts *fake = start_with_leader (participants, 2);

  colt_election_yield (participants[0].election, 0);
  colt_fake_ports_run (fake, 500);
  g_assert_cmpuint (participants[0].deposed, ==, 1);
  g_assert_cmpuint (participants[0].elected, ==, 1);
  g_assert_cmpuint (participants[1].elected, ==, 1);
  destroy_election (fake, participants, G_N_ELEMENTS (participants));
}

/* Renewals that take effect keep leadership even if their answers are lost.
 * Rejected renewals don't, and the leader steps down as soon as another
 * instance has claimed the next term. */
static void
test_lost_answers (void)
{
  struct ColtParticipant participant
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  struct ColtFakePorts *fake = start_with_leader (&participant, 1);
  int64_t confirmed_us;

  fake->fault = FAULT_LOST_ANSWERS;
  colt_fake_ports_run (fake, 1500);
  g_assert_true (colt_election_is_leader (participant.election));
  fake->fault = FAULT_REFUSED;
  confirmed_us = colt_election_confirmed_us (participant.election);
  colt_fake_ports_run (fake, 700);
  g_assert_true (colt_election_renewal_rejected (participant.election));
  g_assert_cmpint (colt_election_confirmed_us (participant.election), ==,
                   confirmed_us);
  colt_election_set_fenced (participant.election);
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (participant.deposed, ==, 1);
  destroy_election (fake, &participant, 1);
}

/* While the log is unresponsive no instance claims, because it couldn't see
 * whether its claim took effect. It claims once the log answers again. */
static void
test_unresponsive_log (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtParticipant participant
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };

  put_leader (fake, "other", 3, 1);
  join_election (fake, &participant);
  colt_fake_ports_run (fake, 100);
  g_assert_cmpstr (colt_election_leader (participant.election), ==,
                   "127.0.0.9:1");
  fake->fault = FAULT_UNRESPONSIVE;
  colt_fake_ports_run (fake, 2600);
  g_assert_cmpuint (fake->appends, ==, 0);
  fake->fault = FAULT_NONE;
  colt_fake_ports_run (fake, 3500);
  g_assert_cmpuint (participant.elected, ==, 1);
  g_assert_cmpuint (participant.term, ==, 4);
  destroy_election (fake, &participant, 1);
}

/* A restarted leader claims the next term without waiting for the renewals of
 * its former process to time out. */
static void
test_restarted_leader (void)
{
  struct ColtParticipant first
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  struct ColtParticipant second = first;
  struct ColtFakePorts *fake = start_with_leader (&first, 1);

  colt_election_destroy (first.election);
  join_election (fake, &second);
  colt_fake_ports_run (fake, 400);
  g_assert_cmpuint (second.elected, ==, 1);
  g_assert_cmpuint (second.term, ==, 2);
  destroy_election (fake, &second, 1);
}

/* A leader whose claim had no answer may promise leases from the sending of
 * that claim: not from its earlier leadership, which would make its leases end
 * too soon, nor from the reading of its record, which may be late. */
static void
test_claim_without_answer (void)
{
  struct ColtParticipant participant
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  struct ColtFakePorts *fake = start_with_leader (&participant, 1);

  put_leader (fake, "other", 2, 1);
  colt_fake_ports_run (fake, 1000);
  g_assert_cmpuint (participant.deposed, ==, 1);
  fake->fault = FAULT_LOST_ANSWERS;
  colt_fake_ports_run (fake, 1200);
  g_assert_cmpuint (participant.elected, ==, 2);
  g_assert_cmpint (participant.confirmed_us, <=, participant.appended_us);
  g_assert_cmpint (participant.confirmed_us, >=,
                   participant.appended_us - COLT_US_PER_MS);
  destroy_election (fake, &participant, 1);
}

/* Returns the newest record of a leader's followers; to be freed by the
 * caller. */
static ColtFollowersRecord *
newest_followers (const struct ColtFakePorts *fake)
{
  gsize size = 0;
  const uint8_t *value = newest_value (fake, "followers", &size);

  return value != NULL ? colt_followers_record__unpack (NULL, size, value)
                       : NULL;
}

/* Adds the record of a leader's followers. */
static void
put_followers (struct ColtFakePorts *fake,
               uint64_t term,
               uint32_t *instances,
               size_t count)
{
  ColtFollowersRecord followers = COLT_FOLLOWERS_RECORD__INIT;
  struct ColtFakeRecord record = { g_strdup ("followers"), NULL };
  uint8_t *value;
  size_t size;

  followers.term = term;
  followers.instances = instances;
  followers.n_instances = count;
  size = colt_followers_record__get_packed_size (&followers);
  value = g_malloc (size);
  colt_followers_record__pack (&followers, value);
  record.value = g_bytes_new_take (value, size);
  g_array_append_val (fake->topics[COLT_TOPIC_LEADER], record);
}

/* Lets an instance claim after a leader of term 3, which a heartbeat has
 * reached contact_age_us ago, and returns the extension of its wait in
 * milliseconds, as recorded after a second. */
static int64_t
claim_after_contact (int64_t contact_age_us, int64_t *extension_us)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtParticipant participant
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  ColtLeadRecord *leader;
  int64_t extension_ms;
  int i;

  put_leader (fake, "other", 3, 1);
  join_election (fake, &participant);
  colt_election_set_contact (participant.election, 3,
                             colt_clock_monotonic_us () - contact_age_us);
  for (i = 0; i < 200 && participant.elected == 0; i++)
    colt_fake_ports_run (fake, 20);
  g_assert_cmpuint (participant.elected, ==, 1);
  *extension_us = colt_election_extension_us (participant.election);
  colt_fake_ports_run (fake, 1000);
  leader = newest_leader (fake);
  g_assert_cmpuint (leader->term, ==, 4);
  extension_ms = leader->extension_ms;
  colt_lead_record__free_unpacked (leader, NULL);
  destroy_election (fake, &participant, 1);
  return extension_ms;
}

/* Guards against a wait that is too short for the leases of a leader whose
 * instances don't include this one. */
static void
test_claim_without_contact (void)
{
  int64_t extension_us;

  g_assert_cmpint (claim_after_contact (COLT_US_PER_S, &extension_us), ==, 0);
  g_assert_cmpint (extension_us, ==, 0);
  g_assert_cmpint (claim_after_contact (COLT_CONTACT_MAX_US, &extension_us), >,
                   (COLT_EXTENSION_MAX_US - 2 * COLT_US_PER_S)
                       / COLT_US_PER_MS);
  g_assert_cmpint (extension_us, >, COLT_EXTENSION_MAX_US - COLT_US_PER_S);
}

/* Guards against a second change of the leader that forgets the wait of the
 * first one. */
static void
test_extension_inherited (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtParticipant participant
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  ColtLeadRecord leader = COLT_LEAD_RECORD__INIT;
  char value[64] = { 0 };

  leader.instance = "other";
  leader.address = "127.0.0.9:1";
  leader.term = 3;
  leader.incarnation = 1;
  leader.vacant = true;
  leader.extension_ms = 9000;
  colt_lead_record__pack (&leader, (uint8_t *)value);
  colt_fake_ports_put (fake, COLT_TOPIC_LEADER, "lead", value);
  join_election (fake, &participant);
  colt_fake_ports_run (fake, ELECT_MS);
  g_assert_cmpuint (participant.elected, ==, 1);
  g_assert_cmpint (colt_election_extension_us (participant.election), >,
                   8000 * COLT_US_PER_MS);
  destroy_election (fake, &participant, 1);
}

/* Lets an instance without contact claim after a leader of term 3 at 127.0.0.9
 * that relied on two others, and on this one or not. */
static void
claim_after_leader (bool listed, struct ColtParticipant *participant)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  uint32_t followers[] = { LOOPBACK + 1, LOOPBACK + 3, LOOPBACK + 5 };
  ColtFollowersRecord *inherited;
  int i;

  put_followers (fake, 3, &followers[listed ? 0 : 1], listed ? 3 : 2);
  put_leader (fake, "other", 3, 1);
  join_election (fake, participant);
  for (i = 0; i < 200 && participant->elected == 0; i++)
    colt_fake_ports_run (fake, 20);
  g_assert_cmpuint (participant->elected, ==, 1);
  participant->appended_us = colt_election_extension_us (participant->election);
  inherited = newest_followers (fake);
  g_assert_cmpuint (inherited->term, ==, 4);
  g_assert_cmpuint (inherited->n_instances, ==, 3);
  g_assert_cmpuint (inherited->instances[0], ==, LOOPBACK + 3);
  g_assert_cmpuint (inherited->instances[1], ==, LOOPBACK + 5);
  g_assert_cmpuint (inherited->instances[2], ==, LOOPBACK + 9);
  colt_followers_record__free_unpacked (inherited, NULL);
  destroy_election (fake, participant, 1);
}

/* Guards against a wait of 20 s for leases that the former leader can't have
 * renewed: it relied on this instance, whose process has started since. */
static void
test_claim_when_listed (void)
{
  struct ColtParticipant listed
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  struct ColtParticipant unlisted = listed;

  claim_after_leader (true, &listed);
  g_assert_cmpint (listed.appended_us, ==, 0);
  claim_after_leader (false, &unlisted);
  g_assert_cmpint (unlisted.appended_us, >,
                   COLT_EXTENSION_MAX_US - COLT_US_PER_S);
}

/* A renewal records the followers when they change, and again while that may
 * not have taken effect. */
static void
test_followers_recorded (void)
{
  struct ColtParticipant participant
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  struct ColtFakePorts *fake = start_with_leader (&participant, 1);
  const GArray *topic = fake->topics[COLT_TOPIC_LEADER];
  ColtFollowersRecord *followers;
  guint records;

  participant.follower = LOOPBACK + 2;
  colt_fake_ports_run (fake, 500);
  followers = newest_followers (fake);
  g_assert_cmpuint (followers->n_instances, ==, 1);
  g_assert_cmpuint (followers->instances[0], ==, LOOPBACK + 2);
  colt_followers_record__free_unpacked (followers, NULL);
  fake->fault = FAULT_LOST_APPENDS;
  participant.follower = LOOPBACK + 3;
  colt_fake_ports_run (fake, 500);
  participant.follower = LOOPBACK + 2;
  fake->fault = FAULT_NONE;
  records = topic->len;
  colt_fake_ports_run (fake, 500);
  g_assert_cmpstr (g_array_index (topic, struct ColtFakeRecord, records).key,
                   ==, "followers");
  records = topic->len;
  colt_fake_ports_run (fake, 500);
  g_assert_cmpuint (topic->len, >, records);
  g_assert_cmpstr (g_array_index (topic, struct ColtFakeRecord, records).key,
                   ==, "lead");
  destroy_election (fake, &participant, 1);
}

/* Guards against an instance that shuts down while it yields leadership, and
 * takes part in elections again. */
static void
test_stop_while_yielding (void)
{
  struct ColtParticipant participant
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  struct ColtFakePorts *fake = start_with_leader (&participant, 1);

  g_assert_true (colt_election_yield (participant.election, 0));
  colt_election_leave (participant.election, 0);
  colt_fake_ports_run (fake, 4500);
  g_assert_cmpuint (participant.deposed, ==, 1);
  g_assert_cmpuint (participant.elected, ==, 1);
  destroy_election (fake, &participant, 1);
}

void
colt_test_election_add (void)
{
  g_test_add_func ("/scheduler/election/stronger-leads", test_stronger_leads);
  g_test_add_func ("/scheduler/election/leave-suspected", test_leave_suspected);
  g_test_add_func ("/scheduler/election/stale-read", test_stale_read);
  g_test_add_func ("/scheduler/election/late-suspicion", test_late_suspicion);
  g_test_add_func ("/scheduler/election/equal-incarnations",
                   test_equal_incarnations);
  g_test_add_func ("/scheduler/election/successor", test_successor);
  g_test_add_func ("/scheduler/election/leave-retried", test_leave_retried);
  g_test_add_func ("/scheduler/election/yields", test_yield);
  g_test_add_func ("/scheduler/election/lost-answers", test_lost_answers);
  g_test_add_func ("/scheduler/election/restarted-lead", test_restarted_leader);
  g_test_add_func ("/scheduler/election/claim-without-answer",
                   test_claim_without_answer);
  g_test_add_func ("/scheduler/election/silent-log", test_unresponsive_log);
  g_test_add_func ("/scheduler/election/claim-without-contact",
                   test_claim_without_contact);
  g_test_add_func ("/scheduler/election/extension-inherited",
                   test_extension_inherited);
  g_test_add_func ("/scheduler/election/claim-when-listed",
                   test_claim_when_listed);
  g_test_add_func ("/scheduler/election/followers-recorded",
                   test_followers_recorded);
  g_test_add_func ("/scheduler/election/stop-while-yielding",
                   test_stop_while_yielding);
}
