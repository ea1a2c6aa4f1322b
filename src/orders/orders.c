/** @file
 * The ledger of batch orders, rebuilt by every process from the log.
 *
 * Every verdict depends only on the entries before it in the log, never on
 * the process that reads them, so all processes reach the same state.
 */
#include "orders/orders.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

typedef struct entry entry_t;

/** Lists that an order can be in at once. */
typedef enum
{
  BY_MEMBER, /* in order of acceptance */
  BY_SHARD,  /* started on a shard's workers */
  BY_OFFSET, /* by the offset of the newest whole entry */
  LIST_COUNT
} list_kind_t;

typedef struct
{
  entry_t *first;
  entry_t *last;
} list_t;

struct entry
{
  order_t order; /* first: an order_t of this module is an entry_t */
  entry_t *prev[LIST_COUNT];
  entry_t *next[LIST_COUNT];
  GSequenceIter *place; /* in the walk of its state */
  uint64_t age;         /* rank of acceptance */
  usec_t ended_at;
};

/** An entry for an order that is not known here. */
typedef struct
{
  uint64_t offset;
  usec_t seen_at;
} stray_t;

struct orders
{
  const orders_ops_t *ops;
  void *ctx;
  GHashTable *by_id;     /* set of entry_t */
  GHashTable *by_key;    /* set of entry_t */
  GHashTable *by_member; /* name -> list_t */
  GHashTable *by_shard;  /* number -> list_t */
  GHashTable *strays;    /* order -> stray_t */
  GSequence *by_state[ORDER_ENDED + 1];
  list_t by_offset;
  uint64_t next_age;
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
static bool may_end (const orders_t *orders, const order_t *order,
                     const msg_order_end_t *end);
static bool snapshot_is_current (const orders_t *orders,
                                 const msg_order_snapshot_t *snapshot);
static void load_snapshot (orders_t *orders, usec_t now, uint64_t offset,
                           const msg_order_snapshot_t *snapshot);
static bool same_state (const order_t *order,
                        const msg_order_snapshot_t *snapshot);
static entry_t *entry_new (orders_t *orders, usec_t now, uint64_t offset,
                           const msg_order_accept_t *accept);
static void entry_remove (orders_t *orders, entry_t *entry);
static void entry_free (gpointer data);
static void enter_state (orders_t *orders, usec_t now, entry_t *entry,
                         order_state_t state);
static void leave_state (orders_t *orders, entry_t *entry);
static entry_t *touch (orders_t *orders, usec_t now, uint64_t offset,
                       order_id_t id);
static entry_t *find_id (const orders_t *orders, order_id_t id);
static entry_t *find_key (const orders_t *orders, const char *member,
                          const char *key);
static void finish (order_t *order, uint64_t outcome, uint64_t status,
                    blob_t result);
static void changed (const orders_t *orders, usec_t now, const entry_t *entry);
static list_t *member_list (orders_t *orders, const char *member);
static list_t *shard_list (orders_t *orders, uint32_t shard);
static void list_append (list_t *list, list_kind_t kind, entry_t *entry);
static void list_remove (list_t *list, list_kind_t kind, entry_t *entry);
static int compare_age (gconstpointer a, gconstpointer b, gpointer ctx);
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
} rules[] = {
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
  orders->by_id = g_hash_table_new_full (hash_id, equal_id, entry_free, NULL);
  orders->by_key = g_hash_table_new (hash_key, equal_key);
  orders->by_member
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  orders->by_shard = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  orders->strays
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
  g_hash_table_destroy (orders->strays);
  g_free (orders);
}

