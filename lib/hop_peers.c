/* The daemons to which requests are passed on. */
#include "lib/hop_peers.h"

typedef struct peer_set {
	struct peer_set *next;
	gc_str_t service;
	gc_backends_t *daemons;
} peer_set_t;

struct gc_hop_peers {
	gc_backends_conf_t conf;
	gc_str_t self;
	const gc_fleet_view_t *view; /* NULL until the first one is set */
	peer_set_t *sets;
};

static peer_set_t *find_or_add(gc_hop_peers_t *peers, gc_str_t service);
static void sync_set(const gc_hop_peers_t *peers, const peer_set_t *set);

gc_hop_peers_t *gc_hop_peers_create(TALLOC_CTX *mem,
				    const gc_backends_conf_t *conf,
				    gc_str_t self)
{
	gc_hop_peers_t *peers = talloc_zero(mem, gc_hop_peers_t);

	peers->conf = *conf;
	peers->self = gc_str_dup(peers, self);
	return peers;
}

void gc_hop_peers_set_view(gc_hop_peers_t *peers, const gc_fleet_view_t *view)
{
	peers->view = view;
	for (const peer_set_t *set = peers->sets; set; set = set->next)
		sync_set(peers, set);
}

static peer_set_t *find_or_add(gc_hop_peers_t *peers, gc_str_t service)
{
	peer_set_t *set = peers->sets;

	while (set && !gc_str_eq(set->service, service))
		set = set->next;
	if (set)
		return set;
	set = talloc_zero(peers, peer_set_t);
	set->service = gc_str_dup(set, service);
	set->daemons = gc_backends_create(set, &peers->conf);
	set->next = peers->sets;
	peers->sets = set;
	sync_set(peers, set);
	return set;
}

static void sync_set(const gc_hop_peers_t *peers, const peer_set_t *set)
{
	const gc_fleet_view_t *view = peers->view;
	gc_daemon_rank_t rank = {.n_all = view ? view->n_daemons : 0};
	gc_registry_entry_t *entries = talloc_zero_array(
		peers, gc_registry_entry_t, (unsigned int)rank.n_all + 1);
	size_t n = 0;

	for (size_t i = 0; i < rank.n_all; i++) {
		const gc_registry_entry_t *daemon = &view->daemons[i];

		if (daemon->forward_address.len == 0 ||
		    gc_str_eq(daemon->id, peers->self))
			continue;
		entries[n] = *daemon;
		entries[n].service = set->service;
		entries[n].address = daemon->forward_address;
		entries[n++].slots = 1;
	}
	gc_backends_sync(set->daemons, entries, n, &rank);
	talloc_free(entries);
}

void gc_hop_peers_record_refusal(gc_backend_t *daemon, struct timespec now)
{
	/* Those that refuse again and again come last. */
	gc_backend_record_failure(daemon, now, GC_END_FAILED);
	gc_backend_eject(daemon, now);
}

gc_backend_t *gc_hop_peers_choose(gc_hop_peers_t *peers, struct timespec now,
				  gc_str_t service,
				  const gc_backend_set_t *avoid, bool any)
{
	gc_backends_t *daemons = find_or_add(peers, service)->daemons;

	return any ? gc_backends_choose(daemons, now, service, avoid)
		   : gc_backends_choose_usable(daemons, now, service, avoid);
}
