/** @file
 * Requests of the load balancer and of operators: readiness, counters, status
 * and the state dump.
 */
#include "scheduler/sched_private.h"

#include <stdlib.h>

typedef char *(*resource_t) (const scheduler_t *s, usec_t now);

static void on_ready_request (void *ctx, const httpd_request_t *http);
static void on_operator_request (void *ctx, const httpd_request_t *http);
static void ignore_abandoned (void *ctx, handle_t http);
static bool is_ready (const scheduler_t *s, usec_t now);
static char *metrics_text (const scheduler_t *s, usec_t now);
static char *status_text (const scheduler_t *s, usec_t now);
static char *dump_text (const scheduler_t *s, usec_t now);
static json_t *zones_status (const scheduler_t *s, usec_t now);
static char *json_text (json_t *json);

/* Bodies are released with free. */
static const struct
{
  const char *path;
  const char *content_type;
  resource_t text;
} resources[] = {
  { "/counters", "text/plain; version=0.0.4", metrics_text },
  { "/status", NULL, status_text },
  { "/dump", NULL, dump_text },
};

/* Bodies are not used: a request with one is answered by its head. */
const httpd_ops_t sched_ready_ops = { .request = on_ready_request,
                                      .abandoned = ignore_abandoned,
                                      .head = on_ready_request };
const httpd_ops_t sched_operator_ops = { .request = on_operator_request,
                                         .abandoned = ignore_abandoned,
                                         .head = on_operator_request };

static void
ignore_abandoned (void *ctx, handle_t http)
{
  (void)ctx;
  (void)http;
}

static bool
is_ready (const scheduler_t *s, usec_t now)
{
  return s->queues && !s->stopping && callers_can_submit (s, now);
}

static void
on_ready_request (void *ctx, const httpd_request_t *http)
{
  scheduler_t *s = ctx;
  httpd_answer_t answer = { .status = is_ready (s, clock_now ()) ? 200 : 503,
                            .body = blob_of ("{}") };

  httpd_answer (s->ready, http->handle, &answer);
}

static void
on_operator_request (void *ctx, const httpd_request_t *http)
{
  scheduler_t *s = ctx;
  httpd_answer_t answer = { .status = 404, .body = blob_of ("{}") };
  char *text = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (resources); i++)
    if (strcmp (http->path, resources[i].path) == 0)
      {
        text = resources[i].text (s, clock_now ());
        answer = (httpd_answer_t){ .status = 200,
                                   .content_type = resources[i].content_type,
                                   .body = blob_of (text) };
      }
  httpd_answer (s->operators, http->handle, &answer);
  free (text);
}

static char *
metrics_text (const scheduler_t *s, usec_t now)
{
  char *counters = counters_text ();
  GString *all = g_string_new (counters);
  char *text;

  (void)s;
  (void)now;
  g_free (counters);
  histograms_text (all);
  text = strdup (all->str);
  g_string_free (all, TRUE);
  return text;
}

/* The keys are those that the status of `limpethinge serve` has too, so that
   `limpethinge status` shows both. */
static char *
status_text (const scheduler_t *s, usec_t now)
{
  json_t *shards = json_array ();
  char incarnation[17];

  g_snprintf (incarnation, sizeof incarnation, "%016" PRIx64, s->incarnation);
  for (uint32_t i = 0; i < s->shard_count; i++)
    json_array_append_new (
        shards,
        json_pack (
            "{s:I, s:b}", "owner",
            (json_int_t)(s->shards[i].owned ? s->node : s->owners[i].node),
            "active", shard_is_active (s->shards[i].shard)));
  return json_text (json_pack (
      "{s:I, s:s, s:s, s:s, s:b, s:b, s:I, s:{s:I, s:b}, s:o, s:[], s:o}",
      "node", (json_int_t)s->node, "version", VERSION, "zone",
      s->settings->zone, "incarnation", incarnation, "ready",
      is_ready (s, now), "draining", s->stopping, "bundle",
      (json_int_t)(s->queues ? queues_version (s->queues) : 0), "log",
      "offset", (json_int_t)s->operator_log.next_offset, "healthy",
      sched_store_healthy (s, now), "shards", shards, "peers", "zones",
      zones_status (s, now)));
}

static char *
dump_text (const scheduler_t *s, usec_t now)
{
  json_t *shards = json_array ();

  for (uint32_t i = 0; i < s->shard_count; i++)
    if (s->shards[i].owned)
      json_array_append_new (shards, shard_dump (s->shards[i].shard, now));
  return json_text (json_pack ("{s:o, s:o}", "zones", zones_status (s, now),
                               "shards", shards));
}

/* An age of -1 ms means that the operator's records were never read. */
static json_t *
zones_status (const scheduler_t *s, usec_t now)
{
  usec_t age = zones_age (s->zones, now);

  return json_pack ("{s:I, s:o}", "age_ms",
                    (json_int_t)(age == INT64_MAX ? -1 : usec_to_msec (age)),
                    "evacuated", zones_dump (s->zones, now));
}

static char *
json_text (json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (1));

  json_decref (json);
  return text;
}
