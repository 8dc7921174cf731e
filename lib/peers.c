/*
 * Messages between daemons over ZeroMQ. One bound ROUTER socket receives; a
 * DEALER socket for each peer sends.
 */
#include <errno.h>
#include <string.h>

#include <zmq.h>

#include "core/clock.h"
#include "core/error.h"
#include "lib/log.h"
#include "lib/metrics.h"
#include "lib/peers.h"
#include "lib/peers_codec.h"

/*
 * Queue limit for each peer and direction. Short, because messages lose their
 * value with age.
 */
#define MAX_QUEUED_MESSAGES 64
/* Leaves room for the largest message, a configuration of at most 1 MB. */
#define MAX_MESSAGE_BYTES (2 * 1024 * 1024)
#define RECONNECT_MIN_MS  100
#define RECONNECT_MAX_MS  1000
/*
 * Closes a connection whose data has not been acknowledged for this long.
 * Otherwise, after a network partition heals, messages would wait for TCP's
 * next retransmission.
 */
#define RETRANSMIT_TIMEOUT_MS 4000
#define CONNECT_TIMEOUT_MS    2000
#define IDLE_TIMEOUT_MS	      60000
/* Counted in addition to the payload: flags and length of two short frames. */
#define FRAMING_BYTES 4

/* An outgoing connection to one peer. */
typedef struct connection {
	void *socket; /* DEALER */
	struct timespec last_used; /* monotonic */
} connection_t;

struct gc_peers {
	void *zmq_ctx;
	void *router;
	struct tevent_fd *fde;
	GHashTable *connections; /* URL -> connection_t */
	char *url;
	gc_peers_ops_t ops;
	void *ctx;
	gc_metric_t *sent_bytes, *received_bytes, *malformed_messages,
		*dropped_messages;
};

static int peers_destructor(gc_peers_t *peers);
static bool bind_router(gc_peers_t *peers, const gc_listen_address_t *listen,
			GError **err);
static void create_metrics(gc_peers_t *peers);
static void set_int_option(void *socket, int option, int value);
static void free_connection(gpointer data);
static connection_t *get_connection(gc_peers_t *peers, gc_str_t url);
static void send_buffer(gc_peers_t *peers, gc_str_t url,
			msgpack_sbuffer *buffer);
static void on_readable(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *ctx);
static bool receive_message(gc_peers_t *peers);
static gboolean is_idle(gpointer key, gpointer value, gpointer ctx);

gc_peers_t *gc_peers_create(TALLOC_CTX *mem, struct tevent_context *ev,
			    const gc_listen_address_t *listen,
			    const gc_peers_ops_t *ops, void *ctx, GError **err)
{
	gc_peers_t *peers = talloc_zero(mem, gc_peers_t);
	size_t size = sizeof(int);
	int fd;

	peers->ops = *ops;
	peers->ctx = ctx;
	peers->zmq_ctx = zmq_ctx_new();
	peers->router = zmq_socket(peers->zmq_ctx, ZMQ_ROUTER);
	peers->connections = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, free_connection);
	talloc_set_destructor(peers, peers_destructor);
	if (!bind_router(peers, listen, err)) {
		talloc_free(peers);
		return NULL;
	}
	create_metrics(peers);
	zmq_getsockopt(peers->router, ZMQ_FD, &fd, &size);
	peers->fde = tevent_add_fd(ev, peers, fd, TEVENT_FD_READ, on_readable,
				   peers);
	return peers;
}

static bool bind_router(gc_peers_t *peers, const gc_listen_address_t *listen,
			GError **err)
{
	g_autofree char *endpoint = NULL;
	char bound_endpoint[128];
	size_t size = sizeof(bound_endpoint);
	int64_t max_bytes = MAX_MESSAGE_BYTES;

	set_int_option(peers->router, ZMQ_LINGER, 0);
	set_int_option(peers->router, ZMQ_RCVHWM, MAX_QUEUED_MESSAGES);
	set_int_option(peers->router, ZMQ_SNDHWM, MAX_QUEUED_MESSAGES);
	zmq_setsockopt(peers->router, ZMQ_MAXMSGSIZE, &max_bytes,
		       sizeof(max_bytes));
	endpoint =
		g_strdup_printf("tcp://%s:%u", listen->address, listen->port);
	if (zmq_bind(peers->router, endpoint) != 0) {
		gc_error_set(err, GC_ERR_IO, "listen", endpoint, "%s",
			     zmq_strerror(errno));
		return false;
	}
	zmq_getsockopt(peers->router, ZMQ_LAST_ENDPOINT, bound_endpoint, &size);
	peers->url = talloc_strdup(peers, bound_endpoint);
	return true;
}

static void create_metrics(gc_peers_t *peers)
{
	peers->sent_bytes = gc_counter("goldcrest_control_bytes",
				       "Bytes of control traffic by kind",
				       "kind", "peers_sent");
	peers->received_bytes = gc_counter("goldcrest_control_bytes",
					   "Bytes of control traffic by kind",
					   "kind", "peers_received");
	peers->malformed_messages =
		gc_counter("goldcrest_peer_malformed_total",
			   "Peer messages that were not understood", NULL,
			   NULL);
	peers->dropped_messages =
		gc_counter("goldcrest_peer_dropped_total",
			   "Peer messages not sent because of a full queue or "
			   "a missing connection",
			   NULL, NULL);
}

