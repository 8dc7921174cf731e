/* Silence of attempts, and the timer of a generation. */
#include "core/stream_private.h"

/* A timer that is later than this was delayed by a pause of the process. */
#define PAUSE_MS 250

static void probe(gc_stream_t *s, attempt_t *a);
static void give_up_waiting(gc_stream_t *s, attempt_t *a);
static void suspect(gc_stream_t *s, attempt_t *a);
static bool silence_ends(const gc_stream_t *s, const attempt_t *a,
			 struct timespec *at);
static void check_silence(gc_stream_t *s, attempt_t *a, uint32_t number);
static void start_after_wait(gc_stream_t *s);
static void retry(gc_stream_t *s);
static void earliest(struct timespec *next, bool *has_next, struct timespec at);
static void forget_silence(gc_stream_t *s);

static void probe(gc_stream_t *s, attempt_t *a)
{
	attempt_t was = *a;

	if (!gc_stream_check_caller(s))
		return;
	gc_stream_stop_attempt(s, a, false);
	was.probing = true;
	gc_stream_attach_run(s, &was);
}

/*
 * The silent attempt is kept until another engine is picked: a run that is
 * only slow is worth more than none.
 */
static void give_up_waiting(gc_stream_t *s, attempt_t *a)
{
	if (a->last_wait) {
		gc_stream_fail(s, GC_ERR_TIMEOUT, "stall",
			       "no engine yields a token");
		return;
	}
	a->suspected = true;
	a->reported = false;
	gc_stream_note_error(s, a->engine, "stalled");
	gc_stream_avoid_engine(s, a->engine);
	gc_stream_report(s, a->engine, GC_ENGINE_STALLED);
	gc_stream_start_elsewhere(s);
}

static void suspect(gc_stream_t *s, attempt_t *a)
{
	if (s->checking) {
		gc_stream_note_error(s, a->engine, "stalled");
		gc_stream_stop_attempt(s, a, false);
		gc_stream_check_again(s);
	} else if (gc_stream_is_whole(s)) {
		gc_stream_finish(s, REASON_LENGTH);
	} else if (s->conf.policy == GC_POLICY_ECONOMY && a->run[0] &&
		   !a->probing && !a->last_wait) {
		probe(s, a);
	} else {
		give_up_waiting(s, a);
	}
}

/* False if the attempt's silence has no consequence now. */
static bool silence_ends(const gc_stream_t *s, const attempt_t *a,
			 struct timespec *at)
{
	int64_t ms;

	if (!gc_stream_is_live(a) || (a->suspected && !a->last_wait))
		return false;
	ms = s->ops->stall_timeout_ms(s->ctx, a->engine, !a->yielded);
	*at = gc_add_ms(a->silent_since, ms);
	return true;
}

static void check_silence(gc_stream_t *s, attempt_t *a, uint32_t number)
{
	struct timespec at;

	/* An earlier step may have replaced the attempt. */
	if (s->over || a->number != number)
		return;
	if (silence_ends(s, a, &at) &&
	    gc_stream_has_passed(gc_stream_now(s), at))
		suspect(s, a);
}

static void start_after_wait(gc_stream_t *s)
{
	s->waited = true;
	gc_stream_start_elsewhere(s);
	s->waited = false;
}

static void retry(gc_stream_t *s)
{
	if (s->over || !s->waiting ||
	    !gc_stream_has_passed(gc_stream_now(s), s->retry_at))
		return;
	if (s->checking)
		gc_stream_attach_to_check(s);
	else if (!gc_stream_is_live(&s->main) || s->main.suspected)
		start_after_wait(s);
	else
		gc_stream_stop_waiting(s);
}

static void earliest(struct timespec *next, bool *has_next, struct timespec at)
{
	if (!*has_next || gc_us_between(at, *next) > 0)
		*next = at;
	*has_next = true;
}

/*
 * The timer is moved only to an earlier time; when it fires too early, it is
 * set again. This saves a call per token.
 */
void gc_stream_arm(gc_stream_t *s)
{
	struct timespec now = gc_stream_now(s);
	struct timespec next = {0};
	struct timespec at;
	bool has_next = false;

	if (s->over)
		return;
	if (gc_stream_has_deadline(s))
		earliest(&next, &has_next, s->conf.deadline);
	if (s->waiting)
		earliest(&next, &has_next, s->retry_at);
	if (silence_ends(s, &s->main, &at))
		earliest(&next, &has_next, at);
	if (silence_ends(s, &s->extra, &at))
		earliest(&next, &has_next, at);
	if (!has_next || (s->armed && gc_us_between(s->armed_at, next) >= 0))
		return;
	/* The lateness of the timer counts from now on. */
	if (gc_stream_has_passed(now, next))
		next = now;
	s->armed = true;
	s->armed_at = next;
	s->ops->set_timer(s->ctx, &next);
}

/* Silence during a pause is no evidence: its tokens may wait to be read. */
static void forget_silence(gc_stream_t *s)
{
	s->main.silent_since = gc_stream_now(s);
	s->extra.silent_since = gc_stream_now(s);
}

void gc_stream_on_timer(gc_stream_t *stream)
{
	uint32_t numbers[] = {stream->main.number, stream->extra.number};
	bool paused;

	if (stream->over)
		return;
	paused = stream->armed &&
		 gc_ms_between(stream->armed_at, gc_stream_now(stream)) >
			 PAUSE_MS;
	stream->armed = false;
	if (paused) {
		if (!gc_stream_check_caller(stream))
			return;
		forget_silence(stream);
	}
	if (gc_stream_past_deadline(stream)) {
		gc_stream_fail_at_deadline(stream);
		return;
	}
	check_silence(stream, &stream->main, numbers[0]);
	check_silence(stream, &stream->extra, numbers[1]);
	retry(stream);
	gc_stream_arm(stream);
}
