/*
 * Guards against revoked keys that are admitted because a confirmation is
 * applied to an older configuration, or because the confirmed time is later
 * than the response of the store allows; and against a mixture of two histories
 * of a store that went back to a copy.
 */
#include <string.h>

#include "core/error.h"
#include "lib/fleet.h"
#include "lib/peers_watch.h"
#include "platform/platform.h"
#include "regress/unit.h"

#define WATCH_WAIT_MS 900

/* A store whose responses the test sends. */
typedef struct fake {
	gc_store_items_done_t done; /* of the call in flight */
	void *ctx;
	int64_t now_ms;
	int64_t tick_ms; /* by which each look at the clock moves it */
	gc_confirmed_time_t confirmed;
	int64_t confirmed_at_publish;
	uint64_t version; /* of the last view */
	uint64_t version_at_confirmation;
	int64_t last_confirmed;
	char listed_after[32];
	unsigned int n_lists;
	uint64_t watched_after;
	struct tevent_context *ev;
	uint64_t seed;
	gc_random_t random;
	unsigned int n_views;
	unsigned int n_notices;
	char notice_key[48]; /* of the last one */
	unsigned int n_rollouts; /* items of roll-outs */
	char rollout_key[48]; /* of the last one */
	bool rollout_deleted;
	bool rollout_listed;
	char notice_value[16];
	uint64_t notice_revision;
	uint64_t era; /* in the responses */
	gc_store_done_t lease_done;
	void *lease_ctx;
	unsigned int n_puts;
	uint64_t noted_era; /* by era_seen */
	size_t n_ready; /* servers of the last view */
	size_t n_servers;
	size_t n_daemons;
} fake_t;

static void start_call(fake_t *fake, gc_store_items_done_t done, void *ctx)
{
	fake->done = done;
	fake->ctx = ctx;
}

static void fake_list(void *store, gc_str_t after, gc_store_items_done_t done,
		      void *ctx)
{
	fake_t *fake = store;

	g_strlcpy(fake->listed_after, "", sizeof(fake->listed_after));
	strncat(fake->listed_after, after.data, after.len);
	fake->n_lists++;
	start_call(store, done, ctx);
}

static void fake_watch(void *store, uint64_t after, int64_t wait_ms,
		       gc_store_items_done_t done, void *ctx)
{
	fake_t *fake = store;

	fake->watched_after = after;
	start_call(store, done, ctx);
}

static void fake_lease(void *store, int64_t ttl_ms, gc_store_done_t done,
		       void *ctx)
{
	fake_t *fake = store;

	fake->lease_done = done;
	fake->lease_ctx = ctx;
}

static void fake_renew(void *store, uint64_t lease, gc_store_done_t done,
		       void *ctx)
{
	fake_t *fake = store;

	done(ctx, 0, fake->era, NULL);
}

static void fake_put(void *store, gc_str_t key, gc_str_t value, uint64_t lease,
		     gc_store_done_t done, void *ctx)
{
	fake_t *fake = store;

	fake->n_puts++;
	done(ctx, 0, fake->era, NULL);
}

static const gc_store_ops_t fake_ops = {
	.list = fake_list,
	.watch = fake_watch,
	.lease = fake_lease,
	.renew = fake_renew,
	.put = fake_put,
};

static struct timespec fake_now(void *ctx)
{
	fake_t *fake = ctx;

	fake->now_ms += fake->tick_ms;
	return unit_at(fake->now_ms);
}

static int64_t ms_of(struct timespec t)
{
	return t.tv_sec * INT64_C(1000) + t.tv_nsec / 1000000;
}

static void on_view(void *ctx, gc_fleet_view_t *view)
{
	fake_t *fake = ctx;

	fake->n_views++;
	fake->confirmed_at_publish = atomic_load(&fake->confirmed);
	fake->n_servers = view->n_servers;
	fake->n_daemons = view->n_daemons;
	fake->n_ready = 0;
	for (size_t i = 0; i < view->n_servers; i++)
		fake->n_ready += !view->servers[i].draining;
	if (view->routes)
		fake->version = gc_routes_version(view->routes);
}

