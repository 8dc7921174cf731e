/* The caller's command line tool. */
#ifndef GOLDCRESTCALL_H
#define GOLDCRESTCALL_H

#include <stdint.h>

#include <glib.h>

/* Exit codes, as in goldcrestcall(1). */
enum {
	EXIT_WHOLE = 0,
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
	int patience_s;
	gboolean verbose;
} options_t;

/* `generate [FILE]`: streams a generation to standard output. */
int run_generate(const options_t *options, const char *path);
/* `action SERVICE PATH`: calls a plain service at most once. */
int run_action(const options_t *options, const char *service, const char *path);

#endif
