/** @file
 * Stand-in of the users' platform: command line, timer and configuration.
 * SIGUSR1 ends the spells of workers and the loss of calls before they are
 * executed, SIGUSR2 all faults.
 */
#include "fleet.h"
#include "net/clock.h"

#include <stdio.h>

#define TICK_S 0.005

static void on_tick (EV_P_ ev_timer *timer, int events);
static void put_config (fleet_t *fleet, usec_t now);
static void on_signal (EV_P_ ev_signal *signal, int events);

static void
on_tick (EV_P_ ev_timer *timer, int events)
{
  fleet_t *fleet = timer->data;
  usec_t now = clock_now ();

  (void)loop;
  (void)events;
  put_config (fleet, now);
  fleet_spells_tick (fleet->spells, now);
  fleet_leaving_tick (fleet->leaving, now);
  fleet_entries_tick (fleet->entries, now);
  fleet_paths_tick (fleet->paths, now);
  fleet_workers_tick (fleet->workers, now);
  fleet_store_tick (fleet->store, now);
  fleet_zones_tick (fleet->zones, now);
  fleet_capacity_tick (fleet->capacity, now);
  fleet_odd_tick (fleet->odd_writer, now);
}

static void
on_signal (EV_P_ ev_signal *signal, int events)
{
  fleet_t *fleet = signal->data;

  (void)events;
  if (signal->signum == SIGTERM)
    ev_break (EV_A_ EVBREAK_ALL);
  fleet->spells_over = true;
  fleet->calm = signal->signum == SIGUSR2;
}

/* Two queues on one host, as the configuration states them, and one that
   comes and goes.  */
static const char config_format[]
    = "{\"version\":%u,\"routes\":[{\"name\":\"q1\",\"host\":\"jobs.example\","
      "\"path_prefix\":\"/q1/\",\"timeout_ms\":%u,\"target_latency_ms\":250,"
      "\"priority\":0,\"service\":\"s\",\"attempts\":3,\"stretch\":2},{"
      "\"name\":\"q2\",\"host\":\"jobs.example\",\"path_prefix\":\"/q2/\","
      "\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":2,"
      "\"service\":\"s\",\"attempts\":3,\"stretch\":2}%s],"
      "\"services\":[],\"limits\":{}}";
static const char extra_route[]
    = ",{\"name\":\"q3\",\"host\":\"jobs.example\","
      "\"path_prefix\":\"/q3/\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":250,\"priority\":1,\"service\":\"s\","
      "\"attempts\":3,\"stretch\":2}";

static void
put_config (fleet_t *fleet, usec_t now)
{
  usec_t interval = fleet->config.config_every * USEC_PER_MSEC;
  uint32_t timeout_ms = 3000;
  char *text;

  if (fleet->version && (!interval || fleet->calm || now < fleet->config_due))
    return;
  fleet->config_due = now + interval;
  if (fleet->version)
    {
      fleet->version += (uint32_t)g_rand_int_range (fleet->random, 1, 4);
      timeout_ms = (uint32_t)g_rand_int_range (fleet->random, 2800, 4000);
    }
  else
    fleet->version = 1;
  text = g_strdup_printf (config_format, fleet->version, timeout_ms,
                          fleet->version % 2 ? "" : extra_route);
  fleet_store_put (fleet->store, "keyed.op", "config", text);
  g_free (text);
}

static int
run (fleet_t *fleet)
{
  char address[64];
  httpd_config_t config = { .address = address,
                            .max_connections = 4096,
                            .max_body = 4U << 20,
                            .timeout = 60 * USEC_PER_SEC };
  ev_timer tick;
  ev_signal term;
  ev_signal usr1;
  ev_signal usr2;
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
  fleet->leaving = fleet_leaving_new (fleet);
  fleet->entries = fleet_entries_new (fleet);
  fleet->paths = fleet_paths_new (fleet);
  fleet->workers = fleet_workers_new (fleet);
  fleet->zones = fleet_zones_new (fleet);
  fleet->capacity = fleet_capacity_new (fleet);
  fleet->spells = fleet_spells_new (fleet);
  fleet->odd_writer = fleet_odd_new (fleet);
  put_config (fleet, clock_now ());
  ev_timer_init (&tick, on_tick, TICK_S, TICK_S);
  tick.data = fleet;
  ev_timer_start (fleet->loop, &tick);
  ev_signal_init (&term, on_signal, SIGTERM);
  term.data = fleet;
  ev_signal_start (fleet->loop, &term);
  ev_signal_init (&usr1, on_signal, SIGUSR1);
  usr1.data = fleet;
  ev_signal_start (fleet->loop, &usr1);
  ev_signal_init (&usr2, on_signal, SIGUSR2);
  usr2.data = fleet;
  ev_signal_start (fleet->loop, &usr2);
  ev_run (fleet->loop, 0);
  fleet_odd_free (fleet->odd_writer);
  fleet_capacity_free (fleet->capacity);
  fleet_spells_free (fleet->spells);
  fleet_leaving_free (fleet->leaving);
  fleet_entries_free (fleet->entries);
  fleet_paths_free (fleet->paths);
  fleet_zones_free (fleet->zones);
  fleet_workers_free (fleet->workers);
  fleet_store_free (fleet->store);
  httpd_free (fleet->httpd);
  return 0;
}

