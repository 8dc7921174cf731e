/* Commands that set pools, models, accounts and services. */
#include <stdio.h>
#include <string.h>

#include "goldcrestctl.h"

/* Option values of a command; NULL or -1 if the option is not given. */
typedef struct object_options {
	char *kind;
	char *selector;
	char *version;
	char *pool;
	char *key_file;
	char *key_sha256;
	char *policy;
	char *status_path;
	char *checks_fencing;
	gint weight;
	gint max_in_flight;
} object_options_t;

static ctl_exit_t set_object(const ctl_t *ctl, const char *section, int argc,
			     char **argv, const GOptionEntry *entries,
			     object_options_t *options);
static bool add_members(const object_options_t *options, json_t *members);
static void add_string(json_t *members, const char *name, const char *value);
static bool add_selector(json_t *members, const char *text);
static bool add_key(json_t *members, const object_options_t *options);
static void clear_options(object_options_t *options);

static void add_string(json_t *members, const char *name, const char *value)
{
	if (value)
		json_object_set_new(members, name, json_string(value));
}

/* Sets absent members to null, so that the patch replaces the selector. */
static bool add_selector(json_t *members, const char *text)
{
	static const char *const selector_members[] = {"match", "any_of",
						       "none_of"};
	json_t *selector;
	json_error_t error;

	if (!text)
		return true;
	selector = json_loads(text, JSON_REJECT_DUPLICATES, &error);
	if (!json_is_object(selector)) {
		fprintf(stderr, "goldcrestctl: --selector: %s\n",
			selector ? "not an object" : error.text);
		json_decref(selector);
		return false;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(selector_members); i++) {
		if (!json_object_get(selector, selector_members[i]))
			json_object_set_new(selector, selector_members[i],
					    json_null());
	}
	json_object_set_new(members, "selector", selector);
	return true;
}

static bool add_key(json_t *members, const object_options_t *options)
{
	g_autoptr(GError) err = NULL;
	g_autofree char *key = NULL;
	g_autofree char *digest = NULL;

	add_string(members, "key_sha256", options->key_sha256);
	if (!options->key_file)
		return true;
	if (!g_file_get_contents(options->key_file, &key, NULL, &err)) {
		fprintf(stderr, "goldcrestctl: %s\n", err->message);
		return false;
	}
	g_strchomp(key);
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	add_string(members, "key_sha256", digest);
	return true;
}

static bool add_members(const object_options_t *options, json_t *members)
{
	const char *fencing = options->checks_fencing;

	add_string(members, "kind", options->kind);
	add_string(members, "version", options->version);
	add_string(members, "pool", options->pool);
	add_string(members, "policy", options->policy);
	add_string(members, "status_path", options->status_path);
	if (options->weight >= 0)
		json_object_set_new(members, "weight",
				    json_integer(options->weight));
	if (options->max_in_flight >= 0)
		json_object_set_new(members, "max_in_flight",
				    json_integer(options->max_in_flight));
	if (fencing && strcmp(fencing, "yes") != 0 &&
	    strcmp(fencing, "no") != 0) {
		fprintf(stderr,
			"goldcrestctl: --checks-fencing: expected yes or no\n");
		return false;
	}
	if (fencing)
		json_object_set_new(members, "checks_fencing",
				    json_boolean(strcmp(fencing, "yes") == 0));
	return add_selector(members, options->selector) &&
	       add_key(members, options);
}

static ctl_exit_t set_object(const ctl_t *ctl, const char *section, int argc,
			     char **argv, const GOptionEntry *entries,
			     object_options_t *options)
{
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;
	g_autofree char *object_path = NULL;
	json_t *members, *patch;
	ctl_exit_t result;

	if (argc < 1 || strcmp(argv[0], "set") != 0)
		return ctl_usage_error("%s: expected set NAME", section);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err)) {
		clear_options(options);
		return ctl_usage_error("%s: %s", section, err->message);
	}
	members = json_object();
	if (argc != 2 || !add_members(options, members)) {
		clear_options(options);
		json_decref(members);
		/* add_members has reported its error. */
		return argc == 2 ? CTL_USAGE
				 : ctl_usage_error("%s: expected set NAME and "
						   "options",
						   section);
	}
	clear_options(options);
	object_path = g_strconcat(section, ".", argv[1], NULL);
	patch = json_pack("{s{so}}", section, argv[1], members);
	result = ctl_patch_object(ctl, object_path, patch);
	json_decref(patch);
	return result;
}

static void clear_options(object_options_t *options)
{
	g_free(options->kind);
	g_free(options->selector);
	g_free(options->version);
	g_free(options->pool);
	g_free(options->key_file);
	g_free(options->key_sha256);
	g_free(options->policy);
	g_free(options->status_path);
	g_free(options->checks_fencing);
}

ctl_exit_t ctl_pool(const ctl_t *ctl, int argc, char **argv)
{
	object_options_t options = {.weight = -1, .max_in_flight = -1};
	const GOptionEntry entries[] = {{"kind", 0, 0, G_OPTION_ARG_STRING,
					 &options.kind, NULL, NULL},
					{"selector", 0, 0, G_OPTION_ARG_STRING,
					 &options.selector, NULL, NULL},
					G_OPTION_ENTRY_NULL};

	return set_object(ctl, "pools", argc, argv, entries, &options);
}

ctl_exit_t ctl_model(const ctl_t *ctl, int argc, char **argv)
{
	object_options_t options = {.weight = -1, .max_in_flight = -1};
	const GOptionEntry entries[] = {{"version", 0, 0, G_OPTION_ARG_STRING,
					 &options.version, NULL, NULL},
					{"pool", 0, 0, G_OPTION_ARG_STRING,
					 &options.pool, NULL, NULL},
					{"selector", 0, 0, G_OPTION_ARG_STRING,
					 &options.selector, NULL, NULL},
					G_OPTION_ENTRY_NULL};

	return set_object(ctl, "models", argc, argv, entries, &options);
}

ctl_exit_t ctl_account(const ctl_t *ctl, int argc, char **argv)
{
	object_options_t options = {.weight = -1, .max_in_flight = -1};
	const GOptionEntry entries[] = {
		{"account-key-file", 0, 0, G_OPTION_ARG_FILENAME,
		 &options.key_file, NULL, NULL},
		{"key-sha256", 0, 0, G_OPTION_ARG_STRING, &options.key_sha256,
		 NULL, NULL},
		{"weight", 0, 0, G_OPTION_ARG_INT, &options.weight, NULL, NULL},
		{"max-in-flight", 0, 0, G_OPTION_ARG_INT,
		 &options.max_in_flight, NULL, NULL},
		{"policy", 0, 0, G_OPTION_ARG_STRING, &options.policy, NULL,
		 NULL},
		{"selector", 0, 0, G_OPTION_ARG_STRING, &options.selector, NULL,
		 NULL},
		G_OPTION_ENTRY_NULL};

	return set_object(ctl, "accounts", argc, argv, entries, &options);
}

ctl_exit_t ctl_service(const ctl_t *ctl, int argc, char **argv)
{
	object_options_t options = {.weight = -1, .max_in_flight = -1};
	const GOptionEntry entries[] = {
		{"pool", 0, 0, G_OPTION_ARG_STRING, &options.pool, NULL, NULL},
		{"status-path", 0, 0, G_OPTION_ARG_STRING, &options.status_path,
		 NULL, NULL},
		{"checks-fencing", 0, 0, G_OPTION_ARG_STRING,
		 &options.checks_fencing, NULL, NULL},
		G_OPTION_ENTRY_NULL};

	return set_object(ctl, "services", argc, argv, entries, &options);
}
