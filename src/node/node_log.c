/** @file
 * Access to the platform's log over HTTP, and dispatch of its entries.
 */
#include "base/counters.h"
#include "base/log.h"
#include "base/wire_check.h"
#include "net/clock.h"
#include "node/node_private.h"

#include <inttypes.h>
#include <msgpack.h>

#define LOG_REQUEST_TIMEOUT (2 * USEC_PER_SEC)
#define URL_BYTES 256
#define STATUS_OK 200

typedef void (*applier_t) (node_t *node, usec_t now, uint64_t offset,
                           const message_t *entry, uint64_t ticket);

static void begin_append (void *ctx, blob_t record);
static void begin_read (void *ctx, uint64_t from, uint32_t max,
                        uint32_t wait_ms);
static void apply_entry (void *ctx, usec_t now, uint64_t offset,
                         const message_t *entry, uint64_t ticket);
static void on_confirmed (void *ctx, usec_t now, usec_t sent_at);
static void on_append_done (void *ctx, const http_answer_t *answer);
static void on_read_done (void *ctx, const http_answer_t *answer);
static int apply_read_answer (node_t *node, usec_t now, blob_t body,
                              uint64_t *first, uint64_t *end);
static void report_log_start (node_t *node, uint64_t first);
static void apply_member (node_t *node, usec_t now, uint64_t offset,
                          const message_t *entry, uint64_t ticket);
static void apply_claim (node_t *node, usec_t now, uint64_t offset,
                         const message_t *entry, uint64_t ticket);
static void apply_order (node_t *node, usec_t now, uint64_t offset,
                         const message_t *entry, uint64_t ticket);
static void apply_bundle (node_t *node, usec_t now, uint64_t offset,
                          const message_t *entry, uint64_t ticket);

const journal_ops_t node_journal_ops
    = { begin_append, begin_read, apply_entry, on_confirmed };

static const applier_t appliers[MSG_TYPE_LIMIT] = {
  [MSG_MEMBER] = apply_member,      [MSG_LEAVE] = apply_claim,
  [MSG_CLAIM] = apply_claim,        [MSG_RELEASE] = apply_claim,
  [MSG_ORDER_ACCEPT] = apply_order, [MSG_ORDER_START] = apply_order,
  [MSG_ORDER_END] = apply_order,    [MSG_ORDER_REQUEUE] = apply_order,
  [MSG_ORDER_CANCEL] = apply_order, [MSG_ORDER_SNAPSHOT] = apply_order,
  [MSG_BUNDLE] = apply_bundle,      [MSG_SHARD] = apply_claim,
};

static void
begin_append (void *ctx, blob_t record)
{
  node_t *node = ctx;
  char url[URL_BYTES];
  http_request_t request = { .method = "POST",
                             .url = url,
                             .body = record,
                             .timeout = LOG_REQUEST_TIMEOUT };

  g_snprintf (url, sizeof url, "%s/log/append?client=%u",
              node->settings->log_url, node->settings->node);
  http_client_send (node->platform, &request, on_append_done, node);
}

static void
begin_read (void *ctx, uint64_t from, uint32_t max, uint32_t wait_ms)
{
  node_t *node = ctx;
  char url[URL_BYTES];
  http_request_t request
      = { .method = "GET",
          .url = url,
          .timeout = LOG_REQUEST_TIMEOUT + wait_ms * USEC_PER_MSEC };

  g_snprintf (url, sizeof url,
              "%s/log/read?from=%" PRIu64 "&max=%u&wait_ms=%u&client=%u",
              node->settings->log_url, from, max, wait_ms,
              node->settings->node);
  http_client_send (node->platform, &request, on_read_done, node);
}

static void
on_append_done (void *ctx, const http_answer_t *answer)
{
  node_t *node = ctx;
  bool appended = answer->transfer_result == HTTP_ANSWERED
                  && answer->status == STATUS_OK;

  journal_append_done (node->journal, clock_now (), appended ? 0 : -EIO);
  node_wake (node);
}

static void
on_read_done (void *ctx, const http_answer_t *answer)
{
  node_t *node = ctx;
  usec_t now = clock_now ();
  uint64_t first = 0;
  uint64_t end = 0;
  int code = -EIO;

  if (answer->transfer_result == HTTP_ANSWERED && answer->status == STATUS_OK)
    code = apply_read_answer (node, now, answer->body, &first, &end);
  journal_read_done (node->journal, now, code, first, end);
  node_wake (node);
}

