#include <string.h>

#include "fake_ports.h"
#include "scheduler_private.h"
#include "tests.h"

/* Real time in which an instance alone claims the lead. */
#define ELECT_MS 400
/* Real time in which an instance that joins has read the log. */
#define JOIN_MS 100

/* An instance that takes part, and what it was told. */
struct ColtVoter
{
  struct ColtSchedulerSettings settings;
  uint32_t elected;
  uint32_t deposed;
  uint64_t term;
  struct ColtElection *election;
};

static void
take_elected (void *client, uint64_t term)
{
  struct ColtVoter *voter = client;

  voter->elected++;
  voter->term = term;
}

static void
take_deposed (void *client)
{
  struct ColtVoter *voter = client;

  voter->deposed++;
}

static void
take_changed (void *client)
{
  (void)client;
}

static void
join (struct ColtFakePorts *fake, struct ColtVoter *voter)
{
  const struct ColtElectionClient client
      = { take_elected, take_deposed, take_changed, voter };

  voter->election = colt_election_create (fake->base, &fake->ports,
                                          &voter->settings, &client);
}

/* The first instance leads before the others join. */
static struct ColtFakePorts *
join_after_first (struct ColtVoter *voters, size_t count)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  size_t i;

  join (fake, &voters[0]);
  colt_fake_ports_run (fake, ELECT_MS);
  g_assert_cmpuint (voters[0].elected, ==, 1);
  for (i = 1; i < count; i++)
    join (fake, &voters[i]);
  colt_fake_ports_run (fake, JOIN_MS);
  return fake;
}

static void
end (struct ColtFakePorts *fake, struct ColtVoter *voters, size_t count)
{
  size_t i;

  for (i = 0; i < count; i++)
    colt_election_destroy (voters[i].election);
  colt_fake_ports_destroy (fake);
}

static void
put_lead (struct ColtFakePorts *fake,
          const char *name,
          uint64_t term,
          uint64_t incarnation)
{
  ColtLeadRecord lead = COLT_LEAD_RECORD__INIT;
  char value[64] = { 0 };

  lead.instance = (char *)name;
  lead.address = "127.0.0.9:1";
  lead.term = term;
  lead.incarnation = incarnation;
  colt_lead_record__pack (&lead, (uint8_t *)value);
  colt_fake_ports_put (fake, COLT_TOPIC_LEADER, "lead", value);
}

static void
test_stronger_leads (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtVoter voters[]
      = { { { .name = "weak", .internal = "127.0.0.1:1", .strength = 0.05 } },
          { { .name = "strong", .internal = "127.0.0.2:1", .strength = 1 } } };
  struct ColtVoter *weak = &voters[0];
  struct ColtVoter *strong = &voters[1];

  join (fake, weak);
  join (fake, strong);
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
  end (fake, voters, G_N_ELEMENTS (voters));
}

/* The instances whose connections to a leaving lead break as it leaves still
 * let the stronger ones claim first. */
static void
test_leaves_suspect (void)
{
  struct ColtVoter voters[] = {
    { { .name = "leaving", .internal = "127.0.0.1:1", .strength = 1 } },
    { { .name = "weak", .internal = "127.0.0.2:1", .strength = 0.05 } },
    { { .name = "strong", .internal = "127.0.0.3:1", .strength = 0.2 } }
  };
  struct ColtFakePorts *fake = join_after_first (voters, 3);

  colt_election_set_suspect (voters[1].election, true);
  colt_election_set_suspect (voters[2].election, true);
  colt_election_leave (voters[0].election, 0);
  colt_fake_ports_run (fake, 900);
  g_assert_cmpuint (voters[1].elected, ==, 0);
  g_assert_cmpuint (voters[2].elected, ==, 1);
  end (fake, voters, G_N_ELEMENTS (voters));
}

