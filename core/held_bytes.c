/* The bound over all bytes that a daemon buffers for its peers. */
#include "core/held_bytes.h"
#include "core/clock.h"

/* Progress is counted over one to two of these, so that a peer counts as one that takes
 * nothing after 2 to 4 s. */
#define PROGRESS_SLOT_MS 2000
/* A sound peer may not be scheduled, or its link stall, for some hundred ms. Until then, a
 * burst of callers that don't read exceeds the bound. */
#define MIN_WAITING_MS 500
/*
 * Parts of the bound: from which on the allowance shrinks; from which on connections are
 * ended; which uploads may fill, the rest is left for responses. With 70 % counted, 1,000
 * callers that don't read took up to 110 % of the bound in resident memory, by the
 * allocator's part and what is read before a connection may be ended.
 */
#define SOFT_PERCENT   30
#define END_PERCENT    55
#define UPLOAD_PERCENT 40

struct gc_held_account {
	gc_held_bytes_t *held;
	gc_held_account_t *prev, *next; /* in held->waiting */
	void *ctx;
	uint64_t parts[GC_HELD_N_PARTS];
	uint64_t bytes; /* sum of parts */
	uint64_t waiting; /* of them, those that wait for a peer */
	struct timespec waiting_since;
	struct timespec slot_began;
	uint64_t progress[2]; /* in the current slot and the one before */
};

struct gc_held_bytes {
	uint64_t max;
	uint64_t soft, end, upload; /* the parts above, in bytes */
	uint64_t total;
	gc_held_account_t *waiting;
};

static int account_destructor(gc_held_account_t *account);
static void begin_waiting(gc_held_account_t *account, struct timespec now);
static void end_waiting(gc_held_account_t *account);
static void turn_slots(gc_held_account_t *account, struct timespec now);
static bool may_end(gc_held_account_t *account, struct timespec now);
static bool goes_before(const gc_held_account_t *account, uint64_t progress,
			const gc_held_account_t *best, uint64_t best_progress);

gc_held_bytes_t *gc_held_bytes_create(TALLOC_CTX *mem, uint64_t max_bytes)
{
	gc_held_bytes_t *held = talloc_zero(mem, gc_held_bytes_t);

	held->max = max_bytes;
	held->soft = max_bytes / 100 * SOFT_PERCENT;
	held->end = max_bytes / 100 * END_PERCENT;
	held->upload = max_bytes / 100 * UPLOAD_PERCENT;
	return held;
}

gc_held_account_t *gc_held_account_create(TALLOC_CTX *mem,
					  gc_held_bytes_t *held, void *ctx)
{
	gc_held_account_t *account = talloc_zero(mem, gc_held_account_t);

	account->held = held;
	account->ctx = ctx;
	talloc_set_destructor(account, account_destructor);
	return account;
}

static int account_destructor(gc_held_account_t *account)
{
	if (account->waiting > 0)
		end_waiting(account);
	account->held->total -= account->bytes;
	return 0;
}

void *gc_held_account_ctx(const gc_held_account_t *account)
{
	return account->ctx;
}

void gc_held_set(gc_held_account_t *account, gc_held_part_t part, size_t bytes,
		 struct timespec now)
{
	uint64_t before = account->parts[part];

	if (bytes == before)
		return;
	account->parts[part] = bytes;
	account->bytes += bytes - before;
	account->held->total += bytes - before;
	if (part > GC_HELD_TO_CALLER)
		return;
	if (account->waiting == 0)
		begin_waiting(account, now);
	account->waiting += bytes - before;
	if (account->waiting == 0)
		end_waiting(account);
}

static void begin_waiting(gc_held_account_t *account, struct timespec now)
{
	gc_held_bytes_t *held = account->held;

	account->waiting_since = now;
	account->prev = NULL;
	account->next = held->waiting;
	if (held->waiting)
		held->waiting->prev = account;
	held->waiting = account;
}

static void end_waiting(gc_held_account_t *account)
{
	if (account->prev)
		account->prev->next = account->next;
	else
		account->held->waiting = account->next;
	if (account->next)
		account->next->prev = account->prev;
}

size_t gc_held_part(const gc_held_account_t *account, gc_held_part_t part)
{
	return account->parts[part];
}

void gc_held_add_progress(gc_held_account_t *account, uint64_t bytes,
			  struct timespec now)
{
	if (bytes == 0)
		return;
	turn_slots(account, now);
	account->progress[0] += bytes;
}

void gc_held_restart_progress(gc_held_account_t *account)
{
	account->progress[0] = 0;
	account->progress[1] = 0;
}

static void turn_slots(gc_held_account_t *account, struct timespec now)
{
	int64_t ms = gc_ms_between(account->slot_began, now);

	if (ms < PROGRESS_SLOT_MS)
		return;
	account->progress[1] =
		ms < 2 * PROGRESS_SLOT_MS ? account->progress[0] : 0;
	account->progress[0] = 0;
	account->slot_began = now;
}

uint64_t gc_held_account_bytes(const gc_held_account_t *account)
{
	return account->bytes;
}

uint64_t gc_held_recent_progress(gc_held_account_t *account,
				 struct timespec now)
{
	turn_slots(account, now);
	return account->progress[0] + account->progress[1];
}

int64_t gc_held_waiting_ms(const gc_held_account_t *account,
			   struct timespec now)
{
	if (account->waiting == 0)
		return 0;
	return gc_ms_between(account->waiting_since, now);
}

uint64_t gc_held_total(const gc_held_bytes_t *held)
{
	return held->total;
}

uint64_t gc_held_max(const gc_held_bytes_t *held)
{
	return held->max;
}

bool gc_held_is_pressed(const gc_held_bytes_t *held)
{
	return held->total > held->soft;
}

bool gc_held_is_exceeded(const gc_held_bytes_t *held)
{
	return held->total > held->end;
}

size_t gc_held_allowance(const gc_held_bytes_t *held)
{
	if (held->total <= held->soft)
		return GC_HELD_FULL_ALLOWANCE;
	if (held->total >= held->end)
		return 0;
	return (size_t)(GC_HELD_FULL_ALLOWANCE *
			((double)(held->end - held->total) /
			 (double)(held->end - held->soft)));
}

bool gc_held_has_room(const gc_held_bytes_t *held, uint64_t bytes)
{
	return held->total + bytes <= held->upload;
}

gc_held_account_t *gc_held_first_waiting(gc_held_bytes_t *held)
{
	return held->waiting;
}

gc_held_account_t *gc_held_next_waiting(gc_held_account_t *account)
{
	return account->next;
}

gc_held_account_t *gc_held_choose(gc_held_bytes_t *held, struct timespec now)
{
	gc_held_account_t *best = NULL;
	uint64_t best_progress = 0;

	for (gc_held_account_t *a = held->waiting; a; a = a->next) {
		uint64_t progress = gc_held_recent_progress(a, now);

		if (!may_end(a, now) ||
		    (best && !goes_before(a, progress, best, best_progress)))
			continue;
		best = a;
		best_progress = progress;
	}
	return best;
}

static bool may_end(gc_held_account_t *account, struct timespec now)
{
	return gc_held_waiting_ms(account, now) >= MIN_WAITING_MS &&
	       gc_held_recent_progress(account, now) < account->waiting;
}

static bool goes_before(const gc_held_account_t *account, uint64_t progress,
			const gc_held_account_t *best, uint64_t best_progress)
{
	if (progress != best_progress)
		return progress < best_progress;
	return account->bytes > best->bytes;
}
