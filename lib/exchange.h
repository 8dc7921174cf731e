/*
 * One routed request in progress. Private to lib/relay.c, lib/exchange*.c and
 * lib/refusal.c.
 */
#ifndef GC_LIB_EXCHANGE_H
#define GC_LIB_EXCHANGE_H

#include "core/answer.h"
#include "core/attempts.h"
#include "core/crash_suspects.h"
#include "core/event_sequencer.h"
#include "core/silence.h"
#include "core/urgency.h"
#include "lib/backend_query.h"
#include "lib/load_probe.h"
#include "lib/refusal.h"
#include "lib/relay.h"

/* Maximum number of backend servers that one request is sent to. */
#define GC_EXCHANGE_MAX_TRIED 16
/* Maximum number of daemons that one request is passed on to. */
#define GC_EXCHANGE_MAX_HOPS 6

/* A run that was left for its server's silence, and is kept (exchange_standby.c). */
typedef struct gc_standby {
	gc_call_t *call; /* NULL: none */
	gc_backend_t *backend;
	gc_timer_t *timer; /* until it has to end beside another attempt */
	bool overlaps; /* timer runs */
	/* An attempt has ended whose server may go on with it. */
	bool other_may_run;
	struct timespec left_at;
	/* As in gc_exchange_t. */
	struct timespec attempt_started;
	uint64_t rollout_order;
	bool rollout_target;
	gc_answer_t *answer;
	gc_backend_t *copy_holder; /* NULL if none, or if it was used */
	gc_str_t copy_location;
} gc_standby_t;

