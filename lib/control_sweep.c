/*
 * Deletes expired claim records. A key older than 24 h is refused before any
 * claim is read, and a record is deleted when its newest key is older than
 * 25 h, so a deletion never makes a key usable again. Deleting a record twice
 * is harmless: one daemon is elected only to save calls, without a lease.
 */
#include <xxhash.h>

#include "core/claim.h"
#include "lib/control_private.h"
#include "lib/log.h"
#include "lib/log_events.h"

struct gc_control_sweep {
	gc_control_t *control;
	GQueue pending_records; /* keys (char *) still to be deleted */
	gc_metric_t *deleted;
};

/*
 * Rendezvous hashing: the live daemon whose name has the highest hash in this
 * hour is elected.
 */
typedef struct election {
	uint64_t hour; /* since 1970; seed of the hash */
	uint64_t highest_hash;
	bool self_elected;
} election_t;

static int sweep_destructor(gc_control_sweep_t *sweep);
static void schedule_sweep(gc_control_sweep_t *sweep);
static void on_sweep_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *ctx);
static bool is_elected(gc_control_sweep_t *sweep);
static void consider_daemon(void *ctx, const gc_member_info_t *info);
static void on_keys_listed(void *ctx, const char *const *keys, size_t n,
			   const GError *err);
static void delete_next(gc_control_sweep_t *sweep);
static void on_deleted(void *ctx, gc_kv_write_result_t result,
		       const GError *err);
static void abort_sweep(gc_control_sweep_t *sweep, const GError *err);

gc_control_sweep_t *gc_control_sweep_create(gc_control_t *control)
{
	gc_control_sweep_t *sweep = talloc_zero(control, gc_control_sweep_t);

	sweep->control = control;
	g_queue_init(&sweep->pending_records);
	sweep->deleted =
		gc_counter("goldcrest_claim_records_deleted_total",
			   "Old records of claims deleted", NULL, NULL);
	talloc_set_destructor(sweep, sweep_destructor);
	schedule_sweep(sweep);
	return sweep;
}

static int sweep_destructor(gc_control_sweep_t *sweep)
{
	g_queue_clear_full(&sweep->pending_records, g_free);
	return 0;
}

/*
 * Schedules the next sweep after 0.5 to 1.5 intervals, which spreads the sweeps
 * of daemons started together.
 */
static void schedule_sweep(gc_control_sweep_t *sweep)
{
	gc_control_t *control = sweep->control;
	uint64_t ms = control->settings->claim_sweep_s * UINT64_C(1000);
	uint64_t jitter = control->random.next(control->random.ctx) % ms;

	gc_control_add_timer(control, sweep, (int64_t)(ms / 2 + jitter),
			     on_sweep_timer, sweep);
}

static void on_sweep_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *ctx)
{
	gc_control_sweep_t *sweep = ctx;

	if (is_elected(sweep))
		gc_kv_list_keys(sweep->control->kv, GC_CLAIM_PREFIX,
				on_keys_listed, sweep);
	else
		schedule_sweep(sweep);
}

static bool is_elected(gc_control_sweep_t *sweep)
{
	gc_control_t *control = sweep->control;
	struct timespec wall = gc_clock_wall(control->clock);
	election_t election = {.hour = (uint64_t)wall.tv_sec / 3600};

	gc_membership_foreach(control->membership, gc_control_now(control),
			      consider_daemon, &election);
	return election.self_elected;
}

static void consider_daemon(void *ctx, const gc_member_info_t *info)
{
	election_t *election = ctx;
	uint64_t hash = XXH3_64bits_withSeed(info->name.data, info->name.len,
					     election->hour);

	if (info->leaving || (!info->live && !info->self) ||
	    hash < election->highest_hash)
		return;
	election->highest_hash = hash;
	election->self_elected = info->self;
}

static void on_keys_listed(void *ctx, const char *const *keys, size_t n,
			   const GError *err)
{
	gc_control_sweep_t *sweep = ctx;
	struct timespec wall = gc_clock_wall(sweep->control->clock);

	if (err) {
		abort_sweep(sweep, err);
		return;
	}
	for (size_t i = 0; i < n; i++)
		if (gc_claim_record_expired(keys[i], wall))
			g_queue_push_tail(&sweep->pending_records,
					  g_strdup(keys[i]));
	delete_next(sweep);
}

/*
 * Deletes one record at a time, which leaves most of the service's call rate to
 * claims.
 */
static void delete_next(gc_control_sweep_t *sweep)
{
	const char *name = g_queue_peek_head(&sweep->pending_records);

	if (name)
		gc_kv_delete(sweep->control->kv, name, on_deleted, sweep);
	else
		schedule_sweep(sweep);
}

static void on_deleted(void *ctx, gc_kv_write_result_t result,
		       const GError *err)
{
	gc_control_sweep_t *sweep = ctx;

	if (result != GC_KV_WRITTEN) {
		abort_sweep(sweep, err);
		return;
	}
	gc_counter_add(sweep->deleted, 1);
	g_free(g_queue_pop_head(&sweep->pending_records));
	delete_next(sweep);
}

/* The next sweep lists the remaining records again. */
static void abort_sweep(gc_control_sweep_t *sweep, const GError *err)
{
	if (err)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_CLAIM_SWEEP_FAILED,
			     "can't delete expired claim records", err);
	g_queue_clear_full(&sweep->pending_records, g_free);
	schedule_sweep(sweep);
}
