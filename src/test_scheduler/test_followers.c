/* Leaders, elections and leases in a model of instances, zones and the log, in
 * simulated time. The members of a leader are the real ones; elections follow
 * the rules of election.c. */
#include <glib.h>
#include <string.h>

#include "members.h"
#include "roster.h"
#include "scheduler_private.h"
#include "tests.h"

#define MS COLT_US_PER_MS
#define INSTANCES 7
#define ZONES 3
#define SEEDS 150
#define LENGTH_US (240 * COLT_US_PER_S)
#define STEP_US (10 * MS)
#define BEAT_US (250 * MS)
#define RENEW_US (300 * MS)
#define READ_US (50 * MS)
/* Time without a renewal until a claim. */
#define TIMEOUT_US (1500 * MS)
/* A lease, on a server's clock that is 2 % slow, and how long a later leader
 * waits for the leases of earlier ones. */
#define LEASE_US (5100 * MS)
#define WAIT_US (5650 * MS)
/* Part of the calls and messages that are late, and by how much. */
#define LATE 0.03
#define LATE_MAX_MS 3000

struct ColtModelInstance
{
  uint32_t number;
  uint32_t zone;
  uint32_t process; /* rises with each start */
  int64_t down_until_us;
  int64_t frozen_until_us;
  uint64_t term; /* newest one read */
  uint32_t leader;
  bool vacant;
  int64_t end;     /* offset up to which the log has been read */
  int64_t seen_us; /* when a record was last read */
  int64_t extended_until_us;
  uint64_t contact_term;
  int64_t contact_us;
  uint64_t stamp_term;
  int64_t stamp_us;
  bool leads;
  uint64_t led_term;
  int64_t created_us;
  int64_t takeover_us; /* when all earlier leases must have ended */
  int64_t confirmed_us;
  int64_t promised_us; /* latest end of a lease */
  int64_t next_beat_us;
  int64_t next_renewal_us;
  int64_t next_read_us;
  bool busy; /* an append is open */
  bool leaving;
  struct ColtMembers *members;
  struct ColtRoster *roster;
};

enum ColtModelKind
{
  MODEL_BEAT,
  MODEL_REPLY,
  MODEL_APPEND, /* arrives at the log */
  MODEL_ANSWER  /* of the log */
};

struct ColtModelMessage
{
  enum ColtModelKind kind;
  int64_t due_us;
  uint32_t from;
  uint32_t to;
  uint32_t process; /* of the sender of the call */
  uint64_t term;
  int64_t stamp_us;
  int64_t sent_us;
  int64_t at;
  int64_t extension_us;
  bool claim;
  bool leaving;
  bool done;
  GBytes *followers; /* of an append that records them; owned by the model */
};

struct ColtModel
{
  GRand *rand;
  int64_t now_us;
  struct ColtModelInstance instances[INSTANCES];
  GArray *messages; /* of struct ColtModelMessage */
  /* The log. */
  int64_t end;
  uint64_t term;
  uint32_t leader;
  uint32_t leader_process;
  int64_t written_us;
  int64_t extension_us; /* of the newest record */
  GBytes *followers;    /* newest list */
  GPtrArray *lists;     /* of GBytes, all lists */
  int64_t log_down_until_us;
  int64_t zone_cut_until_us[ZONES];
  /* Counts. */
  uint32_t leaders;
  uint32_t extended;    /* steps in which leases went on without the log */
  uint32_t contactless; /* claims without contact, or a longer wait */
  uint32_t violations;  /* leases that outlive the wait of a later leader */
};

static bool
draw (struct ColtModel *model, double probability)
{
  return g_rand_double (model->rand) < probability;
}

static int64_t
draw_us (struct ColtModel *model, int least_ms, int most_ms)
{
  return g_rand_int_range (model->rand, least_ms, most_ms) * MS;
}

