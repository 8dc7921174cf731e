/* gc_clock_t on the clocks of the operating system. */
#include "core/clock.h"

/* Counts the time for which the machine was suspended, as others count it, too. */
static struct timespec system_now(void *ctx)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return t;
}

static struct timespec system_wall(void *ctx)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return t;
}

const gc_clock_t gc_clock_system = {
	.now = system_now,
	.wall = system_wall,
};
