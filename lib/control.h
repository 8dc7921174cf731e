/* The control thread: controllers for state, operators, peers. */
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
	uint16_t caller_port; /* the bound one, for the address list */
	/* Takes each new view, in the control thread. */
	void (*publish)(void *ctx, gc_view_t *view);
	void *ctx;
} gc_control_conf_t;

/* Runs on ev, whose thread is the control thread. Errors: GC_ERR_IO. */
gc_control_t *gc_control_create(TALLOC_CTX *mem, struct tevent_context *ev,
				const gc_control_conf_t *conf, GError **err);
void gc_control_destroy(gc_control_t *control);
/* Port of the operator listener. */
uint16_t gc_control_operator_port(const gc_control_t *control);
/* Leaves the address list: heartbeats say so, the view says stopping. */
void gc_control_leave(gc_control_t *control);
/* What a stream learnt about an engine. From every thread. */
void gc_control_report(gc_control_t *control, gc_str_t engine,
		       gc_engine_verdict_t verdict);
/*
 * This daemon has runs on the engine, or had one lately. Repeated while it has;
 * load reports of such engines are read more often. From every thread.
 */
void gc_control_note_used(gc_control_t *control, gc_str_t engine);
/* The control thread's key-value client, for other controllers. */
gc_kv_t *gc_control_kv(gc_control_t *control);
gc_mailbox_t *gc_control_mailbox(gc_control_t *control);

#endif
