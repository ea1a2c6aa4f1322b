/** @file
 * Learned interference between images.
 */
#include "interference/interference.h"

#include <errno.h>
#include <math.h>
#include <msgpack.h>
#include <string.h>

/* Utilization of a task before its first report, and its variance. */
#define LOAD_PRESET 0.45
#define LOAD_VARIANCE 0.04
/* A load moves by about a tenth in a second. */
#define LOAD_DRIFT 0.1
/* Peaks are taken to be at least this high: load is low when a task starts. */
#define PEAK_LEAST 0.55
/* Share of the distance between peak and load that is lost in a second. */
#define PEAK_DECAY 0.1
/* Variance of one report: tails are rough. */
#define REPORT_VARIANCE 0.004
/* Slopes: deviation of an unknown one, of one that counts as known, and the
   least, since effects change with time. */
#define SLOPE_DEVIATION 0.06
#define SLOPE_KNOWN 0.025
#define SLOPE_DEVIATION_LEAST 0.008
#define SLOPE_MOST 0.6
typedef struct
{
  double slope; /* utilization for each core */
  double variance;
  usec_t tried; /* when it was last tried, 0 for never */
} pair_t;

struct interference
{
  GPtrArray *rows;  /* by served: GPtrArray of pair_t by disturbing, or
                       NULL; looked up for each worker at each placement */
  uint32_t pairs;   /* in all rows */
  GHashTable *idle; /* served -> double, lowest tail in ms */
};

/* Decoded models have at most this many rows. */
#define ROWS_MOST 65536U
/* Effects drift while nobody looks: deviation that is added to a slope that
   was learned elsewhere. */
#define SLOPE_DEVIATION_TAKEN 0.01

static int append_bytes (void *data, const char *bytes, size_t len);
static void pack_text (msgpack_packer *p, const char *text);
static void pack_pair (msgpack_packer *p, image_id_t served,
                       image_id_t disturbing, const pair_t *pair);
static bool take_idle (interference_t *model, const msgpack_object *row);
static bool take_pair (interference_t *model, const msgpack_object *row);
static image_id_t image_of (const msgpack_object *value);
static double number_of (const msgpack_object *value);
static void row_free (void *data);
static void *cell (const GPtrArray *array, image_id_t number);
static void set_cell (GPtrArray *array, image_id_t number, void *value);
static const pair_t *pair_find (const interference_t *model, image_id_t served,
                                image_id_t disturbing);
static pair_t *pair_get (interference_t *model, image_id_t served,
                         image_id_t disturbing);
static void pair_update (pair_t *pair, double error, double cores,
                         double total);
static double idle_seen (interference_t *model, image_id_t served,
                         double tail_ms);

interference_t *
interference_new (void)
{
  interference_t *model = g_new0 (interference_t, 1);

  model->rows = g_ptr_array_new_with_free_func (row_free);
  model->idle = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return model;
}

void
interference_free (interference_t *model)
{
  if (!model)
    return;
  g_ptr_array_free (model->rows, TRUE);
  g_hash_table_destroy (model->idle);
  g_free (model);
}

image_id_t
interference_image_id (const char *name)
{
  return name && *name ? g_quark_from_string (name) : 0;
}

static void
row_free (void *data)
{
  if (data)
    g_ptr_array_free (data, TRUE);
}

/* @return NULL beyond the end */
static void *
cell (const GPtrArray *array, image_id_t number)
{
  return number < array->len ? array->pdata[number] : NULL;
}

static void
set_cell (GPtrArray *array, image_id_t number, void *value)
{
  if (number >= array->len)
    g_ptr_array_set_size (array, (gint)number + 1);
  array->pdata[number] = value;
}

static const pair_t *
pair_find (const interference_t *model, image_id_t served,
           image_id_t disturbing)
{
  const GPtrArray *row = cell (model->rows, served);

  return row ? cell (row, disturbing) : NULL;
}

static pair_t *
pair_get (interference_t *model, image_id_t served, image_id_t disturbing)
{
  GPtrArray *row = cell (model->rows, served);
  pair_t *pair;

  if (!row)
    {
      row = g_ptr_array_new_with_free_func (g_free);
      set_cell (model->rows, served, row);
    }
  pair = cell (row, disturbing);
  if (pair)
    return pair;
  pair = g_new0 (pair_t, 1);
  pair->variance = SLOPE_DEVIATION * SLOPE_DEVIATION;
  set_cell (row, disturbing, pair);
  model->pairs++;
  return pair;
}

