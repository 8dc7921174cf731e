/* HTTP client on a tevent loop, built on libcurl's multi interface. */
#include <linux/sockios.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>

#include <curl/curl.h>

#include "core/error.h"
#include "lib/http_framing.h"
#include "lib/httpc.h"

/* Most bytes of the lines of a response outside of its body. */
#define MAX_HEAD_BYTES		   65536
#define DEFAULT_CONNECT_TIMEOUT_MS 1000L

struct gc_httpc {
	struct tevent_context *ev;
	CURLM *multi;
	struct tevent_timer *timer;
	gc_http_call_t *calls;
	bool in_callback;
	unsigned int n_deferred; /* calls to add or free after the callback */
};

struct gc_http_call {
	gc_httpc_t *client;
	gc_http_call_t *prev, *next;
	CURL *easy;
	struct curl_slist *headers;
	char *peer;
	GByteArray *body;
	gc_http_call_ops_t ops;
	void *ctx;
	gc_metric_t *bytes;
	struct tevent_immediate *unpause;
	bool add_deferred; /* add once libcurl's callback has returned */
	bool cancelled; /* free once libcurl's callback has returned */
	bool paused;
	size_t max_body;
	bool too_large;
	size_t head_bytes; /* lines of heads and trailers */
	size_t request_bytes; /* of the body */
	bool unacked; /* bytes of the request, when libcurl left the socket */
	const char *fault; /* of the status; NULL: none */
};

/* A socket that libcurl watches. */
typedef struct socket_watch {
	gc_httpc_t *client;
	curl_socket_t sock;
	struct tevent_fd *fde;
	bool wants_read;
} socket_watch_t;

static int client_destructor(gc_httpc_t *client);
static int call_destructor(gc_http_call_t *call);
static int on_debug(CURL *easy, curl_infotype type, char *data, size_t size,
		    void *ctx);
static int on_socket(CURL *easy, curl_socket_t sock, int what, void *ctx,
		     void *sock_ctx);
static int on_timeout(CURLM *multi, long ms, void *ctx);
static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *ctx);
static void record_unacked(CURL *easy, curl_socket_t sock);
static bool has_error(curl_socket_t sock);
static void on_unpause(struct tevent_context *ev, struct tevent_immediate *im,
		       void *ctx);
static void finish_completed_calls(gc_httpc_t *client);
static void finish_call(gc_http_call_t *call, CURLcode code);
static size_t on_head_line(char *line, size_t size, size_t n, void *ctx);
static const char *status_line_fault(gc_str_t line);
static size_t on_data(char *data, size_t size, size_t n, void *ctx);
static size_t collect_body(gc_http_call_t *call, const char *data, size_t n);
static bool ends_with_connection(gc_http_call_t *call, long status);
static bool was_taken(const gc_http_call_t *call);
static void set_options(gc_http_call_t *call, const gc_http_call_conf_t *conf);
static gc_errcode_t error_code(CURLcode code);

gc_httpc_t *gc_httpc_create(TALLOC_CTX *mem, struct tevent_context *ev)
{
	gc_httpc_t *client = talloc_zero(mem, gc_httpc_t);

	client->ev = ev;
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	talloc_set_destructor(client, client_destructor);
	return client;
}

void gc_httpc_destroy(gc_httpc_t *client)
{
	talloc_free(client);
}

static int client_destructor(gc_httpc_t *client)
{
	while (client->calls)
		talloc_free(client->calls);
	curl_multi_cleanup(client->multi);
	return 0;
}

