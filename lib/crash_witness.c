/* Whether a lost server is reached by other daemons, as JSON over HTTP. */
#include <stdlib.h>

#include <glib.h>
#include <jansson.h>
#include <xxhash.h>

#include "core/backends.h"
#include "core/error.h"
#include "lib/crash_witness.h"
#include "lib/issuers.h"
#include "lib/peer_query.h"

/* Time for the load report of a server, and for the answer of a daemon, which
 * asks servers first. */
#define REPORT_TIMEOUT_MS 250
#define ANSWER_TIMEOUT_MS 350
/* Daemons that are asked at once. */
#define N_WITNESSES 2
/* Other servers of the service that a daemon tries at once, as one of them may
 * have been lost as well. */
#define N_OTHERS	   2
#define MAX_RESPONSE_BYTES 4096
#define MAX_URL_BYTES	   256

struct gc_crash_witness {
	gc_crash_witness_conf_t conf;
	gc_fleet_view_t *view; /* NULL until the first one is set */
	gc_issuers_t *daemons; /* the same daemons are asked about a server */
};

/* The daemons that are asked about one server. */
typedef struct ask {
	gc_crash_witness_t *witness;
	uint64_t token;
	size_t n_pending;
	bool reached;
	bool lost;
} ask_t;

/* A question of another daemon. */
struct gc_witness_query {
	gc_crash_witness_t *witness;
	void (*done)(void *ctx, const char *text);
	void *ctx;
	gc_http_call_t *calls[1 + N_OTHERS]; /* the server's comes first */
	size_t n_pending;
	bool reached;
	/* By the server's host, as nobody listens there, or by another start of the
	 * server. */
	bool refused;
	bool other_reached;
};

/* Context of a call; a child of the query. */
typedef struct report_call {
	gc_witness_query_t *query;
	size_t index;
	int64_t started_ms; /* of the server that is asked */
} report_call_t;

static int witness_destructor(gc_crash_witness_t *witness);
static void ask_daemon(ask_t *ask, uint64_t server,
		       const gc_registry_entry_t *daemon);
static void on_answer(void *ctx, int status, gc_str_t body, bool sent,
		      const GError *err);
static gc_witness_verdict_t parse_answer(gc_str_t body);
static bool parse_server(gc_str_t target, uint64_t *server);
static const gc_registry_entry_t *find_server(const gc_crash_witness_t *witness,
					      uint64_t server);
static const gc_registry_entry_t *
choose_other(const gc_crash_witness_t *witness,
	     const gc_registry_entry_t *server,
	     const gc_registry_entry_t *not_this);
static int query_destructor(gc_witness_query_t *query);
static void get_report(gc_witness_query_t *query, gc_crash_witness_t *witness,
		       size_t index, const gc_registry_entry_t *server);
static void on_report(void *ctx, int status, gc_str_t body, bool sent,
		      const GError *err);
static bool is_other_start(const report_call_t *call, gc_str_t body);
static void finish_query(gc_witness_query_t *query);

gc_crash_witness_t *gc_crash_witness_create(TALLOC_CTX *mem,
					    const gc_crash_witness_conf_t *conf)
{
	gc_crash_witness_t *witness = talloc_zero(mem, gc_crash_witness_t);

	witness->conf = *conf;
	witness->daemons =
		gc_issuers_create(witness, conf->clock, GC_CAN_WITNESS);
	talloc_set_destructor(witness, witness_destructor);
	return witness;
}

static int witness_destructor(gc_crash_witness_t *witness)
{
	gc_fleet_view_unref(witness->view);
	return 0;
}

void gc_crash_witness_set_view(gc_crash_witness_t *witness,
			       gc_fleet_view_t *view)
{
	gc_fleet_view_unref(witness->view);
	witness->view = gc_fleet_view_ref(view);
	gc_issuers_set_view(witness->daemons, view);
}

