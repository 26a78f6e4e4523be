#include <string.h>

#include "coltsfootstile/guard.h"
#include "server_link_private.h"

/* How long the server may wait for a run to end before it answers a renewal;
 * the longest time between renewals. */
#define RENEWAL_WAIT_MS 1000
/* A renewal counts as lost this long after its answer is due. */
#define RENEWAL_SLACK_MS 600
/* Pause between the answer to a renewal and the next renewal, in which further
 * ends of runs gather: for a server whose runs have tight deadlines, and for
 * others. */
#define TIGHT_PAUSE_US (25 * COLT_US_PER_MS)
#define LAX_PAUSE_US (150 * COLT_US_PER_MS)
/* Pause between renewals at an unreachable server. */
#define UNREACHABLE_PAUSE_US (300 * COLT_US_PER_MS)
#define UNREACHABLE_PAUSE_MAX_US (1200 * COLT_US_PER_MS)
/* Renewals that fail in a row before a server counts as unreachable and gets no
 * more work. */
#define FAILURE_LIMIT 2
/* After this time without an answer to a renewal the server may have been
 * restarted unnoticed, longer than a renewal takes that is lost. */
#define SILENCE_MAX_US (2 * COLT_US_PER_S)
/* Lowest rate of a server's clock relative to the local one. */
#define CLOCK_RATE_MIN 0.98
/* Least difference between a server's clock and the expected one that shows
 * another clock, above what a slow link delays an answer by. */
#define CLOCK_JUMP_MIN_MS 2000
/* Added to a lease's computed end for delays that the computation ignores. */
#define LEASE_SLACK_US (150 * COLT_US_PER_MS)

static void renew_if_due_ (struct ColtServerLink *link, int64_t now_us);
static void handle_renewal_answer_ (void *client,
                                    const struct ColtServerAnswer *answer);
static void close_renewal_lease_ (struct ColtServerLink *link,
                                  const struct ColtServerAnswer *answer);
static void handle_renewal_success_ (struct ColtServerLink *link,
                                     const struct ColtServerAnswer *answer);
static void handle_renewal_failure_ (struct ColtServerLink *link,
                                     const struct ColtServerAnswer *answer);
static void log_unreachable_ (const struct ColtServerLink *link,
                              const struct ColtServerAnswer *answer);
static void
expire_leases_ (struct ColtServerLink *link, size_t runs, int64_t now_us);
static void forget_leases_ (struct ColtServerLink *link);
static void
log_expiry_ (const struct ColtServerLink *link, size_t runs, int64_t now_us);
static void lose_runs_ (struct ColtServerLink *link,
                        const struct ColtServerLoss *loss);
static bool may_contradict_ (const struct ColtServerLink *link,
                             const struct ColtServerAnswer *answer);
static void update_incarnation_ (struct ColtServerLink *link,
                                 const struct ColtServerAnswer *answer);
static void update_clock_ (struct ColtServerLink *link,
                           const struct ColtServerAnswer *answer);
static void log_restart_ (const struct ColtServerLink *link,
                          const struct ColtServerAnswer *answer);
static void reset_incarnation_ (struct ColtServerLink *link);
static void log_clock_jump_ (const struct ColtServerLink *link,
                             const struct ColtServerAnswer *answer,
                             int64_t expected_ms);
static int64_t latest_lease_end_ms_ (const struct ColtServerLink *link);
static int64_t lease_expiry_us_ (const struct ColtServerLink *link);
static bool leases_have_expired_ (const struct ColtServerLink *link,
                                  int64_t now_us);
static bool is_renewal_due_ (const struct ColtServerLink *link, int64_t now_us);

struct ColtServerLink *
colt_server_link_create (const struct ColtPorts *ports,
                         const struct ColtServerLinkSettings *settings,
                         const char *id,
                         const char *address,
                         const struct ColtServerLinkClient *client)
{
  struct ColtServerLink *link = g_new0 (struct ColtServerLink, 1);

  link->ports = ports;
  link->settings = *settings;
  link->unclocked_until_us = settings->inherited_until_us;
  link->client = *client;
  link->id = g_strdup (id);
  link->address = g_strdup (address);
  link->keeps_connections = true;
  link->renewal_channel = ports->server_open (ports->adapter, address, id);
  link->order_channel = ports->server_open (ports->adapter, address, id);
  colt_link_init_orders (link);
  return link;
}

