/* Events of an attempt: run accepted, token, end and error. */
#include <string.h>

#include "core/stream_private.h"

static void compare_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
			  gc_str_t token);
static void abandon_run(gc_stream_t *s, attempt_t *a);
static void handle_protocol_error(gc_stream_t *s, attempt_t *a,
				  const char *message);
static attempt_t *promote_attempt(gc_stream_t *s, attempt_t *a);
static void deliver_token(gc_stream_t *s, attempt_t *a, gc_str_t token);
static bool is_connection_error(const GError *err);

/* Compares a token of an attached run with the one held at its offset. */
static void compare_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
			  gc_str_t token)
{
	a->last_activity = gc_stream_now(s);
	if (!gc_str_eq(token, gc_stream_token(s, offset)))
		abandon_run(s, a);
}

/*
 * The run id now names another run, which is not cancelled as it may belong to
 * another request.
 */
static void abandon_run(gc_stream_t *s, attempt_t *a)
{
	gc_stream_record_error(s, a->engine, ERR_RUN_MISMATCH);
	gc_stream_cancel_attempt(s, a, false);
	gc_stream_failover(s);
}

static void handle_protocol_error(gc_stream_t *s, attempt_t *a,
				  const char *message)
{
	gc_stream_record_error(s, a->engine, message);
	gc_stream_avoid_engine(s, a->engine);
	gc_stream_report_engine(s, a->engine, GC_ENGINE_FAILED);
	if (s->verifying) {
		gc_stream_cancel_attempt(s, a, false);
		gc_stream_handle_lost_run(s);
		return;
	}
	gc_stream_cancel_attempt(s, a, true);
	if (gc_stream_is_complete(s)) {
		gc_stream_finish(s, FINISH_REASON_LENGTH);
		return;
	}
	gc_stream_failover(s);
}

/* Makes the attempt the primary one and cancels the other. */
static attempt_t *promote_attempt(gc_stream_t *s, attempt_t *a)
{
	gc_stream_reset_retry(s);
	if (a == &s->hedge) {
		attempt_t other = s->primary;

		s->primary = s->hedge;
		s->hedge = other;
	}
	a = &s->primary;
	a->has_produced = true;
	a->stalled = false;
	a->last_resort = false;
	a->probing = false;
	a->n_reattached = 0;
	a->last_activity = gc_stream_now(s);
	gc_stream_cancel_attempt(s, &s->hedge, true);
	return a;
}

static void deliver_token(gc_stream_t *s, attempt_t *a, gc_str_t token)
{
	gc_cursor_t cursor = {.attempt = a->number};

	a = promote_attempt(s, a);
	if (!a->reported_ok) {
		a->reported_ok = true;
		gc_stream_report_engine(s, a->engine, GC_ENGINE_OK);
	}
	if (s->ended)
		return;
	gc_stream_append_token(s, token);
	memcpy(cursor.request, s->conf.request, sizeof(cursor.request));
	g_strlcpy(cursor.engine, a->engine, sizeof(cursor.engine));
	g_strlcpy(cursor.run, a->run, sizeof(cursor.run));
	cursor.offset = s->n_tokens;
	cursor.hash = s->hash;
	s->ops->deliver(s->ctx, token, &cursor);
}

void gc_stream_handle_run(gc_stream_t *s, attempt_t *a, const char *run,
			  uint64_t from)
{
	if (a->state != ATTEMPT_STARTING) {
		handle_protocol_error(s, a, "duplicate run event");
		return;
	}
	if (run[0] == '\0' || strlen(run) >= sizeof(a->run)) {
		handle_protocol_error(s, a, "run id empty or too long");
		return;
	}
	if (a->attached && strcmp(run, a->run) != 0) {
		handle_protocol_error(s, a, "run event names another run");
		return;
	}
	/* A run with another prefix would produce another response. */
	if (from != a->first_offset) {
		handle_protocol_error(s, a,
				      "first offset is not the requested one");
		return;
	}
	a->state = ATTEMPT_STREAMING;
	g_strlcpy(a->run, run, sizeof(a->run));
	a->last_activity = gc_stream_now(s);
	/* Unless a hedge was started meanwhile, the stall is over. */
	if (!gc_stream_other_attempt(s, a)) {
		a->stalled = false;
		gc_stream_reset_retry(s);
	}
	if (s->verifying && s->cursor.offset == 0)
		s->verifying = false;
}

