/* Grants permits from one token bucket for each limited server. */
#include <math.h>

#include <glib.h>

#include "core/clock.h"
#include "core/permits.h"

/* A server that takes nothing gets a request now and then, as only its response
 * can tell that the limit has ended. */
#define MIN_RATE_PER_S 0.5
/* Issuers with this part of a limit or more may send that request, as the first
 * one is usually lost when they are asked. */
#define MIN_RATE_PART 0.25
/* Size of the bucket: a number of permits, and seconds of the limit. */
#define DEPTH_PERMITS 2.0
#define DEPTH_S	      0.125
/* Permits that must be left for requests of lower rank, for each step of the
 * rank, and for an account that has got more than its share. */
#define RESERVE_PER_RANK   0.1
#define RESERVE_OVER_SHARE 0.2
/* Asks a second that an issuer wants for one server. While there are more, each
 * ask makes the least wait of daemons longer by up to this part of the excess. */
#define ASKS_PER_S 64.0
#define WAIT_GAIN  0.05
#define MIN_WAIT_S 0.01
#define MAX_WAIT_S 4.0
/* Time constant of the rate of asks and of the permits that accounts got. */
#define RATE_WINDOW_S  1.0
#define SHARE_WINDOW_S 4.0
#define MAX_ACCOUNTS   16
/* Permits that an account may be ahead of its share. */
#define SHARE_SLACK 1.0
/* How long the largest part that was asked for holds. */
#define PART_MS 2000
/* Limits that differ in age by less than this count as equally old. */
#define SAME_AGE_MS 5
/* Largest debt, in seconds of the limit and in permits. */
#define MAX_DEBT_S	 4.0
#define MAX_DEBT_PERMITS 5.0
/* A bucket that wasn't asked for is forgotten after this time. */
#define UNUSED_MS 120000

typedef struct account_share {
	uint64_t account;
	double got; /* permits, weighted by age */
} account_share_t;

typedef struct bucket {
	uint64_t server;
	double limit;
	struct timespec limit_at;
	double tokens;
	double part;
	struct timespec part_at;
	struct timespec updated_at;
	double asks; /* weighted by age */
	double least_wait_s; /* of daemons that get no permit */
	account_share_t shares[MAX_ACCOUNTS];
	size_t n_shares;
} bucket_t;

struct gc_permits {
	GHashTable *buckets; /* by server */
};

static int permits_destructor(gc_permits_t *permits);
static bucket_t *find_or_add(gc_permits_t *permits, struct timespec now,
			     const gc_permit_ask_t *ask);
static gboolean is_unused(gpointer key, gpointer value, gpointer data);
static void update_limit(bucket_t *bucket, const gc_permit_ask_t *ask);
static void update_part(bucket_t *bucket, struct timespec now, double part);
static void count_ask(bucket_t *bucket, const gc_permit_ask_t *ask);
static void refill(bucket_t *bucket, struct timespec now);
static double rate_of(const bucket_t *bucket);
static double depth_of(const bucket_t *bucket);
static double needed_tokens(bucket_t *bucket, const gc_permit_ask_t *ask);
static account_share_t *find_share(bucket_t *bucket, uint64_t account);
static int64_t wait_ms(const bucket_t *bucket, double needed);

gc_permits_t *gc_permits_create(TALLOC_CTX *mem)
{
	gc_permits_t *permits = talloc_zero(mem, gc_permits_t);

	permits->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	talloc_set_destructor(permits, permits_destructor);
	return permits;
}

static int permits_destructor(gc_permits_t *permits)
{
	g_hash_table_unref(permits->buckets);
	return 0;
}

void gc_permits_ask(gc_permits_t *permits, struct timespec now,
		    const gc_permit_ask_t *ask, gc_permit_answer_t *answer)
{
	bucket_t *bucket = find_or_add(permits, now, ask);

	refill(bucket, now);
	update_limit(bucket, ask);
	update_part(bucket, now, ask->part);
	count_ask(bucket, ask);
	bucket->tokens = MAX(bucket->tokens - ask->sent_without,
			     -MAX_DEBT_S * rate_of(bucket) - MAX_DEBT_PERMITS);
	*answer = (gc_permit_answer_t){
		.server = ask->server,
		.limit = bucket->limit,
		.limit_at = bucket->limit_at,
		.rank = ask->rank,
	};
	if (bucket->limit == GC_NO_LIMIT)
		return;
	while (answer->granted < ask->wanted &&
	       bucket->tokens >= needed_tokens(bucket, ask)) {
		bucket->tokens--;
		answer->granted++;
		find_share(bucket, ask->account)->got++;
	}
	if (answer->granted < ask->wanted)
		answer->wait_ms = wait_ms(bucket, needed_tokens(bucket, ask));
}

