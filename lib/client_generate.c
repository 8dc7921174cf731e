/* Client: generations, with idle timeout and resume. */
#include <string.h>

#include <jansson.h>

#include "lib/client_private.h"
#include "lib/sse.h"

/*
 * Daemons send a keep-alive comment after at most 750 ms without a token, so a
 * longer silence means that the connection is lost.
 */
#define READ_IDLE_TIMEOUT_MS 1500
#define MIN_RETRY_DELAY_MS   100
#define MAX_EVENT_BYTES	     (256 * 1024)

struct gc_client_generation {
	gc_client_t *client;
	gc_client_generation_ops_t ops;
	void *ctx;
	char *model;
	gc_str_t prompt;
	uint64_t max_tokens;
	char **tokens;
	size_t n_tokens;
	char *last_event_id;
	char *url; /* daemon of the current attempt */
	char *avoid_url; /* daemon of the last failed attempt */
	gc_http_call_t *call;
	gc_sse_t *sse;
	GString *error_body;
	int64_t retry_after_ms;
	struct tevent_timer *timer;
	struct timespec last_progress; /* start or last token */
	bool received_done; /* the final event [DONE] */
	GError *stream_err; /* error event or protocol error */
};

static int generation_destructor(gc_client_generation_t *gen);
static void send_request(gc_client_generation_t *gen);
static void on_address(void *ctx, const char *address);
static char *build_request_body(const gc_client_generation_t *gen);
static void on_data(void *ctx, int status, gc_str_t data);
static void on_event(void *ctx, const gc_sse_event_t *event);
static void handle_chunk(gc_client_generation_t *gen,
			 const gc_sse_event_t *event);
static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err);
static void schedule_retry(gc_client_generation_t *gen, int64_t delay_ms);
static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static void restart_idle_timer(gc_client_generation_t *gen);
static void on_idle_timeout(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval now, void *ctx);
static bool progress_timed_out(const gc_client_generation_t *gen);
static void finish_generation(gc_client_generation_t *gen, const GError *err);

gc_client_generation_t *
gc_client_generate(gc_client_t *client, const gc_client_generation_conf_t *conf,
		   const gc_client_generation_ops_t *ops, void *ctx)
{
	gc_client_generation_t *gen =
		talloc_zero(client, gc_client_generation_t);

	gen->client = client;
	gen->ops = *ops;
	gen->ctx = ctx;
	gen->model = talloc_strdup(gen, conf->model);
	gen->prompt = gc_str_dup(gen, conf->prompt);
	gen->max_tokens = conf->max_tokens;
	gen->last_progress = gc_clock_now(client->conf.clock);
	gen->error_body = g_string_new(NULL);
	talloc_set_destructor(gen, generation_destructor);
	send_request(gen);
	return gen;
}

void gc_client_generation_cancel(gc_client_generation_t *gen)
{
	talloc_free(gen);
}

static int generation_destructor(gc_client_generation_t *gen)
{
	gc_client_cancel_get_address(gen->client, gen);
	if (gen->call)
		gc_http_call_cancel(gen->call);
	g_string_free(gen->error_body, TRUE);
	g_clear_error(&gen->stream_err);
	return 0;
}

static void send_request(gc_client_generation_t *gen)
{
	gc_client_get_address(gen->client, gen->avoid_url, on_address, gen);
}

static void on_address(void *ctx, const char *address)
{
	static const gc_http_call_ops_t ops = {.data = on_data,
					       .done = on_done};
	gc_client_generation_t *gen = ctx;
	gc_http_call_conf_t conf = {.method = "POST", .send_once = true};
	const char *headers[4] = {"Content-Type: application/json",
				  gen->client->authorization};
	g_autofree char *url = NULL;
	g_autofree char *resume = NULL;
	char *body;

	if (!address) {
		g_autoptr(GError) err = NULL;

		gc_error_set(&err, GC_ERR_UNAVAILABLE, "addresses", NULL,
			     "no daemon answered");
		finish_generation(gen, err);
		return;
	}
	TALLOC_FREE(gen->url);
	gen->url = talloc_strdup(gen, address);
	url = g_strconcat(address, "/v1/completions", NULL);
	if (gen->last_event_id) {
		resume = g_strconcat("Last-Event-ID: ", gen->last_event_id,
				     NULL);
		headers[2] = resume;
	}
	body = build_request_body(gen);
	conf.url = url;
	conf.headers = headers;
	conf.body = gc_str(body);
	g_string_truncate(gen->error_body, 0);
	TALLOC_FREE(gen->sse);
	gen->sse = gc_sse_create(gen, MAX_EVENT_BYTES, on_event, gen);
	gen->call = gc_httpc_start(gen->client->http, &conf, &ops, gen);
	free(body);
	restart_idle_timer(gen);
}