static void on_confirmed(void *ctx, int64_t at_ms)
{
	fake_t *fake = ctx;

	fake->version_at_confirmation = fake->version;
	fake->last_confirmed = at_ms;
}

static void on_notice(void *ctx, const gc_store_item_t *item)
{
	fake_t *fake = ctx;

	fake->n_notices++;
	g_strlcpy(fake->notice_key, "", sizeof(fake->notice_key));
	strncat(fake->notice_key, item->key.data, item->key.len);
	g_strlcpy(fake->notice_value, "", sizeof(fake->notice_value));
	strncat(fake->notice_value, item->value.data, item->value.len);
	fake->notice_revision = item->revision;
}

static void on_rollout(void *ctx, const gc_store_item_t *item, bool listed)
{
	fake_t *fake = ctx;

	fake->n_rollouts++;
	g_snprintf(fake->rollout_key, sizeof(fake->rollout_key), "%.*s",
		   GC_STR_ARG(item->key));
	fake->rollout_deleted = item->deleted;
	fake->rollout_listed = listed;
}

static void on_era(void *ctx, uint64_t era)
{
	((fake_t *)ctx)->noted_era = era;
}

static void respond(fake_t *fake, uint64_t revision, const char *config)
{
	gc_store_item_t item = {GC_STR_LIT("op/config"), gc_str(config),
				revision, false};
	gc_store_items_t items = {
		.items = &item,
		.n = config ? 1 : 0,
		.revision = revision,
		.era = fake->era,
	};

	fake->done(fake->ctx, &items, NULL);
}

/* The next call starts after a pause. */
static void wait_for_watch(fake_t *fake, uint64_t after)
{
	while (fake->watched_after != after)
		tevent_loop_once(fake->ev);
}

static gc_fleet_t *start(TALLOC_CTX *mem, fake_t *fake, gc_clock_t *clock)
{
	struct tevent_context *ev = tevent_context_init(mem);
	gc_fleet_conf_t conf = {
		.ev = ev,
		.timers = gc_timers_create(mem, ev),
		.clock = clock,
		.store = {&fake_ops, fake},
		.adapter = &gc_platform_adapter,
		.self = {.id = GC_STR_LIT("d1")},
		.times = {.watch_wait = WATCH_WAIT_MS},
		.lease_ms = 3000,
		.expiry_grace_ms = 2500,
		.contact_ms = 4000,
		.confirmed = &fake->confirmed,
		.publish = on_view,
		.on_confirmed = on_confirmed,
		.notice = on_notice,
		.rollout = on_rollout,
		.era_seen = on_era,
		.ctx = fake,
	};

	fake->ev = ev;
	fake->random = (gc_random_t){unit_next_random, &fake->seed};
	conf.random = &fake->random;
	*clock = (gc_clock_t){fake_now, fake_now, fake};
	return gc_fleet_create(mem, &conf);
}

/* Fault seen with 15 daemons: a key admitted 8 s after its revocation. */
START_TEST(test_view_is_published_before_its_confirmation)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start(mem, &fake, &clock);
	fake.now_ms = 10;
	respond(&fake, 5, "{\"version\":1}");
	ck_assert_int_eq(fake.confirmed_at_publish, 0);
	ck_assert_uint_eq(fake.version_at_confirmation, 1);
	ck_assert_int_eq(fake.last_confirmed, ms_of(unit_at(0)));
	fake.now_ms = 8000;
	respond(&fake, 6, "{\"version\":2}");
	ck_assert_int_eq(fake.confirmed_at_publish, ms_of(unit_at(0)));
	ck_assert_uint_eq(fake.version_at_confirmation, 2);
	talloc_free(mem);
}
END_TEST

#define N_ROUTES 100

/* A configuration that takes several pieces of work to read. */
static char *large_config(int version)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"version\":%d,\"routes\":[", version);
	for (int i = 0; i < N_ROUTES; i++)
		g_string_append_printf(
			text,
			"%s{\"host\":\"h\",\"path_prefix\":\"/%d/%d/\","
			"\"kind\":\"idempotent\",\"service\":\"s\"}",
			i ? "," : "", version, i);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

