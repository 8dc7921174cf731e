/* The traffic thread of the routed mode. */
#include "lib/routed_traffic.h"
#include "core/error.h"
#include "lib/caller_listener.h"
#include "lib/loop_watch.h"
#include "lib/mailbox.h"
#include "lib/metrics.h"
#include "lib/relay.h"

/* Connecting to a backend server takes about a round trip. */
#define CONNECT_TIMEOUT_MS 250
/* A backend server whose host has restarted answers a probe with a reset. */
#define KEEPALIVE_INTERVAL_S 1
/* Longer than any request: a server may be silent for a moment, and only the
 * exchange knows whether its request can go on elsewhere. */
#define UNACKED_TIMEOUT_MS 600000
/* Interval of checks for idleness while draining. */
#define DRAIN_POLL_MS 100
/* Least draining time, for callers that still use this daemon's address. */
#define MIN_DRAIN_MS 2500
/* From then on, no connection is accepted. The requests of those that were
 * accepted last have arrived by the end of this time. */
#define LAST_REQUESTS_MS 300
/* Part of the grace period reserved for the shutdown of the process. */
#define SHUTDOWN_RESERVE_MS 500
/* Part of the reserve in which the responses to the requests that were still in
 * flight are sent, and the interval of checks for their end. */
#define LAST_RESPONSES_MS      200
#define LAST_RESPONSES_POLL_MS 10
/* Fraction of revoke_ms after which requests with a key are refused. The rest
 * covers the time from the sending of a request to the check of its key. */
#define ADMIT_AGE_FRACTION 0.9

typedef struct crash_message {
	gc_crash_report_t report;
	uint64_t revision;
	int64_t kept_ms;
	bool checked;
} crash_message_t;

typedef struct served_message {
	uint64_t trait;
	uint64_t revision;
} served_message_t;

typedef struct verdict_message {
	uint64_t token;
	gc_witness_verdict_t verdict;
} verdict_message_t;

typedef struct recorded_message {
	uint64_t token;
	bool ok;
} recorded_message_t;

typedef struct found_message {
	uint64_t token;
	gc_version_result_t result;
	char *version;
	size_t version_len;
} found_message_t;

struct gc_routed_traffic {
	const gc_routed_settings_t *settings;
	const gc_clock_t *clock;
	struct tevent_context *ev;
	gc_timers_t *timers;
	gc_mailbox_t *mailbox;
	gc_caller_listener_t *listener;
	gc_caller_listener_t *forward_listener; /* NULL: none */
	gc_relay_t *relay;
	uint64_t config_version; /* of the relay's view; 0: none */
	/* When the relay's view was last confirmed. */
	gc_confirmed_time_t confirmed;
	GRand *generator;
	gc_random_t random;
	GThread *thread;
	gc_timer_t *drain_timer;
	struct timespec drain_started;
	bool refuses_connections;
	bool requests_ended; /* at the end of the grace period */
	int64_t refused_since_ms; /* after drain_started */
	void (*stopped)(void *ctx);
	void *stopped_ctx;
	bool exiting;
};

static bool create_components(gc_routed_traffic_t *traffic,
			      const gc_routed_traffic_conf_t *conf,
			      GError **err);
static gpointer run(gpointer data);
static void handle_view(void *ctx, void *message);
static void handle_confirmed(void *ctx, void *message);
static void handle_crash(void *ctx, void *message);
static void handle_served(void *ctx, void *message);
static void handle_permits(void *ctx, void *message);
static void handle_verdict(void *ctx, void *message);
static void handle_places(void *ctx, void *message);
static void handle_recorded(void *ctx, void *message);
static void handle_found_version(void *ctx, void *message);
static void handle_rollout(void *ctx, void *message);
static void handle_store_answers(void *ctx, void *message);
static void handle_restored(void *ctx, void *message);
static void handle_stop(void *ctx, void *message);
static void handle_exit(void *ctx, void *message);
static void on_drain_poll(void *ctx);
static bool is_idle(const gc_routed_traffic_t *traffic);
static uint64_t next_random(void *ctx);

gc_routed_traffic_t *
gc_routed_traffic_create(const gc_routed_traffic_conf_t *conf, GError **err)
{
	gc_routed_traffic_t *traffic = talloc_zero(NULL, gc_routed_traffic_t);

	traffic->settings = conf->settings;
	traffic->clock = conf->clock;
	traffic->generator = g_rand_new_with_seed(conf->seed);
	traffic->random = (gc_random_t){next_random, traffic->generator};
	if (!create_components(traffic, conf, err)) {
		g_rand_free(traffic->generator);
		talloc_free(traffic);
		return NULL;
	}
	traffic->thread = g_thread_new("traffic", run, traffic);
	return traffic;
}

