/* The daemon's settings: one JSON file, checked whole. */
#include <arpa/inet.h>
#include <string.h>

#include <jansson.h>

#include "core/error.h"
#include "core/types.h"
#include "lib/settings.h"

#define MAX_THREADS 64

typedef enum field_kind {
	FIELD_NAME, /* a string shorter than GC_NAME_MAX */
	FIELD_URL, /* http://ADDRESS:PORT */
	FIELD_LISTEN, /* {"address","port"} */
	FIELD_PEERS, /* array of tcp://ADDRESS:PORT */
	FIELD_KEYS, /* array of bearer keys, at least one */
	FIELD_FLEET_KEY,
	FIELD_UINT,
	FIELD_SIZE,
	FIELD_BOOL,
	FIELD_LEVEL,
} field_kind_t;

typedef struct field {
	const char *name;
	size_t offset;
	json_int_t min, max; /* of numbers */
	json_int_t preset; /* of numbers that are absent */
	field_kind_t kind;
	bool required;
} field_t;

typedef struct reader {
	gc_settings_t *settings;
	GString *faults; /* one line for each wrong value */
} reader_t;

#define MEMBER(member) offsetof(gc_settings_t, member)

static const field_t fields[] = {
	{"instance", MEMBER(instance), 0, 0, 0, FIELD_NAME, true},
	{"failure_domain", MEMBER(failure_domain), 0, 0, 0, FIELD_NAME, true},
	{"caller", MEMBER(caller), 0, 0, 0, FIELD_LISTEN, true},
	{"operator", MEMBER(operators), 0, 0, 0, FIELD_LISTEN, true},
	{"peer", MEMBER(peer), 0, 0, 0, FIELD_LISTEN, true},
	{"seed_peers", MEMBER(seed_peers), 0, 0, 0, FIELD_PEERS, false},
	{"platform_url", MEMBER(platform_url), 0, 0, 0, FIELD_URL, true},
	{"fleet_key", MEMBER(fleet_key), 0, 0, 0, FIELD_FLEET_KEY, true},
	{"operator_keys", MEMBER(operator_keys), 0, 0, 0, FIELD_KEYS, true},
	{"traffic_threads", MEMBER(traffic_threads), 1, MAX_THREADS, 1,
	 FIELD_UINT, false},
	{"max_body_bytes", MEMBER(max_body_bytes), 1024, 1 << 30, 4 << 20,
	 FIELD_SIZE, false},
	{"heartbeat_ms", MEMBER(heartbeat_ms), 10, 60000, 500, FIELD_UINT,
	 false},
	{"config_confirm_ms", MEMBER(config_confirm_ms), 100, 600000, 3000,
	 FIELD_UINT, false},
	{"list_poll_ms", MEMBER(list_poll_ms), 10, 600000, 1000, FIELD_UINT,
	 false},
	{"load_poll_ms", MEMBER(load_poll_ms), 10, 600000, 500, FIELD_UINT,
	 false},
	{"engine_subset", MEMBER(engine_subset), 1, 100000, 64, FIELD_UINT,
	 false},
	{"queue_ms", MEMBER(queue_ms), 0, 600000, 2000, FIELD_UINT, false},
	{"max_streams", MEMBER(max_streams), 1, 100000, 4000, FIELD_UINT,
	 false},
	{"address_ttl_s", MEMBER(address_ttl_s), 1, 3600, 10, FIELD_UINT,
	 false},
	{"stop_grace_s", MEMBER(stop_grace_s), 0, 86400, 30, FIELD_UINT, false},
	{"claim_batch_ms", MEMBER(claim_batch_ms), 0, 1000, 2, FIELD_UINT,
	 false},
	{"max_attempts", MEMBER(max_attempts), 1, 1000, 32, FIELD_UINT, false},
	{"stall_timeout_ms", MEMBER(stall_timeout_ms), 0, 600000, 0, FIELD_UINT,
	 false},
	{"claim_sweep_s", MEMBER(claim_sweep_s), 1, 86400, 3600, FIELD_UINT,
	 false},
	{"log_json", MEMBER(log_json), 0, 0, 0, FIELD_BOOL, false},
	{"log_level", MEMBER(log_level), 0, 0, 0, FIELD_LEVEL, false},
};