static fleet_t standin = { .config = { .seed = 1,
                                       .workers = 6,
                                       .partitions = 12,
                                       .evacuate_ms = 5000,
                                       .shrunk_ms = 3000 } };

static const GOptionEntry fault_entries[] = {
  { "lose", 0, 0, G_OPTION_ARG_DOUBLE, &standin.config.lose,
    "Share of worker calls whose answer is lost", "SHARE" },
  { "late", 0, 0, G_OPTION_ARG_DOUBLE, &standin.config.late,
    "Share of starts that are carried out later", "SHARE" },
  { "drop", 0, 0, G_OPTION_ARG_DOUBLE, &standin.config.drop,
    "Share of worker calls that are lost before they are executed", "SHARE" },
  { "unhealthy-every", 0, 0, G_OPTION_ARG_INT,
    &standin.config.spell_every[SPELL_UNHEALTHY],
    "Time between workers that reject starts for some seconds", "MS" },
  { "loss-every", 0, 0, G_OPTION_ARG_INT,
    &standin.config.spell_every[SPELL_LOSS],
    "Time between workers that lose half of their calls for some seconds",
    "MS" },
  { "late-every", 0, 0, G_OPTION_ARG_INT,
    &standin.config.spell_every[SPELL_LATE],
    "Time between workers that carry out half of their calls later", "MS" },
  { "crash-every", 0, 0, G_OPTION_ARG_INT,
    &standin.config.spell_every[SPELL_CRASH],
    "Time between crashes of a worker", "MS" },
  { "leave-every", 0, 0, G_OPTION_ARG_INT, &standin.config.leave_every,
    "Time between workers that begin to leave", "MS" },
  { "expire", 0, 0, G_OPTION_ARG_NONE, &standin.config.expire,
    "Entries expire after three intervals without a report", NULL },
  { "expire-share", 0, 0, G_OPTION_ARG_DOUBLE, &standin.config.expire_share,
    "Share of outages in which entries expire", "SHARE" },
  { "away-every", 0, 0, G_OPTION_ARG_INT, &standin.config.away_every,
    "Time between workers that do not reach the store for some seconds",
    "MS" },
  { "cut-every", 0, 0, G_OPTION_ARG_INT, &standin.config.cut_every,
    "Time between workers that some owners do not reach", "MS" },
  { "takeover-cut", 0, 0, G_OPTION_ARG_DOUBLE, &standin.config.takeover_cut,
    "Share of owners that do not reach half of the workers at first",
    "SHARE" },
  { "long-share", 0, 0, G_OPTION_ARG_DOUBLE, &standin.config.long_share,
    "Share of runs that last longer than an outage", "SHARE" },
  { "limit-deadly", 0, 0, G_OPTION_ARG_NONE, &standin.config.limit_deadly,
    "Count repeated starts of a task that crashes workers as a violation",
    NULL },
  { "config-every", 0, 0, G_OPTION_ARG_INT, &standin.config.config_every,
    "Time between versions of the configuration", "MS" },
  { "store-lose", 0, 0, G_OPTION_ARG_DOUBLE, &standin.config.store_lose,
    "Share of appends done without an answer", "SHARE" },
  { "outage-every", 0, 0, G_OPTION_ARG_INT, &standin.config.outage_every,
    "Time between outages of the store", "MS" },
  { "deal-every", 0, 0, G_OPTION_ARG_INT, &standin.config.deal_every,
    "Time between redistributions of all partitions", "MS" },
  { "forget-every", 0, 0, G_OPTION_ARG_INT, &standin.config.forget_every,
    "Time between losses of the operator's and the workers' history", "MS" },
  { "evacuate-every", 0, 0, G_OPTION_ARG_INT, &standin.config.evacuate_every,
    "Time between evacuations of a zone", "MS" },
  { "evacuate-ms", 0, 0, G_OPTION_ARG_INT, &standin.config.evacuate_ms,
    "Time after which nothing starts in an evacuated zone", "MS" },
  { "resize-every", 0, 0, G_OPTION_ARG_INT, &standin.config.resize_every,
    "Time between changes of a worker's capacity", "MS" },
  { "odd-every", 0, 0, G_OPTION_ARG_INT, &standin.config.odd_every,
    "Time between odd entries among those of the workers", "MS" },
  { "shrunk-ms", 0, 0, G_OPTION_ARG_INT, &standin.config.shrunk_ms,
    "Time after which no start exceeds a smaller capacity", "MS" },
  G_OPTION_ENTRY_NULL
};

int
main (int argc, char **argv)
{
  fleet_config_t *c = &standin.config;
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
    G_OPTION_ENTRY_NULL
  };
  GOptionContext *context = g_option_context_new ("");
  GError *error = NULL;
  int code = 64;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_main_entries (context, fault_entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, &error))
    {
      c->host = host;
      c->store_port = (uint16_t)store_port;
      c->worker_port = (uint16_t)worker_port;
      if (c->store_port && c->worker_port)
        {
          standin.loop = ev_default_loop (EVFLAG_AUTO);
          standin.random = g_rand_new_with_seed (c->seed);
          code = run (&standin);
          g_rand_free (standin.random);
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
