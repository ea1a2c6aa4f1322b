/** @file
 * Limits of a scheduling process that follow from the memory and the
 * descriptors of its machine.
 */
#ifndef SCHEDULER_SCHED_LIMITS_H
#define SCHEDULER_SCHED_LIMITS_H

#include "scheduler/settings.h"

/** Largest body of a caller's request, in bytes. */
#define SCHED_BODY_MAX_BYTES 262144U

typedef struct
{
  uint32_t connections;    /**< of callers, at most */
  uint32_t request_bytes;  /**< of request bodies and unread answers */
  usec_t request_timeout;  /**< of a head, a body and an unread answer */
  uint32_t receive_buffer; /**< SO_RCVBUF of a caller's connection, bytes */
  uint64_t job_bytes;      /**< of the accepted jobs of the owned shards */
} sched_limits_t;

/** Derives the limits in force.  With little memory the receive buffer is
    halved, to 8,192 bytes at the least, before connections are given up.
    @param rlimit_descriptors RLIMIT_NOFILE, 0 if it is not known */
void sched_limits_derive (const scheduler_settings_t *settings,
                          uint32_t rlimit_descriptors, sched_limits_t *limits);

/** @return the bytes that the process itself, the connections of callers and
    their requests take at most; accepted jobs are not counted */
uint64_t sched_limits_sum (const sched_limits_t *limits);

#endif
