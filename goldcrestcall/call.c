/* The subcommands: each makes one call with its own client and event loop. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "goldcrestcall.h"
#include "lib/client.h"

typedef struct session {
	const options_t *options;
	struct tevent_context *ev;
	gc_client_t *client;
	GRand *rand;
	gc_random_t random;
	bool done;
	int exit_status;
} session_t;

static uint64_t next_random(void *ctx);
static void session_init(session_t *session, const options_t *options);
static int session_run(session_t *session);
static char *read_prompt(const char *path, gsize *len);
static void print_error(const GError *err, const char *run_state);
static void on_token(void *ctx, gc_str_t text);
static void on_resumed(void *ctx, const char *url);
static void on_generation_done(void *ctx, const GError *err);
static void on_action_done(void *ctx, gc_run_state_t run, int status,
			   gc_str_t body, const GError *err);

int run_generate(const options_t *options, const char *path)
{
	static const gc_client_generation_ops_t ops = {
		.token = on_token,
		.resumed = on_resumed,
		.done = on_generation_done};
	session_t session;
	gsize len = 0;
	g_autofree char *prompt = read_prompt(path, &len);
	gc_client_generation_conf_t conf = {.model = options->model,
					    .prompt = {prompt, len},
					    .max_tokens = options->max_tokens};

	if (!prompt)
		return EXIT_FAILED;
	session_init(&session, options);
	gc_client_generate(session.client, &conf, &ops, &session);
	return session_run(&session);
}

int run_action(const options_t *options, const char *service, const char *path)
{
	session_t session;
	const char *key = options->idempotency_key;

	session_init(&session, options);
	if (!key)
		key = gc_uuid7_generate(session.client, &gc_clock_system,
					&session.random);
	if (options->verbose)
		fprintf(stderr, "goldcrestcall: idempotency key %s\n", key);
	gc_client_action(session.client, service, path, key,
			 gc_str(options->data ? options->data : "{}"),
			 on_action_done, &session);
	return session_run(&session);
}

static uint64_t next_random(void *ctx)
{
	return (uint64_t)g_rand_int(ctx) << 32 | g_rand_int(ctx);
}

static void session_init(session_t *session, const options_t *options)
{
	gc_client_conf_t conf = {
		.urls = (const char *const *)options->urls,
		.key = options->key,
		.clock = &gc_clock_system,
		.progress_timeout_ms = options->progress_timeout_s * 1000L,
	};

	*session = (session_t){.options = options, .exit_status = EXIT_FAILED};
	session->rand = g_rand_new();
	session->random = (gc_random_t){next_random, session->rand};
	conf.random = &session->random;
	session->ev = tevent_context_init(NULL);
	session->client = gc_client_create(session->ev, session->ev, &conf);
}

static int session_run(session_t *session)
{
	while (!session->done)
		tevent_loop_once(session->ev);
	talloc_free(session->ev);
	g_rand_free(session->rand);
	return session->exit_status;
}

static char *read_prompt(const char *path, gsize *len)
{
	g_autoptr(GError) err = NULL;
	char *text = NULL;

	if (strcmp(path, "-") == 0)
		path = "/dev/stdin";
	if (!g_file_get_contents(path, &text, len, &err)) {
		fprintf(stderr, "goldcrestcall: %s\n", err->message);
		return NULL;
	}
	if (g_utf8_validate(text, (gssize)*len, NULL))
		return text;
	fprintf(stderr, "goldcrestcall: %s: not valid UTF-8\n", path);
	g_free(text);
	return NULL;
}

/* run_state is that of an action; NULL for a generation. */
static void print_error(const GError *err, const char *run_state)
{
	const char *peer = gc_error_peer(err);

	fprintf(stderr, "goldcrestcall: ");
	if (*peer)
		fprintf(stderr, "%s: ", peer);
	fprintf(stderr, "%s: %s", gc_error_step(err), err->message);
	if (run_state)
		fprintf(stderr, " (%s)", run_state);
	fputc('\n', stderr);
}

static void on_token(void *ctx, gc_str_t text)
{
	fwrite(text.data, 1, text.len, stdout);
	fflush(stdout);
}

static void on_resumed(void *ctx, const char *url)
{
	session_t *session = ctx;

	if (session->options->verbose)
		fprintf(stderr,
			"goldcrestcall: %s: connection lost, resuming\n", url);
}

static void on_generation_done(void *ctx, const GError *err)
{
	session_t *session = ctx;

	session->done = true;
	session->exit_status = err ? EXIT_FAILED : EXIT_COMPLETE;
	putchar('\n');
	if (err)
		print_error(err, NULL);
}

static void on_action_done(void *ctx, gc_run_state_t run, int status,
			   gc_str_t body, const GError *err)
{
	session_t *session = ctx;

	session->done = true;
	session->exit_status = EXIT_COMPLETE;
	printf("%.*s\n", GC_STR_ARG(body));
	if (!err)
		return;
	session->exit_status = run == GC_RUN_NOT_RUN	? EXIT_NOT_RUN
			       : run == GC_RUN_IN_DOUBT ? EXIT_IN_DOUBT
							: EXIT_FAILED;
	print_error(err, gc_run_state_name(run));
}
