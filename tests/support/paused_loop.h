/** @file
 * An event loop with real sockets on a paused clock: the clock moves to the
 * next timer once all sockets are served.
 */
#ifndef SUPPORT_PAUSED_LOOP_H
#define SUPPORT_PAUSED_LOOP_H

#include "net/clock.h"

/** Pauses the clock and creates a loop that moves it. */
struct ev_loop *paused_loop_new (void);
/** Has the clock run again; its timers must be stopped. */
void paused_loop_free (struct ev_loop *loop);

/** Runs the loop for a span of the paused clock. */
void paused_loop_run (struct ev_loop *loop, usec_t span);

#endif
