/** @file
 * The table of batch orders, which every process rebuilds from the log.
 *
 * Whether an entry takes effect depends only on the entries before it in the
 * log, not on the process that reads it, so all processes reach the same
 * state.
 */
#include "orders/orders.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

typedef struct row row_t;

/** Linked lists of orders; an order can be in all of them. */
typedef enum
{
  BY_MEMBER, /* in the order of acceptance */
  BY_SHARD,  /* started orders on the shard's workers */
  BY_OFFSET, /* by ascending order_t.offset */
  LIST_COUNT
} list_kind_t;

typedef struct
{
  row_t *first;
  row_t *last;
} list_t;

struct row
{
  order_t order; /* must be first: a row_t is returned as its order_t */
  row_t *prev[LIST_COUNT];
  row_t *next[LIST_COUNT];
  GSequenceIter *state_iter; /* position in by_state */
  uint64_t accept_rank;      /* ascends in the order of acceptance */
  usec_t ended_at;
};

/** The newest entry about an order that this process does not know. */
typedef struct
{
  uint64_t offset;
  usec_t seen_at;
} unknown_order_t;

struct orders
{
  const orders_ops_t *ops;
  void *ctx;
  GHashTable *by_id;     /* set of row_t */
  GHashTable *by_key;    /* set of row_t */
  GHashTable *by_member; /* name -> list_t */
  GHashTable *by_shard;  /* number -> list_t */
  GHashTable *unknown;   /* order_id_t -> unknown_order_t */
  GSequence *by_state[ORDER_ENDED + 1];
  list_t by_offset;
  uint64_t next_accept_rank;
};

typedef order_apply_result_t (*apply_fn_t) (orders_t *orders, usec_t now,
                                            uint64_t offset,
                                            const message_t *message,
                                            order_id_t *id);

static order_apply_result_t apply_accept (orders_t *orders, usec_t now,
                                          uint64_t offset,
                                          const message_t *message,
                                          order_id_t *id);
static order_apply_result_t apply_start (orders_t *orders, usec_t now,
                                         uint64_t offset,
                                         const message_t *message,
                                         order_id_t *id);
static order_apply_result_t apply_end (orders_t *orders, usec_t now,
                                       uint64_t offset,
                                       const message_t *message,
                                       order_id_t *id);
static order_apply_result_t apply_requeue (orders_t *orders, usec_t now,
                                           uint64_t offset,
                                           const message_t *message,
                                           order_id_t *id);
static order_apply_result_t apply_cancel (orders_t *orders, usec_t now,
                                          uint64_t offset,
                                          const message_t *message,
                                          order_id_t *id);
static order_apply_result_t apply_snapshot (orders_t *orders, usec_t now,
                                            uint64_t offset,
                                            const message_t *message,
                                            order_id_t *id);
static bool end_is_valid (const orders_t *orders, const order_t *order,
                          const msg_order_end_t *end);
static bool snapshot_is_current (const orders_t *orders,
                                 const msg_order_snapshot_t *snapshot);
static void load_snapshot (orders_t *orders, usec_t now, uint64_t offset,
                           const msg_order_snapshot_t *snapshot);
static bool same_state (const order_t *order,
                        const msg_order_snapshot_t *snapshot);
static row_t *row_new (orders_t *orders, usec_t now, uint64_t offset,
                       const msg_order_accept_t *accept);
static void row_remove (orders_t *orders, row_t *row);
static void row_free (gpointer data);
static void enter_state (orders_t *orders, usec_t now, row_t *row,
                         order_state_t state);
static void leave_state (orders_t *orders, row_t *row);
static row_t *note_entry (orders_t *orders, usec_t now, uint64_t offset,
                          order_id_t id);
static row_t *find_id (const orders_t *orders, order_id_t id);
static row_t *find_key (const orders_t *orders, const char *member,
                        const char *key);
static void set_outcome (order_t *order, uint64_t outcome, uint64_t status,
                         blob_t result);
static void notify_changed (const orders_t *orders, usec_t now,
                            const row_t *row);
