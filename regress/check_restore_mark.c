/* Whether the store may lack records. Guards against a daemon that starts after a
 * restore of the store and doesn't know of it. */
#include "core/base_version.h"
#include "core/restore_mark.h"
#include "regress/unit.h"

START_TEST(test_first_start)
{
	gc_restore_mark_t mark = {0};

	ck_assert(!gc_restore_mark_see(&mark, unit_at(0), 7));
	ck_assert(gc_restore_mark_may_lack(&mark, unit_at(0)));
	ck_assert(!gc_restore_mark_read(&mark, unit_at(1), 0));
	ck_assert(!gc_restore_mark_may_lack(&mark, unit_at(1)));
	ck_assert_int_eq(gc_restore_mark_due_ms(&mark, unit_at(1)), 0);
	gc_restore_mark_read(&mark, unit_at(2), 7);
	ck_assert_int_eq(gc_restore_mark_due_ms(&mark, unit_at(2)), -1);
}
END_TEST

START_TEST(test_seen_restore)
{
	gc_restore_mark_t mark = {0};

	gc_restore_mark_see(&mark, unit_at(0), 7);
	gc_restore_mark_read(&mark, unit_at(0), 7);
	ck_assert(!gc_restore_mark_see(&mark, unit_at(50), 6));
	ck_assert(gc_restore_mark_see(&mark, unit_at(100), 8));
	ck_assert(!gc_restore_mark_see(&mark, unit_at(101), 8));
	ck_assert(gc_restore_mark_may_lack(&mark, unit_at(100)));
	ck_assert(!gc_restore_mark_read(&mark, unit_at(200), 7));
	ck_assert_int_eq(gc_restore_mark_due_ms(&mark, unit_at(100)),
			 GC_STREAM_LIFE_MS);
	ck_assert(gc_restore_mark_may_lack(&mark,
					   unit_at(99 + GC_STREAM_LIFE_MS)));
	ck_assert(!gc_restore_mark_may_lack(&mark,
					    unit_at(100 + GC_STREAM_LIFE_MS)));
	ck_assert_int_eq(
		gc_restore_mark_due_ms(&mark, unit_at(100 + GC_STREAM_LIFE_MS)),
		0);
}
END_TEST

START_TEST(test_missed_restore)
{
	gc_restore_mark_t mark = {0};

	gc_restore_mark_see(&mark, unit_at(0), 9);
	ck_assert(gc_restore_mark_read(&mark, unit_at(10), 7));
	ck_assert(gc_restore_mark_may_lack(&mark,
					   unit_at(9 + GC_STREAM_LIFE_MS)));
	ck_assert(!gc_restore_mark_read(&mark, unit_at(20), 7));
	/* Another daemon has known of it for longer. */
	gc_restore_mark_read(&mark, unit_at(30), 9);
	ck_assert(!gc_restore_mark_may_lack(&mark, unit_at(30)));
}
END_TEST

/* The store names no eras. */
START_TEST(test_no_era)
{
	gc_restore_mark_t mark = {0};

	ck_assert(!gc_restore_mark_see(&mark, unit_at(0), 0));
	ck_assert(!gc_restore_mark_read(&mark, unit_at(1), 0));
	ck_assert(!gc_restore_mark_may_lack(&mark, unit_at(1)));
	ck_assert_int_eq(gc_restore_mark_due_ms(&mark, unit_at(1)), -1);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_first_start,
		test_seen_restore,
		test_missed_restore,
		test_no_era,
		NULL,
	};

	return unit_run("restore_mark", tests);
}
