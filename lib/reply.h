/* The caller's side of a generation: events or one whole answer. */
#ifndef GC_LIB_REPLY_H
#define GC_LIB_REPLY_H

#include <stdbool.h>

#include "core/cursor.h"
#include "core/error.h"
#include "lib/httpd.h"
#include "lib/openai.h"

typedef struct gc_reply gc_reply_t;

typedef struct gc_reply_conf {
	gc_http_req_t *req;
	const gc_generate_t *request; /* its model must be known by a token */
	const uint8_t *fleet_key;
	const char *request_id; /* hexadecimal */
	int64_t created; /* seconds since 1970 */
	const char *last_event_id; /* a resume's cursor, else NULL */
	gc_http_drained_t drained; /* the buffer fell below the low mark */
	void *ctx;
} gc_reply_conf_t;

gc_reply_t *gc_reply_create(TALLOC_CTX *mem, const gc_reply_conf_t *conf);
/* Sends a token; without effect on a whole answer. */
void gc_reply_token(gc_reply_t *reply, gc_str_t token,
		    const gc_cursor_t *cursor);
/* Ends the answer. text is that of all tokens, for a whole answer. */
void gc_reply_finish(gc_reply_t *reply, gc_str_t text, const char *reason,
		     const gc_usage_t *usage);
/* Ends the answer with a typed error, as a refusal or as an event. */
void gc_reply_fail(gc_reply_t *reply, const GError *err, gc_run_state_t run,
		   unsigned int retry_after_s);
/* Closes the connection of a begun answer without a proper end. */
void gc_reply_abort(gc_reply_t *reply);
/* Sends a comment line, so that a broken connection is noticed. */
void gc_reply_keep_alive(gc_reply_t *reply);
/* True once the first bytes of an event stream were sent. */
bool gc_reply_begun(const gc_reply_t *reply);
/* True if the caller reads slower than the engine writes. */
bool gc_reply_is_full(const gc_reply_t *reply);

#endif