void gc_stream_handle_token(gc_stream_t *s, attempt_t *a, uint64_t offset,
			    gc_str_t token)
{
	if (a->state != ATTEMPT_STREAMING) {
		handle_protocol_error(s, a, "token before the run event");
		return;
	}
	if (offset < a->next_offset)
		return;
	if (offset > a->next_offset) {
		handle_protocol_error(s, a, "token offset leaves a gap");
		return;
	}
	if (s->conf.max_tokens > 0 && offset >= s->conf.max_tokens) {
		handle_protocol_error(s, a, "token beyond max_tokens");
		return;
	}
	a->next_offset++;
	if (s->verifying)
		gc_stream_verify_token(s, a, token);
	else if (offset < s->n_tokens)
		compare_token(s, a, offset, token);
	else
		deliver_token(s, a, token);
}

void gc_stream_handle_end(gc_stream_t *s, attempt_t *a, const char *reason,
			  uint64_t tokens)
{
	if (a->state != ATTEMPT_STREAMING) {
		handle_protocol_error(s, a, "end before the run event");
		return;
	}
	if (s->verifying) {
		gc_stream_reject_run(s, a);
		return;
	}
	if (a->next_offset < s->n_tokens) {
		abandon_run(s, a);
		return;
	}
	if (tokens != s->n_tokens) {
		handle_protocol_error(s, a,
				      "end event has another token count");
		return;
	}
	a = promote_attempt(s, a);
	gc_stream_cancel_attempt(s, a, false);
	gc_stream_finish(s, reason);
}

static bool is_connection_error(const GError *err)
{
	return g_error_matches(err, GC_ERROR, GC_ERR_IO) ||
	       g_error_matches(err, GC_ERROR, GC_ERR_TIMEOUT);
}

/*
 * True if the engine closed the connection after the start request, or lost a
 * run that had produced no token and was attached to again.
 */
static bool has_ended_engine(const attempt_t *lost, const GError *err)
{
	if (!lost->attached)
		return g_error_matches(err, GC_ERROR, GC_ERR_LOST);
	return lost->n_reattached > 0 && !lost->has_produced &&
	       (g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND) ||
		is_connection_error(err));
}

void gc_stream_handle_error(gc_stream_t *s, attempt_t *a, const GError *err)
{
	/* The engine has not failed if it no longer knows an attached run. */
	bool run_not_found =
		a->attached && g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND);
	attempt_t lost = *a;

	memset(a, 0, sizeof(*a));
	gc_stream_record_error(s, lost.engine, err->message);
	if (s->verifying) {
		if (is_connection_error(err))
			gc_stream_retry_verify(s);
		else
			gc_stream_handle_lost_run(s);
		return;
	}
	if (gc_stream_is_complete(s)) {
		gc_stream_finish(s, FINISH_REASON_LENGTH);
		return;
	}
	if (is_connection_error(err) && lost.run[0] && !lost.probing &&
	    lost.n_reattached < MAX_REATTACHES &&
	    !gc_stream_other_attempt(s, a) && !gc_stream_past_deadline(s)) {
		if (!gc_stream_check_caller(s))
			return;
		lost.n_reattached++;
		gc_stream_attach_run(s, &lost);
		return;
	}
	if (!run_not_found) {
		gc_stream_avoid_engine(s, lost.engine);
		gc_stream_report_engine(s, lost.engine, GC_ENGINE_FAILED);
		/* The run may still be active without the connection. */
		if (lost.run[0])
			s->ops->cancel(s->ctx, lost.number, true);
	}
	s->n_engines_ended += has_ended_engine(&lost, err);
	if (s->n_engines_ended >= MAX_ENGINES_ENDED && !s->ended &&
	    !gc_stream_other_attempt(s, a)) {
		gc_stream_fail(s, GC_ERR_UNAVAILABLE, "attempt",
			       "engines ended before the first token");
		return;
	}
	gc_stream_failover(s);
}
