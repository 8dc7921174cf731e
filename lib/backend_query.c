/* Short queries to a backend server. */
#include "lib/backend_query.h"

/* The responses are small JSON objects. */
#define MAX_RESPONSE_BYTES 65536

struct gc_backend_query {
	gc_backend_query_conf_t conf;
	gc_backend_t *server;
	gc_call_t *call;
	gc_timer_t *timer;
	bool extended; /* its time, by timeout_ms */
	int status;
	GByteArray *body;
	gc_attempt_end_t end; /* used if no complete response was received */
};

static int query_destructor(gc_backend_query_t *query);
static gc_call_t *start_call(gc_backend_query_t *query, gc_backend_t *server);
static GString *request_text(const gc_backend_query_conf_t *conf,
			     const gc_backend_t *server);
static void on_head(void *ctx, const gc_http_message_t *response);
static void on_body(void *ctx, gc_str_t data);
static void on_complete(void *ctx, const gc_http_message_t *response);
static void on_failed(void *ctx, gc_attempt_end_t end, const char *reason);
static void on_timer(void *ctx);
static bool is_from_other_start(const gc_backend_query_t *query,
				gc_str_t response);

static const gc_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

gc_backend_query_t *gc_backend_query_start(TALLOC_CTX *mem,
					   const gc_backend_query_conf_t *conf,
					   gc_backend_t *server)
{
	gc_backend_query_t *query = talloc_zero(mem, gc_backend_query_t);

	query->conf = *conf;
	query->server = gc_backend_ref(server);
	query->body = g_byte_array_new();
	query->timer = gc_timer_create(query, conf->timers, on_timer, query);
	talloc_set_destructor(query, query_destructor);
	query->call = start_call(query, server);
	query->end = query->call ? GC_END_TIMED_OUT : GC_END_UNREACHABLE;
	gc_timer_set(query->timer, query->call ? conf->timeout_ms : 0);
	return query;
}

static gc_call_t *start_call(gc_backend_query_t *query, gc_backend_t *server)
{
	gc_upstream_t *upstream = query->conf.upstream;
	GString *text = request_text(&query->conf, server);
	gc_str_t request = {text->str, text->len};
	gc_call_t *call =
		query->conf.apart
			? gc_upstream_start_apart(upstream, server, request,
						  &call_ops, query)
			: gc_upstream_start(upstream, server, request,
					    GC_STR_EMPTY, false, &call_ops,
					    query);

	g_string_free(text, TRUE);
	return call;
}

static GString *request_text(const gc_backend_query_conf_t *conf,
			     const gc_backend_t *server)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%s %s HTTP/1.1\r\nHost: %.*s\r\n", conf->method,
			conf->path, GC_STR_ARG(gc_backend_address(server)));
	if (conf->body.len > 0)
		g_string_append_printf(text,
				       "Content-Type: application/json\r\n"
				       "Content-Length: %zu\r\n",
				       conf->body.len);
	g_string_append(text, "\r\n");
	g_string_append_len(text, conf->body.data, (gssize)conf->body.len);
	return text;
}

static int query_destructor(gc_backend_query_t *query)
{
	if (query->call)
		gc_call_cancel(query->call);
	gc_backend_unref(query->server);
	g_byte_array_free(query->body, TRUE);
	return 0;
}

void gc_backend_query_destroy(gc_backend_query_t *query)
{
	talloc_free(query);
}

static void on_head(void *ctx, const gc_http_message_t *response)
{
	gc_backend_query_t *query = ctx;

	query->status = gc_http_message_status(response);
}

static void on_body(void *ctx, gc_str_t data)
{
	gc_backend_query_t *query = ctx;

	if (query->body->len + data.len <= MAX_RESPONSE_BYTES) {
		g_byte_array_append(query->body, (const guint8 *)data.data,
				    (guint)data.len);
		return;
	}
	gc_call_cancel(query->call);
	query->call = NULL;
	query->status = 0;
	query->end = GC_END_BROKEN;
	gc_timer_set(query->timer, 0);
}

/* The timer makes the final callback, outside the callbacks of the call. */
static void on_complete(void *ctx, const gc_http_message_t *response)
{
	gc_backend_query_t *query = ctx;

	query->call = NULL;
	gc_timer_set(query->timer, 0);
}

static void on_failed(void *ctx, gc_attempt_end_t end, const char *reason)
{
	gc_backend_query_t *query = ctx;

	query->call = NULL;
	query->status = 0;
	query->end = end;
	gc_timer_set(query->timer, 0);
}

static void on_timer(void *ctx)
{
	gc_backend_query_t *query = ctx;
	gc_str_t body = {(const char *)query->body->data, query->body->len};

	/* The daemon was stalled: an answer is read by the event loop, and a
	 * server that has just connected has its whole time to answer. */
	if (query->call && !query->extended &&
	    gc_call_has_unread(query->call)) {
		query->extended = true;
		gc_timer_set(query->timer, query->conf.timeout_ms);
		return;
	}
	if (query->call) {
		gc_call_cancel(query->call);
		query->call = NULL;
		query->status = 0;
	} else if (query->status == 200 && is_from_other_start(query, body)) {
		query->status = 0;
		query->end = GC_END_REPLACED;
	}
	query->conf.done(query->conf.ctx, query->status, body, query->end);
	talloc_free(query);
}

static bool is_from_other_start(const gc_backend_query_t *query,
				gc_str_t response)
{
	gc_backend_load_t load;

	return query->conf.load_of &&
	       query->conf.load_of->read_load(response, &load) &&
	       !gc_backend_is_report_of(query->server, &load);
}
