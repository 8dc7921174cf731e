/* JSON of requests and responses of completions and chat completions. */
#include <string.h>

#include "core/error.h"
#include "core/types.h"
#include "lib/openai.h"

#define DEFAULT_MAX_TOKENS 256
#define MAX_PRIORITY	   100

static bool read_model(gc_completion_request_t *request, json_t *body,
		       GError **err);
static bool read_prompt(gc_completion_request_t *request, json_t *body,
			GError **err);
static bool read_messages(gc_completion_request_t *request, json_t *body,
			  GError **err);
static bool read_limits(gc_completion_request_t *request, json_t *body,
			GError **err);
static bool read_prefix(gc_completion_request_t *request, json_t *body,
			GError **err);
static bool set_invalid(GError **err, const char *message);
static json_t *build_object(const gc_completion_t *completion,
			    const char *object, json_t *choice);
static const char *object_name(const gc_completion_t *completion);
static json_t *usage_json(const gc_usage_t *usage);

gc_completion_request_t *gc_completion_request_parse(TALLOC_CTX *mem, bool chat,
						     json_t *body, GError **err)
{
	gc_completion_request_t *request =
		talloc_zero(mem, gc_completion_request_t);

	request->chat = chat;
	if (read_model(request, body, err) &&
	    (chat ? read_messages(request, body, err)
		  : read_prompt(request, body, err)) &&
	    read_limits(request, body, err) && read_prefix(request, body, err))
		return request;
	talloc_free(request);
	return NULL;
}

static bool set_invalid(GError **err, const char *message)
{
	gc_error_set(err, GC_ERR_INVALID, "generate", NULL, "%s", message);
	return false;
}

static bool read_model(gc_completion_request_t *request, json_t *body,
		       GError **err)
{
	json_t *model = json_object_get(body, "model");

	if (!json_is_string(model) || json_string_length(model) == 0 ||
	    json_string_length(model) >= GC_NAME_MAX)
		return set_invalid(err, "model: must be the name of a model");
	request->model = talloc_strdup(request, json_string_value(model));
	return true;
}

static bool read_prompt(gc_completion_request_t *request, json_t *body,
			GError **err)
{
	json_t *prompt = json_object_get(body, "prompt");

	if (!json_is_string(prompt) || json_string_length(prompt) == 0)
		return set_invalid(
			err, "prompt: must be a string that is not empty");
	request->prompt = talloc_strdup(request, json_string_value(prompt));
	return true;
}

/* The prompt is a line "ROLE: CONTENT" per message, then "assistant:". */
static bool read_messages(gc_completion_request_t *request, json_t *body,
			  GError **err)
{
	json_t *messages = json_object_get(body, "messages");
	g_autoptr(GString) text = g_string_new(NULL);
	json_t *message;
	size_t i;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return set_invalid(
			err, "messages: must be an array that is not empty");
	json_array_foreach (messages, i, message) {
		const char *role =
			json_string_value(json_object_get(message, "role"));
		const char *content =
			json_string_value(json_object_get(message, "content"));

		if (!role || !content)
			return set_invalid(err,
					   "messages: each must have a role "
					   "and a content string");
		g_string_append_printf(text, "%s: %s\n", role, content);
	}
	g_string_append(text, "assistant:");
	request->prompt = talloc_strdup(request, text->str);
	return true;
}

static bool read_limits(gc_completion_request_t *request, json_t *body,
			GError **err)
{
	json_t *max_tokens = json_object_get(body, "max_tokens");
	json_t *stream = json_object_get(body, "stream");
	json_t *priority = json_object_get(body, "priority");
	json_t *n_choices = json_object_get(body, "n");

	request->max_tokens = DEFAULT_MAX_TOKENS;
	if (max_tokens) {
		json_int_t value = json_integer_value(max_tokens);

		if (!json_is_integer(max_tokens) || value < 1 ||
		    value > GC_MAX_TOKENS)
			return set_invalid(err, "max_tokens: must be a number "
						"from 1 to 100000");
		request->max_tokens = value;
	}
	if (stream && !json_is_boolean(stream))
		return set_invalid(err, "stream: must be true or false");
	request->stream = json_is_true(stream);
	if (priority) {
		json_int_t value = json_integer_value(priority);

		if (!json_is_integer(priority) || value < 0 ||
		    value > MAX_PRIORITY)
			return set_invalid(err, "priority: must be a number "
						"from 0 to 100");
		request->priority = value;
	}
	if (n_choices &&
	    (!json_is_integer(n_choices) || json_integer_value(n_choices) != 1))
		return set_invalid(err, "n: must be 1");
	return true;
}