/* A claim that was due before another instance claimed isn't made after. */
static void
test_old_answer (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtVoter voter
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  int i;

  put_lead (fake, "other", 3, 1);
  join (fake, &voter);
  fake->fault = FAULT_OLD_READS;
  for (i = 0; i < 200 && fake->probes == 0; i++)
    colt_fake_ports_run (fake, 20);
  g_assert_cmpuint (fake->probes, ==, 1);
  put_lead (fake, "third", 4, 1);
  colt_fake_ports_run (fake, 600);
  g_assert_cmpuint (voter.elected, ==, 0);
  g_assert_cmpuint (colt_election_term (voter.election), ==, 4);
  end (fake, &voter, 1);
}

/* A suspicion that comes late doesn't take away the lead that stronger
 * instances have over weaker ones. */
static void
test_late_suspicion (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtVoter voters[] = {
    { { .name = "weak", .internal = "127.0.0.2:1", .strength = 0.05 } },
    { { .name = "strong", .internal = "127.0.0.3:1", .strength = 0.2 } }
  };

  put_lead (fake, "other", 3, 1);
  join (fake, &voters[0]);
  join (fake, &voters[1]);
  colt_fake_ports_run (fake, 1200);
  colt_election_set_suspect (voters[0].election, true);
  colt_election_set_suspect (voters[1].election, true);
  colt_fake_ports_run (fake, 500);
  g_assert_cmpuint (voters[0].elected, ==, 0);
  g_assert_cmpuint (voters[1].elected, ==, 1);
  end (fake, voters, G_N_ELEMENTS (voters));
}

/* Two processes that start at the same moment aren't one. */
static void
test_same_moment (void)
{
  struct ColtVoter voter
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  struct ColtFakePorts *fake = join_after_first (&voter, 1);
  const struct ColtFakeRecord *record = &g_array_index (
      fake->topics[COLT_TOPIC_LEADER], struct ColtFakeRecord, 0);
  ColtLeadRecord *lead;
  gconstpointer data;
  gsize size;

  data = g_bytes_get_data (record->value, &size);
  lead = colt_lead_record__unpack (NULL, size, data);
  g_assert_nonnull (lead);
  put_lead (fake, "other", 2, lead->incarnation);
  colt_fake_ports_run (fake, 200);
  g_assert_cmpuint (voter.deposed, ==, 1);
  colt_lead_record__free_unpacked (lead, NULL);
  end (fake, &voter, 1);
}

/* The instance that a lead names leads after it, at once; others don't wait for
 * it for long. */
static void
test_successor (void)
{
  const uint32_t two = (127u << 24) + 2;
  const uint32_t absent = (127u << 24) + 9;
  int i;

  for (i = 0; i < 2; i++)
    {
      struct ColtVoter voters[] = {
        { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } },
        { { .name = "two", .internal = "127.0.0.2:1", .strength = 0.05 } },
        { { .name = "three", .internal = "127.0.0.3:1", .strength = 0.5 } }
      };
      struct ColtFakePorts *fake = join_after_first (voters, 3);

      colt_election_leave (voters[0].election, i == 0 ? two : absent);
      /* Without its name the weak one would wait for longer than this. */
      colt_fake_ports_run (fake, 400);
      g_assert_cmpuint (voters[1].elected, ==, i == 0 ? 1 : 0);
      g_assert_cmpuint (voters[2].elected, ==, 0);
      colt_fake_ports_run (fake, 1000);
      g_assert_cmpuint (voters[2].elected, ==, i == 0 ? 0 : 1);
      end (fake, voters, G_N_ELEMENTS (voters));
    }
}

/* A lead that can't write that it leaves tries again, so that its successor
 * learns of it. */
static void
test_leaves_again (void)
{
  struct ColtVoter voters[]
      = { { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } },
          { { .name = "two", .internal = "127.0.0.2:1", .strength = 0.05 } } };
  struct ColtFakePorts *fake = join_after_first (voters, 2);

  fake->fault = FAULT_REFUSED;
  colt_election_leave (voters[0].election, (127u << 24) + 2);
  colt_fake_ports_run (fake, 150);
  g_assert_cmpuint (voters[0].deposed, ==, 0);
  fake->fault = FAULT_NONE;
  colt_fake_ports_run (fake, 200);
  g_assert_cmpuint (voters[0].deposed, ==, 1);
  g_assert_cmpuint (voters[1].elected, ==, 1);
  end (fake, voters, G_N_ELEMENTS (voters));
}

