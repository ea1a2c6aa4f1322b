/* Fuzz target: frames of peers and entries of the log. */
#include "base/messages.h"
#include "fuzz.h"

#include <string.h>

/* Guards against bytes on which the decoder crashes, and against a message
   that changes when it is encoded and decoded again. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  blob_t bytes = { (const char *)data, (uint32_t)size };
  blob_t sequence = bytes;
  message_t message;
  message_t again;
  err_t err;

  while (wire_next (&sequence).len)
    continue;
  if (message_decode (bytes, &message, &err) == 0)
    {
      GByteArray *first = g_byte_array_new ();
      GByteArray *second = g_byte_array_new ();

      message_encode (&message, first);
      FUZZ_CHECK (
          message_decode ((blob_t){ (const char *)first->data, first->len },
                          &again, &err)
          == 0);
      message_encode (&again, second);
      FUZZ_CHECK (first->len == second->len
                  && memcmp (first->data, second->data, first->len) == 0);
      message_clear (&again);
      g_byte_array_free (first, TRUE);
      g_byte_array_free (second, TRUE);
    }
  message_clear (&message);
  return 0;
}
