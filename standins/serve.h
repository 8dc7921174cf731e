/* Common parts of the stand-in servers: options, listener, JSON, shutdown. */
#ifndef GC_STANDINS_SERVE_H
#define GC_STANDINS_SERVE_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>
#include <talloc.h>
#include <tevent.h>

#include "lib/httpd.h"

typedef struct standin {
	const char *program;
	const char *name; /* of this instance; default: the program name */
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	gc_httpd_t *httpd;
} standin_t;

typedef struct standin_conf {
	const char *program;
	const char *summary;
	const GOptionEntry *options; /* in addition to the common ones */
	gc_httpd_handler_t handler;
	/* Returns the context of handler and stop; NULL on invalid options. */
	void *(*start)(standin_t *standin);
	/* Called at shutdown to end requests that wait long. May be NULL. */
	void (*stop)(void *ctx);
} standin_conf_t;

/* Serves until SIGTERM or SIGINT. Returns the exit status. */
int standin_main(const standin_conf_t *conf, int argc, char **argv);

/* Responds with value as JSON and takes the reference to it. */
void standin_reply(gc_http_req_t *req, unsigned int status, json_t *value);
void standin_reply_text(gc_http_req_t *req, unsigned int status,
			const char *text);
void standin_reply_error(gc_http_req_t *req, unsigned int status,
			 const char *fmt, ...) G_GNUC_PRINTF(3, 4);
/* Responds with an error and the header Retry-After. */
void standin_reply_retry_after(gc_http_req_t *req, unsigned int status,
			       unsigned int retry_after_s, const char *message);
/* Closes the connection without a complete response. */
void standin_abort_connection(gc_http_req_t *req);

/*
 * Returns the body if it is a JSON object, as a new reference; otherwise
 * responds with status 400 and returns NULL.
 */
json_t *standin_parse_body(gc_http_req_t *req);
/* Returns the member, or default_value unless it is an integer >= 0. */
int64_t standin_get_int(const json_t *object, const char *name,
			int64_t default_value);
/* Parses a query argument; false if it is absent or not an unsigned integer. */
bool standin_query_u64(gc_http_req_t *req, const char *name, uint64_t *value);
bool standin_req_matches(const gc_http_req_t *req, const char *method,
			 const char *path);

/* Time of the monotonic clock in microseconds. */
int64_t standin_monotonic_us(void);
/* Calls fn once after us microseconds, unless mem is freed before. */
struct tevent_timer *standin_add_timer_us(struct tevent_context *ev,
					  TALLOC_CTX *mem, int64_t us,
					  tevent_timer_handler_t fn, void *ctx);

#endif
