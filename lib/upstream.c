/* HTTP/1.1 calls to backend servers over keep-alive connections. */
#include <errno.h>
#include <glib.h>

#include <xxhash.h>

#include "core/number.h"
#include "lib/backend_signals.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/upstream.h"

/*
 * An idle connection is not reused this long before the server's keep-alive
 * timeout, as the request could cross the server's close.
 */
#define KEEP_ALIVE_MARGIN_MS 900
/* Longest time that a server may state. */
#define KEEP_ALIVE_MAX_S 3600
/* For servers that state no keep-alive timeout, which may be under a second. */
#define DEFAULT_KEEP_ALIVE_MS 300
/* Interval at which expired idle connections are closed. */
#define IDLE_SWEEP_MS 1000
/* Latest calls whose answers a connection remembers. */
#define MAX_ANSWERED 8
/* Extension of a connect whose result was not read in time. */
#define UNREAD_RECHECK_MS 20

typedef struct conn conn_t;

struct gc_call {
	conn_t *conn;
	gc_str_t request_id;
	gc_call_ops_t ops;
	void *ctx;
	uint64_t sent_before; /* bytes sent on the connection before the call */
	bool head_delivered;
	bool mismatched; /* the response being read has another request id */
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
	struct timespec idle_since;
	struct timespec idle_until;
	uint64_t answered[MAX_ANSWERED]; /* hashes of request ids */
	uint64_t n_answered;
	bool answered_unnamed; /* a call without a request id */
	bool connected;
	bool connect_extended; /* its time, by UNREAD_RECHECK_MS */
	bool idle;
	bool in_callback;
	bool closed;
};

struct gc_upstream {
	gc_upstream_conf_t conf;
	conn_t *idle; /* most recently used first */
	gc_timer_t *sweep_timer;
	uint64_t connections_made;
};

static conn_t *take_idle(gc_upstream_t *upstream, const gc_backend_t *backend,
			 gc_str_t request_id, bool apart);
static gc_call_t *start_call(conn_t *conn, gc_str_t request,
			     gc_str_t request_id, bool head_request,
			     const gc_call_ops_t *ops, void *ctx);
static bool was_answered(const conn_t *conn, gc_str_t request_id, bool apart);
static void remember_answer(conn_t *conn, gc_str_t request_id);
static conn_t *open_conn(gc_upstream_t *upstream, gc_backend_t *backend,
			 gc_str_t request_id);
static void log_opened(const conn_t *conn, gc_str_t request_id);
static void close_idle(conn_t *conn, const char *reason);
static void unlink_idle(conn_t *conn);
static void close_conn(conn_t *conn);
static void on_sweep(void *ctx);
static void on_connected(void *ctx);
static void on_connect_timeout(void *ctx);
static void on_received(void *ctx, gc_str_t data);
static void on_closed(void *ctx, int error);
static void parse_responses(conn_t *conn, gc_str_t data);
static bool parse_response(conn_t *conn, gc_str_t *data);
static void deliver_head(conn_t *conn);
static void deliver_body(conn_t *conn);
static void complete_call(conn_t *conn, size_t surplus_bytes);
static void fail_call(conn_t *conn, gc_attempt_end_t sent_end,
		      const char *reason);
static gc_attempt_end_t end_of_error(int error);
static bool is_mismatched(const conn_t *conn);
static void end_response(conn_t *conn);
static bool has_taken_request(const conn_t *conn);
static int64_t reuse_ms(const conn_t *conn);
static bool is_usable(const conn_t *conn, struct timespec now);
static void end_callback(conn_t *conn);

static const gc_socket_ops_t socket_ops = {
	.connected = on_connected,
	.received = on_received,
	.closed = on_closed,
};

gc_upstream_t *gc_upstream_create(TALLOC_CTX *mem,
				  const gc_upstream_conf_t *conf)
{
	gc_upstream_t *upstream = talloc_zero(mem, gc_upstream_t);

	upstream->conf = *conf;
	upstream->sweep_timer =
		gc_timer_create(upstream, conf->timers, on_sweep, upstream);
	return upstream;
}

