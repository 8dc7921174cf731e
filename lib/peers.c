/* Messages between daemons: a ROUTER bound, a DEALER to each peer. */
#include <errno.h>
#include <string.h>

#include <zmq.h>

#include "core/clock.h"
#include "core/error.h"
#include "lib/log.h"
#include "lib/metrics.h"
#include "lib/peers.h"
#include "lib/peers_codec.h"

/* Messages that wait for one peer, each way; older ones are worth little. */
#define QUEUE_MESSAGES 64
/* A configuration has at most 1 MB. */
#define MAX_MESSAGE_BYTES (2 * 1024 * 1024)
#define RECONNECT_MS	  100
#define RECONNECT_MAX_MS  1000
/*
 * A connection whose data isn't acknowledged for this long is closed, so that
 * a healed partition isn't noticed only at TCP's next retransmission.
 */
#define UNACKED_MS	   4000
#define CONNECT_TIMEOUT_MS 2000
#define IDLE_MS		   60000
/* Length and flags of the two frames of a message on the wire. */
#define FRAME_OVERHEAD_BYTES 4

typedef struct link {
	void *socket;
	struct timespec used_at;
} link_t;

struct gc_peers {
	void *zmq;
	void *router;
	struct tevent_fd *fde;
	GHashTable *links; /* URL -> link_t */
	char *url;
	gc_peers_ops_t ops;
	void *ctx;
	gc_metric_t *sent, *received, *malformed, *dropped;
};

static int peers_destructor(gc_peers_t *peers);
static bool bind_router(gc_peers_t *peers, const gc_listen_t *listen,
			GError **err);
static void make_metrics(gc_peers_t *peers);
static void set_int(void *socket, int option, int value);
static void free_link(gpointer data);
static link_t *get_link(gc_peers_t *peers, gc_str_t url);
static void send_buffer(gc_peers_t *peers, gc_str_t url,
			msgpack_sbuffer *buffer);
static void on_readable(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *ctx);
static bool receive(gc_peers_t *peers);
static gboolean is_idle(gpointer key, gpointer value, gpointer ctx);

gc_peers_t *gc_peers_create(TALLOC_CTX *mem, struct tevent_context *ev,
			    const gc_listen_t *listen,
			    const gc_peers_ops_t *ops, void *ctx, GError **err)
{
	gc_peers_t *peers = talloc_zero(mem, gc_peers_t);
	size_t size = sizeof(int);
	int fd;

	peers->ops = *ops;
	peers->ctx = ctx;
	peers->zmq = zmq_ctx_new();
	peers->router = zmq_socket(peers->zmq, ZMQ_ROUTER);
	peers->links = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_link);
	talloc_set_destructor(peers, peers_destructor);
	if (!bind_router(peers, listen, err)) {
		talloc_free(peers);
		return NULL;
	}
	make_metrics(peers);
	zmq_getsockopt(peers->router, ZMQ_FD, &fd, &size);
	peers->fde = tevent_add_fd(ev, peers, fd, TEVENT_FD_READ, on_readable,
				   peers);
	return peers;
}

static bool bind_router(gc_peers_t *peers, const gc_listen_t *listen,
			GError **err)
{
	g_autofree char *wanted = NULL;
	char bound[128];
	size_t size = sizeof(bound);
	int64_t max_bytes = MAX_MESSAGE_BYTES;

	set_int(peers->router, ZMQ_LINGER, 0);
	set_int(peers->router, ZMQ_RCVHWM, QUEUE_MESSAGES);
	set_int(peers->router, ZMQ_SNDHWM, QUEUE_MESSAGES);
	zmq_setsockopt(peers->router, ZMQ_MAXMSGSIZE, &max_bytes,
		       sizeof(max_bytes));
	wanted = g_strdup_printf("tcp://%s:%u", listen->address, listen->port);
	if (zmq_bind(peers->router, wanted) != 0) {
		gc_error_set(err, GC_ERR_IO, "listen", wanted, "%s",
			     zmq_strerror(errno));
		return false;
	}
	zmq_getsockopt(peers->router, ZMQ_LAST_ENDPOINT, bound, &size);
	peers->url = talloc_strdup(peers, bound);
	return true;
}

