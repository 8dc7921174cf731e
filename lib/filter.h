/* The filter chain that handles every request of a caller. */
#ifndef GC_LIB_FILTER_H
#define GC_LIB_FILTER_H

#include <glib.h>
#include <jansson.h>

#include "core/config.h"
#include "core/error.h"
#include "lib/httpd.h"
#include "lib/traffic.h"
#include "lib/view.h"

/* State of one request in the chain; a talloc child of the request. */
typedef struct gc_request_ctx {
	gc_traffic_t *traffic;
	gc_http_req_t *req;
	gc_view_t *view; /* current at arrival; NULL before the first one */
	const gc_account_t *account; /* set by the auth filter; else NULL */
	json_t *body; /* set by the body filter; NULL if absent or not JSON */
	struct timespec arrived; /* monotonic */
} gc_request_ctx_t;

typedef enum gc_filter_result {
	GC_FILTER_NEXT, /* continue with the next filter */
	GC_FILTER_HANDLED, /* this filter answers the request, now or later */
	GC_FILTER_REFUSE, /* err is set; the request is refused as not run */
} gc_filter_result_t;

typedef struct gc_filter {
	const char *name;
	gc_filter_result_t (*apply)(gc_request_ctx_t *req_ctx, GError **err);
} gc_filter_t;

/*
 * Applies the filters in order until one of them answers or refuses the
 * request. An entry without a name ends the chain.
 */
void gc_filter_run(const gc_filter_t *chain, gc_request_ctx_t *req_ctx);

/*
 * Answers with an error object (docs/design.md section 7). retry_after_s in
 * seconds; 0: no Retry-After. The HTTP status follows from err's code.
 */
void gc_refuse(gc_http_req_t *req, const GError *err, gc_run_state_t run,
	       unsigned int retry_after_s);
/*
 * As gc_refuse, with the given HTTP status and error code. outcome, unless
 * NULL, becomes a member of the error object (a reference is taken).
 */
void gc_refuse_with_status(gc_http_req_t *req, unsigned int status,
			   const char *code, const GError *err,
			   gc_run_state_t run, unsigned int retry_after_s,
			   json_t *outcome);

/*
 * As gc_refuse. address, the URL of another daemon, becomes a member of the
 * error object unless NULL.
 */
void gc_refuse_with_address(gc_http_req_t *req, const GError *err,
			    gc_run_state_t run, unsigned int retry_after_s,
			    const char *address);
/*
 * Returns a new reference to {"error":{...}}. If code is NULL, the error code
 * follows from err's code.
 */
json_t *gc_refusal_json(const GError *err, const char *code, gc_run_state_t run,
			unsigned int retry_after_s);
/* Class of the request in the metrics: "generate" or "service". */
const char *gc_request_ctx_class(const gc_request_ctx_t *req_ctx);
/* Returns a value for Retry-After in seconds, with jitter. */
unsigned int gc_retry_after_s(gc_traffic_t *traffic);

/* The filters, in the order of the chain in traffic.c. */
gc_filter_result_t gc_filter_addresses(gc_request_ctx_t *req_ctx, GError **err);
gc_filter_result_t gc_filter_readiness(gc_request_ctx_t *req_ctx, GError **err);
gc_filter_result_t gc_filter_auth(gc_request_ctx_t *req_ctx, GError **err);
gc_filter_result_t gc_filter_body(gc_request_ctx_t *req_ctx, GError **err);
gc_filter_result_t gc_filter_models(gc_request_ctx_t *req_ctx, GError **err);
gc_filter_result_t gc_filter_service(gc_request_ctx_t *req_ctx, GError **err);
gc_filter_result_t gc_filter_generate(gc_request_ctx_t *req_ctx, GError **err);

#endif
