/* Parses the global options and runs the command. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

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
};

static bool read_key(ctl_t *ctl, const char *key_file);
static ctl_exit_t run_command(const ctl_t *ctl, int argc, char **argv);

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
		{"json", 0, 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL},
		G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context =
		g_option_context_new("COMMAND [ARGUMENT...]");
	g_autoptr(GError) err = NULL;
	const char *urls = g_getenv("GOLDCREST_URLS");
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
	if (!ctl.urls)
		return ctl_usage_error("expected --url or GOLDCREST_URLS");
	if (!read_key(&ctl, key_file))
		return CTL_USAGE;
	for (char **url = ctl.urls; *url; url++) {
		if (g_str_has_suffix(*url, "/"))
			(*url)[strlen(*url) - 1] = '\0';
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	result = run_command(&ctl, argc - 1, argv + 1);
	curl_global_cleanup();
	g_strfreev(ctl.urls);
	g_free(ctl.key);
	return result;
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

static ctl_exit_t run_command(const ctl_t *ctl, int argc, char **argv)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, argv[0]) == 0)
			return commands[i].run(ctl, argc - 1, argv + 1);
	}
	return ctl_usage_error("unknown command \"%s\"", argv[0]);
}
