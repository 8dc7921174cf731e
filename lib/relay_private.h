/* Internals shared by lib/relay.c, lib/exchange*.c and lib/refusal.c. */
#ifndef GC_LIB_RELAY_PRIVATE_H
#define GC_LIB_RELAY_PRIVATE_H

#include "core/crash_suspects.h"
#include "core/reach.h"
#include "lib/crash_checks.h"
#include "lib/exchange.h"
#include "lib/hop_peers.h"
#include "lib/hop_sources.h"
#include "lib/refusal.h"
#include "lib/relay.h"

/* The roll-out of a service as the traffic thread knows it (exchange_rollout.c). */
typedef struct gc_service_rollout gc_service_rollout_t;

/* Answers that are weighed at once, each of another server. */
#define GC_MAX_ALIVE 32

/* An answer of a server that was taken for crashed. */
typedef struct gc_alive {
	gc_backend_t *server;
	struct timespec sent; /* the request */
	struct timespec due;
} gc_alive_t;

struct gc_relay {
	gc_relay_conf_t conf;
	gc_upstream_t *upstream;
	gc_backends_t *backends;
	gc_crash_suspects_t *crash_suspects;
	gc_crash_checks_t *crash_checks;
	gc_timer_t *keep_timer; /* for what is known of crashes */
	struct timespec kept_at; /* when it last looked at all of it */
	bool keeps_soon;
	gc_alive_t alive[GC_MAX_ALIVE]; /* oldest first */
	size_t n_alive;
	gc_timer_t *alive_timer;
	gc_timer_t *places_timer; /* names places that are held anew */
	gc_fleet_view_t *view; /* NULL until the first one is set */
	gc_exchange_t *exchanges; /* in flight */
	gc_service_rollout_t *rollouts; /* one for each service */
	gc_timer_t
		*rollout_timer; /* reports what is counted; NULL: no record */
	bool rollout_timer_runs;
	size_t n_exchanges;
	size_t n_awaiting_retry; /* of n_exchanges */
	gc_base_versions_t *base_versions;
	uint64_t last_version_token;
	bool store_answers;
	bool store_restored;
	struct timespec restored_at; /* last, if store_restored */
	bool stopping;
	struct timespec stop_at;
	/* Passing on of requests (exchange_hop.c). NULL unless set up. */
	gc_upstream_t *hop_upstream;
	gc_hop_peers_t *hop_peers;
	gc_hop_sources_t *hop_sources;
	size_t n_received; /* of n_exchanges, passed on by other daemons */
	gc_reach_t *reach;
	bool alone; /* no other daemon takes requests; see set_serving */
	struct timespec alone_at;
	bool told_alone; /* by set_serving */
	gc_timer_t *reach_timer; /* tries links while cut off */
	gc_upstream_t *reach_upstream; /* for tries, on new connections */
	gc_backend_query_t *reach_query; /* such a try */
	gc_backend_t *reach_server; /* of reach_query */
	/* A check of servers that are silent to this daemon. */
	gc_timer_t *silence_timer; /* looks for them */
	bool silence_watched; /* silence_timer runs */
	gc_backend_query_t *silence_query;
	gc_backend_t *silence_server; /* that is checked; NULL: none */
	uint64_t
		silence_token; /* of the question to other daemons; 0: answered */
	bool silence_reached; /* by another daemon */
	unsigned int n_silence_checks;
};

/* Starts the attempts of an admitted request, at once or when the version of the
 * stream that it resumes is known. */
void gc_exchange_run(gc_exchange_t *exchange);
/* What links to servers show (relay_reach.c). */
void gc_relay_create_reach(gc_relay_t *relay, const gc_upstream_conf_t *conf);
void gc_relay_destroy_reach(gc_relay_t *relay);
void gc_relay_record_response(gc_relay_t *relay, gc_str_t service,
			      bool new_connection);
/* To be called with the end of an attempt at a server. */
void gc_relay_record_link(gc_relay_t *relay, const gc_backend_t *server,
			  gc_attempt_end_t end);
/* None of the servers that were asked gave any response. */
void gc_relay_record_lost(gc_relay_t *relay, const gc_backend_set_t *servers);
/* To be called when an attempt at a server starts. */
void gc_relay_watch_silence(gc_relay_t *relay);
/* True if the answer is to a question of this module. */
bool gc_relay_add_silence_verdict(gc_relay_t *relay, uint64_t token,
				  gc_witness_verdict_t verdict);
void gc_relay_create_silence(gc_relay_t *relay);
void gc_relay_destroy_silence(gc_relay_t *relay);
/* Logs that the daemon is cut off from the service, and starts the tries. */
void gc_relay_begin_tries(gc_relay_t *relay, gc_str_t service, size_t n_servers,
			  size_t n_failed);
/* True if this daemon reaches no server of the service, as far as it knows. */
bool gc_relay_is_cut_off(gc_relay_t *relay, gc_str_t service);
/* Another daemon took a request, or none did. */
void gc_relay_record_passing(gc_relay_t *relay, bool taken);
/* Interval of keep_timer. */
#define GC_KEEP_INTERVAL_MS 60000
/* Sets it if the other daemons may have to be told of a refused trait. */
void gc_relay_keep_soon(gc_relay_t *relay);
/* To be called with each new view. */
void gc_relay_update_versions(gc_relay_t *relay);
/* Callback of keep_timer; ctx is the relay. */
void gc_relay_on_keep_timer(void *ctx);
/* Callback of alive_timer; ctx is the relay. */
void gc_relay_on_alive_timer(void *ctx);
/* Callbacks of crash_checks; ctx is the relay. */
bool gc_relay_ask_witness(void *ctx, uint64_t token, uint64_t server);
void gc_relay_on_losses_settled(void *ctx, const gc_backend_t *server,
				bool crashed, const gc_crash_loss_t *losses,
				size_t n);
/* To be called once; starts places_timer. */
void gc_relay_start_place_reports(gc_relay_t *relay);
/* To be called when the caller has disconnected; may free the exchange. */
void gc_exchange_on_disconnect(gc_exchange_t *exchange);
/* To be called when the kernel has accepted all bytes sent to the caller. */
void gc_exchange_on_drained(gc_exchange_t *exchange);

#endif
