/* Asks for places, as JSON over HTTP between daemons. */
#include <stdlib.h>

#include <glib.h>
#include <jansson.h>
#include <xxhash.h>

#include "core/permits.h"
#include "lib/issuers.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/peer_query.h"
#include "lib/places_peer.h"

/* Interval at which asks that wait are looked at. */
#define WAIT_POLL_MS 5
/* Daemons that are told of brittle servers at once, the interval, and how often
 * one that doesn't answer is told. */
#define MAX_TOLD       32
#define TELL_MS	       100
#define MAX_TELLS      3
#define TELL_FORGET_MS 10000
/* Largest response and longest target of a request. */
#define MAX_RESPONSE_BYTES 512
#define MAX_URL_BYTES	   512
/* Bounds on what another daemon asks for. */
#define MAX_WANTED 64
#define MAX_COUNT  100000
#define MAX_AGE_MS 3600000

struct gc_places_peer {
	gc_places_peer_conf_t conf;
	gc_places_t *places;
	gc_issuers_t *issuers;
	uint64_t self; /* hash of the name */
	size_t n_pending;
	gc_timer_t *wait_timer;
	GHashTable *tells; /* by server: tell_t */
	gc_timer_t *tell_timer;
	gc_metric_t *asks;
	gc_metric_t *denied;
	gc_metric_t *failures;
};

/* An ask that waits for its answer at this daemon. */
typedef struct pending {
	gc_places_peer_t *peer;
	gc_places_respond_t respond; /* NULL: an ask of this daemon */
	void *ctx;
	bool *freed; /* set when it is freed; may be NULL */
} pending_t;

/* An ask that is under way to another daemon. */
typedef struct call {
	gc_places_peer_t *peer;
	gc_place_ask_t ask;
	size_t position; /* of the issuer that is asked */
	char *issuer;
} call_t;

/* What the other daemons are told of a brittle server. */
typedef struct tell {
	uint64_t server;
	double brittle;
	struct timespec brittle_at;
	struct timespec asked_at; /* last ask for it */
	GHashTable *told; /* by daemon: how often */
} tell_t;

static int peer_destructor(gc_places_peer_t *peer);
static void free_tell(gpointer data);
static void ask_from(gc_places_peer_t *peer, const gc_place_ask_t *ask,
		     size_t position);
static pending_t *ask_own(gc_places_peer_t *peer, const gc_place_ask_t *ask,
			  gc_places_respond_t respond, void *ctx);
static int pending_destructor(pending_t *pending);
static void answer_waiting(gc_places_peer_t *peer);
static void respond(gc_places_peer_t *peer, gc_places_respond_t respond,
		    void *ctx, const gc_place_answer_t *answer);
static void on_wait_timer(void *ctx);
static void start_call(gc_places_peer_t *peer, const gc_place_ask_t *ask,
		       size_t position, const gc_registry_entry_t *issuer);
static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err);
static void note_brittle(gc_places_peer_t *peer,
			 const gc_place_answer_t *answer);
static void on_tell_timer(void *ctx);
static size_t tell_some(gc_places_peer_t *peer, tell_t *tell, size_t max);
static void start_tell(gc_places_peer_t *peer, const tell_t *tell,
		       const gc_registry_entry_t *daemon);
static void on_told(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err);
static uint64_t hash_name(gc_str_t name);
static char *format_answer(const gc_place_answer_t *answer,
			   struct timespec now);
static bool parse_answer(gc_str_t body, const gc_place_ask_t *ask,
			 struct timespec now, gc_place_answer_t *answer);
static bool parse_ask(GHashTable *params, struct timespec now,
		      gc_place_ask_t *ask);

