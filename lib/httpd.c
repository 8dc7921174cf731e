/* HTTP server on a tevent loop, built on libmicrohttpd. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <microhttpd.h>

#include "core/error.h"
#include "lib/httpd.h"
#include "lib/socket.h"

/* Open connections per server; libmicrohttpd doesn't accept more. */
#define MAX_CONNECTIONS 20000U
/* libmicrohttpd reads at most this much of a stream at once. */
#define STREAM_BLOCK_BYTES 16384
/*
 * libmicrohttpd visits every suspended connection in each run, so the cost of a
 * run per token would grow with streams times tokens. Written data waits this
 * long at most.
 */
#define MIN_RUN_INTERVAL_US 2000
/* Bounds the time spent on connections that arrive without a pause. */
#define MAX_ACCEPT_RUNS 100

typedef enum response_state {
	RESPONSE_NONE,
	RESPONSE_COMPLETE, /* set by gc_http_reply */
	RESPONSE_STREAMING,
	RESPONSE_ENDED, /* streaming; no more data will be written */
	RESPONSE_ABORTED,
} response_state_t;

struct gc_httpd {
	struct tevent_context *ev;
	struct MHD_Daemon *mhd;
	struct tevent_fd *fd_event;
	struct tevent_timer *timeout_timer;
	struct tevent_immediate *run_immediate;
	bool run_pending;
	int64_t last_run_us; /* monotonic */
	bool stopping;
	bool closing; /* each response closes its connection */
	int listen_fd;
	size_t max_body;
	uint16_t port;
	unsigned int open_requests;
	gc_http_req_t *requests;
	gc_httpd_handler_t handler;
	void *ctx;
};

struct gc_http_req {
	gc_httpd_t *httpd;
	gc_http_req_t *prev, *next;
	struct MHD_Connection *conn;
	char *method;
	char *path;
	GByteArray *body;
	bool body_too_large;
	bool handler_called;
	bool suspended;
	struct MHD_Response *response;
	unsigned int status;
	bool response_queued;
	GSList *headers; /* name, value, name, value ... */
	response_state_t state;
	GByteArray *stream_buf;
	size_t stream_buf_read;
	size_t low_bytes;
	gc_http_drained_t drained;
	void *drained_ctx;
	gc_http_closed_t closed;
	void *closed_ctx;
};

static int httpd_destructor(gc_httpd_t *httpd);
static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *ctx);
static void on_timeout_timer(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *ctx);
static void on_run_immediate(struct tevent_context *ev,
			     struct tevent_immediate *im, void *ctx);
static void on_run_timer(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx);
static void accept_waiting(gc_httpd_t *httpd);
static void run_mhd(gc_httpd_t *httpd);
static void arm_timeout_timer(gc_httpd_t *httpd);
static void schedule_run(gc_httpd_t *httpd);
static enum MHD_Result on_access(void *ctx, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **state);
static gc_http_req_t *request_create(gc_httpd_t *httpd,
				     struct MHD_Connection *conn,
				     const char *url, const char *method);
static int request_destructor(gc_http_req_t *req);
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code);
static enum MHD_Result append_body(gc_http_req_t *req, const char *data,
				   size_t *size);
static enum MHD_Result queue_response(gc_http_req_t *req);
static void suspend_connection(gc_http_req_t *req);
static void resume_connection(gc_http_req_t *req);
static ssize_t read_stream_buf(void *ctx, uint64_t pos, char *buf, size_t max);
static void set_response(gc_http_req_t *req, struct MHD_Response *response,
			 unsigned int status, const char *type);
static enum MHD_Result append_argument(void *ctx, enum MHD_ValueKind kind,
				       const char *name, const char *value);

gc_httpd_t *gc_httpd_create(TALLOC_CTX *mem, struct tevent_context *ev,
			    const gc_httpd_conf_t *conf,
			    gc_httpd_handler_t handler, void *ctx, GError **err)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(conf->port)};
	const union MHD_DaemonInfo *info;
	gc_httpd_t *httpd;

	if (inet_pton(AF_INET, conf->address, &addr.sin_addr) != 1) {
		gc_error_set(err, GC_ERR_INVALID, "listen", conf->address,
			     "not an IPv4 address");
		return NULL;
	}
	httpd = talloc_zero(mem, gc_httpd_t);
	httpd->ev = ev;
	httpd->max_body = conf->max_body;
	httpd->handler = handler;
	httpd->ctx = ctx;
	httpd->listen_fd = -1;
	/* Without shared_port the option list ends before the value 1U. */
	httpd->mhd = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
		conf->port, NULL, NULL, on_access, httpd, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&addr, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, httpd, MHD_OPTION_CONNECTION_LIMIT,
		MAX_CONNECTIONS,
		conf->shared_port ? MHD_OPTION_LISTENING_ADDRESS_REUSE
				  : MHD_OPTION_END,
		1U, MHD_OPTION_END);
	if (!httpd->mhd) {
		gc_error_set(err, GC_ERR_IO, "listen", conf->address,
			     "can't listen on port %u", conf->port);
		talloc_free(httpd);
		return NULL;
	}
	info = MHD_get_daemon_info(httpd->mhd, MHD_DAEMON_INFO_BIND_PORT);
	httpd->port = info ? info->port : conf->port;
	info = MHD_get_daemon_info(httpd->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	httpd->fd_event = tevent_add_fd(ev, httpd, info->epoll_fd,
					TEVENT_FD_READ, on_fd, httpd);
	httpd->run_immediate = tevent_create_immediate(httpd);
	talloc_set_destructor(httpd, httpd_destructor);
	schedule_run(httpd);
	return httpd;
}

