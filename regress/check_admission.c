/*
 * Guards against requests that wait without end, refusals without a time to
 * come back, one account's flood at the cost of others, and retries that
 * multiply load.
 */
#include <check.h>
#include <stdlib.h>

#include "core/admission.h"

/* One request of a test. */
typedef struct probe {
	gc_admission_ticket_t *ticket;
	gc_admission_result_t result;
	int64_t retry_after_ms;
	int granted;
	int expired;
} probe_t;

static struct timespec test_now(void *ctx);
static uint64_t next_random(void *ctx);
static void on_granted(void *ctx);
static void on_expired(void *ctx, int64_t retry_after_ms);
static gc_admission_t *make(uint32_t max_in_flight, uint32_t max_queued);
static void ask(gc_admission_t *admit, const gc_account_t *account,
		probe_t *probe);

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
	probe_t *probe = ctx;

	probe->granted++;
}

static void on_expired(void *ctx, int64_t retry_after_ms)
{
	probe_t *probe = ctx;

	probe->expired++;
	probe->ticket = NULL;
	probe->retry_after_ms = retry_after_ms;
}

static gc_admission_t *make(uint32_t max_in_flight, uint32_t max_queued)
{
	gc_admission_conf_t conf = {.clock = &test_clock,
				    .random = &random_source,
				    .max_in_flight = max_in_flight,
				    .max_queued = max_queued,
				    .queue_ms = 1000};

	now_ms = 5000;
	return gc_admission_create(NULL, &conf);
}

static void ask(gc_admission_t *admit, const gc_account_t *account,
		probe_t *probe)
{
	*probe = (probe_t){0};
	probe->result =
		gc_admission_request(admit, account, &ops, probe,
				     &probe->ticket, &probe->retry_after_ms);
}

START_TEST(test_queue_and_refuse)
{
	gc_admission_t *admit = make(1, 1);
	probe_t p[3];

	for (int i = 0; i < 3; i++)
		ask(admit, &small, &p[i]);
	ck_assert_int_eq(p[0].result, GC_ADMISSION_NOW);
	ck_assert_int_eq(p[1].result, GC_ADMISSION_QUEUED);
	ck_assert_int_eq(p[2].result, GC_ADMISSION_REFUSED);
	ck_assert_ptr_null(p[2].ticket);
	ck_assert_int_gt(p[2].retry_after_ms, 0);
	gc_admission_release(p[0].ticket);
	ck_assert_int_eq(p[1].granted, 1);
	gc_admission_release(p[1].ticket);
	ask(admit, &small, &p[0]);
	ck_assert_int_eq(p[0].result, GC_ADMISSION_NOW);
	gc_admission_destroy(admit);
}
END_TEST

START_TEST(test_wait_is_bounded)
{
	gc_admission_t *admit = make(1, 10);
	probe_t p[3];

	ask(admit, &small, &p[0]);
	ck_assert_int_eq(gc_admission_expire(admit), -1);
	ask(admit, &small, &p[1]);
	now_ms += 400;
	ask(admit, &large, &p[2]);
	ck_assert_int_eq(gc_admission_expire(admit), 600);
	now_ms += 600;
	ck_assert_int_eq(gc_admission_expire(admit), 400);
	ck_assert_int_eq(p[1].expired, 1);
	ck_assert_int_gt(p[1].retry_after_ms, 0);
	ck_assert_int_eq(p[2].expired, 0);
	gc_admission_release(p[2].ticket);
	ck_assert_int_eq(gc_admission_expire(admit), -1);
	gc_admission_release(p[0].ticket);
	ck_assert_int_eq(p[1].granted + p[2].granted, 0);
	gc_admission_destroy(admit);
}
END_TEST

START_TEST(test_shares_by_weight)
{
	gc_admission_t *admit = make(1, 200);
	probe_t running;
	probe_t s[80];
	probe_t l[80];
	int n_small = 0;
	int n_large = 0;

	ask(admit, &small, &running);
	for (int i = 0; i < 80; i++)
		ask(admit, &small, &s[i]);
	for (int i = 0; i < 80; i++)
		ask(admit, &large, &l[i]);
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
	gc_admission_destroy(admit);
}
END_TEST

