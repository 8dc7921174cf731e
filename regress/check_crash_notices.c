/*
 * Guards against notices on crashes that don't reach the other daemons although
 * the store can be written again, against calls to a store that is away without
 * pauses, and against a trait that stays suspected because the notice of its
 * service was left out wrongly.
 */
#include <string.h>

#include "core/error.h"
#include "lib/crash_notices.h"
#include "regress/unit.h"

#define LEASE_MS	    600000
#define MAX_QUEUED	    32
#define MAX_SERVED_DELAY_MS 600
#define MAX_AGE_MS	    10000
#define PART		    UINT64_C(0xfedcba9876543210)
#define PART_KEY	    "goldcrest/served/fedcba9876543210"
#define OTHER_PART	    UINT64_C(0x1)

typedef enum call {
	NO_CALL,
	LEASE_CALL,
	PUT_CALL,
} call_t;

/* A store whose answers the test sends, and the receiver of the notices. */
typedef struct fixture {
	struct tevent_context *ev;
	gc_clock_t clock;
	int64_t now_ms;
	gint64 loop_started_us; /* 0: the event loop does not run */
	uint64_t seed;
	gc_random_t random;
	gc_crash_notices_t *notices;
	call_t call; /* in flight */
	unsigned int n_calls;
	gc_store_done_t done;
	void *done_ctx;
	int64_t ttl_ms;
	char key[64];
	char value[512];
	uint64_t lease;
	unsigned int n_reports;
	gc_crash_report_t report; /* the last one */
	unsigned int n_served;
	uint64_t trait;
	uint64_t revision;
	uint64_t era; /* in the answers */
} fixture_t;

static void start_call(fixture_t *fixture, call_t call, gc_store_done_t done,
		       void *ctx)
{
	ck_assert_int_eq(fixture->call, NO_CALL);
	fixture->call = call;
	fixture->n_calls++;
	fixture->done = done;
	fixture->done_ctx = ctx;
}

static void fake_lease(void *store, int64_t ttl_ms, gc_store_done_t done,
		       void *ctx)
{
	fixture_t *fixture = store;

	fixture->ttl_ms = ttl_ms;
	start_call(fixture, LEASE_CALL, done, ctx);
}

static void fake_put(void *store, gc_str_t key, gc_str_t value, uint64_t lease,
		     gc_store_done_t done, void *ctx)
{
	fixture_t *fixture = store;

	ck_assert_uint_lt(key.len, sizeof(fixture->key));
	ck_assert_uint_lt(value.len, sizeof(fixture->value));
	memcpy(fixture->key, key.data, key.len);
	fixture->key[key.len] = '\0';
	memcpy(fixture->value, value.data, value.len);
	fixture->value[value.len] = '\0';
	fixture->lease = lease;
	start_call(fixture, PUT_CALL, done, ctx);
}

static const gc_store_ops_t fake_ops = {.lease = fake_lease, .put = fake_put};

static struct timespec fake_now(void *ctx)
{
	const fixture_t *fixture = ctx;
	int64_t ms = fixture->now_ms;

	if (fixture->loop_started_us != 0)
		ms += (g_get_monotonic_time() - fixture->loop_started_us) /
		      1000;
	return unit_at(ms);
}

static void on_report(void *ctx, const gc_crash_report_t *report,
		      uint64_t revision)
{
	fixture_t *fixture = ctx;

	fixture->n_reports++;
	fixture->report = *report;
	fixture->revision = revision;
}

static void on_served(void *ctx, uint64_t trait, uint64_t revision)
{
	fixture_t *fixture = ctx;

	fixture->n_served++;
	fixture->trait = trait;
	fixture->revision = revision;
}

