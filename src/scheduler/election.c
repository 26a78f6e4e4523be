#include <math.h>
#include <sodium.h>
#include <string.h>

#include "coltsfootstile/guard.h"
#include "roster.h"
#include "scheduler_private.h"

/* Period of the leader's renewals. */
#define RENEW_US (300 * COLT_US_PER_MS)
/* Time without a renewal after which another instance claims the next term. Two
 * renewals may be lost in a row. */
#define LEADER_TIMEOUT_US (1500 * COLT_US_PER_MS)
/* Random part of a claim's delay, which spreads the claims of instances that
 * notice a missing leader at the same time. */
#define CLAIM_JITTER_MS 100
/* Delay of a claim by an instance of strength 1. Others divide it by the square
 * root of their strength, so that stronger instances claim first. Two instances
 * whose strengths differ by a factor of four are further apart than the random
 * part if the weaker one has a strength of about 0.002 to 0.09. */
#define STRENGTH_DELAY_MS 60.0
/* Limit of this delay, so that the weakest instances don't wait long either. */
#define STRENGTH_DELAY_MAX_MS 800.0
/* How long a leader tries to record that it leaves. After this, others claim
 * the next term once its renewals time out. */
#define LEAVE_TIMEOUT_US (1200 * COLT_US_PER_MS)
/* Delay of claims by others than the named successor: the time of two calls to
 * a slow log. */
#define SUCCESSOR_DELAY_US (600 * COLT_US_PER_MS)
/* Extra delay of a claim after which the leader's leases may last longer, so
 * that instances on whose word that leader relied claim first. */
#define UNLISTED_DELAY_US (1000 * COLT_US_PER_MS)
/* Extra delay of the next claim by an instance that has yielded leadership. */
#define YIELD_DELAY_US (1500 * COLT_US_PER_MS)
/* Time after which an answer of the log counts as lost. */
#define CALL_TIMEOUT_MS 500
#define CHECK_PERIOD_MS 50
/* Longest wait of a read; the leader's renewals are more frequent. */
#define READ_WAIT_MS 1500
#define LEADER_KEY "lead"
#define MODULE "election"

enum ColtElectionRole
{
  ROLE_FOLLOWER,
  ROLE_LEADER,
  ROLE_LEAVING, /* is recording that it gives up leadership */
  ROLE_LEFT     /* no longer takes part in elections */
};

struct ColtElection
{
  const struct ColtPorts *ports;
  const struct ColtSchedulerSettings *settings;
  struct ColtElectionClient client;
  struct ColtRoster *roster;
  struct ColtWatch *watch;
  struct ColtLogChannel *channel;
  struct event *timer;
  enum ColtElectionRole role;
  uint64_t incarnation; /* of this process; rises with each start */
  uint32_t instance;
  uint32_t successor;       /* named by the leader that left; 0: none */
  uint32_t named_successor; /* to be recorded when this instance leaves */
  uint64_t term;            /* highest seen */
  uint64_t claimed_term;    /* of the open claim; 0: none */
  char leader_address[COLT_ERROR_PEER_SIZE]; /* "" when there is none */
  bool synced;                               /* the topic has been read */
  bool fenced;                               /* a later term exists */
  bool busy;                                 /* a call to the log is open */
  bool has_roster;        /* the open append lists the followers */
  bool vacant;            /* the leader has left */
  bool renewal_rejected;  /* the last one, by the log */
  bool named;             /* the last claim was made as the named successor */
  bool yielding;          /* leaves leadership to a stronger instance */
  bool suspect;           /* the leader's process seems to have ended */
  int64_t suspect_us;     /* when suspect was set */
  int64_t end;            /* end offset that the next append requires */
  int64_t leader_seen_us; /* when a record of the leader last arrived */
  int64_t claim_delay_us; /* of this instance's next claim */
  int64_t renewed_us;     /* when the last renewal was sent */
  int64_t leave_deadline_us;
  int64_t confirmed_us;       /* when the last successful renewal was sent */
  uint64_t sent_term;         /* of the last claim that was sent */
  int64_t claim_us;           /* when the first claim of sent_term was sent */
  int64_t claim_extension_us; /* of claims of sent_term */
  int64_t extended_until_us;  /* instances may confirm earlier leaders */
  uint64_t contact_term;      /* of the leader that a heartbeat last reached */
  int64_t contact_us;         /* when that heartbeat was sent */
};

