/*
 * Guards against revoked keys that are admitted because a confirmation is
 * applied to an older configuration, or because the confirmed time is later
 * than the response of the store allows.
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
	char notice_value[16];
	uint64_t notice_revision;
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
}

static const gc_store_ops_t fake_ops = {
	.list = fake_list,
	.watch = fake_watch,
	.lease = fake_lease,
};

static struct timespec fake_now(void *ctx)
{
	const fake_t *fake = ctx;

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

static void respond(fake_t *fake, uint64_t revision, const char *config)
{
	gc_store_item_t item = {GC_STR_LIT("op/config"), gc_str(config),
				revision, false};
	gc_store_items_t items = {
		.items = &item, .n = config ? 1 : 0, .revision = revision};

	fake->done(fake->ctx, &items, NULL);
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
		.confirmed = &fake->confirmed,
		.publish = on_view,
		.on_confirmed = on_confirmed,
		.notice = on_notice,
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
		.items = &item, .n = 1, .revision = revision, .more = more};

	fake->done(fake->ctx, &items, NULL);
}

static void refuse_call(fake_t *fake)
{
	GError *err = NULL;

	gc_error_set(&err, GC_ERR_UNAVAILABLE, "list", "store", "busy");
	fake->done(fake->ctx, NULL, err);
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
		.items = &item, .n = 1, .revision = store_revision};

	fake->now_ms += 1000;
	fake->done(fake->ctx, &items, NULL);
}

/* The next call starts after a pause. */
static void wait_for_watch(fake_t *fake, uint64_t after)
{
	while (fake->watched_after != after)
		tevent_loop_once(fake->ev);
}

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
	respond_item(&fake, "goldcrest/crashes/d2/15", "first", 3, 5);
	ck_assert_uint_eq(fake.n_notices, 1);
	ck_assert_str_eq(fake.notice_key, "goldcrest/crashes/d2/15");
	ck_assert_str_eq(fake.notice_value, "first");
	ck_assert_uint_eq(fake.notice_revision, 3);
	n_views = fake.n_views;
	respond_item(&fake, "goldcrest/served/00000000000000aa", "{}", 7, 8);
	ck_assert_uint_eq(fake.n_notices, 2);
	ck_assert_str_eq(fake.notice_key, "goldcrest/served/00000000000000aa");
	ck_assert_uint_eq(fake.notice_revision, 7);
	/* A key that is written again is a new notice. */
	wait_for_watch(&fake, 8);
	respond_item(&fake, "goldcrest/crashes/d2/15", "second", 9, 9);
	ck_assert_uint_eq(fake.n_notices, 3);
	ck_assert_str_eq(fake.notice_value, "second");
	ck_assert_uint_eq(fake.notice_revision, 9);
	response = gc_peers_watch_response(gc_fleet_change_log(fleet), 5, 0);
	ck_assert_ptr_nonnull(response);
	ck_assert_ptr_nonnull(
		strstr(response, "goldcrest/served/00000000000000aa"));
	ck_assert_ptr_nonnull(strstr(response, "goldcrest/crashes/d2/15"));
	wait_for_watch(&fake, 9);
	respond_item(&fake, "goldcrest/crashes/d2/15", NULL, 10, 10);
	/* Keys beside the prefixes are none. */
	wait_for_watch(&fake, 10);
	respond_item(&fake, "goldcrest/crashes", "x", 11, 11);
	ck_assert_uint_eq(fake.n_notices, 3);
	ck_assert_uint_eq(fake.n_views, n_views);
	talloc_free(mem);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_view_is_published_before_its_confirmation,
		test_confirmed_time_of_an_idle_watch,
		test_older_version_is_ignored,
		test_list_goes_on_at_the_page_that_failed,
		test_notices_are_handed_on_without_a_view,
		NULL,
	};

	return unit_run("fleet", tests);
}
