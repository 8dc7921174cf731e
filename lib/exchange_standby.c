/*
 * The run of a request that was left because its server is silent. The server may be
 * sound, so the run is kept until another one has taken its place: what it sends
 * first goes to the caller, and the request goes back to it if nobody else can go on.
 * That is done for streams that have begun, and for lookups that leave a server before
 * it has had the time that their route sets, as their callers' own time is short.
 */
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/relay_private.h"

/* Of the answer to a lookup. */
#define MAX_KEPT_BYTES 65536
/* Less than the 400 ms for which two servers may work on a stream. */
#define OVERLAP_MS 350

static bool may_keep(const gc_exchange_t *exchange);
static bool is_begun_stream(const gc_exchange_t *exchange);
static bool is_early_lookup(const gc_exchange_t *exchange);
static bool may_reach(const gc_exchange_t *exchange);
static void on_lookup_head(void *ctx, const gc_http_message_t *response);
static void on_lookup_body(void *ctx, gc_str_t data);
static void on_lookup_complete(void *ctx, const gc_http_message_t *response);
static bool may_be_whole(const gc_answer_t *answer,
			 const gc_http_message_t *response);
static void on_body(void *ctx, gc_str_t data);
static void on_complete(void *ctx, const gc_http_message_t *response);
static void on_failed(void *ctx, gc_attempt_end_t end, const char *reason);
static void on_overlap_end(void *ctx);
static void go_back(gc_exchange_t *exchange, const char *reason);
static void end_next_attempt(gc_exchange_t *exchange);
static void restore_attempt(gc_exchange_t *exchange);
static void restore_partial_event(gc_exchange_t *exchange);
static void put_last(gc_exchange_t *exchange, gc_backend_t *server);
static void release(gc_exchange_t *exchange);
static void log_return(const gc_exchange_t *exchange, const char *reason);

