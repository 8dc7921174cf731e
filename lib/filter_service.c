/*
 * Calls of plain services. GET is idempotent and is retried on another backend
 * server. Other methods take effect at most once: claim the key, dispatch
 * once, store the outcome (docs/design.md section 4).
 */
#include <inttypes.h>
#include <string.h>

#include "lib/claims.h"
#include "lib/events.h"
#include "lib/filter.h"
#include "lib/log.h"

#define PATH_PREFIX "/v1/services/"
/* Callers wait a few seconds at most; the claim gets this part of it. */
#define CLAIM_WAIT_MS 2000
/*
 * A grant that is found later than this after the arrival is given back: the
 * daemon was paused, and the caller may have found another way meanwhile.
 */
#define DISPATCH_BY_MS 4000
#define CONNECT_MS     1000L
/* A backend server that takes longer leaves the action in doubt. */
#define ACTION_MS 30000L
#define GET_MS	  10000L
#define STATUS_MS 1500L
/* Backend servers tried for one GET, status read or unsent action. */
#define MAX_TRIES 3
/* The first attempt at a key is often still in flight at a repeat. */
#define IN_DOUBT_RETRY_S 1
#define NOT_RUN_RETRY_S	 1
#define SERVER_NAMES_MAX MAX_TRIES

/*
 * One call of a service. It has a talloc context of its own, because a
 * dispatched action goes on when its caller hangs up.
 */
typedef struct service_call {
	gc_traffic_t *traffic;
	gc_traffic_job_t job;
	bool broken_off; /* the daemon's grace is over: no dispatch any more */
	gc_view_t *view; /* keeps account and service alive */
	const gc_account_t *account;
	const gc_service_t *service;
	gc_http_req_t *req; /* NULL once the caller hung up */
	struct request_watch *watch;
	struct timespec arrived;
	bool is_get;
	const char *method;
	const char *path; /* with the query, escaped */
	const char *key; /* canonical UUID */
	uint64_t key_ms; /* its time stamp */
	const char *key_header; /* as the caller sent it */
	const char *content_type;
	gc_str_t body;
	gc_claim_t claim;
	bool own_claim; /* granted to this call */
	uint64_t fence;
	gc_http_call_t *call; /* open */
	const gc_view_instance_t *server; /* of the last call */
	gc_str_t tried[SERVER_NAMES_MAX];
	size_t n_tried;
	bool any_sent; /* of a GET: a server may have got it */
	json_t *status_read; /* the last one, or NULL */
} service_call_t;

/* Lives in the request's talloc context; its end tells of the hang-up. */
typedef struct request_watch {
	service_call_t *call;
} request_watch_t;

static gc_str_t service_name(const char *path, const char **rest);
static service_call_t *
call_create(gc_exchange_t *ex, const gc_service_t *service, const char *rest);
static int call_destructor(service_call_t *call);
static void break_off(void *ctx);
static int watch_destructor(request_watch_t *watch);
static char *request_path(service_call_t *call, const char *rest);
static gc_http_req_t *take_request(service_call_t *call);
static bool is_action(const char *method);
static bool set_key(service_call_t *call);
static bool refuse_key(service_call_t *call, unsigned int status,
		       const char *code, gc_run_state_t run,
		       const char *message);
static bool refuse_expired(service_call_t *call);
static gc_str_t strip_quotes(gc_str_t text);
static void set_claim(service_call_t *call, uint64_t unix_ms);
static const gc_view_instance_t *choose_server(service_call_t *call);
static bool is_candidate(const service_call_t *call,
			 const gc_view_instance_t *server);
static bool was_tried(const service_call_t *call, gc_str_t name);
static bool next_server(service_call_t *call);
static gc_http_call_t *
start_http(service_call_t *call, const gc_http_call_conf_t *conf,
	   void (*done)(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err));
static char *server_url(service_call_t *call, const char *path);
static void start_get(service_call_t *call);
static void on_get_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);
static void start_claim(service_call_t *call);
static void on_claim(void *ctx, const gc_claim_t *claim,
		     const gc_claim_answer_t *answer);
static void on_granted(service_call_t *call);
static void dispatch(service_call_t *call);
static void on_action_done(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err);
static void finish_without_body(service_call_t *call, int status,
				gc_str_t part);
