/* Settings of goldcrestd in its routed mode: one JSON file, checked whole. */
#ifndef GC_LIB_ROUTED_SETTINGS_H
#define GC_LIB_ROUTED_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "lib/log.h"
#include "lib/settings.h"

typedef struct gc_routed_settings {
	const char *instance;
	const char *failure_domain;
	gc_listen_t caller; /* routed requests */
	gc_listen_t ready; /* health checks of the surroundings */
	gc_listen_t addresses; /* callers' questions where to connect */
	gc_listen_t peer; /* other daemons, metrics; no address: none */
	const char *peer_address; /* IP:PORT that other daemons are told */
	const char *caller_address; /* IP:PORT that callers are told */
	const char *store; /* IP:PORT */
	int64_t config_in_force_ms; /* 2000 */
	int64_t revoke_ms; /* 5000: keys are refused this long after */
	/* Whether they end also where nothing is heard of the store: true. */
	bool revoke_strictly;
	int64_t contact_ms; /* 3000: not ready without contact for so long */
	int64_t stop_grace_ms; /* 8000: from SIGTERM to the end */
	double repeat_ratio; /* 0.8: repeats per request, fleet-wide */
	uint32_t repeat_slack; /* 300: repeats beyond it */
	int64_t repeat_window_ms; /* 10000: for both; "repeat_window_s" */
	uint32_t address_ttl_s; /* 2 */
	int64_t lease_ms; /* 3000: of the daemon's entry in the store */
	gc_log_level_t log_level;
} gc_routed_settings_t;

/* True if the file asks for the routed mode; false also if unreadable. */
bool gc_routed_settings_asked(const char *path);
/* Errors: GC_ERR_INVALID; the message has one line for each wrong value. */
gc_routed_settings_t *gc_routed_settings_load(TALLOC_CTX *mem, const char *path,
					      GError **err);

#endif
