/* goldcrestd: the daemon of an instance; parses options, selects the mode. */
#include <stdio.h>
#include <stdlib.h>

#include "goldcrestd.h"
#include "lib/build.h"
#include "lib/routed_settings.h"

static daemon_options_t options;

static const GOptionEntry entries[] = {
	{"file", 'f', 0, G_OPTION_ARG_FILENAME, &options.settings_file,
	 "Read the settings from FILE", "FILE"},
	{"check", 'n', 0, G_OPTION_ARG_NONE, &options.check_only,
	 "Only check the settings", NULL},
	{"verbose", 'v', 0, G_OPTION_ARG_NONE, &options.verbose,
	 "Log debug events", NULL},
	{"ports-file", 0, 0, G_OPTION_ARG_FILENAME, &options.ports_file,
	 "Write the listeners' ports to FILE once they are up", "FILE"},
	{"version", 'V', 0, G_OPTION_ARG_NONE, &options.version,
	 "Print the source revision and exit", NULL},
	{0},
};

int main(int argc, char **argv)
{
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err)) {
		fprintf(stderr, "goldcrestd: %s\n", err->message);
		return EXIT_FAILURE;
	}
	if (options.version) {
		printf("%s\n", gc_build);
		return EXIT_SUCCESS;
	}
	if (argc > 1 || !options.settings_file) {
		fprintf(stderr, "usage: goldcrestd [-nVv] [--ports-file FILE] "
				"-f FILE\n");
		return EXIT_FAILURE;
	}
	if (gc_routed_settings_selected(options.settings_file))
		return routed_run(&options);
	return daemon_run(&options);
}
