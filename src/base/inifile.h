/** @file
 * INI files described by tables of keys.
 *
 * Each section of a file is parsed into one row, a structure of fixed layout.
 * The tables give the kind, unit, range and default of every key.  Unknown
 * sections, unknown keys and duplicates are problems; all problems of a file
 * are reported together.
 */
#ifndef BASE_INIFILE_H
#define BASE_INIFILE_H

#include "base/types.h"

#include <glib.h>

/** A problem found in a settings file or a bundle. */
typedef struct
{
  int line;
  char key[64];
  char text[160]; /**< the problem and the allowed values */
  bool unknown;   /**< a section or key that a later build may know */
} problem_t;

typedef enum
{
  INI_U32,     /**< uint32_t */
  INI_U64,     /**< uint64_t */
  INI_MSEC,    /**< usec_t, written in milliseconds */
  INI_BOOL,    /**< bool, written yes or no */
  INI_CHOICE,  /**< int, index into the words of choices */
  INI_NAME,    /**< char *, allocated */
  INI_NAMES,   /**< char **, allocated, NULL-terminated; may be continued on
                  indented lines */
  INI_ADDRESS, /**< char[INI_ADDRESS_MAX], IP:port */
  INI_URL,     /**< char[INI_URL_MAX], http://IP:port */
  INI_HASH     /**< uint8_t[32], written as 64 hex digits */
} ini_kind_t;

#define INI_ADDRESS_MAX 64U
#define INI_HOST_MAX 48
#define INI_URL_MAX 128U
#define INI_NAME_MAX 31U

typedef struct
{
  const char *name;
  ini_kind_t kind;
  size_t offset;            /**< in the row */
  const char *default_text; /**< default in file syntax, NULL if the
                         key is required */
  uint64_t min;             /**< smallest number, or fewest names */
  uint64_t max;             /**< largest number, or most names */
  const char *unit;         /**< NULL for none */
  const char *choices;      /**< words of INI_CHOICE, separated by blanks */
} ini_key_t;

typedef struct
{
  const char *name;
  bool named; /**< written [name NAME], may be repeated */
  const ini_key_t *keys;
  size_t key_count;
  /** Creates the row of a section.
      @param name NAME of a named section, else NULL
      @param reason set to the reason if NULL is returned */
  void *(*open) (void *context, const char *name, const char **reason);
} ini_section_t;

typedef struct ini_file ini_file_t;

/** Reads a whole file; free with g_free.
    @param max_len largest size allowed, in bytes
    @return NULL with ERR filled if the file cannot be read or is too large */
char *ini_load (const char *path, uint32_t max_len, gsize *len, err_t *err);

/** Parses TEXT into rows.
    @param check called after the last line to check rules that span keys; may
    be NULL
    @param problems problem_t rows are appended here */
void ini_read (blob_t text, const ini_section_t *sections, size_t count,
               void *context, void (*check) (void *context, ini_file_t *file),
               GArray *problems);

/** Adds a problem at the line of KEY in [section], or at the section header
    if the file does not set KEY.
    @param section as written, e.g. "class proof" */
void ini_problem (ini_file_t *file, const char *section, const char *key,
                  const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Adds a problem that belongs to no INI file being parsed. */
void problem_add (GArray *problems, int line, const char *key,
                  const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Sets a field of a row from text.  @return false if the value is not allowed
 */
bool ini_value_parse (const ini_key_t *key, const char *text, void *row);

/** Appends the names of a continuation line to an INI_NAMES field. */
bool ini_value_extend (const ini_key_t *key, const char *text, void *row);

/** @return the value of a field in file syntax; free with g_free */
char *ini_value_text (const ini_key_t *key, const void *row);

/** Describes the allowed values, e.g. "a number from 1 to 1500 (ms)". */
void ini_value_allowed (const ini_key_t *key, char *out, size_t size);

/** Checks whether TEXT is a valid name: at most INI_NAME_MAX of a-z, 0-9,
   '.', '_' and '-', starting with a letter or digit. */
bool ini_name_valid (const char *text);

/** Splits a numeric IPv4 address "IP:port".
    @return 0 or -EINVAL */
int ini_split_address (const char *text, char host[INI_HOST_MAX],
                       uint16_t *port);

#endif
