/* Completion and failure of a generation, its deadline and cancellation. */
#include <string.h>

#include "core/stream_private.h"

bool gc_stream_past_deadline(const gc_stream_t *s)
{
	return gc_stream_has_deadline(s) &&
	       gc_stream_has_passed(gc_stream_now(s), s->conf.deadline);
}

bool gc_stream_is_complete(const gc_stream_t *s)
{
	return !s->verifying && s->conf.max_tokens > 0 &&
	       s->n_tokens >= s->conf.max_tokens;
}

void gc_stream_cancel_attempt(gc_stream_t *s, attempt_t *a, bool end_run)
{
	uint32_t number = a->number;

	if (!gc_stream_attempt_is_live(a))
		return;
	memset(a, 0, sizeof(*a));
	s->ops->cancel(s->ctx, number, end_run);
}

void gc_stream_terminate(gc_stream_t *s)
{
	s->ended = true;
	s->retry_pending = false;
	gc_stream_cancel_attempt(s, &s->primary, true);
	gc_stream_cancel_attempt(s, &s->hedge, true);
}

void gc_stream_finish(gc_stream_t *s, const char *reason)
{
	if (s->ended)
		return;
	gc_stream_terminate(s);
	s->ops->set_timer(s->ctx, NULL);
	s->ops->finish(s->ctx, reason);
}

void gc_stream_fail(gc_stream_t *s, gc_errcode_t code, const char *step,
		    const char *message)
{
	GError *err = NULL;

	if (s->ended)
		return;
	gc_error_set(&err, code, step,
		     s->last_error_engine[0] ? s->last_error_engine : NULL,
		     "%s after %" G_GUINT64_FORMAT " tokens%s%s", message,
		     s->n_tokens, s->last_error ? "; last error: " : "",
		     s->last_error ? s->last_error : "");
	gc_stream_terminate(s);
	s->ops->set_timer(s->ctx, NULL);
	s->ops->fail(s->ctx, err);
	g_error_free(err);
}

void gc_stream_fail_at_deadline(gc_stream_t *s)
{
	if (s->retry_pending && !s->verifying)
		gc_stream_fail(s, GC_ERR_UNAVAILABLE, "pick",
			       "no engine available before the deadline");
	else
		gc_stream_fail(s, GC_ERR_TIMEOUT, "deadline",
			       "deadline exceeded");
}

bool gc_stream_check_caller(gc_stream_t *s)
{
	if (s->ended)
		return false;
	if (s->ops->caller_connected(s->ctx))
		return true;
	gc_stream_terminate(s);
	return false;
}