static list_t *member_list (orders_t *orders, const char *member);
static list_t *shard_list (orders_t *orders, uint32_t shard);
static void list_append (list_t *list, list_kind_t kind, row_t *row);
static void list_remove (list_t *list, list_kind_t kind, row_t *row);
static int compare_accept_rank (gconstpointer a, gconstpointer b,
                                gpointer ctx);
static guint hash_id (gconstpointer data);
static gboolean equal_id (gconstpointer a, gconstpointer b);
static guint hash_key (gconstpointer data);
static gboolean equal_key (gconstpointer a, gconstpointer b);
static char *intern (blob_t blob);
static GBytes *bytes_of (blob_t blob);
static blob_t blob_of_bytes (GBytes *bytes);
static void drop_bytes (GBytes **bytes);

static const struct
{
  message_type_t type;
  apply_fn_t apply;
} handlers[] = {
  { MSG_ORDER_ACCEPT, apply_accept }, { MSG_ORDER_START, apply_start },
  { MSG_ORDER_END, apply_end },       { MSG_ORDER_REQUEUE, apply_requeue },
  { MSG_ORDER_CANCEL, apply_cancel }, { MSG_ORDER_SNAPSHOT, apply_snapshot },
};

static const char *const state_names[] = { [ORDER_WAITING] = "waiting",
                                           [ORDER_STARTED] = "started",
                                           [ORDER_ENDED] = "ended" };

orders_t *
orders_new (const orders_ops_t *ops, void *ctx)
{
  orders_t *orders = g_new0 (orders_t, 1);

  orders->ops = ops;
  orders->ctx = ctx;
  orders->by_id = g_hash_table_new_full (hash_id, equal_id, row_free, NULL);
  orders->by_key = g_hash_table_new (hash_key, equal_key);
  orders->by_member
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  orders->by_shard = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  orders->unknown
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (int state = 0; state <= ORDER_ENDED; state++)
    orders->by_state[state] = g_sequence_new (NULL);
  return orders;
}

void
orders_free (orders_t *orders)
{
  if (!orders)
    return;
  for (int state = 0; state <= ORDER_ENDED; state++)
    g_sequence_free (orders->by_state[state]);
  g_hash_table_destroy (orders->by_key);
  g_hash_table_destroy (orders->by_id);
  g_hash_table_destroy (orders->by_member);
  g_hash_table_destroy (orders->by_shard);
  g_hash_table_destroy (orders->unknown);
  g_free (orders);
}

order_apply_result_t
orders_apply (orders_t *orders, usec_t now, uint64_t offset,
              const message_t *entry, order_id_t *id)
{
  order_id_t unused;

  for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
    if (handlers[i].type == entry->type)
      return handlers[i].apply (orders, now, offset, entry, id ? id : &unused);
  return ORDER_IGNORED;
}

const order_t *
orders_get (const orders_t *orders, order_id_t id)
{
  return (const order_t *)find_id (orders, id);
}

const order_t *
orders_get_of_member (const orders_t *orders, order_id_t id,
                      const char *member)
{
  const order_t *order = orders_get (orders, id);

  return order && strcmp (order->member, member) == 0 ? order : NULL;
}

const order_t *
orders_by_key (const orders_t *orders, const char *member, const char *key)
{
  return (const order_t *)find_key (orders, member, key);
}

void
orders_each (const orders_t *orders, order_state_t state,
             bool (*visit) (void *ctx, const order_t *order), void *ctx)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (orders->by_state[state]);

  while (!g_sequence_iter_is_end (iter))
    {
      const row_t *row = (const row_t *)g_sequence_get (iter);

      iter = g_sequence_iter_next (iter);
      if (!visit (ctx, &row->order))
        return;
    }
}

void
orders_each_of_member (const orders_t *orders, const char *member, size_t max,
                       void (*visit) (void *ctx, const order_t *order),
                       void *ctx)
{
  const list_t *list
      = (const list_t *)g_hash_table_lookup (orders->by_member, member);
  row_t *row = list ? list->last : NULL;

  for (size_t i = 0; row && i < max; i++)
    {
      row_t *older = row->prev[BY_MEMBER];

      visit (ctx, &row->order);
      row = older;
    }
}

