/* Line ends and chunk frames of requests, and statuses of responses. */
#include <glib.h>

#include "lib/http_framing.h"

/* Larger chunks are over every limit on bodies. */
#define MAX_SIZE_DIGITS 8
/* RFC 9112, 4 and RFC 9110, 15. */
#define STATUS_DIGITS		   3
#define MIN_STATUS		   100
#define MAX_STATUS		   599
#define STATUS_SWITCHING_PROTOCOLS 101

static size_t scan_lines(gc_http_framing_t *framing, gc_str_t data);
static void scan_chunk_byte(gc_http_framing_t *framing, char c);
static void begin_trailers(gc_http_framing_t *framing);
static const char *status_fault(const gc_http_framing_t *framing);

size_t gc_http_framing_head(gc_http_framing_t *framing, gc_str_t data)
{
	return scan_lines(framing, data);
}

bool gc_http_framing_has_head(const gc_http_framing_t *framing)
{
	return framing->line == GC_HTTP_LINE_LAST;
}

/* Up to the end of the empty line that ends a head or trailers. A header that is folded
 * over two lines is unfolded in different ways (RFC 9112, 5.2). */
static size_t scan_lines(gc_http_framing_t *framing, gc_str_t data)
{
	for (size_t i = 0; i < data.len; i++) {
		char c = data.data[i];

		if (framing->after_cr && c != '\n') {
			framing->fault = "a CR without an LF";
			return i;
		}
		framing->after_cr = c == '\r';
		if (framing->line == GC_HTTP_LINE_BEGINS &&
		    (c == ' ' || c == '\t')) {
			framing->fault = "a header is folded over two lines";
			return i;
		}
		if (c == '\n' && framing->line == GC_HTTP_LINE_BEGINS) {
			framing->line = GC_HTTP_LINE_LAST;
			return i + 1;
		}
		if (c == '\n' && framing->line == GC_HTTP_LINE_INSIDE)
			framing->line = GC_HTTP_LINE_BEGINS;
		else if (c != '\n' && c != '\r')
			framing->line = GC_HTTP_LINE_INSIDE;
	}
	return data.len;
}

void gc_http_framing_chunks(gc_http_framing_t *framing, gc_str_t data)
{
	size_t i = 0;

	while (i < data.len && !framing->fault) {
		gc_str_t rest = {data.data + i, data.len - i};

		if (framing->chunk == GC_HTTP_CHUNK_TRAILERS) {
			scan_lines(framing, rest);
			return;
		}
		if (framing->chunk == GC_HTTP_CHUNK_DATA) {
			size_t n = MIN(framing->left, rest.len);

			framing->left -= n;
			i += n;
			if (framing->left == 0)
				framing->chunk = GC_HTTP_CHUNK_DATA_CR;
			continue;
		}
		scan_chunk_byte(framing, data.data[i++]);
	}
}

static void scan_chunk_byte(gc_http_framing_t *framing, char c)
{
	switch (framing->chunk) {
	case GC_HTTP_CHUNK_SIZE:
		if (g_ascii_isxdigit(c) &&
		    framing->n_digits < MAX_SIZE_DIGITS) {
			framing->left = framing->left * 16 +
					(size_t)g_ascii_xdigit_value(c);
			framing->n_digits++;
		} else if (framing->n_digits > 0 && c == '\r') {
			framing->chunk = GC_HTTP_CHUNK_SIZE_LF;
		} else if (framing->n_digits > 0 &&
			   (c == ';' || c == ' ' || c == '\t')) {
			framing->chunk = GC_HTTP_CHUNK_EXTENSION;
		} else {
			framing->fault = "an invalid size of a chunk";
		}
		break;
	case GC_HTTP_CHUNK_EXTENSION:
		if (c == '\r')
			framing->chunk = GC_HTTP_CHUNK_SIZE_LF;
		else if (c == '\n')
			framing->fault = "an invalid size of a chunk";
		break;
	case GC_HTTP_CHUNK_SIZE_LF:
		if (c != '\n')
			framing->fault = "a CR without an LF";
		else if (framing->left == 0)
			begin_trailers(framing);
		else
			framing->chunk = GC_HTTP_CHUNK_DATA;
		break;
	case GC_HTTP_CHUNK_DATA_CR:
		framing->chunk = GC_HTTP_CHUNK_DATA_LF;
		if (c != '\r')
			framing->fault = "a chunk is longer than its size";
		break;
	case GC_HTTP_CHUNK_DATA_LF:
		framing->chunk = GC_HTTP_CHUNK_SIZE;
		framing->n_digits = 0;
		if (c != '\n')
			framing->fault = "a CR without an LF";
		break;
	case GC_HTTP_CHUNK_DATA:
	case GC_HTTP_CHUNK_TRAILERS:
		break;
	}
}

/* Their first line may be the empty one that ends them. */
static void begin_trailers(gc_http_framing_t *framing)
{
	framing->chunk = GC_HTTP_CHUNK_TRAILERS;
	framing->line = GC_HTTP_LINE_BEGINS;
	framing->after_cr = false;
}

void gc_http_framing_status(gc_http_framing_t *framing, gc_str_t data)
{
	for (size_t i = 0; i < data.len && !framing->fault; i++) {
		char c = data.data[i];

		if (framing->status_line == GC_HTTP_STATUS_LINE_PASSED)
			return;
		if (framing->status_line == GC_HTTP_STATUS_LINE_VERSION) {
			if (c == ' ')
				framing->status_line = GC_HTTP_STATUS_LINE_CODE;
		} else if (g_ascii_isdigit(c) &&
			   framing->n_status_digits < STATUS_DIGITS) {
			framing->status = framing->status * 10 +
					  (unsigned int)g_ascii_digit_value(c);
			framing->n_status_digits++;
		} else if (c != ' ' || framing->n_status_digits > 0) {
			framing->status_line = GC_HTTP_STATUS_LINE_PASSED;
			framing->fault = g_ascii_isdigit(c)
						 ? "the status has more than "
						   "three digits"
						 : status_fault(framing);
		}
	}
}

static const char *status_fault(const gc_http_framing_t *framing)
{
	if (framing->n_status_digits != STATUS_DIGITS ||
	    framing->status < MIN_STATUS || framing->status > MAX_STATUS)
		return "the status is not a number of three digits from 100 to "
		       "599";
	/* No request of this system offers another protocol. */
	if (framing->status == STATUS_SWITCHING_PROTOCOLS)
		return "status 101 without a request to switch protocols";
	return NULL;
}
