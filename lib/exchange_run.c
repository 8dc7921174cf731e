/* The attempts of one routed request and its answer. */
#include <stdlib.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/relay_private.h"

/* The server's own answer at the limit gets this long to arrive. */
#define LIMIT_SLACK_MS 100
/* Silence after which a stream goes on elsewhere, as part of the longest
 * pause in time; the rest is left for the next server's first event. */
#define SILENT_PART 0.55
/* The same until the first event, as part of the objective. A server that
 * reads a long prompt sends nothing for seconds; one that was cut off is
 * noticed earlier by the connection's own probes. */
#define FIRST_SILENT_PART 1.0
/* For routes without an objective or a longest pause. */
#define DEFAULT_SILENT_MS 5000
/* Part of the objective in which a request waits for a usable server. */
#define WAIT_PART    0.125
#define WAIT_STEP_MS 25
/* A timer that fires this late tells that the daemon itself stood still. */
#define OWN_PAUSE_MS 150
/* How long a silent server is kept before another one is looked for again. */
#define STAY_MS 50
/* Time to read what arrived meanwhile. */
#define CATCH_UP_MS 60
/* Answers up to this size are checked whole before a byte goes on. */
#define COLLECT_BYTES 65536
/* Bytes that may wait for a slow caller before its server is paused. */
#define MAX_PENDING_BYTES 131072
/* Servers that are asked for their load before a stream is placed. */
#define SURVEY_SIZE 3
/* They answer within a round trip; one that does not is not chosen. */
#define SURVEY_MS 40

static int exchange_destructor(gc_exchange_t *exchange);
static void next_attempt(gc_exchange_t *exchange);
static bool ask_for_load(gc_exchange_t *exchange, struct timespec now);
static void on_survey(void *ctx);
static void start_attempt(gc_exchange_t *exchange, gc_backend_t *backend,
			  int64_t left_ms);
static void wait_for_server(gc_exchange_t *exchange);
static void on_head(void *ctx, const gc_http_message_t *answer);
static void on_body(void *ctx, gc_str_t data);
static void on_whole(void *ctx, const gc_http_message_t *answer);
static void on_failed(void *ctx, gc_attempt_end_t end, const char *why);
static void take_events(gc_exchange_t *exchange, gc_str_t data);
static void count_pause(gc_exchange_t *exchange);
static void append_event(void *ctx, gc_str_t event);
static void pass_bytes(gc_exchange_t *exchange, gc_str_t data);
static void pause_server(gc_exchange_t *exchange, bool pause);
static void take_whole_stream(gc_exchange_t *exchange);
static void attempt_ended(gc_exchange_t *exchange, gc_attempt_end_t end,
			  const char *why);
static void release_attempt(gc_exchange_t *exchange);
static void cancel_call(gc_exchange_t *exchange);
static int64_t silent_limit_ms(const gc_exchange_t *exchange);
static void on_silence(void *ctx);
static bool can_move(const gc_exchange_t *exchange, struct timespec now);
static void on_retry(void *ctx);

static const gc_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.whole = on_whole,
	.failed = on_failed,
};

void gc_exchange_run(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	gc_timers_t *timers = relay->conf.timers;

	talloc_set_destructor(exchange, exchange_destructor);
	exchange->next = relay->open;
	if (relay->open)
		relay->open->prev = exchange;
	relay->open = exchange;
	relay->n_open++;
	gc_caller_conn_set_data(exchange->caller, exchange);
	exchange->head = g_string_new(NULL);
	exchange->body = g_byte_array_new();
	exchange->limit_timer = gc_timer_create(exchange, timers,
						gc_exchange_on_limit, exchange);
	exchange->silence_timer =
		gc_timer_create(exchange, timers, on_silence, exchange);
	exchange->copy_timer = gc_timer_create(
		exchange, timers, gc_exchange_on_copy_timer, exchange);
	gc_timer_destroy(exchange->retry_timer);
	exchange->retry_timer =
		gc_timer_create(exchange, timers, on_retry, exchange);
	if (exchange->route->kind == GC_ROUTE_STREAM) {
		gc_str_t last = gc_http_message_find(exchange->request,
						     "last-event-id");
		g_autofree char *text =
			last.data ? g_strndup(last.data, last.len) : NULL;

		exchange->events = gc_event_sequencer_create(
			exchange, text && *text
					  ? g_ascii_strtoll(text, NULL, 10)
					  : GC_EVENT_ID_NONE);
	}
	gc_timer_set(exchange->limit_timer,
		     exchange->limit_ms - gc_exchange_elapsed_ms(exchange) +
			     LIMIT_SLACK_MS);
	next_attempt(exchange);
}

