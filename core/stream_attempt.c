/* Attempts of a generation: choice of the engine, retries and failover. */
#include <string.h>

#include "core/stream_private.h"

/* Delay between attempts to pick an engine; doubles up to the maximum. */
#define PICK_RETRY_DELAY_MIN_MS 20
#define PICK_RETRY_DOUBLINGS	5
#define PICK_RETRY_DELAY_MAX_MS 400
/* Bounds the wait for an engine if the request has no deadline. */
#define PICK_TIMEOUT_MS 10000

static bool pick_engine(gc_stream_t *s, char engine[GC_NAME_MAX]);
static void schedule_pick_retry(gc_stream_t *s);
static void init_attempt(gc_stream_t *s, attempt_t *a, uint64_t from);
static void start_run(gc_stream_t *s, const char *engine);
static void wait_for_last_attempt(gc_stream_t *s);

void gc_stream_record_error(gc_stream_t *s, const char *engine,
			    const char *message)
{
	talloc_free(s->last_error);
	s->last_error = talloc_strdup(s, message);
	g_strlcpy(s->last_error_engine, engine, sizeof(s->last_error_engine));
}

void gc_stream_avoid_engine(gc_stream_t *s, const char *engine)
{
	for (size_t i = 0; i < s->n_failed_engines; i++)
		if (gc_str_eq(s->failed_engines[i], gc_str(engine)))
			return;
	s->failed_engines = talloc_realloc(s, s->failed_engines, gc_str_t,
					   s->n_failed_engines + 1);
	s->failed_engines[s->n_failed_engines++] =
		gc_str_dup(s, gc_str(engine));
}

void gc_stream_report_engine(gc_stream_t *s, const char *engine,
			     gc_engine_verdict_t verdict)
{
	char name[GC_NAME_MAX];

	if (s->ended)
		return;
	g_strlcpy(name, engine, sizeof(name));
	s->ops->report(s->ctx, name, verdict);
}

/*
 * The first pick avoids the engines in use and those that failed in this
 * generation. A retry after a delay may use a failed one again, as it may have
 * recovered.
 */
static bool pick_engine(gc_stream_t *s, char engine[GC_NAME_MAX])
{
	gc_str_t *avoid = talloc_array(s, gc_str_t, s->n_failed_engines + 2);
	size_t n_live = 0;
	size_t n;
	bool found;

	if (gc_stream_attempt_is_live(&s->primary))
		avoid[n_live++] = gc_str(s->primary.engine);
	if (gc_stream_attempt_is_live(&s->hedge))
		avoid[n_live++] = gc_str(s->hedge.engine);
	n = n_live;
	for (size_t i = 0; i < s->n_failed_engines; i++)
		avoid[n++] = s->failed_engines[i];
	found = s->ops->pick(s->ctx, avoid, n, engine);
	if (!found && s->is_pick_retry && n > n_live)
		found = s->ops->pick(s->ctx, avoid, n_live, engine);
	talloc_free(avoid);
	return found;
}

void gc_stream_schedule_retry(gc_stream_t *s, int64_t delay_ms)
{
	struct timespec now = gc_stream_now(s);

	if (!s->retry_pending)
		s->retry_pending_since = now;
	s->retry_pending = true;
	s->retry_at = gc_add_ms(now, delay_ms);
}

static void schedule_pick_retry(gc_stream_t *s)
{
	int64_t delay_ms = PICK_RETRY_DELAY_MAX_MS;

	if (s->retry_pending && !gc_stream_has_deadline(s) &&
	    gc_ms_between(s->retry_pending_since, gc_stream_now(s)) >=
		    PICK_TIMEOUT_MS) {
		gc_stream_fail(s, GC_ERR_UNAVAILABLE, "pick",
			       "no engine available");
		return;
	}
	if (s->n_pick_retries < PICK_RETRY_DOUBLINGS)
		delay_ms = (int64_t)PICK_RETRY_DELAY_MIN_MS
			   << s->n_pick_retries;
	s->n_pick_retries++;
	gc_stream_schedule_retry(s, delay_ms);
}

void gc_stream_reset_retry(gc_stream_t *s)
{
	s->retry_pending = false;
	s->n_pick_retries = 0;
}

static void init_attempt(gc_stream_t *s, attempt_t *a, uint64_t from)
{
	a->state = ATTEMPT_STARTING;
	a->number = ++s->last_attempt_number;
	a->first_offset = from;
	a->next_offset = from;
	a->stalled = false;
	a->last_resort = false;
	a->reported_ok = false;
	a->last_activity = gc_stream_now(s);
}

void gc_stream_attach_run(gc_stream_t *s, const attempt_t *run)
{
	attempt_t a = *run;

	init_attempt(s, &a, 0);
	a.attached = true;
	s->primary = a;
	s->ops->attach(s->ctx, a.number, a.engine, a.run, 0);
}

static void start_run(gc_stream_t *s, const char *engine)
{
	attempt_t a = {0};

	g_strlcpy(a.engine, engine, sizeof(a.engine));
	init_attempt(s, &a, s->n_tokens);
	s->n_runs_started++;
	if (gc_stream_attempt_is_live(&s->primary))
		s->hedge = a;
	else
		s->primary = a;
	s->ops->start(s->ctx, a.number, a.engine, a.first_offset);
}

/* max_attempts is reached: only an attempt that is still live may finish. */
static void wait_for_last_attempt(gc_stream_t *s)
{
	attempt_t *a =
		gc_stream_attempt_is_live(&s->hedge) ? &s->hedge : &s->primary;

	gc_stream_reset_retry(s);
	if (!gc_stream_attempt_is_live(a)) {
		gc_stream_fail(s, GC_ERR_UNAVAILABLE, "attempt",
			       "all attempts failed");
		return;
	}
	a->last_resort = true;
	a->last_activity = gc_stream_now(s);
}

void gc_stream_start_attempt(gc_stream_t *s)
{
	char engine[GC_NAME_MAX];

	if (s->ended)
		return;
	if (gc_stream_past_deadline(s)) {
		gc_stream_fail_at_deadline(s);
		return;
	}
	if (s->n_runs_started >= s->conf.max_attempts) {
		wait_for_last_attempt(s);
		return;
	}
	if (s->attempted && !gc_stream_check_caller(s))
		return;
	s->attempted = true;
	if (!pick_engine(s, engine)) {
		schedule_pick_retry(s);
		return;
	}
	/* The back-off is not reset before a run is accepted. */
	s->retry_pending = false;
	if (s->conf.policy == GC_POLICY_ECONOMY)
		gc_stream_cancel_attempt(s, &s->primary, true);
	if (gc_stream_attempt_is_live(&s->hedge)) {
		/* Both attempts are stalled; the older one is cancelled. */
		attempt_t next = s->hedge;

		memset(&s->hedge, 0, sizeof(s->hedge));
		gc_stream_cancel_attempt(s, &s->primary, true);
		s->primary = next;
	}
	start_run(s, engine);
}

void gc_stream_failover(gc_stream_t *s)
{
	if (s->ended)
		return;
	if (!gc_stream_attempt_is_live(&s->primary) &&
	    gc_stream_attempt_is_live(&s->hedge)) {
		s->primary = s->hedge;
		memset(&s->hedge, 0, sizeof(s->hedge));
	}
	if (!gc_stream_attempt_is_live(&s->primary) || s->primary.stalled)
		gc_stream_start_attempt(s);
}
