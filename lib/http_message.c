/* HTTP/1.1 messages by http-parser. */
#include <string.h>

#include <http_parser.h>

#include "lib/http_message.h"

/* Heads of responses; backend servers send less than a tenth of it. */
#define DEFAULT_MAX_HEAD 32768
/* Headers of one message. */
#define MAX_HEADERS 128

/* Places in the text of the head, which moves while it grows. */
typedef struct place {
	guint name;
	guint name_len;
	guint value;
	guint value_len;
} place_t;

struct gc_http_message {
	http_parser parser;
	gc_http_message_kind_t kind;
	gc_http_message_limits_t limits;
	gc_http_message_state_t state;
	const char *problem;
	GByteArray *head; /* target, names and values */
	GArray *places;
	guint target_len;
	GByteArray *body;
	size_t head_bytes; /* read for this head */
	size_t body_bytes; /* of the whole body so far */
	bool no_body;
	bool in_value;
	bool keep_alive;
	bool until_close;
};

static int message_destructor(gc_http_message_t *message);
static void start(gc_http_message_t *message);
static void take_result(gc_http_message_t *message, size_t used, size_t given);
static int on_begin(http_parser *parser);
static int on_target(http_parser *parser, const char *at, size_t len);
static int on_name(http_parser *parser, const char *at, size_t len);
static int on_value(http_parser *parser, const char *at, size_t len);
static int on_head(http_parser *parser);
static bool names_valid(const gc_http_message_t *message);
static int on_body(http_parser *parser, const char *at, size_t len);
static int on_whole(http_parser *parser);
static gc_str_t text(const gc_http_message_t *message, guint at, guint len);
static bool lists(gc_str_t list, gc_str_t name);

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_whole,
};

static const char *const hop_by_hop[] = {
	"connection",
	"keep-alive",
	"proxy-authenticate",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"proxy-authorization",
	"proxy-connection",
};

gc_http_message_t *gc_http_message_create(TALLOC_CTX *mem,
					  gc_http_message_kind_t kind)
{
	gc_http_message_t *message = talloc_zero(mem, gc_http_message_t);

	message->kind = kind;
	message->limits.max_head = DEFAULT_MAX_HEAD;
	message->head = g_byte_array_new();
	message->places = g_array_new(FALSE, FALSE, sizeof(place_t));
	message->body = g_byte_array_new();
	talloc_set_destructor(message, message_destructor);
	start(message);
	return message;
}

static int message_destructor(gc_http_message_t *message)
{
	g_byte_array_free(message->head, TRUE);
	g_array_free(message->places, TRUE);
	g_byte_array_free(message->body, TRUE);
	return 0;
}

static void start(gc_http_message_t *message)
{
	http_parser_init(&message->parser,
			 message->kind == GC_HTTP_MESSAGE_REQUEST
				 ? HTTP_REQUEST
				 : HTTP_RESPONSE);
	message->parser.data = message;
	message->state = GC_HTTP_MESSAGE_EMPTY;
	message->problem = NULL;
}

void gc_http_message_set_limits(gc_http_message_t *message,
				const gc_http_message_limits_t *limits)
{
	message->limits = *limits;
}

void gc_http_message_expect_no_body(gc_http_message_t *message)
{
	message->no_body = true;
}

void gc_http_message_reset(gc_http_message_t *message)
{
	g_byte_array_set_size(message->head, 0);
	g_array_set_size(message->places, 0);
	g_byte_array_free(message->body, TRUE);
	message->body = g_byte_array_new();
	message->target_len = 0;
	message->head_bytes = 0;
	message->body_bytes = 0;
	message->no_body = false;
	message->in_value = false;
	message->until_close = false;
	start(message);
}

size_t gc_http_message_feed(gc_http_message_t *message, gc_str_t data)
{
	size_t used;

	if (message->state >= GC_HTTP_MESSAGE_WHOLE || data.len == 0)
		return 0;
	used = http_parser_execute(&message->parser, &callbacks, data.data,
				   data.len);
	if (message->state < GC_HTTP_MESSAGE_BODY)
		message->head_bytes += used;
	take_result(message, used, data.len);
	return used;
}

static void take_result(gc_http_message_t *message, size_t used, size_t given)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&message->parser);

	if (message->state >= GC_HTTP_MESSAGE_WHOLE)
		return;
	if (error == HPE_HEADER_OVERFLOW ||
	    (message->state < GC_HTTP_MESSAGE_BODY &&
	     message->head_bytes > message->limits.max_head)) {
		message->state = GC_HTTP_MESSAGE_HEAD_TOO_LARGE;
		message->problem = "the head is too large";
	} else if (error != HPE_OK || used < given) {
		message->state = GC_HTTP_MESSAGE_INVALID;
		message->problem = http_errno_description(error);
	}
}

