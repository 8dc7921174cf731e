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

/* One connection to an engine that starts a run or attaches to one. */
typedef struct gc_engine_client gc_engine_client_t;

typedef struct gc_engine_client_ops {
	/*
	 * The engine accepted the request; the first token has offset from.
	 * start_request is the body of the request that started the run if the
	 * engine sent it (on an attach), else NULL. It is valid during the
	 * call.
	 */
	void (*run)(void *ctx, const char *run, uint64_t from,
		    json_t *start_request);
	void (*token)(void *ctx, uint64_t offset, gc_str_t text);
	/* The run is complete; tokens is its length including the prefix. */
	void (*end)(void *ctx, const char *reason, uint64_t tokens);
	/*
	 * The request failed; codes as in gc_stream_on_error, and
	 * GC_ERR_UNAVAILABLE if a start could not connect. No callback follows
	 * after end or error.
	 */
	void (*error)(void *ctx, const GError *err);
} gc_engine_client_ops_t;

typedef struct gc_engine_client_conf {
	struct tevent_context *ev;
	gc_httpc_t *http;
	gc_str_t name; /* of the instance, for error messages */
	gc_str_t url;
	size_t max_event_bytes; /* a longer event is a protocol error */
} gc_engine_client_conf_t;

/*
 * Starts a run with POST /v1/runs. from is the number of prefix tokens in body.
 * The client belongs to mem.
 */
gc_engine_client_t *gc_engine_client_start(TALLOC_CTX *mem,
					   const gc_engine_client_conf_t *conf,
					   json_t *body, uint64_t from,
					   const gc_engine_client_ops_t *ops,
					   void *ctx);
/*
 * Attaches to a run and reads its tokens from offset from on. The client
 * belongs to mem.
 */
gc_engine_client_t *gc_engine_client_attach(TALLOC_CTX *mem,
					    const gc_engine_client_conf_t *conf,
					    const char *run, uint64_t from,
					    const gc_engine_client_ops_t *ops,
					    void *ctx);
/* Pauses or resumes reading from the engine (back-pressure). */
void gc_engine_client_set_paused(gc_engine_client_t *client, bool paused);
/*
 * Closes the connection and frees the client; may be called from inside its
 * callbacks. With end_run, also cancels the run on the engine; if the run id
 * isn't known yet, the connection stays open until it arrives, 60 s at most.
 */
void gc_engine_client_cancel(gc_engine_client_t *client, bool end_run);

#endif
