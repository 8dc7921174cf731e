/* Lists and watches the store, registers this daemon, publishes views. */
#include "core/change_source.h"
#include "core/error.h"
#include "lib/fleet_private.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/peers_watch.h"
#include "lib/store_era.h"

/* A watch that returns changes confirms the configuration only as of the start
 * of its call, so the next one waits the usual time divided by this. */
#define SHORT_WAIT_DIVISOR 4
/* Largest difference between the store's and this daemon's measure of a
 * watch's wait. */
#define MAX_WAIT_SKEW_MS 50
/* From the start of the process to that of the fleet. */
#define CREATE_DELAY_MS 250
/* Pause between two pieces of work on a configuration. */
#define PIECE_PAUSE_MS 2
/* Deletions kept for daemons that watch through this one. */
#define MAX_KEPT_DELETIONS 512

static int fleet_destructor(gc_fleet_t *fleet);
static void start_list(gc_fleet_t *fleet);
static void era_seen(void *ctx, uint64_t era);
static void store_answered(void *ctx, bool answered);
static void begin_era(gc_fleet_t *fleet, uint64_t era);
static uint64_t response_era(const gc_fleet_t *fleet,
			     const gc_store_items_t *items);
static bool is_outdated(gc_fleet_t *fleet, const gc_store_items_t *items);
static void drop_outdated(gc_fleet_t *fleet, const gc_store_items_t *items);
static void call_store_later(gc_fleet_t *fleet);
static void complete_list(gc_fleet_t *fleet);
static void request_page(gc_fleet_t *fleet);
static int64_t random_part(const gc_fleet_t *fleet, int64_t ms);
static void on_list_page(void *ctx, const gc_store_items_t *items,
			 const GError *err);
static void start_watch(gc_fleet_t *fleet);
static void on_watch(void *ctx, const gc_store_items_t *items,
		     const GError *err);
static void on_peer_watch(void *ctx, const gc_store_items_t *items,
			  const GError *err);
static bool has_peer(const gc_fleet_t *fleet);
static void apply_changes(gc_fleet_t *fleet, const gc_store_items_t *items);
static void continue_changes(gc_fleet_t *fleet);
static struct timespec confirmed_until(const gc_fleet_t *fleet,
				       const gc_store_items_t *items);
static void on_next_call(void *ctx);
static void log_source(const gc_fleet_t *fleet, gc_source_kind_t chosen,
		       struct timespec now);
static void log_call_end(const gc_fleet_t *fleet, const char *call,
			 const gc_store_items_t *items, const GError *err);
static void handle_store_error(gc_fleet_t *fleet, const GError *err);
static void discard_list(gc_fleet_t *fleet);
static void mark_store_reachable(gc_fleet_t *fleet);
static struct timespec reconnected_at(const gc_fleet_t *fleet,
				      struct timespec now);
static void on_expiry(void *ctx);

gc_fleet_t *gc_fleet_create(TALLOC_CTX *mem, const gc_fleet_conf_t *conf)
{
	gc_fleet_t *fleet = talloc_zero(mem, gc_fleet_t);
	gc_registration_conf_t registration_conf = {
		.timers = conf->timers,
		.store = conf->store,
		.key_prefix = GC_DAEMONS_PREFIX,
		.self = conf->self,
		.lease_ms = conf->lease_ms,
		.era_seen = era_seen,
		.store_answered = store_answered,
		.ctx = fleet,
	};

	fleet->conf = *conf;
	fleet->created = gc_clock_now(conf->clock);
	fleet->servers = gc_registry_create(fleet, conf->expiry_grace_ms);
	fleet->daemons = gc_registry_create(fleet, conf->expiry_grace_ms);
	fleet->last_key = g_string_new(NULL);
	fleet->readings = gc_fleet_create_readings();
	fleet->base_versions =
		g_array_new(FALSE, FALSE, sizeof(gc_base_version_t));
	fleet->change_log = gc_change_log_create(fleet, MAX_KEPT_DELETIONS);
	fleet->store_calls = gc_counter("goldcrest_store_calls_total",
					"Calls to the store.", NULL, NULL);
	fleet->call_timer =
		gc_timer_create(fleet, conf->timers, on_next_call, fleet);
	fleet->expiry_timer =
		gc_timer_create(fleet, conf->timers, on_expiry, fleet);
	fleet->doubt_timer = gc_timer_create(fleet, conf->timers,
					     gc_fleet_on_doubt_timeout, fleet);
	talloc_set_destructor(fleet, fleet_destructor);
	gc_fleet_publish(fleet);
	start_list(fleet);
	fleet->registration = gc_registration_create(fleet, &registration_conf);
	return fleet;
}

