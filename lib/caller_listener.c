/* HTTP/1.1 listener for callers: connections, requests, timeouts. */
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/number.h"
#include "lib/caller_listener_private.h"
#include "lib/caller_log.h"

/* Pipelined bytes buffered while a request is served, before reading stops. */
#define MAX_PIPELINED_BYTES 65536
/* Longest wait for the caller to close after the last response was sent. */
#define LINGER_TIMEOUT_MS 2000
/* Connections of unknown addresses at once; each is answered at the head of its
 * request. */
#define MAX_UNKNOWN 64
/* Delay of the end of a connection's time on which data was received but not
 * read: the event loop reads it first. */
#define UNREAD_RECHECK_MS 20
/* Interval of checks for the caller's close behind bytes that stay unread. */
#define CLOSE_POLL_MS 100
/* A caller that sends less of a request in the last seconds counts as one that has
 * stopped. */
#define UPLOAD_PACE_BYTES 4096
/* Memory of a request that is served beside its buffers: 1,000 take 7 MB. */
#define REQUEST_OVERHEAD_BYTES 8192

static void on_accept(void *ctx, int fd);
static void on_close_timer(void *ctx);
static bool is_known(const gc_caller_listener_t *listener, int fd);
static int conn_destructor(gc_caller_conn_t *conn);
static void close_conn(gc_caller_conn_t *conn, bool reset, const char *reason);
static void note_bytes_at_end(gc_caller_conn_t *conn);
static void log_end(const gc_caller_conn_t *conn);
static gc_caller_log_t log_values(const gc_caller_conn_t *conn,
				  const char *reason);
static int64_t idle_ms(const gc_caller_conn_t *conn);
static int64_t limit_ms(const gc_caller_conn_t *conn);
static bool has_unsent(const gc_caller_conn_t *conn);
static bool has_undelivered(const gc_caller_conn_t *conn);
static bool is_reading_head(const gc_caller_conn_t *conn);
static void on_received(void *ctx, gc_str_t data);
static void on_closed(void *ctx, int error);
static void on_drained(void *ctx);
static void on_unread(void *ctx);
static arrival_t arrival_now(const gc_caller_conn_t *conn);
static void add_pipelined(gc_caller_conn_t *conn, gc_str_t data,
			  const arrival_t *arrival);
static void feed_request(gc_caller_conn_t *conn, gc_str_t data,
			 const arrival_t *arrival);
static void start_request(gc_caller_conn_t *conn, const arrival_t *arrival);
static void handle_message_state(gc_caller_conn_t *conn);
static void reject_request(gc_caller_conn_t *conn, int status,
			   const char *message);
static void feed_pipelined(gc_caller_conn_t *conn);
static void start_lingering(gc_caller_conn_t *conn);
static void arm_timer(gc_caller_conn_t *conn);
static bool made_send_progress(gc_caller_conn_t *conn);
static void raise_timeouts(gc_caller_conn_t *conn);
static bool may_extend(const gc_caller_conn_t *conn);
static void extend(gc_caller_conn_t *conn);
static bool has_caller_left(const gc_caller_conn_t *conn);
static void on_timer(void *ctx);
static int64_t time_left_ms(const gc_caller_conn_t *conn);
static void count_request(gc_caller_conn_t *conn);
static uint64_t announced_bytes(const gc_caller_conn_t *conn);
static void count_response_end(gc_caller_conn_t *conn);
static void on_refresh(void *ctx);
static void on_resume_upload(void *ctx);
static void on_resume_source(void *ctx);
static gc_str_t current_request_id(void *ctx);
static void on_end_slow(void *ctx);

static const gc_socket_ops_t socket_ops = {
	.received = on_received,
	.closed = on_closed,
	.drained = on_drained,
	.unread = on_unread,
};

static const gc_buffer_ops_t buffer_ops = {
	.refresh = on_refresh,
	.resume = on_resume_upload,
	.resume_source = on_resume_source,
	.request_id = current_request_id,
	.end = on_end_slow,
};

