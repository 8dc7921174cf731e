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
#define MAX_REPORTS_AGE_MS  300000
#define NOTICE_REPORTS	    64
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
	char value[32768];
	uint64_t lease;
	unsigned int n_reports;
	gc_crash_report_t report; /* the last one */
	unsigned int n_served;
	uint64_t trait;
	uint64_t revision;
	int64_t kept_ms; /* of the last report */
	char reporter[32]; /* the same */
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

static void on_report(void *ctx, gc_str_t instance,
		      const gc_crash_report_t *report, uint64_t revision,
		      int64_t kept_ms)
{
	fixture_t *fixture = ctx;

	fixture->n_reports++;
	g_snprintf(fixture->reporter, sizeof(fixture->reporter), "%.*s",
		   GC_STR_ARG(instance));
	fixture->report = *report;
	fixture->revision = revision;
	fixture->kept_ms = kept_ms;
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
		.server = 5,
		.domain = 6,
		.at_ms = INT64_C(1796392898000),
		.traits = {.request = 7,
			   .parts = {OTHER_PART << 8, trait},
			   .n_parts = 2},
	};
}

static void share_report(fixture_t *fixture, uint64_t id)
{
	gc_crash_report_t report = report_with(id, PART);

	gc_crash_notices_share_reports(fixture->notices, &report, 1);
}

/* As many as one notice holds, with the ids from first_id on. */
static void share_full_notice(fixture_t *fixture, uint64_t first_id)
{
	gc_crash_report_t reports[NOTICE_REPORTS];

	for (uint64_t i = 0; i < NOTICE_REPORTS; i++)
		reports[i] = report_with(first_id + i, PART);
	gc_crash_notices_share_reports(fixture->notices, reports,
				       NOTICE_REPORTS);
}

/* The reports of a notice; NULL if they can't be read. */
static GArray *decode(gc_str_t value, GError **err)
{
	GArray *reports = g_array_new(FALSE, FALSE, sizeof(gc_crash_report_t));
	int64_t kept_ms;

	if (gc_crash_notices_decode_reports(value, reports, &kept_ms, err))
		return reports;
	ck_assert_uint_eq(reports->len, 0);
	g_array_unref(reports);
	return NULL;
}

static gc_crash_report_t report_at(const GArray *reports, guint i)
{
	return g_array_index(reports, gc_crash_report_t, i);
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
	receive(fixture, "goldcrest/crashed/d1/0", fixture->value, 10);
	ck_assert_str_eq(fixture->reporter, "d1");
}

START_TEST(test_reports_round_trip)
{
	gc_crash_report_t reports[GC_REQUEST_PARTS_MAX + 1];
	g_autoptr(GArray) decoded = NULL;
	g_autoptr(GError) err = NULL;
	g_autofree char *value = NULL;
	uint64_t seed = 1;

	for (size_t n = 0; n < G_N_ELEMENTS(reports); n++) {
		reports[n] = (gc_crash_report_t){
			.id = n == 0 ? UINT64_MAX : unit_next_random(&seed),
			.server = unit_next_random(&seed),
			.domain = unit_next_random(&seed),
			.at_ms = INT64_C(1796392898123),
			.resent = n % 2,
			.traits = {.request = n == 2 ? 0 : n + 1, .n_parts = n},
		};
		for (size_t i = 0; i < n; i++)
			reports[n].traits.parts[i] = unit_next_random(&seed);
	}
	value = gc_crash_notices_encode_reports(reports, G_N_ELEMENTS(reports),
						0);
	decoded = decode(gc_str(value), &err);
	ck_assert_ptr_nonnull(decoded);
	ck_assert_uint_eq(decoded->len, G_N_ELEMENTS(reports));
	for (guint n = 0; n < decoded->len; n++) {
		gc_crash_report_t report = report_at(decoded, n);

		ck_assert_uint_eq(report.id, reports[n].id);
		ck_assert_uint_eq(report.server, reports[n].server);
		ck_assert_uint_eq(report.domain, reports[n].domain);
		ck_assert_int_eq(report.at_ms, reports[n].at_ms);
		ck_assert_int_eq(report.resent, reports[n].resent);
		ck_assert_uint_eq(report.traits.request,
				  reports[n].traits.request);
		ck_assert_uint_eq(report.traits.n_parts, n);
		for (size_t i = 0; i < n; i++)
			ck_assert_uint_eq(report.traits.parts[i],
					  reports[n].traits.parts[i]);
	}
}
END_TEST

