/* The traffic thread of the routed mode. */
#include "lib/routed_traffic.h"
#include "core/error.h"
#include "lib/caller_listener.h"
#include "lib/mailbox.h"
#include "lib/relay.h"

/* New connections to backend servers take about a round trip. */
#define CONNECT_TIMEOUT_MS 250
/* A server that was cut off is noticed in this time. */
#define KEEPALIVE_S 1
#define UNACKED_MS  700
/* How often a stopping thread looks whether it is idle. */
#define STOP_POLL_MS 100
/* Callers that have not heard of the stop are served at least this long. */
#define STOP_LEAST_MS 2500
/* Left of the grace period for the process's own end. */
#define STOP_MARGIN_MS 500
/* Share of the bound of revocation after which keys aren't admitted; the
 * rest covers the time between a caller's sending and the check. */
#define ADMIT_AGE_PART 0.9

struct gc_routed_traffic {
	const gc_routed_settings_t *settings;
	const gc_clock_t *clock;
	struct tevent_context *ev;
	gc_timers_t *timers;
	gc_mailbox_t *mailbox;
	gc_caller_listener_t *front;
	gc_relay_t *relay;
	gc_confirmed_t confirmed; /* of the relay's view */
	GRand *rand;
	gc_random_t random;
	GThread *thread;
	gc_timer_t *stop_timer;
	struct timespec stop_started;
	void (*stopped)(void *ctx);
	void *stopped_ctx;
	bool ended;
};

static bool create_parts(gc_routed_traffic_t *carrier,
			 const gc_routed_traffic_conf_t *conf, GError **err);
static gpointer run(gpointer data);
static void take_view(void *ctx, void *message);
static void take_confirmed(void *ctx, void *message);
static void take_stop(void *ctx, void *message);
static void take_end(void *ctx, void *message);
static void on_stop_poll(void *ctx);
static int64_t admit_age_ms(const gc_routed_settings_t *settings);
static uint64_t next_random(void *ctx);

gc_routed_traffic_t *
gc_routed_traffic_create(const gc_routed_traffic_conf_t *conf, GError **err)
{
	gc_routed_traffic_t *carrier = talloc_zero(NULL, gc_routed_traffic_t);

	carrier->settings = conf->settings;
	carrier->clock = conf->clock;
	carrier->rand = g_rand_new_with_seed(conf->seed);
	carrier->random = (gc_random_t){next_random, carrier->rand};
	if (!create_parts(carrier, conf, err)) {
		g_rand_free(carrier->rand);
		talloc_free(carrier);
		return NULL;
	}
	carrier->thread = g_thread_new("traffic", run, carrier);
	return carrier;
}

static bool create_parts(gc_routed_traffic_t *carrier,
			 const gc_routed_traffic_conf_t *conf, GError **err)
{
	const gc_routed_settings_t *settings = conf->settings;
	gc_relay_conf_t relay = {
		.clock = conf->clock,
		.random = &carrier->random,
		.adapter = conf->adapter,
		.confirmed = &carrier->confirmed,
		.instance = gc_str(settings->instance),
		.failure_domain = gc_str(settings->failure_domain),
		.deny_age_ms = settings->config_in_force_ms,
		.admit_age_ms = admit_age_ms(settings),
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.liveness = {KEEPALIVE_S, UNACKED_MS},
		.repeat_ratio = settings->repeat_ratio,
		.repeat_slack = settings->repeat_slack,
		.repeat_window_ms = settings->repeat_window_ms,
	};

	carrier->ev = tevent_context_init(carrier);
	carrier->timers = gc_timers_create(carrier, carrier->ev);
	if (!carrier->timers) {
		gc_error_set(err, GC_ERR_IO, "start", NULL,
			     "no timer descriptor");
		return false;
	}
	carrier->mailbox = gc_mailbox_create(carrier, carrier->ev, carrier);
	carrier->stop_timer = gc_timer_create(carrier, carrier->timers,
					      on_stop_poll, carrier);
	relay.ev = carrier->ev;
	relay.timers = carrier->timers;
	carrier->relay = gc_relay_create(carrier, &relay);
	carrier->front = gc_caller_listener_create(
		carrier, carrier->ev, carrier->timers, conf->clock,
		settings->caller.address, settings->caller.port,
		&gc_relay_front_ops, carrier->relay, err);
	return carrier->front != NULL;
}

