/*
 * Guards against frequent retries while the store is unreachable, when one call
 * costs as much as ten calls otherwise do, and against an entry that is not
 * written again once the store is reachable, or when the store lost it by going
 * back to a copy.
 */
#include "core/error.h"
#include "lib/registration.h"
#include "regress/unit.h"

/* Longer than twice the first delay and shorter than the first two delays
 * together, so that exactly one retry has been made. */
#define FIRST_RETRY_MS 1000

/* A store that is reachable or not. */
typedef struct fake {
	bool unreachable;
	unsigned int n_calls;
	uint64_t era; /* in the responses */
	uint64_t lease; /* granted next, if not 0 */
	bool hold; /* the next call waits for its response */
	gc_store_done_t done; /* of the call that waits */
	void *ctx;
	GString *calls; /* L: lease, R: renewal, P: entry; with the lease */
} fake_t;

static void log_call(fake_t *fake, char call, uint64_t lease)
{
	if (fake->calls)
		g_string_append_printf(fake->calls, "%c%d ", call, (int)lease);
}

static void complete(fake_t *fake, gc_store_done_t done, void *ctx)
{
	GError *err = NULL;

	fake->n_calls++;
	if (fake->hold) {
		fake->hold = false;
		fake->done = done;
		fake->ctx = ctx;
		return;
	}
	if (fake->unreachable)
		gc_error_set(&err, GC_ERR_IO, "lease", "store", "unreachable");
	done(ctx, fake->unreachable ? 0 : MAX(fake->lease, 7), fake->era, err);
	g_clear_error(&err);
}

static void fake_lease(void *store, int64_t ttl_ms, gc_store_done_t done,
		       void *ctx)
{
	log_call(store, 'L', 0);
	complete(store, done, ctx);
}

static void fake_renew(void *store, uint64_t lease, gc_store_done_t done,
		       void *ctx)
{
	log_call(store, 'R', lease);
	complete(store, done, ctx);
}

static void fake_put(void *store, gc_str_t key, gc_str_t value, uint64_t lease,
		     gc_store_done_t done, void *ctx)
{
	log_call(store, 'P', lease);
	complete(store, done, ctx);
}

static const gc_store_ops_t fake_ops = {
	.lease = fake_lease,
	.renew = fake_renew,
	.put = fake_put,
};

static void on_timeout(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *ctx)
{
	*(bool *)ctx = true;
}

/* Runs the event loop for ms milliseconds. */
static void run_loop(TALLOC_CTX *mem, struct tevent_context *ev,
		     unsigned int ms)
{
	bool timed_out = false;

	tevent_add_timer(ev, mem, tevent_timeval_current_ofs(0, ms * 1000),
			 on_timeout, &timed_out);
	while (!timed_out)
		tevent_loop_once(ev);
}

START_TEST(test_retry_delay_grows_until_store_is_reachable)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	fake_t fake = {.unreachable = true};
	const gc_registration_conf_t conf = {
		.timers = gc_timers_create(mem, ev),
		.store = {&fake_ops, &fake},
		.key_prefix = "daemons/",
		.self = {.id = GC_STR_LIT("d1")},
		.lease_ms = 3000,
	};
	gc_registration_t *registration = gc_registration_create(mem, &conf);

	run_loop(mem, ev, FIRST_RETRY_MS);
	ck_assert_uint_eq(fake.n_calls, 2);
	fake.unreachable = false;
	gc_registration_retry_now(registration);
	run_loop(mem, ev, 50);
	/* One call for the lease and one for the entry. */
	ck_assert_uint_eq(fake.n_calls, 4);
	/* After a successful call, the next renewal is not made earlier. */
	gc_registration_retry_now(registration);
	run_loop(mem, ev, 50);
	ck_assert_uint_eq(fake.n_calls, 4);
	talloc_free(mem);
}
END_TEST

#define LEASE_MS 600

/* Registered under lease 7 of era 1. */
static gc_registration_t *start_registered(TALLOC_CTX *mem, fake_t *fake,
					   struct tevent_context *ev)
{
	const gc_registration_conf_t conf = {
		.timers = gc_timers_create(mem, ev),
		.store = {&fake_ops, fake},
		.key_prefix = "daemons/",
		.self = {.id = GC_STR_LIT("d1")},
		.lease_ms = LEASE_MS,
	};
	gc_registration_t *registration;

