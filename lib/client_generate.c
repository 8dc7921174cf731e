/* The caller's side of a generation: stream, detect silence, resume. */
#include <string.h>

#include <jansson.h>

#include "lib/client_private.h"
#include "lib/sse.h"

/* A daemon sends a comment line after 750 ms at most: a dead connection. */
#define SILENCE_MS	1500
#define RETRY_MS	100
#define MAX_EVENT_BYTES (256 * 1024)

struct gc_client_generation {
	gc_client_t *caller;
	gc_client_generation_ops_t ops;
	void *ctx;
	char *model;
	gc_str_t prompt;
	uint64_t max_tokens;
	char **tokens;
	size_t n_tokens;
	char *last_id;
	char *url;
	char *failed_url;
	gc_http_call_t *call;
	gc_sse_t *sse;
	GString *error_body;
	int64_t retry_after_ms;
	struct tevent_timer *timer;
	struct timespec progress_at;
	bool finished; /* [DONE] was read */
	GError *failure; /* a final error of the stream */
};

static int generation_destructor(gc_client_generation_t *gen);
static void connect_next(gc_client_generation_t *gen);
static void on_address(void *ctx, const char *url);
static char *request_body(const gc_client_generation_t *gen);
static void on_data(void *ctx, int status, gc_str_t data);
static void on_event(void *ctx, const gc_sse_event_t *event);
static void take_chunk(gc_client_generation_t *gen,
		       const gc_sse_event_t *event);
static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err);
static void retry_later(gc_client_generation_t *gen, int64_t ms);
static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static void watch_silence(gc_client_generation_t *gen);
static void on_silence(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *ctx);
static bool out_of_patience(const gc_client_generation_t *gen);
static void finish(gc_client_generation_t *gen, const GError *err);

gc_client_generation_t *
gc_client_generate(gc_client_t *caller, const gc_client_generation_conf_t *conf,
		   const gc_client_generation_ops_t *ops, void *ctx)
{
	gc_client_generation_t *gen =
		talloc_zero(caller, gc_client_generation_t);

	gen->caller = caller;
	gen->ops = *ops;
	gen->ctx = ctx;
	gen->model = talloc_strdup(gen, conf->model);
	gen->prompt = gc_str_dup(gen, conf->prompt);
	gen->max_tokens = conf->max_tokens;
	gen->progress_at = gc_clock_now(caller->conf.clock);
	gen->error_body = g_string_new(NULL);
	talloc_set_destructor(gen, generation_destructor);
	connect_next(gen);
	return gen;
}

void gc_client_generation_cancel(gc_client_generation_t *gen)
{
	talloc_free(gen);
}

static int generation_destructor(gc_client_generation_t *gen)
{
	gc_client_forget(gen->caller, gen);
	if (gen->call)
		gc_http_call_cancel(gen->call);
	g_string_free(gen->error_body, TRUE);
	g_clear_error(&gen->failure);
	return 0;
}

static void connect_next(gc_client_generation_t *gen)
{
	gc_client_address(gen->caller, gen->failed_url, on_address, gen);
}

static void on_address(void *ctx, const char *address)
{
	static const gc_http_call_ops_t ops = {.data = on_data,
					       .done = on_done};
	gc_client_generation_t *gen = ctx;
	gc_http_call_conf_t conf = {.method = "POST", .send_once = true};
	const char *headers[4] = {"Content-Type: application/json",
				  gen->caller->authorization};
	g_autofree char *url = NULL;
	g_autofree char *resume = NULL;
	char *body;

	if (!address) {
		g_autoptr(GError) err = NULL;

		gc_error_set(&err, GC_ERR_UNAVAILABLE, "addresses", NULL,
			     "no daemon answered");
		finish(gen, err);
		return;
	}
	TALLOC_FREE(gen->url);
	gen->url = talloc_strdup(gen, address);
	url = g_strconcat(address, "/v1/completions", NULL);
	if (gen->last_id) {
		resume = g_strconcat("Last-Event-ID: ", gen->last_id, NULL);
		headers[2] = resume;
	}
	body = request_body(gen);
	conf.url = url;
	conf.headers = headers;
	conf.body = gc_str(body);
	g_string_truncate(gen->error_body, 0);
	TALLOC_FREE(gen->sse);
	gen->sse = gc_sse_create(gen, MAX_EVENT_BYTES, on_event, gen);
	gen->call = gc_httpc_start(gen->caller->http, &conf, &ops, gen);
	free(body);
	watch_silence(gen);
}