static void reply_status(gc_http_req_t *req, int status);
static void release(service_call_t *call, const char *code,
		    const GError *cause);
static void reply_known(service_call_t *call, const gc_claim_answer_t *answer);
static void reply_refused(service_call_t *call, const GError *err);
static void start_status_read(service_call_t *call);
static char *status_path(const service_call_t *call);
static void on_status_done(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err);
static json_t *outcome_json(int status, gc_str_t body);
static bool says_done(int status, json_t *outcome);
static void reply_done(service_call_t *call);
static void reply_in_doubt(service_call_t *call);
static void pass_on(service_call_t *call, int status, gc_str_t body);

gc_filter_result_t gc_filter_service(gc_exchange_t *ex, GError **err)
{
	const char *method = gc_http_req_method(ex->req);
	const char *rest;
	gc_str_t name = service_name(gc_http_req_path(ex->req), &rest);
	const gc_service_t *service;
	service_call_t *call;

	if (name.len == 0)
		return GC_FILTER_NEXT;
	service = ex->view->config ? gc_config_service(ex->view->config, name)
				   : NULL;
	if (!service) {
		gc_error_set(err, GC_ERR_NOT_FOUND, "route", NULL,
			     "no service %.*s", GC_STR_ARG(name));
		return GC_FILTER_REFUSE;
	}
	if (strcmp(method, "GET") != 0 && !is_action(method)) {
		gc_error_set(err, GC_ERR_INVALID, "route", NULL,
			     "method %s is not supported", method);
		return GC_FILTER_REFUSE;
	}
	call = call_create(ex, service, rest);
	if (!call->is_get && !set_key(call)) {
		talloc_free(call);
		return GC_FILTER_TAKEN;
	}
	if (!next_server(call)) {
		talloc_free(call);
		gc_error_set(err, GC_ERR_UNAVAILABLE, "route", NULL,
			     "no backend server of service %.*s is available",
			     GC_STR_ARG(name));
		return GC_FILTER_REFUSE;
	}
	if (call->is_get)
		start_get(call);
	else
		start_claim(call);
	return GC_FILTER_TAKEN;
}

/* Empty if the path is not that of a service. */
static gc_str_t service_name(const char *path, const char **rest)
{
	gc_str_t name;

	if (!g_str_has_prefix(path, PATH_PREFIX))
		return GC_STR_EMPTY;
	name.data = path + strlen(PATH_PREFIX);
	name.len = strcspn(name.data, "/");
	*rest = name.data + name.len;
	return name;
}

static bool is_action(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
	       strcmp(method, "PATCH") == 0 || strcmp(method, "DELETE") == 0;
}

static service_call_t *
call_create(gc_exchange_t *ex, const gc_service_t *service, const char *rest)
{
	service_call_t *call = talloc_zero(NULL, service_call_t);
	const char *type = gc_http_req_header(ex->req, "Content-Type");

	call->traffic = ex->traffic;
	call->view = gc_view_ref(ex->view);
	call->account = ex->account;
	call->service = service;
	call->req = ex->req;
	call->arrived = ex->arrived;
	call->method = talloc_strdup(call, gc_http_req_method(ex->req));
	call->is_get = strcmp(call->method, "GET") == 0;
	call->path = request_path(call, rest);
	call->content_type = talloc_strdup(call, type ? type : "");
	call->body = gc_str_dup(call, gc_http_req_body(ex->req));
	call->watch = talloc_zero(gc_http_req_mem(ex->req), request_watch_t);
	call->watch->call = call;
	talloc_set_destructor(call->watch, watch_destructor);
	talloc_set_destructor(call, call_destructor);
	call->job.break_off = break_off;
	call->job.ctx = call;
	gc_traffic_job_add(call->traffic, &call->job);
	return call;
}

static char *request_path(service_call_t *call, const char *rest)
{
	char *path = g_uri_escape_string(rest, "/!$&'()*+,;=:@", FALSE);
	char *query = gc_http_req_query_string(call->req);
	char *whole = talloc_asprintf(call, "%s%s%s", *path ? path : "/",
				      *query ? "?" : "", query);

	g_free(path);
	g_free(query);
	return whole;
}

static int call_destructor(service_call_t *call)
{
	gc_traffic_job_remove(&call->job);
	if (call->call)
		gc_http_call_cancel(call->call);
	if (call->watch)
		call->watch->call = NULL;
	json_decref(call->status_read);
	gc_view_unref(call->view);
	return 0;
}

