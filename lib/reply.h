/* Response to the caller of a generation: an event stream or one JSON body. */
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
	/* The model must be set before the first token is sent. */
	const gc_completion_request_t *completion_request;
	const uint8_t *fleet_key;
	const char *request_id; /* hexadecimal */
	int64_t created; /* Unix time in seconds */
	const char *last_event_id; /* of a resume, else NULL */
	/* Called when the send buffer drains to the low watermark. */
	gc_http_drained_t drained;
	void *ctx;
} gc_reply_conf_t;

/*
 * The reply belongs to mem. req, completion_request, fleet_key and ctx in conf
 * must outlive it; the strings are copied.
 */
gc_reply_t *gc_reply_create(TALLOC_CTX *mem, const gc_reply_conf_t *conf);
/* Sends a token event; does nothing if the response is not streamed. */
void gc_reply_send_token(gc_reply_t *reply, gc_str_t token,
			 const gc_cursor_t *cursor);
/*
 * Ends the response. text is the text of all tokens; it is used only if the
 * response is not streamed.
 */
void gc_reply_finish(gc_reply_t *reply, gc_str_t text, const char *reason,
		     const gc_usage_t *usage);
/*
 * Ends the response with an error: as an HTTP error response, or as an error
 * event if the event stream has begun.
 */
void gc_reply_fail(gc_reply_t *reply, const GError *err, gc_run_state_t run,
		   unsigned int retry_after_s);
/* Closes the connection of an event stream without a final event. */
void gc_reply_abort(gc_reply_t *reply);
/*
 * Sends a comment line in an event stream if nothing is buffered, so that the
 * caller can tell an idle connection from a lost one.
 */
void gc_reply_send_keep_alive(gc_reply_t *reply);
/* True once the response header of an event stream was sent. */
bool gc_reply_stream_begun(const gc_reply_t *reply);
/* True if the send buffer is above the high watermark. */
bool gc_reply_is_backlogged(const gc_reply_t *reply);

#endif
