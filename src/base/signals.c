/** @file
 * Signals of a service while it starts.
 */
#include "base/signals.h"

#include <signal.h>
#include <stddef.h>

static void change_mask (int how);

void
signals_block (void)
{
  change_mask (SIG_BLOCK);
}

void
signals_unblock (void)
{
  change_mask (SIG_UNBLOCK);
}

void
signals_ignore_pipe (void)
{
  signal (SIGPIPE, SIG_IGN);
}

static void
change_mask (int how)
{
  static const int handled[] = { SIGHUP, SIGINT, SIGTERM, SIGPIPE };
  sigset_t set;

  sigemptyset (&set);
  for (size_t i = 0; i < sizeof handled / sizeof *handled; i++)
    sigaddset (&set, handled[i]);
  sigprocmask (how, &set, NULL);
}
