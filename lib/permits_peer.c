/* Asks for permits, as JSON over HTTP between daemons. */
#include <stdlib.h>

#include <glib.h>
#include <jansson.h>
#include <xxhash.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/permits_peer.h"

/* Time for an issuer's answer, about ten round trips between failure domains. */
#define ASK_TIMEOUT_MS 60
/* How long an issuer that gave no answer isn't asked. */
#define ISSUER_FAILED_MS 1500
/* Daemons that may be asked for the permits of one server, in turn. */
#define N_ISSUERS 3
/* Largest response and longest target of a request. */
#define MAX_RESPONSE_BYTES 512
#define MAX_URL_BYTES	   384
/* Bounds on what another daemon asks for. */
#define MAX_WANTED 64
#define MAX_AGE_MS 3600000

/* Parts of a limit that the issuers grant. Together they stay within the half by
 * which a server may be exceeded, should all of them grant at once. */
static const double issuer_parts[N_ISSUERS] = {1, 0.25, 0.125};

struct gc_permits_peer {
	gc_permits_peer_conf_t conf;
	gc_permits_t *permits;
	gc_fleet_view_t *view; /* NULL until the first one is set */
	GHashTable *failed; /* name: struct timespec until when */
	gc_metric_t *asks;
	gc_metric_t *denied;
	gc_metric_t *failures;
};

/* An ask that is under way to another daemon. */
typedef struct call {
	gc_permits_peer_t *peer;
	gc_permit_ask_t ask;
	size_t position; /* of the issuer that is asked */
	char *issuer;
} call_t;

static int peer_destructor(gc_permits_peer_t *peer);
static void ask_from(gc_permits_peer_t *peer, const gc_permit_ask_t *ask,
		     size_t position);
static const gc_registry_entry_t *find_issuer(const gc_permits_peer_t *peer,
					      uint64_t server, size_t position);
static uint64_t weight_of(const gc_registry_entry_t *daemon, uint64_t server);
static bool has_failed(const gc_permits_peer_t *peer, gc_str_t id);
static void grant_own(gc_permits_peer_t *peer, const gc_permit_ask_t *ask,
		      double part);
static void start_call(gc_permits_peer_t *peer, const gc_permit_ask_t *ask,
		       size_t position, const gc_registry_entry_t *issuer);
static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);
static bool parse_answer(gc_str_t body, const gc_permit_ask_t *ask,
			 struct timespec now, gc_permit_answer_t *answer);
static bool parse_ask(gc_str_t target, struct timespec now,
		      gc_permit_ask_t *ask);
static const char *param(GHashTable *params, const char *name);
static bool parse_limit(const char *text, double *limit);
static char *format_limit(double limit);

gc_permits_peer_t *gc_permits_peer_create(TALLOC_CTX *mem,
					  const gc_permits_peer_conf_t *conf)
{
	gc_permits_peer_t *peer = talloc_zero(mem, gc_permits_peer_t);

	peer->conf = *conf;
	peer->permits = gc_permits_create(peer);
	peer->failed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peer->asks =
		gc_counter("goldcrest_permit_asks_total",
			   "Asks for permits of limited servers.", NULL, NULL);
	peer->denied = gc_counter("goldcrest_permit_asks_denied_total",
				  "Asks for permits that were not granted.",
				  NULL, NULL);
	peer->failures =
		gc_counter("goldcrest_permit_asks_failed_total",
			   "Asks that an issuer didn't answer.", NULL, NULL);
	talloc_set_destructor(peer, peer_destructor);
	return peer;
}

static int peer_destructor(gc_permits_peer_t *peer)
{
	gc_fleet_view_unref(peer->view);
	g_hash_table_unref(peer->failed);
	return 0;
}

void gc_permits_peer_set_view(gc_permits_peer_t *peer, gc_fleet_view_t *view)
{
	gc_fleet_view_unref(peer->view);
	peer->view = gc_fleet_view_ref(view);
}

void gc_permits_peer_ask(gc_permits_peer_t *peer, const gc_permit_ask_t *ask)
{
	gc_counter_add(peer->asks, 1);
	ask_from(peer, ask, 0);
}

static void ask_from(gc_permits_peer_t *peer, const gc_permit_ask_t *ask,
		     size_t position)
{
	size_t n_daemons = peer->view ? peer->view->n_daemons : 0;

	for (; position < N_ISSUERS; position++) {
		const gc_registry_entry_t *issuer =
			find_issuer(peer, ask->server, position);

		if (!issuer)
			break;
		if (gc_str_eq(issuer->id, peer->conf.self)) {
			grant_own(peer, ask, issuer_parts[position]);
			return;
		}
		if (has_failed(peer, issuer->id))
			continue;
		start_call(peer, ask, position, issuer);
		return;
	}
	grant_own(peer, ask, 1.0 / (double)MAX(n_daemons, 1));
}

