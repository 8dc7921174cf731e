/* Lifecycle of a generation: admission, disconnected callers, shutdown. */
#include <string.h>

#include <sodium.h>

#include "lib/generation_private.h"
#include "lib/log_events.h"

/* Interval of the checks for a disconnected caller and a due keep-alive. */
#define CALLER_CHECK_INTERVAL_MS 250
/* Time without a token after which a keep-alive comment is sent. */
#define KEEP_ALIVE_IDLE_MS 500

static int generation_destructor(gc_generation_t *gen);
static void create_reply(gc_generation_t *gen, const char *last_event_id);
static void request_admission(gc_generation_t *gen);
static void on_admission_granted(void *ctx);
static void on_admission_expired(void *ctx, int64_t retry_after_ms);
static void refuse_overloaded(gc_generation_t *gen, int64_t retry_after_ms);
static void start_stream(gc_generation_t *gen);
static void log_caller_disconnected(const gc_generation_t *gen);
static void on_request_closed(void *ctx, bool complete);
static void on_caller_check(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval now, void *ctx);
static void schedule_caller_check(gc_generation_t *gen);
static void on_reply_drained(void *ctx);
static void on_grace_expired(void *ctx);

static const gc_admission_ops_t admission_ops = {
	.granted = on_admission_granted, .expired = on_admission_expired};

void gc_generation_begin(gc_request_ctx_t *req_ctx,
			 gc_completion_request_t *completion_request,
			 const gc_cursor_t *cursor)
{
	gc_generation_t *gen = talloc_zero(req_ctx, gc_generation_t);
	const gc_random_t *random = gc_traffic_random(req_ctx->traffic);

	gen->req_ctx = req_ctx;
	gen->traffic = req_ctx->traffic;
	gen->clock = gc_traffic_clock(req_ctx->traffic);
	gen->completion_request = completion_request;
	gen->account = talloc_strndup(gen, req_ctx->account->name.data,
				      req_ctx->account->name.len);
	gen->metrics = gc_account_metrics_get(gen->account, "generate");
	for (size_t i = 0; i < sizeof(gen->id); i++)
		gen->id[i] = random->next(random->ctx) & 0xff;
	if (cursor) {
		gen->resumed = true;
		gen->cursor = *cursor;
		memcpy(gen->id, cursor->request, sizeof(gen->id));
	}
	sodium_bin2hex(gen->id_hex, sizeof(gen->id_hex), gen->id,
		       sizeof(gen->id));
	create_reply(gen,
		     cursor ? gc_http_req_header(req_ctx->req, "Last-Event-ID")
			    : NULL);
	gen->traffic_job.abort_job = on_grace_expired;
	gen->traffic_job.ctx = gen;
	gc_traffic_job_add(gen->traffic, &gen->traffic_job);
	talloc_set_destructor(gen, generation_destructor);
	gc_http_req_on_closed(req_ctx->req, on_request_closed, gen);
	schedule_caller_check(gen);
	request_admission(gen);
}

static int generation_destructor(gc_generation_t *gen)
{
	gc_generation_release_admission(gen);
	gc_traffic_job_remove(&gen->traffic_job);
	return 0;
}

static void create_reply(gc_generation_t *gen, const char *last_event_id)
{
	gc_reply_conf_t conf = {
		.req = gen->req_ctx->req,
		.completion_request = gen->completion_request,
		.fleet_key = gc_traffic_settings(gen->traffic)->fleet_key,
		.request_id = gen->id_hex,
		.created = gc_clock_wall(gen->clock).tv_sec,
		.last_event_id = last_event_id,
		.drained = on_reply_drained,
		.ctx = gen,
	};

	gen->reply = gc_reply_create(gen, &conf);
}

/*
 * A resume bypasses the admission queue: its run already occupies a slot of an
 * engine, and its caller has received part of the response.
 */
static void request_admission(gc_generation_t *gen)
{
	gc_admission_t *admission = gc_traffic_admission(gen->traffic);
	int64_t retry_after_ms;

	switch (gc_admission_request(admission, gen->req_ctx->account,
				     &admission_ops, gen, &gen->ticket,
				     &retry_after_ms)) {
	case GC_ADMISSION_GRANTED:
		break;
	case GC_ADMISSION_QUEUED:
		if (!gen->resumed) {
			gc_traffic_expire_queue(gen->traffic);
			return;
		}
		gc_generation_release_admission(gen);
		break;
	case GC_ADMISSION_REFUSED:
		gen->ticket = NULL;
		if (gen->resumed)
			break;
		refuse_overloaded(gen, retry_after_ms);
		return;
	}
	start_stream(gen);
}

static void on_admission_granted(void *ctx)
{
	start_stream(ctx);
}

static void on_admission_expired(void *ctx, int64_t retry_after_ms)
{
	gc_generation_t *gen = ctx;

	gen->ticket = NULL; /* already released by the admission queue */
	refuse_overloaded(gen, retry_after_ms);
}

static void refuse_overloaded(gc_generation_t *gen, int64_t retry_after_ms)
{
	GError *err = NULL;

	gen->ended = true;
	gc_account_metrics_add(gen->metrics, GC_ACCOUNT_METRICS_REFUSALS, 1);
	gc_error_set(&err, GC_ERR_OVERLOADED, "admit", NULL,
		     "too many requests are waiting");
	gc_reply_fail(gen->reply, err, GC_RUN_NOT_RUN,
		      (retry_after_ms + 999) / 1000);
	g_error_free(err);
}

