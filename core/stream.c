/* Public functions of gc_stream_t and the tokens it holds. */
#include <string.h>

#include "core/stream_private.h"

static attempt_t *find_attempt(gc_stream_t *s, uint32_t number);

static attempt_t *find_attempt(gc_stream_t *s, uint32_t number)
{
	if (gc_stream_attempt_is_live(&s->primary) &&
	    s->primary.number == number)
		return &s->primary;
	if (gc_stream_attempt_is_live(&s->hedge) && s->hedge.number == number)
		return &s->hedge;
	return NULL;
}

void gc_stream_append_token(gc_stream_t *s, gc_str_t token)
{
	uint64_t start = s->n_tokens > 0 ? s->token_ends[s->n_tokens - 1] : 0;
	uint64_t ends_capacity = talloc_array_length(s->token_ends);
	uint64_t bytes_capacity = talloc_array_length(s->token_bytes);

	if (s->n_tokens == ends_capacity)
		s->token_ends = talloc_realloc(s, s->token_ends, uint64_t,
					       ends_capacity * 2 + 64);
	if (start + token.len > bytes_capacity)
		s->token_bytes = talloc_realloc(s, s->token_bytes, char,
						(start + token.len) * 2 + 256);
	if (token.len > 0)
		memcpy(s->token_bytes + start, token.data, token.len);
	s->token_ends[s->n_tokens++] = start + token.len;
	s->hash = gc_token_hash_update(s->hash, token);
}

void gc_stream_clear_tokens(gc_stream_t *s)
{
	s->n_tokens = 0;
	s->hash = 0;
}

gc_stream_t *gc_stream_create(TALLOC_CTX *mem, const gc_stream_conf_t *conf,
			      const gc_stream_ops_t *ops, void *ctx)
{
	gc_stream_t *s = talloc_zero(mem, gc_stream_t);

	s->conf = *conf;
	s->ops = ops;
	s->ctx = ctx;
	s->token_bytes = talloc_array(s, char, 0);
	s->token_ends = talloc_array(s, uint64_t, 0);
	return s;
}

void gc_stream_destroy(gc_stream_t *stream)
{
	talloc_free(stream);
}

void gc_stream_begin(gc_stream_t *stream)
{
	gc_stream_start_attempt(stream);
	gc_stream_update_timer(stream);
}

void gc_stream_resume(gc_stream_t *stream, const gc_cursor_t *cursor,
		      const gc_str_t *prefix, size_t n)
{
	stream->cursor = *cursor;
	stream->last_attempt_number = cursor->attempt;
	stream->verifying = true;
	if (gc_stream_prefix_matches(cursor, prefix, n))
		gc_stream_save_prefix(stream, prefix, n);
	gc_stream_verify_run(stream);
	gc_stream_update_timer(stream);
}

void gc_stream_on_run(gc_stream_t *stream, uint32_t attempt, const char *run,
		      uint64_t from)
{
	attempt_t *a = find_attempt(stream, attempt);

	if (!a)
		return;
	gc_stream_handle_run(stream, a, run, from);
	gc_stream_update_timer(stream);
}

void gc_stream_on_token(gc_stream_t *stream, uint32_t attempt, uint64_t offset,
			gc_str_t token)
{
	attempt_t *a = find_attempt(stream, attempt);

	if (!a)
		return;
	gc_stream_handle_token(stream, a, offset, token);
	gc_stream_update_timer(stream);
}

void gc_stream_on_end(gc_stream_t *stream, uint32_t attempt, const char *reason,
		      uint64_t tokens)
{
	attempt_t *a = find_attempt(stream, attempt);

	if (!a)
		return;
	gc_stream_handle_end(stream, a, reason, tokens);
	gc_stream_update_timer(stream);
}

void gc_stream_on_error(gc_stream_t *stream, uint32_t attempt,
			const GError *err)
{
	attempt_t *a = find_attempt(stream, attempt);

	if (!a)
		return;
	gc_stream_handle_error(stream, a, err);
	gc_stream_update_timer(stream);
}

void gc_stream_on_caller_disconnected(gc_stream_t *stream)
{
	if (!stream->ended)
		gc_stream_terminate(stream);
}

uint64_t gc_stream_token_count(const gc_stream_t *stream)
{
	return stream->n_tokens;
}

gc_str_t gc_stream_token(const gc_stream_t *stream, uint64_t i)
{
	uint64_t start = i > 0 ? stream->token_ends[i - 1] : 0;

	return (gc_str_t){stream->token_bytes + start,
			  stream->token_ends[i] - start};
}

bool gc_stream_has_ended(const gc_stream_t *stream)
{
	return stream->ended;
}