gc_caller_listener_t *gc_caller_listener_create(
	TALLOC_CTX *mem, struct tevent_context *ev, gc_timers_t *timers,
	const gc_clock_t *clock, const char *address, uint16_t port,
	const gc_caller_listener_ops_t *ops, void *ctx, GError **err)
{
	gc_caller_listener_t *listener = talloc_zero(mem, gc_caller_listener_t);

	listener->ev = ev;
	listener->timers = timers;
	listener->close_timer =
		gc_timer_create(listener, timers, on_close_timer, listener);
	listener->clock = clock;
	listener->ops = *ops;
	listener->ctx = ctx;
	listener->tcp_listener = gc_listener_create(listener, ev, address, port,
						    on_accept, listener, err);
	if (!listener->tcp_listener)
		TALLOC_FREE(listener);
	else
		listener->port = gc_listener_port(listener->tcp_listener);
	return listener;
}

uint16_t gc_caller_listener_port(const gc_caller_listener_t *listener)
{
	return listener->port;
}

void gc_caller_listener_set_idle_grace(gc_caller_listener_t *listener,
				       int64_t ms)
{
	listener->idle_grace_ms = ms;
}

void gc_caller_listener_set_bound(gc_caller_listener_t *listener,
				  gc_buffer_bound_t *bound)
{
	listener->bound = bound;
}

void gc_caller_listener_set_closing(gc_caller_listener_t *listener)
{
	listener->closing = true;
}

void gc_caller_listener_stop_accepting(gc_caller_listener_t *listener)
{
	gc_listener_drop_new(listener->tcp_listener);
	gc_timer_set(listener->close_timer, GC_HANDSHAKE_MS);
}

static void on_close_timer(void *ctx)
{
	gc_caller_listener_t *listener = ctx;

	gc_listener_close(listener->tcp_listener);
}

size_t gc_caller_listener_count_busy(const gc_caller_listener_t *listener)
{
	size_t n = 0;

	for (const gc_caller_conn_t *c = listener->conns; c; c = c->next)
		if (c->known &&
		    (c->state == CONN_READING || c->state == CONN_SERVING ||
		     has_undelivered(c) ||
		     (c->state == CONN_IDLE && gc_socket_has_unread(c->sock))))
			n++;
	return n;
}

static void on_accept(void *ctx, int fd)
{
	gc_caller_listener_t *listener = ctx;
	bool known = is_known(listener, fd);
	gc_caller_conn_t *conn;

	if (!known && listener->n_unknown >= MAX_UNKNOWN) {
		close(fd);
		return;
	}
	conn = talloc_zero(listener, gc_caller_conn_t);
	conn->listener = listener;
	conn->known = known;
	conn->close_after_response = !known;
	listener->n_unknown += !known;
	conn->pipelined = g_byte_array_new();
	conn->message = gc_http_message_create(conn, GC_HTTP_MESSAGE_REQUEST);
	conn->sock = gc_socket_adopt(conn, listener->ev, fd, &socket_ops, conn);
	if (listener->bound) {
		conn->account = gc_buffer_account_create(conn, listener->bound,
							 &buffer_ops, conn);
		gc_socket_set_unsent_max(conn->sock, GC_KERNEL_UNSENT_BYTES);
	}
	conn->next = listener->conns;
	if (listener->conns)
		listener->conns->prev = conn;
	listener->conns = conn;
	talloc_set_destructor(conn, conn_destructor);
	conn->timer = gc_timer_create(conn, listener->timers, on_timer, conn);
	conn->limits = listener->ops.limits(listener->ctx);
	conn->last_activity = gc_clock_now(listener->clock);
	conn->end_reason = "the daemon ended";
	arm_timer(conn);
}

static bool is_known(const gc_caller_listener_t *listener, int fd)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	char ip[INET_ADDRSTRLEN];

	if (!listener->ops.knows)
		return true;
	return getpeername(fd, (struct sockaddr *)&sin, &len) == 0 &&
	       inet_ntop(AF_INET, &sin.sin_addr, ip, sizeof(ip)) &&
	       listener->ops.knows(listener->ctx, gc_str(ip));
}

