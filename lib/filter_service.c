/*
 * Calls of plain services: setup, choice of a backend server, and GET, which is
 * idempotent and is retried on other backend servers. The other methods are in
 * filter_action.c.
 */
#include <string.h>

#include "lib/filter_service_private.h"

#define SERVICE_PATH_PREFIX "/v1/services/"
#define CONNECT_TIMEOUT_MS  1000L
#define GET_TIMEOUT_MS	    10000L

/*
 * Talloc child of the request, freed with it: its destructor tells the call
 * that the request has ended.
 */
typedef struct request_watch {
	gc_service_call_t *call;
} request_watch_t;

static gc_str_t parse_service_name(const char *path, const char **path_suffix);
static bool is_action(const char *method);
static gc_service_call_t *create_call(gc_request_ctx_t *req_ctx,
				      const gc_service_t *service,
				      const char *path_suffix);
static char *build_backend_path(gc_service_call_t *call,
				const char *path_suffix);
static int call_destructor(gc_service_call_t *call);
static void abort_call(void *ctx);
static int request_watch_destructor(request_watch_t *watch);
static bool was_tried(const gc_service_call_t *call, gc_str_t name);
static bool is_candidate(const gc_service_call_t *call,
			 const gc_view_instance_t *server);
static const gc_view_instance_t *choose_random_server(gc_service_call_t *call);
static void start_get(gc_service_call_t *call);
static void on_get_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);

gc_filter_result_t gc_filter_service(gc_request_ctx_t *req_ctx, GError **err)
{
	const char *method = gc_http_req_method(req_ctx->req);
	const char *path_suffix;
	gc_str_t name = parse_service_name(gc_http_req_path(req_ctx->req),
					   &path_suffix);
	const gc_service_t *service;
	gc_service_call_t *call;

	if (name.len == 0)
		return GC_FILTER_NEXT;
	service = req_ctx->view->config
			  ? gc_config_service(req_ctx->view->config, name)
			  : NULL;
	if (!service) {
		gc_error_set(err, GC_ERR_NOT_FOUND, "route", NULL,
			     "unknown service %.*s", GC_STR_ARG(name));
		return GC_FILTER_REFUSE;
	}
	if (strcmp(method, "GET") != 0 && !is_action(method)) {
		gc_error_set(err, GC_ERR_INVALID, "route", NULL,
			     "method %s is not supported", method);
		return GC_FILTER_REFUSE;
	}
	call = create_call(req_ctx, service, path_suffix);
	if (!call->is_get && !gc_action_read_key(call)) {
		talloc_free(call);
		return GC_FILTER_HANDLED;
	}
	if (!gc_service_call_choose_server(call)) {
		talloc_free(call);
		gc_error_set(err, GC_ERR_UNAVAILABLE, "route", NULL,
			     "no backend server of service %.*s is available",
			     GC_STR_ARG(name));
		return GC_FILTER_REFUSE;
	}
	if (call->is_get)
		start_get(call);
	else
		gc_action_start(call);
	return GC_FILTER_HANDLED;
}

/*
 * Returns the service name, empty if the path isn't that of a service. Sets
 * path_suffix to what follows the name.
 */
static gc_str_t parse_service_name(const char *path, const char **path_suffix)
{
	gc_str_t name;

	if (!g_str_has_prefix(path, SERVICE_PATH_PREFIX))
		return GC_STR_EMPTY;
	name.data = path + strlen(SERVICE_PATH_PREFIX);
	name.len = strcspn(name.data, "/");
	*path_suffix = name.data + name.len;
	return name;
}

static bool is_action(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
	       strcmp(method, "PATCH") == 0 || strcmp(method, "DELETE") == 0;
}

