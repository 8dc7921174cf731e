/*
 * The issuer of places at brittle servers. Guards against more requests in flight
 * than a server has room for, against places that nobody gets back, and against
 * servers that are used less than they could be.
 */
#include <glib.h>

#include "core/clock.h"
#include "core/permits.h"
#include "core/places.h"
#include "regress/unit.h"

#define SERVER	7
#define SLOTS	4U
#define BRITTLE 2.0
#define RANK	3

typedef struct daemon {
	uint64_t id;
	uint64_t number;
	uint32_t held;
	uint32_t got;
	uint32_t turned_away;
} daemon_t;

static gc_place_ask_t make_ask(daemon_t *daemon, uint32_t wanted)
{
	gc_place_ask_t ask = {
		.server = SERVER,
		.daemon = daemon->id,
		.number = ++daemon->number,
		.brittle = BRITTLE,
		.brittle_at = unit_at(0),
		.part = 1,
		.slots = SLOTS,
		.held = daemon->held,
		.got = daemon->got,
		.turned_away = daemon->turned_away,
		.wanted = wanted,
		.rank = RANK,
	};

	daemon->turned_away = 0;
	return ask;
}

/* Asks and takes what is granted; -1 if the ask waits. */
static int ask_for(gc_places_t *places, int64_t ms, daemon_t *daemon,
		   uint32_t wanted)
{
	gc_place_ask_t ask = make_ask(daemon, wanted);
	gc_place_answer_t answer;

	if (!gc_places_ask(places, unit_at(ms), &ask, daemon, &answer))
		return -1;
	daemon->got += answer.granted;
	daemon->held += answer.granted;
	return (int)answer.granted;
}

/* The daemon whose ask that waited is answered, or NULL. */
static daemon_t *next(gc_places_t *places, int64_t ms, uint32_t *granted)
{
	gc_place_answer_t answer;
	daemon_t *daemon = gc_places_next(places, unit_at(ms), &answer);

	if (!daemon)
		return NULL;
	*granted = answer.granted;
	daemon->got += answer.granted;
	daemon->held += answer.granted;
	return daemon;
}

START_TEST(test_sum)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1};
	daemon_t two = {.id = 2};
	uint32_t granted;

	ck_assert_int_eq(ask_for(places, 0, &one, 3), 3);
	ck_assert_int_eq(ask_for(places, 1, &two, 3), 1);
	ck_assert_int_eq(ask_for(places, 2, &two, 3), -1);
	ck_assert_ptr_null(next(places, 3, &granted));
	one.held = 2;
	ck_assert_int_eq(ask_for(places, 4, &one, 0), 0);
	ck_assert_ptr_eq(next(places, 4, &granted), &two);
	ck_assert_uint_eq(granted, 1);
	ck_assert_ptr_null(next(places, 4, &granted));
	talloc_free(places);
}
END_TEST

/* What was sent before its daemon knew counts, too. */
START_TEST(test_sent_without)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1, .held = SLOTS + 3};
	daemon_t two = {.id = 2};

	ck_assert_int_eq(ask_for(places, 0, &one, 0), 0);
	ck_assert_int_eq(ask_for(places, 1, &two, 1), -1);
	talloc_free(places);
}
END_TEST

START_TEST(test_wait_ends)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1};
	daemon_t two = {.id = 2};
	uint32_t granted;

	ask_for(places, 0, &one, SLOTS);
	ck_assert_int_eq(ask_for(places, 0, &two, 1), -1);
	ck_assert_ptr_null(next(places, GC_PLACE_WAIT_MS - 1, &granted));
	ck_assert_ptr_eq(next(places, GC_PLACE_WAIT_MS, &granted), &two);
	ck_assert_uint_eq(granted, 0);
	ck_assert_int_eq(ask_for(places, 50, &two, 1), -1);
	gc_places_cancel(places, &two);
	ck_assert_ptr_null(next(places, 100, &granted));
	talloc_free(places);
}
END_TEST

/* The wait after a denial grows with the asks, but what may have run doesn't wait
 * longer because of what hasn't. */
