/** @file
 * Blobs and errors.
 */
#include "base/types.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

int64_t
usec_to_msec (usec_t duration)
{
  return duration / USEC_PER_MSEC;
}

blob_t
blob_of (const char *text)
{
  return (blob_t){ text, (uint32_t)strlen (text) };
}

char *
blob_dup (blob_t blob)
{
  return g_strndup (blob.data ? blob.data : "", blob.len);
}

void
blob_copy (blob_t blob, char *out, size_t size)
{
  size_t len = MIN ((size_t)blob.len, size - 1);

  if (len)
    memcpy (out, blob.data, len);
  out[len] = '\0';
}

bool
blob_equals (blob_t blob, const char *text)
{
  size_t len = strlen (text);
  return blob.len == len && memcmp (blob.data, text, len) == 0;
}

int
err_set (err_t *err, int code, const char *step, const char *peer,
         const char *format, ...)
{
  va_list args;

  if (!err)
    return code;
  err->code = code;
  g_strlcpy (err->step, step, sizeof err->step);
  g_strlcpy (err->peer, peer ? peer : "", sizeof err->peer);
  va_start (args, format);
  vsnprintf (err->text, sizeof err->text, format, args);
  va_end (args);
  return code;
}