static int fleet_destructor(gc_fleet_t *fleet)
{
	g_string_free(fleet->last_key, TRUE);
	g_array_unref(fleet->base_versions);
	g_ptr_array_unref(fleet->readings);
	gc_routes_unref(fleet->routes);
	gc_fleet_view_unref(fleet->view);
	return 0;
}

const gc_change_log_t *gc_fleet_change_log(const gc_fleet_t *fleet)
{
	return fleet->change_log;
}

gc_fleet_view_t *gc_fleet_view(gc_fleet_t *fleet)
{
	return fleet->view;
}

void gc_fleet_publish(gc_fleet_t *fleet)
{
	struct timespec start = gc_clock_now(fleet->conf.clock);
	gc_fleet_view_t *view = gc_fleet_view_create(
		fleet->config_in_doubt ? NULL : fleet->routes, fleet->servers,
		fleet->daemons,
		(const gc_base_version_t *)(const void *)
			fleet->base_versions->data,
		fleet->base_versions->len);

	gc_fleet_view_unref(fleet->view);
	fleet->view = view;
	if (fleet->conf.peers)
		gc_peers_watch_set_daemons(fleet->conf.peers, view->daemons,
					   view->n_daemons);
	fleet->conf.publish(fleet->conf.ctx, view);
	if (fleet->has_new_routes)
		gc_gauge_set(gc_config_change_us("publish"),
			     gc_us_between(start,
					   gc_clock_now(fleet->conf.clock)));
	fleet->has_new_routes = false;
}

static void start_list(gc_fleet_t *fleet)
{
	if (fleet->known_era != fleet->newest_era)
		begin_era(fleet, fleet->newest_era);
	fleet->list_complete = false;
	fleet->revision = 0;
	fleet->own_entry_expected =
		fleet->registration &&
		gc_registration_is_written(fleet->registration);
	fleet->own_entry_listed = false;
	g_string_truncate(fleet->last_key, 0);
	gc_registry_begin_list(fleet->servers);
	gc_registry_begin_list(fleet->daemons);
	if (fleet->conf.listing)
		fleet->conf.listing(fleet->conf.ctx, false);
	fleet->list_started = gc_clock_now(fleet->conf.clock);
	request_page(fleet);
}

void gc_fleet_era_seen(gc_fleet_t *fleet, uint64_t era)
{
	g_autofree char *old_era = NULL;
	g_autofree char *new_era = NULL;

	if (gc_store_era_plausible(fleet->newest_era, era) <= fleet->newest_era)
		return;
	old_era = g_strdup_printf("%" G_GUINT64_FORMAT, fleet->newest_era);
	new_era = g_strdup_printf("%" G_GUINT64_FORMAT, era);
	if (fleet->newest_era != 0)
		gc_log(GC_LOG_WARNING, GC_EVENT_STORE_RESTORED,
		       "the store was restored from a copy", "old_era", old_era,
		       "new_era", new_era, NULL);
	fleet->newest_era = era;
	if (fleet->registration)
		gc_registration_set_era(fleet->registration, era);
	if (fleet->conf.era_seen)
		fleet->conf.era_seen(fleet->conf.ctx, era);
}

/* Revisions start anew. The configuration in force stays until the store has
 * one of its version or a newer one. */
static void begin_era(gc_fleet_t *fleet, uint64_t era)
{
	struct timespec now = gc_clock_now(fleet->conf.clock);

	if (fleet->known_era != 0) {
		gc_registry_store_restored(fleet->servers, now);
		gc_registry_store_restored(fleet->daemons, now);
	}
	fleet->known_era = era;
	fleet->config_revision = 0;
	for (guint i = 0; i < fleet->base_versions->len; i++) {
		gc_base_version_t *base = &g_array_index(fleet->base_versions,
							 gc_base_version_t, i);

		base->stored_number = 0;
		base->stored_revision = 0;
	}
}

static void era_seen(void *ctx, uint64_t era)
{
	gc_fleet_era_seen(ctx, era);
}

static void store_answered(void *ctx, bool answered)
{
	gc_fleet_t *fleet = ctx;

	if (fleet->conf.store_answered)
		fleet->conf.store_answered(fleet->conf.ctx, answered);
}