static int peers_destructor(gc_peers_t *peers)
{
	TALLOC_FREE(peers->fde);
	g_hash_table_destroy(peers->connections);
	zmq_close(peers->router);
	zmq_ctx_term(peers->zmq_ctx);
	return 0;
}

static void set_int_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

const char *gc_peers_url(const gc_peers_t *peers)
{
	return peers->url;
}

static void free_connection(gpointer data)
{
	connection_t *connection = data;

	zmq_close(connection->socket);
	g_free(connection);
}

static connection_t *get_connection(gc_peers_t *peers, gc_str_t url)
{
	char *key = g_strndup(url.data, url.len);
	connection_t *connection = g_hash_table_lookup(peers->connections, key);
	void *socket;

	if (connection) {
		g_free(key);
		return connection;
	}
	socket = zmq_socket(peers->zmq_ctx, ZMQ_DEALER);
	set_int_option(socket, ZMQ_LINGER, 0);
	set_int_option(socket, ZMQ_SNDHWM, MAX_QUEUED_MESSAGES);
	set_int_option(socket, ZMQ_RCVHWM, MAX_QUEUED_MESSAGES);
	/*
	 * Queues nothing while there is no connection: the messages would be
	 * out of date when they arrive.
	 */
	set_int_option(socket, ZMQ_IMMEDIATE, 1);
	set_int_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int_option(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int_option(socket, ZMQ_TCP_MAXRT, RETRANSMIT_TIMEOUT_MS);
	if (zmq_connect(socket, key) != 0) {
		zmq_close(socket);
		g_free(key);
		return NULL;
	}
	connection = g_new0(connection_t, 1);
	connection->socket = socket;
	g_hash_table_insert(peers->connections, key, connection);
	return connection;
}

/* Sends the buffer's contents without blocking, then frees them. */
static void send_buffer(gc_peers_t *peers, gc_str_t url,
			msgpack_sbuffer *buffer)
{
	connection_t *connection = url.len ? get_connection(peers, url) : NULL;

	if (connection)
		connection->last_used = gc_clock_now(&gc_clock_system);
	if (connection && zmq_send(connection->socket, buffer->data,
				   buffer->size, ZMQ_DONTWAIT) >= 0)
		gc_counter_add(peers->sent_bytes, buffer->size + FRAMING_BYTES);
	else
		gc_counter_add(peers->dropped_messages, 1);
	msgpack_sbuffer_destroy(buffer);
}

void gc_peers_send_heartbeat(gc_peers_t *peers, gc_str_t url,
			     const gc_heartbeat_t *heartbeat)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	gc_peers_encode_heartbeat(&buffer, heartbeat);
	send_buffer(peers, url, &buffer);
}

void gc_peers_send_config_pull(gc_peers_t *peers, gc_str_t url, gc_str_t self)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	gc_peers_encode_config_pull(&buffer, self, gc_str(peers->url));
	send_buffer(peers, url, &buffer);
}

void gc_peers_send_config(gc_peers_t *peers, gc_str_t url, gc_str_t self,
			  uint64_t version, gc_str_t document)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	gc_peers_encode_config(&buffer, self, version, document);
	send_buffer(peers, url, &buffer);
}

void gc_peers_send_engine_down(gc_peers_t *peers, gc_str_t url, gc_str_t self,
			       gc_str_t engine, int64_t age_ms)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	gc_peers_encode_engine_down(&buffer, self, engine, age_ms);
	send_buffer(peers, url, &buffer);
}

void gc_peers_close_idle(gc_peers_t *peers, struct timespec now)
{
	g_hash_table_foreach_remove(peers->connections, is_idle, &now);
}

static gboolean is_idle(gpointer key, gpointer value, gpointer ctx)
{
	const connection_t *connection = value;
	const struct timespec *now = ctx;

	return gc_ms_between(connection->last_used, *now) > IDLE_TIMEOUT_MS;
}

static void on_readable(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *ctx)
{
	gc_peers_receive(ctx);
}

/*
 * ZMQ_FD is edge-triggered: it becomes readable once, however many messages are
 * queued. So the queue is read until it is empty.
 */
void gc_peers_receive(gc_peers_t *peers)
{
	while (receive_message(peers))
		;
}

/* Receives and handles one message. False if the queue is empty. */
static bool receive_message(gc_peers_t *peers)
{
	zmq_msg_t frame;
	bool last = false;
	unsigned int n_frames = 0;

	while (!last) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, peers->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frame);
			return false;
		}
		last = !zmq_msg_more(&frame);
		n_frames++;
		/* The ROUTER socket puts the sender's identity in frame 1. */
		if (n_frames == 2 && last) {
			gc_str_t message = {zmq_msg_data(&frame),
					    zmq_msg_size(&frame)};

			gc_counter_add(peers->received_bytes,
				       message.len + FRAMING_BYTES);
			if (!gc_peers_decode(message, &peers->ops, peers->ctx))
				gc_counter_add(peers->malformed_messages, 1);
		} else if (last) {
			gc_counter_add(peers->malformed_messages, 1);
		}
		zmq_msg_close(&frame);
	}
	return true;
}
