/*
 * An operator's change: read the record, patch, check, compare-and-swap, and
 * wait until half of the daemons hold the new version. A lost answer of the
 * write is resolved by reading the record back and looking for the change's
 * nonce; an undecided write is repeated with the same index and content, so
 * that at most one of the writes takes effect.
 */
#include <inttypes.h>
#include <string.h>

#include <sodium.h>

#include "core/config_edit.h"
#include "core/error.h"
#include "lib/control_change.h"
#include "lib/log.h"
#include "lib/log_events.h"

#define NONCE_BYTES	    16
#define RETRY_MS	    300
#define DECIDE_MS	    10000 /* for a definite answer about the write */
#define ACKNOWLEDGE_MS	    3000
#define ACKNOWLEDGE_POLL_MS 50

typedef struct change {
	gc_control_t *control;
	uint64_t if_match;
	json_t *patch;
	char nonce[NONCE_BYTES * 2 + 1];
	uint64_t index; /* of the record that the patch was applied to */
	char *text; /* the new document */
	bool written; /* a write was tried */
	bool uncertain; /* and may have taken effect */
	struct timespec deadline;
	gc_change_done_t done;
	void *ctx;
} change_t;

static int change_destructor(change_t *change);
static void on_start(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static void read_record(change_t *change);
static void on_reread(struct tevent_context *ev, struct tevent_timer *te,
		      struct timeval now, void *ctx);
static void on_rewrite(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *ctx);
static void on_record(void *ctx, gc_str_t value, uint64_t index,
		      const GError *err);
static void decide_write(change_t *change, json_t *document, uint64_t index,
			 gc_str_t value);
static void apply(change_t *change, json_t *document, uint64_t index);
static json_t *make_document(change_t *change, json_t *base, GError **err);
static bool check_patch(json_t *patch, GError **err);
static bool check_document(change_t *change, json_t *base, json_t *document,
			   GError **err);
static bool check_selectors(gc_control_t *control, json_t *base,
			    gc_config_t *config, GError **err);
static char *selector_errors(gc_control_t *control, gc_config_t *config);
static size_t add_labelled(const gc_health_t *health, gc_config_t *config,
			   struct timespec now, gc_labelled_instance_t *out);
static void write_record(change_t *change);
static void on_written(void *ctx, gc_kv_put_t result, const GError *err);
static void accept(change_t *change, gc_str_t text);
static void on_acknowledge(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *ctx);
static void retry_or_give_up(change_t *change, tevent_timer_handler_t retry);
static void finish_in_doubt(change_t *change);
static void finish_conflict(change_t *change, json_t *document);
static void refuse(change_t *change, GError *err);
static void finish(change_t *change, const gc_change_result_t *result);

void gc_control_change(gc_control_t *control, uint64_t if_match, json_t *patch,
		       gc_change_done_t done, void *ctx)
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
	gc_control_after_ms(control, change, 0, on_start, change);
}

static int change_destructor(change_t *change)
{
	json_decref(change->patch);
	g_free(change->text);
	return 0;
}

static void finish(change_t *change, const gc_change_result_t *result)
{
	change->done(change->ctx, result);
	talloc_free(change);
}

/* Takes err. */
static void refuse(change_t *change, GError *err)
{
	gc_change_result_t result = {.state = GC_CHANGE_REFUSED, .err = err};

	finish(change, &result);
	g_error_free(err);
}

static void on_start(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	change_t *change = ctx;
	gc_control_t *control = change->control;
	GError *err = NULL;

	change->deadline = gc_add_ms(gc_control_now(control), DECIDE_MS);
	if (!gc_membership_may_accept_changes(control->members,
					      gc_control_now(control)))
		gc_error_set(&err, GC_ERR_UNAVAILABLE, "change", NULL,
			     "this daemon hears less than half of the known "
			     "daemons");
	else if (!gc_control_engines_listed(control))
		gc_error_set(&err, GC_ERR_UNAVAILABLE, "change",
			     "instance list", "the list was not read yet");
	if (err)
		refuse(change, err);
	else
		read_record(change);
}

static void read_record(change_t *change)
{
	gc_kv_get(change->control->kv, GC_CONFIG_KEY, on_record, change);
}

