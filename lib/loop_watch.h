/* Measures the turns of a tevent loop: how long it handles events between waits. */
#ifndef GC_LIB_LOOP_WATCH_H
#define GC_LIB_LOOP_WATCH_H

#include <talloc.h>
#include <tevent.h>

#include "core/clock.h"

typedef struct gc_loop_watch gc_loop_watch_t;

/*
 * Measures ev's turns into the metrics goldcrest_loop_turn_ms and
 * goldcrest_loop_longest_turn_us with the loop's name, and logs long ones. The
 * name and the clock must outlive the watch. Takes ev's trace callback; the watch
 * must live as long as ev. Used in ev's thread.
 */
gc_loop_watch_t *gc_loop_watch_create(TALLOC_CTX *mem,
				      struct tevent_context *ev,
				      const gc_clock_t *clock,
				      const char *name);

#endif
