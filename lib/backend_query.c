/* A small call to a backend server itself. */
#include "lib/backend_query.h"

struct gc_backend_query {
	gc_backend_query_conf_t conf;
	gc_call_t *call;
	gc_timer_t *timer;
	int status;
	GByteArray *body;
	gc_attempt_end_t end; /* if there is no call */
};

static int ask_destructor(gc_backend_query_t *ask);
static GString *request_text(const gc_backend_query_conf_t *conf,
			     const gc_backend_t *server);
static void on_head(void *ctx, const gc_http_message_t *answer);
static void on_body(void *ctx, gc_str_t data);
static void on_whole(void *ctx, const gc_http_message_t *answer);
static void on_failed(void *ctx, gc_attempt_end_t end, const char *why);
static void on_timer(void *ctx);

static const gc_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.whole = on_whole,
	.failed = on_failed,
};

gc_backend_query_t *gc_backend_query_start(TALLOC_CTX *mem,
					   const gc_backend_query_conf_t *conf,
					   gc_backend_t *server)
{
	gc_backend_query_t *ask = talloc_zero(mem, gc_backend_query_t);
	GString *text = request_text(conf, server);

	ask->conf = *conf;
	ask->body = g_byte_array_new();
	ask->timer = gc_timer_create(ask, conf->timers, on_timer, ask);
	talloc_set_destructor(ask, ask_destructor);
	ask->call = gc_upstream_start(conf->upstream, server,
				      (gc_str_t){text->str, text->len},
				      GC_STR_EMPTY, false, &call_ops, ask);
	g_string_free(text, TRUE);
	ask->end = ask->call ? GC_END_SILENT : GC_END_UNREACHED;
	gc_timer_set(ask->timer, ask->call ? conf->timeout_ms : 0);
	return ask;
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

static int ask_destructor(gc_backend_query_t *ask)
{
	if (ask->call)
		gc_call_cancel(ask->call);
	g_byte_array_free(ask->body, TRUE);
	return 0;
}

void gc_backend_query_destroy(gc_backend_query_t *ask)
{
	talloc_free(ask);
}

static void on_head(void *ctx, const gc_http_message_t *answer)
{
	gc_backend_query_t *ask = ctx;

	ask->status = gc_http_message_status(answer);
}

static void on_body(void *ctx, gc_str_t data)
{
	gc_backend_query_t *ask = ctx;

	g_byte_array_append(ask->body, (const guint8 *)data.data,
			    (guint)data.len);
}

/* The end comes from the timer, outside the callbacks of the call. */
static void on_whole(void *ctx, const gc_http_message_t *answer)
{
	gc_backend_query_t *ask = ctx;

	ask->call = NULL;
	gc_timer_set(ask->timer, 0);
}

static void on_failed(void *ctx, gc_attempt_end_t end, const char *why)
{
	gc_backend_query_t *ask = ctx;

	ask->call = NULL;
	ask->status = 0;
	ask->end = end;
	gc_timer_set(ask->timer, 0);
}

static void on_timer(void *ctx)
{
	gc_backend_query_t *ask = ctx;
	gc_str_t body = {(const char *)ask->body->data, ask->body->len};

	if (ask->call) {
		gc_call_cancel(ask->call);
		ask->call = NULL;
		ask->status = 0;
	}
	ask->conf.done(ask->conf.ctx, ask->status, body, ask->end);
	talloc_free(ask);
}