static void handle_record_ (void *client, const struct ColtLogRecord *record);
static void handle_synced_ (void *client);
static void advance_election_ (evutil_socket_t fd, short what, void *arg);
static void claim_if_unchanged_ (void *client,
                                 const struct ColtLogAnswer *answer);
static void append_record_ (struct ColtElection *election,
                            uint64_t term,
                            bool vacant,
                            ColtLogCallDone done);
static void handle_renewal_ (void *client, const struct ColtLogAnswer *answer);
static void handle_claim_ (void *client, const struct ColtLogAnswer *answer);
static void handle_leave_ (void *client, const struct ColtLogAnswer *answer);
static void prepare_claim_ (struct ColtElection *election, uint64_t term);
static bool prepare_roster_ (struct ColtElection *election, uint64_t term);
static bool has_contact_ (const struct ColtElection *election, int64_t now_us);
static void read_leader_record_ (struct ColtElection *election,
                                 const struct ColtLogRecord *record);
static int64_t claim_due_us_ (const struct ColtElection *election);
static int64_t draw_claim_delay_us_ (const struct ColtElection *election);
static void become_leader_ (struct ColtElection *election, uint64_t term);
static void step_down_ (struct ColtElection *election);

struct ColtElection *
colt_election_create (struct event_base *base,
                      const struct ColtPorts *ports,
                      const struct ColtSchedulerSettings *settings,
                      const struct ColtElectionClient *client)
{
  const struct ColtWatchClient callbacks
      = { handle_record_, handle_synced_, NULL };
  const struct ColtWatchTimes times = { READ_WAIT_MS, 0 };
  const struct timeval period = { 0, CHECK_PERIOD_MS * 1000 };
  struct ColtElection *election = g_new0 (struct ColtElection, 1);
  struct ColtWatchClient watch_client = callbacks;

  watch_client.client = election;
  election->ports = ports;
  election->settings = settings;
  election->client = *client;
  election->incarnation = (uint64_t)colt_clock_wall_us ();
  election->instance = colt_scheduler_instance_number (settings->internal);
  election->roster = colt_roster_create (election->instance);
  election->leader_seen_us = colt_clock_monotonic_us ();
  election->claim_delay_us = draw_claim_delay_us_ (election);
  election->channel = ports->log_open (ports->adapter);
  election->watch = colt_watch_create (base, ports, COLT_TOPIC_LEADER, &times,
                                       &watch_client);
  election->timer
      = event_new (base, -1, EV_PERSIST, advance_election_, election);
  event_add (election->timer, &period);
  return election;
}

void
colt_election_destroy (struct ColtElection *election)
{
  if (election == NULL)
    return;
  event_free (election->timer);
  election->role = ROLE_LEFT;
  /* A call that ends here may still ask the watch for a read. */
  election->ports->log_close (election->channel);
  colt_watch_destroy (election->watch);
  colt_roster_destroy (election->roster);
  g_free (election);
}

void
colt_election_leave (struct ColtElection *election, uint32_t successor)
{
  election->yielding = false;
  election->named_successor = successor;
  election->leave_deadline_us = colt_clock_monotonic_us () + LEAVE_TIMEOUT_US;
  if (election->role == ROLE_LEADER)
    {
      election->role = ROLE_LEAVING;
      if (!election->busy)
        append_record_ (election, election->term, true, handle_leave_);
    }
  else if (election->role == ROLE_FOLLOWER)
    election->role = ROLE_LEFT;
}

bool
colt_election_yield (struct ColtElection *election, uint32_t successor)
{
  if (election->role != ROLE_LEADER)
    return false;
  colt_election_leave (election, successor);
  election->yielding = true;
  return true;
}

