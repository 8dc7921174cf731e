/* Declarations shared by the client*.c files. */
#ifndef GC_LIB_CLIENT_PRIVATE_H
#define GC_LIB_CLIENT_PRIVATE_H

#include "lib/client.h"

struct gc_client_addresses;

struct gc_client {
	struct tevent_context *ev;
	gc_httpc_t *http;
	gc_client_conf_t conf;
	size_t n_seeds; /* number of conf.urls */
	char *authorization;
	struct gc_client_addresses *addresses;
};

/* url is valid during the callback; NULL if no daemon answered in time. */
typedef void (*gc_client_address_done_t)(void *ctx, const char *url);

/*
 * Calls done with an address of the list: from inside this call if the list is
 * valid, otherwise once it has been fetched. avoid, unless NULL, is not chosen
 * from a valid list if there is another address.
 */
void gc_client_get_address(gc_client_t *client, const char *avoid,
			   gc_client_address_done_t done, void *ctx);
/* Cancels the pending gc_client_get_address calls of ctx. */
void gc_client_cancel_get_address(gc_client_t *client, void *ctx);
/* Removes an address from the list until the next fetch. */
void gc_client_drop_address(gc_client_t *client, const char *url);
/*
 * Parses an error response of the daemon at url. retry_after_ms is 0 if the
 * response has none. The result must be freed with g_error_free.
 */
GError *gc_client_parse_error(int status, gc_str_t body, const char *url,
			      gc_run_state_t *run, int64_t *retry_after_ms);

#endif