static fixture_t *start(void)
{
	fixture_t *fixture = talloc_zero(NULL, fixture_t);
	gc_crash_notices_conf_t conf = {
		.clock = &fixture->clock,
		.random = &fixture->random,
		.store = {&fake_ops, fixture},
		.instance = GC_STR_LIT("d1"),
		.on_report = on_report,
		.on_served = on_served,
		.ctx = fixture,
	};

	fixture->ev = tevent_context_init(fixture);
	fixture->clock = (gc_clock_t){fake_now, fake_now, fixture};
	fixture->random = (gc_random_t){unit_next_random, &fixture->seed};
	conf.timers = gc_timers_create(fixture, fixture->ev);
	fixture->notices = gc_crash_notices_create(fixture, &conf);
	return fixture;
}

static void finish(fixture_t *fixture)
{
	gc_crash_notices_destroy(fixture->notices);
	talloc_free(fixture);
}

/* Answers the call in flight; the answer may start the next one. */
static void answer(fixture_t *fixture, uint64_t lease)
{
	ck_assert_int_ne(fixture->call, NO_CALL);
	fixture->call = NO_CALL;
	fixture->done(fixture->done_ctx, lease, fixture->era, NULL);
}

static void answer_error(fixture_t *fixture, gc_errcode_t code)
{
	GError *err = NULL;

	ck_assert_int_ne(fixture->call, NO_CALL);
	fixture->call = NO_CALL;
	gc_error_set(&err, code, "put", "store", "no answer");
	fixture->done(fixture->done_ctx, 0, fixture->era, err);
	g_error_free(err);
}

static gc_crash_report_t report_with(uint64_t id, uint64_t trait)
{
	return (gc_crash_report_t){
		.id = id,
		.at_ms = INT64_C(1796392898000),
		.traits = {.ids = {OTHER_PART << 8, trait}, .n = 2},
	};
}

static void share_report(fixture_t *fixture, uint64_t id)
{
	gc_crash_report_t report = report_with(id, PART);

	gc_crash_notices_share_report(fixture->notices, &report);
}

static void receive(fixture_t *fixture, const char *key, const char *value,
		    uint64_t revision)
{
	gc_store_item_t item = {gc_str(key), gc_str(value), revision, false};

	gc_crash_notices_receive(fixture->notices, &item);
}

/* Lets time pass and what is due start, as a timer does. */
static void advance(fixture_t *fixture, int64_t ms)
{
	fixture->now_ms += ms;
	receive(fixture, "goldcrest/served/00000000000000ff",
		"{\"instance\":\"d9\"}", 1);
}

static void on_timeout(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *ctx)
{
	*(bool *)ctx = true;
}

/* Runs the event loop until a call starts, at most for max_ms; returns the
 * time that has passed. */
static int64_t wait_for_call(fixture_t *fixture, uint32_t max_ms)
{
	bool timed_out = false;
	int64_t ms;

	tevent_add_timer(fixture->ev, fixture,
			 tevent_timeval_current_ofs(0, max_ms * 1000),
			 on_timeout, &timed_out);
	fixture->loop_started_us = g_get_monotonic_time();
	while (!timed_out && fixture->call == NO_CALL)
		tevent_loop_once(fixture->ev);
	ms = (g_get_monotonic_time() - fixture->loop_started_us) / 1000;
	fixture->now_ms += ms;
	fixture->loop_started_us = 0;
	return ms;
}

/* Writes a first report, so that there is a lease. */
static void write_first(fixture_t *fixture, uint64_t lease)
{
	share_report(fixture, 1);
	ck_assert_int_eq(fixture->call, LEASE_CALL);
	answer(fixture, lease);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	receive(fixture, "goldcrest/crashes/d1/0", fixture->value, 10);
}