static int exchange_destructor(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;

	cancel_call(exchange);
	release_attempt(exchange);
	if (exchange->survey)
		gc_load_probe_destroy(exchange->survey);
	for (size_t i = 0; i < exchange->n_tried; i++)
		gc_backend_unref(exchange->tried[i]);
	gc_backend_unref(exchange->copy_from);
	gc_fleet_view_unref(exchange->view);
	g_string_free(exchange->head, TRUE);
	g_byte_array_free(exchange->body, TRUE);
	if (exchange->prev)
		exchange->prev->next = exchange->next;
	else
		relay->open = exchange->next;
	if (exchange->next)
		exchange->next->prev = exchange->prev;
	relay->n_open--;
	return 0;
}

static void next_attempt(gc_exchange_t *exchange)
{
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);
	int64_t left_ms = exchange->limit_ms - gc_exchange_elapsed_ms(exchange);
	gc_backend_set_t tried = {exchange->tried, exchange->n_tried};
	gc_backend_t *backend;

	if (left_ms <= 0 || exchange->n_tried == GC_EXCHANGE_MAX_TRIED) {
		exchange->limit = left_ms <= 0 ? "time" : "attempts";
		gc_exchange_give_up(exchange,
				    gc_attempts_give_up(&exchange->attempts),
				    GC_END_SILENT);
		return;
	}
	if (exchange->copy_from &&
	    gc_backend_usable(exchange->copy_from, now)) {
		start_attempt(exchange, exchange->copy_from, left_ms);
		return;
	}
	gc_backend_unref(exchange->copy_from);
	exchange->copy_from = NULL;
	if (ask_for_load(exchange, now))
		return;
	backend = gc_backends_choose(exchange->relay->backends, now,
				     exchange->service, &tried);
	if (backend)
		start_attempt(exchange, backend, left_ms);
	else
		wait_for_server(exchange);
}

/* True if a survey was started; its end goes on with the attempt. */
static bool ask_for_load(gc_exchange_t *exchange, struct timespec now)
{
	gc_relay_t *relay = exchange->relay;
	const gc_route_service_t *service =
		gc_routes_service(exchange->view->routes, exchange->service);
	gc_backend_set_t tried = {exchange->tried, exchange->n_tried};
	gc_backend_t *candidates[SURVEY_SIZE];
	gc_load_probe_conf_t conf = {
		.upstream = relay->upstream,
		.timers = relay->conf.timers,
		.clock = relay->conf.clock,
		.adapter = relay->conf.adapter,
		.timeout_ms = SURVEY_MS,
		.done = on_survey,
		.ctx = exchange,
	};
	size_t n;

	if (!service || !service->reports_load)
		return false;
	n = gc_backends_candidates(relay->backends, now, exchange->service,
				   &tried, candidates, SURVEY_SIZE);
	if (n < 2)
		return false;
	/* Not the exchange's: its end may free the exchange first. */
	exchange->survey = gc_load_probe_start(relay, &conf, candidates, n);
	return true;
}

static void on_survey(void *ctx)
{
	gc_exchange_t *exchange = ctx;
	gc_load_probe_t *survey = exchange->survey;
	gc_backend_set_t answered = gc_load_probe_answered(survey);
	gc_backend_t *backend =
		gc_backends_best_of(exchange->relay->backends,
				    gc_clock_now(exchange->relay->conf.clock),
				    &answered);

	exchange->survey = NULL;
	if (backend)
		start_attempt(exchange, backend,
			      exchange->limit_ms -
				      gc_exchange_elapsed_ms(exchange));
	else
		wait_for_server(exchange);
	gc_load_probe_destroy(survey);
}

