/* Forwarding of the response of one routed request. */
#include "lib/relay_private.h"

/* Responses up to this size are received completely before any byte is
 * forwarded, so that an incomplete one can be retried. */
#define MAX_BUFFERED_RESPONSE_BYTES 65536
/* A response that reports a failure is forwarded up to this size. */
#define MAX_FAILURE_RESPONSE_BYTES 262144
/* Bytes not yet sent to a slow caller above which its server isn't read. */
#define MAX_UNSENT_BYTES 131072

static void begin_forwarding(gc_exchange_t *exchange);
static void forward_events(gc_exchange_t *exchange, gc_str_t data);
static void send_events(gc_exchange_t *exchange, gc_str_t events);
static void send_head(gc_exchange_t *exchange);
static void fix_head(gc_exchange_t *exchange);
static void hold_events(gc_exchange_t *exchange, const GString *events);
static void record_event_gap(gc_exchange_t *exchange);
static void append_event(void *ctx, gc_str_t event);
static void forward_bytes(gc_exchange_t *exchange, gc_str_t data);
static void count_response(gc_exchange_t *exchange);
static bool is_caller_behind(const gc_exchange_t *exchange);
static void set_server_paused(gc_exchange_t *exchange, bool paused);

void gc_exchange_on_body(void *ctx, gc_str_t data)
{
	gc_exchange_t *exchange = ctx;

	/* Nothing is forwarded to a caller that has disconnected. */
	if (!exchange->caller)
		return;
	if (exchange->answer->success && exchange->sequencer) {
		forward_events(exchange, data);
		return;
	}
	if (!exchange->sequencer)
		exchange->last_activity =
			gc_clock_now(exchange->relay->conf.clock);
	if (exchange->head_sent && !exchange->sequencer) {
		forward_bytes(exchange, data);
		return;
	}
	g_byte_array_append(exchange->answer->body, (const guint8 *)data.data,
			    (guint)data.len);
	count_response(exchange);
	if (exchange->answer->success &&
	    exchange->answer->body->len > MAX_BUFFERED_RESPONSE_BYTES) {
		begin_forwarding(exchange);
	} else if (exchange->answer->body->len > MAX_FAILURE_RESPONSE_BYTES) {
		gc_exchange_cancel_call(exchange);
		gc_exchange_finish_attempt(exchange, GC_END_BROKEN,
					   "the failure response is too long");
	}
}

/* The body is too long to be received completely before it is forwarded. */
static void begin_forwarding(gc_exchange_t *exchange)
{
	GByteArray *body = exchange->answer->body;

	gc_exchange_drop_standby(exchange);
	send_head(exchange);
	forward_bytes(exchange,
		      (gc_str_t){(const char *)body->data, body->len});
	g_byte_array_set_size(body, 0);
	count_response(exchange);
}

static void count_response(gc_exchange_t *exchange)
{
	size_t events = exchange->held_events ? exchange->held_events->len : 0;

	size_t partial =
		exchange->sequencer
			? gc_event_sequencer_partial_bytes(exchange->sequencer)
			: 0;

	gc_caller_conn_hold(exchange->caller, GC_HELD_RESPONSE,
			    gc_buffer_memory(exchange->answer->body->len) +
				    gc_buffer_memory(events) +
				    gc_buffer_memory(partial));
	if (gc_caller_conn_stop_source(exchange->caller))
		set_server_paused(exchange, true);
}

void gc_exchange_resume_server(gc_exchange_t *exchange)
{
	if (!gc_exchange_is_held(exchange) && !is_caller_behind(exchange))
		set_server_paused(exchange, false);
}

static void forward_events(gc_exchange_t *exchange, gc_str_t data)
{
	g_autoptr(GString) complete_events = g_string_new(NULL);
	g_autoptr(GError) err = NULL;
	bool ok = gc_event_sequencer_feed(exchange->sequencer, data,
					  append_event, complete_events, &err);

	if (complete_events->len > 0) {
		if (!exchange->hop)
			gc_relay_record_response(exchange->relay,
						 exchange->service, false);
		exchange->last_activity =
			gc_clock_now(exchange->relay->conf.clock);
		record_event_gap(exchange);
		if (!exchange->answer->received_event) {
			exchange->answer->received_event = true;
			gc_exchange_drop_standby(exchange);
			if (exchange->silence_query)
				gc_backend_query_destroy(
					exchange->silence_query);
			exchange->silence_query = NULL;
			gc_backend_record_activity(exchange->backend);
			gc_exchange_record_served(exchange);
			gc_exchange_count_first_event(exchange);
			gc_exchange_begin_at(
				exchange, exchange->hop
						  ? exchange->hop_version
						  : gc_backend_version(
							    exchange->backend));
			gc_exchange_watch_silence(exchange);
		}
		if (gc_exchange_is_held(exchange))
			hold_events(exchange, complete_events);
		else
			send_events(exchange, (gc_str_t){complete_events->str,
							 complete_events->len});
	}
	if (ok) {
		count_response(exchange);
		return;
	}
	gc_exchange_cancel_call(exchange);
	gc_exchange_finish_attempt(exchange, GC_END_BROKEN, err->message);
}

