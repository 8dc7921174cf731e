/* Requests to backend servers; headers of responses to callers. */
#include "lib/exchange.h"
#include "lib/relay_private.h"

static bool is_forwarded(const gc_exchange_t *exchange, gc_header_t header);
static bool is_internal_header(const gc_header_names_t *names, gc_str_t name);
static void append_header(GString *text, gc_str_t name, gc_str_t value);
static void append_daemon_headers(GString *text, const gc_exchange_t *exchange,
				  const gc_backend_t *backend, int64_t left_ms);
static void append_urgency(GString *text, const gc_exchange_t *exchange);

GString *gc_exchange_request_text(const gc_exchange_t *exchange,
				  const gc_backend_t *backend, int64_t left_ms)
{
	GString *text = g_string_sized_new(
		1024 + gc_http_message_body(exchange->request).len);

	gc_exchange_append_forwarded(exchange, text);
	append_daemon_headers(text, exchange, backend, left_ms);
	gc_exchange_append_body(exchange, text);
	return text;
}

void gc_exchange_append_forwarded(const gc_exchange_t *exchange, GString *text)
{
	const gc_http_message_t *request = exchange->request;

	g_string_append_printf(text, "%s %.*s HTTP/1.1\r\n",
			       gc_http_message_method(request),
			       GC_STR_ARG(gc_http_message_target(request)));
	for (size_t i = 0; i < gc_http_message_n_headers(request); i++) {
		gc_header_t header = gc_http_message_header(request, i);

		if (is_forwarded(exchange, header))
			append_header(text, header.name, header.value);
	}
}

void gc_exchange_append_body(const gc_exchange_t *exchange, GString *text)
{
	const gc_http_message_t *request = exchange->request;
	gc_str_t body = gc_http_message_body(request);

	if (body.len > 0 ||
	    gc_http_message_find_header(request, "content-length").data ||
	    gc_http_message_find_header(request, "transfer-encoding").data)
		g_string_append_printf(text, "Content-Length: %zu\r\n",
				       body.len);
	g_string_append(text, "\r\n");
	g_string_append_len(text, body.data, (gssize)body.len);
}

static bool is_forwarded(const gc_exchange_t *exchange, gc_header_t header)
{
	const gc_header_names_t *names =
		&exchange->relay->conf.adapter->headers;

	return !gc_http_message_is_hop_by_hop(exchange->request, header.name) &&
	       !gc_header_name_is(header.name, "content-length") &&
	       !gc_header_name_is(header.name, "expect") &&
	       !gc_header_name_is(header.name, "authorization") &&
	       !gc_header_name_is(header.name, names->deadline_ms) &&
	       !(gc_header_name_is(header.name, "last-event-id") &&
		 exchange->sequencer) &&
	       !gc_is_hop_header(header.name) &&
	       !is_internal_header(names, header.name);
}

static bool is_internal_header(const gc_header_names_t *names, gc_str_t name)
{
	for (size_t i = 0; names->internal[i]; i++)
		if (gc_header_name_is(name, names->internal[i]))
			return true;
	return false;
}

static void append_header(GString *text, gc_str_t name, gc_str_t value)
{
	g_string_append_len(text, name.data, (gssize)name.len);
	g_string_append(text, ": ");
	g_string_append_len(text, value.data, (gssize)value.len);
	g_string_append(text, "\r\n");
}

/* Headers that the daemon adds to the caller's request. */
static void append_daemon_headers(GString *text, const gc_exchange_t *exchange,
				  const gc_backend_t *backend, int64_t left_ms)
{
	const gc_header_names_t *names =
		&exchange->relay->conf.adapter->headers;
	int64_t last_event_id =
		exchange->sequencer
			? gc_event_sequencer_last_id(exchange->sequencer)
			: GC_EVENT_ID_NONE;

	append_header(text, gc_str(names->target), gc_backend_id(backend));
	g_string_append_printf(text, "%s: %" G_GINT64_FORMAT "\r\n",
			       names->deadline_ms, left_ms);
	if (exchange->account.len > 0)
		append_header(text, gc_str(names->account), exchange->account);
	append_urgency(text, exchange);
	if (last_event_id != GC_EVENT_ID_NONE)
		g_string_append_printf(text,
				       "Last-Event-Id: %" G_GINT64_FORMAT
				       "\r\n",
				       last_event_id);
	if (exchange->copy_holder)
		append_header(text, gc_str(names->copy_to),
			      gc_backend_address(exchange->copy_holder));
	if (exchange->resume_holder == backend)
		append_header(text, gc_str(names->copy_from),
			      exchange->resume_location);
}

/* Only engines order their requests. */
static void append_urgency(GString *text, const gc_exchange_t *exchange)
{
	gc_urgency_t urgency;

	if (!exchange->prompt)
		return;
	urgency = gc_exchange_urgency(exchange);
	if (urgency.level != GC_URGENCY_NONE)
		g_string_append_printf(
			text, "%s: %d\r\n",
			exchange->relay->conf.adapter->headers.urgency,
			urgency.level);
}

gc_urgency_t gc_exchange_urgency(const gc_exchange_t *exchange)
{
	gc_urgency_request_t request = {
		.route = exchange->route,
		.service = exchange->service,
		.account = exchange->account,
		.waited_ms = gc_exchange_elapsed_ms(exchange),
		.begun = exchange->resumed || exchange->head_sent,
	};

	return gc_urgency(exchange->view->routes, &request);
}

void gc_exchange_append_headers(GString *head,
				const gc_http_message_t *response)
{
	for (size_t i = 0; i < gc_http_message_n_headers(response); i++) {
		gc_header_t header = gc_http_message_header(response, i);

		if (gc_http_message_is_hop_by_hop(response, header.name) ||
		    gc_header_name_is(header.name, "content-length") ||
		    gc_is_hop_header(header.name))
			continue;
		append_header(head, header.name, header.value);
	}
}
