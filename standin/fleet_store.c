/** @file
 * The store of the stand-in: keyed topics, producers, groups.
 */
#include "fleet.h"
#include "net/clock.h"

#include <string.h>

#define OUTAGE (2 * USEC_PER_SEC)
#define PAGE 500U

typedef struct
{
  char *key;
  GBytes *value; /* empty: dropped */
} record_t;

typedef struct
{
  uint64_t epoch;
  uint64_t sequence;
  uint64_t offset; /* of its last append */
} producer_t;

typedef struct
{
  GPtrArray *records;    /* record_t, by offset */
  GHashTable *producers; /* name -> producer_t */
  uint64_t first;        /* offset of the oldest record that can be read */
} part_t;

typedef struct
{
  char *name;
  uint64_t generation; /* that its last join named */
  usec_t last;
  usec_t lifetime;
} member_t;

typedef struct
{
  char *holder;   /* NULL for none */
  bool revoked;   /* taken from the holder, who does not know yet */
  uint64_t since; /* generation of the revocation */
} share_t;

typedef struct
{
  handle_t http;
  char *topic;
  uint32_t part;
  uint64_t from;
  usec_t until;
} waiting_t;

struct store
{
  fleet_t *fleet;
  GHashTable *topics; /* name/part -> part_t */
  GPtrArray *members; /* member_t */
  share_t *shares;
  uint64_t generation;
  GArray *waiting; /* waiting_t */
  usec_t outage_due;
  usec_t outage_end;
  bool silent;      /* calls get no answer during the outage */
  GArray *silenced; /* handle_t of the HTTP server */
  usec_t deal_due;
  usec_t forget_due;
};

static void on_request (void *ctx, const httpd_request_t *request);
static void on_abandoned (void *ctx, handle_t handle);
const httpd_ops_t fleet_store_ops
    = { .request = on_request, .abandoned = on_abandoned };

static void
record_free (void *data)
{
  record_t *record = data;

  g_free (record->key);
  g_bytes_unref (record->value);
  g_free (record);
}

static void
part_free (void *data)
{
  part_t *part = data;

  g_ptr_array_free (part->records, TRUE);
  g_hash_table_destroy (part->producers);
  g_free (part);
}

static void
member_free (void *data)
{
  member_t *member = data;

  g_free (member->name);
  g_free (member);
}

store_t *
fleet_store_new (fleet_t *fleet)
{
  store_t *store = g_new0 (store_t, 1);
  usec_t now = clock_now ();

  store->fleet = fleet;
  store->topics
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, part_free);
  store->members = g_ptr_array_new_with_free_func (member_free);
  store->shares = g_new0 (share_t, fleet->config.partitions);
  store->waiting = g_array_new (FALSE, FALSE, sizeof (waiting_t));
  store->silenced = g_array_new (FALSE, FALSE, sizeof (handle_t));
  store->outage_due = now + fleet->config.outage_every * USEC_PER_MSEC;
  store->deal_due = now + fleet->config.deal_every * USEC_PER_MSEC;
  store->forget_due = now + fleet->config.forget_every * USEC_PER_MSEC;
  return store;
}

void
fleet_store_free (store_t *store)
{
  for (guint i = 0; i < store->waiting->len; i++)
    g_free (g_array_index (store->waiting, waiting_t, i).topic);
  for (uint32_t i = 0; i < store->fleet->config.partitions; i++)
    g_free (store->shares[i].holder);
  g_hash_table_destroy (store->topics);
  g_ptr_array_free (store->members, TRUE);
  g_free (store->shares);
  g_array_free (store->silenced, TRUE);
  g_array_free (store->waiting, TRUE);
  g_free (store);
}

static part_t *
part_of (store_t *store, const char *topic, uint32_t number)
{
  char *name = g_strdup_printf ("%s/%u", topic, number);
  part_t *part = g_hash_table_lookup (store->topics, name);

  if (part)
    {
      g_free (name);
      return part;
    }
  part = g_new0 (part_t, 1);
  part->records = g_ptr_array_new_with_free_func (record_free);
  part->producers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (store->topics, name, part);
  return part;
}

