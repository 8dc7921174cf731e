/* The latest change of each key, in the order of revisions. */
#include "core/change_log.h"
#include "core/strhash.h"

/* Of a shorter value, edits aren't worth their search. */
#define MIN_EDITED_BYTES 4096

typedef struct entry {
	struct entry *prev, *next; /* by revision */
	gc_logged_change_t change;
} entry_t;

struct gc_change_log {
	GHashTable *by_key; /* gc_str_t of the item: entry_t */
	entry_t *first;
	entry_t *last;
	uint64_t era; /* of the store, whose revisions the log holds */
	uint64_t revision; /* all changes up to it were added */
	uint64_t known_after; /* earlier changes may be missing */
	size_t max_deleted;
	size_t n_deleted;
};

static int change_log_destructor(gc_change_log_t *change_log);
static int entry_destructor(entry_t *entry);
static void remove_entry(gc_change_log_t *change_log, entry_t *entry);
static void find_edits(entry_t *entry, const gc_logged_change_t *former);
static void insert_by_revision(gc_change_log_t *change_log, entry_t *entry);
static void discard_oldest_deletion(gc_change_log_t *change_log);

gc_change_log_t *gc_change_log_create(TALLOC_CTX *mem, size_t max_deleted)
{
	gc_change_log_t *change_log = talloc_zero(mem, gc_change_log_t);

	change_log->max_deleted = max_deleted;
	change_log->by_key = g_hash_table_new(gc_str_hash, gc_str_equal);
	talloc_set_destructor(change_log, change_log_destructor);
	return change_log;
}

static int change_log_destructor(gc_change_log_t *change_log)
{
	g_hash_table_unref(change_log->by_key);
	return 0;
}

static int entry_destructor(entry_t *entry)
{
	gc_shared_text_unref(entry->change.text);
	return 0;
}

void gc_change_log_reset(gc_change_log_t *change_log, uint64_t era,
			 uint64_t revision)
{
	while (change_log->first)
		remove_entry(change_log, change_log->first);
	change_log->era = era;
	change_log->known_after = revision;
	change_log->revision = revision;
}

uint64_t gc_change_log_era(const gc_change_log_t *change_log)
{
	return change_log->era;
}

static void remove_entry(gc_change_log_t *change_log, entry_t *entry)
{
	if (entry->prev)
		entry->prev->next = entry->next;
	else
		change_log->first = entry->next;
	if (entry->next)
		entry->next->prev = entry->prev;
	else
		change_log->last = entry->prev;
	change_log->n_deleted -= entry->change.item.deleted;
	g_hash_table_remove(change_log->by_key, &entry->change.item.key);
	talloc_free(entry);
}

const gc_logged_change_t *gc_change_log_add(gc_change_log_t *change_log,
					    const gc_store_item_t *item)
{
	entry_t *old = g_hash_table_lookup(change_log->by_key, &item->key);
	entry_t *entry;

	if (old && old->change.item.revision >= item->revision)
		return NULL;
	entry = talloc_zero(change_log, entry_t);
	entry->change.mem = entry;
	entry->change.item = *item;
	entry->change.item.key = gc_str_dup(entry, item->key);
	entry->change.text = gc_shared_text_create(item->value);
	entry->change.item.value = gc_shared_text_str(entry->change.text);
	talloc_set_destructor(entry, entry_destructor);
	if (old) {
		find_edits(entry, &old->change);
		remove_entry(change_log, old);
	}
	g_hash_table_insert(change_log->by_key, &entry->change.item.key, entry);
	insert_by_revision(change_log, entry);
	if (item->deleted && ++change_log->n_deleted > change_log->max_deleted)
		discard_oldest_deletion(change_log);
	return item->deleted ? NULL : &entry->change;
}

static void find_edits(entry_t *entry, const gc_logged_change_t *former)
{
	gc_logged_change_t *change = &entry->change;
	GArray *edits;

	if (former->item.value.len < MIN_EDITED_BYTES ||
	    change->item.value.len < MIN_EDITED_BYTES)
		return;
	edits = g_array_new(FALSE, FALSE, sizeof(gc_text_edit_t));
	if (gc_text_diff(former->item.value, change->item.value, edits)) {
		change->former_revision = former->item.revision;
		change->former_text = gc_shared_text_id(former->text);
		change->n_edits = edits->len;
		change->edits =
			talloc_memdup(entry, edits->data,
				      edits->len * sizeof(gc_text_edit_t));
	}
	g_array_unref(edits);
}

/* Searches from the end, as changes mostly arrive in order. */
static void insert_by_revision(gc_change_log_t *change_log, entry_t *entry)
{
	entry_t *before = change_log->last;

	while (before &&
	       before->change.item.revision > entry->change.item.revision)
		before = before->prev;
	entry->prev = before;
	entry->next = before ? before->next : change_log->first;
	if (entry->next)
		entry->next->prev = entry;
	else
		change_log->last = entry;
	if (before)
		before->next = entry;
	else
		change_log->first = entry;
}

static void discard_oldest_deletion(gc_change_log_t *change_log)
{
	entry_t *entry = change_log->first;

	while (!entry->change.item.deleted)
		entry = entry->next;
	if (entry->change.item.revision > change_log->known_after)
		change_log->known_after = entry->change.item.revision;
	remove_entry(change_log, entry);
}

void gc_change_log_advance(gc_change_log_t *change_log, uint64_t revision)
{
	if (revision > change_log->revision)
		change_log->revision = revision;
}

uint64_t gc_change_log_revision(const gc_change_log_t *change_log)
{
	return change_log->revision;
}

bool gc_change_log_foreach_since(
	const gc_change_log_t *change_log, uint64_t after,
	void (*fn)(void *ctx, gc_logged_change_t *change), void *ctx)
{
	entry_t *entry = change_log->last;

	if (after < change_log->known_after)
		return false;
	if (!entry || entry->change.item.revision <= after)
		return true;
	while (entry->prev && entry->prev->change.item.revision > after)
		entry = entry->prev;
	for (; entry; entry = entry->next)
		fn(ctx, &entry->change);
	return true;
}

const gc_store_item_t *gc_change_log_find(const gc_change_log_t *change_log,
					  gc_str_t key)
{
	const entry_t *entry = g_hash_table_lookup(change_log->by_key, &key);

	return entry ? &entry->change.item : NULL;
}
