/* Load generator that verifies every token of every answer. */
#ifndef GCLOAD_H
#define GCLOAD_H

#include <stdint.h>

#include <glib.h>

#include "core/placement.h"

typedef struct load_options {
	char **urls; /* daemons to ask for addresses; NULL-terminated */
	char *key; /* bearer key of the client account */
	char *model;
	char *prompt_kind; /* "household" or "payslip" */
	int requests; /* number of generations to send */
	int concurrency; /* generations in flight in the closed loop */
	double rate; /* requests/s; 0: closed loop */
	int min_tokens; /* bounds of the length of an answer */
	int max_tokens;
	int prompt_words;
	char *service; /* plain service that takes the actions; NULL: none */
	char *path; /* path of the actions */
	int actions; /* number of actions to send */
	int progress_timeout_s;
	gboolean restart_failed; /* repeat a failed generation once */
	int seed;
} load_options_t;

/*
 * Sends the requests and prints a JSON report on standard output. Returns the
 * exit status: EXIT_FAILURE if an answer was corrupt.
 */
int run_load(const load_options_t *options);

/*
 * Returns a prompt of at least min_words words; free with g_free. Any kind but
 * "payslip" gives a list of household items.
 */
char *make_prompt(const char *kind, int min_words, const gc_random_t *random);

/*
 * Verifies the hash chain of the tokens of one answer (docs/design.md section
 * 3.1): each token contains the hash of the prompt and all tokens before it.
 */
typedef struct token_chain {
	uint64_t hash; /* of the prompt and the tokens so far */
	uint64_t tokens;
	char run[48]; /* run of the last token */
	bool invalid; /* a token was malformed or had a wrong hash */
	/* The last token came from another run than the one before. */
	bool run_changed;
} token_chain_t;

void token_chain_init(token_chain_t *chain, gc_str_t prompt);
/* Adds the next token; sets invalid if it does not continue the chain. */
void token_chain_append(token_chain_t *chain, gc_str_t token);

#endif