void
colt_election_set_fenced (struct ColtElection *election)
{
  election->fenced = true;
}

void
colt_election_set_suspect (struct ColtElection *election, bool suspect)
{
  if (suspect && !election->suspect)
    election->suspect_us = colt_clock_monotonic_us ();
  election->suspect = suspect;
}

bool
colt_election_is_suspect (const struct ColtElection *election)
{
  return election->suspect;
}

bool
colt_election_renewal_rejected (const struct ColtElection *election)
{
  return election->renewal_rejected;
}

bool
colt_election_is_leader (const struct ColtElection *election)
{
  return election->role == ROLE_LEADER || election->role == ROLE_LEAVING;
}

bool
colt_election_is_renewing (const struct ColtElection *election)
{
  return election->role == ROLE_LEADER;
}

bool
colt_election_was_named (const struct ColtElection *election)
{
  return election->named;
}

void
colt_election_set_contact (struct ColtElection *election,
                           uint64_t term,
                           int64_t sent_us)
{
  if (term < election->contact_term)
    return;
  if (term > election->contact_term)
    election->contact_us = 0;
  election->contact_term = term;
  election->contact_us = MAX (election->contact_us, sent_us);
}

const GArray *
colt_election_claimed_followers (const struct ColtElection *election)
{
  return colt_roster_listed (election->roster);
}

int64_t
colt_election_extension_us (const struct ColtElection *election)
{
  return MAX (election->extended_until_us - colt_clock_monotonic_us (), 0);
}

uint64_t
colt_election_term (const struct ColtElection *election)
{
  return election->term;
}

const char *
colt_election_leader (const struct ColtElection *election)
{
  return election->leader_address[0] != '\0' && !election->vacant
             ? election->leader_address
             : NULL;
}

int64_t
colt_election_confirmed_us (const struct ColtElection *election)
{
  return election->confirmed_us;
}

int64_t
colt_election_reached_us (const struct ColtElection *election)
{
  return MAX (election->confirmed_us, colt_watch_reached_us (election->watch));
}

static void
handle_record_ (void *client, const struct ColtLogRecord *record)
{
  struct ColtElection *election = client;

  election->end = MAX (election->end, record->offset + 1);
  if (record->value == NULL)
    return;
  if (strcmp (record->key, LEADER_KEY) == 0)
    read_leader_record_ (election, record);
  else if (strcmp (record->key, COLT_ROSTER_KEY) == 0
           && !colt_roster_read_record (election->roster, record->value,
                                        record->size))
    colt_log (COLT_LOG_WARNING, MODULE, NULL,
              "the record of the leader's followers is malformed and ignored");
}

static void
read_leader_record_ (struct ColtElection *election,
                     const struct ColtLogRecord *record)
{
  ColtLeadRecord *leader;
  bool changed;
  bool same_instance;
  bool own;

  leader = colt_lead_record__unpack (NULL, record->size, record->value);
  if (leader == NULL)
    {
      colt_log (COLT_LOG_WARNING, MODULE, NULL,
                "the leader's record is malformed and ignored");
      return;
    }
  election->leader_seen_us = colt_clock_monotonic_us ();
  /* The name is compared as well, since processes of two instances may start at
   * the same time and have equal incarnations. */
  same_instance = strcmp (leader->instance, election->settings->name) == 0;
  own = same_instance && leader->incarnation == election->incarnation;
  /* An earlier process of this instance led: its claim won't be renewed. */
  if (same_instance && leader->incarnation < election->incarnation)
    leader->vacant = true;
  changed
      = leader->term != election->term || leader->vacant != election->vacant;
  if (leader->term < election->term)
    changed = false;
  else
    {
      if (leader->term > election->term)
        election->suspect = false;
      election->term = leader->term;
      election->vacant = leader->vacant;
      election->successor = leader->vacant ? leader->successor : 0;
      election->extended_until_us
          = election->leader_seen_us + leader->extension_ms * COLT_US_PER_MS;
      if (election->successor == election->instance)
        event_active (election->timer, EV_TIMEOUT, 0);
      g_strlcpy (election->leader_address, leader->address,
                 sizeof election->leader_address);
    }
  if (changed && !own && colt_election_is_leader (election))
    election->fenced = true;
  if (changed && own && leader->term == election->claimed_term
      && !leader->vacant && election->role == ROLE_FOLLOWER)
    become_leader_ (election, leader->term);
  colt_lead_record__free_unpacked (leader, NULL);
  if (changed)
    election->client.handle_leader_change (election->client.client);
}

