/* The operator's configuration: which one is in force. */
#include "lib/fleet_private.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"

/* Longest wait for what other daemons know of the configuration, at a start. */
#define START_WAIT_MS 400

static bool take_config(gc_fleet_t *fleet, gc_str_t record, uint64_t revision);
static void on_config_found(void *ctx, bool known, gc_str_t record);
static void end_doubt(gc_fleet_t *fleet, const char *reason);

void gc_fleet_apply_config(gc_fleet_t *fleet, const gc_store_item_t *item)
{
	if (!take_config(fleet, item->value, item->revision))
		return;
	fleet->config_revision = item->revision;
	/* Not in the copy, but written since. */
	if (fleet->list_complete)
		end_doubt(fleet, "the operator has written it");
}

/* An older configuration than the one that is known is left out. revision: of the store;
 * 0: the record is another daemon's. False if the record isn't valid. */
static bool take_config(gc_fleet_t *fleet, gc_str_t record, uint64_t revision)
{
	g_autoptr(GError) err = NULL;
	g_autofree char *version = NULL;
	g_autofree char *revision_text =
		g_strdup_printf("%" G_GUINT64_FORMAT, revision);
	g_autofree char *bytes = g_strdup_printf("%zu", record.len);
	g_autofree char *read_us = NULL;
	struct timespec start = gc_clock_now(fleet->conf.clock);
	gc_routes_t *routes =
		fleet->conf.adapter->read_routes(record, fleet->routes, &err);
	int64_t us = gc_us_between(start, gc_clock_now(fleet->conf.clock));

	if (!routes) {
		gc_log_error(GC_LOG_ERROR, GC_EVENT_ROUTES_UNREADABLE,
			     "ignoring invalid operator configuration", err);
		return false;
	}
	if (fleet->routes &&
	    gc_routes_version(routes) < gc_routes_version(fleet->routes)) {
		gc_routes_unref(routes);
		return true;
	}
	gc_routes_unref(fleet->routes);
	fleet->routes = routes;
	fleet->has_new_routes = true;
	version = g_strdup_printf("%" G_GUINT64_FORMAT,
				  gc_routes_version(routes));
	read_us = g_strdup_printf("%" G_GINT64_FORMAT, us);
	gc_gauge_set(gc_config_change_us("read"), us);
	gc_log(GC_LOG_INFO, GC_EVENT_ROUTES_TAKEN,
	       "operator configuration loaded", "version", version, "revision",
	       revision_text, "bytes", bytes, "read_us", read_us, NULL);
	return true;
}

void gc_fleet_check_config(gc_fleet_t *fleet)
{
	bool restored =
		fleet->kept_era != 0 && fleet->kept_era < fleet->known_era;

	gc_timer_set(fleet->doubt_timer,
		     restored ? fleet->conf.config_wait_ms : START_WAIT_MS);
	if (restored)
		gc_log(GC_LOG_WARNING, GC_EVENT_CONFIG_IN_DOUBT,
		       "the store's configuration may be older than the one "
		       "in force",
		       NULL);
	gc_config_peer_start(fleet->conf.config_peer, fleet->view,
			     gc_routes_version(fleet->routes), restored,
			     on_config_found, fleet);
}

static void on_config_found(void *ctx, bool known, gc_str_t record)
{
	gc_fleet_t *fleet = ctx;

	if (record.len > 0)
		take_config(fleet, record, 0);
	end_doubt(fleet, known ? "another daemon knows it"
			       : "no other daemon knows one");
}

void gc_fleet_on_doubt_timeout(void *ctx)
{
	end_doubt(ctx, "no other daemon answered in time");
}

static void end_doubt(gc_fleet_t *fleet, const char *reason)
{
	if (!fleet->config_in_doubt)
		return;
	fleet->config_in_doubt = false;
	gc_timer_stop(fleet->doubt_timer);
	if (fleet->conf.config_peer)
		gc_config_peer_stop(fleet->conf.config_peer);
	gc_log(GC_LOG_INFO, GC_EVENT_CONFIG_IN_FORCE,
	       "the configuration is in force", "reason", reason, NULL);
	gc_fleet_publish(fleet);
	gc_fleet_advance_confirmed(fleet, fleet->list_started);
}

gc_str_t gc_fleet_config_record(const gc_fleet_t *fleet, uint64_t *version)
{
	if (!fleet->routes || fleet->config_in_doubt)
		return GC_STR_EMPTY;
	*version = gc_routes_version(fleet->routes);
	return gc_routes_record(fleet->routes);
}
