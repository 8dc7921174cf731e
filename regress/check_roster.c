/*
 * Guards against servers that are dropped because the store was away, and
 * against servers that are kept after they have left.
 */
#include "core/roster.h"
#include "regress/unit.h"

#define GRACE_MS 2500

static void put(gc_roster_t *roster, const char *id);
static void join(void *ctx, const gc_entry_t *entry);
static char *ids(const gc_roster_t *roster);

static char text[64];

static void put(gc_roster_t *roster, const char *id)
{
	gc_entry_t entry = {.id = gc_str(id),
			    .service = GC_STR_LIT("s"),
			    .address = GC_STR_LIT("127.0.0.1:1"),
			    .failure_domain = GC_STR_LIT("a"),
			    .slots = 1};

	gc_roster_put(roster, &entry);
}

static void join(void *ctx, const gc_entry_t *entry)
{
	strncat(text, entry->id.data, entry->id.len);
}

static char *ids(const gc_roster_t *roster)
{
	text[0] = '\0';
	gc_roster_each(roster, join, NULL);
	return text;
}

START_TEST(test_in_order_of_ids)
{
	gc_roster_t *roster = gc_roster_create(NULL, GRACE_MS);

	put(roster, "c");
	put(roster, "a");
	put(roster, "b");
	put(roster, "a");
	ck_assert_str_eq(ids(roster), "abc");
	ck_assert_uint_eq(gc_roster_count(roster), 3);
	talloc_free(roster);
}
END_TEST

START_TEST(test_deleted_in_contact_goes_at_once)
{
	gc_roster_t *roster = gc_roster_create(NULL, GRACE_MS);

	gc_roster_regained(roster, unit_at(0));
	put(roster, "a");
	put(roster, "b");
	gc_roster_remove(roster, unit_at(GRACE_MS), gc_str("a"));
	gc_roster_remove(roster, unit_at(GRACE_MS), gc_str("unknown"));
	ck_assert_str_eq(ids(roster), "b");
	talloc_free(roster);
}
END_TEST

START_TEST(test_lapsed_gets_grace)
{
	gc_roster_t *roster = gc_roster_create(NULL, GRACE_MS);
	int64_t next_ms;

	put(roster, "a");
	put(roster, "b");
	gc_roster_regained(roster, unit_at(0));
	gc_roster_remove(roster, unit_at(100), gc_str("a"));
	gc_roster_remove(roster, unit_at(100), gc_str("b"));
	ck_assert_str_eq(ids(roster), "ab");
	ck_assert(!gc_roster_expire(roster, unit_at(200), &next_ms));
	ck_assert_int_eq(next_ms, GRACE_MS - 200);
	put(roster, "b");
	ck_assert(gc_roster_expire(roster, unit_at(GRACE_MS), &next_ms));
	ck_assert_str_eq(ids(roster), "b");
	ck_assert_int_eq(next_ms, -1);
	talloc_free(roster);
}
END_TEST

START_TEST(test_missing_in_a_list)
{
	gc_roster_t *roster = gc_roster_create(NULL, GRACE_MS);
	int64_t next_ms;

	put(roster, "a");
	put(roster, "b");
	gc_roster_begin_list(roster);
	put(roster, "b");
	gc_roster_end_list(roster, unit_at(0));
	ck_assert(!gc_roster_expire(roster, unit_at(GRACE_MS - 1), &next_ms));
	ck_assert(gc_roster_expire(roster, unit_at(GRACE_MS), &next_ms));
	ck_assert_str_eq(ids(roster), "b");
	talloc_free(roster);
}
END_TEST

START_TEST(test_unusable_entry_gets_no_grace)
{
	gc_roster_t *roster = gc_roster_create(NULL, GRACE_MS);

	put(roster, "a");
	gc_roster_regained(roster, unit_at(0));
	gc_roster_drop(roster, gc_str("a"));
	ck_assert_uint_eq(gc_roster_count(roster), 0);
	talloc_free(roster);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_in_order_of_ids,
		test_deleted_in_contact_goes_at_once,
		test_lapsed_gets_grace,
		test_missing_in_a_list,
		test_unusable_entry_gets_no_grace,
		NULL,
	};

	return unit_run("roster", tests);
}