static bool
is_zone_cut (const struct ColtModel *model, uint32_t zone)
{
  return model->now_us < model->zone_cut_until_us[zone];
}

static bool
reaches_log (const struct ColtModel *model,
             const struct ColtModelInstance *instance)
{
  return model->now_us >= model->log_down_until_us
         && !is_zone_cut (model, instance->zone);
}

static bool
reaches (const struct ColtModel *model, uint32_t from, uint32_t to)
{
  uint32_t a = model->instances[from].zone;
  uint32_t b = model->instances[to].zone;

  return a == b || (!is_zone_cut (model, a) && !is_zone_cut (model, b));
}

static bool
is_up (const struct ColtModel *model, const struct ColtModelInstance *instance)
{
  return model->now_us >= instance->down_until_us;
}

static bool
acts (const struct ColtModel *model, const struct ColtModelInstance *instance)
{
  return is_up (model, instance) && model->now_us >= instance->frozen_until_us;
}

static void
send_message (struct ColtModel *model, struct ColtModelMessage *message)
{
  message->due_us = model->now_us
                    + (draw (model, LATE) ? draw_us (model, 100, LATE_MAX_MS)
                                          : draw_us (model, 1, 30));
  g_array_append_val (model->messages, *message);
}

static void
start_process (struct ColtModel *model, struct ColtModelInstance *instance)
{
  struct ColtModelInstance fresh = { 0 };

  fresh.number = instance->number;
  fresh.zone = instance->zone;
  fresh.process = instance->process + 1;
  fresh.down_until_us = instance->down_until_us;
  fresh.seen_us = MAX (model->now_us, fresh.down_until_us);
  fresh.promised_us = instance->promised_us;
  fresh.led_term = instance->led_term;
  colt_members_destroy (instance->members);
  colt_roster_destroy (instance->roster);
  fresh.members = colt_members_create ();
  fresh.roster = colt_roster_create (instance->number + 1);
  *instance = fresh;
}

/* Lists the followers for an append; returns NULL if it needn't record them. */
static GBytes *
list_followers (struct ColtModel *model,
                struct ColtModelInstance *instance,
                bool claim)
{
  uint64_t term = claim ? instance->term + 1 : instance->led_term;
  GBytes *followers;
  uint8_t *value;
  size_t size;

  if (claim)
    colt_roster_prepare_claim (
        instance->roster, term,
        instance->term == 0 || instance->vacant ? 0 : instance->leader + 1);
  else
    {
      GArray *listed = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      bool changed;

      colt_members_list_followers (instance->members, model->now_us, listed);
      changed = colt_roster_prepare_renewal (instance->roster, listed);
      g_array_unref (listed);
      if (!changed)
        return NULL;
    }
  value = colt_roster_pack (instance->roster, term, &size);
  followers = g_bytes_new_take (value, size);
  g_ptr_array_add (model->lists, followers);
  return followers;
}

static void
append_record (struct ColtModel *model,
               struct ColtModelInstance *instance,
               bool claim)
{
  struct ColtModelMessage message = { 0 };
  int64_t now_us = model->now_us;

  message.kind = MODEL_APPEND;
  message.from = instance->number;
  message.process = instance->process;
  message.term = claim ? instance->term + 1 : instance->led_term;
  message.at = instance->end;
  message.sent_us = now_us;
  message.claim = claim;
  message.extension_us = MAX (instance->extended_until_us - now_us, 0);
  if (claim && instance->term != 0 && !instance->vacant
      && (instance->contact_term != instance->term
          || now_us - instance->contact_us > COLT_CONTACT_MAX_US))
    {
      if (colt_roster_lists_self (instance->roster, instance->term))
        model->contactless++;
      else
        message.extension_us
            = MAX (message.extension_us, COLT_EXTENSION_MAX_US);
    }
  message.followers = list_followers (model, instance, claim);
  instance->busy = true;
  if (reaches_log (model, instance))
    send_message (model, &message);
  else
    instance->busy = false;
}

