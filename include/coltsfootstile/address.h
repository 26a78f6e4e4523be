/**
 * \file
 * \brief Addresses of the form IP:PORT.
 *
 * IP is an IPv4 address in dotted decimal notation, PORT a number in decimal
 * digits only. Names of hosts, IPv6 addresses, signs, white space and further
 * text aren't accepted.
 */
#ifndef COLTSFOOTSTILE_ADDRESS_H
#define COLTSFOOTSTILE_ADDRESS_H

#include <stdint.h>

/** Size in bytes of the host of an address, with the final zero. */
#define COLT_ADDRESS_HOST_SIZE 16

/** Result of parsing an address. */
enum ColtAddressStatus
{
  COLT_ADDRESS_VALID,
  COLT_ADDRESS_NO_PORT,  /**< there is no colon */
  COLT_ADDRESS_BAD_HOST, /**< the host isn't an IPv4 address */
  COLT_ADDRESS_BAD_PORT  /**< the port isn't a number or is out of range */
};

/** Names of enum ColtAddressStatus, indexed by it. */
extern const char *const colt_address_status_string[];

/** A parsed address. */
struct ColtAddress
{
  char host[COLT_ADDRESS_HOST_SIZE]; /**< IPv4 address, with a final zero */
  uint16_t port;                     /**< in host byte order */
};

/**
 * Parses the address of a peer.
 *
 * \param text     the address, with a port from 1 to 65535
 * \param address  set if the result is COLT_ADDRESS_VALID, otherwise unchanged
 */
enum ColtAddressStatus colt_address_parse (const char *text,
                                           struct ColtAddress *address);

/**
 * Parses an address to listen on.
 *
 * \param text     the address, with a port from 0 to 65535; 0 leaves the choice
 *                 of a port to the operating system
 * \param address  set if the result is COLT_ADDRESS_VALID, otherwise unchanged
 */
enum ColtAddressStatus colt_address_parse_local (const char *text,
                                                 struct ColtAddress *address);

#endif