static void make_metrics(gc_peers_t *peers)
{
	peers->sent = gc_counter("goldcrest_control_bytes",
				 "Bytes of control traffic by kind", "kind",
				 "peers_sent");
	peers->received = gc_counter("goldcrest_control_bytes",
				     "Bytes of control traffic by kind", "kind",
				     "peers_received");
	peers->malformed = gc_counter("goldcrest_peer_malformed_total",
				      "Peer messages that were not understood",
				      NULL, NULL);
	peers->dropped =
		gc_counter("goldcrest_peer_dropped_total",
			   "Peer messages not sent because of a full queue or "
			   "a missing connection",
			   NULL, NULL);
}

static int peers_destructor(gc_peers_t *peers)
{
	TALLOC_FREE(peers->fde);
	g_hash_table_destroy(peers->links);
	zmq_close(peers->router);
	zmq_ctx_term(peers->zmq);
	return 0;
}

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

const char *gc_peers_url(const gc_peers_t *peers)
{
	return peers->url;
}

static void free_link(gpointer data)
{
	link_t *link = data;

	zmq_close(link->socket);
	g_free(link);
}

static link_t *get_link(gc_peers_t *peers, gc_str_t url)
{
	char *key = g_strndup(url.data, url.len);
	link_t *link = g_hash_table_lookup(peers->links, key);
	void *socket;

	if (link) {
		g_free(key);
		return link;
	}
	socket = zmq_socket(peers->zmq, ZMQ_DEALER);
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, QUEUE_MESSAGES);
	set_int(socket, ZMQ_RCVHWM, QUEUE_MESSAGES);
	/* Without a connection nothing is queued: it would arrive too late. */
	set_int(socket, ZMQ_IMMEDIATE, 1);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int(socket, ZMQ_TCP_MAXRT, UNACKED_MS);
	if (zmq_connect(socket, key) != 0) {
		zmq_close(socket);
		g_free(key);
		return NULL;
	}
	link = g_new0(link_t, 1);
	link->socket = socket;
	g_hash_table_insert(peers->links, key, link);
	return link;
}

/* Frees the content of buffer. */
static void send_buffer(gc_peers_t *peers, gc_str_t url,
			msgpack_sbuffer *buffer)
{
	link_t *link = url.len ? get_link(peers, url) : NULL;

	if (link)
		clock_gettime(CLOCK_MONOTONIC, &link->used_at);
	if (link && zmq_send(link->socket, buffer->data, buffer->size,
			     ZMQ_DONTWAIT) >= 0)
		gc_counter_add(peers->sent,
			       buffer->size + FRAME_OVERHEAD_BYTES);
	else
		gc_counter_add(peers->dropped, 1);
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

void gc_peers_expire(gc_peers_t *peers, struct timespec now)
{
	g_hash_table_foreach_remove(peers->links, is_idle, &now);
}

static gboolean is_idle(gpointer key, gpointer value, gpointer ctx)
{
	const link_t *link = value;
	const struct timespec *now = ctx;

	return gc_ms_between(link->used_at, *now) > IDLE_MS;
}

static void on_readable(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *ctx)
{
	gc_peers_poll(ctx);
}

/*
 * The descriptor is edge-triggered: it becomes readable once, whatever number
 * of messages waits.
 */
void gc_peers_poll(gc_peers_t *peers)
{
	while (receive(peers))
		;
}

/* Receives one message; false if none waits. */
static bool receive(gc_peers_t *peers)
{
	zmq_msg_t part;
	bool last = false;
	unsigned int parts = 0;

	while (!last) {
		zmq_msg_init(&part);
		if (zmq_msg_recv(&part, peers->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&part);
			return false;
		}
		last = !zmq_msg_more(&part);
		parts++;
		/* The first part is the connection's identity. */
		if (parts == 2 && last) {
			gc_str_t message = {zmq_msg_data(&part),
					    zmq_msg_size(&part)};

			gc_counter_add(peers->received,
				       message.len + FRAME_OVERHEAD_BYTES);
			if (!gc_peers_decode(message, &peers->ops, peers->ctx))
				gc_counter_add(peers->malformed, 1);
		} else if (last) {
			gc_counter_add(peers->malformed, 1);
		}
		zmq_msg_close(&part);
	}
	return true;
}
