/* Takes changes of a configuration as a daemon that watches the store does. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <time.h>

#include "config_cost.h"
#include "core/change_log.h"
#include "lib/fleet_view.h"
#include "lib/peers_watch.h"
#include "platform/platform.h"
#include "platform/records.h"

#define STORE_TIMEOUT_MS 30000
#define ERA		 1
#define N_SERVERS	 4
#define N_DAEMONS	 3
#define MAX_DELETED	 64

const char *const step_names[N_STEPS] = {"receive", "log",   "read", "publish",
					 "edits",   "whole", "free"};

typedef struct bench {
	row_t *row;
	gc_change_log_t *change_log;
	gc_registry_t *servers;
	gc_registry_t *daemons;
	gc_routes_t *routes;
	gc_fleet_view_t *view;
	uint64_t revision;
	int64_t started; /* of the call in flight */
	int64_t done; /* the response was taken */
	bool answered;
	bool counted; /* the first version isn't, as it has no former one */
	GArray *times[N_STEPS]; /* int64_t, ns */
} bench_t;

static void fill_registry(gc_registry_t *registry, const char *prefix, int n);
static bool take_version(bench_t *bench, const gc_store_t *store,
			 struct tevent_context *ev);
static void on_items(void *ctx, const gc_store_items_t *items,
		     const GError *err);
static void take_record(bench_t *bench, const gc_store_item_t *item);
static gc_routes_t *read_change(const gc_logged_change_t *change,
				gc_routes_t *former, GError **err);
static uint64_t write_to_daemon(bench_t *bench, step_t step, bool takes_edits);
static int64_t cpu_ns(void);
static void add_time(bench_t *bench, step_t step, int64_t ns);
static int64_t median(GArray *times);
static uint64_t peak_kb(void);

void measure_row(row_t *row, unsigned int rounds)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	bench_t bench = {.row = row};
	shared_t *shared = mmap(NULL, sizeof(*shared), PROT_READ | PROT_WRITE,
				MAP_SHARED | MAP_ANONYMOUS, -1, 0);
	unsigned int port;
	pid_t pid = start_store(row->n_routes, row->kind, shared, &port);
	struct tevent_context *ev = tevent_context_init(mem);
	gc_httpc_t *http = gc_httpc_create(mem, ev);
	g_autofree char *address = g_strdup_printf("127.0.0.1:%u", port);
	gc_store_t store =
		gc_platform_store(mem, http, address, STORE_TIMEOUT_MS);

	if (pid < 0)
		g_strlcpy(row->error, "the store can't be started",
			  sizeof(row->error));
	bench.change_log = gc_change_log_create(mem, MAX_DELETED);
	gc_change_log_reset(bench.change_log, ERA, 0);
	bench.servers = gc_registry_create(mem, 0);
	bench.daemons = gc_registry_create(mem, 0);
	fill_registry(bench.servers, "server", N_SERVERS);
	fill_registry(bench.daemons, "daemon", N_DAEMONS);
	for (int i = 0; i < N_STEPS; i++)
		bench.times[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (unsigned int i = 0; i <= rounds && !row->error[0]; i++) {
		bench.counted = i > 0;
		if (take_version(&bench, &store, ev))
			row->received_bytes = shared->sent_bytes;
	}
	row->peak_kb = peak_kb();
	for (int i = 0; i < N_STEPS; i++) {
		row->ns[i] = median(bench.times[i]);
		g_array_unref(bench.times[i]);
	}
	if (pid > 0) {
		kill(pid, SIGKILL);
		waitpid(pid, NULL, 0);
	}
	gc_fleet_view_unref(bench.view);
	gc_routes_unref(bench.routes);
	gc_httpc_destroy(http);
	munmap(shared, sizeof(*shared));
	talloc_free(mem);
}

static void fill_registry(gc_registry_t *registry, const char *prefix, int n)
{
	for (int i = 0; i < n; i++) {
		g_autofree char *id = g_strdup_printf("%s-%d", prefix, i);
		const gc_registry_entry_t entry = {
			.id = gc_str(id),
			.service = GC_STR_LIT("s1"),
			.address = GC_STR_LIT("10.0.0.1:80"),
			.peer_address = GC_STR_LIT("10.0.0.1:81"),
			.forward_address = GC_STR_LIT("10.0.0.1:82"),
			.failure_domain = GC_STR_LIT("a"),
			.version = GC_STR_LIT("v1"),
		};

		gc_registry_put(registry, &entry);
	}
}

