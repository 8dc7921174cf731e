/* Client of the engine protocol: one attempt on one engine. */
#include <string.h>

#include "core/error.h"
#include "core/types.h"
#include "lib/engine_client.h"
#include "lib/sse.h"

/*
 * A start that is cancelled before its run id arrived waits this long for the
 * id, so that a frozen engine that recovers still gets the cancel request.
 */
#define RUN_ID_TIMEOUT_S 60
/* Longest time that a cancel request waits for a frozen engine. */
#define CANCEL_TIMEOUT_MS 60000L
/* Data of an error body that arrives after this many bytes is discarded. */
#define ERROR_BODY_CUTOFF_BYTES 1024

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
	bool has_run_id;
	bool ended; /* no more callbacks */
	bool cancelling; /* the client exists only until the run id arrives */
	uint64_t from;
	/* Number of this connection to the run; sent in a cancel request. */
	int64_t attach_number;
	GError *protocol_err;
	GString *error_body;
	bool *destroyed; /* not NULL while data is parsed; set when freed */
};

static gc_engine_client_t *
client_create(TALLOC_CTX *mem, const gc_engine_client_conf_t *conf,
	      uint64_t from, const gc_engine_client_ops_t *ops, void *ctx);
static int client_destructor(gc_engine_client_t *client);
static void on_run_id_timeout(struct tevent_context *ev,
			      struct tevent_timer *te, struct timeval now,
			      void *ctx);
static void on_data(void *ctx, int status, gc_str_t data);
static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err);
static void on_event(void *ctx, const gc_sse_event_t *event);
static void handle_event(gc_engine_client_t *client,
			 const gc_sse_event_t *event, json_t *data);
static void handle_run_event(gc_engine_client_t *client, json_t *data);
static void handle_token_event(gc_engine_client_t *client, gc_str_t id,
			       json_t *data);
static void handle_end_event(gc_engine_client_t *client, json_t *data);
static void set_protocol_error(gc_engine_client_t *client, const char *message);
static void report_error(gc_engine_client_t *client, const GError *err);
static GError *http_status_error(gc_engine_client_t *client, int status);
static void send_cancel(gc_engine_client_t *client);

static const gc_http_call_ops_t call_ops = {.data = on_data, .done = on_done};

gc_engine_client_t *gc_engine_client_start(TALLOC_CTX *mem,
					   const gc_engine_client_conf_t *conf,
					   json_t *body, uint64_t from,
					   const gc_engine_client_ops_t *ops,
					   void *ctx)
{
	static const char *const headers[] = {"Content-Type: application/json",
					      NULL};
	gc_engine_client_t *client = client_create(mem, conf, from, ops, ctx);
	char *text = json_dumps(body, JSON_COMPACT);
	gc_http_call_conf_t call_conf = {
		.method = "POST",
		.url = talloc_asprintf(client, "%s/v1/runs", client->url),
		.peer = client->peer,
		.headers = headers,
		.body = gc_str(text),
		.single_use = true,
	};

	client->call =
		gc_httpc_start(conf->http, &call_conf, &call_ops, client);
	free(text);
	return client;
}

gc_engine_client_t *gc_engine_client_attach(TALLOC_CTX *mem,
					    const gc_engine_client_conf_t *conf,
					    const char *run, uint64_t from,
					    const gc_engine_client_ops_t *ops,
					    void *ctx)
{
	gc_engine_client_t *client = client_create(mem, conf, from, ops, ctx);
	g_autofree char *escaped = g_uri_escape_string(run, NULL, FALSE);
	gc_http_call_conf_t call_conf = {
		.method = "GET",
		.peer = client->peer,
		.single_use = true,
	};

	call_conf.url =
		talloc_asprintf(client,
				"%s/v1/runs/%s/stream?from=%" G_GUINT64_FORMAT,
				client->url, escaped, from);
	client->is_attach = true;
	g_strlcpy(client->run, run, sizeof(client->run));
	client->call =
		gc_httpc_start(conf->http, &call_conf, &call_ops, client);
	return client;
}

static gc_engine_client_t *
client_create(TALLOC_CTX *mem, const gc_engine_client_conf_t *conf,
	      uint64_t from, const gc_engine_client_ops_t *ops, void *ctx)
{
	gc_engine_client_t *client = talloc_zero(mem, gc_engine_client_t);

	client->conf = *conf;
	client->ops = *ops;
	client->ctx = ctx;
	client->from = from;
	client->peer = talloc_strndup(client, conf->name.data, conf->name.len);
	client->url = talloc_strndup(client, conf->url.data, conf->url.len);
	client->sse =
		gc_sse_create(client, conf->max_event_bytes, on_event, client);
	client->error_body = g_string_new(NULL);
	talloc_set_destructor(client, client_destructor);
	return client;
}

