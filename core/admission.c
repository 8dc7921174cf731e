/*
 * Admission: start-time fair queueing over client accounts. Each account has
 * a tag, the virtual start time of its next grant; a grant moves the tag on
 * by 1 / weight, and the queued account with the lowest tag is next.
 */
#include <sys/queue.h>

#include <glib.h>

#include "core/admission.h"

#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 30000
/* Smoothing of the time between grants, which predicts the wait. */
#define GRANT_GAIN (1.0 / 8)

typedef struct share share_t;

struct gc_admission_ticket {
	gc_admission_t *admit;
	share_t *share;
	const gc_admission_ops_t *ops;
	void *ctx;
	struct timespec deadline;
	bool queued;
	TAILQ_ENTRY(gc_admission_ticket) in_share;
	TAILQ_ENTRY(gc_admission_ticket) in_queue;
};

TAILQ_HEAD(gc_tickets, gc_admission_ticket);

/* One account that has requests here. */
struct share {
	gc_str_t name;
	uint32_t weight;
	uint32_t max_in_flight; /* 0: no limit */
	uint32_t in_flight;
	uint32_t n_queued;
	double tag;
	struct gc_tickets queue;
};

struct gc_admission {
	gc_admission_conf_t conf;
	GHashTable *shares; /* by name */
	struct gc_tickets queue; /* oldest first, all accounts */
	uint32_t in_flight;
	uint32_t n_queued;
	double virtual_time; /* highest tag granted so far */
	bool has_grant;
	struct timespec last_grant;
	double grant_interval_ms;
	bool granting;
};

static guint name_hash(gconstpointer key);
static gboolean name_equal(gconstpointer a, gconstpointer b);
static int admit_destructor(gc_admission_t *admit);
static share_t *share_get(gc_admission_t *admit, const gc_account_t *account);
static void share_drop_if_idle(gc_admission_t *admit, share_t *share);
static bool share_may_run(const share_t *share);
static void share_catch_up(const gc_admission_t *admit, share_t *share);
static double share_fill(const share_t *share, uint32_t extra);
static share_t *next_share(gc_admission_t *admit);
static share_t *fullest_share(gc_admission_t *admit);
static bool may_run_now(gc_admission_t *admit, const share_t *share);
static void note_grant(gc_admission_t *admit);
static void take_slot(gc_admission_ticket_t *ticket);
static void enqueue(gc_admission_ticket_t *ticket);
static void unlink_queued(gc_admission_ticket_t *ticket);
static void expire_ticket(gc_admission_ticket_t *ticket);
static void grant_queued(gc_admission_t *admit);
static int64_t retry_after(gc_admission_t *admit);

static guint name_hash(gconstpointer key)
{
	const gc_str_t *name = key;
	guint hash = 5381;

	for (size_t i = 0; i < name->len; i++)
		hash = hash * 33 + (unsigned char)name->data[i];
	return hash;
}

static gboolean name_equal(gconstpointer a, gconstpointer b)
{
	return gc_str_eq(*(const gc_str_t *)a, *(const gc_str_t *)b);
}

static int admit_destructor(gc_admission_t *admit)
{
	g_hash_table_destroy(admit->shares);
	return 0;
}

gc_admission_t *gc_admission_create(TALLOC_CTX *mem,
				    const gc_admission_conf_t *conf)
{
	gc_admission_t *admit = talloc_zero(mem, gc_admission_t);

	admit->conf = *conf;
	admit->shares = g_hash_table_new(name_hash, name_equal);
	TAILQ_INIT(&admit->queue);
	talloc_set_destructor(admit, admit_destructor);
	return admit;
}

void gc_admission_destroy(gc_admission_t *admit)
{
	talloc_free(admit);
}

static share_t *share_get(gc_admission_t *admit, const gc_account_t *account)
{
	share_t *share = g_hash_table_lookup(admit->shares, &account->name);

	if (!share) {
		share = talloc_zero(admit, share_t);
		share->name = gc_str_dup(share, account->name);
		TAILQ_INIT(&share->queue);
		g_hash_table_insert(admit->shares, &share->name, share);
	}
	share->weight = account->weight > 0 ? account->weight : 1;
	share->max_in_flight = account->max_in_flight;
	return share;
}

