/* The daemon's settings, read from one JSON file. */
#ifndef GC_LIB_SETTINGS_H
#define GC_LIB_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "core/cursor.h"
#include "core/str.h"
#include "lib/log.h"

/* Where to listen. */
typedef struct gc_listen_address {
	const char *address; /* IPv4 address */
	uint16_t port; /* 0: any free port */
} gc_listen_address_t;

/* The numbers in the comments are the defaults. */
typedef struct gc_settings {
	const char *instance;
	const char *failure_domain;
	gc_listen_address_t caller; /* HTTP API for callers */
	gc_listen_address_t operators; /* HTTP API; "operator" in the file */
	gc_listen_address_t peer; /* other daemons; ZeroMQ over TCP */
	const char **seed_peers; /* tcp://ADDRESS:PORT */
	size_t n_seed_peers;
	const char *platform_url; /* http://ADDRESS:PORT */
	uint8_t fleet_key[GC_FLEET_KEY_LEN]; /* 64 hex digits in the file */
	const char **operator_keys; /* bearer keys */
	size_t n_operator_keys;
	unsigned int traffic_threads; /* 1 */
	size_t max_body_bytes; /* 4 MiB */
	unsigned int heartbeat_ms; /* 500 */
	unsigned int config_confirm_ms; /* 3000 */
	unsigned int list_poll_ms; /* 1000 */
	unsigned int load_poll_ms; /* 500 */
	unsigned int engine_subset; /* 64 */
	unsigned int queue_ms; /* 2000; longest wait for admission */
	unsigned int max_streams; /* 4000 */
	unsigned int address_ttl_s; /* 10 */
	unsigned int stop_grace_s; /* 30 */
	unsigned int claim_batch_ms; /* 2 */
	unsigned int max_attempts; /* 32; runs started per generation */
	unsigned int stall_timeout_ms; /* 0: adapted to each engine */
	unsigned int claim_sweep_s; /* 3600 */
	bool log_json;
	gc_log_level_t log_level;
} gc_settings_t;

/*
 * Reads and validates the file. The result, with its strings, is freed with
 * mem. Errors: GC_ERR_INVALID; the message has one line for each invalid
 * value, which begins with its path ("caller.port: ...").
 */
gc_settings_t *gc_settings_load(TALLOC_CTX *mem, const char *path,
				GError **err);

#endif
