/*
 * Applies an operator's change: reads the record, patches and validates it,
 * writes it by compare-and-swap, and waits until half of the daemons hold the
 * new version. If the answer to the write is lost, the record is read back and
 * searched for the nonce of the change. A write that did not take effect is
 * repeated with the same index and content, so that at most one of the writes
 * can succeed.
 */
#include <inttypes.h>
#include <string.h>

#include <sodium.h>

#include "core/config_edit.h"
#include "core/error.h"
#include "lib/control_change.h"
#include "lib/log.h"
#include "lib/log_events.h"

#define NONCE_BYTES		     16
#define RETRY_DELAY_MS		     300
#define WRITE_TIMEOUT_MS	     10000 /* after it the result is in doubt */
#define ACKNOWLEDGE_TIMEOUT_MS	     3000
#define ACKNOWLEDGE_POLL_INTERVAL_MS 50

typedef struct change {
	gc_control_t *control;
	uint64_t if_match;
	json_t *patch;
	char nonce[NONCE_BYTES * 2 + 1];
	uint64_t base_index; /* of the record that the patch was applied to */
	char *new_text; /* the new document */
	bool write_sent;
	bool write_uncertain; /* a write may have taken effect */
	struct timespec deadline;
	gc_change_done_t done;
	void *ctx;
} change_t;

static int change_destructor(change_t *change);
static void on_start_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *ctx);
static void read_record(change_t *change);
static void on_reread_timer(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval now, void *ctx);
static void on_rewrite_timer(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *ctx);
static void on_record_read(void *ctx, gc_str_t value, uint64_t index,
			   const GError *err);
static void resolve_write(change_t *change, json_t *document, uint64_t index,
			  gc_str_t value);
static void apply_patch(change_t *change, json_t *document, uint64_t index);
static json_t *build_document(change_t *change, json_t *base, GError **err);
static bool check_patch(json_t *patch, GError **err);
static bool check_document(change_t *change, json_t *base, json_t *document,
			   GError **err);
static bool check_selectors(gc_control_t *control, json_t *base,
			    gc_config_t *config, GError **err);
static char *selector_errors(gc_control_t *control, gc_config_t *config);
static size_t append_instances(const gc_health_t *health, gc_config_t *config,
			       struct timespec now,
			       gc_labelled_instance_t *out);
static void write_record(change_t *change);
static void on_write_done(void *ctx, gc_kv_write_result_t result,
			  const GError *err);
static void complete_write(change_t *change, gc_str_t text);
static void on_acknowledge_timer(struct tevent_context *ev,
				 struct tevent_timer *te, struct timeval tv,
				 void *ctx);
static void retry_or_time_out(change_t *change, tevent_timer_handler_t retry);
static void finish_in_doubt(change_t *change);
static void finish_conflict(change_t *change, json_t *document);
static void finish_refused(change_t *change, GError *err);
static void finish(change_t *change, const gc_change_result_t *result);

void gc_control_change_config(gc_control_t *control, uint64_t if_match,
			      json_t *patch, gc_change_done_t done, void *ctx)
{
	change_t *change = talloc_zero(control, change_t);
	uint8_t nonce[NONCE_BYTES];

	change->control = control;
	change->if_match = if_match;
	change->patch = json_incref(patch);
	change->done = done;
	change->ctx = ctx;
	randombytes_buf(nonce, sizeof(nonce));
	sodium_bin2hex(change->nonce, sizeof(change->nonce), nonce,
		       sizeof(nonce));
	talloc_set_destructor(change, change_destructor);
	gc_control_add_timer(control, change, 0, on_start_timer, change);
}

static int change_destructor(change_t *change)
{
	json_decref(change->patch);
	g_free(change->new_text);
	return 0;
}

static void finish(change_t *change, const gc_change_result_t *result)
{
	change->done(change->ctx, result);
	talloc_free(change);
}

/* Frees err. */
static void finish_refused(change_t *change, GError *err)
{
	gc_change_result_t result = {.outcome = GC_CHANGE_REFUSED, .err = err};

	finish(change, &result);
	g_error_free(err);
}

static void on_start_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *ctx)
{
	change_t *change = ctx;
	gc_control_t *control = change->control;
	GError *err = NULL;

	change->deadline = gc_add_ms(gc_control_now(control), WRITE_TIMEOUT_MS);
	if (!gc_membership_may_accept_changes(control->membership,
					      gc_control_now(control)))
		gc_error_set(&err, GC_ERR_UNAVAILABLE, "change", NULL,
			     "this daemon receives heartbeats from less than "
			     "half of the known daemons");
	else if (!gc_control_instance_lists_read(control))
		gc_error_set(&err, GC_ERR_UNAVAILABLE, "change",
			     "instance list",
			     "the instance lists have not been read yet");
	if (err)
		finish_refused(change, err);
	else
		read_record(change);
}

static void read_record(change_t *change)
{
	gc_kv_get(change->control->kv, GC_CONFIG_KEY, on_record_read, change);
}

