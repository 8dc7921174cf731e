/*
 * Guards against frequent retries while the store is unreachable, when one call
 * costs as much as ten calls otherwise do, and against an entry that is not
 * written again once the store is reachable.
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
} fake_t;

static void complete(fake_t *fake, gc_store_done_t done, void *ctx)
{
	GError *err = NULL;

	fake->n_calls++;
	if (fake->unreachable)
		gc_error_set(&err, GC_ERR_IO, "lease", "store", "unreachable");
	done(ctx, fake->unreachable ? 0 : 7, err);
	g_clear_error(&err);
}

static void fake_lease(void *store, int64_t ttl_ms, gc_store_done_t done,
		       void *ctx)
{
	complete(store, done, ctx);
}

static void fake_renew(void *store, uint64_t lease, gc_store_done_t done,
		       void *ctx)
{
	complete(store, done, ctx);
}

static void fake_put(void *store, gc_str_t key, gc_str_t value, uint64_t lease,
		     gc_store_done_t done, void *ctx)
{
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

int main(void)
{
	const TTest *const tests[] = {
		test_retry_delay_grows_until_store_is_reachable,
		NULL,
	};

	return unit_run("registration", tests);
}
