/* Entries of the store, with a grace period for expired ones. */
#include <glib.h>

#include "core/clock.h"
#include "core/registry.h"

typedef struct item {
	gc_registry_entry_t entry;
	bool listed; /* put since gc_registry_begin_list */
	bool missing; /* no longer in the store; within its grace period */
	struct item *prev, *next; /* list of missing items */
	struct timespec remove_at; /* if missing */
} item_t;

struct gc_registry {
	GTree *items; /* gc_str_t of the entry's id: item_t */
	item_t *missing;
	int64_t grace_ms;
	bool reconnected;
	struct timespec reconnected_at;
};

typedef struct visitor {
	void (*fn)(void *ctx, const gc_registry_entry_t *entry);
	void *ctx;
} visitor_t;

typedef struct list_end {
	gc_registry_t *registry;
	struct timespec now;
} list_end_t;

static int registry_destructor(gc_registry_t *registry);
static gint compare_ids(gconstpointer a, gconstpointer b, gpointer ctx);
static void remove_item(gc_registry_t *registry, item_t *item);
static void set_missing(gc_registry_t *registry, item_t *item,
			struct timespec remove_at);
static gboolean clear_listed(gpointer key, gpointer value, gpointer ctx);
static gboolean mark_unlisted(gpointer key, gpointer value, gpointer ctx);
static gboolean visit_item(gpointer key, gpointer value, gpointer ctx);

gc_registry_t *gc_registry_create(TALLOC_CTX *mem, int64_t grace_ms)
{
	gc_registry_t *registry = talloc_zero(mem, gc_registry_t);

	registry->grace_ms = grace_ms;
	registry->items = g_tree_new_full(compare_ids, NULL, NULL, NULL);
	talloc_set_destructor(registry, registry_destructor);
	return registry;
}

static int registry_destructor(gc_registry_t *registry)
{
	g_tree_unref(registry->items);
	return 0;
}

static gint compare_ids(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const gc_str_t *x = a;
	const gc_str_t *y = b;
	size_t len = x->len < y->len ? x->len : y->len;
	int diff = len > 0 ? memcmp(x->data, y->data, len) : 0;

	if (diff != 0 || x->len == y->len)
		return diff;
	return x->len < y->len ? -1 : 1;
}

static void remove_item(gc_registry_t *registry, item_t *item)
{
	if (item->prev)
		item->prev->next = item->next;
	else if (item->missing)
		registry->missing = item->next;
	if (item->next)
		item->next->prev = item->prev;
	g_tree_remove(registry->items, &item->entry.id);
	talloc_free(item);
}

void gc_registry_put(gc_registry_t *registry, const gc_registry_entry_t *entry)
{
	item_t *old = g_tree_lookup(registry->items, &entry->id);
	item_t *item = talloc_zero(registry, item_t);

	item->entry = *entry;
	item->entry.id = gc_str_dup(item, entry->id);
	item->entry.service = gc_str_dup(item, entry->service);
	item->entry.address = gc_str_dup(item, entry->address);
	item->entry.peer_address = gc_str_dup(item, entry->peer_address);
	item->entry.failure_domain = gc_str_dup(item, entry->failure_domain);
	item->listed = true;
	if (old)
		remove_item(registry, old);
	g_tree_insert(registry->items, &item->entry.id, item);
}

void gc_registry_remove(gc_registry_t *registry, struct timespec now,
			gc_str_t id)
{
	item_t *item = g_tree_lookup(registry->items, &id);

	if (!item)
		return;
	if (!registry->reconnected ||
	    gc_ms_between(registry->reconnected_at, now) >= registry->grace_ms)
		remove_item(registry, item);
	else
		set_missing(registry, item,
			    gc_add_ms(registry->reconnected_at,
				      registry->grace_ms));
}

static void set_missing(gc_registry_t *registry, item_t *item,
			struct timespec remove_at)
{
	item->remove_at = remove_at;
	if (item->missing)
		return;
	item->missing = true;
	item->next = registry->missing;
	if (item->next)
		item->next->prev = item;
	registry->missing = item;
}

void gc_registry_remove_now(gc_registry_t *registry, gc_str_t id)
{
	item_t *item = g_tree_lookup(registry->items, &id);

	if (item)
		remove_item(registry, item);
}

void gc_registry_begin_list(gc_registry_t *registry)
{
	g_tree_foreach(registry->items, clear_listed, NULL);
}

static gboolean clear_listed(gpointer key, gpointer value, gpointer ctx)
{
	item_t *item = value;

	item->listed = false;
	return FALSE;
}

void gc_registry_end_list(gc_registry_t *registry, struct timespec now)
{
	list_end_t end = {registry, now};

	g_tree_foreach(registry->items, mark_unlisted, &end);
}

static gboolean mark_unlisted(gpointer key, gpointer value, gpointer ctx)
{
	const list_end_t *end = ctx;
	item_t *item = value;

	if (!item->listed && !item->missing)
		set_missing(end->registry, item,
			    gc_add_ms(end->now, end->registry->grace_ms));
	return FALSE;
}

void gc_registry_store_reconnected(gc_registry_t *registry, struct timespec now)
{
	registry->reconnected = true;
	registry->reconnected_at = now;
}

bool gc_registry_expire(gc_registry_t *registry, struct timespec now,
			int64_t *next_ms)
{
	item_t *next;
	bool removed = false;

	*next_ms = -1;
	for (item_t *item = registry->missing; item; item = next) {
		int64_t left = gc_ms_between(now, item->remove_at);

		next = item->next;
		if (left <= 0) {
			remove_item(registry, item);
			removed = true;
		} else if (*next_ms < 0 || left < *next_ms) {
			*next_ms = left;
		}
	}
	return removed;
}

size_t gc_registry_count(const gc_registry_t *registry)
{
	return (size_t)g_tree_nnodes(registry->items);
}

void gc_registry_foreach(const gc_registry_t *registry,
			 void (*fn)(void *ctx,
				    const gc_registry_entry_t *entry),
			 void *ctx)
{
	visitor_t visitor = {fn, ctx};

	g_tree_foreach(registry->items, visit_item, &visitor);
}

static gboolean visit_item(gpointer key, gpointer value, gpointer ctx)
{
	const visitor_t *visitor = ctx;
	const item_t *item = value;

	visitor->fn(visitor->ctx, &item->entry);
	return FALSE;
}