typedef struct gc_exchange {
	gc_relay_t *relay;
	struct gc_exchange *prev, *next;
	gc_caller_conn_t *caller; /* NULL once it has disconnected */
	/* Valid while the caller is connected. */
	const gc_http_message_t *request;
	gc_fleet_view_t *view; /* holds the route */
	const gc_route_t *route;
	gc_str_t service;
	gc_str_t account; /* empty on an anonymous route */
	gc_str_t id;
	const gc_prompt_t *prompt; /* NULL if unknown */
	gc_request_traits_t traits;
	/* The next attempt finds out whether the request crashes servers. */
	bool suspect_trial;
	unsigned int n_losses; /* servers that may have crashed under it */
	bool head_request; /* its method is HEAD */
	struct timespec arrived;
	/* After arrival, as named by the caller, or the route's limit. */
	int64_t deadline_ms;
	bool named_deadline; /* by the caller */
	/* After arrival; see core/request_time.h. */
	int64_t time_limit_ms;
	int64_t last_answer_ms;
	int64_t end_ms;

	gc_attempts_t attempts;
	gc_backend_t *tried[GC_EXCHANGE_MAX_TRIED];
	bool turned_away
		[GC_EXCHANGE_MAX_TRIED]; /* by the server at the index */
	size_t n_tried;
	/* The limit that prevented a further attempt; "": none. */
	const char *limit_reached;
	gc_load_probe_t *load_probe; /* in progress, before an attempt */
	gc_call_t *call; /* the attempt in progress, or NULL */
	gc_backend_t *backend; /* server of the attempt in progress */
	/* It waits for a server or a permit, until retry_timer expires. */
	bool waiting;
	bool permit_asked; /* for the next attempt */
	struct timespec attempt_started;
	struct timespec attempt_ended; /* of the last one, if any */
	bool left_silent; /* a server was left that may be sound */
	gc_standby_t standby;
	/* A retry was taken from the budget, and no server got it yet. */
	bool retry_unused;
	struct timespec retry_taken; /* when, if retry_unused */
	/* It waits for its turn of the retry budget, until retry_timer expires. */
	bool awaits_retry;
	gc_attempt_end_t last_end; /* of the last attempt, while it does */
	/* Server that gets a copy of the run's KV cache, or NULL. */
	gc_backend_t *copy_holder;
	/* ADDRESS/ID of the copy; see gc_header_names_t.copy_from. */
	gc_str_t copy_location;
	/* Request to the run's server to create or renew a copy, or NULL. */
	gc_backend_query_t *copy_request;
	gc_backend_t *copy_target; /* server named in copy_request */
	struct timespec copy_renew_at; /* for a requested copy */
	gc_str_t copy_handle; /* of a requested copy; otherwise empty */
	/* Server with a copy of the previous attempt's KV cache, or NULL. */
	gc_backend_t *resume_holder;
	gc_str_t resume_location; /* ADDRESS/ID of that copy */
	/*
	 * The server's inactivity counts from here: start of the attempt, last
	 * event or last resumption of reading.
	 */
	struct timespec last_activity;
	gc_silence_t silence; /* before the first event of this attempt */
	/* Load query in progress, on a silent server or at an uncertain end of a
	 * response, or NULL. */
	gc_backend_query_t *silence_query;
	uint64_t counted_sent; /* of the request, as progress of the server */
	size_t unacked_bytes; /* of the request, at the last look */
	unsigned int stuck_looks; /* in a row at which it had not changed */
	bool link_failed; /* the server counts as failed for new requests */
	bool read_paused; /* back-pressure: the caller reads slowly */
	struct timespec last_forwarded; /* last event to the caller */
	int64_t first_event_ms; /* after arrival */
	int64_t max_event_gap_ms; /* between two forwarded events */

	gc_event_sequencer_t *sequencer; /* NULL if not a stream */
	bool resumed; /* its caller has events of an earlier try */
	/* The software version at which the stream goes on, as what two versions
	 * write doesn't fit together; data NULL if that isn't decided. */
	gc_str_t version;
	/* Roll-out of the service (exchange_rollout.c). */
	uint64_t
		rollout_order; /* while which the attempt began; 0: not counted */
	bool rollout_target; /* the attempt is at the target */
	bool rollout_given_up; /* the target had no server for the request */
	bool slow_reader; /* the attempt's server was not read for a while */
	int64_t rollout_first_id; /* of the attempt's first events */
	struct timespec rollout_first_at; /* when these came */
	bool recorded; /* a record of the version is written, or will be */
	/* Of a record or a search for one under way; 0: none. */
	uint64_t version_token;
	/* Complete events that wait until the stream is on record. */
	GString *held_events;
	bool ended_held; /* the response has ended meanwhile */
	gc_answer_t *answer; /* of the attempt in progress or the last one */
	/* The answer whose head the caller gets, once the response has begun or events
	 * are held; else NULL. */
	gc_answer_t *begun_by;
	bool head_sent; /* the response to the caller has begun */

	/* Passing on (exchange_hop.c). */
	bool received; /* another daemon passed the request on */
	bool unknown_daemon; /* received from an address that no daemon has */
	bool recorded_by_peer; /* that daemon records the version */
	bool hop; /* the attempt in progress or the last one is at a daemon */
	gc_backend_t *hops[GC_EXCHANGE_MAX_HOPS]; /* daemons that got it */
	size_t n_hops;
	bool hopped_before; /* to another daemon than the last one */
	bool passed_on; /* a daemon has taken it */
	gc_str_t hop_version; /* of the server that the daemon chose */
	int64_t hop_return_ms; /* Retry-After of the last refusal */

	gc_timer_t *time_limit_timer;
	gc_timer_t *inactivity_timer;
	gc_timer_t *link_timer; /* looks at the link to the server */
	gc_timer_t *retry_timer; /* polls for a configuration or a server */
	gc_timer_t *copy_timer; /* checks and renews the copy */
} gc_exchange_t;

/*
 * Chooses a server for the next attempt (exchange_choose.c) and starts it, or
 * waits for one, or ends the request, which frees the exchange.
 */
