/* Options and entry points of goldcrestd's two modes. */
#ifndef GOLDCRESTD_H
#define GOLDCRESTD_H

#include <glib.h>

typedef struct daemon_options {
	char *settings_file;
	char *ports_file; /* gets the listening ports; NULL: none */
	gboolean check_only; /* check the settings and exit */
	gboolean version; /* print the source revision and exit */
	gboolean verbose; /* log debug events */
} daemon_options_t;

/* Runs until SIGTERM or SIGINT; returns the process's exit status. */
int daemon_run(const daemon_options_t *options);
/* The same for settings with "mode": "routed". */
int routed_run(const daemon_options_t *options);

#endif
