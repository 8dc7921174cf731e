/* HTTP/1.1 calls to backend servers over kept connections. */
#include <glib.h>

#include "lib/upstream.h"

/*
 * A kept connection is not used in the last part of the time after which its
 * server closes it, as the request would cross the close.
 */
#define IDLE_MARGIN_MS 900
/* For servers that don't state their timeout; it may be under a second. */
#define UNSTATED_IDLE_MS 300
/* How often idle connections are looked through. */
#define SWEEP_MS 1000

typedef struct conn conn_t;

struct gc_call {
	conn_t *conn;
	gc_str_t request_id;
	gc_call_ops_t ops;
	void *ctx;
	uint64_t sent_before; /* bytes on the connection before the call */
	bool head_given;
	bool foreign; /* the answer in progress belongs to another request */
	bool head_request;
};

struct conn {
	gc_upstream_t *upstream;
	conn_t *prev, *next; /* in the list of idle connections */
	gc_backend_t *backend;
	gc_socket_t *sock;
	gc_http_message_t *message;
	gc_timer_t *connect_timer;
	gc_call_t *call; /* NULL while idle */
	struct timespec idle_until;
	bool connected;
	bool idle;
	bool busy; /* inside a callback */
	bool dead;
};

struct gc_upstream {
	gc_upstream_conf_t conf;
	conn_t *idle; /* the last used first */
	gc_timer_t *sweep;
	uint64_t connects;
};

static conn_t *take_idle(gc_upstream_t *upstream, const gc_backend_t *backend);
static conn_t *open_conn(gc_upstream_t *upstream, gc_backend_t *backend);
static void unlink_idle(conn_t *conn);
static void close_conn(conn_t *conn);
static void on_sweep(void *ctx);
static void on_connected(void *ctx);
static void on_connect_timeout(void *ctx);
static void on_received(void *ctx, gc_str_t data);
static void on_ended(void *ctx, int error);
static void take(conn_t *conn, gc_str_t data);
static bool take_answer(conn_t *conn, gc_str_t *data);
static void give_head(conn_t *conn);
static void give_body(conn_t *conn);
static void finish(conn_t *conn, size_t left_over);
static void fail(conn_t *conn, const char *why);
static bool is_foreign(const conn_t *conn);
static int64_t keep_ms(const gc_http_message_t *answer);
static void leave(conn_t *conn);

static const gc_socket_ops_t socket_ops = {
	.connected = on_connected,
	.received = on_received,
	.ended = on_ended,
};

gc_upstream_t *gc_upstream_create(TALLOC_CTX *mem,
				  const gc_upstream_conf_t *conf)
{
	gc_upstream_t *upstream = talloc_zero(mem, gc_upstream_t);

	upstream->conf = *conf;
	upstream->sweep =
		gc_timer_create(upstream, conf->timers, on_sweep, upstream);
	return upstream;
}

gc_call_t *gc_upstream_start(gc_upstream_t *upstream, gc_backend_t *backend,
			     gc_str_t request, gc_str_t request_id,
			     bool head_request, const gc_call_ops_t *ops,
			     void *ctx)
{
	conn_t *conn = take_idle(upstream, backend);
	gc_call_t *call;

	if (!conn)
		conn = open_conn(upstream, backend);
	if (!conn)
		return NULL;
	call = talloc_zero(conn, gc_call_t);
	call->conn = conn;
	call->request_id = gc_str_dup(call, request_id);
	call->ops = *ops;
	call->ctx = ctx;
	call->sent_before = gc_socket_sent(conn->sock);
	call->head_request = head_request;
	conn->call = call;
	gc_http_message_reset(conn->message);
	if (head_request)
		gc_http_message_expect_no_body(conn->message);
	gc_socket_send(conn->sock, request);
	return call;
}

static conn_t *take_idle(gc_upstream_t *upstream, const gc_backend_t *backend)
{
	struct timespec now = gc_clock_now(upstream->conf.clock);

	for (conn_t *conn = upstream->idle; conn; conn = conn->next) {
		if (conn->backend != backend ||
		    gc_ms_between(now, conn->idle_until) <= 0)
			continue;
		unlink_idle(conn);
		return conn;
	}
	return NULL;
}

