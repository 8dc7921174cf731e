/* Non-blocking TCP connections and listeners on a tevent loop. */
#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/error.h"
#include "lib/socket.h"

/* Bytes of one read; larger reads only delay the event loop. */
#define READ_BYTES 16384
/* Maximum number of connections accepted in one event loop iteration. */
#define ACCEPT_BURST   32
#define LISTEN_BACKLOG 512
/* Of the flags in the header of a segment, bytes. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_BIT_SYN 0x02
/* A longer one counts as unknown, as the kernel has no sample yet. */
#define MAX_ROUND_TRIP_US 60000000

static _Thread_local size_t read_max = READ_BYTES;

struct gc_socket {
	struct tevent_context *ev;
	int fd;
	struct tevent_fd *fde;
	struct tevent_immediate *send_error_event;
	gc_socket_ops_t ops;
	void *ctx;
	GByteArray *unsent; /* NULL if there are no unsent bytes */
	uint64_t sent; /* bytes that the kernel has accepted */
	int send_error; /* errno of the failed send; 0: none */
	bool outgoing; /* opened by gc_socket_connect */
	bool connecting;
	bool paused;
	bool stopped_reading;
	bool in_callback;
	bool destroyed;
};

struct gc_listener {
	int fd;
	struct tevent_fd *fde;
	uint16_t port;
	gc_listener_accept_t accept;
	void *ctx;
};

static int socket_destructor(gc_socket_t *sock);
static gc_socket_t *create_socket(TALLOC_CTX *mem, struct tevent_context *ev,
				  int fd, const gc_socket_ops_t *ops,
				  void *ctx);
static bool parse_address(gc_str_t address, struct sockaddr_in *sin);
static bool bind_source(int fd, const char *source);
static void set_liveness(int fd, const gc_socket_liveness_t *liveness);
static void set_socket_option(int fd, int level, int option, int value);
static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *ctx);
static void finish_connect(gc_socket_t *sock);
static void read_available(gc_socket_t *sock);
static void hold_unread(gc_socket_t *sock);
static bool may_hold_response(const gc_socket_t *sock);
static void write_buffered(gc_socket_t *sock);
static size_t try_write(gc_socket_t *sock, gc_str_t data);
static void update_flags(gc_socket_t *sock);
static void report_closed(gc_socket_t *sock, int error);
static void on_send_error(struct tevent_context *ev,
			  struct tevent_immediate *im, void *ctx);
static int listener_destructor(gc_listener_t *listener);
static bool open_listener(gc_listener_t *listener, const char *address,
			  uint16_t port);
static int accept_next(const gc_listener_t *listener);
static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *ctx);

gc_socket_t *gc_socket_connect(TALLOC_CTX *mem, struct tevent_context *ev,
			       gc_str_t address, const char *source,
			       const gc_socket_liveness_t *liveness,
			       const gc_socket_ops_t *ops, void *ctx)
{
	struct sockaddr_in sin;
	gc_socket_t *sock;
	int fd;

	if (!parse_address(address, &sin))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	set_liveness(fd, liveness);
	if ((source && !bind_source(fd, source)) ||
	    (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 &&
	     errno != EINPROGRESS)) {
		close(fd);
		return NULL;
	}
	sock = create_socket(mem, ev, fd, ops, ctx);
	sock->outgoing = true;
	sock->connecting = true;
	update_flags(sock);
	return sock;
}

/* The port is chosen with the connection, so that it may be in use towards
 * another address. */
static bool bind_source(int fd, const char *source)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};

	set_socket_option(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
	return inet_pton(AF_INET, source, &sin.sin_addr) == 1 &&
	       bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
}

static bool parse_address(gc_str_t address, struct sockaddr_in *sin)
{
	g_autofree char *text = g_strndup(address.data, address.len);
	char *colon = strrchr(text, ':');
	char *end;
	unsigned long port;

	if (!colon)
		return false;
	*colon = '\0';
	port = strtoul(colon + 1, &end, 10);
	*sin = (struct sockaddr_in){.sin_family = AF_INET};
	sin->sin_port = htons((uint16_t)port);
	return end != colon + 1 && *end == '\0' && port > 0 &&
	       port <= UINT16_MAX && inet_pton(AF_INET, text, &sin->sin_addr);
}

static void set_liveness(int fd, const gc_socket_liveness_t *liveness)
{
	if (liveness->keepalive_s > 0) {
		int s = (int)liveness->keepalive_s;

		set_socket_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
		set_socket_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, s);
		set_socket_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, s);
	}
	if (liveness->unacked_ms > 0)
		set_socket_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
				  (int)liveness->unacked_ms);
}

