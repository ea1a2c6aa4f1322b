/** @file
 * An event loop with real sockets on a paused clock.
 */
#include "support/paused_loop.h"

#define CLOCK_START (100 * USEC_PER_SEC)
/* Rounds of the event loop without an event after which the clock moves. */
#define IDLE_ROUNDS 20U

static ev_idle idle;
static unsigned last_iteration;
static uint32_t rounds;

static void on_idle (EV_P_ ev_idle *watcher, int events);
static void on_end (void *ctx);

struct ev_loop *
paused_loop_new (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);

  clock_pause (CLOCK_START);
  rounds = 0;
  ev_idle_init (&idle, on_idle);
  ev_idle_start (loop, &idle);
  return loop;
}

void
paused_loop_free (struct ev_loop *loop)
{
  clock_resume ();
  ev_loop_destroy (loop);
}

static void
on_idle (EV_P_ ev_idle *watcher, int events)
{
  (void)watcher;
  (void)events;
  rounds = ev_iteration (EV_A) == last_iteration + 1 ? rounds + 1 : 0;
  last_iteration = ev_iteration (EV_A);
  if (rounds < IDLE_ROUNDS)
    return;
  rounds = 0;
  clock_step ();
}

static void
on_end (void *ctx)
{
  ev_break (ctx, EVBREAK_ALL);
}

void
paused_loop_run (struct ev_loop *loop, usec_t span)
{
  clock_timer_t end;

  clock_timer_init (&end, loop, on_end, loop);
  clock_timer_start (&end, span);
  ev_run (loop, 0);
  clock_timer_stop (&end);
}
