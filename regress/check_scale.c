/*
 * Guards against work that grows with the square of the fleet's size. A
 * benchmark with 300 daemons and 3,000 backend servers gave no result, as each
 * change of one server took every daemon 18 ms.
 *
 * The bound follows from docs/CAPACITY.md: 6,000 servers, 2,300 daemons, 4.4 %
 * of a core for control work. A daemon applies changes at most four times a
 * second, which leaves 11 ms for each of them.
 *
 * Runs alone: it measures these times.
 */
#include <stdio.h>
#include <time.h>

#include "core/backends.h"
#include "core/change_log.h"
#include "lib/fleet_view.h"
#include "regress/unit.h"

#define N_SERVERS 6000
#define N_DAEMONS 2300
#define N_DOMAINS 29
/* Servers of a rack, which change at once. */
#define N_CHANGES     60
#define MAX_CHANGE_MS 11.0
#define N_ROUNDS      5 /* the minimum counts, as the machine may be shared */
/* Daemons of one failure domain that ask the same watcher. */
#define N_PEER_QUERIES (N_DAEMONS / N_DOMAINS / 2)

static double cpu_ms(void);
static void put_entry(gc_registry_t *registry, gc_change_log_t *change_log,
		      const char *kind, unsigned int i, int64_t started_ms);
static void ignore_item(void *ctx, gc_logged_change_t *change);

static uint64_t revision;

static double cpu_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

/* As on the platform, the order of ids differs from that of addresses and
 * failure domains. */
static void put_entry(gc_registry_t *registry, gc_change_log_t *change_log,
		      const char *kind, unsigned int i, int64_t started_ms)
{
	char id[32];
	char address[32];
	char domain[16];
	gc_registry_entry_t entry = {.service = GC_STR_LIT("llm"),
				     .slots = 12,
				     .started_ms = started_ms};
	gc_store_item_t item = {.value = GC_STR_LIT("{}"),
				.revision = ++revision};

	snprintf(id, sizeof(id), "%s-%08x", kind, i * 2654435761u);
	snprintf(address, sizeof(address), "10.%u.%u.%u:8000", i % N_DOMAINS,
		 i / 250, i % 250);
	snprintf(domain, sizeof(domain), "zone-%u", i % N_DOMAINS);
	entry.id = gc_str(id);
	entry.address = gc_str(address);
	entry.failure_domain = gc_str(domain);
	gc_registry_put(registry, &entry);
	item.key = gc_str(id);
	gc_change_log_add(change_log, &item);
	gc_change_log_advance(change_log, revision);
}

static void ignore_item(void *ctx, gc_logged_change_t *change)
{
}

START_TEST(test_changes_in_a_large_fleet)
{
	uint64_t state = 1;
	const gc_random_t random = {unit_next_random, &state};
	const gc_backends_conf_t conf = {.failure_domain = GC_STR_LIT("zone-3"),
					 .random = &random,
					 .repeat_ratio = 0.8,
					 .repeat_slack = 240,
					 .repeat_window_ms = 10000};
	gc_registry_t *servers = gc_registry_create(NULL, 2500);
	gc_registry_t *daemons = gc_registry_create(NULL, 2500);
	gc_change_log_t *change_log = gc_change_log_create(NULL, 512);
	gc_backends_t *backends = gc_backends_create(NULL, &conf);
	double min_ms = 0;

	for (unsigned int i = 0; i < N_SERVERS; i++)
		put_entry(servers, change_log, "server", i, 1);
	for (unsigned int i = 0; i < N_DAEMONS; i++)
		put_entry(daemons, change_log, "daemon", i, 0);
	for (unsigned int i = 0; i <= N_ROUNDS; i++) {
		double start = cpu_ms();
		uint64_t known = revision;
		gc_fleet_view_t *view;

		for (unsigned int j = 0; j < N_CHANGES; j++)
			put_entry(servers, change_log, "server",
				  i * N_CHANGES + j, i + 2);
		for (unsigned int j = 0; j < N_PEER_QUERIES; j++)
			ck_assert(gc_change_log_foreach_since(
				change_log, known, ignore_item, NULL));
		view = gc_fleet_view_create(NULL, servers, daemons, NULL, 0);
		gc_backends_sync(backends, view->servers, view->n_servers,
				 &(gc_daemon_rank_t){3, 79, 100, N_DAEMONS});
		gc_fleet_view_unref(view);
		/* The first round creates all objects and is not counted. */
		if (i > 0 && (min_ms <= 0 || cpu_ms() - start < min_ms))
			min_ms = cpu_ms() - start;
	}
	ck_assert_double_le(min_ms, MAX_CHANGE_MS);
	talloc_free(backends);
	talloc_free(change_log);
	talloc_free(daemons);
	talloc_free(servers);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_changes_in_a_large_fleet, NULL};

	return unit_run("scale", tests);
}
