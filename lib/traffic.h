/* A traffic thread: caller listener, filter chain, HTTP client. */
#ifndef GC_LIB_TRAFFIC_H
#define GC_LIB_TRAFFIC_H

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/admission.h"
#include "core/clock.h"
#include "core/placement.h"
#include "lib/engine_pool.h"
#include "lib/httpc.h"
#include "lib/httpd.h"
#include "lib/mailbox.h"
#include "lib/settings.h"
#include "lib/view.h"

typedef struct gc_traffic gc_traffic_t;
struct gc_control;
struct gc_claims;

typedef struct gc_traffic_conf {
	const gc_settings_t *settings;
	const gc_clock_t *clock;
	/* Receives reports on engines, see lib/control.h. */
	struct gc_control *control;
	struct gc_claims *claims; /* see lib/claims.h */
	uint64_t seed; /* of the random source */
} gc_traffic_conf_t;

/*
 * Starts the thread and its listener. Errors: GC_ERR_IO if the address can't be
 * bound, GC_ERR_INVALID if it isn't an IPv4 address.
 */
gc_traffic_t *gc_traffic_create(const gc_traffic_conf_t *conf, GError **err);
/* Port of the caller listener. */
uint16_t gc_traffic_port(const gc_traffic_t *traffic);
/*
 * Sets control and claims, which are created after the listener because they
 * need its port. Call before the first gc_traffic_set_view. From any thread.
 */
void gc_traffic_attach(gc_traffic_t *traffic, struct gc_control *control,
		       struct gc_claims *claims);
/* Sets the current view (a reference is taken). From any thread. */
void gc_traffic_set_view(gc_traffic_t *traffic, gc_view_t *view);
/*
 * Refuses new requests, waits up to grace_s seconds for open ones and aborts
 * the rest; then calls done in the traffic thread. From any thread.
 */
void gc_traffic_stop(gc_traffic_t *traffic, unsigned int grace_s,
		     void (*done)(void *ctx), void *ctx);
/* Ends and joins the thread, and frees traffic. From the creating thread. */
void gc_traffic_destroy(gc_traffic_t *traffic);

/* For filters, in the traffic thread only. */
struct tevent_context *gc_traffic_ev(gc_traffic_t *traffic);
gc_httpc_t *gc_traffic_http_client(gc_traffic_t *traffic);
gc_mailbox_t *gc_traffic_mailbox(gc_traffic_t *traffic);
const gc_clock_t *gc_traffic_clock(gc_traffic_t *traffic);
const gc_random_t *gc_traffic_random(gc_traffic_t *traffic);
const gc_settings_t *gc_traffic_settings(gc_traffic_t *traffic);
struct gc_claims *gc_traffic_claims(gc_traffic_t *traffic);
struct gc_control *gc_traffic_control(gc_traffic_t *traffic);
gc_engine_pool_t *gc_traffic_engine_pool(gc_traffic_t *traffic);
gc_admission_t *gc_traffic_admission(gc_traffic_t *traffic);
gc_retry_budget_t *gc_traffic_retry_budget(gc_traffic_t *traffic);
/*
 * Refuses the queued requests that have timed out, and sets the timer for the
 * next one. Call after a request was queued.
 */
void gc_traffic_expire_queue(gc_traffic_t *traffic);
/* True after gc_traffic_stop. */
bool gc_traffic_is_stopping(const gc_traffic_t *traffic);

/* Work in progress; aborted when the grace period of a shutdown is over. */
typedef struct gc_traffic_job {
	struct gc_traffic_job *prev, *next;
	gc_traffic_t *traffic;
	void (*abort_job)(void *ctx);
	void *ctx;
} gc_traffic_job_t;

void gc_traffic_job_add(gc_traffic_t *traffic, gc_traffic_job_t *job);
void gc_traffic_job_remove(gc_traffic_job_t *job);

#endif
