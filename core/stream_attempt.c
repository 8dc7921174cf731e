/* New attempts of a generation: which engine, and when. */
#include <string.h>

#include "core/stream_private.h"

/* Delay between two tries to pick an engine; doubles up to the maximum. */
#define PICK_DELAY_MIN_MS 20
#define PICK_DOUBLINGS	  5
#define PICK_DELAY_MAX_MS 400
/* Longest wait for an engine when the request has no deadline. */
#define PICK_WAIT_MAX_MS 10000

static bool pick_engine(gc_stream_t *s, char engine[GC_NAME_MAX]);
static void wait_to_pick(gc_stream_t *s);
static void open_attempt(gc_stream_t *s, attempt_t *a, uint64_t from);
static void start_run(gc_stream_t *s, const char *engine);
static void wait_for_last(gc_stream_t *s);

void gc_stream_note_error(gc_stream_t *s, const char *engine, const char *what)
{
	talloc_free(s->last_error);
	s->last_error = talloc_strdup(s, what);
	g_strlcpy(s->last_peer, engine, sizeof(s->last_peer));
}

void gc_stream_avoid_engine(gc_stream_t *s, const char *engine)
{
	for (size_t i = 0; i < s->n_failed; i++)
		if (gc_str_eq(s->failed[i], gc_str(engine)))
			return;
	s->failed = talloc_realloc(s, s->failed, gc_str_t, s->n_failed + 1);
	s->failed[s->n_failed++] = gc_str_dup(s, gc_str(engine));
}

void gc_stream_report(gc_stream_t *s, const char *engine,
		      gc_engine_verdict_t verdict)
{
	char name[GC_NAME_MAX];

	if (s->over)
		return;
	g_strlcpy(name, engine, sizeof(name));
	s->ops->report(s->ctx, name, verdict);
}

/*
 * The first pick avoids every engine that failed this generation; after a
 * wait, one that may have recovered is better than none.
 */
static bool pick_engine(gc_stream_t *s, char engine[GC_NAME_MAX])
{
	gc_str_t *avoid = talloc_array(s, gc_str_t, s->n_failed + 2);
	size_t n_live = 0;
	size_t n;
	bool found;

	if (gc_stream_is_live(&s->main))
		avoid[n_live++] = gc_str(s->main.engine);
	if (gc_stream_is_live(&s->extra))
		avoid[n_live++] = gc_str(s->extra.engine);
	n = n_live;
	for (size_t i = 0; i < s->n_failed; i++)
		avoid[n++] = s->failed[i];
	found = s->ops->pick(s->ctx, avoid, n, engine);
	if (!found && s->waited && n > n_live)
		found = s->ops->pick(s->ctx, avoid, n_live, engine);
	talloc_free(avoid);
	return found;
}

void gc_stream_wait_until(gc_stream_t *s, int64_t delay_ms)
{
	struct timespec now = gc_stream_now(s);

	if (!s->waiting)
		s->waiting_since = now;
	s->waiting = true;
	s->retry_at = gc_add_ms(now, delay_ms);
}

static void wait_to_pick(gc_stream_t *s)
{
	int64_t delay_ms = PICK_DELAY_MAX_MS;

	if (s->waiting && !gc_stream_has_deadline(s) &&
	    gc_ms_between(s->waiting_since, gc_stream_now(s)) >=
		    PICK_WAIT_MAX_MS) {
		gc_stream_fail(s, GC_ERR_UNAVAILABLE, "pick",
			       "no engine available");
		return;
	}
	if (s->n_waits < PICK_DOUBLINGS)
		delay_ms = (int64_t)PICK_DELAY_MIN_MS << s->n_waits;
	s->n_waits++;
	gc_stream_wait_until(s, delay_ms);
}

void gc_stream_stop_waiting(gc_stream_t *s)
{
	s->waiting = false;
	s->n_waits = 0;
}

static void open_attempt(gc_stream_t *s, attempt_t *a, uint64_t from)
{
	a->state = ATTEMPT_STARTING;
	a->number = ++s->last_number;
	a->from = from;
	a->next = from;
	a->suspected = false;
	a->last_wait = false;
	a->reported = false;
	a->silent_since = gc_stream_now(s);
}

void gc_stream_attach_run(gc_stream_t *s, const attempt_t *run)
{
	attempt_t a = *run;

	open_attempt(s, &a, 0);
	a.attached = true;
	s->main = a;
	s->ops->attach(s->ctx, a.number, a.engine, a.run, 0);
}

static void start_run(gc_stream_t *s, const char *engine)
{
	attempt_t a = {0};

	g_strlcpy(a.engine, engine, sizeof(a.engine));
	open_attempt(s, &a, s->n_tokens);
	s->n_started++;
	if (gc_stream_is_live(&s->main))
		s->extra = a;
	else
		s->main = a;
	s->ops->start(s->ctx, a.number, a.engine, a.from);
}

/* What is left when no further run may be started. */
static void wait_for_last(gc_stream_t *s)
{
	attempt_t *a = gc_stream_is_live(&s->extra) ? &s->extra : &s->main;

	gc_stream_stop_waiting(s);
	if (!gc_stream_is_live(a)) {
		gc_stream_fail(s, GC_ERR_UNAVAILABLE, "attempt",
			       "all attempts failed");
		return;
	}
	a->last_wait = true;
	a->silent_since = gc_stream_now(s);
}

void gc_stream_start_elsewhere(gc_stream_t *s)
{
	char engine[GC_NAME_MAX];

	if (s->over)
		return;
	if (gc_stream_past_deadline(s)) {
		gc_stream_fail_at_deadline(s);
		return;
	}
	if (s->n_started >= s->conf.max_attempts) {
		wait_for_last(s);
		return;
	}
	if (s->begun && !gc_stream_check_caller(s))
		return;
	s->begun = true;
	if (!pick_engine(s, engine)) {
		wait_to_pick(s);
		return;
	}
	/* The delay goes on growing until some engine yields a token. */
	s->waiting = false;
	if (s->conf.policy == GC_POLICY_ECONOMY)
		gc_stream_stop_attempt(s, &s->main, true);
	if (gc_stream_is_live(&s->extra)) {
		/* Both are silent; the one that was silent longer goes. */
		attempt_t next = s->extra;

		memset(&s->extra, 0, sizeof(s->extra));
		gc_stream_stop_attempt(s, &s->main, true);
		s->main = next;
	}
	start_run(s, engine);
}

void gc_stream_after_loss(gc_stream_t *s)
{
	if (s->over)
		return;
	if (!gc_stream_is_live(&s->main) && gc_stream_is_live(&s->extra)) {
		s->main = s->extra;
		memset(&s->extra, 0, sizeof(s->extra));
	}
	if (!gc_stream_is_live(&s->main) || s->main.suspected)
		gc_stream_start_elsewhere(s);
}
