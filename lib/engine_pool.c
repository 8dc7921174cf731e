/* The engines of one traffic thread, and the choice of one for a run. */
#include <string.h>

#include <xxhash.h>

#include "lib/affinity.h"
#include "lib/engine_pool.h"
#include "lib/openai.h"

struct gc_engine_pool_entry {
	gc_stall_detector_t *stall_detector;
	gc_in_flight_t *in_flight_list;
	bool used; /* since the last gc_engine_pool_foreach_used */
};

struct gc_engine_pool {
	const gc_settings_t *settings;
	const gc_clock_t *clock;
	const gc_random_t *random;
	gc_view_t *view;
	GHashTable *entries; /* name -> gc_engine_pool_entry_t */
	bool *in_subset; /* indexed like view->engines */
	gc_affinity_t *affinity;
	uint64_t subset_names_hash; /* engine names when in_subset was set */
};

static int pool_destructor(gc_engine_pool_t *pool);
static gc_engine_pool_entry_t *get_entry(gc_engine_pool_t *pool,
					 const char *name);
static void choose_subset(gc_engine_pool_t *pool);
static uint64_t hash_engine_names(const gc_view_t *view);
static size_t collect_candidates(gc_engine_pool_t *pool,
				 const gc_run_spec_t *spec, bool subset_only,
				 gc_placement_candidate_t *out);
static void fill_candidate(gc_engine_pool_t *pool, const gc_run_spec_t *spec,
			   const gc_view_instance_t *instance,
			   gc_placement_candidate_t *out);

gc_engine_pool_t *gc_engine_pool_create(TALLOC_CTX *mem,
					const gc_settings_t *settings,
					const gc_clock_t *clock,
					const gc_random_t *random)
{
	gc_engine_pool_t *pool = talloc_zero(mem, gc_engine_pool_t);

	pool->settings = settings;
	pool->clock = clock;
	pool->random = random;
	pool->affinity = gc_affinity_create(pool);
	pool->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(pool, pool_destructor);
	return pool;
}

static int pool_destructor(gc_engine_pool_t *pool)
{
	g_hash_table_unref(pool->entries);
	if (pool->view)
		gc_view_unref(pool->view);
	return 0;
}

void gc_engine_pool_set_view(gc_engine_pool_t *pool, gc_view_t *view)
{
	if (pool->view)
		gc_view_unref(pool->view);
	pool->view = gc_view_ref(view);
	choose_subset(pool);
}

/*
 * Chooses the subset again, but only if the engine names have changed: the
 * choice costs a hash for each pair of names.
 */
static void choose_subset(gc_engine_pool_t *pool)
{
	const gc_view_t *view = pool->view;
	uint64_t hash = hash_engine_names(view);
	gc_str_t *names;

	if (pool->in_subset && pool->subset_names_hash == hash)
		return;
	TALLOC_FREE(pool->in_subset);
	pool->in_subset = talloc_array(pool, bool, view->n_engines + 1);
	pool->subset_names_hash = hash;
	names = talloc_array(pool, gc_str_t, view->n_engines + 1);
	for (size_t i = 0; i < view->n_engines; i++)
		names[i] = view->engines[i].name;
	for (size_t i = 0; i < view->n_engines; i++)
		pool->in_subset[i] =
			gc_placement_in_subset(gc_str(pool->settings->instance),
					       names[i], names, view->n_engines,
					       pool->settings->engine_subset);
	talloc_free(names);
}

static uint64_t hash_engine_names(const gc_view_t *view)
{
	uint64_t hash = view->n_engines;

	for (size_t i = 0; i < view->n_engines; i++)
		hash = XXH3_64bits_withSeed(view->engines[i].name.data,
					    view->engines[i].name.len, hash);
	return hash;
}

uint32_t gc_engine_pool_slots(const gc_engine_pool_t *pool)
{
	const gc_view_t *view = pool->view;
	uint32_t slots = 0;

	for (size_t i = 0; view && i < view->n_engines; i++) {
		if (pool->in_subset[i] && !view->engines[i].leaving)
			slots += view->engines[i].slots;
	}
	return slots;
}

bool gc_engine_pool_choose(gc_engine_pool_t *pool, const gc_run_spec_t *spec,
			   char name[GC_NAME_MAX])
{
	gc_placement_request_t request = {
		.prompt_tokens =
			gc_estimate_tokens(spec->prompt) + spec->prefix_tokens,
		.policy = spec->policy,
		.avoid = spec->avoid,
		.n_avoid = spec->n_avoid,
		.prefer_domain = gc_str(pool->settings->failure_domain),
	};
	gc_placement_candidate_t *candidates;
	ssize_t chosen = -1;
	size_t n;

	if (!pool->view || !pool->view->config || !spec->model)
		return false;
	candidates = talloc_zero_array(pool, gc_placement_candidate_t,
				       pool->view->n_engines + 1);
	n = collect_candidates(pool, spec, true, candidates);
	if (n > 0)
		chosen = gc_placement_choose(candidates, n, &request,
					     pool->random);
	/* The subset may have no engine of this model, or no eligible one. */
	if (chosen < 0) {
		n = collect_candidates(pool, spec, false, candidates);
		chosen = gc_placement_choose(candidates, n, &request,
					     pool->random);
	}
	if (chosen >= 0)
		g_strlcpy(name, candidates[chosen].name.data,
			  MIN(candidates[chosen].name.len + 1, GC_NAME_MAX));
	talloc_free(candidates);
	return chosen >= 0;
}

