/* Internals shared by lib/caller_listener.c and lib/caller_response.c. */
#ifndef GC_LIB_CALLER_LISTENER_PRIVATE_H
#define GC_LIB_CALLER_LISTENER_PRIVATE_H

#include "lib/caller_listener.h"
#include "lib/socket.h"
#include "lib/timer.h"

typedef enum conn_state {
	CONN_IDLE, /* between requests */
	CONN_READING, /* receiving a request */
	CONN_SERVING, /* the handler has the request */
	CONN_LINGERING, /* responded; waits for the caller to close */
} conn_state_t;

/* Of the first byte of a request. */
typedef struct arrival {
	struct timespec at;
	gc_request_limits_t limits; /* in force then */
} arrival_t;

struct gc_caller_conn {
	gc_caller_listener_t *listener;
	gc_caller_conn_t *prev, *next;
	gc_socket_t *sock;
	gc_http_message_t *message;
	GByteArray *pipelined;
	arrival_t next_arrival; /* of the pipelined bytes */
	conn_state_t state;
	void *data;
	struct timespec arrived; /* first byte of the request */
	/* When it could be received: a pipelined one waits for the response to
	 * the one before it. */
	struct timespec head_started;
	/* Last received byte or end of a response. */
	struct timespec last_activity;
	uint64_t last_sent_bytes; /* sent bytes at the timer's last expiry */
	uint64_t request_bytes; /* received of the request in progress */
	uint64_t dropped_bytes; /* received after a rejection */
	/* For the log: why the connection ends, unsent and unread bytes then. */
	const char *end_reason;
	size_t unsent_at_end;
	size_t unread_at_end;
	gc_timer_t *timer;
	gc_buffer_account_t *account; /* NULL without a bound */
	uint64_t counted_sent; /* sent bytes that count as progress already */
	uint64_t announced; /* length of the body that is received, or 0 */
	/* Of the last request, if its response is not sent yet. */
	gc_str_t unsent_id;
	gc_request_limits_t limits;
	int64_t round_trip_ms;
	bool round_trip_known;
	bool known; /* see gc_caller_listener_ops_t */
	bool chunked;
	bool responding; /* a response has been started */
	bool head_request;
	bool close_after_response;
	bool rejected; /* the request, before its end was received */
	bool has_unread; /* bytes behind the last request */
	bool upload_delayed; /* not read for the bound's sake */
	bool extended; /* the time for the request, by UNREAD_RECHECK_MS */
};

struct gc_caller_listener {
	struct tevent_context *ev;
	gc_timers_t *timers;
	gc_buffer_bound_t *bound; /* NULL: none */
	const gc_clock_t *clock;
	gc_listener_t *tcp_listener;
	gc_timer_t *close_timer; /* closes tcp_listener */
	gc_caller_listener_ops_t ops;
	void *ctx;
	gc_caller_conn_t *conns;
	size_t n_unknown; /* of conns */
	int64_t idle_grace_ms;
	uint16_t port;
	bool closing;
};

/* To be called at the end of each response; may free the connection. */
void gc_caller_conn_finish_response(gc_caller_conn_t *conn);
/* To be called when bytes were sent. */
void gc_caller_conn_count_unsent(gc_caller_conn_t *conn);

#endif
