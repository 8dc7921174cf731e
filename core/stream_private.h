/*
 * Internal state and functions of gc_stream_t, shared by core/stream*.c.
 *
 * At most two attempts are live: the primary and, under the latency policy
 * while the primary is stalled, a hedge on another engine. The prefix of a
 * started run is exactly the tokens held. A run that is attached to is read
 * from offset 0 and compared with the tokens held, because a restarted engine
 * may reuse a run id. The first attempt that produces a new token cancels the
 * other one, so all tokens held are a prefix of one run's output.
 */
#ifndef GC_CORE_STREAM_PRIVATE_H
#define GC_CORE_STREAM_PRIVATE_H

#include "core/error.h"
#include "core/stream.h"

/* Engines that end with a run before its first token, until the generation is
 * taken for the cause. */
#define MAX_ENGINES_ENDED 3
/* Reattachments to a run after lost connections, without a token in between. */
#define MAX_REATTACHES	 1
#define ERR_RUN_MISMATCH "tokens of the run differ from the delivered tokens"
/* Finish reason if all tokens arrived but the end event did not. */
#define FINISH_REASON_LENGTH "length"

typedef enum attempt_state {
	ATTEMPT_UNUSED,
	ATTEMPT_STARTING, /* no run event received yet */
	ATTEMPT_STREAMING,
} attempt_state_t;

typedef struct attempt {
	attempt_state_t state;
	uint32_t number;
	char engine[GC_NAME_MAX];
	char run[GC_RUN_ID_MAX]; /* run id; "" until known */
	uint64_t first_offset; /* requested from the engine */
	uint64_t next_offset; /* of the next token */
	bool attached; /* to an existing run; otherwise the run was started */
	bool has_produced; /* the run has produced a token */
	bool reported_ok; /* GC_ENGINE_OK, since the last stall */
	bool probing; /* reattached because the run stalled */
	bool stalled; /* past its stall timeout; another attempt is due */
	bool last_resort; /* no further run may be started */
	uint32_t n_reattached; /* since the last token */
	struct timespec last_activity; /* start of the stall timeout */
} attempt_t;

struct gc_stream {
	gc_stream_conf_t conf;
	const gc_stream_ops_t *ops;
	void *ctx;
	bool ended;
	bool attempted; /* an engine was tried before */

	attempt_t primary;
	attempt_t hedge;
	uint32_t last_attempt_number;
	uint32_t n_runs_started;
	uint32_t n_engines_ended; /* with a run that had produced no token */

	/* Tokens held, concatenated, with the end offset of each. */
	char *token_bytes;
	uint64_t *token_ends;
	uint64_t n_tokens;
	uint64_t hash; /* of the tokens held */

	/* Verification of the run that the resume cursor names. */
	bool verifying;
	gc_cursor_t cursor;
	gc_str_t *prefix; /* cursor.offset tokens, if has_prefix */
	bool has_prefix; /* the caller sent tokens that match the cursor */
	uint32_t n_verify_attempts;

	gc_str_t *failed_engines; /* avoided in this generation */
	size_t n_failed_engines;
	char *last_error;
	char last_error_engine[GC_NAME_MAX];

	bool retry_pending; /* at retry_at: pick an engine or verify again */
	struct timespec retry_at;
	struct timespec retry_pending_since;
	uint32_t n_pick_retries; /* since the last reset of the back-off */
	bool is_pick_retry; /* the current pick follows a delay */

	bool timer_set;
	struct timespec timer_at;
};

static inline bool gc_stream_attempt_is_live(const attempt_t *a)
{
	return a->state != ATTEMPT_UNUSED;
}

static inline struct timespec gc_stream_now(const gc_stream_t *s)
{
	return gc_clock_now(s->conf.clock);
}

static inline bool gc_stream_has_passed(struct timespec now, struct timespec at)
{
	return gc_us_between(now, at) <= 0;
}

