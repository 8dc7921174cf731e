/*
 * State of one generation and the functions that stream*.c share; private to
 * them.
 *
 * At most two attempts are live: the main one and, while the latency policy
 * suspects it, an extra one elsewhere. A started attempt has exactly the
 * tokens held as its prefix. An attached one is read from offset 0 and
 * compared with the tokens held, because a restarted engine may use a run id
 * again. The first attempt to yield a new token ends the other, so all tokens
 * held come from one lineage.
 */
#ifndef GC_CORE_STREAM_PRIVATE_H
#define GC_CORE_STREAM_PRIVATE_H

#include "core/error.h"
#include "core/stream.h"

/* Attaches to the same run after a cut, without a token between them. */
#define MAX_REATTACHES	 1
#define ERR_RUN_MISMATCH "the run differs from the delivered tokens"
/* The reason of a response that has all tokens but lost its end event. */
#define FINISH_REASON_LENGTH "length"

typedef enum attempt_state {
	ATTEMPT_UNUSED,
	ATTEMPT_STARTING, /* not yet accepted by the engine */
	ATTEMPT_STREAMING,
} attempt_state_t;

typedef struct attempt {
	attempt_state_t state;
	uint32_t number;
	char engine[GC_NAME_MAX];
	char run[GC_RUN_MAX]; /* "" until known */
	uint64_t first_offset; /* first offset asked for */
	uint64_t next_offset; /* offset that must come next */
	bool attached; /* by attach, not by start */
	bool has_produced; /* this run yielded a token */
	bool reported_ok; /* as yielding, since the last suspicion */
	bool probing; /* attached again because of its silence */
	bool stalled; /* silent; an extra attempt is due */
	bool last_resort; /* silent and nothing else to try */
	uint32_t n_reattached; /* times, since its last token */
	struct timespec last_activity;
} attempt_t;

struct gc_stream {
	gc_stream_conf_t conf;
	const gc_stream_ops_t *ops;
	void *ctx;
	bool ended;
	bool attempted; /* some attempt was made */

	attempt_t primary;
	attempt_t hedge;
	uint32_t last_attempt_number;
	uint32_t n_runs_started;

	/* Tokens held: bytes of all, and the end of each. */
	char *token_bytes;
	uint64_t *token_ends;
	uint64_t n_tokens;
	uint64_t hash;

	/* Until the run of the cursor is checked. */
	bool verifying;
	gc_cursor_t cursor;
	gc_str_t *prefix; /* cursor.offset tokens, if has_prefix */
	bool has_prefix; /* the caller's tokens match the cursor */
	uint32_t n_verify_attempts;

	gc_str_t *failed_engines; /* engines not to use again */
	size_t n_failed_engines;
	char *last_error;
	char last_error_engine[GC_NAME_MAX];

	bool retry_pending; /* for retry_at: start or, while checking, attach */
	struct timespec retry_at;
	struct timespec retry_pending_since;
	uint32_t n_pick_retries; /* since the last token */
	bool is_pick_retry; /* this pick comes after a wait */

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
/* True if all tokens are delivered; only the end event may be missing. */
bool gc_stream_is_complete(const gc_stream_t *s);
/* end_run also cancels the run at the engine. */
void gc_stream_cancel_attempt(gc_stream_t *s, attempt_t *a, bool end_run);
void gc_stream_terminate(gc_stream_t *s);
void gc_stream_finish(gc_stream_t *s, const char *reason);
void gc_stream_fail(gc_stream_t *s, gc_errcode_t code, const char *step,
		    const char *what);
void gc_stream_fail_at_deadline(gc_stream_t *s);
/* False if the caller has hung up, which ends the generation. */
bool gc_stream_check_caller(gc_stream_t *s);

/* core/stream_attempt.c */
void gc_stream_record_error(gc_stream_t *s, const char *engine,
			    const char *what);
void gc_stream_avoid_engine(gc_stream_t *s, const char *engine);
void gc_stream_report_engine(gc_stream_t *s, const char *engine,
			     gc_engine_verdict_t verdict);
void gc_stream_schedule_retry(gc_stream_t *s, int64_t delay_ms);
void gc_stream_reset_retry(gc_stream_t *s);
/* Attaches to the run that *run names, as the main attempt. */
void gc_stream_attach_run(gc_stream_t *s, const attempt_t *run);
void gc_stream_start_attempt(gc_stream_t *s);
/* An attempt is gone; goes on with the other one or elsewhere. */
void gc_stream_failover(gc_stream_t *s);

/* core/stream_check.c */
bool gc_stream_prefix_matches(const gc_cursor_t *cursor, const gc_str_t *prefix,
			      size_t n);
void gc_stream_save_prefix(gc_stream_t *s, const gc_str_t *prefix, size_t n);
void gc_stream_handle_lost_run(gc_stream_t *s);
void gc_stream_verify_run(gc_stream_t *s);
/* The connection was cut or silent before the check ended. */
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
/* Sets the timer for the next deadline, retry or end of a silence. */
void gc_stream_update_timer(gc_stream_t *s);

#endif
