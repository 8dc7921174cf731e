/* Non-blocking TCP connections and listeners on a tevent loop. */
#ifndef GC_LIB_SOCKET_H
#define GC_LIB_SOCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/str.h"

typedef struct gc_socket gc_socket_t;
typedef struct gc_listener gc_listener_t;

/* Within it, a connection whose first packet was taken is established: a round trip
 * of a caller, and the delay of the kernel of a busy machine. */
#define GC_HANDSHAKE_MS 50

/* Every callback may destroy the socket. */
typedef struct gc_socket_ops {
	void (*connected)(void *ctx); /* may be NULL */
	void (*received)(void *ctx, gc_str_t data);
	/* Closed by the peer (error 0) or failed (errno). */
	void (*closed)(void *ctx, int error);
	/* The kernel has accepted all sent bytes; may be NULL. */
	void (*drained)(void *ctx);
	/* Data came after gc_socket_stop_reading; may be NULL if that is never
	 * called. From then on, closed isn't called for the peer's close. */
	void (*unread)(void *ctx);
} gc_socket_ops_t;

/* Detection of a peer that became unreachable; 0 disables a member. */
typedef struct gc_socket_liveness {
	/* Idle time before and between keepalive probes, which a host that has
	 * lost the connection answers with a reset. */
	unsigned int keepalive_s;
	/* Longest time that sent data, or a probe, may stay unacknowledged. */
	unsigned int unacked_ms;
} gc_socket_liveness_t;

/* What the peer's host has not acknowledged. */
typedef struct gc_socket_delivery {
	size_t waiting; /* bytes, with those that are not sent yet */
	bool in_flight; /* some are sent; else the peer's window is full */
} gc_socket_delivery_t;

/*
 * Starts a connection to "IP:PORT" from the local IP `source` (NULL: any). NULL
 * if an address is invalid or no connection can be opened.
 */
gc_socket_t *gc_socket_connect(TALLOC_CTX *mem, struct tevent_context *ev,
			       gc_str_t address, const char *source,
			       const gc_socket_liveness_t *liveness,
			       const gc_socket_ops_t *ops, void *ctx);
/* Takes ownership of an accepted descriptor. */
gc_socket_t *gc_socket_adopt(TALLOC_CTX *mem, struct tevent_context *ev, int fd,
			     const gc_socket_ops_t *ops, void *ctx);
/* Closes the connection; no callback follows. Safe inside a callback. */
void gc_socket_destroy(gc_socket_t *sock);
/* The same, but sends a TCP reset, so that the peer sees a failure. The kernel
 * drops the bytes that are not acknowledged. */
void gc_socket_reset(gc_socket_t *sock);
/* While set, each close resets the connection, also that by the kernel when the
 * process ends. */
void gc_socket_set_reset_on_close(gc_socket_t *sock, bool reset);
/* Replaces the callbacks and their ctx. */
void gc_socket_set_ops(gc_socket_t *sock, const gc_socket_ops_t *ops,
		       void *ctx);
/*
 * Sends what the kernel accepts and buffers the rest. If the peer of an outgoing
 * connection closes it before it has taken all, what it sent before is received
 * first, and closed reports the error; the unsent bytes remain.
 */
void gc_socket_send(gc_socket_t *sock, gc_str_t data);
/* Closes the sending side; call it when gc_socket_unsent_bytes is 0. */
void gc_socket_shutdown_write(gc_socket_t *sock);
/* Bytes that the kernel has not accepted yet. */
size_t gc_socket_unsent_bytes(const gc_socket_t *sock);
/*
 * True if the result of the connect, received bytes or the peer's close were
 * not read yet.
 */
bool gc_socket_has_unread(const gc_socket_t *sock);
gc_socket_delivery_t gc_socket_delivery(const gc_socket_t *sock);
/* To the peer and back, as measured on an open connection; 0 if that isn't known. */
int64_t gc_socket_round_trip_ms(const gc_socket_t *sock);
/* Bytes that the kernel has accepted since the connection was opened. */
uint64_t gc_socket_sent_bytes(const gc_socket_t *sock);
/*
 * Bounds the bytes that the kernel accepts beyond those in flight. The bytes in flight
 * aren't bounded, so that distant peers are sent as much at once as before.
 */
void gc_socket_set_unsent_max(gc_socket_t *sock, int bytes);
/* Most bytes of one read of all sockets of this thread; 0: the default, which is also the
 * most. */
void gc_socket_set_read_max(size_t bytes);
/* Stops or resumes reading (back-pressure). */
void gc_socket_set_paused(gc_socket_t *sock, bool paused);

/*
 * From now on, received data stays unread in the kernel; the peer's close is still
 * reported if there is none. Destroying the socket while there is some resets the
 * connection, and the peer may lose what it hasn't acknowledged.
 */
void gc_socket_stop_reading(gc_socket_t *sock);
size_t gc_socket_unread_bytes(const gc_socket_t *sock);
/* True if the peer has closed or reset the connection, also behind unread data. */
bool gc_socket_is_peer_closed(const gc_socket_t *sock);

/* Receives each accepted descriptor and owns it. */
typedef void (*gc_listener_accept_t)(void *ctx, int fd);

/* Port 0 selects a free port. Errors: GC_ERR_IO. */
gc_listener_t *gc_listener_create(TALLOC_CTX *mem, struct tevent_context *ev,
				  const char *address, uint16_t port,
				  gc_listener_accept_t accept, void *ctx,
				  GError **err);
/*
 * Takes no further connections, which their clients try again; goes on to accept those
 * that are being established. To be called GC_HANDSHAKE_MS before gc_listener_close:
 * one that the kernel establishes between the last accept and the close is reset.
 */
void gc_listener_drop_new(gc_listener_t *listener);
/* Accepts all waiting connections, then refuses new ones. */
void gc_listener_close(gc_listener_t *listener);
/* The same as gc_listener_drop_new for a listening socket. Without effect where the filter
 * can't be set. */
void gc_socket_drop_new_connections(int fd);
uint16_t gc_listener_port(const gc_listener_t *listener);

#endif
