/*
 * The control thread: reads the operator configuration and the instance list,
 * exchanges heartbeats with other daemons, polls engines, serves operators, and
 * publishes the state as views.
 */
#ifndef GC_LIB_CONTROL_H
#define GC_LIB_CONTROL_H

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/clock.h"
#include "core/stream.h"
#include "lib/kv.h"
#include "lib/mailbox.h"
#include "lib/settings.h"
#include "lib/view.h"

typedef struct gc_control gc_control_t;

typedef struct gc_control_conf {
	const gc_settings_t *settings;
	const gc_clock_t *clock;
	uint64_t seed;
	uint16_t caller_port; /* the bound port, announced to peers */
	/*
	 * Called in the control thread with each new view; must take a
	 * reference to keep it.
	 */
	void (*publish)(void *ctx, gc_view_t *view);
	void *ctx; /* passed to publish */
} gc_control_conf_t;

/*
 * Runs on ev, whose thread becomes the control thread. Returns NULL and sets
 * err to GC_ERR_IO if a listener can't be opened.
 */
gc_control_t *gc_control_create(TALLOC_CTX *mem, struct tevent_context *ev,
				const gc_control_conf_t *conf, GError **err);
void gc_control_destroy(gc_control_t *control);
/* The bound port of the operator listener. */
uint16_t gc_control_operator_port(const gc_control_t *control);
/*
 * Announces that this daemon is shutting down: heartbeats carry the leaving
 * flag, so that no daemon lists it to callers any more, and the view is marked
 * as stopping.
 */
void gc_control_leave(gc_control_t *control);
/* Reports the failure or stall of a stream on an engine. Thread-safe. */
void gc_control_report_engine(gc_control_t *control, gc_str_t engine,
			      gc_engine_verdict_t verdict);
/*
 * Marks an engine as used by runs of this daemon, so that its load is polled
 * more often. The mark expires; repeat the call while runs use the engine.
 * Thread-safe.
 */
void gc_control_mark_engine_used(gc_control_t *control, gc_str_t engine);
/* Client of the key-value service; for use in the control thread only. */
gc_kv_t *gc_control_kv(gc_control_t *control);
/* Mailbox of the control thread; its functions get the gc_control_t as ctx. */
gc_mailbox_t *gc_control_mailbox(gc_control_t *control);

#endif