static int conn_destructor(gc_caller_conn_t *conn)
{
	if (conn->sock)
		note_bytes_at_end(conn);
	log_end(conn);
	gc_socket_destroy(conn->sock);
	conn->listener->n_unknown -= !conn->known;
	g_byte_array_free(conn->pipelined, TRUE);
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		conn->listener->conns = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	return 0;
}

static void close_conn(gc_caller_conn_t *conn, bool reset, const char *reason)
{
	conn->end_reason = reason;
	note_bytes_at_end(conn);
	if (reset)
		gc_socket_reset(conn->sock);
	else
		gc_socket_destroy(conn->sock);
	conn->sock = NULL;
	talloc_free(conn);
}

static void note_bytes_at_end(gc_caller_conn_t *conn)
{
	conn->unsent_at_end = gc_socket_unsent_bytes(conn->sock);
	if (conn->has_unread)
		conn->unread_at_end = gc_socket_unread_bytes(conn->sock);
}

/* A request that was served ends with a line of its own. */
static void log_end(const gc_caller_conn_t *conn)
{
	gc_caller_log_t log = log_values(conn, conn->end_reason);

	log.bytes = conn->pipelined->len + conn->dropped_bytes +
		    conn->unread_at_end;
	if (conn->state == CONN_READING)
		log.bytes += conn->request_bytes;
	if (conn->state != CONN_SERVING)
		log.unsent = conn->unsent_at_end;
	if (log.bytes > 0 || log.unsent > 0)
		gc_caller_log_early_end(&log);
	else if (conn->state == CONN_IDLE)
		gc_caller_log_idle_end(&log);
}

static gc_caller_log_t log_values(const gc_caller_conn_t *conn,
				  const char *reason)
{
	static const char *const state_names[] = {
		[CONN_IDLE] = "idle",
		[CONN_READING] = "reading",
		[CONN_SERVING] = "serving",
		[CONN_LINGERING] = "closing",
	};

	return (gc_caller_log_t){
		.port = conn->listener->port,
		.reason = reason,
		.state = state_names[conn->state],
		.idle_ms = idle_ms(conn),
		.limit_ms = limit_ms(conn),
	};
}

static void on_received(void *ctx, gc_str_t data)
{
	gc_caller_conn_t *conn = ctx;
	arrival_t arrival;

	conn->last_activity = gc_clock_now(conn->listener->clock);
	if (conn->state == CONN_LINGERING) {
		conn->dropped_bytes += data.len;
		return;
	}
	arrival = arrival_now(conn);
	if (conn->state == CONN_SERVING) {
		add_pipelined(conn, data, &arrival);
		if (conn->pipelined->len > MAX_PIPELINED_BYTES)
			gc_socket_set_paused(conn->sock, true);
		count_request(conn);
		return;
	}
	gc_buffer_add_progress(conn->account, data.len);
	feed_request(conn, data, &arrival);
}

static arrival_t arrival_now(const gc_caller_conn_t *conn)
{
	return (arrival_t){
		.at = conn->last_activity,
		.limits = conn->listener->ops.limits(conn->listener->ctx),
	};
}

static void add_pipelined(gc_caller_conn_t *conn, gc_str_t data,
			  const arrival_t *arrival)
{
	if (conn->pipelined->len == 0)
		conn->next_arrival = *arrival;
	g_byte_array_append(conn->pipelined, (const guint8 *)data.data,
			    (guint)data.len);
}

/* Feeds the request; surplus bytes are buffered until the response is sent. */
static void feed_request(gc_caller_conn_t *conn, gc_str_t data,
			 const arrival_t *arrival)
{
	size_t used;

	if (conn->state == CONN_IDLE)
		start_request(conn, arrival);
	used = gc_http_message_feed(conn->message, data);
	conn->request_bytes += used;
	if (used < data.len)
		add_pipelined(conn,
			      (gc_str_t){data.data + used, data.len - used},
			      arrival);
	count_request(conn);
	handle_message_state(conn);
}

