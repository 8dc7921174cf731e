/* Entries of the store, with a grace period for lapsed ones. */
#include <stdlib.h>

#include "core/clock.h"
#include "core/roster.h"

typedef struct item {
	struct item *next; /* in the order of ids */
	gc_entry_t entry;
	bool listed; /* since gc_roster_begin_list */
	bool missing;
	struct timespec drop_at; /* if missing */
} item_t;

struct gc_roster {
	item_t *first;
	size_t count;
	int64_t grace_ms;
	bool regained;
	struct timespec regained_at;
};

static item_t **find(gc_roster_t *roster, gc_str_t id);
static int compare(gc_str_t a, gc_str_t b);
static void drop(gc_roster_t *roster, item_t **link);

gc_roster_t *gc_roster_create(TALLOC_CTX *mem, int64_t grace_ms)
{
	gc_roster_t *roster = talloc_zero(mem, gc_roster_t);

	roster->grace_ms = grace_ms;
	return roster;
}

/* The link to the item, or to the place where it belongs. */
static item_t **find(gc_roster_t *roster, gc_str_t id)
{
	item_t **link = &roster->first;

	while (*link && compare((*link)->entry.id, id) < 0)
		link = &(*link)->next;
	return link;
}

static int compare(gc_str_t a, gc_str_t b)
{
	size_t len = a.len < b.len ? a.len : b.len;
	int diff = len > 0 ? memcmp(a.data, b.data, len) : 0;

	if (diff != 0 || a.len == b.len)
		return diff;
	return a.len < b.len ? -1 : 1;
}

static void drop(gc_roster_t *roster, item_t **link)
{
	item_t *item = *link;

	*link = item->next;
	roster->count--;
	talloc_free(item);
}

void gc_roster_put(gc_roster_t *roster, const gc_entry_t *entry)
{
	item_t **link = find(roster, entry->id);
	item_t *item = talloc_zero(roster, item_t);

	item->entry = *entry;
	item->entry.id = gc_str_dup(item, entry->id);
	item->entry.service = gc_str_dup(item, entry->service);
	item->entry.address = gc_str_dup(item, entry->address);
	item->entry.peer_address = gc_str_dup(item, entry->peer_address);
	item->entry.failure_domain = gc_str_dup(item, entry->failure_domain);
	item->listed = true;
	if (*link && compare((*link)->entry.id, entry->id) == 0)
		drop(roster, link);
	item->next = *link;
	*link = item;
	roster->count++;
}

void gc_roster_remove(gc_roster_t *roster, struct timespec now, gc_str_t id)
{
	item_t **link = find(roster, id);

	if (!*link || compare((*link)->entry.id, id) != 0)
		return;
	if (!roster->regained ||
	    gc_ms_between(roster->regained_at, now) >= roster->grace_ms) {
		drop(roster, link);
		return;
	}
	(*link)->missing = true;
	(*link)->drop_at = gc_add_ms(roster->regained_at, roster->grace_ms);
}

void gc_roster_drop(gc_roster_t *roster, gc_str_t id)
{
	item_t **link = find(roster, id);

	if (*link && compare((*link)->entry.id, id) == 0)
		drop(roster, link);
}

void gc_roster_begin_list(gc_roster_t *roster)
{
	for (item_t *item = roster->first; item; item = item->next)
		item->listed = false;
}

void gc_roster_end_list(gc_roster_t *roster, struct timespec now)
{
	for (item_t *item = roster->first; item; item = item->next) {
		if (item->listed || item->missing)
			continue;
		item->missing = true;
		item->drop_at = gc_add_ms(now, roster->grace_ms);
	}
}

void gc_roster_regained(gc_roster_t *roster, struct timespec now)
{
	roster->regained = true;
	roster->regained_at = now;
}

bool gc_roster_expire(gc_roster_t *roster, struct timespec now,
		      int64_t *next_ms)
{
	item_t **link = &roster->first;
	bool dropped = false;

	*next_ms = -1;
	while (*link) {
		int64_t left = gc_ms_between(now, (*link)->drop_at);

		if (!(*link)->missing) {
			link = &(*link)->next;
		} else if (left <= 0) {
			drop(roster, link);
			dropped = true;
		} else {
			if (*next_ms < 0 || left < *next_ms)
				*next_ms = left;
			link = &(*link)->next;
		}
	}
	return dropped;
}

size_t gc_roster_count(const gc_roster_t *roster)
{
	return roster->count;
}

void gc_roster_each(const gc_roster_t *roster,
		    void (*fn)(void *ctx, const gc_entry_t *entry), void *ctx)
{
	for (const item_t *item = roster->first; item; item = item->next)
		fn(ctx, &item->entry);
}
