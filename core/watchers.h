/*
 * Selects the daemons that watch the store; the others ask a watcher for
 * changes. Each daemon computes this from its list of daemons. While the lists
 * differ, too many daemons may watch, or a daemon may ask one that does not
 * watch.
 */
#ifndef GC_CORE_WATCHERS_H
#define GC_CORE_WATCHERS_H

#include <stddef.h>
#include <sys/types.h>

#include "core/registry.h"
#include "core/str.h"

/* Each watcher costs about a call to the store a second, so their number does
 * not depend on that of the failure domains: a fifth of a small fleet, then
 * three, so that one may be lost and another one cut off. */
#define GC_WATCHERS_MIN	       2
#define GC_WATCHERS	       3
#define GC_DAEMONS_PER_WATCHER 5
/* Bounds the bytes that a watcher sends to those that ask it. */
#define GC_WATCHERS_MAX_ASKERS 32

/* Number of watchers among n daemons. */
size_t gc_watchers_count(size_t n);
/*
 * Index of the daemon to ask, or -1 if `self` has to watch the store itself.
 * `daemons` is in the order of ids. The watchers are the first daemons of each
 * failure domain in turn; one of the same domain is asked first. `n_failures`
 * counts the failures of watchers so far; each failure selects the next watcher
 * of any domain.
 */
ssize_t gc_watchers_choose(const gc_registry_entry_t *daemons, size_t n,
			   gc_str_t self, gc_str_t failure_domain,
			   unsigned int n_failures);

#endif
