/** @file
 * Stand-in of the store: keyed logs, producers, one group.
 */
#define _GNU_SOURCE
#include "site.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PARTITIONS 12
#define PARTS_MAX 64
#define MEMBERS_MAX 64
#define PAGE 500

typedef struct
{
  char *key;
  char *value;
  uint32_t len; /* 0: dropped */
} row_t;

typedef struct
{
  char name[64]; /* topic/part */
  row_t *rows;
  uint64_t count;
  uint64_t room;
  uint64_t epoch; /* of the one producer */
  uint64_t sequence;
  uint64_t last_offset;
  bool produced;
  int64_t free_at; /* the partition has processed its appends */
} part_t;

typedef struct
{
  char name[96];
  int64_t alive_until;
  uint64_t generation; /* that its last join named */
} member_t;

static part_t parts[PARTS_MAX];
static int part_count;
static member_t members[MEMBERS_MAX];
static int member_count;
static char holder[PARTITIONS][96];
static bool revoked[PARTITIONS]; /* from a holder that does not know it yet */
static uint64_t revoked_since[PARTITIONS];
static int64_t deal_due;
static uint64_t generation;
static int64_t slow_until;
static int64_t slow_due;

void
store_init (void)
{
}

static part_t *
part_of (const char *topic, int64_t number)
{
  char name[64];

  snprintf (name, sizeof name, "%s/%d", topic, (int)number);
  for (int i = 0; i < part_count; i++)
    if (strcmp (parts[i].name, name) == 0)
      return &parts[i];
  if (part_count == PARTS_MAX)
    exit (2);
  snprintf (parts[part_count].name, sizeof name, "%s", name);
  return &parts[part_count++];
}

static void
add_row (part_t *part, const char *key, size_t key_len, const void *value,
         uint32_t len)
{
  row_t *row;

  if (part->count == part->room)
    {
      part->room = part->room ? 2 * part->room : 256;
      part->rows = realloc (part->rows, part->room * sizeof (row_t));
    }
  row = &part->rows[part->count++];
  row->key = strndup (key, key_len);
  row->value = malloc (len + 1);
  memcpy (row->value, value, len);
  row->len = len;
}

void
store_put (const char *topic, const char *key, const char *value)
{
  add_row (part_of (topic, 0), key, strlen (key), value,
           (uint32_t)strlen (value));
}

/* Waits without the lock.  */
static void
delay (int64_t until)
{
  while (now_ms () < until)
    wait_changed ();
}

static int
latency (void)
{
  return now_ms () < slow_until ? opt.slow_ms : opt.store_ms;
}

static void
answer_append (answer_t *answer, uint64_t offset, uint64_t end)
{
  answer_json (answer, 200,
               json_pack ("{s:I, s:I}", "offset", (json_int_t)offset, "end",
                          (json_int_t)end));
}

static void
append (const request_t *request, answer_t *answer)
{
  char topic[48] = "";
  char producer[48];
  int64_t now = now_ms ();
  int64_t done;
  part_t *part;
  uint64_t offset;
  const char *at = request->body;
  const char *end = at + request->body_len;

  query_text (request, "topic", topic, sizeof topic);
  part = part_of (topic, query_number (request, "part", 0));
  /* One append at a time, each takes 2 ms. */
  part->free_at = (part->free_at > now ? part->free_at : now) + 2;
  if (part->free_at - now > 2000)
    {
      answer_json (answer, 503, json_object ());
      return;
    }
  done = part->free_at + latency ();
  if (query_number (request, "at", -1) >= 0
      && (uint64_t)query_number (request, "at", -1) != part->count)
    {
      answer_json (answer, 412, json_pack ("{s:I}", "end",
                                           (json_int_t)part->count));
      return;
    }
  if (query_text (request, "producer", producer, sizeof producer))
    {
      uint64_t epoch = (uint64_t)query_number (request, "epoch", 0);
      uint64_t sequence = (uint64_t)query_number (request, "sequence", 0);

      if (epoch < part->epoch)
        {
          answer_json (answer, 409,
                       json_pack ("{s:s}", "reason", "fenced"));
          return;
        }
      if (epoch == part->epoch && part->produced && request->body_len)
        {
          if (sequence == part->sequence)
            {
              delay (done);
              answer_append (answer, part->last_offset, part->count);
              return;
            }
          if (sequence != part->sequence + 1)
            {
              answer_json (answer, 409,
                           json_pack ("{s:s, s:I}", "reason", "seq",
                                      "sequence",
                                      (json_int_t)part->sequence + 1));
              return;
            }
        }
      part->produced = epoch == part->epoch ? part->produced : false;
      part->epoch = epoch;
      if (request->body_len)
        {
          part->produced = true;
          part->sequence = sequence;
        }
    }
  offset = part->count;
  while (end - at >= 5)
    {
      uint32_t len;
      uint8_t key_len = (uint8_t)at[4];

      memcpy (&len, at, 4);
      len = ntohl (len);
      if (len > (size_t)(end - at - 4) || key_len + 1u > len)
        break;
      add_row (part, at + 5, key_len, at + 5 + key_len, len - 1 - key_len);
      at += 4 + len;
    }
  part->last_offset = offset;
  pthread_cond_broadcast (&changed);
  delay (done);
  answer_append (answer, offset, part->count);
}

