/* Records of streams' software versions in the store. */
#include <jansson.h>
#include <stdlib.h>

#include "core/error.h"
#include "core/restore_mark.h"
#include "lib/fleet.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/store_era.h"
#include "lib/stream_versions.h"

/* Keys of records: this prefix and the stream's key. The value is the version. */
#define RECORDS_PREFIX "goldcrest/begun/"
/* Records end with a lease, which is used while a stream's life is left of it. */
#define LEASE_MS (2 * GC_STREAM_LIFE_MS)
/* Time for a record to be written before the stream waits in vain. */
#define RECORD_TIME_MS 2000
/* Pause before a failed write is repeated; doubles up to the maximum. */
#define RETRY_MS     100
#define RETRY_MAX_MS 1600
/* Pause before a failed read or write of the kept era is repeated; and the time over
 * which daemons spread their reads before one of them writes. */
#define ERA_RETRY_MS   1000
#define ERA_SPREAD_MS  5000
#define ERA_MAX_DIGITS 20
/* Interval of checks of base versions, and their random part: the first daemon
 * that writes a change spares the others the write. */
#define BASE_CHECK_MS  5000
#define BASE_SPREAD_MS 1000
/* In this time after its start, a daemon leaves an invalid base version to those
 * that know the former one. */
#define BASE_INVALID_MS 3000

typedef enum record_state {
	RECORD_WAITING, /* for a lease or a repetition */
	RECORD_SENT,
	RECORD_WRITTEN,
} record_state_t;

typedef struct record {
	gc_stream_versions_t *versions;
	struct record *prev, *next;
	uint64_t token;
	char *key; /* in the store */
	gc_str_t version;
	struct timespec made_at;
	record_state_t state;
	uint64_t era; /* of the store when it was sent */
	gc_timer_t *late_timer; /* NULL once its stream doesn't wait any more */
} record_t;

typedef struct query {
	gc_stream_versions_t *versions;
	uint64_t token;
} query_t;

struct gc_stream_versions {
	gc_stream_versions_conf_t conf;
	record_t *records; /* of a stream's life */
	uint64_t lease; /* id; 0: none */
	struct timespec lease_requested;
	bool lease_pending;
	gc_restore_mark_t mark; /* with the era of the store */
	uint64_t kept_revision; /* of the item that keeps the era; 0: none */
	gc_timer_t *era_timer; /* reads that item */
	bool era_may_write; /* other daemons had time to do so */
	uint64_t lease_era; /* when the lease was requested */
	int64_t retry_ms;
	gc_timer_t *retry_timer;
	gc_timer_t *base_timer;
	gc_base_versions_t *base_versions;
	struct timespec created_at;
	gc_fleet_view_t *view;
	gc_metric_t *store_calls;
};

static int versions_destructor(gc_stream_versions_t *versions);
static int record_destructor(record_t *record);
static void write_waiting(gc_stream_versions_t *versions);
static bool has_waiting(const gc_stream_versions_t *versions);
static bool has_lease(const gc_stream_versions_t *versions);
static void request_lease(gc_stream_versions_t *versions);
static void on_lease_granted(void *ctx, uint64_t id, uint64_t era,
			     const GError *err);
static void on_written(void *ctx, uint64_t id, uint64_t era, const GError *err);
static void retry_later(gc_stream_versions_t *versions, const GError *err);
static void on_retry(void *ctx);
static void report(record_t *record, bool written);
static void on_late(void *ctx);
static void drop_old(gc_stream_versions_t *versions);
static void take_era(gc_stream_versions_t *versions, uint64_t era);
static void on_item(void *ctx, const gc_store_items_t *items,
		    const GError *err);
static void note_restore(gc_stream_versions_t *versions);
static void read_kept_era(void *ctx);
static void on_kept_era(void *ctx, const gc_store_items_t *items,
			const GError *err);
static uint64_t parse_era(gc_str_t value);
static void write_kept_era(gc_stream_versions_t *versions);
static void on_era_written(void *ctx, uint64_t id, uint64_t era,
			   const GError *err);
static void on_base_check(void *ctx);
static void check_base(gc_stream_versions_t *versions, gc_str_t service);
static void write_base(gc_stream_versions_t *versions, gc_str_t service,
		       gc_str_t version, uint64_t number, uint64_t revision);
static void on_base_written(void *ctx, uint64_t id, uint64_t era,
			    const GError *err);
static struct timespec now_of(const gc_stream_versions_t *versions);