void gc_crash_witness_ask(gc_crash_witness_t *witness, uint64_t token,
			  uint64_t server)
{
	ask_t *ask = talloc_zero(witness, ask_t);
	uint64_t choice = token & GC_WITNESS_SILENCE ? server ^ token : server;

	ask->witness = witness;
	ask->token = token;
	/* Callbacks come from the event loop, after all calls have begun. */
	for (size_t i = 0; i < GC_N_ISSUERS && ask->n_pending < N_WITNESSES;
	     i++) {
		const gc_registry_entry_t *daemon =
			gc_issuers_find(witness->daemons, choice, i);

		if (!daemon)
			break;
		if (!gc_str_eq(daemon->id, witness->conf.self))
			ask_daemon(ask, server, daemon);
	}
	if (ask->n_pending > 0)
		return;
	talloc_free(ask);
	witness->conf.answered(witness->conf.ctx, token, GC_WITNESS_NONE);
}

bool gc_crash_witness_is_asked_by(const gc_crash_witness_t *witness,
				  gc_str_t id)
{
	size_t n;
	const gc_registry_entry_t *daemons =
		gc_issuers_daemons(witness->daemons, &n);

	if (gc_str_eq(id, witness->conf.self))
		return true;
	if (id.len == 0)
		return gc_issuers_capable_part(witness->daemons) >= 1;
	for (size_t i = 0; i < n; i++)
		if (gc_str_eq(daemons[i].id, id))
			return gc_issuers_is_capable(witness->daemons,
						     &daemons[i]);
	return false;
}

static void ask_daemon(ask_t *ask, uint64_t server,
		       const gc_registry_entry_t *daemon)
{
	char url[MAX_URL_BYTES];
	gc_http_call_conf_t conf = {
		.method = "GET",
		.url = url,
		.peer = "daemon",
		.connect_timeout_ms = ANSWER_TIMEOUT_MS,
		.timeout_ms = ANSWER_TIMEOUT_MS,
		.max_body = MAX_RESPONSE_BYTES,
	};
	const gc_http_call_ops_t ops = {.done = on_answer};
	g_snprintf(url, sizeof(url),
		   "http://%.*s" GC_CRASH_WITNESS_PATH
		   "?server=%" G_GINT64_MODIFIER "x",
		   GC_STR_ARG(daemon->peer_address), server);
	gc_httpc_start(ask->witness->conf.http, &conf, &ops, ask);
	ask->n_pending++;
}

static void on_answer(void *ctx, int status, gc_str_t body, bool sent,
		      const GError *err)
{
	ask_t *ask = ctx;
	gc_crash_witness_t *witness = ask->witness;
	gc_witness_verdict_t verdict = GC_WITNESS_NONE;

	if (!err && status == 200)
		verdict = parse_answer(body);
	ask->reached |= verdict == GC_WITNESS_REACHED;
	ask->lost |= verdict == GC_WITNESS_LOST;
	if (--ask->n_pending > 0)
		return;
	verdict = GC_WITNESS_NONE;
	if (ask->reached)
		verdict = GC_WITNESS_REACHED;
	else if (ask->lost)
		verdict = GC_WITNESS_LOST;
	witness->conf.answered(witness->conf.ctx, ask->token, verdict);
	talloc_free(ask);
}

static gc_witness_verdict_t parse_answer(gc_str_t body)
{
	json_t *json = json_loadb(body.data, body.len, 0, NULL);
	gc_witness_verdict_t verdict = GC_WITNESS_NONE;

	if (json_is_true(json_object_get(json, "reached")))
		verdict = GC_WITNESS_REACHED;
	else if (json_is_true(json_object_get(json, "lost")))
		verdict = GC_WITNESS_LOST;
	json_decref(json);
	return verdict;
}

gc_witness_query_t *
gc_witness_query_start(gc_crash_witness_t *witness, gc_str_t target,
		       void (*done)(void *ctx, const char *text), void *ctx)
{
	const gc_registry_entry_t *server = NULL;
	const gc_registry_entry_t *other = NULL;
	gc_witness_query_t *query;
	uint64_t incarnation;

	if (parse_server(target, &incarnation))
		server = find_server(witness, incarnation);
	if (!server)
		return NULL;
	query = talloc_zero(witness, gc_witness_query_t);
	query->witness = witness;
	query->done = done;
	query->ctx = ctx;
	talloc_set_destructor(query, query_destructor);
	get_report(query, witness, 0, server);
	for (size_t i = 1; i <= N_OTHERS; i++) {
		other = choose_other(witness, server, other);
		if (!other)
			break;
		get_report(query, witness, i, other);
	}
	return query;
}