void
colt_server_link_destroy (struct ColtServerLink *link)
{
  if (link == NULL)
    return;
  link->closing = true;
  if (link->settings.suspicion != NULL)
    colt_suspicion_clear (link->settings.suspicion, &link->suspect);
  colt_link_leave_window (link);
  link->ports->server_close (link->renewal_channel);
  link->ports->server_close (link->order_channel);
  colt_link_free_orders (link);
  g_free (link->id);
  g_free (link->address);
  g_free (link);
}

const char *
colt_server_link_id (const struct ColtServerLink *link)
{
  return link->id;
}

const char *
colt_server_link_address (const struct ColtServerLink *link)
{
  return link->address;
}

int64_t
colt_server_link_incarnation_ms (const struct ColtServerLink *link)
{
  return link->incarnation_ms;
}

void
colt_server_link_set_entry_start (struct ColtServerLink *link,
                                  int64_t incarnation_ms)
{
  if (incarnation_ms > link->incarnation_ms)
    link->has_report = false;
}

void
colt_server_link_set_listed (struct ColtServerLink *link, bool listed)
{
  link->listed = listed;
}

void
colt_server_link_set_evacuated (struct ColtServerLink *link, bool evacuated)
{
  if (evacuated == link->evacuated)
    return;
  link->evacuated = evacuated;
  if (evacuated)
    colt_link_withdraw_starts (link);
}

void
colt_server_link_ack_ends (struct ColtServerLink *link,
                           int64_t incarnation_ms,
                           uint64_t number)
{
  if (incarnation_ms == link->incarnation_ms && number > link->durable_end)
    link->durable_end = number;
}

void
colt_server_link_tick (struct ColtServerLink *link, int64_t now_us)
{
  /* A renewal after one that failed asks a suspected server; a query beside it,
   * if lost, would delay the next start on its channel. */
  renew_if_due_ (link, now_us);
  colt_link_check_suspicion (link, now_us);
}

static void
renew_if_due_ (struct ColtServerLink *link, int64_t now_us)
{
  bool expired = leases_have_expired_ (link, now_us);
  size_t runs;

  if (!expired && !is_renewal_due_ (link, now_us))
    return;
  runs = link->client.count_runs (link->client.client, link->id);
  if (expired && runs == 0)
    forget_leases_ (link);
  else if (expired)
    {
      expire_leases_ (link, runs, now_us);
      runs = link->client.count_runs (link->client.client, link->id);
    }
  if (is_renewal_due_ (link, now_us)
      && (runs > 0 || link->durable_end > link->durable_end_sent
          || (!link->has_report && link->listed
              && (!link->evacuated || link->known_us == 0))))
    colt_link_renew_leases (link, runs, now_us);
}

void
colt_link_renew_leases (struct ColtServerLink *link,
                        size_t runs,
                        int64_t now_us)
{
  struct ColtServerRenewal renewal = { 0 };
  bool known = !colt_link_is_silent (link, now_us)
               && colt_link_is_bound (link, link->renewal_connection);

  renewal.token = link->settings.token;
  if (known)
    renewal.connection = link->renewal_connection;
  if (known && link->failures == 0)
    renewal.acked_through = link->durable_end;
  if (runs > 0 && link->failures < FAILURE_LIMIT && known)
    renewal.until_ms = colt_link_lease_end_ms (link, now_us);
  link->renewal_until_ms = renewal.until_ms;
  link->renewal_has_lease = renewal.until_ms > 0;
  link->renewal_incarnation_ms = link->incarnation_ms;
  renewal.wait_ms = runs > 0 && link->has_report && link->failures == 0 && known
                        ? RENEWAL_WAIT_MS
                        : 0;
  renewal.timeout_ms = renewal.wait_ms + RENEWAL_SLACK_MS;
  link->durable_end_open = renewal.acked_through;
  link->call_count++;
  link->renewal_number = link->call_count;
  link->renewing = true;
  link->ports->server_renew (link->renewal_channel, &renewal,
                             handle_renewal_answer_, link);
}

bool
colt_link_is_unreachable (const struct ColtServerLink *link)
{
  return link->failures >= FAILURE_LIMIT;
}

bool
colt_link_is_bound (const struct ColtServerLink *link, uint64_t connection)
{
  return connection != 0 || !link->keeps_connections
         || !colt_guard_on (COLT_GUARD_CONNECTION);
}