void
orders_each_on_shard (const orders_t *orders, uint32_t shard,
                      void (*visit) (void *ctx, const order_t *order),
                      void *ctx)
{
  const list_t *list = (const list_t *)g_hash_table_lookup (
      orders->by_shard, GUINT_TO_POINTER (shard));
  row_t *row = list ? list->first : NULL;

  while (row)
    {
      row_t *next = row->next[BY_SHARD];

      visit (ctx, &row->order);
      row = next;
    }
}

uint64_t
orders_body_digest (blob_t body)
{
  return XXH64 (body.data ? body.data : "", body.len, 0);
}

void
orders_snapshot (const order_t *order, msg_order_snapshot_t *entry)
{
  *entry = (msg_order_snapshot_t){
    .order = order->id,
    .member = blob_of (order->member),
    .key = blob_of (order->key),
    .class_name = blob_of (order->class_name),
    .team = blob_of (order->team),
    .millicores = order->millicores,
    .memory_mb = order->memory_mb,
    .accelerators = order->accelerators,
    .declared_ms = order->declared_ms,
    .urgent = order->urgent,
    .body = blob_of_bytes (order->body),
    .state = order->state,
    .attempt = order->attempt,
    .worker = blob_of (order->worker ? order->worker : ""),
    .shard = order->shard,
    .epoch = order->epoch,
    .outcome = order->outcome,
    .status = order->status,
    .cancelled = order->cancelled,
    .result = blob_of_bytes (order->result),
    .checkpoint = blob_of_bytes (order->checkpoint),
    /* Builds that do not count the losses take any number for true. */
    .may_have_run = order->may_have_run ? 1 + order->early_losses : 0,
    .as_of = order->last_entry_offset,
    .failures = order->failures,
    .body_digest = order->body_digest,
  };
}

size_t
orders_expiring (const orders_t *orders, uint64_t offset, order_id_t *out,
                 size_t max)
{
  const row_t *row = orders->by_offset.first;
  size_t count = 0;

  for (; row && row->order.full_entry_offset < offset && count < max;
       row = row->next[BY_OFFSET])
    out[count++] = row->order.id;
  return count;
}

void
orders_remove_ended (orders_t *orders, usec_t ended_before)
{
  GSequenceIter *iter
      = g_sequence_get_begin_iter (orders->by_state[ORDER_ENDED]);
  GHashTableIter unknown_iter;
  gpointer value;

  while (!g_sequence_iter_is_end (iter))
    {
      row_t *row = (row_t *)g_sequence_get (iter);

      if (row->ended_at >= ended_before)
        break;
      iter = g_sequence_iter_next (iter);
      row_remove (orders, row);
    }
  g_hash_table_iter_init (&unknown_iter, orders->unknown);
  while (g_hash_table_iter_next (&unknown_iter, NULL, &value))
    if (((const unknown_order_t *)value)->seen_at < ended_before)
      g_hash_table_iter_remove (&unknown_iter);
}

size_t
orders_count (const orders_t *orders, order_state_t state)
{
  return (size_t)g_sequence_get_length (orders->by_state[state]);
}

json_t *
order_to_json (const order_t *order)
{
  blob_t result = blob_of_bytes (order->result);
  char id[17];
  char *encoded;
  json_t *text = json_stringn (result.data ? result.data : "", result.len);
  json_t *json;

  snprintf (id, sizeof id, "%016" PRIx64, order->id);
  json = json_pack (
      "{s:s, s:s, s:s, s:s, s:I, s:I, s:b}", "order", id, "class",
      order->class_name, "state", state_names[order->state], "outcome",
      outcome_name (order->outcome), "status", (json_int_t)order->status,
      "attempt", (json_int_t)order->attempt, "cancelled", order->cancelled);
  if (text)
    json_object_set_new (json, "result", text);
  else
    {
      /* A result that is not UTF-8 cannot be a JSON string. */
      encoded = g_base64_encode ((const guchar *)result.data, result.len);
      json_object_set_new (json, "result_base64", json_string (encoded));
      g_free (encoded);
    }
  return json;
}

