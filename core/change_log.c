/* The newest item of each key, in the order of the changes. */
#include "core/change_log.h"
#include "core/strhash.h"

typedef struct entry {
	struct entry *prev, *next; /* by revision */
	gc_store_item_t item;
} entry_t;

struct gc_change_log {
	GHashTable *by_key; /* gc_str_t of the item: entry_t */
	entry_t *first;
	entry_t *last;
	uint64_t revision; /* up to which all changes are known */
	uint64_t oldest; /* changes after it are known */
	size_t max_deleted;
	size_t n_deleted;
};

static int feed_destructor(gc_change_log_t *feed);
static void drop(gc_change_log_t *feed, entry_t *entry);
static void insert(gc_change_log_t *feed, entry_t *entry);
static void forget_deleted(gc_change_log_t *feed);

gc_change_log_t *gc_change_log_create(TALLOC_CTX *mem, size_t max_deleted)
{
	gc_change_log_t *feed = talloc_zero(mem, gc_change_log_t);

	feed->max_deleted = max_deleted;
	feed->by_key = g_hash_table_new(gc_str_hash, gc_str_equal);
	talloc_set_destructor(feed, feed_destructor);
	return feed;
}

static int feed_destructor(gc_change_log_t *feed)
{
	g_hash_table_unref(feed->by_key);
	return 0;
}

void gc_change_log_restart(gc_change_log_t *feed, uint64_t revision)
{
	while (feed->first)
		drop(feed, feed->first);
	feed->oldest = revision;
	feed->revision = revision;
}

static void drop(gc_change_log_t *feed, entry_t *entry)
{
	if (entry->prev)
		entry->prev->next = entry->next;
	else
		feed->first = entry->next;
	if (entry->next)
		entry->next->prev = entry->prev;
	else
		feed->last = entry->prev;
	feed->n_deleted -= entry->item.deleted;
	g_hash_table_remove(feed->by_key, &entry->item.key);
	talloc_free(entry);
}

void gc_change_log_add(gc_change_log_t *feed, const gc_store_item_t *item)
{
	entry_t *known = g_hash_table_lookup(feed->by_key, &item->key);
	entry_t *entry;

	if (known && known->item.revision >= item->revision)
		return;
	if (known)
		drop(feed, known);
	entry = talloc_zero(feed, entry_t);
	entry->item = *item;
	entry->item.key = gc_str_dup(entry, item->key);
	entry->item.value = gc_str_dup(entry, item->value);
	g_hash_table_insert(feed->by_key, &entry->item.key, entry);
	insert(feed, entry);
	if (item->deleted && ++feed->n_deleted > feed->max_deleted)
		forget_deleted(feed);
}

/* Changes mostly come in order, so the place is looked for from the end. */
static void insert(gc_change_log_t *feed, entry_t *entry)
{
	entry_t *before = feed->last;

	while (before && before->item.revision > entry->item.revision)
		before = before->prev;
	entry->prev = before;
	entry->next = before ? before->next : feed->first;
	if (entry->next)
		entry->next->prev = entry;
	else
		feed->last = entry;
	if (before)
		before->next = entry;
	else
		feed->first = entry;
}

static void forget_deleted(gc_change_log_t *feed)
{
	entry_t *entry = feed->first;

	while (!entry->item.deleted)
		entry = entry->next;
	if (entry->item.revision > feed->oldest)
		feed->oldest = entry->item.revision;
	drop(feed, entry);
}

void gc_change_log_advance(gc_change_log_t *feed, uint64_t revision)
{
	if (revision > feed->revision)
		feed->revision = revision;
}

uint64_t gc_change_log_revision(const gc_change_log_t *feed)
{
	return feed->revision;
}

bool gc_change_log_since(const gc_change_log_t *feed, uint64_t after,
			 void (*fn)(void *ctx, const gc_store_item_t *item),
			 void *ctx)
{
	const entry_t *entry = feed->last;

	if (after < feed->oldest)
		return false;
	if (!entry || entry->item.revision <= after)
		return true;
	while (entry->prev && entry->prev->item.revision > after)
		entry = entry->prev;
	for (; entry; entry = entry->next)
		fn(ctx, &entry->item);
	return true;
}
