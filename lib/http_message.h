/* Incremental parser of HTTP/1.1 requests and responses, over http-parser. */
#ifndef GC_LIB_HTTP_MESSAGE_H
#define GC_LIB_HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <talloc.h>

#include "core/str.h"

typedef struct gc_http_message gc_http_message_t;

typedef enum gc_http_message_kind {
	GC_HTTP_MESSAGE_REQUEST,
	GC_HTTP_MESSAGE_RESPONSE,
} gc_http_message_kind_t;

typedef enum gc_http_message_state {
	GC_HTTP_MESSAGE_EMPTY, /* no byte received yet */
	GC_HTTP_MESSAGE_HEAD, /* receiving the head */
	GC_HTTP_MESSAGE_BODY, /* the head is complete, the body is not */
	GC_HTTP_MESSAGE_COMPLETE,
	GC_HTTP_MESSAGE_INVALID, /* not HTTP/1.1, or ambiguous */
	GC_HTTP_MESSAGE_UNSUPPORTED, /* a method that no route can name */
	GC_HTTP_MESSAGE_HEAD_TOO_LARGE,
	GC_HTTP_MESSAGE_BODY_TOO_LARGE,
} gc_http_message_state_t;

typedef struct gc_http_message_limits {
	size_t max_head; /* bytes */
	size_t max_body; /* bytes; 0: no limit */
} gc_http_message_limits_t;

typedef struct gc_header {
	gc_str_t name;
	gc_str_t value;
} gc_header_t;

gc_http_message_t *gc_http_message_create(TALLOC_CTX *mem,
					  gc_http_message_kind_t kind);
void gc_http_message_set_limits(gc_http_message_t *message,
				const gc_http_message_limits_t *limits);
/* The response is to a HEAD request and has no body. */
void gc_http_message_expect_no_body(gc_http_message_t *message);
/*
 * Parses bytes up to the end of the message and returns their number; the rest
 * belongs to the next message. Interim responses (1xx) are skipped.
 */
size_t gc_http_message_feed(gc_http_message_t *message, gc_str_t data);
/* The peer closed its side, which completes a body without a length. */
void gc_http_message_feed_eof(gc_http_message_t *message);
/* Prepares for the next message of the connection. */
void gc_http_message_reset(gc_http_message_t *message);

gc_http_message_state_t gc_http_message_state(const gc_http_message_t *message);
/* Describes the error of an invalid or too large message; "" if none. */
const char *gc_http_message_error(const gc_http_message_t *message);

/* The following are valid from GC_HTTP_MESSAGE_BODY on, until reset. */
const char *gc_http_message_method(const gc_http_message_t *message);
gc_str_t gc_http_message_target(const gc_http_message_t *message);
int gc_http_message_status(const gc_http_message_t *message);
size_t gc_http_message_n_headers(const gc_http_message_t *message);
gc_header_t gc_http_message_header(const gc_http_message_t *message, size_t i);
/* The value of the first header of that name; data is NULL if there is none. */
gc_str_t gc_http_message_find_header(const gc_http_message_t *message,
				     const char *name);
/* Number of headers of that name. */
size_t gc_http_message_count_header(const gc_http_message_t *message,
				    const char *name);
/* True for hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1). */
bool gc_http_message_is_hop_by_hop(const gc_http_message_t *message,
				   gc_str_t name);
/* True if the connection can carry another message after this one. */
bool gc_http_message_keep_alive(const gc_http_message_t *message);
/* True if the body has neither a length nor chunks: it ends at close. */
bool gc_http_message_body_until_close(const gc_http_message_t *message);
bool gc_http_message_is_http10(const gc_http_message_t *message);

/* Body bytes not discarded yet; valid until the next feed, discard or reset. */
gc_str_t gc_http_message_body(const gc_http_message_t *message);
void gc_http_message_discard_body(gc_http_message_t *message);

/* Compares header names, ignoring case. */
bool gc_header_name_is(gc_str_t name, const char *other);

#endif
