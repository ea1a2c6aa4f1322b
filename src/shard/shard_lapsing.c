/** @file
 * Workers whose leases are left to expire, on record for the next owner.
 *
 * An owner that does not reach a worker waits until all leases there have
 * expired.  A later owner does not know how long its predecessors have waited
 * already, unless a record tells what was left.  Invariants:
 *
 *  - a worker that the stored record may name gets no lease, from any owner:
 *    the record is stored without it first;
 *  - so all leases of a worker on record have expired after the time that the
 *    record tells, counted from any moment after it was written.
 */
#include "shard/shard_private.h"

#include <msgpack.h>

/* Shorter silences are common, and leave most of the wait to the successor. */
#define LAPSING_AFTER (USEC_PER_SEC)
/* The same of a worker that has given notice, whose silence is expected to
   last. */
#define LAPSING_AFTER_NOTICE (200 * USEC_PER_MSEC)
/* Interval at which the time that is left is stored again. */
#define LAPSING_INTERVAL (500 * USEC_PER_MSEC)

static bool lapses (const worker_t *worker, usec_t now);
static void resume_calls (shard_t *shard, usec_t now, worker_t *worker);
static bool decode_row (const msgpack_object *row, GHashTable *rows);

/* A worker on record stays there until it has answered or has no runs left. */
static bool
lapses (const worker_t *worker, usec_t now)
{
  usec_t after = worker->leaving ? LAPSING_AFTER_NOTICE : LAPSING_AFTER;

  return worker->in_doubt && worker->runs->len
         && (worker->lapsing || now - worker->in_doubt_since >= after);
}

bool
lapsing_is_due (const shard_t *shard, usec_t now)
{
  bool refresh = now - shard->lapsing_encoded_at >= LAPSING_INTERVAL;

  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      const worker_t *worker = worker_get (shard, h);

      if (worker->lapsing ? refresh || !lapses (worker, now)
                          : refresh && lapses (worker, now))
        return true;
    }
  return false;
}

uint32_t
lapsing_encode (shard_t *shard, usec_t now, GByteArray *out)
{
  uint32_t count = 0;

  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      worker_t *worker = worker_get (shard, h);

      worker->in_lapsing_batch
          = out->len < LEASE_ROWS_MAX_BYTES && lapses (worker, now);
      if (!worker->in_lapsing_batch)
        continue;
      worker->lapsing = true;
      lease_row_encode (worker->id, MAX (worker->leases_expired_at - now, 0),
                        out);
      count++;
    }
  shard->lapsing_encoded_at = now;
  shard->lapsing_on_record |= count != 0;
  return count;
}

/* Rows are [worker, ms until its leases have expired], one after the other. */
void
lease_row_encode (const char *id, usec_t left, GByteArray *out)
{
  msgpack_packer packer;
  size_t len = strlen (id);

  msgpack_packer_init (&packer, out, shard_append_bytes);
  msgpack_pack_array (&packer, 2);
  msgpack_pack_str (&packer, len);
  msgpack_pack_str_body (&packer, id, len);
  msgpack_pack_int64 (&packer, usec_to_msec (left) + 1);
}

void
lapsing_stored (shard_t *shard, usec_t now)
{
  shard->lapsing_on_record = false;
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      worker_t *worker = worker_get (shard, h);

      if (worker->lapsing && !worker->in_lapsing_batch)
        resume_calls (shard, now, worker);
      worker->lapsing = worker->in_lapsing_batch;
      shard->lapsing_on_record |= worker->lapsing;
    }
}

static void
resume_calls (shard_t *shard, usec_t now, worker_t *worker)
{
  worker->hold_due = MIN (worker->hold_due, now);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      run_t *run = run_get (shard, g_array_index (worker->runs, handle_t, i));

      if (run->state == RUN_STARTING && !run->start_in_flight)
        run_set_due (shard, run, now);
    }
}

int
lapsing_load (shard_t *shard, blob_t record)
{
  shard->lapsing_on_record = true;
  return lease_rows_decode (record, 0, shard->loaded_lapsing);
}

int
lease_rows_decode (blob_t record, size_t offset, GHashTable *rows)
{
  msgpack_unpacked unpacked;
  bool ok = true;

  g_hash_table_remove_all (rows);
  msgpack_unpacked_init (&unpacked);
  while (ok && offset < record.len)
    ok = msgpack_unpack_next (&unpacked, record.data, record.len, &offset)
             == MSGPACK_UNPACK_SUCCESS
         && decode_row (&unpacked.data, rows);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    g_hash_table_remove_all (rows);
  return ok ? 0 : -EBADMSG;
}

static bool
decode_row (const msgpack_object *row, GHashTable *rows)
{
  const msgpack_object *field = row->via.array.ptr;
  usec_t *left;

  if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size < 2
      || field[0].type != MSGPACK_OBJECT_STR
      || field[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || field[1].via.u64 > UINT32_MAX)
    return false;
  left = g_new (usec_t, 1);
  *left = (usec_t)field[1].via.u64 * USEC_PER_MSEC;
  g_hash_table_insert (
      rows, g_strndup (field[0].via.str.ptr, field[0].via.str.size), left);
  return true;
}

void
shard_discard_lapsing (shard_t *shard)
{
  counter_add (COUNTER_LAPSING_DISCARDED, 1);
  log_line (LOG_LEVEL_NOTICE, "lapsing.discarded", NULL,
            "shard=%u workers=%u another owner has appended since",
            shard->number, g_hash_table_size (shard->loaded_lapsing));
  g_hash_table_remove_all (shard->loaded_lapsing);
}

void
lapsing_apply (shard_t *shard, usec_t now)
{
  GHashTableIter iter;
  gpointer id;
  gpointer left;
  usec_t longest = 0;

  g_hash_table_iter_init (&iter, shard->loaded_lapsing);
  while (g_hash_table_iter_next (&iter, &id, &left))
    {
      handle_t handle = worker_find (shard, id);
      worker_t *worker;

      if (handle == HANDLE_NONE)
        handle = worker_add (shard, id);
      worker = worker_get (shard, handle);
      worker->lapsing = true;
      worker->leases_expired_at
          = MIN (worker->leases_expired_at, now + *(usec_t *)left);
      longest = MAX (longest, *(usec_t *)left);
    }
  if (g_hash_table_size (shard->loaded_lapsing))
    log_line (LOG_LEVEL_NOTICE, "workers.lapsing", NULL,
              "shard=%u token=%" PRIu64 " workers=%u longest_ms=%" PRId64,
              shard->number, shard->token,
              g_hash_table_size (shard->loaded_lapsing),
              usec_to_msec (longest));
  g_hash_table_remove_all (shard->loaded_lapsing);
}
