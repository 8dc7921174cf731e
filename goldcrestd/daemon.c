/* Main thread of goldcrestd: control loop, signals, traffic threads. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>

#include <curl/curl.h>
#include <sodium.h>

#include "core/error.h"
#include "goldcrestd.h"
#include "lib/build.h"
#include "lib/claims.h"
#include "lib/control.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/traffic.h"

/*
 * Time for writing the outcomes of claims once the traffic threads are idle.
 * Longer than a claim may take (2 s), because a claim must be answered while
 * the mailbox of its thread exists.
 */
#define CLAIMS_FLUSH_TIMEOUT_MS 5000
/* Interval of checks of the number of open claims during this time. */
#define CLAIMS_POLL_INTERVAL_MS 20

typedef struct daemon {
	const daemon_options_t *options;
	gc_settings_t *settings;
	struct tevent_context *ev;
	gc_mailbox_t *mailbox;
	gc_control_t *control;
	gc_claims_t *claims;
	GRand *rand;
	gc_random_t random;
	gc_traffic_t **traffic;
	unsigned int n_traffic;
	unsigned int n_stopped_traffic;
	bool stopping;
} daemon_t;

static bool start(daemon_t *daemon, GError **err);
static bool start_traffic(daemon_t *daemon, GError **err);
static bool start_control(daemon_t *daemon, GError **err);
static bool write_ports(const daemon_t *daemon, GError **err);
static void add_signals(daemon_t *daemon);
static void wait_for_claims(daemon_t *daemon);
static void on_claims_poll(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *ctx);
static void shut_down(daemon_t *daemon);
static void publish(void *ctx, gc_view_t *view);
static void on_stop(struct tevent_context *ev, struct tevent_signal *se,
		    int signum, int count, void *info, void *ctx);
static void on_reload(struct tevent_context *ev, struct tevent_signal *se,
		      int signum, int count, void *info, void *ctx);
static void on_traffic_stopped(void *ctx);
static void count_stopped(void *ctx, void *message);
static void init_log(const daemon_t *daemon);
static gc_log_level_t log_level(const daemon_t *daemon);
static uint64_t random_seed(void);
static uint64_t next_random(void *ctx);

int daemon_run(const daemon_options_t *options)
{
	daemon_t *daemon = talloc_zero(NULL, daemon_t);
	GError *err = NULL;
	bool started;

	daemon->options = options;
	daemon->settings =
		gc_settings_load(daemon, options->settings_file, &err);
	if (!daemon->settings) {
		fprintf(stderr, "goldcrestd: %s:\n%s\n", options->settings_file,
			err->message);
		g_error_free(err);
		talloc_free(daemon);
		return EXIT_FAILURE;
	}
	if (options->check_only) {
		talloc_free(daemon);
		return EXIT_SUCCESS;
	}
	init_log(daemon);
	started = start(daemon, &err);
	if (!started) {
		gc_log_error(GC_LOG_ERROR, GC_EVENT_START_FAILED, "can't start",
			     err);
		g_error_free(err);
	}
	while (started && daemon->n_stopped_traffic < daemon->n_traffic)
		tevent_loop_once(daemon->ev);
	if (started)
		wait_for_claims(daemon);
	shut_down(daemon);
	talloc_free(daemon);
	return started ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void init_log(const daemon_t *daemon)
{
	gc_log_init("goldcrestd", daemon->settings->instance,
		    daemon->settings->log_json, log_level(daemon));
}

static gc_log_level_t log_level(const daemon_t *daemon)
{
	return daemon->options->verbose ? GC_LOG_DEBUG
					: daemon->settings->log_level;
}

static bool start(daemon_t *daemon, GError **err)
{
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		gc_error_set(err, GC_ERR_IO, "start", NULL,
			     "can't initialize libsodium or libcurl");
		return false;
	}
	daemon->ev = tevent_context_init(daemon);
	daemon->mailbox = gc_mailbox_create(daemon, daemon->ev, daemon);
	daemon->rand = g_rand_new_with_seed(random_seed());
	daemon->random = (gc_random_t){next_random, daemon->rand};
	if (!start_traffic(daemon, err) || !start_control(daemon, err) ||
	    !write_ports(daemon, err))
		return false;
	add_signals(daemon);
	gc_log(GC_LOG_INFO, GC_EVENT_STARTED, "started", "build", gc_build,
	       NULL);
	gc_gauge_set(gc_gauge("goldcrest_build_info",
			      "1 for the source revision of the program.",
			      "build", gc_build),
		     1);
	return true;
}

static uint64_t random_seed(void)
{
	uint64_t seed = 0;

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		seed = g_get_real_time();
	return seed;
}

static uint64_t next_random(void *ctx)
{
	uint64_t high = g_rand_int(ctx);

	return high << 32 | g_rand_int(ctx);
}

/* Runs before start_control, which needs the port that was bound here. */
static bool start_traffic(daemon_t *daemon, GError **err)
{
	gc_traffic_conf_t conf = {
		.settings = daemon->settings,
		.clock = &gc_clock_system,
	};
	unsigned int n = daemon->settings->traffic_threads;

	daemon->traffic = talloc_zero_array(daemon, gc_traffic_t *, n);
	for (unsigned int i = 0; i < n; i++) {
		conf.seed = random_seed();
		daemon->traffic[i] = gc_traffic_create(&conf, err);
		if (!daemon->traffic[i])
			return false;
		daemon->n_traffic++;
		/* The other threads bind the first one's port too. */
		daemon->settings->caller.port =
			gc_traffic_port(daemon->traffic[0]);
	}
	return true;
}

