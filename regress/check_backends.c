/*
 * Guards against bad distributions of load when failure domains are lost: all
 * daemons choosing a server that has just restarted, requests to a domain that
 * has just failed, copies that are lost with their run, retries that multiply
 * the load.
 */
#include <stdio.h>

#include <glib.h>

#include "core/backends.h"
#include "regress/unit.h"

#define PER_DOMAIN 4
#define N_SERVERS  (3 * PER_DOMAIN)

static gc_backends_t *create_backends(uint64_t *state);
static void init_servers(gc_registry_entry_t *servers);
static void sync_all(gc_backends_t *backends,
		     const gc_registry_entry_t *servers, size_t n);
static gc_backends_t *create_with_servers(uint64_t *state,
					  gc_registry_entry_t *servers);
static gc_backend_t *choose_at(gc_backends_t *backends, int64_t ms);
static gc_backend_t *find_backend(gc_backends_t *backends, const char *id);
static bool in_domain(const gc_backend_t *backend, const char *domain);

static char names[N_SERVERS][8];
static char addresses[N_SERVERS][24];

static gc_backends_t *create_backends(uint64_t *state)
{
	static gc_random_t random;
	gc_backends_conf_t conf = {.failure_domain = GC_STR_LIT("a"),
				   .random = &random,
				   .repeat_ratio = 0.8,
				   .repeat_slack = 100,
				   .repeat_window_ms = 10000};

	random = (gc_random_t){unit_next_random, state};
	return gc_backends_create(NULL, &conf);
}

/* Ids: a0 to a3, b0 to b3, c0 to c3. */
static void init_servers(gc_registry_entry_t *servers)
{
	static const char *const domains[] = {"a", "b", "c"};

	for (int i = 0; i < N_SERVERS; i++) {
		const char *domain = domains[i / PER_DOMAIN];

		snprintf(names[i], sizeof(names[i]), "%s%d", domain,
			 i % PER_DOMAIN);
		snprintf(addresses[i], sizeof(addresses[i]), "127.0.0.1:%d",
			 1000 + i);
		servers[i] =
			(gc_registry_entry_t){.id = gc_str(names[i]),
					      .service = GC_STR_LIT("s"),
					      .address = gc_str(addresses[i]),
					      .failure_domain = gc_str(domain),
					      .slots = 8,
					      .started_ms = 1};
	}
}

static void sync_all(gc_backends_t *backends,
		     const gc_registry_entry_t *servers, size_t n)
{
	gc_backends_sync(backends, servers, n, &(gc_daemon_rank_t){0, 2, 0, 4});
}

static gc_backends_t *create_with_servers(uint64_t *state,
					  gc_registry_entry_t *servers)
{
	gc_backends_t *backends = create_backends(state);

	init_servers(servers);
	sync_all(backends, servers, N_SERVERS);
	return backends;
}

static gc_backend_t *choose_at(gc_backends_t *backends, int64_t ms)
{
	return gc_backends_choose(backends, unit_at(ms), GC_STR_LIT("s"), NULL);
}

static gc_backend_t *find_backend(gc_backends_t *backends, const char *id)
{
	gc_backend_t *avoid[N_SERVERS];
	gc_backend_set_t set = {.list = avoid, .n = 0};
	gc_backend_t *backend;

	while ((backend = gc_backends_choose(backends, unit_at(0),
					     GC_STR_LIT("s"), &set)) != NULL) {
		if (strcmp(gc_backend_id(backend).data, id) == 0)
			return backend;
		avoid[set.n++] = backend;
	}
	return NULL;
}

static bool in_domain(const gc_backend_t *backend, const char *domain)
{
	return strcmp(gc_backend_domain(backend).data, domain) == 0;
}

START_TEST(test_idle_local_servers_are_chosen_first)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);

	for (int i = 0; i < PER_DOMAIN; i++) {
		gc_backend_t *backend = choose_at(backends, 0);

		ck_assert(in_domain(backend, "a"));
		ck_assert_uint_eq(gc_backend_in_flight(backend), 0);
		gc_backend_add_request(backend);
	}
	ck_assert(!in_domain(choose_at(backends, 0), "a"));
	talloc_free(backends);
}
END_TEST