void gc_http_message_feed_end(gc_http_message_t *message)
{
	if (message->state >= GC_HTTP_MESSAGE_WHOLE)
		return;
	http_parser_execute(&message->parser, &callbacks, NULL, 0);
	if (message->state == GC_HTTP_MESSAGE_WHOLE)
		return;
	message->state = GC_HTTP_MESSAGE_INVALID;
	message->problem = "the connection ended inside a message";
}

static int on_begin(http_parser *parser)
{
	gc_http_message_t *message = parser->data;

	/* Also after an interim response, whose headers are dropped. */
	g_byte_array_set_size(message->head, 0);
	g_array_set_size(message->places, 0);
	message->in_value = false;
	message->state = GC_HTTP_MESSAGE_HEAD;
	return 0;
}

static int on_target(http_parser *parser, const char *at, size_t len)
{
	gc_http_message_t *message = parser->data;

	g_byte_array_append(message->head, (const guint8 *)at, (guint)len);
	message->target_len += (guint)len;
	return 0;
}

static int on_name(http_parser *parser, const char *at, size_t len)
{
	gc_http_message_t *message = parser->data;
	place_t *place;

	/* Trailers are not part of the head and are left out. */
	if (message->state != GC_HTTP_MESSAGE_HEAD)
		return 0;
	if (message->in_value || message->places->len == 0) {
		place_t fresh = {.name = message->head->len};

		g_array_append_val(message->places, fresh);
		message->in_value = false;
	}
	place = &g_array_index(message->places, place_t,
			       message->places->len - 1);
	g_byte_array_append(message->head, (const guint8 *)at, (guint)len);
	place->name_len += (guint)len;
	place->value = message->head->len;
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	gc_http_message_t *message = parser->data;
	place_t *place;

	if (message->state != GC_HTTP_MESSAGE_HEAD || message->places->len == 0)
		return 0;
	place = &g_array_index(message->places, place_t,
			       message->places->len - 1);
	message->in_value = true;
	g_byte_array_append(message->head, (const guint8 *)at, (guint)len);
	place->value_len += (guint)len;
	return 0;
}

static int on_head(http_parser *parser)
{
	gc_http_message_t *message = parser->data;
	bool skip = message->no_body;

	if (message->kind == GC_HTTP_MESSAGE_RESPONSE &&
	    parser->status_code < 200)
		return 0;
	if (parser->http_major != 1) {
		message->state = GC_HTTP_MESSAGE_INVALID;
		message->problem = "not HTTP/1";
		http_parser_pause(parser, 1);
		return 0;
	}
	/* http-parser lets spaces through, which other parsers drop. */
	if (!names_valid(message)) {
		message->state = GC_HTTP_MESSAGE_INVALID;
		message->problem = "a header's name has wrong characters";
		http_parser_pause(parser, 1);
		return 0;
	}
	if (message->places->len > MAX_HEADERS ||
	    message->head->len > message->limits.max_head) {
		message->state = GC_HTTP_MESSAGE_HEAD_TOO_LARGE;
		message->problem = "the head is too large";
		http_parser_pause(parser, 1);
		return 0;
	}
	message->state = GC_HTTP_MESSAGE_BODY;
	message->keep_alive = http_should_keep_alive(parser);
	message->until_close = message->kind == GC_HTTP_MESSAGE_RESPONSE &&
			       !skip && parser->status_code != 204 &&
			       parser->status_code != 304 &&
			       !(parser->flags & F_CHUNKED) &&
			       parser->content_length == UINT64_MAX;
	if (message->limits.max_body > 0 &&
	    parser->content_length != UINT64_MAX &&
	    parser->content_length > message->limits.max_body &&
	    message->kind == GC_HTTP_MESSAGE_REQUEST) {
		message->state = GC_HTTP_MESSAGE_BODY_TOO_LARGE;
		message->problem = "the body is too large";
		http_parser_pause(parser, 1);
	}
	return skip ? 1 : 0;
}

