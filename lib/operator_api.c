/* HTTP listener for operators. */
#include <inttypes.h>
#include <string.h>

#include <sodium.h>

#include "core/config_edit.h"
#include "core/error.h"
#include "lib/control_change.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/operator_api_status.h"

#define JSON_TYPE    "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4"
/* A patch is hardly larger than the configuration that it makes. */
#define MAX_PATCH_BYTES (GC_CONFIG_MAX_BYTES + 65536)
#define RETRY_AFTER_S	1

struct gc_operator_api {
	gc_control_t *control;
	gc_httpd_t *httpd;
};

/* A change in progress; outlives its request if the client disconnects. */
typedef struct pending_change {
	gc_http_req_t *req; /* NULL once the client has disconnected */
} pending_change_t;

typedef struct error_status {
	gc_errcode_t code;
	unsigned int status;
	const char *name;
} error_status_t;

static const error_status_t error_statuses[] = {
	{GC_ERR_INVALID, 400, "invalid"},
	{GC_ERR_UNAUTHORIZED, 401, "wrong_key"},
	{GC_ERR_NOT_FOUND, 404, "not_found"},
	{GC_ERR_CONFLICT, 412, "version_conflict"},
	{GC_ERR_TOO_LARGE, 413, "too_large"},
};

static void on_request(void *ctx, gc_http_req_t *req);
static bool authorized(const gc_control_t *control, gc_http_req_t *req);
static void route(gc_operator_api_t *api, gc_http_req_t *req);
static void reply_json(gc_http_req_t *req, unsigned int status, json_t *body);
static json_t *error_json(const GError *err, const char *code, const char *run);
static void reply_error(gc_http_req_t *req, const GError *err);
static void reply_error_text(gc_http_req_t *req, unsigned int status,
			     gc_errcode_t errcode, const char *code,
			     const char *message);
static void get_config(gc_control_t *control, gc_http_req_t *req);
static void patch_config(gc_control_t *control, gc_http_req_t *req);
static bool parse_version(const char *text, uint64_t *version);
static void on_change_done(void *ctx, const gc_change_result_t *result);
static void reply_change(gc_http_req_t *req, const gc_change_result_t *result);
static void reply_conflict(gc_http_req_t *req,
			   const gc_change_result_t *result);
static void reply_in_doubt(gc_http_req_t *req,
			   const gc_change_result_t *result);
static void on_closed(void *ctx, bool complete);
static int pending_destructor(pending_change_t *pending);
static void get_metrics(gc_http_req_t *req);

gc_operator_api_t *gc_operator_api_create(gc_control_t *control, GError **err)
{
	gc_operator_api_t *api = talloc_zero(control, gc_operator_api_t);
	gc_httpd_conf_t conf = {
		.address = control->settings->operators.address,
		.port = control->settings->operators.port,
		.max_body = MAX_PATCH_BYTES,
	};
	char port[8];

	api->control = control;
	api->httpd =
		gc_httpd_create(api, control->ev, &conf, on_request, api, err);
	if (!api->httpd) {
		talloc_free(api);
		return NULL;
	}
	g_snprintf(port, sizeof(port), "%u", gc_httpd_port(api->httpd));
	gc_log(GC_LOG_INFO, GC_EVENT_OPERATOR_LISTENER_READY,
	       "operator listener is ready", "address", conf.address, "port",
	       port, NULL);
	return api;
}

uint16_t gc_operator_api_port(const gc_operator_api_t *api)
{
	return gc_httpd_port(api->httpd);
}

static void on_request(void *ctx, gc_http_req_t *req)
{
	gc_operator_api_t *api = ctx;

	if (authorized(api->control, req))
		route(api, req);
	else
		reply_error_text(req, 401, GC_ERR_UNAUTHORIZED, "wrong_key",
				 "the operator key is missing or wrong");
}

