/* Runs generations and actions side by side and reports what came of them. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "gcload.h"
#include "lib/client.h"

/* Actions are spread over the time of the generations. */
#define BOOKING_INTERVAL_MS 60
#define MAX_SAMPLES	    2000000

typedef struct load {
	const load_options_t *options;
	struct tevent_context *ev;
	gc_client_t *caller;
	GRand *rand;
	gc_random_t random;
	int started;
	int running;
	int whole;
	int broken;
	int failed;
	int untyped; /* failed without an error of the system's own */
	uint64_t tokens;
	int bookings_started;
	int bookings_running;
	int done;
	int not_run;
	int in_doubt;
	GArray *first_ms;
	GArray *interval_ms;
	GArray *total_ms;
	json_t *keys; /* idempotency key -> what the caller was told */
	json_t *resumes;
	json_t *errors;
} load_t;

typedef struct request {
	load_t *load;
	char *prompt;
	uint64_t want;
	chain_t chain;
	struct timespec begun;
	struct timespec last;
	bool reconnected;
	uint64_t held; /* tokens of the answer that was begun anew */
} request_t;

typedef struct booking {
	load_t *load;
	char *key;
} booking_t;

static uint64_t next_random(void *ctx);
static void start_requests(load_t *load);
static void start_request(load_t *load);
static void generate(request_t *request);
static bool begin_anew(request_t *request);
static void schedule_arrival(load_t *load);
static void on_arrival(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *ctx);
static void on_token(void *ctx, gc_str_t text);
static void on_resumed(void *ctx, const char *url);
static void note_resume(request_t *request, double gap_ms);
static void on_generated(void *ctx, const GError *err);
static void start_booking(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *ctx);
static void on_booked(void *ctx, gc_run_state_t run, int status, gc_str_t body,
		      const GError *err);
static void add_sample(GArray *samples, double value);
static double percentile(GArray *samples, double p);
static int compare_double(const void *a, const void *b);
static void print_report(load_t *load, double seconds);
static int64_t wall_ms(void);

int load_run(const load_options_t *options)
{
	load_t load = {.options = options};
	gc_client_conf_t conf = {
		.urls = (const char *const *)options->urls,
		.key = options->key,
		.clock = &gc_clock_system,
		.progress_timeout_ms = options->patience_s * 1000L,
	};
	struct timespec begun = gc_clock_now(&gc_clock_system);

	load.rand = g_rand_new_with_seed(options->seed);
	load.random = (gc_random_t){next_random, load.rand};
	conf.random = &load.random;
	load.first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.interval_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.total_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.keys = json_object();
	load.resumes = json_array();
	load.errors = json_array();
	load.ev = tevent_context_init(NULL);
	load.caller = gc_client_create(load.ev, load.ev, &conf);
	start_requests(&load);
	if (options->bookings > 0)
		start_booking(load.ev, NULL, tevent_timeval_current(), &load);
	while (load.running > 0 || load.bookings_running > 0 ||
	       load.started < options->requests ||
	       load.bookings_started < options->bookings)
		tevent_loop_once(load.ev);
	print_report(&load, (double)gc_us_between(
				    begun, gc_clock_now(&gc_clock_system)) /
				    1e6);
	talloc_free(load.ev);
	g_rand_free(load.rand);
	g_array_unref(load.first_ms);
	g_array_unref(load.interval_ms);
	g_array_unref(load.total_ms);
	return load.broken > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
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
	while (load->running < load->options->concurrency &&
	       load->started < load->options->requests)
		start_request(load);
}

static void schedule_arrival(load_t *load)
{
	double wait = -log(1 - g_rand_double(load->rand)) / load->options->rate;
	struct timeval at = tevent_timeval_current_ofs(
		(uint32_t)wait, (uint32_t)(fmod(wait, 1) * 1e6));

	if (load->started < load->options->requests)
		tevent_add_timer(load->ev, load->ev, at, on_arrival, load);
}

static void on_arrival(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *ctx)
{
	load_t *load = ctx;

	start_request(load);
	schedule_arrival(load);
}

static void start_request(load_t *load)
{
	const load_options_t *o = load->options;
	request_t *request = talloc_zero(load->ev, request_t);

	request->load = load;
	request->prompt = make_prompt(o->kind, o->prompt_words, &load->random);
	request->want =
		g_rand_int_range(load->rand, o->min_tokens, o->max_tokens + 1);
	request->begun = gc_clock_now(&gc_clock_system);
	request->last = request->begun;
	load->started++;
	load->running++;
	generate(request);
}

static void generate(request_t *request)
{
	static const gc_client_generation_ops_t ops = {
		.token = on_token, .resumed = on_resumed, .done = on_generated};
	load_t *load = request->load;
	gc_client_generation_conf_t conf = {.model = load->options->model,
					    .prompt = gc_str(request->prompt),
					    .max_tokens = request->want};

	chain_begin(&request->chain, gc_str(request->prompt));
	gc_client_generate(load->caller, &conf, &ops, request);
}

