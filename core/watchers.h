/*
 * Selects the daemons that watch the store; the others ask a watcher of their
 * failure domain for changes. Each daemon computes this from its list of
 * daemons. While the lists differ, too many daemons may watch, or a daemon may
 * ask one that does not watch.
 */
#ifndef GC_CORE_WATCHERS_H
#define GC_CORE_WATCHERS_H

#include <stddef.h>
#include <sys/types.h>

#include "core/registry.h"
#include "core/str.h"

/* Two, so that a failure domain can lose one. */
#define GC_WATCHERS_PER_DOMAIN 2

/*
 * Index of the daemon to ask, or -1 if `self` has to watch the store itself.
 * `daemons` is in the order of ids. `n_failures` counts the failures of
 * watchers so far; each failure selects the next watcher.
 */
ssize_t gc_watchers_choose(const gc_registry_entry_t *daemons, size_t n,
			   gc_str_t self, gc_str_t failure_domain,
			   unsigned int n_failures);

#endif