static conn_t *open_conn(gc_upstream_t *upstream, gc_backend_t *backend)
{
	conn_t *conn = talloc_zero(upstream, conn_t);

	conn->upstream = upstream;
	conn->sock =
		gc_socket_connect(conn, upstream->conf.ev,
				  gc_backend_address(backend),
				  &upstream->conf.liveness, &socket_ops, conn);
	if (!conn->sock) {
		talloc_free(conn);
		return NULL;
	}
	conn->backend = gc_backend_ref(backend);
	conn->message = gc_http_message_create(conn, GC_HTTP_MESSAGE_RESPONSE);
	conn->connect_timer = gc_timer_create(conn, upstream->conf.timers,
					      on_connect_timeout, conn);
	gc_timer_set(conn->connect_timer, upstream->conf.connect_timeout_ms);
	upstream->connects++;
	return conn;
}

static void unlink_idle(conn_t *conn)
{
	if (!conn->idle)
		return;
	conn->idle = false;
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		conn->upstream->idle = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	conn->prev = NULL;
	conn->next = NULL;
}

static void close_conn(conn_t *conn)
{
	if (conn->dead)
		return;
	conn->dead = true;
	unlink_idle(conn);
	gc_socket_destroy(conn->sock);
	conn->sock = NULL;
	gc_timer_stop(conn->connect_timer);
	gc_backend_unref(conn->backend);
	conn->backend = NULL;
	if (!conn->busy)
		talloc_free(conn);
}

/* Ends a callback of the connection, which may have closed it. */
static void leave(conn_t *conn)
{
	conn->busy = false;
	if (conn->dead)
		talloc_free(conn);
}

static void on_sweep(void *ctx)
{
	gc_upstream_t *upstream = ctx;
	struct timespec now = gc_clock_now(upstream->conf.clock);
	conn_t *next;

	for (conn_t *conn = upstream->idle; conn; conn = next) {
		next = conn->next;
		if (gc_ms_between(now, conn->idle_until) <= 0 ||
		    gc_backend_gone(conn->backend))
			close_conn(conn);
	}
	if (upstream->idle)
		gc_timer_set(upstream->sweep, SWEEP_MS);
}

static void on_connected(void *ctx)
{
	conn_t *conn = ctx;

	conn->connected = true;
	gc_timer_stop(conn->connect_timer);
}

static void on_connect_timeout(void *ctx)
{
	conn_t *conn = ctx;

	conn->busy = true;
	fail(conn, "connecting took too long");
	leave(conn);
}

static void on_received(void *ctx, gc_str_t data)
{
	conn_t *conn = ctx;

	conn->busy = true;
	take(conn, data);
	leave(conn);
}

static void take(conn_t *conn, gc_str_t data)
{
	/* Bytes that no request asked for belong to none. */
	if (!conn->call) {
		close_conn(conn);
		return;
	}
	while (data.len > 0 && conn->call && !conn->dead)
		if (!take_answer(conn, &data))
			return;
}

/* Feeds one answer; true if the loop shall go on with the rest of data. */
static bool take_answer(conn_t *conn, gc_str_t *data)
{
	size_t used = gc_http_message_feed(conn->message, *data);
	gc_http_message_state_t state = gc_http_message_state(conn->message);

	data->data += used;
	data->len -= used;
	if (state > GC_HTTP_MESSAGE_WHOLE) {
		/* What came before the fault still belongs to the answer. */
		if (conn->call->head_given)
			give_body(conn);
		if (conn->call)
			fail(conn, gc_http_message_problem(conn->message));
		return false;
	}
	if (state < GC_HTTP_MESSAGE_BODY)
		return true;
	give_head(conn);
	if (conn->call)
		give_body(conn);
	if (!conn->call || state != GC_HTTP_MESSAGE_WHOLE)
		return true;
	if (!conn->call->foreign) {
		finish(conn, data->len);
		return false;
	}
	conn->call->foreign = false;
	gc_http_message_reset(conn->message);
	if (conn->call->head_request)
		gc_http_message_expect_no_body(conn->message);
	return true;
}