static void start_attempt(gc_exchange_t *exchange, gc_backend_t *backend,
			  int64_t left_ms)
{
	gc_relay_t *relay = exchange->relay;
	struct timespec now = gc_clock_now(relay->conf.clock);
	g_autofree char *left = g_strdup_printf("%" G_GINT64_FORMAT, left_ms);
	g_autofree char *in_flight =
		g_strdup_printf("%u", gc_backend_in_flight(backend));
	GString *text;

	exchange->backend = gc_backend_ref(backend);
	exchange->tried[exchange->n_tried++] = gc_backend_ref(backend);
	gc_backend_begin(backend);
	gc_exchange_start_copy(exchange);
	exchange->heard = now;
	exchange->heard_any = false;
	exchange->paused = false;
	exchange->good = false;
	exchange->refused = false;
	g_byte_array_set_size(exchange->body, 0);
	if (exchange->events)
		gc_event_sequencer_restart(exchange->events);
	gc_log(GC_LOG_DEBUG, GC_EVENT_ROUTED_ATTEMPT, "attempt", "request",
	       exchange->id.data, "server", gc_backend_id(backend).data,
	       "left_ms", left, "in_flight", in_flight, "copy",
	       exchange->copy ? gc_backend_id(exchange->copy).data : "", NULL);
	text = gc_exchange_request_text(exchange, backend, left_ms);
	gc_attempts_sent(&exchange->attempts);
	exchange->call = gc_upstream_start(relay->upstream, backend,
					   (gc_str_t){text->str, text->len},
					   exchange->id, exchange->head_request,
					   &call_ops, exchange);
	g_string_free(text, TRUE);
	if (!exchange->call) {
		attempt_ended(exchange, GC_END_UNREACHED,
			      "no connection can be opened");
		return;
	}
	if (exchange->route->kind != GC_ROUTE_ONCE)
		gc_timer_set(exchange->silence_timer,
			     silent_limit_ms(exchange));
}

/* A refusal at once is better than one after a long wait. */
static void wait_for_server(gc_exchange_t *exchange)
{
	double longest =
		exchange->head_sent
			? (double)exchange->route->event_gap_ms
			: WAIT_PART * (double)exchange->route->objective_ms;
	int64_t waited =
		exchange->head_sent
			? gc_ms_between(
				  exchange->heard,
				  gc_clock_now(exchange->relay->conf.clock))
			: gc_exchange_elapsed_ms(exchange);

	if ((double)waited < longest) {
		gc_timer_set(exchange->retry_timer, WAIT_STEP_MS);
		return;
	}
	exchange->limit = "servers";
	gc_exchange_give_up(exchange, gc_attempts_give_up(&exchange->attempts),
			    GC_END_UNREACHED);
}

static void on_retry(void *ctx)
{
	next_attempt(ctx);
}

static int64_t silent_limit_ms(const gc_exchange_t *exchange)
{
	const gc_route_t *route = exchange->route;
	double ms = FIRST_SILENT_PART * (double)route->objective_ms;

	if (exchange->heard_any)
		ms = SILENT_PART * (double)route->event_gap_ms;
	return ms > 0 ? (int64_t)ms : DEFAULT_SILENT_MS;
}

static void on_silence(void *ctx)
{
	gc_exchange_t *exchange = ctx;
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);
	int64_t limit = silent_limit_ms(exchange);
	int64_t silent = gc_ms_between(exchange->heard, now);

	/* A server that is not read gets its time again when it is. */
	if (!exchange->call || exchange->paused)
		return;
	if (silent < limit) {
		gc_timer_set(exchange->silence_timer, limit - silent);
		return;
	}
	if (silent > limit + OWN_PAUSE_MS) {
		/* The server may have sent while the daemon stood still. */
		exchange->heard = gc_add_ms(now, CATCH_UP_MS - limit);
		gc_timer_set(exchange->silence_timer, CATCH_UP_MS);
		return;
	}
	if (!can_move(exchange, now)) {
		gc_timer_set(exchange->silence_timer, STAY_MS);
		return;
	}
	cancel_call(exchange);
	attempt_ended(exchange, GC_END_SILENT, "the server is silent");
}

/* A silent server is better than none: it may only be slow. */
static bool can_move(const gc_exchange_t *exchange, struct timespec now)
{
	gc_backend_set_t tried = {exchange->tried, exchange->n_tried};
	gc_backend_t *other;

	if (exchange->copy && exchange->heard_any &&
	    gc_backend_usable(exchange->copy, now))
		return true;
	return exchange->n_tried < GC_EXCHANGE_MAX_TRIED &&
	       gc_backends_candidates(exchange->relay->backends, now,
				      exchange->service, &tried, &other, 1) > 0;
}