static double
idle_seen (interference_t *model, image_id_t served, double tail_ms)
{
  double *idle = g_hash_table_lookup (model->idle, GUINT_TO_POINTER (served));

  if (!idle)
    {
      idle = g_new0 (double, 1);
      *idle = tail_ms;
      g_hash_table_insert (model->idle, GUINT_TO_POINTER (served), idle);
    }
  *idle = MIN (*idle, tail_ms);
  return *idle;
}

void
interference_observe (interference_t *model, image_id_t served,
                      own_load_t *own, usec_t elapsed, double tail_ms,
                      const disturbance_t *beside, size_t count)
{
  double used = 1 - idle_seen (model, served, tail_ms) / MAX (tail_ms, 1);
  double seconds = (double)elapsed / (double)USEC_PER_SEC;
  double expected;
  double total;
  double error;

  if (!own->variance)
    *own = (own_load_t){ LOAD_PRESET, LOAD_VARIANCE, PEAK_LEAST };
  own->variance
      = MIN (own->variance + LOAD_DRIFT * LOAD_DRIFT * seconds, LOAD_VARIANCE);
  expected = own->load;
  total = own->variance + REPORT_VARIANCE;
  for (size_t i = 0; i < count; i++)
    {
      const pair_t *pair = pair_get (model, served, beside[i].image);

      expected += pair->slope * beside[i].cores;
      total += pair->variance * beside[i].cores * beside[i].cores;
    }
  error = used - expected;
  for (size_t i = 0; i < count; i++)
    pair_update (pair_get (model, served, beside[i].image), error,
                 beside[i].cores, total);
  own->load = CLAMP (own->load + own->variance / total * error, 0.01, 0.99);
  own->variance *= 1 - own->variance / total;
  own->peak -= (own->peak - own->load) * PEAK_DECAY * seconds;
  own->peak = MAX (MAX (own->peak, own->load), PEAK_LEAST);
}

static void
pair_update (pair_t *pair, double error, double cores, double total)
{
  double gain = pair->variance * cores / total;

  pair->slope = CLAMP (pair->slope + gain * error, 0, SLOPE_MOST);
  pair->variance = MAX (pair->variance * (1 - gain * cores),
                        SLOPE_DEVIATION_LEAST * SLOPE_DEVIATION_LEAST);
}

double
interference_added_utilization (const interference_t *model, image_id_t served,
                                const disturbance_t *beside, size_t count)
{
  double added = 0;

  for (size_t i = 0; i < count; i++)
    added += beside[i].cores
             * interference_slope (model, served, beside[i].image);
  return added;
}

double
interference_max_utilization (const interference_t *model, image_id_t served,
                              double target_ms)
{
  const double *idle
      = g_hash_table_lookup (model->idle, GUINT_TO_POINTER (served));

  return idle ? MAX (0, 1 - *idle / target_ms) : 1;
}

double
interference_slope (const interference_t *model, image_id_t served,
                    image_id_t disturbing)
{
  const pair_t *pair = pair_find (model, served, disturbing);

  return pair ? pair->slope : 0;
}

bool
interference_slope_is_known (const interference_t *model, image_id_t served,
                             image_id_t disturbing)
{
  const pair_t *pair = pair_find (model, served, disturbing);

  return pair && sqrt (pair->variance) < SLOPE_KNOWN;
}

bool
interference_trial_allowed (const interference_t *model, image_id_t served,
                            image_id_t disturbing, usec_t now, usec_t span)
{
  const pair_t *pair = pair_find (model, served, disturbing);

  return !pair || !pair->tried || now - pair->tried >= span;
}

void
interference_trial_started (interference_t *model, image_id_t served,
                            image_id_t disturbing, usec_t now)
{
  pair_get (model, served, disturbing)->tried = now;
}

static int
append_bytes (void *data, const char *bytes, size_t len)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)len);
  return 0;
}

static void
pack_text (msgpack_packer *p, const char *text)
{
  msgpack_pack_str (p, strlen (text));
  msgpack_pack_str_body (p, text, strlen (text));
}

