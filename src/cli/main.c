/** @file
 * The program: one binary, a subcommand a job.
 */
#include "base/log.h"

#include <stdio.h>
#include <string.h>

int
main (int argc, char **argv)
{
  if (argc == 2 && strcmp (argv[1], "--version") == 0)
    {
      puts ("limpethinge " VERSION);
      return 0;
    }
  fputs ("usage: limpethinge --version\n", stderr);
  return 64;
}