#define ID     "\"id\":\"0000000000000001\""
#define SERVER "\"server\":\"0000000000000002\""
#define DOMAIN "\"domain\":\"0000000000000003\""
#define AT     "\"at_ms\":1796392898000"
#define HASH   "\"request\":\"0000000000000004\""
#define PARTS  "\"parts\":[\"00000000000000aa\"]"
#define PART8                                                             \
	"\"00000000000000aa\",\"00000000000000aa\",\"00000000000000aa\"," \
	"\"00000000000000aa\",\"00000000000000aa\",\"00000000000000aa\"," \
	"\"00000000000000aa\",\"00000000000000aa\""
#define START ID "," SERVER "," DOMAIN ","
#define GOOD  START AT "," HASH "," PARTS

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
		"{" GOOD "}",
		"{\"reports\":{" GOOD "}}",
		"{\"reports\":[]}",
	};
	static const char *const reports[] = {
		"17",
		"{}",
		SERVER "," DOMAIN "," AT "," HASH "," PARTS,
		ID "," DOMAIN "," AT "," HASH "," PARTS,
		ID "," SERVER "," AT "," HASH "," PARTS,
		START HASH "," PARTS,
		START AT "," PARTS,
		START AT "," HASH,
		START AT ",\"request\":4," PARTS,
		START AT ",\"request\":\"0000000000000000\",\"parts\":[]",
		"\"id\":1," SERVER "," DOMAIN "," AT "," HASH "," PARTS,
		"\"id\":\"1\"," SERVER "," DOMAIN "," AT "," HASH "," PARTS,
		"\"id\":\"00000000000000001\"," SERVER "," DOMAIN "," AT
		"," HASH "," PARTS,
		"\"id\":\"000000000000000A\"," SERVER "," DOMAIN "," AT "," HASH
		"," PARTS,
		"\"id\":\"0x00000000000001\"," SERVER "," DOMAIN "," AT "," HASH
		"," PARTS,
		"\"id\":\"-000000000000001\"," SERVER "," DOMAIN "," AT "," HASH
		"," PARTS,
		START "\"at_ms\":\"1796392898000\"," HASH "," PARTS,
		START "\"at_ms\":1.5," HASH "," PARTS,
		START "\"at_ms\":-1," HASH "," PARTS,
		START "\"at_ms\":253402300800000," HASH "," PARTS,
		START "\"at_ms\":9223372036854775807," HASH "," PARTS,
		START "\"at_ms\":9223372036854775808," HASH "," PARTS,
		START AT "," HASH ",\"parts\":{}",
		START AT "," HASH ",\"parts\":\"00000000000000aa\"",
		START AT "," HASH ",\"parts\":[170]",
		START AT "," HASH ",\"parts\":[\"aa\"]",
		START AT "," HASH ",\"parts\":[" PART8 ",\"00000000000000aa\"]",
	};
	fixture_t *fixture = start();
	GString *many = g_string_new("{\"reports\":[{" GOOD "}");

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		receive(fixture, "goldcrest/crashed/d2/0", values[i], 5);
		ck_assert_msg(fixture->n_reports == 0, "accepted: %s",
			      values[i]);
	}
	/* One that can't be read spoils the notice, as its order is unknown. */
	for (size_t i = 0; i < G_N_ELEMENTS(reports); i++) {
		g_autofree char *value = g_strdup_printf(
			"{\"reports\":[{" GOOD "},{%s}]}", reports[i]);

		receive(fixture, "goldcrest/crashed/d2/0", value, 5);
		ck_assert_msg(fixture->n_reports == 0, "accepted: %s", value);
	}
	for (int i = 0; i < NOTICE_REPORTS; i++)
		g_string_append(many, ",{" GOOD "}");
	g_string_append(many, "]}");
	receive(fixture, "goldcrest/crashed/d2/0", many->str, 5);
	ck_assert_uint_eq(fixture->n_reports, 0);
	g_string_free(many, TRUE);
	receive(fixture, "goldcrest/crashed/d2/0",
		"{\"reports\":[{" START AT "," HASH ",\"parts\":[" PART8 "]}]}",
		5);
	ck_assert_uint_eq(fixture->n_reports, 1);
	ck_assert_uint_eq(fixture->report.traits.n_parts, GC_REQUEST_PARTS_MAX);
	ck_assert_uint_eq(fixture->report.traits.request, 4);
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
	gc_crash_report_t shared[] = {
		report_with(UINT64_C(0x0123456789abcdef), PART),
		report_with(2, OTHER_PART),
	};
	g_autofree char *value = gc_crash_notices_encode_reports(shared, 2, 0);
	size_t len = strlen(value);
	uint64_t seed = 20261204;

	for (int round = 0; round < 20000; round++) {
		g_autofree char *bytes = g_strndup(value, len);
		g_autofree char *again = NULL;
		g_autoptr(GError) err = NULL;
		g_autoptr(GArray) decoded = NULL;
		g_autoptr(GArray) twice = NULL;
		size_t n = len;

		for (uint64_t i = unit_next_random(&seed) % 3; i < 3; i++)
			bytes[unit_next_random(&seed) % len] =
				(char)unit_next_random(&seed);
		if (unit_next_random(&seed) % 4 == 0)
			n = unit_next_random(&seed) % len;
		decoded = decode((gc_str_t){bytes, n}, &err);
		if (!decoded) {
			ck_assert(
				g_error_matches(err, GC_ERROR, GC_ERR_INVALID));
			continue;
		}
		again = gc_crash_notices_encode_reports(
			(const gc_crash_report_t *)decoded->data, decoded->len,
			0);
		twice = decode(gc_str(again), &err);
		ck_assert_ptr_nonnull(twice);
		ck_assert_uint_eq(twice->len, decoded->len);
		for (guint i = 0; i < twice->len; i++) {
			gc_crash_report_t a = report_at(decoded, i);
			gc_crash_report_t b = report_at(twice, i);

			ck_assert_uint_le(a.traits.n_parts,
					  GC_REQUEST_PARTS_MAX);
			ck_assert_uint_eq(a.id, b.id);
			ck_assert_uint_eq(a.server, b.server);
			ck_assert_int_eq(a.at_ms, b.at_ms);
			ck_assert_uint_eq(a.traits.request, b.traits.request);
		}
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
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/0");
	ck_assert_uint_eq(fixture->lease, 7);
	answer(fixture, 0);
	fixture->now_ms = LEASE_MS / 2;
	share_report(fixture, 2);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/1");
	ck_assert_uint_eq(fixture->lease, 7);
	answer(fixture, 0);
	fixture->now_ms++;
	share_report(fixture, 3);
	ck_assert_int_eq(fixture->call, LEASE_CALL);
	answer(fixture, 8);
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/2");
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
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/15");
	share_report(fixture, 17);
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/0");
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
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/1");
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
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/1");
	ck_assert_str_eq(fixture->value, value);
	ck_assert_uint_eq(fixture->lease, 7);
	/* Unless the notice has come from the store. */
	answer_error(fixture, GC_ERR_IO);
	receive(fixture, "goldcrest/crashed/d1/1", value, 11);
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
		/* A further report starts no call earlier. */
		if (i == 1)
			share_report(fixture, 2);
		advance(fixture, delays_ms[i] - 1);
		ck_assert_int_eq(fixture->call, NO_CALL);
		advance(fixture, 1);
	}
	answer(fixture, 7);
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/0");
	ck_assert_ptr_nonnull(strstr(fixture->value, "0000000000000001"));
	ck_assert_ptr_nonnull(strstr(fixture->value, "0000000000000002"));
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	/* The first delay again, after a success. */
	share_report(fixture, 3);
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/1");
	answer_error(fixture, GC_ERR_OVERLOADED);
	advance(fixture, 200);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

