/* The life of a generation: admission, hang-up, break-off. */
#include <string.h>

#include <sodium.h>

#include "lib/generation_private.h"
#include "lib/log_events.h"

/*
 * New runs per generation. An answer whose only engine refuses for a while is
 * tried every 400 ms, so this bridges about 10 s.
 */
/* How often a waiting generation looks whether its caller has hung up. */
#define WATCH_MS 250
/* Silence after which a comment line is sent. */
#define KEEP_ALIVE_MS 500

static int generation_destructor(gc_generation_t *gen);
static void create_reply(gc_generation_t *gen, const char *last_event_id);
static void admit(gc_generation_t *gen);
static void on_granted(void *ctx);
static void on_expired(void *ctx, int64_t retry_after_ms);
static void refuse_overloaded(gc_generation_t *gen, int64_t retry_after_ms);
static void start_stream(gc_generation_t *gen);
static void log_hang_up(const gc_generation_t *gen);
static void on_closed(void *ctx, bool complete);
static void on_watch(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static void arm_watch(gc_generation_t *gen);
static void on_drained(void *ctx);
static void break_off(void *ctx);

static const gc_admission_ops_t admit_ops = {.granted = on_granted,
					     .expired = on_expired};

void gc_generation_begin(gc_request_ctx_t *exchange, gc_generate_t *request,
			 const gc_cursor_t *cursor)
{
	gc_generation_t *gen = talloc_zero(exchange, gc_generation_t);
	const gc_random_t *random = gc_traffic_random(exchange->traffic);

	gen->ex = exchange;
	gen->traffic = exchange->traffic;
	gen->clock = gc_traffic_clock(exchange->traffic);
	gen->request = request;
	gen->account = talloc_strndup(gen, exchange->account->name.data,
				      exchange->account->name.len);
	gen->meter = gc_account_metrics_get(gen->account, "generate");
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
		     cursor ? gc_http_req_header(exchange->req, "Last-Event-ID")
			    : NULL);
	gen->job.break_off = break_off;
	gen->job.ctx = gen;
	gc_traffic_job_add(gen->traffic, &gen->job);
	talloc_set_destructor(gen, generation_destructor);
	gc_http_req_on_closed(exchange->req, on_closed, gen);
	arm_watch(gen);
	admit(gen);
}

static int generation_destructor(gc_generation_t *gen)
{
	gc_generation_release(gen);
	gc_traffic_job_remove(&gen->job);
	return 0;
}

static void create_reply(gc_generation_t *gen, const char *last_event_id)
{
	gc_reply_conf_t conf = {
		.req = gen->ex->req,
		.request = gen->request,
		.fleet_key = gc_traffic_settings(gen->traffic)->fleet_key,
		.request_id = gen->id_hex,
		.created = gc_clock_wall(gen->clock).tv_sec,
		.last_event_id = last_event_id,
		.drained = on_drained,
		.ctx = gen,
	};

	gen->reply = gc_reply_create(gen, &conf);
}

/*
 * A resume doesn't wait in the queue: its run holds a slot of its engine
 * already, and its caller waits in the middle of the answer.
 */