static int
apply_read_answer (node_t *node, usec_t now, blob_t body, uint64_t *first,
                   uint64_t *end)
{
  msgpack_unpacked unpacked;
  const msgpack_object *top;
  const msgpack_object *rows;
  size_t used = 0;
  int code = -EBADMSG;

  msgpack_unpacked_init (&unpacked);
  if (wire_check (body)
      && msgpack_unpack_next (&unpacked, body.data, body.len, &used)
             == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_ARRAY
      && unpacked.data.via.array.size == 3
      && unpacked.data.via.array.ptr[2].type == MSGPACK_OBJECT_ARRAY)
    {
      top = unpacked.data.via.array.ptr;
      rows = &top[2];
      *first = top[0].via.u64;
      *end = top[1].via.u64;
      report_log_start (node, *first);
      code = 0;
      for (uint32_t i = 0; i < rows->via.array.size; i++)
        {
          const msgpack_object *row = &rows->via.array.ptr[i];

          if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size != 2
              || row->via.array.ptr[1].type != MSGPACK_OBJECT_BIN)
            {
              code = -EBADMSG;
              break;
            }
          journal_read_record (node->journal, now,
                               row->via.array.ptr[0].via.u64,
                               (blob_t){ row->via.array.ptr[1].via.bin.ptr,
                                         row->via.array.ptr[1].via.bin.size });
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return code;
}

/* The first read shows whether the oldest records have expired. */
static void
report_log_start (node_t *node, uint64_t first)
{
  if (node->log_start_known)
    return;
  node->log_start_known = true;
  claims_set_first_offset (node->claims, first);
  if (first)
    log_line (LOG_LEVEL_NOTICE, "log-read", node->settings->log_url,
              "records before %" PRIu64 " have expired", first);
}

static void
apply_entry (void *ctx, usec_t now, uint64_t offset, const message_t *entry,
             uint64_t ticket)
{
  node_t *node = ctx;
  applier_t applier = appliers[entry->type];

  if (applier)
    applier (node, now, offset, entry, ticket);
}

static void
on_confirmed (void *ctx, usec_t now, usec_t sent_at)
{
  node_t *node = ctx;

  claims_log_confirmed (node->claims, now, sent_at);
  node_answer_relays (node, sent_at);
}

static void
apply_member (node_t *node, usec_t now, uint64_t offset,
              const message_t *entry, uint64_t ticket)
{
  const msg_member_t *member = &entry->u.member;

  (void)offset;
  (void)ticket;
  claims_apply (node->claims, now, entry);
  if (member->node != node->settings->node)
    {
      g_autofree char *address = blob_dup (member->address);

      peers_add (node->peers, now, (node_id_t)member->node,
                 (uint32_t)member->zone);
      peerlink_add (node->link, (node_id_t)member->node, address);
    }
  else if (member->incarnation == node->incarnation && !node->registered)
    {
      node->registered = true;
      node_update_candidates (node, now);
    }
}

static void
apply_claim (node_t *node, usec_t now, uint64_t offset, const message_t *entry,
             uint64_t ticket)
{
  (void)offset;
  claims_apply (node->claims, now, entry);
  if (ticket && ticket == node->leave_ticket)
    node->leave_confirmed = true;
}

static void
apply_order (node_t *node, usec_t now, uint64_t offset, const message_t *entry,
             uint64_t ticket)
{
  order_id_t order = 0;
  order_apply_result_t verdict
      = orders_apply (node->orders, now, offset, entry, &order);

  if (!ticket)
    return;
  node_order_read_back (node, ticket, verdict, order);
  attempts_entry_applied (node->attempts, now, ticket, verdict);
}

static void
apply_bundle (node_t *node, usec_t now, uint64_t offset,
              const message_t *entry, uint64_t ticket)
{
  err_t err = { 0 };
  int code = bundle_store_apply (node->bundles, &entry->u.bundle, &err);

  (void)now;
  (void)offset;
  if (code == 0)
    node_bundle_changed (node);
  if (ticket)
    node_bundle_read_back (node, ticket, code, &err);
}