/* A server that has been restarted unnoticed must get no lease, as its new
 * clock would extend it to the longest that it grants, and no numbers of ends,
 * as it would forget its own. These are withheld from the first renewal that
 * fails on; leases would lapse. */
bool
colt_link_is_silent (const struct ColtServerLink *link, int64_t now_us)
{
  return colt_guard_on (COLT_GUARD_SILENT_SERVER)
         && (link->heard_us == 0 || now_us - link->heard_us > SILENCE_MAX_US);
}

static void
handle_renewal_answer_ (void *client, const struct ColtServerAnswer *answer)
{
  struct ColtServerLink *link = client;

  if (link->closing)
    return;
  link->renewing = false;
  if (answer->connection == 0)
    link->renewal_connection = 0;
  close_renewal_lease_ (link, answer);
  if (colt_link_is_answer (answer))
    colt_link_note_answer (link);
  switch (answer->result)
    {
    case COLT_START_TAKEN:
      handle_renewal_success_ (link, answer);
      break;
    case COLT_START_FENCED:
      link->next_renewal_us = answer->received_us + UNREACHABLE_PAUSE_US;
      link->client.handle_fenced (link->client.client, link);
      break;
    case COLT_START_GONE:
      link->next_renewal_us = answer->received_us + UNREACHABLE_PAUSE_MAX_US;
      if (!colt_link_lose_replaced_server (link, "renewal", answer,
                                           link->renewal_number))
        link->next_renewal_us = answer->received_us;
      break;
    default:
      handle_renewal_failure_ (link, answer);
    }
}

/* Keeps the latest end of a lease that the server may have granted with the
 * renewal that was open. */
static void
close_renewal_lease_ (struct ColtServerLink *link,
                      const struct ColtServerAnswer *answer)
{
  int64_t latest_us
      = colt_link_unclocked_lease_end_us (link, answer->received_us);

  /* A renewal that wasn't sent has renewed no lease. */
  if (answer->result != COLT_START_NOT_SENT)
    {
      link->lease_until_ms = MAX (link->lease_until_ms, link->renewal_until_ms);
      /* The end that was sent was on the clock of another incarnation than the
       * one that is known by now, or has answered an order. */
      if (link->renewal_has_lease
          && (link->renewal_incarnation_ms != link->incarnation_ms
              || link->heard_us == 0))
        link->unclocked_until_us = latest_us;
    }
  if (answer->result == COLT_START_UNKNOWN && link->renewal_until_ms > 0
      && answer->received_us <= link->unconfirmed_until_us)
    link->unconfirmed_until_us = latest_us;
  link->renewal_until_ms = 0;
}

static void
handle_renewal_success_ (struct ColtServerLink *link,
                         const struct ColtServerAnswer *answer)
{
  link->next_renewal_us = answer->received_us;
  if (link->failures >= FAILURE_LIMIT)
    colt_log (COLT_LOG_INFO, MODULE, NULL, "server %s is reachable again",
              link->id);
  link->failures = 0;
  if (!colt_link_apply_report (link, answer, link->renewal_number,
                               &link->renewal_connection))
    return;
  link->durable_end_sent = MAX (link->durable_end_sent, link->durable_end_open);
  link->next_renewal_us
      += link->client.has_tight_runs (link->client.client, link->id)
             ? TIGHT_PAUSE_US
             : LAX_PAUSE_US;
  colt_link_send_next_order (link);
}

static void
handle_renewal_failure_ (struct ColtServerLink *link,
                         const struct ColtServerAnswer *answer)
{
  int64_t pause_us = UNREACHABLE_PAUSE_US << MIN (link->failures, 2);

  link->failures++;
  link->next_renewal_us = answer->received_us
                          + (link->failures < FAILURE_LIMIT
                                 ? 0
                                 : MIN (pause_us, UNREACHABLE_PAUSE_MAX_US));
  if (answer->result == COLT_START_UNKNOWN)
    colt_link_note_loss (link, answer->received_us);
  if (link->failures != FAILURE_LIMIT)
    return;
  link->has_report = false;
  log_unreachable_ (link, answer);
  link->client.handle_unreachable (link->client.client, link);
  colt_link_withdraw_starts (link);
}