/* The era that the response names; 0 if it names none that can be. */
static uint64_t response_era(const gc_fleet_t *fleet,
			     const gc_store_items_t *items)
{
	g_autofree char *value = NULL;
	uint64_t named = items ? items->era : 0;
	uint64_t era = gc_store_era_plausible(fleet->newest_era, named);

	if (named != era) {
		value = g_strdup_printf("%" G_GUINT64_FORMAT, named);
		gc_log(GC_LOG_INFO, GC_EVENT_ERA_INVALID,
		       "ignoring an invalid Store-Era", "value", value, NULL);
	}
	return era;
}

/*
 * Takes notice of a response's era; items may be NULL. True if the response, or
 * the state that it continues, is of an era that is over. A first page begins a
 * state, so that its own era counts.
 */
static bool is_outdated(gc_fleet_t *fleet, const gc_store_items_t *items)
{
	uint64_t era = response_era(fleet, items);

	gc_fleet_era_seen(fleet, era);
	if (era != 0 && era < fleet->newest_era)
		return true;
	if (!fleet->list_complete && fleet->revision == 0 && era != 0 &&
	    fleet->known_era != era)
		begin_era(fleet, era);
	return fleet->known_era != fleet->newest_era;
}

/* A response that came late says nothing about the store as it is now, so it is
 * followed by a pause like a failed call. */
static void drop_outdated(gc_fleet_t *fleet, const gc_store_items_t *items)
{
	if (!items || items->era == 0 || items->era == fleet->newest_era) {
		start_list(fleet);
		return;
	}
	gc_change_source_store_failed(&fleet->source,
				      gc_clock_now(fleet->conf.clock));
	call_store_later(fleet);
}

/* For a list, which only the store gives. */
static void call_store_later(gc_fleet_t *fleet)
{
	int64_t delay_ms = gc_change_source_store_pause(
		&fleet->source, gc_clock_now(fleet->conf.clock), false);

	gc_timer_set(fleet->call_timer, random_part(fleet, delay_ms));
}

/* Asks for the page after last_key. */
static void request_page(gc_fleet_t *fleet)
{
	fleet->call_started = gc_clock_now(fleet->conf.clock);
	gc_counter_add(fleet->store_calls, 1);
	fleet->conf.store.ops->list(fleet->conf.store.store,
				    (gc_str_t){fleet->last_key->str,
					       fleet->last_key->len},
				    on_list_page, fleet);
}

/*
 * The pages of a list are not one snapshot. The watch starts after the revision
 * of the first page, so that changes between pages are not missed; some are
 * seen twice.
 */
static void on_list_page(void *ctx, const gc_store_items_t *items,
			 const GError *err)
{
	gc_fleet_t *fleet = ctx;
	gc_str_t last_key;

	log_call_end(fleet, "list", items, err);
	if (is_outdated(fleet, items)) {
		drop_outdated(fleet, items);
		return;
	}
	if (err) {
		handle_store_error(fleet, err);
		return;
	}
	if (fleet->revision == 0) {
		fleet->revision = items->revision;
		gc_change_log_reset(fleet->change_log, fleet->known_era,
				    items->revision);
	}
	for (size_t i = 0; i < items->n; i++) {
		gc_fleet_apply_item(fleet, &items->items[i]);
	}
	while (!gc_fleet_step_config(fleet))
		;
	last_key =
		items->n > 0 ? items->items[items->n - 1].key : items->skip_to;
	if (items->more && last_key.len > 0) {
		g_string_truncate(fleet->last_key, 0);
		g_string_append_len(fleet->last_key, last_key.data,
				    (gssize)last_key.len);
		request_page(fleet);
		return;
	}
	complete_list(fleet);
}

static void complete_list(gc_fleet_t *fleet)
{
	bool starts;

	gc_change_source_store_answered(&fleet->source,
					gc_clock_now(fleet->conf.clock));
	if (fleet->own_entry_expected && !fleet->own_entry_listed)
		gc_registration_write_again(fleet->registration);
	mark_store_reachable(fleet);
	fleet->list_complete = true;
	gc_registry_end_list(fleet->servers, gc_clock_now(fleet->conf.clock));
	gc_registry_end_list(fleet->daemons, gc_clock_now(fleet->conf.clock));
	if (fleet->conf.listing)
		fleet->conf.listing(fleet->conf.ctx, true);
	/* With the kept era the store has all since a minute after its last
	 * restore (core/restore_mark.h). */
	starts = !fleet->started && fleet->routes && fleet->conf.config_peer &&
		 fleet->kept_era != fleet->known_era;
	fleet->started = true;
	fleet->config_in_doubt |= starts;
	gc_fleet_publish(fleet);
	if (starts)
		gc_fleet_check_config(fleet);
	gc_fleet_advance_confirmed(fleet, fleet->list_started);
	on_expiry(fleet);
	start_watch(fleet);
}