static void
read_log (const request_t *request, answer_t *answer)
{
  char topic[48] = "";
  uint64_t from = (uint64_t)query_number (request, "from", 0);
  int64_t until = now_ms () + query_number (request, "wait_ms", 0);
  size_t most = (size_t)query_number (request, "max_kb", 1024) * 1024;
  part_t *part;
  size_t len = 16;
  uint64_t count;
  uint64_t big[2];
  char *at;

  query_text (request, "topic", topic, sizeof topic);
  part = part_of (topic, query_number (request, "part", 0));
  delay (now_ms () + latency ());
  while (from >= part->count && now_ms () < until)
    wait_changed ();
  for (count = from; count < part->count && len < most; count++)
    len += 5 + strlen (part->rows[count].key) + part->rows[count].len;
  answer->status = 200;
  at = answer->body = malloc (len + 1);
  answer->len = len;
  big[0] = htobe64 (part->count);
  big[1] = 0;
  memcpy (at, big, 16);
  at += 16;
  for (uint64_t i = from; i < count; i++)
    {
      const row_t *row = &part->rows[i];
      uint8_t key_len = (uint8_t)strlen (row->key);
      uint32_t all = htonl (1 + key_len + row->len);

      memcpy (at, &all, 4);
      at[4] = (char)key_len;
      memcpy (at + 5, row->key, key_len);
      memcpy (at + 5 + key_len, row->value, row->len);
      at += 5 + key_len + row->len;
    }
}

static char *
encode_base64 (const char *data, uint32_t len)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  char *text = malloc ((len + 2) / 3 * 4 + 1);
  char *at = text;

  for (uint32_t i = 0; i < len; i += 3)
    {
      uint32_t left = len - i;
      uint32_t bits = (uint32_t)(unsigned char)data[i] << 16
                      | (left > 1 ? (uint32_t)(unsigned char)data[i + 1] << 8
                                  : 0)
                      | (left > 2 ? (unsigned char)data[i + 2] : 0);

      *at++ = digits[bits >> 18];
      *at++ = digits[bits >> 12 & 63];
      *at++ = left > 1 ? digits[bits >> 6 & 63] : '=';
      *at++ = left > 2 ? digits[bits & 63] : '=';
    }
  *at = '\0';
  return text;
}

typedef struct
{
  const char *key;
  uint64_t offset;
} newest_t;

static int
compare_newest (const void *a, const void *b)
{
  const newest_t *left = a;
  const newest_t *right = b;
  int order = strcmp (left->key, right->key);

  if (order)
    return order;
  return left->offset < right->offset ? 1 : -1;
}

static void
newest (const request_t *request, answer_t *answer)
{
  char topic[48] = "";
  char after[256] = "";
  part_t *part;
  newest_t *rows;
  json_t *items = json_array ();
  bool more = false;

  query_text (request, "topic", topic, sizeof topic);
  query_text (request, "depends_on", after, sizeof after);
  part = part_of (topic, query_number (request, "part", 0));
  delay (now_ms () + latency ());
  rows = malloc ((part->count + 1) * sizeof *rows);
  for (uint64_t i = 0; i < part->count; i++)
    rows[i] = (newest_t){ part->rows[i].key, i };
  qsort (rows, part->count, sizeof *rows, compare_newest);
  for (uint64_t i = 0; i < part->count; i++)
    {
      const row_t *row = &part->rows[rows[i].offset];
      char *text;

      if ((i && strcmp (rows[i].key, rows[i - 1].key) == 0) || !row->len
          || (*after && strcmp (rows[i].key, after) <= 0))
        continue;
      if (json_array_size (items) == PAGE)
        {
          more = true;
          break;
        }
      text = encode_base64 (row->value, row->len);
      json_array_append_new (items,
                             json_pack ("{s:s, s:s, s:I}", "key", rows[i].key,
                                        "value", text, "offset",
                                        (json_int_t)rows[i].offset));
      free (text);
    }
  free (rows);
  answer_json (answer, 200,
               json_pack ("{s:o, s:b, s:I}", "items", items, "more", more,
                          "end", (json_int_t)part->count));
}

/* --- The group --- */

/* Prefers another member than the former holder. */
static char former[PARTITIONS][96];

static void
deal (void)
{
  for (int p = 0; p < PARTITIONS; p++)
    {
      int best = -1;
      int least = 2 * PARTITIONS + 2;

      if (*holder[p])
        continue;
      for (int m = 0; m < member_count; m++)
        {
          int held = 0;

          for (int q = 0; q < PARTITIONS; q++)
            held += strcmp (holder[q], members[m].name) == 0;
          held = 2 * held + (strcmp (members[m].name, former[p]) == 0);
          if (held < least)
            {
              least = held;
              best = m;
            }
        }
      if (best < 0)
        return;
      snprintf (holder[p], sizeof holder[p], "%s", members[best].name);
      snprintf (former[p], sizeof former[p], "%s", members[best].name);
    }
}

