/* Settings of goldcrestd in routed mode, from one JSON file. */
#ifndef GC_LIB_ROUTED_SETTINGS_H
#define GC_LIB_ROUTED_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "core/rollout.h"
#include "lib/log.h"
#include "lib/settings.h"

typedef struct gc_routed_settings {
	const char *instance;
	const char *failure_domain;
	gc_listen_address_t caller; /* routed requests */
	gc_listen_address_t ready; /* readiness checks of the platform */
	/* Callers' queries for addresses of daemons. */
	gc_listen_address_t addresses;
	/* Other daemons and metrics; address NULL: none. */
	gc_listen_address_t peer;
	const char *peer_address; /* IP:PORT published to other daemons */
	/* Requests that other daemons pass on; address NULL: none is passed on,
	 * in either direction. */
	gc_listen_address_t forward;
	const char *forward_address; /* IP:PORT published to other daemons */
	const char *source; /* IP of connections to servers; NULL: any */
	const char *caller_address; /* IP:PORT published to callers */
	const char *store; /* IP:PORT */
	/*
	 * The members below are optional; comments begin with the default.
	 * "Confirmed" refers to the operator's configuration.
	 */

	/* 2000: 503 instead of 404 and 401 if confirmed longer ago. */
	int64_t config_in_force_ms;
	int64_t revoke_ms; /* 5000: time until a revoked key is refused */
	/*
	 * true: requests with a key are refused if the last confirmation is
	 * too old to keep the bound of revoke_ms; false: they are served.
	 */
	bool revoke_strictly;
	int64_t contact_ms; /* 3000: not ready if confirmed longer ago */
	int64_t stop_grace_ms; /* 8000: from SIGTERM to exit; "stop_grace_s" */
	double repeat_ratio; /* 0.8: retries per request, fleet-wide */
	uint32_t repeat_slack; /* 300: retries allowed beyond the ratio */
	/* 10000: time over which both are counted; "repeat_window_s" */
	int64_t repeat_window_ms;
	/* 600000: longest Retry-After of a server that counts;
	 * "retry_after_max_s" */
	int64_t retry_after_max_ms;
	uint32_t address_ttl_s; /* 2: how long callers may use addresses */
	int64_t lease_ms; /* 3000: of the daemon's entry in the store */
	/* 0, 0, 5000: "rollout_share", "rollout_slack", "rollout_withdraw_ms" */
	gc_rollout_limits_t rollout;
	gc_log_level_t log_level;
} gc_routed_settings_t;

/* True if the file sets "mode" to "routed"; false if it can't be read. */
bool gc_routed_settings_selected(const char *path);
/*
 * Reads and checks the file. Errors: GC_ERR_INVALID; the message has one line
 * for each invalid value, as in "lease_ms: ...".
 */
gc_routed_settings_t *gc_routed_settings_load(TALLOC_CTX *mem, const char *path,
					      GError **err);

#endif