void gc_httpd_destroy(gc_httpd_t *httpd)
{
	talloc_free(httpd);
}

static int httpd_destructor(gc_httpd_t *httpd)
{
	httpd->stopping = true;
	TALLOC_FREE(httpd->fd_event);
	/* libmicrohttpd aborts if stopped with suspended connections. */
	for (gc_http_req_t *req = httpd->requests; req; req = req->next)
		resume_connection(req);
	MHD_stop_daemon(httpd->mhd);
	if (httpd->listen_fd >= 0)
		close(httpd->listen_fd);
	return 0;
}

uint16_t gc_httpd_port(const gc_httpd_t *httpd)
{
	return httpd->port;
}

void gc_httpd_set_closing(gc_httpd_t *httpd)
{
	httpd->closing = true;
}

void gc_httpd_stop_accepting(gc_httpd_t *httpd)
{
	if (httpd->listen_fd >= 0)
		return;
	accept_waiting(httpd);
	httpd->listen_fd = MHD_quiesce_daemon(httpd->mhd);
	/* Refuses new connections, so that clients try elsewhere at once. */
	if (httpd->listen_fd >= 0)
		shutdown(httpd->listen_fd, SHUT_RDWR);
}

/* Connections that wait are reset when the listening socket is shut down. */
static void accept_waiting(gc_httpd_t *httpd)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(httpd->mhd, MHD_DAEMON_INFO_LISTEN_FD);
	struct pollfd poll_fd = {.events = POLLIN};

	if (!info)
		return;
	poll_fd.fd = info->listen_fd;
	gc_socket_drop_new_connections(info->listen_fd);
	for (int i = 0; i < MAX_ACCEPT_RUNS && poll(&poll_fd, 1, 0) > 0; i++)
		run_mhd(httpd);
}

void gc_httpd_read_pending(gc_httpd_t *httpd)
{
	run_mhd(httpd);
}

unsigned int gc_httpd_open_requests(const gc_httpd_t *httpd)
{
	return httpd->open_requests;
}

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *ctx)
{
	schedule_run(ctx);
}

static void on_timeout_timer(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *ctx)
{
	gc_httpd_t *httpd = ctx;

	httpd->timeout_timer = NULL;
	run_mhd(httpd);
}

static void on_run_immediate(struct tevent_context *ev,
			     struct tevent_immediate *im, void *ctx)
{
	gc_httpd_t *httpd = ctx;

	httpd->run_pending = false;
	run_mhd(httpd);
}

static void on_run_timer(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx)
{
	gc_httpd_t *httpd = ctx;

	httpd->run_pending = false;
	run_mhd(httpd);
}

static void run_mhd(gc_httpd_t *httpd)
{
	httpd->last_run_us = g_get_monotonic_time();
	MHD_run(httpd->mhd);
	tevent_fd_set_flags(httpd->fd_event, TEVENT_FD_READ);
	arm_timeout_timer(httpd);
}

static void arm_timeout_timer(gc_httpd_t *httpd)
{
	MHD_UNSIGNED_LONG_LONG ms;
	struct timeval at;

	TALLOC_FREE(httpd->timeout_timer);
	if (MHD_get_timeout(httpd->mhd, &ms) != MHD_YES)
		return;
	at = tevent_timeval_current_ofs(ms / 1000, (ms % 1000) * 1000);
	httpd->timeout_timer =
		tevent_add_timer(httpd->ev, httpd, at, on_timeout_timer, httpd);
}

/* Coalesces several writes into one run of libmicrohttpd. */
static void schedule_run(gc_httpd_t *httpd)
{
	int64_t wait_us = httpd->last_run_us + MIN_RUN_INTERVAL_US -
			  g_get_monotonic_time();

	if (httpd->run_pending || httpd->stopping)
		return;
	httpd->run_pending = true;
	/* The descriptor stays readable until the run; don't poll it. */
	tevent_fd_set_flags(httpd->fd_event, 0);
	if (wait_us <= 0) {
		tevent_schedule_immediate(httpd->run_immediate, httpd->ev,
					  on_run_immediate, httpd);
		return;
	}
	tevent_add_timer(httpd->ev, httpd,
			 tevent_timeval_current_ofs(0, wait_us), on_run_timer,
			 httpd);
}

