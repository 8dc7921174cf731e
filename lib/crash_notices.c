/* Notices on requests that crash servers: writing. */
#include <jansson.h>
#include <stdlib.h>

#include "core/error.h"
#include "lib/crash_notices_private.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/store_era.h"

/* The store's longest lease. */
#define LEASE_MS 600000
/* A lease is used for new notices while at least this much of it is left. */
#define LEASE_MIN_LEFT_MS (LEASE_MS / 2)
#define MAX_QUEUED	  32
/* Of these, notices that repeat the reports on a trait. */
#define MAX_QUEUED_KEPT 16
/* A notice of a service that was not written for so long is given up: it only
 * spares others a trial. */
#define MAX_AGE_MS 10000
/* The same for reports, also repeated ones. Outages of the store last for seconds
 * to minutes. */
#define MAX_REPORTS_AGE_MS 300000
/* Reports of this age are written again to a store that was restored: the copy
 * is some seconds old. */
#define RESTORED_AGE_MS 60000
/* Delay of a retry after a failed call; doubles up to the maximum. */
#define RETRY_DELAY_MS	   200
#define RETRY_MAX_DELAY_MS 1600
/* All daemons that serve a suspected trait find that out at about the same time.
 * Each waits a random time up to this one for a notice of another daemon,
 * which takes the pause of a watch after a change and a little more. */
#define MAX_SERVED_DELAY_MS 600

static int notices_destructor(gc_crash_notices_t *notices);
static void write_kept(void *ctx, const gc_crash_evidence_t *evidence);
static void limit_kept(gc_crash_notices_t *notices, uint64_t trait);
static void mark_kept_needless(gc_crash_notices_t *notices, uint64_t trait);
static notice_t *enqueue(gc_crash_notices_t *notices, int64_t delay_ms);
static void discard_oldest(gc_crash_notices_t *notices);
static void remove_notice(gc_crash_notices_t *notices, notice_t *notice);
static void give_up(gc_crash_notices_t *notices, notice_t *notice,
		    const char *reason);
static int notice_destructor(notice_t *notice);
static notice_t *notice_with_room(const gc_crash_notices_t *notices);
static notice_t *enqueue_reports(gc_crash_notices_t *notices, size_t number);
static int64_t max_age_ms(const notice_t *notice);
static void change_era(gc_crash_notices_t *notices, uint64_t era);
static void write_reports_again(gc_crash_notices_t *notices);
static void discard_needless(gc_crash_notices_t *notices);
static void on_timer(void *ctx);
static void call_store(gc_crash_notices_t *notices, notice_t *notice,
		       struct timespec now);
static void on_lease_granted(void *ctx, uint64_t id, uint64_t era,
			     const GError *err);
static void on_written(void *ctx, uint64_t id, uint64_t era, const GError *err);
static void take_era(gc_crash_notices_t *notices, uint64_t era);
static void retry_later(gc_crash_notices_t *notices, const char *error);
static char *encode_served(gc_str_t instance);

gc_crash_notices_t *gc_crash_notices_create(TALLOC_CTX *mem,
					    const gc_crash_notices_conf_t *conf)
{
	gc_crash_notices_t *notices = talloc_zero(mem, gc_crash_notices_t);
	gc_kept_turns_conf_t turns_conf = {
		.timers = conf->timers,
		.clock = conf->clock,
		.write = write_kept,
		.ctx = notices,
	};

	notices->conf = *conf;
	notices->retry_delay_ms = RETRY_DELAY_MS;
	g_queue_init(&notices->queue);
	notices->store_calls = gc_counter("goldcrest_store_calls_total",
					  "Calls to the store.", NULL, NULL);
	notices->timer =
		gc_timer_create(notices, conf->timers, on_timer, notices);
	notices->turns = gc_kept_turns_create(notices, &turns_conf);
	talloc_set_destructor(notices, notices_destructor);
	return notices;
}

void gc_crash_notices_destroy(gc_crash_notices_t *notices)
{
	talloc_free(notices);
}

static int notices_destructor(gc_crash_notices_t *notices)
{
	g_queue_clear(&notices->queue);
	for (size_t i = 0; i < GC_CRASH_NOTICES_REPORT_KEYS; i++)
		if (notices->own_reports[i].reports)
			g_array_unref(notices->own_reports[i].reports);
	g_free(notices->last_error);
	return 0;
}

void gc_crash_notices_stop(gc_crash_notices_t *notices)
{
	notice_t *notice;

	notices->stopped = true;
	gc_timer_stop(notices->timer);
	gc_kept_turns_stop(notices->turns);
	while ((notice = g_queue_pop_head(&notices->queue)) != NULL)
		talloc_free(notice);
}

