/** @file
 * The entry process: slices connected to sockets, log and timers.
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "settings/settings.h"

/** Runs the process until SIGTERM or SIGINT and a finished drain.
    @return 0 after a planned stop; a negative error number if it could not
    start */
int node_main (const settings_t *settings);

#endif