	fake->calls = g_string_new(NULL);
	registration = gc_registration_create(mem, &conf);
	ck_assert_str_eq(fake->calls->str, "L0 P7 ");
	g_string_truncate(fake->calls, 0);
	fake->lease = 8;
	return registration;
}

/*
 * Fault: after a restore another daemon may have this one's lease id, so that
 * renewals succeed although this daemon's entry is gone.
 */
START_TEST(test_renewal_in_a_new_era_does_not_count)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	fake_t fake = {.era = 1};

	start_registered(mem, &fake, ev);
	/* A response without an era proves no change. */
	fake.era = 0;
	run_loop(mem, ev, LEASE_MS / 2);
	ck_assert_str_eq(fake.calls->str, "R7 ");
	fake.era = 2;
	run_loop(mem, ev, LEASE_MS / 4);
	ck_assert_str_eq(fake.calls->str, "R7 R7 L0 P8 ");
	g_string_free(fake.calls, TRUE);
	talloc_free(mem);
}
END_TEST

START_TEST(test_restore_seen_elsewhere)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	fake_t fake = {.era = 1};
	gc_registration_t *registration = start_registered(mem, &fake, ev);

	fake.era = 2;
	gc_registration_set_era(registration, 2);
	gc_registration_set_era(registration, 1);
	ck_assert(!gc_registration_is_written(registration));
	run_loop(mem, ev, 50);
	ck_assert_str_eq(fake.calls->str, "L0 P8 ");
	ck_assert(gc_registration_is_written(registration));
	g_string_free(fake.calls, TRUE);
	talloc_free(mem);
}
END_TEST

/* The response is of the old era, or lacks its era. */
START_TEST(test_late_response_after_a_restore_does_not_count)
{
	for (uint64_t era = 0; era < 2; era++) {
		TALLOC_CTX *mem = talloc_new(NULL);
		struct tevent_context *ev = tevent_context_init(mem);
		fake_t fake = {.era = 1};
		gc_registration_t *registration =
			start_registered(mem, &fake, ev);

		fake.hold = true;
		run_loop(mem, ev, LEASE_MS / 2);
		ck_assert_str_eq(fake.calls->str, "R7 ");
		gc_registration_set_era(registration, 2);
		fake.era = 2;
		fake.done(fake.ctx, 0, era, NULL);
		ck_assert(!gc_registration_is_written(registration));
		run_loop(mem, ev, 500);
		ck_assert(g_str_has_prefix(fake.calls->str, "R7 L0 P8 "));
		g_string_free(fake.calls, TRUE);
		talloc_free(mem);
	}
}
END_TEST

START_TEST(test_lease_of_the_old_era_is_not_used)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	fake_t fake = {.era = 1};
	gc_registration_t *registration = start_registered(mem, &fake, ev);

	fake.hold = true;
	fake.era = 2;
	gc_registration_set_era(registration, 2);
	run_loop(mem, ev, 50);
	gc_registration_set_era(registration, 3);
	fake.era = 3;
	fake.done(fake.ctx, 9, 0, NULL);
	run_loop(mem, ev, 50);
	ck_assert_str_eq(fake.calls->str, "L0 L0 P8 ");
	g_string_free(fake.calls, TRUE);
	talloc_free(mem);
}
END_TEST

START_TEST(test_missing_entry_is_written_again)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	fake_t fake = {.era = 1};
	gc_registration_t *registration = start_registered(mem, &fake, ev);

	gc_registration_write_again(registration);
	run_loop(mem, ev, 50);
	ck_assert_str_eq(fake.calls->str, "P7 ");
	g_string_free(fake.calls, TRUE);
	talloc_free(mem);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_retry_delay_grows_until_store_is_reachable,
		test_renewal_in_a_new_era_does_not_count,
		test_restore_seen_elsewhere,
		test_late_response_after_a_restore_does_not_count,
		test_lease_of_the_old_era_is_not_used,
		test_missing_entry_is_written_again,
		NULL,
	};

	return unit_run("registration", tests);
}