static void give_head(conn_t *conn)
{
	gc_call_t *call = conn->call;

	if (call->head_given || call->foreign)
		return;
	call->foreign = is_foreign(conn);
	if (call->foreign)
		return;
	call->head_given = true;
	call->ops.head(call->ctx, conn->message);
}

/* An answer to another request that came late or was sent twice. */
static bool is_foreign(const conn_t *conn)
{
	gc_str_t id = gc_http_message_find(conn->message,
					   conn->upstream->conf.id_header);

	return id.data && !gc_str_eq(id, conn->call->request_id);
}

static void give_body(conn_t *conn)
{
	gc_str_t body = gc_http_message_body(conn->message);
	gc_call_t *call = conn->call;

	if (body.len == 0)
		return;
	if (!call->foreign)
		call->ops.body(call->ctx, body);
	gc_http_message_take_body(conn->message);
}

static void finish(conn_t *conn, size_t left_over)
{
	gc_upstream_t *upstream = conn->upstream;
	gc_call_t *call = conn->call;
	struct timespec now = gc_clock_now(upstream->conf.clock);
	int64_t ms = keep_ms(conn->message);
	/* A body that is still being sent would be read as another request. */
	bool keep = gc_http_message_keep_alive(conn->message) && ms > 0 &&
		    left_over == 0 && gc_socket_pending(conn->sock) == 0 &&
		    !gc_backend_gone(conn->backend);

	call->ops.whole(call->ctx, conn->message);
	if (!conn->call)
		return;
	conn->call = NULL;
	talloc_free(call);
	if (!keep) {
		close_conn(conn);
		return;
	}
	gc_socket_pause(conn->sock, false);
	conn->idle_until = gc_add_ms(now, ms);
	conn->idle = true;
	conn->next = upstream->idle;
	if (upstream->idle)
		upstream->idle->prev = conn;
	else
		gc_timer_set(upstream->sweep, SWEEP_MS);
	upstream->idle = conn;
}

/* How long the connection may be kept, from the answer's stated timeout. */
static int64_t keep_ms(const gc_http_message_t *answer)
{
	gc_str_t value = gc_http_message_find(answer, "keep-alive");
	g_autofree char *text =
		g_strndup(value.data ? value.data : "", value.len);
	const char *timeout = strstr(text, "timeout=");

	if (!timeout)
		return UNSTATED_IDLE_MS;
	return g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10) * 1000 -
	       IDLE_MARGIN_MS;
}

static void on_ended(void *ctx, int error)
{
	conn_t *conn = ctx;

	conn->busy = true;
	if (conn->call && error == 0) {
		gc_http_message_feed_end(conn->message);
		if (gc_http_message_state(conn->message) ==
			    GC_HTTP_MESSAGE_WHOLE &&
		    conn->call->head_given) {
			give_body(conn);
			if (conn->call)
				finish(conn, 0);
		}
	}
	if (conn->call)
		fail(conn, error == 0 ? "the server closed the connection"
				      : g_strerror(error));
	else
		close_conn(conn);
	leave(conn);
}

static void fail(conn_t *conn, const char *why)
{
	gc_call_t *call = conn->call;
	bool unreached = !conn->connected ||
			 gc_socket_sent(conn->sock) == call->sent_before;

	conn->call = NULL;
	call->ops.failed(call->ctx,
			 unreached ? GC_END_UNREACHED : GC_END_BROKEN, why);
	talloc_free(call);
	close_conn(conn);
}

void gc_call_cancel(gc_call_t *call)
{
	conn_t *conn = call->conn;

	conn->call = NULL;
	talloc_free(call);
	close_conn(conn);
}

void gc_call_pause(gc_call_t *call, bool pause)
{
	gc_socket_pause(call->conn->sock, pause);
}

uint64_t gc_upstream_connects(const gc_upstream_t *upstream)
{
	return upstream->connects;
}