gc_places_peer_t *gc_places_peer_create(TALLOC_CTX *mem,
					const gc_places_peer_conf_t *conf)
{
	gc_places_peer_t *peer = talloc_zero(mem, gc_places_peer_t);

	peer->conf = *conf;
	peer->self = hash_name(conf->self);
	peer->places = gc_places_create(peer);
	peer->issuers =
		gc_issuers_create(peer, conf->clock, GC_CAN_GRANT_PLACES);
	peer->wait_timer =
		gc_timer_create(peer, conf->timers, on_wait_timer, peer);
	peer->tell_timer =
		gc_timer_create(peer, conf->timers, on_tell_timer, peer);
	peer->tells = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    free_tell);
	peer->asks =
		gc_counter("goldcrest_place_asks_total",
			   "Asks for places at brittle servers.", NULL, NULL);
	peer->denied =
		gc_counter("goldcrest_place_asks_denied_total",
			   "Asks for which no place was free.", NULL, NULL);
	peer->failures =
		gc_counter("goldcrest_place_asks_failed_total",
			   "Asks that an issuer didn't answer.", NULL, NULL);
	talloc_set_destructor(peer, peer_destructor);
	return peer;
}

static int peer_destructor(gc_places_peer_t *peer)
{
	g_hash_table_unref(peer->tells);
	return 0;
}

static void free_tell(gpointer data)
{
	tell_t *tell = data;

	g_hash_table_unref(tell->told);
	g_free(tell);
}

static uint64_t hash_name(gc_str_t name)
{
	return XXH64(name.data, name.len, 0);
}

void gc_places_peer_set_view(gc_places_peer_t *peer, gc_fleet_view_t *view)
{
	gc_issuers_set_view(peer->issuers, view);
	gc_places_set_asking_part(peer->places,
				  gc_issuers_capable_part(peer->issuers));
}

void gc_places_peer_ask(gc_places_peer_t *peer, const gc_place_ask_t *ask)
{
	gc_place_ask_t own_ask = *ask;

	own_ask.daemon = peer->self;
	gc_counter_add(peer->asks, 1);
	ask_from(peer, &own_ask, 0);
}

static void ask_from(gc_places_peer_t *peer, const gc_place_ask_t *ask,
		     size_t position)
{
	gc_place_ask_t own_ask = *ask;

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
	own_ask.part = gc_issuers_part(peer->issuers, position);
	ask_own(peer, &own_ask, NULL, NULL);
}

/* Returns the ask if it waits. */
static pending_t *ask_own(gc_places_peer_t *peer, const gc_place_ask_t *ask,
			  gc_places_respond_t done, void *ctx)
{
	pending_t *pending = talloc_zero(peer, pending_t);
	gc_place_answer_t answer;
	bool freed = false;
	bool waits;

	pending->peer = peer;
	pending->respond = done;
	pending->ctx = ctx;
	waits = !gc_places_ask(peer->places, gc_clock_now(peer->conf.clock),
			       ask, pending, &answer);
	if (ask->part >= 1)
		note_brittle(peer, &answer);
	if (!waits) {
		talloc_free(pending);
		respond(peer, done, ctx, &answer);
		answer_waiting(peer);
		return NULL;
	}
	pending->freed = &freed;
	talloc_set_destructor(pending, pending_destructor);
	if (peer->n_pending++ == 0)
		gc_timer_set(peer->wait_timer, WAIT_POLL_MS);
	/* It may have given back places, for which others wait. */
	answer_waiting(peer);
	if (freed)
		return NULL;
	pending->freed = NULL;
	return pending;
}

static int pending_destructor(pending_t *pending)
{
	pending->peer->n_pending--;
	if (pending->freed)
		*pending->freed = true;
	gc_places_cancel(pending->peer->places, pending);
	return 0;
}

static void answer_waiting(gc_places_peer_t *peer)
{
	gc_place_answer_t answer;
	pending_t *pending;

	while ((pending = gc_places_next(peer->places,
					 gc_clock_now(peer->conf.clock),
					 &answer))) {
		gc_places_respond_t done = pending->respond;
		void *ctx = pending->ctx;

		talloc_free(pending);
		respond(peer, done, ctx, &answer);
	}
}

static void respond(gc_places_peer_t *peer, gc_places_respond_t done, void *ctx,
		    const gc_place_answer_t *answer)
{
	g_autofree char *text = NULL;

	if (!done) {
		if (answer->to_ask && answer->granted == 0)
			gc_counter_add(peer->denied, 1);
		peer->conf.answered(peer->conf.ctx, answer);
		return;
	}
	text = format_answer(answer, gc_clock_now(peer->conf.clock));
	done(ctx, text);
}