gc_http_call_t *gc_httpc_start(gc_httpc_t *client,
			       const gc_http_call_conf_t *conf,
			       const gc_http_call_ops_t *ops, void *ctx)
{
	gc_http_call_t *call = talloc_zero(client, gc_http_call_t);

	call->client = client;
	call->ops = *ops;
	call->ctx = ctx;
	call->bytes = conf->bytes;
	call->peer = talloc_strdup(call, conf->peer ? conf->peer : conf->url);
	call->body = g_byte_array_new();
	call->request_bytes = conf->body.len;
	call->max_body = conf->max_body ? conf->max_body : GC_HTTPC_MAX_BODY;
	call->easy = curl_easy_init();
	call->next = client->calls;
	if (client->calls)
		client->calls->prev = call;
	client->calls = call;
	talloc_set_destructor(call, call_destructor);
	call->unpause = tevent_create_immediate(call);
	set_options(call, conf);
	/* libcurl forbids adding a handle inside its callbacks. */
	call->add_deferred = client->in_callback;
	if (call->add_deferred)
		client->n_deferred++;
	else
		curl_multi_add_handle(client->multi, call->easy);
	return call;
}

static void set_options(gc_http_call_t *call, const gc_http_call_conf_t *conf)
{
	CURL *easy = call->easy;

	for (size_t i = 0; conf->headers && conf->headers[i]; i++)
		call->headers =
			curl_slist_append(call->headers, conf->headers[i]);
	/* Without it libcurl delays larger bodies until a 100 Continue. */
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, conf->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, conf->method);
	if (conf->body.len > 0 || strcmp(conf->method, "POST") == 0 ||
	    strcmp(conf->method, "PUT") == 0) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)conf->body.len);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, conf->body.data);
	}
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 conf->send_once || conf->single_use ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
			 conf->single_use ? 1L : 0L);
	if (conf->source)
		curl_easy_setopt(easy, CURLOPT_INTERFACE, conf->source);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 conf->connect_timeout_ms ? conf->connect_timeout_ms
						  : DEFAULT_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, conf->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_head_line);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	if (!call->bytes)
		return;
	curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_debug);
	curl_easy_setopt(easy, CURLOPT_DEBUGDATA, call);
	curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
}

static int call_destructor(gc_http_call_t *call)
{
	gc_httpc_t *client = call->client;

	curl_multi_remove_handle(client->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_byte_array_free(call->body, TRUE);
	if (call->prev)
		call->prev->next = call->next;
	else
		client->calls = call->next;
	if (call->next)
		call->next->prev = call->prev;
	return 0;
}

/*
 * Counts the bytes as they are sent and received. The request size that libcurl
 * reports isn't used: it is not specified whether that includes the body.
 */
static int on_debug(CURL *easy, curl_infotype type, char *data, size_t size,
		    void *ctx)
{
	gc_http_call_t *call = ctx;

	if (type == CURLINFO_HEADER_IN || type == CURLINFO_HEADER_OUT ||
	    type == CURLINFO_DATA_IN || type == CURLINFO_DATA_OUT)
		gc_counter_add(call->bytes, size);
	return 0;
}

void gc_http_call_cancel(gc_http_call_t *call)
{
	/* libcurl forbids removing a handle inside its callbacks. */
	if (call->client->in_callback) {
		call->cancelled = true;
		call->client->n_deferred++;
		return;
	}
	talloc_free(call);
}

void gc_http_call_pause(gc_http_call_t *call, bool pause)
{
	if (call->paused == pause || call->cancelled)
		return;
	call->paused = pause;
	if (pause)
		return; /* takes effect at the next on_data */
	/* libcurl may call on_data from inside curl_easy_pause. */
	tevent_schedule_immediate(call->unpause, call->client->ev, on_unpause,
				  call);
}

static void on_unpause(struct tevent_context *ev, struct tevent_immediate *im,
		       void *ctx)
{
	gc_http_call_t *call = ctx;
	gc_httpc_t *client = call->client;

	if (call->paused || call->cancelled)
		return;
	client->in_callback = true;
	curl_easy_pause(call->easy, CURLPAUSE_CONT);
	client->in_callback = false;
	finish_completed_calls(client);
}

const char *gc_http_call_header(gc_http_call_t *call, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) !=
	    CURLHE_OK)
		return NULL;
	return header->value;
}

/* libcurl keeps all lines, those of interim responses and trailers too, and bounds
 * them in the head only. */
