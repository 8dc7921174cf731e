/* Counts what daemons have in flight at each brittle server, and grants the rest. */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "core/clock.h"
#include "core/permits.h"
#include "core/places.h"

/* One request may wait at a server that can turn as many away, so that a slot
 * isn't idle until the next place has been granted. */
#define WAITING_MIN_BRITTLE 4.0
#define WAITING_AT_SERVER   1U
/* While a server is brittle, the places above its slots stay within this part of
 * what it may turn away, as its room can shrink again. */
#define RAISE_PART 0.5
/* With this part of what the server may turn away in a second, no more places
 * are granted until the second is over. */
#define STOP_PART 0.5
#define WINDOW_MS 1000
/* Most requests turned away whose times are kept. */
#define MAX_TURNED_AWAY 64
/* When a server becomes brittle, daemons that don't know it yet send to it: what
 * is turned away tells nothing of the number of places. */
#define LEARN_MS 1000
/* Room shrinks some seconds after a server has become brittle. */
#define FIRST_RAISE_MS 5000
/* An issuer that follows another one hears within this time what daemons have in
 * flight, and grants half of the places until then. */
#define HEAR_MS 500
/* Time without a refusal and since the last change after which there is a place
 * more: up to the number of slots, and above. */
#define RESTORE_MS	   1000
#define RAISE_MS	   2000
#define RAISE_UNREFUSED_MS 10000
/* A daemon that is silent for this time holds nothing. */
#define HOLDER_MS 1500
/* A granted place that a daemon doesn't know of after this time was lost. */
#define GRANT_LOST_MS 500
/* Asks that may wait for one server. */
#define MAX_WAITING 8
/* Asks without a place that an issuer wants in a second, beside two for each
 * place that it grants; see core/permits.c. */
#define DENIED_PER_S   64.0
#define DENIED_PER_USE 2.0
#define RATE_WINDOW_S  1.0
#define WAIT_GAIN      0.05
#define MIN_WAIT_S     0.005
#define MAX_WAIT_S     4.0
/* How long the largest part that was asked for holds. */
#define PART_MS 2000
/* What differs in age by less than this counts as equally old. */
#define SAME_AGE_MS 5
/* A server that wasn't asked for is forgotten after this time. */
#define UNUSED_MS 120000

/* What one daemon has of a server. */
typedef struct holder {
	uint64_t daemon;
	uint64_t number; /* of its latest ask */
	uint32_t held; /* as of that ask */
	uint32_t got;
	uint32_t granted; /* counts on where `got` began */
	struct timespec granted_at;
	struct timespec heard_at;
} holder_t;

typedef struct waiting {
	gc_place_ask_t ask;
	void *token;
	struct timespec until;
} waiting_t;

/* Asks that were denied, and the wait until they make sense again. */
typedef struct denials {
	double n; /* weighted by age */
	double wait_s;
} denials_t;

typedef struct server {
	const gc_places_t *places;
	uint64_t id;
	double brittle;
	struct timespec brittle_at;
	struct timespec began_at; /* when this issuer heard of it */
	uint32_t slots;
	uint32_t limit; /* places */
	bool lowered; /* since it is brittle */
	struct timespec lowered_at;
	struct timespec raised_at; /* or lowered */
	double part;
	struct timespec part_at;
	struct timespec heard_from; /* all daemons since; see HEAR_MS */
	double starts; /* requests that may be started with less than a place */
	struct timespec turned_away[MAX_TURNED_AWAY]; /* the oldest first */
	size_t n_turned_away;
	GHashTable *holders; /* by daemon */
	GArray *waiting; /* the lowest rank first */
	struct timespec updated_at;
	double grants; /* weighted by age */
	/* Asks for what may have run have a wait of their own: however many others
	 * ask, it comes again in time for the next place. */
	denials_t begun;
	denials_t others;
} server_t;

struct gc_places {
	GHashTable *servers;
	double asking_part;
};

static int places_destructor(gc_places_t *places);
static void free_server(gpointer data);
static server_t *find_or_add(gc_places_t *places, struct timespec now,
			     const gc_place_ask_t *ask);
static gboolean is_unused(gpointer key, gpointer value, gpointer data);
static void refill(server_t *server, struct timespec now);
static void update_brittle(server_t *server, struct timespec now,
			   const gc_place_ask_t *ask);
static uint32_t initial_limit(const server_t *server);
static void update_part(server_t *server, struct timespec now,
			const gc_place_ask_t *ask);
static void update_holder(server_t *server, struct timespec now,
			  const gc_place_ask_t *ask);