static gc_service_call_t *create_call(gc_request_ctx_t *req_ctx,
				      const gc_service_t *service,
				      const char *path_suffix)
{
	gc_service_call_t *call = talloc_zero(NULL, gc_service_call_t);
	const char *type = gc_http_req_header(req_ctx->req, "Content-Type");

	call->traffic = req_ctx->traffic;
	call->view = gc_view_ref(req_ctx->view);
	call->account = req_ctx->account;
	call->service = service;
	call->req = req_ctx->req;
	call->arrived = req_ctx->arrived;
	call->method = talloc_strdup(call, gc_http_req_method(req_ctx->req));
	call->is_get = strcmp(call->method, "GET") == 0;
	call->path = build_backend_path(call, path_suffix);
	call->content_type = talloc_strdup(call, type ? type : "");
	call->body = gc_str_dup(call, gc_http_req_body(req_ctx->req));
	call->watch =
		talloc_zero(gc_http_req_mem(req_ctx->req), request_watch_t);
	call->watch->call = call;
	talloc_set_destructor(call->watch, request_watch_destructor);
	talloc_set_destructor(call, call_destructor);
	call->job.abort_job = abort_call;
	call->job.ctx = call;
	gc_traffic_job_add(call->traffic, &call->job);
	return call;
}

static char *build_backend_path(gc_service_call_t *call,
				const char *path_suffix)
{
	char *path = g_uri_escape_string(path_suffix, "/!$&'()*+,;=:@", FALSE);
	char *query = gc_http_req_query_string(call->req);
	char *full_path = talloc_asprintf(call, "%s%s%s", *path ? path : "/",
					  *query ? "?" : "", query);

	g_free(path);
	g_free(query);
	return full_path;
}

static int call_destructor(gc_service_call_t *call)
{
	gc_traffic_job_remove(&call->job);
	if (call->http_call)
		gc_http_call_cancel(call->http_call);
	if (call->watch)
		call->watch->call = NULL;
	json_decref(call->last_status);
	gc_view_unref(call->view);
	return 0;
}

/*
 * Called when the grace period of a shutdown has expired. A pending claim gets
 * its result within CLAIM_TIMEOUT_MS (filter_action.c); if granted, it is
 * released then.
 */
static void abort_call(void *ctx)
{
	gc_service_call_t *call = ctx;
	GError *err = NULL;

	call->aborted = true;
	if (!call->http_call)
		return;
	gc_http_call_cancel(call->http_call);
	call->http_call = NULL;
	if (!call->is_get) {
		gc_action_reply_in_doubt(call);
		return;
	}
	gc_error_set(&err, GC_ERR_UNAVAILABLE, "stop", NULL,
		     "the daemon stopped before the backend server answered");
	gc_refuse_with_status(gc_service_call_detach_request(call), 503,
			      "stopping", err, GC_RUN_IN_DOUBT,
			      GC_SERVICE_RETRY_AFTER_S, NULL);
	g_clear_error(&err);
	talloc_free(call);
}

/* The caller has disconnected, or the response was sent. */
static int request_watch_destructor(request_watch_t *watch)
{
	gc_service_call_t *call = watch->call;

	if (!call)
		return 0;
	call->watch = NULL;
	call->req = NULL;
	/* A GET is cancelled; an action continues, to store its outcome. */
	if (call->is_get)
		talloc_free(call);
	return 0;
}

gc_http_req_t *gc_service_call_detach_request(gc_service_call_t *call)
{
	gc_http_req_t *req = call->req;

	if (call->watch)
		call->watch->call = NULL;
	call->watch = NULL;
	call->req = NULL;
	return req;
}

static bool was_tried(const gc_service_call_t *call, gc_str_t name)
{
	for (size_t i = 0; i < call->n_tried; i++)
		if (gc_str_eq(call->tried[i], name))
			return true;
	return false;
}

static bool is_candidate(const gc_service_call_t *call,
			 const gc_view_instance_t *server)
{
	gc_config_t *config = call->view->config;

	return !server->leaving && !was_tried(call, server->name) &&
	       !gc_config_is_departing(config, server->name) &&
	       gc_config_serves_service(config, call->account,
					call->service->name, server->labels);
}

