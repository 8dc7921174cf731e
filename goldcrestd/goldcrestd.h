/* The daemon's parts: options, control loop, traffic threads. */
#ifndef GOLDCRESTD_H
#define GOLDCRESTD_H

#include <glib.h>

typedef struct daemon_options {
	char *settings_file;
	char *ports_file;
	gboolean check_only;
	gboolean verbose;
} daemon_options_t;

/* Runs until a signal stops it; the process's exit status. */
int daemon_run(const daemon_options_t *options);
/* The same in the routed mode, which the settings ask for. */
int routed_run(const daemon_options_t *options);

#endif
