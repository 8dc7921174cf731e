/*
 * Admission control by start-time fair queueing over client accounts. The
 * start tag of an account is the virtual start time of its next grant. Each
 * grant advances it by 1 / weight; the account with the lowest start tag among
 * those with queued requests is granted next.
 */
#include <sys/queue.h>

#include <glib.h>

#include "core/admission.h"

/* Bounds of the retry delay of refused and expired requests, before jitter. */
#define RETRY_AFTER_MIN_MS 500
#define RETRY_AFTER_MAX_MS 30000
/* Weight of the latest interval in the moving average of grant intervals. */
#define GRANT_INTERVAL_GAIN (1.0 / 8)

typedef struct account_state account_state_t;

struct gc_admission_ticket {
	gc_admission_t *admission;
	account_state_t *state;
	const gc_admission_ops_t *ops;
	void *ctx;
	struct timespec deadline;
	bool queued;
	TAILQ_ENTRY(gc_admission_ticket) account_link;
	TAILQ_ENTRY(gc_admission_ticket) queue_link;
};

TAILQ_HEAD(ticket_queue, gc_admission_ticket);

/* State of a client account with requests in flight or queued. */
struct account_state {
	gc_str_t name;
	uint32_t weight;
	uint32_t max_in_flight; /* 0: no limit */
	uint32_t in_flight;
	uint32_t n_queued;
	double start_tag;
	struct ticket_queue queue;
};

struct gc_admission {
	gc_admission_conf_t conf;
	GHashTable *accounts; /* name -> account_state_t */
	struct ticket_queue queue; /* oldest first, all accounts */
	uint32_t in_flight;
	uint32_t n_queued;
	double virtual_time; /* highest start tag granted so far */
	bool has_grant;
	struct timespec last_grant;
	double grant_interval_ms; /* moving average */
	bool granting; /* grant_queued is running */
};

static guint name_hash(gconstpointer key);
static gboolean name_equal(gconstpointer a, gconstpointer b);
static int admission_destructor(gc_admission_t *admission);
static account_state_t *get_account_state(gc_admission_t *admission,
					  const gc_account_t *account);
static void free_account_state_if_idle(gc_admission_t *admission,
				       account_state_t *state);
static bool is_below_account_limit(const account_state_t *state);
static void advance_start_tag(const gc_admission_t *admission,
			      account_state_t *state);
static double queued_per_weight(const account_state_t *state, uint32_t extra);
static account_state_t *find_next_account(gc_admission_t *admission);
static account_state_t *find_longest_queue(gc_admission_t *admission);
static bool may_admit_now(gc_admission_t *admission,
			  const account_state_t *state);
static void record_grant(gc_admission_t *admission);
static void admit_ticket(gc_admission_ticket_t *ticket);
static void enqueue(gc_admission_ticket_t *ticket);
static void dequeue(gc_admission_ticket_t *ticket);
static void expire_ticket(gc_admission_ticket_t *ticket);
static void grant_queued(gc_admission_t *admission);
static int64_t jittered_retry_after_ms(gc_admission_t *admission);

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

static int admission_destructor(gc_admission_t *admission)
{
	g_hash_table_destroy(admission->accounts);
	return 0;
}

gc_admission_t *gc_admission_create(TALLOC_CTX *mem,
				    const gc_admission_conf_t *conf)
{
	gc_admission_t *admission = talloc_zero(mem, gc_admission_t);

	admission->conf = *conf;
	admission->accounts = g_hash_table_new(name_hash, name_equal);
	TAILQ_INIT(&admission->queue);
	talloc_set_destructor(admission, admission_destructor);
	return admission;
}

void gc_admission_destroy(gc_admission_t *admission)
{
	talloc_free(admission);
}

static account_state_t *get_account_state(gc_admission_t *admission,
					  const gc_account_t *account)
{
	account_state_t *state =
		g_hash_table_lookup(admission->accounts, &account->name);

	if (!state) {
		state = talloc_zero(admission, account_state_t);
		state->name = gc_str_dup(state, account->name);
		TAILQ_INIT(&state->queue);
		g_hash_table_insert(admission->accounts, &state->name, state);
	}
	state->weight = account->weight > 0 ? account->weight : 1;
	state->max_in_flight = account->max_in_flight;
	return state;
}

