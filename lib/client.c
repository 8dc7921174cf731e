/* Client: the list of daemon addresses, error responses and UUIDs. */
#include <string.h>

#include <jansson.h>

#include "lib/client_private.h"

/* Delay between fetches of the address list while no daemon answers. */
#define ADDRESS_RETRY_DELAY_MS	 250
#define ADDRESS_FETCH_TIMEOUT_MS 1500
#define DEFAULT_ADDRESS_TTL_S	 10

/* A gc_client_get_address call that waits for the address list. */
typedef struct waiter {
	struct waiter *next;
	gc_client_address_done_t done;
	void *ctx;
	struct timespec deadline;
} waiter_t;

struct gc_client_addresses {
	char **urls;
	size_t n;
	struct timespec expires_at;
	waiter_t *waiters;
	gc_http_call_t *fetch_call;
	size_t next_seed; /* index of the next seed to ask, modulo n_seeds */
};

static void fetch_addresses(gc_client_t *client);
static void on_addresses(void *ctx, int status, gc_str_t body, bool sent,
			 const GError *err);
static bool parse_addresses(gc_client_t *client, gc_str_t body);
static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static void serve_waiters(gc_client_t *client);
static void call_waiter(waiter_t *waiter, const char *address);
static void expire_waiters(gc_client_t *client);
static const char *choose_address(gc_client_t *client, const char *avoid);

gc_client_t *gc_client_create(TALLOC_CTX *mem, struct tevent_context *ev,
			      const gc_client_conf_t *conf)
{
	gc_client_t *client = talloc_zero(mem, gc_client_t);

	client->ev = ev;
	client->http = gc_httpc_create(client, ev);
	client->conf = *conf;
	client->authorization =
		talloc_asprintf(client, "Authorization: Bearer %s", conf->key);
	client->addresses = talloc_zero(client, struct gc_client_addresses);
	while (conf->urls[client->n_seeds])
		client->n_seeds++;
	return client;
}

void gc_client_destroy(gc_client_t *client)
{
	talloc_free(client);
}

void gc_client_get_address(gc_client_t *client, const char *avoid,
			   gc_client_address_done_t done, void *ctx)
{
	struct gc_client_addresses *list = client->addresses;
	struct timespec now = gc_clock_now(client->conf.clock);
	waiter_t *waiter;

	if (list->n > 0 && gc_ms_between(now, list->expires_at) > 0) {
		done(ctx, choose_address(client, avoid));
		return;
	}
	waiter = talloc_zero(client, waiter_t);
	waiter->done = done;
	waiter->ctx = ctx;
	waiter->deadline = gc_add_ms(now, client->conf.progress_timeout_ms);
	waiter->next = list->waiters;
	list->waiters = waiter;
	if (!list->fetch_call)
		fetch_addresses(client);
}

void gc_client_cancel_get_address(gc_client_t *client, void *ctx)
{
	waiter_t **pos = &client->addresses->waiters;

	while (*pos) {
		waiter_t *waiter = *pos;

		if (waiter->ctx != ctx) {
			pos = &waiter->next;
			continue;
		}
		*pos = waiter->next;
		talloc_free(waiter);
	}
}

void gc_client_drop_address(gc_client_t *client, const char *url)
{
	struct gc_client_addresses *list = client->addresses;

	for (size_t i = 0; i < list->n; i++) {
		if (strcmp(list->urls[i], url) != 0)
			continue;
		list->urls[i] = list->urls[--list->n];
		return;
	}
}

static void fetch_addresses(gc_client_t *client)
{
	static const gc_http_call_ops_t ops = {.done = on_addresses};
	struct gc_client_addresses *list = client->addresses;
	const char *seed = client->conf.urls[list->next_seed % client->n_seeds];
	g_autofree char *url = g_strconcat(seed, "/v1/addresses", NULL);
	gc_http_call_conf_t conf = {.method = "GET",
				    .url = url,
				    .timeout_ms = ADDRESS_FETCH_TIMEOUT_MS};

	list->next_seed++;
	list->fetch_call = gc_httpc_start(client->http, &conf, &ops, client);
}

static void on_addresses(void *ctx, int status, gc_str_t body, bool sent,
			 const GError *err)
{
	gc_client_t *client = ctx;
	struct timeval retry_at;

	client->addresses->fetch_call = NULL;
	if (!err && status == 200 && parse_addresses(client, body)) {
		serve_waiters(client);
		return;
	}
	expire_waiters(client);
	if (!client->addresses->waiters)
		return;
	/* Each seed is tried once without delay. */
	retry_at = tevent_timeval_current_ofs(
		0, client->addresses->next_seed < client->n_seeds
			   ? 0
			   : ADDRESS_RETRY_DELAY_MS * 1000);
	tevent_add_timer(client->ev, client, retry_at, on_retry, client);
}

