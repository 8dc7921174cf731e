/* Attempts of a generation on engines, and the gc_stream_t actions. */
#include <string.h>

#include "lib/control.h"
#include "lib/generation_private.h"
#include "lib/log_events.h"

/* Size limit of an engine event, not counting the prompt and prefix in it. */
#define MAX_EVENT_OVERHEAD_BYTES (1024 * 1024)

static attempt_t *attempt_create(gc_generation_t *gen, uint32_t number,
				 const char *engine);
static int attempt_destructor(attempt_t *attempt);
static attempt_t *attempt_find(gc_generation_t *gen, uint32_t number);
static bool fill_client_conf(attempt_t *attempt, gc_engine_client_conf_t *conf);
static void on_engine_unlisted(struct tevent_context *ev,
			       struct tevent_immediate *im, void *ctx);
static json_t *build_run_body(gc_generation_t *gen, uint64_t from);
static void on_run(void *ctx, const char *run, uint64_t from,
		   json_t *start_request);
static bool adopt_start_request(gc_generation_t *gen, json_t *start_request,
				GError **err);
static void on_token(void *ctx, uint64_t offset, gc_str_t text);
static void on_end(void *ctx, const char *reason, uint64_t tokens);
static void on_error(void *ctx, const GError *err);

static bool op_pick(void *ctx, const gc_str_t *avoid, size_t n_avoid,
		    char engine[GC_NAME_MAX]);
static void op_start(void *ctx, uint32_t number, const char *engine,
		     uint64_t from);
static void op_attach(void *ctx, uint32_t number, const char *engine,
		      const char *run, uint64_t from);
static void op_cancel(void *ctx, uint32_t number, bool end_run);
static void op_deliver(void *ctx, gc_str_t token, const gc_cursor_t *cursor);
static void observe_interval(gc_generation_t *gen, uint32_t attempt_number,
			     struct timespec now);
static void op_finish(void *ctx, const char *reason);
static void op_fail(void *ctx, const GError *err);
static bool op_caller_connected(void *ctx);
static void op_set_timer(void *ctx, const struct timespec *at);
static void on_stream_timer(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval now, void *ctx);
static int64_t op_stall_timeout_ms(void *ctx, const char *engine,
				   bool first_token);
static void op_report(void *ctx, const char *engine,
		      gc_engine_verdict_t verdict);

static const gc_engine_client_ops_t engine_ops = {
	.run = on_run, .token = on_token, .end = on_end, .error = on_error};
const gc_stream_ops_t gc_generation_stream_ops = {
	.pick = op_pick,
	.start = op_start,
	.attach = op_attach,
	.cancel = op_cancel,
	.deliver = op_deliver,
	.finish = op_finish,
	.fail = op_fail,
	.caller_connected = op_caller_connected,
	.set_timer = op_set_timer,
	.stall_timeout_ms = op_stall_timeout_ms,
	.report = op_report,
};

static attempt_t *attempt_create(gc_generation_t *gen, uint32_t number,
				 const char *engine)
{
	attempt_t *attempt = talloc_zero(gen, attempt_t);

	attempt->gen = gen;
	attempt->number = number;
	attempt->last_progress = gc_clock_now(gen->clock);
	g_strlcpy(attempt->engine_name, engine, sizeof(attempt->engine_name));
	attempt->next = gen->attempts;
	if (attempt->next)
		attempt->next->prev = attempt;
	gen->attempts = attempt;
	gc_in_flight_add(gc_traffic_engine_pool(gen->traffic),
			 &attempt->in_flight, engine);
	talloc_set_destructor(attempt, attempt_destructor);
	return attempt;
}

static int attempt_destructor(attempt_t *attempt)
{
	attempt->gen->in_doubt |= attempt->may_be_running;
	gc_in_flight_remove(&attempt->in_flight);
	if (attempt->prev)
		attempt->prev->next = attempt->next;
	else
		attempt->gen->attempts = attempt->next;
	if (attempt->next)
		attempt->next->prev = attempt->prev;
	return 0;
}

static attempt_t *attempt_find(gc_generation_t *gen, uint32_t number)
{
	for (attempt_t *a = gen->attempts; a; a = a->next) {
		if (a->number == number)
			return a;
	}
	return NULL;
}

/*
 * Returns false if the view doesn't list the engine. The attempt then fails
 * with GC_ERR_NOT_FOUND from the event loop, not from inside this call.
 */
