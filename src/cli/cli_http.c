/** @file
 * HTTP requests to the service through libcurl's easy interface.
 */
#include "cli/cli.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 3000L
#define RESPONSE_MAX_BYTES (64U << 20)

#define STATUS_OK 200
#define STATUS_REDIRECT 300
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504

static size_t on_body (char *data, size_t size, size_t count, void *ctx);
static size_t on_header (char *data, size_t size, size_t count, void *ctx);
static struct curl_slist *make_headers (const cli_request_t *request);
static void set_options (CURL *easy, const cli_request_t *request,
                         cli_response_t *response);

void
cli_send (const cli_request_t *request, cli_response_t *response)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = make_headers (request);
  char *url = g_strconcat (request->base_url, request->path, NULL);
  long status = 0;
  long bytes = 0;
  CURLcode code;

  *response = (cli_response_t){ .body = g_byte_array_new () };
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  set_options (easy, request, response);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &bytes);
  response->sent = bytes > 0;
  if (code == CURLE_OK)
    response->status = (int)status;
  else
    g_strlcpy (response->error, curl_easy_strerror (code),
               sizeof response->error);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  g_free (url);
}

void
cli_response_clear (cli_response_t *response)
{
  g_byte_array_free (response->body, TRUE);
}

int
cli_exit_code (const cli_response_t *response)
{
  if (!response->status)
    return response->sent ? CLI_ERROR : CLI_UNREACHABLE;
  if (response->status >= STATUS_OK && response->status < STATUS_REDIRECT)
    return CLI_OK;
  /* Work that may have run must not be retried automatically.  */
  if (strcmp (response->outcome, "unknown") == 0)
    return CLI_ERROR;
  if (response->status == STATUS_TOO_MANY
      || response->status == STATUS_UNAVAILABLE
      || response->status == STATUS_TIMEOUT)
    return CLI_TEMPFAIL;
  return CLI_ERROR;
}

int
cli_response_print (const cli_request_t *request,
                    const cli_response_t *response)
{
  const char *outcome = *response->outcome ? response->outcome : NULL;

  if (!response->status)
    {
      bool get = strcmp (request->method, "GET") == 0;

      fprintf (stderr, "limpethinge: %s%s: %s\n", request->base_url,
               request->path, response->error);
      if (!get)
        fprintf (stderr, "outcome: %s\n",
                 response->sent ? "unknown" : "not-run");
      return cli_exit_code (response);
    }
  if (response->body->len)
    fwrite (response->body->data, 1, response->body->len, stdout);
  if (response->body->len
      && response->body->data[response->body->len - 1] != '\n')
    putchar ('\n');
  (void)fflush (stdout);
  if (outcome)
    fprintf (stderr, "outcome: %s\n", outcome);
  if (response->status >= STATUS_REDIRECT)
    fprintf (stderr, "status: %d\n", response->status);
  if (*response->retry_after)
    fprintf (stderr, "retry after: %s s\n", response->retry_after);
  return cli_exit_code (response);
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
set_options (CURL *easy, const cli_request_t *request,
             cli_response_t *response)
{
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, request->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, response);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, response);
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
  cli_response_t *response = ctx;

  if (response->body->len + size * count > RESPONSE_MAX_BYTES)
    return 0;
  g_byte_array_append (response->body, (const guint8 *)data,
                       (guint)(size * count));
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *ctx)
{
  cli_response_t *response = ctx;
  const struct
  {
    const char *name;
    char *value;
    size_t size;
  } fields[] = {
    { "limpethinge-outcome:", response->outcome, sizeof response->outcome },
    { "retry-after:", response->retry_after, sizeof response->retry_after },
  };
  char *line = g_strndup (data, size * count);

  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (g_ascii_strncasecmp (line, fields[i].name, strlen (fields[i].name))
        == 0)
      g_strlcpy (fields[i].value, g_strstrip (line + strlen (fields[i].name)),
                 fields[i].size);
  g_free (line);
  return size * count;
}
