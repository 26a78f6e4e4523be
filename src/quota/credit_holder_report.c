#include <string.h>

#include "credit_holder_private.h"

/* Least time between reports that only update the number of running tasks, in
 * us. */
#define RUNNING_REPORT_PERIOD_US 1000000

struct ColtReportDraft
{
  const struct ColtCreditHolder *holder;
  uint32_t shard;
  bool full;
  GArray *states; /* of struct ColtCreditState */
  GArray *held;   /* of struct ColtServerEpoch */
  GArray *lost;   /* of struct ColtServerEpoch */
};

static void drop_empty_teams_ (struct ColtCreditHolder *holder);
static void find_due_shards_ (struct ColtCreditHolder *holder,
                              int64_t now_us,
                              bool due[COLT_SHARD_COUNT]);
static bool is_session_due_ (const struct ColtHolderSession *session,
                             int64_t now_us);
static bool is_team_due_ (const struct ColtHolderSession *session,
                          const struct ColtHolderTeam *team,
                          int64_t now_us);
static bool has_lost_servers_ (const struct ColtHolderTeam *team);
static void
report_shard_ (struct ColtCreditHolder *holder, uint32_t shard, int64_t now_us);
static void collect_teams_ (struct ColtReportDraft *draft, uint64_t sequence);
static void collect_servers_ (struct ColtReportDraft *draft);
static void collect_lost_servers_ (const struct ColtHolderTeam *team,
                                   GArray *lost);
static void add_team_state_ (struct ColtReportDraft *draft,
                             struct ColtHolderTeam *team,
                             uint64_t sequence);
static void send_report_ (struct ColtReportDraft *draft, uint64_t sequence);

void
colt_holder_send_reports_ (struct ColtCreditHolder *holder, int64_t now_us)
{
  bool due[COLT_SHARD_COUNT] = { false };
  uint32_t shard;

  drop_empty_teams_ (holder);
  find_due_shards_ (holder, now_us, due);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    if (due[shard])
      report_shard_ (holder, shard, now_us);
}

void
colt_holder_handle_ack_ (struct ColtCreditHolder *holder,
                         uint32_t shard,
                         uint64_t sequence)
{
  struct ColtHolderSession *session = &holder->sessions[shard];
  GHashTableIter iter;
  gpointer value;

  if (!session->unacked || session->sent_sequence != sequence)
    return;
  session->unacked = false;
  session->full_due = false;
  session->promise_acked = session->sent_promise;
  g_hash_table_iter_init (&iter, holder->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHolderTeam *team = value;

      if (team->shard == shard && team->sent_report == sequence)
        team->dirty = false;
    }
  g_hash_table_iter_init (&iter, holder->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHolderServer *server = value;

      if (server->added_after < sequence)
        server->pending_shards &= ~(UINT64_C (1) << shard);
    }
}

/* Removes teams without credits and tasks, once the leader has acknowledged
 * that state. */
static void
drop_empty_teams_ (struct ColtCreditHolder *holder)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, holder->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtHolderTeam *team = value;
      struct ColtHolderSession *session = &holder->sessions[team->shard];

      if (team->dirty || team->waiting > 0 || team->usages->len > 0
          || !colt_quota_is_zero (&team->running)
          || !colt_quota_is_zero (&team->ceiling))
        continue;
      session->sequence_floor = MAX (session->sequence_floor, team->sequence);
      g_hash_table_iter_remove (&iter);
    }
}

static void
find_due_shards_ (struct ColtCreditHolder *holder,
                  int64_t now_us,
                  bool due[COLT_SHARD_COUNT])
{
  GHashTableIter iter;
  gpointer value;
  uint64_t pending = 0;
  uint32_t shard;

  g_hash_table_iter_init (&iter, holder->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    pending |= ((const struct ColtHolderServer *)value)->pending_shards;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      const struct ColtHolderSession *session = &holder->sessions[shard];
      bool acked = (pending >> shard & 1) == 0;

      due[shard]
          = is_session_due_ (session, now_us)
            || (!acked && session->open
                && (!session->unacked
                    || now_us - session->sent_us >= COLT_CREDIT_RETRY_US));
    }
  g_hash_table_iter_init (&iter, holder->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHolderTeam *team = value;

      if (is_team_due_ (&holder->sessions[team->shard], team, now_us))
        due[team->shard] = true;
    }
}

static bool
is_session_due_ (const struct ColtHolderSession *session, int64_t now_us)
{
  if (!session->open)
    return false;
  if (!session->full_due
      && session->promise_acked >= session->promise_requested)
    return false;
  return !session->unacked || session->sent_promise < session->promise_requested
         || now_us - session->sent_us >= COLT_CREDIT_RETRY_US;
}