static void
handle_synced_ (void *client)
{
  struct ColtElection *election = client;

  election->synced = true;
  election->end = MAX (election->end, colt_watch_end (election->watch));
}

/* Renews or gives up leadership, or claims the next term, when it is due. */
static void
advance_election_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtElection *election = arg;
  int64_t now_us = colt_clock_monotonic_us ();

  (void)fd;
  (void)what;
  if (election->fenced)
    {
      election->fenced = false;
      if (colt_election_is_leader (election))
        step_down_ (election);
    }
  if (election->role == ROLE_LEAVING && !election->busy)
    append_record_ (election, election->term, true, handle_leave_);
  if (election->role == ROLE_LEADER && !election->busy
      && now_us - election->renewed_us >= RENEW_US)
    {
      election->renewed_us = now_us;
      append_record_ (election, election->term, false, handle_renewal_);
    }
  if (election->role != ROLE_FOLLOWER || !election->synced || election->busy
      || now_us < claim_due_us_ (election))
    return;
  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "claiming term %" G_GUINT64_FORMAT ": %s", election->term + 1,
            election->term == 0 ? "there was no leader"
            : election->vacant  ? "the leader has left"
                                : "the leader's renewals timed out");
  /* The timeout starts anew, since a claim whose answer is lost takes effect
   * only once its record is read. */
  election->leader_seen_us = now_us;
  election->busy = true;
  election->claimed_term = election->term + 1;
  election->named = election->successor == election->instance;
  if (election->successor == election->instance)
    {
      append_record_ (election, election->claimed_term, false, handle_claim_);
      return;
    }
  election->ports->log_read (election->channel, COLT_TOPIC_LEADER,
                             election->end, 0, claim_if_unchanged_, election);
}

/* Claims the next term unless the topic has further records. */
static void
claim_if_unchanged_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtElection *election = client;
  size_t i;

  election->busy = false;
  if (election->role != ROLE_FOLLOWER)
    return;
  /* With a slow log the watch may not have read these records yet. */
  for (i = 0; i < answer->count; i++)
    handle_record_ (election, &answer->records[i]);
  /* The watch may have read further records since the call. */
  if (answer->outcome != COLT_LOG_DONE || answer->count > 0
      || election->claimed_term != election->term + 1)
    {
      election->claimed_term = 0;
      colt_watch_read_now (election->watch);
      return;
    }
  append_record_ (election, election->claimed_term, false, handle_claim_);
}

static void
append_record_ (struct ColtElection *election,
                uint64_t term,
                bool vacant,
                ColtLogCallDone done)
{
  ColtLeadRecord leader = COLT_LEAD_RECORD__INIT;
  /* The followers come first, so that they are known to who reads the leader's
   * record. */
  struct ColtLogRecord records[2]
      = { { COLT_ROSTER_KEY, NULL, 0, 0 }, { LEADER_KEY, NULL, 0, 0 } };
  struct ColtLogAppend append = { 0 };
  uint8_t *followers = NULL;
  uint8_t *value;

  leader.instance = (char *)election->settings->name;
  leader.address = (char *)election->settings->internal;
  leader.term = term;
  leader.vacant = vacant;
  leader.successor = vacant ? election->named_successor : 0;
  leader.incarnation = election->incarnation;
  if (!colt_election_is_leader (election))
    prepare_claim_ (election, term);
  election->has_roster = prepare_roster_ (election, term);
  if (election->has_roster)
    followers = colt_roster_pack (election->roster, term, &records[0].size);
  leader.extension_ms = (uint32_t)((colt_election_is_leader (election)
                                        ? colt_election_extension_us (election)
                                        : election->claim_extension_us)
                                   / COLT_US_PER_MS);
  records[1].size = colt_lead_record__get_packed_size (&leader);
  value = g_malloc (records[1].size);
  colt_lead_record__pack (&leader, value);
  records[0].value = followers;
  records[1].value = value;
  append.topic = COLT_TOPIC_LEADER;
  append.records = election->has_roster ? records : &records[1];
  append.count = election->has_roster ? 2 : 1;
  append.conditional = true;
  append.at = election->end;
  append.timeout_ms = CALL_TIMEOUT_MS;
  election->busy = true;
  election->ports->log_append (election->channel, &append, done, election);
  g_free (followers);
  g_free (value);
}

