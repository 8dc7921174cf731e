/* Parses and checks the command line of gcload. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gcload.h"

static int usage(const char *message);

int main(int argc, char **argv)
{
	/* Static: leak checkers must see the strings as reachable at exit. */
	static load_options_t options = {.requests = 20,
					 .concurrency = 10,
					 .min_tokens = 50,
					 .max_tokens = 200,
					 .prompt_words = 100,
					 .progress_timeout_s = 30,
					 .seed = 1};
	const GOptionEntry entries[] = {
		{"url", 'u', 0, G_OPTION_ARG_STRING_ARRAY, &options.urls,
		 "URL of a daemon to ask for addresses; may be repeated",
		 "URL"},
		{"key", 'k', 0, G_OPTION_ARG_STRING, &options.key,
		 "Bearer key of the client account", "KEY"},
		{"model", 'm', 0, G_OPTION_ARG_STRING, &options.model, "Model",
		 "NAME"},
		{"kind", 0, 0, G_OPTION_ARG_STRING, &options.prompt_kind,
		 "Kind of prompts: household or payslip (household)", "KIND"},
		{"requests", 'n', 0, G_OPTION_ARG_INT, &options.requests,
		 "Number of generations (20)", "N"},
		{"concurrency", 'c', 0, G_OPTION_ARG_INT, &options.concurrency,
		 "Concurrent generations (10)", "N"},
		{"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &options.rate,
		 "Generations per second, open loop; overrides --concurrency",
		 "R"},
		{"min-tokens", 0, 0, G_OPTION_ARG_INT, &options.min_tokens,
		 "Minimum length of an answer (50)", "N"},
		{"max-tokens", 0, 0, G_OPTION_ARG_INT, &options.max_tokens,
		 "Maximum length of an answer (200)", "N"},
		{"prompt-words", 0, 0, G_OPTION_ARG_INT, &options.prompt_words,
		 "Length of a prompt in words (100)", "N"},
		{"service", 0, 0, G_OPTION_ARG_STRING, &options.service,
		 "Plain service that takes the actions", "NAME"},
		{"path", 0, 0, G_OPTION_ARG_STRING, &options.path,
		 "Path of the actions", "PATH"},
		{"bookings", 'b', 0, G_OPTION_ARG_INT, &options.actions,
		 "Number of actions (0)", "N"},
		{"patience-s", 'p', 0, G_OPTION_ARG_INT,
		 &options.progress_timeout_s,
		 "Fail a request without progress after this time (30)", "S"},
		{"restart", 0, 0, G_OPTION_ARG_NONE, &options.restart_failed,
		 "Repeat a failed generation once from its start (baseline)",
		 NULL},
		{"seed", 's', 0, G_OPTION_ARG_INT, &options.seed,
		 "Seed of prompts, answer lengths and arrival times (1)", "N"},
		G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err))
		return usage(err->message);
	if (!options.urls || !options.key || !options.model)
		return usage("--url, --key and --model are required");
	if (options.min_tokens < 1 || options.max_tokens < options.min_tokens)
		return usage(
			"--min-tokens must be at least 1 and at most --max-tokens");
	if (options.actions > 0 && (!options.service || !options.path))
		return usage("--bookings requires --service and --path");
	if (!options.prompt_kind)
		options.prompt_kind = g_strdup("household");
	return run_load(&options);
}

static int usage(const char *message)
{
	fprintf(stderr, "gcload: %s\n", message);
	return 2;
}