/* A request that is received waits for its caller, and a complete one for none. */
static void count_request(gc_caller_conn_t *conn)
{
	gc_http_message_state_t state = gc_http_message_state(conn->message);
	uint64_t bytes = conn->request_bytes + conn->pipelined->len;
	uint64_t waiting = 0;

	if (!conn->account)
		return;
	if (conn->state == CONN_READING && state == GC_HTTP_MESSAGE_BODY) {
		if (conn->announced == 0)
			conn->announced = announced_bytes(conn);
		bytes = MAX(bytes, conn->announced);
		conn->upload_delayed =
			!gc_buffer_admit_upload(conn->account, bytes);
		if (conn->upload_delayed)
			bytes = conn->request_bytes;
		gc_socket_set_paused(conn->sock, conn->upload_delayed);
	}
	if (conn->state == CONN_READING && state < GC_HTTP_MESSAGE_COMPLETE &&
	    !conn->upload_delayed)
		waiting = MIN(bytes, UPLOAD_PACE_BYTES);
	if (conn->state != CONN_IDLE)
		bytes += REQUEST_OVERHEAD_BYTES;
	gc_buffer_set(conn->account, GC_HELD_UPLOAD, waiting);
	gc_buffer_set(conn->account, GC_HELD_REQUEST, bytes - waiting);
}

/* Of the head, the body and its copy for the server; 0: the length isn't known. */
static uint64_t announced_bytes(const gc_caller_conn_t *conn)
{
	gc_str_t length =
		gc_http_message_find_header(conn->message, "content-length");
	int64_t bytes = 0;

	gc_parse_whole(length, INT64_MAX, &bytes);
	return bytes > 0 ? 2 * (uint64_t)bytes + conn->limits.max_header_bytes
			 : 0;
}

static void on_resume_upload(void *ctx)
{
	gc_caller_conn_t *conn = ctx;

	conn->last_activity = gc_clock_now(conn->listener->clock);
	arm_timer(conn);
	count_request(conn);
}

static void on_resume_source(void *ctx)
{
	gc_caller_conn_t *conn = ctx;

	if (conn->state == CONN_SERVING && conn->data)
		conn->listener->ops.resume_source(conn->listener->ctx, conn);
}

static void on_refresh(void *ctx)
{
	gc_caller_conn_t *conn = ctx;
	uint64_t sent = gc_socket_sent_bytes(conn->sock);

	gc_buffer_add_progress(conn->account, sent - conn->counted_sent);
	conn->counted_sent = sent;
	gc_caller_conn_count_unsent(conn);
	if (conn->state == CONN_SERVING && conn->data)
		conn->listener->ops.refresh(conn->listener->ctx, conn);
}

static gc_str_t current_request_id(void *ctx)
{
	const gc_caller_conn_t *conn = ctx;

	if (conn->state == CONN_IDLE || conn->state == CONN_LINGERING)
		return conn->unsent_id;
	return gc_http_message_state(conn->message) < GC_HTTP_MESSAGE_BODY
		       ? GC_STR_EMPTY
		       : conn->listener->ops.request_id(conn->listener->ctx,
							conn->message);
}

/* A close without a reset would leave what is unsent to the kernel. */
static void on_end_slow(void *ctx)
{
	gc_caller_conn_t *conn = ctx;

	if (conn->state != CONN_SERVING || !conn->data) {
		close_conn(conn, true, "its caller took too little");
		return;
	}
	if (gc_socket_unsent_bytes(conn->sock) > 0)
		gc_socket_set_reset_on_close(conn->sock, true);
	conn->listener->ops.end_slow(conn->listener->ctx, conn);
}

void gc_caller_conn_count_unsent(gc_caller_conn_t *conn)
{
	if (conn->account)
		gc_buffer_set_unsent(conn->account, GC_HELD_TO_CALLER,
				     gc_socket_unsent_bytes(conn->sock));
}

void gc_caller_conn_hold(gc_caller_conn_t *conn, gc_held_part_t part,
			 size_t bytes)
{
	gc_buffer_set(conn->account, part, bytes);
}

