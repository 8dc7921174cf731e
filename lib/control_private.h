/* Components of the control thread; private to control*.c, operator_api*.c. */
#ifndef GC_LIB_CONTROL_PRIVATE_H
#define GC_LIB_CONTROL_PRIVATE_H

#include <jansson.h>

#include "core/health.h"
#include "core/membership.h"
#include "core/placement.h"
#include "lib/control.h"
#include "lib/httpc.h"
#include "lib/httpd.h"
#include "lib/metrics.h"
#include "lib/peers.h"

/* Key of the operator configuration in the key-value service. */
#define GC_CONFIG_KEY "config/current"
/* The key-value service stores no larger values. */
#define GC_CONFIG_MAX_BYTES 1000000

typedef struct gc_control_config gc_control_config_t;
typedef struct gc_control_peers gc_control_peers_t;
typedef struct gc_control_engines gc_control_engines_t;
typedef struct gc_operator_api gc_operator_api_t;
typedef struct gc_control_sweep gc_control_sweep_t;

struct gc_control {
	struct tevent_context *ev;
	const gc_settings_t *settings;
	const gc_clock_t *clock;
	gc_random_t random;
	uint64_t random_state;
	gc_httpc_t *http;
	gc_kv_t *kv;
	gc_mailbox_t *mailbox;
	gc_peers_t *peers;
	gc_membership_t *membership;
	gc_health_t *engine_health;
	gc_health_t *server_health; /* of the backend servers */
	gc_control_config_t *config;
	gc_control_peers_t *control_peers;
	gc_control_engines_t *engines;
	gc_operator_api_t *operator_api;
	struct tevent_immediate *publish_event;
	bool publish_pending;
	void (*publish)(void *ctx, gc_view_t *view);
	void *publish_ctx;
};

/*
 * Schedules the publication of a new view from the event loop. Further calls
 * until then have no effect.
 */
void gc_control_schedule_publish(gc_control_t *control);
struct timespec gc_control_now(const gc_control_t *control);
/* Calls fn once after ms milliseconds; mem owns the timer. */
struct tevent_timer *gc_control_add_timer(const gc_control_t *control,
					  TALLOC_CTX *mem, int64_t ms,
					  tevent_timer_handler_t fn, void *ctx);
/* Returns the counter goldcrest_control_bytes{kind="..."}. */
gc_metric_t *gc_control_byte_counter(const char *kind);
/* Builds a view of the current state; the caller holds its reference. */
gc_view_t *gc_control_create_view(gc_control_t *control);

/* control_config.c: reads the operator configuration, serves it to peers. */
gc_control_config_t *gc_control_config_create(gc_control_t *control);
/*
 * Starts the reads and watches that are due. To be called once per heartbeat
 * interval.
 */
void gc_control_config_poll(gc_control_t *control);
/* Returns the current configuration, NULL before the first; borrowed. */
gc_config_t *gc_control_config_current(const gc_control_t *control);
/* Returns a version if this daemon still keeps it, else NULL; borrowed. */
gc_config_t *gc_control_config_find_version(const gc_control_t *control,
					    uint64_t version);
/*
 * Makes the JSON document in text the current configuration. source names its
 * origin in the log: the service, a peer or an operator's change. Returns false
 * if the document is invalid or its version isn't newer than the current one.
 */
bool gc_control_config_apply(gc_control_t *control, gc_str_t text,
			     const char *source);
/* Sends the current configuration, if any, to the peer at reply_to. */
void gc_control_config_send(gc_control_t *control, gc_str_t reply_to);

/* control_peers.c: exchanges heartbeats and other messages with peers. */
gc_control_peers_t *gc_control_peers_create(gc_control_t *control);
extern const gc_peers_ops_t gc_control_peer_ops;
/* Sends a heartbeat to all peers, or to a random subset of a large fleet. */
void gc_control_send_heartbeats(gc_control_t *control);
/* Notifies peers that the engine has just failed. */
void gc_control_send_engine_down(gc_control_t *control, gc_str_t engine);

/* control_engines.c: instance lists, load polls, ejection. */
gc_control_engines_t *gc_control_engines_create(gc_control_t *control);
/* True once the lists of engines and of backend servers have been read. */
bool gc_control_instance_lists_read(const gc_control_t *control);
/*
 * Ejects the engine after a failure or repeated stalls. Notifies peers of an
 * ejection after a failure.
 */
void gc_control_engines_on_verdict(gc_control_t *control, gc_str_t engine,
				   gc_engine_verdict_t verdict);
/* Marks the engine as used by runs of this daemon. */
void gc_control_engines_mark_used(gc_control_t *control, const char *name);

/* control_sweep.c: deletes expired claim records. */
gc_control_sweep_t *gc_control_sweep_create(gc_control_t *control);

/* operator_api.c: HTTP listener for operators. Errors: GC_ERR_IO. */
gc_operator_api_t *gc_operator_api_create(gc_control_t *control, GError **err);
uint16_t gc_operator_api_port(const gc_operator_api_t *api);

#endif
