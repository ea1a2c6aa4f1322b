/** @file
 * Writes, prints and rewrites records with the code of one build.
 */
#include "support/records.h"

#include <stdio.h>
#include <string.h>

int
main (int argc, char **argv)
{
  GString *text;

  if (argc == 3 && strcmp (argv[1], "write") == 0)
    return records_write (argv[2]) ? 1 : 0;
  if (argc == 4 && strcmp (argv[1], "rewrite") == 0)
    return records_rewrite (argv[2], argv[3]) ? 1 : 0;
  if (argc == 4 && strcmp (argv[1], "extend") == 0)
    return records_extend (argv[2], argv[3]) ? 1 : 0;
  if (argc != 3 || strcmp (argv[1], "print") != 0)
    {
      fprintf (stderr,
               "usage: %s write DIR | print DIR | rewrite FROM TO"
               " | extend FROM TO\n",
               argv[0]);
      return 2;
    }
  text = g_string_new (NULL);
  records_print (argv[2], text);
  fputs (text->str, stdout);
  g_string_free (text, TRUE);
  return 0;
}
