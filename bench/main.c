/* Reads the options of gcload and hands over. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gcload.h"

static int usage(const char *message);

int main(int argc, char **argv)
{
	/* Static, so that the strings are no leak when the program ends. */
	static load_options_t o = {.requests = 20,
				   .concurrency = 10,
				   .min_tokens = 50,
				   .max_tokens = 200,
				   .prompt_words = 100,
				   .patience_s = 30,
				   .seed = 1};
	const GOptionEntry entries[] = {
		{"url", 'u', 0, G_OPTION_ARG_STRING_ARRAY, &o.urls,
		 "A daemon to ask for addresses; may be repeated", "URL"},
		{"key", 'k', 0, G_OPTION_ARG_STRING, &o.key,
		 "Bearer key of the client account", "KEY"},
		{"model", 'm', 0, G_OPTION_ARG_STRING, &o.model, "Model",
		 "NAME"},
		{"kind", 0, 0, G_OPTION_ARG_STRING, &o.kind,
		 "household or payslip", "KIND"},
		{"requests", 'n', 0, G_OPTION_ARG_INT, &o.requests,
		 "Generations in all (20)", "N"},
		{"concurrency", 'c', 0, G_OPTION_ARG_INT, &o.concurrency,
		 "Generations at once (10)", "N"},
		{"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &o.rate,
		 "Arrivals per second, open loop", "R"},
		{"min-tokens", 0, 0, G_OPTION_ARG_INT, &o.min_tokens,
		 "Shortest answer (50)", "N"},
		{"max-tokens", 0, 0, G_OPTION_ARG_INT, &o.max_tokens,
		 "Longest answer (200)", "N"},
		{"prompt-words", 0, 0, G_OPTION_ARG_INT, &o.prompt_words,
		 "Words of a prompt (100)", "N"},
		{"service", 0, 0, G_OPTION_ARG_STRING, &o.service,
		 "Plain service to call as well", "NAME"},
		{"path", 0, 0, G_OPTION_ARG_STRING, &o.path,
		 "Path of the action", "PATH"},
		{"bookings", 'b', 0, G_OPTION_ARG_INT, &o.bookings,
		 "Actions in all", "N"},
		{"patience-s", 'p', 0, G_OPTION_ARG_INT, &o.patience_s,
		 "Longest time without progress (30)", "S"},
		{"restart", 0, 0, G_OPTION_ARG_NONE, &o.restart,
		 "Begin a failed answer anew, once (a baseline)", NULL},
		{"seed", 's', 0, G_OPTION_ARG_INT, &o.seed,
		 "Seed of prompts, lengths and arrivals (1)", "N"},
		G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err))
		return usage(err->message);
	if (!o.urls || !o.key || !o.model)
		return usage("--url, --key and --model are needed");
	if (o.min_tokens < 1 || o.max_tokens < o.min_tokens)
		return usage("--max-tokens is below --min-tokens");
	if (o.bookings > 0 && (!o.service || !o.path))
		return usage("--bookings needs --service and --path");
	if (!o.kind)
		o.kind = g_strdup("household");
	return load_run(&o);
}

static int usage(const char *message)
{
	fprintf(stderr, "gcload: %s\n", message);
	return 2;
}