START_TEST(test_report_round_trip)
{
	gc_crash_report_t report = {
		.id = UINT64_MAX,
		.at_ms = INT64_C(1796392898123),
		.traits = {.n = GC_REQUEST_TRAITS_MAX},
	};
	uint64_t seed = 1;

	for (size_t n = 1; n <= GC_REQUEST_TRAITS_MAX; n++) {
		gc_crash_report_t decoded;
		g_autoptr(GError) err = NULL;
		g_autofree char *value = NULL;

		report.traits.n = n;
		for (size_t i = 0; i < n; i++)
			report.traits.ids[i] = unit_next_random(&seed);
		report.traits.ids[0] = n == 1 ? 0 : UINT64_MAX;
		value = gc_crash_notices_encode_report(&report);
		ck_assert(gc_crash_notices_decode_report(gc_str(value),
							 &decoded, &err));
		ck_assert_uint_eq(decoded.id, report.id);
		ck_assert_int_eq(decoded.at_ms, report.at_ms);
		ck_assert_uint_eq(decoded.traits.n, n);
		for (size_t i = 0; i < n; i++)
			ck_assert_uint_eq(decoded.traits.ids[i],
					  report.traits.ids[i]);
		report.id = unit_next_random(&seed);
	}
}
END_TEST

#define ID    "\"id\":\"0000000000000001\""
#define AT    "\"at_ms\":1796392898000"
#define PARTS "\"traits\":[\"00000000000000aa\"]"
#define PART8                                                             \
	"\"00000000000000aa\",\"00000000000000aa\",\"00000000000000aa\"," \
	"\"00000000000000aa\",\"00000000000000aa\",\"00000000000000aa\"," \
	"\"00000000000000aa\",\"00000000000000aa\""

START_TEST(test_invalid_reports_are_ignored)
{
	static const char *const values[] = {
		"",
		"\xff\xfe",
		"{",
		"[]",
		"null",
		"17",
		"{}",
		"{" AT "," PARTS "}",
		"{" ID "," PARTS "}",
		"{" ID "," AT "}",
		"{\"id\":1," AT "," PARTS "}",
		"{\"id\":\"1\"," AT "," PARTS "}",
		"{\"id\":\"00000000000000001\"," AT "," PARTS "}",
		"{\"id\":\"000000000000000A\"," AT "," PARTS "}",
		"{\"id\":\"0x00000000000001\"," AT "," PARTS "}",
		"{\"id\":\"-000000000000001\"," AT "," PARTS "}",
		"{" ID ",\"at_ms\":\"1796392898000\"," PARTS "}",
		"{" ID ",\"at_ms\":1.5," PARTS "}",
		"{" ID ",\"at_ms\":-1," PARTS "}",
		"{" ID ",\"at_ms\":253402300800000," PARTS "}",
		"{" ID ",\"at_ms\":9223372036854775807," PARTS "}",
		"{" ID ",\"at_ms\":9223372036854775808," PARTS "}",
		"{" ID "," AT ",\"traits\":[]}",
		"{" ID "," AT ",\"traits\":{}}",
		"{" ID "," AT ",\"traits\":\"00000000000000aa\"}",
		"{" ID "," AT ",\"traits\":[170]}",
		"{" ID "," AT ",\"traits\":[\"aa\"]}",
		"{" ID "," AT ",\"traits\":[" PART8 ",\"00000000000000aa\"]}",
	};
	fixture_t *fixture = start();

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		receive(fixture, "goldcrest/crashes/d2/0", values[i], 5);
		ck_assert_msg(fixture->n_reports == 0, "accepted: %s",
			      values[i]);
	}
	receive(fixture, "goldcrest/crashes/d2/0",
		"{" ID "," AT ",\"traits\":[" PART8 "]}", 5);
	ck_assert_uint_eq(fixture->n_reports, 1);
	ck_assert_uint_eq(fixture->report.traits.n, GC_REQUEST_TRAITS_MAX);
	ck_assert_uint_eq(fixture->revision, 5);
	finish(fixture);
}
END_TEST