static size_t collect_candidates(gc_engine_pool_t *pool,
				 const gc_run_spec_t *spec, bool subset_only,
				 gc_placement_candidate_t *out)
{
	const gc_view_t *view = pool->view;
	size_t n = 0;

	for (size_t i = 0; i < view->n_engines; i++) {
		const gc_view_instance_t *instance = &view->engines[i];

		if (subset_only && !pool->in_subset[i])
			continue;
		if (!gc_config_serves_model(view->config, spec->account,
					    gc_str(spec->model),
					    instance->labels))
			continue;
		fill_candidate(pool, spec, instance, &out[n]);
		n++;
	}
	return n;
}

static void fill_candidate(gc_engine_pool_t *pool, const gc_run_spec_t *spec,
			   const gc_view_instance_t *instance,
			   gc_placement_candidate_t *out)
{
	g_autofree char *name =
		g_strndup(instance->name.data, instance->name.len);
	const gc_engine_pool_entry_t *entry = get_entry(pool, name);

	*out = (gc_placement_candidate_t){
		.name = instance->name,
		.failure_domain = instance->failure_domain,
		.slots = instance->slots,
		.running = instance->running,
		.queued = instance->queued,
		.leaving = instance->leaving,
		.ejected = instance->ejected,
	};
	out->cached_tokens =
		gc_affinity_cached_bytes(pool->affinity, gc_str(spec->prompt),
					 entry) /
		GC_BYTES_PER_TOKEN;
	for (const gc_in_flight_t *f = entry->in_flight_list; f; f = f->next) {
		out->own_in_flight++;
		if (gc_us_between(instance->reported_at, f->started_at) > 0)
			out->own_since_report++;
	}
}

const gc_view_instance_t *gc_engine_pool_find(const gc_engine_pool_t *pool,
					      const char *name)
{
	const gc_view_t *view = pool->view;

	for (size_t i = 0; view && i < view->n_engines; i++) {
		if (gc_str_eq(view->engines[i].name, gc_str(name)))
			return &view->engines[i];
	}
	return NULL;
}

gc_stall_detector_t *gc_engine_pool_stall_detector(gc_engine_pool_t *pool,
						   const char *name)
{
	return get_entry(pool, name)->stall_detector;
}

/*
 * Creates the entry if there is none. Entries are never removed: an engine that
 * returns keeps its stall detector.
 */
static gc_engine_pool_entry_t *get_entry(gc_engine_pool_t *pool,
					 const char *name)
{
	gc_engine_pool_entry_t *entry =
		g_hash_table_lookup(pool->entries, name);

	if (entry)
		return entry;
	entry = talloc_zero(pool, gc_engine_pool_entry_t);
	entry->stall_detector = gc_stall_detector_create(entry);
	g_hash_table_insert(pool->entries, g_strdup(name), entry);
	return entry;
}

void gc_engine_pool_foreach_used(gc_engine_pool_t *pool,
				 void (*fn)(void *ctx, const char *name),
				 void *ctx)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, pool->entries);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		gc_engine_pool_entry_t *entry = value;

		if (entry->used || entry->in_flight_list)
			fn(ctx, name);
		entry->used = false;
	}
}

void gc_in_flight_add(gc_engine_pool_t *pool, gc_in_flight_t *in_flight,
		      const char *name)
{
	in_flight->entry = get_entry(pool, name);
	in_flight->entry->used = true;
	in_flight->started_at = gc_clock_now(pool->clock);
	in_flight->prev = NULL;
	in_flight->next = in_flight->entry->in_flight_list;
	if (in_flight->next)
		in_flight->next->prev = in_flight;
	in_flight->entry->in_flight_list = in_flight;
}

void gc_engine_pool_record_prompt(gc_engine_pool_t *pool, const char *name,
				  const char *prompt)
{
	gc_affinity_record(pool->affinity, gc_str(prompt),
			   get_entry(pool, name));
}

void gc_in_flight_remove(gc_in_flight_t *in_flight)
{
	if (!in_flight->entry)
		return;
	if (in_flight->prev)
		in_flight->prev->next = in_flight->next;
	else
		in_flight->entry->in_flight_list = in_flight->next;
	if (in_flight->next)
		in_flight->next->prev = in_flight->prev;
	in_flight->entry = NULL;
}
