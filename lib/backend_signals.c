/* What backend servers say about themselves in the headers of responses. */
#include <math.h>
#include <string.h>

#include "lib/backend_signals.h"
#include "lib/log.h"
#include "lib/log_events.h"

/* Longest pause that a server is granted. */
#define PAUSE_MAX_MS 30000
/* More digits than any valid value has. */
#define RETRY_AFTER_MAX_BYTES 32
#define MAX_LOGGED_BYTES      64

static gc_str_t find_value(const gc_http_message_t *response, const char *name);
static bool parse_pause(gc_str_t retry_after, int64_t *ms);
static void log_invalid(const gc_backend_t *backend, const char *header,
			gc_str_t value);

void gc_backend_read_signals(gc_backend_t *backend, struct timespec now,
			     const gc_http_message_t *response,
			     const char *leaving_header)
{
	gc_str_t leaving = find_value(response, leaving_header);
	gc_str_t retry_after = find_value(response, "retry-after");
	int64_t ms;

	if (gc_str_eq(leaving, GC_STR_LIT("1")))
		gc_backend_record_leaving(backend);
	else if (leaving.len > 0)
		log_invalid(backend, leaving_header, leaving);
	if (gc_http_message_status(response) != 503 || retry_after.len == 0)
		return;
	if (parse_pause(retry_after, &ms))
		gc_backend_record_pause(backend, now, ms);
	else
		log_invalid(backend, "Retry-After", retry_after);
}

static void log_invalid(const gc_backend_t *backend, const char *header,
			gc_str_t value)
{
	g_autofree char *text =
		g_strndup(value.data, MIN(value.len, MAX_LOGGED_BYTES));

	gc_log(GC_LOG_INFO, GC_EVENT_SERVER_HEADER_INVALID,
	       "ignoring an invalid header of a server", "server",
	       gc_backend_id(backend).data, "header", header, "value", text,
	       NULL);
}

/* Without the white space after it; empty if there is none. */
static gc_str_t find_value(const gc_http_message_t *response, const char *name)
{
	gc_str_t value = gc_http_message_find_header(response, name);

	if (!value.data)
		return GC_STR_EMPTY;
	while (value.len > 0 && g_ascii_isspace(value.data[value.len - 1]))
		value.len--;
	return value;
}

/* Retry-After in seconds, with or without a fraction; false if it is anything
 * else, such as a date. */
static bool parse_pause(gc_str_t retry_after, int64_t *ms)
{
	g_autofree char *text = NULL;
	double seconds;

	if (retry_after.len > RETRY_AFTER_MAX_BYTES)
		return false;
	text = g_strndup(retry_after.data, retry_after.len);
	/* g_ascii_strtod would take "inf", "nan", "-1" and "0x1", too. */
	if (strlen(text) != strspn(text, "0123456789.") ||
	    !g_ascii_isdigit(*text) || strchr(text, '.') != strrchr(text, '.'))
		return false;
	seconds = g_ascii_strtod(text, NULL);
	*ms = seconds < PAUSE_MAX_MS / 1000.0 ? (int64_t)ceil(seconds * 1000)
					      : PAUSE_MAX_MS;
	return true;
}
