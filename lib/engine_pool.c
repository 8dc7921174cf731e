/* What a traffic thread knows about engines: reach, stalls, own runs. */
#include <string.h>

#include <xxhash.h>

#include "lib/affinity.h"
#include "lib/engine_pool.h"
#include "lib/openai.h"

struct gc_engine_pool_entry {
	gc_stall_detector_t *stall;
	gc_flight_t *flights;
	bool used; /* since the last gc_engine_pool_each_used */
};

struct gc_engine_pool {
	const gc_settings_t *settings;
	const gc_clock_t *clock;
	const gc_random_t *random;
	gc_view_t *view;
	GHashTable *records; /* name -> gc_engine_pool_entry_t */
	bool *in_subset; /* of view->engines, by index */
	gc_affinity_t *affinity;
	uint64_t subset_of; /* hash of the names that it was made from */
};

static int engines_destructor(gc_engine_pool_t *engines);
static gc_engine_pool_entry_t *record(gc_engine_pool_t *engines,
				      const char *name);
static void choose_subset(gc_engine_pool_t *engines);
static uint64_t names_hash(const gc_view_t *view);
static size_t collect(gc_engine_pool_t *engines, const gc_pick_t *pick,
		      bool subset_only, gc_placement_candidate_t *out);
static void fill(gc_engine_pool_t *engines, const gc_pick_t *pick,
		 const gc_view_instance_t *instance,
		 gc_placement_candidate_t *out);

gc_engine_pool_t *gc_engine_pool_create(TALLOC_CTX *mem,
					const gc_settings_t *settings,
					const gc_clock_t *clock,
					const gc_random_t *random)
{
	gc_engine_pool_t *engines = talloc_zero(mem, gc_engine_pool_t);

	engines->settings = settings;
	engines->clock = clock;
	engines->random = random;
	engines->affinity = gc_affinity_create(engines);
	engines->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(engines, engines_destructor);
	return engines;
}

static int engines_destructor(gc_engine_pool_t *engines)
{
	g_hash_table_unref(engines->records);
	if (engines->view)
		gc_view_unref(engines->view);
	return 0;
}

void gc_engine_pool_set_view(gc_engine_pool_t *engines, gc_view_t *view)
{
	if (engines->view)
		gc_view_unref(engines->view);
	engines->view = gc_view_ref(view);
	choose_subset(engines);
}

/* The choice costs a hash per pair of names, so it is kept. */
static void choose_subset(gc_engine_pool_t *engines)
{
	const gc_view_t *view = engines->view;
	uint64_t hash = names_hash(view);
	gc_str_t *names;

	if (engines->in_subset && engines->subset_of == hash)
		return;
	TALLOC_FREE(engines->in_subset);
	engines->in_subset = talloc_array(engines, bool, view->n_engines + 1);
	engines->subset_of = hash;
	names = talloc_array(engines, gc_str_t, view->n_engines + 1);
	for (size_t i = 0; i < view->n_engines; i++)
		names[i] = view->engines[i].name;
	for (size_t i = 0; i < view->n_engines; i++)
		engines->in_subset[i] = gc_placement_in_subset(
			gc_str(engines->settings->instance), names[i], names,
			view->n_engines, engines->settings->engine_subset);
	talloc_free(names);
}

static uint64_t names_hash(const gc_view_t *view)
{
	uint64_t hash = view->n_engines;

	for (size_t i = 0; i < view->n_engines; i++)
		hash = XXH3_64bits_withSeed(view->engines[i].name.data,
					    view->engines[i].name.len, hash);
	return hash;
}

uint32_t gc_engine_pool_slots(const gc_engine_pool_t *engines)
{
	const gc_view_t *view = engines->view;
	uint32_t slots = 0;

	for (size_t i = 0; view && i < view->n_engines; i++) {
		if (engines->in_subset[i] && !view->engines[i].leaving)
			slots += view->engines[i].slots;
	}
	return slots;
}