static void on_record_read(void *ctx, gc_str_t value, uint64_t index,
			   const GError *err)
{
	change_t *change = ctx;
	json_t *document;

	if (err && change->write_sent) {
		retry_or_time_out(change, on_reread_timer);
		return;
	}
	if (err) {
		finish_refused(change, g_error_copy(err));
		return;
	}
	document = index ? json_loadb(value.data, value.len, 0, NULL)
			 : json_object();
	if (change->write_sent)
		resolve_write(change, document, index, value);
	else
		apply_patch(change, document, index);
	json_decref(document);
}

/* Decides from the record whether a write took effect. */
static void resolve_write(change_t *change, json_t *document, uint64_t index,
			  gc_str_t value)
{
	uint64_t written_version =
		gc_config_version_of_nonce(document, change->nonce);
	uint64_t current_version =
		json_integer_value(json_object_get(document, "version"));

	if (written_version == change->if_match + 1)
		complete_write(change, value);
	else if (index == change->base_index)
		retry_or_time_out(change, on_rewrite_timer);
	else if (change->write_uncertain &&
		 current_version > change->if_match + GC_CONFIG_MAX_CHANGES)
		/* Later changes may have dropped the nonce from the record. */
		finish_in_doubt(change);
	else
		finish_conflict(change, document);
}

static void finish_conflict(change_t *change, json_t *document)
{
	gc_config_t *old_config = gc_control_config_find_version(
		change->control, change->if_match);
	json_t *version = json_object_get(document, "version");
	json_t *empty = json_object();
	gc_change_result_t result = {
		.outcome = GC_CHANGE_CONFLICT,
		.version = json_integer_value(version),
	};

	/* Unknown if this daemon no longer keeps version if_match. */
	if (old_config)
		result.changed_paths = gc_config_changed_paths(
			gc_config_document(old_config), document);
	else if (change->if_match == 0)
		result.changed_paths = gc_config_changed_paths(empty, document);
	finish(change, &result);
	json_decref(result.changed_paths);
	json_decref(empty);
}

