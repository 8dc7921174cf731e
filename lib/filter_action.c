/*
 * Actions: non-idempotent calls of plain services. Each takes effect at most
 * once: its idempotency key is claimed, the action is dispatched once, and its
 * outcome is stored (docs/design.md section 4).
 */
#include <inttypes.h>
#include <string.h>

#include "lib/filter_service_private.h"
#include "lib/log.h"
#include "lib/log_events.h"

/* Callers wait a few seconds at most, of which the claim gets a part. */
#define CLAIM_TIMEOUT_MS 2000
/*
 * If a claim is granted later than this after the request arrived, it is
 * released and the action is not dispatched: the daemon was paused, and the
 * caller may meanwhile have retried at another daemon.
 */
#define DISPATCH_DEADLINE_MS 4000
/* An action without a response within this time is in doubt. */
#define ACTION_TIMEOUT_MS 30000L
#define STATUS_TIMEOUT_MS 1500L
/* Short, because the first request with the key is often still in flight. */
#define IN_DOUBT_RETRY_AFTER_S 1

static bool refuse_key(gc_service_call_t *call, unsigned int status,
		       const char *code, gc_run_state_t run,
		       const char *message);
static bool refuse_expired_key(gc_service_call_t *call);
static gc_str_t strip_quotes(gc_str_t text);
static void init_claim(gc_service_call_t *call, uint64_t unix_ms);
static void on_claim_result(void *ctx, const gc_claim_t *claim,
			    const gc_claim_answer_t *answer);
static void on_claim_granted(gc_service_call_t *call);
static void dispatch_action(gc_service_call_t *call);
static void on_action_done(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err);
static void finish_oversized_response(gc_service_call_t *call, int status,
				      gc_str_t partial_body);
static void release_claim(gc_service_call_t *call, const char *code,
			  const GError *cause);
static void replay_outcome(gc_service_call_t *call,
			   const gc_claim_answer_t *answer);
static void reply_status_only(gc_http_req_t *req, int status);
static void reply_claim_refused(gc_service_call_t *call, const GError *err);
static void start_status_request(gc_service_call_t *call);
static char *build_status_path(const gc_service_call_t *call);
static void on_status_done(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err);
static json_t *build_outcome(int status, gc_str_t body);
static bool is_done(int status, json_t *outcome);
static void reply_done(gc_service_call_t *call);

bool gc_action_read_key(gc_service_call_t *call)
{
	const char *text = gc_http_req_header(call->req, "Idempotency-Key");
	char *canonical = talloc_zero_size(call, GC_UUID_MAX);
	const gc_clock_t *clock = gc_traffic_clock(call->traffic);
	uint64_t unix_ms;

	if (!text)
		return refuse_key(call, 400, "key_missing", GC_RUN_NOT_RUN,
				  "the header Idempotency-Key is missing");
	if (!gc_uuid7_parse(strip_quotes(gc_str(text)), canonical, &unix_ms))
		return refuse_key(
			call, 400, "key_invalid", GC_RUN_NOT_RUN,
			"the Idempotency-Key is not a UUID version 7");
	switch (gc_claim_age(unix_ms, gc_clock_wall(clock))) {
	case GC_CLAIM_FUTURE:
		return refuse_key(call, 400, "key_in_future", GC_RUN_NOT_RUN,
				  "the time stamp of the Idempotency-Key "
				  "is in the future");
	case GC_CLAIM_EXPIRED:
		return refuse_expired_key(call);
	case GC_CLAIM_CURRENT:
		break;
	}
	call->key = canonical;
	call->key_time_ms = unix_ms;
	call->key_header = talloc_strdup(call, text);
	init_claim(call, unix_ms);
	return true;
}

static bool refuse_key(gc_service_call_t *call, unsigned int status,
		       const char *code, gc_run_state_t run,
		       const char *message)
{
	GError *err = NULL;

	gc_error_set(&err, GC_ERR_INVALID, "claim", NULL, "%s", message);
	gc_refuse_with_status(gc_service_call_detach_request(call), status,
			      code, err, run, 0, NULL);
	g_clear_error(&err);
	return false;
}