/* An instance that yields lets an equal one claim. */
static void
test_yields (void)
{
  struct ColtVoter voters[]
      = { { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } },
          { { .name = "two", .internal = "127.0.0.2:1", .strength = 1 } } };
  struct ColtFakePorts *fake = join_after_first (voters, 2);

  colt_election_yield (voters[0].election, 0);
  colt_fake_ports_run (fake, 500);
  g_assert_cmpuint (voters[0].deposed, ==, 1);
  g_assert_cmpuint (voters[0].elected, ==, 1);
  g_assert_cmpuint (voters[1].elected, ==, 1);
  end (fake, voters, G_N_ELEMENTS (voters));
}

/* Renewals whose answers are lost don't cost the lead; renewals that have no
 * effect do, as soon as another instance claims. */
static void
test_lost_answers (void)
{
  struct ColtVoter voter
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  struct ColtFakePorts *fake = join_after_first (&voter, 1);
  int64_t confirmed_us;

  fake->fault = FAULT_LOST;
  colt_fake_ports_run (fake, 1500);
  g_assert_true (colt_election_is_leader (voter.election));
  fake->fault = FAULT_REFUSED;
  confirmed_us = colt_election_confirmed_us (voter.election);
  colt_fake_ports_run (fake, 700);
  g_assert_true (colt_election_renewal_rejected (voter.election));
  g_assert_cmpint (colt_election_confirmed_us (voter.election), ==,
                   confirmed_us);
  colt_election_set_fenced (voter.election);
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (voter.deposed, ==, 1);
  end (fake, &voter, 1);
}

/* A claim in a silent log could take effect without being known. */
static void
test_silent_log (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtVoter voter
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };

  put_lead (fake, "other", 3, 1);
  join (fake, &voter);
  colt_fake_ports_run (fake, 100);
  g_assert_cmpstr (colt_election_leader (voter.election), ==, "127.0.0.9:1");
  fake->fault = FAULT_SILENT;
  colt_fake_ports_run (fake, 2600);
  g_assert_cmpuint (fake->appends, ==, 0);
  fake->fault = FAULT_NONE;
  colt_fake_ports_run (fake, 3500);
  g_assert_cmpuint (voter.elected, ==, 1);
  g_assert_cmpuint (voter.term, ==, 4);
  end (fake, &voter, 1);
}

/* A lead that starts anew knows that its former process doesn't lead. */
static void
test_restarted_lead (void)
{
  struct ColtVoter first
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 } };
  struct ColtVoter second = first;
  struct ColtFakePorts *fake = join_after_first (&first, 1);

  colt_election_destroy (first.election);
  join (fake, &second);
  colt_fake_ports_run (fake, 400);
  g_assert_cmpuint (second.elected, ==, 1);
  g_assert_cmpuint (second.term, ==, 2);
  end (fake, &second, 1);
}

void
colt_test_election_add (void)
{
  g_test_add_func ("/scheduler/election/stronger-leads", test_stronger_leads);
  g_test_add_func ("/scheduler/election/leaves-suspect", test_leaves_suspect);
  g_test_add_func ("/scheduler/election/old-answer", test_old_answer);
  g_test_add_func ("/scheduler/election/late-suspicion", test_late_suspicion);
  g_test_add_func ("/scheduler/election/same-moment", test_same_moment);
  g_test_add_func ("/scheduler/election/successor", test_successor);
  g_test_add_func ("/scheduler/election/leaves-again", test_leaves_again);
  g_test_add_func ("/scheduler/election/yields", test_yields);
  g_test_add_func ("/scheduler/election/lost-answers", test_lost_answers);
  g_test_add_func ("/scheduler/election/restarted-lead", test_restarted_lead);
  g_test_add_func ("/scheduler/election/silent-log", test_silent_log);
}