/* Compares in constant time, so that response times reveal no keys. */
static bool authorized(const gc_control_t *control, gc_http_req_t *req)
{
	const gc_settings_t *settings = control->settings;
	const char *header = gc_http_req_header(req, "Authorization");
	bool found = false;
	const char *key;

	if (!header || g_ascii_strncasecmp(header, "Bearer ", 7) != 0)
		return false;
	key = header + 7;
	for (size_t i = 0; i < settings->n_operator_keys; i++) {
		const char *expected = settings->operator_keys[i];
		size_t len = strlen(expected);

		found |= len > 0 && strlen(key) == len &&
			 sodium_memcmp(key, expected, len) == 0;
	}
	return found;
}

static void route(gc_operator_api_t *api, gc_http_req_t *req)
{
	gc_control_t *control = api->control;
	const char *method = gc_http_req_method(req);
	const char *path = gc_http_req_path(req);
	bool is_get = strcmp(method, "GET") == 0;

	if (strcmp(path, "/v1/config") == 0 && is_get)
		get_config(control, req);
	else if (strcmp(path, "/v1/config") == 0 &&
		 strcmp(method, "PATCH") == 0)
		patch_config(control, req);
	else if (strcmp(path, "/v1/status") == 0 && is_get)
		reply_json(req, 200, gc_operator_api_status(control));
	else if (strcmp(path, "/metrics") == 0 && is_get)
		get_metrics(req);
	else
		reply_error_text(req, 404, GC_ERR_NOT_FOUND, "not_found",
				 "no such operation");
}

/* Steals the reference to body. */
static void reply_json(gc_http_req_t *req, unsigned int status, json_t *body)
{
	char *dump = json_dumps(body, JSON_INDENT(2) | JSON_SORT_KEYS);
	g_autofree char *line = g_strconcat(dump, "\n", NULL);

	gc_http_reply(req, status, JSON_TYPE, gc_str(line));
	free(dump);
	json_decref(body);
}

static json_t *error_json(const GError *err, const char *code, const char *run)
{
	return json_pack("{s{ss ss ss ss ss ss}}", "error", "message",
			 err->message, "type", "operator", "code", code, "step",
			 gc_error_step(err), "peer", gc_error_peer(err), "run",
			 run);
}

static void reply_error(gc_http_req_t *req, const GError *err)
{
	const char *name = "unavailable";
	unsigned int status = 503;
	char seconds[8];

	for (size_t i = 0; i < G_N_ELEMENTS(error_statuses); i++) {
		if ((int)error_statuses[i].code != err->code)
			continue;
		status = error_statuses[i].status;
		name = error_statuses[i].name;
	}
	if (status == 503) {
		g_snprintf(seconds, sizeof(seconds), "%d", RETRY_AFTER_S);
		gc_http_req_add_header(req, "Retry-After", seconds);
	}
	reply_json(req, status, error_json(err, name, "not_run"));
}

static void reply_error_text(gc_http_req_t *req, unsigned int status,
			     gc_errcode_t errcode, const char *code,
			     const char *message)
{
	GError *err = NULL;

	gc_error_set(&err, errcode, "operator", NULL, "%s", message);
	reply_json(req, status, error_json(err, code, "not_run"));
	g_error_free(err);
}

static void get_config(gc_control_t *control, gc_http_req_t *req)
{
	gc_config_t *config = gc_control_config_current(control);
	char version[24];

	if (!config) {
		reply_error_text(req, 404, GC_ERR_NOT_FOUND, "no_config",
				 "no configuration is known yet");
		return;
	}
	g_snprintf(version, sizeof(version), "%" PRIu64,
		   gc_config_version(config));
	gc_http_req_add_header(req, "ETag", version);
	reply_json(req, 200, json_incref(gc_config_document(config)));
}

/* Parses a version with or without the quotes of an entity tag. */
static bool parse_version(const char *text, uint64_t *version)
{
	size_t len = strlen(text);
	g_autofree char *digits = NULL;

	if (len >= 2 && text[0] == '"' && text[len - 1] == '"')
		digits = g_strndup(text + 1, len - 2);
	else
		digits = g_strdup(text);
	return g_ascii_string_to_unsigned(digits, 10, 0, INT64_MAX - 1, version,
					  NULL);
}

