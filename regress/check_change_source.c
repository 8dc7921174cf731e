/*
 * Guards against too many calls to the store when the watchers lose their
 * connection to it: with 117 daemons, an outage of 8 s caused 2,300 calls, as
 * all daemons called the store instead of their watchers. Also guards against
 * changes that are delayed because an unresponsive peer is asked first.
 */
#include "core/change_source.h"
#include "regress/unit.h"

#define OUTAGE_MS 8000
/* Time for an answer of a peer or the store, or a failure of the store. */
#define ROUND_TRIP_MS 5
/* A frozen peer costs the wait of the watch and the timeout of the call. */
#define PEER_TIMEOUT_MS 1300

/* How the peer and the store respond. */
typedef struct environment {
	bool has_peer;
	bool peer_has_changes;
	bool peer_answers;
	bool store_answers;
} environment_t;

typedef struct stats {
	unsigned int store_calls;
	unsigned int peer_calls;
	int64_t max_gap_ms; /* between two successful answers */
} stats_t;

static stats_t simulate(const environment_t *environment, int64_t ms);
static int64_t fail_store(gc_change_source_t *source, int64_t at);
static int64_t pause_at(const gc_change_source_t *source, int64_t at,
			bool has_peer);
static gc_change_source_t paused_source(void);
static int64_t step(gc_change_source_t *source,
		    const environment_t *environment, int64_t at,
		    stats_t *stats, int64_t *updated_at);

/* Simulates one call or wait; returns the time at its end. */
static int64_t step(gc_change_source_t *source,
		    const environment_t *environment, int64_t at,
		    stats_t *stats, int64_t *updated_at)
{
	int64_t wait_ms;

	switch (gc_change_source_next(source, unit_at(at),
				      environment->has_peer, &wait_ms)) {
	case GC_SOURCE_PEER:
		stats->peer_calls++;
		at += environment->peer_answers ? ROUND_TRIP_MS
						: PEER_TIMEOUT_MS;
		if (!environment->peer_answers ||
		    !environment->peer_has_changes) {
			gc_change_source_peer_failed(source, unit_at(at),
						     environment->peer_answers);
			return at;
		}
		gc_change_source_peer_answered(source, 0);
		*updated_at = at;
		return at;
	case GC_SOURCE_STORE:
		stats->store_calls++;
		at += ROUND_TRIP_MS;
		if (!environment->store_answers) {
			gc_change_source_store_failed(source, unit_at(at));
			return at;
		}
		gc_change_source_store_answered(source, unit_at(at));
		*updated_at = at;
		return at;
	case GC_SOURCE_NONE:
		ck_assert_int_gt(wait_ms, 0);
		return at + wait_ms;
	}
	return at;
}

static stats_t simulate(const environment_t *environment, int64_t ms)
{
	gc_change_source_t source = {0};
	stats_t stats = {0};
	int64_t at = 0;
	int64_t last_update = 0;

	while (at < ms) {
		int64_t updated_at = last_update;

		at = step(&source, environment, at, &stats, &updated_at);
		if (updated_at - last_update > stats.max_gap_ms)
			stats.max_gap_ms = updated_at - last_update;
		last_update = updated_at;
	}
	return stats;
}

/* Returns the pause that follows if a peer is there, in ms. */
static int64_t fail_store(gc_change_source_t *source, int64_t at)
{
	gc_change_source_store_failed(source, unit_at(at));
	return pause_at(source, at, true);
}

static int64_t pause_at(const gc_change_source_t *source, int64_t at,
			bool has_peer)
{
	return gc_change_source_store_pause(source, unit_at(at), has_peer);
}

/* Its fifth call to the store in a row has failed at 0 ms, while peers answer. */
static gc_change_source_t paused_source(void)
{
	gc_change_source_t source = {0};

	gc_change_source_peer_failed(&source, unit_at(-5000), true);
	for (int i = -4; i <= 0; i++)
		gc_change_source_store_failed(&source, unit_at(1000 * i));
	return source;
}

START_TEST(test_store_is_not_called_while_peers_answer)
{
	const environment_t environment = {true, true, true, true};
	stats_t stats = simulate(&environment, OUTAGE_MS);

	ck_assert_uint_eq(stats.store_calls, 0);
	ck_assert_uint_gt(stats.peer_calls, 0);
}
END_TEST

/* At most one call to the store per second. */
START_TEST(test_outage_of_the_store_for_all_daemons)
{
	const environment_t environment = {true, false, true, false};
	stats_t stats = simulate(&environment, OUTAGE_MS);

	ck_assert_uint_ge(stats.store_calls, 1);
	ck_assert_uint_le(stats.store_calls, OUTAGE_MS / 1000);
	/* The recovery of the watchers is noticed within half a second. */
	ck_assert_uint_ge(stats.peer_calls, OUTAGE_MS / 500);
}
END_TEST

/* No peer tells a watcher that the store is back. */
START_TEST(test_watcher_retries_the_store_in_an_outage)
{
	const environment_t environment = {false, false, false, false};
	stats_t stats = simulate(&environment, OUTAGE_MS);

	ck_assert_uint_ge(stats.store_calls, OUTAGE_MS / 500);
}
END_TEST

/* The store fails for the watchers and serves this daemon. */
START_TEST(test_outage_of_the_store_for_watchers_only)
{
	const environment_t environment = {true, false, true, true};
	stats_t stats = simulate(&environment, OUTAGE_MS);

	ck_assert_int_le(stats.max_gap_ms, 100);
}
END_TEST

/* A frozen watcher delays changes by no more than one timeout, and rarely. */
START_TEST(test_unresponsive_peer_is_rarely_asked)
{
	const environment_t environment = {true, false, false, true};
	stats_t stats = simulate(&environment, OUTAGE_MS);

	ck_assert_uint_le(stats.peer_calls, 3);
	ck_assert_int_le(stats.max_gap_ms, PEER_TIMEOUT_MS + 100);
}
END_TEST