static void apply_patch(change_t *change, json_t *document, uint64_t index)
{
	gc_control_t *control = change->control;
	uint64_t version =
		json_integer_value(json_object_get(document, "version"));
	GError *err = NULL;
	json_t *new_document;

	if (version < gc_membership_version(control->membership)) {
		gc_error_set(&err, GC_ERR_UNAVAILABLE, "change",
			     "key-value service",
			     "the stored configuration is older than that of "
			     "this daemon");
		finish_refused(change, err);
		return;
	}
	if (version != change->if_match) {
		finish_conflict(change, document);
		return;
	}
	new_document = build_document(change, document, &err);
	if (!new_document) {
		finish_refused(change, err);
		return;
	}
	change->base_index = index;
	change->new_text =
		json_dumps(new_document, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(new_document);
	if (strlen(change->new_text) > GC_CONFIG_MAX_BYTES) {
		gc_error_set(&err, GC_ERR_TOO_LARGE, "change", NULL,
			     "the configuration would exceed the limit of %d "
			     "bytes",
			     GC_CONFIG_MAX_BYTES);
		finish_refused(change, err);
		return;
	}
	write_record(change);
}

static json_t *build_document(change_t *change, json_t *base, GError **err)
{
	json_t *document;

	if (!check_patch(change->patch, err))
		return NULL;
	document = gc_config_merge(base, change->patch);
	gc_config_record_change(document, change->if_match + 1, change->nonce,
				change->control->settings->instance);
	if (check_document(change, base, document, err))
		return document;
	json_decref(document);
	return NULL;
}

static bool check_patch(json_t *patch, GError **err)
{
	const char *reserved_key = NULL;

	if (!json_is_object(patch)) {
		gc_error_set(err, GC_ERR_INVALID, "change", NULL,
			     "patch: not an object");
		return false;
	}
	if (json_object_get(patch, "version"))
		reserved_key = "version";
	else if (json_object_get(patch, "changes"))
		reserved_key = "changes";
	if (!reserved_key)
		return true;
	gc_error_set(err, GC_ERR_INVALID, "change", NULL,
		     "%s: set by the system", reserved_key);
	return false;
}

static bool check_document(change_t *change, json_t *base, json_t *document,
			   GError **err)
{
	gc_config_t *config = gc_config_parse(document, err);
	bool ok;

	if (!config)
		return false;
	ok = check_selectors(change->control, base, config, err);
	gc_config_unref(config);
	return ok;
}

/*
 * Refuses selector errors that the change adds. Errors that the old version has
 * too are accepted: an instance that died must not keep operators from changing
 * something else.
 */
static bool check_selectors(gc_control_t *control, json_t *base,
			    gc_config_t *config, GError **err)
{
	gc_config_t *old_config = gc_config_parse(base, NULL);
	g_autofree char *old_errors =
		old_config ? selector_errors(control, old_config) : NULL;
	g_autofree char *new_errors = selector_errors(control, config);
	g_auto(GStrv) old_lines =
		g_strsplit(old_errors ? old_errors : "", "\n", -1);
	g_auto(GStrv) new_lines = g_strsplit(new_errors, "\n", -1);
	g_autoptr(GString) added_errors = g_string_new(NULL);

	gc_config_unref(old_config);
	for (char **line = new_lines; *line; line++) {
		if (!**line ||
		    g_strv_contains((const char *const *)old_lines, *line))
			continue;
		g_string_append_printf(added_errors, "%s%s",
				       added_errors->len ? "\n" : "", *line);
	}
	if (added_errors->len == 0)
		return true;
	gc_error_set(err, GC_ERR_INVALID, "change", NULL, "%s",
		     added_errors->str);
	return false;
}

/* Returns one line per error, empty if there are none; free with g_free. */
static char *selector_errors(gc_control_t *control, gc_config_t *config)
{
	struct timespec now = gc_control_now(control);
	size_t max = gc_health_count(control->engine_health) +
		     gc_health_count(control->server_health);
	gc_labelled_instance_t *instances =
		g_new0(gc_labelled_instance_t, max + 1);
	GError *err = NULL;
	char *text;
	size_t n;

	n = append_instances(control->engine_health, config, now, instances);
	n += append_instances(control->server_health, config, now,
			      instances + n);
	if (gc_config_check_selectors(config, instances, n, &err))
		text = g_strdup("");
	else
		text = g_strdup(err->message);
	for (size_t i = 0; i < n; i++)
		json_decref(instances[i].labels);
	g_free(instances);
	g_clear_error(&err);
	return text;
}

/* Copies the instances with their labels to out; returns their number. */
static size_t append_instances(const gc_health_t *health, gc_config_t *config,
			       struct timespec now, gc_labelled_instance_t *out)
{
	gc_health_instance_t instance;
	size_t n = gc_health_count(health);

	for (size_t i = 0; i < n; i++) {
		gc_health_get(health, now, i, &instance);
		out[i].name = instance.name;
		out[i].labels = gc_config_merge_labels(config, instance.name,
						       instance.listed_labels);
	}
	return n;
}

static void write_record(change_t *change)
{
	change->write_sent = true;
	gc_kv_cas(change->control->kv, GC_CONFIG_KEY, change->base_index,
		  gc_str(change->new_text), on_write_done, change);
}

static void on_write_done(void *ctx, gc_kv_write_result_t result,
			  const GError *err)
{
	change_t *change = ctx;

	if (result == GC_KV_WRITTEN) {
		complete_write(change, gc_str(change->new_text));
		return;
	}
	if (err && !change->write_uncertain &&
	    (result == GC_KV_CONFLICT || err->code == GC_ERR_UNAVAILABLE)) {
		/* Refused or never sent; no earlier write took effect. */
		finish_refused(change, g_error_copy(err));
		return;
	}
	/* The conflicting version may be an earlier write of this change. */
	if (result == GC_KV_CONFLICT) {
		read_record(change);
		return;
	}
	change->write_uncertain = true;
	retry_or_time_out(change, on_reread_timer);
}

static void retry_or_time_out(change_t *change, tevent_timer_handler_t retry)
{
	struct timespec now = gc_control_now(change->control);

	if (gc_ms_between(now, change->deadline) > 0)
		gc_control_add_timer(change->control, change, RETRY_DELAY_MS,
				     retry, change);
	else
		finish_in_doubt(change);
}

static void finish_in_doubt(change_t *change)
{
	gc_change_result_t result = {.outcome = GC_CHANGE_IN_DOUBT,
				     .version = change->if_match + 1};

	finish(change, &result);
}

static void on_rewrite_timer(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *ctx)
{
	write_record(ctx);
}

static void on_reread_timer(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval now, void *ctx)
{
	read_record(ctx);
}

static void complete_write(change_t *change, gc_str_t text)
{
	gc_control_t *control = change->control;
	struct timespec now = gc_control_now(control);

	gc_log(GC_LOG_INFO, GC_EVENT_CONFIG_WRITTEN,
	       "configuration change written", "nonce", change->nonce, NULL);
	gc_control_config_apply(control, text, "operator");
	change->deadline = gc_add_ms(now, ACKNOWLEDGE_TIMEOUT_MS);
	gc_control_add_timer(control, change, 0, on_acknowledge_timer, change);
}

static void on_acknowledge_timer(struct tevent_context *ev,
				 struct tevent_timer *te, struct timeval tv,
				 void *ctx)
{
	change_t *change = ctx;
	gc_control_t *control = change->control;
	struct timespec now = gc_control_now(control);
	gc_change_result_t result = {.outcome = GC_CHANGE_ACCEPTED,
				     .version = change->if_match + 1};

	if (!gc_membership_acknowledged(control->membership, now,
					result.version)) {
		if (gc_ms_between(now, change->deadline) > 0) {
			gc_control_add_timer(control, change,
					     ACKNOWLEDGE_POLL_INTERVAL_MS,
					     on_acknowledge_timer, change);
			return;
		}
		result.outcome = GC_CHANGE_WRITTEN;
	}
	finish(change, &result);
}
