/*
 * Operator configuration: reads and watches the record in the key-value
 * service, applies newer versions and sends them to peers.
 */
#include <inttypes.h>
#include <string.h>

#include "core/error.h"
#include "lib/control_private.h"
#include "lib/log.h"
#include "lib/log_events.h"

#define WATCH_WAIT_S 30
/* Kept to report what changed since the version that an operator edited. */
#define MAX_KEPT_VERSIONS 8
/* Reads of the record by a watcher in each config_confirm_ms. */
#define READS_PER_CONFIRM_PERIOD 3

struct gc_control_config {
	gc_control_t *control;
	gc_config_t *current;
	char *current_text; /* the document, as sent to peers */
	GQueue kept_versions; /* gc_config_t, newest first; includes current */
	uint64_t record_index; /* of the record last read; 0: absent */
	uint64_t record_version;
	bool reading;
	bool watching;
	bool read_failing;
	struct timespec read_started;
	struct timespec watch_started;
	gc_metric_t *version_gauge;
};

static int config_destructor(gc_control_config_t *config);
static void start_read(gc_control_config_t *config);
static void start_watch(gc_control_config_t *config);
static void on_read_done(void *ctx, gc_str_t value, uint64_t index,
			 const GError *err);
static void on_watch_done(void *ctx, gc_str_t value, uint64_t index,
			  const GError *err);
static void handle_answer(gc_control_config_t *config, struct timespec started,
			  gc_str_t value, uint64_t index, const GError *err);
static void log_service_state(gc_control_config_t *config, const GError *err);
static bool apply_record(gc_control_config_t *config, gc_str_t value,
			 uint64_t index);
static void set_current(gc_control_config_t *config, gc_config_t *current,
			gc_str_t text);
static void log_version(unsigned int event, const char *message,
			uint64_t version, const char *source);

gc_control_config_t *gc_control_config_create(gc_control_t *control)
{
	gc_control_config_t *config = talloc_zero(control, gc_control_config_t);

	config->control = control;
	g_queue_init(&config->kept_versions);
	config->version_gauge =
		gc_gauge("goldcrest_config_version",
			 "Operator configuration held", NULL, NULL);
	talloc_set_destructor(config, config_destructor);
	start_read(config);
	return config;
}

static int config_destructor(gc_control_config_t *config)
{
	g_queue_clear_full(&config->kept_versions,
			   (GDestroyNotify)gc_config_unref);
	g_free(config->current_text);
	return 0;
}

/*
 * A watch reports changes early, but doesn't confirm the version while it is
 * pending, so watchers also read. Other daemons read when their confirmation is
 * about to expire.
 */
void gc_control_config_poll(gc_control_t *control)
{
	gc_control_config_t *config = control->config;
	struct timespec now = gc_control_now(control);
	int64_t interval =
		control->settings->config_confirm_ms / READS_PER_CONFIRM_PERIOD;
	bool watcher = gc_membership_is_watcher(control->membership, now);
	bool due = gc_ms_between(config->read_started, now) >= interval;

	if (watcher && !config->watching && config->record_index > 0)
		start_watch(config);
	if (config->reading)
		return;
	if ((watcher && due) ||
	    gc_membership_config_read_due(control->membership, now))
		start_read(config);
}

static void start_read(gc_control_config_t *config)
{
	config->reading = true;
	config->read_started = gc_control_now(config->control);
	gc_kv_get(config->control->kv, GC_CONFIG_KEY, on_read_done, config);
}

static void start_watch(gc_control_config_t *config)
{
	config->watching = true;
	config->watch_started = gc_control_now(config->control);
	gc_kv_watch(config->control->kv, GC_CONFIG_KEY, config->record_index,
		    WATCH_WAIT_S, on_watch_done, config);
}

static void on_read_done(void *ctx, gc_str_t value, uint64_t index,
			 const GError *err)
{
	gc_control_config_t *config = ctx;

	config->reading = false;
	handle_answer(config, config->read_started, value, index, err);
}