static bool create_components(gc_routed_traffic_t *traffic,
			      const gc_routed_traffic_conf_t *conf,
			      GError **err)
{
	const gc_routed_settings_t *settings = conf->settings;
	gc_relay_conf_t relay_conf = {
		.clock = conf->clock,
		.random = &traffic->random,
		.adapter = conf->adapter,
		.confirmed = &traffic->confirmed,
		.instance = gc_str(settings->instance),
		.failure_domain = gc_str(settings->failure_domain),
		.deny_age_ms = settings->config_in_force_ms,
		.admit_age_ms = gc_routed_traffic_admit_age_ms(settings),
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.liveness = {KEEPALIVE_INTERVAL_S, UNACKED_TIMEOUT_MS},
		.source = settings->source,
		.passes_on = settings->forward.address != NULL,
		.forward_source = settings->forward.address,
		.departed_ms = settings->stop_grace_ms,
		.repeat_ratio = settings->repeat_ratio,
		.repeat_slack = settings->repeat_slack,
		.pause_max_ms = settings->retry_after_max_ms,
		.repeat_window_ms = settings->repeat_window_ms,
		.share_crash = conf->share_crash,
		.share_served = conf->share_served,
		.share_kept = conf->share_kept,
		.set_serving = conf->set_serving,
		.ask_permits = conf->ask_permits,
		.ask_witness = conf->ask_witness,
		.ask_places = conf->ask_places,
		.record_version = conf->record_version,
		.find_version = conf->find_version,
		.report_rollout = conf->report_rollout,
		.rollout_withdraw_ms = settings->rollout.withdraw_ms,
		.share_ctx = conf->share_ctx,
	};

	traffic->ev = tevent_context_init(traffic);
	gc_loop_watch_create(traffic, traffic->ev, conf->clock, "traffic");
	traffic->timers = gc_timers_create(traffic, traffic->ev);
	if (!traffic->timers) {
		gc_error_set(err, GC_ERR_IO, "start", NULL,
			     "cannot create a timer descriptor");
		return false;
	}
	traffic->mailbox = gc_mailbox_create(traffic, traffic->ev, traffic);
	traffic->drain_timer = gc_timer_create(traffic, traffic->timers,
					       on_drain_poll, traffic);
	relay_conf.ev = traffic->ev;
	relay_conf.timers = traffic->timers;
	traffic->relay = gc_relay_create(traffic, &relay_conf);
	traffic->listener = gc_caller_listener_create(
		traffic, traffic->ev, traffic->timers, conf->clock,
		settings->caller.address, settings->caller.port,
		&gc_relay_listener_ops, traffic->relay, err);
	if (!traffic->listener)
		return false;
	gc_caller_listener_set_idle_grace(traffic->listener,
					  settings->config_in_force_ms);
	if (!settings->forward.address)
		return true;
	traffic->forward_listener = gc_caller_listener_create(
		traffic, traffic->ev, traffic->timers, conf->clock,
		settings->forward.address, settings->forward.port,
		&gc_relay_forward_ops, traffic->relay, err);
	return traffic->forward_listener != NULL;
}

int64_t gc_routed_traffic_admit_age_ms(const gc_routed_settings_t *settings)
{
	if (!settings->revoke_strictly)
		return INT64_MAX;
	return (int64_t)(ADMIT_AGE_FRACTION * (double)settings->revoke_ms);
}

static uint64_t next_random(void *ctx)
{
	uint64_t high = g_rand_int(ctx);

	return high << 32 | g_rand_int(ctx);
}

uint16_t gc_routed_traffic_port(const gc_routed_traffic_t *traffic)
{
	return gc_caller_listener_port(traffic->listener);
}

static gpointer run(gpointer data)
{
	gc_routed_traffic_t *traffic = data;

	while (!traffic->exiting)
		tevent_loop_once(traffic->ev);
	return NULL;
}

void gc_routed_traffic_set_view(gc_routed_traffic_t *traffic,
				gc_fleet_view_t *view)
{
	gc_mailbox_post(traffic->mailbox, handle_view, gc_fleet_view_ref(view));
}

