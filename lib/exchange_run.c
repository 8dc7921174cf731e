/* Attempts of one routed request. */
#include <stdlib.h>

#include <xxhash.h>

#include "core/number.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/relay_private.h"

/* Time for the load report of a server whose response may be cut. Less than the
 * time for a connect, so that one that hangs differs from one that is refused. */
#define END_QUERY_TIMEOUT_MS 240

static const gc_prompt_t *create_prompt(gc_exchange_t *exchange);
static int exchange_destructor(gc_exchange_t *exchange);
static void start_attempt(gc_exchange_t *exchange, gc_backend_t *backend,
			  int64_t left_ms);
static void on_head(void *ctx, const gc_http_message_t *response);
static void on_complete(void *ctx, const gc_http_message_t *response);
static void on_failed(void *ctx, gc_attempt_end_t end, const char *reason);
static void take_answer(gc_exchange_t *exchange);
static bool is_event_stream(const gc_http_message_t *response);
static bool is_final_failure(const gc_exchange_t *exchange);
static bool is_cut_before_events(const gc_exchange_t *exchange,
				 const gc_http_message_t *response);
static bool is_end_uncertain(const gc_exchange_t *exchange,
			     const gc_http_message_t *response);
static void check_end(gc_exchange_t *exchange);
static void start_end_query(gc_exchange_t *exchange);
static void on_end_report(void *ctx, int status, gc_str_t response,
			  gc_attempt_end_t end);

const gc_call_ops_t gc_exchange_call_ops = {
	.head = on_head,
	.body = gc_exchange_on_body,
	.complete = on_complete,
	.failed = on_failed,
};

void gc_exchange_run(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	gc_timers_t *timers = relay->conf.timers;

	talloc_set_destructor(exchange, exchange_destructor);
	exchange->next = relay->exchanges;
	if (relay->exchanges)
		relay->exchanges->prev = exchange;
	relay->exchanges = exchange;
	relay->n_exchanges++;
	relay->n_received += exchange->received;
	gc_caller_conn_set_data(exchange->caller, exchange);
	exchange->answer = gc_answer_create();
	gc_exchange_read_traits(exchange);
	exchange->time_limit_timer = gc_timer_create(
		exchange, timers, gc_exchange_on_time_limit, exchange);
	exchange->inactivity_timer = gc_timer_create(
		exchange, timers, gc_exchange_on_inactivity, exchange);
	exchange->link_timer = gc_timer_create(
		exchange, timers, gc_exchange_on_link_timer, exchange);
	exchange->copy_timer = gc_timer_create(
		exchange, timers, gc_exchange_on_copy_timer, exchange);
	/* The timer may have been used to wait for a configuration. */
	gc_timer_destroy(exchange->retry_timer);
	exchange->retry_timer = gc_timer_create(exchange, timers,
						gc_exchange_on_retry, exchange);
	if (exchange->route->kind == GC_ROUTE_STREAM) {
		gc_str_t last = gc_http_message_find_header(exchange->request,
							    "last-event-id");
		int64_t last_id = 0;

		exchange->resumed = last.data && last.len > 0;
		gc_parse_whole(last, GC_EVENT_ID_MAX, &last_id);
		exchange->prompt = create_prompt(exchange);
		exchange->sequencer = gc_event_sequencer_create(
			exchange,
			exchange->resumed ? last_id : GC_EVENT_ID_NONE);
	}
	gc_timer_set(exchange->time_limit_timer,
		     exchange->last_answer_ms -
			     gc_exchange_elapsed_ms(exchange));
	gc_exchange_count_admitted(exchange);
	if (gc_exchange_find_version(exchange))
		gc_exchange_start_next_attempt(exchange);
}

static const gc_prompt_t *create_prompt(gc_exchange_t *exchange)
{
	const gc_adapter_t *adapter = exchange->relay->conf.adapter;
	gc_str_t id = adapter->prompt_id(gc_http_message_find_header(
		exchange->request, adapter->headers.prompt));
	gc_prompt_t *prompt;

	if (id.len == 0)
		return NULL;
	prompt = talloc_zero(exchange, gc_prompt_t);
	adapter->read_token_counts(
		gc_http_message_find_header(exchange->request,
					    adapter->headers.token_counts),
		&prompt->tokens, &prompt->max_output_tokens);
	prompt->hash = XXH64(id.data, id.len, 0);
	prompt->resumed = exchange->resumed;
	prompt->reserve = gc_exchange_urgency(exchange).reserve;
	return prompt;
}

