/*
 * Timers on the clock gc_clock_system for a tevent loop. tevent's own timers use the
 * time of day, so a clock step makes them fire early or late.
 */
#ifndef GC_LIB_TIMER_H
#define GC_LIB_TIMER_H

#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

typedef struct gc_timers gc_timers_t;
typedef struct gc_timer gc_timer_t;

typedef void (*gc_timer_fn_t)(void *ctx);

/* The timers of one loop; NULL if no timer descriptor can be created. */
gc_timers_t *gc_timers_create(TALLOC_CTX *mem, struct tevent_context *ev);
/* A stopped timer, which calls fn(ctx) each time it expires. */
gc_timer_t *gc_timer_create(TALLOC_CTX *mem, gc_timers_t *timers,
			    gc_timer_fn_t fn, void *ctx);
/* Starts or restarts the timer; ms below 1 count as 1. */
void gc_timer_set(gc_timer_t *timer, int64_t ms);
void gc_timer_stop(gc_timer_t *timer);
void gc_timer_destroy(gc_timer_t *timer);

#endif
