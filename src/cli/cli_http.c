/** @file
 * Requests to the service by libcurl's easy interface.
 */
#include "cli/cli.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 3000L
#define ANSWER_MAX_BYTES (64U << 20)

#define STATUS_OK 200
#define STATUS_REDIRECT 300
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504

static size_t on_body (char *data, size_t size, size_t count, void *ctx);
static size_t on_header (char *data, size_t size, size_t count, void *ctx);
static struct curl_slist *make_headers (const cli_request_t *request);
static void set_options (CURL *easy, const cli_request_t *request,
                         cli_answer_t *answer);

void
cli_send (const cli_request_t *request, cli_answer_t *answer)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = make_headers (request);
  char *url = g_strconcat (request->url, request->path, NULL);
  long status = 0;
  long bytes = 0;
  CURLcode code;

  *answer = (cli_answer_t){ .body = g_byte_array_new () };
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  set_options (easy, request, answer);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &bytes);
  answer->sent = bytes > 0;
  if (code == CURLE_OK)
    answer->status = (int)status;
  else
    g_strlcpy (answer->error, curl_easy_strerror (code), sizeof answer->error);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  g_free (url);
}

void
cli_answer_clear (cli_answer_t *answer)
{
  g_byte_array_free (answer->body, TRUE);
}

int
cli_answer_code (const cli_answer_t *answer)
{
  if (!answer->status)
    return answer->sent ? CLI_REFUSED : CLI_UNREACHABLE;
  if (answer->status >= STATUS_OK && answer->status < STATUS_REDIRECT)
    return CLI_OK;
  /* Work that may have run is not to be repeated blindly.  */
  if (strcmp (answer->outcome, "unknown") == 0)
    return CLI_REFUSED;
  if (answer->status == STATUS_TOO_MANY || answer->status == STATUS_UNAVAILABLE
      || answer->status == STATUS_TIMEOUT)
    return CLI_TRY_AGAIN;
  return CLI_REFUSED;
}

int
cli_answer_show (const cli_request_t *request, const cli_answer_t *answer)
{
  const char *outcome = *answer->outcome ? answer->outcome : NULL;

  if (!answer->status)
    {
      bool get = strcmp (request->method, "GET") == 0;

      fprintf (stderr, "limpethinge: %s%s: %s\n", request->url, request->path,
               answer->error);
      if (!get)
        fprintf (stderr, "outcome: %s\n",
                 answer->sent ? "unknown" : "not-run");
      return cli_answer_code (answer);
    }
  if (answer->body->len)
    fwrite (answer->body->data, 1, answer->body->len, stdout);
  if (answer->body->len && answer->body->data[answer->body->len - 1] != '\n')
    putchar ('\n');
  (void)fflush (stdout);
  if (outcome)
    fprintf (stderr, "outcome: %s\n", outcome);
  if (answer->status >= STATUS_REDIRECT)
    fprintf (stderr, "status: %d\n", answer->status);
  if (*answer->retry_after)
    fprintf (stderr, "retry after: %s s\n", answer->retry_after);
  return cli_answer_code (answer);
}

static struct curl_slist *
make_headers (const cli_request_t *request)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");

  headers = curl_slist_append (headers, "Content-Type:");
  for (char **header = request->headers; header && *header; header++)
    headers = curl_slist_append (headers, *header);
  if (request->key)
    {
      char *line = g_strconcat ("Authorization: Bearer ", request->key, NULL);

      headers = curl_slist_append (headers, line);
      g_free (line);
    }
  return headers;
}

static void
set_options (CURL *easy, const cli_request_t *request, cli_answer_t *answer)
{
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, request->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, answer);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, answer);
  if (strcmp (request->method, "GET") == 0)
    return;
  curl_easy_setopt (easy, CURLOPT_POST, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)request->body.len);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                    request->body.data ? request->body.data : "");
}

static size_t
on_body (char *data, size_t size, size_t count, void *ctx)
{
  cli_answer_t *answer = ctx;

  if (answer->body->len + size * count > ANSWER_MAX_BYTES)
    return 0;
  g_byte_array_append (answer->body, (const guint8 *)data,
                       (guint)(size * count));
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *ctx)
{
  cli_answer_t *answer = ctx;
  const struct
  {
    const char *name;
    char *value;
    size_t size;
  } rows[] = {
    { "limpethinge-outcome:", answer->outcome, sizeof answer->outcome },
    { "retry-after:", answer->retry_after, sizeof answer->retry_after },
  };
  char *line = g_strndup (data, size * count);

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    if (g_ascii_strncasecmp (line, rows[i].name, strlen (rows[i].name)) == 0)
      g_strlcpy (rows[i].value, g_strstrip (line + strlen (rows[i].name)),
                 rows[i].size);
  g_free (line);
  return size * count;
}