static order_apply_result_t
apply_accept (orders_t *orders, usec_t now, uint64_t offset,
              const message_t *message, order_id_t *id)
{
  const msg_order_accept_t *accept = &message->u.order_accept;
  char *member = blob_dup (accept->member);
  char *key = blob_dup (accept->key);
  row_t *row = find_key (orders, member, key);
  order_apply_result_t result = ORDER_APPLIED;

  *id = accept->order;
  if (row)
    {
      *id = row->order.id;
      result = ORDER_DUPLICATE;
    }
  else if (note_entry (orders, now, offset, accept->order))
    result = ORDER_IGNORED;
  else
    {
      row = row_new (orders, now, offset, accept);
      enter_state (orders, now, row, ORDER_WAITING);
      notify_changed (orders, now, row);
    }
  g_free (member);
  g_free (key);
  return result;
}

static order_apply_result_t
apply_start (orders_t *orders, usec_t now, uint64_t offset,
             const message_t *message, order_id_t *id)
{
  const msg_order_start_t *start = &message->u.order_start;
  row_t *row = note_entry (orders, now, offset, start->order);
  order_t *order = row ? &row->order : NULL;

  *id = start->order;
  if (!order || order->state != ORDER_WAITING || order->cancelled)
    return ORDER_IGNORED;
  if (start->attempt != order->attempt + 1
      || start->epoch
             != orders->ops->epoch_of (orders->ctx, (uint32_t)start->shard))
    return ORDER_IGNORED;
  order->attempt = start->attempt;
  g_clear_pointer (&order->worker, g_ref_string_release);
  order->worker = intern (start->worker);
  order->shard = (uint32_t)start->shard;
  order->epoch = start->epoch;
  enter_state (orders, now, row, ORDER_STARTED);
  notify_changed (orders, now, row);
  return ORDER_APPLIED;
}

static order_apply_result_t
apply_end (orders_t *orders, usec_t now, uint64_t offset,
           const message_t *message, order_id_t *id)
{
  const msg_order_end_t *end = &message->u.order_end;
  row_t *row = note_entry (orders, now, offset, end->order);

  *id = end->order;
  if (!row || !end_is_valid (orders, &row->order, end))
    return ORDER_IGNORED;
  set_outcome (&row->order, end->outcome, end->status, end->result);
  enter_state (orders, now, row, ORDER_ENDED);
  notify_changed (orders, now, row);
  return ORDER_APPLIED;
}

static order_apply_result_t
apply_requeue (orders_t *orders, usec_t now, uint64_t offset,
               const message_t *message, order_id_t *id)
{
  const msg_order_requeue_t *requeue = &message->u.order_requeue;
  row_t *row = note_entry (orders, now, offset, requeue->order);
  order_t *order = row ? &row->order : NULL;

  *id = requeue->order;
  if (!order || order->state != ORDER_STARTED
      || requeue->attempt != order->attempt || requeue->shard != order->shard
      || requeue->epoch != orders->ops->epoch_of (orders->ctx, order->shard))
    return ORDER_IGNORED;
  if (requeue->reason != REQUEUE_NOT_STARTED)
    order->may_have_run = true;
  if (requeue->reason == REQUEUE_FAILED)
    order->failures++;
  if (requeue->reason == REQUEUE_LOST_EARLY)
    order->early_losses++;
  else if (requeue->reason != REQUEUE_NOT_STARTED)
    order->early_losses = 0;
  if (requeue->checkpoint.len)
    {
      drop_bytes (&order->checkpoint);
      order->checkpoint = bytes_of (requeue->checkpoint);
    }
  enter_state (orders, now, row, ORDER_WAITING);
  notify_changed (orders, now, row);
  return ORDER_APPLIED;
}

static order_apply_result_t
apply_cancel (orders_t *orders, usec_t now, uint64_t offset,
              const message_t *message, order_id_t *id)
{
  const msg_order_cancel_t *cancel = &message->u.order_cancel;
  row_t *row = note_entry (orders, now, offset, cancel->order);

  *id = cancel->order;
  if (!row || row->order.state == ORDER_ENDED || row->order.cancelled
      || !blob_equals (cancel->member, row->order.member))
    return ORDER_IGNORED;
  row->order.cancelled = true;
  notify_changed (orders, now, row);
  return ORDER_APPLIED;
}

/* A snapshot holds the order as its writer knew it after the entry at as_of.
   If there are entries about the order between as_of and the snapshot, it may
   lack them, so every reader ignores it and the writer appends a new one. */
