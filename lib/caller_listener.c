/* HTTP/1.1 listener for callers. */
#include <stdio.h>

#include <http_parser.h>

#include "lib/caller_listener.h"
#include "lib/socket.h"
#include "lib/timer.h"

/* Bytes of further requests that wait while one is being served. */
#define MAX_AHEAD_BYTES 65536
/* How long a caller may take to close after the last answer. */
#define LINGER_MS 2000
/* Room for the status line and the headers of the connection. */
#define HEAD_BYTES 256

typedef enum caller_state {
	CALLER_IDLE, /* between requests */
	CALLER_READING, /* a request has begun */
	CALLER_SERVING, /* the handler has it */
	CALLER_LINGERING, /* answered; waits for the peer to close */
} caller_state_t;

struct gc_caller_conn_conn {
	gc_caller_listener_t *front;
	gc_caller_conn_t *prev, *next;
	gc_socket_t *sock;
	gc_http_message_t *message;
	GByteArray *ahead;
	caller_state_t state;
	void *data;
	struct timespec arrived; /* first byte of the request */
	struct timespec touched; /* last byte or answer */
	uint64_t sent_before; /* bytes, at the last look of the timer */
	gc_timer_t *timer;
	gc_request_limits_t limits;
	bool chunked;
	bool answering; /* an answer has begun */
	bool head_request;
	bool close_after;
};

struct gc_caller_listener {
	struct tevent_context *ev;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	gc_listener_t *listener;
	gc_caller_listener_ops_t ops;
	void *ctx;
	gc_caller_conn_t *callers;
	bool closing;
};

static void on_accept(void *ctx, int fd);
static int caller_destructor(gc_caller_conn_t *caller);
static void close_caller(gc_caller_conn_t *caller, bool reset);
static void on_received(void *ctx, gc_str_t data);
static void on_ended(void *ctx, int error);
static void on_drained(void *ctx);
static void take(gc_caller_conn_t *caller, gc_str_t data);
static void start_request(gc_caller_conn_t *caller);
static void check_message(gc_caller_conn_t *caller);
static void refuse(gc_caller_conn_t *caller, int status, const char *why);
static void finish_answer(gc_caller_conn_t *caller);
static void next_request(gc_caller_conn_t *caller);
static void linger(gc_caller_conn_t *caller);
static void arm(gc_caller_conn_t *caller);
static bool is_reading_answer(gc_caller_conn_t *caller);
static void on_timer(void *ctx);
static int64_t time_left(const gc_caller_conn_t *caller);
static void send_head(gc_caller_conn_t *caller, int status, gc_str_t head,
		      const char *framing);

static const gc_socket_ops_t socket_ops = {
	.received = on_received,
	.ended = on_ended,
	.drained = on_drained,
};

gc_caller_listener_t *gc_caller_listener_create(
	TALLOC_CTX *mem, struct tevent_context *ev, gc_timers_t *timers,
	const gc_clock_t *clock, const char *address, uint16_t port,
	const gc_caller_listener_ops_t *ops, void *ctx, GError **err)
{
	gc_caller_listener_t *front = talloc_zero(mem, gc_caller_listener_t);

	front->ev = ev;
	front->timers = timers;
	front->clock = clock;
	front->ops = *ops;
	front->ctx = ctx;
	front->listener = gc_listener_create(front, ev, address, port,
					     on_accept, front, err);
	if (!front->listener)
		TALLOC_FREE(front);
	return front;
}

uint16_t gc_caller_listener_port(const gc_caller_listener_t *front)
{
	return gc_listener_port(front->listener);
}

void gc_caller_listener_set_closing(gc_caller_listener_t *front)
{
	front->closing = true;
}

size_t gc_caller_listener_busy(const gc_caller_listener_t *front)
{
	size_t n = 0;

	for (const gc_caller_conn_t *c = front->callers; c; c = c->next)
		if (c->state == CALLER_READING || c->state == CALLER_SERVING ||
		    gc_socket_pending(c->sock) > 0)
			n++;
	return n;
}

static void on_accept(void *ctx, int fd)
{
	gc_caller_listener_t *front = ctx;
	gc_caller_conn_t *caller = talloc_zero(front, gc_caller_conn_t);

	caller->front = front;
	caller->ahead = g_byte_array_new();
	caller->message =
		gc_http_message_create(caller, GC_HTTP_MESSAGE_REQUEST);
	caller->sock =
		gc_socket_adopt(caller, front->ev, fd, &socket_ops, caller);
	caller->next = front->callers;
	if (front->callers)
		front->callers->prev = caller;
	front->callers = caller;
	talloc_set_destructor(caller, caller_destructor);
	caller->timer =
		gc_timer_create(caller, front->timers, on_timer, caller);
	caller->limits = front->ops.limits(front->ctx);
	caller->touched = gc_clock_now(front->clock);
	arm(caller);
}

