/* Runs: queueing, prefill, decoding, streaming and retention. */
#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "standin-engine.h"

/*
 * Back-pressure: a stream whose buffer reaches the high-water mark gets no more
 * tokens until the client has read it down to the low-water mark.
 */
#define STREAM_HIGH_WATER_BYTES (256 * 1024)
#define STREAM_LOW_WATER_BYTES	(64 * 1024)
/* Only a write detects that a waiting client has closed the connection. */
#define KEEPALIVE_INTERVAL_MS 1000
#define MAX_TOKENS_LIMIT      1000000

typedef enum run_state {
	RUN_QUEUED,
	RUN_PREFILL,
	RUN_DECODING,
	RUN_ENDED,
} run_state_t;

typedef struct run {
	engine_t *engine;
	char *id;
	uint64_t number;
	json_t *request;
	int64_t priority;
	run_state_t state;
	uint64_t max_tokens; /* of the complete text, with the prefix */
	uint64_t first_offset; /* of the first token after the prefix */
	GPtrArray *tokens; /* texts; prefix and generated tokens */
	uint64_t token_hash; /* of prompt and tokens; selects the next token */
	block_chain_t block_chain;
	uint64_t cached; /* tokens; as reported at the start of a stream */
	struct tevent_timer *step_timer; /* end of prefill or next token */
	int64_t due_us; /* time of the next step */
	run_fault_t faults[N_RUN_FAULTS];
	uint64_t attach_number; /* of the latest stream, from 1 */
	gc_http_req_t *req; /* of the attached stream; NULL: none */
	uint64_t next_offset; /* of the next token to send */
	bool end_sent;
	struct tevent_timer *keepalive_timer;
	struct tevent_timer *retention_timer; /* while there is no stream */
} run_t;

static const char *const vocabulary[] = {
	"sofa",	   "mattress", "fridge",    "kerb",	"pickup",   "Tuesday",
	"crew",	   "truck",    "booking",   "washer",	"wardrobe", "table",
	"carpet",  "gross",    "net",	    "payslip",	"month",    "holiday",
	"pension", "tax",      "allowance", "cyflog",	"treth",    "pensiwn",
	"mis",	   "gwyliau",  "slip",	    "enw",	"oriau",    "bonws",
	"lwfans",  "taliad",   "net-dâl",   "blwyddyn", "cyfanswm",
};

static run_t *run_create(engine_t *engine, gc_http_req_t *req, json_t *body);
static const char *validate_body(const json_t *body);
static bool is_optional_string(const json_t *body, const char *name);
static void load_prompt(run_t *run);
static void append_token(run_t *run, char *text);
static void run_free(run_t *run);
static void finish_run(run_t *run);
static gint compare_runs(gconstpointer a, gconstpointer b, gpointer data);
static void begin_prefill(run_t *run);
static bool is_deadly(const run_t *run);
static void start_queued(engine_t *engine);
static void schedule_step(run_t *run, int64_t due_us);
static void on_step(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *ctx);
static void decode(run_t *run);
static char *next_token_text(const run_t *run);
static void attach_stream(run_t *run, gc_http_req_t *req, uint64_t from,
			  bool with_request);
static void detach_stream(run_t *run);
static void abort_stream(run_t *run);
static void start_retention(run_t *run);
static void send_available_tokens(run_t *run);
static void on_drained(void *ctx);
static bool send_token(run_t *run);
static bool consume_fault(run_t *run, run_fault_kind_t kind, uint64_t offset);
static void write_token(run_t *run, uint64_t offset, const char *id,
			const char *text);
