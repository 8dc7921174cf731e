/*
 * Guards against calls to the store that multiply when the watchers lose it:
 * with 117 daemons an outage of 8 s cost 2,300 calls, as all of them went
 * past their watchers; and against changes that come late because a peer
 * that is gone is asked first.
 */
#include "core/change_source.h"
#include "regress/unit.h"

#define OUTAGE_MS 8000
/* An answer of a peer or a failure of the store within a round trip. */
#define ANSWER_MS 5
/* A peer that is frozen costs its wait and the timeout of the call. */
#define SILENCE_MS 1300

/* What the daemon's surroundings answer. */
typedef struct world {
	bool has_peer;
	bool peer_knows;
	bool peer_answers;
	bool store_answers;
} world_t;

typedef struct tally {
	unsigned int store_calls;
	unsigned int peer_calls;
	int64_t longest_ms; /* between two moments at which the store was seen */
} tally_t;

static tally_t play(const world_t *world, int64_t ms);
static int64_t step(gc_change_source_t *sources, const world_t *world,
		    int64_t at, tally_t *tally, int64_t *seen);

/* Returns the time of the next decision. */
static int64_t step(gc_change_source_t *sources, const world_t *world,
		    int64_t at, tally_t *tally, int64_t *seen)
{
	int64_t wait_ms;

	switch (gc_change_source_next(sources, unit_at(at), world->has_peer,
				      &wait_ms)) {
	case GC_SOURCE_PEER:
		tally->peer_calls++;
		at += world->peer_answers ? ANSWER_MS : SILENCE_MS;
		if (!world->peer_answers || !world->peer_knows) {
			gc_change_source_peer_failed(sources, unit_at(at),
						     world->peer_answers);
			return at;
		}
		gc_change_source_peer_answered(sources);
		*seen = at;
		return at;
	case GC_SOURCE_STORE:
		tally->store_calls++;
		at += ANSWER_MS;
		if (!world->store_answers) {
			gc_change_source_store_failed(sources, unit_at(at),
						      world->has_peer);
			return at;
		}
		gc_change_source_store_answered(sources, unit_at(at));
		*seen = at;
		return at;
	case GC_SOURCE_NONE:
		ck_assert_int_gt(wait_ms, 0);
		return at + wait_ms;
	}
	return at;
}

static tally_t play(const world_t *world, int64_t ms)
{
	gc_change_source_t sources = {0};
	tally_t tally = {0};
	int64_t at = 0;
	int64_t last = 0;

	while (at < ms) {
		int64_t seen = last;

		at = step(&sources, world, at, &tally, &seen);
		if (seen - last > tally.longest_ms)
			tally.longest_ms = seen - last;
		last = seen;
	}
	return tally;
}

START_TEST(test_peers_spare_the_store)
{
	const world_t world = {true, true, true, true};
	tally_t tally = play(&world, OUTAGE_MS);

	ck_assert_uint_eq(tally.store_calls, 0);
	ck_assert_uint_gt(tally.peer_calls, 0);
}
END_TEST

/* At most one call a second while the store is away for all. */
START_TEST(test_outage_for_all)
{
	const world_t world = {true, false, true, false};
	tally_t tally = play(&world, OUTAGE_MS);

	ck_assert_uint_ge(tally.store_calls, 1);
	ck_assert_uint_le(tally.store_calls, OUTAGE_MS / 1000);
	/* The watchers' return is noticed within half a second. */
	ck_assert_uint_ge(tally.peer_calls, OUTAGE_MS / 500);
}
END_TEST

/* A watcher is the only one to notice the return of the store. */
START_TEST(test_outage_at_a_watcher)
{
	const world_t world = {false, false, false, false};
	tally_t tally = play(&world, OUTAGE_MS);

	ck_assert_uint_ge(tally.store_calls, OUTAGE_MS / 500);
}
END_TEST

/* The store turns the watchers away and serves this daemon. */
START_TEST(test_watchers_turned_away)
{
	const world_t world = {true, false, true, true};
	tally_t tally = play(&world, OUTAGE_MS);

	ck_assert_int_le(tally.longest_ms, 100);
}
END_TEST

/* A frozen watcher delays the view of the store by one timeout only, and
 * rarely. */
START_TEST(test_silent_peer_is_left_alone)
{
	const world_t world = {true, false, false, true};
	tally_t tally = play(&world, OUTAGE_MS);

	ck_assert_uint_le(tally.peer_calls, 3);
	ck_assert_int_le(tally.longest_ms, SILENCE_MS + 100);
}
END_TEST

/* One that only lags behind is asked again after one call to the store. */
START_TEST(test_one_call_for_an_ignorant_peer)
{
	gc_change_source_t sources = {0};
	int64_t wait_ms;

	gc_change_source_peer_failed(&sources, unit_at(0), true);
	ck_assert_int_eq(gc_change_source_next(&sources, unit_at(0), true,
					       &wait_ms),
			 GC_SOURCE_STORE);
	gc_change_source_store_answered(&sources, unit_at(5));
	ck_assert_int_eq(gc_change_source_next(&sources, unit_at(5), true,
					       &wait_ms),
			 GC_SOURCE_PEER);
	ck_assert_uint_eq(sources.turn, 1);
}
END_TEST

/* Pauses of an outage that is over don't count in the next one. */
START_TEST(test_peer_tells_the_end_of_an_outage)
{
	gc_change_source_t sources = {0};
	int64_t first =
		gc_change_source_store_failed(&sources, unit_at(0), true);

	for (int i = 0; i < 5; i++)
		ck_assert_int_ge(gc_change_source_store_failed(
					 &sources, unit_at(i), true),
				 first);
	gc_change_source_peer_answered(&sources);
	ck_assert_int_eq(gc_change_source_store_failed(&sources, unit_at(100),
						       true),
			 first);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_peers_spare_the_store,
		test_outage_for_all,
		test_outage_at_a_watcher,
		test_watchers_turned_away,
		test_silent_peer_is_left_alone,
		test_one_call_for_an_ignorant_peer,
		test_peer_tells_the_end_of_an_outage,
		NULL,
	};

	return unit_run("sources", tests);
}