static order_apply_result_t
apply_snapshot (orders_t *orders, usec_t now, uint64_t offset,
                const message_t *message, order_id_t *id)
{
  const msg_order_snapshot_t *snapshot = &message->u.order_snapshot;
  bool current = snapshot_is_current (orders, snapshot);

  *id = snapshot->order;
  note_entry (orders, now, offset, snapshot->order);
  if (!current || snapshot->state > ORDER_ENDED)
    return ORDER_IGNORED;
  load_snapshot (orders, now, offset, snapshot);
  return ORDER_APPLIED;
}

/* A waiting order is on no worker, so there is no shard epoch to check.  It
   can end only as not run; if an earlier attempt may have run, it cannot end
   as not run (invariant 5). */
static bool
end_is_valid (const orders_t *orders, const order_t *order,
              const msg_order_end_t *end)
{
  if (order->state == ORDER_ENDED || end->attempt != order->attempt)
    return false;
  if (end->outcome < OUTCOME_NOT_RUN || end->outcome > OUTCOME_UNKNOWN)
    return false;
  if (end->outcome == OUTCOME_NOT_RUN && order->may_have_run)
    return false;
  if (order->state == ORDER_WAITING)
    return end->outcome == OUTCOME_NOT_RUN || order->may_have_run;
  return end->shard == order->shard
         && end->epoch == orders->ops->epoch_of (orders->ctx, order->shard);
}

static bool
snapshot_is_current (const orders_t *orders,
                     const msg_order_snapshot_t *snapshot)
{
  const row_t *row = find_id (orders, snapshot->order);
  const unknown_order_t *unknown_order;

  if (row)
    return row->order.last_entry_offset == snapshot->as_of;
  unknown_order = (const unknown_order_t *)g_hash_table_lookup (
      orders->unknown, &snapshot->order);
  return !unknown_order || unknown_order->offset <= snapshot->as_of;
}

/* If another order has the snapshot's key, only this reader accepted it: it
   began to read after the first ACCEPT of the key had expired and took a
   later, duplicate ACCEPT for the first.  A known order that differs from the
   snapshot is replaced: it came from an older snapshot that was ignored by
   readers that had started earlier in the log. */
static void
load_snapshot (orders_t *orders, usec_t now, uint64_t offset,
               const msg_order_snapshot_t *snapshot)
{
  msg_order_accept_t accept = {
    .order = snapshot->order,
    .member = snapshot->member,
    .key = snapshot->key,
    .class_name = snapshot->class_name,
    .team = snapshot->team,
    .millicores = snapshot->millicores,
    .memory_mb = snapshot->memory_mb,
    .accelerators = snapshot->accelerators,
    .declared_ms = snapshot->declared_ms,
    .urgent = snapshot->urgent,
    .body = snapshot->body,
  };
  row_t *row = find_id (orders, snapshot->order);
  char *member = blob_dup (snapshot->member);
  char *key = blob_dup (snapshot->key);
  row_t *same_key = find_key (orders, member, key);
  uint64_t accept_rank = orders->next_accept_rank;

  if (same_key && same_key != row)
    row_remove (orders, same_key);
  g_free (member);
  g_free (key);
  if (row && same_state (&row->order, snapshot))
    {
      list_remove (&orders->by_offset, BY_OFFSET, row);
      row->order.full_entry_offset = offset;
      list_append (&orders->by_offset, BY_OFFSET, row);
      return;
    }
  if (row)
    {
      accept_rank = row->accept_rank;
      row_remove (orders, row);
    }
  row = row_new (orders, now, offset, &accept);
  row->accept_rank = accept_rank;
  row->order.body_digest = snapshot->body_digest;
  row->order.attempt = snapshot->attempt;
  row->order.worker = intern (snapshot->worker);
  row->order.shard = (uint32_t)snapshot->shard;
  row->order.epoch = snapshot->epoch;
  row->order.cancelled = snapshot->cancelled != 0;
  row->order.may_have_run = snapshot->may_have_run != 0;
  row->order.early_losses = MAX (snapshot->may_have_run, 1) - 1;
  row->order.failures = snapshot->failures;
  if (snapshot->checkpoint.len)
    row->order.checkpoint = bytes_of (snapshot->checkpoint);
  if (snapshot->state == ORDER_ENDED)
    set_outcome (&row->order, snapshot->outcome, snapshot->status,
                 snapshot->result);
  enter_state (orders, now, row, (order_state_t)snapshot->state);
  notify_changed (orders, now, row);
}