/* Failure is ignored: the connection works without the option. */
static void set_socket_option(int fd, int level, int option, int value)
{
	(void)setsockopt(fd, level, option, &value, sizeof(value));
}

gc_socket_t *gc_socket_adopt(TALLOC_CTX *mem, struct tevent_context *ev, int fd,
			     const gc_socket_ops_t *ops, void *ctx)
{
	return create_socket(mem, ev, fd, ops, ctx);
}

static gc_socket_t *create_socket(TALLOC_CTX *mem, struct tevent_context *ev,
				  int fd, const gc_socket_ops_t *ops, void *ctx)
{
	gc_socket_t *sock = talloc_zero(mem, gc_socket_t);

	set_socket_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	sock->ev = ev;
	sock->fd = fd;
	sock->ops = *ops;
	sock->ctx = ctx;
	sock->send_error_event = tevent_create_immediate(sock);
	sock->fde = tevent_add_fd(ev, sock, fd, TEVENT_FD_READ, on_fd, sock);
	talloc_set_destructor(sock, socket_destructor);
	return sock;
}

static int socket_destructor(gc_socket_t *sock)
{
	TALLOC_FREE(sock->fde);
	if (sock->fd >= 0)
		close(sock->fd);
	if (sock->unsent)
		g_byte_array_free(sock->unsent, TRUE);
	sock->unsent = NULL;
	return 0;
}

void gc_socket_destroy(gc_socket_t *sock)
{
	if (!sock || sock->destroyed)
		return;
	if (!sock->in_callback) {
		talloc_free(sock);
		return;
	}
	sock->destroyed = true;
	TALLOC_FREE(sock->fde);
	close(sock->fd);
	sock->fd = -1;
	/* The owner may be freed before the callback returns. */
	talloc_steal(NULL, sock);
}

void gc_socket_reset(gc_socket_t *sock)
{
	if (sock && !sock->destroyed)
		gc_socket_set_reset_on_close(sock, true);
	gc_socket_destroy(sock);
}

void gc_socket_set_reset_on_close(gc_socket_t *sock, bool reset)
{
	struct linger linger = {.l_onoff = reset, .l_linger = 0};

	(void)setsockopt(sock->fd, SOL_SOCKET, SO_LINGER, &linger,
			 sizeof(linger));
}

void gc_socket_set_ops(gc_socket_t *sock, const gc_socket_ops_t *ops, void *ctx)
{
	sock->ops = *ops;
	sock->ctx = ctx;
}

static void update_flags(gc_socket_t *sock)
{
	uint16_t flags = 0;

	/* tevent reports a failed connect only to those who wait to read. */
	if (!sock->paused || sock->connecting)
		flags |= TEVENT_FD_READ;
	if (sock->connecting || (sock->unsent && sock->send_error == 0))
		flags |= TEVENT_FD_WRITE;
	if (tevent_fd_get_flags(sock->fde) != flags)
		tevent_fd_set_flags(sock->fde, flags);
}

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *ctx)
{
	gc_socket_t *sock = ctx;

	sock->in_callback = true;
	if (sock->connecting) {
		finish_connect(sock);
	} else {
		if (flags & TEVENT_FD_WRITE)
			write_buffered(sock);
		if (!sock->destroyed && (flags & TEVENT_FD_READ))
			read_available(sock);
	}
	sock->in_callback = false;
	if (sock->destroyed)
		talloc_free(sock);
}