static void
add_record (part_t *part, const char *key, gsize key_len, const void *value,
            gsize len)
{
  record_t *record = g_new0 (record_t, 1);

  record->key = g_strndup (key, key_len);
  record->value = g_bytes_new (value, len);
  g_ptr_array_add (part->records, record);
}

void
fleet_store_put (store_t *store, const char *topic, const char *key,
                 const char *value)
{
  add_record (part_of (store, topic, 0), key, strlen (key), value,
              strlen (value));
}

bool
fleet_store_is_down (const store_t *store, usec_t now)
{
  return now < store->outage_end;
}

static uint64_t
query_number (store_t *store, handle_t http, const char *name, uint64_t preset)
{
  const char *text = httpd_query (store->fleet->httpd, http, name);

  return text ? g_ascii_strtoull (text, NULL, 10) : preset;
}

static void
answer_fenced (store_t *store, handle_t http, const char *reason)
{
  fleet_answer (store->fleet->httpd, http, 409,
                json_pack ("{s:s}", "reason", reason));
}

static void
append_records (part_t *part, blob_t body)
{
  const char *at = body.data;
  const char *end = body.data + body.len;

  while (end - at >= 5)
    {
      uint32_t len;
      uint8_t key_len = (uint8_t)at[4];

      memcpy (&len, at, sizeof len);
      len = GUINT32_FROM_BE (len);
      if (len > (size_t)(end - at - 4) || key_len + 1U > len)
        return;
      add_record (part, at + 5, key_len, at + 5 + key_len, len - 1 - key_len);
      at += 4 + len;
    }
}

/* @return false if the call was answered as refused */
static bool
check_producer (store_t *store, part_t *part, handle_t http, bool *repeat)
{
  const char *name = httpd_query (store->fleet->httpd, http, "producer");
  uint64_t epoch = query_number (store, http, "epoch", 0);
  uint64_t sequence = query_number (store, http, "sequence", 0);
  producer_t *producer;

  *repeat = false;
  if (!name)
    return true;
  producer = g_hash_table_lookup (part->producers, name);
  if (!producer)
    {
      producer = g_new0 (producer_t, 1);
      g_hash_table_insert (part->producers, g_strdup (name), producer);
    }
  if (epoch < producer->epoch)
    {
      answer_fenced (store, http, "fenced");
      return false;
    }
  if (epoch == producer->epoch && sequence && sequence == producer->sequence)
    *repeat = true;
  else if (epoch == producer->epoch && producer->sequence
           && sequence != producer->sequence + 1)
    {
      answer_fenced (store, http, "seq");
      return false;
    }
  producer->epoch = epoch;
  producer->sequence = sequence;
  return true;
}

static void
append (store_t *store, const httpd_request_t *request)
{
  const char *topic
      = httpd_query (store->fleet->httpd, request->handle, "topic");
  part_t *part
      = part_of (store, topic ? topic : "",
                 (uint32_t)query_number (store, request->handle, "part", 0));
  uint64_t at = query_number (store, request->handle, "at", UINT64_MAX);
  bool repeat;

  if (at != UINT64_MAX && at != part->records->len)
    {
      fleet_answer (store->fleet->httpd, request->handle, 412,
                    json_pack ("{s:i}", "end", (int)part->records->len));
      return;
    }
  if (!check_producer (store, part, request->handle, &repeat))
    return;
  if (!repeat)
    append_records (part, request->body);
  if (fleet_chance (store->fleet, store->fleet->config.store_lose))
    return; /* the caller never hears of it */
  fleet_answer (store->fleet->httpd, request->handle, 200,
                json_pack ("{s:i}", "end", (int)part->records->len));
}

