/*
 * Guards against daemons that miss a change, in particular a deletion, because
 * they ask a peer instead of the store, and against a failure domain in which
 * all daemons or none watch the store.
 */
#include <stdio.h>

#include "core/change_log.h"
#include "core/watchers.h"
#include "regress/unit.h"

#define N_DAEMONS 16

static void add_change(gc_change_log_t *change_log, const char *key,
		       uint64_t revision, bool deleted);
static void append_change(void *ctx, gc_logged_change_t *change);
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

static void append_change(void *ctx, gc_logged_change_t *change)
{
	const gc_store_item_t *item = &change->item;

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

	gc_change_log_reset(change_log, 0, 5);
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

	gc_change_log_reset(change_log, 0, 1);
	add_change(change_log, "a", 2, true);
	add_change(change_log, "b", 3, true);
	ck_assert_str_eq(changes_since(change_log, 1), "-a-b");
	add_change(change_log, "c", 4, true);
	ck_assert_str_eq(changes_since(change_log, 1), "unknown");
	ck_assert_str_eq(changes_since(change_log, 2), "-b-c");
	gc_change_log_reset(change_log, 0, 9);
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

static unsigned int count_watchers(const gc_registry_entry_t *daemons, size_t n)
{
	unsigned int n_watchers = 0;

	for (size_t i = 0; i < n; i++)
		n_watchers +=
			gc_watchers_choose(daemons, n, daemons[i].id,
					   daemons[i].failure_domain, 0) < 0;
	return n_watchers;
}

START_TEST(test_watchers_of_all_domains_are_asked_by_the_others)
{
	char names[N_DAEMONS][8];
	gc_registry_entry_t daemons[N_DAEMONS];
	size_t n = init_daemons(daemons, names);
	unsigned int n_askers[N_DAEMONS] = {0};

	for (size_t i = 0; i < n; i++) {
		ssize_t chosen =
			gc_watchers_choose(daemons, n, daemons[i].id,
					   daemons[i].failure_domain, 0);
		ssize_t next = gc_watchers_choose(daemons, n, daemons[i].id,
						  daemons[i].failure_domain, 1);
		ssize_t last = gc_watchers_choose(daemons, n, daemons[i].id,
						  daemons[i].failure_domain, 2);

		if (chosen < 0)
			continue;
		ck_assert(gc_str_eq(daemons[chosen].failure_domain,
				    daemons[i].failure_domain));
		ck_assert_int_ne(next, last);
		n_askers[chosen]++;
	}
	ck_assert_uint_eq(count_watchers(daemons, n), 3);
	/* Two watchers of the first domain, one of the second. */
	ck_assert_uint_eq(n_askers[0] + n_askers[2], N_DAEMONS / 2 - 2);
	ck_assert_uint_eq(n_askers[1], N_DAEMONS / 2 - 1);
}
END_TEST

/* The calls to the store must not grow with the failure domains. */
START_TEST(test_number_of_watchers_does_not_grow_with_domains)
{
	char names[N_DAEMONS][8];
	gc_registry_entry_t daemons[N_DAEMONS];
	size_t n = init_daemons(daemons, names);

	for (size_t i = 0; i < n; i++)
		daemons[i].failure_domain = gc_str(names[i / 2]);
	ck_assert_uint_eq(count_watchers(daemons, n), 3);
	ck_assert_uint_eq(count_watchers(daemons, 6), 2);
	ck_assert_uint_eq(count_watchers(daemons, 1), 1);
	ck_assert_uint_eq(gc_watchers_count(95), 3);
	/* Nor may a watcher's bytes grow with the daemons. */
	ck_assert_uint_eq(gc_watchers_count(320), 10);
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
		test_watchers_of_all_domains_are_asked_by_the_others,
		test_number_of_watchers_does_not_grow_with_domains,
		test_single_daemon_watches,
		NULL,
	};

	return unit_run("change_log", tests);
}
