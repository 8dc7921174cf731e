/* End of a routed request: response, refusal or failure. */
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/relay_private.h"

/* Least Retry-After of a refusal. */
#define REFUSAL_RETRY_AFTER_MS 250

/* Range of Retry-After while all servers are full, as a part of the route's
 * target latency. */
#define OVERLOAD_RETRY_MIN_PERCENT 20
#define OVERLOAD_RETRY_MAX_PERCENT 50
/* Part of its time after which a caller that is refused can still return, and the most
 * of its time that counts. */
#define RETURN_PERCENT 33
#define RETURN_MAX_MS  60000

/* A caller that leaves so long before the end of its time has waited for all of it. */
#define DEADLINE_TOLERANCE_MS 50

static void log_disconnect(const gc_exchange_t *exchange);
static bool is_partly_unsent(const gc_exchange_t *exchange);
static const char *awaited(const gc_exchange_t *exchange);
static void count_unanswered(const gc_exchange_t *exchange);
static void spread_return(const gc_exchange_t *exchange, gc_refusal_t *refusal);
static void refuse_without_server(gc_exchange_t *exchange,
				  const gc_refusal_t *refusal);
static void end_unfinished(gc_exchange_t *exchange, const char *limit_reached,
			   const gc_refusal_t *not_run,
			   const gc_refusal_t *in_doubt);

int64_t gc_exchange_elapsed_ms(const gc_exchange_t *exchange)
{
	return gc_ms_between(exchange->arrived,
			     gc_clock_now(exchange->relay->conf.clock));
}

void gc_exchange_give_up(gc_exchange_t *exchange, gc_retry_decision_t decision,
			 gc_attempt_end_t end)
{
	static const gc_refusal_t not_run = {
		.status = 503,
		.code = "no_server",
		.message = "no backend server could run the request",
		.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
		.not_run = true,
	};
	static const gc_refusal_t incomplete = {
		.status = 502,
		.code = "broken",
		.message = "the backend server did not complete a response",
	};
	static const gc_refusal_t timed_out = {
		.status = 504,
		.code = "timeout",
		.message = "the backend server did not respond in time",
	};

	/* A server's failure is an answer to a lookup, and no other answer can follow
	 * one that has begun. */
	if ((exchange->sequencer ||
	     (!exchange->head_sent && decision != GC_DECISION_FORWARD)) &&
	    gc_exchange_return_to_standby(exchange))
		return;
	if (exchange->head_sent) {
		gc_caller_conn_t *caller = exchange->caller;

		gc_exchange_log_end(exchange, GC_REQUEST_FAILED,
				    "stream aborted");
		gc_caller_conn_set_data(caller, NULL);
		talloc_free(exchange);
		gc_caller_conn_abort(caller);
		return;
	}
	if (decision == GC_DECISION_FORWARD &&
	    !gc_status_means_not_run(exchange->answer->status))
		gc_exchange_respond(exchange);
	else if (decision == GC_DECISION_REFUSE)
		refuse_without_server(exchange, &not_run);
	else
		gc_exchange_refuse(exchange, end == GC_END_TIMED_OUT
						     ? &timed_out
						     : &incomplete);
}

/*
 * Limited and brittle servers can't serve all who return: they come back over the time that
 * they have. Callers don't wait for more than a part of it.
 */
static void spread_return(const gc_exchange_t *exchange, gc_refusal_t *refusal)
{
	int64_t left_ms =
		exchange->deadline_ms - gc_exchange_elapsed_ms(exchange);

	left_ms = MIN(left_ms, RETURN_MAX_MS);
	refusal->code = "limited";
	refusal->message = "the backend servers limit their requests";
	refusal->retry_spread_ms = MAX(
		left_ms * RETURN_PERCENT / 100 - refusal->retry_after_ms, 0);
}

/* While all servers are pausing, the caller is to return after the first of
 * them. */
static void refuse_without_server(gc_exchange_t *exchange,
				  const gc_refusal_t *refusal)
{
	gc_relay_t *relay = exchange->relay;
	gc_refusal_t final_refusal = *refusal;
	int64_t return_ms =
		gc_backends_earliest_return(relay->backends,
					    gc_clock_now(relay->conf.clock),
					    exchange->service);

	return_ms = MAX(return_ms, exchange->hop_return_ms);
	final_refusal.retry_after_ms =
		MAX(final_refusal.retry_after_ms, return_ms);
	if (gc_backends_is_restricted(relay->backends, exchange->service))
		spread_return(exchange, &final_refusal);
	gc_exchange_refuse(exchange, &final_refusal);
}

bool gc_status_means_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

