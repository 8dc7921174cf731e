/* The operator's configuration: which one is in force. */
#include "lib/fleet_private.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"

/* Longest wait for what other daemons know of the configuration, at a start. */
#define START_WAIT_MS 400
/* Longest piece of work on a configuration at a time. */
#define PIECE_US 2000
/* Routes that are decoded between two looks at the clock. */
#define PIECE_ROUTES 8

/* A record that is being read. */
typedef struct reading {
	gc_fleet_t *fleet;
	gc_routes_reader_t *routes;
	uint64_t version; /* G_MAXUINT64: not known before the end */
	uint64_t revision; /* of the store; 0: the record is another daemon's */
	size_t bytes;
	int64_t us; /* spent on it */
} reading_t;

static reading_t *start_reading(gc_fleet_t *fleet, gc_str_t record,
				const gc_logged_change_t *change,
				uint64_t revision);
static void end_reading(void *data);
static gint compare_readings(gconstpointer a, gconstpointer b);
static void drop_older(gc_fleet_t *fleet, uint64_t version);
static bool step_reading(reading_t *reading, gc_routes_t **routes);
static void take_routes(reading_t *reading, gc_routes_t *routes);
static void on_config_found(void *ctx, bool known, gc_str_t record);
static void end_doubt(gc_fleet_t *fleet, const char *reason);

GPtrArray *gc_fleet_create_readings(void)
{
	return g_ptr_array_new_with_free_func(end_reading);
}

void gc_fleet_start_config(gc_fleet_t *fleet, const gc_store_item_t *item,
			   const gc_logged_change_t *change)
{
	g_ptr_array_add(fleet->readings, start_reading(fleet, item->value,
						       change, item->revision));
	g_ptr_array_sort(fleet->readings, compare_readings);
}

/* By version; the store's order decides between records of one version. */
static gint compare_readings(gconstpointer a, gconstpointer b)
{
	const reading_t *left = *(reading_t *const *)a;
	const reading_t *right = *(reading_t *const *)b;

	if (left->version != right->version)
		return left->version < right->version ? -1 : 1;
	return left->revision < right->revision ? -1 : 1;
}

/* Of several records the highest version counts, as if all were taken in turn. The
 * others are read only if it isn't valid. */
bool gc_fleet_step_config(gc_fleet_t *fleet)
{
	struct timespec start = gc_clock_now(fleet->conf.clock);

	while (fleet->readings->len > 0) {
		guint last = fleet->readings->len - 1;
		reading_t *reading = g_ptr_array_index(fleet->readings, last);
		gc_routes_t *routes;

		if (!step_reading(reading, &routes)) {
			if (gc_us_between(start,
					  gc_clock_now(fleet->conf.clock)) <
			    PIECE_US)
				continue;
			return false;
		}
		if (!routes) {
			g_ptr_array_set_size(fleet->readings, (gint)last);
			continue;
		}
		drop_older(fleet, gc_routes_version(routes));
		take_routes(reading, routes);
		/* Not in the copy, but written since. */
		if (fleet->list_complete)
			end_doubt(fleet, "the operator has written it");
		g_ptr_array_remove(fleet->readings, reading);
	}
	return true;
}

/* Records that can't be newer than one of this version, but for the last one. */
static void drop_older(gc_fleet_t *fleet, uint64_t version)
{
	for (guint i = fleet->readings->len - 1; i-- > 0;) {
		const reading_t *reading =
			g_ptr_array_index(fleet->readings, i);

		if (reading->version > version)
			continue;
		fleet->config_revision =
			MAX(fleet->config_revision, reading->revision);
		g_ptr_array_remove_index(fleet->readings, i);
	}
}

/* change: NULL if the record wasn't logged. */
static reading_t *start_reading(gc_fleet_t *fleet, gc_str_t record,
				const gc_logged_change_t *change,
				uint64_t revision)
{
	const gc_adapter_t *adapter = fleet->conf.adapter;
	struct timespec start = gc_clock_now(fleet->conf.clock);
	reading_t *reading = g_new0(reading_t, 1);

	reading->fleet = fleet;
	reading->revision = revision;
	reading->bytes = record.len;
	reading->version = adapter->config_version(record);
	reading->routes = change ? adapter->start_change(change, fleet->routes)
				 : adapter->start_routes(record, fleet->routes);
	reading->us = gc_us_between(start, gc_clock_now(fleet->conf.clock));
	return reading;
}

static void end_reading(void *data)
{
	reading_t *reading = data;

	reading->fleet->conf.adapter->end_routes(reading->routes);
	g_free(reading);
}

/* True at the end, with NULL for an invalid record. */
static bool step_reading(reading_t *reading, gc_routes_t **routes)
{
	const gc_fleet_conf_t *conf = &reading->fleet->conf;
	struct timespec start = gc_clock_now(conf->clock);
	g_autoptr(GError) err = NULL;
	bool done = conf->adapter->step_routes(reading->routes, PIECE_ROUTES,
					       routes, &err);

	reading->us += gc_us_between(start, gc_clock_now(conf->clock));
	if (done && !*routes)
		gc_log_error(GC_LOG_ERROR, GC_EVENT_ROUTES_UNREADABLE,
			     "ignoring invalid operator configuration", err);
	return done;
}

/* An older configuration than the one that is known is left out. */
static void take_routes(reading_t *reading, gc_routes_t *routes)
{
	gc_fleet_t *fleet = reading->fleet;
	g_autofree char *version = g_strdup_printf("%" G_GUINT64_FORMAT,
						   gc_routes_version(routes));
	g_autofree char *revision =
		g_strdup_printf("%" G_GUINT64_FORMAT, reading->revision);
	g_autofree char *bytes = g_strdup_printf("%zu", reading->bytes);
	g_autofree char *read_us =
		g_strdup_printf("%" G_GINT64_FORMAT, reading->us);

	fleet->config_revision = MAX(fleet->config_revision, reading->revision);
	if (fleet->routes &&
	    gc_routes_version(routes) < gc_routes_version(fleet->routes)) {
		gc_routes_unref(routes);
		return;
	}
	gc_routes_unref(fleet->routes);
	fleet->routes = routes;
	fleet->has_new_routes = true;
	gc_gauge_set(gc_config_change_us("read"), reading->us);
	gc_log(GC_LOG_INFO, GC_EVENT_ROUTES_TAKEN,
	       "operator configuration loaded", "version", version, "revision",
	       revision, "bytes", bytes, "read_us", read_us, NULL);
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

	if (record.len > 0) {
		reading_t *reading = start_reading(fleet, record, NULL, 0);
		gc_routes_t *routes;

		while (!step_reading(reading, &routes))
			;
		if (routes)
			take_routes(reading, routes);
		end_reading(reading);
	}
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
