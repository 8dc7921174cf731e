/* Sends generations and actions concurrently and reports their outcomes. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "gcload.h"
#include "lib/client.h"

/* Actions are sent at this interval while the generations run. */
#define ACTION_INTERVAL_MS 60
#define MAX_SAMPLES	   2000000 /* per latency series */
#define MAX_ERRORS	   10 /* error messages in the report */

typedef struct load {
	const load_options_t *options;
	struct tevent_context *ev;
	gc_client_t *client;
	GRand *rand;
	gc_random_t random;
	int requests_started;
	int requests_running;
	int answers_complete;
	int answers_corrupt; /* wrong token or wrong number of tokens */
	int answers_failed;
	int untyped_errors; /* errors outside the domain GC_ERROR */
	uint64_t tokens; /* without those sent again after a restart */
	int actions_started;
	int actions_running;
	int actions_done;
	int actions_not_run;
	int actions_in_doubt;
	GArray *first_token_ms;
	GArray *interval_ms;
	GArray *total_ms;
	json_t *action_outcomes; /* idempotency key -> reported run state */
	json_t *resumes;
	json_t *errors;
} load_t;

typedef struct request {
	load_t *load;
	char *prompt;
	uint64_t expected_tokens;
	token_chain_t chain;
	struct timespec started_at;
	struct timespec last_token_at;
	bool reconnected; /* to another daemon since the last token */
	/* Tokens received before the restart; 0: not restarted. */
	uint64_t tokens_before_restart;
} request_t;

typedef struct action {
	load_t *load;
	char *key;
} action_t;

static uint64_t next_random(void *ctx);
static void start_requests(load_t *load);
static void start_request(load_t *load);
static void send_generation(request_t *request);
static bool restart_request(request_t *request);
static void schedule_arrival(load_t *load);
static void on_arrival(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *ctx);
static void on_token(void *ctx, gc_str_t text);
static void on_resumed(void *ctx, const char *url);
static void record_resume(request_t *request, double gap_ms);
static void on_generation_done(void *ctx, const GError *err);
static void start_action(struct tevent_context *ev, struct tevent_timer *timer,
			 struct timeval now, void *ctx);
static void on_action_done(void *ctx, gc_run_state_t run, int status,
			   gc_str_t body, const GError *err);
static void add_sample(GArray *samples, double value);
static double percentile(GArray *samples, double fraction);
static int compare_double(const void *a, const void *b);
static void print_report(load_t *load, double seconds);
static int64_t wall_ms(void);

