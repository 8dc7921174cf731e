/* Stand-in for a model engine: options, routing, load, orders, faults. */
#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "standin-engine.h"

typedef struct load_sample {
	int64_t at_us;
	unsigned int running;
	unsigned int queued;
} load_sample_t;

typedef struct deferred_req {
	gc_http_req_t *req;
	int64_t received_us;
} deferred_req_t;

engine_options_t engine_options = {
	.slots = 8,
	.prefill_us_per_token = 200,
	.token_ms = 20,
	.cache_tokens = 65536,
	.block_tokens = 16,
	.retain_ms = 10000,
	.load_lag_ms = 500,
	.event_lag_ms = 500,
};

static const GOptionEntry entries[] = {
	{"slots", 0, 0, G_OPTION_ARG_INT, &engine_options.slots,
	 "Maximum number of concurrent runs (8)", "N"},
	{"prefill-us-per-token", 0, 0, G_OPTION_ARG_INT,
	 &engine_options.prefill_us_per_token,
	 "Prefill time per token not in the cache (200)", "US"},
	{"token-ms", 0, 0, G_OPTION_ARG_INT, &engine_options.token_ms,
	 "Interval between tokens of a run (20)", "MS"},
	{"cache-tokens", 0, 0, G_OPTION_ARG_INT, &engine_options.cache_tokens,
	 "Capacity of the prefix cache in tokens (65536)", "N"},
	{"block-tokens", 0, 0, G_OPTION_ARG_INT, &engine_options.block_tokens,
	 "Tokens per block of the prefix cache (16)", "N"},
	{"retain-ms", 0, 0, G_OPTION_ARG_INT, &engine_options.retain_ms,
	 "Retention time of a run without a stream (10000)", "MS"},
	{"load-lag-ms", 0, 0, G_OPTION_ARG_INT, &engine_options.load_lag_ms,
	 "Age of load reports (500)", "MS"},
	{"cache-event-lag-ms", 0, 0, G_OPTION_ARG_INT,
	 &engine_options.event_lag_ms, "Delay of cache events (500)", "MS"},
	{"cache-event-loss", 0, 0, G_OPTION_ARG_INT, &engine_options.event_loss,
	 "Omit every Nth cache event; 0: none (0)", "N"},
	{"run-base", 0, 0, G_OPTION_ARG_STRING, &engine_options.run_base,
	 "Prefix of run ids (name and random number)", "TEXT"},
	{"check-fencing", 0, 0, G_OPTION_ARG_NONE,
	 &engine_options.check_fencing,
	 "Refuse orders with a stale fencing token", NULL},
	{"crash-on", 0, 0, G_OPTION_ARG_STRING, &engine_options.crash_on,
	 "Exit at the start of a run whose prompt contains TEXT", "TEXT"},
	{0},
};

static const char *const run_fault_names[N_RUN_FAULTS] = {
	[FAULT_GARBAGE] = "garbage", [FAULT_REPEAT] = "repeat",
	[FAULT_GAP] = "gap",	     [FAULT_FOREIGN] = "foreign",
	[FAULT_CUT] = "cut",	     [FAULT_FREEZE] = "freeze",
};

static void *start(standin_t *standin);
static void handle(void *ctx, gc_http_req_t *req);
static void defer(engine_t *engine, gc_http_req_t *req);
static void route_deferred(engine_t *engine);
static void route(engine_t *engine, gc_http_req_t *req);
static bool route_run(engine_t *engine, gc_http_req_t *req);
static void reply_load(engine_t *engine, gc_http_req_t *req);
static void reply_cache_events(engine_t *engine, gc_http_req_t *req);
static void reply_stats(engine_t *engine, gc_http_req_t *req);
static void accept_order(engine_t *engine, gc_http_req_t *req);
static void handle_fault(engine_t *engine, gc_http_req_t *req);
static bool apply_fault(engine_t *engine, const json_t *body);
static void arm_run_fault(engine_t *engine, run_fault_kind_t kind,
			  const json_t *body);
static void on_freeze_end(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *ctx);

int main(int argc, char **argv)
{
	static const standin_conf_t conf = {
		.program = "standin-engine",
		.summary = "Model engine that generates hash-chained tokens.",
		.options = entries,
		.handler = handle,
		.start = start,
	};

	return standin_main(&conf, argc, argv);
}

