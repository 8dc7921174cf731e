/*
 * HTTP/1.1 listener for callers. Delivers complete requests within the limits,
 * reports at once when a caller disconnects, and sends complete or chunked
 * responses.
 */
#ifndef GC_LIB_CALLER_LISTENER_H
#define GC_LIB_CALLER_LISTENER_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/clock.h"
#include "core/routes.h"
#include "core/str.h"
#include "lib/buffer_bound.h"
#include "lib/http_message.h"
#include "lib/timer.h"

typedef struct gc_caller_listener gc_caller_listener_t;
/* A caller's connection. */
typedef struct gc_caller_conn gc_caller_conn_t;

typedef struct gc_caller_listener_ops {
	/*
	 * A complete request, to be responded to now or later. The message is
	 * valid until the end of the response or the call of disconnected.
	 */
	void (*request)(void *ctx, gc_caller_conn_t *conn,
			const gc_http_message_t *request);
	/*
	 * The caller disconnected before the end of the response; conn is
	 * freed after the callback.
	 */
	void (*disconnected)(void *ctx, gc_caller_conn_t *conn);
	/* The kernel has accepted all bytes of a streamed response so far. */
	void (*drained)(void *ctx, gc_caller_conn_t *conn);
	/* Returns the limits for a new connection or request. */
	gc_request_limits_t (*limits)(void *ctx);
	/* False: a connection from this IP is marked as unknown. The handler gets its
	 * request without the body, and it is closed after the response. NULL: all
	 * are known. */
	bool (*knows)(void *ctx, gc_str_t ip);
	/* The following are only called with a bound, see
	 * gc_caller_listener_set_bound. */

	/* Id of the request; empty if it has none. */
	gc_str_t (*request_id)(void *ctx, const gc_http_message_t *request);
	/* Calls gc_caller_conn_hold for what waits for a server. */
	void (*refresh)(void *ctx, gc_caller_conn_t *conn);
	/* The server may be read again, see gc_caller_conn_stop_source. */
	void (*resume_source)(void *ctx, gc_caller_conn_t *conn);
	/* The request is to be ended, as its caller or server takes too little. */
	void (*end_slow)(void *ctx, gc_caller_conn_t *conn);
} gc_caller_listener_ops_t;

/* ctx is passed to the callbacks. Errors: GC_ERR_IO. */
gc_caller_listener_t *gc_caller_listener_create(
	TALLOC_CTX *mem, struct tevent_context *ev, gc_timers_t *timers,
	const gc_clock_t *clock, const char *address, uint16_t port,
	const gc_caller_listener_ops_t *ops, void *ctx, GError **err);
uint16_t gc_caller_listener_port(const gc_caller_listener_t *listener);
/*
 * Idle connections are closed this long after their idle timeout. Callers use a
 * longer timeout as soon as the operator's change is confirmed, which may be
 * before it reaches this daemon.
 */
void gc_caller_listener_set_idle_grace(gc_caller_listener_t *listener,
				       int64_t ms);
/* Counts what is buffered for connections from now on. The bound has to outlive the
 * listener. */
void gc_caller_listener_set_bound(gc_caller_listener_t *listener,
				  gc_buffer_bound_t *bound);
/*
 * From now on, each connection is closed after the response to the last request
 * that was received on it.
 */
void gc_caller_listener_set_closing(gc_caller_listener_t *listener);
/* Takes no further connections, accepts those that are being established, and refuses
 * new ones after GC_HANDSHAKE_MS. */
void gc_caller_listener_stop_accepting(gc_caller_listener_t *listener);
/*
 * Connections with an unanswered request, bytes of one that were not read yet,
 * or unsent response bytes.
 */
size_t gc_caller_listener_count_busy(const gc_caller_listener_t *listener);

/* The handler's object for the request in progress. */
void gc_caller_conn_set_data(gc_caller_conn_t *conn, void *data);
void *gc_caller_conn_data(const gc_caller_conn_t *conn);
/* See gc_caller_listener_ops_t.knows. */
bool gc_caller_conn_is_known(const gc_caller_conn_t *conn);
/* Arrival of the request's first byte, on the listener's clock. */
struct timespec gc_caller_conn_arrived(const gc_caller_conn_t *conn);
/* See gc_socket_round_trip_ms; measured once for the connection. */
int64_t gc_caller_conn_round_trip_ms(gc_caller_conn_t *conn);
/*
 * Sends a complete response. head holds further header lines, each ended by
 * CRLF; Content-Length and Connection are added.
 */
void gc_caller_conn_respond(gc_caller_conn_t *conn, int status, gc_str_t head,
			    gc_str_t body);
/*
 * Starts a response of unknown length, ended by gc_caller_conn_end_stream. It
 * is chunked, or for HTTP/1.0 callers ended by closing the connection.
 */
void gc_caller_conn_begin_stream(gc_caller_conn_t *conn, int status,
				 gc_str_t head);
void gc_caller_conn_send_data(gc_caller_conn_t *conn, gc_str_t data);
void gc_caller_conn_end_stream(gc_caller_conn_t *conn);
/* Aborts a started response so that it can't appear complete. */
void gc_caller_conn_abort(gc_caller_conn_t *conn);
/* Response bytes that the kernel has not accepted yet. */
size_t gc_caller_conn_unsent_bytes(const gc_caller_conn_t *conn);
/* What is buffered for the request in progress, until its response ends. Ignored
 * without a bound, as the next two. */
void gc_caller_conn_hold(gc_caller_conn_t *conn, gc_held_part_t part,
			 size_t bytes);
/* The same for the unsent bytes of the request, with those that the server has taken
 * since the last call. */
void gc_caller_conn_hold_for_server(gc_caller_conn_t *conn, size_t unsent,
				    uint64_t taken);
/* See gc_buffer_stop_source. */
bool gc_caller_conn_stop_source(gc_caller_conn_t *conn);
/* Unsent bytes above which the server isn't to be read; fallback without a bound. */
size_t gc_caller_conn_allowance(const gc_caller_conn_t *conn, size_t fallback);

#endif