static void start_stream(gc_generation_t *gen)
{
	gc_stream_conf_t conf = {
		.clock = gen->clock,
		.policy = gen->req_ctx->account->policy,
		.max_tokens = gen->completion_request->prompt
				      ? gen->completion_request->max_tokens
				      : 0,
		/*
		 * If the only engine refuses, runs are retried after delays
		 * that grow to 400 ms: the default of 32 covers about 10 s.
		 */
		.max_attempts = gc_traffic_settings(gen->traffic)->max_attempts,
	};

	memcpy(conf.request, gen->id, sizeof(conf.request));
	gen->stream =
		gc_stream_create(gen, &conf, &gc_generation_stream_ops, gen);
	if (gen->resumed) {
		gc_account_metrics_add(gen->metrics, GC_ACCOUNT_METRICS_RESUMES,
				       1);
		gc_stream_resume(gen->stream, &gen->cursor,
				 gen->completion_request->prefix,
				 gen->completion_request->n_prefix);
		return;
	}
	gc_retry_budget_deposit(gc_traffic_retry_budget(gen->traffic));
	gc_stream_begin(gen->stream);
}

void gc_generation_release_admission(gc_generation_t *gen)
{
	gc_admission_ticket_t *ticket = gen->ticket;

	gen->ticket = NULL;
	if (ticket)
		gc_admission_release(ticket);
}

void gc_generation_fail(gc_generation_t *gen, const GError *err)
{
	if (gen->ended)
		return;
	gen->ended = true;
	if (gen->stream)
		gc_stream_on_caller_disconnected(gen->stream);
	gc_reply_fail(gen->reply, err,
		      gen->in_doubt ? GC_RUN_IN_DOUBT : GC_RUN_NOT_RUN,
		      gc_retry_after_s(gen->traffic));
	gc_generation_release_admission(gen);
}

static void log_caller_disconnected(const gc_generation_t *gen)
{
	gc_generation_log(gen, GC_LOG_DEBUG, GC_EVENT_CALLER_HUNG_UP,
			  "caller disconnected", NULL);
}

void gc_generation_log(const gc_generation_t *gen, gc_log_level_t level,
		       unsigned int event, const char *message,
		       const GError *err)
{
	if (!err) {
		gc_log(level, event, message, "request", gen->id_hex, "account",
		       gen->account, NULL);
		return;
	}
	gc_log(level, event, message, "request", gen->id_hex, "account",
	       gen->account, "error", err->message, "step", gc_error_step(err),
	       "peer", gc_error_peer(err), NULL);
}

static void on_request_closed(void *ctx, bool complete)
{
	gc_generation_t *gen = ctx;

	if (gen->ended)
		return;
	log_caller_disconnected(gen);
	gen->ended = true;
	if (gen->stream)
		gc_stream_on_caller_disconnected(gen->stream);
	gc_generation_release_admission(gen);
}

static void schedule_caller_check(gc_generation_t *gen)
{
	tevent_add_timer(
		gc_traffic_ev(gen->traffic), gen,
		tevent_timeval_current_ofs(0, CALLER_CHECK_INTERVAL_MS * 1000),
		on_caller_check, gen);
}

static void on_caller_check(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval now, void *ctx)
{
	gc_generation_t *gen = ctx;
	GError *err = NULL;

	if (gen->ended)
		return;
	if (gc_http_req_connected(gen->req_ctx->req)) {
		if (gc_generation_ms_since(gen, gen->last_token_at) >=
		    KEEP_ALIVE_IDLE_MS)
			gc_reply_send_keep_alive(gen->reply);
		schedule_caller_check(gen);
		return;
	}
	log_caller_disconnected(gen);
	gc_error_set(&err, GC_ERR_CANCELLED, "caller", NULL,
		     "the caller disconnected");
	gc_generation_fail(gen, err);
	g_error_free(err);
	gc_reply_abort(gen->reply);
}

int64_t gc_generation_ms_since(const gc_generation_t *gen,
			       struct timespec since)
{
	return gc_ms_between(since, gc_clock_now(gen->clock));
}

static void on_reply_drained(void *ctx)
{
	gc_generation_set_paused(ctx, false);
}

void gc_generation_set_paused(gc_generation_t *gen, bool paused)
{
	for (attempt_t *a = gen->attempts; a; a = a->next) {
		if (a->client)
			gc_engine_client_set_paused(a->client, paused);
	}
	if (gen->paused == paused)
		return;
	gen->paused = paused;
	if (paused)
		gen->paused_at = gc_clock_now(gen->clock);
	else
		gen->paused_ms += gc_generation_ms_since(gen, gen->paused_at);
}

/*
 * Called when the grace period of a shutdown has expired. The run of a stream
 * is not cancelled, so that its caller can resume it at another daemon. A
 * response that is not streamed can't be resumed and fails.
 */
static void on_grace_expired(void *ctx)
{
	gc_generation_t *gen = ctx;
	GError *err = NULL;

	if (gen->ended)
		return;
	gen->keep_runs = gen->completion_request->stream &&
			 gc_reply_stream_begun(gen->reply);
	if (gen->keep_runs) {
		gen->ended = true;
		gc_stream_on_caller_disconnected(gen->stream);
		gc_reply_abort(gen->reply);
		gc_generation_release_admission(gen);
		return;
	}
	gc_error_set(&err, GC_ERR_UNAVAILABLE, "stop", NULL,
		     "this daemon is shutting down");
	gc_generation_fail(gen, err);
	g_error_free(err);
}