bool gc_engine_pool_pick(gc_engine_pool_t *engines, const gc_pick_t *pick,
			 char name[GC_NAME_MAX])
{
	gc_placement_request_t request = {
		.prompt_tokens =
			gc_estimate_tokens(pick->prompt) + pick->prefix_tokens,
		.policy = pick->policy,
		.avoid = pick->avoid,
		.n_avoid = pick->n_avoid,
		.prefer_domain = gc_str(engines->settings->failure_domain),
	};
	gc_placement_candidate_t *candidates;
	ssize_t chosen = -1;
	size_t n;

	if (!engines->view || !engines->view->config || !pick->model)
		return false;
	candidates = talloc_zero_array(engines, gc_placement_candidate_t,
				       engines->view->n_engines + 1);
	n = collect(engines, pick, true, candidates);
	if (n > 0)
		chosen = gc_placement_choose(candidates, n, &request,
					     engines->random);
	/* The subset may hold no engine of this model, or none that is left. */
	if (chosen < 0) {
		n = collect(engines, pick, false, candidates);
		chosen = gc_placement_choose(candidates, n, &request,
					     engines->random);
	}
	if (chosen >= 0)
		g_strlcpy(name, candidates[chosen].name.data,
			  MIN(candidates[chosen].name.len + 1, GC_NAME_MAX));
	talloc_free(candidates);
	return chosen >= 0;
}

static size_t collect(gc_engine_pool_t *engines, const gc_pick_t *pick,
		      bool subset_only, gc_placement_candidate_t *out)
{
	const gc_view_t *view = engines->view;
	size_t n = 0;

	for (size_t i = 0; i < view->n_engines; i++) {
		const gc_view_instance_t *instance = &view->engines[i];

		if (subset_only && !engines->in_subset[i])
			continue;
		if (!gc_config_serves_model(view->config, pick->account,
					    gc_str(pick->model),
					    instance->labels))
			continue;
		fill(engines, pick, instance, &out[n]);
		n++;
	}
	return n;
}

static void fill(gc_engine_pool_t *engines, const gc_pick_t *pick,
		 const gc_view_instance_t *instance,
		 gc_placement_candidate_t *out)
{
	g_autofree char *name =
		g_strndup(instance->name.data, instance->name.len);
	const gc_engine_pool_entry_t *own = record(engines, name);

	*out = (gc_placement_candidate_t){
		.name = instance->name,
		.failure_domain = instance->failure_domain,
		.slots = instance->slots,
		.running = instance->running,
		.queued = instance->queued,
		.leaving = instance->leaving,
		.ejected = instance->ejected,
	};
	out->cached_tokens = gc_affinity_bytes(engines->affinity,
					       gc_str(pick->prompt), own) /
			     GC_BYTES_PER_TOKEN;
	for (const gc_flight_t *f = own->flights; f; f = f->next) {
		out->own_in_flight++;
		if (gc_us_between(instance->reported_at, f->since) > 0)
			out->own_since_report++;
	}
}

const gc_view_instance_t *gc_engine_pool_find(const gc_engine_pool_t *engines,
					      const char *name)
{
	const gc_view_t *view = engines->view;

	for (size_t i = 0; view && i < view->n_engines; i++) {
		if (gc_str_eq(view->engines[i].name, gc_str(name)))
			return &view->engines[i];
	}
	return NULL;
}

gc_stall_detector_t *gc_engine_pool_stall(gc_engine_pool_t *engines,
					  const char *name)
{
	return record(engines, name)->stall;
}

/* Records stay: an engine that comes back has its old timing. */
static gc_engine_pool_entry_t *record(gc_engine_pool_t *engines,
				      const char *name)
{
	gc_engine_pool_entry_t *found =
		g_hash_table_lookup(engines->records, name);

	if (found)
		return found;
	found = talloc_zero(engines, gc_engine_pool_entry_t);
	found->stall = gc_stall_detector_create(found);
	g_hash_table_insert(engines->records, g_strdup(name), found);
	return found;
}

void gc_engine_pool_each_used(gc_engine_pool_t *engines,
			      void (*fn)(void *ctx, const char *name),
			      void *ctx)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, engines->records);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		gc_engine_pool_entry_t *engine = value;

		if (engine->used || engine->flights)
			fn(ctx, name);
		engine->used = false;
	}
}

void gc_flight_begin(gc_engine_pool_t *engines, gc_flight_t *flight,
		     const char *name)
{
	flight->record = record(engines, name);
	flight->record->used = true;
	flight->since = gc_clock_now(engines->clock);
	flight->prev = NULL;
	flight->next = flight->record->flights;
	if (flight->next)
		flight->next->prev = flight;
	flight->record->flights = flight;
}

void gc_engine_pool_note_prompt(gc_engine_pool_t *engines, const char *name,
				const char *prompt)
{
	gc_affinity_note(engines->affinity, gc_str(prompt),
			 record(engines, name));
}

void gc_flight_end(gc_flight_t *flight)
{
	if (!flight->record)
		return;
	if (flight->prev)
		flight->prev->next = flight->next;
	else
		flight->record->flights = flight->next;
	if (flight->next)
		flight->next->prev = flight->prev;
	flight->record = NULL;
}
