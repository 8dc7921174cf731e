/*
 * Guards against requests that stay queued for ever, refusals without a retry
 * time, an account that crowds out others by flooding the queue, and retries
 * that multiply the load.
 */
#include <check.h>
#include <stdlib.h>

#include "core/admission.h"

/* A request and the callbacks it received. */
typedef struct request {
	gc_admission_ticket_t *ticket;
	gc_admission_result_t result;
	int64_t retry_after_ms;
	int granted;
	int expired;
} request_t;

static struct timespec test_now(void *ctx);
static uint64_t next_random(void *ctx);
static void on_granted(void *ctx);
static void on_expired(void *ctx, int64_t retry_after_ms);
static gc_admission_t *create_admission(uint32_t max_in_flight,
					uint32_t max_queued);
static void request_admission(gc_admission_t *admission,
			      const gc_account_t *account, request_t *request);

static int64_t now_ms;
static uint64_t random_state;
static const gc_clock_t test_clock = {test_now, test_now, NULL};
static const gc_random_t random_source = {next_random, NULL};
static const gc_admission_ops_t ops = {on_granted, on_expired};
static const gc_account_t small = {.name = GC_STR_LIT("small"), .weight = 1};
static const gc_account_t large = {.name = GC_STR_LIT("large"), .weight = 3};

static struct timespec test_now(void *ctx)
{
	return (struct timespec){now_ms / 1000, now_ms % 1000 * 1000000};
}

