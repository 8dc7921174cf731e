/* Confirmation of configuration versions and majorities. */
#include <stdlib.h>

#include "core/membership_private.h"

#define STAMP_MS_MASK		UINT64_C(0xffffffffff)
#define STAMP_INCARNATION_SHIFT 40
/* Expected reads per heartbeat interval if the whole fleet is unconfirmed. */
#define UNCONFIRMED_READS_PER_INTERVAL 100
/*
 * Beyond GC_MEMBERSHIP_FULL_MESH_MAX daemons, only a random sample is heard. If
 * no more than half of the fleet answers, the probability that this share of
 * the sample answers is below 0.1%.
 */
#define SAMPLE_SHARE_NUM 3
#define SAMPLE_SHARE_DEN 4

static bool apply_echo(gc_membership_t *membership, struct timespec now,
		       member_t *member, uint64_t echo);
static struct timespec stamp_time(uint64_t ms);
static void confirm_version(gc_membership_t *membership, uint64_t version,
			    struct timespec at);
static bool is_earlier(struct timespec a, struct timespec b);
static size_t fleet_size(const gc_membership_t *membership,
			 struct timespec now);
static size_t sample_size(const gc_membership_t *membership);
static size_t majority_size(const gc_membership_t *membership,
			    struct timespec now);
static bool majority_echoed_at(const gc_membership_t *membership,
			       struct timespec now, struct timespec *at);
static int compare_latest_first(const void *a, const void *b);

static bool is_earlier(struct timespec a, struct timespec b)
{
	return a.tv_sec != b.tv_sec ? a.tv_sec < b.tv_sec
				    : a.tv_nsec < b.tv_nsec;
}

/* The time in ms in the low 40 bits, the incarnation of this daemon above. */
uint64_t gc_membership_stamp(const gc_membership_t *membership,
			     struct timespec now)
{
	uint64_t ms = (uint64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;

	return (uint64_t)membership->incarnation << STAMP_INCARNATION_SHIFT |
	       (ms & STAMP_MS_MASK);
}

static struct timespec stamp_time(uint64_t ms)
{
	return (struct timespec){.tv_sec = (time_t)(ms / 1000),
				 .tv_nsec = (long)(ms % 1000) * 1000000};
}

/*
 * The heartbeat was sent after this daemon's heartbeat that it echoes. False if
 * the echo is missing, of an earlier run, or in the future.
 */
static bool apply_echo(gc_membership_t *membership, struct timespec now,
		       member_t *member, uint64_t echo)
{
	struct timespec sent_after;

	if (echo == 0 ||
	    echo >> STAMP_INCARNATION_SHIFT != membership->incarnation)
		return false;
	sent_after = stamp_time(echo & STAMP_MS_MASK);
	if (is_earlier(now, sent_after))
		return false;
	if (!member->echoed || is_earlier(member->echoed_at, sent_after))
		member->echoed_at = sent_after;
	member->echoed = true;
	return true;
}

void gc_membership_apply_heartbeat(gc_membership_t *membership,
				   struct timespec now, member_t *member,
				   const gc_heartbeat_t *heartbeat)
{
	struct timespec at;

	/* Messages can be reordered; the stamps of one run only grow. */
	if (heartbeat->stamp > member->stamp)
		member->stamp = heartbeat->stamp;
	if (heartbeat->version > member->version)
		member->version = heartbeat->version;
	if (heartbeat->version > membership->newest_version)
		membership->newest_version = heartbeat->version;
	member->known = heartbeat->known;
	member->voter = heartbeat->voter;
	if (!apply_echo(membership, now, member, heartbeat->echo) ||
	    heartbeat->confirmed_age_ms < 0)
		return;
	at = stamp_time(heartbeat->echo & STAMP_MS_MASK);
	confirm_version(membership, heartbeat->version,
			gc_add_ms(at, -heartbeat->confirmed_age_ms));
}

static void confirm_version(gc_membership_t *membership, uint64_t version,
			    struct timespec at)
{
	if (version < membership->confirmed_version)
		return;
	if (version > membership->confirmed_version ||
	    is_earlier(membership->confirmed_at, at))
		membership->confirmed_at = at;
	membership->confirmed_version = version;
	if (is_earlier(membership->conf.started, at))
		membership->voter = true;
}

void gc_membership_on_config_read(gc_membership_t *membership,
				  struct timespec started, uint64_t version)
{
	if (version > membership->newest_version)
		membership->newest_version = version;
	confirm_version(membership, version, started);
}

void gc_membership_on_config_read_failed(gc_membership_t *membership,
					 struct timespec started)
{
	if (is_earlier(membership->read_failed_at, started))
		membership->read_failed_at = started;
}

bool gc_membership_adopt(gc_membership_t *membership, uint64_t version)
{
	if (version <= membership->version)
		return false;
	membership->version = version;
	if (version > membership->newest_version)
		membership->newest_version = version;
	return true;
}

uint64_t gc_membership_version(const gc_membership_t *membership)
{
	return membership->version;
}

/* Covers confirmations by the service only, not those by a majority. */
int64_t gc_membership_confirmed_age(const gc_membership_t *membership,
				    struct timespec now)
{
	int64_t age;