/* Logs how long runs on the server may still hold a lease: their tasks start
 * elsewhere once the latest of these times has passed. */
static void
log_unreachable_ (const struct ColtServerLink *link,
                  const struct ColtServerAnswer *answer)
{
  int64_t now_us = answer->received_us;
  int64_t own_us
      = latest_lease_end_ms_ (link) > 0 ? lease_expiry_us_ (link) - now_us : 0;
  const struct ColtLogField fields[]
      = { { "server", link->id, 0 },
          { "error", answer->error.message, 0 },
          { "runs", NULL,
            (int64_t)link->client.count_runs (link->client.client, link->id) },
          { "leases_end_in_ms", NULL, MAX (own_us, 0) / COLT_US_PER_MS },
          { "unknown_leases_end_in_ms", NULL,
            MAX (link->unclocked_until_us - now_us, 0) / COLT_US_PER_MS },
          { "unanswered_starts_end_in_ms", NULL,
            MAX (link->unconfirmed_until_us - now_us, 0) / COLT_US_PER_MS } };

  colt_log_event (COLT_LOG_WARNING, MODULE,
                  "server unreachable, it gets no work", NULL, fields,
                  G_N_ELEMENTS (fields));
}

bool
colt_link_apply_report (struct ColtServerLink *link,
                        const struct ColtServerAnswer *answer,
                        uint64_t number,
                        uint64_t *connection)
{
  struct ColtServerReport report = answer->report;

  if (answer->incarnation_ms != link->incarnation_ms
      && !may_contradict_ (link, answer))
    {
      colt_log (COLT_LOG_INFO, MODULE, NULL,
                "a report of server %s may be an earlier incarnation's; "
                "requesting another",
                link->id);
      return false;
    }
  update_incarnation_ (link, answer);
  update_clock_ (link, answer);
  *connection = answer->connection;
  link->keeps_connections = answer->connection != 0;
  link->known_us = answer->received_us;
  link->heard_us = answer->received_us;
  /* The server has rejected earlier leaders since it executed this call, and
   * shortens their leases to the longest one that it grants. */
  link->unclocked_until_us
      = MIN (link->unclocked_until_us,
             colt_link_unclocked_lease_end_us (link, answer->received_us));
  if (!colt_link_is_unreachable (link))
    link->has_report = true;
  report.call_number = number;
  report.incarnation_ms = answer->incarnation_ms;
  link->client.handle_report (link->client.client, link, &report);
  return true;
}

bool
colt_link_lose_replaced_server (struct ColtServerLink *link,
                                const char *call,
                                const struct ColtServerAnswer *answer,
                                uint64_t number)
{
  const struct ColtServerLoss loss = { .ended = true, .call_number = number };
  size_t runs = link->client.count_runs (link->client.client, link->id);
  bool counts = may_contradict_ (link, answer);

  if (runs > 0)
    colt_log (
        COLT_LOG_WARNING, MODULE, NULL,
        "another server answers a %s of %lld ms ago at %s, the address of "
        "server %s; %s",
        call,
        (long long)((answer->received_us - answer->sent_us) / COLT_US_PER_MS),
        link->address, link->id,
        counts ? "its runs are lost"
               : "it has answered since; requesting a report");
  link->has_report = false;
  if (!counts)
    return false;
  reset_incarnation_ (link);
  link->known_us = answer->received_us;
  lose_runs_ (link, &loss);
  /* Runs that started since may hold a lease, on a clock that isn't known. */
  if (link->client.count_runs (link->client.client, link->id) > 0)
    link->unclocked_until_us
        = colt_link_unclocked_lease_end_us (link, answer->received_us);
  return true;
}

/* Ends the runs whose leases have certainly ended. A start without an answer
 * may have been executed by an incarnation that isn't known yet, which grants
 * longer leases by its clock. */
static void
expire_leases_ (struct ColtServerLink *link, size_t runs, int64_t now_us)
{
  struct ColtServerLoss loss = { 0 };
  size_t left;

  link->has_report = false;
  /* Withdraws starts that may have been executed, and wait to be sent again. */
  colt_link_drop_starts (link);
  loss.all = now_us > link->unconfirmed_until_us
             && (link->open_order == NULL || !link->open_order->start);
  lose_runs_ (link, &loss);
  left = link->client.count_runs (link->client.client, link->id);
  if (left < runs)
    log_expiry_ (link, runs - left, now_us);
  if (left == 0)
    forget_leases_ (link);
}