static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	gc_client_t *client = ctx;

	if (client->addresses->waiters && !client->addresses->fetch_call)
		fetch_addresses(client);
}

static bool parse_addresses(gc_client_t *client, gc_str_t body)
{
	struct gc_client_addresses *list = client->addresses;
	json_t *doc = json_loadb(body.data, body.len, 0, NULL);
	json_t *entries = json_object_get(doc, "addresses");
	json_t *ttl = json_object_get(doc, "ttl_s");
	json_t *entry;
	size_t i;

	TALLOC_FREE(list->urls);
	list->n = 0;
	list->urls = talloc_array(list, char *, json_array_size(entries) + 1);
	json_array_foreach (entries, i, entry) {
		const char *url =
			json_string_value(json_object_get(entry, "url"));

		if (url)
			list->urls[list->n++] = talloc_strdup(list->urls, url);
	}
	list->expires_at = gc_add_ms(
		gc_clock_now(client->conf.clock),
		(ttl ? json_integer_value(ttl) : DEFAULT_ADDRESS_TTL_S) * 1000);
	json_decref(doc);
	return list->n > 0;
}

static void serve_waiters(gc_client_t *client)
{
	struct gc_client_addresses *list = client->addresses;
	waiter_t *waiter;

	/* A callback may cancel other waiters. */
	while (list->n > 0 && (waiter = list->waiters) != NULL) {
		list->waiters = waiter->next;
		call_waiter(waiter, choose_address(client, NULL));
	}
}

/* Frees the waiter. */
static void call_waiter(waiter_t *waiter, const char *address)
{
	gc_client_address_done_t done = waiter->done;
	void *ctx = waiter->ctx;

	talloc_free(waiter);
	done(ctx, address);
}

static void expire_waiters(gc_client_t *client)
{
	struct timespec now = gc_clock_now(client->conf.clock);
	waiter_t **pos = &client->addresses->waiters;

	while (*pos) {
		waiter_t *waiter = *pos;

		if (gc_ms_between(now, waiter->deadline) > 0) {
			pos = &waiter->next;
			continue;
		}
		*pos = waiter->next;
		call_waiter(waiter, NULL);
		/* The callback may have cancelled other waiters. */
		pos = &client->addresses->waiters;
	}
}

/* Chooses a random address, other than avoid if there is another. */
static const char *choose_address(gc_client_t *client, const char *avoid)
{
	struct gc_client_addresses *list = client->addresses;
	const gc_random_t *random = client->conf.random;
	size_t i = random->next(random->ctx) % list->n;

	if (avoid && list->n > 1 && strcmp(list->urls[i], avoid) == 0)
		i = (i + 1) % list->n;
	return list->urls[i];
}

GError *gc_client_parse_error(int status, gc_str_t body, const char *url,
			      gc_run_state_t *run, int64_t *retry_after_ms)
{
	json_t *doc = json_loadb(body.data, body.len, 0, NULL);
	json_t *error = json_object_get(doc, "error");
	const char *message =
		json_string_value(json_object_get(error, "message"));
	const char *step = json_string_value(json_object_get(error, "step"));
	const char *state = json_string_value(json_object_get(error, "run"));
	GError *err = NULL;

	*run = GC_RUN_IN_DOUBT;
	if (g_strcmp0(state, "not_run") == 0)
		*run = GC_RUN_NOT_RUN;
	else if (g_strcmp0(state, "done") == 0)
		*run = GC_RUN_DONE;
	*retry_after_ms = (int64_t)(1000 * json_number_value(json_object_get(
						   error, "retry_after_s")));
	gc_error_set(&err,
		     status == 429 || status == 503 ? GC_ERR_UNAVAILABLE
						    : GC_ERR_INVALID,
		     step ? step : "call", url, "HTTP %d: %s", status,
		     message ? message : "no error message");
	json_decref(doc);
	return err;
}

char *gc_uuid7_generate(TALLOC_CTX *mem, const gc_clock_t *clock,
			const gc_random_t *random)
{
	struct timespec t = gc_clock_wall(clock);
	uint64_t ms = (uint64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
	uint64_t a = random->next(random->ctx);
	uint64_t b = random->next(random->ctx);

	return talloc_asprintf(mem, "%08x-%04x-7%03x-%04x-%012llx",
			       (unsigned int)(ms >> 16),
			       (unsigned int)(ms & 0xffff),
			       (unsigned int)(a & 0xfff),
			       (unsigned int)(0x8000 | ((a >> 12) & 0x3fff)),
			       (unsigned long long)(b & 0xffffffffffffULL));
}
