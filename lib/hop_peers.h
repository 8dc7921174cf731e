/*
 * The daemons to which requests for a service are passed on while this daemon
 * reaches no server of it. A set for each service is made when it is first needed,
 * so that failures and refusals at one service say nothing about another.
 */
#ifndef GC_LIB_HOP_PEERS_H
#define GC_LIB_HOP_PEERS_H

#include <talloc.h>

#include "core/backends.h"
#include "lib/fleet_view.h"

typedef struct gc_hop_peers gc_hop_peers_t;

/* self: id of this daemon. */
gc_hop_peers_t *gc_hop_peers_create(TALLOC_CTX *mem,
				    const gc_backends_conf_t *conf,
				    gc_str_t self);
/* Takes the daemons of the view that take requests; the view must stay valid
 * until the next one is set. */
void gc_hop_peers_set_view(gc_hop_peers_t *peers, const gc_fleet_view_t *view);
/*
 * The daemon doesn't run requests of the service now; it is left for a while that
 * grows with each refusal, but not the others of its failure domain.
 */
void gc_hop_peers_record_refusal(gc_backend_t *daemon, struct timespec now);
/*
 * The best daemon for a request of the service, in this daemon's failure domain
 * first, except those that `avoid` has; NULL if there is none. One that refused or
 * failed lately is chosen only if no other is left and `any` is set.
 */
gc_backend_t *gc_hop_peers_choose(gc_hop_peers_t *peers, struct timespec now,
				  gc_str_t service,
				  const gc_backend_set_t *avoid, bool any);

#endif
