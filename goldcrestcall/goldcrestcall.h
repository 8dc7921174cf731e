/* goldcrestcall: command line client. */
#ifndef GOLDCRESTCALL_H
#define GOLDCRESTCALL_H

#include <stdint.h>

#include <glib.h>

/* Exit statuses, documented in goldcrestcall(1). */
enum {
	EXIT_COMPLETE = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
	EXIT_IN_DOUBT = 3,
	EXIT_NOT_RUN = 4,
};

typedef struct options {
	char **urls;
	char *key;
	char *model;
	int max_tokens;
	char *idempotency_key;
	char *data;
	int progress_timeout_s;
	gboolean verbose;
} options_t;

/*
 * `generate [FILE]`: prints the generated text as it arrives. Both functions
 * return the exit status.
 */
int run_generate(const options_t *options, const char *path);
/* `action SERVICE PATH`: calls a plain service with POST. */
int run_action(const options_t *options, const char *service, const char *path);

#endif
