/* Reads the daemon's settings, one JSON file, and reports all errors in it. */
#include <arpa/inet.h>
#include <string.h>

#include <jansson.h>

#include "core/error.h"
#include "core/types.h"
#include "lib/settings.h"

#define MAX_TRAFFIC_THREADS 64

typedef enum field_kind {
	FIELD_NAME, /* a string shorter than GC_NAME_MAX */
	FIELD_URL, /* http://ADDRESS:PORT */
	FIELD_LISTEN, /* {"address","port"} */
	FIELD_SEED_PEERS, /* array of tcp://ADDRESS:PORT */
	FIELD_OPERATOR_KEYS, /* array of bearer keys, at least one */
	FIELD_FLEET_KEY,
	FIELD_UINT,
	FIELD_SIZE,
	FIELD_BOOL,
	FIELD_LOG_LEVEL,
} field_kind_t;

typedef struct field {
	const char *name;
	size_t offset;
	json_int_t min, max; /* for numbers */
	json_int_t default_value; /* for numbers */
	field_kind_t kind;
	bool required;
} field_t;

typedef struct reader {
	gc_settings_t *settings;
	GString *errors; /* one line for each invalid value */
} reader_t;

#define OFFSET(member) offsetof(gc_settings_t, member)

static const field_t fields[] = {
	{"instance", OFFSET(instance), 0, 0, 0, FIELD_NAME, true},
	{"failure_domain", OFFSET(failure_domain), 0, 0, 0, FIELD_NAME, true},
	{"caller", OFFSET(caller), 0, 0, 0, FIELD_LISTEN, true},
	{"operator", OFFSET(operators), 0, 0, 0, FIELD_LISTEN, true},
	{"peer", OFFSET(peer), 0, 0, 0, FIELD_LISTEN, true},
	{"seed_peers", OFFSET(seed_peers), 0, 0, 0, FIELD_SEED_PEERS, false},
	{"platform_url", OFFSET(platform_url), 0, 0, 0, FIELD_URL, true},
	{"fleet_key", OFFSET(fleet_key), 0, 0, 0, FIELD_FLEET_KEY, true},
	{"operator_keys", OFFSET(operator_keys), 0, 0, 0, FIELD_OPERATOR_KEYS,
	 true},
	{"traffic_threads", OFFSET(traffic_threads), 1, MAX_TRAFFIC_THREADS, 1,
	 FIELD_UINT, false},
	{"max_body_bytes", OFFSET(max_body_bytes), 1024, 1 << 30, 4 << 20,
	 FIELD_SIZE, false},
	{"heartbeat_ms", OFFSET(heartbeat_ms), 10, 60000, 500, FIELD_UINT,
	 false},
	{"config_confirm_ms", OFFSET(config_confirm_ms), 100, 600000, 3000,
	 FIELD_UINT, false},
	{"list_poll_ms", OFFSET(list_poll_ms), 10, 600000, 1000, FIELD_UINT,
	 false},
	{"load_poll_ms", OFFSET(load_poll_ms), 10, 600000, 500, FIELD_UINT,
	 false},
	{"engine_subset", OFFSET(engine_subset), 1, 100000, 64, FIELD_UINT,
	 false},
	{"queue_ms", OFFSET(queue_ms), 0, 600000, 2000, FIELD_UINT, false},
	{"max_streams", OFFSET(max_streams), 1, 100000, 4000, FIELD_UINT,
	 false},
	{"address_ttl_s", OFFSET(address_ttl_s), 1, 3600, 10, FIELD_UINT,
	 false},
	{"stop_grace_s", OFFSET(stop_grace_s), 0, 86400, 30, FIELD_UINT, false},
	{"claim_batch_ms", OFFSET(claim_batch_ms), 0, 1000, 2, FIELD_UINT,
	 false},
	{"max_attempts", OFFSET(max_attempts), 1, 1000, 32, FIELD_UINT, false},
	{"stall_timeout_ms", OFFSET(stall_timeout_ms), 0, 600000, 0, FIELD_UINT,
	 false},
	{"claim_sweep_s", OFFSET(claim_sweep_s), 1, 86400, 3600, FIELD_UINT,
	 false},
	{"log_json", OFFSET(log_json), 0, 0, 0, FIELD_BOOL, false},
	{"log_level", OFFSET(log_level), 0, 0, 0, FIELD_LOG_LEVEL, false},
};

