/*
 * Guards against requests that are routed to the wrong service, against keys
 * that select another account, and against traffic that is not split by weight.
 */
#include <glib.h>
#include <inttypes.h>

#include "core/routes.h"
#include "regress/unit.h"

static gc_routes_t *create_routes(void);
static void add_route(gc_routes_t *routes, const char *host, const char *prefix,
		      const char *service);
static const char *find_name(const gc_routes_t *routes, const char *host,
			     const char *path);

static void add_route(gc_routes_t *routes, const char *host, const char *prefix,
		      const char *service)
{
	gc_route_target_t target = {gc_str(service), 1};
	gc_route_t route = {.name = gc_str(service),
			    .host = gc_str(host),
			    .path_prefix = gc_str(prefix),
			    .targets = &target,
			    .n_targets = 1};

	gc_route_t *copy = gc_route_create(&route);

	ck_assert(gc_routes_add(routes, copy));
	gc_route_unref(copy);
}

static gc_routes_t *create_routes(void)
{
	gc_routes_t *routes = gc_routes_create(7);

	add_route(routes, "a.example", "/", "rest");
	add_route(routes, "a.example", "/x/y/", "deep");
	add_route(routes, "a.example", "/x/", "mid");
	add_route(routes, "b.example", "/x/", "other");
	return routes;
}

static const char *find_name(const gc_routes_t *routes, const char *host,
			     const char *path)
{
	const gc_route_t *route =
		gc_routes_find(routes, gc_str(host), gc_str(path));

	return route ? route->name.data : "";
}

START_TEST(test_longest_prefix_of_the_host_wins)
{
	gc_routes_t *routes = create_routes();

	ck_assert_str_eq(find_name(routes, "a.example", "/x/y/z"), "deep");
	ck_assert_str_eq(find_name(routes, "a.example", "/x/z"), "mid");
	ck_assert_str_eq(find_name(routes, "a.example", "/xy"), "rest");
	ck_assert_str_eq(find_name(routes, "b.example", "/x/y/z"), "other");
	ck_assert_str_eq(find_name(routes, "b.example", "/y/"), "");
	ck_assert_str_eq(find_name(routes, "c.example", "/x/"), "");
	gc_routes_unref(routes);
}
END_TEST

START_TEST(test_keys_select_their_account)
{
	gc_routes_t *routes = gc_routes_create(1);
	gc_str_t account;

	gc_routes_add_key(routes, GC_STR_LIT("k1"), GC_STR_LIT("north"));
	gc_routes_add_key(routes, GC_STR_LIT("k2"), GC_STR_LIT("north"));
	gc_routes_add_key(routes, GC_STR_LIT("k3"), GC_STR_LIT("south"));
	ck_assert(gc_routes_find_account(routes, GC_STR_LIT("k2"), &account));
	ck_assert_str_eq(account.data, "north");
	ck_assert(gc_routes_find_account(routes, GC_STR_LIT("k3"), &account));
	ck_assert_str_eq(account.data, "south");
	ck_assert(!gc_routes_find_account(routes, GC_STR_LIT("k"), &account));
	ck_assert(!gc_routes_find_account(routes, GC_STR_LIT("k33"), &account));
	ck_assert(!gc_routes_find_account(routes, GC_STR_EMPTY, &account));
	gc_routes_unref(routes);
}
END_TEST

START_TEST(test_services_are_chosen_by_weight)
{
	gc_route_target_t targets[] = {{GC_STR_LIT("nine"), 90},
				       {GC_STR_LIT("one"), 10},
				       {GC_STR_LIT("none"), 0}};
	gc_route_t route = {.targets = targets, .n_targets = 3};
	unsigned int nine = 0;

	for (uint64_t i = 0; i < 1000; i++) {
		gc_str_t service = gc_route_choose_service(&route, i);

		ck_assert_str_ne(service.data, "none");
		nine += strcmp(service.data, "nine") == 0;
	}
	ck_assert_uint_eq(nine, 900);
	targets[0].weight = 0;
	targets[1].weight = 0;
	ck_assert_str_eq(gc_route_choose_service(&route, 5).data, "nine");
	route.n_targets = 0;
	ck_assert_uint_eq(gc_route_choose_service(&route, 5).len, 0);
}
END_TEST

START_TEST(test_routes_that_allow_a_second_run)
{
	gc_route_t route = {.kind = GC_ROUTE_IDEMPOTENT};

	ck_assert(gc_route_allows_rerun(&route));
	route.kind = GC_ROUTE_NON_IDEMPOTENT;
	route.resumable = true;
	ck_assert(!gc_route_allows_rerun(&route));
	route.kind = GC_ROUTE_STREAM;
	ck_assert(gc_route_allows_rerun(&route));
	route.resumable = false;
	ck_assert(!gc_route_allows_rerun(&route));
}
END_TEST

static int64_t fill_us(size_t n)
{
	struct timespec start;
	struct timespec end;
	gc_routes_t *routes = gc_routes_create(1);

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &start);
	for (size_t i = 0; i < n; i++) {
		g_autofree char *prefix = g_strdup_printf("/%zu/", i);

		add_route(routes, "a.example", prefix, "s");
	}
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &end);
	ck_assert_uint_eq(gc_routes_count(routes), n);
	ck_assert_str_eq(find_name(routes, "a.example", "/7/x"), "s");
	gc_routes_unref(routes);
	return gc_us_between(start, end);
}

/* A host's routes were sorted at each addition. */
START_TEST(test_time_to_add_grows_with_the_routes)
{
	int64_t few_us = INT64_MAX;
	int64_t many_us = INT64_MAX;

	for (int i = 0; i < 3; i++) {
		few_us = MIN(few_us, fill_us(1000));
		many_us = MIN(many_us, fill_us(16000));
	}
	/* 16 times, but for what grows with the logarithm or leaves a cache;
	 * the square is 256 times. */
	ck_assert_msg(many_us < 64 * few_us,
		      "1,000 routes %" PRId64 " us, 16,000 routes %" PRId64
		      " us",
		      few_us, many_us);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_longest_prefix_of_the_host_wins,
		test_keys_select_their_account,
		test_services_are_chosen_by_weight,
		test_routes_that_allow_a_second_run,
		test_time_to_add_grows_with_the_routes,
		NULL,
	};

	return unit_run("routes", tests);
}
