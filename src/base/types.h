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

/** @return a span in milliseconds */
int64_t usec_to_msec (usec_t span);

/** Number of a node, from its settings. */
typedef uint32_t node_id_t;

/** Identifies one life of a process; drawn at random when it starts. */
typedef uint64_t incarnation_t;

/** Bytes owned by somebody else. */
typedef struct
{
  const char *data;
  uint32_t len;
} blob_t;

/** Makes a blob of a zero-terminated string; the string must outlive it. */
blob_t blob_of (const char *text);

/** Copies a blob into a new zero-terminated string; free with g_free. */
char *blob_dup (blob_t blob);

/** Copies a blob into OUT of SIZE bytes, cut if it is longer, and terminates
    it. */
void blob_copy (blob_t blob, char *out, size_t size);

/** Tells whether a blob holds exactly the bytes of TEXT. */
bool blob_equals (blob_t blob, const char *text);

/** An error with the step and the peer at which it arose.  Functions return
    the negative error number and fill the record if one is given. */
typedef struct
{
  int code;       /**< negative error number, 0 for none */
  char step[24];  /**< what was being done */
  char peer[48];  /**< address or name of the other end, may be empty */
  char text[200]; /**< message for a person */
} err_t;

/** Fills ERR (may be NULL) and returns CODE.
    @param code negative error number */
int err_set (err_t *err, int code, const char *step, const char *peer,
             const char *format, ...) __attribute__ ((format (printf, 5, 6)));

#endif
