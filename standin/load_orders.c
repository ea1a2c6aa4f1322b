/** @file
 * Orders of the load generator: sent with a unique key, followed to the end.
 */
#include "load.h"

#include <stdio.h>
#include <string.h>

#define LEAST_PAUSE_S 0.2
#define POLL_S 0.25
#define CALL_TIMEOUT_MS 3000

typedef struct
{
  load_t *load;
  load_class_t *kind;
  uint64_t number;
  char address[64];
  char id[32]; /* empty until accepted */
  bool cancel; /* to be cancelled once accepted */
  bool seen;   /* the newest poll found it */
  GByteArray *body;
  ev_timer timer;
} order_item_t;

static void item_call (order_item_t *item, const char *method,
                       const char *path, bool with_body, answer_fn done);
static struct curl_slist *item_headers (const order_item_t *item, bool submit);
static void item_submit (order_item_t *item);
static void submit_done (void *ctx, const answer_t *answer);
static void item_poll (order_item_t *item);
static void poll_done (void *ctx, const answer_t *answer);
static void cancel_done (void *ctx, const answer_t *answer);
static void item_ended (order_item_t *item, json_t *json);
static void item_again (order_item_t *item, double pause_s);
static void on_timer (struct ev_loop *loop, ev_timer *watcher, int events);
static void item_end (order_item_t *item, uint64_t *count);

void
order_send (load_t *load)
{
  order_item_t *item = g_new0 (order_item_t, 1);

  item->load = load;
  item->kind = load_draw (load, load->orders);
  item->number = load->next_id++;
  item->cancel = g_rand_double (load->random) < load->cancel;
  item->body = g_byte_array_new ();
  load_body (load, item->body, item->number, 0, 0);
  ev_timer_init (&item->timer, on_timer, 0.0, 0.0);
  item->timer.data = item;
  load->orders_sent++;
  load->open_orders++;
  item_submit (item);
}

static void
item_call (order_item_t *item, const char *method, const char *path,
           bool with_body, answer_fn done)
{
  load_t *load = item->load;
  char url[160];
  call_t call = { .method = method,
                  .url = url,
                  .timeout_ms = CALL_TIMEOUT_MS,
                  .done = done,
                  .ctx = item };

  snprintf (item->address, sizeof item->address, "%s",
            load_target (load)->address);
  snprintf (url, sizeof url, "http://%s/orders%s", item->address, path);
  call.headers = item_headers (item, with_body);
  if (with_body)
    {
      call.body = item->body->data;
      call.body_len = item->body->len;
    }
  caller_start (load->caller, &call);
}

static struct curl_slist *
item_headers (const order_item_t *item, bool submit)
{
  char line[160];
  struct curl_slist *headers
      = curl_slist_append (NULL, item->kind->authorization);

  headers = curl_slist_append (headers, "Expect:");
  if (!submit)
    return headers;
  snprintf (line, sizeof line, "Idempotency-Key: o-%llu-%llu",
            (unsigned long long)item->load->seed,
            (unsigned long long)item->number);
  headers = curl_slist_append (headers, line);
  snprintf (line, sizeof line, "Limpethinge-Class: %s", item->kind->name);
  return curl_slist_append (headers, line);
}

static void
item_submit (order_item_t *item)
{
  item_call (item, "POST", "", true, submit_done);
}

/* Whatever is not a clear answer is sent again with the same key. */
static void
submit_done (void *ctx, const answer_t *answer)
{
  order_item_t *item = ctx;
  load_t *load = item->load;
  char path[48];
  json_t *json;
  const char *id;

  if (answer->code)
    load_set_aside (load, item->address);
  if (answer->status == 200 || answer->status == 201)
    {
      json = json_loadb ((char *)answer->body->data, answer->body->len, 0,
                         NULL);
      id = json_string_value (json_object_get (json, "order"));
      snprintf (item->id, sizeof item->id, "%s", id ? id : "malformed");
      json_decref (json);
      load->orders_accepted++;
      snprintf (path, sizeof path, "/%s", item->id);
      if (item->cancel)
        item_call (item, "DELETE", path, false, cancel_done);
      else
        item_again (item, POLL_S);
    }
  else if (answer->status >= 400 && answer->status < 429)
    item_end (item, &load->orders_refused);
  else
    item_again (item, MAX (answer->retry_after_s, LEAST_PAUSE_S));
}

static void
item_poll (order_item_t *item)
{
  char path[48];

  snprintf (path, sizeof path, "/%s", item->id);
  item_call (item, "GET", path, false, poll_done);
}

static void
poll_done (void *ctx, const answer_t *answer)
{
  order_item_t *item = ctx;
  json_t *json;
  const char *state;

  if (answer->code)
    load_set_aside (item->load, item->address);
  if (answer->status == 404)
    item->seen = false;
  if (answer->status != 200)
    {
      item_again (item, POLL_S);
      return;
    }
  item->seen = true;
  json = json_loadb ((char *)answer->body->data, answer->body->len, 0, NULL);
  state = json_string_value (json_object_get (json, "state"));
  if (state && !strcmp (state, "ended"))
    item_ended (item, json);
  else
    item_again (item, POLL_S);
  json_decref (json);
}

static void
cancel_done (void *ctx, const answer_t *answer)
{
  (void)answer;
  item_again (ctx, POLL_S);
}

static void
item_ended (order_item_t *item, json_t *json)
{
  load_t *load = item->load;
  const char *outcome = json_string_value (json_object_get (json, "outcome"));
  const char *result = json_string_value (json_object_get (json, "result"));
  json_int_t status = json_integer_value (json_object_get (json, "status"));

  if (!outcome || !strcmp (outcome, "unknown"))
    item_end (item, &load->orders_unknown);
  else if (json_is_true (json_object_get (json, "cancelled")))
    item_end (item, &load->orders_cancelled);
  else if (!strcmp (outcome, "not-run"))
    item_end (item, &load->orders_not_run);
  else if (status != 200)
    item_end (item, &load->orders_failed);
  else if (!result || strlen (result) != item->body->len
           || memcmp (result, item->body->data, item->body->len) != 0)
    item_end (item, &load->mismatched);
  else
    item_end (item, &load->orders_ran);
}

static void
item_again (order_item_t *item, double pause_s)
{
  load_t *load = item->load;

  if (load_now () > load->stop_orders_at)
    {
      item_end (item, !item->id[0] ? &load->orders_refused
                      : item->seen ? &load->orders_pending
                                   : &load->missing);
      return;
    }
  ev_timer_set (&item->timer, pause_s, 0.0);
  ev_timer_start (load->loop, &item->timer);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  order_item_t *item = watcher->data;

  (void)loop;
  (void)events;
  if (item->id[0])
    item_poll (item);
  else
    item_submit (item);
}

static void
item_end (order_item_t *item, uint64_t *count)
{
  (*count)++;
  item->load->open_orders--;
  g_byte_array_free (item->body, TRUE);
  g_free (item);
}
