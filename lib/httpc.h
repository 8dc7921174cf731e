/* HTTP client on a tevent loop, by libcurl's multi interface. */
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

typedef struct gc_http_call_conf {
	const char *method; /* "GET", "POST", ... */
	const char *url;
	const char *peer; /* name for errors, e.g. the instance */
	const char *const *headers; /* "Name: value", ended by NULL; or NULL */
	gc_str_t body; /* copied */
	long connect_timeout_ms; /* 0: 1000 */
	long timeout_ms; /* of the whole call; 0: none */
	/*
	 * Set for requests that must not reach the peer twice. libcurl sends a
	 * request again when a reused connection closes without an answer, so
	 * such a call gets a connection of its own.
	 */
	bool send_once;
	/*
	 * Longest collected body in bytes; 0: no limit. A longer one ends the
	 * call with GC_ERR_TOO_LARGE and the body up to the limit.
	 */
	size_t max_body;
	/*
	 * Counts the bytes of requests and answers with their headers, also of
	 * calls that fail or are cancelled; NULL: not counted.
	 */
	gc_metric_t *bytes;
} gc_http_call_conf_t;

typedef struct gc_http_call_ops {
	/* Body bytes as they arrive; NULL collects them for done. */
	void (*data)(void *ctx, int status, gc_str_t data);
	/*
	 * The call has ended and the object is freed after the callback. err
	 * is NULL when a whole answer came, whatever its status; body is the
	 * collected body. sent tells if the request may have reached the peer:
	 * false only when no connection was made. Not called after a cancel.
	 */
	void (*done)(void *ctx, int status, gc_str_t body, bool sent,
		     const GError *err);
} gc_http_call_ops_t;

gc_httpc_t *gc_httpc_create(TALLOC_CTX *mem, struct tevent_context *ev);
void gc_httpc_destroy(gc_httpc_t *client);

/* Starts a call; its callbacks come from the loop, never from here. */
gc_http_call_t *gc_httpc_start(gc_httpc_t *client,
			       const gc_http_call_conf_t *conf,
			       const gc_http_call_ops_t *ops, void *ctx);
/* Ends the call and closes its connection; no callback follows. */
void gc_http_call_cancel(gc_http_call_t *call);
/* Stops and continues reading from the peer (back-pressure). */
void gc_http_call_pause(gc_http_call_t *call, bool pause);
/* A header of the answer; NULL if absent. Valid in data and done. */
const char *gc_http_call_header(gc_http_call_t *call, const char *name);

#endif
