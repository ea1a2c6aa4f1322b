/* Fuzz target: the body of a read of the operator's records, and the records
   in it. */
#include "fuzz.h"
#include "platform/platform_private.h"

#include <glib.h>

/* Guards against a body or a record that crashes its reader, against records
   outside of the body, and against a zone without a name. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const blob_t body = { (const char *)data, (uint32_t)size };
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (store_record_t));

  platform_parse_records (body, 7, rows);
  for (guint i = 0; i < rows->len; i++)
    {
      const store_record_t *record = &g_array_index (rows, store_record_t, i);
      zone_record_t zone = { 0 };
      err_t err = { 0 };
      int code;

      FUZZ_CHECK (record->key.data >= body.data
                  && record->key.data + record->key.len
                         <= body.data + body.len);
      FUZZ_CHECK (!record->value.len
                  || record->value.data + record->value.len
                         <= body.data + body.len);
      code = platform_zone (NULL, record, &zone);
      FUZZ_CHECK (code == 0 || code == -ENOENT || code == -EBADMSG);
      FUZZ_CHECK (code != 0
                  || (zone.zone[0] && (zone.evacuated || !zone.damaged)));
      queues_free (platform_config (NULL, record, &err));
    }
  g_array_free (rows, TRUE);
  return 0;
}
