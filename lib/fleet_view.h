/* Immutable snapshots of what a daemon knows, shared between threads. */
#ifndef GC_LIB_FLEET_VIEW_H
#define GC_LIB_FLEET_VIEW_H

#include <stddef.h>

#include "core/registry.h"
#include "core/routes.h"

/* Reference-counted across threads. */
typedef struct gc_fleet_view {
	gc_routes_t *routes; /* NULL until the first version is known */
	gc_registry_entry_t *servers; /* backend servers, in the order of ids */
	size_t n_servers;
	gc_registry_entry_t *daemons; /* serving daemons, in the order of ids */
	size_t n_daemons;
} gc_fleet_view_t;

/* Copies the entries; routes may be NULL. */
gc_fleet_view_t *gc_fleet_view_create(gc_routes_t *routes,
				      const gc_registry_t *servers,
				      const gc_registry_t *daemons);
gc_fleet_view_t *gc_fleet_view_ref(gc_fleet_view_t *view);
void gc_fleet_view_unref(gc_fleet_view_t *view);

#endif
