/*
 * Load pattern: callers and servers that read slowly. A daemon that buffers for each of
 * them without a common bound runs out of memory, and one that ends the wrong
 * connections at the bound fails sound callers for the others.
 */
#include "core/held_bytes.h"
#include "regress/unit.h"

#define MAX_BYTES  24000000
#define N_ACCOUNTS 1000

static gc_held_account_t *add(gc_held_bytes_t *held, gc_held_part_t part,
			      size_t bytes, int64_t ms)
{
	gc_held_account_t *account = gc_held_account_create(held, held, NULL);

	gc_held_set(account, part, bytes, unit_at(ms));
	return account;
}

/* Ends accounts until the bound is kept, as the daemon does; returns their number. */
static unsigned int end_all(gc_held_bytes_t *held, int64_t ms)
{
	gc_held_account_t *account;
	unsigned int n = 0;

	while (gc_held_is_exceeded(held) &&
	       (account = gc_held_choose(held, unit_at(ms)))) {
		talloc_free(account);
		n++;
	}
	return n;
}

START_TEST(test_callers_that_read_nothing_go_sound_ones_stay)
{
	gc_held_bytes_t *held = gc_held_bytes_create(NULL, MAX_BYTES);
	gc_held_account_t *sound[20];

	for (int i = 0; i < 20; i++)
		sound[i] = add(held, GC_HELD_TO_CALLER, 60000, 0);
	for (int i = 0; i < N_ACCOUNTS; i++)
		add(held, GC_HELD_TO_CALLER, 30000, 0);
	for (int i = 0; i < 20; i++)
		gc_held_add_progress(sound[i], 500000, unit_at(2900));
	ck_assert_uint_eq(end_all(held, 3000), 600);
	ck_assert_uint_le(gc_held_total(held), MAX_BYTES / 100 * 55);
	for (int i = 0; i < 20; i++)
		ck_assert_uint_eq(gc_held_account_bytes(sound[i]), 60000);
	talloc_free(held);
}
END_TEST

START_TEST(test_a_byte_a_second_goes_after_nothing)
{
	gc_held_bytes_t *held = gc_held_bytes_create(NULL, 100000);
	gc_held_account_t *slow = add(held, GC_HELD_TO_CALLER, 50000, 0);
	gc_held_account_t *dead = add(held, GC_HELD_TO_CALLER, 40000, 0);

	for (int s = 1; s < 10; s++)
		gc_held_add_progress(slow, 1, unit_at(1000 * s));
	ck_assert_ptr_eq(gc_held_choose(held, unit_at(10000)), dead);
	talloc_free(dead);
	ck_assert(!gc_held_is_exceeded(held));
	add(held, GC_HELD_REQUEST, 60000, 10000);
	ck_assert(gc_held_is_exceeded(held));
	ck_assert_ptr_eq(gc_held_choose(held, unit_at(10000)), slow);
	talloc_free(held);
}
END_TEST

START_TEST(test_one_huge_upload_at_the_pace_of_its_caller_stays)
{
	gc_held_bytes_t *held = gc_held_bytes_create(NULL, 100000);
	gc_held_account_t *huge = add(held, GC_HELD_UPLOAD, 500000, 0);

	gc_held_add_progress(huge, 600000, unit_at(3000));
	ck_assert(gc_held_is_exceeded(held));
	ck_assert(!gc_held_has_room(held, 1));
	ck_assert_ptr_null(gc_held_choose(held, unit_at(3500)));
	ck_assert_ptr_eq(gc_held_choose(held, unit_at(9000)), huge);
	talloc_free(held);
}
END_TEST

/* A body that its server has taken waits for no peer, however large it is. */
START_TEST(test_servers_that_read_slowly_lose_their_requests)
{
	gc_held_bytes_t *held = gc_held_bytes_create(NULL, 1000000);
	gc_held_account_t *taken = add(held, GC_HELD_REQUEST, 900000, 0);
	gc_held_account_t *stuck = add(held, GC_HELD_REQUEST, 200000, 0);

	gc_held_set(taken, GC_HELD_TO_SERVER, 900000, unit_at(0));
	gc_held_set(taken, GC_HELD_TO_SERVER, 0, unit_at(200));
	gc_held_set(stuck, GC_HELD_TO_SERVER, 200000, unit_at(0));
	ck_assert_ptr_null(gc_held_choose(held, unit_at(400)));
	ck_assert_ptr_eq(gc_held_choose(held, unit_at(1100)), stuck);
	ck_assert_uint_eq(end_all(held, 1100), 1);
	ck_assert_ptr_null(gc_held_choose(held, unit_at(9000)));
	talloc_free(held);
}
END_TEST

START_TEST(test_bursts_under_the_bound_lose_nobody)
{
	gc_held_bytes_t *held = gc_held_bytes_create(NULL, MAX_BYTES);

	for (int burst = 0; burst < 5; burst++) {
		gc_held_account_t *accounts[200];

		for (int i = 0; i < 200; i++)
			accounts[i] = add(held, GC_HELD_TO_CALLER, 60000,
					  burst * 1000);
		ck_assert_uint_eq(end_all(held, burst * 1000 + 900), 0);
		for (int i = 0; i < 200; i++)
			talloc_free(accounts[i]);
	}
	ck_assert_uint_eq(gc_held_total(held), 0);
	ck_assert_ptr_null(gc_held_first_waiting(held));
	talloc_free(held);
}
END_TEST

/* Ending a caller because it was not scheduled for a moment would fail a sound one. */
START_TEST(test_a_short_wait_ends_nobody)
{
	gc_held_bytes_t *held = gc_held_bytes_create(NULL, 100000);
	gc_held_account_t *account = add(held, GC_HELD_TO_CALLER, 200000, 0);

	ck_assert_ptr_null(gc_held_choose(held, unit_at(499)));
	gc_held_set(account, GC_HELD_TO_CALLER, 0, unit_at(499));
	gc_held_set(account, GC_HELD_TO_CALLER, 200000, unit_at(500));
	ck_assert_ptr_null(gc_held_choose(held, unit_at(999)));
	ck_assert_ptr_eq(gc_held_choose(held, unit_at(1000)), account);
	talloc_free(held);
}
END_TEST

START_TEST(test_allowance_shrinks_from_the_soft_part_on)
{
	gc_held_bytes_t *held = gc_held_bytes_create(NULL, 1000000);
	gc_held_account_t *account = add(held, GC_HELD_RESPONSE, 300000, 0);

	ck_assert(!gc_held_is_pressed(held));
	ck_assert_uint_eq(gc_held_allowance(held), GC_HELD_FULL_ALLOWANCE);
	gc_held_set(account, GC_HELD_RESPONSE, 425000, unit_at(0));
	ck_assert(gc_held_is_pressed(held));
	ck_assert_uint_eq(gc_held_allowance(held), GC_HELD_FULL_ALLOWANCE / 2);
	gc_held_set(account, GC_HELD_RESPONSE, 550000, unit_at(0));
	ck_assert_uint_eq(gc_held_allowance(held), 0);
	talloc_free(held);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_callers_that_read_nothing_go_sound_ones_stay,
		test_a_byte_a_second_goes_after_nothing,
		test_one_huge_upload_at_the_pace_of_its_caller_stays,
		test_servers_that_read_slowly_lose_their_requests,
		test_bursts_under_the_bound_lose_nobody,
		test_a_short_wait_ends_nobody,
		test_allowance_shrinks_from_the_soft_part_on,
		NULL,
	};

	return unit_run("held_bytes", tests);
}