void gc_caller_conn_hold_for_server(gc_caller_conn_t *conn, size_t unsent,
				    uint64_t taken)
{
	gc_buffer_add_progress(conn->account, taken);
	gc_buffer_set_unsent(conn->account, GC_HELD_TO_SERVER, unsent);
}

bool gc_caller_conn_stop_source(gc_caller_conn_t *conn)
{
	return gc_buffer_stop_source(conn->account);
}

size_t gc_caller_conn_allowance(const gc_caller_conn_t *conn, size_t fallback)
{
	return gc_buffer_allowance(conn->account, fallback);
}

static void start_request(gc_caller_conn_t *conn, const arrival_t *arrival)
{
	gc_http_message_limits_t limits;

	conn->limits = arrival->limits;
	limits.max_head = conn->limits.max_header_bytes;
	limits.max_body = conn->limits.max_body_bytes;
	gc_http_message_set_limits(conn->message, &limits);
	conn->arrived = arrival->at;
	conn->head_started = conn->last_activity;
	conn->state = CONN_READING;
	conn->request_bytes = 0;
	conn->announced = 0;
	conn->extended = false;
	arm_timer(conn);
}

static void handle_message_state(gc_caller_conn_t *conn)
{
	gc_caller_listener_t *listener = conn->listener;

	switch (gc_http_message_state(conn->message)) {
	case GC_HTTP_MESSAGE_EMPTY:
	case GC_HTTP_MESSAGE_HEAD:
		return;
	case GC_HTTP_MESSAGE_BODY:
		if (conn->known)
			return;
		/* The rest is dropped, as behind a rejection. */
		conn->rejected = true;
		break;
	case GC_HTTP_MESSAGE_INVALID:
		reject_request(conn, 400, gc_http_message_error(conn->message));
		return;
	case GC_HTTP_MESSAGE_UNSUPPORTED:
		reject_request(conn, 501, gc_http_message_error(conn->message));
		return;
	case GC_HTTP_MESSAGE_HEAD_TOO_LARGE:
		reject_request(conn, 431, gc_http_message_error(conn->message));
		return;
	case GC_HTTP_MESSAGE_BODY_TOO_LARGE:
		reject_request(conn, 413, gc_http_message_error(conn->message));
		return;
	case GC_HTTP_MESSAGE_COMPLETE:
		break;
	}
	conn->state = CONN_SERVING;
	gc_buffer_restart_progress(conn->account);
	conn->head_request =
		strcmp(gc_http_message_method(conn->message), "HEAD") == 0;
	if (!gc_http_message_keep_alive(conn->message))
		conn->close_after_response = true;
	listener->ops.request(listener->ctx, conn, conn->message);
}

/* Closes the connection, as the start of the next request is unknown. */
static void reject_request(gc_caller_conn_t *conn, int status,
			   const char *message)
{
	gc_caller_log_t log = log_values(conn, message);
	g_autofree char *body =
		g_strdup_printf("{\"error\":{\"message\":\"%s\"}}\n", message);

	log.bytes = conn->request_bytes;
	gc_caller_log_rejection(&log, status);
	conn->state = CONN_SERVING;
	conn->rejected = true;
	conn->close_after_response = true;
	gc_caller_conn_respond(conn, status,
			       GC_STR_LIT("Content-Type: application/json\r\n"),
			       gc_str(body));
}

static void on_closed(void *ctx, int error)
{
	gc_caller_conn_t *conn = ctx;
	gc_caller_listener_t *listener = conn->listener;

	if (conn->state == CONN_SERVING)
		listener->ops.disconnected(listener->ctx, conn);
	close_conn(conn, false,
		   error == 0 ? "the caller closed it" : g_strerror(error));
}

static void on_drained(void *ctx)
{
	gc_caller_conn_t *conn = ctx;

	gc_caller_conn_count_unsent(conn);
	if (conn->state == CONN_LINGERING)
		start_lingering(conn);
	else if (conn->state == CONN_SERVING && conn->responding)
		conn->listener->ops.drained(conn->listener->ctx, conn);
}

