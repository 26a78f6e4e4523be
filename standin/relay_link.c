#include "relay_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>

#include "coltsfootstile/clock.h"

/* Bytes buffered in one direction above which reading pauses. */
#define BUFFERED_BYTES_MAX (1024 * 1024)
/* Most bytes read at a time. */
#define READ_BYTES_MAX (256 * 1024)

enum
{
  CALLER,
  TARGET,
  END_COUNT
};

/* Bytes that wait for the end of their delay. */
struct ColtRelayChunk
{
  int64_t due_us;
  struct evbuffer *bytes;
};

/* One direction, indexed by the end from which it reads. */
struct ColtRelayPipe
{
  struct ColtRelayLink *link;
  struct bufferevent *from;
  struct bufferevent *to;
  GQueue chunks;       /* of struct ColtRelayChunk, by due time */
  size_t queued_bytes; /* in chunks */
  struct event *timer;
  bool ended; /* the end from which it reads has closed */
};

struct ColtRelayLink
{
  const struct ColtRelayPath *path;
  struct bufferevent *ends[END_COUNT];
  struct ColtRelayPipe pipes[END_COUNT];
  bool connect_started;
  bool blocked; /* permanently */
};

static void open_pipe_ (struct ColtRelayLink *link, int from, int to);
static void close_pipe_ (struct ColtRelayPipe *pipe);
static bool is_paused_ (const struct ColtRelayPipe *pipe);
static void connect_target_ (struct ColtRelayLink *link);
static void on_bytes_read_ (struct bufferevent *end, void *data);
static void on_output_drained_ (struct bufferevent *end, void *data);
static void on_stream_event_ (struct bufferevent *end, short what, void *data);
static void forward_due_chunks_ (struct ColtRelayPipe *pipe);
static void on_forward_timer_ (evutil_socket_t fd, short what, void *data);
static void update_reading_ (struct ColtRelayPipe *pipe);
static bool close_if_finished_ (struct ColtRelayPipe *pipe);
static void free_chunk_ (gpointer data);

struct ColtRelayLink *
colt_relay_link_create (const struct ColtRelayPath *path, evutil_socket_t fd)
{
  struct ColtRelayLink *link = g_new0 (struct ColtRelayLink, 1);

  link->path = path;
  link->ends[CALLER]
      = bufferevent_socket_new (path->base, fd, BEV_OPT_CLOSE_ON_FREE);
  link->ends[TARGET]
      = bufferevent_socket_new (path->base, -1, BEV_OPT_CLOSE_ON_FREE);
  open_pipe_ (link, CALLER, TARGET);
  open_pipe_ (link, TARGET, CALLER);
  colt_relay_link_update (link);
  return link;
}

void
colt_relay_link_destroy (struct ColtRelayLink *link)
{
  if (link == NULL)
    return;
  close_pipe_ (&link->pipes[CALLER]);
  close_pipe_ (&link->pipes[TARGET]);
  bufferevent_free (link->ends[CALLER]);
  bufferevent_free (link->ends[TARGET]);
  g_free (link);
}

void
colt_relay_link_reset (struct ColtRelayLink *link)
{
  const struct linger discard = { .l_onoff = 1, .l_linger = 0 };
  int i;

  for (i = 0; i < END_COUNT; i++)
    setsockopt (bufferevent_getfd (link->ends[i]), SOL_SOCKET, SO_LINGER,
                &discard, sizeof discard);
  colt_relay_link_destroy (link);
}

void
colt_relay_link_update (struct ColtRelayLink *link)
{
  int i;

  for (i = 0; i < END_COUNT; i++)
    {
      struct ColtRelayPipe *pipe = &link->pipes[i];

      if (is_paused_ (pipe))
        {
          bufferevent_disable (pipe->from, EV_READ);
          bufferevent_disable (pipe->to, EV_WRITE);
          evtimer_del (pipe->timer);
          continue;
        }
      bufferevent_enable (pipe->from, EV_READ);
      bufferevent_enable (pipe->to, EV_WRITE);
    }
  /* A handshake needs both directions. */
  if (!link->connect_started && !is_paused_ (&link->pipes[CALLER])
      && !is_paused_ (&link->pipes[TARGET]))
    connect_target_ (link);
  for (i = 0; i < END_COUNT; i++)
    if (!is_paused_ (&link->pipes[i]))
      forward_due_chunks_ (&link->pipes[i]);
}

void
colt_relay_link_block (struct ColtRelayLink *link)
{
  link->blocked = true;
  colt_relay_link_update (link);
}

static void
open_pipe_ (struct ColtRelayLink *link, int from, int to)
{
  struct ColtRelayPipe *pipe = &link->pipes[from];

  pipe->link = link;
  pipe->from = link->ends[from];
  pipe->to = link->ends[to];
  g_queue_init (&pipe->chunks);
  pipe->timer = evtimer_new (link->path->base, on_forward_timer_, pipe);
  bufferevent_setcb (pipe->from, on_bytes_read_, on_output_drained_,
                     on_stream_event_, pipe);
  bufferevent_setwatermark (pipe->from, EV_READ, 0, READ_BYTES_MAX);
}