static bool read_prefix(gc_completion_request_t *request, json_t *body,
			GError **err)
{
	json_t *extension = json_object_get(body, "goldcrest");
	json_t *prefix = json_object_get(extension, "prefix");
	json_t *token;
	size_t i;

	if (extension && !json_is_object(extension))
		return set_invalid(err, "goldcrest: must be an object");
	if (!prefix)
		return true;
	if (!json_is_array(prefix) || json_array_size(prefix) > GC_MAX_TOKENS)
		return set_invalid(err,
				   "goldcrest.prefix: must be an array of at "
				   "most 100000 strings");
	request->prefix = talloc_zero_array(request, gc_str_t,
					    json_array_size(prefix) + 1);
	json_array_foreach (prefix, i, token) {
		gc_str_t text = {json_string_value(token),
				 json_string_length(token)};

		if (!json_is_string(token))
			return set_invalid(err, "goldcrest.prefix: must be an "
						"array of strings");
		request->prefix[request->n_prefix++] =
			gc_str_dup(request->prefix, text);
	}
	return true;
}

static const char *object_name(const gc_completion_t *completion)
{
	return completion->request->chat ? "chat.completion.chunk"
					 : "text_completion";
}

static json_t *build_object(const gc_completion_t *completion,
			    const char *object, json_t *choice)
{
	return json_pack("{ss ss sI ss? s[o]}", "id", completion->id, "object",
			 object, "created", (json_int_t)completion->created,
			 "model", completion->request->model, "choices",
			 choice);
}

json_t *gc_completion_chunk(const gc_completion_t *completion, gc_str_t text,
			    bool first)
{
	json_t *choice;

	if (!completion->request->chat)
		choice = json_pack("{si ss% sn}", "index", 0, "text", text.data,
				   text.len, "finish_reason");
	else if (first)
		choice = json_pack("{si s{ss ss%} sn}", "index", 0, "delta",
				   "role", "assistant", "content", text.data,
				   text.len, "finish_reason");
	else
		choice = json_pack("{si s{ss%} sn}", "index", 0, "delta",
				   "content", text.data, text.len,
				   "finish_reason");
	return build_object(completion, object_name(completion), choice);
}

json_t *gc_completion_last_chunk(const gc_completion_t *completion,
				 const char *reason, const gc_usage_t *usage)
{
	json_t *choice;
	json_t *chunk;

	if (completion->request->chat)
		choice = json_pack("{si s{} ss}", "index", 0, "delta",
				   "finish_reason", reason);
	else
		choice = json_pack("{si ss ss}", "index", 0, "text", "",
				   "finish_reason", reason);
	chunk = build_object(completion, object_name(completion), choice);
	json_object_set_new(chunk, "usage", usage_json(usage));
	return chunk;
}

json_t *gc_completion_response(const gc_completion_t *completion, gc_str_t text,
			       const char *reason, const gc_usage_t *usage)
{
	json_t *choice;
	json_t *response;

	if (completion->request->chat)
		choice = json_pack("{si s{ss ss%} ss}", "index", 0, "message",
				   "role", "assistant", "content", text.data,
				   text.len, "finish_reason", reason);
	else
		choice = json_pack("{si ss% ss}", "index", 0, "text", text.data,
				   text.len, "finish_reason", reason);
	response = build_object(completion,
				completion->request->chat ? "chat.completion"
							  : "text_completion",
				choice);
	json_object_set_new(response, "usage", usage_json(usage));
	return response;
}

static json_t *usage_json(const gc_usage_t *usage)
{
	uint64_t total = usage->prompt_tokens + usage->completion_tokens;

	return json_pack("{sI sI sI}", "prompt_tokens",
			 (json_int_t)usage->prompt_tokens, "completion_tokens",
			 (json_int_t)usage->completion_tokens, "total_tokens",
			 (json_int_t)total);
}

uint64_t gc_estimate_tokens(const char *text)
{
	size_t len = text ? strlen(text) : 0;

	return (len + GC_BYTES_PER_TOKEN - 1) / GC_BYTES_PER_TOKEN;
}