void gc_exchange_start_next_attempt(gc_exchange_t *exchange);
/* Servers that the next attempt must not use. */
gc_backend_set_t gc_exchange_avoid(const gc_exchange_t *exchange);
/* Timer callback of retry_timer; ctx is the exchange. */
void gc_exchange_on_retry(void *ctx);
/* Sends the request to the server (exchange_run.c); may free the exchange. */
void gc_exchange_start_attempt(gc_exchange_t *exchange, gc_backend_t *backend,
			       int64_t left_ms);

/* Sends the request to another daemon (exchange_run.c); may free the exchange. */
void gc_exchange_start_hop(gc_exchange_t *exchange, gc_backend_t *daemon,
			   int64_t left_ms);

/*
 * Retries that wait for their turn of the retry budget (exchange_retry.c).
 * gc_exchange_retry starts the next attempt in its turn, or ends a request whose
 * turn comes too late, and may free the exchange. gc_exchange_on_retry_turn is to
 * be called when retry_timer expires while awaits_retry is set.
 */
void gc_exchange_retry(gc_exchange_t *exchange, gc_attempt_end_t end);
void gc_exchange_on_retry_turn(gc_exchange_t *exchange);
/* Ends a wait for a server, a permit or the retry budget. */
void gc_exchange_stop_waiting(gc_exchange_t *exchange);
/* True if a request for the service waits for its turn. */
bool gc_relay_awaits_retry(const gc_relay_t *relay, gc_str_t service);

/*
 * Requests that another daemon runs, as this one reaches no server of the service
 * (exchange_hop.c). gc_exchange_leave_service is to be called before a server is
 * chosen: true if the request is passed on, or goes to a server that is reached on
 * a kept connection, or has ended and is freed.
 */
bool gc_exchange_leave_service(gc_exchange_t *exchange);
/* True if the request could be passed on to a further daemon. */
bool gc_exchange_has_further_hop(const gc_exchange_t *exchange);
/* The request as sent to another daemon; free with g_string_free. */
GString *gc_exchange_hop_text(const gc_exchange_t *exchange, int64_t left_ms);
/* Takes the head of a daemon's response. */
void gc_exchange_read_hop_head(gc_exchange_t *exchange, gc_answer_t *answer,
			       const gc_http_message_t *response);
/* Ends an attempt at a daemon whose complete response isn't a success; may free the
 * exchange. */
void gc_exchange_finish_hop(gc_exchange_t *exchange);
/* For a request that another daemon passed on. NULL or the refusal to send. */
const gc_refusal_t *gc_exchange_admit_received(gc_exchange_t *exchange);
/* The refusal of a request from an address that no daemon has. */
const gc_refusal_t *gc_exchange_reject_unknown(const gc_exchange_t *exchange);
/* Appends what the daemon that passed the request on has to know. */
void gc_exchange_append_hop_result(const gc_exchange_t *exchange,
				   GString *head);
/* True for a header of the protocol between daemons. */
bool gc_is_hop_header(gc_str_t name);

/* How urgent the stream is now. */
gc_urgency_t gc_exchange_urgency(const gc_exchange_t *exchange);
/* Rank of the request among those that need permits, see core/permits.h. */
unsigned int gc_exchange_rank(const gc_exchange_t *exchange);
/* Asks for permits of the server for the request and others that wait. */
void gc_relay_ask_permits(gc_relay_t *relay, gc_backend_t *server,
			  const gc_exchange_t *exchange);

/* Starts the requests for the service that wait for a permit or a place, those
 * that go first first. */
void gc_relay_start_waiting(gc_relay_t *relay, gc_str_t service);
/*
 * Places at brittle servers (exchange_places.c). gc_relay_ask_places asks for the
 * request (may be NULL) and those that wait. gc_relay_report_places is to be
 * called when something has changed; it tells the issuer if it should know.
 */
void gc_relay_ask_places(gc_relay_t *relay, gc_backend_t *server,
			 const gc_exchange_t *exchange);
