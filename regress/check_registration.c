/*
 * Guards against renewals that multiply while the store is away, when each
 * costs as much as ten, and against an entry that stays away after it is back.
 */
#include "core/error.h"
#include "lib/registration.h"
#include "regress/unit.h"

/* Longer than twice the first pause and shorter than the first two pauses
 * together: one more call has been made, not two. */
#define FIRST_PAUSES_MS 1000

/* A store whose calls fail or not. */
typedef struct fake {
	bool away;
	unsigned int n_calls;
} fake_t;

static void answer(fake_t *fake, gc_store_done_t done, void *ctx)
{
	GError *err = NULL;

	fake->n_calls++;
	if (fake->away)
		gc_error_set(&err, GC_ERR_IO, "lease", "store", "away");
	done(ctx, fake->away ? 0 : 7, err);
	g_clear_error(&err);
}

static void fake_lease(void *store, int64_t ttl_ms, gc_store_done_t done,
		       void *ctx)
{
	answer(store, done, ctx);
}

static void fake_renew(void *store, uint64_t lease, gc_store_done_t done,
		       void *ctx)
{
	answer(store, done, ctx);
}

static void fake_put(void *store, gc_str_t key, gc_str_t value, uint64_t lease,
		     gc_store_done_t done, void *ctx)
{
	answer(store, done, ctx);
}

static const gc_store_ops_t fake_ops = {
	.lease = fake_lease,
	.renew = fake_renew,
	.put = fake_put,
};

static void on_time(struct tevent_context *ev, struct tevent_timer *timer,
		    struct timeval now, void *ctx)
{
	*(bool *)ctx = true;
}

/* Runs the loop for so long. */
static void run(TALLOC_CTX *mem, struct tevent_context *ev, unsigned int ms)
{
	bool over = false;

	tevent_add_timer(ev, mem, tevent_timeval_current_ofs(0, ms * 1000),
			 on_time, &over);
	while (!over)
		tevent_loop_once(ev);
}

START_TEST(test_pauses_grow_until_the_store_is_back)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	fake_t fake = {.away = true};
	const gc_registration_conf_t conf = {
		.timers = gc_timers_create(mem, ev),
		.store = {&fake_ops, &fake},
		.key_prefix = "daemons/",
		.self = {.id = GC_STR_LIT("d1")},
		.lease_ms = 3000,
	};
	gc_registration_t *presence = gc_registration_create(mem, &conf);

	run(mem, ev, FIRST_PAUSES_MS);
	ck_assert_uint_eq(fake.n_calls, 2);
	fake.away = false;
	gc_registration_store_found(presence);
	run(mem, ev, 50);
	/* The lease and the entry. */
	ck_assert_uint_eq(fake.n_calls, 4);
	/* Renewals have their own time. */
	gc_registration_store_found(presence);
	run(mem, ev, 50);
	ck_assert_uint_eq(fake.n_calls, 4);
	talloc_free(mem);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_pauses_grow_until_the_store_is_back,
		NULL,
	};

	return unit_run("presence", tests);
}