/* Daemons don't know each other's requests. */
START_TEST(test_daemons_prefer_different_servers)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state[2] = {1, 2};
	gc_backend_t *first[2][2];

	init_servers(servers);
	for (size_t rank = 0; rank < 2; rank++) {
		gc_backends_t *backends = create_backends(&state[rank]);

		gc_backends_sync(backends, servers, N_SERVERS,
				 &(gc_daemon_rank_t){rank, 2, rank, 2});
		for (int i = 0; i < 2; i++) {
			first[rank][i] = choose_at(backends, 0);
			gc_backend_add_request(first[rank][i]);
		}
	}
	for (int i = 0; i < 2; i++)
		for (int j = 0; j < 2; j++)
			ck_assert_str_ne(gc_backend_id(first[0][i]).data,
					 gc_backend_id(first[1][j]).data);
}
END_TEST

/* With 36 servers, all daemons chose the one that had just restarted. */
START_TEST(test_restarted_server_is_not_chosen_by_all)
{
	gc_registry_entry_t servers[N_SERVERS];
	unsigned int chosen = 0;

	init_servers(servers);
	for (uint64_t seed = 0; seed < 20; seed++) {
		uint64_t state = seed;
		gc_backends_t *backends = create_backends(&state);

		sync_all(backends, servers, N_SERVERS - 1);
		for (int i = 0; i < N_SERVERS - 1; i++) {
			gc_backend_t *old = find_backend(backends, names[i]);

			gc_backend_record_failure(old, unit_at(-60000),
						  GC_END_BROKEN);
			gc_backend_record_success(old);
		}
		sync_all(backends, servers, N_SERVERS);
		chosen += strcmp(gc_backend_id(choose_at(backends, 0)).data,
				 names[N_SERVERS - 1]) == 0;
		talloc_free(backends);
	}
	ck_assert_uint_eq(chosen, 0);
}
END_TEST

START_TEST(test_failed_domain_is_avoided)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);

	gc_backend_record_failure(find_backend(backends, "a0"), unit_at(0),
				  GC_END_BROKEN);
	ck_assert(in_domain(choose_at(backends, 1), "a"));
	gc_backend_record_failure(find_backend(backends, "a1"), unit_at(1),
				  GC_END_TIMED_OUT);
	ck_assert(!in_domain(choose_at(backends, 2), "a"));
	ck_assert(in_domain(choose_at(backends, 3000), "a"));
	talloc_free(backends);
}
END_TEST

/* Repeated failures of one server don't indicate a failure of its domain. */
START_TEST(test_one_failing_server_does_not_eject_its_domain)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);
	gc_backend_t *failing;

	failing = find_backend(backends, "a0");
	for (int i = 0; i < 5; i++)
		gc_backend_record_failure(failing, unit_at(i), GC_END_BROKEN);
	ck_assert(in_domain(choose_at(backends, 5), "a"));
	ck_assert(!gc_backend_usable(failing, unit_at(3000)));
	ck_assert(gc_backend_usable(failing, unit_at(6000)));
	talloc_free(backends);
}
END_TEST

START_TEST(test_ejected_servers_are_used_if_no_other_is_left)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);

	for (int i = 0; i < N_SERVERS; i++)
		gc_backend_record_failure(find_backend(backends, names[i]),
					  unit_at(0), GC_END_BROKEN);
	ck_assert_ptr_nonnull(choose_at(backends, 1));
	for (int i = 0; i < N_SERVERS; i++)
		servers[i].draining = true;
	sync_all(backends, servers, N_SERVERS);
	ck_assert_ptr_null(choose_at(backends, 1));
	talloc_free(backends);
}
END_TEST

/* Neither its entry nor a lack of other servers makes it chosen again. */
/* Some servers of each domain crash, so that all domains are ejected: a sound server
 * goes before those that failed. */
START_TEST(test_sound_servers_of_ejected_domains_go_first)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 5;
	gc_backends_t *backends = create_with_servers(&state, servers);
	static const char *const crashed[] = {"a0", "a1", "b0",
					      "b1", "c0", "c1"};

	for (size_t i = 0; i < G_N_ELEMENTS(crashed); i++)
		gc_backend_record_failure(find_backend(backends, crashed[i]),
					  unit_at(0), GC_END_UNREACHABLE);
	ck_assert_ptr_null(gc_backends_choose_usable(backends, unit_at(100),
						     GC_STR_LIT("s"), NULL));
	ck_assert_uint_eq(gc_backends_count_ejected(backends, unit_at(100),
						    GC_STR_LIT("s")),
			  N_SERVERS);
	for (int i = 0; i < 100; i++) {
		const char *id = gc_backend_id(choose_at(backends, 100)).data;

		ck_assert(id[1] != '0' && id[1] != '1');
	}
	talloc_free(backends);
}
END_TEST

