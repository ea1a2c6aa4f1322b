/** @file
 * Bounded open-loop load generator; prints one JSON object.
 *
 * Exit status: 0; 1 if an answer was not the caller's own, an accepted order
 * is missing or work ran whose caller was told that it did not; 2 usage.
 */
#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define TICK_S 0.001
#define MOST_FILES 32768
#define AUDIT_TIMEOUT_MS 5000L
#define HASH_LINE 17
#define HASHES_A_CALL 50000

static double rate = 100.0;
static double order_rate;
static double warm_up_s;
static double seconds = 5.0;
static double order_wait_s = 20.0;
static double cancel;
static int seed = 1;
static int retries = 2;
static int timeout_ms = 3000;
static int body_bytes = 200;
static int run_ms;
static int most_in_flight = 4000;
static gboolean direct;
static gchar *audit;
static gchar **targets;
static gchar **lc_classes;
static gchar **order_classes;

static const GOptionEntry options[] = {
  { "target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &targets,
    "entry process (or instance); may be repeated", "IP:PORT" },
  { "lc", 0, 0, G_OPTION_ARG_STRING_ARRAY, &lc_classes, "LC class of the mix",
    "CLASS:WEIGHT:KEY" },
  { "order", 0, 0, G_OPTION_ARG_STRING_ARRAY, &order_classes,
    "batch class of the mix", "CLASS:WEIGHT:KEY" },
  { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate, "LC requests a second", "R" },
  { "order-rate", 0, 0, G_OPTION_ARG_DOUBLE, &order_rate, "orders a second",
    "R" },
  { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &seconds, "time of sending", "S" },
  { "warm-up", 0, 0, G_OPTION_ARG_DOUBLE, &warm_up_s,
    "time of sending whose latencies are left out", "S" },
  { "order-wait", 0, 0, G_OPTION_ARG_DOUBLE, &order_wait_s,
    "time after it in which orders may end", "S" },
  { "cancel", 0, 0, G_OPTION_ARG_DOUBLE, &cancel,
    "share of the orders that are cancelled", "F" },
  { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed; part of keys and bodies",
    "N" },
  { "retries", 0, 0, G_OPTION_ARG_INT, &retries,
    "further tries of an LC request that was not run", "N" },
  { "timeout-ms", 0, 0, G_OPTION_ARG_INT, &timeout_ms,
    "time a caller waits for an LC answer", "MS" },
  { "body-bytes", 0, 0, G_OPTION_ARG_INT, &body_bytes, "size of bodies", "N" },
  { "run-ms", 0, 0, G_OPTION_ARG_INT, &run_ms,
    "service time of LC requests, 0 for that of the class", "MS" },
  { "most-in-flight", 0, 0, G_OPTION_ARG_INT, &most_in_flight,
    "bound of LC requests under way", "N" },
  { "direct", 0, 0, G_OPTION_ARG_NONE, &direct,
    "targets are instances (baseline)", NULL },
  { "audit", 0, 0, G_OPTION_ARG_STRING, &audit,
    "control port of the platform, to check invariant 5", "IP:PORT" },
  { NULL, 0, 0, 0, NULL, NULL, NULL }
};

typedef struct
{
  load_t *load;
  usec_t start;
  usec_t stop;
  double lc_due;    /* number of LC requests sent or due */
  double order_due; /* the same of orders */
} pacer_t;

static bool parse (int *argc, char ***argv);
static GArray *parse_classes (gchar **texts);
static void setup (load_t *load);
static void on_tick (struct ev_loop *loop, ev_timer *watcher, int events);
static void check_not_run (load_t *load);
static void on_checked (void *ctx, const answer_t *answer);
static json_t *report (load_t *load);
static void add_percentiles (json_t *json, GArray *latencies);
static double percentile (const GArray *sorted, double share);
static gint compare (gconstpointer a, gconstpointer b);

int
main (int argc, char **argv)
{
  load_t load = { 0 };
  pacer_t pacer = { .load = &load };
  ev_timer tick;
  json_t *json;
  char *text;

  if (!parse (&argc, &argv))
    return 2;
  setup (&load);
  pacer.start = load_now ();
  pacer.stop = pacer.start + (usec_t)(seconds * USEC_PER_SEC);
  load.measure_from = pacer.start + (usec_t)(warm_up_s * USEC_PER_SEC);
  load.last_answer = pacer.start;
  load.stop_orders_at = pacer.stop + (usec_t)(order_wait_s * USEC_PER_SEC);
  ev_timer_init (&tick, on_tick, 0.0, TICK_S);
  tick.data = &pacer;
  ev_timer_start (load.loop, &tick);
  ev_run (load.loop, 0);
  ev_timer_stop (load.loop, &tick);
  if (audit)
    check_not_run (&load);
  json = report (&load);
  text = json_dumps (json, JSON_REAL_PRECISION (6));
  puts (text);
  free (text);
  json_decref (json);
  caller_free (load.caller);
  g_rand_free (load.random);
  return load.mismatched || load.missing || load.ran_though_not_run;
}

static bool
parse (int *argc, char ***argv)
{
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;
  bool ok;

  g_option_context_add_main_entries (context, options, NULL);
  ok = g_option_context_parse (context, argc, argv, &error);
  g_option_context_free (context);
  if (!ok)
    fprintf (stderr, "%s\n", error->message);
  else if (!targets || (rate > 0.0 && !lc_classes)
           || (order_rate > 0.0 && !order_classes))
    fprintf (stderr, "needs --target and classes (--lc, --order)\n");
  else
    return true;
  return false;
}