/* SplitMix64. */
static uint64_t next_random(void *ctx)
{
	uint64_t z = (random_state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

static void on_granted(void *ctx)
{
	request_t *request = ctx;

	request->granted++;
}

static void on_expired(void *ctx, int64_t retry_after_ms)
{
	request_t *request = ctx;

	request->expired++;
	request->ticket = NULL;
	request->retry_after_ms = retry_after_ms;
}

static gc_admission_t *create_admission(uint32_t max_in_flight,
					uint32_t max_queued)
{
	gc_admission_conf_t conf = {.clock = &test_clock,
				    .random = &random_source,
				    .max_in_flight = max_in_flight,
				    .max_queued = max_queued,
				    .queue_ms = 1000};

	now_ms = 5000;
	return gc_admission_create(NULL, &conf);
}

static void request_admission(gc_admission_t *admission,
			      const gc_account_t *account, request_t *request)
{
	*request = (request_t){0};
	request->result = gc_admission_request(admission, account, &ops,
					       request, &request->ticket,
					       &request->retry_after_ms);
}

START_TEST(test_queue_and_refuse)
{
	gc_admission_t *admission = create_admission(1, 1);
	request_t r[3];

	for (int i = 0; i < 3; i++)
		request_admission(admission, &small, &r[i]);
	ck_assert_int_eq(r[0].result, GC_ADMISSION_GRANTED);
	ck_assert_int_eq(r[1].result, GC_ADMISSION_QUEUED);
	ck_assert_int_eq(r[2].result, GC_ADMISSION_REFUSED);
	ck_assert_ptr_null(r[2].ticket);
	ck_assert_int_gt(r[2].retry_after_ms, 0);
	gc_admission_release(r[0].ticket);
	ck_assert_int_eq(r[1].granted, 1);
	gc_admission_release(r[1].ticket);
	request_admission(admission, &small, &r[0]);
	ck_assert_int_eq(r[0].result, GC_ADMISSION_GRANTED);
	gc_admission_destroy(admission);
}
END_TEST

START_TEST(test_queue_time_is_bounded)
{
	gc_admission_t *admission = create_admission(1, 10);
	request_t r[3];

	request_admission(admission, &small, &r[0]);
	ck_assert_int_eq(gc_admission_expire(admission), -1);
	request_admission(admission, &small, &r[1]);
	now_ms += 400;
	request_admission(admission, &large, &r[2]);
	ck_assert_int_eq(gc_admission_expire(admission), 600);
	now_ms += 600;
	ck_assert_int_eq(gc_admission_expire(admission), 400);
	ck_assert_int_eq(r[1].expired, 1);
	ck_assert_int_gt(r[1].retry_after_ms, 0);
	ck_assert_int_eq(r[2].expired, 0);
	gc_admission_release(r[2].ticket);
	ck_assert_int_eq(gc_admission_expire(admission), -1);
	gc_admission_release(r[0].ticket);
	ck_assert_int_eq(r[1].granted + r[2].granted, 0);
	gc_admission_destroy(admission);
}
END_TEST

START_TEST(test_shares_by_weight)
{
	gc_admission_t *admission = create_admission(1, 200);
	request_t running;
	request_t s[80];
	request_t l[80];
	int n_small = 0;
	int n_large = 0;

	request_admission(admission, &small, &running);
	for (int i = 0; i < 80; i++)
		request_admission(admission, &small, &s[i]);
	for (int i = 0; i < 80; i++)
		request_admission(admission, &large, &l[i]);
	gc_admission_release(running.ticket);
	for (int i = 0; i < 40; i++) {
		if (n_small < 80 && s[n_small].granted)
			gc_admission_release(s[n_small++].ticket);
		else
			gc_admission_release(l[n_large++].ticket);
	}
	ck_assert_int_ge(n_small, 9);
	ck_assert_int_le(n_small, 11);
	ck_assert_int_eq(n_small + n_large, 40);
	gc_admission_destroy(admission);
}
END_TEST

/*
 * If one account fills the queue, its last request is evicted for another
 * account's first one.
 */
START_TEST(test_flood_is_evicted_from_full_queue)
{
	gc_admission_t *admission = create_admission(1, 4);
	request_t f[5];
	request_t other;

	for (int i = 0; i < 5; i++)
		request_admission(admission, &large, &f[i]);
	request_admission(admission, &small, &other);
	ck_assert_int_eq(other.result, GC_ADMISSION_QUEUED);
	ck_assert_int_eq(f[4].expired, 1);
	ck_assert_int_eq(f[1].expired + f[2].expired + f[3].expired, 0);
	gc_admission_destroy(admission);
}
END_TEST

START_TEST(test_account_limit)
{
	gc_account_t limited = {
		.name = GC_STR_LIT("limited"), .weight = 1, .max_in_flight = 1};
	gc_admission_t *admission = create_admission(3, 10);
	request_t r[3];

	request_admission(admission, &limited, &r[0]);
	request_admission(admission, &limited, &r[1]);
	request_admission(admission, &small, &r[2]);
	ck_assert_int_eq(r[0].result, GC_ADMISSION_GRANTED);
	ck_assert_int_eq(r[1].result, GC_ADMISSION_QUEUED);
	ck_assert_int_eq(r[2].result, GC_ADMISSION_GRANTED);
	gc_admission_release(r[0].ticket);
	ck_assert_int_eq(r[1].granted, 1);
	gc_admission_destroy(admission);
}
END_TEST

START_TEST(test_set_limit)
{
	gc_admission_t *admission = create_admission(0, 10);
	request_t r[3];

	for (int i = 0; i < 3; i++)
		request_admission(admission, &small, &r[i]);
	ck_assert_int_eq(r[0].result, GC_ADMISSION_QUEUED);
	gc_admission_set_limit(admission, 2);
	ck_assert_int_eq(r[0].granted + r[1].granted, 2);
	ck_assert_int_eq(r[2].granted, 0);
	/* Nothing is granted while more requests run than the new limit. */
	gc_admission_set_limit(admission, 1);
	gc_admission_release(r[0].ticket);
	ck_assert_int_eq(r[2].granted, 0);
	gc_admission_release(r[1].ticket);
	ck_assert_int_eq(r[2].granted, 1);
	gc_admission_destroy(admission);
}
END_TEST

/* Callers that are refused together must not retry together. */
START_TEST(test_retry_after_has_jitter)
{
	gc_admission_t *admission = create_admission(0, 0);
	int64_t least = INT64_MAX;
	int64_t most = 0;
	request_t r;

	for (int i = 0; i < 100; i++) {
		request_admission(admission, &small, &r);
		ck_assert_int_eq(r.result, GC_ADMISSION_REFUSED);
		if (r.retry_after_ms < least)
			least = r.retry_after_ms;
		if (r.retry_after_ms > most)
			most = r.retry_after_ms;
	}
	ck_assert_int_ge(least, 250);
	ck_assert_int_gt(most, 2 * least);
	gc_admission_destroy(admission);
}
END_TEST

START_TEST(test_retry_budget)
{
	gc_retry_budget_t budget = {.tokens_per_request = 0.125, .max = 2};
	int n = 0;

	ck_assert(!gc_retry_budget_withdraw(&budget));
	for (int i = 0; i < 800; i++) {
		gc_retry_budget_deposit(&budget);
		n += gc_retry_budget_withdraw(&budget);
	}
	ck_assert_int_eq(n, 100);
	for (int i = 0; i < 800; i++)
		gc_retry_budget_deposit(&budget);
	ck_assert(gc_retry_budget_withdraw(&budget));
	ck_assert(gc_retry_budget_withdraw(&budget));
	ck_assert(!gc_retry_budget_withdraw(&budget));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("admission");
	TCase *tcase = tcase_create("admission");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_queue_and_refuse);
	tcase_add_test(tcase, test_queue_time_is_bounded);
	tcase_add_test(tcase, test_shares_by_weight);
	tcase_add_test(tcase, test_flood_is_evicted_from_full_queue);
	tcase_add_test(tcase, test_account_limit);
	tcase_add_test(tcase, test_set_limit);
	tcase_add_test(tcase, test_retry_after_has_jitter);
	tcase_add_test(tcase, test_retry_budget);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