/*
 * The daemon stops and its grace is over. A claim on its way has its answer
 * within CLAIM_WAIT_MS and is given back then.
 */
static void break_off(void *ctx)
{
	service_call_t *call = ctx;
	GError *err = NULL;

	call->broken_off = true;
	if (!call->call)
		return;
	gc_http_call_cancel(call->call);
	call->call = NULL;
	if (!call->is_get) {
		reply_in_doubt(call);
		return;
	}
	gc_error_set(&err, GC_ERR_UNAVAILABLE, "stop", NULL,
		     "the daemon stops before the backend server answered");
	gc_refuse_as(take_request(call), 503, "stopping", err, GC_RUN_IN_DOUBT,
		     NOT_RUN_RETRY_S, NULL);
	g_clear_error(&err);
	talloc_free(call);
}

/* The caller hung up, or the answer is out. */
static int watch_destructor(request_watch_t *watch)
{
	service_call_t *call = watch->call;

	if (!call)
		return 0;
	call->watch = NULL;
	call->req = NULL;
	/* A GET is of no use to anybody else; an action is. */
	if (call->is_get)
		talloc_free(call);
	return 0;
}

/* The request to be answered; NULL if its caller hung up. */
static gc_http_req_t *take_request(service_call_t *call)
{
	gc_http_req_t *req = call->req;

	if (call->watch)
		call->watch->call = NULL;
	call->watch = NULL;
	call->req = NULL;
	return req;
}

/* False if the key is unfit; the caller has its answer then. */
static bool set_key(service_call_t *call)
{
	const char *text = gc_http_req_header(call->req, "Idempotency-Key");
	char *canonical = talloc_zero_size(call, GC_UUID_MAX);
	const gc_clock_t *clock = gc_traffic_clock(call->traffic);
	uint64_t unix_ms;

	if (!text)
		return refuse_key(call, 400, "key_missing", GC_RUN_NOT_RUN,
				  "an Idempotency-Key is required");
	if (!gc_uuid7_parse(strip_quotes(gc_str(text)), canonical, &unix_ms))
		return refuse_key(call, 400, "key_invalid", GC_RUN_NOT_RUN,
				  "the Idempotency-Key is no UUID version 7");
	switch (gc_claim_age(unix_ms, gc_clock_wall(clock))) {
	case GC_CLAIM_FUTURE:
		return refuse_key(call, 400, "key_in_future", GC_RUN_NOT_RUN,
				  "the time of the Idempotency-Key is ahead");
	case GC_CLAIM_EXPIRED:
		return refuse_expired(call);
	case GC_CLAIM_CURRENT:
		break;
	}
	call->key = canonical;
	call->key_ms = unix_ms;
	call->key_header = talloc_strdup(call, text);
	set_claim(call, unix_ms);
	return true;
}

static bool refuse_key(service_call_t *call, unsigned int status,
		       const char *code, gc_run_state_t run,
		       const char *message)
{
	GError *err = NULL;

	gc_error_set(&err, GC_ERR_INVALID, "claim", NULL, "%s", message);
	gc_refuse_as(take_request(call), status, code, err, run, 0, NULL);
	g_clear_error(&err);
	return false;
}

static bool refuse_expired(service_call_t *call)
{
	return refuse_key(call, 409, "key_expired", GC_RUN_IN_DOUBT,
			  "the Idempotency-Key is no longer remembered");
}

/* The header is a structured field in some clients, in quotes. */
static gc_str_t strip_quotes(gc_str_t text)
{
	if (text.len >= 2 && text.data[0] == '"' &&
	    text.data[text.len - 1] == '"')
		return (gc_str_t){text.data + 1, text.len - 2};
	return text;
}

static void set_claim(service_call_t *call, uint64_t unix_ms)
{
	GString *request = g_string_new(NULL);

	g_string_append_printf(request, "%s %.*s %s\n", call->method,
			       GC_STR_ARG(call->service->name), call->path);
	g_string_append_len(request, call->body.data, (gssize)call->body.len);
	gc_claim_set(&call->claim,
		     call->account ? call->account->name : GC_STR_EMPTY,
		     gc_str(call->key), unix_ms,
		     (gc_str_t){request->str, request->len});
	g_string_free(request, TRUE);
}