gc_stream_versions_t *
gc_stream_versions_create(TALLOC_CTX *mem,
			  const gc_stream_versions_conf_t *conf)
{
	gc_stream_versions_t *versions = talloc_zero(mem, gc_stream_versions_t);

	versions->conf = *conf;
	versions->created_at = now_of(versions);
	versions->retry_ms = RETRY_MS;
	versions->retry_timer =
		gc_timer_create(versions, conf->timers, on_retry, versions);
	versions->base_timer = gc_timer_create(versions, conf->timers,
					       on_base_check, versions);
	versions->era_timer = gc_timer_create(versions, conf->timers,
					      read_kept_era, versions);
	gc_timer_set(versions->era_timer, 0);
	versions->base_versions = gc_base_versions_create(versions);
	versions->store_calls = gc_counter("goldcrest_store_calls_total",
					   "Calls to the store.", NULL, NULL);
	talloc_set_destructor(versions, versions_destructor);
	return versions;
}

static int versions_destructor(gc_stream_versions_t *versions)
{
	while (versions->records)
		talloc_free(versions->records);
	gc_fleet_view_unref(versions->view);
	return 0;
}

static struct timespec now_of(const gc_stream_versions_t *versions)
{
	return gc_clock_now(versions->conf.clock);
}

void gc_stream_versions_record(gc_stream_versions_t *versions, uint64_t token,
			       const char *key, gc_str_t version)
{
	record_t *record = talloc_zero(versions, record_t);

	drop_old(versions);
	record->versions = versions;
	record->token = token;
	record->key = talloc_asprintf(record, RECORDS_PREFIX "%s", key);
	record->version = gc_str_dup(record, version);
	record->made_at = now_of(versions);
	record->next = versions->records;
	if (versions->records)
		versions->records->prev = record;
	versions->records = record;
	talloc_set_destructor(record, record_destructor);
	record->late_timer =
		gc_timer_create(record, versions->conf.timers, on_late, record);
	gc_timer_set(record->late_timer, RECORD_TIME_MS);
	write_waiting(versions);
}

static int record_destructor(record_t *record)
{
	if (record->prev)
		record->prev->next = record->next;
	else
		record->versions->records = record->next;
	if (record->next)
		record->next->prev = record->prev;
	return 0;
}

static void drop_old(gc_stream_versions_t *versions)
{
	struct timespec now = now_of(versions);
	record_t *next;

	for (record_t *record = versions->records; record; record = next) {
		next = record->next;
		if (record->state != RECORD_SENT &&
		    gc_ms_between(record->made_at, now) > GC_STREAM_LIFE_MS)
			talloc_free(record);
	}
}

static void write_waiting(gc_stream_versions_t *versions)
{
	const gc_store_t *store = &versions->conf.store;

	if (!has_waiting(versions))
		return;
	if (!has_lease(versions)) {
		request_lease(versions);
		return;
	}
	for (record_t *record = versions->records; record;
	     record = record->next) {
		if (record->state != RECORD_WAITING)
			continue;
		record->state = RECORD_SENT;
		record->era = versions->mark.era;
		gc_counter_add(versions->store_calls, 1);
		store->ops->put(store->store, gc_str(record->key),
				record->version, versions->lease, on_written,
				record);
	}
}

static bool has_waiting(const gc_stream_versions_t *versions)
{
	for (const record_t *record = versions->records; record;
	     record = record->next)
		if (record->state == RECORD_WAITING)
			return true;
	return false;
}

static bool has_lease(const gc_stream_versions_t *versions)
{
	return versions->lease != 0 &&
	       gc_ms_between(versions->lease_requested, now_of(versions)) <
		       LEASE_MS - GC_STREAM_LIFE_MS;
}

static void request_lease(gc_stream_versions_t *versions)
{
	const gc_store_t *store = &versions->conf.store;

	if (versions->lease_pending)
		return;
	versions->lease = 0;
	versions->lease_pending = true;
	versions->lease_requested = now_of(versions);
	versions->lease_era = versions->mark.era;
	gc_counter_add(versions->store_calls, 1);
	store->ops->lease(store->store, LEASE_MS, on_lease_granted, versions);
}

static void on_lease_granted(void *ctx, uint64_t id, uint64_t era,
			     const GError *err)
{
	gc_stream_versions_t *versions = ctx;

	versions->lease_pending = false;
	take_era(versions, era);
	if (err || id == 0 || versions->lease_era != versions->mark.era) {
		retry_later(versions, err);
		return;
	}
	versions->lease = id;
	versions->retry_ms = RETRY_MS;
	write_waiting(versions);
}

