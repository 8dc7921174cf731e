/*
 * Guards against views that change after they were made: the control thread makes the
 * next table of routes from the one that traffic threads read, and shares with it all
 * that stays. Also run by make check-threads.
 */
#include "lib/fleet_view.h"
#include "platform/records.h"
#include "regress/unit.h"

#define N_READERS  2
#define N_VERSIONS 200
/* Each version changes one route of three, one after another. */
#define CHANGED_ROUTES 3
#define N_ROUTES       ((N_VERSIONS + 1) * CHANGED_ROUTES)
/* Lets the readers keep up without telling the sanitizer that they did. */
#define VERSION_INTERVAL_US 1000

typedef struct reader {
	GAsyncQueue
		*views; /* of gc_fleet_view_t, of the versions in their order */
	size_t n_views;
	size_t n_faults;
} reader_t;

/* The version that last changed the route, 0 for none. */
static uint32_t changed_at(size_t route, uint64_t version)
{
	size_t at = route / CHANGED_ROUTES;

	return route % CHANGED_ROUTES == 0 && at <= version ? (uint32_t)at : 0;
}

/* A route's priority is the version that changed it. One route is in this version only. */
static gc_routes_t *read_version(uint64_t version, gc_routes_t *former)
{
	g_autoptr(GString) record = g_string_new(NULL);
	g_autoptr(GError) err = NULL;
	gc_routes_t *routes;

	g_string_printf(record,
			"{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[",
			version);
	for (size_t i = 0; i < N_ROUTES; i++)
		g_string_append_printf(
			record,
			"{\"host\":\"h%zu\",\"path_prefix\":\"/\",\"kind\":"
			"\"idempotent\",\"service\":\"app\",\"priority\":%u},",
			i, changed_at(i, version));
	g_string_append_printf(
		record,
		"{\"host\":\"only%" G_GUINT64_FORMAT
		"\",\"path_prefix\":\"/\",\"kind\":\"idempotent\"}]}",
		version);
	routes = gc_platform_read_routes((gc_str_t){record->str, record->len},
					 former, &err);
	ck_assert_msg(routes != NULL, "%s", err ? err->message : "");
	return routes;
}

static bool has_only_route(const gc_routes_t *routes, uint64_t version)
{
	g_autofree char *host =
		g_strdup_printf("only%" G_GUINT64_FORMAT, version);

	return gc_routes_find(routes, gc_str(host), GC_STR_LIT("/x")) != NULL;
}

static size_t count_faults(const gc_fleet_view_t *view)
{
	uint64_t version = gc_routes_version(view->routes);
	size_t n = 0;

	for (size_t i = 0; i < N_ROUTES; i++) {
		g_autofree char *host = g_strdup_printf("h%zu", i);
		const gc_route_t *route = gc_routes_find(
			view->routes, gc_str(host), GC_STR_LIT("/x"));

		n += !route || route->priority != changed_at(i, version);
	}
	n += !has_only_route(view->routes, version);
	n += has_only_route(view->routes, version - 1);
	n += has_only_route(view->routes, version + 1);
	n += gc_routes_count(view->routes) != N_ROUTES + 1;
	n += !gc_routes_names_service(view->routes, GC_STR_LIT("app"));
	n += view->n_servers != 1 || view->servers[0].slots != version;
	return n;
}

/* Looks at each view when it comes and once more when the next one has come. */
static gpointer read_views(gpointer data)
{
	reader_t *reader = data;
	gc_fleet_view_t *former = NULL;

	while (reader->n_views < N_VERSIONS) {
		gc_fleet_view_t *view = g_async_queue_try_pop(reader->views);

		if (!view) {
			g_usleep(100);
			continue;
		}
		reader->n_views++;
		reader->n_faults += count_faults(view);
		if (former)
			reader->n_faults += count_faults(former);
		gc_fleet_view_unref(former);
		former = view;
	}
	gc_fleet_view_unref(former);
	return NULL;
}

START_TEST(test_views_stay_while_the_next_ones_are_made)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_registry_t *servers = gc_registry_create(mem, 0);
	gc_registry_t *daemons = gc_registry_create(mem, 0);
	gc_registry_entry_t server = {.id = GC_STR_LIT("s1"),
				      .service = GC_STR_LIT("app")};
	gc_routes_t *routes = NULL;
	reader_t readers[N_READERS] = {{0}};
	GThread *threads[N_READERS];

	for (size_t i = 0; i < N_READERS; i++) {
		readers[i].views = g_async_queue_new();
		threads[i] = g_thread_new("reader", read_views, &readers[i]);
	}
	for (uint64_t version = 1; version <= N_VERSIONS; version++) {
		gc_routes_t *next = read_version(version, routes);
		gc_fleet_view_t *view;

		gc_routes_unref(routes);
		routes = next;
		server.slots = (uint32_t)version;
		gc_registry_put(servers, &server);
		view = gc_fleet_view_create(routes, servers, daemons, NULL, 0);
		for (size_t i = 0; i < N_READERS; i++)
			g_async_queue_push(readers[i].views,
					   gc_fleet_view_ref(view));
		gc_fleet_view_unref(view);
		g_usleep(VERSION_INTERVAL_US);
	}
	gc_routes_unref(routes);
	for (size_t i = 0; i < N_READERS; i++) {
		g_thread_join(threads[i]);
		g_async_queue_unref(readers[i].views);
		ck_assert_uint_eq(readers[i].n_views, N_VERSIONS);
		ck_assert_uint_eq(readers[i].n_faults, 0);
	}
	talloc_free(mem);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_views_stay_while_the_next_ones_are_made, NULL};

	return unit_run("shared_tables", tests);
}