static bool refuse_expired_key(gc_service_call_t *call)
{
	return refuse_key(call, 409, "key_expired", GC_RUN_IN_DOUBT,
			  "the Idempotency-Key is too old; its outcome may be "
			  "deleted");
}

/* Some clients send the key as a structured field string, in quotes. */
static gc_str_t strip_quotes(gc_str_t text)
{
	if (text.len >= 2 && text.data[0] == '"' &&
	    text.data[text.len - 1] == '"')
		return (gc_str_t){text.data + 1, text.len - 2};
	return text;
}

static void init_claim(gc_service_call_t *call, uint64_t unix_ms)
{
	GString *request = g_string_new(NULL);

	g_string_append_printf(request, "%s %.*s %s\n", call->method,
			       GC_STR_ARG(call->service->name), call->path);
	g_string_append_len(request, call->body.data, (gssize)call->body.len);
	gc_claim_init(&call->claim,
		      call->account ? call->account->name : GC_STR_EMPTY,
		      gc_str(call->key), unix_ms,
		      (gc_str_t){request->str, request->len});
	g_string_free(request, TRUE);
}

void gc_action_start(gc_service_call_t *call)
{
	gc_claims_begin(gc_traffic_claims(call->traffic),
			gc_traffic_mailbox(call->traffic), &call->claim,
			gc_add_ms(call->arrived, CLAIM_TIMEOUT_MS),
			on_claim_result, call);
}

static void on_claim_result(void *ctx, const gc_claim_t *claim,
			    const gc_claim_answer_t *answer)
{
	gc_service_call_t *call = ctx;

	call->claim = *claim;
	switch (answer->verdict) {
	case GC_CLAIM_GRANTED:
		call->claim_granted = true;
		call->fencing_token = answer->fence;
		on_claim_granted(call);
		return;
	case GC_CLAIM_IN_DOUBT:
		call->n_tried = 0;
		if (call->aborted)
			gc_action_reply_in_doubt(call);
		else
			start_status_request(call);
		return;
	case GC_CLAIM_COMPLETED:
		replay_outcome(call, answer);
		break;
	case GC_CLAIM_REFUSED:
		reply_claim_refused(call, answer->err);
		break;
	}
	talloc_free(call);
}

static void on_claim_granted(gc_service_call_t *call)
{
	struct timespec now = gc_clock_now(gc_traffic_clock(call->traffic));
	GError *err = NULL;

	/*
	 * The monotonic clock may stop while an instance is suspended, so that
	 * the check of DISPATCH_DEADLINE_MS passes. If the key expired
	 * meanwhile, the record with its claim may be deleted.
	 */
	if (gc_claim_age(call->key_time_ms,
			 gc_clock_wall(gc_traffic_clock(call->traffic))) ==
	    GC_CLAIM_EXPIRED) {
		gc_claims_release(gc_traffic_claims(call->traffic),
				  &call->claim);
		if (call->req)
			refuse_expired_key(call);
		talloc_free(call);
		return;
	}
	if (call->aborted) {
		gc_error_set(&err, GC_ERR_UNAVAILABLE, "dispatch", NULL,
			     "the daemon stopped before the dispatch");
		release_claim(call, "stopping", err);
		g_clear_error(&err);
		return;
	}
	if (gc_ms_between(call->arrived, now) <= DISPATCH_DEADLINE_MS) {
		dispatch_action(call);
		return;
	}
	gc_error_set(&err, GC_ERR_TIMEOUT, "dispatch", NULL,
		     "the daemon was paused before the dispatch");
	gc_log_error(GC_LOG_WARNING, GC_EVENT_ACTION_TOO_LATE,
		     "action not dispatched in time", err);
	release_claim(call, "too_late", err);
	g_clear_error(&err);
}

static void dispatch_action(gc_service_call_t *call)
{
	const char *headers[4] = {NULL};
	size_t n_headers = 0;
	gc_http_call_conf_t conf = {
		.method = call->method,
		.url = gc_service_call_url(call, call->path),
		.headers = headers,
		.body = call->body,
		.timeout_ms = ACTION_TIMEOUT_MS,
	};

	headers[n_headers++] =
		talloc_asprintf(call, "Idempotency-Key: %s", call->key_header);
	/* Without it libcurl sends application/x-www-form-urlencoded. */
	headers[n_headers++] =
		talloc_asprintf(call, "Content-Type: %s", call->content_type);
	if (call->service->checks_fencing)
		headers[n_headers++] = talloc_asprintf(
			call, "Fencing-Token: %" PRIu64, call->fencing_token);
	call->http_call = gc_service_call_send(call, &conf, on_action_done);
}

