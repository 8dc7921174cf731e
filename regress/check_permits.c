/* Permits: the sum over all daemons, what is used of a limit, and who gets it. */
#include <stdlib.h>

#include <glib.h>

#include "core/clock.h"
#include "core/permits.h"
#include "regress/unit.h"

#define SERVER	 1
#define WINDOW_S 4
#define RUN_MS	 40000

/* Daemons that ask one issuer; each waits as it was told. */
typedef struct fleet {
	gc_permits_t *permits;
	GRand *rand;
	int n_daemons;
	double limit;
	struct timespec limit_at;
	double part;
	int64_t *ask_at_ms; /* by daemon */
	GArray *sent_ms; /* when a request was sent */
	int n_denied;
} fleet_t;

static fleet_t fleet_create(int n_daemons, double limit)
{
	fleet_t fleet = {
		.permits = gc_permits_create(NULL),
		.rand = g_rand_new_with_seed(7),
		.n_daemons = n_daemons,
		.limit = limit,
		.limit_at = unit_at(0),
		.part = 1,
		.ask_at_ms = g_new0(int64_t, n_daemons),
		.sent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t)),
	};

	return fleet;
}

static void fleet_destroy(fleet_t *fleet)
{
	talloc_free(fleet->permits);
	g_rand_free(fleet->rand);
	g_free(fleet->ask_at_ms);
	g_array_unref(fleet->sent_ms);
}

/* A request comes to the daemon; the permit is used as late as it may be. */
static void request(fleet_t *fleet, int daemon, int64_t now_ms)
{
	gc_permit_ask_t ask = {
		.server = SERVER,
		.limit = fleet->limit,
		.limit_at = fleet->limit_at,
		.part = fleet->part,
		.wanted = 1,
		.rank = 3,
	};
	gc_permit_answer_t answer;

	if (now_ms < fleet->ask_at_ms[daemon])
		return;
	gc_permits_ask(fleet->permits, unit_at(now_ms), &ask, &answer);
	fleet->ask_at_ms[daemon] = now_ms + answer.wait_ms;
	fleet->n_denied += answer.granted == 0;
	if (answer.granted > 0) {
		int64_t sent_ms = now_ms + g_rand_int_range(fleet->rand, 0,
							    GC_PERMIT_VALID_MS);

		g_array_append_val(fleet->sent_ms, sent_ms);
	}
}

