/*
 * The control thread's small listener: readiness, callers' questions where to
 * connect, metrics, other daemons' questions what has changed in the store.
 */
#ifndef GC_LIB_CONTROL_LISTENER_H
#define GC_LIB_CONTROL_LISTENER_H

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/clock.h"
#include "core/placement.h"
#include "lib/adapter.h"
#include "lib/fleet.h"
#include "lib/settings.h"
#include "lib/timer.h"

typedef struct gc_control_listener gc_control_listener_t;

typedef struct gc_control_listener_conf {
	struct tevent_context *ev;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_random_t *random;
	const gc_adapter_t *adapter;
	gc_fleet_t *fleet;
	const gc_confirmed_t *confirmed;
	gc_str_t instance; /* name of this daemon */
	int64_t contact_ms; /* not ready without a confirmation for so long */
	unsigned int address_ttl_s;
} gc_control_listener_conf_t;

gc_control_listener_t *
gc_control_listener_create(TALLOC_CTX *mem,
			   const gc_control_listener_conf_t *conf);
/* Listens; all listeners answer all questions. Errors: GC_ERR_IO. */
bool gc_control_listener_listen(gc_control_listener_t *desk,
				const gc_listen_t *listen, GError **err);
/* The fleet's knowledge has changed: answers daemons that wait for it. */
void gc_control_listener_changed(gc_control_listener_t *desk);
/* Not ready any more, and not among the addresses. */
void gc_control_listener_set_stopping(gc_control_listener_t *desk);

#endif
