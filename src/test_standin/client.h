#ifndef COLT_TEST_STANDIN_CLIENT_H
#define COLT_TEST_STANDIN_CLIENT_H

#include <event2/bufferevent.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A client that sends requests and keeps all that comes back. */
struct ColtClient
{
  struct event_base *base;
  struct bufferevent *stream;
  GString *received;
  bool closed;
};

/* Connects to a port of 127.0.0.1. */
void client_connect (struct ColtClient *client,
                     struct event_base *base,
                     uint16_t port);

/* Uses a connected socket, which it owns. */
void client_use (struct ColtClient *client,
                 struct event_base *base,
                 evutil_socket_t fd);

void client_close (struct ColtClient *client);

/* Sends a request and forgets what was received. */
void
client_post (struct ColtClient *client, const char *path, const char *body);

/* Runs the loop until the text has come or the connection is closed. */
bool client_wait (struct ColtClient *client, const char *text);

#endif