static size_t on_head_line(char *line, size_t size, size_t n, void *ctx)
{
	gc_http_call_t *call = ctx;

	call->head_bytes += n;
	call->fault = status_line_fault((gc_str_t){line, n});
	return call->head_bytes <= MAX_HEAD_BYTES && !call->fault
		       ? n
		       : CURL_WRITEFUNC_ERROR;
}

/* libcurl accepts statuses above 599, and waits for another protocol after a 101. No
 * other line begins so, as names of headers have no slash. */
static const char *status_line_fault(gc_str_t line)
{
	static const char start[] = "HTTP/";
	gc_http_framing_t framing = {0};

	if (line.len >= strlen(start) &&
	    memcmp(line.data, start, strlen(start)) == 0)
		gc_http_framing_status(&framing, line);
	return framing.fault;
}

static size_t on_data(char *data, size_t size, size_t n, void *ctx)
{
	gc_http_call_t *call = ctx;
	long status = 0;

	if (call->cancelled)
		return CURL_WRITEFUNC_ERROR;
	if (call->paused)
		return CURL_WRITEFUNC_PAUSE;
	if (!call->ops.data)
		return collect_body(call, data, n);
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	call->ops.data(call->ctx, (int)status, (gc_str_t){data, n});
	return call->cancelled ? CURL_WRITEFUNC_ERROR : n;
}

static size_t collect_body(gc_http_call_t *call, const char *data, size_t n)
{
	size_t remaining = call->max_body - call->body->len;

	g_byte_array_append(call->body, (const guint8 *)data,
			    MIN(n, remaining));
	call->too_large = n > remaining;
	return call->too_large ? CURL_WRITEFUNC_ERROR : n;
}

static int on_socket(CURL *easy, curl_socket_t sock, int what, void *ctx,
		     void *sock_ctx)
{
	gc_httpc_t *client = ctx;
	socket_watch_t *socket_watch = sock_ctx;
	uint16_t flags = 0;

	if (what == CURL_POLL_REMOVE) {
		record_unacked(easy, sock);
		talloc_free(socket_watch);
		curl_multi_assign(client->multi, sock, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	/*
	 * tevent reports socket errors only with TEVENT_FD_READ. Without it a
	 * refused connection is detected only by libcurl's timer, 200 ms later.
	 */
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE | TEVENT_FD_READ;
	if (!socket_watch) {
		socket_watch = talloc_zero(client, socket_watch_t);
		socket_watch->client = client;
		socket_watch->sock = sock;
		socket_watch->fde =
			tevent_add_fd(client->ev, socket_watch, sock, flags,
				      on_fd, socket_watch);
		curl_multi_assign(client->multi, sock, socket_watch);
	}
	socket_watch->wants_read = what & CURL_POLL_IN;
	tevent_fd_set_flags(socket_watch->fde, flags);
	return 0;
}

/* libcurl may close the socket before it reports the end of the call. Its handle for
 * kept connections has no call. */
static void record_unacked(CURL *easy, curl_socket_t sock)
{
	gc_http_call_t *call = NULL;
	int queued = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	if (call && ioctl(sock, SIOCOUTQ, &queued) == 0)
		call->unacked = queued > 0;
}

static int on_timeout(CURLM *multi, long ms, void *ctx)
{
	gc_httpc_t *client = ctx;
	struct timeval at;

	TALLOC_FREE(client->timer);
	if (ms < 0)
		return 0;
	at = tevent_timeval_current_ofs(ms / 1000, (ms % 1000) * 1000);
	client->timer =
		tevent_add_timer(client->ev, client, at, on_timer, client);
	return 0;
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	gc_httpc_t *client = ctx;
	int running;

	client->timer = NULL;
	client->in_callback = true;
	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	client->in_callback = false;
	finish_completed_calls(client);
}

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *ctx)
{
	socket_watch_t *socket_watch = ctx;
	gc_httpc_t *client = socket_watch->client;
	int events = 0;
	int running;

	if ((flags & TEVENT_FD_READ) && socket_watch->wants_read)
		events |= CURL_CSELECT_IN;
	else if ((flags & TEVENT_FD_READ) && has_error(socket_watch->sock))
		events |= CURL_CSELECT_ERR;
	else if (flags & TEVENT_FD_READ) /* avoids spinning on unread data */
		TEVENT_FD_NOT_READABLE(socket_watch->fde);
	if (flags & TEVENT_FD_WRITE)
		events |= CURL_CSELECT_OUT;
	if (events == 0)
		return;
	client->in_callback = true;
	curl_multi_socket_action(client->multi, socket_watch->sock, events,
				 &running);
	client->in_callback = false;
	finish_completed_calls(client);
}

static bool has_error(curl_socket_t sock)
{
	struct pollfd poll_fd = {.fd = sock};

	return poll(&poll_fd, 1, 0) > 0;
}

static void finish_completed_calls(gc_httpc_t *client)
{
	gc_http_call_t *call, *next;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(client->multi, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &call);
		finish_call(call, msg->data.result);
	}
	if (client->n_deferred == 0)
		return;
	client->n_deferred = 0;
	for (call = client->calls; call; call = next) {
		next = call->next;
		if (call->cancelled) {
			talloc_free(call);
		} else if (call->add_deferred) {
			call->add_deferred = false;
			curl_multi_add_handle(client->multi, call->easy);
		}
	}
}