static GArray *
parse_classes (gchar **texts)
{
  GArray *classes = g_array_new (FALSE, TRUE, sizeof (load_class_t));

  for (; texts && *texts; texts++)
    {
      char **parts = g_strsplit (*texts, ":", 3);
      guint count = g_strv_length (parts);
      load_class_t kind = { 0 };

      kind.name = g_strdup (count ? parts[0] : "");
      kind.weight = count > 1 ? g_ascii_strtod (parts[1], NULL) : 1.0;
      kind.authorization = g_strdup_printf ("Authorization: Bearer %s",
                                            count > 2 ? parts[2] : "none");
      kind.latencies = g_array_new (FALSE, FALSE, sizeof (double));
      g_array_append_val (classes, kind);
      g_strfreev (parts);
    }
  return classes;
}

static void
setup (load_t *load)
{
  struct rlimit limit;
  gchar **address;

  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = MIN (limit.rlim_max, MOST_FILES);
  setrlimit (RLIMIT_NOFILE, &limit);
  load->loop = ev_default_loop (0);
  load->caller = caller_new (load->loop);
  load->seed = (uint64_t)seed;
  load->random = g_rand_new_with_seed ((guint32)seed);
  load->targets = g_array_new (FALSE, TRUE, sizeof (target_t));
  for (address = targets; *address; address++)
    {
      target_t target = { .address = *address };

      g_array_append_val (load->targets, target);
    }
  load->lc = parse_classes (lc_classes);
  load->orders = parse_classes (order_classes);
  load->direct = direct;
  load->body_bytes = body_bytes;
  load->run_ms = run_ms;
  load->retries = retries;
  load->timeout_ms = timeout_ms;
  load->most_in_flight = most_in_flight;
  load->cancel = cancel;
  load->not_run_hashes = g_string_new (NULL);
}

/* Open loop: what is due is sent, however slow the answers are. */
static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  pacer_t *pacer = watcher->data;
  load_t *load = pacer->load;
  usec_t now = load_now ();
  double passed
      = (double)(MIN (now, pacer->stop) - pacer->start) / USEC_PER_SEC;

  (void)events;
  while (pacer->lc_due + 1.0 <= passed * rate)
    {
      pacer->lc_due += 1.0;
      lc_send (load,
               pacer->start + (usec_t)(pacer->lc_due / rate * USEC_PER_SEC));
    }
  while (pacer->order_due + 1.0 <= passed * order_rate)
    {
      pacer->order_due += 1.0;
      order_send (load);
    }
  if (now >= pacer->stop && !load->in_flight && !load->open_orders)
    ev_break (loop, EVBREAK_ALL);
}

/* Asks the platform whether work ran whose caller was told not-run. */
static void
check_not_run (load_t *load)
{
  char *url = g_strdup_printf ("http://%s/ran", audit);
  const GString *all = load->not_run_hashes;
  size_t at;

  for (at = 0; at < all->len; at += (size_t)HASH_LINE * HASHES_A_CALL)
    {
      call_t call = { .method = "POST",
                      .url = url,
                      .body = all->str + at,
                      .body_len
                      = MIN (all->len - at, (size_t)HASH_LINE * HASHES_A_CALL),
                      .timeout_ms = AUDIT_TIMEOUT_MS,
                      .done = on_checked,
                      .ctx = load };

      caller_start (load->caller, &call);
      ev_run (load->loop, 0);
    }
  g_free (url);
}

static void
on_checked (void *ctx, const answer_t *answer)
{
  load_t *load = ctx;
  json_t *json
      = json_loadb ((char *)answer->body->data, answer->body->len, 0, NULL);

  if (answer->status == 200)
    load->ran_though_not_run
        += (uint64_t)json_integer_value (json_object_get (json, "ran"));
  else
    fprintf (stderr, "standin-load: no audit\n");
  json_decref (json);
  ev_break (load->loop, EVBREAK_ALL);
}

static json_t *
report (load_t *load)
{
  json_t *json = json_object ();
  json_t *classes = json_object ();
  GArray *all = g_array_new (FALSE, FALSE, sizeof (double));
  guint i;

#define LOAD_REPORT(name)                                                     \
  json_object_set_new (json, #name, json_integer ((json_int_t)load->name));
  LOAD_COUNTS (LOAD_REPORT)
#undef LOAD_REPORT
  for (i = 0; i < load->lc->len; i++)
    {
      load_class_t *kind = &g_array_index (load->lc, load_class_t, i);
      json_t *row = json_object ();

      g_array_append_vals (all, kind->latencies->data, kind->latencies->len);
      add_percentiles (row, kind->latencies);
      json_object_set_new (classes, kind->name, row);
    }
  add_percentiles (json, all);
  json_object_set_new (json, "longest_gap_ms",
                       json_real ((double)load->longest_gap / USEC_PER_MSEC));
  json_object_set_new (json, "classes", classes);
  g_array_free (all, TRUE);
  return json;
}

static void
add_percentiles (json_t *json, GArray *latencies)
{
  g_array_sort (latencies, compare);
  json_object_set_new (json, "p50", json_real (percentile (latencies, 0.5)));
  json_object_set_new (json, "p99", json_real (percentile (latencies, 0.99)));
  json_object_set_new (json, "p99.9",
                       json_real (percentile (latencies, 0.999)));
}

static double
percentile (const GArray *sorted, double share)
{
  if (!sorted->len)
    return 0.0;
  return g_array_index (sorted, double,
                        (guint)((double)(sorted->len - 1) * share));
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}
