/* Asks for permits, as JSON over HTTP between daemons. */
#include <stdlib.h>

#include <glib.h>
#include <jansson.h>

#include "lib/issuers.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/peer_query.h"
#include "lib/permits_peer.h"

/* Largest response and longest target of a request. */
#define MAX_RESPONSE_BYTES 512
#define MAX_URL_BYTES	   384
/* Bounds on what another daemon asks for. */
#define MAX_WANTED 64
#define MAX_AGE_MS 3600000

struct gc_permits_peer {
	gc_permits_peer_conf_t conf;
	gc_permits_t *permits;
	gc_issuers_t *issuers;
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

static void ask_from(gc_permits_peer_t *peer, const gc_permit_ask_t *ask,
		     size_t position);
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

gc_permits_peer_t *gc_permits_peer_create(TALLOC_CTX *mem,
					  const gc_permits_peer_conf_t *conf)
{
	gc_permits_peer_t *peer = talloc_zero(mem, gc_permits_peer_t);

	peer->conf = *conf;
	peer->permits = gc_permits_create(peer);
	peer->issuers = gc_issuers_create(peer, conf->clock, 0);
	peer->asks =
		gc_counter("goldcrest_permit_asks_total",
			   "Asks for permits of limited servers.", NULL, NULL);
	peer->denied = gc_counter("goldcrest_permit_asks_denied_total",
				  "Asks for permits that were not granted.",
				  NULL, NULL);
	peer->failures =
		gc_counter("goldcrest_permit_asks_failed_total",
			   "Asks that an issuer didn't answer.", NULL, NULL);
	return peer;
}

void gc_permits_peer_set_view(gc_permits_peer_t *peer, gc_fleet_view_t *view)
{
	gc_issuers_set_view(peer->issuers, view);
}

void gc_permits_peer_ask(gc_permits_peer_t *peer, const gc_permit_ask_t *ask)
{
	gc_counter_add(peer->asks, 1);
	ask_from(peer, ask, 0);
}

static void ask_from(gc_permits_peer_t *peer, const gc_permit_ask_t *ask,
		     size_t position)
{
	for (; position < GC_N_ISSUERS; position++) {
		const gc_registry_entry_t *issuer =
			gc_issuers_find(peer->issuers, ask->server, position);

		if (!issuer) {
			position = GC_N_ISSUERS;
			break;
		}
		if (gc_str_eq(issuer->id, peer->conf.self))
			break;
		if (gc_issuers_has_failed(peer->issuers, issuer->id))
			continue;
		start_call(peer, ask, position, issuer);
		return;
	}
	grant_own(peer, ask, gc_issuers_part(peer->issuers, position));
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
	g_autofree char *limit = gc_peer_format_rate(ask->limit);
	gc_http_call_conf_t conf = {
		.method = "POST",
		.url = url,
		.peer = "daemon",
		.connect_timeout_ms = GC_ISSUER_TIMEOUT_MS,
		.timeout_ms = GC_ISSUER_TIMEOUT_MS,
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
		gc_issuers_part(peer->issuers, position), ask->wanted,
		ask->sent_without, ask->rank, ask->account);
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
		g_autofree char *status_text = g_strdup_printf("%d", status);

		gc_issuers_record_failure(peer->issuers, call->issuer);
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
	ok = ok && gc_peer_parse_rate(limit, &answer->limit) && granted >= 0 &&
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
	limit = gc_peer_format_rate(answer.limit);
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
	g_autoptr(GHashTable) params = gc_peer_params(target);
	guint64 age_ms;
	guint64 wanted;
	guint64 sent;
	guint64 rank;

	if (!params)
		return false;
	*ask = (gc_permit_ask_t){
		.part = g_ascii_strtod(gc_peer_param(params, "part"), NULL),
	};
	if (!gc_peer_param_number(params, "server", 16, UINT64_MAX,
				  &ask->server) ||
	    !gc_peer_param_number(params, "account", 16, UINT64_MAX,
				  &ask->account) ||
	    !gc_peer_param_number(params, "age_ms", 10, MAX_AGE_MS, &age_ms) ||
	    !gc_peer_param_number(params, "wanted", 10, MAX_WANTED, &wanted) ||
	    !gc_peer_param_number(params, "sent", 10, UINT32_MAX, &sent) ||
	    !gc_peer_param_number(params, "rank", 10, GC_PERMIT_RANK_MAX,
				  &rank) ||
	    !gc_peer_parse_rate(gc_peer_param(params, "limit"), &ask->limit))
		return false;
	ask->limit_at = gc_add_ms(now, -(int64_t)age_ms);
	ask->wanted = (uint32_t)wanted;
	ask->sent_without = (uint32_t)sent;
	ask->rank = (unsigned int)rank;
	return ask->part > 0 && ask->part <= 1;
}