static void finish_call(gc_http_call_t *call, CURLcode code)
{
	gc_str_t body = {(const char *)call->body->data, call->body->len};
	GError *err = NULL;
	long status = 0;
	curl_off_t pretransfer_us = 0;
	bool sent;

	if (call->cancelled) {
		talloc_free(call);
		return;
	}
	if (body.len == 0)
		body = GC_STR_EMPTY;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	/* Non-zero once the connection was ready for sending the request. */
	curl_easy_getinfo(call->easy, CURLINFO_PRETRANSFER_TIME_T,
			  &pretransfer_us);
	sent = pretransfer_us > 0;
	if (call->too_large)
		gc_error_set(&err, GC_ERR_TOO_LARGE, "http", call->peer,
			     "the response body is longer than %zu bytes",
			     call->max_body);
	else if (call->fault)
		gc_error_set(&err, GC_ERR_PROTOCOL, "http", call->peer, "%s",
			     call->fault);
	else if (code != CURLE_OK)
		gc_error_set(&err, error_code(code), "http", call->peer, "%s",
			     curl_easy_strerror(code));
	else if (ends_with_connection(call, status) && !was_taken(call))
		gc_error_set(&err, GC_ERR_IO, "http", call->peer,
			     "the connection closed before the request was "
			     "taken");
	/* It may be that of an interim response. */
	if (err && err->code == GC_ERR_PROTOCOL)
		status = 0;
	if (call->ops.done)
		call->ops.done(call->ctx, (int)status, body, sent, err);
	g_clear_error(&err);
	talloc_free(call);
}

static bool ends_with_connection(gc_http_call_t *call, long status)
{
	return status != 204 && status != 304 &&
	       !gc_http_call_header(call, "Content-Length") &&
	       !gc_http_call_header(call, "Transfer-Encoding");
}

/* Without the rest of the request, a server that closes may have broken off its response:
 * its reset comes after the close. */
static bool was_taken(const gc_http_call_t *call)
{
	curl_off_t sent = 0;

	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	return !call->unacked && (size_t)sent >= call->request_bytes;
}

static gc_errcode_t error_code(CURLcode code)
{
	if (code == CURLE_OPERATION_TIMEDOUT)
		return GC_ERR_TIMEOUT;
	if (code == CURLE_WEIRD_SERVER_REPLY ||
	    code == CURLE_UNSUPPORTED_PROTOCOL)
		return GC_ERR_PROTOCOL;
	return GC_ERR_IO;
}
