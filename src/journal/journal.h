/** @file
 * Reading and writing the platform's log.
 *
 * Entries are grouped into records, one append under way at a time.  A
 * record carries the writer's incarnation and a sequence number; an append
 * whose answer is lost is repeated with the same number, and every reader
 * applies only the first copy.  Does no I/O and reads no clock.
 */
#ifndef JOURNAL_JOURNAL_H
#define JOURNAL_JOURNAL_H

#include "base/messages.h"

#include <jansson.h>

typedef struct
{
  usec_t group_interval; /**< entries wait this long for company */
  usec_t retry_min;      /**< pause after a first failure */
  usec_t retry_max;      /**< longest pause; doubled up to it */
  uint32_t poll_wait_ms; /**< long poll at the tail */
  uint32_t max_record_bytes;
  uint32_t max_queue_bytes;  /**< entries held while the log is down */
  uint32_t max_read_records; /**< records asked for in one read */
} journal_config_t;

typedef struct
{
  /** Begins an append; answered by journal_append_done. */
  void (*append) (void *ctx, blob_t record);
  /** Begins a read; answered by journal_read_record for each record, then
      journal_read_done. */
  void (*read) (void *ctx, uint64_t from, uint32_t max, uint32_t wait_ms);
  /** One entry in log order.
      @param ticket of journal_put if this process wrote it, else 0 */
  void (*apply) (void *ctx, usec_t now, uint64_t offset,
                 const message_t *entry, uint64_t ticket);
  /** A read that was sent at SENT_AT reached the tail and all its entries
      have been applied. */
  void (*confirmed) (void *ctx, usec_t now, usec_t sent_at);
} journal_ops_t;

typedef struct journal journal_t;

journal_t *journal_new (const journal_config_t *config,
                        incarnation_t incarnation, const journal_ops_t *ops,
                        void *ctx);
void journal_free (journal_t *journal);

/** Queues an entry.
    @param urgent true to append without waiting for company
    @return its ticket, 0 if the queue is full */
uint64_t journal_put (journal_t *journal, usec_t now, const message_t *entry,
                      bool urgent);

/** The append under way was answered. @param code 0 or a negative error */
void journal_append_done (journal_t *journal, usec_t now, int code);

/** One record of the read under way; records before the next expected
    offset are ignored. */
void journal_read_record (journal_t *journal, usec_t now, uint64_t offset,
                          blob_t record);

/** The read under way was answered.
    @param first oldest offset kept by the log
    @param end offset that the next append gets */
void journal_read_done (journal_t *journal, usec_t now, int code,
                        uint64_t first, uint64_t end);

/** @return whether the tail has been reached once */
bool journal_ready (const journal_t *journal);

/** @return whether reads and appends get through: the newest finished ones
    of both kinds succeeded */
bool journal_healthy (const journal_t *journal);

/** @return the offset up to which entries have been applied */
uint64_t journal_offset (const journal_t *journal);

/** @return the send time of the newest read that reached the tail,
    USEC_NEVER before the first */
usec_t journal_confirmed_at (const journal_t *journal);

/** @return entries not yet read back */
uint64_t journal_pending (const journal_t *journal);

/** Starts what is due. @return when to call again */
usec_t journal_tick (journal_t *journal, usec_t now);

json_t *journal_dump (const journal_t *journal, usec_t now);

#endif