static void on_wait_timer(void *ctx)
{
	gc_places_peer_t *peer = ctx;

	answer_waiting(peer);
	if (peer->n_pending > 0)
		gc_timer_set(peer->wait_timer, WAIT_POLL_MS);
}

static void start_call(gc_places_peer_t *peer, const gc_place_ask_t *ask,
		       size_t position, const gc_registry_entry_t *issuer)
{
	char url[MAX_URL_BYTES];
	g_autofree char *brittle = gc_peer_format_rate(ask->brittle);
	gc_http_call_conf_t conf = {
		.method = "POST",
		.url = url,
		.peer = "daemon",
		.connect_timeout_ms = GC_ISSUER_TIMEOUT_MS,
		.timeout_ms = GC_ISSUER_TIMEOUT_MS + GC_PLACE_WAIT_MS,
		.max_body = MAX_RESPONSE_BYTES,
	};
	const gc_http_call_ops_t ops = {.done = on_response};
	call_t *call = talloc_zero(peer, call_t);

	call->peer = peer;
	call->ask = *ask;
	call->position = position;
	call->issuer = talloc_strndup(call, issuer->id.data, issuer->id.len);
	snprintf(url, sizeof(url),
		 "http://%.*s" GC_PLACES_PATH "?server=%" G_GINT64_MODIFIER
		 "x&daemon=%" G_GINT64_MODIFIER "x&number=%" G_GUINT64_FORMAT
		 "&brittle=%s&age_ms=%" G_GINT64_FORMAT
		 "&part=%.4f&slots=%u&held=%u&got=%u&turned_away=%u&wanted=%u"
		 "&rank=%u",
		 GC_STR_ARG(issuer->peer_address), ask->server, ask->daemon,
		 ask->number, brittle,
		 gc_ms_between(ask->brittle_at, gc_clock_now(peer->conf.clock)),
		 gc_issuers_part(peer->issuers, position), ask->slots,
		 ask->held, ask->got, ask->turned_away, ask->wanted, ask->rank);
	gc_httpc_start(peer->conf.http, &conf, &ops, call);
}

static void on_response(void *ctx, int status, gc_str_t body, bool sent,
			const GError *err)
{
	call_t *call = ctx;
	gc_places_peer_t *peer = call->peer;
	struct timespec now = gc_clock_now(peer->conf.clock);
	gc_place_answer_t answer;

	if (!err && status == 200 &&
	    parse_answer(body, &call->ask, now, &answer)) {
		respond(peer, NULL, NULL, &answer);
	} else {
		g_autofree char *status_text = g_strdup_printf("%d", status);

		gc_issuers_record_failure(peer->issuers, call->issuer);
		gc_counter_add(peer->failures, 1);
		gc_log(GC_LOG_INFO, GC_EVENT_PLACES_UNANSWERED,
		       "a daemon gave no places", "daemon", call->issuer,
		       "status", status_text, "error", err ? err->message : "",
		       NULL);
		ask_from(peer, &call->ask, call->position + 1);
	}
	talloc_free(call);
}

void *gc_places_peer_request(gc_places_peer_t *peer, gc_str_t target,
			     gc_places_respond_t done, void *ctx)
{
	struct timespec now = gc_clock_now(peer->conf.clock);
	g_autoptr(GHashTable) params = gc_peer_params(target);
	gc_place_ask_t ask;
	pending_t *pending;

	if (!params || !parse_ask(params, now, &ask)) {
		done(ctx, NULL);
		return NULL;
	}
	if (g_hash_table_contains(params, "told")) {
		gc_place_answer_t news = {
			.server = ask.server,
			.brittle = ask.brittle,
			.brittle_at = ask.brittle_at,
		};

		peer->conf.answered(peer->conf.ctx, &news);
		done(ctx, "{}");
		return NULL;
	}
	pending = ask_own(peer, &ask, done, ctx);
	return pending;
}

/* Without this, each daemon that doesn't know of it sends a request to a server
 * that has no room. This one may not know of it either. */
