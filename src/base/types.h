/** @file
 * Time, identifiers and errors shared by all modules.
 */
#ifndef BASE_TYPES_H
#define BASE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Monotonic time in microseconds, suspended time included. */
typedef int64_t usec_t;

#define USEC_PER_MSEC 1000LL
#define USEC_PER_SEC 1000000LL
#define USEC_NEVER INT64_MIN

/** Converts a duration to milliseconds, rounded toward 0. */
int64_t usec_to_msec (usec_t duration);

/** Number that the settings assign to a node. */
typedef uint32_t node_id_t;

/** Identifies one run of a process; chosen at random when it starts. */
typedef uint64_t incarnation_t;

/** Reference to bytes that the blob does not own. */
typedef struct
{
  const char *data;
  uint32_t len;
} blob_t;

/** Makes a blob of a zero-terminated string; the string must outlive it. */
blob_t blob_of (const char *text);

/** Copies a blob into a new zero-terminated string; free with g_free. */
char *blob_dup (blob_t blob);

/** Copies a blob into OUT of SIZE bytes, truncates it to fit and terminates
    it. */
void blob_copy (blob_t blob, char *out, size_t size);

/** Checks whether a blob holds exactly the bytes of TEXT. */
bool blob_equals (blob_t blob, const char *text);

/** An error with the operation and the peer concerned.  Functions return the
    negative error number and fill the record if one is given. */
typedef struct
{
  int code;       /**< negative error number, 0 for none */
  char step[24];  /**< name of the operation */
  char peer[48];  /**< address or name of the remote end, may be empty */
  char text[200]; /**< human-readable message */
} err_t;

/** Fills ERR (may be NULL) and returns CODE.
    @param code negative error number */
int err_set (err_t *err, int code, const char *step, const char *peer,
             const char *format, ...) __attribute__ ((format (printf, 5, 6)));

#endif
