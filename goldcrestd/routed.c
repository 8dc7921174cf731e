/* Routed mode: control loop in the main thread, one traffic thread. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>

#include <curl/curl.h>
#include <sodium.h>

#include "core/error.h"
#include "lib/build.h"
#include "lib/config_peer.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/loop_watch.h"
#include "platform/platform.h"
#include "routed_private.h"

/* Three lines for each request at the load of docs/CAPACITY.md, about 13
 * requests a second for each daemon, with room for bursts. */
#define MAX_LOG_LINES_PER_S 200
/* According to the platform, servers that are alive write their entries again
 * within about 2 s after an outage of the store. */
#define EXPIRY_GRACE_MS 2500

static bool start(routed_daemon_t *daemon, GError **err);
static bool start_control_listener(routed_daemon_t *daemon, GError **err);
static void start_fleet(routed_daemon_t *daemon);
static void start_notices(routed_daemon_t *daemon, gc_store_t store);
static void on_fleet_era(void *ctx, uint64_t era);
static void on_notices_era(void *ctx, uint64_t era);
static void start_witness(routed_daemon_t *daemon);
static void on_verdict(void *ctx, uint64_t token, gc_witness_verdict_t verdict);
static void on_permits(void *ctx, const gc_permit_answer_t *answer);
static void on_places(void *ctx, const gc_place_answer_t *answer);
static void start_stream_versions(routed_daemon_t *daemon, gc_store_t store);
static void on_recorded(void *ctx, uint64_t token, bool ok);
static void on_found_version(void *ctx, uint64_t token,
			     gc_version_result_t result, gc_str_t version);
static void on_restored(void *ctx);
static void on_store_answered(void *ctx, bool answered);
static void on_notice(void *ctx, const gc_store_item_t *item);
static void start_rollouts(routed_daemon_t *daemon, gc_store_t store);
static void on_rollout(void *ctx, const gc_store_item_t *item, bool listed);
static void on_listing(void *ctx, bool complete);
static void on_rollout_record(void *ctx, const gc_rollout_record_t *record);
static void on_crash(void *ctx, gc_str_t instance,
		     const gc_crash_report_t *report, uint64_t revision,
		     int64_t kept_ms);
static void on_served(void *ctx, uint64_t trait, uint64_t revision);
static void publish(void *ctx, gc_fleet_view_t *view);
static void on_confirmed(void *ctx, int64_t at_ms);
static void init_log(const routed_daemon_t *daemon);
static gc_log_level_t log_level(const routed_daemon_t *daemon);
static void on_stop(struct tevent_context *ev, struct tevent_signal *se,
		    int signum, int count, void *info, void *ctx);
static void on_reload(struct tevent_context *ev, struct tevent_signal *se,
		      int signum, int count, void *info, void *ctx);
static void on_traffic_stopped(void *ctx);
static void set_stopped(void *ctx, void *message);
static uint32_t random_seed(void);
static uint64_t next_random(void *ctx);

