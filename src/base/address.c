#include "coltsfootstile/address.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <string.h>

static enum ColtAddressStatus
parse_ (const char *text, uint32_t port_min, struct ColtAddress *address);
static bool parse_port_ (const char *digits, uint32_t minimum, uint16_t *port);

const char *const colt_address_status_string[]
    = { "valid", "no port", "host is not an IPv4 address",
        "port is not a number from 1 to 65535" };

enum ColtAddressStatus
colt_address_parse (const char *text, struct ColtAddress *address)
{
  return parse_ (text, 1, address);
}

enum ColtAddressStatus
colt_address_parse_local (const char *text, struct ColtAddress *address)
{
  return parse_ (text, 0, address);
}

static enum ColtAddressStatus
parse_ (const char *text, uint32_t port_min, struct ColtAddress *address)
{
  const char *colon = strrchr (text, ':');
  struct ColtAddress parsed = { 0 };
  struct in_addr ip;

  if (colon == NULL)
    return COLT_ADDRESS_NO_PORT;
  if ((size_t)(colon - text) >= sizeof parsed.host)
    return COLT_ADDRESS_BAD_HOST;
  memcpy (parsed.host, text, (size_t)(colon - text));
  if (inet_pton (AF_INET, parsed.host, &ip) != 1)
    return COLT_ADDRESS_BAD_HOST;
  if (!parse_port_ (colon + 1, port_min, &parsed.port))
    return COLT_ADDRESS_BAD_PORT;
  *address = parsed;
  return COLT_ADDRESS_VALID;
}

static bool
parse_port_ (const char *digits, uint32_t minimum, uint16_t *port)
{
  uint32_t number = 0;
  const char *at;

  for (at = digits; *at >= '0' && *at <= '9' && number <= UINT16_MAX; at++)
    number = number * 10 + (uint32_t)(*at - '0');
  if (at == digits || *at != '\0' || number < minimum || number > UINT16_MAX)
    return false;
  *port = (uint16_t)number;
  return true;
}
