/* The check of the run that a cursor names, before tokens are delivered. */
#include "core/stream_private.h"

/* Tries to reach the run of a cursor when nobody else holds the tokens. */
#define CHECK_TRIES_MAX	     4
#define CHECK_RETRY_DELAY_MS 100 /* doubles with each try */

static void use_prefix(gc_stream_t *s);

bool gc_stream_prefix_matches(const gc_cursor_t *cursor, const gc_str_t *prefix,
			      size_t n)
{
	uint64_t hash = 0;

	for (size_t i = 0; i < n; i++)
		hash = gc_chain_hash(hash, prefix[i]);
	return n == cursor->offset && hash == cursor->hash;
}

void gc_stream_keep_prefix(gc_stream_t *s, const gc_str_t *prefix, size_t n)
{
	s->prefix = talloc_array(s, gc_str_t, n);
	for (size_t i = 0; i < n; i++)
		s->prefix[i] = gc_str_dup(s->prefix, prefix[i]);
	s->has_prefix = true;
}

static void use_prefix(gc_stream_t *s)
{
	gc_stream_drop_tokens(s);
	for (uint64_t i = 0; i < s->cursor.offset; i++)
		gc_stream_hold(s, s->prefix[i]);
	s->checking = false;
}

void gc_stream_run_is_lost(gc_stream_t *s)
{
	if (s->over)
		return;
	if (!s->has_prefix) {
		gc_stream_drop_tokens(s);
		gc_stream_fail(s, GC_ERR_LOST, "resume",
			       "nobody holds the delivered tokens");
		return;
	}
	use_prefix(s);
	if (gc_stream_is_whole(s)) {
		gc_stream_finish(s, REASON_LENGTH);
		return;
	}
	gc_stream_start_elsewhere(s);
}

void gc_stream_attach_to_check(gc_stream_t *s)
{
	attempt_t run = {.yielded = true};

	s->waiting = false;
	if (gc_stream_past_deadline(s)) {
		gc_stream_fail_at_deadline(s);
		return;
	}
	if (s->begun && !gc_stream_check_caller(s))
		return;
	s->begun = true;
	s->check_tries++;
	gc_stream_drop_tokens(s);
	g_strlcpy(run.engine, s->cursor.engine, sizeof(run.engine));
	g_strlcpy(run.run, s->cursor.run, sizeof(run.run));
	gc_stream_attach_run(s, &run);
}

void gc_stream_check_again(gc_stream_t *s)
{
	uint32_t max = s->has_prefix ? 1 + REATTACH_MAX : CHECK_TRIES_MAX;

	if (s->over)
		return;
	if (s->check_tries >= max) {
		gc_stream_run_is_lost(s);
		return;
	}
	if (s->check_tries <= REATTACH_MAX) {
		gc_stream_attach_to_check(s);
		return;
	}
	gc_stream_wait_until(s, (int64_t)CHECK_RETRY_DELAY_MS
					<< (s->check_tries - REATTACH_MAX - 1));
}

/*
 * The run's tokens differ from the caller's. The run is not ended: after a
 * restart of its engine the id may name another request's run.
 */
void gc_stream_check_failed(gc_stream_t *s, attempt_t *a)
{
	gc_stream_note_error(s, a->engine, RUN_DIFFERS);
	gc_stream_stop_attempt(s, a, false);
	gc_stream_run_is_lost(s);
}

void gc_stream_check_token(gc_stream_t *s, attempt_t *a, gc_str_t token)
{
	a->silent_since = gc_stream_now(s);
	gc_stream_hold(s, token);
	if (s->n_tokens < s->cursor.offset)
		return;
	if (s->hash != s->cursor.hash) {
		gc_stream_check_failed(s, a);
		return;
	}
	s->checking = false;
	a->reattached = 0;
}
