#include <math.h>
#include <sodium.h>
#include <string.h>

#include "scheduler_private.h"

/* How often the claim is renewed. */
#define RENEW_US (300 * COLT_US_PER_MS)
/* Time without a renewal after which another instance claims the next term;
 * allows for two renewals that are lost in a row. */
#define SILENCE_US (1500 * COLT_US_PER_MS)
/* The same, when the lead's process has closed its connections. */
#define SUSPECT_SILENCE_US (600 * COLT_US_PER_MS)
/* Instances that see the silence at the same time spread their claims. */
#define SPREAD_MS 100
/* Stronger instances claim first: one of strength 1 waits this long, others
 * by the root of theirs, so that instances that differ by four lie further
 * apart than the spread, and the weakest don't wait long either. */
#define STRENGTH_MS 60.0
#define STRENGTH_DELAY_MAX_MS 800.0
/* A lead tries this long to write that it leaves; after it, others notice by
 * its silence. */
#define LEAVE_US (1200 * COLT_US_PER_MS)
/* Others leave the instance that was named as successor this long to claim, two
 * calls to a slow log. */
#define SUCCESSOR_US (600 * COLT_US_PER_MS)
/* An instance that has left the lead to others waits this much longer. */
#define YIELD_HOLD_US (1500 * COLT_US_PER_MS)
/* An answer of the log is lost after this time. */
#define CALL_TIMEOUT_MS 500
#define CHECK_MS 50
/* A lead's renewals come more often than this. */
#define READ_WAIT_MS 1500
#define LEAD_KEY "lead"
#define MODULE "election"

enum ColtElectionRole
{
  ROLE_FOLLOWER,
  ROLE_LEAD,
  ROLE_LEAVING, /* the record that gives up the lead is on its way */
  ROLE_GONE
};

struct ColtElection
{
  const struct ColtPorts *ports;
  const struct ColtSchedulerSettings *settings;
  struct ColtElectionClient client;
  struct ColtWatch *watch;
  struct ColtLogChannel *channel;
  struct event *timer;
  enum ColtElectionRole role;
  uint64_t incarnation;
  uint32_t instance;
  uint32_t successor; /* named by the lead that left; 0: none */
  uint32_t names;     /* to be named by this instance as it leaves */
  uint64_t term;      /* highest seen */
  uint64_t claimed;   /* term of the claim on its way */
  char lead_name[COLT_ERROR_PEER_SIZE];
  char lead_address[COLT_ERROR_PEER_SIZE]; /* "" when there is none */
  bool synced;
  bool fenced;
  bool busy;
  bool vacant;
  bool refused;       /* the log turned away the last renewal */
  bool yields;        /* leaves the lead to a stronger instance */
  bool suspect;       /* the lead's process seems to have ended */
  int64_t suspect_us; /* since then */
  int64_t end;        /* where the topic must end for an append */
  int64_t seen_us;    /* last sign of the lead */
  int64_t spread_us;
  int64_t sent_us; /* last renewal */
  int64_t leave_until_us;
  int64_t confirmed_us;
};

static void take_record_ (void *client, const struct ColtLogRecord *record);
static void take_synced_ (void *client);
static void check_ (evutil_socket_t fd, short what, void *arg);
static void take_probe_ (void *client, const struct ColtLogAnswer *answer);
static void append_ (struct ColtElection *election,
                     uint64_t term,
                     bool vacant,
                     ColtLogCallDone done);
static void take_renewal_ (void *client, const struct ColtLogAnswer *answer);
static void take_claim_ (void *client, const struct ColtLogAnswer *answer);
static void take_leave_ (void *client, const struct ColtLogAnswer *answer);
static int64_t claim_due_us_ (const struct ColtElection *election);
static int64_t claim_delay_us_ (const struct ColtElection *election);
static void become_lead_ (struct ColtElection *election, uint64_t term);
static void step_down_ (struct ColtElection *election);

