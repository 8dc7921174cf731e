/* A store in a process of its own, so that its memory isn't counted. */
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config_cost.h"

#define MAX_HEAD_BYTES 4096

static void serve(int sock, uint64_t n_routes, change_kind_t kind,
		  shared_t *shared);
static bool read_head(int conn, char *head);
static GString *write_response(uint64_t n_routes, change_kind_t kind,
			       uint64_t version);
static bool send_all(int conn, const char *data, size_t len);

pid_t start_store(uint64_t n_routes, change_kind_t kind, shared_t *shared,
		  unsigned int *port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = {htonl(INADDR_LOOPBACK)},
	};
	socklen_t len = sizeof(address);
	int sock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	pid_t pid = -1;

	if (sock >= 0 && bind(sock, (struct sockaddr *)&address, len) == 0 &&
	    listen(sock, 4) == 0 &&
	    getsockname(sock, (struct sockaddr *)&address, &len) == 0)
		pid = fork();
	if (pid == 0) {
		serve(sock, n_routes, kind, shared);
		_exit(0);
	}
	*port = ntohs(address.sin_port);
	if (sock >= 0)
		close(sock);
	return pid;
}

static void serve(int sock, uint64_t n_routes, change_kind_t kind,
		  shared_t *shared)
{
	char head[MAX_HEAD_BYTES];
	int conn;

	while ((conn = accept(sock, NULL, NULL)) >= 0) {
		while (read_head(conn, head)) {
			const char *after = strstr(head, "after=");
			uint64_t version =
				after ? strtoull(after + 6, NULL, 10) + 1 : 1;
			GString *response =
				write_response(n_routes, kind, version);

			shared->sent_bytes = response->len;
			if (!send_all(conn, response->str, response->len))
				break;
			g_string_free(response, TRUE);
		}
		close(conn);
	}
}

static bool read_head(int conn, char *head)
{
	size_t len = 0;

	while (len < MAX_HEAD_BYTES - 1) {
		ssize_t n = read(conn, head + len, MAX_HEAD_BYTES - 1 - len);

		if (n <= 0)
			return false;
		len += (size_t)n;
		head[len] = 0;
		if (strstr(head, "\r\n\r\n"))
			return true;
	}
	return false;
}

static GString *write_response(uint64_t n_routes, change_kind_t kind,
			       uint64_t version)
{
	g_autofree char *record = write_record(n_routes, kind, version);
	g_autofree char *value =
		g_base64_encode((const guchar *)record, strlen(record));
	g_autofree char *body = g_strdup_printf(
		"{\"events\": [{\"key\": \"op/config\", \"value\": \"%s\", "
		"\"revision\": %" G_GUINT64_FORMAT
		", \"create_revision\": 1, \"lease\": 0}], "
		"\"store_revision\": %" G_GUINT64_FORMAT "}",
		value, version, version);
	GString *response = g_string_new(NULL);

	g_string_append_printf(response,
			       "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
			       "Content-Type: application/json\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
			       strlen(body), body);
	return response;
}

static bool send_all(int conn, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(conn, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}
