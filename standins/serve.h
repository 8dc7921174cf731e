/* What the three stand-ins share: options, listener, JSON answers, stop. */
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
	const char *name; /* of this instance; default: the program's */
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	gc_httpd_t *httpd;
} standin_t;

typedef struct standin_conf {
	const char *program;
	const char *summary;
	const GOptionEntry *options; /* the program's own */
	gc_httpd_handler_t handler;
	/* Prepares the state that the handler gets; NULL if options are bad. */
	void *(*start)(standin_t *standin);
	/* On SIGTERM; ends what would wait for long. May be NULL. */
	void (*stop)(void *ctx);
} standin_conf_t;

/* Reads the options, listens, and serves until SIGTERM or SIGINT. */
int standin_main(const standin_conf_t *conf, int argc, char **argv);

/* Answers with JSON text and drops the reference to value. */
void standin_reply(gc_http_req_t *req, unsigned int status, json_t *value);
void standin_reply_text(gc_http_req_t *req, unsigned int status,
			const char *text);
void standin_reply_error(gc_http_req_t *req, unsigned int status,
			 const char *fmt, ...) G_GNUC_PRINTF(3, 4);
/* The same with the header Retry-After. */
void standin_reply_retry(gc_http_req_t *req, unsigned int status,
			 unsigned int retry_after_s, const char *message);
/* Closes the connection without a complete answer. */
void standin_cut(gc_http_req_t *req);

/* The body as a JSON object; answers 400 and returns NULL if it is none. */
json_t *standin_body(gc_http_req_t *req);
/* A non-negative integer member, or fallback when it is absent or wrong. */
int64_t standin_int(const json_t *object, const char *name, int64_t fallback);
/* A non-negative number in a query argument; false if it is no number. */
bool standin_query_u64(gc_http_req_t *req, const char *name, uint64_t *value);
bool standin_is(const gc_http_req_t *req, const char *method, const char *path);

/* Microseconds of the monotonic clock. */
int64_t standin_now_us(void);
/* Calls fn once after us; the timer ends with mem. */
struct tevent_timer *standin_after_us(struct tevent_context *ev,
				      TALLOC_CTX *mem, int64_t us,
				      tevent_timer_handler_t fn, void *ctx);

#endif