START_TEST(test_invalid_served_notices_are_ignored)
{
	static const char *const keys[] = {
		"goldcrest/served/",
		"goldcrest/served/1",
		"goldcrest/served/FEDCBA9876543210",
		"goldcrest/served/fedcba987654321g",
		"goldcrest/served/fedcba9876543210/1",
		"goldcrest/daemons/d1",
	};
	static const char *const values[] = {
		"", "\xff", "{", "[]", "{}", "{\"instance\":1}",
	};
	fixture_t *fixture = start();

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		receive(fixture, keys[i], "{\"instance\":\"d2\"}", 5);
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		receive(fixture, PART_KEY, values[i], 5);
	ck_assert_uint_eq(fixture->n_served, 0);
	ck_assert_uint_eq(fixture->n_reports, 0);
	receive(fixture, PART_KEY, "{\"instance\":\"d2\"}", 6);
	ck_assert_uint_eq(fixture->n_served, 1);
	ck_assert_uint_eq(fixture->trait, PART);
	ck_assert_uint_eq(fixture->revision, 6);
	finish(fixture);
}
END_TEST

/* Whatever is accepted can be written and read again. */
START_TEST(test_mutated_reports)
{
	gc_crash_report_t report =
		report_with(UINT64_C(0x0123456789abcdef), PART);
	g_autofree char *value = gc_crash_notices_encode_report(&report);
	size_t len = strlen(value);
	uint64_t seed = 20261204;

	for (int round = 0; round < 20000; round++) {
		g_autofree char *bytes = g_strndup(value, len);
		g_autofree char *again = NULL;
		g_autoptr(GError) err = NULL;
		gc_crash_report_t decoded;
		size_t n = len;

		for (uint64_t i = unit_next_random(&seed) % 3; i < 3; i++)
			bytes[unit_next_random(&seed) % len] =
				(char)unit_next_random(&seed);
		if (unit_next_random(&seed) % 4 == 0)
			n = unit_next_random(&seed) % len;
		if (!gc_crash_notices_decode_report((gc_str_t){bytes, n},
						    &decoded, &err)) {
			ck_assert(
				g_error_matches(err, GC_ERROR, GC_ERR_INVALID));
			continue;
		}
		ck_assert_uint_le(decoded.traits.n, GC_REQUEST_TRAITS_MAX);
		again = gc_crash_notices_encode_report(&decoded);
		ck_assert(gc_crash_notices_decode_report(gc_str(again), &report,
							 &err));
		ck_assert_uint_eq(report.id, decoded.id);
		ck_assert_int_eq(report.at_ms, decoded.at_ms);
	}
}
END_TEST

