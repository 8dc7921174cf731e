/* What backend servers say about themselves in the headers of responses. */
#include <math.h>
#include <string.h>

#include "core/number.h"
#include "lib/backend_signals.h"
#include "lib/log.h"
#include "lib/log_events.h"

/* Most requests a second that a server may name. */
#define RATE_MAX	 1e9
#define MAX_LOGGED_BYTES 64

static gc_str_t find_value(const gc_http_message_t *response, const char *name);
static double read_rate(const gc_backend_t *backend,
			const gc_http_message_t *response, const char *header,
			double none);
static void log_brittle(const gc_backend_t *backend, double before);
static void log_limit(const gc_backend_t *backend, double before);
static void log_invalid(const gc_backend_t *backend, const char *header,
			gc_str_t value);

void gc_backend_read_signals(gc_backend_t *backend, struct timespec now,
			     const gc_http_message_t *response,
			     const char *leaving_header,
			     const char *limit_header,
			     const char *brittle_header, int64_t pause_max_ms)
{
	double limit = gc_backend_limit(backend);
	double brittle = gc_backend_brittle(backend);
	gc_str_t leaving = find_value(response, leaving_header);
	gc_str_t retry_after = find_value(response, "retry-after");
	double seconds;

	if (gc_str_eq(leaving, GC_STR_LIT("1")))
		gc_backend_record_leaving(backend);
	else if (leaving.len > 0)
		log_invalid(backend, leaving_header, leaving);
	/* A server that has got the address of another one answers 421. */
	if (gc_http_message_status(response) != 421) {
		gc_backend_record_limit(backend, now,
					read_rate(backend, response,
						  limit_header, GC_NO_LIMIT));
		log_limit(backend, limit);
		gc_backend_record_brittle(backend, now,
					  read_rate(backend, response,
						    brittle_header,
						    GC_NOT_BRITTLE));
		log_brittle(backend, brittle);
	}
	if (gc_http_message_status(response) != 503 || retry_after.len == 0)
		return;
	if (gc_parse_decimal(retry_after, (double)pause_max_ms / 1000.0,
			     &seconds))
		gc_backend_record_pause(backend, now,
					(int64_t)ceil(seconds * 1000));
	else
		log_invalid(backend, "Retry-After", retry_after);
}

static double read_rate(const gc_backend_t *backend,
			const gc_http_message_t *response, const char *header,
			double none)
{
	gc_str_t value = find_value(response, header);
	double rate = none;

	if (gc_http_message_count_header(response, header) > 1 ||
	    (value.data && value.len > 0 &&
	     !gc_parse_decimal(value, RATE_MAX, &rate)))
		log_invalid(backend, header, value);
	return rate;
}

/* A limit may change with each response, so only its begin and end are logged. */
static void log_limit(const gc_backend_t *backend, double before)
{
	double limit = gc_backend_limit(backend);
	g_autofree char *text = g_strdup_printf("%g", limit);

	if (before == GC_NO_LIMIT && limit != GC_NO_LIMIT)
		gc_log(GC_LOG_INFO, GC_EVENT_SERVER_LIMITED,
		       "a server limits its requests a second", "server",
		       gc_backend_id(backend).data, "limit", text, NULL);
	else if (before != GC_NO_LIMIT && limit == GC_NO_LIMIT)
		gc_log(GC_LOG_INFO, GC_EVENT_SERVER_LIMITED,
		       "a server ended its limit", "server",
		       gc_backend_id(backend).data, NULL);
}

static void log_brittle(const gc_backend_t *backend, double before)
{
	double brittle = gc_backend_brittle(backend);
	g_autofree char *text = g_strdup_printf("%g", brittle);

	if (before == GC_NOT_BRITTLE && brittle != GC_NOT_BRITTLE)
		gc_log(GC_LOG_INFO, GC_EVENT_SERVER_BRITTLE,
		       "a server is brittle", "server",
		       gc_backend_id(backend).data, "turned_away_max", text,
		       NULL);
	else if (before != GC_NOT_BRITTLE && brittle == GC_NOT_BRITTLE)
		gc_log(GC_LOG_INFO, GC_EVENT_SERVER_BRITTLE,
		       "a server is no longer brittle", "server",
		       gc_backend_id(backend).data, NULL);
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