static bool was_tried(const service_call_t *call, gc_str_t name)
{
	for (size_t i = 0; i < call->n_tried; i++)
		if (gc_str_eq(call->tried[i], name))
			return true;
	return false;
}

static bool is_candidate(const service_call_t *call,
			 const gc_view_instance_t *server)
{
	gc_config_t *config = call->view->config;

	return !server->leaving && !was_tried(call, server->name) &&
	       !gc_config_departing(config, server->name) &&
	       gc_config_serves_service(config, call->account,
					call->service->name, server->labels);
}

/* A random one; an ejected one only when no other is left. */
static const gc_view_instance_t *choose_server(service_call_t *call)
{
	const gc_random_t *random = gc_traffic_random(call->traffic);
	const gc_view_instance_t *chosen = NULL;
	uint64_t seen = 0;

	for (size_t i = 0; i < call->view->n_services; i++) {
		const gc_view_instance_t *server = &call->view->services[i];

		if (!is_candidate(call, server))
			continue;
		if (chosen && server->ejected && !chosen->ejected)
			continue;
		if (chosen && chosen->ejected && !server->ejected)
			seen = 0;
		seen++;
		if (random->next(random->ctx) % seen == 0)
			chosen = server;
	}
	return chosen;
}

/* False if no other server is left or enough were tried. */
static bool next_server(service_call_t *call)
{
	if (call->n_tried == MAX_TRIES)
		return false;
	call->server = choose_server(call);
	if (!call->server)
		return false;
	call->tried[call->n_tried++] = call->server->name;
	return true;
}

static char *server_url(service_call_t *call, const char *path)
{
	return talloc_asprintf(call, "%.*s%s", GC_STR_ARG(call->server->url),
			       path);
}

static gc_http_call_t *
start_http(service_call_t *call, const gc_http_call_conf_t *conf,
	   void (*done)(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err))
{
	const gc_http_call_ops_t ops = {.done = done};
	gc_http_call_conf_t whole = *conf;

	whole.peer = talloc_strndup(call, call->server->name.data,
				    call->server->name.len);
	whole.connect_timeout_ms = CONNECT_MS;
	whole.max_body = gc_traffic_settings(call->traffic)->max_body_bytes;
	return gc_httpc_start(gc_traffic_http(call->traffic), &whole, &ops,
			      call);
}

static void start_get(service_call_t *call)
{
	const gc_http_call_conf_t conf = {
		.method = "GET",
		.url = server_url(call, call->path),
		.body = GC_STR_EMPTY,
		.timeout_ms = GET_MS,
	};

	call->call = start_http(call, &conf, on_get_done);
}

static void on_get_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err)
{
	service_call_t *call = ctx;
	bool too_large = err && err->code == GC_ERR_TOO_LARGE;
	bool failed = err || (status >= 502 && status <= 504);

	call->any_sent = call->any_sent || sent;
	if (failed && !too_large && next_server(call)) {
		start_get(call);
		return;
	}
	if (!err)
		pass_on(call, status, body);
	else if (too_large)
		gc_refuse_as(take_request(call), 502, "answer_too_large", err,
			     GC_RUN_DONE, 0, NULL);
	else
		gc_refuse_as(take_request(call), 502, "backend_failed", err,
			     call->any_sent ? GC_RUN_IN_DOUBT : GC_RUN_NOT_RUN,
			     NOT_RUN_RETRY_S, NULL);
	call->call = NULL;
	talloc_free(call);
}

/* Gives the caller the backend server's answer. */
static void pass_on(service_call_t *call, int status, gc_str_t body)
{
	const char *type = gc_http_call_header(call->call, "Content-Type");
	gc_http_req_t *req = take_request(call);

	if (req)
		gc_http_reply(req, (unsigned int)status,
			      type ? type : "application/octet-stream", body);
}

static void start_claim(service_call_t *call)
{
	gc_claims_begin(gc_traffic_claims(call->traffic),
			gc_traffic_mailbox(call->traffic), &call->claim,
			gc_add_ms(call->arrived, CLAIM_WAIT_MS), on_claim,
			call);
}