static int exchange_destructor(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;

	gc_exchange_cancel_call(exchange);
	gc_exchange_drop_standby(exchange);
	gc_exchange_release_attempt(exchange);
	if (exchange->load_probe)
		gc_load_probe_destroy(exchange->load_probe);
	for (size_t i = 0; i < exchange->n_tried; i++)
		gc_backend_unref(exchange->tried[i]);
	for (size_t i = 0; i < exchange->n_hops; i++)
		gc_backend_unref(exchange->hops[i]);
	gc_backend_unref(exchange->resume_holder);
	gc_fleet_view_unref(exchange->view);
	gc_answer_unref(exchange->answer);
	gc_answer_unref(exchange->begun_by);
	if (exchange->held_events)
		g_string_free(exchange->held_events, TRUE);
	if (exchange->prev)
		exchange->prev->next = exchange->next;
	else
		relay->exchanges = exchange->next;
	if (exchange->next)
		exchange->next->prev = exchange->prev;
	relay->n_exchanges--;
	relay->n_received -= exchange->received;
	relay->n_awaiting_retry -= exchange->awaits_retry;
	return 0;
}

void gc_exchange_start_attempt(gc_exchange_t *exchange, gc_backend_t *backend,
			       int64_t left_ms)
{
	exchange->hop = false;
	exchange->hopped_before |= exchange->n_hops > 0;
	exchange->turned_away[exchange->n_tried] = false;
	exchange->tried[exchange->n_tried++] = gc_backend_ref(backend);
	start_attempt(exchange, backend, left_ms);
}

void gc_exchange_start_hop(gc_exchange_t *exchange, gc_backend_t *daemon,
			   int64_t left_ms)
{
	exchange->hop = true;
	exchange->hopped_before |= exchange->n_hops > 0;
	exchange->hops[exchange->n_hops++] = gc_backend_ref(daemon);
	start_attempt(exchange, daemon, left_ms);
}

/* backend: a server, or the daemon that the request is passed on to. */
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
	gc_backend_add_request(backend);
	if (!exchange->hop) {
		gc_exchange_fix_version(exchange, backend);
		gc_exchange_start_copy(exchange);
	}
	exchange->attempt_started = now;
	gc_exchange_count_attempt(exchange, backend);
	exchange->last_activity = now;
	gc_answer_unref(exchange->answer);
	exchange->answer = gc_answer_create();
	exchange->suspect_trial = false;
	exchange->permit_asked = false;
	exchange->silence = (gc_silence_t){0};
	exchange->read_paused = false;
	if (exchange->sequencer)
		gc_event_sequencer_discard_partial(exchange->sequencer);
	gc_log(GC_LOG_DEBUG, GC_EVENT_ROUTED_ATTEMPT, "attempt started",
	       "request", exchange->id.data, "server",
	       gc_backend_id(backend).data, "left_ms", left, "in_flight",
	       in_flight, "copy",
	       exchange->copy_holder ? gc_backend_id(exchange->copy_holder).data
				     : "",
	       NULL);
	gc_attempts_count_sent(&exchange->attempts);
	text = exchange->hop
		       ? gc_exchange_hop_text(exchange, left_ms)
		       : gc_exchange_request_text(exchange, backend, left_ms);
	exchange->call = gc_upstream_start(
		exchange->hop ? relay->hop_upstream : relay->upstream, backend,
		(gc_str_t){text->str, text->len}, exchange->id,
		exchange->head_request, &gc_exchange_call_ops, exchange);
	g_string_free(text, TRUE);
	exchange->counted_sent = 0;
	gc_exchange_count_unsent(exchange);
	if (!exchange->call) {
		gc_exchange_finish_attempt(
			exchange, GC_END_UNREACHABLE,
			"could not open a connection to the server");
		return;
	}
	gc_exchange_watch_overlap(exchange);
	gc_exchange_watch_link(exchange);
	if (!exchange->hop)
		gc_relay_watch_silence(relay);
	if (exchange->route->kind != GC_ROUTE_NON_IDEMPOTENT)
		gc_exchange_watch_silence(exchange);
}

