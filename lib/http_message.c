/* Incremental parser of HTTP/1.1 messages, over http-parser. */
#include <string.h>

#include <http_parser.h>

#include "lib/http_framing.h"
#include "lib/http_message.h"

/* Default head limit; backend servers send heads of less than a tenth. */
#define DEFAULT_MAX_HEAD_BYTES 32768
#define MAX_HEADERS	       128

/* Offsets and lengths in the head buffer, which is reallocated as it grows. */
typedef struct header_span {
	guint name;
	guint name_len;
	guint value;
	guint value_len;
} header_span_t;

/* The memory of a body part that was longer is given back once it is discarded, as it
 * would stay with each connection otherwise. */
#define KEPT_BODY_BYTES 4096

struct gc_http_message {
	http_parser parser;
	gc_http_message_kind_t kind;
	gc_http_message_limits_t limits;
	gc_http_message_state_t state;
	const char *error;
	GByteArray *head; /* target, header names and values */
	GArray *headers;
	guint target_len;
	GByteArray *body;
	size_t head_bytes_fed; /* while the head was incomplete */
	gc_http_framing_t framing;
	size_t body_bytes_received; /* including discarded bytes */
	bool expect_no_body;
	bool in_value; /* the last header's value has begun */
	bool keep_alive;
	bool body_until_close;
	bool interim_ended;
};

static int message_destructor(gc_http_message_t *message);
static void init_parser(gc_http_message_t *message);
static size_t feed_response(gc_http_message_t *message, gc_str_t data);
static size_t feed_parser(gc_http_message_t *message, gc_str_t data);
static bool has_fault(gc_http_message_t *message);
static void check_result(gc_http_message_t *message, size_t consumed,
			 size_t fed);
static int on_begin(http_parser *parser);
static int on_target(http_parser *parser, const char *at, size_t len);
static int on_header_name(http_parser *parser, const char *at, size_t len);
static int on_header_value(http_parser *parser, const char *at, size_t len);
static int on_head_complete(http_parser *parser);
static bool never_has_body(const gc_http_message_t *message);
static bool names_body(const http_parser *parser);
static bool has_known_coding(const gc_http_message_t *message);
static bool header_names_valid(const gc_http_message_t *message);
static int on_body(http_parser *parser, const char *at, size_t len);
static int on_message_complete(http_parser *parser);
static gc_str_t head_slice(const gc_http_message_t *message, guint offset,
			   guint len);
static bool list_contains(gc_str_t list, gc_str_t name);

static const http_parser_settings parser_callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_head_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static const char *const hop_by_hop_headers[] = {
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
	message->limits.max_head = DEFAULT_MAX_HEAD_BYTES;
	message->head = g_byte_array_new();
	message->headers = g_array_new(FALSE, FALSE, sizeof(header_span_t));
	message->body = g_byte_array_new();
	talloc_set_destructor(message, message_destructor);
	init_parser(message);
	return message;
}

static int message_destructor(gc_http_message_t *message)
{
	g_byte_array_free(message->head, TRUE);
	g_array_free(message->headers, TRUE);
	g_byte_array_free(message->body, TRUE);
	return 0;
}

static void init_parser(gc_http_message_t *message)
{
	http_parser_init(&message->parser,
			 message->kind == GC_HTTP_MESSAGE_REQUEST
				 ? HTTP_REQUEST
				 : HTTP_RESPONSE);
	message->parser.data = message;
	message->state = GC_HTTP_MESSAGE_EMPTY;
	message->error = NULL;
}

void gc_http_message_set_limits(gc_http_message_t *message,
				const gc_http_message_limits_t *limits)
{
	message->limits = *limits;
}

void gc_http_message_expect_no_body(gc_http_message_t *message)
{
	message->expect_no_body = true;
}

void gc_http_message_reset(gc_http_message_t *message)
{
	g_byte_array_set_size(message->head, 0);
	g_array_set_size(message->headers, 0);
	g_byte_array_free(message->body, TRUE);
	message->body = g_byte_array_new();
	message->target_len = 0;
	message->head_bytes_fed = 0;
	message->framing = (gc_http_framing_t){0};
	message->body_bytes_received = 0;
	message->expect_no_body = false;
	message->in_value = false;
	message->body_until_close = false;
	message->interim_ended = false;
	init_parser(message);
}

