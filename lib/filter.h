/* The filter chain that every caller request passes. */
#ifndef GC_LIB_FILTER_H
#define GC_LIB_FILTER_H

#include <glib.h>
#include <jansson.h>

#include "core/config.h"
#include "core/error.h"
#include "lib/httpd.h"
#include "lib/traffic.h"
#include "lib/view.h"

/* One request on its way; lives in the request's talloc context. */
typedef struct gc_request_ctx {
	gc_traffic_t *traffic;
	gc_http_req_t *req;
	gc_view_t *view; /* the view at arrival */
	const gc_account_t *account; /* set by the auth filter */
	json_t *body; /* parsed, set by the body filter; may be NULL */
	struct timespec arrived; /* monotonic */
} gc_request_ctx_t;

typedef enum gc_filter_result {
	GC_FILTER_NEXT, /* go on with the next filter */
	GC_FILTER_TAKEN, /* this filter answers, now or later */
	GC_FILTER_REFUSE, /* err says why; the chain answers not_run */
} gc_filter_result_t;

typedef struct gc_filter {
	const char *name;
	gc_filter_result_t (*apply)(gc_request_ctx_t *exchange, GError **err);
} gc_filter_t;

/* Runs the chain, ended by an entry without a name. */
void gc_filter_run(const gc_filter_t *chain, gc_request_ctx_t *exchange);

/*
 * Answers with a typed refusal (docs/design.md section 7). retry_after_s 0:
 * none. The HTTP status follows from err's code.
 */
void gc_refuse(gc_http_req_t *req, const GError *err, gc_run_state_t run,
	       unsigned int retry_after_s);
/* The same with an own status, code name and extra member "outcome". */
void gc_refuse_as(gc_http_req_t *req, unsigned int status, const char *code,
		  const GError *err, gc_run_state_t run,
		  unsigned int retry_after_s, json_t *outcome);

/* The same as gc_refuse, with the address of another daemon (may be NULL). */
void gc_refuse_elsewhere(gc_http_req_t *req, const GError *err,
			 gc_run_state_t run, unsigned int retry_after_s,
			 const char *address);
/* The member "error" of a refusal, in an object; new reference. */
json_t *gc_refusal_json(const GError *err, const char *code, gc_run_state_t run,
			unsigned int retry_after_s);
/* "generate" or "service", the class of the metrics. */
const char *gc_request_ctx_class(const gc_request_ctx_t *exchange);
/* Seconds until a refused caller should come back, with jitter. */
unsigned int gc_retry_after_s(gc_traffic_t *traffic);

/* The filters, in the order of the chain. */
gc_filter_result_t gc_filter_addresses(gc_request_ctx_t *ex, GError **err);
gc_filter_result_t gc_filter_in_effect(gc_request_ctx_t *ex, GError **err);
gc_filter_result_t gc_filter_auth(gc_request_ctx_t *ex, GError **err);
gc_filter_result_t gc_filter_body(gc_request_ctx_t *ex, GError **err);
gc_filter_result_t gc_filter_models(gc_request_ctx_t *ex, GError **err);
gc_filter_result_t gc_filter_service(gc_request_ctx_t *ex, GError **err);
gc_filter_result_t gc_filter_generate(gc_request_ctx_t *ex, GError **err);

#endif
