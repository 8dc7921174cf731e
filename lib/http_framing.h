/*
 * Line ends of a request's head and frames of its chunks, which http-parser doesn't
 * check: it takes the byte after a CR for the LF, and any two bytes for the end of a
 * chunk, so that it sees ends where others see none (RFC 9112, 2.2 and 7.1). And the
 * status of a response, of which it accepts every number up to 999, whatever its digits.
 */
#ifndef GC_LIB_HTTP_FRAMING_H
#define GC_LIB_HTTP_FRAMING_H

#include <stdbool.h>
#include <stddef.h>

#include "core/str.h"

typedef enum gc_http_line {
	GC_HTTP_LINE_NONE, /* before the first one, or empty ones before it */
	GC_HTTP_LINE_INSIDE,
	GC_HTTP_LINE_BEGINS, /* after the end of one that isn't empty */
	GC_HTTP_LINE_LAST, /* the empty one has ended */
} gc_http_line_t;

typedef enum gc_http_chunk {
	GC_HTTP_CHUNK_SIZE,
	GC_HTTP_CHUNK_EXTENSION,
	GC_HTTP_CHUNK_SIZE_LF,
	GC_HTTP_CHUNK_DATA,
	GC_HTTP_CHUNK_DATA_CR,
	GC_HTTP_CHUNK_DATA_LF,
	GC_HTTP_CHUNK_TRAILERS,
} gc_http_chunk_t;

typedef enum gc_http_status_line {
	GC_HTTP_STATUS_LINE_VERSION, /* or empty lines before it */
	GC_HTTP_STATUS_LINE_CODE,
	GC_HTTP_STATUS_LINE_PASSED,
} gc_http_status_line_t;

/* Must be zeroed before each request and each response, interim ones too. */
typedef struct gc_http_framing {
	gc_http_line_t line;
	bool after_cr;
	gc_http_chunk_t chunk;
	unsigned int n_digits;
	size_t left; /* bytes of the chunk */
	gc_http_status_line_t status_line;
	unsigned int n_status_digits;
	unsigned int status;
	const char *fault; /* NULL: none */
} gc_http_framing_t;

/* Looks at bytes up to the end of the head and returns their number; sets fault. */
size_t gc_http_framing_head(gc_http_framing_t *framing, gc_str_t data);
bool gc_http_framing_has_head(const gc_http_framing_t *framing);
/* Looks at bytes of a chunked body, up to its end; sets fault. */
void gc_http_framing_chunks(gc_http_framing_t *framing, gc_str_t data);
/* Looks at bytes of a response up to the end of its status; sets fault. */
void gc_http_framing_status(gc_http_framing_t *framing, gc_str_t data);

#endif
