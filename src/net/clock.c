/** @file
 * Monotonic clock, and timers on it.
 */
#include "net/clock.h"

#include <glib.h>
#include <time.h>

#define NSEC_PER_USEC 1000L

/* NULL unless the clock is paused: the started clock_timer_t, in the order of
   their start. */
static GPtrArray *paused_timers;
static usec_t paused_at;

static void on_timer (EV_P_ ev_timer *timer, int events);

usec_t
clock_now (void)
{
  struct timespec now;

  if (paused_timers)
    return paused_at;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return now.tv_sec * USEC_PER_SEC + now.tv_nsec / NSEC_PER_USEC;
}

void
clock_timer_init (clock_timer_t *timer, struct ev_loop *loop,
                  clock_timer_fire_t fire, void *ctx)
{
  ev_init (&timer->timer, on_timer);
  timer->timer.data = timer;
  timer->loop = loop;
  timer->fire = fire;
  timer->ctx = ctx;
}

void
clock_timer_start (clock_timer_t *timer, usec_t delay)
{
  clock_timer_stop (timer);
  if (paused_timers)
    {
      timer->due = paused_at + delay;
      g_ptr_array_add (paused_timers, timer);
      return;
    }
  ev_timer_set (&timer->timer, (double)delay / USEC_PER_SEC, 0.);
  ev_timer_start (timer->loop, &timer->timer);
}

void
clock_timer_stop (clock_timer_t *timer)
{
  if (paused_timers)
    g_ptr_array_remove (paused_timers, timer);
  else if (timer->loop)
    ev_timer_stop (timer->loop, &timer->timer);
}

static void
on_timer (EV_P_ ev_timer *timer, int events)
{
  clock_timer_t *t = timer->data;

  (void)loop;
  (void)events;
  t->fire (t->ctx);
}

void
clock_pause (usec_t now)
{
  paused_timers = g_ptr_array_new ();
  paused_at = now;
}

bool
clock_step (void)
{
  clock_timer_t *next = NULL;

  for (guint i = 0; i < paused_timers->len; i++)
    {
      clock_timer_t *timer = paused_timers->pdata[i];

      if (!next || timer->due < next->due)
        next = timer;
    }
  if (!next)
    return false;
  g_ptr_array_remove (paused_timers, next);
  paused_at = MAX (paused_at, next->due);
  next->fire (next->ctx);
  return true;
}

void
clock_skip (usec_t span)
{
  paused_at += span;
}

void
clock_resume (void)
{
  g_ptr_array_free (paused_timers, TRUE);
  paused_timers = NULL;
}