/* Names are tokens (RFC 9110, 5.6.2). */
static bool names_valid(const gc_http_message_t *message)
{
	for (guint i = 0; i < message->places->len; i++) {
		gc_str_t name = gc_http_message_header(message, i).name;

		for (size_t j = 0; j < name.len; j++)
			if (!g_ascii_isalnum(name.data[j]) &&
			    !strchr("!#$%&'*+-.^_`|~", name.data[j]))
				return false;
	}
	return true;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	gc_http_message_t *message = parser->data;

	message->body_bytes += len;
	if (message->limits.max_body > 0 &&
	    message->body_bytes > message->limits.max_body) {
		message->state = GC_HTTP_MESSAGE_BODY_TOO_LARGE;
		message->problem = "the body is too large";
		http_parser_pause(parser, 1);
		return 0;
	}
	g_byte_array_append(message->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_whole(http_parser *parser)
{
	gc_http_message_t *message = parser->data;

	if (message->kind == GC_HTTP_MESSAGE_RESPONSE &&
	    parser->status_code < 200)
		return 0;
	message->state = GC_HTTP_MESSAGE_WHOLE;
	/* What follows belongs to the next message. */
	http_parser_pause(parser, 1);
	return 0;
}

gc_http_message_state_t gc_http_message_state(const gc_http_message_t *message)
{
	return message->state;
}

const char *gc_http_message_problem(const gc_http_message_t *message)
{
	return message->problem ? message->problem : "";
}

const char *gc_http_message_method(const gc_http_message_t *message)
{
	return http_method_str((enum http_method)message->parser.method);
}

static gc_str_t text(const gc_http_message_t *message, guint at, guint len)
{
	return (gc_str_t){(const char *)message->head->data + at, len};
}

gc_str_t gc_http_message_target(const gc_http_message_t *message)
{
	return text(message, 0, message->target_len);
}

int gc_http_message_status(const gc_http_message_t *message)
{
	return (int)message->parser.status_code;
}

size_t gc_http_message_n_headers(const gc_http_message_t *message)
{
	return message->places->len;
}

gc_header_t gc_http_message_header(const gc_http_message_t *message, size_t i)
{
	const place_t *place = &g_array_index(message->places, place_t, i);

	return (gc_header_t){text(message, place->name, place->name_len),
			     text(message, place->value, place->value_len)};
}

gc_str_t gc_http_message_find(const gc_http_message_t *message,
			      const char *name)
{
	for (size_t i = 0; i < message->places->len; i++) {
		gc_header_t header = gc_http_message_header(message, i);

		if (gc_header_is(header.name, name))
			return header.value;
	}
	return (gc_str_t){NULL, 0};
}

size_t gc_http_message_count(const gc_http_message_t *message, const char *name)
{
	size_t n = 0;

	for (size_t i = 0; i < message->places->len; i++)
		if (gc_header_is(gc_http_message_header(message, i).name, name))
			n++;
	return n;
}

bool gc_http_message_hop_by_hop(const gc_http_message_t *message, gc_str_t name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (gc_header_is(name, hop_by_hop[i]))
			return true;
	for (size_t i = 0; i < message->places->len; i++) {
		gc_header_t header = gc_http_message_header(message, i);

		if (gc_header_is(header.name, "connection") &&
		    lists(header.value, name))
			return true;
	}
	return false;
}

/* True if the comma-separated list has the name. */
static bool lists(gc_str_t list, gc_str_t name)
{
	size_t at = 0;

	while (at < list.len) {
		size_t end = at;
		gc_str_t item;

		while (end < list.len && list.data[end] != ',')
			end++;
		item = (gc_str_t){list.data + at, end - at};
		while (item.len > 0 && g_ascii_isspace(*item.data)) {
			item.data++;
			item.len--;
		}
		while (item.len > 0 && g_ascii_isspace(item.data[item.len - 1]))
			item.len--;
		if (item.len == name.len && item.len > 0 &&
		    g_ascii_strncasecmp(item.data, name.data, name.len) == 0)
			return true;
		at = end + 1;
	}
	return false;
}

bool gc_http_message_keep_alive(const gc_http_message_t *message)
{
	return message->keep_alive;
}

bool gc_http_message_until_close(const gc_http_message_t *message)
{
	return message->until_close;
}

bool gc_http_message_http10(const gc_http_message_t *message)
{
	return message->parser.http_major < 1 ||
	       (message->parser.http_major == 1 &&
		message->parser.http_minor == 0);
}

gc_str_t gc_http_message_body(const gc_http_message_t *message)
{
	return (gc_str_t){(const char *)message->body->data,
			  message->body->len};
}

void gc_http_message_take_body(gc_http_message_t *message)
{
	g_byte_array_set_size(message->body, 0);
}

bool gc_header_is(gc_str_t name, const char *other)
{
	return strlen(other) == name.len &&
	       g_ascii_strncasecmp(name.data, other, name.len) == 0;
}
