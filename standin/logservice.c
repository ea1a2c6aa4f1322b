/** @file
 * The platform's append-only log, in memory.
 */
#include "platform.h"

#include <msgpack.h>
#include <string.h>

#define MAX_WAIT_MS 60000
#define MAX_READ 10000
#define MAX_READ_BYTES (4U << 20)

struct log_service
{
  platform_t *platform;
  double latency_ms;
  GPtrArray *records; /* GByteArray; the oldest kept is at head */
  guint head;
  uint64_t first; /* offset of the record at head */
  uint64_t faults[LOG_FAULT_COUNT];
  GHashTable *down_for; /* clients */
  GHashTable *calls;    /* requests under way, dropped when the log fails */
  GHashTable *waiting;  /* reads at the tail */
  GQueue *recent;       /* times of the appends of the last second */
  uint64_t appends;
  uint64_t peak;
  uint64_t lost_replies;
  uint64_t refused;
};

static bool is_down (const log_service_t *log, const char *client);
static void call_begin (log_service_t *log, request_t *request,
                        request_fn after);
static void call_end (void *ctx, request_t *request);
static void append_commit (void *ctx, request_t *request);
static void note_append (log_service_t *log);
static void trim (log_service_t *log);
static void read_start (void *ctx, request_t *request);
static void read_reply (void *ctx, request_t *request);
static uint64_t end_of (const log_service_t *log);
static void wake_readers (log_service_t *log);
static void drop_calls (log_service_t *log);

log_service_t *
log_service_new (platform_t *platform, double latency_ms, uint64_t retention)
{
  log_service_t *log = g_new0 (log_service_t, 1);

  log->platform = platform;
  log->latency_ms = latency_ms;
  log->faults[LOG_RETENTION] = retention;
  log->records = g_ptr_array_new ();
  log->down_for
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  log->calls = g_hash_table_new (NULL, NULL);
  log->waiting = g_hash_table_new (NULL, NULL);
  log->recent = g_queue_new ();
  return log;
}

json_t *
log_service_json (const log_service_t *log)
{
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I}", "records", (json_int_t)end_of (log),
      "first", (json_int_t)log->first, "appends", (json_int_t)log->appends,
      "peak_appends_per_s", (json_int_t)log->peak, "lost_replies",
      (json_int_t)log->lost_replies, "refused", (json_int_t)log->refused);
}

void
log_service_fault (log_service_t *log, log_fault_t fault, uint64_t value)
{
  log->faults[fault] = value;
  if (fault == LOG_DOWN && value)
    drop_calls (log);
  trim (log);
}

void
log_service_down_for (log_service_t *log, const char *client, bool down)
{
  if (!down)
    g_hash_table_remove (log->down_for, client);
  else
    {
      g_hash_table_add (log->down_for, g_strdup (client));
      drop_calls (log);
    }
}

void
log_handle (log_service_t *log, request_t *request, const char *client)
{
  bool append = !strcmp (request->path, "/log/append");

  request->work = g_strdup (client);
  if (is_down (log, client))
    {
      log->refused++;
      g_free (request->work);
      request_drop (request);
    }
  else
    call_begin (log, request, append ? append_commit : read_start);
}

static bool
is_down (const log_service_t *log, const char *client)
{
  return log->faults[LOG_DOWN]
         || (client && g_hash_table_contains (log->down_for, client));
}

static void
call_begin (log_service_t *log, request_t *request, request_fn after)
{
  request->on_end = call_end;
  request->ctx = log;
  g_hash_table_add (log->calls, request);
  request_wait (request, log->latency_ms + (double)log->faults[LOG_SLOW_MS],
                after);
}

static void
call_end (void *ctx, request_t *request)
{
  log_service_t *log = ctx;

  g_hash_table_remove (log->calls, request);
  g_hash_table_remove (log->waiting, request);
  g_free (request->work);
}

