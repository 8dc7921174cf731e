/*
 * Guards against callers that get neither an answer nor a refusal: by a last answer that
 * comes when the time that they named is over, and by limits of single steps that are
 * longer than the time that the request has.
 */
#include "core/request_time.h"
#include "regress/unit.h"

#define ROUTE_MS      9000
#define ROUND_TRIP_MS 6

/* The answer leaves a round trip before the end: one way for the request, which was on its
 * way before its time began here, and one for the answer. */
START_TEST(test_last_answer_arrives_in_the_callers_time)
{
	for (int64_t deadline_ms = 1; deadline_ms < 2 * ROUTE_MS;
	     deadline_ms += 7) {
		gc_request_time_t time =
			gc_request_time(ROUTE_MS, deadline_ms, ROUND_TRIP_MS);

		ck_assert_int_le(time.limit_ms, ROUTE_MS);
		ck_assert_int_le(time.limit_ms, deadline_ms);
		ck_assert_int_le(time.last_answer_ms, deadline_ms);
		ck_assert_int_ge(time.last_answer_ms, deadline_ms < ROUTE_MS
							      ? deadline_ms / 2
							      : ROUTE_MS / 2);
		if (deadline_ms >= 8 * ROUND_TRIP_MS)
			ck_assert_int_le(time.last_answer_ms,
					 deadline_ms - ROUND_TRIP_MS);
	}
}
END_TEST

START_TEST(test_no_time_is_given_up_without_need)
{
	gc_request_time_t time =
		gc_request_time(ROUTE_MS, GC_NO_DEADLINE, ROUND_TRIP_MS);

	ck_assert_int_eq(time.limit_ms, ROUTE_MS);
	ck_assert_int_gt(time.last_answer_ms, ROUTE_MS);
	/* The caller waits longer than the route allows for. */
	time = gc_request_time(ROUTE_MS, 3 * ROUTE_MS, ROUND_TRIP_MS);
	ck_assert_int_eq(time.limit_ms, ROUTE_MS);
	ck_assert_int_gt(time.last_answer_ms, ROUTE_MS);
	time = gc_request_time(ROUTE_MS, 1000, ROUND_TRIP_MS);
	ck_assert_int_eq(time.limit_ms, 1000);
	ck_assert_int_ge(time.last_answer_ms, 950);
	/* What has begun goes on while its caller waits. */
	ck_assert_int_ge(time.end_ms, 1000);
}
END_TEST

/* A far caller, whose round trip is longer than the rest of the margin. */
START_TEST(test_far_callers_get_their_answer_earlier)
{
	gc_request_time_t far = gc_request_time(ROUTE_MS, 1000, 160);

	ck_assert_int_le(far.last_answer_ms, 840);
	ck_assert_int_ge(far.last_answer_ms, 750);
	/* A round trip that was measured wrong doesn't take all of the time. */
	far = gc_request_time(ROUTE_MS, 1000, 60000);
	ck_assert_int_ge(far.last_answer_ms, 750);
}
END_TEST

START_TEST(test_a_step_leaves_time_for_the_next_one)
{
	ck_assert_int_eq(gc_share_of_time_ms(1000, 950, 0.5, 100), 475);
	ck_assert_int_eq(gc_share_of_time_ms(150, 950, 0.5, 100), 150);
	ck_assert_int_eq(gc_share_of_time_ms(1000, 9000, 0.5, 100), 1000);
}
END_TEST

START_TEST(test_a_step_has_the_time_that_a_sound_peer_needs)
{
	ck_assert_int_eq(gc_share_of_time_ms(1000, 120, 0.5, 100), 100);
	ck_assert_int_eq(gc_share_of_time_ms(1000, -50, 0.5, 100), 100);
	ck_assert_int_eq(gc_share_of_time_ms(60, 120, 0.5, 100), 60);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_last_answer_arrives_in_the_callers_time,
		test_no_time_is_given_up_without_need,
		test_far_callers_get_their_answer_earlier,
		test_a_step_leaves_time_for_the_next_one,
		test_a_step_has_the_time_that_a_sound_peer_needs,
		NULL,
	};

	return unit_run("request_time", tests);
}