static bool has_peer(const gc_fleet_t *fleet)
{
	return fleet->conf.peers &&
	       gc_peers_watch_has_peer(fleet->conf.peers,
				       fleet->source.n_peer_failures);
}

static void start_watch(gc_fleet_t *fleet)
{
	struct timespec now = gc_clock_now(fleet->conf.clock);
	gc_source_kind_t source;
	int64_t delay_ms;

	fleet->call_started = now;
	fleet->wait_ms = fleet->had_changes ? fleet->conf.times.watch_wait /
						      SHORT_WAIT_DIVISOR
					    : fleet->conf.times.watch_wait;
	source = gc_change_source_next(&fleet->source, now, has_peer(fleet),
				       &delay_ms);
	log_source(fleet, source, now);
	switch (source) {
	case GC_SOURCE_PEER:
		fleet->wait_ms = gc_change_source_peer_wait(
			&fleet->source, &fleet->conf.times, fleet->wait_ms);
		gc_peers_watch(fleet->conf.peers, fleet->source.n_peer_failures,
			       fleet->known_era, fleet->revision,
			       fleet->wait_ms, fleet->change_log, on_peer_watch,
			       fleet);
		break;
	case GC_SOURCE_STORE:
		fleet->wait_ms = gc_change_source_store_wait(&fleet->source,
							     fleet->wait_ms);
		gc_counter_add(fleet->store_calls, 1);
		fleet->conf.store.ops->watch(fleet->conf.store.store,
					     fleet->revision, fleet->wait_ms,
					     on_watch, fleet);
		break;
	case GC_SOURCE_NONE:
		gc_timer_set(fleet->call_timer, delay_ms);
		break;
	}
}

/* A failed watch at a peer does not show that the store is unreachable, so the
 * store is asked next. */
static void on_peer_watch(void *ctx, const gc_store_items_t *items,
			  const GError *err)
{
	gc_fleet_t *fleet = ctx;
	uint64_t era = response_era(fleet, items);

	log_call_end(fleet, "watch at a daemon", items, err);
	gc_fleet_era_seen(fleet, era);
	if (fleet->known_era != fleet->newest_era) {
		start_list(fleet);
		return;
	}
	/* A failure may name the era, too. */
	if (!err && items && era == fleet->known_era) {
		gc_change_source_peer_answered(&fleet->source, items->age_ms);
		apply_changes(fleet, items);
		return;
	}
	if (!err) {
		/* The peer hasn't noticed the restore yet. */
		gc_change_source_peer_failed(
			&fleet->source, gc_clock_now(fleet->conf.clock), true);
		gc_change_source_peer_lacks_history(&fleet->source);
		start_watch(fleet);
		return;
	}
	gc_log_error(GC_LOG_DEBUG, GC_EVENT_PEER_WATCH_FAILED,
		     "watch through another daemon failed", err);
	gc_change_source_peer_failed(
		&fleet->source, gc_clock_now(fleet->conf.clock),
		!g_error_matches(err, GC_ERROR, GC_ERR_IO));
	if (g_error_matches(err, GC_ERROR, GC_ERR_LOST))
		gc_change_source_peer_lacks_history(&fleet->source);
	start_watch(fleet);
}

static void on_watch(void *ctx, const gc_store_items_t *items,
		     const GError *err)
{
	gc_fleet_t *fleet = ctx;

	log_call_end(fleet, "watch", items, err);
	if (is_outdated(fleet, items)) {
		drop_outdated(fleet, items);
		return;
	}
	if (err) {
		/* The same changes would be sent again, and each further one. */
		if (g_error_matches(err, GC_ERROR, GC_ERR_TOO_LARGE))
			discard_list(fleet);
		handle_store_error(fleet, err);
		return;
	}
	gc_change_source_store_answered(&fleet->source,
					gc_clock_now(fleet->conf.clock));
	apply_changes(fleet, items);
}