/* Chooses an ejected server only if there is no other. NULL if none is left. */
static const gc_view_instance_t *choose_random_server(gc_service_call_t *call)
{
	const gc_random_t *random = gc_traffic_random(call->traffic);
	const gc_view_instance_t *chosen = NULL;
	uint64_t n_candidates = 0;

	for (size_t i = 0; i < call->view->n_servers; i++) {
		const gc_view_instance_t *server = &call->view->servers[i];

		if (!is_candidate(call, server))
			continue;
		if (chosen && server->ejected && !chosen->ejected)
			continue;
		if (chosen && chosen->ejected && !server->ejected)
			n_candidates = 0;
		n_candidates++;
		if (random->next(random->ctx) % n_candidates == 0)
			chosen = server;
	}
	return chosen;
}

bool gc_service_call_choose_server(gc_service_call_t *call)
{
	if (call->n_tried == GC_SERVICE_MAX_ATTEMPTS)
		return false;
	call->server = choose_random_server(call);
	if (!call->server)
		return false;
	call->tried[call->n_tried++] = call->server->name;
	return true;
}

char *gc_service_call_url(gc_service_call_t *call, const char *path)
{
	return talloc_asprintf(call, "%.*s%s", GC_STR_ARG(call->server->url),
			       path);
}

gc_http_call_t *
gc_service_call_send(gc_service_call_t *call, const gc_http_call_conf_t *conf,
		     void (*done)(void *ctx, int status, gc_str_t body,
				  bool sent, const GError *err))
{
	const gc_http_call_ops_t ops = {.done = done};
	gc_http_call_conf_t full_conf = *conf;

	full_conf.peer = talloc_strndup(call, call->server->name.data,
					call->server->name.len);
	full_conf.connect_timeout_ms = CONNECT_TIMEOUT_MS;
	full_conf.single_use = true;
	full_conf.max_body = gc_traffic_settings(call->traffic)->max_body_bytes;
	return gc_httpc_start(gc_traffic_http_client(call->traffic), &full_conf,
			      &ops, call);
}

static void start_get(gc_service_call_t *call)
{
	const gc_http_call_conf_t conf = {
		.method = "GET",
		.url = gc_service_call_url(call, call->path),
		.body = GC_STR_EMPTY,
		.timeout_ms = GET_TIMEOUT_MS,
	};

	call->http_call = gc_service_call_send(call, &conf, on_get_done);
}

static void on_get_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err)
{
	gc_service_call_t *call = ctx;
	bool too_large = err && err->code == GC_ERR_TOO_LARGE;
	bool failed = err || (status >= 502 && status <= 504);

	call->any_sent = call->any_sent || sent;
	if (failed && !too_large && gc_service_call_choose_server(call)) {
		start_get(call);
		return;
	}
	if (!err)
		gc_service_call_forward_response(call, status, body);
	else if (too_large)
		gc_refuse_with_status(gc_service_call_detach_request(call), 502,
				      "answer_too_large", err, GC_RUN_DONE, 0,
				      NULL);
	else
		gc_refuse_with_status(gc_service_call_detach_request(call), 502,
				      "backend_failed", err,
				      call->any_sent ? GC_RUN_IN_DOUBT
						     : GC_RUN_NOT_RUN,
				      GC_SERVICE_RETRY_AFTER_S, NULL);
	call->http_call = NULL;
	talloc_free(call);
}

void gc_service_call_forward_response(gc_service_call_t *call, int status,
				      gc_str_t body)
{
	const char *type = gc_http_call_header(call->http_call, "Content-Type");
	gc_http_req_t *req = gc_service_call_detach_request(call);

	if (req)
		gc_http_reply(req, (unsigned int)status,
			      type ? type : "application/octet-stream", body);
}
