/** @file
 * Links between entry processes: length-prefixed frames over TCP.
 *
 * Each process sends on the connections that it opened and receives on those
 * that it accepted.  Only complete frames are delivered.
 */
#ifndef NET_PEERLINK_H
#define NET_PEERLINK_H

#include "base/messages.h"

#include <ev.h>

#define PEERLINK_MAX_FRAME_BYTES (1U << 20)
#define PEERLINK_MAX_QUEUE_BYTES (8U << 20)

typedef struct peerlink peerlink_t;

typedef struct
{
  /** A message has arrived from a node that has sent HELLO; HELLO itself is
      delivered too. */
  void (*message) (void *ctx, node_id_t node, incarnation_t incarnation,
                   const message_t *message);
  /** A connection to the node was opened. */
  void (*connected) (void *ctx, node_id_t node);
  /** The node's VM has refused a connection (ECONNREFUSED). */
  void (*refused) (void *ctx, node_id_t node);
} peerlink_ops_t;

/** @param hello sent first on each connection; its blobs must outlive the
    link
    @return NULL with ERR filled if ADDRESS cannot be bound */
peerlink_t *peerlink_new (struct ev_loop *loop, const char *address,
                          const msg_hello_t *hello, const peerlink_ops_t *ops,
                          void *ctx, err_t *err);
void peerlink_free (peerlink_t *link);

/** Adds a node, or changes its address, and keeps a connection to it from now
    on. @return 0 or -EINVAL */
int peerlink_add (peerlink_t *link, node_id_t node, const char *address);

/** Sends a message. @return 0, -ENOTCONN if no connection is open (the
    message was certainly not sent), -ENOBUFS if too much is queued */
int peerlink_send (peerlink_t *link, node_id_t node, const message_t *message);

/** Sends a message to every node with an open connection. */
void peerlink_broadcast (peerlink_t *link, const message_t *message);

/** Replaces the connection to a node that no longer responds. */
void peerlink_reset (peerlink_t *link, node_id_t node);

/** The same, unless the connection was opened after BEFORE.
    @return whether the connection is being replaced */
bool peerlink_reset_older (peerlink_t *link, node_id_t node, usec_t before);

#endif
