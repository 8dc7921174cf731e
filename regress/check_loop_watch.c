/*
 * Guards against lines on long turns of an event loop that don't tell whether its
 * thread worked or was blocked.
 */
#include <time.h>
#include <unistd.h>

#include "lib/log.h"
#include "lib/loop_watch.h"
#include "lib/timer.h"
#include "regress/unit.h"

/* Longer than the shortest turn that is logged. */
#define TURN_MS 300

typedef struct test {
	bool works;
	bool done;
} test_t;

static int64_t cpu_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return t.tv_sec * INT64_C(1000) + t.tv_nsec / 1000000;
}

static void on_timer(void *ctx)
{
	test_t *test = ctx;
	/* Whole ms: the one that has begun doesn't count. */
	int64_t until_ms = cpu_ms() + 1 + TURN_MS;

	while (test->works && cpu_ms() < until_ms)
		;
	if (!test->works)
		usleep(TURN_MS * 1000);
	test->done = true;
}

static void on_end(void *ctx)
{
}

static int64_t field(const char *text, const char *name)
{
	g_autofree char *start = g_strdup_printf("\"%s\":\"", name);
	const char *value = strstr(text, start);

	ck_assert_msg(value != NULL, "no %s in %s", name, text);
	return g_ascii_strtoll(value + strlen(start), NULL, 10);
}

/* Logs a turn of TURN_MS; returns the line's cpu_ms. */
static int64_t logged_cpu_ms(bool works)
{
	test_t test = {.works = works};
	struct tevent_context *ev = tevent_context_init(NULL);
	gc_timers_t *timers = gc_timers_create(ev, ev);
	gc_timer_t *timer = gc_timer_create(ev, timers, on_timer, &test);
	gc_timer_t *end_timer = gc_timer_create(ev, timers, on_end, NULL);
	char text[4096] = "";
	int fds[2];

	ck_assert_int_eq(pipe(fds), 0);
	ck_assert_int_eq(dup2(fds[1], STDOUT_FILENO), STDOUT_FILENO);
	gc_log_init("check", "d1", true, GC_LOG_INFO);
	gc_log_to_stdout(100);
	gc_loop_watch_create(ev, ev, &gc_clock_system, "traffic");
	gc_timer_set(timer, 1);
	while (!test.done)
		tevent_loop_once(ev);
	/* The turn ends when the loop waits again. */
	gc_timer_set(end_timer, 1);
	tevent_loop_once(ev);
	ck_assert_int_gt(read(fds[0], text, sizeof(text) - 1), 0);
	talloc_free(ev);
	ck_assert_int_ge(field(text, "ms"), TURN_MS);
	ck_assert_int_ge(field(text, "ready_ms"), 0);
	return field(text, "cpu_ms");
}

START_TEST(test_long_turn_tells_what_the_thread_did)
{
	ck_assert_int_ge(logged_cpu_ms(true), TURN_MS * 9 / 10);
	ck_assert_int_lt(logged_cpu_ms(false), TURN_MS / 3);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_long_turn_tells_what_the_thread_did,
				      NULL};

	return unit_run("loop_watch", tests);
}
