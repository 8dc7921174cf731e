/* What the events of an attempt do to its generation. */
#include <string.h>

#include "core/stream_private.h"

static void compare_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
			  gc_str_t token);
static void leave_run(gc_stream_t *s, attempt_t *a);
static void break_protocol(gc_stream_t *s, attempt_t *a, const char *what);
static attempt_t *win(gc_stream_t *s, attempt_t *a);
static void deliver(gc_stream_t *s, attempt_t *a, gc_str_t token);
static bool is_cut(const GError *err);

/* A token of an attached run that is held already. */
static void compare_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
			  gc_str_t token)
{
	a->silent_since = gc_stream_now(s);
	if (!gc_str_eq(token, gc_stream_token(s, offset)))
		leave_run(s, a);
}

/* The id names another run than before; that run is not ended. */
static void leave_run(gc_stream_t *s, attempt_t *a)
{
	gc_stream_note_error(s, a->engine, RUN_DIFFERS);
	gc_stream_stop_attempt(s, a, false);
	gc_stream_after_loss(s);
}

static void break_protocol(gc_stream_t *s, attempt_t *a, const char *what)
{
	gc_stream_note_error(s, a->engine, what);
	gc_stream_avoid_engine(s, a->engine);
	gc_stream_report(s, a->engine, GC_ENGINE_FAILED);
	if (s->checking) {
		gc_stream_stop_attempt(s, a, false);
		gc_stream_run_is_lost(s);
		return;
	}
	gc_stream_stop_attempt(s, a, true);
	if (gc_stream_is_whole(s)) {
		gc_stream_finish(s, REASON_LENGTH);
		return;
	}
	gc_stream_after_loss(s);
}

/* The attempt yielded first: it becomes the only one. */
static attempt_t *win(gc_stream_t *s, attempt_t *a)
{
	gc_stream_stop_waiting(s);
	if (a == &s->extra) {
		attempt_t loser = s->main;

		s->main = s->extra;
		s->extra = loser;
	}
	a = &s->main;
	a->yielded = true;
	a->suspected = false;
	a->last_wait = false;
	a->probing = false;
	a->reattached = 0;
	a->silent_since = gc_stream_now(s);
	gc_stream_stop_attempt(s, &s->extra, true);
	return a;
}

static void deliver(gc_stream_t *s, attempt_t *a, gc_str_t token)
{
	gc_cursor_t cursor = {.attempt = a->number};

	a = win(s, a);
	if (!a->reported) {
		a->reported = true;
		gc_stream_report(s, a->engine, GC_ENGINE_OK);
	}
	if (s->over)
		return;
	gc_stream_hold(s, token);
	memcpy(cursor.request, s->conf.request, sizeof(cursor.request));
	g_strlcpy(cursor.engine, a->engine, sizeof(cursor.engine));
	g_strlcpy(cursor.run, a->run, sizeof(cursor.run));
	cursor.offset = s->n_tokens;
	cursor.hash = s->hash;
	s->ops->deliver(s->ctx, token, &cursor);
}

void gc_stream_run_accepted(gc_stream_t *s, attempt_t *a, const char *run,
			    uint64_t from)
{
	if (a->state != ATTEMPT_STARTING) {
		break_protocol(s, a, "second run event");
		return;
	}
	if (run[0] == '\0' || strlen(run) >= sizeof(a->run)) {
		break_protocol(s, a, "run id empty or too long");
		return;
	}
	if (a->attached && strcmp(run, a->run) != 0) {
		break_protocol(s, a, "attached to another run");
		return;
	}
	/* A new run with another prefix would be another response. */
	if (from != a->from) {
		break_protocol(s, a, "first offset is not the requested one");
		return;
	}
	a->state = ATTEMPT_STREAMING;
	g_strlcpy(a->run, run, sizeof(a->run));
	a->silent_since = gc_stream_now(s);
	/* A sign of life, as long as nothing was started instead. */
	if (!gc_stream_other(s, a)) {
		a->suspected = false;
		gc_stream_stop_waiting(s);
	}
	if (s->checking && s->cursor.offset == 0)
		s->checking = false;
}

void gc_stream_take_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
			  gc_str_t token)
{
	if (a->state != ATTEMPT_STREAMING) {
		break_protocol(s, a, "token before the run event");
		return;
	}
	if (offset < a->next)
		return;
	if (offset > a->next) {
		break_protocol(s, a, "gap between tokens");
		return;
	}
	if (s->conf.max_tokens > 0 && offset >= s->conf.max_tokens) {
		break_protocol(s, a, "token beyond the limit");
		return;
	}
	a->next++;
	if (s->checking)
		gc_stream_check_token(s, a, token);
	else if (offset < s->n_tokens)
		compare_token(s, a, offset, token);
	else
		deliver(s, a, token);
}

void gc_stream_take_end(gc_stream_t *s, attempt_t *a, const char *reason,
			uint64_t tokens)
{
	if (a->state != ATTEMPT_STREAMING) {
		break_protocol(s, a, "end before the run event");
		return;
	}
	if (s->checking) {
		gc_stream_check_failed(s, a);
		return;
	}
	if (a->next < s->n_tokens) {
		leave_run(s, a);
		return;
	}
	if (tokens != s->n_tokens) {
		break_protocol(s, a, "number of tokens differs at the end");
		return;
	}
	a = win(s, a);
	gc_stream_stop_attempt(s, a, false);
	gc_stream_finish(s, reason);
}

static bool is_cut(const GError *err)
{
	return g_error_matches(err, GC_ERROR, GC_ERR_IO) ||
	       g_error_matches(err, GC_ERROR, GC_ERR_TIMEOUT);
}

void gc_stream_take_broken(gc_stream_t *s, attempt_t *a, const GError *err)
{
	bool is_gone =
		a->attached && g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND);
	attempt_t was = *a;

	memset(a, 0, sizeof(*a));
	gc_stream_note_error(s, was.engine, err->message);
	if (s->checking) {
		if (is_cut(err))
			gc_stream_check_again(s);
		else
			gc_stream_run_is_lost(s);
		return;
	}
	if (gc_stream_is_whole(s)) {
		gc_stream_finish(s, REASON_LENGTH);
		return;
	}
	if (is_cut(err) && was.run[0] && !was.probing &&
	    was.reattached < REATTACH_MAX && !gc_stream_other(s, a) &&
	    !gc_stream_past_deadline(s)) {
		if (!gc_stream_check_caller(s))
			return;
		was.reattached++;
		gc_stream_attach_run(s, &was);
		return;
	}
	if (!is_gone) {
		gc_stream_avoid_engine(s, was.engine);
		gc_stream_report(s, was.engine, GC_ENGINE_FAILED);
		/* The run may go on behind the cut connection. */
		if (was.run[0])
			s->ops->cancel(s->ctx, was.number, true);
	}
	gc_stream_after_loss(s);
}
