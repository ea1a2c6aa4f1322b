/** @file
 * Bound of the leases that an owner grants, on record for the next owner.
 *
 * A new owner does not know the leases of workers that it does not reach.
 * Invariants:
 *
 *  - no lease that an owner grants ends later than lease_horizon after the
 *    store last confirmed its ownership, which was before the next takeover;
 *  - the record is the youngest one of each append.  An owner of a build
 *    without it extends leases for stale_limit after the takeover; if it has
 *    appended since, the record does not count.
 *
 * After the bound it has rows of the workers to which the first does not apply
 * (shard_stray.c).  A build that does not know them reads the bound alone.
 */
#include "shard/shard_private.h"

#include <msgpack.h>

usec_t
lease_bound (const shard_t *shard)
{
  return MIN (worker_lease_limit (shard->config.lease_horizon),
              shard->config.stale_limit + worker_max_lease_duration (shard));
}

bool
lease_bound_is_due (const shard_t *shard, usec_t now)
{
  return !shard->lease_bound_stored || stray_is_due (shard, now);
}

void
lease_bound_encode (shard_t *shard, usec_t now, GByteArray *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, shard_append_bytes);
  msgpack_pack_int64 (&packer, usec_to_msec (lease_bound (shard)) + 1);
  stray_encode (shard, now, out);
}

int
lease_bound_load (shard_t *shard, blob_t record)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool ok;

  msgpack_unpacked_init (&unpacked);
  ok = msgpack_unpack_next (&unpacked, record.data, record.len, &offset)
           == MSGPACK_UNPACK_SUCCESS
       && unpacked.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER
       && unpacked.data.via.u64 <= UINT32_MAX;
  shard->loaded_lease_bound
      = ok ? (usec_t)unpacked.data.via.u64 * USEC_PER_MSEC : 0;
  msgpack_unpacked_destroy (&unpacked);
  if (ok && !lease_rows_decode (record, offset, shard->loaded_stray))
    return 0;
  shard->loaded_lease_bound = 0;
  return -EBADMSG;
}

void
shard_discard_lease_bound (shard_t *shard)
{
  counter_add (COUNTER_LEASE_BOUND_DISCARDED, 1);
  log_line (LOG_LEVEL_NOTICE, "lease_bound.discarded", NULL,
            "shard=%u ms=%" PRId64 " another owner has appended since",
            shard->number, usec_to_msec (shard->loaded_lease_bound));
  shard->loaded_lease_bound = 0;
  g_hash_table_remove_all (shard->loaded_stray);
}

void
lease_bound_apply (shard_t *shard)
{
  usec_t loaded = shard->loaded_lease_bound;

  if (!loaded)
    return;
  shard->lease_bound_stored = loaded >= lease_bound (shard);
  shard->former_leases_expired_at
      = MIN (shard->former_leases_expired_at, shard->owned_since + loaded);
  for (handle_t h = table_next (shard->workers, HANDLE_NONE); h != HANDLE_NONE;
       h = table_next (shard->workers, h))
    {
      worker_t *worker = worker_get (shard, h);

      worker->leases_expired_at
          = MIN (worker->leases_expired_at, shard->former_leases_expired_at);
    }
  stray_apply (shard);
}
