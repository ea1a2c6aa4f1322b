/** @file
 * Signals of a service while it starts.
 *
 * A signal that arrives before its handler is set ends the process.  Services
 * therefore block the signals that they handle as the first thing, and unblock
 * them as soon as the event loop watches them: those that came in between are
 * handled then.
 */
#ifndef BASE_SIGNALS_H
#define BASE_SIGNALS_H

/** Blocks SIGHUP, SIGINT, SIGTERM and SIGPIPE. */
void signals_block (void);

/** Unblocks them.  Services call it after their handlers are set. */
void signals_unblock (void);

/** Ignores SIGPIPE: writes to a closed pipe or socket return EPIPE. */
void signals_ignore_pipe (void);

#endif
