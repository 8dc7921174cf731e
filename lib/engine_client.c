/* Client of the engine protocol: one attempt on one engine. */
#include <string.h>

#include "core/error.h"
#include "core/types.h"
#include "lib/engine_client.h"
#include "lib/sse.h"

/*
 * A cancelled start whose run id hasn't come yet waits this long for it, so
 * that a frozen engine that goes on still gets the order to cancel.
 */
#define ABANDONED_S 60
/* A cancel order may wait this long at a frozen engine. */
#define DELETE_TIMEOUT_MS 60000L
/* Error bodies beyond this are cut. */
#define MAX_REFUSAL_BYTES 1024

struct gc_engine_client {
	gc_engine_client_conf_t conf;
	gc_engine_client_ops_t ops;
	void *ctx;
	gc_http_call_t *call;
	gc_sse_t *sse;
	char *peer;
	char *url;
	char run[GC_RUN_ID_MAX];
	bool is_attach;
	bool has_run;
	bool ended; /* nothing more is reported */
	bool abandoned; /* lives only to cancel its run */
	uint64_t from;
	int64_t attach;
	GError *broken;
	GString *refusal;
	bool *destroyed; /* set while a callback runs */
};

static gc_engine_client_t *
engine_create(TALLOC_CTX *mem, const gc_engine_client_conf_t *conf,
	      uint64_t from, const gc_engine_client_ops_t *ops, void *ctx);
static int engine_destructor(gc_engine_client_t *engine);
static void on_abandoned_timeout(struct tevent_context *ev,
				 struct tevent_timer *te, struct timeval now,
				 void *ctx);
static void on_data(void *ctx, int status, gc_str_t data);
static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err);
static void on_event(void *ctx, const gc_sse_event_t *event);
static void take_event(gc_engine_client_t *engine, const gc_sse_event_t *event,
		       json_t *data);
static void take_run(gc_engine_client_t *engine, json_t *data);
static void take_token(gc_engine_client_t *engine, gc_str_t id, json_t *data);
static void take_end(gc_engine_client_t *engine, json_t *data);
static void protocol_error(gc_engine_client_t *engine, const char *what);
static void report_broken(gc_engine_client_t *engine, const GError *err);
static GError *refusal_error(gc_engine_client_t *engine, int status);
static void send_delete(gc_engine_client_t *engine);

static const gc_http_call_ops_t call_ops = {.data = on_data, .done = on_done};

gc_engine_client_t *gc_engine_client_start(TALLOC_CTX *mem,
					   const gc_engine_client_conf_t *conf,
					   json_t *body, uint64_t from,
					   const gc_engine_client_ops_t *ops,
					   void *ctx)
{
	static const char *const headers[] = {"Content-Type: application/json",
					      NULL};
	gc_engine_client_t *engine = engine_create(mem, conf, from, ops, ctx);
	char *text = json_dumps(body, JSON_COMPACT);
	gc_http_call_conf_t call = {
		.method = "POST",
		.url = talloc_asprintf(engine, "%s/v1/runs", engine->url),
		.peer = engine->peer,
		.headers = headers,
		.body = gc_str(text),
		.send_once = true,
	};

	engine->call = gc_httpc_start(conf->http, &call, &call_ops, engine);
	free(text);
	return engine;
}

gc_engine_client_t *gc_engine_client_attach(TALLOC_CTX *mem,
					    const gc_engine_client_conf_t *conf,
					    const char *run, uint64_t from,
					    const gc_engine_client_ops_t *ops,
					    void *ctx)
{
	gc_engine_client_t *engine = engine_create(mem, conf, from, ops, ctx);
	g_autofree char *escaped = g_uri_escape_string(run, NULL, FALSE);
	gc_http_call_conf_t call = {
		.method = "GET",
		.peer = engine->peer,
	};

	call.url =
		talloc_asprintf(engine,
				"%s/v1/runs/%s/stream?from=%" G_GUINT64_FORMAT,
				engine->url, escaped, from);
	engine->is_attach = true;
	g_strlcpy(engine->run, run, sizeof(engine->run));
	engine->call = gc_httpc_start(conf->http, &call, &call_ops, engine);
	return engine;
}

