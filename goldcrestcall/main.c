/* Parses options and runs the subcommand. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "goldcrestcall.h"

#define DEFAULT_MAX_TOKENS	   256
#define DEFAULT_PROGRESS_TIMEOUT_S 60

static void read_environment(options_t *options);
static gboolean read_key_file(options_t *options, const char *path,
			      GError **err);
static int run_subcommand(const options_t *options, int argc, char **argv);
static int usage(const char *message);

int main(int argc, char **argv)
{
	/* Static, so that leak checkers find the strings reachable at exit. */
	static options_t options = {.max_tokens = DEFAULT_MAX_TOKENS,
				    .progress_timeout_s =
					    DEFAULT_PROGRESS_TIMEOUT_S};
	g_autofree char *key_file = NULL;
	const GOptionEntry entries[] = {
		{"url", 'u', 0, G_OPTION_ARG_STRING_ARRAY, &options.urls,
		 "Daemon to ask for addresses; may be repeated", "URL"},
		{"key-file", 'k', 0, G_OPTION_ARG_FILENAME, &key_file,
		 "File with the account's bearer key", "FILE"},
		{"model", 'm', 0, G_OPTION_ARG_STRING, &options.model,
		 "Model to generate with", "NAME"},
		{"max-tokens", 't', 0, G_OPTION_ARG_INT, &options.max_tokens,
		 "Maximum tokens to generate (default 256)", "N"},
		{"idempotency-key", 'i', 0, G_OPTION_ARG_STRING,
		 &options.idempotency_key,
		 "Idempotency key of an action (default: a new UUID)", "UUID"},
		{"data", 'd', 0, G_OPTION_ARG_STRING, &options.data,
		 "JSON body of an action (default {})", "JSON"},
		{"patience-s", 'p', 0, G_OPTION_ARG_INT,
		 &options.progress_timeout_s,
		 "Seconds without progress before failing (default 60)", "S"},
		{"verbose", 'v', 0, G_OPTION_ARG_NONE, &options.verbose,
		 "Report resumes and idempotency keys on standard error", NULL},
		G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context =
		g_option_context_new("generate [FILE] | action SERVICE PATH");
	g_autoptr(GError) err = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err))
		return usage(err->message);
	if (key_file && !read_key_file(&options, key_file, &err))
		return usage(err->message);
	read_environment(&options);
	if (!options.urls || !options.urls[0])
		return usage("no --url and no GOLDCREST_URLS");
	if (!options.key)
		return usage("no --key-file and no GOLDCREST_KEY");
	if (options.max_tokens < 1 || options.progress_timeout_s < 1)
		return usage(
			"--max-tokens and --patience-s must be at least 1");
	return run_subcommand(&options, argc, argv);
}

static void read_environment(options_t *options)
{
	const char *urls = g_getenv("GOLDCREST_URLS");

	if (!options->urls && urls)
		options->urls = g_strsplit_set(urls, " ,", -1);
	if (!options->key)
		options->key = g_strdup(g_getenv("GOLDCREST_KEY"));
}

static gboolean read_key_file(options_t *options, const char *path,
			      GError **err)
{
	if (!g_file_get_contents(path, &options->key, NULL, err))
		return FALSE;
	g_strstrip(options->key);
	return TRUE;
}

static int run_subcommand(const options_t *options, int argc, char **argv)
{
	if (argc < 2)
		return usage("missing subcommand");
	if (strcmp(argv[1], "generate") == 0 && argc <= 3) {
		if (!options->model)
			return usage("generate: no --model");
		return run_generate(options, argc == 3 ? argv[2] : "-");
	}
	if (strcmp(argv[1], "action") == 0 && argc == 4)
		return run_action(options, argv[2], argv[3]);
	return usage("subcommands: generate [FILE], action SERVICE PATH");
}

static int usage(const char *message)
{
	fprintf(stderr, "goldcrestcall: %s\n", message);
	return EXIT_USAGE;
}
