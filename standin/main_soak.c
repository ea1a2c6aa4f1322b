/** @file
 * Callers of a soak.  From SIGUSR1 on they submit no more and ask for each
 * job's state until it has ended as it should or time is up.  With --crowd,
 * clients that do not keep the limits instead, until SIGTERM.
 *
 * A line "cut NODE SENT END", in microseconds of the wall clock, is printed
 * for each request that was read and whose connection ended without a complete
 * answer: the driver knows which of them are due to its signals.
 */
#include "net/clock.h"
#include "soak.h"

#include <stdio.h>
#include <string.h>

#define TICK_S 0.01

typedef struct
{
  struct soak *soak;
  connection_t *connection;
  uint32_t node; /* from 1 */
  usec_t due;
  job_t *job;
  ask_t ask;
} user_t;

typedef struct soak
{
  struct ev_loop *loop;
  GRand *random;
  jobs_t *jobs;
  GPtrArray *users; /* user_t */
  int interval_ms;  /* mean time between requests of a connection */
  int settle_s;
  usec_t deadline; /* 0: under load */
  uint32_t answered;
  uint32_t cut;
  uint32_t timed_out;
  uint32_t refused;
  uint32_t without_retry_after;
} soak_t;

static const char *const methods[] = { "POST", "GET", "DELETE" };

static void on_reply (void *ctx, connection_t *connection,
                      const reply_t *reply);

static void
on_reply (void *ctx, connection_t *connection, const reply_t *reply)
{
  user_t *user = ctx;
  soak_t *soak = user->soak;

  (void)connection;
  soak->answered += reply->kind == REPLY_WHOLE;
  soak->timed_out += reply->kind == REPLY_TIMED_OUT;
  if (reply->kind == REPLY_CUT)
    {
      soak->cut++;
      printf ("cut %u %" G_GINT64_FORMAT " %" G_GINT64_FORMAT "\n", user->node,
              reply->sent, g_get_real_time ());
    }
  if (reply->status == 503)
    {
      soak->refused++;
      soak->without_retry_after += !reply->retry_after;
    }
  soak_jobs_reply (soak->jobs, user->job, user->ask, reply);
}

static void
use (user_t *user, usec_t now)
{
  soak_t *soak = user->soak;
  char *path;
  char *body;

  connection_tick (user->connection, now);
  if (now < user->due || !connection_is_ready (user->connection, now))
    return;
  user->due = now
              + g_rand_int_range (soak->random, 1, 2 * soak->interval_ms)
                    * USEC_PER_MSEC;
  user->ask = ASK_STATE;
  user->job = soak->deadline ? soak_jobs_check (soak->jobs)
                             : soak_jobs_draw (soak->jobs, &user->ask);
  if (!user->job)
    return;
  path = soak_job_path (user->job);
  body = user->ask == ASK_SUBMIT ? soak_job_body (user->job) : g_strdup ("");
  connection_send (user->connection, methods[user->ask], path, body, now);
  g_free (path);
  g_free (body);
}

static void
on_tick (EV_P_ ev_timer *timer, int events)
{
  soak_t *soak = timer->data;
  usec_t now = clock_now ();

  (void)events;
  for (guint i = 0; i < soak->users->len; i++)
    use (soak->users->pdata[i], now);
  if (soak->deadline
      && (now > soak->deadline || !soak_jobs_check (soak->jobs)))
    ev_break (EV_A_ EVBREAK_ALL);
}

static void
on_signal (EV_P_ ev_signal *signal, int events)
{
  soak_t *soak = signal->data;

  (void)loop;
  (void)events;
  soak->deadline = clock_now () + soak->settle_s * USEC_PER_SEC;
}

static void
add_users (soak_t *soak, char **nodes, int connections)
{
  for (uint32_t i = 0; nodes && nodes[i]; i++)
    for (int k = 0; k < connections; k++)
      {
        user_t *user = g_new0 (user_t, 1);

        user->soak = soak;
        user->node = i + 1;
        user->connection
            = connection_new (soak->loop, nodes[i], on_reply, user);
        g_ptr_array_add (soak->users, user);
      }
}