static int client_destructor(gc_engine_client_t *client)
{
	if (client->destroyed)
		*client->destroyed = true;
	/* With cancelling set, the call owns the client and is being freed. */
	if (client->call && !client->cancelling)
		gc_http_call_cancel(client->call);
	g_clear_error(&client->protocol_err);
	g_string_free(client->error_body, TRUE);
	return 0;
}

void gc_engine_client_set_paused(gc_engine_client_t *client, bool paused)
{
	if (client->call)
		gc_http_call_pause(client->call, paused);
}

void gc_engine_client_cancel(gc_engine_client_t *client, bool end_run)
{
	bool run_id_missing = end_run && !client->has_run_id;

	if (!run_id_missing || !client->call || client->ended) {
		if (end_run && client->has_run_id)
			send_cancel(client);
		talloc_free(client);
		return;
	}
	client->cancelling = true;
	gc_http_call_pause(client->call, false);
	talloc_steal(client->call, client);
	tevent_add_timer(client->conf.ev, client,
			 tevent_timeval_current_ofs(RUN_ID_TIMEOUT_S, 0),
			 on_run_id_timeout, client);
}

static void on_run_id_timeout(struct tevent_context *ev,
			      struct tevent_timer *te, struct timeval now,
			      void *ctx)
{
	gc_engine_client_t *client = ctx;

	gc_http_call_cancel(client->call);
}

/*
 * Sends DELETE for the run. The response is ignored: 404 and 409 mean that
 * there is nothing to cancel.
 */
static void send_cancel(gc_engine_client_t *client)
{
	static const gc_http_call_ops_t no_ops = {0};
	g_autofree char *run = g_uri_escape_string(client->run, NULL, FALSE);
	gc_http_call_conf_t call_conf = {
		.method = "DELETE",
		.peer = client->peer,
		.single_use = true,
		.timeout_ms = CANCEL_TIMEOUT_MS,
	};

	call_conf.url =
		talloc_asprintf(client,
				"%s/v1/runs/%s?attach=%" G_GINT64_FORMAT,
				client->url, run, client->attach_number);
	gc_httpc_start(client->conf.http, &call_conf, &no_ops, NULL);
}

static void on_data(void *ctx, int status, gc_str_t data)
{
	gc_engine_client_t *client = ctx;
	bool destroyed = false;
	bool within_limit;

	if (status != 200) {
		if (client->error_body->len < ERROR_BODY_CUTOFF_BYTES)
			g_string_append_len(client->error_body, data.data,
					    data.len);
		return;
	}
	if (client->ended)
		return;
	client->destroyed = &destroyed;
	within_limit = gc_sse_feed(client->sse, data);
	if (destroyed)
		return;
	client->destroyed = NULL;
	if (client->cancelling)
		return;
	if (!within_limit)
		set_protocol_error(client, "event exceeds the size limit");
	if (client->protocol_err)
		report_error(client, client->protocol_err);
}

static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err)
{
	gc_engine_client_t *client = ctx;
	GError *own_err = NULL;

	if (client->cancelling)
		return;
	client->call = NULL;
	if (client->ended)
		return;
	if (!err && status != 200)
		own_err = http_status_error(client, status);
	else if (!err)
		gc_error_set(
			&own_err, GC_ERR_IO, "stream", client->peer,
			"the engine closed the stream before the end event");
	else if (!sent && !client->is_attach)
		gc_error_set(&own_err, GC_ERR_UNAVAILABLE, "connect",
			     client->peer, "%s", err->message);
	else if (!client->is_attach && !client->has_run_id &&
		 g_error_matches(err, GC_ERROR, GC_ERR_IO))
		gc_error_set(&own_err, GC_ERR_LOST, "start", client->peer, "%s",
			     err->message);
	report_error(client, own_err ? own_err : err);
	g_clear_error(&own_err);
}

static GError *http_status_error(gc_engine_client_t *client, int status)
{
	gc_errcode_t code = GC_ERR_PROTOCOL;
	GError *err = NULL;

	if (status == 404)
		code = GC_ERR_NOT_FOUND;
	else if (status == 429 || status == 503)
		code = GC_ERR_OVERLOADED;
	else if (status >= 500)
		code = GC_ERR_IO;
	gc_error_set(&err, code, client->is_attach ? "attach" : "start",
		     client->peer, "status %d: %s", status,
		     client->error_body->str);
	return err;
}

