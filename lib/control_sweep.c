/*
 * Deletes old records of claims. A key older than 24 h is refused before any
 * claim is read, and a record is deleted when its youngest key is older than
 * 25 h, so that no deletion can free a key. Deleting twice is harmless: the
 * choice of one daemon only saves calls and needs no lease.
 */
#include <xxhash.h>

#include "core/claim.h"
#include "lib/control_private.h"
#include "lib/log.h"
#include "lib/log_events.h"

struct gc_control_sweep {
	gc_control_t *control;
	GQueue records; /* names still to be deleted */
	gc_metric_t *deleted;
};

/* The live daemon with the highest hash of its name and the hour. */
typedef struct choice {
	uint64_t hour;
	uint64_t highest;
	bool self;
} choice_t;

static int sweep_destructor(gc_control_sweep_t *sweep);
static void arm(gc_control_sweep_t *sweep);
static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static bool is_chosen(gc_control_sweep_t *sweep);
static void consider(void *ctx, const gc_member_info_t *info);
static void on_keys(void *ctx, const char *const *keys, size_t n,
		    const GError *err);
static void delete_next(gc_control_sweep_t *sweep);
static void on_deleted(void *ctx, gc_kv_put_t result, const GError *err);
static void give_up(gc_control_sweep_t *sweep, const GError *err);

gc_control_sweep_t *gc_control_sweep_create(gc_control_t *control)
{
	gc_control_sweep_t *sweep = talloc_zero(control, gc_control_sweep_t);

	sweep->control = control;
	g_queue_init(&sweep->records);
	sweep->deleted =
		gc_counter("goldcrest_claim_records_deleted_total",
			   "Old records of claims deleted", NULL, NULL);
	talloc_set_destructor(sweep, sweep_destructor);
	arm(sweep);
	return sweep;
}

static int sweep_destructor(gc_control_sweep_t *sweep)
{
	g_queue_clear_full(&sweep->records, g_free);
	return 0;
}

/* Between half and one and a half of the interval, so that restarts spread. */
static void arm(gc_control_sweep_t *sweep)
{
	gc_control_t *control = sweep->control;
	uint64_t ms = control->settings->claim_sweep_s * UINT64_C(1000);
	uint64_t jitter = control->random.next(control->random.ctx) % ms;

	gc_control_after_ms(control, sweep, (int64_t)(ms / 2 + jitter),
			    on_timer, sweep);
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	gc_control_sweep_t *sweep = ctx;

	if (is_chosen(sweep))
		gc_kv_keys(sweep->control->kv, GC_CLAIM_PREFIX, on_keys, sweep);
	else
		arm(sweep);
}

static bool is_chosen(gc_control_sweep_t *sweep)
{
	gc_control_t *control = sweep->control;
	struct timespec wall = gc_clock_wall(control->clock);
	choice_t choice = {.hour = (uint64_t)wall.tv_sec / 3600};

	gc_membership_each(control->members, gc_control_now(control), consider,
			   &choice);
	return choice.self;
}

static void consider(void *ctx, const gc_member_info_t *info)
{
	choice_t *choice = ctx;
	uint64_t hash = XXH3_64bits_withSeed(info->name.data, info->name.len,
					     choice->hour);

	if (info->leaving || (!info->live && !info->self) ||
	    hash < choice->highest)
		return;
	choice->highest = hash;
	choice->self = info->self;
}

static void on_keys(void *ctx, const char *const *keys, size_t n,
		    const GError *err)
{
	gc_control_sweep_t *sweep = ctx;
	struct timespec wall = gc_clock_wall(sweep->control->clock);

	if (err) {
		give_up(sweep, err);
		return;
	}
	for (size_t i = 0; i < n; i++)
		if (gc_claim_record_expired(keys[i], wall))
			g_queue_push_tail(&sweep->records, g_strdup(keys[i]));
	delete_next(sweep);
}

/* One after the other, which leaves the service's rate to claims. */
static void delete_next(gc_control_sweep_t *sweep)
{
	const char *name = g_queue_peek_head(&sweep->records);

	if (name)
		gc_kv_delete(sweep->control->kv, name, on_deleted, sweep);
	else
		arm(sweep);
}

static void on_deleted(void *ctx, gc_kv_put_t result, const GError *err)
{
	gc_control_sweep_t *sweep = ctx;

	if (result != GC_KV_WRITTEN) {
		give_up(sweep, err);
		return;
	}
	gc_counter_add(sweep->deleted, 1);
	g_free(g_queue_pop_head(&sweep->records));
	delete_next(sweep);
}

/* The next run lists what is left. */
static void give_up(gc_control_sweep_t *sweep, const GError *err)
{
	if (err)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_CLAIM_SWEEP_FAILED,
			     "can't delete old claims", err);
	g_queue_clear_full(&sweep->records, g_free);
	arm(sweep);
}
