/** @file
 * Limits of a scheduling process that follow from the memory and the
 * descriptors of its machine.
 */
#include "scheduler/sched_limits.h"

#include <glib.h>

#define MIB_SHIFT 20U
/* The process without connections and requests.  */
#define PROCESS_BYTES (32U << MIB_SHIFT)
/* Memory of libmicrohttpd for a connection; httpd.c sets it.  */
#define CONNECTION_BYTES (16U << 10)
/* The kernel allows twice SO_RCVBUF for unread bytes, for its overhead.  */
#define RECEIVE_BUFFER_FACTOR 2U
/* The least that the receive buffer is lowered to.  A body of 262,144 bytes
   takes 0.4 ms over loopback with it, 0.2 ms with 16,384.  */
#define RECEIVE_BUFFER_MIN 8192U
/* Of the memory: all connections, requests, jobs.  The remaining 7/24 are more
   than PROCESS_BYTES from 110 MiB of memory on.  */
#define CONNECTIONS_DIVISOR 3U
#define REQUESTS_DIVISOR 8U
#define JOBS_DIVISOR 4U
/* Of bodies, if the memory is not known, and at the least: some requests of
   SCHED_BODY_MAX_BYTES.  */
#define REQUEST_BYTES_DEFAULT (32U << MIB_SHIFT)
#define REQUEST_BYTES_MIN (1U << MIB_SHIFT)
#define JOB_BYTES_DEFAULT ((uint64_t)128 << MIB_SHIFT)
/* Descriptors not for callers: 200 for files, and 600 for the store, workers,
   peers, readiness and operators.  At most half of all.  */
#define RESERVED_DESCRIPTORS 800U
/* The least value of [limits] connections.  */
#define CONNECTIONS_MIN 16U

static uint64_t bytes_per_connection (uint32_t receive_buffer);
static void fit_memory (uint64_t memory, sched_limits_t *limits);
static void fit_descriptors (uint32_t descriptors, sched_limits_t *limits);

void
sched_limits_derive (const scheduler_settings_t *settings,
                     uint32_t rlimit_descriptors, sched_limits_t *limits)
{
  uint64_t memory = (uint64_t)settings->memory_mb << MIB_SHIFT;
  uint32_t descriptors
      = rlimit_descriptors ? rlimit_descriptors : settings->descriptors;

  *limits = (sched_limits_t){ .connections = settings->max_connections,
                              .request_bytes = REQUEST_BYTES_DEFAULT,
                              .request_timeout = settings->request_timeout,
                              .receive_buffer = settings->receive_buffer,
                              .job_bytes = JOB_BYTES_DEFAULT };
  if (settings->descriptors)
    descriptors = MIN (descriptors, settings->descriptors);
  if (memory)
    fit_memory (memory, limits);
  if (descriptors)
    fit_descriptors (descriptors, limits);
  if (settings->request_bytes)
    limits->request_bytes = settings->request_bytes;
  if (settings->job_bytes)
    limits->job_bytes = settings->job_bytes;
}

uint64_t
sched_limits_sum (const sched_limits_t *limits)
{
  return PROCESS_BYTES + limits->request_bytes
         + limits->connections * bytes_per_connection (limits->receive_buffer);
}

static uint64_t
bytes_per_connection (uint32_t receive_buffer)
{
  return CONNECTION_BYTES + (uint64_t)RECEIVE_BUFFER_FACTOR * receive_buffer;
}

static void
fit_memory (uint64_t memory, sched_limits_t *limits)
{
  uint64_t share = memory / CONNECTIONS_DIVISOR;
  uint32_t *buffer = &limits->receive_buffer;
  uint64_t most;

  while (*buffer > RECEIVE_BUFFER_MIN
         && limits->connections * bytes_per_connection (*buffer) > share)
    *buffer = MAX (*buffer / 2, RECEIVE_BUFFER_MIN);
  most = MAX (share / bytes_per_connection (*buffer), CONNECTIONS_MIN);
  limits->connections = (uint32_t)MIN (limits->connections, most);
  limits->request_bytes = (uint32_t)CLAMP (memory / REQUESTS_DIVISOR,
                                           REQUEST_BYTES_MIN, UINT32_MAX);
  limits->job_bytes = memory / JOBS_DIVISOR;
}

static void
fit_descriptors (uint32_t descriptors, sched_limits_t *limits)
{
  uint32_t reserved = MIN (RESERVED_DESCRIPTORS, descriptors / 2);
  uint32_t most = MAX (descriptors - reserved, CONNECTIONS_MIN);

  limits->connections = MIN (limits->connections, most);
}