void gc_crash_notices_share_reports(gc_crash_notices_t *notices,
				    const gc_crash_report_t *reports, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		notice_t *notice;

		if (notices->stopped || (reports[i].traits.request == 0 &&
					 reports[i].traits.n_parts == 0))
			continue;
		notice = notice_with_room(notices);
		if (!notice) {
			size_t number = notices->sequence++ %
					GC_CRASH_NOTICES_REPORT_KEYS;
			own_reports_t *own = &notices->own_reports[number];

			if (own->reports)
				g_array_unref(own->reports);
			*own = (own_reports_t){
				.reports =
					g_array_new(FALSE, FALSE,
						    sizeof(gc_crash_report_t)),
				.made = gc_clock_now(notices->conf.clock),
				.pending = true,
			};
			notice = enqueue_reports(notices, number);
		}
		g_array_append_val(notice->reports, reports[i]);
	}
	/* Those before them must not delay them. */
	for (GList *link = notices->queue.head; link; link = link->next)
		((notice_t *)link->data)->due =
			gc_clock_now(notices->conf.clock);
	gc_crash_notices_write_next(notices);
}

void gc_crash_notices_share_kept(gc_crash_notices_t *notices,
				 const gc_crash_evidence_t *evidence)
{
	if (!notices->stopped && evidence->n > 0)
		gc_kept_turns_add(notices->turns, evidence);
}

static void write_kept(void *ctx, const gc_crash_evidence_t *evidence)
{
	gc_crash_notices_t *notices = ctx;
	g_autofree char *value = NULL;
	notice_t *notice;

	limit_kept(notices, evidence->trait);
	value = gc_crash_notices_encode_reports(evidence->reports, evidence->n,
						evidence->left_ms);
	notice = enqueue(notices, 0);
	notice->kept = true;
	notice->trait = evidence->trait;
	notice->key = talloc_asprintf(notice,
				      GC_CRASH_NOTICES_KEPT_PREFIX
				      "%016" G_GINT64_MODIFIER "x",
				      evidence->trait);
	notice->value = talloc_strdup(notice, value);
	gc_crash_notices_write_next(notices);
}

/* Makes room for a notice on the trait that replaces those that wait. */
static void limit_kept(gc_crash_notices_t *notices, uint64_t trait)
{
	notice_t *oldest = NULL;
	size_t n = 0;

	mark_kept_needless(notices, trait);
	for (GList *link = notices->queue.head; link; link = link->next) {
		notice_t *notice = link->data;

		if (!notice->kept || notice->needless ||
		    (notices->call_in_flight && link == notices->queue.head))
			continue;
		oldest = oldest ? oldest : notice;
		n++;
	}
	if (n >= MAX_QUEUED_KEPT)
		give_up(notices, oldest, "too many notices are waiting");
}

static void mark_kept_needless(gc_crash_notices_t *notices, uint64_t trait)
{
	for (GList *link = notices->queue.head; link; link = link->next) {
		notice_t *notice = link->data;

		if (notice->kept && notice->trait == trait)
			notice->needless = true;
	}
}

/* The last notice if more reports can go with it, or NULL. */
static notice_t *notice_with_room(const gc_crash_notices_t *notices)
{
	notice_t *last = g_queue_peek_tail((GQueue *)&notices->queue);

	return last && last->reports && !last->sent &&
			       last->reports->len < GC_CRASH_NOTICES_MAX_REPORTS
		       ? last
		       : NULL;
}

/* Appends a notice with the reports that were made for a key. */
static notice_t *enqueue_reports(gc_crash_notices_t *notices, size_t number)
{
	notice_t *notice = enqueue(notices, 0);

	notice->reports = g_array_ref(notices->own_reports[number].reports);
	notice->key =
		talloc_asprintf(notice,
				GC_CRASH_NOTICES_REPORTS_PREFIX "%.*s/%zu",
				GC_STR_ARG(notices->conf.instance), number);
	return notice;
}

void gc_crash_notices_share_served(gc_crash_notices_t *notices, uint64_t trait)
{
	const gc_random_t *random = notices->conf.random;
	g_autofree char *value = NULL;
	notice_t *notice;

	if (notices->stopped)
		return;
	gc_kept_turns_drop(notices->turns, trait);
	mark_kept_needless(notices, trait);
	value = encode_served(notices->conf.instance);
	notice = enqueue(notices, (int64_t)(random->next(random->ctx) %
					    (MAX_SERVED_DELAY_MS + 1)));
	notice->trait = trait;
	notice->key = talloc_asprintf(notice,
				      GC_CRASH_NOTICES_SERVED_PREFIX
				      "%016" G_GINT64_MODIFIER "x",
				      trait);
	notice->value = talloc_strdup(notice, value);
	gc_crash_notices_write_next(notices);
}