/* Lists the followers for an append; returns whether it has to record them. */
static bool
prepare_roster_ (struct ColtElection *election, uint64_t term)
{
  GArray *followers;
  bool changed;

  if (!colt_election_is_leader (election))
    {
      colt_roster_prepare_claim (
          election->roster, term,
          election->term == 0 || election->vacant
              ? 0
              : colt_scheduler_instance_number (election->leader_address));
      return true;
    }
  if (election->role == ROLE_LEAVING)
    return false;
  followers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  election->client.list_followers (election->client.client, followers);
  changed = colt_roster_prepare_renewal (election->roster, followers);
  g_array_unref (followers);
  return changed;
}

/* Records what a claim that is about to be sent relies on. Any of the claims
 * sent for a term may be the one that takes effect. */
static void
prepare_claim_ (struct ColtElection *election, uint64_t term)
{
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t extension_us = colt_election_extension_us (election);

  if (!has_contact_ (election, now_us)
      && !colt_roster_lists_self (election->roster, election->term))
    {
      colt_log (COLT_LOG_INFO, MODULE, NULL,
                "claiming without recent contact with the leader; its leases "
                "may last %lld s longer",
                (long long)(COLT_EXTENSION_MAX_US / COLT_US_PER_S));
      extension_us = MAX (extension_us, COLT_EXTENSION_MAX_US);
    }
  if (term != election->sent_term)
    {
      election->sent_term = term;
      election->claim_us = now_us;
      election->claim_extension_us = 0;
    }
  election->claim_extension_us
      = MAX (election->claim_extension_us, extension_us);
}

/* Returns whether the leader of the newest term is only confirmed with this
 * instance's word, or has left, so that it can't be confirmed after a claim. */
static bool
has_contact_ (const struct ColtElection *election, int64_t now_us)
{
  return election->term == 0 || election->vacant
         || (election->contact_term == election->term
             && now_us - election->contact_us <= COLT_CONTACT_MAX_US);
}

static void
handle_renewal_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtElection *election = client;

  election->busy = false;
  election->renewal_rejected = answer->outcome == COLT_LOG_NOT_DONE;
  if (election->has_roster)
    colt_roster_handle_append (election->roster,
                               answer->outcome == COLT_LOG_DONE);
  if (answer->outcome == COLT_LOG_DONE)
    {
      election->confirmed_us = answer->sent_us;
      election->end = MAX (election->end, answer->end);
      return;
    }
  /* A conflict means that another instance has claimed a term, or that an
   * append of this instance took effect without an answer; reading the topic
   * shows which. */
  if (answer->outcome == COLT_LOG_CONFLICT)
    colt_watch_read_now (election->watch);
  else
    colt_log (COLT_LOG_WARNING, MODULE, NULL,
              "renewing leadership failed; retrying: %s %s",
              colt_log_outcome_string[answer->outcome], answer->error.message);
}