static void on_watch_done(void *ctx, gc_str_t value, uint64_t index,
			  const GError *err)
{
	gc_control_config_t *config = ctx;
	bool changed = !err && index > config->record_index;
	struct timespec now = gc_control_now(config->control);

	config->watching = false;
	handle_answer(config, config->watch_started, value, index, err);
	/*
	 * If nothing changed, the next poll restarts the watch: a service that
	 * answers at once would be called in a tight loop.
	 */
	if (changed &&
	    gc_membership_is_watcher(config->control->membership, now))
		start_watch(config);
}

static void handle_answer(gc_control_config_t *config, struct timespec started,
			  gc_str_t value, uint64_t index, const GError *err)
{
	gc_control_t *control = config->control;

	log_service_state(config, err);
	if (err) {
		gc_membership_on_config_read_failed(control->membership,
						    started);
		return;
	}
	if (index == 0) {
		config->record_index = 0;
		gc_membership_on_config_read(control->membership, started, 0);
		return;
	}
	if (index != config->record_index &&
	    !apply_record(config, value, index))
		return;
	gc_membership_on_config_read(control->membership, started,
				     config->record_version);
	gc_control_schedule_publish(control);
}

static void log_service_state(gc_control_config_t *config, const GError *err)
{
	bool failing = err != NULL;

	if (failing == config->read_failing)
		return;
	config->read_failing = failing;
	if (failing)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_CONFIG_UNREADABLE,
			     "can't read the configuration", err);
	else
		gc_log(GC_LOG_INFO, GC_EVENT_CONFIG_READABLE,
		       "configuration can be read again", NULL);
}

/* False if the record is invalid or older than the current version. */
static bool apply_record(gc_control_config_t *config, gc_str_t value,
			 uint64_t index)
{
	gc_control_t *control = config->control;
	uint64_t own_version = gc_membership_version(control->membership);
	json_t *document = json_loadb(value.data, value.len, 0, NULL);
	json_t *version = json_object_get(document, "version");
	uint64_t stored_version =
		json_is_integer(version) ? json_integer_value(version) : 0;

	json_decref(document);
	if (stored_version < own_version) {
		log_version(GC_EVENT_CONFIG_OLDER,
			    "stored configuration is older than this daemon's",
			    stored_version, "key-value service");
		return false;
	}
	if (stored_version > own_version &&
	    !gc_control_config_apply(control, value, "key-value service"))
		return false;
	config->record_index = index;
	config->record_version = stored_version;
	return true;
}

bool gc_control_config_apply(gc_control_t *control, gc_str_t text,
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
	if (!gc_membership_adopt(control->membership,
				 gc_config_version(parsed))) {
		gc_config_unref(parsed);
		return false;
	}
	set_current(config, parsed, text);
	gc_health_set_config(control->engine_health, parsed);
	gc_health_set_config(control->server_health, parsed);
	log_version(GC_EVENT_CONFIG_TAKEN, "configuration applied",
		    gc_config_version(parsed), source);
	gc_control_schedule_publish(control);
	/* Announces the version; peers with an older one pull it. */
	gc_control_send_heartbeats(control);
	return true;
}

static void set_current(gc_control_config_t *config, gc_config_t *current,
			gc_str_t text)
{
	config->current = current;
	g_queue_push_head(&config->kept_versions, current);
	if (g_queue_get_length(&config->kept_versions) > MAX_KEPT_VERSIONS)
		gc_config_unref(g_queue_pop_tail(&config->kept_versions));
	g_free(config->current_text);
	config->current_text = g_strndup(text.data, text.len);
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

gc_config_t *gc_control_config_find_version(const gc_control_t *control,
					    uint64_t version)
{
	for (GList *l = control->config->kept_versions.head; l; l = l->next) {
		if (gc_config_version(l->data) == version)
			return l->data;
	}
	return NULL;
}

void gc_control_config_send(gc_control_t *control, gc_str_t reply_to)
{
	const gc_control_config_t *config = control->config;

	if (!config->current)
		return;
	gc_peers_send_config(control->peers, reply_to,
			     gc_str(control->settings->instance),
			     gc_config_version(config->current),
			     gc_str(config->current_text));
}