static void
answer_read (store_t *store, const waiting_t *w)
{
  const part_t *part = part_of (store, w->topic, w->part);
  uint64_t head[2] = { GUINT64_TO_BE ((uint64_t)part->records->len),
                       GUINT64_TO_BE (part->first) };
  GByteArray *body;
  httpd_answer_t answer
      = { .status = 200, .content_type = "application/octet-stream" };

  if (w->from < part->first)
    {
      fleet_answer (store->fleet->httpd, w->http, 410,
                    json_pack ("{s:I}", "first", (json_int_t)part->first));
      return;
    }
  body = g_byte_array_new ();
  g_byte_array_append (body, (const guint8 *)head, sizeof head);
  for (uint64_t i = w->from; i < part->records->len; i++)
    {
      const record_t *record = part->records->pdata[i];
      gsize len;
      const void *value = g_bytes_get_data (record->value, &len);
      uint8_t key_len = (uint8_t)strlen (record->key);
      uint32_t all = GUINT32_TO_BE ((uint32_t)(1 + key_len + len));

      g_byte_array_append (body, (const guint8 *)&all, sizeof all);
      g_byte_array_append (body, &key_len, 1);
      g_byte_array_append (body, (const guint8 *)record->key, key_len);
      g_byte_array_append (body, value, (guint)len);
    }
  answer.body = (blob_t){ (char *)body->data, body->len };
  httpd_answer (store->fleet->httpd, w->http, &answer);
  g_byte_array_unref (body);
}

static void
read_log (store_t *store, const httpd_request_t *request)
{
  const char *topic
      = httpd_query (store->fleet->httpd, request->handle, "topic");
  waiting_t w
      = { request->handle, g_strdup (topic ? topic : ""),
          (uint32_t)query_number (store, request->handle, "part", 0),
          query_number (store, request->handle, "from", 0),
          clock_now ()
              + (usec_t)query_number (store, request->handle, "wait_ms", 0)
                    * USEC_PER_MSEC };

  g_array_append_val (store->waiting, w);
}

static void
newest (store_t *store, const httpd_request_t *request)
{
  const char *topic
      = httpd_query (store->fleet->httpd, request->handle, "topic");
  const char *after
      = httpd_query (store->fleet->httpd, request->handle, "depends_on");
  const part_t *part
      = part_of (store, topic ? topic : "",
                 (uint32_t)query_number (store, request->handle, "part", 0));
  GTree *keys = g_tree_new ((GCompareFunc)strcmp);
  json_t *items = json_array ();
  json_t *more = json_false ();

  for (guint i = 0; i < part->records->len; i++)
    {
      record_t *record = part->records->pdata[i];

      g_tree_insert (keys, record->key, GUINT_TO_POINTER (i));
    }
  for (GTreeNode *n = g_tree_node_first (keys); n; n = g_tree_node_next (n))
    {
      guint i = GPOINTER_TO_UINT (g_tree_node_value (n));
      const record_t *record = part->records->pdata[i];
      gsize len;
      const void *value = g_bytes_get_data (record->value, &len);
      char *text;

      if (!len || (after && strcmp (record->key, after) <= 0))
        continue;
      if (json_array_size (items) == PAGE)
        {
          more = json_true ();
          break;
        }
      text = g_base64_encode (value, len);
      json_array_append_new (items,
                             json_pack ("{s:s, s:s, s:i}", "key", record->key,
                                        "value", text, "offset", (int)i));
      g_free (text);
    }
  g_tree_destroy (keys);
  fleet_answer (store->fleet->httpd, request->handle, 200,
                json_pack ("{s:o, s:o, s:i}", "items", items, "more", more,
                           "end", (int)part->records->len));
}

/* --- Groups --- */

static member_t *
member_find (const store_t *store, const char *name)
{
  for (guint i = 0; i < store->members->len; i++)
    {
      member_t *member = store->members->pdata[i];

      if (g_strcmp0 (member->name, name) == 0)
        return member;
    }
  return NULL;
}

static void
share_clear (share_t *share)
{
  g_clear_pointer (&share->holder, g_free);
  share->revoked = false;
}

/* Gives partitions without a holder to the members in turn.  */
static void
deal (store_t *store)
{
  for (uint32_t i = 0; i < store->fleet->config.partitions; i++)
    {
      share_t *share = &store->shares[i];
      const member_t *member;

      if (share->holder || !store->members->len)
        continue;
      member = store->members
                   ->pdata[(i + store->generation) % store->members->len];
      share->holder = g_strdup (member->name);
      store->generation++;
    }
}

static void
drop_member (store_t *store, member_t *member)
{
  for (uint32_t i = 0; i < store->fleet->config.partitions; i++)
    if (g_strcmp0 (store->shares[i].holder, member->name) == 0)
      share_clear (&store->shares[i]);
  store->generation++;
  g_ptr_array_remove (store->members, member);
  deal (store);
}