/* Two arrays: rows of an image and its idle tail, and rows of two images,
   slope and variance.  Names are written out, since numbers of images differ
   between processes.  */
void
interference_encode (const interference_t *model, GByteArray *out)
{
  msgpack_packer p;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  msgpack_packer_init (&p, out, append_bytes);
  msgpack_pack_array (&p, 2);
  msgpack_pack_array (&p, g_hash_table_size (model->idle));
  g_hash_table_iter_init (&iter, model->idle);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      msgpack_pack_array (&p, 2);
      pack_text (&p, g_quark_to_string (GPOINTER_TO_UINT (key)));
      msgpack_pack_float (&p, (float)*(double *)value);
    }
  msgpack_pack_array (&p, model->pairs);
  for (image_id_t served = 0; served < model->rows->len; served++)
    {
      const GPtrArray *row = model->rows->pdata[served];

      for (image_id_t i = 0; row && i < row->len; i++)
        if (row->pdata[i])
          pack_pair (&p, served, i, row->pdata[i]);
    }
}

static void
pack_pair (msgpack_packer *p, image_id_t served, image_id_t disturbing,
           const pair_t *pair)
{
  msgpack_pack_array (p, 4);
  pack_text (p, g_quark_to_string (served));
  pack_text (p, g_quark_to_string (disturbing));
  msgpack_pack_float (p, (float)pair->slope);
  msgpack_pack_float (p, (float)pair->variance);
}

int
interference_decode (interference_t *model, blob_t bytes)
{
  msgpack_unpacked unpacked;
  const msgpack_object *o = &unpacked.data;
  bool ok;

  msgpack_unpacked_init (&unpacked);
  ok = msgpack_unpack_next (&unpacked, bytes.data, bytes.len, NULL)
           == MSGPACK_UNPACK_SUCCESS
       && o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size == 2;
  g_hash_table_remove_all (model->idle);
  g_ptr_array_set_size (model->rows, 0);
  model->pairs = 0;
  for (uint32_t part = 0; ok && part < 2; part++)
    {
      const msgpack_object *list = &o->via.array.ptr[part];

      ok = list->type == MSGPACK_OBJECT_ARRAY
           && list->via.array.size <= ROWS_MOST;
      for (uint32_t i = 0; ok && i < list->via.array.size; i++)
        ok = (part ? take_pair : take_idle) (model, &list->via.array.ptr[i]);
    }
  msgpack_unpacked_destroy (&unpacked);
  return ok ? 0 : -EBADMSG;
}

static bool
take_idle (interference_t *model, const msgpack_object *row)
{
  image_id_t image;

  if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size != 2)
    return false;
  image = image_of (&row->via.array.ptr[0]);
  if (!image || !(number_of (&row->via.array.ptr[1]) > 0))
    return false;
  idle_seen (model, image, number_of (&row->via.array.ptr[1]));
  return true;
}

static bool
take_pair (interference_t *model, const msgpack_object *row)
{
  const msgpack_object *field = row->via.array.ptr;
  image_id_t served;
  image_id_t disturbing;
  pair_t *pair;

  if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size != 4)
    return false;
  served = image_of (&field[0]);
  disturbing = image_of (&field[1]);
  if (!served || !disturbing)
    return false;
  pair = pair_get (model, served, disturbing);
  pair->slope = CLAMP (number_of (&field[2]), 0, SLOPE_MOST);
  pair->variance = CLAMP (number_of (&field[3])
                              + SLOPE_DEVIATION_TAKEN * SLOPE_DEVIATION_TAKEN,
                          0, SLOPE_DEVIATION * SLOPE_DEVIATION);
  return true;
}

static image_id_t
image_of (const msgpack_object *value)
{
  char name[128];

  if (value->type != MSGPACK_OBJECT_STR || !value->via.str.size
      || value->via.str.size >= sizeof name)
    return 0;
  memcpy (name, value->via.str.ptr, value->via.str.size);
  name[value->via.str.size] = '\0';
  return interference_image_id (name);
}

static double
number_of (const msgpack_object *value)
{
  return value->type == MSGPACK_OBJECT_FLOAT32
                 || value->type == MSGPACK_OBJECT_FLOAT64
             ? value->via.f64
             : 0;
}
