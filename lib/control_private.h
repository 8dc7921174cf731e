/* Parts of the control thread; private to control*.c and operator_api.c. */
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

/* Key of the operator configuration. */
#define GC_CONFIG_KEY "config/current"
/* Limit of the key-value service for one value. */
#define GC_CONFIG_MAX_BYTES 1000000

typedef struct gc_control_config gc_control_config_t;
typedef struct gc_control_members gc_control_members_t;
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
	gc_membership_t *members;
	gc_health_t *engines_health;
	gc_health_t *services_health;
	gc_control_config_t *config;
	gc_control_members_t *member_loop;
	gc_control_engines_t *engines;
	gc_operator_api_t *operators;
	struct tevent_immediate *publish_soon;
	bool publish_pending;
	void (*publish)(void *ctx, gc_view_t *view);
	void *ctx;
};

/* Publishes a new view at the end of the current loop iteration. */
void gc_control_changed(gc_control_t *control);
struct timespec gc_control_now(const gc_control_t *control);
/* Calls fn once after ms; mem owns the timer. */
struct tevent_timer *gc_control_after_ms(const gc_control_t *control,
					 TALLOC_CTX *mem, int64_t ms,
					 tevent_timer_handler_t fn, void *ctx);
/* Counter of goldcrest_control_bytes for the kind. */
gc_metric_t *gc_control_bytes(const char *kind);
gc_view_t *gc_control_make_view(gc_control_t *control);

/* control_config.c: watches, reads, takes and passes on versions. */
gc_control_config_t *gc_control_config_create(gc_control_t *control);
/* Once per heartbeat interval. */
void gc_control_config_tick(gc_control_t *control);
/* The current version; NULL before the first. */
gc_config_t *gc_control_config_current(const gc_control_t *control);
/* A version that this daemon still holds, or NULL. */
gc_config_t *gc_control_config_version(const gc_control_t *control,
				       uint64_t version);
/*
 * Takes the document of a version from the service, a peer or an own change.
 * False if it is no newer one or invalid.
 */
bool gc_control_config_take(gc_control_t *control, gc_str_t text,
			    const char *source);
void gc_control_config_on_pull(gc_control_t *control, gc_str_t reply_to);

/* control_members.c: heartbeats and peer messages. */
gc_control_members_t *gc_control_members_create(gc_control_t *control);
extern const gc_peers_ops_t gc_control_peer_ops;
/* Sends a heartbeat to all targets of this interval now. */
void gc_control_send_heartbeats(gc_control_t *control);
void gc_control_tell_engine_down(gc_control_t *control, gc_str_t engine);

/* control_engines.c: instance list, load polls, ejection. */
gc_control_engines_t *gc_control_engines_create(gc_control_t *control);
/* True once each of the lists of engines and services was read. */
bool gc_control_engines_listed(const gc_control_t *control);
void gc_control_engines_report(gc_control_t *control, gc_str_t engine,
			       gc_engine_verdict_t verdict);
/* A traffic thread has runs on the engine. */
void gc_control_engines_used(gc_control_t *control, const char *name);

/* control_sweep.c: deletes old records of claims. */
gc_control_sweep_t *gc_control_sweep_create(gc_control_t *control);

/* operator_api.c: the operator listener. Errors: GC_ERR_IO. */
gc_operator_api_t *gc_operator_api_create(gc_control_t *control, GError **err);
uint16_t gc_operator_api_port(const gc_operator_api_t *operators);

#endif