/* A flood must not fill the queue so that others are refused. */
START_TEST(test_flood_gives_way_in_the_queue)
{
	gc_admission_t *admit = make(1, 4);
	probe_t f[5];
	probe_t other;

	for (int i = 0; i < 5; i++)
		ask(admit, &large, &f[i]);
	ask(admit, &small, &other);
	ck_assert_int_eq(other.result, GC_ADMISSION_QUEUED);
	ck_assert_int_eq(f[4].expired, 1);
	ck_assert_int_eq(f[1].expired + f[2].expired + f[3].expired, 0);
	gc_admission_destroy(admit);
}
END_TEST

START_TEST(test_own_limit_of_an_account)
{
	gc_account_t limited = {
		.name = GC_STR_LIT("limited"), .weight = 1, .max_in_flight = 1};
	gc_admission_t *admit = make(3, 10);
	probe_t p[3];

	ask(admit, &limited, &p[0]);
	ask(admit, &limited, &p[1]);
	ask(admit, &small, &p[2]);
	ck_assert_int_eq(p[0].result, GC_ADMISSION_NOW);
	ck_assert_int_eq(p[1].result, GC_ADMISSION_QUEUED);
	ck_assert_int_eq(p[2].result, GC_ADMISSION_NOW);
	gc_admission_release(p[0].ticket);
	ck_assert_int_eq(p[1].granted, 1);
	gc_admission_destroy(admit);
}
END_TEST

START_TEST(test_set_limit)
{
	gc_admission_t *admit = make(0, 10);
	probe_t p[3];

	for (int i = 0; i < 3; i++)
		ask(admit, &small, &p[i]);
	ck_assert_int_eq(p[0].result, GC_ADMISSION_QUEUED);
	gc_admission_set_limit(admit, 2);
	ck_assert_int_eq(p[0].granted + p[1].granted, 2);
	ck_assert_int_eq(p[2].granted, 0);
	/* Above a lowered limit, nothing new is granted. */
	gc_admission_set_limit(admit, 1);
	gc_admission_release(p[0].ticket);
	ck_assert_int_eq(p[2].granted, 0);
	gc_admission_release(p[1].ticket);
	ck_assert_int_eq(p[2].granted, 1);
	gc_admission_destroy(admit);
}
END_TEST

/* Callers refused together must not come back together. */
START_TEST(test_retry_after_is_spread)
{
	gc_admission_t *admit = make(0, 0);
	int64_t least = INT64_MAX;
	int64_t most = 0;
	probe_t p;

	for (int i = 0; i < 100; i++) {
		ask(admit, &small, &p);
		ck_assert_int_eq(p.result, GC_ADMISSION_REFUSED);
		if (p.retry_after_ms < least)
			least = p.retry_after_ms;
		if (p.retry_after_ms > most)
			most = p.retry_after_ms;
	}
	ck_assert_int_ge(least, 250);
	ck_assert_int_gt(most, 2 * least);
	gc_admission_destroy(admit);
}
END_TEST

START_TEST(test_retry_budget)
{
	gc_retry_budget_t budget = {.tokens_per_request = 0.125, .max = 2};
	int n = 0;

	ck_assert(!gc_retry_budget_take(&budget));
	for (int i = 0; i < 800; i++) {
		gc_retry_budget_earn(&budget);
		n += gc_retry_budget_take(&budget);
	}
	ck_assert_int_eq(n, 100);
	for (int i = 0; i < 800; i++)
		gc_retry_budget_earn(&budget);
	ck_assert(gc_retry_budget_take(&budget));
	ck_assert(gc_retry_budget_take(&budget));
	ck_assert(!gc_retry_budget_take(&budget));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("admit");
	TCase *tcase = tcase_create("admit");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_queue_and_refuse);
	tcase_add_test(tcase, test_wait_is_bounded);
	tcase_add_test(tcase, test_shares_by_weight);
	tcase_add_test(tcase, test_flood_gives_way_in_the_queue);
	tcase_add_test(tcase, test_own_limit_of_an_account);
	tcase_add_test(tcase, test_set_limit);
	tcase_add_test(tcase, test_retry_after_is_spread);
	tcase_add_test(tcase, test_retry_budget);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