static void
handle_claim_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtElection *election = client;

  election->busy = false;
  election->claim_delay_us = draw_claim_delay_us_ (election);
  if (answer->outcome == COLT_LOG_DONE)
    {
      election->end = MAX (election->end, answer->end);
      if (election->role == ROLE_FOLLOWER
          && election->term < election->claimed_term)
        become_leader_ (election, election->claimed_term);
      return;
    }
  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "the claim of leadership failed: %s %s",
            colt_log_outcome_string[answer->outcome], answer->error.message);
}

static void
handle_leave_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtElection *election = client;

  election->busy = false;
  if (election->role != ROLE_LEAVING)
    return;
  if (answer->outcome != COLT_LOG_DONE && !election->vacant
      && colt_clock_monotonic_us () < election->leave_deadline_us)
    {
      colt_log (COLT_LOG_INFO, MODULE, NULL,
                "recording the resignation failed; retrying: %s %s",
                colt_log_outcome_string[answer->outcome],
                answer->error.message);
      colt_watch_read_now (election->watch);
      return;
    }
  step_down_ (election);
  if (election->yielding)
    election->claim_delay_us += YIELD_DELAY_US;
  else
    election->role = ROLE_LEFT;
  election->yielding = false;
}

/* Returns when this instance claims the next term if no record arrives. */
static int64_t
claim_due_us_ (const struct ColtElection *election)
{
  int64_t healthy_since_us = colt_watch_healthy_since_us (election->watch);
  int64_t idle_since_us = MAX (election->leader_seen_us, healthy_since_us);
  int64_t due_us;

  if (healthy_since_us == COLT_TIME_NEVER)
    return COLT_TIME_NEVER;
  if (election->successor == election->instance)
    return idle_since_us;
  /* No renewal timeout is needed if the leader has left, and a shorter one if
   * its connections have broken. */
  due_us = idle_since_us + LEADER_TIMEOUT_US;
  if (election->vacant || election->term == 0)
    due_us
        = idle_since_us + (election->successor != 0 ? SUCCESSOR_DELAY_US : 0);
  else if (election->suspect)
    due_us = MIN (due_us, MAX (idle_since_us + COLT_SUSPECT_TIMEOUT_US,
                               election->suspect_us));
  if (colt_roster_is_recorded (election->roster, election->term)
      && !colt_roster_lists_self (election->roster, election->term)
      && !has_contact_ (election, colt_clock_monotonic_us ()))
    due_us += UNLISTED_DELAY_US;
  return due_us + election->claim_delay_us;
}

static int64_t
draw_claim_delay_us_ (const struct ColtElection *election)
{
  double delay_ms
      = MIN (STRENGTH_DELAY_MS / sqrt (election->settings->strength),
             STRENGTH_DELAY_MAX_MS);

  return ((int64_t)delay_ms + (int64_t)randombytes_uniform (CLAIM_JITTER_MS))
         * COLT_US_PER_MS;
}

static void
become_leader_ (struct ColtElection *election, uint64_t term)
{
  election->role = ROLE_LEADER;
  election->term = term;
  election->vacant = false;
  election->renewal_rejected = false;
  election->renewed_us = 0;
  election->extended_until_us
      = colt_clock_monotonic_us () + election->claim_extension_us;
  /* Any of the claims sent for this term may be the one that took effect. A
   * later leader that read it counts from its own claim, which may be earlier
   * than the reading of this one. */
  if (colt_guard_on (COLT_GUARD_CLAIM_TIME) || election->confirmed_us == 0)
    election->confirmed_us = election->claim_us;
  g_strlcpy (election->leader_address, election->settings->internal,
             sizeof election->leader_address);
  colt_log (COLT_LOG_INFO, MODULE, NULL, "became the leader in term %llu",
            (unsigned long long)term);
  election->client.handle_elected (election->client.client, term);
}

static void
step_down_ (struct ColtElection *election)
{
  election->role = ROLE_FOLLOWER;
  election->claimed_term = 0;
  election->leader_seen_us = colt_clock_monotonic_us ();
  colt_log (COLT_LOG_WARNING, MODULE, NULL,
            "lost leadership; highest term seen is %llu",
            (unsigned long long)election->term);
  election->client.handle_deposed (election->client.client);
}
