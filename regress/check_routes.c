/*
 * Guards against requests that go to another route's service, against keys
 * that open another account, and against splits that leave their weights.
 */
#include "core/routes.h"
#include "regress/unit.h"

static gc_routes_t *example(void);
static void add(gc_routes_t *routes, const char *host, const char *prefix,
		const char *service);
static const char *found(const gc_routes_t *routes, const char *host,
			 const char *path);

static void add(gc_routes_t *routes, const char *host, const char *prefix,
		const char *service)
{
	gc_route_share_t share = {gc_str(service), 1};
	gc_route_t route = {.name = gc_str(service),
			    .host = gc_str(host),
			    .path_prefix = gc_str(prefix),
			    .shares = &share,
			    .n_shares = 1};

	gc_routes_add(routes, &route);
}

static gc_routes_t *example(void)
{
	gc_routes_t *routes = gc_routes_create(7);

	add(routes, "a.example", "/", "rest");
	add(routes, "a.example", "/x/y/", "deep");
	add(routes, "a.example", "/x/", "mid");
	add(routes, "b.example", "/x/", "other");
	return routes;
}

static const char *found(const gc_routes_t *routes, const char *host,
			 const char *path)
{
	const gc_route_t *route =
		gc_routes_find(routes, gc_str(host), gc_str(path));

	return route ? route->name.data : "";
}

START_TEST(test_longest_prefix_of_the_host)
{
	gc_routes_t *routes = example();

	ck_assert_str_eq(found(routes, "a.example", "/x/y/z"), "deep");
	ck_assert_str_eq(found(routes, "a.example", "/x/z"), "mid");
	ck_assert_str_eq(found(routes, "a.example", "/xy"), "rest");
	ck_assert_str_eq(found(routes, "b.example", "/x/y/z"), "other");
	ck_assert_str_eq(found(routes, "b.example", "/y/"), "");
	ck_assert_str_eq(found(routes, "c.example", "/x/"), "");
	gc_routes_unref(routes);
}
END_TEST

START_TEST(test_keys)
{
	gc_routes_t *routes = gc_routes_create(1);
	gc_str_t account;

	gc_routes_add_key(routes, GC_STR_LIT("k1"), GC_STR_LIT("north"));
	gc_routes_add_key(routes, GC_STR_LIT("k2"), GC_STR_LIT("north"));
	gc_routes_add_key(routes, GC_STR_LIT("k3"), GC_STR_LIT("south"));
	ck_assert(gc_routes_account(routes, GC_STR_LIT("k2"), &account));
	ck_assert_str_eq(account.data, "north");
	ck_assert(gc_routes_account(routes, GC_STR_LIT("k3"), &account));
	ck_assert_str_eq(account.data, "south");
	ck_assert(!gc_routes_account(routes, GC_STR_LIT("k"), &account));
	ck_assert(!gc_routes_account(routes, GC_STR_LIT("k33"), &account));
	ck_assert(!gc_routes_account(routes, GC_STR_EMPTY, &account));
	gc_routes_unref(routes);
}
END_TEST

START_TEST(test_split_follows_weights)
{
	gc_route_share_t shares[] = {{GC_STR_LIT("nine"), 90},
				     {GC_STR_LIT("one"), 10},
				     {GC_STR_LIT("none"), 0}};
	gc_route_t route = {.shares = shares, .n_shares = 3};
	unsigned int nine = 0;

	for (uint64_t i = 0; i < 1000; i++) {
		gc_str_t service = gc_route_pick(&route, i);

		ck_assert_str_ne(service.data, "none");
		nine += strcmp(service.data, "nine") == 0;
	}
	ck_assert_uint_eq(nine, 900);
	shares[0].weight = 0;
	shares[1].weight = 0;
	ck_assert_str_eq(gc_route_pick(&route, 5).data, "nine");
	route.n_shares = 0;
	ck_assert_uint_eq(gc_route_pick(&route, 5).len, 0);
}
END_TEST

START_TEST(test_what_may_repeat)
{
	gc_route_t route = {.kind = GC_ROUTE_IDEMPOTENT};

	ck_assert(gc_route_may_repeat(&route));
	route.kind = GC_ROUTE_ONCE;
	route.resumable = true;
	ck_assert(!gc_route_may_repeat(&route));
	route.kind = GC_ROUTE_STREAM;
	ck_assert(gc_route_may_repeat(&route));
	route.resumable = false;
	ck_assert(!gc_route_may_repeat(&route));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_longest_prefix_of_the_host,
		test_keys,
		test_split_follows_weights,
		test_what_may_repeat,
		NULL,
	};

	return unit_run("routes", tests);
}
