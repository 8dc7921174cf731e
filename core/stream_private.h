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
#define REATTACH_MAX 1
#define RUN_DIFFERS  "the run differs from the delivered tokens"
/* The reason of a response that has all tokens but lost its end event. */
#define REASON_LENGTH "length"

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
	uint64_t from; /* first offset asked for */
	uint64_t next; /* offset that must come next */
	bool attached; /* by attach, not by start */
	bool yielded; /* this run yielded a token */
	bool reported; /* as yielding, since the last suspicion */
	bool probing; /* attached again because of its silence */
	bool suspected; /* silent; an extra attempt is due */
	bool last_wait; /* silent and nothing else to try */
	uint32_t reattached; /* times, since its last token */
	struct timespec silent_since;
} attempt_t;

struct gc_stream {
	gc_stream_conf_t conf;
	const gc_stream_ops_t *ops;
	void *ctx;
	bool over;
	bool begun; /* some attempt was made */

	attempt_t main;
	attempt_t extra;
	uint32_t last_number;
	uint32_t n_started;

	/* Tokens held: bytes of all, and the end of each. */
	char *bytes;
	uint64_t *ends;
	uint64_t n_tokens;
	uint64_t hash;

	/* Until the run of the cursor is checked. */
	bool checking;
	gc_cursor_t cursor;
	gc_str_t *prefix; /* cursor.offset tokens, if has_prefix */
	bool has_prefix; /* the caller's tokens match the cursor */
	uint32_t check_tries;

	gc_str_t *failed; /* engines not to use again */
	size_t n_failed;
	char *last_error;
	char last_peer[GC_NAME_MAX];

	bool waiting; /* for retry_at: start or, while checking, attach */
	struct timespec retry_at;
	struct timespec waiting_since;
	uint32_t n_waits; /* since the last token */
	bool waited; /* this pick comes after a wait */

	bool armed;
	struct timespec armed_at;
};

static inline bool gc_stream_is_live(const attempt_t *a)
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

static inline attempt_t *gc_stream_other(gc_stream_t *s, const attempt_t *a)
{
	attempt_t *other = a == &s->main ? &s->extra : &s->main;

	return gc_stream_is_live(other) ? other : NULL;
}

/* core/stream.c */
void gc_stream_hold(gc_stream_t *s, gc_str_t token);
void gc_stream_drop_tokens(gc_stream_t *s);

/* core/stream_end.c */
bool gc_stream_past_deadline(const gc_stream_t *s);
/* True if all tokens are delivered; only the end event may be missing. */
bool gc_stream_is_whole(const gc_stream_t *s);
/* end_run also cancels the run at the engine. */
void gc_stream_stop_attempt(gc_stream_t *s, attempt_t *a, bool end_run);
void gc_stream_stop_all(gc_stream_t *s);
void gc_stream_finish(gc_stream_t *s, const char *reason);
void gc_stream_fail(gc_stream_t *s, gc_errcode_t code, const char *step,
		    const char *what);
void gc_stream_fail_at_deadline(gc_stream_t *s);
/* False if the caller has hung up, which ends the generation. */
bool gc_stream_check_caller(gc_stream_t *s);

/* core/stream_attempt.c */
void gc_stream_note_error(gc_stream_t *s, const char *engine, const char *what);
void gc_stream_avoid_engine(gc_stream_t *s, const char *engine);
void gc_stream_report(gc_stream_t *s, const char *engine,
		      gc_engine_verdict_t verdict);
void gc_stream_wait_until(gc_stream_t *s, int64_t delay_ms);
void gc_stream_stop_waiting(gc_stream_t *s);
/* Attaches to the run that *run names, as the main attempt. */
void gc_stream_attach_run(gc_stream_t *s, const attempt_t *run);
void gc_stream_start_elsewhere(gc_stream_t *s);
/* An attempt is gone; goes on with the other one or elsewhere. */
void gc_stream_after_loss(gc_stream_t *s);

/* core/stream_check.c */
bool gc_stream_prefix_matches(const gc_cursor_t *cursor, const gc_str_t *prefix,
			      size_t n);
void gc_stream_keep_prefix(gc_stream_t *s, const gc_str_t *prefix, size_t n);
void gc_stream_run_is_lost(gc_stream_t *s);
void gc_stream_attach_to_check(gc_stream_t *s);
/* The connection was cut or silent before the check ended. */
void gc_stream_check_again(gc_stream_t *s);
void gc_stream_check_failed(gc_stream_t *s, attempt_t *a);
void gc_stream_check_token(gc_stream_t *s, attempt_t *a, gc_str_t token);

/* core/stream_event.c */
void gc_stream_run_accepted(gc_stream_t *s, attempt_t *a, const char *run,
			    uint64_t from);
void gc_stream_take_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
			  gc_str_t token);
void gc_stream_take_end(gc_stream_t *s, attempt_t *a, const char *reason,
			uint64_t tokens);
void gc_stream_take_broken(gc_stream_t *s, attempt_t *a, const GError *err);

/* core/stream_timer.c */
/* Sets the timer for the next deadline, retry or end of a silence. */
void gc_stream_arm(gc_stream_t *s);

#endif