int routed_run(const daemon_options_t *options)
{
	routed_daemon_t *daemon = talloc_zero(NULL, routed_daemon_t);
	g_autoptr(GError) err = NULL;
	bool started;

	daemon->options = options;
	daemon->settings =
		gc_routed_settings_load(daemon, options->settings_file, &err);
	if (!daemon->settings) {
		fprintf(stderr, "goldcrestd: %s:\n%s\n", options->settings_file,
			err->message);
		talloc_free(daemon);
		return EXIT_FAILURE;
	}
	if (options->check_only) {
		talloc_free(daemon);
		return EXIT_SUCCESS;
	}
	init_log(daemon);
	started = start(daemon, &err);
	if (!started)
		gc_log_error(GC_LOG_ERROR, GC_EVENT_START_FAILED, "can't start",
			     err);
	while (started && !daemon->stopped)
		tevent_loop_once(daemon->ev);
	if (daemon->traffic)
		gc_routed_traffic_destroy(daemon->traffic);
	gc_log(GC_LOG_INFO, GC_EVENT_STOPPED, "stopped", NULL);
	if (daemon->rand)
		g_rand_free(daemon->rand);
	talloc_free(daemon);
	return started ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void init_log(const routed_daemon_t *daemon)
{
	gc_log_to_stdout(MAX_LOG_LINES_PER_S);
	gc_log_init("goldcrestd", daemon->settings->instance, true,
		    log_level(daemon));
}

static gc_log_level_t log_level(const routed_daemon_t *daemon)
{
	return daemon->options->verbose ? GC_LOG_DEBUG
					: daemon->settings->log_level;
}

static bool start(routed_daemon_t *daemon, GError **err)
{
	gc_routed_traffic_conf_t traffic_conf = {
		.settings = daemon->settings,
		.adapter = &gc_platform_adapter,
		.clock = &gc_clock_system,
		.seed = random_seed(),
	};

	routed_set_messages(&traffic_conf, daemon);
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0) {
		gc_error_set(err, GC_ERR_IO, "start", NULL,
			     "can't initialize libsodium");
		return false;
	}
	curl_global_init(CURL_GLOBAL_NOTHING);
	daemon->rand = g_rand_new_with_seed(random_seed());
	daemon->random = (gc_random_t){next_random, daemon->rand};
	daemon->store_answers = true;
	daemon->ev = tevent_context_init(daemon);
	gc_loop_watch_create(daemon, daemon->ev, &gc_clock_system, "control");
	daemon->timers = gc_timers_create(daemon, daemon->ev);
	daemon->mailbox = gc_mailbox_create(daemon, daemon->ev, daemon);
	if (!daemon->timers) {
		gc_error_set(err, GC_ERR_IO, "start", NULL,
			     "can't create a timer descriptor");
		return false;
	}
	tevent_add_signal(daemon->ev, daemon, SIGTERM, 0, on_stop, daemon);
	tevent_add_signal(daemon->ev, daemon, SIGINT, 0, on_stop, daemon);
	tevent_add_signal(daemon->ev, daemon, SIGHUP, 0, on_reload, daemon);
	daemon->traffic = gc_routed_traffic_create(&traffic_conf, err);
	if (!daemon->traffic)
		return false;
	start_fleet(daemon);
	if (!start_control_listener(daemon, err))
		return false;
	gc_log(GC_LOG_INFO, GC_EVENT_STARTED, "started", "build", gc_build,
	       NULL);
	gc_gauge_set(gc_gauge("goldcrest_build_info",
			      "1 for the source revision of the program.",
			      "build", gc_build),
		     1);
	return true;
}

