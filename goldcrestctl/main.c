/* Parses the global options and runs the command. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "core/address.h"
#include "goldcrestctl.h"

typedef struct command {
	const char *name;
	ctl_exit_t (*run)(const ctl_t *ctl, int argc, char **argv);
} command_t;

static const command_t commands[] = {
	{"status", ctl_status},	  {"config", ctl_config},
	{"label", ctl_label},	  {"pool", ctl_pool},
	{"model", ctl_model},	  {"account", ctl_account},
	{"service", ctl_service}, {"depart", ctl_depart},
	{"return", ctl_return},	  {"wait", ctl_wait},
	{"rollout", ctl_rollout},
};

static ctl_exit_t check_options(ctl_t *ctl, const command_t *command,
				const char *key_file);
static bool read_key(ctl_t *ctl, const char *key_file);
static const command_t *find_command(const char *name);

ctl_exit_t ctl_usage_error(const char *message, ...)
{
	va_list args;

	fprintf(stderr, "goldcrestctl: ");
	va_start(args, message);
	vfprintf(stderr, message, args);
	va_end(args);
	fprintf(stderr, "\n");
	return CTL_USAGE;
}

int main(int argc, char **argv)
{
	ctl_t ctl = {0};
	g_autofree char *key_file = NULL;
	gboolean json = FALSE;
	const GOptionEntry entries[] = {
		{"url", 0, 0, G_OPTION_ARG_STRING_ARRAY, &ctl.urls,
		 "Operator listener of a daemon; may be repeated", "URL"},
		{"key-file", 0, 0, G_OPTION_ARG_FILENAME, &key_file,
		 "File with the operator key", "FILE"},
		{"store", 0, 0, G_OPTION_ARG_STRING, &ctl.store,
		 "Store of the routed mode, for rollout", "IP:PORT"},
		{"json", 0, 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL},
		G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context =
		g_option_context_new("COMMAND [ARGUMENT...]");
	g_autoptr(GError) err = NULL;
	const char *urls = g_getenv("GOLDCREST_URLS");
	const command_t *command;
	ctl_exit_t result;

	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_set_strict_posix(context, TRUE);
	if (!g_option_context_parse(context, &argc, &argv, &err))
		return ctl_usage_error("%s", err->message);
	ctl.json = json;
	if (!ctl.urls && urls)
		ctl.urls = g_strsplit_set(urls, " ,", -1);
	if (argc < 2)
		return ctl_usage_error(
			"expected a command; see goldcrestctl(1)");
	command = find_command(argv[1]);
	result = check_options(&ctl, command, key_file);
	if (result != CTL_OK)
		return result;
	if (!command)
		return ctl_usage_error("unknown command \"%s\"", argv[1]);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	result = command->run(&ctl, argc - 2, argv + 2);
	curl_global_cleanup();
	g_strfreev(ctl.urls);
	g_free(ctl.key);
	g_free(ctl.store);
	return result;
}

/* command: NULL if there is none of that name. */
static ctl_exit_t check_options(ctl_t *ctl, const command_t *command,
				const char *key_file)
{
	/* Needs no daemon and no operator key. */
	if (command && command->run == ctl_rollout) {
		if (!ctl->store)
			return ctl_usage_error("%s: expected --store",
					       command->name);
		if (!gc_address_is_host_port(gc_str(ctl->store)))
			return ctl_usage_error(
				"--store: expected IP:PORT, not \"%s\"",
				ctl->store);
		return CTL_OK;
	}
	if (!ctl->urls)
		return ctl_usage_error("expected --url or GOLDCREST_URLS");
	if (!read_key(ctl, key_file))
		return CTL_USAGE;
	for (char **url = ctl->urls; *url; url++) {
		if (g_str_has_suffix(*url, "/"))
			(*url)[strlen(*url) - 1] = '\0';
	}
	return CTL_OK;
}

static bool read_key(ctl_t *ctl, const char *key_file)
{
	const char *key = g_getenv("GOLDCREST_OPERATOR_KEY");
	g_autoptr(GError) err = NULL;

	if (!key_file && !key) {
		ctl_usage_error(
			"expected --key-file or GOLDCREST_OPERATOR_KEY");
		return false;
	}
	if (!key_file) {
		ctl->key = g_strdup(key);
		return true;
	}
	if (!g_file_get_contents(key_file, &ctl->key, NULL, &err)) {
		ctl_usage_error("%s", err->message);
		return false;
	}
	g_strchomp(ctl->key);
	return true;
}

/* NULL if there is none. */
static const command_t *find_command(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}
