/* Stand-in for a plain backend server that counts the actions it performs. */
#include "standins/serve.h"

typedef enum fault_kind {
	FAULT_CUT_BEFORE,
	FAULT_CUT_AFTER,
	FAULT_DELAY,
	FAULT_REFUSE,
	N_FAULTS,
} fault_kind_t;

typedef struct fault {
	int64_t count; /* remaining requests that it applies to */
	int64_t value; /* refuse: Retry-After in s; delay: in ms */
} fault_t;

typedef struct backend {
	standin_t *standin;
	GHashTable *effects; /* idempotency key -> number of actions */
	uint64_t total;
	uint64_t without_key;
	uint64_t highest_fencing_token;
	fault_t faults[N_FAULTS];
} backend_t;

/* A delayed action. It takes place even if the client closes the connection. */
typedef struct pending_action {
	backend_t *backend;
	gc_http_req_t *req;
	bool cut_after;
} pending_action_t;

static const char *const fault_names[N_FAULTS] = {
	[FAULT_CUT_BEFORE] = "cut_before",
	[FAULT_CUT_AFTER] = "cut_after",
	[FAULT_DELAY] = "delay",
	[FAULT_REFUSE] = "refuse",
};

static gint delay_ms;
static gboolean check_fencing;

static const GOptionEntry entries[] = {
	{"delay-ms", 0, 0, G_OPTION_ARG_INT, &delay_ms,
	 "Delay of an action (0)", "MS"},
	{"check-fencing", 0, 0, G_OPTION_ARG_NONE, &check_fencing,
	 "Refuse actions with a stale Fencing-Token", NULL},
	{0},
};

static void *start(standin_t *standin);
static void handle(void *ctx, gc_http_req_t *req);
static void begin_action(backend_t *backend, gc_http_req_t *req);
static bool check_fencing_token(backend_t *backend, gc_http_req_t *req);
static bool consume_fault(backend_t *backend, fault_kind_t kind,
			  int64_t *value);
static void on_delay(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static void apply_action(pending_action_t *action);
static void reply_status(backend_t *backend, gc_http_req_t *req,
			 const char *key);
static void reply_effects(backend_t *backend, gc_http_req_t *req);
static void handle_fault(backend_t *backend, gc_http_req_t *req);

int main(int argc, char **argv)
{
	static const standin_conf_t conf = {
		.program = "standin-backend",
		.summary = "Plain backend server that counts its actions.",
		.options = entries,
		.handler = handle,
		.start = start,
	};

	return standin_main(&conf, argc, argv);
}

static void *start(standin_t *standin)
{
	backend_t *backend = talloc_zero(standin->mem, backend_t);

	backend->standin = standin;
	backend->effects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return backend;
}

static void handle(void *ctx, gc_http_req_t *req)
{
	backend_t *backend = ctx;
	const char *path = gc_http_req_path(req);

	if (standin_req_matches(req, "POST", "/bookings") ||
	    standin_req_matches(req, "POST", "/releases"))
		begin_action(backend, req);
	else if (standin_req_matches(req, "GET", "/effects"))
		reply_effects(backend, req);
	else if (standin_req_matches(req, "POST", "/faults"))
		handle_fault(backend, req);
	else if (strcmp(gc_http_req_method(req), "GET") == 0 &&
		 g_str_has_prefix(path, "/status/"))
		reply_status(backend, req, path + strlen("/status/"));
	else
		standin_reply_error(req, 404, "no such path: %s", path);
}

static void begin_action(backend_t *backend, gc_http_req_t *req)
{
	pending_action_t *action;
	int64_t action_ms = delay_ms;
	int64_t value;

	if (consume_fault(backend, FAULT_REFUSE, &value)) {
		standin_reply_retry_after(req, 503, value,
					  "refused by a fault");
		return;
	}
	if (!check_fencing_token(backend, req))
		return;
	if (consume_fault(backend, FAULT_CUT_BEFORE, &value)) {
		standin_abort_connection(req);
		return;
	}
	action = talloc_zero(backend, pending_action_t);
	action->backend = backend;
	action->req = req;
	action->cut_after = consume_fault(backend, FAULT_CUT_AFTER, &value);
	if (consume_fault(backend, FAULT_DELAY, &value))
		action_ms = value;
	if (action_ms == 0) {
		apply_action(action);
		return;
	}
	standin_add_timer_us(backend->standin->ev, action, action_ms * 1000,
			     on_delay, action);
}

static bool check_fencing_token(backend_t *backend, gc_http_req_t *req)
{
	const char *text = gc_http_req_header(req, "Fencing-Token");
	guint64 token;

	if (!text || !check_fencing)
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX, &token,
					NULL)) {
		standin_reply_error(req, 400, "Fencing-Token must be a number");
		return false;
	}
	if (token < backend->highest_fencing_token) {
		standin_reply_error(req, 409, "Fencing-Token %s is stale",
				    text);
		return false;
	}
	backend->highest_fencing_token = token;
	return true;
}

