/* Commands that read or change the configuration and patch instances. */
#include <stdio.h>
#include <string.h>

#include "goldcrestctl.h"

static ctl_exit_t config_get(const ctl_t *ctl, int argc);
static ctl_exit_t config_set(const ctl_t *ctl, int argc, char **argv);
static json_t *read_patch(const char *file);
static json_t *parse_labels(int argc, char **argv);
static ctl_exit_t patch_instance(const ctl_t *ctl, const char *name,
				 json_t *members);
static ctl_exit_t set_departing(const ctl_t *ctl, int argc, char **argv,
				bool departing);

ctl_exit_t ctl_config(const ctl_t *ctl, int argc, char **argv)
{
	if (argc >= 1 && strcmp(argv[0], "get") == 0)
		return config_get(ctl, argc);
	if (argc >= 1 && strcmp(argv[0], "set") == 0)
		return config_set(ctl, argc, argv);
	return ctl_usage_error("config: expected get or set");
}

static ctl_exit_t config_get(const ctl_t *ctl, int argc)
{
	ctl_exit_t result = CTL_OK;
	ctl_response_t response;

	if (argc != 1)
		return ctl_usage_error("config get: takes no arguments");
	ctl_request(ctl, "GET", "/v1/config", NULL, NULL, &response);
	if (response.status == 200) {
		json_dumpf(response.body, stdout,
			   JSON_SORT_KEYS |
				   (ctl->json ? JSON_COMPACT : JSON_INDENT(2)));
		puts("");
	} else {
		result = ctl_report_error(&response);
	}
	ctl_response_clear(&response);
	return result;
}

static ctl_exit_t config_set(const ctl_t *ctl, int argc, char **argv)
{
	gint64 version = -1;
	const GOptionEntry entries[] = {
		{"version", 0, 0, G_OPTION_ARG_INT64, &version,
		 "Version that the patch applies to", "N"},
		G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;
	ctl_exit_t result = CTL_OK;
	uint64_t base_version;
	json_t *patch;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err))
		return ctl_usage_error("config set: %s", err->message);
	if (argc != 2)
		return ctl_usage_error("config set: expected FILE or -");
	patch = read_patch(argv[1]);
	if (!patch)
		return CTL_ERROR;
	base_version = (uint64_t)version;
	if (version < 0)
		result = ctl_get_version(ctl, &base_version);
	if (result == CTL_OK)
		result = ctl_patch(ctl, base_version, patch);
	json_decref(patch);
	return result;
}

static json_t *read_patch(const char *file)
{
	json_error_t error;
	json_t *patch;

	if (strcmp(file, "-") == 0)
		patch = json_loadf(stdin, JSON_REJECT_DUPLICATES, &error);
	else
		patch = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
	if (!patch)
		fprintf(stderr, "goldcrestctl: %s: line %d: %s\n", file,
			error.line, error.text);
	return patch;
}

ctl_exit_t ctl_label(const ctl_t *ctl, int argc, char **argv)
{
	json_t *labels;

	if (argc < 2)
		return ctl_usage_error(
			"label: expected INSTANCE LABEL=VALUE...");
	labels = parse_labels(argc - 1, argv + 1);
	if (!labels)
		return ctl_usage_error("label: expected LABEL=VALUE");
	return patch_instance(ctl, argv[0],
			      json_pack("{so}", "labels", labels));
}

/* Returns NULL on a syntax error. An empty value removes the label. */
static json_t *parse_labels(int argc, char **argv)
{
	json_t *labels = json_object();

	for (int i = 0; i < argc; i++) {
		const char *equals = strchr(argv[i], '=');
		g_autofree char *name = NULL;

		if (!equals || equals == argv[i]) {
			json_decref(labels);
			return NULL;
		}
		name = g_strndup(argv[i], (gsize)(equals - argv[i]));
		json_object_set_new(labels, name,
				    equals[1] ? json_string(equals + 1)
					      : json_null());
	}
	return labels;
}

/* Takes the reference to members. */
static ctl_exit_t patch_instance(const ctl_t *ctl, const char *name,
				 json_t *members)
{
	g_autofree char *object_path = g_strconcat("instances.", name, NULL);
	json_t *patch = json_pack("{s{so}}", "instances", name, members);
	ctl_exit_t result = ctl_patch_object(ctl, object_path, patch);

	json_decref(patch);
	return result;
}

static ctl_exit_t set_departing(const ctl_t *ctl, int argc, char **argv,
				bool departing)
{
	if (argc != 1)
		return ctl_usage_error("%s: expected one INSTANCE",
				       departing ? "depart" : "return");
	return patch_instance(ctl, argv[0],
			      json_pack("{so}", "departing",
					departing ? json_true() : json_null()));
}

ctl_exit_t ctl_depart(const ctl_t *ctl, int argc, char **argv)
{
	return set_departing(ctl, argc, argv, true);
}

ctl_exit_t ctl_return(const ctl_t *ctl, int argc, char **argv)
{
	return set_departing(ctl, argc, argv, false);
}
