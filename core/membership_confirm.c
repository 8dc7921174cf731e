/* Confirmation of the configuration version, and majorities. */
#include <stdlib.h>

#include "core/membership_private.h"

#define STAMP_MS_MASK	 UINT64_C(0xffffffffff)
#define STAMP_BOOT_SHIFT 40
/* Unconfirmed daemons of the whole fleet read the service this often. */
#define FALLBACK_READS_PER_INTERVAL 100
/*
 * Beyond GC_MEMBERSHIP_ALL daemons only a sample is heard. A random sample of a
 * half of the fleet reaches this share with a probability below 0.1%.
 */
#define SAMPLE_SHARE_NUM 3
#define SAMPLE_SHARE_DEN 4

static bool take_echo(gc_membership_t *members, struct timespec now,
		      member_t *member, uint64_t echo);
static struct timespec stamp_time(uint64_t ms);
static void confirm(gc_membership_t *members, uint64_t version,
		    struct timespec at);
static bool earlier(struct timespec a, struct timespec b);
static size_t denominator(const gc_membership_t *members, struct timespec now);
static size_t sample_size(const gc_membership_t *members);
static size_t majority(const gc_membership_t *members, struct timespec now);
static bool majority_instant(const gc_membership_t *members,
			     struct timespec now, struct timespec *at);
static int latest_first(const void *a, const void *b);

static bool earlier(struct timespec a, struct timespec b)
{
	return a.tv_sec != b.tv_sec ? a.tv_sec < b.tv_sec
				    : a.tv_nsec < b.tv_nsec;
}

/* The own time in ms, below the number of this run of the daemon. */
uint64_t gc_membership_stamp(const gc_membership_t *members,
			     struct timespec now)
{
	uint64_t ms = (uint64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;

	return (uint64_t)members->boot << STAMP_BOOT_SHIFT |
	       (ms & STAMP_MS_MASK);
}

static struct timespec stamp_time(uint64_t ms)
{
	return (struct timespec){.tv_sec = (time_t)(ms / 1000),
				 .tv_nsec = (long)(ms % 1000) * 1000000};
}

/*
 * The heartbeat was sent after this daemon's stamp that it echoes. True if
 * that proves a later time than any heartbeat of the member before.
 */
static bool take_echo(gc_membership_t *members, struct timespec now,
		      member_t *member, uint64_t echo)
{
	struct timespec sent_after;

	if (echo == 0 || echo >> STAMP_BOOT_SHIFT != members->boot)
		return false;
	sent_after = stamp_time(echo & STAMP_MS_MASK);
	if (earlier(now, sent_after))
		return false;
	if (!member->proven || earlier(member->proven_at, sent_after))
		member->proven_at = sent_after;
	member->proven = true;
	return true;
}

void gc_membership_learn(gc_membership_t *members, struct timespec now,
			 member_t *member, const gc_heartbeat_t *heartbeat)
{
	struct timespec at;

	/* Messages can overtake each other; stamps of one run only grow. */
	if (heartbeat->stamp > member->stamp)
		member->stamp = heartbeat->stamp;
	if (heartbeat->version > member->version)
		member->version = heartbeat->version;
	if (heartbeat->version > members->newest)
		members->newest = heartbeat->version;
	member->known = heartbeat->known;
	member->voter = heartbeat->voter;
	if (!take_echo(members, now, member, heartbeat->echo) ||
	    heartbeat->confirmed_age_ms < 0)
		return;
	at = stamp_time(heartbeat->echo & STAMP_MS_MASK);
	confirm(members, heartbeat->version,
		gc_add_ms(at, -heartbeat->confirmed_age_ms));
}

static void confirm(gc_membership_t *members, uint64_t version,
		    struct timespec at)
{
	if (version < members->confirmed)
		return;
	if (version > members->confirmed || earlier(members->confirmed_at, at))
		members->confirmed_at = at;
	members->confirmed = version;
	if (earlier(members->conf.started, at))
		members->voter = true;
}

void gc_membership_on_read(gc_membership_t *members, struct timespec started,
			   uint64_t version)
{
	if (version > members->newest)
		members->newest = version;
	confirm(members, version, started);
}

void gc_membership_on_read_failed(gc_membership_t *members,
				  struct timespec started)
{
	if (earlier(members->read_failed_at, started))
		members->read_failed_at = started;
}

bool gc_membership_adopt(gc_membership_t *members, uint64_t version)
{
	if (version <= members->version)
		return false;
	members->version = version;
	if (version > members->newest)
		members->newest = version;
	return true;
}

uint64_t gc_membership_version(const gc_membership_t *members)
{
	return members->version;
}

/* Only what the service said is passed on, not the majority's word. */
int64_t gc_membership_confirmed_age(const gc_membership_t *members,
				    struct timespec now)
{
	int64_t age;

