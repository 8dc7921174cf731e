/*
 * Client library: daemon addresses, generations that resume after a lost
 * connection, and actions that are retried safely.
 */
#ifndef GC_LIB_CLIENT_H
#define GC_LIB_CLIENT_H

#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/clock.h"
#include "core/error.h"
#include "core/placement.h"
#include "core/str.h"
#include "lib/httpc.h"

typedef struct gc_client gc_client_t;
typedef struct gc_client_generation gc_client_generation_t;

typedef struct gc_client_conf {
	/* URLs of the daemons to ask for addresses; NULL-terminated. */
	const char *const *urls;
	const char *key; /* bearer key of the client account */
	const gc_clock_t *clock;
	const gc_random_t *random;
	/*
	 * Time without progress after which a call fails: no token of a
	 * generation, no outcome of an action, or no daemon that returns the
	 * address list.
	 */
	int64_t progress_timeout_ms;
} gc_client_conf_t;

/* conf is copied; what it points to must outlive the client. */
gc_client_t *gc_client_create(TALLOC_CTX *mem, struct tevent_context *ev,
			      const gc_client_conf_t *conf);
void gc_client_destroy(gc_client_t *client);

typedef struct gc_client_generation_conf {
	const char *model;
	gc_str_t prompt;
	uint64_t max_tokens;
} gc_client_generation_conf_t;

typedef struct gc_client_generation_ops {
	void (*token)(void *ctx, gc_str_t text);
	/* The stream is being resumed after it failed at url. May be NULL. */
	void (*resumed)(void *ctx, const char *url);
	/* The last callback; err is NULL if the response is complete. */
	void (*done)(void *ctx, const GError *err);
} gc_client_generation_ops_t;

/*
 * Starts a generation. If the connection is lost or idle for too long, it is
 * resumed at another daemon by Last-Event-ID, with the tokens received so far
 * in the request body. The generation is freed after done.
 */
gc_client_generation_t *
gc_client_generate(gc_client_t *client, const gc_client_generation_conf_t *conf,
		   const gc_client_generation_ops_t *ops, void *ctx);
/* Closes the connection and frees the generation; no callback follows. */
void gc_client_generation_cancel(gc_client_generation_t *generation);

/*
 * The outcome of an action. With GC_RUN_DONE, status and body are the backend
 * server's, otherwise those of the daemon's error response, if any. err is NULL
 * for a 2xx status.
 */
typedef void (*gc_client_action_done_t)(void *ctx, gc_run_state_t run,
					int status, gc_str_t body,
					const GError *err);

/*
 * Calls a plain service through a daemon. key is the Idempotency-Key; retries
 * after `not_run`, a lost connection or an outcome in doubt send the same key.
 */
void gc_client_action(gc_client_t *client, const char *service,
		      const char *path, const char *key, gc_str_t body,
		      gc_client_action_done_t done, void *ctx);

/* Returns a new UUID version 7, e.g. for an Idempotency-Key; belongs to mem. */
char *gc_uuid7_generate(TALLOC_CTX *mem, const gc_clock_t *clock,
			const gc_random_t *random);

#endif
