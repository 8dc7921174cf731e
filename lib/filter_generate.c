/* Filter: completions and chat completions. */
#include <string.h>

#include "lib/filter.h"
#include "lib/generation.h"

static gc_generate_t *read_request(gc_request_ctx_t *ex, bool chat, bool resume,
				   GError **err);
static bool check_resume(const gc_generate_t *request,
			 const gc_cursor_t *cursor, GError **err);
static gc_filter_result_t bad_cursor(gc_request_ctx_t *ex, GError **err);

gc_filter_result_t gc_filter_generate(gc_request_ctx_t *ex, GError **err)
{
	const char *path = gc_http_req_path(ex->req);
	const char *id = gc_http_req_header(ex->req, "Last-Event-ID");
	bool chat = strcmp(path, "/v1/chat/completions") == 0;
	gc_generate_t *request;
	gc_cursor_t cursor;

	if (!chat && strcmp(path, "/v1/completions") != 0)
		return GC_FILTER_NEXT;
	if (id && !gc_cursor_decode(gc_traffic_settings(ex->traffic)->fleet_key,
				    gc_str(id), &cursor, err))
		return bad_cursor(ex, err);
	request = read_request(ex, chat, id != NULL, err);
	if (!request)
		return GC_FILTER_REFUSE;
	if (request->model &&
	    !gc_config_has_model(ex->view->config, gc_str(request->model))) {
		gc_error_set(err, GC_ERR_NOT_FOUND, "generate", NULL,
			     "unknown model %s", request->model);
		return GC_FILTER_REFUSE;
	}
	if (!check_resume(request, id ? &cursor : NULL, err))
		return GC_FILTER_REFUSE;
	gc_generation_begin(ex, request, id ? &cursor : NULL);
	return GC_FILTER_TAKEN;
}

static gc_filter_result_t bad_cursor(gc_request_ctx_t *ex, GError **err)
{
	gc_refuse_as(ex->req, 400, "invalid_cursor", *err, GC_RUN_NOT_RUN, 0,
		     NULL);
	g_clear_error(err);
	return GC_FILTER_TAKEN;
}

/* A resume without a body knows only the kind of the answer. */
static gc_generate_t *read_request(gc_request_ctx_t *ex, bool chat, bool resume,
				   GError **err)
{
	const char *method = gc_http_req_method(ex->req);
	bool get = strcmp(method, "GET") == 0;
	gc_generate_t *request;

	if (!get && strcmp(method, "POST") != 0) {
		gc_error_set(err, GC_ERR_INVALID, "generate", NULL,
			     "only POST and GET are served here");
		return NULL;
	}
	if (get && !resume) {
		gc_error_set(err, GC_ERR_INVALID, "generate", NULL,
			     "GET needs the header Last-Event-ID");
		return NULL;
	}
	if (!resume || ex->body) {
		if (json_is_object(ex->body))
			return gc_generate_parse(ex, chat, ex->body, err);
		gc_error_set(err, GC_ERR_INVALID, "generate", NULL,
			     "the body must be a JSON object");
		return NULL;
	}
	request = talloc_zero(ex, gc_generate_t);
	request->chat = chat;
	request->stream = true;
	request->max_tokens = GC_MAX_TOKENS;
	return request;
}

static bool check_resume(const gc_generate_t *request,
			 const gc_cursor_t *cursor, GError **err)
{
	const char *fault = NULL;

	if (!cursor && request->n_prefix > 0)
		fault = "goldcrest.prefix needs the header Last-Event-ID";
	else if (cursor && !request->stream)
		fault = "Last-Event-ID needs \"stream\": true";
	else if (cursor && cursor->offset > request->max_tokens)
		fault = "Last-Event-ID is beyond max_tokens";
	if (!fault)
		return true;
	gc_error_set(err, GC_ERR_INVALID, "generate", NULL, "%s", fault);
	return false;
}
