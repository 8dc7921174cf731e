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

/* Every function may destroy the socket. */
typedef struct gc_socket_ops {
	void (*connected)(void *ctx); /* may be NULL */
	void (*received)(void *ctx, gc_str_t data);
	/* The peer ended its side (error 0) or the connection broke (errno). */
	void (*ended)(void *ctx, int error);
	/* All bytes were handed to the kernel; may be NULL. */
	void (*drained)(void *ctx);
} gc_socket_ops_t;

/* How the loss of a peer that falls silent is noticed. */
typedef struct gc_socket_liveness {
	unsigned int keepalive_s; /* idle time before and between probes */
	unsigned int unacked_ms; /* longest time without acknowledgement */
} gc_socket_liveness_t;

/* Starts a connection to "IP:PORT"; NULL if the address can't be used. */
gc_socket_t *gc_socket_connect(TALLOC_CTX *mem, struct tevent_context *ev,
			       gc_str_t address,
			       const gc_socket_liveness_t *liveness,
			       const gc_socket_ops_t *ops, void *ctx);
/* Takes over an accepted descriptor. */
gc_socket_t *gc_socket_adopt(TALLOC_CTX *mem, struct tevent_context *ev, int fd,
			     const gc_socket_ops_t *ops, void *ctx);
/* Closes the connection; no callback follows. Safe inside a callback. */
void gc_socket_destroy(gc_socket_t *socket);
/* The same, but resets the connection, so that the end looks like a failure. */
void gc_socket_reset(gc_socket_t *socket);
/* Another user takes the connection over. */
void gc_socket_set_ops(gc_socket_t *socket, const gc_socket_ops_t *ops,
		       void *ctx);
/* Sends what the kernel takes and keeps the rest. */
void gc_socket_send(gc_socket_t *socket, gc_str_t data);
/* Ends the own side; call it when no byte is pending. */
void gc_socket_finish(gc_socket_t *socket);
/* Bytes that the kernel has not taken yet. */
size_t gc_socket_pending(const gc_socket_t *socket);
/* Bytes that the kernel has taken since the connection was made. */
uint64_t gc_socket_sent(const gc_socket_t *socket);
/* Stops and continues reading (back-pressure). */
void gc_socket_pause(gc_socket_t *socket, bool pause);

/* Takes each accepted descriptor. */
typedef void (*gc_listener_accept_t)(void *ctx, int fd);

/* Port 0 chooses a free one. Errors: GC_ERR_IO. */
gc_listener_t *gc_listener_create(TALLOC_CTX *mem, struct tevent_context *ev,
				  const char *address, uint16_t port,
				  gc_listener_accept_t accept, void *ctx,
				  GError **err);
uint16_t gc_listener_port(const gc_listener_t *listener);

#endif
