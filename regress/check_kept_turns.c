/*
 * Guards against evidence on a refused trait that nobody writes as the daemon whose
 * turn it is has gone, and against daemons that all write it.
 */
#include <glib.h>

#include "lib/kept_turns.h"
#include "regress/unit.h"

#define TRAIT UINT64_C(7)

typedef struct fixture {
	struct tevent_context *ev;
	gc_clock_t clock;
	gint64 started_us;
	gc_kept_turns_t *turns;
	unsigned int n_written;
	gc_crash_evidence_t written; /* the last one */
	int64_t written_ms;
} fixture_t;

static int64_t now_ms(const fixture_t *fixture)
{
	return (g_get_monotonic_time() - fixture->started_us) / 1000;
}

static struct timespec fake_now(void *ctx)
{
	return unit_at(now_ms(ctx));
}

static void write_evidence(void *ctx, const gc_crash_evidence_t *evidence)
{
	fixture_t *fixture = ctx;

	fixture->n_written++;
	fixture->written = *evidence;
	fixture->written_ms = now_ms(fixture);
}

static fixture_t *start(void)
{
	fixture_t *fixture = talloc_zero(NULL, fixture_t);
	gc_kept_turns_conf_t conf = {
		.clock = &fixture->clock,
		.write = write_evidence,
		.ctx = fixture,
	};

	fixture->ev = tevent_context_init(fixture);
	fixture->clock = (gc_clock_t){fake_now, fake_now, fixture};
	fixture->started_us = g_get_monotonic_time();
	conf.timers = gc_timers_create(fixture, fixture->ev);
	fixture->turns = gc_kept_turns_create(fixture, &conf);
	return fixture;
}

static void add(fixture_t *fixture, uint64_t trait, size_t n, size_t turn)
{
	gc_crash_evidence_t evidence = {.trait = trait, .n = n, .turn = turn};

	gc_kept_turns_add(fixture->turns, &evidence);
}

/* Also waits for a timer that isn't due, with one that ends the wait. */
static void on_end(struct tevent_context *ev, struct tevent_timer *timer,
		   struct timeval at, void *ctx)
{
	*(bool *)ctx = true;
}

static void run(fixture_t *fixture, unsigned int ms)
{
	bool ended = false;

	tevent_add_timer(fixture->ev, fixture,
			 tevent_timeval_current_ofs(ms / 1000,
						    ms % 1000 * 1000),
			 on_end, &ended);
	while (!ended)
		tevent_loop_once(fixture->ev);
}

START_TEST(test_first_writes_at_once)
{
	fixture_t *fixture = start();

	add(fixture, TRAIT, 3, 0);
	ck_assert_uint_eq(fixture->n_written, 1);
	ck_assert_uint_eq(fixture->written.trait, TRAIT);
	ck_assert_uint_eq(fixture->written.n, 3);
	/* Also if there is a notice: its lease ends. */
	gc_kept_turns_read(fixture->turns, TRAIT, 3);
	add(fixture, TRAIT, 3, 0);
	ck_assert_uint_eq(fixture->n_written, 2);
	talloc_free(fixture);
}
END_TEST

START_TEST(test_next_writes_if_nobody_did)
{
	fixture_t *fixture = start();

	add(fixture, TRAIT, 3, 1);
	/* What is known of other traits, or fewer crashes, doesn't count. */
	gc_kept_turns_read(fixture->turns, TRAIT + 1, 3);
	gc_kept_turns_read(fixture->turns, TRAIT, 2);
	ck_assert_uint_eq(fixture->n_written, 0);
	run(fixture, 1300);
	ck_assert_uint_eq(fixture->n_written, 1);
	ck_assert_uint_eq(fixture->written.trait, TRAIT);
	ck_assert_int_ge(fixture->written_ms, 1000);
	run(fixture, 1300);
	ck_assert_uint_eq(fixture->n_written, 1);
	talloc_free(fixture);
}
END_TEST

START_TEST(test_notice_of_another_daemon_spares_it)
{
	fixture_t *fixture = start();

	add(fixture, TRAIT, 3, 1);
	add(fixture, TRAIT + 1, 3, 1);
	add(fixture, TRAIT + 2, 3, 1);
	gc_kept_turns_read(fixture->turns, TRAIT, 3);
	gc_kept_turns_drop(fixture->turns, TRAIT + 1);
	/* Already known, until the store was restored. */
	add(fixture, TRAIT, 3, 1);
	run(fixture, 1300);
	ck_assert_uint_eq(fixture->n_written, 1);
	ck_assert_uint_eq(fixture->written.trait, TRAIT + 2);
	gc_kept_turns_store_restored(fixture->turns);
	add(fixture, TRAIT, 3, 1);
	run(fixture, 1300);
	ck_assert_uint_eq(fixture->n_written, 2);
	ck_assert_uint_eq(fixture->written.trait, TRAIT);
	add(fixture, TRAIT, 4, 1);
	gc_kept_turns_stop(fixture->turns);
	run(fixture, 1300);
	ck_assert_uint_eq(fixture->n_written, 2);
	talloc_free(fixture);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_first_writes_at_once,
		test_next_writes_if_nobody_did,
		test_notice_of_another_daemon_spares_it,
		NULL,
	};

	return unit_run("kept_turns", tests);
}
