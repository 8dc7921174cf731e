/* Measures the turns of a tevent loop: how long it handles events between waits. */
#include <stdio.h>

#include <glib.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/loop_watch.h"
#include "lib/metrics.h"

/* Turns of this time or longer are logged. */
#define LONG_TURN_MS 100
/* Least time between two samples of the thread's time; shorter turns take none. */
#define SAMPLE_INTERVAL_MS 100

/* What the thread has used since it started. */
typedef struct thread_times {
	int64_t cpu_us;
	int64_t ready_us; /* ready to run, on no processor */
} thread_times_t;

struct gc_loop_watch {
	const gc_clock_t *clock;
	const char *name;
	struct timespec turn_started;
	struct timespec sampled_at;
	thread_times_t sample;
	bool in_turn;
	int64_t longest_us;
	gc_metric_t *turn_ms;
	gc_metric_t *longest_turn_us;
};

static void on_trace(enum tevent_trace_point point, void *ctx);
static void sample_times(gc_loop_watch_t *watch);
static thread_times_t read_times(void);
static void end_turn(gc_loop_watch_t *watch);
static void log_long_turn(const gc_loop_watch_t *watch, int64_t us);

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
		sample_times(watch);
	} else if (point == TEVENT_TRACE_BEFORE_WAIT && watch->in_turn) {
		watch->in_turn = false;
		end_turn(watch);
	}
}

static void sample_times(gc_loop_watch_t *watch)
{
	if (gc_ms_between(watch->sampled_at, watch->turn_started) <
	    SAMPLE_INTERVAL_MS)
		return;
	watch->sampled_at = watch->turn_started;
	watch->sample = read_times();
}

/* Zeros if the kernel doesn't tell. */
static thread_times_t read_times(void)
{
	FILE *file = fopen("/proc/thread-self/schedstat", "re");
	char line[64] = "";
	char *rest = line;
	thread_times_t times;

	if (!file)
		return (thread_times_t){0};
	if (!fgets(line, sizeof(line), file))
		*line = '\0';
	fclose(file);
	times.cpu_us = (int64_t)(g_ascii_strtoull(rest, &rest, 10) / 1000);
	times.ready_us = (int64_t)(g_ascii_strtoull(rest, NULL, 10) / 1000);
	return times;
}

static void end_turn(gc_loop_watch_t *watch)
{
	int64_t us =
		gc_us_between(watch->turn_started, gc_clock_now(watch->clock));

	if (us > watch->longest_us) {
		watch->longest_us = us;
		gc_gauge_set(watch->longest_turn_us, us);
	}
	if (us < 1000)
		return;
	gc_histogram_observe(watch->turn_ms, (double)us / 1000);
	if (us < LONG_TURN_MS * 1000)
		return;
	log_long_turn(watch, us);
}

/* The times begin at the sample, at most SAMPLE_INTERVAL_MS before the turn. */
static void log_long_turn(const gc_loop_watch_t *watch, int64_t us)
{
	thread_times_t now = read_times();
	g_autofree char *ms = g_strdup_printf("%" G_GINT64_FORMAT, us / 1000);
	g_autofree char *cpu_ms =
		g_strdup_printf("%" G_GINT64_FORMAT,
				(now.cpu_us - watch->sample.cpu_us) / 1000);
	g_autofree char *ready_ms =
		g_strdup_printf("%" G_GINT64_FORMAT,
				(now.ready_us - watch->sample.ready_us) / 1000);

	gc_log(GC_LOG_INFO, GC_EVENT_LOOP_BUSY,
	       "an event loop was busy for long", "loop", watch->name, "ms", ms,
	       "cpu_ms", cpu_ms, "ready_ms", ready_ms, NULL);
}