void gc_exchange_respond(gc_exchange_t *exchange)
{
	gc_caller_conn_t *caller = exchange->caller;
	const gc_answer_t *answer = exchange->answer;
	gc_str_t head = {answer->head->str, answer->head->len};
	gc_str_t body = {(const char *)answer->body->data, answer->body->len};

	gc_exchange_log_end(exchange, GC_REQUEST_ANSWERED, "request answered");
	if (caller) {
		exchange->caller = NULL;
		gc_caller_conn_set_data(caller, NULL);
		if (exchange->head_sent)
			gc_caller_conn_end_stream(caller);
		else
			gc_caller_conn_respond(caller, answer->status, head,
					       body);
	}
	talloc_free(exchange);
}

void gc_exchange_refuse(gc_exchange_t *exchange, const gc_refusal_t *refusal)
{
	gc_caller_conn_t *caller = exchange->caller;
	gc_refusal_t final_refusal = *refusal;

	final_refusal.limit_reached = exchange->limit_reached;
	final_refusal.received = exchange->received;
	exchange->caller = NULL;
	gc_caller_conn_set_data(caller, NULL);
	gc_relay_refuse(exchange->relay, caller, exchange->id,
			exchange->account, &final_refusal);
	talloc_free(exchange);
}

/* Spreads the callers over a time in which they can still be served within the
 * target latency. */
void gc_exchange_refuse_overload(gc_exchange_t *exchange)
{
	int64_t target_ms = exchange->route->target_latency_ms;
	int64_t min_ms = MAX(target_ms * OVERLOAD_RETRY_MIN_PERCENT / 100,
			     REFUSAL_RETRY_AFTER_MS);
	gc_refusal_t overloaded = {
		.status = 503,
		.code = "overloaded",
		.message = "no backend server has room for the stream",
		.retry_after_ms = min_ms,
		.retry_spread_ms =
			target_ms * OVERLOAD_RETRY_MAX_PERCENT / 100 - min_ms,
		.not_run = true,
	};

	exchange->limit_reached = "room";
	gc_exchange_refuse(exchange, &overloaded);
}

void gc_exchange_log_end(const gc_exchange_t *exchange, gc_request_end_t end,
			 const char *message)
{
	const gc_answer_t *answer =
		exchange->begun_by ? exchange->begun_by : exchange->answer;
	g_autofree char *status = g_strdup_printf("%d", answer->status);
	g_autofree char *attempts =
		g_strdup_printf("%u", exchange->attempts.sent);
	g_autofree char *elapsed_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT, gc_exchange_elapsed_ms(exchange));
	g_autofree char *first_event_ms =
		g_strdup_printf("%" G_GINT64_FORMAT, exchange->first_event_ms);
	g_autofree char *max_event_gap_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT, exchange->max_event_gap_ms);

	/* The daemon that passed it on counts it. */
	if (!exchange->received)
		gc_relay_record_request(exchange->account, end,
					gc_exchange_elapsed_ms(exchange));
	gc_log(GC_LOG_INFO, GC_EVENT_ROUTED_ANSWERED, message, "request",
	       exchange->id.data, "server",
	       exchange->backend ? gc_backend_id(exchange->backend).data : "",
	       "status", status, "attempts", attempts, "ms", elapsed_ms,
	       "first_ms", first_event_ms, "pause_ms", max_event_gap_ms,
	       "limit", exchange->limit_reached, NULL);
}

void gc_exchange_on_time_limit(void *ctx)
{
	static const gc_refusal_t not_run = {
		.status = 503,
		.code = "no_server",
		.message = "no backend server could run the request in time",
		.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
		.not_run = true,
	};
	static const gc_refusal_t timed_out = {
		.status = 504,
		.code = "timeout",
		.message = "the backend server did not respond in time",
	};

	gc_exchange_t *exchange = ctx;
	int64_t left_ms = exchange->end_ms - gc_exchange_elapsed_ms(exchange);

	if (exchange->head_sent && left_ms > 0) {
		gc_timer_set(exchange->time_limit_timer, left_ms);
		return;
	}
	gc_exchange_count_time_limit(exchange);
	end_unfinished(exchange, "time", &not_run, &timed_out);
}

void gc_exchange_on_stop(gc_exchange_t *exchange)
{
	static const gc_refusal_t not_run = {
		.status = 503,
		.code = "stopping",
		.message = "the daemon stopped before the request was sent",
		.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
		.not_run = true,
	};
	static const gc_refusal_t in_doubt = {
		.status = 504,
		.code = "stopped",
		.message = "the daemon stopped before the server responded",
	};

	end_unfinished(exchange, "stop", &not_run, &in_doubt);
}