/* Starts a fleet with version 1, and a response with records of these versions, an
 * unreadable one for 0. Its configuration isn't read at once. */
static gc_fleet_t *start_large(TALLOC_CTX *mem, fake_t *fake, gc_clock_t *clock,
			       int first, int second)
{
	char *texts[] = {large_config(first), large_config(second)};
	gc_store_item_t changes[2];
	gc_store_items_t items = {.items = changes, .n = 2, .revision = 7};
	gc_fleet_t *fleet = start(mem, fake, clock);

	fake->now_ms = 10;
	respond(fake, 5, "{\"version\":1}");
	for (size_t i = 0; i < 2; i++)
		changes[i] = (gc_store_item_t){GC_STR_LIT("op/config"),
					       gc_str(texts[i]), 6 + i, false};
	if (second == 0)
		changes[1].value = GC_STR_LIT("{\"version\":3,\"routes\":[}");
	fake->tick_ms = 1;
	fake->done(fake->ctx, &items, NULL);
	g_free(texts[0]);
	g_free(texts[1]);
	return fleet;
}

static void run_until_version(fake_t *fake, uint64_t version)
{
	for (int i = 0; i < 1000 && fake->version != version; i++)
		tevent_loop_once(fake->ev);
	ck_assert_uint_eq(fake->version, version);
}

/* What the daemon confirms it must have in force: a key that a configuration takes away
 * would be admitted while that is read. */
START_TEST(test_configuration_that_is_being_read_is_not_confirmed)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;
	int64_t confirmed;

	start_large(mem, &fake, &clock, 2, 3);
	confirmed = fake.last_confirmed;
	ck_assert_uint_eq(fake.version, 1);
	ck_assert_int_eq(confirmed, ms_of(unit_at(0)));
	tevent_loop_once(fake.ev);
	ck_assert_uint_eq(fake.version, 1);
	ck_assert_int_eq(fake.last_confirmed, confirmed);
	/* Of several in one response, only the newest is read. */
	fake.n_views = 0;
	run_until_version(&fake, 3);
	ck_assert_uint_eq(fake.n_views, 1);
	ck_assert_uint_eq(fake.version_at_confirmation, 3);
	ck_assert_int_gt(fake.last_confirmed, confirmed);
	talloc_free(mem);
}
END_TEST

START_TEST(test_invalid_newest_configuration_leaves_the_one_before_it)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start_large(mem, &fake, &clock, 2, 0);
	run_until_version(&fake, 2);
	talloc_free(mem);
}
END_TEST

/* Each record alone would have had the same end. */
START_TEST(test_highest_version_of_a_response_counts)
{
	static const struct {
		int first;
		uint64_t first_revision;
		int second;
		uint64_t second_revision;
		uint64_t in_force;
	} cases[] = {{5, 6, 3, 7, 5}, {6, 9, 5, 8, 6}, {7, 10, 7, 11, 7}};
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start(mem, &fake, &clock);
	fake.now_ms = 10;
	respond(&fake, 5, "{\"version\":4}");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *first = large_config(cases[i].first);
		g_autofree char *second = large_config(cases[i].second);
		gc_store_item_t changes[] = {
			{GC_STR_LIT("op/config"), gc_str(first),
			 cases[i].first_revision, false},
			{GC_STR_LIT("op/config"), gc_str(second),
			 cases[i].second_revision, false},
		};
		gc_store_items_t items = {
			.items = changes, .n = 2, .revision = 7 + 2 * i};

		fake.done(fake.ctx, &items, NULL);
		ck_assert_uint_eq(fake.version, cases[i].in_force);
		wait_for_watch(&fake, 7 + 2 * i);
	}
	talloc_free(mem);
}
END_TEST

START_TEST(test_end_while_a_configuration_is_being_read)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start_large(mem, &fake, &clock, 2, 3);
	tevent_loop_once(fake.ev);
	ck_assert_uint_eq(fake.version, 1);
	talloc_free(mem);
}
END_TEST