size_t gc_http_message_feed(gc_http_message_t *message, gc_str_t data)
{
	gc_http_framing_t *framing = &message->framing;
	size_t used = 0;

	if (message->state >= GC_HTTP_MESSAGE_COMPLETE || data.len == 0)
		return 0;
	if (message->kind == GC_HTTP_MESSAGE_RESPONSE)
		return feed_response(message, data);
	if (!gc_http_framing_has_head(framing)) {
		size_t n = gc_http_framing_head(framing, data);

		if (has_fault(message))
			return 0;
		used = feed_parser(message, (gc_str_t){data.data, n});
		if (n == data.len || message->state != GC_HTTP_MESSAGE_BODY)
			return used;
	}
	data = (gc_str_t){data.data + used, data.len - used};
	if (message->parser.flags & F_CHUNKED) {
		gc_http_framing_chunks(framing, data);
		if (has_fault(message))
			return used;
	}
	return used + feed_parser(message, data);
}

/* http-parser is stopped at the end of each interim response, as the status line of the
 * next response begins there. */
static size_t feed_response(gc_http_message_t *message, gc_str_t data)
{
	size_t used = 0;

	while (used < data.len && message->state < GC_HTTP_MESSAGE_COMPLETE) {
		gc_str_t rest = {data.data + used, data.len - used};

		gc_http_framing_status(&message->framing, rest);
		if (has_fault(message))
			break;
		used += feed_parser(message, rest);
	}
	return used;
}

static size_t feed_parser(gc_http_message_t *message, gc_str_t data)
{
	size_t consumed = http_parser_execute(
		&message->parser, &parser_callbacks, data.data, data.len);

	if (message->interim_ended) {
		message->interim_ended = false;
		message->framing = (gc_http_framing_t){0};
		http_parser_pause(&message->parser, 0);
		data.len = consumed;
	}
	if (message->state < GC_HTTP_MESSAGE_BODY)
		message->head_bytes_fed += consumed;
	check_result(message, consumed, data.len);
	return consumed;
}

static bool has_fault(gc_http_message_t *message)
{
	if (!message->framing.fault)
		return false;
	message->state = GC_HTTP_MESSAGE_INVALID;
	message->error = message->framing.fault;
	return true;
}

static void check_result(gc_http_message_t *message, size_t consumed,
			 size_t fed)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&message->parser);

	if (message->state >= GC_HTTP_MESSAGE_COMPLETE)
		return;
	if (error == HPE_HEADER_OVERFLOW ||
	    (message->state < GC_HTTP_MESSAGE_BODY &&
	     message->head_bytes_fed > message->limits.max_head)) {
		message->state = GC_HTTP_MESSAGE_HEAD_TOO_LARGE;
		message->error = "the message head is too large";
	} else if (error != HPE_OK || consumed < fed) {
		message->state = GC_HTTP_MESSAGE_INVALID;
		message->error = http_errno_description(error);
	}
}

void gc_http_message_feed_eof(gc_http_message_t *message)
{
	if (message->state >= GC_HTTP_MESSAGE_COMPLETE)
		return;
	http_parser_execute(&message->parser, &parser_callbacks, NULL, 0);
	if (message->state == GC_HTTP_MESSAGE_COMPLETE)
		return;
	message->state = GC_HTTP_MESSAGE_INVALID;
	message->error = "the connection closed before the end of the message";
}

