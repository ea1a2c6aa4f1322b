/** @file
 * Limits of an HTTP server on connections, bytes and time: decides which
 * connection is closed.  Does no input or output and reads no clock; time is
 * counted in sweeps, which the server runs at a fixed interval, so that a
 * process that was frozen does not count the time it was frozen.
 */
#ifndef NET_CONN_LIMITS_H
#define NET_CONN_LIMITS_H

#include "base/types.h"

typedef struct conn_limits conn_limits_t;

/** One connection. */
typedef struct conn conn_t;

typedef enum
{
  CONN_WAITING,  /**< for a complete head */
  CONN_BODY,     /**< head complete, body not complete */
  CONN_RUNNING,  /**< dispatched, not answered */
  CONN_ANSWERING /**< response not completely sent */
} conn_phase_t;

typedef struct
{
  uint32_t max_connections;
  uint32_t budget_bytes;   /**< of request bodies and unread answers, 0: no
                              bound */
  uint32_t timeout_sweeps; /**< longest time in WAITING, BODY or ANSWERING, 0:
                              no bound */
} conn_limits_config_t;

conn_limits_t *conn_limits_new (const conn_limits_config_t *config);

/** All connections must have been removed. */
void conn_limits_free (conn_limits_t *limits);

/** Adds a connection in phase WAITING.
    @param owner returned by conn_owner */
conn_t *conn_limits_add (conn_limits_t *limits, void *owner);

/** Releases what CONN has reserved and frees it. */
void conn_limits_remove (conn_limits_t *limits, conn_t *conn);

void *conn_owner (const conn_t *conn);
conn_phase_t conn_phase (const conn_t *conn);

/** Begins a phase of a connection that is not being closed. */
void conn_limits_enter (conn_limits_t *limits, conn_t *conn,
                        conn_phase_t phase);

/** Ends the request of CONN: releases its bytes and enters WAITING.
    @param answered whether the response was sent completely */
void conn_limits_end_request (conn_limits_t *limits, conn_t *conn,
                              bool answered);

/** Notes that CONN is being closed: it is not counted or chosen any more and
    the bytes of its body are released.  Those of its answer stay reserved
    until the request ends. */
void conn_limits_close (conn_limits_t *limits, conn_t *conn);

/** @return whether a further connection needs another one to be closed */
bool conn_limits_full (const conn_limits_t *limits);

/** @return the connection to be closed in favour of a new one, NULL if none
    may be closed */
conn_t *conn_limits_evictable (const conn_limits_t *limits);

/** Reserves bytes for the body of the request of CONN, before they are
    allocated.  @return false if the budget does not have them; nothing is
    reserved then */
bool conn_limits_reserve (conn_limits_t *limits, conn_t *conn, uint32_t bytes);

/** Releases the bytes reserved for the body. */
void conn_limits_release (conn_limits_t *limits, conn_t *conn);

/** Counts bytes of a body that have arrived. */
void conn_limits_received (conn_t *conn, uint32_t bytes);

/** @return the connection in phase BODY that has received the fewest bytes per
    sweep since its head, NULL if none is in that phase.  Connections whose
   head arrived since the last sweep count as fastest, the later the faster. */
conn_t *conn_limits_slowest (const conn_limits_t *limits);

/** Counts the bytes of an answer until the request ends.  An answer is never
    refused, since its request has run; conn_limits_admits bounds their sum to
    the budget and one answer. */
void conn_limits_hold_answer (conn_limits_t *limits, conn_t *conn,
                              size_t bytes);

/** @return whether a request may be dispatched: the answers that are not sent
    leave part of the budget */
bool conn_limits_admits (const conn_limits_t *limits);

/** Counts a sweep. */
void conn_limits_sweep (conn_limits_t *limits);

/** @return a connection whose phase has lasted for more than the timeout, NULL
    for none; to be closed by conn_limits_close before the next call */
conn_t *conn_limits_overdue (const conn_limits_t *limits);

/** @return connections that are not being closed */
uint32_t conn_limits_count (const conn_limits_t *limits);

/** @return bytes reserved by bodies and answers */
uint64_t conn_limits_bytes (const conn_limits_t *limits);

#endif
