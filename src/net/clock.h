/** @file
 * Monotonic clock, and timers on it.
 *
 * Tests pause the clock and advance it from timer to timer.
 */
#ifndef NET_CLOCK_H
#define NET_CLOCK_H

#include "base/types.h"

#include <ev.h>

/** @return monotonic time, suspended time included (CLOCK_BOOTTIME) */
usec_t clock_now (void);

typedef void (*clock_timer_fire_t) (void *ctx);

/** A one-shot timer; its fields are private. */
typedef struct
{
  ev_timer timer;
  struct ev_loop *loop;
  clock_timer_fire_t fire;
  void *ctx;
  usec_t due; /**< only while the clock is paused */
} clock_timer_t;

void clock_timer_init (clock_timer_t *timer, struct ev_loop *loop,
                       clock_timer_fire_t fire, void *ctx);

/** Starts the timer, or starts it anew. */
void clock_timer_start (clock_timer_t *timer, usec_t delay);
void clock_timer_stop (clock_timer_t *timer);

/** Pauses the clock at NOW, before the first timer is started. */
void clock_pause (usec_t now);

/** Advances the paused clock to the timer that is due next, and fires it.
    @return false if no timer is started */
bool clock_step (void);

/** Advances the paused clock without firing timers, as if the process had been
    frozen.  Timers that have become due fire late, once each. */
void clock_skip (usec_t span);

/** Has the clock run again; no timer may be started. */
void clock_resume (void);

#endif