START_TEST(test_leaving_server_is_never_chosen)
{
	gc_registry_entry_t servers[N_SERVERS];
	gc_prompt_t prompt = {.hash = 7, .resumed = true};
	gc_backend_t *candidates[GC_CANDIDATES_MAX];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);
	gc_backend_t *run = find_backend(backends, names[0]);
	gc_backend_t *leaving = find_backend(backends, names[N_SERVERS - 1]);
	gc_backend_set_t responded = {.list = &leaving, .n = 1};

	ck_assert_ptr_eq(gc_backends_best_of(backends, unit_at(0), &prompt,
					     &responded),
			 leaving);
	for (int i = 1; i < N_SERVERS; i++)
		gc_backend_record_leaving(find_backend(backends, names[i]));
	sync_all(backends, servers, N_SERVERS);
	gc_backend_record_success(leaving);
	ck_assert(!gc_backend_usable(leaving, unit_at(0)));
	ck_assert_ptr_eq(choose_at(backends, 0), run);
	ck_assert_ptr_null(
		gc_backends_best_of(backends, unit_at(0), &prompt, &responded));
	ck_assert_ptr_null(gc_backends_choose_copy_holder(backends, unit_at(0),
							  run, NULL));
	ck_assert_uint_eq(gc_backends_candidates(backends, unit_at(0),
						 GC_STR_LIT("s"), &prompt, NULL,
						 candidates, GC_CANDIDATES_MAX),
			  1);
	gc_backend_record_leaving(run);
	ck_assert_ptr_null(choose_at(backends, 0));
	talloc_free(backends);
}
END_TEST

START_TEST(test_new_incarnation_is_not_leaving)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);

	for (int i = 0; i < N_SERVERS; i++)
		gc_backend_record_leaving(find_backend(backends, names[i]));
	servers[0].started_ms++;
	sync_all(backends, servers, N_SERVERS);
	ck_assert_str_eq(gc_backend_id(choose_at(backends, 0)).data, names[0]);
	gc_backend_record_leaving(choose_at(backends, 0));
	servers[1].address = GC_STR_LIT("127.0.0.1:2000");
	sync_all(backends, servers, N_SERVERS);
	ck_assert_str_eq(gc_backend_id(choose_at(backends, 0)).data, names[1]);
	gc_backend_record_leaving(choose_at(backends, 0));
	servers[2].id = GC_STR_LIT("d0");
	sync_all(backends, servers, N_SERVERS);
	ck_assert_str_eq(gc_backend_id(choose_at(backends, 0)).data, "d0");
	talloc_free(backends);
}
END_TEST

/* Another writer's entry names no server to use, and ends none. An address may
 * still go to a server of another service that the configuration names. */
START_TEST(test_only_named_services_supersede)
{
	gc_route_target_t target = {GC_STR_LIT("t"), 1};
	const gc_route_t route = {.name = GC_STR_LIT("r"),
				  .host = GC_STR_LIT("h"),
				  .path_prefix = GC_STR_LIT("/"),
				  .targets = &target,
				  .n_targets = 1};
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_backends(&state);
	gc_routes_t *routes = gc_routes_create(1);
	gc_backend_t *first;
	gc_route_t *copy;

	gc_routes_add_service(routes,
			      &(gc_route_service_t){.name = GC_STR_LIT("s")});
	init_servers(servers);
	servers[1].address = servers[0].address;
	servers[1].service = GC_STR_LIT("t");
	servers[1].started_ms = 2;
	servers[2].address = servers[0].address;
	servers[2].service = GC_STR_LIT("u");
	servers[2].started_ms = 3;
	gc_backends_set_routes(backends, routes);
	sync_all(backends, servers, N_SERVERS);
	first = find_backend(backends, names[0]);
	ck_assert_ptr_nonnull(first);
	ck_assert(!gc_backends_has_successor(backends, first));
	gc_backend_ref(first);
	gc_routes_unref(routes);
	/* The service is named, by a route only. */
	routes = gc_routes_create(2);
	copy = gc_route_create(&route);
	gc_routes_add(routes, copy);
	gc_route_unref(copy);
	gc_routes_add_service(routes,
			      &(gc_route_service_t){.name = GC_STR_LIT("s")});
	gc_backends_set_routes(backends, routes);
	gc_routes_unref(routes);
	sync_all(backends, servers, N_SERVERS);
	ck_assert_ptr_null(find_backend(backends, names[0]));
	ck_assert(gc_backends_has_successor(backends, first));
	gc_backend_unref(first);
	talloc_free(backends);
}
END_TEST

