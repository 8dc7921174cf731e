/* Load generator that checks every token of every answer. */
#ifndef GCLOAD_H
#define GCLOAD_H

#include <stdint.h>

#include <glib.h>

#include "core/placement.h"

typedef struct load_options {
	char **urls;
	char *key;
	char *model;
	char *kind; /* "household" or "payslip" */
	int requests;
	int concurrency;
	double rate; /* requests/s; 0: closed loop */
	int min_tokens;
	int max_tokens;
	int prompt_words;
	char *service; /* plain service to book at; NULL: none */
	char *path;
	int bookings;
	int patience_s;
	gboolean restart; /* begin a failed answer anew (a baseline) */
	int seed;
} load_options_t;

/* Runs the load; prints one JSON object and returns the exit status. */
int load_run(const load_options_t *options);

/* A prompt of about n words; free with g_free. */
char *make_prompt(const char *kind, int n, const gc_random_t *random);

/* Checks the token chain of one answer (docs/design.md section 3.1). */
typedef struct chain {
	uint64_t hash;
	uint64_t tokens;
	char run[48]; /* run of the last token */
	bool broken;
	bool new_run; /* the last token came from another run */
} chain_t;

void chain_begin(chain_t *chain, gc_str_t prompt);
/* Takes the next token; sets broken if it doesn't follow. */
void chain_take(chain_t *chain, gc_str_t token);

#endif
