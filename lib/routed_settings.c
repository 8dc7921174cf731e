/* Reads and checks the settings of routed mode. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/error.h"
#include "lib/routed_settings.h"

typedef struct reader {
	TALLOC_CTX *mem;
	const json_t *json;
	GString *errors;
} reader_t;

static json_t *load_json(const char *path, GError **err);
static void read_settings(reader_t *reader, gc_routed_settings_t *settings);
static const char *text(reader_t *reader, const char *name, bool required);
static void endpoint(reader_t *reader, const char *name, bool required,
		     gc_listen_address_t *listen);
static void check_ip(reader_t *reader, const char *name, const char *value);
static double number(reader_t *reader, const char *name, double fallback,
		     double min, double max);
static bool flag(reader_t *reader, const char *name, bool fallback);
static void add_error(reader_t *reader, const char *name, const char *message);

bool gc_routed_settings_selected(const char *path)
{
	json_t *json = load_json(path, NULL);
	const char *mode = json_string_value(json_object_get(json, "mode"));
	bool routed = mode && strcmp(mode, "routed") == 0;

	json_decref(json);
	return routed;
}

static json_t *load_json(const char *path, GError **err)
{
	json_error_t error;
	json_t *json = json_load_file(path, 0, &error);

	if (!json)
		gc_error_set(err, GC_ERR_INVALID, "settings", NULL,
			     "line %d: %s", error.line, error.text);
	return json;
}

gc_routed_settings_t *gc_routed_settings_load(TALLOC_CTX *mem, const char *path,
					      GError **err)
{
	gc_routed_settings_t *settings;
	reader_t reader = {0};
	json_t *json = load_json(path, err);

	if (!json)
		return NULL;
	settings = talloc_zero(mem, gc_routed_settings_t);
	reader = (reader_t){settings, json, g_string_new(NULL)};
	read_settings(&reader, settings);
	json_decref(json);
	if (reader.errors->len > 0) {
		gc_error_set(err, GC_ERR_INVALID, "settings", NULL, "%s",
			     reader.errors->str);
		TALLOC_FREE(settings);
	}
	g_string_free(reader.errors, TRUE);
	return settings;
}

static void read_settings(reader_t *reader, gc_routed_settings_t *settings)
{
	const char *level = text(reader, "log_level", false);

	settings->instance = text(reader, "instance", true);
	settings->failure_domain = text(reader, "failure_domain", true);
	settings->store = text(reader, "store", true);
	settings->caller_address = text(reader, "caller", true);
	endpoint(reader, "caller", true, &settings->caller);
	endpoint(reader, "ready", true, &settings->ready);
	endpoint(reader, "addresses", true, &settings->addresses);
	endpoint(reader, "peer", false, &settings->peer);
	settings->peer_address = text(reader, "peer", false);
	endpoint(reader, "forward", false, &settings->forward);
	settings->forward_address = text(reader, "forward", false);
	settings->source = text(reader, "source", false);
	check_ip(reader, "source", settings->source);
	settings->config_in_force_ms = (int64_t)number(
		reader, "config_in_force_ms", 2000, 200, 600000);
	settings->revoke_ms =
		(int64_t)number(reader, "revoke_ms", 5000, 500, 600000);
	settings->revoke_strictly = flag(reader, "revoke_strictly", true);
	settings->contact_ms =
		(int64_t)number(reader, "contact_ms", 3000, 500, 600000);
	settings->stop_grace_ms =
		(int64_t)(1000 * number(reader, "stop_grace_s", 8, 1, 3600));
	settings->repeat_ratio = number(reader, "repeat_ratio", 0.8, 0, 10);
	settings->repeat_slack =
		(uint32_t)number(reader, "repeat_slack", 300, 0, 1e9);
	settings->repeat_window_ms =
		(int64_t)(1000 *
			  number(reader, "repeat_window_s", 10, 1, 3600));
	settings->retry_after_max_ms =
		(int64_t)(1000 *
			  number(reader, "retry_after_max_s", 600, 1, 86400));
	settings->address_ttl_s =
		(uint32_t)number(reader, "address_ttl_s", 2, 1, 3600);
	settings->lease_ms =
		(int64_t)number(reader, "lease_ms", 3000, 1000, 600000);
	settings->rollout.share = number(reader, "rollout_share", 0, 0, 1);
	settings->rollout.slack =
		(uint32_t)number(reader, "rollout_slack", 0, 0, 1e9);
	settings->rollout.withdraw_ms = (int64_t)number(
		reader, "rollout_withdraw_ms", 5000, 500, 600000);
	settings->log_level = GC_LOG_INFO;
	if (level && !gc_log_level_parse(level, &settings->log_level))
		add_error(reader, "log_level",
			  "not debug, info, warning or error");
}

static void add_error(reader_t *reader, const char *name, const char *message)
{
	if (reader->errors->len > 0)
		g_string_append_c(reader->errors, '\n');
	g_string_append_printf(reader->errors, "%s: %s", name, message);
}

static const char *text(reader_t *reader, const char *name, bool required)
{
	const json_t *value = json_object_get(reader->json, name);

	if (json_is_string(value) && json_string_length(value) > 0)
		return talloc_strdup(reader->mem, json_string_value(value));
	if (required)
		add_error(reader, name, "a string is missing");
	else if (value && !json_is_null(value))
		add_error(reader, name, "not a string");
	return NULL;
}

static void endpoint(reader_t *reader, const char *name, bool required,
		     gc_listen_address_t *listen)
{
	const json_t *value = json_object_get(reader->json, name);
	char *address;
	char *colon;
	struct in_addr ip;
	guint64 port;

	if (!json_is_string(value)) {
		if (required || (value && !json_is_null(value)))
			add_error(reader, name, "IP:PORT is missing");
		return;
	}
	address = talloc_strdup(reader->mem, json_string_value(value));
	colon = strrchr(address, ':');
	if (!colon) {
		add_error(reader, name, "not IP:PORT");
		return;
	}
	*colon = '\0';
	if (inet_pton(AF_INET, address, &ip) != 1 ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &port,
					NULL)) {
		add_error(reader, name, "not IP:PORT");
		return;
	}
	listen->address = address;
	listen->port = (uint16_t)port;
}

static void check_ip(reader_t *reader, const char *name, const char *value)
{
	struct in_addr ip;

	if (value && inet_pton(AF_INET, value, &ip) != 1)
		add_error(reader, name, "not an IP address");
}

static double number(reader_t *reader, const char *name, double fallback,
		     double min, double max)
{
	const json_t *value = json_object_get(reader->json, name);
	g_autofree char *range = NULL;

	if (!value || json_is_null(value))
		return fallback;
	if (json_is_number(value) && json_number_value(value) >= min &&
	    json_number_value(value) <= max)
		return json_number_value(value);
	range = g_strdup_printf("not a number from %g to %g", min, max);
	add_error(reader, name, range);
	return fallback;
}

static bool flag(reader_t *reader, const char *name, bool fallback)
{
	const json_t *value = json_object_get(reader->json, name);

	if (!value || json_is_null(value))
		return fallback;
	if (!json_is_boolean(value))
		add_error(reader, name, "neither true nor false");
	return json_is_true(value);
}
