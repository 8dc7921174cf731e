/*
 * Guards against a second run of a request that must be run at most once,
 * against telling the caller that a request was not run when it may have been,
 * and against more attempts than the operator allows.
 */
#include "core/attempts.h"
#include "regress/unit.h"

#define LEFT_MS 1000

static gc_retry_decision_t end_attempt(gc_attempts_t *attempts,
				       gc_attempt_end_t end);

static gc_retry_decision_t end_attempt(gc_attempts_t *attempts,
				       gc_attempt_end_t end)
{
	bool uses_budget;

	gc_attempts_count_sent(attempts);
	return gc_attempts_decide(attempts, end, LEFT_MS, &uses_budget);
}

START_TEST(test_non_idempotent_is_not_retried_if_it_may_have_run)
{
	const gc_route_t route = {.kind = GC_ROUTE_NON_IDEMPOTENT,
				  .max_attempts = 5};
	const gc_attempt_end_t ran[] = {GC_END_FAILED, GC_END_BROKEN,
					GC_END_CUT, GC_END_TIMED_OUT};

	for (size_t i = 0; i < 4; i++) {
		gc_attempts_t attempts = {.route = &route};
		gc_retry_decision_t decision = end_attempt(&attempts, ran[i]);

		ck_assert_int_ne(decision, GC_DECISION_RETRY);
		ck_assert_int_ne(decision, GC_DECISION_REFUSE);
		ck_assert_int_eq(gc_attempts_final_decision(&attempts),
				 GC_DECISION_FAIL);
	}
}
END_TEST

START_TEST(test_non_idempotent_is_retried_if_it_was_not_run)
{
	const gc_route_t route = {.kind = GC_ROUTE_NON_IDEMPOTENT,
				  .max_attempts = 2};
	gc_attempts_t attempts = {.route = &route};

	ck_assert_int_eq(end_attempt(&attempts, GC_END_UNREACHABLE),
			 GC_DECISION_RETRY);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_REFUSED),
			 GC_DECISION_RETRY);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_REPLACED),
			 GC_DECISION_REFUSE);
	ck_assert_uint_eq(attempts.sent, 2);
}
END_TEST

START_TEST(test_idempotent_is_retried_up_to_the_limit)
{
	const gc_route_t route = {.kind = GC_ROUTE_IDEMPOTENT,
				  .max_attempts = 2};
	gc_attempts_t attempts = {.route = &route};

	ck_assert_int_eq(end_attempt(&attempts, GC_END_BROKEN),
			 GC_DECISION_RETRY);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_BROKEN),
			 GC_DECISION_FAIL);
	attempts = (gc_attempts_t){.route = &route};
	ck_assert_int_eq(end_attempt(&attempts, GC_END_FAILED),
			 GC_DECISION_RETRY);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_FAILED),
			 GC_DECISION_FORWARD);
}
END_TEST

/* The operator's limit is on servers that may have run the request. */
START_TEST(test_refusals_do_not_count_once_it_may_have_run)
{
	const gc_route_t route = {.kind = GC_ROUTE_IDEMPOTENT,
				  .max_attempts = 2};
	const gc_route_t once = {.kind = GC_ROUTE_NON_IDEMPOTENT,
				 .max_attempts = 2};
	gc_attempts_t attempts = {.route = &route};

	ck_assert_int_eq(end_attempt(&attempts, GC_END_TIMED_OUT),
			 GC_DECISION_RETRY);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_REFUSED),
			 GC_DECISION_RETRY);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_TIMED_OUT),
			 GC_DECISION_FAIL);
	attempts = (gc_attempts_t){.route = &route};
	end_attempt(&attempts, GC_END_TIMED_OUT);
	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(end_attempt(&attempts, GC_END_REFUSED),
				 GC_DECISION_RETRY);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_REFUSED),
			 GC_DECISION_FAIL);
	/* Its caller can be told that it was not run. */
	attempts = (gc_attempts_t){.route = &route};
	end_attempt(&attempts, GC_END_REFUSED);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_REFUSED),
			 GC_DECISION_REFUSE);
	attempts = (gc_attempts_t){.route = &once};
	end_attempt(&attempts, GC_END_REFUSED);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_TIMED_OUT),
			 GC_DECISION_FAIL);
}
END_TEST

/* Those that turn away what a silent server has begun are no reason to end it. */
START_TEST(test_refusals_do_not_count_for_what_has_begun)
{
	const gc_route_t route = {
		.kind = GC_ROUTE_STREAM, .resumable = true, .max_attempts = 2};
	gc_attempts_t attempts = {.route = &route, .begun = true};

	end_attempt(&attempts, GC_END_TIMED_OUT);
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(end_attempt(&attempts, GC_END_REFUSED),
				 GC_DECISION_RETRY);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_TIMED_OUT),
			 GC_DECISION_FAIL);
}
END_TEST