static int caller_destructor(gc_caller_conn_t *caller)
{
	gc_socket_destroy(caller->sock);
	g_byte_array_free(caller->ahead, TRUE);
	if (caller->prev)
		caller->prev->next = caller->next;
	else
		caller->front->callers = caller->next;
	if (caller->next)
		caller->next->prev = caller->prev;
	return 0;
}

static void close_caller(gc_caller_conn_t *caller, bool reset)
{
	if (reset)
		gc_socket_reset(caller->sock);
	else
		gc_socket_destroy(caller->sock);
	caller->sock = NULL;
	talloc_free(caller);
}

static void on_received(void *ctx, gc_str_t data)
{
	gc_caller_conn_t *caller = ctx;

	caller->touched = gc_clock_now(caller->front->clock);
	if (caller->state == CALLER_LINGERING)
		return;
	if (caller->state == CALLER_SERVING) {
		g_byte_array_append(caller->ahead, (const guint8 *)data.data,
				    (guint)data.len);
		if (caller->ahead->len > MAX_AHEAD_BYTES)
			gc_socket_pause(caller->sock, true);
		return;
	}
	take(caller, data);
}

/* Feeds the message; what is left over waits until it is answered. */
static void take(gc_caller_conn_t *caller, gc_str_t data)
{
	size_t used;

	if (caller->state == CALLER_IDLE)
		start_request(caller);
	used = gc_http_message_feed(caller->message, data);
	if (used < data.len)
		g_byte_array_append(caller->ahead,
				    (const guint8 *)data.data + used,
				    (guint)(data.len - used));
	check_message(caller);
}

static void start_request(gc_caller_conn_t *caller)
{
	gc_http_message_limits_t limits;

	caller->limits = caller->front->ops.limits(caller->front->ctx);
	limits.max_head = caller->limits.max_header_bytes;
	limits.max_body = caller->limits.max_body_bytes;
	gc_http_message_set_limits(caller->message, &limits);
	caller->arrived = caller->touched;
	caller->state = CALLER_READING;
	arm(caller);
}

static void check_message(gc_caller_conn_t *caller)
{
	gc_caller_listener_t *front = caller->front;

	switch (gc_http_message_state(caller->message)) {
	case GC_HTTP_MESSAGE_EMPTY:
	case GC_HTTP_MESSAGE_HEAD:
	case GC_HTTP_MESSAGE_BODY:
		return;
	case GC_HTTP_MESSAGE_INVALID:
		refuse(caller, 400, gc_http_message_problem(caller->message));
		return;
	case GC_HTTP_MESSAGE_HEAD_TOO_LARGE:
		refuse(caller, 431, gc_http_message_problem(caller->message));
		return;
	case GC_HTTP_MESSAGE_BODY_TOO_LARGE:
		refuse(caller, 413, gc_http_message_problem(caller->message));
		return;
	case GC_HTTP_MESSAGE_WHOLE:
		break;
	}
	caller->state = CALLER_SERVING;
	caller->head_request =
		strcmp(gc_http_message_method(caller->message), "HEAD") == 0;
	if (!gc_http_message_keep_alive(caller->message))
		caller->close_after = true;
	if (front->closing)
		caller->close_after = true;
	front->ops.request(front->ctx, caller, caller->message);
}

/* The connection can't be trusted for another request. */
static void refuse(gc_caller_conn_t *caller, int status, const char *why)
{
	g_autofree char *body =
		g_strdup_printf("{\"error\":{\"message\":\"%s\"}}\n", why);

	caller->state = CALLER_SERVING;
	caller->close_after = true;
	gc_caller_conn_answer(caller, status,
			      GC_STR_LIT("Content-Type: application/json\r\n"),
			      gc_str(body));
}

static void on_ended(void *ctx, int error)
{
	gc_caller_conn_t *caller = ctx;
	gc_caller_listener_t *front = caller->front;

	if (caller->state == CALLER_SERVING)
		front->ops.gone(front->ctx, caller);
	close_caller(caller, false);
}

static void on_drained(void *ctx)
{
	gc_caller_conn_t *caller = ctx;

	if (caller->state == CALLER_LINGERING)
		gc_socket_finish(caller->sock);
	else if (caller->state == CALLER_SERVING && caller->answering)
		caller->front->ops.drained(caller->front->ctx, caller);
}

void gc_caller_conn_set_data(gc_caller_conn_t *caller, void *data)
{
	caller->data = data;
}

void *gc_caller_conn_data(const gc_caller_conn_t *caller)
{
	return caller->data;
}

struct timespec gc_caller_conn_arrived(const gc_caller_conn_t *caller)
{
	return caller->arrived;
}

void gc_caller_conn_answer(gc_caller_conn_t *caller, int status, gc_str_t head,
			   gc_str_t body)
{
	char framing[64];

	if (status == 204 || status == 304)
		framing[0] = '\0';
	else
		snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
			 body.len);
	send_head(caller, status, head, framing);
	if (!caller->head_request && status != 204 && status != 304)
		gc_socket_send(caller->sock, body);
	finish_answer(caller);
}

