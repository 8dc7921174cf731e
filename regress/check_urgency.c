/*
 * Load patterns in which more streams ask for room than the engines have: all kinds
 * at several times their rate, or the least urgent kind while engines are gone.
 * Guards against streams that wait alike whatever their callers lose by it.
 */
#include "core/urgency.h"
#include "regress/unit.h"

#define TARGET_MS 4000

static gc_routes_t *create_routes(const uint32_t *priorities, size_t n)
{
	gc_routes_t *routes = gc_routes_create(1);

	for (size_t i = 0; i < n; i++) {
		char path[] = "/a/";
		gc_route_target_t target = {GC_STR_LIT("llm"), 1};
		gc_route_t route = {.name = GC_STR_LIT("r"),
				    .host = GC_STR_LIT("h"),
				    .kind = GC_ROUTE_STREAM,
				    .targets = &target,
				    .n_targets = 1,
				    .target_latency_ms = TARGET_MS,
				    .priority = priorities[i]};
		gc_route_t *copy;

		path[1] = (char)('a' + i);
		route.path_prefix = gc_str(path);
		copy = gc_route_create(&route);
		ck_assert(gc_routes_add(routes, copy));
		gc_route_unref(copy);
	}
	return routes;
}

/* index: of the route. */
static gc_urgency_t urgency_of(const gc_routes_t *routes, size_t index,
			       const char *account, int64_t waited_ms,
			       bool begun)
{
	char path[] = "/a/";
	gc_urgency_request_t request = {
		.service = GC_STR_LIT("llm"),
		.account = gc_str(account),
		.waited_ms = waited_ms,
		.begun = begun,
	};

	path[1] = (char)('a' + index);
	request.route = gc_routes_find(routes, GC_STR_LIT("h"), gc_str(path));
	return gc_urgency(routes, &request);
}

/* Deployments whose kinds are all alike are served as before. */
START_TEST(test_routes_of_one_priority_have_no_order)
{
	const uint32_t priorities[] = {1, 1, 1};
	gc_routes_t *routes = create_routes(priorities, 3);
	gc_urgency_t urgency;

	gc_routes_set_account_priority(routes, GC_STR_LIT("large"), 0);
	urgency = urgency_of(routes, 1, "large", 2 * TARGET_MS, false);
	ck_assert_int_eq(urgency.level, GC_URGENCY_NONE);
	ck_assert_uint_eq(urgency.reserve, 0);
	gc_routes_unref(routes);
}
END_TEST

/* All kinds at five times their rate. */
START_TEST(test_more_urgent_route_goes_first_and_finds_room)
{
	const uint32_t priorities[] = {0, 1, 2};
	gc_routes_t *routes = create_routes(priorities, 3);

	for (size_t i = 1; i < 3; i++) {
		gc_urgency_t more = urgency_of(routes, i - 1, "a", 0, false);
		gc_urgency_t less = urgency_of(routes, i, "a", 0, false);

		ck_assert_int_lt(more.level, less.level);
		ck_assert_uint_lt(more.reserve, less.reserve);
	}
	ck_assert_uint_eq(urgency_of(routes, 0, "a", 0, false).reserve, 0);
	gc_routes_unref(routes);
}
END_TEST

/* An account's priority goes before those of routes, which order its streams. */
START_TEST(test_account_goes_before_route)
{
	const uint32_t priorities[] = {0, 1, 2};
	gc_routes_t *routes = create_routes(priorities, 3);

	gc_routes_set_account_priority(routes, GC_STR_LIT("first"), 0);
	gc_routes_set_account_priority(routes, GC_STR_LIT("other"), 1);
	ck_assert_int_lt(urgency_of(routes, 2, "first", 0, false).level,
			 urgency_of(routes, 0, "other", 0, false).level);
	ck_assert_int_lt(urgency_of(routes, 0, "other", 0, false).level,
			 urgency_of(routes, 1, "other", 0, false).level);
	gc_routes_unref(routes);
}
END_TEST

/* What can't be in time any more waits for what still can. */
START_TEST(test_late_stream_goes_last_unless_its_caller_has_events)
{
	const uint32_t priorities[] = {0, 2};
	gc_routes_t *routes = create_routes(priorities, 2);
	gc_urgency_t late = urgency_of(routes, 0, "a", TARGET_MS, false);
	gc_urgency_t begun = urgency_of(routes, 0, "a", TARGET_MS, true);

	ck_assert_int_eq(late.level, GC_URGENCY_LEAST);
	ck_assert_int_eq(begun.level,
			 urgency_of(routes, 0, "a", 0, false).level);
	ck_assert_uint_eq(urgency_of(routes, 1, "a", 0, true).reserve, 0);
	gc_routes_unref(routes);
}
END_TEST

START_TEST(test_levels_stay_in_range)
{
	const uint32_t priorities[] = {0, 1, 7, 4000000000U};
	gc_routes_t *routes = create_routes(priorities, 4);

	gc_routes_set_account_priority(routes, GC_STR_LIT("last"), 4000000000U);
	for (size_t i = 0; i < 4; i++) {
		gc_urgency_t last = urgency_of(routes, i, "last", 0, false);
		gc_urgency_t none = urgency_of(routes, i, "", 0, false);

		ck_assert_int_ge(none.level, 0);
		ck_assert_int_le(none.level, last.level);
		ck_assert_int_le(last.level, GC_URGENCY_LEAST);
	}
	gc_routes_unref(routes);
}
END_TEST

/* The order follows the routes that are there. */
START_TEST(test_order_ends_with_the_last_other_route)
{
	const uint32_t priorities[] = {0, 2};
	gc_routes_t *routes = create_routes(priorities, 2);
	gc_routes_t *next = gc_routes_create_after(routes, 2);

	gc_routes_remove(next, gc_routes_find(next, GC_STR_LIT("h"),
					      GC_STR_LIT("/b/")));
	ck_assert_int_eq(urgency_of(next, 0, "a", 0, false).level,
			 GC_URGENCY_NONE);
	ck_assert_int_ne(urgency_of(routes, 0, "a", 0, false).level,
			 GC_URGENCY_NONE);
	gc_routes_unref(next);
	gc_routes_unref(routes);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_routes_of_one_priority_have_no_order,
		test_more_urgent_route_goes_first_and_finds_room,
		test_account_goes_before_route,
		test_late_stream_goes_last_unless_its_caller_has_events,
		test_levels_stay_in_range,
		test_order_ends_with_the_last_other_route,
		NULL,
	};

	return unit_run("urgency", tests);
}
