/*
 * Guards against requests that reach a version which a roll-out keeps from them: a
 * barred one, or the target when they weren't selected for it, also if no other
 * server is left; and against daemons that judge a version at different servers.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "core/backends.h"
#include "regress/unit.h"

#define N_OLD	  4
#define N_NEW	  6
#define N_SERVERS (N_OLD + N_NEW)
#define SERVICE	  GC_STR_LIT("s")
#define OLD	  GC_STR_LIT("v1")
#define NEW	  GC_STR_LIT("v2")
#define KEY	  7

static gc_backends_t *create_backends(size_t n_old, size_t rank);
static gc_backend_t *choose(gc_backends_t *backends,
			    const gc_backend_set_t *avoid);
static bool chooses_only(gc_backends_t *backends, const gc_backend_set_t *avoid,
			 gc_str_t version);
static gc_backend_t *judged(gc_backends_t *backends, size_t n);

static char names[N_SERVERS][8];
static char addresses[N_SERVERS][24];

/* Old servers o0, o1... and new ones n0, n1... */
static gc_backends_t *create_backends(size_t n_old, size_t rank)
{
	static uint64_t state = 1;
	static gc_random_t random = {unit_next_random, &state};
	gc_backends_conf_t conf = {.failure_domain = GC_STR_LIT("a"),
				   .random = &random,
				   .repeat_ratio = 0.8,
				   .repeat_slack = 100,
				   .repeat_window_ms = 10000};
	gc_backends_t *backends = gc_backends_create(NULL, &conf);
	gc_registry_entry_t servers[N_SERVERS];

	for (size_t i = 0; i < n_old + N_NEW; i++) {
		bool is_new = i < N_NEW;

		snprintf(names[i], sizeof(names[i]), "%c%zu",
			 is_new ? 'n' : 'o', i);
		snprintf(addresses[i], sizeof(addresses[i]), "127.0.0.1:%zu",
			 1000 + i);
		servers[i] =
			(gc_registry_entry_t){.id = gc_str(names[i]),
					      .service = SERVICE,
					      .address = gc_str(addresses[i]),
					      .failure_domain = GC_STR_LIT("a"),
					      .version = is_new ? NEW : OLD,
					      .slots = 8,
					      .started_ms = 1};
	}
	gc_backends_sync(backends, servers, n_old + N_NEW,
			 &(gc_daemon_rank_t){rank, 4, rank, 4});
	return backends;
}

static gc_backend_t *choose(gc_backends_t *backends,
			    const gc_backend_set_t *avoid)
{
	return gc_backends_choose(backends, unit_at(0), SERVICE, avoid);
}

/* By each way in which a server is chosen. */
static bool chooses_only(gc_backends_t *backends, const gc_backend_set_t *avoid,
			 gc_str_t version)
{
	gc_backend_t *candidates[GC_CANDIDATES_MAX];
	size_t n = gc_backends_candidates(backends, unit_at(0), SERVICE, NULL,
					  avoid, candidates, GC_CANDIDATES_MAX);
	gc_backend_t *usable =
		gc_backends_choose_usable(backends, unit_at(0), SERVICE, avoid);

	for (size_t i = 0; i < n; i++)
		if (!gc_str_eq(gc_backend_version(candidates[i]), version))
			return false;
	return n > 0 && usable &&
	       gc_str_eq(gc_backend_version(usable), version) &&
	       gc_str_eq(gc_backend_version(choose(backends, avoid)), version);
}

static gc_backend_t *judged(gc_backends_t *backends, size_t n)
{
	return gc_backends_nth_judged(backends, unit_at(0), SERVICE, NEW, KEY,
				      n);
}

START_TEST(test_version_is_left_out)
{
	gc_backends_t *backends = create_backends(N_OLD, 0);
	gc_backend_set_t avoid = {.not_version = NEW};

	ck_assert(chooses_only(backends, &avoid, OLD));
	avoid = (gc_backend_set_t){.not_version = OLD};
	ck_assert(chooses_only(backends, &avoid, NEW));
	talloc_free(backends);
}
END_TEST

START_TEST(test_barred_versions_are_left_out)
{
	gc_backends_t *backends = create_backends(N_OLD, 0);
	gc_str_t barred[] = {GC_STR_LIT("v0"), OLD};
	gc_backend_set_t avoid = {.barred = barred, .n_barred = 2};

	ck_assert(chooses_only(backends, &avoid, NEW));
	barred[0] = NEW;
	ck_assert_ptr_null(choose(backends, &avoid));
	/* A stream stays at its version unless that is barred. */
	avoid.only_version = OLD;
	ck_assert_ptr_null(choose(backends, &avoid));
	talloc_free(backends);
}
END_TEST

START_TEST(test_target_is_no_last_resort)
{
	gc_backends_t *backends = create_backends(0, 0);
	gc_backend_set_t avoid = {.not_version = NEW};
	gc_backend_t *candidate;

	ck_assert_ptr_null(choose(backends, &avoid));
	ck_assert_uint_eq(gc_backends_candidates(backends, unit_at(0), SERVICE,
						 NULL, &avoid, &candidate, 1),
			  0);
	ck_assert(!gc_backends_has_full(backends, unit_at(0), SERVICE, &avoid));
	talloc_free(backends);
}
END_TEST

START_TEST(test_daemons_judge_the_same_servers)
{
	gc_backends_t *first = create_backends(N_OLD, 0);
	gc_backends_t *second = create_backends(N_OLD, 3);

	ck_assert_uint_eq(gc_backends_count_sound(first, unit_at(0), SERVICE,
						  NEW),
			  N_NEW);
	for (size_t i = 0; i < N_NEW; i++) {
		ck_assert(gc_str_eq(gc_backend_id(judged(first, i)),
				    gc_backend_id(judged(second, i))));
		ck_assert(i == 0 || judged(first, i) != judged(first, i - 1));
	}
	ck_assert_ptr_eq(judged(first, N_NEW), judged(first, N_NEW - 1));
	talloc_free(first);
	talloc_free(second);
}
END_TEST

START_TEST(test_only_judged_servers_are_chosen)
{
	gc_backends_t *backends = create_backends(N_OLD, 0);
	gc_backend_set_t avoid = {.only_version = NEW, .judged_key = KEY};
	gc_backend_t *candidates[GC_CANDIDATES_MAX];

	avoid.last_judged = judged(backends, 1);
	ck_assert_uint_eq(gc_backends_candidates(backends, unit_at(0), SERVICE,
						 NULL, &avoid, candidates,
						 GC_CANDIDATES_MAX),
			  2);
	for (size_t i = 0; i < 2; i++)
		ck_assert(candidates[i] == judged(backends, 0) ||
			  candidates[i] == judged(backends, 1));
	/* An ejected one is replaced by the next. */
	gc_backend_eject(candidates[0], unit_at(0));
	ck_assert_ptr_ne(judged(backends, 0), candidates[0]);
	ck_assert_ptr_ne(judged(backends, 1), candidates[0]);
	talloc_free(backends);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_version_is_left_out,
		test_barred_versions_are_left_out,
		test_target_is_no_last_resort,
		test_daemons_judge_the_same_servers,
		test_only_judged_servers_are_chosen,
		NULL,
	};

	return unit_run("rollout_split", tests);
}
