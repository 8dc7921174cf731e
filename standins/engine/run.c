/* Runs of the engine: queue, prefill, decoding, streams, retention. */
#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

#include "standin-engine.h"

/* A stream's reader that is this far behind gets no more until it reads. */
#define STREAM_HIGH_BYTES (256 * 1024)
#define STREAM_LOW_BYTES  (64 * 1024)
/* A write is the only way to notice that a waiting caller hung up. */
#define COMMENT_MS     1000
#define MAX_MAX_TOKENS 1000000

typedef enum run_state {
	RUN_QUEUED,
	RUN_PREFILL,
	RUN_DECODING,
	RUN_ENDED,
} run_state_t;

typedef struct run {
	engine_t *engine;
	char *id;
	uint64_t seq;
	json_t *request;
	int64_t priority;
	run_state_t state;
	uint64_t max_tokens; /* of the whole response */
	uint64_t first; /* offset of the run's first own token */
	GPtrArray *tokens; /* texts of the whole response so far */
	uint64_t chain; /* hash that the next token shows */
	cache_chain_t blocks;
	uint64_t cached;
	struct tevent_timer *work; /* end of prefill, next token */
	int64_t due_us;
	run_fault_t faults[N_RUN_FAULTS];
	uint64_t attach;
	gc_http_req_t *req; /* of the attached stream; NULL: none */
	uint64_t sent; /* next offset of the stream */
	bool end_sent;
	struct tevent_timer *comment;
	struct tevent_timer *retain;
} run_t;

static const char *const words[] = {
	"sofa",	   "mattress", "fridge",    "kerb",	"pickup",   "Tuesday",
	"crew",	   "truck",    "booking",   "washer",	"wardrobe", "table",
	"carpet",  "gross",    "net",	    "payslip",	"month",    "holiday",
	"pension", "tax",      "allowance", "cyflog",	"treth",    "pensiwn",
	"mis",	   "gwyliau",  "slip",	    "enw",	"oriau",    "bonws",
	"lwfans",  "taliad",   "net-dâl",   "blwyddyn", "cyfanswm",
};

static run_t *run_parse(engine_t *engine, gc_http_req_t *req, json_t *body);
static const char *check_body(const json_t *body);
static bool optional_string(const json_t *body, const char *name);
static void load_tokens(run_t *run);
static void add_token(run_t *run, char *text);
static void run_free(run_t *run);
static void leave_engine(run_t *run);
static gint by_priority(gconstpointer a, gconstpointer b, gpointer data);
static void begin_prefill(run_t *run);
static void start_queued(engine_t *engine);
static void set_work(run_t *run, int64_t due_us);
static void on_work(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *ctx);
static void decode(run_t *run);
static char *next_text(const run_t *run);
static void begin_stream(run_t *run, gc_http_req_t *req, uint64_t from,
			 bool with_request);
static void end_stream(run_t *run);
static void cut_stream(run_t *run);
static void retain(run_t *run);
static void pump(run_t *run);
static void on_drained(void *ctx);
static bool send_token(run_t *run);
static bool take_fault(run_t *run, run_fault_kind_t kind, uint64_t offset);
static void write_token(run_t *run, uint64_t offset, const char *id,
			const char *text);