START_TEST(test_wait_of_ranks)
{
	static const int64_t first_wait_ms = 5;
	gc_places_t *places = gc_places_create(NULL);
	daemon_t holder = {.id = 1};
	daemon_t other = {.id = 2};
	daemon_t begun = {.id = 3};
	gc_place_answer_t answer;
	gc_place_ask_t ask;

	ask_for(places, 0, &holder, SLOTS);
	for (int64_t ms = 0; ms < 1000; ms++) {
		ask = make_ask(&other, 1);
		ck_assert(!gc_places_ask(places, unit_at(ms), &ask, &other,
					 &answer));
		while (gc_places_next(places, unit_at(ms), &answer))
			continue;
	}
	while (gc_places_next(places, unit_at(1100), &answer))
		ck_assert_int_gt(answer.wait_ms, first_wait_ms);
	ask = make_ask(&begun, 1);
	ask.rank = GC_PERMIT_RANK_BEGUN;
	ck_assert(!gc_places_ask(places, unit_at(1100), &ask, &begun, &answer));
	ck_assert_ptr_eq(gc_places_next(places, unit_at(1200), &answer),
			 &begun);
	ck_assert_uint_eq(answer.granted, 0);
	ck_assert_int_eq(answer.wait_ms, first_wait_ms);
	talloc_free(places);
}
END_TEST

START_TEST(test_rank_order)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t holder = {.id = 1};
	daemon_t daemons[20];
	uint32_t granted;
	gc_place_answer_t answer;

	ask_for(places, 0, &holder, SLOTS);
	for (unsigned int i = 0; i < 20; i++) {
		gc_place_ask_t ask;

		daemons[i] = (daemon_t){.id = i + 2};
		ask = make_ask(&daemons[i], 1);
		ask.rank = i == 12 ? GC_PERMIT_RANK_BEGUN : RANK;
		ck_assert(!gc_places_ask(places, unit_at(i), &ask, &daemons[i],
					 &answer));
	}
	holder.held--;
	ask_for(places, 20, &holder, 0);
	ck_assert_ptr_eq(next(places, 20, &granted), &daemons[12]);
	ck_assert_uint_eq(granted, 1);
	talloc_free(places);
}
END_TEST

/* A request turned away while no more than the places were in flight. */
START_TEST(test_fewer_after_refusal)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1};

	ck_assert_int_eq(ask_for(places, 0, &one, SLOTS), SLOTS);
	ask_for(places, 1400, &one, 0);
	one.held = SLOTS - 1;
	one.turned_away = 1;
	ask_for(places, 1500, &one, 0);
	ck_assert_int_eq(ask_for(places, 1600, &one, 1), -1);
	gc_places_cancel(places, &one);
	one.held = 0;
	ck_assert_int_eq(ask_for(places, 1700, &one, SLOTS), SLOTS - 1);
	talloc_free(places);
}
END_TEST

/* After a second without a refusal there is a place more, up to the slots. */
START_TEST(test_restored)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1};

	ask_for(places, 0, &one, SLOTS);
	ask_for(places, 1400, &one, 0);
	one.held = SLOTS - 1;
	one.turned_away = 1;
	ask_for(places, 1500, &one, 0);
	ck_assert_int_eq(ask_for(places, 2400, &one, 1), -1);
	gc_places_cancel(places, &one);
	ck_assert_int_eq(ask_for(places, 2600, &one, 1), -1);
	gc_places_cancel(places, &one);
	ck_assert_int_eq(ask_for(places, 2610, &one, 1), 1);
	talloc_free(places);
}
END_TEST

/* Half of what lets the server fall was turned away. */
START_TEST(test_stop)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1, .turned_away = 2};

	ask_for(places, 0, &one, 0);
	ck_assert_int_eq(ask_for(places, 990, &one, 1), -1);
	gc_places_cancel(places, &one);
	ck_assert_int_eq(ask_for(places, 1010, &one, 1), 1);
	talloc_free(places);
}
END_TEST

START_TEST(test_dead_daemon)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t dead = {.id = 1};
	daemon_t one = {.id = 2};

	ask_for(places, 0, &dead, SLOTS);
	ck_assert_int_eq(ask_for(places, 1400, &one, 1), -1);
	gc_places_cancel(places, &one);
	ck_assert_int_eq(ask_for(places, 1600, &one, SLOTS), SLOTS);
	talloc_free(places);
}
END_TEST

/* Asks overtake each other, and answers are lost. */
START_TEST(test_order)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1};
	daemon_t two = {.id = 2};
	gc_place_ask_t old = make_ask(&one, 0);
	gc_place_answer_t answer;

	ck_assert_int_eq(ask_for(places, 0, &one, SLOTS), SLOTS);
	gc_places_ask(places, unit_at(1), &old, NULL, &answer);
	ck_assert_int_eq(ask_for(places, 2, &two, 1), -1);
	gc_places_cancel(places, &two);
	/* The report was sent before the answer arrived. */
	one.held = 0;
	one.got = 0;
	ask_for(places, 3, &one, 0);
	ck_assert_int_eq(ask_for(places, 4, &two, 1), -1);
	gc_places_cancel(places, &two);
	ask_for(places, 600, &one, 0);
	ck_assert_int_eq(ask_for(places, 600, &two, 1), 1);
	talloc_free(places);
}
END_TEST