static void on_record(void *ctx, gc_str_t value, uint64_t index,
		      const GError *err)
{
	change_t *change = ctx;
	json_t *document;

	if (err && change->written) {
		retry_or_give_up(change, on_reread);
		return;
	}
	if (err) {
		refuse(change, g_error_copy(err));
		return;
	}
	document = index ? json_loadb(value.data, value.len, 0, NULL)
			 : json_object();
	if (change->written)
		decide_write(change, document, index, value);
	else
		apply(change, document, index);
	json_decref(document);
}

/* A write was sent; the record tells if it took effect. */
static void decide_write(change_t *change, json_t *document, uint64_t index,
			 gc_str_t value)
{
	uint64_t version = gc_config_version_of_nonce(document, change->nonce);

	uint64_t current =
		json_integer_value(json_object_get(document, "version"));

	if (version == change->if_match + 1)
		accept(change, value);
	else if (index == change->index)
		retry_or_give_up(change, on_rewrite);
	else if (change->uncertain &&
		 current > change->if_match + GC_CONFIG_MAX_CHANGES)
		finish_in_doubt(change); /* its nonce can be gone again */
	else
		finish_conflict(change, document);
}

static void finish_conflict(change_t *change, json_t *document)
{
	gc_config_t *old =
		gc_control_config_version(change->control, change->if_match);
	json_t *version = json_object_get(document, "version");
	json_t *nothing = json_object();
	gc_change_result_t result = {
		.state = GC_CHANGE_CONFLICT,
		.version = json_integer_value(version),
	};

	/* Old versions aren't kept for long; then nobody knows. */
	if (old)
		result.changed = gc_config_changed_paths(
			gc_config_document(old), document);
	else if (change->if_match == 0)
		result.changed = gc_config_changed_paths(nothing, document);
	finish(change, &result);
	json_decref(result.changed);
	json_decref(nothing);
}

