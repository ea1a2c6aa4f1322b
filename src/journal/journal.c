/** @file
 * Reading and writing the platform's log.
 */
#include "journal/journal.h"
#include "base/counters.h"

#include <string.h>

/* A record that was passed to an append and is not yet read back. */
typedef struct
{
  uint64_t seq;
  uint64_t first_ticket;
  uint32_t entries;
} sent_record_t;

typedef struct
{
  bool in_flight;
  bool failed;       /* the last completed call failed */
  usec_t backoff;    /* current backoff, 0 after a success */
  usec_t not_before; /* earliest time of the next call */
  usec_t sent_at;
} call_t;

struct journal
{
  journal_config_t config;
  const journal_ops_t *ops;
  void *ctx;
  incarnation_t incarnation;

  GByteArray *queue; /* encoded entries not yet in a record */
  uint32_t queue_entries;
  usec_t queue_since; /* when the oldest queued entry was put */
  bool urgent;
  GByteArray *record; /* record to append or in flight, empty for none */
  call_t append;
  GArray *sent; /* sent_t, ascending seq */
  uint64_t next_seq;
  uint64_t next_ticket;

  call_t read;
  uint64_t next_offset;
  GHashTable *newest_seq; /* incarnation -> newest seq applied */
  bool ready;
  usec_t confirmed_at;
};

static usec_t append_tick (journal_t *journal, usec_t now);
static usec_t read_tick (journal_t *journal, usec_t now);
static usec_t append_due (const journal_t *journal);
static void build_record (journal_t *journal);
static void call_completed (const journal_t *journal, call_t *call, usec_t now,
                            int code);
static bool is_first_copy (journal_t *journal, const msg_record_t *head);
static uint64_t remove_sent_record (journal_t *journal, uint64_t seq);
static void apply_entries (journal_t *journal, usec_t now, uint64_t offset,
                           blob_t entries, uint64_t ticket);
static void apply_record (journal_t *journal, usec_t now, uint64_t offset,
                          blob_t record);

journal_t *
journal_new (const journal_config_t *config, incarnation_t incarnation,
             const journal_ops_t *ops, void *ctx)
{
  journal_t *journal = g_new0 (journal_t, 1);

  journal->config = *config;
  journal->ops = ops;
  journal->ctx = ctx;
  journal->incarnation = incarnation;
  journal->queue = g_byte_array_new ();
  journal->record = g_byte_array_new ();
  journal->sent = g_array_new (FALSE, TRUE, sizeof (sent_record_t));
  journal->next_seq = 1;
  journal->next_ticket = 1;
  journal->newest_seq
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  journal->confirmed_at = USEC_NEVER;
  return journal;
}

void
journal_free (journal_t *journal)
{
  if (!journal)
    return;
  g_byte_array_free (journal->queue, TRUE);
  g_byte_array_free (journal->record, TRUE);
  g_array_free (journal->sent, TRUE);
  g_hash_table_destroy (journal->newest_seq);
  g_free (journal);
}

uint64_t
journal_put (journal_t *journal, usec_t now, const message_t *entry,
             bool urgent)
{
  if (journal->queue->len >= journal->config.max_queue_bytes)
    return 0;
  if (!journal->queue_entries)
    journal->queue_since = now;
  message_encode (entry, journal->queue);
  journal->queue_entries++;
  journal->urgent = journal->urgent || urgent;
  return journal->next_ticket++;
}

void
journal_append_done (journal_t *journal, usec_t now, int code)
{
  if (!journal->append.in_flight)
    return;
  call_completed (journal, &journal->append, now, code);
  if (code)
    counter_add (COUNTER_JOURNAL_APPEND_ERRORS, 1);
  else
    g_byte_array_set_size (journal->record, 0);
}

void
journal_read_record (journal_t *journal, usec_t now, uint64_t offset,
                     blob_t record)
{
  if (offset < journal->next_offset)
    return;
  journal->next_offset = offset + 1;
  apply_record (journal, now, offset, record);
}

void
journal_read_done (journal_t *journal, usec_t now, int code, uint64_t first,
                   uint64_t end)
{
  usec_t sent_at = journal->read.sent_at;

  if (!journal->read.in_flight)
    return;
  call_completed (journal, &journal->read, now, code);
  if (code)
    {
      counter_add (COUNTER_JOURNAL_READ_ERRORS, 1);
      return;
    }
  /* Records that expired before they were read are lost.  State that is
     still needed has been appended again after them. */
  if (journal->next_offset < first)
    journal->next_offset = first;
  if (journal->next_offset < end)
    return;
  journal->ready = true;
  journal->confirmed_at = sent_at;
  journal->ops->confirmed (journal->ctx, now, sent_at);
}

bool
journal_ready (const journal_t *journal)
{
  return journal->ready;
}

bool
journal_healthy (const journal_t *journal)
{
  return journal->ready && !journal->append.failed && !journal->read.failed;
}

uint64_t
journal_offset (const journal_t *journal)
{
  return journal->next_offset;
}

usec_t
journal_confirmed_at (const journal_t *journal)
{
  return journal->confirmed_at;
}

uint64_t
journal_pending (const journal_t *journal)
{
  uint64_t pending = journal->queue_entries;

  for (guint i = 0; i < journal->sent->len; i++)
    pending += g_array_index (journal->sent, sent_record_t, i).entries;
  return pending;
}

usec_t
journal_tick (journal_t *journal, usec_t now)
{
  usec_t append = append_tick (journal, now);
  usec_t read = read_tick (journal, now);

  return MIN (append, read);
}