static char *build_request_body(const gc_client_generation_t *gen)
{
	json_t *doc = json_pack("{ss ss% sI sb}", "model", gen->model, "prompt",
				gen->prompt.data, gen->prompt.len, "max_tokens",
				(json_int_t)gen->max_tokens, "stream", 1);
	char *text;

	if (gen->last_event_id) {
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

	restart_idle_timer(gen);
	if (status != 200) {
		g_string_append_len(gen->error_body, data.data, data.len);
		return;
	}
	if (gen->stream_err || gc_sse_feed(gen->sse, data) || gen->stream_err)
		return;
	gc_error_set(&gen->stream_err, GC_ERR_PROTOCOL, "stream", gen->url,
		     "event exceeds the size limit");
}

static void on_event(void *ctx, const gc_sse_event_t *event)
{
	gc_client_generation_t *gen = ctx;

	if (gen->received_done)
		return;
	if (gc_str_eq(event->name, GC_STR_LIT("error"))) {
		gc_run_state_t run;

		if (!gen->stream_err)
			gen->stream_err =
				gc_client_parse_error(200, event->data,
						      gen->url, &run,
						      &gen->retry_after_ms);
		return;
	}
	if (gc_str_eq(event->data, GC_STR_LIT("[DONE]"))) {
		gen->received_done = true;
		return;
	}
	handle_chunk(gen, event);
}

static void handle_chunk(gc_client_generation_t *gen,
			 const gc_sse_event_t *event)
{
	json_t *doc = json_loadb(event->data.data, event->data.len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(doc, "choices"), 0);
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (text && *text) {
		/* The capacity doubles when n_tokens is a power of two. */
		if ((gen->n_tokens & (gen->n_tokens - 1)) == 0)
			gen->tokens = talloc_realloc(gen, gen->tokens, char *,
						     2 * gen->n_tokens + 1);
		gen->tokens[gen->n_tokens] = talloc_strdup(gen->tokens, text);
		gen->n_tokens++;
		gen->last_progress = gc_clock_now(gen->client->conf.clock);
		gen->ops.token(gen->ctx, gc_str(text));
	}
	if (event->id.len > 0) {
		TALLOC_FREE(gen->last_event_id);
		gen->last_event_id =
			talloc_strndup(gen, event->id.data, event->id.len);
	}
	json_decref(doc);
}

static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err)
{
	gc_client_generation_t *gen = ctx;
	g_autoptr(GError) response_err = NULL;
	gc_run_state_t run;

	gen->call = NULL;
	TALLOC_FREE(gen->timer);
	if (gen->received_done || gen->stream_err) {
		finish_generation(gen, gen->stream_err);
		return;
	}
	if (err || status == 200) {
		gc_client_drop_address(gen->client, gen->url);
		schedule_retry(gen, 0);
		return;
	}
	response_err = gc_client_parse_error(
		status, (gc_str_t){gen->error_body->str, gen->error_body->len},
		gen->url, &run, &gen->retry_after_ms);
	if ((status != 503 && status != 429) || progress_timed_out(gen)) {
		finish_generation(gen, response_err);
		return;
	}
	schedule_retry(gen, MAX(gen->retry_after_ms, MIN_RETRY_DELAY_MS));
}

static void schedule_retry(gc_client_generation_t *gen, int64_t delay_ms)
{
	struct timeval at = tevent_timeval_current_ofs(
		delay_ms / 1000, (delay_ms % 1000) * 1000);

	TALLOC_FREE(gen->avoid_url);
	gen->avoid_url = talloc_steal(gen, gen->url);
	gen->url = NULL;
	if (progress_timed_out(gen)) {
		g_autoptr(GError) err = NULL;

		gc_error_set(&err, GC_ERR_TIMEOUT, "generate", gen->avoid_url,
			     "no progress in %lld ms",
			     (long long)gen->client->conf.progress_timeout_ms);
		finish_generation(gen, err);
		return;
	}
	TALLOC_FREE(gen->timer);
	gen->timer = tevent_add_timer(gen->client->ev, gen, at, on_retry, gen);
}

static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	gc_client_generation_t *gen = ctx;

	gen->timer = NULL;
	if (gen->last_event_id && gen->ops.resumed)
		gen->ops.resumed(gen->ctx, gen->avoid_url);
	send_request(gen);
}

static void restart_idle_timer(gc_client_generation_t *gen)
{
	struct timeval at = tevent_timeval_current_ofs(
		READ_IDLE_TIMEOUT_MS / 1000,
		(READ_IDLE_TIMEOUT_MS % 1000) * 1000);

	TALLOC_FREE(gen->timer);
	gen->timer = tevent_add_timer(gen->client->ev, gen, at, on_idle_timeout,
				      gen);
}

static void on_idle_timeout(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval now, void *ctx)
{
	gc_client_generation_t *gen = ctx;

	gen->timer = NULL;
	gc_http_call_cancel(gen->call);
	gen->call = NULL;
	gc_client_drop_address(gen->client, gen->url);
	schedule_retry(gen, 0);
}

static bool progress_timed_out(const gc_client_generation_t *gen)
{
	struct timespec now = gc_clock_now(gen->client->conf.clock);

	return gc_ms_between(gen->last_progress, now) >
	       gen->client->conf.progress_timeout_ms;
}

static void finish_generation(gc_client_generation_t *gen, const GError *err)
{
	gen->ops.done(gen->ctx, err);
	talloc_free(gen);
}
