/** @file
 * Stand-in of the platform: log, list of VMs, instances and workers in one
 * process on 127.0.0.1.
 *
 * Ports from --base-port up: the log and the list; nine more fronts of both,
 * whose clients are named "1" to "9" for log-down-for; the instances; the
 * workers.
 */
#include "platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <xxhash.h>

#define FRONTS 10
#define MOST_FILES 32768

typedef struct
{
  platform_t *platform;
  char client[4]; /* empty for the first front */
} front_t;

static int base_port = 21000;
static int instances = 8;
static int workers = 4;
static int racks = 2;
static int seed = 1;
static int list_lag_ms = 500;
static int retention = 1000000;
static double log_latency_ms = 2.0;
static double time_scale = 1.0;
static gboolean ignore_epochs;
static gchar *zones = "a,b,c,d";
static gchar *control;
static gchar **entries;

static const GOptionEntry options[] = {
  { "base-port", 0, 0, G_OPTION_ARG_INT, &base_port, "first port", "PORT" },
  { "control", 0, 0, G_OPTION_ARG_STRING, &control, "control port",
    "IP:PORT" },
  { "instances", 0, 0, G_OPTION_ARG_INT, &instances, "service instances",
    "N" },
  { "workers", 0, 0, G_OPTION_ARG_INT, &workers, "workers", "M" },
  { "zones", 0, 0, G_OPTION_ARG_STRING, &zones, "names of zones", "A,B,..." },
  { "racks", 0, 0, G_OPTION_ARG_INT, &racks, "racks in each zone", "N" },
  { "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &entries,
    "entry VM of the list; may be repeated", "NODE=IP:PORT[,ZONE]" },
  { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of service times", "N" },
  { "log-latency-ms", 0, 0, G_OPTION_ARG_DOUBLE, &log_latency_ms,
    "time of a log call", "MS" },
  { "log-retention", 0, 0, G_OPTION_ARG_INT, &retention, "records kept", "N" },
  { "list-lag-ms", 0, 0, G_OPTION_ARG_INT, &list_lag_ms,
    "lag of the list behind the VMs", "MS" },
  { "time-scale", 0, 0, G_OPTION_ARG_DOUBLE, &time_scale,
    "factor on service and run times", "F" },
  { "ignore-epochs", 0, 0, G_OPTION_ARG_NONE, &ignore_epochs,
    "workers do not check epochs", NULL },
  { NULL, 0, 0, 0, NULL, NULL, NULL }
};

static void front_handle (void *ctx, request_t *request);
static bool start (platform_t *platform);
static bool start_fronts (platform_t *platform);
static void on_signal (struct ev_loop *loop, ev_signal *watcher, int events);
static void raise_file_limit (void);

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;
  platform_t platform = { 0 };
  ev_signal signals[2];

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return 2;
    }
  g_option_context_free (context);
  raise_file_limit ();
  platform.loop = ev_default_loop (0);
  if (!start (&platform))
    return 1;
  ev_signal_init (&signals[0], on_signal, SIGTERM);
  ev_signal_init (&signals[1], on_signal, SIGINT);
  ev_signal_start (platform.loop, &signals[0]);
  ev_signal_start (platform.loop, &signals[1]);
  ev_run (platform.loop, 0);
  return 0;
}

static bool
start (platform_t *platform)
{
  char **names = g_strsplit (zones, ",", -1);
  uint16_t first = (uint16_t)(base_port + FRONTS);
  bool ok;
  char **entry;

  platform->server = server_new (platform->loop);
  platform->random = g_rand_new_with_seed ((guint32)seed);
  platform->vms = g_ptr_array_new ();
  platform->works = g_hash_table_new (NULL, NULL);
  platform->orders = g_hash_table_new (NULL, NULL);
  platform->list_lag = list_lag_ms * USEC_PER_MSEC;
  platform->check_epochs = !ignore_epochs;
  platform->time_scale = time_scale;
  platform->log
      = log_service_new (platform, log_latency_ms, (uint64_t)retention);
  ok = platform->server && start_fronts (platform)
       && vms_add (platform, VM_INSTANCE, (unsigned)instances, first, names,
                   (unsigned)racks)
       && vms_add (platform, VM_WORKER, (unsigned)workers,
                   (uint16_t)(first + instances), names, (unsigned)racks);
  for (entry = entries; ok && entry && *entry; entry++)
    ok = vms_add_entry (platform, *entry, names);
  if (ok && control && strchr (control, ':'))
    ok = server_listen (platform->server,
                        (uint16_t)number_or (strrchr (control, ':') + 1, 0),
                        control_handle, platform);
  if (!ok)
    fprintf (stderr, "standin-platform: a port is taken or malformed\n");
  g_strfreev (names);
  return ok;
}

static bool
start_fronts (platform_t *platform)
{
  unsigned i;

  for (i = 0; i < FRONTS; i++)
    {
      front_t *front = g_new0 (front_t, 1);

      front->platform = platform;
      if (i)
        snprintf (front->client, sizeof front->client, "%u", i);
      if (!server_listen (platform->server, (uint16_t)(base_port + i),
                          front_handle, front))
        return false;
    }
  return true;
}

/* A client that names the tag of the list it has is spared the list. */
static void
list_reply (request_t *request, char *list)
{
  const char *known = request_header (request, MHD_HTTP_HEADER_IF_NONE_MATCH);

  g_snprintf (request->etag, sizeof request->etag, "\"%016" PRIx64 "\"",
              XXH64 (list, strlen (list), 0));
  if (known && strcmp (known, request->etag) == 0)
    {
      free (list);
      request_status (request, MHD_HTTP_NOT_MODIFIED);
    }
  else
    request_reply (request, MHD_HTTP_OK, list, strlen (list));
}

static void
front_handle (void *ctx, request_t *request)
{
  front_t *front = ctx;
  platform_t *platform = front->platform;
  const char *client = request_query (request, "client");
  char *list;

  if (g_str_has_prefix (request->path, "/log/"))
    log_handle (platform->log, request, client ? client : front->client);
  else if (!strcmp (request->path, "/vms"))
    {
      list = platform->list_frozen ? strdup (platform->frozen_list)
                                   : vms_list (platform);
      list_reply (request, list);
    }
  else
    request_status (request, MHD_HTTP_NOT_FOUND);
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static void
raise_file_limit (void)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = MIN (limit.rlim_max, MOST_FILES);
  setrlimit (RLIMIT_NOFILE, &limit);
}
