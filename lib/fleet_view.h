/* Immutable snapshots of routes, backend servers and daemons. */
#ifndef GC_LIB_FLEET_VIEW_H
#define GC_LIB_FLEET_VIEW_H

#include <stddef.h>

#include "core/base_version.h"
#include "core/registry.h"
#include "core/routes.h"

/* Reference-counted; references may be taken and dropped in any thread. */
typedef struct gc_fleet_view {
	gc_routes_t *routes; /* NULL until a configuration is known */
	gc_registry_entry_t *servers; /* backend servers, sorted by id */
	size_t n_servers;
	gc_registry_entry_t *daemons; /* registered daemons, sorted by id */
	size_t n_daemons;
	gc_base_version_t *base_versions; /* of services */
	size_t n_base_versions;
} gc_fleet_view_t;

/*
 * Copies the entries and takes a reference to routes, which may be NULL. Free
 * with gc_fleet_view_unref.
 */
gc_fleet_view_t *gc_fleet_view_create(gc_routes_t *routes,
				      const gc_registry_t *servers,
				      const gc_registry_t *daemons,
				      const gc_base_version_t *base_versions,
				      size_t n_base_versions);
/* NULL if the service has none yet, or only an invalid one is stored. */
const gc_base_version_t *gc_fleet_view_base_version(const gc_fleet_view_t *view,
						    gc_str_t service);
/* The same, but an invalid one (number 0) is returned, too. */
const gc_base_version_t *
gc_fleet_view_stored_base_version(const gc_fleet_view_t *view,
				  gc_str_t service);
gc_fleet_view_t *gc_fleet_view_ref(gc_fleet_view_t *view);
void gc_fleet_view_unref(gc_fleet_view_t *view);

#endif
