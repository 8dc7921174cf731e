/*
 * Guards against live servers that are removed because the store was
 * unreachable, and against servers that are kept after they have been removed.
 */
#include "core/registry.h"
#include "regress/unit.h"

#define GRACE_MS 2500

static void put(gc_registry_t *registry, const char *id);
static void append_id(void *ctx, const gc_registry_entry_t *entry);
static char *ids(const gc_registry_t *registry);

static char id_list[64];

static void put(gc_registry_t *registry, const char *id)
{
	gc_registry_entry_t entry = {.id = gc_str(id),
				     .service = GC_STR_LIT("s"),
				     .address = GC_STR_LIT("127.0.0.1:1"),
				     .failure_domain = GC_STR_LIT("a"),
				     .slots = 1};

	gc_registry_put(registry, &entry);
}

static void append_id(void *ctx, const gc_registry_entry_t *entry)
{
	strncat(id_list, entry->id.data, entry->id.len);
}

static char *ids(const gc_registry_t *registry)
{
	id_list[0] = '\0';
	gc_registry_foreach(registry, append_id, NULL);
	return id_list;
}

START_TEST(test_entries_are_in_order_of_ids)
{
	gc_registry_t *registry = gc_registry_create(NULL, GRACE_MS);

	put(registry, "c");
	put(registry, "a");
	put(registry, "b");
	put(registry, "a");
	ck_assert_str_eq(ids(registry), "abc");
	ck_assert_uint_eq(gc_registry_count(registry), 3);
	talloc_free(registry);
}
END_TEST

START_TEST(test_deleted_while_connected_is_removed_at_once)
{
	gc_registry_t *registry = gc_registry_create(NULL, GRACE_MS);

	gc_registry_store_reconnected(registry, unit_at(0));
	put(registry, "a");
	put(registry, "b");
	gc_registry_remove(registry, unit_at(GRACE_MS), gc_str("a"));
	gc_registry_remove(registry, unit_at(GRACE_MS), gc_str("unknown"));
	ck_assert_str_eq(ids(registry), "b");
	talloc_free(registry);
}
END_TEST

START_TEST(test_deleted_after_reconnect_gets_a_grace_period)
{
	gc_registry_t *registry = gc_registry_create(NULL, GRACE_MS);
	int64_t next_ms;

	put(registry, "a");
	put(registry, "b");
	gc_registry_store_reconnected(registry, unit_at(0));
	gc_registry_remove(registry, unit_at(100), gc_str("a"));
	gc_registry_remove(registry, unit_at(100), gc_str("b"));
	ck_assert_str_eq(ids(registry), "ab");
	ck_assert(!gc_registry_expire(registry, unit_at(200), &next_ms));
	ck_assert_int_eq(next_ms, GRACE_MS - 200);
	put(registry, "b");
	ck_assert(gc_registry_expire(registry, unit_at(GRACE_MS), &next_ms));
	ck_assert_str_eq(ids(registry), "b");
	ck_assert_int_eq(next_ms, -1);
	talloc_free(registry);
}
END_TEST

START_TEST(test_missing_in_a_list_gets_a_grace_period)
{
	gc_registry_t *registry = gc_registry_create(NULL, GRACE_MS);
	int64_t next_ms;

	put(registry, "a");
	put(registry, "b");
	gc_registry_begin_list(registry);
	put(registry, "b");
	gc_registry_end_list(registry, unit_at(0));
	ck_assert(
		!gc_registry_expire(registry, unit_at(GRACE_MS - 1), &next_ms));
	ck_assert(gc_registry_expire(registry, unit_at(GRACE_MS), &next_ms));
	ck_assert_str_eq(ids(registry), "b");
	talloc_free(registry);
}
END_TEST

START_TEST(test_unusable_entry_gets_no_grace_period)
{
	gc_registry_t *registry = gc_registry_create(NULL, GRACE_MS);

	put(registry, "a");
	gc_registry_store_reconnected(registry, unit_at(0));
	gc_registry_remove_now(registry, gc_str("a"));
	ck_assert_uint_eq(gc_registry_count(registry), 0);
	talloc_free(registry);
}
END_TEST

static void put_server(gc_registry_t *registry, bool listed, const char *id,
		       int64_t started_ms, bool draining)
{
	const gc_registry_entry_t entry = {.id = gc_str(id),
					   .started_ms = started_ms,
					   .draining = draining};

	if (listed)
		gc_registry_put_listed(registry, &entry);
	else
		gc_registry_put(registry, &entry);
}

static void append_ready_id(void *ctx, const gc_registry_entry_t *entry)
{
	if (!entry->draining)
		append_id(ctx, entry);
}

static char *ready_ids(const gc_registry_t *registry)
{
	id_list[0] = '\0';
	gc_registry_foreach(registry, append_ready_id, NULL);
	return id_list;
}

/*
 * Fault: the store goes back to a copy that lists servers as ready that were
 * draining or had left since; new requests would be sent to them.
 */
START_TEST(test_copy_does_not_bring_leaving_servers_back)
{
	gc_registry_t *registry = gc_registry_create(NULL, GRACE_MS);
	int64_t next_ms;

	put_server(registry, true, "a", 1, false);
	put_server(registry, true, "b", 1, true);
	put_server(registry, true, "c", 1, false);
	put_server(registry, true, "d", 1, true);
	put_server(registry, true, "e", 1, false);
	gc_registry_remove(registry, unit_at(0), gc_str("c"));
	/* Before a restore, a list is the newest state. */
	put_server(registry, true, "d", 1, false);
	gc_registry_store_restored(registry, unit_at(0));
	for (int i = 0; i < 2; i++) {
		/* A second list of the same era is no newer. */
		gc_registry_begin_list(registry);
		put_server(registry, true, "a", 1, false);
		put_server(registry, true, "b", 1, false);
		put_server(registry, true, "c", 1, false);
		gc_registry_end_list(registry, unit_at(0));
		ck_assert_str_eq(ready_ids(registry), "ade");
		ck_assert_str_eq(ids(registry), "abcde");
	}
	/* A change is newer than the copy; a later start is another server. */
	put_server(registry, false, "b", 1, false);
	put_server(registry, true, "c", 2, false);
	ck_assert_str_eq(ready_ids(registry), "abcde");
	/* A second restore: the time to write entries again starts anew. */
	gc_registry_store_restored(registry, unit_at(GRACE_MS - 1));
	ck_assert(!gc_registry_expire(registry, unit_at(GRACE_MS), &next_ms));
	ck_assert_int_eq(next_ms, GRACE_MS - 1);
	ck_assert(
		gc_registry_expire(registry, unit_at(2 * GRACE_MS), &next_ms));
	ck_assert_str_eq(ids(registry), "abc");
	talloc_free(registry);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_entries_are_in_order_of_ids,
		test_deleted_while_connected_is_removed_at_once,
		test_deleted_after_reconnect_gets_a_grace_period,
		test_missing_in_a_list_gets_a_grace_period,
		test_unusable_entry_gets_no_grace_period,
		test_copy_does_not_bring_leaving_servers_back,
		NULL,
	};

	return unit_run("registry", tests);
}