static void
join (store_t *store, const httpd_request_t *request)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "member"));
  member_t *member = member_find (store, name);
  json_t *parts = json_array ();

  if (name && !member)
    {
      member = g_new0 (member_t, 1);
      member->name = g_strdup (name);
      g_ptr_array_add (store->members, member);
      store->generation++;
    }
  if (member)
    {
      member->generation = (uint64_t)json_integer_value (
          json_object_get (body, "generation"));
      member->last = clock_now ();
      member->lifetime = json_integer_value (json_object_get (body, "ttl_ms"))
                         * USEC_PER_MSEC;
    }
  for (uint32_t i = 0; name && i < store->fleet->config.partitions; i++)
    if (store->shares[i].revoked
        && g_strcmp0 (store->shares[i].holder, name) == 0
        && member->generation >= store->shares[i].since)
      share_clear (&store->shares[i]);
  deal (store);
  for (uint32_t i = 0; name && i < store->fleet->config.partitions; i++)
    if (!store->shares[i].revoked
        && g_strcmp0 (store->shares[i].holder, name) == 0)
      json_array_append_new (parts,
                             json_pack ("[s, i, i]", "keyed.work", (int)i, 0));
  json_decref (body);
  fleet_answer (store->fleet->httpd, request->handle, 200,
                json_pack ("{s:I, s:o}", "generation",
                           (json_int_t)store->generation, "parts", parts));
}

static void
leave (store_t *store, const httpd_request_t *request)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  member_t *member = member_find (
      store, json_string_value (json_object_get (body, "member")));

  if (member)
    drop_member (store, member);
  json_decref (body);
  fleet_answer (store->fleet->httpd, request->handle, 200, json_object ());
}

static void
owners (store_t *store, const httpd_request_t *request)
{
  json_t *parts = json_array ();

  for (uint32_t i = 0; i < store->fleet->config.partitions; i++)
    if (store->shares[i].holder)
      json_array_append_new (parts,
                             json_pack ("[s, i, s, i]", "keyed.work", (int)i,
                                        store->shares[i].holder, 0));
  fleet_answer (store->fleet->httpd, request->handle, 200,
                json_pack ("{s:o}", "parts", parts));
}

/* Outages that the driver starts are no more frequent than others.
   @return whether one has begun */
static bool
begin_outage (store_t *store, usec_t now, usec_t due)
{
  usec_t interval = store->fleet->config.outage_every * USEC_PER_MSEC;

  if (!interval || store->fleet->calm || now < due)
    return false;
  store->outage_end = now + OUTAGE;
  store->outage_due = store->outage_end + interval;
  store->silent = g_rand_boolean (store->fleet->random);
  return true;
}

/* With hold=1 an outage begins that lasts until hold=0, for tests of a given
   order of events.  With silent=1 calls get no answer. */
static void
hold_outage (store_t *store, const httpd_request_t *request, bool hold)
{
  if (store->fleet->config.outage_every)
    {
      fleet_answer (store->fleet->httpd, request->handle, 409,
                    json_pack ("{s:s}", "reason", "outage-every is set"));
      return;
    }
  store->outage_end = hold ? INT64_MAX : clock_now ();
  store->silent = query_number (store, request->handle, "silent", 0) != 0;
  fleet_answer (store->fleet->httpd, request->handle, 200, json_object ());
}

/* Starts an outage, and tells the member that owns the first partition. */
static void
outage (store_t *store, const httpd_request_t *request)
{
  const char *owner = store->shares[0].holder;
  usec_t interval = store->fleet->config.outage_every * USEC_PER_MSEC;
  uint64_t hold = query_number (store, request->handle, "hold", UINT64_MAX);
  bool begun;

  if (hold != UINT64_MAX)
    {
      hold_outage (store, request, hold != 0);
      return;
    }
  begun = begin_outage (store, clock_now (), store->outage_end + interval / 2);
  fleet_answer (store->fleet->httpd, request->handle, 200,
                json_pack ("{s:s}", "owner", begun && owner ? owner : ""));
}

