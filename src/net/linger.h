/** @file
 * Closes connections whose client is still sending.
 *
 * The kernel resets a connection that is closed with unread data, and the
 * client may lose the response that was sent before.  Here the socket is kept
 * open for a short time and what arrives is discarded.
 */
#ifndef NET_LINGER_H
#define NET_LINGER_H

#include <ev.h>

typedef struct linger_set linger_set_t;

linger_set_t *linger_new (struct ev_loop *loop);

/** Closes all connections; LINGER may be NULL. */
void linger_free (linger_set_t *linger);

/** Keeps the socket of FD open, which the caller closes, until the client
    has closed it, 2 s have passed or 1 MiB was discarded.  Does nothing if
    LINGER_MAX sockets are kept already or no descriptor is left. */
void linger_add (linger_set_t *linger, int fd);

#define LINGER_MAX 64U

#endif
