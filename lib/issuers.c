/* Choice of the daemon that issues permits and places of a server. */
#include <glib.h>
#include <xxhash.h>

#include "lib/issuers.h"

/* How long an issuer that gave no answer isn't asked. */
#define ISSUER_FAILED_MS 1500

/* Parts of a limit that the issuers grant. Together they stay within the half by
 * which a server may be exceeded, should all of them grant at once. */
static const double parts[GC_N_ISSUERS] = {1, 0.25, 0.125};

struct gc_issuers {
	const gc_clock_t *clock;
	uint32_t capabilities;
	gc_fleet_view_t *view; /* NULL until the first one is set */
	GHashTable *failed; /* name: struct timespec until when */
};

static int issuers_destructor(gc_issuers_t *issuers);
static uint64_t weight_of(const gc_registry_entry_t *daemon, uint64_t server);

gc_issuers_t *gc_issuers_create(TALLOC_CTX *mem, const gc_clock_t *clock,
				uint32_t capabilities)
{
	gc_issuers_t *issuers = talloc_zero(mem, gc_issuers_t);

	issuers->clock = clock;
	issuers->capabilities = capabilities;
	issuers->failed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(issuers, issuers_destructor);
	return issuers;
}

static int issuers_destructor(gc_issuers_t *issuers)
{
	gc_fleet_view_unref(issuers->view);
	g_hash_table_unref(issuers->failed);
	return 0;
}

void gc_issuers_set_view(gc_issuers_t *issuers, gc_fleet_view_t *view)
{
	gc_fleet_view_unref(issuers->view);
	issuers->view = gc_fleet_view_ref(view);
}

const gc_registry_entry_t *gc_issuers_find(const gc_issuers_t *issuers,
					   uint64_t server, size_t position)
{
	const gc_registry_entry_t *best[GC_N_ISSUERS] = {NULL};
	uint64_t weights[GC_N_ISSUERS];
	size_t n = 0;

	for (size_t i = 0; issuers->view && i < issuers->view->n_daemons; i++) {
		const gc_registry_entry_t *daemon = &issuers->view->daemons[i];
		uint64_t weight = weight_of(daemon, server);
		size_t at;

		if (daemon->peer_address.len == 0 ||
		    !gc_issuers_is_capable(issuers, daemon))
			continue;
		at = n < GC_N_ISSUERS ? n++ : GC_N_ISSUERS;
		for (; at > 0 && weights[at - 1] < weight; at--) {
			if (at == GC_N_ISSUERS)
				continue;
			best[at] = best[at - 1];
			weights[at] = weights[at - 1];
		}
		if (at == GC_N_ISSUERS)
			continue;
		best[at] = daemon;
		weights[at] = weight;
	}
	return position < n ? best[position] : NULL;
}

static uint64_t weight_of(const gc_registry_entry_t *daemon, uint64_t server)
{
	return XXH64(daemon->id.data, daemon->id.len, server);
}

void gc_issuers_record_failure(gc_issuers_t *issuers, const char *id)
{
	struct timespec *until = g_new(struct timespec, 1);

	*until = gc_add_ms(gc_clock_now(issuers->clock), ISSUER_FAILED_MS);
	g_hash_table_replace(issuers->failed, g_strdup(id), until);
}

bool gc_issuers_has_failed(const gc_issuers_t *issuers, gc_str_t id)
{
	g_autofree char *name = g_strndup(id.data, id.len);
	const struct timespec *until =
		g_hash_table_lookup(issuers->failed, name);

	return until && gc_ms_between(gc_clock_now(issuers->clock), *until) > 0;
}

double gc_issuers_part(const gc_issuers_t *issuers, size_t position)
{
	size_t n_daemons = issuers->view ? issuers->view->n_daemons : 0;

	return position < GC_N_ISSUERS ? parts[position]
				       : 1.0 / (double)MAX(n_daemons, 1);
}

const gc_registry_entry_t *gc_issuers_daemons(const gc_issuers_t *issuers,
					      size_t *n)
{
	*n = issuers->view ? issuers->view->n_daemons : 0;
	return issuers->view ? issuers->view->daemons : NULL;
}

bool gc_issuers_is_capable(const gc_issuers_t *issuers,
			   const gc_registry_entry_t *daemon)
{
	return (daemon->capabilities & issuers->capabilities) ==
	       issuers->capabilities;
}

double gc_issuers_capable_part(const gc_issuers_t *issuers)
{
	size_t n_daemons;
	const gc_registry_entry_t *daemons =
		gc_issuers_daemons(issuers, &n_daemons);
	size_t n = 0;

	for (size_t i = 0; i < n_daemons; i++)
		n += gc_issuers_is_capable(issuers, &daemons[i]);
	return n > 0 ? (double)n / (double)n_daemons : 1;
}
