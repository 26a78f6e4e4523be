#include "fake_http.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>

/* Period in which a limited connection may transfer its part of the rate. */
#define RATE_TICK_US 20000
/* Receive buffer of a limited connection: what it holds isn't delayed. */
#define RATE_BUFFER_BYTES 65536

struct ColtFakeStep
{
  enum ColtFakeAction action;
  int status;
  char *body;
};

struct ColtFakeHttp
{
  struct event_base *base;
  struct evconnlistener *listener;
  GPtrArray *connections; /* of struct bufferevent */
  GQueue script;          /* of struct ColtFakeStep */
  GPtrArray *requests;
  struct ev_token_bucket_cfg *limits; /* of connections; NULL: none */
  char address[32];
};

static void free_connection_ (void *connection);
static void free_step_ (void *data);
static void on_accept_ (struct evconnlistener *listener,
                        evutil_socket_t fd,
                        struct sockaddr *peer,
                        int size,
                        void *client);
static void on_readable_ (struct bufferevent *connection, void *client);
static char *extract_request_ (struct evbuffer *input);
static void run_step_ (struct ColtFakeHttp *fake,
                       struct bufferevent *connection);

struct ColtFakeHttp *
colt_fake_http_create (struct event_base *base)
{
  struct ColtFakeHttp *fake = g_new0 (struct ColtFakeHttp, 1);
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  fake->base = base;
  fake->connections = g_ptr_array_new_with_free_func (free_connection_);
  fake->requests = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&fake->script);
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  fake->listener = evconnlistener_new_bind (
      base, on_accept_, fake, LEV_OPT_CLOSE_ON_FREE, 8,
      (struct sockaddr *)&address, sizeof address);
  g_assert_nonnull (fake->listener);
  getsockname (evconnlistener_get_fd (fake->listener),
               (struct sockaddr *)&address, &size);
  g_snprintf (fake->address, sizeof fake->address, "127.0.0.1:%u",
              ntohs (address.sin_port));
  return fake;
}

void
colt_fake_http_destroy (struct ColtFakeHttp *fake)
{
  evconnlistener_free (fake->listener);
  g_ptr_array_unref (fake->connections);
  if (fake->limits != NULL)
    ev_token_bucket_cfg_free (fake->limits);
  g_ptr_array_unref (fake->requests);
  g_queue_clear_full (&fake->script, free_step_);
  g_free (fake);
}

const char *
colt_fake_http_address (const struct ColtFakeHttp *fake)
{
  return fake->address;
}

void
colt_fake_http_limit_rate (struct ColtFakeHttp *fake, guint bytes_per_s)
{
  const struct timeval tick = { 0, RATE_TICK_US };
  const int buffer = RATE_BUFFER_BYTES;
  size_t rate = bytes_per_s / (1000000 / RATE_TICK_US);

  fake->limits = ev_token_bucket_cfg_new (rate, rate, rate, rate, &tick);
  setsockopt (evconnlistener_get_fd (fake->listener), SOL_SOCKET, SO_RCVBUF,
              &buffer, sizeof buffer);
}

void
colt_fake_http_add_step (struct ColtFakeHttp *fake,
                         enum ColtFakeAction action,
                         int status,
                         const char *body)
{
  struct ColtFakeStep *step = g_new0 (struct ColtFakeStep, 1);

  step->action = action;
  step->status = status;
  step->body = g_strdup (body);
  g_queue_push_tail (&fake->script, step);
}

const char *
colt_fake_http_request (const struct ColtFakeHttp *fake, guint index)
{
  return index < fake->requests->len ? g_ptr_array_index (fake->requests, index)
                                     : NULL;
}

guint
colt_fake_http_connections (const struct ColtFakeHttp *fake)
{
  return fake->connections->len;
}

static void
free_connection_ (void *connection)
{
  bufferevent_free (connection);
}

static void
free_step_ (void *data)
{
  struct ColtFakeStep *step = data;

  g_free (step->body);
  g_free (step);
}

static void
on_accept_ (struct evconnlistener *listener,
            evutil_socket_t fd,
            struct sockaddr *peer,
            int size,
            void *client)
{
  struct ColtFakeHttp *fake = client;
  struct bufferevent *connection
      = bufferevent_socket_new (fake->base, fd, BEV_OPT_CLOSE_ON_FREE);

  (void)listener;
  (void)peer;
  (void)size;
  bufferevent_setcb (connection, on_readable_, NULL, NULL, fake);
  bufferevent_set_rate_limit (connection, fake->limits);
  bufferevent_enable (connection, EV_READ | EV_WRITE);
  g_ptr_array_add (fake->connections, connection);
}

static void
on_readable_ (struct bufferevent *connection, void *client)
{
  struct ColtFakeHttp *fake = client;
  char *request;

  while ((request = extract_request_ (bufferevent_get_input (connection)))
         != NULL)
    {
      g_ptr_array_add (fake->requests, request);
      run_step_ (fake, connection);
    }
}

static char *
extract_request_ (struct evbuffer *input)
{
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
  const char *length;
  size_t size;
  char *text;

  if (end.pos < 0)
    return NULL;
  size = (size_t)end.pos + 4;
  text = g_strndup ((const char *)evbuffer_pullup (input, (ev_ssize_t)size),
                    size);
  length = strstr (text, "Content-Length: ");
  if (length != NULL)
    size += g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10);
  g_free (text);
  if (evbuffer_get_length (input) < size)
    return NULL;
  text = g_malloc0 (size + 1);
  evbuffer_remove (input, text, size);
  return text;
}

static void
run_step_ (struct ColtFakeHttp *fake, struct bufferevent *connection)
{
  struct ColtFakeStep *step = g_queue_pop_head (&fake->script);
  struct evbuffer *output = bufferevent_get_output (connection);
  size_t length;

  if (step == NULL)
    return;
  length = step->body != NULL ? strlen (step->body) : 0;
  if (step->action == COLT_FAKE_TRUNCATE || step->action == COLT_FAKE_STALL)
    length++;
  if (step->action != COLT_FAKE_CLOSE && step->action != COLT_FAKE_NO_ANSWER)
    {
      evbuffer_add_printf (output, "HTTP/1.1 %d Status\r\n", step->status);
      if (step->action != COLT_FAKE_UNBOUNDED)
        evbuffer_add_printf (output, "Content-Length: %zu\r\n", length);
      evbuffer_add_printf (output, "\r\n%s",
                           step->body != NULL ? step->body : "");
    }
  if (step->action != COLT_FAKE_ANSWER && step->action != COLT_FAKE_NO_ANSWER
      && step->action != COLT_FAKE_STALL)
    {
      bufferevent_flush (connection, EV_WRITE, BEV_FLUSH);
      evbuffer_write (output, bufferevent_getfd (connection));
      shutdown (bufferevent_getfd (connection), SHUT_RDWR);
    }
  free_step_ (step);
}
