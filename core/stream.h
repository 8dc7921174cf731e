/*
 * State machine of one generation: attempts on engines, failover, resume and
 * delivery of tokens to the caller.
 *
 * The code that uses it, called the host here, reports events with
 * gc_stream_on_* and implements the actions in gc_stream_ops. The state machine
 * does no I/O and reads no clock but the one passed in. Any event function may
 * call actions; an action must not destroy the object.
 */
#ifndef GC_CORE_STREAM_H
#define GC_CORE_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "core/clock.h"
#include "core/cursor.h"
#include "core/str.h"
#include "core/types.h"

typedef struct gc_stream gc_stream_t;

typedef enum gc_engine_verdict {
	GC_ENGINE_OK, /* produced a token */
	GC_ENGINE_STALLED, /* no event within the stall timeout */
	GC_ENGINE_FAILED, /* refused, reset or broke the protocol */
} gc_engine_verdict_t;

typedef struct gc_stream_ops {
	/*
	 * Picks an engine that is not in avoid for a new run and writes its
	 * name. Returns false if no engine is available now.
	 */
	bool (*pick)(void *ctx, const gc_str_t *avoid, size_t n_avoid,
		     char engine[GC_NAME_MAX]);
	/*
	 * Starts a run with the prompt and tokens [0, from) as its prefix.
	 * Attempt numbers increase, also when another daemon resumes.
	 */
	void (*start)(void *ctx, uint32_t attempt, const char *engine,
		      uint64_t from);
	/*
	 * Attaches to an existing run and reads its tokens, starting at offset
	 * from. This is always 0, because the run is compared with the tokens
	 * held.
	 */
	void (*attach)(void *ctx, uint32_t attempt, const char *engine,
		       const char *run, uint64_t from);
	/*
	 * Closes the attempt's connection; end_run also cancels the run at the
	 * engine. Every attempt ends with gc_stream_on_error or with this. A
	 * failed attempt whose run may still be active is cancelled as well,
	 * with end_run set, so the host keeps the engine and run id of each
	 * attempt as long as the stream.
	 */
	void (*cancel)(void *ctx, uint32_t attempt, bool end_run);
	/* Delivers the next token; cursor resumes after it. */
	void (*deliver)(void *ctx, gc_str_t token, const gc_cursor_t *cursor);
	/*
	 * The response is complete. reason is the engine's finish reason
	 * ("length", "stop").
	 */
	void (*finish)(void *ctx, const char *reason);
	/* The generation failed; no action follows. The stream owns err. */
	void (*fail)(void *ctx, const GError *err);
	/*
	 * Returns false if the caller has disconnected. The stream then ends
	 * as after gc_stream_on_caller_disconnected.
	 */
	bool (*caller_connected)(void *ctx);
	/*
	 * Replaces the timer: gc_stream_on_timer is to be called at this
	 * monotonic time, or not at all if NULL.
	 */
	void (*set_timer)(void *ctx, const struct timespec *at);
	/*
	 * Returns the time without an event after which an engine counts as
	 * stalled, in ms; first_token is true until the run has produced a
	 * token.
	 */
	int64_t (*stall_timeout_ms)(void *ctx, const char *engine,
				    bool first_token);
	/* Reports the outcome of an attempt for the engine's health state. */
	void (*report)(void *ctx, const char *engine,
		       gc_engine_verdict_t verdict);
} gc_stream_ops_t;

typedef struct gc_stream_conf {
	const gc_clock_t *clock;
	gc_policy_t policy;
	uint8_t request[GC_REQUEST_ID_LEN];
	uint64_t max_tokens; /* of the whole response; 0: no limit */
	uint32_t max_attempts; /* runs started; attaching is not counted */
	struct timespec deadline; /* monotonic; all zero: no deadline */
} gc_stream_conf_t;

/* Copies conf; the clock it points to, ops and ctx must outlive the stream. */
gc_stream_t *gc_stream_create(TALLOC_CTX *mem, const gc_stream_conf_t *conf,
			      const gc_stream_ops_t *ops, void *ctx);
void gc_stream_destroy(gc_stream_t *stream);

/* Starts a new generation. */
void gc_stream_begin(gc_stream_t *stream);
/*
 * Resumes a generation after the cursor: attaches to its run from offset 0,
 * compares the hash of the first cursor->offset tokens, then delivers the
 * following ones. prefix holds the n tokens that the caller sent back (n may
 * be 0). If the run is lost and they match the cursor, a new run continues
 * from them. The tokens are copied.
 */
void gc_stream_resume(gc_stream_t *stream, const gc_cursor_t *cursor,
		      const gc_str_t *prefix, size_t n);

/* The engine accepted the attempt; the first token has offset from. */
void gc_stream_on_run(gc_stream_t *stream, uint32_t attempt, const char *run,
		      uint64_t from);
void gc_stream_on_token(gc_stream_t *stream, uint32_t attempt, uint64_t offset,
			gc_str_t token);
/* The run is complete; tokens is its length including the prefix. */
void gc_stream_on_end(gc_stream_t *stream, uint32_t attempt, const char *reason,
		      uint64_t tokens);
/*
 * The attempt failed and its connection is closed. GC_ERR_IO or
 * GC_ERR_TIMEOUT: connection lost; GC_ERR_LOST: connection lost after the
 * start request and before a response; GC_ERR_NOT_FOUND: run unknown to the
 * engine; GC_ERR_OVERLOADED: refused; GC_ERR_PROTOCOL: invalid response.
 */
void gc_stream_on_error(gc_stream_t *stream, uint32_t attempt,
			const GError *err);
void gc_stream_on_timer(gc_stream_t *stream);
/*
 * The connection was closed by the caller. Cancels all runs; finish and fail
 * are not called.
 */
void gc_stream_on_caller_disconnected(gc_stream_t *stream);

/*
 * Number of tokens held, and token i of them; the view is valid until the next
 * event. The caller has all of them, except while the run of a cursor is
 * being verified.
 */
uint64_t gc_stream_token_count(const gc_stream_t *stream);
gc_str_t gc_stream_token(const gc_stream_t *stream, uint64_t i);
/* True after finish or fail, or once the caller has disconnected. */
bool gc_stream_has_ended(const gc_stream_t *stream);

#endif
