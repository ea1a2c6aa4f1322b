/** @file
 * INI files described by tables of keys.
 *
 * Each section of a file is one row with a fixed layout.  The tables state
 * kind, unit, range and default of every key; unknown sections, unknown keys
 * and duplicates are problems, and all problems of a file are reported at
 * once.
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
  char text[160]; /**< what is wrong and what is allowed */
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
#define INI_URL_MAX 128U
#define INI_NAME_MAX 31U

typedef struct
{
  const char *name;
  ini_kind_t kind;
  size_t offset;            /**< in the row */
  const char *default_text; /**< default as written, NULL if required */
  uint64_t min;             /**< of numbers */
  uint64_t max;             /**< of numbers; of INI_NAMES the most names */
  const char *unit;         /**< NULL for none */
  const char *choices;      /**< words of INI_CHOICE, separated by blanks */
} ini_key_t;

typedef struct
{
  const char *name;
  bool named; /**< written [name NAME], may occur many times */
  const ini_key_t *keys;
  size_t key_count;
  /** Makes the row of a section.
      @param name NAME of a named section, else NULL
      @param why set to what is allowed if NULL is returned */
  void *(*open) (void *context, const char *name, const char **why);
} ini_section_t;

typedef struct ini_file ini_file_t;

/** Reads a whole file; free with g_free.
    @param most bytes that it may have
    @return NULL with ERR filled if it cannot be read or is larger */
char *ini_load (const char *path, uint32_t most, gsize *len, err_t *err);

/** Reads TEXT into rows.
    @param check called after the last line for rules across keys; may be
    NULL
    @param problems problem_t rows are appended here */
void ini_read (blob_t text, const ini_section_t *sections, size_t count,
               void *context, void (*check) (void *context, ini_file_t *file),
               GArray *problems);

/** Adds a problem at the line of [section] key, or of [section] if the file
    does not set the key.
    @param section as written, e.g. "class proof" */
void ini_problem (ini_file_t *file, const char *section, const char *key,
                  const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Adds a problem to a list without a file. */
void problem_add (GArray *problems, int line, const char *key,
                  const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Sets a field of a row from text.  @return false if it is not allowed */
bool ini_value_parse (const ini_key_t *key, const char *text, void *row);

/** Adds the names of a continuation line to an INI_NAMES field. */
bool ini_value_extend (const ini_key_t *key, const char *text, void *row);

/** @return the value of a field as it is written; free with g_free */
char *ini_value_text (const ini_key_t *key, const void *row);

/** Describes what is allowed, e.g. "a number from 1 to 1500 (ms)". */
void ini_value_allowed (const ini_key_t *key, char *out, size_t size);

/** Tells whether TEXT is a name: at most INI_NAME_MAX of a-z, 0-9, '.', '_'
    and '-', the first a letter or digit. */
bool ini_name_valid (const char *text);

/** Splits a numeric IPv4 address "IP:port".
    @return 0 or -EINVAL */
int ini_split_address (const char *text, char host[48], uint16_t *port);

#endif