static int compare_ms(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

static guint most_in_window(GArray *sent_ms)
{
	const int64_t *ms = (const int64_t *)(const void *)sent_ms->data;
	guint first = 0;
	guint most = 0;

	qsort(sent_ms->data, sent_ms->len, sizeof(int64_t), compare_ms);
	for (guint i = 0; i < sent_ms->len; i++) {
		while (ms[first] <= ms[i] - WINDOW_S * 1000)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/* The platform's rule: half more than the limit, and five requests. */
static double allowed(double limit)
{
	return 1.5 * WINDOW_S * limit + 5;
}

/* Guards against daemons that send a server more than its limit together, and
 * against limits that aren't used. */
START_TEST(test_sum_over_daemons)
{
	static const int fleets[] = {1, 4, 15, 95, 300};
	static const double limits[] = {0, 0.2, 1, 5.2, 60};

	for (size_t f = 0; f < G_N_ELEMENTS(fleets); f++) {
		for (size_t l = 0; l < G_N_ELEMENTS(limits); l++) {
			/* The requests of one daemon alone are fewer. */
			for (int busy = 1; busy <= fleets[f]; busy += 14) {
				fleet_t fleet =
					fleet_create(fleets[f], limits[l]);
				double used;

				for (int64_t ms = 0; ms < RUN_MS; ms += 5)
					request(&fleet,
						g_rand_int_range(fleet.rand, 0,
								 busy),
						ms);
				used = fleet.sent_ms->len / (RUN_MS / 1000.0);
				ck_assert_msg(most_in_window(fleet.sent_ms) <=
						      allowed(limits[l]),
					      "%d of %d, limit %g: %u", busy,
					      fleets[f], limits[l],
					      most_in_window(fleet.sent_ms));
				if (limits[l] > 0.2 && limits[l] < 60)
					ck_assert_double_ge(used,
							    0.9 * limits[l]);
				ck_assert_int_le(fleet.n_denied,
						 80 * RUN_MS / 1000);
				fleet_destroy(&fleet);
			}
		}
	}
}
END_TEST

/* Guards against a sum above the limit while two daemons issue permits, because
 * one is lost or the lists of daemons differ. */
START_TEST(test_second_issuer)
{
	fleet_t first = fleet_create(15, 5.2);
	fleet_t second = fleet_create(15, 5.2);

	second.part = 0.25;
	for (int64_t ms = 0; ms < RUN_MS; ms += 5)
		request(g_rand_boolean(first.rand) ? &first : &second,
			g_rand_int_range(first.rand, 0, 15), ms);
	g_array_append_vals(first.sent_ms, second.sent_ms->data,
			    second.sent_ms->len);
	ck_assert_uint_le(most_in_window(first.sent_ms),
			  (guint)allowed(first.limit));
	fleet_destroy(&first);
	fleet_destroy(&second);
}
END_TEST

/* Guards against permits saved up under an older, higher limit or without one. */
START_TEST(test_limit_changes)
{
	gc_permits_t *permits = gc_permits_create(NULL);
	gc_permit_ask_t ask = {.server = SERVER,
			       .limit = 1000,
			       .limit_at = unit_at(0),
			       .part = 1,
			       .wanted = 0};
	gc_permit_answer_t answer;

	gc_permits_ask(permits, unit_at(0), &ask, &answer);
	ask.limit = 1;
	ask.limit_at = unit_at(2000);
	ask.wanted = 1000;
	gc_permits_ask(permits, unit_at(2010), &ask, &answer);
	ck_assert_uint_le(answer.granted, 3);
	ck_assert_double_eq(answer.limit, 1);
	ck_assert_int_gt(answer.wait_ms, 0);

	/* An older limit of another daemon changes nothing; it learns of the
	 * newer one. */
	ask.limit = 500;
	ask.limit_at = unit_at(1000);
	gc_permits_ask(permits, unit_at(2020), &ask, &answer);
	ck_assert_uint_eq(answer.granted, 0);
	ck_assert_double_eq(answer.limit, 1);

	ask.limit = GC_NO_LIMIT;
	ask.limit_at = unit_at(3000);
	gc_permits_ask(permits, unit_at(3000), &ask, &answer);
	ck_assert_double_eq(answer.limit, GC_NO_LIMIT);
	ask.limit = 2;
	ask.limit_at = unit_at(60000);
	gc_permits_ask(permits, unit_at(60000), &ask, &answer);
	ck_assert_uint_eq(answer.granted, 0);
	talloc_free(permits);
}
END_TEST

/* Requests that could not wait for a permit are made up for by later ones. */
START_TEST(test_debt)
{
	gc_permits_t *permits = gc_permits_create(NULL);
	gc_permit_ask_t ask = {.server = SERVER,
			       .limit = 2,
			       .limit_at = unit_at(0),
			       .part = 1,
			       .wanted = 1,
			       .sent_without = 4};
	gc_permit_answer_t answer;

	gc_permits_ask(permits, unit_at(0), &ask, &answer);
	ask.sent_without = 0;
	gc_permits_ask(permits, unit_at(2000), &ask, &answer);
	ck_assert_uint_eq(answer.granted, 0);
	gc_permits_ask(permits, unit_at(2600), &ask, &answer);
	ck_assert_uint_eq(answer.granted, 1);
	talloc_free(permits);
}
END_TEST

/* Asks of two kinds at each step; returns the permits that each kind got. */
static void compete(const gc_permit_ask_t kinds[2], int granted[2])
{
	gc_permits_t *permits = gc_permits_create(NULL);
	int64_t ask_at_ms[2] = {0, 0};

	granted[0] = granted[1] = 0;
	for (int64_t ms = 0; ms < RUN_MS; ms += 20) {
		for (int kind = 0; kind < 2; kind++) {
			gc_permit_ask_t ask = kinds[(kind + ms / 20) % 2];
			gc_permit_answer_t answer;
			int of = (int)((kind + ms / 20) % 2);

			if (ms < ask_at_ms[of])
				continue;
			gc_permits_ask(permits, unit_at(ms), &ask, &answer);
			granted[of] += (int)answer.granted;
			ask_at_ms[of] = ms + answer.wait_ms;
		}
	}
	talloc_free(permits);
}

/* Guards against permits that go to whoever asks first. */
START_TEST(test_begun_goes_first)
{
	gc_permit_ask_t kinds[2] = {{.server = SERVER,
				     .limit = 5,
				     .limit_at = unit_at(0),
				     .part = 1,
				     .wanted = 1,
				     .rank = GC_PERMIT_RANK_BEGUN}};
	int granted[2];

	kinds[1] = kinds[0];
	kinds[1].rank = 5;
	compete(kinds, granted);
	ck_assert_int_ge(granted[0], 9 * granted[1]);
}
END_TEST

/* Guards against an account that takes the limit because it asks for more. */
START_TEST(test_accounts_share)
{
	gc_permit_ask_t kinds[2] = {{.server = SERVER,
				     .limit = 5,
				     .limit_at = unit_at(0),
				     .part = 1,
				     .wanted = 4,
				     .rank = 3,
				     .account = 1}};
	int granted[2];

	kinds[1] = kinds[0];
	kinds[1].wanted = 1;
	kinds[1].account = 2;
	compete(kinds, granted);
	ck_assert_int_ge(granted[1] * 2, granted[0]);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_sum_over_daemons,
		test_second_issuer,
		test_limit_changes,
		test_debt,
		test_begun_goes_first,
		test_accounts_share,
		NULL,
	};

	return unit_run("permits", tests);
}
