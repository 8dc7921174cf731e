/*
 * Guards against daemons that miss a change, in particular a deletion, because
 * they ask a peer instead of the store, and against a failure domain in which
 * all daemons or none watch the store.
 */
#include <stdio.h>

#include "core/change_log.h"
#include "core/watchers.h"
#include "regress/unit.h"

#define N_DAEMONS 12

static void add_change(gc_change_log_t *change_log, const char *key,
		       uint64_t revision, bool deleted);
static void append_change(void *ctx, const gc_store_item_t *item);
static const char *changes_since(const gc_change_log_t *change_log,
				 uint64_t after);

static char changes[128];

static void add_change(gc_change_log_t *change_log, const char *key,
		       uint64_t revision, bool deleted)
{
	gc_store_item_t item = {gc_str(key), gc_str("v"), revision, deleted};

	gc_change_log_add(change_log, &item);
	gc_change_log_advance(change_log, revision);
}

static void append_change(void *ctx, const gc_store_item_t *item)
{
	strncat(changes, item->deleted ? "-" : "+", 2);
	strncat(changes, item->key.data, item->key.len);
}

static const char *changes_since(const gc_change_log_t *change_log,
				 uint64_t after)
{
	changes[0] = '\0';
	return gc_change_log_foreach_since(change_log, after, append_change,
					   NULL)
		       ? changes
		       : "unknown";
}

START_TEST(test_latest_change_of_each_key)
{
	gc_change_log_t *change_log = gc_change_log_create(NULL, 10);

	gc_change_log_reset(change_log, 5);
	add_change(change_log, "a", 3, false);
	add_change(change_log, "b", 6, false);
	add_change(change_log, "a", 7, false);
	add_change(change_log, "b", 8, true);
	add_change(change_log, "a", 6, false);
	ck_assert_str_eq(changes_since(change_log, 5), "+a-b");
	ck_assert_str_eq(changes_since(change_log, 7), "-b");
	ck_assert_str_eq(changes_since(change_log, 8), "");
	ck_assert_str_eq(changes_since(change_log, 4), "unknown");
	ck_assert_uint_eq(gc_change_log_revision(change_log), 8);
	talloc_free(change_log);
}
END_TEST

START_TEST(test_discarded_deletion_is_reported_as_unknown)
{
	gc_change_log_t *change_log = gc_change_log_create(NULL, 2);

	gc_change_log_reset(change_log, 1);
	add_change(change_log, "a", 2, true);
	add_change(change_log, "b", 3, true);
	ck_assert_str_eq(changes_since(change_log, 1), "-a-b");
	add_change(change_log, "c", 4, true);
	ck_assert_str_eq(changes_since(change_log, 1), "unknown");
	ck_assert_str_eq(changes_since(change_log, 2), "-b-c");
	gc_change_log_reset(change_log, 9);
	ck_assert_str_eq(changes_since(change_log, 4), "unknown");
	talloc_free(change_log);
}
END_TEST

static size_t init_daemons(gc_registry_entry_t *daemons, char names[][8])
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

START_TEST(test_two_per_domain_watch_and_the_others_ask_them)
{
	char names[N_DAEMONS][8];
	gc_registry_entry_t daemons[N_DAEMONS];
	size_t n = init_daemons(daemons, names);
	unsigned int n_watchers = 0;
	unsigned int n_askers[N_DAEMONS] = {0};

	for (size_t i = 0; i < n; i++) {
		ssize_t chosen =
			gc_watchers_choose(daemons, n, daemons[i].id,
					   daemons[i].failure_domain, 0);
		ssize_t next = gc_watchers_choose(daemons, n, daemons[i].id,
						  daemons[i].failure_domain, 1);

		n_watchers += chosen < 0;
		if (chosen < 0)
			continue;
		ck_assert(gc_str_eq(daemons[chosen].failure_domain,
				    daemons[i].failure_domain));
		ck_assert_int_ne(chosen, next);
		n_askers[chosen]++;
	}
	ck_assert_uint_eq(n_watchers, 2 * GC_WATCHERS_PER_DOMAIN);
	ck_assert_uint_eq(n_askers[0] + n_askers[2],
			  N_DAEMONS / 2 - GC_WATCHERS_PER_DOMAIN);
	ck_assert_uint_eq(n_askers[1] + n_askers[3],
			  N_DAEMONS / 2 - GC_WATCHERS_PER_DOMAIN);
}
END_TEST

START_TEST(test_single_daemon_watches)
{
	ck_assert_int_eq(
		gc_watchers_choose(NULL, 0, gc_str("d"), gc_str("x"), 0), -1);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_latest_change_of_each_key,
		test_discarded_deletion_is_reported_as_unknown,
		test_two_per_domain_watch_and_the_others_ask_them,
		test_single_daemon_watches,
		NULL,
	};

	return unit_run("change_log", tests);
}