static void write_event(run_t *run, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
static void on_keepalive(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx);
static void on_stream_closed(void *ctx, bool complete);
static void on_retention_end(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *ctx);
static void log_cancelled(const run_t *run);

void run_start(engine_t *engine, gc_http_req_t *req)
{
	json_t *body;
	run_t *run;

	if (engine->refuse_count > 0) {
		engine->refuse_count--;
		engine->stats.refused++;
		standin_reply_retry_after(req, 503,
					  engine->refuse_retry_after_s,
					  "refused by a fault");
		return;
	}
	body = standin_parse_body(req);
	if (!body)
		return;
	run = run_create(engine, req, body);
	json_decref(body);
	if (!run)
		return;
	engine->stats.runs++;
	run->cached = cache_cached_tokens(engine->cache, &run->block_chain);
	attach_stream(run, req, run->first_offset, false);
	g_queue_insert_sorted(&engine->queue, run, compare_runs, NULL);
	start_queued(engine);
	engine_record_load(engine);
}

static run_t *run_create(engine_t *engine, gc_http_req_t *req, json_t *body)
{
	const char *error = validate_body(body);
	run_t *run;

	if (error) {
		standin_reply_error(req, 400, "%s", error);
		return NULL;
	}
	run = talloc_zero(engine, run_t);
	run->engine = engine;
	run->number = ++engine->last_run_seq;
	run->id = talloc_asprintf(run, "%s-%" PRIu64, engine->run_base,
				  run->number);
	run->request = json_incref(body);
	run->priority = json_integer_value(json_object_get(body, "priority"));
	run->max_tokens =
		json_integer_value(json_object_get(body, "max_tokens"));
	run->tokens = g_ptr_array_new_with_free_func(g_free);
	memcpy(run->faults, engine->next_run_faults, sizeof(run->faults));
	memset(engine->next_run_faults, 0, sizeof(engine->next_run_faults));
	block_chain_init(&run->block_chain);
	load_prompt(run);
	g_hash_table_insert(engine->runs, run->id, run);
	return run;
}

/* Returns an error message, or NULL if the body is valid. */
static const char *validate_body(const json_t *body)
{
	const json_t *prefix = json_object_get(body, "prefix");
	const json_t *priority = json_object_get(body, "priority");
	json_int_t max_tokens =
		json_integer_value(json_object_get(body, "max_tokens"));
	const json_t *token;
	size_t i;

	if (!json_is_string(json_object_get(body, "prompt")))
		return "prompt must be a string";
	if (max_tokens < 1 || max_tokens > MAX_TOKENS_LIMIT)
		return "max_tokens must be an integer from 1 to 1000000";
	if (!is_optional_string(body, "request"))
		return "request must be a string";
	if (!is_optional_string(body, "model"))
		return "model must be a string";
	if (priority && !json_is_integer(priority))
		return "priority must be an integer";
	if (prefix && !json_is_array(prefix))
		return "prefix must be an array of strings";
	json_array_foreach (prefix, i, token) {
		if (!json_is_string(token))
			return "prefix must be an array of strings";
	}
	if ((json_int_t)json_array_size(prefix) > max_tokens)
		return "prefix is longer than max_tokens";
	return NULL;
}

static bool is_optional_string(const json_t *body, const char *name)
{
	const json_t *value = json_object_get(body, name);

	return !value || json_is_string(value);
}

/* Hashes the words of the prompt and appends the tokens of the prefix. */
static void load_prompt(run_t *run)
{
	const json_t *prompt = json_object_get(run->request, "prompt");
	const json_t *prefix = json_object_get(run->request, "prefix");
	const char *text = json_string_value(prompt);
	const json_t *token;
	size_t i;

	run->token_hash = XXH64(text, json_string_length(prompt), 0);
	while (*text) {
		size_t space = strspn(text, " \t\r\n\v\f");
		size_t word = strcspn(text + space, " \t\r\n\v\f");

		text += space;
		if (word > 0)
			block_chain_append(&run->block_chain,
					   (gc_str_t){text, word});
		text += word;
	}
	json_array_foreach (prefix, i, token)
		append_token(run, g_strdup(json_string_value(token)));
	run->first_offset = run->tokens->len;
}

static void append_token(run_t *run, char *text)
{
	gc_str_t token = gc_str(text);

	run->token_hash = XXH64(token.data, token.len, run->token_hash);
	g_ptr_array_add(run->tokens, text);
	if (block_chain_append(&run->block_chain, token) &&
	    run->state == RUN_DECODING)
		cache_store(run->engine->cache, &run->block_chain);
}

static void run_free(run_t *run)
{
	detach_stream(run);
	finish_run(run);
	g_hash_table_remove(run->engine->runs, run->id);
	json_decref(run->request);
	g_ptr_array_free(run->tokens, TRUE);
	block_chain_clear(&run->block_chain);
	talloc_free(run);
}

/* Removes the run from the queue or releases its slot. */
static void finish_run(run_t *run)
{
	engine_t *engine = run->engine;

	if (run->state == RUN_ENDED)
		return;
	if (run->state == RUN_QUEUED)
		g_queue_remove(&engine->queue, run);
	else
		engine->running--;
	run->state = RUN_ENDED;
	TALLOC_FREE(run->step_timer);
	start_queued(engine);
	engine_record_load(engine);
}

static gint compare_runs(gconstpointer a, gconstpointer b, gpointer data)
{
	const run_t *x = a;
	const run_t *y = b;

	if (x->priority != y->priority)
		return x->priority > y->priority ? -1 : 1;
	return x->number < y->number ? -1 : 1;
}

static void start_queued(engine_t *engine)
{
	while (engine->running < (unsigned int)engine_options.slots &&
	       engine->queue.length > 0)
		begin_prefill(g_queue_pop_head(&engine->queue));
}

static void begin_prefill(run_t *run)
{
	engine_t *engine = run->engine;
	uint64_t cached = cache_cached_tokens(engine->cache, &run->block_chain);
	uint64_t uncached = run->block_chain.tokens - cached;

	if (is_deadly(run))
		_exit(EXIT_FAILURE);
	run->state = RUN_PREFILL;
	run->due_us = standin_monotonic_us();
	engine->running++;
	engine->stats.prefilled += uncached;
	engine->stats.cached += cached;
	schedule_step(run, run->due_us +
				   (int64_t)uncached *
					   engine_options.prefill_us_per_token);
}

static bool is_deadly(const run_t *run)
{
	const char *prompt =
		json_string_value(json_object_get(run->request, "prompt"));

	return engine_options.crash_on &&
	       strstr(prompt, engine_options.crash_on);
}

static void schedule_step(run_t *run, int64_t due_us)
{
	int64_t now = standin_monotonic_us();

	/* After a freeze the run does not catch up on missed tokens. */
	run->due_us = MAX(due_us, now);
	run->step_timer = standin_add_timer_us(run->engine->standin->ev, run,
					       run->due_us - now, on_step, run);
}

static void on_step(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *ctx)
{
	run_t *run = ctx;

	run->step_timer = NULL;
	if (engine_is_frozen(run->engine)) {
		schedule_step(run, run->engine->frozen_until_us);
		return;
	}
	if (run->state == RUN_PREFILL) {
		run->state = RUN_DECODING;
		cache_store(run->engine->cache, &run->block_chain);
	}
	decode(run);
}

/* Generates the next token and sends it; may free the run. */
static void decode(run_t *run)
{
	if (run->tokens->len < run->max_tokens) {
		append_token(run, next_token_text(run));
		run->engine->stats.decoded++;
	}
	if (run->tokens->len >= run->max_tokens)
		finish_run(run);
	else
		schedule_step(run, run->due_us + engine_options.token_ms *
							 INT64_C(1000));
	send_available_tokens(run);
}

static char *next_token_text(const run_t *run)
{
	const char *word =
		vocabulary[(run->token_hash >> 32) % G_N_ELEMENTS(vocabulary)];

	return g_strdup_printf("%s:%s:%08" PRIx32 " ", word, run->id,
			       (uint32_t)run->token_hash);
}

/* Sends the event "run" on a new stream, which replaces the current one. */
static void attach_stream(run_t *run, gc_http_req_t *req, uint64_t from,
			  bool with_request)
{
	json_t *data;
	char *text;

	detach_stream(run);
	TALLOC_FREE(run->retention_timer);
	run->attach_number++;
	run->req = req;
	run->next_offset = from;
	run->end_sent = false;
	data = json_pack("{ss sI sI sI sO*}", "run", run->id, "attach",
			 (json_int_t)run->attach_number, "offset",
			 (json_int_t)from, "cached", (json_int_t)run->cached,
			 "request", with_request ? run->request : NULL);
	text = json_dumps(data, JSON_COMPACT);
	gc_http_req_on_closed(req, on_stream_closed, run);
	gc_http_stream_on_drained(req, STREAM_LOW_WATER_BYTES, on_drained, run);
	gc_http_stream_begin(req, 200, "text/event-stream");
	write_event(run, "event: run\ndata: %s\n\n", text);
	free(text);
	json_decref(data);
	run->keepalive_timer =
		standin_add_timer_us(run->engine->standin->ev, run,
				     KEEPALIVE_INTERVAL_MS * 1000, on_keepalive,
				     run);
}

/* Ends the current stream, if any, without an end event. */
static void detach_stream(run_t *run)
{
	gc_http_req_t *req = run->req;

	if (!req)
		return;
	run->req = NULL;
	TALLOC_FREE(run->keepalive_timer);
	gc_http_req_on_closed(req, NULL, NULL);
	gc_http_stream_on_drained(req, 0, NULL, NULL);
	gc_http_stream_end(req);
}

static void abort_stream(run_t *run)
{
	gc_http_req_t *req = run->req;

	gc_http_stream_abort(req);
	detach_stream(run);
	start_retention(run);
}

/* Sends tokens until none is left or the buffer is full; may free the run. */
static void send_available_tokens(run_t *run)
{
	while (run->req && run->next_offset < run->tokens->len &&
	       !engine_is_frozen(run->engine) &&
	       gc_http_stream_buffered(run->req) < STREAM_HIGH_WATER_BYTES) {
		if (!send_token(run))
			return;
	}
	if (!run->req || run->state != RUN_ENDED || run->end_sent ||
	    run->next_offset < run->tokens->len ||
	    engine_is_frozen(run->engine))
		return;
	run->end_sent = true;
	write_event(run,
		    "event: end\ndata: {\"reason\":\"length\","
		    "\"tokens\":%u}\n\n",
		    run->tokens->len);
	gc_http_stream_end(run->req);
}

static void on_drained(void *ctx)
{
	send_available_tokens(ctx);
}

/* Sends the next token or causes a fault. Returns false if it freed the run. */
static bool send_token(run_t *run)
{
	uint64_t offset = run->next_offset;
	const char *text = g_ptr_array_index(run->tokens, offset);

	if (consume_fault(run, FAULT_FREEZE, offset)) {
		engine_freeze(run->engine, run->faults[FAULT_FREEZE].ms);
		return true;
	}
	if (consume_fault(run, FAULT_CUT, offset)) {
		abort_stream(run);
		if (!run->faults[FAULT_CUT].lose_run)
			return true;
		run_free(run);
		return false;
	}
	run->next_offset++;
	if (consume_fault(run, FAULT_GAP, offset))
		return true;
	if (consume_fault(run, FAULT_REPEAT, offset))
		write_token(run, offset, run->id, text);
	if (consume_fault(run, FAULT_FOREIGN, offset))
		write_token(run, offset, "other-000000-1",
			    "sofa:other-000000-1:00000000 ");
	else if (consume_fault(run, FAULT_GARBAGE, offset))
		write_event(run, "id: x%%\ndata: {\"t\":garbage\n\n");
	else
		write_token(run, offset, run->id, text);
	return true;
}

static bool consume_fault(run_t *run, run_fault_kind_t kind, uint64_t offset)
{
	run_fault_t *fault = &run->faults[kind];

	if (!fault->armed || offset < run->first_offset + fault->after)
		return false;
	/* This fault applies to all remaining tokens of the run. */
	if (kind != FAULT_GARBAGE)
		fault->armed = false;
	return true;
}

static void write_token(run_t *run, uint64_t offset, const char *id,
			const char *text)
{
	json_t *value = json_pack("{ss ss}", "t", text, "run", id);
	char *data = json_dumps(value, JSON_COMPACT);

	write_event(run, "id: %" PRIu64 "\ndata: %s\n\n", offset, data);
	free(data);
	json_decref(value);
}

static void write_event(run_t *run, const char *fmt, ...)
{
	g_autofree char *text = NULL;
	va_list args;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	gc_http_stream_write(run->req, gc_str(text));
}

static void on_keepalive(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx)
{
	run_t *run = ctx;

	run->keepalive_timer = NULL;
	if (run->state != RUN_QUEUED && run->state != RUN_PREFILL)
		return;
	if (!engine_is_frozen(run->engine))
		write_event(run, ": waiting\n\n");
	run->keepalive_timer = standin_add_timer_us(
		ev, run, KEEPALIVE_INTERVAL_MS * 1000, on_keepalive, run);
}

static void on_stream_closed(void *ctx, bool complete)
{
	run_t *run = ctx;

	run->req = NULL;
	TALLOC_FREE(run->keepalive_timer);
	start_retention(run);
}

/* Deletes the run after --retain-ms unless a stream is attached before. */
static void start_retention(run_t *run)
{
	run->retention_timer =
		standin_add_timer_us(run->engine->standin->ev, run,
				     engine_options.retain_ms * INT64_C(1000),
				     on_retention_end, run);
}

static void on_retention_end(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *ctx)
{
	run_t *run = ctx;

	run->retention_timer = NULL;
	if (run->state != RUN_ENDED)
		run->engine->stats.expired++;
	run_free(run);
}

void run_attach(engine_t *engine, gc_http_req_t *req, const char *path)
{
	g_autofree char *id = g_strndup(path, strlen(path) - strlen("/stream"));
	run_t *run = g_hash_table_lookup(engine->runs, id);
	uint64_t from = 0;

	if (!run) {
		standin_reply_error(req, 404, "run %s not found", id);
		return;
	}
	if (gc_http_req_query_arg(req, "from") &&
	    !standin_query_u64(req, "from", &from)) {
		standin_reply_error(req, 400, "from must be a number");
		return;
	}
	if (from > run->tokens->len) {
		standin_reply_error(req, 400,
				    "from %" PRIu64
				    " is greater than the number of "
				    "tokens, which is %u",
				    from, run->tokens->len);
		return;
	}
	attach_stream(run, req, from, true);
	send_available_tokens(run);
}

void run_cancel(engine_t *engine, gc_http_req_t *req, const char *id)
{
	run_t *run = g_hash_table_lookup(engine->runs, id);
	uint64_t attach_number;

	if (!run) {
		standin_reply_error(req, 404, "run %s not found", id);
		return;
	}
	if (!standin_query_u64(req, "attach", &attach_number)) {
		standin_reply_error(req, 400, "attach must be a number");
		return;
	}
	if (attach_number != run->attach_number) {
		standin_reply_error(req, 409,
				    "attach %" PRIu64 " is not the latest, "
				    "which is %" PRIu64,
				    attach_number, run->attach_number);
		return;
	}
	if (run->state != RUN_ENDED) {
		engine->stats.cancelled++;
		log_cancelled(run);
	}
	run_free(run);
	standin_reply_text(req, 200, "{\"cancelled\":true}\n");
}

static void log_cancelled(const run_t *run)
{
	g_autofree char *held_ms = g_strdup_printf("%" G_GINT64_FORMAT,
						   run->engine->held_us / 1000);

	gc_log(GC_LOG_INFO, GC_EVENT_RUN_CANCELLED, "run cancelled", "run",
	       run->id, "held_ms", held_ms, NULL);
}

void run_resume_streams(engine_t *engine)
{
	g_autoptr(GList) runs = g_hash_table_get_values(engine->runs);

	for (GList *l = runs; l; l = l->next)
		send_available_tokens(l->data);
}