static void on_action_done(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err)
{
	gc_service_call_t *call = ctx;

	if (err && err->code == GC_ERR_TOO_LARGE) {
		call->http_call = NULL;
		finish_oversized_response(call, status, body);
		return;
	}
	if (err && sent) {
		call->http_call = NULL;
		/* All servers but the last one can still be asked. */
		call->tried[0] = call->server->name;
		call->n_tried = 1;
		start_status_request(call);
		return;
	}
	if (err && gc_service_call_choose_server(call)) {
		/* Nothing was sent to the last server. */
		on_claim_granted(call);
		return;
	}
	if (err) {
		call->http_call = NULL;
		release_claim(call, "backend_unreachable", err);
		return;
	}
	gc_claims_finish(gc_traffic_claims(call->traffic), &call->claim, status,
			 body);
	gc_service_call_forward_response(call, status, body);
	call->http_call = NULL;
	talloc_free(call);
}

/*
 * The response exceeds max_body_bytes: stores and returns its status alone, as
 * partial_body is longer than a stored body may be. Frees the call.
 */
static void finish_oversized_response(gc_service_call_t *call, int status,
				      gc_str_t partial_body)
{
	gc_http_req_t *req = gc_service_call_detach_request(call);

	gc_claims_finish(gc_traffic_claims(call->traffic), &call->claim, status,
			 partial_body);
	if (req)
		reply_status_only(req, status);
	talloc_free(call);
}

/*
 * Releases the claim, as nothing was sent, and refuses the request. Frees the
 * call.
 */
static void release_claim(gc_service_call_t *call, const char *code,
			  const GError *cause)
{
	gc_http_req_t *req = gc_service_call_detach_request(call);

	gc_claims_release(gc_traffic_claims(call->traffic), &call->claim);
	gc_log_error(GC_LOG_INFO, GC_EVENT_CLAIM_RELEASED,
		     "claim released, nothing was sent", cause);
	if (req)
		gc_refuse_with_status(req, 503, code, cause, GC_RUN_NOT_RUN,
				      GC_SERVICE_RETRY_AFTER_S, NULL);
	talloc_free(call);
}

static void replay_outcome(gc_service_call_t *call,
			   const gc_claim_answer_t *answer)
{
	gc_http_req_t *req = gc_service_call_detach_request(call);
	json_t *json;

	if (!req)
		return;
	gc_http_req_add_header(req, "Idempotent-Replayed", "true");
	if (answer->has_body) {
		json = json_loadb(answer->body.data, answer->body.len,
				  JSON_DECODE_ANY, NULL);
		gc_http_reply(req, (unsigned int)answer->status,
			      json ? "application/json" : "text/plain",
			      answer->body);
		json_decref(json);
		return;
	}
	reply_status_only(req, answer->status);
}

/* Reports an action as done whose response body isn't stored. */
static void reply_status_only(gc_http_req_t *req, int status)
{
	json_t *json = json_pack("{s:s, s:{s:i}}", "run",
				 gc_run_state_name(GC_RUN_DONE), "outcome",
				 "status", status);
	char *text = json_dumps(json, JSON_COMPACT);

	gc_http_reply(req, (unsigned int)status, "application/json",
		      gc_str(text));
	free(text);
	json_decref(json);
}

static void reply_claim_refused(gc_service_call_t *call, const GError *err)
{
	gc_http_req_t *req = gc_service_call_detach_request(call);

	if (!req)
		return;
	if (err->code == GC_ERR_CONFLICT)
		gc_refuse_with_status(req, 422, "key_reused", err,
				      GC_RUN_NOT_RUN, 0, NULL);
	else if (err->code == GC_ERR_TOO_LARGE)
		gc_refuse_with_status(req, 503, "claims_full", err,
				      GC_RUN_NOT_RUN, GC_SERVICE_RETRY_AFTER_S,
				      NULL);
	else
		gc_refuse_with_status(req, 503, "claims_unavailable", err,
				      GC_RUN_NOT_RUN, GC_SERVICE_RETRY_AFTER_S,
				      NULL);
}