/* A run that is planned later holds none of the leases that have ended. */
static void
forget_leases_ (struct ColtServerLink *link)
{
  link->unclocked_until_us = 0;
  link->lease_until_ms = 0;
}

static void
log_expiry_ (const struct ColtServerLink *link, size_t runs, int64_t now_us)
{
  const struct ColtLogField fields[] = {
    { "server", link->id, 0 },
    { "runs", NULL, (int64_t)runs },
    { "incarnation_ms", NULL, link->incarnation_ms },
    { "lease_end_ms", NULL, latest_lease_end_ms_ (link) },
    { "clock_ms", NULL, link->clock_ms },
    { "clock_age_ms", NULL, (now_us - link->clock_us) / COLT_US_PER_MS },
    { "report_age_ms", NULL,
      link->heard_us == 0 ? -1 : (now_us - link->heard_us) / COLT_US_PER_MS },
    { "failed_renewals", NULL, link->failures }
  };

  colt_log_event (COLT_LOG_WARNING, MODULE, "leases expired, runs are lost",
                  NULL, fields, G_N_ELEMENTS (fields));
}

/* Reports runs as lost. Their tasks start elsewhere, so that starts that wait
 * in the queue must not be sent any more. */
static void
lose_runs_ (struct ColtServerLink *link, const struct ColtServerLoss *loss)
{
  colt_link_drop_starts (link);
  link->client.handle_runs_lost (link->client.client, link, loss);
}

/* Returns whether an answer may show that another process has taken the place
 * of the known incarnation. A call that was sent before that one last answered
 * may have been answered before it. */
static bool
may_contradict_ (const struct ColtServerLink *link,
                 const struct ColtServerAnswer *answer)
{
  return answer->sent_us >= link->known_us
         || !colt_guard_on (COLT_GUARD_INCARNATION);
}

/* A restarted server numbers its ends anew. Orders sent since its restart may
 * have reached the new incarnation, whose reports show which runs are left. Its
 * clock has started anew, so that a lease end sent to it may lie far ahead; it
 * shortens such a lease to the longest one that it grants. */
static void
update_incarnation_ (struct ColtServerLink *link,
                     const struct ColtServerAnswer *answer)
{
  if (answer->incarnation_ms == 0
      || answer->incarnation_ms == link->incarnation_ms)
    return;
  if (link->incarnation_ms != 0)
    {
      log_restart_ (link, answer);
      reset_incarnation_ (link);
      link->unclocked_until_us
          = colt_link_unclocked_lease_end_us (link, answer->received_us);
    }
  link->incarnation_ms = answer->incarnation_ms;
}

/* Logs the latest lease end that was sent, which is on the former incarnation's
 * clock, beside the clock of the new one: a call that the new one executed may
 * have given it a lease of that length, up to the longest that it grants. */
static void
log_restart_ (const struct ColtServerLink *link,
              const struct ColtServerAnswer *answer)
{
  const struct ColtLogField fields[]
      = { { "server", link->id, 0 },
          { "incarnation_ms", NULL, answer->incarnation_ms },
          { "former_incarnation_ms", NULL, link->incarnation_ms },
          { "lease_end_ms", NULL, latest_lease_end_ms_ (link) },
          { "clock_ms", NULL, answer->clock_ms },
          { "call_age_ms", NULL,
            (answer->received_us - answer->sent_us) / COLT_US_PER_MS },
          { "failed_renewals", NULL, link->failures } };

  colt_log_event (COLT_LOG_WARNING, MODULE,
                  "server restarted, runs that it doesn't list are lost", NULL,
                  fields, G_N_ELEMENTS (fields));
}

static void
reset_incarnation_ (struct ColtServerLink *link)
{
  link->unclocked_until_us = 0;
  link->heard_us = 0;
  link->incarnation_ms = 0;
  link->renewal_connection = 0;
  link->order_connection = 0;
  link->durable_end = 0;
  link->durable_end_sent = 0;
  link->durable_end_open = 0;
  link->has_clock = false;
  link->lease_until_ms = 0;
  link->renewal_until_ms = 0;
  link->order_until_ms = 0;
  link->has_report = false;
}