static bool
is_team_due_ (const struct ColtHolderSession *session,
              const struct ColtHolderTeam *team,
              int64_t now_us)
{
  int64_t age = now_us - session->sent_us;

  if (!session->open)
    return false;
  if (team->dirty && team->sent_report == 0)
    return true;
  if (team->dirty && age >= COLT_CREDIT_RETRY_US)
    return true;
  if (team->running_changed && age >= RUNNING_REPORT_PERIOD_US)
    return true;
  return has_lost_servers_ (team) && age >= COLT_CREDIT_RETRY_US;
}

static bool
has_lost_servers_ (const struct ColtHolderTeam *team)
{
  size_t i;

  for (i = 0; i < team->usages->len; i++)
    if (g_array_index (team->usages, struct ColtHolderUsage, i).lost)
      return true;
  return false;
}

/* A report includes every change that the leader has not acknowledged, so that
 * a server taken over and the tasks found there arrive together. */
static void
report_shard_ (struct ColtCreditHolder *holder, uint32_t shard, int64_t now_us)
{
  struct ColtHolderSession *session = &holder->sessions[shard];
  struct ColtReportDraft draft = { holder, shard, session->full_due };
  uint64_t sequence = ++holder->sequence;

  draft.states = g_array_new (FALSE, TRUE, sizeof (struct ColtCreditState));
  draft.held = g_array_new (FALSE, TRUE, sizeof (struct ColtServerEpoch));
  draft.lost = g_array_new (FALSE, TRUE, sizeof (struct ColtServerEpoch));
  collect_teams_ (&draft, sequence);
  collect_servers_ (&draft);
  session->unacked = true;
  session->sent_sequence = sequence;
  session->sent_promise = session->promise;
  session->sent_us = now_us;
  send_report_ (&draft, sequence);
  g_array_unref (draft.states);
  g_array_unref (draft.held);
  g_array_unref (draft.lost);
}

static void
collect_teams_ (struct ColtReportDraft *draft, uint64_t sequence)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, draft->holder->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHolderTeam *team = value;

      if (team->shard != draft->shard)
        continue;
      collect_lost_servers_ (team, draft->lost);
      if (draft->full || team->dirty || team->running_changed)
        add_team_state_ (draft, team, sequence);
    }
}

static void
collect_servers_ (struct ColtReportDraft *draft)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, draft->holder->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHolderServer *server = value;
      struct ColtServerEpoch held = { server->server, server->epoch };

      if (!draft->full && (server->pending_shards >> draft->shard & 1) == 0)
        continue;
      g_array_append_val (draft->held, held);
    }
}

static void
collect_lost_servers_ (const struct ColtHolderTeam *team, GArray *lost)
{
  size_t i;

  for (i = 0; i < team->usages->len; i++)
    {
      const struct ColtHolderUsage *usage
          = &g_array_index (team->usages, struct ColtHolderUsage, i);
      struct ColtServerEpoch entry = { usage->server, usage->epoch };

      if (usage->lost)
        g_array_append_val (lost, entry);
    }
}

static void
add_team_state_ (struct ColtReportDraft *draft,
                 struct ColtHolderTeam *team,
                 uint64_t sequence)
{
  struct ColtCreditState state = { 0 };

  g_strlcpy (state.team, team->name, sizeof state.team);
  state.sequence = team->sequence;
  state.ceiling = team->ceiling;
  state.running = team->running;
  state.lost = team->lost;
  state.unit = team->unit;
  state.waiting = team->waiting;
  g_array_append_val (draft->states, state);
  if (team->lost_credits_report == 0)
    team->lost_credits_report = sequence;
  team->sent_report = sequence;
  team->running_changed = false;
  team->reported_waiting = team->waiting;
  team->reported_running = team->running.amount[COLT_QUOTA_TASKS];
}

static void
send_report_ (struct ColtReportDraft *draft, uint64_t sequence)
{
  const struct ColtHolderSession *session
      = &draft->holder->sessions[draft->shard];
  struct ColtCreditReport report = { 0 };

  report.owner = draft->holder->owner;
  report.shard = draft->shard;
  report.epoch = session->epoch;
  report.sequence = sequence;
  report.promise = session->promise;
  report.full = draft->full;
  report.states = (struct ColtCreditState *)(void *)draft->states->data;
  report.state_count = draft->states->len;
  report.held = (struct ColtServerEpoch *)(void *)draft->held->data;
  report.held_count = draft->held->len;
  report.lost = (struct ColtServerEpoch *)(void *)draft->lost->data;
  report.lost_count = draft->lost->len;
  draft->holder->send (draft->holder->context, &report);
}