void gc_exchange_count_unsent(gc_exchange_t *exchange)
{
	uint64_t sent;

	if (!exchange->caller)
		return;
	if (!exchange->call) {
		gc_caller_conn_hold_for_server(exchange->caller, 0, 0);
		return;
	}
	sent = gc_call_sent_bytes(exchange->call);
	gc_caller_conn_hold_for_server(exchange->caller,
				       gc_call_unsent_bytes(exchange->call),
				       sent - exchange->counted_sent);
	exchange->counted_sent = sent;
}

static void on_head(void *ctx, const gc_http_message_t *response)
{
	gc_exchange_t *exchange = ctx;

	gc_exchange_read_head(exchange, exchange->answer, exchange->hop,
			      response);
	gc_exchange_record_head(exchange);
}

void gc_exchange_read_head(gc_exchange_t *exchange, gc_answer_t *answer,
			   bool hop, const gc_http_message_t *response)
{
	const gc_header_names_t *names =
		&exchange->relay->conf.adapter->headers;
	int status = gc_http_message_status(response);

	answer->status = status;
	answer->identified =
		exchange->id.len == 0 ||
		gc_http_message_find_header(response, names->request_id).data;
	answer->misdirected = answer->identified && status == 421;
	answer->not_run =
		answer->misdirected ||
		(answer->identified &&
		 gc_http_message_find_header(response, names->not_run).data);
	if (hop)
		gc_exchange_read_hop_head(exchange, answer, response);
	answer->success =
		answer->identified && !answer->not_run && status >= 200 &&
		status < 300 &&
		gc_http_message_find_header(response, names->mac).data;
	/* The caller gets the head of the server that sent the first event. */
	if (exchange->begun_by) {
		answer->not_a_stream =
			answer->success && !is_event_stream(response);
		answer->success &= !answer->not_a_stream;
		return;
	}
	gc_exchange_append_headers(answer->head, response);
	gc_exchange_append_hop_result(exchange, answer->head);
}

void gc_exchange_record_head(gc_exchange_t *exchange)
{
	const gc_answer_t *answer = exchange->answer;

	if (gc_backend_limit_ended(exchange->backend))
		gc_relay_report_limit_end(exchange->relay, exchange->backend);
	gc_relay_report_places(exchange->relay, exchange->backend);
	if (answer->identified && !answer->misdirected)
		gc_exchange_record_alive(exchange);
	if (!exchange->hop)
		gc_relay_record_response(exchange->relay, exchange->service,
					 gc_call_is_first(exchange->call));
	exchange->retry_unused = false;
}

/* Another daemon could not tell at which version the stream began. */
void gc_exchange_abandon_unrecorded(gc_exchange_t *exchange)
{
	gc_retry_decision_t decision =
		exchange->call || exchange->ended_held
			? GC_DECISION_FAIL
			: gc_attempts_final_decision(&exchange->attempts);

	gc_exchange_cancel_call(exchange);
	gc_exchange_drop_standby(exchange);
	exchange->limit_reached = "record";
	if (exchange->caller)
		gc_exchange_give_up(exchange, decision, GC_END_BROKEN);
	else
		talloc_free(exchange);
}

static void on_complete(void *ctx, const gc_http_message_t *response)
{
	gc_exchange_t *exchange = ctx;

	/* The upstream frees the call after this callback. */
	exchange->call = NULL;
	if (exchange->hop && !exchange->answer->success) {
		gc_exchange_finish_hop(exchange);
		return;
	}
	if (exchange->answer->identified && !exchange->answer->not_run &&
	    (!exchange->sequencer || exchange->answer->status >= 300))
		gc_exchange_record_served(exchange);
	if (!exchange->answer->identified)
		gc_exchange_finish_attempt(
			exchange, GC_END_BROKEN,
			"the response doesn't name the request");
	else if (exchange->answer->not_run)
		gc_exchange_finish_attempt(
			exchange,
			exchange->answer->misdirected ? GC_END_REPLACED
						      : GC_END_REFUSED,
			"the server did not run the request");
	else if (exchange->answer->success && exchange->sequencer &&
		 is_cut_before_events(exchange, response))
		gc_exchange_finish_attempt(
			exchange, GC_END_BROKEN,
			"the stream ended before its first event");
	else if (is_end_uncertain(exchange, response))
		check_end(exchange);
	else
		take_answer(exchange);
}

