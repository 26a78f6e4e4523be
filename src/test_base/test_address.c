#include <glib.h>

#include "coltsfootstile/address.h"
#include "tests.h"

struct ColtAddressCase
{
  const char *text;
  enum ColtAddressStatus status;
};

static const struct ColtAddressCase cases[] = {
  { "10.0.0.1:1", COLT_ADDRESS_VALID },
  { "0.0.0.0:80", COLT_ADDRESS_VALID },
  { "255.255.255.255:65535", COLT_ADDRESS_VALID },
  { "10.0.0.1:00080", COLT_ADDRESS_VALID },
  { "", COLT_ADDRESS_NO_PORT },
  { "10.0.0.1", COLT_ADDRESS_NO_PORT },
  { "10.0.0.1 80", COLT_ADDRESS_NO_PORT },
  { ":80", COLT_ADDRESS_BAD_HOST },
  { ":", COLT_ADDRESS_BAD_HOST },
  { " 10.0.0.1:80", COLT_ADDRESS_BAD_HOST },
  { "10.0.0.1 :80", COLT_ADDRESS_BAD_HOST },
  { "10.0.0.256:80", COLT_ADDRESS_BAD_HOST },
  { "10.0.1:80", COLT_ADDRESS_BAD_HOST },
  { "010.0.0.1:80", COLT_ADDRESS_BAD_HOST },
  { "0x0a000001:80", COLT_ADDRESS_BAD_HOST },
  { "worker-1:80", COLT_ADDRESS_BAD_HOST },
  { "localhost:80", COLT_ADDRESS_BAD_HOST },
  { "255.255.255.2555:80", COLT_ADDRESS_BAD_HOST },
  { "a-name-that-is-longer-than-any-address.example:80",
    COLT_ADDRESS_BAD_HOST },
  { "::1", COLT_ADDRESS_BAD_HOST },
  { "::1:80", COLT_ADDRESS_BAD_HOST },
  { "[::1]:80", COLT_ADDRESS_BAD_HOST },
  { "::ffff:10.0.0.1:80", COLT_ADDRESS_BAD_HOST },
  { "10.0.0.1:80:80", COLT_ADDRESS_BAD_HOST },
  { "10.0.0.1:", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:0", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:65536", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:70000", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:4294967376", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:18446744073709551696", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:99999999999999999999999", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:-1", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:+80", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1: 80", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:80 ", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:80x", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:80/path", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:0x50", COLT_ADDRESS_BAD_PORT },
  { "10.0.0.1:http", COLT_ADDRESS_BAD_PORT },
};

static void
test_statuses (void)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct ColtAddress address = { "unchanged", 5 };

      g_test_message ("%s", cases[i].text);
      g_assert_cmpint (colt_address_parse (cases[i].text, &address), ==,
                       cases[i].status);
      if (cases[i].status == COLT_ADDRESS_VALID)
        continue;
      g_assert_cmpstr (address.host, ==, "unchanged");
      g_assert_cmpuint (address.port, ==, 5);
    }
}

static void
test_values (void)
{
  struct ColtAddress address;

  g_assert_cmpint (colt_address_parse ("127.0.0.1:65535", &address), ==,
                   COLT_ADDRESS_VALID);
  g_assert_cmpstr (address.host, ==, "127.0.0.1");
  g_assert_cmpuint (address.port, ==, 65535);
  g_assert_cmpint (colt_address_parse ("255.255.255.255:1", &address), ==,
                   COLT_ADDRESS_VALID);
  g_assert_cmpstr (address.host, ==, "255.255.255.255");
  g_assert_cmpuint (address.port, ==, 1);
}

/* Only an address to listen on may leave the port open. */
static void
test_local (void)
{
  struct ColtAddress address;
  size_t i;

  g_assert_cmpint (colt_address_parse_local ("127.0.0.1:0", &address), ==,
                   COLT_ADDRESS_VALID);
  g_assert_cmpuint (address.port, ==, 0);
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    if (g_strcmp0 (cases[i].text, "10.0.0.1:0") != 0)
      g_assert_cmpint (colt_address_parse_local (cases[i].text, &address), ==,
                       cases[i].status);
}

void
colt_test_address_add (void)
{
  g_test_add_func ("/base/address/statuses", test_statuses);
  g_test_add_func ("/base/address/values", test_values);
  g_test_add_func ("/base/address/local", test_local);
}
