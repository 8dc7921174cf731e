/* Entries of the store, with a grace period for expired ones. */
#include <glib.h>

#include "core/clock.h"
#include "core/registry.h"
#include "core/strhash.h"

/* Removed entries that are known after a restore of the store. */
#define MAX_DEPARTED 1024

typedef struct item {
	gc_registry_entry_t entry;
	bool listed; /* put since gc_registry_begin_list */
	bool missing; /* no longer in the store; within its grace period */
	struct item *prev, *next; /* list of missing items */
	struct timespec remove_at; /* if missing */
} item_t;

/* The server of a removed entry. */
typedef struct departed {
	gc_str_t id;
	int64_t started_ms;
} departed_t;

struct gc_registry {
	GTree *items; /* gc_str_t of the entry's id: item_t */
	item_t *missing;
	int64_t grace_ms;
	bool reconnected;
	struct timespec reconnected_at;
	bool restored; /* lists may be older than what is known */
	GQueue departed; /* of departed_t, oldest first */
	GHashTable *departed_by_id; /* gc_str_t: GList of the queue */
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
static void forget_departed(gc_registry_t *registry, gc_str_t id);
static void remove_departed(gc_registry_t *registry, item_t *item);
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
	g_queue_init(&registry->departed);
	registry->departed_by_id = g_hash_table_new(gc_str_hash, gc_str_equal);
	talloc_set_destructor(registry, registry_destructor);
	return registry;
}

static int registry_destructor(gc_registry_t *registry)
{
	g_tree_unref(registry->items);
	g_hash_table_unref(registry->departed_by_id);
	g_queue_clear(&registry->departed);
	return 0;
}

static gint compare_ids(gconstpointer a, gconstpointer b, gpointer ctx)
{
	return gc_str_cmp(*(const gc_str_t *)a, *(const gc_str_t *)b);
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

/* Removes the item of a server that has left, and remembers the server. */
static void remove_departed(gc_registry_t *registry, item_t *item)
{
	departed_t *departed = talloc_zero(registry, departed_t);

	departed->id = gc_str_dup(departed, item->entry.id);
	departed->started_ms = item->entry.started_ms;
	remove_item(registry, item);
	forget_departed(registry, departed->id);
	if (registry->departed.length == MAX_DEPARTED)
		forget_departed(
			registry,
			((departed_t *)registry->departed.head->data)->id);
	g_queue_push_tail(&registry->departed, departed);
	g_hash_table_insert(registry->departed_by_id, &departed->id,
			    registry->departed.tail);
}

static void forget_departed(gc_registry_t *registry, gc_str_t id)
{
	GList *link = g_hash_table_lookup(registry->departed_by_id, &id);
	departed_t *departed;

	if (!link)
		return;
	departed = link->data;
	g_hash_table_remove(registry->departed_by_id, &departed->id);
	g_queue_delete_link(&registry->departed, link);
	talloc_free(departed);
}

bool gc_registry_put_listed(gc_registry_t *registry,
			    const gc_registry_entry_t *entry)
{
	const item_t *known = g_tree_lookup(registry->items, &entry->id);
	const GList *link =
		g_hash_table_lookup(registry->departed_by_id, &entry->id);
	const departed_t *departed = link ? link->data : NULL;
	gc_registry_entry_t put = *entry;

	if (registry->restored &&
	    ((known && known->entry.draining &&
	      known->entry.started_ms == entry->started_ms) ||
	     (departed && departed->started_ms == entry->started_ms)))
		put.draining = true;
	gc_registry_put(registry, &put);
	return put.draining;
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
	item->entry.forward_address = gc_str_dup(item, entry->forward_address);
	item->entry.failure_domain = gc_str_dup(item, entry->failure_domain);
	item->entry.version = gc_str_dup(item, entry->version);
	item->listed = true;
	if (old)
		remove_item(registry, old);
	forget_departed(registry, entry->id);
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
		remove_departed(registry, item);
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

void gc_registry_store_restored(gc_registry_t *registry, struct timespec now)
{
	gc_registry_store_reconnected(registry, now);
	registry->restored = true;
	for (item_t *item = registry->missing; item; item = item->next)
		item->remove_at = gc_add_ms(now, registry->grace_ms);
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
			remove_departed(registry, item);
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