gc_call_t *gc_upstream_start(gc_upstream_t *upstream, gc_backend_t *backend,
			     gc_str_t request, gc_str_t request_id,
			     bool head_request, const gc_call_ops_t *ops,
			     void *ctx)
{
	conn_t *conn = take_idle(upstream, backend, request_id, false);

	if (!conn)
		conn = open_conn(upstream, backend, request_id);
	return conn ? start_call(conn, request, request_id, head_request, ops,
				 ctx)
		    : NULL;
}

gc_call_t *gc_upstream_start_apart(gc_upstream_t *upstream,
				   gc_backend_t *backend, gc_str_t request,
				   const gc_call_ops_t *ops, void *ctx)
{
	conn_t *conn = take_idle(upstream, backend, GC_STR_EMPTY, true);

	if (!conn)
		conn = open_conn(upstream, backend, GC_STR_EMPTY);
	return conn ? start_call(conn, request, GC_STR_EMPTY, false, ops, ctx)
		    : NULL;
}

static gc_call_t *start_call(conn_t *conn, gc_str_t request,
			     gc_str_t request_id, bool head_request,
			     const gc_call_ops_t *ops, void *ctx)
{
	gc_call_t *call = talloc_zero(conn, gc_call_t);

	gc_backend_use_permit(conn->backend,
			      gc_clock_now(conn->upstream->conf.clock));
	call->conn = conn;
	call->request_id = gc_str_dup(call, request_id);
	call->ops = *ops;
	call->ctx = ctx;
	call->sent_before = gc_socket_sent_bytes(conn->sock);
	call->head_request = head_request;
	conn->call = call;
	gc_http_message_reset(conn->message);
	if (head_request)
		gc_http_message_expect_no_body(conn->message);
	gc_socket_send(conn->sock, request);
	return call;
}

static conn_t *take_idle(gc_upstream_t *upstream, const gc_backend_t *backend,
			 gc_str_t request_id, bool apart)
{
	struct timespec now = gc_clock_now(upstream->conf.clock);
	conn_t *next;

	for (conn_t *conn = upstream->idle; conn; conn = next) {
		next = conn->next;
		if (conn->backend != backend ||
		    gc_ms_between(now, conn->idle_until) <= 0)
			continue;
		/* The server's close or unsolicited bytes. */
		if (gc_socket_has_unread(conn->sock)) {
			close_idle(conn, "the server closed it or sent bytes");
			continue;
		}
		if (was_answered(conn, request_id, apart))
			continue;
		unlink_idle(conn);
		return conn;
	}
	return NULL;
}

/* True if an earlier answer on the connection, sent once more, could be taken for
 * the answer to this call. */
static bool was_answered(const conn_t *conn, gc_str_t request_id, bool apart)
{
	uint64_t hash = XXH64(request_id.data, request_id.len, 0);

	if (request_id.len == 0)
		return apart && conn->answered_unnamed;
	for (uint64_t i = 0; i < MIN(conn->n_answered, MAX_ANSWERED); i++)
		if (conn->answered[i] == hash)
			return true;
	return false;
}

static bool is_usable(const conn_t *conn, struct timespec now)
{
	return gc_ms_between(now, conn->idle_until) > 0 &&
	       !gc_socket_has_unread(conn->sock);
}

bool gc_upstream_has_idle(const gc_upstream_t *upstream,
			  const gc_backend_t *backend)
{
	struct timespec now = gc_clock_now(upstream->conf.clock);

	for (const conn_t *conn = upstream->idle; conn; conn = conn->next)
		if (conn->backend == backend && is_usable(conn, now))
			return true;
	return false;
}

static void remember_answer(conn_t *conn, gc_str_t request_id)
{
	if (request_id.len == 0)
		conn->answered_unnamed = true;
	else
		conn->answered[conn->n_answered++ % MAX_ANSWERED] =
			XXH64(request_id.data, request_id.len, 0);
}

void gc_upstream_close_idle(gc_upstream_t *upstream,
			    const gc_backend_t *backend)
{
	conn_t *next;

	for (conn_t *conn = upstream->idle; conn; conn = next) {
		next = conn->next;
		if (conn->backend == backend)
			close_idle(conn, "the link to the server failed");
	}
}

