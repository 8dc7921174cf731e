/* What backend servers say about themselves in the headers of responses. */
#include <math.h>
#include <string.h>

#include "lib/backend_signals.h"

/* Longest pause that a server is granted. */
#define PAUSE_MAX_MS 30000
/* More digits than any valid value has. */
#define RETRY_AFTER_MAX_BYTES 32

static gc_str_t find_value(const gc_http_message_t *response, const char *name);
static int64_t pause_ms(gc_str_t retry_after);

void gc_backend_read_signals(gc_backend_t *backend, struct timespec now,
			     const gc_http_message_t *response,
			     const char *leaving_header)
{
	if (gc_str_eq(find_value(response, leaving_header), GC_STR_LIT("1")))
		gc_backend_record_leaving(backend);
	if (gc_http_message_status(response) == 503)
		gc_backend_record_pause(
			backend, now,
			pause_ms(find_value(response, "retry-after")));
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

/* Retry-After in seconds, with or without a fraction; 0 if it is absent or
 * anything else, such as a date. */
static int64_t pause_ms(gc_str_t retry_after)
{
	g_autofree char *text = NULL;
	double seconds;

	if (retry_after.len == 0 || retry_after.len > RETRY_AFTER_MAX_BYTES)
		return 0;
	text = g_strndup(retry_after.data, retry_after.len);
	/* g_ascii_strtod would take "inf", "nan", "-1" and "0x1", too. */
	if (strlen(text) != strspn(text, "0123456789.") ||
	    !g_ascii_isdigit(*text) || strchr(text, '.') != strrchr(text, '.'))
		return 0;
	seconds = g_ascii_strtod(text, NULL);
	return seconds < PAUSE_MAX_MS / 1000.0 ? (int64_t)ceil(seconds * 1000)
					       : PAUSE_MAX_MS;
}