static gc_engine_client_t *
engine_create(TALLOC_CTX *mem, const gc_engine_client_conf_t *conf,
	      uint64_t from, const gc_engine_client_ops_t *ops, void *ctx)
{
	gc_engine_client_t *engine = talloc_zero(mem, gc_engine_client_t);

	engine->conf = *conf;
	engine->ops = *ops;
	engine->ctx = ctx;
	engine->from = from;
	engine->peer = talloc_strndup(engine, conf->name.data, conf->name.len);
	engine->url = talloc_strndup(engine, conf->url.data, conf->url.len);
	engine->sse =
		gc_sse_create(engine, conf->max_event_bytes, on_event, engine);
	engine->refusal = g_string_new(NULL);
	talloc_set_destructor(engine, engine_destructor);
	return engine;
}

static int engine_destructor(gc_engine_client_t *engine)
{
	if (engine->destroyed)
		*engine->destroyed = true;
	/* An abandoned attempt belongs to its call. */
	if (engine->call && !engine->abandoned)
		gc_http_call_cancel(engine->call);
	g_clear_error(&engine->broken);
	g_string_free(engine->refusal, TRUE);
	return 0;
}

void gc_engine_client_pause(gc_engine_client_t *engine, bool pause)
{
	if (engine->call)
		gc_http_call_pause(engine->call, pause);
}

void gc_engine_client_cancel(gc_engine_client_t *engine, bool end_run)
{
	bool unknown = end_run && !engine->has_run;

	if (!unknown || !engine->call || engine->ended) {
		if (end_run && engine->has_run)
			send_delete(engine);
		talloc_free(engine);
		return;
	}
	engine->abandoned = true;
	gc_http_call_pause(engine->call, false);
	talloc_steal(engine->call, engine);
	tevent_add_timer(engine->conf.ev, engine,
			 tevent_timeval_current_ofs(ABANDONED_S, 0),
			 on_abandoned_timeout, engine);
}

static void on_abandoned_timeout(struct tevent_context *ev,
				 struct tevent_timer *te, struct timeval now,
				 void *ctx)
{
	gc_engine_client_t *engine = ctx;

	gc_http_call_cancel(engine->call);
}

/* The answer doesn't matter: 404 and 409 mean that there is nothing to do. */
static void send_delete(gc_engine_client_t *engine)
{
	static const gc_http_call_ops_t no_ops = {0};
	g_autofree char *run = g_uri_escape_string(engine->run, NULL, FALSE);
	gc_http_call_conf_t call = {
		.method = "DELETE",
		.peer = engine->peer,
		.timeout_ms = DELETE_TIMEOUT_MS,
	};

	call.url = talloc_asprintf(engine,
				   "%s/v1/runs/%s?attach=%" G_GINT64_FORMAT,
				   engine->url, run, engine->attach);
	gc_httpc_start(engine->conf.http, &call, &no_ops, NULL);
}

static void on_data(void *ctx, int status, gc_str_t data)
{
	gc_engine_client_t *engine = ctx;
	bool destroyed = false;
	bool fits;

	if (status != 200) {
		if (engine->refusal->len < MAX_REFUSAL_BYTES)
			g_string_append_len(engine->refusal, data.data,
					    data.len);
		return;
	}
	if (engine->ended)
		return;
	engine->destroyed = &destroyed;
	fits = gc_sse_feed(engine->sse, data);
	if (destroyed)
		return;
	engine->destroyed = NULL;
	if (engine->abandoned)
		return;
	if (!fits)
		protocol_error(engine, "event too long");
	if (engine->broken)
		report_broken(engine, engine->broken);
}

static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err)
{
	gc_engine_client_t *engine = ctx;
	GError *own = NULL;

	if (engine->abandoned)
		return;
	engine->call = NULL;
	if (engine->ended)
		return;
	if (!err && status != 200)
		own = refusal_error(engine, status);
	else if (!err)
		gc_error_set(&own, GC_ERR_IO, "stream", engine->peer,
			     "the engine closed the stream before its end");
	else if (!sent && !engine->is_attach)
		gc_error_set(&own, GC_ERR_UNAVAILABLE, "connect", engine->peer,
			     "%s", err->message);
	report_broken(engine, own ? own : err);
	g_clear_error(&own);
}

static GError *refusal_error(gc_engine_client_t *engine, int status)
{
	gc_errcode_t code = GC_ERR_PROTOCOL;
	GError *err = NULL;

	if (status == 404)
		code = GC_ERR_NOT_FOUND;
	else if (status == 429 || status == 503)
		code = GC_ERR_OVERLOADED;
	else if (status >= 500)
		code = GC_ERR_IO;
	gc_error_set(&err, code, engine->is_attach ? "attach" : "start",
		     engine->peer, "status %d: %s", status,
		     engine->refusal->str);
	return err;
}