/* @return the exit status */
static int
run (soak_t *soak)
{
  ev_timer tick;
  ev_signal usr1;
  uint32_t wrong;

  ev_timer_init (&tick, on_tick, TICK_S, TICK_S);
  tick.data = soak;
  ev_timer_start (soak->loop, &tick);
  ev_signal_init (&usr1, on_signal, SIGUSR1);
  usr1.data = soak;
  ev_signal_start (soak->loop, &usr1);
  ev_run (soak->loop, 0);
  wrong = soak_jobs_report (soak->jobs);
  printf ("%u answers, %u timed out, %u cut, %u refused, %u of them without "
          "Retry-After\n",
          soak->answered, soak->timed_out, soak->cut, soak->refused,
          soak->without_retry_after);
  return wrong || soak->without_retry_after;
}

static void
on_term (EV_P_ ev_signal *signal, int events)
{
  (void)signal;
  (void)events;
  ev_break (EV_A_ EVBREAK_ALL);
}

/* @return the exit status */
static int
run_crowd (struct ev_loop *loop, const crowd_config_t *config)
{
  crowd_t *crowd = crowd_new (loop, config);
  ev_signal term;

  if (!crowd)
    {
      fprintf (stderr, "--crowd %s: unknown kind, or no --node\n",
               config->kind);
      return 64;
    }
  ev_signal_init (&term, on_term, SIGTERM);
  ev_signal_start (loop, &term);
  ev_run (loop, 0);
  crowd_free (crowd);
  return 0;
}

int
main (int argc, char **argv)
{
  crowd_config_t crowd = { .kind = NULL, .path = "/", .count = 400 };
  soak_t soak = { .interval_ms = 100, .settle_s = 60 };
  int seed = 1;
  int jobs = 4000;
  int connections = 3;
  int serving = 0;
  double deadly = 0;
  gboolean forgetful = FALSE;
  char **nodes = NULL;
  GOptionEntry entries[]
      = { { "node", 0, 0, G_OPTION_ARG_STRING_ARRAY, &nodes,
            "Address of a process", "IP:PORT" },
          { "connections", 0, 0, G_OPTION_ARG_INT, &connections,
            "Connections to each process", "N" },
          { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the jobs", "N" },
          { "jobs", 0, 0, G_OPTION_ARG_INT, &jobs, "Most jobs", "N" },
          { "serving", 0, 0, G_OPTION_ARG_INT, &serving,
            "Tasks of a job that serves until the end", "N" },
          { "deadly", 0, 0, G_OPTION_ARG_DOUBLE, &deadly,
            "Share of jobs with a task that crashes its worker", "SHARE" },
          { "forgetful", 0, 0, G_OPTION_ARG_NONE, &forgetful,
            "Some processes do not keep cancels of unknown jobs", NULL },
          { "interval", 0, 0, G_OPTION_ARG_INT, &soak.interval_ms,
            "Time between requests of a connection", "MS" },
          { "settle", 0, 0, G_OPTION_ARG_INT, &soak.settle_s,
            "Time after SIGUSR1 in which each job must end", "S" },
          { "crowd", 0, 0, G_OPTION_ARG_STRING, &crowd.kind,
            "Clients of this kind, to the first node", "KIND" },
          { "crowd-path", 0, 0, G_OPTION_ARG_STRING, &crowd.path,
            "Path of their requests", "PATH" },
          { "crowd-count", 0, 0, G_OPTION_ARG_INT, &crowd.count,
            "How many there are", "N" },
          G_OPTION_ENTRY_NULL };
  GOptionContext *context = g_option_context_new ("");
  GError *error = NULL;
  int code = 64;

  setvbuf (stdout, NULL, _IOLBF, 0);
  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, &error))
    {
      soak.loop = ev_default_loop (EVFLAG_AUTO);
      crowd.address = nodes ? nodes[0] : "";
    }
  if (soak.loop && crowd.kind)
    code = run_crowd (soak.loop, &crowd);
  else if (soak.loop)
    {
      soak.random = g_rand_new_with_seed ((guint32)seed);
      soak.jobs = soak_jobs_new ((uint32_t)seed, (uint32_t)jobs, deadly);
      if (forgetful)
        soak_jobs_set_forgetful (soak.jobs);
      if (serving)
        soak_jobs_add_serving (soak.jobs, (uint32_t)serving);
      soak.users = g_ptr_array_new ();
      add_users (&soak, nodes, connections);
      code = run (&soak);
    }
  else
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
    }
  g_option_context_free (context);
  g_strfreev (nodes);
  return code;
}