static void note_brittle(gc_places_peer_t *peer,
			 const gc_place_answer_t *answer)
{
	tell_t *tell = g_hash_table_lookup(peer->tells, &answer->server);
	gc_place_answer_t news = {
		.server = answer->server,
		.brittle = answer->brittle,
		.brittle_at = answer->brittle_at,
	};

	if (answer->brittle == GC_NOT_BRITTLE) {
		if (tell)
			g_hash_table_remove(peer->tells, &answer->server);
		return;
	}
	if (!tell) {
		tell = g_new0(tell_t, 1);
		tell->server = answer->server;
		tell->told = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, NULL);
		if (g_hash_table_size(peer->tells) == 0)
			gc_timer_set(peer->tell_timer, 1);
		g_hash_table_insert(peer->tells, &tell->server, tell);
		peer->conf.answered(peer->conf.ctx, &news);
	}
	tell->brittle = answer->brittle;
	tell->brittle_at = answer->brittle_at;
	tell->asked_at = gc_clock_now(peer->conf.clock);
}

static void on_tell_timer(void *ctx)
{
	gc_places_peer_t *peer = ctx;
	struct timespec now = gc_clock_now(peer->conf.clock);
	size_t left = MAX_TOLD;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peer->tells);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tell_t *tell = value;

		if (gc_ms_between(tell->asked_at, now) > TELL_FORGET_MS)
			g_hash_table_iter_remove(&iter);
		else
			left -= tell_some(peer, tell, left);
	}
	if (g_hash_table_size(peer->tells) > 0)
		gc_timer_set(peer->tell_timer, TELL_MS);
}

/* Returns the number of daemons that are told, at most max. */
static size_t tell_some(gc_places_peer_t *peer, tell_t *tell, size_t max)
{
	size_t n_daemons;
	const gc_registry_entry_t *daemons =
		gc_issuers_daemons(peer->issuers, &n_daemons);
	size_t n = 0;

	for (size_t i = 0; i < n_daemons && n < max; i++) {
		uint64_t hash = hash_name(daemons[i].id);
		guint count = GPOINTER_TO_UINT(
			g_hash_table_lookup(tell->told, &hash));

		if (hash == peer->self || count >= MAX_TELLS ||
		    daemons[i].peer_address.len == 0 ||
		    !gc_issuers_is_capable(peer->issuers, &daemons[i]) ||
		    gc_places_knows(peer->places, tell->server, hash))
			continue;
		g_hash_table_replace(tell->told, g_memdup2(&hash, sizeof(hash)),
				     GUINT_TO_POINTER(count + 1));
		start_tell(peer, tell, &daemons[i]);
		n++;
	}
	return n;
}

static void start_tell(gc_places_peer_t *peer, const tell_t *tell,
		       const gc_registry_entry_t *daemon)
{
	char url[MAX_URL_BYTES];
	g_autofree char *brittle = gc_peer_format_rate(tell->brittle);
	gc_http_call_conf_t conf = {
		.method = "POST",
		.url = url,
		.peer = "daemon",
		.connect_timeout_ms = GC_ISSUER_TIMEOUT_MS,
		.timeout_ms = GC_ISSUER_TIMEOUT_MS,
		.max_body = MAX_RESPONSE_BYTES,
	};
	const gc_http_call_ops_t ops = {.done = on_told};
	call_t *call = talloc_zero(peer, call_t);

	call->peer = peer;
	call->ask.server = tell->server;
	call->ask.daemon = hash_name(daemon->id);
	snprintf(url, sizeof(url),
		 "http://%.*s" GC_PLACES_PATH
		 "?told=1&server=%" G_GINT64_MODIFIER
		 "x&daemon=%" G_GINT64_MODIFIER "x&number=0&brittle=%s&age_ms="
		 "%" G_GINT64_FORMAT
		 "&part=1&slots=0&held=0&got=0&turned_away=0&wanted=0&rank=0",
		 GC_STR_ARG(daemon->peer_address), tell->server, peer->self,
		 brittle,
		 gc_ms_between(tell->brittle_at,
			       gc_clock_now(peer->conf.clock)));
	gc_httpc_start(peer->conf.http, &conf, &ops, call);
}