static void write_event(run_t *run, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
static void on_comment(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *ctx);
static void on_stream_closed(void *ctx, bool complete);
static void on_retain(struct tevent_context *ev, struct tevent_timer *te,
		      struct timeval now, void *ctx);

void run_start(engine_t *engine, gc_http_req_t *req)
{
	json_t *body;
	run_t *run;

	if (engine->refuse_count > 0) {
		engine->refuse_count--;
		engine->stats.refused++;
		standin_reply_retry(req, 503, engine->refuse_retry_s,
				    "refused by a fault");
		return;
	}
	body = standin_body(req);
	if (!body)
		return;
	run = run_parse(engine, req, body);
	json_decref(body);
	if (!run)
		return;
	engine->stats.runs++;
	run->cached = cache_lookup(engine->cache, &run->blocks);
	begin_stream(run, req, run->first, false);
	g_queue_insert_sorted(&engine->queue, run, by_priority, NULL);
	start_queued(engine);
	engine_load_changed(engine);
}

static run_t *run_parse(engine_t *engine, gc_http_req_t *req, json_t *body)
{
	const char *problem = check_body(body);
	run_t *run;

	if (problem) {
		standin_reply_error(req, 400, "%s", problem);
		return NULL;
	}
	run = talloc_zero(engine, run_t);
	run->engine = engine;
	run->seq = ++engine->next_run;
	run->id =
		talloc_asprintf(run, "%s-%" PRIu64, engine->run_base, run->seq);
	run->request = json_incref(body);
	run->priority = json_integer_value(json_object_get(body, "priority"));
	run->max_tokens =
		json_integer_value(json_object_get(body, "max_tokens"));
	run->tokens = g_ptr_array_new_with_free_func(g_free);
	memcpy(run->faults, engine->next_faults, sizeof(run->faults));
	memset(engine->next_faults, 0, sizeof(engine->next_faults));
	cache_chain_init(&run->blocks);
	load_tokens(run);
	g_hash_table_insert(engine->runs, run->id, run);
	return run;
}

/* Says what is wrong with the body, or returns NULL. */
static const char *check_body(const json_t *body)
{
	const json_t *prefix = json_object_get(body, "prefix");
	const json_t *priority = json_object_get(body, "priority");
	json_int_t max_tokens =
		json_integer_value(json_object_get(body, "max_tokens"));
	const json_t *token;
	size_t i;

	if (!json_is_string(json_object_get(body, "prompt")))
		return "prompt must be a string";
	if (max_tokens < 1 || max_tokens > MAX_MAX_TOKENS)
		return "max_tokens must be a number from 1 to 1000000";
	if (!optional_string(body, "request"))
		return "request must be a string";
	if (!optional_string(body, "model"))
		return "model must be a string";
	if (priority && !json_is_integer(priority))
		return "priority must be a whole number";
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

static bool optional_string(const json_t *body, const char *name)
{
	const json_t *value = json_object_get(body, name);

	return !value || json_is_string(value);
}

/* Takes in the prompt's words and the prefix. */
static void load_tokens(run_t *run)
{
	const json_t *prompt = json_object_get(run->request, "prompt");
	const json_t *prefix = json_object_get(run->request, "prefix");
	const char *text = json_string_value(prompt);
	const json_t *token;
	size_t i;

	run->chain = XXH64(text, json_string_length(prompt), 0);
	while (*text) {
		size_t space = strspn(text, " \t\r\n\v\f");
		size_t word = strcspn(text + space, " \t\r\n\v\f");

		text += space;
		if (word > 0)
			cache_chain_add(&run->blocks, (gc_str_t){text, word});
		text += word;
	}
	json_array_foreach (prefix, i, token)
		add_token(run, g_strdup(json_string_value(token)));
	run->first = run->tokens->len;
}

static void add_token(run_t *run, char *text)
{
	gc_str_t token = gc_str(text);

	run->chain = XXH64(token.data, token.len, run->chain);
	g_ptr_array_add(run->tokens, text);
	if (cache_chain_add(&run->blocks, token) && run->state == RUN_DECODING)
		cache_store(run->engine->cache, &run->blocks);
}

static void run_free(run_t *run)
{
	end_stream(run);
	leave_engine(run);
	g_hash_table_remove(run->engine->runs, run->id);
	json_decref(run->request);
	g_ptr_array_free(run->tokens, TRUE);
	cache_chain_clear(&run->blocks);
	talloc_free(run);
}

/* Gives up the queue place or the slot. */
static void leave_engine(run_t *run)
{
	engine_t *engine = run->engine;

	if (run->state == RUN_ENDED)
		return;
	if (run->state == RUN_QUEUED)
		g_queue_remove(&engine->queue, run);
	else
		engine->running--;
	run->state = RUN_ENDED;
	TALLOC_FREE(run->work);
	start_queued(engine);
	engine_load_changed(engine);
}

static gint by_priority(gconstpointer a, gconstpointer b, gpointer data)
{
	const run_t *x = a;
	const run_t *y = b;

	if (x->priority != y->priority)
		return x->priority > y->priority ? -1 : 1;
	return x->seq < y->seq ? -1 : 1;
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
	uint64_t cached = cache_lookup(engine->cache, &run->blocks);
	uint64_t todo = run->blocks.tokens - cached;

	run->state = RUN_PREFILL;
	run->due_us = standin_now_us();
	engine->running++;
	engine->stats.prefilled += todo;
	engine->stats.cached += cached;
	set_work(run,
		 run->due_us +
			 (int64_t)todo * engine_options.prefill_us_per_token);
}

static void set_work(run_t *run, int64_t due_us)
{
	int64_t now = standin_now_us();

	/* After a pause the run goes on at its pace, without catching up. */
	run->due_us = MAX(due_us, now);
	run->work = standin_after_us(run->engine->standin->ev, run,
				     run->due_us - now, on_work, run);
}

static void on_work(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *ctx)
{
	run_t *run = ctx;

	run->work = NULL;
	if (engine_frozen(run->engine)) {
		set_work(run, run->engine->frozen_until_us);
		return;
	}
	if (run->state == RUN_PREFILL) {
		run->state = RUN_DECODING;
		cache_store(run->engine->cache, &run->blocks);
	}
	decode(run);
}

/* Adds the next token and sends it; may free the run. */
static void decode(run_t *run)
{
	if (run->tokens->len < run->max_tokens) {
		add_token(run, next_text(run));
		run->engine->stats.decoded++;
	}
	if (run->tokens->len >= run->max_tokens)
		leave_engine(run);
	else
		set_work(run,
			 run->due_us + engine_options.token_ms * INT64_C(1000));
	pump(run);
}

static char *next_text(const run_t *run)
{
	const char *word = words[(run->chain >> 32) % G_N_ELEMENTS(words)];

	return g_strdup_printf("%s:%s:%08" PRIx32 " ", word, run->id,
			       (uint32_t)run->chain);
}

static void begin_stream(run_t *run, gc_http_req_t *req, uint64_t from,
			 bool with_request)
{
	json_t *data;
	char *text;

	end_stream(run);
	TALLOC_FREE(run->retain);
	run->attach++;
	run->req = req;
	run->sent = from;
	run->end_sent = false;
	data = json_pack("{ss sI sI sI sO*}", "run", run->id, "attach",
			 (json_int_t)run->attach, "offset", (json_int_t)from,
			 "cached", (json_int_t)run->cached, "request",
			 with_request ? run->request : NULL);
	text = json_dumps(data, JSON_COMPACT);
	gc_http_req_on_closed(req, on_stream_closed, run);
	gc_http_stream_on_drained(req, STREAM_LOW_BYTES, on_drained, run);
	gc_http_stream_begin(req, 200, "text/event-stream");
	write_event(run, "event: run\ndata: %s\n\n", text);
	free(text);
	json_decref(data);
	run->comment = standin_after_us(run->engine->standin->ev, run,
					COMMENT_MS * 1000, on_comment, run);
}

/* Lets go of the stream without an end event, if there is one. */
static void end_stream(run_t *run)
{
	gc_http_req_t *req = run->req;

	if (!req)
		return;
	run->req = NULL;
	TALLOC_FREE(run->comment);
	gc_http_req_on_closed(req, NULL, NULL);
	gc_http_stream_on_drained(req, 0, NULL, NULL);
	gc_http_stream_end(req);
}

static void cut_stream(run_t *run)
{
	gc_http_req_t *req = run->req;

	gc_http_stream_abort(req);
	end_stream(run);
	retain(run);
}

/* Sends what the stream has not got yet; may free the run. */
static void pump(run_t *run)
{
	while (run->req && run->sent < run->tokens->len &&
	       !engine_frozen(run->engine) &&
	       gc_http_stream_buffered(run->req) < STREAM_HIGH_BYTES) {
		if (!send_token(run))
			return;
	}
	if (!run->req || run->state != RUN_ENDED || run->end_sent ||
	    run->sent < run->tokens->len || engine_frozen(run->engine))
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
	pump(ctx);
}

/* False if the run is gone. */
static bool send_token(run_t *run)
{
	uint64_t offset = run->sent;
	const char *text = g_ptr_array_index(run->tokens, offset);

	if (take_fault(run, FAULT_FREEZE, offset)) {
		engine_freeze(run->engine, run->faults[FAULT_FREEZE].ms);
		return true;
	}
	if (take_fault(run, FAULT_CUT, offset)) {
		cut_stream(run);
		if (!run->faults[FAULT_CUT].lose_run)
			return true;
		run_free(run);
		return false;
	}
	run->sent++;
	if (take_fault(run, FAULT_GAP, offset))
		return true;
	if (take_fault(run, FAULT_REPEAT, offset))
		write_token(run, offset, run->id, text);
	if (take_fault(run, FAULT_FOREIGN, offset))
		write_token(run, offset, "other-000000-1",
			    "sofa:other-000000-1:00000000 ");
	else if (take_fault(run, FAULT_GARBAGE, offset))
		write_event(run, "id: x%%\ndata: {\"t\":garbage\n\n");
	else
		write_token(run, offset, run->id, text);
	return true;
}

static bool take_fault(run_t *run, run_fault_kind_t kind, uint64_t offset)
{
	run_fault_t *fault = &run->faults[kind];

	if (!fault->set || offset < run->first + fault->after)
		return false;
	/* An engine that sends garbage does not recover in this run. */
	if (kind != FAULT_GARBAGE)
		fault->set = false;
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

static void on_comment(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *ctx)
{
	run_t *run = ctx;

	run->comment = NULL;
	if (run->state != RUN_QUEUED && run->state != RUN_PREFILL)
		return;
	if (!engine_frozen(run->engine))
		write_event(run, ": waiting\n\n");
	run->comment =
		standin_after_us(ev, run, COMMENT_MS * 1000, on_comment, run);
}

static void on_stream_closed(void *ctx, bool complete)
{
	run_t *run = ctx;

	run->req = NULL;
	TALLOC_FREE(run->comment);
	retain(run);
}

/* Keeps a run that has no stream any more for the time of the options. */
static void retain(run_t *run)
{
	run->retain = standin_after_us(run->engine->standin->ev, run,
				       engine_options.retain_ms * INT64_C(1000),
				       on_retain, run);
}

static void on_retain(struct tevent_context *ev, struct tevent_timer *te,
		      struct timeval now, void *ctx)
{
	run_t *run = ctx;

	run->retain = NULL;
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
		standin_reply_error(req, 404, "no run %s", id);
		return;
	}
	if (gc_http_req_query_arg(req, "from") &&
	    !standin_query_u64(req, "from", &from)) {
		standin_reply_error(req, 400, "from is no number");
		return;
	}
	if (from > run->tokens->len) {
		standin_reply_error(req, 400,
				    "from %" PRIu64 " is beyond the run's %u "
				    "tokens",
				    from, run->tokens->len);
		return;
	}
	begin_stream(run, req, from, true);
	pump(run);
}

void run_cancel(engine_t *engine, gc_http_req_t *req, const char *id)
{
	run_t *run = g_hash_table_lookup(engine->runs, id);
	uint64_t attach;

	if (!run) {
		standin_reply_error(req, 404, "no run %s", id);
		return;
	}
	if (!standin_query_u64(req, "attach", &attach)) {
		standin_reply_error(req, 400, "attach must be a number");
		return;
	}
	if (attach != run->attach) {
		standin_reply_error(req, 409,
				    "attach %" PRIu64 " is not the latest, "
				    "which is %" PRIu64,
				    attach, run->attach);
		return;
	}
	if (run->state != RUN_ENDED)
		engine->stats.cancelled++;
	run_free(run);
	standin_reply_text(req, 200, "{\"cancelled\":true}\n");
}

void run_thaw(engine_t *engine)
{
	g_autoptr(GList) runs = g_hash_table_get_values(engine->runs);

	for (GList *l = runs; l; l = l->next)
		pump(l->data);
}