/* Fails all calls until a notice has the age. */
static void fail_calls_until(fixture_t *fixture, int64_t end_ms)
{
	while (fixture->now_ms < end_ms) {
		if (fixture->call != NO_CALL)
			answer_error(fixture, GC_ERR_IO);
		advance(fixture, 1);
	}
	if (fixture->call != NO_CALL)
		answer_error(fixture, GC_ERR_IO);
}

/* Shares a report when the first notice is 1 ms younger than its longest age,
 * and expects that only the new one is written, with the key. */
static void check_first_notice_is_given_up(fixture_t *fixture, const char *key)
{
	unsigned int n_calls;

	share_report(fixture, 9);
	n_calls = fixture->n_calls;
	advance(fixture, 1);
	advance(fixture, 1600);
	ck_assert_uint_eq(fixture->n_calls, n_calls + 1);
	if (fixture->call == LEASE_CALL)
		answer(fixture, 8);
	ck_assert_str_eq(fixture->key, key);
	ck_assert_ptr_nonnull(strstr(fixture->value, "0000000000000009"));
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
}

START_TEST(test_notice_is_given_up_after_its_age)
{
	fixture_t *fixture = start();

	write_first(fixture, 7);
	gc_crash_notices_share_served(fixture->notices, PART);
	fail_calls_until(fixture, MAX_AGE_MS - 1);
	check_first_notice_is_given_up(fixture, "goldcrest/crashed/d1/1");
	finish(fixture);
}
END_TEST