static int on_begin(http_parser *parser)
{
	gc_http_message_t *message = parser->data;

	/* Discards the headers of a preceding interim response. */
	g_byte_array_set_size(message->head, 0);
	g_array_set_size(message->headers, 0);
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

static int on_header_name(http_parser *parser, const char *at, size_t len)
{
	gc_http_message_t *message = parser->data;
	header_span_t *header_span;

	/* Trailers are not headers and are skipped. */
	if (message->state != GC_HTTP_MESSAGE_HEAD)
		return 0;
	if (message->in_value || message->headers->len == 0) {
		header_span_t new_span = {.name = message->head->len};

		g_array_append_val(message->headers, new_span);
		message->in_value = false;
	}
	header_span = &g_array_index(message->headers, header_span_t,
				     message->headers->len - 1);
	g_byte_array_append(message->head, (const guint8 *)at, (guint)len);
	header_span->name_len += (guint)len;
	header_span->value = message->head->len;
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	gc_http_message_t *message = parser->data;
	header_span_t *header_span;

	if (message->state != GC_HTTP_MESSAGE_HEAD ||
	    message->headers->len == 0)
		return 0;
	header_span = &g_array_index(message->headers, header_span_t,
				     message->headers->len - 1);
	message->in_value = true;
	g_byte_array_append(message->head, (const guint8 *)at, (guint)len);
	header_span->value_len += (guint)len;
	return 0;
}

static int on_head_complete(http_parser *parser)
{
	gc_http_message_t *message = parser->data;
	bool skip_body = message->expect_no_body || never_has_body(message);

	if (message->kind == GC_HTTP_MESSAGE_RESPONSE &&
	    parser->status_code < 200)
		return 1;
	if (parser->http_major != 1) {
		message->state = GC_HTTP_MESSAGE_INVALID;
		message->error = "the protocol version is not HTTP/1.x";
		http_parser_pause(parser, 1);
		return 0;
	}
	/* http-parser accepts spaces in names, which other parsers drop. */
	if (!header_names_valid(message)) {
		message->state = GC_HTTP_MESSAGE_INVALID;
		message->error = "a header name has invalid characters";
		http_parser_pause(parser, 1);
		return 0;
	}
	/* http-parser looks at the last coding only. */
	if (message->kind == GC_HTTP_MESSAGE_REQUEST &&
	    !has_known_coding(message)) {
		message->state = GC_HTTP_MESSAGE_INVALID;
		message->error = "the transfer coding is not chunked";
		http_parser_pause(parser, 1);
		return 0;
	}
	/* What follows a CONNECT isn't a body to http-parser, whatever its length
	 * says, and would be read as the next request. */
	if (message->kind == GC_HTTP_MESSAGE_REQUEST &&
	    (parser->method == HTTP_CONNECT || parser->method == HTTP_TRACE)) {
		message->state = GC_HTTP_MESSAGE_UNSUPPORTED;
		message->error = "the method is not supported";
		http_parser_pause(parser, 1);
		return 0;
	}
	if (message->headers->len > MAX_HEADERS ||
	    message->head->len > message->limits.max_head) {
		message->state = GC_HTTP_MESSAGE_HEAD_TOO_LARGE;
		message->error = "the message head is too large";
		http_parser_pause(parser, 1);
		return 0;
	}
	message->state = GC_HTTP_MESSAGE_BODY;
	message->keep_alive =
		http_should_keep_alive(parser) &&
		!(parser->status_code == 204 && names_body(parser));
	message->body_until_close = message->kind == GC_HTTP_MESSAGE_RESPONSE &&
				    !skip_body &&
				    !(parser->flags & F_CHUNKED) &&
				    parser->content_length == UINT64_MAX;
	if (message->limits.max_body > 0 &&
	    parser->content_length != UINT64_MAX &&
	    parser->content_length > message->limits.max_body &&
	    message->kind == GC_HTTP_MESSAGE_REQUEST) {
		message->state = GC_HTTP_MESSAGE_BODY_TOO_LARGE;
		message->error = "the message body is too large";
		http_parser_pause(parser, 1);
	}
	/* 1 tells http-parser not to expect a body. */
	return skip_body ? 1 : 0;
}

/* Such a response ends with its head, whatever it names (RFC 9112, 6.3). */
static bool never_has_body(const gc_http_message_t *message)
{
	unsigned int status = message->parser.status_code;

	return message->kind == GC_HTTP_MESSAGE_RESPONSE &&
	       (status < 200 || status == 204 || status == 304);
}

/* A 204 that does may send one nevertheless, which would be read as the next response. */
static bool names_body(const http_parser *parser)
{
	return (parser->flags & F_CHUNKED) ||
	       (parser->content_length != UINT64_MAX &&
		parser->content_length > 0);
}

/* True without a transfer coding, or with "chunked" alone. */
static bool has_known_coding(const gc_http_message_t *message)
{
	static const char name[] = "transfer-encoding";
	gc_str_t value = gc_http_message_find_header(message, name);

	while (value.len > 0 && g_ascii_isspace(value.data[value.len - 1]))
		value.len--;
	return !value.data ||
	       (gc_http_message_count_header(message, name) == 1 &&
		gc_header_name_is(value, "chunked"));
}

/* Header names are tokens (RFC 9110, 5.6.2). */
static bool header_names_valid(const gc_http_message_t *message)
{
	for (guint i = 0; i < message->headers->len; i++) {
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

	message->body_bytes_received += len;
	if (message->limits.max_body > 0 &&
	    message->body_bytes_received > message->limits.max_body) {
		message->state = GC_HTTP_MESSAGE_BODY_TOO_LARGE;
		message->error = "the message body is too large";
		http_parser_pause(parser, 1);
		return 0;
	}
	g_byte_array_append(message->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	gc_http_message_t *message = parser->data;

	if (message->kind == GC_HTTP_MESSAGE_RESPONSE &&
	    parser->status_code < 200) {
		message->interim_ended = true;
		http_parser_pause(parser, 1);
		return 0;
	}
	message->state = GC_HTTP_MESSAGE_COMPLETE;
	/* What follows belongs to the next message. */
	http_parser_pause(parser, 1);
	return 0;
}

gc_http_message_state_t gc_http_message_state(const gc_http_message_t *message)
{
	return message->state;
}

const char *gc_http_message_error(const gc_http_message_t *message)
{
	return message->error ? message->error : "";
}

const char *gc_http_message_method(const gc_http_message_t *message)
{
	return http_method_str((enum http_method)message->parser.method);
}

static gc_str_t head_slice(const gc_http_message_t *message, guint offset,
			   guint len)
{
	return (gc_str_t){(const char *)message->head->data + offset, len};
}

gc_str_t gc_http_message_target(const gc_http_message_t *message)
{
	return head_slice(message, 0, message->target_len);
}

int gc_http_message_status(const gc_http_message_t *message)
{
	return (int)message->parser.status_code;
}

size_t gc_http_message_n_headers(const gc_http_message_t *message)
{
	return message->headers->len;
}

gc_header_t gc_http_message_header(const gc_http_message_t *message, size_t i)
{
	const header_span_t *header_span =
		&g_array_index(message->headers, header_span_t, i);

	return (gc_header_t){head_slice(message, header_span->name,
					header_span->name_len),
			     head_slice(message, header_span->value,
					header_span->value_len)};
}

gc_str_t gc_http_message_find_header(const gc_http_message_t *message,
				     const char *name)
{
	for (size_t i = 0; i < message->headers->len; i++) {
		gc_header_t header = gc_http_message_header(message, i);

		if (gc_header_name_is(header.name, name))
			return header.value;
	}
	return (gc_str_t){NULL, 0};
}

size_t gc_http_message_count_header(const gc_http_message_t *message,
				    const char *name)
{
	size_t n = 0;

	for (size_t i = 0; i < message->headers->len; i++)
		if (gc_header_name_is(gc_http_message_header(message, i).name,
				      name))
			n++;
	return n;
}

bool gc_http_message_is_hop_by_hop(const gc_http_message_t *message,
				   gc_str_t name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++)
		if (gc_header_name_is(name, hop_by_hop_headers[i]))
			return true;
	for (size_t i = 0; i < message->headers->len; i++) {
		gc_header_t header = gc_http_message_header(message, i);

		if (gc_header_name_is(header.name, "connection") &&
		    list_contains(header.value, name))
			return true;
	}
	return false;
}

/* True if the comma-separated list contains the name, ignoring case. */
static bool list_contains(gc_str_t list, gc_str_t name)
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

bool gc_http_message_body_until_close(const gc_http_message_t *message)
{
	return message->body_until_close;
}

bool gc_http_message_is_http10(const gc_http_message_t *message)
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

void gc_http_message_discard_body(gc_http_message_t *message)
{
	if (message->body->len <= KEPT_BODY_BYTES) {
		g_byte_array_set_size(message->body, 0);
		return;
	}
	g_byte_array_free(message->body, TRUE);
	message->body = g_byte_array_new();
}

bool gc_header_name_is(gc_str_t name, const char *other)
{
	return strlen(other) == name.len &&
	       g_ascii_strncasecmp(name.data, other, name.len) == 0;
}
