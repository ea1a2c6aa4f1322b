/** @file
 * Stand-in of the users' platform: command line and timer.
 */
#include "fleet.h"
#include "net/clock.h"

#include <stdio.h>

#define TICK_S 0.005

static void on_tick (EV_P_ ev_timer *timer, int events);
static void on_signal (EV_P_ ev_signal *signal, int events);

static void
on_tick (EV_P_ ev_timer *timer, int events)
{
  fleet_t *fleet = timer->data;
  usec_t now = clock_now ();

  (void)loop;
  (void)events;
  fleet_workers_tick (fleet->workers, now);
  fleet_store_tick (fleet->store, now);
  fleet_zones_tick (fleet->zones, now);
  fleet_capacity_tick (fleet->capacity, now);
}

static void
on_signal (EV_P_ ev_signal *signal, int events)
{
  (void)signal;
  (void)events;
  ev_break (EV_A_ EVBREAK_ALL);
}

/* Two queues on one host, as the configuration states them.  */
static const char first_config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"q1\",\"host\":\"jobs.example\","
      "\"path_prefix\":\"/q1/\",\"timeout_ms\":3000,\"target_latency_ms\":250,"
      "\"priority\":0,\"service\":\"s\",\"attempts\":3,\"stretch\":2},{"
      "\"name\":\"q2\",\"host\":\"jobs.example\",\"path_prefix\":\"/q2/\","
      "\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":2,"
      "\"service\":\"s\",\"attempts\":3,\"stretch\":2}],\"services\":[],"
      "\"limits\":{}}";

static int
run (fleet_t *fleet)
{
  char address[64];
  httpd_config_t config = { .address = address,
                            .max_connections = 512,
                            .max_body = 4U << 20,
                            .timeout = 60 * USEC_PER_SEC };
  ev_timer tick;
  ev_signal term;
  err_t err = { 0 };

  g_snprintf (address, sizeof address, "%s:%u", fleet->config.host,
              fleet->config.store_port);
  fleet->httpd
      = httpd_new (fleet->loop, &config, &fleet_store_ops, fleet, &err);
  if (!fleet->httpd)
    {
      fprintf (stderr, "%s: %s\n", address, err.text);
      return 1;
    }
  fleet->store = fleet_store_new (fleet);
  fleet->workers = fleet_workers_new (fleet);
  fleet->zones = fleet_zones_new (fleet);
  fleet->capacity = fleet_capacity_new (fleet);
  fleet_store_put (fleet->store, "keyed.op", "config", first_config);
  ev_timer_init (&tick, on_tick, TICK_S, TICK_S);
  tick.data = fleet;
  ev_timer_start (fleet->loop, &tick);
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_start (fleet->loop, &term);
  ev_run (fleet->loop, 0);
  fleet_capacity_free (fleet->capacity);
  fleet_zones_free (fleet->zones);
  fleet_workers_free (fleet->workers);
  fleet_store_free (fleet->store);
  httpd_free (fleet->httpd);
  return 0;
}

int
main (int argc, char **argv)
{
  static fleet_t fleet = { .config = { .seed = 1,
                                       .workers = 6,
                                       .partitions = 12,
                                       .evacuate_ms = 5000,
                                       .shrunk_ms = 3000 } };
  fleet_config_t *c = &fleet.config;
  int store_port = 0;
  int worker_port = 0;
  char *host = g_strdup ("127.0.0.1");
  GOptionEntry entries[] = {
    { "host", 0, 0, G_OPTION_ARG_STRING, &host, "Address of all ports", "IP" },
    { "store-port", 0, 0, G_OPTION_ARG_INT, &store_port, "Port of the store",
      "PORT" },
    { "worker-port", 0, 0, G_OPTION_ARG_INT, &worker_port,
      "Port of the first worker", "PORT" },
    { "workers", 0, 0, G_OPTION_ARG_INT, &c->workers, "Workers", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &c->seed, "Seed of the faults", "N" },
    { "lose", 0, 0, G_OPTION_ARG_DOUBLE, &c->lose,
      "Share of worker calls whose answer is lost", "SHARE" },
    { "late", 0, 0, G_OPTION_ARG_DOUBLE, &c->late,
      "Share of starts that are carried out later", "SHARE" },
    { "store-lose", 0, 0, G_OPTION_ARG_DOUBLE, &c->store_lose,
      "Share of appends done without an answer", "SHARE" },
    { "outage-every", 0, 0, G_OPTION_ARG_INT, &c->outage_every,
      "Time between outages of the store", "MS" },
    { "deal-every", 0, 0, G_OPTION_ARG_INT, &c->deal_every,
      "Time between redistributions of all partitions", "MS" },
    { "forget-every", 0, 0, G_OPTION_ARG_INT, &c->forget_every,
      "Time between losses of the operator's and the workers' history", "MS" },
    { "evacuate-every", 0, 0, G_OPTION_ARG_INT, &c->evacuate_every,
      "Time between evacuations of a zone", "MS" },
    { "evacuate-ms", 0, 0, G_OPTION_ARG_INT, &c->evacuate_ms,
      "Time after which nothing starts in an evacuated zone", "MS" },
    { "resize-every", 0, 0, G_OPTION_ARG_INT, &c->resize_every,
      "Time between changes of a worker's capacity", "MS" },
    { "shrunk-ms", 0, 0, G_OPTION_ARG_INT, &c->shrunk_ms,
      "Time after which no start exceeds a smaller capacity", "MS" },
    G_OPTION_ENTRY_NULL
  };
  GOptionContext *context = g_option_context_new ("");
  GError *error = NULL;
  int code = 64;

  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, &error))
    {
      c->host = host;
      c->store_port = (uint16_t)store_port;
      c->worker_port = (uint16_t)worker_port;
      if (c->store_port && c->worker_port)
        {
          fleet.loop = ev_default_loop (EVFLAG_AUTO);
          fleet.random = g_rand_new_with_seed (c->seed);
          code = run (&fleet);
          g_rand_free (fleet.random);
        }
      else
        fprintf (stderr, "--store-port and --worker-port are required\n");
    }
  else
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
    }
  g_option_context_free (context);
  g_free (host);
  return code;
}