START_TEST(test_lease_is_reused_and_replaced)
{
	fixture_t *fixture = start();

	ck_assert_uint_eq(fixture->n_calls, 0);
	share_report(fixture, 1);
	ck_assert_int_eq(fixture->call, LEASE_CALL);
	ck_assert_int_eq(fixture->ttl_ms, LEASE_MS);
	/* The lease runs from the request, whenever the answer comes. */
	fixture->now_ms += 700;
	answer(fixture, 7);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/0");
	ck_assert_uint_eq(fixture->lease, 7);
	answer(fixture, 0);
	fixture->now_ms = LEASE_MS / 2;
	share_report(fixture, 2);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/1");
	ck_assert_uint_eq(fixture->lease, 7);
	answer(fixture, 0);
	fixture->now_ms++;
	share_report(fixture, 3);
	ck_assert_int_eq(fixture->call, LEASE_CALL);
	answer(fixture, 8);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/2");
	ck_assert_uint_eq(fixture->lease, 8);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

START_TEST(test_keys_are_used_in_turn)
{
	fixture_t *fixture = start();

	write_first(fixture, 7);
	for (uint64_t id = 2; id <= 16; id++) {
		share_report(fixture, id);
		answer(fixture, 0);
	}
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/15");
	share_report(fixture, 17);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/0");
	finish(fixture);
}
END_TEST

START_TEST(test_lease_that_ended_is_replaced)
{
	fixture_t *fixture = start();

	write_first(fixture, 7);
	share_report(fixture, 2);
	answer_error(fixture, GC_ERR_NOT_FOUND);
	ck_assert_int_eq(fixture->call, LEASE_CALL);
	answer(fixture, 8);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/1");
	ck_assert_uint_eq(fixture->lease, 8);
	/* A store that knows no lease is not called without pauses. */
	answer_error(fixture, GC_ERR_NOT_FOUND);
	ck_assert_int_eq(fixture->call, NO_CALL);
	advance(fixture, 199);
	ck_assert_int_eq(fixture->call, NO_CALL);
	advance(fixture, 1);
	ck_assert_int_eq(fixture->call, LEASE_CALL);
	answer(fixture, 9);
	ck_assert_uint_eq(fixture->lease, 9);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

START_TEST(test_write_without_answer_is_repeated)
{
	fixture_t *fixture = start();
	char value[sizeof(fixture->value)];

	write_first(fixture, 7);
	share_report(fixture, 2);
	g_strlcpy(value, fixture->value, sizeof(value));
	answer_error(fixture, GC_ERR_IO);
	ck_assert_int_eq(fixture->call, NO_CALL);
	/* The timer alone starts it. */
	ck_assert_int_ge(wait_for_call(fixture, 1000), 199);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/1");
	ck_assert_str_eq(fixture->value, value);
	ck_assert_uint_eq(fixture->lease, 7);
	/* Unless the notice has come from the store. */
	answer_error(fixture, GC_ERR_IO);
	receive(fixture, "goldcrest/crashes/d1/1", value, 11);
	ck_assert_uint_eq(fixture->n_reports, 2);
	advance(fixture, 1600);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

START_TEST(test_store_away_then_back)
{
	static const int64_t delays_ms[] = {200, 400, 800, 1600, 1600};
	fixture_t *fixture = start();

	share_report(fixture, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(delays_ms); i++) {
		ck_assert_int_eq(fixture->call, LEASE_CALL);
		answer_error(fixture, i % 2 ? GC_ERR_IO : GC_ERR_UNAVAILABLE);
		/* A further notice starts no call earlier. */
		if (i == 1)
			share_report(fixture, 2);
		advance(fixture, delays_ms[i] - 1);
		ck_assert_int_eq(fixture->call, NO_CALL);
		advance(fixture, 1);
	}
	answer(fixture, 7);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/0");
	answer(fixture, 0);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/1");
	/* The first delay again, after a success. */
	answer_error(fixture, GC_ERR_OVERLOADED);
	advance(fixture, 200);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

START_TEST(test_notice_is_given_up_after_its_age)
{
	fixture_t *fixture = start();
	unsigned int n_calls;

	share_report(fixture, 1);
	while (fixture->now_ms < MAX_AGE_MS - 1) {
		if (fixture->call != NO_CALL)
			answer_error(fixture, GC_ERR_IO);
		advance(fixture, 1);
	}
	if (fixture->call != NO_CALL)
		answer_error(fixture, GC_ERR_IO);
	share_report(fixture, 2);
	n_calls = fixture->n_calls;
	/* Only the second one is left. */
	advance(fixture, 1);
	advance(fixture, 1600);
	ck_assert_uint_eq(fixture->n_calls, n_calls + 1);
	answer(fixture, 7);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/1");
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

START_TEST(test_oldest_notices_leave_a_full_queue)
{
	const uint64_t n_shared = 40;
	fixture_t *fixture = start();
	uint64_t expected = 1;
	unsigned int n_written = 0;

	for (uint64_t id = 1; id <= n_shared; id++)
		share_report(fixture, id);
	answer(fixture, 7);
	while (fixture->call == PUT_CALL) {
		gc_crash_report_t report;

		ck_assert(gc_crash_notices_decode_report(gc_str(fixture->value),
							 &report, NULL));
		ck_assert_uint_eq(report.id, expected);
		/* The first one stays, as its call is in flight. */
		expected = n_written == 0 ? n_shared - MAX_QUEUED + 2
					  : expected + 1;
		n_written++;
		answer(fixture, 0);
	}
	ck_assert_uint_eq(n_written, MAX_QUEUED);
	finish(fixture);
}
END_TEST

START_TEST(test_served_notice_is_written_soon)
{
	for (uint64_t seed = 0; seed < 50; seed++) {
		fixture_t *fixture = start();

		fixture->seed = seed;
		write_first(fixture, 7);
		gc_crash_notices_share_served(fixture->notices, PART);
		advance(fixture, MAX_SERVED_DELAY_MS);
		ck_assert_int_eq(fixture->call, PUT_CALL);
		ck_assert_str_eq(fixture->key, PART_KEY);
		ck_assert_str_eq(fixture->value, "{\"instance\":\"d1\"}");
		answer(fixture, 0);
		finish(fixture);
	}
}
END_TEST

START_TEST(test_timer_writes_served_notice)
{
	fixture_t *fixture = start();

	write_first(fixture, 7);
	gc_crash_notices_share_served(fixture->notices, PART);
	wait_for_call(fixture, 1000);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, PART_KEY);
	finish(fixture);
}
END_TEST

/* Leaves a served notice that waits; the seed is one with a wait. */
static fixture_t *start_with_waiting_served(void)
{
	fixture_t *fixture = start();

	write_first(fixture, 7);
	gc_crash_notices_share_served(fixture->notices, PART);
	ck_assert_int_eq(fixture->call, NO_CALL);
	return fixture;
}

START_TEST(test_served_notice_of_another_daemon)
{
	fixture_t *fixture = start_with_waiting_served();

	receive(fixture, PART_KEY, "{\"instance\":\"d2\"}", 11);
	advance(fixture, MAX_SERVED_DELAY_MS);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);

	/* One on another trait changes nothing. */
	fixture = start_with_waiting_served();
	receive(fixture, "goldcrest/served/0000000000000001",
		"{\"instance\":\"d2\"}", 11);
	advance(fixture, MAX_SERVED_DELAY_MS);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	finish(fixture);

	/* Nor one that is older than the report, which a list may repeat. */
	fixture = start_with_waiting_served();
	receive(fixture, PART_KEY, "{\"instance\":\"d2\"}", 9);
	advance(fixture, MAX_SERVED_DELAY_MS);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	finish(fixture);

	/* One that comes during the write: it is not repeated. */
	fixture = start_with_waiting_served();
	advance(fixture, MAX_SERVED_DELAY_MS);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	receive(fixture, PART_KEY, "{\"instance\":\"d2\"}", 11);
	answer_error(fixture, GC_ERR_IO);
	advance(fixture, 1600);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

/*
 * Another daemon's notice may precede this daemon's report in the store; the
 * others would go on to suspect the trait.
 */
START_TEST(test_served_notice_follows_own_report)
{
	fixture_t *fixture = start();
	char value[sizeof(fixture->value)];

	write_first(fixture, 7);
	share_report(fixture, 2);
	g_strlcpy(value, fixture->value, sizeof(value));
	gc_crash_notices_share_served(fixture->notices, PART);
	receive(fixture, PART_KEY, "{\"instance\":\"d2\"}", 11);
	answer(fixture, 0);
	/* Written, but not read from the store yet. */
	receive(fixture, PART_KEY, "{\"instance\":\"d3\"}", 12);
	advance(fixture, MAX_SERVED_DELAY_MS);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, PART_KEY);
	answer_error(fixture, GC_ERR_IO);
	receive(fixture, "goldcrest/crashes/d1/1", value, 13);
	receive(fixture, PART_KEY, "{\"instance\":\"d2\"}", 14);
	advance(fixture, 1600);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

/* A service before a crash says nothing about the crash, so the order stays. */
START_TEST(test_order_of_notices_is_kept)
{
	fixture_t *fixture = start_with_waiting_served();

	share_report(fixture, 2);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, PART_KEY);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/1");
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

START_TEST(test_nothing_is_written_after_stop)
{
	fixture_t *fixture = start();

	share_report(fixture, 1);
	share_report(fixture, 2);
	gc_crash_notices_stop(fixture->notices);
	answer(fixture, 7);
	share_report(fixture, 3);
	gc_crash_notices_share_served(fixture->notices, PART);
	advance(fixture, MAX_SERVED_DELAY_MS);
	wait_for_call(fixture, 300);
	ck_assert_int_eq(fixture->call, NO_CALL);
	ck_assert_uint_eq(fixture->n_calls, 1);
	finish(fixture);
}
END_TEST

START_TEST(test_report_without_traits_is_not_written)
{
	fixture_t *fixture = start();
	const gc_crash_report_t report = {.id = 1, .at_ms = 1};

	gc_crash_notices_share_report(fixture->notices, &report);
	ck_assert_uint_eq(fixture->n_calls, 0);
	finish(fixture);
}
END_TEST

/* As advance(), by a notice whose revision tells that it is new. */
static void advance_in_era(fixture_t *fixture, int64_t ms, uint64_t revision)
{
	fixture->now_ms += ms;
	receive(fixture, "goldcrest/served/00000000000000ff",
		"{\"instance\":\"d9\"}", revision);
}

/*
 * Fault: after a restore another daemon may have this one's lease, so that
 * notices end too early or late.
 */
START_TEST(test_lease_is_forgotten_in_a_new_era)
{
	fixture_t *fixture = start();

	fixture->era = 1;
	write_first(fixture, 7);
	gc_crash_notices_set_era(fixture->notices, 2);
	share_report(fixture, 2);
	ck_assert_int_eq(fixture->call, LEASE_CALL);
	fixture->era = 2;
	answer(fixture, 7);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	/* Written in another era than its lease: the notice is repeated. */
	fixture->era = 3;
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	advance_in_era(fixture, 200, 1000);
	ck_assert_int_eq(fixture->call, LEASE_CALL);
	/* A late answer. */
	fixture->era = 2;
	answer(fixture, 9);
	ck_assert_int_eq(fixture->call, NO_CALL);
	advance_in_era(fixture, 400, 1001);
	ck_assert_int_eq(fixture->call, LEASE_CALL);
	fixture->era = 3;
	answer(fixture, 8);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, "goldcrest/crashes/d1/1");
	ck_assert_uint_eq(fixture->lease, 8);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

/* Revisions are given out again: lower ones of a new era are later. */
START_TEST(test_order_of_notices_over_eras)
{
	static const char served[] = "goldcrest/served/00000000000000aa";
	static const char value[] = "{\"instance\":\"d2\"}";
	gc_crash_report_t report = report_with(1, 1);
	g_autofree char *text = gc_crash_notices_encode_report(&report);
	fixture_t *fixture = start();

	gc_crash_notices_set_era(fixture->notices, 1);
	receive(fixture, served, value, 50);
	ck_assert_uint_eq(fixture->revision, 50);
	gc_crash_notices_set_era(fixture->notices, 2);
	receive(fixture, "goldcrest/crashes/d2/1", text, 41);
	ck_assert_uint_eq(fixture->n_reports, 1);
	ck_assert_uint_gt(fixture->revision, 50);
	/* Perhaps the copy's, which says nothing about later reports. */
	receive(fixture, served, value, 45);
	ck_assert_uint_eq(fixture->n_served, 1);
	receive(fixture, served, value, 51);
	ck_assert_uint_eq(fixture->n_served, 2);
	ck_assert_uint_gt(fixture->revision, 91);
	finish(fixture);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_report_round_trip,
		test_invalid_reports_are_ignored,
		test_invalid_served_notices_are_ignored,
		test_mutated_reports,
		test_lease_is_reused_and_replaced,
		test_keys_are_used_in_turn,
		test_lease_that_ended_is_replaced,
		test_write_without_answer_is_repeated,
		test_store_away_then_back,
		test_notice_is_given_up_after_its_age,
		test_oldest_notices_leave_a_full_queue,
		test_served_notice_is_written_soon,
		test_timer_writes_served_notice,
		test_served_notice_of_another_daemon,
		test_served_notice_follows_own_report,
		test_order_of_notices_is_kept,
		test_nothing_is_written_after_stop,
		test_report_without_traits_is_not_written,
		test_lease_is_forgotten_in_a_new_era,
		test_order_of_notices_over_eras,
		NULL,
	};

	return unit_run("crash_notices", tests);
}