void gc_witness_query_destroy(gc_witness_query_t *query)
{
	talloc_free(query);
}

static int query_destructor(gc_witness_query_t *query)
{
	for (size_t i = 0; i < G_N_ELEMENTS(query->calls); i++)
		if (query->calls[i])
			gc_http_call_cancel(query->calls[i]);
	return 0;
}

static bool parse_server(gc_str_t target, uint64_t *server)
{
	g_autoptr(GHashTable) params = gc_peer_params(target);

	return params &&
	       gc_peer_param_number(params, "server", 16, UINT64_MAX, server);
}

static const gc_registry_entry_t *find_server(const gc_crash_witness_t *witness,
					      uint64_t server)
{
	for (size_t i = 0; witness->view && i < witness->view->n_servers; i++)
		if (gc_server_incarnation(&witness->view->servers[i]) == server)
			return &witness->view->servers[i];
	return NULL;
}

/* Those of other failure domains first, as a domain may be lost as a whole. */
static const gc_registry_entry_t *
choose_other(const gc_crash_witness_t *witness,
	     const gc_registry_entry_t *server,
	     const gc_registry_entry_t *not_this)
{
	const gc_registry_entry_t *chosen = NULL;
	uint64_t highest = 0;

	for (size_t i = 0; i < witness->view->n_servers; i++) {
		const gc_registry_entry_t *other = &witness->view->servers[i];
		uint64_t weight = XXH64(other->id.data, other->id.len, 0) >> 1;

		if (!gc_str_eq(other->failure_domain, server->failure_domain))
			weight |= UINT64_C(1) << 63;
		if (other == server || other == not_this || other->draining ||
		    !gc_str_eq(other->service, server->service) ||
		    (chosen && weight <= highest))
			continue;
		chosen = other;
		highest = weight;
	}
	return chosen;
}

static void get_report(gc_witness_query_t *query, gc_crash_witness_t *witness,
		       size_t index, const gc_registry_entry_t *server)
{
	char url[MAX_URL_BYTES];
	report_call_t *call = talloc_zero(query, report_call_t);
	gc_http_call_conf_t conf = {
		.method = "GET",
		.url = url,
		.peer = "server",
		.connect_timeout_ms = REPORT_TIMEOUT_MS,
		.timeout_ms = REPORT_TIMEOUT_MS,
		.single_use = true,
		.source = witness->conf.source,
		.max_body = MAX_RESPONSE_BYTES,
	};
	const gc_http_call_ops_t ops = {.done = on_report};

	call->query = query;
	call->index = index;
	call->started_ms = server->started_ms;
	g_snprintf(url, sizeof(url), "http://%.*s%s",
		   GC_STR_ARG(server->address),
		   witness->conf.adapter->load_path);
	query->calls[index] =
		gc_httpc_start(witness->conf.http, &conf, &ops, call);
	query->n_pending++;
}

/* Any response but a report of another start shows that the server is there. One that
 * gives none in time may be silent or cut off. */
static void on_report(void *ctx, int status, gc_str_t body, bool sent,
		      const GError *err)
{
	report_call_t *call = ctx;
	gc_witness_query_t *query = call->query;

	query->calls[call->index] = NULL;
	query->n_pending--;
	if (status != 0 && call->index == 0 && is_other_start(call, body))
		query->refused = true;
	else if (status != 0 && call->index == 0)
		query->reached = true;
	else if (status != 0)
		query->other_reached = true;
	else if (call->index == 0)
		query->refused = g_error_matches(err, GC_ERROR, GC_ERR_IO);
	if (query->reached || query->n_pending == 0 ||
	    (query->other_reached && !query->calls[0]))
		finish_query(query);
}

static bool is_other_start(const report_call_t *call, gc_str_t body)
{
	gc_backend_load_t load;

	return call->query->witness->conf.adapter->read_load(body, &load) &&
	       load.started_ms != 0 && load.started_ms != call->started_ms;
}

static void finish_query(gc_witness_query_t *query)
{
	json_t *json = json_pack("{s:b,s:b}", "reached", query->reached, "lost",
				 query->refused && query->other_reached);
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	query->done(query->ctx, text);
	free(text);
	talloc_free(query);
}