static void start_fleet(routed_daemon_t *daemon)
{
	const gc_routed_settings_t *settings = daemon->settings;
	gc_change_times_t times =
		gc_change_times(settings->config_in_force_ms,
				gc_routed_traffic_admit_age_ms(settings),
				settings->contact_ms, GC_FLEET_BATCH_DELAY_MS);
	gc_fleet_conf_t conf = {
		.ev = daemon->ev,
		.timers = daemon->timers,
		.clock = &gc_clock_system,
		.random = &daemon->random,
		.adapter = &gc_platform_adapter,
		.self = {.id = gc_str(settings->instance),
			 .address = gc_str(settings->caller_address),
			 .peer_address = gc_str(settings->peer_address),
			 .forward_address = gc_str(settings->forward_address),
			 .capabilities = GC_CAN_GRANT_PLACES | GC_CAN_WITNESS |
					 GC_CAN_ROLL_OUT,
			 .failure_domain = gc_str(settings->failure_domain)},
		.times = times,
		.lease_ms = settings->lease_ms,
		.expiry_grace_ms = EXPIRY_GRACE_MS,
		.contact_ms = settings->contact_ms,
		.config_wait_ms = settings->revoke_ms,
		.confirmed = &daemon->confirmed,
		.publish = publish,
		.on_confirmed = on_confirmed,
		.notice = on_notice,
		.rollout = on_rollout,
		.listing = on_listing,
		.store_answered = on_store_answered,
		.era_seen = on_fleet_era,
		.ctx = daemon,
	};

	gc_peers_watch_conf_t peers_conf = {
		.clock = &gc_clock_system,
		.self = gc_str(settings->instance),
		.failure_domain = gc_str(settings->failure_domain),
		.timeout_ms = (long)times.peer_timeout,
		.max_age_ms = times.peer_max_age,
	};

	gc_permits_peer_conf_t permits_conf = {
		.clock = &gc_clock_system,
		.self = gc_str(settings->instance),
		.answered = on_permits,
		.ctx = daemon,
	};

	gc_config_peer_conf_t config_conf = {
		.timers = daemon->timers,
		.random = &daemon->random,
		.self = gc_str(settings->instance),
	};

	gc_places_peer_conf_t places_conf = {
		.timers = daemon->timers,
		.clock = &gc_clock_system,
		.self = gc_str(settings->instance),
		.answered = on_places,
		.ctx = daemon,
	};

	daemon->http = gc_httpc_create(daemon, daemon->ev);
	peers_conf.http = daemon->http;
	if (settings->peer.address)
		daemon->peers = gc_peers_watch_create(daemon, &peers_conf);
	conf.peers = daemon->peers;
	config_conf.http = daemon->http;
	conf.config_peer = gc_config_peer_create(daemon, &config_conf);
	conf.store = gc_platform_store(daemon, daemon->http, settings->store,
				       (long)times.store_timeout);
	start_notices(daemon, conf.store);
	start_stream_versions(daemon, conf.store);
	start_rollouts(daemon, conf.store);
	permits_conf.http = daemon->http;
	daemon->permits = gc_permits_peer_create(daemon, &permits_conf);
	start_witness(daemon);
	places_conf.http = daemon->http;
	daemon->places = gc_places_peer_create(daemon, &places_conf);
	daemon->fleet = gc_fleet_create(daemon, &conf);
}

static void start_notices(routed_daemon_t *daemon, gc_store_t store)
{
	gc_crash_notices_conf_t conf = {
		.timers = daemon->timers,
		.clock = &gc_clock_system,
		.random = &daemon->random,
		.store = store,
		.instance = gc_str(daemon->settings->instance),
		.on_report = on_crash,
		.on_served = on_served,
		.era_seen = on_notices_era,
		.ctx = daemon,
	};

	daemon->notices = gc_crash_notices_create(daemon, &conf);
}

static void on_fleet_era(void *ctx, uint64_t era)
{
	routed_daemon_t *daemon = ctx;

	gc_crash_notices_set_era(daemon->notices, era);
	gc_stream_versions_set_era(daemon->stream_versions, era);
	gc_rollouts_set_era(daemon->rollouts, era);
}

static void on_notices_era(void *ctx, uint64_t era)
{
	routed_daemon_t *daemon = ctx;

	gc_fleet_era_seen(daemon->fleet, era);
}

static void start_witness(routed_daemon_t *daemon)
{
	gc_crash_witness_conf_t conf = {
		.http = daemon->http,
		.clock = &gc_clock_system,
		.self = gc_str(daemon->settings->instance),
		.adapter = &gc_platform_adapter,
		.source = daemon->settings->source,
		.answered = on_verdict,
		.ctx = daemon,
	};

	daemon->witness = gc_crash_witness_create(daemon, &conf);
}

static void on_verdict(void *ctx, uint64_t token, gc_witness_verdict_t verdict)
{
	routed_daemon_t *daemon = ctx;

	gc_routed_traffic_add_verdict(daemon->traffic, token, verdict);
}

static void on_permits(void *ctx, const gc_permit_answer_t *answer)
{
	routed_daemon_t *daemon = ctx;

	gc_routed_traffic_add_permits(daemon->traffic, answer);
}