	if (membership->version == 0 ||
	    membership->version != membership->confirmed_version ||
	    membership->version < membership->newest_version)
		return -1;
	age = gc_ms_between(membership->confirmed_at, now);
	/* Rounded up, so that the receiver does not extend the validity. */
	return age > membership->conf.confirm_ms ? -1 : age + 1;
}

bool gc_membership_echoed_recently(const gc_membership_t *membership,
				   const member_t *member, struct timespec now)
{
	return member->echoed && !member->leaving &&
	       gc_ms_between(member->echoed_at, now) <=
		       membership->conf.confirm_ms;
}

/* Count of daemons: the largest that this one or a live peer knows. */
static size_t fleet_size(const gc_membership_t *membership, struct timespec now)
{
	size_t known = gc_membership_known(membership);

	for (guint i = 0; i < membership->peers->len; i++) {
		const member_t *member = membership->peers->pdata[i];

		if (member->known > known &&
		    gc_membership_echoed_recently(membership, member, now))
			known = member->known;
	}
	return known;
}

static size_t sample_size(const gc_membership_t *membership)
{
	return GC_MEMBERSHIP_FANOUT * membership->conf.confirm_ms /
	       membership->conf.heartbeat_ms;
}

/* Count of daemons that is a majority; in a large fleet, of the sample. */
static size_t majority_size(const gc_membership_t *membership,
			    struct timespec now)
{
	size_t known = fleet_size(membership, now);

	if (known <= GC_MEMBERSHIP_FULL_MESH_MAX ||
	    known <= sample_size(membership))
		return known / 2 + 1;
	return sample_size(membership) * SAMPLE_SHARE_NUM / SAMPLE_SHARE_DEN +
	       1;
}

static int compare_latest_first(const void *a, const void *b)
{
	const struct timespec *x = a;
	const struct timespec *y = b;

	if (is_earlier(*x, *y))
		return 1;
	return is_earlier(*y, *x) ? -1 : 0;
}

/* Sets at to the latest time after which a majority sent a heartbeat. */
static bool majority_echoed_at(const gc_membership_t *membership,
			       struct timespec now, struct timespec *at)
{
	size_t needed = majority_size(membership, now) - membership->voter;
	struct timespec *times;
	size_t n = 0;

	*at = membership->read_failed_at;
	if (needed == 0)
		return true;
	times = g_new(struct timespec, membership->peers->len + 1);
	for (guint i = 0; i < membership->peers->len; i++) {
		const member_t *member = membership->peers->pdata[i];

		if (member->echoed && member->voter && !member->leaving)
			times[n++] = member->echoed_at;
	}
	qsort(times, n, sizeof(*times), compare_latest_first);
	if (n >= needed)
		*at = times[needed - 1];
	g_free(times);
	return n >= needed;
}

struct timespec gc_membership_in_effect_until(const gc_membership_t *membership,
					      struct timespec now)
{
	struct timespec none = {0};
	struct timespec at = none;
	struct timespec majority_at;

	if (membership->version == 0 ||
	    membership->version < membership->newest_version)
		return none;
	if (membership->confirmed_version == membership->version)
		at = membership->confirmed_at;
	if (majority_echoed_at(membership, now, &majority_at) &&
	    is_earlier(at, majority_at))
		at = majority_at;
	if (at.tv_sec == 0 && at.tv_nsec == 0)
		return none;
	return gc_add_ms(at, membership->conf.confirm_ms);
}

bool gc_membership_in_effect(const gc_membership_t *membership,
			     struct timespec now)
{
	struct timespec until = gc_membership_in_effect_until(membership, now);

	return is_earlier(now, until);
}

bool gc_membership_may_accept_changes(const gc_membership_t *membership,
				      struct timespec now)
{
	size_t known = fleet_size(membership, now);
	size_t heard = 1;

	for (guint i = 0; i < membership->peers->len; i++)
		heard += gc_membership_echoed_recently(
			membership, membership->peers->pdata[i], now);
	if (known > GC_MEMBERSHIP_FULL_MESH_MAX &&
	    known > sample_size(membership))
		return heard >= majority_size(membership, now);
	return 2 * heard >= known;
}

bool gc_membership_acknowledged(const gc_membership_t *membership,
				struct timespec now, uint64_t version)
{
	size_t known = fleet_size(membership, now);
	size_t acknowledged = membership->version >= version;

	for (guint i = 0; i < membership->peers->len; i++) {
		const member_t *member = membership->peers->pdata[i];

		acknowledged += !member->leaving && member->version >= version;
	}
	if (known > GC_MEMBERSHIP_FULL_MESH_MAX &&
	    known > sample_size(membership))
		return acknowledged >= majority_size(membership, now);
	return 2 * acknowledged >= known;
}

bool gc_membership_config_read_due(const gc_membership_t *membership,
				   struct timespec now)
{
	int64_t age = gc_membership_confirmed_age(membership, now);
	size_t known;

	if (age >= 0 && age < membership->conf.confirm_ms * 2 / 3)
		return false;
	known = gc_membership_known(membership);
	if (known <= UNCONFIRMED_READS_PER_INTERVAL)
		return true;
	return gc_membership_random(membership) % known <
	       UNCONFIRMED_READS_PER_INTERVAL;
}

gc_str_t gc_membership_choose_pull_peer(const gc_membership_t *membership,
					struct timespec now)
{
	const member_t *best = NULL;
	guint len = membership->peers->len;
	guint start = len ? gc_membership_random(membership) % len : 0;

	for (guint i = 0; i < len; i++) {
		const member_t *member =
			membership->peers->pdata[(start + i) % len];

		if (member->version <= membership->version ||
		    !*member->peer_url ||
		    !gc_membership_is_live(membership, member, now))
			continue;
		if (!best || member->version > best->version)
			best = member;
	}
	return best ? gc_str(best->name) : GC_STR_EMPTY;
}
