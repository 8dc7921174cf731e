/* HTTP client on a tevent loop, built on libcurl's multi interface. */
#ifndef GC_LIB_HTTPC_H
#define GC_LIB_HTTPC_H

#include <stdbool.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/str.h"
#include "lib/metrics.h"

typedef struct gc_httpc gc_httpc_t;
typedef struct gc_http_call gc_http_call_t;

/* Most bytes of a body that are collected, unless a call has its own limit. */
#define GC_HTTPC_MAX_BODY ((size_t)16 << 20)

typedef struct gc_http_call_conf {
	const char *method; /* "GET", "POST", ... */
	const char *url;
	const char *peer; /* named in errors, e.g. an instance; NULL: url */
	const char *const *headers; /* "Name: value" ... NULL; or NULL */
	gc_str_t body; /* copied */
	long connect_timeout_ms; /* 0: 1000 */
	long timeout_ms; /* of the call including the response; 0: none */
	/*
	 * Set for requests that must not reach the peer twice. libcurl repeats
	 * a request if a reused connection closes without a response; with
	 * send_once the call opens a new connection.
	 */
	bool send_once;
	/*
	 * Closes the connection after the call. Responses of some peers don't
	 * name their request; a second copy that arrives late on a connection
	 * in use again would be taken for the next response. Implies send_once.
	 */
	bool single_use;
	const char *source; /* local IP of the connection; NULL: any */
	/*
	 * Most bytes of the response body that are collected; 0:
	 * GC_HTTPC_MAX_BODY. A longer body ends the call with
	 * GC_ERR_TOO_LARGE and the body up to the limit.
	 */
	size_t max_body;
	/*
	 * Counter of the bytes of the request and the response, headers
	 * included, also if the call fails or is cancelled; NULL: none.
	 */
	gc_metric_t *bytes;
} gc_http_call_conf_t;

typedef struct gc_http_call_ops {
	/*
	 * Called with body data as it arrives. If NULL, the body is collected
	 * for done.
	 */
	void (*data)(void *ctx, int status, gc_str_t data);
	/*
	 * Called when the call has ended; the call is freed afterwards. err is
	 * NULL if a complete response arrived, whatever its status. body is the
	 * collected body. sent is false only if no connection was made; else
	 * the request may have reached the peer. Not called after a cancel.
	 */
	void (*done)(void *ctx, int status, gc_str_t body, bool sent,
		     const GError *err);
} gc_http_call_ops_t;

gc_httpc_t *gc_httpc_create(TALLOC_CTX *mem, struct tevent_context *ev);
void gc_httpc_destroy(gc_httpc_t *client);

/*
 * Starts a call. Callbacks run from the event loop, never from inside
 * gc_httpc_start.
 */
gc_http_call_t *gc_httpc_start(gc_httpc_t *client,
			       const gc_http_call_conf_t *conf,
			       const gc_http_call_ops_t *ops, void *ctx);
/* Cancels the call and closes its connection; no callback follows. */
void gc_http_call_cancel(gc_http_call_t *call);
/* Pauses or resumes reading from the peer (back-pressure). */
void gc_http_call_pause(gc_http_call_t *call, bool pause);
/* A response header; NULL if absent. Only for the data and done callbacks. */
const char *gc_http_call_header(gc_http_call_t *call, const char *name);

#endif