/* The baseline that throws a failed answer away and asks again. */
static bool begin_anew(request_t *request)
{
	if (!request->load->options->restart || request->held > 0)
		return false;
	request->held = request->chain.tokens;
	generate(request);
	return true;
}

static void on_token(void *ctx, gc_str_t text)
{
	request_t *request = ctx;
	load_t *load = request->load;
	struct timespec now = gc_clock_now(&gc_clock_system);
	double gap = (double)gc_us_between(request->last, now) / 1000;

	chain_take(&request->chain, text);
	if (request->chain.tokens <= request->held)
		return; /* the caller has seen these tokens already */
	add_sample(request->chain.tokens == 1 ? load->first_ms
					      : load->interval_ms,
		   gap);
	if (request->chain.new_run || request->reconnected ||
	    (request->held > 0 && request->chain.tokens == request->held + 1))
		note_resume(request, gap);
	request->reconnected = false;
	request->last = now;
	load->tokens++;
}

static void on_resumed(void *ctx, const char *url)
{
	request_t *request = ctx;

	request->reconnected = true;
}

static void note_resume(request_t *request, double gap_ms)
{
	json_array_append_new(request->load->resumes,
			      json_pack("{sI sf ss sb}", "at_ms",
					(json_int_t)wall_ms(), "gap_ms", gap_ms,
					"run", request->chain.run,
					"reconnected", request->reconnected));
}

static void on_generated(void *ctx, const GError *err)
{
	request_t *request = ctx;
	load_t *load = request->load;
	const chain_t *chain = &request->chain;
	struct timespec now = gc_clock_now(&gc_clock_system);

	if (err && !chain->broken && begin_anew(request))
		return;
	add_sample(load->total_ms,
		   (double)gc_us_between(request->begun, now) / 1000);
	if (chain->broken || (!err && chain->tokens != request->want))
		load->broken++;
	else if (err)
		load->failed++;
	else
		load->whole++;
	load->untyped += err && err->domain != GC_ERROR;
	if (err && json_array_size(load->errors) < 10)
		json_array_append_new(load->errors, json_string(err->message));
	g_free(request->prompt);
	talloc_free(request);
	load->running--;
	if (load->options->rate <= 0)
		start_requests(load);
}

static void start_booking(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *ctx)
{
	load_t *load = ctx;
	booking_t *booking = talloc_zero(load->ev, booking_t);
	struct timeval next =
		tevent_timeval_current_ofs(0, BOOKING_INTERVAL_MS * 1000);

	booking->load = load;
	booking->key =
		gc_uuid7_generate(booking, &gc_clock_system, &load->random);
	load->bookings_started++;
	load->bookings_running++;
	gc_client_action(load->caller, load->options->service,
			 load->options->path, booking->key,
			 GC_STR_LIT("{\"item\":\"fridge\"}"), on_booked,
			 booking);
	if (load->bookings_started < load->options->bookings)
		tevent_add_timer(ev, load->ev, next, start_booking, load);
}

static void on_booked(void *ctx, gc_run_state_t run, int status, gc_str_t body,
		      const GError *err)
{
	booking_t *booking = ctx;
	load_t *load = booking->load;

	load->bookings_running--;
	load->done += run == GC_RUN_DONE;
	load->not_run += run == GC_RUN_NOT_RUN;
	load->in_doubt += run == GC_RUN_IN_DOUBT;
	json_object_set_new(load->keys, booking->key,
			    json_string(gc_run_state_name(run)));
	if (err && json_array_size(load->errors) < 10)
		json_array_append_new(load->errors, json_string(err->message));
	talloc_free(booking);
}

static void add_sample(GArray *samples, double value)
{
	if (samples->len < MAX_SAMPLES)
		g_array_append_val(samples, value);
}

static double percentile(GArray *samples, double p)
{
	if (samples->len == 0)
		return 0;
	qsort(samples->data, samples->len, sizeof(double), compare_double);
	return g_array_index(samples, double,
			     (guint)(p * (samples->len - 1) + 0.5));
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
		json_pack("{si si si si si sI sf}", "requests", load->started,
			  "whole", load->whole, "broken", load->broken,
			  "failed", load->failed, "untyped", load->untyped,
			  "tokens", (json_int_t)load->tokens, "seconds",
			  seconds);
	char *text;

	json_object_update_new(
		report,
		json_pack("{sf sf sf sf sf sf}", "first_token_p50_ms",
			  percentile(load->first_ms, 0.5), "first_token_p95_ms",
			  percentile(load->first_ms, 0.95), "interval_p95_ms",
			  percentile(load->interval_ms, 0.95),
			  "interval_max_ms", percentile(load->interval_ms, 1),
			  "total_p50_ms", percentile(load->total_ms, 0.5),
			  "total_p95_ms", percentile(load->total_ms, 0.95)));
	json_object_update_new(
		report, json_pack("{si si si si so so so}", "bookings",
				  load->bookings_started, "done", load->done,
				  "not_run", load->not_run, "in_doubt",
				  load->in_doubt, "keys", load->keys, "resumes",
				  load->resumes, "errors", load->errors));
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