static void
close_pipe_ (struct ColtRelayPipe *pipe)
{
  event_free (pipe->timer);
  g_queue_clear_full (&pipe->chunks, free_chunk_);
}

static bool
is_paused_ (const struct ColtRelayPipe *pipe)
{
  const struct ColtRelayLink *link = pipe->link;
  const struct ColtRelayPath *path = link->path;

  return link->blocked || path->cut
         || (pipe == &link->pipes[CALLER] ? path->cut_to_target
                                          : path->cut_to_caller);
}

/* A failure to connect is reported to on_stream_event_(). */
static void
connect_target_ (struct ColtRelayLink *link)
{
  link->connect_started = true;
  bufferevent_socket_connect (link->ends[TARGET],
                              (const struct sockaddr *)&link->path->target,
                              (int)link->path->target_size);
}

static void
on_bytes_read_ (struct bufferevent *end, void *data)
{
  struct ColtRelayPipe *pipe = data;
  struct ColtRelayChunk *chunk;

  if (is_paused_ (pipe))
    return;
  chunk = g_new0 (struct ColtRelayChunk, 1);
  chunk->due_us = colt_clock_monotonic_us () + pipe->link->path->delay_us;
  chunk->bytes = evbuffer_new ();
  bufferevent_read_buffer (end, chunk->bytes);
  pipe->queued_bytes += evbuffer_get_length (chunk->bytes);
  g_queue_push_tail (&pipe->chunks, chunk);
  forward_due_chunks_ (pipe);
}

/* All bytes written to this end were sent, so that reading from the other end
 * can resume, or the link can close if the other end has closed. */
static void
on_output_drained_ (struct bufferevent *end, void *data)
{
  struct ColtRelayPipe *pipe = data;
  struct ColtRelayLink *link = pipe->link;
  struct ColtRelayPipe *other
      = &link->pipes[pipe == &link->pipes[CALLER] ? TARGET : CALLER];

  (void)end;
  if (!close_if_finished_ (other))
    update_reading_ (other);
}

static void
on_stream_event_ (struct bufferevent *end, short what, void *data)
{
  struct ColtRelayPipe *pipe = data;

  (void)end;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  pipe->ended = true;
  close_if_finished_ (pipe);
}

static void
forward_due_chunks_ (struct ColtRelayPipe *pipe)
{
  const struct ColtRelayChunk *chunk = g_queue_peek_head (&pipe->chunks);
  int64_t now_us = colt_clock_monotonic_us ();
  struct timeval delay;

  while (chunk != NULL && chunk->due_us <= now_us)
    {
      pipe->queued_bytes -= evbuffer_get_length (chunk->bytes);
      bufferevent_write_buffer (pipe->to, chunk->bytes);
      free_chunk_ (g_queue_pop_head (&pipe->chunks));
      chunk = g_queue_peek_head (&pipe->chunks);
    }
  if (chunk != NULL)
    {
      delay.tv_sec = (chunk->due_us - now_us) / COLT_US_PER_S;
      delay.tv_usec = (chunk->due_us - now_us) % COLT_US_PER_S;
      evtimer_add (pipe->timer, &delay);
    }
  update_reading_ (pipe);
}

static void
on_forward_timer_ (evutil_socket_t fd, short what, void *data)
{
  struct ColtRelayPipe *pipe = data;

  (void)fd;
  (void)what;
  forward_due_chunks_ (pipe);
  close_if_finished_ (pipe);
}

static void
update_reading_ (struct ColtRelayPipe *pipe)
{
  struct evbuffer *output = bufferevent_get_output (pipe->to);
  size_t bytes = pipe->queued_bytes + evbuffer_get_length (output);

  if (is_paused_ (pipe) || pipe->ended)
    return;
  if (bytes > BUFFERED_BYTES_MAX)
    bufferevent_disable (pipe->from, EV_READ);
  else
    bufferevent_enable (pipe->from, EV_READ);
}

/* Closes the link if one end has closed and all bytes read from it were sent.
 * Returns whether the link was destroyed. */
static bool
close_if_finished_ (struct ColtRelayPipe *pipe)
{
  struct ColtRelayLink *link = pipe->link;
  struct evbuffer *output = bufferevent_get_output (pipe->to);

  if (!pipe->ended || !g_queue_is_empty (&pipe->chunks))
    return false;
  if (evbuffer_get_length (output) > 0)
    return false;
  link->path->closed (link->path->client, link);
  colt_relay_link_destroy (link);
  return true;
}

static void
free_chunk_ (gpointer data)
{
  struct ColtRelayChunk *chunk = data;

  evbuffer_free (chunk->bytes);
  g_free (chunk);
}