static bool fill_client_conf(attempt_t *attempt, gc_engine_client_conf_t *conf)
{
	gc_traffic_t *traffic = attempt->gen->traffic;
	const gc_view_instance_t *instance = gc_engine_pool_find(
		gc_traffic_engine_pool(traffic), attempt->engine_name);

	if (!instance) {
		attempt->unlisted = tevent_create_immediate(attempt);
		tevent_schedule_immediate(attempt->unlisted,
					  gc_traffic_ev(traffic),
					  on_engine_unlisted, attempt);
		return false;
	}
	conf->ev = gc_traffic_ev(traffic);
	conf->http = gc_traffic_http_client(traffic);
	conf->name = instance->name;
	conf->url = instance->url;
	conf->max_event_bytes =
		2 * gc_traffic_settings(traffic)->max_body_bytes +
		MAX_EVENT_OVERHEAD_BYTES;
	return true;
}

static void on_engine_unlisted(struct tevent_context *ev,
			       struct tevent_immediate *im, void *ctx)
{
	attempt_t *attempt = ctx;
	GError *err = NULL;

	gc_error_set(&err, GC_ERR_NOT_FOUND, "connect", attempt->engine_name,
		     "engine is not in the instance list");
	on_error(attempt, err);
	g_error_free(err);
}

static void op_start(void *ctx, uint32_t number, const char *engine,
		     uint64_t from)
{
	gc_generation_t *gen = ctx;
	attempt_t *attempt = attempt_create(gen, number, engine);
	gc_engine_client_conf_t conf;
	json_t *body;

	if (!fill_client_conf(attempt, &conf))
		return;
	gen->run_requested = true;
	attempt->may_be_running = true;
	attempt->interval_valid = true;
	gc_engine_pool_record_prompt(gc_traffic_engine_pool(gen->traffic),
				     engine, gen->completion_request->prompt);
	body = build_run_body(gen, from);
	attempt->client = gc_engine_client_start(attempt, &conf, body, from,
						 &engine_ops, attempt);
	json_decref(body);
}

/*
 * Builds the body of POST /v1/runs. The engine returns it on an attach, so
 * that a daemon that resumes the run can check its account and knows whether
 * to respond in the format of chat completions.
 */
static json_t *build_run_body(gc_generation_t *gen, uint64_t from)
{
	const gc_completion_request_t *completion_request =
		gen->completion_request;
	json_t *prefix = json_array();

	for (uint64_t i = 0; i < from; i++) {
		gc_str_t token = gc_stream_token(gen->stream, i);

		json_array_append_new(prefix,
				      json_stringn(token.data, token.len));
	}
	return json_pack("{ss ss ss so sI sI ss sb}", "request", gen->id_hex,
			 "model", completion_request->model, "prompt",
			 completion_request->prompt, "prefix", prefix,
			 "max_tokens",
			 (json_int_t)completion_request->max_tokens, "priority",
			 (json_int_t)completion_request->priority, "account",
			 gen->account, "chat", completion_request->chat);
}

static void op_attach(void *ctx, uint32_t number, const char *engine,
		      const char *run, uint64_t from)
{
	gc_generation_t *gen = ctx;
	attempt_t *attempt = attempt_create(gen, number, engine);
	gc_engine_client_conf_t conf;

	gen->in_doubt = true;
	if (!fill_client_conf(attempt, &conf))
		return;
	attempt->client = gc_engine_client_attach(attempt, &conf, run, from,
						  &engine_ops, attempt);
}

static void op_cancel(void *ctx, uint32_t number, bool end_run)
{
	gc_generation_t *gen = ctx;
	attempt_t *attempt = attempt_find(gen, number);

	if (!attempt)
		return;
	if (attempt->client)
		gc_engine_client_cancel(attempt->client,
					end_run && !gen->keep_runs);
	talloc_free(attempt);
}

static void on_run(void *ctx, const char *run, uint64_t from,
		   json_t *start_request)
{
	attempt_t *attempt = ctx;
	gc_generation_t *gen = attempt->gen;
	GError *err = NULL;

	if (start_request && !adopt_start_request(gen, start_request, &err)) {
		/* The run is another client account's: don't cancel it. */
		gen->keep_runs = true;
		gc_generation_fail(gen, err);
		g_error_free(err);
		return;
	}
	gc_stream_on_run(gen->stream, attempt->number, run, from);
}

/*
 * Called after an attach with the start request of the run. Returns false if
 * the run belongs to another client account. Otherwise the model, prompt,
 * max_tokens and priority of the start request replace those of the resume,
 * which may lack them: a run that is started later must continue the same
 * response.
 */
