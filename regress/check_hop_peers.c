/*
 * Failure: requests are passed on to daemons that can't run them: to this one, to
 * one without a listener for it, again and again to one that refuses; or a few
 * refusals hide the only daemon of a domain that would run them.
 */
#include <stdio.h>

#include "lib/hop_peers.h"
#include "regress/unit.h"

#define N_DAEMONS 9 /* a0 to a2, b0 to b2, c0 to c2 */

static const gc_str_t app = {"app", 3};

static char names[N_DAEMONS][8];
static char addresses[N_DAEMONS][24];
static gc_registry_entry_t daemons[N_DAEMONS];
static gc_fleet_view_t view;

/* For the daemon a0. */
static gc_hop_peers_t *create_peers(uint64_t *state)
{
	static const char *const domains[] = {"a", "b", "c"};
	static gc_random_t random;
	gc_backends_conf_t conf = {.failure_domain = GC_STR_LIT("a"),
				   .random = &random};
	gc_hop_peers_t *peers;

	random = (gc_random_t){unit_next_random, state};
	for (int i = 0; i < N_DAEMONS; i++) {
		snprintf(names[i], sizeof(names[i]), "%s%d", domains[i / 3],
			 i % 3);
		snprintf(addresses[i], sizeof(addresses[i]), "127.0.0.1:%d",
			 1000 + i);
		daemons[i] = (gc_registry_entry_t){
			.id = gc_str(names[i]),
			.address = GC_STR_LIT("127.0.0.1:9"),
			.forward_address = gc_str(addresses[i]),
			.failure_domain = gc_str(domains[i / 3]),
		};
	}
	view = (gc_fleet_view_t){.daemons = daemons, .n_daemons = N_DAEMONS};
	peers = gc_hop_peers_create(NULL, &conf, GC_STR_LIT("a0"));
	gc_hop_peers_set_view(peers, &view);
	return peers;
}

/* Asks daemons at this time until one of `takers` (comma-separated) is chosen;
 * returns the number that refused, or -1 if nobody is left. */
static int pass_on(gc_hop_peers_t *peers, int64_t ms, const char *takers)
{
	gc_backend_t *asked[N_DAEMONS];
	gc_backend_set_t avoid = {.list = asked, .n = 0};

	while (true) {
		gc_backend_t *daemon = gc_hop_peers_choose(
			peers, unit_at(ms), app, &avoid, avoid.n < 2);

		if (!daemon)
			return -1;
		if (strstr(takers, gc_backend_id(daemon).data)) {
			gc_backend_record_success(daemon);
			return (int)avoid.n;
		}
		gc_hop_peers_record_refusal(daemon, unit_at(ms));
		asked[avoid.n++] = daemon;
	}
}

START_TEST(test_all_but_this_one_and_those_without_a_listener_are_asked)
{
	uint64_t state = 1;
	gc_hop_peers_t *peers = create_peers(&state);
	gc_backend_t *asked[N_DAEMONS];
	gc_backend_set_t avoid = {.list = asked, .n = 0};
	gc_backend_t *daemon;

	daemons[4].forward_address = GC_STR_EMPTY;
	gc_hop_peers_set_view(peers, &view);
	while ((daemon = gc_hop_peers_choose(peers, unit_at(0), app, &avoid,
					     true)) != NULL) {
		ck_assert_str_ne(gc_backend_id(daemon).data, "a0");
		ck_assert_str_ne(gc_backend_id(daemon).data, "b1");
		/* The own failure domain first. */
		ck_assert_int_eq(gc_backend_id(daemon).data[0] == 'a',
				 avoid.n < 2);
		ck_assert_uint_lt(avoid.n, N_DAEMONS);
		asked[avoid.n++] = daemon;
	}
	ck_assert_uint_eq(avoid.n, N_DAEMONS - 2);
	talloc_free(peers);
}
END_TEST

START_TEST(test_requests_are_spread_by_what_is_in_flight)
{
	uint64_t state = 2;
	gc_hop_peers_t *peers = create_peers(&state);
	gc_backend_t *asked[N_DAEMONS] = {0};
	gc_backend_set_t none = {.n = 0};

	for (int i = 0; i < N_DAEMONS - 1; i++) {
		asked[i] = gc_hop_peers_choose(peers, unit_at(0), app, &none,
					       true);
		gc_backend_add_request(asked[i]);
		for (int j = 0; j < i; j++)
			ck_assert(asked[j] != asked[i]);
	}
	talloc_free(peers);
}
END_TEST

/* The others of a domain stay in choice when some of it refuse. */
START_TEST(test_the_only_daemon_that_reaches_servers_is_found)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		uint64_t state = seed;
		gc_hop_peers_t *peers = create_peers(&state);

		ck_assert_int_ge(pass_on(peers, 0, "c1"), 0);
		talloc_free(peers);
	}
}
END_TEST

START_TEST(test_those_that_refuse_are_asked_ever_less)
{
	uint64_t state = 3;
	gc_hop_peers_t *peers = create_peers(&state);
	int n_refusals = 0;
	int n_last = 0;

	/* Ten requests a second for 20 s. */
	for (int i = 0; i < 200; i++) {
		int n = pass_on(peers, i * 100, "c1");

		ck_assert_int_ge(n, 0);
		n_refusals += n;
		n_last += i >= 100 ? n : 0;
	}
	ck_assert_int_le(n_refusals, 100);
	ck_assert_int_le(n_last, 40);
	talloc_free(peers);
}
END_TEST

/* While all refuse, two are asked for each request, so that one whose links are
 * back is found. */
START_TEST(test_a_daemon_that_reaches_servers_again_is_found)
{
	uint64_t state = 4;
	gc_hop_peers_t *peers = create_peers(&state);
	int i = 0;

	for (int ms = 0; ms < 5000; ms += 100)
		ck_assert_int_eq(pass_on(peers, ms, ""), -1);
	while (pass_on(peers, 5000 + i * 100, "b2") < 0)
		ck_assert_int_lt(i++, 45);
	talloc_free(peers);
}
END_TEST

/* What a daemon can't run of one service, it may run of another. */
START_TEST(test_services_are_apart)
{
	uint64_t state = 5;
	gc_hop_peers_t *peers = create_peers(&state);
	gc_backend_set_t none = {.n = 0};

	ck_assert_int_eq(pass_on(peers, 0, ""), -1);
	ck_assert_ptr_nonnull(gc_hop_peers_choose(
		peers, unit_at(0), GC_STR_LIT("llm"), &none, false));
	ck_assert_ptr_null(
		gc_hop_peers_choose(peers, unit_at(0), app, &none, false));
	talloc_free(peers);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_all_but_this_one_and_those_without_a_listener_are_asked,
		test_requests_are_spread_by_what_is_in_flight,
		test_the_only_daemon_that_reaches_servers_is_found,
		test_those_that_refuse_are_asked_ever_less,
		test_a_daemon_that_reaches_servers_again_is_found,
		test_services_are_apart,
		NULL,
	};

	return unit_run("hop_peers", tests);
}