/* What the client frees after the response was taken counts as receiving, too. */
static bool take_version(bench_t *bench, const gc_store_t *store,
			 struct tevent_context *ev)
{
	bench->answered = false;
	bench->started = cpu_ns();
	store->ops->watch(store->store, bench->revision, 0, on_items, bench);
	while (!bench->answered)
		tevent_loop_once(ev);
	add_time(bench, STEP_RECEIVE, cpu_ns() - bench->done);
	return !bench->row->error[0];
}

static void on_items(void *ctx, const gc_store_items_t *items,
		     const GError *err)
{
	bench_t *bench = ctx;
	int64_t begun = cpu_ns();

	bench->answered = true;
	if (err)
		g_strlcpy(bench->row->error, err->message,
			  sizeof(bench->row->error));
	else if (items->n != 1)
		g_strlcpy(bench->row->error, "the store sent no record",
			  sizeof(bench->row->error));
	else
		take_record(bench, &items->items[0]);
	/* take_version adds the time since then. */
	bench->done = cpu_ns() - (begun - bench->started);
}

static void take_record(bench_t *bench, const gc_store_item_t *item)
{
	g_autoptr(GError) err = NULL;
	row_t *row = bench->row;
	int64_t start = cpu_ns();
	const gc_logged_change_t *change;
	gc_routes_t *routes;
	gc_fleet_view_t *view;

	change = gc_change_log_add(bench->change_log, item);
	gc_change_log_advance(bench->change_log, item->revision);
	add_time(bench, STEP_LOG, cpu_ns() - start);

	start = cpu_ns();
	routes = read_change(change, bench->routes, &err);
	add_time(bench, STEP_READ, cpu_ns() - start);
	if (!routes) {
		g_strlcpy(row->error, err->message, sizeof(row->error));
		return;
	}

	start = cpu_ns();
	view = gc_fleet_view_create(routes, bench->servers, bench->daemons,
				    NULL, 0);
	gc_fleet_view_unref(bench->view);
	add_time(bench, STEP_PUBLISH, cpu_ns() - start);
	bench->view = view;

	row->record_bytes = item->value.len;
	row->edits_bytes = write_to_daemon(bench, STEP_EDITS, true);
	row->whole_bytes = write_to_daemon(bench, STEP_WHOLE, false);

	start = cpu_ns();
	gc_routes_unref(bench->routes);
	add_time(bench, STEP_FREE, cpu_ns() - start);
	bench->routes = routes;
	bench->revision = item->revision;
}

/* As gc_platform_read_routes, of what the log has. */
static gc_routes_t *read_change(const gc_logged_change_t *change,
				gc_routes_t *former, GError **err)
{
	gc_routes_reader_t *reader = gc_platform_start_change(change, former);
	gc_routes_t *routes;

	gc_platform_step_routes(reader, SIZE_MAX, &routes, err);
	gc_platform_end_routes(reader);
	return routes;
}

static uint64_t write_to_daemon(bench_t *bench, step_t step, bool takes_edits)
{
	int64_t start = cpu_ns();
	char *text = gc_peers_watch_response(bench->change_log, ERA,
					     bench->revision, 0, takes_edits);
	uint64_t len = text ? strlen(text) : 0;

	g_free(text);
	add_time(bench, step, cpu_ns() - start);
	return len;
}

static int64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return now.tv_sec * INT64_C(1000000000) + now.tv_nsec;
}

static void add_time(bench_t *bench, step_t step, int64_t ns)
{
	if (bench->counted)
		g_array_append_val(bench->times[step], ns);
}

static int compare(const void *a, const void *b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

static int64_t median(GArray *times)
{
	if (times->len == 0)
		return 0;
	g_array_sort(times, compare);
	return g_array_index(times, int64_t, times->len / 2);
}

/* 0: unknown */
static uint64_t peak_kb(void)
{
	FILE *file = fopen("/proc/self/status", "re");
	char line[128];
	uint64_t kb = 0;

	while (file && fgets(line, sizeof(line), file))
		if (g_str_has_prefix(line, "VmHWM:"))
			kb = strtoull(line + strlen("VmHWM:"), NULL, 10);
	if (file)
		fclose(file);
	return kb;
}