static void on_places(void *ctx, const gc_place_answer_t *answer)
{
	routed_daemon_t *daemon = ctx;

	gc_routed_traffic_add_places(daemon->traffic, answer);
}

static void start_stream_versions(routed_daemon_t *daemon, gc_store_t store)
{
	gc_stream_versions_conf_t conf = {
		.timers = daemon->timers,
		.clock = &gc_clock_system,
		.random = &daemon->random,
		.store = store,
		.recorded = on_recorded,
		.found = on_found_version,
		.restored = on_restored,
		.era_seen = on_notices_era,
		.ctx = daemon,
	};

	daemon->stream_versions = gc_stream_versions_create(daemon, &conf);
}

static void start_rollouts(routed_daemon_t *daemon, gc_store_t store)
{
	gc_rollouts_conf_t conf = {
		.timers = daemon->timers,
		.clock = &gc_clock_system,
		.random = &daemon->random,
		.http = daemon->http,
		.store = store,
		.adapter = &gc_platform_adapter,
		.self = gc_str(daemon->settings->instance),
		.limits = daemon->settings->rollout,
		.record_changed = on_rollout_record,
		.era_seen = on_notices_era,
		.ctx = daemon,
	};

	daemon->rollouts = gc_rollouts_create(daemon, &conf);
}

static void on_rollout(void *ctx, const gc_store_item_t *item, bool listed)
{
	routed_daemon_t *daemon = ctx;

	gc_rollouts_apply_item(daemon->rollouts, item, listed);
}

static void on_listing(void *ctx, bool complete)
{
	routed_daemon_t *daemon = ctx;

	if (complete)
		gc_rollouts_end_list(daemon->rollouts);
	else
		gc_rollouts_begin_list(daemon->rollouts);
}

static void on_rollout_record(void *ctx, const gc_rollout_record_t *record)
{
	routed_daemon_t *daemon = ctx;

	gc_routed_traffic_set_rollout(daemon->traffic, record);
}

static void on_recorded(void *ctx, uint64_t token, bool ok)
{
	routed_daemon_t *daemon = ctx;

	gc_routed_traffic_set_recorded(daemon->traffic, token, ok);
	on_store_answered(daemon, ok);
}

static void on_found_version(void *ctx, uint64_t token,
			     gc_version_result_t result, gc_str_t version)
{
	routed_daemon_t *daemon = ctx;

	gc_routed_traffic_set_found_version(daemon->traffic, token, result,
					    version);
}

static void on_restored(void *ctx)
{
	routed_daemon_t *daemon = ctx;

	gc_routed_traffic_set_restored(daemon->traffic);
}

static void on_store_answered(void *ctx, bool answered)
{
	routed_daemon_t *daemon = ctx;

	if (answered == daemon->store_answers)
		return;
	daemon->store_answers = answered;
	gc_routed_traffic_set_store_answers(daemon->traffic, answered);
}

static void on_notice(void *ctx, const gc_store_item_t *item)
{
	routed_daemon_t *daemon = ctx;

	gc_crash_notices_receive(daemon->notices, item);
}

static void on_crash(void *ctx, gc_str_t instance,
		     const gc_crash_report_t *report, uint64_t revision,
		     int64_t kept_ms)
{
	routed_daemon_t *daemon = ctx;
	bool checked = gc_crash_witness_is_asked_by(daemon->witness, instance);

	gc_routed_traffic_add_crash(daemon->traffic, report, revision, kept_ms,
				    checked);
}

static void on_served(void *ctx, uint64_t trait, uint64_t revision)
{
	routed_daemon_t *daemon = ctx;

	gc_routed_traffic_add_served(daemon->traffic, trait, revision);
}

static void publish(void *ctx, gc_fleet_view_t *view)
{
	routed_daemon_t *daemon = ctx;

	gc_permits_peer_set_view(daemon->permits, view);
	gc_crash_witness_set_view(daemon->witness, view);
	gc_places_peer_set_view(daemon->places, view);
	gc_stream_versions_set_view(daemon->stream_versions, view);
	gc_rollouts_set_view(daemon->rollouts, view);
	gc_routed_traffic_set_view(daemon->traffic, view);
}