START_TEST(test_confirmed_time_of_an_idle_watch)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start(mem, &fake, &clock);
	fake.now_ms = 10;
	respond(&fake, 5, "{\"version\":1}");
	/* A watch without changes confirms nearly to the end of its wait,
	 * however late the response arrives. */
	fake.now_ms = 9000;
	respond(&fake, 5, NULL);
	ck_assert_int_le(fake.last_confirmed,
			 ms_of(unit_at(10 + WATCH_WAIT_MS)));
	ck_assert_int_gt(fake.last_confirmed,
			 ms_of(unit_at(WATCH_WAIT_MS / 2)));
	/* A watch that ended early confirms its start. */
	fake.now_ms = 9100;
	respond(&fake, 5, NULL);
	ck_assert_int_eq(fake.last_confirmed, ms_of(unit_at(9000)));
	talloc_free(mem);
}
END_TEST

/* It ended with a change, though none that can be read. */
START_TEST(test_confirmed_time_of_a_watch_with_an_unreadable_key)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_store_items_t items = {.n_left_out = 1, .revision = 6};
	fake_t fake = {0};
	gc_clock_t clock;

	start(mem, &fake, &clock);
	fake.now_ms = 10;
	respond(&fake, 5, "{\"version\":1}");
	/* Its response comes late. */
	fake.now_ms = 9000;
	fake.done(fake.ctx, &items, NULL);
	ck_assert_int_eq(fake.last_confirmed, ms_of(unit_at(10)));
	talloc_free(mem);
}
END_TEST

START_TEST(test_older_version_is_ignored)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start(mem, &fake, &clock);
	respond(&fake, 5, "{\"version\":7}");
	fake.now_ms = 1000;
	respond(&fake, 6, "{\"version\":3}");
	ck_assert_uint_eq(fake.version, 7);
	talloc_free(mem);
}
END_TEST

static void respond_page(fake_t *fake, uint64_t revision, const char *key,
			 bool more)
{
	gc_store_item_t item = {gc_str(key), GC_STR_LIT("{}"), revision, false};
	gc_store_items_t items = {
		.items = &item,
		.n = 1,
		.revision = revision,
		.more = more,
		.era = fake->era,
	};

	fake->done(fake->ctx, &items, NULL);
}

static void refuse_call(fake_t *fake)
{
	GError *err = NULL;

	const gc_store_items_t items = {.era = fake->era};

	gc_error_set(&err, GC_ERR_UNAVAILABLE, "list", "store", "busy");
	fake->done(fake->ctx, &items, err);
	g_error_free(err);
}

/*
 * Load pattern: all daemons of a large fleet start at once and read lists of
 * many pages; their calls exceed the store's rate. When a refused page made a
 * daemon begin its list anew, hardly any finished (30 s with 300 daemons).
 */
START_TEST(test_list_goes_on_at_the_page_that_failed)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;
	gc_fleet_t *fleet = start(mem, &fake, &clock);
	struct tevent_context *ev = fake.ev;

	respond_page(&fake, 5, "a", true);
	ck_assert_str_eq(fake.listed_after, "a");
	refuse_call(&fake);
	while (fake.n_lists < 3)
		tevent_loop_once(ev);
	ck_assert_str_eq(fake.listed_after, "a");
	fake.now_ms += 1000;
	respond_page(&fake, 9, "b", false);
	/* The changes since the first page are asked for. */
	ck_assert_uint_eq(fake.watched_after, 5);
	talloc_free(fleet);
	talloc_free(mem);
}
END_TEST

static void respond_item(fake_t *fake, const char *key, const char *value,
			 uint64_t revision, uint64_t store_revision)
{
	gc_store_item_t item = {gc_str(key), gc_str(value), revision, !value};
	gc_store_items_t items = {
		.items = &item,
		.n = 1,
		.revision = store_revision,
		.era = fake->era,
	};

	fake->now_ms += 1000;
	fake->done(fake->ctx, &items, NULL);
}