static void on_unread(void *ctx)
{
	gc_caller_conn_t *conn = ctx;

	conn->has_unread = true;
	arm_timer(conn);
}

void gc_caller_conn_set_data(gc_caller_conn_t *conn, void *data)
{
	conn->data = data;
}

void *gc_caller_conn_data(const gc_caller_conn_t *conn)
{
	return conn->data;
}

bool gc_caller_conn_is_known(const gc_caller_conn_t *conn)
{
	return conn->known;
}

struct timespec gc_caller_conn_arrived(const gc_caller_conn_t *conn)
{
	return conn->arrived;
}

int64_t gc_caller_conn_round_trip_ms(gc_caller_conn_t *conn)
{
	if (!conn->round_trip_known)
		conn->round_trip_ms = gc_socket_round_trip_ms(conn->sock);
	conn->round_trip_known = true;
	return conn->round_trip_ms;
}

/* Without chunks, only a reset differs from the end of the response. */
void gc_caller_conn_abort(gc_caller_conn_t *conn)
{
	close_conn(conn, !conn->chunked, "the response was aborted");
}

void gc_caller_conn_finish_response(gc_caller_conn_t *conn)
{
	conn->data = NULL;
	conn->responding = false;
	conn->chunked = false;
	conn->last_activity = gc_clock_now(conn->listener->clock);
	if (conn->account)
		count_response_end(conn);
	if (conn->close_after_response) {
		start_lingering(conn);
		return;
	}
	conn->state = CONN_IDLE;
	gc_http_message_reset(conn->message);
	gc_socket_set_paused(conn->sock, false);
	arm_timer(conn);
	feed_pipelined(conn);
}

static void count_response_end(gc_caller_conn_t *conn)
{
	gc_caller_conn_count_unsent(conn);
	gc_buffer_end_upload(conn->account);
	gc_buffer_set(conn->account, GC_HELD_TO_SERVER, 0);
	gc_buffer_set(conn->account, GC_HELD_RESPONSE, 0);
	gc_buffer_set(conn->account, GC_HELD_UPLOAD, 0);
	gc_buffer_set(conn->account, GC_HELD_REQUEST, conn->pipelined->len);
	conn->upload_delayed = false;
	talloc_free((char *)conn->unsent_id.data);
	conn->unsent_id = (gc_str_t){NULL, 0};
	if (gc_socket_unsent_bytes(conn->sock) > 0 &&
	    gc_http_message_state(conn->message) == GC_HTTP_MESSAGE_COMPLETE)
		conn->unsent_id = gc_str_dup(
			conn, conn->listener->ops.request_id(
				      conn->listener->ctx, conn->message));
}

/* Handles bytes that arrived while the previous request was served. */
static void feed_pipelined(gc_caller_conn_t *conn)
{
	GByteArray *pipelined = conn->pipelined;
	arrival_t arrival = conn->next_arrival;

	if (pipelined->len == 0)
		return;
	conn->pipelined = g_byte_array_new();
	feed_request(conn,
		     (gc_str_t){(const char *)pipelined->data, pipelined->len},
		     &arrival);
	g_byte_array_free(pipelined, TRUE);
}

/*
 * Closes the sending side first, once the response is sent: closing at once could
 * reset the connection before the caller has read the response.
 */
static void start_lingering(gc_caller_conn_t *conn)
{
	conn->state = CONN_LINGERING;
	conn->last_activity = gc_clock_now(conn->listener->clock);
	gc_socket_set_paused(conn->sock, false);
	if (!has_unsent(conn)) {
		gc_socket_shutdown_write(conn->sock);
		gc_socket_set_reset_on_close(conn->sock, false);
	}
	arm_timer(conn);
}

/* One timer per connection; it checks the state when it expires. */
static void arm_timer(gc_caller_conn_t *conn)
{
	int64_t ms = time_left_ms(conn);

	if (conn->has_unread)
		ms = MIN(ms, CLOSE_POLL_MS);
	gc_timer_set(conn->timer, ms);
}

