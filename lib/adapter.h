/*
 * Interface to the platform on which routed requests are served: names of
 * headers and paths, formats of the operator configuration, of backend server
 * entries and of addresses. An adapter only translates; it makes no decisions
 * and keeps no state.
 */
#ifndef GC_LIB_ADAPTER_H
#define GC_LIB_ADAPTER_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <talloc.h>

#include "core/backends.h"
#include "core/change_log.h"
#include "core/registry.h"
#include "core/rollout.h"
#include "core/routes.h"
#include "core/str.h"

/* Header names, and the scheme in Authorization. */
typedef struct gc_header_names {
	const char *request_id; /* of one attempt of a caller */
	const char *deadline_ms; /* remaining time of the caller, ms */
	const char *account; /* client account, for backend servers */
	const char *target; /* id of the only server that may run the request */
	const char *not_run; /* the server did not run the request */
	const char *leaving; /* "1": the server is leaving */
	const char *limit; /* requests a second that the server takes */
	const char *brittle; /* requests a second that it may turn away */
	const char *mac; /* authenticates a server's response */
	const char *copy_to; /* address of the server to copy the KV cache to */
	const char *copy_from; /* ADDRESS/ID of the copy to resume from */
	const char *prompt; /* the parts of a prompt, see prompt_id */
	const char *token_counts; /* see read_token_counts */
	/* Request id of the try that brought the first event of a stream which
	 * the caller resumes. */
	const char *resumes;
	const char *
		urgency; /* among the requests of a server, see core/urgency.h */
	const char *auth_scheme; /* before the key in Authorization */
	/* Removed from callers' requests; ended by NULL. */
	const char *const *internal;
} gc_header_names_t;

/* A caller's query for addresses of daemons. */
typedef struct gc_address_query {
	gc_str_t failure_domain; /* of the caller; empty if not given */
} gc_address_query_t;

typedef struct gc_routes_reader gc_routes_reader_t;

typedef struct gc_adapter {
	gc_header_names_t headers;
	const char *config_key; /* of the operator configuration in the store */
	const char *servers_prefix; /* of the keys of backend servers */
	const char *ready_path;
	const char *addresses_path;
	const char *load_path; /* of a backend server's load report */
	/* The version of the operator configuration, without a look at the rest;
	 * G_MAXUINT64 if it can't be told so. */
	uint64_t (*config_version)(gc_str_t record);
	/*
	 * Parses the operator configuration in steps. The table shares the routes
	 * that have the same text as in the record of the former one, NULL for none.
	 * A step decodes up to so many routes that aren't shared; it returns true at
	 * the end, with a table with one reference, or NULL and *err. Errors:
	 * GC_ERR_INVALID. end_routes frees the reader at any time.
	 */
	gc_routes_reader_t *(*start_routes)(gc_str_t record,
					    gc_routes_t *former);
	/* The same for a change that was logged, whose text the table keeps. If its
	 * edits are of the former one's record, what they keep isn't compared. */
	gc_routes_reader_t *(*start_change)(const gc_logged_change_t *change,
					    gc_routes_t *former);
	bool (*step_routes)(gc_routes_reader_t *reader, size_t n,
			    gc_routes_t **routes, GError **err);
	void (*end_routes)(gc_routes_reader_t *reader);
	/* Strings of the entry are allocated in mem. Errors: GC_ERR_INVALID. */
	bool (*read_server)(TALLOC_CTX *mem, gc_str_t id, gc_str_t record,
			    gc_registry_entry_t *entry, GError **err);
	/* Of the keys of the operator's orders of roll-outs and of their records; the
	 * rest of a key is the service. */
	const char *rollout_orders_prefix;
	const char *rollout_records_prefix;
	/*
	 * Strings are allocated in mem; service: of the key. The id of an order and the
	 * revision of a record are left 0. Errors: GC_ERR_INVALID, whose message begins
	 * with the member's name; the valid members of the order are set even then, the
	 * others are empty or 0. A record needs a target and a state only.
	 */
	bool (*read_rollout_order)(TALLOC_CTX *mem, gc_str_t service,
				   gc_str_t value, gc_rollout_order_t *order,
				   GError **err);
	bool (*read_rollout_record)(TALLOC_CTX *mem, gc_str_t service,
				    gc_str_t value, gc_rollout_record_t *record,
				    GError **err);
	/* Free with g_free. The id of an order is not written. */
	char *(*write_rollout_order)(const gc_rollout_order_t *order);
	char *(*write_rollout_record)(const gc_rollout_record_t *record);
	/* POST to a backend server: copies a run's KV cache to another one. */
	const char *copy_request_path;
	/* Body of such a request; free with g_free. */
	char *(*write_copy_request)(gc_str_t run, gc_str_t target_address);
	/* Handle of the copy from the response; false if it has none. */
	bool (*read_copy_handle)(TALLOC_CTX *mem, gc_str_t response,
				 gc_str_t *handle);
	/* Path of the DELETE request for such a copy; free with g_free. */
	char *(*write_copy_delete_path)(gc_str_t handle);
	/* Id of the part of a prompt that only its request or session has; empty
	 * if there is none. */
	gc_str_t (*prompt_id)(gc_str_t prompt);
	/* Stores the ids of the other parts, at most max, and returns their
	 * number. */
	size_t (*shared_parts)(gc_str_t prompt, gc_str_t *ids, size_t max);
	/* Tokens of a prompt and the most of its output; false if not given. */
	bool (*read_token_counts)(gc_str_t header, int64_t *prompt,
				  int64_t *output);
	/* False if the report is not a JSON object. */
	bool (*read_load)(gc_str_t report, gc_backend_load_t *load);
	/* target: path and query of a request. Strings are allocated in mem. */
	void (*read_address_query)(TALLOC_CTX *mem, gc_str_t target,
				   gc_address_query_t *query);
	/* JSON body of the response; free with g_free. */
	char *(*write_addresses)(const gc_str_t *addresses, size_t n,
				 unsigned int ttl_s);
} gc_adapter_t;

#endif
