/** @file
 * Addresses of the form IP:port.
 */
#ifndef NET_ADDRESS_H
#define NET_ADDRESS_H

#include <netinet/in.h>

/** Parses a numeric IPv4 address "IP:port". @return 0 or -EINVAL */
int address_parse (const char *text, struct sockaddr_in *address);

#endif
