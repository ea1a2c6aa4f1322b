/** @file
 * The entry process; not available in this version.
 */
#include "node/node.h"

#include <errno.h>

int
node_main (const settings_t *settings)
{
  (void)settings;
  return -ENOSYS;
}