/* The answer is whole. */
static void take_answer(gc_exchange_t *exchange)
{
	const gc_answer_t *answer = exchange->answer;

	gc_exchange_count_response(exchange);
	if (answer->success && exchange->sequencer) {
		gc_exchange_finish_stream(exchange);
	} else if (answer->success || is_final_failure(exchange)) {
		gc_backend_record_success(exchange->backend);
		gc_exchange_respond(exchange);
	} else if (answer->not_a_stream) {
		gc_exchange_finish_attempt(
			exchange, GC_END_FAILED,
			"the response doesn't go on with the stream");
	} else if (answer->status < 300) {
		gc_exchange_finish_attempt(exchange, GC_END_BROKEN,
					   "the response is not authenticated");
	} else {
		gc_exchange_finish_attempt(
			exchange, GC_END_FAILED,
			"the server responded with an error status");
	}
}

/* Without a media type, only its events tell. */
static bool is_event_stream(const gc_http_message_t *response)
{
	static const char type[] = "text/event-stream";
	gc_str_t value = gc_http_message_find_header(response, "content-type");

	return gc_http_message_status(response) == 200 &&
	       (!value.data || value.len == 0 ||
		(value.len >= strlen(type) &&
		 g_ascii_strncasecmp(value.data, type, strlen(type)) == 0));
}

/* A failure for the caller that another server would not change. A stream whose
 * first events are there has no place for it. */
static bool is_final_failure(const gc_exchange_t *exchange)
{
	int status = exchange->answer->status;

	return status >= 300 && status < 500 &&
	       !gc_status_means_not_run(status) && !exchange->held_events &&
	       !(exchange->head_sent && exchange->sequencer);
}

/* The end of the connection alone doesn't tell an empty stream, or an empty rest
 * of one, from a server that died after the head. */
static bool is_cut_before_events(const gc_exchange_t *exchange,
				 const gc_http_message_t *response)
{
	return !exchange->answer->received_event &&
	       gc_http_message_body_until_close(response);
}

/* A response that ends with its connection may be whole, or its server may have
 * ended. It makes no difference for one that isn't forwarded. */
static bool is_end_uncertain(const gc_exchange_t *exchange,
			     const gc_http_message_t *response)
{
	const gc_answer_t *answer = exchange->answer;
	bool is_forwarded = answer->success ||
			    (answer->status >= 300 && !exchange->begun_by &&
			     !gc_status_means_not_run(answer->status));

	return is_forwarded && !exchange->head_request &&
	       gc_http_message_body_until_close(response);
}

/* A server that leaves or pauses isn't asked. It may end at any time, so that its
 * response can't be taken for whole. */
static void check_end(gc_exchange_t *exchange)
{
	struct timespec now = gc_clock_now(exchange->relay->conf.clock);

	exchange->attempts.may_have_run = true;
	if (gc_backend_is_leaving(exchange->backend) ||
	    gc_backend_is_pausing(exchange->backend, now))
		gc_exchange_finish_attempt(
			exchange, GC_END_BROKEN,
			"the end of the response can't be verified");
	else
		start_end_query(exchange);
}

/* Asks the server for its load, which tells that it is still there. */
static void start_end_query(gc_exchange_t *exchange)
{
	gc_timer_stop(exchange->inactivity_timer);
	if (exchange->silence_query)
		gc_backend_query_destroy(exchange->silence_query);
	gc_exchange_query_load(exchange, END_QUERY_TIMEOUT_MS, on_end_report);
}

static void on_end_report(void *ctx, int status, gc_str_t response,
			  gc_attempt_end_t end)
{
	gc_exchange_t *exchange = ctx;

	/* The query frees itself after this callback. */
	talloc_steal(NULL, exchange->silence_query);
	exchange->silence_query = NULL;
	if (status == 0 && end == GC_END_TIMED_OUT &&
	    !gc_exchange_can_fail_over(
		    exchange, gc_clock_now(exchange->relay->conf.clock))) {
		/* It may only be silent. */
		check_end(exchange);
	} else if (status == 0 || gc_backend_is_removed(exchange->backend)) {
		/* Another server may have answered at the address. */
		gc_exchange_finish_attempt(
			exchange, GC_END_BROKEN,
			end == GC_END_REPLACED
				? "another start of the server answered for it"
				: "the server ended with the response");
	} else {
		take_answer(exchange);
	}
}