void gc_exchange_on_slow_peer(gc_exchange_t *exchange)
{
	static const gc_refusal_t not_run = {
		.status = 503,
		.code = "memory",
		.message = "the daemon had no room for the request",
		.retry_after_ms = REFUSAL_RETRY_AFTER_MS,
		.not_run = true,
	};
	static const gc_refusal_t in_doubt = {
		.status = 504,
		.code = "memory",
		.message =
			"the backend server did not take the request in time",
	};

	end_unfinished(exchange, "memory", &not_run, &in_doubt);
}

static void end_unfinished(gc_exchange_t *exchange, const char *limit_reached,
			   const gc_refusal_t *not_run,
			   const gc_refusal_t *in_doubt)
{
	if (!exchange->caller) {
		talloc_free(exchange);
		return;
	}
	gc_exchange_drop_standby(exchange);
	exchange->limit_reached = limit_reached;
	if (exchange->head_sent) {
		gc_exchange_give_up(exchange, GC_DECISION_FAIL,
				    GC_END_TIMED_OUT);
		return;
	}
	if (exchange->attempts.may_have_run ||
	    (exchange->call && gc_call_was_sent(exchange->call)))
		gc_exchange_refuse(exchange, in_doubt);
	else
		refuse_without_server(exchange, not_run);
}

void gc_exchange_on_disconnect(gc_exchange_t *exchange)
{
	log_disconnect(exchange);
	count_unanswered(exchange);
	exchange->caller = NULL;
	exchange->request = NULL;
	/* No attempt was made: the request waits for a configuration. */
	if (!exchange->route) {
		talloc_free(exchange);
		return;
	}
	/* A request that must not be retried is left to complete. */
	if (exchange->route->kind == GC_ROUTE_NON_IDEMPOTENT &&
	    exchange->call && !is_partly_unsent(exchange))
		return;
	talloc_free(exchange);
}

/* True for a request that its server can't run yet, as it doesn't have all of it. Without a
 * caller, its bytes would not count for the bound of what is buffered. */
static bool is_partly_unsent(const gc_exchange_t *exchange)
{
	return exchange->relay->conf.bounds_buffers &&
	       gc_call_unsent_bytes(exchange->call) > 0;
}

/* The only line of a request that was waiting for its first server. */
static void log_disconnect(const gc_exchange_t *exchange)
{
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);
	const gc_route_t *route = exchange->route;
	g_autofree char *ms = g_strdup_printf("%" G_GINT64_FORMAT,
					      gc_exchange_elapsed_ms(exchange));
	g_autofree char *deadline_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT,
		exchange->named_deadline ? exchange->deadline_ms : 0);
	g_autofree char *limit_ms =
		g_strdup_printf("%" G_GINT64_FORMAT, exchange->time_limit_ms);
	g_autofree char *attempts =
		g_strdup_printf("%u", exchange->attempts.sent);
	g_autofree char *after_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT,
		exchange->call ? gc_ms_between(exchange->attempt_started, now)
			       : 0);
	g_autofree char *silence_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT,
		exchange->call ? gc_exchange_inactivity_ms(exchange) : 0);
	g_autofree char *version = g_strdup_printf(
		"%" G_GUINT64_FORMAT,
		route ? gc_routes_version(exchange->view->routes) : 0);

	gc_log(GC_LOG_INFO, GC_EVENT_ROUTED_ABANDONED, "caller disconnected",
	       "request", exchange->id.data, "ms", ms, "deadline_ms",
	       deadline_ms, "limit_ms", limit_ms, "begun",
	       exchange->head_sent ? "yes" : "no", "waits_for",
	       awaited(exchange), "server",
	       exchange->backend ? gc_backend_id(exchange->backend).data : "",
	       "attempts", attempts, "after_ms", after_ms, "silence_ms",
	       silence_ms, "limit",
	       exchange->call ? gc_exchange_failover_limit(exchange, now) : "",
	       "version", version, NULL);
}

static const char *awaited(const gc_exchange_t *exchange)
{
	if (!exchange->route)
		return "configuration";
	if (exchange->call)
		return exchange->hop ? "daemon" : "response";
	if (exchange->load_probe)
		return "load reports";
	if (exchange->awaits_retry)
		return "retry budget";
	return exchange->waiting ? "server" : "version";
}

static void count_unanswered(const gc_exchange_t *exchange)
{
	if (!exchange->named_deadline || exchange->head_sent ||
	    exchange->received ||
	    gc_exchange_elapsed_ms(exchange) + DEADLINE_TOLERANCE_MS <
		    exchange->deadline_ms)
		return;
	gc_counter_add(
		gc_counter("goldcrest_routed_unanswered_total",
			   "Requests whose callers waited for the time that "
			   "they had named and got no answer.",
			   NULL, NULL),
		1);
}