/* Calls the error callback, which may free the client. */
static void report_error(gc_engine_client_t *client, const GError *err)
{
	GError *copy = g_error_copy(err);

	client->ended = true;
	if (client->call)
		gc_http_call_cancel(client->call);
	client->call = NULL;
	client->ops.error(client->ctx, copy);
	g_error_free(copy);
}

static void set_protocol_error(gc_engine_client_t *client, const char *message)
{
	if (client->protocol_err)
		return;
	gc_error_set(&client->protocol_err, GC_ERR_PROTOCOL,
		     client->is_attach ? "attach" : "start", client->peer, "%s",
		     message);
}

static void on_event(void *ctx, const gc_sse_event_t *event)
{
	gc_engine_client_t *client = ctx;
	json_t *data;

	if (client->ended || client->protocol_err)
		return;
	data = json_loadb(event->data.data, event->data.len,
			  JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(data))
		set_protocol_error(client, "event data is not a JSON object");
	else
		handle_event(client, event, data);
	json_decref(data);
}

/* Calls a callback, which may free the client. */
static void handle_event(gc_engine_client_t *client,
			 const gc_sse_event_t *event, json_t *data)
{
	if (gc_str_eq(event->name, GC_STR_LIT("run"))) {
		handle_run_event(client, data);
		return;
	}
	if (!client->has_run_id)
		set_protocol_error(client,
				   "event received before the run event");
	else if (gc_str_eq(event->name, GC_STR_LIT("message")))
		handle_token_event(client, event->id, data);
	else if (gc_str_eq(event->name, GC_STR_LIT("end")))
		handle_end_event(client, data);
	else
		set_protocol_error(client, "event of unknown type");
}

static void handle_run_event(gc_engine_client_t *client, json_t *data)
{
	const char *run = json_string_value(json_object_get(data, "run"));
	json_t *attach = json_object_get(data, "attach");
	json_t *offset = json_object_get(data, "offset");
	json_t *start_request = json_object_get(data, "request");

	if (client->has_run_id)
		set_protocol_error(client, "second run event");
	else if (!run || *run == '\0' || strlen(run) >= GC_RUN_ID_MAX)
		set_protocol_error(client, "run event without a valid run id");
	else if (client->is_attach && strcmp(run, client->run) != 0)
		set_protocol_error(client,
				   "run event has the id of another run");
	else if (!json_is_integer(attach) || json_integer_value(attach) < 0)
		set_protocol_error(client,
				   "run event without a valid attach number");
	else if (!json_is_integer(offset) ||
		 json_integer_value(offset) != (json_int_t)client->from)
		set_protocol_error(
			client,
			"run event offset differs from the requested one");
	if (client->protocol_err)
		return;
	client->has_run_id = true;
	client->attach_number = json_integer_value(attach);
	g_strlcpy(client->run, run, sizeof(client->run));
	if (client->cancelling) {
		send_cancel(client);
		client->ended = true;
		gc_http_call_cancel(client->call);
		return;
	}
	client->ops.run(client->ctx, client->run, client->from,
			json_is_object(start_request) ? start_request : NULL);
}

static void handle_token_event(gc_engine_client_t *client, gc_str_t id,
			       json_t *data)
{
	json_t *text = json_object_get(data, "t");
	json_t *run = json_object_get(data, "run");
	g_autofree char *digits = g_strndup(id.data, id.len);
	guint64 offset;

	if (!g_ascii_string_to_unsigned(digits, 10, 0, G_MAXINT64, &offset,
					NULL)) {
		set_protocol_error(client, "token without a valid offset");
		return;
	}
	if (!json_is_string(text)) {
		set_protocol_error(client, "token without text");
		return;
	}
	if (run && g_strcmp0(json_string_value(run), client->run) != 0) {
		set_protocol_error(client, "token has the id of another run");
		return;
	}
	client->ops.token(client->ctx, offset,
			  (gc_str_t){json_string_value(text),
				     json_string_length(text)});
}

static void handle_end_event(gc_engine_client_t *client, json_t *data)
{
	const char *reason = json_string_value(json_object_get(data, "reason"));
	json_t *tokens = json_object_get(data, "tokens");

	if (!reason ||
	    (strcmp(reason, "length") != 0 && strcmp(reason, "stop") != 0)) {
		set_protocol_error(client, "end event without a valid reason");
		return;
	}
	if (!json_is_integer(tokens) || json_integer_value(tokens) < 0) {
		set_protocol_error(client,
				   "end event without a valid token count");
		return;
	}
	client->ended = true;
	client->ops.end(client->ctx, reason, json_integer_value(tokens));
}