struct ColtElection *
colt_election_create (struct event_base *base,
                      const struct ColtPorts *ports,
                      const struct ColtSchedulerSettings *settings,
                      const struct ColtElectionClient *client)
{
  const struct ColtWatchClient watch_client
      = { take_record_, take_synced_, NULL };
  const struct ColtWatchTimes times = { READ_WAIT_MS, 0 };
  const struct timeval period = { 0, CHECK_MS * 1000 };
  struct ColtElection *election = g_new0 (struct ColtElection, 1);
  struct ColtWatchClient own = watch_client;

  own.client = election;
  election->ports = ports;
  election->settings = settings;
  election->client = *client;
  election->incarnation = (uint64_t)colt_clock_wall_us ();
  election->instance = colt_scheduler_instance_of (settings->internal);
  election->seen_us = colt_clock_monotonic_us ();
  election->spread_us = claim_delay_us_ (election);
  election->channel = ports->log_open (ports->adapter);
  election->watch
      = colt_watch_create (base, ports, COLT_TOPIC_LEAD, &times, &own);
  election->timer = event_new (base, -1, EV_PERSIST, check_, election);
  event_add (election->timer, &period);
  return election;
}

void
colt_election_destroy (struct ColtElection *election)
{
  if (election == NULL)
    return;
  event_free (election->timer);
  colt_watch_destroy (election->watch);
  election->role = ROLE_GONE;
  election->ports->log_close (election->channel);
  g_free (election);
}

void
colt_election_leave (struct ColtElection *election, uint32_t successor)
{
  election->names = successor;
  election->leave_until_us = colt_clock_monotonic_us () + LEAVE_US;
  if (election->role == ROLE_LEAD)
    {
      election->role = ROLE_LEAVING;
      if (!election->busy)
        append_ (election, election->term, true, take_leave_);
    }
  else if (election->role == ROLE_FOLLOWER)
    election->role = ROLE_GONE;
}

bool
colt_election_yield (struct ColtElection *election, uint32_t successor)
{
  if (election->role != ROLE_LEAD)
    return false;
  election->yields = true;
  colt_election_leave (election, successor);
  return true;
}

void
colt_election_fenced (struct ColtElection *election)
{
  election->fenced = true;
}

void
colt_election_suspect (struct ColtElection *election, bool suspect)
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
colt_election_is_refused (const struct ColtElection *election)
{
  return election->refused;
}

bool
colt_election_leads (const struct ColtElection *election)
{
  return election->role == ROLE_LEAD || election->role == ROLE_LEAVING;
}

uint64_t
colt_election_term (const struct ColtElection *election)
{
  return election->term;
}

