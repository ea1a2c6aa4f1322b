/** @file
 * The scheduling process: serves callers and owns shards.
 */
#ifndef SCHEDULER_SCHEDULER_H
#define SCHEDULER_SCHEDULER_H

#include "backend/backend.h"
#include "scheduler/settings.h"

#include <ev.h>

/** Runs the process until a planned stop after SIGTERM or SIGINT.
    @return 0 after a planned stop; a negative error number if the process
    could not start */
int scheduler_main (struct ev_loop *loop, const scheduler_settings_t *settings,
                    const backend_t *backend);

#endif