static conn_t *open_conn(gc_upstream_t *upstream, gc_backend_t *backend,
			 gc_str_t request_id)
{
	conn_t *conn = talloc_zero(upstream, conn_t);

	conn->upstream = upstream;
	conn->sock =
		gc_socket_connect(conn, upstream->conf.ev,
				  gc_backend_address(backend),
				  upstream->conf.source,
				  &upstream->conf.liveness, &socket_ops, conn);
	if (!conn->sock) {
		talloc_free(conn);
		return NULL;
	}
	if (upstream->conf.unsent_max > 0)
		gc_socket_set_unsent_max(conn->sock, upstream->conf.unsent_max);
	conn->backend = gc_backend_ref(backend);
	conn->message = gc_http_message_create(conn, GC_HTTP_MESSAGE_RESPONSE);
	conn->connect_timer = gc_timer_create(conn, upstream->conf.timers,
					      on_connect_timeout, conn);
	gc_timer_set(conn->connect_timer, upstream->conf.connect_timeout_ms);
	upstream->connections_made++;
	log_opened(conn, request_id);
	return conn;
}

/* Tells how many connections to the server are kept and can't be used. */
static void log_opened(const conn_t *conn, gc_str_t request_id)
{
	g_autofree char *request = g_strndup(
		request_id.len > 0 ? request_id.data : "", request_id.len);
	g_autofree char *kept_text = NULL;
	unsigned int kept = 0;

	for (const conn_t *other = conn->upstream->idle; other;
	     other = other->next)
		kept += gc_str_eq(gc_backend_address(other->backend),
				  gc_backend_address(conn->backend));
	kept_text = g_strdup_printf("%u", kept);
	gc_log(GC_LOG_DEBUG, GC_EVENT_CONNECTION_OPENED, "connection opened",
	       "server", gc_backend_id(conn->backend).data, "request", request,
	       "kept", kept_text, NULL);
}

/* The response that ends with the connection has closed it already. */
static void close_idle(conn_t *conn, const char *reason)
{
	struct timespec now = gc_clock_now(conn->upstream->conf.clock);
	g_autofree char *idle_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT, gc_ms_between(conn->idle_since, now));
	g_autofree char *limit_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT,
		gc_ms_between(conn->idle_since, conn->idle_until));

	if (conn->closed)
		return;
	gc_log(GC_LOG_DEBUG, GC_EVENT_KEPT_CONNECTION_CLOSED,
	       "kept connection closed", "server",
	       gc_backend_id(conn->backend).data, "reason", reason, "idle_ms",
	       idle_ms, "limit_ms", limit_ms, NULL);
	close_conn(conn);
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
	if (conn->closed)
		return;
	conn->closed = true;
	unlink_idle(conn);
	/* An orderly close would go on to send a request that was given up. */
	if (gc_socket_delivery(conn->sock).waiting > 0)
		gc_socket_reset(conn->sock);
	else
		gc_socket_destroy(conn->sock);
	conn->sock = NULL;
	gc_timer_stop(conn->connect_timer);
	gc_backend_unref(conn->backend);
	conn->backend = NULL;
	if (!conn->in_callback)
		talloc_free(conn);
}

/* Ends a callback; frees the connection if it was closed meanwhile. */
static void end_callback(conn_t *conn)
{
	conn->in_callback = false;
	if (conn->closed)
		talloc_free(conn);
}

static void on_sweep(void *ctx)
{
	gc_upstream_t *upstream = ctx;
	struct timespec now = gc_clock_now(upstream->conf.clock);
	conn_t *next;

	for (conn_t *conn = upstream->idle; conn; conn = next) {
		next = conn->next;
		if (gc_backend_is_removed(conn->backend))
			close_idle(conn, "the server's entry is gone");
		else if (gc_ms_between(now, conn->idle_until) <= 0)
			close_idle(conn, "its time is over");
	}
	if (upstream->idle)
		gc_timer_set(upstream->sweep_timer, IDLE_SWEEP_MS);
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

	/* The daemon was stalled; the event loop reads the result first. */
	if (!conn->connect_extended && gc_socket_has_unread(conn->sock)) {
		conn->connect_extended = true;
		gc_timer_set(conn->connect_timer, UNREAD_RECHECK_MS);
		return;
	}
	conn->in_callback = true;
	fail_call(conn, GC_END_BROKEN, "connect timed out");
	end_callback(conn);
}