/* A removed order ends its roll-out, one that a list lacks doesn't. */
START_TEST(test_items_of_rollouts_are_handed_on)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start(mem, &fake, &clock);
	respond_item(&fake, "op/rollout/app", "{}", 3, 5);
	ck_assert_uint_eq(fake.n_rollouts, 1);
	ck_assert_str_eq(fake.rollout_key, "op/rollout/app");
	ck_assert(fake.rollout_listed);
	ck_assert(!fake.rollout_deleted);
	respond_item(&fake, "status/rollout/app", "{}", 6, 6);
	ck_assert_uint_eq(fake.n_rollouts, 2);
	ck_assert_str_eq(fake.rollout_key, "status/rollout/app");
	ck_assert(!fake.rollout_listed);
	wait_for_watch(&fake, 6);
	respond_item(&fake, "op/rollout/app", NULL, 7, 7);
	ck_assert_uint_eq(fake.n_rollouts, 3);
	ck_assert(fake.rollout_deleted);
	ck_assert(!fake.rollout_listed);
	/* Keys beside the prefixes are none. */
	wait_for_watch(&fake, 7);
	respond_item(&fake, "op/rollout", "{}", 8, 8);
	wait_for_watch(&fake, 8);
	respond_item(&fake, "op/rollouts/app", "{}", 9, 9);
	ck_assert_uint_eq(fake.n_rollouts, 3);
	talloc_free(mem);
}
END_TEST

/*
 * Notices on crashes reach this daemon and, through it, those that watch it. A
 * view for each of them would be work for the traffic thread without a change.
 */
START_TEST(test_notices_are_handed_on_without_a_view)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;
	gc_fleet_t *fleet = start(mem, &fake, &clock);
	g_autofree char *response = NULL;
	unsigned int n_views;

	/* In the first list: the item's revision, not the list's. */
	respond_item(&fake, "goldcrest/crashed/d2/15", "first", 3, 5);
	ck_assert_uint_eq(fake.n_notices, 1);
	ck_assert_str_eq(fake.notice_key, "goldcrest/crashed/d2/15");
	ck_assert_str_eq(fake.notice_value, "first");
	ck_assert_uint_eq(fake.notice_revision, 3);
	n_views = fake.n_views;
	respond_item(&fake, "goldcrest/served/00000000000000aa", "{}", 7, 8);
	ck_assert_uint_eq(fake.n_notices, 2);
	ck_assert_str_eq(fake.notice_key, "goldcrest/served/00000000000000aa");
	ck_assert_uint_eq(fake.notice_revision, 7);
	/* A key that is written again is a new notice. */
	wait_for_watch(&fake, 8);
	respond_item(&fake, "goldcrest/crashed/d2/15", "second", 9, 9);
	ck_assert_uint_eq(fake.n_notices, 3);
	ck_assert_str_eq(fake.notice_value, "second");
	ck_assert_uint_eq(fake.notice_revision, 9);
	response = gc_peers_watch_response(gc_fleet_change_log(fleet), 0, 5, 0,
					   true);
	ck_assert_ptr_nonnull(response);
	ck_assert_ptr_nonnull(
		strstr(response, "goldcrest/served/00000000000000aa"));
	ck_assert_ptr_nonnull(strstr(response, "goldcrest/crashed/d2/15"));
	wait_for_watch(&fake, 9);
	respond_item(&fake, "goldcrest/crashed/d2/15", NULL, 10, 10);
	/* Keys beside the prefixes are none. */
	wait_for_watch(&fake, 10);
	respond_item(&fake, "goldcrest/crashed", "x", 11, 11);
	ck_assert_uint_eq(fake.n_notices, 3);
	ck_assert_uint_eq(fake.n_views, n_views);
	talloc_free(mem);
}
END_TEST

/* A daemon with version 7 of the configuration, from revision 50 of era 1. */
static gc_fleet_t *start_in_era_1(TALLOC_CTX *mem, fake_t *fake,
				  gc_clock_t *clock)
{
	gc_fleet_t *fleet = start(mem, fake, clock);

	fake->era = 1;
	respond(fake, 50, "{\"version\":7}");
	ck_assert_uint_eq(fake->n_lists, 1);
	ck_assert_uint_eq(fake->watched_after, 50);
	return fleet;
}

/*
 * Fault: after a restore the operator's configuration, written again with a
 * lower revision, was ignored for good.
 */
