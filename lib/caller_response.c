/* Responses to callers. */
#include <stdio.h>

#include <http_parser.h>

#include "lib/caller_listener_private.h"

/* Initial buffer size for the status line and the added headers. */
#define HEAD_BUFFER_BYTES 256
/* Part of the idle timeout in which callers may use a connection again. The rest
 * is left for a request that is on its way when the connection is closed. */
#define REUSE_PERCENT 80

static bool has_next_request(const gc_caller_conn_t *conn);
static void send_head(gc_caller_conn_t *conn, int status, gc_str_t head,
		      const char *framing);
static void append_keep_alive(const gc_caller_conn_t *conn, GString *text);

void gc_caller_conn_respond(gc_caller_conn_t *conn, int status, gc_str_t head,
			    gc_str_t body)
{
	char framing[64];

	if (status == 204 || status == 304)
		framing[0] = '\0';
	else
		snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
			 body.len);
	send_head(conn, status, head, framing);
	if (!conn->head_request && status != 204 && status != 304)
		gc_socket_send(conn->sock, body);
	gc_caller_conn_finish_response(conn);
}

/* True if bytes of a further request have been received. */
static bool has_next_request(const gc_caller_conn_t *conn)
{
	return conn->pipelined->len > 0 || gc_socket_has_unread(conn->sock);
}

static void send_head(gc_caller_conn_t *conn, int status, gc_str_t head,
		      const char *framing)
{
	g_autoptr(GString) text =
		g_string_sized_new(HEAD_BUFFER_BYTES + head.len);

	if (conn->listener->closing && !has_next_request(conn))
		conn->close_after_response = true;
	/* A further request gets no response. While it is unread, its caller may
	 * send it again. A caller that sends the rest of a body, in contrast, may
	 * read the rejection only when that is taken. */
	if (conn->close_after_response && !conn->rejected)
		gc_socket_stop_reading(conn->sock);
	g_string_printf(text, "HTTP/1.1 %d %s\r\n", status,
			http_status_str((enum http_status)status));
	g_string_append_len(text, head.data, (gssize)head.len);
	g_string_append(text, framing);
	if (conn->close_after_response)
		g_string_append(text, "Connection: close\r\n");
	else
		append_keep_alive(conn, text);
	g_string_append(text, "\r\n");
	conn->responding = true;
	gc_socket_send(conn->sock, (gc_str_t){text->str, text->len});
}

static void append_keep_alive(const gc_caller_conn_t *conn, GString *text)
{
	int64_t s = conn->limits.idle_timeout_ms * REUSE_PERCENT / 100 / 1000;

	if (s > 0)
		g_string_append_printf(text,
				       "Keep-Alive: timeout=%" G_GINT64_FORMAT
				       "\r\n",
				       s);
}

void gc_caller_conn_begin_stream(gc_caller_conn_t *conn, int status,
				 gc_str_t head)
{
	conn->chunked = !gc_http_message_is_http10(conn->message);
	if (!conn->chunked) {
		conn->close_after_response = true;
		/* An orderly close before the end would end the response. */
		gc_socket_set_reset_on_close(conn->sock, true);
	}
	send_head(conn, status, head,
		  conn->chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void gc_caller_conn_send_data(gc_caller_conn_t *conn, gc_str_t data)
{
	g_autoptr(GString) chunk = NULL;

	if (data.len == 0 || conn->head_request)
		return;
	if (!conn->chunked) {
		gc_socket_send(conn->sock, data);
		gc_caller_conn_count_unsent(conn);
		return;
	}
	/* One send for the whole chunk, as each system call costs CPU time. */
	chunk = g_string_sized_new(data.len + 16);
	g_string_printf(chunk, "%zx\r\n", data.len);
	g_string_append_len(chunk, data.data, (gssize)data.len);
	g_string_append(chunk, "\r\n");
	gc_socket_send(conn->sock, (gc_str_t){chunk->str, chunk->len});
	gc_caller_conn_count_unsent(conn);
}

void gc_caller_conn_end_stream(gc_caller_conn_t *conn)
{
	if (conn->chunked && !conn->head_request)
		gc_socket_send(conn->sock, GC_STR_LIT("0\r\n\r\n"));
	gc_caller_conn_finish_response(conn);
}

size_t gc_caller_conn_unsent_bytes(const gc_caller_conn_t *conn)
{
	return gc_socket_unsent_bytes(conn->sock);
}