/* Reports outlast an outage of the store of some minutes. */
START_TEST(test_reports_are_given_up_after_their_age)
{
	fixture_t *fixture = start();

	write_first(fixture, 7);
	share_report(fixture, 2);
	fail_calls_until(fixture, MAX_REPORTS_AGE_MS - 1);
	check_first_notice_is_given_up(fixture, "goldcrest/crashed/d1/2");
	finish(fixture);
}
END_TEST

/* A crash of many servers costs few writes. */
START_TEST(test_reports_share_a_notice_while_the_store_answers)
{
	fixture_t *fixture = start();
	g_autoptr(GArray) reports = NULL;

	write_first(fixture, 7);
	share_report(fixture, 2);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	for (uint64_t id = 3; id < 33; id++)
		share_report(fixture, id);
	answer(fixture, 0);
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/2");
	reports = decode(gc_str(fixture->value), NULL);
	ck_assert_uint_eq(reports->len, 30);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

START_TEST(test_oldest_notices_leave_a_full_queue)
{
	const uint64_t n_shared = 40;
	fixture_t *fixture = start();
	uint64_t expected = 0;
	unsigned int n_written = 0;

	for (uint64_t i = 0; i < n_shared; i++)
		share_full_notice(fixture, i * NOTICE_REPORTS);
	answer(fixture, 7);
	while (fixture->call == PUT_CALL) {
		g_autoptr(GArray) reports =
			decode(gc_str(fixture->value), NULL);

		ck_assert_ptr_nonnull(reports);
		ck_assert_uint_eq(report_at(reports, 0).id,
				  expected * NOTICE_REPORTS);
		/* The first one stays, as its call is in flight. */
		expected = n_written == 0 ? n_shared - MAX_QUEUED + 1
					  : expected + 1;
		n_written++;
		answer(fixture, 0);
	}
	ck_assert_uint_eq(n_written, MAX_QUEUED);
	finish(fixture);
}
END_TEST

/* A daemon that starts much later still learns why a request is refused. */
START_TEST(test_evidence_is_told_again)
{
	fixture_t *fixture = start();
	gc_crash_evidence_t evidence = {
		.trait = PART,
		.reports = {report_with(1, PART), report_with(2, PART)},
		.n = 2,
		.left_ms = 86400000,
	};

	write_first(fixture, 7);
	gc_crash_notices_share_kept(fixture->notices, &evidence);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, "goldcrest/kept/fedcba9876543210");
	answer(fixture, 0);
	receive(fixture, fixture->key, fixture->value, 20);
	ck_assert_uint_eq(fixture->n_reports, 3);
	ck_assert_uint_eq(fixture->report.id, 2);
	ck_assert_int_eq(fixture->kept_ms, 86400000);
	ck_assert_str_eq(fixture->reporter, "");
	receive(fixture, fixture->key,
		"{\"kept_ms\":-1,\"reports\":[{" GOOD "}]}", 21);
	receive(fixture, fixture->key,
		"{\"kept_ms\":\"1\",\"reports\":[{" GOOD "}]}", 22);
	ck_assert_uint_eq(fixture->n_reports, 3);
	finish(fixture);
}
END_TEST

/* The trait was served: a daemon that starts later must not refuse it. */
START_TEST(test_evidence_on_a_served_trait_is_not_written)
{
	const gc_crash_evidence_t evidence = {
		.trait = PART,
		.reports = {report_with(1, PART), report_with(2, PART)},
		.n = 2,
		.left_ms = 86400000,
	};
	fixture_t *fixture = start();

	write_first(fixture, 7);
	share_report(fixture, 3);
	gc_crash_notices_share_kept(fixture->notices, &evidence);
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/1");
	receive(fixture, "goldcrest/crashed/d1/0", fixture->value, 19);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, PUT_CALL);
	ck_assert_str_eq(fixture->key, "goldcrest/kept/fedcba9876543210");
	answer(fixture, 0);

	share_report(fixture, 4);
	gc_crash_notices_share_kept(fixture->notices, &evidence);
	receive(fixture, "goldcrest/crashed/d1/2", fixture->value, 20);
	receive(fixture, PART_KEY, "{\"instance\":\"d2\"}", 21);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

