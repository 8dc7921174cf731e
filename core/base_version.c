/* Decides when the base version of a service changes. */
#include <glib.h>

#include "core/base_version.h"
#include "core/clock.h"
#include "core/strhash.h"

typedef struct history {
	gc_str_t service;
	gc_str_t base;
	bool base_known;
	struct timespec base_listed_at; /* last, or when the history began */
	bool base_listed; /* in the latest list */
	/* When another version was listed last, or the base version changed. */
	struct timespec mixed_at;
	bool mixed; /* in the latest list */
	bool was_mixed;
	struct timespec mixed_until; /* last, if was_mixed */
} history_t;

struct gc_base_versions {
	GHashTable *histories; /* by service */
};

static int versions_destructor(gc_base_versions_t *versions);
static history_t *find_or_add(gc_base_versions_t *versions, struct timespec now,
			      gc_str_t service);
static bool update(history_t *history, struct timespec now,
		   const gc_registry_entry_t *servers, size_t n,
		   const gc_base_version_t *base);
static bool most_common(gc_str_t service, const gc_registry_entry_t *servers,
			size_t n, gc_str_t *version);
static void free_history(gpointer data);

gc_base_versions_t *gc_base_versions_create(TALLOC_CTX *mem)
{
	gc_base_versions_t *versions = talloc_zero(mem, gc_base_versions_t);

	versions->histories = g_hash_table_new_full(gc_str_hash, gc_str_equal,
						    NULL, free_history);
	talloc_set_destructor(versions, versions_destructor);
	return versions;
}

static int versions_destructor(gc_base_versions_t *versions)
{
	g_hash_table_unref(versions->histories);
	return 0;
}

static void free_history(gpointer data)
{
	talloc_free(data);
}

bool gc_base_versions_propose(gc_base_versions_t *versions, struct timespec now,
			      gc_str_t service,
			      const gc_registry_entry_t *servers, size_t n,
			      const gc_base_version_t *base, gc_str_t *proposed)
{
	history_t *history = find_or_add(versions, now, service);
	bool base_listed = update(history, now, servers, n, base);

	if (base && (base_listed || gc_ms_between(history->base_listed_at,
						  now) < GC_STREAM_LIFE_MS))
		return false;
	return most_common(service, servers, n, proposed);
}

static history_t *find_or_add(gc_base_versions_t *versions, struct timespec now,
			      gc_str_t service)
{
	history_t *history = g_hash_table_lookup(versions->histories, &service);

	if (history)
		return history;
	history = talloc_zero(NULL, history_t);
	history->service = gc_str_dup(history, service);
	history->base_listed_at = now;
	history->mixed_at = now;
	g_hash_table_insert(versions->histories, &history->service, history);
	return history;
}

/* True if a server of the base version is listed. */
static bool update(history_t *history, struct timespec now,
		   const gc_registry_entry_t *servers, size_t n,
		   const gc_base_version_t *base)
{
	bool same = base && history->base_known &&
		    gc_str_eq(base->version, history->base);
	bool listed = false;
	bool others = false;

	for (size_t i = 0; base && i < n; i++) {
		bool is_base = gc_str_eq(servers[i].version, base->version);

		if (!gc_str_eq(servers[i].service, history->service))
			continue;
		listed |= is_base;
		others |= !is_base;
	}
	/* A list holds until the next one. */
	if (!same || others || history->mixed)
		history->mixed_at = now;
	if (!same || listed || history->base_listed)
		history->base_listed_at = now;
	if (others || history->mixed) {
		history->was_mixed = true;
		history->mixed_until = now;
	}
	history->mixed = others;
	history->base_listed = listed;
	if (!same && base) {
		talloc_free((char *)history->base.data);
		history->base = gc_str_dup(history, base->version);
	}
	history->base_known = base != NULL;
	return listed;
}

void gc_base_versions_note_gap(gc_base_versions_t *versions,
			       struct timespec now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, versions->histories);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		history_t *history = value;

		history->base_listed_at = now;
		history->mixed_at = now;
	}
}

bool gc_base_versions_is_only(const gc_base_versions_t *versions,
			      struct timespec now, gc_str_t service)
{
	const history_t *history =
		g_hash_table_lookup(versions->histories, &service);

	return history && history->base_known && !history->mixed &&
	       gc_ms_between(history->mixed_at, now) >= GC_STREAM_LIFE_MS;
}

bool gc_base_versions_is_mixed(const gc_base_versions_t *versions,
			       struct timespec now, gc_str_t service)
{
	const history_t *history =
		g_hash_table_lookup(versions->histories, &service);

	return history &&
	       (history->mixed ||
		(history->was_mixed &&
		 gc_ms_between(history->mixed_until, now) < GC_STREAM_LIFE_MS));
}

/* Of versions with as many servers, the lower one in the order of bytes, so that
 * all daemons propose the same. */
static bool most_common(gc_str_t service, const gc_registry_entry_t *servers,
			size_t n, gc_str_t *version)
{
	size_t most = 0;

	for (size_t i = 0; i < n; i++) {
		size_t count = 0;

		if (!gc_str_eq(servers[i].service, service))
			continue;
		for (size_t j = 0; j < n; j++)
			count += gc_str_eq(servers[j].service, service) &&
				 gc_str_eq(servers[j].version,
					   servers[i].version);
		if (count < most ||
		    (count == most &&
		     g_strcmp0(servers[i].version.data, version->data) >= 0))
			continue;
		most = count;
		*version = servers[i].version;
	}
	return most > 0;
}