START_TEST(test_pausing_server_is_not_chosen)
{
	gc_registry_entry_t servers[N_SERVERS];
	gc_prompt_t prompt = {.hash = 7, .resumed = true};
	gc_backend_t *candidates[GC_CANDIDATES_MAX];
	gc_str_t service = GC_STR_LIT("s");
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);
	gc_backend_t *run = find_backend(backends, names[0]);
	gc_backend_t *pausing = find_backend(backends, names[1]);
	gc_backend_set_t responded = {.list = &pausing, .n = 1};

	for (int i = 1; i < N_SERVERS; i++)
		gc_backend_record_pause(find_backend(backends, names[i]),
					unit_at(0), 1500);
	/* Neither a shorter pause nor an answer ends it. */
	gc_backend_record_pause(pausing, unit_at(0), 100);
	gc_backend_record_success(pausing);
	sync_all(backends, servers, N_SERVERS);
	ck_assert(!gc_backend_usable(pausing, unit_at(1499)));
	ck_assert(gc_backend_usable(pausing, unit_at(1750)));
	ck_assert_ptr_eq(choose_at(backends, 1499), run);
	ck_assert_ptr_null(gc_backends_best_of(backends, unit_at(1499), &prompt,
					       &responded));
	ck_assert_ptr_null(gc_backends_choose_copy_holder(
		backends, unit_at(1499), run, NULL));
	ck_assert_uint_eq(gc_backends_candidates(backends, unit_at(1499),
						 service, &prompt, NULL,
						 candidates, GC_CANDIDATES_MAX),
			  1);
	ck_assert_int_eq(
		gc_backends_earliest_return(backends, unit_at(0), service), 0);
	/* Ejection doesn't admit a server that pauses. */
	gc_backend_record_pause(run, unit_at(0), 800);
	gc_backend_record_failure(run, unit_at(0), GC_END_BROKEN);
	ck_assert_ptr_null(choose_at(backends, 799));
	ck_assert_ptr_eq(choose_at(backends, 1051), run);
	talloc_free(backends);
}
END_TEST

/* The first one that stays decides; others don't count. */
START_TEST(test_earliest_return)
{
	gc_registry_entry_t servers[N_SERVERS];
	gc_str_t service = GC_STR_LIT("s");
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);
	gc_backend_t *leaving = find_backend(backends, names[1]);
	int64_t ms;

	ck_assert_int_eq(
		gc_backends_earliest_return(backends, unit_at(0), service), 0);
	for (int i = 0; i < N_SERVERS; i++)
		gc_backend_record_pause(find_backend(backends, names[i]),
					unit_at(0), 3000 - 1000 * (i < 2));
	gc_backend_record_leaving(leaving);
	servers[0].draining = true;
	sync_all(backends, servers, N_SERVERS);
	ms = gc_backends_earliest_return(backends, unit_at(500), service);
	ck_assert_int_ge(ms, 2500);
	ck_assert_int_lt(ms, 2750);
	/* A new incarnation accepts requests. */
	servers[2].started_ms++;
	sync_all(backends, servers, N_SERVERS);
	ck_assert_int_eq(gc_backends_earliest_return(backends, unit_at(500),
						     service),
			 0);
	ck_assert_str_eq(gc_backend_id(choose_at(backends, 500)).data,
			 names[2]);
	talloc_free(backends);
}
END_TEST

START_TEST(test_pauses_end_at_different_times)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);
	gc_backend_t *backend[N_SERVERS];
	int early = 0;

	for (int i = 0; i < N_SERVERS; i++)
		backend[i] = find_backend(backends, names[i]);
	for (int i = 0; i < N_SERVERS; i++)
		gc_backend_record_pause(backend[i], unit_at(0), 1000);
	for (int i = 0; i < N_SERVERS; i++) {
		ck_assert(gc_backend_is_pausing(backend[i], unit_at(999)));
		ck_assert(!gc_backend_is_pausing(backend[i], unit_at(1250)));
		early += !gc_backend_is_pausing(backend[i], unit_at(1125));
	}
	ck_assert_int_gt(early, 0);
	ck_assert_int_lt(early, N_SERVERS);
	talloc_free(backends);
}
END_TEST

