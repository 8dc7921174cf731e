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

int main(void)
{
	const TTest *const tests[] = {
		test_entries_are_in_order_of_ids,
		test_deleted_while_connected_is_removed_at_once,
		test_deleted_after_reconnect_gets_a_grace_period,
		test_missing_in_a_list_gets_a_grace_period,
		test_unusable_entry_gets_no_grace_period,
		NULL,
	};

	return unit_run("registry", tests);
}
