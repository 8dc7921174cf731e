/* The watchers are the first daemons of each failure domain in turn. */
#include <glib.h>
#include <xxhash.h>

#include "core/watchers.h"

static size_t *domain_ranks(const gc_registry_entry_t *daemons, size_t n);
static size_t select_watchers(const gc_registry_entry_t *daemons, size_t n,
			      size_t *watchers, size_t max);

size_t gc_watchers_count(size_t n)
{
	size_t by_askers =
		(n + GC_WATCHERS_MAX_ASKERS - 1) / GC_WATCHERS_MAX_ASKERS;

	size_t few =
		CLAMP(n / GC_DAEMONS_PER_WATCHER, GC_WATCHERS_MIN, GC_WATCHERS);

	return MIN(n, MAX(by_askers, few));
}

/* Number of daemons of the same failure domain before each daemon. */
static size_t *domain_ranks(const gc_registry_entry_t *daemons, size_t n)
{
	size_t *ranks = g_new0(size_t, n);
	size_t *last = g_new(size_t, n); /* the latest daemon of each domain */
	size_t n_domains = 0;

	for (size_t i = 0; i < n; i++) {
		size_t domain = 0;

		while (domain < n_domains &&
		       !gc_str_eq(daemons[last[domain]].failure_domain,
				  daemons[i].failure_domain))
			domain++;
		if (domain == n_domains)
			n_domains++;
		else
			ranks[i] = ranks[last[domain]] + 1;
		last[domain] = i;
	}
	g_free(last);
	return ranks;
}

static size_t select_watchers(const gc_registry_entry_t *daemons, size_t n,
			      size_t *watchers, size_t max)
{
	size_t *ranks = domain_ranks(daemons, n);
	size_t n_watchers = 0;

	for (size_t rank = 0; n_watchers < max; rank++)
		for (size_t i = 0; i < n && n_watchers < max; i++)
			if (ranks[i] == rank)
				watchers[n_watchers++] = i;
	g_free(ranks);
	return n_watchers;
}

ssize_t gc_watchers_choose(const gc_registry_entry_t *daemons, size_t n,
			   gc_str_t self, gc_str_t failure_domain,
			   unsigned int n_failures)
{
	size_t max = gc_watchers_count(n);
	size_t *watchers = g_new(size_t, max + 1);
	size_t *local = g_new(size_t, max + 1);
	size_t n_watchers = select_watchers(daemons, n, watchers, max);
	size_t n_local = 0;
	uint64_t choice = XXH64(self.data, self.len, 0) + n_failures;
	bool watches = n_watchers == 0;
	ssize_t chosen = -1;

	for (size_t i = 0; i < n_watchers; i++) {
		const gc_registry_entry_t *watcher = &daemons[watchers[i]];

		watches |= gc_str_eq(watcher->id, self);
		if (gc_str_eq(watcher->failure_domain, failure_domain))
			local[n_local++] = watchers[i];
	}
	if (!watches && n_failures == 0 && n_local > 0)
		chosen = (ssize_t)local[choice % n_local];
	else if (!watches)
		chosen = (ssize_t)watchers[choice % n_watchers];
	g_free(watchers);
	g_free(local);
	return chosen;
}