static void patch_config(gc_control_t *control, gc_http_req_t *req)
{
	const char *if_match = gc_http_req_header(req, "If-Match");
	gc_str_t body = gc_http_req_body(req);
	pending_change_t *pending;
	uint64_t version;
	json_error_t json_err;
	json_t *patch;

	if (!if_match) {
		reply_error_text(req, 428, GC_ERR_INVALID, "if_match_missing",
				 "If-Match with the version is required");
		return;
	}
	if (!parse_version(if_match, &version)) {
		reply_error_text(req, 400, GC_ERR_INVALID, "invalid",
				 "If-Match: not a version");
		return;
	}
	patch = json_loadb(body.data, body.len, JSON_REJECT_DUPLICATES,
			   &json_err);
	if (!patch) {
		g_autofree char *message = g_strdup_printf(
			"patch: line %d: %s", json_err.line, json_err.text);

		reply_error_text(req, 400, GC_ERR_INVALID, "invalid", message);
		return;
	}
	pending = talloc_zero(control, pending_change_t);
	pending->req = req;
	talloc_set_destructor(pending, pending_destructor);
	gc_http_req_on_closed(req, on_closed, pending);
	gc_control_change_config(control, version, patch, on_change_done,
				 pending);
	json_decref(patch);
}

static void on_closed(void *ctx, bool complete)
{
	pending_change_t *pending = ctx;

	pending->req = NULL;
}

/* On shutdown the change may be freed before its request. */
static int pending_destructor(pending_change_t *pending)
{
	if (pending->req)
		gc_http_req_on_closed(pending->req, NULL, NULL);
	return 0;
}

static void on_change_done(void *ctx, const gc_change_result_t *result)
{
	pending_change_t *pending = ctx;

	if (pending->req)
		reply_change(pending->req, result);
	talloc_free(pending);
}

static void reply_change(gc_http_req_t *req, const gc_change_result_t *result)
{
	char etag[24];

	switch (result->outcome) {
	case GC_CHANGE_ACCEPTED:
	case GC_CHANGE_WRITTEN:
		g_snprintf(etag, sizeof(etag), "%" PRIu64, result->version);
		gc_http_req_add_header(req, "ETag", etag);
		reply_json(req,
			   result->outcome == GC_CHANGE_ACCEPTED ? 200 : 202,
			   json_pack("{sI sb}", "version",
				     (json_int_t)result->version, "accepted",
				     result->outcome == GC_CHANGE_ACCEPTED));
		return;
	case GC_CHANGE_CONFLICT:
		reply_conflict(req, result);
		return;
	case GC_CHANGE_REFUSED:
		reply_error(req, result->err);
		return;
	case GC_CHANGE_IN_DOUBT:
		reply_in_doubt(req, result);
		return;
	}
}

static void reply_conflict(gc_http_req_t *req, const gc_change_result_t *result)
{
	GError *err = NULL;
	json_t *body;
	char etag[24];

	gc_error_set(&err, GC_ERR_CONFLICT, "change", NULL,
		     "the current version is %" PRIu64, result->version);
	g_snprintf(etag, sizeof(etag), "%" PRIu64, result->version);
	gc_http_req_add_header(req, "ETag", etag);
	body = error_json(err, "version_conflict", "not_run");
	json_object_set_new(body, "version",
			    json_integer((json_int_t)result->version));
	json_object_set_new(body, "changed",
			    result->changed_paths
				    ? json_incref(result->changed_paths)
				    : json_null());
	reply_json(req, 412, body);
	g_error_free(err);
}

static void reply_in_doubt(gc_http_req_t *req, const gc_change_result_t *result)
{
	GError *err = NULL;

	gc_error_set(&err, GC_ERR_TIMEOUT, "change", "key-value service",
		     "the service gave no definite answer; read the "
		     "configuration to see if the change was written");
	reply_json(req, 504, error_json(err, "in_doubt", "in_doubt"));
	g_error_free(err);
}

static void get_metrics(gc_http_req_t *req)
{
	GString *metrics = gc_metrics_format();

	gc_http_reply(req, 200, METRICS_TYPE,
		      (gc_str_t){metrics->str, metrics->len});
	g_string_free(metrics, TRUE);
}
