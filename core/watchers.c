/* The watchers of a failure domain are its first daemons by id. */
#include <xxhash.h>

#include "core/watchers.h"

ssize_t gc_watchers_choose(const gc_registry_entry_t *daemons, size_t n,
			   gc_str_t self, gc_str_t failure_domain,
			   unsigned int n_failures)
{
	ssize_t watchers[GC_WATCHERS_PER_DOMAIN];
	size_t n_watchers = 0;

	for (size_t i = 0; i < n && n_watchers < GC_WATCHERS_PER_DOMAIN; i++) {
		if (!gc_str_eq(daemons[i].failure_domain, failure_domain))
			continue;
		if (gc_str_eq(daemons[i].id, self))
			return -1;
		watchers[n_watchers++] = (ssize_t)i;
	}
	if (n_watchers == 0)
		return -1;
	return watchers[(XXH64(self.data, self.len, 0) + n_failures) %
			n_watchers];
}