json_t *
journal_dump (const journal_t *journal, usec_t now)
{
  return json_pack (
      "{s:I, s:b, s:b, s:I, s:I, s:b}", "offset",
      (json_int_t)journal->next_offset, "ready", journal->ready, "healthy",
      journal_healthy (journal), "confirmed_ms_ago",
      journal->confirmed_at == USEC_NEVER
          ? (json_int_t)-1
          : (json_int_t)((now - journal->confirmed_at) / USEC_PER_MSEC),
      "pending_entries", (json_int_t)journal_pending (journal),
      "append_under_way", journal->append.in_flight);
}

static usec_t
append_tick (journal_t *journal, usec_t now)
{
  usec_t due = append_due (journal);

  if (due > now)
    return due;
  if (!journal->record->len)
    build_record (journal);
  journal->append.in_flight = true;
  journal->append.sent_at = now;
  counter_add (COUNTER_JOURNAL_APPENDS, 1);
  journal->ops->append (journal->ctx, (blob_t){ (char *)journal->record->data,
                                                journal->record->len });
  return INT64_MAX;
}

static usec_t
append_due (const journal_t *journal)
{
  usec_t due;

  if (journal->append.in_flight)
    return INT64_MAX;
  if (journal->record->len)
    return journal->append.not_before;
  if (!journal->queue_entries)
    return INT64_MAX;
  due = journal->queue_since;
  if (!journal->urgent)
    due += journal->config.group_interval;
  return MAX (due, journal->append.not_before);
}

static void
build_record (journal_t *journal)
{
  message_t head = { .type = MSG_RECORD };
  sent_record_t sent = { journal->next_seq++,
                         journal->next_ticket - journal->queue_entries, 0 };
  blob_t rest = { (char *)journal->queue->data, journal->queue->len };
  uint32_t bytes_taken = 0;

  head.u.record.incarnation = journal->incarnation;
  head.u.record.seq = sent.seq;
  message_encode (&head, journal->record);
  while (rest.len)
    {
      blob_t entry = wire_next (&rest);

      if (sent.entries
          && journal->record->len + entry.len
                 > journal->config.max_record_bytes)
        break;
      g_byte_array_append (journal->record, (const guint8 *)entry.data,
                           entry.len);
      bytes_taken += entry.len;
      sent.entries++;
    }
  g_byte_array_remove_range (journal->queue, 0, bytes_taken);
  journal->queue_entries -= sent.entries;
  journal->urgent = journal->urgent && journal->queue_entries;
  g_array_append_val (journal->sent, sent);
}

static usec_t
read_tick (journal_t *journal, usec_t now)
{
  if (journal->read.in_flight)
    return INT64_MAX;
  if (journal->read.not_before > now)
    return journal->read.not_before;
  journal->read.in_flight = true;
  journal->read.sent_at = now;
  journal->ops->read (journal->ctx, journal->next_offset,
                      journal->config.max_read_records,
                      journal->config.poll_wait_ms);
  return INT64_MAX;
}

static void
call_completed (const journal_t *journal, call_t *call, usec_t now, int code)
{
  call->in_flight = false;
  call->failed = code != 0;
  if (!code)
    {
      call->backoff = 0;
      call->not_before = now;
      return;
    }
  call->backoff = call->backoff
                      ? MIN (call->backoff * 2, journal->config.retry_max)
                      : journal->config.retry_min;
  call->not_before = now + call->backoff;
}

/* A writer sends its next record only after a copy of the previous one is in
   the log, so a sequence number not above the newest one is a duplicate. */
static bool
is_first_copy (journal_t *journal, const msg_record_t *head)
{
  gint64 key = (gint64)head->incarnation;
  uint64_t *newest = g_hash_table_lookup (journal->newest_seq, &key);

  if (!newest)
    {
      gint64 *stored = g_new (gint64, 1);

      *stored = key;
      newest = g_new0 (uint64_t, 1);
      g_hash_table_insert (journal->newest_seq, stored, newest);
    }
  if (head->seq <= *newest)
    return false;
  *newest = head->seq;
  return true;
}

static uint64_t
remove_sent_record (journal_t *journal, uint64_t seq)
{
  uint64_t ticket;

  if (!journal->sent->len
      || g_array_index (journal->sent, sent_record_t, 0).seq != seq)
    return 0;
  ticket = g_array_index (journal->sent, sent_record_t, 0).first_ticket;
  g_array_remove_index (journal->sent, 0);
  return ticket;
}

static void
apply_record (journal_t *journal, usec_t now, uint64_t offset, blob_t record)
{
  blob_t rest = record;
  blob_t head = wire_next (&rest);
  message_t message;
  uint64_t ticket = 0;

  if (message_decode (head, &message, NULL) || message.type != MSG_RECORD)
    {
      counter_add (COUNTER_JOURNAL_BAD_ENTRIES, 1);
      message_clear (&message);
      return;
    }
  if (!is_first_copy (journal, &message.u.record))
    return;
  if (message.u.record.incarnation == journal->incarnation)
    ticket = remove_sent_record (journal, message.u.record.seq);
  apply_entries (journal, now, offset, rest, ticket);
}

static void
apply_entries (journal_t *journal, usec_t now, uint64_t offset, blob_t entries,
               uint64_t ticket)
{
  while (entries.len)
    {
      blob_t entry = wire_next (&entries);
      message_t message;

      if (!entry.len)
        {
          counter_add (COUNTER_JOURNAL_BAD_ENTRIES, 1);
          return;
        }
      if (message_decode (entry, &message, NULL) == 0)
        {
          counter_add (COUNTER_JOURNAL_ENTRIES, 1);
          journal->ops->apply (journal->ctx, now, offset, &message, ticket);
        }
      else
        counter_add (COUNTER_JOURNAL_BAD_ENTRIES, 1);
      message_clear (&message);
      if (ticket)
        ticket++;
    }
}
