/*
 * Decisions of one generation: attempts on engines, resume, delivery.
 *
 * The host reports events with gc_stream_on_*; the object answers with
 * actions through gc_stream_ops. It does no I/O and reads no clock but the
 * one passed in. Actions may be called from inside any event function; the
 * host must not destroy the object from inside an action.
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
	GC_ENGINE_OK, /* yielded a token */
	GC_ENGINE_STALLED,
	GC_ENGINE_FAILED, /* refused, reset or broke the protocol */
} gc_engine_verdict_t;

typedef struct gc_stream_ops {
	/*
	 * Chooses an engine for a new run, none of avoid; writes its name.
	 * False if no engine is available now.
	 */
	bool (*pick)(void *ctx, const gc_str_t *avoid, size_t n_avoid,
		     char engine[GC_NAME_MAX]);
	/* Starts a run with the prompt and tokens [0, from) as its prefix. */
	void (*start)(void *ctx, uint32_t attempt, const char *engine,
		      uint64_t from);
	/*
	 * Attaches to a run and reads tokens from offset from on. The stream
	 * passes 0, because it compares the run with the tokens it holds.
	 */
	void (*attach)(void *ctx, uint32_t attempt, const char *engine,
		       const char *run, uint64_t from);
	/*
	 * Closes the attempt's connection; end_run also cancels the run. Every
	 * attempt ends with gc_stream_on_broken or with this. A broken attempt
	 * whose run may go on is cancelled too, with end_run set: the host
	 * keeps engine and run id of an attempt as long as the stream.
	 */
	void (*cancel)(void *ctx, uint32_t attempt, bool end_run);
	/* The next token of the answer; cursor names the state behind it. */
	void (*deliver)(void *ctx, gc_str_t token, const gc_cursor_t *cursor);
	/* The answer is whole. reason is the engine's ("length", "stop"). */
	void (*finish)(void *ctx, const char *reason);
	/* The answer can't go on; nothing follows. */
	void (*fail)(void *ctx, const GError *err);
	/*
	 * False if the caller has hung up: the stream is then over, as after
	 * gc_stream_on_caller_gone.
	 */
	bool (*caller_connected)(void *ctx);
	/*
	 * Calls gc_stream_on_timer at this time, instead of an earlier order;
	 * NULL: not at all.
	 */
	void (*set_timer)(void *ctx, const struct timespec *at);
	/* Silence after which the engine is suspected, ms. */
	int64_t (*stall_timeout_ms)(void *ctx, const char *engine,
				    bool first_token);
	/* What this stream learnt about an engine. */
	void (*report)(void *ctx, const char *engine,
		       gc_engine_verdict_t verdict);
} gc_stream_ops_t;

typedef struct gc_stream_conf {
	const gc_clock_t *clock;
	gc_policy_t policy;
	uint8_t request[GC_REQUEST_ID_LEN];
	uint64_t max_tokens; /* of the whole response; 0: no limit */
	uint32_t max_attempts; /* runs started; attaching is not counted */
	struct timespec deadline; /* monotonic; all zero: none */
} gc_stream_conf_t;

gc_stream_t *gc_stream_create(TALLOC_CTX *mem, const gc_stream_conf_t *conf,
			      const gc_stream_ops_t *ops, void *ctx);
void gc_stream_destroy(gc_stream_t *stream);

/* Begins a new generation. */
void gc_stream_begin(gc_stream_t *stream);
/*
 * Goes on behind the cursor: attaches to its run from offset 0, checks the
 * hash, then delivers from cursor->offset on. prefix holds what the caller
 * sent back (n tokens, may be 0), used when the run is gone.
 */
void gc_stream_resume(gc_stream_t *stream, const gc_cursor_t *cursor,
		      const gc_str_t *prefix, size_t n);

/* The engine accepted the attempt; its first token has offset from. */
void gc_stream_on_run(gc_stream_t *stream, uint32_t attempt, const char *run,
		      uint64_t from);
void gc_stream_on_token(gc_stream_t *stream, uint32_t attempt, uint64_t offset,
			gc_str_t token);
/* tokens counts the whole response, prefix included. */
void gc_stream_on_end(gc_stream_t *stream, uint32_t attempt, const char *reason,
		      uint64_t tokens);
/*
 * The attempt's connection is gone. GC_ERR_IO or GC_ERR_TIMEOUT: cut;
 * GC_ERR_NOT_FOUND: the engine doesn't know the run; GC_ERR_OVERLOADED: it
 * refused; GC_ERR_PROTOCOL: it sent garbage.
 */
void gc_stream_on_broken(gc_stream_t *stream, uint32_t attempt,
			 const GError *err);
void gc_stream_on_timer(gc_stream_t *stream);
/* The caller hung up: cancels all runs; finish and fail don't follow. */
void gc_stream_on_caller_gone(gc_stream_t *stream);

/*
 * Tokens held so far and token i of them; the view is valid until the next
 * event. All of them are delivered or held by the caller, except while the
 * run of a cursor is checked.
 */
uint64_t gc_stream_tokens(const gc_stream_t *stream);
gc_str_t gc_stream_token(const gc_stream_t *stream, uint64_t i);
/* True after finish, fail or caller_gone. */
bool gc_stream_has_ended(const gc_stream_t *stream);

#endif