static void
become_leader (struct ColtModel *model,
               struct ColtModelInstance *instance,
               uint64_t term,
               int64_t extension_us,
               int64_t claimed_us)
{
  const GArray *followers = colt_roster_listed (instance->roster);
  guint i;

  for (i = 0; i < followers->len; i++)
    colt_members_expect (instance->members,
                         g_array_index (followers, uint32_t, i), model->now_us);
  instance->leads = true;
  instance->term = term;
  instance->led_term = term;
  instance->leader = instance->number;
  instance->vacant = false;
  instance->created_us = model->now_us;
  instance->extended_until_us = model->now_us + extension_us;
  instance->takeover_us = model->now_us + extension_us + WAIT_US;
  instance->confirmed_us = claimed_us;
  model->leaders++;
}

static void
read_log (struct ColtModel *model, struct ColtModelInstance *instance)
{
  if (instance->end == model->end)
    return;
  instance->end = model->end;
  instance->seen_us = model->now_us;
  if (model->followers != NULL)
    {
      gsize size;
      const uint8_t *value = g_bytes_get_data (model->followers, &size);

      g_assert_true (colt_roster_read_record (instance->roster, value, size));
    }
  if (model->term == instance->term)
    {
      instance->extended_until_us = model->now_us + model->extension_us;
      return;
    }
  instance->leads = false;
  instance->term = model->term;
  instance->leader = model->leader;
  instance->extended_until_us = model->now_us + model->extension_us;
  instance->vacant = model->leader == instance->number
                     && model->leader_process < instance->process;
  if (model->leader == instance->number
      && model->leader_process == instance->process)
    become_leader (model, instance, model->term, model->extension_us,
                   model->written_us);
}

static void
execute_append (struct ColtModel *model, struct ColtModelMessage *message)
{
  struct ColtModelMessage answer = *message;

  if (model->now_us < model->log_down_until_us)
    return;
  answer.done = message->at == model->end;
  if (answer.done)
    {
      model->end++;
      model->term = message->term;
      model->leader = message->from;
      model->leader_process = message->process;
      model->written_us = message->sent_us;
      model->extension_us = message->extension_us;
      if (message->followers != NULL)
        model->followers = message->followers;
    }
  answer.kind = MODEL_ANSWER;
  send_message (model, &answer);
}

static void
handle_answer (struct ColtModel *model, const struct ColtModelMessage *message)
{
  struct ColtModelInstance *instance = &model->instances[message->from];

  if (instance->process != message->process || !is_up (model, instance))
    return;
  instance->busy = false;
  if (message->followers != NULL && !message->claim)
    colt_roster_handle_append (instance->roster,
                               message->done && reaches_log (model, instance));
  if (!message->done || !reaches_log (model, instance))
    return;
  instance->end = MAX (instance->end, message->at + 1);
  if (message->claim && instance->term < message->term)
    become_leader (model, instance, message->term, message->extension_us,
                   message->sent_us);
  else if (!message->claim && instance->leads
           && instance->led_term == message->term)
    instance->confirmed_us = MAX (instance->confirmed_us, message->sent_us);
}

static void
handle_beat (struct ColtModel *model, const struct ColtModelMessage *message)
{
  struct ColtModelInstance *leader = &model->instances[message->to];
  struct ColtMemberBeat beat = { 0 };
  struct ColtModelMessage reply = *message;

  if (!acts (model, leader) || !reaches (model, message->from, message->to))
    return;
  beat.instance = message->from + 1;
  beat.strength = 1;
  beat.leaving = message->leaving;
  if (leader->leads && message->term == leader->led_term)
    beat.followed_us = message->stamp_us;
  colt_members_update (leader->members, &beat, model->now_us);
  if (!leader->leads || leader->term != leader->led_term)
    return;
  reply.kind = MODEL_REPLY;
  reply.term = leader->led_term;
  reply.stamp_us = model->now_us;
  send_message (model, &reply);
}