const char *
colt_election_lead (const struct ColtElection *election)
{
  return election->lead_address[0] != '\0' && !election->vacant
             ? election->lead_address
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
take_record_ (void *client, const struct ColtLogRecord *record)
{
  struct ColtElection *election = client;
  ColtLeadRecord *lead;
  bool changed;
  bool same_instance;
  bool own;

  election->end = MAX (election->end, record->offset + 1);
  if (record->value == NULL || strcmp (record->key, LEAD_KEY) != 0)
    return;
  lead = colt_lead_record__unpack (NULL, record->size, record->value);
  if (lead == NULL)
    {
      colt_log (COLT_LOG_WARNING, MODULE, NULL,
                "a record of the lead can't be read");
      return;
    }
  election->seen_us = colt_clock_monotonic_us ();
  /* Processes of two instances may start at the same moment. */
  same_instance = strcmp (lead->instance, election->settings->name) == 0;
  own = same_instance && lead->incarnation == election->incarnation;
  /* A process before this one led: nobody else will renew its claim. */
  if (same_instance && lead->incarnation < election->incarnation)
    lead->vacant = true;
  changed = lead->term != election->term || lead->vacant != election->vacant;
  if (lead->term < election->term)
    changed = false;
  else
    {
      if (lead->term > election->term)
        election->suspect = false;
      election->term = lead->term;
      election->vacant = lead->vacant;
      election->successor = lead->vacant ? lead->successor : 0;
      if (election->successor == election->instance)
        event_active (election->timer, EV_TIMEOUT, 0);
      g_strlcpy (election->lead_name, lead->instance,
                 sizeof election->lead_name);
      g_strlcpy (election->lead_address, lead->address,
                 sizeof election->lead_address);
    }
  if (changed && !own && colt_election_leads (election))
    election->fenced = true;
  if (changed && own && lead->term == election->claimed && !lead->vacant
      && election->role == ROLE_FOLLOWER)
    become_lead_ (election, lead->term);
  colt_lead_record__free_unpacked (lead, NULL);
  if (changed)
    election->client.changed (election->client.client);
}

static void
take_synced_ (void *client)
{
  struct ColtElection *election = client;

  election->synced = true;
  election->end = MAX (election->end, colt_watch_end (election->watch));
}

static void
check_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtElection *election = arg;
  int64_t now_us = colt_clock_monotonic_us ();

  (void)fd;
  (void)what;
  if (election->fenced)
    {
      election->fenced = false;
      if (colt_election_leads (election))
        step_down_ (election);
    }
  if (election->role == ROLE_LEAVING && !election->busy)
    append_ (election, election->term, true, take_leave_);
  if (election->role == ROLE_LEAD && !election->busy
      && now_us - election->sent_us >= RENEW_US)
    {
      election->sent_us = now_us;
      append_ (election, election->term, false, take_renewal_);
    }
  if (election->role != ROLE_FOLLOWER || !election->synced || election->busy
      || now_us < claim_due_us_ (election))
    return;
  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "term %" G_GUINT64_FORMAT " is claimed: %s", election->term + 1,
            election->term == 0 ? "there was no lead"
            : election->vacant  ? "the lead has left"
                                : "the lead has been silent");
  /* A claim whose answer is lost would leave no lead until it is read. */
  election->seen_us = now_us;
  election->busy = true;
  election->claimed = election->term + 1;
  if (election->successor == election->instance)
    {
      append_ (election, election->claimed, false, take_claim_);
      return;
    }
  election->ports->log_read (election->channel, COLT_TOPIC_LEAD, election->end,
                             0, take_probe_, election);
}

static void
take_probe_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtElection *election = client;
  size_t i;

  election->busy = false;
  if (election->role != ROLE_FOLLOWER)
    return;
  /* In a slow log the watch may be behind. */
  for (i = 0; i < answer->count; i++)
    take_record_ (election, &answer->records[i]);
  /* The watch may have read on since the call. */
  if (answer->outcome != COLT_LOG_DONE || answer->count > 0
      || election->claimed != election->term + 1)
    {
      election->claimed = 0;
      colt_watch_hurry (election->watch);
      return;
    }
  append_ (election, election->claimed, false, take_claim_);
}

static void
append_ (struct ColtElection *election,
         uint64_t term,
         bool vacant,
         ColtLogCallDone done)
{
  ColtLeadRecord lead = COLT_LEAD_RECORD__INIT;
  struct ColtLogRecord record = { LEAD_KEY, NULL, 0, 0 };
  struct ColtLogAppend append = { 0 };
  uint8_t *value;

  lead.instance = (char *)election->settings->name;
  lead.address = (char *)election->settings->internal;
  lead.term = term;
  lead.vacant = vacant;
  lead.successor = vacant ? election->names : 0;
  lead.incarnation = election->incarnation;
  record.size = colt_lead_record__get_packed_size (&lead);
  value = g_malloc (record.size);
  colt_lead_record__pack (&lead, value);
  record.value = value;
  append.topic = COLT_TOPIC_LEAD;
  append.records = &record;
  append.count = 1;
  append.conditional = true;
  append.at = election->end;
  append.timeout_ms = CALL_TIMEOUT_MS;
  election->busy = true;
  election->ports->log_append (election->channel, &append, done, election);
  g_free (value);
}