static void on_head(void *ctx, const gc_http_message_t *answer)
{
	gc_exchange_t *exchange = ctx;
	const gc_header_names_t *names =
		&exchange->relay->conf.adapter->headers;
	int status = gc_http_message_status(answer);

	exchange->moved = status == 421;
	exchange->refused = exchange->moved ||
			    gc_http_message_find(answer, names->not_run).data;
	exchange->good = !exchange->refused && status >= 200 && status < 300 &&
			 gc_http_message_find(answer, names->mac).data;
	if (exchange->head_sent)
		return;
	exchange->status = status;
	g_string_truncate(exchange->head, 0);
	gc_exchange_copy_head(exchange->head, answer);
}

static void on_body(void *ctx, gc_str_t data)
{
	gc_exchange_t *exchange = ctx;

	/* What a caller that has left may not hear need not be kept. */
	if (!exchange->caller)
		return;
	if (exchange->good && exchange->events)
		take_events(exchange, data);
	else if (exchange->head_sent && !exchange->events)
		pass_bytes(exchange, data);
	else
		g_byte_array_append(exchange->body, (const guint8 *)data.data,
				    (guint)data.len);
	if (exchange->good && !exchange->events && !exchange->head_sent &&
	    exchange->body->len > COLLECT_BYTES) {
		gc_caller_conn_begin(exchange->caller, exchange->status,
				     (gc_str_t){exchange->head->str,
						exchange->head->len});
		exchange->head_sent = true;
		pass_bytes(exchange,
			   (gc_str_t){(const char *)exchange->body->data,
				      exchange->body->len});
		g_byte_array_set_size(exchange->body, 0);
	}
}

static void take_events(gc_exchange_t *exchange, gc_str_t data)
{
	g_autoptr(GString) whole = g_string_new(NULL);
	g_autoptr(GError) err = NULL;
	bool ok = gc_event_sequencer_feed(exchange->events, data, append_event,
					  whole, &err);

	if (whole->len > 0) {
		exchange->heard = gc_clock_now(exchange->relay->conf.clock);
		count_pause(exchange);
		if (!exchange->heard_any) {
			exchange->heard_any = true;
			gc_backend_alive(exchange->backend);
			gc_timer_set(exchange->silence_timer,
				     silent_limit_ms(exchange));
		}
		if (!exchange->head_sent)
			gc_caller_conn_begin(exchange->caller, exchange->status,
					     (gc_str_t){exchange->head->str,
							exchange->head->len});
		exchange->head_sent = true;
		pass_bytes(exchange, (gc_str_t){whole->str, whole->len});
	}
	if (ok)
		return;
	cancel_call(exchange);
	attempt_ended(exchange, GC_END_BROKEN, err->message);
}

/* For the log: whether the caller got its events in time. */
static void count_pause(gc_exchange_t *exchange)
{
	int64_t pause_ms = gc_ms_between(exchange->passed, exchange->heard);

	if (!exchange->head_sent)
		exchange->first_ms =
			gc_ms_between(exchange->arrived, exchange->heard);
	else if (pause_ms > exchange->pause_ms)
		exchange->pause_ms = pause_ms;
	exchange->passed = exchange->heard;
}

static void append_event(void *ctx, gc_str_t event)
{
	g_string_append_len(ctx, event.data, (gssize)event.len);
}

static void pass_bytes(gc_exchange_t *exchange, gc_str_t data)
{
	gc_caller_conn_chunk(exchange->caller, data);
	if (gc_caller_conn_pending(exchange->caller) > MAX_PENDING_BYTES)
		pause_server(exchange, true);
}

static void pause_server(gc_exchange_t *exchange, bool pause)
{
	if (!exchange->call || exchange->paused == pause)
		return;
	exchange->paused = pause;
	gc_call_pause(exchange->call, pause);
	/* The time in which it was not read is no silence. */
	exchange->heard = gc_clock_now(exchange->relay->conf.clock);
	if (!pause && exchange->route->kind != GC_ROUTE_ONCE)
		gc_timer_set(exchange->silence_timer,
			     silent_limit_ms(exchange));
}

void gc_exchange_drained(gc_exchange_t *exchange)
{
	pause_server(exchange, false);
}