/*
 * A start tag ahead of the virtual time is kept: it accounts for service that
 * the account has already received.
 */
static void free_account_state_if_idle(gc_admission_t *admission,
				       account_state_t *state)
{
	if (state->in_flight > 0 || state->n_queued > 0 ||
	    state->start_tag > admission->virtual_time)
		return;
	g_hash_table_remove(admission->accounts, &state->name);
	talloc_free(state);
}

static bool is_below_account_limit(const account_state_t *state)
{
	return state->max_in_flight == 0 ||
	       state->in_flight < state->max_in_flight;
}

/* Without a request that could run, an account accumulates no credit. */
static void advance_start_tag(const gc_admission_t *admission,
			      account_state_t *state)
{
	if (state->start_tag < admission->virtual_time)
		state->start_tag = admission->virtual_time;
}

static double queued_per_weight(const account_state_t *state, uint32_t extra)
{
	return (double)(state->n_queued + extra) / state->weight;
}

static account_state_t *find_next_account(gc_admission_t *admission)
{
	account_state_t *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, admission->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_state_t *state = value;

		if (state->n_queued == 0 || !is_below_account_limit(state))
			continue;
		if (!best || state->start_tag < best->start_tag)
			best = state;
	}
	return best;
}

/*
 * Returns the account from which a full queue evicts: the one with the most
 * queued requests per weight. An account with a single queued request is left
 * out, otherwise one with a low weight would never be granted.
 */
static account_state_t *find_longest_queue(gc_admission_t *admission)
{
	account_state_t *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, admission->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_state_t *state = value;

		if (state->n_queued < 2)
			continue;
		if (!best ||
		    queued_per_weight(state, 0) > queued_per_weight(best, 0))
			best = state;
	}
	return best;
}

/* A new request must not overtake queued ones that could run. */
static bool may_admit_now(gc_admission_t *admission,
			  const account_state_t *state)
{
	return admission->in_flight < admission->conf.max_in_flight &&
	       state->n_queued == 0 && is_below_account_limit(state) &&
	       (admission->n_queued == 0 || !find_next_account(admission));
}

static void record_grant(gc_admission_t *admission)
{
	struct timespec now = gc_clock_now(admission->conf.clock);
	double ms;

	if (admission->has_grant) {
		ms = gc_ms_between(admission->last_grant, now);
		admission->grant_interval_ms +=
			GRANT_INTERVAL_GAIN *
			(ms - admission->grant_interval_ms);
	}
	admission->has_grant = true;
	admission->last_grant = now;
}

static void admit_ticket(gc_admission_ticket_t *ticket)
{
	gc_admission_t *admission = ticket->admission;
	account_state_t *state = ticket->state;

	ticket->queued = false;
	admission->in_flight++;
	state->in_flight++;
	if (state->start_tag > admission->virtual_time)
		admission->virtual_time = state->start_tag;
	state->start_tag += 1.0 / state->weight;
	record_grant(admission);
}

static void enqueue(gc_admission_ticket_t *ticket)
{
	gc_admission_t *admission = ticket->admission;

	ticket->queued = true;
	ticket->deadline = gc_add_ms(gc_clock_now(admission->conf.clock),
				     admission->conf.queue_ms);
	TAILQ_INSERT_TAIL(&admission->queue, ticket, queue_link);
	TAILQ_INSERT_TAIL(&ticket->state->queue, ticket, account_link);
	admission->n_queued++;
	ticket->state->n_queued++;
}

static void dequeue(gc_admission_ticket_t *ticket)
{
	gc_admission_t *admission = ticket->admission;

	TAILQ_REMOVE(&admission->queue, ticket, queue_link);
	TAILQ_REMOVE(&ticket->state->queue, ticket, account_link);
	admission->n_queued--;
	ticket->state->n_queued--;
}

static void expire_ticket(gc_admission_ticket_t *ticket)
{
	const gc_admission_ops_t *ops = ticket->ops;
	gc_admission_t *admission = ticket->admission;
	void *ctx = ticket->ctx;

	dequeue(ticket);
	free_account_state_if_idle(admission, ticket->state);
	talloc_free(ticket);
	ops->expired(ctx, jittered_retry_after_ms(admission));
}