static bool adopt_start_request(gc_generation_t *gen, json_t *start_request,
				GError **err)
{
	const char *account =
		json_string_value(json_object_get(start_request, "account"));
	const char *model =
		json_string_value(json_object_get(start_request, "model"));
	const char *prompt =
		json_string_value(json_object_get(start_request, "prompt"));
	json_int_t max_tokens = json_integer_value(
		json_object_get(start_request, "max_tokens"));

	if (account && strcmp(account, gen->account) != 0) {
		gc_error_set(err, GC_ERR_UNAUTHORIZED, "resume", NULL,
			     "the response is another account's");
		return false;
	}
	if (!model || !prompt || max_tokens < 1)
		return true;
	talloc_free(gen->completion_request->model);
	talloc_free(gen->completion_request->prompt);
	gen->completion_request->model =
		talloc_strdup(gen->completion_request, model);
	gen->completion_request->prompt =
		talloc_strdup(gen->completion_request, prompt);
	gen->completion_request->max_tokens = max_tokens;
	gen->completion_request->priority =
		json_integer_value(json_object_get(start_request, "priority"));
	return true;
}

static void on_token(void *ctx, uint64_t offset, gc_str_t text)
{
	attempt_t *attempt = ctx;
	gc_generation_t *gen = attempt->gen;
	struct timespec now = gc_clock_now(gen->clock);
	uint64_t n_held = MAX(gc_stream_token_count(gen->stream),
			      gen->resumed ? gen->cursor.offset : 0);
	/* Tokens that an attach replays arrive faster than decoded ones. */
	bool is_new = offset >= n_held;
	gc_stall_detector_t *stall_detector = gc_engine_pool_stall_detector(
		gc_traffic_engine_pool(gen->traffic), attempt->engine_name);

	if (is_new) {
		/* An interval with a pause doesn't measure the engine. */
		if (attempt->interval_valid && !gen->paused &&
		    gen->paused_ms == 0)
			gc_stall_detector_observe(
				stall_detector, !attempt->got_token,
				gc_us_between(attempt->last_progress, now));
		attempt->interval_valid = true;
		attempt->got_token = true;
		attempt->last_progress = now;
	}
	gc_stream_on_token(gen->stream, attempt->number, offset, text);
}

static void on_end(void *ctx, const char *reason, uint64_t tokens)
{
	attempt_t *attempt = ctx;
	gc_generation_t *gen = attempt->gen;
	uint32_t number = attempt->number;

	gc_stream_on_end(gen->stream, number, reason, tokens);
	talloc_free(attempt_find(gen, number));
}

/*
 * The attempt is freed after gc_stream_on_error because the stream may cancel
 * its run from inside that call.
 */
static void on_error(void *ctx, const GError *err)
{
	attempt_t *attempt = ctx;
	gc_generation_t *gen = attempt->gen;
	uint32_t number = attempt->number;

	/* The engine refused the run, or no connection to it was made. */
	if (g_error_matches(err, GC_ERROR, GC_ERR_OVERLOADED) ||
	    g_error_matches(err, GC_ERROR, GC_ERR_UNAVAILABLE))
		attempt->may_be_running = false;
	gen->in_doubt |= attempt->may_be_running;
	gc_generation_log(gen, GC_LOG_INFO, GC_EVENT_ATTEMPT_BROKE,
			  "engine attempt failed", err);
	gc_stream_on_error(gen->stream, number, err);
	talloc_free(attempt_find(gen, number));
}

static bool op_pick(void *ctx, const gc_str_t *avoid, size_t n_avoid,
		    char engine[GC_NAME_MAX])
{
	gc_generation_t *gen = ctx;
	gc_retry_budget_t *budget = gc_traffic_retry_budget(gen->traffic);
	gc_run_spec_t spec = {
		.account = gen->req_ctx->account,
		.model = gen->completion_request->model,
		.policy = gen->req_ctx->account->policy,
		.prompt = gen->completion_request->prompt,
		.prefix_tokens = gc_stream_token_count(gen->stream),
		.avoid = avoid,
		.n_avoid = n_avoid,
	};

	if (!gc_engine_pool_choose(gc_traffic_engine_pool(gen->traffic), &spec,
				   engine))
		return false;
	return !gen->run_requested || gc_retry_budget_withdraw(budget);
}

