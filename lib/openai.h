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

typedef struct gc_completion_request {
	bool chat;
	bool stream;
	char *model; /* NULL on a resume by GET until known */
	char *prompt; /* for chat: the messages as one text */
	uint64_t max_tokens;
	int64_t priority;
	gc_str_t *prefix; /* tokens that the caller already received */
	size_t n_prefix;
} gc_completion_request_t;

/* Members common to all chunks and responses of one generation. */
typedef struct gc_completion {
	const char *id;
	int64_t created; /* Unix time in seconds */
	const gc_completion_request_t *request;
} gc_completion_t;

typedef struct gc_usage {
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
} gc_usage_t;

/*
 * Parses and checks a request body. The result is freed with mem. Errors:
 * GC_ERR_INVALID; the message begins with the name of the invalid member.
 */
gc_completion_request_t *gc_completion_request_parse(TALLOC_CTX *mem, bool chat,
						     json_t *body,
						     GError **err);

/*
 * Returns the chunk of one token. first is true for the first token of the
 * generation. This and the next two return new references.
 */
json_t *gc_completion_chunk(const gc_completion_t *completion, gc_str_t text,
			    bool first);
/* Returns the last chunk, with finish_reason and usage. */
json_t *gc_completion_last_chunk(const gc_completion_t *completion,
				 const char *reason, const gc_usage_t *usage);
/* Returns the response of a generation that isn't streamed. */
json_t *gc_completion_response(const gc_completion_t *completion, gc_str_t text,
			       const char *reason, const gc_usage_t *usage);

/* Estimates the number of tokens of a text (0 if NULL) from its length. */
uint64_t gc_estimate_tokens(const char *text);

#endif