static void *start(standin_t *standin)
{
	engine_t *engine = talloc_zero(standin->mem, engine_t);

	if (engine_options.slots < 1 || engine_options.block_tokens < 1) {
		fprintf(stderr,
			"%s: --slots and --block-tokens must be 1 or "
			"more\n",
			standin->program);
		return NULL;
	}
	engine->standin = standin;
	engine->cache = cache_create(engine);
	engine->run_base = engine_options.run_base
				   ? g_strdup(engine_options.run_base)
				   : g_strdup_printf("%s-%06x", standin->name,
						     g_random_int() & 0xffffff);
	g_strcanon(engine->run_base,
		   G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.", '_');
	engine->runs = g_hash_table_new(g_str_hash, g_str_equal);
	engine->orders = json_array();
	g_queue_init(&engine->queue);
	g_queue_init(&engine->load_samples);
	g_queue_init(&engine->deferred_reqs);
	engine_record_load(engine);
	return engine;
}

static void handle(void *ctx, gc_http_req_t *req)
{
	engine_t *engine = ctx;

	if (standin_req_matches(req, "POST", "/faults"))
		handle_fault(engine, req);
	else if (engine_is_frozen(engine))
		defer(engine, req);
	else
		route(engine, req);
}

static void defer(engine_t *engine, gc_http_req_t *req)
{
	deferred_req_t *deferred = g_new(deferred_req_t, 1);

	deferred->req = req;
	deferred->received_us = standin_monotonic_us();
	g_queue_push_tail(&engine->deferred_reqs, deferred);
}

/* Routes the requests that came during a freeze. */
static void route_deferred(engine_t *engine)
{
	deferred_req_t *deferred;

	while (!engine_is_frozen(engine) &&
	       (deferred = g_queue_pop_head(&engine->deferred_reqs)) != NULL) {
		engine->held_us =
			standin_monotonic_us() - deferred->received_us;
		route(engine, deferred->req);
		g_free(deferred);
	}
	engine->held_us = 0;
}

static void route(engine_t *engine, gc_http_req_t *req)
{
	if (standin_req_matches(req, "POST", "/v1/runs"))
		run_start(engine, req);
	else if (standin_req_matches(req, "GET", "/v1/load"))
		reply_load(engine, req);
	else if (standin_req_matches(req, "GET", "/v1/cache_events"))
		reply_cache_events(engine, req);
	else if (standin_req_matches(req, "GET", "/v1/stats"))
		reply_stats(engine, req);
	else if (standin_req_matches(req, "POST", "/v1/orders"))
		accept_order(engine, req);
	else if (standin_req_matches(req, "GET", "/v1/orders"))
		standin_reply(req, 200, json_incref(engine->orders));
	else if (!route_run(engine, req))
		standin_reply_error(req, 404, "no such path: %s",
				    gc_http_req_path(req));
}

static bool route_run(engine_t *engine, gc_http_req_t *req)
{
	const char *method = gc_http_req_method(req);
	const char *path = gc_http_req_path(req);

	if (!g_str_has_prefix(path, "/v1/runs/"))
		return false;
	path += strlen("/v1/runs/");
	if (strcmp(method, "DELETE") == 0 && !strchr(path, '/'))
		run_cancel(engine, req, path);
	else if (strcmp(method, "GET") == 0 &&
		 g_str_has_suffix(path, "/stream"))
		run_attach(engine, req, path);
	else
		return false;
	return true;
}

void engine_record_load(engine_t *engine)
{
	load_sample_t *sample = g_new0(load_sample_t, 1);
	int64_t report_time_us = standin_monotonic_us() -
				 engine_options.load_lag_ms * INT64_C(1000);

	sample->at_us = standin_monotonic_us();
	sample->running = engine->running;
	sample->queued = engine->queue.length;
	g_queue_push_tail(&engine->load_samples, sample);
	/* The head is the newest sample that is at least load_lag_ms old. */
	while (engine->load_samples.length > 1 &&
	       ((load_sample_t *)engine->load_samples.head->next->data)
			       ->at_us <= report_time_us)
		g_free(g_queue_pop_head(&engine->load_samples));
}

static void reply_load(engine_t *engine, gc_http_req_t *req)
{
	struct timespec at = gc_add_ms(gc_clock_wall(&gc_clock_system),
				       -(int64_t)engine_options.load_lag_ms);
	json_int_t at_ms = at.tv_sec * INT64_C(1000) + at.tv_nsec / 1000000;
	const load_sample_t *sample;

	engine_record_load(engine);
	sample = g_queue_peek_head(&engine->load_samples);
	standin_reply(req, 200,
		      json_pack("{si si si sI}", "running",
				(int)sample->running, "queued",
				(int)sample->queued, "slots",
				engine_options.slots, "at_ms", at_ms));
}

static void reply_cache_events(engine_t *engine, gc_http_req_t *req)
{
	uint64_t from = 0;

	if (gc_http_req_query_arg(req, "from") &&
	    !standin_query_u64(req, "from", &from)) {
		standin_reply_error(req, 400, "from must be a number");
		return;
	}
	standin_reply(req, 200, cache_events(engine->cache, from));
}

static void reply_stats(engine_t *engine, gc_http_req_t *req)
{
	const engine_stats_t *stats = &engine->stats;

	standin_reply(req, 200,
		      json_pack("{sI sI sI sI sI sI sI}", "prefilled",
				(json_int_t)stats->prefilled, "cached",
				(json_int_t)stats->cached, "decoded",
				(json_int_t)stats->decoded, "runs",
				(json_int_t)stats->runs, "cancelled",
				(json_int_t)stats->cancelled, "expired",
				(json_int_t)stats->expired, "refused",
				(json_int_t)stats->refused));
}

static void accept_order(engine_t *engine, gc_http_req_t *req)
{
	json_t *body = standin_parse_body(req);
	int64_t fence;

	if (!body)
		return;
	fence = standin_get_int(body, "fence", -1);
	if (fence < 0 || !json_is_string(json_object_get(body, "order"))) {
		standin_reply_error(req, 400,
				    "an order needs order (string) "
				    "and fence (number)");
	} else if (engine_options.check_fencing &&
		   (uint64_t)fence < engine->highest_fence) {
		standin_reply_error(req, 409,
				    "fence %" G_GINT64_FORMAT
				    " is lower than %" G_GUINT64_FORMAT,
				    fence, engine->highest_fence);
	} else {
		engine->highest_fence =
			MAX(engine->highest_fence, (uint64_t)fence);
		json_array_append(engine->orders, body);
		standin_reply_text(req, 200, "{\"accepted\":true}\n");
	}
	json_decref(body);
}

static void handle_fault(engine_t *engine, gc_http_req_t *req)
{
	json_t *body = standin_parse_body(req);

	if (!body)
		return;
	if (apply_fault(engine, body))
		standin_reply_text(req, 200, "{\"ok\":true}\n");
	else
		standin_reply_error(req, 400, "unknown fault");
	json_decref(body);
}

static bool apply_fault(engine_t *engine, const json_t *body)
{
	const char *name = json_string_value(json_object_get(body, "fault"));

	if (!name)
		return false;
	if (strcmp(name, "clear") == 0) {
		memset(engine->next_run_faults, 0,
		       sizeof(engine->next_run_faults));
		engine->refuse_count = 0;
		engine_freeze(engine, 0);
		return true;
	}
	if (strcmp(name, "refuse") == 0) {
		engine->refuse_count = standin_get_int(body, "count", 1);
		engine->refuse_retry_after_s =
			standin_get_int(body, "retry_after_s", 1);
		return true;
	}
	if (strcmp(name, "freeze") == 0 && !json_object_get(body, "after")) {
		engine_freeze(engine, standin_get_int(body, "ms", 1000));
		return true;
	}
	for (int i = 0; i < N_RUN_FAULTS; i++) {
		if (strcmp(name, run_fault_names[i]) != 0)
			continue;
		arm_run_fault(engine, i, body);
		return true;
	}
	return false;
}

static void arm_run_fault(engine_t *engine, run_fault_kind_t kind,
			  const json_t *body)
{
	engine->next_run_faults[kind] = (run_fault_t){
		.armed = true,
		.after = standin_get_int(body, "after", 0),
		.ms = standin_get_int(body, "ms", 1000),
		.lose_run = json_is_true(json_object_get(body, "lose_run")),
	};
}

void engine_freeze(engine_t *engine, int64_t ms)
{
	g_autofree char *text = g_strdup_printf("%" G_GINT64_FORMAT, ms);

	if (ms > 0)
		gc_log(GC_LOG_INFO, GC_EVENT_ENGINE_FROZEN, "frozen", "ms",
		       text, NULL);
	engine->frozen_until_us = standin_monotonic_us() + ms * 1000;
	standin_add_timer_us(engine->standin->ev, engine, ms * 1000,
			     on_freeze_end, engine);
}

bool engine_is_frozen(const engine_t *engine)
{
	return engine->frozen_until_us > standin_monotonic_us();
}

static void on_freeze_end(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *ctx)
{
	engine_t *engine = ctx;

	/* The timer may expire early by rounding, or a new freeze began. */
	if (engine_is_frozen(engine)) {
		standin_add_timer_us(ev, engine,
				     engine->frozen_until_us -
					     standin_monotonic_us(),
				     on_freeze_end, engine);
		return;
	}
	run_resume_streams(engine);
	/* A resumed run can start another freeze. */
	route_deferred(engine);
}