static bool consume_fault(backend_t *backend, fault_kind_t kind, int64_t *value)
{
	fault_t *fault = &backend->faults[kind];

	if (fault->count == 0)
		return false;
	fault->count--;
	*value = fault->value;
	return true;
}

static void on_delay(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	apply_action(ctx);
}

static void apply_action(pending_action_t *action)
{
	backend_t *backend = action->backend;
	gc_http_req_t *req = action->req;
	const char *key = gc_http_req_header(req, "Idempotency-Key");
	guint n = 0;

	backend->total++;
	if (key) {
		n = GPOINTER_TO_UINT(
			    g_hash_table_lookup(backend->effects, key)) +
		    1;
		g_hash_table_replace(backend->effects, g_strdup(key),
				     GUINT_TO_POINTER(n));
	} else {
		backend->without_key++;
	}
	if (action->cut_after)
		standin_abort_connection(req);
	else
		standin_reply(req, 201,
			      json_pack("{ss ss ss* sI}", "state", "done",
					"path", gc_http_req_path(req), "key",
					key, "effect",
					(json_int_t)backend->total));
	talloc_free(action);
}

static void reply_status(backend_t *backend, gc_http_req_t *req,
			 const char *key)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(backend->effects, key));

	standin_reply(req, 200,
		      json_pack("{ss si}", "state", n ? "done" : "unknown",
				"effects", (int)n));
}

static void reply_effects(backend_t *backend, gc_http_req_t *req)
{
	json_t *keys = json_object();
	GHashTableIter iter;
	gpointer key, n;

	g_hash_table_iter_init(&iter, backend->effects);
	while (g_hash_table_iter_next(&iter, &key, &n))
		json_object_set_new(keys, key,
				    json_integer(GPOINTER_TO_UINT(n)));
	standin_reply(req, 200,
		      json_pack("{so sI sI}", "keys", keys, "without_key",
				(json_int_t)backend->without_key, "total",
				(json_int_t)backend->total));
}

static void handle_fault(backend_t *backend, gc_http_req_t *req)
{
	json_t *body = standin_parse_body(req);
	const char *name;

	if (!body)
		return;
	name = json_string_value(json_object_get(body, "fault"));
	if (name && strcmp(name, "clear") == 0) {
		memset(backend->faults, 0, sizeof(backend->faults));
		standin_reply_text(req, 200, "{\"ok\":true}\n");
		json_decref(body);
		return;
	}
	for (int i = 0; name && i < N_FAULTS; i++) {
		if (strcmp(name, fault_names[i]) != 0)
			continue;
		backend->faults[i].count = standin_get_int(body, "count", 1);
		backend->faults[i].value = standin_get_int(
			body, i == FAULT_REFUSE ? "retry_after_s" : "ms", 1);
		standin_reply_text(req, 200, "{\"ok\":true}\n");
		json_decref(body);
		return;
	}
	json_decref(body);
	standin_reply_error(req, 400, "unknown fault");
}