static int64_t time_left_ms(const gc_caller_conn_t *conn)
{
	return limit_ms(conn) - idle_ms(conn);
}

/* Time since the last activity, or since the start of an incomplete head. */
static int64_t idle_ms(const gc_caller_conn_t *conn)
{
	return gc_ms_between(is_reading_head(conn) ? conn->head_started
						   : conn->last_activity,
			     gc_clock_now(conn->listener->clock));
}

static int64_t limit_ms(const gc_caller_conn_t *conn)
{
	if (conn->state == CONN_LINGERING && !has_undelivered(conn))
		return LINGER_TIMEOUT_MS;
	if (conn->state == CONN_IDLE)
		return conn->limits.idle_timeout_ms +
		       conn->listener->idle_grace_ms;
	return is_reading_head(conn) ? conn->limits.header_timeout_ms
				     : conn->limits.idle_timeout_ms;
}

static bool has_unsent(const gc_caller_conn_t *conn)
{
	return conn->sock ? gc_socket_unsent_bytes(conn->sock) > 0
			  : conn->unsent_at_end > 0;
}

/* With unread bytes, the close would reset the connection and drop what the kernel
 * has not delivered. */
static bool has_undelivered(const gc_caller_conn_t *conn)
{
	return has_unsent(conn) || (conn->has_unread && conn->sock &&
				    gc_socket_delivery(conn->sock).waiting > 0);
}

static bool is_reading_head(const gc_caller_conn_t *conn)
{
	return conn->state == CONN_READING &&
	       gc_http_message_state(conn->message) != GC_HTTP_MESSAGE_BODY;
}

/* True if bytes were sent since the last expiry and some remain unsent. */
static bool made_send_progress(gc_caller_conn_t *conn)
{
	uint64_t sent = gc_socket_sent_bytes(conn->sock);
	bool progress = sent > conn->last_sent_bytes;

	conn->last_sent_bytes = sent;
	return progress && gc_socket_unsent_bytes(conn->sock) > 0;
}

/* Callers use longer times as soon as they are in force. Shorter ones hold from
 * the next request. */
static void raise_timeouts(gc_caller_conn_t *conn)
{
	gc_request_limits_t limits =
		conn->listener->ops.limits(conn->listener->ctx);

	conn->limits.idle_timeout_ms =
		MAX(conn->limits.idle_timeout_ms, limits.idle_timeout_ms);
	conn->limits.header_timeout_ms =
		MAX(conn->limits.header_timeout_ms, limits.header_timeout_ms);
}

/* Once per request, so that a caller that sends a byte at a time gains little
 * time. */
static bool may_extend(const gc_caller_conn_t *conn)
{
	return conn->state == CONN_IDLE ||
	       (conn->state == CONN_READING && !conn->extended);
}

static void extend(gc_caller_conn_t *conn)
{
	conn->extended = true;
	gc_timer_set(conn->timer, UNREAD_RECHECK_MS);
}

/* Behind unread bytes; a caller that has closed its side of the connection may
 * still receive the end of the response. */
static bool has_caller_left(const gc_caller_conn_t *conn)
{
	return conn->has_unread && gc_socket_is_peer_closed(conn->sock) &&
	       (conn->state == CONN_SERVING || !has_undelivered(conn));
}

static void on_timer(void *ctx)
{
	gc_caller_conn_t *conn = ctx;

	if (has_caller_left(conn)) {
		on_closed(conn, 0);
		return;
	}
	if (conn->state == CONN_SERVING) {
		if (conn->has_unread)
			gc_timer_set(conn->timer, CLOSE_POLL_MS);
		return;
	}
	if (made_send_progress(conn))
		conn->last_activity = gc_clock_now(conn->listener->clock);
	raise_timeouts(conn);
	if (time_left_ms(conn) > 0)
		arm_timer(conn);
	else if (may_extend(conn) && gc_socket_has_unread(conn->sock))
		extend(conn);
	else if (conn->state == CONN_READING)
		reject_request(conn, 408,
			       "the request was not received in time");
	else
		close_conn(conn, false, "its time is over");
}