static void handle_view(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;
	gc_fleet_view_t *view = message;
	struct timespec start = gc_clock_now(traffic->clock);
	uint64_t version = view->routes ? gc_routes_version(view->routes) : 0;

	gc_relay_set_view(traffic->relay, view);
	gc_fleet_view_unref(view);
	if (version == traffic->config_version)
		return;
	traffic->config_version = version;
	gc_gauge_set(gc_config_change_us("view"),
		     gc_us_between(start, gc_clock_now(traffic->clock)));
}

/* Queued behind the views, so the time is never applied to an older view. */
void gc_routed_traffic_set_confirmed(gc_routed_traffic_t *traffic,
				     int64_t at_ms)
{
	int64_t *message = g_new(int64_t, 1);

	*message = at_ms;
	gc_mailbox_post(traffic->mailbox, handle_confirmed, message);
}

static void handle_confirmed(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;
	int64_t *at_ms = message;

	gc_relay_note_confirmation(traffic->relay);
	atomic_store(&traffic->confirmed, *at_ms);
	g_free(at_ms);
}

void gc_routed_traffic_add_crash(gc_routed_traffic_t *traffic,
				 const gc_crash_report_t *report,
				 uint64_t revision, int64_t kept_ms,
				 bool checked)
{
	crash_message_t *message = g_new(crash_message_t, 1);

	*message = (crash_message_t){*report, revision, kept_ms, checked};
	gc_mailbox_post(traffic->mailbox, handle_crash, message);
}

static void handle_crash(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;
	crash_message_t *crash = message;

	gc_relay_add_crash(traffic->relay, &crash->report, crash->revision,
			   crash->kept_ms, crash->checked);
	g_free(crash);
}

void gc_routed_traffic_add_served(gc_routed_traffic_t *traffic, uint64_t trait,
				  uint64_t revision)
{
	served_message_t *message = g_new(served_message_t, 1);

	*message = (served_message_t){trait, revision};
	gc_mailbox_post(traffic->mailbox, handle_served, message);
}

static void handle_served(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;
	served_message_t *served = message;

	gc_relay_add_served(traffic->relay, served->trait, served->revision);
	g_free(served);
}

void gc_routed_traffic_add_permits(gc_routed_traffic_t *traffic,
				   const gc_permit_answer_t *answer)
{
	gc_permit_answer_t *message = g_new(gc_permit_answer_t, 1);

	*message = *answer;
	gc_mailbox_post(traffic->mailbox, handle_permits, message);
}

static void handle_permits(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;

	gc_relay_add_permits(traffic->relay, message);
	g_free(message);
}

void gc_routed_traffic_add_verdict(gc_routed_traffic_t *traffic, uint64_t token,
				   gc_witness_verdict_t verdict)
{
	verdict_message_t *message = g_new(verdict_message_t, 1);

	*message = (verdict_message_t){token, verdict};
	gc_mailbox_post(traffic->mailbox, handle_verdict, message);
}

static void handle_verdict(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;
	verdict_message_t *verdict = message;

	gc_relay_add_verdict(traffic->relay, verdict->token, verdict->verdict);
	g_free(verdict);
}

void gc_routed_traffic_add_places(gc_routed_traffic_t *traffic,
				  const gc_place_answer_t *answer)
{
	gc_place_answer_t *message = g_new(gc_place_answer_t, 1);

	*message = *answer;
	gc_mailbox_post(traffic->mailbox, handle_places, message);
}

static void handle_places(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;

	gc_relay_add_places(traffic->relay, message);
	g_free(message);
}

void gc_routed_traffic_set_recorded(gc_routed_traffic_t *traffic,
				    uint64_t token, bool ok)
{
	recorded_message_t *message = g_new(recorded_message_t, 1);

	*message = (recorded_message_t){token, ok};
	gc_mailbox_post(traffic->mailbox, handle_recorded, message);
}

static void handle_recorded(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;
	recorded_message_t *recorded = message;

	gc_relay_set_recorded(traffic->relay, recorded->token, recorded->ok);
	g_free(recorded);
}

void gc_routed_traffic_set_found_version(gc_routed_traffic_t *traffic,
					 uint64_t token,
					 gc_version_result_t result,
					 gc_str_t version)
{
	found_message_t *message = g_new(found_message_t, 1);

	*message = (found_message_t){token, result,
				     g_strndup(version.data, version.len),
				     version.len};
	gc_mailbox_post(traffic->mailbox, handle_found_version, message);
}

static void handle_found_version(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;
	found_message_t *found = message;

	gc_relay_set_found_version(traffic->relay, found->token, found->result,
				   (gc_str_t){found->version,
					      found->version_len});
	g_free(found->version);
	g_free(found);
}