static inline bool gc_stream_has_deadline(const gc_stream_t *s)
{
	return s->conf.deadline.tv_sec != 0 || s->conf.deadline.tv_nsec != 0;
}

/* Returns the other attempt if it is live, otherwise NULL. */
static inline attempt_t *gc_stream_other_attempt(gc_stream_t *s,
						 const attempt_t *a)
{
	attempt_t *other = a == &s->primary ? &s->hedge : &s->primary;

	return gc_stream_attempt_is_live(other) ? other : NULL;
}

/* core/stream.c */
void gc_stream_append_token(gc_stream_t *s, gc_str_t token);
void gc_stream_clear_tokens(gc_stream_t *s);

/* core/stream_end.c */
bool gc_stream_past_deadline(const gc_stream_t *s);
/* True if max_tokens are held and verified; the end event may be missing. */
bool gc_stream_is_complete(const gc_stream_t *s);
/* Closes the attempt's connection; end_run also cancels the engine's run. */
void gc_stream_cancel_attempt(gc_stream_t *s, attempt_t *a, bool end_run);
/* Ends the generation and cancels both attempts with their runs. */
void gc_stream_terminate(gc_stream_t *s);
void gc_stream_finish(gc_stream_t *s, const char *reason);
void gc_stream_fail(gc_stream_t *s, gc_errcode_t code, const char *step,
		    const char *message);
void gc_stream_fail_at_deadline(gc_stream_t *s);
/* Returns false if the caller has disconnected, which ends the generation. */
bool gc_stream_check_caller(gc_stream_t *s);

/* core/stream_attempt.c */
/* Keeps the error for the message of a final failure. */
void gc_stream_record_error(gc_stream_t *s, const char *engine,
			    const char *message);
void gc_stream_avoid_engine(gc_stream_t *s, const char *engine);
void gc_stream_report_engine(gc_stream_t *s, const char *engine,
			     gc_engine_verdict_t verdict);
void gc_stream_schedule_retry(gc_stream_t *s, int64_t delay_ms);
/* Cancels the pending retry and resets the back-off. */
void gc_stream_reset_retry(gc_stream_t *s);
/* Attaches to the engine and run id in *run, as the primary attempt. */
void gc_stream_attach_run(gc_stream_t *s, const attempt_t *run);
/* Starts a run on an engine that is not in use, or schedules a retry. */
void gc_stream_start_attempt(gc_stream_t *s);
/* After the loss of an attempt: keeps the other one or starts a new one. */
void gc_stream_failover(gc_stream_t *s);

/* core/stream_verify.c */
bool gc_stream_prefix_matches(const gc_cursor_t *cursor, const gc_str_t *prefix,
			      size_t n);
void gc_stream_save_prefix(gc_stream_t *s, const gc_str_t *prefix, size_t n);
/* The cursor's run can't be used: starts a run from the prefix, or fails. */
void gc_stream_handle_lost_run(gc_stream_t *s);
/* Attaches to the cursor's run to compare it with the cursor's hash. */
void gc_stream_verify_run(gc_stream_t *s);
/* The connection was lost or stalled before the run was verified. */
void gc_stream_retry_verify(gc_stream_t *s);
void gc_stream_reject_run(gc_stream_t *s, attempt_t *a);
void gc_stream_verify_token(gc_stream_t *s, attempt_t *a, gc_str_t token);

/* core/stream_event.c */
void gc_stream_handle_run(gc_stream_t *s, attempt_t *a, const char *run,
			  uint64_t from);
void gc_stream_handle_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
			    gc_str_t token);
void gc_stream_handle_end(gc_stream_t *s, attempt_t *a, const char *reason,
			  uint64_t tokens);
void gc_stream_handle_error(gc_stream_t *s, attempt_t *a, const GError *err);

/* core/stream_timer.c */
/* Sets the timer for the next deadline, retry or stall timeout. */
void gc_stream_update_timer(gc_stream_t *s);

#endif
