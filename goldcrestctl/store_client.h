/* Calls of the routed mode's store that return when they have ended. */
#ifndef STORE_CLIENT_H
#define STORE_CLIENT_H

#include <glib.h>

#include "lib/store.h"

typedef struct store_client store_client_t;

/* address: "IP:PORT". Free with store_client_destroy. */
store_client_t *store_client_create(const char *address);
void store_client_destroy(store_client_t *client);

/*
 * Reads the newest state of an item; its strings are allocated in the client. Sets
 * *err on failure; GC_ERR_NOT_FOUND: there is none.
 */
bool store_client_get(store_client_t *client, gc_str_t key,
		      gc_store_item_t *item, GError **err);
/*
 * Writes an item, or removes it if value is NULL, if its revision is the expected
 * one (0: there is none). GC_ERR_CONFLICT: it is another. After GC_ERR_IO and
 * GC_ERR_TIMEOUT it may have been written.
 */
bool store_client_change(store_client_t *client, gc_str_t key,
			 const char *value, uint64_t expected, GError **err);

#endif