/* A daemon that restarted, perhaps with its host, counts on from elsewhere. */
START_TEST(test_restarted_daemon)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t old = {.id = 1, .number = 1000};
	daemon_t restarted = {.id = 1, .held = SLOTS - 1};
	daemon_t two = {.id = 2};

	ck_assert_int_eq(ask_for(places, 0, &old, 2), 2);
	ask_for(places, 2000, &restarted, 0);
	ck_assert_int_eq(ask_for(places, 2001, &two, 2), 1);
	talloc_free(places);
}
END_TEST

/* The daemon got places from another issuer meanwhile. */
START_TEST(test_got_elsewhere)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1};
	daemon_t two = {.id = 2};

	ck_assert_int_eq(ask_for(places, 0, &one, 1), 1);
	one.got += 2;
	one.held = SLOTS - 1;
	ask_for(places, 1, &one, 0);
	ck_assert_int_eq(ask_for(places, 2, &two, 2), 1);
	talloc_free(places);
}
END_TEST

/* An issuer that follows another one doesn't know yet what others hold. */
START_TEST(test_follows_another_issuer)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1, .got = 20};

	ck_assert_int_eq(ask_for(places, 0, &one, SLOTS), SLOTS / 2);
	ck_assert_int_eq(ask_for(places, 400, &one, 1), -1);
	gc_places_cancel(places, &one);
	ck_assert_int_eq(ask_for(places, 501, &one, SLOTS), SLOTS / 2);
	talloc_free(places);
}
END_TEST

START_TEST(test_end)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1};
	daemon_t two = {.id = 2};
	gc_place_ask_t ask;
	gc_place_answer_t answer;

	ask_for(places, 0, &one, SLOTS);
	ck_assert_int_eq(ask_for(places, 1, &two, 1), -1);
	ask = make_ask(&one, 0);
	ask.brittle = GC_NOT_BRITTLE;
	ask.brittle_at = unit_at(10);
	ck_assert(gc_places_ask(places, unit_at(10), &ask, NULL, &answer));
	ck_assert_ptr_eq(gc_places_next(places, unit_at(10), &answer), &two);
	ck_assert(answer.brittle == GC_NOT_BRITTLE);
	/* What is older doesn't count. */
	ask = make_ask(&one, 1);
	ck_assert(gc_places_ask(places, unit_at(20), &ask, NULL, &answer));
	ck_assert(answer.brittle == GC_NOT_BRITTLE);
	talloc_free(places);
}
END_TEST

/* The second issuer, while the first one can't be reached. */
START_TEST(test_part)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1};
	int total = 0;

	for (int64_t ms = 0; ms < 10000; ms += 20) {
		gc_place_ask_t ask = make_ask(&one, 1);
		gc_place_answer_t answer;

		ask.part = 0.25;
		ck_assert(gc_places_ask(places, unit_at(ms), &ask, NULL,
					&answer));
		one.got += answer.granted;
		total += (int)answer.granted;
	}
	/* A quarter of the places, each for a second. */
	ck_assert_int_ge(total, 8);
	ck_assert_int_le(total, 10);
	talloc_free(places);
}
END_TEST

/* Daemons of an older build ask for nothing and send all the same. */
START_TEST(test_room_for_those_that_do_not_ask)
{
	gc_places_t *places = gc_places_create(NULL);
	daemon_t one = {.id = 1};

	gc_places_set_asking_part(places, 0.5);
	ck_assert_int_eq(ask_for(places, 0, &one, SLOTS), SLOTS / 2);
	/* They may be turned away as well. */
	one.held--;
	one.turned_away = (uint32_t)(BRITTLE / 4) + 1;
	ck_assert_int_eq(ask_for(places, 10, &one, 1), -1);
	gc_places_cancel(places, &one);
	ck_assert_int_eq(ask_for(places, 1010, &one, 1), 1);
	/* One place is left to those that ask. */
	gc_places_set_asking_part(places, 0.01);
	one.held = 0;
	ck_assert_int_eq(ask_for(places, 2000, &one, SLOTS), 1);
	talloc_free(places);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_sum,
		test_sent_without,
		test_wait_ends,
		test_wait_of_ranks,
		test_rank_order,
		test_fewer_after_refusal,
		test_restored,
		test_stop,
		test_dead_daemon,
		test_order,
		test_restarted_daemon,
		test_got_elsewhere,
		test_follows_another_issuer,
		test_end,
		test_part,
		test_room_for_those_that_do_not_ask,
		NULL,
	};

	return unit_run("places", tests);
}