	if (members->version == 0 || members->version != members->confirmed ||
	    members->version < members->newest)
		return -1;
	age = gc_ms_between(members->confirmed_at, now);
	/* Rounded up, so that the receiver doesn't gain a millisecond. */
	return age > members->conf.confirm_ms ? -1 : age + 1;
}

bool gc_membership_is_proven(const gc_membership_t *members,
			     const member_t *member, struct timespec now)
{
	return member->proven && !member->leaving &&
	       gc_ms_between(member->proven_at, now) <=
		       members->conf.confirm_ms;
}

/* The number of daemons, by this daemon's and its live peers' knowledge. */
static size_t denominator(const gc_membership_t *members, struct timespec now)
{
	size_t known = gc_membership_known(members);

	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = members->all->pdata[i];

		if (member->known > known &&
		    gc_membership_is_proven(members, member, now))
			known = member->known;
	}
	return known;
}

static size_t sample_size(const gc_membership_t *members)
{
	return GC_MEMBERSHIP_FANOUT * members->conf.confirm_ms /
	       members->conf.heartbeat_ms;
}

/* Daemons that make more than half. */
static size_t majority(const gc_membership_t *members, struct timespec now)
{
	size_t known = denominator(members, now);

	if (known <= GC_MEMBERSHIP_ALL || known <= sample_size(members))
		return known / 2 + 1;
	return sample_size(members) * SAMPLE_SHARE_NUM / SAMPLE_SHARE_DEN + 1;
}

static int latest_first(const void *a, const void *b)
{
	const struct timespec *x = a;
	const struct timespec *y = b;

	if (earlier(*x, *y))
		return 1;
	return earlier(*y, *x) ? -1 : 0;
}

/* The latest time after which more than half of the daemons were heard. */
static bool majority_instant(const gc_membership_t *members,
			     struct timespec now, struct timespec *at)
{
	size_t needed = majority(members, now) - members->voter;
	struct timespec *times;
	size_t n = 0;

	*at = members->read_failed_at;
	if (needed == 0)
		return true;
	times = g_new(struct timespec, members->all->len + 1);
	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = members->all->pdata[i];

		if (member->proven && member->voter && !member->leaving)
			times[n++] = member->proven_at;
	}
	qsort(times, n, sizeof(*times), latest_first);
	if (n >= needed)
		*at = times[needed - 1];
	g_free(times);
	return n >= needed;
}

struct timespec gc_membership_in_effect_until(const gc_membership_t *members,
					      struct timespec now)
{
	struct timespec none = {0};
	struct timespec at = none;
	struct timespec majority_at;

	if (members->version == 0 || members->version < members->newest)
		return none;
	if (members->confirmed == members->version)
		at = members->confirmed_at;
	if (majority_instant(members, now, &majority_at) &&
	    earlier(at, majority_at))
		at = majority_at;
	if (at.tv_sec == 0 && at.tv_nsec == 0)
		return none;
	return gc_add_ms(at, members->conf.confirm_ms);
}

bool gc_membership_in_effect(const gc_membership_t *members,
			     struct timespec now)
{
	struct timespec until = gc_membership_in_effect_until(members, now);

	return earlier(now, until);
}

bool gc_membership_may_accept(const gc_membership_t *members,
			      struct timespec now)
{
	size_t known = denominator(members, now);
	size_t heard = 1;

	for (guint i = 0; i < members->all->len; i++)
		heard += gc_membership_is_proven(members,
						 members->all->pdata[i], now);
	if (known > GC_MEMBERSHIP_ALL && known > sample_size(members))
		return heard >= majority(members, now);
	return 2 * heard >= known;
}

bool gc_membership_acknowledged(const gc_membership_t *members,
				struct timespec now, uint64_t version)
{
	size_t known = denominator(members, now);
	size_t holders = members->version >= version;

	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = members->all->pdata[i];

		holders += !member->leaving && member->version >= version;
	}
	if (known > GC_MEMBERSHIP_ALL && known > sample_size(members))
		return holders >= majority(members, now);
	return 2 * holders >= known;
}

bool gc_membership_read_due(const gc_membership_t *members, struct timespec now)
{
	int64_t age = gc_membership_confirmed_age(members, now);
	size_t known;

	if (age >= 0 && age < members->conf.confirm_ms * 2 / 3)
		return false;
	known = gc_membership_known(members);
	if (known <= FALLBACK_READS_PER_INTERVAL)
		return true;
	return gc_membership_random(members) % known <
	       FALLBACK_READS_PER_INTERVAL;
}

gc_str_t gc_membership_pull_from(const gc_membership_t *members,
				 struct timespec now)
{
	const member_t *best = NULL;
	guint len = members->all->len;
	guint start = len ? gc_membership_random(members) % len : 0;

	for (guint i = 0; i < len; i++) {
		const member_t *member = members->all->pdata[(start + i) % len];

		if (member->version <= members->version || !*member->peer_url ||
		    !gc_membership_is_live(members, member, now))
			continue;
		if (!best || member->version > best->version)
			best = member;
	}
	return best ? gc_str(best->name) : GC_STR_EMPTY;
}
