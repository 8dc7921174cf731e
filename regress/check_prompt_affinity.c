/*
 * Load pattern: all daemons die with streams in flight, and their callers resume
 * at daemons that know nothing of them. Each prompt was then read once more by
 * another server, which cost its time and delayed all others: a second of
 * prefill for each stream at the moment of the highest load.
 */
#include <stdio.h>

#include "core/backends.h"
#include "regress/unit.h"

#define N_DAEMONS    8
#define N_SERVERS    40
#define N_STREAMS    80
#define N_CANDIDATES 4

typedef struct fixture {
	uint64_t seed;
	gc_random_t random;
	char ids[N_SERVERS][8];
	char addresses[N_SERVERS][24];
	gc_registry_entry_t servers[N_SERVERS];
	gc_backends_t *daemons[N_DAEMONS];
	unsigned int load[N_SERVERS]; /* requests of all daemons */
} fixture_t;

static void start_daemons(fixture_t *fixture)
{
	gc_backends_conf_t conf = {.failure_domain = GC_STR_LIT("a"),
				   .random = &fixture->random};

	for (size_t i = 0; i < N_DAEMONS; i++) {
		gc_daemon_rank_t rank = {i, N_DAEMONS, i, N_DAEMONS};

		talloc_free(fixture->daemons[i]);
		fixture->daemons[i] = gc_backends_create(NULL, &conf);
		gc_backends_sync(fixture->daemons[i], fixture->servers,
				 N_SERVERS, &rank);
	}
}

static void setup(fixture_t *fixture, uint64_t seed)
{
	*fixture = (fixture_t){.seed = seed};
	fixture->random = (gc_random_t){unit_next_random, &fixture->seed};
	for (int i = 0; i < N_SERVERS; i++) {
		snprintf(fixture->ids[i], sizeof(fixture->ids[i]), "i%d", i);
		snprintf(fixture->addresses[i], sizeof(fixture->addresses[i]),
			 "127.0.0.1:%d", 1000 + i);
		fixture->servers[i] = (gc_registry_entry_t){
			.id = gc_str(fixture->ids[i]),
			.service = GC_STR_LIT("s"),
			.address = gc_str(fixture->addresses[i]),
			.failure_domain = GC_STR_LIT("a"),
			.slots = 16,
			.started_ms = 1};
	}
	start_daemons(fixture);
}

static void tear_down(fixture_t *fixture)
{
	for (size_t i = 0; i < N_DAEMONS; i++)
		talloc_free(fixture->daemons[i]);
}

static size_t index_of(const fixture_t *fixture, const gc_backend_t *backend)
{
	for (size_t i = 0; i < N_SERVERS; i++)
		if (gc_str_eq(gc_backend_id(backend), fixture->servers[i].id))
			return i;
	ck_abort_msg("unknown server");
	return 0;
}

/* Places a stream as a daemon does: asks candidates for their load first. */
static size_t place(fixture_t *fixture, size_t daemon,
		    const gc_prompt_t *prompt, struct timespec now)
{
	gc_backend_t *c[N_CANDIDATES];
	gc_backend_set_t set = {.list = c, .n = 0};
	gc_backend_t *chosen;
	size_t index;

	set.n = gc_backends_candidates(fixture->daemons[daemon], now,
				       GC_STR_LIT("s"), prompt, NULL, c,
				       N_CANDIDATES);
	for (size_t i = 0; i < set.n; i++) {
		gc_backend_load_t load = {
			.running = fixture->load[index_of(fixture, c[i])]};

		gc_backend_record_load(c[i], now, &load);
	}
	chosen = gc_backends_best_of(fixture->daemons[daemon], now, prompt,
				     &set);
	index = index_of(fixture, chosen);
	fixture->load[index]++;
	return index;
}

START_TEST(test_resumed_streams_find_their_prompts)
{
	unsigned int n_found = 0;
	unsigned int max_load = 0;

	for (uint64_t seed = 0; seed < 10; seed++) {
		size_t first[N_STREAMS];
		fixture_t fixture;

		setup(&fixture, seed);
		for (size_t i = 0; i < N_STREAMS; i++) {
			gc_prompt_t prompt = {.hash = seed * 1000 + i};

			first[i] = place(&fixture, i % N_DAEMONS, &prompt,
					 unit_at((int64_t)i * 40));
		}
		for (size_t i = 0; i < N_SERVERS; i++) {
			if (fixture.load[i] > max_load)
				max_load = fixture.load[i];
			fixture.load[i] = 0;
		}
		start_daemons(&fixture);
		for (size_t i = 0; i < N_STREAMS; i++) {
			gc_prompt_t prompt = {.hash = seed * 1000 + i,
					      .resumed = true};
			size_t second =
				place(&fixture, (i + 3) % N_DAEMONS, &prompt,
				      unit_at(5000 + (int64_t)i * 5));

			n_found += second == first[i];
		}
		tear_down(&fixture);
	}
	/* Without a common preference a fortieth would be found. */
	ck_assert_uint_gt(n_found, 10 * N_STREAMS / 2);
	/* Two streams each are the mean. */
	ck_assert_uint_le(max_load, 2 * N_STREAMS / N_SERVERS + 1);
}
END_TEST

START_TEST(test_loaded_server_is_left_for_the_next_one)
{
	gc_prompt_t prompt = {.hash = 7, .resumed = true};
	fixture_t fixture;
	size_t preferred;

	setup(&fixture, 1);
	preferred = place(&fixture, 0, &prompt, unit_at(0));
	fixture.load[preferred] = 16;
	ck_assert_uint_ne(place(&fixture, 1, &prompt, unit_at(1000)),
			  preferred);
	tear_down(&fixture);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_resumed_streams_find_their_prompts,
		test_loaded_server_is_left_for_the_next_one,
		NULL,
	};

	return unit_run("prompt_affinity", tests);
}