static void on_written(void *ctx, uint64_t id, uint64_t era, const GError *err)
{
	record_t *record = ctx;
	gc_stream_versions_t *versions = record->versions;

	take_era(versions, era);
	if (g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND))
		versions->lease = 0;
	if (err || record->era != versions->mark.era) {
		record->state = RECORD_WAITING;
		retry_later(versions, err);
		return;
	}
	record->state = RECORD_WRITTEN;
	versions->retry_ms = RETRY_MS;
	if (record->late_timer)
		report(record, true);
}

/* Once for each record. */
static void report(record_t *record, bool written)
{
	gc_stream_versions_t *versions = record->versions;

	gc_timer_destroy(record->late_timer);
	record->late_timer = NULL;
	versions->conf.recorded(versions->conf.ctx, record->token, written);
}

static void on_late(void *ctx)
{
	report(ctx, false);
}

static void retry_later(gc_stream_versions_t *versions, const GError *err)
{
	if (err && versions->retry_ms == RETRY_MS)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_RECORD_NOT_WRITTEN,
			     "can't write a record of a stream's version", err);
	gc_timer_set(versions->retry_timer, versions->retry_ms);
	versions->retry_ms = MIN(2 * versions->retry_ms, RETRY_MAX_MS);
}

static void on_retry(void *ctx)
{
	gc_stream_versions_t *versions = ctx;

	drop_old(versions);
	write_waiting(versions);
}

static void take_era(gc_stream_versions_t *versions, uint64_t era)
{
	era = gc_store_era_plausible(versions->mark.era, era);
	if (era > versions->mark.era) {
		gc_stream_versions_set_era(versions, era);
		versions->conf.era_seen(versions->conf.ctx, era);
	}
}

void gc_stream_versions_set_era(gc_stream_versions_t *versions, uint64_t era)
{
	if (!gc_restore_mark_see(&versions->mark, now_of(versions), era))
		return;
	versions->lease = 0;
	for (record_t *record = versions->records; record;
	     record = record->next)
		if (record->state == RECORD_WRITTEN)
			record->state = RECORD_WAITING;
	note_restore(versions);
	write_waiting(versions);
}

static void note_restore(gc_stream_versions_t *versions)
{
	versions->conf.restored(versions->conf.ctx);
	gc_timer_set(versions->era_timer, ERA_RETRY_MS);
}

static void read_kept_era(void *ctx)
{
	gc_stream_versions_t *versions = ctx;
	const gc_store_t *store = &versions->conf.store;

	gc_counter_add(versions->store_calls, 1);
	store->ops->get(store->store, GC_STR_LIT(GC_KEPT_ERA_KEY), on_kept_era,
			versions);
}

/* An answer of an earlier era doesn't count. */
static void on_kept_era(void *ctx, const gc_store_items_t *items,
			const GError *err)
{
	gc_stream_versions_t *versions = ctx;
	const gc_random_t *random = versions->conf.random;
	bool found = !err && items && items->n == 1;
	uint64_t era = items ? items->era : 0;
	uint64_t kept = found ? parse_era(items->items[0].value) : 0;
	int64_t due_ms;

	take_era(versions, era);
	if ((!found && !g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND)) ||
	    era != versions->mark.era) {
		gc_timer_set(versions->era_timer, ERA_RETRY_MS);
		return;
	}
	versions->kept_revision = found ? items->items[0].revision : 0;
	if (gc_restore_mark_read(&versions->mark, now_of(versions), kept)) {
		gc_log(GC_LOG_WARNING, GC_EVENT_RESTORE_MISSED,
		       "the store was restored before this daemon started",
		       NULL);
		note_restore(versions);
		return;
	}
	due_ms = gc_restore_mark_due_ms(&versions->mark, now_of(versions));
	if (due_ms == 0 && versions->era_may_write) {
		write_kept_era(versions);
	} else if (due_ms >= 0) {
		versions->era_may_write = true;
		gc_timer_set(versions->era_timer,
			     due_ms + (int64_t)(random->next(random->ctx) %
						ERA_SPREAD_MS));
	}
}

/* An unreadable one counts as another era. */
static uint64_t parse_era(gc_str_t value)
{
	g_autofree char *text =
		g_strndup(value.data, MIN(value.len, ERA_MAX_DIGITS + 1));
	guint64 era;

	return g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT64, &era, NULL)
		       ? era
		       : G_MAXUINT64;
}

static void write_kept_era(gc_stream_versions_t *versions)
{
	const gc_store_t *store = &versions->conf.store;
	g_autofree char *text =
		g_strdup_printf("%" G_GUINT64_FORMAT, versions->mark.era);

	versions->era_may_write = false;
	gc_counter_add(versions->store_calls, 1);
	store->ops->put_if(store->store, GC_STR_LIT(GC_KEPT_ERA_KEY),
			   gc_str(text), versions->kept_revision,
			   on_era_written, versions);
}