static void op_deliver(void *ctx, gc_str_t token, const gc_cursor_t *cursor)
{
	gc_generation_t *gen = ctx;
	struct timespec now = gc_clock_now(gen->clock);
	bool first = gen->last_attempt == 0;

	if (first)
		gc_account_metrics_observe(
			gen->metrics,
			gen->resumed ? GC_ACCOUNT_METRICS_RESUME_GAP
				     : GC_ACCOUNT_METRICS_FIRST_TOKEN,
			gc_us_between(gen->req_ctx->arrived, now) / 1e3);
	else
		observe_interval(gen, cursor->attempt, now);
	gc_account_metrics_add(gen->metrics, GC_ACCOUNT_METRICS_TOKENS, 1);
	gen->last_attempt = cursor->attempt;
	gen->last_token_at = now;
	gen->paused_ms = 0;
	gc_reply_send_token(gen->reply, token, cursor);
	if (gc_reply_is_backlogged(gen->reply))
		gc_generation_set_paused(gen, true);
}

static void observe_interval(gc_generation_t *gen, uint32_t attempt_number,
			     struct timespec now)
{
	double ms = gc_us_between(gen->last_token_at, now) / 1e3;

	if (attempt_number == gen->last_attempt) {
		gc_account_metrics_observe(
			gen->metrics, GC_ACCOUNT_METRICS_TOKEN_INTERVAL, ms);
		return;
	}
	gc_account_metrics_add(gen->metrics, GC_ACCOUNT_METRICS_RESUMES, 1);
	gc_account_metrics_observe(gen->metrics, GC_ACCOUNT_METRICS_RESUME_GAP,
				   ms);
}

static void op_finish(void *ctx, const char *reason)
{
	gc_generation_t *gen = ctx;
	gc_usage_t usage = {
		.prompt_tokens =
			gc_estimate_tokens(gen->completion_request->prompt),
		.completion_tokens = gc_stream_token_count(gen->stream),
	};
	g_autoptr(GString) text = g_string_new(NULL);

	gen->ended = true;
	for (uint64_t i = 0;
	     !gen->completion_request->stream && i < usage.completion_tokens;
	     i++) {
		gc_str_t token = gc_stream_token(gen->stream, i);

		g_string_append_len(text, token.data, token.len);
	}
	gc_reply_finish(gen->reply, (gc_str_t){text->str, text->len}, reason,
			&usage);
	gc_generation_release_admission(gen);
}

static void op_fail(void *ctx, const GError *err)
{
	gc_generation_t *gen = ctx;

	gc_generation_log(gen, GC_LOG_WARNING, GC_EVENT_GENERATION_FAILED,
			  "generation failed", err);
	gen->ended = true;
	gc_reply_fail(gen->reply, err,
		      gen->in_doubt ? GC_RUN_IN_DOUBT : GC_RUN_NOT_RUN,
		      gc_retry_after_s(gen->traffic));
	gc_generation_release_admission(gen);
}

static bool op_caller_connected(void *ctx)
{
	gc_generation_t *gen = ctx;

	return gc_http_req_connected(gen->req_ctx->req);
}

static void op_set_timer(void *ctx, const struct timespec *at)
{
	gc_generation_t *gen = ctx;
	int64_t us;

	TALLOC_FREE(gen->timer);
	if (!at)
		return;
	us = MAX(gc_us_between(gc_clock_now(gen->clock), *at), 0);
	gen->timer = tevent_add_timer(gc_traffic_ev(gen->traffic), gen,
				      tevent_timeval_current_ofs(us / 1000000,
								 us % 1000000),
				      on_stream_timer, gen);
}

static void on_stream_timer(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval now, void *ctx)
{
	gc_generation_t *gen = ctx;

	gen->timer = NULL;
	if (!gen->ended)
		gc_stream_on_timer(gen->stream);
}

/* Adds the time during which this daemon paused reading from the engine. */
static int64_t op_stall_timeout_ms(void *ctx, const char *engine,
				   bool first_token)
{
	gc_generation_t *gen = ctx;
	gc_stall_detector_t *stall_detector = gc_engine_pool_stall_detector(
		gc_traffic_engine_pool(gen->traffic), engine);
	int64_t ms = gc_traffic_settings(gen->traffic)->stall_timeout_ms;

	if (ms == 0)
		ms = gc_stall_detector_timeout_ms(
			stall_detector, first_token,
			gen->req_ctx->account->policy);

	if (gen->paused)
		ms += gc_generation_ms_since(gen, gen->paused_at);
	return ms + gen->paused_ms;
}

static void op_report(void *ctx, const char *engine,
		      gc_engine_verdict_t verdict)
{
	gc_generation_t *gen = ctx;
	struct gc_control *control = gc_traffic_control(gen->traffic);

	if (control)
		gc_control_report_engine(control, gc_str(engine), verdict);
}