static void apply_changes(gc_fleet_t *fleet, const gc_store_items_t *items)
{
	mark_store_reachable(fleet);
	fleet->batch_changed = false;
	fleet->batch_confirmed = confirmed_until(fleet, items);
	fleet->had_changes = items->n > 0;
	for (size_t i = 0; i < items->n; i++) {
		fleet->batch_changed |=
			gc_fleet_apply_item(fleet, &items->items[i]);
	}
	if (items->revision > fleet->revision)
		fleet->revision = items->revision;
	gc_change_log_advance(fleet->change_log, fleet->revision);
	continue_changes(fleet);
}

/* A large configuration is read in pieces, so that the traffic thread of a small
 * machine gets its part of the processor. Nothing else is asked for meanwhile. */
static void continue_changes(gc_fleet_t *fleet)
{
	if (!gc_fleet_step_config(fleet)) {
		gc_timer_set(fleet->call_timer, PIECE_PAUSE_MS);
		return;
	}
	if (fleet->batch_changed)
		gc_fleet_publish(fleet);
	gc_fleet_advance_confirmed(fleet, fleet->batch_confirmed);
	on_expiry(fleet);
	if (fleet->had_changes)
		gc_timer_set(fleet->call_timer, GC_FLEET_BATCH_DELAY_MS);
	else
		start_watch(fleet);
}

/*
 * The time up to which a watch's response confirms the configuration. A watch
 * that waited to its end without changes confirms that there were none until
 * then; the store measures the wait from the arrival of the call. Any other
 * response, however late it arrives, confirms only the start of the call.
 */
static struct timespec confirmed_until(const gc_fleet_t *fleet,
				       const gc_store_items_t *items)
{
	int64_t waited_ms = gc_ms_between(fleet->call_started,
					  gc_clock_now(fleet->conf.clock));

	if (items->n + items->n_left_out > 0 || waited_ms < fleet->wait_ms)
		return gc_add_ms(fleet->call_started, -items->age_ms);
	return gc_add_ms(fleet->call_started,
			 fleet->wait_ms - MAX_WAIT_SKEW_MS - items->age_ms);
}

static void on_next_call(void *ctx)
{
	gc_fleet_t *fleet = ctx;
	bool list_begun = fleet->list_complete || fleet->last_key->len > 0;

	if (fleet->readings->len > 0)
		continue_changes(fleet);
	else if (fleet->known_era != fleet->newest_era || !list_begun)
		start_list(fleet);
	else if (fleet->list_complete)
		start_watch(fleet);
	else
		request_page(fleet);
}

static void log_source(const gc_fleet_t *fleet, gc_source_kind_t chosen,
		       struct timespec now)
{
	static const char *const names[] = {
		[GC_SOURCE_PEER] = "daemon",
		[GC_SOURCE_STORE] = "store",
		[GC_SOURCE_NONE] = "none",
	};
	const gc_change_source_t *source = &fleet->source;
	bool peer = has_peer(fleet);
	g_autofree char *store_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT,
		gc_change_source_store_pause(source, now, peer));
	g_autofree char *peers_ms = g_strdup_printf(
		"%" G_GINT64_FORMAT,
		MAX(gc_ms_between(now, source->peers_not_before), 0));
	g_autofree char *failures =
		g_strdup_printf("%u", source->n_store_failures);
	const char *daemons = "vouch";

	if (!peer)
		daemons = "none";
	else if (source->peer_unresponsive)
		daemons = "silent";
	else if (source->peer_lacks_history)
		daemons = "lack history";
	gc_log(GC_LOG_DEBUG, GC_EVENT_CHANGES_SOURCE,
	       "source of changes chosen", "source", names[chosen],
	       "store_pause_ms", store_ms, "daemons_pause_ms", peers_ms,
	       "store_failures", failures, "daemons", daemons, NULL);
}

static void log_call_end(const gc_fleet_t *fleet, const char *call,
			 const gc_store_items_t *items, const GError *err)
{
	g_autofree char *ms =
		g_strdup_printf("%" G_GINT64_FORMAT,
				gc_ms_between(fleet->call_started,
					      gc_clock_now(fleet->conf.clock)));
	g_autofree char *n = g_strdup_printf("%zu", err ? 0 : items->n);

	gc_log(GC_LOG_DEBUG, GC_EVENT_CHANGES_CALL_ENDED,
	       "call for changes ended", "call", call, "ms", ms, "items", n,
	       "error", err ? err->message : "", NULL);
}

