/*
 * Which daemons watch the store, and whom the others ask. Every daemon works
 * it out from the same list; where lists differ for a moment, more daemons
 * than needed watch, or one asks a daemon that does not.
 */
#ifndef GC_CORE_WATCHERS_H
#define GC_CORE_WATCHERS_H

#include <stddef.h>
#include <sys/types.h>

#include "core/registry.h"
#include "core/str.h"

/* Watchers in each failure domain; a second one covers the loss of one. */
#define GC_WATCHERS 2

/*
 * Index of the daemon to ask, or -1 if `self` is to watch the store itself.
 * `turn` counts the failures so far, so that each leads to another watcher.
 */
ssize_t gc_watchers_choose(const gc_registry_entry_t *daemons, size_t n,
			   gc_str_t self, gc_str_t failure_domain,
			   unsigned int turn);

#endif
