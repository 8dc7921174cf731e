/*
 * Load pattern: streams begin faster than they end, and the memory of the
 * servers fills up before their slots do (88,000 tokens hold nine streams of
 * 9,100, not 16). Each further stream makes the server preempt another one and
 * read its prompt again, so that the overload keeps itself going.
 */
#include <stdio.h>

#include "core/backends.h"
#include "regress/unit.h"

#define N_SERVERS 3
#define KV_TOTAL  88000

static const gc_prompt_t prompt = {
	.hash = 7, .tokens = 8000, .max_output_tokens = 1100};

typedef struct fixture {
	uint64_t seed;
	gc_random_t random;
	gc_backends_t *backends;
	gc_backend_t *servers[N_SERVERS]; /* in the prompt's preference */
} fixture_t;

static void setup(fixture_t *fixture)
{
	gc_backends_conf_t conf = {.failure_domain = GC_STR_LIT("a"),
				   .random = &fixture->random};
	gc_daemon_rank_t rank = {0, 1, 0, 1};
	gc_registry_entry_t entries[N_SERVERS];
	char ids[N_SERVERS][8];

	fixture->seed = 3;
	fixture->random = (gc_random_t){unit_next_random, &fixture->seed};
	for (int i = 0; i < N_SERVERS; i++) {
		snprintf(ids[i], sizeof(ids[i]), "i%d", i);
		entries[i] =
			(gc_registry_entry_t){.id = gc_str(ids[i]),
					      .service = GC_STR_LIT("s"),
					      .address = gc_str(ids[i]),
					      .failure_domain = GC_STR_LIT("a"),
					      .slots = 16,
					      .started_ms = 1};
	}
	fixture->backends = gc_backends_create(NULL, &conf);
	gc_backends_sync(fixture->backends, entries, N_SERVERS, &rank);
	ck_assert_uint_eq(gc_backends_candidates(fixture->backends, unit_at(0),
						 GC_STR_LIT("s"), &prompt, NULL,
						 fixture->servers, N_SERVERS),
			  N_SERVERS);
}

static bool has_room_with(const gc_backend_load_t *load)
{
	fixture_t fixture;
	bool room;

	setup(&fixture);
	gc_backend_record_load(fixture.servers[0], unit_at(0), load);
	room = gc_backend_has_room(fixture.servers[0], unit_at(10), &prompt);
	talloc_free(fixture.backends);
	return room;
}

START_TEST(test_memory_counts_what_runs_waits_and_grows)
{
	gc_backend_load_t eight = {
		.running = 8, .kv_used = 8 * 8000, .kv_total = KV_TOTAL};
	gc_backend_load_t nine = {
		.running = 9, .kv_used = 9 * 8600, .kv_total = KV_TOTAL};
	gc_backend_load_t waiting = {.running = 6,
				     .queued = 3,
				     .kv_used = 6 * 8600,
				     .kv_total = KV_TOTAL};
	gc_backend_load_t copies = {.kv_used = 80000, .kv_total = KV_TOTAL};
	gc_backend_load_t unknown = {.running = 9};

	ck_assert(has_room_with(&eight));
	ck_assert(!has_room_with(&nine));
	ck_assert(!has_room_with(&waiting));
	ck_assert(!has_room_with(&copies));
	ck_assert(has_room_with(&unknown));
}
END_TEST

START_TEST(test_old_report_does_not_count)
{
	gc_backend_load_t full = {.kv_used = KV_TOTAL, .kv_total = KV_TOTAL};
	fixture_t fixture;

	setup(&fixture);
	gc_backend_record_load(fixture.servers[0], unit_at(0), &full);
	ck_assert(!gc_backend_has_room(fixture.servers[0], unit_at(400),
				       &prompt));
	ck_assert(
		gc_backend_has_room(fixture.servers[0], unit_at(600), &prompt));
	talloc_free(fixture.backends);
}
END_TEST

START_TEST(test_server_with_room_goes_before_the_preferred_one)
{
	gc_backend_load_t full = {
		.running = 1, .kv_used = 84000, .kv_total = KV_TOTAL};
	gc_backend_load_t busy = {
		.running = 7, .kv_used = 56000, .kv_total = KV_TOTAL};
	fixture_t fixture;
	gc_backend_set_t set = {.list = fixture.servers, .n = N_SERVERS};

	setup(&fixture);
	gc_backend_record_load(fixture.servers[0], unit_at(0), &full);
	gc_backend_record_load(fixture.servers[1], unit_at(0), &full);
	gc_backend_record_load(fixture.servers[2], unit_at(0), &busy);
	ck_assert_ptr_eq(gc_backends_best_of(fixture.backends, unit_at(10),
					     &prompt, &set),
			 fixture.servers[2]);
	talloc_free(fixture.backends);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_memory_counts_what_runs_waits_and_grows,
		test_old_report_does_not_count,
		test_server_with_room_goes_before_the_preferred_one,
		NULL,
	};

	return unit_run("room", tests);
}