static char *request_body(const gc_client_generation_t *gen)
{
	json_t *doc = json_pack("{ss ss% sI sb}", "model", gen->model, "prompt",
				gen->prompt.data, gen->prompt.len, "max_tokens",
				(json_int_t)gen->max_tokens, "stream", 1);
	char *text;

	if (gen->last_id) {
		json_t *prefix = json_array();

		for (size_t i = 0; i < gen->n_tokens; i++)
			json_array_append_new(prefix,
					      json_string(gen->tokens[i]));
		json_object_set_new(doc, "goldcrest",
				    json_pack("{so}", "prefix", prefix));
	}
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

static void on_data(void *ctx, int status, gc_str_t data)
{
	gc_client_generation_t *gen = ctx;

	watch_silence(gen);
	if (status != 200) {
		g_string_append_len(gen->error_body, data.data, data.len);
		return;
	}
	if (gc_sse_feed(gen->sse, data) || gen->failure)
		return;
	gc_error_set(&gen->failure, GC_ERR_PROTOCOL, "stream", gen->url,
		     "event too long");
}

static void on_event(void *ctx, const gc_sse_event_t *event)
{
	gc_client_generation_t *gen = ctx;

	if (gen->finished)
		return;
	if (gc_str_eq(event->name, GC_STR_LIT("error"))) {
		gc_run_state_t run;

		if (!gen->failure)
			gen->failure =
				gc_client_refusal(200, event->data, gen->url,
						  &run, &gen->retry_after_ms);
		return;
	}
	if (gc_str_eq(event->data, GC_STR_LIT("[DONE]"))) {
		gen->finished = true;
		return;
	}
	take_chunk(gen, event);
}

static void take_chunk(gc_client_generation_t *gen, const gc_sse_event_t *event)
{
	json_t *doc = json_loadb(event->data.data, event->data.len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(doc, "choices"), 0);
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (text && *text) {
		if ((gen->n_tokens & (gen->n_tokens - 1)) == 0)
			gen->tokens = talloc_realloc(gen, gen->tokens, char *,
						     2 * gen->n_tokens + 1);
		gen->tokens[gen->n_tokens] = talloc_strdup(gen->tokens, text);
		gen->n_tokens++;
		gen->progress_at = gc_clock_now(gen->caller->conf.clock);
		gen->ops.token(gen->ctx, gc_str(text));
	}
	if (event->id.len > 0) {
		TALLOC_FREE(gen->last_id);
		gen->last_id =
			talloc_strndup(gen, event->id.data, event->id.len);
	}
	json_decref(doc);
}

static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err)
{
	gc_client_generation_t *gen = ctx;
	g_autoptr(GError) refusal = NULL;
	gc_run_state_t run;

	gen->call = NULL;
	TALLOC_FREE(gen->timer);
	if (gen->finished || gen->failure) {
		finish(gen, gen->failure);
		return;
	}
	if (err || status == 200) {
		gc_client_address_failed(gen->caller, gen->url);
		retry_later(gen, 0);
		return;
	}
	refusal = gc_client_refusal(
		status, (gc_str_t){gen->error_body->str, gen->error_body->len},
		gen->url, &run, &gen->retry_after_ms);
	if ((status != 503 && status != 429) || out_of_patience(gen)) {
		finish(gen, refusal);
		return;
	}
	retry_later(gen, MAX(gen->retry_after_ms, RETRY_MS));
}

static void retry_later(gc_client_generation_t *gen, int64_t ms)
{
	struct timeval at =
		tevent_timeval_current_ofs(ms / 1000, (ms % 1000) * 1000);

	TALLOC_FREE(gen->failed_url);
	gen->failed_url = talloc_steal(gen, gen->url);
	gen->url = NULL;
	if (out_of_patience(gen)) {
		g_autoptr(GError) err = NULL;

		gc_error_set(&err, GC_ERR_TIMEOUT, "generate", gen->failed_url,
			     "no progress in %lld ms",
			     (long long)gen->caller->conf.patience_ms);
		finish(gen, err);
		return;
	}
	TALLOC_FREE(gen->timer);
	gen->timer = tevent_add_timer(gen->caller->ev, gen, at, on_retry, gen);
}

static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	gc_client_generation_t *gen = ctx;

	gen->timer = NULL;
	if (gen->last_id && gen->ops.resumed)
		gen->ops.resumed(gen->ctx, gen->failed_url);
	connect_next(gen);
}

static void watch_silence(gc_client_generation_t *gen)
{
	struct timeval at = tevent_timeval_current_ofs(
		SILENCE_MS / 1000, (SILENCE_MS % 1000) * 1000);

	TALLOC_FREE(gen->timer);
	gen->timer =
		tevent_add_timer(gen->caller->ev, gen, at, on_silence, gen);
}

static void on_silence(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *ctx)
{
	gc_client_generation_t *gen = ctx;

	gen->timer = NULL;
	gc_http_call_cancel(gen->call);
	gen->call = NULL;
	gc_client_address_failed(gen->caller, gen->url);
	retry_later(gen, 0);
}

static bool out_of_patience(const gc_client_generation_t *gen)
{
	struct timespec now = gc_clock_now(gen->caller->conf.clock);

	return gc_ms_between(gen->progress_at, now) >
	       gen->caller->conf.patience_ms;
}

static void finish(gc_client_generation_t *gen, const GError *err)
{
	gen->ops.done(gen->ctx, err);
	talloc_free(gen);
}
