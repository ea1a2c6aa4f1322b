/** @file
 * Stored records and peer frames for tests of builds that run side by side.
 *
 * Compiled with the sources of an earlier build too, so that it uses only
 * what all of them have.
 */
#ifndef SUPPORT_RECORDS_H
#define SUPPORT_RECORDS_H

#include "base/types.h"

#include <glib.h>

/** Adds the text of the records and frames in DIR, as this build reads them,
    to TEXT. */
void records_print (const char *dir, GString *text);

/** Writes a record of each kind and a frame of each type to DIR.
    @return 0, or -EIO */
int records_write (const char *dir);

/** Reads the records in FROM and writes them to TO, as an owner does that
    takes over a shard.
    @return 0, -EIO, or -EBADMSG if one cannot be read */
int records_rewrite (const char *from, const char *to);

/** Writes the records in FROM to TO with a field appended to each array that
    may grow, as a later build may write them.
    @return 0, -EIO, or -EBADMSG if one cannot be read */
int records_extend (const char *from, const char *to);

/** @return whether the records of DIR differ from those of FORMER at most by
    appended fields, and its frames not at all.  Numbers of the interference
    record may differ */
bool records_are_extensions (const char *former, const char *dir);

/** Reads a file of DIR.  @return its bytes, none if there is no such file */
GByteArray *records_read (const char *dir, const char *name);

blob_t records_blob (const GByteArray *bytes);

#endif