static void admit(gc_generation_t *gen)
{
	gc_admission_t *admission = gc_traffic_admit(gen->traffic);
	int64_t retry_after_ms;

	switch (gc_admission_request(admission, gen->ex->account, &admit_ops,
				     gen, &gen->ticket, &retry_after_ms)) {
	case GC_ADMISSION_GRANTED:
		break;
	case GC_ADMISSION_QUEUED:
		if (!gen->resumed) {
			gc_traffic_watch_queue(gen->traffic);
			return;
		}
		gc_generation_release(gen);
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

static void on_granted(void *ctx)
{
	start_stream(ctx);
}

static void on_expired(void *ctx, int64_t retry_after_ms)
{
	gc_generation_t *gen = ctx;

	gen->ticket = NULL; /* released already */
	refuse_overloaded(gen, retry_after_ms);
}

static void refuse_overloaded(gc_generation_t *gen, int64_t retry_after_ms)
{
	GError *err = NULL;

	gen->over = true;
	gc_account_metrics_add(gen->meter, GC_ACCOUNT_METRICS_REFUSALS, 1);
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
		.policy = gen->ex->account->policy,
		.max_tokens =
			gen->request->prompt ? gen->request->max_tokens : 0,
		.max_attempts = gc_traffic_settings(gen->traffic)->max_attempts,
	};

	memcpy(conf.request, gen->id, sizeof(conf.request));
	gen->stream =
		gc_stream_create(gen, &conf, &gc_generation_stream_ops, gen);
	if (gen->resumed) {
		gc_account_metrics_add(gen->meter, GC_ACCOUNT_METRICS_RESUMES,
				       1);
		gc_stream_resume(gen->stream, &gen->cursor,
				 gen->request->prefix, gen->request->n_prefix);
		return;
	}
	gc_retry_budget_deposit(gc_traffic_retry_budget(gen->traffic));
	gc_stream_begin(gen->stream);
}

void gc_generation_release(gc_generation_t *gen)
{
	gc_admission_ticket_t *ticket = gen->ticket;

	gen->ticket = NULL;
	if (ticket)
		gc_admission_release(ticket);
}

void gc_generation_give_up(gc_generation_t *gen, const GError *err)
{
	if (gen->over)
		return;
	gen->over = true;
	if (gen->stream)
		gc_stream_on_caller_disconnected(gen->stream);
	gc_reply_fail(gen->reply, err,
		      gen->in_doubt ? GC_RUN_IN_DOUBT : GC_RUN_NOT_RUN,
		      gc_retry_after_s(gen->traffic));
	gc_generation_release(gen);
}

static void log_hang_up(const gc_generation_t *gen)
{
	gc_generation_log(gen, GC_LOG_DEBUG, GC_EVENT_CALLER_HUNG_UP,
			  "caller hung up", NULL);
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

static void on_closed(void *ctx, bool complete)
{
	gc_generation_t *gen = ctx;

	if (gen->over)
		return;
	log_hang_up(gen);
	gen->over = true;
	if (gen->stream)
		gc_stream_on_caller_disconnected(gen->stream);
	gc_generation_release(gen);
}

static void arm_watch(gc_generation_t *gen)
{
	tevent_add_timer(gc_traffic_ev(gen->traffic), gen,
			 tevent_timeval_current_ofs(0, WATCH_MS * 1000),
			 on_watch, gen);
}

static void on_watch(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	gc_generation_t *gen = ctx;
	GError *err = NULL;

	if (gen->over)
		return;
	if (gc_http_req_connected(gen->ex->req)) {
		if (gc_generation_ms_since(gen, gen->last_token) >=
		    KEEP_ALIVE_MS)
			gc_reply_keep_alive(gen->reply);
		arm_watch(gen);
		return;
	}
	log_hang_up(gen);
	gc_error_set(&err, GC_ERR_CANCELLED, "caller", NULL,
		     "the caller hung up");
	gc_generation_give_up(gen, err);
	g_error_free(err);
	gc_reply_abort(gen->reply);
}

int64_t gc_generation_ms_since(const gc_generation_t *gen,
			       struct timespec since)
{
	return gc_ms_between(since, gc_clock_now(gen->clock));
}

static void on_drained(void *ctx)
{
	gc_generation_pause(ctx, false);
}

void gc_generation_pause(gc_generation_t *gen, bool paused)
{
	for (attempt_t *a = gen->attempts; a; a = a->next) {
		if (a->engine)
			gc_engine_client_pause(a->engine, paused);
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
 * The grace of a stop is over. The run of a stream goes on, for the daemon at
 * which its caller resumes; a whole answer can't be resumed.
 */
static void break_off(void *ctx)
{
	gc_generation_t *gen = ctx;
	GError *err = NULL;

	if (gen->over)
		return;
	gen->keep_runs = gen->request->stream && gc_reply_begun(gen->reply);
	if (gen->keep_runs) {
		gen->over = true;
		gc_stream_on_caller_disconnected(gen->stream);
		gc_reply_abort(gen->reply);
		gc_generation_release(gen);
		return;
	}
	gc_error_set(&err, GC_ERR_UNAVAILABLE, "stop", NULL,
		     "this daemon stops");
	gc_generation_give_up(gen, err);
	g_error_free(err);
}