START_TEST(test_restore_seen_by_a_watch)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;
	gc_fleet_t *fleet = start_in_era_1(mem, &fake, &clock);

	/* The new history has passed the revision again. */
	fake.era = 2;
	fake.now_ms = 1000;
	respond(&fake, 52, "{\"version\":3}");
	ck_assert_uint_eq(fake.n_lists, 2);
	ck_assert_uint_eq(fake.noted_era, 2);
	/* Nothing of the response counts. */
	ck_assert_int_eq(fake.last_confirmed, ms_of(unit_at(0)));
	ck_assert_uint_eq(gc_change_log_era(gc_fleet_change_log(fleet)), 1);
	/* The copy's older version doesn't come into force. */
	fake.now_ms = 1100;
	respond(&fake, 40, "{\"version\":3}");
	ck_assert_uint_eq(fake.version, 7);
	ck_assert_int_eq(fake.last_confirmed, ms_of(unit_at(1000)));
	ck_assert_uint_eq(fake.watched_after, 40);
	ck_assert_uint_eq(gc_change_log_era(gc_fleet_change_log(fleet)), 2);
	ck_assert_uint_eq(gc_change_log_revision(gc_fleet_change_log(fleet)),
			  40);
	/* The operator writes it again; a newer one follows. */
	respond(&fake, 41, "{\"version\":7}");
	wait_for_watch(&fake, 41);
	respond(&fake, 42, "{\"version\":8}");
	ck_assert_uint_eq(fake.version, 8);
	ck_assert_uint_eq(fake.n_lists, 2);
	talloc_free(mem);
}
END_TEST

/* Two restores in a row, the second one while a page of the list is read. */
START_TEST(test_restore_between_pages_of_a_list)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;
	gc_fleet_t *fleet = start_in_era_1(mem, &fake, &clock);

	fake.era = 2;
	refuse_call(&fake);
	ck_assert_uint_eq(fake.n_lists, 2);
	respond_page(&fake, 40, "a", true);
	ck_assert_str_eq(fake.listed_after, "a");
	fake.era = 3;
	respond_page(&fake, 60, "b", false);
	ck_assert_uint_eq(fake.n_lists, 4);
	ck_assert_str_eq(fake.listed_after, "");
	respond(&fake, 30, "{\"version\":9}");
	ck_assert_uint_eq(fake.version, 9);
	ck_assert_uint_eq(fake.watched_after, 30);
	ck_assert_uint_eq(gc_change_log_era(gc_fleet_change_log(fleet)), 3);
	talloc_free(mem);
}
END_TEST

START_TEST(test_late_response_of_an_old_era_is_dropped)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;
	gc_fleet_t *fleet = start_in_era_1(mem, &fake, &clock);

	/* The era is seen in the response to a lease, or through a peer. */
	gc_fleet_era_seen(fleet, 2);
	fake.now_ms = 1000;
	respond(&fake, 51, "{\"version\":8}");
	ck_assert_uint_eq(fake.version, 7);
	while (fake.n_lists < 2)
		tevent_loop_once(fake.ev);
	/* A late page is none of the new list. */
	respond(&fake, 52, "{\"version\":8}");
	ck_assert_uint_eq(fake.version, 7);
	while (fake.n_lists < 3)
		tevent_loop_once(fake.ev);
	fake.era = 2;
	respond(&fake, 30, "{\"version\":9}");
	ck_assert_uint_eq(fake.version, 9);
	/* Nor is a late answer one to the watch that follows. */
	fake.era = 1;
	fake.now_ms = 2000;
	respond(&fake, 53, "{\"version\":10}");
	ck_assert_uint_eq(fake.version, 9);
	ck_assert_int_eq(fake.last_confirmed, ms_of(unit_at(1000)));
	fake.watched_after = 0;
	fake.now_ms += 1000;
	wait_for_watch(&fake, 30);
	ck_assert_uint_eq(fake.n_lists, 3);
	talloc_free(mem);
}
END_TEST