void gc_relay_report_places(gc_relay_t *relay, gc_backend_t *server);

/* Tells the issuer of the server's permits, and so the other daemons that ask,
 * that the limit has ended. */
void gc_relay_report_limit_end(gc_relay_t *relay, gc_backend_t *server);

/* Ends the attempt in progress, without a result (exchange_run.c). */
void gc_exchange_cancel_call(gc_exchange_t *exchange);
/* Gives back what the ended attempt held (exchange_run.c). */
void gc_exchange_release_attempt(gc_exchange_t *exchange);
/* Of an attempt's call; ctx is the exchange (exchange_run.c). */
extern const gc_call_ops_t gc_exchange_call_ops;
/* Takes the head of a response into the answer (exchange_run.c). hop: it is that of
 * another daemon. */
void gc_exchange_read_head(gc_exchange_t *exchange, gc_answer_t *answer,
			   bool hop, const gc_http_message_t *response);
/* Records what the head of the attempt's answer shows of its server. */
void gc_exchange_record_head(gc_exchange_t *exchange);
/* Records the end of an attempt; starts another one or ends the request, and may
 * free the exchange. */
void gc_exchange_finish_attempt(gc_exchange_t *exchange, gc_attempt_end_t end,
				const char *reason);

/*
 * Forwarding of the response (exchange_forward.c). gc_exchange_on_body is the
 * callback of call for bytes of the body; ctx is the exchange.
 * gc_exchange_finish_stream is to be called when the server has ended a sound
 * stream. gc_exchange_release_events forwards the held events. Each may free the
 * exchange.
 */
void gc_exchange_on_body(void *ctx, gc_str_t data);
void gc_exchange_finish_stream(gc_exchange_t *exchange);
void gc_exchange_release_events(gc_exchange_t *exchange);
/* The bound of what the daemon buffers is no longer exceeded. */
void gc_exchange_resume_server(gc_exchange_t *exchange);

/*
 * Silent servers (exchange_silence.c). gc_exchange_inactivity_ms is the time
 * without data after which a server counts as silent, unless it still reports its load
 * between two events; gc_exchange_watch_silence starts inactivity_timer for the first
 * look at it; gc_exchange_is_within_target is
 * true while the server has not had the time that the route sets for that;
 * gc_exchange_on_inactivity is the callback of inactivity_timer. gc_exchange_query_load asks the server of the
 * attempt for its load, as silence_query.
 */
/* Time for the load report of a server that has sent no event. Longer than
 * LOAD_PROBE_TIMEOUT_MS: a wrong verdict costs a prompt. */
#define GC_SILENCE_QUERY_TIMEOUT_MS 300
int64_t gc_exchange_inactivity_ms(const gc_exchange_t *exchange);
void gc_exchange_watch_silence(gc_exchange_t *exchange);
bool gc_exchange_is_within_target(const gc_exchange_t *exchange,
				  struct timespec now);
void gc_exchange_on_inactivity(void *ctx);
void gc_exchange_query_load(gc_exchange_t *exchange, int64_t timeout_ms,
			    void (*done)(void *ctx, int status,
					 gc_str_t response,
					 gc_attempt_end_t end));

/*
 * What keeps the request from another server after this attempt: "body", "attempts",
 * "time", "repeats" (the retry budget) or "servers"; "": nothing. gc_exchange_can_fail_over
 * is true if nothing does.
 */
const char *gc_exchange_failover_limit(const gc_exchange_t *exchange,
				       struct timespec now);
bool gc_exchange_can_fail_over(const gc_exchange_t *exchange,
			       struct timespec now);
/* Gives up the attempt at a silent server; may free the exchange. */
void gc_exchange_leave_server(gc_exchange_t *exchange, const char *reason);

