/*
 * Guards against a second run of what may run once, against a promise that a
 * request was not run though it may have, and against more attempts than the
 * operator allows.
 */
#include "core/attempts.h"
#include "regress/unit.h"

#define PLENTY_MS 1000

static gc_next_t end(gc_attempts_t *attempts, gc_attempt_end_t how);

static gc_next_t end(gc_attempts_t *attempts, gc_attempt_end_t how)
{
	bool repeat;

	gc_attempts_sent(attempts);
	return gc_attempts_end(attempts, how, PLENTY_MS, &repeat);
}

START_TEST(test_once_is_never_repeated_after_it_may_have_run)
{
	const gc_route_t route = {.kind = GC_ROUTE_ONCE, .max_attempts = 5};
	const gc_attempt_end_t ran[] = {GC_END_FAILED, GC_END_BROKEN,
					GC_END_SILENT};

	for (size_t i = 0; i < 3; i++) {
		gc_attempts_t attempts = {.route = &route};
		gc_next_t next = end(&attempts, ran[i]);

		ck_assert_int_ne(next, GC_NEXT_RETRY);
		ck_assert_int_ne(next, GC_NEXT_REFUSE);
		ck_assert_int_eq(gc_attempts_give_up(&attempts), GC_NEXT_FAIL);
	}
}
END_TEST

START_TEST(test_once_goes_on_if_it_surely_did_not_run)
{
	const gc_route_t route = {.kind = GC_ROUTE_ONCE, .max_attempts = 2};
	gc_attempts_t attempts = {.route = &route};

	ck_assert_int_eq(end(&attempts, GC_END_UNREACHED), GC_NEXT_RETRY);
	ck_assert_int_eq(end(&attempts, GC_END_REFUSED), GC_NEXT_RETRY);
	ck_assert_int_eq(end(&attempts, GC_END_MOVED), GC_NEXT_REFUSE);
	ck_assert_uint_eq(attempts.sent, 2);
}
END_TEST

START_TEST(test_idempotent_up_to_the_limit)
{
	const gc_route_t route = {.kind = GC_ROUTE_IDEMPOTENT,
				  .max_attempts = 2};
	gc_attempts_t attempts = {.route = &route};

	ck_assert_int_eq(end(&attempts, GC_END_BROKEN), GC_NEXT_RETRY);
	ck_assert_int_eq(end(&attempts, GC_END_BROKEN), GC_NEXT_FAIL);
	attempts = (gc_attempts_t){.route = &route};
	ck_assert_int_eq(end(&attempts, GC_END_FAILED), GC_NEXT_RETRY);
	ck_assert_int_eq(end(&attempts, GC_END_FAILED), GC_NEXT_PASS);
}
END_TEST

START_TEST(test_stream_outlives_lost_servers)
{
	const gc_route_t route = {
		.kind = GC_ROUTE_STREAM, .resumable = true, .max_attempts = 2};
	gc_attempts_t attempts = {.route = &route};

	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(end(&attempts, GC_END_BROKEN), GC_NEXT_RETRY);
	ck_assert_int_eq(end(&attempts, GC_END_BROKEN), GC_NEXT_FAIL);
}
END_TEST

START_TEST(test_no_attempt_without_time)
{
	const gc_route_t route = {.kind = GC_ROUTE_IDEMPOTENT,
				  .max_attempts = 9};
	gc_attempts_t attempts = {.route = &route};
	bool repeat;

	gc_attempts_sent(&attempts);
	ck_assert_int_eq(gc_attempts_end(&attempts, GC_END_REFUSED, 1, &repeat),
			 GC_NEXT_REFUSE);
	ck_assert(repeat);
	ck_assert_int_eq(gc_attempts_end(&attempts, GC_END_UNREACHED, 1,
					 &repeat),
			 GC_NEXT_REFUSE);
	ck_assert(!repeat);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_once_is_never_repeated_after_it_may_have_run,
		test_once_goes_on_if_it_surely_did_not_run,
		test_idempotent_up_to_the_limit,
		test_stream_outlives_lost_servers,
		test_no_attempt_without_time,
		NULL,
	};

	return unit_run("attempts", tests);
}