order_apply_result_t
orders_apply (orders_t *orders, usec_t now, uint64_t offset,
              const message_t *entry, order_id_t *id)
{
  order_id_t unused;

  for (size_t i = 0; i < G_N_ELEMENTS (rules); i++)
    if (rules[i].type == entry->type)
      return rules[i].apply (orders, now, offset, entry, id ? id : &unused);
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
  GSequenceIter *at = g_sequence_get_begin_iter (orders->by_state[state]);

  while (!g_sequence_iter_is_end (at))
    {
      const entry_t *entry = (const entry_t *)g_sequence_get (at);

      at = g_sequence_iter_next (at);
      if (!visit (ctx, &entry->order))
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
  entry_t *entry = list ? list->last : NULL;

  for (size_t i = 0; entry && i < max; i++)
    {
      entry_t *older = entry->prev[BY_MEMBER];

      visit (ctx, &entry->order);
      entry = older;
    }
}

void
orders_each_on_shard (const orders_t *orders, uint32_t shard,
                      void (*visit) (void *ctx, const order_t *order),
                      void *ctx)
{
  const list_t *list = (const list_t *)g_hash_table_lookup (
      orders->by_shard, GUINT_TO_POINTER (shard));
  entry_t *entry = list ? list->first : NULL;

  while (entry)
    {
      entry_t *next = entry->next[BY_SHARD];

      visit (ctx, &entry->order);
      entry = next;
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
    .may_have_run = order->may_have_run,
    .as_of = order->last_entry_offset,
    .failures = order->failures,
    .body_digest = order->body_digest,
  };
}

size_t
orders_expiring (const orders_t *orders, uint64_t offset, order_id_t *out,
                 size_t max)
{
  const entry_t *entry = orders->by_offset.first;
  size_t count = 0;

  for (; entry && entry->order.full_entry_offset < offset && count < max;
       entry = entry->next[BY_OFFSET])
    out[count++] = entry->order.id;
  return count;
}

void
orders_remove_ended (orders_t *orders, usec_t ended_before)
{
  GSequenceIter *at
      = g_sequence_get_begin_iter (orders->by_state[ORDER_ENDED]);
  GHashTableIter strays;
  gpointer value;

  while (!g_sequence_iter_is_end (at))
    {
      entry_t *entry = (entry_t *)g_sequence_get (at);

      if (entry->ended_at >= ended_before)
        break;
      at = g_sequence_iter_next (at);
      entry_remove (orders, entry);
    }
  g_hash_table_iter_init (&strays, orders->strays);
  while (g_hash_table_iter_next (&strays, NULL, &value))
    if (((const stray_t *)value)->seen_at < ended_before)
      g_hash_table_iter_remove (&strays);
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
      /* Bytes that are not UTF-8 cannot be a JSON string. */
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
  entry_t *entry = find_key (orders, member, key);
  order_apply_result_t verdict = ORDER_APPLIED;

  *id = accept->order;
  if (entry)
    {
      *id = entry->order.id;
      verdict = ORDER_DUPLICATE;
    }
  else if (touch (orders, now, offset, accept->order))
    verdict = ORDER_IGNORED;
  else
    {
      entry = entry_new (orders, now, offset, accept);
      enter_state (orders, now, entry, ORDER_WAITING);
      changed (orders, now, entry);
    }
  g_free (member);
  g_free (key);
  return verdict;
}

static order_apply_result_t
apply_start (orders_t *orders, usec_t now, uint64_t offset,
             const message_t *message, order_id_t *id)
{
  const msg_order_start_t *start = &message->u.order_start;
  entry_t *entry = touch (orders, now, offset, start->order);
  order_t *order = entry ? &entry->order : NULL;

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
  enter_state (orders, now, entry, ORDER_STARTED);
  changed (orders, now, entry);
  return ORDER_APPLIED;
}

static order_apply_result_t
apply_end (orders_t *orders, usec_t now, uint64_t offset,
           const message_t *message, order_id_t *id)
{
  const msg_order_end_t *end = &message->u.order_end;
  entry_t *entry = touch (orders, now, offset, end->order);

  *id = end->order;
  if (!entry || !may_end (orders, &entry->order, end))
    return ORDER_IGNORED;
  finish (&entry->order, end->outcome, end->status, end->result);
  enter_state (orders, now, entry, ORDER_ENDED);
  changed (orders, now, entry);
  return ORDER_APPLIED;
}

static order_apply_result_t
apply_requeue (orders_t *orders, usec_t now, uint64_t offset,
               const message_t *message, order_id_t *id)
{
  const msg_order_requeue_t *requeue = &message->u.order_requeue;
  entry_t *entry = touch (orders, now, offset, requeue->order);
  order_t *order = entry ? &entry->order : NULL;

  *id = requeue->order;
  if (!order || order->state != ORDER_STARTED
      || requeue->attempt != order->attempt || requeue->shard != order->shard
      || requeue->epoch != orders->ops->epoch_of (orders->ctx, order->shard))
    return ORDER_IGNORED;
  if (requeue->reason != REQUEUE_NOT_STARTED)
    order->may_have_run = true;
  if (requeue->reason == REQUEUE_FAILED)
    order->failures++;
  if (requeue->checkpoint.len)
    {
      drop_bytes (&order->checkpoint);
      order->checkpoint = bytes_of (requeue->checkpoint);
    }
  enter_state (orders, now, entry, ORDER_WAITING);
  changed (orders, now, entry);
  return ORDER_APPLIED;
}

static order_apply_result_t
apply_cancel (orders_t *orders, usec_t now, uint64_t offset,
              const message_t *message, order_id_t *id)
{
  const msg_order_cancel_t *cancel = &message->u.order_cancel;
  entry_t *entry = touch (orders, now, offset, cancel->order);

  *id = cancel->order;
  if (!entry || entry->order.state == ORDER_ENDED || entry->order.cancelled
      || !blob_equals (cancel->member, entry->order.member))
    return ORDER_IGNORED;
  entry->order.cancelled = true;
  changed (orders, now, entry);
  return ORDER_APPLIED;
}

/* A snapshot says what its writer had read up to as_of.  An entry of the
   order between as_of and the snapshot may not be in it, so such a snapshot
   is void for every reader; the writer appends a new one. */
static order_apply_result_t
apply_snapshot (orders_t *orders, usec_t now, uint64_t offset,
                const message_t *message, order_id_t *id)
{
  const msg_order_snapshot_t *snapshot = &message->u.order_snapshot;
  bool current = snapshot_is_current (orders, snapshot);

  *id = snapshot->order;
  touch (orders, now, offset, snapshot->order);
  if (!current || snapshot->state > ORDER_ENDED)
    return ORDER_IGNORED;
  load_snapshot (orders, now, offset, snapshot);
  return ORDER_APPLIED;
}

/* A waiting order has no owner; it can only be ended as what it is: not run,
   unless an earlier attempt may have run (invariant 5). */
static bool
may_end (const orders_t *orders, const order_t *order,
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
  const entry_t *entry = find_id (orders, snapshot->order);
  const stray_t *stray;

  if (entry)
    return entry->order.last_entry_offset == snapshot->as_of;
  stray = (const stray_t *)g_hash_table_lookup (orders->strays,
                                                &snapshot->order);
  return !stray || stray->offset <= snapshot->as_of;
}

/* The order that holds the snapshot's key, if it is another one, was
   accepted by this reader only: it began to read after the first ACCEPT of
   the key had expired, so the later ACCEPT looked like the first.  A known
   order is replaced if it differs: it came from an older snapshot that was
   void for readers which had read further back. */
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
  entry_t *entry = find_id (orders, snapshot->order);
  char *member = blob_dup (snapshot->member);
  char *key = blob_dup (snapshot->key);
  entry_t *holder = find_key (orders, member, key);
  uint64_t age = orders->next_age;

  if (holder && holder != entry)
    entry_remove (orders, holder);
  g_free (member);
  g_free (key);
  if (entry && same_state (&entry->order, snapshot))
    {
      list_remove (&orders->by_offset, BY_OFFSET, entry);
      entry->order.full_entry_offset = offset;
      list_append (&orders->by_offset, BY_OFFSET, entry);
      return;
    }
  if (entry)
    {
      age = entry->age;
      entry_remove (orders, entry);
    }
  entry = entry_new (orders, now, offset, &accept);
  entry->age = age;
  entry->order.body_digest = snapshot->body_digest;
  entry->order.attempt = snapshot->attempt;
  entry->order.worker = intern (snapshot->worker);
  entry->order.shard = (uint32_t)snapshot->shard;
  entry->order.epoch = snapshot->epoch;
  entry->order.cancelled = snapshot->cancelled != 0;
  entry->order.may_have_run = snapshot->may_have_run != 0;
  entry->order.failures = snapshot->failures;
  if (snapshot->checkpoint.len)
    entry->order.checkpoint = bytes_of (snapshot->checkpoint);
  if (snapshot->state == ORDER_ENDED)
    finish (&entry->order, snapshot->outcome, snapshot->status,
            snapshot->result);
  enter_state (orders, now, entry, (order_state_t)snapshot->state);
  changed (orders, now, entry);
}