/*
 * A run that is kept after its silent server was left (exchange_standby.c).
 * gc_exchange_keep_run is to be called before the attempt is finished: false if the
 * call has to be cancelled. gc_exchange_watch_overlap is to be called when an attempt
 * was started, gc_exchange_end_overlap when one has ended, with its server still set,
 * and gc_exchange_drop_standby once another server has taken its place.
 * gc_exchange_return_to_standby makes the run the attempt in progress again, if there
 * is one. gc_exchange_is_kept is true if it is one at the server.
 */
bool gc_exchange_keep_run(gc_exchange_t *exchange);
void gc_exchange_watch_overlap(gc_exchange_t *exchange);
void gc_exchange_end_overlap(gc_exchange_t *exchange, gc_attempt_end_t end);
void gc_exchange_drop_standby(gc_exchange_t *exchange);
bool gc_exchange_return_to_standby(gc_exchange_t *exchange);
bool gc_exchange_is_kept(const gc_exchange_t *exchange,
			 const gc_backend_t *server);

/*
 * Silent links (exchange_link.c). gc_exchange_watch_link is to be called when the
 * request has been sent; gc_exchange_on_link_timer is the callback of link_timer.
 */
void gc_exchange_watch_link(gc_exchange_t *exchange);
void gc_exchange_on_link_timer(void *ctx);

/*
 * Software versions of streams (exchange_version.c). gc_exchange_find_version
 * decides at which version the stream that the request resumes goes on; false: the
 * answer is awaited, or the request has ended and the exchange is freed.
 * gc_exchange_fix_version is to be called before an attempt at the server, and
 * gc_exchange_begin_at at the first event, with the version of its server; they put
 * the stream on record if this daemon has to. gc_exchange_is_held is true while
 * events must not be forwarded.
 */
bool gc_exchange_find_version(gc_exchange_t *exchange);
void gc_exchange_fix_version(gc_exchange_t *exchange,
			     const gc_backend_t *server);
void gc_exchange_begin_at(gc_exchange_t *exchange, gc_str_t version);
bool gc_exchange_is_held(const gc_exchange_t *exchange);
/* Ends a stream that can't be put on record (exchange_run.c). */
void gc_exchange_abandon_unrecorded(gc_exchange_t *exchange);

/*
 * Roll-outs (exchange_rollout.c). gc_exchange_limit_versions leaves out of `avoid` the
 * servers of versions that the next attempt must not go to. gc_exchange_may_go_to is
 * false for a server of such a version. gc_exchange_is_barred is true if the version
 * gets nothing new.
 */
void gc_exchange_limit_versions(const gc_exchange_t *exchange,
				gc_backend_set_t *avoid);
bool gc_exchange_may_go_to(const gc_exchange_t *exchange,
			   const gc_backend_t *server);
bool gc_exchange_is_barred(const gc_exchange_t *exchange, gc_str_t version);
/* True if the roll-out's target gets nothing new that isn't selected for it. */
bool gc_exchange_is_judged(const gc_exchange_t *exchange, gc_str_t version);
/* The target had no server with room: the request goes elsewhere. */
void gc_exchange_give_up_target(gc_exchange_t *exchange);
/*
 * What a roll-out is judged by; nothing is counted without one. In this order:
 * a request of a caller was admitted; an attempt starts at the server; events were
 * received; a response is complete; the time limit has come without a response.
 */
void gc_exchange_count_admitted(const gc_exchange_t *exchange);
void gc_exchange_count_attempt(gc_exchange_t *exchange,
			       const gc_backend_t *server);
void gc_exchange_count_first_event(gc_exchange_t *exchange);
void gc_exchange_count_response(const gc_exchange_t *exchange);
void gc_exchange_count_stream_end(const gc_exchange_t *exchange);
void gc_exchange_count_time_limit(const gc_exchange_t *exchange);

