/*
 * What differs between the surroundings in which routed requests are served:
 * names of headers and paths, records of the operator, entries of backend
 * servers. An adapter translates; it decides nothing and keeps no state.
 */
#ifndef GC_LIB_ADAPTER_H
#define GC_LIB_ADAPTER_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <talloc.h>

#include "core/backends.h"
#include "core/registry.h"
#include "core/routes.h"
#include "core/str.h"

/* Names of headers. */
typedef struct gc_header_names {
	const char *request_id; /* of one try of a caller */
	const char *deadline_ms; /* time that the caller still waits, ms */
	const char *account; /* set for backend servers */
	const char *target; /* the only server that may run the request */
	const char *not_run; /* the server did not run the request */
	const char *mac; /* authenticates a server's answer */
	const char *copy_to; /* address that gets copies of a run's memory */
	const char *copy_from; /* ADDRESS/ID of the copy to go on from */
	const char *auth_scheme; /* before the key in Authorization */
	const char *const *internal; /* not taken from callers; NULL-ended */
} gc_header_names_t;

/* A caller's question for addresses. */
typedef struct gc_address_query {
	gc_str_t failure_domain; /* of the caller; empty if not told */
} gc_address_query_t;

typedef struct gc_adapter {
	gc_header_names_t headers;
	const char *config_key; /* the operator's record in the store */
	const char *servers_prefix; /* keys of backend servers */
	const char *ready_path;
	const char *addresses_path;
	const char *load_path; /* of a backend server's load report */
	/* Errors: GC_ERR_INVALID. */
	gc_routes_t *(*read_routes)(gc_str_t record, GError **err);
	/* entry belongs to mem. Errors: GC_ERR_INVALID. */
	bool (*read_server)(TALLOC_CTX *mem, gc_str_t id, gc_str_t record,
			    gc_registry_entry_t *entry, GError **err);
	const char *copy_order_path; /* POST: copy a run's memory elsewhere */
	/* Body of such an order; free with g_free. */
	char *(*write_copy_order)(gc_str_t run, gc_str_t target_address);
	/* Name of the copy at the run's server; false if there is none. */
	bool (*read_copy_handle)(TALLOC_CTX *mem, gc_str_t answer,
				 gc_str_t *handle);
	/* Path of a DELETE that frees such a copy; free with g_free. */
	char *(*write_copy_drop_path)(gc_str_t handle);
	/* False if the report can't be read. */
	bool (*read_load)(gc_str_t report, gc_load_t *load);
	/* target is a request's path and query. */
	void (*read_address_query)(TALLOC_CTX *mem, gc_str_t target,
				   gc_address_query_t *query);
	/* The answer's JSON text; free with g_free. */
	char *(*write_addresses)(const gc_str_t *addresses, size_t n,
				 unsigned int ttl_s);
} gc_adapter_t;

#endif
