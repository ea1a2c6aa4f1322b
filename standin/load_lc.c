/** @file
 * LC requests of the load generator.
 */
#include "load.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define CONNECT_TRIES 10
#define CONNECT_PAUSE_S 0.02
#define LEAST_PAUSE_S 0.05

typedef struct
{
  load_t *load;
  load_class_t *kind;
  uint64_t id;
  unsigned tries;
  int connects; /* tries whose connection never came up */
  usec_t due;
  usec_t patience;
  char address[64];
  GByteArray *body;
  ev_timer timer;
} request_item_t;

static void item_send (request_item_t *item);
static void item_done (void *ctx, const answer_t *answer);
static const char *outcome_of (const load_t *load, const answer_t *answer);
static void item_ran (request_item_t *item, const answer_t *answer);
static void item_not_run (request_item_t *item, const answer_t *answer);
static bool item_again (request_item_t *item, double pause_s);
static void on_timer (struct ev_loop *loop, ev_timer *watcher, int events);
static void item_end (request_item_t *item, uint64_t *count);

void
lc_send (load_t *load, usec_t due)
{
  request_item_t *item;

  if (load->in_flight >= load->most_in_flight)
    {
      load->not_sent++;
      return;
    }
  item = g_new0 (request_item_t, 1);
  item->load = load;
  item->kind = load_draw (load, load->lc);
  item->id = load->next_id++;
  item->due = due;
  item->patience = due + load->timeout_ms * USEC_PER_MSEC;
  item->body = g_byte_array_new ();
  ev_timer_init (&item->timer, on_timer, 0.0, 0.0);
  item->timer.data = item;
  load->in_flight++;
  load->sent++;
  item_send (item);
}

static void
item_send (request_item_t *item)
{
  load_t *load = item->load;
  char line[160];
  char url[160];
  struct curl_slist *headers;
  call_t call = { .method = "POST", .url = url, .done = item_done };

  snprintf (item->address, sizeof item->address, "%s",
            load_target (load)->address);
  load_body (load, item->body, item->id, item->tries, load->run_ms);
  headers = curl_slist_append (NULL, item->kind->authorization);
  headers = curl_slist_append (headers, "Expect:");
  if (load->direct)
    {
      snprintf (line, sizeof line, "Limpethinge-Class: %s", item->kind->name);
      headers = curl_slist_append (headers, line);
      snprintf (url, sizeof url, "http://%s/work", item->address);
    }
  else
    snprintf (url, sizeof url, "http://%s/run/%s", item->address,
              item->kind->name);
  load->tries++;
  item->tries++;
  call.headers = headers;
  call.body = item->body->data;
  call.body_len = item->body->len;
  call.timeout_ms = load->timeout_ms;
  call.ctx = item;
  caller_start (load->caller, &call);
}

static void
item_done (void *ctx, const answer_t *answer)
{
  request_item_t *item = ctx;
  load_t *load = item->load;
  const char *outcome;

  if (answer->code)
    {
      load_set_aside (load, item->address);
      if (!answer->sent && item->connects++ < CONNECT_TRIES
          && item_again (item, CONNECT_PAUSE_S))
        return;
      item_end (item, answer->sent ? &load->transport_errors : &load->not_run);
      return;
    }
  outcome = outcome_of (load, answer);
  if (!strcmp (outcome, "ran"))
    item_ran (item, answer);
  else if (!strcmp (outcome, "not-run"))
    item_not_run (item, answer);
  else
    item_end (item, &load->unknown);
}

/* Without the header (direct calls) the status decides, as for instances. */
static const char *
outcome_of (const load_t *load, const answer_t *answer)
{
  if (answer->outcome)
    return answer->outcome;
  if (answer->status == 503)
    return "not-run";
  return load->direct || answer->status == 200 ? "ran" : "unknown";
}

static void
item_ran (request_item_t *item, const answer_t *answer)
{
  load_t *load = item->load;
  usec_t now = load_now ();
  double ms = (double)(now - item->due) / USEC_PER_MSEC;

  if (answer->status != 200)
    {
      item_end (item, &load->ran_failed);
      return;
    }
  if (answer->body->len != item->body->len
      || memcmp (answer->body->data, item->body->data, item->body->len) != 0)
    {
      item_end (item, &load->mismatched);
      return;
    }
  if (item->due >= load->measure_from)
    g_array_append_val (item->kind->latencies, ms);
  load->longest_gap = MAX (load->longest_gap, now - load->last_answer);
  load->last_answer = now;
  item_end (item, &load->answered);
}

/* Invariant 5: the bytes of this try must not be found at an instance. */
static void
item_not_run (request_item_t *item, const answer_t *answer)
{
  load_t *load = item->load;

  g_string_append_printf (
      load->not_run_hashes, "%016llx\n",
      (unsigned long long)XXH64 (item->body->data, item->body->len, 0));
  if ((int)item->tries <= load->retries + item->connects
      && item_again (item, MAX (answer->retry_after_s, LEAST_PAUSE_S)))
    return;
  item_end (item, &load->not_run);
}

static bool
item_again (request_item_t *item, double pause_s)
{
  if (load_now () + (usec_t)(pause_s * USEC_PER_SEC) > item->patience)
    return false;
  ev_timer_set (&item->timer, pause_s, 0.0);
  ev_timer_start (item->load->loop, &item->timer);
  return true;
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  item_send (watcher->data);
}

static void
item_end (request_item_t *item, uint64_t *count)
{
  (*count)++;
  item->load->in_flight--;
  g_byte_array_free (item->body, TRUE);
  g_free (item);
}