void gc_routed_traffic_set_store_answers(gc_routed_traffic_t *traffic,
					 bool answers)
{
	bool *message = g_new(bool, 1);

	*message = answers;
	gc_mailbox_post(traffic->mailbox, handle_store_answers, message);
}

static void handle_store_answers(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;
	bool *answers = message;

	gc_relay_set_store_answers(traffic->relay, *answers);
	g_free(answers);
}

void gc_routed_traffic_set_restored(gc_routed_traffic_t *traffic)
{
	gc_mailbox_post(traffic->mailbox, handle_restored, NULL);
}

static void handle_restored(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;

	gc_relay_set_restored(traffic->relay);
}

/* The copy has no parent, so that either thread may use it in turn. */
void gc_routed_traffic_set_rollout(gc_routed_traffic_t *traffic,
				   const gc_rollout_record_t *record)
{
	gc_mailbox_post(traffic->mailbox, handle_rollout,
			gc_rollout_record_copy(NULL, record));
}

static void handle_rollout(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;

	gc_relay_set_rollout(traffic->relay, message);
	talloc_free(message);
}

void gc_routed_traffic_stop(gc_routed_traffic_t *traffic,
			    void (*stopped)(void *ctx), void *ctx)
{
	traffic->stopped = stopped;
	traffic->stopped_ctx = ctx;
	gc_mailbox_post(traffic->mailbox, handle_stop, NULL);
}

static void handle_stop(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;

	traffic->drain_started = gc_clock_now(traffic->clock);
	gc_caller_listener_set_closing(traffic->listener);
	if (traffic->forward_listener)
		gc_caller_listener_set_closing(traffic->forward_listener);
	gc_relay_set_stopping(traffic->relay,
			      gc_add_ms(traffic->drain_started,
					traffic->settings->stop_grace_ms -
						SHUTDOWN_RESERVE_MS));
	gc_timer_set(traffic->drain_timer, DRAIN_POLL_MS);
}

static void on_drain_poll(void *ctx)
{
	gc_routed_traffic_t *traffic = ctx;
	int64_t ms = gc_ms_between(traffic->drain_started,
				   gc_clock_now(traffic->clock));
	int64_t end_ms = traffic->settings->stop_grace_ms - SHUTDOWN_RESERVE_MS;
	bool idle = is_idle(traffic);

	if (!traffic->refuses_connections &&
	    ((idle && ms >= MIN_DRAIN_MS) || ms >= end_ms - LAST_REQUESTS_MS)) {
		gc_caller_listener_stop_accepting(traffic->listener);
		if (traffic->forward_listener)
			gc_caller_listener_stop_accepting(
				traffic->forward_listener);
		traffic->refuses_connections = true;
		traffic->refused_since_ms = ms;
	}
	if (ms < end_ms &&
	    (!idle || !traffic->refuses_connections ||
	     ms < traffic->refused_since_ms + LAST_REQUESTS_MS)) {
		gc_timer_set(traffic->drain_timer, DRAIN_POLL_MS);
		return;
	}
	if (!idle && !traffic->requests_ended) {
		gc_relay_end_requests(traffic->relay);
		traffic->requests_ended = true;
		idle = is_idle(traffic);
	}
	if (!idle && ms < end_ms + LAST_RESPONSES_MS) {
		gc_timer_set(traffic->drain_timer, LAST_RESPONSES_POLL_MS);
		return;
	}
	/* A request that arrived while the process ends would be cut off. */
	if (idle) {
		TALLOC_FREE(traffic->listener);
		TALLOC_FREE(traffic->forward_listener);
	}
	traffic->stopped(traffic->stopped_ctx);
}

static bool is_idle(const gc_routed_traffic_t *traffic)
{
	return gc_relay_in_flight(traffic->relay) == 0 &&
	       gc_caller_listener_count_busy(traffic->listener) == 0 &&
	       (!traffic->forward_listener ||
		gc_caller_listener_count_busy(traffic->forward_listener) == 0);
}

static void handle_exit(void *ctx, void *message)
{
	gc_routed_traffic_t *traffic = ctx;

	traffic->exiting = true;
}

void gc_routed_traffic_destroy(gc_routed_traffic_t *traffic)
{
	gc_mailbox_post(traffic->mailbox, handle_exit, NULL);
	g_thread_join(traffic->thread);
	TALLOC_FREE(traffic->listener);
	TALLOC_FREE(traffic->forward_listener);
	TALLOC_FREE(traffic->relay);
	g_rand_free(traffic->generator);
	talloc_free(traffic);
}