static void fault(reader_t *reader, const char *path, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
static void fault_in(reader_t *reader, const char *path, const char *member,
		     const char *text);
static void read_root(reader_t *reader, json_t *root);
static void read_field(reader_t *reader, const field_t *field, json_t *value);
static void read_name(reader_t *reader, const char *path, json_t *value,
		      const char **out);
static void read_url(reader_t *reader, const char *path, json_t *value,
		     const char **out);
static void read_listen(reader_t *reader, const char *path, json_t *value,
			gc_listen_t *out);
static void read_strings(reader_t *reader, const field_t *field, json_t *value,
			 const char ***out, size_t *n);
static void read_fleet_key(reader_t *reader, const char *path, json_t *value,
			   uint8_t key[GC_FLEET_KEY_LEN]);
static void read_number(reader_t *reader, const field_t *field, json_t *value,
			void *out);
static void read_level(reader_t *reader, const char *path, json_t *value,
		       gc_log_level_t *level);
static bool endpoint_valid(const char *text, const char *scheme);
static const field_t *find_field(const char *name);

gc_settings_t *gc_settings_load(TALLOC_CTX *mem, const char *path, GError **err)
{
	g_autoptr(GString) faults = g_string_new(NULL);
	reader_t reader = {.faults = faults};
	json_error_t where;
	json_t *root;

	root = json_load_file(path, JSON_REJECT_DUPLICATES, &where);
	if (!root) {
		gc_error_set(err, GC_ERR_INVALID, "settings", path,
			     "%s:%d:%d: %s", path, where.line, where.column,
			     where.text);
		return NULL;
	}
	reader.settings = talloc_zero(mem, gc_settings_t);
	reader.settings->log_level = GC_LOG_INFO;
	read_root(&reader, root);
	json_decref(root);
	if (faults->len == 0)
		return reader.settings;
	g_string_truncate(faults, faults->len - 1);
	gc_error_set(err, GC_ERR_INVALID, "settings", path, "%s", faults->str);
	talloc_free(reader.settings);
	return NULL;
}

static void fault(reader_t *reader, const char *path, const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(reader->faults, "%s: ", path);
	va_start(ap, fmt);
	g_string_append_vprintf(reader->faults, fmt, ap);
	va_end(ap);
	g_string_append_c(reader->faults, '\n');
}

static void fault_in(reader_t *reader, const char *path, const char *member,
		     const char *text)
{
	g_autofree char *full = g_strconcat(path, ".", member, NULL);

	fault(reader, full, "%s", text);
}

static void read_root(reader_t *reader, json_t *root)
{
	const char *name;
	json_t *value;

	if (!json_is_object(root)) {
		fault(reader, "(root)", "must be an object");
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		read_field(reader, &fields[i],
			   json_object_get(root, fields[i].name));
	json_object_foreach (root, name, value) {
		if (!find_field(name))
			fault(reader, name, "unknown setting");
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
	gc_settings_t *s = reader->settings;
	void *out = (char *)s + field->offset;

	if (!value && field->required) {
		fault(reader, field->name, "missing");
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
	case FIELD_PEERS:
		read_strings(reader, field, value, out, &s->n_seed_peers);
		break;
	case FIELD_KEYS:
		read_strings(reader, field, value, out, &s->n_operator_keys);
		break;
	case FIELD_FLEET_KEY:
		read_fleet_key(reader, field->name, value, out);
		break;
	case FIELD_BOOL:
		if (json_is_boolean(value))
			*(bool *)out = json_is_true(value);
		else
			fault(reader, field->name, "must be true or false");
		break;
	case FIELD_LEVEL:
		read_level(reader, field->name, value, out);
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
		fault(reader, path, "must be a string that is not empty");
		return;
	}
	if (len >= GC_NAME_MAX) {
		fault(reader, path, "longer than %d bytes", GC_NAME_MAX - 1);
		return;
	}
	*out = talloc_strdup(reader->settings, json_string_value(value));
}

static void read_url(reader_t *reader, const char *path, json_t *value,
		     const char **out)
{
	if (!json_is_string(value) ||
	    !endpoint_valid(json_string_value(value), "http://")) {
		fault(reader, path, "must be http://ADDRESS:PORT");
		return;
	}
	*out = talloc_strdup(reader->settings, json_string_value(value));
}

/* SCHEME followed by an IPv4 number, a colon and a port. */
static bool endpoint_valid(const char *text, const char *scheme)
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
			gc_listen_t *out)
{
	json_t *address = json_object_get(value, "address");
	json_t *port = json_object_get(value, "port");
	struct in_addr number;
	const char *name;
	json_t *member;

	if (!json_is_object(value)) {
		fault(reader, path, "must be an object");
		return;
	}
	if (json_is_string(address) &&
	    inet_pton(AF_INET, json_string_value(address), &number) == 1)
		out->address = talloc_strdup(reader->settings,
					     json_string_value(address));
	else
		fault_in(reader, path, "address", "must be an IPv4 number");
	if (json_is_integer(port) && json_integer_value(port) >= 0 &&
	    json_integer_value(port) <= 65535)
		out->port = json_integer_value(port);
	else
		fault_in(reader, path, "port",
			 "must be a number from 0 to 65535");
	json_object_foreach (value, name, member) {
		if (member != address && member != port)
			fault_in(reader, path, name, "unknown setting");
	}
}

static void read_strings(reader_t *reader, const field_t *field, json_t *value,
			 const char ***out, size_t *n)
{
	json_t *item;
	size_t i;

	if (!json_is_array(value)) {
		fault(reader, field->name, "must be an array of strings");
		return;
	}
	if (field->kind == FIELD_KEYS && json_array_size(value) == 0)
		fault(reader, field->name, "must not be empty");
	*out = talloc_zero_array(reader->settings, const char *,
				 json_array_size(value) + 1);
	json_array_foreach (value, i, item) {
		g_autofree char *path =
			g_strdup_printf("%s[%zu]", field->name, i);

		if (!json_is_string(item) || json_string_length(item) == 0)
			fault(reader, path, "must be a string");
		else if (field->kind == FIELD_PEERS &&
			 !endpoint_valid(json_string_value(item), "tcp://"))
			fault(reader, path, "must be tcp://ADDRESS:PORT");
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
		fault(reader, path, "must be %d hex digits",
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
	json_int_t number = value ? json_integer_value(value) : field->preset;

	if (value && (!json_is_integer(value) || number < field->min ||
		      number > field->max)) {
		fault(reader, field->name,
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

static void read_level(reader_t *reader, const char *path, json_t *value,
		       gc_log_level_t *level)
{
	if (!json_is_string(value) ||
	    !gc_log_level_parse(json_string_value(value), level))
		fault(reader, path, "must be debug, info, warning or error");
}