static uint32_t in_flight(server_t *server, struct timespec now);
static void count_turned_away(server_t *server, struct timespec now,
			      uint32_t n);
static void forget_turned_away(server_t *server, struct timespec now);
static void raise_limit(server_t *server, struct timespec now);
static uint32_t free_places(server_t *server, struct timespec now);
static uint32_t grant(server_t *server, struct timespec now,
		      const gc_place_ask_t *ask);
static void answer_with(const server_t *server, const gc_place_ask_t *ask,
			uint32_t granted, gc_place_answer_t *answer);
static int64_t count_denied(server_t *server, const gc_place_ask_t *ask);
static void add_waiting(server_t *server, struct timespec now,
			const gc_place_ask_t *ask, void *token);

gc_places_t *gc_places_create(TALLOC_CTX *mem)
{
	gc_places_t *places = talloc_zero(mem, gc_places_t);

	places->servers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, free_server);
	places->asking_part = 1;
	talloc_set_destructor(places, places_destructor);
	return places;
}

void gc_places_set_asking_part(gc_places_t *places, double part)
{
	places->asking_part = part;
}

static int places_destructor(gc_places_t *places)
{
	g_hash_table_unref(places->servers);
	return 0;
}

static void free_server(gpointer data)
{
	server_t *server = data;

	g_hash_table_unref(server->holders);
	g_array_unref(server->waiting);
	g_free(server);
}

bool gc_places_ask(gc_places_t *places, struct timespec now,
		   const gc_place_ask_t *ask, void *token,
		   gc_place_answer_t *answer)
{
	server_t *server = find_or_add(places, now, ask);
	uint32_t granted = 0;

	refill(server, now);
	update_brittle(server, now, ask);
	update_part(server, now, ask);
	update_holder(server, now, ask);
	count_turned_away(server, now, ask->turned_away);
	if (server->brittle == GC_NOT_BRITTLE || ask->wanted == 0) {
		answer_with(server, ask, 0, answer);
		return true;
	}
	/* Those that wait go first unless this one has a higher rank. */
	if (server->waiting->len == 0 ||
	    ask->rank < g_array_index(server->waiting, waiting_t,
				      server->waiting->len - 1)
				.ask.rank)
		granted = grant(server, now, ask);
	/* With less than all places, what is free isn't known. */
	if (granted == 0 && server->part >= 1)
		raise_limit(server, now);
	answer_with(server, ask, granted, answer);
	if (granted == 0 && server->part >= 1) {
		add_waiting(server, now, ask, token);
		return false;
	}
	if (granted == 0)
		answer->wait_ms = count_denied(server, ask);
	return true;
}

void *gc_places_next(gc_places_t *places, struct timespec now,
		     gc_place_answer_t *answer)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, places->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;
		uint32_t n_free;

		if (server->waiting->len == 0)
			continue;
		n_free = server->brittle == GC_NOT_BRITTLE
				 ? 0
				 : free_places(server, now);
		for (guint i = server->waiting->len; i-- > 0;) {
			waiting_t waiting =
				g_array_index(server->waiting, waiting_t, i);
			bool ended = server->brittle == GC_NOT_BRITTLE ||
				     gc_ms_between(now, waiting.until) <= 0;
			uint32_t granted = 0;

			if (n_free == 0 && !ended)
				continue;
			g_array_remove_index(server->waiting, i);
			if (n_free > 0) {
				waiting.ask.wanted = 1;
				granted = grant(server, now, &waiting.ask);
			}
			answer_with(server, &waiting.ask, granted, answer);
			if (granted == 0 && server->brittle != GC_NOT_BRITTLE)
				answer->wait_ms =
					count_denied(server, &waiting.ask);
			return waiting.token;
		}
	}
	return NULL;
}

void gc_places_cancel(gc_places_t *places, void *token)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, places->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;

		for (guint i = 0; i < server->waiting->len; i++) {
			if (g_array_index(server->waiting, waiting_t, i)
				    .token != token)
				continue;
			g_array_remove_index(server->waiting, i);
			return;
		}
	}
}

bool gc_places_knows(const gc_places_t *places, uint64_t server,
		     uint64_t daemon)
{
	const server_t *known = g_hash_table_lookup(places->servers, &server);

	return known && g_hash_table_contains(known->holders, &daemon);
}

