/* Addresses from which this daemon runs requests of other daemons. */
#include <string.h>

#include <glib.h>

#include "core/clock.h"
#include "lib/hop_sources.h"

typedef struct departed {
	char *address; /* IP:PORT */
	struct timespec at; /* when its entry was found to be gone */
} departed_t;

struct gc_hop_sources {
	int64_t keep_ms;
	const gc_fleet_view_t *view; /* NULL until the first one is set */
	GArray *departed; /* of departed_t, oldest first */
};

static int sources_destructor(gc_hop_sources_t *sources);
static void clear_departed(gpointer data);
static void forget_old(gc_hop_sources_t *sources, struct timespec now);
static void note_departed(gc_hop_sources_t *sources, struct timespec now,
			  const gc_fleet_view_t *view);
static bool is_registered(const gc_fleet_view_t *view, size_t *next,
			  const gc_registry_entry_t *daemon);
static bool is_at(gc_str_t address, gc_str_t ip);

gc_hop_sources_t *gc_hop_sources_create(TALLOC_CTX *mem, int64_t keep_ms)
{
	gc_hop_sources_t *sources = talloc_zero(mem, gc_hop_sources_t);

	sources->keep_ms = keep_ms;
	sources->departed = g_array_new(FALSE, FALSE, sizeof(departed_t));
	g_array_set_clear_func(sources->departed, clear_departed);
	talloc_set_destructor(sources, sources_destructor);
	return sources;
}

static int sources_destructor(gc_hop_sources_t *sources)
{
	g_array_unref(sources->departed);
	return 0;
}

static void clear_departed(gpointer data)
{
	departed_t *departed = data;

	g_free(departed->address);
}

void gc_hop_sources_set_view(gc_hop_sources_t *sources, struct timespec now,
			     const gc_fleet_view_t *view)
{
	forget_old(sources, now);
	if (sources->view)
		note_departed(sources, now, view);
	sources->view = view;
}

static void forget_old(gc_hop_sources_t *sources, struct timespec now)
{
	guint n = 0;

	while (n < sources->departed->len &&
	       gc_ms_between(g_array_index(sources->departed, departed_t, n).at,
			     now) > sources->keep_ms)
		n++;
	if (n > 0)
		g_array_remove_range(sources->departed, 0, n);
}

static void note_departed(gc_hop_sources_t *sources, struct timespec now,
			  const gc_fleet_view_t *view)
{
	const gc_fleet_view_t *former = sources->view;
	size_t next = 0;

	for (size_t i = 0; i < former->n_daemons; i++) {
		const gc_registry_entry_t *daemon = &former->daemons[i];
		departed_t departed = {.at = now};

		if (daemon->forward_address.len == 0 ||
		    is_registered(view, &next, daemon))
			continue;
		departed.address = g_strndup(daemon->forward_address.data,
					     daemon->forward_address.len);
		g_array_append_val(sources->departed, departed);
	}
}

/* Entries are sorted by id; *next: the first one that isn't before this daemon's. */
static bool is_registered(const gc_fleet_view_t *view, size_t *next,
			  const gc_registry_entry_t *daemon)
{
	while (*next < view->n_daemons &&
	       gc_str_cmp(view->daemons[*next].id, daemon->id) < 0)
		(*next)++;
	return *next < view->n_daemons &&
	       gc_str_eq(view->daemons[*next].id, daemon->id) &&
	       gc_str_eq(view->daemons[*next].forward_address,
			 daemon->forward_address);
}

bool gc_hop_sources_has(const gc_hop_sources_t *sources, struct timespec now,
			gc_str_t ip)
{
	const gc_fleet_view_t *view = sources->view;

	for (size_t i = 0; view && i < view->n_daemons; i++)
		if (is_at(view->daemons[i].forward_address, ip))
			return true;
	for (guint i = 0; i < sources->departed->len; i++) {
		const departed_t *departed =
			&g_array_index(sources->departed, departed_t, i);

		if (gc_ms_between(departed->at, now) <= sources->keep_ms &&
		    is_at(gc_str(departed->address), ip))
			return true;
	}
	return false;
}

static bool is_at(gc_str_t address, gc_str_t ip)
{
	return address.len > ip.len && address.data[ip.len] == ':' &&
	       memcmp(address.data, ip.data, ip.len) == 0;
}
