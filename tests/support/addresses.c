/** @file
 * Loopback addresses of a test program.
 */
#include "support/addresses.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Hosts are numbered upward from 127.64.0.0, TEST_HOSTS for each process
   number; process numbers repeat after PROCESSES. */
#define FIRST_HOST 0x7f400000U
#define PROCESSES (1U << 20)

static uint16_t choose_port (struct sockaddr_in *address);

void
test_address (uint32_t host, char out[TEST_ADDRESS_SIZE])
{
  static bool used[UINT16_MAX + 1];
  struct sockaddr_in address = { .sin_family = AF_INET };
  uint32_t number
      = FIRST_HOST + (uint32_t)getpid () % PROCESSES * TEST_HOSTS + host;
  uint16_t port;

  address.sin_addr.s_addr = htonl (number);
  /* The system may choose a port again, as nobody listens there yet. */
  do
    port = choose_port (&address);
  while (used[port]);
  used[port] = true;
  snprintf (out, TEST_ADDRESS_SIZE, "%s:%u", inet_ntoa (address.sin_addr),
            port);
}

static uint16_t
choose_port (struct sockaddr_in *address)
{
  socklen_t len = sizeof *address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address->sin_port = 0;
  if (fd < 0 || bind (fd, (struct sockaddr *)address, sizeof *address)
      || getsockname (fd, (struct sockaddr *)address, &len))
    {
      perror ("test address");
      exit (1);
    }
  close (fd);
  return ntohs (address->sin_port);
}
