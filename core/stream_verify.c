/*
 * Verification that the run a cursor names begins with the tokens that the
 * caller received, before further tokens are delivered.
 */
#include "core/stream_private.h"

/* Attachments to the cursor's run if the caller sent no matching prefix. */
#define MAX_VERIFY_ATTEMPTS   4
#define VERIFY_RETRY_DELAY_MS 100 /* doubles with each attempt */

static void restore_prefix(gc_stream_t *s);

bool gc_stream_prefix_matches(const gc_cursor_t *cursor, const gc_str_t *prefix,
			      size_t n)
{
	uint64_t hash = 0;

	for (size_t i = 0; i < n; i++)
		hash = gc_token_hash_update(hash, prefix[i]);
	return n == cursor->offset && hash == cursor->hash;
}

void gc_stream_save_prefix(gc_stream_t *s, const gc_str_t *prefix, size_t n)
{
	s->prefix = talloc_array(s, gc_str_t, n);
	for (size_t i = 0; i < n; i++)
		s->prefix[i] = gc_str_dup(s->prefix, prefix[i]);
	s->has_prefix = true;
}

static void restore_prefix(gc_stream_t *s)
{
	gc_stream_clear_tokens(s);
	for (uint64_t i = 0; i < s->cursor.offset; i++)
		gc_stream_append_token(s, s->prefix[i]);
	s->verifying = false;
}

void gc_stream_handle_lost_run(gc_stream_t *s)
{
	if (s->ended)
		return;
	if (!s->has_prefix) {
		gc_stream_clear_tokens(s);
		gc_stream_fail(s, GC_ERR_LOST, "resume",
			       "run lost and no matching prefix sent");
		return;
	}
	restore_prefix(s);
	if (gc_stream_is_complete(s)) {
		gc_stream_finish(s, FINISH_REASON_LENGTH);
		return;
	}
	gc_stream_start_attempt(s);
}

void gc_stream_verify_run(gc_stream_t *s)
{
	attempt_t run = {.has_produced = true};

	s->retry_pending = false;
	if (gc_stream_past_deadline(s)) {
		gc_stream_fail_at_deadline(s);
		return;
	}
	if (s->attempted && !gc_stream_check_caller(s))
		return;
	s->attempted = true;
	s->n_verify_attempts++;
	gc_stream_clear_tokens(s);
	g_strlcpy(run.engine, s->cursor.engine, sizeof(run.engine));
	g_strlcpy(run.run, s->cursor.run, sizeof(run.run));
	gc_stream_attach_run(s, &run);
}

void gc_stream_retry_verify(gc_stream_t *s)
{
	uint32_t max = s->has_prefix ? 1 + MAX_REATTACHES : MAX_VERIFY_ATTEMPTS;

	if (s->ended)
		return;
	if (s->n_verify_attempts >= max) {
		gc_stream_handle_lost_run(s);
		return;
	}
	if (s->n_verify_attempts <= MAX_REATTACHES) {
		gc_stream_verify_run(s);
		return;
	}
	gc_stream_schedule_retry(
		s, (int64_t)VERIFY_RETRY_DELAY_MS
			   << (s->n_verify_attempts - MAX_REATTACHES - 1));
}

/*
 * The run's tokens differ from the caller's. The run is not cancelled: after a
 * restart of its engine the id may name another request's run.
 */
void gc_stream_reject_run(gc_stream_t *s, attempt_t *a)
{
	gc_stream_record_error(s, a->engine, ERR_RUN_MISMATCH);
	gc_stream_cancel_attempt(s, a, false);
	gc_stream_handle_lost_run(s);
}

void gc_stream_verify_token(gc_stream_t *s, attempt_t *a, gc_str_t token)
{
	a->last_activity = gc_stream_now(s);
	gc_stream_append_token(s, token);
	if (s->n_tokens < s->cursor.offset)
		return;
	if (s->hash != s->cursor.hash) {
		gc_stream_reject_run(s, a);
		return;
	}
	s->verifying = false;
	a->n_reattached = 0;
}