/* A tag ahead of the virtual time is kept: it is service already received. */
static void share_drop_if_idle(gc_admission_t *admit, share_t *share)
{
	if (share->in_flight > 0 || share->n_queued > 0 ||
	    share->tag > admit->virtual_time)
		return;
	g_hash_table_remove(admit->shares, &share->name);
	talloc_free(share);
}

static bool share_may_run(const share_t *share)
{
	return share->max_in_flight == 0 ||
	       share->in_flight < share->max_in_flight;
}

/* An account earns no credit while it has nothing that could run. */
static void share_catch_up(const gc_admission_t *admit, share_t *share)
{
	if (share->tag < admit->virtual_time)
		share->tag = admit->virtual_time;
}

static double share_fill(const share_t *share, uint32_t extra)
{
	return (double)(share->n_queued + extra) / share->weight;
}

static share_t *next_share(gc_admission_t *admit)
{
	share_t *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, admit->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		share_t *share = value;

		if (share->n_queued == 0 || !share_may_run(share))
			continue;
		if (!best || share->tag < best->tag)
			best = share;
	}
	return best;
}

/*
 * The account from which a full queue drops: the one that fills it most by
 * weight. No account loses its only queued request, otherwise one with a low
 * weight would never be granted.
 */
static share_t *fullest_share(gc_admission_t *admit)
{
	share_t *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, admit->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		share_t *share = value;

		if (share->n_queued < 2)
			continue;
		if (!best || share_fill(share, 0) > share_fill(best, 0))
			best = share;
	}
	return best;
}

/* A new request must not overtake queued ones that could run. */
static bool may_run_now(gc_admission_t *admit, const share_t *share)
{
	return admit->in_flight < admit->conf.max_in_flight &&
	       share->n_queued == 0 && share_may_run(share) &&
	       (admit->n_queued == 0 || !next_share(admit));
}

static void note_grant(gc_admission_t *admit)
{
	struct timespec now = gc_clock_now(admit->conf.clock);
	double ms;

	if (admit->has_grant) {
		ms = gc_ms_between(admit->last_grant, now);
		admit->grant_interval_ms +=
			GRANT_GAIN * (ms - admit->grant_interval_ms);
	}
	admit->has_grant = true;
	admit->last_grant = now;
}

static void take_slot(gc_admission_ticket_t *ticket)
{
	gc_admission_t *admit = ticket->admit;
	share_t *share = ticket->share;

	ticket->queued = false;
	admit->in_flight++;
	share->in_flight++;
	if (share->tag > admit->virtual_time)
		admit->virtual_time = share->tag;
	share->tag += 1.0 / share->weight;
	note_grant(admit);
}

static void enqueue(gc_admission_ticket_t *ticket)
{
	gc_admission_t *admit = ticket->admit;

	ticket->queued = true;
	ticket->deadline = gc_add_ms(gc_clock_now(admit->conf.clock),
				     admit->conf.queue_ms);
	TAILQ_INSERT_TAIL(&admit->queue, ticket, in_queue);
	TAILQ_INSERT_TAIL(&ticket->share->queue, ticket, in_share);
	admit->n_queued++;
	ticket->share->n_queued++;
}

static void unlink_queued(gc_admission_ticket_t *ticket)
{
	gc_admission_t *admit = ticket->admit;

	TAILQ_REMOVE(&admit->queue, ticket, in_queue);
	TAILQ_REMOVE(&ticket->share->queue, ticket, in_share);
	admit->n_queued--;
	ticket->share->n_queued--;
}

static void expire_ticket(gc_admission_ticket_t *ticket)
{
	const gc_admission_ops_t *ops = ticket->ops;
	gc_admission_t *admit = ticket->admit;
	void *ctx = ticket->ctx;

	unlink_queued(ticket);
	share_drop_if_idle(admit, ticket->share);
	talloc_free(ticket);
	ops->expired(ctx, retry_after(admit));
}