/* A damaged number must not make the daemon deaf to the store. */
START_TEST(test_era_that_can_not_follow_is_ignored)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;
	gc_fleet_t *fleet = start_in_era_1(mem, &fake, &clock);

	fake.lease_done(fake.lease_ctx, 0, UINT64_C(100000000000000000), NULL);
	gc_fleet_era_seen(fleet, UINT64_C(100000000000000000));
	ck_assert_uint_le(fake.noted_era, 1);
	fake.era = UINT64_C(100000000000000000);
	respond(&fake, 51, "{\"version\":8}");
	ck_assert_uint_eq(fake.version, 8);
	wait_for_watch(&fake, 51);
	/* A daemon that was cut off for several restores. */
	fake.era = 40;
	respond(&fake, 30, "{\"version\":9}");
	ck_assert_uint_eq(fake.noted_era, 40);
	talloc_free(mem);
}
END_TEST

START_TEST(test_restore_seen_by_the_lease)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start_in_era_1(mem, &fake, &clock);
	fake.lease_done(fake.lease_ctx, 0, 2, NULL);
	ck_assert_uint_eq(fake.noted_era, 2);
	/* The watch that was waiting is of the old history, whatever it says:
	 * this response lacks the era. */
	fake.era = 0;
	respond(&fake, 55, "{\"version\":8}");
	ck_assert_uint_eq(fake.version, 7);
	ck_assert_uint_eq(fake.n_lists, 2);
	talloc_free(mem);
}
END_TEST

START_TEST(test_response_without_era_proves_no_restore)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start_in_era_1(mem, &fake, &clock);
	fake.era = 0;
	respond(&fake, 51, "{\"version\":8}");
	ck_assert_uint_eq(fake.version, 8);
	wait_for_watch(&fake, 51);
	fake.era = 1;
	respond(&fake, 52, "{\"version\":9}");
	ck_assert_uint_eq(fake.version, 9);
	ck_assert_uint_eq(fake.n_lists, 1);
	talloc_free(mem);
}
END_TEST

#define SERVER(stage)                                                      \
	"{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\"," \
	"\"slots\":4,\"born\":5,\"state\":\"" stage "\"}"

/* The copy lacks one server and lists another one that has left as ready. */
START_TEST(test_servers_after_a_restore)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start_in_era_1(mem, &fake, &clock);
	respond_item(&fake, "servers/s1", SERVER("ready"), 51, 51);
	ck_assert_uint_eq(fake.n_ready, 1);
	wait_for_watch(&fake, 51);
	respond_item(&fake, "servers/s2", SERVER("draining"), 52, 52);
	ck_assert_uint_eq(fake.n_servers, 2);
	wait_for_watch(&fake, 52);
	fake.era = 2;
	respond(&fake, 52, NULL);
	respond_item(&fake, "servers/s2", SERVER("ready"), 40, 40);
	ck_assert_uint_eq(fake.n_servers, 2);
	ck_assert_uint_eq(fake.n_ready, 1);
	wait_for_watch(&fake, 40);
	respond_item(&fake, "servers/s2", SERVER("ready"), 41, 41);
	ck_assert_uint_eq(fake.n_ready, 2);
	talloc_free(mem);
}
END_TEST

static void lose_history(fake_t *fake)
{
	const gc_store_items_t items = {.era = fake->era};
	unsigned int n_lists = fake->n_lists;
	GError *err = NULL;

	gc_error_set(&err, GC_ERR_LOST, "watch", "store", "compacted");
	fake->done(fake->ctx, &items, err);
	g_error_free(err);
	while (fake->n_lists == n_lists)
		tevent_loop_once(fake->ev);
}

#define DAEMON "{\"address\":\"127.0.0.1:1\",\"failure_domain\":\"a\"}"

/* Fault: a daemon whose entry the store lost stayed unknown to callers. */
START_TEST(test_own_entry_missing_in_a_list)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start(mem, &fake, &clock);
	fake.lease_done(fake.lease_ctx, 7, 0, NULL);
	ck_assert_uint_eq(fake.n_puts, 1);
	/* It was written after this list began. */
	respond(&fake, 50, "{\"version\":7}");
	lose_history(&fake);
	respond_item(&fake, "goldcrest/daemons/d1", DAEMON, 51, 60);
	lose_history(&fake);
	ck_assert_uint_eq(fake.n_puts, 1);
	respond_item(&fake, "goldcrest/daemons/d2", DAEMON, 52, 70);
	while (fake.n_puts < 2)
		tevent_loop_once(fake.ev);
	talloc_free(mem);
}
END_TEST

