/** @file
 * Tables of the keys of a bundle; used by parser and diff.
 */
#ifndef BUNDLE_BUNDLE_KEYS_H
#define BUNDLE_BUNDLE_KEYS_H

#include "bundle/bundle.h"

/** Section kinds in the order in which they are written and compared. */
enum
{
  BUNDLE_HEAD,
  BUNDLE_CLASS,
  BUNDLE_TEAM,
  BUNDLE_MEMBER,
  BUNDLE_VM_KIND,
  BUNDLE_SECTION_COUNT
};

/** The sections; .open expects a bundle_t as its context. */
extern const ini_section_t bundle_sections[BUNDLE_SECTION_COUNT];

/** @return the rows of a named section kind; each begins with its name */
GPtrArray *bundle_rows (const bundle_t *bundle, int section);

/** Finds a row of a section kind by name.  @return NULL if there is none */
void *bundle_row (const bundle_t *bundle, int section, const char *name);

#endif