static bucket_t *find_or_add(gc_permits_t *permits, struct timespec now,
			     const gc_permit_ask_t *ask)
{
	bucket_t *bucket = g_hash_table_lookup(permits->buckets, &ask->server);

	if (bucket)
		return bucket;
	g_hash_table_foreach_remove(permits->buckets, is_unused, &now);
	bucket = g_new0(bucket_t, 1);
	bucket->server = ask->server;
	bucket->limit = ask->limit;
	bucket->limit_at = ask->limit_at;
	bucket->part = ask->part;
	bucket->part_at = now;
	bucket->updated_at = now;
	bucket->least_wait_s = MIN_WAIT_S;
	g_hash_table_insert(permits->buckets, &bucket->server, bucket);
	return bucket;
}

static gboolean is_unused(gpointer key, gpointer value, gpointer data)
{
	const bucket_t *bucket = value;
	const struct timespec *now = data;

	return gc_ms_between(bucket->updated_at, *now) > UNUSED_MS;
}

static void update_limit(bucket_t *bucket, const gc_permit_ask_t *ask)
{
	if (gc_ms_between(bucket->limit_at, ask->limit_at) < SAME_AGE_MS)
		return;
	/* What was saved up while there was no limit doesn't count. */
	if (bucket->limit == GC_NO_LIMIT)
		bucket->tokens = MIN(bucket->tokens, 0);
	bucket->limit = ask->limit;
	bucket->limit_at = ask->limit_at;
	bucket->tokens = MIN(bucket->tokens, depth_of(bucket));
}

/* Daemons whose lists of daemons differ may ask for different parts. */
static void update_part(bucket_t *bucket, struct timespec now, double part)
{
	if (part < bucket->part &&
	    gc_ms_between(bucket->part_at, now) <= PART_MS)
		return;
	bucket->part = part;
	bucket->part_at = now;
}

/* The wait settles where the daemons that are waiting ask often enough. */
static void count_ask(bucket_t *bucket, const gc_permit_ask_t *ask)
{
	double excess = bucket->asks / RATE_WINDOW_S / ASKS_PER_S - 1;

	if (ask->wanted == 0)
		return;
	bucket->asks++;
	bucket->least_wait_s =
		CLAMP(bucket->least_wait_s * (1 + WAIT_GAIN * excess),
		      MIN_WAIT_S, MAX_WAIT_S);
}

static void refill(bucket_t *bucket, struct timespec now)
{
	double s = (double)gc_us_between(bucket->updated_at, now) / 1e6;

	bucket->updated_at = now;
	if (s <= 0)
		return;
	bucket->tokens =
		MIN(bucket->tokens + s * rate_of(bucket), depth_of(bucket));
	bucket->asks *= exp(-s / RATE_WINDOW_S);
	for (size_t i = 0; i < bucket->n_shares; i++)
		bucket->shares[i].got *= exp(-s / SHARE_WINDOW_S);
}

static double rate_of(const bucket_t *bucket)
{
	double least = MIN_RATE_PER_S * MIN(bucket->part / MIN_RATE_PART, 1);

	return MAX(bucket->limit * bucket->part, least);
}

static double depth_of(const bucket_t *bucket)
{
	return DEPTH_PERMITS + DEPTH_S * MAX(bucket->limit, 0);
}

/*
 * While the limit binds, the bucket hardly ever holds more than the requests of
 * the lowest rank need, so the others wait until those have what they want.
 */
static double needed_tokens(bucket_t *bucket, const gc_permit_ask_t *ask)
{
	const account_share_t *own = find_share(bucket, ask->account);
	double needed =
		1 + RESERVE_PER_RANK * MIN(ask->rank, GC_PERMIT_RANK_MAX);
	double total = 0;

	for (size_t i = 0; i < bucket->n_shares; i++)
		total += bucket->shares[i].got;
	if (ask->rank > GC_PERMIT_RANK_BEGUN &&
	    own->got > total / (double)bucket->n_shares + SHARE_SLACK)
		needed += RESERVE_OVER_SHARE;
	return MIN(needed, DEPTH_PERMITS);
}

/* The account that got least makes place for a new one. */
static account_share_t *find_share(bucket_t *bucket, uint64_t account)
{
	account_share_t *least = &bucket->shares[0];

	for (size_t i = 0; i < bucket->n_shares; i++) {
		if (bucket->shares[i].account == account)
			return &bucket->shares[i];
		if (bucket->shares[i].got < least->got)
			least = &bucket->shares[i];
	}
	if (bucket->n_shares < MAX_ACCOUNTS)
		least = &bucket->shares[bucket->n_shares++];
	*least = (account_share_t){.account = account};
	return least;
}

static int64_t wait_ms(const bucket_t *bucket, double needed)
{
	double s = (needed - bucket->tokens) / rate_of(bucket);

	s = CLAMP(s, bucket->least_wait_s, MAX_WAIT_S);
	return (int64_t)ceil(s * 1000);
}