static bool
same_state (const order_t *order, const msg_order_snapshot_t *snapshot)
{
  return order->state == snapshot->state && order->attempt == snapshot->attempt
         && order->cancelled == (snapshot->cancelled != 0)
         && order->may_have_run == (snapshot->may_have_run != 0);
}

static row_t *
row_new (orders_t *orders, usec_t now, uint64_t offset,
         const msg_order_accept_t *accept)
{
  row_t *row = g_new0 (row_t, 1);
  order_t *order = &row->order;

  order->id = accept->order;
  order->member = intern (accept->member);
  order->key = blob_dup (accept->key);
  order->class_name = intern (accept->class_name);
  order->team = intern (accept->team);
  order->millicores = accept->millicores;
  order->memory_mb = accept->memory_mb;
  order->accelerators = accept->accelerators;
  order->declared_ms = accept->declared_ms;
  order->urgent = accept->urgent != 0;
  order->body = bytes_of (accept->body);
  order->body_digest = orders_body_digest (accept->body);
  order->accepted_at = now;
  order->full_entry_offset = offset;
  order->last_entry_offset = offset;
  row->accept_rank = orders->next_accept_rank++;
  g_hash_table_remove (orders->unknown, &order->id);
  g_hash_table_add (orders->by_id, row);
  g_hash_table_add (orders->by_key, row);
  list_append (member_list (orders, order->member), BY_MEMBER, row);
  list_append (&orders->by_offset, BY_OFFSET, row);
  return row;
}

static void
row_remove (orders_t *orders, row_t *row)
{
  leave_state (orders, row);
  list_remove (member_list (orders, row->order.member), BY_MEMBER, row);
  list_remove (&orders->by_offset, BY_OFFSET, row);
  g_hash_table_remove (orders->by_key, row);
  g_hash_table_remove (orders->by_id, row);
}

static void
row_free (gpointer data)
{
  row_t *row = (row_t *)data;
  order_t *order = &row->order;

  g_ref_string_release (order->member);
  g_ref_string_release (order->class_name);
  g_ref_string_release (order->team);
  g_clear_pointer (&order->worker, g_ref_string_release);
  drop_bytes (&order->body);
  drop_bytes (&order->result);
  drop_bytes (&order->checkpoint);
  g_free (order->key);
  g_free (row);
}

/* Waiting and started orders are sorted by acceptance, so that a requeued
   order keeps its position; ended orders are sorted by the time they ended. */
static void
enter_state (orders_t *orders, usec_t now, row_t *row, order_state_t state)
{
  GSequence *sequence = orders->by_state[state];

  leave_state (orders, row);
  row->order.state = state;
  if (state == ORDER_ENDED)
    {
      row->ended_at = now;
      row->state_iter = g_sequence_append (sequence, row);
      return;
    }
  row->state_iter
      = g_sequence_insert_sorted (sequence, row, compare_accept_rank, NULL);
  if (state == ORDER_STARTED)
    list_append (shard_list (orders, row->order.shard), BY_SHARD, row);
}

static void
leave_state (orders_t *orders, row_t *row)
{
  if (!row->state_iter)
    return;
  g_sequence_remove (row->state_iter);
  row->state_iter = NULL;
  if (row->order.state == ORDER_STARTED)
    list_remove (shard_list (orders, row->order.shard), BY_SHARD, row);
}

/* Records the offset of an entry about the order, also if the entry is then
   ignored. */
static row_t *
note_entry (orders_t *orders, usec_t now, uint64_t offset, order_id_t id)
{
  row_t *row = find_id (orders, id);
  unknown_order_t *unknown_order;

  if (row)
    {
      row->order.last_entry_offset = offset;
      return row;
    }
  unknown_order = g_new (unknown_order_t, 1);
  *unknown_order = (unknown_order_t){ offset, now };
  g_hash_table_replace (orders->unknown, g_memdup2 (&id, sizeof id),
                        unknown_order);
  return NULL;
}