/* Appends a notice, whose key and value the caller sets. */
static notice_t *enqueue(gc_crash_notices_t *notices, int64_t delay_ms)
{
	notice_t *notice = talloc_zero(notices, notice_t);

	talloc_set_destructor(notice, notice_destructor);
	if (notices->queue.length == MAX_QUEUED)
		discard_oldest(notices);
	notice->made = gc_clock_now(notices->conf.clock);
	notice->due = gc_add_ms(notice->made, delay_ms);
	notice->newest_order = notices->newest_order;
	g_queue_push_tail(&notices->queue, notice);
	return notice;
}

static int notice_destructor(notice_t *notice)
{
	if (notice->reports)
		g_array_unref(notice->reports);
	return 0;
}

/* The notice of the call in flight stays, as its answer refers to it. */
static void discard_oldest(gc_crash_notices_t *notices)
{
	give_up(notices,
		g_queue_peek_nth(&notices->queue,
				 notices->call_in_flight ? 1 : 0),
		"too many notices are waiting");
}

static void remove_notice(gc_crash_notices_t *notices, notice_t *notice)
{
	g_queue_remove(&notices->queue, notice);
	talloc_free(notice);
}

static void give_up(gc_crash_notices_t *notices, notice_t *notice,
		    const char *reason)
{
	own_reports_t *own;

	gc_log(GC_LOG_WARNING, GC_EVENT_NOTICE_NOT_WRITTEN,
	       "can't write a notice to the store", "key", notice->key, "error",
	       reason, NULL);
	if (notice->reports) {
		own = gc_crash_notices_find_own(
			notices, gc_crash_notices_first_id(notice->reports));
		if (own)
			own->pending = false;
	}
	remove_notice(notices, notice);
}

own_reports_t *gc_crash_notices_find_own(gc_crash_notices_t *notices,
					 uint64_t id)
{
	for (size_t i = 0; i < GC_CRASH_NOTICES_REPORT_KEYS; i++) {
		own_reports_t *own = &notices->own_reports[i];

		if (own->pending && own->reports->len > 0 &&
		    gc_crash_notices_first_id(own->reports) == id)
			return own;
	}
	return NULL;
}

uint64_t gc_crash_notices_first_id(const GArray *reports)
{
	return g_array_index(reports, gc_crash_report_t, 0).id;
}

static int64_t max_age_ms(const notice_t *notice)
{
	return notice->reports || notice->kept ? MAX_REPORTS_AGE_MS
					       : MAX_AGE_MS;
}

static void on_timer(void *ctx)
{
	gc_crash_notices_write_next(ctx);
}

void gc_crash_notices_write_next(gc_crash_notices_t *notices)
{
	struct timespec now = gc_clock_now(notices->conf.clock);
	notice_t *head;
	int64_t wait_ms;
	int64_t left_ms;

	if (notices->stopped || notices->call_in_flight)
		return;
	discard_needless(notices);
	while ((head = g_queue_peek_head(&notices->queue)) != NULL) {
		left_ms = max_age_ms(head) - gc_ms_between(head->made, now);
		if (left_ms > 0)
			break;
		give_up(notices, head,
			notices->last_error ? notices->last_error
					    : "waited too long for others");
	}
	if (!head) {
		gc_timer_stop(notices->timer);
		return;
	}
	wait_ms = MAX(gc_ms_between(now, head->due),
		      gc_ms_between(now, notices->retry_at));
	if (wait_ms > 0)
		gc_timer_set(notices->timer, MIN(wait_ms, left_ms));
	else
		call_store(notices, head, now);
}

static void discard_needless(gc_crash_notices_t *notices)
{
	GList *next;

	for (GList *link = notices->queue.head; link; link = next) {
		next = link->next;
		if (((notice_t *)link->data)->needless)
			remove_notice(notices, link->data);
	}
}

/* Writes the notice, or first requests a lease for it. */
static void call_store(gc_crash_notices_t *notices, notice_t *notice,
		       struct timespec now)
{
	const gc_store_t *store = &notices->conf.store;
	g_autofree char *reports = NULL;

