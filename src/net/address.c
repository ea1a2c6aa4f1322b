/** @file
 * Addresses of the form IP:port.
 */
#include "net/address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>

#define HOST_MAX_BYTES 48

int
address_parse (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  char host[HOST_MAX_BYTES];
  guint64 port;

  if (!colon || (size_t)(colon - text) >= sizeof host)
    return -EINVAL;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return -EINVAL;
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1 ? 0 : -EINVAL;
}
