/* Internals shared by routed.c and routed_messages.c. */
#ifndef ROUTED_PRIVATE_H
#define ROUTED_PRIVATE_H

#include "core/change_source.h"
#include "goldcrestd.h"
#include "lib/control_listener.h"
#include "lib/crash_notices.h"
#include "lib/crash_witness.h"
#include "lib/fleet.h"
#include "lib/mailbox.h"
#include "lib/peers_watch.h"
#include "lib/permits_peer.h"
#include "lib/places_peer.h"
#include "lib/rollouts.h"
#include "lib/routed_traffic.h"

typedef struct routed_daemon {
	const daemon_options_t *options;
	gc_routed_settings_t *settings;
	struct tevent_context *ev;
	gc_timers_t *timers;
	gc_mailbox_t *mailbox;
	gc_httpc_t *http;
	gc_peers_watch_t *peers;
	gc_crash_notices_t *notices;
	gc_permits_peer_t *permits;
	gc_crash_witness_t *witness;
	gc_places_peer_t *places;
	gc_stream_versions_t *stream_versions;
	gc_rollouts_t *rollouts;
	gc_fleet_t *fleet;
	gc_control_listener_t *control_listener;
	gc_routed_traffic_t *traffic;
	gc_confirmed_time_t confirmed;
	gc_confirmed_time_t last_confirmed; /* before the latest confirmation */
	GRand *rand;
	gc_random_t random;
	bool store_answers;
	bool stopping;
	bool stopped;
} routed_daemon_t;

/* Sets the callbacks by which the traffic thread posts messages to the main
 * thread. */
void routed_set_messages(gc_routed_traffic_conf_t *conf,
			 routed_daemon_t *daemon);

#endif