static void
handle_reply (struct ColtModel *model, const struct ColtModelMessage *message)
{
  struct ColtModelInstance *instance = &model->instances[message->from];

  if (!acts (model, instance) || instance->process != message->process
      || !reaches (model, message->to, message->from) || instance->leads
      || instance->term != message->term)
    return;
  if (instance->stamp_term != message->term)
    instance->stamp_us = 0;
  instance->stamp_term = message->term;
  instance->stamp_us = MAX (instance->stamp_us, message->stamp_us);
  if (instance->contact_term != message->term)
    instance->contact_us = 0;
  instance->contact_term = message->term;
  instance->contact_us = MAX (instance->contact_us, message->sent_us);
}

static void
deliver_messages (struct ColtModel *model)
{
  guint i;

  for (i = 0; i < model->messages->len; i++)
    {
      struct ColtModelMessage message
          = g_array_index (model->messages, struct ColtModelMessage, i);

      if (message.due_us > model->now_us)
        continue;
      g_array_remove_index_fast (model->messages, i--);
      if (message.kind == MODEL_BEAT)
        handle_beat (model, &message);
      else if (message.kind == MODEL_REPLY)
        handle_reply (model, &message);
      else if (message.kind == MODEL_APPEND)
        execute_append (model, &message);
      else
        handle_answer (model, &message);
    }
}

static void
send_beat (struct ColtModel *model, struct ColtModelInstance *instance)
{
  struct ColtModelMessage message = { 0 };

  if (instance->leads || instance->term == 0 || instance->vacant
      || instance->leader == instance->number)
    return;
  message.kind = MODEL_BEAT;
  message.from = instance->number;
  message.to = instance->leader;
  message.process = instance->process;
  message.term = instance->term;
  message.sent_us = model->now_us;
  message.leaving = instance->leaving;
  if (instance->stamp_term == instance->term)
    message.stamp_us = instance->stamp_us;
  if (reaches (model, message.from, message.to))
    send_message (model, &message);
}

/* Lets a leader promise leases up to the time that it relies on. */
static void
promise_leases (struct ColtModel *model, struct ColtModelInstance *leader)
{
  int64_t followed_us = colt_members_followed_us (
      leader->members, leader->confirmed_us, model->now_us);

  leader->promised_us = MAX (leader->promised_us, followed_us + LEASE_US);
  if (followed_us > leader->confirmed_us + LEASE_US)
    model->extended++;
}

static void
advance_instance (struct ColtModel *model, struct ColtModelInstance *instance)
{
  int64_t now_us = model->now_us;

  if (!acts (model, instance))
    return;
  if (now_us >= instance->next_read_us && reaches_log (model, instance))
    {
      instance->next_read_us = now_us + READ_US;
      read_log (model, instance);
    }
  if (now_us >= instance->next_beat_us)
    {
      instance->next_beat_us = now_us + BEAT_US;
      send_beat (model, instance);
      if (instance->leads)
        promise_leases (model, instance);
    }
  if (instance->busy || now_us < instance->next_renewal_us)
    return;
  if (instance->leads)
    {
      instance->next_renewal_us = now_us + RENEW_US;
      append_record (model, instance, false);
    }
  else if (!instance->leaving && reaches_log (model, instance)
           && instance->end == model->end
           && (instance->vacant
               || now_us - instance->seen_us
                      >= TIMEOUT_US + draw_us (model, 0, 200)))
    {
      instance->next_renewal_us = now_us + TIMEOUT_US;
      append_record (model, instance, true);
    }
}