static void on_whole(void *ctx, const gc_http_message_t *answer)
{
	gc_exchange_t *exchange = ctx;

	/* It is freed by its owner after this callback. */
	exchange->call = NULL;
	if (exchange->refused) {
		attempt_ended(exchange,
			      exchange->moved ? GC_END_MOVED : GC_END_REFUSED,
			      "the server did not run it");
	} else if (exchange->good && exchange->events) {
		take_whole_stream(exchange);
	} else if (exchange->good ||
		   (exchange->status >= 300 && exchange->status < 500 &&
		    !gc_promises_not_run(exchange->status))) {
		gc_backend_succeeded(exchange->backend);
		gc_exchange_answer(exchange);
	} else if (exchange->status < 300) {
		attempt_ended(exchange, GC_END_BROKEN,
			      "the answer is not authenticated");
	} else {
		attempt_ended(exchange, GC_END_FAILED, "the server failed");
	}
}

static void take_whole_stream(gc_exchange_t *exchange)
{
	gc_caller_conn_t *caller = exchange->caller;

	if (gc_event_sequencer_partial(exchange->events)) {
		attempt_ended(exchange, GC_END_BROKEN,
			      "the stream ended inside an event");
		return;
	}
	gc_backend_succeeded(exchange->backend);
	if (!exchange->head_sent)
		gc_caller_conn_begin(caller, exchange->status,
				     (gc_str_t){exchange->head->str,
						exchange->head->len});
	gc_exchange_log_end(exchange, GC_REQUEST_ANSWERED, "request answered");
	gc_caller_conn_set_data(caller, NULL);
	talloc_free(exchange);
	gc_caller_conn_end(caller);
}

static void on_failed(void *ctx, gc_attempt_end_t end, const char *why)
{
	gc_exchange_t *exchange = ctx;

	exchange->call = NULL;
	attempt_ended(exchange, end, why);
}

static void attempt_ended(gc_exchange_t *exchange, gc_attempt_end_t end,
			  const char *why)
{
	gc_relay_t *relay = exchange->relay;
	struct timespec now = gc_clock_now(relay->conf.clock);
	int64_t left_ms = exchange->limit_ms - gc_exchange_elapsed_ms(exchange);
	g_autofree char *status = g_strdup_printf("%d", exchange->status);
	bool repeat;
	gc_next_t next;

	gc_log(GC_LOG_INFO, GC_EVENT_ROUTED_ATTEMPT_ENDED, "attempt failed",
	       "request", exchange->id.data, "server",
	       gc_backend_id(exchange->backend).data, "reason", why, "status",
	       status, NULL);
	gc_backend_failed(exchange->backend, now, end);
	gc_exchange_use_copy(exchange);
	release_attempt(exchange);
	next = gc_attempts_end(&exchange->attempts, end, left_ms, &repeat);
	if (!exchange->caller) {
		talloc_free(exchange);
		return;
	}
	if (next != GC_NEXT_RETRY)
		exchange->limit =
			exchange->attempts.may_have_run &&
					!gc_route_may_repeat(exchange->route)
				? "once"
				: "attempts";
	if (next == GC_NEXT_RETRY && repeat &&
	    !gc_backends_take_repeat(relay->backends, now, exchange->service)) {
		exchange->limit = "repeats";
		next = end == GC_END_FAILED
			       ? GC_NEXT_PASS
			       : gc_attempts_give_up(&exchange->attempts);
	}
	if (next == GC_NEXT_RETRY)
		next_attempt(exchange);
	else
		gc_exchange_give_up(exchange, next, end);
}

static void release_attempt(gc_exchange_t *exchange)
{
	gc_timer_stop(exchange->silence_timer);
	gc_exchange_stop_copy(exchange);
	if (exchange->backend) {
		gc_backend_end(exchange->backend);
		gc_backend_unref(exchange->backend);
		exchange->backend = NULL;
	}
}

static void cancel_call(gc_exchange_t *exchange)
{
	if (exchange->call)
		gc_call_cancel(exchange->call);
	exchange->call = NULL;
}

void gc_exchange_abandon(gc_exchange_t *exchange)
{
	g_autofree char *ms = g_strdup_printf("%" G_GINT64_FORMAT,
					      gc_exchange_elapsed_ms(exchange));

	gc_log(GC_LOG_INFO, GC_EVENT_ROUTED_ABANDONED, "the caller left",
	       "request", exchange->id.data, "ms", ms, NULL);
	exchange->caller = NULL;
	exchange->request = NULL;
	if (!exchange->route) {
		talloc_free(exchange);
		return;
	}
	/* What may not be repeated is better finished than broken off. */
	if (exchange->route->kind == GC_ROUTE_ONCE && exchange->call)
		return;
	talloc_free(exchange);
}