static bool
same_state (const order_t *order, const msg_order_snapshot_t *snapshot)
{
  return order->state == snapshot->state && order->attempt == snapshot->attempt
         && order->cancelled == (snapshot->cancelled != 0)
         && order->may_have_run == (snapshot->may_have_run != 0);
}

static entry_t *
entry_new (orders_t *orders, usec_t now, uint64_t offset,
           const msg_order_accept_t *accept)
{
  entry_t *entry = g_new0 (entry_t, 1);
  order_t *order = &entry->order;

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
  entry->age = orders->next_age++;
  g_hash_table_remove (orders->strays, &order->id);
  g_hash_table_add (orders->by_id, entry);
  g_hash_table_add (orders->by_key, entry);
  list_append (member_list (orders, order->member), BY_MEMBER, entry);
  list_append (&orders->by_offset, BY_OFFSET, entry);
  return entry;
}

static void
entry_remove (orders_t *orders, entry_t *entry)
{
  leave_state (orders, entry);
  list_remove (member_list (orders, entry->order.member), BY_MEMBER, entry);
  list_remove (&orders->by_offset, BY_OFFSET, entry);
  g_hash_table_remove (orders->by_key, entry);
  g_hash_table_remove (orders->by_id, entry);
}

static void
entry_free (gpointer data)
{
  entry_t *entry = (entry_t *)data;
  order_t *order = &entry->order;

  g_ref_string_release (order->member);
  g_ref_string_release (order->class_name);
  g_ref_string_release (order->team);
  g_clear_pointer (&order->worker, g_ref_string_release);
  drop_bytes (&order->body);
  drop_bytes (&order->result);
  drop_bytes (&order->checkpoint);
  g_free (order->key);
  g_free (entry);
}