static void handle_store_error(gc_fleet_t *fleet, const GError *err)
{
	struct timespec now = gc_clock_now(fleet->conf.clock);

	if (fleet->store_reachable)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_STORE_LOST,
			     "the store can't be read", err);
	/* Without the store's change history, a full list is needed again. */
	if (g_error_matches(err, GC_ERROR, GC_ERR_LOST)) {
		discard_list(fleet);
		gc_change_source_store_lacks_history(&fleet->source, now);
	} else {
		fleet->store_reachable = false;
		gc_change_source_store_failed(&fleet->source, now);
	}
	if (fleet->list_complete)
		start_watch(fleet);
	else
		call_store_later(fleet);
}

/* The next call begins a full list. */
static void discard_list(gc_fleet_t *fleet)
{
	fleet->list_complete = false;
	g_string_truncate(fleet->last_key, 0);
}

/* Half to all of the time: daemons that start together are refused together
 * when their calls exceed the store's rate. */
static int64_t random_part(const gc_fleet_t *fleet, int64_t ms)
{
	const gc_random_t *random = fleet->conf.random;

	return ms -
	       (int64_t)(random->next(random->ctx) % (uint64_t)(ms / 2 + 1));
}

static void mark_store_reachable(gc_fleet_t *fleet)
{
	struct timespec at =
		reconnected_at(fleet, gc_clock_now(fleet->conf.clock));

	if (fleet->store_reachable)
		return;
	fleet->store_reachable = true;
	gc_registry_store_reconnected(fleet->servers, at);
	gc_registry_store_reconnected(fleet->daemons, at);
	if (fleet->registration)
		gc_registration_retry_now(fleet->registration);
	gc_log(GC_LOG_INFO, GC_EVENT_STORE_FOUND, "the store can be read",
	       NULL);
}

/* The first list of a daemon may take seconds, and most often the store was there all
 * the time: what leaves it meanwhile has gone. */
static struct timespec reconnected_at(const gc_fleet_t *fleet,
				      struct timespec now)
{
	struct timespec latest =
		gc_add_ms(fleet->created, fleet->conf.contact_ms -
						  fleet->conf.expiry_grace_ms -
						  CREATE_DELAY_MS);

	if (fleet->started || gc_us_between(latest, now) < 0)
		return now;
	return latest;
}

void gc_fleet_advance_confirmed(gc_fleet_t *fleet, struct timespec at)
{
	int64_t ms = at.tv_sec * INT64_C(1000) + at.tv_nsec / 1000000;

	if (!fleet->list_complete || !fleet->routes || fleet->config_in_doubt)
		return;
	if (ms > atomic_load(fleet->conf.confirmed))
		atomic_store(fleet->conf.confirmed, ms);
	fleet->conf.on_confirmed(fleet->conf.ctx,
				 atomic_load(fleet->conf.confirmed));
}

bool gc_is_confirmed_within(const gc_confirmed_time_t *confirmed,
			    struct timespec now, int64_t ms)
{
	int64_t age_ms = gc_confirmed_age_ms(confirmed, now);

	return age_ms >= 0 && age_ms <= ms;
}

int64_t gc_confirmed_age_ms(const gc_confirmed_time_t *confirmed,
			    struct timespec now)
{
	int64_t at = atomic_load(confirmed);

	if (at == 0)
		return -1;
	return now.tv_sec * INT64_C(1000) + now.tv_nsec / 1000000 - at;
}

static void on_expiry(void *ctx)
{
	gc_fleet_t *fleet = ctx;
	struct timespec now = gc_clock_now(fleet->conf.clock);
	int64_t next_ms; /* until the next expiry; -1: none */
	int64_t next_daemon_ms;
	bool removed;

	/* Entries are kept while the store is unreachable. */
	if (!fleet->store_reachable)
		return;
	removed = gc_registry_expire(fleet->servers, now, &next_ms);
	removed |= gc_registry_expire(fleet->daemons, now, &next_daemon_ms);
	if (removed)
		gc_fleet_publish(fleet);
	if (next_ms < 0 || (next_daemon_ms >= 0 && next_daemon_ms < next_ms))
		next_ms = next_daemon_ms;
	if (next_ms >= 0)
		gc_timer_set(fleet->expiry_timer, next_ms + 1);
}

void gc_fleet_unregister(gc_fleet_t *fleet)
{
	gc_registration_remove(fleet->registration);
}
