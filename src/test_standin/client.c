#include "client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <string.h>

static void
on_bytes_received (struct bufferevent *stream, void *data)
{
  struct ColtClient *client = data;
  char bytes[512];
  size_t size = bufferevent_read (stream, bytes, sizeof bytes);

  g_string_append_len (client->received, bytes, (gssize)size);
}

static void
on_stream_event (struct bufferevent *stream, short what, void *data)
{
  struct ColtClient *client = data;

  (void)stream;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    client->closed = true;
}

void
client_connect (struct ColtClient *client,
                struct event_base *base,
                uint16_t port)
{
  struct sockaddr_in address = { 0 };

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (port);
  client_open (client, base, -1);
  bufferevent_socket_connect (client->stream, (struct sockaddr *)&address,
                              sizeof address);
}

void
client_open (struct ColtClient *client,
             struct event_base *base,
             evutil_socket_t fd)
{
  client->base = base;
  client->closed = false;
  client->received = g_string_new (NULL);
  client->stream = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (client->stream, on_bytes_received, NULL, on_stream_event,
                     client);
  bufferevent_enable (client->stream, EV_READ | EV_WRITE);
}

void
client_close (struct ColtClient *client)
{
  bufferevent_free (client->stream);
  g_string_free (client->received, TRUE);
}

void
client_post (struct ColtClient *client, const char *path, const char *body)
{
  g_string_truncate (client->received, 0);
  evbuffer_add_printf (bufferevent_get_output (client->stream),
                       "POST %s HTTP/1.1\r\nHost: x\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       path, strlen (body), body);
}

bool
client_wait (struct ColtClient *client, const char *text)
{
  while (!client->closed && strstr (client->received->str, text) == NULL)
    event_base_loop (client->base, EVLOOP_ONCE);
  return strstr (client->received->str, text) != NULL;
}
