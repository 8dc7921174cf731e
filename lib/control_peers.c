/* Exchanges heartbeats and other messages with peers. */
#include <inttypes.h>

#include "lib/control_private.h"
#include "lib/log.h"
#include "lib/log_events.h"

/* Room for all daemons of a full mesh and as many seeds. */
#define MAX_TARGETS (GC_MEMBERSHIP_FULL_MESH_MAX * 2)
/*
 * Minimum time between two pulls if the first is not answered: an answer can be
 * 1 MB large.
 */
#define MIN_PULL_INTERVAL_MS 300

struct gc_control_peers {
	gc_control_t *control;
	size_t logged_known; /* number of known daemons last logged */
	struct timespec last_pull_at;
};

static void on_heartbeat_timer(struct tevent_context *ev,
			       struct tevent_timer *te, struct timeval now,
			       void *ctx);
static void log_known_daemons(gc_control_peers_t *control_peers);
static void on_heartbeat(void *ctx, const gc_heartbeat_t *heartbeat);
static void on_config_pull(void *ctx, gc_str_t from, gc_str_t reply_to);
static void on_config(void *ctx, gc_str_t from, uint64_t version,
		      gc_str_t document);
static void on_engine_down(void *ctx, gc_str_t from, gc_str_t engine,
			   int64_t age_ms);
static void pull_config(gc_control_t *control, gc_str_t name);
static void log_engine_report(gc_log_level_t level, unsigned int event,
			      const char *message, gc_str_t peer,
			      gc_str_t engine);

const gc_peers_ops_t gc_control_peer_ops = {
	.heartbeat = on_heartbeat,
	.config_pull = on_config_pull,
	.config = on_config,
	.engine_down = on_engine_down,
};

gc_control_peers_t *gc_control_peers_create(gc_control_t *control)
{
	gc_control_peers_t *control_peers =
		talloc_zero(control, gc_control_peers_t);

	control_peers->control = control;
	gc_control_add_timer(control, control_peers, 0, on_heartbeat_timer,
			     control_peers);
	return control_peers;
}

static void on_heartbeat_timer(struct tevent_context *ev,
			       struct tevent_timer *te, struct timeval now,
			       void *ctx)
{
	gc_control_peers_t *control_peers = ctx;
	gc_control_t *control = control_peers->control;

	gc_control_add_timer(control, control_peers,
			     control->settings->heartbeat_ms,
			     on_heartbeat_timer, control_peers);
	gc_peers_receive(control->peers);
	gc_peers_close_idle(control->peers, gc_control_now(control));
	gc_control_config_poll(control);
	gc_control_send_heartbeats(control);
	pull_config(control,
		    gc_membership_choose_pull_peer(control->membership,
						   gc_control_now(control)));
	log_known_daemons(control_peers);
	/* The time until which the version is confirmed may have changed. */
	gc_control_schedule_publish(control);
}

static void log_known_daemons(gc_control_peers_t *control_peers)
{
	size_t known = gc_membership_known(control_peers->control->membership);
	char text[24];

	if (known == control_peers->logged_known)
		return;
	control_peers->logged_known = known;
	g_snprintf(text, sizeof(text), "%zu", known);
	gc_log(GC_LOG_INFO, GC_EVENT_KNOWN_DAEMONS_CHANGED,
	       "number of known daemons changed", "known", text, NULL);
	gc_gauge_set(gc_gauge("goldcrest_known_daemons",
			      "Daemons known, this one included", NULL, NULL),
		     (int64_t)known);
}

void gc_control_send_heartbeats(gc_control_t *control)
{
	struct timespec now = gc_control_now(control);
	gc_member_descriptor_t targets[MAX_TARGETS];
	size_t n = gc_membership_targets(control->membership, now, targets,
					 MAX_TARGETS);

	for (size_t i = 0; i < n; i++) {
		gc_heartbeat_t heartbeat;

		gc_membership_make_heartbeat(control->membership, now,
					     targets[i].name, &heartbeat);
		gc_peers_send_heartbeat(control->peers, targets[i].peer_url,
					&heartbeat);
	}
}

static void on_heartbeat(void *ctx, const gc_heartbeat_t *heartbeat)
{
	gc_control_t *control = ctx;
	struct timespec now = gc_control_now(control);
	bool was_in_effect = gc_membership_in_effect(control->membership, now);
	gc_heartbeat_response_t response;

	response =
		gc_membership_on_heartbeat(control->membership, now, heartbeat);
	if (response.reply) {
		gc_heartbeat_t reply;

		gc_membership_make_heartbeat(control->membership, now,
					     heartbeat->from.name, &reply);
		/* Otherwise two daemons would reply to each other for ever. */
		reply.wants_reply = false;
		gc_peers_send_heartbeat(
			control->peers,
			gc_membership_peer_url(control->membership,
					       heartbeat->from.name),
			&reply);
	}
	if (response.pull)
		pull_config(control, heartbeat->from.name);
	if (gc_membership_in_effect(control->membership, now) != was_in_effect)
		gc_control_schedule_publish(control);
}

static void pull_config(gc_control_t *control, gc_str_t name)
{
	gc_control_peers_t *control_peers = control->control_peers;
	gc_str_t url = gc_membership_peer_url(control->membership, name);
	struct timespec now = gc_control_now(control);

	if (url.len == 0 || gc_ms_between(control_peers->last_pull_at, now) <
				    MIN_PULL_INTERVAL_MS)
		return;
	control_peers->last_pull_at = now;
	gc_peers_send_config_pull(control->peers, url,
				  gc_str(control->settings->instance));
}

static void on_config_pull(void *ctx, gc_str_t from, gc_str_t reply_to)
{
	gc_control_config_send(ctx, reply_to);
}

static void on_config(void *ctx, gc_str_t from, uint64_t version,
		      gc_str_t document)
{
	gc_control_t *control = ctx;
	g_autofree char *source = g_strndup(from.data, from.len);

	if (version <= gc_membership_version(control->membership))
		return;
	/* The pull was answered; allows the next one at once. */
	if (gc_control_config_apply(control, document, source))
		control->control_peers->last_pull_at = (struct timespec){0};
}

static void on_engine_down(void *ctx, gc_str_t from, gc_str_t engine,
			   int64_t age_ms)
{
	gc_control_t *control = ctx;

	if (!gc_health_on_peer_report(control->engine_health,
				      gc_control_now(control), engine, age_ms))
		return;
	log_engine_report(GC_LOG_INFO, GC_EVENT_ENGINE_EJECTED_BY_PEER,
			  "engine ejected on a peer's report", from, engine);
	gc_control_schedule_publish(control);
}

void gc_control_send_engine_down(gc_control_t *control, gc_str_t engine)
{
	gc_member_descriptor_t targets[MAX_TARGETS];
	size_t n = gc_membership_targets(control->membership,
					 gc_control_now(control), targets,
					 MAX_TARGETS);

	for (size_t i = 0; i < n; i++)
		gc_peers_send_engine_down(control->peers, targets[i].peer_url,
					  gc_str(control->settings->instance),
					  engine, 0);
}

static void log_engine_report(gc_log_level_t level, unsigned int event,
			      const char *message, gc_str_t peer,
			      gc_str_t engine)
{
	g_autofree char *peer_name = g_strndup(peer.data, peer.len);
	g_autofree char *engine_name = g_strndup(engine.data, engine.len);

	gc_log(level, event, message, "peer", peer_name, "engine", engine_name,
	       NULL);
}