static void on_told(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err)
{
	call_t *call = ctx;
	tell_t *tell =
		g_hash_table_lookup(call->peer->tells, &call->ask.server);

	if (!err && status == 200 && tell)
		g_hash_table_replace(tell->told,
				     g_memdup2(&call->ask.daemon,
					       sizeof(uint64_t)),
				     GUINT_TO_POINTER(MAX_TELLS));
	talloc_free(call);
}

static char *format_answer(const gc_place_answer_t *answer, struct timespec now)
{
	g_autofree char *brittle = gc_peer_format_rate(answer->brittle);
	json_t *json =
		json_pack("{s:s,s:I,s:I,s:I}", "brittle", brittle, "age_ms",
			  (json_int_t)gc_ms_between(answer->brittle_at, now),
			  "granted", (json_int_t)answer->granted, "wait_ms",
			  (json_int_t)answer->wait_ms);
	char *text = json_dumps(json, JSON_COMPACT);
	char *copy = g_strdup(text);

	json_decref(json);
	free(text);
	return copy;
}

static bool parse_answer(gc_str_t body, const gc_place_ask_t *ask,
			 struct timespec now, gc_place_answer_t *answer)
{
	json_t *json = json_loadb(body.data, body.len, 0, NULL);
	json_int_t age_ms = 0;
	json_int_t granted = 0;
	json_int_t wait_ms = 0;
	const char *brittle = NULL;
	bool ok = json_unpack(json, "{s:s,s:I,s:I,s:I}", "brittle", &brittle,
			      "age_ms", &age_ms, "granted", &granted, "wait_ms",
			      &wait_ms) == 0;

	*answer = (gc_place_answer_t){
		.server = ask->server,
		.to_ask = ask->wanted > 0,
		.rank = ask->rank,
	};
	ok = ok && gc_peer_parse_rate(brittle, &answer->brittle) &&
	     granted >= 0 && granted <= ask->wanted && wait_ms >= 0 &&
	     age_ms >= 0;
	answer->brittle_at = gc_add_ms(now, -age_ms);
	answer->granted = (uint32_t)granted;
	answer->wait_ms = wait_ms;
	json_decref(json);
	return ok;
}

static bool parse_ask(GHashTable *params, struct timespec now,
		      gc_place_ask_t *ask)
{
	guint64 age_ms;
	guint64 counts[6];

	*ask = (gc_place_ask_t){
		.part = g_ascii_strtod(gc_peer_param(params, "part"), NULL),
	};
	if (!gc_peer_param_number(params, "server", 16, UINT64_MAX,
				  &ask->server) ||
	    !gc_peer_param_number(params, "daemon", 16, UINT64_MAX,
				  &ask->daemon) ||
	    !gc_peer_param_number(params, "number", 10, UINT64_MAX,
				  &ask->number) ||
	    !gc_peer_param_number(params, "age_ms", 10, MAX_AGE_MS, &age_ms) ||
	    !gc_peer_param_number(params, "slots", 10, MAX_COUNT, &counts[0]) ||
	    !gc_peer_param_number(params, "held", 10, MAX_COUNT, &counts[1]) ||
	    !gc_peer_param_number(params, "got", 10, UINT32_MAX, &counts[2]) ||
	    !gc_peer_param_number(params, "turned_away", 10, MAX_COUNT,
				  &counts[3]) ||
	    !gc_peer_param_number(params, "wanted", 10, MAX_WANTED,
				  &counts[4]) ||
	    !gc_peer_param_number(params, "rank", 10, GC_PERMIT_RANK_MAX,
				  &counts[5]) ||
	    !gc_peer_parse_rate(gc_peer_param(params, "brittle"),
				&ask->brittle))
		return false;
	ask->brittle_at = gc_add_ms(now, -(int64_t)age_ms);
	ask->slots = (uint32_t)counts[0];
	ask->held = (uint32_t)counts[1];
	ask->got = (uint32_t)counts[2];
	ask->turned_away = (uint32_t)counts[3];
	ask->wanted = (uint32_t)counts[4];
	ask->rank = (unsigned int)counts[5];
	return ask->part > 0 && ask->part <= 1;
}