static void add_error(reader_t *reader, const char *path, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
static void add_member_error(reader_t *reader, const char *path,
			     const char *member, const char *text);
static void read_root(reader_t *reader, json_t *root);
static void read_field(reader_t *reader, const field_t *field, json_t *value);
static void read_name(reader_t *reader, const char *path, json_t *value,
		      const char **out);
static void read_url(reader_t *reader, const char *path, json_t *value,
		     const char **out);
static void read_listen(reader_t *reader, const char *path, json_t *value,
			gc_listen_address_t *out);
static void read_strings(reader_t *reader, const field_t *field, json_t *value,
			 const char ***out, size_t *n);
static void read_fleet_key(reader_t *reader, const char *path, json_t *value,
			   uint8_t key[GC_FLEET_KEY_LEN]);
static void read_number(reader_t *reader, const field_t *field, json_t *value,
			void *out);
static void read_log_level(reader_t *reader, const char *path, json_t *value,
			   gc_log_level_t *level);
static bool is_endpoint(const char *text, const char *scheme);
static const field_t *find_field(const char *name);

gc_settings_t *gc_settings_load(TALLOC_CTX *mem, const char *path, GError **err)
{
	g_autoptr(GString) errors = g_string_new(NULL);
	reader_t reader = {.errors = errors};
	json_error_t json_err;
	json_t *root;

	root = json_load_file(path, JSON_REJECT_DUPLICATES, &json_err);
	if (!root) {
		gc_error_set(err, GC_ERR_INVALID, "settings", path,
			     "%s:%d:%d: %s", path, json_err.line,
			     json_err.column, json_err.text);
		return NULL;
	}
	reader.settings = talloc_zero(mem, gc_settings_t);
	reader.settings->log_level = GC_LOG_INFO;
	read_root(&reader, root);
	json_decref(root);
	if (errors->len == 0)
		return reader.settings;
	g_string_truncate(errors, errors->len - 1);
	gc_error_set(err, GC_ERR_INVALID, "settings", path, "%s", errors->str);
	talloc_free(reader.settings);
	return NULL;
}

static void add_error(reader_t *reader, const char *path, const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(reader->errors, "%s: ", path);
	va_start(ap, fmt);
	g_string_append_vprintf(reader->errors, fmt, ap);
	va_end(ap);
	g_string_append_c(reader->errors, '\n');
}

static void add_member_error(reader_t *reader, const char *path,
			     const char *member, const char *text)
{
	g_autofree char *full = g_strconcat(path, ".", member, NULL);

	add_error(reader, full, "%s", text);
}

static void read_root(reader_t *reader, json_t *root)
{
	const char *name;
	json_t *value;

	if (!json_is_object(root)) {
		add_error(reader, "(root)", "must be an object");
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		read_field(reader, &fields[i],
			   json_object_get(root, fields[i].name));
	json_object_foreach (root, name, value) {
		if (!find_field(name))
			add_error(reader, name, "unknown setting");
	}
}

static const field_t *find_field(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (strcmp(fields[i].name, name) == 0)
			return &fields[i];
	}
	return NULL;
}

static void read_field(reader_t *reader, const field_t *field, json_t *value)
{
	gc_settings_t *settings = reader->settings;
	void *out = (char *)settings + field->offset;

	if (!value && field->required) {
		add_error(reader, field->name, "missing");
		return;
	}
	switch (field->kind) {
	case FIELD_UINT:
	case FIELD_SIZE:
		read_number(reader, field, value, out);
		return;
	default:
		if (!value)
			return;
	}
	switch (field->kind) {
	case FIELD_NAME:
		read_name(reader, field->name, value, out);
		break;
	case FIELD_URL:
		read_url(reader, field->name, value, out);
		break;
	case FIELD_LISTEN:
		read_listen(reader, field->name, value, out);
		break;
	case FIELD_SEED_PEERS:
		read_strings(reader, field, value, out,
			     &settings->n_seed_peers);
		break;
	case FIELD_OPERATOR_KEYS:
		read_strings(reader, field, value, out,
			     &settings->n_operator_keys);
		break;
	case FIELD_FLEET_KEY:
		read_fleet_key(reader, field->name, value, out);
		break;
	case FIELD_BOOL:
		if (json_is_boolean(value))
			*(bool *)out = json_is_true(value);
		else
			add_error(reader, field->name, "must be true or false");
		break;
	case FIELD_LOG_LEVEL:
		read_log_level(reader, field->name, value, out);
		break;
	case FIELD_UINT:
	case FIELD_SIZE:
		break;
	}
}

static void read_name(reader_t *reader, const char *path, json_t *value,
		      const char **out)
{
	size_t len = json_string_length(value);

	if (!json_is_string(value) || len == 0) {
		add_error(reader, path, "must be a non-empty string");
		return;
	}
	if (len >= GC_NAME_MAX) {
		add_error(reader, path, "must be at most %d bytes long",
			  GC_NAME_MAX - 1);
		return;
	}
	*out = talloc_strdup(reader->settings, json_string_value(value));
}

static void read_url(reader_t *reader, const char *path, json_t *value,
		     const char **out)
{
	if (!json_is_string(value) ||
	    !is_endpoint(json_string_value(value), "http://")) {
		add_error(reader, path, "must be http://ADDRESS:PORT");
		return;
	}
	*out = talloc_strdup(reader->settings, json_string_value(value));
}

/* True for the scheme followed by an IPv4 address, a colon and a port. */
static bool is_endpoint(const char *text, const char *scheme)
{
	struct in_addr number;
	g_autofree char *address = NULL;
	const char *colon;
	guint64 port;

	if (!g_str_has_prefix(text, scheme))
		return false;
	text += strlen(scheme);
	colon = strchr(text, ':');
	if (!colon)
		return false;
	address = g_strndup(text, colon - text);
	return inet_pton(AF_INET, address, &number) == 1 &&
	       g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL);
}