static server_t *find_or_add(gc_places_t *places, struct timespec now,
			     const gc_place_ask_t *ask)
{
	server_t *server = g_hash_table_lookup(places->servers, &ask->server);

	if (server)
		return server;
	g_hash_table_foreach_remove(places->servers, is_unused, &now);
	server = g_new0(server_t, 1);
	server->places = places;
	server->id = ask->server;
	server->brittle = GC_NOT_BRITTLE;
	server->brittle_at = gc_add_ms(ask->brittle_at, -2 * SAME_AGE_MS);
	server->part = ask->part;
	server->part_at = now;
	server->updated_at = now;
	server->begun.wait_s = MIN_WAIT_S;
	server->others.wait_s = MIN_WAIT_S;
	server->holders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	server->waiting = g_array_new(FALSE, FALSE, sizeof(waiting_t));
	g_hash_table_insert(places->servers, &server->id, server);
	return server;
}

static gboolean is_unused(gpointer key, gpointer value, gpointer data)
{
	const server_t *server = value;
	const struct timespec *now = data;

	return server->waiting->len == 0 &&
	       gc_ms_between(server->updated_at, *now) > UNUSED_MS;
}

static void refill(server_t *server, struct timespec now)
{
	double s = (double)gc_us_between(server->updated_at, now) / 1e6;

	server->updated_at = now;
	if (s <= 0)
		return;
	server->begun.n *= exp(-s / RATE_WINDOW_S);
	server->others.n *= exp(-s / RATE_WINDOW_S);
	server->grants *= exp(-s / RATE_WINDOW_S);
	server->starts =
		MIN(server->starts + s * server->part * server->limit, 1);
}

static void update_brittle(server_t *server, struct timespec now,
			   const gc_place_ask_t *ask)
{
	bool begins = server->brittle == GC_NOT_BRITTLE;

	if (gc_ms_between(server->brittle_at, ask->brittle_at) < SAME_AGE_MS)
		return;
	server->brittle = ask->brittle;
	server->brittle_at = ask->brittle_at;
	if (!begins || ask->brittle == GC_NOT_BRITTLE)
		return;
	server->began_at = now;
	server->raised_at = now;
	server->lowered = false;
	server->lowered_at = now;
	server->slots = MAX(ask->slots, 1);
	server->limit = initial_limit(server);
	server->starts = 0;
	/* The daemon has asked another issuer before. */
	if (ask->got > 0)
		server->heard_from = gc_add_ms(now, HEAR_MS);
}

static uint32_t initial_limit(const server_t *server)
{
	return server->slots +
	       (server->brittle >= WAITING_MIN_BRITTLE ? WAITING_AT_SERVER : 0);
}

/* Daemons whose lists of daemons differ may ask for different parts. */
static void update_part(server_t *server, struct timespec now,
			const gc_place_ask_t *ask)
{
	double part = ask->part;

	if (part < server->part &&
	    gc_ms_between(server->part_at, now) <= PART_MS)
		return;
	if (part >= 1 && server->part < 1)
		server->heard_from = gc_add_ms(now, HEAR_MS);
	server->part = part;
	server->part_at = now;
}

/* Asks may overtake each other; an older one says nothing of what is held. */
static void update_holder(server_t *server, struct timespec now,
			  const gc_place_ask_t *ask)
{
	holder_t *holder = g_hash_table_lookup(server->holders, &ask->daemon);

	if (!holder) {
		holder = g_new0(holder_t, 1);
		holder->daemon = ask->daemon;
		holder->granted = ask->got;
		g_hash_table_insert(server->holders, &holder->daemon, holder);
	} else if (ask->number <= holder->number &&
		   gc_ms_between(holder->heard_at, now) <= HOLDER_MS) {
		return;
	}
	holder->number = ask->number;
	holder->held = ask->held;
	holder->got = ask->got;
	/* A daemon that asks anew waits for no earlier answer; one may have got
	 * places from other issuers. */
	if (ask->wanted > 0 || holder->granted < ask->got)
		holder->granted = ask->got;
	holder->heard_at = now;
}

/* At the server, or on the way there. */
static uint32_t in_flight(server_t *server, struct timespec now)
{
	uint32_t total = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		holder_t *holder = value;

		if (gc_ms_between(holder->heard_at, now) > HOLDER_MS)
			continue;
		if (gc_ms_between(holder->granted_at, holder->heard_at) >
		    GRANT_LOST_MS)
			holder->granted = holder->got;
		total += holder->held + (holder->granted - holder->got);
	}
	return total;
}

static void count_turned_away(server_t *server, struct timespec now, uint32_t n)
{
	uint32_t total = in_flight(server, now) + n;

	if (n == 0)
		return;
	forget_turned_away(server, now);
	for (uint32_t i = 0; i < n; i++)
		if (server->n_turned_away < MAX_TURNED_AWAY)
			server->turned_away[server->n_turned_away++] = now;
	/* With more in flight than there are places, it says nothing of them. */
	if (total > server->limit ||
	    gc_ms_between(server->began_at, now) < LEARN_MS)
		return;
	server->limit = MAX(total, 2) - 1;
	server->lowered = true;
	server->lowered_at = now;
	server->raised_at = now;
}