static enum MHD_Result on_access(void *ctx, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **state)
{
	gc_httpd_t *httpd = ctx;
	gc_http_req_t *req = *state;

	if (!req) {
		*state = request_create(httpd, conn, url, method);
		return MHD_YES;
	}
	if (*size > 0)
		return append_body(req, data, size);
	if (!req->handler_called) {
		req->handler_called = true;
		if (req->body_too_large)
			gc_http_reply(req, 413, "application/json",
				      GC_STR_LIT("{\"error\":{\"message\":"
						 "\"body too large\","
						 "\"type\":"
						 "\"invalid_request_error\","
						 "\"code\":"
						 "\"body_too_large\","
						 "\"step\":\"body\","
						 "\"peer\":\"\","
						 "\"run\":\"not_run\"}}\n"));
		else
			httpd->handler(httpd->ctx, req);
	}
	if (req->state == RESPONSE_NONE) {
		suspend_connection(req);
		return MHD_YES;
	}
	if (!req->response)
		return MHD_NO; /* aborted before a response began */
	return queue_response(req);
}

static gc_http_req_t *request_create(gc_httpd_t *httpd,
				     struct MHD_Connection *conn,
				     const char *url, const char *method)
{
	gc_http_req_t *req = talloc_zero(httpd, gc_http_req_t);

	req->httpd = httpd;
	req->conn = conn;
	req->method = talloc_strdup(req, method);
	req->path = talloc_strdup(req, url);
	req->body = g_byte_array_new();
	req->stream_buf = g_byte_array_new();
	httpd->open_requests++;
	req->next = httpd->requests;
	if (req->next)
		req->next->prev = req;
	httpd->requests = req;
	talloc_set_destructor(req, request_destructor);
	return req;
}

static int request_destructor(gc_http_req_t *req)
{
	req->httpd->open_requests--;
	if (req->prev)
		req->prev->next = req->next;
	else
		req->httpd->requests = req->next;
	if (req->next)
		req->next->prev = req->prev;
	g_byte_array_free(req->body, TRUE);
	g_byte_array_free(req->stream_buf, TRUE);
	g_slist_free_full(req->headers, g_free);
	if (req->response)
		MHD_destroy_response(req->response);
	return 0;
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	gc_http_req_t *req = *state;

	if (!req)
		return;
	*state = NULL;
	if (req->closed)
		req->closed(req->closed_ctx,
			    code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
	talloc_free(req);
}

static enum MHD_Result append_body(gc_http_req_t *req, const char *data,
				   size_t *size)
{
	if (req->body->len + *size > req->httpd->max_body)
		req->body_too_large = true;
	if (!req->body_too_large)
		g_byte_array_append(req->body, (const guint8 *)data, *size);
	*size = 0;
	return MHD_YES;
}

static enum MHD_Result queue_response(gc_http_req_t *req)
{
	if (req->response_queued)
		return MHD_YES;
	req->response_queued = true;
	return MHD_queue_response(req->conn, req->status, req->response);
}

static void suspend_connection(gc_http_req_t *req)
{
	if (req->suspended || req->httpd->stopping)
		return;
	req->suspended = true;
	MHD_suspend_connection(req->conn);
}

static void resume_connection(gc_http_req_t *req)
{
	if (!req->suspended)
		return;
	req->suspended = false;
	MHD_resume_connection(req->conn);
	schedule_run(req->httpd);
}

TALLOC_CTX *gc_http_req_mem(gc_http_req_t *req)
{
	return req;
}

const char *gc_http_req_method(const gc_http_req_t *req)
{
	return req->method;
}

const char *gc_http_req_path(const gc_http_req_t *req)
{
	return req->path;
}

const char *gc_http_req_header(const gc_http_req_t *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name);
}

const char *gc_http_req_query_arg(const gc_http_req_t *req, const char *name)
{
	const char *value = NULL;

	if (MHD_lookup_connection_value_n(req->conn, MHD_GET_ARGUMENT_KIND,
					  name, strlen(name), &value,
					  NULL) != MHD_YES)
		return NULL;
	/* An argument without "=" has no value, but is not absent. */
	return value ? value : "";
}

