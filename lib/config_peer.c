/* The operator configuration of other daemons, over HTTP. */
#include <stdio.h>

#include "lib/config_peer.h"
#include "lib/store.h"

/* Daemons that are asked at once, and the time for their answers. */
#define N_ASKED		  3
#define ANSWER_TIMEOUT_MS 350
/* Pause before the next daemons are asked. */
#define PAUSE_MS      100
#define MAX_URL_BYTES 192

typedef struct ask {
	gc_config_peer_t *peer;
	gc_http_call_t *call; /* NULL: none, or answered */
} ask_t;

struct gc_config_peer {
	gc_config_peer_conf_t conf;
	gc_fleet_view_t *view; /* NULL: not started */
	size_t next; /* of its daemons, to be asked */
	size_t n_left; /* to be asked for the first time */
	bool repeat;
	bool known; /* none newer, to one that was asked; others may know more */
	uint64_t version;
	ask_t asks[N_ASKED];
	gc_timer_t *timer; /* the next daemons */
	void (*found)(void *ctx, bool known, gc_str_t record);
	void *ctx;
};

static int peer_destructor(gc_config_peer_t *peer);
static void ask_daemons(void *ctx);
static void start_call(ask_t *ask, const gc_registry_entry_t *daemon);
static void on_answer(void *ctx, int status, gc_str_t body, bool sent,
		      const GError *err);

gc_config_peer_t *gc_config_peer_create(TALLOC_CTX *mem,
					const gc_config_peer_conf_t *conf)
{
	gc_config_peer_t *peer = talloc_zero(mem, gc_config_peer_t);

	peer->conf = *conf;
	for (size_t i = 0; i < N_ASKED; i++)
		peer->asks[i].peer = peer;
	peer->timer = gc_timer_create(peer, conf->timers, ask_daemons, peer);
	talloc_set_destructor(peer, peer_destructor);
	return peer;
}

static int peer_destructor(gc_config_peer_t *peer)
{
	gc_config_peer_stop(peer);
	return 0;
}

void gc_config_peer_start(gc_config_peer_t *peer, gc_fleet_view_t *view,
			  uint64_t version, bool repeat,
			  void (*found)(void *ctx, bool known, gc_str_t record),
			  void *ctx)
{
	const gc_random_t *random = peer->conf.random;

	gc_config_peer_stop(peer);
	peer->view = gc_fleet_view_ref(view);
	peer->version = version;
	peer->repeat = repeat;
	peer->known = false;
	peer->found = found;
	peer->ctx = ctx;
	peer->n_left = view->n_daemons;
	if (view->n_daemons > 0)
		peer->next = random->next(random->ctx) % view->n_daemons;
	/* Not from inside this function: it may be that nobody can be asked. */
	gc_timer_set(peer->timer, 0);
}

void gc_config_peer_stop(gc_config_peer_t *peer)
{
	if (!peer->view)
		return;
	gc_timer_stop(peer->timer);
	for (size_t i = 0; i < N_ASKED; i++) {
		if (peer->asks[i].call)
			gc_http_call_cancel(peer->asks[i].call);
		peer->asks[i].call = NULL;
	}
	gc_fleet_view_unref(peer->view);
	peer->view = NULL;
}

static void ask_daemons(void *ctx)
{
	gc_config_peer_t *peer = ctx;
	size_t n = peer->view->n_daemons;
	size_t n_asked = 0;

	if (peer->repeat && peer->n_left == 0)
		peer->n_left = n;
	for (; peer->n_left > 0 && n_asked < N_ASKED; peer->n_left--) {
		const gc_registry_entry_t *daemon =
			&peer->view->daemons[peer->next++ % n];

		if (daemon->peer_address.len > 0 &&
		    !gc_str_eq(daemon->id, peer->conf.self))
			start_call(&peer->asks[n_asked++], daemon);
	}
	if (n_asked > 0)
		return;
	if (peer->repeat)
		gc_timer_set(peer->timer, PAUSE_MS);
	else
		peer->found(peer->ctx, false, GC_STR_EMPTY);
}

static void start_call(ask_t *ask, const gc_registry_entry_t *daemon)
{
	char url[MAX_URL_BYTES];
	gc_http_call_conf_t conf = {
		.method = "GET",
		.url = url,
		.peer = "daemon",
		.connect_timeout_ms = ANSWER_TIMEOUT_MS,
		.timeout_ms = ANSWER_TIMEOUT_MS,
		.max_body = GC_STORE_MAX_RESPONSE_BYTES,
	};
	const gc_http_call_ops_t ops = {.done = on_answer};

	snprintf(url, sizeof(url),
		 "http://%.*s" GC_CONFIG_PEER_PATH
		 "?newer_than=%" G_GUINT64_FORMAT,
		 GC_STR_ARG(daemon->peer_address), ask->peer->version);
	ask->call = gc_httpc_start(ask->peer->conf.http, &conf, &ops, ask);
}

static void on_answer(void *ctx, int status, gc_str_t body, bool sent,
		      const GError *err)
{
	ask_t *ask = ctx;
	gc_config_peer_t *peer = ask->peer;
	bool pending = false;

	ask->call = NULL;
	if (!err && status == 200) {
		peer->found(peer->ctx, true, body);
		return;
	}
	peer->known |= !err && status == 204;
	for (size_t i = 0; i < N_ASKED; i++)
		pending |= peer->asks[i].call != NULL;
	if (pending)
		return;
	if (peer->known)
		peer->found(peer->ctx, true, GC_STR_EMPTY);
	else
		gc_timer_set(peer->timer, peer->n_left > 0 ? 0 : PAUSE_MS);
}
