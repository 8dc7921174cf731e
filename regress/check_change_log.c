/*
 * Guards against daemons that miss a change, above all a deletion, because
 * they ask a peer instead of the store; and against everybody, or nobody,
 * watching the store.
 */
#include <stdio.h>

#include "core/change_log.h"
#include "core/watchers.h"
#include "regress/unit.h"

#define N_DAEMONS 12

static void add(gc_change_log_t *feed, const char *key, uint64_t revision,
		bool deleted);
static void join(void *ctx, const gc_store_item_t *item);
static const char *since(const gc_change_log_t *feed, uint64_t after);

static char text[128];

static void add(gc_change_log_t *feed, const char *key, uint64_t revision,
		bool deleted)
{
	gc_store_item_t item = {gc_str(key), gc_str("v"), revision, deleted};

	gc_change_log_add(feed, &item);
	gc_change_log_advance(feed, revision);
}

static void join(void *ctx, const gc_store_item_t *item)
{
	strncat(text, item->deleted ? "-" : "+", 2);
	strncat(text, item->key.data, item->key.len);
}

static const char *since(const gc_change_log_t *feed, uint64_t after)
{
	text[0] = '\0';
	return gc_change_log_since(feed, after, join, NULL) ? text : "unknown";
}

START_TEST(test_newest_change_of_each_key)
{
	gc_change_log_t *feed = gc_change_log_create(NULL, 10);

	gc_change_log_restart(feed, 5);
	add(feed, "a", 3, false);
	add(feed, "b", 6, false);
	add(feed, "a", 7, false);
	add(feed, "b", 8, true);
	add(feed, "a", 6, false);
	ck_assert_str_eq(since(feed, 5), "+a-b");
	ck_assert_str_eq(since(feed, 7), "-b");
	ck_assert_str_eq(since(feed, 8), "");
	ck_assert_str_eq(since(feed, 4), "unknown");
	ck_assert_uint_eq(gc_change_log_revision(feed), 8);
	talloc_free(feed);
}
END_TEST

START_TEST(test_forgotten_deletion_is_told)
{
	gc_change_log_t *feed = gc_change_log_create(NULL, 2);

	gc_change_log_restart(feed, 1);
	add(feed, "a", 2, true);
	add(feed, "b", 3, true);
	ck_assert_str_eq(since(feed, 1), "-a-b");
	add(feed, "c", 4, true);
	ck_assert_str_eq(since(feed, 1), "unknown");
	ck_assert_str_eq(since(feed, 2), "-b-c");
	gc_change_log_restart(feed, 9);
	ck_assert_str_eq(since(feed, 4), "unknown");
	talloc_free(feed);
}
END_TEST

static size_t fill(gc_registry_entry_t *daemons, char names[][8])
{
	for (int i = 0; i < N_DAEMONS; i++) {
		snprintf(names[i], 8, "d%02d", i);
		daemons[i] = (gc_registry_entry_t){
			.id = gc_str(names[i]),
			.failure_domain = gc_str(i % 2 ? "odd" : "even"),
		};
	}
	return N_DAEMONS;
}

START_TEST(test_two_watch_and_the_rest_ask_both)
{
	char names[N_DAEMONS][8];
	gc_registry_entry_t daemons[N_DAEMONS];
	size_t n = fill(daemons, names);
	unsigned int watch = 0;
	unsigned int asked[N_DAEMONS] = {0};

	for (size_t i = 0; i < n; i++) {
		ssize_t at = gc_watchers_choose(daemons, n, daemons[i].id,
						daemons[i].failure_domain, 0);
		ssize_t next = gc_watchers_choose(daemons, n, daemons[i].id,
						  daemons[i].failure_domain, 1);

		watch += at < 0;
		if (at < 0)
			continue;
		ck_assert(gc_str_eq(daemons[at].failure_domain,
				    daemons[i].failure_domain));
		ck_assert_int_ne(at, next);
		asked[at]++;
	}
	ck_assert_uint_eq(watch, 2 * GC_WATCHERS);
	ck_assert_uint_eq(asked[0] + asked[2], N_DAEMONS / 2 - GC_WATCHERS);
	ck_assert_uint_eq(asked[1] + asked[3], N_DAEMONS / 2 - GC_WATCHERS);
}
END_TEST

START_TEST(test_alone_watches)
{
	ck_assert_int_eq(
		gc_watchers_choose(NULL, 0, gc_str("d"), gc_str("x"), 0), -1);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_newest_change_of_each_key,
		test_forgotten_deletion_is_told,
		test_two_watch_and_the_rest_ask_both,
		test_alone_watches,
		NULL,
	};

	return unit_run("feed", tests);
}