static void on_failed(void *ctx, gc_attempt_end_t end, const char *reason)
{
	gc_exchange_t *exchange = ctx;

	exchange->call = NULL;
	gc_exchange_finish_attempt(exchange, end, reason);
}

void gc_exchange_finish_attempt(gc_exchange_t *exchange, gc_attempt_end_t end,
				const char *reason)
{
	gc_relay_t *relay = exchange->relay;
	struct timespec now = gc_clock_now(relay->conf.clock);
	int64_t left_ms =
		exchange->time_limit_ms - gc_exchange_elapsed_ms(exchange);
	g_autofree char *status =
		g_strdup_printf("%d", exchange->answer->status);
	g_autofree char *after_ms =
		g_strdup_printf("%" G_GINT64_FORMAT,
				gc_ms_between(exchange->attempt_started, now));
	g_autofree char *hash = g_strdup_printf("%016" G_GINT64_MODIFIER "x",
						exchange->traits.request);
	bool uses_budget;
	gc_retry_decision_t decision;

	gc_log(GC_LOG_INFO, GC_EVENT_ROUTED_ATTEMPT_ENDED, "attempt failed",
	       "request", exchange->id.data, "hash", hash, "server",
	       gc_backend_id(exchange->backend).data, "reason", reason,
	       "status", status, "after_ms", after_ms, "events",
	       exchange->answer->received_event ? "yes" : "no", NULL);
	exchange->attempt_ended = now;
	if (exchange->hop && exchange->answer->not_run)
		gc_hop_peers_record_refusal(exchange->backend, now);
	else if (exchange->sequencer ||
		 !gc_exchange_is_kept(exchange, exchange->backend))
		gc_backend_record_failure(exchange->backend, now, end);
	if (!exchange->hop) {
		exchange->turned_away[exchange->n_tried - 1] =
			end == GC_END_REFUSED;
		gc_exchange_record_loss(exchange, exchange->backend, end);
		gc_relay_record_link(relay, exchange->backend, end);
	}
	gc_exchange_end_overlap(exchange, end);
	/* A server of another daemon may have rejected it. */
	if (end != GC_END_UNREACHABLE || exchange->hop)
		exchange->retry_unused = false;
	gc_exchange_set_resume_copy(exchange);
	gc_exchange_release_attempt(exchange);
	exchange->attempts.begun = exchange->head_sent && exchange->sequencer &&
				   exchange->left_silent && !exchange->received;
	decision = gc_attempts_decide(&exchange->attempts, end, left_ms,
				      &uses_budget);
	if (!exchange->caller) {
		talloc_free(exchange);
		return;
	}
	/* Another response can't continue a body that isn't a stream. */
	if (exchange->head_sent && !exchange->sequencer)
		decision = GC_DECISION_FAIL;
	/* The head that is held belongs to another response. */
	if (decision == GC_DECISION_FORWARD && exchange->held_events)
		decision = GC_DECISION_FAIL;
	if (decision != GC_DECISION_RETRY)
		exchange->limit_reached =
			exchange->attempts.may_have_run &&
					!gc_route_allows_rerun(exchange->route)
				? "once"
				: "attempts";
	if (decision == GC_DECISION_RETRY && uses_budget)
		gc_exchange_retry(exchange, end);
	else if (decision == GC_DECISION_RETRY)
		gc_exchange_start_next_attempt(exchange);
	else
		gc_exchange_give_up(exchange, decision, end);
}

void gc_exchange_release_attempt(gc_exchange_t *exchange)
{
	gc_timer_stop(exchange->inactivity_timer);
	gc_timer_stop(exchange->link_timer);
	if (exchange->silence_query)
		gc_backend_query_destroy(exchange->silence_query);
	exchange->silence_query = NULL;
	gc_exchange_stop_copy(exchange);
	if (exchange->backend) {
		gc_backend_remove_request(exchange->backend);
		gc_relay_report_places(exchange->relay, exchange->backend);
		gc_backend_unref(exchange->backend);
		exchange->backend = NULL;
	}
}

void gc_exchange_cancel_call(gc_exchange_t *exchange)
{
	if (exchange->call) {
		gc_call_cancel(exchange->call);
		gc_backend_abandon_request(
			exchange->backend,
			gc_clock_now(exchange->relay->conf.clock));
	}
	exchange->call = NULL;
}