static void on_received(void *ctx, gc_str_t data)
{
	conn_t *conn = ctx;

	gc_backend_record_heard(conn->backend,
				gc_clock_now(conn->upstream->conf.clock));
	conn->in_callback = true;
	parse_responses(conn, data);
	end_callback(conn);
}

static void parse_responses(conn_t *conn, gc_str_t data)
{
	/* Data without a call in progress is unsolicited. */
	if (!conn->call) {
		close_idle(conn, "the server sent bytes");
		return;
	}
	while (data.len > 0 && conn->call && !conn->closed)
		if (!parse_response(conn, &data))
			return;
}

/* Parses one response; true if the rest of data is to be parsed too. */
static bool parse_response(conn_t *conn, gc_str_t *data)
{
	size_t used = gc_http_message_feed(conn->message, *data);
	gc_http_message_state_t state = gc_http_message_state(conn->message);

	data->data += used;
	data->len -= used;
	if (state > GC_HTTP_MESSAGE_COMPLETE) {
		/* The bytes before the error still belong to the response. */
		if (conn->call->head_delivered)
			deliver_body(conn);
		if (conn->call)
			fail_call(conn, GC_END_BROKEN,
				  gc_http_message_error(conn->message));
		return false;
	}
	if (state < GC_HTTP_MESSAGE_BODY)
		return true;
	deliver_head(conn);
	if (conn->call)
		deliver_body(conn);
	if (!conn->call || state != GC_HTTP_MESSAGE_COMPLETE)
		return true;
	if (!conn->call->mismatched) {
		complete_call(conn, data->len);
		return false;
	}
	conn->call->mismatched = false;
	gc_http_message_reset(conn->message);
	if (conn->call->head_request)
		gc_http_message_expect_no_body(conn->message);
	return true;
}

static void deliver_head(conn_t *conn)
{
	gc_call_t *call = conn->call;

	if (call->head_delivered || call->mismatched)
		return;
	/* A late response to an earlier request counts, too. */
	if (conn->upstream->conf.leaving_header)
		gc_backend_read_signals(
			conn->backend, gc_clock_now(conn->upstream->conf.clock),
			conn->message, conn->upstream->conf.leaving_header,
			conn->upstream->conf.limit_header,
			conn->upstream->conf.brittle_header,
			conn->upstream->conf.pause_max_ms);
	call->mismatched = is_mismatched(conn);
	if (call->mismatched)
		return;
	call->head_delivered = true;
	call->ops.head(call->ctx, conn->message);
}

/* True for a late or duplicate response to an earlier request. */
static bool is_mismatched(const conn_t *conn)
{
	gc_str_t id = gc_http_message_find_header(
		conn->message, conn->upstream->conf.id_header);

	return id.data && !gc_str_eq(id, conn->call->request_id);
}

static void deliver_body(conn_t *conn)
{
	gc_str_t body = gc_http_message_body(conn->message);
	gc_call_t *call = conn->call;

	if (body.len == 0)
		return;
	if (!call->mismatched)
		call->ops.body(call->ctx, body);
	gc_http_message_discard_body(conn->message);
}

static void complete_call(conn_t *conn, size_t surplus_bytes)
{
	gc_upstream_t *upstream = conn->upstream;
	gc_call_t *call = conn->call;
	struct timespec now = gc_clock_now(upstream->conf.clock);
	int64_t ms = reuse_ms(conn);
	/* Unsent bytes of this request would be read as part of the next. */
	bool keep = gc_http_message_keep_alive(conn->message) && ms > 0 &&
		    surplus_bytes == 0 &&
		    gc_socket_unsent_bytes(conn->sock) == 0 &&
		    !gc_backend_is_removed(conn->backend);

	call->ops.complete(call->ctx, conn->message);
	if (!conn->call)
		return;
	conn->call = NULL;
	remember_answer(conn, call->request_id);
	talloc_free(call);
	if (!keep) {
		close_conn(conn);
		return;
	}
	gc_socket_set_paused(conn->sock, false);
	conn->idle_since = now;
	conn->idle_until = gc_add_ms(now, ms);
	conn->idle = true;
	conn->next = upstream->idle;
	if (upstream->idle)
		upstream->idle->prev = conn;
	else
		gc_timer_set(upstream->sweep_timer, IDLE_SWEEP_MS);
	upstream->idle = conn;
}