static void
take_renewal_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtElection *election = client;

  election->busy = false;
  election->refused = answer->outcome == COLT_LOG_NOT_DONE;
  if (answer->outcome == COLT_LOG_DONE)
    {
      election->confirmed_us = answer->sent_us;
      election->end = MAX (election->end, answer->end);
      return;
    }
  /* Whether another instance has claimed a term, or an append of our own took
   * effect without an answer, is seen by reading on. */
  if (answer->outcome == COLT_LOG_CONFLICT)
    colt_watch_hurry (election->watch);
  else
    colt_log (COLT_LOG_WARNING, MODULE, NULL, "a renewal failed: %s %s",
              colt_log_outcome_string[answer->outcome], answer->error.message);
}

static void
take_claim_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtElection *election = client;

  election->busy = false;
  election->spread_us = claim_delay_us_ (election);
  if (answer->outcome == COLT_LOG_DONE)
    {
      election->end = MAX (election->end, answer->end);
      election->confirmed_us = answer->sent_us;
      if (election->role == ROLE_FOLLOWER && election->term < election->claimed)
        become_lead_ (election, election->claimed);
      return;
    }
  colt_log (COLT_LOG_INFO, MODULE, NULL, "the claim failed: %s %s",
            colt_log_outcome_string[answer->outcome], answer->error.message);
}

static void
take_leave_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtElection *election = client;

  election->busy = false;
  if (election->role != ROLE_LEAVING)
    return;
  if (answer->outcome != COLT_LOG_DONE && !election->vacant
      && colt_clock_monotonic_us () < election->leave_until_us)
    {
      colt_log (COLT_LOG_INFO, MODULE, NULL, "leaving isn't on record: %s %s",
                colt_log_outcome_string[answer->outcome],
                answer->error.message);
      colt_watch_hurry (election->watch);
      return;
    }
  step_down_ (election);
  if (election->yields)
    election->spread_us += YIELD_HOLD_US;
  else
    election->role = ROLE_GONE;
  election->yields = false;
}

/* When this instance claims the next term if no record comes. */
static int64_t
claim_due_us_ (const struct ColtElection *election)
{
  int64_t steady_us = colt_watch_steady_us (election->watch);
  int64_t quiet_from_us = MAX (election->seen_us, steady_us);
  int64_t due_us;

  if (steady_us == COLT_TIME_NEVER)
    return COLT_TIME_NEVER;
  if (election->successor == election->instance)
    return quiet_from_us;
  /* A lead that has left is certain to be silent; its connections may be seen
   * to break as well. */
  due_us = quiet_from_us + SILENCE_US;
  if (election->vacant || election->term == 0)
    due_us = quiet_from_us + (election->successor != 0 ? SUCCESSOR_US : 0);
  else if (election->suspect)
    due_us = MIN (
        due_us, MAX (quiet_from_us + SUSPECT_SILENCE_US, election->suspect_us));
  return due_us + election->spread_us;
}

static int64_t
claim_delay_us_ (const struct ColtElection *election)
{
  double delay_ms = MIN (STRENGTH_MS / sqrt (election->settings->strength),
                         STRENGTH_DELAY_MAX_MS);

  return ((int64_t)delay_ms + (int64_t)randombytes_uniform (SPREAD_MS))
         * COLT_US_PER_MS;
}

static void
become_lead_ (struct ColtElection *election, uint64_t term)
{
  election->role = ROLE_LEAD;
  election->term = term;
  election->vacant = false;
  election->refused = false;
  election->sent_us = 0;
  if (election->confirmed_us == 0)
    election->confirmed_us = colt_clock_monotonic_us ();
  g_strlcpy (election->lead_name, election->settings->name,
             sizeof election->lead_name);
  g_strlcpy (election->lead_address, election->settings->internal,
             sizeof election->lead_address);
  colt_log (COLT_LOG_INFO, MODULE, NULL, "leads in term %llu",
            (unsigned long long)term);
  election->client.elected (election->client.client, term);
}

static void
step_down_ (struct ColtElection *election)
{
  election->role = ROLE_FOLLOWER;
  election->claimed = 0;
  election->seen_us = colt_clock_monotonic_us ();
  colt_log (COLT_LOG_WARNING, MODULE, NULL, "doesn't lead any more; term %llu",
            (unsigned long long)election->term);
  election->client.deposed (election->client.client);
}
