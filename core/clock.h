/* Clock interface, so that tests and replays can control the time. */
#ifndef GC_CORE_CLOCK_H
#define GC_CORE_CLOCK_H

#include <stdint.h>
#include <time.h>

typedef struct gc_clock {
	/* Monotonic time, suspension of the machine included, for deadlines, ages
	 * and measurements. */
	struct timespec (*now)(void *ctx);
	/* Wall clock, for timestamps that other processes read. */
	struct timespec (*wall)(void *ctx);
	void *ctx;
} gc_clock_t;

/* The clock of the operating system. */
extern const gc_clock_t gc_clock_system;

static inline struct timespec gc_clock_now(const gc_clock_t *clock)
{
	return clock->now(clock->ctx);
}

static inline struct timespec gc_clock_wall(const gc_clock_t *clock)
{
	return clock->wall(clock->ctx);
}

/* Time from a to b in ms or us; negative if b is earlier. */
static inline int64_t gc_ms_between(struct timespec a, struct timespec b)
{
	return (b.tv_sec - a.tv_sec) * INT64_C(1000) +
	       (b.tv_nsec - a.tv_nsec) / 1000000;
}

static inline int64_t gc_us_between(struct timespec a, struct timespec b)
{
	return (b.tv_sec - a.tv_sec) * INT64_C(1000000) +
	       (b.tv_nsec - a.tv_nsec) / 1000;
}

static inline struct timespec gc_add_ms(struct timespec t, int64_t ms)
{
	int64_t ns = t.tv_nsec + (ms % 1000) * 1000000;

	t.tv_sec += ms / 1000;
	if (ns >= 1000000000) {
		t.tv_sec++;
		ns -= 1000000000;
	} else if (ns < 0) {
		t.tv_sec--;
		ns += 1000000000;
	}
	t.tv_nsec = ns;
	return t;
}

#endif
