/* Response to the caller of a generation: an event stream or one JSON body. */
#include <stdlib.h>

#include "lib/filter.h"
#include "lib/reply.h"

/*
 * Reading from the engines pauses when the send buffer exceeds the high
 * watermark, and resumes when it has drained to the low one.
 */
#define HIGH_WATERMARK_BYTES (64 * 1024)
#define LOW_WATERMARK_BYTES  (16 * 1024)

struct gc_reply {
	gc_reply_conf_t conf;
	gc_completion_t completion;
	char *last_event_id; /* cursor of the last token sent */
	bool stream_begun;
	bool is_first_token; /* no token was sent yet, nor before a resume */
};

static void begin_stream(gc_reply_t *reply);
static void write_event(gc_reply_t *reply, const char *name, const char *id,
			json_t *data);

gc_reply_t *gc_reply_create(TALLOC_CTX *mem, const gc_reply_conf_t *conf)
{
	gc_reply_t *reply = talloc_zero(mem, gc_reply_t);

	reply->conf = *conf;
	reply->is_first_token = !conf->last_event_id;
	reply->last_event_id = talloc_strdup(reply, conf->last_event_id);
	reply->completion.id = talloc_asprintf(
		reply, "%s-%s",
		conf->completion_request->chat ? "chatcmpl" : "cmpl",
		conf->request_id);
	reply->completion.created = conf->created;
	reply->completion.request = conf->completion_request;
	return reply;
}

bool gc_reply_stream_begun(const gc_reply_t *reply)
{
	return reply->stream_begun;
}

bool gc_reply_is_backlogged(const gc_reply_t *reply)
{
	return reply->stream_begun &&
	       gc_http_stream_buffered(reply->conf.req) > HIGH_WATERMARK_BYTES;
}

static void begin_stream(gc_reply_t *reply)
{
	gc_http_req_t *req = reply->conf.req;

	if (reply->stream_begun)
		return;
	reply->stream_begun = true;
	gc_http_req_add_header(req, "Cache-Control", "no-cache");
	gc_http_stream_begin(req, 200, "text/event-stream");
	gc_http_stream_on_drained(req, LOW_WATERMARK_BYTES, reply->conf.drained,
				  reply->conf.ctx);
}

/* Writes one event; takes over the reference to data. */
static void write_event(gc_reply_t *reply, const char *name, const char *id,
			json_t *data)
{
	g_autoptr(GString) text = g_string_new(NULL);
	char *json = json_dumps(data, JSON_COMPACT);

	json_decref(data);
	if (name)
		g_string_append_printf(text, "event: %s\n", name);
	if (id)
		g_string_append_printf(text, "id: %s\n", id);
	g_string_append(text, "data: ");
	g_string_append(text, json ? json : "{}");
	g_string_append(text, "\n\n");
	free(json);
	begin_stream(reply);
	gc_http_stream_write(reply->conf.req, (gc_str_t){text->str, text->len});
}

void gc_reply_send_token(gc_reply_t *reply, gc_str_t token,
			 const gc_cursor_t *cursor)
{
	if (!reply->conf.completion_request->stream)
		return;
	talloc_free(reply->last_event_id);
	reply->last_event_id =
		gc_cursor_encode(reply, reply->conf.fleet_key, cursor);
	write_event(reply, NULL, reply->last_event_id,
		    gc_completion_chunk(&reply->completion, token,
					reply->is_first_token));
	reply->is_first_token = false;
}

void gc_reply_finish(gc_reply_t *reply, gc_str_t text, const char *reason,
		     const gc_usage_t *usage)
{
	gc_http_req_t *req = reply->conf.req;
	json_t *response;
	char *json;

	if (reply->conf.completion_request->stream) {
		write_event(reply, NULL, reply->last_event_id,
			    gc_completion_last_chunk(&reply->completion, reason,
						     usage));
		gc_http_stream_write(req, GC_STR_LIT("data: [DONE]\n\n"));
		gc_http_stream_end(req);
		return;
	}
	response =
		gc_completion_response(&reply->completion, text, reason, usage);
	json = json_dumps(response, JSON_COMPACT);
	json_decref(response);
	gc_http_reply(req, 200, "application/json", gc_str(json));
	free(json);
}

void gc_reply_fail(gc_reply_t *reply, const GError *err, gc_run_state_t run,
		   unsigned int retry_after_s)
{
	if (!reply->stream_begun) {
		gc_refuse(reply->conf.req, err, run, retry_after_s);
		return;
	}
	write_event(reply, "error", NULL,
		    gc_refusal_json(err, NULL, run, retry_after_s));
	gc_http_stream_end(reply->conf.req);
}

void gc_reply_abort(gc_reply_t *reply)
{
	gc_http_stream_abort(reply->conf.req);
}

void gc_reply_send_keep_alive(gc_reply_t *reply)
{
	if (reply->stream_begun &&
	    gc_http_stream_buffered(reply->conf.req) == 0)
		gc_http_stream_write(reply->conf.req,
				     GC_STR_LIT(": waiting\n\n"));
}
