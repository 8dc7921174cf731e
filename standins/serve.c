/* Common parts of the stand-in servers: options, listener, JSON, shutdown. */
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/clock.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "standins/serve.h"

#define MAX_BODY_BYTES (8 * 1024 * 1024)
/* Time after SIGTERM or SIGINT for open requests to complete. */
#define STOP_GRACE_MS	      3000
#define STOP_POLL_INTERVAL_MS 10

static struct {
	char *address;
	int port;
	char *name;
	char *ports_file;
	gboolean log_json;
} options;

static const GOptionEntry common_options[] = {
	{"address", 0, 0, G_OPTION_ARG_STRING, &options.address,
	 "Listen on this IP address (127.0.0.1)", "IP"},
	{"port", 0, 0, G_OPTION_ARG_INT, &options.port,
	 "Listen on this port; 0 selects a free one", "N"},
	{"name", 0, 0, G_OPTION_ARG_STRING, &options.name,
	 "Name of this instance", "NAME"},
	{"ports-file", 0, 0, G_OPTION_ARG_FILENAME, &options.ports_file,
	 "Write the port to this file once listening", "FILE"},
	{"log-json", 0, 0, G_OPTION_ARG_NONE, &options.log_json,
	 "Log JSON objects instead of text", NULL},
	{0},
};

typedef struct server {
	standin_t standin;
	const standin_conf_t *conf;
	void *ctx;
	bool stopping;
	struct timespec stop_deadline;
} server_t;

static bool read_options(const standin_conf_t *conf, int argc, char **argv);
static bool write_ports_file(uint16_t port);
static bool serve(server_t *server);
static void on_signal(struct tevent_context *ev, struct tevent_signal *se,
		      int signum, int count, void *info, void *ctx);
static void on_stop_poll(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx);

int standin_main(const standin_conf_t *conf, int argc, char **argv)
{
	server_t *server;

	if (!read_options(conf, argc, argv))
		return EXIT_FAILURE;
	gc_log_init(conf->program, options.name, options.log_json, GC_LOG_INFO);
	signal(SIGPIPE, SIG_IGN);
	server = talloc_zero(NULL, server_t);
	server->conf = conf;
	server->standin.program = conf->program;
	server->standin.name = options.name;
	server->standin.mem = server;
	server->standin.ev = tevent_context_init(server);
	if (!serve(server))
		return EXIT_FAILURE;
	/* Open connections are closed by the exit of the process. */
	return EXIT_SUCCESS;
}

static bool read_options(const standin_conf_t *conf, int argc, char **argv)
{
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;

	g_option_context_set_summary(context, conf->summary);
	g_option_context_add_main_entries(context, conf->options, NULL);
	g_option_context_add_main_entries(context, common_options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err)) {
		fprintf(stderr, "%s: %s\n", conf->program, err->message);
		return false;
	}
	if (argc > 1) {
		fprintf(stderr, "%s: unexpected argument %s\n", conf->program,
			argv[1]);
		return false;
	}
	if (options.port < 0 || options.port > UINT16_MAX) {
		fprintf(stderr, "%s: --port %d: must be from 0 to 65535\n",
			conf->program, options.port);
		return false;
	}
	if (!options.address)
		options.address = g_strdup("127.0.0.1");
	if (!options.name)
		options.name = g_strdup(conf->program);
	return true;
}

static bool serve(server_t *server)
{
	const gc_httpd_conf_t httpd_conf = {.address = options.address,
					    .port = options.port,
					    .max_body = MAX_BODY_BYTES};
	standin_t *standin = &server->standin;
	g_autoptr(GError) err = NULL;
	uint16_t port;

	server->ctx = server->conf->start(standin);
	if (!server->ctx)
		return false;
	standin->httpd =
		gc_httpd_create(server, standin->ev, &httpd_conf,
				server->conf->handler, server->ctx, &err);
	if (!standin->httpd) {
		gc_log_error(GC_LOG_ERROR, GC_EVENT_STANDIN_FAILED,
			     "can't listen", err);
		return false;
	}
	port = gc_httpd_port(standin->httpd);
	tevent_add_signal(standin->ev, server, SIGTERM, 0, on_signal, server);
	tevent_add_signal(standin->ev, server, SIGINT, 0, on_signal, server);
	printf("%s: %s listens on %s:%u\n", server->conf->program, options.name,
	       options.address, port);
	fflush(stdout);
	if (options.ports_file && !write_ports_file(port))
		return false;
	while (!server->stopping ||
	       gc_ms_between(gc_clock_now(&gc_clock_system),
			     server->stop_deadline) > 0) {
		if (server->stopping &&
		    gc_httpd_open_requests(standin->httpd) == 0)
			return true;
		tevent_loop_once(standin->ev);
	}
	return true;
}

