/* Runs an event loop for each call of the store until it has ended. */
#include <tevent.h>

#include "platform/platform.h"
#include "store_client.h"

#define CALL_TIMEOUT_MS 3000L

struct store_client {
	struct tevent_context *ev;
	gc_store_t store;
};

typedef struct call {
	store_client_t *client;
	gc_store_item_t *item; /* of a read */
	bool ended;
	GError *err;
} call_t;

static void on_items(void *ctx, const gc_store_items_t *items,
		     const GError *err);
static void on_done(void *ctx, uint64_t id, uint64_t era, const GError *err);
static bool await_end(call_t *call, GError **err);

store_client_t *store_client_create(const char *address)
{
	store_client_t *client = talloc_zero(NULL, store_client_t);

	client->ev = tevent_context_init(client);
	client->store =
		gc_platform_store(client, gc_httpc_create(client, client->ev),
				  address, CALL_TIMEOUT_MS);
	return client;
}

void store_client_destroy(store_client_t *client)
{
	talloc_free(client);
}

bool store_client_get(store_client_t *client, gc_str_t key,
		      gc_store_item_t *item, GError **err)
{
	call_t call = {.client = client, .item = item};

	client->store.ops->get(client->store.store, key, on_items, &call);
	return await_end(&call, err);
}

bool store_client_change(store_client_t *client, gc_str_t key,
			 const char *value, uint64_t expected, GError **err)
{
	const gc_store_ops_t *ops = client->store.ops;
	call_t call = {.client = client};

	if (value)
		ops->put_if(client->store.store, key, gc_str(value), expected,
			    on_done, &call);
	else
		ops->remove_if(client->store.store, key, expected, on_done,
			       &call);
	return await_end(&call, err);
}

static void on_items(void *ctx, const gc_store_items_t *items,
		     const GError *err)
{
	call_t *call = ctx;

	call->ended = true;
	if (err) {
		call->err = g_error_copy(err);
		return;
	}
	*call->item = (gc_store_item_t){
		.value = gc_str_dup(call->client, items->items[0].value),
		.revision = items->items[0].revision,
	};
}

static void on_done(void *ctx, uint64_t id, uint64_t era, const GError *err)
{
	call_t *call = ctx;

	call->ended = true;
	if (err)
		call->err = g_error_copy(err);
}

static bool await_end(call_t *call, GError **err)
{
	while (!call->ended && tevent_loop_once(call->client->ev) == 0)
		;
	if (!call->ended)
		g_set_error(err, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "the event loop failed");
	else if (call->err)
		g_propagate_error(err, call->err);
	return call->ended && !call->err;
}