/* Many of them must not displace reports. */
START_TEST(test_evidence_leaves_room_for_reports)
{
	gc_crash_evidence_t evidence = {
		.reports = {report_with(1, PART)},
		.n = 1,
		.left_ms = 86400000,
	};
	fixture_t *fixture = start();
	unsigned int n_reports = 0;
	unsigned int n_kept = 0;

	write_first(fixture, 7);
	share_report(fixture, 2);
	share_report(fixture, 3);
	for (evidence.trait = 1; evidence.trait <= 100; evidence.trait++)
		gc_crash_notices_share_kept(fixture->notices, &evidence);
	while (fixture->call == PUT_CALL) {
		n_kept += g_str_has_prefix(fixture->key, "goldcrest/kept/");
		n_reports +=
			g_str_has_prefix(fixture->key, "goldcrest/crashed/");
		answer(fixture, 0);
	}
	ck_assert_uint_eq(n_reports, 2);
	ck_assert_uint_eq(n_kept, 16);
	ck_assert_str_eq(fixture->key, "goldcrest/kept/0000000000000064");
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
	receive(fixture, "goldcrest/crashed/d1/1", value, 13);
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
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/1");
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

	gc_crash_notices_share_reports(fixture->notices, &report, 1);
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
	/* The copy may lack the last reports, which are written again. */
	gc_crash_notices_set_era(fixture->notices, 2);
	ck_assert_int_eq(fixture->call, LEASE_CALL);
	share_report(fixture, 2);
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
	ck_assert_str_eq(fixture->key, "goldcrest/crashed/d1/0");
	ck_assert_ptr_nonnull(strstr(fixture->value, "0000000000000001"));
	ck_assert_ptr_nonnull(strstr(fixture->value, "0000000000000002"));
	ck_assert_uint_eq(fixture->lease, 8);
	answer(fixture, 0);
	ck_assert_int_eq(fixture->call, NO_CALL);
	finish(fixture);
}
END_TEST

START_TEST(test_old_reports_are_not_written_again_in_a_new_era)
{
	fixture_t *fixture = start();

	fixture->era = 1;
	write_first(fixture, 7);
	fixture->now_ms += 60001;
	gc_crash_notices_set_era(fixture->notices, 2);
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
	g_autofree char *text = gc_crash_notices_encode_reports(&report, 1, 0);
	fixture_t *fixture = start();

	gc_crash_notices_set_era(fixture->notices, 1);
	receive(fixture, served, value, 50);
	ck_assert_uint_eq(fixture->revision, 50);
	gc_crash_notices_set_era(fixture->notices, 2);
	receive(fixture, "goldcrest/crashed/d2/1", text, 41);
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
		test_reports_round_trip,
		test_invalid_reports_are_ignored,
		test_invalid_served_notices_are_ignored,
		test_mutated_reports,
		test_lease_is_reused_and_replaced,
		test_keys_are_used_in_turn,
		test_lease_that_ended_is_replaced,
		test_write_without_answer_is_repeated,
		test_store_away_then_back,
		test_notice_is_given_up_after_its_age,
		test_reports_are_given_up_after_their_age,
		test_reports_share_a_notice_while_the_store_answers,
		test_oldest_notices_leave_a_full_queue,
		test_evidence_is_told_again,
		test_evidence_on_a_served_trait_is_not_written,
		test_evidence_leaves_room_for_reports,
		test_served_notice_is_written_soon,
		test_timer_writes_served_notice,
		test_served_notice_of_another_daemon,
		test_served_notice_follows_own_report,
		test_order_of_notices_is_kept,
		test_nothing_is_written_after_stop,
		test_report_without_traits_is_not_written,
		test_lease_is_forgotten_in_a_new_era,
		test_old_reports_are_not_written_again_in_a_new_era,
		test_order_of_notices_over_eras,
		NULL,
	};

	return unit_run("crash_notices", tests);
}