static void
update_clock_ (struct ColtServerLink *link,
               const struct ColtServerAnswer *answer)
{
  if (!answer->has_clock)
    return;
  link->has_clock = true;
  link->clock_ms = answer->clock_ms;
  link->clock_us = answer->received_us;
}

bool
colt_link_check_clock (struct ColtServerLink *link,
                       const struct ColtServerAnswer *answer)
{
  int64_t elapsed_ms = (answer->received_us - link->clock_us) / COLT_US_PER_MS;
  int64_t expected_ms = link->clock_ms + elapsed_ms;

  if (!answer->has_clock || !link->has_clock)
    return true;
  if (!colt_guard_on (COLT_GUARD_INCARNATION))
    {
      update_clock_ (link, answer);
      return true;
    }
  if (ABS (answer->clock_ms - expected_ms)
      <= CLOCK_JUMP_MIN_MS
             + (int64_t)((double)elapsed_ms * (1 - CLOCK_RATE_MIN)))
    {
      link->known_us = answer->received_us;
      return true;
    }
  log_clock_jump_ (link, answer, expected_ms);
  link->heard_us = 0;
  link->has_report = false;
  link->unclocked_until_us
      = colt_link_unclocked_lease_end_us (link, answer->received_us);
  return false;
}

static void
log_clock_jump_ (const struct ColtServerLink *link,
                 const struct ColtServerAnswer *answer,
                 int64_t expected_ms)
{
  const struct ColtLogField fields[]
      = { { "server", link->id, 0 },
          { "expected_ms", NULL, expected_ms },
          { "clock_ms", NULL, answer->clock_ms },
          { "incarnation_ms", NULL, link->incarnation_ms } };

  colt_log_event (COLT_LOG_WARNING, MODULE,
                  "server clock jumped, requesting a report", NULL, fields,
                  G_N_ELEMENTS (fields));
}

int64_t
colt_link_unclocked_lease_end_us (const struct ColtServerLink *link,
                                  int64_t now_us)
{
  return now_us
         + (int64_t)((double)link->settings.lease_max_ms * COLT_US_PER_MS
                     / CLOCK_RATE_MIN)
         + LEASE_SLACK_US;
}

/* Returns the end of a lease that is renewed now, on the server's clock; 0 if
 * no lease may be renewed. The client limits it, because a later leader may
 * have been elected unnoticed by this instance. */
int64_t
colt_link_lease_end_ms (const struct ColtServerLink *link, int64_t now_us)
{
  int64_t renewable_us
      = link->client.renewable_until_us (link->client.client) - now_us;
  int64_t lease_ms
      = MIN (link->settings.lease_ms, renewable_us / COLT_US_PER_MS);

  if (!link->has_clock || lease_ms <= 0)
    return 0;
  return link->clock_ms
         + (int64_t)((double)(now_us - link->clock_us) * CLOCK_RATE_MIN
                     / COLT_US_PER_MS)
         + lease_ms;
}

static int64_t
latest_lease_end_ms_ (const struct ColtServerLink *link)
{
  return MAX (link->lease_until_ms,
              MAX (link->renewal_until_ms, link->order_until_ms));
}

/* Returns when all leases have certainly ended, on the local clock. The
 * server's clock was at least clock_ms at clock_us. */
static int64_t
lease_expiry_us_ (const struct ColtServerLink *link)
{
  return link->clock_us
         + (int64_t)((double)(latest_lease_end_ms_ (link) - link->clock_ms)
                     * COLT_US_PER_MS / CLOCK_RATE_MIN)
         + LEASE_SLACK_US;
}

/* A server never shortens a lease: runs may go on until the end that an earlier
 * leader promised, whatever this one has renewed. Once no lease is left,
 * nothing runs on an unreachable server. */
static bool
leases_have_expired_ (const struct ColtServerLink *link, int64_t now_us)
{
  if (colt_guard_on (COLT_GUARD_INHERITED_LEASES)
      && now_us <= link->unclocked_until_us)
    return false;
  if (latest_lease_end_ms_ (link) > 0)
    return now_us > lease_expiry_us_ (link);
  /* The reports of a reachable server show which runs have lapsed. */
  return link->failures >= FAILURE_LIMIT;
}

/* Whether a renewal may be sent now if there is anything to renew. */
static bool
is_renewal_due_ (const struct ColtServerLink *link, int64_t now_us)
{
  return !link->renewing && now_us >= link->next_renewal_us;
}
