/* Log lines of callers' connections. */
#include <glib.h>

#include "lib/caller_log.h"
#include "lib/log.h"
#include "lib/log_events.h"

static char *format_number(int64_t number);

void gc_caller_log_early_end(const gc_caller_log_t *log)
{
	g_autofree char *port = format_number(log->port);
	g_autofree char *bytes = format_number((int64_t)log->bytes);
	g_autofree char *unsent = format_number((int64_t)log->unsent);
	g_autofree char *idle_ms = format_number(log->idle_ms);
	g_autofree char *limit_ms = format_number(log->limit_ms);

	gc_log(GC_LOG_INFO, GC_EVENT_CALLER_BYTES_LOST,
	       "caller connection ended early", "port", port, "reason",
	       log->reason, "state", log->state, "bytes", bytes, "unsent",
	       unsent, "idle_ms", idle_ms, "limit_ms", limit_ms, NULL);
}

void gc_caller_log_idle_end(const gc_caller_log_t *log)
{
	g_autofree char *port = format_number(log->port);
	g_autofree char *idle_ms = format_number(log->idle_ms);
	g_autofree char *limit_ms = format_number(log->limit_ms);

	gc_log(GC_LOG_DEBUG, GC_EVENT_CALLER_IDLE_ENDED,
	       "idle caller connection ended", "port", port, "reason",
	       log->reason, "idle_ms", idle_ms, "limit_ms", limit_ms, NULL);
}

void gc_caller_log_rejection(const gc_caller_log_t *log, int status)
{
	g_autofree char *port = format_number(log->port);
	g_autofree char *status_text = format_number(status);
	g_autofree char *bytes = format_number((int64_t)log->bytes);
	g_autofree char *idle_ms = format_number(log->idle_ms);
	g_autofree char *limit_ms = format_number(log->limit_ms);

	gc_log(GC_LOG_INFO, GC_EVENT_CALLER_REQUEST_REJECTED,
	       "request not received", "port", port, "status", status_text,
	       "reason", log->reason, "bytes", bytes, "idle_ms", idle_ms,
	       "limit_ms", limit_ms, NULL);
}

static char *format_number(int64_t number)
{
	return g_strdup_printf("%" G_GINT64_FORMAT, number);
}