static row_t *
find_id (const orders_t *orders, order_id_t id)
{
  return (row_t *)g_hash_table_lookup (orders->by_id, &id);
}

static row_t *
find_key (const orders_t *orders, const char *member, const char *key)
{
  const row_t probe
      = { .order = { .member = (char *)member, .key = (char *)key } };

  return (row_t *)g_hash_table_lookup (orders->by_key, &probe);
}

/* Body and checkpoint are no longer needed once the outcome is final. */
static void
set_outcome (order_t *order, uint64_t outcome, uint64_t status, blob_t result)
{
  order->outcome = (outcome_t)outcome;
  order->status = status;
  order->result = bytes_of (result);
  drop_bytes (&order->body);
  drop_bytes (&order->checkpoint);
}

static void
notify_changed (const orders_t *orders, usec_t now, const row_t *row)
{
  if (orders->ops->changed)
    orders->ops->changed (orders->ctx, now, &row->order);
}

static list_t *
member_list (orders_t *orders, const char *member)
{
  list_t *list = (list_t *)g_hash_table_lookup (orders->by_member, member);

  if (!list)
    {
      list = g_new0 (list_t, 1);
      g_hash_table_insert (orders->by_member, g_strdup (member), list);
    }
  return list;
}

static list_t *
shard_list (orders_t *orders, uint32_t shard)
{
  gpointer key = GUINT_TO_POINTER (shard);
  list_t *list = (list_t *)g_hash_table_lookup (orders->by_shard, key);

  if (!list)
    {
      list = g_new0 (list_t, 1);
      g_hash_table_insert (orders->by_shard, key, list);
    }
  return list;
}

static void
list_append (list_t *list, list_kind_t kind, row_t *row)
{
  row->prev[kind] = list->last;
  row->next[kind] = NULL;
  if (list->last)
    list->last->next[kind] = row;
  else
    list->first = row;
  list->last = row;
}

static void
list_remove (list_t *list, list_kind_t kind, row_t *row)
{
  row_t *prev = row->prev[kind];
  row_t *next = row->next[kind];

  if (prev)
    prev->next[kind] = next;
  else
    list->first = next;
  if (next)
    next->prev[kind] = prev;
  else
    list->last = prev;
}

static int
compare_accept_rank (gconstpointer a, gconstpointer b, gpointer ctx)
{
  uint64_t rank_a = ((const row_t *)a)->accept_rank;
  uint64_t rank_b = ((const row_t *)b)->accept_rank;

  (void)ctx;
  return (rank_a > rank_b) - (rank_a < rank_b);
}

static guint
hash_id (gconstpointer data)
{
  return (guint)XXH64 (data, sizeof (order_id_t), 0);
}

static gboolean
equal_id (gconstpointer a, gconstpointer b)
{
  return *(const order_id_t *)a == *(const order_id_t *)b;
}

static guint
hash_key (gconstpointer data)
{
  const order_t *order = (const order_t *)data;
  XXH64_hash_t seed = XXH64 (order->member, strlen (order->member), 0);

  return (guint)XXH64 (order->key, strlen (order->key), seed);
}

static gboolean
equal_key (gconstpointer a, gconstpointer b)
{
  const order_t *first = (const order_t *)a;
  const order_t *second = (const order_t *)b;

  return strcmp (first->key, second->key) == 0
         && strcmp (first->member, second->member) == 0;
}

static char *
intern (blob_t blob)
{
  char *text = blob_dup (blob);
  char *shared = g_ref_string_new_intern (text);

  g_free (text);
  return shared;
}

static GBytes *
bytes_of (blob_t blob)
{
  return g_bytes_new (blob.data, blob.len);
}

static blob_t
blob_of_bytes (GBytes *bytes)
{
  gsize len = 0;
  const char *data
      = bytes ? (const char *)g_bytes_get_data (bytes, &len) : NULL;

  return (blob_t){ data, (uint32_t)len };
}

static void
drop_bytes (GBytes **bytes)
{
  if (*bytes)
    g_bytes_unref (*bytes);
  *bytes = NULL;
}
