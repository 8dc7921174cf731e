/*
 * Guards against a daemon that is counted as gone while it is only silent or
 * has not been heard yet: it may still act on the configuration that it has.
 */
#include "core/membership.h"
#include "regress/unit.h"

#define HEARTBEAT_MS 100
#define CONFIRM_MS   3000

typedef struct fixture {
	uint64_t seed;
	gc_random_t random;
	gc_membership_t *membership;
} fixture_t;

static void setup(fixture_t *fixture)
{
	gc_membership_conf_t conf = {
		.self = GC_STR_LIT("d2"),
		.failure_domain = GC_STR_LIT("a"),
		.peer_url = GC_STR_LIT("tcp://127.0.0.1:2"),
		.caller_url = GC_STR_LIT("http://127.0.0.1:2"),
		.heartbeat_ms = HEARTBEAT_MS,
		.confirm_ms = CONFIRM_MS,
		.random = &fixture->random,
		.started = unit_at(0),
	};
	gc_member_descriptor_t listed[] = {
		{.name = GC_STR_LIT("d2"),
		 .peer_url = GC_STR_LIT("tcp://127.0.0.1:2")},
		{.name = GC_STR_LIT("d3"),
		 .peer_url = GC_STR_LIT("tcp://127.0.0.1:3")},
	};

	fixture->seed = 7;
	fixture->random =
		(gc_random_t){.next = unit_next_random, .ctx = &fixture->seed};
	fixture->membership = gc_membership_create(NULL, &conf);
	gc_membership_on_daemon_list(fixture->membership, unit_at(0), listed,
				     2);
}

static void hear(fixture_t *fixture, int64_t ms)
{
	gc_heartbeat_t heartbeat = {
		.from = {.name = GC_STR_LIT("d3"),
			 .peer_url = GC_STR_LIT("tcp://127.0.0.1:3")},
		.version = 1,
		.confirmed_age_ms = -1,
		.stamp = 1,
	};

	gc_membership_on_heartbeat(fixture->membership, unit_at(ms),
				   &heartbeat);
}

static void copy_peer(void *ctx, const gc_member_info_t *info)
{
	gc_member_info_t *peer = ctx;

	if (!info->self)
		*peer = *info;
}

static gc_member_info_t peer_at(const fixture_t *fixture, int64_t ms)
{
	gc_member_info_t peer = {.silent_ms = -2};

	gc_membership_foreach(fixture->membership, unit_at(ms), copy_peer,
			      &peer);
	return peer;
}

/* The instance list names a daemon before its first heartbeat arrives. */
START_TEST(test_unheard_daemon_is_not_gone)
{
	fixture_t fixture;

	setup(&fixture);
	ck_assert(!peer_at(&fixture, 10).live);
	ck_assert(!peer_at(&fixture, 10).gone);
	ck_assert(!peer_at(&fixture, CONFIRM_MS).gone);
	ck_assert(peer_at(&fixture, CONFIRM_MS + 1).gone);
	hear(&fixture, CONFIRM_MS + 50);
	ck_assert(!peer_at(&fixture, CONFIRM_MS + 50).gone);
	talloc_free(fixture.membership);
}
END_TEST

START_TEST(test_silent_daemon_is_not_gone)
{
	fixture_t fixture;
	gc_member_info_t peer;

	setup(&fixture);
	hear(&fixture, 100);
	peer = peer_at(&fixture, 100 + 7 * HEARTBEAT_MS);
	ck_assert(!peer.live);
	ck_assert(!peer.gone);
	ck_assert(!peer_at(&fixture, 100 + CONFIRM_MS).gone);
	ck_assert(peer_at(&fixture, 100 + CONFIRM_MS + 1).gone);
	talloc_free(fixture.membership);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_unheard_daemon_is_not_gone,
				      test_silent_daemon_is_not_gone, NULL};

	return unit_run("membership_gone", tests);
}
