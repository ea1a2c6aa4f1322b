/** @file
 * Counters and gauges of the process, listed in one table.
 */
#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include "base/types.h"

/* X (identifier, name, unit, kind, meaning) */
#define COUNTER_TABLE(X)                                                      \
  X (REQUESTS, "requests_total", "requests", "counter",                       \
     "latency-critical requests received from callers")                       \
  X (ANSWERED, "answered_total", "requests", "counter",                       \
     "requests answered with outcome ran")                                    \
  X (NOT_RUN, "not_run_total", "requests", "counter",                         \
     "requests answered with outcome not-run")                                \
  X (UNKNOWN, "unknown_total", "requests", "counter",                         \
     "requests answered with outcome unknown")                                \
  X (FORWARDED, "forwarded_total", "requests", "counter",                     \
     "requests handed to the owner of a VM over the peer link")               \
  X (RETRIES, "retries_total", "attempts", "counter",                         \
     "attempts sent again after a first one that surely did not run")         \
  X (UPSTREAM_ATTEMPTS, "upstream_attempts_total", "attempts", "counter",     \
     "attempts sent to instances")                                            \
  X (UPSTREAM_ERRORS, "upstream_errors_total", "attempts", "counter",         \
     "attempts that ended without a complete answer")                         \
  X (PEER_FRAMES_IN, "peer_frames_in_total", "frames", "counter",             \
     "frames received from peers")                                            \
  X (PEER_BYTES_OUT, "peer_bytes_out_total", "bytes", "counter",              \
     "bytes sent to peers")                                                   \
  X (PEER_BAD_FRAMES, "peer_bad_frames_total", "frames", "counter",           \
     "frames that could not be decoded; the connection was closed")           \
  X (PEER_UNKNOWN_FRAMES, "peer_unknown_frames_total", "frames", "counter",   \
     "frames of types that this build does not know; they were ignored")      \
  X (PEER_CONNECTS, "peer_connects_total", "connections", "counter",          \
     "connections opened to peers")                                           \
  X (PEER_REFUSED, "peer_refused_total", "connections", "counter",            \
     "connections from peers beyond the limit; they were closed")             \
  X (PEER_HELLO_EVICTED, "peer_hello_evicted_total", "connections",           \
     "counter", "connections without HELLO closed in favor of newer ones")    \
  X (PEER_HELLO_LATE, "peer_hello_late_total", "connections", "counter",      \
     "connections closed since their HELLO did not come in time")             \
  X (PEER_HELLO_OVERSIZE, "peer_hello_oversize_total", "connections",         \
     "counter",                                                               \
     "connections closed since a frame before HELLO was too large")           \
  X (PEER_BYTES_EVICTED, "peer_bytes_evicted_total", "connections",           \
     "counter", "connections closed as incomplete frames took too much")      \
  X (PEER_ACCEPT_PAUSES, "peer_accept_pauses_total", "pauses", "counter",     \
     "pauses of accepting connections from peers, without descriptors")       \
  X (PEER_BAD_FRAMES_UNLOGGED, "peer_bad_frames_unlogged_total", "frames",    \
     "counter", "frames of peer_bad_frames_total without a log line")         \
  X (PLATFORM_BYTES, "platform_bytes_total", "bytes", "counter",              \
     "bytes sent to and received from the log and the list of VMs")           \
  X (UPSTREAM_BYTES, "upstream_bytes_total", "bytes", "counter",              \
     "bytes sent to and received from instances and workers")                 \
  X (JOURNAL_APPENDS, "journal_appends_total", "records", "counter",          \
     "records sent to the platform's log")                                    \
  X (JOURNAL_APPEND_ERRORS, "journal_append_errors_total", "records",         \
     "counter",                                                               \
     "appends without an answer; repeated with the same identifier")          \
  X (JOURNAL_READ_ERRORS, "journal_read_errors_total", "reads", "counter",    \
     "reads of the platform's log that failed")                               \
  X (JOURNAL_ENTRIES, "journal_entries_total", "entries", "counter",          \
     "entries applied from the platform's log")                               \
  X (JOURNAL_BAD_ENTRIES, "journal_bad_entries_total", "entries", "counter",  \
     "entries that could not be decoded and were passed over")                \
  X (CLAIMS_GAINED, "claims_gained_total", "shards", "counter",               \
     "shards on which this process began to act")                             \
  X (CLAIMS_LOST, "claims_lost_total", "shards", "counter",                   \
     "shards on which this process stopped acting")                           \
  X (ORDERS_ACCEPTED, "orders_accepted_total", "orders", "counter",           \
     "orders accepted into the ledger, seen in the log")                      \
  X (ORDERS_ENDED, "orders_ended_total", "orders", "counter",                 \
     "orders that reached a final outcome, seen in the log")                  \
  X (ATTEMPTS_STARTED, "attempts_started_total", "attempts", "counter",       \
     "attempts of orders started on workers by this process")                 \
  X (EVICTIONS, "evictions_total", "attempts", "counter",                     \
     "attempts checkpointed and stopped by this process")                     \
  X (JOBS_ACCEPTED, "jobs_accepted_total", "jobs", "counter",                 \
     "jobs whose submission this process stored")                             \
  X (JOBS_REFUSED, "jobs_refused_total", "jobs", "counter",                   \
     "jobs refused before they were stored")                                  \
  X (JOBS_NO_MEMORY, "jobs_no_memory_total", "jobs", "counter",               \
     "submissions that the owner refused since its jobs take too much "       \
     "memory")                                                                \
  X (JOBS_KNOWN, "jobs_known_total", "jobs", "counter",                       \
     "new jobs read by this process as the owner of their shard")             \
  X (JOBS_ENDED, "jobs_ended_total", "jobs", "counter",                       \
     "jobs that ended while this process owned their shard")                  \
  X (RUNS_STARTED, "runs_started_total", "calls", "counter",                  \
     "starts of runs sent to workers, repeated ones included")                \
  X (RUNS_ENDED, "runs_ended_total", "runs", "counter",                       \
     "runs that ended other than in failure")                                 \
  X (RUNS_FAILED, "runs_failed_total", "runs", "counter",                     \
     "runs that ended in failure")                                            \
  X (RUNS_STALLED, "runs_stalled_total", "runs", "counter",                   \
     "runs that were stopped since they did not advance")                     \
  X (RUNS_UNSETTLED, "runs_unsettled", "runs", "gauge",                       \
     "runs whose start or stop is not settled yet, counted once a second")    \
  X (RUNS_DOUBLED, "runs_doubled_total", "runs", "counter",                   \
     "listed runs of tasks that have a newer run elsewhere")                  \
  X (COPIES, "copies_total", "runs", "counter",                               \
     "copies of late runs that were placed")                                  \
  X (COPIES_WON, "copies_won_total", "runs", "counter",                       \
     "copies of late runs that were done first")                              \
  X (LAPSING_DISCARDED, "lapsing_discarded_total", "records", "counter",      \
     "records of lapsing workers that were older than other records")         \
  X (LEASE_BOUND_DISCARDED, "lease_bound_discarded_total", "records",         \
     "counter", "bounds of leases that were older than other records")        \
  X (RUNS_IMPOSED, "runs_imposed_total", "runs", "counter",                   \
     "best-effort runs that were placed although they disturb others")        \
  X (CRASH_SUSPECTS, "crash_suspects_total", "runs", "counter",               \
     "runs that had just started when their worker crashed")                  \
  X (TASKS_GIVEN_UP, "tasks_given_up_total", "tasks", "counter",              \
     "tasks given up since workers crash when they start")                    \
  X (RUNS_NO_ROOM, "runs_no_room_total", "calls", "counter",                  \
     "starts that a worker rejected for want of room")                        \
  X (WORKER_HOLDS, "worker_holds_total", "calls", "counter",                  \
     "calls to workers that extend leases and list ends")                     \
  X (SHARD_APPENDS, "shard_appends_total", "calls", "counter",                \
     "appends of the records of owned shards, repeated ones included")        \
  X (STORE_CALLS, "store_calls_total", "calls", "counter",                    \
     "calls to the platform's store")                                         \
  X (STORE_ERRORS, "store_errors_total", "calls", "counter",                  \
     "calls to the platform's store that were refused or not answered")       \
  X (REQUESTS_OVERDUE, "requests_overdue_total", "calls", "counter",          \
     "calls that did not end at their timeout and were ended after it")       \
  X (JOB_ASKS, "job_asks_total", "messages", "counter",                       \
     "questions about jobs sent to the owners of their shards")               \
  X (HTTP_REFUSED, "http_refused_total", "requests", "counter",               \
     "HTTP requests refused as malformed, oversize or not authorized")        \
  X (HTTP_CLOSED_FULL, "http_closed_full_total", "connections", "counter",    \
     "HTTP connections closed for the limit on connections")                  \
  X (HTTP_CLOSED_BUDGET, "http_closed_budget_total", "connections",           \
     "counter", "HTTP connections closed for the budget of bytes")            \
  X (HTTP_CLOSED_SLOW, "http_closed_slow_total", "connections", "counter",    \
     "HTTP connections closed since they were idle or too slow")              \
  X (HTTP_CLOSED_OVERSIZE, "http_closed_oversize_total", "connections",       \
     "counter", "HTTP connections closed within a body far over the limit")   \
  X (HTTP_HEAD_OVERSIZE, "http_head_oversize_total", "requests", "counter",   \
     "HTTP requests refused by their head: declared body too large")          \
  X (HTTP_HEAD_REJECTED, "http_head_rejected_total", "requests", "counter",   \
     "HTTP requests refused by their head: path, method, key or state")       \
  X (HTTP_HEAD_BUDGET, "http_head_budget_total", "requests", "counter",       \
     "HTTP requests refused by their head for the budget of bytes")           \
  X (HTTP_ACCEPT_PAUSES, "http_accept_pauses_total", "pauses", "counter",     \
     "pauses of accepting HTTP connections for want of descriptors")          \
  X (LOG_LINES_DROPPED, "log_lines_dropped_total", "lines", "counter",        \
     "log lines that standard error did not take")                            \
  X (LOG_LINES_SKIPPED, "log_lines_skipped_total", "lines", "counter",        \
     "log lines about items that were not in the sample")                     \
  X (BUNDLE_VERSION, "bundle_version", "version", "gauge",                    \
     "version of the bundle in force, 0 for none")                            \
  X (ZONES_EVACUATED, "zones_evacuated", "zones", "gauge",                    \
     "availability zones in which no task may start")                         \
  X (STARTS_WITHDRAWN, "starts_withdrawn_total", "runs", "counter",           \
     "placed runs withdrawn: evacuated zone or less capacity of the worker")  \
  X (TASKS_KEPT_AWAY, "tasks_kept_away_total", "tasks", "counter",            \
     "tasks found waiting while workers of evacuated zones were left out")    \
  X (TABLE_ROWS, "table_rows", "rows", "gauge",                               \
     "rows allocated by the tables of the process, used or free")             \
  X (QUEUED, "queued", "requests", "gauge", "requests waiting for a slot")    \
  X (OWNED_SHARDS, "owned_shards", "shards", "gauge",                         \
     "shards on which this process may act")                                  \
  X (IN_FLIGHT, "in_flight", "requests", "gauge",                             \
     "requests being run by instances for this process")

typedef enum
{
#define COUNTER_ENUM(id, name, unit, kind, meaning) COUNTER_##id,
  COUNTER_TABLE (COUNTER_ENUM)
#undef COUNTER_ENUM
      COUNTER_COUNT
} counter_t;

/** Adds AMOUNT to a counter. */
void counter_add (counter_t counter, uint64_t amount);

/** Sets a gauge. */
void counter_set (counter_t counter, uint64_t value);

/** @return the current value of a counter or gauge */
uint64_t counter_get (counter_t counter);

/** @return all counters in the Prometheus text format; free with g_free */
char *counters_text (void);

#endif