static void send_events(gc_exchange_t *exchange, gc_str_t events)
{
	send_head(exchange);
	forward_bytes(exchange, events);
}

static void send_head(gc_exchange_t *exchange)
{
	const gc_answer_t *answer;

	if (exchange->head_sent)
		return;
	fix_head(exchange);
	answer = exchange->begun_by;
	gc_caller_conn_begin_stream(exchange->caller, answer->status,
				    (gc_str_t){answer->head->str,
					       answer->head->len});
	exchange->head_sent = true;
}

/* The caller gets the head of the server that sent the first event. */
static void fix_head(gc_exchange_t *exchange)
{
	if (!exchange->begun_by)
		exchange->begun_by = gc_answer_ref(exchange->answer);
}

/* The server isn't read further until the events are forwarded. */
static void hold_events(gc_exchange_t *exchange, const GString *events)
{
	fix_head(exchange);
	if (!exchange->held_events)
		exchange->held_events = g_string_new(NULL);
	g_string_append_len(exchange->held_events, events->str,
			    (gssize)events->len);
	set_server_paused(exchange, true);
}

void gc_exchange_release_events(gc_exchange_t *exchange)
{
	if (!exchange->caller)
		return;
	if (exchange->held_events) {
		send_events(exchange, (gc_str_t){exchange->held_events->str,
						 exchange->held_events->len});
		g_string_free(exchange->held_events, TRUE);
		exchange->held_events = NULL;
		count_response(exchange);
	}
	/* A response without events may have ended, too. */
	if (exchange->ended_held)
		gc_exchange_finish_stream(exchange);
	else if (!is_caller_behind(exchange))
		set_server_paused(exchange, false);
}

/* Updates the logged first-event time and longest event gap. */
static void record_event_gap(gc_exchange_t *exchange)
{
	int64_t gap_ms = gc_ms_between(exchange->last_forwarded,
				       exchange->last_activity);

	if (!exchange->head_sent)
		exchange->first_event_ms = gc_ms_between(
			exchange->arrived, exchange->last_activity);
	else if (gap_ms > exchange->max_event_gap_ms)
		exchange->max_event_gap_ms = gap_ms;
	exchange->last_forwarded = exchange->last_activity;
}

static void append_event(void *ctx, gc_str_t event)
{
	g_string_append_len(ctx, event.data, (gssize)event.len);
}

static void forward_bytes(gc_exchange_t *exchange, gc_str_t data)
{
	gc_caller_conn_send_data(exchange->caller, data);
	if (!is_caller_behind(exchange))
		return;
	exchange->slow_reader = true;
	set_server_paused(exchange, true);
}

static bool is_caller_behind(const gc_exchange_t *exchange)
{
	return gc_caller_conn_unsent_bytes(exchange->caller) >
	       gc_caller_conn_allowance(exchange->caller, MAX_UNSENT_BYTES);
}

static void set_server_paused(gc_exchange_t *exchange, bool paused)
{
	if (!exchange->call || exchange->read_paused == paused)
		return;
	exchange->read_paused = paused;
	gc_call_set_paused(exchange->call, paused);
	/* Time without reading does not count as server inactivity. */
	exchange->last_activity = gc_clock_now(exchange->relay->conf.clock);
	if (!paused && exchange->route->kind != GC_ROUTE_NON_IDEMPOTENT)
		gc_exchange_watch_silence(exchange);
}

void gc_exchange_on_drained(gc_exchange_t *exchange)
{
	set_server_paused(exchange, false);
}

void gc_exchange_finish_stream(gc_exchange_t *exchange)
{
	gc_caller_conn_t *caller = exchange->caller;

	if (gc_event_sequencer_has_partial(exchange->sequencer)) {
		gc_exchange_finish_attempt(exchange, GC_END_BROKEN,
					   "the stream ended inside an event");
		return;
	}
	if (!exchange->ended_held)
		gc_exchange_count_stream_end(exchange);
	if (gc_exchange_is_held(exchange)) {
		exchange->attempts.may_have_run = true;
		exchange->ended_held = true;
		return;
	}
	gc_backend_record_success(exchange->backend);
	send_head(exchange);
	gc_exchange_log_end(exchange, GC_REQUEST_ANSWERED, "request answered");
	gc_caller_conn_set_data(caller, NULL);
	talloc_free(exchange);
	gc_caller_conn_end_stream(caller);
}