bool gc_http_req_connected(const gc_http_req_t *req)
{
	const union MHD_ConnectionInfo *info;
	ssize_t n;
	char byte;

	info = MHD_get_connection_info(req->conn,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	if (!info)
		return false;
	n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

static enum MHD_Result append_argument(void *ctx, enum MHD_ValueKind kind,
				       const char *name, const char *value)
{
	GString *query = ctx;

	if (query->len > 0)
		g_string_append_c(query, '&');
	g_string_append_uri_escaped(query, name, NULL, FALSE);
	if (!value)
		return MHD_YES;
	g_string_append_c(query, '=');
	g_string_append_uri_escaped(query, value, NULL, FALSE);
	return MHD_YES;
}

char *gc_http_req_query_string(const gc_http_req_t *req)
{
	GString *query = g_string_new(NULL);

	MHD_get_connection_values(req->conn, MHD_GET_ARGUMENT_KIND,
				  append_argument, query);
	return g_string_free(query, FALSE);
}

gc_str_t gc_http_req_body(const gc_http_req_t *req)
{
	return (gc_str_t){req->body->len ? (const char *)req->body->data : "",
			  req->body->len};
}

void gc_http_req_on_closed(gc_http_req_t *req, gc_http_closed_t closed,
			   void *ctx)
{
	req->closed = closed;
	req->closed_ctx = ctx;
}

void gc_http_req_add_header(gc_http_req_t *req, const char *name,
			    const char *value)
{
	req->headers = g_slist_prepend(req->headers, g_strdup(name));
	req->headers = g_slist_prepend(req->headers, g_strdup(value));
}

static void set_response(gc_http_req_t *req, struct MHD_Response *response,
			 unsigned int status, const char *type)
{
	req->response = response;
	req->status = status;
	MHD_add_response_header(response, "Content-Type", type);
	if (req->httpd->closing)
		MHD_add_response_header(response, "Connection", "close");
	for (GSList *h = req->headers; h; h = h->next->next)
		MHD_add_response_header(response, h->next->data, h->data);
}

void gc_http_reply(gc_http_req_t *req, unsigned int status, const char *type,
		   gc_str_t body)
{
	struct MHD_Response *response;

	if (req->state != RESPONSE_NONE)
		return;
	response = MHD_create_response_from_buffer(body.len, (void *)body.data,
						   MHD_RESPMEM_MUST_COPY);
	set_response(req, response, status, type);
	req->state = RESPONSE_COMPLETE;
	resume_connection(req);
}

void gc_http_stream_begin(gc_http_req_t *req, unsigned int status,
			  const char *type)
{
	struct MHD_Response *response;

	if (req->state != RESPONSE_NONE)
		return;
	response =
		MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
						  STREAM_BLOCK_BYTES,
						  read_stream_buf, req, NULL);
	set_response(req, response, status, type);
	req->state = RESPONSE_STREAMING;
	resume_connection(req);
}

void gc_http_stream_write(gc_http_req_t *req, gc_str_t data)
{
	if (req->state != RESPONSE_STREAMING)
		return;
	g_byte_array_append(req->stream_buf, (const guint8 *)data.data,
			    data.len);
	resume_connection(req);
}

size_t gc_http_stream_buffered(const gc_http_req_t *req)
{
	return req->stream_buf->len - req->stream_buf_read;
}

void gc_http_stream_on_drained(gc_http_req_t *req, size_t low_bytes,
			       gc_http_drained_t drained, void *ctx)
{
	req->low_bytes = low_bytes;
	req->drained = drained;
	req->drained_ctx = ctx;
}

void gc_http_stream_end(gc_http_req_t *req)
{
	if (req->state != RESPONSE_STREAMING)
		return;
	req->state = RESPONSE_ENDED;
	resume_connection(req);
}

void gc_http_stream_abort(gc_http_req_t *req)
{
	if (req->state != RESPONSE_STREAMING && req->state != RESPONSE_NONE)
		return;
	req->state = RESPONSE_ABORTED;
	resume_connection(req);
}

static ssize_t read_stream_buf(void *ctx, uint64_t pos, char *buf, size_t max)
{
	gc_http_req_t *req = ctx;
	size_t left = gc_http_stream_buffered(req);
	size_t n = left < max ? left : max;

	if (req->state == RESPONSE_ABORTED)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (n == 0 && req->state == RESPONSE_ENDED)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (n == 0) {
		suspend_connection(req);
		return 0;
	}
	memcpy(buf, req->stream_buf->data + req->stream_buf_read, n);
	req->stream_buf_read += n;
	if (req->stream_buf_read == req->stream_buf->len) {
		g_byte_array_set_size(req->stream_buf, 0);
		req->stream_buf_read = 0;
	} else if (req->stream_buf_read > STREAM_BLOCK_BYTES * 4) {
		g_byte_array_remove_range(req->stream_buf, 0,
					  req->stream_buf_read);
		req->stream_buf_read = 0;
	}
	if (req->drained && left > req->low_bytes && left - n <= req->low_bytes)
		req->drained(req->drained_ctx);
	return n;
}
