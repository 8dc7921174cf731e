/* The filter chain, and error responses to callers. */
#include <stdlib.h>

#include "lib/account_metrics.h"
#include "lib/filter.h"
#include "lib/log.h"
#include "lib/log_events.h"

/* Retry-After is 1 to 3 s at random, to spread the retries of callers. */
#define RETRY_AFTER_MIN_S    1
#define RETRY_AFTER_SPREAD_S 3

typedef struct http_error {
	unsigned int status;
	const char *code;
} http_error_t;

static const http_error_t http_errors[] = {
	[GC_ERR_INVALID] = {400, "invalid_request"},
	[GC_ERR_UNAUTHORIZED] = {401, "unauthorized"},
	[GC_ERR_NOT_FOUND] = {404, "not_found"},
	[GC_ERR_CONFLICT] = {409, "conflict"},
	[GC_ERR_TOO_LARGE] = {413, "body_too_large"},
	[GC_ERR_OVERLOADED] = {429, "overloaded"},
	[GC_ERR_UNAVAILABLE] = {503, "unavailable"},
	[GC_ERR_TIMEOUT] = {504, "timeout"},
	[GC_ERR_PROTOCOL] = {502, "protocol_error"},
	[GC_ERR_IO] = {502, "io_error"},
	[GC_ERR_CANCELLED] = {503, "cancelled"},
	[GC_ERR_LOST] = {410, "lost"},
};

static const http_error_t *find_http_error(const GError *err);
static void send_refusal(gc_http_req_t *req, unsigned int status,
			 unsigned int retry_after_s, json_t *body);
static void refuse_request(gc_request_ctx_t *req_ctx, const GError *err);

void gc_filter_run(const gc_filter_t *chain, gc_request_ctx_t *req_ctx)
{
	GError *err = NULL;

	for (const gc_filter_t *filter = chain; filter->name; filter++) {
		switch (filter->apply(req_ctx, &err)) {
		case GC_FILTER_NEXT:
			continue;
		case GC_FILTER_HANDLED:
			return;
		case GC_FILTER_REFUSE:
			refuse_request(req_ctx, err);
			g_clear_error(&err);
			return;
		}
	}
	gc_error_set(&err, GC_ERR_NOT_FOUND, "path", NULL, "unknown path");
	refuse_request(req_ctx, err);
	g_clear_error(&err);
}

static void refuse_request(gc_request_ctx_t *req_ctx, const GError *err)
{
	unsigned int retry_after_s = 0;

	if (err->code == GC_ERR_UNAVAILABLE || err->code == GC_ERR_OVERLOADED)
		retry_after_s = gc_retry_after_s(req_ctx->traffic);
	gc_log_error(GC_LOG_DEBUG, GC_EVENT_REQUEST_REFUSED, "request refused",
		     err);
	if (req_ctx->account) {
		g_autofree char *name = g_strndup(req_ctx->account->name.data,
						  req_ctx->account->name.len);

		gc_account_metrics_add(
			gc_account_metrics_get(name,
					       gc_request_ctx_class(req_ctx)),
			GC_ACCOUNT_METRICS_REFUSALS, 1);
	}
	gc_refuse(req_ctx->req, err, GC_RUN_NOT_RUN, retry_after_s);
}

const char *gc_request_ctx_class(const gc_request_ctx_t *req_ctx)
{
	if (g_str_has_prefix(gc_http_req_path(req_ctx->req), "/v1/services/"))
		return "service";
	return "generate";
}

unsigned int gc_retry_after_s(gc_traffic_t *traffic)
{
	const gc_random_t *random = gc_traffic_random(traffic);

	return RETRY_AFTER_MIN_S +
	       random->next(random->ctx) % RETRY_AFTER_SPREAD_S;
}

static const http_error_t *find_http_error(const GError *err)
{
	if (err->domain != GC_ERROR || err->code < 0 ||
	    (size_t)err->code >= G_N_ELEMENTS(http_errors))
		return &http_errors[GC_ERR_IO];
	return &http_errors[err->code];
}

json_t *gc_refusal_json(const GError *err, const char *code, gc_run_state_t run,
			unsigned int retry_after_s)
{
	const http_error_t *http_error = find_http_error(err);
	const char *type = "server_error";
	json_t *error;

	if (http_error->status == 429)
		type = "rate_limit_error";
	else if (http_error->status < 500)
		type = "invalid_request_error";
	error = json_pack("{ss ss ss ss ss ss}", "message", err->message,
			  "type", type, "code", code ? code : http_error->code,
			  "step", gc_error_step(err), "peer",
			  gc_error_peer(err), "run", gc_run_state_name(run));
	/* json_pack fails if the message contains invalid UTF-8. */
	if (!error)
		error = json_pack("{ss ss ss ss ss ss}", "message",
				  "message isn't valid UTF-8", "type", type,
				  "code", code ? code : http_error->code,
				  "step", "", "peer", "", "run",
				  gc_run_state_name(run));
	if (retry_after_s > 0)
		json_object_set_new(error, "retry_after_s",
				    json_integer(retry_after_s));
	return json_pack("{so}", "error", error);
}

static void send_refusal(gc_http_req_t *req, unsigned int status,
			 unsigned int retry_after_s, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	char seconds[16];

	if (retry_after_s > 0) {
		g_snprintf(seconds, sizeof(seconds), "%u", retry_after_s);
		gc_http_req_add_header(req, "Retry-After", seconds);
	}
	if (status == 401)
		gc_http_req_add_header(req, "WWW-Authenticate", "Bearer");
	gc_http_reply(req, status, "application/json", gc_str(text));
	free(text);
	json_decref(body);
}

void gc_refuse(gc_http_req_t *req, const GError *err, gc_run_state_t run,
	       unsigned int retry_after_s)
{
	send_refusal(req, find_http_error(err)->status, retry_after_s,
		     gc_refusal_json(err, NULL, run, retry_after_s));
}

void gc_refuse_with_status(gc_http_req_t *req, unsigned int status,
			   const char *code, const GError *err,
			   gc_run_state_t run, unsigned int retry_after_s,
			   json_t *outcome)
{
	json_t *body = gc_refusal_json(err, code, run, retry_after_s);

	if (outcome)
		json_object_set(json_object_get(body, "error"), "outcome",
				outcome);
	send_refusal(req, status, retry_after_s, body);
}

void gc_refuse_with_address(gc_http_req_t *req, const GError *err,
			    gc_run_state_t run, unsigned int retry_after_s,
			    const char *address)
{
	json_t *body = gc_refusal_json(err, NULL, run, retry_after_s);

	if (address)
		json_object_set_new(json_object_get(body, "error"), "address",
				    json_string(address));
	send_refusal(req, find_http_error(err)->status, retry_after_s, body);
}