START_TEST(test_lost_servers_of_a_stream_do_not_count)
{
	const gc_route_t route = {
		.kind = GC_ROUTE_STREAM, .resumable = true, .max_attempts = 2};
	gc_attempts_t attempts = {.route = &route};

	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(end_attempt(&attempts, i % 2 ? GC_END_CUT
							      : GC_END_BROKEN),
				 GC_DECISION_RETRY);
	ck_assert_int_eq(end_attempt(&attempts, GC_END_BROKEN),
			 GC_DECISION_FAIL);
}
END_TEST

/* Only the servers that may be sound and did not refuse count. */
START_TEST(test_lost_servers_and_refusals_of_a_stream_do_not_count)
{
	const gc_route_t route = {
		.kind = GC_ROUTE_STREAM, .resumable = true, .max_attempts = 2};
	const gc_attempt_end_t not_counted[] = {GC_END_BROKEN, GC_END_REFUSED,
						GC_END_REPLACED};

	for (size_t i = 0; i < 3; i++) {
		for (size_t j = 0; j < 3; j++) {
			gc_attempts_t attempts = {.route = &route};

			end_attempt(&attempts, GC_END_TIMED_OUT);
			end_attempt(&attempts, not_counted[i]);
			ck_assert_int_eq(end_attempt(&attempts, not_counted[j]),
					 GC_DECISION_RETRY);
			ck_assert_int_eq(end_attempt(&attempts,
						     GC_END_TIMED_OUT),
					 GC_DECISION_FAIL);
		}
	}
}
END_TEST

START_TEST(test_no_retry_without_time_left)
{
	const gc_route_t route = {.kind = GC_ROUTE_IDEMPOTENT,
				  .max_attempts = 9};
	gc_attempts_t attempts = {.route = &route};
	bool uses_budget;

	gc_attempts_count_sent(&attempts);
	ck_assert_int_eq(gc_attempts_decide(&attempts, GC_END_REFUSED, 1,
					    &uses_budget),
			 GC_DECISION_REFUSE);
	ck_assert(uses_budget);
	ck_assert_int_eq(gc_attempts_decide(&attempts, GC_END_UNREACHABLE, 1,
					    &uses_budget),
			 GC_DECISION_REFUSE);
	ck_assert(!uses_budget);
}
END_TEST

/* A silent server may not be left if its request could not go on. */
START_TEST(test_silent_server_is_left_only_for_another_attempt)
{
	const gc_route_t once = {.kind = GC_ROUTE_STREAM, .max_attempts = 4};
	const gc_route_t resumable = {
		.kind = GC_ROUTE_STREAM, .resumable = true, .max_attempts = 1};
	const gc_route_t resumable_twice = {
		.kind = GC_ROUTE_STREAM, .resumable = true, .max_attempts = 2};
	const gc_route_t idempotent = {.kind = GC_ROUTE_IDEMPOTENT,
				       .max_attempts = 2};
	gc_attempts_t attempts = {.route = &once};

	gc_attempts_count_sent(&attempts);
	ck_assert(!gc_attempts_may_leave(&attempts, LEFT_MS));
	attempts = (gc_attempts_t){.route = &resumable};
	gc_attempts_count_sent(&attempts);
	ck_assert(!gc_attempts_may_leave(&attempts, LEFT_MS));
	attempts.route = &resumable_twice;
	ck_assert(gc_attempts_may_leave(&attempts, LEFT_MS));
	ck_assert(!gc_attempts_may_leave(&attempts, 1));
	ck_assert_int_eq(end_attempt(&attempts, GC_END_TIMED_OUT),
			 GC_DECISION_FAIL);
	attempts = (gc_attempts_t){.route = &idempotent};
	end_attempt(&attempts, GC_END_TIMED_OUT);
	gc_attempts_count_sent(&attempts);
	ck_assert(!gc_attempts_may_leave(&attempts, LEFT_MS));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_non_idempotent_is_not_retried_if_it_may_have_run,
		test_non_idempotent_is_retried_if_it_was_not_run,
		test_idempotent_is_retried_up_to_the_limit,
		test_refusals_do_not_count_once_it_may_have_run,
		test_refusals_do_not_count_for_what_has_begun,
		test_lost_servers_of_a_stream_do_not_count,
		test_lost_servers_and_refusals_of_a_stream_do_not_count,
		test_no_retry_without_time_left,
		test_silent_server_is_left_only_for_another_attempt,
		NULL,
	};

	return unit_run("attempts", tests);
}