static void on_confirmed(void *ctx, int64_t at_ms)
{
	routed_daemon_t *daemon = ctx;

	if (!gc_is_confirmed_within(&daemon->last_confirmed,
				    gc_clock_now(&gc_clock_system),
				    GC_LIST_GAP_MS))
		gc_stream_versions_note_gap(daemon->stream_versions);
	daemon->last_confirmed = at_ms;
	gc_routed_traffic_set_confirmed(daemon->traffic, at_ms);
	if (daemon->control_listener)
		gc_control_listener_notify_watches(daemon->control_listener);
}

static bool start_control_listener(routed_daemon_t *daemon, GError **err)
{
	const gc_routed_settings_t *settings = daemon->settings;
	gc_control_listener_conf_t conf = {
		.ev = daemon->ev,
		.timers = daemon->timers,
		.clock = &gc_clock_system,
		.random = &daemon->random,
		.adapter = &gc_platform_adapter,
		.fleet = daemon->fleet,
		.permits = daemon->permits,
		.witness = daemon->witness,
		.places = daemon->places,
		.rollouts = daemon->rollouts,
		.confirmed = &daemon->confirmed,
		.instance = gc_str(settings->instance),
		.max_confirmed_age_ms = settings->contact_ms,
		.address_ttl_s = settings->address_ttl_s,
	};

	daemon->control_listener = gc_control_listener_create(daemon, &conf);
	return gc_control_listener_listen(daemon->control_listener,
					  &settings->ready, err) &&
	       gc_control_listener_listen(daemon->control_listener,
					  &settings->addresses, err) &&
	       (!settings->peer.address ||
		gc_control_listener_listen(daemon->control_listener,
					   &settings->peer, err));
}

static void on_stop(struct tevent_context *ev, struct tevent_signal *se,
		    int signum, int count, void *info, void *ctx)
{
	routed_daemon_t *daemon = ctx;

	if (daemon->stopping)
		return;
	daemon->stopping = true;
	gc_log(GC_LOG_INFO, GC_EVENT_STOPPING, "stopping", NULL);
	gc_control_listener_set_stopping(daemon->control_listener);
	gc_fleet_unregister(daemon->fleet);
	gc_crash_notices_stop(daemon->notices);
	gc_routed_traffic_stop(daemon->traffic, on_traffic_stopped, daemon);
}

/* Called in the traffic thread. */
static void on_traffic_stopped(void *ctx)
{
	routed_daemon_t *daemon = ctx;

	gc_mailbox_post(daemon->mailbox, set_stopped, NULL);
}

static void set_stopped(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;

	daemon->stopped = true;
}

/* Applies the log level; the rest needs a restart. */
static void on_reload(struct tevent_context *ev, struct tevent_signal *se,
		      int signum, int count, void *info, void *ctx)
{
	routed_daemon_t *daemon = ctx;
	g_autoptr(GError) err = NULL;
	gc_routed_settings_t *new_settings = gc_routed_settings_load(
		daemon, daemon->options->settings_file, &err);

	if (!new_settings) {
		gc_log_error(
			GC_LOG_ERROR, GC_EVENT_SETTINGS_WRONG,
			"can't load settings file; keeping current settings",
			err);
		return;
	}
	daemon->settings->log_level = new_settings->log_level;
	talloc_free(new_settings);
	gc_log_set_level(log_level(daemon));
	gc_log(GC_LOG_INFO, GC_EVENT_SETTINGS_READ, "settings read again",
	       NULL);
}

static uint32_t random_seed(void)
{
	uint32_t seed = 0;

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		seed = (uint32_t)g_get_real_time();
	return seed;
}

static uint64_t next_random(void *ctx)
{
	uint64_t high = g_rand_int(ctx);

	return high << 32 | g_rand_int(ctx);
}
