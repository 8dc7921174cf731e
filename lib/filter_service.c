/*
 * Calls of plain services: the call, its backend servers, and GET, which is
 * idempotent and is retried on another backend server. The other methods are
 * in filter_action.c.
 */
#include <string.h>

#include "lib/filter_service_private.h"

#define PATH_PREFIX "/v1/services/"
#define CONNECT_MS  1000L
#define GET_MS	    10000L

/* Lives in the request's talloc context; its end tells of the hang-up. */
typedef struct request_watch {
	gc_service_call_t *call;
} request_watch_t;

static gc_str_t service_name(const char *path, const char **rest);
static bool is_action(const char *method);
static gc_service_call_t *call_create(gc_request_ctx_t *ex,
				      const gc_service_t *service,
				      const char *rest);
static char *request_path(gc_service_call_t *call, const char *rest);
static int call_destructor(gc_service_call_t *call);
static void break_off(void *ctx);
static int watch_destructor(request_watch_t *watch);
static bool was_tried(const gc_service_call_t *call, gc_str_t name);
static bool is_candidate(const gc_service_call_t *call,
			 const gc_view_instance_t *server);
static const gc_view_instance_t *choose_server(gc_service_call_t *call);
static void start_get(gc_service_call_t *call);
static void on_get_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);

gc_filter_result_t gc_filter_service(gc_request_ctx_t *ex, GError **err)
{
	const char *method = gc_http_req_method(ex->req);
	const char *rest;
	gc_str_t name = service_name(gc_http_req_path(ex->req), &rest);
	const gc_service_t *service;
	gc_service_call_t *call;

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
	if (!call->is_get && !gc_action_set_key(call)) {
		talloc_free(call);
		return GC_FILTER_TAKEN;
	}
	if (!gc_service_call_next_server(call)) {
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

static gc_service_call_t *
call_create(gc_request_ctx_t *ex, const gc_service_t *service, const char *rest)
{
	gc_service_call_t *call = talloc_zero(NULL, gc_service_call_t);
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

static char *request_path(gc_service_call_t *call, const char *rest)
{
	char *path = g_uri_escape_string(rest, "/!$&'()*+,;=:@", FALSE);
	char *query = gc_http_req_query_string(call->req);
	char *whole = talloc_asprintf(call, "%s%s%s", *path ? path : "/",
				      *query ? "?" : "", query);

	g_free(path);
	g_free(query);
	return whole;
}

static int call_destructor(gc_service_call_t *call)
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
	gc_service_call_t *call = ctx;
	GError *err = NULL;

	call->broken_off = true;
	if (!call->call)
		return;
	gc_http_call_cancel(call->call);
	call->call = NULL;
	if (!call->is_get) {
		gc_action_in_doubt(call);
		return;
	}
	gc_error_set(&err, GC_ERR_UNAVAILABLE, "stop", NULL,
		     "the daemon stops before the backend server answered");
	gc_refuse_as(gc_service_call_take(call), 503, "stopping", err,
		     GC_RUN_IN_DOUBT, GC_SERVICE_NOT_RUN_RETRY_S, NULL);
	g_clear_error(&err);
	talloc_free(call);
}

/* The caller hung up, or the answer is out. */
static int watch_destructor(request_watch_t *watch)
{
	gc_service_call_t *call = watch->call;

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
gc_http_req_t *gc_service_call_take(gc_service_call_t *call)
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

/* A random one; an ejected one only when no other is left. */
static const gc_view_instance_t *choose_server(gc_service_call_t *call)
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
bool gc_service_call_next_server(gc_service_call_t *call)
{
	if (call->n_tried == GC_SERVICE_TRIES)
		return false;
	call->server = choose_server(call);
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
gc_service_call_http(gc_service_call_t *call, const gc_http_call_conf_t *conf,
		     void (*done)(void *ctx, int status, gc_str_t body,
				  bool sent, const GError *err))
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

static void start_get(gc_service_call_t *call)
{
	const gc_http_call_conf_t conf = {
		.method = "GET",
		.url = gc_service_call_url(call, call->path),
		.body = GC_STR_EMPTY,
		.timeout_ms = GET_MS,
	};

	call->call = gc_service_call_http(call, &conf, on_get_done);
}

static void on_get_done(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err)
{
	gc_service_call_t *call = ctx;
	bool too_large = err && err->code == GC_ERR_TOO_LARGE;
	bool failed = err || (status >= 502 && status <= 504);

	call->any_sent = call->any_sent || sent;
	if (failed && !too_large && gc_service_call_next_server(call)) {
		start_get(call);
		return;
	}
	if (!err)
		gc_service_call_pass_on(call, status, body);
	else if (too_large)
		gc_refuse_as(gc_service_call_take(call), 502,
			     "answer_too_large", err, GC_RUN_DONE, 0, NULL);
	else
		gc_refuse_as(gc_service_call_take(call), 502, "backend_failed",
			     err,
			     call->any_sent ? GC_RUN_IN_DOUBT : GC_RUN_NOT_RUN,
			     GC_SERVICE_NOT_RUN_RETRY_S, NULL);
	call->call = NULL;
	talloc_free(call);
}

/* Gives the caller the backend server's answer. */
void gc_service_call_pass_on(gc_service_call_t *call, int status, gc_str_t body)
{
	const char *type = gc_http_call_header(call->call, "Content-Type");
	gc_http_req_t *req = gc_service_call_take(call);

	if (req)
		gc_http_reply(req, (unsigned int)status,
			      type ? type : "application/octet-stream", body);
}
