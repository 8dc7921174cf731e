/*
 * Serves routed requests: admits them by route and API key, forwards them to
 * backend servers with retries, and sends the caller one response. Runs in one
 * traffic thread.
 */
#ifndef GC_LIB_RELAY_H
#define GC_LIB_RELAY_H

#include <talloc.h>
#include <tevent.h>

#include "core/backends.h"
#include "core/clock.h"
#include "core/crash_suspects.h"
#include "core/placement.h"
#include "core/rollout.h"
#include "core/rollout_evidence.h"
#include "lib/adapter.h"
#include "lib/caller_listener.h"
#include "lib/crash_checks.h"
#include "lib/fleet.h"
#include "lib/stream_versions.h"
#include "lib/timer.h"
#include "lib/upstream.h"

typedef struct gc_relay gc_relay_t;

typedef struct gc_relay_conf {
	struct tevent_context *ev;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_random_t *random;
	const gc_adapter_t *adapter;
	const gc_confirmed_time_t *confirmed;
	gc_str_t instance; /* name of this daemon */
	gc_str_t failure_domain; /* of this daemon */
	/* With a configuration confirmed longer ago, 404 and 401 become 503. */
	int64_t deny_age_ms;
	/* With one confirmed longer ago, requests that need a key get 503. */
	int64_t admit_age_ms;
	int64_t connect_timeout_ms;
	gc_socket_liveness_t liveness;
	const char *source; /* local IP of connections to servers; NULL: any */
	/* Requests are passed on to other daemons, and taken from them. */
	bool passes_on;
	/* Local IP of connections to them, by which they know this daemon. */
	const char *forward_source;
	/* How long they are taken from a daemon that has removed its entry. */
	int64_t departed_ms;
	double repeat_ratio; /* see gc_backends_conf_t */
	uint32_t repeat_slack;
	int64_t pause_max_ms; /* longest Retry-After of a server that counts */
	int64_t repeat_window_ms;
	/* Tell the other daemons that a server crashed under requests, or that
	 * a trait of a request was served; may be NULL. */
	void (*share_crash)(void *ctx, const gc_crash_report_t *reports,
			    size_t n);
	void (*share_served)(void *ctx, uint64_t trait);
	/* Tell daemons that start later why requests are refused; may be NULL. */
	void (*share_kept)(void *ctx, const gc_crash_evidence_t *evidence);
	/* Asks other daemons whether they reach a server;
	 * gc_relay_add_verdict is called with the answer. May be NULL. */
	void (*ask_witness)(void *ctx, uint64_t token, uint64_t server);
	/* Asks for permits of a limited server; gc_relay_add_permits is called with
	 * the answer. */
	void (*ask_permits)(void *ctx, const gc_permit_ask_t *ask);
	/* Whether this daemon can serve requests: false while it reaches no server of
	 * any service and no daemon takes requests from it; may be NULL. */
	void (*set_serving)(void *ctx, bool serving);
	/* Asks for places of a brittle server, or tells what is in flight there;
	 * gc_relay_add_places is called with the answer. */
	void (*ask_places)(void *ctx, const gc_place_ask_t *ask);
	/* See lib/stream_versions.h; gc_relay_set_recorded and
	 * gc_relay_set_found_version are called with the results. */
	void (*record_version)(void *ctx, uint64_t token, const char *key,
			       gc_str_t version);
	void (*find_version)(void *ctx, uint64_t token, const char *key);
	/* Counts of a roll-out that runs, every GC_ROLLOUT_REPORT_MS; valid during the
	 * call. May be NULL. */
	void (*report_rollout)(void *ctx, gc_str_t service,
			       const gc_rollout_report_t *report);
	/* See gc_rollout_limits_t.withdraw_ms; 0: roll-outs are not enabled. */
	int64_t rollout_withdraw_ms;
	void *share_ctx;
} gc_relay_conf_t;

gc_relay_t *gc_relay_create(TALLOC_CTX *mem, const gc_relay_conf_t *conf);
/* Replaces the fleet view; takes a reference. */
void gc_relay_set_view(gc_relay_t *relay, gc_fleet_view_t *view);
/* What other daemons say; see gc_crash_suspects_add_report. The report is kept
 * for kept_ms; 0: the usual time. Unless it was checked by other daemons, it counts
 * once this one has tried the server. */
void gc_relay_add_crash(gc_relay_t *relay, const gc_crash_report_t *report,
			uint64_t revision, int64_t kept_ms, bool checked);
void gc_relay_add_verdict(gc_relay_t *relay, uint64_t token,
			  gc_witness_verdict_t verdict);
void gc_relay_set_recorded(gc_relay_t *relay, uint64_t token, bool ok);
void gc_relay_set_found_version(gc_relay_t *relay, uint64_t token,
				gc_version_result_t result, gc_str_t version);
/* A record of a roll-out, which replaces the service's last one; it is copied. */
void gc_relay_set_rollout(gc_relay_t *relay, const gc_rollout_record_t *record);
/* To be called before the confirmed time moves forward. */
void gc_relay_note_confirmation(gc_relay_t *relay);
/* Whether the store answers, so that records can be written. */
void gc_relay_set_store_answers(gc_relay_t *relay, bool answers);
/* The store was restored, lately as far as is known: it may lack records. */
void gc_relay_set_restored(gc_relay_t *relay);
/* Answer to an ask for permits. */
void gc_relay_add_permits(gc_relay_t *relay, const gc_permit_answer_t *answer);
/* Answer to an ask for places, or what an issuer tells of a server. */
void gc_relay_add_places(gc_relay_t *relay, const gc_place_answer_t *answer);
void gc_relay_add_served(gc_relay_t *relay, uint64_t trait, uint64_t revision);
/*
 * The daemon stops at `end`: from now on, requests whose time limit lies after
 * `end` are refused.
 */
void gc_relay_set_stopping(gc_relay_t *relay, struct timespec end);
/*
 * Ends the requests in flight, at the `end` of gc_relay_set_stopping: each is
 * refused, failed, or aborted if its response has begun.
 */
void gc_relay_end_requests(gc_relay_t *relay);
/* Requests in flight, including those whose caller has disconnected. */
size_t gc_relay_in_flight(const gc_relay_t *relay);

/* Handlers for a caller listener whose ctx is the relay. */
extern const gc_caller_listener_ops_t gc_relay_listener_ops;
/* The same for a listener to which other daemons pass requests on. */
extern const gc_caller_listener_ops_t gc_relay_forward_ops;

#endif