/*
 * Copies of a run's KV cache (exchange_copy.c). gc_exchange_start_copy chooses
 * the server that receives the copy, before the attempt is sent.
 * gc_exchange_stop_copy ends the copying when the attempt ends; it discards a
 * requested copy unless the next attempt resumes from it.
 */
void gc_exchange_start_copy(gc_exchange_t *exchange);
void gc_exchange_stop_copy(gc_exchange_t *exchange);
/* For a run that was kept: the server that gets its copy, or NULL. */
void gc_exchange_restore_copy(gc_exchange_t *exchange, gc_backend_t *holder,
			      gc_str_t location);
/* After a failed attempt: lets the next one resume from the copy. */
void gc_exchange_set_resume_copy(gc_exchange_t *exchange);
/* Timer callback; ctx is the exchange. */
void gc_exchange_on_copy_timer(void *ctx);

/*
 * Requests that crash servers (exchange_crash.c). gc_exchange_check_suspects is
 * to be called before each attempt; false: the request must not be sent now. It
 * waits for retry_timer, or it has ended and the exchange is freed.
 * gc_exchange_record_loss is to be called when an attempt has failed, with its
 * server still set.
 */
void gc_exchange_read_traits(gc_exchange_t *exchange);
bool gc_exchange_check_suspects(gc_exchange_t *exchange);
void gc_exchange_record_loss(gc_exchange_t *exchange, gc_backend_t *server,
			     gc_attempt_end_t end);
/* To be called with each response that names the request. */
void gc_exchange_record_alive(const gc_exchange_t *exchange);
/* To be called when a server has run the request: at the first event of a
 * stream, or with a complete response. */
void gc_exchange_record_served(gc_exchange_t *exchange);

/*
 * End of a request (exchange_end.c). All but gc_exchange_log_end free the
 * exchange. gc_exchange_give_up ends a request whose attempts failed: it
 * forwards the server's error response, refuses the request, or aborts a
 * response that has begun. gc_exchange_respond forwards the buffered response.
 */
void gc_exchange_give_up(gc_exchange_t *exchange, gc_retry_decision_t decision,
			 gc_attempt_end_t end);
void gc_exchange_respond(gc_exchange_t *exchange);
/* Sends the refusal; no response has begun. */
void gc_exchange_refuse(gc_exchange_t *exchange, const gc_refusal_t *refusal);
/* No server has room for the stream. */
void gc_exchange_refuse_overload(gc_exchange_t *exchange);
void gc_exchange_log_end(const gc_exchange_t *exchange, gc_request_end_t end,
			 const char *message);
/* Timer callback for the time limit; ctx is the exchange. */
void gc_exchange_on_time_limit(void *ctx);
/* Ends a request whose caller or server takes too little for the bound of what the
 * daemon buffers. */
void gc_exchange_on_slow_peer(gc_exchange_t *exchange);
/* Counts what waits for the server of the attempt (exchange_run.c). */
void gc_exchange_count_unsent(gc_exchange_t *exchange);
/* Ends a request at the end of the daemon's grace period. */
void gc_exchange_on_stop(gc_exchange_t *exchange);
/* True for statuses from which callers conclude that a request did not run. */
bool gc_status_means_not_run(int status);
/* Milliseconds since the request arrived. */
int64_t gc_exchange_elapsed_ms(const gc_exchange_t *exchange);

/*
 * The request as sent to a backend server; free with g_string_free. left_ms is
 * sent as the server's deadline.
 */
GString *gc_exchange_request_text(const gc_exchange_t *exchange,
				  const gc_backend_t *backend, int64_t left_ms);
/* Appends the headers of the request that other processes than the caller's get,
 * and the end of the head and the body. */
void gc_exchange_append_forwarded(const gc_exchange_t *exchange, GString *text);
void gc_exchange_append_body(const gc_exchange_t *exchange, GString *text);
/* Appends the response's headers that are forwarded to the caller. */
void gc_exchange_append_headers(GString *head,
				const gc_http_message_t *response);

#endif