static int
held_by (const char *name)
{
  int held = 0;

  for (int p = 0; p < PARTITIONS; p++)
    held += !revoked[p] && strcmp (holder[p], name) == 0;
  return held;
}

static void
revoke (int p)
{
  revoked[p] = true;
  revoked_since[p] = generation;
}

/* Takes partitions from members that hold more than their share.  */
static void
level (void)
{
  for (int m = 0; m < member_count; m++)
    for (int p = 0; p < PARTITIONS; p++)
      if (!revoked[p] && strcmp (holder[p], members[m].name) == 0
          && held_by (members[m].name)
                 > (PARTITIONS + member_count - 1) / member_count)
        revoke (p);
}

static void
drop_member (int m)
{
  for (int p = 0; p < PARTITIONS; p++)
    if (strcmp (holder[p], members[m].name) == 0)
      {
        holder[p][0] = '\0';
        revoked[p] = false;
      }
  members[m] = members[--member_count];
  generation++;
  deal ();
}

static int
find_member (const char *name)
{
  for (int m = 0; m < member_count; m++)
    if (strcmp (members[m].name, name) == 0)
      return m;
  return -1;
}

static void
join (const request_t *request, answer_t *answer)
{
  json_t *body = json_loadb (request->body, request->body_len, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "member"));
  json_t *list = json_array ();
  int m;

  delay (now_ms () + latency ());
  m = name ? find_member (name) : -1;
  if (name && m < 0 && member_count < MEMBERS_MAX)
    {
      m = member_count++;
      snprintf (members[m].name, sizeof members[m].name, "%s", name);
      generation++;
      record ("group: %s joins, generation %d", name, (int)generation);
      level ();
    }
  if (m >= 0)
    {
      members[m].alive_until
          = now_ms ()
            + json_integer_value (json_object_get (body, "ttl_ms"));
      for (int p = 0; p < PARTITIONS; p++)
        if (revoked[p] && strcmp (holder[p], name) == 0
            && (uint64_t)json_integer_value (
                   json_object_get (body, "generation"))
                   >= revoked_since[p])
          {
            holder[p][0] = '\0';
            revoked[p] = false;
          }
      deal ();
      for (int p = 0; p < PARTITIONS; p++)
        if (!revoked[p] && strcmp (holder[p], name) == 0)
          json_array_append_new (list, json_pack ("[s, i, i]", "keyed.work",
                                                  p, 0));
    }
  json_decref (body);
  answer_json (answer, 200,
               json_pack ("{s:I, s:o}", "generation", (json_int_t)generation,
                          "parts", list));
}

static void
leave (const request_t *request, answer_t *answer)
{
  json_t *body = json_loadb (request->body, request->body_len, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "member"));
  int m = name ? find_member (name) : -1;

  if (m >= 0)
    {
      record ("group: %s leaves", name);
      drop_member (m);
    }
  json_decref (body);
  delay (now_ms () + latency ());
  answer_json (answer, 200, json_object ());
}

static void
owners (answer_t *answer)
{
  json_t *list = json_array ();

  delay (now_ms () + latency ());
  for (int p = 0; p < PARTITIONS; p++)
    if (*holder[p])
      json_array_append_new (list, json_pack ("[s, i, s, i]", "keyed.work", p,
                                              holder[p], 0));
  answer_json (answer, 200, json_pack ("{s:o}", "parts", list));
}

void
store_serve (const request_t *request, answer_t *answer)
{
  if (strcmp (request->path, "/-/log-append") == 0)
    append (request, answer);
  else if (strcmp (request->path, "/-/log-read") == 0)
    read_log (request, answer);
  else if (strcmp (request->path, "/-/log-newest") == 0)
    newest (request, answer);
  else if (strcmp (request->path, "/-/log-join") == 0)
    join (request, answer);
  else if (strcmp (request->path, "/-/log-leave") == 0)
    leave (request, answer);
  else if (strcmp (request->path, "/-/log-owners") == 0)
    owners (answer);
  else
    answer_json (answer, 200, json_object ());
}

void
store_tick (void)
{
  int64_t now = now_ms ();

  for (int m = member_count; m > 0; m--)
    if (now > members[m - 1].alive_until)
      {
        record ("group: %s has not joined in time", members[m - 1].name);
        drop_member (m - 1);
      }
  if (trouble && opt.deal_every_ms && now >= deal_due)
    {
      if (deal_due)
        {
          generation++;
          for (int p = 0; p < PARTITIONS; p++)
            if (*holder[p])
              revoke (p);
          record ("group: all partitions are dealt anew");
        }
      deal_due = now + opt.deal_every_ms;
    }
  if (!trouble || !opt.slow_every_ms)
    return;
  if (!slow_due)
    slow_due = now + 1000;
  if (now < slow_due)
    return;
  slow_until = now + opt.slow_for_ms;
  slow_due = now + opt.slow_every_ms;
  record ("store is slow for %d ms", opt.slow_for_ms);
}
