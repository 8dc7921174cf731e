/* What the parts of the caller's side share. */
#ifndef GC_LIB_CLIENT_PRIVATE_H
#define GC_LIB_CLIENT_PRIVATE_H

#include "lib/client.h"

struct gc_client_addresses;

struct gc_client {
	struct tevent_context *ev;
	gc_httpc_t *http;
	gc_client_conf_t conf;
	size_t n_seeds;
	char *authorization;
	struct gc_client_addresses *addresses;
};

/* url is valid during the callback; NULL if no daemon answered in time. */
typedef void (*gc_address_done_t)(void *ctx, const char *url);

/* Gives one address of the list, fetched if it has expired. */
void gc_client_address(gc_client_t *caller, const char *avoid,
		       gc_address_done_t done, void *ctx);
/* Drops what gc_client_address still owes to ctx. */
void gc_client_forget(gc_client_t *caller, void *ctx);
/* Leaves an address out until the list is fetched again. */
void gc_client_address_failed(gc_client_t *caller, const char *url);
/* Reads a typed refusal; the error is the caller's to free. */
GError *gc_client_refusal(int status, gc_str_t body, const char *url,
			  gc_run_state_t *run, int64_t *retry_after_ms);

#endif