/* A peer that only lags behind is asked again after one call to the store. */
START_TEST(test_stale_peer_costs_one_store_call)
{
	gc_change_source_t source = {0};
	int64_t wait_ms;

	gc_change_source_peer_failed(&source, unit_at(0), true);
	ck_assert_int_eq(gc_change_source_next(&source, unit_at(0), true,
					       &wait_ms),
			 GC_SOURCE_STORE);
	gc_change_source_store_answered(&source, unit_at(5));
	ck_assert_int_eq(gc_change_source_next(&source, unit_at(5), true,
					       &wait_ms),
			 GC_SOURCE_PEER);
	ck_assert_uint_eq(source.n_peer_failures, 1);
}
END_TEST

/* The back-off starts anew in the next outage. */
START_TEST(test_answer_of_a_peer_resets_the_backoff)
{
	gc_change_source_t source = {0};
	int64_t first = fail_store(&source, 0);

	for (int i = 0; i < 5; i++)
		ck_assert_int_ge(fail_store(&source, i), first);
	gc_change_source_peer_answered(&source, 0);
	ck_assert_int_eq(fail_store(&source, 100), first);
}
END_TEST

/*
 * Seen in runs: two waits of 0.9 s and the pause of 250 ms added up to more than
 * the 2 s after which an unknown route is answered with 503 instead of 404.
 */
START_TEST(test_waits_follow_from_the_bounds)
{
	for (int64_t in_force = 1000; in_force <= 8000; in_force += 500) {
		for (int64_t admit = 2500; admit <= 9000; admit += 500) {
			gc_change_times_t times =
				gc_change_times(in_force, admit, 3000, 250);
			int64_t confirmed = 2 * times.watch_wait + 250;

			ck_assert_int_lt(confirmed, in_force);
			ck_assert_int_lt(confirmed, 3000);
			ck_assert_int_lt(confirmed + times.store_timeout +
						 times.peer_timeout,
					 admit);
			ck_assert_int_ge(times.peer_max_age, times.watch_wait);
		}
	}
}
END_TEST

/*
 * Seen on bulkpickup-tx-grown trouble-1: a watcher was cut off from the store,
 * but not from its askers; one of them waited twice more before the state was
 * too old, and a revoked key was admitted 3,004 ms after the change, 4 ms late.
 */
START_TEST(test_peer_without_the_store_delays_a_change_by_its_age_only)
{
	for (int64_t in_force = 2000; in_force <= 4000; in_force += 500) {
		gc_change_times_t times =
			gc_change_times(in_force, 4500, 5000, 250);

		for (int64_t age = 0; age <= times.watch_wait; age += 25) {
			gc_change_source_t source = {0};
			int64_t now = 0; /* of the change, just after the
					  * watcher was cut off */

			/* The asker has just begun to wait. */
			now += times.watch_wait;
			while (age + now <= times.peer_max_age) {
				gc_change_source_peer_answered(&source,
							       age + now);
				now += gc_change_source_peer_wait(
					&source, &times, times.watch_wait);
			}
			/* Then the store is asked: a pause after another
			 * change, and the transfer. */
			ck_assert_int_le(now + 250 + 100, in_force);
		}
	}
}
END_TEST

/*
 * Seen on veredas-pitch scale-2: a daemon was cut off from the store while its
 * history was discarded. No peer knew the changes since its revision, but as they
 * answered it asked the store only every 3.2 s, and applied a change 3.6 s late.
 */
START_TEST(test_store_is_asked_often_if_peers_lack_the_history)
{
	gc_change_source_t source = {0};

	for (int64_t now = 0; now < 20000; now += 400) {
		gc_change_source_peer_failed(&source, unit_at(now), true);
		gc_change_source_peer_lacks_history(&source);
		ck_assert_int_le(fail_store(&source, now), 400);
	}
}
END_TEST

/*
 * Seen in a trial: while the store gave no answer, the watchers did, so that it was to be
 * asked again after 3.2 s. It came back without its history, and no watcher could report
 * that; the pause still lasted to its end, and a change came into effect 2.7 s late.
 */
START_TEST(test_pause_ends_with_its_reason)
{
	const gc_change_source_t paused = paused_source();
	gc_change_source_t source = paused;

	ck_assert_int_eq(pause_at(&source, 500, true), 2700);
	gc_change_source_peer_failed(&source, unit_at(500), true);
	gc_change_source_peer_lacks_history(&source);
	ck_assert_int_eq(pause_at(&source, 500, true), 0);

	source = paused;
	gc_change_source_peer_failed(&source, unit_at(500), false);
	ck_assert_int_eq(pause_at(&source, 500, true), 0);

	source = paused;
	gc_change_source_peer_answered(&source, 0);
	ck_assert_int_eq(pause_at(&source, 0, true), 0);

	source = paused;
	ck_assert_int_eq(pause_at(&source, 500, false), 0);
	ck_assert_int_eq(pause_at(&source, 100, false), 300);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_store_is_not_called_while_peers_answer,
		test_outage_of_the_store_for_all_daemons,
		test_waits_follow_from_the_bounds,
		test_store_is_asked_often_if_peers_lack_the_history,
		test_pause_ends_with_its_reason,
		test_peer_without_the_store_delays_a_change_by_its_age_only,
		test_watcher_retries_the_store_in_an_outage,
		test_outage_of_the_store_for_watchers_only,
		test_unresponsive_peer_is_rarely_asked,
		test_stale_peer_costs_one_store_call,
		test_answer_of_a_peer_resets_the_backoff,
		NULL,
	};

	return unit_run("change_source", tests);
}