	if (notices->lease != 0 &&
	    gc_ms_between(notices->lease_requested, now) >
		    LEASE_MS - LEASE_MIN_LEFT_MS)
		notices->lease = 0;
	notices->call_in_flight = true;
	notices->call_era = notices->era;
	gc_counter_add(notices->store_calls, 1);
	if (notices->lease == 0) {
		notices->lease_requested = now;
		store->ops->lease(store->store, LEASE_MS, on_lease_granted,
				  notices);
	} else {
		notice->sent = true;
		if (notice->reports)
			reports = gc_crash_notices_encode_reports(
				(const gc_crash_report_t *)
					notice->reports->data,
				notice->reports->len, 0);
		store->ops->put(store->store, gc_str(notice->key),
				gc_str(reports ? reports : notice->value),
				notices->lease, on_written, notices);
	}
}

static void on_lease_granted(void *ctx, uint64_t id, uint64_t era,
			     const GError *err)
{
	gc_crash_notices_t *notices = ctx;

	notices->call_in_flight = false;
	era = gc_store_era_plausible(notices->era, era);
	take_era(notices, era);
	if (notices->stopped)
		return;
	if (era != 0 ? era != notices->era
		     : notices->call_era != notices->era) {
		retry_later(notices, "the store was restored from a copy");
		return;
	}
	if (err || id == 0) {
		retry_later(notices,
			    err ? err->message : "no lease in the response");
		return;
	}
	notices->lease = id;
	notices->lease_unused = true;
	gc_crash_notices_write_next(notices);
}

static void on_written(void *ctx, uint64_t id, uint64_t era, const GError *err)
{
	gc_crash_notices_t *notices = ctx;
	bool lease_unused = notices->lease_unused;

	notices->call_in_flight = false;
	era = gc_store_era_plausible(notices->era, era);
	take_era(notices, era);
	if (notices->stopped)
		return;
	if (notices->call_era != notices->era ||
	    (era != 0 && era != notices->era)) {
		retry_later(notices, "the store was restored from a copy");
		return;
	}
	if (g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND)) {
		notices->lease = 0;
		/* A new lease that is unknown too must not cause calls without
		 * a pause. */
		if (!lease_unused) {
			gc_crash_notices_write_next(notices);
			return;
		}
	}
	if (err) {
		retry_later(notices, err->message);
		return;
	}
	notices->lease_unused = false;
	notices->retry_delay_ms = RETRY_DELAY_MS;
	g_clear_pointer(&notices->last_error, g_free);
	remove_notice(notices, g_queue_peek_head(&notices->queue));
	gc_crash_notices_write_next(notices);
}

static void take_era(gc_crash_notices_t *notices, uint64_t era)
{
	if (era == 0)
		return;
	change_era(notices, era);
	if (notices->conf.era_seen)
		notices->conf.era_seen(notices->conf.ctx, era);
}

void gc_crash_notices_set_era(gc_crash_notices_t *notices, uint64_t era)
{
	change_era(notices, era);
	gc_crash_notices_write_next(notices);
}

static void change_era(gc_crash_notices_t *notices, uint64_t era)
{
	bool restored = notices->era != 0;

	if (gc_store_era_plausible(notices->era, era) <= notices->era)
		return;
	notices->era = era;
	notices->lease = 0;
	notices->era_offset = notices->newest_order;
	notices->old_revision = notices->newest_revision;
	if (!restored)
		return;
	gc_kept_turns_store_restored(notices->turns);
	write_reports_again(notices);
}

/* The copy may lack the last ones; others may have started since. */
static void write_reports_again(gc_crash_notices_t *notices)
{
	struct timespec now = gc_clock_now(notices->conf.clock);

	for (size_t i = 0; i < GC_CRASH_NOTICES_REPORT_KEYS; i++) {
		own_reports_t *own = &notices->own_reports[i];
		bool queued = false;

		if (!own->reports ||
		    gc_ms_between(own->made, now) > RESTORED_AGE_MS)
			continue;
		for (GList *link = notices->queue.head; link; link = link->next)
			queued |= ((notice_t *)link->data)->reports ==
				  own->reports;
		if (queued)
			continue;
		own->pending = true;
		enqueue_reports(notices, i);
	}
}

static void retry_later(gc_crash_notices_t *notices, const char *error)
{
	g_free(notices->last_error);
	notices->last_error = g_strdup(error);
	notices->retry_at = gc_add_ms(gc_clock_now(notices->conf.clock),
				      notices->retry_delay_ms);
	notices->retry_delay_ms =
		MIN(notices->retry_delay_ms * 2, RETRY_MAX_DELAY_MS);
	gc_crash_notices_write_next(notices);
}

static char *encode_served(gc_str_t instance)
{
	json_t *json = json_pack("{s:s#}", "instance", instance.data,
				 (int)instance.len);
	char *text = json_dumps(json, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(json);
	return copy;
}