static const gc_call_ops_t stream_ops = {
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

static const gc_call_ops_t lookup_ops = {
	.head = on_lookup_head,
	.body = on_lookup_body,
	.complete = on_lookup_complete,
	.failed = on_failed,
};

bool gc_exchange_keep_run(gc_exchange_t *exchange)
{
	gc_standby_t *standby = &exchange->standby;

	if (!may_keep(exchange))
		return false;
	if (!standby->timer)
		standby->timer =
			gc_timer_create(exchange, exchange->relay->conf.timers,
					on_overlap_end, exchange);
	standby->call = exchange->call;
	standby->backend = gc_backend_ref(exchange->backend);
	gc_backend_add_request(standby->backend);
	standby->attempt_started = exchange->attempt_started;
	standby->rollout_order = exchange->rollout_order;
	standby->rollout_target = exchange->rollout_target;
	standby->left_at = gc_clock_now(exchange->relay->conf.clock);
	standby->answer = gc_answer_ref(exchange->answer);
	if (exchange->sequencer)
		standby->answer->partial_event =
			gc_event_sequencer_take_partial(exchange->sequencer);
	/* One that was requested ends with the attempt. */
	if (exchange->copy_holder && exchange->copy_handle.len == 0) {
		standby->copy_holder = gc_backend_ref(exchange->copy_holder);
		standby->copy_location = exchange->copy_location;
	}
	gc_call_set_ops(standby->call,
			exchange->sequencer ? &stream_ops : &lookup_ops,
			exchange);
	exchange->call = NULL;
	return true;
}

static bool may_keep(const gc_exchange_t *exchange)
{
	return exchange->call && !exchange->hop && !exchange->standby.call &&
	       (is_begun_stream(exchange) || is_early_lookup(exchange));
}

/* Its version is decided and on record. */
static bool is_begun_stream(const gc_exchange_t *exchange)
{
	return exchange->sequencer && exchange->head_sent &&
	       exchange->answer->received_event;
}

/* Its server's host has all of the request, and no response has begun. */
static bool is_early_lookup(const gc_exchange_t *exchange)
{
	return !exchange->sequencer && exchange->answer->status == 0 &&
	       gc_call_delivery(exchange->call).waiting == 0 &&
	       gc_exchange_is_within_target(
		       exchange, gc_clock_now(exchange->relay->conf.clock));
}

void gc_exchange_watch_overlap(gc_exchange_t *exchange)
{
	gc_standby_t *standby = &exchange->standby;

	if (!standby->call || !exchange->sequencer ||
	    (exchange->hop && !may_reach(exchange)))
		return;
	if (exchange->backend == exchange->resume_holder) {
		gc_backend_unref(standby->copy_holder);
		standby->copy_holder = NULL;
	}
	if (!standby->overlaps)
		gc_timer_set(standby->timer, OVERLAP_MS);
	standby->overlaps = true;
}

/* Of a daemon that passes requests on: connections that were open before may live on. */
static bool may_reach(const gc_exchange_t *exchange)
{
	const gc_relay_t *relay = exchange->relay;

	return gc_reach_has_kept(relay->reach, gc_clock_now(relay->conf.clock),
				 exchange->service);
}

void gc_exchange_end_overlap(gc_exchange_t *exchange, gc_attempt_end_t end)
{
	gc_standby_t *standby = &exchange->standby;

	if (!standby->call || exchange->backend == standby->backend)
		return;
	if (end == GC_END_CUT || end == GC_END_TIMED_OUT)
		standby->other_may_run = true;
	if (standby->other_may_run)
		return;
	gc_timer_stop(standby->timer);
	standby->overlaps = false;
}

static void on_overlap_end(void *ctx)
{
	gc_exchange_drop_standby(ctx);
}

void gc_exchange_drop_standby(gc_exchange_t *exchange)
{
	gc_standby_t *standby = &exchange->standby;

	if (!standby->call)
		return;
	gc_call_cancel(standby->call);
	gc_backend_abandon_request(standby->backend,
				   gc_clock_now(exchange->relay->conf.clock));
	gc_backend_remove_request(standby->backend);
	gc_relay_report_places(exchange->relay, standby->backend);
	gc_backend_unref(standby->backend);
	release(exchange);
}

static void release(gc_exchange_t *exchange)
{
	gc_standby_t *standby = &exchange->standby;

	gc_timer_stop(standby->timer);
	gc_answer_unref(standby->answer);
	gc_backend_unref(standby->copy_holder);
	*standby = (gc_standby_t){.timer = standby->timer};
}

bool gc_exchange_is_kept(const gc_exchange_t *exchange,
			 const gc_backend_t *server)
{
	return exchange->standby.call && exchange->standby.backend == server;
}

bool gc_exchange_return_to_standby(gc_exchange_t *exchange)
{
	if (!exchange->standby.call)
		return false;
	if (gc_backend_is_removed(exchange->standby.backend)) {
		gc_exchange_drop_standby(exchange);
		return false;
	}
	go_back(exchange, "nobody else could go on");
	return true;
}

/* A lookup goes back only to a whole answer: the next attempt may be about to give one. */
static void on_lookup_head(void *ctx, const gc_http_message_t *response)
{
	gc_exchange_t *exchange = ctx;

	gc_exchange_read_head(exchange, exchange->standby.answer, false,
			      response);
	if (!may_be_whole(exchange->standby.answer, response))
		gc_exchange_drop_standby(exchange);
}

static bool may_be_whole(const gc_answer_t *answer,
			 const gc_http_message_t *response)
{
	return answer->identified && !answer->not_run &&
	       !gc_status_means_not_run(answer->status) &&
	       answer->status < 500 &&
	       !gc_http_message_body_until_close(response) &&
	       (answer->success || answer->status >= 300);
}

static void on_lookup_body(void *ctx, gc_str_t data)
{
	gc_exchange_t *exchange = ctx;
	GByteArray *body = exchange->standby.answer->body;

	if (body->len + data.len > MAX_KEPT_BYTES)
		gc_exchange_drop_standby(exchange);
	else
		g_byte_array_append(body, (const guint8 *)data.data,
				    (guint)data.len);
}

static void on_lookup_complete(void *ctx, const gc_http_message_t *response)
{
	gc_exchange_t *exchange = ctx;

	go_back(exchange, "it answered");
	gc_exchange_call_ops.complete(exchange, response);
}

static void on_body(void *ctx, gc_str_t data)
{
	gc_exchange_t *exchange = ctx;

	go_back(exchange, "it sent more");
	gc_exchange_call_ops.body(exchange, data);
}

static void on_complete(void *ctx, const gc_http_message_t *response)
{
	gc_exchange_t *exchange = ctx;

	go_back(exchange, "it ended the stream");
	gc_exchange_call_ops.complete(exchange, response);
}

/* The request goes on elsewhere as before. */
static void on_failed(void *ctx, gc_attempt_end_t end, const char *reason)
{
	gc_exchange_t *exchange = ctx;
	gc_standby_t *standby = &exchange->standby;

	/* That of a stream was recorded when its server was left. */
	if (!exchange->sequencer) {
		gc_exchange_record_loss(exchange, standby->backend, end);
		gc_relay_record_link(exchange->relay, standby->backend, end);
	}
	gc_backend_record_failure(standby->backend,
				  gc_clock_now(exchange->relay->conf.clock),
				  end);
	gc_backend_remove_request(standby->backend);
	gc_relay_report_places(exchange->relay, standby->backend);
	gc_backend_unref(standby->backend);
	release(exchange);
}

static void go_back(gc_exchange_t *exchange, const char *reason)
{
	end_next_attempt(exchange);
	log_return(exchange, reason);
	restore_attempt(exchange);
	release(exchange);
}

/* Or the wait for one. */
static void end_next_attempt(gc_exchange_t *exchange)
{
	if (exchange->call && gc_call_was_sent(exchange->call))
		exchange->retry_unused = false;
	else if (exchange->call)
		exchange->attempts.sent--;
	gc_exchange_cancel_call(exchange);
	gc_exchange_release_attempt(exchange);
	gc_exchange_stop_waiting(exchange);
	exchange->limit_reached = "";
	if (exchange->load_probe)
		gc_load_probe_destroy(exchange->load_probe);
	exchange->load_probe = NULL;
	gc_backend_unref(exchange->resume_holder);
	exchange->resume_holder = NULL;
	if (exchange->retry_unused)
		gc_backends_return_retry(exchange->relay->backends,
					 exchange->service,
					 exchange->retry_taken);
	exchange->retry_unused = false;
}

static void restore_attempt(gc_exchange_t *exchange)
{
	gc_standby_t *standby = &exchange->standby;

	exchange->call = standby->call;
	exchange->backend = standby->backend;
	put_last(exchange, standby->backend);
	exchange->hop = false;
	exchange->attempt_started = standby->attempt_started;
	exchange->rollout_order = standby->rollout_order;
	exchange->rollout_target = standby->rollout_target;
	exchange->last_activity = gc_clock_now(exchange->relay->conf.clock);
	exchange->silence = (gc_silence_t){0};
	exchange->read_paused = false;
	gc_answer_unref(exchange->answer);
	exchange->answer = gc_answer_ref(standby->answer);
	if (exchange->sequencer)
		restore_partial_event(exchange);
	gc_call_set_ops(exchange->call, &gc_exchange_call_ops, exchange);
	gc_exchange_restore_copy(exchange, standby->copy_holder,
				 standby->copy_location);
	gc_exchange_watch_link(exchange);
	gc_relay_watch_silence(exchange->relay);
	gc_exchange_watch_silence(exchange);
	exchange->counted_sent = gc_call_sent_bytes(exchange->call);
	/* That of a stream was recorded before its server was left. */
	if (!exchange->sequencer && exchange->answer->status != 0)
		gc_exchange_record_head(exchange);
}

static void restore_partial_event(gc_exchange_t *exchange)
{
	gc_answer_t *answer = exchange->answer;

	gc_event_sequencer_set_partial(exchange->sequencer,
				       answer->partial_event);
	g_byte_array_unref(answer->partial_event);
	answer->partial_event = NULL;
}

/* The last one in the list is that of the attempt in progress. */
static void put_last(gc_exchange_t *exchange, gc_backend_t *server)
{
	size_t n = 0;

	for (size_t i = 0; i < exchange->n_tried; i++) {
		if (exchange->tried[i] == server ||
		    (i == 0 && exchange->n_tried == GC_EXCHANGE_MAX_TRIED)) {
			gc_backend_unref(exchange->tried[i]);
			continue;
		}
		exchange->turned_away[n] = exchange->turned_away[i];
		exchange->tried[n++] = exchange->tried[i];
	}
	exchange->turned_away[n] = false;
	exchange->tried[n++] = gc_backend_ref(server);
	exchange->n_tried = n;
}

static void log_return(const gc_exchange_t *exchange, const char *reason)
{
	const gc_standby_t *standby = &exchange->standby;
	g_autofree char *ms = g_strdup_printf(
		"%" G_GINT64_FORMAT,
		gc_ms_between(standby->left_at,
			      gc_clock_now(exchange->relay->conf.clock)));

	gc_log(GC_LOG_INFO, GC_EVENT_STREAM_WENT_BACK,
	       exchange->sequencer ? "stream went back to its server"
				   : "lookup went back to its server",
	       "request", exchange->id.data, "server",
	       gc_backend_id(standby->backend).data, "reason", reason,
	       "left_ms", ms, NULL);
	gc_counter_add(gc_counter("goldcrest_routed_went_back_total",
				  "Requests that went back to a server that "
				  "was silent.",
				  NULL, NULL),
		       1);
}