static void
on_request (void *ctx, const httpd_request_t *request)
{
  static const struct
  {
    const char *path;
    void (*run) (store_t *store, const httpd_request_t *request);
  } calls[] = {
    { "/-/log-append", append }, { "/-/log-read", read_log },
    { "/-/log-newest", newest }, { "/-/log-join", join },
    { "/-/log-leave", leave },   { "/-/log-owners", owners },
  };
  fleet_t *fleet = ctx;

  if (strcmp (request->path, "/audit") == 0)
    {
      fleet_answer (fleet->httpd, request->handle, 200,
                    fleet_workers_audit (fleet->workers));
      return;
    }
  if (strcmp (request->path, "/starts") == 0)
    {
      const char *job = httpd_query (fleet->httpd, request->handle, "job");

      fleet_answer (fleet->httpd, request->handle, 200,
                    json_pack ("{s:i}", "starts",
                               (int)fleet_workers_starts (fleet->workers,
                                                          job ? job : "")));
      return;
    }
  if (strcmp (request->path, "/outage") == 0)
    {
      outage (fleet->store, request);
      return;
    }
  if (clock_now () < fleet->store->outage_end)
    {
      if (fleet->store->silent)
        g_array_append_val (fleet->store->silenced, request->handle);
      else
        fleet_answer (fleet->httpd, request->handle, 503, json_object ());
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    if (strcmp (request->path, calls[i].path) == 0)
      {
        calls[i].run (fleet->store, request);
        return;
      }
  fleet_answer (fleet->httpd, request->handle, 400, json_object ());
}

static void
on_abandoned (void *ctx, handle_t handle)
{
  store_t *store = ((fleet_t *)ctx)->store;

  for (guint i = store->waiting->len; i > 0; i--)
    {
      waiting_t *w = &g_array_index (store->waiting, waiting_t, i - 1);

      if (w->http != handle)
        continue;
      g_free (w->topic);
      g_array_remove_index_fast (store->waiting, i - 1);
    }
}

/* All partitions are dealt anew, whoever holds them.  */
static void
revoke_all (store_t *store)
{
  store->generation++;
  for (uint32_t i = 0; i < store->fleet->config.partitions; i++)
    if (store->shares[i].holder)
      {
        store->shares[i].revoked = true;
        store->shares[i].since = store->generation;
      }
}

/* The oldest records of the topics that the system does not write are
   dropped; the newest record of each key stays.  */
static void
forget (store_t *store)
{
  static const char *const topics[] = { "keyed.op", "keyed.servers" };

  for (size_t i = 0; i < G_N_ELEMENTS (topics); i++)
    {
      part_t *part = part_of (store, topics[i], 0);

      part->first = part->records->len;
    }
}

/* Connections whose requests have no answer are kept open for good, also when
   the client has closed them.  */
static void
end_silence (store_t *store)
{
  for (guint i = 0; i < store->silenced->len; i++)
    fleet_answer (store->fleet->httpd,
                  g_array_index (store->silenced, handle_t, i), 503,
                  json_object ());
  g_array_set_size (store->silenced, 0);
}

void
fleet_store_tick (store_t *store, usec_t now)
{
  const fleet_config_t *config = &store->fleet->config;
  bool calm = store->fleet->calm;

  if (now >= store->outage_end)
    end_silence (store);
  (void)begin_outage (store, now, store->outage_due);
  if (config->deal_every && !calm && now >= store->deal_due)
    {
      store->deal_due = now + config->deal_every * USEC_PER_MSEC;
      revoke_all (store);
    }
  if (config->forget_every && !calm && now >= store->forget_due)
    {
      store->forget_due = now + config->forget_every * USEC_PER_MSEC;
      forget (store);
    }
  for (guint i = store->members->len; i > 0; i--)
    {
      member_t *member = store->members->pdata[i - 1];

      if (now >= store->outage_end && now - member->last > member->lifetime)
        drop_member (store, member);
    }
  for (guint i = store->waiting->len; i > 0; i--)
    {
      waiting_t w = g_array_index (store->waiting, waiting_t, i - 1);

      if (part_of (store, w.topic, w.part)->records->len <= w.from
          && now < w.until)
        continue;
      g_array_remove_index_fast (store->waiting, i - 1);
      answer_read (store, &w);
      g_free (w.topic);
    }
}
