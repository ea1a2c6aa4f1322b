/** @file
 * The entry process: connects its modules to sockets, the platform's log and
 * timers.
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "settings/settings.h"

/** Runs the process until a planned stop, begun by SIGTERM, SIGINT, an
    operator or the platform's VM list, is complete.
    @return 0 after a planned stop; a negative error number if the process
    could not start */
int node_main (const settings_t *settings);

#endif