static void
append_commit (void *ctx, request_t *request)
{
  log_service_t *log = ctx;
  uint64_t offset = end_of (log);
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  g_ptr_array_add (log->records, g_byte_array_append (g_byte_array_new (),
                                                      request->body->data,
                                                      request->body->len));
  note_append (log);
  trim (log);
  wake_readers (log);
  if (log->faults[LOG_LOSE_REPLIES])
    {
      log->faults[LOG_LOSE_REPLIES]--;
      log->lost_replies++;
      request_drop (request);
      return;
    }
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 1);
  msgpack_pack_uint64 (&packer, offset);
  request_reply (request, MHD_HTTP_OK, buffer.data, buffer.size);
}

static void
note_append (log_service_t *log)
{
  usec_t now = now_usec ();

  log->appends++;
  g_queue_push_tail (log->recent, (gpointer)now);
  while ((usec_t)g_queue_peek_head (log->recent) <= now - USEC_PER_SEC)
    g_queue_pop_head (log->recent);
  if (g_queue_get_length (log->recent) > log->peak)
    log->peak = g_queue_get_length (log->recent);
}

static void
trim (log_service_t *log)
{
  while (log->records->len - log->head > log->faults[LOG_RETENTION])
    {
      g_byte_array_free (g_ptr_array_index (log->records, log->head), TRUE);
      log->head++;
      log->first++;
    }
  if (log->head > 1024 && log->head > log->records->len / 2)
    {
      g_ptr_array_remove_range (log->records, 0, log->head);
      log->head = 0;
    }
}

static void
read_start (void *ctx, request_t *request)
{
  log_service_t *log = ctx;
  uint64_t from = number_or (request_query (request, "from"), 0);
  uint64_t wait = number_or (request_query (request, "wait_ms"), 0);

  if (from < end_of (log) || !wait)
    {
      read_reply (log, request);
      return;
    }
  g_hash_table_add (log->waiting, request);
  request_wait (request, (double)MIN (wait, MAX_WAIT_MS), read_reply);
}

static void
read_reply (void *ctx, request_t *request)
{
  log_service_t *log = ctx;
  uint64_t from
      = MAX (number_or (request_query (request, "from"), 0), log->first);
  uint64_t most = number_or (request_query (request, "max"), 1000);
  uint64_t count = from < end_of (log) ? end_of (log) - from : 0;
  const GByteArray *record;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  size_t bytes = 0;
  uint64_t i;

  count = MIN (MIN (count, most), MAX_READ);
  for (i = 0; i < count && bytes < MAX_READ_BYTES; i++)
    {
      record = g_ptr_array_index (log->records,
                                  log->head + (guint)(from + i - log->first));
      bytes += record->len;
    }
  count = i;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_uint64 (&packer, log->first);
  msgpack_pack_uint64 (&packer, end_of (log));
  msgpack_pack_array (&packer, count);
  for (i = 0; i < count; i++)
    {
      record = g_ptr_array_index (log->records,
                                  log->head + (guint)(from + i - log->first));
      msgpack_pack_array (&packer, 2);
      msgpack_pack_uint64 (&packer, from + i);
      msgpack_pack_bin (&packer, record->len);
      msgpack_pack_bin_body (&packer, record->data, record->len);
    }
  request_reply (request, MHD_HTTP_OK, buffer.data, buffer.size);
}

static uint64_t
end_of (const log_service_t *log)
{
  return log->first + log->records->len - log->head;
}

static void
wake_readers (log_service_t *log)
{
  GHashTableIter iter;
  gpointer request;

  g_hash_table_iter_init (&iter, log->waiting);
  while (g_hash_table_iter_next (&iter, &request, NULL))
    {
      uint64_t from = number_or (request_query (request, "from"), 0);

      if (from < end_of (log))
        {
          g_hash_table_iter_remove (&iter);
          read_reply (log, request);
        }
    }
}

/* Calls of clients that lost the log end without an answer; an append that
   has not been committed yet has no effect. */
static void
drop_calls (log_service_t *log)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, log->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      request_t *request = key;

      if (!request->ready && is_down (log, request->work))
        request_drop (request);
    }
}