/* Time for which the connection may be reused, from the Keep-Alive header. */
static int64_t reuse_ms(const conn_t *conn)
{
	gc_str_t value =
		gc_http_message_find_header(conn->message, "keep-alive");
	g_autofree char *text =
		g_strndup(value.data ? value.data : "", value.len);
	const char *timeout = strstr(text, "timeout=");
	int64_t seconds = 0;

	if (!timeout && conn->upstream->conf.keep_alive_ms > 0)
		return conn->upstream->conf.keep_alive_ms;
	if (!timeout)
		return DEFAULT_KEEP_ALIVE_MS;
	timeout += strlen("timeout=");
	gc_parse_whole((gc_str_t){timeout, strspn(timeout, "0123456789")},
		       KEEP_ALIVE_MAX_S, &seconds);
	return seconds * 1000 - KEEP_ALIVE_MARGIN_MS;
}

static void on_closed(void *ctx, int error)
{
	conn_t *conn = ctx;

	conn->in_callback = true;
	if (conn->call && error == 0 && has_taken_request(conn))
		end_response(conn);
	if (conn->call)
		fail_call(conn, end_of_error(error),
			  error == 0 ? "the server closed the connection"
				     : g_strerror(error));
	else
		close_idle(conn, error == 0 ? "the server closed it"
					    : g_strerror(error));
	end_callback(conn);
}

/* A response without a length is complete now. */
static void end_response(conn_t *conn)
{
	gc_http_message_feed_eof(conn->message);
	if (gc_http_message_state(conn->message) != GC_HTTP_MESSAGE_COMPLETE ||
	    !conn->call->head_delivered)
		return;
	deliver_body(conn);
	if (conn->call)
		complete_call(conn, 0);
}

/*
 * The close of a server acknowledges all that it has read. Without the rest of the
 * request it may have broken off: the reset, which is its kernel's answer to that
 * rest, arrives after the close.
 */
static bool has_taken_request(const conn_t *conn)
{
	return gc_socket_delivery(conn->sock).waiting == 0;
}

/* Only a server, or its host, closes or resets a connection. */
static gc_attempt_end_t end_of_error(int error)
{
	return error == 0 || error == ECONNRESET || error == EPIPE
		       ? GC_END_BROKEN
		       : GC_END_CUT;
}

/* sent_end: the attempt's end if the server got a part of the request. */
static void fail_call(conn_t *conn, gc_attempt_end_t sent_end,
		      const char *reason)
{
	gc_call_t *call = conn->call;
	bool sent = gc_call_was_sent(call);

	conn->call = NULL;
	call->ops.failed(call->ctx, sent ? sent_end : GC_END_UNREACHABLE,
			 reason);
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

void gc_call_set_ops(gc_call_t *call, const gc_call_ops_t *ops, void *ctx)
{
	call->ops = *ops;
	call->ctx = ctx;
}

void gc_call_set_paused(gc_call_t *call, bool paused)
{
	gc_socket_set_paused(call->conn->sock, paused);
}

bool gc_call_has_unread(const gc_call_t *call)
{
	return gc_socket_has_unread(call->conn->sock);
}

bool gc_call_was_sent(const gc_call_t *call)
{
	const conn_t *conn = call->conn;

	return conn->connected &&
	       gc_socket_sent_bytes(conn->sock) > call->sent_before;
}

size_t gc_call_unsent_bytes(const gc_call_t *call)
{
	return gc_socket_unsent_bytes(call->conn->sock);
}

uint64_t gc_call_sent_bytes(const gc_call_t *call)
{
	return gc_socket_sent_bytes(call->conn->sock) - call->sent_before;
}

gc_socket_delivery_t gc_call_delivery(const gc_call_t *call)
{
	return gc_socket_delivery(call->conn->sock);
}

bool gc_call_is_first(const gc_call_t *call)
{
	return call->sent_before == 0;
}

uint64_t gc_upstream_connections_made(const gc_upstream_t *upstream)
{
	return upstream->connections_made;
}