/*
 * Requests the action's status from the server that it was sent to, or from any
 * server if this call did not send it.
 */
static void start_status_request(gc_service_call_t *call)
{
	gc_http_call_conf_t conf = {
		.method = "GET",
		.body = GC_STR_EMPTY,
		.timeout_ms = STATUS_TIMEOUT_MS,
	};

	if (call->service->status_path.len == 0 ||
	    (call->n_tried == 0 && !gc_service_call_choose_server(call))) {
		gc_action_reply_in_doubt(call);
		return;
	}
	conf.url = gc_service_call_url(call, build_status_path(call));
	call->http_call = gc_service_call_send(call, &conf, on_status_done);
}

static char *build_status_path(const gc_service_call_t *call)
{
	char *pattern = g_strndup(call->service->status_path.data,
				  call->service->status_path.len);
	char **parts = g_strsplit(pattern, "{key}", -1);
	char *joined = g_strjoinv(call->key, parts);
	char *path = talloc_asprintf((void *)call, "%s%s",
				     *joined == '/' ? "" : "/", joined);

	g_free(joined);
	g_strfreev(parts);
	g_free(pattern);
	return path;
}

static void on_status_done(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err)
{
	gc_service_call_t *call = ctx;
	json_t *outcome = err ? NULL : build_outcome(status, body);

	call->http_call = NULL;
	if (outcome) {
		json_decref(call->last_status);
		call->last_status = outcome;
	}
	if (outcome && is_done(status, outcome)) {
		reply_done(call);
		return;
	}
	if (gc_service_call_choose_server(call)) {
		start_status_request(call);
		return;
	}
	gc_action_reply_in_doubt(call);
}

static json_t *build_outcome(int status, gc_str_t body)
{
	json_t *json = json_loadb(body.data, body.len, JSON_DECODE_ANY, NULL);

	if (!json)
		json = json_stringn(body.data, body.len);
	return json_pack("{s:i, s:o*}", "status", status, "body", json);
}

/* The status response of a completed action is 200 with {"state":"done"}. */
static bool is_done(int status, json_t *outcome)
{
	json_t *state =
		json_object_get(json_object_get(outcome, "body"), "state");

	return status == 200 && json_is_string(state) &&
	       strcmp(json_string_value(state), "done") == 0;
}

/* The last status says that the action is done. Frees the call. */
static void reply_done(gc_service_call_t *call)
{
	gc_http_req_t *req = gc_service_call_detach_request(call);
	json_t *json =
		json_pack("{s:s, s:O}", "run", gc_run_state_name(GC_RUN_DONE),
			  "outcome", call->last_status);
	char *text = json_dumps(json, JSON_COMPACT);

	if (call->claim_granted)
		gc_claims_finish(gc_traffic_claims(call->traffic), &call->claim,
				 200, gc_str(text));
	if (req && !call->claim_granted)
		gc_http_req_add_header(req, "Idempotent-Replayed", "true");
	if (req)
		gc_http_reply(req, 200, "application/json", gc_str(text));
	free(text);
	json_decref(json);
	talloc_free(call);
}

void gc_action_reply_in_doubt(gc_service_call_t *call)
{
	gc_http_req_t *req = gc_service_call_detach_request(call);
	GError *err = NULL;

	gc_error_set(
		&err, GC_ERR_CONFLICT, "dispatch", NULL,
		call->claim_granted
			? "no response after the dispatch"
			: "another request with this key has no outcome yet");
	gc_log_error(GC_LOG_WARNING, GC_EVENT_ACTION_IN_DOUBT,
		     "action in doubt", err);
	if (req)
		gc_refuse_with_status(req, 409, "in_doubt", err,
				      GC_RUN_IN_DOUBT, IN_DOUBT_RETRY_AFTER_S,
				      call->last_status);
	g_clear_error(&err);
	talloc_free(call);
}