static void finish_connect(gc_socket_t *sock)
{
	socklen_t len = sizeof(int);
	int error = 0;

	if (getsockopt(sock->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
		error = errno;
	if (error != 0) {
		report_closed(sock, error);
		return;
	}
	sock->connecting = false;
	if (sock->ops.connected)
		sock->ops.connected(sock->ctx);
	if (!sock->destroyed && sock->unsent)
		write_buffered(sock);
	if (!sock->destroyed)
		update_flags(sock);
}

static void read_available(gc_socket_t *sock)
{
	static _Thread_local char buffer[READ_BYTES];
	ssize_t n = recv(sock->fd, buffer, read_max,
			 sock->stopped_reading ? MSG_PEEK : 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	/* After a send error, the end of the data is no orderly close. */
	if (n <= 0 && sock->send_error != 0)
		report_closed(sock, sock->send_error);
	else if (n <= 0)
		report_closed(sock, n < 0 ? errno : 0);
	else if (sock->stopped_reading)
		hold_unread(sock);
	else
		sock->ops.received(sock->ctx, (gc_str_t){buffer, (size_t)n});
}

/* The loop would spin while the data is there. */
static void hold_unread(gc_socket_t *sock)
{
	gc_socket_set_paused(sock, true);
	sock->ops.unread(sock->ctx);
}

static void report_closed(gc_socket_t *sock, int error)
{
	/* Otherwise the loop would spin until the owner destroys the socket. */
	tevent_fd_set_flags(sock->fde, 0);
	sock->ops.closed(sock->ctx, error);
}

/*
 * True if the peer has closed the connection while a request was sent: it may
 * have answered before. Reading such a socket ends with the received data.
 */
static bool may_hold_response(const gc_socket_t *sock)
{
	return sock->outgoing && sock->sent > 0 &&
	       (sock->send_error == EPIPE || sock->send_error == ECONNRESET);
}

static void write_buffered(gc_socket_t *sock)
{
	gc_str_t data = {(const char *)sock->unsent->data, sock->unsent->len};
	size_t n = try_write(sock, data);

	if (sock->send_error != 0) {
		/* The unsent bytes stay, which tells the owner that the
		 * connection can't be used again. */
		if (may_hold_response(sock))
			update_flags(sock);
		else
			report_closed(sock, sock->send_error);
		return;
	}
	g_byte_array_remove_range(sock->unsent, 0, (guint)n);
	if (sock->unsent->len > 0)
		return;
	g_byte_array_free(sock->unsent, TRUE);
	sock->unsent = NULL;
	update_flags(sock);
	if (sock->ops.drained)
		sock->ops.drained(sock->ctx);
}

static size_t try_write(gc_socket_t *sock, gc_str_t data)
{
	ssize_t n = send(sock->fd, data.data, data.len, MSG_NOSIGNAL);

	if (n >= 0) {
		sock->sent += (uint64_t)n;
		return (size_t)n;
	}
	if (errno != EAGAIN && errno != EINTR)
		sock->send_error = errno;
	return 0;
}

void gc_socket_send(gc_socket_t *sock, gc_str_t data)
{
	size_t n = 0;

	if (sock->destroyed || data.len == 0 || sock->send_error != 0)
		return;
	if (!sock->connecting && !sock->unsent)
		n = try_write(sock, data);
	if (sock->send_error != 0) {
		/* Reported from the event loop, never inside this function. */
		tevent_schedule_immediate(sock->send_error_event, sock->ev,
					  on_send_error, sock);
		return;
	}
	if (n == data.len)
		return;
	if (!sock->unsent)
		sock->unsent = g_byte_array_new();
	g_byte_array_append(sock->unsent, (const guint8 *)data.data + n,
			    (guint)(data.len - n));
	update_flags(sock);
}

static void on_send_error(struct tevent_context *ev,
			  struct tevent_immediate *im, void *ctx)
{
	gc_socket_t *sock = ctx;

	if (sock->destroyed)
		return;
	sock->in_callback = true;
	report_closed(sock, sock->send_error);
	sock->in_callback = false;
	if (sock->destroyed)
		talloc_free(sock);
}

void gc_socket_shutdown_write(gc_socket_t *sock)
{
	if (!sock->destroyed)
		(void)shutdown(sock->fd, SHUT_WR);
}

size_t gc_socket_unsent_bytes(const gc_socket_t *sock)
{
	return sock->unsent ? sock->unsent->len : 0;
}

bool gc_socket_has_unread(const gc_socket_t *sock)
{
	struct pollfd poll_fd = {
		.fd = sock->fd,
		.events = sock->connecting ? POLLOUT : POLLIN,
	};

	return !sock->destroyed && poll(&poll_fd, 1, 0) > 0;
}

gc_socket_delivery_t gc_socket_delivery(const gc_socket_t *sock)
{
	gc_socket_delivery_t delivery = {gc_socket_unsent_bytes(sock), false};
	struct tcp_info info;
	socklen_t len = sizeof(info);
	int queued = 0;

	/* Before the connection is open, only its first segment is sent. */
	if (sock->destroyed || sock->connecting ||
	    ioctl(sock->fd, SIOCOUTQ, &queued) != 0 || queued <= 0)
		return delivery;
	delivery.waiting += (size_t)queued;
	delivery.in_flight =
		getsockopt(sock->fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0 ||
		info.tcpi_unacked > 0;
	return delivery;
}

/* The shortest one, as others include the peer's delayed acknowledgements. */
int64_t gc_socket_round_trip_ms(const gc_socket_t *sock)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	if (sock->destroyed ||
	    getsockopt(sock->fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0 ||
	    info.tcpi_min_rtt > MAX_ROUND_TRIP_US)
		return 0;
	return (info.tcpi_min_rtt + 999) / 1000;
}

uint64_t gc_socket_sent_bytes(const gc_socket_t *sock)
{
	return sock->sent;
}

void gc_socket_set_read_max(size_t bytes)
{
	read_max = bytes > 0 ? MIN(bytes, READ_BYTES) : READ_BYTES;
}

void gc_socket_set_unsent_max(gc_socket_t *sock, int bytes)
{
	if (!sock->destroyed)
		set_socket_option(sock->fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT,
				  bytes);
}

void gc_socket_set_paused(gc_socket_t *sock, bool paused)
{
	if (sock->destroyed || sock->paused == paused)
		return;
	sock->paused = paused;
	update_flags(sock);
}

void gc_socket_stop_reading(gc_socket_t *sock)
{
	sock->stopped_reading = true;
}

size_t gc_socket_unread_bytes(const gc_socket_t *sock)
{
	int n = 0;

	if (sock->destroyed || ioctl(sock->fd, FIONREAD, &n) != 0 || n < 0)
		return 0;
	return (size_t)n;
}

bool gc_socket_is_peer_closed(const gc_socket_t *sock)
{
	struct pollfd poll_fd = {.fd = sock->fd, .events = POLLRDHUP};

	return !sock->destroyed && poll(&poll_fd, 1, 0) > 0;
}

gc_listener_t *gc_listener_create(TALLOC_CTX *mem, struct tevent_context *ev,
				  const char *address, uint16_t port,
				  gc_listener_accept_t accept, void *ctx,
				  GError **err)
{
	gc_listener_t *listener = talloc_zero(mem, gc_listener_t);

	listener->accept = accept;
	listener->ctx = ctx;
	if (!open_listener(listener, address, port)) {
		gc_error_set(err, GC_ERR_IO, "listen", address, "port %u: %s",
			     port, g_strerror(errno));
		if (listener->fd >= 0)
			close(listener->fd);
		talloc_free(listener);
		return NULL;
	}
	talloc_set_destructor(listener, listener_destructor);
	listener->fde = tevent_add_fd(ev, listener, listener->fd,
				      TEVENT_FD_READ, on_accept, listener);
	return listener;
}

static bool open_listener(gc_listener_t *listener, const char *address,
			  uint16_t port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons(port)};
	socklen_t len = sizeof(sin);

	listener->fd = -1;
	if (inet_pton(AF_INET, address, &sin.sin_addr) != 1) {
		errno = EINVAL;
		return false;
	}
	listener->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (listener->fd < 0)
		return false;
	set_socket_option(listener->fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(listener->fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(listener->fd, LISTEN_BACKLOG) != 0 ||
	    getsockname(listener->fd, (struct sockaddr *)&sin, &len) != 0)
		return false;
	listener->port = ntohs(sin.sin_port);
	return true;
}

static int listener_destructor(gc_listener_t *listener)
{
	TALLOC_FREE(listener->fde);
	if (listener->fd >= 0)
		close(listener->fd);
	return 0;
}

void gc_listener_drop_new(gc_listener_t *listener)
{
	if (listener->fd >= 0)
		gc_socket_drop_new_connections(listener->fd);
}

void gc_listener_close(gc_listener_t *listener)
{
	int fd;

	if (listener->fd < 0)
		return;
	TALLOC_FREE(listener->fde);
	while ((fd = accept_next(listener)) >= 0)
		listener->accept(listener->ctx, fd);
	close(listener->fd);
	listener->fd = -1;
}

void gc_socket_drop_new_connections(int fd)
{
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_BIT_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = {G_N_ELEMENTS(code), code};

	(void)setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			 sizeof(program));
}

uint16_t gc_listener_port(const gc_listener_t *listener)
{
	return listener->port;
}

static int accept_next(const gc_listener_t *listener)
{
	return accept4(listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *ctx)
{
	gc_listener_t *listener = ctx;

	for (int i = 0; i < ACCEPT_BURST; i++) {
		int fd = accept_next(listener);

		if (fd < 0)
			return;
		listener->accept(listener->ctx, fd);
	}
}