static bool start_control(daemon_t *daemon, GError **err)
{
	gc_control_conf_t conf = {
		.settings = daemon->settings,
		.clock = &gc_clock_system,
		.seed = random_seed(),
		.caller_port = daemon->settings->caller.port,
		.publish = publish,
		.ctx = daemon,
	};

	daemon->control = gc_control_create(daemon, daemon->ev, &conf, err);
	if (!daemon->control)
		return false;
	daemon->claims = gc_claims_create(daemon, daemon->ev,
					  gc_control_kv(daemon->control),
					  gc_control_mailbox(daemon->control),
					  &gc_clock_system, &daemon->random,
					  daemon->settings->claim_batch_ms);
	for (unsigned int i = 0; i < daemon->n_traffic; i++)
		gc_traffic_attach(daemon->traffic[i], daemon->control,
				  daemon->claims);
	return true;
}

/* The file is replaced by rename, so that readers never see part of it. */
static bool write_ports(const daemon_t *daemon, GError **err)
{
	const char *path = daemon->options->ports_file;
	g_autofree char *text = NULL;

	if (!path)
		return true;
	text = g_strdup_printf("{\"caller\":%u,\"operator\":%u}\n",
			       daemon->settings->caller.port,
			       gc_control_operator_port(daemon->control));
	return g_file_set_contents(path, text, -1, err);
}

static void add_signals(daemon_t *daemon)
{
	tevent_add_signal(daemon->ev, daemon, SIGTERM, 0, on_stop, daemon);
	tevent_add_signal(daemon->ev, daemon, SIGINT, 0, on_stop, daemon);
	tevent_add_signal(daemon->ev, daemon, SIGHUP, 0, on_reload, daemon);
}

static void publish(void *ctx, gc_view_t *view)
{
	daemon_t *daemon = ctx;

	for (unsigned int i = 0; i < daemon->n_traffic; i++)
		gc_traffic_set_view(daemon->traffic[i], view);
}

static void on_stop(struct tevent_context *ev, struct tevent_signal *se,
		    int signum, int count, void *info, void *ctx)
{
	daemon_t *daemon = ctx;

	if (daemon->stopping)
		return;
	daemon->stopping = true;
	gc_log(GC_LOG_INFO, GC_EVENT_STOPPING, "stopping", NULL);
	gc_control_leave(daemon->control);
	for (unsigned int i = 0; i < daemon->n_traffic; i++)
		gc_traffic_stop(daemon->traffic[i],
				daemon->settings->stop_grace_s,
				on_traffic_stopped, daemon);
}

/* Called in a traffic thread. */
static void on_traffic_stopped(void *ctx)
{
	daemon_t *daemon = ctx;

	gc_mailbox_post(daemon->mailbox, count_stopped, NULL);
}

static void count_stopped(void *ctx, void *message)
{
	daemon_t *daemon = ctx;

	daemon->n_stopped_traffic++;
}

/* Applies the log level and the operator keys; the rest needs a restart. */
static void on_reload(struct tevent_context *ev, struct tevent_signal *se,
		      int signum, int count, void *info, void *ctx)
{
	daemon_t *daemon = ctx;
	GError *err = NULL;
	gc_settings_t *new_settings;

	new_settings =
		gc_settings_load(daemon, daemon->options->settings_file, &err);
	if (!new_settings) {
		gc_log_error(
			GC_LOG_ERROR, GC_EVENT_SETTINGS_WRONG,
			"can't load settings file; keeping current settings",
			err);
		g_error_free(err);
		return;
	}
	daemon->settings->log_level = new_settings->log_level;
	daemon->settings->operator_keys = new_settings->operator_keys;
	daemon->settings->n_operator_keys = new_settings->n_operator_keys;
	talloc_steal(daemon->settings, new_settings->operator_keys);
	talloc_free(new_settings);
	gc_log_set_level(log_level(daemon));
	gc_log(GC_LOG_INFO, GC_EVENT_SETTINGS_READ, "settings read again",
	       NULL);
}

/*
 * Waits for open claims, for two reasons: without the stored outcome of a claim
 * a retry of its request stays in doubt, and the answer to an open claim is
 * sent to the mailbox of a traffic thread. The traffic threads still run here.
 */
static void wait_for_claims(daemon_t *daemon)
{
	struct timespec deadline = gc_add_ms(gc_clock_now(&gc_clock_system),
					     CLAIMS_FLUSH_TIMEOUT_MS);
	g_autofree char *text = NULL;
	unsigned int open;

	on_claims_poll(daemon->ev, NULL, (struct timeval){0}, daemon);
	while ((open = gc_claims_open_count(daemon->claims)) > 0 &&
	       gc_ms_between(gc_clock_now(&gc_clock_system), deadline) > 0)
		tevent_loop_once(daemon->ev);
	if (open == 0)
		return;
	text = g_strdup_printf("%u", open);
	gc_log(GC_LOG_WARNING, GC_EVENT_CLAIMS_OPEN,
	       "timed out waiting for open claims", "open", text, NULL);
}

/* Wakes the loop of wait_for_claims, so that it checks its timeout. */
static void on_claims_poll(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *ctx)
{
	tevent_add_timer(
		ev, ctx,
		tevent_timeval_current_ofs(0, CLAIMS_POLL_INTERVAL_MS * 1000),
		on_claims_poll, ctx);
}

/* Ends the traffic threads first, as they post to the control thread. */
static void shut_down(daemon_t *daemon)
{
	for (unsigned int i = 0; i < daemon->n_traffic; i++)
		gc_traffic_destroy(daemon->traffic[i]);
	daemon->n_traffic = 0;
	if (daemon->control)
		gc_control_destroy(daemon->control);
	if (daemon->rand)
		g_rand_free(daemon->rand);
	gc_log(GC_LOG_INFO, GC_EVENT_STOPPED, "stopped", NULL);
}
