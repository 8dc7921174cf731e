/*
 * Operator configuration: reads and watches the record, takes newer versions,
 * passes them on to peers.
 */
#include <inttypes.h>
#include <string.h>

#include "core/error.h"
#include "lib/control_private.h"
#include "lib/log.h"
#include "lib/log_events.h"

#define WATCH_WAIT_S 30
/* Old versions kept, to tell operators what changed since theirs. */
#define KEPT_VERSIONS 8
/* A watcher reads this many times while a confirmation counts. */
#define READS_PER_CONFIRMATION 3

struct gc_control_config {
	gc_control_t *control;
	gc_config_t *current;
	char *text; /* of current, as sent to peers */
	GQueue kept; /* gc_config_t, latest first, current included */
	uint64_t index; /* of the record last read; 0: absent */
	uint64_t record_version;
	bool reading;
	bool watching;
	bool service_down;
	struct timespec read_started;
	struct timespec watch_started;
	gc_metric_t *version_gauge;
};

static int config_destructor(gc_control_config_t *config);
static void start_read(gc_control_config_t *config);
static void start_watch(gc_control_config_t *config);
static void on_read(void *ctx, gc_str_t value, uint64_t index,
		    const GError *err);
static void on_watch(void *ctx, gc_str_t value, uint64_t index,
		     const GError *err);
static void take_answer(gc_control_config_t *config, struct timespec started,
			gc_str_t value, uint64_t index, const GError *err);
static void note_service(gc_control_config_t *config, const GError *err);
static bool take_record(gc_control_config_t *config, gc_str_t value,
			uint64_t index);
static void keep(gc_control_config_t *config, gc_config_t *current,
		 gc_str_t text);
static void log_version(unsigned int event, const char *message,
			uint64_t version, const char *source);

gc_control_config_t *gc_control_config_create(gc_control_t *control)
{
	gc_control_config_t *config = talloc_zero(control, gc_control_config_t);

	config->control = control;
	g_queue_init(&config->kept);
	config->version_gauge =
		gc_gauge("goldcrest_config_version",
			 "Operator configuration held", NULL, NULL);
	talloc_set_destructor(config, config_destructor);
	start_read(config);
	return config;
}

static int config_destructor(gc_control_config_t *config)
{
	g_queue_clear_full(&config->kept, (GDestroyNotify)gc_config_unref);
	g_free(config->text);
	return 0;
}

/*
 * A watch reports changes early but confirms nothing while it is pending, so
 * watchers also read. Other daemons read when their confirmation runs out.
 */
void gc_control_config_tick(gc_control_t *control)
{
	gc_control_config_t *config = control->config;
	struct timespec now = gc_control_now(control);
	int64_t interval =
		control->settings->config_confirm_ms / READS_PER_CONFIRMATION;
	bool watcher = gc_membership_is_watcher(control->members, now);
	bool due = gc_ms_between(config->read_started, now) >= interval;

	if (watcher && !config->watching && config->index > 0)
		start_watch(config);
	if (config->reading)
		return;
	if ((watcher && due) ||
	    gc_membership_config_read_due(control->members, now))
		start_read(config);
}

static void start_read(gc_control_config_t *config)
{
	config->reading = true;
	config->read_started = gc_control_now(config->control);
	gc_kv_get(config->control->kv, GC_CONFIG_KEY, on_read, config);
}

static void start_watch(gc_control_config_t *config)
{
	config->watching = true;
	config->watch_started = gc_control_now(config->control);
	gc_kv_watch(config->control->kv, GC_CONFIG_KEY, config->index,
		    WATCH_WAIT_S, on_watch, config);
}

static void on_read(void *ctx, gc_str_t value, uint64_t index,
		    const GError *err)
{
	gc_control_config_t *config = ctx;

	config->reading = false;
	take_answer(config, config->read_started, value, index, err);
}

static void on_watch(void *ctx, gc_str_t value, uint64_t index,
		     const GError *err)
{
	gc_control_config_t *config = ctx;
	bool changed = !err && index > config->index;
	struct timespec now = gc_control_now(config->control);

	config->watching = false;
	take_answer(config, config->watch_started, value, index, err);
	/* An unchanged record could be answered at once again and again. */
	if (changed && gc_membership_is_watcher(config->control->members, now))
		start_watch(config);
}

