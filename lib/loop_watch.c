/* Measures the turns of a tevent loop: how long it handles events between waits. */
#include "lib/loop_watch.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"

/* Turns of this time or longer are logged. */
#define LONG_TURN_MS 100

struct gc_loop_watch {
	const gc_clock_t *clock;
	const char *name;
	struct timespec turn_started;
	bool in_turn;
	int64_t longest_us;
	gc_metric_t *turn_ms;
	gc_metric_t *longest_turn_us;
};

static void on_trace(enum tevent_trace_point point, void *ctx);
static void end_turn(gc_loop_watch_t *watch);

gc_loop_watch_t *gc_loop_watch_create(TALLOC_CTX *mem,
				      struct tevent_context *ev,
				      const gc_clock_t *clock, const char *name)
{
	gc_loop_watch_t *watch = talloc_zero(mem, gc_loop_watch_t);

	watch->clock = clock;
	watch->name = name;
	watch->turn_ms = gc_histogram_ms("goldcrest_loop_turn_ms",
					 "Turns of an event loop of 1 ms and "
					 "more.",
					 "loop", name);
	watch->longest_turn_us =
		gc_gauge("goldcrest_loop_longest_turn_us",
			 "Longest turn of an event loop.", "loop", name);
	tevent_set_trace_callback(ev, on_trace, watch);
	return watch;
}

static void on_trace(enum tevent_trace_point point, void *ctx)
{
	gc_loop_watch_t *watch = ctx;

	if (point == TEVENT_TRACE_AFTER_WAIT) {
		watch->turn_started = gc_clock_now(watch->clock);
		watch->in_turn = true;
	} else if (point == TEVENT_TRACE_BEFORE_WAIT && watch->in_turn) {
		watch->in_turn = false;
		end_turn(watch);
	}
}

static void end_turn(gc_loop_watch_t *watch)
{
	int64_t us =
		gc_us_between(watch->turn_started, gc_clock_now(watch->clock));
	g_autofree char *ms_text = NULL;

	if (us > watch->longest_us) {
		watch->longest_us = us;
		gc_gauge_set(watch->longest_turn_us, us);
	}
	if (us < 1000)
		return;
	gc_histogram_observe(watch->turn_ms, (double)us / 1000);
	if (us < LONG_TURN_MS * 1000)
		return;
	ms_text = g_strdup_printf("%" G_GINT64_FORMAT, us / 1000);
	gc_log(GC_LOG_INFO, GC_EVENT_LOOP_BUSY,
	       "an event loop was busy for long", "loop", watch->name, "ms",
	       ms_text, NULL);
}
