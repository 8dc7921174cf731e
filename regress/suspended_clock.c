/*
 * Linked into a program, lets it see a stop (SIGSTOP to SIGCONT) as the suspension
 * of its machine: CLOCK_MONOTONIC doesn't count that time, CLOCK_BOOTTIME does.
 */
#include <signal.h>
#include <stdint.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_S INT64_C(1000000000)

static int64_t last_seen_ns;
static int64_t suspended_ns;

static int64_t boot_ns(void)
{
	struct timespec t;

	syscall(SYS_clock_gettime, CLOCK_BOOTTIME, &t);
	return t.tv_sec * NS_PER_S + t.tv_nsec;
}

static void on_continue(int number)
{
	(void)number;
	__atomic_add_fetch(&suspended_ns,
			   boot_ns() - __atomic_load_n(&last_seen_ns,
						       __ATOMIC_RELAXED),
			   __ATOMIC_RELAXED);
}

__attribute__((constructor)) static void set_handler(void)
{
	struct sigaction action = {.sa_handler = on_continue,
				   .sa_flags = SA_RESTART};

	sigaction(SIGCONT, &action, NULL);
}

int clock_gettime(clockid_t clock, struct timespec *t)
{
	int64_t ns;

	if (clock != CLOCK_MONOTONIC)
		return (int)syscall(SYS_clock_gettime, clock, t);
	ns = boot_ns();
	__atomic_store_n(&last_seen_ns, ns, __ATOMIC_RELAXED);
	ns -= __atomic_load_n(&suspended_ns, __ATOMIC_RELAXED);
	*t = (struct timespec){.tv_sec = ns / NS_PER_S,
			       .tv_nsec = ns % NS_PER_S};
	return 0;
}
