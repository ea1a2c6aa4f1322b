/** @file
 * Look-ups in a bundle.
 */
#include "bundle/bundle.h"
#include "bundle/bundle_keys.h"

#include <sodium.h>
#include <string.h>

const work_class_t *
bundle_class (const bundle_t *bundle, const char *name)
{
  return bundle_row (bundle, BUNDLE_CLASS, name);
}

const vm_kind_t *
bundle_vm_kind (const bundle_t *bundle, const char *name)
{
  return bundle_row (bundle, BUNDLE_VM_KIND, name);
}

void
bundle_hash (blob_t key, uint8_t hash[32])
{
  crypto_generichash (hash, 32, (const unsigned char *)key.data, key.len, NULL,
                      0);
}

const member_t *
bundle_member_by_key (const bundle_t *bundle, blob_t key)
{
  uint8_t hash[32];
  uintptr_t found = 0;

  bundle_hash (key, hash);
  /* Every member is compared and the match is taken without a branch, so
     that the time does not depend on which member matches.  */
  for (guint i = 0; i < bundle->members->len; i++)
    {
      const member_t *member = g_ptr_array_index (bundle->members, i);
      int differs = sodium_memcmp (hash, member->key_hash, sizeof hash);
      uintptr_t mask = (uintptr_t)differs; /* 0 or -1 */

      found |= (uintptr_t)member & ~mask;
    }
  return (const member_t *)found;
}

bool
member_may_send (const member_t *member, const char *class_name)
{
  return g_strv_contains ((const char *const *)member->classes, class_name);
}
