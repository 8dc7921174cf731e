/* Client of the engine protocol (docs/design.md section 3.1). */
#ifndef GC_LIB_ENGINE_CLIENT_H
#define GC_LIB_ENGINE_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <talloc.h>
#include <tevent.h>

#include "core/str.h"
#include "lib/httpc.h"

/* One attempt: the connection that starts or attaches to a run. */
typedef struct gc_engine_client gc_engine_client_t;

typedef struct gc_engine_client_ops {
	/*
	 * The engine accepted. request is the body of the start request, for
	 * an attach only, else NULL.
	 */
	void (*run)(void *ctx, const char *run, uint64_t from, json_t *request);
	void (*token)(void *ctx, uint64_t offset, gc_str_t text);
	void (*end)(void *ctx, const char *reason, uint64_t tokens);
	/*
	 * The connection is gone; codes as in gc_stream_on_error, and
	 * GC_ERR_UNAVAILABLE if no connection was made for a start. Neither
	 * broken nor another callback follows after end.
	 */
	void (*broken)(void *ctx, const GError *err);
} gc_engine_client_ops_t;

typedef struct gc_engine_client_conf {
	struct tevent_context *ev;
	gc_httpc_t *http;
	gc_str_t name; /* of the instance, for errors */
	gc_str_t url;
	size_t max_event_bytes; /* a longer event is a protocol error */
} gc_engine_client_conf_t;

/* Starts a run; body is that of POST /v1/runs. */
gc_engine_client_t *gc_engine_client_start(TALLOC_CTX *mem,
					   const gc_engine_client_conf_t *conf,
					   json_t *body, uint64_t from,
					   const gc_engine_client_ops_t *ops,
					   void *ctx);
/* Attaches to a run and reads from offset from. */
gc_engine_client_t *gc_engine_client_attach(TALLOC_CTX *mem,
					    const gc_engine_client_conf_t *conf,
					    const char *run, uint64_t from,
					    const gc_engine_client_ops_t *ops,
					    void *ctx);
/* Stops and continues reading (back-pressure). */
void gc_engine_client_pause(gc_engine_client_t *engine, bool pause);
/*
 * Closes the connection and frees the object; may be called from inside its
 * callbacks. With end_run the engine is also told to cancel the run; if the
 * run's id isn't known yet, the connection stays until it is.
 */
void gc_engine_client_cancel(gc_engine_client_t *engine, bool end_run);

#endif
