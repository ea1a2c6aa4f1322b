/* Fuzz target: the decoder of peer messages and log entries. */
#include "base/messages.h"
#include "fuzz.h"

#include <string.h>

/* Guards against input that crashes the decoder, and against a message that
   changes when it is encoded and decoded again. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  blob_t input = { (const char *)data, (uint32_t)size };
  blob_t rest = input;
  message_t message;
  message_t decoded_again;
  err_t err;

  while (wire_next (&rest).len)
    continue;
  if (message_decode (input, &message, &err) == 0)
    {
      GByteArray *encoded = g_byte_array_new ();
      GByteArray *encoded_again = g_byte_array_new ();

      message_encode (&message, encoded);
      FUZZ_CHECK (message_decode (
                      (blob_t){ (const char *)encoded->data, encoded->len },
                      &decoded_again, &err)
                  == 0);
      message_encode (&decoded_again, encoded_again);
      FUZZ_CHECK (encoded->len == encoded_again->len
                  && memcmp (encoded->data, encoded_again->data, encoded->len)
                         == 0);
      message_clear (&decoded_again);
      g_byte_array_free (encoded, TRUE);
      g_byte_array_free (encoded_again, TRUE);
    }
  message_clear (&message);
  return 0;
}