START_TEST(test_copies_are_in_another_domain)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);
	gc_backend_t *run_backend;
	gc_backend_t *copy_holder;

	run_backend = find_backend(backends, "a0");
	for (int i = 0; i < 2 * PER_DOMAIN; i++) {
		copy_holder = gc_backends_choose_copy_holder(
			backends, unit_at(0), run_backend, NULL);
		ck_assert(!in_domain(copy_holder, "a"));
		gc_backend_add_copy(copy_holder);
	}
	sync_all(backends, servers, PER_DOMAIN);
	copy_holder = gc_backends_choose_copy_holder(backends, unit_at(0),
						     run_backend, NULL);
	ck_assert_ptr_nonnull(copy_holder);
	ck_assert_ptr_ne(copy_holder, run_backend);
	talloc_free(backends);
}
END_TEST

START_TEST(test_restarted_server_replaces_its_old_entry)
{
	gc_registry_entry_t servers[2];
	gc_registry_entry_t all[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_backends(&state);
	gc_backend_t *old;

	init_servers(all);
	servers[0] = all[0];
	sync_all(backends, servers, 1);
	old = gc_backend_ref(choose_at(backends, 0));
	servers[1] = all[0];
	servers[1].id = GC_STR_LIT("z");
	servers[1].started_ms = 2;
	sync_all(backends, servers, 2);
	ck_assert(gc_backend_is_removed(old));
	ck_assert_str_eq(gc_backend_id(choose_at(backends, 0)).data, "z");
	gc_backend_unref(old);
	talloc_free(backends);
}
END_TEST

/* Only the reports include the requests of other daemons. */
START_TEST(test_recent_reports_override_own_counts)
{
	const gc_backend_load_t busy = {.running = 5, .queued = 2};
	const gc_backend_load_t idle = {0};
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);
	gc_backend_t *set[2];
	gc_backend_set_t both = {.list = set, .n = 2};

	set[0] = find_backend(backends, "a0");
	set[1] = find_backend(backends, "b0");
	gc_backend_record_load(set[0], unit_at(0), &busy);
	gc_backend_record_load(set[1], unit_at(0), &idle);
	ck_assert_ptr_eq(gc_backends_best_of(backends, unit_at(10), NULL,
					     &both),
			 set[1]);
	/* The report is too old, so only the daemon's own requests count. */
	gc_backend_add_request(set[1]);
	ck_assert_ptr_eq(gc_backends_best_of(backends, unit_at(2000), NULL,
					     &both),
			 set[0]);
	talloc_free(backends);
}
END_TEST

/*
 * With 117 daemons, each had all its streams in its own failure domain. When
 * the domain failed, all of them broke, and the daemon's part of the retry
 * budget was too small to resume them. No domain may get much more than a
 * third.
 */
START_TEST(test_streams_are_spread_over_all_domains)
{
	gc_registry_entry_t servers[N_SERVERS];
	unsigned int n[3] = {0};

	init_servers(servers);
	for (uint64_t seed = 0; seed < 10; seed++) {
		uint64_t state = seed;
		gc_backends_t *backends = create_backends(&state);

		sync_all(backends, servers, N_SERVERS);
		for (int i = 0; i < 2 * 3; i++) {
			gc_backend_t *c[3];
			gc_backend_set_t set = {.list = c, .n = 0};
			gc_backend_t *chosen;

			set.n = gc_backends_candidates(backends, unit_at(i),
						       GC_STR_LIT("s"), NULL,
						       NULL, c, 3);
			chosen = gc_backends_best_of(backends, unit_at(i), NULL,
						     &set);
			gc_backend_add_request(chosen);
			n[gc_backend_domain(chosen).data[0] - 'a']++;
		}
		talloc_free(backends);
	}
	/* A third each is expected; half would be too many. */
	for (int i = 0; i < 3; i++)
		ck_assert_uint_lt(n[i], 10 * 2 * 3 / 2);
}
END_TEST

START_TEST(test_candidates_are_distinct_and_usable)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);
	gc_backend_t *failing;

	failing = find_backend(backends, "a0");
	gc_backend_record_failure(failing, unit_at(0), GC_END_BROKEN);
	for (int i = 0; i < 50; i++) {
		gc_backend_t *c[3];

		ck_assert_uint_eq(gc_backends_candidates(backends, unit_at(1),
							 GC_STR_LIT("s"), NULL,
							 NULL, c, 3),
				  3);
		ck_assert(c[0] != c[1] && c[1] != c[2] && c[0] != c[2]);
		for (int j = 0; j < 3; j++)
			ck_assert_ptr_ne(c[j], failing);
	}
	talloc_free(backends);
}
END_TEST

