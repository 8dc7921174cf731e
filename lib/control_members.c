/* Heartbeats and the messages of peers. */
#include <inttypes.h>

#include "lib/control_private.h"
#include "lib/log.h"
#include "lib/log_events.h"

#define ALL_TARGETS (GC_MEMBERSHIP_FULL_MESH_MAX * 2)
/* One pull at a time: the answer can have 1 MB. */
#define PULL_EVERY_MS 300

struct gc_control_members {
	gc_control_t *control;
	size_t known; /* at the last tick, for the log */
	struct timespec pulled_at;
};

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *ctx);
static void log_known(gc_control_members_t *loop);
static void on_heartbeat(void *ctx, const gc_heartbeat_t *heartbeat);
static void on_config_pull(void *ctx, gc_str_t from, gc_str_t reply_to);
static void on_config(void *ctx, gc_str_t from, uint64_t version,
		      gc_str_t document);
static void on_engine_down(void *ctx, gc_str_t from, gc_str_t engine,
			   int64_t age_ms);
static void pull(gc_control_t *control, gc_str_t name);
static void log_peer(gc_log_level_t level, unsigned int event,
		     const char *message, gc_str_t peer, gc_str_t engine);

const gc_peers_ops_t gc_control_peer_ops = {
	.heartbeat = on_heartbeat,
	.config_pull = on_config_pull,
	.config = on_config,
	.engine_down = on_engine_down,
};

gc_control_members_t *gc_control_members_create(gc_control_t *control)
{
	gc_control_members_t *loop = talloc_zero(control, gc_control_members_t);

	loop->control = control;
	gc_control_after_ms(control, loop, 0, on_tick, loop);
	return loop;
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *ctx)
{
	gc_control_members_t *loop = ctx;
	gc_control_t *control = loop->control;

	gc_control_after_ms(control, loop, control->settings->heartbeat_ms,
			    on_tick, loop);
	gc_peers_poll(control->peers);
	gc_peers_expire(control->peers, gc_control_now(control));
	gc_control_config_tick(control);
	gc_control_send_heartbeats(control);
	pull(control, gc_membership_choose_pull_peer(control->members,
						     gc_control_now(control)));
	log_known(loop);
	/* The time until which the version is confirmed has moved. */
	gc_control_changed(control);
}

static void log_known(gc_control_members_t *loop)
{
	size_t known = gc_membership_known(loop->control->members);
	char text[24];

	if (known == loop->known)
		return;
	loop->known = known;
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
	gc_member_descriptor_t targets[ALL_TARGETS];
	size_t n = gc_membership_targets(control->members, now, targets,
					 ALL_TARGETS);

	for (size_t i = 0; i < n; i++) {
		gc_heartbeat_t heartbeat;

		gc_membership_make_heartbeat(control->members, now,
					     targets[i].name, &heartbeat);
		gc_peers_send_heartbeat(control->peers, targets[i].peer_url,
					&heartbeat);
	}
}

static void on_heartbeat(void *ctx, const gc_heartbeat_t *heartbeat)
{
	gc_control_t *control = ctx;
	struct timespec now = gc_control_now(control);
	bool before = gc_membership_in_effect(control->members, now);
	gc_heartbeat_response_t answer;

	answer = gc_membership_on_heartbeat(control->members, now, heartbeat);
	if (answer.reply) {
		gc_heartbeat_t reply;

		gc_membership_make_heartbeat(control->members, now,
					     heartbeat->from.name, &reply);
		/* A reply to a reply would go back and forth for ever. */
		reply.wants_reply = false;
		gc_peers_send_heartbeat(
			control->peers,
			gc_membership_peer_url(control->members,
					       heartbeat->from.name),
			&reply);
	}
	if (answer.pull)
		pull(control, heartbeat->from.name);
	if (gc_membership_in_effect(control->members, now) != before)
		gc_control_changed(control);
}

static void pull(gc_control_t *control, gc_str_t name)
{
	gc_control_members_t *loop = control->member_loop;
	gc_str_t url = gc_membership_peer_url(control->members, name);
	struct timespec now = gc_control_now(control);

	if (url.len == 0 || gc_ms_between(loop->pulled_at, now) < PULL_EVERY_MS)
		return;
	loop->pulled_at = now;
	gc_peers_send_config_pull(control->peers, url,
				  gc_str(control->settings->instance));
}

static void on_config_pull(void *ctx, gc_str_t from, gc_str_t reply_to)
{
	gc_control_config_on_pull(ctx, reply_to);
}

static void on_config(void *ctx, gc_str_t from, uint64_t version,
		      gc_str_t document)
{
	gc_control_t *control = ctx;
	g_autofree char *source = g_strndup(from.data, from.len);

	if (version <= gc_membership_version(control->members))
		return;
	/* The pull has been answered; the next change needs another. */
	if (gc_control_config_take(control, document, source))
		control->member_loop->pulled_at = (struct timespec){0};
}

static void on_engine_down(void *ctx, gc_str_t from, gc_str_t engine,
			   int64_t age_ms)
{
	gc_control_t *control = ctx;

	if (!gc_health_on_peer_report(control->engines_health,
				      gc_control_now(control), engine, age_ms))
		return;
	log_peer(GC_LOG_INFO, GC_EVENT_ENGINE_EJECTED_BY_PEER,
		 "engine ejected after a peer's news", from, engine);
	gc_control_changed(control);
}

void gc_control_tell_engine_down(gc_control_t *control, gc_str_t engine)
{
	gc_member_descriptor_t targets[ALL_TARGETS];
	size_t n =
		gc_membership_targets(control->members, gc_control_now(control),
				      targets, ALL_TARGETS);

	for (size_t i = 0; i < n; i++)
		gc_peers_send_engine_down(control->peers, targets[i].peer_url,
					  gc_str(control->settings->instance),
					  engine, 0);
}

static void log_peer(gc_log_level_t level, unsigned int event,
		     const char *message, gc_str_t peer, gc_str_t engine)
{
	g_autofree char *peer_name = g_strndup(peer.data, peer.len);
	g_autofree char *engine_name = g_strndup(engine.data, engine.len);

	gc_log(level, event, message, "peer", peer_name, "engine", engine_name,
	       NULL);
}
