/* The caller's side: address list, streaming with resume, safe actions. */
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
	const char *const *urls; /* daemons to ask for addresses; NULL-ended */
	const char *key; /* bearer key of the client account */
	const gc_clock_t *clock;
	const gc_random_t *random;
	int64_t patience_ms; /* longest time without progress before failing */
} gc_client_conf_t;

gc_client_t *gc_client_create(TALLOC_CTX *mem, struct tevent_context *ev,
			      const gc_client_conf_t *conf);
void gc_client_destroy(gc_client_t *caller);

typedef struct gc_client_generation_conf {
	const char *model;
	gc_str_t prompt;
	uint64_t max_tokens;
} gc_client_generation_conf_t;

typedef struct gc_client_generation_ops {
	void (*token)(void *ctx, gc_str_t text);
	/* The connection broke and the stream goes on elsewhere. */
	void (*resumed)(void *ctx, const char *url);
	/* The last callback; err is NULL if the answer is whole. */
	void (*done)(void *ctx, const GError *err);
} gc_client_generation_ops_t;

/*
 * Generates a text. A broken or silent connection is resumed at another
 * daemon by Last-Event-ID, with the tokens received so far in the body.
 */
gc_client_generation_t *
gc_client_generate(gc_client_t *caller, const gc_client_generation_conf_t *conf,
		   const gc_client_generation_ops_t *ops, void *ctx);
/* Hangs up; no callback follows. */
void gc_client_generation_cancel(gc_client_generation_t *generation);

/*
 * The end of an action: status and body are the backend server's when run is
 * GC_RUN_DONE, otherwise those of the refusal.
 */
typedef void (*gc_action_done_t)(void *ctx, gc_run_state_t run, int status,
				 gc_str_t body, const GError *err);

/*
 * Calls a plain service through the system. key is the Idempotency-Key; the
 * same key is sent again after `not_run` and after a broken connection.
 */
void gc_client_action(gc_client_t *caller, const char *service,
		      const char *path, const char *key, gc_str_t body,
		      gc_action_done_t done, void *ctx);

/* A UUID version 7 for Idempotency-Key; belongs to mem. */
char *gc_uuid7(TALLOC_CTX *mem, const gc_clock_t *clock,
	       const gc_random_t *random);

#endif