/* Replaces the file atomically, so that readers never see a partial one. */
static bool write_ports_file(uint16_t port)
{
	g_autofree char *text = g_strdup_printf("{\"port\":%u}\n", port);
	g_autoptr(GError) err = NULL;

	if (g_file_set_contents(options.ports_file, text, -1, &err))
		return true;
	gc_log(GC_LOG_ERROR, GC_EVENT_STANDIN_FAILED,
	       "can't write the ports file", "file", options.ports_file,
	       "error", err->message, NULL);
	return false;
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *se,
		      int signum, int count, void *info, void *ctx)
{
	server_t *server = ctx;

	if (server->stopping)
		return;
	server->stopping = true;
	server->stop_deadline =
		gc_add_ms(gc_clock_now(&gc_clock_system), STOP_GRACE_MS);
	gc_log(GC_LOG_INFO, GC_EVENT_STANDIN_STOPPING, "stopping", NULL);
	gc_httpd_stop_accepting(server->standin.httpd);
	if (server->conf->stop)
		server->conf->stop(server->ctx);
	on_stop_poll(ev, NULL, (struct timeval){0}, server);
}

/* Wakes up the event loop, so that serve() checks for open requests. */
static void on_stop_poll(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx)
{
	standin_add_timer_us(ev, ctx, STOP_POLL_INTERVAL_MS * 1000,
			     on_stop_poll, ctx);
}

void standin_reply(gc_http_req_t *req, unsigned int status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	g_autofree char *line = g_strconcat(text ? text : "null", "\n", NULL);

	json_decref(value);
	free(text);
	standin_reply_text(req, status, line);
}

void standin_reply_text(gc_http_req_t *req, unsigned int status,
			const char *text)
{
	gc_http_reply(req, status, "application/json", gc_str(text));
}

void standin_reply_error(gc_http_req_t *req, unsigned int status,
			 const char *fmt, ...)
{
	g_autofree char *message = NULL;
	va_list args;

	va_start(args, fmt);
	message = g_strdup_vprintf(fmt, args);
	va_end(args);
	standin_reply(req, status,
		      json_pack("{s{ss si}}", "error", "message", message,
				"status", (int)status));
}

void standin_reply_retry_after(gc_http_req_t *req, unsigned int status,
			       unsigned int retry_after_s, const char *message)
{
	char text[16];

	g_snprintf(text, sizeof(text), "%u", retry_after_s);
	gc_http_req_add_header(req, "Retry-After", text);
	standin_reply_error(req, status, "%s", message);
}

void standin_abort_connection(gc_http_req_t *req)
{
	gc_http_stream_abort(req);
}

json_t *standin_parse_body(gc_http_req_t *req)
{
	gc_str_t body = gc_http_req_body(req);
	json_error_t error;
	json_t *object = json_loadb(body.data, body.len, 0, &error);

	if (!object) {
		standin_reply_error(req, 400,
				    "invalid JSON in request body: %s",
				    error.text);
		return NULL;
	}
	if (!json_is_object(object)) {
		json_decref(object);
		standin_reply_error(req, 400,
				    "request body must be a JSON object");
		return NULL;
	}
	return object;
}

int64_t standin_get_int(const json_t *object, const char *name,
			int64_t default_value)
{
	const json_t *value = json_object_get(object, name);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return default_value;
	return json_integer_value(value);
}

bool standin_query_u64(gc_http_req_t *req, const char *name, uint64_t *value)
{
	const char *text = gc_http_req_query_arg(req, name);

	return text &&
	       g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX, value, NULL);
}

bool standin_req_matches(const gc_http_req_t *req, const char *method,
			 const char *path)
{
	return strcmp(gc_http_req_method(req), method) == 0 &&
	       strcmp(gc_http_req_path(req), path) == 0;
}

int64_t standin_monotonic_us(void)
{
	struct timespec now = gc_clock_now(&gc_clock_system);

	return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

struct tevent_timer *standin_add_timer_us(struct tevent_context *ev,
					  TALLOC_CTX *mem, int64_t us,
					  tevent_timer_handler_t fn, void *ctx)
{
	struct timeval at;

	if (us < 0)
		us = 0;
	at = tevent_timeval_current_ofs(us / 1000000, us % 1000000);
	return tevent_add_timer(ev, mem, at, fn, ctx);
}
