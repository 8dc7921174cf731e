/* Filters: authentication by bearer key, JSON body, list of models. */
#include <stdlib.h>
#include <string.h>

#include "lib/account_metrics.h"
#include "lib/filter.h"

static bool expects_json(gc_request_ctx_t *req_ctx);
static void append_model(void *ctx, gc_str_t model);

gc_filter_result_t gc_filter_auth(gc_request_ctx_t *req_ctx, GError **err)
{
	const char *header = gc_http_req_header(req_ctx->req, "Authorization");
	g_autofree char *name = NULL;

	if (!header || g_ascii_strncasecmp(header, "Bearer ", 7) != 0) {
		gc_error_set(err, GC_ERR_UNAUTHORIZED, "auth", NULL,
			     "no bearer key");
		return GC_FILTER_REFUSE;
	}
	req_ctx->account = gc_config_account_by_key(req_ctx->view->config,
						    gc_str(header + 7));
	if (!req_ctx->account) {
		gc_error_set(err, GC_ERR_UNAUTHORIZED, "auth", NULL,
			     "unknown bearer key");
		return GC_FILTER_REFUSE;
	}
	name = g_strndup(req_ctx->account->name.data,
			 req_ctx->account->name.len);
	gc_account_metrics_add(
		gc_account_metrics_get(name, gc_request_ctx_class(req_ctx)),
		GC_ACCOUNT_METRICS_REQUESTS, 1);
	return GC_FILTER_NEXT;
}

gc_filter_result_t gc_filter_body(gc_request_ctx_t *req_ctx, GError **err)
{
	gc_str_t body = gc_http_req_body(req_ctx->req);
	json_error_t json_err;

	if (body.len == 0 || !expects_json(req_ctx))
		return GC_FILTER_NEXT;
	req_ctx->body = json_loadb(body.data, body.len, JSON_REJECT_DUPLICATES,
				   &json_err);
	if (req_ctx->body)
		return GC_FILTER_NEXT;
	gc_error_set(err, GC_ERR_INVALID, "body", NULL,
		     "bad JSON at line %d, column %d: %s", json_err.line,
		     json_err.column, json_err.text);
	return GC_FILTER_REFUSE;
}

/* Calls of plain services may have a body of any type. */
static bool expects_json(gc_request_ctx_t *req_ctx)
{
	const char *type = gc_http_req_header(req_ctx->req, "Content-Type");

	if (strcmp(gc_request_ctx_class(req_ctx), "service") != 0)
		return true;
	return type && strstr(type, "json") != NULL;
}

gc_filter_result_t gc_filter_models(gc_request_ctx_t *req_ctx, GError **err)
{
	json_t *models;
	json_t *body;
	char *text;

	if (strcmp(gc_http_req_path(req_ctx->req), "/v1/models") != 0)
		return GC_FILTER_NEXT;
	if (strcmp(gc_http_req_method(req_ctx->req), "GET") != 0) {
		gc_error_set(err, GC_ERR_INVALID, "models", NULL,
			     "method not supported; use GET");
		return GC_FILTER_REFUSE;
	}
	models = json_array();
	gc_config_foreach_model(req_ctx->view->config, append_model, models);
	body = json_pack("{ss so}", "object", "list", "data", models);
	text = json_dumps(body, JSON_COMPACT);
	gc_http_reply(req_ctx->req, 200, "application/json", gc_str(text));
	free(text);
	json_decref(body);
	return GC_FILTER_HANDLED;
}

static void append_model(void *ctx, gc_str_t model)
{
	json_array_append_new(ctx, json_pack("{ss% ss ss}", "id", model.data,
					     model.len, "object", "model",
					     "owned_by", "goldcrest"));
}