static void on_claim(void *ctx, const gc_claim_t *claim,
		     const gc_claim_answer_t *answer)
{
	service_call_t *call = ctx;

	call->claim = *claim;
	switch (answer->verdict) {
	case GC_CLAIM_GRANTED:
		call->own_claim = true;
		call->fence = answer->fence;
		on_granted(call);
		return;
	case GC_CLAIM_IN_DOUBT:
		call->n_tried = 0;
		if (call->broken_off)
			reply_in_doubt(call);
		else
			start_status_read(call);
		return;
	case GC_CLAIM_KNOWN:
		reply_known(call, answer);
		break;
	case GC_CLAIM_REFUSED:
		reply_refused(call, answer->err);
		break;
	}
	talloc_free(call);
}

static void on_granted(service_call_t *call)
{
	struct timespec now = gc_clock_now(gc_traffic_clock(call->traffic));
	GError *err = NULL;

	/*
	 * The monotonic clock may stand still while an instance is suspended.
	 * A key that expired meanwhile may have lost its record.
	 */
	if (gc_claim_age(call->key_ms,
			 gc_clock_wall(gc_traffic_clock(call->traffic))) ==
	    GC_CLAIM_EXPIRED) {
		gc_claims_release(gc_traffic_claims(call->traffic),
				  &call->claim);
		if (call->req)
			refuse_expired(call);
		talloc_free(call);
		return;
	}
	if (call->broken_off) {
		gc_error_set(&err, GC_ERR_UNAVAILABLE, "dispatch", NULL,
			     "the daemon stops before the dispatch");
		release(call, "stopping", err);
		g_clear_error(&err);
		return;
	}
	if (gc_ms_between(call->arrived, now) <= DISPATCH_BY_MS) {
		dispatch(call);
		return;
	}
	gc_error_set(&err, GC_ERR_TIMEOUT, "dispatch", NULL,
		     "the daemon was paused before the dispatch");
	gc_log_error(GC_LOG_WARNING, GC_EVENT_ACTION_TOO_LATE,
		     "action was given up before its dispatch", err);
	release(call, "too_late", err);
	g_clear_error(&err);
}

static void dispatch(service_call_t *call)
{
	const char *headers[4] = {NULL};
	size_t n = 0;
	gc_http_call_conf_t conf = {
		.method = call->method,
		.url = server_url(call, call->path),
		.headers = headers,
		.body = call->body,
		.timeout_ms = ACTION_MS,
		.send_once = true,
	};

	headers[n++] =
		talloc_asprintf(call, "Idempotency-Key: %s", call->key_header);
	/* Without one, libcurl names a form. */
	headers[n++] =
		talloc_asprintf(call, "Content-Type: %s", call->content_type);
	if (call->service->checks_fencing)
		headers[n++] = talloc_asprintf(call, "Fencing-Token: %" PRIu64,
					       call->fence);
	call->call = start_http(call, &conf, on_action_done);
}

static void on_action_done(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err)
{
	service_call_t *call = ctx;

	if (err && err->code == GC_ERR_TOO_LARGE) {
		call->call = NULL;
		finish_without_body(call, status, body);
		return;
	}
	if (err && sent) {
		call->call = NULL;
		start_status_read(call);
		return;
	}
	if (err && next_server(call)) {
		dispatch(call); /* nothing was sent before */
		return;
	}
	if (err) {
		call->call = NULL;
		release(call, "backend_unreachable", err);
		return;
	}
	gc_claims_finish(gc_traffic_claims(call->traffic), &call->claim, status,
			 body);
	pass_on(call, status, body);
	call->call = NULL;
	talloc_free(call);
}

/*
 * The status is the outcome, although the answer is longer than the daemon
 * collects. The part of it is too long to be stored as a body. Frees the call.
 */
static void finish_without_body(service_call_t *call, int status, gc_str_t part)
{
	gc_http_req_t *req = take_request(call);

	gc_claims_finish(gc_traffic_claims(call->traffic), &call->claim, status,
			 part);
	if (req)
		reply_status(req, status);
	talloc_free(call);
}

/* Nothing was sent: the key is free again. Frees the call. */
static void release(service_call_t *call, const char *code, const GError *cause)
{
	gc_http_req_t *req = take_request(call);

	gc_claims_release(gc_traffic_claims(call->traffic), &call->claim);
	gc_log_error(GC_LOG_INFO, GC_EVENT_CLAIM_RELEASED,
		     "claim released, nothing was sent", cause);
	if (req)
		gc_refuse_as(req, 503, code, cause, GC_RUN_NOT_RUN,
			     NOT_RUN_RETRY_S, NULL);
	talloc_free(call);
}