static void grant_queued(gc_admission_t *admission)
{
	/* The granted callback may release its ticket; don't recurse. */
	if (admission->granting)
		return;
	admission->granting = true;
	while (admission->in_flight < admission->conf.max_in_flight) {
		account_state_t *state = find_next_account(admission);
		gc_admission_ticket_t *ticket;

		if (!state)
			break;
		ticket = TAILQ_FIRST(&state->queue);
		dequeue(ticket);
		admit_ticket(ticket);
		ticket->ops->granted(ticket->ctx);
	}
	admission->granting = false;
}

/*
 * Returns the predicted time until the queue is empty, with a jitter of +/- 50%
 * so that refused callers do not retry at the same time.
 */
static int64_t jittered_retry_after_ms(gc_admission_t *admission)
{
	const gc_random_t *random = admission->conf.random;
	double ms = admission->grant_interval_ms * admission->n_queued;
	double fraction =
		(double)(random->next(random->ctx) >> 11) / (1ULL << 53);

	if (ms < RETRY_AFTER_MIN_MS)
		ms = RETRY_AFTER_MIN_MS;
	if (ms > RETRY_AFTER_MAX_MS)
		ms = RETRY_AFTER_MAX_MS;
	return ms * (0.5 + fraction);
}

void gc_admission_set_limit(gc_admission_t *admission, uint32_t max_in_flight)
{
	admission->conf.max_in_flight = max_in_flight;
	grant_queued(admission);
}

gc_admission_result_t
gc_admission_request(gc_admission_t *admission, const gc_account_t *account,
		     const gc_admission_ops_t *ops, void *ctx,
		     gc_admission_ticket_t **ticket, int64_t *retry_after_ms)
{
	account_state_t *state = get_account_state(admission, account);
	gc_admission_ticket_t *evicted = NULL;
	gc_admission_ticket_t *t;
	bool admit_now;

	*ticket = NULL;
	*retry_after_ms = 0;
	if (state->n_queued == 0)
		advance_start_tag(admission, state);
	admit_now = may_admit_now(admission, state);
	if (!admit_now && admission->n_queued >= admission->conf.max_queued) {
		account_state_t *longest = find_longest_queue(admission);

		if (!longest || (state->n_queued > 0 &&
				 queued_per_weight(state, 1) >=
					 queued_per_weight(longest, 0))) {
			free_account_state_if_idle(admission, state);
			*retry_after_ms = jittered_retry_after_ms(admission);
			return GC_ADMISSION_REFUSED;
		}
		evicted = TAILQ_LAST(&longest->queue, ticket_queue);
	}
	t = talloc_zero(admission, gc_admission_ticket_t);
	t->admission = admission;
	t->state = state;
	t->ops = ops;
	t->ctx = ctx;
	*ticket = t;
	if (admit_now) {
		admit_ticket(t);
		return GC_ADMISSION_GRANTED;
	}
	enqueue(t);
	if (evicted)
		expire_ticket(evicted);
	return GC_ADMISSION_QUEUED;
}

void gc_admission_release(gc_admission_ticket_t *ticket)
{
	gc_admission_t *admission = ticket->admission;
	account_state_t *state = ticket->state;

	if (ticket->queued) {
		dequeue(ticket);
	} else {
		if (!is_below_account_limit(state))
			advance_start_tag(admission, state);
		admission->in_flight--;
		state->in_flight--;
	}
	talloc_free(ticket);
	free_account_state_if_idle(admission, state);
	grant_queued(admission);
}

int64_t gc_admission_expire(gc_admission_t *admission)
{
	struct timespec now = gc_clock_now(admission->conf.clock);
	gc_admission_ticket_t *ticket;
	int64_t left_ms;

	while ((ticket = TAILQ_FIRST(&admission->queue))) {
		/* Rounded up: after left_ms the ticket must have expired. */
		left_ms = (gc_us_between(now, ticket->deadline) + 999) / 1000;
		if (left_ms > 0)
			return left_ms;
		expire_ticket(ticket);
	}
	return -1;
}

void gc_retry_budget_deposit(gc_retry_budget_t *budget)
{
	budget->tokens += budget->tokens_per_request;
	if (budget->tokens > budget->max)
		budget->tokens = budget->max;
}

bool gc_retry_budget_withdraw(gc_retry_budget_t *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}