/*
 * A failure domain restarts while the store is unreachable. After two replaced
 * servers are found, the rest of the domain is avoided. With 70 servers, each
 * daemon tried them one after another until its retry budget was used up, and
 * aborted streams.
 */
START_TEST(test_two_replaced_servers_make_their_domain_avoided)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);
	gc_backend_t *third = find_backend(backends, "a2");

	gc_backend_record_failure(find_backend(backends, "a0"), unit_at(0),
				  GC_END_REPLACED);
	ck_assert(in_domain(choose_at(backends, 10), "a"));
	gc_backend_record_failure(find_backend(backends, "a1"), unit_at(10),
				  GC_END_REPLACED);
	for (int i = 0; i < 20; i++)
		ck_assert(!in_domain(choose_at(backends, 20 + i), "a"));
	/* A load report does not identify its server; an answer does. */
	gc_backend_record_load(third, unit_at(50), &(gc_backend_load_t){0});
	ck_assert(!in_domain(choose_at(backends, 60), "a"));
	gc_backend_record_success(third);
	ck_assert_ptr_eq(choose_at(backends, 70), third);
	talloc_free(backends);
}
END_TEST

/* An entry that the store lists after the replacements is up to date. */
START_TEST(test_new_server_in_a_replaced_domain_is_used)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);

	gc_backend_record_failure(find_backend(backends, "a0"), unit_at(0),
				  GC_END_REPLACED);
	gc_backend_record_failure(find_backend(backends, "a1"), unit_at(0),
				  GC_END_REPLACED);
	servers[0].id = gc_str("a9");
	servers[0].started_ms = 2;
	sync_all(backends, servers, N_SERVERS);
	ck_assert_str_eq(gc_backend_id(choose_at(backends, 10)).data, "a9");
	talloc_free(backends);
}
END_TEST

/* A load report must not end the ejection of a server that was replaced. */
START_TEST(test_report_does_not_readmit_a_replaced_server)
{
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_with_servers(&state, servers);
	gc_backend_t *replaced = find_backend(backends, "a0");

	gc_backend_record_failure(replaced, unit_at(0), GC_END_REPLACED);
	gc_backend_record_load(replaced, unit_at(10), &(gc_backend_load_t){0});
	ck_assert(!gc_backend_usable(replaced, unit_at(20)));
	talloc_free(backends);
}
END_TEST

/*
 * All daemons together stay below ratio x requests + slack, and a daemon whose
 * streams all break at once can resume them all. With 99 daemons, each one's
 * part of the slack was below two retries.
 */
START_TEST(test_retry_budget_is_shared)
{
	const gc_str_t service = GC_STR_LIT("s");
	gc_registry_entry_t servers[N_SERVERS];
	uint64_t state = 1;
	gc_backends_t *backends = create_backends(&state);
	unsigned int retries = 0;

	init_servers(servers);
	gc_backends_sync(backends, servers, N_SERVERS,
			 &(gc_daemon_rank_t){0, 2, 0, 99});
	for (int i = 0; i < 20; i++)
		gc_backends_count_request(backends, unit_at(i * 300), service);
	while (gc_backends_take_retry(backends, unit_at(6000), service))
		retries++;
	ck_assert_uint_ge(retries, 10);
	ck_assert_uint_le(retries, 16 + 100 / 99);
	ck_assert(!gc_backends_take_retry(backends, unit_at(9000), service));
	talloc_free(backends);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_idle_local_servers_are_chosen_first,
		test_daemons_prefer_different_servers,
		test_restarted_server_is_not_chosen_by_all,
		test_failed_domain_is_avoided,
		test_one_failing_server_does_not_eject_its_domain,
		test_ejected_servers_are_used_if_no_other_is_left,
		test_sound_servers_of_ejected_domains_go_first,
		test_leaving_server_is_never_chosen,
		test_new_incarnation_is_not_leaving,
		test_only_named_services_supersede,
		test_pausing_server_is_not_chosen,
		test_earliest_return,
		test_pauses_end_at_different_times,
		test_copies_are_in_another_domain,
		test_restarted_server_replaces_its_old_entry,
		test_recent_reports_override_own_counts,
		test_streams_are_spread_over_all_domains,
		test_candidates_are_distinct_and_usable,
		test_two_replaced_servers_make_their_domain_avoided,
		test_new_server_in_a_replaced_domain_is_used,
		test_report_does_not_readmit_a_replaced_server,
		test_retry_budget_is_shared,
		NULL,
	};

	return unit_run("backends", tests);
}