static int64_t admit_age_ms(const gc_routed_settings_t *settings)
{
	if (!settings->revoke_strictly)
		return INT64_MAX;
	return (int64_t)(ADMIT_AGE_PART * (double)settings->revoke_ms);
}

static uint64_t next_random(void *ctx)
{
	uint64_t high = g_rand_int(ctx);

	return high << 32 | g_rand_int(ctx);
}

uint16_t gc_routed_traffic_port(const gc_routed_traffic_t *carrier)
{
	return gc_caller_listener_port(carrier->front);
}

static gpointer run(gpointer data)
{
	gc_routed_traffic_t *carrier = data;

	while (!carrier->ended)
		tevent_loop_once(carrier->ev);
	return NULL;
}

void gc_routed_traffic_set_view(gc_routed_traffic_t *carrier,
				gc_fleet_view_t *view)
{
	gc_mailbox_post(carrier->mailbox, take_view, gc_fleet_view_ref(view));
}

static void take_view(void *ctx, void *message)
{
	gc_routed_traffic_t *carrier = ctx;

	gc_relay_set_view(carrier->relay, message);
	gc_fleet_view_unref(message);
}

/* In the order of the views, so that the time never goes with an older one. */
void gc_routed_traffic_confirm(gc_routed_traffic_t *carrier, int64_t at_ms)
{
	int64_t *message = g_new(int64_t, 1);

	*message = at_ms;
	gc_mailbox_post(carrier->mailbox, take_confirmed, message);
}

static void take_confirmed(void *ctx, void *message)
{
	gc_routed_traffic_t *carrier = ctx;
	int64_t *at_ms = message;

	atomic_store(&carrier->confirmed, *at_ms);
	g_free(at_ms);
}

void gc_routed_traffic_stop(gc_routed_traffic_t *carrier,
			    void (*stopped)(void *ctx), void *ctx)
{
	carrier->stopped = stopped;
	carrier->stopped_ctx = ctx;
	gc_mailbox_post(carrier->mailbox, take_stop, NULL);
}

static void take_stop(void *ctx, void *message)
{
	gc_routed_traffic_t *carrier = ctx;

	carrier->stop_started = gc_clock_now(carrier->clock);
	gc_caller_listener_set_closing(carrier->front);
	gc_relay_set_stopping(
		carrier->relay,
		gc_add_ms(carrier->stop_started,
			  carrier->settings->stop_grace_ms - STOP_MARGIN_MS));
	gc_timer_set(carrier->stop_timer, STOP_POLL_MS);
}

static void on_stop_poll(void *ctx)
{
	gc_routed_traffic_t *carrier = ctx;
	int64_t ms = gc_ms_between(carrier->stop_started,
				   gc_clock_now(carrier->clock));
	bool idle = gc_relay_open(carrier->relay) == 0 &&
		    gc_caller_listener_busy(carrier->front) == 0;

	if ((idle && ms >= STOP_LEAST_MS) ||
	    ms >= carrier->settings->stop_grace_ms - STOP_MARGIN_MS)
		carrier->stopped(carrier->stopped_ctx);
	else
		gc_timer_set(carrier->stop_timer, STOP_POLL_MS);
}

static void take_end(void *ctx, void *message)
{
	gc_routed_traffic_t *carrier = ctx;

	carrier->ended = true;
}

void gc_routed_traffic_destroy(gc_routed_traffic_t *carrier)
{
	gc_mailbox_post(carrier->mailbox, take_end, NULL);
	g_thread_join(carrier->thread);
	TALLOC_FREE(carrier->front);
	TALLOC_FREE(carrier->relay);
	g_rand_free(carrier->rand);
	talloc_free(carrier);
}
