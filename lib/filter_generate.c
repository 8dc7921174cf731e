/* Filter: new and resumed completions and chat completions. */
#include <string.h>

#include "lib/filter.h"
#include "lib/generation.h"

static gc_completion_request_t *
parse_completion_request(gc_request_ctx_t *req_ctx, bool chat, bool resume,
			 GError **err);
static bool check_resume(const gc_completion_request_t *completion_request,
			 const gc_cursor_t *cursor, GError **err);
static gc_filter_result_t refuse_cursor(gc_request_ctx_t *req_ctx,
					GError **err);

gc_filter_result_t gc_filter_generate(gc_request_ctx_t *req_ctx, GError **err)
{
	const char *path = gc_http_req_path(req_ctx->req);
	const char *last_event_id =
		gc_http_req_header(req_ctx->req, "Last-Event-ID");
	bool chat = strcmp(path, "/v1/chat/completions") == 0;
	gc_completion_request_t *completion_request;
	gc_cursor_t cursor;

	if (!chat && strcmp(path, "/v1/completions") != 0)
		return GC_FILTER_NEXT;
	if (last_event_id &&
	    !gc_cursor_decode(gc_traffic_settings(req_ctx->traffic)->fleet_key,
			      gc_str(last_event_id), &cursor, err))
		return refuse_cursor(req_ctx, err);
	completion_request = parse_completion_request(
		req_ctx, chat, last_event_id != NULL, err);
	if (!completion_request)
		return GC_FILTER_REFUSE;
	if (completion_request->model &&
	    !gc_config_has_model(req_ctx->view->config,
				 gc_str(completion_request->model))) {
		gc_error_set(err, GC_ERR_NOT_FOUND, "generate", NULL,
			     "unknown model %s", completion_request->model);
		return GC_FILTER_REFUSE;
	}
	if (!check_resume(completion_request, last_event_id ? &cursor : NULL,
			  err))
		return GC_FILTER_REFUSE;
	gc_generation_begin(req_ctx, completion_request,
			    last_event_id ? &cursor : NULL);
	return GC_FILTER_HANDLED;
}

static gc_filter_result_t refuse_cursor(gc_request_ctx_t *req_ctx, GError **err)
{
	gc_refuse_with_status(req_ctx->req, 400, "invalid_cursor", *err,
			      GC_RUN_NOT_RUN, 0, NULL);
	g_clear_error(err);
	return GC_FILTER_HANDLED;
}

/* The body of a resume may be absent; model and prompt are then unknown. */
static gc_completion_request_t *
parse_completion_request(gc_request_ctx_t *req_ctx, bool chat, bool resume,
			 GError **err)
{
	const char *method = gc_http_req_method(req_ctx->req);
	bool get = strcmp(method, "GET") == 0;
	gc_completion_request_t *completion_request;

	if (!get && strcmp(method, "POST") != 0) {
		gc_error_set(err, GC_ERR_INVALID, "generate", NULL,
			     "method not supported; use POST or GET");
		return NULL;
	}
	if (get && !resume) {
		gc_error_set(err, GC_ERR_INVALID, "generate", NULL,
			     "GET needs the header Last-Event-ID");
		return NULL;
	}
	if (!resume || req_ctx->body) {
		if (json_is_object(req_ctx->body))
			return gc_completion_request_parse(req_ctx, chat,
							   req_ctx->body, err);
		gc_error_set(err, GC_ERR_INVALID, "generate", NULL,
			     "the body must be a JSON object");
		return NULL;
	}
	completion_request = talloc_zero(req_ctx, gc_completion_request_t);
	completion_request->chat = chat;
	completion_request->stream = true;
	completion_request->max_tokens = GC_MAX_TOKENS;
	return completion_request;
}

static bool check_resume(const gc_completion_request_t *completion_request,
			 const gc_cursor_t *cursor, GError **err)
{
	const char *problem = NULL;

	if (!cursor && completion_request->n_prefix > 0)
		problem = "goldcrest.prefix needs the header Last-Event-ID";
	else if (cursor && !completion_request->stream)
		problem = "Last-Event-ID needs \"stream\": true";
	else if (cursor && cursor->offset > completion_request->max_tokens)
		problem = "Last-Event-ID is beyond max_tokens";
	if (!problem)
		return true;
	gc_error_set(err, GC_ERR_INVALID, "generate", NULL, "%s", problem);
	return false;
}
