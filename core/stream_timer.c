/* Stall timeouts of attempts, and the timer of a generation. */
#include "core/stream_private.h"

/* A timer that fires later than this was delayed by a pause of the process. */
#define PAUSE_THRESHOLD_MS 250

static void reattach_to_probe(gc_stream_t *s, attempt_t *a);
static void replace_stalled_attempt(gc_stream_t *s, attempt_t *a);
static void handle_stall(gc_stream_t *s, attempt_t *a);
static bool get_stall_deadline(const gc_stream_t *s, const attempt_t *a,
			       struct timespec *at);
static void check_stall(gc_stream_t *s, attempt_t *a, uint32_t number);
static void retry_pick(gc_stream_t *s);
static void retry_if_due(gc_stream_t *s);
static void set_earliest(struct timespec *next, bool *has_next,
			 struct timespec at);
static void reset_stall_timeouts(gc_stream_t *s);

static void reattach_to_probe(gc_stream_t *s, attempt_t *a)
{
	attempt_t run = *a;

	if (!gc_stream_check_caller(s))
		return;
	gc_stream_cancel_attempt(s, a, false);
	run.probing = true;
	gc_stream_attach_run(s, &run);
}

/*
 * The stalled attempt stays live until another engine is picked, as its run
 * may only be slow.
 */
static void replace_stalled_attempt(gc_stream_t *s, attempt_t *a)
{
	if (a->last_resort) {
		gc_stream_fail(s, GC_ERR_TIMEOUT, "stall",
			       "no token within the stall timeout");
		return;
	}
	a->stalled = true;
	a->reported_ok = false;
	gc_stream_record_error(s, a->engine, "stalled");
	gc_stream_avoid_engine(s, a->engine);
	gc_stream_report_engine(s, a->engine, GC_ENGINE_STALLED);
	gc_stream_start_attempt(s);
}

static void handle_stall(gc_stream_t *s, attempt_t *a)
{
	if (s->verifying) {
		gc_stream_record_error(s, a->engine, "stalled");
		gc_stream_cancel_attempt(s, a, false);
		gc_stream_retry_verify(s);
	} else if (gc_stream_is_complete(s)) {
		gc_stream_finish(s, FINISH_REASON_LENGTH);
	} else if (s->conf.policy == GC_POLICY_ECONOMY && a->run[0] &&
		   !a->probing && !a->last_resort) {
		reattach_to_probe(s, a);
	} else {
		replace_stalled_attempt(s, a);
	}
}

/* Returns false if no stall timeout applies to the attempt now. */
static bool get_stall_deadline(const gc_stream_t *s, const attempt_t *a,
			       struct timespec *at)
{
	int64_t ms;

	if (!gc_stream_attempt_is_live(a) || (a->stalled && !a->last_resort))
		return false;
	ms = s->ops->stall_timeout_ms(s->ctx, a->engine, !a->has_produced);
	*at = gc_add_ms(a->last_activity, ms);
	return true;
}

static void check_stall(gc_stream_t *s, attempt_t *a, uint32_t number)
{
	struct timespec at;

	/* The attempt may have been replaced while this event was handled. */
	if (s->ended || a->number != number)
		return;
	if (get_stall_deadline(s, a, &at) &&
	    gc_stream_has_passed(gc_stream_now(s), at))
		handle_stall(s, a);
}

static void retry_pick(gc_stream_t *s)
{
	s->is_pick_retry = true;
	gc_stream_start_attempt(s);
	s->is_pick_retry = false;
}

static void retry_if_due(gc_stream_t *s)
{
	if (s->ended || !s->retry_pending ||
	    !gc_stream_has_passed(gc_stream_now(s), s->retry_at))
		return;
	if (s->verifying)
		gc_stream_verify_run(s);
	else if (!gc_stream_attempt_is_live(&s->primary) || s->primary.stalled)
		retry_pick(s);
	else
		gc_stream_reset_retry(s);
}

static void set_earliest(struct timespec *next, bool *has_next,
			 struct timespec at)
{
	if (!*has_next || gc_us_between(at, *next) > 0)
		*next = at;
	*has_next = true;
}

/*
 * Moves the timer only to an earlier time; a timer that fires too early is set
 * again. This saves a call of set_timer per token.
 */
void gc_stream_update_timer(gc_stream_t *s)
{
	struct timespec now = gc_stream_now(s);
	struct timespec next = {0};
	struct timespec at;
	bool has_next = false;

	if (s->ended)
		return;
	if (gc_stream_has_deadline(s))
		set_earliest(&next, &has_next, s->conf.deadline);
	if (s->retry_pending)
		set_earliest(&next, &has_next, s->retry_at);
	if (get_stall_deadline(s, &s->primary, &at))
		set_earliest(&next, &has_next, at);
	if (get_stall_deadline(s, &s->hedge, &at))
		set_earliest(&next, &has_next, at);
	if (!has_next ||
	    (s->timer_set && gc_us_between(s->timer_at, next) >= 0))
		return;
	/* A time in the past would look like a pause of the process. */
	if (gc_stream_has_passed(now, next))
		next = now;
	s->timer_set = true;
	s->timer_at = next;
	s->ops->set_timer(s->ctx, &next);
}

/*
 * After a pause of this process, tokens that arrived meanwhile may still be
 * unread, so the time without events says nothing about the engine.
 */
static void reset_stall_timeouts(gc_stream_t *s)
{
	s->primary.last_activity = gc_stream_now(s);
	s->hedge.last_activity = gc_stream_now(s);
}

void gc_stream_on_timer(gc_stream_t *stream)
{
	uint32_t numbers[] = {stream->primary.number, stream->hedge.number};
	bool paused;

	if (stream->ended)
		return;
	paused = stream->timer_set &&
		 gc_ms_between(stream->timer_at, gc_stream_now(stream)) >
			 PAUSE_THRESHOLD_MS;
	stream->timer_set = false;
	if (paused) {
		if (!gc_stream_check_caller(stream))
			return;
		reset_stall_timeouts(stream);
	}
	if (gc_stream_past_deadline(stream)) {
		gc_stream_fail_at_deadline(stream);
		return;
	}
	check_stall(stream, &stream->primary, numbers[0]);
	check_stall(stream, &stream->hedge, numbers[1]);
	retry_if_due(stream);
	gc_stream_update_timer(stream);
}