static void apply(change_t *change, json_t *document, uint64_t index)
{
	gc_control_t *control = change->control;
	uint64_t version =
		json_integer_value(json_object_get(document, "version"));
	GError *err = NULL;
	json_t *changed;

	if (version < gc_membership_version(control->members)) {
		gc_error_set(&err, GC_ERR_UNAVAILABLE, "change",
			     "key-value service",
			     "the service holds an older version than this "
			     "daemon");
		refuse(change, err);
		return;
	}
	if (version != change->if_match) {
		finish_conflict(change, document);
		return;
	}
	changed = make_document(change, document, &err);
	if (!changed) {
		refuse(change, err);
		return;
	}
	change->index = index;
	change->text = json_dumps(changed, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(changed);
	if (strlen(change->text) > GC_CONFIG_MAX_BYTES) {
		gc_error_set(&err, GC_ERR_TOO_LARGE, "change", NULL,
			     "the configuration would have more than %d bytes",
			     GC_CONFIG_MAX_BYTES);
		refuse(change, err);
		return;
	}
	write_record(change);
}

static json_t *make_document(change_t *change, json_t *base, GError **err)
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
	const char *wrong = NULL;

	if (!json_is_object(patch)) {
		gc_error_set(err, GC_ERR_INVALID, "change", NULL,
			     "patch: not an object");
		return false;
	}
	if (json_object_get(patch, "version"))
		wrong = "version";
	else if (json_object_get(patch, "changes"))
		wrong = "changes";
	if (!wrong)
		return true;
	gc_error_set(err, GC_ERR_INVALID, "change", NULL,
		     "%s: set by the system", wrong);
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
 * An error that the configuration has already is let pass: an instance that
 * died must not stop operators from changing something else.
 */
static bool check_selectors(gc_control_t *control, json_t *base,
			    gc_config_t *config, GError **err)
{
	gc_config_t *old = gc_config_parse(base, NULL);
	g_autofree char *before = old ? selector_errors(control, old) : NULL;
	g_autofree char *after = selector_errors(control, config);
	g_auto(GStrv) old_lines = g_strsplit(before ? before : "", "\n", -1);
	g_auto(GStrv) lines = g_strsplit(after, "\n", -1);
	g_autoptr(GString) added = g_string_new(NULL);

	gc_config_unref(old);
	for (char **line = lines; *line; line++) {
		if (!**line ||
		    g_strv_contains((const char *const *)old_lines, *line))
			continue;
		g_string_append_printf(added, "%s%s", added->len ? "\n" : "",
				       *line);
	}
	if (added->len == 0)
		return true;
	gc_error_set(err, GC_ERR_INVALID, "change", NULL, "%s", added->str);
	return false;
}

static char *selector_errors(gc_control_t *control, gc_config_t *config)
{
	struct timespec now = gc_control_now(control);
	size_t max = gc_health_count(control->engines_health) +
		     gc_health_count(control->services_health);
	gc_labelled_instance_t *all = g_new0(gc_labelled_instance_t, max + 1);
	GError *err = NULL;
	char *text;
	size_t n;

	n = add_labelled(control->engines_health, config, now, all);
	n += add_labelled(control->services_health, config, now, all + n);
	if (gc_config_check_selectors(config, all, n, &err))
		text = g_strdup("");
	else
		text = g_strdup(err->message);
	for (size_t i = 0; i < n; i++)
		json_decref(all[i].labels);
	g_free(all);
	g_clear_error(&err);
	return text;
}

static size_t add_labelled(const gc_health_t *health, gc_config_t *config,
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
	change->written = true;
	gc_kv_cas(change->control->kv, GC_CONFIG_KEY, change->index,
		  gc_str(change->text), on_written, change);
}

static void on_written(void *ctx, gc_kv_put_t result, const GError *err)
{
	change_t *change = ctx;

	if (result == GC_KV_WRITTEN) {
		accept(change, gc_str(change->text));
		return;
	}
	if (err && !change->uncertain &&
	    (result == GC_KV_CONFLICT || err->code == GC_ERR_UNAVAILABLE)) {
		/* The write was refused or never sent. */
		refuse(change, g_error_copy(err));
		return;
	}
	/* An earlier write of this change can be what it conflicts with. */
	if (result == GC_KV_CONFLICT) {
		read_record(change);
		return;
	}
	change->uncertain = true;
	retry_or_give_up(change, on_reread);
}

static void retry_or_give_up(change_t *change, tevent_timer_handler_t retry)
{
	struct timespec now = gc_control_now(change->control);

	if (gc_ms_between(now, change->deadline) > 0)
		gc_control_after_ms(change->control, change, RETRY_MS, retry,
				    change);
	else
		finish_in_doubt(change);
}

static void finish_in_doubt(change_t *change)
{
	gc_change_result_t result = {.state = GC_CHANGE_IN_DOUBT,
				     .version = change->if_match + 1};

	finish(change, &result);
}

static void on_rewrite(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *ctx)
{
	write_record(ctx);
}

static void on_reread(struct tevent_context *ev, struct tevent_timer *te,
		      struct timeval now, void *ctx)
{
	read_record(ctx);
}

static void accept(change_t *change, gc_str_t text)
{
	gc_control_t *control = change->control;
	struct timespec now = gc_control_now(control);

	gc_log(GC_LOG_INFO, GC_EVENT_CONFIG_WRITTEN,
	       "operator's change written", "nonce", change->nonce, NULL);
	gc_control_config_take(control, text, "operator");
	change->deadline = gc_add_ms(now, ACKNOWLEDGE_MS);
	gc_control_after_ms(control, change, 0, on_acknowledge, change);
}

static void on_acknowledge(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval tv, void *ctx)
{
	change_t *change = ctx;
	gc_control_t *control = change->control;
	struct timespec now = gc_control_now(control);
	gc_change_result_t result = {.state = GC_CHANGE_ACCEPTED,
				     .version = change->if_match + 1};

	if (!gc_membership_acknowledged(control->members, now,
					result.version)) {
		if (gc_ms_between(now, change->deadline) > 0) {
			gc_control_after_ms(control, change,
					    ACKNOWLEDGE_POLL_MS, on_acknowledge,
					    change);
			return;
		}
		result.state = GC_CHANGE_WRITTEN;
	}
	finish(change, &result);
}