/* Waiting and started orders are kept by age, so that requeued work keeps
   its place; ended ones in the order of their ends. */
static void
enter_state (orders_t *orders, usec_t now, entry_t *entry, order_state_t state)
{
  GSequence *sequence = orders->by_state[state];

  leave_state (orders, entry);
  entry->order.state = state;
  if (state == ORDER_ENDED)
    {
      entry->ended_at = now;
      entry->place = g_sequence_append (sequence, entry);
      return;
    }
  entry->place = g_sequence_insert_sorted (sequence, entry, compare_age, NULL);
  if (state == ORDER_STARTED)
    list_append (shard_list (orders, entry->order.shard), BY_SHARD, entry);
}

static void
leave_state (orders_t *orders, entry_t *entry)
{
  if (!entry->place)
    return;
  g_sequence_remove (entry->place);
  entry->place = NULL;
  if (entry->order.state == ORDER_STARTED)
    list_remove (shard_list (orders, entry->order.shard), BY_SHARD, entry);
}

/* Notes that an entry names the order, whatever its verdict. */
static entry_t *
touch (orders_t *orders, usec_t now, uint64_t offset, order_id_t id)
{
  entry_t *entry = find_id (orders, id);
  stray_t *stray;

  if (entry)
    {
      entry->order.last_entry_offset = offset;
      return entry;
    }
  stray = g_new (stray_t, 1);
  *stray = (stray_t){ offset, now };
  g_hash_table_replace (orders->strays, g_memdup2 (&id, sizeof id), stray);
  return NULL;
}

static entry_t *
find_id (const orders_t *orders, order_id_t id)
{
  return (entry_t *)g_hash_table_lookup (orders->by_id, &id);
}

static entry_t *
find_key (const orders_t *orders, const char *member, const char *key)
{
  const entry_t probe
      = { .order = { .member = (char *)member, .key = (char *)key } };

  return (entry_t *)g_hash_table_lookup (orders->by_key, &probe);
}

/* Body and checkpoint are not needed any more once the outcome is final. */
static void
finish (order_t *order, uint64_t outcome, uint64_t status, blob_t result)
{
  order->outcome = (outcome_t)outcome;
  order->status = status;
  order->result = bytes_of (result);
  drop_bytes (&order->body);
  drop_bytes (&order->checkpoint);
}

static void
changed (const orders_t *orders, usec_t now, const entry_t *entry)
{
  if (orders->ops->changed)
    orders->ops->changed (orders->ctx, now, &entry->order);
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
list_append (list_t *list, list_kind_t kind, entry_t *entry)
{
  entry->prev[kind] = list->last;
  entry->next[kind] = NULL;
  if (list->last)
    list->last->next[kind] = entry;
  else
    list->first = entry;
  list->last = entry;
}

static void
list_remove (list_t *list, list_kind_t kind, entry_t *entry)
{
  entry_t *prev = entry->prev[kind];
  entry_t *next = entry->next[kind];

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
compare_age (gconstpointer a, gconstpointer b, gpointer ctx)
{
  uint64_t age_a = ((const entry_t *)a)->age;
  uint64_t age_b = ((const entry_t *)b)->age;

  (void)ctx;
  return (age_a > age_b) - (age_a < age_b);
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