static void
inject_faults (struct ColtModel *model)
{
  struct ColtModelInstance *instance
      = &model->instances[g_rand_int_range (model->rand, 0, INSTANCES)];
  uint32_t zone = (uint32_t)g_rand_int_range (model->rand, 0, ZONES);

  if (draw (model, 0.0006) && model->now_us >= model->log_down_until_us)
    model->log_down_until_us = model->now_us + draw_us (model, 500, 30000);
  if (draw (model, 0.0008) && !is_zone_cut (model, zone))
    model->zone_cut_until_us[zone]
        = model->now_us + draw_us (model, 500, 30000);
  if (draw (model, 0.001) && is_up (model, instance))
    {
      instance->down_until_us = model->now_us + draw_us (model, 100, 20000);
      start_process (model, instance);
    }
  if (draw (model, 0.001) && acts (model, instance) && !instance->leads)
    instance->leaving = true;
  if (instance->leaving && draw (model, 0.05) && is_up (model, instance))
    {
      instance->down_until_us = model->now_us + draw_us (model, 100, 3000);
      start_process (model, instance);
    }
  if (draw (model, 0.001) && acts (model, instance))
    instance->frozen_until_us = model->now_us + draw_us (model, 100, 15000);
}

/* A lease that an earlier leader promised must have ended when a later one
 * takes the work as lost. */
static void
check_leases (struct ColtModel *model)
{
  uint32_t i;
  uint32_t j;

  for (i = 0; i < INSTANCES; i++)
    for (j = 0; j < INSTANCES; j++)
      if (model->instances[i].leads
          && model->now_us >= model->instances[i].takeover_us
          && model->instances[j].led_term < model->instances[i].led_term
          && model->instances[j].promised_us > model->now_us)
        model->violations++;
}

static void
run_model (uint32_t seed, struct ColtModel *model)
{
  uint32_t i;

  memset (model, 0, sizeof *model);
  model->rand = g_rand_new_with_seed (seed);
  model->now_us = COLT_US_PER_S;
  model->messages
      = g_array_new (FALSE, FALSE, sizeof (struct ColtModelMessage));
  model->lists = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  for (i = 0; i < INSTANCES; i++)
    {
      model->instances[i].number = i;
      /* Uneven zones: one may hold most of the instances that are up. */
      model->instances[i].zone = i < 4 ? 0 : i < 6 ? 1 : 2;
      start_process (model, &model->instances[i]);
    }
  while (model->now_us < LENGTH_US)
    {
      inject_faults (model);
      deliver_messages (model);
      for (i = 0; i < INSTANCES; i++)
        advance_instance (model, &model->instances[i]);
      check_leases (model);
      model->now_us += STEP_US;
    }
  for (i = 0; i < INSTANCES; i++)
    {
      colt_members_destroy (model->instances[i].members);
      colt_roster_destroy (model->instances[i].roster);
    }
  g_array_unref (model->messages);
  g_ptr_array_unref (model->lists);
  g_rand_free (model->rand);
}

/* Guards against a lease that outlives the wait of a later leader, whatever
 * series of cuts, outages, restarts, freezes and late messages lead there. */
static void
test_followers_model (void)
{
  struct ColtModel model;
  uint32_t seeds = SEEDS * (g_test_thorough () ? 20 : 1);
  uint32_t leaders = 0;
  uint32_t extended = 0;
  uint32_t contactless = 0;
  uint32_t seed;

  for (seed = 1; seed <= seeds; seed++)
    {
      run_model (seed, &model);
      leaders += model.leaders;
      extended += model.extended;
      contactless += model.contactless;
      if (model.violations > 0)
        g_test_message ("seed %u: %u violations", seed, model.violations);
      g_assert_cmpuint (model.violations, ==, 0);
    }
  g_test_message ("%u leaders, %u times without the log, %u claims without "
                  "contact or a longer wait",
                  leaders, extended, contactless);
  g_assert_cmpuint (leaders, >, seeds * 2);
  g_assert_cmpuint (extended, >, 0);
  g_assert_cmpuint (contactless, >, seeds);
}

void
colt_test_followers_add (void)
{
  g_test_add_func ("/scheduler/confirmation/model", test_followers_model);
}