static void read_listen(reader_t *reader, const char *path, json_t *value,
			gc_listen_address_t *out)
{
	json_t *address = json_object_get(value, "address");
	json_t *port = json_object_get(value, "port");
	struct in_addr number;
	const char *name;
	json_t *member;

	if (!json_is_object(value)) {
		add_error(reader, path, "must be an object");
		return;
	}
	if (json_is_string(address) &&
	    inet_pton(AF_INET, json_string_value(address), &number) == 1)
		out->address = talloc_strdup(reader->settings,
					     json_string_value(address));
	else
		add_member_error(reader, path, "address",
				 "must be an IPv4 address");
	if (json_is_integer(port) && json_integer_value(port) >= 0 &&
	    json_integer_value(port) <= 65535)
		out->port = json_integer_value(port);
	else
		add_member_error(reader, path, "port",
				 "must be a number from 0 to 65535");
	json_object_foreach (value, name, member) {
		if (member != address && member != port)
			add_member_error(reader, path, name, "unknown setting");
	}
}

static void read_strings(reader_t *reader, const field_t *field, json_t *value,
			 const char ***out, size_t *n)
{
	json_t *item;
	size_t i;

	if (!json_is_array(value)) {
		add_error(reader, field->name, "must be an array of strings");
		return;
	}
	if (field->kind == FIELD_OPERATOR_KEYS && json_array_size(value) == 0)
		add_error(reader, field->name, "must not be empty");
	*out = talloc_zero_array(reader->settings, const char *,
				 json_array_size(value) + 1);
	json_array_foreach (value, i, item) {
		g_autofree char *path =
			g_strdup_printf("%s[%zu]", field->name, i);

		if (!json_is_string(item) || json_string_length(item) == 0)
			add_error(reader, path, "must be a non-empty string");
		else if (field->kind == FIELD_SEED_PEERS &&
			 !is_endpoint(json_string_value(item), "tcp://"))
			add_error(reader, path, "must be tcp://ADDRESS:PORT");
		else
			(*out)[(*n)++] =
				talloc_strdup(*out, json_string_value(item));
	}
}

static void read_fleet_key(reader_t *reader, const char *path, json_t *value,
			   uint8_t key[GC_FLEET_KEY_LEN])
{
	const char *hex = json_string_value(value);

	if (!hex || strlen(hex) != GC_FLEET_KEY_LEN * 2 ||
	    strspn(hex, "0123456789abcdefABCDEF") != strlen(hex)) {
		add_error(reader, path, "must be %d hex digits",
			  GC_FLEET_KEY_LEN * 2);
		return;
	}
	for (size_t i = 0; i < GC_FLEET_KEY_LEN; i++)
		key[i] = g_ascii_xdigit_value(hex[2 * i]) << 4 |
			 g_ascii_xdigit_value(hex[2 * i + 1]);
}

static void read_number(reader_t *reader, const field_t *field, json_t *value,
			void *out)
{
	json_int_t number =
		value ? json_integer_value(value) : field->default_value;

	if (value && (!json_is_integer(value) || number < field->min ||
		      number > field->max)) {
		add_error(reader, field->name,
			  "must be a number from %" JSON_INTEGER_FORMAT
			  " to %" JSON_INTEGER_FORMAT,
			  field->min, field->max);
		return;
	}
	if (field->kind == FIELD_SIZE)
		*(size_t *)out = number;
	else
		*(unsigned int *)out = number;
}

static void read_log_level(reader_t *reader, const char *path, json_t *value,
			   gc_log_level_t *level)
{
	if (!json_is_string(value) ||
	    !gc_log_level_parse(json_string_value(value), level))
		add_error(reader, path,
			  "must be debug, info, warning or error");
}
