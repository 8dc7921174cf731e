/* Filters: bearer key, JSON body, list of models. */
#include <stdlib.h>
#include <string.h>

#include "lib/account_metrics.h"
#include "lib/filter.h"

static bool is_json(gc_request_ctx_t *ex);
static void append_model(void *ctx, gc_str_t model);

gc_filter_result_t gc_filter_auth(gc_request_ctx_t *ex, GError **err)
{
	const char *header = gc_http_req_header(ex->req, "Authorization");
	g_autofree char *name = NULL;

	if (!header || g_ascii_strncasecmp(header, "Bearer ", 7) != 0) {
		gc_error_set(err, GC_ERR_UNAUTHORIZED, "auth", NULL,
			     "no bearer key");
		return GC_FILTER_REFUSE;
	}
	ex->account =
		gc_config_account_by_key(ex->view->config, gc_str(header + 7));
	if (!ex->account) {
		gc_error_set(err, GC_ERR_UNAUTHORIZED, "auth", NULL,
			     "unknown bearer key");
		return GC_FILTER_REFUSE;
	}
	name = g_strndup(ex->account->name.data, ex->account->name.len);
	gc_account_metrics_add(gc_account_metrics_get(name,
						      gc_request_ctx_class(ex)),
			       GC_ACCOUNT_METRICS_REQUESTS, 1);
	return GC_FILTER_NEXT;
}

gc_filter_result_t gc_filter_body(gc_request_ctx_t *ex, GError **err)
{
	gc_str_t body = gc_http_req_body(ex->req);
	json_error_t where;

	if (body.len == 0 || !is_json(ex))
		return GC_FILTER_NEXT;
	ex->body =
		json_loadb(body.data, body.len, JSON_REJECT_DUPLICATES, &where);
	if (ex->body)
		return GC_FILTER_NEXT;
	gc_error_set(err, GC_ERR_INVALID, "body", NULL,
		     "bad JSON at line %d, column %d: %s", where.line,
		     where.column, where.text);
	return GC_FILTER_REFUSE;
}

/* The body of a plain service's call may be of any type. */
static bool is_json(gc_request_ctx_t *ex)
{
	const char *type = gc_http_req_header(ex->req, "Content-Type");

	if (strcmp(gc_request_ctx_class(ex), "service") != 0)
		return true;
	return type && strstr(type, "json") != NULL;
}

gc_filter_result_t gc_filter_models(gc_request_ctx_t *ex, GError **err)
{
	json_t *models;
	json_t *body;
	char *text;

	if (strcmp(gc_http_req_path(ex->req), "/v1/models") != 0)
		return GC_FILTER_NEXT;
	if (strcmp(gc_http_req_method(ex->req), "GET") != 0) {
		gc_error_set(err, GC_ERR_INVALID, "models", NULL,
			     "only GET is served here");
		return GC_FILTER_REFUSE;
	}
	models = json_array();
	gc_config_each_model(ex->view->config, append_model, models);
	body = json_pack("{ss so}", "object", "list", "data", models);
	text = json_dumps(body, JSON_COMPACT);
	gc_http_reply(ex->req, 200, "application/json", gc_str(text));
	free(text);
	json_decref(body);
	return GC_FILTER_TAKEN;
}

static void append_model(void *ctx, gc_str_t model)
{
	json_array_append_new(ctx, json_pack("{ss% ss ss}", "id", model.data,
					     model.len, "object", "model",
					     "owned_by", "goldcrest"));
}
