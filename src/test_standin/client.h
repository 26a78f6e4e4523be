#ifndef COLT_TEST_STANDIN_CLIENT_H
#define COLT_TEST_STANDIN_CLIENT_H

#include <event2/bufferevent.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* An HTTP client that collects the bytes it receives. */
struct ColtClient
{
  struct event_base *base;
  struct bufferevent *stream;
  GString *received;
  bool closed;
};

/* Opens a client and connects it to a port of 127.0.0.1. */
void client_connect (struct ColtClient *client,
                     struct event_base *base,
                     uint16_t port);

/* Opens a client for a connected socket, which the client then owns; with -1,
 * the caller connects the stream later. */
void client_open (struct ColtClient *client,
                  struct event_base *base,
                  evutil_socket_t fd);

void client_close (struct ColtClient *client);

/* Discards the bytes received before and sends a POST request. */
void
client_post (struct ColtClient *client, const char *path, const char *body);

/* Runs the event loop until the text is received or the connection is closed.
 * Returns whether the text was received. */
bool client_wait (struct ColtClient *client, const char *text);

#endif
