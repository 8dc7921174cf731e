/* JSON of requests and responses of completions and chat completions. */
#ifndef GC_LIB_OPENAI_H
#define GC_LIB_OPENAI_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <talloc.h>

#include "core/str.h"

/* Largest max_tokens of a request. */
#define GC_MAX_TOKENS 100000
/* Mean length of a token in English text, for estimates. */
#define GC_BYTES_PER_TOKEN 4

typedef struct gc_generate {
	bool chat;
	bool stream;
	char *model; /* NULL on a resume by GET until known */
	char *prompt; /* of a chat: its messages, rendered as one text */
	uint64_t max_tokens;
	int64_t priority;
	gc_str_t *prefix; /* tokens that the caller already received */
	size_t n_prefix;
} gc_generate_t;

/* Members common to all chunks and responses of one generation. */
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
 * Parses and checks a request body. The result is freed with mem. Errors:
 * GC_ERR_INVALID; the message begins with the name of the invalid member.
 */
gc_generate_t *gc_generate_parse(TALLOC_CTX *mem, bool chat, json_t *body,
				 GError **err);

/* The chunk of one token; first: of the generation's first token. */
json_t *gc_answer_chunk(const gc_answer_t *completion, gc_str_t text,
			bool first);
/* The last chunk, with finish_reason and usage. */
json_t *gc_answer_last_chunk(const gc_answer_t *completion, const char *reason,
			     const gc_usage_t *usage);
/* The response of a generation that isn't streamed. */
json_t *gc_answer_whole(const gc_answer_t *completion, gc_str_t text,
			const char *reason, const gc_usage_t *usage);

/* Number of tokens of a text (0 if NULL), estimated from its length. */
uint64_t gc_estimate_tokens(const char *text);

#endif