/* Whether it took effect, and in which era, the next read tells. */
static void on_era_written(void *ctx, uint64_t id, uint64_t era,
			   const GError *err)
{
	gc_stream_versions_t *versions = ctx;

	take_era(versions, era);
	gc_timer_set(versions->era_timer, ERA_RETRY_MS);
}

void gc_stream_versions_find(gc_stream_versions_t *versions, uint64_t token,
			     const char *key)
{
	const gc_store_t *store = &versions->conf.store;
	query_t *query = talloc_zero(versions, query_t);
	g_autofree char *store_key = g_strconcat(RECORDS_PREFIX, key, NULL);

	query->versions = versions;
	query->token = token;
	gc_counter_add(versions->store_calls, 1);
	store->ops->get(store->store, gc_str(store_key), on_item, query);
}

static void on_item(void *ctx, const gc_store_items_t *items, const GError *err)
{
	query_t *query = ctx;
	gc_stream_versions_t *versions = query->versions;
	gc_version_result_t result = GC_VERSION_UNKNOWN;
	gc_str_t version = GC_STR_EMPTY;

	take_era(versions, items ? items->era : 0);
	if (!err && items && items->n == 1) {
		result = GC_VERSION_RECORDED;
		version = items->items[0].value;
	} else if (g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND)) {
		result = gc_restore_mark_may_lack(&versions->mark,
						  now_of(versions))
				 ? GC_VERSION_MAYBE_LOST
				 : GC_VERSION_NOT_RECORDED;
	}
	versions->conf.found(versions->conf.ctx, query->token, result, version);
	talloc_free(query);
}

void gc_stream_versions_note_gap(gc_stream_versions_t *versions)
{
	gc_base_versions_note_gap(versions->base_versions, now_of(versions));
}

void gc_stream_versions_set_view(gc_stream_versions_t *versions,
				 gc_fleet_view_t *view)
{
	const gc_random_t *random = versions->conf.random;

	gc_fleet_view_unref(versions->view);
	versions->view = gc_fleet_view_ref(view);
	gc_timer_set(versions->base_timer,
		     (int64_t)(random->next(random->ctx) % BASE_SPREAD_MS));
}

static void on_base_check(void *ctx)
{
	gc_stream_versions_t *versions = ctx;
	const gc_fleet_view_t *view = versions->view;

	for (size_t i = 0; i < view->n_servers; i++) {
		bool known = false;

		for (size_t j = 0; j < i && !known; j++)
			known = gc_str_eq(view->servers[j].service,
					  view->servers[i].service);
		if (!known)
			check_base(versions, view->servers[i].service);
	}
	gc_timer_set(versions->base_timer, BASE_CHECK_MS);
}

static void check_base(gc_stream_versions_t *versions, gc_str_t service)
{
	const gc_fleet_view_t *view = versions->view;
	const gc_base_version_t *base =
		gc_fleet_view_base_version(view, service);
	const gc_base_version_t *stored =
		gc_fleet_view_stored_base_version(view, service);
	gc_str_t proposed = {0};

	if (stored && stored->number == 0 && stored->stored_revision > 0 &&
	    gc_ms_between(versions->created_at, now_of(versions)) <
		    BASE_INVALID_MS)
		return;
	if (gc_base_versions_propose(versions->base_versions, now_of(versions),
				     service, view->servers, view->n_servers,
				     base, &proposed))
		write_base(versions, service, proposed,
			   base ? base->number + 1 : 1,
			   stored ? stored->stored_revision : 0);
	else if (base && base->stored_number < base->number)
		write_base(versions, service, base->version, base->number,
			   base->stored_revision);
}

static void write_base(gc_stream_versions_t *versions, gc_str_t service,
		       gc_str_t version, uint64_t number, uint64_t revision)
{
	const gc_store_t *store = &versions->conf.store;
	g_autofree char *key = g_strdup_printf(GC_BASE_VERSIONS_PREFIX "%.*s",
					       GC_STR_ARG(service));
	json_t *json = json_pack("{s:I,s:s#}", "number", (json_int_t)number,
				 "version", version.data, (int)version.len);
	char *text = json_dumps(json, JSON_COMPACT);

	gc_counter_add(versions->store_calls, 1);
	store->ops->put_if(store->store, gc_str(key), gc_str(text), revision,
			   on_base_written, versions);
	free(text);
	json_decref(json);
}

/* A conflict shows that another daemon was first; the watch brings its change. */
static void on_base_written(void *ctx, uint64_t id, uint64_t era,
			    const GError *err)
{
	take_era(ctx, era);
}
