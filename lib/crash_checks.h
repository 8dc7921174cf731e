/*
 * Finds out whether a server that lost requests crashed, or whether only the
 * connections to it or this daemon's own network failed. Belongs to a traffic
 * thread.
 */
#ifndef GC_LIB_CRASH_CHECKS_H
#define GC_LIB_CRASH_CHECKS_H

#include <stdbool.h>
#include <stddef.h>

#include <talloc.h>

#include "core/backends.h"
#include "core/clock.h"
#include "core/crash_suspects.h"
#include "core/str.h"
#include "lib/adapter.h"
#include "lib/fleet.h"
#include "lib/timer.h"
#include "lib/upstream.h"

typedef struct gc_crash_checks gc_crash_checks_t;

/* A request that was broken off. */
typedef struct gc_crash_loss {
	gc_crash_report_t report;
	char *request; /* its id, for the log; NULL: another daemon's claim */
	uint64_t revision; /* of a claim */
} gc_crash_loss_t;

/* What other daemons say about a server that this one lost. */
typedef enum gc_witness_verdict {
	GC_WITNESS_NONE, /* none could tell */
	GC_WITNESS_REACHED, /* one reaches it */
	/* Its host refuses connections of one that reaches others of its service,
	 * and none reaches it. */
	GC_WITNESS_LOST,
} gc_witness_verdict_t;

/* Marks the tokens of questions about silence. These go to other daemons each time, as
 * those that are asked about a server's crash may be cut off, too. */
#define GC_WITNESS_SILENCE (UINT64_C(1) << 63)

typedef struct gc_crash_checks_conf {
	gc_upstream_t *upstream;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const gc_adapter_t *adapter;
	gc_backends_t *backends;
	const gc_confirmed_time_t *confirmed; /* by the store */
	/*
	 * Asks other daemons about the server with this incarnation;
	 * gc_crash_checks_add_verdict is called with the answer. False if there is
	 * no other daemon.
	 */
	bool (*ask_witness)(void *ctx, uint64_t token, uint64_t server);
	/* Called for all requests that a server lost at about one time; once
	 * more with `crashed` if that turns out later. */
	void (*settled)(void *ctx, const gc_backend_t *server, bool crashed,
			const gc_crash_loss_t *losses, size_t n);
	void *ctx;
} gc_crash_checks_conf_t;

gc_crash_checks_t *gc_crash_checks_create(TALLOC_CTX *mem,
					  const gc_crash_checks_conf_t *conf);
/*
 * The server closed or reset the connection of a request of the service. Starts
 * a check, or adds the request to the one in progress.
 */
void gc_crash_checks_add(gc_crash_checks_t *checks, gc_str_t service,
			 gc_backend_t *server, const gc_crash_report_t *report,
			 gc_str_t request);
/*
 * Another daemon claims the crash, without having asked others: it counts as a loss
 * until this daemon, or others that it asks, have tried the server. revision: as in
 * gc_crash_suspects_add_report.
 */
void gc_crash_checks_add_claim(gc_crash_checks_t *checks, gc_str_t service,
			       gc_backend_t *server,
			       const gc_crash_report_t *report,
			       uint64_t revision);
void gc_crash_checks_add_verdict(gc_crash_checks_t *checks, uint64_t token,
				 gc_witness_verdict_t verdict);
/* The server answered a request that was sent at `sent`: it didn't crash before. */
void gc_crash_checks_record_alive(gc_crash_checks_t *checks,
				  struct timespec sent,
				  const gc_backend_t *server);
/* True if a loss of the server before `sent` may turn out to be a crash. */
bool gc_crash_checks_is_undecided(const gc_crash_checks_t *checks,
				  struct timespec sent,
				  const gc_backend_t *server);
/*
 * To be called when the list of servers has changed: a lost server that starts
 * again has crashed, whatever the check said.
 */
void gc_crash_checks_servers_changed(gc_crash_checks_t *checks);

#endif
