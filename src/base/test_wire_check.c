/* Tests of the validation of msgpack bytes. */
#include "base/messages.h"
#include "base/wire_check.h"
#include "support/suite.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#define ROW(text, length)                                                     \
  {                                                                           \
    { text, sizeof (text) - 1 }, length                                       \
  }

/* Guards against short input that makes the decoder allocate gigabytes, and
   against declared lengths that exceed the input. */
static void
test_lengths (void)
{
  static const struct
  {
    blob_t bytes;
    uint32_t length;
  } rows[] = {
    ROW ("", 0),
    ROW ("\x05", 1),
    ROW ("\xdd\xff\xff\xff\xff\x01", 0),
    ROW ("\xdc\xff\xff\x01", 0),
    ROW ("\x91\xdd\x00\x00\x00\x02\x01", 0),
    ROW ("\x91\xdd\x00\x00\x00\x01\x01", 7),
    ROW ("\xdd\x00\x00\x00", 0),
    ROW ("\x92\x01", 0),
    ROW ("\x92\x01\xff", 3),
    ROW ("\xc4\x02"
         "a",
         0),
    ROW ("\xc4\x02"
         "abc",
         4),
    ROW ("\xc6\xff\xff\xff\xff"
         "a",
         0),
    ROW ("\xcf\x01\x02\x03\x04\x05\x06\x07", 0),
    ROW ("\xcf\x01\x02\x03\x04\x05\x06\x07\x08", 9),
    ROW ("\x80", 0),
    ROW ("\xca\x01\x02\x03\x04", 0),
    ROW ("\xc1", 0),
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      if (wire_check (rows[i].bytes) != rows[i].length)
        printf ("row %zu: %u\n", i, wire_check (rows[i].bytes));
      CU_ASSERT_EQUAL (wire_check (rows[i].bytes), rows[i].length);
    }
}

/* Guards against a check that rejects output of the encoder. */
static void
test_encoded (void)
{
  char text[70000] = "";
  uint64_t numbers[] = { 0, 127, 128, 65535, 65536, UINT64_MAX };
  message_t messages[]
      = { { .type = MSG_CLAIM, .u.claim = { .witnesses = { 6, numbers } } },
          { .type = MSG_WORK, .u.work = { .id = UINT64_MAX } },
          { .type = MSG_ORDER_SNAPSHOT } };
  const uint32_t lengths[] = { 0, 31, 32, 255, 256, 65535, 65536 };

  for (size_t i = 0; i < G_N_ELEMENTS (messages); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (lengths); k++)
      {
        GByteArray *bytes = g_byte_array_new ();

        if (messages[i].type == MSG_WORK)
          messages[i].u.work.body = (blob_t){ text, lengths[k] };
        message_encode (&messages[i], bytes);
        CU_ASSERT_EQUAL (
            wire_check ((blob_t){ (char *)bytes->data, bytes->len }),
            bytes->len);
        g_byte_array_free (bytes, TRUE);
      }
}

static const suite_test_t tests[] = {
  { "lengths", test_lengths },
  { "encoded", test_encoded },
};

int
main (void)
{
  return suite_main ("wire check", tests, G_N_ELEMENTS (tests));
}
