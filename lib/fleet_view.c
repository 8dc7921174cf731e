/* Immutable snapshots of what a daemon knows. */
#include <glib.h>

#include "lib/fleet_view.h"

/* A view with the memory of its strings. */
typedef struct view_box {
	GStringChunk *strings;
	gc_fleet_view_t view;
} view_box_t;

#define BOX_OF(v) \
	((view_box_t *)(void *)((char *)(v)-G_STRUCT_OFFSET(view_box_t, view)))
#define STRING_BLOCK 2048 /* bytes */

typedef struct adder {
	GStringChunk *strings;
	gc_registry_entry_t *list;
	size_t n;
} adder_t;

static void view_clear(gpointer data);
static void add_entry(void *ctx, const gc_registry_entry_t *entry);
static gc_str_t keep(GStringChunk *strings, gc_str_t s);

gc_fleet_view_t *gc_fleet_view_create(gc_routes_t *routes,
				      const gc_registry_t *servers,
				      const gc_registry_t *daemons)
{
	view_box_t *box = g_atomic_rc_box_new0(view_box_t);
	gc_fleet_view_t *view = &box->view;
	adder_t adder;

	box->strings = g_string_chunk_new(STRING_BLOCK);
	if (routes)
		view->routes = gc_routes_ref(routes);
	view->servers = g_new0(gc_registry_entry_t, gc_registry_count(servers));
	view->daemons = g_new0(gc_registry_entry_t, gc_registry_count(daemons));
	adder = (adder_t){box->strings, view->servers, 0};
	gc_registry_each(servers, add_entry, &adder);
	view->n_servers = adder.n;
	adder = (adder_t){box->strings, view->daemons, 0};
	gc_registry_each(daemons, add_entry, &adder);
	view->n_daemons = adder.n;
	return view;
}

static void add_entry(void *ctx, const gc_registry_entry_t *entry)
{
	adder_t *adder = ctx;
	gc_registry_entry_t *copy = &adder->list[adder->n++];

	*copy = *entry;
	copy->id = keep(adder->strings, entry->id);
	copy->service = keep(adder->strings, entry->service);
	copy->address = keep(adder->strings, entry->address);
	copy->peer_address = keep(adder->strings, entry->peer_address);
	copy->failure_domain = keep(adder->strings, entry->failure_domain);
}

static gc_str_t keep(GStringChunk *strings, gc_str_t s)
{
	return (gc_str_t){g_string_chunk_insert_len(strings, s.data,
						    (gssize)s.len),
			  s.len};
}

gc_fleet_view_t *gc_fleet_view_ref(gc_fleet_view_t *view)
{
	g_atomic_rc_box_acquire(BOX_OF(view));
	return view;
}

void gc_fleet_view_unref(gc_fleet_view_t *view)
{
	if (view)
		g_atomic_rc_box_release_full(BOX_OF(view), view_clear);
}

static void view_clear(gpointer data)
{
	view_box_t *box = data;

	gc_routes_unref(box->view.routes);
	g_free(box->view.servers);
	g_free(box->view.daemons);
	g_string_chunk_free(box->strings);
}
