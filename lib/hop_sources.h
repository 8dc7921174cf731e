/*
 * Addresses from which this daemon runs requests of other daemons: those of the
 * registered ones, and for a time those of daemons that were. A daemon removes its
 * entry when it begins to stop, and goes on with what it has until the end of its
 * grace period.
 */
#ifndef GC_LIB_HOP_SOURCES_H
#define GC_LIB_HOP_SOURCES_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "lib/fleet_view.h"

typedef struct gc_hop_sources gc_hop_sources_t;

/* keep_ms: for how long a daemon that isn't registered any more is known. */
gc_hop_sources_t *gc_hop_sources_create(TALLOC_CTX *mem, int64_t keep_ms);
/* Takes the daemons of the view, which must stay valid until the next one is set. */
void gc_hop_sources_set_view(gc_hop_sources_t *sources, struct timespec now,
			     const gc_fleet_view_t *view);
/* True if the IP is, or lately was, that of a daemon. */
bool gc_hop_sources_has(const gc_hop_sources_t *sources, struct timespec now,
			gc_str_t ip);

#endif
