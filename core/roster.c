/* Entries of the store, with a grace period for lapsed ones. */
#include <glib.h>

#include "core/clock.h"
#include "core/roster.h"

typedef struct item {
	gc_entry_t entry;
	bool listed; /* since gc_roster_begin_list */
	bool missing;
	struct item *prev, *next; /* among the missing ones */
	struct timespec drop_at; /* if missing */
} item_t;

struct gc_roster {
	GTree *items; /* gc_str_t of the entry's id: item_t */
	item_t *missing;
	int64_t grace_ms;
	bool regained;
	struct timespec regained_at;
};

typedef struct visit {
	void (*fn)(void *ctx, const gc_entry_t *entry);
	void *ctx;
} visit_t;

typedef struct list_end {
	gc_roster_t *roster;
	struct timespec now;
} list_end_t;

static int roster_destructor(gc_roster_t *roster);
static gint compare(gconstpointer a, gconstpointer b, gpointer ctx);
static void drop(gc_roster_t *roster, item_t *item);
static void set_missing(gc_roster_t *roster, item_t *item,
			struct timespec drop_at);
static gboolean unlist(gpointer key, gpointer value, gpointer ctx);
static gboolean end_item(gpointer key, gpointer value, gpointer ctx);
static gboolean visit(gpointer key, gpointer value, gpointer ctx);

gc_roster_t *gc_roster_create(TALLOC_CTX *mem, int64_t grace_ms)
{
	gc_roster_t *roster = talloc_zero(mem, gc_roster_t);

	roster->grace_ms = grace_ms;
	roster->items = g_tree_new_full(compare, NULL, NULL, NULL);
	talloc_set_destructor(roster, roster_destructor);
	return roster;
}

static int roster_destructor(gc_roster_t *roster)
{
	g_tree_unref(roster->items);
	return 0;
}

static gint compare(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const gc_str_t *x = a;
	const gc_str_t *y = b;
	size_t len = x->len < y->len ? x->len : y->len;
	int diff = len > 0 ? memcmp(x->data, y->data, len) : 0;

	if (diff != 0 || x->len == y->len)
		return diff;
	return x->len < y->len ? -1 : 1;
}

static void drop(gc_roster_t *roster, item_t *item)
{
	if (item->prev)
		item->prev->next = item->next;
	else if (item->missing)
		roster->missing = item->next;
	if (item->next)
		item->next->prev = item->prev;
	g_tree_remove(roster->items, &item->entry.id);
	talloc_free(item);
}

void gc_roster_put(gc_roster_t *roster, const gc_entry_t *entry)
{
	item_t *known = g_tree_lookup(roster->items, &entry->id);
	item_t *item = talloc_zero(roster, item_t);

	item->entry = *entry;
	item->entry.id = gc_str_dup(item, entry->id);
	item->entry.service = gc_str_dup(item, entry->service);
	item->entry.address = gc_str_dup(item, entry->address);
	item->entry.peer_address = gc_str_dup(item, entry->peer_address);
	item->entry.failure_domain = gc_str_dup(item, entry->failure_domain);
	item->listed = true;
	if (known)
		drop(roster, known);
	g_tree_insert(roster->items, &item->entry.id, item);
}

void gc_roster_remove(gc_roster_t *roster, struct timespec now, gc_str_t id)
{
	item_t *item = g_tree_lookup(roster->items, &id);

	if (!item)
		return;
	if (!roster->regained ||
	    gc_ms_between(roster->regained_at, now) >= roster->grace_ms)
		drop(roster, item);
	else
		set_missing(roster, item,
			    gc_add_ms(roster->regained_at, roster->grace_ms));
}

static void set_missing(gc_roster_t *roster, item_t *item,
			struct timespec drop_at)
{
	item->drop_at = drop_at;
	if (item->missing)
		return;
	item->missing = true;
	item->next = roster->missing;
	if (item->next)
		item->next->prev = item;
	roster->missing = item;
}

void gc_roster_drop(gc_roster_t *roster, gc_str_t id)
{
	item_t *item = g_tree_lookup(roster->items, &id);

	if (item)
		drop(roster, item);
}

void gc_roster_begin_list(gc_roster_t *roster)
{
	g_tree_foreach(roster->items, unlist, NULL);
}

static gboolean unlist(gpointer key, gpointer value, gpointer ctx)
{
	item_t *item = value;

	item->listed = false;
	return FALSE;
}

void gc_roster_end_list(gc_roster_t *roster, struct timespec now)
{
	list_end_t end = {roster, now};

	g_tree_foreach(roster->items, end_item, &end);
}

static gboolean end_item(gpointer key, gpointer value, gpointer ctx)
{
	const list_end_t *end = ctx;
	item_t *item = value;

	if (!item->listed && !item->missing)
		set_missing(end->roster, item,
			    gc_add_ms(end->now, end->roster->grace_ms));
	return FALSE;
}

void gc_roster_regained(gc_roster_t *roster, struct timespec now)
{
	roster->regained = true;
	roster->regained_at = now;
}

bool gc_roster_expire(gc_roster_t *roster, struct timespec now,
		      int64_t *next_ms)
{
	item_t *next;
	bool dropped = false;

	*next_ms = -1;
	for (item_t *item = roster->missing; item; item = next) {
		int64_t left = gc_ms_between(now, item->drop_at);

		next = item->next;
		if (left <= 0) {
			drop(roster, item);
			dropped = true;
		} else if (*next_ms < 0 || left < *next_ms) {
			*next_ms = left;
		}
	}
	return dropped;
}

size_t gc_roster_count(const gc_roster_t *roster)
{
	return (size_t)g_tree_nnodes(roster->items);
}

void gc_roster_each(const gc_roster_t *roster,
		    void (*fn)(void *ctx, const gc_entry_t *entry), void *ctx)
{
	visit_t each = {fn, ctx};

	g_tree_foreach(roster->items, visit, &each);
}

static gboolean visit(gpointer key, gpointer value, gpointer ctx)
{
	const visit_t *each = ctx;
	const item_t *item = value;

	each->fn(each->ctx, &item->entry);
	return FALSE;
}