static void reply_known(service_call_t *call, const gc_claim_answer_t *answer)
{
	gc_http_req_t *req = take_request(call);
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
	reply_status(req, answer->status);
}

/* The outcome of an action whose body isn't known. */
static void reply_status(gc_http_req_t *req, int status)
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

static void reply_refused(service_call_t *call, const GError *err)
{
	gc_http_req_t *req = take_request(call);

	if (!req)
		return;
	if (err->code == GC_ERR_CONFLICT)
		gc_refuse_as(req, 422, "key_reused", err, GC_RUN_NOT_RUN, 0,
			     NULL);
	else if (err->code == GC_ERR_TOO_LARGE)
		gc_refuse_as(req, 503, "claims_full", err, GC_RUN_NOT_RUN,
			     NOT_RUN_RETRY_S, NULL);
	else
		gc_refuse_as(req, 503, "claims_unavailable", err,
			     GC_RUN_NOT_RUN, NOT_RUN_RETRY_S, NULL);
}

/* Begins with the server of the action, if it was dispatched. */
static void start_status_read(service_call_t *call)
{
	gc_http_call_conf_t conf = {
		.method = "GET",
		.body = GC_STR_EMPTY,
		.timeout_ms = STATUS_MS,
	};

	if (call->service->status_path.len == 0 ||
	    (call->n_tried == 0 && !next_server(call))) {
		reply_in_doubt(call);
		return;
	}
	conf.url = server_url(call, status_path(call));
	call->call = start_http(call, &conf, on_status_done);
}

static char *status_path(const service_call_t *call)
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
	service_call_t *call = ctx;
	json_t *outcome = err ? NULL : outcome_json(status, body);

	call->call = NULL;
	if (outcome) {
		json_decref(call->status_read);
		call->status_read = outcome;
	}
	if (outcome && says_done(status, outcome)) {
		reply_done(call);
		return;
	}
	if (next_server(call)) {
		start_status_read(call);
		return;
	}
	reply_in_doubt(call);
}

static json_t *outcome_json(int status, gc_str_t body)
{
	json_t *json = json_loadb(body.data, body.len, JSON_DECODE_ANY, NULL);

	if (!json)
		json = json_stringn(body.data, body.len);
	return json_pack("{s:i, s:o*}", "status", status, "body", json);
}

/* A status read says so by status 200 and {"state":"done"}. */
static bool says_done(int status, json_t *outcome)
{
	json_t *state =
		json_object_get(json_object_get(outcome, "body"), "state");

	return status == 200 && json_is_string(state) &&
	       strcmp(json_string_value(state), "done") == 0;
}

/* Frees the call. */
static void reply_done(service_call_t *call)
{
	gc_http_req_t *req = take_request(call);
	json_t *json =
		json_pack("{s:s, s:O}", "run", gc_run_state_name(GC_RUN_DONE),
			  "outcome", call->status_read);
	char *text = json_dumps(json, JSON_COMPACT);

	if (call->own_claim)
		gc_claims_finish(gc_traffic_claims(call->traffic), &call->claim,
				 200, gc_str(text));
	if (req && !call->own_claim)
		gc_http_req_add_header(req, "Idempotent-Replayed", "true");
	if (req)
		gc_http_reply(req, 200, "application/json", gc_str(text));
	free(text);
	json_decref(json);
	talloc_free(call);
}

/* The claim stays, so that nobody dispatches again. Frees the call. */
static void reply_in_doubt(service_call_t *call)
{
	gc_http_req_t *req = take_request(call);
	GError *err = NULL;

	gc_error_set(
		&err, GC_ERR_CONFLICT, "dispatch", NULL,
		call->own_claim
			? "the connection broke after the dispatch"
			: "another attempt at this key has no outcome yet");
	gc_log_error(GC_LOG_WARNING, GC_EVENT_ACTION_IN_DOUBT,
		     "action in doubt", err);
	if (req)
		gc_refuse_as(req, 409, "in_doubt", err, GC_RUN_IN_DOUBT,
			     IN_DOUBT_RETRY_S, call->status_read);
	g_clear_error(&err);
	talloc_free(call);
}