static void grant_queued(gc_admission_t *admit)
{
	/* granted may release its ticket at once; that must not recurse. */
	if (admit->granting)
		return;
	admit->granting = true;
	while (admit->in_flight < admit->conf.max_in_flight) {
		share_t *share = next_share(admit);
		gc_admission_ticket_t *ticket;

		if (!share)
			break;
		ticket = TAILQ_FIRST(&share->queue);
		unlink_queued(ticket);
		take_slot(ticket);
		ticket->ops->granted(ticket->ctx);
	}
	admit->granting = false;
}

/*
 * The predicted wait, spread over +/- 50% so that refused callers do not
 * return together.
 */
static int64_t retry_after(gc_admission_t *admit)
{
	const gc_random_t *random = admit->conf.random;
	double ms = admit->grant_interval_ms * admit->n_queued;
	double unit = (double)(random->next(random->ctx) >> 11) / (1ULL << 53);

	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	if (ms > RETRY_MAX_MS)
		ms = RETRY_MAX_MS;
	return ms * (0.5 + unit);
}

void gc_admission_set_limit(gc_admission_t *admit, uint32_t max_in_flight)
{
	admit->conf.max_in_flight = max_in_flight;
	grant_queued(admit);
}

gc_admission_result_t
gc_admission_request(gc_admission_t *admit, const gc_account_t *account,
		     const gc_admission_ops_t *ops, void *ctx,
		     gc_admission_ticket_t **ticket, int64_t *retry_after_ms)
{
	share_t *share = share_get(admit, account);
	gc_admission_ticket_t *victim = NULL;
	gc_admission_ticket_t *t;
	bool now;

	*ticket = NULL;
	*retry_after_ms = 0;
	if (share->n_queued == 0)
		share_catch_up(admit, share);
	now = may_run_now(admit, share);
	if (!now && admit->n_queued >= admit->conf.max_queued) {
		share_t *fullest = fullest_share(admit);

		if (!fullest ||
		    (share->n_queued > 0 &&
		     share_fill(share, 1) >= share_fill(fullest, 0))) {
			share_drop_if_idle(admit, share);
			*retry_after_ms = retry_after(admit);
			return GC_ADMISSION_REFUSED;
		}
		victim = TAILQ_LAST(&fullest->queue, gc_tickets);
	}
	t = talloc_zero(admit, gc_admission_ticket_t);
	t->admit = admit;
	t->share = share;
	t->ops = ops;
	t->ctx = ctx;
	*ticket = t;
	if (now) {
		take_slot(t);
		return GC_ADMISSION_NOW;
	}
	enqueue(t);
	if (victim)
		expire_ticket(victim);
	return GC_ADMISSION_QUEUED;
}

void gc_admission_release(gc_admission_ticket_t *ticket)
{
	gc_admission_t *admit = ticket->admit;
	share_t *share = ticket->share;

	if (ticket->queued) {
		unlink_queued(ticket);
	} else {
		if (!share_may_run(share))
			share_catch_up(admit, share);
		admit->in_flight--;
		share->in_flight--;
	}
	talloc_free(ticket);
	share_drop_if_idle(admit, share);
	grant_queued(admit);
}

int64_t gc_admission_expire(gc_admission_t *admit)
{
	struct timespec now = gc_clock_now(admit->conf.clock);
	gc_admission_ticket_t *ticket;
	int64_t left_ms;

	while ((ticket = TAILQ_FIRST(&admit->queue))) {
		/* Rounded up, so that a call after left_ms finds it expired. */
		left_ms = (gc_us_between(now, ticket->deadline) + 999) / 1000;
		if (left_ms > 0)
			return left_ms;
		expire_ticket(ticket);
	}
	return -1;
}

void gc_retry_budget_earn(gc_retry_budget_t *budget)
{
	budget->tokens += budget->per_request;
	if (budget->tokens > budget->max)
		budget->tokens = budget->max;
}

bool gc_retry_budget_take(gc_retry_budget_t *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}
