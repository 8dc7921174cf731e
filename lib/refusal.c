/* Error responses to callers, their log lines, and the request metrics. */
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/relay_private.h"

/* Upper bound of the random part of Retry-After, which spreads retries. */
#define RETRY_JITTER_MS 300

static void log_refusal(const gc_relay_t *relay, gc_str_t id,
			const gc_refusal_t *refusal);

void gc_relay_record_request(gc_str_t account, gc_request_end_t end, int64_t ms)
{
	static const char *const names[] = {
		[GC_REQUEST_ANSWERED] = "goldcrest_routed_answered_total",
		[GC_REQUEST_REFUSED] = "goldcrest_routed_refused_total",
		[GC_REQUEST_FAILED] = "goldcrest_routed_failed_total",
	};
	const char *name = account.len > 0 ? account.data : "none";

	gc_counter_add(gc_counter(names[end], "Routed requests by their end.",
				  "account", name),
		       1);
	gc_histogram_observe(
		gc_histogram_ms("goldcrest_routed_ms",
				"From a routed request to the end of its "
				"answer.",
				"account", name),
		(double)ms);
}

void gc_relay_refuse(gc_relay_t *relay, gc_caller_conn_t *caller, gc_str_t id,
		     gc_str_t account, const gc_refusal_t *refusal)
{
	struct timespec arrived = gc_caller_conn_arrived(caller);
	g_autoptr(GString) head =
		g_string_new("Content-Type: application/json\r\n");
	g_autofree char *body = g_strdup_printf(
		"{\"error\":{\"code\":\"%s\",\"message\":\"%s\","
		"\"run\":\"%s\"}}\n",
		refusal->code, refusal->message,
		refusal->not_run ? "not_run" : "in_doubt");

	if (id.len > 0)
		g_string_append_printf(head, "%s: %.*s\r\n",
				       relay->conf.adapter->headers.request_id,
				       GC_STR_ARG(id));
	if (refusal->retry_after_ms > 0) {
		int64_t ms = refusal->retry_after_ms;
		int64_t spread_ms = refusal->retry_spread_ms > 0
					    ? refusal->retry_spread_ms
					    : RETRY_JITTER_MS;

		ms += (int64_t)(relay->conf.random->next(
					relay->conf.random->ctx) %
				(uint64_t)spread_ms);
		g_string_append_printf(head,
				       "Retry-After: %" G_GINT64_FORMAT
				       ".%03" G_GINT64_FORMAT "\r\n",
				       ms / 1000, ms % 1000);
	}
	gc_refusal_append_hop_result(refusal, head);
	if (!refusal->received)
		gc_relay_record_request(
			account,
			refusal->not_run ? GC_REQUEST_REFUSED
					 : GC_REQUEST_FAILED,
			gc_ms_between(arrived,
				      gc_clock_now(relay->conf.clock)));
	log_refusal(relay, id, refusal);
	gc_caller_conn_respond(caller, refusal->status,
			       (gc_str_t){head->str, head->len}, gc_str(body));
}

/* Includes the configuration's age, on which some refusals depend. */
static void log_refusal(const gc_relay_t *relay, gc_str_t id,
			const gc_refusal_t *refusal)
{
	const char *request = id.len > 0 ? id.data : "";
	const char *limit_reached =
		refusal->limit_reached ? refusal->limit_reached : "";
	bool config_known = relay->view && relay->view->routes;
	g_autofree char *status = g_strdup_printf("%d", refusal->status);
	g_autofree char *version = g_strdup_printf(
		"%" G_GUINT64_FORMAT,
		config_known ? gc_routes_version(relay->view->routes) : 0);
	g_autofree char *config_age_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT,
		gc_confirmed_age_ms(relay->conf.confirmed,
				    gc_clock_now(relay->conf.clock)));

	/* The daemon that passed it on logs how it ended. */
	if (refusal->not_run)
		gc_log(refusal->received ? GC_LOG_DEBUG : GC_LOG_INFO,
		       GC_EVENT_ROUTED_REFUSED, "request refused", "request",
		       request, "status", status, "reason", refusal->message,
		       "limit", limit_reached, "version", version, "age_ms",
		       config_age_ms, NULL);
	else
		gc_log(GC_LOG_WARNING, GC_EVENT_ROUTED_FAILED, "request failed",
		       "request", request, "status", status, "reason",
		       refusal->message, "limit", limit_reached, "version",
		       version, "age_ms", config_age_ms, NULL);
}
