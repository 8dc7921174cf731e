/* HTTP server on a tevent loop, built on libmicrohttpd. */
#ifndef GC_LIB_HTTPD_H
#define GC_LIB_HTTPD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/str.h"

typedef struct gc_httpd gc_httpd_t;
/* One request; owned by the server, freed after its closed callback. */
typedef struct gc_http_req gc_http_req_t;

typedef struct gc_httpd_conf {
	const char *address; /* IPv4 address */
	uint16_t port; /* 0: the kernel chooses a free one */
	size_t max_body; /* bytes; a larger body gets 413 */
	bool shared_port; /* other servers listen on the same port */
} gc_httpd_conf_t;

/*
 * Called once per request, when its body is complete. The handler answers now
 * or later, exactly once, with gc_http_reply or gc_http_stream_begin. The
 * talloc children of gc_http_req_mem are freed with the request.
 */
typedef void (*gc_httpd_handler_t)(void *ctx, gc_http_req_t *req);

/*
 * Called when the response was sent or the connection has ended; complete is
 * false if the client disconnected first. The request is freed afterwards.
 */
typedef void (*gc_http_closed_t)(void *ctx, bool complete);

/* Called when a stream's buffer has drained to its low watermark. */
typedef void (*gc_http_drained_t)(void *ctx);

/*
 * Freed with mem. Errors: GC_ERR_INVALID if the address isn't an IPv4 address,
 * GC_ERR_IO if it can't be bound.
 */
gc_httpd_t *gc_httpd_create(TALLOC_CTX *mem, struct tevent_context *ev,
			    const gc_httpd_conf_t *conf,
			    gc_httpd_handler_t handler, void *ctx,
			    GError **err);
void gc_httpd_destroy(gc_httpd_t *httpd);
uint16_t gc_httpd_port(const gc_httpd_t *httpd);
/* From now on, each connection is closed after its response. */
void gc_httpd_set_closing(gc_httpd_t *httpd);
/* Accepts the connections that wait, then refuses new ones; open ones are
 * still served. */
void gc_httpd_stop_accepting(gc_httpd_t *httpd);
/* Reads the requests that have arrived by now. */
void gc_httpd_read_pending(gc_httpd_t *httpd);
/* Number of requests whose response isn't complete yet. */
unsigned int gc_httpd_open_requests(const gc_httpd_t *httpd);

TALLOC_CTX *gc_http_req_mem(gc_http_req_t *req);
const char *gc_http_req_method(const gc_http_req_t *req);
const char *gc_http_req_path(const gc_http_req_t *req);
/* NULL if absent. Names match in any case. */
const char *gc_http_req_header(const gc_http_req_t *req, const char *name);
/* Value of a query argument; NULL if absent, "" if it has none. */
const char *gc_http_req_query_arg(const gc_http_req_t *req, const char *name);
/* All query arguments, escaped for a URL ("a=1&b=2"); free with g_free. */
char *gc_http_req_query_string(const gc_http_req_t *req);
gc_str_t gc_http_req_body(const gc_http_req_t *req);
/*
 * False if the client has disconnected. libmicrohttpd doesn't watch a
 * connection while its response is pending, so poll this.
 */
bool gc_http_req_connected(const gc_http_req_t *req);
/* Sets the callback for the end of the request. */
void gc_http_req_on_closed(gc_http_req_t *req, gc_http_closed_t closed,
			   void *ctx);

/* Adds a response header; call before gc_http_reply or gc_http_stream_begin. */
void gc_http_req_add_header(gc_http_req_t *req, const char *name,
			    const char *value);
/* Answers with a complete body (copied). type is a media type. */
void gc_http_reply(gc_http_req_t *req, unsigned int status, const char *type,
		   gc_str_t body);

/* Begins a response of unknown length (chunked). */
void gc_http_stream_begin(gc_http_req_t *req, unsigned int status,
			  const char *type);
void gc_http_stream_write(gc_http_req_t *req, gc_str_t data);
/* Number of bytes written to the stream and not yet sent. */
size_t gc_http_stream_buffered(const gc_http_req_t *req);
/* Calls drained each time the buffer falls to low_bytes or less. */
void gc_http_stream_on_drained(gc_http_req_t *req, size_t low_bytes,
			       gc_http_drained_t drained, void *ctx);
void gc_http_stream_end(gc_http_req_t *req);
/*
 * Closes the connection without ending the response, so that the client sees it
 * as truncated; without any response if none has begun.
 */
void gc_http_stream_abort(gc_http_req_t *req);

#endif
