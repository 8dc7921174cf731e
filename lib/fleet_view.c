/* Immutable snapshots of routes, backend servers and daemons. */
#include <glib.h>

#include "lib/fleet_view.h"

/* The reference-counted allocation: a view and the memory of its strings. */
typedef struct rc_view {
	GStringChunk *strings;
	gc_fleet_view_t view;
} rc_view_t;

#define RC_VIEW_OF(v) \
	((rc_view_t *)(void *)((char *)(v)-G_STRUCT_OFFSET(rc_view_t, view)))
#define STRING_BLOCK_BYTES 2048

typedef struct copy_ctx {
	GStringChunk *strings;
	gc_registry_entry_t *entries;
	size_t n;
} copy_ctx_t;

static void free_contents(gpointer data);
static void copy_entry(void *ctx, const gc_registry_entry_t *entry);
static gc_str_t copy_string(GStringChunk *strings, gc_str_t s);

gc_fleet_view_t *gc_fleet_view_create(gc_routes_t *routes,
				      const gc_registry_t *servers,
				      const gc_registry_t *daemons,
				      const gc_base_version_t *base_versions,
				      size_t n_base_versions)
{
	rc_view_t *rc_view = g_atomic_rc_box_new0(rc_view_t);
	gc_fleet_view_t *view = &rc_view->view;
	copy_ctx_t copy_ctx;

	rc_view->strings = g_string_chunk_new(STRING_BLOCK_BYTES);
	if (routes)
		view->routes = gc_routes_ref(routes);
	view->servers = g_new0(gc_registry_entry_t, gc_registry_count(servers));
	view->daemons = g_new0(gc_registry_entry_t, gc_registry_count(daemons));
	copy_ctx = (copy_ctx_t){rc_view->strings, view->servers, 0};
	gc_registry_foreach(servers, copy_entry, &copy_ctx);
	view->n_servers = copy_ctx.n;
	copy_ctx = (copy_ctx_t){rc_view->strings, view->daemons, 0};
	gc_registry_foreach(daemons, copy_entry, &copy_ctx);
	view->n_daemons = copy_ctx.n;
	view->base_versions = g_new0(gc_base_version_t, n_base_versions);
	view->n_base_versions = n_base_versions;
	for (size_t i = 0; i < n_base_versions; i++) {
		gc_base_version_t *copy = &view->base_versions[i];

		*copy = base_versions[i];
		copy->service = copy_string(rc_view->strings, copy->service);
		copy->version = copy_string(rc_view->strings, copy->version);
	}
	return view;
}

const gc_base_version_t *gc_fleet_view_base_version(const gc_fleet_view_t *view,
						    gc_str_t service)
{
	const gc_base_version_t *base =
		gc_fleet_view_stored_base_version(view, service);

	return base && base->number > 0 ? base : NULL;
}

const gc_base_version_t *
gc_fleet_view_stored_base_version(const gc_fleet_view_t *view, gc_str_t service)
{
	for (size_t i = 0; i < view->n_base_versions; i++)
		if (gc_str_eq(view->base_versions[i].service, service))
			return &view->base_versions[i];
	return NULL;
}

static void copy_entry(void *ctx, const gc_registry_entry_t *entry)
{
	copy_ctx_t *copy_ctx = ctx;
	gc_registry_entry_t *copy = &copy_ctx->entries[copy_ctx->n++];

	*copy = *entry;
	copy->id = copy_string(copy_ctx->strings, entry->id);
	copy->service = copy_string(copy_ctx->strings, entry->service);
	copy->address = copy_string(copy_ctx->strings, entry->address);
	copy->peer_address =
		copy_string(copy_ctx->strings, entry->peer_address);
	copy->forward_address =
		copy_string(copy_ctx->strings, entry->forward_address);
	copy->failure_domain =
		copy_string(copy_ctx->strings, entry->failure_domain);
	copy->version = copy_string(copy_ctx->strings, entry->version);
}

static gc_str_t copy_string(GStringChunk *strings, gc_str_t s)
{
	return (gc_str_t){g_string_chunk_insert_len(strings, s.data,
						    (gssize)s.len),
			  s.len};
}

gc_fleet_view_t *gc_fleet_view_ref(gc_fleet_view_t *view)
{
	g_atomic_rc_box_acquire(RC_VIEW_OF(view));
	return view;
}

void gc_fleet_view_unref(gc_fleet_view_t *view)
{
	if (view)
		g_atomic_rc_box_release_full(RC_VIEW_OF(view), free_contents);
}

static void free_contents(gpointer data)
{
	rc_view_t *rc_view = data;

	gc_routes_unref(rc_view->view.routes);
	g_free(rc_view->view.servers);
	g_free(rc_view->view.daemons);
	g_free(rc_view->view.base_versions);
	g_string_chunk_free(rc_view->strings);
}