static void send_head(gc_caller_conn_t *caller, int status, gc_str_t head,
		      const char *framing)
{
	g_autoptr(GString) text = g_string_sized_new(HEAD_BYTES + head.len);

	if (caller->front->closing)
		caller->close_after = true;
	g_string_printf(text, "HTTP/1.1 %d %s\r\n", status,
			http_status_str((enum http_status)status));
	g_string_append_len(text, head.data, (gssize)head.len);
	g_string_append(text, framing);
	if (caller->close_after)
		g_string_append(text, "Connection: close\r\n");
	g_string_append(text, "\r\n");
	caller->answering = true;
	gc_socket_send(caller->sock, (gc_str_t){text->str, text->len});
}

void gc_caller_conn_begin(gc_caller_conn_t *caller, int status, gc_str_t head)
{
	caller->chunked = !gc_http_message_http10(caller->message);
	if (!caller->chunked)
		caller->close_after = true;
	send_head(caller, status, head,
		  caller->chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void gc_caller_conn_chunk(gc_caller_conn_t *caller, gc_str_t data)
{
	g_autoptr(GString) chunk = NULL;

	if (data.len == 0 || caller->head_request)
		return;
	if (!caller->chunked) {
		gc_socket_send(caller->sock, data);
		return;
	}
	/* One call for the kernel, as each costs processor time. */
	chunk = g_string_sized_new(data.len + 16);
	g_string_printf(chunk, "%zx\r\n", data.len);
	g_string_append_len(chunk, data.data, (gssize)data.len);
	g_string_append(chunk, "\r\n");
	gc_socket_send(caller->sock, (gc_str_t){chunk->str, chunk->len});
}

void gc_caller_conn_end(gc_caller_conn_t *caller)
{
	if (caller->chunked && !caller->head_request)
		gc_socket_send(caller->sock, GC_STR_LIT("0\r\n\r\n"));
	finish_answer(caller);
}

/* Without chunks, a plain close would look like the end of the answer. */
void gc_caller_conn_abort(gc_caller_conn_t *caller)
{
	close_caller(caller, !caller->chunked);
}

size_t gc_caller_conn_pending(const gc_caller_conn_t *caller)
{
	return gc_socket_pending(caller->sock);
}

static void finish_answer(gc_caller_conn_t *caller)
{
	caller->data = NULL;
	caller->answering = false;
	caller->chunked = false;
	caller->touched = gc_clock_now(caller->front->clock);
	if (caller->close_after) {
		linger(caller);
		return;
	}
	caller->state = CALLER_IDLE;
	gc_http_message_reset(caller->message);
	gc_socket_pause(caller->sock, false);
	arm(caller);
	next_request(caller);
}

/* Serves a request that arrived while the one before it was served. */
static void next_request(gc_caller_conn_t *caller)
{
	GByteArray *ahead = caller->ahead;

	if (ahead->len == 0)
		return;
	caller->ahead = g_byte_array_new();
	take(caller, (gc_str_t){(const char *)ahead->data, ahead->len});
	g_byte_array_free(ahead, TRUE);
}

/* Closing at once could reset the answer away before the caller reads it. */
static void linger(gc_caller_conn_t *caller)
{
	caller->state = CALLER_LINGERING;
	gc_socket_pause(caller->sock, false);
	if (gc_socket_pending(caller->sock) == 0)
		gc_socket_finish(caller->sock);
	arm(caller);
}

/* One timer for each connection; it looks at the state when it fires. */
static void arm(gc_caller_conn_t *caller)
{
	gc_timer_set(caller->timer, time_left(caller));
}

static int64_t time_left(const gc_caller_conn_t *caller)
{
	struct timespec now = gc_clock_now(caller->front->clock);
	struct timespec from = caller->touched;
	int64_t limit = caller->limits.idle_timeout_ms;

	if (caller->state == CALLER_LINGERING) {
		limit = LINGER_MS;
	} else if (caller->state == CALLER_READING &&
		   gc_http_message_state(caller->message) !=
			   GC_HTTP_MESSAGE_BODY) {
		from = caller->arrived;
		limit = caller->limits.header_timeout_ms;
	}
	return limit - gc_ms_between(from, now);
}

/* True if the caller took some of a pending answer since the last look. */
static bool is_reading_answer(gc_caller_conn_t *caller)
{
	uint64_t sent = gc_socket_sent(caller->sock);
	bool progress = sent > caller->sent_before;

	caller->sent_before = sent;
	return progress && gc_socket_pending(caller->sock) > 0;
}

static void on_timer(void *ctx)
{
	gc_caller_conn_t *caller = ctx;

	if (caller->state == CALLER_SERVING)
		return;
	if (is_reading_answer(caller))
		caller->touched = gc_clock_now(caller->front->clock);
	if (time_left(caller) > 0)
		arm(caller);
	else if (caller->state == CALLER_READING)
		refuse(caller, 408, "the request did not arrive in time");
	else
		close_caller(caller, false);
}