static void take_answer(gc_control_config_t *config, struct timespec started,
			gc_str_t value, uint64_t index, const GError *err)
{
	gc_control_t *control = config->control;

	note_service(config, err);
	if (err) {
		gc_membership_on_config_read_failed(control->members, started);
		return;
	}
	if (index == 0) {
		config->index = 0;
		gc_membership_on_config_read(control->members, started, 0);
		return;
	}
	if (index != config->index && !take_record(config, value, index))
		return;
	gc_membership_on_config_read(control->members, started,
				     config->record_version);
	gc_control_changed(control);
}

static void note_service(gc_control_config_t *config, const GError *err)
{
	bool down = err != NULL;

	if (down == config->service_down)
		return;
	config->service_down = down;
	if (down)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_CONFIG_UNREADABLE,
			     "can't read the configuration", err);
	else
		gc_log(GC_LOG_INFO, GC_EVENT_CONFIG_READABLE,
		       "configuration can be read again", NULL);
}

/* False if the record holds no valid version. */
static bool take_record(gc_control_config_t *config, gc_str_t value,
			uint64_t index)
{
	gc_control_t *control = config->control;
	uint64_t own = gc_membership_version(control->members);
	json_t *document = json_loadb(value.data, value.len, 0, NULL);
	json_t *version = json_object_get(document, "version");
	uint64_t found =
		json_is_integer(version) ? json_integer_value(version) : 0;

	json_decref(document);
	if (found < own) {
		log_version(GC_EVENT_CONFIG_OLDER,
			    "the service holds an older version", found,
			    "key-value service");
		return false;
	}
	if (found > own &&
	    !gc_control_config_take(control, value, "key-value service"))
		return false;
	config->index = index;
	config->record_version = found;
	return true;
}

bool gc_control_config_take(gc_control_t *control, gc_str_t text,
			    const char *source)
{
	gc_control_config_t *config = control->config;
	json_t *document = json_loadb(text.data, text.len, 0, NULL);
	GError *err = NULL;
	gc_config_t *parsed = gc_config_parse(document, &err);

	json_decref(document);
	if (!parsed) {
		gc_log_error(GC_LOG_ERROR, GC_EVENT_CONFIG_INVALID,
			     "configuration is invalid", err);
		g_clear_error(&err);
		return false;
	}
	if (!gc_membership_adopt(control->members, gc_config_version(parsed))) {
		gc_config_unref(parsed);
		return false;
	}
	keep(config, parsed, text);
	gc_health_set_config(control->engines_health, parsed);
	gc_health_set_config(control->services_health, parsed);
	log_version(GC_EVENT_CONFIG_TAKEN, "took a configuration",
		    gc_config_version(parsed), source);
	gc_control_changed(control);
	/* Tells peers at once; those that are behind pull. */
	gc_control_send_heartbeats(control);
	return true;
}

static void keep(gc_control_config_t *config, gc_config_t *current,
		 gc_str_t text)
{
	config->current = current;
	g_queue_push_head(&config->kept, current);
	if (g_queue_get_length(&config->kept) > KEPT_VERSIONS)
		gc_config_unref(g_queue_pop_tail(&config->kept));
	g_free(config->text);
	config->text = g_strndup(text.data, text.len);
	gc_gauge_set(config->version_gauge,
		     (int64_t)gc_config_version(current));
}

static void log_version(unsigned int event, const char *message,
			uint64_t version, const char *source)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" PRIu64, version);
	gc_log(GC_LOG_INFO, event, message, "version", text, "source", source,
	       NULL);
}

gc_config_t *gc_control_config_current(const gc_control_t *control)
{
	return control->config->current;
}

gc_config_t *gc_control_config_version(const gc_control_t *control,
				       uint64_t version)
{
	for (GList *l = control->config->kept.head; l; l = l->next) {
		if (gc_config_version(l->data) == version)
			return l->data;
	}
	return NULL;
}

void gc_control_config_on_pull(gc_control_t *control, gc_str_t reply_to)
{
	const gc_control_config_t *config = control->config;

	if (!config->current)
		return;
	gc_peers_send_config(control->peers, reply_to,
			     gc_str(control->settings->instance),
			     gc_config_version(config->current),
			     gc_str(config->text));
}
