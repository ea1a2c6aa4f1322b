/** @file
 * A listening TCP socket on a libev loop.
 */
#ifndef NET_ACCEPTOR_H
#define NET_ACCEPTOR_H

#include "base/types.h"

#include <ev.h>
#include <netinet/in.h>

typedef struct acceptor acceptor_t;

typedef struct
{
  const char *address;     /**< IP:port */
  uint32_t receive_buffer; /**< SO_RCVBUF and SO_SNDBUF of the accepted
                              connections in bytes, 0: the kernel's */
  uint32_t backlog;        /**< 0: SOMAXCONN */
} acceptor_config_t;

typedef struct
{
  /** Takes over an accepted connection, which does not block. */
  void (*accepted) (void *ctx, int fd, const struct sockaddr_in *from);
  /** Connections that were accepted together have been passed. */
  void (*round_ended) (void *ctx);
  /** No descriptor or memory is left; accepting pauses.
      @param error positive error number */
  void (*paused) (void *ctx, int error);
} acceptor_ops_t;

/** @return NULL with ERR filled if the address cannot be bound */
acceptor_t *acceptor_new (struct ev_loop *loop,
                          const acceptor_config_t *config,
                          const acceptor_ops_t *ops, void *ctx, err_t *err);

/** Accepts the connections that wait, at most ACCEPTOR_ROUND_MAX.
    @return whether there was one */
bool acceptor_round (acceptor_t *acceptor);

/** Accepts the connections that wait, since closing the socket would reset
    them, then frees ACCEPTOR (may be NULL). */
void acceptor_finish (acceptor_t *acceptor);

/** Closes the socket; ACCEPTOR may be NULL. */
void acceptor_free (acceptor_t *acceptor);

#define ACCEPTOR_ROUND_MAX 64U

#endif