/* The daemon with the highest weight but `position` others, or NULL. */
static const gc_registry_entry_t *find_issuer(const gc_permits_peer_t *peer,
					      uint64_t server, size_t position)
{
	const gc_registry_entry_t *best[N_ISSUERS] = {NULL};
	uint64_t weights[N_ISSUERS];
	size_t n = 0;

	for (size_t i = 0; peer->view && i < peer->view->n_daemons; i++) {
		const gc_registry_entry_t *daemon = &peer->view->daemons[i];
		uint64_t weight = weight_of(daemon, server);
		size_t at = n < N_ISSUERS ? n++ : N_ISSUERS;

		if (daemon->peer_address.len == 0) {
			n -= at < N_ISSUERS;
			continue;
		}
		for (; at > 0 && weights[at - 1] < weight; at--) {
			if (at == N_ISSUERS)
				continue;
			best[at] = best[at - 1];
			weights[at] = weights[at - 1];
		}
		if (at == N_ISSUERS)
			continue;
		best[at] = daemon;
		weights[at] = weight;
	}
	return position < n ? best[position] : NULL;
}

static uint64_t weight_of(const gc_registry_entry_t *daemon, uint64_t server)
{
	return XXH64(daemon->id.data, daemon->id.len, server);
}

static bool has_failed(const gc_permits_peer_t *peer, gc_str_t id)
{
	g_autofree char *name = g_strndup(id.data, id.len);
	const struct timespec *until = g_hash_table_lookup(peer->failed, name);

	return until &&
	       gc_ms_between(gc_clock_now(peer->conf.clock), *until) > 0;
}

static void grant_own(gc_permits_peer_t *peer, const gc_permit_ask_t *ask,
		      double part)
{
	gc_permit_ask_t own_ask = *ask;
	gc_permit_answer_t answer;

	own_ask.part = part;
	gc_permits_ask(peer->permits, gc_clock_now(peer->conf.clock), &own_ask,
		       &answer);
	if (answer.wait_ms > 0)
		gc_counter_add(peer->denied, 1);
	peer->conf.answered(peer->conf.ctx, &answer);
}

static void start_call(gc_permits_peer_t *peer, const gc_permit_ask_t *ask,
		       size_t position, const gc_registry_entry_t *issuer)
{
	char url[MAX_URL_BYTES];
	g_autofree char *limit = format_limit(ask->limit);
	gc_http_call_conf_t conf = {
		.method = "POST",
		.url = url,
		.peer = "daemon",
		.connect_timeout_ms = ASK_TIMEOUT_MS,
		.timeout_ms = ASK_TIMEOUT_MS,
		.max_body = MAX_RESPONSE_BYTES,
	};
	const gc_http_call_ops_t ops = {.done = on_response};
	call_t *call = talloc_zero(peer, call_t);

	call->peer = peer;
	call->ask = *ask;
	call->position = position;
	call->issuer = talloc_strndup(call, issuer->id.data, issuer->id.len);
	snprintf(
		url, sizeof(url),
		"http://%.*s" GC_PERMITS_PATH "?server=%" G_GINT64_MODIFIER
		"x&limit=%s&age_ms=%" G_GINT64_FORMAT
		"&part=%.4f&wanted=%u&sent=%u&rank=%u&account=%" G_GINT64_MODIFIER
		"x",
		GC_STR_ARG(issuer->peer_address), ask->server, limit,
		gc_ms_between(ask->limit_at, gc_clock_now(peer->conf.clock)),
		issuer_parts[position], ask->wanted, ask->sent_without,
		ask->rank, ask->account);
	gc_httpc_start(peer->conf.http, &conf, &ops, call);
}

static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err)
{
	call_t *call = ctx;
	gc_permits_peer_t *peer = call->peer;
	struct timespec now = gc_clock_now(peer->conf.clock);
	gc_permit_answer_t answer;

	if (!err && status == 200 &&
	    parse_answer(body, &call->ask, now, &answer)) {
		if (answer.wait_ms > 0)
			gc_counter_add(peer->denied, 1);
		peer->conf.answered(peer->conf.ctx, &answer);
	} else {
		struct timespec *until = g_new(struct timespec, 1);
		g_autofree char *status_text = g_strdup_printf("%d", status);

		*until = gc_add_ms(now, ISSUER_FAILED_MS);
		g_hash_table_replace(peer->failed, g_strdup(call->issuer),
				     until);
		gc_counter_add(peer->failures, 1);
		gc_log(GC_LOG_INFO, GC_EVENT_PERMITS_UNANSWERED,
		       "a daemon gave no permits", "daemon", call->issuer,
		       "status", status_text, "error", err ? err->message : "",
		       NULL);
		ask_from(peer, &call->ask, call->position + 1);
	}
	talloc_free(call);
}