int run_load(const load_options_t *options)
{
	load_t load = {.options = options};
	gc_client_conf_t conf = {
		.urls = (const char *const *)options->urls,
		.key = options->key,
		.clock = &gc_clock_system,
		.progress_timeout_ms = options->progress_timeout_s * 1000L,
	};
	struct timespec started_at = gc_clock_now(&gc_clock_system);

	load.rand = g_rand_new_with_seed(options->seed);
	load.random = (gc_random_t){next_random, load.rand};
	conf.random = &load.random;
	load.first_token_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.interval_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.total_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.action_outcomes = json_object();
	load.resumes = json_array();
	load.errors = json_array();
	load.ev = tevent_context_init(NULL);
	load.client = gc_client_create(load.ev, load.ev, &conf);
	start_requests(&load);
	if (options->actions > 0)
		start_action(load.ev, NULL, tevent_timeval_current(), &load);
	while (load.requests_running > 0 || load.actions_running > 0 ||
	       load.requests_started < options->requests ||
	       load.actions_started < options->actions)
		tevent_loop_once(load.ev);
	print_report(&load,
		     (double)gc_us_between(started_at,
					   gc_clock_now(&gc_clock_system)) /
			     1e6);
	talloc_free(load.ev);
	g_rand_free(load.rand);
	g_array_unref(load.first_token_ms);
	g_array_unref(load.interval_ms);
	g_array_unref(load.total_ms);
	return load.answers_corrupt > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

static uint64_t next_random(void *ctx)
{
	return (uint64_t)g_rand_int(ctx) << 32 | g_rand_int(ctx);
}

static void start_requests(load_t *load)
{
	if (load->options->rate > 0) {
		schedule_arrival(load);
		return;
	}
	while (load->requests_running < load->options->concurrency &&
	       load->requests_started < load->options->requests)
		start_request(load);
}

static void schedule_arrival(load_t *load)
{
	double wait = -log(1 - g_rand_double(load->rand)) / load->options->rate;
	struct timeval arrival = tevent_timeval_current_ofs(
		(uint32_t)wait, (uint32_t)(fmod(wait, 1) * 1e6));

	if (load->requests_started < load->options->requests)
		tevent_add_timer(load->ev, load->ev, arrival, on_arrival, load);
}

static void on_arrival(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *ctx)
{
	load_t *load = ctx;

	start_request(load);
	schedule_arrival(load);
}

static void start_request(load_t *load)
{
	const load_options_t *options = load->options;
	request_t *request = talloc_zero(load->ev, request_t);

	request->load = load;
	request->prompt = make_prompt(options->prompt_kind,
				      options->prompt_words, &load->random);
	request->expected_tokens = g_rand_int_range(
		load->rand, options->min_tokens, options->max_tokens + 1);
	request->started_at = gc_clock_now(&gc_clock_system);
	request->last_token_at = request->started_at;
	load->requests_started++;
	load->requests_running++;
	send_generation(request);
}

static void send_generation(request_t *request)
{
	static const gc_client_generation_ops_t ops = {
		.token = on_token,
		.resumed = on_resumed,
		.done = on_generation_done};
	load_t *load = request->load;
	gc_client_generation_conf_t conf = {.model = load->options->model,
					    .prompt = gc_str(request->prompt),
					    .max_tokens =
						    request->expected_tokens};

	token_chain_init(&request->chain, gc_str(request->prompt));
	gc_client_generate(load->client, &conf, &ops, request);
}

/*
 * Implements --restart, the baseline without resume: sends a failed request
 * once more from its first token. Returns true if it was sent.
 */
static bool restart_request(request_t *request)
{
	if (!request->load->options->restart_failed ||
	    request->tokens_before_restart > 0)
		return false;
	request->tokens_before_restart = request->chain.tokens;
	send_generation(request);
	return true;
}

static void on_token(void *ctx, gc_str_t text)
{
	request_t *request = ctx;
	load_t *load = request->load;
	struct timespec now = gc_clock_now(&gc_clock_system);
	double gap_ms =
		(double)gc_us_between(request->last_token_at, now) / 1000;

	token_chain_append(&request->chain, text);
	if (request->chain.tokens <= request->tokens_before_restart)
		return; /* already received before the restart */
	add_sample(request->chain.tokens == 1 ? load->first_token_ms
					      : load->interval_ms,
		   gap_ms);
	if (request->chain.run_changed || request->reconnected ||
	    (request->tokens_before_restart > 0 &&
	     request->chain.tokens == request->tokens_before_restart + 1))
		record_resume(request, gap_ms);
	request->reconnected = false;
	request->last_token_at = now;
	load->tokens++;
}

static void on_resumed(void *ctx, const char *url)
{
	request_t *request = ctx;

	request->reconnected = true;
}

static void record_resume(request_t *request, double gap_ms)
{
	json_array_append_new(request->load->resumes,
			      json_pack("{sI sf ss sb}", "at_ms",
					(json_int_t)wall_ms(), "gap_ms", gap_ms,
					"run", request->chain.run,
					"reconnected", request->reconnected));
}

static void on_generation_done(void *ctx, const GError *err)
{
	request_t *request = ctx;
	load_t *load = request->load;
	const token_chain_t *chain = &request->chain;
	struct timespec now = gc_clock_now(&gc_clock_system);

	if (err && !chain->invalid && restart_request(request))
		return;
	add_sample(load->total_ms,
		   (double)gc_us_between(request->started_at, now) / 1000);
	if (chain->invalid ||
	    (!err && chain->tokens != request->expected_tokens))
		load->answers_corrupt++;
	else if (err)
		load->answers_failed++;
	else
		load->answers_complete++;
	load->untyped_errors += err && err->domain != GC_ERROR;
	if (err && json_array_size(load->errors) < MAX_ERRORS)
		json_array_append_new(load->errors, json_string(err->message));
	g_free(request->prompt);
	talloc_free(request);
	load->requests_running--;
	if (load->options->rate <= 0)
		start_requests(load);
}

static void start_action(struct tevent_context *ev, struct tevent_timer *timer,
			 struct timeval now, void *ctx)
{
	load_t *load = ctx;
	action_t *action = talloc_zero(load->ev, action_t);
	struct timeval next =
		tevent_timeval_current_ofs(0, ACTION_INTERVAL_MS * 1000);

	action->load = load;
	action->key =
		gc_uuid7_generate(action, &gc_clock_system, &load->random);
	load->actions_started++;
	load->actions_running++;
	gc_client_action(load->client, load->options->service,
			 load->options->path, action->key,
			 GC_STR_LIT("{\"item\":\"fridge\"}"), on_action_done,
			 action);
	if (load->actions_started < load->options->actions)
		tevent_add_timer(ev, load->ev, next, start_action, load);
}

static void on_action_done(void *ctx, gc_run_state_t run, int status,
			   gc_str_t body, const GError *err)
{
	action_t *action = ctx;
	load_t *load = action->load;

	load->actions_running--;
	load->actions_done += run == GC_RUN_DONE;
	load->actions_not_run += run == GC_RUN_NOT_RUN;
	load->actions_in_doubt += run == GC_RUN_IN_DOUBT;
	json_object_set_new(load->action_outcomes, action->key,
			    json_string(gc_run_state_name(run)));
	if (err && json_array_size(load->errors) < MAX_ERRORS)
		json_array_append_new(load->errors, json_string(err->message));
	talloc_free(action);
}

static void add_sample(GArray *samples, double value)
{
	if (samples->len < MAX_SAMPLES)
		g_array_append_val(samples, value);
}

static double percentile(GArray *samples, double fraction)
{
	if (samples->len == 0)
		return 0;
	qsort(samples->data, samples->len, sizeof(double), compare_double);
	return g_array_index(samples, double,
			     (guint)(fraction * (samples->len - 1) + 0.5));
}

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void print_report(load_t *load, double seconds)
{
	json_t *report =
		json_pack("{si si si si si sI sf}", "requests",
			  load->requests_started, "whole",
			  load->answers_complete, "broken",
			  load->answers_corrupt, "failed", load->answers_failed,
			  "untyped", load->untyped_errors, "tokens",
			  (json_int_t)load->tokens, "seconds", seconds);
	char *text;

	json_object_update_new(
		report,
		json_pack("{sf sf sf sf sf sf}", "first_token_p50_ms",
			  percentile(load->first_token_ms, 0.5),
			  "first_token_p95_ms",
			  percentile(load->first_token_ms, 0.95),
			  "interval_p95_ms",
			  percentile(load->interval_ms, 0.95),
			  "interval_max_ms", percentile(load->interval_ms, 1),
			  "total_p50_ms", percentile(load->total_ms, 0.5),
			  "total_p95_ms", percentile(load->total_ms, 0.95)));
	json_object_update_new(
		report,
		json_pack("{si si si si so so so}", "bookings",
			  load->actions_started, "done", load->actions_done,
			  "not_run", load->actions_not_run, "in_doubt",
			  load->actions_in_doubt, "keys", load->action_outcomes,
			  "resumes", load->resumes, "errors", load->errors));
	text = json_dumps(report, JSON_COMPACT);
	puts(text);
	free(text);
	json_decref(report);
}

static int64_t wall_ms(void)
{
	struct timespec t = gc_clock_wall(&gc_clock_system);

	return t.tv_sec * INT64_C(1000) + t.tv_nsec / 1000000;
}
