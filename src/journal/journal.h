/** @file
 * Reading and writing the platform's log.
 *
 * Entries are batched into records, and one append is in flight at a time.  A
 * record carries the writer's incarnation and a sequence number; an append
 * whose response is lost is retried with the same number, and every reader
 * applies only the first copy.  This module does no I/O and reads no clock.
 */
#ifndef JOURNAL_JOURNAL_H
#define JOURNAL_JOURNAL_H

#include "base/messages.h"

#include <jansson.h>

typedef struct
{
  usec_t group_interval; /**< delay in which entries are batched */
  usec_t retry_min;      /**< backoff after the first failure */
  usec_t retry_max;      /**< the backoff doubles up to this */
  uint32_t poll_wait_ms; /**< duration of a long poll at the end of the log */
  uint32_t max_record_bytes;
  uint32_t max_queue_bytes;  /**< entries queued while the log is down */
  uint32_t max_read_records; /**< records requested per read */
} journal_config_t;

typedef struct
{
  /** Starts an append; completed by journal_append_done. */
  void (*append) (void *ctx, blob_t record);
  /** Starts a read; completed by journal_read_record for each record, then
      journal_read_done. */
  void (*read) (void *ctx, uint64_t from, uint32_t max, uint32_t wait_ms);
  /** Applies one entry; called in log order.
      @param ticket as returned by journal_put if this process wrote the
      entry, else 0 */
  void (*apply) (void *ctx, usec_t now, uint64_t offset,
                 const message_t *entry, uint64_t ticket);
  /** A read that was sent at SENT_AT reached the end of the log and all its
      entries have been applied. */
  void (*confirmed) (void *ctx, usec_t now, usec_t sent_at);
} journal_ops_t;

typedef struct journal journal_t;

journal_t *journal_new (const journal_config_t *config,
                        incarnation_t incarnation, const journal_ops_t *ops,
                        void *ctx);
void journal_free (journal_t *journal);

/** Queues an entry.
    @param urgent true to append without waiting for further entries
    @return the entry's ticket, 0 if the queue is full */
uint64_t journal_put (journal_t *journal, usec_t now, const message_t *entry,
                      bool urgent);

/** Completes the append in flight. @param code 0 or a negative error */
void journal_append_done (journal_t *journal, usec_t now, int code);

/** Handles one record of the read in flight; records before the next expected
    offset are ignored. */
void journal_read_record (journal_t *journal, usec_t now, uint64_t offset,
                          blob_t record);

/** Completes the read in flight.
    @param code 0 or a negative error
    @param first oldest offset retained by the log
    @param end offset of the next append */
void journal_read_done (journal_t *journal, usec_t now, int code,
                        uint64_t first, uint64_t end);

/** @return whether a read has reached the end of the log since the start */
bool journal_ready (const journal_t *journal);

/** @return whether the last completed read and the last completed append
    succeeded and the journal is ready */
bool journal_healthy (const journal_t *journal);

/** @return offset of the next record to apply */
uint64_t journal_offset (const journal_t *journal);

/** @return the send time of the last read that reached the end of the log,
    USEC_NEVER before the first */
usec_t journal_confirmed_at (const journal_t *journal);

/** @return number of own entries that are not yet read back from the log */
uint64_t journal_pending (const journal_t *journal);

/** Starts the append and the read that are due.
    @return time of the next call */
usec_t journal_tick (journal_t *journal, usec_t now);

json_t *journal_dump (const journal_t *journal, usec_t now);

#endif
