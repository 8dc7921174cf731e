/* JSON shapes of completions and chat completions. */
#ifndef GC_LIB_OPENAI_H
#define GC_LIB_OPENAI_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <talloc.h>

#include "core/str.h"

/* Most tokens that a caller may ask for. */
#define GC_MAX_TOKENS 100000
/* Bytes of text per token, a usual mean of English text. */
#define GC_BYTES_PER_TOKEN 4

typedef struct gc_generate {
	bool chat;
	bool stream;
	char *model; /* NULL until known, on a resume by GET */
	char *prompt; /* of a chat: its messages, rendered */
	uint64_t max_tokens;
	int64_t priority;
	gc_str_t *prefix; /* tokens that the caller holds */
	size_t n_prefix;
} gc_generate_t;

/* What every chunk or answer of one generation repeats. */
typedef struct gc_answer {
	const char *id;
	int64_t created; /* seconds since 1970 */
	const gc_generate_t *request;
} gc_answer_t;

typedef struct gc_usage {
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
} gc_usage_t;

/*
 * Reads and checks a request body. The result belongs to mem. Errors:
 * GC_ERR_INVALID, led by the name of the wrong member.
 */
gc_generate_t *gc_generate_parse(TALLOC_CTX *mem, bool chat, json_t *body,
				 GError **err);

/* One chunk of a stream with a token's text. */
json_t *gc_answer_chunk(const gc_answer_t *answer, gc_str_t text, bool first);
/* The last chunk, with the reason and the usage. */
json_t *gc_answer_last_chunk(const gc_answer_t *answer, const char *reason,
			     const gc_usage_t *usage);
/* The whole answer. */
json_t *gc_answer_whole(const gc_answer_t *answer, gc_str_t text,
			const char *reason, const gc_usage_t *usage);

/* Tokens of a text, estimated from its length. */
uint64_t gc_estimate_tokens(const char *text);

#endif