static void forget_turned_away(server_t *server, struct timespec now)
{
	size_t n_old = 0;

	while (n_old < server->n_turned_away &&
	       gc_ms_between(server->turned_away[n_old], now) >= WINDOW_MS)
		n_old++;
	server->n_turned_away -= n_old;
	memmove(server->turned_away, server->turned_away + n_old,
		server->n_turned_away * sizeof(server->turned_away[0]));
}

/* Called while asks find no place: more places are of no use otherwise. */
static void raise_limit(server_t *server, struct timespec now)
{
	int64_t unrefused_ms = gc_ms_between(server->lowered_at, now);
	int64_t unchanged_ms = gc_ms_between(server->raised_at, now);
	uint32_t max =
		server->slots + (uint32_t)MIN(server->brittle * RAISE_PART,
					      (double)server->slots);

	if (server->limit < server->slots) {
		if (unchanged_ms < RESTORE_MS)
			return;
	} else if (server->limit >= max || unchanged_ms < RAISE_MS ||
		   unrefused_ms < (server->lowered ? RAISE_UNREFUSED_MS
						   : FIRST_RAISE_MS)) {
		return;
	}
	server->limit++;
	server->raised_at = now;
}

static uint32_t free_places(server_t *server, struct timespec now)
{
	double asking_part = server->places->asking_part;
	uint32_t used = in_flight(server, now);
	uint32_t limit = gc_ms_between(now, server->heard_from) > 0
				 ? (server->limit + 1) / 2
				 : server->limit;

	forget_turned_away(server, now);
	if (server->n_turned_away > 0 &&
	    (double)server->n_turned_away >
		    STOP_PART * asking_part * server->brittle)
		return 0;
	if (asking_part < 1)
		limit = MAX((uint32_t)(asking_part * limit), 1);
	if (server->part < 1) {
		limit = MAX((uint32_t)(server->part * limit), 1);
		if (server->starts < 1)
			return 0;
	}
	return used < limit ? limit - used : 0;
}

static uint32_t grant(server_t *server, struct timespec now,
		      const gc_place_ask_t *ask)
{
	holder_t *holder = g_hash_table_lookup(server->holders, &ask->daemon);
	uint32_t n = MIN(free_places(server, now), ask->wanted);

	if (n == 0)
		return 0;
	if (server->part < 1) {
		n = 1;
		server->starts--;
	}
	holder->granted += n;
	holder->granted_at = now;
	server->grants += n;
	return n;
}

static void answer_with(const server_t *server, const gc_place_ask_t *ask,
			uint32_t granted, gc_place_answer_t *answer)
{
	*answer = (gc_place_answer_t){
		.server = ask->server,
		.brittle = server->brittle,
		.brittle_at = server->brittle_at,
		.to_ask = ask->wanted > 0,
		.granted = granted,
		.rank = ask->rank,
	};
}

/* The wait settles where the daemons that are waiting ask often enough. */
static int64_t count_denied(server_t *server, const gc_place_ask_t *ask)
{
	denials_t *denials = ask->rank == GC_PERMIT_RANK_BEGUN
				     ? &server->begun
				     : &server->others;
	double wanted = DENIED_PER_S + DENIED_PER_USE * server->grants;
	double excess = denials->n / RATE_WINDOW_S / wanted - 1;

	denials->n++;
	denials->wait_s = CLAMP(denials->wait_s * (1 + WAIT_GAIN * excess),
				MIN_WAIT_S, MAX_WAIT_S);
	return (int64_t)ceil(denials->wait_s * 1000);
}

/* If too many wait, the one of the lowest rank ends its wait. */
static void add_waiting(server_t *server, struct timespec now,
			const gc_place_ask_t *ask, void *token)
{
	waiting_t waiting = {*ask, token, gc_add_ms(now, GC_PLACE_WAIT_MS)};
	guint at = server->waiting->len;

	/* The first of its rank is the last of them in the list. */
	while (at > 0 &&
	       g_array_index(server->waiting, waiting_t, at - 1).ask.rank <=
		       ask->rank)
		at--;
	g_array_insert_val(server->waiting, at, waiting);
	if (server->waiting->len > MAX_WAITING)
		g_array_index(server->waiting, waiting_t, 0).until = now;
}