/* A daemon whose entry names no usable address isn't named to callers or asked
 * for changes, also if its entry was valid before. */
START_TEST(test_odd_entries_of_daemons)
{
	static const char *const odd[] = {
		"",
		"[]",
		"{\"address\":\"127.0.0.1:1\"}",
		"{\"address\":1,\"failure_domain\":\"a\"}",
		"{\"address\":\"127.0.0.1:70000\",\"failure_domain\":\"a\"}",
		"{\"address\":\"h.example:1\",\"failure_domain\":\"a\"}",
		"{\"address\":\"127.0.0.1:1/x\",\"failure_domain\":\"a\"}",
		"{\"address\":\"127.0.0.1:1\",\"failure_domain\":\"a\","
		"\"peer\":\"127.0.0.1:0\"}",
		"{\"address\":\"127.0.0.1:1\",\"failure_domain\":\"a\","
		"\"peer\":7}",
	};
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;
	uint64_t revision = 50;

	start(mem, &fake, &clock);
	respond(&fake, revision, "{\"version\":7}");
	fake.now_ms = 10000;
	wait_for_watch(&fake, revision++);
	respond_item(&fake, "goldcrest/daemons/d2", DAEMON, revision, revision);
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		wait_for_watch(&fake, revision++);
		respond_item(&fake, "goldcrest/daemons/d3", odd[i], revision,
			     revision);
		ck_assert_msg(fake.n_daemons == 1, "%s", odd[i]);
	}
	wait_for_watch(&fake, revision++);
	respond_item(&fake, "goldcrest/daemons/d2", odd[0], revision, revision);
	ck_assert_uint_eq(fake.n_daemons, 0);
	talloc_free(mem);
}
END_TEST

/* Fault of a hunt: a daemon that had started 4 s before sent a request to a server whose
 * entry had gone over 3 s before. Its first list had taken 2 s. */
START_TEST(test_grace_of_a_daemon_that_has_started)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	fake_t fake = {0};
	gc_clock_t clock;

	start(mem, &fake, &clock);
	fake.now_ms = 1200;
	respond_item(&fake, "servers/s1", SERVER("ready"), 3, 5);
	ck_assert_uint_eq(fake.n_servers, 1);
	/* It may be written again. */
	respond_item(&fake, "servers/s1", NULL, 6, 6);
	ck_assert_uint_eq(fake.n_servers, 1);
	wait_for_watch(&fake, 6);
	fake.now_ms = 3900;
	respond(&fake, 6, NULL);
	ck_assert_uint_eq(fake.n_servers, 0);
	talloc_free(mem);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_view_is_published_before_its_confirmation,
		test_configuration_that_is_being_read_is_not_confirmed,
		test_invalid_newest_configuration_leaves_the_one_before_it,
		test_highest_version_of_a_response_counts,
		test_end_while_a_configuration_is_being_read,
		test_grace_of_a_daemon_that_has_started,
		test_confirmed_time_of_an_idle_watch,
		test_confirmed_time_of_a_watch_with_an_unreadable_key,
		test_older_version_is_ignored,
		test_list_goes_on_at_the_page_that_failed,
		test_items_of_rollouts_are_handed_on,
		test_notices_are_handed_on_without_a_view,
		test_restore_seen_by_a_watch,
		test_restore_between_pages_of_a_list,
		test_late_response_of_an_old_era_is_dropped,
		test_era_that_can_not_follow_is_ignored,
		test_restore_seen_by_the_lease,
		test_response_without_era_proves_no_restore,
		test_servers_after_a_restore,
		test_own_entry_missing_in_a_list,
		test_odd_entries_of_daemons,
		NULL,
	};

	return unit_run("fleet", tests);
}