/* Reports once; the object may be gone after it. */
static void report_broken(gc_engine_client_t *engine, const GError *err)
{
	GError *copy = g_error_copy(err);

	engine->ended = true;
	if (engine->call)
		gc_http_call_cancel(engine->call);
	engine->call = NULL;
	engine->ops.broken(engine->ctx, copy);
	g_error_free(copy);
}

static void protocol_error(gc_engine_client_t *engine, const char *what)
{
	if (engine->broken)
		return;
	gc_error_set(&engine->broken, GC_ERR_PROTOCOL,
		     engine->is_attach ? "attach" : "start", engine->peer, "%s",
		     what);
}

static void on_event(void *ctx, const gc_sse_event_t *event)
{
	gc_engine_client_t *engine = ctx;
	json_t *data;

	if (engine->ended || engine->broken)
		return;
	data = json_loadb(event->data.data, event->data.len,
			  JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(data))
		protocol_error(engine, "an event's data is no JSON object");
	else
		take_event(engine, event, data);
	json_decref(data);
}

/* The object may be gone after it. */
static void take_event(gc_engine_client_t *engine, const gc_sse_event_t *event,
		       json_t *data)
{
	if (gc_str_eq(event->name, GC_STR_LIT("run"))) {
		take_run(engine, data);
		return;
	}
	if (!engine->has_run)
		protocol_error(engine, "event before the run event");
	else if (gc_str_eq(event->name, GC_STR_LIT("message")))
		take_token(engine, event->id, data);
	else if (gc_str_eq(event->name, GC_STR_LIT("end")))
		take_end(engine, data);
	else
		protocol_error(engine, "event of an unknown kind");
}

static void take_run(gc_engine_client_t *engine, json_t *data)
{
	const char *run = json_string_value(json_object_get(data, "run"));
	json_t *attach = json_object_get(data, "attach");
	json_t *offset = json_object_get(data, "offset");
	json_t *request = json_object_get(data, "request");

	if (engine->has_run)
		protocol_error(engine, "a second run event");
	else if (!run || *run == '\0' || strlen(run) >= GC_RUN_ID_MAX)
		protocol_error(engine, "run event without a valid run id");
	else if (engine->is_attach && strcmp(run, engine->run) != 0)
		protocol_error(engine, "run event of another run");
	else if (!json_is_integer(attach) || json_integer_value(attach) < 0)
		protocol_error(engine, "run event without an attach number");
	else if (!json_is_integer(offset) ||
		 json_integer_value(offset) != (json_int_t)engine->from)
		protocol_error(engine, "run event with a wrong offset");
	if (engine->broken)
		return;
	engine->has_run = true;
	engine->attach = json_integer_value(attach);
	g_strlcpy(engine->run, run, sizeof(engine->run));
	if (engine->abandoned) {
		send_delete(engine);
		engine->ended = true;
		gc_http_call_cancel(engine->call);
		return;
	}
	engine->ops.run(engine->ctx, engine->run, engine->from,
			json_is_object(request) ? request : NULL);
}

static void take_token(gc_engine_client_t *engine, gc_str_t id, json_t *data)
{
	json_t *text = json_object_get(data, "t");
	json_t *run = json_object_get(data, "run");
	g_autofree char *digits = g_strndup(id.data, id.len);
	guint64 offset;

	if (!g_ascii_string_to_unsigned(digits, 10, 0, G_MAXINT64, &offset,
					NULL)) {
		protocol_error(engine, "token without a valid offset");
		return;
	}
	if (!json_is_string(text)) {
		protocol_error(engine, "token without text");
		return;
	}
	if (run && g_strcmp0(json_string_value(run), engine->run) != 0) {
		protocol_error(engine, "token of another run");
		return;
	}
	engine->ops.token(engine->ctx, offset,
			  (gc_str_t){json_string_value(text),
				     json_string_length(text)});
}

static void take_end(gc_engine_client_t *engine, json_t *data)
{
	const char *reason = json_string_value(json_object_get(data, "reason"));
	json_t *tokens = json_object_get(data, "tokens");

	if (!reason ||
	    (strcmp(reason, "length") != 0 && strcmp(reason, "stop") != 0)) {
		protocol_error(engine, "end event without a valid reason");
		return;
	}
	if (!json_is_integer(tokens) || json_integer_value(tokens) < 0) {
		protocol_error(engine, "end event without a token count");
		return;
	}
	engine->ended = true;
	engine->ops.end(engine->ctx, reason, json_integer_value(tokens));
}