static bool parse_answer(gc_str_t body, const gc_permit_ask_t *ask,
			 struct timespec now, gc_permit_answer_t *answer)
{
	json_t *json = json_loadb(body.data, body.len, 0, NULL);
	json_int_t age_ms = 0;
	json_int_t granted = 0;
	json_int_t wait_ms = 0;
	const char *limit = NULL;
	bool ok = json_unpack(json, "{s:s,s:I,s:I,s:I}", "limit", &limit,
			      "age_ms", &age_ms, "granted", &granted, "wait_ms",
			      &wait_ms) == 0;

	*answer =
		(gc_permit_answer_t){.server = ask->server, .rank = ask->rank};
	ok = ok && parse_limit(limit, &answer->limit) && granted >= 0 &&
	     granted <= ask->wanted && wait_ms >= 0 && age_ms >= 0;
	answer->limit_at = gc_add_ms(now, -age_ms);
	answer->granted = (uint32_t)granted;
	answer->wait_ms = wait_ms;
	json_decref(json);
	return ok;
}

char *gc_permits_peer_response(gc_permits_peer_t *peer, gc_str_t target)
{
	struct timespec now = gc_clock_now(peer->conf.clock);
	gc_permit_ask_t ask;
	gc_permit_answer_t answer;
	g_autofree char *limit = NULL;
	json_t *json;
	char *text;
	char *copy;

	if (!parse_ask(target, now, &ask))
		return NULL;
	gc_permits_ask(peer->permits, now, &ask, &answer);
	limit = format_limit(answer.limit);
	json = json_pack("{s:s,s:I,s:I,s:I}", "limit", limit, "age_ms",
			 (json_int_t)gc_ms_between(answer.limit_at, now),
			 "granted", (json_int_t)answer.granted, "wait_ms",
			 (json_int_t)answer.wait_ms);
	text = json_dumps(json, JSON_COMPACT);
	copy = g_strdup(text);
	json_decref(json);
	free(text);
	return copy;
}

static bool parse_ask(gc_str_t target, struct timespec now,
		      gc_permit_ask_t *ask)
{
	g_autofree char *text = g_strndup(target.data, target.len);
	const char *query = strchr(text, '?');
	g_autoptr(GHashTable) params =
		query ? g_uri_parse_params(query + 1, -1, "&",
					   G_URI_PARAMS_NONE, NULL)
		      : NULL;
	guint64 age_ms;
	guint64 wanted;
	guint64 sent;
	guint64 rank;

	if (!params)
		return false;
	*ask = (gc_permit_ask_t){
		.part = g_ascii_strtod(param(params, "part"), NULL),
	};
	if (!g_ascii_string_to_unsigned(param(params, "server"), 16, 0,
					UINT64_MAX, &ask->server, NULL) ||
	    !g_ascii_string_to_unsigned(param(params, "account"), 16, 0,
					UINT64_MAX, &ask->account, NULL) ||
	    !g_ascii_string_to_unsigned(param(params, "age_ms"), 10, 0,
					MAX_AGE_MS, &age_ms, NULL) ||
	    !g_ascii_string_to_unsigned(param(params, "wanted"), 10, 0,
					MAX_WANTED, &wanted, NULL) ||
	    !g_ascii_string_to_unsigned(param(params, "sent"), 10, 0,
					UINT32_MAX, &sent, NULL) ||
	    !g_ascii_string_to_unsigned(param(params, "rank"), 10, 0,
					GC_PERMIT_RANK_MAX, &rank, NULL) ||
	    !parse_limit(param(params, "limit"), &ask->limit))
		return false;
	ask->limit_at = gc_add_ms(now, -(int64_t)age_ms);
	ask->wanted = (uint32_t)wanted;
	ask->sent_without = (uint32_t)sent;
	ask->rank = (unsigned int)rank;
	return ask->part > 0 && ask->part <= 1;
}

/* Empty if there is no such parameter. */
static const char *param(GHashTable *params, const char *name)
{
	const char *value = g_hash_table_lookup(params, name);

	return value ? value : "";
}

/* "none" stands for no limit. */
static bool parse_limit(const char *text, double *limit)
{
	char *end;

	if (strcmp(text, "none") == 0) {
		*limit = GC_NO_LIMIT;
		return true;
	}
	*limit = g_ascii_strtod(text, &end);
	return end != text && *end == '\0' && *limit >= 0 && *limit < 1e12;
}

static char *format_limit(double limit)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	return g_strdup(limit == GC_NO_LIMIT
				? "none"
				: g_ascii_dtostr(text, sizeof(text), limit));
}
